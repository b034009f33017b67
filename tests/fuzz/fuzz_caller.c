/*
 * Fuzzing of the caller protocol in the code of the front task: login, framing, batches, statement
 * analysis and the choice of a route. The harness stands in for the ledger and the group task.
 *
 * It checks that a request prepares or closes each statement that it uses, that all requests of a
 * caller without a key are reads, and that a closed caller leaves no counts behind.
 *
 * The first byte of an input holds flags. Bit 0: the input starts after the login. Bit 1: this was
 * the login of the open user. Bits 2 and 3 select the size of the chunks in which the input
 * arrives. The other bytes are what the caller sends.
 */
#include "fuzz.h"

#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include "traffic/front_private.h"

const uint32_t fuzz_round_count = 60000;

static const char document_text[] =
	"{\"service\":\"s\",\"version\":1,\"databases\":[{\"name\":\"db\",\"kind\":\"pw\","
	"\"servers\":[{\"name\":\"a\",\"address\":\"127.0.0.1:5501\",\"availability_zone\":\"z\","
	"\"connections\":20,\"slots\":3}]}],\"routes\":["
	"{\"name\":\"o\",\"database\":\"db\",\"match\":[\"select open\"],\"access\":\"open\","
	"\"kind\":\"read\"},"
	"{\"name\":\"r\",\"database\":\"db\",\"match\":[\"select\"],\"access\":\"keyed\","
	"\"kind\":\"read\"},"
	"{\"name\":\"w\",\"database\":\"db\",\"match\":[\"insert\",\"update\"],"
	"\"access\":\"keyed\",\"kind\":\"write\"}],"
	"\"accounts\":[{\"name\":\"amber\",\"rate_per_s\":1,\"burst\":9,\"keys\":["
	"{\"id\":\"0000000a\",\"salt\":\"000102030405060708090a0b0c0d0e0f\","
	"\"hash\":\"000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\"}]}],"
	"\"limits\":{\"max_message_bytes\":16384,\"account_memory_bytes\":1048576}}";

/* State of the whole run; each input uses a new caller. */
struct harness {
	struct pw_process_settings settings;
	struct pw_directory directory;
	struct pw_mailbox *mailbox; /**< stands for the mailboxes of all other tasks */
	struct front front;
	struct caller *caller; /**< of the current input; NULL after it was closed */
	uint32_t answer_count; /**< answers to the current caller, if it has a key */
	bool message_received; /**< the last read of the mailbox returned a message */
};

static void ignore_stream_event(struct pw_stream *s)
{
	(void)s;
}

static const struct pw_stream_ops stream_ops = { .received = ignore_stream_event,
						 .closed = ignore_stream_event };

static void ignore_timer(struct pw_timer *t, uint64_t now_us)
{
	(void)t;
	(void)now_us;
}

static const struct pw_timer_ops timer_ops = { .expire = ignore_timer };

static struct harness *harness_new(void)
{
	struct harness *h = g_new0(struct harness, 1);
	struct pw_findings *f = NULL;

	signal(SIGPIPE, SIG_IGN);
	pw_findings_new(&f);
	FUZZ_CHECK(!pw_mailbox_new(&h->mailbox));
	h->settings.vm_name = g_strdup("vm");
	h->directory = (struct pw_directory){
		.settings = &h->settings,
		.shutdown = h->mailbox,
		.peers = h->mailbox,
		.ledger = h->mailbox,
		.groups = &h->mailbox,
		.fronts = &h->mailbox,
		.group_count = 1,
		.front_count = 1,
	};
	h->front.directory = &h->directory;
	h->front.task.inbox = h->mailbox;
	h->front.fresh_until_us = UINT64_MAX;
	h->front.next_request_number = 1;
	h->front.callers_by_session = g_hash_table_new(g_int64_hash, g_int64_equal);
	FUZZ_CHECK(!pw_loop_new(&h->front.task.loop));
	limits_init(&h->front);
	FUZZ_CHECK(
		!pw_document_parse(&h->front.document, document_text, strlen(document_text), 1, f));
	pw_findings_free(f);
	return h;
}

static void open_caller(struct harness *h, uint8_t flags)
{
	struct caller *c = g_new0(struct caller, 1);
	int fds[2];

	FUZZ_CHECK(!socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, fds));
	/* The caller's end is closed, so the data sent to the caller is dropped. */
	close(fds[1]);
	FUZZ_CHECK(!pw_stream_init(&c->stream, &stream_ops, h->front.task.loop, fds[0]));
	c->front = &h->front;
	c->session_id = ++h->front.next_session_number;
	c->transaction_status = 'I';
	c->timer.ops = &timer_ops;
	g_hash_table_insert(h->front.callers_by_session, &c->session_id, c);
	limits_add_login(c);
	h->caller = c;
	if (!(flags & 1))
		return;
	c->user = g_strdup(flags & 2 ? "open" : "amber");
	c->database = g_strdup("db");
	if (!(flags & 2))
		g_strlcpy(c->key_id, "0000000a", sizeof(c->key_id));
	pw_floor_init(&c->floor, PW_FLOOR_STRICT, 1);
	FUZZ_CHECK(limits_admit_login(c, pw_document_find_account(h->front.document, c->user)));
	c->state = CALLER_READY;
}

/*
 * Checks that every statement that a request uses was prepared or closed before by the same
 * request. Otherwise the upstream could run a statement that another session prepared on the
 * connection.
 */
static void check_statement_names(const GByteArray *bytes)
{
	GHashTable *known_names = g_hash_table_new(g_str_hash, g_str_equal);
	struct pw_pg_frame f;

	for (guint offset = 0; offset < bytes->len; offset += f.size_bytes) {
		struct pw_pg_reader r;
		const char *portal, *name;
		uint8_t kind;

		FUZZ_CHECK(!pw_pg_frame_next(&f, bytes->data + offset, bytes->len - offset,
					     UINT32_MAX));
		pw_pg_reader_init(&r, &f);
		if (f.type == 'P') {
			g_hash_table_add(known_names, (gpointer)(uintptr_t)pw_pg_get_string(&r));
		} else if (f.type == 'B') {
			portal = pw_pg_get_string(&r);
			name = pw_pg_get_string(&r);
			FUZZ_CHECK(portal && g_hash_table_contains(known_names, name));
		} else if (f.type == 'D' || f.type == 'C') {
			kind = pw_pg_get_u8(&r);
			name = pw_pg_get_string(&r);
			if (f.type == 'C' && kind == 'S')
				g_hash_table_add(known_names, (gpointer)(uintptr_t)name);
			FUZZ_CHECK(kind != 'S' || g_hash_table_contains(known_names, name));
		}
	}
	g_hash_table_unref(known_names);
}

/* Answers a request as the group task would, with varying transaction states and errors. */
static void answer_message(void *data, struct pw_msg *m)
{
	struct harness *h = data;
	struct caller *c = h->caller;

	h->message_received = true;
	if (m->ops == &pw_request_ops) {
		const struct pw_request *r = (const struct pw_request *)m;
		struct pw_response_end *e = pw_response_end_new(r);

		FUZZ_CHECK(r->bytes->len && r->database);
		check_statement_names(r->bytes);
		FUZZ_CHECK(c && c->request_id == r->id && c->state >= CALLER_READY);
		/* Without a key, the front task forwards only reads on open routes. */
		FUZZ_CHECK(c->key_id[0] ||
			   (!r->account && r->may_use_replica && !r->acknowledges_write));
		e->floor = r->floor;
		e->transaction_status = c->key_id[0] ? "ITE"[h->answer_count++ % 3] : 'I';
		if (h->answer_count % 5 == 0)
			e->has_error = true;
		session_handle_response_end(c, e);
		pw_msg_free(&e->base);
	}
	pw_msg_free(m);
}

/* Answers messages until there are none: an answer lets the caller's next batch start. */
static void answer_all(struct harness *h)
{
	do {
		h->message_received = false;
		pw_mailbox_receive_all(h->mailbox, answer_message, h);
	} while (h->message_received);
}

static void deliver(struct caller *c, const uint8_t *data, size_t size_bytes)
{
	if (!c->stream.input)
		c->stream.input = g_byte_array_new();
	g_byte_array_append(c->stream.input, data, (guint)size_bytes);
	if (c->state < CALLER_REFUSAL_DELAYED)
		login_handle_input(c);
	else if (c->state == CALLER_READY && !c->request_id)
		session_handle_input(c);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
	static const size_t chunk_sizes[] = { FUZZ_MAX_BYTES, 1, 7, 64 };
	static struct harness *h;
	size_t chunk_bytes, offset = 1;

	if (!size_bytes)
		return 0;
	if (!h)
		h = harness_new();
	h->answer_count = 0;
	open_caller(h, data[0]);
	chunk_bytes = chunk_sizes[data[0] >> 2 & 3];
	while (offset < size_bytes && h->caller->state < CALLER_CLOSING) {
		size_t part_bytes = MIN(chunk_bytes, size_bytes - offset);

		deliver(h->caller, data + offset, part_bytes);
		answer_all(h);
		limits_update_memory(h->caller);
		offset += part_bytes;
	}
	caller_close(h->caller);
	h->caller = NULL;
	answer_all(h);
	FUZZ_CHECK(!g_hash_table_size(h->front.callers_by_session) &&
		   !g_hash_table_size(h->front.usage_by_account));
	FUZZ_CHECK(!h->front.pending_logins.length);
	return 0;
}

static GByteArray *new_input(uint8_t flags)
{
	GByteArray *b = g_byte_array_new();

	g_byte_array_append(b, &flags, 1);
	return b;
}

static void put_parse(GByteArray *b, const char *name, const char *sql)
{
	size_t start = pw_pg_begin_message(b, 'P');

	pw_pg_put_string(b, name);
	pw_pg_put_string(b, sql);
	pw_pg_put_u16(b, 0);
	pw_pg_end_message(b, start);
}

static void put_bind(GByteArray *b, const char *name)
{
	size_t start = pw_pg_begin_message(b, 'B');

	pw_pg_put_string(b, "");
	pw_pg_put_string(b, name);
	pw_pg_put_u16(b, 0);
	pw_pg_put_u16(b, 0);
	pw_pg_put_u16(b, 0);
	pw_pg_end_message(b, start);
}

/* Appends Describe ('D') or Close ('C') of a prepared statement. */
static void put_statement_message(GByteArray *b, char type, const char *name)
{
	size_t start = pw_pg_begin_message(b, type);

	pw_pg_put_u8(b, 'S');
	pw_pg_put_string(b, name);
	pw_pg_end_message(b, start);
}

static void put_execute(GByteArray *b)
{
	size_t start = pw_pg_begin_message(b, 'E');

	pw_pg_put_string(b, "");
	pw_pg_put_u32(b, 0);
	pw_pg_end_message(b, start);
}

static void add_simple_seeds(GPtrArray *seeds)
{
	static const char *const texts[] = {
		"select 1",
		"select open /* a /* b */ */ from t -- c",
		"insert into t values ('a''b', $x$ ; $x$, E'\\'')",
		"begin; select 1",
		"set pimentowing.position = '1/2'",
		"rollback to savepoint a",
		"select \"a\"\"b\" ; ;",
		"copy t from stdin",
	};

	for (uint8_t flags = 0; flags < 16; flags++) {
		GByteArray *b = new_input(flags | 1);

		pw_pg_put_query(b, "begin");
		pw_pg_put_query(b, texts[flags % G_N_ELEMENTS(texts)]);
		pw_pg_put_query(b, "commit");
		g_ptr_array_add(seeds, b);
	}
}

static void add_extended_seeds(GPtrArray *seeds)
{
	GByteArray *b = new_input(1);

	put_parse(b, "s", "select 1");
	put_statement_message(b, 'D', "s");
	pw_pg_put_empty_message(b, 'S');
	put_bind(b, "s");
	put_execute(b);
	pw_pg_put_empty_message(b, 'S');
	put_statement_message(b, 'D', "s");
	put_statement_message(b, 'C', "s");
	pw_pg_put_empty_message(b, 'S');
	g_ptr_array_add(seeds, b);
	/* One batch runs a prepared statement, then prepares another under the same name. */
	b = new_input(1);
	put_parse(b, "", "select 1");
	pw_pg_put_empty_message(b, 'S');
	put_bind(b, "");
	put_execute(b);
	put_parse(b, "", "update t");
	put_bind(b, "");
	put_execute(b);
	pw_pg_put_empty_message(b, 'S');
	g_ptr_array_add(seeds, b);
}

void fuzz_add_seeds(GPtrArray *seeds)
{
	static const char *const parameters[] = { "user", "amber",   "database",
						  "db",   "options", "-c pimentowing.position=1/2",
						  NULL };
	static const char *const open_parameters[] = { "user", "open", "database", "db", NULL };
	GByteArray *b = new_input(0);

	pw_pg_put_startup_message(b, parameters);
	pw_pg_put_password(b, "wrong");
	g_ptr_array_add(seeds, b);
	b = new_input(0);
	pw_pg_put_startup_message(b, open_parameters);
	pw_pg_put_query(b, "select open");
	g_ptr_array_add(seeds, b);
	b = new_input(0);
	pw_pg_put_cancel_request(b, 1, 2);
	g_ptr_array_add(seeds, b);
	b = new_input(0);
	/* SSLRequest */
	g_byte_array_append(b, (const guint8 *)"\0\0\0\x08\x04\xd2\x16\x2f", 8);
	g_ptr_array_add(seeds, b);
	add_simple_seeds(seeds);
	add_extended_seeds(seeds);
}
