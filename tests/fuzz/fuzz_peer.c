/*
 * Fuzzing of the peer messages: a decoded message can be encoded and decoded without change, and no
 * input from another VM crashes the decoder.
 */
#include "fuzz.h"

#include "pw/codec/peer.h"
#include "pw/core/error.h"

const uint32_t fuzz_round_count = 300000;

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
	struct pw_peer_message m, decoded;
	struct pw_member_table t;
	GByteArray *first, *second;

	pw_member_table_init(&t);
	(void)pw_peer_table_decode(&t, data, size_bytes);
	pw_member_table_dispose(&t);
	if (pw_peer_decode(&m, data, size_bytes))
		return 0;
	first = g_byte_array_new();
	second = g_byte_array_new();
	pw_peer_encode(first, &m);
	FUZZ_CHECK(!pw_peer_decode(&decoded, first->data, first->len));
	pw_peer_encode(second, &decoded);
	FUZZ_CHECK(first->len == second->len && !memcmp(first->data, second->data, first->len));
	g_byte_array_unref(first);
	g_byte_array_unref(second);
	pw_peer_message_dispose(&m);
	pw_peer_message_dispose(&decoded);
	return 0;
}

static void fill_message(struct pw_peer_message *m)
{
	const struct pw_heartbeat_echo echo = { "vm-02", 8, UINT64_MAX, 250 };
	const struct pw_quota_hint hint = { "rate/amber", 4, 1u << 30, 99, 12, 1 };
	const struct pw_member_entry e = { "vm-01", "10.0.0.1:7000", "zone-1", 3, 4 };

	m->heartbeat.sender = e;
	g_array_append_val(m->heartbeat.echoes, echo);
	g_array_append_val(m->hints, hint);
	g_array_append_val(m->table.members, e);
	g_array_append_val(m->table.previous_members, e);
	m->document_text = g_bytes_new("{}", 2);
	g_strlcpy(m->ask.id, "rate/amber", sizeof(m->ask.id));
	g_strlcpy(m->grant.id, "slots/10.0.0.1:5432", sizeof(m->grant.id));
	g_strlcpy(m->database, "orders", sizeof(m->database));
	g_strlcpy(m->primary_address, "10.0.0.1:5432", sizeof(m->primary_address));
	m->term = 7;
}

void fuzz_add_seeds(GPtrArray *seeds)
{
	for (int kind = PW_PEER_HEARTBEAT; kind <= PW_PEER_CANCEL; kind++) {
		struct pw_peer_message m;
		GByteArray *b = g_byte_array_new();

		pw_peer_message_init(&m, (enum pw_peer_kind)kind);
		g_strlcpy(m.sender, "vm-01", sizeof(m.sender));
		m.incarnation = UINT64_MAX;
		fill_message(&m);
		pw_peer_encode(b, &m);
		g_ptr_array_add(seeds, b);
		pw_peer_message_dispose(&m);
	}
}
