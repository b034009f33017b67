#include "json.h"

#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "pw/core/clock.h"
#include "pw/core/error.h"
#include "pw/core/number.h"

static json_t *bytes_to_json(const void *data, size_t size_bytes)
{
	char *text = g_base64_encode(data ? data : "", size_bytes);
	json_t *j = json_string(text);

	g_free(text);
	return j;
}

static json_t *key_to_json(const char *key)
{
	return bytes_to_json(key, strlen(key));
}

static json_t *int64_to_json(int64_t n)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, n);
	return json_string(text);
}

/* Returns the first key after all keys with the prefix. A single zero byte means "no end". */
static json_t *prefix_range_end(const char *prefix)
{
	size_t len = strlen(prefix);
	char *end = g_memdup2(prefix, len + 1);
	json_t *j;

	while (len && (uint8_t)end[len - 1] == 0xff)
		len--;
	if (len)
		end[len - 1]++;
	j = len ? bytes_to_json(end, len) : bytes_to_json("", 1);
	g_free(end);
	return j;
}

/* Serialises a request and releases it. */
static char *dump_and_unref(json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	return text;
}

static void set_key_range(json_t *j, const char *key, bool prefix)
{
	/* The service accepts no empty key. A range of all keys starts at a zero byte. */
	json_object_set_new(j, "key", *key ? key_to_json(key) : bytes_to_json("", 1));
	if (prefix)
		json_object_set_new(j, "range_end", prefix_range_end(key));
}

char *pw_store_json_encode_range(const struct pw_store_range *req)
{
	json_t *j = json_object();

	set_key_range(j, req->key, req->prefix);
	/* The first key after `after_key` is `after_key` with a zero byte appended. */
	if (req->prefix && req->after_key)
		json_object_set_new(j, "key",
				    bytes_to_json(req->after_key, strlen(req->after_key) + 1));
	if (req->limit)
		json_object_set_new(j, "limit", int64_to_json(req->limit));
	if (req->revision)
		json_object_set_new(j, "revision", int64_to_json(req->revision));
	if (req->allow_stale)
		json_object_set_new(j, "serializable", json_true());
	return dump_and_unref(j);
}

static json_t *compare_to_json(const struct pw_store_compare *c)
{
	bool is_mod_revision = c->target == PW_STORE_MOD_REVISION;
	json_t *j = json_object();

	json_object_set_new(j, "key", key_to_json(c->key));
	json_object_set_new(j, "target", json_string(is_mod_revision ? "MOD" : "CREATE"));
	json_object_set_new(j, "result", json_string("EQUAL"));
	json_object_set_new(j, is_mod_revision ? "mod_revision" : "create_revision",
			    int64_to_json(c->revision));
	return j;
}

static json_t *change_to_json(const struct pw_store_change *c)
{
	json_t *op = json_object(), *fields = json_object();

	json_object_set_new(fields, "key", key_to_json(c->key));
	if (c->kind == PW_STORE_DELETE) {
		json_object_set_new(op, "request_delete_range", fields);
		return op;
	}
	json_object_set_new(fields, "value", bytes_to_json(c->value, c->size_bytes));
	if (c->lease_id)
		json_object_set_new(fields, "lease", int64_to_json(c->lease_id));
	json_object_set_new(op, "request_put", fields);
	return op;
}

/* The operations that run after a failed comparison read the compared keys. */
char *pw_store_json_encode_txn(const struct pw_store_txn *req)
{
	json_t *j = json_object(), *compares = json_array();
	json_t *success = json_array(), *failure = json_array();

	for (size_t i = 0; i < req->compare_count; i++) {
		json_t *fields = json_object(), *op = json_object();

		json_array_append_new(compares, compare_to_json(&req->compares[i]));
		json_object_set_new(fields, "key", key_to_json(req->compares[i].key));
		json_object_set_new(op, "request_range", fields);
		json_array_append_new(failure, op);
	}
	for (size_t i = 0; i < req->change_count; i++)
		json_array_append_new(success, change_to_json(&req->changes[i]));
	json_object_set_new(j, "compare", compares);
	json_object_set_new(j, "success", success);
	json_object_set_new(j, "failure", failure);
	return dump_and_unref(j);
}

char *pw_store_json_encode_lease_grant(uint64_t ttl_us)
{
	json_t *j = json_object();

	json_object_set_new(j, "TTL",
			    int64_to_json((int64_t)((ttl_us + PW_US_PER_S - 1) / PW_US_PER_S)));
	return dump_and_unref(j);
}

char *pw_store_json_encode_lease_id(int64_t lease_id)
{
	json_t *j = json_object();

	json_object_set_new(j, "ID", int64_to_json(lease_id));
	return dump_and_unref(j);
}

char *pw_store_json_encode_watch(const struct pw_store_watch *req)
{
	json_t *j = json_object(), *create = json_object();

	set_key_range(create, req->key, req->prefix);
	if (req->start_revision)
		json_object_set_new(create, "start_revision", int64_to_json(req->start_revision));
	json_object_set_new(create, "progress_notify", json_true());
	json_object_set_new(j, "create_request", create);
	return dump_and_unref(j);
}

struct pw_store_result *pw_store_result_new(enum pw_store_kind kind, int32_t code,
					    const char *message)
{
	static const size_t sizes[] = {
		[PW_STORE_RANGE] = sizeof(struct pw_store_range_result),
		[PW_STORE_TXN] = sizeof(struct pw_store_txn_result),
		[PW_STORE_LEASE_GRANT] = sizeof(struct pw_store_lease_result),
		[PW_STORE_LEASE_KEEP_ALIVE] = sizeof(struct pw_store_lease_result),
		[PW_STORE_LEASE_REVOKE] = sizeof(struct pw_store_lease_result),
		[PW_STORE_WATCH] = sizeof(struct pw_store_watch_result),
	};
	struct pw_store_result *r = g_malloc0(sizes[kind]);

	r->kind = kind;
	r->code = code;
	r->message = g_strdup(message);
	return r;
}

static void kv_clear(struct pw_store_kv *kv)
{
	g_free(kv->key);
	g_free(kv->value);
}

static void kvs_free(struct pw_store_kv *kvs, size_t count)
{
	for (size_t i = 0; i < count; i++)
		kv_clear(&kvs[i]);
	g_free(kvs);
}

void pw_store_result_free(struct pw_store_result *r)
{
	if (!r)
		return;
	if (r->kind == PW_STORE_RANGE) {
		struct pw_store_range_result *rr = (struct pw_store_range_result *)r;

		kvs_free(rr->kvs, rr->kv_count);
	} else if (r->kind == PW_STORE_TXN) {
		struct pw_store_txn_result *tr = (struct pw_store_txn_result *)r;

		kvs_free(tr->kvs, tr->kv_count);
	} else if (r->kind == PW_STORE_WATCH) {
		struct pw_store_watch_result *wr = (struct pw_store_watch_result *)r;

		for (size_t i = 0; i < wr->event_count; i++)
			kv_clear(&wr->events[i].kv);
		g_free(wr->events);
	}
	g_free(r->message);
	g_free(r);
}

/*
 * The functions get_*() and decode_*() return false for a field of a wrong type or format. A
 * missing field reads as zero.
 */

static bool get_int64(const json_t *j, const char *name, int64_t *out)
{
	json_t *field = json_object_get(j, name);

	*out = 0;
	if (!field)
		return true;
	if (json_is_integer(field)) {
		*out = json_integer_value(field);
		return true;
	}
	return json_is_string(field) &&
	       pw_number_parse_signed(out, json_string_value(field), INT64_MIN, INT64_MAX);
}

static bool get_bool(const json_t *j, const char *name, bool *out)
{
	json_t *field = json_object_get(j, name);

	*out = json_is_true(field);
	return !field || json_is_boolean(field);
}

/* Checks for base64 with padding, since GLib's decoder silently skips invalid characters. */
static bool is_base64(const char *text)
{
	size_t len = strlen(text);
	size_t data_len = strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
				       "0123456789+/");

	return len % 4 == 0 && len - data_len <= 2 &&
	       strspn(text + data_len, "=") == len - data_len;
}

/* Decodes a base64 field. The caller frees `out`, which ends with a NUL. */
static bool get_bytes(const json_t *j, const char *name, char **out, size_t *size_bytes)
{
	json_t *field = json_object_get(j, name);
	const char *text = field ? json_string_value(field) : "";
	guchar *data;
	gsize size = 0;

	if (!text || !is_base64(text))
		return false;
	data = g_base64_decode(text, &size);
	*out = g_malloc(size + 1);
	if (size)
		memcpy(*out, data, size);
	(*out)[size] = '\0';
	*size_bytes = size;
	g_free(data);
	return true;
}

/* Refuses keys with a zero byte, which a C string cannot hold. */
static bool decode_kv(const json_t *j, struct pw_store_kv *kv)
{
	size_t key_size_bytes = 0;

	return json_is_object(j) && get_bytes(j, "key", &kv->key, &key_size_bytes) &&
	       strlen(kv->key) == key_size_bytes &&
	       get_bytes(j, "value", &kv->value, &kv->size_bytes) &&
	       get_int64(j, "create_revision", &kv->create_revision) &&
	       get_int64(j, "mod_revision", &kv->mod_revision) &&
	       get_int64(j, "version", &kv->version) && get_int64(j, "lease", &kv->lease_id);
}

/* Gets the length of an array, 0 if it is missing. Returns false if it is not an array. */
static bool get_array_size(const json_t *j, size_t *out)
{
	*out = json_array_size(j);
	return !j || json_is_array(j);
}

static bool decode_range(const json_t *j, struct pw_store_range_result *r)
{
	json_t *kvs = json_object_get(j, "kvs");
	size_t count;

	if (!get_array_size(kvs, &count) || !get_bool(j, "more", &r->has_more))
		return false;
	r->kvs = g_new0(struct pw_store_kv, count);
	r->kv_count = count;
	for (size_t i = 0; i < count; i++) {
		if (!decode_kv(json_array_get(kvs, i), &r->kvs[i]))
			return false;
	}
	return true;
}

/* After a failed comparison, the responses are the compared keys; a missing key has no item. */
static bool decode_txn(const json_t *j, struct pw_store_txn_result *r)
{
	json_t *responses = json_object_get(j, "responses");
	bool succeeded;
	size_t count;

	if (!get_bool(j, "succeeded", &succeeded) || !get_array_size(responses, &count))
		return false;
	if (succeeded)
		return true;
	r->base.code = PW_ECONFLICT;
	r->base.message = g_strdup("a compared key has another revision");
	r->kvs = g_new0(struct pw_store_kv, count);
	r->kv_count = count;
	for (size_t i = 0; i < count; i++) {
		json_t *range = json_object_get(json_array_get(responses, i), "response_range");
		json_t *kvs = json_object_get(range, "kvs");

		if (!json_is_object(range) || (kvs && !json_is_array(kvs)))
			return false;
		if (json_array_size(kvs) && !decode_kv(json_array_get(kvs, 0), &r->kvs[i]))
			return false;
	}
	return true;
}

static bool decode_lease(const json_t *j, struct pw_store_lease_result *r)
{
	int64_t ttl_s;

	if (!get_int64(j, "ID", &r->lease_id) || !get_int64(j, "TTL", &ttl_s) || ttl_s < 0 ||
	    (uint64_t)ttl_s > UINT64_MAX / PW_US_PER_S)
		return false;
	r->ttl_us = (uint64_t)ttl_s * PW_US_PER_S;
	if (r->base.kind == PW_STORE_LEASE_REVOKE)
		return true;
	/* The service reports a lease that does not exist by a time to live of 0. */
	if (r->base.kind == PW_STORE_LEASE_KEEP_ALIVE && !ttl_s) {
		r->base.code = PW_ENOTFOUND;
		r->base.message = g_strdup("the lease does not exist");
		return true;
	}
	return r->lease_id && ttl_s;
}

static bool decode_event(const json_t *j, struct pw_store_event *e)
{
	json_t *type = json_object_get(j, "type");
	const char *name = type ? json_string_value(type) : "PUT";

	if (!name || (strcmp(name, "PUT") != 0 && strcmp(name, "DELETE") != 0))
		return false;
	e->kind = *name == 'D' ? PW_STORE_DELETE : PW_STORE_PUT;
	return decode_kv(json_object_get(j, "kv"), &e->kv) && e->kv.mod_revision > 0;
}

static bool decode_watch(const json_t *j, struct pw_store_watch_result *r)
{
	json_t *events = json_object_get(j, "events");
	json_t *reason = json_object_get(j, "cancel_reason");
	int64_t compact_revision;
	size_t count;

	if (!get_bool(j, "created", &r->just_opened) || !get_bool(j, "canceled", &r->is_last) ||
	    !get_int64(j, "compact_revision", &compact_revision) || !get_array_size(events, &count))
		return false;
	if (r->is_last) {
		const char *text = json_string_value(reason);

		r->base.code = compact_revision ? PW_ENOTFOUND : PW_EINVALID;
		r->base.message = compact_revision
					  ? g_strdup("the start revision was compacted")
					  : g_strdup(text ? text : "the store refused the watch");
	}
	r->events = g_new0(struct pw_store_event, count);
	r->event_count = count;
	for (size_t i = 0; i < count; i++) {
		if (!decode_event(json_array_get(events, i), &r->events[i]))
			return false;
	}
	return true;
}

/* Decodes a response, without the wrapper of streaming calls, into a result of its kind. */
static bool decode(const json_t *j, struct pw_store_result *r)
{
	json_t *header = json_object_get(j, "header");

	if (!json_is_object(header) || !get_int64(header, "revision", &r->revision))
		return false;
	switch (r->kind) {
	case PW_STORE_RANGE:
		return decode_range(j, (struct pw_store_range_result *)r);
	case PW_STORE_TXN:
		return decode_txn(j, (struct pw_store_txn_result *)r);
	case PW_STORE_WATCH:
		return decode_watch(j, (struct pw_store_watch_result *)r);
	case PW_STORE_LEASE_GRANT:
	case PW_STORE_LEASE_KEEP_ALIVE:
	case PW_STORE_LEASE_REVOKE:
		return decode_lease(j, (struct pw_store_lease_result *)r);
	}
	return false;
}

struct pw_store_result *pw_store_json_decode_response(enum pw_store_kind kind, const char *text,
						      size_t size_bytes)
{
	struct pw_store_result *r = pw_store_result_new(kind, PW_OK, NULL);
	json_t *j = json_loadb(text, size_bytes, 0, NULL), *body = j;

	/* Responses of streaming calls are wrapped in an object with `result` or `error`. */
	if (kind == PW_STORE_WATCH || kind == PW_STORE_LEASE_KEEP_ALIVE)
		body = json_object_get(j, "result");
	if (!body || !decode(body, r)) {
		char *message = pw_store_json_error_text(text, size_bytes);

		pw_store_result_free(r);
		r = pw_store_result_new(kind, PW_EINVALID,
					message ? message : "malformed response from the store");
		g_free(message);
	}
	json_decref(j);
	return r;
}

/*
 * Streaming calls report an error as an object in `error`. Other calls report it in the fields
 * `code`, `message` and `error` of the response itself; `error` is then a string.
 */

int64_t pw_store_json_error_code(const char *text, size_t size_bytes)
{
	json_t *j = json_loadb(text, size_bytes, 0, NULL);
	json_t *error = json_object_get(j, "error");
	int64_t code =
		json_integer_value(json_object_get(json_is_object(error) ? error : j, "code"));

	json_decref(j);
	return code;
}

char *pw_store_json_error_text(const char *text, size_t size_bytes)
{
	json_t *j = json_loadb(text, size_bytes, 0, NULL);
	json_t *error = json_object_get(j, "error");
	json_t *message = json_object_get(json_is_object(error) ? error : j, "message");
	char *copy;

	if (!json_is_string(message))
		message = json_is_string(error) ? error : NULL;
	copy = g_strdup(json_string_value(message));
	json_decref(j);
	return copy;
}
