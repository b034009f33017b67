#include "command.h"

#include <stdio.h>
#include <string.h>

#include "pw/core/error.h"

static const struct ctl_command *const commands[] = {
	&ctl_check_command,          &ctl_apply_command,   &ctl_show_command,
	&ctl_status_command,         &ctl_explain_command, &ctl_key_new_command,
	&ctl_key_withdraw_command,   &ctl_drain_command,   &ctl_undrain_command,
	&ctl_replica_forget_command,
};

const struct ctl_command *ctl_command_at(size_t i)
{
	return i < G_N_ELEMENTS(commands) ? commands[i] : NULL;
}

/* Returns the number of words in the command's name, or 0 if the command line starts otherwise. */
static size_t match_command_name(const struct ctl_command *c, char **words)
{
	char **names = g_strsplit(c->name, " ", -1);
	size_t n = 0;

	while (names[n] && words[n] && strcmp(names[n], words[n]) == 0)
		n++;
	if (names[n])
		n = 0;
	g_strfreev(names);
	return n;
}

const struct ctl_command *ctl_command_find(char ***args, char **words, struct pw_findings *f)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		const struct ctl_command *c = commands[i];
		size_t n = match_command_name(c, words);

		if (n == 0)
			continue;
		*args = words + n;
		if (g_strv_length(*args) == c->argument_count)
			return c;
		pw_findings_add(f, c->name, "takes %u arguments: %s %s", c->argument_count, c->name,
				c->arguments);
		return NULL;
	}
	if (words[0])
		pw_findings_add(f, "command", "unknown; --help lists the commands");
	else
		pw_findings_add(f, "command", "missing; --help lists the commands");
	return NULL;
}

void ctl_command_check_settings(const struct ctl_command *c, const struct ctl_settings *s,
				struct pw_findings *f)
{
	bool needs_api = c->ops->needs_api || (c->ops->supports_wait && s->wait);

	if (c->ops->needs_store && !s->store_addresses)
		pw_findings_add(f, "--store", "missing; it may be given as PW_STORE, too");
	if (c->ops->needs_store && !s->service)
		pw_findings_add(f, "--service", "missing; it may be given as PW_SERVICE, too");
	if (needs_api && !s->api_addresses)
		pw_findings_add(f, "--api", "missing; it may be given as PW_API, too");
}

static enum ctl_exit exit_status_of(int code)
{
	switch (code) {
	case PW_OK:
		return CTL_DONE;
	case PW_ECONFLICT:
		return CTL_CONFLICT;
	case PW_EUNAVAILABLE:
	case PW_ETIMEOUT:
		return CTL_UNAVAILABLE;
	default:
		return CTL_FAILED;
	}
}

enum ctl_exit ctl_report_error(struct ctl_context *ctl, int code)
{
	if (ctl->settings.json)
		ctl_write_json(ctl, json_pack("{s:s}", "error", pw_error_message()));
	else
		g_string_append_printf(ctl->err, "pimentowingctl: %s\n", pw_error_message());
	return exit_status_of(code);
}

enum ctl_exit ctl_report_findings(struct ctl_context *ctl, const struct pw_findings *f)
{
	json_t *list;

	if (!ctl->settings.json) {
		char *report = pw_findings_format(f);

		g_string_append(ctl->err, report);
		g_free(report);
		return CTL_FINDINGS;
	}
	list = json_array();
	for (size_t i = 0; i < pw_findings_count(f); i++) {
		const struct pw_finding *item = pw_findings_at(f, i);

		json_array_append_new(list, json_pack("{s:s, s:s}", "place", item->location, "text",
						      item->message));
	}
	ctl_write_json(ctl, json_pack("{s:o}", "findings", list));
	return CTL_FINDINGS;
}

void ctl_write_json(struct ctl_context *ctl, json_t *object)
{
	char *text = json_dumps(object, JSON_COMPACT);

	g_string_append_printf(ctl->out, "%s\n", text ? text : "{}");
	free(text);
	json_decref(object);
}

int ctl_read_file(char **text, const char *path)
{
	bool is_stdin = strcmp(path, "-") == 0;
	FILE *file = is_stdin ? stdin : fopen(path, "re");
	size_t size_bytes;
	int rc = PW_OK;

	if (!file)
		return pw_error_set(PW_ENOTFOUND, "%s: %s", path, g_strerror(errno));
	/* One byte above the limit lets the parser find and report a larger file. */
	*text = g_malloc0(PW_DOCUMENT_MAX_BYTES + 2);
	size_bytes = fread(*text, 1, PW_DOCUMENT_MAX_BYTES + 1, file);
	if (ferror(file))
		rc = pw_error_set(PW_ESYSTEM, "%s: cannot be read", path);
	else if (strlen(*text) != size_bytes)
		rc = pw_error_set(PW_EINVALID, "%s: contains a NUL byte", path);
	if (!is_stdin)
		fclose(file);
	if (rc != PW_OK)
		g_clear_pointer(text, g_free);
	return rc;
}
