#include "pw/core/event.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "pw/core/clock.h"

#define LOG_DOMAIN     "pimentowing"
#define LINE_MAX_BYTES 2048

static const struct pw_event_info event_infos[PW_EVENT_COUNT] = {
#define PW_EVENT_INFO(id, value, severity, text) \
	[PW_EVENT_##id] = { .number = (value), .level = (severity), .name = (text) },
	PW_EVENTS(PW_EVENT_INFO)
#undef PW_EVENT_INFO
};

/* Least severe level that is logged. GLib's flags have larger values for less severe levels. */
static GLogLevelFlags log_level = G_LOG_LEVEL_MESSAGE;

const struct pw_event_info *pw_event_info(enum pw_event e)
{
	return &event_infos[e];
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

static const char *find_field(const GLogField *fields, gsize n, const char *key)
{
	for (gsize i = 0; i < n; i++) {
		if (strcmp(fields[i].key, key) == 0)
			return fields[i].value;
	}
	return "";
}

/*
 * Rate limit of one event. Lines above the limit per second are counted, and the next admitted line
 * reports the count.
 */
struct line_limit {
	uint64_t second;     /**< monotonic time in whole seconds that `admitted` refers to */
	uint32_t admitted;   /**< lines admitted in that second */
	uint32_t suppressed; /**< lines suppressed since the last admitted one */
};

/* Guards the rate limits, the counter of dropped lines and writes to standard output. */
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static struct line_limit line_limits[PW_EVENT_COUNT];
static uint64_t lines_dropped; /**< lines that standard output did not accept at once */

/*
 * Writes a line only if this cannot block: a pipe that polls as writable takes a line of this size
 * at once. If the reader of the log stalls, lines are lost and no thread is delayed. Returns
 * whether the whole line was written.
 */
static bool try_write(const char *line, size_t size_bytes)
{
	struct pollfd p = { .fd = STDOUT_FILENO, .events = POLLOUT };

	if (poll(&p, 1, 0) != 1 || !(p.revents & POLLOUT))
		return false;
	return write(STDOUT_FILENO, line, size_bytes) == (ssize_t)size_bytes;
}

/* Served requests have a lower limit, which leaves the log's capacity to failures. */
static uint32_t max_lines_per_second(enum pw_event e)
{
	return e == PW_EVENT_REQUEST_SERVED ? PW_EVENT_SERVED_MAX_LINES_PER_S
					    : PW_EVENT_MAX_LINES_PER_S;
}

/*
 * Returns whether the event may log another line now. `suppressed` receives the number of lines
 * that were suppressed since the last admitted one.
 */
static bool admit_line(enum pw_event e, uint32_t *suppressed)
{
	struct line_limit *l = &line_limits[e];
	uint64_t second = pw_clock_now_us() / PW_US_PER_S;
	bool admitted;

	pthread_mutex_lock(&log_lock);
	if (l->second != second) {
		l->second = second;
		l->admitted = 0;
	}
	admitted = l->admitted < max_lines_per_second(e);
	*suppressed = admitted ? l->suppressed : 0;
	if (admitted) {
		l->admitted++;
		l->suppressed = 0;
	} else {
		l->suppressed++;
	}
	pthread_mutex_unlock(&log_lock);
	return admitted;
}

/*
 * GLib log writer. Replaces control characters and writes each line with one system call, so that
 * the lines of several threads do not mix.
 */
static GLogWriterOutput write_log_line(GLogLevelFlags level, const GLogField *fields, gsize n,
				       gpointer data)
{
	char line[LINE_MAX_BYTES];
	GDateTime *now;
	char *timestamp;
	int len;

	(void)data;
	if ((level & G_LOG_LEVEL_MASK) > log_level)
		return G_LOG_WRITER_HANDLED;
	now = g_date_time_new_now_utc();
	timestamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%f");
	len = snprintf(line, sizeof(line) - 1, "time=%.23sZ level=%s event=%s name=%s %s",
		       timestamp, level_name(level), find_field(fields, n, "PW_EVENT"),
		       find_field(fields, n, "PW_NAME"), find_field(fields, n, "MESSAGE"));
	g_free(timestamp);
	g_date_time_unref(now);
	if (len > (int)sizeof(line) - 2)
		len = (int)sizeof(line) - 2;
	for (int i = 0; i < len; i++) {
		if ((unsigned char)line[i] < 0x20 || line[i] == 0x7f)
			line[i] = '?';
	}
	line[len] = '\n';
	pthread_mutex_lock(&log_lock);
	if (!try_write(line, (size_t)len + 1))
		lines_dropped++;
	pthread_mutex_unlock(&log_lock);
	return G_LOG_WRITER_HANDLED;
}

uint64_t pw_event_lines_dropped(void)
{
	return ck_pr_load_64(&lines_dropped);
}

bool pw_event_is_logged(enum pw_event e)
{
	return event_infos[e].level <= log_level;
}

void pw_event_log_init(GLogLevelFlags level)
{
	log_level = level;
	g_log_set_writer_func(write_log_line, NULL, NULL);
}

/* A message that is being formatted; what does not fit is cut. */
struct message {
	char text[LINE_MAX_BYTES];
	size_t size_bytes; /**< without the terminating zero */
};

static void append_char(struct message *m, char c)
{
	if (m->size_bytes + 1 < sizeof(m->text))
		m->text[m->size_bytes++] = c;
	m->text[m->size_bytes] = 0;
}

/* Returns the size of a line break other than LF at the start of the text, in UTF-8; 0: none. */
static size_t unicode_break_size(const char *p, size_t size_bytes)
{
	if (size_bytes >= 2 && memcmp(p, "\xc2\x85", 2) == 0)
		return 2;
	if (size_bytes >= 3 &&
	    (memcmp(p, "\xe2\x80\xa8", 3) == 0 || memcmp(p, "\xe2\x80\xa9", 3) == 0))
		return 3;
	return 0;
}

/*
 * Appends a text that may come from outside. What would end its line, its field or its quotes, or
 * escape them, is replaced.
 */
static void append_text(struct message *m, const char *text, size_t size_bytes, bool quoted)
{
	const char *replaced = quoted ? "\\" : "\" \\";
	size_t break_left = 0;

	for (size_t i = 0; i < size_bytes; i++) {
		unsigned char c = (unsigned char)text[i];

		if (!break_left)
			break_left = unicode_break_size(text + i, size_bytes - i);
		if (break_left) {
			break_left--;
			append_char(m, '?');
		} else if (c < 0x20 || c == 0x7f || strchr(replaced, (char)c)) {
			append_char(m, '?');
		} else {
			append_char(m, c == '"' ? '\'' : (char)c);
		}
	}
}

/* A conversion of a format: precision, length modifier and kind. */
struct conversion {
	int precision; /**< -1: none */
	char length;   /**< 'l', 'L' for "ll", 'z', or 0 */
	char kind;
};

static const char *parse_conversion(struct conversion *out, const char *p)
{
	*out = (struct conversion){ .precision = -1 };
	if (*p == '.') {
		char *end;

		out->precision = (int)strtol(p + 1, &end, 10);
		p = end;
	}
	for (; *p == 'l' || *p == 'z'; p++)
		out->length = *p == 'l' && out->length ? 'L' : *p;
	out->kind = *p;
	return *p ? p + 1 : p;
}

/* Returns false if the conversion is not supported. */
static bool append_conversion(struct message *m, const struct conversion *c, bool quoted,
			      va_list *ap)
{
	char number[64] = "";
	uint64_t u;

	switch (c->kind) {
	case 's': {
		const char *text = va_arg(*ap, const char *);

		if (!text)
			text = "(null)";
		append_text(m, text,
			    c->precision >= 0 ? strnlen(text, (size_t)c->precision) : strlen(text),
			    quoted);
		return true;
	}
	case 'f':
		snprintf(number, sizeof(number), "%.*f", c->precision >= 0 ? c->precision : 6,
			 va_arg(*ap, double));
		break;
	case 'd':
	case 'i': {
		int64_t d = c->length ? va_arg(*ap, int64_t) : va_arg(*ap, int);

		snprintf(number, sizeof(number), "%" PRId64, d);
		break;
	}
	case 'u':
	case 'x':
		u = c->length ? va_arg(*ap, uint64_t) : va_arg(*ap, unsigned int);
		if (c->kind == 'u')
			snprintf(number, sizeof(number), "%" PRIu64, u);
		else
			snprintf(number, sizeof(number), "%" PRIx64, u);
		break;
	case '%':
		strcpy(number, "%");
		break;
	default:
		return false;
	}
	for (const char *p = number; *p; p++)
		append_char(m, *p);
	return true;
}

/*
 * Formats the fields like printf, but replaces in each text what could forge a field or a line.
 * Supports the conversions s, d, i, u, x and f with a precision and the lengths l, ll and z;
 * another one ends the message, since the sizes of the arguments behind it are not known.
 */
static void format_fields(struct message *m, const char *format, va_list *ap)
{
	struct conversion c;

	while (*format) {
		if (*format != '%') {
			append_char(m, *format++);
			continue;
		}
		format = parse_conversion(&c, format + 1);
		if (!append_conversion(m, &c, m->size_bytes && m->text[m->size_bytes - 1] == '"',
				       ap))
			return;
	}
}

void pw_event_log(enum pw_event e, const char *format, ...)
{
	const struct pw_event_info *info = &event_infos[e];
	struct message message;
	char number[16];
	uint32_t suppressed;
	GLogField fields[] = {
		{ .key = "GLIB_DOMAIN", .value = LOG_DOMAIN, .length = -1 },
		{ .key = "PW_EVENT", .value = number, .length = -1 },
		{ .key = "PW_NAME", .value = info->name, .length = -1 },
		{ .key = "MESSAGE", .value = message.text, .length = -1 },
	};
	va_list ap;

	if (info->level > log_level || !admit_line(e, &suppressed))
		return;
	snprintf(number, sizeof(number), "%u", info->number);
	message.size_bytes = 0;
	message.text[0] = 0;
	va_start(ap, format);
	format_fields(&message, format, &ap);
	va_end(ap);
	if (suppressed) {
		size_t size_bytes = message.size_bytes;

		snprintf(message.text + size_bytes, sizeof(message.text) - size_bytes,
			 " left_out=%u", suppressed);
	}
	g_log_structured_array(info->level, fields, G_N_ELEMENTS(fields));
}
