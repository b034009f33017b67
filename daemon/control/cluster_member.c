#include <inttypes.h>
#include <string.h>

#include "cluster_private.h"
#include "pw/core/clock.h"
#include "pw/core/counter.h"
#include "pw/core/error.h"
#include "pw/core/event.h"
#include "pw/decide/follow.h"

/* Schedules the next step towards a permit, or the next renewal. */
static void set_permit_timer(struct cluster *c, uint64_t after_us)
{
	if (c->leaving)
		return;
	pw_loop_timer_set(c->task.loop, &c->permit_timer, cluster_now_us(c) + after_us);
}

static void schedule_retry(struct cluster *c)
{
	set_permit_timer(c, CLUSTER_RETRY_DELAY_US / 2 +
				    pw_clock_random_u64() % (CLUSTER_RETRY_DELAY_US / 2));
}

static void request_primaries(struct cluster *c)
{
	const struct pw_store_range req = { .key = c->primaries_key };

	c->primaries_read_sent_us = cluster_now_us(c);
	cluster_send_to_store(c, pw_store_range_msg_new(c->task.inbox, TAG_PRIMARIES_READ,
							PW_STORE_CALL_TIMEOUT_US, &req));
}

static void request_members_page(struct cluster *c)
{
	const struct pw_store_range req = {
		.key = c->members_prefix,
		.prefix = true,
		.after_key = c->last_member_key,
	};

	cluster_send_to_store(c, pw_store_range_msg_new(c->task.inbox, TAG_MEMBERS_READ,
							PW_STORE_CALL_TIMEOUT_US, &req));
}

/* Starts a read of all members, page by page, unless one is in progress. */
static void request_members(struct cluster *c)
{
	GHashTableIter it;
	gpointer item;

	if (c->members_read_pending)
		return;
	c->members_read_pending = true;
	g_hash_table_iter_init(&it, c->members);
	while (g_hash_table_iter_next(&it, NULL, &item))
		((struct member *)item)->listed = false;
	request_members_page(c);
}

/* Schedules the next read of all members, whose interval depends on how many are known now. */
static void schedule_members_read(struct cluster *c)
{
	uint64_t interval_us = MAX(MEMBERS_READ_INTERVAL_US,
				   MEMBERS_READ_PULSE_INTERVALS * pulse_member_interval_us(c));

	pw_loop_timer_set(c->task.loop, &c->member_list_timer,
			  cluster_now_us(c) +
				  pw_follow_next_periodic_us(interval_us, pw_clock_random_u64()));
}

static void end_members_read(struct cluster *c)
{
	c->members_read_pending = false;
	g_clear_pointer(&c->last_member_key, g_free);
	schedule_members_read(c);
}

/* Starts over with a new lease, under which the member is then registered. */
static void request_lease(struct cluster *c)
{
	c->lease_id = 0;
	c->lease_without_permit = true;
	c->entry_revision = 0;
	c->registered = false;
	c->primaries_current = false;
	c->registration_pending = true;
	cluster_send_to_store(c, pw_store_lease_grant_msg_new(c->task.inbox, TAG_LEASE_GRANT,
							      PW_STORE_CALL_TIMEOUT_US,
							      MEMBER_LEASE_TTL_US));
}

static void register_member(struct cluster *c)
{
	const struct pw_process_settings *s = c->directory->settings;
	const struct pw_fleet_member self = {
		.name = s->vm_name,
		.address = s->peer_address,
		.availability_zone = s->availability_zone,
		.incarnation = c->incarnation,
	};
	char *text = pw_fleet_member_encode(&self);
	const struct pw_store_change put = {
		.key = c->own_member_key,
		.kind = PW_STORE_PUT,
		.value = text,
		.size_bytes = strlen(text),
		.lease_id = c->lease_id,
	};
	/*
	 * The store may carry out a write whose answer was lost seconds later. The condition keeps
	 * it from tying the entry to an earlier lease again.
	 */
	const struct pw_store_compare compare = {
		.key = c->own_member_key,
		.target = PW_STORE_MOD_REVISION,
		.revision = c->entry_revision,
	};
	const struct pw_store_txn txn = {
		.compares = &compare,
		.compare_count = 1,
		.changes = &put,
		.change_count = 1,
	};

	c->registration_pending = true;
	cluster_send_to_store(c, pw_store_txn_msg_new(c->task.inbox, TAG_REGISTER,
						      PW_STORE_CALL_TIMEOUT_US, &txn));
	g_free(text);
}

static void renew_lease(struct cluster *c)
{
	if (c->renewal_pending)
		return;
	c->renewal_pending = true;
	c->renewal_sent_us = cluster_now_us(c);
	c->renewal_lease_id = c->lease_id;
	cluster_send_to_store(c,
			      pw_store_lease_keep_alive_msg_new(c->task.inbox, TAG_LEASE_RENEW,
								RENEWAL_TIMEOUT_US, c->lease_id));
}

static void revoke_own_lease(struct cluster *c)
{
	if (c->lease_id)
		cluster_send_to_store(
			c, pw_store_lease_revoke_msg_new(c->task.inbox, TAG_REVOKE_OWN_LEASE,
							 PW_STORE_CALL_TIMEOUT_US, c->lease_id));
}

/* Takes the next step towards a permit, or renews it. */
static void permit_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct cluster *c = (struct cluster *)((char *)t - offsetof(struct cluster, permit_timer));

	(void)now_us;
	if (c->leaving)
		revoke_own_lease(c);
	else if (c->registration_pending)
		return;
	else if (!c->lease_id)
		request_lease(c);
	else if (!c->registered)
		register_member(c);
	else if (!c->primaries_current)
		request_primaries(c);
	else
		renew_lease(c);
}

static const struct pw_timer_ops permit_timer_ops = { .expire = permit_timer_expired };

static void member_list_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	(void)now_us;
	request_members(
		(struct cluster *)((char *)t - offsetof(struct cluster, member_list_timer)));
}

static const struct pw_timer_ops member_list_timer_ops = { .expire = member_list_timer_expired };

/*
 * Records whether renewals of the permit succeed, and logs a change. After a failed renewal the
 * permit stays valid until `permit_until_us`.
 */
static void set_renewal_ok(struct cluster *c, bool ok)
{
	if (c->renewal_ok != ok)
		pw_event_log(ok ? PW_EVENT_PERMIT_ACQUIRED : PW_EVENT_PERMIT_LOST,
			     "lease=%" PRId64 " left_ms=%" PRIu64, c->lease_id,
			     c->permit_until_us > cluster_now_us(c)
				     ? (c->permit_until_us - cluster_now_us(c)) / PW_US_PER_MS
				     : 0);
	c->renewal_ok = ok;
}

static void handle_grant_result(struct cluster *c, const struct pw_store_result *base)
{
	c->registration_pending = false;
	if (base->code) {
		schedule_retry(c);
		return;
	}
	c->lease_id = ((const struct pw_store_lease_result *)base)->lease_id;
	register_member(c);
}

static void handle_register_result(struct cluster *c, const struct pw_store_result *base)
{
	const struct pw_store_txn_result *r = (const struct pw_store_txn_result *)base;

	c->registration_pending = false;
	if (base->code == PW_ECONFLICT && r->kv_count && c->lease_id) {
		/* The entry is that of an earlier lease or process, or it is gone. */
		c->entry_revision = r->kvs[0].mod_revision;
		register_member(c);
		return;
	}
	if (base->code || !c->lease_id) {
		/* The lease may have ended, so the next attempt starts with a new one. */
		c->lease_id = 0;
		schedule_retry(c);
		return;
	}
	c->registered = true;
	request_primaries(c);
	/* A VM whose lease was lost knows the members, and they know it. */
	if (c->members_read_us && cluster_is_large_fleet(c))
		return;
	request_members(c);
}

static void watch_primaries(struct cluster *c, int64_t revision)
{
	const struct pw_store_watch req = {
		.key = c->primaries_key,
		.start_revision = revision + 1,
	};

	c->watching_primaries = true;
	cluster_send_to_store(c, pw_store_watch_msg_new(c->task.inbox, TAG_PRIMARIES_WATCH,
							PW_STORE_CALL_TIMEOUT_US, &req));
}

static void apply_record(struct cluster *c, const struct pw_store_kv *kv)
{
	struct pw_primaries *record;

	if (pw_primaries_decode(&record, kv->value, kv->size_bytes, kv->mod_revision) == PW_OK)
		cluster_apply_primaries(c, record);
	else
		pw_event_log(PW_EVENT_RECORD_MALFORMED, "key=%s revision=%" PRId64, kv->key,
			     kv->mod_revision);
}

static bool has_marked_group(const struct cluster *c)
{
	for (guint i = 0; c->primaries && i < c->primaries->entries->len; i++) {
		if (((const struct pw_primary *)g_ptr_array_index(c->primaries->entries, i))
			    ->changing)
			return true;
	}
	return false;
}

/*
 * Handles the read of the record after registration, which gives the first permit. A VM that
 * changes a primary marks the group before it lists the members. So it either finds this VM on the
 * list and waits for it, or the mark was written before this read, which then shows it.
 */
static void handle_primaries_result(struct cluster *c, const struct pw_store_result *base)
{
	const struct pw_store_range_result *r = (const struct pw_store_range_result *)base;

	/* The store was restored after the read was sent, so the VM registers again first. */
	if (!c->registered)
		return;
	if (base->code) {
		set_renewal_ok(c, false);
		schedule_retry(c);
		return;
	}
	if (r->kv_count)
		apply_record(c, &r->kvs[0]);
	else
		(void)era_accept_record(c, NULL);
	if (!c->watching_primaries)
		watch_primaries(c, MAX(base->revision, r->kv_count ? r->kvs[0].mod_revision : 0));
	/* A record of an earlier era gives no permit. It is read again until one is written. */
	if (c->restore_pending || !era_is_record_current(c) ||
	    (c->restore_wait_until_us && !c->primaries)) {
		schedule_retry(c);
		return;
	}
	c->primaries_current = true;
	/* Only a renewal shows that a lease still exists that was not granted just now. */
	if (!c->lease_without_permit) {
		cluster_publish_primaries(c);
		set_permit_timer(c, 0);
		return;
	}
	c->drain_limit_us = has_marked_group(c) ? c->permit_until_us : UINT64_MAX;
	c->lease_without_permit = false;
	c->permit_until_us =
		MAX(c->permit_until_us, c->primaries_read_sent_us + PW_PERMIT_DURATION_US);
	set_renewal_ok(c, true);
	cluster_publish_primaries(c);
	set_permit_timer(c, PW_PERMIT_RENEW_INTERVAL_US);
}

static void handle_watch_result(struct cluster *c, const struct pw_store_result *base)
{
	const struct pw_store_watch_result *r = (const struct pw_store_watch_result *)base;

	for (size_t i = 0; i < r->event_count; i++) {
		if (r->events[i].kind == PW_STORE_PUT)
			apply_record(c, &r->events[i].kv);
	}
	if (r->is_last) {
		/* Changes may have been missed, so the record is read before the next renewal. */
		c->watching_primaries = false;
		c->primaries_current = false;
		set_permit_timer(c, 0);
	}
}

static void handle_renewal_result(struct cluster *c, const struct pw_store_result *base)
{
	/* The lease was replaced meanwhile. */
	if (c->renewal_lease_id != c->lease_id)
		return;
	c->renewal_pending = false;
	if (base->code == PW_ENOTFOUND) {
		set_renewal_ok(c, false);
		request_lease(c);
		return;
	}
	if (base->code) {
		set_renewal_ok(c, false);
		schedule_retry(c);
		return;
	}
	/*
	 * If the watch ended while the renewal was in flight, changes may have been missed. So the
	 * permit is not extended until the record was read again.
	 */
	if (c->primaries_current) {
		c->permit_until_us =
			MAX(c->permit_until_us, c->renewal_sent_us + PW_PERMIT_DURATION_US);
		set_renewal_ok(c, true);
		cluster_publish_primaries(c);
	}
	set_permit_timer(c,
			 PW_PERMIT_RENEW_INTERVAL_US - MIN(cluster_now_us(c) - c->renewal_sent_us,
							   PW_PERMIT_RENEW_INTERVAL_US));
}

struct member *member_add_listed(struct cluster *c, const struct pw_store_kv *kv)
{
	struct pw_fleet_member *e;
	struct member *m;

	if (pw_fleet_member_decode(&e, kv->value, kv->size_bytes))
		return NULL;
	if (strcmp(e->name, c->directory->settings->vm_name) == 0) {
		pw_fleet_member_free(e);
		return NULL;
	}
	m = pulse_get_member(c, e->name);
	m->listed = true;
	/* The address in a pulse is at least as new as the one in the entry. */
	if (!m->last_heard_us || !m->has_address)
		m->has_address = pw_address_parse(&m->address, e->address) == PW_OK;
	pw_fleet_member_free(e);
	return m;
}

/*
 * Removes the members that are not on the list, except those that still send pulses or that may
 * still use a permit which this VM has delegated to them.
 */
static void remove_unlisted_members(struct cluster *c)
{
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, c->members);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		struct member *m = item;

		if (!m->listed && !pulse_is_member_live(c, m) &&
		    !pw_permit_is_valid(m->delegated_until_us, cluster_now_us(c))) {
			pw_event_log(PW_EVENT_MEMBER_REMOVED, "peer=%s incarnation=%" PRIu64,
				     m->name, m->incarnation);
			g_hash_table_iter_remove(&it);
		}
	}
}

/*
 * Handles a page of the member list. If one cannot be read, the list is incomplete, so no member is
 * removed, and the next read starts at the first page.
 */
static void handle_members_result(struct cluster *c, const struct pw_store_result *base)
{
	const struct pw_store_range_result *r = (const struct pw_store_range_result *)base;

	if (base->code || (r->has_more && !r->kv_count)) {
		end_members_read(c);
		return;
	}
	for (size_t i = 0; i < r->kv_count; i++) {
		pw_counter_add(PW_COUNTER_STORE_BYTES_MEMBERS,
			       r->kvs[i].size_bytes + strlen(r->kvs[i].key));
		(void)member_add_listed(c, &r->kvs[i]);
	}
	if (r->has_more) {
		g_free(c->last_member_key);
		c->last_member_key = g_strdup(r->kvs[r->kv_count - 1].key);
		request_members_page(c);
		return;
	}
	end_members_read(c);
	remove_unlisted_members(c);
	/* The others learn of a new VM at once. Later, regular pulses are enough in a large fleet.
	 */
	if (!c->members_read_us || !cluster_is_large_fleet(c))
		pulse_broadcast(c);
	c->members_read_us = cluster_now_us(c);
}

void member_refresh_primaries(struct cluster *c)
{
	const struct pw_store_range req = { .key = c->primaries_key };
	uint64_t now_us = cluster_now_us(c);

	/* A read is in flight, or the last one failed less than CLUSTER_RETRY_DELAY_US ago. */
	if (c->refresh_pending || now_us < c->refresh_not_before_us)
		return;
	/* The watch usually brings the record after a moment, which saves the read. */
	if (!c->newer_record_since_us)
		c->newer_record_since_us = now_us;
	if (c->watching_primaries && now_us - c->newer_record_since_us < PW_WATCH_DELAY_US)
		return;
	c->refresh_pending = true;
	cluster_send_to_store(c, pw_store_range_msg_new(c->task.inbox, TAG_PRIMARIES_REFRESH,
							PW_STORE_CALL_TIMEOUT_US, &req));
}

static void handle_refresh_result(struct cluster *c, const struct pw_store_result *base)
{
	const struct pw_store_range_result *r = (const struct pw_store_range_result *)base;

	c->refresh_pending = false;
	c->refresh_not_before_us = cluster_now_us(c) + (base->code ? CLUSTER_RETRY_DELAY_US : 0);
	if (base->code == PW_OK && r->kv_count)
		apply_record(c, &r->kvs[0]);
}

/* After any outcome the record is read again, which gives the permit. */
static void handle_restore_result(struct cluster *c)
{
	c->restore_pending = false;
	if (c->registered && !c->primaries_current)
		set_permit_timer(c, 0);
}

void member_register_again(struct cluster *c)
{
	if (c->leaving)
		return;
	set_renewal_ok(c, false);
	set_permit_timer(c, 0);
}

static void handle_create_result(struct cluster *c, const struct pw_store_result *base)
{
	c->create_pending = false;
	/* After a failure the tick retries. After a conflict the watch brings the record. */
	if (base->code == PW_OK && !c->primaries)
		request_primaries(c);
}

void member_create_primaries(struct cluster *c)
{
	struct pw_primaries *record;
	bool added = false;

	if (!c->catalog || !c->servers || !c->primaries_current || c->create_pending ||
	    !era_is_record_current(c))
		return;
	record = c->primaries ? pw_primaries_copy(c->primaries) : pw_primaries_new();
	pw_primaries_set_era(record, c->era);
	for (guint i = 0; i < c->servers->entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(c->servers->entries, i);

		if (!e->claims_primary || !pw_catalog_find_group(c->catalog, e->group) ||
		    pw_primaries_find(record, e->group))
			continue;
		pw_primaries_set(record, e->group, e->id, NULL, ++record->fencing_token);
		pw_primaries_set_replica_set(record, e->group, replicas_first_set(c, e->group));
		added = true;
	}
	if (added) {
		c->create_pending = true;
		cluster_write_primaries(c, record, TAG_PRIMARIES_CREATE);
	}
	pw_primaries_unref(record);
}

void member_leave(struct cluster *c)
{
	uint64_t now_us = cluster_now_us(c), revoke_at_us = now_us;
	GHashTableIter it;
	gpointer item;

	c->leaving = true;
	change_abort_before_promotion(c, "the VM is leaving the fleet");
	pulse_broadcast(c);
	/* A change of primary waits for a permit that this VM has delegated only by its lease. */
	g_hash_table_iter_init(&it, c->members);
	while (g_hash_table_iter_next(&it, NULL, &item))
		revoke_at_us = MAX(revoke_at_us, ((struct member *)item)->delegated_until_us);
	if (revoke_at_us > now_us) {
		pw_loop_timer_set(c->task.loop, &c->permit_timer, revoke_at_us);
		return;
	}
	pw_loop_timer_clear(c->task.loop, &c->permit_timer);
	revoke_own_lease(c);
}

void member_handle_result(struct cluster *c, uint64_t tag, struct pw_store_result *r)
{
	switch (tag) {
	case TAG_LEASE_GRANT:
		handle_grant_result(c, r);
		break;
	case TAG_REGISTER:
		handle_register_result(c, r);
		break;
	case TAG_LEASE_RENEW:
		handle_renewal_result(c, r);
		break;
	case TAG_PRIMARIES_READ:
		handle_primaries_result(c, r);
		break;
	case TAG_PRIMARIES_WATCH:
		handle_watch_result(c, r);
		break;
	case TAG_PRIMARIES_REFRESH:
		handle_refresh_result(c, r);
		break;
	case TAG_MEMBERS_READ:
		handle_members_result(c, r);
		break;
	case TAG_PRIMARIES_RESTORE:
		handle_restore_result(c);
		break;
	case TAG_PRIMARIES_CREATE:
		handle_create_result(c, r);
		break;
	case TAG_REPLICA_SETS:
		replicas_handle_result(c, r);
		break;
	default:
		break;
	}
}

void member_start(struct cluster *c)
{
	const struct pw_process_settings *s = c->directory->settings;

	/* 63 bits, since the member's entry holds the incarnation as a signed JSON integer. */
	c->incarnation = pw_clock_random_u64() >> 1;
	c->members_prefix = g_strdup_printf("pimentowing/%s/members/", s->service_name);
	c->own_member_key = g_strconcat(c->members_prefix, s->vm_name, NULL);
	c->primaries_key = g_strdup_printf("pimentowing/%s/primaries", s->service_name);
	c->permit_timer.ops = &permit_timer_ops;
	c->member_list_timer.ops = &member_list_timer_ops;
	request_lease(c);
}

void member_stop(struct cluster *c)
{
	pw_loop_timer_clear(c->task.loop, &c->permit_timer);
	pw_loop_timer_clear(c->task.loop, &c->member_list_timer);
	g_free(c->last_member_key);
	g_free(c->members_prefix);
	g_free(c->own_member_key);
	g_free(c->primaries_key);
}
