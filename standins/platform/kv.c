#include "kv.h"

#include <string.h>

struct item {
	char *value; /**< as given, in base64 */
	int64_t revision;
	int64_t created;
	int64_t lease;
};

struct lease {
	uint64_t ttl_us;
	uint64_t ends_us;
};

struct event {
	int64_t revision;
	char *key;
	char *value; /**< NULL: removed */
	int64_t created;
	int64_t lease;
};

struct kv {
	GTree *items;       /**< key -> struct item */
	GHashTable *leases; /**< id -> struct lease */
	GPtrArray *history; /**< struct event */
	int64_t revision;
	int64_t compacted; /**< the history starts after it */
	int64_t next_lease;
};

static void item_free(gpointer data)
{
	g_free(((struct item *)data)->value);
	g_free(data);
}

static void event_free(gpointer data)
{
	g_free(((struct event *)data)->key);
	g_free(((struct event *)data)->value);
	g_free(data);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

struct kv *kv_new(void)
{
	struct kv *kv = g_new0(struct kv, 1);

	kv->items = g_tree_new_full(compare_keys, NULL, g_free, item_free);
	kv->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	kv->history = g_ptr_array_new_with_free_func(event_free);
	kv->revision = 10;
	kv->compacted = 10;
	kv->next_lease = 1000;
	return kv;
}

void kv_free(struct kv *kv)
{
	g_tree_unref(kv->items);
	g_hash_table_unref(kv->leases);
	g_ptr_array_unref(kv->history);
	g_free(kv);
}

int64_t kv_revision(const struct kv *kv)
{
	return kv->revision;
}

static void note(struct kv *kv, const char *key, const struct item *i)
{
	struct event *e = g_new0(struct event, 1);

	e->revision = kv->revision;
	e->key = g_strdup(key);
	e->value = i ? g_strdup(i->value) : NULL;
	e->created = i ? i->created : 0;
	e->lease = i ? i->lease : 0;
	g_ptr_array_add(kv->history, e);
}

/* Writes at the present revision. */
static void put(struct kv *kv, const char *key, const char *value, int64_t lease)
{
	struct item *old = g_tree_lookup(kv->items, key);
	struct item *i = g_new0(struct item, 1);

	i->value = g_strdup(value);
	i->revision = kv->revision;
	i->created = old ? old->created : kv->revision;
	i->lease = lease;
	note(kv, key, i);
	g_tree_replace(kv->items, g_strdup(key), i);
}

static void drop(struct kv *kv, const char *key)
{
	if (!g_tree_lookup(kv->items, key))
		return;
	note(kv, key, NULL);
	g_tree_remove(kv->items, key);
}

void kv_put(struct kv *kv, const char *key, const char *value, int64_t lease)
{
	char *text = g_base64_encode((const guchar *)value, strlen(value));

	kv->revision++;
	put(kv, key, text, lease);
	g_free(text);
}

void kv_delete(struct kv *kv, const char *key)
{
	kv->revision++;
	drop(kv, key);
}

void kv_compact(struct kv *kv)
{
	g_ptr_array_set_size(kv->history, 0);
	kv->compacted = kv->revision;
}

struct collect {
	int64_t lease;
	const char *prefix;
	const char *after;
	GPtrArray *keys;
};

static gboolean collect_lease(gpointer key, gpointer value, gpointer data)
{
	struct collect *c = data;

	if (((struct item *)value)->lease == c->lease)
		g_ptr_array_add(c->keys, g_strdup(key));
	return FALSE;
}

static gboolean collect_prefix(gpointer key, gpointer value, gpointer data)
{
	struct collect *c = data;

	(void)value;
	if (g_str_has_prefix(key, c->prefix) && (!c->after || strcmp(key, c->after) > 0))
		g_ptr_array_add(c->keys, g_strdup(key));
	return FALSE;
}

/* Removes a lease and its keys. */
static void end_lease(struct kv *kv, int64_t lease)
{
	struct collect c = { .lease = lease, .keys = g_ptr_array_new_with_free_func(g_free) };

	g_tree_foreach(kv->items, collect_lease, &c);
	if (c.keys->len)
		kv->revision++;
	for (guint i = 0; i < c.keys->len; i++)
		drop(kv, g_ptr_array_index(c.keys, i));
	g_ptr_array_unref(c.keys);
	g_hash_table_remove(kv->leases, &lease);
}

bool kv_expire(struct kv *kv, uint64_t now_us)
{
	GList *ids = g_hash_table_get_keys(kv->leases);
	bool any = false;

	for (GList *l = ids; l; l = l->next) {
		int64_t id = *(int64_t *)l->data;
		const struct lease *lease = g_hash_table_lookup(kv->leases, &id);

		if (lease->ends_us > now_us)
			continue;
		end_lease(kv, id);
		any = true;
	}
	g_list_free(ids);
	return any;
}

static json_t *item_json(const char *key, const struct item *i)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "Key", key, "Value", i->value, "Revision",
			 (json_int_t)i->revision, "CreateRev", (json_int_t)i->created, "Lease",
			 (json_int_t)i->lease);
}

unsigned kv_get(struct kv *kv, json_t **body, const char *key)
{
	const struct item *i = g_tree_lookup(kv->items, key);

	*body = i ? item_json(key, i) : json_object();
	json_object_set_new(*body, "StoreRevision", json_integer(kv->revision));
	return i ? 200 : 404;
}

/* Items of one page. */
#define PAGE_ITEMS 50

unsigned kv_range(struct kv *kv, json_t **body, const char *prefix, const char *after)
{
	struct collect c = {
		.prefix = prefix,
		.after = after,
		.keys = g_ptr_array_new_with_free_func(g_free),
	};
	json_t *items = json_array();

	g_tree_foreach(kv->items, collect_prefix, &c);
	for (guint i = 0; i < c.keys->len && i < PAGE_ITEMS; i++) {
		const char *key = g_ptr_array_index(c.keys, i);

		json_array_append_new(items, item_json(key, g_tree_lookup(kv->items, key)));
	}
	*body = json_pack("{s:o,s:b,s:I}", "items", items, "HasMore", c.keys->len > PAGE_ITEMS,
			  "StoreRevision", (json_int_t)kv->revision);
	g_ptr_array_unref(c.keys);
	return 200;
}

static json_t *event_json(const struct event *e)
{
	if (!e->value)
		return json_pack("{s:s,s:I,s:b}", "Key", e->key, "Revision",
				 (json_int_t)e->revision, "Removed", 1);
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "Key", e->key, "Value", e->value, "Revision",
			 (json_int_t)e->revision, "CreateRev", (json_int_t)e->created, "Lease",
			 (json_int_t)e->lease);
}

unsigned kv_watch(struct kv *kv, json_t **body, const char *prefix, int64_t after)
{
	json_t *events;

	if (after < kv->compacted && kv->revision > after) {
		*body = json_object();
		return 410;
	}
	events = json_array();
	for (guint i = 0; i < kv->history->len; i++) {
		const struct event *e = g_ptr_array_index(kv->history, i);

		if (e->revision > after && g_str_has_prefix(e->key, prefix))
			json_array_append_new(events, event_json(e));
	}
	if (!json_array_size(events)) {
		json_decref(events);
		return 0;
	}
	*body = json_pack("{s:o,s:I}", "events", events, "StoreRevision", (json_int_t)kv->revision);
	return 200;
}

static const char *text_of(const json_t *j, const char *name)
{
	return json_string_value(json_object_get(j, name));
}

static int64_t integer_of(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

static bool conditions_hold(struct kv *kv, const json_t *list)
{
	const json_t *row;
	size_t i;

	json_array_foreach (list, i, row) {
		const struct item *item = g_tree_lookup(kv->items, text_of(row, "Key"));

		if ((item ? item->revision : 0) != integer_of(row, "Revision"))
			return false;
	}
	return true;
}

static unsigned conflict(struct kv *kv, json_t **body, const json_t *list)
{
	json_t *items = json_array();
	const json_t *row;
	size_t i;

	json_array_foreach (list, i, row) {
		const char *key = text_of(row, "Key");
		const struct item *item = g_tree_lookup(kv->items, key);

		if (item)
			json_array_append_new(items, item_json(key, item));
	}
	*body = json_pack("{s:o}", "items", items);
	return 412;
}

unsigned kv_txn(struct kv *kv, json_t **body, const json_t *request)
{
	const json_t *on = json_object_get(request, "ExpectedRev"), *row;
	const json_t *puts = json_object_get(request, "Puts");
	size_t i;

	if (!conditions_hold(kv, on))
		return conflict(kv, body, on);
	json_array_foreach (puts, i, row) {
		int64_t lease = integer_of(row, "Lease");

		if (lease && !g_hash_table_contains(kv->leases, &lease)) {
			*body = json_object();
			return 404;
		}
	}
	kv->revision++;
	json_array_foreach (puts, i, row)
		put(kv, text_of(row, "Key"), text_of(row, "Value"), integer_of(row, "Lease"));
	json_array_foreach (json_object_get(request, "Deletes"), i, row)
		drop(kv, json_string_value(row));
	*body = json_pack("{s:I}", "Revision", (json_int_t)kv->revision);
	return 200;
}

unsigned kv_lease(struct kv *kv, json_t **body, const json_t *request, uint64_t now_us)
{
	struct lease *l = g_new0(struct lease, 1);
	int64_t id = ++kv->next_lease;

	l->ttl_us = (uint64_t)integer_of(request, "TtlMs") * 1000;
	l->ends_us = now_us + l->ttl_us;
	g_hash_table_insert(kv->leases, g_memdup2(&id, sizeof(id)), l);
	*body = json_pack("{s:I,s:I}", "Lease", (json_int_t)id, "TtlMs",
			  (json_int_t)(l->ttl_us / 1000));
	return 200;
}

unsigned kv_keep(struct kv *kv, json_t **body, int64_t lease, uint64_t now_us)
{
	struct lease *l = g_hash_table_lookup(kv->leases, &lease);

	*body = json_object();
	if (!l)
		return 404;
	l->ends_us = now_us + l->ttl_us;
	json_object_set_new(*body, "TtlMs", json_integer((json_int_t)(l->ttl_us / 1000)));
	return 200;
}

unsigned kv_lease_end(struct kv *kv, json_t **body, int64_t lease)
{
	bool known = g_hash_table_contains(kv->leases, &lease);

	*body = json_object();
	if (known)
		end_lease(kv, lease);
	return known ? 200 : 404;
}
