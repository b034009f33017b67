/**
 * @file line_reader.h
 * A strict reader of the platform's line protocol that shares no code with the codec, and the
 * codec's view of the same input, for tests that compare the two.
 */
#ifndef PW_TESTS_LINE_READER_H
#define PW_TESTS_LINE_READER_H

#include <glib.h>
#include <string.h>

#include "pw/core/error.h"
#include "pw/platform/platform.h"

/** What a message leads to. */
enum line_outcome {
	LINE_INCOMPLETE,
	LINE_UNSPECIFIED, /**< the strict reader does not say */
	LINE_INVALID,     /**< it ends the connection */
	LINE_REFUSED,     /**< nothing runs, and the session goes on */
	LINE_HANDLED,     /**< by the proxy itself; `bytes` is what it has understood */
	LINE_SENT,        /**< `bytes` goes to the other side */
};

/** The first message of an input. */
struct line_message {
	enum line_outcome outcome;
	size_t used_bytes; /**< 0 unless the message is complete and valid */
	GByteArray *bytes; /**< empty unless LINE_HANDLED or LINE_SENT */
};

static inline void line_message_dispose(struct line_message *m)
{
	g_clear_pointer(&m->bytes, g_byte_array_unref);
}

/** Name that the proxy gives to prepared statements in these tests. */
#define LINE_PREPARED_NAME "p1"

/** A kind of line. The first pattern that matches the line without its end applies. */
struct line_rule {
	const char *pattern;
	enum line_outcome outcome;
	const char *result; /**< of LINE_HANDLED and LINE_SENT; \1 to \3 stand for groups */
	GRegex *regex;      /**< compiled pattern; NULL before its first use */
};

#define LINE_WORD "[^ \\x00]+"

static struct line_rule caller_line_rules[] = {
	{ "(QUERY " LINE_WORD " READ .+)", LINE_SENT, "\1\r\n" },
	{ "(QUERY " LINE_WORD " WRITE [^ ]+ .*)", LINE_SENT, "\1\r\n" },
	{ "(QUERY " LINE_WORD " COMMIT)", LINE_SENT, "\1\r\n" },
	{ "(QUERY " LINE_WORD " EXECUTE )" LINE_WORD "( .+)", LINE_SENT,
	  "\1" LINE_PREPARED_NAME "\2\r\n" },
	{ "QUERY " LINE_WORD "( SET " LINE_WORD " .*)", LINE_SENT, "QUERY -\1\r\n" },
	{ "QUERY " LINE_WORD " PREPARE " LINE_WORD "( (?:READ|WRITE) .+)", LINE_SENT,
	  "QUERY - PREPARE " LINE_PREPARED_NAME "\1\r\n" },
	{ "QUERY " LINE_WORD " (BEGIN|BEGIN READ|ROLLBACK)", LINE_HANDLED, "\1" },
	{ "QUERY " LINE_WORD " (CLOSE " LINE_WORD ")", LINE_HANDLED, "\1" },
	{ "QUERY [^ ]+(?: .*)?", LINE_REFUSED, NULL },
	{ "(STARTUP " LINE_WORD ")", LINE_HANDLED, "\1 " },
	{ "(STARTUP " LINE_WORD " [^\\x00]*)", LINE_HANDLED, "\1" },
	{ "(TERMINATE)(?: .*)?", LINE_HANDLED, "\1" },
	{ NULL, 0, NULL, NULL },
};

#define LINE_POSITION "(?:-|(?:0|[1-9][0-9]{0,18})\\.(?:0|[1-9][0-9]{0,18}))"

static struct line_rule server_line_rules[] = {
	{ "(DATAROW(?: .*)?)", LINE_SENT, "\1\r\n" },
	{ "COMPLETE(?: -?)?", LINE_SENT, "COMPLETE -\r\n" },
	{ "(COMPLETE [^\\x00]+)", LINE_SENT, "\1\r\n" },
	{ "(ERROR (?:BUSY|ABORTED|LAGGING|READONLY|MISROUTED|CONNLIMIT|NOSTMT|FAILED|TIMEOUT|"
	  "INDOUBT|AUTHFAIL|NODB|TOOLARGE|MALFORMED)(?: [^\\x00]*)?)",
	  LINE_SENT, "\1\r\n" },
	{ "ERROR((?: [^\\x00]*)?)", LINE_SENT, "ERROR FAILED\1\r\n" },
	{ "(READY [ITE] " LINE_POSITION ")", LINE_SENT, "\1\r\n" },
	/* Other forms of numbers. */
	{ "READY [ITE] [^ ]*[0-9][^ ]*", LINE_UNSPECIFIED, NULL },
	{ NULL, 0, NULL, NULL },
};

static inline void line_append_group(GByteArray *out, const uint8_t *line, const GMatchInfo *match,
				     int group)
{
	gint start = 0, end = 0;

	if (g_match_info_fetch_pos(match, group, &start, &end) && end > start)
		g_byte_array_append(out, line + start, (guint)(end - start));
}

static inline GRegex *line_rule_regex(struct line_rule *rule)
{
	char *pattern;

	if (rule->regex)
		return rule->regex;
	pattern = g_strdup_printf("\\A(?:%s)\\z", rule->pattern);
	rule->regex = g_regex_new(pattern, G_REGEX_RAW | G_REGEX_DOTALL, 0, NULL);
	g_assert(rule->regex);
	g_free(pattern);
	return rule->regex;
}

static inline bool line_apply_rule(struct line_message *m, struct line_rule *rule,
				   const uint8_t *line, size_t size_bytes)
{
	GMatchInfo *match = NULL;
	bool matches = g_regex_match_full(line_rule_regex(rule), (const char *)line,
					  (gssize)size_bytes, 0, 0, &match, NULL);

	if (matches)
		m->outcome = rule->outcome;
	for (const char *c = matches ? rule->result : NULL; c && *c; c++) {
		if (*c <= 3)
			line_append_group(m->bytes, line, match, *c);
		else
			g_byte_array_append(m->bytes, (const guint8 *)c, 1);
	}
	g_match_info_unref(match);
	return matches;
}

/**
 * Reads the first message with the strict reader.
 *
 * @param rules caller_line_rules or server_line_rules
 */
static inline void line_read_strictly(struct line_message *m, struct line_rule *rules,
				      const uint8_t *data, size_t size_bytes)
{
	size_t i = 0;

	*m = (struct line_message){ .bytes = g_byte_array_new() };
	while (i + 1 < size_bytes && !(data[i] == '\r' && data[i + 1] == '\n'))
		i++;
	if (i + 1 >= size_bytes)
		return;
	m->outcome = LINE_INVALID;
	for (; rules->pattern; rules++) {
		if (line_apply_rule(m, rules, data, i))
			break;
	}
	m->used_bytes = m->outcome == LINE_INVALID ? 0 : i + 2;
}

static inline void line_append_text(GByteArray *out, const char *text)
{
	g_byte_array_append(out, (const guint8 *)text, (guint)strlen(text));
}

static inline void line_pass_statement(struct line_message *m, const struct pw_caller_statement *s)
{
	const struct pw_server_dialect_ops *ops = pw_platform_server_dialect.ops;

	m->outcome = LINE_SENT;
	switch (s->verb) {
	case PW_VERB_READ:
	case PW_VERB_WRITE:
	case PW_VERB_COMMIT:
		ops->put_statement(m->bytes, s, NULL, NULL);
		return;
	case PW_VERB_EXECUTE:
		ops->put_statement(m->bytes, s, LINE_PREPARED_NAME, NULL);
		return;
	case PW_VERB_SET:
		ops->put_set(m->bytes, s->name, s->argument);
		return;
	case PW_VERB_PREPARE:
		ops->put_prepare(m->bytes, LINE_PREPARED_NAME, s->prepares_write, s->argument);
		return;
	default:
		break;
	}
	m->outcome = LINE_HANDLED;
	if (s->verb == PW_VERB_BEGIN || s->verb == PW_VERB_BEGIN_READ)
		line_append_text(m->bytes, s->verb == PW_VERB_BEGIN ? "BEGIN" : "BEGIN READ");
	else if (s->verb == PW_VERB_ROLLBACK)
		line_append_text(m->bytes, "ROLLBACK");
	else
		line_append_text(m->bytes, "CLOSE ");
	if (s->name)
		line_append_text(m->bytes, s->name);
}

static inline void line_set_failure(struct line_message *m, int rc)
{
	m->outcome = rc == PW_EAGAIN ? LINE_INCOMPLETE : LINE_INVALID;
	m->used_bytes = 0;
}

/** Reads the first message of a caller with the codec, and encodes it for the server. */
static inline void line_read_caller(struct line_message *m, const uint8_t *data, size_t size_bytes)
{
	struct pw_caller_message c;
	uint32_t used_bytes = 0;
	int rc = pw_platform_caller_dialect.ops->decode_next(&c, data, (uint32_t)size_bytes,
							     &used_bytes);

	*m = (struct line_message){ .used_bytes = used_bytes, .bytes = g_byte_array_new() };
	if (rc) {
		line_set_failure(m, rc);
	} else if (c.kind == PW_CALLER_MESSAGE_STATEMENT) {
		line_pass_statement(m, c.statement);
	} else if (c.kind == PW_CALLER_MESSAGE_STARTUP) {
		m->outcome = LINE_HANDLED;
		line_append_text(m->bytes, "STARTUP ");
		line_append_text(m->bytes, c.database);
		line_append_text(m->bytes, " ");
		line_append_text(m->bytes, c.key);
	} else if (c.kind == PW_CALLER_MESSAGE_TERMINATE) {
		m->outcome = LINE_HANDLED;
		line_append_text(m->bytes, "TERMINATE");
	} else {
		m->outcome = LINE_REFUSED;
	}
	pw_caller_message_dispose(&c);
}

/** Reads the first message of a server with the codec, and encodes it for the caller. */
static inline void line_read_server(struct line_message *m, const uint8_t *data, size_t size_bytes)
{
	const struct pw_caller_dialect_ops *ops = pw_platform_caller_dialect.ops;
	struct pw_reply r;
	uint32_t used_bytes = 0;
	int rc = pw_platform_server_dialect.ops->decode_next(&r, data, (uint32_t)size_bytes,
							     &used_bytes);

	*m = (struct line_message){ .outcome = LINE_SENT,
				    .used_bytes = used_bytes,
				    .bytes = g_byte_array_new() };
	if (rc)
		line_set_failure(m, rc);
	else if (r.kind == PW_REPLY_ROW)
		ops->put_row(m->bytes, r.row);
	else if (r.kind == PW_REPLY_COMPLETE)
		ops->put_complete(m->bytes, r.text);
	else if (r.kind == PW_REPLY_ERROR)
		ops->put_error(m->bytes, r.reason, r.text);
	else
		ops->put_ready(m->bytes, r.state, r.has_position ? &r.position : NULL);
	pw_reply_dispose(&r);
}

/** @return whether the codec has read and encoded the message as the strict reader has */
static inline bool line_messages_agree(const struct line_message *codec,
				       const struct line_message *strict)
{
	if (strict->outcome == LINE_UNSPECIFIED)
		return codec->outcome == LINE_INVALID || codec->used_bytes == strict->used_bytes;
	return codec->outcome == strict->outcome && codec->used_bytes == strict->used_bytes &&
	       codec->bytes->len == strict->bytes->len &&
	       (!codec->bytes->len ||
		memcmp(codec->bytes->data, strict->bytes->data, codec->bytes->len) == 0);
}

#endif
