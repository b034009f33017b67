#include "admin.h"

#include <glib.h>
#include <inttypes.h>
#include <microhttpd.h>
#include <openssl/crypto.h>
#include <string.h>

#include "../directory.h"
#include "../traffic/explain.h"
#include "../traffic/front.h"
#include "../traffic/request.h"
#include "catalog.h"
#include "cluster.h"
#include "metrics.h"
#include "peers.h"
#include "pw/core/address.h"
#include "pw/core/clock.h"
#include "pw/core/error.h"
#include "pw/core/event.h"
#include "pw/core/number.h"
#include "pw/core/tls.h"
#include "store.h"

/*
 * Time for which a VM that has lost the quorum lease (with a catalogue: its permit) stays ready.
 * Without the lease it refuses all statements that are charged to accounts, so callers should go to
 * other VMs. They should not do so for the gap in the lease during a change of epoch, which is
 * shorter than this.
 */
#define READY_WITHOUT_LEASE_US UINT64_C(1000000)
/* Maximum number of open connections. It bounds the memory: each buffers at most one document. */
#define CONNECTIONS_MAX 32
/* Maximum size of the bodies of all requests together. */
#define BODIES_MAX_BYTES (UINT64_C(4) * PW_DOCUMENT_MAX_BYTES)
/* Idle time after which a connection is closed. */
#define CONNECTION_TIMEOUT_S 10

struct admin;

/* Daemon of the HTTP library, libmicrohttpd. Its certificate is fixed while it runs. */
struct http_daemon {
	struct admin *admin;
	struct MHD_Daemon *mhd;  /**< NULL: not running */
	struct pw_source source; /**< epoll descriptor of the daemon */
	struct pw_timer timer;   /**< next timeout of the daemon */
};

struct admin {
	struct pw_task task;
	const struct pw_directory *directory;
	/** One listens; the other one, after a change of the certificate, finishes its requests. */
	struct http_daemon daemons[2];
	uint32_t listening_index; /**< index of the daemon that listens */
	struct pw_tls_files tls;
	struct pw_timer tls_timer;   /**< next check of the TLS files */
	GHashTable *status_sections; /**< name -> JSON value as text */
	uint32_t bodies_bytes;       /**< size of the bodies of all requests */
	GHashTable *pending_changes; /**< tag -> struct api_request that waits for another task */
	const struct pw_document *document;
	uint64_t last_tag;
	uint64_t fresh_until_us; /**< the document in force is fresh until then */
	uint64_t lease_until_us; /**< latest end of a quorum lease or a permit; 0: none yet */
	/* What has arrived, with a binding that has a catalogue: */
	bool has_catalog;
	bool has_servers;
	bool has_primaries;
	bool draining; /**< a planned stop has begun */
};

/* An HTTP request that has not been completed. */
struct api_request {
	struct admin *admin;
	struct http_daemon *daemon;
	struct MHD_Connection *connection;
	GByteArray *body;
	uint64_t change_tag;          /**< tag of the change that it waits for; 0: none */
	unsigned int response_status; /**< HTTP status that reports the result of the change */
	char *response_text;          /**< body; NULL before the store has responded */
	bool body_too_large;
};

static void status_destroy(struct pw_msg *m)
{
	struct pw_admin_status *s = (struct pw_admin_status *)m;

	g_free(s->section);
	g_free(s->json);
	g_free(s);
}

static const struct pw_msg_ops status_ops = { .name = "admin_status", .destroy = status_destroy };

struct pw_msg *pw_admin_status_msg(const char *section, char *json)
{
	struct pw_admin_status *s = g_new0(struct pw_admin_status, 1);

	s->base.ops = &status_ops;
	s->section = g_strdup(section);
	s->json = json;
	return &s->base;
}

char *pw_document_key(const char *service)
{
	return g_strdup_printf("pimentowing/%s/document", service);
}

static enum MHD_Result respond(struct MHD_Connection *c, unsigned int status, const char *type,
			       const char *text, uint64_t revision)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(text), (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;
	char etag[32];

	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	if (revision) {
		g_snprintf(etag, sizeof(etag), "\"%" PRIu64 "\"", revision);
		MHD_add_response_header(response, MHD_HTTP_HEADER_ETAG, etag);
	}
	rc = MHD_queue_response(c, status, response);
	MHD_destroy_response(response);
	return rc;
}

static enum MHD_Result respond_text(struct MHD_Connection *c, unsigned int status, const char *text)
{
	return respond(c, status, "text/plain; charset=utf-8", text, 0);
}

static bool is_authorized(const struct admin *a, struct MHD_Connection *c)
{
	static const char scheme[] = "Bearer ";
	const char *header =
		MHD_lookup_connection_value(c, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION);
	const char *token = a->directory->settings->api_token;

	if (!token || !*token || !header || !g_str_has_prefix(header, scheme))
		return false;
	header += strlen(scheme);
	return strlen(header) == strlen(token) && CRYPTO_memcmp(header, token, strlen(token)) == 0;
}

static enum MHD_Result get_health(struct api_request *req)
{
	return respond_text(req->connection, MHD_HTTP_OK, "ok\n");
}

/* Returns whether the VM has begun a planned stop or operators drain it through the document. */
static bool is_draining(const struct admin *a)
{
	return a->draining ||
	       (a->document &&
		pw_document_is_draining(a->document, a->directory->settings->vm_name));
}

static enum MHD_Result get_ready(struct api_request *req)
{
	const struct admin *a = req->admin;

	if (is_draining(a))
		return respond_text(req->connection, MHD_HTTP_SERVICE_UNAVAILABLE, "draining\n");
	if (a->directory->binding->catalog ? !a->has_catalog || !a->has_servers || !a->has_primaries
					   : !a->document)
		return respond_text(req->connection, MHD_HTTP_SERVICE_UNAVAILABLE,
				    "no configuration\n");
	if (pw_loop_now_us(a->task.loop) >= a->lease_until_us + READY_WITHOUT_LEASE_US)
		return respond_text(req->connection, MHD_HTTP_SERVICE_UNAVAILABLE,
				    "no quorum lease\n");
	return respond_text(req->connection, MHD_HTTP_OK, "ready\n");
}

static enum MHD_Result get_metrics(struct api_request *req)
{
	char *text = pw_metrics_format();
	enum MHD_Result rc = respond(req->connection, MHD_HTTP_OK, PW_METRICS_TYPE, text, 0);

	g_free(text);
	return rc;
}

static enum MHD_Result get_status(struct api_request *req)
{
	const struct admin *a = req->admin;
	GString *json = g_string_new("{");
	GHashTableIter it;
	gpointer key, value;
	enum MHD_Result rc;

	g_string_append_printf(json, "\"vm\":\"%s\",\"availability_zone\":\"%s\"",
			       a->directory->settings->vm_name,
			       a->directory->settings->availability_zone);
	g_string_append_printf(json, ",\"revision\":%" PRIu64 ",\"fresh\":%s,\"draining\":%s",
			       a->document ? a->document->revision : 0,
			       pw_loop_now_us(a->task.loop) < a->fresh_until_us ? "true" : "false",
			       is_draining(a) ? "true" : "false");
	g_hash_table_iter_init(&it, a->status_sections);
	while (g_hash_table_iter_next(&it, &key, &value))
		g_string_append_printf(json, ",\"%s\":%s", (char *)key, (char *)value);
	g_string_append(json, "}\n");
	rc = respond(req->connection, MHD_HTTP_OK, "application/json", json->str, 0);
	g_string_free(json, TRUE);
	return rc;
}

static enum MHD_Result get_document(struct api_request *req)
{
	const struct pw_document *d = req->admin->document;

	if (!d)
		return respond_text(req->connection, MHD_HTTP_NOT_FOUND, "no document\n");
	return respond(req->connection, MHD_HTTP_OK, "application/json", d->text, d->revision);
}

/*
 * Reads the revision to replace from `If-Match: "N"`; revision 0 creates the document. Returns
 * false if the header is missing or malformed.
 */
static bool parse_if_match(struct api_request *req, int64_t *out)
{
	const char *header = MHD_lookup_connection_value(req->connection, MHD_HEADER_KIND,
							 MHD_HTTP_HEADER_IF_MATCH);
	char *digits;
	bool ok;

	if (!header)
		return false;
	digits = g_strdup(header);
	g_strdelimit(digits, "\"", ' ');
	ok = pw_number_parse_signed(out, g_strstrip(digits), 0, INT64_MAX);
	g_free(digits);
	return ok;
}

/* Returns NULL if the document is valid, else a report of the findings. */
static char *validate_document(const GByteArray *body)
{
	const struct pw_document *d = NULL;
	struct pw_findings *f = NULL;
	char *report = NULL;

	pw_findings_new(&f);
	if (pw_document_parse(&d, (const char *)body->data, body->len, 0, f))
		report = pw_findings_format(f);
	pw_document_unref(d);
	pw_findings_free(f);
	return report;
}

static void send_document_change(struct api_request *req, int64_t revision)
{
	struct admin *a = req->admin;
	char *key = pw_document_key(a->directory->settings->service_name);
	struct pw_store_compare compare = {
		.key = key,
		.target = PW_STORE_MOD_REVISION,
		.revision = revision,
	};
	struct pw_store_change change = {
		.key = key,
		.kind = PW_STORE_PUT,
		.value = req->body->data,
		.size_bytes = req->body->len,
	};
	struct pw_store_txn txn = {
		.compares = &compare,
		.compare_count = 1,
		.changes = &change,
		.change_count = 1,
	};

	req->change_tag = ++a->last_tag;
	g_hash_table_insert(a->pending_changes, &req->change_tag, req);
	MHD_suspend_connection(req->connection);
	pw_mailbox_send(a->directory->store, pw_store_txn_msg_new(a->task.inbox, req->change_tag,
								  PW_STORE_CALL_TIMEOUT_US, &txn));
	g_free(key);
}

/*
 * Sends a valid document to the store and suspends the connection. When the store has responded,
 * the connection is resumed and the library calls this function again, which then responds.
 */
static enum MHD_Result put_document(struct api_request *req)
{
	int64_t revision;
	char *report;
	enum MHD_Result rc;

	if (req->response_text)
		return respond_text(req->connection, req->response_status, req->response_text);
	if (req->body_too_large)
		return respond_text(req->connection, MHD_HTTP_CONTENT_TOO_LARGE,
				    "the document is larger than the store accepts\n");
	if (!parse_if_match(req, &revision))
		return respond_text(
			req->connection, MHD_HTTP_PRECONDITION_REQUIRED,
			"If-Match with the revision to replace is missing or malformed\n");
	report = validate_document(req->body);
	if (report) {
		rc = respond_text(req->connection, MHD_HTTP_UNPROCESSABLE_CONTENT, report);
		g_free(report);
		return rc;
	}
	send_document_change(req, revision);
	return MHD_YES;
}

static const char *query_argument(struct api_request *req, const char *name)
{
	return MHD_lookup_connection_value(req->connection, MHD_GET_ARGUMENT_KIND, name);
}

/* Parses a log position, TERM.NUMBER. */
static bool parse_position(struct pw_position *out, const char *text)
{
	char **parts = g_strsplit(text, ".", 3);
	int64_t term, lsn;
	bool ok = g_strv_length(parts) == 2 &&
		  pw_number_parse_signed(&term, parts[0], 0, INT64_MAX) &&
		  pw_number_parse_signed(&lsn, parts[1], 0, INT64_MAX);

	g_strfreev(parts);
	if (ok)
		*out = (struct pw_position){ .term = (uint64_t)term, .lsn = (uint64_t)lsn };
	return ok;
}

/* Asks the first gateway task which server a statement would get; its answer resumes the request.
 */
static enum MHD_Result get_explain(struct api_request *req)
{
	struct admin *a = req->admin;
	const char *position = query_argument(req, "position");
	struct pw_explain_query q = {
		.account = query_argument(req, "account"),
		.database = query_argument(req, "database"),
		.kind = query_argument(req, "kind"),
		.has_position = position != NULL,
	};

	if (req->response_text)
		return respond(req->connection, req->response_status,
			       req->response_status == MHD_HTTP_OK ? "application/json"
								   : "text/plain; charset=utf-8",
			       req->response_text, 0);
	if (!a->directory->gateway_count)
		return respond_text(req->connection, MHD_HTTP_NOT_FOUND,
				    "this binding has no gateway tasks\n");
	if (!q.account || !q.database || !q.kind)
		return respond_text(req->connection, MHD_HTTP_BAD_REQUEST,
				    "account, database and kind are needed\n");
	if (position && !parse_position(&q.position, position))
		return respond_text(req->connection, MHD_HTTP_BAD_REQUEST,
				    "the position has to be TERM.NUMBER\n");
	req->change_tag = ++a->last_tag;
	g_hash_table_insert(a->pending_changes, &req->change_tag, req);
	MHD_suspend_connection(req->connection);
	pw_mailbox_send(a->directory->gateways[0],
			pw_explain_msg_new(a->task.inbox, req->change_tag, &q));
	return MHD_YES;
}

/*
 * Has a server of a replica set forgotten, so that changes of primary do not wait for it. Without a
 * server, the registered servers become the set of a database that has none.
 */
static enum MHD_Result delete_replica(struct api_request *req)
{
	struct admin *a = req->admin;
	const char *database = query_argument(req, "database");

	if (req->response_text)
		return respond_text(req->connection, req->response_status, req->response_text);
	if (!a->directory->cluster)
		return respond_text(req->connection, MHD_HTTP_NOT_FOUND,
				    "this binding has no replica sets\n");
	if (!database)
		return respond_text(req->connection, MHD_HTTP_BAD_REQUEST,
				    "the database is needed\n");
	req->change_tag = ++a->last_tag;
	g_hash_table_insert(a->pending_changes, &req->change_tag, req);
	MHD_suspend_connection(req->connection);
	pw_mailbox_send(a->directory->cluster,
			pw_replica_forget_msg_new(a->task.inbox, req->change_tag, database,
						  query_argument(req, "server")));
	return MHD_YES;
}

/* Methods and paths of the API. */
static const struct {
	const char *method;
	const char *path;
	bool is_public; /**< needs no credentials */
	enum MHD_Result (*handle)(struct api_request *req);
} api_paths[] = {
	{ "GET", "/healthz", true, get_health },
	{ "GET", "/readyz", true, get_ready },
	{ "GET", "/metrics", false, get_metrics },
	{ "GET", "/v1/status", false, get_status },
	{ "GET", "/v1/explain", false, get_explain },
	{ "GET", "/v1/document", false, get_document },
	{ "PUT", "/v1/document", false, put_document },
	{ "DELETE", "/v1/replica-set", false, delete_replica },
};

static enum MHD_Result dispatch(struct api_request *req, const char *method, const char *path)
{
	for (size_t i = 0; i < G_N_ELEMENTS(api_paths); i++) {
		if (strcmp(api_paths[i].method, method) != 0 ||
		    strcmp(api_paths[i].path, path) != 0)
			continue;
		if (!api_paths[i].is_public && !is_authorized(req->admin, req->connection))
			return respond_text(req->connection, MHD_HTTP_UNAUTHORIZED,
					    "operator credentials are missing or wrong\n");
		return api_paths[i].handle(req);
	}
	return respond_text(req->connection, MHD_HTTP_NOT_FOUND, "no such path\n");
}

/* Frees the body of a request, and takes its size from that of all. */
static void drop_body(struct api_request *req)
{
	req->admin->bodies_bytes -= req->body->len;
	g_byte_array_unref(req->body);
	req->body = NULL;
}

/* Adds a part of the body. The whole body is dropped if it gets too large. */
static void add_to_body(struct api_request *req, const char *data, size_t size_bytes)
{
	if (req->body_too_large)
		return;
	if (req->body->len + size_bytes > PW_DOCUMENT_MAX_BYTES ||
	    req->admin->bodies_bytes + size_bytes > BODIES_MAX_BYTES) {
		req->body_too_large = true;
		drop_body(req);
		req->body = g_byte_array_new();
		return;
	}
	g_byte_array_append(req->body, (const guint8 *)data, (guint)size_bytes);
	req->admin->bodies_bytes += (uint32_t)size_bytes;
}

/* Called by the library after the headers, for each part of the body, and once without data. */
static enum MHD_Result handle_request(void *data, struct MHD_Connection *connection,
				      const char *url, const char *method, const char *version,
				      const char *upload, size_t *upload_size, void **state)
{
	struct http_daemon *h = data;
	struct api_request *req = *state;

	(void)version;
	if (!req) {
		req = g_new0(struct api_request, 1);
		req->admin = h->admin;
		req->daemon = h;
		req->connection = connection;
		req->body = g_byte_array_new();
		*state = req;
		return MHD_YES;
	}
	if (*upload_size) {
		add_to_body(req, upload, *upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	return dispatch(req, method, url);
}

static void request_completed(void *data, struct MHD_Connection *connection, void **state,
			      enum MHD_RequestTerminationCode code)
{
	struct api_request *req = *state;

	(void)data;
	(void)connection;
	(void)code;
	if (!req)
		return;
	if (req->change_tag)
		g_hash_table_remove(req->admin->pending_changes, &req->change_tag);
	drop_body(req);
	g_free(req->response_text);
	g_free(req);
	*state = NULL;
}

/* Runs the daemon once and sets the timer to its next timeout. */
static void run_daemon(struct http_daemon *h)
{
	struct pw_loop *loop = h->admin->task.loop;
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	if (!h->mhd)
		return;
	MHD_run(h->mhd);
	if (MHD_get_timeout(h->mhd, &timeout_ms) == MHD_YES)
		pw_loop_timer_set(loop, &h->timer,
				  pw_loop_now_us(loop) + timeout_ms * PW_US_PER_MS);
	else
		pw_loop_timer_clear(loop, &h->timer);
}

static void daemon_ready(struct pw_source *s, uint32_t events)
{
	(void)events;
	run_daemon((struct http_daemon *)((char *)s - offsetof(struct http_daemon, source)));
}

static void daemon_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	(void)now_us;
	run_daemon((struct http_daemon *)((char *)t - offsetof(struct http_daemon, timer)));
}

static const struct pw_source_ops daemon_source_ops = { .ready = daemon_ready };
static const struct pw_timer_ops daemon_timer_ops = { .expire = daemon_timer_expired };

static void set_change_response(struct api_request *req, const struct pw_store_result *r)
{
	switch (r->code) {
	case PW_OK:
		req->response_status = MHD_HTTP_OK;
		req->response_text = g_strdup_printf("{\"revision\":%" PRId64 "}\n", r->revision);
		break;
	case PW_ECONFLICT:
		req->response_status = MHD_HTTP_PRECONDITION_FAILED;
		req->response_text = g_strdup("the document was changed by someone else\n");
		break;
	default:
		req->response_status =
			r->maybe_applied ? MHD_HTTP_GATEWAY_TIMEOUT : MHD_HTTP_SERVICE_UNAVAILABLE;
		req->response_text = g_strdup(
			r->maybe_applied ? "the store did not answer; the change may have "
					   "taken effect\n"
					 : "the store is unavailable; nothing was changed\n");
		break;
	}
}

/* Returns the request that waits for the answer with this tag; NULL: it was ended. */
static struct api_request *take_pending(struct admin *a, uint64_t tag)
{
	struct api_request *req = g_hash_table_lookup(a->pending_changes, &tag);

	if (!req)
		return NULL;
	g_hash_table_remove(a->pending_changes, &tag);
	req->change_tag = 0;
	return req;
}

static void resume(struct api_request *req)
{
	struct admin *a = req->admin;

	MHD_resume_connection(req->connection);
	for (size_t i = 0; i < G_N_ELEMENTS(a->daemons); i++)
		run_daemon(&a->daemons[i]);
}

static void handle_store_result(struct admin *a, const struct pw_store_result_msg *m)
{
	struct api_request *req = take_pending(a, m->tag);

	if (!req)
		return;
	set_change_response(req, m->result);
	pw_event_log(PW_EVENT_ADMIN_CHANGE, "object=document status=%u", req->response_status);
	resume(req);
}

/* Returns the HTTP status for the code of another task's answer. */
static unsigned int answer_status(int32_t code)
{
	switch (code) {
	case PW_OK:
		return MHD_HTTP_OK;
	case PW_ENOTFOUND:
		return MHD_HTTP_NOT_FOUND;
	case PW_EINVALID:
		return MHD_HTTP_BAD_REQUEST;
	case PW_ECONFLICT:
		return MHD_HTTP_CONFLICT;
	case PW_ETIMEOUT:
		return MHD_HTTP_GATEWAY_TIMEOUT;
	default:
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	}
}

static void handle_explained(struct admin *a, struct pw_explained_msg *m)
{
	struct api_request *req = take_pending(a, m->tag);

	if (!req)
		return;
	req->response_status = answer_status(m->code);
	req->response_text = g_steal_pointer(&m->text);
	resume(req);
}

static void handle_forgotten(struct admin *a, struct pw_replica_forgotten_msg *m)
{
	struct api_request *req = take_pending(a, m->tag);

	if (!req)
		return;
	req->response_status = answer_status(m->code);
	req->response_text = g_steal_pointer(&m->text);
	pw_event_log(PW_EVENT_ADMIN_CHANGE, "object=replica-set status=%u", req->response_status);
	resume(req);
}

static void admin_receive(struct pw_task *t, struct pw_msg *m)
{
	struct admin *a = (struct admin *)t;

	if (m->ops == &status_ops) {
		struct pw_admin_status *status = (struct pw_admin_status *)m;

		g_hash_table_replace(a->status_sections, g_strdup(status->section),
				     g_strdup(status->json));
	} else if (m->ops == &pw_snapshot_ops) {
		pw_document_unref(a->document);
		a->document = pw_document_ref(((struct pw_snapshot *)m)->document);
	} else if (m->ops == &pw_freshness_ops) {
		a->fresh_until_us = ((struct pw_freshness *)m)->fresh_until_us;
	} else if (m->ops == &pw_lease_msg_ops) {
		a->lease_until_us =
			MAX(a->lease_until_us, ((struct pw_lease_msg *)m)->lease_until_us);
	} else if (m->ops == &pw_catalog_msg_ops) {
		a->has_catalog = true;
	} else if (m->ops == &pw_servers_msg_ops) {
		a->has_servers = true;
	} else if (m->ops == &pw_primaries_msg_ops) {
		a->has_primaries = ((struct pw_primaries_msg *)m)->primaries != NULL;
		a->lease_until_us =
			MAX(a->lease_until_us, ((struct pw_primaries_msg *)m)->permit_until_us);
	} else if (m->ops == &pw_drain_ops) {
		a->draining = true;
	} else if (m->ops == &pw_store_result_msg_ops) {
		handle_store_result(a, (struct pw_store_result_msg *)m);
	} else if (m->ops == &pw_explained_msg_ops) {
		handle_explained(a, (struct pw_explained_msg *)m);
	} else if (m->ops == &pw_replica_forgotten_msg_ops) {
		handle_forgotten(a, (struct pw_replica_forgotten_msg *)m);
	}
	pw_msg_free(m);
}

/* Contents of the PEM files, as the HTTP library takes them; NULL without TLS. */
struct pem_files {
	char *certificate;
	char *key;
	gsize key_size_bytes;
};

/* Reads the files that the settings name, if any. The caller clears `p`, also after a failure. */
static int read_pem_files(struct pem_files *p, const struct pw_process_settings *s)
{
	*p = (struct pem_files){ 0 };
	if (!s->tls_certificate)
		return PW_OK;
	if (!g_file_get_contents(s->tls_certificate, &p->certificate, NULL, NULL) ||
	    !g_file_get_contents(s->tls_key, &p->key, &p->key_size_bytes, NULL))
		return pw_error_set(PW_ESYSTEM, "cannot read the TLS certificate or its key file");
	return PW_OK;
}

static void clear_pem_files(struct pem_files *p)
{
	if (p->key)
		OPENSSL_cleanse(p->key, p->key_size_bytes);
	g_free(p->key);
	g_free(p->certificate);
}

/*
 * Starts the daemon of the HTTP library. `listen_fd` is the listening socket of the former daemon,
 * or -1 to open a new one.
 */
static int start_daemon(struct http_daemon *h, int listen_fd)
{
	struct admin *a = h->admin;
	const struct pw_process_settings *s = a->directory->settings;
	unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
	const union MHD_DaemonInfo *info;
	struct pw_address listen_address;
	struct pem_files pem = { 0 };
	int rc = pw_address_parse(&listen_address, s->api_address);

	if (!rc)
		rc = read_pem_files(&pem, s);
	if (rc)
		goto out;
	struct MHD_OptionItem new_socket_options[] = {
		{ MHD_OPTION_SOCK_ADDR, 0, &listen_address.socket },
		{ MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, NULL },
		{ MHD_OPTION_END, 0, NULL },
	};
	struct MHD_OptionItem inherited_socket_options[] = {
		{ MHD_OPTION_LISTEN_SOCKET, listen_fd, NULL },
		{ MHD_OPTION_END, 0, NULL },
	};
	struct MHD_OptionItem tls_options[] = {
		{ MHD_OPTION_HTTPS_MEM_CERT, 0, pem.certificate },
		{ MHD_OPTION_HTTPS_MEM_KEY, 0, pem.key },
		{ MHD_OPTION_END, 0, NULL },
	};

	if (listen_address.socket.ss_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	if (pem.certificate)
		flags |= MHD_USE_TLS;
	/* Without TLS, only the last entry of `tls_options` is passed, which ends the list. */
	h->mhd = MHD_start_daemon(
		flags, 0, NULL, NULL, handle_request, h, MHD_OPTION_NOTIFY_COMPLETED,
		request_completed, NULL, MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTIONS_MAX,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)CONNECTION_TIMEOUT_S, MHD_OPTION_ARRAY,
		listen_fd < 0 ? new_socket_options : inherited_socket_options, MHD_OPTION_ARRAY,
		pem.certificate ? tls_options : &tls_options[2], MHD_OPTION_END);
	if (!h->mhd) {
		rc = pw_error_set(PW_ESYSTEM, "cannot listen on %s for the administration API",
				  s->api_address);
		goto out;
	}
	info = MHD_get_daemon_info(h->mhd, MHD_DAEMON_INFO_EPOLL_FD);
	h->source = (struct pw_source){ .ops = &daemon_source_ops, .fd = info->epoll_fd };
	rc = pw_loop_watch(a->task.loop, &h->source, EPOLLIN);
out:
	clear_pem_files(&pem);
	return rc;
}

/* Resumes the suspended connections, since the library cannot stop a daemon that has any. */
static void resume_connections(struct http_daemon *h)
{
	GList *requests = g_hash_table_get_values(h->admin->pending_changes);

	for (GList *l = requests; l; l = l->next) {
		struct api_request *req = l->data;

		if (req->daemon == h)
			MHD_resume_connection(req->connection);
	}
	g_list_free(requests);
}

static void stop_daemon(struct http_daemon *h)
{
	if (!h->mhd)
		return;
	pw_loop_unwatch(h->admin->task.loop, &h->source);
	pw_loop_timer_clear(h->admin->task.loop, &h->timer);
	resume_connections(h);
	MHD_stop_daemon(h->mhd);
	h->mhd = NULL;
}

/*
 * Starts a daemon with the new certificate on the listening socket of the former one. The former
 * daemon finishes the requests on its connections; the library closes those that become idle.
 */
static int replace_certificate(struct admin *a)
{
	struct http_daemon *former_daemon = &a->daemons[a->listening_index];
	struct http_daemon *next_daemon = &a->daemons[!a->listening_index];
	int fd;

	/* A daemon that is left from the last replacement has had at least a second to finish. */
	stop_daemon(next_daemon);
	fd = MHD_quiesce_daemon(former_daemon->mhd);
	if (fd < 0)
		return pw_error_set(
			PW_ESYSTEM,
			"cannot take over the listening socket of the administration API");
	a->listening_index = !a->listening_index;
	run_daemon(former_daemon);
	return start_daemon(next_daemon, fd);
}

/* Stops the former daemon once its last connection is closed. */
static void stop_former_daemon_if_idle(struct admin *a)
{
	struct http_daemon *h = &a->daemons[!a->listening_index];
	const union MHD_DaemonInfo *info;

	if (!h->mhd)
		return;
	info = MHD_get_daemon_info(h->mhd, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
	if (info && !info->num_connections)
		stop_daemon(h);
}

static void check_tls_files(struct pw_timer *t, uint64_t now_us)
{
	struct admin *a = (struct admin *)((char *)t - offsetof(struct admin, tls_timer));
	bool changed;

	stop_former_daemon_if_idle(a);
	if (pw_tls_files_reload(&a->tls, &changed))
		pw_event_log(PW_EVENT_TLS_FAILED, "task=admin reason=\"%s\"", pw_error_message());
	if (changed && replace_certificate(a)) {
		pw_task_fail(&a->task, PW_ESYSTEM);
		return;
	}
	if (changed)
		pw_event_log(PW_EVENT_TLS_LOADED, "task=admin certificate=%s",
			     a->tls.certificate_path);
	pw_loop_timer_set(a->task.loop, t, now_us + PW_TLS_RELOAD_INTERVAL_US);
}

static const struct pw_timer_ops tls_timer_ops = { .expire = check_tls_files };

/*
 * Checks the TLS files with OpenSSL, since the HTTP library does not say what is wrong with them,
 * and starts the timer that checks them again.
 */
static int start_tls(struct admin *a)
{
	const struct pw_process_settings *s = a->directory->settings;
	bool changed;
	int rc;

	a->tls_timer.ops = &tls_timer_ops;
	if (!s->tls_certificate)
		return PW_OK;
	pw_tls_files_init(&a->tls, s->tls_certificate, s->tls_key);
	rc = pw_tls_files_reload(&a->tls, &changed);
	if (!rc)
		pw_loop_timer_set(a->task.loop, &a->tls_timer,
				  pw_loop_now_us(a->task.loop) + PW_TLS_RELOAD_INTERVAL_US);
	return rc;
}

static void admin_dispose(struct admin *a)
{
	for (size_t i = 0; i < G_N_ELEMENTS(a->daemons); i++)
		stop_daemon(&a->daemons[i]);
	pw_loop_timer_clear(a->task.loop, &a->tls_timer);
	pw_tls_files_dispose(&a->tls);
	g_hash_table_unref(a->status_sections);
	g_hash_table_unref(a->pending_changes);
	pw_document_unref(a->document);
}

static int admin_start(struct pw_task *t)
{
	struct admin *a = (struct admin *)t;
	int rc;

	a->directory = ((const struct pw_task_args *)t->args)->directory;
	a->status_sections = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	a->pending_changes = g_hash_table_new(g_int64_hash, g_int64_equal);
	for (size_t i = 0; i < G_N_ELEMENTS(a->daemons); i++) {
		a->daemons[i].admin = a;
		a->daemons[i].timer.ops = &daemon_timer_ops;
	}
	rc = start_tls(a);
	if (!rc)
		rc = start_daemon(&a->daemons[a->listening_index], -1);
	if (rc) {
		admin_dispose(a);
		return rc;
	}
	if (a->directory->binding->catalog)
		pw_mailbox_send(a->directory->catalog, pw_catalog_request_msg(t->inbox));
	else
		pw_mailbox_send(a->directory->config, pw_snapshot_request_msg(t->inbox));
	pw_event_log(PW_EVENT_LISTENING, "task=admin address=%s",
		     a->directory->settings->api_address);
	return PW_OK;
}

static void admin_stop(struct pw_task *t)
{
	admin_dispose((struct admin *)t);
}

const struct pw_task_ops pw_admin_ops = {
	.name = "admin",
	.size_bytes = sizeof(struct admin),
	.start = admin_start,
	.receive = admin_receive,
	.stop = admin_stop,
};
