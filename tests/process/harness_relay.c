#include "harness_relay.h"

#include <arpa/inet.h>
#include <check.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness.h"

#define BUFFER_BYTES 65536

struct pair {
	int fds[2]; /**< sockets of one relayed connection: to the client, to the target */
};

struct pw_harness_relay {
	uint16_t port;
	uint16_t target_port;
	int listen_fd;
	int wake_fd;      /**< eventfd that interrupts the thread's poll() */
	gint mode;        /**< enum pw_harness_relay_mode; atomic */
	gint stopping;    /**< atomic */
	gint bytes_per_s; /**< limit of what the target sends; 0 for none; atomic */
	GThread *thread;
	GArray *pairs; /**< struct pair */
	GMutex lock;   /**< guards `sent_bytes` */
	/** Bytes forwarded to the target, of all connections in order of receipt. */
	GByteArray *sent_bytes;
};

static struct sockaddr_in loopback_address(uint16_t port)
{
	return (struct sockaddr_in){ .sin_family = AF_INET,
				     .sin_port = htons(port),
				     .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
}

static void close_pair(GArray *pairs, guint i)
{
	const struct pair *p = &g_array_index(pairs, struct pair, i);

	close(p->fds[0]);
	close(p->fds[1]);
	g_array_remove_index_fast(pairs, i);
}

static void accept_pair(struct pw_harness_relay *r)
{
	const struct sockaddr_in a = loopback_address(r->target_port);
	struct pair p = { .fds = { accept4(r->listen_fd, NULL, NULL, SOCK_CLOEXEC), -1 } };

	if (p.fds[0] < 0)
		return;
	p.fds[1] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (g_atomic_int_get(&r->mode) == PW_RELAY_DISCONNECT ||
	    connect(p.fds[1], (const struct sockaddr *)&a, sizeof(a))) {
		close(p.fds[0]);
		close(p.fds[1]);
		return;
	}
	g_array_append_val(r->pairs, p);
}

/* Forwards up to one buffer. Returns false at the end of the connection or after an error. */
static bool forward(int from, int to, char *bytes, ssize_t *size)
{
	ssize_t n = recv(from, bytes, BUFFER_BYTES, MSG_DONTWAIT);

	*size = MAX(n, 0);
	return n > 0 && send(to, bytes, (size_t)n, MSG_NOSIGNAL) == n;
}

/*
 * Forwards what one side of a pair has sent: 0 is the client, 1 the target. Records what is sent to
 * the target, and waits for the time that a shared link takes for what the target has sent. Returns
 * the same as forward().
 */
static bool forward_side(struct pw_harness_relay *r, const struct pair *p, int side)
{
	char bytes[BUFFER_BYTES];
	ssize_t size;
	bool is_open = forward(p->fds[side], p->fds[!side], bytes, &size);
	gint bytes_per_s = g_atomic_int_get(&r->bytes_per_s);

	if (side == 1 && bytes_per_s)
		g_usleep((gulong)size * G_USEC_PER_SEC / (gulong)bytes_per_s);
	if (side == 0) {
		g_mutex_lock(&r->lock);
		g_byte_array_append(r->sent_bytes, (const guint8 *)bytes, (guint)size);
		g_mutex_unlock(&r->lock);
	}
	return is_open;
}

bool pw_harness_relay_has_forwarded(struct pw_harness_relay *r, const char *text)
{
	size_t size = strlen(text);
	bool found;

	g_mutex_lock(&r->lock);
	found = memmem(r->sent_bytes->data, r->sent_bytes->len, text, size) != NULL;
	g_mutex_unlock(&r->lock);
	return found;
}

/* Forwards between the pairs; `pollfds` has two entries for each pair. Closes pairs that ended. */
static void forward_pairs(struct pw_harness_relay *r, const struct pollfd *pollfds, guint count)
{
	for (guint i = count; i-- > 0;) {
		const struct pair *p = &g_array_index(r->pairs, struct pair, i);
		bool ended = false;

		for (int side = 0; side < 2 && !ended; side++)
			ended = pollfds[2 * i + (guint)side].revents && !forward_side(r, p, side);
		if (ended)
			close_pair(r->pairs, i);
	}
}

static gpointer run_relay(gpointer data)
{
	struct pw_harness_relay *r = data;
	GArray *pollfds = g_array_new(FALSE, TRUE, sizeof(struct pollfd));

	while (!g_atomic_int_get(&r->stopping)) {
		gint mode = g_atomic_int_get(&r->mode);
		struct pollfd entry = { .fd = r->wake_fd, .events = POLLIN };
		guint count;
		uint64_t n;

		while (mode == PW_RELAY_DISCONNECT && r->pairs->len)
			close_pair(r->pairs, 0);
		count = r->pairs->len;
		g_array_set_size(pollfds, 0);
		g_array_append_val(pollfds, entry);
		entry.fd = r->listen_fd;
		g_array_append_val(pollfds, entry);
		for (guint i = 0; i < 2 * count && mode == PW_RELAY_FORWARD; i++) {
			entry.fd = g_array_index(r->pairs, struct pair, i / 2).fds[i % 2];
			g_array_append_val(pollfds, entry);
		}
		poll((struct pollfd *)(void *)pollfds->data, pollfds->len, -1);
		if (g_array_index(pollfds, struct pollfd, 0).revents)
			(void)!read(r->wake_fd, &n, sizeof(n));
		else if (pollfds->len > 2)
			forward_pairs(r, &g_array_index(pollfds, struct pollfd, 2), count);
		if (g_array_index(pollfds, struct pollfd, 1).revents)
			accept_pair(r);
	}
	g_array_unref(pollfds);
	return NULL;
}

struct pw_harness_relay *pw_harness_relay_new(uint16_t target_port)
{
	struct pw_harness_relay *r = g_new0(struct pw_harness_relay, 1);
	struct sockaddr_in a;

	r->port = pw_harness_allocate_port();
	r->target_port = target_port;
	a = loopback_address(r->port);
	r->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	ck_assert_int_eq(
		setsockopt(r->listen_fd, SOL_SOCKET, SO_REUSEADDR, &(int){ 1 }, sizeof(int)), 0);
	ck_assert_int_eq(bind(r->listen_fd, (const struct sockaddr *)&a, sizeof(a)), 0);
	ck_assert_int_eq(listen(r->listen_fd, 64), 0);
	r->wake_fd = eventfd(0, EFD_CLOEXEC);
	g_mutex_init(&r->lock);
	r->sent_bytes = g_byte_array_new();
	r->pairs = g_array_new(FALSE, TRUE, sizeof(struct pair));
	r->thread = g_thread_new("relay", run_relay, r);
	return r;
}

static void wake_thread(const struct pw_harness_relay *r)
{
	ck_assert_int_eq(write(r->wake_fd, &(uint64_t){ 1 }, sizeof(uint64_t)), sizeof(uint64_t));
}

void pw_harness_relay_set_mode(struct pw_harness_relay *r, enum pw_harness_relay_mode mode)
{
	g_atomic_int_set(&r->mode, (gint)mode);
	wake_thread(r);
}

void pw_harness_relay_set_rate(struct pw_harness_relay *r, uint32_t bytes_per_s)
{
	g_atomic_int_set(&r->bytes_per_s, (gint)bytes_per_s);
}

uint16_t pw_harness_relay_port(const struct pw_harness_relay *r)
{
	return r->port;
}

void pw_harness_relay_free(struct pw_harness_relay *r)
{
	if (!r)
		return;
	g_atomic_int_set(&r->stopping, 1);
	wake_thread(r);
	g_thread_join(r->thread);
	while (r->pairs->len)
		close_pair(r->pairs, 0);
	g_array_unref(r->pairs);
	g_byte_array_unref(r->sent_bytes);
	g_mutex_clear(&r->lock);
	close(r->listen_fd);
	close(r->wake_fd);
	g_free(r);
}
