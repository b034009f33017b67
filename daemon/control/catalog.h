/**
 * @file catalog.h
 * Catalogue task: reads the catalogue and the registered servers from the store and publishes each
 * new state to the tasks that use it.
 */
#ifndef PW_DAEMON_CONTROL_CATALOG_H
#define PW_DAEMON_CONTROL_CATALOG_H

#include "pw/codec/catalog.h"
#include "pw/core/task.h"

/** `args` is a struct pw_task_args. */
extern const struct pw_task_ops pw_catalog_task_ops;

struct pw_catalog_msg {
	struct pw_msg base;
	struct pw_catalog *catalog;
};

struct pw_servers_msg {
	struct pw_msg base;
	struct pw_server_list *servers;
};

/**
 * Which version of the catalogue and which set of server entries a VM has, and when each was last
 * known to be the newest at the store. The catalogue task sends its own freshness to the cluster
 * task and receives the freshness of other VMs from it.
 */
struct pw_catalog_freshness {
	uint64_t catalog_version;
	uint64_t catalog_fresh_us;   /**< last time that this version was known to be the newest */
	uint64_t evacuations_digest; /**< of the evacuated zones at that time; 0: none */
	uint64_t servers_digest;     /**< of all entries; 0: not read yet */
	uint64_t servers_fresh_us; /**< last time that the servers were known to have this digest */
};

struct pw_catalog_freshness_msg {
	struct pw_msg base;
	struct pw_catalog_freshness freshness;
	bool is_own_read;  /**< this VM has just read it; false: another VM has told it */
	uint32_t vm_count; /**< of the fleet, this VM included; 0: not known to the sender */
};

struct pw_msg *pw_catalog_freshness_msg_new(const struct pw_catalog_freshness *freshness,
					    bool is_own_read);

extern const struct pw_msg_ops pw_catalog_freshness_msg_ops;
extern const struct pw_msg_ops pw_catalog_msg_ops;
extern const struct pw_msg_ops pw_servers_msg_ops;

/** @return request for the current catalogue and servers, which a task sends when it starts */
struct pw_msg *pw_catalog_request_msg(struct pw_mailbox *reply_to);

/** @return request to read the servers again, sent when one has failed or a primary has changed */
struct pw_msg *pw_servers_refresh_msg(void);

#endif
