#include "command.h"

#include "pw/core/error.h"

static enum ctl_exit run_check(const struct ctl_command *c, struct ctl_context *ctl, char **args)
{
	const struct pw_document *d = NULL;
	struct pw_findings *f;
	enum ctl_exit status = CTL_DONE;
	char *text;
	int rc = ctl_read_file(&text, args[0]);

	if (rc != PW_OK)
		return ctl_report_error(ctl, rc);
	pw_findings_new(&f);
	if (pw_document_parse(&d, text, strlen(text), 0, f) != PW_OK)
		status = ctl_report_findings(ctl, f);
	else if (ctl->settings.json)
		ctl_write_json(ctl, json_pack("{s:[]}", "findings"));
	else
		g_string_append_printf(
			ctl->out, "%s: no findings; %u databases, %u routes, %u accounts\n",
			args[0], d->database_count, d->route_count, d->account_count);
	pw_document_unref(d);
	pw_findings_free(f);
	g_free(text);
	return status;
}

static const struct ctl_command_ops check_ops = { .run = run_check };

const struct ctl_command ctl_check_command = {
	.ops = &check_ops,
	.name = "check",
	.arguments = "FILE",
	.summary = "validate a document without the store",
	.argument_count = 1,
};
