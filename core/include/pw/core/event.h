/**
 * @file event.h
 * Numbered log events. docs/events.md has the same list; a test compares the two.
 */
#ifndef PW_CORE_EVENT_H
#define PW_CORE_EVENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * Maximum number of lines that one event may log per second. A line costs about 20 us, so a flood
 * of one event, for example of refusals, takes less than a thousandth of a core.
 */
#define PW_EVENT_MAX_LINES_PER_S 40
/** The limit of REQUEST_SERVED, lower than that of the other events: it logs only a sample. */
#define PW_EVENT_SERVED_MAX_LINES_PER_S 5

/** The events: identifier, number, GLib log level, name in the log. */
#define PW_EVENTS(X)                                                           \
	X(STARTED, 1001, G_LOG_LEVEL_MESSAGE, "started")                       \
	X(STOPPING, 1002, G_LOG_LEVEL_MESSAGE, "stopping")                     \
	X(STOPPED, 1003, G_LOG_LEVEL_MESSAGE, "stopped")                       \
	X(STOP_STEP, 1004, G_LOG_LEVEL_MESSAGE, "stop_step")                   \
	X(DRAIN_STARTED, 1005, G_LOG_LEVEL_MESSAGE, "drain_started")           \
	X(DRAIN_ENDED, 1006, G_LOG_LEVEL_MESSAGE, "drain_ended")               \
	X(TASK_FAILED, 1010, G_LOG_LEVEL_WARNING, "task_failed")               \
	X(TASK_RESTARTED, 1011, G_LOG_LEVEL_WARNING, "task_restarted")         \
	X(SUPERVISOR_FAILED, 1012, G_LOG_LEVEL_CRITICAL, "supervisor_failed")  \
	X(LISTENING, 1020, G_LOG_LEVEL_MESSAGE, "listening")                   \
	X(RELOAD_IGNORED, 1021, G_LOG_LEVEL_MESSAGE, "reload_ignored")         \
	X(TRAFFIC, 1022, G_LOG_LEVEL_INFO, "traffic")                          \
	X(MEMORY_PRESSURE, 1023, G_LOG_LEVEL_WARNING, "memory_pressure")       \
	X(TLS_LOADED, 1030, G_LOG_LEVEL_MESSAGE, "tls_loaded")                 \
	X(TLS_FAILED, 1031, G_LOG_LEVEL_WARNING, "tls_failed")                 \
	X(CONFIG_APPLIED, 2001, G_LOG_LEVEL_MESSAGE, "config_applied")         \
	X(CONFIG_REJECTED, 2002, G_LOG_LEVEL_WARNING, "config_rejected")       \
	X(STORE_DOWN, 2010, G_LOG_LEVEL_WARNING, "store_down")                 \
	X(STORE_UP, 2011, G_LOG_LEVEL_MESSAGE, "store_up")                     \
	X(STORE_CALL, 2012, G_LOG_LEVEL_DEBUG, "store_call")                   \
	X(STORE_RESTORED, 2013, G_LOG_LEVEL_WARNING, "store_restored")         \
	X(MEMBER_JOINED, 3001, G_LOG_LEVEL_MESSAGE, "member_joined")           \
	X(MEMBER_SUSPECT, 3002, G_LOG_LEVEL_WARNING, "member_suspect")         \
	X(MEMBER_REMOVED, 3003, G_LOG_LEVEL_WARNING, "member_removed")         \
	X(MEMBER_LEAVING, 3004, G_LOG_LEVEL_MESSAGE, "member_leaving")         \
	X(EPOCH_CHANGED, 3010, G_LOG_LEVEL_MESSAGE, "epoch_changed")           \
	X(LEASE_ACQUIRED, 3011, G_LOG_LEVEL_MESSAGE, "lease_acquired")         \
	X(LEASE_LOST, 3012, G_LOG_LEVEL_WARNING, "lease_lost")                 \
	X(QUOTA_MOVED, 3020, G_LOG_LEVEL_DEBUG, "quota_moved")                 \
	X(PERMIT_ACQUIRED, 3030, G_LOG_LEVEL_MESSAGE, "permit_acquired")       \
	X(PERMIT_LOST, 3031, G_LOG_LEVEL_WARNING, "permit_lost")               \
	X(PERMIT_REVOKED, 3032, G_LOG_LEVEL_WARNING, "permit_revoked")         \
	X(RECORD_MALFORMED, 3033, G_LOG_LEVEL_WARNING, "record_malformed")     \
	X(UPSTREAM_DOWN, 4001, G_LOG_LEVEL_WARNING, "upstream_down")           \
	X(UPSTREAM_UP, 4002, G_LOG_LEVEL_MESSAGE, "upstream_up")               \
	X(UPSTREAM_LIMITED, 4003, G_LOG_LEVEL_MESSAGE, "upstream_limited")     \
	X(FAILOVER_STARTED, 4010, G_LOG_LEVEL_WARNING, "failover_started")     \
	X(FAILOVER_DONE, 4011, G_LOG_LEVEL_MESSAGE, "failover_done")           \
	X(FAILOVER_GIVEN_UP, 4012, G_LOG_LEVEL_WARNING, "failover_given_up")   \
	X(TERM_CHANGED, 4013, G_LOG_LEVEL_MESSAGE, "term_changed")             \
	X(PROMOTE_ORDERED, 4014, G_LOG_LEVEL_MESSAGE, "promote_ordered")       \
	X(PROMOTE_ANSWERED, 4015, G_LOG_LEVEL_MESSAGE, "promote_answered")     \
	X(RECORD_WRITE_SENT, 4016, G_LOG_LEVEL_INFO, "record_write_sent")      \
	X(RECORD_WRITE_DONE, 4017, G_LOG_LEVEL_INFO, "record_write_done")      \
	X(CHANGE_STEP, 4018, G_LOG_LEVEL_INFO, "change_step")                  \
	X(SERVER_GONE, 4020, G_LOG_LEVEL_WARNING, "server_gone")               \
	X(ENTRY_REFUSED, 4021, G_LOG_LEVEL_WARNING, "entry_refused")           \
	X(ZONE_EVACUATED, 4022, G_LOG_LEVEL_WARNING, "zone_evacuated")         \
	X(ZONE_RETURNED, 4023, G_LOG_LEVEL_MESSAGE, "zone_returned")           \
	X(EVACUATION_REFUSED, 4024, G_LOG_LEVEL_WARNING, "evacuation_refused") \
	X(CHANGE_WAITS, 4025, G_LOG_LEVEL_WARNING, "change_waits")             \
	X(REPLICA_SET, 4026, G_LOG_LEVEL_MESSAGE, "replica_set")               \
	X(REPLICA_FORGOTTEN, 4027, G_LOG_LEVEL_WARNING, "replica_forgotten")   \
	X(REQUEST_REFUSED, 4030, G_LOG_LEVEL_INFO, "request_refused")          \
	X(REQUEST_RETRIED, 4031, G_LOG_LEVEL_INFO, "request_retried")          \
	X(REQUEST_SERVED, 4032, G_LOG_LEVEL_INFO, "request_served")            \
	X(REQUEST_UNANSWERED, 4033, G_LOG_LEVEL_WARNING, "request_unanswered") \
	X(REQUEST_DRAINED, 4034, G_LOG_LEVEL_INFO, "request_drained")          \
	X(REQUEST_ABANDONED, 4035, G_LOG_LEVEL_INFO, "request_abandoned")      \
	X(REQUEST_CROSSED, 4036, G_LOG_LEVEL_INFO, "request_crossed")          \
	X(ANSWER_FOREIGN, 4040, G_LOG_LEVEL_WARNING, "answer_foreign")         \
	X(ANSWER_CUT, 4041, G_LOG_LEVEL_INFO, "answer_cut")                    \
	X(ANSWER_UNCERTAIN, 4042, G_LOG_LEVEL_INFO, "answer_uncertain")        \
	X(KEY_WITHDRAWN, 5001, G_LOG_LEVEL_MESSAGE, "key_withdrawn")           \
	X(ISOLATED, 5002, G_LOG_LEVEL_WARNING, "isolated")                     \
	X(ADMIN_CHANGE, 6001, G_LOG_LEVEL_MESSAGE, "admin_change")

enum pw_event {
#define PW_EVENT_ENUM(id, number, level, name) PW_EVENT_##id,
	PW_EVENTS(PW_EVENT_ENUM)
#undef PW_EVENT_ENUM
		PW_EVENT_COUNT
};

struct pw_event_info {
	uint32_t number;
	GLogLevelFlags level;
	const char *name;
};

const struct pw_event_info *pw_event_info(enum pw_event e);

/**
 * Installs a GLib log writer, which writes events of `level` and more severe ones to standard
 * output, one line each. Called once, before other threads start.
 */
void pw_event_log_init(GLogLevelFlags level);

/** @return whether the log level includes the event; lets callers skip preparing its fields */
bool pw_event_is_logged(enum pw_event e);

/** @return number of lines dropped because the reader of the log did not keep up */
uint64_t pw_event_lines_dropped(void);

/**
 * Logs an event. It never waits for the reader of the log. Lines above the event's limit per second
 * are suppressed; the event's next line gives their number in the field `left_out`.
 *
 * @param format printf format of the fields as `name=value` pairs; supported
 *               are the conversions s, d, i, u, x and f. In texts, control characters and line
 * breaks are replaced, and whatever ends or escapes the field: blanks and quotes of a text without
 * quotes, quotes and backslashes of one that directly follows a quote. So no input forges a field
 * or a line
 */
void pw_event_log(enum pw_event e, const char *format, ...) __attribute__((format(printf, 2, 3)));

#endif
