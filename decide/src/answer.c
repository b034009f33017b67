#include "pw/decide/answer.h"

#include <inttypes.h>

/* The rows of an answer. */
struct given_rows {
	uint32_t rows_hash;
	uint32_t subject_hash;
};

struct pw_answer_history {
	GHashTable *identities; /**< set of texts, see format_identity() */
	GPtrArray *batch;       /**< identities that pw_answer_end_batch() adds */
	GHashTable *rows;       /**< hash of a first row -> struct given_rows */
	/** Newest position of the answers without signature of each kind. */
	struct pw_position unsigned_position[PW_UNSIGNED_ANSWER_COUNT];
	bool has_unsigned[PW_UNSIGNED_ANSWER_COUNT];
	/**
	 * An answer to a control or clean-up statement since the last certain answer may have been
	 * a copy, so that the own one is still to come.
	 */
	bool is_ambiguous;
};

static const char *const verdict_names[PW_ANSWER_VERDICT_COUNT] = {
	[PW_ANSWER_OWN] = "own",
	[PW_ANSWER_FOREIGN] = "foreign",
	[PW_ANSWER_UNCERTAIN] = "uncertain",
};

static const char *const due_names[PW_ANSWER_DUE_COUNT] = {
	[PW_ANSWER_DUE_NONE] = "none",           [PW_ANSWER_DUE_OPENING] = "opening",
	[PW_ANSWER_DUE_READ] = "read",           [PW_ANSWER_DUE_WRITE] = "write",
	[PW_ANSWER_DUE_BEGIN] = "begin",         [PW_ANSWER_DUE_CONTROL] = "control",
	[PW_ANSWER_DUE_CLEANUP] = "cleanup",     [PW_ANSWER_DUE_FENCE] = "fence",
	[PW_ANSWER_DUE_FENCE_END] = "fence_end",
};

const char *pw_answer_verdict_name(enum pw_answer_verdict v)
{
	return verdict_names[v];
}

const char *pw_answer_due_name(enum pw_answer_due due)
{
	return due_names[due];
}

void pw_answer_add_row(struct pw_answer *answer, uint32_t row_hash)
{
	if (!answer->row_count++)
		answer->first_row_hash = row_hash;
	answer->rows_hash = answer->rows_hash * 31 + row_hash;
}

struct pw_answer_history *pw_answer_history_new(void)
{
	struct pw_answer_history *h = g_new0(struct pw_answer_history, 1);

	h->identities = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	h->batch = g_ptr_array_new_with_free_func(g_free);
	h->rows = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return h;
}

void pw_answer_history_free(struct pw_answer_history *h)
{
	if (!h)
		return;
	g_hash_table_unref(h->identities);
	g_ptr_array_unref(h->batch);
	g_hash_table_unref(h->rows);
	g_free(h);
}

/*
 * Returns the text in which all copies of an answer agree; NULL if the answer is no complete one.
 * The signature identifies a signed answer; other answers are compared as a whole.
 */
static char *format_identity(const struct pw_answer *a)
{
	if (a->end == PW_ANSWER_END_NONE)
		return NULL;
	if (a->end == PW_ANSWER_END_SUCCESS && a->signature)
		return g_strconcat("s ", a->signature, NULL);
	return g_strdup_printf("%s %d %d %" PRIu64 ".%" PRIu64 " %d %s",
			       a->end == PW_ANSWER_END_ERROR ? "e" : "u", a->state, a->has_position,
			       a->position.term, a->position.lsn, a->error_code,
			       a->error ? a->error : "");
}

static bool was_given(const struct pw_answer_history *h, const struct pw_answer *a)
{
	char *identity = format_identity(a);
	bool known = identity && g_hash_table_contains(h->identities, identity);

	g_free(identity);
	return known;
}

/*
 * Whether rows of a copy that was cut off may precede the rows of this answer: it begins with the
 * first row of an earlier answer and goes on differently, or asks for something else.
 */
static bool may_have_foreign_rows(const struct pw_answer_history *h, enum pw_answer_due due,
				  const struct pw_answer *a)
{
	const struct given_rows *given;

	if (!a->row_count)
		return false;
	given = g_hash_table_lookup(h->rows, GUINT_TO_POINTER(a->first_row_hash));
	return given && (due == PW_ANSWER_DUE_WRITE || given->rows_hash != a->rows_hash ||
			 given->subject_hash != a->subject_hash);
}

/* Decides about the success of a statement that was forwarded for a caller. */
static enum pw_answer_verdict check_signed(const struct pw_answer_history *h,
					   enum pw_answer_due due, const struct pw_answer *a)
{
	if (!a->signature || was_given(h, a))
		return PW_ANSWER_FOREIGN;
	return may_have_foreign_rows(h, due, a) ? PW_ANSWER_UNCERTAIN : PW_ANSWER_OWN;
}

/* Decides about the success of a statement of the proxy itself. */
static enum pw_answer_verdict check_unsigned(const struct pw_answer_history *h,
					     enum pw_answer_due due, const struct pw_answer *a)
{
	if (a->signature || a->state == PW_ANSWER_STATE_FAILED)
		return PW_ANSWER_FOREIGN;
	/* The rows may be those of a copy that was cut off. */
	if (a->row_count)
		return PW_ANSWER_UNCERTAIN;
	/*
	 * Sessions take turns on a connection, so that equal control answers are common. If one was
	 * a copy, the own one comes in place of the next answer: its success is then found to be
	 * foreign, and its error is uncertain.
	 */
	if (due == PW_ANSWER_DUE_FENCE)
		return a->state == PW_ANSWER_STATE_IN_TRANSACTION ? PW_ANSWER_OWN
								  : PW_ANSWER_FOREIGN;
	if (due != PW_ANSWER_DUE_BEGIN)
		return PW_ANSWER_OWN;
	if (a->state != PW_ANSWER_STATE_IN_TRANSACTION)
		return PW_ANSWER_FOREIGN;
	return was_given(h, a) ? PW_ANSWER_UNCERTAIN : PW_ANSWER_OWN;
}

enum pw_answer_verdict pw_answer_check(const struct pw_answer_history *h, enum pw_answer_due due,
				       const struct pw_answer *a)
{
	if (due == PW_ANSWER_DUE_NONE)
		return PW_ANSWER_FOREIGN;
	if (a->is_malformed)
		return PW_ANSWER_UNCERTAIN;
	if (due == PW_ANSWER_DUE_OPENING)
		return a->end == PW_ANSWER_END_SUCCESS || a->row_count ? PW_ANSWER_FOREIGN
								       : PW_ANSWER_OWN;
	switch (a->end) {
	case PW_ANSWER_END_ERROR:
		return a->row_count || h->is_ambiguous || was_given(h, a) ? PW_ANSWER_UNCERTAIN
									  : PW_ANSWER_OWN;
	case PW_ANSWER_END_SUCCESS:
		return due == PW_ANSWER_DUE_READ || due == PW_ANSWER_DUE_WRITE
			       ? check_signed(h, due, a)
			       : check_unsigned(h, due, a);
	default:
		return a->row_count ? PW_ANSWER_UNCERTAIN : PW_ANSWER_FOREIGN;
	}
}

static enum pw_unsigned_answer unsigned_kind(const struct pw_answer *a)
{
	if (a->end == PW_ANSWER_END_ERROR)
		return PW_UNSIGNED_ANSWER_ERROR;
	return a->state == PW_ANSWER_STATE_IN_TRANSACTION ? PW_UNSIGNED_ANSWER_BEGIN
							  : PW_UNSIGNED_ANSWER_CONTROL;
}

/* Remembers the rows, unless a copy has them; an own answer is remembered in any case. */
static void record_rows(struct pw_answer_history *h, const struct pw_answer *a,
			enum pw_answer_verdict verdict)
{
	gpointer key = GUINT_TO_POINTER(a->first_row_hash);
	struct given_rows *given;

	if (!a->row_count || (verdict != PW_ANSWER_OWN && g_hash_table_contains(h->rows, key)))
		return;
	given = g_new(struct given_rows, 1);
	*given = (struct given_rows){ .rows_hash = a->rows_hash, .subject_hash = a->subject_hash };
	g_hash_table_replace(h->rows, key, given);
}

/* Whether own answers may still be to come after this one, since copies took their places. */
static bool leaves_ambiguity(const struct pw_answer_history *h, enum pw_answer_due due,
			     const char *identity, enum pw_answer_verdict verdict)
{
	switch (due) {
	case PW_ANSWER_DUE_CONTROL:
	case PW_ANSWER_DUE_CLEANUP:
		return h->is_ambiguous || g_hash_table_contains(h->identities, identity);
	case PW_ANSWER_DUE_FENCE:
		/* That of an earlier fence ends in the same state, and may come again as well. */
		return verdict == PW_ANSWER_OWN ? g_hash_table_contains(h->identities, identity)
						: h->is_ambiguous;
	case PW_ANSWER_DUE_FENCE_END:
		return h->is_ambiguous;
	default:
		return h->is_ambiguous && verdict != PW_ANSWER_OWN;
	}
}

void pw_answer_record(struct pw_answer_history *h, enum pw_answer_due due,
		      const struct pw_answer *a, enum pw_answer_verdict verdict)
{
	char *identity = format_identity(a);

	record_rows(h, a, verdict);
	if (!identity)
		return;
	if (!a->signature) {
		enum pw_unsigned_answer kind = unsigned_kind(a);

		h->unsigned_position[kind] =
			pw_position_max(&h->unsigned_position[kind], &a->position);
		h->has_unsigned[kind] = true;
	}
	h->is_ambiguous = leaves_ambiguity(h, due, identity, verdict);
	if (due == PW_ANSWER_DUE_CONTROL)
		g_ptr_array_add(h->batch, identity);
	else
		g_hash_table_add(h->identities, identity);
}

void pw_answer_end_batch(struct pw_answer_history *h)
{
	for (guint i = 0; i < h->batch->len; i++)
		g_hash_table_add(h->identities, g_strdup(g_ptr_array_index(h->batch, i)));
	g_ptr_array_set_size(h->batch, 0);
}

bool pw_answer_is_ambiguous(const struct pw_answer_history *h)
{
	return h->is_ambiguous;
}

bool pw_answer_is_distinct_at(const struct pw_answer_history *h, enum pw_unsigned_answer kind,
			      const struct pw_position *position)
{
	if (kind == PW_UNSIGNED_ANSWER_ERROR && h->is_ambiguous)
		return false;
	return !h->has_unsigned[kind] ||
	       pw_position_compare(&h->unsigned_position[kind], position) < 0;
}

uint32_t pw_answer_history_count(const struct pw_answer_history *h)
{
	return g_hash_table_size(h->identities);
}

bool pw_answer_history_is_full(const struct pw_answer_history *h)
{
	return g_hash_table_size(h->identities) >= PW_ANSWERS_MAX ||
	       g_hash_table_size(h->rows) >= PW_ANSWERS_MAX;
}
