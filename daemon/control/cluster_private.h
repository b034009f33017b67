/*
 * Parts of the cluster task: membership and permission (cluster_member.c), datagrams
 * (cluster_pulse.c), positions of primaries that other VMs have seen (cluster_position.c), and
 * changes of primary (cluster_change.c, cluster_report.c). cluster.c owns the task and hands
 * messages and timers to them.
 */
#ifndef PW_DAEMON_CONTROL_CLUSTER_PRIVATE_H
#define PW_DAEMON_CONTROL_CLUSTER_PRIVATE_H

#include <netinet/in.h>
#include <sys/socket.h>

#include "../directory.h"
#include "catalog.h"
#include "cluster.h"
#include "pw/codec/pulse.h"
#include "pw/core/address.h"
#include "pw/core/stream.h"
#include "pw/decide/change.h"
#include "store.h"

/*
 * Lease of the member's entry: longer than a permission, so that an entry outlasts it. A change of
 * primary need not wait for a VM whose entry is gone, so it is hardly longer.
 */
#define MEMBER_LEASE_TTL_US (2400 * PW_US_PER_MS)
/* Members are read again this often; new ones announce themselves by datagrams. */
#define MEMBERS_READ_INTERVAL_US (10 * PW_US_PER_S)
/* Time limit of a renewal: one whose answer is lost is made again before the permission ends. */
#define RENEWAL_TIMEOUT_US (600 * PW_US_PER_MS)
/* Pause after a failed call to the store. */
#define CLUSTER_RETRY_DELAY_US (250 * PW_US_PER_MS)
/*
 * Datagrams go out this often. Up to PULSE_FULL_MESH_MAX members each gets every one; of more
 * members each time PULSE_FANOUT get one in turn, so that the cost for a VM does not grow with the
 * fleet.
 */
#define PULSE_INTERVAL_US   (250 * PW_US_PER_MS)
#define PULSE_FULL_MESH_MAX 16
#define PULSE_FANOUT        8
/*
 * VMs of a larger fleet that collect the promises of all while the store is down. One would do;
 * with two the loss of one goes unnoticed.
 */
#define PROMISE_COLLECTORS 2
/* Demand for an account that has grown by this factor is told to all members at once. */
#define DEMAND_BROADCAST_GROWTH 1.5
/* Shortest time between two pulses to all members that only tell of demand. */
#define DEMAND_BROADCAST_MIN_INTERVAL_US (500 * PW_US_PER_MS)
/* A group is checked for others that have lost its primary at most this often. */
#define PRIMARY_CHECK_MIN_INTERVAL_US (400 * PW_US_PER_MS)
/* A member that was not heard of for so many pulses counts as silent. */
#define PULSE_SILENT_INTERVALS 5
/* A read of the catalogue or the servers that is newer by this is told to the members at once. */
#define FRESHNESS_BROADCAST_STEP_US (1000 * PW_US_PER_MS)
/* Decisions on changes and shares. */
#define CLUSTER_TICK_INTERVAL_US (100 * PW_US_PER_MS)
/* Times of sent pulses that are remembered, for echoes. */
#define PULSE_SENT_TIMES 64

enum cluster_tag {
	TAG_LEASE_GRANT,
	TAG_REGISTER,
	TAG_LEASE_RENEW,
	TAG_PRIMARIES,
	TAG_PRIMARIES_WATCH,
	TAG_PRIMARIES_REFRESH,
	TAG_MEMBERS,
	TAG_PRIMARIES_CREATE,
	TAG_REVOKE_OWN_LEASE,
	/* Calls of a change carry its number, and the index of a lease, above the tag. */
	TAG_CLAIM,
	TAG_CHANGE_MEMBERS,
	TAG_REVOKE_LEASE,
	TAG_RECORD_PRIMARY,
	TAG_CLEAR_MARK,
};

#define LEASE_TAG_SHIFT  8
#define CHANGE_TAG_SHIFT 24

struct change;

/* Another VM. */
struct member {
	char *name;
	struct pw_address address;
	bool has_address;
	bool listed; /**< in the last read of all members */
	bool leaving;
	bool needs_permit;
	uint64_t incarnation;
	uint64_t last_heard_us; /**< last pulse; 0: none */
	uint64_t last_heard_sequence;
	uint64_t next_sequence; /**< of the next pulse to it */
	uint64_t sent_us[PULSE_SENT_TIMES];
	uint64_t delegated_until_us; /**< end of the last permission that was lent to it */
	uint64_t promised_until_us;  /**< it claims no change of primary until then */
	int64_t settled_revision;
	int64_t confirmed_revision;
	struct pw_pulse pulse; /**< the last one; `groups` is NULL before it */
};

/* What a gateway task has reported. */
struct gateway_view {
	int64_t settled_revision;
	GHashTable *contacts; /**< group -> struct pw_primary_contact */
};

/* Demand of a client account. */
struct account_demand {
	struct pw_demand own;
	double rate_per_s;            /**< of the catalogue */
	double broadcast_per_s;       /**< when all members were told */
	uint64_t last_within_rate_us; /**< when the demand of the fleet was last inside the rate */
};

struct cluster {
	struct pw_task task;
	const struct pw_directory *directory;
	struct pw_catalog *catalog;
	struct pw_server_list *servers;
	struct pw_primaries *primaries;
	struct pw_catalog_freshness freshness; /**< of what this VM has read */
	GHashTable *record_since; /**< group -> time since when its present record is known */
	struct gateway_view *gateways;
	struct pw_timer tick;
	uint64_t started_us;

	/* Membership. */
	char *member_key;
	char *members_prefix;
	char *primaries_key;
	uint64_t incarnation;
	int64_t lease_id; /**< 0: not registered */
	bool registered;
	bool primaries_read;  /**< the record was read after the registration */
	bool renewal_pending; /**< a renewal is under way */
	bool renewal_ok;      /**< the last renewal succeeded */
	bool watching_primaries;
	bool leaving;
	bool create_pending;
	bool refresh_pending;           /**< a read of the record is under way */
	uint64_t refresh_not_before_us; /**< it is not read again before */
	uint64_t newer_record_since_us; /**< when another VM was first heard to have a newer one */
	uint64_t store_call_sent_us;    /**< when the last grant, registration or read was sent */
	uint64_t renewal_sent_us;
	uint64_t permit_until_us;           /**< from the store; may be lent */
	uint64_t delegated_permit_until_us; /**< from another member */
	uint64_t own_promise_until_us;      /**< this VM claims no change of primary until then */
	struct pw_timer member_timer;
	struct pw_timer members_timer;

	/* Datagrams. */
	struct pw_source socket;
	GHashTable *members; /**< name -> struct member */
	struct pw_timer pulse_timer;
	uint32_t next_pulse_member; /**< member that gets the next pulse, of many */
	uint64_t last_broadcast_us; /**< when all members got one */
	int64_t broadcast_confirmed_revision;

	/* Positions of primaries, of this VM and of others. */
	GHashTable *positions;         /**< group -> struct pw_seen_position, the newest */
	GHashTable *changed_positions; /**< set of groups whose gateways are to be told */
	uint32_t next_position_group;  /**< group whose position goes into the next pulse */

	/* Accounts: name -> struct account_demand. */
	GHashTable *demands;

	/* Changes of primary. */
	struct pw_promoter *promoter;
	GHashTable *changes;            /**< group -> struct change */
	GHashTable *primary_checked_us; /**< group -> time of the last check for others */
	GHashTable *demoted_since;      /**< group -> time since when its primary says "replica" */
	uint64_t last_change_number;
	GPtrArray *ended_changes; /**< whose memory the tick releases */
	GPtrArray *ended_queries;
};

static inline uint64_t cluster_now_us(const struct cluster *c)
{
	return pw_loop_now_us(c->task.loop);
}

static inline void cluster_send_to_store(struct cluster *c, struct pw_msg *m)
{
	pw_mailbox_send(c->directory->store, m);
}

/* cluster.c */
/** @return end of the permission that all other members' promises make up; 0 for none */
uint64_t cluster_promised_permit_until_us(const struct cluster *c);
/** Sends primaries and permission to the gateways. */
void cluster_publish_primaries(struct cluster *c);
/** Lets the gateways look whether they reach the primary of a group. */
void cluster_check_primary(struct cluster *c, const char *group);
/** Takes over a newer record of primaries; takes ownership. */
void cluster_apply_primaries(struct cluster *c, struct pw_primaries *p);
/** @return since when the present record of a group is known */
uint64_t cluster_record_since_us(const struct cluster *c, const char *group);
/** @return record in force at all gateways of this VM */
int64_t cluster_settled_revision(const struct cluster *c);
/** @return the same, once also those have it in force that this VM has lent a permission to */
int64_t cluster_confirmed_revision(struct cluster *c);

/* cluster_member.c */
/** Reads the record of primaries, since a member has a newer one. */
void member_refresh_primaries(struct cluster *c);
void member_start(struct cluster *c);
void member_stop(struct cluster *c);
void member_handle_result(struct cluster *c, uint64_t tag, struct pw_store_result *r);
/** Removes this VM's entry. */
void member_leave(struct cluster *c);
/** Creates the record, or adds groups that have none. */
void member_create_primaries(struct cluster *c);
/** Takes a member of the registry over. @return the member */
struct member *member_add_listed(struct cluster *c, const struct pw_store_kv *kv);

/* cluster_pulse.c */
int pulse_start(struct cluster *c);
void pulse_stop(struct cluster *c);
/** Sends a pulse to every member now. */
void pulse_broadcast(struct cluster *c);
/** @return time between two pulses from one member to another */
uint64_t pulse_member_interval_us(const struct cluster *c);
/** Tells all members of demand that has grown. */
void pulse_broadcast_demand(struct cluster *c);
struct member *pulse_get_member(struct cluster *c, const char *name);
/** @return whether the member was heard of recently */
bool pulse_is_member_live(const struct cluster *c, const struct member *m);
/** @return whether the pulse answers one of this process whose time is still known */
bool pulse_echoes_known_send(const struct cluster *c, const struct member *m,
			     const struct pw_pulse *p);

/* cluster_position.c */
void position_start(struct cluster *c);
void position_stop(struct cluster *c);
/** Notes what a gateway of this VM has seen. */
void position_record_own(struct cluster *c, const struct pw_primary_contact *x);
/** Adds the newest positions to the groups of a pulse. */
void position_add_to_pulse(struct cluster *c, struct pw_pulse *p);
/** Takes the positions of another VM's pulse. */
void position_handle_pulse(struct cluster *c, const struct member *m, const struct pw_pulse *p);
/** Tells the gateways what other VMs have seen. */
void position_publish(struct cluster *c);

/* cluster_change.c */
void change_start(struct cluster *c);
/** Starts, continues and ends changes. */
void change_tick(struct cluster *c);
void change_handle_result(struct cluster *c, uint64_t tag, struct pw_store_result *r);
/** Gives up what is open: the others no longer count on this VM's promises. */
void change_abort_unordered(struct cluster *c);
void change_stop_all(struct cluster *c);

/* cluster_report.c: the status of one server, by a connection of its own. */

struct status_query;

/** Answer of a server, or the lack of one. */
struct status_query_ops {
	/** @param row NULL without an answer; `r` is not to be used afterwards */
	void (*done)(void *owner, struct status_query *q, const struct pw_server_report *row);
};

/**
 * Asks a server for its status; `done` is called once, with NULL when there is no answer.
 *
 * @param step_down_term 0, or term above that of a primary which is to become a replica
 */
struct status_query *status_query_start(struct cluster *c, const struct pw_server_entry *e,
					uint64_t step_down_term, const struct status_query_ops *ops,
					void *owner);
/** The owner no longer waits. */
void status_query_cancel(struct status_query *q);

#endif
