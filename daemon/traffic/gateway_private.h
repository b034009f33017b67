/*
 * Parts of the gateway task, with calls from the top to the bottom of this list and results the
 * other way:
 *
 *   gateway.c           task: messages, listener, timers
 *   gateway_session.c   a caller: its statements, transaction, values and prepared statements
 *   gateway_account.c   rates of client accounts
 *   gateway_work.c      a statement that goes to a server: waiting, attempts, answer
 *   gateway_group.c     a database: servers, primary, routing
 *   gateway_conn.c      a connection to a server
 */
#ifndef PW_DAEMON_TRAFFIC_GATEWAY_PRIVATE_H
#define PW_DAEMON_TRAFFIC_GATEWAY_PRIVATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../binding.h"
#include "../control/catalog.h"
#include "../control/cluster.h"
#include "../directory.h"
#include "gateway.h"
#include "pw/core/clock.h"
#include "pw/core/counter.h"
#include "pw/core/stream.h"
#include "pw/decide/change.h"
#include "pw/decide/congestion.h"
#include "pw/decide/history.h"
#include "pw/decide/place.h"
#include "pw/decide/share.h"

/* Checks of queues, probes and drains. */
#define GATEWAY_TICK_US (50 * PW_US_PER_MS)
/* Reports of arrivals and contacts to the cluster task. */
#define GATEWAY_REPORT_US (200 * PW_US_PER_MS)
/* A session must start within this time. */
#define SESSION_OPEN_LIMIT_US (5 * PW_US_PER_S)
/* A caller that does not close after the last message is cut off. */
#define SESSION_CLOSE_LIMIT_US (2 * PW_US_PER_S)
/* While draining, a session that was idle this long is closed; others after their next answer. */
#define SESSION_DRAIN_IDLE_US (300 * PW_US_PER_MS)
/*
 * Parts, in percent, of an operation's target time and of its statement's time limit for which it
 * waits for a server before it is refused: an answer in time needs the rest.
 */
#define WAIT_TARGET_PERCENT  50
#define WAIT_TIMEOUT_PERCENT 45
/* A statement waits at least this long. */
#define WAIT_MIN_US (80 * PW_US_PER_MS)
/* Time for the network to connect: several round trips between regions. */
#define CONN_CONNECT_LIMIT_US (200 * PW_US_PER_MS)
/* Time for a server to accept a connection, which waits for a slot there like a statement. */
#define CONN_OPEN_LIMIT_US (600 * PW_US_PER_MS)
/* Time for a rollback, and for statements that prepare a connection. */
#define CONN_CLEANUP_LIMIT_US (1500 * PW_US_PER_MS)
/* Idle connections that this VM may keep at a server are closed after this time. */
#define CONN_IDLE_US (20 * PW_US_PER_S)
/* Those beyond are kept for the next statement of a busy account only. */
#define CONN_IDLE_EXTRA_US (100 * PW_US_PER_MS)
/*
 * The same at a server that refuses work: statements wait longer there, and a new connection would
 * take a slot from them.
 */
#define CONN_IDLE_CONGESTED_US (1 * PW_US_PER_S)
/*
 * Part of a VM's share of the connections that it keeps idle, in percent. A server goes on to count
 * the connections of VMs that lost power for several seconds, and the VMs in their place need the
 * rest.
 */
#define CONN_KEEP_PERCENT 40
/*
 * A VM may have so many times its share of a server's connections while it needs them: all VMs
 * seldom do at once, and the server refuses what is too much.
 */
#define CONN_OVERCOMMIT 3
/* Pause after a failed connect; doubles up to the greatest. */
#define SERVER_BACKOFF_FIRST_US (50 * PW_US_PER_MS)
#define SERVER_BACKOFF_MAX_US   (1 * PW_US_PER_S)
/*
 * Pause in opening connections to a server that has too many, which others have to close first;
 * what is open there is used on.
 */
#define SERVER_FULL_US (20 * PW_US_PER_MS)
/* A running statement or an open that is silent for this long lets its server be probed. */
#define PROBE_SILENCE_US (300 * PW_US_PER_MS)
/*
 * A server that takes connections but sends nothing for this long although it was asked is lost:
 * several times what a full queue of statements takes.
 */
#define SILENT_LOST_US (1200 * PW_US_PER_MS)
/* A primary without contact for this long is probed. */
#define PROBE_IDLE_US (500 * PW_US_PER_MS)
/* A probe without an answer for this long has failed. */
#define PROBE_TIMEOUT_US (400 * PW_US_PER_MS)
/*
 * Part of the accepted age of data that is kept back: the time from the choice of the position to
 * the read at the server.
 */
#define STALE_MARGIN_US (150 * PW_US_PER_MS)
/* Statements that drain from a primary before a planned change get this long. */
#define PLANNED_DRAIN_US (1200 * PW_US_PER_MS)
/* Connections of a server that are left to others, such as for its status. */
#define CONNECTIONS_SPARE 2
/* Attempts of one statement. */
#define ATTEMPTS_MAX 6
/* Answers that are held until they are complete; a larger one is passed on in parts. */
#define ANSWER_HELD_MAX_BYTES 65536

struct session;
struct work;
struct conn;
struct group;
struct server;
struct account;

struct gateway {
	struct pw_task task;
	const struct pw_directory *directory;
	const struct pw_caller_dialect *caller;
	const struct pw_server_dialect *dialect;
	uint32_t index;
	struct pw_source listener;
	struct pw_catalog *catalog;
	struct pw_server_list *servers;
	struct pw_primaries *primaries;
	uint64_t permit_until_us;
	uint32_t member_count;
	GHashTable *sessions; /**< set of struct session */
	GHashTable *groups;   /**< name -> struct group; never removed */
	GHashTable *accounts; /**< name -> struct account; never removed */
	GPtrArray *trash;     /**< closed sessions, connections and probes, freed by the tick */
	GPtrArray *gone;      /**< struct server without connections, freed by the tick */
	int64_t settled_revision;
	struct pw_timer tick;
	struct pw_timer drain_timer;
	uint64_t next_report_us;
	bool stopping;
	bool drained;
};

enum session_state {
	SESSION_OPENING,
	SESSION_READY,
	SESSION_CLOSING,
};

enum transaction_state {
	TRANSACTION_NONE,
	TRANSACTION_BEGUN,  /**< accepted; no server has been asked */
	TRANSACTION_ACTIVE, /**< open on `conn` */
	TRANSACTION_LOST,   /**< rolled back; the caller was told and has to end it */
	TRANSACTION_ENDED,  /**< rolled back; the caller was not told yet */
};

/* What the route of an operation said when it began. */
struct operation {
	struct group *group;
	enum pw_consistency consistency;
	uint64_t stale_age_us;
	uint64_t timeout_us;
	uint64_t target_us;
	uint32_t priority;
};

/* A statement that a caller has prepared. */
struct prepared {
	char *shape;
	bool writes;
};

struct session {
	struct pw_stream stream;
	struct gateway *gateway;
	struct pw_timer timer; /**< start and end of the session, idle transaction */
	enum session_state state;
	char *database;
	char key_hash[PW_CATALOG_KEY_SIZE];
	struct account *account;
	GHashTable *values;   /**< name -> value; NULL until the first */
	GHashTable *prepared; /**< name -> struct prepared; NULL until the first */
	enum transaction_state transaction;
	bool read_only; /**< the transaction was begun as one without writes */
	struct operation operation;
	struct conn *conn;
	struct work *work;
	const char *statement_id; /**< of the statement that is being looked at, for the log */
	struct pw_position own;   /**< end of the log after the session's last commit */
	uint64_t own_generation;
	uint64_t own_us;
	uint64_t idle_since_us;
	bool has_own;
	bool reading; /**< input is being worked on */
	bool closed;
};

struct account {
	char *name;
	struct pw_share share;
	struct pw_tokens tokens;
	bool has_share;
	uint32_t arrivals; /**< since the last report */
	uint32_t running;  /**< statements at servers */
};

enum work_state {
	WORK_WAITING, /**< in the group's queue */
	WORK_RUNNING, /**< on `conn`, which may still be opening */
	WORK_ENDED,   /**< answered; freed by the tick */
};

/* A statement on its way to a server and back. */
struct work {
	struct session *session; /**< NULL: the caller is gone */
	struct account *account;
	struct group *group;
	struct operation operation;
	struct pw_statement_call *call;
	const struct prepared *prepared; /**< of an execution */
	enum work_state state;
	struct conn *conn;
	struct pw_timer timer;
	GList link; /**< in the group's queue */
	uint64_t arrived_us;
	uint64_t wait_until_us; /**< refused when no server has been found */
	uint64_t sent_us;
	uint32_t attempts;
	struct server *avoid; /**< that refused or failed the last attempt */
	GByteArray *answer;
	char *signature;
	enum pw_reason reason;
	char *error;
	bool begins;  /**< first statement of a transaction: it is begun at the server before */
	bool ends;    /**< a commit */
	bool writes;  /**< must run at the primary and must not be repeated */
	bool primary; /**< must run at the primary */
	bool sent;
	bool offered;   /**< an earlier attempt was sent */
	bool admitted;  /**< its account was charged for an operation */
	bool passed_on; /**< parts of the answer went to the caller */
};

enum conn_state {
	CONN_CONNECTING,
	CONN_OPENING, /**< the server has to accept the start */
	CONN_IDLE,
	CONN_BEGINNING, /**< the transaction of `work` is being begun */
	CONN_RUNNING,   /**< `work` is being answered */
	CONN_PINNED,    /**< idle in the transaction of `session` */
	CONN_CLEANUP,   /**< a transaction is being rolled back */
};

struct conn {
	struct pw_stream stream;
	struct server *server;
	struct account *account;
	struct pw_timer timer;
	enum conn_state state;
	struct work *work;
	struct session *session;
	GHashTable *values;   /**< name -> value in force; NULL: none */
	GHashTable *prepared; /**< shape with its kind -> name at the server */
	uint32_t next_name;
	uint32_t own_pending; /**< answers to statements of the proxy that are awaited */
	uint64_t generation;  /**< of the group when it was used as primary; 0: as replica */
	uint64_t idle_since_us;
	uint64_t sent_us;
	uint64_t floor_seen_us; /**< age of the position that the read needs; 0: none */
	bool tainted;           /**< not to be used again */
	bool closed;
};

struct server {
	struct group *group;
	char *id;
	char *address;
	uint64_t started_ms;
	enum pw_distance distance;
	GPtrArray *conns;
	struct pw_replica_lag lag;
	struct pw_position at; /**< greatest position that it gave */
	uint64_t latency_us;
	uint64_t pause_until_us; /**< gets no reads until then */
	uint64_t full_until_us;  /**< no connection is opened until then */
	uint64_t backoff_us;
	uint64_t contact_us; /**< last bytes from it, or last time that the network connected */
	uint64_t asked_us;   /**< first message to it that no bytes from it followed; 0: none */
	uint32_t running;
	struct pw_congestion congestion;
	uint64_t leaving_since_us;
	bool listed;
	bool leaving;
	bool primary; /**< by its own entry */
	struct probe *probe;
};

struct group {
	struct gateway *gateway;
	char *name;
	uint32_t connection_limit;
	GPtrArray *servers;     /**< struct server; those gone stay until they have no connection */
	GQueue waiting;         /**< struct work */
	struct server *primary; /**< NULL: not known or not listed */
	char *primary_id;
	uint64_t generation;
	bool changing;
	bool planned;
	uint64_t changing_since_us;
	bool settled; /**< nothing runs at the primary under the present record */
	struct pw_history history;
	uint64_t reached_us;
	uint64_t lost_since_us;
	bool pumping;
	bool pump_again;
};

static inline uint64_t gateway_now_us(const struct gateway *g)
{
	return pw_loop_now_us(g->task.loop);
}

/* gateway.c */
/** Reports arrivals, contacts and the record in force to the cluster task. */
void gateway_report(struct gateway *g);
/** @return whether work may be sent to primaries; reads the clock again */
bool gateway_is_permitted(struct gateway *g);
/** Frees memory with the next tick, since its callers may be on the stack. */
void gateway_discard(struct gateway *g, void *memory);
void gateway_discard_server(struct gateway *g, struct server *s);

/* gateway_session.c */
void gw_session_accept(struct gateway *g, int32_t fd);
void gw_session_close(struct session *s);
/** Ends the sessions whose key was withdrawn and that have no statement under way. */
void gw_session_check_key(struct session *s);
/** Closes the session if it is idle and its gateway drains. */
void gw_session_drain(struct session *s);
/** The statement of the session has its answer: sends it. `at` may be NULL. */
void gw_session_answered(struct session *s, struct work *w, const struct pw_position *at);
/** Sends a part of an answer. */
void gw_session_pass_on(struct session *s, GByteArray *bytes);
/** The connection of the session's transaction is gone, and no statement was under way. */
void gw_session_transaction_lost(struct session *s);

/* gateway_account.c */
struct account *gw_account_get(struct gateway *g, const char *name);
void gw_account_free(gpointer data);
/** Takes an operation back that was refused before a server got it. */
void gw_account_refund(struct account *a);
/** Counts an operation. @return whether it is inside the rate; `wait_us` says when it will be */
bool gw_account_admit(struct gateway *g, struct account *a, uint64_t *wait_us);
void gw_account_take_shares(struct gateway *g, const GArray *shares);

/* gateway_work.c */
/** Takes the statement over. `begins`, `ends` and `writes` say what it is. */
struct work *gw_work_new(struct session *s, struct pw_statement_call *call);
void gw_work_start(struct work *w);
/** The caller is gone. */
void gw_work_abandon(struct work *w);
/** Tries all waiting statements of a group again. */
void gw_work_pump(struct group *g);
/** Answers the statement with an error and forgets it. */
void gw_work_refuse(struct work *w, enum pw_reason reason, const char *text);
/** The whole answer of the server is there. */
void gw_work_finished(struct work *w, struct conn *c, enum pw_session_state state,
		      const struct pw_position *at);
/** The connection was lost, or refused to open. */
void gw_work_conn_lost(struct work *w, const char *why);
/** The server did not begin the transaction. */
void gw_work_not_begun(struct work *w, enum pw_reason reason);
/** Position that a read at a replica needs. @return false when only the primary will do */
bool gw_work_floor(const struct work *w, struct pw_position *floor, uint64_t *seen_us);

/* gateway_group.c */
struct group *gw_group_get(struct gateway *g, const char *name);
void gw_group_free(gpointer data);
void gw_group_take_servers(struct gateway *g);
void gw_group_take_primaries(struct gateway *g);
/** Takes positions (struct pw_seen_position) that primaries gave to other VMs. */
void gw_group_take_positions(struct gateway *g, const GPtrArray *positions);
/** @return when the primary is expected to take work; the present time when it does */
uint64_t gw_group_back_us(const struct group *g);
/** @return server that can take the statement now, or NULL */
struct server *gw_group_place(const struct work *w);
/** @return whether any server may get another statement of this VM */
bool gw_group_has_room(const struct group *g);
/** @return time after which all that waits for the same servers has been started; 0: not known */
uint64_t gw_group_backlog_us(const struct work *w);
/** Asks the primary for a sign of life, since another VM cannot reach it. */
void gw_group_check_primary(struct group *g);
/** Probes of silent primaries, end of planned drains, idle connections. */
void gw_group_tick(struct group *g);
/** Notes an answer of a server. `sent_us` is when its statement was sent. */
void gw_group_note_answer(struct server *s, struct conn *c, uint64_t sent_us,
			  const struct pw_position *at);
/** A connection could not be opened. */
void gw_group_server_failed(struct server *s);
/** The server refused a statement or a connection because it has too much to do. */
void gw_group_server_busy(struct server *s);
/** Bytes came from the server. */
void gw_group_server_heard(struct server *s);
/** A message went to the server that it has to answer. */
void gw_group_server_asked(struct server *s);
/** The network has connected to the server; whether its process answers is not known. */
void gw_group_server_connected(struct server *s);
/** @return whether an answer of the connection comes from the present primary */
bool gw_group_is_present(struct conn *c);
/** Looks whether everything has left the primary that is about to be replaced. */
void gw_group_check_settled(struct group *g);
void gw_group_server_free(struct server *s);

/* gateway_conn.c */
/** @return whether the server can take a statement of the account now */
bool gw_conn_available(const struct server *s, const struct account *a, bool *has_idle);
/** Runs the statement on a connection of its account, which is opened if need be. */
void gw_conn_take(struct server *s, struct work *w);
/** Runs the next statement of a transaction. */
void gw_conn_continue(struct conn *c, struct work *w);
/** Rolls the open transaction back; the session no longer waits for it. */
void gw_conn_roll_back(struct conn *c);
/** Closes a connection; its statement is told. */
void gw_conn_fail(struct conn *c, const char *why);
/**
 * Asks the server for a sign of life that needs no slot there.
 *
 * @param open a connection is opened for it if none is idle
 * @return false if there is no connection to ask on
 */
bool gw_conn_ping(struct server *s, bool open);
/** Closes connections that are idle for too long, or all idle ones. */
void gw_conn_close_idle(struct server *s, bool all);

#endif
