/**
 * @file directory.h
 * Mailboxes of all tasks and the settings of the process. The settings are read and the mailboxes
 * are created before the first task starts; both are freed after the last task has ended and do not
 * change in between.
 */
#ifndef PW_DAEMON_DIRECTORY_H
#define PW_DAEMON_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "binding.h"
#include "pw/core/msg.h"
#include "pw/decide/drain.h"
#include "pw/decide/place.h"

/** Settings of the process; settings.c has their flags, variables, limits and defaults. */
struct pw_process_settings {
	char *vm_name; /**< of this VM, unique in the fleet */
	char *availability_zone;
	char *service_name;    /**< name of the service; part of its keys in the store */
	char *caller_address;  /**< IP:PORT for callers */
	char *peer_address;    /**< IP:PORT for other VMs */
	char *api_address;     /**< IP:PORT of the administration API */
	char *metrics_address; /**< IP:PORT for metrics without credentials; NULL: none */
	char **store_addresses;
	char **seed_peers; /**< peers to join through, even if the store is down; may be NULL */
	char *upstream_user;
	char *upstream_password;
	char *control_user;
	char *control_password;
	char *api_token;         /**< operator credential of the administration API; NULL: none */
	char *tls_certificate;   /**< path of the PEM file; NULL: no TLS */
	char *tls_key;           /**< path of the PEM file */
	bool tls_required;       /**< callers without TLS are refused */
	uint32_t binding_index;  /**< index in pw_bindings */
	char *promoter_address;  /**< IP:PORT for promotion requests; NULL: not set */
	char *zone_regions;      /**< ZONE=REGION, separated by commas; may be NULL or empty */
	uint64_t rate_window_us; /**< window in which an account may use its rate and burst */
	bool learn_server_speed; /**< the choice of servers goes by their learned speed */
	uint64_t evacuation_timeout_us; /**< an evacuation is in force after it; 0: not followed */
	uint32_t memory_limit_mb; /**< memory that the process may use, in 10^6 bytes; 0: all of
				     the machine's */
	uint32_t gateway_task_count;
	uint32_t front_task_count;
	uint32_t group_task_count;
	uint32_t log_level_index;  /**< index in the choices of --log-level */
	uint64_t drain_grace_us;   /**< from the failing readiness check to the end of new work */
	uint64_t drain_timeout_us; /**< time for open transactions to end in a planned stop */
	uint64_t stop_timeout_us;  /**< limit of a planned stop; 0: the two times above apply */
};

/** Has the mailboxes of every kind of task, including the kinds that the binding does not run. */
struct pw_directory {
	const struct pw_process_settings *settings;
	const struct pw_binding *binding;
	struct pw_drain_plan drain_plan;
	struct pw_mailbox *root;
	struct pw_mailbox *shutdown;
	struct pw_mailbox *store;
	struct pw_mailbox *peers;
	struct pw_mailbox *config;
	struct pw_mailbox *admin;
	struct pw_mailbox *monitor;
	struct pw_mailbox *ledger;
	struct pw_mailbox *catalog;
	struct pw_mailbox *cluster;
	struct pw_mailbox *metrics;
	struct pw_mailbox **fronts;
	struct pw_mailbox **groups;
	struct pw_mailbox **gateways;
	uint32_t front_count;
	uint32_t group_count;
	uint32_t gateway_count;
};

/** Arguments of every task but the store task and the supervisors. */
struct pw_task_args {
	const struct pw_directory *directory;
	uint32_t index; /**< of this task among the tasks of its kind */
};

/** @return mailbox of the group task that serves a database */
struct pw_mailbox *pw_directory_group_inbox(const struct pw_directory *d, const char *database);

/**
 * @return distance from this VM to an availability zone, by the setting `--zone-regions`; zones
 * whose regions are not set count as in the same region
 */
enum pw_distance pw_directory_zone_distance(const struct pw_directory *d, const char *zone);

/** @return whether the setting `--zone-regions` names the zone */
bool pw_directory_has_zone(const struct pw_directory *d, const char *zone);

/**
 * @return first 64 bits of the SHA-256 of the name, or 1 if they are 0, since 0 stands for the
 * store in pw/decide/revision.h. This number is the identity of a VM for the decision modules and
 * the same in all processes.
 */
uint64_t pw_directory_name_hash(const char *name);

#endif
