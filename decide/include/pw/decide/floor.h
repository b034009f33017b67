/**
 * @file floor.h
 * Floor of a session: the lowest log position that a server must have reached before the session
 * may read from it.
 */
#ifndef PW_DECIDE_FLOOR_H
#define PW_DECIDE_FLOOR_H

#include <stdbool.h>
#include <stdint.h>

#include "pw/decide/server.h"

/** Latest probe result of each server of a group; shared by the sessions of the group. */
struct pw_floor_probes {
	struct pw_server_status status[PW_GROUP_SERVERS_MAX];
	uint64_t sent_us[PW_GROUP_SERVERS_MAX]; /**< when the probe was sent; 0: no answer yet */
	uint32_t server_count;
};

void pw_floor_probes_init(struct pw_floor_probes *probes, uint32_t server_count);

/** Stores the status from a probe sent at `sent_us`, unless a later probe was stored already. */
void pw_floor_probes_record(struct pw_floor_probes *probes, uint32_t server,
			    const struct pw_server_status *s, uint64_t sent_us);

/**
 * Finds an upper bound on the positions of all writes that were acknowledged before `since_us`: the
 * primary's position from a probe sent since then, provided that probes sent since then show a
 * majority of the group at the primary's term. Without that majority the primary may have been
 * replaced, and its position would be too low.
 *
 * @return false while the probes do not determine a bound
 */
bool pw_floor_probes_upper_bound(const struct pw_floor_probes *probes, uint64_t since_us,
				 struct pw_position *out);

enum pw_floor_mode {
	PW_FLOOR_STRICT, /**< the session may write on other connections: probe for each read */
	PW_FLOOR_PER_CONNECTION, /**< the session is this connection only: probe once */
};

struct pw_floor {
	/** Maximum of own writes, token and probes; term 0: none yet. */
	struct pw_position position;
	uint64_t probe_since_us; /**< a probe sent since then makes the floor known */
	enum pw_floor_mode mode;
	bool known; /**< a token or a probe has set the floor; own writes alone do not */
};

enum pw_floor_decision {
	PW_FLOOR_MAY_READ,
	PW_FLOOR_SERVER_BEHIND, /**< the server's position is below the floor */
	PW_FLOOR_NEEDS_PROBE,   /**< probes sent since pw_floor_probe_since_us() are needed first */
};

/** Initialises the floor, as yet unknown, of a session attached to a connection at `now_us`. */
void pw_floor_init(struct pw_floor *f, enum pw_floor_mode mode, uint64_t now_us);

/**
 * Raises the floor to a position token of the caller. A caller that sends a token carries its
 * position from one connection to the next itself, so from then on its reads do not need a probe
 * each (PW_FLOOR_PER_CONNECTION).
 *
 * @param token position, or NULL for an empty token: the floor is then probed once
 */
void pw_floor_apply_token(struct pw_floor *f, const struct pw_position *token);

/** Records that a write of this session was answered with position `p`. */
void pw_floor_record_write(struct pw_floor *f, const struct pw_position *p);

/**
 * Tells how recent the probes for a read must be.
 *
 * @param read_us time at which the read arrived
 * @return earliest sending time of a usable probe; 0 if no probe is needed
 */
uint64_t pw_floor_probe_since_us(const struct pw_floor *f, uint64_t read_us);

/**
 * Decides whether a read that arrived at `read_us` may run on a server at `server_position`. If the
 * read needs probes, the floor is raised to the upper bound that they give.
 */
enum pw_floor_decision pw_floor_check(struct pw_floor *f, const struct pw_floor_probes *probes,
				      uint64_t read_us, const struct pw_position *server_position);

/**
 * Compares the floor with the start of a newer term. If writes were lost, the floor is set to that
 * start, so that the loss is reported only once.
 *
 * @return whether acknowledged writes were lost
 */
bool pw_floor_check_lost_writes(struct pw_floor *f, const struct pw_position *start);

#endif
