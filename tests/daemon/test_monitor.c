/*
 * Suite of the monitor task. Simulated servers run in threads of this program; the test itself
 * takes the place of the store task, the peers and the group task.
 */
#include "suite.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "control/monitor.h"
#include "control/peers.h"
#include "control/store.h"
#include "directory.h"
#include "pw/codec/pg.h"
#include "pw/core/clock.h"
#include "pw/core/error.h"
#include "pw/core/event.h"
#include "traffic/request.h"

#define SERVER_COUNT    3
#define CONNECTIONS_MAX 8

enum fault {
	FAULT_NONE,
	FAULT_STOP,                   /* connections are closed, new ones refused */
	FAULT_SILENT,                 /* no statement is answered */
	FAULT_OLD_CONNECTIONS_SILENT, /* the open connections go silent, new ones work */
	FAULT_ANSWERS_TWICE,          /* every second status query is answered twice at once */
	FAULT_SECOND_ANSWERS_LATE,    /* a status row comes again before the next one */
};

struct connection {
	int fd;
	bool started, silent;
	GByteArray *in;
	GByteArray *last_status; /* bytes of the last answer to a status query; NULL: none */
	uint32_t status_count;
};

struct fake_server {
	pthread_t thread;
	pthread_mutex_t lock;
	int listener;
	char address[32];
	struct connection connections[CONNECTIONS_MAX];
	enum fault fault;
	bool is_stopping;
	/* Contents of the next status row. */
	char role[16];
	uint64_t term, log_term, lsn;
	/* Effects of the monitor's statements. */
	char fenced_by[64];        /* name in the last successful fence */
	char followed_address[64]; /* of the last follow */
	uint32_t status_count;     /* status rows sent */
};

static void close_connection(struct connection *c)
{
	close(c->fd);
	g_byte_array_unref(c->in);
	g_clear_pointer(&c->last_status, g_byte_array_unref);
	*c = (struct connection){ .fd = -1 };
}

static void put_result(GByteArray *out, const char *const *values, uint16_t count)
{
	static const char *const names[7] = { "a", "b", "c", "d", "e", "f", "g" };

	pw_pg_put_row_description(out, names, count);
	pw_pg_put_data_row(out, values, count);
	pw_pg_put_command_complete(out, "SELECT 1");
}

static void put_status(struct fake_server *s, GByteArray *out)
{
	char term[24], log_term[24], lsn[24];
	const char *const values[7] = { s->role, term, log_term, lsn, "0", "0", "0" };

	s->status_count++;
	snprintf(term, sizeof(term), "%lu", (unsigned long)s->term);
	snprintf(log_term, sizeof(log_term), "%lu", (unsigned long)s->log_term);
	snprintf(lsn, sizeof(lsn), "%lu", (unsigned long)s->lsn);
	put_result(out, values, 7);
}

static bool execute_control_statement(struct fake_server *s, const char *text)
{
	unsigned long term;
	char name[64];

	if (sscanf(text, "SELECT * FROM pw_fence(%lu,'%63[^']')", &term, name) == 2) {
		if (term < s->term || (term == s->term && strcmp(name, s->fenced_by)))
			return false;
		if (term > s->term) {
			s->term = term;
			strcpy(s->role, "fenced");
			strcpy(s->fenced_by, name);
		}
		return true;
	}
	if (sscanf(text, "SELECT * FROM pw_promote(%lu,'%63[^']')", &term, name) == 2) {
		if (term != s->term || strcmp(name, s->fenced_by))
			return false;
		strcpy(s->role, "primary");
		return true;
	}
	if (sscanf(text, "SELECT * FROM pw_follow(%lu,'%63[^']')", &term, name) == 2 &&
	    term >= s->term) {
		s->term = term;
		strcpy(s->role, "replica");
		snprintf(s->followed_address, sizeof(s->followed_address), "%s", name);
		return true;
	}
	return false;
}

static void answer_query(struct fake_server *s, GByteArray *out, const char *text)
{
	static const char *const yes = "t";
	char token[64];
	const char *const token_row[1] = { token };
	static const struct pw_pg_error refused = {
		.severity = "ERROR",
		.sqlstate = "55000",
		.message = "refused",
	};

	if (!strcmp(text, "SELECT * FROM pw_status()"))
		put_status(s, out);
	else if (sscanf(text, "SELECT * FROM pw_echo('%63[^']')", token) == 1)
		put_result(out, token_row, 1);
	else if (execute_control_statement(s, text))
		put_result(out, &yes, 1);
	else
		pw_pg_put_error(out, &refused);
	pw_pg_put_ready_for_query(out, 'I');
}

/* Answers a query; a fault may answer the connection's last status query again. */
static void answer_query_on(struct fake_server *s, struct connection *c, GByteArray *out,
			    const char *text)
{
	bool is_status = !strcmp(text, "SELECT * FROM pw_status()");
	guint start;

	if (is_status && c->last_status && s->fault == FAULT_SECOND_ANSWERS_LATE)
		g_byte_array_append(out, c->last_status->data, c->last_status->len);
	start = out->len;
	answer_query(s, out, text);
	if (!is_status)
		return;
	g_clear_pointer(&c->last_status, g_byte_array_unref);
	c->last_status = g_byte_array_new();
	g_byte_array_append(c->last_status, out->data + start, out->len - start);
	if (++c->status_count % 2 == 0 && s->fault == FAULT_ANSWERS_TWICE)
		g_byte_array_append(out, c->last_status->data, c->last_status->len);
}

/* Answers what has arrived; returns false when the connection has ended. */
static bool serve_connection(struct fake_server *s, struct connection *c)
{
	uint8_t buffer[4096];
	ssize_t n = recv(c->fd, buffer, sizeof(buffer), 0);
	GByteArray *out;
	struct pw_pg_frame f;
	guint used_bytes = 0;

	if (n <= 0)
		return false;
	if (c->silent || s->fault == FAULT_SILENT)
		return true;
	out = g_byte_array_new();
	g_byte_array_append(c->in, buffer, (guint)n);
	for (;;) {
		int rc = c->started ? pw_pg_frame_next(&f, c->in->data + used_bytes,
						       c->in->len - used_bytes, 10000)
				    : pw_pg_startup_next(&f, c->in->data + used_bytes,
							 c->in->len - used_bytes);

		if (rc)
			break;
		used_bytes += f.size_bytes;
		if (!c->started) {
			c->started = true;
			pw_pg_put_authentication(out, PW_PG_AUTH_CLEARTEXT);
		} else if (f.type == 'p') {
			ck_assert_str_eq((const char *)f.body, "secret");
			pw_pg_put_authentication(out, PW_PG_AUTH_OK);
			pw_pg_put_ready_for_query(out, 'I');
		} else if (f.type == 'Q') {
			answer_query_on(s, c, out, (const char *)f.body);
		}
	}
	if (used_bytes)
		g_byte_array_remove_range(c->in, 0, used_bytes);
	if (out->len)
		n = send(c->fd, out->data, out->len, MSG_NOSIGNAL);
	g_byte_array_unref(out);
	return n > 0;
}

static void listen_on(struct fake_server *s, uint16_t port)
{
	struct sockaddr_in a = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(a);
	int one = 1;

	s->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(s->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	ck_assert_int_eq(bind(s->listener, (struct sockaddr *)&a, sizeof(a)), 0);
	ck_assert_int_eq(listen(s->listener, 16), 0);
	if (port)
		return;
	getsockname(s->listener, (struct sockaddr *)&a, &size);
	snprintf(s->address, sizeof(s->address), "127.0.0.1:%u", ntohs(a.sin_port));
}

/* Sets the fault of a server. FAULT_NONE makes a stopped server listen on its former port again. */
static void apply_fault(struct fake_server *s, enum fault fault)
{
	pthread_mutex_lock(&s->lock);
	if (s->fault == FAULT_STOP && fault == FAULT_NONE)
		listen_on(s, (uint16_t)atoi(strchr(s->address, ':') + 1));
	s->fault = fault;
	if (fault == FAULT_STOP) {
		close(s->listener);
		s->listener = -1;
	}
	for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
		struct connection *c = &s->connections[i];

		if (c->fd >= 0 && fault == FAULT_STOP)
			close_connection(c);
		else if (fault == FAULT_OLD_CONNECTIONS_SILENT)
			c->silent = true;
	}
	pthread_mutex_unlock(&s->lock);
}

static void accept_connection(struct fake_server *s)
{
	int fd = accept(s->listener, NULL, NULL);

	for (size_t i = 0; fd >= 0 && i < CONNECTIONS_MAX; i++) {
		struct connection *c = &s->connections[i];

		if (c->fd >= 0)
			continue;
		*c = (struct connection){ .fd = fd, .in = g_byte_array_new() };
		return;
	}
	close(fd);
}

static void *run_server(void *arg)
{
	struct fake_server *s = arg;
	bool is_stopping = false;

	while (!is_stopping) {
		struct pollfd fds[CONNECTIONS_MAX + 1];

		pthread_mutex_lock(&s->lock);
		fds[0] = (struct pollfd){ .fd = s->listener, .events = POLLIN };
		for (size_t i = 0; i < CONNECTIONS_MAX; i++)
			fds[i + 1] =
				(struct pollfd){ .fd = s->connections[i].fd, .events = POLLIN };
		pthread_mutex_unlock(&s->lock);
		poll(fds, CONNECTIONS_MAX + 1, 10);
		pthread_mutex_lock(&s->lock);
		if (fds[0].revents && fds[0].fd == s->listener)
			accept_connection(s);
		for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
			struct connection *c = &s->connections[i];

			if (fds[i + 1].revents && c->fd >= 0 && c->fd == fds[i + 1].fd &&
			    !serve_connection(s, c))
				close_connection(c);
		}
		is_stopping = s->is_stopping;
		pthread_mutex_unlock(&s->lock);
	}
	return NULL;
}

#define LEASE_PREFIX "pimentowing/example/failover/orders/"
#define RECORD_KEY   "pimentowing/example/primary/orders"

/* Value of a key in the store. */
struct stored_value {
	char *value;
	int64_t revision;
};

/* The monitor task, and the state of the parts that the test simulates. */
struct fixture {
	struct fake_server servers[SERVER_COUNT];
	struct pw_process_settings settings;
	struct pw_directory directory;
	struct pw_task_args args;
	struct pw_mailbox *group_inbox, *other_inbox; /* `other_inbox`: config and admin */
	pthread_t thread;
	GHashTable *store; /* key -> struct stored_value */
	int64_t revision;  /* of the store */
	struct pw_server_status last_status[SERVER_COUNT];
	struct pw_monitor_status last_probe[SERVER_COUNT]; /* with the times of the probe */
	uint64_t announced_term; /* greatest term of a promotion announced to the peers */
	char announced_server[PW_MEMBER_ADDRESS_SIZE];
	uint64_t term; /* greatest term that a primary reported */
	uint32_t primary;
	uint32_t lease_request_count;
	uint32_t vote_count; /* votes of this VM that the primary is lost */
	uint32_t snapshot_request_count;
	uint64_t lsn_raised_us; /* when server 1 reached `raised_lsn`; 0: not yet */
	uint64_t raised_lsn;
	uint32_t stale_count;  /* older rows of server 1 that came as answers to later probes */
	uint32_t raised_count; /* rows of server 1 with `raised_lsn` */
	bool store_down;
};

static void stored_value_free(gpointer data)
{
	struct stored_value *stored = data;

	g_free(stored->value);
	g_free(stored);
}

static void *run_monitor(void *arg)
{
	struct fixture *x = arg;

	pw_task_run(&pw_monitor_task_ops, x->directory.monitor, &x->args);
	return NULL;
}

static uint32_t server_index(const struct fixture *x, const char *address)
{
	uint32_t i = 0;

	while (i < SERVER_COUNT && strcmp(x->servers[i].address, address) != 0)
		i++;
	return i;
}

static void handle_status(struct fixture *x, const struct pw_monitor_status *msg)
{
	uint32_t i = server_index(x, msg->server);

	if (i == SERVER_COUNT || !msg->has_status)
		return;
	if (i == 1 && x->lsn_raised_us && msg->probe_sent_us > x->lsn_raised_us) {
		x->stale_count += msg->status.lsn < x->raised_lsn;
		x->raised_count += msg->status.lsn == x->raised_lsn;
	}
	x->last_status[i] = msg->status;
	x->last_probe[i] = *msg;
	if (msg->status.role == PW_SERVER_PRIMARY && msg->status.term > x->term) {
		x->term = msg->status.term;
		x->primary = i;
	}
}

static void handle_group_message(void *data, struct pw_msg *m)
{
	if (m->ops == &pw_monitor_status_ops)
		handle_status(data, (const struct pw_monitor_status *)m);
	pw_msg_free(m);
}

static void handle_other_message(void *data, struct pw_msg *m)
{
	struct fixture *x = data;

	x->snapshot_request_count += m->ops == &pw_snapshot_request_ops;
	pw_msg_free(m);
}

static void handle_peer_message(void *data, struct pw_msg *m)
{
	struct fixture *x = data;
	const struct pw_vote_msg *v = (const struct pw_vote_msg *)m;

	if (m->ops == &pw_vote_msg_ops && v->promoted && v->term > x->announced_term) {
		x->announced_term = v->term;
		g_strlcpy(x->announced_server, v->server, sizeof(x->announced_server));
	} else if (m->ops == &pw_vote_msg_ops && v->suspects_primary) {
		x->vote_count++;
	}
	pw_msg_free(m);
}

/* Returns a NULL key and revision 0 if the key does not exist. */
static struct pw_store_kv read_key(struct fixture *x, const char *key)
{
	const struct stored_value *stored = g_hash_table_lookup(x->store, key);

	if (!stored)
		return (struct pw_store_kv){ 0 };
	return (struct pw_store_kv){
		.key = g_strdup(key),
		.value = g_strdup(stored->value),
		.size_bytes = strlen(stored->value),
		.mod_revision = stored->revision,
	};
}

static void write_key(struct fixture *x, const char *key, const char *value, size_t size_bytes)
{
	struct stored_value *stored = g_new0(struct stored_value, 1);

	stored->value = g_strndup(value, size_bytes);
	stored->revision = x->revision;
	g_hash_table_replace(x->store, g_strdup(key), stored);
}

static struct pw_store_result *run_range(struct fixture *x, const struct pw_store_range *req)
{
	struct pw_store_result *r = pw_store_result_new(PW_STORE_RANGE, PW_OK, NULL);
	struct pw_store_range_result *range = (struct pw_store_range_result *)r;

	range->kvs = g_new0(struct pw_store_kv, 1);
	range->kvs[0] = read_key(x, req->key);
	range->kv_count = range->kvs[0].key != NULL;
	r->revision = x->revision;
	return r;
}

static struct pw_store_result *run_txn(struct fixture *x, const struct pw_store_txn *req)
{
	const struct pw_store_compare *compare = &req->compares[0];
	struct pw_store_kv kv = read_key(x, compare->key);
	bool holds = kv.mod_revision == compare->revision;
	struct pw_store_result *r =
		pw_store_result_new(PW_STORE_TXN, holds ? PW_OK : PW_ECONFLICT, NULL);
	struct pw_store_txn_result *txn = (struct pw_store_txn_result *)r;

	if (holds) {
		x->revision++;
		for (size_t i = 0; i < req->change_count; i++)
			write_key(x, req->changes[i].key, req->changes[i].value,
				  req->changes[i].size_bytes);
		g_free(kv.key);
		g_free(kv.value);
	} else {
		txn->kvs = g_new0(struct pw_store_kv, 1);
		txn->kvs[0] = kv;
		txn->kv_count = 1;
	}
	r->revision = x->revision;
	return r;
}

static void handle_store_request(void *data, struct pw_msg *m)
{
	struct fixture *x = data;
	const struct pw_store_request_msg *req = (const struct pw_store_request_msg *)m;
	struct pw_store_result_msg *response;
	bool is_txn = !strcmp(m->ops->name, "store_txn");

	if (is_txn && g_str_has_prefix(((const struct pw_store_txn_msg *)m)->txn.compares[0].key,
				       LEASE_PREFIX))
		x->lease_request_count++;
	if (!x->store_down) {
		response = g_new0(struct pw_store_result_msg, 1);
		response->base.ops = &pw_store_result_msg_ops;
		response->tag = req->tag;
		response->result =
			is_txn ? run_txn(x, &((const struct pw_store_txn_msg *)m)->txn)
			       : run_range(x, &((const struct pw_store_range_msg *)m)->range);
		pw_mailbox_send(req->reply_to, &response->base);
	}
	pw_msg_free(m);
}

static void send_fleet(struct fixture *x, const char *const *peers, uint32_t count)
{
	struct pw_fleet_msg *m = pw_fleet_msg_new();

	for (uint32_t i = 0; i < count; i++)
		g_ptr_array_add(m->peers, g_strdup(peers[i]));
	pw_mailbox_send(x->directory.monitor, &m->base);
}

static void send_snapshot(struct fixture *x)
{
	GString *json = g_string_new("{\"service\":\"example\",\"version\":1,\"databases\":["
				     "{\"name\":\"orders\",\"kind\":\"pw\",\"servers\":[");
	const struct pw_document *document = NULL;
	struct pw_findings *f = NULL;
	int rc;

	for (uint32_t i = 0; i < SERVER_COUNT; i++)
		g_string_append_printf(json,
				       "%s{\"name\":\"orders-%u\",\"address\":\"%s\","
				       "\"availability_zone\":\"a\",\"connections\":20,"
				       "\"slots\":3}",
				       i ? "," : "", i, x->servers[i].address);
	g_string_append(json, "]}]}");
	pw_findings_new(&f);
	rc = pw_document_parse(&document, json->str, json->len, 1, f);
	ck_assert_msg(rc == PW_OK, "%s: %s in %s", pw_error_message(),
		      pw_findings_count(f) ? pw_findings_at(f, 0)->message : "", json->str);
	pw_mailbox_send(x->directory.monitor, pw_snapshot_msg(document));
	pw_document_unref(document);
	pw_findings_free(f);
	g_string_free(json, TRUE);
}

static void start_servers(struct fixture *x)
{
	for (uint32_t i = 0; i < SERVER_COUNT; i++) {
		struct fake_server *s = &x->servers[i];

		pthread_mutex_init(&s->lock, NULL);
		for (size_t k = 0; k < CONNECTIONS_MAX; k++)
			s->connections[k].fd = -1;
		strcpy(s->role, i ? "replica" : "primary");
		s->term = 1;
		s->log_term = 1;
		s->lsn = 100 + i; /* server 2 has more of the log than server 1 */
		listen_on(s, 0);
		pthread_create(&s->thread, NULL, run_server, s);
	}
}

/* Writes the record of the primary; `$` stands for the address of the first server. */
static void write_record_with_address(struct fixture *x, const char *format)
{
	char **parts = g_strsplit(format, "$", -1);
	char *record = g_strjoinv(x->servers[0].address, parts);

	write_key(x, RECORD_KEY, record, strlen(record));
	g_free(record);
	g_strfreev(parts);
}

/* Starts the servers, a store with this record of the primary, and the monitor. */
static void setup_with_record(struct fixture *x, const char *record)
{
	*x = (struct fixture){ .revision = 1 };
	start_servers(x);
	x->store = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, stored_value_free);
	write_record_with_address(x, record);
	x->settings = (struct pw_process_settings){
		.vm_name = (char *)(uintptr_t) "vm1",
		.service_name = (char *)(uintptr_t) "example",
		.control_user = (char *)(uintptr_t) "control",
		.control_password = (char *)(uintptr_t) "secret",
	};
	pw_mailbox_new(&x->group_inbox);
	pw_mailbox_new(&x->other_inbox);
	x->directory = (struct pw_directory){
		.settings = &x->settings,
		.config = x->other_inbox,
		.admin = x->other_inbox,
		.groups = &x->group_inbox,
		.group_count = 1,
	};
	pw_mailbox_new(&x->directory.monitor);
	pw_mailbox_new(&x->directory.store);
	pw_mailbox_new(&x->directory.peers);
	x->args.directory = &x->directory;
	pthread_create(&x->thread, NULL, run_monitor, x);
	send_fleet(x, NULL, 0);
	send_snapshot(x);
}

static void setup(struct fixture *x)
{
	setup_with_record(x, "1 $");
}

static void stop_server(struct fake_server *s)
{
	pthread_mutex_lock(&s->lock);
	s->is_stopping = true;
	pthread_mutex_unlock(&s->lock);
	pthread_join(s->thread, NULL);
	for (size_t k = 0; k < CONNECTIONS_MAX; k++) {
		if (s->connections[k].fd >= 0)
			close_connection(&s->connections[k]);
	}
	if (s->listener >= 0)
		close(s->listener);
	pthread_mutex_destroy(&s->lock);
}

static void teardown(struct fixture *x)
{
	pw_mailbox_send(x->directory.monitor, pw_task_stop_msg_new());
	pthread_join(x->thread, NULL);
	for (uint32_t i = 0; i < SERVER_COUNT; i++)
		stop_server(&x->servers[i]);
	pw_mailbox_free(x->directory.monitor);
	pw_mailbox_free(x->directory.store);
	pw_mailbox_free(x->directory.peers);
	pw_mailbox_free(x->group_inbox);
	pw_mailbox_free(x->other_inbox);
	g_hash_table_unref(x->store);
}

/*
 * Handles the monitor's messages to other tasks until a condition holds or the timeout passes.
 * Returns whether the condition holds.
 */
static bool wait_for(struct fixture *x, bool (*holds)(struct fixture *x), uint32_t timeout_ms)
{
	uint64_t end_us = pw_clock_now_us() + timeout_ms * PW_US_PER_MS;

	while (!holds(x)) {
		struct pollfd fds[4] = {
			{ .fd = pw_mailbox_fd(x->group_inbox), .events = POLLIN },
			{ .fd = pw_mailbox_fd(x->directory.store), .events = POLLIN },
			{ .fd = pw_mailbox_fd(x->directory.peers), .events = POLLIN },
			{ .fd = pw_mailbox_fd(x->other_inbox), .events = POLLIN },
		};

		if (pw_clock_now_us() >= end_us)
			return false;
		poll(fds, 4, 10);
		if (fds[0].revents)
			pw_mailbox_receive_all(x->group_inbox, handle_group_message, x);
		if (fds[1].revents)
			pw_mailbox_receive_all(x->directory.store, handle_store_request, x);
		if (fds[2].revents)
			pw_mailbox_receive_all(x->directory.peers, handle_peer_message, x);
		if (fds[3].revents)
			pw_mailbox_receive_all(x->other_inbox, handle_other_message, x);
	}
	return true;
}

/* Returns whether all servers have reported a status, the primary with term 1. */
static bool are_all_servers_probed(struct fixture *x)
{
	for (uint32_t i = 0; i < SERVER_COUNT; i++) {
		if (!x->last_probe[i].has_status)
			return false;
	}
	return x->term == 1;
}

static bool has_new_primary(struct fixture *x)
{
	return x->term > 1;
}

static bool is_promotion_recorded(struct fixture *x)
{
	const struct stored_value *stored = g_hash_table_lookup(x->store, RECORD_KEY);
	const char *address = x->servers[x->primary].address;
	char *expected_value = g_strdup_printf("%" PRIu64 " %s", x->term, address);
	bool is_same = !strcmp(stored->value, expected_value) && x->announced_term == x->term &&
		       !strcmp(x->announced_server, address);

	g_free(expected_value);
	return is_same;
}

/* Condition that never holds, to wait for the whole timeout. */
static bool never(struct fixture *x)
{
	(void)x;
	return false;
}

/* Returns whether all servers are at the new term and the replicas follow its primary. */
static bool are_all_servers_repaired(struct fixture *x)
{
	for (uint32_t i = 0; i < SERVER_COUNT; i++) {
		struct fake_server *s = &x->servers[i];
		bool is_as_expected;

		pthread_mutex_lock(&s->lock);
		is_as_expected =
			s->term == x->term &&
			(i == x->primary ? !strcmp(s->role, "primary")
					 : !strcmp(s->role, "replica") &&
						   !strcmp(s->followed_address,
							   x->servers[x->primary].address));
		pthread_mutex_unlock(&s->lock);
		if (!is_as_expected)
			return false;
	}
	return true;
}

static const struct {
	const char *label;
	enum fault fault;
	bool store_down;
	bool replaced; /* another server has to become primary */
} fault_cases[] = {
	{ "stopped", FAULT_STOP, false, true },
	{ "silent", FAULT_SILENT, false, true },
	{ "stopped, store down", FAULT_STOP, true, true },
	{ "old connections silent", FAULT_OLD_CONNECTIONS_SILENT, false, false },
	{ "no fault", FAULT_NONE, false, false },
	{ "answers twice", FAULT_ANSWERS_TWICE, false, false },
	{ "second answers late", FAULT_SECOND_ANSWERS_LATE, false, false },
};

/*
 * Fails if a lost primary is not replaced, if a working one is replaced, if the replica with less
 * of the log is promoted, or if a former primary that returns is not made a replica. Server 0 is
 * the primary that gets the fault. If it is replaced, its fault ends once the promotion is recorded
 * at the store.
 */
START_TEST(test_faults_of_the_primary)
{
	bool is_failover_expected = fault_cases[_i].replaced, replaced;
	bool all_probed, recorded = true, repaired = true;
	uint64_t start_us, failover_us;
	struct fixture x;

	setup(&x);
	all_probed = wait_for(&x, are_all_servers_probed, 5000);
	x.store_down = fault_cases[_i].store_down;
	apply_fault(&x.servers[0], fault_cases[_i].fault);
	start_us = pw_clock_now_us();
	replaced = wait_for(&x, has_new_primary, is_failover_expected ? 5000 : 1400);
	failover_us = pw_clock_now_us() - start_us;
	if (replaced) {
		x.store_down = false;
		recorded = wait_for(&x, is_promotion_recorded, 5000);
		apply_fault(&x.servers[0], FAULT_NONE);
		repaired = wait_for(&x, are_all_servers_repaired, 5000);
		printf("fault of the primary: %s; new primary after %lu ms\n",
		       fault_cases[_i].label, (unsigned long)(failover_us / PW_US_PER_MS));
	}
	teardown(&x);
	/* A failed check leaves this function, so the threads are ended before the checks. */
	ck_assert(all_probed);
	ck_assert_msg(replaced == is_failover_expected,
		      "fault of the primary: %s; it was replaced without need, or not replaced",
		      fault_cases[_i].label);
	ck_assert_uint_eq(x.lease_request_count, is_failover_expected);
	ck_assert(recorded);
	ck_assert(repaired);
	if (is_failover_expected) {
		ck_assert_uint_lt(failover_us, 3 * PW_US_PER_S);
		ck_assert_uint_eq(x.primary, 2);
	}
}
END_TEST

/*
 * Fails if one VM of three that loses the primary promotes a replica without the vote of a peer, or
 * does not promote one after that vote. A VM that is cut off alone must not replace a primary that
 * the others reach.
 */
START_TEST(test_needs_votes_of_peers)
{
	static const char *const peers[] = { "vm2", "vm3" };
	struct pw_vote_msg *vote = pw_vote_msg_new();
	bool all_probed, promoted_alone, promoted_with_vote;
	struct fixture x;

	g_strlcpy(vote->peer, "vm2", sizeof(vote->peer));
	g_strlcpy(vote->database, "orders", sizeof(vote->database));
	vote->term = 1;
	vote->suspects_primary = true;
	setup(&x);
	send_fleet(&x, peers, PW_ARRAY_LEN(peers));
	all_probed = wait_for(&x, are_all_servers_probed, 5000);
	apply_fault(&x.servers[0], FAULT_STOP);
	promoted_alone = wait_for(&x, has_new_primary, 1300);
	pw_mailbox_send(x.directory.monitor, &vote->base);
	promoted_with_vote = wait_for(&x, has_new_primary, 1000);
	teardown(&x);
	ck_assert(all_probed);
	ck_assert(!promoted_alone);
	ck_assert_uint_gt(x.vote_count, 0);
	ck_assert(promoted_with_vote);
}
END_TEST

/*
 * Fails if each of many probe requests in a row causes a probe, which would load the server, or if
 * no probe is sent after them.
 */
START_TEST(test_probes_are_coalesced)
{
	struct fixture x;
	uint32_t before, count;
	uint64_t sent_us;
	bool all_probed;

	setup(&x);
	all_probed = wait_for(&x, are_all_servers_probed, 5000);
	pthread_mutex_lock(&x.servers[1].lock);
	before = x.servers[1].status_count;
	pthread_mutex_unlock(&x.servers[1].lock);
	sent_us = pw_clock_now_us();
	for (uint32_t i = 0; i < 1000; i++)
		pw_mailbox_send(x.directory.monitor, pw_monitor_probe_request_msg("orders"));
	wait_for(&x, never, 100);
	teardown(&x);
	count = x.servers[1].status_count - before;
	printf("1000 probe requests caused %u status statements\n", count);
	ck_assert(all_probed);
	ck_assert_uint_ge(count, 1);
	ck_assert_uint_lt(count, 100);
	ck_assert_uint_ge(x.last_probe[1].probe_sent_us, sent_us);
	ck_assert_uint_eq(x.last_status[1].lsn, 101);
}
END_TEST

/* Fails if a status row that comes a second time is taken for the answer to a later query. */
START_TEST(test_second_status_row)
{
	struct fixture x;
	bool all_probed;

	setup(&x);
	all_probed = wait_for(&x, are_all_servers_probed, 5000);
	apply_fault(&x.servers[1], FAULT_SECOND_ANSWERS_LATE);
	for (uint64_t lsn = 200; lsn < 203; lsn++) {
		pthread_mutex_lock(&x.servers[1].lock);
		x.servers[1].lsn = lsn;
		pthread_mutex_unlock(&x.servers[1].lock);
		x.raised_lsn = lsn;
		x.lsn_raised_us = pw_clock_now_us();
		wait_for(&x, never, 900);
	}
	teardown(&x);
	printf("%u rows of before the query, %u of after it\n", x.stale_count, x.raised_count);
	ck_assert(all_probed);
	ck_assert_uint_eq(x.stale_count, 0);
	ck_assert_uint_ge(x.raised_count, 3);
}
END_TEST

static bool has_sent_vote(struct fixture *x)
{
	return x->vote_count > 0;
}

/*
 * Fails if the monitor ignores a promotion that a peer announces and stays with the former primary:
 * when the new primary stops, this VM must vote that it is lost, but not promote a server without
 * other votes.
 */
START_TEST(test_accepts_promotion_by_peer)
{
	static const char *const peers[] = { "vm2", "vm3" };
	struct pw_vote_msg *promotion = pw_vote_msg_new();
	bool all_probed, voted, promoted;
	struct fixture x;

	setup(&x);
	send_fleet(&x, peers, PW_ARRAY_LEN(peers));
	all_probed = wait_for(&x, are_all_servers_probed, 5000);
	g_strlcpy(promotion->peer, "vm2", sizeof(promotion->peer));
	g_strlcpy(promotion->database, "orders", sizeof(promotion->database));
	g_strlcpy(promotion->server, x.servers[1].address, sizeof(promotion->server));
	promotion->term = 5;
	promotion->promoted = true;
	pw_mailbox_send(x.directory.monitor, &promotion->base);
	apply_fault(&x.servers[1], FAULT_STOP);
	voted = wait_for(&x, has_sent_vote, 3000);
	promoted = wait_for(&x, has_new_primary, 500);
	teardown(&x);
	ck_assert(all_probed);
	ck_assert(voted);
	ck_assert(!promoted);
	ck_assert_uint_gt(x.snapshot_request_count, 0);
}
END_TEST

static const struct {
	const char *record; /* `$`: address of the first server, the primary of term 1 */
	bool is_replaced;
} odd_records[] = {
	{ "", true },
	{ "primary", true },
	{ "9", true },
	{ "9 ", true },
	{ "-9 $", true },
	{ "99999999999999999999 $", true },
	{ "9223372036854775808 $", true },
	{ "9 $ more", true },
	/* A server that was taken out of the group: its term counts, so the record stays. */
	{ "9 192.0.2.1:5432", false },
};

static bool has_record_of_term_1(struct fixture *x)
{
	const struct stored_value *stored = g_hash_table_lookup(x->store, RECORD_KEY);
	char *expected_value = g_strdup_printf("1 %s", x->servers[0].address);
	bool is_same = strcmp(stored->value, expected_value) == 0;

	g_free(expected_value);
	return is_same;
}

/* Guards against a record that cannot be read, or names no server, but makes one the primary. */
START_TEST(test_odd_record)
{
	bool all_probed, replaced;
	struct fixture x;

	setup_with_record(&x, odd_records[_i].record);
	all_probed = wait_for(&x, are_all_servers_probed, 3000);
	replaced = wait_for(&x, has_record_of_term_1, odd_records[_i].is_replaced ? 8000 : 3000);
	teardown(&x);
	ck_assert_msg(all_probed && x.term == 1 && x.primary == 0,
		      "'%s': server %u is the primary of term %" PRIu64, odd_records[_i].record,
		      x.primary, x.term);
	ck_assert_msg(replaced == odd_records[_i].is_replaced, "'%s': not as expected: %s",
		      odd_records[_i].record, replaced ? "replaced" : "kept");
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("monitor");

	pw_event_log_init(G_LOG_LEVEL_ERROR);
	tcase_add_test(tc, test_second_status_row);
	tcase_add_loop_test(tc, test_faults_of_the_primary, 0, PW_ARRAY_LEN(fault_cases));
	tcase_add_test(tc, test_needs_votes_of_peers);
	tcase_add_test(tc, test_accepts_promotion_by_peer);
	tcase_add_test(tc, test_probes_are_coalesced);
	tcase_add_loop_test(tc, test_odd_record, 0, PW_ARRAY_LEN(odd_records));
	return pw_suite_run("monitor", tc);
}
