#include "pw/decide/queue.h"

static gint compare_service_order(gconstpointer a, gconstpointer b)
{
	const struct pw_queue_entry *x = a, *y = b;

	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->account_rank != y->account_rank)
		return x->account_rank < y->account_rank ? -1 : 1;
	return x->arrival_index < y->arrival_index ? -1 : 1;
}

void pw_queue_sort(GArray *list)
{
	GHashTable *account_counts = g_hash_table_new(NULL, NULL);

	for (guint i = 0; i < list->len; i++) {
		struct pw_queue_entry *e = &g_array_index(list, struct pw_queue_entry, i);
		gpointer count = g_hash_table_lookup(account_counts, e->account);

		e->account_rank = e->in_flight + GPOINTER_TO_UINT(count);
		e->arrival_index = i;
		g_hash_table_insert(account_counts, (gpointer)e->account,
				    GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
	}
	g_array_sort(list, compare_service_order);
	g_hash_table_unref(account_counts);
}
