#include "pw/decide/revision.h"

#include <glib.h>

#include "pw/core/error.h"

/** What this VM knows about a peer. */
struct peer {
	uint64_t number;
	uint64_t revision; /**< highest revision that it has reported to be in force */
	uint64_t heard_us; /**< arrival of its last report */
	/** Latest time at which it can have reached the store; 0: never. */
	uint64_t store_reached_us;
	uint64_t made_after_us; /**< earliest time at which its newest report can have been made */
	uint64_t last_fetch_us; /**< start of the last fetch; spreads retries over the peers */
};

/** Revision, and the time at which this VM first heard of it. */
struct known_revision {
	uint64_t revision;
	uint64_t learned_us;
};

/** Number of known revisions of which the time is kept. */
#define HISTORY_MAX 16

/** Fetch in flight, if any. */
struct fetch {
	bool active;
	uint64_t source; /**< number of a peer, or PW_REVISION_SOURCE_STORE */
	uint64_t due_us; /**< when it times out */
};

struct pw_revision {
	const struct pw_revision_rule *rule;
	uint64_t self;
	uint32_t rank;
	uint32_t member_count;
	bool watching;
	uint64_t current;          /**< revision in force; 0: none */
	uint64_t highest_rejected; /**< highest revision whose document is invalid */
	uint64_t highest_known;    /**< highest revision heard of */
	/** Ring buffer of the last values of `highest_known`. */
	struct known_revision history[HISTORY_MAX];
	uint32_t history_count;        /**< number of values added to the ring so far */
	bool has_confirmation;         /**< `confirmed_us` is valid */
	uint64_t confirmed_us;         /**< time up to which all changes are in force */
	bool has_pending_confirmation; /**< for a revision not adopted or rejected yet */
	uint64_t pending_revision;
	uint64_t pending_confirmed_us; /**< time for which `pending_revision` was confirmed */
	bool store_answered;
	uint64_t store_request_us; /**< when the latest request that the store answered was sent */
	uint64_t store_revision;   /**< highest revision that the store has reported */
	uint64_t store_fetch_us;   /**< start of the last fetch from the store */
	uint64_t read_due_us;      /**< no read of the store is started before this time */
	uint64_t lease_until_us;
	struct fetch fetch;
	struct peer peers[PW_REVISION_MAX_PEERS];
	uint32_t peer_count;
};

static bool accepts_greater(const struct pw_revision_rule *rule, uint64_t current, uint64_t offered)
{
	return offered > current;
}

static const struct pw_revision_rule_ops greater_ops = { .accepts = accepts_greater };
const struct pw_revision_rule pw_revision_rule_greater = { .ops = &greater_ops };

int pw_revision_new(struct pw_revision **out, const struct pw_revision_options *options)
{
	struct pw_revision *r;

	if (options->version != PW_REVISION_OPTIONS_VERSION ||
	    options->self == PW_REVISION_SOURCE_STORE)
		return pw_error_set(PW_EINVALID, "options of the revision module are not valid");
	r = g_new0(struct pw_revision, 1);
	r->rule = options->rule ? options->rule : &pw_revision_rule_greater;
	r->self = options->self;
	r->rank = UINT32_MAX;
	r->member_count = 1;
	*out = r;
	return PW_OK;
}

void pw_revision_free(struct pw_revision *r)
{
	g_free(r);
}

static void append_action(struct pw_revision_actions *out, enum pw_revision_action_kind kind,
			  uint64_t revision, uint64_t peer)
{
	g_assert(out->count < PW_REVISION_MAX_ACTIONS);
	out->items[out->count++] = (struct pw_revision_action){
		.kind = kind,
		.revision = revision,
		.peer = peer,
	};
}

/*
 * Returns the highest revision that needs no fetch any more: adopted, or known to be invalid. An
 * invalid document is not applied and does not make the snapshot stale; otherwise one bad write to
 * the store would stop all keyed routes.
 */
static uint64_t processed_revision(const struct pw_revision *r)
{
	return MAX(r->current, r->highest_rejected);
}

static uint64_t age_us(uint64_t now_us, uint64_t then_us)
{
	return now_us > then_us ? now_us - then_us : 0;
}

static struct peer *find_peer(struct pw_revision *r, uint64_t number)
{
	for (uint32_t i = 0; i < r->peer_count; i++) {
		if (r->peers[i].number == number)
			return &r->peers[i];
	}
	return NULL;
}

/* Finds or adds a peer. If the table is full, the peer that has been silent longest is replaced. */
static struct peer *find_or_add_peer(struct pw_revision *r, uint64_t number)
{
	struct peer *p = find_peer(r, number);

	if (p)
		return p;
	if (r->peer_count < PW_REVISION_MAX_PEERS) {
		p = &r->peers[r->peer_count++];
	} else {
		p = &r->peers[0];
		for (uint32_t i = 1; i < r->peer_count; i++) {
			if (r->peers[i].heard_us < p->heard_us)
				p = &r->peers[i];
		}
	}
	*p = (struct peer){ .number = number };
	return p;
}

/*
 * Chooses the source of a missing revision. Of the peers and the store, this is the one that was
 * tried least recently among those known to have such a revision, or the store if none is known.
 * Returns false if no revision is missing.
 */
static bool choose_source(const struct pw_revision *r, uint64_t *source)
{
	const struct peer *best = NULL;

	for (uint32_t i = 0; i < r->peer_count; i++) {
		const struct peer *p = &r->peers[i];

		if (p->revision > processed_revision(r) &&
		    (!best || p->last_fetch_us < best->last_fetch_us))
			best = p;
	}
	if (best && (r->store_revision <= processed_revision(r) ||
		     best->last_fetch_us <= r->store_fetch_us)) {
		*source = best->number;
		return true;
	}
	*source = PW_REVISION_SOURCE_STORE;
	return r->highest_known > processed_revision(r);
}

/* Fetches a missing revision unless a fetch is in flight. */
static void start_fetch(struct pw_revision *r, uint64_t now_us, struct pw_revision_actions *out)
{
	struct peer *p;
	uint64_t source;

	if (r->fetch.active || !choose_source(r, &source))
		return;
	p = find_peer(r, source);
	if (p)
		p->last_fetch_us = now_us;
	else
		r->store_fetch_us = now_us;
	r->fetch = (struct fetch){
		.active = true,
		.source = source,
		.due_us = now_us + PW_REVISION_FETCH_TIMEOUT_US,
	};
	append_action(out, PW_REVISION_FETCH, r->highest_known, source);
}

/* Moves the confirmed time forward, never back. */
static void advance_confirmation(struct pw_revision *r, uint64_t at_us)
{
	if (!r->has_confirmation || at_us > r->confirmed_us)
		r->confirmed_us = at_us;
	r->has_confirmation = true;
}

/* Applies the pending confirmation once its revision is adopted or rejected. */
static void apply_pending_confirmation(struct pw_revision *r)
{
	if (!r->has_pending_confirmation || processed_revision(r) < r->pending_revision)
		return;
	advance_confirmation(r, r->pending_confirmed_us);
	r->has_pending_confirmation = false;
}

/* Records when a revision became known, if it is above all known ones. */
static void record_revision(struct pw_revision *r, uint64_t now_us, uint64_t revision)
{
	if (revision <= r->highest_known)
		return;
	r->highest_known = revision;
	r->history[r->history_count++ % HISTORY_MAX] = (struct known_revision){
		.revision = revision,
		.learned_us = now_us,
	};
}

/*
 * Returns the highest revision that was known at `at_us`. For times that the ring no longer covers
 * it returns the oldest revision in the ring, which may be too high.
 */
static uint64_t known_revision_at(const struct pw_revision *r, uint64_t at_us)
{
	uint32_t first = r->history_count > HISTORY_MAX ? r->history_count - HISTORY_MAX : 0;
	uint64_t revision = first > 0 ? r->history[first % HISTORY_MAX].revision : 0;

	for (uint32_t i = first; i < r->history_count; i++) {
		if (r->history[i % HISTORY_MAX].learned_us <= at_us)
			revision = r->history[i % HISTORY_MAX].revision;
	}
	return revision;
}

/*
 * Applies the confirmation that `revision` was the newest one at `at_us`. A revision below the one
 * known at that time comes from a stale read of the store and confirms nothing. A revision below
 * the one known now is valid, since answers may be slow.
 */
static void apply_confirmation(struct pw_revision *r, uint64_t now_us, uint64_t revision,
			       uint64_t at_us)
{
	if (revision == 0 || revision < known_revision_at(r, at_us))
		return;
	record_revision(r, now_us, revision);
	if (revision <= processed_revision(r)) {
		advance_confirmation(r, at_us);
		return;
	}
	if (r->has_pending_confirmation &&
	    (revision < r->pending_revision ||
	     (revision == r->pending_revision && at_us < r->pending_confirmed_us)))
		return;
	r->has_pending_confirmation = true;
	r->pending_revision = revision;
	r->pending_confirmed_us = at_us;
}

void pw_revision_set_rank(struct pw_revision *r, uint64_t now_us, uint32_t rank,
			  uint32_t member_count, struct pw_revision_actions *out)
{
	bool should_watch = rank < PW_REVISION_WATCHER_COUNT;

	r->rank = rank;
	r->member_count = MAX(member_count, 1);
	if (should_watch == r->watching)
		return;
	r->watching = should_watch;
	append_action(out, should_watch ? PW_REVISION_WATCH_START : PW_REVISION_WATCH_STOP, 0,
		      PW_REVISION_SOURCE_STORE);
	if (should_watch)
		r->read_due_us = now_us;
}

void pw_revision_set_lease(struct pw_revision *r, uint64_t until_us)
{
	r->lease_until_us = until_us;
}

void pw_revision_handle_offer(struct pw_revision *r, uint64_t now_us,
			      const struct pw_revision_offer *offer,
			      struct pw_revision_actions *out)
{
	if (r->fetch.active && r->fetch.source == offer->source)
		r->fetch.active = false;
	record_revision(r, now_us, offer->revision);
	if (!offer->valid) {
		if (offer->revision > r->highest_rejected && offer->revision > r->current) {
			r->highest_rejected = offer->revision;
			append_action(out, PW_REVISION_REJECT, offer->revision, offer->source);
		}
	} else if (r->rule->ops->accepts(r->rule, r->current, offer->revision)) {
		r->current = offer->revision;
		append_action(out, PW_REVISION_ADOPT, offer->revision, offer->source);
		append_action(out, PW_REVISION_ANNOUNCE, offer->revision, offer->source);
	}
	apply_pending_confirmation(r);
	start_fetch(r, now_us, out);
}

void pw_revision_handle_store_response(struct pw_revision *r, uint64_t now_us, uint64_t sent_us,
				       uint64_t revision, struct pw_revision_actions *out)
{
	sent_us = MIN(sent_us, now_us);
	r->store_answered = true;
	r->store_request_us = MAX(r->store_request_us, sent_us);
	r->store_revision = MAX(r->store_revision, revision);
	apply_confirmation(r, now_us, revision, sent_us);
	start_fetch(r, now_us, out);
}

void pw_revision_handle_report(struct pw_revision *r, uint64_t now_us, uint64_t peer,
			       const struct pw_revision_report *report, uint64_t made_after_us,
			       struct pw_revision_actions *out)
{
	struct peer *p;

	if (peer == r->self || peer == PW_REVISION_SOURCE_STORE)
		return;
	p = find_or_add_peer(r, peer);
	p->heard_us = now_us;
	/* Heartbeats may arrive out of order. */
	p->revision = MAX(p->revision, report->revision);
	record_revision(r, now_us, report->revision);
	made_after_us = MIN(made_after_us, now_us);
	/* A delayed copy of an older report must not make the peer appear to reach the store. */
	if (report->store_age_us < now_us && made_after_us >= p->made_after_us)
		p->store_reached_us = MAX(p->store_reached_us, now_us - report->store_age_us);
	p->made_after_us = MAX(p->made_after_us, made_after_us);
	if (report->confirmed_age_us < made_after_us)
		apply_confirmation(r, now_us, report->confirmed_revision,
				   made_after_us - report->confirmed_age_us);
	start_fetch(r, now_us, out);
}

void pw_revision_remove_peer(struct pw_revision *r, uint64_t now_us, uint64_t peer,
			     struct pw_revision_actions *out)
{
	struct peer *p = find_peer(r, peer);

	if (p)
		*p = r->peers[--r->peer_count];
	pw_revision_handle_fetch_failure(r, now_us, peer, out);
}

/*
 * Returns whether a missing revision can be fetched from a source that was not tried within the
 * last PW_REVISION_FETCH_TIMEOUT_US.
 */
static bool has_retryable_source(const struct pw_revision *r, uint64_t now_us)
{
	for (uint32_t i = 0; i < r->peer_count; i++) {
		if (r->peers[i].revision > processed_revision(r) &&
		    age_us(now_us, r->peers[i].last_fetch_us) >= PW_REVISION_FETCH_TIMEOUT_US)
			return true;
	}
	return r->store_revision > processed_revision(r) &&
	       age_us(now_us, r->store_fetch_us) >= PW_REVISION_FETCH_TIMEOUT_US;
}

void pw_revision_handle_fetch_failure(struct pw_revision *r, uint64_t now_us, uint64_t peer,
				      struct pw_revision_actions *out)
{
	if (!r->fetch.active || r->fetch.source != peer)
		return;
	/*
	 * Without another source the fetch stays active until its timeout, so that a source that
	 * fails at once is not retried in a tight loop.
	 */
	if (!has_retryable_source(r, now_us))
		return;
	r->fetch.active = false;
	start_fetch(r, now_us, out);
}

static uint64_t read_interval_us(const struct pw_revision *r)
{
	if (r->watching)
		return PW_REVISION_READ_INTERVAL_US;
	return MAX(PW_REVISION_READ_INTERVAL_US,
		   r->member_count * PW_REVISION_FALLBACK_PER_MEMBER_US);
}

static bool is_read_due(const struct pw_revision *r, uint64_t now_us)
{
	if (now_us < r->read_due_us)
		return false;
	return r->watching || !r->has_confirmation ||
	       age_us(now_us, r->confirmed_us) >= PW_REVISION_FALLBACK_AGE_US;
}

void pw_revision_tick(struct pw_revision *r, uint64_t now_us, struct pw_revision_actions *out)
{
	if (r->fetch.active && now_us >= r->fetch.due_us) {
		r->fetch.active = false;
		start_fetch(r, now_us, out);
	}
	if (is_read_due(r, now_us)) {
		r->read_due_us = now_us + read_interval_us(r);
		append_action(out, PW_REVISION_READ, r->current, PW_REVISION_SOURCE_STORE);
	}
}

uint64_t pw_revision_next_tick_us(const struct pw_revision *r, uint64_t now_us)
{
	uint64_t next_us = r->read_due_us;

	if (!r->watching && r->has_confirmation)
		next_us = MAX(next_us, r->confirmed_us + PW_REVISION_FALLBACK_AGE_US);
	if (r->fetch.active)
		next_us = MIN(next_us, r->fetch.due_us);
	return MAX(next_us, now_us);
}

void pw_revision_fill_report(const struct pw_revision *r, uint64_t now_us,
			     struct pw_revision_report *out)
{
	*out = (struct pw_revision_report){
		.revision = r->current,
		.confirmed_revision = processed_revision(r),
		.confirmed_age_us = PW_REVISION_AGE_UNKNOWN,
		.store_age_us = PW_REVISION_AGE_UNKNOWN,
	};
	if (r->has_confirmation)
		out->confirmed_age_us = age_us(now_us, r->confirmed_us);
	if (r->store_answered)
		out->store_age_us = age_us(now_us, r->store_request_us);
}

uint64_t pw_revision_current(const struct pw_revision *r)
{
	return r->current;
}

/* Returns whether this VM or a peer has reached the store recently. */
static bool is_store_reachable(const struct pw_revision *r, uint64_t now_us)
{
	if (r->store_answered && age_us(now_us, r->store_request_us) < PW_REVISION_STORE_REACHED_US)
		return true;
	for (uint32_t i = 0; i < r->peer_count; i++) {
		if (r->peers[i].store_reached_us > 0 &&
		    age_us(now_us, r->peers[i].store_reached_us) < PW_REVISION_STORE_REACHED_US)
			return true;
	}
	return false;
}

uint64_t pw_revision_fresh_until_us(const struct pw_revision *r, uint64_t now_us)
{
	uint64_t until_us = r->has_confirmation ? r->confirmed_us + PW_REVISION_FRESH_US : 0;

	if (r->current == 0)
		return 0;
	/*
	 * The lease replaces a confirmation by the store only while neither this VM nor a peer
	 * reaches the store, and only if no higher revision is known, as that revision may withdraw
	 * a key. If the document changes right after an outage, the snapshot is therefore not fresh
	 * while the change is fetched.
	 */
	if (r->highest_known <= processed_revision(r) && !is_store_reachable(r, now_us))
		until_us = MAX(until_us, r->lease_until_us);
	return until_us;
}
