/* Tests of settings and addresses. */
#include "suite.h"

#include <string.h>

#include "pw/core/address.h"
#include "pw/core/error.h"
#include "pw/core/settings.h"

struct example {
	char *name;
	char *secret;
	char *listen;
	char **peers;
	uint32_t tasks;
	uint64_t memory_bytes;
	uint64_t grace_us;
	uint64_t limit_us;
	uint32_t level;
	bool json;
};

static const char *const levels[] = { "debug", "message", "warning", NULL };

static const char *const limit_excludes[] = { "grace", "tasks", NULL };

#define FIELD(member) .offset = offsetof(struct example, member)

static const struct pw_setting settings[] = {
	{ .ops = &pw_setting_string,
	  .flag = "name",
	  .env_variable = "PW_NAME",
	  .help = "Name of the VM",
	  FIELD(name),
	  .required = true },
	{ .ops = &pw_setting_string,
	  .env_variable = "PW_SECRET",
	  .help = "Password",
	  FIELD(secret) },
	{ .ops = &pw_setting_address,
	  .flag = "listen",
	  .env_variable = "PW_LISTEN",
	  .default_text = "127.0.0.1:5432",
	  .help = "Address",
	  FIELD(listen) },
	{ .ops = &pw_setting_addresses,
	  .flag = "peers",
	  .env_variable = "PW_PEERS",
	  .help = "Peers",
	  FIELD(peers) },
	{ .ops = &pw_setting_u32,
	  .flag = "tasks",
	  .env_variable = "PW_TASKS",
	  .default_text = "2",
	  .help = "Front tasks",
	  .min = 1,
	  .max = 64,
	  FIELD(tasks) },
	{ .ops = &pw_setting_u64,
	  .flag = "memory",
	  .env_variable = "PW_MEMORY",
	  .unit = "bytes",
	  .help = "Memory",
	  FIELD(memory_bytes) },
	{ .ops = &pw_setting_duration,
	  .flag = "grace",
	  .env_variable = "PW_GRACE",
	  .default_text = "5s",
	  .help = "Grace",
	  .max = UINT64_C(60000000),
	  FIELD(grace_us) },
	{ .ops = &pw_setting_duration,
	  .flag = "limit",
	  .env_variable = "PW_LIMIT",
	  .help = "Limit",
	  .excludes = limit_excludes,
	  FIELD(limit_us) },
	{ .ops = &pw_setting_choice,
	  .flag = "level",
	  .env_variable = "PW_LEVEL",
	  .default_text = "message",
	  .help = "Level",
	  .choices = levels,
	  FIELD(level) },
	{ .ops = &pw_setting_bool,
	  .flag = "json",
	  .env_variable = "PW_JSON",
	  .help = "JSON",
	  FIELD(json) },
};

static const struct pw_settings_spec spec = {
	.program = "example",
	.usage_arguments = "FILE",
	.summary = "An example.",
	.epilogue = "End.\n",
	.settings = settings,
	.setting_count = PW_ARRAY_LEN(settings),
};

/* Formats all values as one line, which a case can give as its expectation. */
static char *format_values(const struct example *e, const struct pw_settings_arguments *arguments)
{
	char *peers = e->peers ? g_strjoinv("+", e->peers) : g_strdup("");
	char *positional =
		arguments->positional ? g_strjoinv("+", arguments->positional) : g_strdup("");
	char *text = g_strdup_printf(
		"%s|%s|%s|%s|%u|%" G_GUINT64_FORMAT "|%" G_GUINT64_FORMAT "|%u|%d|%s",
		e->name ? e->name : "", e->secret ? e->secret : "", e->listen, peers, e->tasks,
		e->memory_bytes, e->grace_us, e->level, e->json, positional);

	g_free(peers);
	g_free(positional);
	return text;
}

static const struct {
	const char *label;
	char *argv[8];
	char *envp[4];
	const char *values;   /**< as returned by format_values(); NULL: not checked */
	const char *findings; /**< locations, in order, each followed by a blank */
} parse_cases[] = {
	{ "defaults", { "x", "--name=a" }, { NULL }, "a||127.0.0.1:5432||2|0|5000000|1|0|", "" },
	{ "value in the next argument",
	  { "x", "--name", "a", "--tasks", "7" },
	  { NULL },
	  "a||127.0.0.1:5432||7|0|5000000|1|0|",
	  "" },
	{ "environment",
	  { "x" },
	  { "PW_NAME=b", "PW_SECRET=s", "PW_JSON=true" },
	  "b|s|127.0.0.1:5432||2|0|5000000|1|1|",
	  "" },
	{ "flag takes precedence over environment",
	  { "x", "--name=a", "--json=false" },
	  { "PW_NAME=b", "PW_JSON=1" },
	  "a||127.0.0.1:5432||2|0|5000000|1|0|",
	  "" },
	{ "empty variable counts as absent",
	  { "x", "--name=a" },
	  { "PW_TASKS=" },
	  "a||127.0.0.1:5432||2|0|5000000|1|0|",
	  "" },
	{ "list from commas and repeated flags",
	  { "x", "--name=a", "--peers=1.1.1.1:1, 1.1.1.2:2", "--peers=[::1]:3" },
	  { NULL },
	  "a||127.0.0.1:5432|1.1.1.1:1+1.1.1.2:2+[::1]:3|2|0|5000000|1|0|",
	  "" },
	{ "last value of a repeated flag",
	  { "x", "--name=a", "--name=b", "--grace=1min", "--level=debug" },
	  { NULL },
	  "b||127.0.0.1:5432||2|0|60000000|0|0|",
	  "" },
	{ "positional arguments, also after two dashes",
	  { "x", "--name=a", "w", "--json", "-", "--", "--tasks" },
	  { NULL },
	  "a||127.0.0.1:5432||2|0|5000000|1|1|w+-+--tasks",
	  "" },
	{ "required setting is missing", { "x" }, { NULL }, NULL, "--name " },
	{ "all problems at once",
	  { "x", "--tasks=0", "--grace=5", "--level=loud", "--listen=host:1", "--bad=1" },
	  { "PW_MEMORY=-1", "PW_PEERS=1.1.1.1:1,x", "PW_JSON=maybe" },
	  NULL,
	  "--bad --name --listen PW_PEERS[1] --tasks PW_MEMORY --grace --level PW_JSON " },
	{ "a secret has no flag", { "x", "--name=a", "--secret=s" }, { NULL }, NULL, "--secret " },
	{ "value above the limit",
	  { "x", "--name=a", "--tasks=65", "--grace=61s" },
	  { NULL },
	  NULL,
	  "--tasks --grace " },
	{ "numbers with signs, fractions and overflow",
	  { "x", "--name=a", "--tasks=+1", "--memory=1.5", "--grace=99999999999999999999h" },
	  { NULL },
	  NULL,
	  "--tasks --memory --grace " },
	{ "setting beside defaults of the ones that it excludes",
	  { "x", "--name=a", "--limit=1s" },
	  { "PW_GRACE=" },
	  "a||127.0.0.1:5432||2|0|5000000|1|0|",
	  "" },
	{ "settings that exclude each other",
	  { "x", "--name=a", "--limit=1s", "--grace=1s" },
	  { "PW_TASKS=2" },
	  NULL,
	  "--grace --tasks " },
	{ "settings that exclude each other, by environment",
	  { "x", "--name=a", "--tasks=2" },
	  { "PW_LIMIT=1s" },
	  NULL,
	  "--tasks " },
	{ "fractions of a duration",
	  { "x", "--name=a", "--grace=2.5s" },
	  { NULL },
	  "a||127.0.0.1:5432||2|0|2500000|1|0|",
	  "" },
	{ "fraction of zero",
	  { "x", "--name=a", "--grace=6.0s" },
	  { NULL },
	  "a||127.0.0.1:5432||2|0|6000000|1|0|",
	  "" },
	{ "fractions of a duration, not valid",
	  { "x", "--name=a", "--grace=1.s" },
	  { NULL },
	  NULL,
	  "--grace " },
	{ "fraction without whole part",
	  { "x", "--name=a", "--limit=.5s" },
	  { NULL },
	  NULL,
	  "--limit " },
	{ "fraction with too many digits",
	  { "x", "--name=a", "--limit=1.1234567s" },
	  { NULL },
	  NULL,
	  "--limit " },
	{ "fraction with two points",
	  { "x", "--name=a", "--limit=1.2.3s" },
	  { NULL },
	  NULL,
	  "--limit " },
	{ "empty value", { "x", "--name=" }, { NULL }, NULL, "--name " },
	{ "value missing", { "x", "--name" }, { NULL }, NULL, "command line " },
};

/*
 * Guards against a wrong precedence of flags, variables and defaults, and against a report that
 * stops at the first problem.
 */
START_TEST(test_parse)
{
	struct example e = { 0 };
	struct pw_settings_arguments arguments;
	struct pw_findings *f;
	GString *locations = g_string_new(NULL);
	char *values, *report;
	int rc;

	pw_findings_new(&f);
	rc = pw_settings_parse(&e, &spec, (char **)(uintptr_t)parse_cases[_i].argv,
			       (char **)(uintptr_t)parse_cases[_i].envp, &arguments, f);
	for (size_t i = 0; i < pw_findings_count(f); i++)
		g_string_append_printf(locations, "%s ", pw_findings_at(f, i)->location);
	report = pw_findings_format(f);
	ck_assert_msg(!strcmp(locations->str, parse_cases[_i].findings), "%s: %s",
		      parse_cases[_i].label, report);
	ck_assert_int_eq(rc, pw_findings_count(f) ? PW_EINVALID : PW_OK);
	if (parse_cases[_i].values) {
		values = format_values(&e, &arguments);
		ck_assert_msg(!strcmp(values, parse_cases[_i].values), "%s: %s",
			      parse_cases[_i].label, values);
		g_free(values);
	}
	pw_settings_dispose(&e, &spec);
	pw_settings_arguments_dispose(&arguments);
	g_string_free(locations, TRUE);
	g_free(report);
	pw_findings_free(f);
}
END_TEST

static const struct {
	const char *flag;
	bool help;
	bool version;
} help_cases[] = {
	{ "--help", true, false },
	{ "-h", true, false },
	{ "--version", false, true },
};

/* Guards against a request for help that fails because required settings are missing. */
START_TEST(test_help_needs_no_settings)
{
	struct example e = { 0 };
	struct pw_settings_arguments arguments;
	struct pw_findings *f;
	char *argv[] = { (char *)"x", (char *)(uintptr_t)help_cases[_i].flag, NULL };
	char *envp[] = { NULL };

	pw_findings_new(&f);
	ck_assert_int_eq(pw_settings_parse(&e, &spec, argv, envp, &arguments, f), PW_OK);
	ck_assert(arguments.help == help_cases[_i].help);
	ck_assert(arguments.version == help_cases[_i].version);
	pw_settings_dispose(&e, &spec);
	pw_settings_arguments_dispose(&arguments);
	pw_findings_free(f);
}
END_TEST

/* Guards against a setting that is missing from the help text. */
START_TEST(test_help_shows_every_setting)
{
	char *help = pw_settings_help(&spec);

	for (size_t i = 0; i < spec.setting_count; i++) {
		ck_assert_ptr_nonnull(strstr(help, settings[i].env_variable));
		ck_assert_ptr_nonnull(strstr(help, settings[i].help));
		if (settings[i].flag)
			ck_assert_ptr_nonnull(strstr(help, settings[i].flag));
	}
	ck_assert_ptr_nonnull(strstr(help, "one of debug, message, warning; default message"));
	ck_assert_ptr_nonnull(strstr(help, "in bytes"));
	ck_assert_ptr_nonnull(strstr(help, "End."));
	g_free(help);
}
END_TEST

static const struct {
	const char *text;
	int result;
	int family;
} address_cases[] = {
	{ "127.0.0.1:1", PW_OK, AF_INET },
	{ "255.255.255.255:65535", PW_OK, AF_INET },
	{ "[::1]:1", PW_OK, AF_INET6 },
	{ "127.0.0.1", PW_EINVALID, 0 },
	{ "127.0.0.1:", PW_EINVALID, 0 },
	{ "127.0.0.1:0", PW_EINVALID, 0 },
	{ "127.0.0.1:65536", PW_EINVALID, 0 },
	{ "127.0.0.1:+1", PW_EINVALID, 0 },
	{ "127.0.0.1:1 ", PW_EINVALID, 0 },
	{ " 127.0.0.1:1", PW_EINVALID, 0 },
	{ "127.1:1", PW_EINVALID, 0 },
	{ "::1:1", PW_EINVALID, 0 },
	{ "[127.0.0.1]:1", PW_EINVALID, 0 },
	{ "[::1:1", PW_EINVALID, 0 },
	{ "[]:1", PW_EINVALID, 0 },
	{ "[:1", PW_EINVALID, 0 },
	{ ":1", PW_EINVALID, 0 },
	{ "", PW_EINVALID, 0 },
	{ "localhost:1", PW_EINVALID, 0 },
	{ "11111111111111111111111111111111111111111111111111:1", PW_EINVALID, 0 },
};

/* Guards against a host name or an incomplete address that is accepted. */
START_TEST(test_address)
{
	struct pw_address a;
	int rc = pw_address_parse(&a, address_cases[_i].text);

	ck_assert_msg(rc == address_cases[_i].result, "case: %s", address_cases[_i].text);
	if (rc == PW_OK)
		ck_assert_int_eq(a.socket.ss_family, address_cases[_i].family);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("settings");

	tcase_add_loop_test(tc, test_parse, 0, PW_ARRAY_LEN(parse_cases));
	tcase_add_loop_test(tc, test_help_needs_no_settings, 0, PW_ARRAY_LEN(help_cases));
	tcase_add_test(tc, test_help_shows_every_setting);
	tcase_add_loop_test(tc, test_address, 0, PW_ARRAY_LEN(address_cases));
	return pw_suite_run("settings", tc);
}
