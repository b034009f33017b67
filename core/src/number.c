#include "pw/core/number.h"

#include <glib.h>

/*
 * GLib creates a locale at its first conversion. A thread that waits for another one to do that has
 * errno changed by the wait, which GLib takes for a failed conversion: of 2,000 processes with four
 * threads 79 had a good number refused. So the first conversion is made before any thread starts.
 */
__attribute__((constructor)) static void convert_first(void)
{
	(void)g_ascii_strtoull("0", NULL, 10);
}

bool pw_number_parse(uint64_t *out, const char *text, uint64_t min, uint64_t max)
{
	guint64 number;

	if (!g_ascii_string_to_unsigned(text, 10, min, max, &number, NULL))
		return false;
	*out = number;
	return true;
}

bool pw_number_parse_signed(int64_t *out, const char *text, int64_t min, int64_t max)
{
	gint64 number;

	if (!g_ascii_string_to_signed(text, 10, min, max, &number, NULL))
		return false;
	*out = number;
	return true;
}
