#include "change.h"

#include <string.h>

#include "pw/core/error.h"

struct drain_command_ops {
	struct ctl_command_ops ops;
	bool draining; /**< true: drains the VM; false: puts it back in service */
};

/** Adds a VM to the document's list of draining VMs, or removes it from the list. */
struct drain_edit {
	struct ctl_edit edit;
	const char *vm;
	bool draining; /**< true: add the VM; false: remove it */
};

static int apply_drain(struct ctl_edit *e, json_t *root)
{
	const struct drain_edit *d = (const struct drain_edit *)e;
	json_t *list = json_object_get(root, "draining");
	json_t *name;
	size_t i;

	json_array_foreach (list, i, name) {
		if (g_strcmp0(json_string_value(name), d->vm) != 0)
			continue;
		if (!d->draining)
			json_array_remove(list, i);
		return PW_OK;
	}
	if (!d->draining)
		return PW_OK;
	if (!list) {
		list = json_array();
		json_object_set_new(root, "draining", list);
	}
	json_array_append_new(list, json_string(d->vm));
	return PW_OK;
}

static enum ctl_exit run_drain(const struct ctl_command *c, struct ctl_context *ctl, char **args)
{
	static const struct ctl_edit_ops edit_ops = { .apply = apply_drain };
	struct drain_edit e = {
		.edit = { .ops = &edit_ops },
		.vm = args[0],
		.draining = ((const struct drain_command_ops *)c->ops)->draining,
	};
	uint64_t revision = 0;
	enum ctl_exit status = ctl_change_apply_edit(ctl, &e.edit, &revision);

	if (status != CTL_DONE)
		return status;
	if (ctl->settings.json)
		ctl_write_json(ctl, json_pack("{s:s, s:b, s:I}", "vm", e.vm, "draining", e.draining,
					      "revision", (json_int_t)revision));
	else
		g_string_append_printf(ctl->out, "VM %s is %s\nrevision %" G_GUINT64_FORMAT "\n",
				       e.vm, e.draining ? "draining" : "in service", revision);
	if (ctl_change_wait_for_proxies(ctl, revision) == PW_OK)
		return CTL_DONE;
	ctl_report_error(ctl, PW_ETIMEOUT);
	return CTL_FAILED;
}

static const struct drain_command_ops drain_ops = {
	.ops = { .needs_store = true, .supports_wait = true, .run = run_drain },
	.draining = true,
};

static const struct drain_command_ops undrain_ops = {
	.ops = { .needs_store = true, .supports_wait = true, .run = run_drain },
};

const struct ctl_command ctl_drain_command = {
	.ops = &drain_ops.ops,
	.name = "drain",
	.arguments = "VM",
	.summary = "let the proxy on a VM finish its work and take no new",
	.argument_count = 1,
};

const struct ctl_command ctl_undrain_command = {
	.ops = &undrain_ops.ops,
	.name = "undrain",
	.arguments = "VM",
	.summary = "put the proxy on a VM back in service",
	.argument_count = 1,
};
