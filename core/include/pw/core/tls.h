/**
 * @file tls.h
 * TLS on the server side of a stream, based on OpenSSL. The certificate and key files may be
 * replaced while the process runs.
 */
#ifndef PW_CORE_TLS_H
#define PW_CORE_TLS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/stat.h>

#include "pw/core/transport.h"

/** Interval of the checks for changed files. */
#define PW_TLS_RELOAD_INTERVAL_US UINT64_C(1000000)

/** Certificate and key of one task. Open connections keep those that they were accepted with. */
struct pw_tls_files {
	const char *certificate_path; /**< PEM, with the chain after the certificate */
	const char *key_path;         /**< PEM, without a passphrase */
	struct stat certificate_stat; /**< of the certificate file at the last attempt to load it */
	struct stat key_stat;         /**< of the key file at the last attempt to load it */
	void *ssl_context;            /**< SSL_CTX of OpenSSL; NULL until the first success */
	bool load_failed;             /**< the last attempt to load the files failed */
};

/** Sets the paths, which must outlive the struct. The files are not read yet. */
void pw_tls_files_init(struct pw_tls_files *f, const char *certificate_path, const char *key_path);
void pw_tls_files_dispose(struct pw_tls_files *f);

/**
 * Loads the files if they have changed since the last call.
 *
 * @param changed receives whether a new certificate is in use
 * @return 0, or PW_EINVALID if changed files cannot be used; the former certificate then stays in
 *         use. The error is returned once for each change of the files.
 */
int pw_tls_files_reload(struct pw_tls_files *f, bool *changed);

/**
 * Creates the transport of an accepted connection. The first read or write starts the handshake.
 *
 * @param fd socket; the transport does not close it
 * @return 0, or PW_ESYSTEM if OpenSSL fails or no certificate was loaded yet
 */
int pw_tls_accept(struct pw_transport **out, const struct pw_tls_files *f, int32_t fd);

#endif
