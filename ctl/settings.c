#include "command.h"

#include "pw/core/clock.h"

#define OFFSET_OF(member) .offset = offsetof(struct ctl_settings, member)

static const struct pw_setting settings[] = {
	{ .ops = &pw_setting_addresses,
	  .flag = "store",
	  .env_variable = "PW_STORE",
	  .help = "addresses of the store",
	  OFFSET_OF(store_addresses) },
	{ .ops = &pw_setting_string,
	  .flag = "service",
	  .env_variable = "PW_SERVICE",
	  .help = "name of the service",
	  OFFSET_OF(service) },
	{ .ops = &pw_setting_addresses,
	  .flag = "api",
	  .env_variable = "PW_API",
	  .help = "addresses of the proxies' administration API",
	  OFFSET_OF(api_addresses) },
	{ .ops = &pw_setting_string,
	  .flag = "api-ca",
	  .env_variable = "PW_API_CA",
	  .help = "PEM file of certificates to trust; the administration API is then reached by "
		  "TLS",
	  OFFSET_OF(api_ca_path) },
	{ .ops = &pw_setting_string,
	  .env_variable = "PW_API_TOKEN",
	  .help = "token of the operator for the administration API",
	  OFFSET_OF(api_token) },
	{ .ops = &pw_setting_u64,
	  .flag = "revision",
	  .help = "apply: revision that the change starts from; show: revision to print",
	  .min = 1,
	  OFFSET_OF(revision) },
	{ .ops = &pw_setting_bool,
	  .flag = "wait",
	  .help = "apply, key: wait until all proxies at --api report the new revision",
	  OFFSET_OF(wait) },
	{ .ops = &pw_setting_duration,
	  .flag = "wait-timeout",
	  .env_variable = "PW_WAIT_TIMEOUT",
	  .default_text = "10s",
	  .help = "longest wait",
	  .max = 3600 * PW_US_PER_S,
	  OFFSET_OF(wait_timeout_us) },
	{ .ops = &pw_setting_string,
	  .flag = "position",
	  .help = "explain: log position of the session's last commit, TERM.NUMBER",
	  OFFSET_OF(position) },
	{ .ops = &pw_setting_bool,
	  .flag = "json",
	  .env_variable = "PW_JSON",
	  .help = "write JSON for programs",
	  OFFSET_OF(json) },
};

const struct pw_settings_spec ctl_settings_spec = {
	.program = "pimentowingctl",
	.usage_arguments = "COMMAND [ARGUMENT...]",
	.summary = "Manages the service document and the proxies of a pimentowing service.",
	.epilogue = "Exit status: 0 done, 1 failed, 2 wrong usage or findings, 3 conflict with "
		    "another operator,\n4 store unavailable.\n",
	.settings = settings,
	.setting_count = G_N_ELEMENTS(settings),
};
