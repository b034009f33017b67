#include "pw/core/findings.h"

#include <glib.h>

#include "pw/core/error.h"

struct pw_findings {
	GPtrArray *items;
};

static void finding_free(gpointer data)
{
	struct pw_finding *finding = data;

	g_free(finding->location);
	g_free(finding->message);
	g_free(finding);
}

int pw_findings_new(struct pw_findings **out)
{
	struct pw_findings *f = g_new0(struct pw_findings, 1);

	f->items = g_ptr_array_new_with_free_func(finding_free);
	*out = f;
	return PW_OK;
}

void pw_findings_free(struct pw_findings *f)
{
	if (!f)
		return;
	g_ptr_array_unref(f->items);
	g_free(f);
}

void pw_findings_add(struct pw_findings *f, const char *location, const char *format, ...)
{
	struct pw_finding *finding = g_new0(struct pw_finding, 1);
	va_list ap;

	finding->location = g_strdup(location);
	va_start(ap, format);
	finding->message = g_strdup_vprintf(format, ap);
	va_end(ap);
	g_ptr_array_add(f->items, finding);
}

size_t pw_findings_count(const struct pw_findings *f)
{
	return f->items->len;
}

const struct pw_finding *pw_findings_at(const struct pw_findings *f, size_t i)
{
	return g_ptr_array_index(f->items, i);
}

char *pw_findings_format(const struct pw_findings *f)
{
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < pw_findings_count(f); i++) {
		const struct pw_finding *finding = pw_findings_at(f, i);

		g_string_append_printf(text, "%s: %s\n", finding->location, finding->message);
	}
	return g_string_free(text, FALSE);
}
