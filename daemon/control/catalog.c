#include "catalog.h"

#include <inttypes.h>
#include <string.h>

#include "../directory.h"
#include "pw/core/clock.h"
#include "pw/core/counter.h"
#include "pw/core/error.h"
#include "pw/core/event.h"
#include "pw/core/histogram.h"
#include "pw/decide/registry.h"
#include "store.h"

/*
 * The catalogue and the servers are read again when nobody in the fleet has read them for this
 * long; each call to the store is paid for. A change of the catalogue has to be in force after 4 s,
 * also when the watch misses it. Servers write their entries again about once a second, so that a
 * watch of them would return all the time.
 */
#define CHECK_US        (1600 * PW_US_PER_MS)
#define CHECK_SPREAD_US (1300 * PW_US_PER_MS)
/* Shortest time between two reads that are asked for. */
#define SERVERS_REFRESH_US (400 * PW_US_PER_MS)
/* Pause after a failed read, which doubles with each further one; half of it is random. */
#define RETRY_FIRST_US (300 * PW_US_PER_MS)
#define RETRY_MAX_US   (2 * PW_US_PER_S)

enum request_tag {
	TAG_CATALOG,
	TAG_CATALOG_WATCH,
	TAG_SERVERS,
};

struct catalog_task {
	struct pw_task task;
	const struct pw_directory *directory;
	const struct pw_catalog_source *source;
	struct pw_catalog *catalog;
	struct pw_server_list *servers;
	GHashTable *marks; /**< server id -> struct pw_registry_mark */
	GPtrArray *read;   /**< struct pw_server_entry of the read that is under way */
	char *read_after;  /**< last key of the part that was read */
	struct pw_timer catalog_timer;
	struct pw_timer servers_timer;
	uint64_t servers_asked_us;
	uint64_t catalog_asked_us;
	uint64_t catalog_backoff_us;
	uint64_t servers_backoff_us;
	struct pw_confirmation confirmed;
	bool reading_servers;
	bool reading_catalog;
	bool watching;
};

struct ask_msg {
	struct pw_msg base;
	struct pw_mailbox *reply_to;
};

static void plain_destroy(struct pw_msg *m)
{
	g_free(m);
}

static const struct pw_msg_ops ask_ops = { .name = "catalog_ask", .destroy = plain_destroy };
static const struct pw_msg_ops refresh_ops = {
	.name = "servers_refresh",
	.destroy = plain_destroy,
};

static void catalog_msg_destroy(struct pw_msg *m)
{
	pw_catalog_unref(((struct pw_catalog_msg *)m)->catalog);
	g_free(m);
}

const struct pw_msg_ops pw_catalog_msg_ops = {
	.name = "catalog",
	.destroy = catalog_msg_destroy,
};

static void servers_msg_destroy(struct pw_msg *m)
{
	pw_server_list_unref(((struct pw_servers_msg *)m)->servers);
	g_free(m);
}

const struct pw_msg_ops pw_servers_msg_ops = {
	.name = "servers",
	.destroy = servers_msg_destroy,
};

struct pw_msg *pw_catalog_ask_msg(struct pw_mailbox *reply_to)
{
	struct ask_msg *m = g_new0(struct ask_msg, 1);

	m->base.ops = &ask_ops;
	m->reply_to = reply_to;
	return &m->base;
}

struct pw_msg *pw_servers_refresh_msg(void)
{
	struct pw_msg *m = g_new0(struct pw_msg, 1);

	m->ops = &refresh_ops;
	return m;
}

const struct pw_msg_ops pw_confirmation_msg_ops = {
	.name = "confirmation",
	.destroy = plain_destroy,
};

struct pw_msg *pw_confirmation_msg_new(const struct pw_confirmation *c)
{
	struct pw_confirmation_msg *m = g_new0(struct pw_confirmation_msg, 1);

	m->base.ops = &pw_confirmation_msg_ops;
	m->confirmation = *c;
	return &m->base;
}

static void send_catalog(struct catalog_task *c, struct pw_mailbox *to)
{
	struct pw_catalog_msg *m;

	if (!c->catalog)
		return;
	m = g_new0(struct pw_catalog_msg, 1);
	m->base.ops = &pw_catalog_msg_ops;
	m->catalog = pw_catalog_ref(c->catalog);
	pw_mailbox_send(to, &m->base);
}

static void send_servers(struct catalog_task *c, struct pw_mailbox *to)
{
	struct pw_servers_msg *m;

	if (!c->servers)
		return;
	m = g_new0(struct pw_servers_msg, 1);
	m->base.ops = &pw_servers_msg_ops;
	m->servers = pw_server_list_ref(c->servers);
	pw_mailbox_send(to, &m->base);
}

static void publish(struct catalog_task *c,
		    void (*send)(struct catalog_task *c, struct pw_mailbox *to))
{
	const struct pw_directory *d = c->directory;

	send(c, d->cluster);
	send(c, d->admin);
	for (uint32_t i = 0; i < d->gateway_count; i++)
		send(c, d->gateways[i]);
}

static uint64_t now_us(const struct catalog_task *c)
{
	return pw_loop_now_us(c->task.loop);
}

static uint64_t retry_pause_us(uint64_t *backoff_us)
{
	uint64_t half_us;

	*backoff_us = *backoff_us ? MIN(*backoff_us * 2, RETRY_MAX_US) : RETRY_FIRST_US;
	half_us = *backoff_us / 2;
	return half_us + pw_clock_random_bits() % half_us;
}

/* Time of the next read after a state was known to be the newest. */
static uint64_t next_check_us(uint64_t confirmed_us)
{
	return confirmed_us + CHECK_US + pw_clock_random_bits() % CHECK_SPREAD_US;
}

static void ask_catalog(struct catalog_task *c)
{
	const struct pw_store_range req = { .key = c->source->catalog_key };

	if (c->reading_catalog)
		return;
	c->reading_catalog = true;
	c->catalog_asked_us = now_us(c);
	pw_mailbox_send(c->directory->store, pw_store_range_msg_new(c->task.inbox, TAG_CATALOG,
								    PW_STORE_TIMEOUT_US, &req));
}

static void catalog_expire(struct pw_timer *t, uint64_t now)
{
	(void)now;
	ask_catalog(
		(struct catalog_task *)((char *)t - offsetof(struct catalog_task, catalog_timer)));
}

static const struct pw_timer_ops catalog_timer_ops = { .expire = catalog_expire };

static void ask_servers(struct catalog_task *c)
{
	const struct pw_store_range req = {
		.key = c->source->servers_prefix,
		.prefix = true,
		.after = c->read_after,
	};

	c->reading_servers = true;
	c->servers_asked_us = now_us(c);
	pw_mailbox_send(c->directory->store, pw_store_range_msg_new(c->task.inbox, TAG_SERVERS,
								    PW_STORE_TIMEOUT_US, &req));
}

static void servers_expire(struct pw_timer *t, uint64_t now)
{
	struct catalog_task *c =
		(struct catalog_task *)((char *)t - offsetof(struct catalog_task, servers_timer));

	(void)now;
	if (!c->reading_servers)
		ask_servers(c);
}

static const struct pw_timer_ops servers_timer_ops = { .expire = servers_expire };

static void refresh_servers(struct catalog_task *c)
{
	uint64_t due = MAX(c->servers_asked_us + SERVERS_REFRESH_US, now_us(c));

	if (!c->reading_servers && (!c->servers_timer.node || c->servers_timer.due_us > due))
		pw_loop_timer_set(c->task.loop, &c->servers_timer, due);
}

static void adopt_catalog(struct catalog_task *c, const struct pw_store_kv *kv)
{
	struct pw_catalog *next = NULL;
	struct pw_findings *f = NULL;

	pw_findings_new(&f);
	if (c->source->ops->catalog(&next, kv->value, kv->size_bytes, f)) {
		char *report = pw_findings_report(f);

		pw_counter_inc(PW_COUNTER_CONFIG_REJECTED);
		pw_event_log(PW_EVENT_CONFIG_REJECTED, "revision=%" PRId64 " findings=\"%s\"",
			     kv->mod_revision, report);
		g_free(report);
	} else if (c->catalog && next->version <= c->catalog->version) {
		/* A version that is in force is never replaced by an older one. */
		pw_catalog_unref(next);
	} else {
		pw_catalog_unref(c->catalog);
		c->catalog = next;
		pw_counter_inc(PW_COUNTER_CONFIG_APPLIED);
		pw_event_log(PW_EVENT_CONFIG_APPLIED, "revision=%" PRId64 " version=%" PRIu64,
			     kv->mod_revision, next->version);
		publish(c, send_catalog);
	}
	pw_findings_free(f);
}

static void watch_catalog(struct catalog_task *c, int64_t revision)
{
	const struct pw_store_watch req = {
		.key = c->source->catalog_key,
		.start_revision = revision + 1,
	};

	c->watching = true;
	pw_mailbox_send(c->directory->store,
			pw_store_watch_msg_new(c->task.inbox, TAG_CATALOG_WATCH,
					       PW_STORE_TIMEOUT_US, &req));
}

static void tell_confirmed(struct catalog_task *c)
{
	pw_mailbox_send(c->directory->cluster, pw_confirmation_msg_new(&c->confirmed));
}

/* The version in force was the newest at that time. */
static void confirm_catalog(struct catalog_task *c, uint64_t at_us)
{
	if (!c->catalog)
		return;
	c->confirmed.catalog_version = c->catalog->version;
	c->confirmed.catalog_us = at_us;
	pw_loop_timer_set(c->task.loop, &c->catalog_timer, next_check_us(at_us));
	tell_confirmed(c);
}

static void confirm_servers(struct catalog_task *c, uint64_t digest, uint64_t at_us)
{
	c->confirmed.servers_digest = digest;
	c->confirmed.servers_us = at_us;
	pw_loop_timer_set(c->task.loop, &c->servers_timer, next_check_us(at_us));
	tell_confirmed(c);
}

/*
 * Another VM has a newer version. The watch usually brings it a moment later; a VM that the store
 * turns away keeps to its pauses.
 */
static void read_newer_catalog(struct catalog_task *c)
{
	uint64_t due = now_us(c) + PW_WATCH_USUAL_US;

	if (c->reading_catalog || c->catalog_backoff_us)
		return;
	if (!c->watching)
		ask_catalog(c);
	else if (!c->catalog_timer.node || c->catalog_timer.due_us > due)
		pw_loop_timer_set(c->task.loop, &c->catalog_timer, due);
}

/* What another VM has read; a state that is not known here is read at once. */
static void take_confirmation(struct catalog_task *c, const struct pw_confirmation *x)
{
	if (x->catalog_version > c->confirmed.catalog_version) {
		read_newer_catalog(c);
	} else if (x->catalog_version == c->confirmed.catalog_version &&
		   x->catalog_us > c->confirmed.catalog_us) {
		c->confirmed.catalog_us = x->catalog_us;
		tell_confirmed(c);
		if (!c->reading_catalog)
			pw_loop_timer_set(c->task.loop, &c->catalog_timer,
					  next_check_us(x->catalog_us));
	}
	if (x->servers_us <= c->confirmed.servers_us)
		return;
	if (x->servers_digest != c->confirmed.servers_digest) {
		refresh_servers(c);
	} else {
		c->confirmed.servers_us = x->servers_us;
		tell_confirmed(c);
		if (!c->reading_servers)
			pw_loop_timer_set(c->task.loop, &c->servers_timer,
					  next_check_us(x->servers_us));
	}
}

static void take_catalog(struct catalog_task *c, const struct pw_store_result *base)
{
	const struct pw_store_range_result *r = (const struct pw_store_range_result *)base;

	c->reading_catalog = false;
	if (base->code || !r->kv_count) {
		pw_loop_timer_set(c->task.loop, &c->catalog_timer,
				  now_us(c) + retry_pause_us(&c->catalog_backoff_us));
		return;
	}
	c->catalog_backoff_us = 0;
	if (c->confirmed.catalog_us)
		pw_histogram_add(PW_HISTOGRAM_CATALOG_AGE, now_us(c) - c->confirmed.catalog_us);
	adopt_catalog(c, &r->kvs[0]);
	confirm_catalog(c, c->catalog_asked_us);
	if (!c->watching)
		watch_catalog(c, MAX(base->revision, r->kvs[0].mod_revision));
}

static void take_watch(struct catalog_task *c, const struct pw_store_result *base)
{
	const struct pw_store_watch_result *r = (const struct pw_store_watch_result *)base;

	for (size_t i = 0; i < r->event_count; i++) {
		if (r->events[i].kind == PW_STORE_PUT)
			adopt_catalog(c, &r->events[i].kv);
	}
	if (r->event_count && c->catalog)
		confirm_catalog(c, c->confirmed.catalog_us);
	/* The history was dropped, or the store task has started again. */
	if (r->ended) {
		c->watching = false;
		ask_catalog(c);
	}
}

static bool entries_equal(const struct pw_server_entry *a, const struct pw_server_entry *b)
{
	return strcmp(a->id, b->id) == 0 && strcmp(a->group, b->group) == 0 &&
	       strcmp(a->address, b->address) == 0 && a->started_ms == b->started_ms &&
	       a->leaving == b->leaving && a->primary == b->primary && a->slots == b->slots;
}

static bool lists_equal(const struct pw_server_list *a, const struct pw_server_list *b)
{
	if (a->entries->len != b->entries->len)
		return false;
	for (guint i = 0; i < a->entries->len; i++) {
		if (!entries_equal(g_ptr_array_index(a->entries, i),
				   g_ptr_array_index(b->entries, i)))
			return false;
	}
	return true;
}

static struct pw_registry_mark *mark_of(struct catalog_task *c, const char *id)
{
	struct pw_registry_mark *m = g_hash_table_lookup(c->marks, id);

	if (!m) {
		m = g_new0(struct pw_registry_mark, 1);
		g_hash_table_insert(c->marks, g_strdup(id), m);
	}
	return m;
}

static gint compare_entries(gconstpointer a, gconstpointer b)
{
	const struct pw_server_entry *x = *(const struct pw_server_entry *const *)a;
	const struct pw_server_entry *y = *(const struct pw_server_entry *const *)b;

	return strcmp(x->id, y->id);
}

/* Adds the servers whose entries are missing but may come back. Returns whether there are any. */
static bool keep_missing(struct catalog_task *c, struct pw_server_list *next)
{
	bool any = false;

	for (guint i = 0; c->servers && i < c->servers->entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(c->servers->entries, i);
		bool listed = pw_server_list_find(next, e->id) != NULL;

		if (listed)
			continue;
		if (pw_registry_keep(mark_of(c, e->id), false, now_us(c))) {
			g_ptr_array_add(next->entries, pw_server_entry_copy(e));
			any = true;
		} else {
			pw_event_log(PW_EVENT_SERVER_GONE, "group=%s server=%s", e->group, e->id);
			g_hash_table_remove(c->marks, e->id);
		}
	}
	return any;
}

static void adopt_servers(struct catalog_task *c)
{
	struct pw_server_list *next = pw_server_list_new();
	bool missing;

	for (guint i = 0; i < c->read->len; i++) {
		struct pw_server_entry *e = g_ptr_array_index(c->read, i);

		(void)pw_registry_keep(mark_of(c, e->id), true, now_us(c));
		g_ptr_array_add(next->entries, e);
	}
	g_ptr_array_set_size(c->read, 0);
	missing = keep_missing(c, next);
	g_ptr_array_sort(next->entries, compare_entries);
	if (c->servers && lists_equal(c->servers, next)) {
		pw_server_list_unref(next);
	} else {
		pw_server_list_unref(c->servers);
		c->servers = next;
		publish(c, send_servers);
	}
	if (missing)
		refresh_servers(c);
}

/* Number that differs when what matters of the entries does. */
static uint64_t digest_of(const GPtrArray *entries)
{
	GString *text = g_string_new(NULL);
	uint64_t digest;

	for (guint i = 0; i < entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(entries, i);

		g_string_append_printf(text, "%s %s %s %" PRIu64 " %d %d\n", e->id, e->group,
				       e->address, e->started_ms, e->leaving, e->primary);
	}
	digest = pw_directory_peer_number(text->str);
	g_string_free(text, TRUE);
	return digest;
}

static void drop_read(struct catalog_task *c)
{
	for (guint i = 0; i < c->read->len; i++)
		pw_server_entry_free(g_ptr_array_index(c->read, i));
	g_ptr_array_set_size(c->read, 0);
	g_clear_pointer(&c->read_after, g_free);
}

static void take_servers(struct catalog_task *c, const struct pw_store_result *base)
{
	const struct pw_store_range_result *r = (const struct pw_store_range_result *)base;

	c->reading_servers = false;
	if (base->code) {
		drop_read(c);
		pw_loop_timer_set(c->task.loop, &c->servers_timer,
				  now_us(c) + retry_pause_us(&c->servers_backoff_us));
		return;
	}
	c->servers_backoff_us = 0;
	for (size_t i = 0; i < r->kv_count; i++) {
		const struct pw_store_kv *kv = &r->kvs[i];
		struct pw_server_entry *e;

		if (c->source->ops->server(&e, kv->key, kv->value, kv->size_bytes) == PW_OK)
			g_ptr_array_add(c->read, e);
	}
	g_clear_pointer(&c->read_after, g_free);
	if (r->more && r->kv_count) {
		c->read_after = g_strdup(r->kvs[r->kv_count - 1].key);
		ask_servers(c);
		return;
	}
	g_ptr_array_sort(c->read, compare_entries);
	confirm_servers(c, digest_of(c->read), c->servers_asked_us);
	adopt_servers(c);
}

static void take_result(struct catalog_task *c, const struct pw_store_result_msg *m)
{
	switch (m->tag) {
	case TAG_CATALOG:
		take_catalog(c, m->result);
		break;
	case TAG_CATALOG_WATCH:
		take_watch(c, m->result);
		break;
	case TAG_SERVERS:
		take_servers(c, m->result);
		break;
	}
}

static void catalog_receive(struct pw_task *t, struct pw_msg *m)
{
	struct catalog_task *c = (struct catalog_task *)t;

	if (m->ops == &pw_store_result_msg_ops) {
		take_result(c, (struct pw_store_result_msg *)m);
	} else if (m->ops == &ask_ops) {
		struct pw_mailbox *to = ((struct ask_msg *)m)->reply_to;

		send_catalog(c, to);
		send_servers(c, to);
	} else if (m->ops == &refresh_ops) {
		refresh_servers(c);
	} else if (m->ops == &pw_confirmation_msg_ops) {
		take_confirmation(c, &((struct pw_confirmation_msg *)m)->confirmation);
	}
	pw_msg_free(m);
}

static int catalog_start(struct pw_task *t)
{
	struct catalog_task *c = (struct catalog_task *)t;

	c->directory = ((const struct pw_task_args *)t->args)->directory;
	c->source = c->directory->binding->catalog;
	c->marks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->read = g_ptr_array_new();
	c->catalog_timer.ops = &catalog_timer_ops;
	c->servers_timer.ops = &servers_timer_ops;
	ask_catalog(c);
	ask_servers(c);
	return PW_OK;
}

static void catalog_stop(struct pw_task *t)
{
	struct catalog_task *c = (struct catalog_task *)t;

	pw_loop_timer_clear(t->loop, &c->catalog_timer);
	pw_loop_timer_clear(t->loop, &c->servers_timer);
	drop_read(c);
	g_ptr_array_unref(c->read);
	pw_catalog_unref(c->catalog);
	pw_server_list_unref(c->servers);
	g_hash_table_unref(c->marks);
}

const struct pw_task_ops pw_catalog_task_ops = {
	.name = "catalog",
	.size_bytes = sizeof(struct catalog_task),
	.start = catalog_start,
	.receive = catalog_receive,
	.stop = catalog_stop,
};
