/**
 * @file answer.h
 * Decides whether an answer of a server belongs to the statement in flight on its connection.
 * Answers carry no id, and a server may send one again at any later time. A connection remembers
 * what it has answered: by induction over its answers, one that differs from all earlier ones is
 * the statement's own, as long as no other one was ever taken for an own one. This assumes that a
 * server answers in order, and that a second answer is the same as the first one, whole or in part.
 *
 * The success of a forwarded statement has a signature, which no server gives twice. All other
 * answers have none, so that a copy of an earlier one and an own one may be the same bytes.
 */
#ifndef PW_DECIDE_ANSWER_H
#define PW_DECIDE_ANSWER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "pw/decide/position.h"

/**
 * Answers that a connection remembers. One that has given so many is closed, since a copy of a
 * forgotten answer would be taken for an own one.
 */
#define PW_ANSWERS_MAX 512

/** What the connection waits for. */
enum pw_answer_due {
	PW_ANSWER_DUE_NONE,    /**< nothing: any message is one too many */
	PW_ANSWER_DUE_OPENING, /**< the acceptance of the connection, which has no success of its
				  own */
	PW_ANSWER_DUE_READ,    /**< a read: rows and a signature, or an error */
	PW_ANSWER_DUE_WRITE,   /**< a write or commit: a signature, or an error */
	PW_ANSWER_DUE_BEGIN,   /**< the begin of a transaction: a success without signature */
	PW_ANSWER_DUE_CONTROL, /**< a SET, PREPARE or reset, on whose success statements depend */
	PW_ANSWER_DUE_CLEANUP, /**< a rollback or a ping, on whose success nothing depends */
	/**
	 * A begin that only confirms the control statements in front of it: it ends in another
	 * state than they do, so that copies of their answers cannot take its place. If it equals
	 * the answer to an earlier begin, it confirms nothing.
	 */
	PW_ANSWER_DUE_FENCE,
	PW_ANSWER_DUE_FENCE_END, /**< the rollback of that begin */
	PW_ANSWER_DUE_COUNT,
};

/** How an answer has ended, before the state of the session that concludes it. */
enum pw_answer_end {
	PW_ANSWER_END_NONE, /**< by neither success nor error */
	PW_ANSWER_END_SUCCESS,
	PW_ANSWER_END_ERROR,
};

/** Transaction state that concludes an answer. */
enum pw_answer_state {
	PW_ANSWER_STATE_IDLE,
	PW_ANSWER_STATE_IN_TRANSACTION,
	PW_ANSWER_STATE_FAILED,
};

/** A complete answer. The texts are borrowed. */
struct pw_answer {
	enum pw_answer_end end;
	const char *signature; /**< of a success; NULL: it has none */
	int32_t error_code;    /**< of an error */
	const char *error;     /**< text of an error; NULL for other ends */
	enum pw_answer_state state;
	bool has_position;
	struct pw_position position;
	uint32_t subject_hash; /**< of what a read asks for; other answers may leave it 0 */
	uint32_t row_count;
	uint32_t first_row_hash; /**< of the first row, if there is one */
	uint32_t rows_hash;      /**< of all rows in their order */
	bool is_malformed;       /**< its messages came in an order that no answer has */
};

/** Adds a row to the answer. */
void pw_answer_add_row(struct pw_answer *answer, uint32_t row_hash);

enum pw_answer_verdict {
	/**
	 * It can only be the answer that is due; for PW_ANSWER_DUE_CONTROL and
	 * PW_ANSWER_DUE_CLEANUP, it may also be a copy of an equal one.
	 */
	PW_ANSWER_OWN,
	PW_ANSWER_FOREIGN,   /**< it cannot be the answer that is due */
	PW_ANSWER_UNCERTAIN, /**< it is either the answer that is due or a copy of an earlier one */
	PW_ANSWER_VERDICT_COUNT,
};

/** @return name of the verdict, or of what is due, for log lines */
const char *pw_answer_verdict_name(enum pw_answer_verdict v);
const char *pw_answer_due_name(enum pw_answer_due due);

/** What one connection has answered. */
struct pw_answer_history;

struct pw_answer_history *pw_answer_history_new(void);
void pw_answer_history_free(struct pw_answer_history *h);

/** Decides whether the answer is the one that is due. */
enum pw_answer_verdict pw_answer_check(const struct pw_answer_history *h, enum pw_answer_due due,
				       const struct pw_answer *answer);

/**
 * Remembers an answer, also one that was not taken.
 *
 * @param verdict what pw_answer_check() has said of it
 */
void pw_answer_record(struct pw_answer_history *h, enum pw_answer_due due,
		      const struct pw_answer *answer, enum pw_answer_verdict verdict);

/**
 * Ends a batch of control statements that were sent together, after their last answer. Own answers
 * of one batch may equal each other, so they are compared with those of earlier batches only.
 */
void pw_answer_end_batch(struct pw_answer_history *h);

/**
 * Whether own answers to control or clean-up statements may still be to come, since copies may have
 * taken their places. What these statements were to do is not certain then.
 */
bool pw_answer_is_ambiguous(const struct pw_answer_history *h);

/** Kinds of answers without a signature. */
enum pw_unsigned_answer {
	PW_UNSIGNED_ANSWER_ERROR,
	PW_UNSIGNED_ANSWER_BEGIN,   /**< a success that ends in a transaction */
	PW_UNSIGNED_ANSWER_CONTROL, /**< any other success */
	PW_UNSIGNED_ANSWER_COUNT,
};

/**
 * Whether an own answer without signature would be certain: none of that kind was given at the
 * newest position of the server's log, so that an own one differs by its position at least, and no
 * own answer is still to come in place of a copy.
 *
 * @param position newest position that the server is known to have reached
 */
bool pw_answer_is_distinct_at(const struct pw_answer_history *h, enum pw_unsigned_answer kind,
			      const struct pw_position *position);

/** @return number of answers that the connection remembers */
uint32_t pw_answer_history_count(const struct pw_answer_history *h);

/** @return whether the connection has given so many answers that it has to be closed */
bool pw_answer_history_is_full(const struct pw_answer_history *h);

#endif
