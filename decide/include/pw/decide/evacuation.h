/**
 * @file evacuation.h
 * Evacuated availability zones: operators have asked that nothing more is sent to the servers of a
 * zone. Decides how long a server of such a zone is still used. This answers a zone that is about
 * to fail or to be serviced while callers have transactions at its servers.
 */
#ifndef PW_DECIDE_EVACUATION_H
#define PW_DECIDE_EVACUATION_H

#include <stdbool.h>
#include <stdint.h>

/** What a VM knows about the evacuation of one zone. */
struct pw_evacuation {
	uint64_t learned_us; /**< when this VM learned of it */
	/**
	 * When it was requested at the earliest: the time at which the zone was last known not to
	 * be evacuated. 0: not known, since this VM has started after that.
	 */
	uint64_t earliest_us;
};

/**
 * Returns the time from which nothing is sent to the servers of the zone. Until then a primary may
 * run what no other server can run, so that it can be replaced in an orderly way.
 *
 * @param timeout_us time after the request in which the evacuation has to be in force
 * @return a time from `learned_us` on
 */
uint64_t pw_evacuation_stop_us(const struct pw_evacuation *e, uint64_t timeout_us);

#endif
