#include "document_private.h"

/*
 * Adds the name to `seen`, or adds a finding if `seen` already contains it. NULL is ignored: a
 * missing or invalid name already has a finding.
 */
static void check_unique(struct pw_document_parser *p, GHashTable *seen, const char *name,
			 void *item, const char *list_location, uint32_t i, const char *message)
{
	char *location;

	if (!name || g_hash_table_insert(seen, (gpointer)(uintptr_t)name, item))
		return;
	location = g_strdup_printf("%s[%u]", list_location, i);
	pw_document_add_finding(p, location, "%s", message);
	g_free(location);
}

static void check_servers(struct pw_document_parser *p, const struct pw_document_database *db,
			  GHashTable *addresses)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	char *list_location = g_strdup_printf("databases[%u].servers", db->index);

	for (uint32_t i = 0; i < db->server_count; i++) {
		struct pw_document_server *s = &db->servers[i];

		check_unique(p, names, s->name, s, list_location, i,
			     "another server of the database has the name");
		check_unique(p, addresses, s->address, s, list_location, i,
			     "another server of the document has the address");
	}
	g_free(list_location);
	g_hash_table_unref(names);
}

static void index_databases(struct pw_document_parser *p)
{
	struct pw_document *d = &p->impl->document;
	GHashTable *addresses = g_hash_table_new(g_str_hash, g_str_equal);

	p->impl->databases_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	for (uint32_t i = 0; i < d->database_count; i++) {
		struct pw_document_database *db = &d->databases[i];

		db->index = i;
		check_unique(p, p->impl->databases_by_name, db->name, db, "databases", i,
			     "another database has the name");
		check_servers(p, db, addresses);
	}
	g_hash_table_unref(addresses);
}

static void resolve_routes(struct pw_document_parser *p)
{
	struct pw_document *d = &p->impl->document;
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < d->route_count; i++) {
		struct pw_document_route *r = &d->routes[i];

		check_unique(p, names, r->name, r, "routes", i, "another route has the name");
		if (!r->database_name)
			continue;
		r->database = g_hash_table_lookup(p->impl->databases_by_name, r->database_name);
		if (!r->database) {
			char *location = g_strdup_printf("routes[%u].database", i);

			pw_document_add_finding(p, location, "the document has no such database");
			g_free(location);
		}
	}
	g_hash_table_unref(names);
}

/*
 * Groups the routes by database, in the order of the document, so that a look-up reads only the
 * routes of one database.
 */
static void index_routes_by_database(struct pw_document_impl *impl)
{
	struct pw_document *d = &impl->document;
	uint32_t *next_index = g_new0(uint32_t, d->database_count + 1);

	impl->route_starts =
		pw_document_alloc(impl, (d->database_count + 1) * sizeof(*impl->route_starts));
	impl->routes_by_database = pw_document_alloc(
		impl, (d->route_count + 1) * sizeof(const struct pw_document_route *));
	for (uint32_t i = 0; i < d->route_count; i++) {
		if (d->routes[i].database)
			impl->route_starts[d->routes[i].database->index + 1]++;
	}
	for (uint32_t i = 0; i < d->database_count; i++) {
		impl->route_starts[i + 1] += impl->route_starts[i];
		next_index[i + 1] = impl->route_starts[i + 1];
	}
	for (uint32_t i = 0; i < d->route_count; i++) {
		if (d->routes[i].database)
			impl->routes_by_database[next_index[d->routes[i].database->index]++] =
				&d->routes[i];
	}
	g_free(next_index);
}

static void check_account(struct pw_document_parser *p, const struct pw_document_account *a)
{
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
	char *list_location = g_strdup_printf("accounts[%u].keys", a->index);

	for (uint32_t i = 0; i < a->key_count; i++) {
		struct pw_key_hash *k = &a->keys[i];

		check_unique(p, ids, k->id[0] ? k->id : NULL, k, list_location, i,
			     "another key of the account has the id");
	}
	for (uint32_t i = 0; i < a->database_count; i++) {
		const char *name = a->database_names[i];
		char *location;

		if (!name || g_hash_table_contains(p->impl->databases_by_name, name))
			continue;
		location = g_strdup_printf("accounts[%u].databases[%u]", a->index, i);
		pw_document_add_finding(p, location, "the document has no such database");
		g_free(location);
	}
	g_free(list_location);
	g_hash_table_unref(ids);
}

static void index_accounts(struct pw_document_parser *p)
{
	struct pw_document *d = &p->impl->document;

	p->impl->accounts_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	for (uint32_t i = 0; i < d->account_count; i++) {
		struct pw_document_account *a = &d->accounts[i];

		a->index = i;
		check_unique(p, p->impl->accounts_by_name, a->name, a, "accounts", i,
			     "another account has the name");
		check_account(p, a);
	}
}

static void check_draining(struct pw_document_parser *p)
{
	const struct pw_document *d = &p->impl->document;
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < d->draining_count; i++)
		check_unique(p, names, d->draining[i], d->draining[i], "draining", i,
			     "the VM is in the list already");
	g_hash_table_unref(names);
}

void pw_document_resolve(struct pw_document_parser *p)
{
	index_databases(p);
	resolve_routes(p);
	index_accounts(p);
	check_draining(p);
	index_routes_by_database(p->impl);
}
