/*
 * Replica sets of the groups with synchronous replication, see pw/decide/replica_set.h. They are
 * part of the primaries record, so that each VM reads them when it starts. The VM of the lowest
 * rank for a group writes its set, by compare-and-swap; the others follow if it does not.
 */
#include <inttypes.h>
#include <string.h>

#include "cluster_private.h"
#include "pw/core/clock.h"
#include "pw/core/error.h"
#include "pw/core/event.h"
#include "pw/decide/registry.h"

/* Number of VMs, by rank, that may write the set of a group, each if the ones before do not. */
#define WRITER_COUNT 3
/* Eras are counted from here; a store that was restored from a copy is in a later one. */
#define FIRST_ERA 1
/*
 * Time after which the entry of a server that was left out of the set counts again, if it is still
 * there by a later read: the list keeps servers for a while whose entries are gone.
 */
#define RETURN_AFTER_US (PW_REGISTRY_GRACE_PERIOD_US + 300 * PW_US_PER_MS)

/* A replica set that has to be written. */
struct replica_change {
	struct cluster *cluster;
	uint64_t generation; /**< of the primary that the record named when this was found */
	uint64_t since_us;   /**< when the need was found */
	enum pw_replica_set_step step;
	GPtrArray *entries; /**< struct pw_server_entry, servers registered or in the set */
	GArray *views;      /**< struct pw_replica_view, parallel to `entries` */
	GPtrArray *queries; /**< struct status_query in flight or NULL, parallel to `entries` */
	struct pw_replica_set_proof proof;
	bool proved;
	uint32_t round_count; /**< rounds of status queries that were started */
	bool round_failed;    /**< a query of the last one could not be sent */
	uint64_t next_round_us;
};

uint32_t replicas_sync_count(const struct cluster *c, const char *group)
{
	const struct pw_catalog_group *g = pw_catalog_find_group(c->catalog, group);

	return g ? g->sync_replica_count : 0;
}

static void replica_change_free(gpointer data)
{
	struct replica_change *rc = data;

	status_query_cancel_list(rc->queries);
	for (guint i = 0; i < rc->entries->len; i++)
		pw_server_entry_free(g_ptr_array_index(rc->entries, i));
	g_ptr_array_unref(rc->entries);
	g_ptr_array_unref(rc->queries);
	g_array_unref(rc->views);
	g_free(rc);
}

void replicas_start(struct cluster *c)
{
	c->replica_changes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, replica_change_free);
	c->unrecorded = g_ptr_array_new_with_free_func((GDestroyNotify)pw_server_entry_free);
	c->left_out = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void replicas_stop(struct cluster *c)
{
	g_hash_table_unref(c->replica_changes);
	g_ptr_array_unref(c->unrecorded);
	g_hash_table_unref(c->left_out);
}

/*
 * Whether another server of the group is registered at the address, and is to stay: the entry of
 * one that has stopped may outlast it, so that the two could be taken for each other's successor.
 */
static bool has_successor(const struct pw_server_list *servers, const char *group, const char *id,
			  const char *address)
{
	for (guint i = 0; i < servers->entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(servers->entries, i);

		if (strcmp(e->group, group) == 0 && strcmp(e->address, address) == 0 &&
		    strcmp(e->id, id) != 0 && !e->leaving)
			return true;
	}
	return false;
}

/* See `left_out` of struct pw_replica_view. */
static bool is_left_out(const struct cluster *c, const char *id)
{
	const uint64_t *since_us = g_hash_table_lookup(c->left_out, id);

	return since_us && c->freshness.servers_fresh_us < *since_us + RETURN_AFTER_US;
}

static void add_view(const struct cluster *c, const struct pw_primary *primary,
		     const struct pw_server_entry *e, bool registered, GPtrArray *entries,
		     GArray *views)
{
	const struct pw_replica *r = pw_replica_set_find(primary->replica_set, e->id);
	const struct pw_replica_view v = {
		.is_primary = strcmp(e->id, primary->server_id) == 0,
		/* A server that has another address now is written again. */
		.recorded = r && strcmp(r->address, e->address) == 0,
		.recorded_stopping = r && r->is_stopping,
		.registered = registered,
		.left_out = registered && is_left_out(c, e->id),
		/* The entry of an evacuated zone does not tell whether the server stops. */
		.stopping = e->evacuated ? r && r->is_stopping : e->leaving,
		.has_successor = has_successor(c->servers, primary->group, e->id, e->address),
	};

	g_ptr_array_add(entries, pw_server_entry_copy(e));
	g_array_append_val(views, v);
}

/* Lists the servers of a group that are registered, recorded, or were seen and not yet recorded. */
static void list_servers(const struct cluster *c, const struct pw_primary *primary,
			 GPtrArray *entries, GArray *views)
{
	for (guint i = 0; i < c->servers->entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(c->servers->entries, i);

		if (strcmp(e->group, primary->group) == 0)
			add_view(c, primary, e, true, entries, views);
	}
	for (guint i = 0; primary->replica_set && i < primary->replica_set->len; i++) {
		const struct pw_replica *r = g_ptr_array_index(primary->replica_set, i);
		const struct pw_server_entry e = {
			.id = r->id,
			.group = primary->group,
			.address = r->address,
			.availability_zone = (char *)(uintptr_t) "",
		};

		if (!pw_server_list_find(c->servers, r->id))
			add_view(c, primary, &e, false, entries, views);
	}
	for (guint i = 0; i < c->unrecorded->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(c->unrecorded, i);

		if (strcmp(e->group, primary->group) == 0)
			add_view(c, primary, e, false, entries, views);
	}
}

GPtrArray *replicas_list_missing(const struct cluster *c, const struct pw_primary *primary)
{
	GPtrArray *entries = g_ptr_array_new(), *missing;
	GArray *views = g_array_new(FALSE, TRUE, sizeof(struct pw_replica_view));

	missing = g_ptr_array_new_with_free_func((GDestroyNotify)pw_server_entry_free);
	list_servers(c, primary, entries, views);
	for (guint i = 0; i < entries->len; i++) {
		const struct pw_replica_view *v = &g_array_index(views, struct pw_replica_view, i);

		if (!v->registered && !v->is_primary && pw_replica_set_counts(v))
			g_ptr_array_add(missing, g_ptr_array_index(entries, i));
		else
			pw_server_entry_free(g_ptr_array_index(entries, i));
	}
	g_ptr_array_unref(entries);
	g_array_unref(views);
	return missing;
}

GPtrArray *replicas_registered_set(const struct cluster *c, const char *group)
{
	GPtrArray *set = pw_replica_set_new();

	for (guint i = 0; i < c->servers->entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(c->servers->entries, i);

		if (strcmp(e->group, group) == 0)
			pw_replica_set_add(set, e->id, e->address, e->leaving && !e->evacuated);
	}
	return set;
}

GPtrArray *replicas_first_set(const struct cluster *c, const char *group)
{
	if (!replicas_sync_count(c, group) || c->era > FIRST_ERA)
		return NULL;
	return replicas_registered_set(c, group);
}

bool replicas_has_successor(const struct cluster *c, const struct pw_server_entry *e)
{
	return e->leaving && !e->evacuated &&
	       has_successor(c->servers, e->group, e->id, e->address);
}

/* Whether two views differ in anything but the answers to queries. */
static bool is_same_view(const struct pw_replica_view *a, const struct pw_replica_view *b)
{
	return a->is_primary == b->is_primary && a->recorded == b->recorded &&
	       a->recorded_stopping == b->recorded_stopping && a->registered == b->registered &&
	       a->stopping == b->stopping && a->left_out == b->left_out &&
	       a->has_successor == b->has_successor;
}

static bool is_same_change(const struct replica_change *a, const struct replica_change *b)
{
	if (a->step != b->step || a->generation != b->generation ||
	    a->entries->len != b->entries->len)
		return false;
	for (guint i = 0; i < a->entries->len; i++) {
		const struct pw_server_entry *x = g_ptr_array_index(a->entries, i);
		const struct pw_server_entry *y = g_ptr_array_index(b->entries, i);

		if (strcmp(x->id, y->id) != 0 || strcmp(x->address, y->address) != 0 ||
		    !is_same_view(&g_array_index(a->views, struct pw_replica_view, i),
				  &g_array_index(b->views, struct pw_replica_view, i)))
			return false;
	}
	return true;
}

/* Finds out whether the replica set of a group has to be written. */
static void update_group(struct cluster *c, const struct pw_primary *primary)
{
	struct replica_change *old = g_hash_table_lookup(c->replica_changes, primary->group), *rc;
	uint32_t sync_replicas = replicas_sync_count(c, primary->group);

	/* A group that the catalogue lacks may come back. */
	if (!pw_catalog_find_group(c->catalog, primary->group) ||
	    (!sync_replicas && !primary->replica_set)) {
		g_hash_table_remove(c->replica_changes, primary->group);
		return;
	}
	rc = g_new0(struct replica_change, 1);
	rc->cluster = c;
	rc->generation = primary->generation;
	rc->since_us = old ? old->since_us : cluster_now_us(c);
	rc->entries = g_ptr_array_new();
	rc->views = g_array_new(FALSE, TRUE, sizeof(struct pw_replica_view));
	rc->queries = g_ptr_array_new();
	list_servers(c, primary, rc->entries, rc->views);
	g_ptr_array_set_size(rc->queries, (gint)rc->entries->len);
	rc->step = pw_replica_set_next((const struct pw_replica_view *)(void *)rc->views->data,
				       rc->views->len, sync_replicas, primary->replica_set != NULL);
	if (old && is_same_change(old, rc)) {
		replica_change_free(rc);
	} else if (rc->step == PW_REPLICA_SET_KEEP) {
		replica_change_free(rc);
		g_hash_table_remove(c->replica_changes, primary->group);
	} else {
		g_hash_table_replace(c->replica_changes, g_strdup(primary->group), rc);
	}
}

/* Whether any group has a replica set or needs one. */
static bool has_replica_sets(const struct cluster *c)
{
	for (guint i = 0; i < c->catalog->groups->len; i++) {
		if (((const struct pw_catalog_group *)g_ptr_array_index(c->catalog->groups, i))
			    ->sync_replica_count)
			return true;
	}
	for (guint i = 0; i < c->primaries->entries->len; i++) {
		if (((const struct pw_primary *)g_ptr_array_index(c->primaries->entries, i))
			    ->replica_set)
			return true;
	}
	return g_hash_table_size(c->replica_changes) > 0;
}

/* Forgets servers that are registered again, that the record has, or whose group needs no set. */
static void prune_unrecorded(struct cluster *c)
{
	for (guint i = c->unrecorded->len; i-- > 0;) {
		const struct pw_server_entry *e = g_ptr_array_index(c->unrecorded, i);
		const struct pw_primary *primary = pw_primaries_find(c->primaries, e->group);

		if (pw_server_list_find(c->servers, e->id) || !replicas_sync_count(c, e->group) ||
		    (primary && pw_replica_set_find(primary->replica_set, e->id)))
			g_ptr_array_remove_index_fast(c->unrecorded, i);
	}
}

void replicas_update(struct cluster *c)
{
	if (!c->primaries || !c->servers || !c->catalog || !has_replica_sets(c))
		return;
	prune_unrecorded(c);
	for (guint i = 0; i < c->primaries->entries->len; i++)
		update_group(c, g_ptr_array_index(c->primaries->entries, i));
	replica_status_publish(c);
}

void replicas_note_left_out(struct cluster *c, const struct pw_primaries *next)
{
	uint64_t now_us = cluster_now_us(c);

	if (!c->primaries || !c->servers || !c->catalog || !has_replica_sets(c))
		return;
	for (guint i = 0; i < c->servers->entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(c->servers->entries, i);
		const struct pw_primary *before = pw_primaries_find(c->primaries, e->group);
		const struct pw_primary *after = pw_primaries_find(next, e->group);

		if (!before || !after || !after->replica_set)
			continue;
		if (pw_replica_set_find(after->replica_set, e->id))
			g_hash_table_remove(c->left_out, e->id);
		else if (pw_replica_set_find(before->replica_set, e->id))
			g_hash_table_replace(c->left_out, g_strdup(e->id),
					     g_memdup2(&now_us, sizeof(now_us)));
	}
}

/* Forgets that a server was left out once its entry is gone or has changed since. */
static void prune_left_out(struct cluster *c, const struct pw_server_list *next)
{
	GHashTableIter it;
	gpointer id;

	g_hash_table_iter_init(&it, c->left_out);
	while (g_hash_table_iter_next(&it, &id, NULL)) {
		const struct pw_server_entry *before = pw_server_list_find(c->servers, id);
		const struct pw_server_entry *after = pw_server_list_find(next, id);

		if (!before || !after || before->started_ms != after->started_ms)
			g_hash_table_iter_remove(&it);
	}
}

void replicas_keep_unrecorded(struct cluster *c, const struct pw_server_list *next)
{
	if (!c->primaries || !c->servers || !c->catalog || !has_replica_sets(c))
		return;
	for (guint i = 0; i < c->servers->entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(c->servers->entries, i);
		const struct pw_primary *primary = pw_primaries_find(c->primaries, e->group);

		if (primary && replicas_sync_count(c, e->group) &&
		    !pw_server_list_find(next, e->id) && !is_left_out(c, e->id) &&
		    !(e->leaving && !e->evacuated &&
		      has_successor(next, e->group, e->id, e->address)) &&
		    !pw_replica_set_find(primary->replica_set, e->id))
			g_ptr_array_add(c->unrecorded, pw_server_entry_copy(e));
	}
	prune_left_out(c, next);
}

static bool is_round_done(const struct replica_change *rc)
{
	for (guint i = 0; i < rc->queries->len; i++) {
		if (g_ptr_array_index(rc->queries, i))
			return false;
	}
	return true;
}

static void handle_status_row(void *owner, struct status_query *q,
			      const struct pw_server_status_row *row)
{
	struct replica_change *rc = owner;

	for (guint i = 0; i < rc->entries->len; i++) {
		struct pw_replica_view *v = &g_array_index(rc->views, struct pw_replica_view, i);

		if (rc->queries->pdata[i] != q)
			continue;
		rc->queries->pdata[i] = NULL;
		if (!row)
			continue;
		v->reported = true;
		v->acts_as_primary = row->is_primary;
		v->log_end = row->log_end;
	}
	if (is_round_done(rc))
		replicas_tick(rc->cluster);
}

static const struct status_query_ops status_query_ops = { .done = handle_status_row };

/* Whether statements may be sent to a server: not once the time to evacuate its zone is over. */
static bool may_query(const struct cluster *c, const char *id)
{
	const struct pw_server_entry *e = pw_server_list_find(c->servers, id);

	return !e || !e->evacuated || cluster_now_us(c) < e->evacuation_stop_us;
}

static void start_round(struct replica_change *rc)
{
	struct cluster *c = rc->cluster;

	rc->round_failed = false;
	for (guint i = 0; i < rc->entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(rc->entries, i);

		g_array_index(rc->views, struct pw_replica_view, i).reported = false;
		if (!may_query(c, e->id))
			continue;
		rc->queries->pdata[i] = status_query_start(c, e, 0, &status_query_ops, rc);
		rc->round_failed = rc->round_failed || !rc->queries->pdata[i];
	}
	rc->next_round_us = cluster_now_us(c) + pw_replica_set_round_delay_us(rc->round_count++);
}

/* Queries the servers until it is proved that a set without some of them has every commit. */
static void continue_proof(struct replica_change *rc, uint32_t sync_replicas)
{
	if (rc->proved || !is_round_done(rc))
		return;
	/* A server that was not asked does not count as silent. */
	if (rc->round_count && !rc->round_failed)
		rc->proved = pw_replica_set_prove(&rc->proof,
						  (struct pw_replica_view *)(void *)rc->views->data,
						  rc->views->len, sync_replicas);
	if (!rc->proved && cluster_now_us(rc->cluster) >= rc->next_round_us)
		start_round(rc);
}

/* Returns the set that is to be written; NULL: it is not known. */
static GPtrArray *build_set(const struct replica_change *rc)
{
	GPtrArray *set;

	if (rc->step == PW_REPLICA_SET_CLEAR)
		return NULL;
	set = pw_replica_set_new();
	for (guint i = 0; i < rc->entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(rc->entries, i);
		const struct pw_replica_view *v =
			&g_array_index(rc->views, struct pw_replica_view, i);

		if (pw_replica_set_has(v, rc->proved))
			pw_replica_set_add(set, e->id, e->address,
					   v->registered ? v->stopping : v->recorded_stopping);
	}
	return set;
}

static char *format_set(const GPtrArray *set)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; set && i < set->len; i++)
		g_string_append_printf(text, "%s%s", i ? " " : "",
				       ((const struct pw_replica *)g_ptr_array_index(set, i))->id);
	return g_string_free(text, FALSE);
}

/* Whether this VM writes the set of the group now, if it has what it needs for that. */
static bool is_due(struct cluster *c, const struct replica_change *rc,
		   const struct pw_primary *primary)
{
	uint64_t now_us = cluster_now_us(c);
	uint32_t rank;

	if (primary->changing || primary->generation != rc->generation)
		return false;
	/* Just after its start a VM has not yet heard of the members that it has read. */
	rank = change_rank(c, primary, now_us >= c->started_us + PW_PERMIT_DURATION_US);
	return rank < WRITER_COUNT && now_us >= rc->since_us + rank * PW_CHANGE_RANK_DELAY_US;
}

/* Puts the sets that can be written into a copy of the record. Returns NULL if there are none. */
static struct pw_primaries *build_record(struct cluster *c)
{
	struct pw_primaries *record = NULL;
	GHashTableIter it;
	gpointer group, item;

	g_hash_table_iter_init(&it, c->replica_changes);
	while (g_hash_table_iter_next(&it, &group, &item)) {
		struct replica_change *rc = item;
		const struct pw_primary *primary = pw_primaries_find(c->primaries, group);
		GPtrArray *set;
		char *before, *after;

		if (!primary || !is_due(c, rc, primary))
			continue;
		if (rc->step == PW_REPLICA_SET_PROVE) {
			continue_proof(rc, replicas_sync_count(c, group));
			if (!rc->proved)
				continue;
		}
		if (!record)
			record = pw_primaries_copy(c->primaries);
		set = build_set(rc);
		before = format_set(primary->replica_set);
		after = format_set(set);
		pw_event_log(PW_EVENT_REPLICA_SET,
			     "database=%s term=%" PRIu64 " servers=\"%s\" former=\"%s\" proved=%d",
			     (const char *)group, primary->generation, after, before, rc->proved);
		g_free(before);
		g_free(after);
		pw_primaries_set_replica_set(record, group, set);
	}
	return record;
}

/*
 * Whether a write whose answer was lost may still take effect. Another write of the same revision
 * prevents that: the servers that the lost one left out may be back by then.
 */
static bool may_write_take_effect(const struct cluster *c)
{
	return c->lost_set_revision && c->primaries->revision == c->lost_set_revision;
}

void replicas_write(struct cluster *c, struct pw_primaries *record)
{
	c->written_sets = record;
	cluster_write_primaries(c, record, TAG_REPLICA_SETS);
}

void replicas_tick(struct cluster *c)
{
	struct pw_primaries *record;
	uint64_t now_us = cluster_now_us(c);

	if (!c->primaries || !c->servers || !c->catalog)
		return;
	replica_status_end_waits(c);
	if (!c->renewal_ok || c->leaving || c->written_sets || now_us < c->sets_not_before_us ||
	    !era_is_record_current(c) || !c->members_read_us)
		return;
	record = build_record(c);
	if (!record && may_write_take_effect(c))
		record = pw_primaries_copy(c->primaries);
	if (!record)
		return;
	replicas_write(c, record);
}

/* A server that was gone may answer again before the next write. */
static void repeat_proofs(struct cluster *c)
{
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, c->replica_changes);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		struct replica_change *rc = item;

		rc->proof = (struct pw_replica_set_proof){ 0 };
		rc->proved = false;
		rc->round_count = 0;
	}
}

void replicas_handle_result(struct cluster *c, const struct pw_store_result *base)
{
	struct pw_primaries *record = g_steal_pointer(&c->written_sets);

	if (!record)
		return;
	if (base->code == PW_OK) {
		record->revision = base->revision;
		cluster_apply_primaries(c, record);
		replica_status_answer(c, PW_OK, "{}");
		return;
	}
	replica_status_answer(c, base->code, base->message);
	if (base->code != PW_ECONFLICT)
		c->lost_set_revision = record->revision;
	pw_primaries_unref(record);
	repeat_proofs(c);
	c->sets_not_before_us = cluster_now_us(c) + CLUSTER_RETRY_DELAY_US;
	if (base->code == PW_ECONFLICT)
		(void)cluster_apply_conflicting_record(c, (const struct pw_store_txn_result *)base);
}
