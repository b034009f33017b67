/* Types of settings. Findings do not quote values, since a value may be a secret. */
#include "pw/core/settings.h"

#include <string.h>

#include "pw/core/address.h"
#include "pw/core/clock.h"
#include "pw/core/error.h"
#include "pw/core/number.h"

static void free_string(void *value)
{
	g_clear_pointer((char **)value, g_free);
}

static void free_strings(void *value)
{
	g_clear_pointer((char ***)value, g_strfreev);
}

static void parse_string(const struct pw_setting *s, void *value, const char *text,
			 const char *location, struct pw_findings *f)
{
	if (text[0] == '\0')
		pw_findings_add(f, location, "must not be empty");
	free_string(value);
	*(char **)value = g_strdup(text);
}

const struct pw_setting_ops pw_setting_string = {
	.type = "TEXT",
	.parse = parse_string,
	.dispose = free_string,
};

static void parse_bool(const struct pw_setting *s, void *value, const char *text,
		       const char *location, struct pw_findings *f)
{
	bool is_true = strcmp(text, "true") == 0 || strcmp(text, "1") == 0;

	if (!is_true && strcmp(text, "false") != 0 && strcmp(text, "0") != 0)
		pw_findings_add(f, location, "must be true or false");
	*(bool *)value = is_true;
}

const struct pw_setting_ops pw_setting_bool = {
	.type = "true|false",
	.has_optional_value = true,
	.parse = parse_bool,
};

/* Parses a number within the limits of the setting and of its type, or adds a finding. */
static bool parse_number(const struct pw_setting *s, uint64_t *out, uint64_t type_max,
			 const char *text, const char *location, struct pw_findings *f)
{
	uint64_t max = s->max > 0 ? s->max : type_max;
	guint64 n;

	if (!pw_number_parse(&n, text, s->min, max)) {
		pw_findings_add(f, location,
				"must be a number from %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT,
				s->min, max);
		return false;
	}
	*out = n;
	return true;
}

static void parse_u32(const struct pw_setting *s, void *value, const char *text,
		      const char *location, struct pw_findings *f)
{
	uint64_t n;

	if (parse_number(s, &n, UINT32_MAX, text, location, f))
		*(uint32_t *)value = (uint32_t)n;
}

const struct pw_setting_ops pw_setting_u32 = { .type = "NUMBER", .parse = parse_u32 };

static void parse_u64(const struct pw_setting *s, void *value, const char *text,
		      const char *location, struct pw_findings *f)
{
	uint64_t n;

	if (parse_number(s, &n, UINT64_MAX, text, location, f))
		*(uint64_t *)value = n;
}

const struct pw_setting_ops pw_setting_u64 = { .type = "NUMBER", .parse = parse_u64 };

static const struct {
	const char *suffix;
	uint64_t size_us;
} duration_units[] = {
	{ "us", 1 },
	{ "ms", PW_US_PER_MS },
	{ "s", PW_US_PER_S },
	{ "min", 60 * PW_US_PER_S },
	{ "h", 3600 * PW_US_PER_S },
};

/* Most digits after the decimal point of a duration. */
#define FRACTION_DIGITS_MAX 6

/*
 * Parses the part of a duration from its decimal point on as a fraction of the unit, and moves
 * `text` to its end. Parts of a microsecond are left out.
 */
static bool parse_fraction(uint64_t *out_us, const char **text, uint64_t unit_us)
{
	const char *digits = *text + 1;
	size_t count = strspn(digits, "0123456789");
	uint64_t n = 0, scale = 1;

	if (count < 1 || count > FRACTION_DIGITS_MAX)
		return false;
	for (size_t i = 0; i < count; i++, scale *= 10)
		n = n * 10 + (uint64_t)(digits[i] - '0');
	*out_us = n * unit_us / scale;
	*text = digits + count;
	return true;
}

static bool parse_duration(uint64_t *out_us, const char *text)
{
	size_t digits = strspn(text, "0123456789");
	char *number = g_strndup(text, digits);
	guint64 n;
	bool ok = pw_number_parse(&n, number, 0, UINT64_MAX);

	g_free(number);
	for (size_t i = 0; ok && i < G_N_ELEMENTS(duration_units); i++) {
		const char *suffix = text + digits;
		uint64_t fraction_us = 0;

		if (*suffix == '.' &&
		    !parse_fraction(&fraction_us, &suffix, duration_units[i].size_us))
			return false;
		if (strcmp(suffix, duration_units[i].suffix) == 0)
			return g_uint64_checked_mul(out_us, n, duration_units[i].size_us) &&
			       g_uint64_checked_add(out_us, *out_us, fraction_us);
	}
	return false;
}

static void parse_duration_setting(const struct pw_setting *s, void *value, const char *text,
				   const char *location, struct pw_findings *f)
{
	uint64_t max_us = s->max > 0 ? s->max : UINT64_MAX;
	uint64_t duration_us;

	if (!parse_duration(&duration_us, text))
		pw_findings_add(f, location, "must be a duration such as 250ms, 30s or 2min");
	else if (duration_us < s->min || duration_us > max_us)
		pw_findings_add(f, location,
				"must be from %" G_GUINT64_FORMAT "us to %" G_GUINT64_FORMAT "us",
				s->min, max_us);
	else
		*(uint64_t *)value = duration_us;
}

const struct pw_setting_ops pw_setting_duration = { .type = "DURATION",
						    .parse = parse_duration_setting };

static void parse_choice(const struct pw_setting *s, void *value, const char *text,
			 const char *location, struct pw_findings *f)
{
	char *choices;

	for (uint32_t i = 0; s->choices[i]; i++) {
		if (strcmp(text, s->choices[i]) == 0) {
			*(uint32_t *)value = i;
			return;
		}
	}
	choices = g_strjoinv(", ", (char **)(uintptr_t)s->choices);
	pw_findings_add(f, location, "must be one of %s", choices);
	g_free(choices);
}

const struct pw_setting_ops pw_setting_choice = { .type = "WORD", .parse = parse_choice };

static void check_address(const char *text, const char *location, struct pw_findings *f)
{
	struct pw_address address;

	if (pw_address_parse(&address, text) != PW_OK)
		pw_findings_add(f, location,
				"must be an address IP:PORT, for example 10.0.0.1:5432");
}

static void parse_address(const struct pw_setting *s, void *value, const char *text,
			  const char *location, struct pw_findings *f)
{
	check_address(text, location, f);
	free_string(value);
	*(char **)value = g_strdup(text);
}

const struct pw_setting_ops pw_setting_address = {
	.type = "IP:PORT",
	.parse = parse_address,
	.dispose = free_string,
};

static void parse_addresses(const struct pw_setting *s, void *value, const char *text,
			    const char *location, struct pw_findings *f)
{
	char **items = g_strsplit(text, ",", -1);

	for (size_t i = 0; items[i]; i++) {
		char *item_location = g_strdup_printf("%s[%zu]", location, i);

		g_strstrip(items[i]);
		check_address(items[i], item_location, f);
		g_free(item_location);
	}
	free_strings(value);
	*(char ***)value = items;
}

const struct pw_setting_ops pw_setting_addresses = {
	.type = "IP:PORT,...",
	.is_list = true,
	.parse = parse_addresses,
	.dispose = free_strings,
};
