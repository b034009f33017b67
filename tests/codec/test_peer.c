/*
 * Tests of the encoding of peer messages: round trips, truncated, hand-made and random messages,
 * and the limits on size and memory.
 */
#include "suite.h"

#include <string.h>

#include "pw/codec/peer.h"
#include "pw/core/error.h"

static const char *const kind_names[] = {
	[PW_PEER_HEARTBEAT] = "heartbeat",
	[PW_PEER_TABLE_FETCH] = "table fetch",
	[PW_PEER_TABLE] = "table",
	[PW_PEER_DOCUMENT_FETCH] = "document fetch",
	[PW_PEER_DOCUMENT] = "document",
	[PW_PEER_ANNOUNCEMENT] = "announcement",
	[PW_PEER_QUOTA_ASK] = "quota ask",
	[PW_PEER_QUOTA_GRANT] = "quota grant",
	[PW_PEER_QUOTA_ACK] = "quota acknowledgement",
	[PW_PEER_VOTE] = "vote",
	[PW_PEER_RECORD] = "record",
	[PW_PEER_CANCEL] = "cancel",
};

static void add_member(GArray *to, const char *name, uint64_t incarnation)
{
	struct pw_member_entry e = { .incarnation = incarnation, .since_epoch = 3, .ended = true };

	g_strlcpy(e.name, name, sizeof(e.name));
	g_strlcpy(e.address, "10.0.0.1:7000", sizeof(e.address));
	g_strlcpy(e.zone, "zone-1", sizeof(e.zone));
	g_array_append_val(to, e);
}

static void set_report(struct pw_peer_message *m)
{
	m->report = (struct pw_revision_report){
		.revision = 77,
		.confirmed_revision = 76,
		.confirmed_age_us = UINT64_MAX,
		.store_age_us = 5,
	};
}

static void fill_heartbeat(struct pw_peer_message *m)
{
	struct pw_heartbeat_echo echo = { "vm-02", 8, UINT64_MAX, 250 };
	struct pw_quota_hint hint = { "rate/alpha", 4, 1u << 30, 99, 12, 1 };
	struct pw_member_entry *sender = &m->heartbeat.sender;

	g_strlcpy(sender->name, "vm-01", sizeof(sender->name));
	g_strlcpy(sender->address, "10.0.0.1:7000", sizeof(sender->address));
	g_strlcpy(sender->zone, "zone-1", sizeof(sender->zone));
	sender->incarnation = UINT64_MAX;
	m->heartbeat.sequence = 1234567;
	m->heartbeat.attested_epoch = 5;
	m->heartbeat.settled_epoch = 4;
	m->heartbeat.released_epoch = 3;
	m->heartbeat.effective_epoch = 2;
	m->heartbeat.config_revision = 77; /* the decoder copies it from the report */
	m->heartbeat.leaving = true;
	g_array_append_val(m->heartbeat.echoes, echo);
	g_array_append_val(m->heartbeat.echoes, echo);
	g_array_append_val(m->hints, hint);
	set_report(m);
}

/* Initialises a message of a kind with non-default values, as the decoder returns it. */
static void init_sample(struct pw_peer_message *m, enum pw_peer_kind kind)
{
	pw_peer_message_init(m, kind);
	g_strlcpy(m->sender, "vm-01", sizeof(m->sender));
	m->incarnation = UINT64_MAX;
	switch (kind) {
	case PW_PEER_HEARTBEAT:
		fill_heartbeat(m);
		break;
	case PW_PEER_TABLE:
		m->table.epoch = 9;
		m->table.mod_revision = INT64_MAX;
		add_member(m->table.members, "vm-01", 1);
		add_member(m->table.members, "vm-02", 2);
		add_member(m->table.previous_members, "vm-03", 3);
		break;
	case PW_PEER_DOCUMENT:
		m->document_text = g_bytes_new("{\"a\":\0}", 7);
		m->document_revision = 12;
		break;
	case PW_PEER_ANNOUNCEMENT:
		set_report(m);
		break;
	case PW_PEER_QUOTA_ASK:
		m->ask = (struct pw_quota_ask){ "vm-01", UINT64_MAX, 3, "rate/alpha", 1, 2, 3 };
		break;
	case PW_PEER_QUOTA_GRANT:
		m->grant = (struct pw_quota_grant){ "vm-01", UINT64_MAX,  6, 3, 11,
						    10,      "slots/one", 4, 5, 6 };
		break;
	case PW_PEER_QUOTA_ACK:
		m->ack = (struct pw_quota_ack){ "vm-01", 6, 11 };
		break;
	case PW_PEER_VOTE:
		g_strlcpy(m->database, "orders", sizeof(m->database));
		m->term = 17;
		m->suspects_primary = true;
		break;
	case PW_PEER_RECORD:
		g_strlcpy(m->database, "orders", sizeof(m->database));
		g_strlcpy(m->primary_address, "10.0.0.1:5432", sizeof(m->primary_address));
		m->term = UINT64_MAX;
		break;
	case PW_PEER_CANCEL:
		m->process_id = UINT32_MAX;
		m->secret = 5;
		break;
	case PW_PEER_TABLE_FETCH:
	case PW_PEER_DOCUMENT_FETCH:
		break;
	}
}

/* Structs are compared field by field, since padding bytes are undefined. */
static bool echoes_equal(const void *a, const void *b)
{
	const struct pw_heartbeat_echo *x = a, *y = b;

	return !strcmp(x->name, y->name) && x->incarnation == y->incarnation &&
	       x->sequence == y->sequence && x->silence_ms == y->silence_ms;
}

static bool hints_equal(const void *a, const void *b)
{
	const struct pw_quota_hint *x = a, *y = b;

	return !strcmp(x->id, y->id) && x->epoch == y->epoch && x->spare == y->spare &&
	       x->spare_level_microtokens == y->spare_level_microtokens && x->demand == y->demand &&
	       x->excess_units == y->excess_units;
}

static bool members_equal(const void *a, const void *b)
{
	const struct pw_member_entry *x = a, *y = b;

	return !strcmp(x->name, y->name) && !strcmp(x->address, y->address) &&
	       !strcmp(x->zone, y->zone) && x->incarnation == y->incarnation &&
	       x->since_epoch == y->since_epoch && x->ended == y->ended;
}

static bool asks_equal(const struct pw_quota_ask *x, const struct pw_quota_ask *y)
{
	return !strcmp(x->sender, y->sender) && x->incarnation == y->incarnation &&
	       x->epoch == y->epoch && !strcmp(x->id, y->id) && x->share == y->share &&
	       x->level_microtokens == y->level_microtokens && x->units == y->units;
}

static bool grants_equal(const struct pw_quota_grant *x, const struct pw_quota_grant *y)
{
	return !strcmp(x->donor, y->donor) && x->donor_incarnation == y->donor_incarnation &&
	       x->receiver_incarnation == y->receiver_incarnation && x->epoch == y->epoch &&
	       x->number == y->number && x->oldest_unacked == y->oldest_unacked &&
	       !strcmp(x->id, y->id) && x->share == y->share &&
	       x->level_microtokens == y->level_microtokens && x->units == y->units;
}

static bool acks_equal(const struct pw_quota_ack *x, const struct pw_quota_ack *y)
{
	return !strcmp(x->sender, y->sender) && x->donor_incarnation == y->donor_incarnation &&
	       x->number == y->number;
}

static bool arrays_equal(const GArray *a, const GArray *b,
			 bool (*items_equal)(const void *, const void *))
{
	guint size = g_array_get_element_size((GArray *)a);

	if (a->len != b->len)
		return false;
	for (guint i = 0; i < a->len; i++)
		if (!items_equal(a->data + (size_t)i * size, b->data + (size_t)i * size))
			return false;
	return true;
}

static bool reports_equal(const struct pw_revision_report *x, const struct pw_revision_report *y)
{
	return x->revision == y->revision && x->confirmed_revision == y->confirmed_revision &&
	       x->confirmed_age_us == y->confirmed_age_us && x->store_age_us == y->store_age_us;
}

static bool tables_equal(const struct pw_member_table *x, const struct pw_member_table *y)
{
	return x->epoch == y->epoch && x->mod_revision == y->mod_revision &&
	       arrays_equal(x->members, y->members, members_equal) &&
	       arrays_equal(x->previous_members, y->previous_members, members_equal);
}

static GByteArray *encode(const struct pw_peer_message *m)
{
	GByteArray *bytes = g_byte_array_new();

	pw_peer_encode(bytes, m);
	return bytes;
}

/* Guards against a field that is lost or changed by encoding and decoding. */
START_TEST(test_round_trip)
{
	struct pw_peer_message in, out;
	GByteArray *bytes;

	init_sample(&in, (enum pw_peer_kind)_i);
	bytes = encode(&in);
	ck_assert_msg(pw_peer_decode(&out, bytes->data, bytes->len) == PW_OK, "%s: %s",
		      kind_names[_i], pw_error_message());
	ck_assert_int_eq(out.kind, in.kind);
	ck_assert_str_eq(out.sender, in.sender);
	ck_assert(out.incarnation == in.incarnation);
	ck_assert(members_equal(&out.heartbeat.sender, &in.heartbeat.sender));
	ck_assert_uint_eq(out.heartbeat.sequence, in.heartbeat.sequence);
	ck_assert_uint_eq(out.heartbeat.attested_epoch, in.heartbeat.attested_epoch);
	ck_assert_uint_eq(out.heartbeat.settled_epoch, in.heartbeat.settled_epoch);
	ck_assert_uint_eq(out.heartbeat.released_epoch, in.heartbeat.released_epoch);
	ck_assert_uint_eq(out.heartbeat.effective_epoch, in.heartbeat.effective_epoch);
	ck_assert_uint_eq(out.heartbeat.config_revision, in.heartbeat.config_revision);
	ck_assert(out.heartbeat.leaving == in.heartbeat.leaving);
	ck_assert(arrays_equal(out.heartbeat.echoes, in.heartbeat.echoes, echoes_equal));
	ck_assert(arrays_equal(out.hints, in.hints, hints_equal));
	ck_assert(reports_equal(&out.report, &in.report));
	ck_assert(tables_equal(&out.table, &in.table));
	ck_assert(out.document_revision == in.document_revision);
	ck_assert(!in.document_text == !out.document_text);
	ck_assert(!in.document_text || g_bytes_equal(in.document_text, out.document_text));
	ck_assert(asks_equal(&out.ask, &in.ask));
	ck_assert(grants_equal(&out.grant, &in.grant));
	ck_assert(acks_equal(&out.ack, &in.ack));
	ck_assert_str_eq(out.database, in.database);
	ck_assert_str_eq(out.primary_address, in.primary_address);
	ck_assert(out.term == in.term && out.suspects_primary == in.suspects_primary);
	ck_assert(out.process_id == in.process_id && out.secret == in.secret);
	g_byte_array_unref(bytes);
	pw_peer_message_dispose(&in);
	pw_peer_message_dispose(&out);
}
END_TEST

/* Guards against a truncated message being accepted as a complete one with other contents. */
START_TEST(test_truncation)
{
	struct pw_peer_message in;
	GByteArray *bytes;

	init_sample(&in, (enum pw_peer_kind)_i);
	bytes = encode(&in);
	for (guint size = 0; size < bytes->len; size++) {
		struct pw_peer_message out;
		/* A copy of the exact size, so that sanitizers detect reads past its end. */
		uint8_t *cut = g_memdup2(bytes->data, size);

		ck_assert_msg(pw_peer_decode(&out, cut, size) < 0, "%s cut to %u bytes is accepted",
			      kind_names[_i], size);
		g_free(cut);
	}
	g_byte_array_unref(bytes);
	pw_peer_message_dispose(&in);
}
END_TEST

/* Messages in protobuf's wire format: field number * 8 + wire type, then the value. */
static const struct {
	const char *label;
	const char *bytes;
	uint32_t size_bytes;
	int result;
} wire_cases[] = {
	{ "empty", "", 0, PW_EINVALID },
	{ "table fetch", "\x08\x01\x12\x01v\x5a\x00", 7, PW_OK },
	{ "version 0", "\x12\x01v\x5a\x00", 5, PW_EINVALID },
	{ "version 2", "\x08\x02\x12\x01v\x5a\x00", 7, PW_EINVALID },
	{ "no sender", "\x08\x01\x5a\x00", 4, PW_EINVALID },
	{ "sender is not UTF-8", "\x08\x01\x12\x01\xff\x5a\x00", 7, PW_EINVALID },
	{ "sender with a quote", "\x08\x01\x12\x01\"\x5a\x00", 7, PW_EINVALID },
	{ "sender with a control character", "\x08\x01\x12\x01\n\x5a\x00", 7, PW_EINVALID },
	{ "no body", "\x08\x01\x12\x01v", 5, PW_EINVALID },
	{ "unknown body", "\x08\x01\x12\x01v\xb2\x01\x00", 8, PW_EINVALID },
	{ "unknown field", "\x08\x01\x12\x01v\x5a\x00\xa0\x06\x05", 10, PW_OK },
	{ "unknown field in the body", "\x08\x01\x12\x01v\x5a\x03\xa0\x06\x05", 10, PW_OK },
	{ "vote",
	  "\x08\x01\x12\x01v\x9a\x01\x03\x0a\x01"
	  "d",
	  11, PW_OK },
	{ "string of the body is not UTF-8", "\x08\x01\x12\x01v\x9a\x01\x03\x0a\x01\xc3", 11,
	  PW_EINVALID },
};

/*
 * Guards against accepting messages of other versions, without a known body, or with strings that
 * would break the JSON of /v1/status, and against rejecting messages with unknown fields.
 */
START_TEST(test_wire_format)
{
	struct pw_peer_message out;
	int rc = pw_peer_decode(&out, wire_cases[_i].bytes, wire_cases[_i].size_bytes);

	ck_assert_msg(rc == wire_cases[_i].result, "case: %s: returned %d", wire_cases[_i].label,
		      rc);
	if (!rc)
		pw_peer_message_dispose(&out);
}
END_TEST

enum list_kind {
	LIST_MEMBERS,
	LIST_ECHOES,
	LIST_HINTS,
};

static const struct {
	const char *label;
	enum list_kind list;
	uint32_t count;
	int result;
} count_cases[] = {
	{ "maximum of members", LIST_MEMBERS, PW_PEER_MAX_MEMBERS, PW_OK },
	{ "one member too many", LIST_MEMBERS, PW_PEER_MAX_MEMBERS + 1, PW_EINVALID },
	{ "maximum of echoes", LIST_ECHOES, PW_PEER_MAX_MEMBERS, PW_OK },
	{ "one echo too many", LIST_ECHOES, PW_PEER_MAX_MEMBERS + 1, PW_EINVALID },
	{ "maximum of hints", LIST_HINTS, PW_PEER_MAX_HINTS, PW_OK },
	{ "one hint too many", LIST_HINTS, PW_PEER_MAX_HINTS + 1, PW_EINVALID },
	/* Empty items are small on the wire, so the message is below the size limit. */
	{ "memory above the limit", LIST_ECHOES, 500000, PW_EINVALID },
};

static void add_item(struct pw_peer_message *m, enum list_kind list)
{
	static const struct pw_heartbeat_echo echo;
	static const struct pw_quota_hint hint;

	if (list == LIST_MEMBERS)
		add_member(m->table.members, "v", 1);
	else if (list == LIST_ECHOES)
		g_array_append_val(m->heartbeat.echoes, echo);
	else
		g_array_append_val(m->hints, hint);
}

/* Guards against a message below the size limit that expands to unbounded memory. */
START_TEST(test_counts)
{
	struct pw_peer_message in, out;
	GByteArray *bytes;
	int rc;

	init_sample(&in, count_cases[_i].list == LIST_MEMBERS ? PW_PEER_TABLE : PW_PEER_HEARTBEAT);
	g_array_set_size(in.table.members, 0);
	g_array_set_size(in.heartbeat.echoes, 0);
	g_array_set_size(in.hints, 0);
	for (uint32_t i = 0; i < count_cases[_i].count; i++)
		add_item(&in, count_cases[_i].list);
	bytes = encode(&in);
	ck_assert_uint_le(bytes->len, PW_PEER_MAX_BYTES);
	rc = pw_peer_decode(&out, bytes->data, bytes->len);
	ck_assert_msg(rc == count_cases[_i].result, "case: %s: returned %d", count_cases[_i].label,
		      rc);
	if (!rc)
		pw_peer_message_dispose(&out);
	g_byte_array_unref(bytes);
	pw_peer_message_dispose(&in);
}
END_TEST

/* Guards against messages above the size limit being unpacked. */
START_TEST(test_size_limit)
{
	struct pw_peer_message in, out;
	GByteArray *bytes;

	init_sample(&in, PW_PEER_DOCUMENT);
	g_bytes_unref(in.document_text);
	in.document_text = g_bytes_new_take(g_malloc0(PW_PEER_MAX_BYTES), PW_PEER_MAX_BYTES);
	bytes = encode(&in);
	ck_assert_int_eq(pw_peer_decode(&out, bytes->data, bytes->len), PW_EOVERFLOW);
	g_byte_array_unref(bytes);
	pw_peer_message_dispose(&in);
}
END_TEST

/*
 * Guards against a stored member table that is decoded differently, and against a malformed one
 * that changes the output.
 */
START_TEST(test_stored_table)
{
	struct pw_peer_message in;
	struct pw_member_table out;
	GByteArray *bytes = g_byte_array_new();

	init_sample(&in, PW_PEER_TABLE);
	pw_member_table_init(&out);
	pw_peer_table_encode(bytes, &in.table);
	ck_assert_int_eq(pw_peer_table_decode(&out, bytes->data, bytes->len), PW_OK);
	ck_assert(tables_equal(&out, &in.table));
	ck_assert_int_eq(pw_peer_table_decode(&out, "\x1a\x03\x0a\x01\xff", 5), PW_EINVALID);
	ck_assert(tables_equal(&out, &in.table));
	pw_member_table_dispose(&out);
	g_byte_array_unref(bytes);
	pw_peer_message_dispose(&in);
}
END_TEST

#define RANDOM_ROUNDS 20000
#define RANDOM_SEED   40

/* Guards against crashes and leaks on bytes from a broken or hostile peer. */
START_TEST(test_random_bytes)
{
	guint32 seed = RANDOM_SEED + (guint32)_i;
	GRand *rand = g_rand_new_with_seed(seed);
	struct pw_peer_message in;
	GByteArray *bytes;

	init_sample(&in, (enum pw_peer_kind)_i);
	bytes = encode(&in);
	for (uint32_t round = 0; round < RANDOM_ROUNDS; round++) {
		uint8_t data[512];
		uint32_t size = (uint32_t)g_rand_int_range(rand, 0, 64);
		struct pw_peer_message out;

		if (round % 2) {
			/* A valid message with up to three bytes changed. */
			size = MIN(bytes->len, (guint)sizeof(data));
			memcpy(data, bytes->data, size);
			for (int k = g_rand_int_range(rand, 1, 4); k > 0; k--)
				data[g_rand_int_range(rand, 0, (gint32)size)] =
					(uint8_t)g_rand_int(rand);
		} else {
			for (uint32_t k = 0; k < size; k++)
				data[k] = (uint8_t)g_rand_int(rand);
		}
		if (pw_peer_decode(&out, data, size) != PW_OK)
			continue;
		ck_assert_msg(memchr(out.sender, 0, sizeof(out.sender)) != NULL,
			      "%s: sender without a NUL in round %u of seed %u", kind_names[_i],
			      round, seed);
		pw_peer_message_dispose(&out);
	}
	g_byte_array_unref(bytes);
	pw_peer_message_dispose(&in);
	g_rand_free(rand);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("peer");

	tcase_add_loop_test(tc, test_round_trip, 0, PW_ARRAY_LEN(kind_names));
	tcase_add_loop_test(tc, test_truncation, 0, PW_ARRAY_LEN(kind_names));
	tcase_add_loop_test(tc, test_wire_format, 0, PW_ARRAY_LEN(wire_cases));
	tcase_add_loop_test(tc, test_counts, 0, PW_ARRAY_LEN(count_cases));
	tcase_add_test(tc, test_size_limit);
	tcase_add_test(tc, test_stored_table);
	tcase_add_loop_test(tc, test_random_bytes, 0, PW_ARRAY_LEN(kind_names));
	return pw_suite_run("peer", tc);
}
