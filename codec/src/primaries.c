#include "pw/codec/primaries.h"

#include <jansson.h>
#include <string.h>

#include "pw/core/error.h"

static void primary_free(gpointer data)
{
	struct pw_primary *p = data;

	g_free(p->group);
	g_free(p->server_id);
	g_free(p->leader);
	g_free(p->mark_vm);
	g_clear_pointer(&p->replica_set, g_ptr_array_unref);
	g_free(p);
}

static void replica_free(gpointer data)
{
	struct pw_replica *r = data;

	g_free(r->id);
	g_free(r->address);
	g_free(r);
}

GPtrArray *pw_replica_set_new(void)
{
	return g_ptr_array_new_with_free_func(replica_free);
}

void pw_replica_set_add(GPtrArray *set, const char *id, const char *address, bool is_stopping)
{
	struct pw_replica *r = g_new0(struct pw_replica, 1);

	r->id = g_strdup(id);
	r->address = g_strdup(address);
	r->is_stopping = is_stopping;
	g_ptr_array_add(set, r);
}

const struct pw_replica *pw_replica_set_find(const GPtrArray *set, const char *id)
{
	for (guint i = 0; set && i < set->len; i++) {
		const struct pw_replica *r = g_ptr_array_index(set, i);

		if (strcmp(r->id, id) == 0)
			return r;
	}
	return NULL;
}

/* Adds the servers of `from` that `set` lacks. Returns whether there were any. */
static bool unite_replica_sets(GPtrArray *set, const GPtrArray *from)
{
	bool added = false;

	for (guint i = 0; i < from->len; i++) {
		const struct pw_replica *r = g_ptr_array_index(from, i);

		if (pw_replica_set_find(set, r->id))
			continue;
		pw_replica_set_add(set, r->id, r->address, r->is_stopping);
		added = true;
	}
	return added;
}

static GPtrArray *replica_set_copy(const GPtrArray *set)
{
	GPtrArray *copy;

	if (!set)
		return NULL;
	copy = pw_replica_set_new();
	(void)unite_replica_sets(copy, set);
	return copy;
}

struct pw_primaries *pw_primaries_new(void)
{
	struct pw_primaries *p = g_atomic_rc_box_new0(struct pw_primaries);

	p->entries = g_ptr_array_new_with_free_func(primary_free);
	return p;
}

struct pw_primaries *pw_primaries_copy(const struct pw_primaries *p)
{
	struct pw_primaries *copy = pw_primaries_new();

	copy->revision = p->revision;
	copy->fencing_token = p->fencing_token;
	copy->era = p->era;
	copy->restored_token = p->restored_token;
	copy->holder = g_strdup(p->holder);
	for (guint i = 0; i < p->entries->len; i++) {
		const struct pw_primary *from = g_ptr_array_index(p->entries, i);
		struct pw_primary *to = g_memdup2(from, sizeof(*from));

		to->group = g_strdup(from->group);
		to->server_id = g_strdup(from->server_id);
		to->leader = g_strdup(from->leader);
		to->mark_vm = g_strdup(from->mark_vm);
		to->replica_set = replica_set_copy(from->replica_set);
		g_ptr_array_add(copy->entries, to);
	}
	return copy;
}

struct pw_primaries *pw_primaries_ref(const struct pw_primaries *p)
{
	return g_atomic_rc_box_acquire((struct pw_primaries *)(uintptr_t)p);
}

static void primaries_clear(gpointer data)
{
	struct pw_primaries *p = data;

	g_ptr_array_unref(p->entries);
	g_free(p->holder);
}

void pw_primaries_unref(const struct pw_primaries *p)
{
	if (p)
		g_atomic_rc_box_release_full((struct pw_primaries *)(uintptr_t)p, primaries_clear);
}

struct pw_primary *pw_primaries_find(const struct pw_primaries *p, const char *group)
{
	for (guint i = 0; i < p->entries->len; i++) {
		struct pw_primary *item = g_ptr_array_index(p->entries, i);

		if (strcmp(item->group, group) == 0)
			return item;
	}
	return NULL;
}

static void clear_mark(struct pw_primary *item)
{
	item->changing = false;
	item->planned = false;
	item->mark_token = 0;
	item->mark_incarnation = 0;
	g_clear_pointer(&item->mark_vm, g_free);
}

void pw_primaries_set(struct pw_primaries *p, const char *group, const char *server_id,
		      const char *leader, uint64_t generation)
{
	struct pw_primary *item = pw_primaries_find(p, group);

	if (!item) {
		item = g_new0(struct pw_primary, 1);
		item->group = g_strdup(group);
		g_ptr_array_add(p->entries, item);
	}
	g_free(item->server_id);
	item->server_id = g_strdup(server_id);
	g_free(item->leader);
	item->leader = g_strdup(leader);
	item->generation = generation;
	clear_mark(item);
}

void pw_primaries_set_replica_set(struct pw_primaries *p, const char *group, GPtrArray *set)
{
	struct pw_primary *item = pw_primaries_find(p, group);

	g_clear_pointer(&item->replica_set, g_ptr_array_unref);
	item->replica_set = set;
}

void pw_primaries_mark(struct pw_primaries *p, const char *group, const char *holder,
		       uint64_t incarnation, bool planned)
{
	struct pw_primary *item = pw_primaries_find(p, group);

	p->fencing_token++;
	g_free(p->holder);
	p->holder = g_strdup(holder);
	item->changing = true;
	item->planned = planned;
	item->mark_token = p->fencing_token;
	item->mark_incarnation = incarnation;
	g_free(item->mark_vm);
	item->mark_vm = g_strdup(holder);
}

void pw_primaries_clear_mark(struct pw_primaries *p, const char *group)
{
	clear_mark(pw_primaries_find(p, group));
}

bool pw_primaries_is_marked_by(const struct pw_primaries *p, const char *group, uint64_t token)
{
	const struct pw_primary *item = pw_primaries_find(p, group);

	if (!item || !item->changing)
		return false;
	return item->mark_token ? item->mark_token == token : p->fencing_token == token;
}

void pw_primaries_set_era(struct pw_primaries *p, uint32_t era)
{
	p->era = era;
	p->fencing_token = MAX(p->fencing_token, (uint64_t)era << PW_FENCING_TOKEN_ERA_SHIFT);
}

/* Order of two records of the same lost history, or of what a record contains of it. */
enum merge_order {
	KNOWN_IS_OLDER,
	/* Every mark takes a new token, so of two records with the same one, the later has fewer.
	 */
	TOKENS_EQUAL,
	KNOWN_IS_NEWER,
};

static enum merge_order compare_tokens(uint64_t known_token, uint64_t stored_token)
{
	if (known_token == stored_token)
		return TOKENS_EQUAL;
	return known_token > stored_token ? KNOWN_IS_NEWER : KNOWN_IS_OLDER;
}

/* Returns whether a group whose generation is the same in both records is marked. */
static bool merge_mark(bool stored, bool known, bool is_written_again, enum merge_order order)
{
	if (is_written_again)
		return stored || (known && order == KNOWN_IS_NEWER);
	switch (order) {
	case KNOWN_IS_NEWER:
		return known;
	case TOKENS_EQUAL:
		return stored && known;
	default:
		return stored;
	}
}

static void copy_mark(struct pw_primary *to, const struct pw_primary *from)
{
	to->changing = from->changing;
	to->planned = from->planned;
	to->mark_token = from->mark_token;
	to->mark_incarnation = from->mark_incarnation;
	g_free(to->mark_vm);
	to->mark_vm = g_strdup(from->mark_vm);
}

/* Merges the replica sets of one group. Returns whether the one of `to` changed. */
static bool merge_replica_set(struct pw_primary *to, const struct pw_primary *known)
{
	if (!to->replica_set)
		return false;
	if (known->replica_set)
		return unite_replica_sets(to->replica_set, known->replica_set);
	g_clear_pointer(&to->replica_set, g_ptr_array_unref);
	return true;
}

/* Merges the entry of one group. Returns whether the entry in `merged` changed. */
static bool merge_entry(struct pw_primaries *merged, const struct pw_primary *known,
			bool is_written_again, enum merge_order order)
{
	struct pw_primary *to = pw_primaries_find(merged, known->group);
	bool changing, set_changed;

	if (!to || known->generation > to->generation) {
		bool is_new = !to;

		pw_primaries_set(merged, known->group, known->server_id, known->leader,
				 known->generation);
		to = pw_primaries_find(merged, known->group);
		copy_mark(to, known);
		if (is_new)
			to->replica_set = replica_set_copy(known->replica_set);
		else
			(void)merge_replica_set(to, known);
		return true;
	}
	set_changed = merge_replica_set(to, known);
	if (known->generation < to->generation)
		return set_changed;
	changing = merge_mark(to->changing, known->changing, is_written_again, order);
	if (changing == to->changing)
		return set_changed;
	if (changing)
		copy_mark(to, known);
	else
		clear_mark(to);
	return true;
}

static void forget_replica_sets(struct pw_primaries *p)
{
	for (guint i = 0; i < p->entries->len; i++) {
		struct pw_primary *item = g_ptr_array_index(p->entries, i);

		g_clear_pointer(&item->replica_set, g_ptr_array_unref);
	}
}

bool pw_primaries_merge(struct pw_primaries **out, const struct pw_primaries *stored,
			const struct pw_primaries *known, uint32_t era)
{
	struct pw_primaries *merged = stored ? pw_primaries_copy(stored) : pw_primaries_new();
	bool is_written_again = stored && stored->era >= era;
	bool changed = !is_written_again;
	enum merge_order order;

	if (!is_written_again)
		merged->restored_token = merged->fencing_token;
	if (!known && !is_written_again)
		forget_replica_sets(merged);
	if (known) {
		order = compare_tokens(known->fencing_token, merged->restored_token);
		for (guint i = 0; i < known->entries->len; i++)
			changed |= merge_entry(merged, g_ptr_array_index(known->entries, i),
					       is_written_again, order);
		if (order == KNOWN_IS_NEWER) {
			g_free(merged->holder);
			merged->holder = g_strdup(known->holder);
		}
		merged->restored_token = MAX(merged->restored_token, known->fencing_token);
		merged->fencing_token = MAX(merged->fencing_token, known->fencing_token);
	}
	pw_primaries_set_era(merged, era);
	*out = merged;
	return changed;
}

/* Formats a JSON value and releases the reference to it. */
static char *json_to_text(json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);
	char *copy = g_strdup(text);

	free(text);
	json_decref(root);
	return copy;
}

/* Returns the JSON array of a replica set; NULL if it is not known. */
static json_t *replica_set_to_json(const GPtrArray *set)
{
	json_t *list = set ? json_array() : NULL;

	for (guint i = 0; set && i < set->len; i++) {
		const struct pw_replica *r = g_ptr_array_index(set, i);

		json_array_append_new(list, json_pack("{s:s,s:s,s:b}", "id", r->id, "address",
						      r->address, "stopping", r->is_stopping));
	}
	return list;
}

char *pw_primaries_encode(const struct pw_primaries *p)
{
	json_t *list = json_array(), *root;

	for (guint i = 0; i < p->entries->len; i++) {
		const struct pw_primary *item = g_ptr_array_index(p->entries, i);

		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:s*,s:I,s:b,s:b,s:I,s:I,s:s*,s:o*}", "group",
				  item->group, "server", item->server_id, "leader", item->leader,
				  "generation", (json_int_t)item->generation, "changing",
				  item->changing, "planned", item->planned, "mark_token",
				  (json_int_t)item->mark_token, "mark_incarnation",
				  (json_int_t)item->mark_incarnation, "mark_vm", item->mark_vm,
				  "replica_set", replica_set_to_json(item->replica_set)));
	}
	root = json_pack("{s:I,s:s,s:o}", "fence", (json_int_t)p->fencing_token, "holder",
			 p->holder ? p->holder : "", "primaries", list);
	if (p->era) {
		json_object_set_new(root, "era", json_integer(p->era));
		json_object_set_new(root, "restored", json_integer((json_int_t)p->restored_token));
	}
	return json_to_text(root);
}

static bool is_whole_number(const json_t *j)
{
	return json_is_integer(j) && json_integer_value(j) >= 0;
}

/*
 * Decodes a replica set. A malformed one counts as not known, since the primary has to be used all
 * the same.
 */
static GPtrArray *replica_set_from_json(const json_t *list)
{
	GPtrArray *set = json_is_array(list) ? pw_replica_set_new() : NULL;
	const json_t *item;
	size_t i;

	json_array_foreach (list, i, item) {
		const char *id = json_string_value(json_object_get(item, "id"));
		const char *address = json_string_value(json_object_get(item, "address"));

		if (!id || !address) {
			g_ptr_array_unref(set);
			return NULL;
		}
		pw_replica_set_add(set, id, address,
				   json_is_true(json_object_get(item, "stopping")));
	}
	return set;
}

/* Adds the primary of one group. Returns false if the item is malformed. */
static bool decode_primary(struct pw_primaries *p, const json_t *item)
{
	const char *group = json_string_value(json_object_get(item, "group"));
	const char *server = json_string_value(json_object_get(item, "server"));
	const json_t *generation = json_object_get(item, "generation");
	struct pw_primary *primary;

	if (!group || !server || !is_whole_number(generation))
		return false;
	pw_primaries_set(p, group, server, json_string_value(json_object_get(item, "leader")),
			 (uint64_t)json_integer_value(generation));
	primary = pw_primaries_find(p, group);
	primary->changing = json_is_true(json_object_get(item, "changing"));
	primary->planned = json_is_true(json_object_get(item, "planned"));
	primary->mark_token = (uint64_t)json_integer_value(json_object_get(item, "mark_token"));
	primary->mark_incarnation =
		(uint64_t)json_integer_value(json_object_get(item, "mark_incarnation"));
	primary->mark_vm = g_strdup(json_string_value(json_object_get(item, "mark_vm")));
	primary->replica_set = replica_set_from_json(json_object_get(item, "replica_set"));
	return true;
}

int pw_primaries_decode(struct pw_primaries **out, const char *text, size_t size_bytes,
			int64_t revision)
{
	json_t *root = json_loadb(text, size_bytes, 0, NULL);
	const json_t *list = json_object_get(root, "primaries"), *item;
	const json_t *fence = json_object_get(root, "fence");
	struct pw_primaries *p = pw_primaries_new();
	bool ok = json_is_array(list) && is_whole_number(fence);
	size_t i;

	p->revision = revision;
	p->fencing_token = (uint64_t)json_integer_value(fence);
	p->era = (uint32_t)json_integer_value(json_object_get(root, "era"));
	p->restored_token = (uint64_t)json_integer_value(json_object_get(root, "restored"));
	p->holder = g_strdup(json_string_value(json_object_get(root, "holder")));
	json_array_foreach (list, i, item)
		ok = ok && decode_primary(p, item);
	json_decref(root);
	if (!ok) {
		pw_primaries_unref(p);
		return pw_error_set(PW_EINVALID, "the record of primaries is malformed");
	}
	*out = p;
	return PW_OK;
}

void pw_fleet_member_free(struct pw_fleet_member *m)
{
	if (!m)
		return;
	g_free(m->name);
	g_free(m->address);
	g_free(m->availability_zone);
	g_free(m);
}

char *pw_fleet_member_encode(const struct pw_fleet_member *m)
{
	return json_to_text(json_pack("{s:s,s:s,s:s,s:I}", "name", m->name, "address", m->address,
				      "availability_zone", m->availability_zone, "incarnation",
				      (json_int_t)m->incarnation));
}

int pw_fleet_member_decode(struct pw_fleet_member **out, const char *text, size_t size_bytes)
{
	json_t *root = json_loadb(text, size_bytes, 0, NULL);
	const char *name = json_string_value(json_object_get(root, "name"));
	const char *address = json_string_value(json_object_get(root, "address"));
	const char *zone = json_string_value(json_object_get(root, "availability_zone"));
	struct pw_fleet_member *m;

	if (!name || !address || !zone) {
		json_decref(root);
		return pw_error_set(PW_EINVALID, "the entry of the fleet member is malformed");
	}
	m = g_new0(struct pw_fleet_member, 1);
	m->name = g_strdup(name);
	m->address = g_strdup(address);
	m->availability_zone = g_strdup(zone);
	m->incarnation = (uint64_t)json_integer_value(json_object_get(root, "incarnation"));
	json_decref(root);
	*out = m;
	return PW_OK;
}
