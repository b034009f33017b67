/**
 * @file answers_check.h
 * Checks of the randomized run of test_answers_fleet.c: the notes of the callers against the record
 * of the stand-in's servers.
 */
#ifndef PW_TESTS_ANSWERS_CHECK_H
#define PW_TESTS_ANSWERS_CHECK_H

#include <jansson.h>

#include "answers_notes.h"

/* Violations of a rule that are printed in full for each load. */
#define PRINTED_VIOLATIONS_MAX 3

enum rule {
	RULE_MIXED,
	RULE_UNASKED,
	RULE_PINNED,
	RULE_TWICE,
	RULE_REFUSED,
	RULE_SERVED,
	RULE_COUNT
};

static const char *const rule_names[RULE_COUNT] = {
	[RULE_MIXED] = "MIXED", [RULE_UNASKED] = "UNASKED", [RULE_PINNED] = "PINNED",
	[RULE_TWICE] = "TWICE", [RULE_REFUSED] = "REFUSED", [RULE_SERVED] = "SERVED",
};

/* Codes after which nothing of the caller's attempt is kept. */
static const char *const promises[] = {
	"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT",
};

/* One run of a statement at a server, decoded from the record. */
struct run {
	const char *id, *server, *account, *kind, *code, *signature;
	GString *text, *shape;
	GPtrArray *rows; /* GString */
	char *values;    /* see format_values() */
	bool runs, in_transaction, committed;
	char *transaction; /* with the server's name */
};

/* Transaction of a caller. */
struct transaction {
	bool commit_sent;
	bool is_promised;  /* a statement of it was answered with a promise */
	bool has_later;    /* a statement after the first one has run */
	bool is_committed; /* its COMMIT was answered with success */
	const struct note *first;
	char *server_transaction; /* in which it ran; NULL: none yet */
};

struct check {
	const char *load;
	uint32_t seed;
	GPtrArray *notes;        /* struct note of all callers */
	GHashTable *notes_by_id; /* char * -> struct note */
	GPtrArray *runs;         /* struct run */
	GHashTable *runs_by_id;  /* char * -> GPtrArray of struct run */
	GHashTable *signatures;  /* char * -> struct run */
	GArray *transactions;    /* struct transaction */
	GHashTable *owners;      /* server's transaction -> index + 1 of the transaction */
	uint32_t violations[RULE_COUNT];
	uint32_t success_count, error_count, no_answer_count;
	uint32_t expected_count; /* statements that can succeed */
	GHashTable *codes;       /* error code -> count */
	GString *details;
};

static inline void run_free(gpointer data)
{
	struct run *r = data;

	g_string_free(r->text, TRUE);
	g_string_free(r->shape, TRUE);
	g_ptr_array_unref(r->rows);
	g_free(r->values);
	g_free(r->transaction);
	g_free(r);
}

static inline void add_violation(struct check *c, enum rule rule, const struct note *n,
				 const struct run *r, const char *reason)
{
	char *sent, *run;

	if (c->violations[rule]++ >= PRINTED_VIOLATIONS_MAX)
		return;
	sent = n ? printable(n->text) : g_strdup("nothing");
	run = r ? printable(r->text) : g_strdup("nothing");
	g_string_append_printf(c->details, "%s, load \"%s\", seed %u, id %s: %s; sent %s (%s); ",
			       rule_names[rule], c->load, c->seed,
			       n   ? n->id
			       : r ? r->id
				   : "-",
			       reason, sent, n ? n->name ? n->name : "no name" : "nobody");
	g_string_append_printf(c->details, "run %s at %s, %s, %s %s, in %s; got %s%s%s\n", run,
			       r ? r->server : "-", r && r->runs ? "runs" : "does not run",
			       r ? r->code : "", r ? r->signature : "", r ? r->transaction : "-",
			       n && n->signature ? n->signature->str : "no signature",
			       n && n->code ? ", " : "", n && n->code ? n->code : "");
	g_free(sent);
	g_free(run);
}

static inline GString *decode_base64(const json_t *text)
{
	gsize size = 0;
	guchar *data = g_base64_decode(json_string_value(text), &size);
	GString *out = g_string_new_len((const char *)data, (gssize)size);

	g_free(data);
	return out;
}

static inline char *decode_values(json_t *values)
{
	GHashTable *map = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_bytes);
	const char *name;
	json_t *value;
	char *text;

	json_object_foreach (values, name, value)
		g_hash_table_insert(map, (gpointer)name, decode_base64(value));
	text = format_values(map);
	g_hash_table_unref(map);
	return text;
}

/* The strings of the run belong to the entry. */
static inline struct run *decode_run(const json_t *entry)
{
	struct run *r = g_new0(struct run, 1);
	const json_t *row;
	size_t i;

	r->id = json_string_value(json_object_get(entry, "id"));
	r->server = json_string_value(json_object_get(entry, "server"));
	r->account = json_string_value(json_object_get(entry, "account"));
	r->kind = json_string_value(json_object_get(entry, "kind"));
	r->code = json_string_value(json_object_get(entry, "code"));
	r->signature = json_string_value(json_object_get(entry, "signature"));
	r->text = decode_base64(json_object_get(entry, "text"));
	r->shape = decode_base64(json_object_get(entry, "shape"));
	r->rows = g_ptr_array_new_with_free_func(free_bytes);
	json_array_foreach (json_object_get(entry, "rows"), i, row)
		g_ptr_array_add(r->rows, decode_base64(row));
	r->values = decode_values(json_object_get(entry, "values"));
	r->runs = json_is_true(json_object_get(entry, "runs"));
	r->in_transaction = json_is_true(json_object_get(entry, "in_transaction"));
	r->committed = json_is_true(json_object_get(entry, "committed"));
	r->transaction = g_strdup_printf("%s/%" JSON_INTEGER_FORMAT, r->server,
					 json_integer_value(json_object_get(entry, "transaction")));
	return r;
}

static inline void add_run(struct check *c, struct run *r)
{
	GPtrArray *of_id = g_hash_table_lookup(c->runs_by_id, r->id);

	g_ptr_array_add(c->runs, r);
	if (!of_id) {
		of_id = g_ptr_array_new();
		g_hash_table_insert(c->runs_by_id, (gpointer)r->id, of_id);
	}
	g_ptr_array_add(of_id, r);
	if (*r->signature)
		g_hash_table_insert(c->signatures, (gpointer)r->signature, r);
}

static inline bool is_promise(const struct note *n)
{
	for (size_t i = 0; n->code && i < G_N_ELEMENTS(promises); i++) {
		if (strcmp(n->code, promises[i]) == 0)
			return true;
	}
	return false;
}

/* State of a session as its caller knows it from the answers. */
struct session_view {
	uint32_t caller, session;
	bool is_known; /* all statements before were answered */
	char state;
	uint32_t transaction; /* index + 1; 0: none */
	GHashTable *values;   /* name -> GString */
	GHashTable *shapes;   /* name -> GString */
};

static inline void reset_view(struct session_view *v, const struct note *n)
{
	v->caller = n->caller;
	v->session = n->session;
	v->is_known = true;
	v->state = 'I';
	v->transaction = 0;
	g_hash_table_remove_all(v->values);
	g_hash_table_remove_all(v->shapes);
}

static inline GString *copy_bytes(const GString *bytes)
{
	return g_string_new_len(bytes->str, (gssize)bytes->len);
}

/* Applies the answer of a statement to the view. */
static inline void advance_view(struct check *c, struct session_view *v, const struct note *n)
{
	if (n->outcome == OUTCOME_NO_ANSWER) {
		v->is_known = false;
		return;
	}
	if (n->outcome == OUTCOME_SUCCESS && n->kind == STATEMENT_SET)
		g_hash_table_replace(v->values, g_strdup(n->name), copy_bytes(n->argument));
	if (n->outcome == OUTCOME_SUCCESS && n->kind == STATEMENT_PREPARE)
		g_hash_table_replace(v->shapes, g_strdup(n->name), copy_bytes(n->argument));
	if (n->outcome == OUTCOME_SUCCESS && n->kind == STATEMENT_CLOSE)
		g_hash_table_remove(v->shapes, n->name);
	if (v->state == 'I' && n->state == 'T') {
		struct transaction t = { 0 };

		g_array_append_val(c->transactions, t);
		v->transaction = c->transactions->len;
	}
	if (n->state == 'I')
		v->transaction = 0;
	v->state = n->state;
}

/* Derives the context in which the statement has to run from the answers before it. */
static inline void set_context(struct check *c, const struct session_view *v, struct note *n)
{
	const GString *shape = n->name ? g_hash_table_lookup(v->shapes, n->name) : NULL;
	struct transaction *t;

	n->has_context = v->is_known;
	n->state_before = v->state;
	n->transaction = v->transaction;
	n->values = format_values(v->values);
	if (n->kind == STATEMENT_EXECUTE && shape)
		n->shape = copy_bytes(shape);
	if (!n->transaction)
		return;
	t = &g_array_index(c->transactions, struct transaction, n->transaction - 1);
	t->commit_sent |= n->kind == STATEMENT_COMMIT;
	t->is_promised |= is_promise(n);
	t->is_committed |= n->kind == STATEMENT_COMMIT && n->outcome == OUTCOME_SUCCESS;
	if (is_signed_kind(n) && !t->first)
		t->first = n;
}

static inline void derive_contexts(struct check *c)
{
	struct session_view v = {
		.caller = UINT32_MAX,
		.values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_bytes),
		.shapes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_bytes),
	};

	for (guint i = 0; i < c->notes->len; i++) {
		struct note *n = g_ptr_array_index(c->notes, i);

		if (n->caller != v.caller || n->session != v.session)
			reset_view(&v, n);
		set_context(c, &v, n);
		advance_view(c, &v, n);
	}
	g_hash_table_unref(v.values);
	g_hash_table_unref(v.shapes);
}

/* Whether the text is that of the note; the name of an EXECUTE may differ. */
static inline bool has_text_of(const struct run *r, const struct note *n)
{
	const char *name = r->text->str + strlen("EXECUTE ");
	const char *blank;

	if (n->kind != STATEMENT_EXECUTE)
		return bytes_equal(r->text, n->text);
	if (!g_str_has_prefix(r->text->str, "EXECUTE "))
		return false;
	blank = memchr(name, ' ', r->text->len - strlen("EXECUTE "));
	return blank && r->text->len - (gsize)(blank + 1 - r->text->str) == n->argument->len &&
	       memcmp(blank + 1, n->argument->str, n->argument->len) == 0;
}

static inline void check_text(struct check *c, const struct run *r, const struct note *n)
{
	if (!n)
		add_violation(c, RULE_UNASKED, NULL, r, "no caller sent this id");
	else if (!has_text_of(r, n))
		add_violation(c, RULE_UNASKED, n, r, "the text is not the one sent");
}

static inline void check_account(struct check *c, const struct run *r, const struct note *n,
				 const char *account)
{
	if (strcmp(r->account, account) != 0)
		add_violation(c, RULE_UNASKED, n, r, "not the account of its caller");
}

/* Whether the server ran the shape and kind that the caller prepared under this name. */
static inline bool has_shape_of(const struct run *r, const struct note *n)
{
	const char *blank = n->shape ? memchr(n->shape->str, ' ', n->shape->len) : NULL;
	gsize skipped = blank ? (gsize)(blank + 1 - n->shape->str) : 0;

	return blank && n->shape->len - skipped == r->shape->len &&
	       memcmp(n->shape->str + skipped, r->shape->str, r->shape->len) == 0 &&
	       strcmp(r->kind, g_str_has_prefix(n->shape->str, "WRITE ") ? "write" : "read") == 0;
}

/* Checks that the statements of a transaction run together, and those of no other there. */
static inline void check_transaction(struct check *c, const struct run *r, const struct note *n)
{
	struct transaction *t;
	gpointer owner;

	if (r->in_transaction != (n->transaction != 0)) {
		add_violation(c, RULE_PINNED, n, r,
			      r->in_transaction ? "ran inside a transaction, sent outside"
						: "ran outside a transaction, sent inside");
		return;
	}
	if (!n->transaction)
		return;
	owner = g_hash_table_lookup(c->owners, r->transaction);
	if (owner && GPOINTER_TO_UINT(owner) != n->transaction)
		add_violation(c, RULE_PINNED, n, r, "ran in the transaction of another one");
	g_hash_table_insert(c->owners, r->transaction, GUINT_TO_POINTER(n->transaction));
	t = &g_array_index(c->transactions, struct transaction, n->transaction - 1);
	/* The first statement may run again elsewhere as long as no other has followed it. */
	if (n == t->first && !t->has_later) {
		t->server_transaction = r->transaction;
		return;
	}
	t->has_later = true;
	if (!t->server_transaction)
		t->server_transaction = r->transaction;
	if (strcmp(t->server_transaction, r->transaction) != 0)
		add_violation(c, RULE_PINNED, n, r,
			      "not in the transaction of the first statement");
}

static inline void check_context(struct check *c, const struct run *r, const struct note *n)
{
	if (!r->runs || !n->has_context || strcmp(r->kind, "other") == 0)
		return;
	if (strcmp(r->values, n->values) != 0) {
		char *reason =
			g_strdup_printf("values \"%.100s\", not \"%.100s\"", r->values, n->values);

		add_violation(c, RULE_PINNED, n, r, reason);
		g_free(reason);
	}
	if (n->kind == STATEMENT_EXECUTE && !has_shape_of(r, n))
		add_violation(c, RULE_PINNED, n, r, "another shape than the prepared one");
	check_transaction(c, r, n);
}

static inline void check_commit(struct check *c, const struct run *r, struct note *n)
{
	const struct transaction *t =
		n->transaction
			? &g_array_index(c->transactions, struct transaction, n->transaction - 1)
			: NULL;

	if (!r->committed)
		return;
	if (!n->writes)
		add_violation(c, RULE_UNASKED, n, r, "committed, but not a write");
	if (++n->commit_count > 1)
		add_violation(c, RULE_TWICE, n, r, "committed more than once");
	if (t && !t->commit_sent)
		add_violation(c, RULE_UNASKED, n, r, "committed, but no COMMIT was sent");
	if (t ? t->is_promised : is_promise(n))
		add_violation(c, RULE_REFUSED, n, r, "committed, but the caller got a promise");
}

static inline bool has_rows_of(const struct run *r, const struct note *n)
{
	if (r->rows->len != n->rows->len)
		return false;
	for (guint i = 0; i < r->rows->len; i++) {
		if (!bytes_equal(g_ptr_array_index(r->rows, i), g_ptr_array_index(n->rows, i)))
			return false;
	}
	return true;
}

/* Whether a write of this note is committed according to the answers. */
static inline bool is_acknowledged(const struct check *c, const struct note *n)
{
	if (!n->writes || !n->has_context || n->outcome != OUTCOME_SUCCESS)
		return false;
	return !n->transaction ||
	       g_array_index(c->transactions, struct transaction, n->transaction - 1).is_committed;
}

/* Checks that a success is the result of a run of this statement. */
static inline void check_success(struct check *c, const struct note *n)
{
	const struct run *r = g_hash_table_lookup(c->signatures, n->signature->str);

	if (strcmp(n->signature->str, "-") == 0 && !is_signed_kind(n)) {
		if (n->rows->len)
			add_violation(c, RULE_MIXED, n, NULL, "rows for a statement without any");
		return;
	}
	if (!r)
		add_violation(c, RULE_MIXED, n, NULL, "success without a server's signature");
	else if (strcmp(r->id, n->id) != 0)
		add_violation(c, RULE_MIXED, n, r, "signature of another statement");
	else if (!has_rows_of(r, n))
		add_violation(c, RULE_MIXED, n, r, "other rows than this run sent");
	else if (is_acknowledged(c, n) && !r->committed)
		add_violation(c, RULE_MIXED, n, r, "acknowledged, but not committed");
}

/* Whether the answer refuses a statement that the session allows. */
static inline bool is_wrongly_rejected(const struct note *n)
{
	if (!n->has_context || n->state_before == 'E' || !n->code)
		return false;
	return strcmp(n->code, "MALFORMED") == 0 && n->kind != STATEMENT_COMMIT &&
	       n->kind != STATEMENT_ROLLBACK;
}

static inline void count_code(struct check *c, const char *code)
{
	gpointer count = g_hash_table_lookup(c->codes, code);

	g_hash_table_replace(c->codes, g_strdup(code),
			     GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
}

static inline void check_answer(struct check *c, const struct note *n)
{
	bool is_expected = !n->unknown_name && n->has_context && n->state_before != 'E';

	c->expected_count += is_expected;
	switch (n->outcome) {
	case OUTCOME_NO_ANSWER:
		c->no_answer_count++;
		break;
	case OUTCOME_READY_ONLY:
		add_violation(c, RULE_MIXED, n, NULL, "an answer without COMPLETE or ERROR");
		break;
	case OUTCOME_SUCCESS:
		c->success_count++;
		check_success(c, n);
		break;
	case OUTCOME_ERROR:
		c->error_count++;
		count_code(c, n->code);
		if (strcmp(n->code, "NOSTMT") == 0 && n->has_context && n->shape)
			add_violation(c, RULE_PINNED, n, NULL, "a prepared name is unknown");
		if (is_wrongly_rejected(n))
			add_violation(c, RULE_SERVED, n, NULL, "rejected, though it is valid");
		break;
	}
}

/* Adds the notes of a caller; the check does not own them. */
static inline void check_add_notes(struct check *c, GPtrArray *notes)
{
	for (guint i = 0; i < notes->len; i++) {
		struct note *n = g_ptr_array_index(notes, i);

		g_ptr_array_add(c->notes, n);
		g_hash_table_insert(c->notes_by_id, n->id, n);
	}
}

/* Creates a check of a record, which has to outlive it. */
static inline struct check *check_new(const char *load, uint32_t seed, const json_t *record)
{
	struct check *c = g_new0(struct check, 1);
	const json_t *entry;
	size_t i;

	c->load = load;
	c->seed = seed;
	c->notes = g_ptr_array_new();
	c->notes_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	c->runs = g_ptr_array_new_with_free_func(run_free);
	c->runs_by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      (GDestroyNotify)g_ptr_array_unref);
	c->signatures = g_hash_table_new(g_str_hash, g_str_equal);
	c->transactions = g_array_new(FALSE, TRUE, sizeof(struct transaction));
	c->owners = g_hash_table_new(g_str_hash, g_str_equal);
	c->codes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->details = g_string_new(NULL);
	json_array_foreach (record, i, entry)
		add_run(c, decode_run(entry));
	return c;
}

static inline void check_free(struct check *c)
{
	g_ptr_array_unref(c->notes);
	g_hash_table_unref(c->notes_by_id);
	g_hash_table_unref(c->runs_by_id);
	g_hash_table_unref(c->signatures);
	g_hash_table_unref(c->owners);
	g_ptr_array_unref(c->runs);
	g_array_unref(c->transactions);
	g_hash_table_unref(c->codes);
	g_string_free(c->details, TRUE);
	g_free(c);
}

/* Checks the record against the notes. `accounts` has the account of each caller. */
static inline void check_run(struct check *c, const char *const *accounts)
{
	derive_contexts(c);
	for (guint i = 0; i < c->runs->len; i++) {
		const struct run *r = g_ptr_array_index(c->runs, i);
		struct note *n = g_hash_table_lookup(c->notes_by_id, r->id);

		check_text(c, r, n);
		if (!n)
			continue;
		check_account(c, r, n, accounts[n->caller]);
		check_context(c, r, n);
		check_commit(c, r, n);
	}
	for (guint i = 0; i < c->notes->len; i++)
		check_answer(c, g_ptr_array_index(c->notes, i));
}

#endif
