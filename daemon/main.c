#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "pw/core/event.h"
#include "root.h"
#include "settings.h"

#define EXIT_INVALID_SETTINGS 2

/*
 * Blocks from this size on are mapped by themselves and go back to the system when they are freed.
 * Without a fixed value the allocator raises it with each large block that is freed.
 */
#define MAPPED_BLOCK_MIN_BYTES (128 * 1024)

/** GLib log levels, in the order of the choices of --log-level. */
static const GLogLevelFlags glib_log_levels[] = {
	G_LOG_LEVEL_WARNING,
	G_LOG_LEVEL_MESSAGE,
	G_LOG_LEVEL_INFO,
	G_LOG_LEVEL_DEBUG,
};

/* Prints the findings. Returns the exit status for invalid settings. */
static int print_findings(const struct pw_findings *f)
{
	char *text = pw_findings_format(f);

	fprintf(stderr, "%s", text);
	g_free(text);
	return EXIT_INVALID_SETTINGS;
}

static void print_help(void)
{
	char *text = pw_settings_help(&pw_process_settings_spec);

	printf("%s", text);
	g_free(text);
}

static int check_and_run(const struct pw_process_settings *s, struct pw_findings *f)
{
	pw_process_settings_check(s, f);
	if (pw_findings_count(f))
		return print_findings(f);
	pw_event_log_init(glib_log_levels[s->log_level_index]);
	return pw_root_run(s) ? EXIT_FAILURE : EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct pw_process_settings s = { 0 };
	struct pw_settings_arguments args = { 0 };
	struct pw_findings *f = NULL;
	char **envp = g_get_environ();
	int status = EXIT_SUCCESS;

	(void)argc;
	(void)mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_MIN_BYTES);
	pw_findings_new(&f);
	if (pw_settings_parse(&s, &pw_process_settings_spec, argv, envp, &args, f)) {
		status = print_findings(f);
	} else if (args.help) {
		print_help();
	} else if (args.version) {
		printf("pimentowingd %s\n", PW_VERSION);
	} else {
		status = check_and_run(&s, f);
	}
	pw_settings_arguments_dispose(&args);
	pw_settings_dispose(&s, &pw_process_settings_spec);
	pw_findings_free(f);
	g_strfreev(envp);
	return status;
}
