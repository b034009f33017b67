#include "data.h"

#include <string.h>

static void change_free(gpointer p)
{
	struct pw_db_change *c = p;

	g_free(c->table);
	g_free(c->k);
	g_free(c->v);
	g_free(c);
}

static void log_entry_free(gpointer p)
{
	struct pw_db_log_entry *e = p;

	g_ptr_array_unref(e->changes);
	g_free(e);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

static GTree *table_new(void)
{
	return g_tree_new_full(compare_keys, NULL, g_free, (GDestroyNotify)g_ptr_array_unref);
}

static void tables_reset(struct pw_db_data *d)
{
	g_clear_pointer(&d->tables, g_hash_table_unref);
	d->tables = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  (GDestroyNotify)g_tree_unref);
}

void pw_db_data_init(struct pw_db_data *d)
{
	tables_reset(d);
	d->log = g_ptr_array_new_with_free_func(log_entry_free);
}

void pw_db_data_dispose(struct pw_db_data *d)
{
	g_clear_pointer(&d->tables, g_hash_table_unref);
	g_clear_pointer(&d->log, g_ptr_array_unref);
}

GPtrArray *pw_db_changes_new(void)
{
	return g_ptr_array_new_with_free_func(change_free);
}

void pw_db_changes_add(GPtrArray *changes, char op, const char *table, const char *k, const char *v)
{
	struct pw_db_change *c = g_new0(struct pw_db_change, 1);

	c->op = op;
	c->table = g_strdup(table);
	c->k = g_strdup(k);
	c->v = g_strdup(v);
	g_ptr_array_add(changes, c);
}

static void table_insert_row(GTree *table, const char *k, const char *v)
{
	GPtrArray *values = g_tree_lookup(table, k);

	if (!values) {
		values = g_ptr_array_new_with_free_func(g_free);
		g_tree_insert(table, g_strdup(k), values);
	}
	g_ptr_array_add(values, g_strdup(v));
}

static void table_apply_change(GTree *table, const struct pw_db_change *c)
{
	GPtrArray *values = g_tree_lookup(table, c->k);

	if (c->op == 'I') {
		table_insert_row(table, c->k, c->v);
	} else if (c->op == 'D') {
		g_tree_remove(table, c->k);
	} else {
		for (guint i = 0; values && i < values->len; i++) {
			g_free(values->pdata[i]);
			values->pdata[i] = g_strdup(c->v);
		}
	}
}

static void apply_changes(struct pw_db_data *d, const GPtrArray *changes)
{
	for (guint i = 0; i < changes->len; i++) {
		const struct pw_db_change *c = changes->pdata[i];
		GTree *table = g_hash_table_lookup(d->tables, c->table);

		if (!table) {
			table = table_new();
			g_hash_table_insert(d->tables, g_strdup(c->table), table);
		}
		table_apply_change(table, c);
	}
}

void pw_db_data_commit(struct pw_db_data *d, uint64_t term, uint64_t committed_us,
		       GPtrArray *changes)
{
	struct pw_db_log_entry *e = g_new0(struct pw_db_log_entry, 1);

	e->term = term;
	e->committed_us = committed_us;
	e->changes = changes;
	g_ptr_array_add(d->log, e);
	apply_changes(d, changes);
}

void pw_db_data_truncate(struct pw_db_data *d, uint64_t lsn)
{
	if (lsn >= d->log->len)
		return;
	g_ptr_array_set_size(d->log, (gint)lsn);
	tables_reset(d);
	for (guint i = 0; i < d->log->len; i++)
		apply_changes(d, ((struct pw_db_log_entry *)d->log->pdata[i])->changes);
}

uint64_t pw_db_data_lsn(const struct pw_db_data *d)
{
	return d->log->len;
}

uint64_t pw_db_data_term_at(const struct pw_db_data *d, uint64_t lsn)
{
	if (lsn == 0 || lsn > d->log->len)
		return 0;
	return ((struct pw_db_log_entry *)d->log->pdata[lsn - 1])->term;
}

static gboolean copy_rows(gpointer key, gpointer value, gpointer data)
{
	const GPtrArray *values = value;

	for (guint i = 0; i < values->len; i++)
		table_insert_row(data, key, values->pdata[i]);
	return FALSE;
}

GTree *pw_db_data_view(const struct pw_db_data *d, const GPtrArray *changes, const char *table,
		       const char *k)
{
	GTree *base = g_hash_table_lookup(d->tables, table);
	GTree *view;

	if (base && !k && changes->len == 0)
		return g_tree_ref(base);
	view = table_new();
	if (base && k) {
		GPtrArray *values = g_tree_lookup(base, k);

		if (values)
			copy_rows((gpointer)(uintptr_t)k, values, view);
	} else if (base) {
		g_tree_foreach(base, copy_rows, view);
	}
	for (guint i = 0; i < changes->len; i++) {
		const struct pw_db_change *c = changes->pdata[i];

		if (strcmp(c->table, table) == 0 && (!k || strcmp(c->k, k) == 0))
			table_apply_change(view, c);
	}
	return view;
}
