/* Units: whole connections and slots of a server. */
#include "quota_internal.h"

#include <string.h>

/** A pending ask that is not repeated for this long is dropped; peers repeat it every 20 ms. */
#define PENDING_ASK_TIMEOUT_US UINT64_C(200000)

/** An ask that has been pending this long takes priority over the donor's own expected demand. */
#define PENDING_ASK_PRIORITY_AFTER_US UINT64_C(50000)

/* Equal part of the total for this VM, 0 if it is not a member. */
static int64_t compute_base_units(const struct pw_quota *q, const struct pw_quota_spec *spec)
{
	uint32_t n = q->table.members->len;

	if (!n || !pw_quota_find_member(q, q->options.name))
		return 0;
	/* The rank depends on the resource, so the remainders are spread over the members. */
	return spec->units / n + (pw_member_rendezvous_rank(q->table.members, q->options.name,
							    spec->id) < spec->units % n);
}

/* Units in use beyond the holding. */
static uint32_t excess_units(const struct pw_quota_resource *r)
{
	int64_t excess = (int64_t)r->in_use - MAX(r->held_units, 0);

	return excess > 0 ? (uint32_t)excess : 0;
}

/* Free units; below 0 if more are in use than held. */
static int64_t free_units(const struct pw_quota_resource *r)
{
	return r->held_units - r->in_use;
}

/* Recalls units in use until `units` of them are recalled. */
static void recall_units(struct pw_quota_resource *r, uint32_t units, GArray *actions)
{
	units = MIN(units, r->in_use);
	if (units <= r->recalled_units)
		return;
	pw_quota_append_action(actions, PW_QUOTA_RECALL, r)->units = units - r->recalled_units;
	r->recalled_units = units;
}

static void unit_begin_epoch(struct pw_quota *q, struct pw_quota_resource *r, bool stays,
			     uint64_t now_us, GArray *actions)
{
	(void)now_us;
	r->base_units = compute_base_units(q, &r->spec);
	r->held_units = stays ? CLAMP(r->held_units, 0, r->base_units) : 0;
	r->unusable_base_units = r->base_units - r->held_units;
	r->recalled_units = 0;
	g_array_set_size(r->pending_asks, 0);
	recall_units(r, excess_units(r), actions);
}

/*
 * A decrease is first taken off the part of the base share that is not usable yet. An increase is
 * usable at once.
 */
static void unit_configure(struct pw_quota *q, struct pw_quota_resource *r,
			   const struct pw_quota_spec *spec, uint64_t now_us, GArray *actions)
{
	int64_t base = compute_base_units(q, spec);
	int64_t decrease = r->base_units - base;
	int64_t from_unusable = CLAMP(decrease, 0, r->unusable_base_units);

	(void)now_us;
	r->spec = *spec;
	r->base_units = base;
	r->unusable_base_units -= from_unusable;
	r->held_units -= decrease - from_unusable;
	recall_units(r, excess_units(r), actions);
}

static bool unit_try_acquire(struct pw_quota *q, struct pw_quota_resource *r, uint64_t now_us)
{
	(void)q;
	(void)now_us;
	if (free_units(r) <= 0)
		return false;
	r->in_use++;
	r->window_demand = MAX(r->window_demand, r->in_use);
	return true;
}

/* The demand rises to the window's peak at once and decays by 1/4 of the distance per window. */
static void unit_end_window(struct pw_quota_resource *r)
{
	uint64_t peak = MAX(r->window_demand, r->in_use + g_queue_get_length(&r->queue)) * 1000;

	r->demand = MAX(peak, (r->demand * 3 + peak) / 4);
	r->window_demand = 0;
}

/*
 * Whether this VM and all members that stayed from the previous epoch use no more units than they
 * hold, by their hints of this epoch.
 */
static bool all_within_holding(const struct pw_quota *q, const struct pw_quota_resource *r,
			       uint64_t now_us)
{
	if (excess_units(r))
		return false;
	for (uint32_t i = 0; i < q->table.members->len; i++) {
		const struct pw_member_entry *e =
			&g_array_index(q->table.members, struct pw_member_entry, i);
		const struct pw_quota_hint *h;

		if (e->since_epoch == q->table.epoch || strcmp(e->name, q->options.name) == 0)
			continue;
		h = pw_quota_find_peer_hint(q, r, e, now_us);
		if (!h || h->excess_units)
			return false;
	}
	return true;
}

/*
 * Grants free units to pending asks in order of arrival, up to the first that came after the oldest
 * request waiting here, and recalls units in use for what is missing.
 */
static void serve_pending_asks(struct pw_quota *q, struct pw_quota_resource *r, uint64_t now_us,
			       GArray *actions)
{
	uint32_t missing_units = 0;

	for (uint32_t i = 0; i < r->pending_asks->len;) {
		struct pw_quota_pending_ask *p =
			&g_array_index(r->pending_asks, struct pw_quota_pending_ask, i);
		const struct pw_quota_waiter *first_waiter = g_queue_peek_head(&r->queue);
		int64_t reserved_units = (int64_t)(r->demand + 500) / 1000 - r->in_use;
		int64_t units = free_units(r);

		if (now_us > p->last_asked_us + PENDING_ASK_TIMEOUT_US) {
			g_array_remove_index(r->pending_asks, i);
			continue;
		}
		if (first_waiter && first_waiter->queued_us < p->first_asked_us)
			break;
		if (!first_waiter && reserved_units > 0 &&
		    now_us < p->first_asked_us + PENDING_ASK_PRIORITY_AFTER_US)
			units -= reserved_units;
		units = MIN(units, p->units);
		if (units <= 0) {
			missing_units += p->units;
			i++;
			continue;
		}
		r->held_units -= units;
		p->units -= (uint32_t)units;
		pw_quota_send_grant(q, r, p->peer, 0, 0, (uint32_t)units, now_us, actions);
		if (!p->units)
			g_array_remove_index(r->pending_asks, i);
	}
	if (missing_units && free_units(r) <= 0)
		recall_units(r, missing_units + excess_units(r), actions);
}

/*
 * Grants units beyond the base share and the expected demand to members that hold less than their
 * base share. The demand decays in about 0.3 s, so a load that pauses for less keeps its units.
 */
static void return_idle_units(struct pw_quota *q, struct pw_quota_resource *r, uint64_t now_us,
			      GArray *actions)
{
	int64_t expected_units = (int64_t)(r->demand + 500) / 1000;
	int64_t idle_units =
		r->held_units - MAX(r->base_units, MAX(expected_units, (int64_t)r->in_use));

	if ((q->options.unsafe & PW_QUOTA_UNSAFE_NO_MOVES) || r->unusable_base_units)
		return;
	for (uint32_t i = 0; i < q->table.members->len && idle_units > 0; i++) {
		const struct pw_member_entry *e =
			&g_array_index(q->table.members, struct pw_member_entry, i);
		struct pw_quota_hint *h = pw_quota_find_peer_hint(q, r, e, now_us);
		uint32_t units = h ? (uint32_t)MIN(idle_units, h->units_below_base) : 0;

		if (!units || strcmp(e->name, q->options.name) == 0)
			continue;
		/*
		 * The same hint must not lead to a second grant. The peer's next hint may still
		 * lead to one, if it was made before this grant arrived.
		 */
		h->units_below_base -= units;
		r->held_units -= units;
		idle_units -= units;
		pw_quota_send_grant(q, r, e->name, 0, 0, units, now_us, actions);
	}
}

static void unit_rebalance(struct pw_quota *q, struct pw_quota_resource *r, uint64_t now_us,
			   GArray *actions)
{
	uint32_t waiting_count = g_queue_get_length(&r->queue);

	if (r->unusable_base_units && ((q->options.unsafe & PW_QUOTA_UNSAFE_CLAIM_EARLY) ||
				       all_within_holding(q, r, now_us))) {
		r->held_units += r->unusable_base_units;
		r->unusable_base_units = 0;
	}
	if (pw_quota_holds_lease(q, now_us))
		serve_pending_asks(q, r, now_us, actions);
	if (pw_quota_holds_lease(q, now_us) && !r->pending_asks->len && !waiting_count)
		return_idle_units(q, r, now_us, actions);
	r->window_demand = MAX(r->window_demand, r->in_use + (uint64_t)waiting_count);
	if (r->held_units < 0 || waiting_count)
		pw_quota_ask_peers(
			q, r, 0, 0,
			waiting_count +
				(uint32_t)(r->held_units < 0 ? MIN(-r->held_units, INT32_MAX) : 0),
			now_us, actions);
}

static void unit_handle_ask(struct pw_quota *q, struct pw_quota_resource *r,
			    const struct pw_quota_ask *ask, uint64_t now_us, GArray *actions)
{
	struct pw_quota_pending_ask p = { .first_asked_us = now_us };
	uint32_t i = 0;

	while (i < r->pending_asks->len &&
	       strcmp(g_array_index(r->pending_asks, struct pw_quota_pending_ask, i).peer,
		      ask->sender) != 0)
		i++;
	if (i == r->pending_asks->len) {
		g_strlcpy(p.peer, ask->sender, sizeof(p.peer));
		g_array_append_val(r->pending_asks, p);
	}
	g_array_index(r->pending_asks, struct pw_quota_pending_ask, i).units = ask->units;
	g_array_index(r->pending_asks, struct pw_quota_pending_ask, i).last_asked_us = now_us;
	serve_pending_asks(q, r, now_us, actions);
}

static void unit_add_grant(struct pw_quota *q, struct pw_quota_resource *r,
			   const struct pw_quota_grant *grant, uint64_t now_us)
{
	(void)q;
	(void)now_us;
	r->held_units += grant->units;
}

static void unit_fill_hint(struct pw_quota *q, struct pw_quota_resource *r,
			   struct pw_quota_hint *out, uint64_t now_us)
{
	(void)q;
	(void)now_us;
	out->spare = g_queue_is_empty(&r->queue) && free_units(r) > 0 ? (uint64_t)free_units(r) : 0;
	out->demand = r->demand;
	out->excess_units = excess_units(r);
	/* The unusable part of the base share becomes usable without a grant. */
	out->units_below_base =
		(uint32_t)MAX(r->base_units - r->unusable_base_units - r->held_units, 0);
}

const struct pw_quota_kind_ops pw_quota_unit_ops = {
	.begin_epoch = unit_begin_epoch,
	.configure = unit_configure,
	.try_acquire = unit_try_acquire,
	.end_window = unit_end_window,
	.rebalance = unit_rebalance,
	.handle_ask = unit_handle_ask,
	.add_grant = unit_add_grant,
	.fill_hint = unit_fill_hint,
};
