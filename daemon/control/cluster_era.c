/*
 * Eras of the store. A store that was restored from a copy has lost what was written since the
 * copy: leases, members, and changes of primary. This VM then registers again under a new lease and
 * reads the record of primaries. A record of an earlier era gives no permit. It is first merged
 * with what this VM knows and written again, by any VM that has known a record before; a VM that
 * has started since waits for them, since it cannot tell what the copy lacks.
 */
#include "cluster_private.h"

#include <inttypes.h>
#include <string.h>

#include "pw/core/clock.h"
#include "pw/core/event.h"

/*
 * Time for which a VM that knows no earlier record leaves a record of an earlier era to the others.
 * A VM that reaches the store writes it again at its next renewal; without such a renewal its
 * permit is over after this time.
 */
#define RESTORE_WAIT_US (PW_PERMIT_DURATION_US + PW_PERMIT_RENEW_INTERVAL_US)

bool era_observe(struct cluster *c, const struct pw_store_result *r)
{
	bool is_first = c->era_since_us == 0;

	if (r->era <= c->era)
		return false;
	c->era = r->era;
	c->era_since_us = cluster_now_us(c);
	c->restore_wait_until_us = 0;
	if (is_first)
		return false;
	/* The lease may have been given out again to another VM. */
	c->lease_id = 0;
	c->registered = false;
	c->primaries_current = false;
	c->renewal_pending = false;
	c->restore_pending = false;
	change_abort_before_promotion(c, "the store was restored from a copy");
	return true;
}

bool era_is_record_current(const struct cluster *c)
{
	return !c->primaries || c->primaries->era >= c->era;
}

bool era_may_claim(const struct cluster *c, uint32_t rank)
{
	if (!c->era)
		return true;
	return era_is_record_current(c) &&
	       cluster_now_us(c) >=
		       c->era_since_us + PW_PERMIT_DURATION_US + rank * PW_CHANGE_RANK_DELAY_US;
}

/* Whether this VM may write a record of an earlier era again. */
static bool may_restore(struct cluster *c, const struct pw_primaries *known)
{
	uint64_t now_us = cluster_now_us(c);

	if (known)
		return true;
	if (!c->restore_wait_until_us)
		c->restore_wait_until_us = now_us + RESTORE_WAIT_US;
	return now_us >= c->restore_wait_until_us;
}

static void write_record(struct cluster *c, const struct pw_primaries *record)
{
	c->restore_pending = true;
	cluster_write_primaries(c, record, TAG_PRIMARIES_RESTORE);
}

bool era_accept_record(struct cluster *c, struct pw_primaries *record)
{
	const struct pw_primaries *known = era_is_record_current(c) ? NULL : c->primaries;
	struct pw_primaries *merged = NULL;
	bool must_write;

	if (!known && (!record || record->era >= c->era))
		return true;
	/* The record was current, so this one was written later, by a build without eras. */
	if (!known && c->primaries) {
		record->era = c->era;
		return true;
	}
	must_write = pw_primaries_merge(&merged, record, known, c->era);
	if (must_write && !c->restore_pending && may_restore(c, known))
		write_record(c, merged);
	pw_primaries_unref(merged);
	return !must_write;
}

void era_add_dead_mark(struct cluster *c, const char *group)
{
	if (!c->dead_marks)
		c->dead_marks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_add(c->dead_marks, g_strdup(group));
}

/*
 * Whether the newest claim in the record is the last one of this VM in an earlier era: no VM has
 * claimed a change since, and so no other VM relies on a mark of this VM.
 */
static bool is_own_claim_of_earlier_era(const struct cluster *c)
{
	return g_strcmp0(c->primaries->holder, c->directory->settings->vm_name) == 0 &&
	       c->primaries->fencing_token == (uint64_t)c->era << PW_FENCING_TOKEN_ERA_SHIFT;
}

void era_clear_dead_marks(struct cluster *c)
{
	struct pw_primaries *record;
	bool changed = false;
	GHashTableIter it;
	gpointer group;

	if (!c->dead_marks || !c->primaries || !era_is_record_current(c) || c->restore_pending)
		return;
	record = pw_primaries_copy(c->primaries);
	g_hash_table_iter_init(&it, c->dead_marks);
	while (g_hash_table_iter_next(&it, &group, NULL)) {
		struct pw_primary *primary = pw_primaries_find(record, group);

		if (!primary || !primary->changing)
			continue;
		pw_primaries_clear_mark(record, group);
		changed = true;
	}
	/* After a failure the next tick tries again. */
	if (changed && is_own_claim_of_earlier_era(c))
		write_record(c, record);
	else
		g_clear_pointer(&c->dead_marks, g_hash_table_unref);
	pw_primaries_unref(record);
}

void era_stop(struct cluster *c)
{
	if (c->dead_marks)
		g_hash_table_unref(c->dead_marks);
}
