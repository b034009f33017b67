/**
 * @file load.h
 * Load tool: opens caller connections to proxies, or directly to a stand-in database server, sends
 * statements over them and measures the results. All state belongs to the one task of the process.
 */
#ifndef PW_BENCH_LOAD_H
#define PW_BENCH_LOAD_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "pw/core/stream.h"
#include "pw/core/task.h"

enum load_operation {
	LOAD_READ,
	LOAD_STALE_READ,
	LOAD_WRITE,
	LOAD_TRANSACTION,
	LOAD_OPERATION_COUNT
};

extern const char *const load_operation_names[LOAD_OPERATION_COUNT];

struct load_options {
	char **groups; /**< values of --group, ends with NULL */
	char **pids;   /**< values of --pid, ends with NULL; NULL: none */
	int32_t seed;
	int32_t duration_ms; /**< length of the measured interval */
	int32_t warmup_ms;   /**< time before the measured interval */
};

/** Process whose CPU time and memory are read from /proc. */
struct load_process {
	int64_t pid;
	uint64_t cpu_before_ms;    /**< CPU time at the start of the measured interval */
	uint64_t rss_before_bytes; /**< resident memory before the first connection is opened */
};

struct load;
struct load_caller;

/** Connections of one account with one mix of statements. */
struct load_group {
	struct load *load;
	char *name; /**< name in the report; the account by default */
	char *account, *key, *database;
	char **addresses; /**< list of IP:PORT, ends with NULL; distributed over the connections */
	uint32_t connection_count;
	uint32_t row_count; /**< number of different row keys */
	double rate_per_s;  /**< operations per second of an open loop; 0: closed loop */
	/** Relative frequencies; if all are 0, the connections stay idle. */
	double weights[LOAD_OPERATION_COUNT];
	double weight_sum;
	bool sends_position; /**< a new connection sends the caller's last position token */
	struct pw_timer arrival_timer;
	uint64_t next_arrival_us; /**< time at which the next operation of an open loop is due */
	GQueue idle_callers;      /**< logged-in callers without an operation, in an open loop */
	GQueue backlog; /**< due times (uint64_t *) of operations that wait for an idle caller */
	struct load_caller *callers;
	/*
	 * Counters of the measured interval, except for `logins`, which counts from the start.
	 * `offered` counts the operations that were due, `succeeded` those without an error,
	 * `failed` those that got an error and `unanswered` those in progress when the connection
	 * was lost. `statements` counts the successful statements of all operations.
	 */
	uint64_t offered, succeeded, statements, failed, unanswered;
	uint64_t logins, login_failures, connection_losses;
	GHashTable *refusals; /**< SQLSTATE to number of errors (uint64_t *) */
	GHashTable *messages; /**< SQLSTATE to message of the last error */
	/** Microseconds (uint32_t) from the due time of an operation to its end. */
	GArray *latencies[LOAD_OPERATION_COUNT];
	/** Time of the last acknowledged write, at first the start of the measured interval. */
	uint64_t last_write_ack_us;
	uint64_t largest_write_gap_us; /**< longest time between two acknowledged writes */
};

/** LOAD_DISCONNECTED waits for `reconnect_timer`; LOAD_BUSY has an operation in progress. */
enum load_caller_state { LOAD_DISCONNECTED, LOAD_LOGGING_IN, LOAD_IDLE, LOAD_BUSY };

/** A caller connection; after it ends, it is opened again. */
struct load_caller {
	struct pw_stream stream;
	struct pw_timer reconnect_timer;
	struct load_group *group;
	enum load_caller_state state;
	guint address_index;  /**< index in the group's `addresses` of the address to connect to */
	char *position_token; /**< last position token received; NULL: none */
	/* Operation in progress. */
	enum load_operation operation;
	uint32_t step; /**< index of the statement in the operation */
	bool step_failed, operation_failed;
	uint64_t due_us; /**< time at which the operation was due */
};

/** The tool's only task. */
struct load {
	struct pw_task task;
	const struct load_options *options;
	struct pw_timer phase_timer; /**< end of the warm-up, then of the measured interval */
	GRand *random;
	GPtrArray *groups; /**< of struct load_group */
	GArray *processes; /**< of struct load_process */
	bool measuring;
	uint64_t measure_start_us, measure_end_us; /**< each is 0 until it is reached */
};

/** Creates a group from the value of --group, "name=value,...". @return 0, or PW_EINVALID */
int load_group_new(struct load_group **out, struct load *l, const char *text);
void load_group_free(gpointer group);
/** Opens the connections and, in an open loop, schedules the first arrival. */
void load_group_start(struct load_group *g);
/** Connects a caller to its address and logs in; if it cannot connect, it tries again later. */
void load_caller_connect(struct load_caller *c);
/** Sends the first statement of an operation that was due at `due_us`. */
void load_caller_start_operation(struct load_caller *c, uint64_t due_us);
/**
 * Gives a caller that has become idle its next operation: a new one in a closed loop, the one that
 * has waited longest in an open loop. If no operation waits, the caller is queued as idle.
 * Does nothing if all weights are 0.
 */
void load_group_assign_operation(struct load_group *g, struct load_caller *c);
/** Updates the longest time between acknowledged writes. */
void load_group_record_write_ack(struct load_group *g);

/** Reads the process's CPU time and memory before the load starts. */
void load_process_init(struct load_process *p, const char *pid);
/** @return CPU time of the process since its start; 0 if /proc cannot be read */
uint64_t load_process_cpu_ms(const struct load_process *p);
/** Builds the report; the caller owns the reference. */
json_t *load_build_report(const struct load *l);

#endif
