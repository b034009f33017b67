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
 * Which state was known to be the newest, and when. The catalogue task tells the cluster task what
 * it has read; the cluster task tells it what other VMs have read.
 */
struct pw_catalog_freshness {
	uint64_t catalog_version;
	uint64_t catalog_fresh_us;
	uint64_t servers_digest; /**< of all entries; 0: none */
	uint64_t servers_fresh_us;
};

struct pw_catalog_freshness_msg {
	struct pw_msg base;
	struct pw_catalog_freshness freshness;
};

struct pw_msg *pw_catalog_freshness_msg_new(const struct pw_catalog_freshness *c);

extern const struct pw_msg_ops pw_catalog_freshness_msg_ops;
extern const struct pw_msg_ops pw_catalog_msg_ops;
extern const struct pw_msg_ops pw_servers_msg_ops;

/** Asks for the present catalogue and servers; a task sends it when it starts. */
struct pw_msg *pw_catalog_ask_msg(struct pw_mailbox *reply_to);

/** Asks for a new read of the servers, since one of them does not behave as registered. */
struct pw_msg *pw_servers_refresh_msg(void);

#endif
