/**
 * @file member.h
 * Membership, heartbeats, epochs of the member table and the quorum lease (docs/design.md 4.5 and
 * 4.8). The caller passes in events and the time, and carries out the actions that are returned.
 *
 * At most one epoch is in use at a time, because any two majorities of an epoch share a member. A
 * VM holds the lease for epoch E while a majority of its members has attested E in echoes of
 * heartbeats that the VM sent less than 2 s ago. Epoch E+1 takes effect 2 s after a majority of E's
 * members is known to attest a later epoch ("settled"). The member that is in both majorities
 * stopped attesting E before that wait began, so every lease for E ends before the wait does.
 * If E has an even number of members, the store has a vote for the lease as well: a read that finds
 * the table of E counts like the echo of a heartbeat that was sent at the same time as the read.
 * Several changes in a row are safe, because E+2 is proposed only when the proposer knows that E+1
 * is settled: the wait for E+2 starts later, so it also covers leases for E.
 *
 * The wait is cut short when nobody can hold the lease for E any more: each member of E has either
 * released its lease for E, after which it never holds it again, or its process has ended. Members
 * release the lease once all of E's members attest E+1 or have ended, so that a change which has to
 * wait costs nobody its lease. This is done only if E itself is in effect, since before that leases
 * for earlier epochs may be held.
 *
 * A process has ended if its address refuses connections, or if a newer process has its name and
 * its address: it listens there for as long as it runs. A network that refuses connections on
 * behalf of a VM would break this; one that drops them does not.
 */
#ifndef PW_DECIDE_MEMBER_H
#define PW_DECIDE_MEMBER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define PW_MEMBER_NAME_SIZE    64
#define PW_MEMBER_ADDRESS_SIZE 64
#define PW_MEMBER_ZONE_SIZE    32

/** Interval between heartbeats. */
#define PW_MEMBER_HEARTBEAT_INTERVAL_US UINT64_C(100000)
/** The process of a member that has not been heard for this long is checked. */
#define PW_MEMBER_CHECK_AFTER_US UINT64_C(250000)
/** Interval between checks of a process, and between the two refusals that show its end. */
#define PW_MEMBER_CHECK_INTERVAL_US UINT64_C(100000)
/** A member that has not been heard for this long is suspected. */
#define PW_MEMBER_SUSPECT_AFTER_US UINT64_C(1000000)
/** A member that a majority has not heard for this long is removed. */
#define PW_MEMBER_LOST_AFTER_US UINT64_C(3000000)
/** Lease duration, counted from the sending of the heartbeats that were echoed. */
#define PW_MEMBER_LEASE_DURATION_US UINT64_C(2000000)
/** A VM that has been missing from the VM list for this long counts as ended by the platform. */
#define PW_MEMBER_ABSENT_LIMIT_US UINT64_C(30000000)
/** The same for a VM that was never on the list; longer, because a new VM is listed late. */
#define PW_MEMBER_NEVER_LISTED_LIMIT_US UINT64_C(60000000)

/** Up to this number of members, every member is a neighbour of every other. */
#define PW_MEMBER_FULL_MESH_MAX 16

/** One member in the member table. */
struct pw_member_entry {
	char name[PW_MEMBER_NAME_SIZE];
	char address[PW_MEMBER_ADDRESS_SIZE];
	char zone[PW_MEMBER_ZONE_SIZE];
	uint64_t incarnation; /**< higher after each start under the same name */
	uint64_t since_epoch; /**< first epoch of this incarnation's unbroken membership */
	bool ended; /**< of a previous member: the proposer of the table knows that it has ended */
};

/** Member table. It is settled once a majority of `previous_members` attests it or a later one. */
struct pw_member_table {
	uint64_t epoch;           /**< 0: no table */
	int64_t mod_revision;     /**< of the key in the store; 0 while the key does not exist */
	GArray *members;          /**< struct pw_member_entry, ordered by name */
	GArray *previous_members; /**< members of the previous epoch, like `members` */
};

void pw_member_table_init(struct pw_member_table *t);
void pw_member_table_dispose(struct pw_member_table *t);
void pw_member_table_copy(struct pw_member_table *to, const struct pw_member_table *from);
/** @return entry of that name, or NULL */
const struct pw_member_entry *pw_member_table_find(const struct pw_member_table *t,
						   const char *name);

/** What a heartbeat's sender last received from one member. */
struct pw_heartbeat_echo {
	char name[PW_MEMBER_NAME_SIZE];
	uint64_t incarnation;
	uint64_t sequence;   /**< highest sequence number received from this member */
	uint32_t silence_ms; /**< time since its last heartbeat was received */
};

/** Heartbeat. The sending task adds the quota hints that go with it. */
struct pw_heartbeat {
	struct pw_member_entry sender;
	uint64_t sequence;
	uint64_t attested_epoch;  /**< newest epoch that the sender has adopted */
	uint64_t settled_epoch;   /**< newest epoch known to be settled */
	uint64_t released_epoch;  /**< the sender never holds the lease for it or an earlier one */
	uint64_t effective_epoch; /**< newest epoch in effect at the sender */
	uint64_t config_revision;
	bool leaving;   /**< the sender is in a planned stop */
	GArray *echoes; /**< struct pw_heartbeat_echo */
};

void pw_heartbeat_init(struct pw_heartbeat *h);
void pw_heartbeat_dispose(struct pw_heartbeat *h);

enum pw_member_vm_state {
	PW_MEMBER_VM_LIVE,
	PW_MEMBER_VM_LEAVING,
};

/** One VM on the platform's VM list; a VM that is not on the list is absent. */
struct pw_member_vm {
	char name[PW_MEMBER_NAME_SIZE];
	enum pw_member_vm_state state;
};

enum pw_member_action_kind {
	PW_MEMBER_SEND_HEARTBEAT, /**< send `heartbeat` to `peer` */
	PW_MEMBER_SEND_TABLE,     /**< send `table` to `peer` */
	PW_MEMBER_PROPOSE,        /**< store `table` by compare-and-swap at table->mod_revision */
	PW_MEMBER_FETCH_TABLE_FROM_PEER, /**< ask `peer` for its table */
	PW_MEMBER_READ_TABLE_FROM_STORE, /**< read the table from the store */
	PW_MEMBER_CHECK_PROCESS, /**< connect to `peer`; see pw_member_connection_refused() */
	/** Stop to use the lease for `epoch`, then call pw_member_lease_released(). */
	PW_MEMBER_RELEASE_LEASE,
	PW_MEMBER_LEASE_GAINED,    /**< this VM holds the lease for `epoch` */
	PW_MEMBER_LEASE_LOST,      /**< this VM no longer holds the lease for `epoch` */
	PW_MEMBER_EPOCH_EFFECTIVE, /**< `epoch` has taken effect; `table` lists its members */
	PW_MEMBER_JOINED,          /**< `peer`, which may be this VM, is new in the newest table */
	PW_MEMBER_SUSPECTED,       /**< `peer` has not been heard for 1 s */
	PW_MEMBER_REMOVED, /**< `peer`, which may be this VM, is no longer in the newest table */
	PW_MEMBER_LEAVING, /**< `peer` has started a planned stop */
	PW_MEMBER_LEFT,    /**< this VM is out of the table after pw_member_start_leaving() */
};

/**
 * Something that the caller has to do or that has happened. Its pointers are valid until the next
 * event.
 */
struct pw_member_action {
	enum pw_member_action_kind kind;
	struct pw_member_entry peer;
	uint64_t epoch;
	const struct pw_heartbeat *heartbeat;
	const struct pw_member_table *table;
};

/** Switches that turn a safety mechanism off, so that tests can show that its loss is detected. */
enum pw_member_unsafe {
	PW_MEMBER_UNSAFE_NO_LEASE_CHECK = 1u << 0, /**< the lease is always held */
	PW_MEMBER_UNSAFE_NO_EPOCH_WAIT = 1u << 1,  /**< an epoch takes effect when settled */
};

#define PW_MEMBER_OPTIONS_VERSION 1
#define PW_MEMBER_OPTIONS_INIT                       \
	{                                            \
		.version = PW_MEMBER_OPTIONS_VERSION \
	}

struct pw_member_options {
	uint32_t version;
	struct pw_member_entry self; /**< name, address, zone, incarnation */
	uint32_t unsafe;             /**< enum pw_member_unsafe; 0 outside tests */
};

/** Result of a compare-and-swap of the table in the store. */
enum pw_member_swap_status {
	PW_MEMBER_SWAP_DONE,
	PW_MEMBER_SWAP_CONFLICT,  /**< the store has another mod_revision */
	PW_MEMBER_SWAP_NO_ANSWER, /**< it is not known whether the swap was done */
};

struct pw_member;

/** @return 0, or PW_EINVALID for an unknown version, or without a name or an incarnation */
int pw_member_new(struct pw_member **out, const struct pw_member_options *options);
void pw_member_free(struct pw_member *m);

/* Events. `actions` is a GArray of struct pw_member_action that the call appends to. */

/** To be called every 10 to 100 ms. */
void pw_member_tick(struct pw_member *m, uint64_t now_us, GArray *actions);
void pw_member_heartbeat_received(struct pw_member *m, const struct pw_heartbeat *h,
				  uint64_t now_us, GArray *actions);
/** Handles a table from a peer. A table of the same or an older epoch is not adopted. */
void pw_member_table_received(struct pw_member *m, const struct pw_member_table *t, uint64_t now_us,
			      GArray *actions);
/**
 * Result of PW_MEMBER_READ_TABLE_FROM_STORE.
 *
 * @param t            the table; epoch 0 when the key does not exist
 * @param read_sent_us time at which the read was sent, from which the store's vote is valid
 */
void pw_member_store_read_done(struct pw_member *m, const struct pw_member_table *t,
			       uint64_t read_sent_us, uint64_t now_us, GArray *actions);
/**
 * Result of PW_MEMBER_PROPOSE.
 *
 * @param t the table now in the store, with its mod_revision; NULL if there was no answer
 */
void pw_member_swap_result(struct pw_member *m, enum pw_member_swap_status result,
			   const struct pw_member_table *t, uint64_t now_us, GArray *actions);
/**
 * Result of PW_MEMBER_CHECK_PROCESS: the peer's address has refused the connection. Other results
 * are not reported.
 */
void pw_member_connection_refused(struct pw_member *m, const struct pw_member_entry *e,
				  uint64_t now_us, GArray *actions);
/** Result of PW_MEMBER_RELEASE_LEASE: nothing of this VM uses the lease for `epoch` any more. */
void pw_member_lease_released(struct pw_member *m, uint64_t epoch, uint64_t now_us,
			      GArray *actions);
/** Handles a new VM list from the platform. */
void pw_member_vm_list_received(struct pw_member *m, const struct pw_member_vm *vms, uint32_t count,
				uint64_t now_us, GArray *actions);
/** Starts a planned stop: this VM leaves the table and does not join again. */
void pw_member_start_leaving(struct pw_member *m, uint64_t now_us, GArray *actions);
/** Sets the configuration revision that heartbeats carry. */
void pw_member_set_config_revision(struct pw_member *m, uint64_t revision);

/* Queries. */

/**
 * Whether the lease for the epoch in effect is held.
 *
 * @param until_us set to the end of the lease, also if past, or to 0 without a majority; not set
 *                 if this VM is not a member of the epoch in effect; may be NULL
 */
bool pw_member_holds_lease(const struct pw_member *m, uint64_t now_us, uint64_t *until_us);
/** @return epoch in effect; 0 for none */
uint64_t pw_member_effective_epoch(const struct pw_member *m);
/** @return newest table adopted */
const struct pw_member_table *pw_member_newest_table(const struct pw_member *m);
/** @return table of the epoch in effect */
const struct pw_member_table *pw_member_effective_table(const struct pw_member *m);
/** @return whether the member of that name is this VM or was heard within 1 s */
bool pw_member_is_live(const struct pw_member *m, const char *name, uint64_t now_us);
/**
 * @return a lower bound of the time at which a peer made `h`: the send time of this VM's newest
 * heartbeat that `h` echoes; 0 if none
 */
uint64_t pw_member_heartbeat_sent_after_us(const struct pw_member *m, const struct pw_heartbeat *h);
/**
 * Appends the names (const char *) of the members to which this VM forwards revisions. With up to
 * PW_MEMBER_FULL_MESH_MAX members these are all others. With more, they are those that follow this
 * VM at the distances 1, 2, 4, ... in the cyclic order of names, or none if it is not a member. The
 * names are valid until the next event.
 */
void pw_member_append_neighbours(const struct pw_member *m, GPtrArray *out);
/** @return number of members that precede `name` in the rendezvous-hashing order for `key` */
uint32_t pw_member_rendezvous_rank(const GArray *members, const char *name, const char *key);

#endif
