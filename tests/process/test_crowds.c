/*
 * Tests of callers that send much, stop half-way, or do not read: one proxy process with a lowered
 * memory limit and the PostgreSQL protocol. Checked are the memory and the descriptors of the
 * process, that it lives, and that an ordinary statement is answered afterwards.
 */
#include "suite.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness_service.h"

/* `--memory-limit` of the proxy in MB, and what its resident memory may be. */
#define MEMORY_LIMIT_MB    "64"
#define MEMORY_LIMIT_BYTES UINT64_C(64000000)
/* Resident memory once the callers have left. */
#define MEMORY_LEFT_BYTES (MEMORY_LIMIT_BYTES / 2)
#define DESCRIPTORS_MAX   4300
#define KIB               1024
#define MIB               1048576
#define ANSWER_TIMEOUT_MS 3000
/* The callers stop when the proxy has taken nothing from any of them for so long. */
#define STALL_US G_GINT64_CONSTANT(2000000)
/* Longest time for an ordinary statement, with its repetitions, and to give memory back. */
#define AFTERWARDS_MS 20000
#define AFTERWARDS_US G_GINT64_CONSTANT(20000000)
#define ACCOUNT_COUNT 2
#define CALLERS_MAX   160

enum target {
	TARGET_SESSION, /**< a caller that has logged in */
	TARGET_LOGIN,   /**< a connection of a caller without a login */
	TARGET_API,
};

static const struct crowd {
	const char *label;
	enum target target;
	uint32_t caller_count;
	const char *head;      /**< sent first, with its length if it has a type */
	char type;             /**< of the message; 0: the head is sent as it is */
	uint32_t filler_bytes; /**< behind the head */
	uint32_t turn_count;
	uint32_t unsent_bytes; /**< of the last turn, at its end */
	uint32_t piece_bytes;  /**< of one send; 0: as much as possible */
} crowds[] = {
	{ "stopped within a statement", TARGET_SESSION, 80, "SELECT '", 'Q', MIB - 1024, 1, 2, 0 },
	{ "stopped within a statement, in small pieces", TARGET_SESSION, 80, "SELECT '", 'Q',
	  MIB - 1024, 1, 100 * KIB, 1000 },
	{ "statements sent ahead, answers not read", TARGET_SESSION, 40, "SELECT 1", 'Q', 0, 100000,
	  0, 0 },
	{ "failing statements sent ahead, answers not read", TARGET_SESSION, 40, "LISTEN a", 'Q', 0,
	  100000, 0, 0 },
	{ "large statements sent ahead", TARGET_SESSION, 40, "SELECT 1 -- ", 'Q', MIB - 1024, 16, 0,
	  0 },
	{ "parse messages without a sync", TARGET_SESSION, 80, "p\0SELECT 1 -- ", 'P', 60 * KIB, 16,
	  0, 0 },
	{ "statements over the limit", TARGET_SESSION, 80, "SELECT '", 'Q', 8 * MIB, 1, 2, 0 },
	{ "start-up messages that do not end", TARGET_LOGIN, 160, "\0\0\0\1", 0, 8 * KIB, 1, 0, 0 },
	{ "bodies at the administration address", TARGET_API, 64,
	  "PUT /v1/document HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000\r\n\r\n", 0, 8 * MIB,
	  1, 0, 0 },
};

struct sender {
	PGconn *conn; /* NULL: no login */
	int fd;       /* -1: closed */
	gsize sent_bytes;
	uint32_t turn_index;
};

static struct pw_harness_service service;

static uint64_t read_memory(const char *name)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)service.proxy->pid), *text = NULL;
	const char *found;
	uint64_t kib;

	ck_assert_msg(g_file_get_contents(path, &text, NULL, NULL), "%s", path);
	found = strstr(text, name);
	ck_assert_ptr_nonnull(found);
	kib = g_ascii_strtoull(found + strlen(name) + 1, NULL, 10);
	g_free(text);
	g_free(path);
	return kib * KIB;
}

static uint32_t count_descriptors(void)
{
	char *path = g_strdup_printf("/proc/%d/fd", (int)service.proxy->pid);
	GDir *d = g_dir_open(path, 0, NULL);
	uint32_t count = 0;

	while (d && g_dir_read_name(d))
		count++;
	if (d)
		g_dir_close(d);
	g_free(path);
	return count;
}

static bool is_alive(void)
{
	return !pw_harness_wait_end(service.proxy, 0);
}

static int open_socket(uint16_t port)
{
	struct sockaddr_in a = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Returns the size of the head, which has a zero byte before its last text in a Parse message. */
static gsize head_bytes(const struct crowd *crowd)
{
	if (crowd->type == 'P')
		return strlen(crowd->head) + 1 + strlen(crowd->head + strlen(crowd->head) + 1);
	return crowd->target == TARGET_LOGIN ? 4 : strlen(crowd->head);
}

/* Builds the message that each turn sends. */
static GByteArray *build_message(const struct crowd *crowd)
{
	GByteArray *b = g_byte_array_new();
	gsize size_bytes = head_bytes(crowd);
	static const guint8 end[3] = { 0 };
	guint8 filler[KIB];

	if (crowd->type) {
		uint32_t tail_bytes = crowd->type == 'P' ? 3 : 1;
		uint32_t length =
			htonl((uint32_t)(4 + size_bytes + crowd->filler_bytes + tail_bytes));

		g_byte_array_append(b, (const guint8 *)&crowd->type, 1);
		g_byte_array_append(b, (const guint8 *)&length, 4);
	}
	g_byte_array_append(b, (const guint8 *)crowd->head, (guint)size_bytes);
	memset(filler, 'x', sizeof(filler));
	for (uint32_t n = 0; n < crowd->filler_bytes; n += KIB)
		g_byte_array_append(b, filler, MIN(KIB, crowd->filler_bytes - n));
	if (crowd->type)
		g_byte_array_append(b, end, crowd->type == 'P' ? 3 : 1);
	return b;
}

static struct sender connect_sender(const struct crowd *crowd, uint32_t index)
{
	struct sender s = { .fd = -1 };

	if (crowd->target == TARGET_SESSION) {
		struct pw_harness_login login =
			pw_harness_service_login(&service, index % ACCOUNT_COUNT);
		char *error = NULL;

		s.conn = pw_harness_connect(&login, ANSWER_TIMEOUT_MS, &error);
		s.fd = s.conn ? PQsocket(s.conn) : -1;
		g_free(error);
	} else {
		s.fd = open_socket(crowd->target == TARGET_API ? service.api_port
							       : service.caller_port);
	}
	return s;
}

/* Sends without waiting. Returns whether the proxy has taken bytes. */
static bool send_some(const struct crowd *crowd, struct sender *s, const GByteArray *message)
{
	gsize end = message->len;
	gsize size_bytes;
	ssize_t n;

	if (s->sent_bytes == end && s->turn_index + 1 < crowd->turn_count) {
		s->turn_index++;
		s->sent_bytes = 0;
	}
	if (s->turn_index + 1 == crowd->turn_count)
		end -= crowd->unsent_bytes;
	size_bytes = end - s->sent_bytes;
	if (s->fd < 0 || !size_bytes)
		return false;
	if (crowd->piece_bytes)
		size_bytes = MIN(size_bytes, crowd->piece_bytes);
	n = send(s->fd, message->data + s->sent_bytes, size_bytes, MSG_DONTWAIT | MSG_NOSIGNAL);
	if (n < 0 && errno != EAGAIN)
		s->fd = -1;
	s->sent_bytes += n > 0 ? (gsize)n : 0;
	return n > 0;
}

/* Sends ahead on all connections until all is sent or the proxy takes no more. */
static void send_ahead(const struct crowd *crowd, struct sender *senders)
{
	GByteArray *message = build_message(crowd);
	gint64 taken_us = g_get_monotonic_time();

	while (g_get_monotonic_time() - taken_us < STALL_US && is_alive()) {
		bool taken = false;

		for (uint32_t i = 0; i < crowd->caller_count; i++)
			taken |= send_some(crowd, &senders[i], message);
		if (taken)
			taken_us = g_get_monotonic_time();
		else
			g_usleep(2000);
	}
	g_byte_array_unref(message);
}

/* Waits until the memory of the proxy no longer changes: it has done what it will do. */
static void wait_until_settled(void)
{
	gint64 start_us = g_get_monotonic_time(), changed_us = start_us, now_us = start_us;
	uint64_t last_bytes = 0;

	while (is_alive() && now_us - changed_us < STALL_US && now_us - start_us < AFTERWARDS_US) {
		uint64_t bytes = read_memory("VmRSS");

		if (bytes / MIB != last_bytes / MIB)
			changed_us = now_us;
		last_bytes = bytes;
		g_usleep(20000);
		now_us = g_get_monotonic_time();
	}
}

/* Whether a statement of a new caller is answered. */
static bool is_served(void)
{
	struct pw_harness_login login = pw_harness_service_login(&service, 0);
	char *actual = pw_harness_connect_and_query(&login, ANSWER_TIMEOUT_MS, "SELECT 1");
	bool served = strcmp(actual, "1") == 0;

	g_free(actual);
	return served;
}

/* Guards against a process that is killed for its memory, or hangs, because of such callers. */
START_TEST(test_crowd)
{
	static const char *const no_args[] = { NULL };
	const struct crowd *crowd = &crowds[_i];
	struct sender senders[CALLERS_MAX] = { 0 };
	uint64_t peak_bytes, left_bytes;
	uint32_t descriptor_count, closed_count = 0;
	bool alive, served, given_back;

	g_setenv("PW_MEMORY_LIMIT", MEMORY_LIMIT_MB, TRUE);
	pw_harness_service_start(&service, "", no_args);
	for (uint32_t i = 0; i < crowd->caller_count; i++)
		senders[i] = connect_sender(crowd, i);
	send_ahead(crowd, senders);
	wait_until_settled();
	descriptor_count = count_descriptors();
	alive = is_alive();
	served = alive && PW_HARNESS_WAIT_UNTIL(is_served(), AFTERWARDS_MS);
	peak_bytes = alive ? read_memory("VmHWM") : 0;
	for (uint32_t i = 0; i < crowd->caller_count; i++) {
		closed_count += senders[i].fd < 0;
		if (senders[i].conn)
			PQfinish(senders[i].conn);
		else if (senders[i].fd >= 0)
			close(senders[i].fd);
	}
	given_back = alive && PW_HARNESS_WAIT_UNTIL(read_memory("VmRSS") <= MEMORY_LEFT_BYTES,
						    AFTERWARDS_MS);
	left_bytes = alive ? read_memory("VmRSS") : 0;
	alive = is_alive();
	printf("%s: %u closed, peak %.1f MB, left %.1f MB, %u descriptors\n", crowd->label,
	       closed_count, (double)peak_bytes / 1e6, (double)left_bytes / 1e6, descriptor_count);
	fflush(stdout);
	pw_harness_service_stop(&service);
	ck_assert_msg(alive && served && given_back && peak_bytes <= MEMORY_LIMIT_BYTES &&
			      descriptor_count <= DESCRIPTORS_MAX,
		      "%s: alive %d, served %d, peak %.1f MB, left %.1f MB, %u descriptors",
		      crowd->label, alive, served, (double)peak_bytes / 1e6,
		      (double)left_bytes / 1e6, descriptor_count);
}
END_TEST

/* With a text as argument, plays only the cases whose labels contain it. */
int main(int argc, char **argv)
{
	TCase *tc = tcase_create("crowds");

	for (int i = 0; i < (int)PW_ARRAY_LEN(crowds); i++) {
		if (argc < 2 || strstr(crowds[i].label, argv[1]))
			tcase_add_loop_test(tc, test_crowd, i, i + 1);
	}
	return pw_suite_run("crowds", tc);
}
