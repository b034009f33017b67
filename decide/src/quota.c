#include "pw/decide/quota.h"

#include <string.h>

#include "quota_internal.h"
#include "pw/core/clock.h"
#include "pw/core/error.h"

/** An unacknowledged grant is sent again after this time, which exceeds a slow round trip. */
#define GRANT_RESEND_INTERVAL_US UINT64_C(60000)

/**
 * Bounds of the limit on a queue's length. Between them the limit of a queue for a rate is the
 * number of requests that burst and rate can serve before the deadline; the limit of a queue for
 * units is the lower bound.
 */
#define QUEUE_LIMIT_MIN 64
#define QUEUE_LIMIT_MAX 65536

/** Empty windows after which any demand average has decayed to 0: (3/4)^160 * 10^19 < 1. */
#define DEMAND_DECAY_WINDOWS 160

/** A grant sent to a peer and not acknowledged yet. */
struct unacked_grant {
	char peer[PW_MEMBER_NAME_SIZE];
	struct pw_quota_grant grant;
	uint64_t sent_us; /**< time of the last transmission */
};

/** Grants of one donor incarnation that were added to holdings in this epoch. */
struct donor_grants {
	uint64_t incarnation;
	uint64_t counted_below;      /**< all lower numbers are counted or will not be sent again */
	GHashTable *counted_numbers; /**< counted numbers from `counted_below` on */
};

static void donor_grants_free(gpointer data)
{
	struct donor_grants *d = data;

	g_hash_table_unref(d->counted_numbers);
	g_free(d);
}

static void resource_free(gpointer data)
{
	struct pw_quota_resource *r = data;

	g_queue_clear_full(&r->queue, g_free);
	g_hash_table_unref(r->peer_hints);
	g_array_unref(r->pending_asks);
	g_free(r);
}

int pw_quota_new(struct pw_quota **out, const struct pw_quota_options *options)
{
	struct pw_quota *q;

	if (options->version != PW_QUOTA_OPTIONS_VERSION)
		return pw_error_set(PW_EINVALID, "unknown version %u of the quota options",
				    options->version);
	q = g_new0(struct pw_quota, 1);
	q->options = *options;
	q->resources = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, resource_free);
	q->donors = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, donor_grants_free);
	q->next_grant_number = 1;
	pw_member_table_init(&q->table);
	g_queue_init(&q->unacked_grants);
	*out = q;
	return PW_OK;
}

void pw_quota_free(struct pw_quota *q)
{
	if (!q)
		return;
	g_hash_table_unref(q->resources);
	g_hash_table_unref(q->donors);
	g_queue_clear_full(&q->unacked_grants, g_free);
	pw_member_table_dispose(&q->table);
	g_free(q);
}

const struct pw_member_entry *pw_quota_find_member(const struct pw_quota *q, const char *name)
{
	return pw_member_table_find(&q->table, name);
}

struct pw_quota_action *pw_quota_append_action(GArray *actions, enum pw_quota_action_kind kind,
					       const struct pw_quota_resource *r)
{
	struct pw_quota_action *a;

	g_array_set_size(actions, actions->len + 1);
	a = &g_array_index(actions, struct pw_quota_action, actions->len - 1);
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	if (r)
		g_strlcpy(a->id, r->spec.id, sizeof(a->id));
	return a;
}

static void answer_first_waiter(struct pw_quota_resource *r, enum pw_quota_action_kind kind,
				GArray *actions)
{
	struct pw_quota_waiter *w = g_queue_pop_head(&r->queue);

	pw_quota_append_action(actions, kind, r)->request = w->request;
	g_free(w);
}

/* Ends the demand windows that are over; after a pause without events there may be many. */
static void end_due_windows(struct pw_quota_resource *r, uint64_t now_us)
{
	uint32_t ended_count = 0;

	if (now_us < r->window_end_us)
		return;
	if (now_us - r->window_end_us > DEMAND_DECAY_WINDOWS * PW_QUOTA_DEMAND_WINDOW_US) {
		r->demand = 0;
		r->window_end_us = now_us;
	}
	while (now_us >= r->window_end_us && ended_count++ <= DEMAND_DECAY_WINDOWS) {
		r->ops->end_window(r);
		r->window_end_us += PW_QUOTA_DEMAND_WINDOW_US;
	}
}

/* Admits and refuses waiting requests as far as possible, then rebalances with peers. */
static void serve_queue(struct pw_quota *q, struct pw_quota_resource *r, uint64_t now_us,
			GArray *actions)
{
	struct pw_quota_waiter *w;

	end_due_windows(r, now_us);
	while ((w = g_queue_peek_head(&r->queue))) {
		if (now_us >= w->deadline_us)
			answer_first_waiter(r, PW_QUOTA_REFUSE, actions);
		else if (pw_quota_holds_lease(q, now_us) && r->ops->try_acquire(q, r, now_us))
			answer_first_waiter(r, PW_QUOTA_ADMIT, actions);
		else
			break;
	}
	/* Requests for units have their own deadlines, so those behind the head may be overdue. */
	for (GList *l = r->queue.head; l;) {
		GList *next = l->next;

		w = l->data;
		if (now_us >= w->deadline_us) {
			pw_quota_append_action(actions, PW_QUOTA_REFUSE, r)->request = w->request;
			g_free(w);
			g_queue_delete_link(&r->queue, l);
		} else if (r->spec.kind == PW_QUOTA_RATE) {
			break;
		}
		l = next;
	}
	r->ops->rebalance(q, r, now_us, actions);
}

static int validate_specs(const struct pw_quota *q, const struct pw_quota_spec *specs,
			  uint32_t count)
{
	GHashTable *seen_ids = g_hash_table_new(g_str_hash, g_str_equal);
	int rc = PW_OK;

	for (uint32_t i = 0; i < count && rc == PW_OK; i++) {
		const struct pw_quota_spec *s = &specs[i];
		const struct pw_quota_resource *r = g_hash_table_lookup(q->resources, s->id);

		if (!s->id[0] || s->rate_per_s > PW_QUOTA_RATE_MAX ||
		    s->burst_tokens > PW_QUOTA_BURST_MAX || s->units > PW_QUOTA_UNITS_MAX)
			rc = pw_error_set(PW_EINVALID,
					  "quota '%s' has an empty id or a total above its limit",
					  s->id);
		else if (!g_hash_table_add(seen_ids, (gpointer)s->id))
			rc = pw_error_set(PW_EINVALID, "quota %s is listed twice", s->id);
		else if (r && r->spec.kind != s->kind)
			rc = pw_error_set(PW_EINVALID, "quota %s changes its kind", s->id);
	}
	g_hash_table_unref(seen_ids);
	return rc;
}

static const struct pw_quota_spec *find_spec(const struct pw_quota_spec *specs, uint32_t count,
					     const struct pw_quota_resource *r)
{
	for (uint32_t i = 0; i < count; i++)
		if (specs[i].kind == r->spec.kind && strcmp(specs[i].id, r->spec.id) == 0)
			return &specs[i];
	return NULL;
}

int pw_quota_configure(struct pw_quota *q, const struct pw_quota_spec *specs, uint32_t count,
		       uint64_t now_us, GArray *actions)
{
	int rc = validate_specs(q, specs, count);
	GHashTableIter iter;
	gpointer value;

	if (rc != PW_OK)
		return rc;
	g_hash_table_iter_init(&iter, q->resources);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pw_quota_resource *r = value;

		if (find_spec(specs, count, r))
			continue;
		/*
		 * The holding is kept: if the resource comes back in this epoch, a member that
		 * missed the revision without it has kept its holding too, and a fresh base share
		 * here would exceed the total.
		 */
		while (!g_queue_is_empty(&r->queue))
			answer_first_waiter(r, PW_QUOTA_REFUSE, actions);
		r->dropped = true;
	}
	for (uint32_t i = 0; i < count; i++) {
		struct pw_quota_resource *r = g_hash_table_lookup(q->resources, specs[i].id);

		if (r) {
			r->dropped = false;
			r->ops->configure(q, r, &specs[i], now_us, actions);
			continue;
		}
		r = g_new0(struct pw_quota_resource, 1);
		r->ops = specs[i].kind == PW_QUOTA_RATE ? &pw_quota_rate_ops : &pw_quota_unit_ops;
		r->spec = specs[i];
		r->peer_hints = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
		r->pending_asks = g_array_new(FALSE, TRUE, sizeof(struct pw_quota_pending_ask));
		r->window_end_us = now_us + PW_QUOTA_DEMAND_WINDOW_US;
		g_hash_table_insert(q->resources, r->spec.id, r);
		if (q->table.epoch)
			r->ops->begin_epoch(q, r, false, now_us, actions);
	}
	return PW_OK;
}

void pw_quota_set_lease_end(struct pw_quota *q, uint64_t until_us)
{
	q->lease_until_us = until_us;
}

void pw_quota_begin_epoch(struct pw_quota *q, const struct pw_member_table *table, uint64_t now_us,
			  GArray *actions)
{
	const struct pw_member_entry *self = pw_member_table_find(table, q->options.name);
	GHashTableIter iter;
	gpointer value;
	bool stays;

	if (self && self->incarnation != q->options.incarnation)
		self = NULL;
	/* A member that was out of the table for some epochs starts like a new one. */
	stays = self && q->table.epoch && self->since_epoch <= q->table.epoch;
	pw_member_table_copy(&q->table, table);
	q->lease_until_us = 0;
	g_queue_clear_full(&q->unacked_grants, g_free);
	g_hash_table_remove_all(q->donors);
	g_hash_table_iter_init(&iter, q->resources);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pw_quota_resource *r = value;

		if (r->dropped && !r->in_use)
			g_hash_table_iter_remove(&iter);
		else
			r->ops->begin_epoch(q, r, stays, now_us, actions);
	}
}

void pw_quota_tick(struct pw_quota *q, uint64_t now_us, GArray *actions)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, q->resources);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		serve_queue(q, value, now_us, actions);
	for (GList *l = q->unacked_grants.head; l; l = l->next) {
		struct unacked_grant *g = l->data;
		struct pw_quota_action *a;

		if (now_us < g->sent_us + GRANT_RESEND_INTERVAL_US)
			continue;
		g->sent_us = now_us;
		a = pw_quota_append_action(actions, PW_QUOTA_SEND_GRANT, NULL);
		g_strlcpy(a->peer, g->peer, sizeof(a->peer));
		a->grant = g->grant;
	}
}

/* Appends the other members whose hint is recent (struct pw_member_entry *). */
static void append_live_peers(struct pw_quota *q, const struct pw_quota_resource *r, GPtrArray *out,
			      uint64_t now_us)
{
	for (guint i = 0; i < q->table.members->len; i++) {
		struct pw_member_entry *e =
			&g_array_index(q->table.members, struct pw_member_entry, i);

		if (strcmp(e->name, q->options.name) != 0 &&
		    pw_quota_find_peer_hint(q, r, e, now_us) != NULL)
			g_ptr_array_add(out, e);
	}
}

/* Grants each peer an equal part of the free holding; the remainder of units goes to the first. */
static void grant_all_free(struct pw_quota *q, struct pw_quota_resource *r, const GPtrArray *peers,
			   uint64_t now_us, GArray *actions)
{
	uint32_t units =
		r->held_units > (int64_t)r->in_use ? (uint32_t)(r->held_units - r->in_use) : 0;
	uint32_t share = r->share;
	uint64_t level = r->level_microtokens;

	r->held_units -= units;
	r->share = 0;
	r->level_microtokens = 0;
	for (guint i = 0; i < peers->len; i++) {
		const struct pw_member_entry *e = g_ptr_array_index(peers, i);
		uint32_t peers_left = peers->len - i;
		uint32_t units_part = (units + peers_left - 1) / peers_left;
		uint32_t share_part = share / peers_left;
		uint64_t level_part = level / peers_left;

		units -= units_part;
		share -= share_part;
		level -= level_part;
		if (units_part || share_part || level_part)
			pw_quota_send_grant(q, r, e->name, share_part, level_part, units_part,
					    now_us, actions);
	}
}

void pw_quota_grant_all_free(struct pw_quota *q, uint64_t now_us, GArray *actions)
{
	GPtrArray *peers = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, q->resources);
	while (pw_quota_holds_lease(q, now_us) && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pw_quota_resource *r = value;

		serve_queue(q, r, now_us, actions);
		g_ptr_array_set_size(peers, 0);
		append_live_peers(q, r, peers, now_us);
		if (peers->len)
			grant_all_free(q, r, peers, now_us, actions);
	}
	g_ptr_array_unref(peers);
}

static struct pw_quota_resource *find_resource(struct pw_quota *q, const char *id,
					       enum pw_quota_kind kind)
{
	struct pw_quota_resource *r = g_hash_table_lookup(q->resources, id);

	return r && r->spec.kind == kind ? r : NULL;
}

/* Length at which a queue is full. */
static uint32_t queue_limit(const struct pw_quota_resource *r)
{
	uint64_t servable_requests =
		r->spec.burst_tokens + r->spec.rate_per_s * PW_QUOTA_RATE_WAIT_MAX_US / PW_US_PER_S;

	return (uint32_t)CLAMP(servable_requests, QUEUE_LIMIT_MIN, QUEUE_LIMIT_MAX);
}

/* Admits a request if a token or unit is free and no other waits; else queues or refuses it. */
static enum pw_quota_verdict admit_or_queue(struct pw_quota *q, struct pw_quota_resource *r,
					    uint64_t request, uint64_t deadline_us, uint64_t now_us,
					    GArray *actions)
{
	struct pw_quota_waiter *w;

	serve_queue(q, r, now_us, actions);
	if (g_queue_is_empty(&r->queue) && pw_quota_holds_lease(q, now_us) &&
	    r->ops->try_acquire(q, r, now_us))
		return PW_QUOTA_ADMITTED;
	if (now_us >= deadline_us || g_queue_get_length(&r->queue) >= queue_limit(r))
		return PW_QUOTA_REFUSED;
	w = g_new0(struct pw_quota_waiter, 1);
	*w = (struct pw_quota_waiter){
		.request = request,
		.deadline_us = deadline_us,
		.queued_us = now_us,
	};
	g_queue_push_tail(&r->queue, w);
	r->ops->rebalance(q, r, now_us, actions);
	return PW_QUOTA_QUEUED;
}

enum pw_quota_verdict pw_quota_acquire_token(struct pw_quota *q, const char *id, uint64_t request,
					     uint64_t now_us, GArray *actions)
{
	struct pw_quota_resource *r = find_resource(q, id, PW_QUOTA_RATE);

	if (!r || r->dropped)
		return PW_QUOTA_REFUSED;
	end_due_windows(r, now_us);
	r->window_demand++;
	return admit_or_queue(q, r, request, now_us + PW_QUOTA_RATE_WAIT_MAX_US, now_us, actions);
}

enum pw_quota_verdict pw_quota_acquire_unit(struct pw_quota *q, const char *id, uint64_t request,
					    uint64_t deadline_us, uint64_t now_us, GArray *actions)
{
	struct pw_quota_resource *r = find_resource(q, id, PW_QUOTA_UNITS);

	if (!r || r->dropped)
		return PW_QUOTA_REFUSED;
	return admit_or_queue(q, r, request, deadline_us, now_us, actions);
}

void pw_quota_release_units(struct pw_quota *q, const char *id, uint32_t units, uint64_t now_us,
			    GArray *actions)
{
	struct pw_quota_resource *r = find_resource(q, id, PW_QUOTA_UNITS);

	if (!r)
		return;
	units = MIN(units, r->in_use);
	r->in_use -= units;
	r->recalled_units -= MIN(units, r->recalled_units);
	/* Peers that asked before the oldest request waiting here are served first. */
	r->ops->rebalance(q, r, now_us, actions);
	serve_queue(q, r, now_us, actions);
}

bool pw_quota_cancel_request(struct pw_quota *q, const char *id, uint64_t request)
{
	struct pw_quota_resource *r = g_hash_table_lookup(q->resources, id);

	for (GList *l = r ? r->queue.head : NULL; l; l = l->next) {
		struct pw_quota_waiter *w = l->data;

		if (w->request != request)
			continue;
		g_free(w);
		g_queue_delete_link(&r->queue, l);
		return true;
	}
	return false;
}

struct pw_quota_hint *pw_quota_find_peer_hint(const struct pw_quota *q,
					      const struct pw_quota_resource *r,
					      const struct pw_member_entry *e, uint64_t now_us)
{
	struct pw_quota_peer_hint *h = g_hash_table_lookup(r->peer_hints, e->name);

	if (!h || h->incarnation != e->incarnation || h->hint.epoch != q->table.epoch ||
	    now_us > h->received_us + PW_QUOTA_HINT_MAX_AGE_US)
		return NULL;
	return &h->hint;
}

void pw_quota_hint_received(struct pw_quota *q, const char *peer, uint64_t incarnation,
			    const struct pw_quota_hint *hint, uint64_t now_us, GArray *actions)
{
	struct pw_quota_resource *r = g_hash_table_lookup(q->resources, hint->id);
	struct pw_quota_peer_hint *h;

	if (!r)
		return;
	h = g_hash_table_lookup(r->peer_hints, peer);
	if (!h) {
		h = g_new0(struct pw_quota_peer_hint, 1);
		g_hash_table_insert(r->peer_hints, g_strdup(peer), h);
	}
	if (incarnation < h->incarnation ||
	    (incarnation == h->incarnation && hint->epoch < h->hint.epoch))
		return;
	*h = (struct pw_quota_peer_hint){
		.incarnation = incarnation,
		.received_us = now_us,
		.hint = *hint,
	};
	serve_queue(q, r, now_us, actions);
}

void pw_quota_append_hints(struct pw_quota *q, uint64_t now_us, GArray *out)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, q->resources);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pw_quota_resource *r = value;
		struct pw_quota_hint h = { .epoch = q->table.epoch };

		g_strlcpy(h.id, r->spec.id, sizeof(h.id));
		end_due_windows(r, now_us);
		r->ops->fill_hint(q, r, &h, now_us);
		g_array_append_val(out, h);
	}
}

/* A member that may be asked, with what it can spare by its hint; 0 without a recent hint. */
struct candidate {
	const struct pw_member_entry *entry;
	uint64_t spare;
	uint64_t spare_level_microtokens;
};

static gint compare_spare_descending(gconstpointer a, gconstpointer b)
{
	const struct candidate *x = a, *y = b;

	if (x->spare != y->spare)
		return x->spare < y->spare ? 1 : -1;
	if (x->spare_level_microtokens != y->spare_level_microtokens)
		return x->spare_level_microtokens < y->spare_level_microtokens ? 1 : -1;
	return 0;
}

static void send_ask(struct pw_quota *q, struct pw_quota_resource *r, const char *peer,
		     uint64_t share, uint64_t level, uint32_t units, GArray *actions)
{
	struct pw_quota_action *a = pw_quota_append_action(actions, PW_QUOTA_SEND_ASK, r);

	g_strlcpy(a->peer, peer, sizeof(a->peer));
	g_strlcpy(a->ask.sender, q->options.name, sizeof(a->ask.sender));
	g_strlcpy(a->ask.id, r->spec.id, sizeof(a->ask.id));
	a->ask.incarnation = q->options.incarnation;
	a->ask.epoch = q->table.epoch;
	a->ask.share = (uint32_t)MIN(share, PW_QUOTA_WHOLE_SHARE);
	a->ask.level_microtokens = level;
	a->ask.units = units;
}

void pw_quota_ask_peers(struct pw_quota *q, struct pw_quota_resource *r, uint64_t share,
			uint64_t level, uint32_t units, uint64_t now_us, GArray *actions)
{
	bool has_waiters = !g_queue_is_empty(&r->queue);
	bool is_rate = r->spec.kind == PW_QUOTA_RATE;
	uint32_t asked_count = 0, target_count, unasked_count;
	const struct pw_quota_ask full_ask = { .share = (uint32_t)MIN(share, PW_QUOTA_WHOLE_SHARE),
					       .level_microtokens = level,
					       .units = units };
	GArray *candidates;

	if ((!share && !level && !units) || !pw_quota_holds_lease(q, now_us) ||
	    (q->options.unsafe & PW_QUOTA_UNSAFE_NO_MOVES) ||
	    (r->last_ask_us && now_us < r->last_ask_us + PW_QUOTA_ASK_INTERVAL_US))
		return;
	r->last_ask_us = now_us;
	candidates = g_array_new(FALSE, TRUE, sizeof(struct candidate));
	for (uint32_t i = 0; i < q->table.members->len; i++) {
		struct candidate c = {
			.entry = &g_array_index(q->table.members, struct pw_member_entry, i),
		};
		const struct pw_quota_hint *h = pw_quota_find_peer_hint(q, r, c.entry, now_us);

		if (strcmp(c.entry->name, q->options.name) == 0)
			continue;
		if (h) {
			c.spare = h->spare;
			c.spare_level_microtokens = h->spare_level_microtokens;
		}
		g_array_append_val(candidates, c);
	}
	g_array_sort(candidates, compare_spare_descending);
	for (uint32_t i = 0; i < candidates->len && (share || level || (units && !is_rate)); i++) {
		const struct candidate *c = &g_array_index(candidates, struct candidate, i);

		if (!c->spare && !c->spare_level_microtokens)
			break;
		send_ask(q, r, c->entry->name, share, level, units, actions);
		asked_count++;
		if (!is_rate) {
			units -= (uint32_t)MIN(units, c->spare);
		} else {
			share -= MIN(share, c->spare);
			level -= MIN(level, c->spare_level_microtokens);
		}
	}
	/* The hints may be out of date, so other members are asked for the full amounts too. */
	target_count = MIN(candidates->len, PW_QUOTA_ASK_MIN_PEERS);
	unasked_count = candidates->len - asked_count;
	for (uint32_t i = asked_count; has_waiters && i < target_count; i++) {
		const struct candidate *c =
			&g_array_index(candidates, struct candidate,
				       asked_count + r->next_ask_peer++ % unasked_count);

		send_ask(q, r, c->entry->name, full_ask.share, full_ask.level_microtokens,
			 full_ask.units, actions);
	}
	g_array_unref(candidates);
}

void pw_quota_ask_received(struct pw_quota *q, const struct pw_quota_ask *ask, uint64_t now_us,
			   GArray *actions)
{
	struct pw_quota_resource *r = g_hash_table_lookup(q->resources, ask->id);
	const struct pw_member_entry *e = pw_quota_find_member(q, ask->sender);

	if (!r || !e || e->incarnation != ask->incarnation || ask->epoch != q->table.epoch ||
	    !pw_quota_holds_lease(q, now_us) || (q->options.unsafe & PW_QUOTA_UNSAFE_NO_MOVES))
		return;
	serve_queue(q, r, now_us, actions);
	r->ops->handle_ask(q, r, ask, now_us, actions);
}

void pw_quota_send_grant(struct pw_quota *q, struct pw_quota_resource *r, const char *peer,
			 uint32_t share, uint64_t level, uint32_t units, uint64_t now_us,
			 GArray *actions)
{
	const struct pw_member_entry *e = pw_quota_find_member(q, peer);
	struct unacked_grant *g = g_new0(struct unacked_grant, 1);
	struct pw_quota_action *a;

	g_strlcpy(g->peer, peer, sizeof(g->peer));
	g_strlcpy(g->grant.donor, q->options.name, sizeof(g->grant.donor));
	g_strlcpy(g->grant.id, r->spec.id, sizeof(g->grant.id));
	g->grant.donor_incarnation = q->options.incarnation;
	g->grant.receiver_incarnation = e ? e->incarnation : 0;
	g->grant.epoch = q->table.epoch;
	g->grant.number = q->next_grant_number++;
	g->grant.oldest_unacked = g->grant.number;
	g->grant.share = share;
	g->grant.level_microtokens = level;
	g->grant.units = units;
	for (GList *l = q->unacked_grants.head; l; l = l->next) {
		const struct unacked_grant *o = l->data;

		if (strcmp(o->peer, peer) == 0) {
			g->grant.oldest_unacked = o->grant.number;
			break;
		}
	}
	g->sent_us = now_us;
	g_queue_push_tail(&q->unacked_grants, g);
	a = pw_quota_append_action(actions, PW_QUOTA_SEND_GRANT, r);
	g_strlcpy(a->peer, peer, sizeof(a->peer));
	a->grant = g->grant;
}

static gboolean is_below_limit(gpointer key, gpointer value, gpointer data)
{
	(void)value;
	return *(const gint64 *)key < *(const gint64 *)data;
}

/* Records a grant as counted. Returns false if it was counted before. */
static bool record_new_grant(struct pw_quota *q, const struct pw_quota_grant *g)
{
	struct donor_grants *d = g_hash_table_lookup(q->donors, g->donor);
	gint64 number = (gint64)g->number;
	gint64 limit;

	if (!d || d->incarnation != g->donor_incarnation) {
		d = g_new0(struct donor_grants, 1);
		d->incarnation = g->donor_incarnation;
		d->counted_numbers =
			g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
		g_hash_table_replace(q->donors, g_strdup(g->donor), d);
	}
	if (g->number < d->counted_below || g_hash_table_contains(d->counted_numbers, &number))
		return false;
	g_hash_table_add(d->counted_numbers, g_memdup2(&number, sizeof(number)));
	/* The donor has the acknowledgements of all lower numbers: it does not send these again. */
	if (g->oldest_unacked > d->counted_below && g->oldest_unacked <= g->number) {
		d->counted_below = g->oldest_unacked;
		limit = (gint64)d->counted_below;
		g_hash_table_foreach_remove(d->counted_numbers, is_below_limit, &limit);
	}
	return true;
}

void pw_quota_grant_received(struct pw_quota *q, const struct pw_quota_grant *grant,
			     uint64_t now_us, GArray *actions)
{
	struct pw_quota_resource *r = g_hash_table_lookup(q->resources, grant->id);
	const struct pw_member_entry *e = pw_quota_find_member(q, grant->donor);
	struct pw_quota_action *a;

	/* A grant of a later epoch or an unknown resource gets no ack, so the donor repeats it. */
	if (grant->epoch > q->table.epoch || !r ||
	    grant->receiver_incarnation != q->options.incarnation)
		return;
	a = pw_quota_append_action(actions, PW_QUOTA_SEND_ACK, r);
	g_strlcpy(a->peer, grant->donor, sizeof(a->peer));
	g_strlcpy(a->ack.sender, q->options.name, sizeof(a->ack.sender));
	a->ack.donor_incarnation = grant->donor_incarnation;
	a->ack.number = grant->number;
	if (grant->epoch != q->table.epoch || !e || e->incarnation != grant->donor_incarnation)
		return;
	if (!record_new_grant(q, grant) && !(q->options.unsafe & PW_QUOTA_UNSAFE_COUNT_TWICE))
		return;
	r->ops->add_grant(q, r, grant, now_us);
	serve_queue(q, r, now_us, actions);
}

void pw_quota_ack_received(struct pw_quota *q, const struct pw_quota_ack *ack)
{
	if (ack->donor_incarnation != q->options.incarnation)
		return;
	for (GList *l = q->unacked_grants.head; l; l = l->next) {
		struct unacked_grant *g = l->data;

		if (g->grant.number != ack->number || strcmp(g->peer, ack->sender) != 0)
			continue;
		g_free(g);
		g_queue_delete_link(&q->unacked_grants, l);
		return;
	}
}

int pw_quota_get_status(struct pw_quota *q, const char *id, struct pw_quota_status *out)
{
	const struct pw_quota_resource *r = g_hash_table_lookup(q->resources, id);

	if (!r)
		return pw_error_set(PW_ENOTFOUND, "no quota %s", id);
	*out = (struct pw_quota_status){
		.share = r->share,
		.level_microtokens = r->level_microtokens,
		.held_units = r->held_units,
		.in_use = r->in_use,
		.waiting = g_queue_get_length((GQueue *)&r->queue),
	};
	return PW_OK;
}
