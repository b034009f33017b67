#include "pw/codec/dialect.h"

void pw_statement_call_free(struct pw_statement_call *s)
{
	if (!s)
		return;
	g_free(s->id);
	g_free(s->name);
	g_free(s->argument);
	g_free(s);
}

void pw_call_dispose(struct pw_call *c)
{
	g_clear_pointer(&c->database, g_free);
	g_clear_pointer(&c->key, g_free);
	g_clear_pointer(&c->statement, pw_statement_call_free);
}

void pw_reply_dispose(struct pw_reply *r)
{
	g_clear_pointer(&r->text, g_free);
}
