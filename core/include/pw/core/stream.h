/**
 * @file stream.h
 * Buffered non-blocking TCP connection in an event loop.
 */
#ifndef PW_CORE_STREAM_H
#define PW_CORE_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "pw/core/loop.h"
#include "pw/core/transport.h"

struct pw_stream;

struct pw_stream_ops {
	/** The connection of pw_stream_connect() is established. May be NULL for other streams. */
	void (*connected)(struct pw_stream *s);
	/** Bytes were added to the input buffer. The handler removes those that it has consumed. */
	void (*received)(struct pw_stream *s);
	/** All output was written. May be NULL. */
	void (*output_written)(struct pw_stream *s);
	/** The connection ended or failed; called once. The handler disposes the stream. */
	void (*closed)(struct pw_stream *s);
	/**
	 * The remote end has shut down its sending side and may still read. NULL: the stream is
	 * closed then.
	 */
	void (*input_ended)(struct pw_stream *s);
};

/** First member of every struct that represents one TCP connection. */
struct pw_stream {
	const struct pw_stream_ops *ops;
	struct pw_transport *transport;
	struct pw_loop *loop;
	struct pw_source source;
	GByteArray *input;  /**< received and not yet consumed; NULL while empty, which keeps idle
			    connections small */
	GByteArray *output; /**< not yet written; NULL while empty */
	uint32_t input_size_bytes;    /**< allocated for `input`, as far as it was used */
	uint32_t output_size_bytes;   /**< likewise for `output` */
	uint64_t *input_total_bytes;  /**< see pw_stream_set_totals(); NULL: not counted */
	uint64_t *output_total_bytes; /**< likewise */
	uint64_t sent_bytes; /**< output accepted by the transports since the stream was opened */
	uint32_t read_limit_bytes; /**< reading pauses while the input buffer holds this much */
	uint32_t discarded_bytes;  /**< input that came after the sending side was shut down */
	uint64_t shut_down_us;     /**< when the sending side was shut down; 0: it is not */
	uint64_t discarded_us;     /**< when the first such input was read; 0: none was */
	uint16_t remote_port;      /**< set with `shut_down_us`; 0: the remote end was gone */
	bool connecting;
	bool reading_paused;     /**< the owner has paused reading, see pw_stream_pause() */
	bool shutdown_when_sent; /**< the sending side is shut down after the output is written */
	bool input_ended;        /**< the remote end has shut down its sending side */
	bool lingering;          /**< the sending side is shut down; input is discarded */
	bool open;               /**< true until `closed` is called or the stream is disposed */
};

/** Default of `read_limit_bytes`. */
#define PW_STREAM_READ_LIMIT_DEFAULT_BYTES UINT32_C(262144)

/**
 * Initialises a stream on a connected non-blocking socket, which the stream then owns.
 *
 * @return 0, or PW_ESYSTEM if the loop cannot watch the socket, which the caller then closes
 */
int pw_stream_init(struct pw_stream *s, const struct pw_stream_ops *ops, struct pw_loop *l,
		   int32_t fd);

/**
 * Starts to connect. `connected` or `closed` reports the outcome, unless an error is returned.
 *
 * @param address IP:PORT
 * @return 0; PW_EINVALID if the address is malformed; PW_EUNAVAILABLE if connecting fails at once;
 *         PW_ESYSTEM
 */
int pw_stream_connect(struct pw_stream *s, const struct pw_stream_ops *ops, struct pw_loop *l,
		      const char *address);

/**
 * Sets how soon the loss of the remote end is detected.
 *
 * @param idle_s             idle time before the first keepalive probe
 * @param interval_s         time between probes
 * @param probes             unanswered probes after which the connection counts as lost; Linux uses
 *                           it only if `unacked_timeout_ms` is 0
 * @param unacked_timeout_ms time for which sent bytes and probes may stay unacknowledged; 0: the
 *                           default of the system
 */
void pw_stream_set_keepalive(struct pw_stream *s, uint32_t idle_s, uint32_t interval_s,
			     uint32_t probes, uint32_t unacked_timeout_ms);

/**
 * Replaces the transport of a stream. The output buffer must be empty; bytes in the input buffer
 * came from the former transport.
 *
 * @param t the stream takes ownership
 */
void pw_stream_set_transport(struct pw_stream *s, struct pw_transport *t);

/**
 * Closes the socket and frees the buffers; `closed` is not called. No effect on a zeroed or
 * disposed stream.
 */
void pw_stream_dispose(struct pw_stream *s);

/** Adds output and writes as much as the socket accepts. */
void pw_stream_send(struct pw_stream *s, const void *data, uint32_t size_bytes);

/**
 * Shuts down the sending side after the output is written. `closed` is called once the remote end
 * has closed as well; the owner has to limit the time for that.
 */
void pw_stream_shutdown(struct pw_stream *s);

/** Pauses or resumes reading. `received` is not called for bytes that are in the buffer already. */
void pw_stream_pause(struct pw_stream *s, bool paused);

/** Removes consumed bytes from the start of the input buffer. */
void pw_stream_consume(struct pw_stream *s, uint32_t size_bytes);

/** @return whether the socket has input that was not read yet */
bool pw_stream_has_unread_input(const struct pw_stream *s);

/**
 * Adds the sizes of the buffers, now and with every change, to totals of the owner.
 *
 * @param input_total_bytes  outlives the stream; may be the same as the other one
 * @param output_total_bytes likewise
 */
void pw_stream_set_totals(struct pw_stream *s, uint64_t *input_total_bytes,
			  uint64_t *output_total_bytes);

uint32_t pw_stream_input_bytes(const struct pw_stream *s);
uint32_t pw_stream_output_bytes(const struct pw_stream *s);

/**
 * Opens a listening socket. SO_REUSEPORT lets several tasks listen on the same address; the kernel
 * distributes the connections among them.
 *
 * @param address IP:PORT
 * @return 0; PW_EINVALID if the address is malformed; PW_ESYSTEM
 */
int pw_stream_listen(int32_t *fd, const char *address);

#endif
