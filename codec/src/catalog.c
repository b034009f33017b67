#include "pw/codec/catalog.h"

#include <string.h>

static void group_free(gpointer data)
{
	struct pw_catalog_group *g = data;

	g_free(g->name);
	g_free(g);
}

static void route_free(gpointer data)
{
	struct pw_catalog_route *r = data;

	g_free(r->database);
	g_free(r->group);
	g_free(r);
}

static void account_free(gpointer data)
{
	struct pw_catalog_account *a = data;

	g_free(a->name);
	g_free(a);
}

struct pw_catalog *pw_catalog_new(void)
{
	struct pw_catalog *c = g_atomic_rc_box_new0(struct pw_catalog);

	c->groups = g_ptr_array_new_with_free_func(group_free);
	c->routes = g_ptr_array_new_with_free_func(route_free);
	c->accounts = g_ptr_array_new_with_free_func(account_free);
	c->routes_by_database = g_hash_table_new(g_str_hash, g_str_equal);
	c->groups_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	c->accounts_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	c->accounts_by_key_hash = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return c;
}

struct pw_catalog *pw_catalog_ref(const struct pw_catalog *c)
{
	/* Only the reference count of a const snapshot is modified. */
	return g_atomic_rc_box_acquire((struct pw_catalog *)(uintptr_t)c);
}

static void catalog_clear(gpointer data)
{
	struct pw_catalog *c = data;

	g_hash_table_unref(c->routes_by_database);
	g_hash_table_unref(c->groups_by_name);
	g_hash_table_unref(c->accounts_by_name);
	g_hash_table_unref(c->accounts_by_key_hash);
	g_ptr_array_unref(c->groups);
	g_ptr_array_unref(c->routes);
	g_ptr_array_unref(c->accounts);
}

void pw_catalog_unref(const struct pw_catalog *c)
{
	if (c)
		g_atomic_rc_box_release_full((struct pw_catalog *)(uintptr_t)c, catalog_clear);
}

void pw_catalog_add_group(struct pw_catalog *c, struct pw_catalog_group *g)
{
	g_ptr_array_add(c->groups, g);
	g_hash_table_replace(c->groups_by_name, g->name, g);
}

void pw_catalog_add_route(struct pw_catalog *c, struct pw_catalog_route *r)
{
	g_ptr_array_add(c->routes, r);
	g_hash_table_replace(c->routes_by_database, r->database, r);
}

void pw_catalog_add_account(struct pw_catalog *c, struct pw_catalog_account *a)
{
	g_ptr_array_add(c->accounts, a);
	g_hash_table_replace(c->accounts_by_name, a->name, a);
}

void pw_catalog_hash_key(char out[PW_CATALOG_KEY_HASH_SIZE], const char *key)
{
	char *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);

	g_strlcpy(out, hex, PW_CATALOG_KEY_HASH_SIZE);
	g_free(hex);
}

void pw_catalog_add_key(struct pw_catalog *c, const struct pw_catalog_account *a, const char *key)
{
	char hash[PW_CATALOG_KEY_HASH_SIZE];

	pw_catalog_hash_key(hash, key);
	g_hash_table_replace(c->accounts_by_key_hash, g_strdup(hash), (gpointer)(uintptr_t)a);
}

const struct pw_catalog_route *pw_catalog_find_route(const struct pw_catalog *c,
						     const char *database)
{
	return g_hash_table_lookup(c->routes_by_database, database);
}

const struct pw_catalog_group *pw_catalog_find_group(const struct pw_catalog *c, const char *name)
{
	return g_hash_table_lookup(c->groups_by_name, name);
}

const struct pw_catalog_account *pw_catalog_find_account(const struct pw_catalog *c,
							 const char *name)
{
	return g_hash_table_lookup(c->accounts_by_name, name);
}

const struct pw_catalog_account *pw_catalog_find_account_by_key_hash(const struct pw_catalog *c,
								     const char *key_hash)
{
	return g_hash_table_lookup(c->accounts_by_key_hash, key_hash);
}

void pw_server_entry_free(struct pw_server_entry *e)
{
	if (!e)
		return;
	g_free(e->id);
	g_free(e->group);
	g_free(e->address);
	g_free(e->availability_zone);
	g_free(e);
}

struct pw_server_entry *pw_server_entry_copy(const struct pw_server_entry *e)
{
	struct pw_server_entry *copy = g_memdup2(e, sizeof(*e));

	copy->id = g_strdup(e->id);
	copy->group = g_strdup(e->group);
	copy->address = g_strdup(e->address);
	copy->availability_zone = g_strdup(e->availability_zone);
	return copy;
}

static void entry_free(gpointer data)
{
	pw_server_entry_free(data);
}

struct pw_server_list *pw_server_list_new(void)
{
	struct pw_server_list *l = g_atomic_rc_box_new0(struct pw_server_list);

	l->entries = g_ptr_array_new_with_free_func(entry_free);
	return l;
}

struct pw_server_list *pw_server_list_ref(const struct pw_server_list *l)
{
	return g_atomic_rc_box_acquire((struct pw_server_list *)(uintptr_t)l);
}

static void list_clear(gpointer data)
{
	g_ptr_array_unref(((struct pw_server_list *)data)->entries);
}

void pw_server_list_unref(const struct pw_server_list *l)
{
	if (l)
		g_atomic_rc_box_release_full((struct pw_server_list *)(uintptr_t)l, list_clear);
}

const struct pw_server_entry *pw_server_list_find(const struct pw_server_list *l, const char *id)
{
	for (guint i = 0; i < l->entries->len; i++) {
		const struct pw_server_entry *e = g_ptr_array_index(l->entries, i);

		if (strcmp(e->id, id) == 0)
			return e;
	}
	return NULL;
}
