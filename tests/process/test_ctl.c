/* Tests the program pimentowingctl: the command `check`, help texts and usage errors. */
#include "suite.h"

#include <glib.h>
#include <string.h>

/* Exit statuses, as docs/pimentowingctl.1 documents them. CTL_FINDINGS includes wrong usage. */
enum { CTL_DONE = 0, CTL_FAILED = 1, CTL_FINDINGS = 2 };

#define CTL_PATH         PW_BUILD_DIR "/ctl/pimentowingctl"
#define EXAMPLE_DOCUMENT PW_SOURCE_DIR "/docs/example.json"

static const struct {
	const char *label;
	char *args[8];
	char *envp[4]; /**< the whole environment */
	int status;
	const char *out; /**< expected part of standard output; "": must be empty */
	const char *err; /**< expected part of standard error; "": must be empty */
} cases[] = {
	{ "check",
	  { "check", EXAMPLE_DOCUMENT },
	  { NULL },
	  CTL_DONE,
	  "3 databases, 10 routes, 8 acc",
	  "" },
	{ "check as JSON",
	  { "check", EXAMPLE_DOCUMENT, "--json" },
	  { NULL },
	  CTL_DONE,
	  "{\"findings\":[]}\n",
	  "" },
	{ "check of a file that is not JSON",
	  { "check", PW_SOURCE_DIR "/Makefile" },
	  { NULL },
	  CTL_FINDINGS,
	  "",
	  "line 1, column 5: not valid JSON" },
	{ "findings as JSON",
	  { "check", PW_SOURCE_DIR "/Makefile" },
	  { "PW_JSON=1" },
	  CTL_FINDINGS,
	  "{\"findings\":[{\"place\":\"line 1, column 5\"",
	  "" },
	{ "check of a missing file",
	  { "check", "/nonexistent" },
	  { NULL },
	  CTL_FAILED,
	  "",
	  "/nonexistent: No such file" },
	{ "check of a directory", { "check", "/" }, { NULL }, CTL_FAILED, "", "cannot be read" },
	{ "help", { "--help" }, { NULL }, CTL_DONE, "key withdraw ACCOUNT ID", "" },
	{ "help with an unknown command", { "nil", "-h" }, { NULL }, CTL_DONE, "undrain VM", "" },
	{ "version", { "--version" }, { NULL }, CTL_DONE, "pimentowingctl 0.", "" },
	{ "no command", { NULL }, { NULL }, CTL_FINDINGS, "", "command: missing" },
	{ "unknown command", { "nil" }, { NULL }, CTL_FINDINGS, "", "command: unknown" },
	{ "incomplete command", { "key" }, { NULL }, CTL_FINDINGS, "", "command: unknown" },
	{ "missing argument", { "check" }, { NULL }, CTL_FINDINGS, "", "check: takes 1 arguments" },
	{ "extra argument", { "show", "x" }, { NULL }, CTL_FINDINGS, "", "show: takes 0" },
	{ "several problems in one call",
	  { "apply", "x", "--nil=1", "--wait", "--revision=0" },
	  { "PW_WAIT_TIMEOUT=5" },
	  CTL_FINDINGS,
	  "",
	  "--nil: unknown flag\n"
	  "--revision: must be a number from 1 to 18446744073709551615\n"
	  "PW_WAIT_TIMEOUT: must be a duration such as 250ms, 30s or 2min\n"
	  "--store: missing; it may be given as PW_STORE, too\n"
	  "--service: missing; it may be given as PW_SERVICE, too\n"
	  "--api: missing; it may be given as PW_API, too\n" },
	{ "key with --wait and without --api",
	  { "key", "withdraw", "amber", "00000000", "--wait" },
	  { "PW_STORE=127.0.0.1:1", "PW_SERVICE=s" },
	  CTL_FINDINGS,
	  "",
	  "--api: missing" },
	{ "variable that is not an address",
	  { "show" },
	  { "PW_STORE=localhost:1", "PW_SERVICE=s" },
	  CTL_FINDINGS,
	  "",
	  "PW_STORE[0]: must be an address" },
	{ "a token is not taken from the command line",
	  { "status", "--api-token=x" },
	  { "PW_API=127.0.0.1:1" },
	  CTL_FINDINGS,
	  "",
	  "--api-token: unknown flag" },
	{ "proxy that does not answer",
	  { "status" },
	  { "PW_API=127.0.0.1:1" },
	  CTL_FAILED,
	  "",
	  "127.0.0.1:1: " },
};

/* Guards against a wrong exit status and against output on the wrong stream. */
START_TEST(test_program)
{
	char *argv[10] = { (char *)CTL_PATH };
	char *out, *err;
	GError *error = NULL;
	int wait_status;

	for (size_t i = 0; cases[_i].args[i]; i++)
		argv[i + 1] = cases[_i].args[i];
	ck_assert_msg(g_spawn_sync(NULL, argv, (char **)(uintptr_t)cases[_i].envp, G_SPAWN_DEFAULT,
				   NULL, NULL, &out, &err, &wait_status, &error),
		      "%s", error ? error->message : "");
	ck_assert(WIFEXITED(wait_status));
	ck_assert_msg(WEXITSTATUS(wait_status) == cases[_i].status, "%s: status %d: %s%s",
		      cases[_i].label, WEXITSTATUS(wait_status), out, err);
	ck_assert_msg(strstr(out, cases[_i].out) != NULL, "%s: %s", cases[_i].label, out);
	ck_assert_msg(strstr(err, cases[_i].err) != NULL, "%s: %s", cases[_i].label, err);
	if (cases[_i].out[0] == '\0')
		ck_assert_str_eq(out, "");
	if (cases[_i].err[0] == '\0')
		ck_assert_str_eq(err, "");
	g_free(out);
	g_free(err);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("ctl");

	tcase_add_loop_test(tc, test_program, 0, PW_ARRAY_LEN(cases));
	return pw_suite_run("ctl", tc);
}
