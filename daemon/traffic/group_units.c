#include "group_private.h"

/* Units beyond the need are kept this long, so that the next request finds them here. */
#define SURPLUS_KEEP_US UINT64_C(100000)

/*
 * Requests that wait here keep recalled slots for this long. Slots then go round among the VMs in a
 * fraction of the deadline of requests (1 s), and are in use for most of the time even with 20 ms
 * between regions.
 */
#define TURN_US UINT64_C(100000)

/*
 * A server whose slots are all with other VMs for this long is left to its writes: reads find slots
 * at other replicas, and the VM that has these may be lost. A live one gives them back in less, see
 * TURN_US.
 */
#define STARVED_US UINT64_C(250000)

/* Reads try such a server again after this time. */
#define STARVED_RETRY_US UINT64_C(1000000)

static void tell_ledger(struct server *s, enum pw_units_message message, enum pw_units_kind kind,
			uint32_t count)
{
	struct group *g = s->database->group;

	if (count)
		pw_mailbox_send(g->directory->ledger,
				pw_units_msg_new(message, g->task.inbox, s->address, kind, count));
}

static uint32_t used_units(const struct server *s, enum pw_units_kind kind)
{
	return kind == PW_UNITS_CONNECTIONS ? pw_pool_open_count(s->pool) : pw_pool_busy(s->pool);
}

/* A pool opens no more connections than it has slots for. */
static uint32_t useful_connections(const struct server *s)
{
	const struct units *slots = &s->units[PW_UNITS_SLOTS];

	return MAX(pw_pool_busy(s->pool), slots->held + slots->wanted);
}

static uint32_t needed_units(const struct server *s, enum pw_units_kind kind)
{
	struct pw_pool_demand d = pw_pool_demand(s->pool);
	uint32_t need =
		kind == PW_UNITS_CONNECTIONS ? MIN(d.connections, useful_connections(s)) : d.slots;
	uint32_t limit = kind == PW_UNITS_CONNECTIONS ? s->connection_limit : s->slot_limit;

	return s->leaving ? used_units(s, kind) : MIN(need, limit);
}

static uint32_t usable_slots(const struct server *s)
{
	const struct units *u = &s->units[PW_UNITS_SLOTS];

	return group_now_us(s->database->group) >= u->owed_due_us ? u->held - u->owed : u->held;
}

static void set_pool_limits(struct server *s)
{
	pw_pool_set_limits(s->pool, s->leaving ? 0 : s->units[PW_UNITS_CONNECTIONS].held,
			   usable_slots(s));
}

/* Gives back up to `count` units that nothing uses. */
static uint32_t give_back(struct server *s, enum pw_units_kind kind, uint32_t count)
{
	struct units *u = &s->units[kind];
	uint32_t used = used_units(s, kind);
	uint32_t free_units = u->held > used ? u->held - used : 0;
	uint32_t n = MIN(count, free_units);

	u->held -= n;
	u->owed -= MIN(u->owed, n);
	set_pool_limits(s);
	tell_ledger(s, PW_UNITS_RETURN, kind, n);
	return n;
}

void units_update(struct server *s)
{
	const struct units *slots = &s->units[PW_UNITS_SLOTS];

	if (slots->owed && group_now_us(s->database->group) >= slots->owed_due_us)
		give_back(s, PW_UNITS_SLOTS, slots->owed);
	for (int kind = 0; kind < PW_UNITS_KINDS; kind++) {
		struct units *u = &s->units[kind];
		uint32_t need = needed_units(s, kind);

		if (u->held + u->wanted < need) {
			uint32_t more = need - u->held - u->wanted;

			u->wanted += more;
			tell_ledger(s, PW_UNITS_WANT, kind, more);
		}
	}
	set_pool_limits(s);
}

/* Closes idle connections, down to `count` fewer units in use. */
static void close_idle(struct server *s, uint32_t count)
{
	struct units *u = &s->units[PW_UNITS_CONNECTIONS];
	uint32_t busy = pw_pool_busy(s->pool);
	uint32_t spare = u->held > busy ? u->held - busy : 0;

	pw_pool_set_limits(s->pool, u->held - MIN(count, spare), usable_slots(s));
	server_pump(s);
	set_pool_limits(s);
}

static void recall(struct server *s, enum pw_units_kind kind, uint32_t count)
{
	struct units *u = &s->units[kind];
	uint32_t need = MIN(needed_units(s, kind), u->held);
	uint32_t spare = MIN(count, u->held - need);

	if (kind == PW_UNITS_CONNECTIONS)
		close_idle(s, spare);
	count -= give_back(s, kind, spare);
	/* Requests that wait elsewhere have the same right to the slots as those that wait here. */
	if (kind != PW_UNITS_SLOTS || !count)
		return;
	if (!u->owed)
		u->owed_due_us = group_now_us(s->database->group) + TURN_US;
	u->owed = MIN(u->held, u->owed + count);
}

bool units_are_recalled(const struct server *s)
{
	return s->units[PW_UNITS_SLOTS].owed != 0;
}

static void drop_all(struct server *s)
{
	for (int kind = 0; kind < PW_UNITS_KINDS; kind++)
		s->units[kind] = (struct units){ 0 };
	set_pool_limits(s);
	server_pump(s);
	units_update(s);
}

void units_take_message(struct server *s, const struct pw_units_msg *m)
{
	struct units *u = &s->units[m->kind];

	switch (m->message) {
	case PW_UNITS_LEND:
		u->held += m->count;
		u->wanted -= MIN(u->wanted, m->count);
		set_pool_limits(s);
		server_pump(s);
		break;
	case PW_UNITS_CANCEL:
		u->wanted -= MIN(u->wanted, m->count);
		break;
	case PW_UNITS_RECALL:
		recall(s, m->kind, m->count);
		break;
	case PW_UNITS_REVOKED:
		drop_all(s);
		break;
	default:
		break;
	}
}

/* Notes whether requests wait in vain for slots of the server. */
static void check_starved(struct server *s, uint64_t now_us)
{
	struct units *u = &s->units[PW_UNITS_SLOTS];

	if (u->held || !pw_pool_waiting(s->pool)) {
		u->none_since_us = 0;
		if (u->held)
			s->starved_until_us = 0;
		return;
	}
	if (!u->none_since_us)
		u->none_since_us = now_us;
	if (now_us < s->starved_until_us || now_us < u->none_since_us + STARVED_US)
		return;
	s->starved_until_us = now_us + STARVED_RETRY_US;
	server_requeue_reads(s);
}

void units_tick(struct server *s, uint64_t now_us)
{
	check_starved(s, now_us);
	units_update(s);
	for (int kind = 0; kind < PW_UNITS_KINDS; kind++) {
		struct units *u = &s->units[kind];
		uint32_t need = MAX(needed_units(s, kind), used_units(s, kind));

		if (u->held <= need) {
			u->surplus_since_us = 0;
		} else if (!u->surplus_since_us) {
			u->surplus_since_us = now_us;
		} else if (now_us - u->surplus_since_us >= SURPLUS_KEEP_US) {
			give_back(s, kind, u->held - need);
			u->surplus_since_us = 0;
		}
	}
}
