#include "pw/decide/statement.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "pw/core/error.h"

/* State of the conversion of a query string to its normalised form. */
struct scanner {
	const char *in; /**< rest of the query string */
	GString *out;
	gsize identifier_bytes; /**< size of the unquoted identifier at the end of `out`; 0: none */
	bool space_pending;     /**< white space or a comment precedes the next character */
	bool ended;             /**< a semicolon followed the statement */
	bool multiple;          /**< text follows that semicolon */
};

static bool is_word_char(char c)
{
	return g_ascii_isalnum(c) || c == '_' || (unsigned char)c >= 0x80;
}

static void append_char(struct scanner *sc, char c)
{
	bool continues =
		sc->identifier_bytes && !sc->space_pending && (is_word_char(c) || c == '$');

	if (continues)
		sc->identifier_bytes++;
	else
		sc->identifier_bytes = is_word_char(c) && !g_ascii_isdigit(c);
	if (sc->ended)
		sc->multiple = true;
	if (sc->space_pending && sc->out->len)
		g_string_append_c(sc->out, ' ');
	sc->space_pending = false;
	g_string_append_c(sc->out, c);
}

/* Appends the input up to `end` unchanged and skips it. */
static void append_until(struct scanner *sc, const char *end)
{
	append_char(sc, *sc->in++);
	g_string_append_len(sc->out, sc->in, end - sc->in);
	sc->in = end;
}

/* Skips a block comment. Block comments nest, as they do for the server. */
static void skip_block_comment(struct scanner *sc)
{
	int depth = 0;

	do {
		if (strncmp(sc->in, "/*", 2) == 0) {
			depth++;
			sc->in += 2;
		} else if (strncmp(sc->in, "*/", 2) == 0) {
			depth--;
			sc->in += 2;
		} else {
			sc->in++;
		}
	} while (depth && *sc->in);
	sc->space_pending = true;
}

/* Returns whether the quote at `sc->in` opens an E'...' literal, where a backslash escapes. */
static bool has_escape_prefix(const struct scanner *sc)
{
	return !sc->space_pending && sc->identifier_bytes == 1 &&
	       sc->out->str[sc->out->len - 1] == 'e';
}

/*
 * Returns the quote that continues a literal which ends before `p`: only white space with a line
 * end, and line comments, may be in between. Returns NULL if the literal is not continued.
 */
static const char *find_continuation(const char *p)
{
	bool has_line_end = false;

	for (;;) {
		has_line_end |= *p == '\n' || *p == '\r';
		if (g_ascii_isspace(*p))
			p++;
		else if (strncmp(p, "--", 2) == 0)
			p += strcspn(p, "\r\n");
		else
			return *p == '\'' && has_line_end ? p : NULL;
	}
}

/*
 * Returns the end of a quoted literal or identifier; a doubled quote does not end it. In the
 * continuation of a literal, a backslash escapes as in its start.
 */
static const char *find_quoted_end(const char *p, bool has_escapes)
{
	char quote = *p++;

	for (; *p; p++) {
		if (has_escapes && *p == '\\' && p[1]) {
			p++;
		} else if (*p == quote) {
			const char *next = p[1] == quote ? p + 1
					   : has_escapes ? find_continuation(p + 1)
							 : NULL;

			if (!next)
				return p + 1;
			p = next;
		}
	}
	return p;
}

/* Returns the end of a dollar-quoted literal, or NULL if `p` does not start one. */
static const char *find_dollar_quoted_end(const char *p)
{
	const char *tag_end = p + 1;
	char *tag;
	const char *closing_tag;
	size_t tag_length;

	if (g_ascii_isdigit(*tag_end))
		return NULL;
	while (is_word_char(*tag_end))
		tag_end++;
	if (*tag_end != '$')
		return NULL;
	tag_length = (size_t)(tag_end + 1 - p);
	tag = g_strndup(p, tag_length);
	closing_tag = strstr(p + tag_length, tag);
	g_free(tag);
	return closing_tag ? closing_tag + tag_length : p + strlen(p);
}

/* Scans a comment, a quoted text or a single other character. */
static void scan_element(struct scanner *sc)
{
	const char *end;

	if (strncmp(sc->in, "--", 2) == 0) {
		sc->in += strcspn(sc->in, "\r\n");
		sc->space_pending = true;
	} else if (strncmp(sc->in, "/*", 2) == 0) {
		skip_block_comment(sc);
	} else if (*sc->in == '\'' || *sc->in == '"') {
		append_until(sc, find_quoted_end(sc->in, *sc->in == '\'' && has_escape_prefix(sc)));
	} else if (*sc->in == '$' && (sc->space_pending || !sc->identifier_bytes) &&
		   (end = find_dollar_quoted_end(sc->in))) {
		append_until(sc, end);
	} else if (*sc->in == ';') {
		sc->ended = sc->out->len > 0;
		sc->in++;
	} else if (g_ascii_isspace(*sc->in)) {
		sc->space_pending = true;
		sc->in++;
	} else {
		append_char(sc, g_ascii_tolower(*sc->in++));
	}
}

int pw_statement_has_prefix(const struct pw_statement *s, const char *prefix)
{
	size_t n = strlen(prefix);

	if (strncmp(s->text, prefix, n) != 0)
		return false;
	return !n || !is_word_char(prefix[n - 1]) || !is_word_char(s->text[n]);
}

/* Statements classified by their first words; the first match applies. */
static const struct {
	const char *prefix;
	enum pw_statement_kind kind;
	const char *detail;
} known_statements[] = {
	{ "begin", PW_STATEMENT_BEGIN, NULL },
	{ "start transaction", PW_STATEMENT_BEGIN, NULL },
	{ "commit prepared", PW_STATEMENT_UNSUPPORTED, "two-phase commit" },
	{ "rollback prepared", PW_STATEMENT_UNSUPPORTED, "two-phase commit" },
	{ "prepare transaction", PW_STATEMENT_UNSUPPORTED, "two-phase commit" },
	{ "commit", PW_STATEMENT_COMMIT, NULL },
	{ "end", PW_STATEMENT_COMMIT, NULL },
	{ "rollback to", PW_STATEMENT_IN_TRANSACTION, NULL },
	{ "rollback transaction to", PW_STATEMENT_IN_TRANSACTION, NULL },
	{ "rollback work to", PW_STATEMENT_IN_TRANSACTION, NULL },
	{ "rollback", PW_STATEMENT_ROLLBACK, NULL },
	{ "abort", PW_STATEMENT_ROLLBACK, NULL },
	{ "savepoint", PW_STATEMENT_IN_TRANSACTION, NULL },
	{ "release", PW_STATEMENT_IN_TRANSACTION, NULL },
	{ "set local", PW_STATEMENT_IN_TRANSACTION, NULL },
	{ "set transaction", PW_STATEMENT_IN_TRANSACTION, NULL },
	{ "set constraints", PW_STATEMENT_IN_TRANSACTION, NULL },
	{ "set", PW_STATEMENT_UNSUPPORTED, "SET without LOCAL" },
	{ "reset", PW_STATEMENT_UNSUPPORTED, "RESET" },
	{ "discard", PW_STATEMENT_UNSUPPORTED, "DISCARD" },
	{ "listen", PW_STATEMENT_UNSUPPORTED, "LISTEN" },
	{ "unlisten", PW_STATEMENT_UNSUPPORTED, "UNLISTEN" },
	{ "prepare", PW_STATEMENT_UNSUPPORTED, "PREPARE" },
	{ "execute", PW_STATEMENT_UNSUPPORTED, "EXECUTE" },
	{ "deallocate", PW_STATEMENT_UNSUPPORTED, "DEALLOCATE" },
	{ "load", PW_STATEMENT_UNSUPPORTED, "LOAD" },
	{ "copy", PW_STATEMENT_UNSUPPORTED, "COPY" },
	{ "create temp", PW_STATEMENT_UNSUPPORTED, "temporary tables" },
	{ "create temporary", PW_STATEMENT_UNSUPPORTED, "temporary tables" },
	{ "create local temp", PW_STATEMENT_UNSUPPORTED, "temporary tables" },
	{ "create local temporary", PW_STATEMENT_UNSUPPORTED, "temporary tables" },
};

/*
 * Texts of commands that leave state on a connection or control a server. They make a statement
 * unsupported wherever they occur in it, even in quoted text.
 */
static const struct {
	const char *text;
	const char *detail;
} unsupported_texts[] = {
	{ "set_config", "set_config()" },
	{ "pg_advisory_lock", "session advisory locks" },
	{ "pg_try_advisory_lock", "session advisory locks" },
	{ "with hold", "cursors WITH HOLD" },
	{ "into temp", "temporary tables" },
	{ "pw_fence", "control statements" },
	{ "pw_promote", "control statements" },
	{ "pw_follow", "control statements" },
	{ "pw_fault", "control statements" },
};

/* Returns whether a COMMIT or ROLLBACK has AND CHAIN, which begins another transaction. */
static bool has_and_chain(const char *text)
{
	return strstr(text, " and chain") != NULL && strstr(text, " and no chain") == NULL;
}

/* Classifies SET pimentowing.position; `detail` is the quoted value, or empty if there is none. */
static void classify_set_position(struct pw_statement *s)
{
	const char *value = strpbrk(s->text, "='");

	s->kind = PW_STATEMENT_SET_POSITION;
	if (!value)
		value = strstr(s->text, " to ");
	value = value ? strchr(value, '\'') : NULL;
	if (value) {
		size_t length = strcspn(value + 1, "'");

		s->detail = g_strndup(value + 1, length);
	} else {
		s->detail = g_strdup("");
	}
}

static void classify(struct pw_statement *s)
{
	s->kind = PW_STATEMENT_ORDINARY;
	if (!*s->text) {
		s->kind = PW_STATEMENT_EMPTY;
		return;
	}
	if (pw_statement_has_prefix(s, "set pimentowing.position")) {
		classify_set_position(s);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(known_statements); i++) {
		if (!pw_statement_has_prefix(s, known_statements[i].prefix))
			continue;
		s->kind = known_statements[i].kind;
		s->detail = g_strdup(known_statements[i].detail);
		break;
	}
	if ((s->kind == PW_STATEMENT_COMMIT || s->kind == PW_STATEMENT_ROLLBACK) &&
	    has_and_chain(s->text)) {
		s->kind = PW_STATEMENT_UNSUPPORTED;
		s->detail = g_strdup("AND CHAIN");
	}
	for (size_t i = 0; s->kind == PW_STATEMENT_ORDINARY && i < G_N_ELEMENTS(unsupported_texts);
	     i++) {
		if (!strstr(s->text, unsupported_texts[i].text))
			continue;
		s->kind = PW_STATEMENT_UNSUPPORTED;
		s->detail = g_strdup(unsupported_texts[i].detail);
	}
}

int pw_statement_init(struct pw_statement *out, const char *sql)
{
	struct scanner sc = { .in = sql, .out = g_string_new(NULL) };

	while (*sc.in)
		scan_element(&sc);
	*out = (struct pw_statement){ .text = g_string_free(sc.out, FALSE) };
	if (sc.multiple) {
		out->kind = PW_STATEMENT_UNSUPPORTED;
		out->detail = g_strdup("several statements in one string");
	} else {
		classify(out);
	}
	return PW_OK;
}

void pw_statement_dispose(struct pw_statement *s)
{
	g_clear_pointer(&s->text, g_free);
	g_clear_pointer(&s->detail, g_free);
}
