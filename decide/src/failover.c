#include "pw/decide/failover.h"

#include <string.h>

#include "pw/core/error.h"

/* Phases of one failover attempt. */
enum attempt_phase {
	PHASE_IDLE,    /**< no attempt runs */
	PHASE_LEASE,   /**< waits for the store to grant the lease of the term */
	PHASE_FENCE,   /**< waits until a majority of the servers is fenced */
	PHASE_PROMOTE, /**< waits until the candidate has answered the promote command */
};

/* Request for the primary record that is in flight at the store. */
enum record_phase {
	RECORD_IDLE,
	RECORD_READING,
	RECORD_WRITING,
};

struct server {
	enum pw_health_state health;
	struct pw_server_status status;
	uint64_t probe_sent_us;      /**< when the probe that returned `status` was sent; 0: none */
	uint64_t status_received_us; /**< when `status` arrived */
	uint64_t repair_due_us;      /**< time of the next repair command; 0: nothing to repair */
	uint64_t last_repair_us;     /**< when the last follow or repair fence command was sent */
	bool leaving;                /**< is about to stop, so it should not be primary */
	/* State in the current attempt: */
	bool fenced;
	bool fence_refused;
	struct pw_position log_end; /**< read after the fence command */
};

struct pw_failover {
	struct pw_failover_options options;
	struct server servers[PW_GROUP_SERVERS_MAX];
	GArray *peer_votes; /**< struct peer_vote, one for each peer */
	/** Peers were set. Until then a VM that starts would count as a majority by itself. */
	bool peers_known;
	uint32_t rank;
	uint64_t jitter_us;

	/* The primary of the highest term that is known to have one. */
	bool has_primary; /**< false: the fields of the primary are unset */
	uint32_t primary;
	uint64_t primary_term;
	uint64_t primary_since_us; /**< when this VM learned of the primary */

	uint64_t highest_seen_term; /**< highest term of any server, with or without a primary */
	uint64_t last_attempt_term; /**< highest term of this VM's attempts; none is used twice */

	/* The vote of this VM. */
	bool suspects_primary;
	/** Since when no server acts as the primary of highest_seen_term; 0: one does. */
	uint64_t primary_missing_since_us;
	uint64_t vote_sent_us;

	/* The current attempt, and the conditions for the next one. */
	enum attempt_phase phase;
	uint64_t attempt_term;
	uint64_t phase_since_us;
	uint64_t fence_majority_us; /**< when a majority was fenced; 0: not yet */
	uint64_t commands_sent_us;  /**< when fence or promote commands were last sent */
	uint32_t candidate;
	bool attempt_ready;          /**< all conditions but the delay are met */
	uint64_t next_attempt_us;    /**< no attempt starts before this time */
	uint64_t refused_lease_term; /**< another VM holds its lease; the next attempt ignores it */
	uint64_t skip_lease_until_us; /**< attempts that start before this time take no lease */

	/* The primary record in the store. */
	enum record_phase record_phase;
	struct pw_failover_record record; /**< as last read or written */
	bool record_known;                /**< false: `record` has to be read from the store */
	uint64_t record_due_us;           /**< no request is sent before this time */
	uint64_t record_sent_us;          /**< when the last request was sent */
};

struct peer_vote {
	struct pw_failover_vote vote;
	uint64_t received_us;
};

int pw_failover_new(struct pw_failover **out, const struct pw_failover_options *o)
{
	struct pw_failover *f;

	if (o->version != PW_FAILOVER_OPTIONS_VERSION || !o->server_count ||
	    o->server_count > PW_GROUP_SERVERS_MAX)
		return pw_error_set(PW_EINVALID,
				    "failover options are not valid: %u servers, version %u",
				    o->server_count, o->version);
	f = g_new0(struct pw_failover, 1);
	f->options = *o;
	f->peer_votes = g_array_new(FALSE, TRUE, sizeof(struct peer_vote));
	*out = f;
	return PW_OK;
}

void pw_failover_free(struct pw_failover *f)
{
	if (!f)
		return;
	g_array_free(f->peer_votes, TRUE);
	g_free(f);
}

struct pw_failover_record pw_failover_primary(const struct pw_failover *f)
{
	return (struct pw_failover_record){
		.term = f->has_primary ? f->primary_term : 0,
		.server = f->primary,
	};
}

bool pw_failover_suspects_primary(const struct pw_failover *f)
{
	return f->suspects_primary;
}

static struct peer_vote *find_peer_vote(struct pw_failover *f, uint64_t peer)
{
	for (guint i = 0; i < f->peer_votes->len; i++) {
		struct peer_vote *v = &g_array_index(f->peer_votes, struct peer_vote, i);

		if (v->vote.peer == peer)
			return v;
	}
	return NULL;
}

void pw_failover_set_peers(struct pw_failover *f, const uint64_t *peers, uint32_t count,
			   uint32_t rank)
{
	GArray *votes = g_array_new(FALSE, TRUE, sizeof(struct peer_vote));

	for (uint32_t i = 0; i < count; i++) {
		const struct peer_vote *old = find_peer_vote(f, peers[i]);
		struct peer_vote v = { .vote.peer = peers[i] };

		if (old)
			v = *old;
		g_array_append_val(votes, v);
	}
	g_array_free(f->peer_votes, TRUE);
	f->peer_votes = votes;
	f->peers_known = true;
	f->rank = rank;
}

static void append_action(GArray *out, struct pw_failover_action a)
{
	g_array_append_val(out, a);
}

/* Returns a delay that differs between VMs, so that they do not act at the same time. */
static uint64_t backoff_us(const struct pw_failover *f)
{
	return f->rank * f->options.rank_step_us + f->jitter_us;
}

static void delay_next_attempt(struct pw_failover *f, uint64_t until_us)
{
	f->next_attempt_us = MAX(f->next_attempt_us, until_us);
}

static uint64_t next_term(const struct pw_failover *f)
{
	return MAX(MAX(f->highest_seen_term, f->last_attempt_term), f->primary_term) + 1;
}

/* Aborts the current attempt. The next one is delayed so that other promoters can finish first. */
static void abort_attempt(struct pw_failover *f, const char *reason, uint64_t now_us, GArray *out)
{
	if (f->phase >= PHASE_FENCE)
		append_action(out, (struct pw_failover_action){ .kind = PW_FAILOVER_FAILED,
								.term = f->attempt_term,
								.reason = reason });
	f->phase = PHASE_IDLE;
	delay_next_attempt(f, now_us + f->options.promoter_wait_us + backoff_us(f));
}

/* Handles a term reported by a server, which may be the term of another promoter. */
static void observe_term(struct pw_failover *f, uint64_t term, uint64_t now_us, GArray *out)
{
	if (term <= f->highest_seen_term)
		return;
	f->highest_seen_term = term;
	if ((f->phase != PHASE_IDLE && term > f->attempt_term) ||
	    (f->phase == PHASE_LEASE && term == f->attempt_term))
		abort_attempt(f, "higher term", now_us, out);
	/*
	 * A term above the known primary's that is not from this VM's attempt belongs to another
	 * promoter, which gets time to finish.
	 */
	if (f->has_primary && term > f->primary_term &&
	    (f->phase == PHASE_IDLE || term != f->attempt_term))
		delay_next_attempt(f, now_us + f->options.promoter_wait_us + backoff_us(f));
}

/* Adopts `server` as the primary of `term` if the term is above that of the known primary. */
static void adopt_primary(struct pw_failover *f, uint32_t server, uint64_t term, uint64_t now_us,
			  GArray *out)
{
	if ((f->has_primary && term <= f->primary_term) || !term ||
	    server >= f->options.server_count)
		return;
	if (f->phase != PHASE_IDLE && term >= f->attempt_term)
		abort_attempt(f, "another promoter finished", now_us, out);
	f->has_primary = true;
	f->primary = server;
	f->primary_term = term;
	f->primary_since_us = now_us;
	f->highest_seen_term = MAX(f->highest_seen_term, term);
	f->primary_missing_since_us = 0;
	f->attempt_ready = false;
	/* The promoter writes the record; other VMs write it only if the promoter fails to. */
	f->record_due_us = now_us + 2 * f->options.record_retry_us + backoff_us(f);
	append_action(out, (struct pw_failover_action){ .kind = PW_FAILOVER_TERM_CHANGED,
							.term = term,
							.primary = server });
}

/* --- Vote of this VM and conditions for an attempt --- */

/*
 * Returns whether the known primary is of the highest term seen and acts as primary. Status rows
 * from before the term became known, or from an older term, do not count against it.
 */
static bool has_acting_primary(const struct pw_failover *f)
{
	const struct server *p = &f->servers[f->primary];

	if (!f->has_primary || f->highest_seen_term > f->primary_term)
		return false;
	return p->probe_sent_us < f->primary_since_us || p->status.term < f->primary_term ||
	       p->status.role == PW_SERVER_PRIMARY;
}

/* Returns whether the last status of a server is recent enough to be used. */
static bool has_recent_status(const struct pw_failover *f, const struct server *s, uint64_t now_us)
{
	return s->probe_sent_us && now_us - s->status_received_us <= f->options.status_max_age_us;
}

/*
 * Returns whether the primary is leaving and a replica that stays has replicated its whole log. The
 * group tasks send no new work to a leaving primary, so its log no longer grows and a switchover
 * loses no writes.
 */
static bool can_hand_over(const struct pw_failover *f, uint64_t now_us)
{
	const struct server *p = &f->servers[f->primary];

	if (!f->has_primary || !p->leaving || !has_recent_status(f, p, now_us) ||
	    p->status.role != PW_SERVER_PRIMARY || p->status.term != f->primary_term)
		return false;
	for (uint32_t i = 0; i < f->options.server_count; i++) {
		const struct server *s = &f->servers[i];

		if (i != f->primary && !s->leaving && has_recent_status(f, s, now_us) &&
		    s->status.role == PW_SERVER_REPLICA && s->status.term == f->primary_term &&
		    s->status.log_term == p->status.log_term && s->status.lsn == p->status.lsn)
			return true;
	}
	return false;
}

/*
 * Returns whether this VM votes for a failover: the primary is down or can hand over, or no server
 * has acted as primary for `promoter_wait_us`. Also updates `primary_missing_since_us`.
 */
static bool should_vote_for_failover(struct pw_failover *f, uint64_t now_us)
{
	if (has_acting_primary(f))
		f->primary_missing_since_us = 0;
	else if (!f->primary_missing_since_us)
		f->primary_missing_since_us = now_us;
	if (f->has_primary && pw_health_is_down(f->servers[f->primary].health))
		return true;
	if (can_hand_over(f, now_us))
		return true;
	return f->primary_missing_since_us &&
	       now_us - f->primary_missing_since_us >= f->options.promoter_wait_us;
}

/* Publishes the vote of this VM when it changes, and repeats it while the primary is suspected. */
static void update_vote(struct pw_failover *f, uint64_t now_us, GArray *out)
{
	bool suspects = should_vote_for_failover(f, now_us);

	if (suspects == f->suspects_primary &&
	    (!suspects || now_us - f->vote_sent_us < f->options.vote_interval_us))
		return;
	f->suspects_primary = suspects;
	f->vote_sent_us = now_us;
	append_action(out,
		      (struct pw_failover_action){ .kind = PW_FAILOVER_PUBLISH_VOTE,
						   .term = f->has_primary ? f->primary_term : 0,
						   .suspects = suspects });
}

/*
 * Returns whether a majority of the VMs votes against the known primary. This VM is counted as one
 * of them; the caller has checked its vote.
 */
static bool has_peer_majority(const struct pw_failover *f, uint64_t now_us)
{
	uint64_t term = f->has_primary ? f->primary_term : 0;
	uint32_t count = 1;

	if (!f->peers_known)
		return false;
	for (guint i = 0; i < f->peer_votes->len; i++) {
		const struct peer_vote *v = &g_array_index(f->peer_votes, struct peer_vote, i);

		count += v->vote.suspects && v->vote.term == term &&
			 now_us - v->received_us <= f->options.vote_max_age_us;
	}
	return pw_is_majority(count, f->peer_votes->len + 1);
}

/*
 * Returns whether this VM has lost the primary and a majority of the replicas has not heard from it
 * either.
 */
static bool has_replica_majority(const struct pw_failover *f, uint64_t now_us)
{
	uint32_t count = 0;

	if (!f->has_primary || !pw_health_is_down(f->servers[f->primary].health))
		return false;
	for (uint32_t i = 0; i < f->options.server_count; i++) {
		const struct server *s = &f->servers[i];

		count += i != f->primary && has_recent_status(f, s, now_us) &&
			 s->status.role == PW_SERVER_REPLICA && s->status.term == f->primary_term &&
			 s->status.primary_silence_ms > f->options.primary_silence_ms;
	}
	return pw_is_majority(count, f->options.server_count - 1);
}

/*
 * Returns whether a majority of the servers answers. An attempt that fences fewer servers would
 * leave them at a term without a primary, so it must not start.
 */
static bool has_reachable_majority(const struct pw_failover *f, uint64_t now_us)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < f->options.server_count; i++) {
		const struct server *s = &f->servers[i];

		count += !pw_health_is_down(s->health) && has_recent_status(f, s, now_us);
	}
	return pw_is_majority(count, f->options.server_count);
}

/* --- Failover attempt --- */

/* Sends the fence command to every server that has not answered it yet. */
static void send_fences(struct pw_failover *f, uint64_t now_us, GArray *out)
{
	f->commands_sent_us = now_us;
	for (uint32_t i = 0; i < f->options.server_count; i++) {
		if (!f->servers[i].fenced && !f->servers[i].fence_refused)
			append_action(out, (struct pw_failover_action){ .kind = PW_FAILOVER_FENCE,
									.server = i,
									.term = f->attempt_term });
	}
}

static void start_fencing(struct pw_failover *f, uint64_t now_us, GArray *out)
{
	f->phase = PHASE_FENCE;
	f->phase_since_us = now_us;
	f->fence_majority_us = 0;
	f->last_attempt_term = f->attempt_term;
	for (uint32_t i = 0; i < f->options.server_count; i++) {
		f->servers[i].fenced = false;
		f->servers[i].fence_refused = false;
	}
	append_action(out, (struct pw_failover_action){ .kind = PW_FAILOVER_STARTED,
							.term = f->attempt_term });
	send_fences(f, now_us, out);
}

/*
 * Starts an attempt. It takes the lease first, unless the lease of this term was refused or the
 * store did not answer.
 */
static void start_attempt(struct pw_failover *f, uint64_t now_us, GArray *out)
{
	f->attempt_term = next_term(f);
	if (f->refused_lease_term == f->attempt_term || now_us < f->skip_lease_until_us) {
		start_fencing(f, now_us, out);
		return;
	}
	f->phase = PHASE_LEASE;
	f->phase_since_us = now_us;
	append_action(out, (struct pw_failover_action){ .kind = PW_FAILOVER_ACQUIRE_LEASE,
							.term = f->attempt_term });
}

/* Starts an attempt once its conditions are met and the delay by rank and backoff is over. */
static void start_attempt_if_due(struct pw_failover *f, uint64_t now_us, GArray *out)
{
	bool ready = f->suspects_primary && has_reachable_majority(f, now_us) &&
		     (has_peer_majority(f, now_us) || has_replica_majority(f, now_us));

	if (ready && !f->attempt_ready)
		delay_next_attempt(f, now_us + f->rank * f->options.rank_step_us);
	f->attempt_ready = ready;
	if (ready && now_us >= f->next_attempt_us)
		start_attempt(f, now_us, out);
}

/* Returns whether server `a` should be promoted rather than server `b`. */
static bool is_better_candidate(const struct pw_failover *f, uint32_t a, uint32_t b)
{
	int order = pw_position_compare(&f->servers[a].log_end, &f->servers[b].log_end);

	if (f->options.unsafe_any_log)
		return false;
	if (order != 0)
		return order > 0;
	if (f->servers[a].leaving != f->servers[b].leaving)
		return f->servers[b].leaving;
	/* Among equal logs the current primary is kept, which saves its callers a reconnect. */
	return f->has_primary && a == f->primary;
}

static uint32_t choose_candidate(const struct pw_failover *f)
{
	uint32_t best = UINT32_MAX;

	for (uint32_t i = 0; i < f->options.server_count; i++) {
		if (f->servers[i].fenced && (best == UINT32_MAX || is_better_candidate(f, i, best)))
			best = i;
	}
	return best;
}

static void send_promote(struct pw_failover *f, uint64_t now_us, GArray *out)
{
	f->commands_sent_us = now_us;
	append_action(out, (struct pw_failover_action){ .kind = PW_FAILOVER_PROMOTE,
							.server = f->candidate,
							.term = f->attempt_term });
}

/* Starts the promotion once enough servers are fenced; repeats or aborts the fencing otherwise. */
static void advance_fencing(struct pw_failover *f, uint64_t now_us, GArray *out)
{
	uint32_t fenced_count = 0, refused_count = 0, awaited_count = 0,
		 count = f->options.server_count;

	for (uint32_t i = 0; i < count; i++) {
		const struct server *s = &f->servers[i];

		fenced_count += s->fenced;
		refused_count += s->fence_refused;
		awaited_count += !s->fenced && !s->fence_refused && s->health == PW_HEALTH_ALIVE;
	}
	if (!pw_is_majority(count - refused_count, count)) {
		abort_attempt(f, "fence refused", now_us, out);
		return;
	}
	if (pw_is_majority(fenced_count, count) ||
	    (f->options.unsafe_no_majority && fenced_count)) {
		if (!f->fence_majority_us)
			f->fence_majority_us = now_us;
		/* A live server that answers more slowly may have the most complete log. */
		if (!awaited_count || f->options.unsafe_no_majority ||
		    now_us - f->fence_majority_us >= f->options.fence_grace_us) {
			f->phase = PHASE_PROMOTE;
			f->phase_since_us = now_us;
			f->candidate = choose_candidate(f);
			send_promote(f, now_us, out);
			return;
		}
	}
	if (now_us - f->phase_since_us >= f->options.phase_timeout_us)
		abort_attempt(f, "no majority fenced", now_us, out);
	else if (now_us - f->commands_sent_us >= f->options.command_retry_us)
		send_fences(f, now_us, out);
}

static void advance_attempt(struct pw_failover *f, uint64_t now_us, GArray *out)
{
	switch (f->phase) {
	case PHASE_IDLE:
		start_attempt_if_due(f, now_us, out);
		break;
	case PHASE_LEASE:
		if (now_us - f->phase_since_us >= f->options.lease_timeout_us) {
			f->skip_lease_until_us = now_us + f->options.store_backoff_us;
			start_fencing(f, now_us, out);
		}
		break;
	case PHASE_FENCE:
		advance_fencing(f, now_us, out);
		break;
	case PHASE_PROMOTE:
		/* The command may have taken effect, so the term is not used for another server. */
		if (now_us - f->phase_since_us >= f->options.phase_timeout_us)
			abort_attempt(f, "no answer to promote", now_us, out);
		else if (now_us - f->commands_sent_us >= f->options.command_retry_us)
			send_promote(f, now_us, out);
		break;
	}
}

static void send_follow(struct pw_failover *f, uint32_t server, uint64_t now_us, GArray *out)
{
	f->servers[server].last_repair_us = now_us;
	append_action(out, (struct pw_failover_action){ .kind = PW_FAILOVER_FOLLOW,
							.server = server,
							.term = f->primary_term,
							.primary = f->primary });
}

/* Completes a successful attempt: adopts the new primary and makes the other servers follow it. */
static void complete_attempt(struct pw_failover *f, uint64_t now_us, GArray *out)
{
	uint64_t term = f->attempt_term;

	f->phase = PHASE_IDLE;
	adopt_primary(f, f->candidate, term, now_us, out);
	append_action(out, (struct pw_failover_action){ .kind = PW_FAILOVER_SUCCEEDED,
							.term = term,
							.primary = f->primary });
	f->record_due_us = now_us;
	for (uint32_t i = 0; i < f->options.server_count; i++) {
		if (i != f->primary)
			send_follow(f, i, now_us, out);
	}
	append_action(out, (struct pw_failover_action){ .kind = PW_FAILOVER_ANNOUNCE_PRIMARY,
							.term = term,
							.primary = f->primary });
}

/* --- Repair of servers that do not follow the primary --- */

/* Returns whether a server has to be fenced or told to follow the primary. */
static bool needs_repair(const struct pw_failover *f, uint32_t server, uint64_t now_us)
{
	const struct server *s = &f->servers[server];

	if (server == f->primary || !has_recent_status(f, s, now_us) ||
	    s->probe_sent_us < f->primary_since_us || s->status.term > f->primary_term)
		return false;
	if (s->status.term < f->primary_term || s->status.role == PW_SERVER_FENCED)
		return true;
	/* A replica that follows no server, or the wrong one, reports its primary as silent. */
	return s->status.role == PW_SERVER_REPLICA &&
	       s->status.primary_silence_ms > 4 * f->options.primary_silence_ms &&
	       f->servers[f->primary].health == PW_HEALTH_ALIVE;
}

/* Sends a repair command to a server that needs one, at most once in `repair_interval_us`. */
static void repair_server(struct pw_failover *f, uint32_t server, uint64_t now_us, GArray *out)
{
	struct server *s = &f->servers[server];

	if (!needs_repair(f, server, now_us)) {
		s->repair_due_us = 0;
		return;
	}
	if (!s->repair_due_us)
		s->repair_due_us = MAX(now_us + backoff_us(f),
				       s->last_repair_us + f->options.repair_interval_us);
	if (now_us < s->repair_due_us)
		return;
	s->repair_due_us = now_us + f->options.repair_interval_us + backoff_us(f);
	if (s->status.role == PW_SERVER_PRIMARY) {
		/* A former primary is fenced first, so that it accepts no more writes. */
		s->last_repair_us = now_us;
		append_action(out, (struct pw_failover_action){ .kind = PW_FAILOVER_FENCE,
								.server = server,
								.term = f->primary_term });
	} else {
		send_follow(f, server, now_us, out);
	}
}

static void repair_servers(struct pw_failover *f, uint64_t now_us, GArray *out)
{
	if (!f->has_primary || f->phase != PHASE_IDLE || !has_acting_primary(f))
		return;
	for (uint32_t i = 0; i < f->options.server_count; i++)
		repair_server(f, i, now_us, out);
}

/* --- Primary record in the store --- */

/* Writes the record of the known primary to the store, after reading the stored one if needed. */
static void advance_record(struct pw_failover *f, uint64_t now_us, GArray *out)
{
	if (f->record_phase != RECORD_IDLE) {
		if (now_us - f->record_sent_us < f->options.record_retry_us)
			return;
		/* The answer is lost, but a write may have taken effect: read the record again. */
		f->record_phase = RECORD_IDLE;
		f->record_known = false;
	}
	if (!f->has_primary || now_us < f->record_due_us ||
	    (f->record_known && f->record.term >= f->primary_term))
		return;
	f->record_sent_us = now_us;
	if (!f->record_known) {
		f->record_phase = RECORD_READING;
		append_action(out, (struct pw_failover_action){ .kind = PW_FAILOVER_READ_RECORD });
		return;
	}
	f->record_phase = RECORD_WRITING;
	append_action(out, (struct pw_failover_action){ .kind = PW_FAILOVER_WRITE_RECORD,
							.term = f->primary_term,
							.primary = f->primary,
							.revision = f->record.revision });
}

/* Stores the record unless a newer one is known, and adopts its primary. */
static void apply_record(struct pw_failover *f, const struct pw_failover_record *r, uint64_t now_us,
			 GArray *out)
{
	if (!f->record_known || r->revision >= f->record.revision)
		f->record = *r;
	f->record_known = true;
	adopt_primary(f, r->server, r->term, now_us, out);
}

/* Updates the vote, the attempt, the repairs and the record after an event or a tick. */
static void advance(struct pw_failover *f, uint64_t now_us, GArray *out)
{
	update_vote(f, now_us, out);
	advance_attempt(f, now_us, out);
	repair_servers(f, now_us, out);
	advance_record(f, now_us, out);
}

/* --- Events --- */

/* Stores a status row unless a newer one is known, and applies its role and term. */
static void apply_status(struct pw_failover *f, uint32_t server, const struct pw_server_status *s,
			 uint64_t sent_us, uint64_t now_us, GArray *out)
{
	struct server *sv = &f->servers[server];

	/*
	 * Status rows may arrive out of order. Terms never decrease, so a row of a lower term is
	 * older whatever its time.
	 */
	if (s->term >= sv->status.term && sent_us >= sv->probe_sent_us) {
		sv->status = *s;
		sv->probe_sent_us = sent_us;
		sv->status_received_us = now_us;
	}
	if (s->role == PW_SERVER_PRIMARY) {
		/* The answer to the promotion may be lost, but the status shows its effect. */
		if (f->phase == PHASE_PROMOTE && s->term == f->attempt_term &&
		    server == f->candidate)
			complete_attempt(f, now_us, out);
		else
			adopt_primary(f, server, s->term, now_us, out);
	}
	observe_term(f, s->term, now_us, out);
}

void pw_failover_handle_status(struct pw_failover *f, uint32_t server,
			       const struct pw_server_status *s, uint64_t sent_us, uint64_t now_us,
			       GArray *out)
{
	apply_status(f, server, s, sent_us, now_us, out);
	advance(f, now_us, out);
}

void pw_failover_handle_health(struct pw_failover *f, uint32_t server, enum pw_health_state state,
			       uint64_t now_us, GArray *out)
{
	f->servers[server].health = state;
	advance(f, now_us, out);
}

void pw_failover_set_leaving(struct pw_failover *f, uint32_t server, bool leaving)
{
	f->servers[server].leaving = leaving;
}

void pw_failover_handle_vote(struct pw_failover *f, const struct pw_failover_vote *v,
			     uint64_t now_us, GArray *out)
{
	struct peer_vote *known_vote = find_peer_vote(f, v->peer);

	if (!known_vote)
		return;
	known_vote->vote = *v;
	known_vote->received_us = now_us;
	advance(f, now_us, out);
}

void pw_failover_handle_record(struct pw_failover *f, const struct pw_failover_record *r,
			       bool from_store, uint64_t now_us, GArray *out)
{
	if (from_store)
		apply_record(f, r, now_us, out);
	else
		adopt_primary(f, r->server, r->term, now_us, out);
	advance(f, now_us, out);
}

void pw_failover_handle_lease_result(struct pw_failover *f, uint64_t term,
				     enum pw_failover_result result, uint64_t now_us, GArray *out)
{
	if (f->phase == PHASE_LEASE && term == f->attempt_term) {
		if (result == PW_FAILOVER_RESULT_REFUSED) {
			/* The holder may be dead, so the next attempt ignores the lease. */
			f->phase = PHASE_IDLE;
			f->refused_lease_term = term;
			delay_next_attempt(f, now_us + f->options.lease_holder_wait_us +
						      backoff_us(f));
		} else {
			start_fencing(f, now_us, out);
		}
	}
	advance(f, now_us, out);
}

void pw_failover_handle_fence_result(struct pw_failover *f, uint32_t server, uint64_t term,
				     enum pw_failover_result result,
				     const struct pw_server_status *s, uint64_t now_us, GArray *out)
{
	struct server *sv = &f->servers[server];

	if (f->phase == PHASE_FENCE && term == f->attempt_term) {
		if (result == PW_FAILOVER_RESULT_OK && s && s->term == term) {
			sv->fenced = true;
			sv->log_end = (struct pw_position){ .term = s->log_term, .lsn = s->lsn };
		} else if (result == PW_FAILOVER_RESULT_REFUSED) {
			sv->fence_refused = true;
		}
	} else if (result == PW_FAILOVER_RESULT_OK && f->phase == PHASE_IDLE &&
		   term == f->primary_term && f->has_primary && server != f->primary) {
		/* The command was sent by repair_server(), or in an attempt that has ended. */
		send_follow(f, server, now_us, out);
	}
	if (s)
		apply_status(f, server, s, sv->probe_sent_us, now_us, out);
	advance(f, now_us, out);
}

void pw_failover_handle_promote_result(struct pw_failover *f, uint32_t server, uint64_t term,
				       enum pw_failover_result result,
				       const struct pw_server_status *s, uint64_t now_us,
				       GArray *out)
{
	if (f->phase == PHASE_PROMOTE && term == f->attempt_term && server == f->candidate) {
		if (result == PW_FAILOVER_RESULT_OK)
			complete_attempt(f, now_us, out);
		else if (result == PW_FAILOVER_RESULT_REFUSED)
			abort_attempt(f, "promote refused", now_us, out);
	}
	if (s)
		apply_status(f, server, s, f->servers[server].probe_sent_us, now_us, out);
	advance(f, now_us, out);
}

void pw_failover_handle_record_result(struct pw_failover *f, enum pw_failover_result result,
				      const struct pw_failover_record *r, uint64_t now_us,
				      GArray *out)
{
	f->record_phase = RECORD_IDLE;
	if (r) {
		apply_record(f, r, now_us, out);
	} else {
		f->record_known = false;
		f->record_due_us = MAX(f->record_due_us, now_us + f->options.record_retry_us);
	}
	(void)result;
	advance(f, now_us, out);
}

void pw_failover_tick(struct pw_failover *f, uint64_t now_us, uint64_t jitter_us, GArray *out)
{
	f->jitter_us = jitter_us;
	advance(f, now_us, out);
}
