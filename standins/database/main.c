/* Stand-in database server: one process is one server of a database group. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "pw/core/error.h"
#include "pw/core/event.h"
#include "server.h"

int main(int argc, char **argv)
{
	struct pw_db_options o = { .slots = 3, .connections_max = 100 };
	const GOptionEntry entries[] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &o.listen, "Address to serve", "IP:PORT" },
		{ "name", 0, 0, G_OPTION_ARG_STRING, &o.name, "Name of the server", "NAME" },
		{ "primary", 0, 0, G_OPTION_ARG_STRING, &o.primary,
		  "Primary to follow as replica; start as primary of term 1 if absent", "IP:PORT" },
		{ "lag-ms", 0, 0, G_OPTION_ARG_INT, &o.lag_ms, "Replication lag", "MS" },
		{ "statement-us", 0, 0, G_OPTION_ARG_INT, &o.statement_us,
		  "Work time of each statement", "US" },
		{ "slots", 0, 0, G_OPTION_ARG_INT, &o.slots, "Statements running at once", "N" },
		{ "max-connections", 0, 0, G_OPTION_ARG_INT, &o.connections_max,
		  "Connections above this are refused", "N" },
		{ "user", 0, 0, G_OPTION_ARG_STRING, &o.user, "User of the proxies", "NAME" },
		{ "password", 0, 0, G_OPTION_ARG_STRING, &o.password, "Its password", "TEXT" },
		{ "control-user", 0, 0, G_OPTION_ARG_STRING, &o.control_user,
		  "User for control statements and replication", "NAME" },
		{ "control-password", 0, 0, G_OPTION_ARG_STRING, &o.control_password,
		  "Its password", "TEXT" },
		{ 0 },
	};
	GOptionContext *context = g_option_context_new("- stand-in database server");
	GError *error = NULL;
	struct pw_mailbox *inbox;
	int rc;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "standin-database: %s\n", error->message);
		return EXIT_FAILURE;
	}
	g_option_context_free(context);
	if (!o.listen || !o.user || !o.password || !o.control_user || !o.control_password ||
	    o.slots < 1) {
		fprintf(stderr, "standin-database: --listen, users and passwords are required, "
				"--slots is at least 1\n");
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	pw_event_log_init(G_LOG_LEVEL_MESSAGE);
	if (pw_mailbox_new(&inbox))
		return EXIT_FAILURE;
	rc = pw_task_run(&pw_db_server_ops, inbox, &o);
	if (rc)
		fprintf(stderr, "standin-database: %s\n", pw_error_message());
	pw_mailbox_free(inbox);
	for (size_t i = 0; entries[i].long_name; i++) {
		if (entries[i].arg == G_OPTION_ARG_STRING)
			g_free(*(char **)entries[i].arg_data);
	}
	return rc ? EXIT_FAILURE : EXIT_SUCCESS;
}
