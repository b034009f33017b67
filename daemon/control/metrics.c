#include "metrics.h"

#include <glib.h>
#include <inttypes.h>
#include <microhttpd.h>
#include <string.h>

#include "../directory.h"
#include "pw/core/address.h"
#include "pw/core/clock.h"
#include "pw/core/counter.h"
#include "pw/core/error.h"
#include "pw/core/event.h"
#include "pw/core/gauge.h"
#include "pw/core/histogram.h"

/* Maximum number of open connections, and the idle time after which one is closed. */
#define CONNECTIONS_MAX      8
#define CONNECTION_TIMEOUT_S 10
/* Interval of the log line about traffic, for operators who keep logs only. */
#define TRAFFIC_LOG_INTERVAL_US (10 * PW_US_PER_S)

struct metrics {
	struct pw_task task;
	struct MHD_Daemon *mhd;  /**< daemon of the HTTP library (libmicrohttpd) */
	struct pw_source source; /**< epoll descriptor of the daemon */
	struct pw_timer timer;   /**< next timeout of the daemon */
	struct pw_timer traffic_timer;
};

char *pw_metrics_format(void)
{
	GString *s = g_string_new(NULL);

	for (int i = 0; i < PW_COUNTER_COUNT; i++) {
		const struct pw_counter_info *info = pw_counter_info(i);

		g_string_append_printf(s,
				       "# HELP pimentowing_%s %s\n# TYPE pimentowing_%s counter\n"
				       "pimentowing_%s %" PRIu64 "\n",
				       info->name, info->help, info->name, info->name,
				       pw_counter_get(i));
	}
	for (int i = 0; i < PW_GAUGE_COUNT; i++) {
		const struct pw_gauge_info *info = pw_gauge_info(i);

		g_string_append_printf(s,
				       "# HELP pimentowing_%s %s\n# TYPE pimentowing_%s gauge\n"
				       "pimentowing_%s %" PRIu64 "\n",
				       info->name, info->help, info->name, info->name,
				       pw_gauge_get(i));
	}
	g_string_append_printf(
		s,
		"# HELP pimentowing_log_lines_dropped_total lines that the reader of "
		"the log did not take\n"
		"# TYPE pimentowing_log_lines_dropped_total counter\n"
		"pimentowing_log_lines_dropped_total %" PRIu64 "\n",
		pw_event_lines_dropped());
	pw_histogram_append_all(s);
	return g_string_free(s, FALSE);
}

static enum MHD_Result handle_request(void *data, struct MHD_Connection *connection,
				      const char *url, const char *method, const char *version,
				      const char *upload, size_t *upload_size, void **state)
{
	bool is_metrics_path = strcmp(method, "GET") == 0 && strcmp(url, "/metrics") == 0;
	char *text;
	struct MHD_Response *response;
	enum MHD_Result rc;

	(void)data;
	(void)version;
	(void)upload;
	(void)state;
	*upload_size = 0;
	text = is_metrics_path ? pw_metrics_format() : g_strdup("no such path\n");
	response = MHD_create_response_from_buffer(strlen(text), text, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, PW_METRICS_TYPE);
	rc = MHD_queue_response(connection, is_metrics_path ? MHD_HTTP_OK : MHD_HTTP_NOT_FOUND,
				response);
	MHD_destroy_response(response);
	g_free(text);
	return rc;
}

/* Runs the daemon once and sets the timer to its next timeout. */
static void run_daemon(struct metrics *m)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	MHD_run(m->mhd);
	if (MHD_get_timeout(m->mhd, &timeout_ms) == MHD_YES)
		pw_loop_timer_set(m->task.loop, &m->timer,
				  pw_loop_now_us(m->task.loop) + timeout_ms * PW_US_PER_MS);
	else
		pw_loop_timer_clear(m->task.loop, &m->timer);
}

static void daemon_ready(struct pw_source *s, uint32_t events)
{
	(void)events;
	run_daemon((struct metrics *)((char *)s - offsetof(struct metrics, source)));
}

static void daemon_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	(void)now_us;
	run_daemon((struct metrics *)((char *)t - offsetof(struct metrics, timer)));
}

/* Logs the totals of the counters that tell what the process sends to whom. */
static void traffic_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct metrics *m = (struct metrics *)((char *)t - offsetof(struct metrics, traffic_timer));

	pw_event_log(
		PW_EVENT_TRAFFIC,
		"peer_bytes=%" PRIu64 " peer_messages=%" PRIu64 " peer_broadcasts=%" PRIu64
		" peer_bytes_regular=%" PRIu64 " peer_bytes_reply=%" PRIu64
		" peer_bytes_notice=%" PRIu64 " peer_bytes_record=%" PRIu64
		" upstream_bytes_sent=%" PRIu64 " upstream_bytes_received=%" PRIu64
		" upstream_bytes_remote=%" PRIu64 " upstream_connects=%" PRIu64
		" upstream_checks=%" PRIu64 " upstream_open_timeouts=%" PRIu64
		" upstream_opens_refused=%" PRIu64 " upstream_preparations=%" PRIu64
		" upstream_answers_extra=%" PRIu64 " upstream_answers_foreign=%" PRIu64
		" upstream_answers_uncertain=%" PRIu64 " store_bytes_sent=%" PRIu64
		" store_bytes_received=%" PRIu64 " store_reads=%" PRIu64 " store_writes=%" PRIu64
		" store_watches=%" PRIu64 " store_bytes_members=%" PRIu64
		" store_bytes_servers=%" PRIu64 " store_failures=%" PRIu64,
		pw_counter_get(PW_COUNTER_PEER_BYTES_SENT),
		pw_counter_get(PW_COUNTER_PEER_MESSAGES_SENT),
		pw_counter_get(PW_COUNTER_PEER_BROADCASTS),
		pw_counter_get(PW_COUNTER_PEER_BYTES_REGULAR),
		pw_counter_get(PW_COUNTER_PEER_BYTES_REPLY),
		pw_counter_get(PW_COUNTER_PEER_BYTES_NOTICE),
		pw_counter_get(PW_COUNTER_PEER_BYTES_RECORD),
		pw_counter_get(PW_COUNTER_UPSTREAM_BYTES_SENT),
		pw_counter_get(PW_COUNTER_UPSTREAM_BYTES_RECEIVED),
		pw_counter_get(PW_COUNTER_UPSTREAM_BYTES_REMOTE),
		pw_counter_get(PW_COUNTER_UPSTREAM_CONNECTS),
		pw_counter_get(PW_COUNTER_UPSTREAM_CHECKS),
		pw_counter_get(PW_COUNTER_UPSTREAM_OPEN_TIMEOUTS),
		pw_counter_get(PW_COUNTER_UPSTREAM_OPENS_REFUSED),
		pw_counter_get(PW_COUNTER_UPSTREAM_PREPARATIONS),
		pw_counter_get(PW_COUNTER_UPSTREAM_ANSWERS_EXTRA),
		pw_counter_get(PW_COUNTER_UPSTREAM_ANSWERS_FOREIGN),
		pw_counter_get(PW_COUNTER_UPSTREAM_ANSWERS_UNCERTAIN),
		pw_counter_get(PW_COUNTER_HTTP_BYTES_SENT),
		pw_counter_get(PW_COUNTER_HTTP_BYTES_RECEIVED),
		pw_counter_get(PW_COUNTER_STORE_READS), pw_counter_get(PW_COUNTER_STORE_WRITES),
		pw_counter_get(PW_COUNTER_STORE_WATCHES),
		pw_counter_get(PW_COUNTER_STORE_BYTES_MEMBERS),
		pw_counter_get(PW_COUNTER_STORE_BYTES_SERVERS),
		pw_counter_get(PW_COUNTER_STORE_FAILURES));
	pw_loop_timer_set(m->task.loop, t, now_us + TRAFFIC_LOG_INTERVAL_US);
}

static const struct pw_timer_ops traffic_timer_ops = { .expire = traffic_timer_expired };
static const struct pw_source_ops daemon_source_ops = { .ready = daemon_ready };
static const struct pw_timer_ops daemon_timer_ops = { .expire = daemon_timer_expired };

static int metrics_start(struct pw_task *t)
{
	struct metrics *m = (struct metrics *)t;
	const char *address =
		((const struct pw_task_args *)t->args)->directory->settings->metrics_address;
	const union MHD_DaemonInfo *info;
	struct pw_address listen_address;
	int rc = pw_address_parse(&listen_address, address);

	if (rc)
		return rc;
	m->timer.ops = &daemon_timer_ops;
	m->traffic_timer.ops = &traffic_timer_ops;
	m->mhd = MHD_start_daemon(
		MHD_USE_EPOLL | (listen_address.socket.ss_family == AF_INET6 ? MHD_USE_IPv6 : 0), 0,
		NULL, NULL, handle_request, m, MHD_OPTION_SOCK_ADDR, &listen_address.socket,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)CONNECTION_TIMEOUT_S, MHD_OPTION_END);
	if (!m->mhd)
		return pw_error_set(PW_ESYSTEM, "cannot listen on %s for metrics", address);
	info = MHD_get_daemon_info(m->mhd, MHD_DAEMON_INFO_EPOLL_FD);
	m->source = (struct pw_source){ .ops = &daemon_source_ops, .fd = info->epoll_fd };
	pw_loop_timer_set(t->loop, &m->traffic_timer,
			  pw_loop_now_us(t->loop) + TRAFFIC_LOG_INTERVAL_US);
	pw_event_log(PW_EVENT_LISTENING, "task=metrics address=%s", address);
	return pw_loop_watch(t->loop, &m->source, EPOLLIN);
}

static void metrics_receive(struct pw_task *t, struct pw_msg *msg)
{
	(void)t;
	pw_msg_free(msg);
}

static void metrics_stop(struct pw_task *t)
{
	struct metrics *m = (struct metrics *)t;

	pw_loop_timer_clear(t->loop, &m->timer);
	pw_loop_timer_clear(t->loop, &m->traffic_timer);
	pw_loop_unwatch(t->loop, &m->source);
	MHD_stop_daemon(m->mhd);
}

const struct pw_task_ops pw_metrics_ops = {
	.name = "metrics",
	.size_bytes = sizeof(struct metrics),
	.start = metrics_start,
	.receive = metrics_receive,
	.stop = metrics_stop,
};
