/**
 * @file harness_service.h
 * Starts one proxy, a stand-in store and a database with a single stand-in server as processes, for
 * tests that need no fleet.
 */
#ifndef PW_TESTS_HARNESS_SERVICE_H
#define PW_TESTS_HARNESS_SERVICE_H

#include "harness.h"
#include "pw/codec/key.h"

/** Name of the proxy's VM. */
#define PW_HARNESS_VM        "vm-test"
#define PW_HARNESS_API_TOKEN "operator-token-of-the-test"

struct pw_harness_service {
	struct pw_harness *harness;
	struct pw_harness_process *proxy;
	uint16_t store_port;
	uint16_t caller_port;
	uint16_t api_port;
	uint16_t database_port;
	struct pw_key keys[2]; /**< of the client accounts amber and birch */
};

/**
 * Starts the processes and waits until the proxy answers a statement.
 *
 * @param document_members JSON members to append to the document, each after a comma, for
 *                         example `,"limits":{}`; "" for none
 * @param args             additional arguments of the proxy, NULL-terminated, or NULL
 */
void pw_harness_service_start(struct pw_harness_service *s, const char *document_members,
			      const char *const *args);
/** Kills the processes and wipes the keys. */
void pw_harness_service_stop(struct pw_harness_service *s);

/** @return login of the account 0 (amber) or 1 (birch) */
struct pw_harness_login pw_harness_service_login(const struct pw_harness_service *s,
						 uint32_t account);

/**
 * Runs pimentowingctl with the store and the service of this harness. An exit status other than 0
 * fails the test.
 *
 * @return standard output; the caller frees it
 */
char *pw_harness_service_run_ctl(const struct pw_harness_service *s, const char *const *args);

/**
 * Sends a GET request to the administration API.
 *
 * @param scheme "http" or "https"; the certificate of the proxy is not verified
 * @param body   receives the body of the response unless it is NULL; the caller frees it
 * @return HTTP status, or 0 without a response
 */
long pw_harness_service_http_get(const struct pw_harness_service *s, const char *scheme,
				 const char *path, char **body);

#endif
