#include "command.h"

#include "pw/core/error.h"

static json_t *status_json(const char *address, const struct ctl_proxy_status *status)
{
	return json_pack("{s:s, s:s, s:I, s:b, s:b, s:O*}", "address", address, "vm", status->vm,
			 "revision", (json_int_t)status->revision, "fresh", status->fresh,
			 "draining", status->draining, "replica_sets", status->replica_sets);
}

/* Writes the replica set of a database, and the servers that a change of its primary waits for. */
static void write_replica_set(struct ctl_context *ctl, const char *database, const json_t *set)
{
	const json_t *servers = json_object_get(set, "servers"), *server;
	const json_t *waits_for = json_object_get(set, "waits_for");
	const char *primary = json_string_value(json_object_get(set, "primary"));
	size_t i;

	g_string_append_printf(ctl->out, "  %s primary=%s servers=", database,
			       primary ? primary : "-");
	if (!json_is_array(servers))
		g_string_append(ctl->out, "unknown");
	json_array_foreach (servers, i, server)
		g_string_append_printf(ctl->out, "%s%s", i ? "," : "", json_string_value(server));
	if (json_is_array(waits_for))
		g_string_append(ctl->out, " waits-for=");
	json_array_foreach (waits_for, i, server)
		g_string_append_printf(ctl->out, "%s%s", i ? "," : "", json_string_value(server));
	g_string_append_c(ctl->out, '\n');
}

/* Adds the status of a proxy, or an error, to the list; without --json also writes it as text. */
static int report_proxy(struct ctl_context *ctl, json_t *list, const char *address)
{
	struct ctl_proxy_status status;
	const char *database;
	json_t *set;
	int rc = ctl->api->ops->get_status(ctl->api, &status, address);

	if (rc != PW_OK) {
		json_array_append_new(list, json_pack("{s:s, s:s}", "address", address, "error",
						      pw_error_message()));
		if (!ctl->settings.json)
			g_string_append_printf(ctl->err, "pimentowingctl: %s\n",
					       pw_error_message());
		return rc;
	}
	json_array_append_new(list, status_json(address, &status));
	if (!ctl->settings.json)
		g_string_append_printf(ctl->out, "%s vm=%s revision=%" G_GUINT64_FORMAT " %s%s\n",
				       address, status.vm, status.revision,
				       status.fresh ? "fresh" : "isolated",
				       status.draining ? " draining" : "");
	if (!ctl->settings.json) {
		json_object_foreach (status.replica_sets, database, set)
			write_replica_set(ctl, database, set);
	}
	ctl_proxy_status_dispose(&status);
	return PW_OK;
}

static enum ctl_exit run_status(const struct ctl_command *c, struct ctl_context *ctl, char **args)
{
	json_t *list = json_array();
	enum ctl_exit result = CTL_DONE;

	for (char **address = ctl->settings.api_addresses; *address; address++) {
		if (report_proxy(ctl, list, *address) != PW_OK)
			result = CTL_FAILED;
	}
	if (ctl->settings.json)
		ctl_write_json(ctl, json_pack("{s:O}", "proxies", list));
	json_decref(list);
	return result;
}

static const struct ctl_command_ops status_ops = { .needs_api = true, .run = run_status };

const struct ctl_command ctl_status_command = {
	.ops = &status_ops,
	.name = "status",
	.arguments = "",
	.summary = "show revision and state of the proxies at --api, and replica sets",
};
