/**
 * @file drain_log.h
 * What a task that serves callers logs of a planned stop: counts of what became of sessions and
 * statements, and the events that begin and end the drain.
 */
#ifndef PW_DAEMON_TRAFFIC_DRAIN_LOG_H
#define PW_DAEMON_TRAFFIC_DRAIN_LOG_H

#include <stdbool.h>
#include <stdint.h>

struct pw_stream;

/** What became of statements and sessions since the drain began. */
struct pw_drain_counts {
	uint32_t answered;   /**< statements answered, also by an error */
	uint32_t refused;    /**< statements refused because the VM drains */
	uint32_t stopped;    /**< statements in progress when the drain was over */
	uint32_t closed;     /**< sessions closed by the proxy with nothing in progress */
	uint32_t left;       /**< sessions closed by their callers */
	uint32_t cut;        /**< sessions closed by the proxy as they were */
	uint32_t unanswered; /**< sessions closed by the proxy with a statement, with unread input,
				  or with a part of an answer that was not sent */
	uint32_t crossed;    /**< of those closed, sessions with input after the close */
};

/** A task at the beginning of its drain. */
struct pw_drain_start {
	const char *task;
	uint32_t index; /**< of the task in its kind */
	uint32_t session_count;
	uint32_t statement_count;   /**< outstanding */
	uint32_t transaction_count; /**< open */
	uint32_t accepted_count;    /**< connections that waited, included in the sessions */
	uint64_t ends_in_us;
};

/**
 * Counts the end of a session.
 *
 * @param is_closing the proxy has told the caller that it closes the session
 * @param by_caller  the caller has ended the connection
 * @param unanswered the proxy owes the caller an answer
 * @param crossed    the caller sent more after the proxy had closed its side
 */
void pw_drain_counts_add_close(struct pw_drain_counts *n, bool is_closing, bool by_caller,
			       bool unanswered, bool crossed);

/**
 * Logs the end of a session whose caller sent more after the proxy had closed its side; does
 * nothing for another one.
 *
 * @param account    NULL: not known
 * @param database   NULL: not known
 * @param started_us begin of the drain
 */
void pw_drain_log_crossed(const struct pw_stream *s, const char *account, const char *database,
			  uint64_t started_us);

void pw_drain_log_start(const struct pw_drain_start *s);

/** @param age_us time since the drain began */
void pw_drain_log_end(const struct pw_drain_counts *n, const char *task, uint32_t index,
		      uint64_t age_us);

#endif
