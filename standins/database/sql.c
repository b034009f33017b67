#include "sql.h"

#include <stdlib.h>
#include <string.h>

#include "pw/core/error.h"

struct token {
	/**
	 * 'w': word, 's': string, '!': unterminated string, 'n': number, '$': parameter; any other
	 * character stands for itself.
	 */
	char kind;
	char *text;
};

/*
 * "%" matches a word and stores it as the name, "?N" matches a literal or parameter and stores it
 * as argument N, and "..." matches any remaining tokens; other words match themselves. The first
 * pattern that matches determines the kind of the statement.
 */
static const struct {
	const char *pattern;
	enum pw_sql_kind kind;
} patterns[] = {
	{ "", PW_SQL_EMPTY },
	{ "begin", PW_SQL_BEGIN },
	{ "begin ...", PW_SQL_BEGIN },
	{ "start transaction ...", PW_SQL_BEGIN },
	{ "commit", PW_SQL_COMMIT },
	{ "end", PW_SQL_COMMIT },
	{ "rollback", PW_SQL_ROLLBACK },
	{ "abort", PW_SQL_ROLLBACK },
	{ "insert into % ( k , v ) values ( ?0 , ?1 )", PW_SQL_INSERT },
	{ "update % set v = ?1 where k = ?0", PW_SQL_UPDATE },
	{ "delete from % where k = ?0", PW_SQL_DELETE },
	{ "select v from % where k = ?0", PW_SQL_SELECT_V },
	{ "select * from %", PW_SQL_SELECT_ALL },
	{ "select count ( * ) from %", PW_SQL_SELECT_COUNT },
	{ "select ?0", PW_SQL_SELECT_VALUE },
	{ "select pg_sleep ( ?0 )", PW_SQL_SLEEP },
	{ "show %", PW_SQL_SHOW },
	{ "set % = ?0", PW_SQL_SET },
	{ "set % to ?0", PW_SQL_SET },
	{ "set ...", PW_SQL_SET },
	{ "select * from pw_status ( )", PW_SQL_STATUS },
	{ "select * from pw_echo ( ?0 )", PW_SQL_ECHO },
	{ "select * from pw_fence ( ?0 , ?1 )", PW_SQL_FENCE },
	{ "select * from pw_promote ( ?0 , ?1 )", PW_SQL_PROMOTE },
	{ "select * from pw_follow ( ?0 , ?1 )", PW_SQL_FOLLOW },
	{ "select * from pw_fault ( ?0 , ?1 )", PW_SQL_FAULT },
	{ "select * from pw_stream ( ?0 , ?1 , ?2 )", PW_SQL_STREAM },
};

static void token_free(gpointer p)
{
	struct token *t = p;

	g_free(t->text);
	g_free(t);
}

static void token_add(GPtrArray *tokens, char kind, char *text)
{
	struct token *t = g_new0(struct token, 1);

	t->kind = kind;
	t->text = text;
	g_ptr_array_add(tokens, t);
}

/*
 * Reads a string literal in single quotes, in which two quotes stand for one. Returns the position
 * after it.
 */
static const char *scan_string(GPtrArray *tokens, const char *p)
{
	GString *s = g_string_new(NULL);

	for (p++; *p && (p[0] != '\'' || p[1] == '\''); p++) {
		g_string_append_c(s, *p);
		if (*p == '\'')
			p++;
	}
	token_add(tokens, *p ? 's' : '!', g_string_free(s, FALSE));
	return *p ? p + 1 : p;
}

/* Reads a token of the accepted characters, in lower case. Returns the position after it. */
static const char *scan_token(GPtrArray *tokens, char kind, const char *p, const char *accepted)
{
	size_t n = strspn(p, accepted);

	token_add(tokens, kind, g_ascii_strdown(p, (gssize)n));
	return p + n;
}

static GPtrArray *tokenize(const char *p)
{
	GPtrArray *tokens = g_ptr_array_new_with_free_func(token_free);

	while (*p) {
		if (g_ascii_isspace(*p))
			p++;
		else if (*p == '\'')
			p = scan_string(tokens, p);
		else if (g_ascii_isdigit(*p))
			p = scan_token(tokens, 'n', p, G_CSET_DIGITS ".");
		else if (*p == '$')
			p = scan_token(tokens, '$', p + 1, G_CSET_DIGITS);
		else if (g_ascii_isalpha(*p) || *p == '_')
			p = scan_token(tokens, 'w', p,
				       G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "_.");
		else
			token_add(tokens, *p, g_strndup(p, 1)), p++;
	}
	if (tokens->len && ((struct token *)tokens->pdata[tokens->len - 1])->kind == ';')
		g_ptr_array_set_size(tokens, (gint)tokens->len - 1);
	return tokens;
}

static void sql_clear(gpointer p)
{
	struct pw_sql *q = p;

	g_clear_pointer(&q->name, g_free);
	for (size_t i = 0; i < PW_SQL_ARGS_MAX; i++)
		g_clear_pointer(&q->args[i].text, g_free);
	q->param_count = 0;
}

/* Sets an argument from a literal, a parameter or the word null. Returns false for other tokens. */
static bool set_arg(struct pw_sql *q, struct pw_sql_arg *a, const struct token *t)
{
	a->param = 0;
	if (t->kind == '$') {
		a->param = (uint16_t)strtoul(t->text, NULL, 10);
		q->param_count = MAX(q->param_count, a->param);
		return a->param > 0;
	}
	if (t->kind == 'w')
		return strcmp(t->text, "null") == 0;
	a->text = g_strdup(t->text);
	return t->kind == 's' || t->kind == 'n';
}

static bool match_pattern(struct pw_sql *q, const char *pattern, const GPtrArray *tokens)
{
	guint i = 0;

	/* A pattern that matched in part may have set fields. */
	sql_clear(q);
	while (*pattern) {
		size_t n = strcspn(pattern, " ");
		const struct token *t = i < tokens->len ? tokens->pdata[i++] : NULL;

		if (n == 3 && strncmp(pattern, "...", 3) == 0)
			return true;
		if (!t)
			return false;
		if (*pattern == '?') {
			if (!set_arg(q, &q->args[pattern[1] - '0'], t))
				return false;
		} else if (*pattern == '%') {
			if (t->kind != 'w')
				return false;
			q->name = g_strdup(t->text);
		} else if (t->kind == 's' || t->kind == '!' || strlen(t->text) != n ||
			   strncmp(pattern, t->text, n) != 0) {
			return false;
		}
		pattern += n + (pattern[n] == ' ');
	}
	return i == tokens->len;
}

int pw_sql_parse(struct pw_sql **out, const char *text)
{
	struct pw_sql *q = g_rc_box_new0(struct pw_sql);
	GPtrArray *tokens = tokenize(text);
	int rc = PW_EINVALID;

	for (size_t i = 0; i < G_N_ELEMENTS(patterns) && rc; i++) {
		q->kind = patterns[i].kind;
		if (match_pattern(q, patterns[i].pattern, tokens))
			rc = PW_OK;
	}
	g_ptr_array_unref(tokens);
	if (rc) {
		pw_sql_unref(q);
		return pw_error_set(rc, "the stand-in does not know this statement");
	}
	*out = q;
	return PW_OK;
}

struct pw_sql *pw_sql_ref(struct pw_sql *q)
{
	return g_rc_box_acquire(q);
}

void pw_sql_unref(struct pw_sql *q)
{
	if (q)
		g_rc_box_release_full(q, sql_clear);
}
