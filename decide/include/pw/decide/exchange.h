/**
 * @file exchange.h
 * Decides whether a message of a server is part of the answer that is due on its connection.
 * Answers carry no id, and a server may send one again at any later time. So each group of
 * statements is followed by an echo statement with a token that is used once: the answers before it
 * are taken only if the answer that follows them directly has that token. One answer more, or the
 * end of one, moves another answer to the place of the echo.
 *
 * Not noticed: a completion that comes twice without the end of its answer, and rows alone that a
 * statement without a row count, or a write that returns as many rows, may have.
 */
#ifndef PW_DECIDE_EXCHANGE_H
#define PW_DECIDE_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

enum pw_exchange_message_kind {
	PW_EXCHANGE_DESCRIPTION, /**< of the rows that follow */
	PW_EXCHANGE_ROW,
	PW_EXCHANGE_COMPLETE, /**< end of a statement that succeeded */
	PW_EXCHANGE_ERROR,
	PW_EXCHANGE_END,   /**< end of the answer, with the state of the transaction */
	PW_EXCHANGE_OTHER, /**< any other part of an answer */
};

enum pw_exchange_state {
	PW_EXCHANGE_STATE_IDLE,
	PW_EXCHANGE_STATE_IN_TRANSACTION,
	PW_EXCHANGE_STATE_FAILED, /**< the transaction has failed: the echo is refused */
};

struct pw_exchange_message {
	enum pw_exchange_message_kind kind;
	bool has_row_count;
	uint64_t row_count;           /**< of PW_EXCHANGE_COMPLETE, if it has one */
	enum pw_exchange_state state; /**< of PW_EXCHANGE_END */
	bool has_token;  /**< PW_EXCHANGE_ROW: consists of the token of the echo statement */
	bool is_refusal; /**< PW_EXCHANGE_ERROR: not run, since the transaction has failed */
};

enum pw_exchange_verdict {
	PW_EXCHANGE_ANSWER,    /**< part of an answer, which may still prove to be another's */
	PW_EXCHANGE_ECHO,      /**< part of the echo's answer */
	PW_EXCHANGE_CONFIRMED, /**< end of the echo's answer: all answers before it are the own ones
				*/
	PW_EXCHANGE_FOREIGN,   /**< not due: the connection cannot be used any more */
};

/** Answers that are due on one connection; all zero while none is due. */
struct pw_exchange {
	bool active;
	bool rows_need_description; /**< a row comes after the description of its columns */
	uint32_t answers_left;      /**< answers before that of the echo */
	uint32_t echo_step;         /**< messages of the echo's answer so far */
	uint64_t row_count;         /**< rows since the last completion */
	bool described;
	enum pw_exchange_state state; /**< after the last answer */
};

/**
 * Starts an exchange after the statements and the echo statement were sent.
 *
 * @param answer_count answers before that of the echo; 0: the echo is sent alone
 * @param rows_need_description whether no row of the answers comes without a description
 */
void pw_exchange_begin(struct pw_exchange *x, uint32_t answer_count, bool rows_need_description);

/** Decides about the next message. */
enum pw_exchange_verdict pw_exchange_check(struct pw_exchange *x,
					   const struct pw_exchange_message *m);

#endif
