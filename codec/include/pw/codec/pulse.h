/**
 * @file pulse.h
 * Datagrams between the VMs of a fleet, encoded with protobuf-c.
 */
#ifndef PW_CODEC_PULSE_H
#define PW_CODEC_PULSE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pw/decide/position.h"

/** A datagram is not fragmented on the usual networks. */
#define PW_PULSE_MAX_BYTES 1400

struct pw_pulse_group {
	char *name;
	uint64_t generation;
	uint32_t lost_ms; /**< time without contact to the primary; 0: none */
	bool reached;     /**< the primary answered a moment ago */
	struct pw_position at;
	uint64_t at_sent_us; /**< commits before this time of the sender's clock are covered; 0:
				none */
};

struct pw_pulse_account {
	char *name;
	float demand_per_s;
};

struct pw_pulse {
	char *sender;
	char *address; /**< IP:PORT to answer to */
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t echo_incarnation; /**< of the receiver, in the newest pulse from it */
	uint64_t echo_sequence;
	uint64_t echo_heard_us;  /**< when that was heard, by the sender's clock */
	uint32_t permit_left_ms; /**< lent to the receiver */
	uint32_t promise_ms;     /**< for which the sender claims no change of primary */
	int64_t primaries_revision;
	int64_t settled_revision;
	int64_t confirmed_revision;
	bool needs_permit;
	bool asks; /**< to be answered at once */
	bool leaving;
	uint64_t catalog_version;
	uint32_t catalog_age_ms; /**< since the version was known to be the newest */
	uint64_t servers_digest;
	uint32_t servers_age_ms;
	GArray *groups;   /**< struct pw_pulse_group */
	GArray *accounts; /**< struct pw_pulse_account */
};

void pw_pulse_init(struct pw_pulse *p);
void pw_pulse_dispose(struct pw_pulse *p);
void pw_pulse_add_group(struct pw_pulse *p, const char *name, uint64_t generation, uint32_t lost_ms,
			bool reached);
void pw_pulse_add_account(struct pw_pulse *p, const char *name, float demand_per_s);

/**
 * Encodes a pulse. Accounts that do not fit a datagram are left out, the last ones first.
 *
 * @return size, or 0 if it does not fit without accounts
 */
size_t pw_pulse_encode(uint8_t out[PW_PULSE_MAX_BYTES], const struct pw_pulse *p);

/** Decodes a pulse. @return 0, or PW_EINVALID with `out` empty */
int pw_pulse_decode(struct pw_pulse *out, const uint8_t *data, size_t size_bytes);

#endif
