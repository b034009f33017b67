/**
 * @file counter.h
 * Counters of the process, among them one for each reason of a refusal or retry. They never
 * decrease, and any thread may read and increase them.
 */
#ifndef PW_CORE_COUNTER_H
#define PW_CORE_COUNTER_H

#include <stdint.h>

/**
 * The counters: identifier, exported name, help text. docs/events.md has the same list; a test
 * compares the two.
 */
#define PW_COUNTERS(X)                                                                             \
	X(CALLER_CONNECTIONS, "caller_connections_total", "caller connections accepted")           \
	X(REQUESTS, "requests_total", "requests received from callers")                            \
	X(READS_REPLICA, "reads_replica_total", "reads answered by a replica")                     \
	X(READS_PRIMARY, "reads_primary_total", "reads answered by the primary")                   \
	X(WRITES, "writes_total", "writes acknowledged")                                           \
	X(REFUSED_KEY, "refused_key_total", "logins or statements refused: missing or wrong key")  \
	X(REFUSED_KEY_WITHDRAWN, "refused_key_withdrawn_total",                                    \
	  "connections closed: key withdrawn")                                                     \
	X(REFUSED_ISOLATED, "refused_isolated_total",                                              \
	  "refused: neither store nor peers reachable")                                            \
	X(REFUSED_ROUTE, "refused_route_total", "refused: no route for the statement")             \
	X(REFUSED_RATE, "refused_rate_total", "refused: client account is over its rate")          \
	X(RATE_WAITS, "rate_waits_total", "operations that waited for the rate of their account")  \
	X(REFUSED_QUEUE, "refused_queue_total", "refused: client account's queue is full")         \
	X(REFUSED_DEADLINE, "refused_deadline_total",                                              \
	  "refused: no connection before the deadline")                                            \
	X(REFUSED_NO_PRIMARY, "refused_no_primary_total", "refused: the database has no primary")  \
	X(REFUSED_LOST_FLOOR, "refused_lost_floor_total",                                          \
	  "refused: a promotion lost the session's writes")                                        \
	X(REFUSED_UNSUPPORTED, "refused_unsupported_total", "refused: statement is not supported") \
	X(REFUSED_PROTOCOL, "refused_protocol_total", "refused: malformed or oversized message")   \
	X(REFUSED_LIMIT, "refused_limit_total", "refused: connection or memory limit")             \
	X(REFUSED_STATE, "refused_state_total",                                                    \
	  "refused: memory limit of variables and prepared statements")                            \
	X(CLOSED_MEMORY_INPUT, "closed_memory_input_total",                                        \
	  "caller connections closed: messages over the memory limit")                             \
	X(CLOSED_MEMORY_OUTPUT, "closed_memory_output_total",                                      \
	  "caller connections closed: answers over the memory limit")                              \
	X(CLOSED_MEMORY_STATE, "closed_memory_state_total",                                        \
	  "caller connections closed: state of sessions over the memory limit")                    \
	X(CLOSED_NOT_READING, "closed_not_reading_total",                                          \
	  "caller connections closed: answers not read in time")                                   \
	X(LOGINS_DROPPED, "logins_dropped_total",                                                  \
	  "connections closed before their login: too many logins at once")                        \
	X(REFUSED_TLS, "refused_tls_total", "refused: no TLS")                                     \
	X(REFUSED_DRAINING, "refused_draining_total", "refused: the proxy is stopping")            \
	X(UNANSWERED, "unanswered_total",                                                          \
	  "statements whose connection was closed without an answer")                              \
	X(TLS_FAILURES, "tls_failures_total", "TLS connections that failed")                       \
	X(OUTCOME_UNKNOWN, "outcome_unknown_total", "answers of 08007: outcome unknown")           \
	X(OUTCOME_UNKNOWN_TERM, "outcome_unknown_term_total",                                      \
	  "08007: the answer came from a replaced primary")                                        \
	X(OUTCOME_UNCONFIRMED, "outcome_unconfirmed_total",                                        \
	  "08007: no majority confirmed the primary")                                              \
	X(RETRY_NOT_SENT, "retry_not_sent_total", "retries: no byte had reached an upstream")      \
	X(RETRY_READ, "retry_read_total", "retries: read without an answer")                       \
	X(RETRY_READ_FAILED, "retry_read_failed_total",                                            \
	  "retries: the read failed at an upstream that fails many")                               \
	X(RETRY_REFUSED_BY_UPSTREAM, "retry_refused_by_upstream_total",                            \
	  "retries: the upstream refused to run it")                                               \
	X(RETRY_BUDGET_EMPTY, "retry_budget_empty_total", "retries not made: budget used up")      \
	X(UPSTREAM_CONNECTS, "upstream_connects_total", "upstream connections opened")             \
	X(UPSTREAM_DISCARDED, "upstream_discarded_total",                                          \
	  "upstream connections discarded: state uncertain")                                       \
	X(UPSTREAM_SILENT, "upstream_silent_total",                                                \
	  "upstream connections closed: no answer in time")                                        \
	X(UPSTREAM_CHECKS, "upstream_checks_total",                                                \
	  "upstream connections opened to check a primary that another VM cannot reach")           \
	X(UPSTREAM_OPEN_TIMEOUTS, "upstream_open_timeouts_total",                                  \
	  "upstream connections closed: not accepted in time")                                     \
	X(UPSTREAM_OPENS_REFUSED, "upstream_opens_refused_total",                                  \
	  "upstream connections that the server refused or reset")                                 \
	X(UPSTREAM_PREPARATIONS, "upstream_preparations_total",                                    \
	  "upstream connections given another session's variables or prepared statements")         \
	X(UPSTREAM_ANSWERS_EXTRA, "upstream_answers_extra_total",                                  \
	  "upstream answers that came while none was due")                                         \
	X(UPSTREAM_ANSWERS_FOREIGN, "upstream_answers_foreign_total",                              \
	  "upstream answers that cannot belong to the statement in flight")                        \
	X(UPSTREAM_ANSWERS_UNCERTAIN, "upstream_answers_uncertain_total",                          \
	  "upstream answers that may be copies of earlier ones")                                   \
	X(UPSTREAM_ANSWERS_CUT, "upstream_answers_cut_total",                                      \
	  "upstream connections that ended within an answer")                                      \
	X(UPSTREAM_ANSWERS_LOST, "upstream_answers_lost_total",                                    \
	  "upstream connections that ended while an answer was due and had not begun")             \
	X(TRANSACTIONS_IDLE, "transactions_idle_total",                                            \
	  "transactions rolled back: idle for too long")                                           \
	X(FAILOVERS_STARTED, "failovers_started_total", "promotions started by this VM")           \
	X(FAILOVERS_WON, "failovers_won_total", "promotions completed by this VM")                 \
	X(FAILOVERS_LOST, "failovers_lost_total", "promotions given up by this VM")                \
	X(PEER_MESSAGES_SENT, "peer_messages_sent_total", "messages sent to peers")                \
	X(PEER_MESSAGES_RECEIVED, "peer_messages_received_total", "messages received from peers")  \
	X(PEER_BYTES_SENT, "peer_bytes_sent_total", "bytes sent to peers")                         \
	X(PEER_MESSAGES_DROPPED, "peer_messages_dropped_total",                                    \
	  "peer messages dropped: unknown version or malformed")                                   \
	X(PEER_BROADCASTS, "peer_broadcasts_total", "messages sent to all peers at once")          \
	X(PEER_BYTES_REGULAR, "peer_bytes_regular_total",                                          \
	  "bytes sent to peers in regular messages without a record of primaries")                 \
	X(PEER_BYTES_REPLY, "peer_bytes_reply_total", "likewise, in replies")                      \
	X(PEER_BYTES_NOTICE, "peer_bytes_notice_total", "likewise, in notices")                    \
	X(PEER_BYTES_RECORD, "peer_bytes_record_total",                                            \
	  "bytes sent to peers in messages with a record of primaries")                            \
	X(UPSTREAM_BYTES_SENT, "upstream_bytes_sent_total", "bytes sent to upstreams")             \
	X(UPSTREAM_BYTES_RECEIVED, "upstream_bytes_received_total",                                \
	  "bytes received from upstreams")                                                         \
	X(UPSTREAM_BYTES_REMOTE, "upstream_bytes_remote_total",                                    \
	  "bytes to and from upstreams in other regions")                                          \
	X(UPSTREAM_TRIALS, "upstream_trials_total",                                                \
	  "reads sent to upstreams that were not asked for a while")                               \
	X(UPSTREAM_LIMITED, "upstream_limited_total",                                              \
	  "times that the work at an upstream was limited because its answers took long")          \
	X(HTTP_BYTES_SENT, "http_bytes_sent_total", "bytes of requests to the store")              \
	X(HTTP_BYTES_RECEIVED, "http_bytes_received_total", "bytes of responses of the store")     \
	X(STORE_READS, "store_reads_total", "range calls to the store")                            \
	X(STORE_WRITES, "store_writes_total", "transactions and lease calls to the store")         \
	X(STORE_WATCHES, "store_watches_total", "watches opened at the store")                     \
	X(STORE_BYTES_MEMBERS, "store_bytes_members_total",                                        \
	  "bytes of entries of members read from the store")                                       \
	X(STORE_BYTES_SERVERS, "store_bytes_servers_total",                                        \
	  "bytes of entries of servers read from the store")                                       \
	X(STORE_FAILURES, "store_failures_total", "calls to the store without an answer")          \
	X(STORE_ITEMS_MALFORMED, "store_items_malformed_total",                                    \
	  "items in responses of the store that cannot be read")                                   \
	X(SERVER_ENTRIES_REFUSED, "server_entries_refused_total",                                  \
	  "entries of servers refused by reads of the list: they describe no server")              \
	X(CONFIG_APPLIED, "config_applied_total", "configuration revisions put in force")          \
	X(EVACUATIONS_STARTED, "evacuations_started_total",                                        \
	  "evacuations of availability zones that this VM has learned of")                         \
	X(REFUSED_EVACUATED, "refused_evacuated_total",                                            \
	  "refused: the servers that could run the statement are in evacuated zones")              \
	X(EVACUATED_TRANSACTIONS, "evacuated_transactions_total",                                  \
	  "transactions rolled back: their server is in an evacuated zone")                        \
	X(CONFIG_REJECTED, "config_rejected_total",                                                \
	  "configuration revisions not applied: invalid")                                          \
	X(QUOTA_GRANTS_SENT, "quota_grants_sent_total", "quota grants given to peers")             \
	X(QUOTA_GRANTS_RECEIVED, "quota_grants_received_total", "quota grants taken from peers")   \
	X(TASK_RESTARTS, "task_restarts_total", "tasks restarted by a supervisor")

enum pw_counter {
#define PW_COUNTER_ENUM(id, name, help) PW_COUNTER_##id,
	PW_COUNTERS(PW_COUNTER_ENUM)
#undef PW_COUNTER_ENUM
		PW_COUNTER_COUNT
};

struct pw_counter_info {
	const char *name; /**< without the prefix `pimentowing_` */
	const char *help; /**< help text of the metric */
};

void pw_counter_add(enum pw_counter c, uint64_t n);
uint64_t pw_counter_get(enum pw_counter c);
const struct pw_counter_info *pw_counter_info(enum pw_counter c);

static inline void pw_counter_inc(enum pw_counter c)
{
	pw_counter_add(c, 1);
}

#endif
