/**
 * @file cluster.h
 * Cluster task: membership of this VM in the fleet, its permit to use the primaries, changes of
 * primary, and shares of the accounts' rates. It owns the socket for heartbeat datagrams between
 * the VMs, and the connections for status queries to servers.
 */
#ifndef PW_DAEMON_CONTROL_CLUSTER_H
#define PW_DAEMON_CONTROL_CLUSTER_H

#include "pw/codec/primaries.h"
#include "pw/core/task.h"
#include "pw/decide/position.h"
#include "pw/decide/share.h"

/** `args` is a struct pw_task_args. */
extern const struct pw_task_ops pw_cluster_ops;

/**
 * The primaries and the permit to use them. Sent to the gateway and admin tasks when one of the two
 * changes, which includes each extension of the permit.
 */
struct pw_primaries_msg {
	struct pw_msg base;
	struct pw_primaries *primaries; /**< NULL: not known yet */
	uint64_t permit_until_us; /**< no work is sent to a primary from then on; 0: no permit */
	/**
	 * Work at a primary that the record marks as changing ends by this time: the VM that leads
	 * the change waits only for permits of the leases that it has found. UINT64_MAX: no limit,
	 * since this VM has been registered since before the mark.
	 */
	uint64_t drain_limit_us;
	uint32_t member_count; /**< VMs that share the servers' connections, this one included */
};

/** Share of this VM in the rate of an account. */
struct pw_account_share {
	char *account;
	struct pw_share share;
};

/** The shares of this VM in the rates of all accounts, sent to the gateways at every tick. */
struct pw_shares_msg {
	struct pw_msg base;
	GArray *shares; /**< struct pw_account_share */
};

/** Number of operations of a client account that arrived since the last report. */
struct pw_account_arrivals {
	char *account;
	uint32_t arrival_count;
	uint32_t urgent_arrival_count; /**< those with the highest priority of all routes */
};

/** Reachability of a group's primary from a gateway. */
struct pw_primary_reachability {
	char *group;
	uint64_t generation;           /**< of the primary that the other fields are about */
	uint64_t last_answer_us;       /**< last answer; 0: none */
	uint64_t unreachable_since_us; /**< first failure after the last answer; 0: none */
	struct pw_position position;   /**< newest known log position of the primary */
	/** Like `statement_sent_us` of struct pw_seen_position; 0: no position is known. */
	uint64_t statement_sent_us;
};

/** A log position that a group's primary reported to some VM. */
struct pw_seen_position {
	char *group;
	uint64_t generation;
	struct pw_position position;
	/**
	 * Time by this VM's clock, no later than the send time of the statement whose answer
	 * reported the position.
	 */
	uint64_t statement_sent_us;
};

/** Log positions that other VMs have seen, sent to the gateways. */
struct pw_positions_msg {
	struct pw_msg base;
	GPtrArray *positions; /**< struct pw_seen_position */
};

/**
 * Periodic report of a gateway task to the cluster task. A gateway has settled a primaries record
 * once it has applied the record and has no statement or transaction left at the primary of any
 * group that the record marks as changing.
 */
struct pw_traffic_report {
	struct pw_msg base;
	uint32_t gateway_index;   /**< index of the gateway task */
	int64_t settled_revision; /**< newest primaries record that the gateway has settled */
	GArray *arrivals;         /**< struct pw_account_arrivals */
	GArray *reachability;     /**< struct pw_primary_reachability */
};

/** Asks a gateway to check whether it reaches a group's primary, since some VM does not. */
struct pw_primary_check_msg {
	struct pw_msg base;
	char *group;
};

extern const struct pw_msg_ops pw_primary_check_msg_ops;
extern const struct pw_msg_ops pw_primaries_msg_ops;
extern const struct pw_msg_ops pw_positions_msg_ops;
extern const struct pw_msg_ops pw_shares_msg_ops;
extern const struct pw_msg_ops pw_traffic_report_ops;

/** @return report without entries, whose `settled_revision` the caller sets */
struct pw_traffic_report *pw_traffic_report_new(uint32_t gateway_index);

/**
 * Request of an operator that changes of primary wait no longer for a server, whose acknowledged
 * commits are lost if no other one has them. Sent by the admin task.
 */
struct pw_replica_forget_msg {
	struct pw_msg base;
	struct pw_mailbox *reply_to;
	uint64_t tag;
	char *group;
	/** Server of the replica set; NULL if that is not known: the registered servers are it. */
	char *server;
};

extern const struct pw_msg_ops pw_replica_forget_msg_ops;

/** Creates a request; copies the names. */
struct pw_msg *pw_replica_forget_msg_new(struct pw_mailbox *reply_to, uint64_t tag,
					 const char *group, const char *server);

/** The answer to a struct pw_replica_forget_msg. */
struct pw_replica_forgotten_msg {
	struct pw_msg base;
	uint64_t tag;
	/**
	 * 0; PW_ENOTFOUND if the group or the server in its replica set is unknown; PW_EINVALID if
	 * the server is registered or the primary, or the set is known and no server is given;
	 * PW_ECONFLICT if another VM wrote the record; PW_ETIMEOUT if the outcome is not known;
	 * PW_EUNAVAILABLE without the store
	 */
	int32_t code;
	char *text; /**< JSON, or an error message */
};

extern const struct pw_msg_ops pw_replica_forgotten_msg_ops;

#endif
