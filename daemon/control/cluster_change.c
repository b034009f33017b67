/*
 * Change of the primary of a group, led by this VM. Its phases:
 *
 *   CLAIM         mark the group as changing in the primaries record, with this VM as the holder
 *                 and a new fencing token
 *   LIST_MEMBERS  read all members, page by page, since any may hold a permit to use the current
 *                 primary
 *   QUIESCE       wait until each member has confirmed the mark; revoke the leases of those that
 *                 do not confirm it, and wait until their permits have expired
 *   SELECT        query the servers for their log positions until one can be promoted
 *   PROMOTE       send the promotion request
 *   VERIFY        query the server until it reports that the promotion has taken effect
 *   RECORD        write the new primary into the record
 */
#include <inttypes.h>
#include <string.h>

#include "cluster_private.h"
#include "pw/core/clock.h"
#include "pw/core/counter.h"
#include "pw/core/error.h"
#include "pw/core/event.h"
#include "pw/core/histogram.h"

/*
 * The lease of a member that has sent no pulse for this long (more than two PULSE_INTERVAL_US), or
 * for two intervals of its pulses if that is longer, is revoked at once. For a member that was not
 * heard of yet the time counts from when this VM learned of it.
 */
#define MEMBER_SILENT_US (600 * PW_US_PER_MS)
/* Interval at which members of a large fleet that have not confirmed are asked whether they have.
 */
#define ASK_INTERVAL_US (100 * PW_US_PER_MS)
/* Interval of the rounds of status queries. */
#define QUERY_INTERVAL_US (50 * PW_US_PER_MS)
/*
 * After this time in PHASE_SELECT, the replica with the longest known log is promoted, even if it
 * lags behind the primary or other replicas have not answered. With synchronous replication, enough
 * of them must have answered to be sure that one has every commit.
 */
#define CATCH_UP_TIMEOUT_US (700 * PW_US_PER_MS)
/* Timeout of the promotion request. */
#define PROMOTION_TIMEOUT_US (700 * PW_US_PER_MS)

#define TAG_MASK             ((UINT64_C(1) << LEASE_TAG_SHIFT) - 1)
#define LEASE_INDEX_MASK     ((UINT64_C(1) << (CHANGE_TAG_SHIFT - LEASE_TAG_SHIFT)) - 1)

enum change_phase {
	PHASE_CLAIM,
	PHASE_LIST_MEMBERS,
	PHASE_QUIESCE,
	PHASE_SELECT,
	PHASE_PROMOTE,
	PHASE_VERIFY,
	PHASE_RECORD,
};

/* Lease of a member, to be revoked before the promotion unless the member confirms the mark. */
struct lease {
	char *member;
	int64_t id;
	bool revoke_sent;
	uint64_t revoked_us; /**< when the revocation was answered; 0: not yet */
	/** When this VM first saw that the member has settled the mark; 0: not yet. */
	uint64_t settled_us;
};

struct change {
	struct pw_promotion_call promotion;
	struct cluster *cluster;
	char *group;
	uint64_t number;
	enum pw_change_reason reason;
	enum change_phase phase;
	bool planned; /**< at the start most votes reach the primary: its statements may finish */
	uint64_t generation;      /**< of the primary that the change replaces */
	uint64_t abandoned_token; /**< PW_CHANGE_ABANDONED: token of that mark; 0: not known */
	uint64_t started_us;
	uint64_t phase_entered_us;
	int64_t marked_revision; /**< revision of the primaries record that carries the mark */
	uint64_t fencing_token;
	uint32_t era;          /**< era of the store in which the change was started */
	GArray *leases;        /**< struct lease, of all other members on the pages read so far */
	char *last_member_key; /**< last key of these pages; NULL: none was read */
	uint64_t listed_us;    /**< when the list of members was complete */
	bool follows_change;   /**< the record of the group changed just before the claim */
	uint64_t next_ask_us;  /**< when members that have not confirmed are asked again */
	GPtrArray *entries;    /**< struct pw_server_entry, servers of the group */
	GArray *servers;       /**< struct pw_change_server, parallel to `entries` */
	GPtrArray *queries;    /**< struct status_query in flight or NULL, parallel to `entries` */
	uint64_t next_query_us;
	int32_t target;                        /**< index of the server to promote; -1: none yet */
	struct pw_change_server target_before; /**< its report before the promotion request */
	uint64_t promotion_answered_us;        /**< when the last promotion request ended */
	bool claim_pending;                    /**< a claim is in flight */
	bool promotion_pending;                /**< a promotion request is in flight */
	bool promotion_sent; /**< a promotion request was sent and may have taken effect */
	bool wait_logged;    /**< see log_wait() */
	bool ended;
};

static void end_change(struct change *ch, enum pw_event event, const char *reason)
{
	struct cluster *c = ch->cluster;

	if (ch->ended)
		return;
	pw_event_log(event, "database=%s term=%" PRIu64 " primary=%s reason=\"%s\" ms=%" PRIu64,
		     ch->group, ch->fencing_token,
		     ch->target >= 0 ? ((struct pw_server_entry *)g_ptr_array_index(
						ch->entries, (guint)ch->target))
					       ->id
				     : "",
		     reason, (cluster_now_us(c) - ch->started_us) / PW_US_PER_MS);
	ch->ended = true;
	status_query_cancel_list(ch->queries);
	g_hash_table_remove(c->changes, ch->group);
}

static void lease_clear(gpointer data)
{
	g_free(((struct lease *)data)->member);
}

/* Disposes of a change that was removed from `changes`; free_ended_changes() frees its memory. */
static void change_free(gpointer data)
{
	struct change *ch = data;

	g_array_unref(ch->leases);
	g_free(ch->last_member_key);
	for (guint i = 0; i < ch->entries->len; i++)
		pw_server_entry_free(g_ptr_array_index(ch->entries, i));
	g_ptr_array_unref(ch->entries);
	g_array_unref(ch->servers);
	g_ptr_array_unref(ch->queries);
	g_free(ch->group);
	/* Callers further up the stack and a promotion request in flight may still refer to it. */
	g_ptr_array_add(ch->cluster->ended_changes, ch);
}

static void enter_phase(struct change *ch, enum change_phase phase)
{
	ch->phase = phase;
	ch->phase_entered_us = cluster_now_us(ch->cluster);
}

static uint64_t change_tag(const struct change *ch, enum cluster_tag tag)
{
	return ch->number << CHANGE_TAG_SHIFT | tag;
}

static uint64_t lease_revoke_tag(const struct change *ch, guint index)
{
	return change_tag(ch, TAG_REVOKE_LEASE) | (uint64_t)index << LEASE_TAG_SHIFT;
}

static struct change *find_change(struct cluster *c, uint64_t tag)
{
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, c->changes);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		if (((struct change *)item)->number == tag >> CHANGE_TAG_SHIFT)
			return item;
	}
	return NULL;
}

/* Name of a write of the record for the log, or NULL if calls with this tag do not write it. */
static const char *record_write_name(uint64_t tag)
{
	switch (tag) {
	case TAG_CLAIM:
		return "claim";
	case TAG_RECORD_PRIMARY:
		return "primary";
	case TAG_CLEAR_MARK:
		return "clear";
	default:
		return NULL;
	}
}

/* Writes the record for a change, see cluster_write_primaries(). Frees `record`. */
static void write_record(struct change *ch, struct pw_primaries *record, enum cluster_tag tag)
{
	const struct pw_primaries *current = ch->cluster->primaries;

	cluster_write_primaries(ch->cluster, record, change_tag(ch, tag));
	pw_event_log(PW_EVENT_RECORD_WRITE_SENT,
		     "database=%s term=%" PRIu64 " write=%s revision=%" PRId64
		     " holder=%s token=%" PRIu64,
		     ch->group, ch->fencing_token, record_write_name(tag), current->revision,
		     current->holder ? current->holder : "", current->fencing_token);
	pw_primaries_unref(record);
}

/*
 * Whether the group is marked by this change. If not, another VM has taken the change over or has
 * ended it, and this VM must neither clear the mark nor promote or record a primary.
 */
static bool is_in_charge(const struct change *ch)
{
	return pw_primaries_is_marked_by(ch->cluster->primaries, ch->group, ch->fencing_token);
}

/*
 * Ends a change without a new primary. Its own mark is removed if no promotion request was sent, so
 * that the current primary can be used again. Otherwise the mark stays, since the request may have
 * taken effect and only a later change that queries the servers can tell which of them is primary.
 * A later change also clears a mark whose removal fails, so the result is not awaited.
 */
static void abort_change(struct change *ch, const char *reason)
{
	if (ch->phase > PHASE_CLAIM && ch->phase < PHASE_PROMOTE && !ch->promotion_sent &&
	    is_in_charge(ch)) {
		struct pw_primaries *record = pw_primaries_copy(ch->cluster->primaries);

		pw_primaries_clear_mark(record, ch->group);
		write_record(ch, record, TAG_CLEAR_MARK);
	}
	pw_counter_inc(PW_COUNTER_FAILOVERS_LOST);
	end_change(ch, PW_EVENT_FAILOVER_GIVEN_UP, reason);
}

static void claim_change(struct change *ch)
{
	struct cluster *c = ch->cluster;
	struct pw_primaries *record = pw_primaries_copy(c->primaries);

	pw_primaries_mark(record, ch->group, c->directory->settings->vm_name, c->incarnation,
			  ch->planned);
	ch->fencing_token = record->fencing_token;
	enter_phase(ch, PHASE_CLAIM);
	ch->claim_pending = true;
	write_record(ch, record, TAG_CLAIM);
}

static void record_primary(struct change *ch)
{
	struct cluster *c = ch->cluster;
	struct pw_primaries *record = pw_primaries_copy(c->primaries);
	const struct pw_server_entry *e = g_ptr_array_index(ch->entries, (guint)ch->target);

	/* Before the record was written again, another VM may have completed a change. */
	if (ch->era != c->era &&
	    pw_primaries_find(record, ch->group)->generation >= ch->fencing_token) {
		pw_primaries_unref(record);
		abort_change(ch, "a newer change was completed");
		return;
	}
	pw_primaries_set(record, ch->group, e->id, ch->cluster->directory->settings->vm_name,
			 ch->fencing_token);
	enter_phase(ch, PHASE_RECORD);
	write_record(ch, record, TAG_RECORD_PRIMARY);
}

/*
 * Applies the record that this VM has just written, without reading it back.
 *
 * @param promoted true: the record names the new primary; false: it marks the group as changing
 */
static void apply_own_record(struct change *ch, int64_t revision, bool promoted)
{
	struct cluster *c = ch->cluster;
	struct pw_primaries *record = pw_primaries_copy(c->primaries);

	record->revision = revision;
	if (promoted) {
		const struct pw_server_entry *e = g_ptr_array_index(ch->entries, (guint)ch->target);

		pw_primaries_set(record, ch->group, e->id,
				 ch->cluster->directory->settings->vm_name, ch->fencing_token);
	} else {
		pw_primaries_mark(record, ch->group, c->directory->settings->vm_name,
				  c->incarnation, ch->planned);
	}
	cluster_apply_primaries(c, record);
}

/* Reads the next page of the member list. */
static void request_members(struct change *ch)
{
	const struct pw_store_range req = {
		.key = ch->cluster->members_prefix,
		.prefix = true,
		.after_key = ch->last_member_key,
	};

	enter_phase(ch, PHASE_LIST_MEMBERS);
	cluster_send_to_store(ch->cluster,
			      pw_store_range_msg_new(ch->cluster->task.inbox,
						     change_tag(ch, TAG_CHANGE_MEMBERS),
						     PW_STORE_CALL_TIMEOUT_US, &req));
}

/*
 * Whether the group still has the primary for which the change was started, and the same abandoned
 * mark or none.
 */
static bool is_still_due(const struct change *ch)
{
	const struct pw_primary *primary = pw_primaries_find(ch->cluster->primaries, ch->group);

	if (!primary || primary->generation != ch->generation)
		return false;
	if (ch->reason != PW_CHANGE_ABANDONED)
		return !primary->changing;
	return primary->changing && ch->abandoned_token &&
	       primary->mark_token == ch->abandoned_token;
}

/*
 * Whether the group has the mark of a claim whose answer was lost. Another VM may have taken the
 * same token from the same record, so the holder of that token is compared as well.
 */
static bool is_claimed(const struct change *ch)
{
	const struct pw_primaries *record = ch->cluster->primaries;

	return is_in_charge(ch) && record->fencing_token == ch->fencing_token &&
	       g_strcmp0(record->holder, ch->cluster->directory->settings->vm_name) == 0;
}

/*
 * Goes on with a change after a conflict of its claim, or after a claim whose outcome is unknown.
 * The conflict may concern another group, or be one with an earlier attempt of the same claim.
 */
static void repeat_claim(struct change *ch)
{
	if (is_claimed(ch)) {
		ch->marked_revision = ch->cluster->primaries->revision;
		request_members(ch);
	} else if (is_still_due(ch)) {
		claim_change(ch);
	} else {
		abort_change(ch, "the record was changed by another VM");
	}
}

static void handle_claim_result(struct change *ch, const struct pw_store_result *base)
{
	ch->claim_pending = false;
	/* The outcome is unknown; the tick calls repeat_claim(). */
	if (base->code == PW_ETIMEOUT)
		return;
	if (base->code == PW_OK) {
		ch->marked_revision = base->revision;
		apply_own_record(ch, base->revision, false);
		request_members(ch);
	} else if (base->code == PW_ECONFLICT &&
		   cluster_apply_conflicting_record(ch->cluster,
						    (const struct pw_store_txn_result *)base)) {
		repeat_claim(ch);
	} else {
		abort_change(ch, base->message);
	}
}

/* Whether a member has confirmed the record of this revision, or a newer one. */
static bool has_confirmed(struct cluster *c, const char *name, int64_t revision)
{
	const struct member *m = g_hash_table_lookup(c->members, name);

	return m && m->confirmed_revision >= revision;
}

/* Logs a step of the change, and what is known of the members that it waits for. */
static void log_step(struct change *ch, const char *step)
{
	struct cluster *c = ch->cluster;
	uint32_t confirmed_count = 0, settled_count = 0, unheard_count = 0, revoked_count = 0;

	if (!pw_event_is_logged(PW_EVENT_CHANGE_STEP))
		return;
	for (guint i = 0; i < ch->leases->len; i++) {
		const struct lease *l = &g_array_index(ch->leases, struct lease, i);
		const struct member *m = g_hash_table_lookup(c->members, l->member);

		revoked_count += l->revoke_sent;
		if (has_confirmed(c, l->member, ch->marked_revision))
			confirmed_count++;
		else if (m && m->settled_revision >= ch->marked_revision)
			settled_count++;
		else
			unheard_count += !m || m->primaries_revision < ch->marked_revision;
	}
	pw_event_log(PW_EVENT_CHANGE_STEP,
		     "database=%s term=%" PRIu64 " step=%s ms=%" PRIu64
		     " members=%u confirmed=%u settled=%u unheard=%u revoked=%u",
		     ch->group, ch->fencing_token, step,
		     (cluster_now_us(c) - ch->started_us) / PW_US_PER_MS, ch->leases->len,
		     confirmed_count, settled_count, unheard_count, revoked_count);
}

static void handle_members_result(struct change *ch, const struct pw_store_result *base)
{
	const struct pw_store_range_result *r = (const struct pw_store_range_result *)base;

	if (base->code) {
		if (cluster_now_us(ch->cluster) - ch->started_us < PW_CHANGE_PROMOTE_DEADLINE_US)
			request_members(ch);
		else
			abort_change(ch, base->message);
		return;
	}
	for (size_t i = 0; i < r->kv_count; i++) {
		struct member *m = member_add_listed(ch->cluster, &r->kvs[i]);
		struct lease l = { .id = r->kvs[i].lease_id };

		if (!m)
			continue;
		l.member = g_strdup(m->name);
		g_array_append_val(ch->leases, l);
	}
	if (r->has_more) {
		if (r->kv_count) {
			g_free(ch->last_member_key);
			ch->last_member_key = g_strdup(r->kvs[r->kv_count - 1].key);
		}
		request_members(ch);
		return;
	}
	ch->listed_us = cluster_now_us(ch->cluster);
	log_step(ch, "listed");
	enter_phase(ch, PHASE_QUIESCE);
	ch->next_ask_us = ch->listed_us + ASK_INTERVAL_US;
}

static bool is_listed(const struct change *ch, const char *name)
{
	for (guint i = 0; i < ch->leases->len; i++) {
		if (strcmp(g_array_index(ch->leases, struct lease, i).member, name) == 0)
			return true;
	}
	return false;
}

static bool is_recent(const struct cluster *c, const char *group, uint64_t at_us)
{
	return cluster_record_since_us(c, group) + PW_PERMIT_DURATION_US > at_us;
}

/* Whether another change may have revoked a lease whose permit held when the members were listed.
 */
static bool may_have_revoked_leases(const struct change *ch)
{
	const struct cluster *c = ch->cluster;

	if (ch->follows_change)
		return true;
	for (guint i = 0; i < c->primaries->entries->len; i++) {
		const struct pw_primary *p = g_ptr_array_index(c->primaries->entries, i);

		if (strcmp(p->group, ch->group) != 0 &&
		    (p->changing || is_recent(c, p->group, ch->listed_us)))
			return true;
	}
	return false;
}

/*
 * Whether a member that is not on the list may still have a permit: another change has revoked its
 * lease, which ends its entry at once, but not the permit.
 */
static bool has_unlisted_permit(const struct change *ch)
{
	struct cluster *c = ch->cluster;
	GHashTableIter it;
	gpointer item;

	if (!pw_permit_is_valid(ch->listed_us + PW_PERMIT_DURATION_US, cluster_now_us(c)) ||
	    !may_have_revoked_leases(ch))
		return false;
	g_hash_table_iter_init(&it, c->members);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		const struct member *m = item;

		if (!m->leaving && m->confirmed_revision < ch->marked_revision &&
		    !is_listed(ch, m->name))
			return true;
	}
	return false;
}

static void send_lease_revoke(struct change *ch, guint index)
{
	const struct lease *l = &g_array_index(ch->leases, struct lease, index);

	cluster_send_to_store(ch->cluster,
			      pw_store_lease_revoke_msg_new(ch->cluster->task.inbox,
							    lease_revoke_tag(ch, index),
							    PW_STORE_CALL_TIMEOUT_US, l->id));
}

/* Time since the last pulse of a member; before the first, since this VM learned of it. */
static uint64_t member_silence_us(const struct cluster *c, const struct member *m)
{
	return cluster_now_us(c) - MAX(m->last_heard_us, m->known_since_us);
}

/* Whether a member is unknown to this VM, or silent as described at MEMBER_SILENT_US. */
static bool is_member_silent(const struct cluster *c, const char *name)
{
	const struct member *m = g_hash_table_lookup(c->members, name);

	return !m ||
	       member_silence_us(c, m) > MAX(MEMBER_SILENT_US, 2 * pulse_member_interval_us(c));
}

/* What this VM knows of the member of a lease. */
static struct pw_change_member view_member(const struct change *ch, const struct lease *l)
{
	struct cluster *c = ch->cluster;
	const struct member *m = g_hash_table_lookup(c->members, l->member);

	return (struct pw_change_member){
		.confirmed = has_confirmed(c, l->member, ch->marked_revision),
		.silent = is_member_silent(c, l->member),
		.answers = m && m->last_heard_us > ch->listed_us,
		.settled_us = l->settled_us,
		.revoked_us = l->revoked_us,
	};
}

/*
 * Revokes the leases of members that have not confirmed the mark in time, so that they cannot renew
 * their permits.
 */
static void revoke_unconfirmed_leases(struct change *ch)
{
	struct cluster *c = ch->cluster;
	const struct pw_change_quiesce q = {
		.planned = ch->planned,
		.by_asking = cluster_is_large_fleet(c),
	};
	uint64_t waited_us = cluster_now_us(c) - ch->listed_us;
	bool any_sent = false;

	for (guint i = 0; i < ch->leases->len; i++) {
		struct lease *l = &g_array_index(ch->leases, struct lease, i);
		const struct pw_change_member view = view_member(ch, l);
		const struct member *m;

		if (l->revoke_sent || !pw_change_should_revoke(&view, &q, waited_us))
			continue;
		l->revoke_sent = true;
		any_sent = true;
		m = g_hash_table_lookup(c->members, l->member);
		pw_event_log(PW_EVENT_PERMIT_REVOKED,
			     "database=%s peer=%s lease=%" PRId64 " waited_ms=%" PRIu64
			     " silent_ms=%" PRIu64 " knows_mark=%d needs_permit=%d",
			     ch->group, l->member, l->id, waited_us / PW_US_PER_MS,
			     m ? member_silence_us(c, m) / PW_US_PER_MS : 0,
			     m && m->primaries_revision >= ch->marked_revision,
			     m && m->needs_permit);
		send_lease_revoke(ch, i);
	}
	if (any_sent)
		log_step(ch, "revokes");
}

static void handle_lease_revoked(struct change *ch, guint index, const struct pw_store_result *base)
{
	if (index >= ch->leases->len)
		return;
	if (base->code == PW_OK || base->code == PW_ENOTFOUND)
		g_array_index(ch->leases, struct lease, index).revoked_us =
			cluster_now_us(ch->cluster);
	else
		send_lease_revoke(ch, index);
}

static void add_server(struct change *ch, const struct pw_server_entry *e,
		       const struct pw_change_server *s)
{
	g_ptr_array_add(ch->entries, pw_server_entry_copy(e));
	g_ptr_array_add(ch->queries, NULL);
	g_array_append_vals(ch->servers, s, 1);
}

static bool is_synchronous(const struct change *ch)
{
	const struct pw_catalog_group *g = pw_catalog_find_group(ch->cluster->catalog, ch->group);

	return g && g->sync_replica_count;
}

/* Adds the replicas of the set that are not registered. They are queried, and may answer. */
static void add_missing_servers(struct change *ch, const struct pw_primary *primary)
{
	GPtrArray *missing = replicas_list_missing(ch->cluster, primary);
	const struct pw_change_server s = { .departed = true };

	for (guint i = 0; i < missing->len; i++)
		add_server(ch, g_ptr_array_index(missing, i), &s);
	g_ptr_array_unref(missing);
}

/* Sets whether a server may be promoted, by what its entry and the promoter say. */
static void set_eligibility(const struct change *ch, struct pw_change_server *s, bool leaving)
{
	s->eligible =
		!leaving && !s->refused && (!s->is_primary || ch->reason == PW_CHANGE_ABANDONED);
	s->leaving = leaving && !s->refused && !s->is_primary;
}

/* Lists the servers of the group, which are then queried and compared, and enters PHASE_SELECT. */
static void start_selection(struct change *ch)
{
	struct cluster *c = ch->cluster;
	const struct pw_primary *primary = pw_primaries_find(c->primaries, ch->group);
	bool synchronous = is_synchronous(ch);

	for (guint i = 0; i < c->servers->entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(c->servers->entries, i);
		bool is_primary = strcmp(e->id, primary->server_id) == 0;
		struct pw_change_server s = {
			.is_primary = is_primary,
			.distance = strcmp(e->availability_zone,
					   c->directory->settings->availability_zone) != 0,
		};

		set_eligibility(ch, &s, e->leaving);
		if (strcmp(e->group, ch->group) != 0 ||
		    (synchronous && !is_primary && replicas_has_successor(c, e)))
			continue;
		add_server(ch, e, &s);
	}
	if (synchronous)
		add_missing_servers(ch, primary);
	enter_phase(ch, PHASE_SELECT);
}

/* Records that the members of leases have settled the mark, see pw_change_permit_is_over(). */
static void record_settled_members(struct change *ch)
{
	struct cluster *c = ch->cluster;

	for (guint i = 0; i < ch->leases->len; i++) {
		struct lease *l = &g_array_index(ch->leases, struct lease, i);
		const struct member *m = g_hash_table_lookup(c->members, l->member);

		if (!l->settled_us && m && m->settled_revision >= ch->marked_revision)
			l->settled_us = cluster_now_us(c);
	}
}

static bool are_permits_over(const struct change *ch)
{
	for (guint i = 0; i < ch->leases->len; i++) {
		const struct pw_change_member view =
			view_member(ch, &g_array_index(ch->leases, struct lease, i));

		if (!pw_change_permit_is_over(&view, cluster_now_us(ch->cluster)))
			return false;
	}
	return true;
}

/* Asks the members that have not confirmed the mark; the notice that they have may be lost. */
static void ask_unconfirmed_members(struct change *ch)
{
	struct cluster *c = ch->cluster;

	ch->next_ask_us = cluster_now_us(c) + ASK_INTERVAL_US;
	for (guint i = 0; i < ch->leases->len; i++) {
		const struct lease *l = &g_array_index(ch->leases, struct lease, i);
		struct member *m = g_hash_table_lookup(c->members, l->member);

		if (m && !has_confirmed(c, l->member, ch->marked_revision))
			pulse_ask_settled(c, m);
	}
}

/*
 * Returns whether no VM can use the current primary any more: this VM has confirmed the mark, and
 * the permits of all members are over. All permits whose leases were revoked before the list was
 * read have expired as well by then. Once this VM has confirmed the mark, revokes the leases of
 * members that have had enough time to confirm it.
 */
static bool try_quiesce(struct change *ch)
{
	struct cluster *c = ch->cluster;

	record_settled_members(ch);
	if (cluster_now_us(c) >= ch->next_ask_us)
		ask_unconfirmed_members(ch);
	if (cluster_confirmed_revision(c) < ch->marked_revision)
		return false;
	if (are_permits_over(ch))
		return !has_unlisted_permit(ch);
	revoke_unconfirmed_leases(ch);
	return false;
}

static void handle_status_row(void *owner, struct status_query *q,
			      const struct pw_server_status_row *row)
{
	struct change *ch = owner;

	for (guint i = 0; i < ch->entries->len; i++) {
		struct pw_change_server *s =
			&g_array_index(ch->servers, struct pw_change_server, i);

		if (ch->queries->pdata[i] != q)
			continue;
		ch->queries->pdata[i] = NULL;
		s->reported = row != NULL;
		if (!row)
			continue;
		s->acts_as_primary = row->is_primary;
		s->term = row->term;
		s->log_end = row->log_end;
	}
}

static const struct status_query_ops status_query_ops = { .done = handle_status_row };

/*
 * Whether statements of the change may be sent to a server: not to one of an evacuated zone once
 * its time is over, unless it may be the only one with some acknowledged commit.
 */
static bool may_query(const struct change *ch, const struct pw_server_entry *e)
{
	return !e->evacuated || cluster_now_us(ch->cluster) < e->evacuation_stop_us ||
	       is_synchronous(ch);
}

/* Queries the status of all servers, or of the target only, except where a query is in flight. */
static void query_servers(struct change *ch, bool target_only)
{
	for (guint i = 0; i < ch->entries->len; i++) {
		if (ch->queries->pdata[i] ||
		    (target_only ? (int32_t)i != ch->target
				 : !may_query(ch, g_ptr_array_index(ch->entries, i))))
			continue;
		ch->queries->pdata[i] = status_query_start(
			ch->cluster, g_ptr_array_index(ch->entries, i), 0, &status_query_ops, ch);
	}
	ch->next_query_us = cluster_now_us(ch->cluster) + QUERY_INTERVAL_US;
}

static void promotion_done(struct pw_promotion_call *call, int32_t code, const char *message)
{
	struct change *ch = (struct change *)call;

	ch->promotion_pending = false;
	if (ch->ended)
		return;
	pw_event_log(PW_EVENT_PROMOTE_ANSWERED, "database=%s term=%" PRIu64 " code=%d text=\"%s\"",
		     ch->group, ch->fencing_token, code, message);
	/*
	 * After a timeout the request may have been accepted, so the server is queried as well. If
	 * it acted as primary before, that would not show whether it was, so the request is
	 * repeated.
	 */
	if (code == PW_OK || (code == PW_ETIMEOUT && !ch->target_before.acts_as_primary)) {
		ch->promotion_answered_us = cluster_now_us(ch->cluster);
		enter_phase(ch, PHASE_VERIFY);
	} else if (code == PW_ECONFLICT) {
		struct pw_change_server *s =
			&g_array_index(ch->servers, struct pw_change_server, ch->target);

		/* The server does not run, but its log still counts. */
		s->refused = true;
		s->eligible = s->leaving = false;
		enter_phase(ch, PHASE_SELECT);
	} else {
		enter_phase(ch, PHASE_SELECT);
	}
}

static const struct pw_promotion_call_ops promotion_ops = { .done = promotion_done };

/* Lists the log positions of the group's servers, by which the target was chosen, for the log. */
static char *format_reports(const struct change *ch)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < ch->entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(ch->entries, i);
		const struct pw_change_server *s =
			&g_array_index(ch->servers, struct pw_change_server, i);

		g_string_append_printf(text, "%s%s", i ? " " : "", e->id);
		if (s->reported)
			g_string_append_printf(text, "=%" PRIu64 ".%" PRIu64, s->log_end.term,
					       s->log_end.lsn);
		g_string_append(text, s->is_primary ? ":primary"
				      : e->leaving  ? ":leaving"
				      : s->departed ? ":departed"
						    : "");
	}
	return g_string_free(text, FALSE);
}

/* Logs once which replicas a change with synchronous replication waits for. */
static void log_wait(struct change *ch)
{
	const struct cluster *c = ch->cluster;
	const struct pw_primary *primary = pw_primaries_find(c->primaries, ch->group);
	const struct pw_catalog_group *g = pw_catalog_find_group(c->catalog, ch->group);
	GPtrArray *missing;
	char *reports, *names;

	if (ch->wait_logged || !is_synchronous(ch))
		return;
	ch->wait_logged = true;
	missing = g_ptr_array_new();
	for (guint i = 0; i < ch->entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(ch->entries, i);
		const struct pw_change_server *s =
			&g_array_index(ch->servers, struct pw_change_server, i);

		if (!s->is_primary && !s->reported)
			g_ptr_array_add(missing, e->id);
	}
	replica_status_set_wait(ch->cluster, primary, missing);
	g_ptr_array_add(missing, NULL);
	names = g_strjoinv(" ", (char **)missing->pdata);
	reports = format_reports(ch);
	pw_event_log(PW_EVENT_CHANGE_WAITS,
		     "database=%s term=%" PRIu64
		     " missing=\"%s\" sync_replicas=%u set_known=%d reports=\"%s\"",
		     ch->group, ch->fencing_token, names, g->sync_replica_count,
		     primary->replica_set != NULL, reports);
	g_ptr_array_unref(missing);
	g_free(names);
	g_free(reports);
}

static void send_promotion_request(struct change *ch)
{
	struct cluster *c = ch->cluster;
	const struct pw_server_entry *e = g_ptr_array_index(ch->entries, (guint)ch->target);
	const struct pw_promotion_request request = {
		.group = ch->group,
		.server_id = e->id,
		.holder = c->directory->settings->vm_name,
		.fencing_token = ch->fencing_token,
		.timeout_us = PROMOTION_TIMEOUT_US,
		.send_deadline_us = ch->started_us + PW_CHANGE_PROMOTE_DEADLINE_US,
	};

	char *reports;

	if (ch->era != c->era) {
		abort_change(ch, "the store was restored from a copy");
		return;
	}
	/* While the process was suspended, another VM may have taken the change over. */
	if (pw_loop_update_now_us(c->task.loop) - ch->started_us > PW_CHANGE_PROMOTE_DEADLINE_US) {
		abort_change(ch, "the promotion request was not sent in time");
		return;
	}
	/*
	 * Without a recent renewal the store may have been restored without the mark, and another
	 * VM may claim a change once the permits of that time are over.
	 */
	if (!pw_permit_is_valid(c->permit_until_us, cluster_now_us(c)))
		return;
	status_query_cancel_list(ch->queries);
	reports = format_reports(ch);
	ch->target_before = g_array_index(ch->servers, struct pw_change_server, ch->target);
	g_array_index(ch->servers, struct pw_change_server, ch->target).reported = false;
	enter_phase(ch, PHASE_PROMOTE);
	pw_histogram_add(PW_HISTOGRAM_PRIMARY_CHANGE_SETTLE, cluster_now_us(c) - ch->started_us);
	ch->promotion_pending = true;
	ch->promotion_sent = true;
	ch->promotion.ops = &promotion_ops;
	pw_event_log(PW_EVENT_PROMOTE_ORDERED,
		     "database=%s term=%" PRIu64 " server=%s reason=%s settle_ms=%" PRIu64
		     " reports=\"%s\"",
		     ch->group, ch->fencing_token, e->id, pw_change_reason_name(ch->reason),
		     (cluster_now_us(c) - ch->started_us) / PW_US_PER_MS, reports);
	g_free(reports);
	if (c->promoter->ops->promote(c->promoter, &request, &ch->promotion)) {
		ch->promotion_pending = false;
		abort_change(ch, pw_error_message());
	}
}

/*
 * Applies what the servers' entries say now: since they were listed, a server may have begun to
 * leave, or its zone may have been evacuated or returned.
 */
static void update_entries(struct change *ch)
{
	for (guint i = 0; i < ch->entries->len; i++) {
		struct pw_change_server *s =
			&g_array_index(ch->servers, struct pw_change_server, i);
		struct pw_server_entry *e = g_ptr_array_index(ch->entries, i);
		const struct pw_server_entry *current =
			pw_server_list_find(ch->cluster->servers, e->id);

		if (s->departed || !current)
			continue;
		e->leaving = current->leaving;
		e->evacuated = current->evacuated;
		e->evacuation_stop_us = current->evacuation_stop_us;
		set_eligibility(ch, s, e->leaving);
	}
}

/* Promotes a server, or queries the servers again. */
static void select_candidate(struct change *ch)
{
	struct cluster *c = ch->cluster;
	uint64_t now_us = cluster_now_us(c);
	const struct pw_catalog_group *g = pw_catalog_find_group(c->catalog, ch->group);
	const struct pw_primary *primary = pw_primaries_find(c->primaries, ch->group);
	bool last_resort = now_us - ch->started_us >= PW_CHANGE_LAST_RESORT_AFTER_US;
	const struct pw_change_conditions k = {
		.sync_replicas = g ? g->sync_replica_count : 0,
		.replica_set_known = primary->replica_set != NULL,
		.min_term = last_resort ? 0 : position_seen_term(c, primary),
		.planned = ch->planned,
		.urgent = now_us - ch->phase_entered_us >= CATCH_UP_TIMEOUT_US,
	};
	uint32_t target = 0;

	update_entries(ch);
	switch (pw_change_choose(&target, (struct pw_change_server *)(void *)ch->servers->data,
				 ch->servers->len, &k)) {
	case PW_CHANGE_PROMOTE:
		ch->target = (int32_t)target;
		send_promotion_request(ch);
		return;
	case PW_CHANGE_WAIT:
		if (k.urgent)
			log_wait(ch);
		if (now_us >= ch->next_query_us)
			query_servers(ch, false);
		return;
	}
}

static void verify_promotion(struct change *ch)
{
	const struct pw_change_server *s =
		&g_array_index(ch->servers, struct pw_change_server, ch->target);

	if (pw_change_is_promoted(&ch->target_before, s,
				  cluster_now_us(ch->cluster) - ch->promotion_answered_us)) {
		status_query_cancel_list(ch->queries);
		record_primary(ch);
	} else if (cluster_now_us(ch->cluster) >= ch->next_query_us) {
		query_servers(ch, true);
	}
}

/*
 * Tells the former primary, which may not know that it was replaced, to become a replica. The same
 * holds for servers that an abandoned change may have promoted.
 */
static void step_down_former_primaries(struct change *ch)
{
	uint64_t term = g_array_index(ch->servers, struct pw_change_server, ch->target).term;

	for (guint i = 0; i < ch->entries->len; i++) {
		const struct pw_change_server *s =
			&g_array_index(ch->servers, struct pw_change_server, i);
		bool may_be_primary = s->is_primary || s->acts_as_primary ||
				      (ch->reason == PW_CHANGE_ABANDONED && !s->reported);

		if (may_be_primary && (int32_t)i != ch->target &&
		    may_query(ch, g_ptr_array_index(ch->entries, i)))
			(void)status_query_start(ch->cluster, g_ptr_array_index(ch->entries, i),
						 term, &status_query_ops, NULL);
	}
}

static void finish_change(struct change *ch)
{
	step_down_former_primaries(ch);
	pw_counter_inc(PW_COUNTER_FAILOVERS_WON);
	pw_histogram_add(PW_HISTOGRAM_PRIMARY_CHANGE, cluster_now_us(ch->cluster) - ch->started_us);
	end_change(ch, PW_EVENT_FAILOVER_DONE, pw_change_reason_name(ch->reason));
}

/* Whether the record names the server that this change has promoted. */
static bool is_recorded(const struct change *ch)
{
	const struct pw_primary *primary = pw_primaries_find(ch->cluster->primaries, ch->group);

	return ch->target >= 0 && primary && primary->generation == ch->fencing_token &&
	       strcmp(primary->server_id,
		      ((struct pw_server_entry *)g_ptr_array_index(ch->entries, (guint)ch->target))
			      ->id) == 0;
}

static void handle_record_result(struct change *ch, const struct pw_store_result *base)
{
	if (base->code == PW_OK) {
		apply_own_record(ch, base->revision, true);
		finish_change(ch);
		return;
	}
	/* A conflict without items was found by the client: the store was restored. */
	if (base->code == PW_ECONFLICT && ((const struct pw_store_txn_result *)base)->kv_count) {
		if (cluster_apply_conflicting_record(ch->cluster,
						     (const struct pw_store_txn_result *)base)) {
			/* The conflict concerned another group. */
			if (is_in_charge(ch)) {
				record_primary(ch);
				return;
			}
			/* An earlier write took effect, but its answer was lost. */
			if (is_recorded(ch)) {
				finish_change(ch);
				return;
			}
		}
		abort_change(ch, "the record was changed by another VM");
		return;
	}
	/*
	 * The outcome is unknown. Unless the watch shows that the write took effect, the tick
	 * verifies the promotion again and repeats the compare-and-swap.
	 */
	enter_phase(ch, PHASE_VERIFY);
}

void change_handle_result(struct cluster *c, uint64_t tag, struct pw_store_result *r)
{
	struct change *ch = find_change(c, tag);
	const char *write_name = record_write_name(tag & TAG_MASK);

	/* A change ends without waiting for the result of "clear". */
	if (write_name)
		pw_event_log(PW_EVENT_RECORD_WRITE_DONE, "write=%s code=%d revision=%" PRId64,
			     write_name, r->code, r->revision);
	if (!ch || ch->ended)
		return;
	switch (tag & TAG_MASK) {
	case TAG_CLAIM:
		handle_claim_result(ch, r);
		break;
	case TAG_CHANGE_MEMBERS:
		handle_members_result(ch, r);
		break;
	case TAG_REVOKE_LEASE:
		handle_lease_revoked(ch, tag >> LEASE_TAG_SHIFT & LEASE_INDEX_MASK, r);
		break;
	case TAG_RECORD_PRIMARY:
		handle_record_result(ch, r);
		break;
	}
}

static void continue_change(struct change *ch)
{
	/* In PHASE_RECORD a write is in flight, whose result shows whether it took effect. */
	if (ch->phase > PHASE_CLAIM && ch->phase < PHASE_RECORD && !is_in_charge(ch)) {
		if (is_recorded(ch))
			finish_change(ch);
		else
			abort_change(ch, "the record was changed by another VM");
		return;
	}
	/*
	 * Once a promotion request was sent, the change goes on until PW_CHANGE_TIMEOUT_US, which
	 * is before another VM takes it over.
	 */
	if (ch->phase < PHASE_PROMOTE && !ch->promotion_sent &&
	    cluster_now_us(ch->cluster) - ch->started_us > PW_CHANGE_PROMOTE_DEADLINE_US) {
		abort_change(ch, "the change took too long");
		return;
	}
	if (cluster_now_us(ch->cluster) - ch->started_us > PW_CHANGE_TIMEOUT_US) {
		abort_change(ch, "the change took too long");
		return;
	}
	/* The primary is recorded once the record was written again in the new era. */
	if (!era_is_record_current(ch->cluster))
		return;
	switch (ch->phase) {
	case PHASE_CLAIM:
		if (!ch->claim_pending)
			repeat_claim(ch);
		break;
	case PHASE_QUIESCE:
		if (!try_quiesce(ch))
			return;
		log_step(ch, "quiesced");
		start_selection(ch);
		select_candidate(ch);
		break;
	case PHASE_SELECT:
		select_candidate(ch);
		break;
	case PHASE_VERIFY:
		verify_promotion(ch);
		break;
	default:
		break;
	}
}

static uint64_t rank_weight(const struct pw_primary *primary, const char *vm_name, uint32_t vm_hash)
{
	return pw_change_rank_weight(g_strcmp0(primary->leader, vm_name) == 0, vm_hash,
				     g_str_hash(primary->group));
}

uint32_t change_rank(const struct cluster *c, const struct pw_primary *primary, bool only_live)
{
	uint64_t own_weight =
		rank_weight(primary, c->directory->settings->vm_name, c->own_name_hash);
	uint32_t rank = 0;
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, c->members);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		const struct member *m = item;

		rank += (!only_live || pulse_is_member_live(c, m)) && !m->needs_permit &&
			rank_weight(primary, m->name, m->name_hash) < own_weight;
	}
	return rank;
}

uint32_t change_find_first_members(const struct cluster *c, const struct pw_primary *primary,
				   struct member **first, uint32_t count)
{
	uint32_t found_count = 0;
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, c->members);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		struct member *m = item;
		uint64_t weight = rank_weight(primary, m->name, m->name_hash);
		uint32_t i;

		if (!pulse_is_member_live(c, m) || m->needs_permit ||
		    (found_count == count && weight >= rank_weight(primary, first[count - 1]->name,
								   first[count - 1]->name_hash)))
			continue;
		/* Inserts the member into the sorted list; the last one of a full list drops out.
		 */
		i = found_count < count ? found_count++ : count - 1;
		for (; i > 0 &&
		       weight < rank_weight(primary, first[i - 1]->name, first[i - 1]->name_hash);
		     i--)
			first[i] = first[i - 1];
		first[i] = m;
	}
	return found_count;
}

/*
 * Counts the live VMs, this one included, that reach the primary of a group, and those that do not.
 * A VM has one vote at most, whatever the number of its gateway tasks.
 */
static void count_votes(const struct cluster *c, const struct pw_primary *primary,
			struct pw_change_view *v)
{
	uint64_t now_us = cluster_now_us(c), longest_outage_us = 0, since_us;
	GHashTableIter it;
	gpointer item;

	v->reached_vote_count += cluster_reaches_primary(c, primary, &since_us);
	v->lost = since_us != 0;
	if (v->lost) {
		v->lost_vote_count++;
		longest_outage_us = now_us - MIN(since_us, now_us);
	}
	g_hash_table_iter_init(&it, c->members);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		const struct member *m = item;

		if (!pulse_is_member_live(c, m) || !m->pulse.groups)
			continue;
		v->live_count++;
		for (guint i = 0; i < m->pulse.groups->len; i++) {
			const struct pw_pulse_group *g =
				&g_array_index(m->pulse.groups, struct pw_pulse_group, i);

			if (strcmp(g->name, primary->group) != 0)
				continue;
			if (g->generation == primary->generation &&
			    pw_change_vote_counts(g->heard_us, now_us)) {
				v->reached_vote_count += g->is_reachable;
				v->lost_vote_count += g->unreachable_ms != 0;
				longest_outage_us =
					MAX(longest_outage_us, g->unreachable_ms * PW_US_PER_MS);
				if (g->unreachable_ms)
					v->lost_votes_age_us =
						MAX(v->lost_votes_age_us, now_us - g->heard_us);
			}
			break;
		}
	}
	if (v->lost_vote_count)
		v->lost_since_us = now_us - MIN(longest_outage_us, now_us);
}

/* What the servers' entries say against a primary, and since when. */
struct entry_fault {
	enum pw_change_reason reason;
	uint64_t generation; /**< of the primary */
	uint64_t since_us;
};

/* Records and returns since when the primary's entry has its present fault; 0: it has none. */
static uint64_t track_entry_fault(struct cluster *c, const struct pw_primary *primary,
				  enum pw_change_reason reason)
{
	struct entry_fault *f = g_hash_table_lookup(c->entry_faults, primary->group);

	if (reason == PW_CHANGE_NONE) {
		g_hash_table_remove(c->entry_faults, primary->group);
		return 0;
	}
	if (!f || f->reason != reason || f->generation != primary->generation) {
		f = g_new0(struct entry_fault, 1);
		f->reason = reason;
		f->generation = primary->generation;
		f->since_us = cluster_now_us(c);
		g_hash_table_replace(c->entry_faults, g_strdup(primary->group), f);
	}
	return f->since_us;
}

/* Whether an earlier process of this VM led the change of a group that is marked. */
static bool was_led_by_earlier_process(const struct cluster *c, const struct pw_primary *primary)
{
	return primary->changing && primary->mark_incarnation &&
	       primary->mark_incarnation != c->incarnation &&
	       g_strcmp0(primary->mark_vm, c->directory->settings->vm_name) == 0;
}

static void build_change_view(struct cluster *c, const struct pw_primary *primary,
			      struct pw_change_view *v)
{
	const struct pw_server_entry *e = pw_server_list_find(c->servers, primary->server_id);

	*v = (struct pw_change_view){
		.registered = e != NULL,
		.leaving = e && e->leaving,
		.demoted = e && !e->claims_primary,
		.changing = primary->changing,
		.record_since_us = cluster_record_since_us(c, primary->group),
		.leader_ended_us = was_led_by_earlier_process(c, primary) ? c->started_us : 0,
		.rank = change_rank(c, primary, true),
		.live_count = 1,
	};
	v->entry_fault_since_us = track_entry_fault(c, primary, pw_change_entry_fault(v));
	for (guint i = 0; i < c->servers->entries->len; i++) {
		const struct pw_server_entry *s = g_ptr_array_index(c->servers->entries, i);

		v->candidate_count += strcmp(s->group, primary->group) == 0 && !s->leaving &&
				      strcmp(s->id, primary->server_id) != 0;
	}
	count_votes(c, primary, v);
}

static void start_change(struct cluster *c, const struct pw_primary *primary,
			 enum pw_change_reason reason, const struct pw_change_view *v)
{
	struct change *ch = g_new0(struct change, 1);

	ch->cluster = c;
	ch->group = g_strdup(primary->group);
	ch->number = ++c->last_change_number;
	ch->era = c->era;
	ch->reason = reason;
	ch->generation = primary->generation;
	ch->abandoned_token = primary->mark_token;
	ch->planned = reason != PW_CHANGE_UNREACHABLE && reason != PW_CHANGE_ABANDONED &&
		      v->reached_vote_count > v->lost_vote_count;
	ch->started_us = pw_loop_update_now_us(c->task.loop);
	ch->follows_change = is_recent(c, ch->group, ch->started_us);
	ch->target = -1;
	ch->leases = g_array_new(FALSE, TRUE, sizeof(struct lease));
	g_array_set_clear_func(ch->leases, lease_clear);
	ch->entries = g_ptr_array_new();
	ch->servers = g_array_new(FALSE, TRUE, sizeof(struct pw_change_server));
	ch->queries = g_ptr_array_new();
	g_hash_table_insert(c->changes, ch->group, ch);
	pw_counter_inc(PW_COUNTER_FAILOVERS_STARTED);
	pw_event_log(PW_EVENT_FAILOVER_STARTED,
		     "database=%s term=%" PRIu64
		     " primary=%s reason=%s lost=%u reached=%u live=%u votes_age_ms=%" PRIu64
		     " rank=%u",
		     primary->group, primary->generation, primary->server_id,
		     pw_change_reason_name(reason), v->lost_vote_count, v->reached_vote_count,
		     v->live_count, v->lost_votes_age_us / PW_US_PER_MS, v->rank);
	claim_change(ch);
}

/* Frees changes that have ended, except those whose promotion request is still in flight. */
static void free_ended_changes(struct cluster *c)
{
	for (guint i = c->ended_changes->len; i-- > 0;) {
		struct change *ch = g_ptr_array_index(c->ended_changes, i);

		if (!ch->promotion_pending)
			g_free(g_ptr_array_remove_index_fast(c->ended_changes, i));
	}
}

void change_start(struct cluster *c)
{
	c->changes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, change_free);
	c->entry_faults = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->ended_changes = g_ptr_array_new();
	c->queries = g_hash_table_new(NULL, NULL);
	c->ended_queries = g_ptr_array_new_with_free_func(g_free);
}

/*
 * Whether no promise keeps this VM from claiming a change. For PW_PERMIT_DURATION_US after the
 * start, a promise of an earlier process of this VM may still hold.
 */
static bool may_claim(const struct cluster *c)
{
	uint64_t now_us = cluster_now_us(c);

	return now_us >= c->own_promise_until_us && now_us >= c->started_us + PW_PERMIT_DURATION_US;
}

/* Whether any member has said that it cannot reach some primary. */
static bool has_lost_vote(const struct cluster *c)
{
	GHashTableIter it;
	gpointer item;

	g_hash_table_iter_init(&it, c->members);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		if (((const struct member *)item)->has_lost_vote)
			return true;
	}
	return false;
}

/*
 * Whether there can be a reason to change a primary. Spares the votes of all members, which would
 * otherwise be counted for every group at every tick.
 */
static bool may_have_reason(struct cluster *c, const struct pw_primary *primary, bool any_vote_lost)
{
	const struct pw_server_entry *e = pw_server_list_find(c->servers, primary->server_id);
	const struct pw_change_view entry = {
		.registered = e != NULL,
		.leaving = e && e->leaving,
		.demoted = e && !e->claims_primary,
	};
	uint64_t since_us;

	(void)cluster_reaches_primary(c, primary, &since_us);
	return primary->changing || since_us || any_vote_lost ||
	       pw_change_entry_fault(&entry) != PW_CHANGE_NONE ||
	       g_hash_table_contains(c->entry_faults, primary->group);
}

void change_tick(struct cluster *c)
{
	GList *changes;
	bool any_vote_lost;

	free_ended_changes(c);
	g_ptr_array_set_size(c->ended_queries, 0);
	if (!c->primaries || !c->servers || !c->catalog)
		return;
	changes = g_hash_table_get_values(c->changes);
	for (GList *l = changes; l; l = l->next)
		continue_change(l->data);
	g_list_free(changes);
	/* Without the store this VM cannot mark a group; members that reach the store decide. */
	if (!c->renewal_ok || c->leaving || !may_claim(c))
		return;
	any_vote_lost = has_lost_vote(c);
	for (guint i = 0; i < c->primaries->entries->len; i++) {
		const struct pw_primary *primary = g_ptr_array_index(c->primaries->entries, i);
		struct pw_change_view v;
		enum pw_change_reason reason;

		if (g_hash_table_contains(c->changes, primary->group) ||
		    !may_have_reason(c, primary, any_vote_lost))
			continue;
		build_change_view(c, primary, &v);
		if (pw_change_should_check(&v, cluster_is_large_fleet(c) ? VOTE_RECEIVER_COUNT
									 : UINT32_MAX))
			cluster_check_primary(c, primary->group);
		reason = pw_change_due_reason(&v, cluster_now_us(c));
		if (reason != PW_CHANGE_NONE && era_may_claim(c, v.rank)) {
			start_change(c, primary, reason, &v);
			return;
		}
	}
}

void change_abort_before_promotion(struct cluster *c, const char *reason)
{
	GList *changes = g_hash_table_get_values(c->changes);

	for (GList *l = changes; l; l = l->next) {
		struct change *ch = l->data;

		if (ch->promotion_sent)
			continue;
		if (ch->phase > PHASE_CLAIM && !era_is_record_current(c))
			era_add_dead_mark(c, ch->group);
		abort_change(ch, reason);
	}
	g_list_free(changes);
}

void change_stop_all(struct cluster *c)
{
	GList *changes = g_hash_table_get_values(c->changes);

	for (GList *l = changes; l; l = l->next)
		end_change(l->data, PW_EVENT_FAILOVER_GIVEN_UP, "the process is stopping");
	g_list_free(changes);
	g_hash_table_unref(c->changes);
	g_hash_table_unref(c->entry_faults);
	/* The promoter was freed before, so no promotion request in flight refers to a change. */
	for (guint i = 0; i < c->ended_changes->len; i++)
		g_free(g_ptr_array_index(c->ended_changes, i));
	g_ptr_array_unref(c->ended_changes);
	status_query_cancel_all(c);
	g_hash_table_unref(c->queries);
	g_ptr_array_unref(c->ended_queries);
}
