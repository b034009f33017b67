/**
 * @file outbox.h
 * Output of one connection of the stand-in: answers and copies of answers, one after the other, in
 * packets of a limited size if answers are split.
 */
#ifndef PW_STANDINS_PLATFORM_OUTBOX_H
#define PW_STANDINS_PLATFORM_OUTBOX_H

#include <glib.h>

#include "faults.h"
#include "pw/core/loop.h"
#include "pw/core/stream.h"

struct outbox {
	struct pw_loop *loop;
	struct pw_stream *stream;
	struct faults *faults;
	GQueue deliveries; /**< of struct delivery; the first one may be sent in part */
	gsize sent_bytes;  /**< of the first delivery */
	GQueue copies;     /**< of struct delayed_copy, in the order of their times */
	struct pw_timer packet_timer;
	struct pw_timer copy_timer;
	bool closing; /**< an added delivery closes the connection, so later ones are dropped */
};

void outbox_init(struct outbox *o, struct pw_loop *loop, struct pw_stream *stream,
		 struct faults *faults);

/** Drops everything that has not been sent. */
void outbox_dispose(struct outbox *o);

/** Sends a delivery after the earlier ones; takes ownership of its bytes. */
void outbox_add(struct outbox *o, struct delivery d);

#endif
