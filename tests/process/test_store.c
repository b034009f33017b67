/*
 * Tests the store client against the stand-in store, which runs as a separate process. Each case is
 * a list of steps and runs twice: with the client alone, and through the store task, to which a
 * struct pw_store of this file forwards the calls as messages.
 */
#include "suite.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "binding.h"
#include "control/store.h"
#include "pw/core/clock.h"
#include "pw/core/counter.h"
#include "pw/core/error.h"
#include "pw/core/event.h"
#include "pw/store/store.h"

/* Timeout for all steps of a case together. */
#define CASE_TIMEOUT_US (40 * PW_US_PER_S)

/* A process that blocks while it waits uses a few milliseconds, one that spins far more. */
#define IDLE_CPU_MAX_US (500 * PW_US_PER_MS)

#define STEPS_MAX       24

enum step_kind {
	STEP_END,
	SET_FAULT,      /* posts the fault `value` to the stand-in */
	READ,           /* reads `key` and expects `value`, or no key if NULL */
	READ_AT,        /* as READ, at revision `number` */
	READ_PREFIX,    /* reads the prefix `key`; `value`: expected keys, "+" if there are more */
	CREATE,         /* puts `key` if it does not exist */
	SWAP,           /* puts `key` if at the last mod_revision seen; `value` NULL deletes it */
	PUT,            /* puts `key` without a comparison */
	PUT_WITH_LEASE, /* puts `key` with the last lease granted */
	GRANT_LEASE,    /* grants a lease of `number` seconds */
	KEEP_LEASE_ALIVE, /* renews the last lease */
	REVOKE_LEASE,     /* revokes the last lease */
	WATCH,            /* opens a watch of `key` from revision `number` */
	WATCH_PREFIX,     /* opens a watch of the prefix `key` from revision `number` */
	CANCEL_WATCH,
	COMPACT,            /* compacts up to the last revision seen */
	EXPECT_OPENED,      /* waits until the watch is open */
	EXPECT_EVENT,       /* waits for the next event; `value` NULL: a deletion */
	EXPECT_PROGRESS,    /* waits for an update without events */
	EXPECT_INTERRUPTED, /* waits for an interruption with `code` */
	EXPECT_ENDED,       /* waits for the end of the watch with `code` */
	EXPECT_COUNTS, /* compares "reads writes watches failures" since the start of the case */
};

#define ANY_COUNT (-1)

/* Start revision of a watch: the one after the last revision seen. */
#define AFTER_LAST_REVISION (-1)

struct step {
	enum step_kind kind;
	const char *key;
	const char *value;
	int32_t code;          /* expected result code */
	bool maybe_applied;    /* expected in the result */
	int64_t number;        /* revision, lease time in s or limit of READ_PREFIX */
	const char *after_key; /* READ_PREFIX: only keys above this one */
};

/* Endpoints of the client: the server of the case, a port that refuses connections, or both. */
enum endpoints {
	REACHABLE,
	REFUSING,
	REFUSING_AND_REACHABLE,
};

/* A fixed response to every request, for responses that the stand-in does not give. */
struct canned_response {
	const char *status; /* NULL: the case uses the stand-in; "": close without a response */
	const char *body;
	size_t padding_bytes; /* spaces after the body */
	size_t missing_bytes; /* counted in Content-Length but not sent */
};

struct store_case {
	const char *label;
	enum endpoints endpoints;
	struct canned_response canned;
	bool is_idle; /* mostly waits: the CPU time of both processes is checked */
	/* expected log events of the store task; ANY_COUNT: both depend on timing, not checked */
	int32_t store_downs, store_ups;
	struct step steps[STEPS_MAX];
};

struct process {
	pid_t pid;
	uint16_t port;
};

/* Log events store_down and store_up in the current case. */
static int32_t store_down_count, store_up_count;

static GLogWriterOutput count_events(GLogLevelFlags level, const GLogField *fields, gsize n,
				     gpointer data)
{
	(void)level;
	(void)data;
	for (gsize i = 0; i < n; i++) {
		if (strcmp(fields[i].key, "PW_NAME") != 0)
			continue;
		if (strcmp(fields[i].value, "store_down") == 0)
			g_atomic_int_inc(&store_down_count);
		else if (strcmp(fields[i].value, "store_up") == 0)
			g_atomic_int_inc(&store_up_count);
	}
	return G_LOG_WRITER_HANDLED;
}

static void start_standin(struct process *p)
{
	char line[64] = { 0 };
	unsigned int port = 0;
	int pipe_fds[2];
	FILE *f;

	ck_assert_int_eq(pipe(pipe_fds), 0);
	p->pid = fork();
	ck_assert_int_ge(p->pid, 0);
	if (p->pid == 0) {
		/* A failed check ends the test process early; the child must end with it. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(pipe_fds[1], STDOUT_FILENO);
		execl(PW_BUILD_DIR "/standins/standin-store", "standin-store", "--listen",
		      "127.0.0.1:0", (char *)NULL);
		_exit(127);
	}
	close(pipe_fds[1]);
	f = fdopen(pipe_fds[0], "r");
	ck_assert_ptr_nonnull(fgets(line, sizeof(line), f));
	ck_assert_int_eq(sscanf(line, "listening on 127.0.0.1:%u", &port), 1);
	p->port = (uint16_t)port;
	fclose(f);
}

static int bind_loopback(uint16_t *port)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&a, &len), 0);
	*port = ntohs(a.sin_port);
	return fd;
}

static void write_all(int fd, const char *data, size_t n)
{
	while (n) {
		ssize_t rc = send(fd, data, n, MSG_NOSIGNAL);

		if (rc <= 0)
			return;
		data += rc;
		n -= (size_t)rc;
	}
}

static void serve_canned_response(int listener, const struct canned_response *c)
{
	static char padding[4096];
	char head[256], request[4096];
	size_t total = strlen(c->body) + c->padding_bytes + c->missing_bytes;

	memset(padding, ' ', sizeof(padding));
	for (;;) {
		int fd = accept(listener, NULL, NULL);
		int len = snprintf(head, sizeof(head), "HTTP/1.1 %s\r\nContent-Length: %zu\r\n\r\n",
				   c->status, total);

		if (recv(fd, request, sizeof(request), 0) > 0 && *c->status) {
			write_all(fd, head, (size_t)len);
			write_all(fd, c->body, strlen(c->body));
			for (size_t left_bytes = c->padding_bytes; left_bytes;) {
				size_t n = MIN(left_bytes, sizeof(padding));

				write_all(fd, padding, n);
				left_bytes -= n;
			}
		}
		/* Closing with unread bytes would reset the connection and lose the response. */
		shutdown(fd, SHUT_WR);
		while (recv(fd, request, sizeof(request), 0) > 0) {
		}
		close(fd);
	}
}

static void start_canned_server(struct process *p, const struct canned_response *c)
{
	int listener = bind_loopback(&p->port);

	ck_assert_int_eq(listen(listener, 16), 0);
	p->pid = fork();
	ck_assert_int_ge(p->pid, 0);
	if (p->pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		serve_canned_response(listener, c);
	}
	close(listener);
}

/* Kills a process and returns the CPU time in us that it used. */
static uint64_t kill_process(const struct process *p)
{
	struct rusage u;

	kill(p->pid, SIGKILL);
	ck_assert_int_eq(wait4(p->pid, NULL, 0, &u), p->pid);
	return (uint64_t)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * PW_US_PER_S +
	       (uint64_t)(u.ru_utime.tv_usec + u.ru_stime.tv_usec);
}

static size_t append_body(char *data, size_t size, size_t count, void *arg)
{
	g_string_append_len(arg, data, (gssize)(size * count));
	return size * count;
}

static void post_json(const struct process *p, const char *path, const char *body)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u%s", p->port, path);
	GString *response = g_string_new(NULL);
	CURL *curl = curl_easy_init();
	long status = 0;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 10000L);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, response);
	ck_assert_int_eq(curl_easy_perform(curl), CURLE_OK);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	ck_assert_msg(status == 200, "POST %s %s: HTTP status %ld: %s", path, body, status,
		      response->str);
	curl_easy_cleanup(curl);
	g_string_free(response, TRUE);
	g_free(url);
}

/* struct pw_store that forwards each call as a message to a store task in a thread. */
struct task_store {
	struct pw_store base;
	struct pw_source reply_source; /* event source of `inbox` */
	struct pw_loop *loop;
	struct pw_mailbox *inbox;
	struct pw_mailbox *task_inbox;
	struct pw_store_task_args args;
	pthread_t thread;
	GHashTable *calls; /* open calls: tag to struct pw_store_call */
	uint64_t last_tag;
};

/* Records a new call and returns its tag, by which handle_reply() finds it. */
static uint64_t register_call(struct task_store *s, struct pw_store_call *c)
{
	uint64_t tag = ++s->last_tag;

	c->pending = GSIZE_TO_POINTER(tag);
	g_hash_table_insert(s->calls, c->pending, c);
	return tag;
}

static int task_store_range(struct pw_store *store, const struct pw_store_range *req,
			    uint64_t timeout_us, struct pw_store_call *c)
{
	struct task_store *s = (struct task_store *)store;

	pw_mailbox_send(s->task_inbox,
			pw_store_range_msg_new(s->inbox, register_call(s, c), timeout_us, req));
	return PW_OK;
}

static int task_store_txn(struct pw_store *store, const struct pw_store_txn *req,
			  uint64_t timeout_us, struct pw_store_call *c)
{
	struct task_store *s = (struct task_store *)store;

	pw_mailbox_send(s->task_inbox,
			pw_store_txn_msg_new(s->inbox, register_call(s, c), timeout_us, req));
	return PW_OK;
}

static int task_store_lease_grant(struct pw_store *store, uint64_t ttl_us, uint64_t timeout_us,
				  struct pw_store_call *c)
{
	struct task_store *s = (struct task_store *)store;

	pw_mailbox_send(s->task_inbox, pw_store_lease_grant_msg_new(s->inbox, register_call(s, c),
								    timeout_us, ttl_us));
	return PW_OK;
}

static int task_store_lease_keep_alive(struct pw_store *store, int64_t lease_id,
				       uint64_t timeout_us, struct pw_store_call *c)
{
	struct task_store *s = (struct task_store *)store;

	pw_mailbox_send(s->task_inbox,
			pw_store_lease_keep_alive_msg_new(s->inbox, register_call(s, c), timeout_us,
							  lease_id));
	return PW_OK;
}

static int task_store_lease_revoke(struct pw_store *store, int64_t lease_id, uint64_t timeout_us,
				   struct pw_store_call *c)
{
	struct task_store *s = (struct task_store *)store;

	pw_mailbox_send(s->task_inbox, pw_store_lease_revoke_msg_new(s->inbox, register_call(s, c),
								     timeout_us, lease_id));
	return PW_OK;
}

static int task_store_watch(struct pw_store *store, const struct pw_store_watch *req,
			    uint64_t timeout_us, struct pw_store_call *c)
{
	struct task_store *s = (struct task_store *)store;

	pw_mailbox_send(s->task_inbox,
			pw_store_watch_msg_new(s->inbox, register_call(s, c), timeout_us, req));
	return PW_OK;
}

static void task_store_cancel(struct pw_store *store, struct pw_store_call *c)
{
	struct task_store *s = (struct task_store *)store;

	if (!c->pending)
		return;
	pw_mailbox_send(s->task_inbox,
			pw_store_unwatch_msg_new(s->inbox, GPOINTER_TO_SIZE(c->pending)));
	g_hash_table_remove(s->calls, c->pending);
	c->pending = NULL;
}

static void handle_reply(void *data, struct pw_msg *m)
{
	struct task_store *s = data;
	struct pw_store_result_msg *rm = (struct pw_store_result_msg *)m;
	struct pw_store_result *r = rm->result;
	struct pw_store_call *c = g_hash_table_lookup(s->calls, GSIZE_TO_POINTER(rm->tag));

	ck_assert_ptr_eq(m->ops, &pw_store_result_msg_ops);
	if (c) {
		rm->result = NULL;
		if (r->kind != PW_STORE_WATCH || ((struct pw_store_watch_result *)r)->is_last) {
			g_hash_table_remove(s->calls, c->pending);
			c->pending = NULL;
		}
		c->ops->done(c, r);
	}
	pw_msg_free(m);
}

static void reply_source_ready(struct pw_source *src, uint32_t events)
{
	struct task_store *s =
		(struct task_store *)((char *)src - offsetof(struct task_store, reply_source));

	(void)events;
	pw_mailbox_receive_all(s->inbox, handle_reply, s);
}

static const struct pw_source_ops reply_source_ops = { .ready = reply_source_ready };

/* Stops the task, checks that it has completed all open calls, and frees the store. */
static void task_store_free(struct pw_store *store)
{
	struct task_store *s = (struct task_store *)store;

	pw_mailbox_send(s->task_inbox, pw_task_stop_msg_new());
	pthread_join(s->thread, NULL);
	pw_mailbox_receive_all(s->inbox, handle_reply, s);
	ck_assert_uint_eq(g_hash_table_size(s->calls), 0);
	pw_loop_unwatch(s->loop, &s->reply_source);
	pw_mailbox_free(s->task_inbox);
	pw_mailbox_free(s->inbox);
	g_hash_table_destroy(s->calls);
	g_free(s);
}

static const struct pw_store_ops task_store_ops = {
	.name = "task",
	.range = task_store_range,
	.txn = task_store_txn,
	.lease_grant = task_store_lease_grant,
	.lease_keep_alive = task_store_lease_keep_alive,
	.lease_revoke = task_store_lease_revoke,
	.watch = task_store_watch,
	.cancel = task_store_cancel,
	.free = task_store_free,
};

static void *run_store_task(void *arg)
{
	struct task_store *s = arg;

	pw_task_run(&pw_store_task_ops, s->task_inbox, &s->args);
	return NULL;
}

static struct pw_store *task_store_new(struct pw_loop *loop, const char *const *endpoints)
{
	struct task_store *s = g_new0(struct task_store, 1);

	s->base.ops = &task_store_ops;
	s->loop = loop;
	s->args.store_new = pw_bindings[0]->store_new;
	s->args.endpoints = endpoints;
	s->calls = g_hash_table_new(NULL, NULL);
	ck_assert_int_eq(pw_mailbox_new(&s->inbox), PW_OK);
	ck_assert_int_eq(pw_mailbox_new(&s->task_inbox), PW_OK);
	s->reply_source.ops = &reply_source_ops;
	s->reply_source.fd = pw_mailbox_fd(s->inbox);
	ck_assert_int_eq(pw_loop_watch(loop, &s->reply_source, EPOLLIN), PW_OK);
	ck_assert_int_eq(pthread_create(&s->thread, NULL, run_store_task, s), 0);
	return &s->base;
}

static struct pw_store *http_store_new(struct pw_loop *loop, const char *const *endpoints)
{
	struct pw_store_etcd_options opts = PW_STORE_ETCD_OPTIONS_INIT;
	struct pw_store *s;

	opts.endpoints = endpoints;
	ck_assert_int_eq(pw_store_etcd_new(&s, loop, &opts), PW_OK);
	return s;
}

/* Runs the steps of a case; results of calls start the next step. */
struct runner {
	struct pw_store_call call;
	struct pw_store_call watch;
	struct pw_timer deadline;
	const struct store_case *test_case;
	size_t step;
	struct pw_loop *loop;
	struct pw_store *store;
	struct process server;
	GQueue updates;       /* of the watch, not consumed yet */
	guint next_event;     /* index of the next event in the first update */
	int64_t revision;     /* last one seen in a result */
	int64_t mod_revision; /* of the last key seen */
	int64_t lease_id;
	uint64_t initial_counters[4]; /* at the start of the case */
	bool stopping;                /* the store is being freed: results are not checked */
};

#define check_step(r, condition)                                                     \
	ck_assert_msg(condition, "case \"%s\", step %zu: %s", (r)->test_case->label, \
		      (r)->step + 1, #condition)

static void run_steps(struct runner *r);

static void read_counters(uint64_t out[4])
{
	out[0] = pw_counter_get(PW_COUNTER_STORE_READS);
	out[1] = pw_counter_get(PW_COUNTER_STORE_WRITES);
	out[2] = pw_counter_get(PW_COUNTER_STORE_WATCHES);
	out[3] = pw_counter_get(PW_COUNTER_STORE_FAILURES);
}

/* Compares the counters since the start of the case with "reads writes watches failures". */
static void check_counters(struct runner *r, const char *expected)
{
	uint64_t counts[4];
	char text[96];

	read_counters(counts);
	for (size_t i = 0; i < 4; i++)
		counts[i] -= r->initial_counters[i];
	snprintf(text, sizeof(text), "%" PRIu64 " %" PRIu64 " %" PRIu64 " %" PRIu64, counts[0],
		 counts[1], counts[2], counts[3]);
	ck_assert_str_eq(text, expected);
}

static void check_kv(struct runner *r, const struct pw_store_kv *kv, const char *value)
{
	r->mod_revision = kv ? kv->mod_revision : 0;
	check_step(r, (value != NULL) == (kv && kv->mod_revision));
	if (!value)
		return;
	check_step(r, kv->size_bytes == strlen(value));
	check_step(r, memcmp(kv->value, value, kv->size_bytes) == 0);
	check_step(r, kv->create_revision > 0 && kv->create_revision <= kv->mod_revision);
	check_step(r, kv->version > 0);
}

static void check_keys(struct runner *r, const struct pw_store_range_result *rr,
		       const char *expected)
{
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < rr->kv_count; i++)
		g_string_append_printf(text, "%s%s", i ? "," : "", rr->kvs[i].key);
	g_string_append(text, rr->has_more ? "+" : "");
	ck_assert_msg(strcmp(text->str, expected) == 0, "case \"%s\", step %zu: keys %s",
		      r->test_case->label, r->step + 1, text->str);
	g_string_free(text, TRUE);
}

static void check_result(struct runner *r, const struct step *s, struct pw_store_result *base)
{
	ck_assert_msg(base->code == s->code, "case \"%s\", step %zu: code %d (%s)",
		      r->test_case->label, r->step + 1, base->code,
		      base->message ? base->message : "-");
	check_step(r, base->maybe_applied == s->maybe_applied);
	check_step(r, (base->message != NULL) == (base->code != PW_OK));
	if (base->code != PW_OK && base->code != PW_ECONFLICT)
		return;
	check_step(r, base->revision > 0);
	r->revision = base->revision;
	if (s->kind == READ || s->kind == READ_AT) {
		struct pw_store_range_result *rr = (struct pw_store_range_result *)base;

		check_kv(r, rr->kv_count ? rr->kvs : NULL, s->value);
	} else if (s->kind == READ_PREFIX) {
		check_keys(r, (struct pw_store_range_result *)base, s->value);
	} else if (base->code == PW_ECONFLICT) {
		/* The next SWAP compares with the revision that was read back. */
		struct pw_store_txn_result *tr = (struct pw_store_txn_result *)base;

		check_step(r, tr->kv_count == 1);
		r->mod_revision = tr->kvs[0].mod_revision;
	} else if (base->kind == PW_STORE_TXN) {
		r->mod_revision = base->revision;
	} else if (base->kind == PW_STORE_LEASE_GRANT) {
		struct pw_store_lease_result *lr = (struct pw_store_lease_result *)base;

		r->lease_id = lr->lease_id;
		check_step(r, lr->ttl_us == (uint64_t)s->number * PW_US_PER_S);
	}
}

static void call_done(struct pw_store_call *c, struct pw_store_result *result)
{
	struct runner *r = (struct runner *)c;

	if (!r->stopping)
		check_result(r, &r->test_case->steps[r->step], result);
	pw_store_result_free(result);
	if (r->stopping)
		return;
	r->step++;
	run_steps(r);
}

static const struct pw_store_call_ops call_ops = { .done = call_done };

static bool is_watch_expectation(enum step_kind kind)
{
	return kind >= EXPECT_OPENED && kind <= EXPECT_ENDED;
}

static void watch_done(struct pw_store_call *c, struct pw_store_result *result)
{
	struct runner *r = (struct runner *)((char *)c - offsetof(struct runner, watch));

	g_queue_push_tail(&r->updates, result);
	if (!r->stopping && is_watch_expectation(r->test_case->steps[r->step].kind))
		run_steps(r);
}

static const struct pw_store_call_ops watch_ops = { .done = watch_done };

static void drop_first_update(struct runner *r)
{
	pw_store_result_free(g_queue_pop_head(&r->updates));
	r->next_event = 0;
}

/* Consumes updates of the watch up to the one that the step expects; true if it has arrived. */
static bool match_updates(struct runner *r, const struct step *s)
{
	struct pw_store_watch_result *u;

	while ((u = g_queue_peek_head(&r->updates))) {
		bool is_progress = u->base.code == PW_OK && !u->just_opened && !u->event_count;
		bool has_event = r->next_event < u->event_count;
		const struct pw_store_event *e = has_event ? &u->events[r->next_event] : NULL;

		if (e) {
			check_step(r, s->kind == EXPECT_EVENT);
			r->next_event++;
			check_step(r, strcmp(e->kv.key, s->key) == 0);
			check_step(r, (e->kind == PW_STORE_PUT) == (s->value != NULL));
			if (s->value)
				check_kv(r, &e->kv, s->value);
			check_step(r, e->kv.mod_revision > 0);
			if (r->next_event == u->event_count)
				drop_first_update(r);
			return true;
		}
		if (s->kind == EXPECT_OPENED && u->just_opened) {
			r->revision = u->base.revision;
			drop_first_update(r);
			return true;
		}
		if (s->kind == EXPECT_PROGRESS && is_progress) {
			check_step(r, u->base.revision >= r->revision);
			drop_first_update(r);
			return true;
		}
		if (s->kind == EXPECT_INTERRUPTED || s->kind == EXPECT_ENDED) {
			bool is_failure = u->base.code != PW_OK;

			if (is_failure) {
				check_step(r, u->base.code == s->code);
				check_step(r, u->is_last == (s->kind == EXPECT_ENDED));
			}
			drop_first_update(r);
			if (is_failure)
				return true;
			continue;
		}
		/* Progress may come at any time; reopening a watch may take several attempts. */
		check_step(r, is_progress || (s->kind == EXPECT_OPENED && !u->is_last));
		drop_first_update(r);
	}
	return false;
}

static int start_txn(struct runner *r, const struct step *s)
{
	struct pw_store_compare compare = { .key = s->key };
	struct pw_store_change change = {
		.key = s->key,
		.kind = s->value ? PW_STORE_PUT : PW_STORE_DELETE,
		.value = s->value,
		.size_bytes = s->value ? strlen(s->value) : 0,
		.lease_id = s->kind == PUT_WITH_LEASE ? r->lease_id : 0,
	};
	struct pw_store_txn txn = {
		.compares = &compare,
		.compare_count = s->kind == CREATE || s->kind == SWAP,
		.changes = &change,
		.change_count = 1,
	};

	if (s->kind == CREATE) {
		compare.target = PW_STORE_CREATE_REVISION;
	} else {
		compare.target = PW_STORE_MOD_REVISION;
		compare.revision = r->mod_revision;
	}
	return r->store->ops->txn(r->store, &txn, PW_STORE_CALL_TIMEOUT_US, &r->call);
}

static int start_range(struct runner *r, const struct step *s)
{
	const struct pw_store_range req = {
		.key = s->key,
		.prefix = s->kind == READ_PREFIX,
		.after_key = s->after_key,
		.limit = s->kind == READ_AT ? 0 : (uint32_t)s->number,
		.revision = s->kind == READ_AT ? s->number : 0,
	};

	return r->store->ops->range(r->store, &req, PW_STORE_CALL_TIMEOUT_US, &r->call);
}

static int start_watch(struct runner *r, const struct step *s)
{
	const struct pw_store_watch req = {
		.key = s->key,
		.prefix = s->kind == WATCH_PREFIX,
		.start_revision = s->number == AFTER_LAST_REVISION ? r->revision + 1 : s->number,
	};

	return r->store->ops->watch(r->store, &req, PW_STORE_CALL_TIMEOUT_US, &r->watch);
}

static void compact(struct runner *r)
{
	char *body = g_strdup_printf("{\"revision\":\"%" PRId64 "\"}", r->revision);

	post_json(&r->server, "/v3/kv/compaction", body);
	g_free(body);
}

/* Starts a step; true if it is already complete. */
static bool start_step(struct runner *r, const struct step *s)
{
	const struct pw_store_ops *ops = r->store->ops;
	int rc = PW_OK;

	switch (s->kind) {
	case SET_FAULT:
		post_json(&r->server, "/fault", s->value);
		return true;
	case COMPACT:
		compact(r);
		return true;
	case EXPECT_COUNTS:
		check_counters(r, s->value);
		return true;
	case READ:
	case READ_AT:
	case READ_PREFIX:
		rc = start_range(r, s);
		break;
	case CREATE:
	case SWAP:
	case PUT:
	case PUT_WITH_LEASE:
		rc = start_txn(r, s);
		break;
	case GRANT_LEASE:
		rc = ops->lease_grant(r->store, (uint64_t)s->number * PW_US_PER_S,
				      PW_STORE_CALL_TIMEOUT_US, &r->call);
		break;
	case KEEP_LEASE_ALIVE:
		rc = ops->lease_keep_alive(r->store, r->lease_id, PW_STORE_CALL_TIMEOUT_US,
					   &r->call);
		break;
	case REVOKE_LEASE:
		rc = ops->lease_revoke(r->store, r->lease_id, PW_STORE_CALL_TIMEOUT_US, &r->call);
		break;
	case WATCH:
	case WATCH_PREFIX:
		check_step(r, start_watch(r, s) == PW_OK);
		return true;
	case CANCEL_WATCH:
		ops->cancel(r->store, &r->watch);
		return true;
	case EXPECT_OPENED:
	case EXPECT_EVENT:
	case EXPECT_PROGRESS:
	case EXPECT_INTERRUPTED:
	case EXPECT_ENDED:
		return match_updates(r, s);
	case STEP_END:
		break;
	}
	check_step(r, rc == PW_OK);
	return false;
}

/* Runs steps until one has to wait; stops the loop after the last step. */
static void run_steps(struct runner *r)
{
	const struct step *s = &r->test_case->steps[r->step];

	while (s->kind != STEP_END && start_step(r, s))
		s = &r->test_case->steps[++r->step];
	if (s->kind == STEP_END)
		pw_loop_stop(r->loop);
}

static void deadline_expired(struct pw_timer *t, uint64_t now_us)
{
	struct runner *r = (struct runner *)((char *)t - offsetof(struct runner, deadline));

	(void)now_us;
	ck_abort_msg("case \"%s\": step %zu did not end in time", r->test_case->label, r->step + 1);
}

static const struct pw_timer_ops deadline_ops = { .expire = deadline_expired };

static uint64_t process_cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (uint64_t)ts.tv_sec * PW_US_PER_S + (uint64_t)ts.tv_nsec / 1000;
}

static void run_case(const struct store_case *c, bool through_task)
{
	struct runner r = {
		.call = { .ops = &call_ops },
		.watch = { .ops = &watch_ops },
		.deadline = { .ops = &deadline_ops },
		.test_case = c,
	};
	const char *endpoints[3] = { NULL };
	uint64_t cpu_us, server_cpu_us;
	char reachable_url[64], refusing_url[64];
	uint16_t refusing_port;
	/* Bound but not listening, so connections are refused. */
	int refusing_fd = bind_loopback(&refusing_port);
	size_t n = 0;

	if (c->canned.status)
		start_canned_server(&r.server, &c->canned);
	else
		start_standin(&r.server);
	snprintf(reachable_url, sizeof(reachable_url), "http://127.0.0.1:%u", r.server.port);
	snprintf(refusing_url, sizeof(refusing_url), "http://127.0.0.1:%u", refusing_port);
	if (c->endpoints != REACHABLE)
		endpoints[n++] = refusing_url;
	if (c->endpoints != REFUSING)
		endpoints[n++] = reachable_url;
	ck_assert_int_eq(pw_loop_new(&r.loop), PW_OK);
	read_counters(r.initial_counters);
	g_atomic_int_set(&store_down_count, 0);
	g_atomic_int_set(&store_up_count, 0);
	cpu_us = process_cpu_us();
	r.store = through_task ? task_store_new(r.loop, endpoints)
			       : http_store_new(r.loop, endpoints);
	pw_loop_timer_set(r.loop, &r.deadline, pw_clock_now_us() + CASE_TIMEOUT_US);
	run_steps(&r);
	pw_loop_run(r.loop);
	r.stopping = true;
	r.store->ops->free(r.store);
	ck_assert_ptr_null(r.watch.pending);
	cpu_us = process_cpu_us() - cpu_us;
	while (!g_queue_is_empty(&r.updates))
		drop_first_update(&r);
	pw_loop_timer_clear(r.loop, &r.deadline);
	pw_loop_free(r.loop);
	close(refusing_fd);
	server_cpu_us = kill_process(&r.server);
	if (c->is_idle) {
		ck_assert_uint_lt(cpu_us, IDLE_CPU_MAX_US);
		ck_assert_uint_lt(server_cpu_us, IDLE_CPU_MAX_US);
	}
	if (through_task && c->store_downs != ANY_COUNT) {
		ck_assert_int_eq(g_atomic_int_get(&store_down_count), c->store_downs);
		ck_assert_int_eq(g_atomic_int_get(&store_up_count), c->store_ups);
	}
}

static char big_value[PW_STORE_VALUE_MAX_BYTES + 1];

static const struct store_case cases[] = {
	{ .label = "read back written values",
	  .steps = { { READ, "k" },
		     { CREATE, "k", "1" },
		     { READ, "k", "1" },
		     { SWAP, "k", "2" },
		     { READ, "k", "2" },
		     { SWAP, "k", NULL },
		     { READ, "k" },
		     { PUT, "empty", "" },
		     { READ, "empty", "" },
		     { EXPECT_COUNTS, .value = "5 4 0 0" } } },
	{ .label = "prefix read in order and in parts",
	  .steps = { { PUT, "p/b", "1" },
		     { PUT, "p/a", "1" },
		     { PUT, "p/c", "1" },
		     { PUT, "p", "1" },
		     { PUT, "p0", "1" },
		     { READ_PREFIX, "p/", "p/a,p/b,p/c" },
		     { READ_PREFIX, "p/", "p/a,p/b+", .number = 2 },
		     { READ_PREFIX, "p/", "p/c", .number = 2, .after_key = "p/b" },
		     { READ_PREFIX, "", "p,p/a,p/b,p/c,p0" },
		     { READ_PREFIX, "q", "" } } },
	/* An empty store is at revision 1. */
	{ .label = "older revisions until compaction",
	  .steps = { { CREATE, "k", "1" },
		     { PUT, "k", "2" },
		     { SWAP, "k", NULL },
		     { READ_AT, "k", NULL, .number = 1 },
		     { READ_AT, "k", "1", .number = 2 },
		     { READ_AT, "k", "2", .number = 3 },
		     { READ_AT, "k", NULL, .number = 4 },
		     { READ_AT, "k", NULL, .code = PW_ENOTFOUND, .number = 5 },
		     { COMPACT },
		     { READ_AT, "k", NULL, .code = PW_ENOTFOUND, .number = 3 },
		     { READ, "k" } } },
	{ .label = "failed comparison changes nothing and returns the current value",
	  .steps = { { CREATE, "k", "1" },
		     { CREATE, "k", "2", PW_ECONFLICT },
		     { READ, "k", "1" },
		     { SWAP, "k", "3" },
		     { PUT, "other", "1" },
		     { SWAP, "k", "4", PW_ECONFLICT },
		     { SWAP, "k", "5" },
		     { READ, "k", "5" },
		     { SWAP, "missing", "1", PW_ECONFLICT },
		     { SWAP, "missing", "1" },
		     { EXPECT_COUNTS, .value = "2 8 0 0" } } },
	{ .label = "largest value",
	  .steps = { { CREATE, "big", big_value },
		     { READ, "big", big_value },
		     { SWAP, "big", "small" },
		     { READ, "big", "small" } } },
	{ .label = "lease ends with its keys",
	  .steps = { { GRANT_LEASE, .number = 1 },
		     { PUT_WITH_LEASE, "l", "1" },
		     { WATCH, "l", .number = AFTER_LAST_REVISION },
		     { EXPECT_OPENED },
		     { KEEP_LEASE_ALIVE },
		     { EXPECT_EVENT, "l", NULL },
		     { KEEP_LEASE_ALIVE, .code = PW_ENOTFOUND },
		     { REVOKE_LEASE, .code = PW_ENOTFOUND },
		     { PUT_WITH_LEASE, "l", "2", PW_ENOTFOUND },
		     { READ, "l" } } },
	{ .label = "revoked lease",
	  .steps = { { GRANT_LEASE, .number = 30 },
		     { PUT_WITH_LEASE, "l", "1" },
		     { KEEP_LEASE_ALIVE },
		     { REVOKE_LEASE },
		     { READ, "l" },
		     { KEEP_LEASE_ALIVE, .code = PW_ENOTFOUND } } },
	{ .label = "watch from an old revision, then live",
	  .steps = { { PUT, "w/a", "1" },
		     { WATCH_PREFIX, "w/", .number = 1 },
		     { EXPECT_OPENED },
		     { EXPECT_EVENT, "w/a", "1" },
		     { PUT, "other", "1" },
		     { PUT, "w/b", "2" },
		     { EXPECT_EVENT, "w/b", "2" },
		     { SWAP, "w/b", NULL },
		     { EXPECT_EVENT, "w/b", NULL },
		     { EXPECT_PROGRESS },
		     { CANCEL_WATCH },
		     { PUT, "w/c", "3" },
		     { EXPECT_COUNTS, .value = "0 5 1 0" } } },
	{ .label = "watch of one key, from now",
	  .steps = { { PUT, "w", "1" },
		     { WATCH, "w" },
		     { EXPECT_OPENED },
		     { PUT, "w2", "2" },
		     { PUT, "w", "3" },
		     { EXPECT_EVENT, "w", "3" } } },
	{ .label = "watch of a compacted revision",
	  .steps = { { PUT, "w", "1" },
		     { PUT, "w", "2" },
		     { COMPACT },
		     { WATCH, "w", .number = 1 },
		     { EXPECT_ENDED, .code = PW_ENOTFOUND } } },
	{ .label = "no response, then recovery",
	  .store_downs = 1,
	  .store_ups = 1,
	  .steps = { { PUT, "k", "1" },
		     { SET_FAULT, .value = "{\"mode\":\"down\"}" },
		     { READ, "k", .code = PW_ETIMEOUT },
		     { SWAP, "k", "2", PW_ETIMEOUT, true },
		     { GRANT_LEASE, .number = 5, .code = PW_ETIMEOUT, .maybe_applied = true },
		     { SET_FAULT, .value = "{\"mode\":\"ok\"}" },
		     { READ, "k", "1" },
		     { EXPECT_COUNTS, .value = "2 3 0 3" } } },
	{ .label = "status 503, then recovery",
	  .store_downs = 1,
	  .store_ups = 1,
	  .steps = { { SET_FAULT, .value = "{\"mode\":\"error\"}" },
		     { READ, "k", .code = PW_EUNAVAILABLE },
		     { CREATE, "k", "1", PW_EUNAVAILABLE, true },
		     { KEEP_LEASE_ALIVE, .code = PW_EUNAVAILABLE, .maybe_applied = true },
		     { READ, "k", .code = PW_EUNAVAILABLE },
		     { SET_FAULT, .value = "{\"mode\":\"ok\"}" },
		     { CREATE, "k", "1" } } },
	{ .label = "slow responses within the timeout",
	  .steps = { { SET_FAULT, .value = "{\"mode\":\"slow\",\"delay_ms\":200}" },
		     { CREATE, "k", "1" },
		     { READ, "k", "1" },
		     { WATCH, "k", .number = 1 },
		     { EXPECT_OPENED },
		     { EXPECT_EVENT, "k", "1" } } },
	{ .label = "write without a response takes effect later",
	  .steps = { { WATCH, "k" },
		     { EXPECT_OPENED },
		     { SET_FAULT, .value = "{\"mode\":\"slow\",\"delay_ms\":2000}" },
		     { CREATE, "k", "1", PW_ETIMEOUT, true },
		     { SET_FAULT, .value = "{\"mode\":\"ok\"}" },
		     { EXPECT_EVENT, "k", "1" },
		     { READ, "k", "1" } } },
	/* Guards against a retry of the write by libcurl, which would report a conflict. */
	{ .label = "response dropped after the write",
	  .steps = { { CREATE, "k", "1" },
		     { READ, "k", "1" },
		     { SET_FAULT, .value = "{\"drop_after_effect\":1}" },
		     { SWAP, "k", "2", PW_ETIMEOUT, true },
		     { READ, "k", "2" },
		     { SWAP, "k", "3" },
		     { EXPECT_COUNTS, .value = "2 3 0 1" } } },
	{ .label = "stale reads",
	  .steps = { { CREATE, "k", "1" },
		     { SET_FAULT, .value = "{\"stale_reads\":true}" },
		     { SWAP, "k", "2" },
		     { READ, "k", "1" },
		     { SWAP, "k", "3", PW_ECONFLICT },
		     { SWAP, "k", "3" },
		     { READ, "k", "1" },
		     { SET_FAULT, .value = "{\"stale_reads\":false}" },
		     { READ, "k", "3" } } },
	{ .label = "silent watch is reopened and loses no event",
	  .is_idle = true,
	  .steps = { { WATCH_PREFIX, "k" },
		     { EXPECT_OPENED },
		     { PUT, "k1", "1" },
		     { EXPECT_EVENT, "k1", "1" },
		     { SET_FAULT, .value = "{\"silent_watches\":true}" },
		     { PUT, "k2", "2" },
		     { EXPECT_INTERRUPTED, .code = PW_ETIMEOUT },
		     { EXPECT_OPENED },
		     { EXPECT_EVENT, "k2", "2" },
		     { PUT, "k3", "3" },
		     { EXPECT_EVENT, "k3", "3" },
		     { EXPECT_COUNTS, .value = "0 3 2 1" } } },
	{ .label = "watch through an outage",
	  .is_idle = true,
	  .steps = { { WATCH_PREFIX, "k", .number = 1 },
		     { EXPECT_OPENED },
		     { PUT, "k1", "1" },
		     { EXPECT_EVENT, "k1", "1" },
		     { SET_FAULT, .value = "{\"mode\":\"down\"}" },
		     { EXPECT_INTERRUPTED, .code = PW_ETIMEOUT },
		     { EXPECT_INTERRUPTED, .code = PW_ETIMEOUT },
		     { SET_FAULT, .value = "{\"mode\":\"ok\"}" },
		     { PUT, "k2", "2" },
		     { EXPECT_OPENED },
		     { EXPECT_EVENT, "k2", "2" } } },
	{ .label = "watch refused with 503, then opened",
	  .store_downs = ANY_COUNT,
	  .steps = { { SET_FAULT, .value = "{\"mode\":\"error\"}" },
		     { WATCH, "k" },
		     { EXPECT_INTERRUPTED, .code = PW_EUNAVAILABLE },
		     { SET_FAULT, .value = "{\"mode\":\"ok\"}" },
		     { EXPECT_OPENED },
		     { PUT, "k", "1" },
		     { EXPECT_EVENT, "k", "1" } } },
	{ .label = "refused connection",
	  .endpoints = REFUSING,
	  .store_downs = 1,
	  .steps = { { READ, "k", .code = PW_EUNAVAILABLE },
		     { CREATE, "k", "1", PW_EUNAVAILABLE },
		     { GRANT_LEASE, .number = 1, .code = PW_EUNAVAILABLE },
		     { EXPECT_COUNTS, .value = "1 2 0 3" } } },
	{ .label = "second endpoint after a refused connection",
	  .endpoints = REFUSING_AND_REACHABLE,
	  .steps = { { CREATE, "k", "1" },
		     { READ, "k", "1" },
		     { WATCH, "k", .number = 1 },
		     { EXPECT_OPENED },
		     { EXPECT_EVENT, "k", "1" },
		     { EXPECT_COUNTS, .value = "1 2 1 1" } } },
	{ .label = "watch moves to the second endpoint",
	  .endpoints = REFUSING_AND_REACHABLE,
	  .steps = { { WATCH, "k" },
		     { EXPECT_INTERRUPTED, .code = PW_EUNAVAILABLE },
		     { EXPECT_OPENED },
		     { EXPECT_COUNTS, .value = "0 0 2 1" } } },
	{ .label = "watch still open at the end",
	  .steps = { { WATCH, "k" }, { EXPECT_OPENED }, { PUT, "k", "1" } } },
};

#define OK_HEADER "\"header\":{\"revision\":\"7\"}"

static const struct store_case canned_cases[] = {
	{ .label = "integers as numbers, unknown fields",
	  .canned = { "200 OK", "{\"header\":{\"revision\":7,\"new\":1},\"new\":[],"
				"\"kvs\":[{\"key\":\"aw==\",\"value\":\"MQ==\",\"version\":1,"
				"\"create_revision\":2,\"mod_revision\":3}]}" },
	  .steps = { { READ, "k", "1" } } },
	{ .label = "range: not JSON",
	  .canned = { "200 OK", "<html>" },
	  .steps = { { READ, "k", .code = PW_EINVALID } } },
	{ .label = "range: JSON without a header",
	  .canned = { "200 OK", "{}" },
	  .steps = { { READ, "k", .code = PW_EINVALID } } },
	{ .label = "range: an array in place of an object",
	  .canned = { "200 OK", "[1]" },
	  .steps = { { READ, "k", .code = PW_EINVALID } } },
	{ .label = "range: kvs is not an array",
	  .canned = { "200 OK", "{" OK_HEADER ",\"kvs\":\"x\"}" },
	  .steps = { { READ, "k", .code = PW_EINVALID } } },
	{ .label = "range: value is not base64",
	  .canned = { "200 OK", "{" OK_HEADER ",\"kvs\":[{\"key\":\"aw==\",\"value\":\"!!!!\"}]}" },
	  .steps = { { READ, "k", .code = PW_EINVALID } } },
	{ .label = "range: revision is not a number",
	  .canned = { "200 OK",
		      "{" OK_HEADER ",\"kvs\":[{\"key\":\"aw==\",\"mod_revision\":\"1x\"}]}" },
	  .steps = { { READ, "k", .code = PW_EINVALID } } },
	{ .label = "range: key with a NUL byte",
	  .canned = { "200 OK", "{" OK_HEADER ",\"kvs\":[{\"key\":\"a2sAaw==\"}]}" },
	  .steps = { { READ, "k", .code = PW_EINVALID } } },
	{ .label = "range: largest size",
	  .canned = { "200 OK", "{" OK_HEADER "}", PW_STORE_RESPONSE_MAX_BYTES - 100 },
	  .steps = { { READ, "k" } } },
	{ .label = "range: oversized",
	  .canned = { "200 OK", "{" OK_HEADER "}", PW_STORE_RESPONSE_MAX_BYTES },
	  .steps = { { READ, "k", .code = PW_EOVERFLOW } } },
	{ .label = "range: truncated response",
	  .canned = { "200 OK", "{" OK_HEADER "}", .missing_bytes = 10 },
	  .steps = { { READ, "k", .code = PW_ETIMEOUT } } },
	{ .label = "range: connection closed without a response",
	  .canned = { "", "" },
	  .steps = { { READ, "k", .code = PW_ETIMEOUT } } },
	{ .label = "range: status 404",
	  .canned = { "404 Not Found", "" },
	  .steps = { { READ, "k", .code = PW_ENOTFOUND } } },
	{ .label = "txn: not JSON",
	  .canned = { "200 OK", "x" },
	  .steps = { { CREATE, "k", "1", PW_EINVALID, true } } },
	{ .label = "txn: oversized",
	  .canned = { "200 OK", "{" OK_HEADER "}", PW_STORE_RESPONSE_MAX_BYTES },
	  .steps = { { CREATE, "k", "1", PW_EOVERFLOW, true } } },
	{ .label = "txn: truncated response",
	  .canned = { "200 OK", "{" OK_HEADER ",\"succeeded\":true}", .missing_bytes = 1 },
	  .steps = { { CREATE, "k", "1", PW_ETIMEOUT, true } } },
	{ .label = "txn: conflict without the current value",
	  .canned = { "200 OK", "{" OK_HEADER "}" },
	  .steps = { { CREATE, "k", "1", PW_EINVALID, true } } },
	{ .label = "txn: status 400",
	  .canned = { "400 Bad Request", "{\"message\":\"duplicate key\"}" },
	  .steps = { { CREATE, "k", "1", PW_EINVALID } } },
	{ .label = "txn: status 429",
	  .canned = { "429 Too Many Requests", "" },
	  .steps = { { CREATE, "k", "1", PW_EUNAVAILABLE } } },
	{ .label = "txn: status 504",
	  .canned = { "504 Gateway Timeout", "" },
	  .steps = { { CREATE, "k", "1", PW_EUNAVAILABLE, true } } },
	{ .label = "lease: granted without an ID",
	  .canned = { "200 OK", "{" OK_HEADER ",\"TTL\":\"5\"}" },
	  .steps = { { GRANT_LEASE, .number = 5, .code = PW_EINVALID, .maybe_applied = true } } },
	{ .label = "lease: error in the stream",
	  .canned = { "200 OK", "{\"error\":{\"grpc_code\":14,\"message\":\"no leader\"}}" },
	  .steps = { { KEEP_LEASE_ALIVE, .code = PW_EINVALID, .maybe_applied = true } } },
	{ .label = "watch: malformed message",
	  .store_downs = ANY_COUNT,
	  .canned = { "200 OK",
		      "{\"result\":{" OK_HEADER ",\"created\":true}}\n{\"result\":{}}\n" },
	  .steps = { { WATCH, "k" },
		     { EXPECT_OPENED },
		     { EXPECT_INTERRUPTED, .code = PW_EINVALID } } },
	{ .label = "watch: event without a revision",
	  .store_downs = ANY_COUNT,
	  .canned = { "200 OK",
		      "{\"result\":{" OK_HEADER ",\"events\":[{\"kv\":{\"key\":\"aw==\"}}]}}\n" },
	  .steps = { { WATCH, "k" }, { EXPECT_INTERRUPTED, .code = PW_EINVALID } } },
	{ .label = "watch: the response ends",
	  .store_downs = ANY_COUNT,
	  .canned = { "200 OK", "{\"result\":{" OK_HEADER ",\"created\":true}}\n" },
	  .steps = { { WATCH, "k" },
		     { EXPECT_OPENED },
		     { EXPECT_INTERRUPTED, .code = PW_EUNAVAILABLE },
		     { EXPECT_OPENED } } },
	{ .label = "watch: oversized message",
	  .canned = { "200 OK", "{\"result\":{" OK_HEADER ",\"created\":true}}\n",
		      PW_STORE_RESPONSE_MAX_BYTES * 2 },
	  .steps = { { WATCH, "k" }, { EXPECT_OPENED }, { EXPECT_ENDED, .code = PW_EOVERFLOW } } },
	{ .label = "watch: refused",
	  .canned = { "400 Bad Request", "{\"message\":\"no\"}" },
	  .steps = { { WATCH, "k" }, { EXPECT_ENDED, .code = PW_EINVALID } } },
	{ .label = "watch: cancelled by the service",
	  .canned = { "200 OK", "{\"result\":{" OK_HEADER ",\"canceled\":true}}\n" },
	  .steps = { { WATCH, "k" }, { EXPECT_ENDED, .code = PW_EINVALID } } },
};

/*
 * Guards against wrong results, lost watch events and busy waiting of the client. Each case runs
 * with the client alone (even _i) and through the store task (odd _i).
 */
START_TEST(test_store_cases)
{
	run_case(&cases[_i / 2], _i % 2);
}
END_TEST

/* Guards against malformed responses that crash the client or are taken for a success. */
START_TEST(test_canned_responses)
{
	run_case(&canned_cases[_i / 2], _i % 2);
}
END_TEST

/* A client that increments the key "n" by compare-and-swap until `increments_left` is 0. */
struct incrementer {
	struct pw_store_call call;
	struct pw_store *store;
	struct increment_race *race;
	int64_t value;
	int64_t mod_revision;
	uint32_t increments_left;
};

/* State that the clients of test_compare_and_swap_race share. */
struct increment_race {
	struct pw_timer deadline;
	struct pw_loop *loop;
	uint32_t running_client_count;
	uint32_t conflict_count;
};

static void try_increment(struct incrementer *inc)
{
	char text[24];
	struct pw_store_compare compare = {
		.key = "n",
		.target = PW_STORE_MOD_REVISION,
		.revision = inc->mod_revision,
	};
	struct pw_store_change change = { .key = "n", .kind = PW_STORE_PUT, .value = text };
	struct pw_store_txn txn = {
		.compares = &compare,
		.compare_count = 1,
		.changes = &change,
		.change_count = 1,
	};

	change.size_bytes = (size_t)snprintf(text, sizeof(text), "%" PRId64, inc->value + 1);
	ck_assert_int_eq(
		inc->store->ops->txn(inc->store, &txn, 10 * PW_STORE_CALL_TIMEOUT_US, &inc->call),
		PW_OK);
}

static void increment_done(struct pw_store_call *c, struct pw_store_result *base)
{
	struct incrementer *inc = (struct incrementer *)c;
	struct pw_store_txn_result *r = (struct pw_store_txn_result *)base;

	ck_assert(base->code == PW_OK || base->code == PW_ECONFLICT);
	if (base->code == PW_OK) {
		inc->value++;
		inc->mod_revision = base->revision;
		inc->increments_left--;
	} else {
		inc->race->conflict_count++;
		inc->value = g_ascii_strtoll(r->kvs[0].value, NULL, 10);
		inc->mod_revision = r->kvs[0].mod_revision;
	}
	pw_store_result_free(base);
	if (inc->increments_left)
		try_increment(inc);
	else if (!--inc->race->running_client_count)
		pw_loop_stop(inc->race->loop);
}

static const struct pw_store_call_ops increment_ops = { .done = increment_done };

static void race_deadline_expired(struct pw_timer *t, uint64_t now_us)
{
	(void)t;
	(void)now_us;
	ck_abort_msg("the race did not end in time");
}

static const struct pw_timer_ops race_deadline_ops = { .expire = race_deadline_expired };

static const struct {
	const char *label;
	uint32_t client_count;
	uint32_t increments_per_client;
} race_cases[] = {
	{ "two clients", 2, 100 },
	{ "six clients", 6, 20 },
};

/* Guards against lost updates: the last value must include the increments of all clients. */
START_TEST(test_compare_and_swap_race)
{
	uint32_t n = race_cases[_i].client_count;
	struct incrementer *incrementers = g_new0(struct incrementer, n);
	struct increment_race race = { .deadline = { .ops = &race_deadline_ops },
				       .running_client_count = n };
	struct process server;
	char endpoint[64];
	const char *endpoints[] = { endpoint, NULL };
	int64_t last = 0;

	start_standin(&server);
	snprintf(endpoint, sizeof(endpoint), "http://127.0.0.1:%u", server.port);
	ck_assert_int_eq(pw_loop_new(&race.loop), PW_OK);
	pw_loop_timer_set(race.loop, &race.deadline, pw_clock_now_us() + CASE_TIMEOUT_US);
	for (uint32_t i = 0; i < n; i++) {
		incrementers[i].call.ops = &increment_ops;
		incrementers[i].store = http_store_new(race.loop, endpoints);
		incrementers[i].race = &race;
		incrementers[i].increments_left = race_cases[_i].increments_per_client;
		try_increment(&incrementers[i]);
	}
	pw_loop_run(race.loop);
	for (uint32_t i = 0; i < n; i++) {
		last = MAX(last, incrementers[i].value);
		incrementers[i].store->ops->free(incrementers[i].store);
	}
	ck_assert_msg(last == (int64_t)n * race_cases[_i].increments_per_client, "case: %s",
		      race_cases[_i].label);
	ck_assert_uint_gt(race.conflict_count, 0);
	pw_loop_timer_clear(race.loop, &race.deadline);
	pw_loop_free(race.loop);
	kill_process(&server);
	g_free(incrementers);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("store");

	memset(big_value, 'x', sizeof(big_value) - 1);
	g_log_set_writer_func(count_events, NULL, NULL);
	tcase_add_loop_test(tc, test_store_cases, 0, 2 * PW_ARRAY_LEN(cases));
	tcase_add_loop_test(tc, test_canned_responses, 0, 2 * PW_ARRAY_LEN(canned_cases));
	tcase_add_loop_test(tc, test_compare_and_swap_race, 0, PW_ARRAY_LEN(race_cases));
	return pw_suite_run("store", tc);
}
