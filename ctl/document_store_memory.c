#include "document_store.h"

#include <glib.h>

#include "pw/core/error.h"

/* Document store in memory for tests. It keeps every revision; revision i is texts[i - 1]. */
struct memory_document_store {
	struct ctl_document_store base;
	GPtrArray *texts;
};

static int memory_get(struct ctl_document_store *s, char **text, uint64_t *revision,
		      uint64_t requested_revision)
{
	struct memory_document_store *m = (struct memory_document_store *)s;
	uint64_t number = requested_revision > 0 ? requested_revision : m->texts->len;

	if (number == 0 || number > m->texts->len)
		return pw_error_set(PW_ENOTFOUND, "the store has no such document");
	*text = g_strdup(g_ptr_array_index(m->texts, number - 1));
	*revision = number;
	return PW_OK;
}

static int memory_put(struct ctl_document_store *s, uint64_t *revision, const char *text,
		      uint64_t expected_revision)
{
	struct memory_document_store *m = (struct memory_document_store *)s;

	if (expected_revision != m->texts->len)
		return pw_error_set(PW_ECONFLICT, "the document has another revision");
	g_ptr_array_add(m->texts, g_strdup(text));
	*revision = m->texts->len;
	return PW_OK;
}

static void memory_free(struct ctl_document_store *s)
{
	struct memory_document_store *m = (struct memory_document_store *)s;

	g_ptr_array_unref(m->texts);
	g_free(m);
}

static const struct ctl_document_store_ops memory_ops = {
	.get = memory_get,
	.put = memory_put,
	.free = memory_free,
};

int ctl_document_store_memory_open(struct ctl_document_store **out)
{
	struct memory_document_store *m = g_new0(struct memory_document_store, 1);

	m->base.ops = &memory_ops;
	m->texts = g_ptr_array_new_with_free_func(g_free);
	*out = &m->base;
	return PW_OK;
}
