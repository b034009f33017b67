/**
 * @file faults.h
 * Faults of all servers of the stand-in, and what they do to an answer. Counts are per process.
 */
#ifndef PW_STANDINS_PLATFORM_FAULTS_H
#define PW_STANDINS_PLATFORM_FAULTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Kinds of answers, as a set of bits. */
enum answer_kind {
	ANSWER_ALL = 1 << 0,
	ANSWER_SIGNED = 1 << 1, /**< to a read, a write or a commit that succeeded */
	ANSWER_ERROR = 1 << 2,
	ANSWER_OWN = 1 << 3, /**< to a statement with the id "-", other than STATUS and BEGIN */
	ANSWER_BEGIN = 1 << 4,
	ANSWER_STATUS = 1 << 5,
	ANSWER_STARTUP = 1 << 6,
};

/** One whole answer: rows, then COMPLETE or ERROR, then READY. */
struct answer {
	GByteArray *bytes;
	guint rows_end;    /**< offset after the rows */
	guint ready_start; /**< offset of the READY line */
	uint32_t kinds;    /**< set of enum answer_kind */
};

/** What is sent for an answer. */
struct delivery {
	GBytes *bytes;
	GBytes *copy;           /**< sent later; NULL: none */
	uint64_t copy_delay_us; /**< time from the end of `bytes` until the copy is sent */
	bool closes;            /**< the connection is closed after `bytes` */
};

/** Size of the id of a server, with its end. */
#define SERVER_ID_SIZE 64

/** Selects every so many events. */
struct period {
	uint64_t every; /**< 0: none */
	uint64_t count;
};

struct answer_part;

struct stutter {
	struct period period;
	uint64_t delay_ms;
	uint32_t kinds; /**< enum answer_kind */
	const struct answer_part *part;
};

struct faults {
	uint64_t lag_us;             /**< replication lag */
	uint64_t promotion_delay_us; /**< time from a promotion request until it takes effect */
	uint64_t run_time_us;        /**< run time of a statement */
	uint32_t slots;              /**< statements that a server runs at a time; 0: any number */
	uint32_t queue_length;       /**< statements that may wait for a slot of a server */
	uint32_t conn_limit;         /**< of a server; 0: none */
	uint32_t lost_every;         /**< every so many results are lost; 0: none */
	uint32_t refused_sets;       /**< number of the next SET statements that fail */
	uint32_t zone_count;   /**< zones, "zone-1" and so on, that the servers of a group are in */
	uint32_t split_bytes;  /**< largest size of a packet; 0: answers are not split */
	bool slow_begins;      /**< a begin takes as long as a read or write */
	bool fails_state;      /**< an error outside a transaction ends in the state E */
	bool omits_empty_rows; /**< a read of an item that was never written has no row */
	bool resets_opens;     /**< new connections are reset when they send a message */
	struct stutter stutter;
	struct period cut;
	struct period busy;
	struct period failures;              /**< reads and writes that fail; they have not run */
	char failing_server[SERVER_ID_SIZE]; /**< id of the only server with `failures`; empty: all
						have them */
	struct period set_failures;          /**< SET statements that fail */
	uint64_t random;                     /**< state of the pseudo-random numbers */
};

void faults_init(struct faults *f);

/**
 * Sets the fault with this name.
 *
 * @return false if there is none or the value is malformed; the faults are unchanged then
 */
bool faults_set(struct faults *f, const char *name, const char *value);

/**
 * Counts a read or write.
 *
 * @param server_id empty: one that has run and fails if no server is given for `failures`
 * @return whether it fails
 */
bool faults_fail_statement(struct faults *f, const char *server_id);
/** Counts an event. @return whether it is selected */
bool faults_select(struct period *p);

/** @return a pseudo-random number below `limit`; the sequence is the same in each process */
uint64_t faults_random(struct faults *f, uint64_t limit);

/** Decides what is sent for an answer. The caller owns the bytes of the delivery. */
struct delivery faults_plan_delivery(struct faults *f, const struct answer *a);

#endif
