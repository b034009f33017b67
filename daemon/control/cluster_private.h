/*
 * State and functions that the parts of the cluster task share: membership and the permit to use
 * the primaries (cluster_member.c), heartbeat datagrams or pulses (cluster_pulse.c), log positions
 * of primaries that other VMs have seen (cluster_position.c), replica sets (cluster_replicas.c),
 * eras of the store (cluster_era.c), and changes of primary (cluster_change.c, cluster_status.c).
 * cluster.c owns the task and dispatches its messages.
 *
 * Terms: A permit allows this VM to send work to the primaries until a point in time. Renewals of
 * the member's lease at the store extend it; without the store, another VM may delegate its own
 * permit, or all others may promise to claim no change of primary. The primaries record is the
 * stored record of all primaries. A VM claims a change of primary when it marks a group as changing
 * in the record. Each change takes the next fencing token of the record, which becomes the
 * generation of the new primary; the log calls both the term. A gateway has settled a record once
 * it has applied the record and has no statement or transaction left at the primary of any group
 * that the record marks as changing. A VM has settled a record once all its gateways have. A VM has
 * confirmed a record once it and all members to which it has delegated a still valid permit have
 * settled the record.
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
#include "pw/decide/replica_set.h"
#include "store.h"

/*
 * TTL of the lease of the member's entry. It is longer than a permit, since a change of primary
 * does not wait for a VM without an entry. It is only a little longer, so that a change does not
 * wait long for a VM that has crashed.
 */
#define MEMBER_LEASE_TTL_US (2400 * PW_US_PER_MS)
/*
 * Mean interval of reads of the member list. In a large fleet it is this multiple of the time
 * between two regular pulses to a member. In between, new members announce themselves by pulses.
 */
#define MEMBERS_READ_INTERVAL_US     (10 * PW_US_PER_S)
#define MEMBERS_READ_PULSE_INTERVALS 10
/* Timeout of a renewal, so that a lost one is repeated before the permit expires. */
#define RENEWAL_TIMEOUT_US (600 * PW_US_PER_MS)
/*
 * Delay before a failed call to the store is retried. Calls for the permit choose a random delay
 * between half of it and all of it.
 */
#define CLUSTER_RETRY_DELAY_US (250 * PW_US_PER_MS)
/*
 * Interval of pulses. Up to PULSE_FULL_MESH_MAX other members get one each time. In a larger fleet
 * PULSE_FANOUT members get one each time, round-robin, so that the cost for a VM does not grow with
 * the fleet.
 */
#define PULSE_INTERVAL_US   (250 * PW_US_PER_MS)
#define PULSE_FULL_MESH_MAX 16
#define PULSE_FANOUT        8
/*
 * Number of VMs of a larger fleet that collect the promises of all others while the store is down.
 * One would be enough; the second one covers for its failure.
 */
#define PROMISE_COLLECTOR_COUNT 2
/*
 * A VM of a larger fleet that needs a permit asks only the member that delegated one to it last, as
 * long as that permit has this much left: a member that renews its own always delegates more. The
 * rest is time to find another member. Each VM that delegates can confirm a mark only after the one
 * that it helps.
 */
#define HELPER_PERMIT_MIN_US (600 * PW_US_PER_MS)
/* Minimum time between two records of primaries to a member, and between two with one revision. */
#define RECORD_MIN_INTERVAL_US    (100 * PW_US_PER_MS)
#define RECORD_RESEND_INTERVAL_US PULSE_INTERVAL_US
/* Minimum time between two announcements of demand. */
#define DEMAND_ANNOUNCE_MIN_INTERVAL_US (500 * PW_US_PER_MS)
/* Minimum interval of checks of a group's primary that some VM cannot reach. */
#define PRIMARY_CHECK_MIN_INTERVAL_US (400 * PW_US_PER_MS)
/*
 * Number of VMs to which a change of a vote is announced, and which check the primary then: the
 * first two may be lost as well.
 */
#define VOTE_RECEIVER_COUNT 3
/* A member counts as live for this many of its pulse intervals after its last pulse. */
#define PULSE_LIVE_INTERVAL_COUNT 5
/*
 * A read of the catalogue or the servers is announced to all members at once if it is newer than
 * the last known one by more than this.
 */
#define FRESHNESS_BROADCAST_STEP_US (1000 * PW_US_PER_MS)
/* Interval at which changes of primary and shares of rates are decided. */
#define CLUSTER_TICK_INTERVAL_US (100 * PW_US_PER_MS)
/* Number of pulses to each member whose send times are kept; an echo of an older one is ignored. */
#define PULSE_SENT_TIME_COUNT 64

/* Tags of calls to the store. */
enum cluster_tag {
	TAG_LEASE_GRANT,
	TAG_REGISTER,
	TAG_LEASE_RENEW,
	TAG_PRIMARIES_READ, /**< read that a permit requires, unless the watch is intact */
	TAG_PRIMARIES_WATCH,
	TAG_PRIMARIES_REFRESH, /**< read of a newer record that another member has */
	TAG_MEMBERS_READ,
	TAG_PRIMARIES_CREATE,
	TAG_PRIMARIES_RESTORE, /**< record of an earlier era, written again */
	TAG_REVOKE_OWN_LEASE,
	TAG_REPLICA_SETS, /**< record with other replica sets */
	/*
	 * Calls for a change of primary. The tag also holds the index of the lease to revoke, from
	 * bit LEASE_TAG_SHIFT, and the number of the change, from bit CHANGE_TAG_SHIFT.
	 */
	TAG_CLAIM,
	TAG_CHANGE_MEMBERS,
	TAG_REVOKE_LEASE,
	TAG_RECORD_PRIMARY,
	TAG_CLEAR_MARK,
};

#define LEASE_TAG_SHIFT  8
#define CHANGE_TAG_SHIFT 24

struct change;

/* Another VM of the fleet. */
struct member {
	char *name;
	uint32_t name_hash; /**< for the rank, see pw_change_rank_weight() */
	struct pw_address address;
	bool has_address;
	bool listed; /**< its entry was found since the last read of all members began */
	bool leaving;
	bool needs_permit;       /**< it cannot renew its permit at the store */
	bool has_lost_vote;      /**< it cannot reach some primary, by its pulses */
	uint64_t incarnation;    /**< identifies the process that sent its last pulse; 0: none */
	uint64_t known_since_us; /**< when this VM learned of it */
	uint64_t last_heard_us;  /**< arrival of its last pulse; 0: none */
	uint64_t last_heard_sequence;            /**< sequence number of that pulse */
	uint64_t next_sequence;                  /**< sequence number of the next pulse to it */
	uint64_t sent_us[PULSE_SENT_TIME_COUNT]; /**< send times, by sequence number modulo size */
	uint64_t delegated_until_us; /**< latest end of a permit that this VM delegated to it */
	uint64_t helped_us;          /**< when it last delegated a permit to this VM; 0: never */
	uint64_t helped_until_us;    /**< latest end of such a permit */
	uint64_t promised_until_us; /**< it has promised to claim no change of primary until then */
	int64_t primaries_revision; /**< of the record that it knows; 0: none */
	int64_t settled_revision;   /**< newest record that it has settled */
	int64_t sent_revision;      /**< of the last record that was sent to it; 0: none */
	uint64_t record_sent_us;    /**< when that was sent */
	int64_t confirmed_revision; /**< newest record that it has confirmed */
	struct pw_pulse pulse;      /**< the last one from it; `groups` is NULL before the first */
};

/* Last report of a gateway task. */
struct gateway_state {
	int64_t settled_revision; /**< newest record that it has settled */
	GHashTable *reachability; /**< group -> struct pw_primary_reachability */
};

/* Demand of a client account at this VM. */
struct account_demand {
	struct pw_demand own;
	struct pw_demand own_urgent;  /**< part of it with the highest priority of all routes */
	double others_urgent_per_s;   /**< as others_per_s */
	double rate_per_s;            /**< limit of the account in the catalogue */
	double others_per_s;          /**< total of the other live members, as of the last tick */
	double announced_per_s;       /**< demand in the last announcement */
	uint64_t last_within_rate_us; /**< when the fleet's demand was last within the rate */
};

struct cluster {
	struct pw_task task;
	const struct pw_directory *directory;
	struct pw_catalog *catalog;
	struct pw_server_list *servers;
	struct pw_primaries *primaries;
	struct pw_catalog_freshness freshness; /**< of the catalogue and servers that this VM has */
	struct pw_catalog_freshness heard_freshness; /**< the newest that other VMs have told */
	GHashTable *record_since_us; /**< group -> since when its current entry is known */
	struct gateway_state *gateways;
	struct pw_timer tick_timer;
	uint64_t started_us;
	uint32_t own_name_hash; /**< like `name_hash` of a member */

	/* Membership. */
	char *own_member_key;
	char *members_prefix;
	char *primaries_key;
	uint64_t incarnation;      /**< random number that identifies this process of the VM */
	int64_t lease_id;          /**< lease of this VM's entry; 0: none */
	bool registration_pending; /**< a grant of a lease, or a registration, is in flight */
	bool registered;           /**< the entry was written with the lease */
	int64_t entry_revision; /**< revision of the entry that the registration replaces; 0: none
				 */
	bool primaries_current; /**< the record was read after registration; its watch is intact */
	bool renewal_pending;   /**< a renewal is in flight */
	bool renewal_ok;        /**< the last renewal of the permit succeeded */
	bool watching_primaries;
	bool leaving;
	bool create_pending;             /**< a creation of the record is in flight */
	bool refresh_pending;            /**< a refresh of the record is in flight */
	uint64_t refresh_not_before_us;  /**< earliest time of the next refresh */
	uint64_t newer_record_since_us;  /**< when a newer record was first reported; 0: none */
	uint64_t primaries_read_sent_us; /**< when the last read for the permit was sent */
	uint64_t renewal_sent_us;        /**< when the last renewal was sent */
	int64_t renewal_lease_id;        /**< lease of that renewal */
	uint64_t permit_until_us;        /**< end of the permit from the store; 0: none yet */
	bool lease_without_permit;       /**< no permit was derived from the lease yet */
	/** End of the permit under the lease before that one, if a group was marked then. */
	uint64_t drain_limit_us;
	uint64_t delegated_permit_until_us; /**< end of the permit that a member has delegated */
	uint64_t published_permit_until_us; /**< end of the permit that the gateways know */
	uint64_t permitted_since_us;        /**< since when they have had one without a break */
	uint64_t own_promise_until_us; /**< this VM has promised to claim no change until then */
	struct pw_timer permit_timer;  /**< next step towards a permit, or next renewal */
	struct pw_timer member_list_timer; /**< next read of all members */
	bool members_read_pending;         /**< a read of all members is in progress */
	uint64_t members_read_us;          /**< when the last complete one ended; 0: none yet */
	char *last_member_key; /**< last key of the pages of this read; NULL: none was read */

	/* Eras of the store. */
	uint32_t era;                   /**< newest era seen; 0: none, or the store has none */
	uint64_t era_since_us;          /**< when it was first seen; 0: none yet */
	uint64_t restore_wait_until_us; /**< until when a record is left to other VMs; 0: none */
	bool restore_pending;           /**< the write of a record of an earlier era is in flight */
	GHashTable *dead_marks;         /**< set of groups, see era_add_dead_mark(); NULL: none */

	/* Pulses. */
	struct pw_source socket_source;
	GHashTable *members; /**< name -> struct member */
	struct pw_timer pulse_timer;
	uint32_t next_pulse_member;   /**< index by name; for round-robin */
	uint64_t demand_announced_us; /**< when demand was last announced */
	GHashTable *announced_losses; /**< set of groups whose primary is announced as lost */
	int64_t announced_confirmed_revision; /**< confirmed revision as the others know it */

	/* Log positions of primaries that this VM or others have seen. */
	GHashTable *positions;               /**< group -> newest struct pw_seen_position */
	GHashTable *changed_position_groups; /**< set of groups, to be sent to the gateways */
	uint32_t next_position_group;        /**< counter; group in the next pulse, round-robin */

	/* Replica sets. */
	GHashTable *replica_changes; /**< group -> struct replica_change */
	GPtrArray *unrecorded; /**< struct pw_server_entry: was registered, and never in the set */
	GHashTable *left_out;  /**< id of a registered server -> when it was taken out of its set */
	struct pw_primaries *written_sets; /**< record whose write is in flight; NULL: none */
	uint64_t sets_not_before_us;       /**< earliest time of the next write */
	int64_t lost_set_revision; /**< revision that a write without an answer replaces; 0: none */
	struct pw_replica_forget_msg *forget_request; /**< `written_sets` is for it; NULL: none */
	GHashTable *waits; /**< group -> struct replica_wait, see replica_status_set_wait() */

	/* Accounts: name -> struct account_demand. */
	GHashTable *demands;

	/* Changes of primary. */
	struct pw_promoter *promoter;
	GHashTable *changes;            /**< group -> struct change */
	GHashTable *primary_checked_us; /**< group -> time of the last check of its primary */
	GHashTable *entry_faults;       /**< group -> struct entry_fault of its primary */
	uint64_t last_change_number;
	GPtrArray *ended_changes; /**< to be freed by the tick */
	GHashTable *queries;      /**< set of struct status_query in flight */
	GPtrArray *ended_queries; /**< to be freed by the tick */
};

static inline uint64_t cluster_now_us(const struct cluster *c)
{
	return pw_loop_now_us(c->task.loop);
}

static inline void cluster_send_to_store(struct cluster *c, struct pw_msg *m)
{
	pw_mailbox_send(c->directory->store, m);
}

/** @return whether regular pulses go to some members in turn, not to all */
static inline bool cluster_is_large_fleet(const struct cluster *c)
{
	return g_hash_table_size(c->members) > PULSE_FULL_MESH_MAX;
}

/* cluster.c */
/**
 * @return until when all other members have promised to claim no change of primary, which permits
 *         this VM to use the primaries while it does not reach the store; 0: none
 */
uint64_t cluster_promised_permit_until_us(const struct cluster *c);
/** Sends the primaries and the end of the permit to the gateways and the admin task. */
void cluster_publish_primaries(struct cluster *c);
/**
 * Asks the gateways to check whether they reach the primary of a group, at most once in
 * PRIMARY_CHECK_MIN_INTERVAL_US.
 */
void cluster_check_primary(struct cluster *c, const char *group);
/**
 * Replaces the primaries record if the store still has the revision of `record` (compare-and-swap).
 *
 * @param tag of the result
 */
void cluster_write_primaries(struct cluster *c, const struct pw_primaries *record, uint64_t tag);
/** Applies a primaries record if it is newer than the current one. Takes ownership of it. */
void cluster_apply_primaries(struct cluster *c, struct pw_primaries *record);
/**
 * Applies the record that another VM has written, from the result of a failed compare-and-swap.
 *
 * @return false if the result contains no valid record
 */
bool cluster_apply_conflicting_record(struct cluster *c, const struct pw_store_txn_result *r);
/** @return since when this VM knows the current entry of a group in the record; 0: no entry */
uint64_t cluster_record_since_us(const struct cluster *c, const char *group);
/** @return revision of the newest primaries record that all gateways of this VM have settled */
int64_t cluster_settled_revision(const struct cluster *c);
/**
 * Combines what the gateways of this VM know about the reachability of a group's primary. A gateway
 * that has lost contact with it overrides gateways that reach it. Without a permit they send
 * nothing to primaries, so contact neither counts as lost then nor as lost since before.
 *
 * @param unreachable_since_us receives since when contact is lost; 0: it is not
 * @return whether the primary answered recently and no gateway has lost contact with it
 */
bool cluster_reaches_primary(const struct cluster *c, const struct pw_primary *primary,
			     uint64_t *unreachable_since_us);
/**
 * @return revision of the newest primaries record that this VM has confirmed; 0 for the first
 *         PW_PERMIT_DURATION_US, while permits that an earlier process of this VM has delegated
 *         may still be valid
 */
int64_t cluster_confirmed_revision(struct cluster *c);

/* cluster_member.c */
/** Reads the primaries record when a member has a newer one that the watch has not brought. */
void member_refresh_primaries(struct cluster *c);
void member_start(struct cluster *c);
void member_stop(struct cluster *c);
void member_handle_result(struct cluster *c, uint64_t tag, struct pw_store_result *r);
/** Registers this VM under a new lease, since the store was restored and may lack its own. */
void member_register_again(struct cluster *c);
/** Announces that this VM leaves, and revokes its lease, which removes its entry. */
void member_leave(struct cluster *c);
/**
 * Creates the primaries record, or adds the groups that it lacks. A group's primary is a server
 * whose entry claims to be primary; a group without one is left out.
 */
void member_create_primaries(struct cluster *c);
/** Adds or updates a member from its entry. @return member, or NULL for this VM or a bad entry */
struct member *member_add_listed(struct cluster *c, const struct pw_store_kv *kv);

/* cluster_pulse.c */
int pulse_start(struct cluster *c);
void pulse_stop(struct cluster *c);
/** Sends a pulse to every member now; in a large fleet a notice without groups and accounts. */
void pulse_broadcast(struct cluster *c);
/**
 * Sends the record of primaries to the members to which this VM has delegated a permit and, in a
 * small fleet, to all that cannot read it at the store, so that a change need not wait for the end
 * of their permits. Called when the record changes, and at each tick for the members that have been
 * sent another one just before.
 */
void pulse_send_record(struct cluster *c);
/**
 * In a large fleet, asks a member to tell at once which record it has settled and confirmed. In a
 * small one the next regular pulse tells it.
 */
void pulse_ask_settled(struct cluster *c, struct member *m);
/** @return interval between two pulses from one member to another */
uint64_t pulse_member_interval_us(const struct cluster *c);
/**
 * In a large fleet, tells the VMs that would be the first to change a primary whether this VM
 * reaches it, once that has changed.
 */
void pulse_announce_votes(struct cluster *c);
/**
 * Tells the VMs that wait for it which record this VM has confirmed: in a large fleet those that
 * lead a change, otherwise all.
 */
void pulse_announce_confirmation(struct cluster *c);
/** In a large fleet, announces demand to all members; see pw_demand_should_announce(). */
void pulse_announce_demand(struct cluster *c);
/** @return member of that name, which is added if it is new */
struct member *pulse_get_member(struct cluster *c, const char *name);
/** @return whether a pulse from the member has arrived recently and it is not leaving */
bool pulse_is_member_live(const struct cluster *c, const struct member *m);
/** @return whether the pulse echoes one of this process whose send time is still known */
bool pulse_has_known_echo(const struct cluster *c, const struct member *m,
			  const struct pw_pulse *p);

/* cluster_position.c */
void position_start(struct cluster *c);
void position_stop(struct cluster *c);
/** Records the newest position that a gateway of this VM knows. */
void position_record_own(struct cluster *c, const struct pw_primary_reachability *reachability);
/** Adds the newest positions of the next few groups to a pulse. */
void position_add_to_pulse(struct cluster *c, struct pw_pulse *p);
/** Records the positions in another VM's pulse. */
void position_handle_pulse(struct cluster *c, const struct member *m, const struct pw_pulse *p);
/** Sends positions that other VMs have seen to the gateways. */
void position_publish(struct cluster *c);
/** @return term of the newest position that some VM has seen at this primary; 0: none */
uint64_t position_seen_term(const struct cluster *c, const struct pw_primary *primary);

/* cluster_replicas.c */
void replicas_start(struct cluster *c);
/** Called before the status queries are stopped. */
void replicas_stop(struct cluster *c);
/** Finds out which sets have to be written; called when record, servers or catalogue change. */
void replicas_update(struct cluster *c);
/** Remembers the servers that the next record leaves out; called before it is applied. */
void replicas_note_left_out(struct cluster *c, const struct pw_primaries *next);
/** Keeps the servers that the next list lacks and no set has had; called before it is applied. */
void replicas_keep_unrecorded(struct cluster *c, const struct pw_server_list *next);
/** Goes on with the proofs, and writes the sets that may be written. */
void replicas_tick(struct cluster *c);
void replicas_handle_result(struct cluster *c, const struct pw_store_result *r);
/**
 * Lists the replicas that are not registered and may hold an acknowledged commit.
 *
 * @return struct pw_server_entry; the caller unrefs the array
 */
GPtrArray *replicas_list_missing(const struct cluster *c, const struct pw_primary *primary);
/** @return a replica set of the servers that are registered for the group */
GPtrArray *replicas_registered_set(const struct cluster *c, const char *group);
/**
 * Returns the replica set with which a group is added to the record: no VM has used its primary
 * before, so no commit was acknowledged to callers.
 *
 * @return NULL if replication is asynchronous, or if the store was restored from a copy, which may
 *         lack an earlier record; otherwise the caller takes it over
 */
GPtrArray *replicas_first_set(const struct cluster *c, const char *group);
/** @return whether a registered server has stopped, and its log is at a new one at its address */
bool replicas_has_successor(const struct cluster *c, const struct pw_server_entry *e);

/** @return number of synchronous replicas of the group; 0: asynchronous, or not in the catalogue */
uint32_t replicas_sync_count(const struct cluster *c, const char *group);
/** Writes the record with other replica sets, which it takes over; none may be in flight. */
void replicas_write(struct cluster *c, struct pw_primaries *record);

/* cluster_replica_status.c */
void replica_status_start(struct cluster *c);
void replica_status_stop(struct cluster *c);
/** Tells the administration API the replica sets and what changes of primary wait for. */
void replica_status_publish(struct cluster *c);
/**
 * Records for the status of this VM which servers a change of primary waits for, until the primary
 * is reached or replaced.
 *
 * @param missing ids of the servers
 */
void replica_status_set_wait(struct cluster *c, const struct pw_primary *primary,
			     const GPtrArray *missing);
/** Ends the waits of groups whose primary is reached again or was replaced. */
void replica_status_end_waits(struct cluster *c);
/** Handles a request of an operator, which is answered when the store has. Takes it over. */
void replica_status_forget(struct cluster *c, struct pw_replica_forget_msg *m);
/**
 * Answers the request that the last write of replica sets was for, if there is one.
 *
 * @param text JSON or an error message
 */
void replica_status_answer(struct cluster *c, int32_t code, const char *text);

/* cluster_era.c */
/**
 * Records the era of a result. In a new era this VM has no lease any more, and its changes whose
 * promotion request was not sent are aborted.
 *
 * @return whether the store was restored since the last result
 */
bool era_observe(struct cluster *c, const struct pw_store_result *r);
/** @return whether the record that this VM knows is of the current era, or it knows none */
bool era_is_record_current(const struct cluster *c);
/**
 * Returns whether this VM may claim a change of primary: all permits of an earlier era are over,
 * whose holders the member list may lack. The VMs then act in the order of their rank.
 */
bool era_may_claim(const struct cluster *c, uint32_t rank);
/** Records that this VM has given up a change whose mark other VMs will write again. */
void era_add_dead_mark(struct cluster *c, const char *group);
/** Clears such marks once the record was written again. */
void era_clear_dead_marks(struct cluster *c);
void era_stop(struct cluster *c);
/**
 * Handles a record that was read. One that lacks what this VM knows of an earlier era, or that was
 * written in an earlier era, is written again.
 *
 * @param record NULL: the store has none
 * @return whether the record may be applied
 */
bool era_accept_record(struct cluster *c, struct pw_primaries *record);

/* cluster_change.c */
void change_start(struct cluster *c);
/**
 * Finds the members that would be the first to change the primary of a group.
 *
 * @param first receives up to `count` members, the first one first
 * @return number of members found
 */
uint32_t change_find_first_members(const struct cluster *c, const struct pw_primary *primary,
				   struct member **first, uint32_t count);
/**
 * Returns the number of members that come before this VM in the order in which VMs act for a group.
 * The order differs between groups, and members that cannot renew their permits are left out.
 *
 * @param only_live leaves out members of which no pulse has arrived lately
 */
uint32_t change_rank(const struct cluster *c, const struct pw_primary *primary, bool only_live);
/** Starts, continues and ends changes. */
void change_tick(struct cluster *c);
void change_handle_result(struct cluster *c, uint64_t tag, struct pw_store_result *r);
/**
 * Aborts the changes whose promotion request was not sent. Called before this VM leaves, since the
 * other members then no longer need its promise to claim no change before they use the primaries,
 * and when the store was restored, since their marks and the member lists may be lost.
 */
void change_abort_before_promotion(struct cluster *c, const char *reason);
/** Ends all changes and frees their state; the promoter was freed before. */
void change_stop_all(struct cluster *c);

/* cluster_status.c: queries of a server's status, each over a connection of its own. */

struct status_query;

/** Receives the result of a query. */
struct status_query_ops {
	/** @param row NULL if there was no answer. `q` must not be used afterwards. */
	void (*done)(void *owner, struct status_query *q, const struct pw_server_status_row *row);
};

/**
 * Queries the status of a server. `done` is called once unless the query is cancelled.
 *
 * @param step_down_term 0: only queries the status; otherwise also tells the server to become a
 *                       replica if it is the primary of a lower term
 * @param owner          argument of `done`; NULL: `done` is not called
 * @return query, or NULL if no connection could be started
 */
struct status_query *status_query_start(struct cluster *c, const struct pw_server_entry *e,
					uint64_t step_down_term, const struct status_query_ops *ops,
					void *owner);
/** Cancels a query without calling `done`. */
void status_query_cancel(struct status_query *q);
/** Cancels the queries of a list, whose items become NULL, and may be before. */
void status_query_cancel_list(GPtrArray *queries);
/** Cancels all queries, also those without an owner. */
void status_query_cancel_all(struct cluster *c);

#endif
