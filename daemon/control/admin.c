#include "admin.h"

#include <glib.h>
#include <inttypes.h>
#include <microhttpd.h>
#include <openssl/crypto.h>
#include <string.h>

#include "../directory.h"
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
 * A VM without the quorum lease refuses what is charged to accounts. The gap of a change of epoch
 * is shorter than this and is not to move callers to other VMs.
 */
#define LEASE_GRACE_US UINT64_C(1000000)
/* Clients of the API at once; each holds at most one document. */
#define CONNECTION_LIMIT 32
/* A connection without traffic is closed after this time. */
#define CONNECTION_TIMEOUT_S 10

struct admin;

/* One daemon of the HTTP library; it has one certificate for all its life. */
struct http {
	struct admin *admin;
	struct MHD_Daemon *daemon; /**< NULL: not running */
	struct pw_source source;   /**< epoll descriptor of the library */
	struct pw_timer timer;
};

struct admin {
	struct pw_task task;
	const struct pw_directory *directory;
	struct http http[2]; /**< the one that listens, and one that ends its connections */
	uint32_t listening;  /**< index of the one that listens */
	struct pw_tls_files tls;
	struct pw_timer tls_timer; /**< next check of the files */
	GHashTable *sections;      /**< name -> JSON text */
	GHashTable *changes;       /**< tag -> struct exchange that waits for the store */
	const struct pw_document *document;
	uint64_t next_tag;
	uint64_t fresh_until_us;
	uint64_t lease_until_us; /**< end of the newest quorum lease or permission; 0: none yet */
	bool has_catalog;        /**< with a binding that publishes one */
	bool has_servers;
	bool has_primaries;
	bool draining; /**< planned stop */
};

/* One HTTP request. */
struct exchange {
	struct admin *admin;
	struct http *http;
	struct MHD_Connection *connection;
	GByteArray *body;
	uint64_t tag;        /**< of the change that it waits for; 0 for none */
	unsigned int status; /**< of the answer to a change; 0 while it waits */
	char *answer;
	bool too_large;
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
	struct MHD_Response *r = MHD_create_response_from_buffer(
		strlen(text), (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;
	char etag[32];

	MHD_add_response_header(r, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	if (revision) {
		g_snprintf(etag, sizeof(etag), "\"%" PRIu64 "\"", revision);
		MHD_add_response_header(r, MHD_HTTP_HEADER_ETAG, etag);
	}
	rc = MHD_queue_response(c, status, r);
	MHD_destroy_response(r);
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

static enum MHD_Result get_health(struct exchange *x)
{
	return respond_text(x->connection, MHD_HTTP_OK, "ok\n");
}

/* A planned stop, or a VM that operators drain by the document. */
static bool is_draining(const struct admin *a)
{
	return a->draining ||
	       (a->document && pw_document_is_draining(a->document, a->directory->settings->name));
}

static enum MHD_Result get_ready(struct exchange *x)
{
	const struct admin *a = x->admin;

	if (is_draining(a))
		return respond_text(x->connection, MHD_HTTP_SERVICE_UNAVAILABLE, "draining\n");
	if (a->directory->binding->catalog ? !a->has_catalog || !a->has_servers || !a->has_primaries
					   : !a->document)
		return respond_text(x->connection, MHD_HTTP_SERVICE_UNAVAILABLE,
				    "no configuration\n");
	if (pw_loop_now_us(a->task.loop) >= a->lease_until_us + LEASE_GRACE_US)
		return respond_text(x->connection, MHD_HTTP_SERVICE_UNAVAILABLE,
				    "no quorum lease\n");
	return respond_text(x->connection, MHD_HTTP_OK, "ready\n");
}

static enum MHD_Result get_metrics(struct exchange *x)
{
	char *text = pw_metrics_text();
	enum MHD_Result rc = respond(x->connection, MHD_HTTP_OK, PW_METRICS_TYPE, text, 0);

	g_free(text);
	return rc;
}

static enum MHD_Result get_status(struct exchange *x)
{
	const struct admin *a = x->admin;
	GString *s = g_string_new("{");
	GHashTableIter it;
	gpointer key, value;
	enum MHD_Result rc;

	g_string_append_printf(s, "\"vm\":\"%s\",\"availability_zone\":\"%s\"",
			       a->directory->settings->name,
			       a->directory->settings->availability_zone);
	g_string_append_printf(s, ",\"revision\":%" PRIu64 ",\"fresh\":%s,\"draining\":%s",
			       a->document ? a->document->revision : 0,
			       pw_loop_now_us(a->task.loop) < a->fresh_until_us ? "true" : "false",
			       is_draining(a) ? "true" : "false");
	g_hash_table_iter_init(&it, a->sections);
	while (g_hash_table_iter_next(&it, &key, &value))
		g_string_append_printf(s, ",\"%s\":%s", (char *)key, (char *)value);
	g_string_append(s, "}\n");
	rc = respond(x->connection, MHD_HTTP_OK, "application/json", s->str, 0);
	g_string_free(s, TRUE);
	return rc;
}

static enum MHD_Result get_document(struct exchange *x)
{
	const struct pw_document *d = x->admin->document;

	if (!d)
		return respond_text(x->connection, MHD_HTTP_NOT_FOUND, "no document\n");
	return respond(x->connection, MHD_HTTP_OK, "application/json", d->text, d->revision);
}

/* Reads the revision from `If-Match: "N"`; 0 creates the document. */
static bool expected_revision(struct exchange *x, int64_t *out)
{
	const char *header = MHD_lookup_connection_value(x->connection, MHD_HEADER_KIND,
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

/* Returns NULL if the document is valid, else the findings. */
static char *validate(const GByteArray *body)
{
	const struct pw_document *d = NULL;
	struct pw_findings *f = NULL;
	char *report = NULL;

	pw_findings_new(&f);
	if (pw_document_parse(&d, (const char *)body->data, body->len, 0, f))
		report = pw_findings_report(f);
	pw_document_unref(d);
	pw_findings_free(f);
	return report;
}

static void start_change(struct exchange *x, int64_t revision)
{
	struct admin *a = x->admin;
	char *key = pw_document_key(a->directory->settings->service);
	struct pw_store_compare compare = {
		.key = key,
		.target = PW_STORE_MOD_REVISION,
		.revision = revision,
	};
	struct pw_store_change change = {
		.key = key,
		.kind = PW_STORE_PUT,
		.value = x->body->data,
		.size_bytes = x->body->len,
	};
	struct pw_store_txn txn = {
		.compares = &compare,
		.compare_count = 1,
		.changes = &change,
		.change_count = 1,
	};

	x->tag = ++a->next_tag;
	g_hash_table_insert(a->changes, &x->tag, x);
	MHD_suspend_connection(x->connection);
	pw_mailbox_send(a->directory->store,
			pw_store_txn_msg_new(a->task.inbox, x->tag, PW_STORE_TIMEOUT_US, &txn));
	g_free(key);
}

static enum MHD_Result put_document(struct exchange *x)
{
	int64_t revision;
	char *report;
	enum MHD_Result rc;

	if (x->answer)
		return respond_text(x->connection, x->status, x->answer);
	if (x->too_large)
		return respond_text(x->connection, MHD_HTTP_CONTENT_TOO_LARGE,
				    "the document is larger than the store takes\n");
	if (!expected_revision(x, &revision))
		return respond_text(x->connection, MHD_HTTP_PRECONDITION_REQUIRED,
				    "If-Match with the revision to replace is missing\n");
	report = validate(x->body);
	if (report) {
		rc = respond_text(x->connection, MHD_HTTP_UNPROCESSABLE_CONTENT, report);
		g_free(report);
		return rc;
	}
	start_change(x, revision);
	return MHD_YES;
}

/* Paths of the API. */
static const struct {
	const char *method;
	const char *path;
	bool open; /**< needs no credentials */
	enum MHD_Result (*handle)(struct exchange *x);
} endpoints[] = {
	{ "GET", "/healthz", true, get_health },
	{ "GET", "/readyz", true, get_ready },
	{ "GET", "/metrics", false, get_metrics },
	{ "GET", "/v1/status", false, get_status },
	{ "GET", "/v1/document", false, get_document },
	{ "PUT", "/v1/document", false, put_document },
};

static enum MHD_Result dispatch(struct exchange *x, const char *method, const char *path)
{
	for (size_t i = 0; i < G_N_ELEMENTS(endpoints); i++) {
		if (strcmp(endpoints[i].method, method) != 0 ||
		    strcmp(endpoints[i].path, path) != 0)
			continue;
		if (!endpoints[i].open && !is_authorized(x->admin, x->connection))
			return respond_text(x->connection, MHD_HTTP_UNAUTHORIZED,
					    "operator credentials are missing or wrong\n");
		return endpoints[i].handle(x);
	}
	return respond_text(x->connection, MHD_HTTP_NOT_FOUND, "no such path\n");
}

/* Called with the headers, then with each part of the body, then once without data. */
static enum MHD_Result handle_request(void *data, struct MHD_Connection *connection,
				      const char *url, const char *method, const char *version,
				      const char *upload, size_t *upload_size, void **state)
{
	struct http *h = data;
	struct exchange *x = *state;

	(void)version;
	if (!x) {
		x = g_new0(struct exchange, 1);
		x->admin = h->admin;
		x->http = h;
		x->connection = connection;
		x->body = g_byte_array_new();
		*state = x;
		return MHD_YES;
	}
	if (*upload_size) {
		if (x->body->len + *upload_size > PW_DOCUMENT_MAX_BYTES)
			x->too_large = true;
		else
			g_byte_array_append(x->body, (const guint8 *)upload, (guint)*upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	return dispatch(x, method, url);
}

static void request_completed(void *data, struct MHD_Connection *connection, void **state,
			      enum MHD_RequestTerminationCode code)
{
	struct exchange *x = *state;

	(void)data;
	(void)connection;
	(void)code;
	if (!x)
		return;
	if (x->tag)
		g_hash_table_remove(x->admin->changes, &x->tag);
	g_byte_array_unref(x->body);
	g_free(x->answer);
	g_free(x);
	*state = NULL;
}

/* Lets the library work, then sets the timer to its next time limit. */
static void run_daemon(struct http *h)
{
	struct pw_loop *loop = h->admin->task.loop;
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	if (!h->daemon)
		return;
	MHD_run(h->daemon);
	if (MHD_get_timeout(h->daemon, &timeout_ms) == MHD_YES)
		pw_loop_timer_set(loop, &h->timer,
				  pw_loop_now_us(loop) + timeout_ms * PW_US_PER_MS);
	else
		pw_loop_timer_clear(loop, &h->timer);
}

static void daemon_ready(struct pw_source *s, uint32_t events)
{
	(void)events;
	run_daemon((struct http *)((char *)s - offsetof(struct http, source)));
}

static void daemon_timeout(struct pw_timer *t, uint64_t now_us)
{
	(void)now_us;
	run_daemon((struct http *)((char *)t - offsetof(struct http, timer)));
}

static const struct pw_source_ops source_ops = { .ready = daemon_ready };
static const struct pw_timer_ops timer_ops = { .expire = daemon_timeout };

static void describe_change(struct exchange *x, const struct pw_store_result *r)
{
	switch (r->code) {
	case PW_OK:
		x->status = MHD_HTTP_OK;
		x->answer = g_strdup_printf("{\"revision\":%" PRId64 "}\n", r->revision);
		break;
	case PW_ECONFLICT:
		x->status = MHD_HTTP_PRECONDITION_FAILED;
		x->answer = g_strdup("the document was changed by someone else\n");
		break;
	default:
		x->status = r->effect_possible ? MHD_HTTP_GATEWAY_TIMEOUT
					       : MHD_HTTP_SERVICE_UNAVAILABLE;
		x->answer = g_strdup(r->effect_possible
					     ? "the store did not answer; the change may have "
					       "taken effect\n"
					     : "the store is unavailable; nothing was changed\n");
		break;
	}
}

static void take_store_result(struct admin *a, const struct pw_store_result_msg *m)
{
	struct exchange *x = g_hash_table_lookup(a->changes, &m->tag);

	if (!x)
		return;
	g_hash_table_remove(a->changes, &m->tag);
	x->tag = 0;
	describe_change(x, m->result);
	pw_event_log(PW_EVENT_ADMIN_CHANGE, "object=document status=%u", x->status);
	MHD_resume_connection(x->connection);
	for (size_t i = 0; i < G_N_ELEMENTS(a->http); i++)
		run_daemon(&a->http[i]);
}

static void admin_receive(struct pw_task *t, struct pw_msg *m)
{
	struct admin *a = (struct admin *)t;

	if (m->ops == &status_ops) {
		struct pw_admin_status *s = (struct pw_admin_status *)m;

		g_hash_table_replace(a->sections, g_strdup(s->section), g_strdup(s->json));
	} else if (m->ops == &pw_snapshot_ops) {
		pw_document_unref(a->document);
		a->document = pw_document_ref(((struct pw_snapshot *)m)->document);
	} else if (m->ops == &pw_freshness_ops) {
		a->fresh_until_us = ((struct pw_freshness *)m)->fresh_until_us;
	} else if (m->ops == &pw_lease_msg_ops) {
		a->lease_until_us = MAX(a->lease_until_us, ((struct pw_lease_msg *)m)->until_us);
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
		take_store_result(a, (struct pw_store_result_msg *)m);
	}
	pw_msg_free(m);
}

/* Certificate and key as the HTTP library takes them; both NULL without TLS. */
struct pem {
	char *certificate;
	char *key;
	gsize key_size_bytes;
};

static int pem_read(struct pem *p, const struct pw_process_settings *s)
{
	*p = (struct pem){ 0 };
	if (!s->tls_certificate)
		return PW_OK;
	if (!g_file_get_contents(s->tls_certificate, &p->certificate, NULL, NULL) ||
	    !g_file_get_contents(s->tls_key, &p->key, &p->key_size_bytes, NULL))
		return pw_error_set(PW_ESYSTEM, "the files of the TLS certificate cannot be read");
	return PW_OK;
}

static void pem_clear(struct pem *p)
{
	if (p->key)
		OPENSSL_cleanse(p->key, p->key_size_bytes);
	g_free(p->key);
	g_free(p->certificate);
}

/*
 * Starts the daemon of the HTTP library. `listen_fd` is a listening socket of a former daemon, or
 * -1 to open one.
 */
static int start_daemon(struct http *h, int listen_fd)
{
	struct admin *a = h->admin;
	const struct pw_process_settings *s = a->directory->settings;
	unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
	const union MHD_DaemonInfo *info;
	struct pw_address at;
	struct pem pem = { 0 };
	int rc = pw_address_parse(&at, s->api_address);

	if (!rc)
		rc = pem_read(&pem, s);
	if (rc)
		goto out;
	struct MHD_OptionItem socket_options[] = {
		{ MHD_OPTION_SOCK_ADDR, 0, &at.socket },
		{ MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, NULL },
		{ MHD_OPTION_END, 0, NULL },
	};
	struct MHD_OptionItem former_options[] = {
		{ MHD_OPTION_LISTEN_SOCKET, listen_fd, NULL },
		{ MHD_OPTION_END, 0, NULL },
	};
	struct MHD_OptionItem tls_options[] = {
		{ MHD_OPTION_HTTPS_MEM_CERT, 0, pem.certificate },
		{ MHD_OPTION_HTTPS_MEM_KEY, 0, pem.key },
		{ MHD_OPTION_END, 0, NULL },
	};

	if (at.socket.ss_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	if (pem.certificate)
		flags |= MHD_USE_TLS;
	h->daemon = MHD_start_daemon(
		flags, 0, NULL, NULL, handle_request, h, MHD_OPTION_NOTIFY_COMPLETED,
		request_completed, NULL, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)CONNECTION_LIMIT, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)CONNECTION_TIMEOUT_S, MHD_OPTION_ARRAY,
		listen_fd < 0 ? socket_options : former_options, MHD_OPTION_ARRAY,
		pem.certificate ? tls_options : &tls_options[2], MHD_OPTION_END);
	if (!h->daemon) {
		rc = pw_error_set(PW_ESYSTEM, "cannot listen on %s for the administration API",
				  s->api_address);
		goto out;
	}
	info = MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	h->source = (struct pw_source){ .ops = &source_ops, .fd = info->epoll_fd };
	rc = pw_loop_watch(a->task.loop, &h->source, EPOLLIN);
out:
	pem_clear(&pem);
	return rc;
}

/* The library does not stop with suspended connections. */
static void resume_all(struct http *h)
{
	GList *waiting = g_hash_table_get_values(h->admin->changes);

	for (GList *l = waiting; l; l = l->next) {
		struct exchange *x = l->data;

		if (x->http == h)
			MHD_resume_connection(x->connection);
	}
	g_list_free(waiting);
}

static void stop_daemon(struct http *h)
{
	if (!h->daemon)
		return;
	pw_loop_unwatch(h->admin->task.loop, &h->source);
	pw_loop_timer_clear(h->admin->task.loop, &h->timer);
	resume_all(h);
	MHD_stop_daemon(h->daemon);
	h->daemon = NULL;
}

/*
 * Goes on listening with a new certificate. Requests that are open go on with the former one; the
 * library closes those connections when they are idle.
 */
static int change_certificate(struct admin *a)
{
	struct http *old = &a->http[a->listening];
	struct http *new = &a->http[!a->listening];
	int fd;

	/* One that is still there from the change before has had at least a second. */
	stop_daemon(new);
	fd = MHD_quiesce_daemon(old->daemon);
	if (fd < 0)
		return pw_error_set(PW_ESYSTEM, "the administration API cannot stop listening");
	a->listening = !a->listening;
	run_daemon(old);
	return start_daemon(new, fd);
}

/* Ends a former daemon when its last connection is closed. */
static void drop_former(struct admin *a)
{
	struct http *h = &a->http[!a->listening];
	const union MHD_DaemonInfo *info;

	if (!h->daemon)
		return;
	info = MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
	if (info && !info->num_connections)
		stop_daemon(h);
}

static void tls_expired(struct pw_timer *t, uint64_t now_us)
{
	struct admin *a = (struct admin *)((char *)t - offsetof(struct admin, tls_timer));
	bool changed;

	drop_former(a);
	if (pw_tls_files_check(&a->tls, &changed))
		pw_event_log(PW_EVENT_TLS_FAILED, "task=admin reason=\"%s\"", pw_error_message());
	if (changed && change_certificate(a)) {
		pw_task_fail(&a->task, PW_ESYSTEM);
		return;
	}
	if (changed)
		pw_event_log(PW_EVENT_TLS_LOADED, "task=admin certificate=%s",
			     a->tls.certificate_path);
	pw_loop_timer_set(a->task.loop, t, now_us + PW_TLS_CHECK_US);
}

static const struct pw_timer_ops tls_timer_ops = { .expire = tls_expired };

/* OpenSSL checks the files, since the HTTP library does not say what is wrong with them. */
static int start_tls(struct admin *a)
{
	const struct pw_process_settings *s = a->directory->settings;
	bool changed;
	int rc;

	a->tls_timer.ops = &tls_timer_ops;
	if (!s->tls_certificate)
		return PW_OK;
	pw_tls_files_init(&a->tls, s->tls_certificate, s->tls_key);
	rc = pw_tls_files_check(&a->tls, &changed);
	if (!rc)
		pw_loop_timer_set(a->task.loop, &a->tls_timer,
				  pw_loop_now_us(a->task.loop) + PW_TLS_CHECK_US);
	return rc;
}

static void dispose(struct admin *a)
{
	for (size_t i = 0; i < G_N_ELEMENTS(a->http); i++)
		stop_daemon(&a->http[i]);
	pw_loop_timer_clear(a->task.loop, &a->tls_timer);
	pw_tls_files_dispose(&a->tls);
	g_hash_table_unref(a->sections);
	g_hash_table_unref(a->changes);
	pw_document_unref(a->document);
}

static int admin_start(struct pw_task *t)
{
	struct admin *a = (struct admin *)t;
	int rc;

	a->directory = ((const struct pw_task_args *)t->args)->directory;
	a->sections = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	a->changes = g_hash_table_new(g_int64_hash, g_int64_equal);
	for (size_t i = 0; i < G_N_ELEMENTS(a->http); i++) {
		a->http[i].admin = a;
		a->http[i].timer.ops = &timer_ops;
	}
	rc = start_tls(a);
	if (!rc)
		rc = start_daemon(&a->http[a->listening], -1);
	if (rc) {
		dispose(a);
		return rc;
	}
	if (a->directory->binding->catalog)
		pw_mailbox_send(a->directory->catalog, pw_catalog_ask_msg(t->inbox));
	else
		pw_mailbox_send(a->directory->config, pw_snapshot_ask_msg(t->inbox));
	pw_event_log(PW_EVENT_LISTENING, "task=admin address=%s",
		     a->directory->settings->api_address);
	return PW_OK;
}

static void admin_stop(struct pw_task *t)
{
	dispose((struct admin *)t);
}

const struct pw_task_ops pw_admin_ops = {
	.name = "admin",
	.size_bytes = sizeof(struct admin),
	.start = admin_start,
	.receive = admin_receive,
	.stop = admin_stop,
};
