#include "command.h"

#include "pw/core/error.h"

static void write_document(struct ctl_context *ctl, const char *text, uint64_t revision)
{
	json_t *root;

	if (!ctl->settings.json) {
		g_string_append(ctl->out, text);
		g_string_append_printf(ctl->err, "revision %" G_GUINT64_FORMAT "\n", revision);
		return;
	}
	root = json_loads(text, 0, NULL);
	ctl_write_json(ctl, json_pack("{s:I, s:o}", "revision", (json_int_t)revision, "document",
				      root ? root : json_null()));
}

static enum ctl_exit run_show(const struct ctl_command *c, struct ctl_context *ctl, char **args)
{
	struct ctl_document_store *s = ctl->store;
	uint64_t revision;
	char *text;
	int rc = s->ops->get(s, &text, &revision, ctl->settings.revision);

	if (rc != PW_OK)
		return ctl_report_error(ctl, rc);
	write_document(ctl, text, revision);
	g_free(text);
	return CTL_DONE;
}

static const struct ctl_command_ops show_ops = { .needs_store = true, .run = run_show };

const struct ctl_command ctl_show_command = {
	.ops = &show_ops,
	.name = "show",
	.arguments = "",
	.summary = "print the stored document, and its revision on standard error",
};
