#include "pw/codec/dialect.h"

const char *pw_reason_name(enum pw_reason r)
{
	static const char *const names[PW_REASON_COUNT] = {
		[PW_REASON_NONE] = "none",
		[PW_REASON_BUSY] = "busy",
		[PW_REASON_ABORTED] = "aborted",
		[PW_REASON_SERVER_BEHIND] = "behind",
		[PW_REASON_NOT_PRIMARY] = "not_primary",
		[PW_REASON_WRONG_SERVER] = "wrong_server",
		[PW_REASON_CONNECTION_LIMIT] = "connection_limit",
		[PW_REASON_UNKNOWN_STATEMENT] = "unknown_statement",
		[PW_REASON_FAILED] = "failed",
		[PW_REASON_TIMEOUT] = "timeout",
		[PW_REASON_OUTCOME_UNKNOWN] = "outcome_unknown",
		[PW_REASON_BAD_KEY] = "bad_key",
		[PW_REASON_NO_DATABASE] = "no_database",
		[PW_REASON_TOO_LARGE] = "too_large",
		[PW_REASON_MALFORMED] = "malformed",
		[PW_REASON_OTHER] = "other",
	};

	return names[r];
}

void pw_caller_statement_free(struct pw_caller_statement *s)
{
	if (!s)
		return;
	g_free(s->id);
	g_free(s->name);
	g_clear_pointer(&s->argument, g_bytes_unref);
	g_free(s);
}

void pw_caller_message_dispose(struct pw_caller_message *c)
{
	g_clear_pointer(&c->database, g_free);
	g_clear_pointer(&c->key, g_free);
	g_clear_pointer(&c->statement, pw_caller_statement_free);
}

void pw_reply_dispose(struct pw_reply *r)
{
	g_clear_pointer(&r->row, g_bytes_unref);
	g_clear_pointer(&r->text, g_free);
}
