#include "kv.h"

#include <string.h>

/* The platform's service has the same limit of 1 MB. */
#define VALUE_MAX_BYTES       ((size_t)1 << 20)

#define US_PER_S              UINT64_C(1000000)

#define GRPC_INVALID_ARGUMENT 3
#define GRPC_NOT_FOUND        5
#define GRPC_OUT_OF_RANGE     11

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return g_bytes_compare(a, b);
}

static void kv_unref(gpointer item)
{
	g_atomic_rc_box_release(item);
}

/* Keys and values are never freed: the log refers to all of them until the process exits. */
static GTree *new_tree(void)
{
	return g_tree_new_full(compare_keys, NULL, NULL, kv_unref);
}

void kv_store_init(struct kv_store *s)
{
	*s = (struct kv_store){
		.keys = new_tree(),
		.log = g_ptr_array_new(),
		.leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free),
		.revision = 1,
		.last_lease_id = 1000,
	};
}

json_t *int64_json(int64_t n)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, n);
	return json_string(text);
}

int64_t int64_field(const json_t *j, const char *name)
{
	json_t *field = json_object_get(j, name);

	if (json_is_string(field))
		return g_ascii_strtoll(json_string_value(field), NULL, 10);
	return json_integer_value(field);
}

static GBytes *bytes_field(const json_t *j, const char *name)
{
	const char *text = json_string_value(json_object_get(j, name));
	guchar *data;
	gsize size;

	if (!text)
		return NULL;
	if (!*text)
		return g_bytes_new(NULL, 0);
	data = g_base64_decode(text, &size);
	return g_bytes_new_take(data, size);
}

static json_t *bytes_json(GBytes *b)
{
	gsize size;
	const guchar *data = g_bytes_get_data(b, &size);
	char *text = g_base64_encode(data ? data : (const guchar *)"", size);
	json_t *j = json_string(text);

	g_free(text);
	return j;
}

json_t *header_json(const struct kv_store *s)
{
	json_t *j = json_object();

	json_object_set_new(j, "cluster_id", json_string("1"));
	json_object_set_new(j, "revision", int64_json(s->revision));
	return j;
}

/* Sets a field unless `n` is 0, because the etcd gateway omits fields with zero values. */
static void set_int64(json_t *j, const char *name, int64_t n)
{
	if (n)
		json_object_set_new(j, name, int64_json(n));
}

json_t *kv_json(const struct kv *kv)
{
	json_t *j = json_object();

	json_object_set_new(j, "key", bytes_json(kv->key));
	set_int64(j, "create_revision", kv->create_revision);
	set_int64(j, "mod_revision", kv->mod_revision);
	set_int64(j, "version", kv->version);
	set_int64(j, "lease", kv->lease_id);
	if (kv->value && g_bytes_get_size(kv->value))
		json_object_set_new(j, "value", bytes_json(kv->value));
	return j;
}

struct response response_error(uint32_t status, int32_t grpc_code, const char *message)
{
	json_t *j = json_object();

	json_object_set_new(j, "error", json_string(message));
	json_object_set_new(j, "code", json_integer(grpc_code));
	json_object_set_new(j, "message", json_string(message));
	return (struct response){ .status = status, .body = j };
}

static struct response response_ok(const struct kv_store *s)
{
	json_t *j = json_object();

	json_object_set_new(j, "header", header_json(s));
	return (struct response){ .status = 200, .body = j };
}

bool key_range_parse(const json_t *j, struct key_range *out)
{
	out->start = bytes_field(j, "key");
	out->end = bytes_field(j, "range_end");
	return out->start && g_bytes_get_size(out->start);
}

void key_range_clear(struct key_range *r)
{
	g_clear_pointer(&r->start, g_bytes_unref);
	g_clear_pointer(&r->end, g_bytes_unref);
}

static bool is_unbounded(GBytes *end)
{
	gsize size;
	const char *data = g_bytes_get_data(end, &size);

	return size == 1 && data[0] == '\0';
}

bool key_range_contains(const struct key_range *r, GBytes *key)
{
	if (!r->end)
		return g_bytes_equal(r->start, key);
	return g_bytes_compare(key, r->start) >= 0 &&
	       (is_unbounded(r->end) || g_bytes_compare(key, r->end) < 0);
}

/* Responds with the keys of the request's range in `keys`, and with `revision` in the header. */
static struct response read_keys(const struct kv_store *s, GTree *keys, int64_t revision,
				 const json_t *req)
{
	struct response res = response_ok(s);
	json_t *kvs = json_array();
	int64_t limit = int64_field(req, "limit");
	struct key_range r;

	json_object_set_new(json_object_get(res.body, "header"), "revision", int64_json(revision));
	if (!key_range_parse(req, &r)) {
		json_decref(res.body);
		json_decref(kvs);
		key_range_clear(&r);
		return response_error(400, GRPC_INVALID_ARGUMENT, "key is not provided");
	}
	for (GTreeNode *n = g_tree_lower_bound(keys, r.start);
	     n && key_range_contains(&r, g_tree_node_key(n)); n = g_tree_node_next(n)) {
		if (limit && (int64_t)json_array_size(kvs) == limit) {
			json_object_set_new(res.body, "more", json_true());
			break;
		}
		json_array_append_new(kvs, kv_json(g_tree_node_value(n)));
	}
	if (json_array_size(kvs))
		json_object_set(res.body, "kvs", kvs);
	json_decref(kvs);
	key_range_clear(&r);
	return res;
}

/* Reads the keys as of `revision`, by replaying the log. */
static struct response read_keys_at_revision(const struct kv_store *s, int64_t revision,
					     const json_t *req)
{
	GTree *keys;
	struct response res;

	if (revision > s->revision)
		return response_error(400, GRPC_OUT_OF_RANGE,
				      "etcdserver: mvcc: required revision is a future revision");
	if (revision < s->compact_revision)
		return response_error(400, GRPC_OUT_OF_RANGE,
				      "etcdserver: mvcc: required revision has been compacted");
	keys = new_tree();
	for (guint i = 0; i < s->log->len; i++) {
		struct kv *kv = g_ptr_array_index(s->log, i);

		if (kv->mod_revision > revision)
			break;
		if (kv->value)
			g_tree_replace(keys, kv->key, g_atomic_rc_box_acquire(kv));
		else
			g_tree_remove(keys, kv->key);
	}
	res = read_keys(s, keys, s->revision, req);
	g_tree_unref(keys);
	return res;
}

struct response kv_range(struct kv_store *s, const json_t *req, uint64_t now_us)
{
	int64_t revision = int64_field(req, "revision");

	(void)now_us;
	if (revision > 0)
		return read_keys_at_revision(s, revision, req);
	if (s->stale_keys)
		return read_keys(s, s->stale_keys, s->stale_revision, req);
	return read_keys(s, s->keys, s->revision, req);
}

/* Appends a change to the log and applies it; takes ownership of one reference to `kv`. */
static void apply_change(struct kv_store *s, struct kv *kv)
{
	g_ptr_array_add(s->log, kv);
	if (kv->value)
		g_tree_replace(s->keys, kv->key, g_atomic_rc_box_acquire(kv));
	else
		g_tree_remove(s->keys, kv->key);
}

static void put_key(struct kv_store *s, GBytes *key, GBytes *value, int64_t lease_id)
{
	const struct kv *old = g_tree_lookup(s->keys, key);
	struct kv *kv = g_atomic_rc_box_new0(struct kv);

	kv->key = key;
	kv->value = value;
	kv->create_revision = old ? old->create_revision : s->revision;
	kv->mod_revision = s->revision;
	kv->version = old ? old->version + 1 : 1;
	kv->lease_id = lease_id;
	apply_change(s, kv);
}

static void delete_key(struct kv_store *s, GBytes *key)
{
	struct kv *kv = g_atomic_rc_box_new0(struct kv);

	kv->key = g_bytes_ref(key);
	kv->mod_revision = s->revision;
	apply_change(s, kv);
}

/* Returns whether a comparison of a transaction holds; all comparisons are for equality. */
static bool compare_holds(const struct kv_store *s, const json_t *c)
{
	const char *target = json_string_value(json_object_get(c, "target"));
	GBytes *key = bytes_field(c, "key");
	const struct kv *kv = key ? g_tree_lookup(s->keys, key) : NULL;
	bool holds = false;

	if (key && target && strcmp(target, "MOD") == 0)
		holds = (kv ? kv->mod_revision : 0) == int64_field(c, "mod_revision");
	else if (key && target && strcmp(target, "CREATE") == 0)
		holds = (kv ? kv->create_revision : 0) == int64_field(c, "create_revision");
	else if (key && target && strcmp(target, "VERSION") == 0)
		holds = (kv ? kv->version : 0) == int64_field(c, "version");
	g_clear_pointer(&key, g_bytes_unref);
	return holds;
}

/* Checks a transaction's operations before any of them runs. Returns an error message or NULL. */
static const char *validate_ops(const struct kv_store *s, const json_t *ops)
{
	size_t i;
	json_t *op;

	json_array_foreach (ops, i, op) {
		json_t *p = json_object_get(op, "request_put");
		int64_t lease_id = int64_field(p, "lease");
		GBytes *value = bytes_field(p, "value");
		gsize size = value ? g_bytes_get_size(value) : 0;

		g_clear_pointer(&value, g_bytes_unref);
		if (size > VALUE_MAX_BYTES)
			return "etcdserver: request is too large";
		if (lease_id && !g_hash_table_contains(s->leases, &lease_id))
			return "etcdserver: requested lease not found";
	}
	return NULL;
}

/* Runs one operation of a transaction: a put, a deletion of one key or a read. */
static json_t *run_op(struct kv_store *s, const json_t *op)
{
	json_t *p = json_object_get(op, "request_put");
	json_t *d = json_object_get(op, "request_delete_range");
	json_t *response = json_object(), *inner = json_object();
	const char *name = "response_range";

	if (p) {
		GBytes *value = bytes_field(p, "value");

		name = "response_put";
		put_key(s, bytes_field(p, "key"), value ? value : g_bytes_new(NULL, 0),
			int64_field(p, "lease"));
	} else if (d) {
		GBytes *key = bytes_field(d, "key");

		name = "response_delete_range";
		if (key && g_tree_lookup(s->keys, key)) {
			delete_key(s, key);
			set_int64(inner, "deleted", 1);
		}
		g_clear_pointer(&key, g_bytes_unref);
	} else {
		struct response res =
			read_keys(s, s->keys, s->revision, json_object_get(op, "request_range"));

		json_decref(inner);
		inner = res.body;
	}
	json_object_set_new(response, name, inner);
	return response;
}

struct response kv_txn(struct kv_store *s, const json_t *req, uint64_t now_us)
{
	json_t *comparisons = json_object_get(req, "compare"), *ops, *c, *op;
	json_t *responses = json_array();
	struct response res;
	guint log_length_before = s->log->len;
	const char *error;
	bool holds = true;
	size_t i;

	(void)now_us;
	json_array_foreach (comparisons, i, c) {
		holds = holds && compare_holds(s, c);
	}
	ops = json_object_get(req, holds ? "success" : "failure");
	error = validate_ops(s, ops);
	if (error) {
		json_decref(responses);
		return strstr(error, "lease") ? response_error(404, GRPC_NOT_FOUND, error)
					      : response_error(400, GRPC_INVALID_ARGUMENT, error);
	}
	/* All changes of a transaction share one revision; without changes, the revision stays. */
	s->revision++;
	json_array_foreach (ops, i, op) {
		json_array_append_new(responses, run_op(s, op));
	}
	if (s->log->len == log_length_before)
		s->revision--;
	res = response_ok(s);
	if (holds)
		json_object_set_new(res.body, "succeeded", json_true());
	json_object_set_new(res.body, "responses", responses);
	return res;
}

struct response kv_compact(struct kv_store *s, const json_t *req, uint64_t now_us)
{
	(void)now_us;
	s->compact_revision = MAX(s->compact_revision, int64_field(req, "revision"));
	return response_ok(s);
}

static struct response lease_response(const struct kv_store *s, int64_t id, int64_t ttl_s)
{
	struct response res = response_ok(s);

	set_int64(res.body, "ID", id);
	set_int64(res.body, "TTL", ttl_s);
	return res;
}

struct response kv_lease_grant(struct kv_store *s, const json_t *req, uint64_t now_us)
{
	struct lease *l = g_new0(struct lease, 1);
	int64_t id = int64_field(req, "ID");

	l->id = id ? id : ++s->last_lease_id;
	l->ttl_s = MAX(int64_field(req, "TTL"), 1);
	l->expires_us = now_us + (uint64_t)l->ttl_s * US_PER_S;
	g_hash_table_replace(s->leases, &l->id, l);
	return lease_response(s, l->id, l->ttl_s);
}

struct response kv_lease_keep_alive(struct kv_store *s, const json_t *req, uint64_t now_us)
{
	int64_t id = int64_field(req, "ID");
	struct lease *l = g_hash_table_lookup(s->leases, &id);
	struct response res = lease_response(s, id, l ? l->ttl_s : 0);
	json_t *wrapped = json_object();

	if (l)
		l->expires_us = now_us + (uint64_t)l->ttl_s * US_PER_S;
	json_object_set_new(wrapped, "result", res.body);
	res.body = wrapped;
	return res;
}

/* Removes a lease and deletes its keys, all at one revision. */
static void revoke_lease(struct kv_store *s, int64_t id)
{
	GPtrArray *keys = g_ptr_array_new();

	for (GTreeNode *n = g_tree_node_first(s->keys); n; n = g_tree_node_next(n)) {
		const struct kv *kv = g_tree_node_value(n);

		if (kv->lease_id == id)
			g_ptr_array_add(keys, kv->key);
	}
	if (keys->len)
		s->revision++;
	for (guint i = 0; i < keys->len; i++)
		delete_key(s, g_ptr_array_index(keys, i));
	g_ptr_array_free(keys, TRUE);
	g_hash_table_remove(s->leases, &id);
}

struct response kv_lease_revoke(struct kv_store *s, const json_t *req, uint64_t now_us)
{
	int64_t id = int64_field(req, "ID");

	(void)now_us;
	if (!g_hash_table_contains(s->leases, &id))
		return response_error(404, GRPC_NOT_FOUND, "etcdserver: requested lease not found");
	revoke_lease(s, id);
	return response_ok(s);
}

uint64_t kv_expire(struct kv_store *s, uint64_t now_us)
{
	uint64_t next_us;
	int64_t expired_id;

	do {
		GHashTableIter it;
		gpointer item;

		expired_id = 0;
		next_us = UINT64_MAX;
		g_hash_table_iter_init(&it, s->leases);
		while (g_hash_table_iter_next(&it, NULL, &item)) {
			const struct lease *l = item;

			if (l->expires_us <= now_us)
				expired_id = l->id;
			next_us = MIN(next_us, l->expires_us);
		}
		if (expired_id)
			revoke_lease(s, expired_id);
	} while (expired_id);
	return next_us;
}

void kv_set_stale_reads(struct kv_store *s, bool stale)
{
	g_clear_pointer(&s->stale_keys, g_tree_destroy);
	if (!stale)
		return;
	s->stale_keys = new_tree();
	s->stale_revision = s->revision;
	for (GTreeNode *n = g_tree_node_first(s->keys); n; n = g_tree_node_next(n))
		g_tree_insert(s->stale_keys, g_tree_node_key(n),
			      g_atomic_rc_box_acquire(g_tree_node_value(n)));
}
