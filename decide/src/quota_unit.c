/* Units: connections and slots, held as integers. */
#include "quota_internal.h"

#include <string.h>

/** An ask that is not renewed for this long is dropped; askers repeat it every 20 ms. */
#define PENDING_LIMIT_US UINT64_C(200000)

/** After this time a waiting ask goes before the donor's own expected demand. */
#define PENDING_PATIENCE_US UINT64_C(50000)

static int64_t base_share(const struct pw_quota *q, const struct pw_quota_spec *spec)
{
	uint32_t n = q->table.members->len;

	if (!n || !pw_quota_member(q, q->options.name))
		return 0;
	/* The rank differs from resource to resource, so the remainders spread over the members. */
	return spec->units / n +
	       (pw_member_rank(q->table.members, q->options.name, spec->id) < spec->units % n);
}

static uint32_t excess(const struct pw_quota_resource *r)
{
	int64_t over = (int64_t)r->in_use - MAX(r->held, 0);

	return over > 0 ? (uint32_t)over : 0;
}

static int64_t free_units(const struct pw_quota_resource *r)
{
	return r->held - r->in_use;
}

static void recall(struct pw_quota_resource *r, uint32_t units, GArray *actions)
{
	units = MIN(units, r->in_use);
	if (units <= r->recalled)
		return;
	pw_quota_add_action(actions, PW_QUOTA_RECALL, r)->units = units - r->recalled;
	r->recalled = units;
}

static void unit_begin_epoch(struct pw_quota *q, struct pw_quota_resource *r, bool stays,
			     uint64_t now_us, GArray *actions)
{
	(void)now_us;
	r->base = base_share(q, &r->spec);
	r->held = stays ? CLAMP(r->held, 0, r->base) : 0;
	r->claim = r->base - r->held;
	r->recalled = 0;
	g_array_set_size(r->pending, 0);
	recall(r, excess(r), actions);
}

static void unit_configure(struct pw_quota *q, struct pw_quota_resource *r,
			   const struct pw_quota_spec *spec, uint64_t now_us, GArray *actions)
{
	int64_t base = base_share(q, spec);
	int64_t less = r->base - base;
	int64_t from_claim = CLAMP(less, 0, r->claim);

	(void)now_us;
	r->spec = *spec;
	r->base = base;
	r->claim -= from_claim;
	r->held -= less - from_claim;
	recall(r, excess(r), actions);
}

static bool unit_spend(struct pw_quota *q, struct pw_quota_resource *r, uint64_t now_us)
{
	(void)q;
	(void)now_us;
	if (free_units(r) <= 0)
		return false;
	r->in_use++;
	r->arrived = MAX(r->arrived, r->in_use);
	return true;
}

static void unit_roll(struct pw_quota_resource *r)
{
	uint64_t peak = MAX(r->arrived, r->in_use + g_queue_get_length(&r->queue)) * 1000;

	r->demand = MAX(peak, (r->demand * 3 + peak) / 4);
	r->arrived = 0;
}

/* Whether all members that stayed use no more than their holding in this epoch. */
static bool all_settled(const struct pw_quota *q, const struct pw_quota_resource *r,
			uint64_t now_us)
{
	if (excess(r))
		return false;
	for (uint32_t i = 0; i < q->table.members->len; i++) {
		const struct pw_member_entry *e =
			&g_array_index(q->table.members, struct pw_member_entry, i);
		const struct pw_quota_hint *h;

		if (e->since_epoch == q->table.epoch || strcmp(e->name, q->options.name) == 0)
			continue;
		h = pw_quota_peer_hint(q, r, e, now_us);
		if (!h || h->excess)
			return false;
	}
	return true;
}

/* Serves the asks that wait and the own queue in the order of arrival. */
static void serve_pending(struct pw_quota *q, struct pw_quota_resource *r, uint64_t now_us,
			  GArray *actions)
{
	uint32_t wanted = 0;

	for (uint32_t i = 0; i < r->pending->len;) {
		struct pw_quota_pending_ask *p =
			&g_array_index(r->pending, struct pw_quota_pending_ask, i);
		const struct pw_quota_waiter *own = g_queue_peek_head(&r->queue);
		int64_t keep = (int64_t)(r->demand + 500) / 1000 - r->in_use;
		int64_t units = free_units(r);

		if (now_us > p->renewed_us + PENDING_LIMIT_US) {
			g_array_remove_index(r->pending, i);
			continue;
		}
		if (own && own->since_us < p->since_us)
			break;
		if (!own && keep > 0 && now_us < p->since_us + PENDING_PATIENCE_US)
			units -= keep;
		units = MIN(units, p->units);
		if (units <= 0) {
			wanted += p->units;
			i++;
			continue;
		}
		r->held -= units;
		p->units -= (uint32_t)units;
		pw_quota_give(q, r, p->peer, 0, 0, (uint32_t)units, now_us, actions);
		if (!p->units)
			g_array_remove_index(r->pending, i);
	}
	if (wanted && free_units(r) <= 0)
		recall(r, wanted + excess(r), actions);
}

/*
 * Gives units above the base share, beyond the expected demand, to members below theirs. The
 * demand fades in about 0.3 s, so units stay with a load that pauses for less.
 */
static void return_idle(struct pw_quota *q, struct pw_quota_resource *r, uint64_t now_us,
			GArray *actions)
{
	int64_t expected = (int64_t)(r->demand + 500) / 1000;
	int64_t idle = r->held - MAX(r->base, MAX(expected, (int64_t)r->in_use));

	if ((q->options.unsafe & PW_QUOTA_UNSAFE_NO_MOVES) || r->claim)
		return;
	for (uint32_t i = 0; i < q->table.members->len && idle > 0; i++) {
		const struct pw_member_entry *e =
			&g_array_index(q->table.members, struct pw_member_entry, i);
		struct pw_quota_hint *h = pw_quota_peer_hint(q, r, e, now_us);
		uint32_t units = h ? (uint32_t)MIN(idle, h->below_base) : 0;

		if (!units || strcmp(e->name, q->options.name) == 0)
			continue;
		/* The peer's next hint may have been made before the grant arrives. */
		h->below_base -= units;
		r->held -= units;
		idle -= units;
		pw_quota_give(q, r, e->name, 0, 0, units, now_us, actions);
	}
}

static void unit_update(struct pw_quota *q, struct pw_quota_resource *r, uint64_t now_us,
			GArray *actions)
{
	uint32_t waiting = g_queue_get_length(&r->queue);

	if (r->claim &&
	    ((q->options.unsafe & PW_QUOTA_UNSAFE_CLAIM_EARLY) || all_settled(q, r, now_us))) {
		r->held += r->claim;
		r->claim = 0;
	}
	if (pw_quota_spendable(q, now_us))
		serve_pending(q, r, now_us, actions);
	if (pw_quota_spendable(q, now_us) && !r->pending->len && !waiting)
		return_idle(q, r, now_us, actions);
	r->arrived = MAX(r->arrived, r->in_use + (uint64_t)waiting);
	if (r->held < 0 || waiting)
		pw_quota_ask_peers(q, r, 0, 0,
				   waiting + (uint32_t)(r->held < 0 ? MIN(-r->held, INT32_MAX) : 0),
				   now_us, actions);
}

static void unit_ask(struct pw_quota *q, struct pw_quota_resource *r,
		     const struct pw_quota_ask *ask, uint64_t now_us, GArray *actions)
{
	struct pw_quota_pending_ask p = { .since_us = now_us };
	uint32_t i = 0;

	while (i < r->pending->len &&
	       strcmp(g_array_index(r->pending, struct pw_quota_pending_ask, i).peer,
		      ask->sender) != 0)
		i++;
	if (i == r->pending->len) {
		g_strlcpy(p.peer, ask->sender, sizeof(p.peer));
		g_array_append_val(r->pending, p);
	}
	g_array_index(r->pending, struct pw_quota_pending_ask, i).units = ask->units;
	g_array_index(r->pending, struct pw_quota_pending_ask, i).renewed_us = now_us;
	serve_pending(q, r, now_us, actions);
}

static void unit_receive(struct pw_quota *q, struct pw_quota_resource *r,
			 const struct pw_quota_grant *grant, uint64_t now_us)
{
	(void)q;
	(void)now_us;
	r->held += grant->units;
}

static void unit_hint(struct pw_quota *q, struct pw_quota_resource *r, struct pw_quota_hint *out,
		      uint64_t now_us)
{
	(void)q;
	(void)now_us;
	out->spare = g_queue_is_empty(&r->queue) && free_units(r) > 0 ? (uint64_t)free_units(r) : 0;
	out->demand = r->demand;
	out->excess = excess(r);
	/* A claim will bring the rest of the base share by itself. */
	out->below_base = (uint32_t)MAX(r->base - r->claim - r->held, 0);
}

const struct pw_quota_kind_ops pw_quota_unit_ops = {
	.begin_epoch = unit_begin_epoch,
	.configure = unit_configure,
	.spend = unit_spend,
	.roll = unit_roll,
	.update = unit_update,
	.ask = unit_ask,
	.receive = unit_receive,
	.hint = unit_hint,
};
