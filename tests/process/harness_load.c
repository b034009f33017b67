#include "harness_load.h"

#include <check.h>
#include <poll.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 2000
#define RECONNECT_DELAY_US 50000
#define POLL_TIMEOUT_MS    2

struct caller {
	struct pw_load_caller config;
	PGconn *conn;       /**< NULL while closed */
	gint64 due_us;      /**< time to send the next statement, or to connect again */
	gint64 sent_us;     /**< 0: no statement in flight */
	bool input_pending; /**< input had arrived already when the statement was sent */
	/** First result of the statement in flight; empty: none yet. */
	char text[sizeof(((struct pw_load_answer *)NULL)->text)];
};

struct pw_load {
	GArray *callers; /**< struct caller */
	GArray *answers; /**< struct pw_load_answer */
	bool finishing;  /**< sends no more statements */
};

struct pw_load *pw_load_new(void)
{
	struct pw_load *l = g_new0(struct pw_load, 1);

	l->callers = g_array_new(FALSE, TRUE, sizeof(struct caller));
	l->answers = g_array_new(FALSE, TRUE, sizeof(struct pw_load_answer));
	return l;
}

void pw_load_free(struct pw_load *l)
{
	if (!l)
		return;
	for (guint i = 0; i < l->callers->len; i++) {
		PGconn *conn = g_array_index(l->callers, struct caller, i).conn;

		if (conn)
			PQfinish(conn);
	}
	g_array_unref(l->callers);
	g_array_unref(l->answers);
	g_free(l);
}

static void ignore_notice(void *arg, const char *message)
{
	(void)arg;
	(void)message;
}

static void open_connection(struct caller *c)
{
	char *error = NULL;

	c->conn = pw_harness_connect(&c->config.login, CONNECT_TIMEOUT_MS, &error);
	if (c->conn) {
		PQsetnonblocking(c->conn, 1);
		PQsetNoticeProcessor(c->conn, ignore_notice, NULL);
	}
	g_free(error);
}

void pw_load_add_callers(struct pw_load *l, const struct pw_load_caller *caller, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		struct caller c = { .config = *caller };

		open_connection(&c);
		ck_assert_msg(c.conn != NULL, "a caller can't log in at port %u",
			      caller->login.port);
		c.due_us = g_get_monotonic_time() + (gint64)caller->interval_us * i / count;
		g_array_append_val(l->callers, c);
	}
}

static void record_answer(struct pw_load *l, struct caller *c, const char *text)
{
	struct pw_load_answer a = {
		.sent_us = c->sent_us,
		.answered_us = g_get_monotonic_time(),
		.group = c->config.group,
		.port = c->config.login.port,
	};

	g_strlcpy(a.text, text, sizeof(a.text));
	g_array_append_val(l->answers, a);
	c->sent_us = 0;
	c->text[0] = '\0';
}

static void close_connection(struct pw_load *l, struct caller *c)
{
	/*
	 * Input that was there when the statement was sent is not its answer. Over loopback it
	 * shows that the server had closed the connection before.
	 */
	if (c->sent_us && !c->input_pending)
		record_answer(l, c, c->text[0] ? c->text : "CLOSED");
	c->sent_us = 0;
	PQfinish(c->conn);
	c->conn = NULL;
	c->due_us = MAX(c->due_us, g_get_monotonic_time() + RECONNECT_DELAY_US);
}

static void send_statement(struct pw_load *l, struct caller *c, gint64 now_us)
{
	if (!c->conn && c->config.reconnect)
		open_connection(c);
	if (!c->conn) {
		c->due_us = now_us + RECONNECT_DELAY_US;
		return;
	}
	/* The next statement is overdue by one interval at most; a late caller skips the others. */
	c->due_us = MAX(c->due_us + (gint64)c->config.interval_us,
			now_us - (gint64)c->config.interval_us);
	c->sent_us = g_get_monotonic_time();
	if (!PQsendQuery(c->conn, c->config.sql) || PQflush(c->conn) < 0) {
		close_connection(l, c);
		return;
	}
	c->input_pending =
		poll(&(struct pollfd){ .fd = PQsocket(c->conn), .events = POLLIN }, 1, 0) > 0;
}

static void receive_answer(struct pw_load *l, struct caller *c)
{
	PGresult *result;
	bool is_open = PQconsumeInput(c->conn) == 1;

	while (!PQisBusy(c->conn)) {
		char *text;

		result = PQgetResult(c->conn);
		if (!result) {
			if (c->sent_us && c->text[0])
				record_answer(l, c, c->text);
			break;
		}
		text = pw_harness_format_result(result);
		/* libpq adds a second result when the connection closes after a FATAL error. */
		if (!c->text[0])
			g_strlcpy(c->text, *text ? text : "EMPTY", sizeof(c->text));
		g_free(text);
		PQclear(result);
	}
	if (!is_open || PQstatus(c->conn) == CONNECTION_BAD)
		close_connection(l, c);
}

/*
 * Sends the statements that are due, waits up to POLL_TIMEOUT_MS for input and receives it. Returns
 * the number of statements that were in flight before the wait.
 */
static uint32_t poll_once(struct pw_load *l)
{
	struct pollfd *pollfds = g_new0(struct pollfd, l->callers->len);
	gint64 now_us = g_get_monotonic_time();
	uint32_t outstanding = 0;

	for (guint i = 0; i < l->callers->len; i++) {
		struct caller *c = &g_array_index(l->callers, struct caller, i);

		if (!c->sent_us && !l->finishing && c->due_us <= now_us)
			send_statement(l, c, now_us);
		pollfds[i] =
			(struct pollfd){ .fd = c->conn ? PQsocket(c->conn) : -1, .events = POLLIN };
		outstanding += c->sent_us != 0;
	}
	poll(pollfds, l->callers->len, POLL_TIMEOUT_MS);
	for (guint i = 0; i < l->callers->len; i++) {
		struct caller *c = &g_array_index(l->callers, struct caller, i);

		if (c->conn && pollfds[i].revents)
			receive_answer(l, c);
	}
	g_free(pollfds);
	return outstanding;
}

void pw_load_run(struct pw_load *l, uint32_t duration_ms)
{
	const gint64 end_us = g_get_monotonic_time() + (gint64)duration_ms * 1000;

	l->finishing = false;
	while (g_get_monotonic_time() < end_us)
		poll_once(l);
}

uint32_t pw_load_receive_outstanding(struct pw_load *l, uint32_t timeout_ms)
{
	const gint64 end_us = g_get_monotonic_time() + (gint64)timeout_ms * 1000;
	uint32_t outstanding;

	l->finishing = true;
	while ((outstanding = poll_once(l)) && g_get_monotonic_time() < end_us) {
	}
	return outstanding;
}

const GArray *pw_load_answers(const struct pw_load *l)
{
	return l->answers;
}

uint32_t pw_load_count_answers(const struct pw_load *l, uint32_t group, const char *text)
{
	uint32_t n = 0;

	for (guint i = 0; i < l->answers->len; i++) {
		const struct pw_load_answer *a =
			&g_array_index(l->answers, struct pw_load_answer, i);

		n += a->group == group && (!text || strcmp(a->text, text) == 0);
	}
	return n;
}

char *pw_load_summary(const struct pw_load *l, uint32_t group)
{
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
	GString *s = g_string_new(NULL);
	GHashTableIter it;
	gpointer key, value;

	for (guint i = 0; i < l->answers->len; i++) {
		const struct pw_load_answer *a =
			&g_array_index(l->answers, struct pw_load_answer, i);
		gpointer n = g_hash_table_lookup(counts, a->text);

		if (a->group == group)
			g_hash_table_insert(counts, (gpointer)(uintptr_t)a->text,
					    GINT_TO_POINTER(GPOINTER_TO_INT(n) + 1));
	}
	g_hash_table_iter_init(&it, counts);
	while (g_hash_table_iter_next(&it, &key, &value))
		g_string_append_printf(s, "%s%s: %d", s->len ? ", " : "", (char *)key,
				       GPOINTER_TO_INT(value));
	g_hash_table_unref(counts);
	return g_string_free(s, FALSE);
}

static gint compare_sent_descending(gconstpointer a, gconstpointer b)
{
	const struct pw_load_answer *x = a, *y = b;

	return (x->sent_us < y->sent_us) - (x->sent_us > y->sent_us);
}

/* Inserts a time into a sorted array. */
static void insert_time(GArray *times, gint64 time_us)
{
	guint i = times->len;

	while (i && g_array_index(times, gint64, i - 1) > time_us)
		i--;
	g_array_insert_val(times, i, time_us);
}

double pw_load_max_excess(const struct pw_load *l, uint32_t group, const char *text,
			  uint32_t rate_per_s)
{
	GArray *matching = g_array_new(FALSE, FALSE, sizeof(struct pw_load_answer));
	GArray *answered_times = g_array_new(FALSE, FALSE, sizeof(gint64));
	double max_excess = 0;

	for (guint i = 0; i < l->answers->len; i++) {
		struct pw_load_answer a = g_array_index(l->answers, struct pw_load_answer, i);

		if (a.group == group && strcmp(a.text, text) == 0)
			g_array_append_val(matching, a);
	}
	g_array_sort(matching, compare_sent_descending);
	/*
	 * Takes each statement, from the last sent to the first, as the start of the windows.
	 * `answered_times` holds the times of receipt of this statement and of all sent after it.
	 */
	for (guint i = 0; i < matching->len; i++) {
		const struct pw_load_answer *a = &g_array_index(matching, struct pw_load_answer, i);

		insert_time(answered_times, a->answered_us);
		for (guint k = 0; k < answered_times->len; k++) {
			double window_s =
				(double)(g_array_index(answered_times, gint64, k) - a->sent_us) /
				1e6;

			max_excess =
				MAX(max_excess, (double)(k + 1) - (double)rate_per_s * window_s);
		}
	}
	g_array_unref(matching);
	g_array_unref(answered_times);
	return max_excess;
}
