/**
 * @file harness_load.h
 * Load generator: many callers at once, each of which sends its statement at a fixed interval, or
 * again as soon as it has the answer. Every answer is recorded with the times of sending and
 * receipt. All callers run in the thread of the test.
 */
#ifndef PW_TESTS_HARNESS_LOAD_H
#define PW_TESTS_HARNESS_LOAD_H

#include "harness.h"

struct pw_load;

struct pw_load_caller {
	struct pw_harness_login login;
	const char *sql;
	uint32_t interval_us; /**< between two statements; 0: sends again after each answer */
	uint32_t group;       /**< copied to the answers, for counting */
	bool reconnect;       /**< connects again after the connection was closed */
};

struct pw_load_answer {
	gint64 sent_us;     /**< monotonic time */
	gint64 answered_us; /**< monotonic time at which the answer was complete */
	uint32_t group;
	uint16_t port; /**< caller port that the statement was sent to */
	/**
	 * First result as formatted by pw_harness_format_result(), truncated; "EMPTY" in place of
	 * "", and "CLOSED" if the connection was closed without a result.
	 */
	char text[24];
};

struct pw_load *pw_load_new(void);
void pw_load_free(struct pw_load *l);
/**
 * Connects `count` callers; their first statements are spread evenly over the interval. Fails the
 * test if a caller cannot log in.
 */
void pw_load_add_callers(struct pw_load *l, const struct pw_load_caller *caller, uint32_t count);
/**
 * Sends statements and receives answers for `duration_ms`. No answer is recorded for a statement
 * that was sent when the server had already closed the connection.
 */
void pw_load_run(struct pw_load *l, uint32_t duration_ms);
/**
 * Receives the outstanding answers without sending more.
 *
 * @return number of statements without an answer at the timeout
 */
uint32_t pw_load_receive_outstanding(struct pw_load *l, uint32_t timeout_ms);

/** @return array of struct pw_load_answer in the order of receipt */
const GArray *pw_load_answers(const struct pw_load *l);
/** @return number of answers of the group with this text; NULL: with any text */
uint32_t pw_load_count_answers(const struct pw_load *l, uint32_t group, const char *text);
/** @return answer texts of the group with their counts, for messages; the caller frees it */
char *pw_load_summary(const struct pw_load *l, uint32_t group);

/**
 * Returns the greatest excess over a rate in any time window: the number of statements with the
 * answer `text` that were both sent and answered within the window, less `rate_per_s` times its
 * length. Both times are taken at the callers, so each counted statement was also admitted within
 * the window.
 */
double pw_load_max_excess(const struct pw_load *l, uint32_t group, const char *text,
			  uint32_t rate_per_s);

#endif
