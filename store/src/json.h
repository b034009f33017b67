/**
 * @file json.h
 * Requests and responses of the service in the JSON format of the etcd v3 gateway: keys and values
 * are base64, 64-bit integers are strings, and fields with a zero value are omitted.
 */
#ifndef PW_STORE_JSON_H
#define PW_STORE_JSON_H

#include "pw/store/store.h"

/* Each returns the body of a request; the caller frees it with free(). */
char *pw_store_json_encode_range(const struct pw_store_range *req);
char *pw_store_json_encode_txn(const struct pw_store_txn *req);
char *pw_store_json_encode_lease_grant(uint64_t ttl_us);
/* For the renewal and for the revocation of a lease. */
char *pw_store_json_encode_lease_id(int64_t lease_id);
char *pw_store_json_encode_watch(const struct pw_store_watch *req);

/**
 * Decodes the response to a call, or one message of a watch. If the service ends the watch, the
 * result has `is_last` set and a code that tells the reason.
 *
 * @return a result with a code of struct pw_store_result; PW_EINVALID if the text is malformed
 */
struct pw_store_result *pw_store_json_decode_response(enum pw_store_kind kind, const char *text,
						      size_t size_bytes);

/** @return gRPC status code of an error response, or 0 if it has none */
int64_t pw_store_json_error_code(const char *text, size_t size_bytes);

/** @return message of an error response, or NULL if it has none; freed with g_free() */
char *pw_store_json_error_text(const char *text, size_t size_bytes);

#endif
