#include "database.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pw/core/clock.h"
#include "pw/core/stream.h"

#define SERVERS_PER_GROUP 3
/* Servers renew their registration in the store at this interval. */
#define REGISTRATION_INTERVAL_US UINT64_C(500000)
/* Default time from a promotion request until the server is primary. */
#define PROMOTION_DELAY_US UINT64_C(100000)

struct log_entry {
	uint64_t term;
	uint64_t appended_us; /**< time at which the primary appended the entry */
	char *key;
	char *value;
};

struct server {
	struct databases *databases;
	struct group *group;
	struct pw_source listener;
	char *id;
	uint16_t port;
	GPtrArray *log;    /**< of struct log_entry; servers share the entries by reference count */
	GHashTable *conns; /**< set of struct conn */
	uint64_t term;
	uint64_t promotion_due_us; /**< time at which it becomes primary; 0: no promotion is due */
	uint64_t next_registration_us;
	uint64_t started_ms;            /**< Unix time of the last start */
	uint64_t registration_sequence; /**< number of registrations written since the last start */
	bool primary;
	bool running;
	bool unresponsive; /**< accepts connections but ignores input, and doesn't register */
	bool draining;
	bool deaf;              /**< receives no commits */
	uint32_t running_count; /**< statements whose run time has not passed yet */
	GQueue waiting;         /**< struct conn whose statement waits for a slot */
};

struct group {
	char *name;
	struct server servers[SERVERS_PER_GROUP];
	uint64_t last_term;             /**< newest term of a primary of this group */
	const struct server *appointed; /**< server of the last promotion request; NULL: none */
};

struct databases {
	struct pw_loop *loop;
	struct kv_store *kv;
	GPtrArray *groups;
	json_t *promotion_requests;
	/** Freed by the next tick because functions on the call stack may still use them. */
	GPtrArray *closed_conns;
	uint64_t lag_us;             /**< replication lag */
	uint64_t promotion_delay_us; /**< time from a promotion request until it takes effect */
	uint64_t run_time_us;        /**< run time of a statement */
	uint32_t slots;              /**< statements that a server runs at a time; 0: any number */
	uint32_t queue_length;       /**< statements that may wait for a slot of a server */
	uint32_t conn_limit;         /**< of a server; 0: none */
	uint32_t lost_every;         /**< every so many results are lost; 0: none */
	uint32_t refused_sets;       /**< number of the next SET statements that fail */
	bool resets_opens;           /**< new connections are reset when they send a message */
	uint64_t last_signature;     /**< number in the signature of the last result */
	GHashTable *started_ids;     /**< set of the ids of all statements that were received */
};

struct conn {
	struct pw_stream stream;
	struct pw_timer timer;
	struct server *server;
	char *account;                 /**< NULL before STARTUP */
	char *pending_statement;       /**< statement whose run time has not passed yet, or NULL */
	GPtrArray *transaction_writes; /**< uncommitted writes: key, value, key, value, ... */
	GHashTable *settings;          /**< name -> value */
	GHashTable *prepared_statements; /**< name -> "READ ..." or "WRITE ..." */
	bool in_transaction;
	bool read_only;
	bool transaction_failed;
	bool waits; /**< the pending statement waits for a slot */
	bool closed;
};

static void log_entry_clear(gpointer data)
{
	struct log_entry *e = data;

	g_free(e->key);
	g_free(e->value);
}

static void log_entry_unref(gpointer data)
{
	g_rc_box_release_full(data, log_entry_clear);
}

static void conn_free(gpointer data)
{
	g_free(data);
}

/* Starts the run time of the pending statement. */
static void start_run(struct conn *c)
{
	const struct databases *d = c->server->databases;

	c->waits = false;
	c->server->running_count++;
	pw_loop_timer_set(d->loop, &c->timer, pw_clock_now_us() + d->run_time_us);
}

/* Frees the slot of a statement, and gives it to one that waits. */
static void free_slot(struct server *s)
{
	struct conn *next = g_queue_pop_head(&s->waiting);

	s->running_count--;
	if (next)
		start_run(next);
}

static void conn_close(struct conn *c)
{
	if (c->closed)
		return;
	c->closed = true;
	pw_loop_timer_clear(c->server->databases->loop, &c->timer);
	pw_stream_dispose(&c->stream);
	g_hash_table_remove(c->server->conns, c);
	g_free(c->account);
	if (c->waits)
		g_queue_remove(&c->server->waiting, c);
	else if (c->pending_statement)
		free_slot(c->server);
	g_free(c->pending_statement);
	g_ptr_array_unref(c->transaction_writes);
	g_hash_table_unref(c->settings);
	g_hash_table_unref(c->prepared_statements);
	g_ptr_array_add(c->server->databases->closed_conns, c);
}

static void send_line(struct conn *c, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static void send_line(struct conn *c, const char *format, ...)
{
	char *line;
	va_list ap;

	va_start(ap, format);
	line = g_strdup_vprintf(format, ap);
	va_end(ap);
	pw_stream_send(&c->stream, line, (uint32_t)strlen(line));
	g_free(line);
}

static uint64_t last_log_term(const struct server *s)
{
	return s->log->len ? ((struct log_entry *)g_ptr_array_index(s->log, s->log->len - 1))->term
			   : 1;
}

static void send_ready(struct conn *c)
{
	const struct server *s = c->server;

	send_line(c, "READY %s %" PRIu64 ".%u\r\n",
		  c->transaction_failed ? "E"
		  : c->in_transaction   ? "T"
					: "I",
		  last_log_term(s), s->log->len);
}

static void send_error(struct conn *c, const char *code)
{
	if (c->in_transaction)
		c->transaction_failed = true;
	send_line(c, "ERROR %s %s\r\n", code, c->server->id);
	send_ready(c);
}

/* Completes a read, a write or a commit; the result carries a signature, and may be lost. */
static void complete_signed(struct conn *c)
{
	const struct databases *d = c->server->databases;

	if (d->lost_every && (d->last_signature + 1) % d->lost_every == 0) {
		c->server->databases->last_signature++;
		return;
	}
	send_line(c, "COMPLETE sig.%s.%" PRIu64 "\r\n", c->server->id,
		  ++c->server->databases->last_signature);
	send_ready(c);
}

static void complete_unsigned(struct conn *c)
{
	send_line(c, "COMPLETE -\r\n");
	send_ready(c);
}

static void append_log_entry(struct server *s, const char *key, const char *value)
{
	struct log_entry *e = g_rc_box_new0(struct log_entry);

	e->term = s->term;
	e->appended_us = pw_clock_now_us();
	e->key = g_strdup(key);
	e->value = g_strdup(value);
	g_ptr_array_add(s->log, e);
}

static char *format_settings(const struct conn *c)
{
	GList *names = g_list_sort(g_hash_table_get_keys(c->settings), (GCompareFunc)strcmp);
	GString *text = g_string_new(NULL);

	for (GList *l = names; l; l = l->next)
		g_string_append_printf(text, "%s=%s;", (char *)l->data,
				       (char *)g_hash_table_lookup(c->settings, l->data));
	g_list_free(names);
	return g_string_free(text, FALSE);
}

/* For tests, the keys @values, @account and @server return state of the connection or server. */
static void run_read(struct conn *c, const char *key)
{
	const struct server *s = c->server;
	const char *value = "none";
	char *text;

	if (strcmp(key, "@values") == 0) {
		text = format_settings(c);
		send_line(c, "DATAROW %s\r\n", text);
		g_free(text);
	} else if (strcmp(key, "@account") == 0) {
		send_line(c, "DATAROW %s\r\n", c->account);
	} else if (strcmp(key, "@server") == 0) {
		send_line(c, "DATAROW %s %s\r\n", s->id, s->primary ? "primary" : "replica");
	} else {
		for (guint i = 0; i < s->log->len; i++) {
			const struct log_entry *e = g_ptr_array_index(s->log, i);

			if (strcmp(e->key, key) == 0)
				value = e->value;
		}
		send_line(c, "DATAROW %s\r\n", value);
	}
	complete_signed(c);
}

static void run_write(struct conn *c, char *args)
{
	char *value = strchr(args, ' ');

	if (value)
		*value++ = '\0';
	if (!c->server->primary || c->read_only) {
		send_error(c, "READONLY");
		return;
	}
	if (c->in_transaction) {
		g_ptr_array_add(c->transaction_writes, g_strdup(args));
		g_ptr_array_add(c->transaction_writes, g_strdup(value ? value : ""));
	} else {
		append_log_entry(c->server, args, value ? value : "");
	}
	complete_signed(c);
}

static void reset_transaction(struct conn *c)
{
	c->in_transaction = false;
	c->transaction_failed = false;
	c->read_only = false;
	g_ptr_array_set_size(c->transaction_writes, 0);
}

static void run_commit(struct conn *c)
{
	bool demoted = c->transaction_writes->len && !c->server->primary;

	for (guint i = 0; !demoted && i + 1 < c->transaction_writes->len; i += 2)
		append_log_entry(c->server, g_ptr_array_index(c->transaction_writes, i),
				 g_ptr_array_index(c->transaction_writes, i + 1));
	reset_transaction(c);
	if (demoted)
		send_error(c, "READONLY");
	else
		complete_signed(c);
}

static void run_execute(struct conn *c, char *args)
{
	char *argument = strchr(args, ' ');
	const char *prepared;

	if (argument)
		*argument++ = '\0';
	prepared = g_hash_table_lookup(c->prepared_statements, args);
	if (!prepared)
		send_error(c, "NOSTMT");
	else if (g_str_has_prefix(prepared, "WRITE"))
		run_write(c, argument ? argument : (char[]){ "" });
	else
		run_read(c, argument ? argument : "");
}

/* Returns whether the log of the server ends before the position TERM.NUMBER. */
static bool is_behind(const struct server *s, const char *position)
{
	guint64 number = 0;
	const char *dot = strchr(position, '.');

	return dot && g_ascii_string_to_unsigned(dot + 1, 10, 0, G_MAXUINT64, &number, NULL) &&
	       s->log->len < number;
}

static void send_status(struct conn *c)
{
	const struct server *s = c->server;

	send_line(c, "DATAROW %s %" PRIu64 " %" PRIu64 ".%u %" PRIu64 " 0 0 %u\r\n",
		  s->primary ? "primary" : "replica", s->term, last_log_term(s), s->log->len,
		  s->term, g_hash_table_size(s->conns));
	complete_unsigned(c);
}

/* Runs one of the statements that need no run time. Returns false if `verb` is none of them. */
static bool run_session_statement(struct conn *c, const char *verb, char *args)
{
	char *argument = strchr(args, ' ');

	if (strcmp(verb, "SET") == 0 && c->server->databases->refused_sets) {
		c->server->databases->refused_sets--;
		send_error(c, "FAILED");
		return true;
	}
	if (strcmp(verb, "SET") == 0 && argument) {
		*argument++ = '\0';
		g_hash_table_replace(c->settings, g_strdup(args), g_strdup(argument));
	} else if (strcmp(verb, "PREPARE") == 0 && argument) {
		*argument++ = '\0';
		g_hash_table_replace(c->prepared_statements, g_strdup(args), g_strdup(argument));
	} else if (strcmp(verb, "RESET") == 0) {
		g_hash_table_remove_all(c->settings);
		g_hash_table_remove_all(c->prepared_statements);
	} else if (strcmp(verb, "ROLLBACK") == 0) {
		reset_transaction(c);
	} else if (strcmp(verb, "BEGIN") == 0) {
		if (!c->server->primary && strcmp(args, "READ") != 0) {
			send_error(c, "READONLY");
			return true;
		}
		c->in_transaction = true;
		c->read_only = strcmp(args, "READ") == 0;
	} else if (strcmp(verb, "STEPDOWN") == 0) {
		guint64 term = g_ascii_strtoull(args, NULL, 10);

		if (c->server->term < term)
			c->server->primary = false;
		send_status(c);
		return true;
	} else if (strcmp(verb, "STATUS") == 0) {
		send_status(c);
		return true;
	} else {
		return false;
	}
	complete_unsigned(c);
	return true;
}

/*
 * Runs a statement; modifies its text. A statement that starts with "WAITLSN POSITION" fails with
 * LAGGING if the server has not reached the position.
 */
static void run_statement(struct conn *c, char *text)
{
	char *args;

	if (g_str_has_prefix(text, "WAITLSN ")) {
		char *position = text + strlen("WAITLSN ");

		text = strchr(position, ' ');
		if (!text || is_behind(c->server, position)) {
			send_error(c, "LAGGING");
			return;
		}
		text++;
	}
	args = strchr(text, ' ');
	if (args)
		*args++ = '\0';
	else
		args = text + strlen(text);
	if (c->transaction_failed && strcmp(text, "ROLLBACK") != 0)
		send_error(c, "MALFORMED");
	else if (strcmp(text, "READ") == 0)
		run_read(c, args);
	else if (strcmp(text, "WRITE") == 0)
		run_write(c, args);
	else if (strcmp(text, "EXECUTE") == 0)
		run_execute(c, args);
	else if (strcmp(text, "COMMIT") == 0)
		run_commit(c);
	else if (!run_session_statement(c, text, args))
		send_error(c, "MALFORMED");
}

static void run_timer_expired(struct pw_timer *t, uint64_t now_us);
static const struct pw_timer_ops run_timer_ops = { .expire = run_timer_expired };

static bool has_run_time(const char *text)
{
	return strstr(text, "READ ") || strstr(text, "WRITE ") || strstr(text, "COMMIT");
}

/* Handles "ID STATEMENT". */
static void handle_query(struct conn *c, const char *line)
{
	const struct databases *d = c->server->databases;
	const char *text = strchr(line, ' ');
	char *copy = g_strdup(text ? text + 1 : "");
	bool is_full;

	if (text)
		g_hash_table_add(d->started_ids, g_strndup(line, (gsize)(text - line)));
	is_full = d->slots && has_run_time(copy) && c->server->running_count >= d->slots;
	if (is_full && c->server->waiting.length >= d->queue_length) {
		send_error(c, "BUSY");
		g_free(copy);
		return;
	}
	if (d->run_time_us && has_run_time(copy)) {
		c->pending_statement = copy;
		pw_stream_pause(&c->stream, true);
		c->waits = is_full;
		if (is_full)
			g_queue_push_tail(&c->server->waiting, c);
		else
			start_run(c);
		return;
	}
	run_statement(c, copy);
	g_free(copy);
}

/* Handles "GROUP ACCOUNT [SERVER_ID]". */
static void handle_startup(struct conn *c, const char *line)
{
	char **words = g_strsplit(line, " ", 3);
	bool is_valid = g_strv_length(words) >= 2 &&
			strcmp(words[0], c->server->group->name) == 0 &&
			(!words[2] || strcmp(words[2], c->server->id) == 0);

	if (c->server->databases->resets_opens) {
		const struct linger no_linger = { .l_onoff = 1 };

		/* Closing the socket then sends a reset. */
		(void)setsockopt(c->stream.source.fd, SOL_SOCKET, SO_LINGER, &no_linger,
				 sizeof(no_linger));
		conn_close(c);
	} else if (is_valid && c->server->databases->conn_limit &&
		   g_hash_table_size(c->server->conns) > c->server->databases->conn_limit) {
		send_line(c, "ERROR CONNLIMIT %s\r\n", c->server->id);
		pw_stream_shutdown(&c->stream);
	} else if (is_valid) {
		c->account = g_strdup(words[1]);
		send_ready(c);
	} else {
		send_line(c, "ERROR MISROUTED %s\r\n", c->server->id);
		pw_stream_shutdown(&c->stream);
	}
	g_strfreev(words);
}

static void handle_line(struct conn *c, const char *line)
{
	if (g_str_has_prefix(line, "STARTUP "))
		handle_startup(c, line + strlen("STARTUP "));
	else if (g_str_has_prefix(line, "QUERY ") && c->account)
		handle_query(c, line + strlen("QUERY "));
	else
		conn_close(c);
}

static void stream_received(struct pw_stream *s)
{
	struct conn *c = (struct conn *)s;

	if (c->server->unresponsive) {
		pw_stream_consume(s, UINT32_MAX);
		return;
	}
	while (!c->closed && s->input && !c->pending_statement) {
		const uint8_t *end = memchr(s->input->data, '\n', s->input->len);
		char *line;

		if (!end)
			return;
		line = g_strndup((const char *)s->input->data, (gsize)(end - s->input->data));
		pw_stream_consume(s, (uint32_t)(end - s->input->data) + 1);
		g_strchomp(line);
		handle_line(c, line);
		g_free(line);
	}
}

static void run_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct conn *c = (struct conn *)((char *)t - offsetof(struct conn, timer));
	char *text = g_steal_pointer(&c->pending_statement);

	(void)now_us;
	free_slot(c->server);
	if (!c->server->unresponsive)
		run_statement(c, text);
	g_free(text);
	if (c->closed)
		return;
	pw_stream_pause(&c->stream, false);
	stream_received(&c->stream);
}

static void stream_closed(struct pw_stream *s)
{
	conn_close((struct conn *)s);
}

static const struct pw_stream_ops stream_ops = { .received = stream_received,
						 .closed = stream_closed };

static void listener_ready(struct pw_source *source, uint32_t events)
{
	struct server *s = (struct server *)((char *)source - offsetof(struct server, listener));
	int32_t fd = accept4(source->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct conn *c;

	(void)events;
	if (fd < 0)
		return;
	c = g_new0(struct conn, 1);
	c->server = s;
	c->timer.ops = &run_timer_ops;
	c->transaction_writes = g_ptr_array_new_with_free_func(g_free);
	c->settings = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->prepared_statements = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_add(s->conns, c);
	if (pw_stream_init(&c->stream, &stream_ops, s->databases->loop, fd))
		g_error("the stand-in cannot accept a connection");
}

static const struct pw_source_ops listener_ops = { .ready = listener_ready };

static void start_server(struct server *s)
{
	char address[32];

	g_snprintf(address, sizeof(address), "127.0.0.1:%u", s->port);
	if (pw_stream_listen(&s->listener.fd, address))
		g_error("the stand-in cannot listen on %s", address);
	s->listener.ops = &listener_ops;
	(void)pw_loop_watch(s->databases->loop, &s->listener, EPOLLIN);
	s->running = true;
	s->started_ms = (uint64_t)g_get_real_time() / 1000;
	s->registration_sequence = 0;
	s->next_registration_us = 0;
}

static void stop_server(struct server *s)
{
	GList *conns = g_hash_table_get_keys(s->conns);

	s->running = false;
	s->promotion_due_us = 0;
	for (GList *l = conns; l; l = l->next)
		conn_close(l->data);
	g_list_free(conns);
	pw_loop_unwatch(s->databases->loop, &s->listener);
	close(s->listener.fd);
}

static void add_group(struct databases *d, const char *text)
{
	struct group *g = g_new0(struct group, 1);
	char **parts = g_strsplit_set(text, "=,", -1);

	if (g_strv_length(parts) != 1 + SERVERS_PER_GROUP)
		g_error("a group is given as NAME=PORT,PORT,PORT");
	g->name = g_strdup(parts[0]);
	g->last_term = 1;
	g_ptr_array_add(d->groups, g);
	for (uint32_t i = 0; i < SERVERS_PER_GROUP; i++) {
		struct server *s = &g->servers[i];

		s->databases = d;
		s->group = g;
		s->port = (uint16_t)atoi(parts[1 + i]);
		s->id = g_strdup_printf("i-%s-%u", g->name, i + 1);
		s->log = g_ptr_array_new_with_free_func(log_entry_unref);
		s->conns = g_hash_table_new(NULL, NULL);
		s->term = 1;
		s->primary = i == 0;
		start_server(s);
	}
	g_strfreev(parts);
}

struct databases *databases_new(struct pw_loop *loop, struct kv_store *kv,
				const char *const *groups)
{
	struct databases *d = g_new0(struct databases, 1);

	d->loop = loop;
	d->kv = kv;
	d->groups = g_ptr_array_new();
	d->closed_conns = g_ptr_array_new_with_free_func(conn_free);
	d->promotion_requests = json_array();
	d->started_ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	d->promotion_delay_us = PROMOTION_DELAY_US;
	for (; *groups; groups++)
		add_group(d, *groups);
	return d;
}

void databases_free(struct databases *d)
{
	for (guint k = 0; k < d->groups->len; k++) {
		struct group *g = g_ptr_array_index(d->groups, k);

		for (uint32_t i = 0; i < SERVERS_PER_GROUP; i++) {
			struct server *s = &g->servers[i];

			if (s->running)
				stop_server(s);
			g_ptr_array_unref(s->log);
			g_hash_table_unref(s->conns);
			g_free(s->id);
		}
		g_free(g->name);
		g_free(g);
	}
	g_ptr_array_unref(d->groups);
	g_ptr_array_unref(d->closed_conns);
	json_decref(d->promotion_requests);
	g_hash_table_unref(d->started_ids);
	g_free(d);
}

/*
 * Returns the reachable primary with the highest term, or NULL. After a promotion, two servers are
 * primary until the next tick of the former one.
 */
static struct server *find_primary(struct group *g)
{
	struct server *best = NULL;

	for (uint32_t i = 0; i < SERVERS_PER_GROUP; i++) {
		struct server *s = &g->servers[i];

		if (s->running && !s->unresponsive && s->primary && (!best || s->term > best->term))
			best = s;
	}
	return best;
}

/*
 * Removes the log entries of the replica from the first one that differs from the log of the
 * primary, then appends the primary's entries that are older than the replication lag. Both logs
 * refer to the same entries, so pointers are compared.
 */
static void replicate(struct databases *d, const struct server *primary, struct server *replica,
		      uint64_t now_us)
{
	guint common_length = 0;

	while (common_length < replica->log->len && common_length < primary->log->len &&
	       g_ptr_array_index(replica->log, common_length) ==
		       g_ptr_array_index(primary->log, common_length))
		common_length++;
	g_ptr_array_set_size(replica->log, (gint)common_length);
	for (guint i = common_length; i < primary->log->len; i++) {
		struct log_entry *e = g_ptr_array_index(primary->log, i);

		if (e->appended_us + d->lag_us > now_us)
			return;
		g_ptr_array_add(replica->log, g_rc_box_acquire(e));
	}
}

static void write_registration(struct server *s)
{
	char *key = g_strdup_printf("servers/%s", s->id);
	char *address = g_strdup_printf("127.0.0.1:%u", s->port);
	json_t *j = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:s,s:I,s:I}", "Service",
			      s->group->name, "Address", address, "Zone", "zone-1", "Version", "v1",
			      "Slots", 3, "State", s->draining ? "draining" : "ready",
			      "WarmupLeftMs", 0, "DbRole", s->primary ? "primary" : "replica",
			      "Sequence", (json_int_t)++s->registration_sequence, "born",
			      (json_int_t)s->started_ms);
	char *text = json_dumps(j, JSON_COMPACT);

	kv_put(s->databases->kv, key, text, 0);
	free(text);
	json_decref(j);
	g_free(address);
	g_free(key);
}

/*
 * Carries out a due promotion, follows the group's primary and renews the registration. A primary
 * steps down when another primary has the same term or a higher one.
 */
static void tick_server(struct server *s, uint64_t now_us)
{
	struct group *g = s->group;
	const struct server *primary;

	if (!s->running || s->unresponsive)
		return;
	if (s->promotion_due_us && now_us >= s->promotion_due_us) {
		s->promotion_due_us = 0;
		s->primary = true;
		s->term = ++g->last_term;
		s->next_registration_us = 0;
	}
	primary = find_primary(g);
	if (primary && primary != s && primary->term >= s->term) {
		if (s->primary)
			s->next_registration_us = 0;
		s->primary = false;
		s->term = primary->term;
		if (!s->deaf)
			replicate(s->databases, primary, s, now_us);
	}
	if (now_us >= s->next_registration_us) {
		s->next_registration_us = now_us + REGISTRATION_INTERVAL_US;
		write_registration(s);
	}
}

void databases_tick(struct databases *d, uint64_t now_us)
{
	g_ptr_array_set_size(d->closed_conns, 0);
	for (guint k = 0; k < d->groups->len; k++) {
		struct group *g = g_ptr_array_index(d->groups, k);

		for (uint32_t i = 0; i < SERVERS_PER_GROUP; i++)
			tick_server(&g->servers[i], now_us);
	}
}

static struct server *find_server(struct databases *d, const char *id)
{
	for (guint k = 0; id && k < d->groups->len; k++) {
		struct group *g = g_ptr_array_index(d->groups, k);

		for (uint32_t i = 0; i < SERVERS_PER_GROUP; i++) {
			if (strcmp(g->servers[i].id, id) == 0)
				return &g->servers[i];
		}
	}
	return NULL;
}

bool databases_inject_fault(struct databases *d, const char *name, const char *argument)
{
	struct server *s = find_server(d, argument);
	char *key;

	if (strcmp(name, "lag") == 0) {
		d->lag_us = g_ascii_strtoull(argument, NULL, 10) * 1000;
		return true;
	}
	if (strcmp(name, "promotion-delay") == 0) {
		d->promotion_delay_us = g_ascii_strtoull(argument, NULL, 10) * 1000;
		return true;
	}
	if (strcmp(name, "refuse-set") == 0) {
		d->refused_sets = (uint32_t)g_ascii_strtoull(argument, NULL, 10);
		return true;
	}
	if (strcmp(name, "reset-opens") == 0) {
		d->resets_opens = strcmp(argument, "1") == 0;
		return true;
	}
	if (strcmp(name, "slots") == 0) {
		d->slots = (uint32_t)g_ascii_strtoull(argument, NULL, 10);
		return true;
	}
	if (strcmp(name, "queue") == 0) {
		d->queue_length = (uint32_t)g_ascii_strtoull(argument, NULL, 10);
		return true;
	}
	if (strcmp(name, "conn-limit") == 0) {
		d->conn_limit = (uint32_t)g_ascii_strtoull(argument, NULL, 10);
		return true;
	}
	if (strcmp(name, "lose") == 0) {
		d->lost_every = (uint32_t)g_ascii_strtoull(argument, NULL, 10);
		return true;
	}
	if (strcmp(name, "work") == 0) {
		d->run_time_us = g_ascii_strtoull(argument, NULL, 10) * 1000;
		return true;
	}
	if (!s)
		return false;
	if (strcmp(name, "crash") == 0 && s->running) {
		stop_server(s);
	} else if (strcmp(name, "start") == 0 && !s->running) {
		start_server(s);
	} else if (strcmp(name, "dark") == 0) {
		s->unresponsive = true;
	} else if (strcmp(name, "light") == 0) {
		s->unresponsive = false;
	} else if (strcmp(name, "deaf") == 0) {
		s->deaf = true;
	} else if (strcmp(name, "hearing") == 0) {
		s->deaf = false;
	} else if (strcmp(name, "leave") == 0) {
		s->draining = true;
		s->next_registration_us = 0;
	} else if (strcmp(name, "gone") == 0) {
		key = g_strdup_printf("servers/%s", s->id);
		if (s->running)
			stop_server(s);
		kv_delete(d->kv, key);
		g_free(key);
	} else {
		return false;
	}
	return true;
}

unsigned databases_promote(struct databases *d, const char *group, const char *id,
			   const char *holder, uint64_t fencing_token)
{
	struct server *s = find_server(d, id);
	struct group *g;

	json_array_append_new(d->promotion_requests,
			      json_pack("{s:s,s:s,s:s,s:I}", "group", group ? group : "", "id",
					id ? id : "", "holder", holder ? holder : "", "fence",
					(json_int_t)fencing_token));
	if (!s || !s->running || g_strcmp0(s->group->name, group) != 0)
		return 409;
	g = s->group;
	if (g->appointed ? g->appointed == s && (s->primary || s->promotion_due_us) : s->primary)
		return 200;
	/* The request replaces an earlier one that has not taken effect. */
	for (uint32_t i = 0; i < SERVERS_PER_GROUP; i++)
		g->servers[i].promotion_due_us = 0;
	g->appointed = s;
	s->promotion_due_us = pw_clock_now_us() + d->promotion_delay_us;
	return 200;
}

bool databases_has_started(const struct databases *d, const char *id)
{
	return g_hash_table_contains(d->started_ids, id);
}

json_t *databases_state_json(const struct databases *d)
{
	json_t *servers = json_array();

	for (guint k = 0; k < d->groups->len; k++) {
		const struct group *g = g_ptr_array_index(d->groups, k);

		for (uint32_t i = 0; i < SERVERS_PER_GROUP; i++) {
			const struct server *s = &g->servers[i];

			json_array_append_new(
				servers, json_pack("{s:s,s:b,s:b,s:I,s:i,s:i}", "id", s->id, "up",
						   s->running, "primary", s->primary, "term",
						   (json_int_t)s->term, "log", (int)s->log->len,
						   "conns", (int)g_hash_table_size(s->conns)));
		}
	}
	return json_pack("{s:o,s:O}", "servers", servers, "orders", d->promotion_requests);
}
