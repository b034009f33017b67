#include "kv.h"

#include <string.h>

struct item {
	char *value;      /**< base64, as received */
	int64_t revision; /**< revision of the last change */
	int64_t create_revision;
	int64_t lease_id; /**< 0 for none */
};

struct lease {
	uint64_t ttl_us;
	uint64_t expires_us;
};

struct event {
	int64_t revision;
	char *key;
	char *value; /**< NULL if the key was deleted */
	int64_t create_revision;
	int64_t lease_id;
};

struct kv_store {
	GTree *items;       /**< key -> struct item */
	GHashTable *leases; /**< id -> struct lease */
	GPtrArray *history; /**< of struct event, by revision */
	int64_t revision;
	int64_t compact_revision; /**< the history starts after this revision */
	int64_t last_lease_id;
	uint32_t era;
	struct kv_store *copy; /**< without a history; NULL: none */
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

struct kv_store *kv_new(void)
{
	struct kv_store *kv = g_new0(struct kv_store, 1);

	kv->items = g_tree_new_full(compare_keys, NULL, g_free, item_free);
	kv->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	kv->history = g_ptr_array_new_with_free_func(event_free);
	kv->revision = 10;
	kv->compact_revision = 10;
	kv->last_lease_id = 1000;
	kv->era = 1;
	return kv;
}

void kv_free(struct kv_store *kv)
{
	if (kv->copy)
		kv_free(kv->copy);
	g_tree_unref(kv->items);
	g_hash_table_unref(kv->leases);
	g_ptr_array_unref(kv->history);
	g_free(kv);
}

int64_t kv_revision(const struct kv_store *kv)
{
	return kv->revision;
}

uint32_t kv_era(const struct kv_store *kv)
{
	return kv->era;
}

static gboolean copy_item(gpointer key, gpointer value, gpointer data)
{
	struct item *to = g_memdup2(value, sizeof(struct item));

	to->value = g_strdup(to->value);
	g_tree_replace(data, g_strdup(key), to);
	return FALSE;
}

/* Replaces the data and the counters of `to` by those of `from`. */
static void copy_data(struct kv_store *to, const struct kv_store *from)
{
	GHashTableIter it;
	gpointer id, lease;

	g_tree_remove_all(to->items);
	g_tree_foreach(from->items, copy_item, to->items);
	g_hash_table_remove_all(to->leases);
	g_hash_table_iter_init(&it, from->leases);
	while (g_hash_table_iter_next(&it, &id, &lease))
		g_hash_table_insert(to->leases, g_memdup2(id, sizeof(int64_t)),
				    g_memdup2(lease, sizeof(struct lease)));
	to->revision = from->revision;
	to->last_lease_id = from->last_lease_id;
}

void kv_take_copy(struct kv_store *kv)
{
	if (!kv->copy)
		kv->copy = kv_new();
	copy_data(kv->copy, kv);
}

bool kv_restore_copy(struct kv_store *kv, uint64_t now_us)
{
	GHashTableIter it;
	gpointer lease;

	if (!kv->copy)
		return false;
	copy_data(kv, kv->copy);
	g_hash_table_iter_init(&it, kv->leases);
	while (g_hash_table_iter_next(&it, NULL, &lease))
		((struct lease *)lease)->expires_us = now_us + ((struct lease *)lease)->ttl_us;
	g_ptr_array_set_size(kv->history, 0);
	kv->compact_revision = kv->revision;
	kv->era++;
	return true;
}

static void record_event(struct kv_store *kv, const char *key, const struct item *i)
{
	struct event *e = g_new0(struct event, 1);

	e->revision = kv->revision;
	e->key = g_strdup(key);
	e->value = i ? g_strdup(i->value) : NULL;
	e->create_revision = i ? i->create_revision : 0;
	e->lease_id = i ? i->lease_id : 0;
	g_ptr_array_add(kv->history, e);
}

/* Writes an item at the current revision. */
static void put_item(struct kv_store *kv, const char *key, const char *value, int64_t lease_id)
{
	struct item *old = g_tree_lookup(kv->items, key);
	struct item *i = g_new0(struct item, 1);

	i->value = g_strdup(value);
	i->revision = kv->revision;
	i->create_revision = old ? old->create_revision : kv->revision;
	i->lease_id = lease_id;
	record_event(kv, key, i);
	g_tree_replace(kv->items, g_strdup(key), i);
}

static void delete_item(struct kv_store *kv, const char *key)
{
	if (!g_tree_lookup(kv->items, key))
		return;
	record_event(kv, key, NULL);
	g_tree_remove(kv->items, key);
}

void kv_put(struct kv_store *kv, const char *key, const char *value, int64_t lease_id)
{
	char *text = g_base64_encode((const guchar *)value, strlen(value));

	kv->revision++;
	put_item(kv, key, text, lease_id);
	g_free(text);
}

void kv_delete(struct kv_store *kv, const char *key)
{
	kv->revision++;
	delete_item(kv, key);
}

void kv_compact(struct kv_store *kv)
{
	g_ptr_array_set_size(kv->history, 0);
	kv->compact_revision = kv->revision;
}

/* Conditions of a search for keys, and the keys that it found. */
struct key_search {
	int64_t lease_id;
	const char *prefix;
	const char *after_key;
	GPtrArray *keys;
};

static gboolean collect_keys_of_lease(gpointer key, gpointer value, gpointer data)
{
	struct key_search *search = data;

	if (((struct item *)value)->lease_id == search->lease_id)
		g_ptr_array_add(search->keys, g_strdup(key));
	return FALSE;
}

static gboolean collect_keys_with_prefix(gpointer key, gpointer value, gpointer data)
{
	struct key_search *search = data;

	(void)value;
	if (g_str_has_prefix(key, search->prefix) &&
	    (!search->after_key || strcmp(key, search->after_key) > 0))
		g_ptr_array_add(search->keys, g_strdup(key));
	return FALSE;
}

/* Removes a lease and deletes its keys, all at one revision. */
static void revoke_lease(struct kv_store *kv, int64_t lease_id)
{
	struct key_search search = { .lease_id = lease_id,
				     .keys = g_ptr_array_new_with_free_func(g_free) };

	g_tree_foreach(kv->items, collect_keys_of_lease, &search);
	if (search.keys->len)
		kv->revision++;
	for (guint i = 0; i < search.keys->len; i++)
		delete_item(kv, g_ptr_array_index(search.keys, i));
	g_ptr_array_unref(search.keys);
	g_hash_table_remove(kv->leases, &lease_id);
}

bool kv_expire(struct kv_store *kv, uint64_t now_us)
{
	GList *ids = g_hash_table_get_keys(kv->leases);
	bool any_expired = false;

	for (GList *l = ids; l; l = l->next) {
		int64_t id = *(int64_t *)l->data;
		const struct lease *lease = g_hash_table_lookup(kv->leases, &id);

		if (lease->expires_us > now_us)
			continue;
		revoke_lease(kv, id);
		any_expired = true;
	}
	g_list_free(ids);
	return any_expired;
}

static json_t *item_json(const char *key, const struct item *i)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "Key", key, "Value", i->value, "Revision",
			 (json_int_t)i->revision, "CreateRev", (json_int_t)i->create_revision,
			 "Lease", (json_int_t)i->lease_id);
}

unsigned kv_get(struct kv_store *kv, json_t **body, const char *key)
{
	const struct item *i = g_tree_lookup(kv->items, key);

	*body = i ? item_json(key, i) : json_object();
	json_object_set_new(*body, "StoreRevision", json_integer(kv->revision));
	return i ? 200 : 404;
}

/* Maximum number of items in one page of a range. */
#define PAGE_ITEMS_MAX 50

unsigned kv_range(struct kv_store *kv, json_t **body, const char *prefix, const char *after_key)
{
	struct key_search search = {
		.prefix = prefix,
		.after_key = after_key,
		.keys = g_ptr_array_new_with_free_func(g_free),
	};
	json_t *items = json_array();

	g_tree_foreach(kv->items, collect_keys_with_prefix, &search);
	for (guint i = 0; i < search.keys->len && i < PAGE_ITEMS_MAX; i++) {
		const char *key = g_ptr_array_index(search.keys, i);

		json_array_append_new(items, item_json(key, g_tree_lookup(kv->items, key)));
	}
	*body = json_pack("{s:o,s:b,s:I}", "items", items, "HasMore",
			  search.keys->len > PAGE_ITEMS_MAX, "StoreRevision",
			  (json_int_t)kv->revision);
	g_ptr_array_unref(search.keys);
	return 200;
}

static json_t *event_json(const struct event *e)
{
	if (!e->value)
		return json_pack("{s:s,s:I,s:b}", "Key", e->key, "Revision",
				 (json_int_t)e->revision, "Removed", 1);
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "Key", e->key, "Value", e->value, "Revision",
			 (json_int_t)e->revision, "CreateRev", (json_int_t)e->create_revision,
			 "Lease", (json_int_t)e->lease_id);
}

unsigned kv_watch(struct kv_store *kv, json_t **body, const char *prefix, int64_t after_revision)
{
	json_t *events;

	if ((after_revision < kv->compact_revision && kv->revision > after_revision) ||
	    after_revision > kv->revision) {
		*body = json_object();
		return 410;
	}
	events = json_array();
	for (guint i = 0; i < kv->history->len; i++) {
		const struct event *e = g_ptr_array_index(kv->history, i);

		if (e->revision > after_revision && g_str_has_prefix(e->key, prefix))
			json_array_append_new(events, event_json(e));
	}
	if (!json_array_size(events)) {
		json_decref(events);
		return 0;
	}
	*body = json_pack("{s:o,s:I}", "events", events, "StoreRevision", (json_int_t)kv->revision);
	return 200;
}

static const char *string_field(const json_t *j, const char *name)
{
	return json_string_value(json_object_get(j, name));
}

static int64_t integer_field(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

/* Returns whether the keys of an ExpectedRev have the given revisions; 0: the key is missing. */
static bool conditions_hold(struct kv_store *kv, const json_t *conditions)
{
	const json_t *row;
	size_t i;

	json_array_foreach (conditions, i, row) {
		const struct item *item = g_tree_lookup(kv->items, string_field(row, "Key"));

		if ((item ? item->revision : 0) != integer_field(row, "Revision"))
			return false;
	}
	return true;
}

/* Responds with the current items of the keys of an ExpectedRev. */
static unsigned report_conflict(struct kv_store *kv, json_t **body, const json_t *conditions)
{
	json_t *items = json_array();
	const json_t *row;
	size_t i;

	json_array_foreach (conditions, i, row) {
		const char *key = string_field(row, "Key");
		const struct item *item = g_tree_lookup(kv->items, key);

		if (item)
			json_array_append_new(items, item_json(key, item));
	}
	*body = json_pack("{s:o}", "items", items);
	return 412;
}

unsigned kv_txn(struct kv_store *kv, json_t **body, const json_t *request)
{
	const json_t *conditions = json_object_get(request, "ExpectedRev"), *row;
	const json_t *puts = json_object_get(request, "Puts");
	size_t i;

	if (!conditions_hold(kv, conditions))
		return report_conflict(kv, body, conditions);
	json_array_foreach (puts, i, row) {
		int64_t lease_id = integer_field(row, "Lease");

		if (lease_id && !g_hash_table_contains(kv->leases, &lease_id)) {
			*body = json_object();
			return 404;
		}
	}
	kv->revision++;
	json_array_foreach (puts, i, row)
		put_item(kv, string_field(row, "Key"), string_field(row, "Value"),
			 integer_field(row, "Lease"));
	json_array_foreach (json_object_get(request, "Deletes"), i, row)
		delete_item(kv, json_string_value(row));
	*body = json_pack("{s:I}", "Revision", (json_int_t)kv->revision);
	return 200;
}

unsigned kv_lease_grant(struct kv_store *kv, json_t **body, const json_t *request, uint64_t now_us)
{
	struct lease *l = g_new0(struct lease, 1);
	int64_t id = ++kv->last_lease_id;

	l->ttl_us = (uint64_t)integer_field(request, "TtlMs") * 1000;
	l->expires_us = now_us + l->ttl_us;
	g_hash_table_insert(kv->leases, g_memdup2(&id, sizeof(id)), l);
	*body = json_pack("{s:I,s:I}", "Lease", (json_int_t)id, "TtlMs",
			  (json_int_t)(l->ttl_us / 1000));
	return 200;
}

unsigned kv_lease_keep_alive(struct kv_store *kv, json_t **body, int64_t lease_id, uint64_t now_us)
{
	struct lease *l = g_hash_table_lookup(kv->leases, &lease_id);

	*body = json_object();
	if (!l)
		return 404;
	l->expires_us = now_us + l->ttl_us;
	json_object_set_new(*body, "TtlMs", json_integer((json_int_t)(l->ttl_us / 1000)));
	return 200;
}

unsigned kv_lease_revoke(struct kv_store *kv, json_t **body, int64_t lease_id)
{
	bool known = g_hash_table_contains(kv->leases, &lease_id);

	*body = json_object();
	if (known)
		revoke_lease(kv, lease_id);
	return known ? 200 : 404;
}
