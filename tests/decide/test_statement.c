/* Tests of the analysis of statements. */
#include "suite.h"

#include "pw/decide/statement.h"

static const struct {
	const char *sql;
	enum pw_statement_kind kind;
	const char *text;
} cases[] = {
	{ "", PW_STATEMENT_EMPTY, "" },
	{ " ; ", PW_STATEMENT_EMPTY, "" },
	{ "-- only a comment", PW_STATEMENT_EMPTY, "" },
	{ "SELECT  1 ;", PW_STATEMENT_ORDINARY, "select 1" },
	{ "select/* a /* nested */ b */1", PW_STATEMENT_ORDINARY, "select 1" },
	{ "SELECT 'It''s; A'", PW_STATEMENT_ORDINARY, "select 'It''s; A'" },
	{ "SELECT E'\\'; drop table t; --'", PW_STATEMENT_ORDINARY,
	  "select e'\\'; drop table t; --'" },
	{ "SELECT name'\\'; drop table t", PW_STATEMENT_UNSUPPORTED, NULL },
	{ "SELECT $a$ ; $b$ ; $a$", PW_STATEMENT_ORDINARY, "select $a$ ; $b$ ; $a$" },
	{ "SELECT $1", PW_STATEMENT_ORDINARY, "select $1" },
	{ "SELECT \"a;B\"", PW_STATEMENT_ORDINARY, "select \"a;B\"" },
	{ "select 1; insert into t values (1)", PW_STATEMENT_UNSUPPORTED, NULL },
	{ "select 1; -- comment", PW_STATEMENT_ORDINARY, "select 1" },
	{ "SELECT 1 -- x\r; insert into t values (1)", PW_STATEMENT_UNSUPPORTED, NULL },
	{ "SELECT 1 -- x\r, 2", PW_STATEMENT_ORDINARY, "select 1 , 2" },
	{ "SELECT a$$x$; insert into t values (1)", PW_STATEMENT_UNSUPPORTED, NULL },
	{ "SELECT a$b$; insert into t values (1); --$b$", PW_STATEMENT_UNSUPPORTED, NULL },
	{ "SELECT a$e'\\'; insert into t values (1) --'", PW_STATEMENT_UNSUPPORTED, NULL },
	{ "SELECT E'a'\n'\\' '; insert into t values (1) --'", PW_STATEMENT_UNSUPPORTED, NULL },
	{ "SELECT E'a' -- b\n'\\' '; insert into t values (1) --'", PW_STATEMENT_UNSUPPORTED,
	  NULL },
	{ "SELECT E'a' '\\'; insert into t values (1) --'", PW_STATEMENT_UNSUPPORTED, NULL },
	{ "SELECT E'a'\r-- b\n '\\' '; insert into t values (1) --'", PW_STATEMENT_UNSUPPORTED,
	  NULL },
	{ "SELECT E'a'\n'\\'; b'", PW_STATEMENT_ORDINARY, "select e'a'\n'\\'; b'" },
	{ "SELECT $$;$$", PW_STATEMENT_ORDINARY, "select $$;$$" },
	{ "SELECT 'a'\n'\\'; insert into t values (1) --'", PW_STATEMENT_UNSUPPORTED, NULL },
	{ "BEGIN", PW_STATEMENT_BEGIN, "begin" },
	{ "start transaction read only", PW_STATEMENT_BEGIN, NULL },
	{ "beginning", PW_STATEMENT_ORDINARY, NULL },
	{ "COMMIT", PW_STATEMENT_COMMIT, NULL },
	{ "commit and chain", PW_STATEMENT_UNSUPPORTED, NULL },
	{ "commit and no chain", PW_STATEMENT_COMMIT, NULL },
	{ "END", PW_STATEMENT_COMMIT, NULL },
	{ "commit prepared 'x'", PW_STATEMENT_UNSUPPORTED, NULL },
	{ "ROLLBACK", PW_STATEMENT_ROLLBACK, NULL },
	{ "rollback to savepoint a", PW_STATEMENT_IN_TRANSACTION, NULL },
	{ "SET LOCAL work_mem = '1MB'", PW_STATEMENT_IN_TRANSACTION, NULL },
	{ "SET work_mem = '1MB'", PW_STATEMENT_UNSUPPORTED, NULL },
	{ "SET pimentowing.position = '2/1f'", PW_STATEMENT_SET_POSITION, NULL },
	{ "LISTEN a", PW_STATEMENT_UNSUPPORTED, NULL },
	{ "COPY t FROM stdin", PW_STATEMENT_UNSUPPORTED, NULL },
	{ "create temp table t (a int)", PW_STATEMENT_UNSUPPORTED, NULL },
	{ "select set_config('a', 'b', false)", PW_STATEMENT_UNSUPPORTED, NULL },
	{ "select * from pw_fence(3,'x')", PW_STATEMENT_UNSUPPORTED, NULL },
};

/*
 * Guards against a second statement that is missed because of quotes or comments, which would run
 * unchecked, and against a wrong classification.
 */
START_TEST(test_analysis)
{
	struct pw_statement s;

	pw_statement_init(&s, cases[_i].sql);
	ck_assert_msg(s.kind == cases[_i].kind, "\"%s\" has kind %d", cases[_i].sql, s.kind);
	if (cases[_i].text)
		ck_assert_str_eq(s.text, cases[_i].text);
	pw_statement_dispose(&s);
}
END_TEST

static const struct {
	const char *sql;
	const char *prefix;
	int expected;
} prefix_cases[] = {
	{ "SELECT * FROM schedule", "select * from schedule", 1 },
	{ "SELECT * FROM schedules", "select * from schedule", 0 },
	{ "SELECT * FROM schedule WHERE k = 'a'", "select * from schedule", 1 },
	{ "SEL", "select", 0 },
	{ "anything", "", 1 },
};

/* Guards against a wrong route because one table name is the beginning of another. */
START_TEST(test_prefix)
{
	struct pw_statement s;

	pw_statement_init(&s, prefix_cases[_i].sql);
	ck_assert_int_eq(pw_statement_has_prefix(&s, prefix_cases[_i].prefix),
			 prefix_cases[_i].expected);
	pw_statement_dispose(&s);
}
END_TEST

/* Guards against a SET pimentowing.position TO whose token is not recognised. */
START_TEST(test_position_value)
{
	struct pw_statement s;

	pw_statement_init(&s, "set pimentowing.position to '2/1f'");
	ck_assert_pstr_eq(s.detail, "2/1f");
	pw_statement_dispose(&s);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("statement");

	tcase_add_loop_test(tc, test_analysis, 0, PW_ARRAY_LEN(cases));
	tcase_add_loop_test(tc, test_prefix, 0, PW_ARRAY_LEN(prefix_cases));
	tcase_add_test(tc, test_position_value);
	return pw_suite_run("statement", tc);
}
