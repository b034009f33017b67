#include "document_private.h"

#include <string.h>

#include "pw/core/error.h"

void *pw_document_alloc(struct pw_document_impl *impl, size_t size_bytes)
{
	void *allocation = g_malloc0(size_bytes);

	g_ptr_array_add(impl->allocations, allocation);
	return allocation;
}

char *pw_document_strdup(struct pw_document_impl *impl, const char *text)
{
	char *copy = g_strdup(text);

	g_ptr_array_add(impl->allocations, copy);
	return copy;
}

void pw_document_add_finding(struct pw_document_parser *p, const char *location, const char *format,
			     ...)
{
	va_list ap;
	char *text;

	p->finding_count++;
	if (p->finding_count > PW_DOCUMENT_MAX_FINDINGS)
		return;
	va_start(ap, format);
	text = g_strdup_vprintf(format, ap);
	va_end(ap);
	pw_findings_add(p->findings, location, "%s", text);
	g_free(text);
}

static void impl_free(struct pw_document_impl *impl)
{
	g_clear_pointer(&impl->databases_by_name, g_hash_table_unref);
	g_clear_pointer(&impl->accounts_by_name, g_hash_table_unref);
	g_ptr_array_unref(impl->allocations);
	g_free(impl);
}

static struct pw_document_impl *impl_new(const char *text, size_t size_bytes, uint64_t revision)
{
	struct pw_document_impl *impl = g_new0(struct pw_document_impl, 1);
	char *copy;

	atomic_init(&impl->ref_count, 1);
	impl->allocations = g_ptr_array_new_with_free_func(g_free);
	copy = pw_document_alloc(impl, size_bytes + 1);
	memcpy(copy, text, size_bytes);
	impl->document.revision = revision;
	impl->document.text = copy;
	impl->document.text_size_bytes = size_bytes;
	return impl;
}

/*
 * Parses the JSON text. The part of Jansson's error message that quotes the text is removed, since
 * the text may contain a secret.
 */
static json_t *parse_json(struct pw_document_parser *p, const char *text, size_t size_bytes)
{
	json_error_t error;
	json_t *root = json_loadb(text, size_bytes, JSON_REJECT_DUPLICATES, &error);
	char *near, *location;

	if (root)
		return root;
	near = strstr(error.text, " near ");
	if (near)
		*near = '\0';
	location = g_strdup_printf("line %d, column %d", error.line, error.column);
	pw_document_add_finding(p, location, "not valid JSON: %s", error.text);
	g_free(location);
	return NULL;
}

int pw_document_parse(const struct pw_document **out, const char *text, size_t size_bytes,
		      uint64_t revision, struct pw_findings *f)
{
	struct pw_document_parser p = { .findings = f };
	json_t *root = NULL;

	*out = NULL;
	if (size_bytes > PW_DOCUMENT_MAX_BYTES) {
		pw_document_add_finding(&p, "document", "%zu bytes; at most %d are allowed",
					size_bytes, PW_DOCUMENT_MAX_BYTES);
		goto fail;
	}
	if (!pw_document_check_limits(&p, text, size_bytes))
		goto fail;
	root = parse_json(&p, text, size_bytes);
	if (!root)
		goto fail;
	p.impl = impl_new(text, size_bytes, revision);
	pw_document_read_members(&p, root);
	pw_document_resolve(&p);
	if (p.finding_count > 0)
		goto fail;
	json_decref(root);
	*out = &p.impl->document;
	return PW_OK;

fail:
	if (p.finding_count > PW_DOCUMENT_MAX_FINDINGS)
		pw_findings_add(f, "document", "%u further findings are not listed",
				p.finding_count - PW_DOCUMENT_MAX_FINDINGS);
	if (p.impl)
		impl_free(p.impl);
	json_decref(root);
	return pw_error_set(PW_EINVALID, "the document has %u findings", p.finding_count);
}

static struct pw_document_impl *impl_of(const struct pw_document *d)
{
	/* Only the reference count of a const snapshot is modified. */
	return (struct pw_document_impl *)(uintptr_t)d;
}

const struct pw_document *pw_document_ref(const struct pw_document *d)
{
	atomic_fetch_add_explicit(&impl_of(d)->ref_count, 1, memory_order_relaxed);
	return d;
}

void pw_document_unref(const struct pw_document *d)
{
	if (!d)
		return;
	/* Acquire-release ordering: all uses of the snapshot happen before it is freed. */
	if (atomic_fetch_sub_explicit(&impl_of(d)->ref_count, 1, memory_order_acq_rel) == 1)
		impl_free(impl_of(d));
}

const struct pw_document_database *pw_document_find_database(const struct pw_document *d,
							     const char *name)
{
	return g_hash_table_lookup(impl_of(d)->databases_by_name, name);
}

const struct pw_document_account *pw_document_find_account(const struct pw_document *d,
							   const char *name)
{
	return g_hash_table_lookup(impl_of(d)->accounts_by_name, name);
}

bool pw_document_is_draining(const struct pw_document *d, const char *vm)
{
	for (uint32_t i = 0; i < d->draining_count; i++) {
		if (strcmp(d->draining[i], vm) == 0)
			return true;
	}
	return false;
}

bool pw_document_account_allows(const struct pw_document_account *a,
				const struct pw_document_database *db)
{
	if (a->all_databases)
		return true;
	for (uint32_t i = 0; i < a->database_count; i++) {
		if (strcmp(a->database_names[i], db->name) == 0)
			return true;
	}
	return false;
}

size_t pw_document_normalise_statement(char *out, size_t out_size_bytes, const char *text,
				       size_t size_bytes)
{
	size_t length = 0;
	bool pending_space = false;

	for (size_t i = 0; i < size_bytes && text[i] != '\0'; i++) {
		if (g_ascii_isspace(text[i]) || text[i] == '\v') {
			pending_space = length > 0;
			continue;
		}
		if (length + pending_space + 1 >= out_size_bytes)
			break;
		if (pending_space)
			out[length++] = ' ';
		pending_space = false;
		out[length++] = g_ascii_tolower(text[i]);
	}
	out[length] = '\0';
	return length;
}

/*
 * Returns whether the byte may be part of an SQL identifier: a letter, a digit, an underscore, a
 * dollar sign or any byte of a multi-byte character.
 */
static bool is_identifier_char(char c)
{
	return g_ascii_isalnum(c) || c == '_' || c == '$' || (uint8_t)c >= 0x80;
}

/*
 * Returns whether the statement starts with the prefix. If the prefix ends in an identifier
 * character, a word of the statement must end there, too.
 */
static bool prefix_matches(const char *statement, const char *prefix)
{
	size_t size_bytes = strlen(prefix);

	if (strncmp(statement, prefix, size_bytes) != 0)
		return false;
	return size_bytes == 0 || !is_identifier_char(prefix[size_bytes - 1]) ||
	       !is_identifier_char(statement[size_bytes]);
}

static bool route_matches(const struct pw_document_route *r, const char *statement)
{
	for (uint32_t i = 0; i < r->prefix_count; i++) {
		if (prefix_matches(statement, r->prefixes[i]))
			return true;
	}
	return false;
}

const struct pw_document_route *pw_document_find_route(const struct pw_document *d,
						       const struct pw_document_database *db,
						       const char *statement)
{
	const struct pw_document_impl *impl = impl_of(d);

	for (uint32_t i = impl->route_starts[db->index]; i < impl->route_starts[db->index + 1];
	     i++) {
		if (route_matches(impl->routes_by_database[i], statement))
			return impl->routes_by_database[i];
	}
	return NULL;
}
