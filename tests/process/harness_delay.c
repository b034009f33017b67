#include "harness_delay.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness.h"

#define BUFFER_BYTES 65536
/* Interval at which the thread looks whether it is to end. */
#define POLL_MS 100

/* Bytes, or the end of what one side sends, on their way to the other side. */
struct chunk {
	gint64 due_us;
	GBytes *bytes; /**< NULL: end */
	bool is_reset; /**< the end is a reset of the connection */
};

struct link {
	int fds[2];         /**< sockets: to the client, to the target */
	GQueue *queues[2];  /**< struct chunk that the side has sent */
	bool has_ended[2];  /**< the side sends no more */
	bool is_through[2]; /**< the end of the side has been passed on */
};

struct pw_harness_delay {
	uint16_t port;
	uint16_t target_port;
	gint64 delay_us;
	int listen_fd;
	gint stopping; /**< atomic */
	GThread *thread;
	GPtrArray *links; /**< struct link */
};

static struct sockaddr_in loopback_address(uint16_t port)
{
	return (struct sockaddr_in){ .sin_family = AF_INET,
				     .sin_port = htons(port),
				     .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
}

static void chunk_free(gpointer data)
{
	struct chunk *c = data;

	if (c->bytes)
		g_bytes_unref(c->bytes);
	g_free(c);
}

static void link_free(gpointer data)
{
	struct link *l = data;

	for (int side = 0; side < 2; side++) {
		if (l->fds[side] >= 0)
			close(l->fds[side]);
		g_queue_free_full(l->queues[side], chunk_free);
	}
	g_free(l);
}

static void accept_link(struct pw_harness_delay *d)
{
	const struct sockaddr_in a = loopback_address(d->target_port);
	struct link *l = g_new0(struct link, 1);

	l->fds[0] = accept4(d->listen_fd, NULL, NULL, SOCK_CLOEXEC);
	l->fds[1] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	for (int side = 0; side < 2; side++) {
		l->queues[side] = g_queue_new();
		(void)setsockopt(l->fds[side], IPPROTO_TCP, TCP_NODELAY, &(int){ 1 }, sizeof(int));
	}
	if (l->fds[0] < 0 || connect(l->fds[1], (const struct sockaddr *)&a, sizeof(a)))
		link_free(l);
	else
		g_ptr_array_add(d->links, l);
}

/* Reads what a side has sent, and queues it for the other side. */
static void receive(const struct pw_harness_delay *d, struct link *l, int side)
{
	char data[BUFFER_BYTES];
	ssize_t n = recv(l->fds[side], data, sizeof(data), MSG_DONTWAIT);
	struct chunk *c;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	c = g_new0(struct chunk, 1);
	c->due_us = g_get_monotonic_time() + d->delay_us;
	c->is_reset = n < 0;
	if (n > 0)
		c->bytes = g_bytes_new(data, (gsize)n);
	else
		l->has_ended[side] = true;
	g_queue_push_tail(l->queues[side], c);
}

/* Closes a socket so that the other side gets a reset. */
static void reset_socket(int *fd)
{
	const struct linger linger = { .l_onoff = 1 };

	if (*fd < 0)
		return;
	(void)setsockopt(*fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(*fd);
	*fd = -1;
}

/* Passes on what a side has sent and what is due. */
static void pass_on(struct link *l, int side, gint64 now_us)
{
	struct chunk *c;

	while ((c = g_queue_peek_head(l->queues[side])) && c->due_us <= now_us) {
		int *to = &l->fds[!side];
		gsize size = 0;
		const void *data = c->bytes ? g_bytes_get_data(c->bytes, &size) : NULL;

		/* The side that does not take the bytes resets the connection; recv() sees that. */
		if (data && *to >= 0)
			(void)!send(*to, data, size, MSG_NOSIGNAL);
		if (!data)
			l->is_through[side] = true;
		if (!data && c->is_reset)
			reset_socket(to);
		else if (!data && *to >= 0)
			shutdown(*to, SHUT_WR);
		(void)g_queue_pop_head(l->queues[side]);
		chunk_free(c);
	}
}

/* Returns whether nothing can pass on the link any more. */
static bool is_over(const struct link *l)
{
	return (l->is_through[0] && l->is_through[1]) || (l->is_through[0] && l->fds[1] < 0) ||
	       (l->is_through[1] && l->fds[0] < 0);
}

/* Returns the time until the next chunk is due, in ms. */
static int next_due_ms(const struct pw_harness_delay *d, gint64 now_us)
{
	gint64 wait_us = POLL_MS * 1000;

	for (guint i = 0; i < d->links->len; i++) {
		struct link *l = g_ptr_array_index(d->links, i);

		for (int side = 0; side < 2; side++) {
			const struct chunk *c = g_queue_peek_head(l->queues[side]);

			if (c)
				wait_us = MIN(wait_us, MAX(c->due_us - now_us, 0));
		}
	}
	return (int)((wait_us + 999) / 1000);
}

static void poll_links(struct pw_harness_delay *d)
{
	GArray *pollfds = g_array_new(FALSE, TRUE, sizeof(struct pollfd));
	struct pollfd entry = { .fd = d->listen_fd, .events = POLLIN };
	guint count = d->links->len;

	g_array_append_val(pollfds, entry);
	for (guint i = 0; i < 2 * count; i++) {
		const struct link *l = g_ptr_array_index(d->links, i / 2);

		entry.fd = l->has_ended[i % 2] ? -1 : l->fds[i % 2];
		g_array_append_val(pollfds, entry);
	}
	poll((struct pollfd *)(void *)pollfds->data, pollfds->len,
	     next_due_ms(d, g_get_monotonic_time()));
	for (guint i = 0; i < 2 * count; i++) {
		if (g_array_index(pollfds, struct pollfd, i + 1).revents)
			receive(d, g_ptr_array_index(d->links, i / 2), (int)(i % 2));
	}
	if (g_array_index(pollfds, struct pollfd, 0).revents)
		accept_link(d);
	g_array_unref(pollfds);
}

static gpointer run_delay(gpointer data)
{
	struct pw_harness_delay *d = data;

	while (!g_atomic_int_get(&d->stopping)) {
		gint64 now_us;

		poll_links(d);
		now_us = g_get_monotonic_time();
		for (guint i = d->links->len; i-- > 0;) {
			struct link *l = g_ptr_array_index(d->links, i);

			for (int side = 0; side < 2; side++)
				pass_on(l, side, now_us);
			if (is_over(l))
				g_ptr_array_remove_index_fast(d->links, i);
		}
	}
	return NULL;
}

struct pw_harness_delay *pw_harness_delay_new(uint16_t target_port, uint32_t delay_ms)
{
	struct pw_harness_delay *d = g_new0(struct pw_harness_delay, 1);
	struct sockaddr_in a;

	d->port = pw_harness_allocate_port();
	d->target_port = target_port;
	d->delay_us = (gint64)delay_ms * 1000;
	a = loopback_address(d->port);
	d->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	ck_assert_int_eq(
		setsockopt(d->listen_fd, SOL_SOCKET, SO_REUSEADDR, &(int){ 1 }, sizeof(int)), 0);
	ck_assert_int_eq(bind(d->listen_fd, (const struct sockaddr *)&a, sizeof(a)), 0);
	ck_assert_int_eq(listen(d->listen_fd, 256), 0);
	d->links = g_ptr_array_new_with_free_func(link_free);
	d->thread = g_thread_new("delay", run_delay, d);
	return d;
}

uint16_t pw_harness_delay_port(const struct pw_harness_delay *d)
{
	return d->port;
}

void pw_harness_delay_free(struct pw_harness_delay *d)
{
	if (!d)
		return;
	g_atomic_int_set(&d->stopping, 1);
	g_thread_join(d->thread);
	g_ptr_array_unref(d->links);
	close(d->listen_fd);
	g_free(d);
}
