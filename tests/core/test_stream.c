/* Tests of streams with both transports, plain and TLS, and of reloading TLS files. */
#include "suite.h"

#include <fcntl.h>
#include <glib.h>
#include <openssl/ssl.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "certificate.h"
#include "pw/core/clock.h"
#include "pw/core/error.h"
#include "pw/core/stream.h"
#include "pw/core/tls.h"

/* The server side of a connection: a stream that runs in a separate thread and echoes its input. */
struct echo_server {
	struct pw_stream stream;
	struct pw_loop *loop;
	struct pw_source stop;
	struct pw_tls_files *tls; /**< NULL: plain */
	int32_t fd;
	uint32_t push_bytes; /**< sent at the start, and input is discarded; 0: input is echoed */
	bool closes_early;   /**< sends "bye" and closes before it reads anything */
	pthread_t thread;
};

static void echo_received(struct pw_stream *s)
{
	GByteArray *in = g_byte_array_ref(s->input);

	pw_stream_send(s, in->data, in->len);
	g_byte_array_unref(in);
	pw_stream_consume(s, in->len);
	/* Reads the next chunk only after this one is written, so that a slow client blocks it. */
	pw_stream_pause(s, pw_stream_output_bytes(s) > 0);
}

static void echo_output_written(struct pw_stream *s)
{
	pw_stream_pause(s, false);
}

static void echo_closed(struct pw_stream *s)
{
	struct echo_server *e = (struct echo_server *)s;

	pw_stream_dispose(s);
	pw_loop_stop(e->loop);
}

static const struct pw_stream_ops echo_ops = {
	.received = echo_received,
	.output_written = echo_output_written,
	.closed = echo_closed,
};

static void push_received(struct pw_stream *s)
{
	pw_stream_consume(s, UINT32_MAX);
}

static const struct pw_stream_ops push_ops = {
	.received = push_received,
	.closed = echo_closed,
};

static void *run_echo_server(void *arg)
{
	struct echo_server *e = arg;
	struct pw_transport *t;

	if (pw_loop_new(&e->loop) ||
	    pw_stream_init(&e->stream, e->push_bytes ? &push_ops : &echo_ops, e->loop, e->fd))
		return NULL;
	if (e->tls && !pw_tls_accept(&t, e->tls, e->fd))
		pw_stream_set_transport(&e->stream, t);
	if (e->push_bytes) {
		void *data = g_malloc0(e->push_bytes);

		pw_stream_send(&e->stream, data, e->push_bytes);
		g_free(data);
	}
	if (e->closes_early) {
		pw_stream_send(&e->stream, "bye", 3);
		pw_stream_shutdown(&e->stream);
	}
	pw_loop_run(e->loop);
	pw_loop_free(e->loop);
	return NULL;
}

/* The client side, with blocking calls. */
struct client {
	int fd;
	SSL_CTX *context;
	SSL *ssl;
};

static void client_open(struct client *c, int fd, bool tls)
{
	const struct timeval timeout = { .tv_sec = 20 };

	*c = (struct client){ .fd = fd };
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	if (!tls)
		return;
	c->context = SSL_CTX_new(TLS_client_method());
	c->ssl = SSL_new(c->context);
	SSL_set_fd(c->ssl, fd);
	ck_assert_int_eq(SSL_connect(c->ssl), 1);
}

static void client_close(struct client *c)
{
	if (c->ssl)
		SSL_shutdown(c->ssl);
	SSL_free(c->ssl);
	SSL_CTX_free(c->context);
	close(c->fd);
}

static int client_write(struct client *c, const uint8_t *data, size_t size_bytes)
{
	return c->ssl ? SSL_write(c->ssl, data, (int)size_bytes)
		      : (int)send(c->fd, data, size_bytes, 0);
}

static int client_read(struct client *c, uint8_t *data, size_t size_bytes)
{
	return c->ssl ? SSL_read(c->ssl, data, (int)size_bytes)
		      : (int)recv(c->fd, data, size_bytes, 0);
}

static void client_check_echo(struct client *c, size_t total_bytes, size_t chunk_bytes)
{
	uint8_t *sent = g_malloc(chunk_bytes), *received = g_malloc(chunk_bytes);

	for (size_t done_bytes = 0; done_bytes < total_bytes; done_bytes += chunk_bytes) {
		size_t read_bytes = 0;

		memset(sent, (int)(done_bytes / chunk_bytes % 251), chunk_bytes);
		ck_assert_int_eq(client_write(c, sent, chunk_bytes), (int)chunk_bytes);
		while (read_bytes < chunk_bytes) {
			int n = client_read(c, received + read_bytes, chunk_bytes - read_bytes);

			ck_assert_int_gt(n, 0);
			read_bytes += (size_t)n;
		}
		ck_assert(!memcmp(sent, received, chunk_bytes));
	}
	g_free(sent);
	g_free(received);
}

static void client_read_all(struct client *c, size_t size_bytes)
{
	uint8_t block[16384];

	while (size_bytes) {
		int n = client_read(c, block, MIN(sizeof(block), size_bytes));

		ck_assert_int_gt(n, 0);
		size_bytes -= (size_t)n;
	}
}

/* Writes until all buffers up to the server are full, waits, and reads everything back. */
static void client_flood(struct client *c, uint32_t idle_ms)
{
	static uint8_t block[16384];
	int flags = fcntl(c->fd, F_GETFL);
	size_t sent_bytes = 0;
	uint32_t failed_writes = 0;

	fcntl(c->fd, F_SETFL, flags | O_NONBLOCK);
	while (failed_writes < 20) {
		int n = client_write(c, block, sizeof(block));

		sent_bytes += n > 0 ? (size_t)n : 0;
		failed_writes = n > 0 ? 0 : failed_writes + 1;
		if (n <= 0)
			g_usleep(10000);
	}
	g_usleep(idle_ms * 1000);
	fcntl(c->fd, F_SETFL, flags);
	ck_assert_uint_gt(sent_bytes, 0);
	client_read_all(c, sent_bytes);
	/* A TLS write that would have blocked must be repeated with the same data. */
	ck_assert_int_eq(client_write(c, block, sizeof(block)), (int)sizeof(block));
	client_read_all(c, sizeof(block));
}

static const struct {
	const char *label;
	bool tls;
	size_t total_bytes;
	size_t chunk_bytes;
	uint32_t flood_idle_ms; /**< 0: no flood */
} echo_cases[] = {
	{ "plain, small messages", false, 2000, 1, 0 },
	{ "plain, large messages", false, 1 << 24, 1 << 16, 0 },
	{ "plain, client that does not read", false, 0, 1, 500 },
	{ "TLS, small messages", true, 2000, 1, 0 },
	{ "TLS, whole records", true, 1 << 22, 16384, 0 },
	{ "TLS, messages of several records", true, 1 << 24, 40000, 0 },
	{ "TLS, client that does not read", true, 0, 1, 500 },
	{ "TLS, idle", true, 1, 1, 0 },
};

static void start_echo_server(struct echo_server *e, struct client *c, struct pw_tls_files *tls)
{
	int fds[2];

	ck_assert_int_eq(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, fds), 0);
	fcntl(fds[0], F_SETFL, O_NONBLOCK);
	e->fd = fds[0];
	e->tls = tls;
	ck_assert_int_eq(pthread_create(&e->thread, NULL, run_echo_server, e), 0);
	client_open(c, fds[1], tls != NULL);
}

static uint64_t thread_cpu_us(pthread_t thread)
{
	struct timespec ts;
	clockid_t clock;

	ck_assert_int_eq(pthread_getcpuclockid(thread, &clock), 0);
	clock_gettime(clock, &ts);
	return (uint64_t)ts.tv_sec * PW_US_PER_S + (uint64_t)ts.tv_nsec / 1000;
}

#define IDLE_US         300000
#define IDLE_CPU_MAX_US 30000

/* Checks that the server's thread uses almost no CPU time while it has nothing to do. */
static void check_idle(const struct echo_server *e, const char *label)
{
	uint64_t start_us = thread_cpu_us(e->thread);
	uint64_t spent_us;

	g_usleep(IDLE_US);
	spent_us = thread_cpu_us(e->thread) - start_us;
	ck_assert_msg(spent_us < IDLE_CPU_MAX_US, "%s: %lu us of work in %d us", label,
		      (unsigned long)spent_us, IDLE_US);
}

/*
 * Guards against lost or changed bytes, and against a loop that spins while it waits, for example
 * on a socket that is ready for an event that the stream does not handle.
 */
START_TEST(test_echo)
{
	struct certificate_files files;
	struct pw_tls_files tls;
	struct echo_server e = { 0 };
	struct client c;
	bool changed;

	certificate_files_new(&files, 1);
	pw_tls_files_init(&tls, files.certificate_path, files.key_path);
	ck_assert_msg(!pw_tls_files_reload(&tls, &changed), "%s", pw_error_message());
	start_echo_server(&e, &c, echo_cases[_i].tls ? &tls : NULL);
	client_check_echo(&c, echo_cases[_i].total_bytes, echo_cases[_i].chunk_bytes);
	if (echo_cases[_i].flood_idle_ms) {
		client_flood(&c, echo_cases[_i].flood_idle_ms);
		client_check_echo(&c, 1, 1);
	}
	check_idle(&e, echo_cases[_i].label);
	client_close(&c);
	pthread_join(e.thread, NULL);
	pw_tls_files_dispose(&tls);
	certificate_files_free(&files);
}
END_TEST

/*
 * Guards against output that is never written because it waits for the TLS handshake, which needs
 * input, while a stream that is closing does not read.
 */
START_TEST(test_close_during_handshake)
{
	struct certificate_files files;
	struct pw_tls_files tls;
	struct echo_server e = { .closes_early = true };
	struct client c;
	uint8_t received[8];
	bool changed;

	certificate_files_new(&files, 1);
	pw_tls_files_init(&tls, files.certificate_path, files.key_path);
	ck_assert(!pw_tls_files_reload(&tls, &changed));
	start_echo_server(&e, &c, &tls);
	ck_assert_int_eq(client_read(&c, received, sizeof(received)), 3);
	ck_assert_int_eq(client_read(&c, received, sizeof(received)), 0);
	ck_assert_int_eq(SSL_get_error(c.ssl, 0), SSL_ERROR_ZERO_RETURN);
	client_close(&c);
	pthread_join(e.thread, NULL);
	pw_tls_files_dispose(&tls);
	certificate_files_free(&files);
}
END_TEST

/*
 * Guards against a loop that spins while output waits for the client, or after it was written.
 * Case 0 uses the plain transport, case 1 uses TLS.
 */
START_TEST(test_unread_output)
{
	struct certificate_files files;
	struct pw_tls_files tls;
	struct echo_server e = { .push_bytes = 1 << 22 };
	struct client c;
	bool changed;

	certificate_files_new(&files, 1);
	pw_tls_files_init(&tls, files.certificate_path, files.key_path);
	ck_assert(!pw_tls_files_reload(&tls, &changed));
	start_echo_server(&e, &c, _i ? &tls : NULL);
	g_usleep(IDLE_US);
	check_idle(&e, "output waits");
	client_read_all(&c, e.push_bytes);
	check_idle(&e, "output is written");
	client_close(&c);
	pthread_join(e.thread, NULL);
	pw_tls_files_dispose(&tls);
	certificate_files_free(&files);
}
END_TEST

enum file_change {
	FILES_UNCHANGED,
	BOTH_REPLACED,
	CERTIFICATE_REPLACED,
	CERTIFICATE_MALFORMED,
	KEY_MISSING,
	KEY_ENCRYPTED,
};

static const struct {
	const char *label;
	enum file_change file_change;
	int status;
	bool changed;
	long serial; /**< of the certificate in use afterwards */
} reload_cases[] = {
	{ "unchanged files", FILES_UNCHANGED, PW_OK, false, 1 },
	{ "certificate and key replaced", BOTH_REPLACED, PW_OK, true, 2 },
	{ "certificate replaced without its key", CERTIFICATE_REPLACED, PW_EINVALID, false, 1 },
	{ "malformed certificate", CERTIFICATE_MALFORMED, PW_EINVALID, false, 1 },
	{ "missing key", KEY_MISSING, PW_EINVALID, false, 1 },
	{ "key with a passphrase", KEY_ENCRYPTED, PW_EINVALID, false, 1 },
};

static void apply_file_change(const struct certificate_files *f, enum file_change file_change)
{
	struct certificate_files other;

	certificate_files_new(&other, 2);
	switch (file_change) {
	case FILES_UNCHANGED:
		break;
	case BOTH_REPLACED:
		ck_assert_int_eq(rename(other.certificate_path, f->certificate_path), 0);
		ck_assert_int_eq(rename(other.key_path, f->key_path), 0);
		break;
	case CERTIFICATE_REPLACED:
		ck_assert_int_eq(rename(other.certificate_path, f->certificate_path), 0);
		break;
	case CERTIFICATE_MALFORMED:
		ck_assert(g_file_set_contents(f->certificate_path, "garbage", -1, NULL));
		break;
	case KEY_MISSING:
		ck_assert_int_eq(unlink(f->key_path), 0);
		break;
	case KEY_ENCRYPTED:
		certificate_encrypt_key(f, "pass");
		break;
	}
	certificate_files_free(&other);
}

static long serial_number(const struct pw_tls_files *f)
{
	return ASN1_INTEGER_get(X509_get0_serialNumber(SSL_CTX_get0_certificate(f->ssl_context)));
}

/*
 * Guards against a changed certificate that is not loaded, and against unusable files that leave
 * no certificate in use.
 */
START_TEST(test_reload)
{
	struct certificate_files files;
	struct pw_tls_files tls;
	bool changed;

	certificate_files_new(&files, 1);
	pw_tls_files_init(&tls, files.certificate_path, files.key_path);
	ck_assert_int_eq(pw_tls_files_reload(&tls, &changed), PW_OK);
	ck_assert(changed);
	apply_file_change(&files, reload_cases[_i].file_change);
	ck_assert_msg(pw_tls_files_reload(&tls, &changed) == reload_cases[_i].status, "case: %s",
		      reload_cases[_i].label);
	ck_assert(changed == reload_cases[_i].changed);
	ck_assert_int_eq(serial_number(&tls), reload_cases[_i].serial);
	/* An error is returned only once for each change of the files. */
	ck_assert_int_eq(pw_tls_files_reload(&tls, &changed), PW_OK);
	ck_assert(!changed);
	pw_tls_files_dispose(&tls);
	certificate_files_free(&files);
}
END_TEST

static void keep_input(struct pw_stream *s)
{
	(void)s;
}

static const struct pw_stream_ops keep_ops = {
	.received = keep_input,
	.closed = pw_stream_dispose,
};

/* Size of the bytes that are sent in each direction, above what the socket takes at once. */
#define TOTALS_OUTPUT_BYTES 4194304
#define TOTALS_INPUT_BYTES  65536

/* Guards against buffers that are not counted, or that stay large when little is left in them. */
START_TEST(test_totals_follow_buffers)
{
	struct pw_loop *loop;
	struct pw_stream s;
	uint64_t input_bytes = 0, output_bytes = 0;
	uint8_t *data = g_malloc0(TOTALS_OUTPUT_BYTES);
	int fds[2];

	ck_assert_int_eq(pw_loop_new(&loop), 0);
	ck_assert_int_eq(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
	ck_assert_int_eq(pw_stream_init(&s, &keep_ops, loop, fds[0]), 0);
	pw_stream_set_totals(&s, &input_bytes, &output_bytes);
	pw_stream_send(&s, data, TOTALS_OUTPUT_BYTES);
	ck_assert_uint_eq(output_bytes, TOTALS_OUTPUT_BYTES);
	for (uint32_t sent = 0; sent < TOTALS_INPUT_BYTES;) {
		ssize_t n = send(fds[1], data, TOTALS_INPUT_BYTES - sent, 0);

		if (n > 0)
			sent += (uint32_t)n;
		s.source.ops->ready(&s.source, EPOLLIN);
	}
	while (pw_stream_input_bytes(&s) < TOTALS_INPUT_BYTES)
		s.source.ops->ready(&s.source, EPOLLIN);
	ck_assert_uint_eq(input_bytes, TOTALS_INPUT_BYTES);
	pw_stream_consume(&s, TOTALS_INPUT_BYTES / 2);
	ck_assert_uint_eq(input_bytes, TOTALS_INPUT_BYTES);
	pw_stream_consume(&s, TOTALS_INPUT_BYTES / 2 - 1);
	ck_assert_uint_eq(input_bytes, 1);
	pw_stream_dispose(&s);
	ck_assert_uint_eq(input_bytes, 0);
	ck_assert_uint_eq(output_bytes, 0);
	close(fds[1]);
	pw_loop_free(loop);
	g_free(data);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("stream");

	signal(SIGPIPE, SIG_IGN);
	tcase_add_loop_test(tc, test_echo, 0, PW_ARRAY_LEN(echo_cases));
	tcase_add_test(tc, test_close_during_handshake);
	tcase_add_loop_test(tc, test_unread_output, 0, 2);
	tcase_add_loop_test(tc, test_reload, 0, PW_ARRAY_LEN(reload_cases));
	tcase_add_test(tc, test_totals_follow_buffers);
	return pw_suite_run("stream", tc);
}
