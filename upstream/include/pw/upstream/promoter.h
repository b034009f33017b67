/**
 * @file promoter.h
 * Order to the environment that a server of a group becomes its primary.
 */
#ifndef PW_UPSTREAM_PROMOTER_H
#define PW_UPSTREAM_PROMOTER_H

#include <stdint.h>

#include "pw/core/loop.h"

struct pw_promoter;
struct pw_promotion;

struct pw_promotion_ops {
	/**
	 * @param code PW_OK when the order was taken; PW_ECONFLICT when the server cannot become
	 *             primary; PW_EUNAVAILABLE when nothing was done; PW_ETIMEOUT when the order
	 * may have been taken; PW_EINVALID when it was refused as malformed
	 */
	void (*done)(struct pw_promotion *p, int32_t code, const char *message);
};

/** First member of what waits for the answer to an order. */
struct pw_promotion {
	const struct pw_promotion_ops *ops;
};

struct pw_promotion_order {
	const char *group;
	const char *server_id;
	const char *holder; /**< name of the VM that gives the order */
	uint64_t fence;     /**< grows with every change of the holder */
	uint64_t timeout_us;
};

struct pw_promoter_ops {
	/** Starts an order; the one before must have been answered. @return 0 or an error */
	int (*promote)(struct pw_promoter *p, const struct pw_promotion_order *o,
		       struct pw_promotion *call);
	/** Frees the promoter; an open order gets no answer. */
	void (*free)(struct pw_promoter *p);
};

struct pw_promoter {
	const struct pw_promoter_ops *ops;
};

#endif
