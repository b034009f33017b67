/**
 * @file cluster.h
 * Cluster task: membership of this VM in the fleet, its permission to use the primaries, changes of
 * primary, and shares of the accounts' rates. It owns the socket for datagrams between the VMs and
 * the control connections to servers.
 */
#ifndef PW_DAEMON_CONTROL_CLUSTER_H
#define PW_DAEMON_CONTROL_CLUSTER_H

#include "pw/codec/primaries.h"
#include "pw/core/task.h"
#include "pw/decide/position.h"
#include "pw/decide/share.h"

/** `args` is a struct pw_task_args. */
extern const struct pw_task_ops pw_cluster_ops;

/** The primaries and the permission to use them; sent after every change and renewal. */
struct pw_primaries_msg {
	struct pw_msg base;
	struct pw_primaries *primaries; /**< NULL: not known yet */
	uint64_t permit_until_us;       /**< no work is sent to a primary after this time */
	uint32_t member_count;          /**< VMs that share the servers' connections */
};

/** Share of this VM in the rate of an account. */
struct pw_account_share {
	char *account;
	struct pw_share share;
};

struct pw_shares_msg {
	struct pw_msg base;
	GArray *shares; /**< struct pw_account_share */
};

/** Arrivals of an account since the last report. */
struct pw_account_arrivals {
	char *account;
	uint32_t arrivals;
};

/** How a group's primary answers. */
struct pw_primary_contact {
	char *group;
	uint64_t generation;
	uint64_t reached_us;    /**< last answer; 0: none */
	uint64_t lost_since_us; /**< first failure after it; 0: none */
	struct pw_position at;  /**< the newest that it gave */
	uint64_t at_sent_us;    /**< when the statement was sent that it answered so; 0: none */
};

/** A position that a group's primary gave to some VM. */
struct pw_seen_position {
	char *group;
	uint64_t generation;
	struct pw_position at;
	uint64_t sent_us; /**< its statement was sent at this time of this VM's clock, or later */
};

/** Positions that other VMs have seen. */
struct pw_positions_msg {
	struct pw_msg base;
	GPtrArray *positions; /**< struct pw_seen_position */
};

/** What a gateway task tells the cluster task. */
struct pw_traffic_report {
	struct pw_msg base;
	uint32_t gateway;
	int64_t settled_revision; /**< record of primaries whose marks are in force */
	GArray *arrivals;         /**< struct pw_account_arrivals */
	GArray *contacts;         /**< struct pw_primary_contact */
};

/** Another VM cannot reach the primary of the group: can this one? */
struct pw_primary_check_msg {
	struct pw_msg base;
	char *group;
};

extern const struct pw_msg_ops pw_primary_check_msg_ops;
extern const struct pw_msg_ops pw_primaries_msg_ops;
extern const struct pw_msg_ops pw_positions_msg_ops;
extern const struct pw_msg_ops pw_shares_msg_ops;
extern const struct pw_msg_ops pw_traffic_report_ops;

struct pw_traffic_report *pw_traffic_report_new(uint32_t gateway);

#endif
