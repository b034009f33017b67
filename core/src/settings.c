#include "pw/core/settings.h"

#include <string.h>

#include "pw/core/error.h"

/* Flags of one command line. */
struct parsed_flags {
	const struct pw_settings_spec *spec;
	char **values; /**< by index of the setting; NULL for a flag that was not given */
	gboolean help;
	gboolean version;
};

/* Returns the index of the setting with that flag, or `setting_count` if there is none. */
static size_t find_setting(const struct pw_settings_spec *spec, const char *name)
{
	size_t i = 0;

	while (i < spec->setting_count && g_strcmp0(spec->settings[i].flag, name) != 0)
		i++;
	return i;
}

/*
 * Stores the value of one flag, or adds it to the earlier values of a list. GLib calls it with the
 * name as given, with its dashes, and with NULL if an optional value is omitted.
 */
static gboolean take_flag(const gchar *name, const gchar *value, gpointer data, GError **error)
{
	struct parsed_flags *flags = data;
	size_t i = find_setting(flags->spec, name + strspn(name, "-"));
	char *previous_value;

	g_return_val_if_fail(i < flags->spec->setting_count, FALSE);
	previous_value = flags->values[i];
	if (previous_value && flags->spec->settings[i].ops->is_list)
		flags->values[i] = g_strconcat(previous_value, ",", value, NULL);
	else
		flags->values[i] = g_strdup(value ? value : "true");
	g_free(previous_value);
	return TRUE;
}

/*
 * Returns a GLib parser for the table. All flags go to take_flag(), which does not check their
 * values: set_value() checks them afterwards, so that all problems are reported together.
 */
static GOptionContext *new_option_context(struct parsed_flags *flags)
{
	const struct pw_settings_spec *spec = flags->spec;
	GOptionContext *context = g_option_context_new(spec->usage_arguments);
	GOptionGroup *group = g_option_group_new(spec->program, "", "", flags, NULL);
	GOptionEntry *entries = g_new0(GOptionEntry, spec->setting_count + 3);
	size_t n = 0;

	for (size_t i = 0; i < spec->setting_count; i++) {
		const struct pw_setting *s = &spec->settings[i];

		if (!s->flag)
			continue;
		entries[n++] = (GOptionEntry){
			.long_name = s->flag,
			.flags = s->ops->has_optional_value ? G_OPTION_FLAG_OPTIONAL_ARG : 0,
			.arg = G_OPTION_ARG_CALLBACK,
			/* GLib expects the callback in a data pointer. */
			.arg_data = (gpointer)(uintptr_t)take_flag,
			.description = s->help,
		};
	}
	entries[n++] = (GOptionEntry){
		.long_name = "help",
		.short_name = 'h',
		.arg = G_OPTION_ARG_NONE,
		.arg_data = &flags->help,
	};
	entries[n++] = (GOptionEntry){
		.long_name = "version",
		.arg = G_OPTION_ARG_NONE,
		.arg_data = &flags->version,
	};
	g_option_group_add_entries(group, entries);
	g_option_context_set_main_group(context, group);
	g_option_context_set_help_enabled(context, FALSE);
	/* Unknown flags are left to parse_remaining(), which reports all of them. */
	g_option_context_set_ignore_unknown_options(context, TRUE);
	g_free(entries);
	return context;
}

/* Splits what GLib left of the command line into positional arguments and unknown flags. */
static void parse_remaining(char **argv, struct pw_settings_arguments *arguments,
			    struct pw_findings *f)
{
	GPtrArray *positional = g_ptr_array_new();
	bool options_ended = false;

	for (size_t i = 1; argv[0] && argv[i]; i++) {
		if (!options_ended && strcmp(argv[i], "--") == 0) {
			options_ended = true;
		} else if (!options_ended && argv[i][0] == '-' && argv[i][1] != '\0') {
			char *name = g_strndup(argv[i], strcspn(argv[i], "="));

			pw_findings_add(f, name, "unknown flag");
			g_free(name);
		} else {
			g_ptr_array_add(positional, g_strdup(argv[i]));
		}
	}
	g_ptr_array_add(positional, NULL);
	arguments->positional = (char **)g_ptr_array_free(positional, FALSE);
}

/* Sets the value from the flag, the environment variable or the default, in this order. */
static void set_value(void *out, const struct pw_setting *s, const char *flag_value, char **envp,
		      bool report_missing, struct pw_findings *f)
{
	const char *variable_value =
		s->env_variable ? g_environ_getenv(envp, s->env_variable) : NULL;
	void *value = (uint8_t *)out + s->offset;
	char *location = s->flag ? g_strconcat("--", s->flag, NULL) : g_strdup(s->env_variable);

	if (flag_value)
		s->ops->parse(s, value, flag_value, location, f);
	else if (variable_value && variable_value[0])
		s->ops->parse(s, value, variable_value, s->env_variable, f);
	else if (s->default_text)
		s->ops->parse(s, value, s->default_text, location, f);
	else if (s->required && report_missing && s->flag && s->env_variable)
		pw_findings_add(f, location, "missing; it may be given as %s, too",
				s->env_variable);
	else if (s->required && report_missing)
		pw_findings_add(f, location, "missing");
	g_free(location);
}

static bool is_given(const struct parsed_flags *flags, size_t i, char **envp)
{
	const char *variable = flags->spec->settings[i].env_variable;
	const char *value = variable ? g_environ_getenv(envp, variable) : NULL;

	return flags->values[i] || (value && value[0]);
}

/* Reports the settings that are given although another one excludes them. */
static void check_exclusions(const struct parsed_flags *flags, char **envp, struct pw_findings *f)
{
	const struct pw_settings_spec *spec = flags->spec;

	for (size_t i = 0; i < spec->setting_count; i++) {
		const char *const *excluded = spec->settings[i].excludes;

		for (; excluded && *excluded && is_given(flags, i, envp); excluded++) {
			size_t other = find_setting(spec, *excluded);
			char *location = g_strconcat("--", *excluded, NULL);

			if (other < spec->setting_count && is_given(flags, other, envp))
				pw_findings_add(f, location, "cannot be given together with --%s",
						spec->settings[i].flag);
			g_free(location);
		}
	}
}

int pw_settings_parse(void *out, const struct pw_settings_spec *spec, char **argv, char **envp,
		      struct pw_settings_arguments *arguments, struct pw_findings *f)
{
	struct parsed_flags flags = { .spec = spec };
	GOptionContext *context;
	GError *error = NULL;
	char **remaining_argv = g_strdupv(argv);
	size_t findings_before = pw_findings_count(f);
	bool parsed;

	*arguments = (struct pw_settings_arguments){ 0 };
	flags.values = g_new0(char *, spec->setting_count + 1);
	context = new_option_context(&flags);
	parsed = g_option_context_parse_strv(context, &remaining_argv, &error);
	arguments->help = flags.help;
	arguments->version = flags.version;
	if (parsed)
		parse_remaining(remaining_argv, arguments, f);
	else
		pw_findings_add(f, "command line", "%s", error->message);
	/* After an error GLib does not see the later flags, so none is reported as missing. */
	for (size_t i = 0; i < spec->setting_count && !arguments->help && !arguments->version; i++)
		set_value(out, &spec->settings[i], flags.values[i], envp, parsed, f);
	if (!arguments->help && !arguments->version)
		check_exclusions(&flags, envp, f);
	for (size_t i = 0; i < spec->setting_count; i++)
		g_free(flags.values[i]);
	g_free(flags.values);
	g_clear_error(&error);
	g_strfreev(remaining_argv);
	g_option_context_free(context);
	if (pw_findings_count(f) > findings_before)
		return pw_error_set(PW_EINVALID, "the settings are not valid");
	return PW_OK;
}

void pw_settings_dispose(void *out, const struct pw_settings_spec *spec)
{
	for (size_t i = 0; i < spec->setting_count; i++) {
		if (spec->settings[i].ops->dispose)
			spec->settings[i].ops->dispose((uint8_t *)out + spec->settings[i].offset);
	}
}

void pw_settings_arguments_dispose(struct pw_settings_arguments *arguments)
{
	g_strfreev(arguments->positional);
	arguments->positional = NULL;
}

static void append_setting_help(GString *text, const struct pw_setting *s)
{
	if (s->flag && s->ops->has_optional_value)
		g_string_append_printf(text, "  --%s\n", s->flag);
	else if (s->flag)
		g_string_append_printf(text, "  --%s=%s\n", s->flag, s->ops->type);
	else
		g_string_append_printf(text, "  %s (environment only)\n", s->env_variable);
	g_string_append_printf(text, "      %s", s->help);
	if (s->choices) {
		char *choices = g_strjoinv(", ", (char **)(uintptr_t)s->choices);

		g_string_append_printf(text, "; one of %s", choices);
		g_free(choices);
	}
	if (s->unit)
		g_string_append_printf(text, "; in %s", s->unit);
	if (s->required)
		g_string_append(text, "; required");
	if (s->default_text)
		g_string_append_printf(text, "; default %s", s->default_text);
	if (s->flag && s->env_variable)
		g_string_append_printf(text, " [%s]", s->env_variable);
	g_string_append_c(text, '\n');
}

char *pw_settings_help(const struct pw_settings_spec *spec)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "Usage: %s [FLAG...] %s\n\n%s\n\nFlags:\n", spec->program,
			       spec->usage_arguments ? spec->usage_arguments : "", spec->summary);
	for (size_t i = 0; i < spec->setting_count; i++)
		append_setting_help(text, &spec->settings[i]);
	g_string_append(text, "  -h, --help\n      Print this text and exit.\n"
			      "  --version\n      Print the version and exit.\n");
	if (spec->epilogue)
		g_string_append_printf(text, "\n%s", spec->epilogue);
	return g_string_free(text, FALSE);
}
