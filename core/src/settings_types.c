/* Types of settings. Values are not repeated in findings, since they may hold secrets. */
#include "pw/core/settings.h"

#include <string.h>

#include "pw/core/address.h"
#include "pw/core/clock.h"
#include "pw/core/error.h"
#include "pw/core/number.h"

static void free_string(void *at)
{
	g_clear_pointer((char **)at, g_free);
}

static void free_strings(void *at)
{
	g_clear_pointer((char ***)at, g_strfreev);
}

static void string_read(const struct pw_setting *s, void *at, const char *text, const char *place,
			struct pw_findings *f)
{
	if (text[0] == '\0')
		pw_findings_add(f, place, "must not be empty");
	free_string(at);
	*(char **)at = g_strdup(text);
}

const struct pw_setting_ops pw_setting_string = {
	.type = "TEXT",
	.read = string_read,
	.dispose = free_string,
};

static void bool_read(const struct pw_setting *s, void *at, const char *text, const char *place,
		      struct pw_findings *f)
{
	bool yes = strcmp(text, "true") == 0 || strcmp(text, "1") == 0;

	if (!yes && strcmp(text, "false") != 0 && strcmp(text, "0") != 0)
		pw_findings_add(f, place, "must be true or false");
	*(bool *)at = yes;
}

const struct pw_setting_ops pw_setting_bool = {
	.type = "true|false",
	.is_flag = true,
	.read = bool_read,
};

static bool read_number(const struct pw_setting *s, uint64_t *out, uint64_t type_max,
			const char *text, const char *place, struct pw_findings *f)
{
	uint64_t max = s->max > 0 ? s->max : type_max;
	guint64 n;

	if (!pw_number_parse(&n, text, s->min, max)) {
		pw_findings_add(f, place,
				"must be a number from %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT,
				s->min, max);
		return false;
	}
	*out = n;
	return true;
}

static void u32_read(const struct pw_setting *s, void *at, const char *text, const char *place,
		     struct pw_findings *f)
{
	uint64_t n;

	if (read_number(s, &n, UINT32_MAX, text, place, f))
		*(uint32_t *)at = (uint32_t)n;
}

const struct pw_setting_ops pw_setting_u32 = { .type = "NUMBER", .read = u32_read };

static void u64_read(const struct pw_setting *s, void *at, const char *text, const char *place,
		     struct pw_findings *f)
{
	uint64_t n;

	if (read_number(s, &n, UINT64_MAX, text, place, f))
		*(uint64_t *)at = n;
}

const struct pw_setting_ops pw_setting_u64 = { .type = "NUMBER", .read = u64_read };

static const struct {
	const char *suffix;
	uint64_t unit_us;
} duration_units[] = {
	{ "us", 1 },
	{ "ms", PW_US_PER_MS },
	{ "s", PW_US_PER_S },
	{ "min", 60 * PW_US_PER_S },
	{ "h", 3600 * PW_US_PER_S },
};

static bool read_duration(uint64_t *out_us, const char *text)
{
	size_t digits = strspn(text, "0123456789");
	char *number = g_strndup(text, digits);
	guint64 n;
	bool ok = pw_number_parse(&n, number, 0, UINT64_MAX);

	g_free(number);
	for (size_t i = 0; ok && i < G_N_ELEMENTS(duration_units); i++) {
		if (strcmp(text + digits, duration_units[i].suffix) == 0)
			return g_uint64_checked_mul(out_us, n, duration_units[i].unit_us);
	}
	return false;
}

static void duration_read(const struct pw_setting *s, void *at, const char *text, const char *place,
			  struct pw_findings *f)
{
	uint64_t max_us = s->max > 0 ? s->max : UINT64_MAX;
	uint64_t n_us;

	if (!read_duration(&n_us, text))
		pw_findings_add(f, place, "must be a duration such as 250ms, 30s or 2min");
	else if (n_us < s->min || n_us > max_us)
		pw_findings_add(f, place,
				"must be from %" G_GUINT64_FORMAT "us to %" G_GUINT64_FORMAT "us",
				s->min, max_us);
	else
		*(uint64_t *)at = n_us;
}

const struct pw_setting_ops pw_setting_duration = { .type = "DURATION", .read = duration_read };

static void choice_read(const struct pw_setting *s, void *at, const char *text, const char *place,
			struct pw_findings *f)
{
	char *words;

	for (uint32_t i = 0; s->choices[i]; i++) {
		if (strcmp(text, s->choices[i]) == 0) {
			*(uint32_t *)at = i;
			return;
		}
	}
	words = g_strjoinv(", ", (char **)(uintptr_t)s->choices);
	pw_findings_add(f, place, "must be one of %s", words);
	g_free(words);
}

const struct pw_setting_ops pw_setting_choice = { .type = "WORD", .read = choice_read };

static void check_address(const char *text, const char *place, struct pw_findings *f)
{
	struct pw_address address;

	if (pw_address_parse(&address, text) != PW_OK)
		pw_findings_add(f, place, "must be an address IP:PORT, for example 10.0.0.1:5432");
}

static void address_read(const struct pw_setting *s, void *at, const char *text, const char *place,
			 struct pw_findings *f)
{
	check_address(text, place, f);
	free_string(at);
	*(char **)at = g_strdup(text);
}

const struct pw_setting_ops pw_setting_address = {
	.type = "IP:PORT",
	.read = address_read,
	.dispose = free_string,
};

static void addresses_read(const struct pw_setting *s, void *at, const char *text,
			   const char *place, struct pw_findings *f)
{
	char **items = g_strsplit(text, ",", -1);

	for (size_t i = 0; items[i]; i++) {
		char *item_place = g_strdup_printf("%s[%zu]", place, i);

		g_strstrip(items[i]);
		check_address(items[i], item_place, f);
		g_free(item_place);
	}
	free_strings(at);
	*(char ***)at = items;
}

const struct pw_setting_ops pw_setting_addresses = {
	.type = "IP:PORT,...",
	.is_list = true,
	.read = addresses_read,
	.dispose = free_strings,
};
