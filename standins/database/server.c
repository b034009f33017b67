/* Task of the server: accepts connections, changes the role and injects faults. */
#include "server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pw/core/error.h"
#include "pw/core/event.h"

#define HEARTBEAT_INTERVAL_US (50 * PW_US_PER_MS)
#define LISTEN_BACKLOG        256

static int parse_address(struct sockaddr_in *out, const char *address)
{
	const char *colon = strrchr(address, ':');
	char *ip;
	int ok;

	*out = (struct sockaddr_in){ .sin_family = AF_INET };
	if (!colon)
		return pw_error_set(PW_EINVALID, "%s is not IP:PORT", address);
	ip = g_strndup(address, (gsize)(colon - address));
	ok = inet_pton(AF_INET, ip, &out->sin_addr);
	g_free(ip);
	out->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	if (ok != 1 || out->sin_port == 0)
		return pw_error_set(PW_EINVALID, "%s is not IP:PORT", address);
	return PW_OK;
}

int pw_db_socket_open(int32_t *out, const char *address, bool listening)
{
	struct sockaddr_in a;
	const int on = 1;
	int fd, rc;

	rc = parse_address(&a, address);
	if (rc)
		return rc;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return pw_error_set(PW_ESYSTEM, "socket: %s", strerror(errno));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (listening) {
		if (bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0 &&
		    listen(fd, LISTEN_BACKLOG) == 0)
			goto done;
	} else if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0 || errno == EINPROGRESS) {
		goto done;
	}
	rc = pw_error_set(PW_ESYSTEM, "%s: %s", address, strerror(errno));
	close(fd);
	return rc;
done:
	*out = fd;
	return PW_OK;
}

const char *pw_db_server_role_name(const struct pw_db_server *s)
{
	static const char *const names[] = {
		[PW_DB_ROLE_PRIMARY] = "primary",
		[PW_DB_ROLE_REPLICA] = "replica",
		[PW_DB_ROLE_FENCED] = "fenced",
	};

	return names[s->role];
}

static void log_role(const struct pw_db_server *s)
{
	pw_event_log(PW_EVENT_TERM_CHANGED, "server=%s role=%s term=%" PRIu64 " lsn=%" PRIu64,
		     s->options->name ? s->options->name : s->options->listen,
		     pw_db_server_role_name(s), s->term, pw_db_data_lsn(&s->data));
}

void pw_db_server_step_down(struct pw_db_server *s, uint64_t term, const char *promoter)
{
	if (s->role == PW_DB_ROLE_PRIMARY)
		s->replica.applied_generated_us = s->replica.last_received_us =
			pw_loop_now_us(s->task.loop);
	pw_db_replica_stop(s);
	for (guint i = s->conns->len; i > 0; i--) {
		struct pw_db_conn *c = s->conns->pdata[i - 1];

		if (c->state == PW_DB_CONN_STREAMING)
			pw_db_conn_close(c);
	}
	s->role = PW_DB_ROLE_FENCED;
	s->term = term;
	s->term_start_lsn = pw_db_data_lsn(&s->data);
	if (promoter) {
		g_free(s->fence_promoter);
		s->fence_promoter = g_strdup(promoter);
		s->fence_term = term;
	}
	log_role(s);
}

/* Returns whether the promoter has fenced the server for the term, and the term is current. */
static bool is_fenced_by(const struct pw_db_server *s, uint64_t term, const char *promoter)
{
	return term == s->term && term == s->fence_term &&
	       g_strcmp0(promoter, s->fence_promoter) == 0;
}

int pw_db_server_fence(struct pw_db_server *s, uint64_t term, const char *promoter)
{
	/* A repeated pw_fence() must not undo a later promotion or pw_follow(). */
	if (is_fenced_by(s, term, promoter))
		return PW_OK;
	if (term <= s->term)
		return pw_error_set(PW_ECONFLICT, "term %" PRIu64 " is not above term %" PRIu64,
				    term, s->term);
	pw_db_server_step_down(s, term, promoter);
	return PW_OK;
}

int pw_db_server_promote(struct pw_db_server *s, uint64_t term, const char *promoter)
{
	if (!is_fenced_by(s, term, promoter))
		return pw_error_set(PW_ECONFLICT, "the server is not fenced for this term");
	if (s->role == PW_DB_ROLE_PRIMARY)
		return PW_OK;
	if (s->replica.primary_address)
		return pw_error_set(PW_ECONFLICT, "the server follows %s in this term",
				    s->replica.primary_address);
	s->role = PW_DB_ROLE_PRIMARY;
	s->term_start_lsn = pw_db_data_lsn(&s->data);
	log_role(s);
	return PW_OK;
}

int pw_db_server_follow(struct pw_db_server *s, uint64_t term, const char *address)
{
	struct sockaddr_in unused;
	int rc = parse_address(&unused, address);

	if (rc)
		return rc;
	if (term < s->term)
		return pw_error_set(PW_ECONFLICT, "term %" PRIu64 " is below term %" PRIu64, term,
				    s->term);
	if (term == s->term && s->role == PW_DB_ROLE_PRIMARY)
		return pw_error_set(PW_ECONFLICT, "the server is the primary of this term");
	if (term == s->term && g_strcmp0(address, s->replica.primary_address) == 0)
		return PW_OK;
	pw_db_server_step_down(s, term, NULL);
	pw_db_replica_follow(s, address);
	return PW_OK;
}

static void resume_all_conns(struct pw_db_server *s)
{
	/* Iterates over a copy, because a statement that runs now may close other connections. */
	GPtrArray *conns = g_ptr_array_copy(s->conns, NULL, NULL);

	for (guint i = 0; i < conns->len; i++)
		pw_db_conn_resume(conns->pdata[i]);
	g_ptr_array_unref(conns);
	pw_db_replica_resume(s);
}

static int set_repeat(struct pw_db_server *s, const char *value)
{
	static const char *const parts[] = {
		[PW_DB_REPEAT_WHOLE] = "whole",
		[PW_DB_REPEAT_END] = "end",
		[PW_DB_REPEAT_READY] = "ready",
		[PW_DB_REPEAT_ROWS] = "rows",
	};
	uint32_t every = 0, delay_ms = 0;
	char part[8] = "whole";

	if (sscanf(value, "%" SCNu32 ",%" SCNu32 ",%7[a-z]", &every, &delay_ms, part) < 1)
		return pw_error_set(PW_EINVALID, "the value is not N,DELAY_MS,PART");
	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		if (strcmp(part, parts[i]) == 0)
			s->repeat_part = (enum pw_db_repeat_part)i;
	}
	s->repeat_every = every;
	s->repeat_delay_ms = delay_ms;
	s->repeat_counter = 0;
	return PW_OK;
}

int pw_db_server_inject_fault(struct pw_db_server *s, const char *name, const char *value)
{
	int32_t n = (int32_t)strtol(value, NULL, 10);

	if (strcmp(name, "delay_ms") == 0) {
		s->answer_delay_ms = n;
	} else if (strcmp(name, "drop_answers") == 0) {
		s->answers_to_drop = n;
	} else if (strcmp(name, "refuse") == 0) {
		s->refuse_connections = n != 0;
	} else if (strcmp(name, "lag_ms") == 0) {
		s->lag_ms = n;
		pw_db_replica_resume(s);
	} else if (strcmp(name, "silent") == 0) {
		for (guint i = 0; n && i < s->conns->len; i++) {
			struct pw_db_conn *c = s->conns->pdata[i];

			c->discard_output |= !pw_db_conn_is_test(c);
		}
	} else if (strcmp(name, "cut") == 0) {
		if (strcmp(value, "none") == 0)
			g_hash_table_remove_all(s->partitioned_applications);
		else
			g_hash_table_add(s->partitioned_applications, g_strdup(value));
		resume_all_conns(s);
	} else if (strcmp(name, "repeat_answers") == 0) {
		return set_repeat(s, value);
	} else if (strcmp(name, "crash") == 0) {
		_exit(EXIT_FAILURE);
	} else {
		return pw_error_set(PW_EINVALID, "there is no fault of this name");
	}
	return PW_OK;
}

static void listener_ready(struct pw_source *src, uint32_t events)
{
	struct pw_db_server *s = PW_DB_CONTAINER_OF(src, struct pw_db_server, listener);
	const int on = 1;
	int fd;

	(void)events;
	while ((fd = accept4(src->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		pw_db_conn_new(s, fd);
	}
}

static const struct pw_source_ops listener_ops = { .ready = listener_ready };

static void signals_ready(struct pw_source *src, uint32_t events)
{
	(void)events;
	pw_task_finish(&PW_DB_CONTAINER_OF(src, struct pw_db_server, signals)->task);
}

static const struct pw_source_ops signals_ops = { .ready = signals_ready };

static void heartbeat_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct pw_db_server *s = PW_DB_CONTAINER_OF(t, struct pw_db_server, heartbeat_timer);

	for (guint i = s->conns->len; i > 0; i--)
		pw_db_stream_heartbeat(s->conns->pdata[i - 1]);
	pw_loop_timer_set(s->task.loop, t, now_us + HEARTBEAT_INTERVAL_US);
}

static const struct pw_timer_ops heartbeat_timer_ops = { .expire = heartbeat_timer_expired };

static void reap_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	(void)now_us;
	g_ptr_array_set_size(PW_DB_CONTAINER_OF(t, struct pw_db_server, reap_timer)->closed_conns,
			     0);
}

static const struct pw_timer_ops reap_timer_ops = { .expire = reap_timer_expired };

static void server_dispose(struct pw_db_server *s)
{
	pw_db_replica_stop(s);
	while (s->conns->len)
		pw_db_conn_close(s->conns->pdata[s->conns->len - 1]);
	g_ptr_array_unref(s->conns);
	g_ptr_array_unref(s->closed_conns);
	g_byte_array_unref(s->replica.in);
	g_ptr_array_unref(s->replica.partial_changes);
	g_hash_table_unref(s->partitioned_applications);
	g_free(s->fence_promoter);
	pw_db_data_dispose(&s->data);
	for (size_t i = 0; i < 2; i++) {
		struct pw_source *src = i ? &s->listener : &s->signals;

		pw_loop_unwatch(s->task.loop, src);
		if (src->fd >= 0)
			close(src->fd);
	}
}

static int server_start(struct pw_task *t)
{
	struct pw_db_server *s = (struct pw_db_server *)t;
	sigset_t set;
	int rc;

	s->options = t->args;
	s->lag_ms = s->options->lag_ms;
	s->conns = g_ptr_array_new();
	s->closed_conns = g_ptr_array_new_with_free_func((GDestroyNotify)pw_db_conn_free);
	s->partitioned_applications = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->listener = (struct pw_source){ .ops = &listener_ops, .fd = -1 };
	s->signals = (struct pw_source){ .ops = &signals_ops, .fd = -1 };
	s->heartbeat_timer.ops = &heartbeat_timer_ops;
	s->reap_timer.ops = &reap_timer_ops;
	pw_db_data_init(&s->data);
	pw_db_replica_init(s);
	rc = pw_db_socket_open(&s->listener.fd, s->options->listen, true);
	if (rc)
		goto fail;
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigprocmask(SIG_BLOCK, &set, NULL);
	s->signals.fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	rc = pw_loop_watch(t->loop, &s->listener, EPOLLIN);
	if (rc)
		goto fail;
	rc = pw_loop_watch(t->loop, &s->signals, EPOLLIN);
	if (rc)
		goto fail;
	s->role = s->options->primary ? PW_DB_ROLE_REPLICA : PW_DB_ROLE_PRIMARY;
	s->term = s->options->primary ? 0 : 1;
	if (s->options->primary)
		pw_db_replica_follow(s, s->options->primary);
	pw_loop_timer_set(t->loop, &s->heartbeat_timer,
			  pw_loop_now_us(t->loop) + HEARTBEAT_INTERVAL_US);
	pw_event_log(PW_EVENT_LISTENING, "address=%s role=%s", s->options->listen,
		     pw_db_server_role_name(s));
	return PW_OK;
fail:
	server_dispose(s);
	return rc;
}

static void server_receive(struct pw_task *t, struct pw_msg *m)
{
	(void)t;
	pw_msg_free(m);
}

static void server_stop(struct pw_task *t)
{
	server_dispose((struct pw_db_server *)t);
}

const struct pw_task_ops pw_db_server_ops = {
	.name = "database",
	.size_bytes = sizeof(struct pw_db_server),
	.start = server_start,
	.receive = server_receive,
	.stop = server_stop,
};
