/* Tests the client of the administration API against an HTTP server in the same process. */
#include "suite.h"

#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <string.h>

#include "document_store.h"
#include "pw/core/error.h"

#define STATUS "{\"vm\":\"vm1\",\"revision\":7,\"fresh\":true,\"draining\":false,\"more\":1}"

/** Response that the server sends, and the request that it received. */
struct http_script {
	unsigned status;
	const char *body;
	char *request_line; /**< method, path and value of the Authorization header */
};

/* Returns the query's values, as the server decodes them; an empty text if there are none. */
static char *join_arguments(struct MHD_Connection *c)
{
	static const char *const names[] = { "account", "database", "kind", "position", "server" };
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < PW_ARRAY_LEN(names); i++) {
		const char *value = MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, names[i]);

		if (value)
			g_string_append_printf(text, "%c%s", text->len ? '|' : ' ', value);
	}
	return g_string_free(text, FALSE);
}

static enum MHD_Result handle_request(void *cls, struct MHD_Connection *c, const char *url,
				      const char *method, const char *version, const char *data,
				      size_t *data_size_bytes, void **state)
{
	struct http_script *s = cls;
	const char *token = MHD_lookup_connection_value(c, MHD_HEADER_KIND, "Authorization");
	struct MHD_Response *r;
	enum MHD_Result result;
	char *arguments;

	/*
	 * libmicrohttpd calls this function first with only the headers; the response is queued in
	 * the second call.
	 */
	if (!*state) {
		*state = s;
		return MHD_YES;
	}
	g_free(s->request_line);
	arguments = join_arguments(c);
	s->request_line =
		g_strdup_printf("%s %s%s %s", method, url, arguments, token ? token : "-");
	g_free(arguments);
	r = MHD_create_response_from_buffer(strlen(s->body), (void *)(uintptr_t)s->body,
					    MHD_RESPMEM_PERSISTENT);
	result = MHD_queue_response(c, s->status, r);
	MHD_destroy_response(r);
	return result;
}

static const struct {
	const char *label;
	const char *token;
	unsigned status;
	const char *body;
	int result;
	const char *request_line;
} cases[] = {
	{ "status without a token", NULL, 200, STATUS, PW_OK, "GET /v1/status -" },
	{ "status with a token", "t", 200, STATUS, PW_OK, "GET /v1/status Bearer t" },
	{ "wrong token", "t", 401, "", PW_EDENIED, "GET /v1/status Bearer t" },
	{ "forbidden", NULL, 403, "", PW_EDENIED, "GET /v1/status -" },
	{ "redirect is not followed", NULL, 302, STATUS, PW_EINVALID, "GET /v1/status -" },
	{ "server error", NULL, 500, STATUS, PW_EINVALID, "GET /v1/status -" },
	{ "not JSON", NULL, 200, "ok", PW_EINVALID, "GET /v1/status -" },
	{ "empty response", NULL, 200, "", PW_EINVALID, "GET /v1/status -" },
	{ "response without revision", NULL, 200, "{\"vm\":\"vm1\"}", PW_EINVALID,
	  "GET /v1/status -" },
	{ "negative revision", NULL, 200,
	  "{\"vm\":\"a\",\"revision\":-1,\"fresh\":true,\"draining\":false}", PW_EINVALID,
	  "GET /v1/status -" },
};

static int get_status(struct ctl_api_client *a, const char *address)
{
	struct ctl_proxy_status status;
	int rc = a->ops->get_status(a, &status, address);

	if (rc == PW_OK) {
		ck_assert_str_eq(status.vm, "vm1");
		ck_assert_uint_eq(status.revision, 7);
		ck_assert(status.fresh);
		ck_assert(!status.draining);
		ctl_proxy_status_dispose(&status);
	}
	return rc;
}

/* Guards against a wrong request, and against a malformed or failed response taken for a status. */
START_TEST(test_calls)
{
	struct sockaddr_in loopback = {
		.sin_family = AF_INET,
		.sin_addr = { .s_addr = htonl(INADDR_LOOPBACK) },
	};
	struct http_script s = { .status = cases[_i].status, .body = cases[_i].body };
	struct MHD_Daemon *server =
		MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, handle_request, &s,
				 MHD_OPTION_SOCK_ADDR, &loopback, MHD_OPTION_END);
	struct ctl_api_client *a;
	char *address;
	int rc;

	ck_assert_ptr_nonnull(server);
	address = g_strdup_printf("127.0.0.1:%u",
				  MHD_get_daemon_info(server, MHD_DAEMON_INFO_BIND_PORT)->port);
	ck_assert_int_eq(ctl_api_client_open(&a, cases[_i].token, NULL), PW_OK);
	rc = get_status(a, address);
	a->ops->free(a);
	MHD_stop_daemon(server);
	ck_assert_msg(rc == cases[_i].result, "%s: %d: %s", cases[_i].label, rc,
		      pw_error_message());
	ck_assert_str_eq(s.request_line, cases[_i].request_line);
	g_free(s.request_line);
	g_free(address);
}
END_TEST

static const struct {
	const char *label;
	unsigned status;
	const char *body;
	int result;
	const char *message; /**< part of the error message; NULL: no error */
} explain_cases[] = {
	{ "answer", 200, "{\"vm\":\"vm1\"}", PW_OK, NULL },
	{ "not an object", 200, "[]", PW_EINVALID, "not a valid explanation" },
	{ "not JSON", 200, "ok", PW_EINVALID, "not a valid explanation" },
	{ "unknown account", 404, "no such account\n", PW_EINVALID, ": no such account" },
	{ "unknown kind", 400, "the kind has to be read\n", PW_EINVALID, "the kind has to be" },
	{ "no text", 500, "", PW_EINVALID, "HTTP status 500" },
	{ "text that is not UTF-8", 500, "\xff", PW_EINVALID, "HTTP status 500" },
	{ "wrong token", 401, "no", PW_EDENIED, "token" },
};

/* Guards against an answer of the API that hides why a statement cannot be explained. */
START_TEST(test_explain)
{
	struct sockaddr_in loopback = {
		.sin_family = AF_INET,
		.sin_addr = { .s_addr = htonl(INADDR_LOOPBACK) },
	};
	struct http_script s = { .status = explain_cases[_i].status,
				 .body = explain_cases[_i].body };
	const struct ctl_explain_query q = { "a b", "d&x=1", "read", "3.7" };
	struct MHD_Daemon *server =
		MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, handle_request, &s,
				 MHD_OPTION_SOCK_ADDR, &loopback, MHD_OPTION_END);
	struct ctl_api_client *a;
	json_t *out = NULL;
	char *address;
	int rc;

	ck_assert_ptr_nonnull(server);
	address = g_strdup_printf("127.0.0.1:%u",
				  MHD_get_daemon_info(server, MHD_DAEMON_INFO_BIND_PORT)->port);
	ck_assert_int_eq(ctl_api_client_open(&a, NULL, NULL), PW_OK);
	rc = a->ops->explain(a, &out, address, &q);
	ck_assert_msg(
		rc == explain_cases[_i].result &&
			(rc == PW_OK || strstr(pw_error_message(), explain_cases[_i].message)),
		"%s: %d: %s", explain_cases[_i].label, rc, pw_error_message());
	ck_assert_str_eq(s.request_line, "GET /v1/explain a b|d&x=1|read|3.7 -");
	a->ops->free(a);
	MHD_stop_daemon(server);
	json_decref(out);
	g_free(s.request_line);
	g_free(address);
}
END_TEST

static const struct {
	const char *label;
	unsigned status;
	const char *body;
	const char *server; /**< NULL: the set is not known */
	int result;
	const char *message;      /**< part of the error message; NULL: no error */
	const char *request_line; /**< without the token */
} forget_cases[] = {
	{ "done", 200, "{}", "i-1", PW_OK, NULL, "DELETE /v1/replica-set d&x|i-1" },
	{ "unknown set", 200, "{}", NULL, PW_OK, NULL, "DELETE /v1/replica-set d&x" },
	{ "a registered server", 400, "i-1 is registered\n", "i-1", PW_EINVALID, "is registered",
	  "DELETE /v1/replica-set d&x|i-1" },
	{ "another writer", 409, "try again\n", "i-1", PW_ECONFLICT, "try again",
	  "DELETE /v1/replica-set d&x|i-1" },
	{ "outcome not known", 504, "no answer\n", "i-1", PW_ETIMEOUT, "no answer",
	  "DELETE /v1/replica-set d&x|i-1" },
	{ "wrong token", 401, "no", "i-1", PW_EDENIED, "token", "DELETE /v1/replica-set d&x|i-1" },
};

/* Guards against a server that is forgotten without being asked for, and an outcome misstated. */
START_TEST(test_forget_replica)
{
	struct sockaddr_in loopback = {
		.sin_family = AF_INET,
		.sin_addr = { .s_addr = htonl(INADDR_LOOPBACK) },
	};
	struct http_script s = { .status = forget_cases[_i].status, .body = forget_cases[_i].body };
	struct MHD_Daemon *server =
		MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, handle_request, &s,
				 MHD_OPTION_SOCK_ADDR, &loopback, MHD_OPTION_END);
	char *address, *request_line = g_strdup_printf("%s -", forget_cases[_i].request_line);
	struct ctl_api_client *a;
	int rc;

	ck_assert_ptr_nonnull(server);
	address = g_strdup_printf("127.0.0.1:%u",
				  MHD_get_daemon_info(server, MHD_DAEMON_INFO_BIND_PORT)->port);
	ck_assert_int_eq(ctl_api_client_open(&a, NULL, NULL), PW_OK);
	rc = a->ops->forget_replica(a, address, "d&x", forget_cases[_i].server);
	ck_assert_msg(rc == forget_cases[_i].result &&
			      (rc == PW_OK || strstr(pw_error_message(), forget_cases[_i].message)),
		      "%s: %d: %s", forget_cases[_i].label, rc, pw_error_message());
	ck_assert_str_eq(s.request_line, request_line);
	a->ops->free(a);
	MHD_stop_daemon(server);
	g_free(s.request_line);
	g_free(request_line);
	g_free(address);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("api");

	tcase_add_loop_test(tc, test_calls, 0, PW_ARRAY_LEN(cases));
	tcase_add_loop_test(tc, test_explain, 0, PW_ARRAY_LEN(explain_cases));
	tcase_add_loop_test(tc, test_forget_replica, 0, PW_ARRAY_LEN(forget_cases));
	return pw_suite_run("api", tc);
}
