#include "catalog.h"

#include <inttypes.h>
#include <string.h>

#include "../directory.h"
#include "catalog_evacuation.h"
#include "pw/core/clock.h"
#include "pw/core/counter.h"
#include "pw/core/error.h"
#include "pw/core/event.h"
#include "pw/core/histogram.h"
#include "pw/decide/follow.h"
#include "pw/decide/registry.h"
#include "store.h"

/*
 * The catalogue and the servers are read again when no VM of the fleet has read them for this long
 * plus a random part of the jitter, since each call to the store is paid for. A change of the
 * catalogue has to be in force after 4 s, even if the watch misses it. The servers are not watched:
 * each rewrites its entry about once a second, so a watch would deliver events all the time.
 */
#define RECHECK_INTERVAL_US (1600 * PW_US_PER_MS)
#define RECHECK_JITTER_US   (1300 * PW_US_PER_MS)
/*
 * Minimum time from the start of a read of the servers to the next one, if that is requested before
 * it is due.
 */
#define SERVERS_REFRESH_MIN_INTERVAL_US (400 * PW_US_PER_MS)
/* Exponential backoff after failed reads; half of each delay is random. */
#define RETRY_BACKOFF_INITIAL_US (300 * PW_US_PER_MS)
#define RETRY_BACKOFF_MAX_US     (2 * PW_US_PER_S)

/* Half of the longest delay of a read for evacuations that another VM knows. */
#define EVACUATION_FETCH_DELAY_US (200 * PW_US_PER_MS)

/* Maximum number of refused entries of servers that are logged, each once while it is there. */
#define REFUSED_LOGGED_MAX 64

enum store_request_tag {
	TAG_CATALOG,
	TAG_CATALOG_WATCH,
	TAG_EVACUATIONS_WATCH,
	TAG_SERVERS,
};

struct catalog_task {
	struct pw_task task;
	const struct pw_directory *directory;
	const struct pw_catalog_source *source;
	struct pw_catalog *catalog;
	struct pw_server_list *servers;
	struct pw_server_list *published_servers; /**< `servers` with evacuated zones marked */
	struct pw_evacuations *evacuations;
	GHashTable *registry_states; /**< server id -> struct pw_registry_state */
	GPtrArray *entries_read;     /**< struct pw_server_entry of the pages read so far */
	char *last_key_read;         /**< last key of these pages; NULL: at the start */
	GHashTable *refused_keys;    /**< set of logged entries that the last read refused */
	GHashTable *refused_read;    /**< the same for the pages read so far */
	struct pw_timer catalog_timer;
	struct pw_timer servers_timer;
	/** When the first server without an entry ends to be used; UINT64_MAX: all have entries. */
	uint64_t retained_until_us;
	uint64_t servers_requested_us; /**< when the last read was requested */
	uint64_t catalog_requested_us; /**< when the last read was requested */
	uint64_t catalog_backoff_us;   /**< 0: the last read has not failed */
	uint64_t servers_backoff_us;   /**< 0: the last read has not failed */
	struct pw_catalog_freshness freshness;
	struct pw_follow follow;      /**< whether the watch or reads follow the catalogue */
	uint32_t vm_count;            /**< of the fleet, this VM included; 0: not known yet */
	size_t catalog_bytes;         /**< size of the catalogue that was last read */
	size_t servers_bytes;         /**< size of the entries that were last read */
	size_t servers_read_bytes;    /**< of the pages read so far */
	uint64_t fetched_version;     /**< newest version for which a read was scheduled */
	int64_t operator_revision;    /**< of the last read, as of its first page */
	char *last_operator_key_read; /**< last key of the pages read so far; NULL: at the start */
	bool reading_servers;
	bool reading_catalog;
	bool catalog_read; /**< the pages read so far include the catalogue */
	bool watching_catalog;
	bool watching_evacuations; /**< alone, since the catalogue is not watched */
};

struct catalog_request_msg {
	struct pw_msg base;
	struct pw_mailbox *reply_to;
};

/* Destroys a message that owns no other memory. */
static void shallow_destroy(struct pw_msg *m)
{
	g_free(m);
}

static const struct pw_msg_ops catalog_request_ops = { .name = "catalog_ask",
						       .destroy = shallow_destroy };
static const struct pw_msg_ops servers_refresh_ops = {
	.name = "servers_refresh",
	.destroy = shallow_destroy,
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

struct pw_msg *pw_catalog_request_msg(struct pw_mailbox *reply_to)
{
	struct catalog_request_msg *m = g_new0(struct catalog_request_msg, 1);

	m->base.ops = &catalog_request_ops;
	m->reply_to = reply_to;
	return &m->base;
}

struct pw_msg *pw_servers_refresh_msg(void)
{
	struct pw_msg *m = g_new0(struct pw_msg, 1);

	m->ops = &servers_refresh_ops;
	return m;
}

const struct pw_msg_ops pw_catalog_freshness_msg_ops = {
	.name = "confirmation",
	.destroy = shallow_destroy,
};

struct pw_msg *pw_catalog_freshness_msg_new(const struct pw_catalog_freshness *freshness,
					    bool is_own_read)
{
	struct pw_catalog_freshness_msg *m = g_new0(struct pw_catalog_freshness_msg, 1);

	m->base.ops = &pw_catalog_freshness_msg_ops;
	m->freshness = *freshness;
	m->is_own_read = is_own_read;
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

	if (!c->published_servers)
		return;
	m = g_new0(struct pw_servers_msg, 1);
	m->base.ops = &pw_servers_msg_ops;
	m->servers = pw_server_list_ref(c->published_servers);
	pw_mailbox_send(to, &m->base);
}

static void publish_to_all(struct catalog_task *c,
			   void (*send)(struct catalog_task *c, struct pw_mailbox *to))
{
	const struct pw_directory *d = c->directory;

	send(c, d->cluster);
	send(c, d->admin);
	for (uint32_t i = 0; i < d->gateway_count; i++)
		send(c, d->gateways[i]);
}

static uint64_t catalog_now_us(const struct catalog_task *c)
{
	return pw_loop_now_us(c->task.loop);
}

/* Doubles the backoff, up to its maximum. Returns a delay between half of it and all of it. */
static uint64_t next_retry_delay_us(uint64_t *backoff_us)
{
	uint64_t half_us;

	*backoff_us =
		*backoff_us ? MIN(*backoff_us * 2, RETRY_BACKOFF_MAX_US) : RETRY_BACKOFF_INITIAL_US;
	half_us = *backoff_us / 2;
	return half_us + pw_clock_random_u64() % half_us;
}

/* Returns when the next read is due after a state was known to be the newest at `fresh_us`. */
static uint64_t next_recheck_us(uint64_t fresh_us)
{
	return fresh_us + RECHECK_INTERVAL_US + pw_clock_random_u64() % RECHECK_JITTER_US;
}

/* Whether evacuations of availability zones are followed. */
static bool follows_evacuations(const struct catalog_task *c)
{
	return pw_evacuations_are_followed(c->evacuations);
}

/* Requests the catalogue, or a page of what operators have written, which includes it. */
static void send_catalog_request(struct catalog_task *c)
{
	const struct pw_store_range key = { .key = c->source->catalog_key };
	const struct pw_store_range prefix = {
		.key = c->source->operator_prefix,
		.prefix = true,
		.allow_malformed = true,
		.after_key = c->last_operator_key_read,
	};
	const struct pw_store_range req = follows_evacuations(c) ? prefix : key;

	c->reading_catalog = true;
	pw_mailbox_send(c->directory->store,
			pw_store_range_msg_new(c->task.inbox, TAG_CATALOG,
					       pw_follow_timeout_us(&c->follow), &req));
}

static void request_catalog(struct catalog_task *c)
{
	if (c->reading_catalog)
		return;
	c->catalog_requested_us = catalog_now_us(c);
	c->catalog_read = false;
	send_catalog_request(c);
}

static void catalog_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	(void)now_us;
	request_catalog(
		(struct catalog_task *)((char *)t - offsetof(struct catalog_task, catalog_timer)));
}

static const struct pw_timer_ops catalog_timer_ops = { .expire = catalog_timer_expired };

static void request_servers(struct catalog_task *c)
{
	const struct pw_store_range req = {
		.key = c->source->servers_prefix,
		.prefix = true,
		.allow_malformed = true,
		.after_key = c->last_key_read,
	};

	c->reading_servers = true;
	c->servers_requested_us = catalog_now_us(c);
	pw_mailbox_send(
		c->directory->store,
		pw_store_range_msg_new(c->task.inbox, TAG_SERVERS, PW_STORE_CALL_TIMEOUT_US, &req));
}

static void servers_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct catalog_task *c =
		(struct catalog_task *)((char *)t - offsetof(struct catalog_task, servers_timer));

	(void)now_us;
	if (!c->reading_servers)
		request_servers(c);
}

static const struct pw_timer_ops servers_timer_ops = { .expire = servers_timer_expired };

static uint64_t random_part(uint64_t spread_us)
{
	return spread_us ? pw_clock_random_u64() % spread_us : 0;
}

/*
 * Schedules a read of the servers as soon as SERVERS_REFRESH_MIN_INTERVAL_US allows. The VMs of a
 * fleet have reason to read at the same time, for example when a server fails, so they spread their
 * reads. One that hears of another VM's read meanwhile needs none of its own.
 */
static void schedule_servers_refresh(struct catalog_task *c)
{
	uint64_t spread_us = pw_follow_spread_us(c->servers_bytes, c->vm_count);
	uint64_t due_us =
		MAX(c->servers_requested_us + MAX(SERVERS_REFRESH_MIN_INTERVAL_US, spread_us),
		    catalog_now_us(c)) +
		random_part(spread_us);

	if (!c->reading_servers && (!c->servers_timer.node || c->servers_timer.due_us > due_us))
		pw_loop_timer_set(c->task.loop, &c->servers_timer, due_us);
}

/*
 * Publishes the catalogue if it is valid and newer than the one in force.
 *
 * @param watched the watch has delivered it, not a read
 * @return whether it is valid
 */
static bool apply_catalog(struct catalog_task *c, const struct pw_store_kv *kv, bool watched)
{
	struct pw_catalog *next = NULL;
	struct pw_findings *f = NULL;
	bool is_valid;

	pw_findings_new(&f);
	is_valid = !c->source->ops->decode_catalog(&next, kv->value, kv->size_bytes, f);
	if (!is_valid) {
		char *report = pw_findings_format(f);

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
		pw_event_log(PW_EVENT_CONFIG_APPLIED,
			     "revision=%" PRId64 " version=%" PRIu64 " size_bytes=%zu watched=%d",
			     kv->mod_revision, next->version, kv->size_bytes, watched);
		publish_to_all(c, send_catalog);
	}
	pw_findings_free(f);
	return is_valid;
}

/* Time over which the VMs of the fleet spread their reads of a new catalogue. */
static uint64_t catalog_spread_us(const struct catalog_task *c)
{
	return pw_follow_spread_us(c->catalog_bytes, c->vm_count);
}

/*
 * Whether the catalogue is watched. A watch delivers each version to all VMs at the same moment, so
 * a large fleet reads a large catalogue in turn instead: one of the VMs soon reads a new version
 * and tells the others.
 */
static bool may_watch(const struct catalog_task *c)
{
	return catalog_spread_us(c) <= PW_FOLLOW_WATCH_SPREAD_MAX_US;
}

static void watch_catalog(struct catalog_task *c, int64_t revision)
{
	const struct pw_store_watch req = {
		.key = follows_evacuations(c) ? c->source->operator_prefix : c->source->catalog_key,
		.prefix = follows_evacuations(c),
		.allow_malformed = follows_evacuations(c),
		.start_revision = revision + 1,
	};

	c->watching_catalog = true;
	pw_mailbox_send(c->directory->store,
			pw_store_watch_msg_new(c->task.inbox, TAG_CATALOG_WATCH,
					       PW_STORE_CALL_TIMEOUT_US, &req));
}

/* Watches the evacuations alone while the catalogue is too large to be watched. */
static void watch_evacuations(struct catalog_task *c, int64_t revision)
{
	const struct pw_store_watch req = {
		.key = c->source->evacuations_prefix,
		.prefix = true,
		.allow_malformed = true,
		.start_revision = revision + 1,
	};

	if (!follows_evacuations(c) || c->watching_evacuations)
		return;
	c->watching_evacuations = true;
	pw_mailbox_send(c->directory->store,
			pw_store_watch_msg_new(c->task.inbox, TAG_EVACUATIONS_WATCH,
					       PW_STORE_CALL_TIMEOUT_US, &req));
}

static void end_evacuations_watch(struct catalog_task *c)
{
	if (!c->watching_evacuations)
		return;
	c->watching_evacuations = false;
	pw_mailbox_send(c->directory->store,
			pw_store_unwatch_msg_new(c->task.inbox, TAG_EVACUATIONS_WATCH));
}

/*
 * Returns when to read a change that is being made. A random part spreads the reads of the VMs,
 * which learn of a change at the same time.
 */
static uint64_t next_following_read_us(const struct catalog_task *c)
{
	uint64_t interval_us = pw_follow_interval_us(&c->follow);

	return catalog_now_us(c) + interval_us + pw_clock_random_u64() % (interval_us / 4);
}

/* Schedules the next read that follows the catalogue in place of the watch. */
static void schedule_following_read(struct catalog_task *c)
{
	pw_loop_timer_set(c->task.loop, &c->catalog_timer, next_following_read_us(c));
}

static void end_watch(struct catalog_task *c)
{
	c->watching_catalog = false;
	pw_mailbox_send(c->directory->store,
			pw_store_unwatch_msg_new(c->task.inbox, TAG_CATALOG_WATCH));
}

static void send_freshness(struct catalog_task *c, bool is_own_read)
{
	pw_mailbox_send(c->directory->cluster,
			pw_catalog_freshness_msg_new(&c->freshness, is_own_read));
}

/* Records that the version in force was the newest one at that time. */
static void set_catalog_fresh(struct catalog_task *c, uint64_t at_us)
{
	if (!c->catalog)
		return;
	c->freshness.catalog_version = c->catalog->version;
	c->freshness.catalog_fresh_us = at_us;
	pw_loop_timer_set(c->task.loop, &c->catalog_timer, next_recheck_us(at_us));
	send_freshness(c, true);
}

/* Records that the servers had this digest at that time. */
static void set_servers_fresh(struct catalog_task *c, uint64_t digest, uint64_t at_us)
{
	c->freshness.servers_digest = digest;
	c->freshness.servers_fresh_us = at_us;
	pw_loop_timer_set(c->task.loop, &c->servers_timer, next_recheck_us(at_us));
	send_freshness(c, true);
}

/*
 * Gets a newer catalogue that another VM has. While the catalogue is watched, the read is delayed,
 * since the watch usually brings the new version, but takes its time for a large one: a read would
 * transfer it twice. Otherwise the VMs of a large fleet spread their reads. Reads that follow the
 * catalogue keep their interval, and after failed reads the backoff is kept.
 */
static void fetch_newer_catalog(struct catalog_task *c, uint64_t version)
{
	uint64_t spread_us = catalog_spread_us(c), due_us;

	if (c->reading_catalog || c->catalog_backoff_us || c->follow.by_reads ||
	    version <= c->fetched_version)
		return;
	c->fetched_version = version;
	due_us = c->watching_catalog ? next_following_read_us(c)
				     : catalog_now_us(c) + random_part(spread_us);
	if (!c->watching_catalog && !spread_us)
		request_catalog(c);
	else if (!c->catalog_timer.node || c->catalog_timer.due_us > due_us)
		pw_loop_timer_set(c->task.loop, &c->catalog_timer, due_us);
}

/* Whether a VM that has read the evacuations later than this one knows others. */
static bool has_other_evacuations(const struct catalog_task *c,
				  const struct pw_catalog_freshness *remote)
{
	return follows_evacuations(c) && remote->catalog_version == c->freshness.catalog_version &&
	       remote->evacuations_digest != c->freshness.evacuations_digest &&
	       remote->catalog_fresh_us > c->freshness.catalog_fresh_us;
}

/* Reads the evacuations soon; the watch usually brings them, so the read is not immediate. */
static void fetch_evacuations(struct catalog_task *c)
{
	uint64_t due_us = catalog_now_us(c) + EVACUATION_FETCH_DELAY_US +
			  random_part(EVACUATION_FETCH_DELAY_US);

	if (!c->reading_catalog && !c->catalog_backoff_us &&
	    (!c->catalog_timer.node || c->catalog_timer.due_us > due_us))
		pw_loop_timer_set(c->task.loop, &c->catalog_timer, due_us);
}

/*
 * Handles what another VM has read. If this VM has the same catalogue or servers, they count as
 * read at that time, which postpones this VM's own read; if the other VM has newer ones, this VM
 * reads them soon.
 */
static void handle_remote_freshness(struct catalog_task *c,
				    const struct pw_catalog_freshness *remote)
{
	if (remote->catalog_version > c->freshness.catalog_version) {
		fetch_newer_catalog(c, remote->catalog_version);
	} else if (has_other_evacuations(c, remote)) {
		fetch_evacuations(c);
	} else if (remote->catalog_version == c->freshness.catalog_version &&
		   remote->catalog_fresh_us > c->freshness.catalog_fresh_us) {
		c->freshness.catalog_fresh_us = remote->catalog_fresh_us;
		send_freshness(c, false);
		/* A read of a newer version, which is scheduled already, is not postponed. */
		if (!c->reading_catalog && !c->follow.by_reads &&
		    c->fetched_version <= c->freshness.catalog_version)
			pw_loop_timer_set(c->task.loop, &c->catalog_timer,
					  next_recheck_us(remote->catalog_fresh_us));
	}
	if (remote->servers_fresh_us <= c->freshness.servers_fresh_us)
		return;
	if (remote->servers_digest != c->freshness.servers_digest) {
		schedule_servers_refresh(c);
	} else {
		c->freshness.servers_fresh_us = remote->servers_fresh_us;
		send_freshness(c, false);
		/* The other VM may use a server without an entry for longer than this one. */
		if (!c->reading_servers)
			pw_loop_timer_set(c->task.loop, &c->servers_timer,
					  MIN(next_recheck_us(remote->servers_fresh_us),
					      c->retained_until_us));
	}
}

/*
 * Publishes the servers, those of evacuated zones marked as leaving, once both the servers and the
 * evacuations were read.
 */
static void publish_servers(struct catalog_task *c)
{
	if (!c->servers || !pw_evacuations_are_known(c->evacuations))
		return;
	pw_server_list_unref(c->published_servers);
	c->published_servers = pw_evacuations_mark(c->evacuations, c->servers);
	publish_to_all(c, send_servers);
}

static void publish_evacuations(struct catalog_task *c)
{
	c->freshness.evacuations_digest = pw_evacuations_digest(c->evacuations);
	publish_servers(c);
}

static void apply_read_evacuations(struct catalog_task *c)
{
	const struct pw_evacuations_source from = {
		.servers = c->servers,
		.now_us = catalog_now_us(c),
		.known_us = c->freshness.catalog_fresh_us,
		.revision = c->operator_revision,
	};

	if (pw_evacuations_apply_read(c->evacuations, &from))
		publish_evacuations(c);
}

static void apply_watched_evacuations(struct catalog_task *c, const struct pw_store_watch_result *r)
{
	/* The watch reports an evacuation at once. */
	const struct pw_evacuations_source from = {
		.servers = c->servers,
		.now_us = catalog_now_us(c),
		.known_us = catalog_now_us(c),
	};

	if (pw_evacuations_apply_watched(c->evacuations, r, &from))
		publish_evacuations(c);
}

/* Collects the evacuated zones of a page. Returns the catalogue if it is on the page. */
static const struct pw_store_kv *collect_operator_items(struct catalog_task *c,
							const struct pw_store_range_result *r)
{
	const struct pw_store_kv *catalog = NULL;

	for (size_t i = 0; i < r->kv_count; i++) {
		const struct pw_store_kv *kv = &r->kvs[i];

		if (strcmp(kv->key, c->source->catalog_key) == 0 && kv->value)
			catalog = kv;
		pw_evacuations_collect(c->evacuations, kv);
	}
	return catalog;
}

/* Whether another page of the read follows; requests it. */
static bool request_next_page(struct catalog_task *c, const struct pw_store_range_result *r)
{
	g_clear_pointer(&c->last_operator_key_read, g_free);
	if (!follows_evacuations(c) || !r->has_more || !r->kv_count)
		return false;
	c->last_operator_key_read = g_strdup(r->kvs[r->kv_count - 1].key);
	send_catalog_request(c);
	return true;
}

static void handle_catalog_result(struct catalog_task *c, const struct pw_store_result *base)
{
	const struct pw_store_range_result *r = (const struct pw_store_range_result *)base;
	uint64_t now_us = catalog_now_us(c), former_version = c->freshness.catalog_version;
	const struct pw_store_kv *kv = base->code ? NULL : collect_operator_items(c, r);
	bool watch;

	c->reading_catalog = false;
	if (base->code == PW_ETIMEOUT)
		pw_follow_handle_timeout(&c->follow);
	if (!c->last_operator_key_read)
		c->operator_revision = base->revision;
	if (kv) {
		c->catalog_read = true;
		c->catalog_bytes = kv->size_bytes;
		c->operator_revision = MAX(c->operator_revision, kv->mod_revision);
		(void)apply_catalog(c, kv, false);
	}
	if (!base->code && request_next_page(c, r))
		return;
	if (base->code || !c->catalog_read) {
		pw_evacuations_discard(c->evacuations);
		g_clear_pointer(&c->last_operator_key_read, g_free);
		pw_loop_timer_set(c->task.loop, &c->catalog_timer,
				  now_us + next_retry_delay_us(&c->catalog_backoff_us));
		return;
	}
	c->catalog_backoff_us = 0;
	if (c->freshness.catalog_fresh_us)
		pw_histogram_add(PW_HISTOGRAM_CATALOG_AGE, now_us - c->freshness.catalog_fresh_us);
	apply_read_evacuations(c);
	set_catalog_fresh(c, c->catalog_requested_us);
	watch = pw_follow_handle_read(&c->follow, c->freshness.catalog_version > former_version,
				      now_us - c->catalog_requested_us, now_us);
	if (!watch)
		schedule_following_read(c);
	else if (c->watching_catalog && !may_watch(c))
		end_watch(c);
	else if (!c->watching_catalog && may_watch(c))
		watch_catalog(c, c->operator_revision);
	if (c->watching_catalog)
		end_evacuations_watch(c);
	else
		watch_evacuations(c, c->operator_revision);
}

static bool is_catalog_event(const struct catalog_task *c, const struct pw_store_event *e)
{
	return e->kind == PW_STORE_PUT && e->kv.value &&
	       strcmp(e->kv.key, c->source->catalog_key) == 0;
}

static uint32_t count_catalog_events(const struct catalog_task *c,
				     const struct pw_store_watch_result *r)
{
	uint32_t count = 0;

	for (size_t i = 0; i < r->event_count; i++)
		count += is_catalog_event(c, &r->events[i]);
	return count;
}

/* Handles an update of the watch of the evacuations alone. */
static void handle_evacuations_watch_result(struct catalog_task *c,
					    const struct pw_store_result *base)
{
	const struct pw_store_watch_result *r = (const struct pw_store_watch_result *)base;

	if (!c->watching_evacuations)
		return;
	apply_watched_evacuations(c, r);
	if (r->event_count)
		send_freshness(c, false);
	if (r->is_last) {
		c->watching_evacuations = false;
		request_catalog(c);
	}
}

static void handle_watch_result(struct catalog_task *c, const struct pw_store_result *base)
{
	const struct pw_store_watch_result *r = (const struct pw_store_watch_result *)base;
	uint32_t version_count = count_catalog_events(c, r);
	bool by_reads = pw_follow_handle_watched(&c->follow, version_count, r->transfer_us,
						 catalog_now_us(c)) &&
			!r->is_last;

	apply_watched_evacuations(c, r);

	/* The watch ends before the versions are parsed, since its next request follows soon. */
	if (by_reads) {
		end_watch(c);
		watch_evacuations(c, base->revision);
	}
	/* Of several versions, only the newest valid one is applied: each costs processor time. */
	for (size_t i = r->event_count; i-- > 0;) {
		if (is_catalog_event(c, &r->events[i]) && apply_catalog(c, &r->events[i].kv, true))
			break;
	}
	/* Records the version. The time stays, since only a read shows that no newer one exists. */
	if (r->event_count && c->catalog)
		set_catalog_fresh(c, c->freshness.catalog_fresh_us);
	if (by_reads && !c->reading_catalog)
		schedule_following_read(c);
	/* A watch ends when the history was compacted or the store task was restarted. */
	if (r->is_last) {
		c->watching_catalog = false;
		request_catalog(c);
	}
}

static bool server_entries_equal(const struct pw_server_entry *a, const struct pw_server_entry *b)
{
	return strcmp(a->id, b->id) == 0 && strcmp(a->group, b->group) == 0 &&
	       strcmp(a->address, b->address) == 0 &&
	       strcmp(a->availability_zone, b->availability_zone) == 0 &&
	       a->started_ms == b->started_ms && a->leaving == b->leaving &&
	       a->claims_primary == b->claims_primary && a->slots == b->slots;
}

static bool server_lists_equal(const struct pw_server_list *a, const struct pw_server_list *b)
{
	if (a->entries->len != b->entries->len)
		return false;
	for (guint i = 0; i < a->entries->len; i++) {
		if (!server_entries_equal(g_ptr_array_index(a->entries, i),
					  g_ptr_array_index(b->entries, i)))
			return false;
	}
	return true;
}

static struct pw_registry_state *get_registry_state(struct catalog_task *c, const char *id)
{
	struct pw_registry_state *s = g_hash_table_lookup(c->registry_states, id);

	if (!s) {
		s = g_new0(struct pw_registry_state, 1);
		g_hash_table_insert(c->registry_states, g_strdup(id), s);
	}
	return s;
}

static gint compare_entry_ids(gconstpointer a, gconstpointer b)
{
	const struct pw_server_entry *x = *(const struct pw_server_entry *const *)a;
	const struct pw_server_entry *y = *(const struct pw_server_entry *const *)b;

	return strcmp(x->id, y->id);
}

/*
 * Adds the servers whose entries are missing but may be written again, see pw/decide/registry.h.
 */
static void retain_missing_servers(struct catalog_task *c, struct pw_server_list *next)
{
	c->retained_until_us = UINT64_MAX;
	for (guint i = 0; c->servers && i < c->servers->entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(c->servers->entries, i);
		struct pw_registry_state *state;

		if (pw_server_list_find(next, e->id))
			continue;
		state = get_registry_state(c, e->id);
		if (pw_registry_update(state, false, catalog_now_us(c))) {
			g_ptr_array_add(next->entries, pw_server_entry_copy(e));
			c->retained_until_us =
				MIN(c->retained_until_us,
				    state->missing_since_us + PW_REGISTRY_GRACE_PERIOD_US);
		} else {
			pw_event_log(PW_EVENT_SERVER_GONE, "group=%s server=%s", e->group, e->id);
			g_hash_table_remove(c->registry_states, e->id);
		}
	}
}

/* Publishes the list of servers, now that all pages are read, if it differs from the last one. */
static void apply_servers(struct catalog_task *c)
{
	struct pw_server_list *next = pw_server_list_new();

	for (guint i = 0; i < c->entries_read->len; i++) {
		struct pw_server_entry *e = g_ptr_array_index(c->entries_read, i);

		(void)pw_registry_update(get_registry_state(c, e->id), true, catalog_now_us(c));
		g_ptr_array_add(next->entries, e);
	}
	g_ptr_array_set_size(c->entries_read, 0);
	retain_missing_servers(c, next);
	g_ptr_array_sort(next->entries, compare_entry_ids);
	if (c->servers && server_lists_equal(c->servers, next)) {
		pw_server_list_unref(next);
	} else {
		pw_server_list_unref(c->servers);
		c->servers = next;
		publish_servers(c);
	}
	if (c->retained_until_us != UINT64_MAX)
		schedule_servers_refresh(c);
}

/* Returns a digest of the entries, by which VMs tell whether they have the same servers. */
static uint64_t compute_servers_digest(const GPtrArray *entries)
{
	GString *text = g_string_new(NULL);
	uint64_t digest;

	for (guint i = 0; i < entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(entries, i);

		g_string_append_printf(text, "%s %s %s %s %" PRIu64 " %d %d\n", e->id, e->group,
				       e->address, e->availability_zone, e->started_ms, e->leaving,
				       e->claims_primary);
	}
	digest = pw_directory_name_hash(text->str);
	g_string_free(text, TRUE);
	return digest;
}

static GHashTable *key_set_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void discard_read_entries(struct catalog_task *c)
{
	for (guint i = 0; i < c->entries_read->len; i++)
		pw_server_entry_free(g_ptr_array_index(c->entries_read, i));
	g_ptr_array_set_size(c->entries_read, 0);
	g_clear_pointer(&c->last_key_read, g_free);
	g_hash_table_remove_all(c->refused_read);
}

/* Counts an entry that does not describe a server, and logs it unless the last read refused it. */
static void record_refused_entry(struct catalog_task *c, const struct pw_store_kv *kv)
{
	pw_counter_inc(PW_COUNTER_SERVER_ENTRIES_REFUSED);
	if (g_hash_table_size(c->refused_read) >= REFUSED_LOGGED_MAX)
		return;
	if (!g_hash_table_contains(c->refused_keys, kv->key))
		pw_event_log(PW_EVENT_ENTRY_REFUSED,
			     "revision=%" PRId64 " error=\"%s\" key=\"%.200s\"", kv->mod_revision,
			     pw_error_message(), kv->key);
	g_hash_table_add(c->refused_read, g_strdup(kv->key));
}

static void handle_servers_result(struct catalog_task *c, const struct pw_store_result *base)
{
	const struct pw_store_range_result *r = (const struct pw_store_range_result *)base;

	c->reading_servers = false;
	if (base->code) {
		discard_read_entries(c);
		c->servers_read_bytes = 0;
		pw_loop_timer_set(c->task.loop, &c->servers_timer,
				  catalog_now_us(c) + next_retry_delay_us(&c->servers_backoff_us));
		return;
	}
	c->servers_backoff_us = 0;
	for (size_t i = 0; i < r->kv_count; i++) {
		const struct pw_store_kv *kv = &r->kvs[i];
		struct pw_server_entry *e;

		c->servers_read_bytes += kv->size_bytes + strlen(kv->key);
		pw_counter_add(PW_COUNTER_STORE_BYTES_SERVERS, kv->size_bytes + strlen(kv->key));

		if (c->source->ops->decode_server_entry(&e, kv->key, kv->value, kv->size_bytes) ==
		    PW_OK)
			g_ptr_array_add(c->entries_read, e);
		else
			record_refused_entry(c, kv);
	}
	g_clear_pointer(&c->last_key_read, g_free);
	if (r->has_more && r->kv_count) {
		c->last_key_read = g_strdup(r->kvs[r->kv_count - 1].key);
		request_servers(c);
		return;
	}
	c->servers_bytes = c->servers_read_bytes;
	c->servers_read_bytes = 0;
	g_hash_table_unref(c->refused_keys);
	c->refused_keys = g_steal_pointer(&c->refused_read);
	c->refused_read = key_set_new();
	g_ptr_array_sort(c->entries_read, compare_entry_ids);
	set_servers_fresh(c, compute_servers_digest(c->entries_read), c->servers_requested_us);
	apply_servers(c);
}

static void handle_store_result(struct catalog_task *c, const struct pw_store_result_msg *m)
{
	switch (m->tag) {
	case TAG_CATALOG:
		handle_catalog_result(c, m->result);
		break;
	case TAG_CATALOG_WATCH:
		handle_watch_result(c, m->result);
		break;
	case TAG_EVACUATIONS_WATCH:
		handle_evacuations_watch_result(c, m->result);
		break;
	case TAG_SERVERS:
		handle_servers_result(c, m->result);
		break;
	}
}

static void catalog_receive(struct pw_task *t, struct pw_msg *m)
{
	struct catalog_task *c = (struct catalog_task *)t;

	if (m->ops == &pw_store_result_msg_ops) {
		handle_store_result(c, (struct pw_store_result_msg *)m);
	} else if (m->ops == &catalog_request_ops) {
		struct pw_mailbox *to = ((struct catalog_request_msg *)m)->reply_to;

		send_catalog(c, to);
		send_servers(c, to);
	} else if (m->ops == &servers_refresh_ops) {
		schedule_servers_refresh(c);
	} else if (m->ops == &pw_catalog_freshness_msg_ops) {
		const struct pw_catalog_freshness_msg *f = (struct pw_catalog_freshness_msg *)m;

		c->vm_count = f->vm_count;
		if (c->watching_catalog && !may_watch(c)) {
			end_watch(c);
			watch_evacuations(c, c->operator_revision);
		}
		handle_remote_freshness(c, &f->freshness);
	}
	pw_msg_free(m);
}

static int catalog_start(struct pw_task *t)
{
	struct catalog_task *c = (struct catalog_task *)t;

	c->directory = ((const struct pw_task_args *)t->args)->directory;
	c->source = c->directory->binding->catalog;
	c->registry_states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->entries_read = g_ptr_array_new();
	c->refused_keys = key_set_new();
	c->refused_read = key_set_new();
	c->evacuations = pw_evacuations_new(c->directory, c->source);
	c->retained_until_us = UINT64_MAX;
	c->catalog_timer.ops = &catalog_timer_ops;
	c->servers_timer.ops = &servers_timer_ops;
	request_catalog(c);
	request_servers(c);
	return PW_OK;
}

static void catalog_stop(struct pw_task *t)
{
	struct catalog_task *c = (struct catalog_task *)t;

	pw_loop_timer_clear(t->loop, &c->catalog_timer);
	pw_loop_timer_clear(t->loop, &c->servers_timer);
	discard_read_entries(c);
	g_ptr_array_unref(c->entries_read);
	g_hash_table_unref(c->refused_keys);
	g_hash_table_unref(c->refused_read);
	pw_catalog_unref(c->catalog);
	pw_server_list_unref(c->servers);
	pw_server_list_unref(c->published_servers);
	pw_evacuations_free(c->evacuations);
	g_free(c->last_operator_key_read);
	g_hash_table_unref(c->registry_states);
}

const struct pw_task_ops pw_catalog_task_ops = {
	.name = "catalog",
	.size_bytes = sizeof(struct catalog_task),
	.start = catalog_start,
	.receive = catalog_receive,
	.stop = catalog_stop,
};
