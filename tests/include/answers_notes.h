/**
 * @file answers_notes.h
 * What the callers of the randomized run of test_answers_fleet.c note of each statement: what was
 * sent, and what was answered; and the random statements.
 */
#ifndef PW_TESTS_ANSWERS_NOTES_H
#define PW_TESTS_ANSWERS_NOTES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#define MESSAGE_MAX_BYTES (1024 * 1024)
/* Room for WAITLSN, its position and a renamed prepared statement in the message to a server. */
#define MESSAGE_RESERVE_BYTES 256
/* Prepared names are the same in all sessions. */
#define PREPARED_NAME_COUNT 3

enum statement_kind {
	STATEMENT_READ,
	STATEMENT_WRITE,
	STATEMENT_COMMIT,
	STATEMENT_EXECUTE,
	STATEMENT_BEGIN,
	STATEMENT_ROLLBACK,
	STATEMENT_SET,
	STATEMENT_PREPARE,
	STATEMENT_CLOSE,
};

enum outcome {
	OUTCOME_NO_ANSWER,
	OUTCOME_SUCCESS,
	OUTCOME_ERROR,
	OUTCOME_READY_ONLY, /* neither COMPLETE nor ERROR before READY */
};

struct note {
	char *id;
	uint32_t caller;
	uint32_t session; /* number of the session among those of the caller */
	enum statement_kind kind;
	bool writes;       /* WRITE, or EXECUTE of one */
	bool unknown_name; /* EXECUTE of a name that was not prepared */
	GString *text;
	char *name;        /* of SET, PREPARE, EXECUTE and CLOSE; else NULL */
	GString *argument; /* text after the name, or NULL */

	enum outcome outcome;
	GPtrArray *rows;    /* GString */
	GString *signature; /* of a success */
	char *code;         /* of an error */
	char state;         /* of READY */

	/* Derived from the answers to the statements before it. */
	bool has_context;
	char state_before;
	uint32_t transaction; /* index + 1 in the transactions; 0: outside */
	char *values;         /* see format_values() */
	GString *shape;       /* of an EXECUTE; NULL: not prepared */
	uint32_t commit_count;
};

static inline void free_bytes(gpointer data)
{
	g_string_free(data, TRUE);
}

static inline void note_free(gpointer data)
{
	struct note *n = data;

	g_free(n->id);
	g_string_free(n->text, TRUE);
	g_free(n->name);
	if (n->argument)
		g_string_free(n->argument, TRUE);
	g_ptr_array_unref(n->rows);
	if (n->signature)
		g_string_free(n->signature, TRUE);
	if (n->shape)
		g_string_free(n->shape, TRUE);
	g_free(n->code);
	g_free(n->values);
	g_free(n);
}

/* Whether success needs a server's signature. */
static inline bool is_signed_kind(const struct note *n)
{
	return n->kind <= STATEMENT_EXECUTE;
}

static inline void append_word(GString *out, GRand *rand, int max_len)
{
	for (int len = g_rand_int_range(rand, 1, max_len + 1); len > 0; len--)
		g_string_append_c(out, (char)g_rand_int_range(rand, 'a', 'z' + 1));
}

static inline void append_random_bytes(GString *out, GRand *rand, int max_len)
{
	for (int len = g_rand_int_range(rand, 1, max_len + 1); len > 0; len--)
		g_string_append_c(out, (char)g_rand_int_range(rand, 0, 256));
}

static inline void append_line_feeds(GString *out, GRand *rand, int max_len)
{
	append_word(out, rand, max_len);
	g_string_append_c(out, '\n');
	append_word(out, rand, max_len);
}

static inline void append_message_after_line_feed(GString *out, GRand *rand, int max_len)
{
	static const char *const messages[] = {
		"\nQUERY zz WRITE shared0 smuggled",
		"\nCOMPLETE sig.i-core-1.1",
		"\nREADY I 1.1",
		"\nDATAROW none",
		"\nERROR BUSY i-core-1",
		"\nTERMINATE",
	};

	append_word(out, rand, max_len);
	g_string_append(out, messages[g_rand_int_range(rand, 0, G_N_ELEMENTS(messages))]);
}

static inline void append_carriage_returns(GString *out, GRand *rand, int max_len)
{
	g_string_append_c(out, '\r');
	append_word(out, rand, max_len);
	g_string_append(out, g_rand_boolean(rand) ? "\r" : "\rx\n\r");
}

static inline void append_zero_bytes(GString *out, GRand *rand, int max_len)
{
	append_word(out, rand, max_len);
	g_string_append_len(out, "\0\0", g_rand_int_range(rand, 1, 3));
	if (g_rand_boolean(rand))
		append_word(out, rand, max_len);
}

static inline void append_blanks(GString *out, GRand *rand, int max_len)
{
	g_string_append(out, "  ");
	append_word(out, rand, max_len);
	g_string_append(out, g_rand_boolean(rand) ? " " : "  \t ");
}

static inline void append_high_bytes(GString *out, GRand *rand, int max_len)
{
	for (int len = g_rand_int_range(rand, 1, max_len + 1); len > 0; len--)
		g_string_append_c(out, (char)g_rand_int_range(rand, 128, 256));
}

static inline void append_nothing(GString *out, GRand *rand, int max_len)
{
	(void)out;
	(void)rand;
	(void)max_len;
}

static void (*const append_data[])(GString *out, GRand *rand, int max_len) = {
	append_word,    append_random_bytes, append_line_feeds, append_message_after_line_feed,
	append_blanks,  append_zero_bytes,   append_high_bytes, append_carriage_returns,
	append_nothing,
};

/* Replaces the line feeds that follow a carriage return: that pair ends a message. */
static inline void remove_line_ends(GString *text)
{
	for (gsize i = 1; i < text->len; i++) {
		if (text->str[i - 1] == '\r' && text->str[i] == '\n')
			text->str[i] = 'x';
	}
}

/* Appends data of a write or a value: a word, or any bytes if `any_bytes` is set. */
static inline void append_random_data(GString *out, GRand *rand, bool any_bytes)
{
	int kind = any_bytes ? g_rand_int_range(rand, 0, G_N_ELEMENTS(append_data)) : 0;

	append_data[kind](out, rand, g_rand_double(rand) < 0.05 ? 5000 : 20);
}

/* Appends data that fills the message up to some hundred bytes below the limit. */
static inline void append_large_data(GString *out, GRand *rand, bool any_bytes)
{
	gsize size =
		MESSAGE_MAX_BYTES - MESSAGE_RESERVE_BYTES - (gsize)g_rand_int_range(rand, 0, 4096);

	while (out->len < size)
		append_random_data(out, rand, any_bytes);
	g_string_truncate(out, size);
}

/* Appends an item of the caller or a shared one; in a tenth of the cases, with unusual bytes. */
static inline void append_item(GString *out, GRand *rand, uint32_t caller, bool any_bytes)
{
	if (g_rand_boolean(rand))
		g_string_append_printf(out, "own%u.%d", caller, g_rand_int_range(rand, 0, 3));
	else
		g_string_append_printf(out, "shared%d", g_rand_int_range(rand, 0, 4));
	if (any_bytes && g_rand_double(rand) < 0.1)
		g_string_append_len(out, "\n\x80\r\0z", 5);
}

static inline bool bytes_equal(const GString *a, const GString *b)
{
	return a->len == b->len && memcmp(a->str, b->str, a->len) == 0;
}

/* Returns the bytes as printable text, cut after 60 bytes. */
static inline char *printable(const GString *bytes)
{
	GString *out = g_string_new("'");

	for (gsize i = 0; i < MIN(bytes->len, 60); i++) {
		if (g_ascii_isprint(bytes->str[i]))
			g_string_append_c(out, bytes->str[i]);
		else
			g_string_append_printf(out, "\\x%02x", (guint8)bytes->str[i]);
	}
	g_string_append_printf(out, bytes->len > 60 ? "'... (%zu bytes)" : "'", bytes->len);
	return g_string_free(out, FALSE);
}

/* Returns session values, a map of names to GString, as text that is the same for equal maps. */
static inline char *format_values(GHashTable *values)
{
	GList *names = g_list_sort(g_hash_table_get_keys(values), (GCompareFunc)strcmp);
	GString *text = g_string_new(NULL);

	for (GList *l = names; l; l = l->next) {
		const GString *value = g_hash_table_lookup(values, l->data);
		char *encoded = g_base64_encode((const guchar *)value->str, value->len);

		g_string_append_printf(text, "%s=%s;", (char *)l->data, encoded);
		g_free(encoded);
	}
	g_list_free(names);
	return g_string_free(text, FALSE);
}

#endif
