/* Entry point of pimentowingctl: reads the settings, finds the command and runs it. */
#include <stdio.h>

#include "command.h"
#include "pw/core/error.h"

static void print_help(struct ctl_context *ctl)
{
	const struct ctl_command *c;
	char *help = pw_settings_help(&ctl_settings_spec);

	g_string_append_printf(ctl->out, "%s\nCommands:\n", help);
	for (size_t i = 0; (c = ctl_command_at(i)) != NULL; i++) {
		char *usage = g_strdup_printf("%s %s", c->name, c->arguments);

		g_string_append_printf(ctl->out, "  %-24s %s\n", usage, c->summary);
		g_free(usage);
	}
	g_free(help);
}

static enum ctl_exit run_command(struct ctl_context *ctl, const struct ctl_command *c, char **args)
{
	int rc = PW_OK;

	if (c->ops->needs_store)
		rc = ctl_document_store_open(&ctl->store, ctl->settings.store_addresses,
					     ctl->settings.service);
	if (rc == PW_OK && ctl->settings.api_addresses)
		rc = ctl_api_client_open(&ctl->api, ctl->settings.api_token,
					 ctl->settings.api_ca_path);
	if (rc != PW_OK)
		return ctl_report_error(ctl, rc);
	return c->ops->run(c, ctl, args);
}

static enum ctl_exit parse_and_run(struct ctl_context *ctl, char **argv, char **envp)
{
	struct pw_settings_arguments rest = { 0 };
	const struct ctl_command *c = NULL;
	enum ctl_exit status = CTL_DONE;
	struct pw_findings *f;
	char **args = NULL;

	pw_findings_new(&f);
	pw_settings_parse(&ctl->settings, &ctl_settings_spec, argv, envp, &rest, f);
	if (rest.help) {
		print_help(ctl);
		goto done;
	}
	if (rest.version) {
		g_string_append(ctl->out, "pimentowingctl " PW_VERSION "\n");
		goto done;
	}
	if (rest.positional)
		c = ctl_command_find(&args, rest.positional, f);
	if (c)
		ctl_command_check_settings(c, &ctl->settings, f);
	if (!c || pw_findings_count(f) > 0)
		status = ctl_report_findings(ctl, f);
	else
		status = run_command(ctl, c, args);
done:
	pw_settings_arguments_dispose(&rest);
	pw_findings_free(f);
	return status;
}

int main(int argc, char **argv)
{
	struct ctl_context ctl = { .out = g_string_new(NULL), .err = g_string_new(NULL) };
	char **envp = g_get_environ();
	enum ctl_exit status = parse_and_run(&ctl, argv, envp);

	if (fputs(ctl.out->str, stdout) < 0 || fflush(stdout) != 0)
		status = CTL_FAILED;
	fputs(ctl.err->str, stderr);
	if (ctl.store)
		ctl.store->ops->free(ctl.store);
	if (ctl.api)
		ctl.api->ops->free(ctl.api);
	pw_settings_dispose(&ctl.settings, &ctl_settings_spec);
	g_string_free(ctl.out, TRUE);
	g_string_free(ctl.err, TRUE);
	g_strfreev(envp);
	return (int)status;
}
