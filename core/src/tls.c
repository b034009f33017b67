#include "pw/core/tls.h"

#include <glib.h>
#include <openssl/err.h>
#include <openssl/ssl.h>

#include "pw/core/counter.h"
#include "pw/core/error.h"

struct tls_transport {
	struct pw_transport base;
	SSL *ssl;
	bool broken; /**< a fatal error occurred, after which OpenSSL allows no further calls */
};

/* Rejects encrypted keys, for which OpenSSL would otherwise prompt on the terminal. */
static int refuse_passphrase(char *buffer, int size, int for_writing, void *data)
{
	(void)buffer;
	(void)size;
	(void)for_writing;
	(void)data;
	return -1;
}

/* Returns the reason only, since the data of an OpenSSL error may quote the file. */
static const char *last_error_reason(void)
{
	const char *text = ERR_reason_error_string(ERR_peek_last_error());

	return text ? text : "unknown reason";
}

/* Returns a new context with the certificate and key, or NULL with the error message set. */
static SSL_CTX *load_context(const struct pw_tls_files *f)
{
	SSL_CTX *context = SSL_CTX_new(TLS_server_method());

	ERR_clear_error();
	if (!context) {
		pw_error_set(PW_ESYSTEM, "cannot create the TLS context: %s", last_error_reason());
		return NULL;
	}
	SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
	/* Without renegotiation a write never waits for input after the handshake. */
	SSL_CTX_set_options(context, SSL_OP_NO_RENEGOTIATION | SSL_OP_NO_TICKET);
	SSL_CTX_set_session_cache_mode(context, SSL_SESS_CACHE_OFF);
	SSL_CTX_set_mode(context, SSL_MODE_ENABLE_PARTIAL_WRITE |
					  SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER |
					  SSL_MODE_RELEASE_BUFFERS);
	SSL_CTX_set_default_passwd_cb(context, refuse_passphrase);
	if (SSL_CTX_use_certificate_chain_file(context, f->certificate_path) != 1)
		pw_error_set(PW_EINVALID, "TLS certificate %s: %s", f->certificate_path,
			     last_error_reason());
	else if (SSL_CTX_use_PrivateKey_file(context, f->key_path, SSL_FILETYPE_PEM) != 1 ||
		 SSL_CTX_check_private_key(context) != 1)
		pw_error_set(PW_EINVALID, "TLS key %s: %s", f->key_path, last_error_reason());
	else
		return context;
	ERR_clear_error();
	SSL_CTX_free(context);
	return NULL;
}

void pw_tls_files_init(struct pw_tls_files *f, const char *certificate_path, const char *key_path)
{
	*f = (struct pw_tls_files){ .certificate_path = certificate_path, .key_path = key_path };
}

void pw_tls_files_dispose(struct pw_tls_files *f)
{
	SSL_CTX_free(f->ssl_context);
	f->ssl_context = NULL;
}

/* Returns whether the results of two stat() calls show the same file without a change. */
static bool is_same_file(const struct stat *a, const struct stat *b)
{
	return a->st_ino == b->st_ino && a->st_dev == b->st_dev && a->st_size == b->st_size &&
	       a->st_mtim.tv_sec == b->st_mtim.tv_sec && a->st_mtim.tv_nsec == b->st_mtim.tv_nsec;
}

int pw_tls_files_reload(struct pw_tls_files *f, bool *changed)
{
	struct stat certificate_stat = { 0 }, key_stat = { 0 };
	SSL_CTX *context;

	*changed = false;
	/* A missing file leaves its status zeroed and is reported by load_context(). */
	(void)stat(f->certificate_path, &certificate_stat);
	(void)stat(f->key_path, &key_stat);
	if ((f->ssl_context || f->load_failed) &&
	    is_same_file(&certificate_stat, &f->certificate_stat) &&
	    is_same_file(&key_stat, &f->key_stat))
		return PW_OK;
	f->certificate_stat = certificate_stat;
	f->key_stat = key_stat;
	context = load_context(f);
	f->load_failed = !context;
	if (!context)
		return PW_EINVALID;
	SSL_CTX_free(f->ssl_context);
	f->ssl_context = context;
	*changed = true;
	return PW_OK;
}

/*
 * Returns the result of an OpenSSL call that transferred no bytes. `wants_opposite` receives
 * whether the call failed with `opposite_error`, that is, a read that waits to write or the
 * reverse.
 */
static int32_t handle_failed_call(struct tls_transport *t, int rc, bool *wants_opposite,
				  int opposite_error)
{
	int error = SSL_get_error(t->ssl, rc);

	*wants_opposite = error == opposite_error;
	if (error == SSL_ERROR_WANT_READ || error == SSL_ERROR_WANT_WRITE)
		return PW_EAGAIN;
	if (error == SSL_ERROR_ZERO_RETURN)
		return 0;
	t->broken = true;
	/* Clients often close without a close_notify alert; other protocol errors are counted. */
	if (error == SSL_ERROR_SSL &&
	    ERR_GET_REASON(ERR_peek_error()) != SSL_R_UNEXPECTED_EOF_WHILE_READING)
		pw_counter_inc(PW_COUNTER_TLS_FAILURES);
	ERR_clear_error();
	return PW_ESYSTEM;
}

static int32_t tls_read(struct pw_transport *base, int32_t fd, void *data, uint32_t size_bytes)
{
	struct tls_transport *t = (struct tls_transport *)base;
	int n;

	(void)fd;
	if (t->broken)
		return PW_ESYSTEM;
	ERR_clear_error();
	base->read_wants_output = false;
	n = SSL_read(t->ssl, data, (int)size_bytes);
	return n > 0 ? n : handle_failed_call(t, n, &base->read_wants_output, SSL_ERROR_WANT_WRITE);
}

static int32_t tls_write(struct pw_transport *base, int32_t fd, const void *data,
			 uint32_t size_bytes)
{
	struct tls_transport *t = (struct tls_transport *)base;
	int n;

	(void)fd;
	if (t->broken)
		return PW_ESYSTEM;
	ERR_clear_error();
	base->write_wants_input = false;
	n = SSL_write(t->ssl, data, (int)MIN(size_bytes, (uint32_t)G_MAXINT));
	if (n > 0)
		return n;
	n = handle_failed_call(t, n, &base->write_wants_input, SSL_ERROR_WANT_READ);
	return n ? n : PW_ESYSTEM;
}

static void tls_shutdown(struct pw_transport *base)
{
	struct tls_transport *t = (struct tls_transport *)base;

	if (t->broken || !SSL_is_init_finished(t->ssl))
		return;
	ERR_clear_error();
	(void)SSL_shutdown(t->ssl);
	ERR_clear_error();
}

static void tls_free(struct pw_transport *base)
{
	struct tls_transport *t = (struct tls_transport *)base;

	SSL_free(t->ssl);
	g_free(t);
}

static const struct pw_transport_ops tls_ops = {
	.name = "tls",
	.read = tls_read,
	.write = tls_write,
	.shutdown = tls_shutdown,
	.free = tls_free,
};

int pw_tls_accept(struct pw_transport **out, const struct pw_tls_files *f, int32_t fd)
{
	struct tls_transport *t;
	SSL *ssl = f->ssl_context ? SSL_new(f->ssl_context) : NULL;

	if (!ssl || SSL_set_fd(ssl, fd) != 1) {
		SSL_free(ssl);
		return pw_error_set(PW_ESYSTEM, "cannot create the TLS session: %s",
				    last_error_reason());
	}
	SSL_set_accept_state(ssl);
	t = g_new0(struct tls_transport, 1);
	t->base.ops = &tls_ops;
	t->ssl = ssl;
	*out = &t->base;
	return PW_OK;
}
