#include "statement.h"

/* Parses "FIELD REST"; neither may be missing, and the field may not be empty. */
static bool cut_required_field(struct wire_text *rest, struct wire_text *field)
{
	*field = wire_cut_field(rest);
	return field->size_bytes && rest->data;
}

static bool parse_nothing(struct statement *s, struct wire_text args)
{
	(void)s;
	return !args.data;
}

static bool parse_read(struct statement *s, struct wire_text args)
{
	s->kind = STATEMENT_READ;
	s->item = args;
	return args.size_bytes > 0;
}

static bool parse_write(struct statement *s, struct wire_text args)
{
	s->kind = STATEMENT_WRITE;
	if (!cut_required_field(&args, &s->item))
		return false;
	s->data = args;
	return true;
}

static bool parse_execute(struct statement *s, struct wire_text args)
{
	if (!cut_required_field(&args, &s->name))
		return false;
	s->item = wire_cut_field(&args);
	s->data = args;
	return s->item.size_bytes > 0;
}

static bool parse_commit(struct statement *s, struct wire_text args)
{
	s->kind = STATEMENT_COMMIT;
	return !args.data;
}

static bool parse_begin(struct statement *s, struct wire_text args)
{
	s->read_only = wire_equals(args, "READ");
	return !args.data || s->read_only;
}

static bool parse_set(struct statement *s, struct wire_text args)
{
	if (!cut_required_field(&args, &s->name))
		return false;
	s->data = args;
	return true;
}

static bool parse_prepare(struct statement *s, struct wire_text args)
{
	struct wire_text verb;

	if (!cut_required_field(&args, &s->name) || !cut_required_field(&args, &verb))
		return false;
	s->prepared_kind = wire_equals(verb, "READ")    ? STATEMENT_READ
			   : wire_equals(verb, "WRITE") ? STATEMENT_WRITE
							: STATEMENT_OTHER;
	s->shape = wire_copy(args);
	return s->prepared_kind != STATEMENT_OTHER && args.size_bytes;
}

static bool parse_close(struct statement *s, struct wire_text args)
{
	s->name = args;
	return args.size_bytes > 0;
}

static bool parse_stepdown(struct statement *s, struct wire_text args)
{
	return wire_parse_number(&s->term, args);
}

static const struct syntax {
	const char *word;
	enum verb verb;
	/** Parses what follows the word and a blank; its `data` is NULL if there is no blank. */
	bool (*parse)(struct statement *s, struct wire_text args);
	bool may_wait; /**< may have a WAITLSN prefix */
} syntaxes[] = {
	{ "READ", VERB_READ, parse_read, true },
	{ "WRITE", VERB_WRITE, parse_write, false },
	{ "EXECUTE", VERB_EXECUTE, parse_execute, true },
	{ "COMMIT", VERB_COMMIT, parse_commit, false },
	{ "BEGIN", VERB_BEGIN, parse_begin, true },
	{ "ROLLBACK", VERB_ROLLBACK, parse_nothing, false },
	{ "SET", VERB_SET, parse_set, false },
	{ "PREPARE", VERB_PREPARE, parse_prepare, false },
	{ "CLOSE", VERB_CLOSE, parse_close, false },
	{ "RESET", VERB_RESET, parse_nothing, false },
	{ "STATUS", VERB_STATUS, parse_nothing, false },
	{ "STEPDOWN", VERB_STEPDOWN, parse_stepdown, false },
};

/* Parses TERM.NUMBER. */
static bool parse_position(uint64_t *number, struct wire_text t)
{
	gsize term_size = 0;
	uint64_t term;

	while (term_size < t.size_bytes && t.data[term_size] != '.')
		term_size++;
	if (term_size == t.size_bytes)
		return false;
	return wire_parse_number(&term, (struct wire_text){ t.data, term_size }) &&
	       wire_parse_number(number, (struct wire_text){ t.data + term_size + 1,
							     t.size_bytes - term_size - 1 });
}

/* Removes a WAITLSN prefix from the text. Returns false if the prefix is malformed. */
static bool parse_prefix(struct statement *s)
{
	struct wire_text rest = s->text, position;

	if (!wire_equals(wire_cut_field(&rest), "WAITLSN"))
		return true;
	s->waits_for_position = true;
	position = wire_cut_field(&rest);
	s->text = rest;
	return rest.data && parse_position(&s->position, position);
}

static void parse_text(struct statement *s)
{
	struct wire_text args, word;

	if (!parse_prefix(s))
		return;
	args = s->text;
	word = wire_cut_field(&args);
	for (size_t i = 0; i < G_N_ELEMENTS(syntaxes); i++) {
		const struct syntax *x = &syntaxes[i];

		if (!wire_equals(word, x->word))
			continue;
		if ((!s->waits_for_position || x->may_wait) && x->parse(s, args))
			s->verb = x->verb;
		else
			s->kind = STATEMENT_OTHER;
		return;
	}
}

struct statement *statement_new(struct wire_text message)
{
	struct statement *s = g_new0(struct statement, 1);

	s->line = wire_copy(message);
	s->text = wire_text_of(s->line);
	s->id = wire_cut_field(&s->text);
	s->is_own = wire_equals(s->id, "-");
	if (s->id.size_bytes)
		parse_text(s);
	return s;
}

void statement_free(struct statement *s)
{
	if (!s)
		return;
	g_bytes_unref(s->line);
	g_clear_pointer(&s->shape, g_bytes_unref);
	json_decref(s->record);
	g_free(s);
}

void statement_resolve(struct statement *s, enum statement_kind kind, GBytes *shape)
{
	s->kind = kind;
	s->shape = g_bytes_ref(shape);
}
