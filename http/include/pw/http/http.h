/**
 * @file http.h
 * Asynchronous HTTP/1.1 client in an event loop, based on libcurl. A client and its calls may be
 * used only by the thread of that loop.
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

/** Outcome of a call. `body`, `header` and `message` are valid only during `done`. */
struct pw_http_response {
	/**
	 * PW_OK: a complete response, of any status. PW_EUNAVAILABLE: no byte of the request was
	 * sent. PW_ETIMEOUT: the request was sent, but no complete response came, so that the
	 * server may have executed it. PW_EOVERFLOW: the response exceeds the limit of the options.
	 */
	int32_t error_code;
	uint32_t http_status; /**< HTTP status; 0 unless `error_code` is PW_OK */
	const char *body;     /**< not NUL-terminated; may be NULL if empty */
	size_t size_bytes;    /**< of the body */
	/** Value of the header that the request named in `response_header`; NULL: not sent. */
	const char *header;
	uint64_t transfer_us; /**< from the first byte of the response to its end */
	const char *message;  /**< description of the failure; NULL if `error_code` is PW_OK */
};

struct pw_http_call_ops {
	/** Called once at the end, never inside pw_http_start(). It may start and cancel calls. */
	void (*done)(struct pw_http_call *c, const struct pw_http_response *response);
	/**
	 * Bytes of the body were received; `status` is the HTTP status. The handler may remove the
	 * bytes that it has consumed from the start of `bytes`, and may cancel the call. NULL for
	 * calls that need only the complete response.
	 */
	void (*received)(struct pw_http_call *c, uint32_t status, GByteArray *bytes);
};

/** First member of the state of a call. It must stay valid until `done` or pw_http_cancel(). */
struct pw_http_call {
	const struct pw_http_call_ops *ops;
	void *transfer; /**< owned by the client; NULL while the call is not in flight */
};

/** A request. It has a connection of its own, on which it is sent once. */
struct pw_http_request {
	const char *method;
	const char *url;
	const char *body;            /**< NULL: none; else sent as application/json */
	const char *const *headers;  /**< NULL-terminated lines `Name: value`; NULL: none */
	const char *response_header; /**< name of a response header to return; NULL: none */
	uint64_t timeout_us;         /**< for the whole call; 0: none */
	uint64_t connect_timeout_us; /**< for connecting; 0: the default of libcurl */
	/**
	 * pw_clock_now_us() after which the request is not sent any more, checked once the
	 * connection is established; the call then ends with PW_EUNAVAILABLE. 0: none
	 */
	uint64_t send_deadline_us;
};

#define PW_HTTP_OPTIONS_VERSION 1
#define PW_HTTP_OPTIONS_INIT                                                       \
	{                                                                          \
		.version = PW_HTTP_OPTIONS_VERSION, .response_max_bytes = 1 << 21, \
	}

struct pw_http_options {
	uint32_t version; /**< PW_HTTP_OPTIONS_VERSION */
	/** Maximum size of a body; with `received`, of the bytes that it has not removed yet. */
	size_t response_max_bytes;
	/** Time after which a connection with unacknowledged bytes is closed; 0: 3 s. */
	uint64_t unacked_timeout_us;
};

/**
 * Creates a client.
 *
 * @param loop must outlive the client
 * @return 0; PW_EINVALID if the version of the options is unknown; PW_ESYSTEM
 */
int pw_http_new(struct pw_http **out, struct pw_loop *loop, const struct pw_http_options *opts);

/** Cancels all calls and frees the client. */
void pw_http_free(struct pw_http *h);

/** Starts a call; the request is copied. @return 0, or PW_ESYSTEM; `done` is then not called */
int pw_http_start(struct pw_http *h, const struct pw_http_request *req, struct pw_http_call *c);

/** @return whether a byte of the request was sent; false if the call is not in flight */
bool pw_http_is_request_sent(const struct pw_http_call *c);

/** Ends a call without calling `done`. A request that was sent may still be executed. */
void pw_http_cancel(struct pw_http *h, struct pw_http_call *c);

#endif
