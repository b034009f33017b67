/**
 * @file transport.h
 * Transport of a stream's bytes: a plain TCP socket, or TLS on one. The operations neither block
 * nor set an error message.
 */
#ifndef PW_CORE_TRANSPORT_H
#define PW_CORE_TRANSPORT_H

#include <stdbool.h>
#include <stdint.h>

struct pw_transport;

struct pw_transport_ops {
	const char *name;
	/** @return bytes read; 0 at the end of the stream; PW_EAGAIN; PW_ESYSTEM after a failure */
	int32_t (*read)(struct pw_transport *t, int32_t fd, void *data, uint32_t size_bytes);
	/** @return bytes written, at least 1; PW_EAGAIN; PW_ESYSTEM after a failure */
	int32_t (*write)(struct pw_transport *t, int32_t fd, const void *data, uint32_t size_bytes);
	/**
	 * Tells the remote end that no more data follows, if the socket accepts the notice at once.
	 * It does not shut down the socket.
	 */
	void (*shutdown)(struct pw_transport *t);
	void (*free)(struct pw_transport *t);
};

/** First member of every kind of transport. */
struct pw_transport {
	const struct pw_transport_ops *ops;
	bool read_wants_output; /**< the last read has to wait until the socket is writable */
	bool write_wants_input; /**< the last write has to wait until the socket is readable */
};

/** Unencrypted transport. It has no state, so that all plain streams share it. */
extern struct pw_transport pw_transport_plain;

#endif
