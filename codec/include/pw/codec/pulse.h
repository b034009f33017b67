/**
 * @file pulse.h
 * Protobuf encoding of pulses, the heartbeat datagrams between the VMs of a fleet. Besides the
 * liveness of its sender, a pulse carries delegated permits to use the primaries and promises not
 * to change them, positions of primaries, and demands of client accounts.
 */
#ifndef PW_CODEC_PULSE_H
#define PW_CODEC_PULSE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pw/decide/position.h"

/** Maximum size of a datagram, which common networks do not fragment. */
#define PW_PULSE_MAX_BYTES 1400
/** Maximum size of one with a record of primaries, which is seldom sent. */
#define PW_PULSE_RECORD_MAX_BYTES 16384

/** What the sender knows about the primary of a group. */
struct pw_pulse_group {
	char *name;
	uint64_t generation;     /**< of the primary */
	uint32_t unreachable_ms; /**< time since contact with the primary was lost; 0: not lost */
	bool is_reachable;       /**< the primary answered recently */
	uint64_t heard_us;       /**< set by the receiver: when the above was heard; not encoded */
	struct pw_position position; /**< newest known position of the primary */
	/**
	 * Time of the sender's clock; `position` covers all commits acknowledged before it. 0: no
	 * position is known.
	 */
	uint64_t statement_sent_us;
};

/** Demand of a client account at the sender. */
struct pw_pulse_account {
	char *name;
	float demand_per_s;        /**< operations per second */
	float urgent_demand_per_s; /**< those with the highest priority of all routes */
};

struct pw_pulse {
	char *sender;         /**< name of the VM */
	char *address;        /**< IP:PORT for replies */
	uint64_t incarnation; /**< random number of the sender's process */
	uint64_t sequence;    /**< increases with every pulse to the receiver */
	/* The echo: the newest pulse that the sender has received from the receiver. */
	uint64_t echo_incarnation; /**< incarnation of the receiver */
	uint64_t echo_sequence;
	uint64_t echo_heard_us;       /**< its arrival time by the sender's clock; 0: none */
	uint32_t delegated_permit_ms; /**< rest of the permit delegated to the receiver; 0: none */
	/** Time for which the sender promises to start no change of a primary; 0: no promise. */
	uint32_t no_change_promise_ms;
	int64_t primaries_revision; /**< of the sender's record of primaries; 0: none */
	int64_t settled_revision;   /**< newest record whose marks of changes the sender applies */
	/**
	 * Newest record whose marks of changes are applied by the sender and by each VM to which it
	 * has delegated a permit.
	 */
	int64_t confirmed_revision;
	bool needs_permit; /**< the sender cannot renew its permit at the store */
	bool wants_reply;  /**< the sender needs a reply at once */
	bool leaving;      /**< the sender is in a planned stop */
	/** It has only those groups whose vote, and accounts whose demand, has changed. */
	bool notice;
	uint64_t catalog_version;    /**< of the sender's catalogue; 0: none */
	uint32_t catalog_age_ms;     /**< time since that version was known to be the newest */
	uint64_t evacuations_digest; /**< of the evacuated zones known with it; 0: none */
	uint64_t servers_digest;     /**< of the sender's list of servers; 0: none */
	uint32_t servers_age_ms;     /**< time since that list was known to be the newest */
	/** Text of the record of `primaries_revision`, for a receiver that needs it; NULL: none. */
	char *primaries_record;
	GArray *groups;   /**< struct pw_pulse_group */
	GArray *accounts; /**< struct pw_pulse_account */
};

void pw_pulse_init(struct pw_pulse *p);
void pw_pulse_dispose(struct pw_pulse *p);
void pw_pulse_add_group(struct pw_pulse *p, const char *name, uint64_t generation,
			uint32_t unreachable_ms, bool is_reachable);
void pw_pulse_add_account(struct pw_pulse *p, const char *name, float demand_per_s,
			  float urgent_demand_per_s);
/** Sets what the sender says about the primary of a group, which is added if it is new. */
void pw_pulse_set_vote(struct pw_pulse *p, const struct pw_pulse_group *vote);
/** Sets the demand for an account, which is added if it is new. */
void pw_pulse_set_account(struct pw_pulse *p, const char *name, float demand_per_s,
			  float urgent_demand_per_s);

/**
 * Encodes a pulse. If it does not fit into a datagram, accounts are left out, the last ones first.
 *
 * @return size in bytes, at most PW_PULSE_MAX_BYTES without a record; 0 if it does not fit even
 *         without accounts
 */
size_t pw_pulse_encode(uint8_t out[PW_PULSE_RECORD_MAX_BYTES], const struct pw_pulse *p);

/** Decodes a pulse. @return 0, or PW_EINVALID with `out` zeroed */
int pw_pulse_decode(struct pw_pulse *out, const uint8_t *data, size_t size_bytes);

#endif
