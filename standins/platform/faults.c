#include "faults.h"

#include <string.h>

/* Default time from a promotion request until the server is primary. */
#define PROMOTION_DELAY_US UINT64_C(100000)
#define OPTIONS_MAX        8

struct answer_part {
	const char *name;
	guint (*start)(const struct answer *a);
	guint (*end)(const struct answer *a);
};

static guint answer_start(const struct answer *a)
{
	(void)a;
	return 0;
}

static guint answer_rows_end(const struct answer *a)
{
	return a->rows_end;
}

static guint answer_ready_start(const struct answer *a)
{
	return a->ready_start;
}

static guint answer_end(const struct answer *a)
{
	return a->bytes->len;
}

static const struct answer_part parts[] = {
	{ "whole", answer_start, answer_end },
	{ "rows", answer_start, answer_rows_end },
	{ "head", answer_start, answer_ready_start },
	{ "ready", answer_ready_start, answer_end },
};

static const struct {
	const char *name;
	enum answer_kind kind;
} kinds[] = {
	{ "all", ANSWER_ALL },         { "signed", ANSWER_SIGNED }, { "error", ANSWER_ERROR },
	{ "own", ANSWER_OWN },         { "begin", ANSWER_BEGIN },   { "status", ANSWER_STATUS },
	{ "startup", ANSWER_STARTUP },
};

static bool parse_number(uint64_t *out, const char *text, uint64_t max)
{
	guint64 number;

	if (!g_ascii_string_to_unsigned(text, 10, 0, max, &number, NULL))
		return false;
	*out = number;
	return true;
}

static bool set_milliseconds(void *field, const char *value)
{
	uint64_t ms;

	if (!parse_number(&ms, value, UINT32_MAX))
		return false;
	*(uint64_t *)field = ms * 1000;
	return true;
}

static bool set_count(void *field, const char *value)
{
	uint64_t count;

	if (!parse_number(&count, value, UINT32_MAX))
		return false;
	*(uint32_t *)field = (uint32_t)count;
	return true;
}

static bool set_number(void *field, const char *value)
{
	return parse_number(field, value, UINT32_MAX);
}

static bool set_flag(void *field, const char *value)
{
	*(bool *)field = strcmp(value, "1") == 0;
	return true;
}

static bool set_kind(void *field, const char *value)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (strcmp(kinds[i].name, value) == 0) {
			*(uint32_t *)field = kinds[i].kind;
			return true;
		}
	}
	return false;
}

static bool set_part(void *field, const char *value)
{
	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		if (strcmp(parts[i].name, value) == 0) {
			*(const struct answer_part **)field = &parts[i];
			return true;
		}
	}
	return false;
}

/* A field that is set from a text. */
struct option {
	const char *name; /**< NULL ends a list */
	bool (*set)(void *field, const char *value);
	size_t offset; /**< of the field in its struct */
};

/* Sets fields from "NAME:VALUE,NAME:VALUE...". The first option of the list is mandatory. */
static bool set_options(void *target, const struct option *options, const char *text)
{
	char **pairs = g_strsplit(text, ",", OPTIONS_MAX);
	bool ok = true, has_first = false;

	for (char **pair = pairs; ok && *pair; pair++) {
		char *value = strchr(*pair, ':');
		const struct option *o = options;

		if (value)
			*value++ = '\0';
		while (o->name && strcmp(o->name, *pair) != 0)
			o++;
		ok = value && o->name && o->set((char *)target + o->offset, value);
		has_first |= o == options;
	}
	g_strfreev(pairs);
	return ok && has_first;
}

static const struct option period_options[] = {
	{ "every", set_number, offsetof(struct period, every) },
	{ NULL, NULL, 0 },
};

struct failures {
	struct period period;
	char server[SERVER_ID_SIZE];
};

static bool set_server(void *field, const char *value)
{
	return g_strlcpy(field, value, SERVER_ID_SIZE) < SERVER_ID_SIZE;
}

static const struct option failures_options[] = {
	{ "every", set_number, offsetof(struct failures, period.every) },
	{ "server", set_server, offsetof(struct failures, server) },
	{ NULL, NULL, 0 },
};

static const struct option stutter_options[] = {
	{ "every", set_number, offsetof(struct stutter, period.every) },
	{ "delay_ms", set_number, offsetof(struct stutter, delay_ms) },
	{ "of", set_kind, offsetof(struct stutter, kinds) },
	{ "part", set_part, offsetof(struct stutter, part) },
	{ NULL, NULL, 0 },
};

static const struct option split_options[] = {
	{ "bytes", set_count, 0 },
	{ NULL, NULL, 0 },
};

/* A new period starts to count at 0. */
static bool set_period(void *field, const char *value)
{
	struct period p = { 0 };

	if (!set_options(&p, period_options, value))
		return false;
	*(struct period *)field = p;
	return true;
}

static bool set_stutter(void *field, const char *value)
{
	struct stutter s = { .kinds = ANSWER_ALL, .part = &parts[0] };

	if (!set_options(&s, stutter_options, value))
		return false;
	*(struct stutter *)field = s;
	return true;
}

static bool set_split(void *field, const char *value)
{
	return set_options(field, split_options, value);
}

static bool set_failures(void *faults, const char *value)
{
	struct failures set = { 0 };
	struct faults *f = faults;

	if (!set_options(&set, failures_options, value))
		return false;
	f->failures = set.period;
	memcpy(f->failing_server, set.server, SERVER_ID_SIZE);
	return true;
}

static const struct option faults[] = {
	{ "lag", set_milliseconds, offsetof(struct faults, lag_us) },
	{ "promotion-delay", set_milliseconds, offsetof(struct faults, promotion_delay_us) },
	{ "work", set_milliseconds, offsetof(struct faults, run_time_us) },
	{ "slots", set_count, offsetof(struct faults, slots) },
	{ "queue", set_count, offsetof(struct faults, queue_length) },
	{ "conn-limit", set_count, offsetof(struct faults, conn_limit) },
	{ "lose", set_count, offsetof(struct faults, lost_every) },
	{ "refuse-set", set_count, offsetof(struct faults, refused_sets) },
	{ "omit-empty-rows", set_flag, offsetof(struct faults, omits_empty_rows) },
	{ "fail-state", set_flag, offsetof(struct faults, fails_state) },
	{ "reset-opens", set_flag, offsetof(struct faults, resets_opens) },
	{ "stutter", set_stutter, offsetof(struct faults, stutter) },
	{ "cut", set_period, offsetof(struct faults, cut) },
	{ "slow-begins", set_flag, offsetof(struct faults, slow_begins) },
	{ "zones", set_count, offsetof(struct faults, zone_count) },
	{ "split", set_split, offsetof(struct faults, split_bytes) },
	{ "busy", set_period, offsetof(struct faults, busy) },
	{ "failures", set_failures, 0 },
	{ "set-failures", set_period, offsetof(struct faults, set_failures) },
};

void faults_init(struct faults *f)
{
	*f = (struct faults){
		.promotion_delay_us = PROMOTION_DELAY_US,
		.stutter = { .kinds = ANSWER_ALL, .part = &parts[0] },
	};
}

bool faults_set(struct faults *f, const char *name, const char *value)
{
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		if (strcmp(faults[i].name, name) == 0)
			return faults[i].set((char *)f + faults[i].offset, value);
	}
	return false;
}

bool faults_select(struct period *p)
{
	return p->every && ++p->count % p->every == 0;
}

bool faults_fail_statement(struct faults *f, const char *server_id)
{
	return strcmp(f->failing_server, server_id) == 0 && faults_select(&f->failures);
}

uint64_t faults_random(struct faults *f, uint64_t limit)
{
	/* SplitMix64 */
	uint64_t z = f->random += UINT64_C(0x9e3779b97f4a7c15);

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return (z ^ (z >> 31)) % limit;
}

static GBytes *copy_part(const struct stutter *s, const struct answer *a)
{
	guint start = s->part->start(a), end = s->part->end(a);

	return end > start ? g_bytes_new(a->bytes->data + start, end - start) : NULL;
}

struct delivery faults_plan_delivery(struct faults *f, const struct answer *a)
{
	struct delivery d = { 0 };
	gsize size = a->bytes->len;

	if ((a->kinds & f->stutter.kinds) && faults_select(&f->stutter.period)) {
		d.copy = copy_part(&f->stutter, a);
		d.copy_delay_us = f->stutter.delay_ms * 1000;
	}
	if ((a->kinds & ANSWER_SIGNED) && faults_select(&f->cut)) {
		size = faults_random(f, size);
		d.closes = true;
		g_clear_pointer(&d.copy, g_bytes_unref);
	}
	d.bytes = g_bytes_new(a->bytes->data, size);
	return d;
}
