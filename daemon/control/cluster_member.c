#include <inttypes.h>
#include <string.h>

#include "cluster_private.h"
#include "pw/core/clock.h"
#include "pw/core/error.h"
#include "pw/core/event.h"

static void set_timer(struct cluster *c, uint64_t after_us)
{
	pw_loop_timer_set(c->task.loop, &c->member_timer, cluster_now_us(c) + after_us);
}

static void retry(struct cluster *c)
{
	set_timer(c, CLUSTER_RETRY_US / 2 + pw_clock_random_bits() % (CLUSTER_RETRY_US / 2));
}

static void ask_primaries(struct cluster *c)
{
	const struct pw_store_range req = { .key = c->primaries_key };

	c->call_sent_us = cluster_now_us(c);
	cluster_store(
		c, pw_store_range_msg_new(c->task.inbox, TAG_PRIMARIES, PW_STORE_TIMEOUT_US, &req));
}

static void ask_members(struct cluster *c)
{
	const struct pw_store_range req = { .key = c->members_prefix, .prefix = true };

	cluster_store(
		c, pw_store_range_msg_new(c->task.inbox, TAG_MEMBERS, PW_STORE_TIMEOUT_US, &req));
}

static void grant(struct cluster *c)
{
	c->lease_id = 0;
	c->registered = false;
	c->permitted = false;
	cluster_store(c, pw_store_lease_grant_msg_new(c->task.inbox, TAG_GRANT, PW_STORE_TIMEOUT_US,
						      MEMBER_TTL_US));
}

static void register_member(struct cluster *c)
{
	const struct pw_process_settings *s = c->directory->settings;
	const struct pw_fleet_member me = {
		.name = s->name,
		.address = s->peer_address,
		.availability_zone = s->availability_zone,
		.incarnation = c->incarnation,
	};
	char *text = pw_fleet_member_encode(&me);
	const struct pw_store_change put = {
		.key = c->member_key,
		.kind = PW_STORE_PUT,
		.value = text,
		.size_bytes = strlen(text),
		.lease_id = c->lease_id,
	};
	const struct pw_store_txn txn = { .changes = &put, .change_count = 1 };

	cluster_store(c,
		      pw_store_txn_msg_new(c->task.inbox, TAG_REGISTER, PW_STORE_TIMEOUT_US, &txn));
	g_free(text);
}

static void keep(struct cluster *c)
{
	if (c->keeping)
		return;
	c->keeping = true;
	c->keep_sent_us = cluster_now_us(c);
	cluster_store(c, pw_store_lease_keep_alive_msg_new(c->task.inbox, TAG_KEEP, KEEP_TIMEOUT_US,
							   c->lease_id));
}

/* The next step towards a permission, or the next renewal. */
static void member_expire(struct pw_timer *t, uint64_t now_us)
{
	struct cluster *c = (struct cluster *)((char *)t - offsetof(struct cluster, member_timer));

	(void)now_us;
	if (c->leaving)
		return;
	if (!c->lease_id)
		grant(c);
	else if (!c->registered)
		register_member(c);
	else if (!c->permitted)
		ask_primaries(c);
	else
		keep(c);
}

static const struct pw_timer_ops member_timer_ops = { .expire = member_expire };

static void members_expire(struct pw_timer *t, uint64_t now_us)
{
	struct cluster *c = (struct cluster *)((char *)t - offsetof(struct cluster, members_timer));

	pw_loop_timer_set(c->task.loop, t,
			  now_us + MAX(MEMBERS_INTERVAL_US, 10 * pulse_pair_us(c)));
	ask_members(c);
}

static const struct pw_timer_ops members_timer_ops = { .expire = members_expire };

static void note_renewal(struct cluster *c, bool ok)
{
	if (c->renewing != ok)
		pw_event_log(ok ? PW_EVENT_PERMIT_ACQUIRED : PW_EVENT_PERMIT_LOST,
			     "lease=%" PRId64 " left_ms=%" PRIu64, c->lease_id,
			     c->permit_until_us > cluster_now_us(c)
				     ? (c->permit_until_us - cluster_now_us(c)) / PW_US_PER_MS
				     : 0);
	c->renewing = ok;
}

static void take_grant(struct cluster *c, const struct pw_store_result *base)
{
	if (base->code) {
		retry(c);
		return;
	}
	c->lease_id = ((const struct pw_store_lease_result *)base)->lease_id;
	register_member(c);
}

static void take_register(struct cluster *c, const struct pw_store_result *base)
{
	if (base->code) {
		/* The lease may have ended, so the next attempt starts with a new one. */
		c->lease_id = 0;
		retry(c);
		return;
	}
	c->registered = true;
	ask_primaries(c);
	pw_loop_timer_set(c->task.loop, &c->members_timer, cluster_now_us(c) + MEMBERS_INTERVAL_US);
	ask_members(c);
}

static void watch_primaries(struct cluster *c, int64_t revision)
{
	const struct pw_store_watch req = {
		.key = c->primaries_key,
		.start_revision = revision + 1,
	};

	c->watching = true;
	cluster_store(c, pw_store_watch_msg_new(c->task.inbox, TAG_PRIMARIES_WATCH,
						PW_STORE_TIMEOUT_US, &req));
}

static void adopt_item(struct cluster *c, const struct pw_store_kv *kv)
{
	struct pw_primaries *p;

	if (pw_primaries_decode(&p, kv->value, kv->size_bytes, kv->mod_revision) == PW_OK)
		cluster_adopt(c, p);
	else
		pw_event_log(PW_EVENT_RECORD_MALFORMED, "key=%s revision=%" PRId64, kv->key,
			     kv->mod_revision);
}

static void take_primaries(struct cluster *c, const struct pw_store_result *base)
{
	const struct pw_store_range_result *r = (const struct pw_store_range_result *)base;

	if (base->code) {
		retry(c);
		return;
	}
	if (r->kv_count)
		adopt_item(c, &r->kvs[0]);
	if (!c->watching)
		watch_primaries(c, MAX(base->revision, r->kv_count ? r->kvs[0].mod_revision : 0));
	c->permitted = true;
	c->permit_until_us = MAX(c->permit_until_us, c->call_sent_us + PW_PERMIT_US);
	note_renewal(c, true);
	cluster_publish(c);
	set_timer(c, PW_PERMIT_RENEW_US);
}

static void take_watch(struct cluster *c, const struct pw_store_result *base)
{
	const struct pw_store_watch_result *r = (const struct pw_store_watch_result *)base;

	for (size_t i = 0; i < r->event_count; i++) {
		if (r->events[i].kind == PW_STORE_PUT)
			adopt_item(c, &r->events[i].kv);
	}
	if (r->ended) {
		/* Changes may have been missed, so the record is read before the next renewal. */
		c->watching = false;
		c->permitted = false;
		set_timer(c, 0);
	}
}

static void take_keep(struct cluster *c, const struct pw_store_result *base)
{
	c->keeping = false;
	if (base->code == PW_ENOTFOUND) {
		note_renewal(c, false);
		grant(c);
		return;
	}
	if (base->code) {
		note_renewal(c, false);
		retry(c);
		return;
	}
	/* A watch that ended meanwhile may have missed a change. */
	if (c->permitted) {
		c->permit_until_us = MAX(c->permit_until_us, c->keep_sent_us + PW_PERMIT_US);
		note_renewal(c, true);
		cluster_publish(c);
	}
	set_timer(c, PW_PERMIT_RENEW_US -
			     MIN(cluster_now_us(c) - c->keep_sent_us, PW_PERMIT_RENEW_US));
}

struct member *member_listed(struct cluster *c, const struct pw_store_kv *kv)
{
	struct pw_fleet_member *e;
	struct member *m;

	if (pw_fleet_member_decode(&e, kv->value, kv->size_bytes))
		return NULL;
	if (strcmp(e->name, c->directory->settings->name) == 0) {
		pw_fleet_member_free(e);
		return NULL;
	}
	m = pulse_member(c, e->name);
	m->listed = true;
	if (!m->heard_us || !m->has_address)
		m->has_address = pw_address_parse(&m->address, e->address) == PW_OK;
	pw_fleet_member_free(e);
	return m;
}

static void take_members(struct cluster *c, const struct pw_store_result *base)
{
	const struct pw_store_range_result *r = (const struct pw_store_range_result *)base;
	GHashTableIter it;
	gpointer item;

	if (base->code)
		return;
	g_hash_table_iter_init(&it, c->members);
	while (g_hash_table_iter_next(&it, NULL, &item))
		((struct member *)item)->listed = false;
	for (size_t i = 0; i < r->kv_count; i++)
		(void)member_listed(c, &r->kvs[i]);
	g_hash_table_iter_init(&it, c->members);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		struct member *m = item;

		if (!m->listed && !pulse_is_live(c, m)) {
			pw_event_log(PW_EVENT_MEMBER_REMOVED, "peer=%s incarnation=%" PRIu64,
				     m->name, m->incarnation);
			g_hash_table_iter_remove(&it);
		}
	}
	pulse_send_all(c);
}

void member_refresh(struct cluster *c)
{
	const struct pw_store_range req = { .key = c->primaries_key };
	uint64_t now = cluster_now_us(c);

	/* A VM that the store turns away keeps to its pauses. */
	if (c->reading || now < c->refresh_due_us)
		return;
	/* The watch usually brings the record a moment later. */
	if (!c->newer_since_us)
		c->newer_since_us = now;
	if (c->watching && now - c->newer_since_us < PW_WATCH_USUAL_US)
		return;
	c->reading = true;
	cluster_store(
		c, pw_store_range_msg_new(c->task.inbox, TAG_REFRESH, PW_STORE_TIMEOUT_US, &req));
}

static void take_refresh(struct cluster *c, const struct pw_store_result *base)
{
	const struct pw_store_range_result *r = (const struct pw_store_range_result *)base;

	c->reading = false;
	c->refresh_due_us = cluster_now_us(c) + (base->code ? CLUSTER_RETRY_US : 0);
	if (base->code == PW_OK && r->kv_count)
		adopt_item(c, &r->kvs[0]);
}

static void take_create(struct cluster *c, const struct pw_store_result *base)
{
	c->creating = false;
	/* After a failure the tick tries again; after a conflict the watch brings the record. */
	if (base->code == PW_OK && !c->primaries)
		ask_primaries(c);
}

void member_create_primaries(struct cluster *c)
{
	struct pw_primaries *p;
	bool added = false;
	char *text;

	if (!c->catalog || !c->servers || !c->permitted || c->creating)
		return;
	p = c->primaries ? pw_primaries_copy(c->primaries) : pw_primaries_new();
	for (guint i = 0; i < c->servers->entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(c->servers->entries, i);

		if (!e->primary || !pw_catalog_group(c->catalog, e->group) ||
		    pw_primaries_find(p, e->group))
			continue;
		pw_primaries_set(p, e->group, e->id, ++p->fence);
		added = true;
	}
	if (added) {
		const struct pw_store_compare compare = {
			.key = c->primaries_key,
			.target = PW_STORE_MOD_REVISION,
			.revision = p->revision,
		};
		struct pw_store_change put = { .key = c->primaries_key, .kind = PW_STORE_PUT };
		const struct pw_store_txn txn = {
			.compares = &compare,
			.compare_count = 1,
			.changes = &put,
			.change_count = 1,
		};

		text = pw_primaries_encode(p);
		put.value = text;
		put.size_bytes = strlen(text);
		c->creating = true;
		cluster_store(c, pw_store_txn_msg_new(c->task.inbox, TAG_CREATE,
						      PW_STORE_TIMEOUT_US, &txn));
		g_free(text);
	}
	pw_primaries_unref(p);
}

void member_leave(struct cluster *c)
{
	c->leaving = true;
	change_leave(c);
	pw_loop_timer_clear(c->task.loop, &c->member_timer);
	pulse_send_all(c);
	if (c->lease_id)
		cluster_store(c, pw_store_lease_revoke_msg_new(c->task.inbox, TAG_LEAVE,
							       PW_STORE_TIMEOUT_US, c->lease_id));
}

void member_result(struct cluster *c, uint64_t tag, struct pw_store_result *r)
{
	switch (tag) {
	case TAG_GRANT:
		take_grant(c, r);
		break;
	case TAG_REGISTER:
		take_register(c, r);
		break;
	case TAG_KEEP:
		take_keep(c, r);
		break;
	case TAG_PRIMARIES:
		take_primaries(c, r);
		break;
	case TAG_PRIMARIES_WATCH:
		take_watch(c, r);
		break;
	case TAG_REFRESH:
		take_refresh(c, r);
		break;
	case TAG_MEMBERS:
		take_members(c, r);
		break;
	case TAG_CREATE:
		take_create(c, r);
		break;
	default:
		break;
	}
}

void member_start(struct cluster *c)
{
	const struct pw_process_settings *s = c->directory->settings;

	c->incarnation = pw_clock_random_bits() >> 1;
	c->members_prefix = g_strdup_printf("pimentowing/%s/members/", s->service);
	c->member_key = g_strconcat(c->members_prefix, s->name, NULL);
	c->primaries_key = g_strdup_printf("pimentowing/%s/primaries", s->service);
	c->member_timer.ops = &member_timer_ops;
	c->members_timer.ops = &members_timer_ops;
	grant(c);
}

void member_stop(struct cluster *c)
{
	pw_loop_timer_clear(c->task.loop, &c->member_timer);
	pw_loop_timer_clear(c->task.loop, &c->members_timer);
	g_free(c->members_prefix);
	g_free(c->member_key);
	g_free(c->primaries_key);
}
