#include "cluster_private.h"

#include "pw/core/clock.h"

/*
 * A position replaces an earlier one of the same primary only if it is newer by this much, which is
 * a fraction of the staleness that reads accept.
 */
#define POSITION_MIN_STEP_US (100 * PW_US_PER_MS)

/*
 * Number of groups whose positions a pulse carries, round-robin. Traffic between regions is paid
 * for by the byte, and pulses of other VMs bring each group's position often enough.
 */
#define POSITIONS_PER_PULSE 3

static void position_free(gpointer data)
{
	g_free(((struct pw_seen_position *)data)->group);
	g_free(data);
}

static void positions_msg_destroy(struct pw_msg *m)
{
	g_ptr_array_unref(((struct pw_positions_msg *)m)->positions);
	g_free(m);
}

const struct pw_msg_ops pw_positions_msg_ops = {
	.name = "positions",
	.destroy = positions_msg_destroy,
};

static struct pw_seen_position *position_copy(const struct pw_seen_position *seen)
{
	struct pw_seen_position *copy = g_memdup2(seen, sizeof(*seen));

	copy->group = g_strdup(seen->group);
	return copy;
}

/*
 * Stores a group's position if it is of a newer primary, or newer by POSITION_MIN_STEP_US. Returns
 * whether it did.
 */
static bool update_if_newer(struct cluster *c, const struct pw_seen_position *seen)
{
	const struct pw_seen_position *known = g_hash_table_lookup(c->positions, seen->group);
	struct pw_seen_position *copy;

	if (known && (seen->generation < known->generation ||
		      (seen->generation == known->generation &&
		       seen->statement_sent_us < known->statement_sent_us + POSITION_MIN_STEP_US)))
		return false;
	copy = position_copy(seen);
	g_hash_table_replace(c->positions, copy->group, copy);
	return true;
}

void position_start(struct cluster *c)
{
	c->positions = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, position_free);
	c->changed_position_groups = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void position_stop(struct cluster *c)
{
	g_hash_table_unref(c->positions);
	g_hash_table_unref(c->changed_position_groups);
}

void position_record_own(struct cluster *c, const struct pw_primary_reachability *reachability)
{
	const struct pw_seen_position seen = {
		.group = reachability->group,
		.generation = reachability->generation,
		.position = reachability->position,
		.statement_sent_us = reachability->statement_sent_us,
	};

	if (reachability->statement_sent_us)
		(void)update_if_newer(c, &seen);
}

void position_add_to_pulse(struct cluster *c, struct pw_pulse *p)
{
	guint count = MIN(p->groups->len, POSITIONS_PER_PULSE);

	for (guint i = 0; i < count; i++) {
		guint index = c->next_position_group++ % p->groups->len;
		struct pw_pulse_group *g = &g_array_index(p->groups, struct pw_pulse_group, index);
		const struct pw_seen_position *seen = g_hash_table_lookup(c->positions, g->name);

		if (!seen || seen->generation != g->generation)
			continue;
		g->position = seen->position;
		g->statement_sent_us = seen->statement_sent_us;
	}
}

/*
 * The clocks of two VMs are unrelated, so the sender's times are converted by means of the pulse
 * that it echoes, the last one that it got from this VM. The difference between a time and the
 * arrival of the echoed pulse, both by the sender's clock, is added to the send time of the echoed
 * pulse by this VM's clock. Since that pulse was sent before it arrived, the result is never later
 * than the true time, however long either pulse was under way.
 */
void position_handle_pulse(struct cluster *c, const struct member *m, const struct pw_pulse *p)
{
	uint64_t echo_sent_us, now_us = cluster_now_us(c);

	if (!p->echo_heard_us || !pulse_has_known_echo(c, m, p))
		return;
	echo_sent_us = m->sent_us[p->echo_sequence % PULSE_SENT_TIME_COUNT];
	for (guint i = 0; i < p->groups->len; i++) {
		const struct pw_pulse_group *g =
			&g_array_index(p->groups, struct pw_pulse_group, i);
		const struct pw_seen_position seen = {
			.group = g->name,
			.generation = g->generation,
			.position = g->position,
			.statement_sent_us = echo_sent_us + g->statement_sent_us - p->echo_heard_us,
		};

		/* A time before the start of this VM's clock wraps around, so it is dropped. */
		if (g->statement_sent_us && seen.statement_sent_us < now_us &&
		    update_if_newer(c, &seen))
			g_hash_table_add(c->changed_position_groups, g_strdup(g->name));
	}
}

void position_publish(struct cluster *c)
{
	GHashTableIter it;
	gpointer name;

	if (!g_hash_table_size(c->changed_position_groups))
		return;
	for (uint32_t i = 0; i < c->directory->gateway_count; i++) {
		struct pw_positions_msg *m = g_new0(struct pw_positions_msg, 1);

		m->base.ops = &pw_positions_msg_ops;
		m->positions = g_ptr_array_new_with_free_func(position_free);
		g_hash_table_iter_init(&it, c->changed_position_groups);
		while (g_hash_table_iter_next(&it, &name, NULL))
			g_ptr_array_add(m->positions,
					position_copy(g_hash_table_lookup(c->positions, name)));
		pw_mailbox_send(c->directory->gateways[i], &m->base);
	}
	g_hash_table_remove_all(c->changed_position_groups);
}

uint64_t position_seen_term(const struct cluster *c, const struct pw_primary *primary)
{
	const struct pw_seen_position *seen = g_hash_table_lookup(c->positions, primary->group);

	return seen && seen->generation == primary->generation ? seen->position.term : 0;
}
