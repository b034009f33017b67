#include "pw/codec/peer.h"

#include <string.h>

#include "peer.pb-c.h"
#include "pw/core/error.h"

/* protobuf-c declares strings that it only reads as `char *`. */
static char *unconst(const char *s)
{
	return (char *)(uintptr_t)s;
}

void pw_peer_message_init(struct pw_peer_message *m, enum pw_peer_kind kind)
{
	*m = (struct pw_peer_message){ .kind = kind };
	pw_heartbeat_init(&m->heartbeat);
	pw_member_table_init(&m->table);
	m->hints = g_array_new(FALSE, TRUE, sizeof(struct pw_quota_hint));
}

void pw_peer_message_dispose(struct pw_peer_message *m)
{
	pw_heartbeat_dispose(&m->heartbeat);
	pw_member_table_dispose(&m->table);
	g_clear_pointer(&m->hints, g_array_unref);
	g_clear_pointer(&m->document_text, g_bytes_unref);
}

/*
 * Allocates an array of `count` messages and a list of pointers to them. list[0] always points to
 * the array, so that the array can be freed even if `count` is 0.
 */
#define NEW_MESSAGE_LIST(type, init, list, items, count) \
	do {                                             \
		(list) = g_new(type *, (count) + 1);     \
		(items) = g_new(type, (count) + 1);      \
		(list)[0] = (items);                     \
		for (guint i_ = 0; i_ < (count); i_++) { \
			init(&(items)[i_]);              \
			(list)[i_] = &(items)[i_];       \
		}                                        \
	} while (0)

static void fill_entry(Pw__MemberEntry *to, const struct pw_member_entry *from)
{
	to->name = unconst(from->name);
	to->address = unconst(from->address);
	to->zone = unconst(from->zone);
	to->incarnation = from->incarnation;
	to->since_epoch = from->since_epoch;
	to->ended = from->ended;
}

static Pw__MemberEntry **new_entries(const GArray *from)
{
	Pw__MemberEntry **list, *items;

	NEW_MESSAGE_LIST(Pw__MemberEntry, pw__member_entry__init, list, items, from->len);
	for (guint i = 0; i < from->len; i++)
		fill_entry(&items[i], &g_array_index(from, struct pw_member_entry, i));
	return list;
}

static void free_entries(Pw__MemberEntry **list)
{
	g_free(list[0]);
	g_free(list);
}

static void fill_table(Pw__MemberTable *to, const struct pw_member_table *from)
{
	pw__member_table__init(to);
	to->epoch = from->epoch;
	to->mod_revision = from->mod_revision;
	to->n_members = from->members->len;
	to->members = new_entries(from->members);
	to->n_previous = from->previous_members->len;
	to->previous = new_entries(from->previous_members);
}

static void clear_table(Pw__MemberTable *t)
{
	free_entries(t->members);
	free_entries(t->previous);
}

static void fill_report(Pw__RevisionReport *to, const struct pw_revision_report *from)
{
	pw__revision_report__init(to);
	to->revision = from->revision;
	to->confirmed_revision = from->confirmed_revision;
	to->confirmed_age_us = from->confirmed_age_us;
	to->store_age_us = from->store_age_us;
}

static void pack_envelope(GByteArray *out, const Pw__Envelope *e)
{
	guint start = out->len;

	g_byte_array_set_size(out, start + (guint)pw__envelope__get_packed_size(e));
	pw__envelope__pack(e, out->data + start);
}

static void encode_heartbeat(GByteArray *out, Pw__Envelope e, const struct pw_peer_message *m)
{
	const struct pw_heartbeat *h = &m->heartbeat;
	Pw__Heartbeat wire_heartbeat = PW__HEARTBEAT__INIT;
	Pw__MemberEntry sender = PW__MEMBER_ENTRY__INIT;
	Pw__RevisionReport report;
	Pw__HeartbeatEcho *echoes;
	Pw__QuotaHint *hints;

	fill_entry(&sender, &h->sender);
	fill_report(&report, &m->report);
	wire_heartbeat.sender = &sender;
	wire_heartbeat.sequence = h->sequence;
	wire_heartbeat.attested_epoch = h->attested_epoch;
	wire_heartbeat.settled_epoch = h->settled_epoch;
	wire_heartbeat.released_epoch = h->released_epoch;
	wire_heartbeat.effective_epoch = h->effective_epoch;
	wire_heartbeat.leaving = h->leaving;
	wire_heartbeat.report = &report;
	wire_heartbeat.n_echoes = h->echoes->len;
	NEW_MESSAGE_LIST(Pw__HeartbeatEcho, pw__heartbeat_echo__init, wire_heartbeat.echoes, echoes,
			 h->echoes->len);
	for (guint i = 0; i < h->echoes->len; i++) {
		const struct pw_heartbeat_echo *from =
			&g_array_index(h->echoes, struct pw_heartbeat_echo, i);

		echoes[i].name = unconst(from->name);
		echoes[i].incarnation = from->incarnation;
		echoes[i].sequence = from->sequence;
		echoes[i].silence_ms = from->silence_ms;
	}
	wire_heartbeat.n_hints = m->hints->len;
	NEW_MESSAGE_LIST(Pw__QuotaHint, pw__quota_hint__init, wire_heartbeat.hints, hints,
			 m->hints->len);
	for (guint i = 0; i < m->hints->len; i++) {
		const struct pw_quota_hint *from =
			&g_array_index(m->hints, struct pw_quota_hint, i);

		hints[i].id = unconst(from->id);
		hints[i].epoch = from->epoch;
		hints[i].spare = from->spare;
		hints[i].spare_level = from->spare_level_microtokens;
		hints[i].demand = from->demand;
		hints[i].excess = from->excess_units;
		hints[i].below_base = from->units_below_base;
	}
	e.body_case = PW__ENVELOPE__BODY_HEARTBEAT;
	e.heartbeat = &wire_heartbeat;
	pack_envelope(out, &e);
	g_free(wire_heartbeat.echoes);
	g_free(echoes);
	g_free(wire_heartbeat.hints);
	g_free(hints);
}

static void encode_table(GByteArray *out, Pw__Envelope e, const struct pw_peer_message *m)
{
	Pw__MemberTable t;

	fill_table(&t, &m->table);
	e.body_case = PW__ENVELOPE__BODY_TABLE;
	e.table = &t;
	pack_envelope(out, &e);
	clear_table(&t);
}

static void encode_document(GByteArray *out, Pw__Envelope e, const struct pw_peer_message *m)
{
	Pw__Document d = PW__DOCUMENT__INIT;
	gsize size = 0;

	d.revision = m->document_revision;
	if (m->document_text) {
		d.text.data = (uint8_t *)(uintptr_t)g_bytes_get_data(m->document_text, &size);
		d.text.len = size;
	}
	e.body_case = PW__ENVELOPE__BODY_DOCUMENT;
	e.document = &d;
	pack_envelope(out, &e);
}

static void encode_announcement(GByteArray *out, Pw__Envelope e, const struct pw_peer_message *m)
{
	Pw__RevisionReport r;

	fill_report(&r, &m->report);
	e.body_case = PW__ENVELOPE__BODY_ANNOUNCEMENT;
	e.announcement = &r;
	pack_envelope(out, &e);
}

static void encode_ask(GByteArray *out, Pw__Envelope e, const struct pw_peer_message *m)
{
	Pw__QuotaAsk a = PW__QUOTA_ASK__INIT;

	a.epoch = m->ask.epoch;
	a.id = unconst(m->ask.id);
	a.share = m->ask.share;
	a.level = m->ask.level_microtokens;
	a.units = m->ask.units;
	e.body_case = PW__ENVELOPE__BODY_QUOTA_ASK;
	e.quota_ask = &a;
	pack_envelope(out, &e);
}

static void encode_grant(GByteArray *out, Pw__Envelope e, const struct pw_peer_message *m)
{
	Pw__QuotaGrant g = PW__QUOTA_GRANT__INIT;

	g.receiver_incarnation = m->grant.receiver_incarnation;
	g.epoch = m->grant.epoch;
	g.number = m->grant.number;
	g.oldest_open = m->grant.oldest_unacked;
	g.id = unconst(m->grant.id);
	g.share = m->grant.share;
	g.level = m->grant.level_microtokens;
	g.units = m->grant.units;
	e.body_case = PW__ENVELOPE__BODY_QUOTA_GRANT;
	e.quota_grant = &g;
	pack_envelope(out, &e);
}

static void encode_ack(GByteArray *out, Pw__Envelope e, const struct pw_peer_message *m)
{
	Pw__QuotaAck a = PW__QUOTA_ACK__INIT;

	a.donor_incarnation = m->ack.donor_incarnation;
	a.number = m->ack.number;
	e.body_case = PW__ENVELOPE__BODY_QUOTA_ACK;
	e.quota_ack = &a;
	pack_envelope(out, &e);
}

static void encode_vote(GByteArray *out, Pw__Envelope e, const struct pw_peer_message *m)
{
	Pw__FailoverVote v = PW__FAILOVER_VOTE__INIT;

	v.database = unconst(m->database);
	v.term = m->term;
	v.suspects = m->suspects_primary;
	e.body_case = PW__ENVELOPE__BODY_VOTE;
	e.vote = &v;
	pack_envelope(out, &e);
}

static void encode_record(GByteArray *out, Pw__Envelope e, const struct pw_peer_message *m)
{
	Pw__PrimaryRecord r = PW__PRIMARY_RECORD__INIT;

	r.database = unconst(m->database);
	r.term = m->term;
	r.server = unconst(m->primary_address);
	e.body_case = PW__ENVELOPE__BODY_RECORD;
	e.record = &r;
	pack_envelope(out, &e);
}

static void encode_cancel(GByteArray *out, Pw__Envelope e, const struct pw_peer_message *m)
{
	Pw__CancelRequest c = PW__CANCEL_REQUEST__INIT;

	c.process_id = m->process_id;
	c.secret = m->secret;
	e.body_case = PW__ENVELOPE__BODY_CANCEL;
	e.cancel = &c;
	pack_envelope(out, &e);
}

static void encode_fetch(GByteArray *out, Pw__Envelope e, const struct pw_peer_message *m)
{
	Pw__Empty empty = PW__EMPTY__INIT;

	if (m->kind == PW_PEER_TABLE_FETCH) {
		e.body_case = PW__ENVELOPE__BODY_TABLE_FETCH;
		e.table_fetch = &empty;
	} else {
		e.body_case = PW__ENVELOPE__BODY_DOCUMENT_FETCH;
		e.document_fetch = &empty;
	}
	pack_envelope(out, &e);
}

static void (*const encoders[])(GByteArray *out, Pw__Envelope e,
				const struct pw_peer_message *m) = {
	[PW_PEER_HEARTBEAT] = encode_heartbeat, [PW_PEER_TABLE_FETCH] = encode_fetch,
	[PW_PEER_TABLE] = encode_table,         [PW_PEER_DOCUMENT_FETCH] = encode_fetch,
	[PW_PEER_DOCUMENT] = encode_document,   [PW_PEER_ANNOUNCEMENT] = encode_announcement,
	[PW_PEER_QUOTA_ASK] = encode_ask,       [PW_PEER_QUOTA_GRANT] = encode_grant,
	[PW_PEER_QUOTA_ACK] = encode_ack,       [PW_PEER_VOTE] = encode_vote,
	[PW_PEER_RECORD] = encode_record,       [PW_PEER_CANCEL] = encode_cancel,
};

void pw_peer_encode(GByteArray *out, const struct pw_peer_message *m)
{
	Pw__Envelope e = PW__ENVELOPE__INIT;

	e.version = PW_PEER_PROTOCOL_VERSION;
	e.sender = unconst(m->sender);
	e.incarnation = m->incarnation;
	encoders[m->kind](out, e, m);
}

void pw_peer_table_encode(GByteArray *out, const struct pw_member_table *t)
{
	Pw__MemberTable wire_table;
	guint start = out->len;

	fill_table(&wire_table, t);
	g_byte_array_set_size(out, start + (guint)pw__member_table__get_packed_size(&wire_table));
	pw__member_table__pack(&wire_table, out->data + start);
	clear_table(&wire_table);
}

/* Allocator that limits the total memory allocated for one unpacked message. */
struct memory_budget {
	ProtobufCAllocator allocator;
	size_t remaining_bytes;
};

static void *memory_budget_alloc(void *data, size_t size_bytes)
{
	struct memory_budget *b = data;

	if (size_bytes > b->remaining_bytes)
		return NULL;
	b->remaining_bytes -= size_bytes;
	return g_malloc(size_bytes);
}

static void memory_budget_free(void *data, void *block)
{
	(void)data;
	g_free(block);
}

static void memory_budget_init(struct memory_budget *b)
{
	*b = (struct memory_budget){
		.allocator = { .alloc = memory_budget_alloc,
			       .free = memory_budget_free,
			       .allocator_data = b },
		.remaining_bytes = PW_PEER_MAX_MEMORY_BYTES,
	};
}

/*
 * Returns whether the text can be written without escaping: names and addresses are written like
 * that to logs and to the JSON of /v1/status.
 */
static bool needs_no_escaping(const char *text)
{
	for (; *text; text++) {
		if ((uint8_t)*text < ' ' || *text == 0x7f || *text == '"' || *text == '\\')
			return false;
	}
	return true;
}

/*
 * Copies a string of a message. Returns false if it does not fit, is not UTF-8, or contains
 * characters that would need escaping.
 */
static bool copy_string(char *to, size_t size_bytes, const char *from)
{
	return g_strlcpy(to, from, size_bytes) < size_bytes && g_utf8_validate(from, -1, NULL) &&
	       needs_no_escaping(from);
}

static bool read_entry(struct pw_member_entry *to, const Pw__MemberEntry *from)
{
	to->incarnation = from->incarnation;
	to->since_epoch = from->since_epoch;
	to->ended = from->ended;
	return from->name[0] && copy_string(to->name, sizeof(to->name), from->name) &&
	       copy_string(to->address, sizeof(to->address), from->address) &&
	       copy_string(to->zone, sizeof(to->zone), from->zone);
}

static bool read_entries(GArray *to, Pw__MemberEntry *const *from, size_t count)
{
	if (count > PW_PEER_MAX_MEMBERS)
		return false;
	for (size_t i = 0; i < count; i++) {
		struct pw_member_entry e = { 0 };

		if (!read_entry(&e, from[i]))
			return false;
		g_array_append_val(to, e);
	}
	return true;
}

static bool read_table(struct pw_member_table *to, const Pw__MemberTable *from)
{
	to->epoch = from->epoch;
	to->mod_revision = from->mod_revision;
	return read_entries(to->members, from->members, from->n_members) &&
	       read_entries(to->previous_members, from->previous, from->n_previous);
}

static void read_report(struct pw_revision_report *to, const Pw__RevisionReport *from)
{
	to->revision = from->revision;
	to->confirmed_revision = from->confirmed_revision;
	to->confirmed_age_us = from->confirmed_age_us;
	to->store_age_us = from->store_age_us;
}

static bool read_echo(GArray *to, const Pw__HeartbeatEcho *from)
{
	struct pw_heartbeat_echo e = {
		.incarnation = from->incarnation,
		.sequence = from->sequence,
		.silence_ms = from->silence_ms,
	};
	bool ok = copy_string(e.name, sizeof(e.name), from->name);

	g_array_append_val(to, e);
	return ok;
}

static bool read_hint(GArray *to, const Pw__QuotaHint *from)
{
	struct pw_quota_hint h = {
		.epoch = from->epoch,
		.spare = from->spare,
		.spare_level_microtokens = from->spare_level,
		.demand = from->demand,
		.excess_units = from->excess,
		.units_below_base = from->below_base,
	};
	bool ok = copy_string(h.id, sizeof(h.id), from->id);

	g_array_append_val(to, h);
	return ok;
}

static bool decode_heartbeat(struct pw_peer_message *m, const Pw__Envelope *e)
{
	const Pw__Heartbeat *h = e->heartbeat;
	bool ok = h->sender && h->report && h->n_echoes <= PW_PEER_MAX_MEMBERS &&
		  h->n_hints <= PW_PEER_MAX_HINTS && read_entry(&m->heartbeat.sender, h->sender);

	for (size_t i = 0; ok && i < h->n_echoes; i++)
		ok = read_echo(m->heartbeat.echoes, h->echoes[i]);
	for (size_t i = 0; ok && i < h->n_hints; i++)
		ok = read_hint(m->hints, h->hints[i]);
	if (!ok)
		return false;
	m->heartbeat.sequence = h->sequence;
	m->heartbeat.attested_epoch = h->attested_epoch;
	m->heartbeat.settled_epoch = h->settled_epoch;
	m->heartbeat.released_epoch = h->released_epoch;
	m->heartbeat.effective_epoch = h->effective_epoch;
	m->heartbeat.leaving = h->leaving;
	read_report(&m->report, h->report);
	m->heartbeat.config_revision = m->report.revision;
	return true;
}

static bool decode_document(struct pw_peer_message *m, const Pw__Envelope *e)
{
	m->document_revision = e->document->revision;
	m->document_text = g_bytes_new(e->document->text.data, e->document->text.len);
	return true;
}

static bool decode_ask(struct pw_peer_message *m, const Pw__Envelope *e)
{
	const Pw__QuotaAsk *a = e->quota_ask;

	m->ask.incarnation = e->incarnation;
	m->ask.epoch = a->epoch;
	m->ask.share = a->share;
	m->ask.level_microtokens = a->level;
	m->ask.units = a->units;
	return copy_string(m->ask.sender, sizeof(m->ask.sender), e->sender) &&
	       copy_string(m->ask.id, sizeof(m->ask.id), a->id);
}

static bool decode_grant(struct pw_peer_message *m, const Pw__Envelope *e)
{
	const Pw__QuotaGrant *g = e->quota_grant;

	m->grant.donor_incarnation = e->incarnation;
	m->grant.receiver_incarnation = g->receiver_incarnation;
	m->grant.epoch = g->epoch;
	m->grant.number = g->number;
	m->grant.oldest_unacked = g->oldest_open;
	m->grant.share = g->share;
	m->grant.level_microtokens = g->level;
	m->grant.units = g->units;
	return copy_string(m->grant.donor, sizeof(m->grant.donor), e->sender) &&
	       copy_string(m->grant.id, sizeof(m->grant.id), g->id);
}

static bool decode_ack(struct pw_peer_message *m, const Pw__Envelope *e)
{
	m->ack.donor_incarnation = e->quota_ack->donor_incarnation;
	m->ack.number = e->quota_ack->number;
	return copy_string(m->ack.sender, sizeof(m->ack.sender), e->sender);
}

static bool decode_vote(struct pw_peer_message *m, const Pw__Envelope *e)
{
	m->term = e->vote->term;
	m->suspects_primary = e->vote->suspects;
	return copy_string(m->database, sizeof(m->database), e->vote->database);
}

static bool decode_record(struct pw_peer_message *m, const Pw__Envelope *e)
{
	m->term = e->record->term;
	return copy_string(m->database, sizeof(m->database), e->record->database) &&
	       copy_string(m->primary_address, sizeof(m->primary_address), e->record->server);
}

static bool decode_body(struct pw_peer_message *m, const Pw__Envelope *e)
{
	switch (e->body_case) {
	case PW__ENVELOPE__BODY_HEARTBEAT:
		m->kind = PW_PEER_HEARTBEAT;
		return decode_heartbeat(m, e);
	case PW__ENVELOPE__BODY_TABLE_FETCH:
		m->kind = PW_PEER_TABLE_FETCH;
		return true;
	case PW__ENVELOPE__BODY_TABLE:
		m->kind = PW_PEER_TABLE;
		return read_table(&m->table, e->table);
	case PW__ENVELOPE__BODY_DOCUMENT_FETCH:
		m->kind = PW_PEER_DOCUMENT_FETCH;
		return true;
	case PW__ENVELOPE__BODY_DOCUMENT:
		m->kind = PW_PEER_DOCUMENT;
		return decode_document(m, e);
	case PW__ENVELOPE__BODY_ANNOUNCEMENT:
		m->kind = PW_PEER_ANNOUNCEMENT;
		read_report(&m->report, e->announcement);
		return true;
	case PW__ENVELOPE__BODY_QUOTA_ASK:
		m->kind = PW_PEER_QUOTA_ASK;
		return decode_ask(m, e);
	case PW__ENVELOPE__BODY_QUOTA_GRANT:
		m->kind = PW_PEER_QUOTA_GRANT;
		return decode_grant(m, e);
	case PW__ENVELOPE__BODY_QUOTA_ACK:
		m->kind = PW_PEER_QUOTA_ACK;
		return decode_ack(m, e);
	case PW__ENVELOPE__BODY_VOTE:
		m->kind = PW_PEER_VOTE;
		return decode_vote(m, e);
	case PW__ENVELOPE__BODY_RECORD:
		m->kind = PW_PEER_RECORD;
		return decode_record(m, e);
	case PW__ENVELOPE__BODY_CANCEL:
		m->kind = PW_PEER_CANCEL;
		m->process_id = e->cancel->process_id;
		m->secret = e->cancel->secret;
		return true;
	default:
		return false;
	}
}

int pw_peer_decode(struct pw_peer_message *out, const void *data, size_t size_bytes)
{
	struct memory_budget budget;
	Pw__Envelope *e;
	int rc = PW_OK;

	if (size_bytes > PW_PEER_MAX_BYTES)
		return pw_error_set(PW_EOVERFLOW, "the peer message of %zu bytes is too large",
				    size_bytes);
	memory_budget_init(&budget);
	e = pw__envelope__unpack(&budget.allocator, size_bytes, data);
	if (!e)
		return pw_error_set(PW_EINVALID, "the peer message is malformed");
	pw_peer_message_init(out, PW_PEER_HEARTBEAT);
	out->incarnation = e->incarnation;
	if (e->version != PW_PEER_PROTOCOL_VERSION)
		rc = pw_error_set(PW_EINVALID, "the peer message has the unsupported version %u",
				  e->version);
	else if (!e->sender[0] || !copy_string(out->sender, sizeof(out->sender), e->sender) ||
		 !decode_body(out, e))
		rc = pw_error_set(PW_EINVALID, "the peer message is malformed");
	if (rc)
		pw_peer_message_dispose(out);
	pw__envelope__free_unpacked(e, &budget.allocator);
	return rc;
}

int pw_peer_table_decode(struct pw_member_table *out, const void *data, size_t size_bytes)
{
	struct pw_member_table t;
	struct memory_budget budget;
	Pw__MemberTable *wire_table;
	int rc = PW_EINVALID;

	memory_budget_init(&budget);
	wire_table = pw__member_table__unpack(&budget.allocator, size_bytes, data);
	if (!wire_table)
		return pw_error_set(PW_EINVALID, "the member table is malformed");
	pw_member_table_init(&t);
	if (read_table(&t, wire_table)) {
		pw_member_table_copy(out, &t);
		rc = PW_OK;
	} else {
		pw_error_set(PW_EINVALID, "the member table is malformed");
	}
	pw_member_table_dispose(&t);
	pw__member_table__free_unpacked(wire_table, &budget.allocator);
	return rc;
}
