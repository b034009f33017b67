#include "pw/decide/change.h"

#include <stddef.h>

const char *pw_change_reason_name(enum pw_change_reason r)
{
	static const char *const names[] = {
		[PW_CHANGE_NONE] = "none",         [PW_CHANGE_UNREACHABLE] = "unreachable",
		[PW_CHANGE_UNREGISTERED] = "gone", [PW_CHANGE_LEAVING] = "leaving",
		[PW_CHANGE_DEMOTED] = "demoted",   [PW_CHANGE_ABANDONED] = "abandoned",
	};

	return names[r];
}

/* Returns whether enough votes say that the primary is lost, and more than say it was reached. */
static bool is_primary_lost(const struct pw_change_view *v)
{
	if (v->live_count >= PW_CHANGE_VOTES_MIN_LIVE && v->lost_vote_count < PW_CHANGE_VOTES_MIN)
		return false;
	return v->lost_vote_count > v->reached_vote_count && v->lost_since_us;
}

enum pw_change_reason pw_change_entry_fault(const struct pw_change_view *v)
{
	if (!v->registered)
		return PW_CHANGE_UNREGISTERED;
	if (v->leaving)
		return PW_CHANGE_LEAVING;
	return v->demoted ? PW_CHANGE_DEMOTED : PW_CHANGE_NONE;
}

bool pw_change_should_check(const struct pw_change_view *v, uint32_t checker_count)
{
	return v->lost_vote_count && !v->changing && (v->lost || v->rank < checker_count);
}

/* Returns the time from which a change is due, and its reason; UINT64_MAX if there is no reason. */
static uint64_t change_due_us(const struct pw_change_view *v, enum pw_change_reason *reason)
{
	if (v->changing) {
		*reason = PW_CHANGE_ABANDONED;
		if (v->leader_ended_us)
			return v->leader_ended_us + PW_CHANGE_RESUME_AFTER_US;
		return v->record_since_us + PW_CHANGE_TAKEOVER_AFTER_US;
	}
	if (is_primary_lost(v)) {
		*reason = PW_CHANGE_UNREACHABLE;
		return v->lost_since_us + PW_CHANGE_LOST_AFTER_US;
	}
	*reason = pw_change_entry_fault(v);
	switch (*reason) {
	case PW_CHANGE_UNREGISTERED:
	case PW_CHANGE_LEAVING:
		return v->entry_fault_since_us;
	case PW_CHANGE_DEMOTED:
		return v->entry_fault_since_us + PW_CHANGE_DEMOTED_AFTER_US;
	default:
		return UINT64_MAX;
	}
}

enum pw_change_reason pw_change_due_reason(const struct pw_change_view *v, uint64_t now_us)
{
	enum pw_change_reason reason = PW_CHANGE_NONE;
	uint64_t due_us = change_due_us(v, &reason);
	uint64_t delay_us = v->leader_ended_us ? 0 : v->rank * PW_CHANGE_RANK_DELAY_US;

	if (due_us == UINT64_MAX || !v->candidate_count)
		return PW_CHANGE_NONE;
	/* The delay starts over with a new record, which may have removed the reason. */
	if (due_us < v->record_since_us)
		due_us = v->record_since_us;
	return now_us >= due_us + delay_us ? reason : PW_CHANGE_NONE;
}

/*
 * Time to confirm where regular messages go to all members: two of them can arrive.
 */
#define CONFIRM_TIMEOUT_US UINT64_C(300000)
/* Time in which a member that is asked answers at least once. */
#define ANSWER_TIMEOUT_US UINT64_C(600000)
/*
 * Time to confirm for a member that answers: records for all VMs of a large fleet may queue on a
 * link. It leaves time for its permit to expire before PW_CHANGE_PROMOTE_DEADLINE_US.
 */
#define ANSWERING_CONFIRM_TIMEOUT_US UINT64_C(900000)
/* Time to confirm in a planned change, so that statements in flight can finish. */
#define PLANNED_CONFIRM_TIMEOUT_US UINT64_C(1500000)

bool pw_change_permit_is_over(const struct pw_change_member *m, uint64_t now_us)
{
	return m->confirmed || (m->settled_us && now_us - m->settled_us >= PW_PERMIT_DURATION_US) ||
	       (m->revoked_us && now_us - m->revoked_us >= PW_PERMIT_DURATION_US);
}

static uint64_t confirm_timeout_us(const struct pw_change_member *m,
				   const struct pw_change_quiesce *q)
{
	if (m->silent)
		return 0;
	if (q->planned)
		return PLANNED_CONFIRM_TIMEOUT_US;
	if (!q->by_asking)
		return CONFIRM_TIMEOUT_US;
	return m->answers ? ANSWERING_CONFIRM_TIMEOUT_US : ANSWER_TIMEOUT_US;
}

bool pw_change_should_revoke(const struct pw_change_member *m, const struct pw_change_quiesce *q,
			     uint64_t waited_us)
{
	return !m->confirmed && !m->settled_us && waited_us >= confirm_timeout_us(m, q);
}

uint64_t pw_change_rank_weight(bool led_last_change, uint32_t vm_hash, uint32_t group_hash)
{
	return led_last_change ? 0 : UINT64_C(1) + (vm_hash ^ group_hash);
}

/* Prefers the longer log, then the shorter distance. */
static bool is_better_candidate(const struct pw_change_server *a, const struct pw_change_server *b)
{
	int order = pw_position_compare(&a->log_end, &b->log_end);

	return order > 0 || (order == 0 && a->distance < b->distance);
}

/* Finds an eligible server that reports that it is primary of the highest reported term. */
static bool find_acting_primary(uint32_t *server, const struct pw_change_server *servers,
				uint32_t count)
{
	uint64_t term = 0;
	bool found = false;

	for (uint32_t i = 0; i < count; i++) {
		if (!servers[i].reported)
			continue;
		if (servers[i].term > term) {
			term = servers[i].term;
			found = false;
		}
		if (servers[i].acts_as_primary && servers[i].term == term && servers[i].eligible) {
			*server = i;
			found = true;
		}
	}
	return found;
}

/* What the reports of a group's servers show. */
struct reports {
	const struct pw_change_server *current; /**< the current primary; NULL: not registered */
	const struct pw_change_server *best;    /**< best eligible server; NULL: none */
	const struct pw_change_server *longest; /**< replica with the longest log; NULL: none */
	uint32_t silent_count;                  /**< replicas that have not reported */
	bool all_reported;                      /**< the current primary, too */
};

static void summarise(struct reports *r, const struct pw_change_server *servers, uint32_t count,
		      uint64_t min_term)
{
	*r = (struct reports){ .all_reported = true };
	for (uint32_t i = 0; i < count; i++) {
		const struct pw_change_server *s = &servers[i];

		r->all_reported = r->all_reported && s->reported;
		r->silent_count += !s->is_primary && !s->reported;
		if (s->is_primary)
			r->current = s;
		if (!s->reported)
			continue;
		if (!s->is_primary && (!r->longest || is_better_candidate(s, r->longest)))
			r->longest = s;
		if (s->eligible && s->log_end.term >= min_term &&
		    (!r->best || is_better_candidate(s, r->best)))
			r->best = s;
	}
}

/* Whether the log of `a` ends before that of `b`; a missing server has no log. */
static bool is_shorter(const struct pw_change_server *a, const struct pw_change_server *b)
{
	return b && (!a || pw_position_compare(&a->log_end, &b->log_end) < 0);
}

/*
 * Whether a server has the whole log of the current primary, which has every commit. A primary that
 * was restarted does not act as one, and may have lost its log.
 */
static bool has_log_of_primary(const struct pw_change_server *s,
			       const struct pw_change_server *primary)
{
	return s && primary && primary->reported && primary->acts_as_primary &&
	       !is_shorter(s, primary);
}

/*
 * Chooses a server that has every acknowledged commit of a group with synchronous replication; NULL
 * if none is known to have them, or if it cannot be promoted, or should not be before time is
 * short.
 */
static const struct pw_change_server *choose_synchronous(const struct reports *r,
							 const struct pw_change_conditions *k)
{
	if (has_log_of_primary(r->best, r->current))
		return r->best;
	/* Only if so many replicas are silent can they be all that have some commit. */
	if (!k->replica_set_known || r->silent_count >= k->sync_replicas)
		return NULL;
	if (k->planned && r->current && r->current->reported && is_shorter(r->best, r->current))
		return NULL;
	if (!is_shorter(r->best, r->longest))
		return r->best;
	return k->urgent && r->longest->leaving ? r->longest : NULL;
}

enum pw_change_choice pw_change_choose(uint32_t *server, const struct pw_change_server *servers,
				       uint32_t count, const struct pw_change_conditions *k)
{
	const struct pw_change_server *chosen;
	struct reports r;

	summarise(&r, servers, count, k->min_term);
	if (r.all_reported && find_acting_primary(server, servers, count))
		return PW_CHANGE_PROMOTE;
	chosen = k->sync_replicas ? choose_synchronous(&r, k) : r.best;
	if (!chosen)
		return PW_CHANGE_WAIT;
	*server = (uint32_t)(chosen - servers);
	if (k->urgent)
		return PW_CHANGE_PROMOTE;
	if (r.silent_count)
		return PW_CHANGE_WAIT;
	if (k->planned && (!r.current || !r.current->reported || is_shorter(chosen, r.current)))
		return PW_CHANGE_WAIT;
	return PW_CHANGE_PROMOTE;
}

bool pw_change_is_promoted(const struct pw_change_server *before,
			   const struct pw_change_server *after, uint64_t elapsed_us)
{
	if (!after->reported || !after->acts_as_primary)
		return false;
	return !before->acts_as_primary || after->term > before->term ||
	       elapsed_us >= PW_CHANGE_PROMOTION_EFFECT_US;
}
