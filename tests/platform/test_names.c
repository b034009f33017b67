/* Tests of names in the platform's documents that become parts of messages to servers. */
#include "suite.h"

#include <glib.h>
#include <string.h>

#include "pw/codec/catalog.h"
#include "pw/core/error.h"
#include "pw/core/findings.h"
#include "pw/platform/platform.h"

/* Names of client accounts, as JSON text. */
static const struct {
	const char *label;
	const char *name;
	bool is_usable;
} account_cases[] = {
	{ "plain", "amber", true },
	{ "other than ASCII", "b\\u00e4r", true },
	{ "a line end and a message", "amber\\r\\nQUERY - STEPDOWN 9", false },
	{ "a line feed", "amber\\nx", false },
	{ "a blank", "amber i-7", false },
	{ "a blank in front", " amber", false },
	{ "a line feed at the end", "amber\\n", false },
	{ "a control character", "amber\\u0001", false },
	{ "empty", "", false },
};

/*
 * Guards against a message that the name of an account smuggles into the first one of a connection,
 * and against a catalogue that one such name makes unusable.
 */
START_TEST(test_account_names)
{
	const struct pw_catalog_source *source = &pw_platform_catalog_source;
	char *text = g_strdup_printf(
		"{\"Version\":1,\"Services\":[{\"Name\":\"s\"}],\"Routes\":[],\"Tenants\":["
		"{\"Name\":\"%s\",\"ApiKeys\":[\"k1\"]},{\"Name\":\"birch\",\"ApiKeys\":[\"k2\"]}]"
		"}",
		account_cases[_i].name);
	struct pw_catalog *c = NULL;
	struct pw_findings *f;

	pw_findings_new(&f);
	ck_assert_int_eq(source->ops->decode_catalog(&c, text, strlen(text), f), PW_OK);
	ck_assert_msg(c->accounts->len == 1U + account_cases[_i].is_usable, "%s: %u accounts",
		      account_cases[_i].label, c->accounts->len);
	pw_catalog_unref(c);
	pw_findings_free(f);
	g_free(text);
}
END_TEST

/* Keys and services of server entries, as JSON text. */
static const struct {
	const char *label;
	const char *key;
	const char *service;
	bool is_valid;
} entry_cases[] = {
	{ "plain", "servers/i-7", "s", true },
	{ "blank in the id", "servers/i 7", "s", false },
	{ "line end in the id", "servers/i\r\nQUERY - PAUSE 9", "s", false },
	{ "line end in the service", "servers/i-7", "s\\r\\nx", false },
	{ "NUL in the service", "servers/i-7", "s\\u0000x", false },
	{ "empty id", "servers/", "s", false },
};

/* Guards against an id or a service that adds a field or a message to the server protocol. */
START_TEST(test_server_entries)
{
	const struct pw_catalog_source *source = &pw_platform_catalog_source;
	char *text = g_strdup_printf(
		"{\"Service\":\"%s\",\"Address\":\"127.0.0.1:9\",\"Zone\":\"z\",\"Version\":\"1\","
		"\"Slots\":1,\"State\":\"ready\",\"WarmupLeftMs\":0,\"Sequence\":1,"
		"\"DbRole\":\"replica\"}",
		entry_cases[_i].service);
	struct pw_server_entry *e = NULL;
	int rc = source->ops->decode_server_entry(&e, entry_cases[_i].key, text, strlen(text));

	ck_assert_msg((rc == PW_OK) == entry_cases[_i].is_valid, "%s: %d", entry_cases[_i].label,
		      rc);
	pw_server_entry_free(e);
	g_free(text);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("names");

	tcase_add_loop_test(tc, test_account_names, 0, PW_ARRAY_LEN(account_cases));
	tcase_add_loop_test(tc, test_server_entries, 0, PW_ARRAY_LEN(entry_cases));
	return pw_suite_run("names", tc);
}
