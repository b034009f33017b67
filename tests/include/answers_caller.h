/**
 * @file answers_caller.h
 * Callers of the randomized run of test_answers_fleet.c: each is a thread with sessions of its own.
 */
#ifndef PW_TESTS_ANSWERS_CALLER_H
#define PW_TESTS_ANSWERS_CALLER_H

#include <pthread.h>

#include "answers_notes.h"
#include "platform_fleet.h"

/* A statement that is not answered in this time is given up, and its session closed. */
#define CALLER_TIMEOUT_MS 4000
/* After the end of the faults, a caller has this time to read and to write. */
#define RECOVERY_TIMEOUT_MS 6000

enum phase { PHASE_FAULTS, PHASE_RECOVERY };

/* Accounts and databases of the callers, in turns. */
struct caller_class {
	const char *database, *account, *key;
	bool reads_only;
};

struct caller {
	pthread_t thread;
	const struct caller_class *class;
	uint32_t index;
	bool any_bytes, large_data;
	GRand *rand;
	struct client *client; /* NULL: no session */
	uint32_t session_count;
	uint32_t operations_left; /* of the session */
	GPtrArray *notes;         /* struct note */
	guint sent_count;         /* notes whose statements were sent */
	bool is_prepared[PREPARED_NAME_COUNT], prepares_write[PREPARED_NAME_COUNT];
	uint32_t prepared_count;
	uint32_t unrequested_count; /* messages other than ERROR while no request was outstanding */
	uint32_t refused_start_count;
	bool has_read, has_written; /* after the end of the faults */
};

static gint phase; /* enum phase; atomic */

static inline void end_session(struct caller *c)
{
	g_clear_pointer(&c->client, client_free);
	memset(c->is_prepared, 0, sizeof(c->is_prepared));
}

/* Returns the next line without its end, or NULL at the end of the connection or the deadline. */
static inline GString *take_line(struct client *client, gint64 deadline_us)
{
	gsize searched = 0;

	for (;;) {
		GString *in = client->received;
		char *end = memmem(in->str + searched, in->len - searched, "\r\n", 2);
		struct pollfd p = { .fd = client->fd, .events = POLLIN };
		gint64 remaining_ms = (deadline_us - g_get_monotonic_time()) / 1000;
		char data[65536];
		ssize_t n;

		if (end) {
			GString *line = g_string_new_len(in->str, end - in->str);

			g_string_erase(in, 0, end + 2 - in->str);
			return line;
		}
		searched = in->len ? in->len - 1 : 0;
		if (remaining_ms <= 0 || poll(&p, 1, (int)remaining_ms) <= 0)
			return NULL;
		n = recv(client->fd, data, sizeof(data), 0);
		if (n <= 0)
			return NULL;
		g_string_append_len(in, data, n);
	}
}

/* Removes the first word and the blank behind it from the line. */
static inline char *take_word(GString *line)
{
	char *blank = memchr(line->str, ' ', line->len);
	gsize len = blank ? (gsize)(blank - line->str) : line->len;
	char *word = g_strndup(line->str, len);

	g_string_erase(line, 0, (gssize)(blank ? len + 1 : len));
	return word;
}

/* Adds a line of an answer to the note. Returns true after the last one. */
static inline bool add_line(struct note *n, GString *line)
{
	char *word = take_word(line);
	bool is_last = strcmp(word, "READY") == 0;

	if (is_last) {
		n->state = line->str[0];
		n->outcome = n->code        ? OUTCOME_ERROR
			     : n->signature ? OUTCOME_SUCCESS
					    : OUTCOME_READY_ONLY;
	} else if (strcmp(word, "DATAROW") == 0) {
		g_ptr_array_add(n->rows, g_string_new_len(line->str, (gssize)line->len));
	} else if (strcmp(word, "COMPLETE") == 0 && !n->signature) {
		n->signature = g_string_new_len(line->str, (gssize)line->len);
	} else if (strcmp(word, "ERROR") == 0 && !n->code) {
		n->code = take_word(line);
	}
	g_free(word);
	return is_last;
}

static inline bool receive_answer(struct caller *c, struct note *n)
{
	gint64 deadline_us = g_get_monotonic_time() + CALLER_TIMEOUT_MS * G_GINT64_CONSTANT(1000);
	bool is_last = false;

	while (!is_last) {
		GString *line = take_line(c->client, deadline_us);

		if (!line)
			return false;
		is_last = add_line(n, line);
		g_string_free(line, TRUE);
	}
	return true;
}

/* Sends the bytes, in a third of the cases split at random places. */
static inline bool send_split(struct caller *c, const GString *bytes)
{
	bool splits = g_rand_double(c->rand) < 0.33;
	gsize sent = 0;

	while (sent < bytes->len) {
		gsize size = bytes->len - sent;

		if (splits && size > 1 && size < 10000)
			size = (gsize)g_rand_int_range(c->rand, 1, (gint32)size + 1);
		if (send(c->client->fd, bytes->str + sent, size, MSG_NOSIGNAL) != (ssize_t)size)
			return false;
		sent += size;
		if (splits && sent < bytes->len)
			g_usleep((gulong)g_rand_int_range(c->rand, 0, 300));
	}
	return true;
}

static inline struct note *last_note(struct caller *c)
{
	return g_ptr_array_index(c->notes, c->notes->len - 1);
}

static inline bool send_notes(struct caller *c)
{
	GString *bytes = g_string_new(NULL);
	bool ok;

	for (guint i = c->sent_count; i < c->notes->len; i++) {
		const struct note *n = g_ptr_array_index(c->notes, i);

		g_string_append_printf(bytes, "QUERY %s ", n->id);
		g_string_append_len(bytes, n->text->str, (gssize)n->text->len);
		g_string_append(bytes, "\r\n");
	}
	ok = send_split(c, bytes);
	g_string_free(bytes, TRUE);
	return ok;
}

/* Callers end their session after an error in these statements. */
static inline bool ends_session(const struct note *n)
{
	return n->outcome != OUTCOME_SUCCESS &&
	       (n->kind == STATEMENT_SET || n->kind == STATEMENT_PREPARE ||
		n->kind == STATEMENT_CLOSE);
}

/*
 * Sends the statements that were noted since the last call, and receives their answers. Returns the
 * state of the session, or 0 if the session was ended.
 */
static inline char exchange(struct caller *c)
{
	bool ok = send_notes(c);
	guint first = c->sent_count;

	c->sent_count = c->notes->len;
	for (guint i = first; ok && i < c->notes->len; i++)
		ok = receive_answer(c, g_ptr_array_index(c->notes, i));
	for (guint i = first; ok && i < c->notes->len; i++)
		ok = !ends_session(g_ptr_array_index(c->notes, i));
	if (!ok) {
		end_session(c);
		return 0;
	}
	return last_note(c)->state;
}

/* Notes a statement: its keyword, a name unless it is NULL, and an argument unless it is NULL. */
static inline struct note *add_note(struct caller *c, enum statement_kind kind, const char *keyword,
				    const char *name, GString *argument)
{
	struct note *n = g_new0(struct note, 1);

	n->id = g_strdup_printf("%02x%06x", c->index, c->notes->len);
	n->caller = c->index;
	n->session = c->session_count;
	n->kind = kind;
	n->writes = kind == STATEMENT_WRITE;
	n->rows = g_ptr_array_new_with_free_func(free_bytes);
	n->name = g_strdup(name);
	n->argument = argument;
	if (argument)
		remove_line_ends(argument);
	n->text = g_string_new(keyword);
	if (name)
		g_string_append_printf(n->text, " %s", name);
	if (argument) {
		g_string_append_c(n->text, ' ');
		g_string_append_len(n->text, argument->str, (gssize)argument->len);
	}
	g_ptr_array_add(c->notes, n);
	return n;
}

/* Returns an item, and for a write its data. */
static inline GString *random_operands(struct caller *c, bool writes)
{
	GString *out = g_string_new(NULL);
	bool is_large = c->large_data && writes && g_rand_double(c->rand) < 0.001;

	if (is_large) {
		g_string_append_printf(out, "large%u ", c->index);
		append_large_data(out, c->rand, c->any_bytes);
		return out;
	}
	append_item(out, c->rand, c->index, c->any_bytes);
	if (writes) {
		g_string_append_c(out, ' ');
		append_random_data(out, c->rand, c->any_bytes);
	}
	return out;
}

static inline void add_read(struct caller *c)
{
	GString *item = random_operands(c, false);

	if (c->large_data && g_rand_double(c->rand) < 0.002)
		g_string_printf(item, "large%u", c->index);
	add_note(c, STATEMENT_READ, "READ", NULL, item);
}

static inline void add_write(struct caller *c)
{
	add_note(c, STATEMENT_WRITE, "WRITE", NULL, random_operands(c, true));
}

static inline void add_read_or_write(struct caller *c, bool reads_only)
{
	if (reads_only || g_rand_double(c->rand) < 0.55)
		add_read(c);
	else
		add_write(c);
}

/* EXECUTE of a random name, or any read or write if it is not prepared or not allowed. */
static inline void add_execute(struct caller *c, bool reads_only)
{
	int name = g_rand_int_range(c->rand, 0, PREPARED_NAME_COUNT);
	bool writes = c->prepares_write[name];
	char *text;
	struct note *n;

	if (!c->is_prepared[name] || (writes && reads_only)) {
		add_read_or_write(c, reads_only);
		return;
	}
	text = g_strdup_printf("s%d", name);
	n = add_note(c, STATEMENT_EXECUTE, "EXECUTE", text, random_operands(c, writes));
	n->writes = writes;
	g_free(text);
}

static inline void add_unknown_execute(struct caller *c)
{
	struct note *n = add_note(c, STATEMENT_EXECUTE, "EXECUTE", "never-prepared",
				  random_operands(c, false));

	n->unknown_name = true;
}

static inline void add_set(struct caller *c)
{
	char name[] = { 'v', (char)g_rand_int_range(c->rand, '0', '3'), '\0' };
	GString *value = g_string_new(NULL);

	append_random_data(value, c->rand, c->any_bytes);
	add_note(c, STATEMENT_SET, "SET", name, value);
}

/* PREPARE of a name that is free, or CLOSE of one that is not. */
static inline void add_prepare_or_close(struct caller *c)
{
	int i = g_rand_int_range(c->rand, 0, PREPARED_NAME_COUNT);
	char *name = g_strdup_printf("s%d", i);

	if (c->is_prepared[i]) {
		add_note(c, STATEMENT_CLOSE, "CLOSE", name, NULL);
	} else {
		GString *shape = g_string_new(NULL);

		c->prepares_write[i] = !c->class->reads_only && g_rand_boolean(c->rand);
		g_string_printf(shape, "%s q%u.%u", c->prepares_write[i] ? "WRITE" : "READ",
				c->index, c->prepared_count++);
		append_random_data(shape, c->rand, c->any_bytes);
		add_note(c, STATEMENT_PREPARE, "PREPARE", name, shape);
	}
	c->is_prepared[i] = !c->is_prepared[i];
	g_free(name);
}

static inline void add_single(struct caller *c)
{
	double choice = g_rand_double(c->rand);

	if (choice < 0.1)
		add_set(c);
	else if (choice < 0.22)
		add_prepare_or_close(c);
	else if (choice < 0.45)
		add_execute(c, c->class->reads_only);
	else if (choice < 0.46)
		add_unknown_execute(c);
	else
		add_read_or_write(c, c->class->reads_only);
}

static inline void add_in_transaction(struct caller *c, bool reads_only)
{
	if (g_rand_double(c->rand) < 0.3)
		add_execute(c, reads_only);
	else
		add_read_or_write(c, reads_only);
}

static inline void add_end(struct caller *c, bool commits)
{
	if (commits)
		add_note(c, STATEMENT_COMMIT, "COMMIT", NULL, NULL);
	else
		add_note(c, STATEMENT_ROLLBACK, "ROLLBACK", NULL, NULL);
}

static inline void pause_up_to(struct caller *c, double limit_ms)
{
	if (g_rand_boolean(c->rand))
		g_usleep((gulong)(g_rand_double(c->rand) * limit_ms * 1000));
}

static inline bool reads_only_transaction(struct caller *c)
{
	return c->class->reads_only || g_rand_double(c->rand) < 0.3;
}

static inline void add_begin(struct caller *c, bool reads_only)
{
	add_note(c, STATEMENT_BEGIN, reads_only ? "BEGIN READ" : "BEGIN", NULL, NULL);
}

/* A transaction whose statements wait for the answers of those before. */
static inline void run_transaction(struct caller *c)
{
	bool reads_only = reads_only_transaction(c);
	int count = g_rand_int_range(c->rand, 0, 6);
	char state;

	add_begin(c, reads_only);
	state = exchange(c);
	for (int i = 0; i < count && state == 'T'; i++) {
		pause_up_to(c, 4);
		if (g_rand_double(c->rand) < 0.005) {
			end_session(c);
			return;
		}
		add_in_transaction(c, reads_only);
		state = exchange(c);
		/* An error ends the attempt. */
		if (state == 'T' && last_note(c)->outcome != OUTCOME_SUCCESS)
			break;
	}
	if (!state || state == 'I')
		return;
	add_end(c, state == 'T' && last_note(c)->outcome == OUTCOME_SUCCESS &&
			   g_rand_double(c->rand) < 0.85);
	if (exchange(c) != 'I')
		end_session(c);
}

static inline void run_pipelined_transaction(struct caller *c)
{
	bool reads_only = reads_only_transaction(c);

	add_begin(c, reads_only);
	for (int count = g_rand_int_range(c->rand, 0, 5); count > 0; count--)
		add_in_transaction(c, reads_only);
	add_end(c, g_rand_double(c->rand) < 0.85);
	if (exchange(c) != 'I')
		end_session(c);
}

static inline void run_pipelined_singles(struct caller *c)
{
	for (int count = g_rand_int_range(c->rand, 2, 6); count > 0; count--)
		add_single(c);
	if (exchange(c) != 'I')
		end_session(c);
}

static inline void run_single(struct caller *c)
{
	add_single(c);
	if (exchange(c) != 'I')
		end_session(c);
}

/* Ends the session while a statement is outstanding. */
static inline void leave_early(struct caller *c)
{
	add_single(c);
	(void)send_notes(c);
	c->sent_count = c->notes->len;
	pause_up_to(c, 4);
	end_session(c);
}

static const struct {
	void (*run)(struct caller *c);
	double share;
} operations[] = {
	{ run_single, 0.6 },
	{ run_transaction, 0.18 },
	{ run_pipelined_singles, 0.14 },
	{ run_pipelined_transaction, 0.07 },
	{ leave_early, 0.01 },
};

/* Whether the input is one ERROR message, which may precede a close, or the start of one. */
static inline bool is_error_only(const GString *in)
{
	const char *end = memmem(in->str, in->len, "\r\n", 2);

	return g_str_has_prefix(in->str, "ERROR ") && (!end || end + 2 == in->str + in->len);
}

/* Counts messages that came while no request was outstanding, and ends the session after one. */
static inline void check_unrequested(struct caller *c)
{
	char data[4096];
	ssize_t n = recv(c->client->fd, data, sizeof(data), MSG_DONTWAIT);
	GString *in = c->client->received;

	if (n > 0)
		g_string_append_len(in, data, n);
	if (in->len && !is_error_only(in))
		c->unrequested_count++;
	if (in->len || n == 0)
		end_session(c);
}

/* Opens a session if there is none. Returns false if a VM does not start it. */
static inline bool ensure_session(struct caller *c)
{
	const struct timeval timeout = { .tv_sec = CALLER_TIMEOUT_MS / 1000 };
	uint32_t vm;
	char *answer;
	bool ok;

	if (c->client)
		check_unrequested(c);
	if (c->client)
		return true;
	vm = (uint32_t)g_rand_int_range(c->rand, 0, VM_COUNT);
	c->client = client_new(&vms[vm]);
	(void)setsockopt(c->client->fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	c->session_count++;
	c->operations_left =
		(uint32_t)(g_rand_double(c->rand) < 0.1 ? 1 : g_rand_int_range(c->rand, 10, 80));
	answer = start_session(c->client, c->class->database, c->class->key);
	ok = strcmp(answer, "I") == 0;
	if (!ok) {
		c->refused_start_count++;
		end_session(c);
	}
	g_free(answer);
	return ok;
}

static inline void run_operation(struct caller *c)
{
	double choice = g_rand_double(c->rand);
	guint i = 0;

	while (i + 1 < G_N_ELEMENTS(operations) && choice >= operations[i].share) {
		choice -= operations[i].share;
		i++;
	}
	operations[i].run(c);
	if (c->client && --c->operations_left == 0)
		end_session(c);
}

/* Repeats a read or a write until it succeeds. Returns false at the deadline. */
static inline bool repeat_until_success(struct caller *c, void (*add)(struct caller *c),
					gint64 deadline_us)
{
	while (g_get_monotonic_time() < deadline_us) {
		bool is_answered = false;

		if (ensure_session(c)) {
			add(c);
			is_answered = exchange(c) == 'I';
			if (is_answered && last_note(c)->outcome == OUTCOME_SUCCESS)
				return true;
		}
		if (!is_answered)
			end_session(c);
		g_usleep(20000);
	}
	return false;
}

static inline void *run_caller(void *arg)
{
	struct caller *c = arg;
	gint64 deadline_us;

	while (g_atomic_int_get(&phase) == PHASE_FAULTS) {
		if (ensure_session(c))
			run_operation(c);
		else
			g_usleep(20000);
		pause_up_to(c, 10);
	}
	deadline_us = g_get_monotonic_time() + RECOVERY_TIMEOUT_MS * G_GINT64_CONSTANT(1000);
	c->has_read = repeat_until_success(c, add_read, deadline_us);
	c->has_written = c->class->reads_only || repeat_until_success(c, add_write, deadline_us);
	end_session(c);
	return NULL;
}

#endif
