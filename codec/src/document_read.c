/*
 * Tables of the members of the document, with their limits and defaults. docs/document.md describes
 * each of them.
 */
#include "document_field.h"

#define HOUR_MS UINT64_C(3600000)

/*
 * Initialisers of a struct pw_field: type of the member, its name in JSON, the struct and its
 * field. LIST also takes the field that holds the length of the list.
 */
#define FIELD(kind, json_name, type, struct_field) \
	.ops = &pw_field_##kind, .name = (json_name), .offset = offsetof(struct type, struct_field)
#define LIST(kind, json_name, type, list, count) \
	FIELD(kind, json_name, type, list), .count_offset = offsetof(struct type, count)

static const struct pw_field server_fields[] = {
	{ FIELD(name, "name", pw_document_server, name), .required = true },
	{ FIELD(address, "address", pw_document_server, address), .required = true },
	{ FIELD(name, "availability_zone", pw_document_server, availability_zone),
	  .required = true },
	{ FIELD(bool, "leaving", pw_document_server, leaving) },
	{ FIELD(u32, "connections", pw_document_server, connections), .required = true, .min = 1,
	  .max = 100000 },
	{ FIELD(u32, "slots", pw_document_server, slots), .required = true, .min = 1,
	  .max = 100000 },
};

static char *member_location(const char *location, const char *name)
{
	return g_strdup_printf("%s.%s", location, name);
}

static void server_finish(struct pw_document_parser *p, void *item, json_t *value,
			  const char *location)
{
	const struct pw_document_server *s = item;
	char *member = member_location(location, "slots");

	if (s->connections > 0 && s->slots > s->connections)
		pw_document_add_finding(p, member, "must not be above connections (%u)",
					s->connections);
	g_free(member);
}

static const struct pw_section server_section = {
	.path = "databases[].servers[]",
	.size_bytes = sizeof(struct pw_document_server),
	.fields = server_fields,
	.field_count = G_N_ELEMENTS(server_fields),
	.finish = server_finish,
};

static const char *const durability_names[] = { "term", "replicated", NULL };

static const struct pw_field database_fields[] = {
	{ FIELD(name, "name", pw_document_database, name), .required = true },
	{ FIELD(name, "kind", pw_document_database, kind), .required = true },
	{ FIELD(enum, "durability", pw_document_database, durability),
	  .enum_names = durability_names, .default_value = PW_DURABILITY_TERM },
	{ LIST(objects, "servers", pw_document_database, servers, server_count), .required = true,
	  .min = 1, .max = PW_DOCUMENT_MAX_SERVERS, .section = &server_section },
};

static const struct pw_section database_section = {
	.path = "databases[]",
	.size_bytes = sizeof(struct pw_document_database),
	.fields = database_fields,
	.field_count = G_N_ELEMENTS(database_fields),
};

static const char *const access_names[] = { "open", "keyed", NULL };
static const char *const route_kind_names[] = { "read", "write", NULL };
static const char *const session_names[] = { "strict", "connection", NULL };

static const struct pw_field route_fields[] = {
	{ FIELD(name, "name", pw_document_route, name), .required = true },
	{ FIELD(name, "database", pw_document_route, database_name), .required = true },
	{ LIST(prefixes, "match", pw_document_route, prefixes, prefix_count), .required = true,
	  .min = 1, .max = PW_DOCUMENT_MAX_MATCHES },
	{ FIELD(enum, "access", pw_document_route, access), .required = true,
	  .enum_names = access_names },
	{ FIELD(enum, "kind", pw_document_route, kind), .required = true,
	  .enum_names = route_kind_names },
	{ FIELD(u32, "stale_age_ms", pw_document_route, stale_age_ms), .max = 24 * HOUR_MS },
	{ FIELD(bool, "repeatable", pw_document_route, repeatable) },
	{ FIELD(enum, "session", pw_document_route, session), .enum_names = session_names,
	  .default_value = PW_ROUTE_SESSION_STRICT },
	{ FIELD(u32, "timeout_ms", pw_document_route, timeout_ms), .min = 1, .max = HOUR_MS,
	  .default_value = 30000 },
};

static void route_finish(struct pw_document_parser *p, void *item, json_t *value,
			 const char *location)
{
	struct pw_document_route *r = item;
	char *member = member_location(location, "stale_age_ms");

	if (!json_object_get(value, "repeatable"))
		r->repeatable = r->kind == PW_ROUTE_READ;
	if (r->kind == PW_ROUTE_WRITE && r->stale_age_ms > 0)
		pw_document_add_finding(p, member, "must be 0 on a write route");
	g_free(member);
}

static const struct pw_section route_section = {
	.path = "routes[]",
	.size_bytes = sizeof(struct pw_document_route),
	.fields = route_fields,
	.field_count = G_N_ELEMENTS(route_fields),
	.finish = route_finish,
};

static const struct pw_field key_fields[] = {
	{ FIELD(key_id, "id", pw_key_hash, id), .required = true },
	{ FIELD(hex, "salt", pw_key_hash, salt), .required = true, .max = PW_KEY_SALT_BYTES },
	{ FIELD(hex, "hash", pw_key_hash, hash), .required = true, .max = PW_KEY_HASH_BYTES },
};

static const struct pw_section key_section = {
	.path = "accounts[].keys[]",
	.size_bytes = sizeof(struct pw_key_hash),
	.fields = key_fields,
	.field_count = G_N_ELEMENTS(key_fields),
};

static const struct pw_field account_fields[] = {
	{ FIELD(name, "name", pw_document_account, name), .required = true },
	{ LIST(objects, "keys", pw_document_account, keys, key_count), .max = PW_DOCUMENT_MAX_KEYS,
	  .section = &key_section },
	{ FIELD(u32, "rate_per_s", pw_document_account, rate_per_s), .required = true, .min = 1,
	  .max = 100000000 },
	{ FIELD(u32, "burst", pw_document_account, burst), .required = true, .min = 1,
	  .max = 100000000 },
	{ LIST(names, "databases", pw_document_account, database_names, database_count),
	  .max = PW_DOCUMENT_MAX_DATABASES },
	{ FIELD(u32, "max_connections", pw_document_account, max_connections), .max = 1000000 },
};

static void account_finish(struct pw_document_parser *p, void *item, json_t *value,
			   const char *location)
{
	struct pw_document_account *a = item;

	a->all_databases = !json_object_get(value, "databases");
}

static const struct pw_section account_section = {
	.path = "accounts[]",
	.size_bytes = sizeof(struct pw_document_account),
	.fields = account_fields,
	.field_count = G_N_ELEMENTS(account_fields),
	.finish = account_finish,
};

static const struct pw_field limits_fields[] = {
	{ FIELD(u32, "queue_per_account", pw_document_limits, queue_per_account), .min = 1,
	  .max = 65536, .default_value = 256 },
	{ FIELD(u32, "request_deadline_ms", pw_document_limits, request_deadline_ms), .min = 1,
	  .max = HOUR_MS, .default_value = 1000 },
	{ FIELD(u32, "max_message_bytes", pw_document_limits, max_message_bytes), .min = 16384,
	  .max = 64 << 20, .default_value = 1 << 20 },
	{ FIELD(u32, "max_connections", pw_document_limits, max_connections), .min = 1,
	  .max = 1000000, .default_value = 10000 },
	{ FIELD(u64, "account_memory_bytes", pw_document_limits, account_memory_bytes),
	  .min = 1 << 20, .max = UINT64_C(1) << 40, .default_value = 32 << 20 },
	{ FIELD(u32, "open_rate_per_s", pw_document_limits, open_rate_per_s), .max = 100000000,
	  .default_value = 100 },
	{ FIELD(u32, "open_burst", pw_document_limits, open_burst), .max = 100000000,
	  .default_value = 200 },
};

static const struct pw_section limits_section = {
	.path = "limits",
	.size_bytes = sizeof(struct pw_document_limits),
	.fields = limits_fields,
	.field_count = G_N_ELEMENTS(limits_fields),
};

static const struct pw_field document_fields[] = {
	{ FIELD(name, "service", pw_document, service), .required = true },
	{ FIELD(u32, "version", pw_document, version), .required = true, .min = PW_DOCUMENT_VERSION,
	  .max = PW_DOCUMENT_VERSION },
	{ LIST(objects, "databases", pw_document, databases, database_count), .required = true,
	  .min = 1, .max = PW_DOCUMENT_MAX_DATABASES, .section = &database_section },
	{ LIST(objects, "routes", pw_document, routes, route_count), .max = PW_DOCUMENT_MAX_ROUTES,
	  .section = &route_section },
	{ LIST(objects, "accounts", pw_document, accounts, account_count),
	  .max = PW_DOCUMENT_MAX_ACCOUNTS, .section = &account_section },
	{ FIELD(object, "limits", pw_document, limits), .section = &limits_section },
	{ LIST(names, "draining", pw_document, draining, draining_count),
	  .max = PW_DOCUMENT_MAX_DRAINING },
};

static const struct pw_section document_section = {
	.path = "",
	.size_bytes = sizeof(struct pw_document),
	.fields = document_fields,
	.field_count = G_N_ELEMENTS(document_fields),
};

static const struct pw_section *const sections[] = {
	&document_section, &database_section, &server_section, &route_section,
	&account_section,  &key_section,      &limits_section,
};

void pw_document_read_members(struct pw_document_parser *p, json_t *root)
{
	pw_section_read(p, &document_section, &p->impl->document, root, "");
}

bool pw_document_get_member(struct pw_document_member *out, size_t i)
{
	for (size_t s = 0; s < G_N_ELEMENTS(sections); s++) {
		if (i < sections[s]->field_count) {
			out->section = sections[s]->path;
			out->name = sections[s]->fields[i].name;
			return true;
		}
		i -= sections[s]->field_count;
	}
	return false;
}
