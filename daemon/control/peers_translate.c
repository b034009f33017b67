#include "peers_private.h"

#include <string.h>

static void handle_heartbeat(struct peers *p, const struct pw_peer_message *m)
{
	struct pw_revision_msg *report_msg =
		pw_revision_msg_new(PW_REVISION_MESSAGE_HEARTBEAT, m->sender);

	/*
	 * The config task gets the report before a lease that this heartbeat renews, as
	 * pw_revision_set_lease() requires.
	 */
	report_msg->report = m->report;
	report_msg->made_after_us = pw_member_heartbeat_sent_after_us(p->member, &m->heartbeat);
	pw_mailbox_send(p->directory->config, &report_msg->base);
	for (guint i = 0; i < m->hints->len; i++) {
		struct pw_quota_hint_msg *h = pw_quota_hint_msg_new();

		g_strlcpy(h->peer, m->sender, sizeof(h->peer));
		h->incarnation = m->incarnation;
		h->hint = g_array_index(m->hints, struct pw_quota_hint, i);
		pw_mailbox_send(p->directory->ledger, &h->base);
	}
	pw_member_heartbeat_received(p->member, &m->heartbeat, peers_now_us(p), p->actions);
	peers_run_actions(p);
}

static void forward_quota(struct peers *p, const struct pw_peer_message *m,
			  enum pw_quota_message_kind kind)
{
	struct pw_quota_msg *q = pw_quota_msg_new();

	q->kind = kind;
	g_strlcpy(q->peer, m->sender, sizeof(q->peer));
	if (kind == PW_QUOTA_MESSAGE_ASK)
		q->ask = m->ask;
	else if (kind == PW_QUOTA_MESSAGE_GRANT)
		q->grant = m->grant;
	else
		q->ack = m->ack;
	pw_mailbox_send(p->directory->ledger, &q->base);
}

static void forward_vote(struct peers *p, const struct pw_peer_message *m)
{
	struct pw_vote_msg *v = pw_vote_msg_new();

	g_strlcpy(v->peer, m->sender, sizeof(v->peer));
	g_strlcpy(v->database, m->database, sizeof(v->database));
	g_strlcpy(v->server, m->primary_address, sizeof(v->server));
	v->term = m->term;
	v->suspects_primary = m->suspects_primary;
	v->promoted = m->kind == PW_PEER_RECORD;
	pw_mailbox_send(p->directory->monitor, &v->base);
}

static void forward_revision(struct peers *p, const struct pw_peer_message *m,
			     enum pw_revision_message_kind kind)
{
	struct pw_revision_msg *r = pw_revision_msg_new(kind, m->sender);

	r->report = m->report;
	r->revision = m->document_revision;
	r->text = m->document_text ? g_bytes_ref(m->document_text) : NULL;
	pw_mailbox_send(p->directory->config, &r->base);
}

static void forward_cancel(struct peers *p, const struct pw_peer_message *m)
{
	for (uint32_t i = 0; i < p->directory->front_count; i++)
		pw_mailbox_send(p->directory->fronts[i],
				pw_front_cancel_msg(m->process_id, m->secret));
}

static void reply_with_table(struct peers *p, zmq_msg_t *identity)
{
	struct pw_peer_message m;

	pw_peer_message_init(&m, PW_PEER_TABLE);
	pw_member_table_copy(&m.table, pw_member_newest_table(p->member));
	peers_reply(p, identity, &m);
	pw_peer_message_dispose(&m);
}

static void reply_with_document(struct peers *p, zmq_msg_t *identity)
{
	struct pw_peer_message m;

	if (!p->document)
		return;
	pw_peer_message_init(&m, PW_PEER_DOCUMENT);
	m.document_revision = p->document->revision;
	m.document_text = g_bytes_new(p->document->text, p->document->text_size_bytes);
	peers_reply(p, identity, &m);
	pw_peer_message_dispose(&m);
}

void peers_handle_message(struct peers *p, const struct pw_peer_message *m, zmq_msg_t *identity)
{
	switch (m->kind) {
	case PW_PEER_HEARTBEAT:
		handle_heartbeat(p, m);
		break;
	case PW_PEER_TABLE_FETCH:
		if (identity)
			reply_with_table(p, identity);
		break;
	case PW_PEER_TABLE:
		pw_member_table_received(p->member, &m->table, peers_now_us(p), p->actions);
		peers_run_actions(p);
		break;
	case PW_PEER_DOCUMENT_FETCH:
		if (identity)
			reply_with_document(p, identity);
		break;
	case PW_PEER_DOCUMENT:
		forward_revision(p, m, PW_REVISION_MESSAGE_DOCUMENT);
		break;
	case PW_PEER_ANNOUNCEMENT:
		forward_revision(p, m, PW_REVISION_MESSAGE_ANNOUNCE);
		break;
	case PW_PEER_QUOTA_ASK:
		forward_quota(p, m, PW_QUOTA_MESSAGE_ASK);
		break;
	case PW_PEER_QUOTA_GRANT:
		forward_quota(p, m, PW_QUOTA_MESSAGE_GRANT);
		break;
	case PW_PEER_QUOTA_ACK:
		forward_quota(p, m, PW_QUOTA_MESSAGE_ACK);
		break;
	case PW_PEER_VOTE:
	case PW_PEER_RECORD:
		forward_vote(p, m);
		break;
	case PW_PEER_CANCEL:
		forward_cancel(p, m);
		break;
	}
}

void peers_send_quota(struct peers *p, const struct pw_quota_msg *q)
{
	struct pw_peer_message m;

	switch (q->kind) {
	case PW_QUOTA_MESSAGE_ASK:
		pw_peer_message_init(&m, PW_PEER_QUOTA_ASK);
		m.ask = q->ask;
		break;
	case PW_QUOTA_MESSAGE_GRANT:
		pw_peer_message_init(&m, PW_PEER_QUOTA_GRANT);
		m.grant = q->grant;
		break;
	default:
		pw_peer_message_init(&m, PW_PEER_QUOTA_ACK);
		m.ack = q->ack;
		break;
	}
	peers_send_to_member(p, q->peer, &m);
	pw_peer_message_dispose(&m);
}

static void announce_revision(struct peers *p, const struct pw_revision_msg *r)
{
	GPtrArray *neighbours = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *names = g_ptr_array_new();
	struct pw_peer_message m;

	/* The names are copied, since sending may receive a table that replaces them. */
	pw_member_append_neighbours(p->member, names);
	for (guint i = 0; i < names->len; i++)
		g_ptr_array_add(neighbours, g_strdup(g_ptr_array_index(names, i)));
	pw_peer_message_init(&m, PW_PEER_ANNOUNCEMENT);
	m.report = r->report;
	for (guint i = 0; i < neighbours->len; i++) {
		const char *name = g_ptr_array_index(neighbours, i);

		if (strcmp(name, r->peer) != 0)
			peers_send_to_member(p, name, &m);
	}
	pw_peer_message_dispose(&m);
	g_ptr_array_unref(names);
	g_ptr_array_unref(neighbours);
}

void peers_send_revision(struct peers *p, const struct pw_revision_msg *r)
{
	const struct pw_member_entry *e = peers_find_member(p, r->peer);

	if (r->kind == PW_REVISION_MESSAGE_ANNOUNCE)
		announce_revision(p, r);
	else if (r->kind == PW_REVISION_MESSAGE_FETCH && e)
		peers_send_empty(p, e->address, PW_PEER_DOCUMENT_FETCH);
}

void peers_send_vote(struct peers *p, const struct pw_vote_msg *v)
{
	struct pw_peer_message m;

	pw_peer_message_init(&m, v->promoted ? PW_PEER_RECORD : PW_PEER_VOTE);
	g_strlcpy(m.database, v->database, sizeof(m.database));
	g_strlcpy(m.primary_address, v->server, sizeof(m.primary_address));
	m.term = v->term;
	m.suspects_primary = v->suspects_primary;
	peers_send_to_all(p, &m);
	pw_peer_message_dispose(&m);
}

void peers_send_cancel(struct peers *p, const struct pw_front_cancel *c)
{
	struct pw_peer_message m;

	pw_peer_message_init(&m, PW_PEER_CANCEL);
	m.process_id = c->process_id;
	m.secret = c->secret;
	peers_send_to_all(p, &m);
	pw_peer_message_dispose(&m);
}
