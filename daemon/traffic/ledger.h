/**
 * @file ledger.h
 * Ledger task: owns this VM's holdings of the fleet's quotas, see pw/decide/quota.h. It admits
 * requests within the rate of their client account and sends them to the group task of their
 * database. It lends units of servers to the group tasks: a connection unit allows one open
 * connection to the server, a slot one request or transaction in flight there.
 */
#ifndef PW_DAEMON_TRAFFIC_LEDGER_H
#define PW_DAEMON_TRAFFIC_LEDGER_H

#include <stdint.h>

#include "pw/core/task.h"

/** `args` is a struct pw_task_args. */
extern const struct pw_task_ops pw_ledger_ops;

enum pw_units_kind { PW_UNITS_CONNECTIONS, PW_UNITS_SLOTS, PW_UNITS_KIND_COUNT };

enum pw_units_msg_type {
	PW_UNITS_REQUEST, /**< group to ledger: requests `count` units */
	PW_UNITS_REJECT,  /**< ledger to group: `count` requested units will not be lent */
	PW_UNITS_RETURN,  /**< group to ledger: returns `count` units */
	PW_UNITS_LEND,    /**< ledger to group: lends `count` units */
	PW_UNITS_RECALL,  /**< ledger to group: asks for up to `count` units back; slots in use are
			     returned later */
	PW_UNITS_REVOKE,  /**< ledger to group: all units lent or requested so far are void */
};

/** Message between a group task and the ledger about units of one server. */
struct pw_units_msg {
	struct pw_msg base;
	struct pw_mailbox *group; /**< sender or receiver */
	enum pw_units_msg_type type;
	enum pw_units_kind kind;
	char *server; /**< address; NULL: all servers, with PW_UNITS_REVOKE */
	uint32_t count;
};

extern const struct pw_msg_ops pw_units_msg_ops;

struct pw_msg *pw_units_msg_new(enum pw_units_msg_type type, struct pw_mailbox *group,
				const char *server, enum pw_units_kind kind, uint32_t count);

#endif
