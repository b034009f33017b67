/**
 * @file silence.h
 * Decides since when a server has left a message unanswered. Any bytes from a server show that it
 * runs, on whatever connection they come. A message is owed an answer as long as its connection is
 * open, or if the connection was closed because the answer did not come in time. If the connection
 * ended for another reason, such as a reset by a server that has too many, no answer can come.
 */
#ifndef PW_DECIDE_SILENCE_H
#define PW_DECIDE_SILENCE_H

#include <stdbool.h>
#include <stdint.h>

/** State for one server; all zero before the first message. */
struct pw_silence {
	uint64_t received_us; /**< when bytes were last received; 0: never */
	/**
	 * When the first message was sent whose connection was closed for want of an answer; 0:
	 * none. It counts until bytes are received.
	 */
	uint64_t abandoned_since_us;
};

/**
 * Records that a message was sent on a connection.
 *
 * @param sent_us state of the connection, initially 0: when the first message was sent on it since
 *                bytes of the server were last received
 */
void pw_silence_record_sent(const struct pw_silence *s, uint64_t *sent_us, uint64_t now_us);

/** Records that bytes were received on any connection. */
void pw_silence_record_received(struct pw_silence *s, uint64_t now_us);

/**
 * Records that a connection is closed because an answer has not come in time.
 *
 * @param sent_us state of the connection
 */
void pw_silence_record_abandoned(struct pw_silence *s, uint64_t sent_us);

/** @return whether the server owes an answer on a connection that is open */
bool pw_silence_owes(const struct pw_silence *s, uint64_t sent_us);

/**
 * Finds since when a server has left a message unanswered: called for each open connection, first
 * with `abandoned_since_us`.
 *
 * @param since_us result for the connections before this one; 0: nothing is unanswered
 * @param sent_us  state of the connection
 * @return result that includes this connection
 */
uint64_t pw_silence_since_us(const struct pw_silence *s, uint64_t since_us, uint64_t sent_us);

#endif
