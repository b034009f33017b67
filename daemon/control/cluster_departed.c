/*
 * Replicas that are not registered any more. With synchronous replication such a replica may be the
 * only one that has some commit, if the others were behind when it departed.
 */
#include <string.h>

#include "cluster_private.h"
#include "pw/core/clock.h"

/*
 * After this time a replica that has not come back counts as gone for good. It is longer than a
 * server takes to restart.
 */
#define DEPARTED_KEEP_US (20 * PW_US_PER_S)

static void departed_free(gpointer data)
{
	struct departed *d = data;

	pw_server_entry_free(d->entry);
	g_free(d);
}

void departed_start(struct cluster *c)
{
	c->departed = g_ptr_array_new_with_free_func(departed_free);
}

void departed_stop(struct cluster *c)
{
	g_ptr_array_unref(c->departed);
}

/* Whether a list has the server again, or a new one that has got its log with its address. */
static bool is_back(const struct pw_server_list *list, const struct pw_server_entry *departed)
{
	if (pw_server_list_find(list, departed->id))
		return true;
	for (guint i = 0; departed->leaving && i < list->entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(list->entries, i);

		if (strcmp(e->group, departed->group) == 0 &&
		    strcmp(e->address, departed->address) == 0)
			return true;
	}
	return false;
}

static void add(struct cluster *c, const struct pw_server_entry *e)
{
	const struct pw_seen_position *seen = g_hash_table_lookup(c->positions, e->group);
	struct departed *d = g_new0(struct departed, 1);

	d->entry = pw_server_entry_copy(e);
	d->since_us = cluster_now_us(c);
	if (seen)
		d->primary_log_end = seen->position;
	g_ptr_array_add(c->departed, d);
}

void departed_update(struct cluster *c, const struct pw_server_list *next)
{
	uint64_t now_us = cluster_now_us(c);

	for (guint i = c->departed->len; i-- > 0;) {
		const struct departed *d = g_ptr_array_index(c->departed, i);

		if (now_us - d->since_us > DEPARTED_KEEP_US || is_back(next, d->entry))
			g_ptr_array_remove_index_fast(c->departed, i);
	}
	for (guint i = 0; c->servers && i < c->servers->entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(c->servers->entries, i);

		if (!is_back(next, e))
			add(c, e);
	}
}

bool departed_counts(const struct cluster *c, const struct departed *d, const char *group)
{
	return strcmp(d->entry->group, group) == 0 &&
	       cluster_now_us(c) - d->since_us <= DEPARTED_KEEP_US;
}
