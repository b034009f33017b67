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

#define GROUP_SERVERS 3
/* A server writes its entry this often. */
#define BEAT_US UINT64_C(500000)
/* An order takes effect after this time. */
#define PROMOTE_US UINT64_C(100000)

struct entry {
	uint64_t term;
	uint64_t born_us;
	char *item;
	char *value;
};

struct server {
	struct fleet *fleet;
	struct group *group;
	struct pw_source listener;
	char *id;
	uint16_t port;
	GPtrArray *log; /**< struct entry, shared by reference count */
	GHashTable *conns;
	uint64_t term;
	uint64_t promoted_us; /**< when it becomes primary; 0: not ordered */
	uint64_t beat_us;
	uint64_t started_ms;
	uint64_t sequence;
	bool primary;
	bool up;
	bool dark;
	bool leaving;
};

struct group {
	char *name;
	struct server servers[GROUP_SERVERS];
	uint64_t term;
};

struct fleet {
	struct pw_loop *loop;
	struct kv *kv;
	GPtrArray *groups;
	json_t *orders;
	GPtrArray *closed; /**< connections whose memory the tick releases */
	uint64_t lag_us;
	uint64_t work_us;
	uint64_t signature;
};

struct conn {
	struct pw_stream stream;
	struct pw_timer timer;
	struct server *server;
	char *account;
	char *waiting; /**< statement that is being worked on */
	GPtrArray *writes;
	GHashTable *values;
	GHashTable *prepared; /**< name -> "READ shape" or "WRITE shape" */
	bool in_transaction;
	bool read_only;
	bool failed;
	bool closed;
};

static void entry_clear(gpointer data)
{
	struct entry *e = data;

	g_free(e->item);
	g_free(e->value);
}

static void entry_unref(gpointer data)
{
	g_rc_box_release_full(data, entry_clear);
}

static void free_conn(gpointer data)
{
	g_free(data);
}

static void close_conn(struct conn *c)
{
	if (c->closed)
		return;
	c->closed = true;
	pw_loop_timer_clear(c->server->fleet->loop, &c->timer);
	pw_stream_dispose(&c->stream);
	g_hash_table_remove(c->server->conns, c);
	g_free(c->account);
	g_free(c->waiting);
	g_ptr_array_unref(c->writes);
	g_hash_table_unref(c->values);
	g_hash_table_unref(c->prepared);
	g_ptr_array_add(c->server->fleet->closed, c);
}

static void reply(struct conn *c, const char *format, ...) __attribute__((format(printf, 2, 3)));

static void reply(struct conn *c, const char *format, ...)
{
	char *line;
	va_list ap;

	va_start(ap, format);
	line = g_strdup_vprintf(format, ap);
	va_end(ap);
	pw_stream_send(&c->stream, line, (uint32_t)strlen(line));
	g_free(line);
}

static uint64_t log_term(const struct server *s)
{
	return s->log->len ? ((struct entry *)g_ptr_array_index(s->log, s->log->len - 1))->term : 1;
}

static void ready(struct conn *c)
{
	const struct server *s = c->server;

	reply(c, "READY %s %" PRIu64 ".%u\r\n",
	      c->failed           ? "E"
	      : c->in_transaction ? "T"
				  : "I",
	      log_term(s), s->log->len);
}

static void fail(struct conn *c, const char *code)
{
	if (c->in_transaction)
		c->failed = true;
	reply(c, "ERROR %s %s\r\n", code, c->server->id);
	ready(c);
}

static void complete(struct conn *c)
{
	reply(c, "COMPLETE sig.%s.%" PRIu64 "\r\n", c->server->id, ++c->server->fleet->signature);
	ready(c);
}

static void done(struct conn *c)
{
	reply(c, "COMPLETE -\r\n");
	ready(c);
}

static void append(struct server *s, const char *item, const char *value)
{
	struct entry *e = g_rc_box_new0(struct entry);

	e->term = s->term;
	e->born_us = pw_clock_now_us();
	e->item = g_strdup(item);
	e->value = g_strdup(value);
	g_ptr_array_add(s->log, e);
}

static char *values_text(const struct conn *c)
{
	GList *names = g_list_sort(g_hash_table_get_keys(c->values), (GCompareFunc)strcmp);
	GString *text = g_string_new(NULL);

	for (GList *l = names; l; l = l->next)
		g_string_append_printf(text, "%s=%s;", (char *)l->data,
				       (char *)g_hash_table_lookup(c->values, l->data));
	g_list_free(names);
	return g_string_free(text, FALSE);
}

/* Items that start with @ show the connection's state to tests. */
static void run_read(struct conn *c, const char *item)
{
	const struct server *s = c->server;
	const char *found = "none";
	char *text;

	if (strcmp(item, "@values") == 0) {
		text = values_text(c);
		reply(c, "DATAROW %s\r\n", text);
		g_free(text);
	} else if (strcmp(item, "@account") == 0) {
		reply(c, "DATAROW %s\r\n", c->account);
	} else if (strcmp(item, "@server") == 0) {
		reply(c, "DATAROW %s %s\r\n", s->id, s->primary ? "primary" : "replica");
	} else {
		for (guint i = 0; i < s->log->len; i++) {
			const struct entry *e = g_ptr_array_index(s->log, i);

			if (strcmp(e->item, item) == 0)
				found = e->value;
		}
		reply(c, "DATAROW %s\r\n", found);
	}
	complete(c);
}

static void run_write(struct conn *c, char *rest)
{
	char *value = strchr(rest, ' ');

	if (value)
		*value++ = '\0';
	if (!c->server->primary || c->read_only) {
		fail(c, "READONLY");
		return;
	}
	if (c->in_transaction) {
		g_ptr_array_add(c->writes, g_strdup(rest));
		g_ptr_array_add(c->writes, g_strdup(value ? value : ""));
	} else {
		append(c->server, rest, value ? value : "");
	}
	complete(c);
}

static void end_transaction(struct conn *c)
{
	c->in_transaction = false;
	c->failed = false;
	c->read_only = false;
	g_ptr_array_set_size(c->writes, 0);
}

static void run_commit(struct conn *c)
{
	bool lost = c->writes->len && !c->server->primary;

	for (guint i = 0; !lost && i + 1 < c->writes->len; i += 2)
		append(c->server, g_ptr_array_index(c->writes, i),
		       g_ptr_array_index(c->writes, i + 1));
	end_transaction(c);
	if (lost)
		fail(c, "READONLY");
	else
		complete(c);
}

static void run_execute(struct conn *c, char *rest)
{
	char *argument = strchr(rest, ' ');
	const char *shape;

	if (argument)
		*argument++ = '\0';
	shape = g_hash_table_lookup(c->prepared, rest);
	if (!shape)
		fail(c, "NOSTMT");
	else if (g_str_has_prefix(shape, "WRITE"))
		run_write(c, argument ? argument : (char[]){ "" });
	else
		run_read(c, argument ? argument : "");
}

static bool is_before(const struct server *s, const char *position)
{
	guint64 number = 0;
	const char *dot = strchr(position, '.');

	return dot && g_ascii_string_to_unsigned(dot + 1, 10, 0, G_MAXUINT64, &number, NULL) &&
	       s->log->len < number;
}

static void status(struct conn *c)
{
	const struct server *s = c->server;

	reply(c, "DATAROW %s %" PRIu64 " %" PRIu64 ".%u %" PRIu64 " 0 0 %u\r\n",
	      s->primary ? "primary" : "replica", s->term, log_term(s), s->log->len, s->term,
	      g_hash_table_size(s->conns));
	done(c);
}

/* Statements of the session, which take no time. Returns false if the verb is another one. */
static bool run_session(struct conn *c, const char *verb, char *rest)
{
	char *argument = strchr(rest, ' ');

	if (strcmp(verb, "SET") == 0 && argument) {
		*argument++ = '\0';
		g_hash_table_replace(c->values, g_strdup(rest), g_strdup(argument));
	} else if (strcmp(verb, "PREPARE") == 0 && argument) {
		*argument++ = '\0';
		g_hash_table_replace(c->prepared, g_strdup(rest), g_strdup(argument));
	} else if (strcmp(verb, "RESET") == 0) {
		g_hash_table_remove_all(c->values);
		g_hash_table_remove_all(c->prepared);
	} else if (strcmp(verb, "ROLLBACK") == 0) {
		end_transaction(c);
	} else if (strcmp(verb, "BEGIN") == 0) {
		if (!c->server->primary && strcmp(rest, "READ") != 0) {
			fail(c, "READONLY");
			return true;
		}
		c->in_transaction = true;
		c->read_only = strcmp(rest, "READ") == 0;
	} else if (strcmp(verb, "STEPDOWN") == 0) {
		guint64 term = g_ascii_strtoull(rest, NULL, 10);

		if (c->server->term < term)
			c->server->primary = false;
		status(c);
		return true;
	} else if (strcmp(verb, "STATUS") == 0) {
		status(c);
		return true;
	} else {
		return false;
	}
	done(c);
	return true;
}

/* Runs the text of a statement; it is changed meanwhile. */
static void run(struct conn *c, char *text)
{
	char *rest;

	if (g_str_has_prefix(text, "WAITLSN ")) {
		char *position = text + strlen("WAITLSN ");

		text = strchr(position, ' ');
		if (!text || is_before(c->server, position)) {
			fail(c, "LAGGING");
			return;
		}
		text++;
	}
	rest = strchr(text, ' ');
	if (rest)
		*rest++ = '\0';
	else
		rest = text + strlen(text);
	if (c->failed && strcmp(text, "ROLLBACK") != 0)
		fail(c, "MALFORMED");
	else if (strcmp(text, "READ") == 0)
		run_read(c, rest);
	else if (strcmp(text, "WRITE") == 0)
		run_write(c, rest);
	else if (strcmp(text, "EXECUTE") == 0)
		run_execute(c, rest);
	else if (strcmp(text, "COMMIT") == 0)
		run_commit(c);
	else if (!run_session(c, text, rest))
		fail(c, "MALFORMED");
}

static void work_over(struct pw_timer *t, uint64_t now_us);
static const struct pw_timer_ops work_ops = { .expire = work_over };

static bool takes_time(const char *text)
{
	return strstr(text, "READ ") || strstr(text, "WRITE ") || strstr(text, "COMMIT");
}

static void query(struct conn *c, const char *line)
{
	const struct fleet *f = c->server->fleet;
	const char *text = strchr(line, ' ');
	char *copy = g_strdup(text ? text + 1 : "");

	if (f->work_us && takes_time(copy)) {
		c->waiting = copy;
		pw_stream_pause(&c->stream, true);
		pw_loop_timer_set(f->loop, &c->timer, pw_clock_now_us() + f->work_us);
		return;
	}
	run(c, copy);
	g_free(copy);
}

static void start_session(struct conn *c, const char *line)
{
	char **words = g_strsplit(line, " ", 3);
	bool right = g_strv_length(words) >= 2 && strcmp(words[0], c->server->group->name) == 0 &&
		     (!words[2] || strcmp(words[2], c->server->id) == 0);

	if (right) {
		c->account = g_strdup(words[1]);
		ready(c);
	} else {
		reply(c, "ERROR MISROUTED %s\r\n", c->server->id);
		pw_stream_finish(&c->stream);
	}
	g_strfreev(words);
}

static void take_line(struct conn *c, const char *line)
{
	if (g_str_has_prefix(line, "STARTUP "))
		start_session(c, line + strlen("STARTUP "));
	else if (g_str_has_prefix(line, "QUERY ") && c->account)
		query(c, line + strlen("QUERY "));
	else
		close_conn(c);
}

static void received(struct pw_stream *s)
{
	struct conn *c = (struct conn *)s;

	if (c->server->dark) {
		pw_stream_consume(s, UINT32_MAX);
		return;
	}
	while (!c->closed && s->in && !c->waiting) {
		const uint8_t *end = memchr(s->in->data, '\n', s->in->len);
		char *line;

		if (!end)
			return;
		line = g_strndup((const char *)s->in->data, (gsize)(end - s->in->data));
		pw_stream_consume(s, (uint32_t)(end - s->in->data) + 1);
		g_strchomp(line);
		take_line(c, line);
		g_free(line);
	}
}

static void work_over(struct pw_timer *t, uint64_t now_us)
{
	struct conn *c = (struct conn *)((char *)t - offsetof(struct conn, timer));
	char *text = g_steal_pointer(&c->waiting);

	(void)now_us;
	if (!c->server->dark)
		run(c, text);
	g_free(text);
	if (c->closed)
		return;
	pw_stream_pause(&c->stream, false);
	received(&c->stream);
}

static void stream_closed(struct pw_stream *s)
{
	close_conn((struct conn *)s);
}

static const struct pw_stream_ops stream_ops = { .received = received, .closed = stream_closed };

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
	c->timer.ops = &work_ops;
	c->writes = g_ptr_array_new_with_free_func(g_free);
	c->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_add(s->conns, c);
	if (pw_stream_init(&c->stream, &stream_ops, s->fleet->loop, fd))
		g_error("the stand-in cannot take a connection");
}

static const struct pw_source_ops listener_ops = { .ready = listener_ready };

static void start_server(struct server *s)
{
	char address[32];

	g_snprintf(address, sizeof(address), "127.0.0.1:%u", s->port);
	if (pw_stream_listen(&s->listener.fd, address))
		g_error("the stand-in cannot listen on %s", address);
	s->listener.ops = &listener_ops;
	(void)pw_loop_watch(s->fleet->loop, &s->listener, EPOLLIN);
	s->up = true;
	s->started_ms = (uint64_t)g_get_real_time() / 1000;
	s->sequence = 0;
	s->beat_us = 0;
}

static void stop_server(struct server *s)
{
	GList *conns = g_hash_table_get_keys(s->conns);

	s->up = false;
	s->promoted_us = 0;
	for (GList *l = conns; l; l = l->next)
		close_conn(l->data);
	g_list_free(conns);
	pw_loop_unwatch(s->fleet->loop, &s->listener);
	close(s->listener.fd);
}

static void add_group(struct fleet *f, const char *text)
{
	struct group *g = g_new0(struct group, 1);
	char **parts = g_strsplit_set(text, "=,", -1);

	if (g_strv_length(parts) != 1 + GROUP_SERVERS)
		g_error("a group is given as NAME=PORT,PORT,PORT");
	g->name = g_strdup(parts[0]);
	g->term = 1;
	g_ptr_array_add(f->groups, g);
	for (uint32_t i = 0; i < GROUP_SERVERS; i++) {
		struct server *s = &g->servers[i];

		s->fleet = f;
		s->group = g;
		s->port = (uint16_t)atoi(parts[1 + i]);
		s->id = g_strdup_printf("i-%s-%u", g->name, i + 1);
		s->log = g_ptr_array_new_with_free_func(entry_unref);
		s->conns = g_hash_table_new(NULL, NULL);
		s->term = 1;
		s->primary = i == 0;
		start_server(s);
	}
	g_strfreev(parts);
}

struct fleet *fleet_new(struct pw_loop *loop, struct kv *kv, const char *const *groups)
{
	struct fleet *f = g_new0(struct fleet, 1);

	f->loop = loop;
	f->kv = kv;
	f->groups = g_ptr_array_new();
	f->closed = g_ptr_array_new_with_free_func(free_conn);
	f->orders = json_array();
	for (; *groups; groups++)
		add_group(f, *groups);
	return f;
}

void fleet_free(struct fleet *f)
{
	for (guint k = 0; k < f->groups->len; k++) {
		struct group *g = g_ptr_array_index(f->groups, k);

		for (uint32_t i = 0; i < GROUP_SERVERS; i++) {
			struct server *s = &g->servers[i];

			if (s->up)
				stop_server(s);
			g_ptr_array_unref(s->log);
			g_hash_table_unref(s->conns);
			g_free(s->id);
		}
		g_free(g->name);
		g_free(g);
	}
	g_ptr_array_unref(f->groups);
	g_ptr_array_unref(f->closed);
	json_decref(f->orders);
	g_free(f);
}

static struct server *primary_of(struct group *g)
{
	struct server *best = NULL;

	for (uint32_t i = 0; i < GROUP_SERVERS; i++) {
		struct server *s = &g->servers[i];

		if (s->up && !s->dark && s->primary && (!best || s->term > best->term))
			best = s;
	}
	return best;
}

/* Gives a replica what its primary had a while ago, after it has dropped what differs. */
static void replicate(struct fleet *f, const struct server *from, struct server *to,
		      uint64_t now_us)
{
	guint same = 0;

	while (same < to->log->len && same < from->log->len &&
	       g_ptr_array_index(to->log, same) == g_ptr_array_index(from->log, same))
		same++;
	g_ptr_array_set_size(to->log, (gint)same);
	for (guint i = same; i < from->log->len; i++) {
		struct entry *e = g_ptr_array_index(from->log, i);

		if (e->born_us + f->lag_us > now_us)
			return;
		g_ptr_array_add(to->log, g_rc_box_acquire(e));
	}
}

static void write_entry(struct server *s)
{
	char *key = g_strdup_printf("servers/%s", s->id);
	char *address = g_strdup_printf("127.0.0.1:%u", s->port);
	json_t *j =
		json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:s,s:I,s:I}", "Service", s->group->name,
			  "Address", address, "Zone", "zone-1", "Version", "v1", "Slots", 3,
			  "State", s->leaving ? "draining" : "ready", "WarmupLeftMs", 0, "DbRole",
			  s->primary ? "primary" : "replica", "Sequence", (json_int_t)++s->sequence,
			  "born", (json_int_t)s->started_ms);
	char *text = json_dumps(j, JSON_COMPACT);

	kv_put(s->fleet->kv, key, text, 0);
	free(text);
	json_decref(j);
	g_free(address);
	g_free(key);
}

static void tick_server(struct server *s, uint64_t now_us)
{
	struct group *g = s->group;
	const struct server *primary;

	if (!s->up || s->dark)
		return;
	if (s->promoted_us && now_us >= s->promoted_us) {
		s->promoted_us = 0;
		s->primary = true;
		s->term = ++g->term;
		s->beat_us = 0;
	}
	primary = primary_of(g);
	if (primary && primary != s && primary->term >= s->term) {
		if (s->primary)
			s->beat_us = 0;
		s->primary = false;
		s->term = primary->term;
		replicate(s->fleet, primary, s, now_us);
	}
	if (now_us >= s->beat_us) {
		s->beat_us = now_us + BEAT_US;
		write_entry(s);
	}
}

void fleet_tick(struct fleet *f, uint64_t now_us)
{
	g_ptr_array_set_size(f->closed, 0);
	for (guint k = 0; k < f->groups->len; k++) {
		struct group *g = g_ptr_array_index(f->groups, k);

		for (uint32_t i = 0; i < GROUP_SERVERS; i++)
			tick_server(&g->servers[i], now_us);
	}
}

static struct server *find_server(struct fleet *f, const char *id)
{
	for (guint k = 0; id && k < f->groups->len; k++) {
		struct group *g = g_ptr_array_index(f->groups, k);

		for (uint32_t i = 0; i < GROUP_SERVERS; i++) {
			if (strcmp(g->servers[i].id, id) == 0)
				return &g->servers[i];
		}
	}
	return NULL;
}

bool fleet_fault(struct fleet *f, const char *name, const char *argument)
{
	struct server *s = find_server(f, argument);
	char *key;

	if (strcmp(name, "lag") == 0) {
		f->lag_us = g_ascii_strtoull(argument, NULL, 10) * 1000;
		return true;
	}
	if (strcmp(name, "work") == 0) {
		f->work_us = g_ascii_strtoull(argument, NULL, 10) * 1000;
		return true;
	}
	if (!s)
		return false;
	if (strcmp(name, "crash") == 0 && s->up) {
		stop_server(s);
	} else if (strcmp(name, "start") == 0 && !s->up) {
		start_server(s);
	} else if (strcmp(name, "dark") == 0) {
		s->dark = true;
	} else if (strcmp(name, "light") == 0) {
		s->dark = false;
	} else if (strcmp(name, "leave") == 0) {
		s->leaving = true;
		s->beat_us = 0;
	} else if (strcmp(name, "gone") == 0) {
		key = g_strdup_printf("servers/%s", s->id);
		if (s->up)
			stop_server(s);
		kv_delete(f->kv, key);
		g_free(key);
	} else {
		return false;
	}
	return true;
}

unsigned fleet_promote(struct fleet *f, const char *group, const char *id, const char *holder,
		       uint64_t fence)
{
	struct server *s = find_server(f, id);

	json_array_append_new(f->orders,
			      json_pack("{s:s,s:s,s:s,s:I}", "group", group ? group : "", "id",
					id ? id : "", "holder", holder ? holder : "", "fence",
					(json_int_t)fence));
	if (!s || !s->up || strcmp(s->group->name, group) != 0)
		return 409;
	if (!s->primary && !s->promoted_us)
		s->promoted_us = pw_clock_now_us() + PROMOTE_US;
	return 200;
}

json_t *fleet_state(const struct fleet *f)
{
	json_t *servers = json_array();

	for (guint k = 0; k < f->groups->len; k++) {
		const struct group *g = g_ptr_array_index(f->groups, k);

		for (uint32_t i = 0; i < GROUP_SERVERS; i++) {
			const struct server *s = &g->servers[i];

			json_array_append_new(
				servers, json_pack("{s:s,s:b,s:b,s:I,s:i,s:i}", "id", s->id, "up",
						   s->up, "primary", s->primary, "term",
						   (json_int_t)s->term, "log", (int)s->log->len,
						   "conns", (int)g_hash_table_size(s->conns)));
		}
	}
	return json_pack("{s:o,s:O}", "servers", servers, "orders", f->orders);
}
