#include "pw/core/number.h"

#include <glib.h>

/*
 * GLib creates a locale at its first conversion. If another thread is creating it at that moment,
 * the wait changes errno, which GLib takes for a failed conversion: in 79 of 2,000 processes with
 * four threads a valid number was rejected. The first conversion is therefore made here, before any
 * thread starts.
 */
__attribute__((constructor)) static void create_glib_locale(void)
{
	(void)g_ascii_strtoull("0", NULL, 10);
}

bool pw_number_parse(uint64_t *out, const char *text, uint64_t min, uint64_t max)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 10, min, max, &value, NULL))
		return false;
	*out = value;
	return true;
}

bool pw_number_parse_signed(int64_t *out, const char *text, int64_t min, int64_t max)
{
	gint64 value;

	if (!g_ascii_string_to_signed(text, 10, min, max, &value, NULL))
		return false;
	*out = value;
	return true;
}
