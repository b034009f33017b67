#include <string.h>

#include "cluster_private.h"
#include "../traffic/request.h"
#include "peers.h"
#include "pw/core/clock.h"
#include "pw/core/error.h"
#include "pw/core/event.h"

static void primaries_msg_destroy(struct pw_msg *m)
{
	pw_primaries_unref(((struct pw_primaries_msg *)m)->primaries);
	g_free(m);
}

const struct pw_msg_ops pw_primaries_msg_ops = {
	.name = "primaries",
	.destroy = primaries_msg_destroy,
};

static void shares_msg_destroy(struct pw_msg *m)
{
	g_array_unref(((struct pw_shares_msg *)m)->shares);
	g_free(m);
}

const struct pw_msg_ops pw_shares_msg_ops = { .name = "shares", .destroy = shares_msg_destroy };

static void primary_check_msg_destroy(struct pw_msg *m)
{
	g_free(((struct pw_primary_check_msg *)m)->group);
	g_free(m);
}

const struct pw_msg_ops pw_primary_check_msg_ops = {
	.name = "primary_check",
	.destroy = primary_check_msg_destroy,
};

void cluster_check_primary(struct cluster *c, const char *group)
{
	const uint64_t *last_us = g_hash_table_lookup(c->primary_checked_us, group);
	uint64_t now_us = cluster_now_us(c);

	if (last_us && now_us - *last_us < PRIMARY_CHECK_MIN_INTERVAL_US)
		return;
	g_hash_table_replace(c->primary_checked_us, g_strdup(group),
			     g_memdup2(&now_us, sizeof(now_us)));
	for (uint32_t i = 0; i < c->directory->gateway_count; i++) {
		struct pw_primary_check_msg *m = g_new0(struct pw_primary_check_msg, 1);

		m->base.ops = &pw_primary_check_msg_ops;
		m->group = g_strdup(group);
		pw_mailbox_send(c->directory->gateways[i], &m->base);
	}
}

static void traffic_report_destroy(struct pw_msg *m)
{
	struct pw_traffic_report *r = (struct pw_traffic_report *)m;

	g_array_unref(r->arrivals);
	g_array_unref(r->reachability);
	g_free(r);
}

const struct pw_msg_ops pw_traffic_report_ops = {
	.name = "traffic_report",
	.destroy = traffic_report_destroy,
};

static void arrivals_clear(gpointer data)
{
	g_free(((struct pw_account_arrivals *)data)->account);
}

static void reachability_clear(gpointer data)
{
	g_free(((struct pw_primary_reachability *)data)->group);
}

static void share_clear(gpointer data)
{
	g_free(((struct pw_account_share *)data)->account);
}

struct pw_traffic_report *pw_traffic_report_new(uint32_t gateway_index)
{
	struct pw_traffic_report *r = g_new0(struct pw_traffic_report, 1);

	r->base.ops = &pw_traffic_report_ops;
	r->gateway_index = gateway_index;
	r->arrivals = g_array_new(FALSE, FALSE, sizeof(struct pw_account_arrivals));
	r->reachability = g_array_new(FALSE, FALSE, sizeof(struct pw_primary_reachability));
	g_array_set_clear_func(r->arrivals, arrivals_clear);
	g_array_set_clear_func(r->reachability, reachability_clear);
	return r;
}

static uint32_t fleet_size(const struct cluster *c)
{
	return 1 + g_hash_table_size(c->members);
}

uint64_t cluster_promised_permit_until_us(const struct cluster *c)
{
	uint64_t until_us = UINT64_MAX;
	GHashTableIter it;
	gpointer item;

	/* Without any known member, there may be VMs that this one does not know. */
	if (!c->primaries || c->renewal_ok || !g_hash_table_size(c->members))
		return 0;
	g_hash_table_iter_init(&it, c->members);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		const struct member *m = item;

		if (!m->leaving)
			until_us = MIN(until_us, m->promised_until_us);
	}
	return until_us == UINT64_MAX ? 0 : until_us;
}

/* Updates the end of the permit that the gateways get, and since when they have had one. */
static void update_permit(struct cluster *c)
{
	uint64_t now_us = cluster_now_us(c);

	if (!pw_permit_is_valid(c->published_permit_until_us, now_us))
		c->permitted_since_us = now_us;
	c->published_permit_until_us = MAX(MAX(c->permit_until_us, c->delegated_permit_until_us),
					   cluster_promised_permit_until_us(c));
}

static void send_primaries(const struct cluster *c, struct pw_mailbox *to)
{
	struct pw_primaries_msg *m = g_new0(struct pw_primaries_msg, 1);

	m->base.ops = &pw_primaries_msg_ops;
	m->primaries = c->primaries ? pw_primaries_ref(c->primaries) : NULL;
	m->permit_until_us = c->published_permit_until_us;
	m->drain_limit_us = c->drain_limit_us;
	m->member_count = fleet_size(c);
	pw_mailbox_send(to, &m->base);
}

void cluster_publish_primaries(struct cluster *c)
{
	update_permit(c);
	send_primaries(c, c->directory->admin);
	for (uint32_t i = 0; i < c->directory->gateway_count; i++)
		send_primaries(c, c->directory->gateways[i]);
}

uint64_t cluster_record_since_us(const struct cluster *c, const char *group)
{
	const uint64_t *since_us = g_hash_table_lookup(c->record_since_us, group);

	return since_us ? *since_us : 0;
}

/*
 * Whether the group's entries in two records have the same primary and the same mark. A mark
 * without a token may be a new one if a newer token was taken in between.
 */
static bool is_same_entry(const struct pw_primaries *a, const struct pw_primaries *b,
			  const char *group)
{
	const struct pw_primary *x = pw_primaries_find(a, group);
	const struct pw_primary *y = pw_primaries_find(b, group);

	if (x->generation != y->generation || x->changing != y->changing ||
	    x->mark_token != y->mark_token)
		return false;
	return !x->changing || x->mark_token || a->fencing_token == b->fencing_token;
}

/*
 * Updates `record_since_us` of the groups whose primary or mark differs in the next record. The
 * servers are read again after a change of a primary.
 */
static void update_record_since_us(struct cluster *c, const struct pw_primaries *record)
{
	for (guint i = 0; i < record->entries->len; i++) {
		const struct pw_primary *primary = g_ptr_array_index(record->entries, i);
		const struct pw_primary *old_primary =
			c->primaries ? pw_primaries_find(c->primaries, primary->group) : NULL;
		uint64_t now_us = cluster_now_us(c);

		if (old_primary && is_same_entry(c->primaries, record, primary->group))
			continue;
		if (old_primary && old_primary->generation != primary->generation) {
			pw_event_log(PW_EVENT_TERM_CHANGED,
				     "database=%s term=%" G_GUINT64_FORMAT " primary=%s",
				     primary->group, primary->generation, primary->server_id);
			pw_mailbox_send(c->directory->catalog, pw_servers_refresh_msg());
		}
		g_hash_table_replace(c->record_since_us, g_strdup(primary->group),
				     g_memdup2(&now_us, sizeof(now_us)));
	}
}

void cluster_write_primaries(struct cluster *c, const struct pw_primaries *record, uint64_t tag)
{
	char *text = pw_primaries_encode(record);
	const struct pw_store_compare compare = {
		.key = c->primaries_key,
		.target = PW_STORE_MOD_REVISION,
		.revision = record->revision,
	};
	const struct pw_store_change put = {
		.key = c->primaries_key,
		.kind = PW_STORE_PUT,
		.value = text,
		.size_bytes = strlen(text),
	};
	const struct pw_store_txn txn = {
		.compares = &compare,
		.compare_count = 1,
		.changes = &put,
		.change_count = 1,
	};

	cluster_send_to_store(
		c, pw_store_txn_msg_new(c->task.inbox, tag, PW_STORE_CALL_TIMEOUT_US, &txn));
	g_free(text);
}

void cluster_apply_primaries(struct cluster *c, struct pw_primaries *record)
{
	if (!era_accept_record(c, record) ||
	    (c->primaries && record->revision <= c->primaries->revision)) {
		pw_primaries_unref(record);
		return;
	}
	update_record_since_us(c, record);
	replicas_note_left_out(c, record);
	pw_primaries_unref(c->primaries);
	c->primaries = record;
	c->newer_record_since_us = 0;
	replicas_update(c);
	/* A delegated permit holds for one revision of the record only. */
	c->delegated_permit_until_us = 0;
	cluster_publish_primaries(c);
	pulse_send_record(c);
}

bool cluster_apply_conflicting_record(struct cluster *c, const struct pw_store_txn_result *r)
{
	struct pw_primaries *record;

	if (!r->kv_count || !r->kvs[0].mod_revision ||
	    pw_primaries_decode(&record, r->kvs[0].value, r->kvs[0].size_bytes,
				r->kvs[0].mod_revision))
		return false;
	cluster_apply_primaries(c, record);
	return true;
}

bool cluster_reaches_primary(const struct cluster *c, const struct pw_primary *primary,
			     uint64_t *unreachable_since_us)
{
	uint64_t last_answer_us = 0, since_us = UINT64_MAX;

	*unreachable_since_us = 0;
	if (!pw_permit_is_valid(c->published_permit_until_us, cluster_now_us(c)))
		return false;
	for (uint32_t i = 0; i < c->directory->gateway_count; i++) {
		const struct pw_primary_reachability *reachability =
			g_hash_table_lookup(c->gateways[i].reachability, primary->group);

		if (!reachability || reachability->generation != primary->generation)
			continue;
		last_answer_us = MAX(last_answer_us, reachability->last_answer_us);
		if (reachability->unreachable_since_us)
			since_us = MIN(since_us, reachability->unreachable_since_us);
	}
	if (since_us != UINT64_MAX)
		*unreachable_since_us = MAX(since_us, c->permitted_since_us);
	return !*unreachable_since_us && last_answer_us &&
	       cluster_now_us(c) - last_answer_us < PW_CHANGE_LOST_AFTER_US;
}

int64_t cluster_settled_revision(const struct cluster *c)
{
	int64_t settled_revision = c->primaries ? c->primaries->revision : 0;

	for (uint32_t i = 0; i < c->directory->gateway_count; i++)
		settled_revision = MIN(settled_revision, c->gateways[i].settled_revision);
	return settled_revision;
}

int64_t cluster_confirmed_revision(struct cluster *c)
{
	int64_t confirmed_revision = cluster_settled_revision(c);
	GHashTableIter it;
	gpointer item;

	/* An earlier process of this VM may have delegated a permit that still holds. */
	if (pw_permit_is_valid(c->started_us + PW_PERMIT_DURATION_US, cluster_now_us(c)))
		return 0;
	g_hash_table_iter_init(&it, c->members);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		const struct member *m = item;

		if (pw_permit_is_valid(m->delegated_until_us, cluster_now_us(c)))
			confirmed_revision = MIN(confirmed_revision, m->settled_revision);
	}
	return confirmed_revision;
}

static struct account_demand *get_account_demand(struct cluster *c, const char *account)
{
	struct account_demand *d = g_hash_table_lookup(c->demands, account);

	if (!d) {
		d = g_new0(struct account_demand, 1);
		d->last_within_rate_us = cluster_now_us(c);
		g_hash_table_insert(c->demands, g_strdup(account), d);
	}
	return d;
}

static void handle_traffic_report(struct cluster *c, struct pw_traffic_report *r)
{
	struct gateway_state *g = &c->gateways[r->gateway_index];

	for (guint i = 0; i < r->arrivals->len; i++) {
		const struct pw_account_arrivals *a =
			&g_array_index(r->arrivals, struct pw_account_arrivals, i);

		struct account_demand *d = get_account_demand(c, a->account);

		pw_demand_add_arrivals(&d->own, a->arrival_count, cluster_now_us(c));
		pw_demand_add_arrivals(&d->own_urgent, a->urgent_arrival_count, cluster_now_us(c));
	}
	for (guint i = 0; i < r->reachability->len; i++) {
		const struct pw_primary_reachability *reachability =
			&g_array_index(r->reachability, struct pw_primary_reachability, i);
		struct pw_primary_reachability *copy =
			g_memdup2(reachability, sizeof(*reachability));

		copy->group = g_strdup(reachability->group);
		g_hash_table_replace(g->reachability, copy->group, copy);
		position_record_own(c, copy);
	}
	g->settled_revision = r->settled_revision;
	/* A VM that changes a primary waits for this confirmation. */
	if (cluster_confirmed_revision(c) > c->announced_confirmed_revision) {
		pulse_announce_confirmation(c);
		change_tick(c);
	}
}

static void reachability_free(gpointer data)
{
	reachability_clear(data);
	g_free(data);
}

/*
 * Sums up the demand of the other live members for each account, and returns the number of these
 * members. Each report is looked at once, so that the cost grows with their number only.
 */
static uint32_t sum_others_demand(struct cluster *c)
{
	uint32_t live_count = 0;
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, c->demands);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		((struct account_demand *)item)->others_per_s = 0;
		((struct account_demand *)item)->others_urgent_per_s = 0;
	}
	g_hash_table_iter_init(&it, c->members);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		const struct member *m = item;

		if (!pulse_is_member_live(c, m))
			continue;
		live_count++;
		for (guint i = 0; m->pulse.accounts && i < m->pulse.accounts->len; i++) {
			const struct pw_pulse_account *a =
				&g_array_index(m->pulse.accounts, struct pw_pulse_account, i);
			struct account_demand *d = g_hash_table_lookup(c->demands, a->name);

			/* compute_shares() adds the accounts of the catalogue. */
			if (!d)
				continue;
			d->others_per_s += a->demand_per_s;
			d->others_urgent_per_s += a->urgent_demand_per_s;
		}
	}
	return live_count;
}

/*
 * Computes the shares of this VM in the rates of all accounts of the catalogue. Also records when
 * the fleet's demand for an account was last within its rate, on which the rate in force depends.
 */
static GArray *compute_shares(struct cluster *c)
{
	GArray *shares = g_array_new(FALSE, FALSE, sizeof(struct pw_account_share));
	uint32_t reporting_vm_count;

	g_array_set_clear_func(shares, share_clear);
	for (guint i = 0; i < c->catalog->accounts->len; i++)
		(void)get_account_demand(c, ((const struct pw_catalog_account *)g_ptr_array_index(
						     c->catalog->accounts, i))
						    ->name);
	reporting_vm_count = sum_others_demand(c);
	for (guint i = 0; i < c->catalog->accounts->len; i++) {
		const struct pw_catalog_account *a = g_ptr_array_index(c->catalog->accounts, i);
		struct account_demand *d = get_account_demand(c, a->name);
		uint64_t now_us = cluster_now_us(c);
		const struct pw_share_input in = {
			.rate_per_s = pw_share_current_rate_per_s(
				a->rate_per_s, a->burst, c->directory->settings->rate_window_us,
				now_us - d->last_within_rate_us),
			.burst = a->burst,
			.own_demand_per_s = pw_demand_per_s_at(&d->own, now_us),
			.others_demand_per_s = d->others_per_s,
			.own_urgent_demand_per_s = pw_demand_per_s_at(&d->own_urgent, now_us),
			.others_urgent_demand_per_s = d->others_urgent_per_s,
			.reporting_vm_count = reporting_vm_count,
			.silent_vm_count = g_hash_table_size(c->members) - reporting_vm_count,
		};
		struct pw_account_share s = {
			.account = g_strdup(a->name),
			.share = pw_share_compute(&in),
		};

		if (in.own_demand_per_s + in.others_demand_per_s <= a->rate_per_s)
			d->last_within_rate_us = now_us;
		d->rate_per_s = a->rate_per_s;
		g_array_append_val(shares, s);
	}
	return shares;
}

static void publish_shares(struct cluster *c)
{
	GArray *shares;

	if (!c->catalog)
		return;
	shares = compute_shares(c);
	for (uint32_t i = 0; i < c->directory->gateway_count; i++) {
		struct pw_shares_msg *m = g_new0(struct pw_shares_msg, 1);

		m->base.ops = &pw_shares_msg_ops;
		m->shares = g_array_ref(shares);
		pw_mailbox_send(c->directory->gateways[i], &m->base);
	}
	g_array_unref(shares);
}

/* Whether the primaries record lacks a group of the catalogue. */
static bool has_group_without_primary(const struct cluster *c)
{
	for (guint i = 0; c->catalog && i < c->catalog->groups->len; i++) {
		const struct pw_catalog_group *g = g_ptr_array_index(c->catalog->groups, i);

		if (!c->primaries || !pw_primaries_find(c->primaries, g->name))
			return true;
	}
	return false;
}

static void cluster_tick(struct pw_timer *t, uint64_t now_us)
{
	struct cluster *c = (struct cluster *)((char *)t - offsetof(struct cluster, tick_timer));

	pw_loop_timer_set(c->task.loop, t, now_us + CLUSTER_TICK_INTERVAL_US);
	era_clear_dead_marks(c);
	change_tick(c);
	replicas_tick(c);
	publish_shares(c);
	pulse_send_record(c);
	pulse_announce_demand(c);
	pulse_announce_votes(c);
	position_publish(c);
	if (has_group_without_primary(c))
		member_create_primaries(c);
}

static const struct pw_timer_ops tick_ops = { .expire = cluster_tick };

static void handle_store_result(struct cluster *c, const struct pw_store_result_msg *m)
{
	if (era_observe(c, m->result))
		member_register_again(c);
	if (m->tag >> CHANGE_TAG_SHIFT)
		change_handle_result(c, m->tag, m->result);
	else
		member_handle_result(c, m->tag, m->result);
	if (m->tag == TAG_REVOKE_OWN_LEASE) {
		struct pw_msg *left_msg = g_new0(struct pw_msg, 1);

		left_msg->ops = &pw_fleet_left_ops;
		pw_mailbox_send(c->directory->shutdown, left_msg);
	}
}

/*
 * Handles the catalogue task's report of the newest state that it knows. A read of this VM is
 * announced to the members at once if it brought a version of which none has told, or is newer than
 * the last one that was told by more than FRESHNESS_BROADCAST_STEP_US, which saves them their own
 * reads. What another VM has announced goes on with the regular pulses only.
 */
static void handle_local_freshness(struct cluster *c, const struct pw_catalog_freshness_msg *m)
{
	const struct pw_catalog_freshness *read = &m->freshness, *heard = &c->heard_freshness;
	uint64_t catalog_told_us = MAX(heard->catalog_fresh_us, c->freshness.catalog_fresh_us);
	uint64_t servers_told_us = MAX(heard->servers_fresh_us, c->freshness.servers_fresh_us);
	bool is_news =
		read->catalog_version > MAX(heard->catalog_version, c->freshness.catalog_version) ||
		read->catalog_fresh_us > catalog_told_us + FRESHNESS_BROADCAST_STEP_US ||
		read->servers_fresh_us > servers_told_us + FRESHNESS_BROADCAST_STEP_US;

	c->freshness = *read;
	if (g_hash_table_size(c->left_out))
		replicas_update(c);
	if (is_news && m->is_own_read)
		pulse_broadcast(c);
}

static void cluster_receive(struct pw_task *t, struct pw_msg *m)
{
	struct cluster *c = (struct cluster *)t;

	if (m->ops == &pw_store_result_msg_ops) {
		handle_store_result(c, (struct pw_store_result_msg *)m);
	} else if (m->ops == &pw_catalog_msg_ops) {
		pw_catalog_unref(c->catalog);
		c->catalog = pw_catalog_ref(((struct pw_catalog_msg *)m)->catalog);
		if (has_group_without_primary(c))
			member_create_primaries(c);
		replicas_update(c);
		publish_shares(c);
	} else if (m->ops == &pw_servers_msg_ops) {
		const struct pw_server_list *next = ((struct pw_servers_msg *)m)->servers;

		replicas_keep_unrecorded(c, next);
		pw_server_list_unref(c->servers);
		c->servers = pw_server_list_ref(next);
		replicas_update(c);
		change_tick(c);
	} else if (m->ops == &pw_traffic_report_ops) {
		handle_traffic_report(c, (struct pw_traffic_report *)m);
	} else if (m->ops == &pw_catalog_freshness_msg_ops) {
		handle_local_freshness(c, (struct pw_catalog_freshness_msg *)m);
	} else if (m->ops == &pw_drain_ops) {
		member_leave(c);
	} else if (m->ops == &pw_replica_forget_msg_ops) {
		replica_status_forget(c, (struct pw_replica_forget_msg *)m);
		return;
	}
	pw_msg_free(m);
}

static void cluster_dispose(struct cluster *c)
{
	/* Freed first, since a promotion request in flight refers to a change. */
	if (c->promoter)
		c->promoter->ops->free(c->promoter);
	replicas_stop(c);
	replica_status_stop(c);
	change_stop_all(c);
	era_stop(c);
	pulse_stop(c);
	position_stop(c);
	pw_loop_timer_clear(c->task.loop, &c->tick_timer);
	for (uint32_t i = 0; i < c->directory->gateway_count; i++)
		g_hash_table_unref(c->gateways[i].reachability);
	g_free(c->gateways);
	g_hash_table_unref(c->demands);
	g_hash_table_unref(c->announced_losses);
	g_hash_table_unref(c->record_since_us);
	g_hash_table_unref(c->primary_checked_us);
	pw_catalog_unref(c->catalog);
	pw_server_list_unref(c->servers);
	pw_primaries_unref(c->primaries);
	pw_primaries_unref(c->written_sets);
}

static int cluster_start(struct pw_task *t)
{
	struct cluster *c = (struct cluster *)t;
	int rc;

	c->directory = ((const struct pw_task_args *)t->args)->directory;
	c->gateways = g_new0(struct gateway_state, c->directory->gateway_count);
	for (uint32_t i = 0; i < c->directory->gateway_count; i++)
		c->gateways[i].reachability =
			g_hash_table_new_full(g_str_hash, g_str_equal, NULL, reachability_free);
	c->demands = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->announced_losses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->record_since_us = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->primary_checked_us = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->tick_timer.ops = &tick_ops;
	c->started_us = cluster_now_us(c);
	c->own_name_hash = (uint32_t)pw_directory_name_hash(c->directory->settings->vm_name);
	c->drain_limit_us = UINT64_MAX;
	change_start(c);
	position_start(c);
	replicas_start(c);
	replica_status_start(c);
	rc = pulse_start(c);
	if (!rc)
		rc = c->directory->binding->promoter_new(&c->promoter, t->loop,
							 c->directory->settings->promoter_address);
	if (rc) {
		cluster_dispose(c);
		return rc;
	}
	member_start(c);
	pw_loop_timer_set(t->loop, &c->tick_timer, cluster_now_us(c) + CLUSTER_TICK_INTERVAL_US);
	pw_mailbox_send(c->directory->catalog, pw_catalog_request_msg(t->inbox));
	return PW_OK;
}

static void cluster_stop(struct pw_task *t)
{
	struct cluster *c = (struct cluster *)t;

	member_stop(c);
	cluster_dispose(c);
}

const struct pw_task_ops pw_cluster_ops = {
	.name = "cluster",
	.size_bytes = sizeof(struct cluster),
	.start = cluster_start,
	.receive = cluster_receive,
	.stop = cluster_stop,
};
