/**
 * @file peers.h
 * Peers task: owns the ZeroMQ sockets to the other VMs, the membership and the quorum lease. Other
 * tasks exchange messages with peers through it.
 *
 * Other tasks identify peers by name. The peers task reports each change of the lease or the epoch
 * to the tasks that depend on it.
 */
#ifndef PW_DAEMON_CONTROL_PEERS_H
#define PW_DAEMON_CONTROL_PEERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "pw/core/task.h"
#include "pw/decide/member.h"
#include "pw/decide/quota.h"
#include "pw/decide/revision.h"

/** `args` is a struct pw_task_args. */
extern const struct pw_task_ops pw_peers_ops;

/** To the ledger, config and admin tasks: the quorum lease was gained, renewed or lost. */
struct pw_lease_msg {
	struct pw_msg base;
	uint64_t lease_until_us; /**< end of the lease; 0: not held */
	/** The ledger has to confirm that it does not use the lease for this epoch; 0: none. */
	uint64_t released_epoch;
};

/** From the ledger: it does not use the lease for `epoch` any more. */
struct pw_lease_released_msg {
	struct pw_msg base;
	uint64_t epoch;
};

/** To the ledger task: an epoch has taken effect. */
struct pw_epoch_msg {
	struct pw_msg base;
	struct pw_member_table table;
	char self[PW_MEMBER_NAME_SIZE]; /**< name of this VM */
	uint64_t incarnation;           /**< of this VM's membership */
	uint64_t lease_until_us;        /**< end of the lease at that time; may be past; 0: none */
};

/** From the ledger: hints to send with the next heartbeats. */
struct pw_quota_hints_msg {
	struct pw_msg base;
	GArray *hints; /**< struct pw_quota_hint */
};

/** To the ledger: a hint that was received with a heartbeat. */
struct pw_quota_hint_msg {
	struct pw_msg base;
	char peer[PW_MEMBER_NAME_SIZE]; /**< sender */
	uint64_t incarnation;           /**< of the sender */
	struct pw_quota_hint hint;
};

enum pw_quota_message_kind {
	PW_QUOTA_MESSAGE_ASK,
	PW_QUOTA_MESSAGE_GRANT,
	PW_QUOTA_MESSAGE_ACK,
};

/** Between the ledgers of two VMs, in both directions. */
struct pw_quota_msg {
	struct pw_msg base;
	char peer[PW_MEMBER_NAME_SIZE]; /**< receiver of a sent message, sender of a received one */
	enum pw_quota_message_kind kind;
	union {
		struct pw_quota_ask ask;
		struct pw_quota_grant grant;
		struct pw_quota_ack ack;
	};
};

/** From the config task: report on revisions to send with the next heartbeats. */
struct pw_revision_report_msg {
	struct pw_msg base;
	struct pw_revision_report report;
	uint64_t report_time_us; /**< time at which the ages in the report were right */
};

enum pw_revision_message_kind {
	/** To config: an epoch with this `rank` and `member_count` has taken effect. */
	PW_REVISION_MESSAGE_RANK,
	/** To config: a heartbeat of `peer` arrived, with `report` and `made_after_us`. */
	PW_REVISION_MESSAGE_HEARTBEAT,
	/** To config: `peer` was removed from the members. */
	PW_REVISION_MESSAGE_REMOVED,
	/**
	 * From config: send `report` to all neighbours except `peer`. To config: `report` of `peer`
	 * arrived.
	 */
	PW_REVISION_MESSAGE_ANNOUNCE,
	/** From config: request the document of `peer`. */
	PW_REVISION_MESSAGE_FETCH,
	/** To config: the document of `peer` arrived, as `revision` and `text`. */
	PW_REVISION_MESSAGE_DOCUMENT,
};

/** Between the config and peers tasks, in both directions. */
struct pw_revision_msg {
	struct pw_msg base;
	enum pw_revision_message_kind kind;
	char peer[PW_MEMBER_NAME_SIZE];
	struct pw_revision_report report;
	uint64_t made_after_us; /**< earliest possible time of the report; 0: not known */
	uint64_t revision;
	GBytes *text;  /**< document, owned; NULL: none */
	uint32_t rank; /**< of this VM among the members, for watching the store */
	uint32_t member_count;
};

/** Between the monitors of two VMs: vote on the primary of a database, or news of a promotion. */
struct pw_vote_msg {
	struct pw_msg base;
	char peer[PW_MEMBER_NAME_SIZE]; /**< sender; unused in messages to peers */
	char database[PW_MEMBER_NAME_SIZE];
	char server[PW_MEMBER_ADDRESS_SIZE]; /**< promoted server; unused in a vote */
	uint64_t term; /**< of the promotion, or of the primary that the vote is about */
	bool suspects_primary;
	bool promoted; /**< the message is news of a promotion, not a vote */
};

/** To the monitor: the other members of the fleet, and this VM's rank among all. */
struct pw_fleet_msg {
	struct pw_msg base;
	GPtrArray *peers; /**< names (char *) */
	uint32_t rank;    /**< for failovers */
};

/**
 * From the ledger, when it starts: it holds no quota. After a restart of the ledger alone, the
 * peers task restarts, too, so that the VM joins the fleet again with a new incarnation.
 */
struct pw_msg *pw_ledger_started_msg(void);

/** From the monitor, when it starts: requests a struct pw_fleet_msg. */
struct pw_msg *pw_fleet_request_msg(void);

/** To the shutdown task: this VM has left the fleet in a planned stop. */
struct pw_msg *pw_fleet_left_msg(void);

extern const struct pw_msg_ops pw_fleet_request_ops;
extern const struct pw_msg_ops pw_fleet_left_ops;
extern const struct pw_msg_ops pw_ledger_started_ops;
extern const struct pw_msg_ops pw_lease_msg_ops;
extern const struct pw_msg_ops pw_lease_released_msg_ops;
extern const struct pw_msg_ops pw_epoch_msg_ops;
extern const struct pw_msg_ops pw_quota_hints_msg_ops;
extern const struct pw_msg_ops pw_quota_hint_msg_ops;
extern const struct pw_msg_ops pw_quota_msg_ops;
extern const struct pw_msg_ops pw_revision_report_msg_ops;
extern const struct pw_msg_ops pw_revision_msg_ops;
extern const struct pw_msg_ops pw_vote_msg_ops;
extern const struct pw_msg_ops pw_fleet_msg_ops;

/**
 * Each returns a message with its vtable and the arguments set. Other fields are zero, arrays are
 * empty.
 */
struct pw_lease_msg *pw_lease_msg_new(void);
struct pw_lease_released_msg *pw_lease_released_msg_new(void);
struct pw_epoch_msg *pw_epoch_msg_new(const struct pw_member_table *t);
struct pw_quota_hints_msg *pw_quota_hints_msg_new(void);
struct pw_quota_hint_msg *pw_quota_hint_msg_new(void);
struct pw_quota_msg *pw_quota_msg_new(void);
struct pw_revision_report_msg *pw_revision_report_msg_new(void);
struct pw_revision_msg *pw_revision_msg_new(enum pw_revision_message_kind kind, const char *peer);
struct pw_vote_msg *pw_vote_msg_new(void);
struct pw_fleet_msg *pw_fleet_msg_new(void);

#endif
