/* Tests of the service document: validation, limits, routes, defaults and references. */
#include "suite.h"

#include <glib.h>
#include <string.h>

#include "pw/codec/document.h"
#include "pw/core/error.h"

#define SALT "000102030405060708090a0b0c0d0e0f"
#define HASH "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

static const char base_document[] =
	"{\"service\":\"s\",\"version\":1,\"databases\":["
	"{\"name\":\"db\",\"kind\":\"pw\",\"servers\":["
	"{\"name\":\"a\",\"address\":\"127.0.0.1:5501\",\"availability_zone\":\"z1\","
	"\"connections\":20,\"slots\":3},"
	"{\"name\":\"b\",\"address\":\"[::1]:5502\",\"availability_zone\":\"z2\","
	"\"connections\":20,\"slots\":3,\"leaving\":true}]},"
	"{\"name\":\"other\",\"kind\":\"pw\",\"durability\":\"replicated\",\"servers\":["
	"{\"name\":\"a\",\"address\":\"127.0.0.1:5511\",\"availability_zone\":\"z1\","
	"\"connections\":20,\"slots\":3}]}],"
	"\"routes\":["
	"{\"name\":\"r1\",\"database\":\"db\",\"match\":[\"SELECT  * from\\nschedule \"],"
	"\"access\":\"open\",\"kind\":\"read\",\"stale_age_ms\":2000},"
	"{\"name\":\"r2\",\"database\":\"db\",\"match\":[\"select\",\"show\"],"
	"\"access\":\"keyed\",\"kind\":\"read\",\"session\":\"connection\"},"
	"{\"name\":\"r3\",\"database\":\"db\",\"match\":[\"insert\"],"
	"\"access\":\"keyed\",\"kind\":\"write\",\"timeout_ms\":5},"
	"{\"name\":\"r4\",\"database\":\"other\",\"match\":[\"\"],"
	"\"access\":\"keyed\",\"kind\":\"write\",\"repeatable\":true}],"
	"\"accounts\":["
	"{\"name\":\"amber\",\"rate_per_s\":10,\"burst\":20,\"keys\":["
	"{\"id\":\"0000000a\",\"salt\":\"" SALT "\",\"hash\":\"" HASH "\"},"
	"{\"id\":\"0000000b\",\"salt\":\"" SALT "\",\"hash\":\"" HASH "\"}]},"
	"{\"name\":\"birch\",\"rate_per_s\":10,\"burst\":20,\"databases\":[\"db\"],"
	"\"max_connections\":7}]}";

/* Returns the base document with the first `find` replaced; the caller frees it with g_free(). */
static char *edit_base_document(const char *find, const char *replace)
{
	const char *found = strstr(base_document, find);

	ck_assert_msg(found != NULL, "the base document lacks: %s", find);
	return g_strdup_printf("%.*s%s%s", (int)(found - base_document), base_document, replace,
			       found + strlen(find));
}

static const struct pw_document *parse_base(void)
{
	const struct pw_document *d;
	struct pw_findings *f;

	pw_findings_new(&f);
	ck_assert_int_eq(pw_document_parse(&d, base_document, strlen(base_document), 7, f), PW_OK);
	ck_assert_uint_eq(pw_findings_count(f), 0);
	pw_findings_free(f);
	return d;
}

/* Each case replaces a part of the base document and expects exactly one finding. */
static const struct {
	const char *find;
	const char *replace;
	const char *location;
	const char *text; /**< part of the text of the finding */
} finding_cases[] = {
	{ "\"service\":\"s\",", "", "service", "missing" },
	{ "\"service\":\"s\"", "\"service\":\"a b\"", "service", "must be a name" },
	{ "\"service\":\"s\"", "\"service\":\"\"", "service", "must be a name" },
	{ "\"service\":\"s\"", "\"service\":7", "service", "must be a name" },
	{ "\"version\":1", "\"version\":1,\"draining\":\"vm\"", "draining", "list of 0 to 8192" },
	{ "\"version\":1", "\"version\":1,\"draining\":[\"vm\",\"a b\"]", "draining[1]",
	  "must be a name" },
	{ "\"version\":1", "\"version\":1,\"draining\":[\"vm\",\"b\",\"vm\"]", "draining[2]",
	  "in the list already" },
	{ "\"version\":1", "\"version\":2", "version", "from 1 to 1" },
	{ "\"version\":1", "\"version\":1.0", "version", "from 1 to 1" },
	{ "\"version\":1", "\"version\":1,\"extra\":2", "extra", "unknown member" },
	{ "\"version\":1", "\"version\":1,\"a\\u001b[2J\":2", "a?[2J", "unknown member" },
	{ "\"version\":1", "\"version\":1,\"limits\":[]", "limits", "must be an object" },
	{ "\"version\":1", "\"version\":1,\"limits\":{\"queue_per_account\":0}",
	  "limits.queue_per_account", "from 1" },
	{ "\"version\":1", "\"version\":1,\"limits\":{\"max_message_bytes\":-1}",
	  "limits.max_message_bytes", "from 16384" },
	{ "\"version\":1", "\"version\":1,\"limits\":{\"queue\":1}", "limits.queue",
	  "unknown member" },
	{ "\"version\":1", "\"version\":1,\"version\":1", "line 1, column 36", "duplicate" },
	{ "\"version\":1", "\"version\":", "line 1, column 26", "not valid JSON" },
	{ "\"version\":1", "\"version\":99999999999999999999", "line 1, column 45", "too big" },
	{ "\"kind\":\"pw\"", "\"kind\":\"pw\",\"durability\":\"full\"", "databases[0].durability",
	  "\"term\" or \"replicated\"" },
	{ "127.0.0.1:5501", "localhost:5501", "databases[0].servers[0].address", "IP:PORT" },
	{ "127.0.0.1:5501", "127.0.0.1:0", "databases[0].servers[0].address", "IP:PORT" },
	{ "127.0.0.1:5501", "127.0.0.1:65536", "databases[0].servers[0].address", "IP:PORT" },
	{ "127.0.0.1:5501", "127.0.0.1", "databases[0].servers[0].address", "IP:PORT" },
	{ "127.0.0.1:5501", "::1:5501", "databases[0].servers[0].address", "IP:PORT" },
	{ "[::1]:5502", "127.0.0.1:5501", "databases[0].servers[1]", "has the address" },
	{ "127.0.0.1:5511", "127.0.0.1:5501", "databases[1].servers[0]", "has the address" },
	{ "\"name\":\"b\"", "\"name\":\"a\"", "databases[0].servers[1]", "has the name" },
	{ "],\"routes\"",
	  ",{\"name\":\"db\",\"kind\":\"pw\",\"servers\":[{\"name\":\"a\","
	  "\"address\":\"127.0.0.1:5521\",\"availability_zone\":\"z1\",\"connections\":1,\"slots\":"
	  "1}]}],"
	  "\"routes\"",
	  "databases[2]", "has the name" },
	{ "\"slots\":3", "\"slots\":21", "databases[0].servers[0].slots", "connections (20)" },
	{ "\"slots\":3", "\"slots\":3,\"leaving\":1", "databases[0].servers[0].leaving",
	  "true or false" },
	{ "\"database\":\"db\"", "\"database\":\"nil\"", "routes[0].database", "no such database" },
	{ "\"name\":\"r2\"", "\"name\":\"r1\"", "routes[1]", "has the name" },
	{ "\"match\":[\"insert\"]", "\"match\":[]", "routes[2].match", "list of 1 to 64" },
	{ "\"match\":[\"insert\"]", "\"match\":\"insert\"", "routes[2].match", "list of 1" },
	{ "\"match\":[\"insert\"]", "\"match\":[\"insert\",3]", "routes[2].match[1]", "prefix" },
	{ "\"access\":\"open\",", "", "routes[0].access", "missing" },
	{ "\"timeout_ms\":5", "\"timeout_ms\":0", "routes[2].timeout_ms", "from 1" },
	{ "\"timeout_ms\":5", "\"stale_age_ms\":5", "routes[2].stale_age_ms", "write route" },
	{ "\"name\":\"birch\"", "\"name\":\"amber\"", "accounts[1]", "has the name" },
	{ "\"databases\":[\"db\"]", "\"databases\":[\"db\",\"nil\"]", "accounts[1].databases[1]",
	  "no such database" },
	{ "\"rate_per_s\":10", "\"rate_per_s\":0", "accounts[0].rate_per_s", "from 1" },
	{ "0000000b", "0000000a", "accounts[0].keys[1]", "has the id" },
	{ "0000000b", "xyz", "accounts[0].keys[1].id", "8 hexadecimal digits" },
	{ "\"salt\":\"" SALT "\"", "\"salt\":\"00\"", "accounts[0].keys[0].salt", "32 hex" },
	{ "\"hash\":\"" HASH "\"", "\"hash\":\"pwk_secret\"", "accounts[0].keys[0].hash",
	  "64 hex" },
};

/*
 * Guards against an invalid document being accepted, a finding without its location, and a key in
 * the report.
 */
START_TEST(test_one_finding)
{
	char *text = edit_base_document(finding_cases[_i].find, finding_cases[_i].replace);
	const struct pw_document *d;
	struct pw_findings *f;
	char *report;

	pw_findings_new(&f);
	ck_assert_int_eq(pw_document_parse(&d, text, strlen(text), 1, f), PW_EINVALID);
	ck_assert_ptr_null(d);
	report = pw_findings_format(f);
	ck_assert_msg(pw_findings_count(f) == 1, "%s: %s", finding_cases[_i].location, report);
	ck_assert_str_eq(pw_findings_at(f, 0)->location, finding_cases[_i].location);
	ck_assert_msg(strstr(report, finding_cases[_i].text) != NULL, "%s", report);
	ck_assert_ptr_null(strstr(report, "pwk_secret"));
	g_free(report);
	pw_findings_free(f);
	g_free(text);
}
END_TEST

/* Returns `before`, `count` times `item`, and `after`; the caller frees it with g_free(). */
static char *repeat(const char *before, const char *item, size_t count, const char *after)
{
	GString *s = g_string_new(before);

	for (size_t i = 0; i < count; i++)
		g_string_append(s, item);
	g_string_append(s, after);
	return g_string_free(s, FALSE);
}

/* The text of a hostile document is `before`, `count` times `item`, and `after`. */
static const struct {
	const char *label;
	const char *before;
	const char *item;
	size_t count;
	const char *after;
	const char *location; /**< of the first finding; NULL: not checked */
	size_t findings_max;  /**< maximum number of findings */
} hostile_cases[] = {
	{ "empty text", "", "", 0, "", "line 1, column 0", 1 },
	{ "not an object", "[", "", 0, "]", "document", 8 },
	{ "too large", "", " ", PW_DOCUMENT_MAX_BYTES + 1, "", "document", 1 },
	{ "deeply nested", "", "[", 500000, "", "document", 2 },
	{ "many empty lists", "[0", ",[]", 300000, "]", "document", 1 },
	{ "many values", "[0", ",0", 500000, "]", "document", 1 },
	{ "brackets in a string", "{\"a\":\"", "[\\\"", 1000, "\"}", "a", 8 },
	{ "many unknown members of one object", "{\"databases\":[", "{\"a\":1},", 1000, "{}]}",
	  "service", 201 },
	{ "too many databases", "{\"databases\":[0", ",0", 2000, "]}", "service", 5 },
	{ "long name of an unknown member", "{\"", "n", 100000, "\":1}", NULL, 8 },
	{ "truncated", "{\"databases\":[", "{\"servers\":[", 3, "", "line 1, column 50", 1 },
	{ "invalid UTF-8", "{\"a\":\"", "\xff", 1, "\"}", "line 1, column 6", 1 },
	{ "NUL in a string", "{\"a\":\"", "\\u0000", 1, "\"}", "line 1, column 13", 1 },
};

/* Guards against a hostile document that exhausts memory or the stack, or floods the report. */
START_TEST(test_hostile_document)
{
	char *text = repeat(hostile_cases[_i].before, hostile_cases[_i].item,
			    hostile_cases[_i].count, hostile_cases[_i].after);
	const struct pw_document *d;
	struct pw_findings *f;

	pw_findings_new(&f);
	ck_assert_int_eq(pw_document_parse(&d, text, strlen(text), 1, f), PW_EINVALID);
	ck_assert_uint_ge(pw_findings_count(f), 1);
	ck_assert_msg(pw_findings_count(f) <= hostile_cases[_i].findings_max, "%s: %zu findings",
		      hostile_cases[_i].label, pw_findings_count(f));
	if (hostile_cases[_i].location)
		ck_assert_msg(!strcmp(pw_findings_at(f, 0)->location, hostile_cases[_i].location),
			      "%s: %s: %s", hostile_cases[_i].label, pw_findings_at(f, 0)->location,
			      pw_findings_at(f, 0)->message);
	for (size_t i = 0; i < pw_findings_count(f); i++)
		ck_assert_uint_le(strlen(pw_findings_at(f, i)->location), 200);
	pw_findings_free(f);
	g_free(text);
}
END_TEST

static const struct {
	const char *label;
	const char *text;
	size_t buffer_size_bytes;
	const char *expected;
} normalise_cases[] = {
	{ "empty", "", 64, "" },
	{ "white space only", " \t\r\n\f\v ", 64, "" },
	{ "case and runs of white space", "  SELECT\t*\n\n FROM  a ; ", 64, "select * from a ;" },
	{ "bytes of multi-byte characters stay", "SELECT '\xc3\x84'", 64, "select '\xc3\x84'" },
	{ "buffer full", "select 1", 5, "sele" },
	{ "buffer full before a space", "select 1", 8, "select" },
	{ "buffer of one byte", "select 1", 1, "" },
};

/*
 * Guards against statements that differ only in case or white space matching different routes, and
 * against a write past the buffer.
 */
START_TEST(test_normalise)
{
	char out[64];
	size_t size = pw_document_normalise_statement(out, normalise_cases[_i].buffer_size_bytes,
						      normalise_cases[_i].text,
						      strlen(normalise_cases[_i].text));

	ck_assert_msg(!strcmp(out, normalise_cases[_i].expected), "%s: %s",
		      normalise_cases[_i].label, out);
	ck_assert_uint_eq(size, strlen(out));
}
END_TEST

static const struct {
	const char *database;
	const char *statement;
	const char *route; /**< NULL: none */
} route_cases[] = {
	{ "db", "SELECT * FROM schedule", "r1" },
	{ "db", "select *\tfrom schedule where id = 1", "r1" },
	{ "db", "select * from schedule;", "r1" },
	{ "db", "select * from schedule_private", "r2" },
	{ "db", "select * from schedules", "r2" },
	{ "db", "select * from schedule\xc3\x84", "r2" },
	{ "db", "select*from schedule", "r2" },
	{ "db", "selection", NULL },
	{ "db", "show x", "r2" },
	{ "db", "insert into a values (1)", "r3" },
	{ "db", "/* c */ select 1", NULL },
	{ "db", "update a set b = 1", NULL },
	{ "db", "", NULL },
	{ "other", "select * from schedule", "r4" },
	{ "other", "", "r4" },
};

/*
 * Guards against a statement being routed by the open route of a table with a similar name, or by a
 * route of another database.
 */
START_TEST(test_route)
{
	const struct pw_document *d = parse_base();
	const struct pw_document_database *db =
		pw_document_find_database(d, route_cases[_i].database);
	char normalised[PW_DOCUMENT_STATEMENT_BYTES];
	const struct pw_document_route *r;

	pw_document_normalise_statement(normalised, sizeof(normalised), route_cases[_i].statement,
					strlen(route_cases[_i].statement));
	r = pw_document_find_route(d, db, normalised);
	ck_assert_pstr_eq(r ? r->name : NULL, route_cases[_i].route);
	ck_assert_msg(!r || r->database == db, "route of another database");
	pw_document_unref(d);
}
END_TEST

/*
 * Guards against a buffer of PW_DOCUMENT_STATEMENT_BYTES that truncates the longest prefix, or the
 * character after it.
 */
START_TEST(test_longest_prefix)
{
	char *prefix = repeat("", "p", PW_DOCUMENT_MAX_MATCH_BYTES, "");
	char *replace = g_strdup_printf("\"match\":[\"%s\"]", prefix);
	char *text = edit_base_document("\"match\":[\"insert\"]", replace);
	char *longer = g_strconcat(prefix, "p", NULL);
	char normalised[PW_DOCUMENT_STATEMENT_BYTES];
	const struct pw_document *d;
	struct pw_findings *f;

	pw_findings_new(&f);
	ck_assert_int_eq(pw_document_parse(&d, text, strlen(text), 1, f), PW_OK);
	pw_document_normalise_statement(normalised, sizeof(normalised), prefix, strlen(prefix));
	ck_assert_ptr_nonnull(pw_document_find_route(d, &d->databases[0], normalised));
	pw_document_normalise_statement(normalised, sizeof(normalised), longer, strlen(longer));
	ck_assert_ptr_null(pw_document_find_route(d, &d->databases[0], normalised));
	pw_document_unref(d);
	pw_findings_free(f);
	g_free(longer);
	g_free(text);
	g_free(replace);
	g_free(prefix);
}
END_TEST

static const struct {
	const char *member; /**< JSON text that is added to the root object */
	const char *vm;
	bool draining; /**< whether the VM is being drained */
} draining_cases[] = {
	{ "", "vm-1", false },
	{ ",\"draining\":[]", "vm-1", false },
	{ ",\"draining\":[\"vm-1\",\"vm-2\"]", "vm-2", true },
	{ ",\"draining\":[\"vm-1\",\"vm-2\"]", "vm", false },
};

/*
 * Guards against draining a VM whose name is only the start of a listed one, and against not
 * draining a listed VM.
 */
START_TEST(test_draining)
{
	char *replace = g_strconcat("\"version\":1", draining_cases[_i].member, NULL);
	char *text = edit_base_document("\"version\":1", replace);
	const struct pw_document *d;
	struct pw_findings *f;

	pw_findings_new(&f);
	ck_assert_int_eq(pw_document_parse(&d, text, strlen(text), 1, f), PW_OK);
	ck_assert(pw_document_is_draining(d, draining_cases[_i].vm) == draining_cases[_i].draining);
	pw_document_unref(d);
	pw_findings_free(f);
	g_free(text);
	g_free(replace);
}
END_TEST

/* Guards against wrong values and defaults in the parsed structs. */
START_TEST(test_values)
{
	const struct pw_document *d = parse_base();
	const struct pw_document_account *amber = pw_document_find_account(d, "amber");
	const struct pw_document_account *birch = pw_document_find_account(d, "birch");
	const struct pw_document_database *other = pw_document_find_database(d, "other");

	ck_assert_uint_eq(d->revision, 7);
	ck_assert_str_eq(d->text, base_document);
	ck_assert_uint_eq(d->text_size_bytes, strlen(base_document));
	ck_assert_ptr_null(pw_document_find_account(d, "cedar"));
	ck_assert_ptr_null(pw_document_find_database(d, "amber"));
	ck_assert_uint_eq(other->durability, PW_DURABILITY_REPLICATED);
	ck_assert_uint_eq(d->databases[0].durability, PW_DURABILITY_TERM);
	ck_assert_str_eq(d->databases[0].servers[1].address, "[::1]:5502");
	ck_assert(d->databases[0].servers[1].leaving);
	ck_assert(!d->databases[0].servers[0].leaving);
	ck_assert_str_eq(d->routes[0].prefixes[0], "select * from schedule");
	ck_assert_uint_eq(d->routes[0].access, PW_ACCESS_OPEN);
	ck_assert_uint_eq(d->routes[0].stale_age_ms, 2000);
	ck_assert_uint_eq(d->routes[0].timeout_ms, 30000);
	ck_assert(d->routes[0].repeatable);
	ck_assert_uint_eq(d->routes[0].session, PW_ROUTE_SESSION_STRICT);
	ck_assert_uint_eq(d->routes[1].session, PW_ROUTE_SESSION_CONNECTION);
	ck_assert(!d->routes[2].repeatable);
	ck_assert(d->routes[3].repeatable);
	ck_assert_uint_eq(amber->key_count, 2);
	ck_assert_str_eq(amber->keys[1].id, "0000000b");
	ck_assert_uint_eq(amber->keys[1].hash[31], 0x1f);
	ck_assert(pw_document_account_allows(amber, other));
	ck_assert(!pw_document_account_allows(birch, other));
	ck_assert(pw_document_account_allows(birch, &d->databases[0]));
	ck_assert_uint_eq(birch->max_connections, 7);
	ck_assert_uint_eq(d->limits.queue_per_account, 256);
	ck_assert_uint_eq(d->limits.request_deadline_ms, 1000);
	ck_assert_uint_eq(d->limits.max_message_bytes, 1048576);
	pw_document_unref(d);
}
END_TEST

static gpointer ref_and_unref(gpointer data)
{
	const struct pw_document *d = data;

	for (uint32_t i = 0; i < 10000; i++)
		pw_document_unref(pw_document_ref(d));
	pw_document_unref(d);
	return NULL;
}

/* Guards against a snapshot that is freed early or twice, which the sanitizers detect. */
START_TEST(test_references_in_threads)
{
	const struct pw_document *d = parse_base();
	GThread *threads[4];

	for (size_t i = 0; i < PW_ARRAY_LEN(threads); i++)
		threads[i] =
			g_thread_new("ref", ref_and_unref, (gpointer)(uintptr_t)pw_document_ref(d));
	pw_document_unref(d);
	for (size_t i = 0; i < PW_ARRAY_LEN(threads); i++)
		g_thread_join(threads[i]);
}
END_TEST

/*
 * Guards against a member that docs/document.md does not describe under the heading of its section.
 */
START_TEST(test_page_describes_every_member)
{
	struct pw_document_member m;
	char *page;

	ck_assert(g_file_get_contents(PW_SOURCE_DIR "/docs/document.md", &page, NULL, NULL));
	for (size_t i = 0; pw_document_get_member(&m, i); i++) {
		char *heading = g_strdup_printf("\n## `%s`", m.section[0] ? m.section : "document");
		char *row = g_strdup_printf("\n| `%s` |", m.name);
		const char *section = strstr(page, heading);
		const char *end = section ? strstr(section + 1, "\n## ") : NULL;
		const char *found = section ? strstr(section, row) : NULL;

		ck_assert_msg(section != NULL, "no heading %s", heading + 1);
		ck_assert_msg(found && (!end || found < end), "%s lacks a row %s", heading + 1,
			      row + 1);
		g_free(heading);
		g_free(row);
	}
	g_free(page);
}
END_TEST

/* Guards against an example document that the parser refuses. */
START_TEST(test_example)
{
	const struct pw_document *d;
	struct pw_findings *f;
	char *text, *report;
	gsize size_bytes;

	ck_assert(
		g_file_get_contents(PW_SOURCE_DIR "/docs/example.json", &text, &size_bytes, NULL));
	pw_findings_new(&f);
	pw_document_parse(&d, text, size_bytes, 1, f);
	report = pw_findings_format(f);
	ck_assert_str_eq(report, "");
	ck_assert_uint_eq(d->database_count, 3);
	ck_assert_uint_eq(d->databases[2].server_count, 3);
	ck_assert_uint_eq(d->account_count, 8);
	pw_document_unref(d);
	pw_findings_free(f);
	g_free(report);
	g_free(text);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("document");

	tcase_add_loop_test(tc, test_one_finding, 0, PW_ARRAY_LEN(finding_cases));
	tcase_add_loop_test(tc, test_hostile_document, 0, PW_ARRAY_LEN(hostile_cases));
	tcase_add_loop_test(tc, test_normalise, 0, PW_ARRAY_LEN(normalise_cases));
	tcase_add_loop_test(tc, test_route, 0, PW_ARRAY_LEN(route_cases));
	tcase_add_test(tc, test_longest_prefix);
	tcase_add_loop_test(tc, test_draining, 0, PW_ARRAY_LEN(draining_cases));
	tcase_add_test(tc, test_values);
	tcase_add_test(tc, test_references_in_threads);
	tcase_add_test(tc, test_page_describes_every_member);
	tcase_add_test(tc, test_example);
	return pw_suite_run("document", tc);
}
