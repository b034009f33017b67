/*
 * Parts of the group task. group.c takes messages and keeps databases and servers in step with the
 * snapshot, group_work.c leads a request from arrival to its end, group_conn.c is the protocol of
 * one upstream connection.
 */
#ifndef PW_DAEMON_TRAFFIC_GROUP_PRIVATE_H
#define PW_DAEMON_TRAFFIC_GROUP_PRIVATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../directory.h"
#include "group.h"
#include "ledger.h"
#include "pw/codec/pg.h"
#include "pw/core/stream.h"
#include "pw/decide/confirm.h"
#include "pw/decide/floor.h"
#include "pw/decide/pool.h"
#include "pw/decide/retry.h"
#include "pw/upstream/upstream.h"
#include "request.h"

/* A read waits this long for a replica to catch up before it goes to the primary. */
#define REPLICA_WAIT_US UINT64_C(50000)
/* A connection that was idle for longer is checked before it is used. */
#define IDLE_CHECK_US UINT64_C(5000000)
/* An idle connection is closed after this time, which frees its unit for other VMs. */
#define IDLE_CLOSE_US UINT64_C(10000000)
/* Time limit of a check, of a login and of a rollback on a connection. */
#define CHECK_TIMEOUT_US   UINT64_C(500000)
#define LOGIN_TIMEOUT_US   UINT64_C(5000000)
#define CLEANUP_TIMEOUT_US UINT64_C(2000000)
/*
 * A transaction may be idle for so long before it is rolled back, and only for the shorter time
 * while requests wait for its server: slots are few, and an account must not keep others waiting.
 */
#define TRANSACTION_IDLE_US           UINT64_C(30000000)
#define TRANSACTION_IDLE_CONTENDED_US UINT64_C(5000000)
/* Pause after a failed connect to a server. */
#define CONNECT_BACKOFF_US UINT64_C(50000)
/* Reading from an upstream pauses with this much of an answer not yet taken by the caller. */
#define OUTSTANDING_LIMIT_BYTES 262144
/* An acknowledgement that waits for confirmation may hold this much of its answer. */
#define HELD_LIMIT_BYTES 1048576
#define TICK_US          UINT64_C(10000)
/* Pause before the first repetition of a request; it doubles with each up to the greatest. */
#define RETRY_BACKOFF_FIRST_US UINT64_C(10000)
#define RETRY_BACKOFF_MAX_US   UINT64_C(200000)

struct group {
	struct pw_task task;
	const struct pw_directory *directory;
	uint32_t index;
	const struct pw_document *document;
	GHashTable *databases;  /**< name -> struct database */
	GHashTable *works;      /**< request id -> struct work */
	GHashTable *by_session; /**< session -> struct work */
	GHashTable *pinned;     /**< session -> struct conn that holds its transaction */
	struct pw_retry_budget budget;
	struct pw_timer tick;
	GArray *confirm_actions;
	GPtrArray *closed_conns; /**< struct conn whose memory the next tick releases */
};

struct database {
	struct group *group;
	char *name;
	const struct pw_upstream *upstream;
	struct pw_floor_group floors;
	struct pw_confirm *confirm;
	GPtrArray *servers; /**< struct server, in the order of the document */
	GPtrArray *retired; /**< struct server that left the document and has open connections */
	GQueue waiting;     /**< struct work without a server */
	bool replicated;    /**< durability "replicated" */
	bool routing;       /**< waiting requests are being looked at */
};

/* Units of one kind that the ledger has lent to a server's pool. */
struct units {
	uint32_t held;
	uint32_t wanted;           /**< asked for and not yet lent */
	uint64_t surplus_since_us; /**< since when there are more than needed; 0: not now */
	uint32_t owed;             /**< recalled for other VMs, to be given back when free */
	uint64_t owed_due_us;      /**< from then on `owed` goes before requests that wait here */
	uint64_t none_since_us; /**< since when there are none although some are needed; 0: not */
};

struct server {
	struct database *database;
	uint32_t index;
	char *address;
	char *availability_zone;
	struct pw_pool *pool;
	GQueue idle;      /**< struct conn, last used first */
	GPtrArray *conns; /**< all open connections */
	struct pw_timer backoff;
	uint32_t failed_connects; /**< connects that failed and wait for the backoff */
	uint64_t rtt_us;
	struct units units[PW_UNITS_KINDS];
	uint32_t connection_limit; /**< of the fleet */
	uint32_t slot_limit;
	bool alive;
	bool leaving;
	bool pumping;
	uint64_t starved_until_us; /**< no slot has come for long: reads go elsewhere if they can */
};

enum work_state {
	WORK_WAITING,    /**< for a primary, a replica that caught up, or a probe */
	WORK_QUEUED,     /**< in the pool of `server` */
	WORK_RUNNING,    /**< on `conn` */
	WORK_CONFIRMING, /**< answered, the acknowledgement is held back */
};

struct work {
	struct pw_request *request;
	struct database *database;
	struct server *server;
	struct conn *conn;
	enum work_state state;
	GByteArray *held;           /**< answer from the acknowledgement or error on */
	struct pw_position own;     /**< floor of the session as the request brought it */
	struct pw_position wrote;   /**< position of a write that waits for confirmation */
	uint64_t not_before_us;     /**< time before which it is not tried again */
	uint32_t attempts;          /**< that failed */
	uint64_t outstanding_bytes; /**< sent to the front task and not yet credited */
	uint32_t parsed;            /**< answers to Parse messages, but for hidden ones */
	char sqlstate[6];           /**< of the first ErrorResponse; empty without one */
	char transaction_status;    /**< after the answer */
	bool answer_started;        /**< bytes went to the front task */
	bool abandoned;             /**< the session ended; the answer is dropped */
	bool replica_wait_over;
};

enum conn_state {
	CONN_CONNECTING,
	CONN_LOGIN,
	CONN_IDLE,
	CONN_CHECKING, /**< a work waits while the connection is checked */
	CONN_ANSWER,   /**< the answer of `work` is being read */
	CONN_STATUS,   /**< the status row behind a write is being read */
	CONN_PINNED,   /**< idle in a transaction of `session` */
	CONN_CLEANUP,  /**< a transaction without session is being rolled back */
};

struct conn {
	struct pw_stream stream;
	struct server *server;
	struct pw_timer timer;
	struct work *work;
	uint64_t session; /**< while a transaction is open */
	uint64_t busy_since_us;
	uint64_t idle_since_us;
	uint64_t sent_before; /**< stream.sent_bytes when the request was handed over */
	uint32_t account;     /**< charged for the time that it is busy */
	uint32_t process_id;  /**< for cancel requests */
	uint32_t secret;
	uint32_t hidden_answers; /**< answers to replayed messages still to drop */
	enum conn_state state;
	struct pw_server_status status; /**< read behind a write */
	char transaction_status;
	bool has_status;
	bool closed;  /**< released by the next tick */
	bool discard; /**< not to be used again: a cancel request is under way */
};

static inline uint64_t group_now_us(const struct group *g)
{
	return pw_loop_now_us(g->task.loop);
}

/* group.c */
/** Asks the monitor to probe all servers of a database now. */
void group_probe(struct database *db);
/** @return the primary by the newest status rows, or NULL */
struct server *group_primary(const struct database *db);
/** Carries out what the confirmations of a database ask for. */
void group_run_confirm_actions(struct database *db);

/* group_work.c */
void work_start(struct group *g, struct pw_request *r);
/** Chooses a server for a request that has none, or leaves it waiting. */
void work_route(struct work *w);
/** Looks at all waiting requests of a database again. */
void work_route_waiting(struct database *db);
/** Ends a request whose answer is complete. */
void work_answered(struct work *w);
/** The write of `id` was confirmed. */
void work_confirmed(struct work *w);
void work_unconfirmed(struct work *w, bool replaced);
/** An attempt failed: tries again or refuses. */
void work_attempt_failed(struct work *w, enum pw_attempt_end end, const char *reason);
void work_refuse(struct work *w, const char *sqlstate, enum pw_counter counter, const char *text);
void work_cancel(struct work *w);
void work_session_ended(struct group *g, uint64_t session);
/** Sends bytes of the answer to the front task. */
void work_forward(struct work *w, GByteArray *bytes);
/** Forgets the request without an answer. */
void work_free(struct work *w);
/** Runs the pool's actions of a server. */
void server_pump(struct server *s);
/** Takes queued requests back from a server that is not to be used. */
void server_requeue(struct server *s);
/** Takes queued reads back, for other replicas. */
void server_requeue_reads(struct server *s);

/* group_units.c */
/** Asks the ledger for the units that the pool could use. */
void units_update(struct server *s);
/** @return whether other VMs wait for units that this one uses */
bool units_are_recalled(const struct server *s);
void units_take_message(struct server *s, const struct pw_units_msg *m);
/** Gives units back that were not needed for a while. */
void units_tick(struct server *s, uint64_t now_us);

/* group_conn.c */
int conn_open(struct server *s);
void conn_run(struct conn *c, struct work *w);
void conn_close(struct conn *c);
/** Rolls back a transaction whose session has ended. */
void conn_cleanup(struct conn *c);
void conn_cancel(struct conn *c);
/** Rolls a transaction back that has been idle for too long. */
void conn_check_idle_transaction(struct conn *c);
/**
 * Ends what runs on a server that does not answer: reads, and all work once the server has been
 * replaced as primary. Other writes wait for their answer.
 */
void conn_end_silent(struct server *s, bool replaced);

#endif
