#include "command.h"

#include "pw/core/error.h"

static void write_server(struct ctl_context *ctl, const json_t *s)
{
	const char *server, *distance, *connection, *blocked;
	json_int_t expected_us;
	int primary, usable, caught_up, in_flight, failure_permille;

	if (json_unpack((json_t *)(uintptr_t)s, "{s:s,s:b,s:b,s:b,s:i,s:I,s:i,s:s,s:s,s:s}",
			"server", &server, "primary", &primary, "usable", &usable, "caught_up",
			&caught_up, "in_flight", &in_flight, "expected_us", &expected_us,
			"failure_permille", &failure_permille, "distance", &distance, "connection",
			&connection, "blocked", &blocked) != 0)
		return;
	g_string_append_printf(ctl->out, "  %-20s %-8s %-7s %-7s %9d %11.1f %9.1f %-13s %-10s %s\n",
			       server, primary ? "primary" : "replica", usable ? "yes" : "no",
			       caught_up ? "yes" : "no", in_flight, (double)expected_us / 1000.0,
			       failure_permille / 10.0, distance, connection, blocked);
}

/* Returns the text of a value, which may be null. */
static const char *text_or_dash(const json_t *value)
{
	const char *text = json_string_value(value);

	return text ? text : "-";
}

/* Writes the answer of a proxy as text. Returns false if it is malformed. */
static bool write_answer(struct ctl_context *ctl, const char *address, json_t *root)
{
	const char *vm, *reason;
	json_t *server, *connection, *servers, *s;
	int waiting;
	size_t i;

	if (json_unpack(root, "{s:s,s:i,s:o,s:o,s:s,s:o}", "vm", &vm, "waiting", &waiting, "server",
			&server, "connection", &connection, "reason", &reason, "servers",
			&servers) != 0 ||
	    !json_is_array(servers))
		return false;
	g_string_append_printf(ctl->out, "%s vm=%s server=%s connection=%s waiting=%d: %s\n",
			       address, vm, text_or_dash(server), text_or_dash(connection), waiting,
			       reason);
	g_string_append_printf(ctl->out, "  %-20s %-8s %-7s %-7s %9s %11s %9s %-13s %-10s %s\n",
			       "SERVER", "ROLE", "USABLE", "CAUGHT", "IN FLIGHT", "EXPECTED MS",
			       "FAILURE %", "DISTANCE", "CONNECTION", "BLOCKED");
	json_array_foreach (servers, i, s)
		write_server(ctl, s);
	return true;
}

/* Adds the answer of a proxy, or an error, to the list; without --json also writes it as text. */
static int explain_at(struct ctl_context *ctl, json_t *list, const char *address,
		      const struct ctl_explain_query *q)
{
	json_t *root = NULL;
	int rc = ctl->api->ops->explain(ctl->api, &root, address, q);

	if (rc == PW_OK && !ctl->settings.json && !write_answer(ctl, address, root))
		rc = pw_error_set(PW_EINVALID, "%s: the response is not a valid explanation",
				  address);
	if (rc == PW_OK) {
		json_object_set_new(root, "address", json_string(address));
		json_array_append_new(list, root);
		return rc;
	}
	json_decref(root);
	json_array_append_new(
		list, json_pack("{s:s, s:s}", "address", address, "error", pw_error_message()));
	if (!ctl->settings.json)
		g_string_append_printf(ctl->err, "pimentowingctl: %s\n", pw_error_message());
	return rc;
}

static enum ctl_exit run_explain(const struct ctl_command *c, struct ctl_context *ctl, char **args)
{
	const struct ctl_explain_query q = {
		.account = args[0],
		.database = args[1],
		.kind = args[2],
		.position = ctl->settings.position,
	};
	json_t *list = json_array();
	enum ctl_exit result = CTL_DONE;

	(void)c;
	for (char **address = ctl->settings.api_addresses; *address; address++) {
		if (explain_at(ctl, list, *address, &q) != PW_OK)
			result = CTL_FAILED;
	}
	if (ctl->settings.json)
		ctl_write_json(ctl, json_pack("{s:O}", "proxies", list));
	json_decref(list);
	return result;
}

static const struct ctl_command_ops explain_ops = { .needs_api = true, .run = run_explain };

const struct ctl_command ctl_explain_command = {
	.ops = &explain_ops,
	.name = "explain",
	.arguments = "ACCOUNT DATABASE KIND",
	.summary = "show which server a statement would get now, and why; KIND: read, write, "
		   "begin, begin-read",
	.argument_count = 3,
};
