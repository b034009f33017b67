#include "pw/core/event.h"

#include <ck_pr.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "pw/core/clock.h"

#define LOG_DOMAIN      "pimentowing"
#define LINE_SIZE_BYTES 2048

static const struct pw_event_info infos[PW_EVENT_COUNT] = {
#define PW_EVENT_INFO(id, value, severity, text) \
	[PW_EVENT_##id] = { .number = (value), .level = (severity), .name = (text) },
	PW_EVENTS(PW_EVENT_INFO)
#undef PW_EVENT_INFO
};

static GLogLevelFlags log_level = G_LOG_LEVEL_MESSAGE;

const struct pw_event_info *pw_event_info(enum pw_event e)
{
	return &infos[e];
}

static const char *level_name(GLogLevelFlags level)
{
	switch (level & G_LOG_LEVEL_MASK) {
	case G_LOG_LEVEL_ERROR:
		return "error";
	case G_LOG_LEVEL_CRITICAL:
		return "critical";
	case G_LOG_LEVEL_WARNING:
		return "warning";
	case G_LOG_LEVEL_MESSAGE:
		return "notice";
	case G_LOG_LEVEL_INFO:
		return "info";
	default:
		return "debug";
	}
}

static const char *field_value(const GLogField *fields, gsize n, const char *key)
{
	for (gsize i = 0; i < n; i++) {
		if (strcmp(fields[i].key, key) == 0)
			return fields[i].value;
	}
	return "";
}

/* Lines of one event in one second; further ones are counted and reported with the next line. */
struct budget {
	uint64_t second;
	uint32_t used;
	uint32_t left_out;
};

static pthread_mutex_t write_lock = PTHREAD_MUTEX_INITIALIZER;
static struct budget budgets[PW_EVENT_COUNT];
static uint64_t unwritten; /**< lines that the reader of the log did not take */

/*
 * Writes without waiting: a pipe that is ready takes a line of this size at once. A reader that
 * stands still costs lines, never time.
 */
static bool write_ready(const char *line, size_t size_bytes)
{
	struct pollfd p = { .fd = STDOUT_FILENO, .events = POLLOUT };

	if (poll(&p, 1, 0) != 1 || !(p.revents & POLLOUT))
		return false;
	return write(STDOUT_FILENO, line, size_bytes) == (ssize_t)size_bytes;
}

/* Successes leave the room of the log to what went wrong. */
static uint32_t lines_per_second(enum pw_event e)
{
	return e == PW_EVENT_REQUEST_SERVED ? PW_EVENT_SERVED_PER_SECOND
					    : PW_EVENT_LINES_PER_SECOND;
}

/* Whether the event may log another line now; `left_out` receives the lines missing before it. */
static bool take_budget(enum pw_event e, uint32_t *left_out)
{
	struct budget *b = &budgets[e];
	uint64_t second = pw_clock_now_us() / PW_US_PER_S;
	bool ok;

	pthread_mutex_lock(&write_lock);
	if (b->second != second) {
		b->second = second;
		b->used = 0;
	}
	ok = b->used < lines_per_second(e);
	*left_out = ok ? b->left_out : 0;
	if (ok) {
		b->used++;
		b->left_out = 0;
	} else {
		b->left_out++;
	}
	pthread_mutex_unlock(&write_lock);
	return ok;
}

/* Writes the whole line with one call, so that lines of several threads do not mix. */
static GLogWriterOutput write_line(GLogLevelFlags level, const GLogField *fields, gsize n,
				   gpointer data)
{
	char line[LINE_SIZE_BYTES];
	GDateTime *now;
	char *stamp;
	int len;

	(void)data;
	if ((level & G_LOG_LEVEL_MASK) > log_level)
		return G_LOG_WRITER_HANDLED;
	now = g_date_time_new_now_utc();
	stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%f");
	len = snprintf(line, sizeof(line) - 1, "time=%.23sZ level=%s event=%s name=%s %s", stamp,
		       level_name(level), field_value(fields, n, "PW_EVENT"),
		       field_value(fields, n, "PW_NAME"), field_value(fields, n, "MESSAGE"));
	g_free(stamp);
	g_date_time_unref(now);
	if (len > (int)sizeof(line) - 2)
		len = (int)sizeof(line) - 2;
	for (int i = 0; i < len; i++) {
		if ((unsigned char)line[i] < 0x20 || line[i] == 0x7f)
			line[i] = '?';
	}
	line[len] = '\n';
	pthread_mutex_lock(&write_lock);
	if (!write_ready(line, (size_t)len + 1))
		unwritten++;
	pthread_mutex_unlock(&write_lock);
	return G_LOG_WRITER_HANDLED;
}

uint64_t pw_event_unwritten(void)
{
	return ck_pr_load_64(&unwritten);
}

bool pw_event_is_logged(enum pw_event e)
{
	return infos[e].level <= log_level;
}

void pw_event_log_init(GLogLevelFlags level)
{
	log_level = level;
	g_log_set_writer_func(write_line, NULL, NULL);
}

void pw_event_log(enum pw_event e, const char *format, ...)
{
	const struct pw_event_info *info = &infos[e];
	char message[LINE_SIZE_BYTES];
	char number[16];
	uint32_t left_out;
	int used;
	GLogField fields[] = {
		{ .key = "GLIB_DOMAIN", .value = LOG_DOMAIN, .length = -1 },
		{ .key = "PW_EVENT", .value = number, .length = -1 },
		{ .key = "PW_NAME", .value = info->name, .length = -1 },
		{ .key = "MESSAGE", .value = message, .length = -1 },
	};
	va_list ap;

	if (info->level > log_level || !take_budget(e, &left_out))
		return;
	snprintf(number, sizeof(number), "%u", info->number);
	va_start(ap, format);
	used = vsnprintf(message, sizeof(message), format, ap);
	va_end(ap);
	if (left_out && used > 0 && (size_t)used < sizeof(message))
		snprintf(message + used, sizeof(message) - (size_t)used, " left_out=%u", left_out);
	g_log_structured_array(info->level, fields, G_N_ELEMENTS(fields));
}
