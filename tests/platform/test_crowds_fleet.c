/*
 * End-to-end tests of callers that send much, slowly or without reading: one proxy process with a
 * lowered memory limit, against the platform stand-in. Checked are the memory and the descriptors
 * of the process, that it lives, and that an ordinary request is answered afterwards.
 */
#include "suite.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <sys/resource.h>

#include "platform_fleet.h"

/* `--memory-limit` of the proxy in MB, and what its resident memory may be. */
#define MEMORY_LIMIT_MB    "64"
#define MEMORY_LIMIT_BYTES UINT64_C(64000000)
/* Resident memory once the callers have left. */
#define MEMORY_LEFT_BYTES (MEMORY_LIMIT_BYTES / 2)
/* Descriptors of the proxy, lowered for the test of descriptors. */
#define DESCRIPTORS_MAX         4300
#define DESCRIPTORS_LOWERED_MAX 256
#define KIB                     1024
#define MIB                     1048576
/* Largest filler, so that a message with its head is inside the limit. */
#define FILLER_LARGE_BYTES (MIB - 256)
/* The callers stop when the proxy has taken nothing from any of them for so long. */
#define STALL_US G_GINT64_CONSTANT(2000000)
/* Longest time for an ordinary request, with its repetitions, and for memory to be given back. */
#define AFTERWARDS_MS     20000
#define AFTERWARDS_US     G_GINT64_CONSTANT(20000000)
#define ANSWER_TIMEOUT_US G_GINT64_CONSTANT(3000000)

enum target {
	TARGET_CALLERS,
	TARGET_API,
	TARGET_METRICS,
};

static const struct crowd {
	const char *label;
	enum target target;
	uint32_t caller_count;
	const char *opening;     /**< NULL: a session is opened */
	const char *messages[3]; /**< sent in turn; "%u" is the number of the message */
	uint32_t filler_bytes;   /**< behind the first message of a turn */
	uint32_t turn_count;
	uint32_t unsent_bytes; /**< of the last turn, at its end */
	uint32_t piece_bytes;  /**< of one send; 0: as much as possible */
	bool reads_answers;    /**< waits for the answer to each message */
	bool leaves_between;   /**< opens a new session for each turn */
} crowds[] = {
	{ .label = "failing statements sent ahead, answers not read",
	  .caller_count = 20,
	  .messages = { "QUERY q EXECUTE nope a b\r\n" },
	  .turn_count = 200000 },
	{ .label = "values set ahead, answers not read",
	  .caller_count = 20,
	  .messages = { "QUERY q SET z a\r\n" },
	  .turn_count = 500000 },
	{ .label = "20 large values each",
	  .caller_count = 10,
	  .messages = { "QUERY q SET v%u " },
	  .filler_bytes = FILLER_LARGE_BYTES,
	  .turn_count = 20,
	  .reads_answers = true },
	{ .label = "many small values each",
	  .caller_count = 100,
	  .messages = { "QUERY q SET v%u " },
	  .filler_bytes = 8 * KIB,
	  .turn_count = 200,
	  .reads_answers = true },
	{ .label = "20 large prepared texts each",
	  .caller_count = 5,
	  .messages = { "QUERY q PREPARE p%u READ " },
	  .filler_bytes = FILLER_LARGE_BYTES,
	  .turn_count = 20,
	  .reads_answers = true },
	{ .label = "large texts prepared, executed and closed",
	  .caller_count = 2,
	  .messages = { "QUERY q PREPARE p READ %u", "QUERY q EXECUTE p a\r\n",
			"QUERY q CLOSE p\r\n" },
	  .filler_bytes = FILLER_LARGE_BYTES,
	  .turn_count = 40,
	  .reads_answers = true },
	{ .label = "large values used at a server, then the caller leaves",
	  .caller_count = 4,
	  .messages = { "QUERY q SET v%u ", "QUERY q READ a\r\n" },
	  .filler_bytes = FILLER_LARGE_BYTES,
	  .turn_count = 20,
	  .reads_answers = true,
	  .leaves_between = true },
	{ .label = "stopped within a message",
	  .caller_count = 80,
	  .messages = { "QUERY q WRITE a " },
	  .filler_bytes = FILLER_LARGE_BYTES,
	  .turn_count = 1,
	  .unsent_bytes = 2 },
	{ .label = "stopped within a message, in small pieces",
	  .caller_count = 80,
	  .messages = { "QUERY q WRITE a " },
	  .filler_bytes = FILLER_LARGE_BYTES,
	  .turn_count = 1,
	  .unsent_bytes = 100 * KIB,
	  .piece_bytes = 1000 },
	{ .label = "stopped behind many small messages",
	  .caller_count = 300,
	  .messages = { "QUERY q WRITE a " },
	  .filler_bytes = 1000,
	  .turn_count = 250,
	  .unsent_bytes = 500 },
	{ .label = "large rows read ahead, answers not read",
	  .caller_count = 10,
	  .messages = { "QUERY q READ large\r\n" },
	  .turn_count = 100 },
	{ .label = "large writes sent ahead in one piece",
	  .caller_count = 20,
	  .messages = { "QUERY q WRITE a " },
	  .filler_bytes = FILLER_LARGE_BYTES,
	  .turn_count = 16 },
	{ .label = "messages over the limit",
	  .caller_count = 80,
	  .messages = { "QUERY q WRITE a " },
	  .filler_bytes = 8 * MIB,
	  .turn_count = 1,
	  .unsent_bytes = 2 },
	{ .label = "startup messages that do not end",
	  .caller_count = 80,
	  .opening = "STARTUP desk ",
	  .messages = { "" },
	  .filler_bytes = FILLER_LARGE_BYTES,
	  .turn_count = 1,
	  .unsent_bytes = 2 },
	{ .label = "bodies at the administration address",
	  .target = TARGET_API,
	  .caller_count = 64,
	  .opening = "POST /v1/config HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000\r\n\r\n",
	  .messages = { "" },
	  .filler_bytes = 8 * MIB,
	  .turn_count = 1 },
	{ .label = "bodies at the metrics address",
	  .target = TARGET_METRICS,
	  .caller_count = 64,
	  .opening = "POST /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000\r\n\r\n",
	  .messages = { "" },
	  .filler_bytes = 8 * MIB,
	  .turn_count = 1 },
	{ .label = "headers that do not end at the administration address",
	  .target = TARGET_API,
	  .caller_count = 64,
	  .opening = "GET /v1/status HTTP/1.1\r\nX: ",
	  .messages = { "" },
	  .filler_bytes = 8 * MIB,
	  .turn_count = 1 },
};

/* One caller of a crowd and what it has yet to send. */
struct sender {
	struct client *client;
	GString *turn; /* bytes of the current turn */
	gsize sent_bytes;
	uint64_t total_bytes; /* sent in all turns */
	uint32_t turn_index;
};

/* Returns a value of /proc/PID/status in bytes. */
static uint64_t read_memory(const char *name)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)vms[0].process->pid), *text = NULL;
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
	char *path = g_strdup_printf("/proc/%d/fd", (int)vms[0].process->pid);
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
	return !pw_harness_wait_end(vms[0].process, 0);
}

static void start_one_vm(void)
{
	g_setenv("PW_MEMORY_LIMIT", MEMORY_LIMIT_MB, TRUE);
	start_fleet_of(1);
}

/* Builds the messages of a turn. */
static void build_turn(const struct crowd *crowd, struct sender *s)
{
	g_string_truncate(s->turn, 0);
	for (uint32_t i = 0; i < PW_ARRAY_LEN(crowd->messages) && crowd->messages[i]; i++) {
		const char *number = strstr(crowd->messages[i], "%u");

		if (number)
			g_string_append_printf(s->turn, "%.*s%u%s",
					       (int)(number - crowd->messages[i]),
					       crowd->messages[i], s->turn_index, number + 2);
		else
			g_string_append(s->turn, crowd->messages[i]);
		if (i || !crowd->filler_bytes)
			continue;
		for (uint32_t n = 0; n < crowd->filler_bytes; n++)
			g_string_append_c(s->turn, 'x');
		g_string_append(s->turn, "\r\n");
	}
	if (s->turn_index + 1 == crowd->turn_count)
		g_string_truncate(s->turn, s->turn->len - crowd->unsent_bytes);
	s->sent_bytes = 0;
}

static struct client *connect_to(enum target target)
{
	const struct vm v = { .caller_port = target == TARGET_API       ? vms[0].api_port
					     : target == TARGET_METRICS ? vms[0].metrics_port
									: vms[0].caller_port };

	return client_new(&v);
}

/* Connects and sends the opening; the proxy may refuse both. */
static struct client *connect_sender(const struct crowd *crowd)
{
	struct client *c = connect_to(crowd->target);

	if (crowd->opening && c->fd >= 0)
		(void)send(c->fd, crowd->opening, strlen(crowd->opening), MSG_NOSIGNAL);
	else
		g_free(start_session(c, "desk", "amber-key"));
	return c;
}

/* Sends without waiting. Returns whether the proxy has taken bytes. */
static bool send_some(const struct crowd *crowd, struct sender *s)
{
	ssize_t n;
	gsize size_bytes;

	if (s->sent_bytes == s->turn->len && s->turn_index + 1 < crowd->turn_count) {
		s->turn_index++;
		build_turn(crowd, s);
	}
	size_bytes = s->turn->len - s->sent_bytes;
	if (s->client->fd < 0 || !size_bytes)
		return false;
	if (crowd->piece_bytes)
		size_bytes = MIN(size_bytes, crowd->piece_bytes);
	n = send(s->client->fd, s->turn->str + s->sent_bytes, size_bytes,
		 MSG_DONTWAIT | MSG_NOSIGNAL);
	if (n < 0 && errno != EAGAIN) {
		close(s->client->fd);
		s->client->fd = -1;
	}
	s->sent_bytes += n > 0 ? (gsize)n : 0;
	s->total_bytes += n > 0 ? (uint64_t)n : 0;
	return n > 0;
}

/* Sends ahead on all connections until all is sent or the proxy takes no more. */
static void send_ahead(const struct crowd *crowd, struct sender *senders)
{
	gint64 taken_us = g_get_monotonic_time();

	while (g_get_monotonic_time() - taken_us < STALL_US && is_alive()) {
		bool taken = false;

		for (uint32_t i = 0; i < crowd->caller_count; i++)
			taken |= send_some(crowd, &senders[i]);
		if (taken)
			taken_us = g_get_monotonic_time();
		else
			g_usleep(2000);
	}
}

/* Sends the messages of one turn, and reads their answers. */
static void run_turn(const struct crowd *crowd, struct sender *s)
{
	gint64 deadline_us = g_get_monotonic_time() + ANSWER_TIMEOUT_US;

	if (crowd->leaves_between && s->turn_index) {
		client_free(s->client);
		s->client = connect_sender(crowd);
	}
	while (s->client->fd >= 0 && s->sent_bytes < s->turn->len &&
	       g_get_monotonic_time() < deadline_us && is_alive()) {
		if (!send_some(crowd, s))
			g_usleep(1000);
	}
	for (uint32_t i = 0; i < PW_ARRAY_LEN(crowd->messages) && crowd->messages[i]; i++)
		g_free(read_answer(s->client, ANSWER_TIMEOUT_MS));
}

static void send_and_read(const struct crowd *crowd, struct sender *senders)
{
	for (uint32_t turn = 0; turn < crowd->turn_count; turn++) {
		for (uint32_t i = 0; i < crowd->caller_count && is_alive(); i++) {
			senders[i].turn_index = turn;
			build_turn(crowd, &senders[i]);
			run_turn(crowd, &senders[i]);
		}
	}
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

static struct sender *senders_new(const struct crowd *crowd)
{
	struct sender *senders = g_new0(struct sender, crowd->caller_count);

	for (uint32_t i = 0; i < crowd->caller_count; i++) {
		senders[i] = (struct sender){ .client = connect_sender(crowd),
					      .turn = g_string_new(NULL) };
		build_turn(crowd, &senders[i]);
	}
	return senders;
}

static void senders_free(const struct crowd *crowd, struct sender *senders)
{
	for (uint32_t i = 0; i < crowd->caller_count; i++) {
		client_free(senders[i].client);
		g_string_free(senders[i].turn, TRUE);
	}
	g_free(senders);
}

/* Whether a new caller's read is answered. */
static bool is_served(void)
{
	struct client *c = client_new(&vms[0]);
	char *opened = start_session(c, "desk", "amber-key");
	char *actual = run_statement(c, "READ a");
	bool served = g_str_has_suffix(actual, "ok I");

	g_free(opened);
	g_free(actual);
	client_free(c);
	return served;
}

/* Guards against a process that is killed for its memory, or hangs, because of such callers. */
START_TEST(test_crowd)
{
	const struct crowd *crowd = &crowds[_i];
	struct sender *senders;
	uint64_t peak_bytes, left_bytes, sent_bytes = 0;
	uint32_t descriptor_count, closed_count = 0;
	bool alive, served, given_back;
	struct client *c;
	GString *large;

	start_one_vm();
	c = open_session(0, "desk");
	large = g_string_new("WRITE large ");
	for (uint32_t n = 0; n < FILLER_LARGE_BYTES; n++)
		g_string_append_c(large, 'x');
	(void)write_until_ok(&c, 0, large->str, AFTERWARDS_MS);
	client_free(c);
	senders = senders_new(crowd);
	if (crowd->reads_answers)
		send_and_read(crowd, senders);
	else
		send_ahead(crowd, senders);
	wait_until_settled();
	descriptor_count = count_descriptors();
	alive = is_alive();
	served = alive && PW_HARNESS_WAIT_UNTIL(is_served(), AFTERWARDS_MS);
	peak_bytes = alive ? read_memory("VmHWM") : 0;
	for (uint32_t i = 0; i < crowd->caller_count; i++) {
		sent_bytes += senders[i].total_bytes;
		closed_count += senders[i].client->fd < 0;
	}
	senders_free(crowd, senders);
	given_back = alive && PW_HARNESS_WAIT_UNTIL(read_memory("VmRSS") <= MEMORY_LEFT_BYTES,
						    AFTERWARDS_MS);
	left_bytes = alive ? read_memory("VmRSS") : 0;
	alive = is_alive();
	stop_fleet();
	g_string_free(large, TRUE);
	printf("%s: sent %.1f MB, %u closed, peak %.1f MB, left %.1f MB, %u descriptors\n",
	       crowd->label, (double)sent_bytes / 1e6, closed_count, (double)peak_bytes / 1e6,
	       (double)left_bytes / 1e6, descriptor_count);
	fflush(stdout);
	ck_assert_msg(alive && served && given_back && peak_bytes <= MEMORY_LIMIT_BYTES &&
			      descriptor_count <= DESCRIPTORS_MAX,
		      "%s: alive %d, served %d, peak %.1f MB, left %.1f MB, %u descriptors",
		      crowd->label, alive, served, (double)peak_bytes / 1e6,
		      (double)left_bytes / 1e6, descriptor_count);
}
END_TEST

static const struct {
	const char *label;
	bool opens_sessions;
} descriptor_cases[] = {
	{ "connections without a message", false },
	{ "idle sessions", true },
};

/* Guards against callers that take the descriptors which servers and the store need. */
START_TEST(test_descriptors)
{
	static const char startup[] = "STARTUP desk amber-key\r\n";
	struct rlimit limit, lowered;
	struct client *clients[2 * DESCRIPTORS_LOWERED_MAX], *ordinary;
	uint32_t descriptor_count;
	bool alive, served, served_new;

	ck_assert_int_eq(getrlimit(RLIMIT_NOFILE, &limit), 0);
	lowered = limit;
	lowered.rlim_cur = DESCRIPTORS_LOWERED_MAX;
	ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &lowered), 0);
	start_one_vm();
	ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
	ordinary = open_session(0, "desk");
	for (uint32_t i = 0; i < PW_ARRAY_LEN(clients); i++) {
		clients[i] = client_new(&vms[0]);
		if (descriptor_cases[_i].opens_sessions && clients[i]->fd >= 0)
			(void)send(clients[i]->fd, startup, strlen(startup), MSG_NOSIGNAL);
	}
	descriptor_count = count_descriptors();
	served = false;
	for (gint64 end_us = g_get_monotonic_time() + AFTERWARDS_US;
	     !served && g_get_monotonic_time() < end_us;) {
		char *actual = run_statement(ordinary, "READ a");

		served = g_str_has_suffix(actual, "ok I");
		g_free(actual);
	}
	for (uint32_t i = 0; i < PW_ARRAY_LEN(clients); i++)
		client_free(clients[i]);
	alive = is_alive();
	served_new = alive && PW_HARNESS_WAIT_UNTIL(is_served(), AFTERWARDS_MS);
	client_free(ordinary);
	stop_fleet();
	ck_assert_msg(alive && served && served_new && descriptor_count < DESCRIPTORS_LOWERED_MAX,
		      "%s: alive %d, served %d, new caller served %d, %u descriptors",
		      descriptor_cases[_i].label, alive, served, served_new, descriptor_count);
}
END_TEST

/* With a text as argument, plays only the cases whose labels contain it. */
int main(int argc, char **argv)
{
	TCase *tc = tcase_create("crowds fleet");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	for (int i = 0; i < (int)PW_ARRAY_LEN(crowds); i++) {
		if (argc < 2 || strstr(crowds[i].label, argv[1]))
			tcase_add_loop_test(tc, test_crowd, i, i + 1);
	}
	for (int i = 0; i < (int)PW_ARRAY_LEN(descriptor_cases); i++) {
		if (argc < 2 || strstr(descriptor_cases[i].label, argv[1]))
			tcase_add_loop_test(tc, test_descriptors, i, i + 1);
	}
	return pw_suite_run("crowds fleet", tc);
}
