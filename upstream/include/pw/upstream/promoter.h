/**
 * @file promoter.h
 * Vtable for requests to promote a server to the primary of its group. The environment in which the
 * proxy runs carries them out.
 */
#ifndef PW_UPSTREAM_PROMOTER_H
#define PW_UPSTREAM_PROMOTER_H

#include <stdint.h>

#include "pw/core/loop.h"

struct pw_promoter;
struct pw_promotion_call;

struct pw_promotion_call_ops {
	/**
	 * Receives the result of a promotion.
	 *
	 * @param code PW_OK if the request was accepted; PW_ECONFLICT if the server cannot become
	 *             primary; PW_EUNAVAILABLE if nothing was done; PW_ETIMEOUT if the request may
	 *             have been accepted; PW_EINVALID if it was refused as malformed
	 */
	void (*done)(struct pw_promotion_call *p, int32_t code, const char *message);
};

/** A promotion in flight; first member of the object that receives its result. */
struct pw_promotion_call {
	const struct pw_promotion_call_ops *ops;
};

/** A request to promote a server. */
struct pw_promotion_request {
	const char *group;
	const char *server_id;
	const char *holder;     /**< name of the VM that sends the request */
	uint64_t fencing_token; /**< increases with every change of any primary */
	uint64_t timeout_us;    /**< maximum time until `done` is called */
	/**
	 * pw_clock_now_us() after which the request is not sent any more, since another VM may have
	 * taken the change over; the call then ends with PW_EUNAVAILABLE. 0: none
	 */
	uint64_t send_deadline_us;
};

struct pw_promoter_ops {
	/**
	 * Sends a request. Several may be in flight, since a VM leads the changes of several
	 * groups.
	 *
	 * @param promotion receives the result
	 * @return 0, or an error code, in which case `done` is not called
	 */
	int (*promote)(struct pw_promoter *p, const struct pw_promotion_request *request,
		       struct pw_promotion_call *promotion);
	/** Frees the promoter; `done` is not called for a request in flight. */
	void (*free)(struct pw_promoter *p);
};

struct pw_promoter {
	const struct pw_promoter_ops *ops;
};

#endif
