#include "record.h"

#include <string.h>

/* Codes of errors after which a statement has not run. */
static const char *const refusals[] = { "BUSY", "LAGGING", "READONLY", "NOSTMT", "MALFORMED" };

static const char *const kind_names[] = {
	[STATEMENT_OTHER] = "other",
	[STATEMENT_READ] = "read",
	[STATEMENT_WRITE] = "write",
	[STATEMENT_COMMIT] = "commit",
};

static json_t *json_base64(struct wire_text t)
{
	char *text = g_base64_encode((const guchar *)t.data, t.size_bytes);
	json_t *j = json_string(text);

	g_free(text);
	return j;
}

/* JSON strings hold UTF-8 only; other bytes of names are replaced. */
static char *valid_text(struct wire_text t)
{
	return g_utf8_make_valid(t.data ? t.data : "", (gssize)t.size_bytes);
}

static json_t *json_name(struct wire_text t)
{
	char *text = valid_text(t);
	json_t *j = json_string(text);

	g_free(text);
	return j;
}

void record_add(json_t *record, struct statement *s, const char *server_id, GBytes *account)
{
	bool has_data = s->kind == STATEMENT_READ || s->kind == STATEMENT_WRITE;
	struct wire_text none = { 0 };

	if (s->is_own)
		return;
	s->record = json_pack(
		"{s:o,s:s,s:o,s:o,s:b,s:s,s:s,s:[],s:o,s:o,s:o,s:s,s:b,s:i,s:b,s:{}}", "id",
		json_name(s->id), "server", server_id, "account", json_name(wire_text_of(account)),
		"text", json_base64(s->text), "runs", false, "code", "", "signature", "", "rows",
		"item", json_base64(has_data ? s->item : none), "data",
		json_base64(has_data ? s->data : none), "shape",
		json_base64(s->verb == VERB_EXECUTE && s->shape ? wire_text_of(s->shape) : none),
		"kind", kind_names[s->kind], "in_transaction", false, "transaction", 0, "committed",
		false, "values");
	json_array_append(record, s->record);
}

void record_state(json_t *entry, uint64_t transaction, GHashTable *values)
{
	json_t *object = json_object_get(entry, "values");
	GHashTableIter it;
	gpointer name, value;

	if (!entry)
		return;
	json_object_set_new(entry, "in_transaction", json_boolean(transaction));
	json_object_set_new(entry, "transaction", json_integer((json_int_t)transaction));
	g_hash_table_iter_init(&it, values);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		char *text = valid_text(wire_text_of(name));

		json_object_set_new(object, text, json_base64(wire_text_of(value)));
		g_free(text);
	}
}

void record_row(json_t *entry, struct wire_text row)
{
	if (entry)
		json_array_append_new(json_object_get(entry, "rows"), json_base64(row));
}

void record_success(json_t *entry, const char *signature)
{
	if (!entry)
		return;
	json_object_set_new(entry, "runs", json_true());
	json_object_set_new(entry, "signature", json_string(signature));
}

void record_error(json_t *entry, const char *code)
{
	bool runs = true;

	if (!entry)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++)
		runs = runs && strcmp(refusals[i], code) != 0;
	json_object_set_new(entry, "runs", json_boolean(runs));
	json_object_set_new(entry, "code", json_string(code));
}

void record_committed(json_t *entry)
{
	if (entry)
		json_object_set_new(entry, "committed", json_true());
}
