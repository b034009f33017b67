#include "request.h"

static void shallow_destroy(struct pw_msg *m)
{
	g_free(m);
}

static void request_destroy(struct pw_msg *m)
{
	struct pw_request *r = (struct pw_request *)m;

	pw_document_unref(r->document);
	g_clear_pointer(&r->bytes, g_byte_array_unref);
	g_free(r);
}

static void chunk_destroy(struct pw_msg *m)
{
	struct pw_chunk *c = (struct pw_chunk *)m;

	g_clear_pointer(&c->bytes, g_byte_array_unref);
	g_free(c);
}

static void response_end_destroy(struct pw_msg *m)
{
	struct pw_response_end *e = (struct pw_response_end *)m;

	if (e->refusal)
		g_free(e->refusal->message);
	g_free(e->refusal);
	g_free(e);
}

static void snapshot_destroy(struct pw_msg *m)
{
	pw_document_unref(((struct pw_snapshot *)m)->document);
	g_free(m);
}

const struct pw_msg_ops pw_request_ops = { .name = "request", .destroy = request_destroy };
const struct pw_msg_ops pw_chunk_ops = { .name = "chunk", .destroy = chunk_destroy };
const struct pw_msg_ops pw_response_end_ops = {
	.name = "response_end",
	.destroy = response_end_destroy,
};
const struct pw_msg_ops pw_credit_ops = { .name = "credit", .destroy = shallow_destroy };
const struct pw_msg_ops pw_session_end_ops = { .name = "session_end", .destroy = shallow_destroy };
const struct pw_msg_ops pw_cancel_ops = { .name = "cancel", .destroy = shallow_destroy };
const struct pw_msg_ops pw_request_stop_ops = {
	.name = "request_stop",
	.destroy = shallow_destroy,
};
const struct pw_msg_ops pw_snapshot_ops = { .name = "snapshot", .destroy = snapshot_destroy };
const struct pw_msg_ops pw_snapshot_request_ops = {
	.name = "snapshot_ask",
	.destroy = shallow_destroy,
};
const struct pw_msg_ops pw_drain_ops = { .name = "drain", .destroy = shallow_destroy };
const struct pw_msg_ops pw_drain_end_ops = { .name = "drain_end", .destroy = shallow_destroy };

struct pw_request *pw_request_new(void)
{
	struct pw_request *r = g_new0(struct pw_request, 1);

	r->base.ops = &pw_request_ops;
	return r;
}

struct pw_chunk *pw_chunk_new(const struct pw_request *r)
{
	struct pw_chunk *c = g_new0(struct pw_chunk, 1);

	c->base.ops = &pw_chunk_ops;
	c->request_id = r->id;
	c->session_id = r->session_id;
	c->bytes = g_byte_array_new();
	return c;
}

struct pw_response_end *pw_response_end_new(const struct pw_request *r)
{
	struct pw_response_end *e = g_new0(struct pw_response_end, 1);

	e->base.ops = &pw_response_end_ops;
	e->request_id = r->id;
	e->session_id = r->session_id;
	e->floor = r->floor;
	e->transaction_status = r->in_transaction ? 'T' : 'I';
	return e;
}

struct pw_response_end *pw_response_end_new_refused(const struct pw_request *r,
						    const char *sqlstate, enum pw_counter counter,
						    const char *format, ...)
{
	struct pw_response_end *e = pw_response_end_new(r);
	va_list ap;

	e->refusal = g_new0(struct pw_refusal, 1);
	e->refusal->sqlstate = sqlstate;
	e->refusal->counter = counter;
	va_start(ap, format);
	e->refusal->message = g_strdup_vprintf(format, ap);
	va_end(ap);
	e->has_error = true;
	return e;
}

struct pw_msg *pw_credit_msg(uint64_t request_id, uint32_t size_bytes)
{
	struct pw_credit *c = g_new0(struct pw_credit, 1);

	c->base.ops = &pw_credit_ops;
	c->request_id = request_id;
	c->size_bytes = size_bytes;
	return &c->base;
}

struct pw_msg *pw_session_end_msg(uint64_t session_id, struct pw_mailbox *group)
{
	struct pw_session_end *e = g_new0(struct pw_session_end, 1);

	e->base.ops = &pw_session_end_ops;
	e->session_id = session_id;
	e->group = group;
	return &e->base;
}

struct pw_msg *pw_cancel_msg(uint64_t session_id)
{
	struct pw_cancel *c = g_new0(struct pw_cancel, 1);

	c->base.ops = &pw_cancel_ops;
	c->session_id = session_id;
	return &c->base;
}

struct pw_msg *pw_request_stop_msg(uint64_t request_id, struct pw_mailbox *group)
{
	struct pw_request_stop *s = g_new0(struct pw_request_stop, 1);

	s->base.ops = &pw_request_stop_ops;
	s->request_id = request_id;
	s->group = group;
	return &s->base;
}

struct pw_msg *pw_snapshot_msg(const struct pw_document *d)
{
	struct pw_snapshot *s = g_new0(struct pw_snapshot, 1);

	s->base.ops = &pw_snapshot_ops;
	s->document = pw_document_ref(d);
	return &s->base;
}

struct pw_msg *pw_snapshot_request_msg(struct pw_mailbox *reply_to)
{
	struct pw_snapshot_request *m = g_new0(struct pw_snapshot_request, 1);

	m->base.ops = &pw_snapshot_request_ops;
	m->reply_to = reply_to;
	return &m->base;
}

struct pw_msg *pw_drain_msg(void)
{
	struct pw_drain *d = g_new0(struct pw_drain, 1);

	d->base.ops = &pw_drain_ops;
	return &d->base;
}

struct pw_msg *pw_drain_end_msg(void)
{
	struct pw_msg *m = g_new0(struct pw_msg, 1);

	m->ops = &pw_drain_end_ops;
	return m;
}
