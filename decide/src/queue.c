#include "pw/decide/queue.h"

static gint compare(gconstpointer a, gconstpointer b)
{
	const struct pw_waiting *x = a, *y = b;

	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->place != y->place)
		return x->place < y->place ? -1 : 1;
	return x->arrival < y->arrival ? -1 : 1;
}

void pw_queue_sort(GArray *list)
{
	GHashTable *before = g_hash_table_new(NULL, NULL);

	for (guint i = 0; i < list->len; i++) {
		struct pw_waiting *w = &g_array_index(list, struct pw_waiting, i);
		gpointer count = g_hash_table_lookup(before, w->account);

		w->place = w->running + GPOINTER_TO_UINT(count);
		w->arrival = i;
		g_hash_table_insert(before, (gpointer)w->account,
				    GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
	}
	g_array_sort(list, compare);
	g_hash_table_unref(before);
}
