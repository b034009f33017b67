#include "pw/core/stream.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pw/core/address.h"
#include "pw/core/clock.h"
#include "pw/core/error.h"

/*
 * As large as the largest TLS record, so that a read leaves no decrypted bytes in the transport:
 * epoll would not report the socket as readable for them.
 */
#define READ_CHUNK_BYTES 16384
#define LISTEN_BACKLOG   1024

/*
 * By default, a silent remote end is probed after 10 seconds and then every 5 seconds. Its loss is
 * detected after 20 seconds: on Linux TCP_USER_TIMEOUT takes precedence over the number of probes.
 */
#define KEEPALIVE_IDLE_S     10
#define KEEPALIVE_INTERVAL_S 5
#define KEEPALIVE_PROBES     3
#define UNACKED_TIMEOUT_MS   20000

static void set_option(int32_t fd, int level, int name, int value)
{
	/* Failures are ignored: the connection works without these options. */
	(void)setsockopt(fd, level, name, &value, sizeof(value));
}

static void set_keepalive(int32_t fd, int idle_s, int interval_s, int probes,
			  int unacked_timeout_ms)
{
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, idle_s);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, interval_s);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, probes);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, unacked_timeout_ms);
}

static void set_default_options(int32_t fd)
{
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_keepalive(fd, KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES,
		      UNACKED_TIMEOUT_MS);
}

int pw_stream_listen(int32_t *fd, const char *address)
{
	struct pw_address addr;
	int rc = pw_address_parse(&addr, address);

	if (rc)
		return rc;
	*fd = socket(addr.socket.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (*fd < 0)
		return pw_error_set(PW_ESYSTEM, "socket: %s", strerror(errno));
	set_option(*fd, SOL_SOCKET, SO_REUSEADDR, 1);
	set_option(*fd, SOL_SOCKET, SO_REUSEPORT, 1);
	if (bind(*fd, (struct sockaddr *)&addr.socket, addr.size_bytes) < 0 ||
	    listen(*fd, LISTEN_BACKLOG) < 0) {
		rc = pw_error_set(PW_ESYSTEM, "cannot listen on %s: %s", address, strerror(errno));
		close(*fd);
		*fd = -1;
	}
	return rc;
}

static struct pw_stream *stream_from_source(struct pw_source *source)
{
	return (struct pw_stream *)((char *)source - offsetof(struct pw_stream, source));
}

uint32_t pw_stream_input_bytes(const struct pw_stream *s)
{
	return s->input ? s->input->len : 0;
}

uint32_t pw_stream_output_bytes(const struct pw_stream *s)
{
	return s->output ? s->output->len : 0;
}

bool pw_stream_has_unread_input(const struct pw_stream *s)
{
	char byte;

	return s->open && recv(s->source.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Returns the port of the remote end, or 0 if it has closed the connection. */
static uint16_t find_remote_port(const struct pw_stream *s)
{
	union {
		struct sockaddr any;
		struct sockaddr_in in;
		struct sockaddr_in6 in6;
	} a = { .in6 = { 0 } };
	socklen_t size = sizeof(a);

	if (getpeername(s->source.fd, &a.any, &size) < 0)
		return 0;
	return ntohs(a.any.sa_family == AF_INET6 ? a.in6.sin6_port : a.in.sin_port);
}

static bool wants_input(const struct pw_stream *s)
{
	if (s->lingering)
		return true;
	return !s->connecting && !s->reading_paused && !s->shutdown_when_sent && !s->input_ended &&
	       pw_stream_input_bytes(s) < s->read_limit_bytes;
}

/* Returns the events after which a read can make progress. */
static uint32_t events_for_read(const struct pw_stream *s)
{
	return s->transport->read_wants_output ? EPOLLOUT : EPOLLIN;
}

/* Returns the events after which a write can make progress. */
static uint32_t events_for_write(const struct pw_stream *s)
{
	return s->transport->write_wants_input ? EPOLLIN : EPOLLOUT;
}

static void update_events(struct pw_stream *s)
{
	uint32_t events = 0;

	if (!s->open)
		return;
	if (s->connecting || pw_stream_output_bytes(s))
		events |= events_for_write(s);
	if (wants_input(s))
		events |= events_for_read(s);
	pw_loop_watch(s->loop, &s->source, events);
}

/* Calls `closed`, which may free the stream, so the caller must return without using it. */
static void close_stream(struct pw_stream *s)
{
	if (!s->open)
		return;
	s->open = false;
	pw_loop_unwatch(s->loop, &s->source);
	s->ops->closed(s);
}

/* A buffer above this size is replaced when at most a quarter of it is still in use. */
#define BUFFER_KEEP_BYTES 16384

/* Records the size of a buffer: it grows with its content and is then kept. */
static void record_size(const GByteArray *buffer, uint32_t *size_bytes, uint64_t *total_bytes)
{
	uint32_t new_size_bytes = buffer ? MAX(*size_bytes, buffer->len) : 0;

	if (total_bytes)
		*total_bytes += (uint64_t)new_size_bytes - *size_bytes;
	*size_bytes = new_size_bytes;
}

static void record_input_size(struct pw_stream *s)
{
	record_size(s->input, &s->input_size_bytes, s->input_total_bytes);
}

static void record_output_size(struct pw_stream *s)
{
	record_size(s->output, &s->output_size_bytes, s->output_total_bytes);
}

/* Removes bytes from the start of a buffer. Frees it, or makes it smaller, if little is left. */
static void remove_bytes(GByteArray **buffer, uint32_t *size_bytes, uint64_t *total_bytes,
			 uint32_t count_bytes)
{
	GByteArray *b = *buffer;

	if (count_bytes >= b->len) {
		g_byte_array_unref(b);
		*buffer = NULL;
	} else if (*size_bytes > BUFFER_KEEP_BYTES && b->len - count_bytes <= *size_bytes / 4) {
		*buffer = g_byte_array_new();
		g_byte_array_append(*buffer, b->data + count_bytes, b->len - count_bytes);
		g_byte_array_unref(b);
		record_size(NULL, size_bytes, total_bytes);
	} else {
		g_byte_array_remove_range(b, 0, count_bytes);
	}
	record_size(*buffer, size_bytes, total_bytes);
}

/* Writes as much output as the socket accepts. Returns false if the connection has failed. */
static bool write_output(struct pw_stream *s)
{
	while (s->output) {
		int32_t n = s->transport->ops->write(s->transport, s->source.fd, s->output->data,
						     s->output->len);

		if (n < 0)
			return n == PW_EAGAIN;
		s->sent_bytes += (uint64_t)n;
		remove_bytes(&s->output, &s->output_size_bytes, s->output_total_bytes, (uint32_t)n);
	}
	return true;
}

/*
 * Reads one chunk of input. Returns false after a failure, and at the end of the input unless the
 * owner handles it.
 */
static bool read_input(struct pw_stream *s)
{
	uint8_t chunk[READ_CHUNK_BYTES];
	int32_t n = s->transport->ops->read(s->transport, s->source.fd, chunk, sizeof(chunk));

	if (n < 0)
		return n == PW_EAGAIN;
	if (n == 0) {
		s->input_ended = s->ops->input_ended != NULL;
		return s->input_ended;
	}
	if (!s->input)
		s->input = g_byte_array_new();
	g_byte_array_append(s->input, chunk, (guint)n);
	record_input_size(s);
	return true;
}

/*
 * Shuts down the sending side after the last output. Further input is read and discarded until the
 * remote end closes as well: closing a socket with unread input resets the connection, and the
 * reset may overtake the last output.
 */
static void start_lingering(struct pw_stream *s)
{
	s->lingering = true;
	s->transport->ops->shutdown(s->transport);
	shutdown(s->source.fd, SHUT_WR);
	s->shut_down_us = pw_clock_now_us();
	s->remote_port = find_remote_port(s);
	update_events(s);
}

/* Returns false if the remote end has closed the connection or it has failed. */
static bool discard_input(struct pw_stream *s)
{
	uint8_t chunk[READ_CHUNK_BYTES];
	ssize_t n = recv(s->source.fd, chunk, sizeof(chunk), 0);

	if (n > 0) {
		s->discarded_bytes += (uint32_t)n;
		if (!s->discarded_us)
			s->discarded_us = pw_clock_now_us();
	}
	return n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
}

/* Returns false if the connection could not be established. */
static bool complete_connect(struct pw_stream *s)
{
	int error = 0;
	socklen_t size = sizeof(error);

	if (getsockopt(s->source.fd, SOL_SOCKET, SO_ERROR, &error, &size) < 0 || error)
		return false;
	s->connecting = false;
	update_events(s);
	s->ops->connected(s);
	return true;
}

static void handle_output(struct pw_stream *s)
{
	if (!write_output(s)) {
		close_stream(s);
		return;
	}
	update_events(s);
	if (s->output)
		return;
	if (s->shutdown_when_sent)
		start_lingering(s);
	else if (s->ops->output_written)
		s->ops->output_written(s);
}

static void handle_input(struct pw_stream *s)
{
	/* The read may have received the TLS data that a write was waiting for. */
	if (!read_input(s) || (s->transport->write_wants_input && !write_output(s))) {
		close_stream(s);
		return;
	}
	update_events(s);
	/* The handler may free the stream, so output is left to the next iteration of the loop. */
	if (s->input_ended)
		s->ops->input_ended(s);
	else if (s->input)
		s->ops->received(s);
}

static void stream_ready(struct pw_source *source, uint32_t events)
{
	struct pw_stream *s = stream_from_source(source);

	if (s->connecting) {
		if (!complete_connect(s))
			close_stream(s);
		return;
	}
	if (s->lingering) {
		if (!discard_input(s))
			close_stream(s);
		return;
	}
	if (wants_input(s) && (events & events_for_read(s))) {
		handle_input(s);
		return;
	}
	if (events & (EPOLLERR | EPOLLHUP)) {
		close_stream(s);
		return;
	}
	if (events & events_for_write(s))
		handle_output(s);
}

static const struct pw_source_ops source_ops = { .ready = stream_ready };

static void init_stream(struct pw_stream *s, const struct pw_stream_ops *ops, struct pw_loop *l,
			int32_t fd)
{
	*s = (struct pw_stream){
		.ops = ops,
		.transport = &pw_transport_plain,
		.loop = l,
		.source = { .ops = &source_ops, .fd = fd },
		.read_limit_bytes = PW_STREAM_READ_LIMIT_DEFAULT_BYTES,
		.open = true,
	};
	set_default_options(fd);
}

int pw_stream_init(struct pw_stream *s, const struct pw_stream_ops *ops, struct pw_loop *l,
		   int32_t fd)
{
	init_stream(s, ops, l, fd);
	return pw_loop_watch(l, &s->source, EPOLLIN);
}

int pw_stream_connect(struct pw_stream *s, const struct pw_stream_ops *ops, struct pw_loop *l,
		      const char *address)
{
	struct pw_address addr;
	int32_t fd;
	int rc = pw_address_parse(&addr, address);

	if (rc)
		return rc;
	fd = socket(addr.socket.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return pw_error_set(PW_ESYSTEM, "socket: %s", strerror(errno));
	if (connect(fd, (struct sockaddr *)&addr.socket, addr.size_bytes) < 0 &&
	    errno != EINPROGRESS) {
		rc = pw_error_set(PW_EUNAVAILABLE, "cannot connect to %s: %s", address,
				  strerror(errno));
		close(fd);
		return rc;
	}
	init_stream(s, ops, l, fd);
	s->connecting = true;
	return pw_loop_watch(l, &s->source, EPOLLOUT);
}

void pw_stream_set_keepalive(struct pw_stream *s, uint32_t idle_s, uint32_t interval_s,
			     uint32_t probes, uint32_t unacked_timeout_ms)
{
	set_keepalive(s->source.fd, (int)idle_s, (int)interval_s, (int)probes,
		      (int)unacked_timeout_ms);
}

void pw_stream_set_transport(struct pw_stream *s, struct pw_transport *t)
{
	s->transport->ops->free(s->transport);
	s->transport = t;
	update_events(s);
}

void pw_stream_dispose(struct pw_stream *s)
{
	if (!s->loop)
		return;
	pw_loop_unwatch(s->loop, &s->source);
	s->transport->ops->shutdown(s->transport);
	s->transport->ops->free(s->transport);
	s->transport = &pw_transport_plain;
	close(s->source.fd);
	g_clear_pointer(&s->input, g_byte_array_unref);
	g_clear_pointer(&s->output, g_byte_array_unref);
	record_input_size(s);
	record_output_size(s);
	s->loop = NULL;
	s->open = false;
}

void pw_stream_send(struct pw_stream *s, const void *data, uint32_t size_bytes)
{
	bool was_empty = !s->output;

	if (!s->open || !size_bytes)
		return;
	if (!s->output)
		s->output = g_byte_array_new();
	g_byte_array_append(s->output, data, size_bytes);
	record_output_size(s);
	/*
	 * A failed write is ignored here. The loop repeats it and then calls `closed`, which must
	 * not run inside this call, since it may free the stream.
	 */
	if (was_empty && !s->connecting)
		(void)write_output(s);
	update_events(s);
}

void pw_stream_set_totals(struct pw_stream *s, uint64_t *input_total_bytes,
			  uint64_t *output_total_bytes)
{
	s->input_total_bytes = input_total_bytes;
	s->output_total_bytes = output_total_bytes;
	*input_total_bytes += s->input_size_bytes;
	*output_total_bytes += s->output_size_bytes;
}

void pw_stream_shutdown(struct pw_stream *s)
{
	if (s->shutdown_when_sent)
		return;
	s->shutdown_when_sent = true;
	if (s->output)
		update_events(s);
	else
		start_lingering(s);
}

void pw_stream_pause(struct pw_stream *s, bool paused)
{
	s->reading_paused = paused;
	update_events(s);
}

void pw_stream_consume(struct pw_stream *s, uint32_t size_bytes)
{
	if (!s->input)
		return;
	if (size_bytes)
		remove_bytes(&s->input, &s->input_size_bytes, s->input_total_bytes, size_bytes);
	update_events(s);
}
