#include "log.h"

#include "pw/core/clock.h"

struct log_entry {
	uint64_t term;
	uint64_t appended_us; /**< time at which the primary appended the entry */
	GBytes *item;
	GBytes *data;
};

static void log_entry_clear(gpointer data)
{
	struct log_entry *e = data;

	g_bytes_unref(e->item);
	g_bytes_unref(e->data);
}

static void log_entry_unref(gpointer data)
{
	g_rc_box_release_full(data, log_entry_clear);
}

GPtrArray *log_new(void)
{
	return g_ptr_array_new_with_free_func(log_entry_unref);
}

void log_append(GPtrArray *log, uint64_t term, GBytes *item, GBytes *data)
{
	struct log_entry *e = g_rc_box_new0(struct log_entry);

	e->term = term;
	e->appended_us = pw_clock_now_us();
	e->item = g_bytes_ref(item);
	e->data = g_bytes_ref(data);
	g_ptr_array_add(log, e);
}

uint64_t log_last_term(const GPtrArray *log)
{
	return log->len ? ((const struct log_entry *)g_ptr_array_index(log, log->len - 1))->term
			: 1;
}

GBytes *log_find(const GPtrArray *log, GBytes *item)
{
	for (guint i = log->len; i > 0; i--) {
		const struct log_entry *e = g_ptr_array_index(log, i - 1);

		if (g_bytes_equal(e->item, item))
			return e->data;
	}
	return NULL;
}

void log_replicate(GPtrArray *replica, const GPtrArray *primary, uint64_t until_us)
{
	guint common_length = 0;

	/* Both logs refer to the same entries, so pointers are compared. */
	while (common_length < replica->len && common_length < primary->len &&
	       g_ptr_array_index(replica, common_length) ==
		       g_ptr_array_index(primary, common_length))
		common_length++;
	g_ptr_array_set_size(replica, (gint)common_length);
	for (guint i = common_length; i < primary->len; i++) {
		struct log_entry *e = g_ptr_array_index(primary, i);

		if (e->appended_us > until_us)
			return;
		g_ptr_array_add(replica, g_rc_box_acquire(e));
	}
}
