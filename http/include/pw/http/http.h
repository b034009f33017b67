/**
 * @file http.h
 * Asynchronous HTTP/1.1 client on one event loop, over libcurl. A client and its calls belong to
 * the thread of that loop.
 */
#ifndef PW_HTTP_HTTP_H
#define PW_HTTP_HTTP_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pw/core/loop.h"

struct pw_http;
struct pw_http_call;

/** End of a call. `data` and `message` are valid during `done` only. */
struct pw_http_answer {
	/**
	 * PW_OK with a whole answer of any status; PW_EUNAVAILABLE when no byte of the request was
	 * sent; PW_ETIMEOUT when it was sent and no whole answer came, so that it may have been
	 * carried out; PW_EOVERFLOW when the answer is larger than the limit.
	 */
	int32_t code;
	uint32_t status; /**< of the answer; 0 without one */
	const char *data;
	size_t size_bytes;
	const char *message; /**< description of a failure */
};

struct pw_http_call_ops {
	/** Called once, never from inside pw_http_start(). It may start and cancel calls. */
	void (*done)(struct pw_http_call *c, const struct pw_http_answer *a);
	/**
	 * Bytes of the answer have come. The handler may remove what it has used from the start of
	 * `bytes`, and may cancel the call. NULL: only the whole answer matters.
	 */
	void (*received)(struct pw_http_call *c, uint32_t status, GByteArray *bytes);
};

/** First member of what waits for an answer. It stays valid until `done` or a cancel. */
struct pw_http_call {
	const struct pw_http_call_ops *ops;
	void *transfer; /**< owned by the client; NULL while no answer is awaited */
};

struct pw_http_request {
	const char *method;
	const char *url;
	const char *body;            /**< NULL: none; else sent as JSON */
	const char *const *headers;  /**< further lines `Name: value`, ended by NULL; may be NULL */
	uint64_t timeout_us;         /**< of the whole call; 0: none */
	uint64_t connect_timeout_us; /**< of the connection; 0: that of the call */
	/**
	 * The request may be sent again by the library when a kept connection ends without an
	 * answer. Others take a new connection.
	 */
	bool repeatable;
};

#define PW_HTTP_OPTIONS_VERSION 1
#define PW_HTTP_OPTIONS_INIT                                                     \
	{                                                                        \
		.version = PW_HTTP_OPTIONS_VERSION, .answer_max_bytes = 1 << 21, \
	}

struct pw_http_options {
	uint32_t version;
	size_t answer_max_bytes;
};

/** @param loop outlives the client */
int pw_http_new(struct pw_http **out, struct pw_loop *loop, const struct pw_http_options *opts);

/** Ends open calls without an answer and frees the client. */
void pw_http_free(struct pw_http *h);

/** Starts a call; the request is copied. @return 0, or PW_ESYSTEM and `done` is not called */
int pw_http_start(struct pw_http *h, const struct pw_http_request *req, struct pw_http_call *c);

/** @return whether a byte of the request was sent */
bool pw_http_is_sent(const struct pw_http_call *c);

/** Ends a call without an answer; a request that was sent may still be carried out. */
void pw_http_cancel(struct pw_http *h, struct pw_http_call *c);

#endif
