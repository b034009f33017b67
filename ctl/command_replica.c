#include "command.h"

#include <string.h>

#include "pw/core/error.h"

/* Stands for the server if the replica set is not known. */
#define UNKNOWN_SET "unknown"

/* Asks one proxy after the other, since one that does not reach the store cannot do it. */
static enum ctl_exit run_forget(const struct ctl_command *c, struct ctl_context *ctl, char **args)
{
	const char *server = strcmp(args[1], UNKNOWN_SET) == 0 ? NULL : args[1];
	int rc = PW_EUNAVAILABLE;

	(void)c;
	for (char **address = ctl->settings.api_addresses; *address; address++) {
		rc = ctl->api->ops->forget_replica(ctl->api, *address, args[0], server);
		if (rc == PW_OK || rc == PW_ETIMEOUT)
			break;
		g_string_append_printf(ctl->err, "pimentowingctl: %s\n", pw_error_message());
	}
	if (rc == PW_OK && ctl->settings.json)
		ctl_write_json(ctl,
			       json_pack("{s:s, s:s}", "database", args[0], "forgotten", args[1]));
	else if (rc == PW_OK)
		g_string_append_printf(ctl->out, "database %s no longer waits for %s\n", args[0],
				       server ? server : "servers that are not registered");
	else if (rc == PW_ETIMEOUT)
		g_string_append_printf(ctl->err, "pimentowingctl: %s\n", pw_error_message());
	if (rc == PW_OK)
		return CTL_DONE;
	return rc == PW_ECONFLICT ? CTL_CONFLICT : CTL_FAILED;
}

static const struct ctl_command_ops forget_ops = { .needs_api = true, .run = run_forget };

const struct ctl_command ctl_replica_forget_command = {
	.ops = &forget_ops,
	.name = "replica forget",
	.arguments = "DATABASE SERVER",
	.summary = "give up the commits that only a lost server may have; SERVER: its id, or "
		   "unknown",
	.argument_count = 2,
};
