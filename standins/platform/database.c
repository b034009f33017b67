#include "database.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "log.h"
#include "pw/core/clock.h"
#include "pw/core/stream.h"
#include "server.h"
#include "session.h"

/* Servers renew their registration in the store at this interval. */
#define REGISTRATION_INTERVAL_US UINT64_C(500000)

static void listener_ready(struct pw_source *source, uint32_t events)
{
	struct server *s = (struct server *)((char *)source - offsetof(struct server, listener));
	int32_t fd = accept4(source->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	(void)events;
	if (fd >= 0)
		session_accept(s, fd);
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
		session_close(l->data);
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
		s->log = log_new();
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
	d->closed_conns = g_ptr_array_new_with_free_func(g_free);
	d->promotion_requests = json_array();
	d->started_ids = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
					       (GDestroyNotify)g_bytes_unref, NULL);
	d->record = json_array();
	faults_init(&d->faults);
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
	json_decref(d->record);
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

static void write_registration(struct server *s)
{
	char *key = g_strdup_printf("servers/%s", s->id);
	char *address = g_strdup_printf("127.0.0.1:%u", s->port);
	uint32_t index = (uint32_t)(s - s->group->servers);
	char *zone =
		g_strdup_printf("zone-%u", 1 + index % MAX(s->databases->faults.zone_count, 1));
	json_t *j = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:s,s:I,s:I}", "Service",
			      s->group->name, "Address", address, "Zone", zone, "Version", "v1",
			      "Slots", 3, "State", s->draining ? "draining" : "ready",
			      "WarmupLeftMs", 0, "DbRole", s->primary ? "primary" : "replica",
			      "Sequence", (json_int_t)++s->registration_sequence, "born",
			      (json_int_t)s->started_ms);
	char *text = json_dumps(j, JSON_COMPACT);

	kv_put(s->databases->kv, key, text, 0);
	free(text);
	json_decref(j);
	g_free(zone);
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
			log_replicate(s->log, primary->log, now_us - s->databases->faults.lag_us);
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

static bool crash_server(struct server *s)
{
	bool was_running = s->running;

	if (was_running)
		stop_server(s);
	return was_running;
}

static bool restart_server(struct server *s)
{
	if (s->running)
		return false;
	start_server(s);
	return true;
}

static bool darken_server(struct server *s)
{
	s->unresponsive = true;
	return true;
}

static bool lighten_server(struct server *s)
{
	s->unresponsive = false;
	return true;
}

static bool deafen_server(struct server *s)
{
	s->deaf = true;
	return true;
}

static bool undeafen_server(struct server *s)
{
	s->deaf = false;
	return true;
}

static bool drain_server(struct server *s)
{
	s->draining = true;
	s->next_registration_us = 0;
	return true;
}

static bool remove_server(struct server *s)
{
	char *key = g_strdup_printf("servers/%s", s->id);

	if (s->running)
		stop_server(s);
	kv_delete(s->databases->kv, key);
	g_free(key);
	return true;
}

/* Ends a server, whose log goes to a new one at its address. */
static bool replace_server(struct server *s)
{
	char *id = g_strconcat(s->id, "-next", NULL);

	remove_server(s);
	g_free(s->id);
	s->id = id;
	s->draining = false;
	start_server(s);
	return true;
}

static const struct {
	const char *name;
	bool (*inject)(struct server *s);
} server_faults[] = {
	{ "crash", crash_server },   { "start", restart_server }, { "dark", darken_server },
	{ "light", lighten_server }, { "deaf", deafen_server },   { "hearing", undeafen_server },
	{ "leave", drain_server },   { "gone", remove_server },   { "replace", replace_server },
};

bool databases_inject_fault(struct databases *d, const char *name, const char *argument)
{
	struct server *s = find_server(d, argument);

	if (strcmp(name, "record") == 0 && strcmp(argument, "clear") == 0)
		return json_array_clear(d->record) == 0;
	for (size_t i = 0; s && i < G_N_ELEMENTS(server_faults); i++) {
		if (strcmp(server_faults[i].name, name) == 0)
			return server_faults[i].inject(s);
	}
	return faults_set(&d->faults, name, argument);
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
	s->promotion_due_us = pw_clock_now_us() + d->faults.promotion_delay_us;
	return 200;
}

bool databases_has_started(const struct databases *d, const char *id)
{
	GBytes *key = g_bytes_new_static(id, strlen(id));
	bool found = g_hash_table_contains(d->started_ids, key);

	g_bytes_unref(key);
	return found;
}

json_t *databases_record_json(const struct databases *d)
{
	return json_incref(d->record);
}

json_t *databases_state_json(const struct databases *d)
{
	json_t *servers = json_array();

	for (guint k = 0; k < d->groups->len; k++) {
		const struct group *g = g_ptr_array_index(d->groups, k);

		for (uint32_t i = 0; i < SERVERS_PER_GROUP; i++) {
			const struct server *s = &g->servers[i];

			json_array_append_new(
				servers, json_pack("{s:s,s:b,s:b,s:I,s:i,s:i,s:i}", "id", s->id,
						   "up", s->running, "primary", s->primary, "term",
						   (json_int_t)s->term, "log", (int)s->log->len,
						   "conns", (int)g_hash_table_size(s->conns), "own",
						   (int)s->own_count));
		}
	}
	return json_pack("{s:o,s:O}", "servers", servers, "orders", d->promotion_requests);
}
