/*
 * Document store on top of the key-value client in store/. Each operation blocks: it runs an event
 * loop of its own until its call is done.
 */
#include "document_store.h"

#include <glib.h>
#include <string.h>

#include "pw/core/error.h"
#include "pw/store/store.h"

#define KEY_FORMAT "pimentowing/%s/document"

struct kv_document_store {
	struct ctl_document_store base;
	char **endpoints;
	char *key;
};

/* Call to the key-value store; stops the loop when the result arrives. */
struct blocking_call {
	struct pw_store_call call;
	struct pw_loop *loop;
	struct pw_store_result *result;
};

static void call_done(struct pw_store_call *c, struct pw_store_result *r)
{
	struct blocking_call *b = (struct blocking_call *)c;

	b->result = r;
	pw_loop_stop(b->loop);
}

static const struct pw_store_call_ops call_ops = { .done = call_done };

/* Request to the key-value store; exactly one of the two members is set. */
struct store_request {
	const struct pw_store_range *range;
	const struct pw_store_txn *txn;
};

/*
 * Runs a request in an event loop of its own. On success `out` receives the result, which may
 * itself report a failure; the caller frees it with pw_store_result_free().
 */
static int run_request(struct kv_document_store *s, const struct store_request *req,
		       struct pw_store_result **out)
{
	struct pw_store_etcd_options o = PW_STORE_ETCD_OPTIONS_INIT;
	struct blocking_call b = { .call = { .ops = &call_ops } };
	struct pw_store *store = NULL;
	int rc = pw_loop_new(&b.loop);

	if (rc)
		return rc;
	o.endpoints = (const char *const *)s->endpoints;
	rc = pw_store_etcd_new(&store, b.loop, &o);
	if (rc)
		goto out;
	rc = req->range ? store->ops->range(store, req->range, PW_STORE_CALL_TIMEOUT_US, &b.call)
			: store->ops->txn(store, req->txn, PW_STORE_CALL_TIMEOUT_US, &b.call);
	if (!rc)
		pw_loop_run(b.loop);
	*out = b.result;
	store->ops->free(store);
out:
	pw_loop_free(b.loop);
	return rc;
}

/* Maps every failure but a conflict to PW_EUNAVAILABLE; see struct ctl_document_store_ops. */
static int to_document_store_code(const struct pw_store_result *r)
{
	if (r->code == PW_OK || r->code == PW_ECONFLICT)
		return r->code;
	return pw_error_set(PW_EUNAVAILABLE, "store: %s", r->message ? r->message : "no answer");
}

static int kv_get(struct ctl_document_store *base, char **text, uint64_t *revision,
		  uint64_t requested_revision)
{
	struct kv_document_store *s = (struct kv_document_store *)base;
	struct pw_store_range range = { .key = s->key, .revision = (int64_t)requested_revision };
	struct store_request req = { .range = &range };
	struct pw_store_result *r = NULL;
	const struct pw_store_range_result *range_result;
	int rc = run_request(s, &req, &r);

	if (rc)
		return rc;
	range_result = (const struct pw_store_range_result *)r;
	if (requested_revision && r->code == PW_ENOTFOUND)
		rc = pw_error_set(PW_ENOTFOUND,
				  "the store does not have revision %" G_GUINT64_FORMAT,
				  requested_revision);
	else
		rc = to_document_store_code(r);
	if (!rc && !range_result->kv_count)
		rc = pw_error_set(PW_ENOTFOUND, "the store has no document under %s", s->key);
	/*
	 * Revisions count the changes of all keys in the store, so the requested one may be a
	 * change of another key.
	 */
	if (!rc && requested_revision &&
	    (uint64_t)range_result->kvs[0].mod_revision != requested_revision)
		rc = pw_error_set(PW_ENOTFOUND,
				  "revision %" G_GUINT64_FORMAT
				  " is not a revision of the document",
				  requested_revision);
	if (!rc) {
		*text = g_strdup(range_result->kvs[0].value);
		*revision = (uint64_t)range_result->kvs[0].mod_revision;
	}
	pw_store_result_free(r);
	return rc;
}

static int kv_put(struct ctl_document_store *base, uint64_t *revision, const char *text,
		  uint64_t expected_revision)
{
	struct kv_document_store *s = (struct kv_document_store *)base;
	struct pw_store_compare compare = {
		.key = s->key,
		.target = PW_STORE_MOD_REVISION,
		.revision = (int64_t)expected_revision,
	};
	struct pw_store_change change = {
		.key = s->key,
		.kind = PW_STORE_PUT,
		.value = text,
		.size_bytes = strlen(text),
	};
	struct pw_store_txn txn = {
		.compares = &compare,
		.compare_count = 1,
		.changes = &change,
		.change_count = 1,
	};
	struct store_request req = { .txn = &txn };
	struct pw_store_result *r = NULL;
	int rc = run_request(s, &req, &r);

	if (rc)
		return rc;
	rc = to_document_store_code(r);
	if (!rc)
		*revision = (uint64_t)r->revision;
	pw_store_result_free(r);
	return rc;
}

static void kv_free(struct ctl_document_store *base)
{
	struct kv_document_store *s = (struct kv_document_store *)base;

	g_strfreev(s->endpoints);
	g_free(s->key);
	g_free(s);
}

static const struct ctl_document_store_ops kv_ops = {
	.get = kv_get,
	.put = kv_put,
	.free = kv_free,
};

int ctl_document_store_open(struct ctl_document_store **out, char **addresses, const char *service)
{
	struct kv_document_store *s = g_new0(struct kv_document_store, 1);
	guint count = g_strv_length(addresses);

	s->base.ops = &kv_ops;
	s->key = g_strdup_printf(KEY_FORMAT, service);
	s->endpoints = g_new0(char *, count + 1);
	for (guint i = 0; i < count; i++)
		s->endpoints[i] = g_strdup_printf("http://%s", addresses[i]);
	*out = &s->base;
	return PW_OK;
}
