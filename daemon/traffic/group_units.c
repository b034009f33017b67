#include "group_private.h"

/* Units that are not needed are kept for this time, in case the next request needs them. */
#define SURPLUS_UNITS_KEEP_US UINT64_C(100000)

/*
 * Recalled slots that requests of this VM need are kept for this time. It is a fraction of the
 * requests' deadline (1 s by default), so that the slots reach each of the VMs in time. It is long
 * enough for them to be in use most of the time even with 20 ms between regions.
 */
#define RECALLED_SLOTS_KEEP_US UINT64_C(100000)

/*
 * Reads avoid a server if requests have waited for its slots for this time while this VM held none:
 * there are slots at other replicas, and the VM that holds the server's slots may be lost. A live
 * VM returns them sooner, see RECALLED_SLOTS_KEEP_US. Writes keep waiting.
 */
#define STARVED_AFTER_US UINT64_C(250000)

/* Time for which reads avoid such a server. */
#define STARVED_AVOID_US UINT64_C(1000000)

static void send_to_ledger(struct server *s, enum pw_units_msg_type type, enum pw_units_kind kind,
			   uint32_t count)
{
	struct group *g = s->database->group;

	if (count)
		pw_mailbox_send(g->directory->ledger,
				pw_units_msg_new(type, g->task.inbox, s->address, kind, count));
}

static uint32_t used_units(const struct server *s, enum pw_units_kind kind)
{
	return kind == PW_UNITS_CONNECTIONS ? pw_pool_open_count(s->pool)
					    : pw_pool_busy_count(s->pool);
}

/* Returns the useful number of connections; the pool opens no more of them than it has slots. */
static uint32_t useful_connections(const struct server *s)
{
	const struct units *slots = &s->units[PW_UNITS_SLOTS];

	return MAX(pw_pool_busy_count(s->pool), slots->held_count + slots->requested_count);
}

static uint32_t needed_units(const struct server *s, enum pw_units_kind kind)
{
	struct pw_pool_demand d = pw_pool_demand(s->pool);
	uint32_t needed_count =
		kind == PW_UNITS_CONNECTIONS ? MIN(d.connections, useful_connections(s)) : d.slots;
	uint32_t limit = kind == PW_UNITS_CONNECTIONS ? s->connection_limit : s->slot_limit;

	return s->leaving ? used_units(s, kind) : MIN(needed_count, limit);
}

/* Returns the slots that the pool may use, without recalled ones that are due. */
static uint32_t usable_slots(const struct server *s)
{
	const struct units *u = &s->units[PW_UNITS_SLOTS];

	return group_now_us(s->database->group) >= u->recalled_due_us
		       ? u->held_count - u->recalled_count
		       : u->held_count;
}

static void set_pool_limits(struct server *s)
{
	pw_pool_set_limits(s->pool, s->leaving ? 0 : s->units[PW_UNITS_CONNECTIONS].held_count,
			   usable_slots(s));
}

/* Sends up to `count` unused units back to the ledger. Returns how many were sent. */
static uint32_t return_free_units(struct server *s, enum pw_units_kind kind, uint32_t count)
{
	struct units *u = &s->units[kind];
	uint32_t used_count = used_units(s, kind);
	uint32_t free_count = u->held_count > used_count ? u->held_count - used_count : 0;
	uint32_t returned_count = MIN(count, free_count);

	u->held_count -= returned_count;
	u->recalled_count -= MIN(u->recalled_count, returned_count);
	set_pool_limits(s);
	send_to_ledger(s, PW_UNITS_RETURN, kind, returned_count);
	return returned_count;
}

void units_update(struct server *s)
{
	const struct units *slots = &s->units[PW_UNITS_SLOTS];

	if (slots->recalled_count && group_now_us(s->database->group) >= slots->recalled_due_us)
		return_free_units(s, PW_UNITS_SLOTS, slots->recalled_count);
	for (int kind = 0; kind < PW_UNITS_KIND_COUNT; kind++) {
		struct units *u = &s->units[kind];
		uint32_t needed_count = needed_units(s, kind);

		if (u->held_count + u->requested_count < needed_count) {
			uint32_t missing_count = needed_count - u->held_count - u->requested_count;

			u->requested_count += missing_count;
			send_to_ledger(s, PW_UNITS_REQUEST, kind, missing_count);
		}
	}
	set_pool_limits(s);
}

/* Closes up to `count` idle connections, by lowering the pool's limit for the moment. */
static void close_idle_conns(struct server *s, uint32_t count)
{
	struct units *u = &s->units[PW_UNITS_CONNECTIONS];
	uint32_t busy_count = pw_pool_busy_count(s->pool);
	uint32_t spare_count = u->held_count > busy_count ? u->held_count - busy_count : 0;

	pw_pool_set_limits(s->pool, u->held_count - MIN(count, spare_count), usable_slots(s));
	server_run_pool_actions(s);
	set_pool_limits(s);
}

static void handle_recall(struct server *s, enum pw_units_kind kind, uint32_t count)
{
	struct units *u = &s->units[kind];
	uint32_t needed_count = MIN(needed_units(s, kind), u->held_count);
	uint32_t spare_count = MIN(count, u->held_count - needed_count);

	if (kind == PW_UNITS_CONNECTIONS)
		close_idle_conns(s, spare_count);
	count -= return_free_units(s, kind, spare_count);
	/*
	 * Requests of other VMs have the same right to the slots that are needed here, so these are
	 * returned as well, after RECALLED_SLOTS_KEEP_US.
	 */
	if (kind != PW_UNITS_SLOTS || !count)
		return;
	if (!u->recalled_count)
		u->recalled_due_us = group_now_us(s->database->group) + RECALLED_SLOTS_KEEP_US;
	u->recalled_count = MIN(u->held_count, u->recalled_count + count);
}

bool units_are_recalled(const struct server *s)
{
	return s->units[PW_UNITS_SLOTS].recalled_count != 0;
}

/* Resets all units after the ledger has revoked them, and requests new ones. */
static void reset_units(struct server *s)
{
	for (int kind = 0; kind < PW_UNITS_KIND_COUNT; kind++)
		s->units[kind] = (struct units){ 0 };
	set_pool_limits(s);
	server_run_pool_actions(s);
	units_update(s);
}

void units_handle_message(struct server *s, const struct pw_units_msg *m)
{
	struct units *u = &s->units[m->kind];

	switch (m->type) {
	case PW_UNITS_LEND:
		u->held_count += m->count;
		u->requested_count -= MIN(u->requested_count, m->count);
		set_pool_limits(s);
		server_run_pool_actions(s);
		break;
	case PW_UNITS_REJECT:
		u->requested_count -= MIN(u->requested_count, m->count);
		break;
	case PW_UNITS_RECALL:
		handle_recall(s, m->kind, m->count);
		break;
	case PW_UNITS_REVOKE:
		reset_units(s);
		break;
	default:
		break;
	}
}

/* Makes reads avoid the server if requests have waited too long for its slots. */
static void update_starvation(struct server *s, uint64_t now_us)
{
	struct units *u = &s->units[PW_UNITS_SLOTS];

	if (u->held_count || !pw_pool_waiting_count(s->pool)) {
		u->starved_since_us = 0;
		if (u->held_count)
			s->starved_until_us = 0;
		return;
	}
	if (!u->starved_since_us)
		u->starved_since_us = now_us;
	if (now_us < s->starved_until_us || now_us < u->starved_since_us + STARVED_AFTER_US)
		return;
	s->starved_until_us = now_us + STARVED_AVOID_US;
	server_reroute_queued_reads(s);
}

void units_tick(struct server *s, uint64_t now_us)
{
	update_starvation(s, now_us);
	units_update(s);
	for (int kind = 0; kind < PW_UNITS_KIND_COUNT; kind++) {
		struct units *u = &s->units[kind];
		uint32_t needed_count = MAX(needed_units(s, kind), used_units(s, kind));

		if (u->held_count <= needed_count) {
			u->surplus_since_us = 0;
		} else if (!u->surplus_since_us) {
			u->surplus_since_us = now_us;
		} else if (now_us - u->surplus_since_us >= SURPLUS_UNITS_KEEP_US) {
			return_free_units(s, kind, u->held_count - needed_count);
			u->surplus_since_us = 0;
		}
	}
}
