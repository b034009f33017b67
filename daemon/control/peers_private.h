/*
 * State and functions that the parts of the peers task share. peers.c handles the messages of other
 * tasks, peers_connection.c has the ZeroMQ sockets, peers_member.c runs the actions of the
 * membership module, peers_check.c finds out whether processes have ended, peers_translate.c
 * translates between messages of peers and of tasks, peers_task_message.c creates and destroys the
 * messages that are declared in peers.h.
 */
#ifndef PW_DAEMON_CONTROL_PEERS_PRIVATE_H
#define PW_DAEMON_CONTROL_PEERS_PRIVATE_H

#include <zmq.h>

#include "../directory.h"
#include "../traffic/front.h"
#include "../traffic/request.h"
#include "peers.h"
#include "pw/codec/peer.h"
#include "store.h"

/* Tags of requests to the store. */
enum store_request_tag {
	TAG_TABLE_READ = 1,
	TAG_TABLE_SWAP, /**< compare-and-swap of the member table */
	TAG_VM_LIST,
};

/* Connection to one peer for sending. The peer's answers to fetches arrive on it. */
struct peer_connection {
	struct pw_source source;
	struct peers *peers;
	char *address;
	void *socket;
	uint64_t last_used_us; /**< time of the last send */
};

struct peers {
	struct pw_task task;
	const struct pw_directory *directory;
	void *zmq_context;
	void *router_socket; /**< listens for the connections of peers */
	struct pw_source router_source;
	GHashTable *connections; /**< address -> struct peer_connection */
	GHashTable *checks;      /**< name of the member -> struct process_check in progress */
	struct pw_member *member;
	struct pw_member_entry self;           /**< of this VM */
	struct pw_member_table proposed_table; /**< in the last compare-and-swap */
	GArray *actions;                       /**< struct pw_member_action, not run yet */
	GArray *hints; /**< struct pw_quota_hint, the last ones from the ledger */
	struct pw_revision_report report; /**< the last one from the config task */
	uint64_t report_time_us;          /**< time at which the ages in `report` were right */
	struct pw_timer tick_timer;
	uint64_t published_lease_us; /**< end of the lease as last reported to other tasks */
	uint64_t table_read_sent_us; /**< when the last read of the member table was sent */
	uint64_t vm_list_due_us;
	uint64_t admin_status_due_us; /**< time of the next status for the admin task */
	uint64_t seed_fetch_due_us;
	const struct pw_document *document; /**< for peers that fetch it; NULL: none yet */
	bool ledger_started;
	bool leaving; /**< a planned stop has begun */
};

static inline uint64_t peers_now_us(const struct peers *p)
{
	return pw_loop_now_us(p->task.loop);
}

/* peers_connection.c */
/** @return 0 or an error; peers_close_sockets() has to be called in both cases */
int peers_open_sockets(struct peers *p);
void peers_close_sockets(struct peers *p);
/** @return entry of the member `name` in the newest member table, or NULL */
const struct pw_member_entry *peers_find_member(const struct peers *p, const char *name);
/**
 * Fills in the sender of a message and sends it to a peer. The message is dropped if the socket's
 * queue is full. Messages that have arrived on the same connection are handled before the return.
 */
void peers_send(struct peers *p, const char *address, struct pw_peer_message *m);
/** Like peers_send(); does nothing if there is no member of that name. */
void peers_send_to_member(struct peers *p, const char *name, struct pw_peer_message *m);
/** Like peers_send(), to all other members. */
void peers_send_to_all(struct peers *p, struct pw_peer_message *m);
/** Sends a message that has only a kind. */
void peers_send_empty(struct peers *p, const char *address, enum pw_peer_kind kind);
/** Sends an answer on the connection that the request arrived on. */
void peers_reply(struct peers *p, zmq_msg_t *identity, struct pw_peer_message *m);

/* peers_member.c */
/** Runs `actions`, appended by the last event of the membership, and publishes the lease. */
void peers_run_actions(struct peers *p);
/** Sends the other members and this VM's rank to the monitor. */
void peers_publish_fleet(struct peers *p, const struct pw_member_table *t);
void peers_handle_store_result(struct peers *p, const struct pw_store_result_msg *m);

/* peers_check.c */
void peers_checks_start(struct peers *p);
void peers_checks_stop(struct peers *p);
/** Connects to the address of a member, unless this is in progress; reports only a refusal. */
void peers_check_process(struct peers *p, const struct pw_member_entry *e);

/* peers_translate.c */
/**
 * Handles a message of a peer: answers a fetch, or passes the message on to the task that it is
 * for.
 *
 * @param identity ZeroMQ identity of the connection that the message arrived on, to which an answer
 *                 is sent; NULL if this VM opened the connection, which is not answered
 */
void peers_handle_message(struct peers *p, const struct pw_peer_message *m, zmq_msg_t *identity);
void peers_send_quota(struct peers *p, const struct pw_quota_msg *q);
void peers_send_revision(struct peers *p, const struct pw_revision_msg *r);
void peers_send_vote(struct peers *p, const struct pw_vote_msg *v);
void peers_send_cancel(struct peers *p, const struct pw_front_cancel *c);

#endif
