/**
 * @file follow.h
 * Decides how a VM follows a value in the store: by a watch, which delivers every version, or by
 * reads, which skip versions. A watch is fast and costs nothing while the value stays the same.
 * When a large value changes in quick succession, the versions that all VMs of a region watch
 * exceed what the links carry, and the newest version comes ever later; reads at a limited rate do
 * not.
 */
#ifndef PW_DECIDE_FOLLOW_H
#define PW_DECIDE_FOLLOW_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Minimum time between two reads that follow a value, and the interval of new versions below which
 * reads replace the watch.
 */
#define PW_FOLLOW_INTERVAL_MIN_US UINT64_C(1000000)
/**
 * Maximum time between two reads. If a read takes up to 0.8 s, a change is in force in 5.5 s even
 * if one read fails: 2 s with jitter, a timeout of 2.4 s, a backoff of 0.3 s and the next read. It
 * has to be in force in 6 s.
 */
#define PW_FOLLOW_INTERVAL_MAX_US UINT64_C(2000000)

/** Reads replace the watch if a version takes longer to transfer. */
#define PW_FOLLOW_WATCH_TRANSFER_MAX_US UINT64_C(500000)

/** Limits of the timeout of a read. */
#define PW_FOLLOW_TIMEOUT_MIN_US UINT64_C(1000000)
#define PW_FOLLOW_TIMEOUT_MAX_US UINT64_C(3000000)

/** Bytes of a value per second that the VMs of a fleet read together. */
#define PW_FOLLOW_FLEET_BYTES_PER_S UINT64_C(10000000)
/** With a longer spread, reads replace the watch, which delivers a version to all VMs at once. */
#define PW_FOLLOW_WATCH_SPREAD_MAX_US UINT64_C(500000)
/** Maximum spread, so that a change is in force in time. */
#define PW_FOLLOW_SPREAD_MAX_US UINT64_C(2500000)

/**
 * Time over which the VMs spread their reads of the same value. Without it a change of a value of
 * 50 KB fills the link between two regions for most of a second with 300 VMs, during which renewals
 * of permits and new connections time out.
 *
 * @param size_bytes of the value
 * @param vm_count   number of VMs that read it
 */
uint64_t pw_follow_spread_us(uint64_t size_bytes, uint32_t vm_count);

/**
 * Time until the next read of something that each VM reads at an interval. It is random, between
 * half and three halves of the interval, so that VMs that started together do not go on to read
 * together.
 *
 * @param random random number
 */
uint64_t pw_follow_next_periodic_us(uint64_t interval_us, uint64_t random);

/** State that the caller keeps, initially 0. */
struct pw_follow {
	uint64_t changed_us;  /**< when the last new version came; 0: none */
	uint64_t duration_us; /**< of the last successful read */
	uint64_t timeout_us;  /**< of the next read; 0: the minimum */
	bool by_reads;        /**< reads follow the value, not the watch */
};

/**
 * Records new versions that the watch has delivered at once.
 *
 * @param transfer_us  how long the transfer took. If it is long, further versions may have come
 *                     meanwhile, which the next answer of the watch would contain.
 * @return whether the watch is to be ended, with a read after pw_follow_interval_us()
 */
bool pw_follow_handle_watched(struct pw_follow *f, uint32_t version_count, uint64_t transfer_us,
			      uint64_t now_us);

/**
 * Records a successful read.
 *
 * @param is_new  whether it returned a new version
 * @return whether the value is to be watched from now on; otherwise the next read follows after
 *         pw_follow_interval_us()
 */
bool pw_follow_handle_read(struct pw_follow *f, bool is_new, uint64_t duration_us, uint64_t now_us);

/** Records a read that was not answered within its timeout: the next one gets more time. */
void pw_follow_handle_timeout(struct pw_follow *f);

/** @return time between the end of a read and the start of the next one */
uint64_t pw_follow_interval_us(const struct pw_follow *f);

/** @return timeout of the next read */
uint64_t pw_follow_timeout_us(const struct pw_follow *f);

#endif
