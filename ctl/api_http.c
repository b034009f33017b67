#include "document_store.h"

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "pw/core/error.h"

#define CONNECT_TIMEOUT_MS 1000L
#define REQUEST_TIMEOUT_MS 3000L
#define RESPONSE_MAX_BYTES ((size_t)65536)

enum http_status {
	HTTP_OK = 200,
	HTTP_UNAUTHORIZED = 401,
	HTTP_FORBIDDEN = 403,
	HTTP_CONFLICT = 409,
	HTTP_GATEWAY_TIMEOUT = 504,
};

struct http_api_client {
	struct ctl_api_client base;
	CURL *curl;
	struct curl_slist *headers;
	const char *ca_path;
};

/* Write callback of libcurl; returning 0 aborts a response above the limit. */
static size_t append_response(char *data, size_t size, size_t count, void *user)
{
	GString *response = user;

	if (response->len + size * count > RESPONSE_MAX_BYTES)
		return 0;
	g_string_append_len(response, data, (gssize)(size * count));
	return size * count;
}

/* Returns the error for an HTTP status, or 0. */
static int check_status(const char *address, long status)
{
	switch (status) {
	case HTTP_OK:
		return PW_OK;
	case HTTP_UNAUTHORIZED:
	case HTTP_FORBIDDEN:
		return pw_error_set(PW_EDENIED, "%s: the operator's token is missing or wrong",
				    address);
	case HTTP_CONFLICT:
		return pw_error_set(PW_ECONFLICT, "%s: HTTP status %ld", address, status);
	case HTTP_GATEWAY_TIMEOUT:
		return pw_error_set(PW_ETIMEOUT, "%s: HTTP status %ld", address, status);
	default:
		return pw_error_set(PW_EINVALID, "%s: HTTP status %ld", address, status);
	}
}

/*
 * Requests http[s]://ADDRESS/PATH; the body of the response replaces the contents of `response`.
 * The return codes are those of the functions of struct ctl_api_client_ops.
 */
static int http_request(struct http_api_client *h, GString *response, const char *method,
			const char *address, const char *path)
{
	const char *scheme = h->ca_path ? "https" : "http";
	char *url = g_strdup_printf("%s://%s%s", scheme, address, path);
	long status = 0;
	CURLcode rc;

	g_string_truncate(response, 0);
	curl_easy_reset(h->curl);
	curl_easy_setopt(h->curl, CURLOPT_URL, url);
	curl_easy_setopt(h->curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(h->curl, CURLOPT_PROTOCOLS_STR, scheme);
	if (h->ca_path)
		curl_easy_setopt(h->curl, CURLOPT_CAINFO, h->ca_path);
	curl_easy_setopt(h->curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(h->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h->curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(h->curl, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
	curl_easy_setopt(h->curl, CURLOPT_HTTPHEADER, h->headers);
	curl_easy_setopt(h->curl, CURLOPT_WRITEFUNCTION, append_response);
	curl_easy_setopt(h->curl, CURLOPT_WRITEDATA, response);
	rc = curl_easy_perform(h->curl);
	curl_easy_getinfo(h->curl, CURLINFO_RESPONSE_CODE, &status);
	g_free(url);
	if (rc != CURLE_OK)
		return pw_error_set(PW_EUNAVAILABLE, "%s: %s", address, curl_easy_strerror(rc));
	return check_status(address, status);
}

/* Adds the reason that a proxy gives for a refusal to the error message. */
static int add_reason(int code, const char *address, GString *response)
{
	if (!response->len || !g_utf8_validate(response->str, (gssize)response->len, NULL))
		return code;
	return pw_error_set(code, "%s: %.200s", address, g_strchomp(response->str));
}

void ctl_proxy_status_dispose(struct ctl_proxy_status *s)
{
	g_free(s->vm);
	json_decref(s->replica_sets);
}

static int http_get_status(struct ctl_api_client *a, struct ctl_proxy_status *out,
			   const char *address)
{
	GString *response = g_string_new(NULL);
	json_t *root = NULL;
	const char *vm;
	json_int_t revision;
	int fresh, draining;
	int rc = http_request((struct http_api_client *)a, response, "GET", address, "/v1/status");

	if (rc != PW_OK)
		goto done;
	root = json_loadb(response->str, response->len, 0, NULL);
	if (json_unpack(root, "{s:s, s:I, s:b, s:b}", "vm", &vm, "revision", &revision, "fresh",
			&fresh, "draining", &draining) != 0 ||
	    revision < 0) {
		rc = pw_error_set(PW_EINVALID, "%s: the response is not a valid status", address);
		goto done;
	}
	*out = (struct ctl_proxy_status){
		.vm = g_strdup(vm),
		.revision = (uint64_t)revision,
		.fresh = fresh != 0,
		.draining = draining != 0,
		.replica_sets = json_incref(json_object_get(root, "replica_sets")),
	};
done:
	json_decref(root);
	g_string_free(response, TRUE);
	return rc;
}

static void append_argument(GString *path, const char *name, const char *value)
{
	char *escaped = g_uri_escape_string(value, NULL, FALSE);

	g_string_append_printf(path, "%s=%s", name, escaped);
	g_free(escaped);
}

static int http_explain(struct ctl_api_client *a, json_t **out, const char *address,
			const struct ctl_explain_query *q)
{
	GString *response = g_string_new(NULL), *path = g_string_new("/v1/explain?");
	int rc;

	append_argument(path, "account", q->account);
	append_argument(path, "&database", q->database);
	append_argument(path, "&kind", q->kind);
	if (q->position)
		append_argument(path, "&position", q->position);
	rc = http_request((struct http_api_client *)a, response, "GET", address, path->str);
	if (rc == PW_OK) {
		*out = json_loadb(response->str, response->len, 0, NULL);
		if (!json_is_object(*out)) {
			json_decref(*out);
			*out = NULL;
			rc = pw_error_set(PW_EINVALID,
					  "%s: the response is not a valid explanation", address);
		}
	} else if (rc == PW_EINVALID) {
		rc = add_reason(rc, address, response);
	}
	g_string_free(path, TRUE);
	g_string_free(response, TRUE);
	return rc;
}

static int http_forget_replica(struct ctl_api_client *a, const char *address, const char *database,
			       const char *server)
{
	GString *response = g_string_new(NULL), *path = g_string_new("/v1/replica-set?");
	int rc;

	append_argument(path, "database", database);
	if (server)
		append_argument(path, "&server", server);
	rc = http_request((struct http_api_client *)a, response, "DELETE", address, path->str);
	if (rc != PW_OK && rc != PW_EDENIED)
		rc = add_reason(rc, address, response);
	g_string_free(path, TRUE);
	g_string_free(response, TRUE);
	return rc;
}

static void http_sleep(struct ctl_api_client *a, uint64_t duration_us)
{
	g_usleep(duration_us);
}

static void http_free(struct ctl_api_client *a)
{
	struct http_api_client *h = (struct http_api_client *)a;

	curl_slist_free_all(h->headers);
	curl_easy_cleanup(h->curl);
	curl_global_cleanup();
	g_free(h);
}

static const struct ctl_api_client_ops http_ops = {
	.get_status = http_get_status,
	.explain = http_explain,
	.forget_replica = http_forget_replica,
	.sleep = http_sleep,
	.free = http_free,
};

int ctl_api_client_open(struct ctl_api_client **out, const char *token, const char *ca_path)
{
	struct http_api_client *h = g_new0(struct http_api_client, 1);

	h->base.ops = &http_ops;
	h->ca_path = ca_path;
	if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK || !(h->curl = curl_easy_init())) {
		g_free(h);
		return pw_error_set(PW_ESYSTEM, "libcurl cannot be initialised");
	}
	if (token) {
		char *header = g_strdup_printf("Authorization: Bearer %s", token);

		h->headers = curl_slist_append(NULL, header);
		g_free(header);
	}
	*out = &h->base;
	return PW_OK;
}
