/*
 * Tests of the HTTP client against a server that sends a response a second time, or responses of
 * unclear length. The server runs in a thread of this program.
 */
#include "suite.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pw/core/clock.h"
#include "pw/core/error.h"
#include "pw/core/loop.h"
#include "pw/http/http.h"

#define CALL_TIMEOUT_US (2 * PW_US_PER_S)
#define CONNECTIONS_MAX 4

#define HEAD            "HTTP/1.1 200 OK\r\n"
#define ONE(c)          HEAD "Content-Length: 1\r\n\r\n" c

/*
 * Responses to the first and the second request, and the body of the second one's result; "" stands
 * for a failure.
 */
static const struct {
	const char *label;
	const char *first;
	const char *later;        /* sent 50 ms after `first`; NULL: nothing */
	const char *second;       /* on the connection of the first request */
	const char *second_fresh; /* on another connection */
	const char *first_body;   /* NULL: not checked */
	const char *second_body;
} cases[] = {
	{ "one response each", ONE("a"), NULL, ONE("b"), ONE("b"), "a", "b" },
	{ "second response at once", ONE("a") ONE("a"), NULL, ONE("b"), ONE("b"), "a", "b" },
	{ "second response while idle", ONE("a"), ONE("a"), ONE("b"), ONE("b"), "a", "b" },
	{ "second response to the next request", ONE("a"), NULL, ONE("a") ONE("b"), ONE("b"), "a",
	  "b" },
	{ "more body than the length", ONE("a") "a", NULL, ONE("b"), ONE("b"), "a", "b" },
	{ "a response in the excess of a body", ONE("a") "x" ONE("a"), NULL, ONE("b"), ONE("b"),
	  "a", "b" },
	{ "two lengths", HEAD "Content-Length: 1\r\nContent-Length: 20\r\n\r\na" ONE("a"), NULL,
	  ONE("b"), ONE("b"), NULL, "b" },
	{ "a length and chunks",
	  HEAD "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", NULL,
	  ONE("b"), ONE("b"), "a", "b" },
};

struct server {
	int listener;
	int connections[CONNECTIONS_MAX];
	uint32_t request_count;
	int first_connection;
	size_t case_index;
	gint is_stopping;
	GThread *thread;
};

static void send_text(int fd, const char *text)
{
	if (text)
		(void)!send(fd, text, strlen(text), MSG_NOSIGNAL);
}

static void answer_request(struct server *s, int fd)
{
	if (s->request_count++ == 0) {
		s->first_connection = fd;
		send_text(fd, cases[s->case_index].first);
		g_usleep(50000);
		send_text(fd, cases[s->case_index].later);
	} else {
		send_text(fd, fd == s->first_connection ? cases[s->case_index].second
							: cases[s->case_index].second_fresh);
	}
}

static gpointer run_server(gpointer data)
{
	struct server *s = data;

	while (!g_atomic_int_get(&s->is_stopping)) {
		struct pollfd fds[CONNECTIONS_MAX + 1] = { { .fd = s->listener,
							     .events = POLLIN } };
		char buffer[4096];

		for (size_t i = 0; i < CONNECTIONS_MAX; i++)
			fds[i + 1] = (struct pollfd){ .fd = s->connections[i], .events = POLLIN };
		poll(fds, CONNECTIONS_MAX + 1, 10);
		for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
			ssize_t n = fds[i + 1].revents
					    ? recv(s->connections[i], buffer, sizeof(buffer), 0)
					    : -1;

			/* A request is one segment, and has no body. A closed descriptor is kept
			 * open, so that its number is not used again. */
			if (n > 0)
				answer_request(s, s->connections[i]);
			else if (n == 0)
				s->connections[i] = -1;
		}
		for (size_t i = 0; fds[0].revents && i < CONNECTIONS_MAX; i++) {
			if (s->connections[i] >= 0)
				continue;
			s->connections[i] = accept(s->listener, NULL, NULL);
			break;
		}
	}
	return NULL;
}

static void start_server(struct server *s, char *url, size_t url_size)
{
	struct sockaddr_in a = { .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t size = sizeof(a);

	for (size_t i = 0; i < CONNECTIONS_MAX; i++)
		s->connections[i] = -1;
	s->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	ck_assert_int_eq(bind(s->listener, (struct sockaddr *)&a, sizeof(a)), 0);
	ck_assert_int_eq(listen(s->listener, 8), 0);
	getsockname(s->listener, (struct sockaddr *)&a, &size);
	g_snprintf(url, (gulong)url_size, "http://127.0.0.1:%u/", ntohs(a.sin_port));
	s->thread = g_thread_new("server", run_server, s);
}

/* Runs two requests, the second one 100 ms after the result of the first. */
struct client {
	struct pw_http_call call;
	struct pw_timer timer;
	struct pw_loop *loop;
	struct pw_http *http;
	const char *url;
	char *bodies[2];
	uint32_t count;
};

static void start_request(struct client *c)
{
	const struct pw_http_request req = {
		.method = "GET",
		.url = c->url,
		.timeout_us = CALL_TIMEOUT_US,
	};

	ck_assert_int_eq(pw_http_start(c->http, &req, &c->call), PW_OK);
}

static void request_done(struct pw_http_call *call, const struct pw_http_response *r)
{
	struct client *c = (struct client *)call;

	c->bodies[c->count++] =
		r->error_code ? g_strdup("") : g_strndup(r->body ? r->body : "", r->size_bytes);
	if (c->count == G_N_ELEMENTS(c->bodies))
		pw_loop_stop(c->loop);
	else
		pw_loop_timer_set(c->loop, &c->timer, pw_clock_now_us() + 100 * PW_US_PER_MS);
}

static const struct pw_http_call_ops call_ops = { .done = request_done };

static void timer_expired(struct pw_timer *t, uint64_t now_us)
{
	(void)now_us;
	start_request((struct client *)((char *)t - offsetof(struct client, timer)));
}

static const struct pw_timer_ops timer_ops = { .expire = timer_expired };

/* Guards against a response that is taken for the response to another request. */
START_TEST(test_responses)
{
	struct server s = { .case_index = (size_t)_i };
	const struct pw_http_options o = PW_HTTP_OPTIONS_INIT;
	struct client c = { .call.ops = &call_ops, .timer.ops = &timer_ops };
	char url[64];

	start_server(&s, url, sizeof(url));
	c.url = url;
	ck_assert_int_eq(pw_loop_new(&c.loop), PW_OK);
	ck_assert_int_eq(pw_http_new(&c.http, c.loop, &o), PW_OK);
	start_request(&c);
	pw_loop_run(c.loop);
	pw_http_free(c.http);
	pw_loop_free(c.loop);
	g_atomic_int_set(&s.is_stopping, 1);
	g_thread_join(s.thread);
	close(s.listener);
	printf("%s: '%s', '%s'%s\n", cases[_i].label, c.bodies[0], c.bodies[1],
	       s.request_count > 2 ? ", repeated" : "");
	if (cases[_i].first_body)
		ck_assert_str_eq(c.bodies[0], cases[_i].first_body);
	ck_assert_msg(strcmp(c.bodies[1], cases[_i].second_body) == 0, "%s: '%s', expected '%s'",
		      cases[_i].label, c.bodies[1], cases[_i].second_body);
	g_free(c.bodies[0]);
	g_free(c.bodies[1]);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("http_responses");

	tcase_add_loop_test(tc, test_responses, 0, PW_ARRAY_LEN(cases));
	return pw_suite_run("http_responses", tc);
}
