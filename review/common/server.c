/*
 * Database servers of one service, and the promotion endpoint of the platform. A server has slots,
 * a queue and a limit of connections; replicas apply commits later; the old primary goes on after a
 * promotion until it is told to step down, or for a second.
 */
#include "kit.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SLOTS          3
#define QUEUE_MAX      24
#define CONNS_MAX      38
#define HANDSHAKE_MS   12
#define STEP_DOWN_MS   1000
#define LOST_EVERY     5
#define NAMES_MAX      64
#define STATEMENT_SIZE 512
#define WRITES_MAX     32

static struct kit_group groups[KIT_GROUPS_MAX];
static int group_count;
static uint16_t promoter_port;
static pthread_mutex_t group_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t slot_freed = PTHREAD_COND_INITIALIZER;
static uint64_t signature_number;

/* Connection of a proxy to a server. */
struct conn {
	struct kit_server *server;
	int fd;
	uint64_t born_ms; /**< start of the server process that it belongs to */
	char tenant[64];
	bool in_transaction, read_only, failed;
	char writes[WRITES_MAX][40]; /**< ids of the transaction's writes */
	size_t write_count;
	char names[NAMES_MAX][24]; /**< prepared names */
	bool name_writes[NAMES_MAX];
	size_t name_count;
};

static bool is_open(const struct conn *c)
{
	return c->server->running && c->server->born_ms == c->born_ms;
}

static uint64_t last_term(const struct kit_server *s)
{
	return s->log_length ? s->log[s->log_length - 1].term : 1;
}

static void send_text(struct conn *c, const char *text)
{
	(void)send(c->fd, text, strlen(text), MSG_NOSIGNAL);
}

/* Appends the READY message and sends the answer. */
static void send_answer(struct conn *c, const char *head)
{
	char text[2048];

	snprintf(text, sizeof(text), "%sREADY %s %lu.%zu\r\n", head,
		 c->failed           ? "E"
		 : c->in_transaction ? "T"
				     : "I",
		 (unsigned long)last_term(c->server), c->server->log_length);
	send_text(c, text);
}

static void send_error(struct conn *c, const char *code)
{
	char text[128];

	if (c->in_transaction)
		c->failed = true;
	snprintf(text, sizeof(text), "ERROR %s %s\r\n", code, c->server->id);
	send_answer(c, text);
}

/* Whether enough replicas have received the newest entry of the primary with this index. */
static bool is_replicated(const struct kit_server *s, size_t index)
{
	uint32_t count = 0;

	for (int i = 0; i < KIT_SERVERS_MAX; i++) {
		const struct kit_server *replica = &s->group->servers[i];

		count += replica != s && replica->running && replica->log_length > index;
	}
	return count >= s->group->sync_replicas;
}

/* Waits until the last entry has been received by enough replicas; the lock is held. */
static void wait_for_replicas(const struct conn *c)
{
	size_t index = c->server->log_length - 1;

	while (is_open(c) && !is_replicated(c->server, index)) {
		pthread_mutex_unlock(&group_lock);
		kit_sleep_ms(1);
		pthread_mutex_lock(&group_lock);
	}
}

static void append_entry(struct kit_server *s, const char *id)
{
	struct kit_entry *e = &s->log[s->log_length];

	if (s->log_length + 1 >= KIT_LOG_MAX)
		return;
	*e = (struct kit_entry){ .term = s->term, .at_ms = kit_now_ms() };
	snprintf(e->id, sizeof(e->id), "%s", id);
	s->log_length++;
}

static void end_transaction(struct conn *c)
{
	c->in_transaction = c->read_only = c->failed = false;
	c->write_count = 0;
}

/*
 * Waits for a slot and holds it for some time; the lock is held. Returns false if the queue is
 * full.
 */
static bool use_slot(struct kit_server *s, uint64_t ms)
{
	if (s->waiting_count >= QUEUE_MAX)
		return false;
	s->waiting_count++;
	while (s->busy_count >= SLOTS)
		pthread_cond_wait(&slot_freed, &group_lock);
	s->waiting_count--;
	s->busy_count++;
	pthread_mutex_unlock(&group_lock);
	kit_sleep_ms(ms);
	pthread_mutex_lock(&group_lock);
	s->busy_count--;
	pthread_cond_broadcast(&slot_freed);
	return true;
}

/* Whether the answer to the next statement is lost: one in five while answers are lost. */
static bool is_answer_lost(struct kit_server *s)
{
	return s->loses_answers && ++s->answer_count % LOST_EVERY == 0;
}

static void send_signed(struct conn *c, const char *rows)
{
	char text[1024];

	snprintf(text, sizeof(text), "%sCOMPLETE sig.%s.%lu\r\n", rows, c->server->id,
		 (unsigned long)++signature_number);
	if (is_answer_lost(c->server))
		kit_record("%s has run a statement, and its answer is lost", c->server->id);
	else
		send_answer(c, text);
}

static void send_status(struct conn *c)
{
	const struct kit_server *s = c->server;
	char text[256];

	snprintf(text, sizeof(text), "DATAROW %s %lu %lu.%zu %lu 0 %d %d\r\nCOMPLETE -\r\n",
		 s->primary ? "primary" : "replica", (unsigned long)s->term,
		 (unsigned long)last_term(s), s->log_length, (unsigned long)s->term, s->busy_count,
		 s->conn_count);
	send_answer(c, text);
}

/* Runs a read, a write or a commit. */
static void run_work(struct conn *c, const char *id, const char *text, bool writes, bool commits)
{
	struct kit_server *s = c->server;

	if (!use_slot(s, s->group->work_ms)) {
		send_error(c, "BUSY");
		return;
	}
	if (!is_open(c))
		return;
	if ((writes || (commits && c->write_count)) && (!s->primary || c->read_only)) {
		send_error(c, "READONLY");
		return;
	}
	if (s->group->ran)
		s->group->ran(s, c->tenant, id, text);
	if (writes && c->in_transaction && c->write_count < WRITES_MAX)
		snprintf(c->writes[c->write_count++], sizeof(c->writes[0]), "%s", id);
	else if (writes)
		append_entry(s, id);
	for (size_t i = 0; commits && i < c->write_count; i++)
		append_entry(s, c->writes[i]);
	if (commits)
		end_transaction(c);
	if (c->server->log_length && ((writes && !c->in_transaction) || commits))
		wait_for_replicas(c);
	if (!is_open(c))
		return;
	send_signed(c, writes || commits ? "" : "DATAROW row\r\n");
}

static int find_name(const struct conn *c, const char *name)
{
	for (size_t i = 0; i < c->name_count; i++) {
		if (strcmp(c->names[i], name) == 0)
			return (int)i;
	}
	return -1;
}

static void prepare(struct conn *c, const char *arguments)
{
	char name[24], verb[16];
	int index;

	if (sscanf(arguments, "%23s %15s", name, verb) != 2) {
		send_error(c, "MALFORMED");
		return;
	}
	index = find_name(c, name);
	if (index < 0 && c->name_count < NAMES_MAX)
		index = (int)c->name_count++;
	if (index >= 0) {
		snprintf(c->names[index], sizeof(c->names[0]), "%s", name);
		c->name_writes[index] = strcmp(verb, "WRITE") == 0;
	}
	send_answer(c, "COMPLETE -\r\n");
}

static void execute(struct conn *c, const char *id, const char *arguments, const char *text)
{
	char name[24] = "";
	int index;

	(void)sscanf(arguments, "%23s", name);
	index = find_name(c, name);
	if (index < 0)
		send_error(c, "NOSTMT");
	else
		run_work(c, id, text, c->name_writes[index], false);
}

static void begin(struct conn *c, const char *arguments)
{
	bool read_only = strcmp(arguments, "READ") == 0;

	if (!read_only && !c->server->primary) {
		send_error(c, "READONLY");
		return;
	}
	c->in_transaction = true;
	c->read_only = read_only;
	send_answer(c, "COMPLETE -\r\n");
}

static void step_down(struct conn *c, const char *arguments)
{
	struct kit_server *s = c->server;

	if (s->primary && s->term < strtoul(arguments, NULL, 10)) {
		s->primary = false;
		kit_record("%s has stepped down", s->id);
	}
	send_status(c);
}

/* Whether the log lacks the position TERM.NUMBER. */
static bool lacks(const struct kit_server *s, const char *position)
{
	unsigned long term = 0, number = 0;

	(void)sscanf(position, "%lu.%lu", &term, &number);
	return last_term(s) < term || s->log_length < number;
}

static void run_statement(struct conn *c, const char *id, const char *text)
{
	char verb[16] = "", position[48];
	const char *arguments;
	int skip = 0;

	if (sscanf(text, "WAITLSN %47s %n", position, &skip) == 1 && skip) {
		text += skip;
		if (lacks(c->server, position)) {
			send_error(c, "LAGGING");
			return;
		}
	}
	(void)sscanf(text, "%15s", verb);
	arguments = text + strlen(verb);
	arguments += *arguments == ' ';
	if (c->failed && strcmp(verb, "ROLLBACK") != 0) {
		send_error(c, "MALFORMED");
	} else if (strcmp(verb, "READ") == 0 || strcmp(verb, "WRITE") == 0) {
		run_work(c, id, text, *verb == 'W', false);
	} else if (strcmp(verb, "COMMIT") == 0) {
		run_work(c, id, text, false, true);
	} else if (strcmp(verb, "EXECUTE") == 0) {
		execute(c, id, arguments, text);
	} else if (strcmp(verb, "PREPARE") == 0) {
		prepare(c, arguments);
	} else if (strcmp(verb, "BEGIN") == 0) {
		begin(c, arguments);
	} else if (strcmp(verb, "STATUS") == 0) {
		send_status(c);
	} else if (strcmp(verb, "STEPDOWN") == 0) {
		step_down(c, arguments);
	} else {
		if (strcmp(verb, "ROLLBACK") == 0)
			end_transaction(c);
		else if (strcmp(verb, "RESET") == 0)
			c->name_count = 0;
		send_answer(c, "COMPLETE -\r\n");
	}
}

/* Handles "SERVICE TENANT [ID]". Returns false if the connection has to be closed. */
static bool open_conn(struct conn *c, const char *arguments)
{
	char service[64] = "", id[64] = "";

	(void)sscanf(arguments, "%63s %63s %63s", service, c->tenant, id);
	if (strcmp(service, c->server->group->service) != 0 ||
	    (*id && strcmp(id, c->server->id) != 0)) {
		send_text(c, "ERROR MISROUTED -\r\n");
		return false;
	}
	if (c->server->conn_count > CONNS_MAX) {
		send_text(c, "ERROR CONNLIMIT -\r\n");
		return false;
	}
	if (!use_slot(c->server, HANDSHAKE_MS)) {
		send_text(c, "ERROR BUSY -\r\n");
		return false;
	}
	if (!is_open(c))
		return false;
	send_answer(c, "");
	return true;
}

static bool handle_line(struct conn *c, char *line)
{
	char id[64] = "";
	int skip = 0;

	if (strncmp(line, "STARTUP ", 8) == 0)
		return open_conn(c, line + 8);
	if (sscanf(line, "QUERY %63s %n", id, &skip) != 1 || !skip)
		return false;
	run_statement(c, id, line + skip);
	return true;
}

/* Reads lines until the connection or the server ends. */
static void *run_conn(void *arg)
{
	struct conn *c = arg;
	char input[8192] = "";
	size_t used = 0;
	bool open = true;

	while (open) {
		char *end = memchr(input, '\n', used);

		if (end) {
			char line[STATEMENT_SIZE];
			size_t length = (size_t)(end - input);

			snprintf(line, sizeof(line), "%.*s", (int)length, input);
			line[strcspn(line, "\r")] = '\0';
			used -= length + 1;
			memmove(input, end + 1, used);
			pthread_mutex_lock(&group_lock);
			open = c->server->dark || (is_open(c) && handle_line(c, line));
			pthread_mutex_unlock(&group_lock);
		} else {
			ssize_t n = recv(c->fd, input + used, sizeof(input) - used, 0);

			open = n > 0;
			used += open ? (size_t)n : 0;
		}
	}
	pthread_mutex_lock(&group_lock);
	for (int i = 0; i < c->server->conn_count; i++) {
		if (c->server->conn_fds[i] == c->fd) {
			c->server->conn_fds[i] = c->server->conn_fds[--c->server->conn_count];
			break;
		}
	}
	close(c->fd);
	pthread_mutex_unlock(&group_lock);
	free(c);
	return NULL;
}

static void start_thread(void *(*run)(void *arg), void *arg)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, arg))
		kit_finish(KIT_NOT_RUN, "no thread could be started");
	pthread_detach(thread);
}

/* Accepts connections of one start of a server. */
static void *run_listener(void *arg)
{
	struct kit_server *s = arg;
	int listener = s->listener;

	for (;;) {
		int fd = accept(listener, NULL, NULL);
		struct conn *c;

		while (s->dark)
			kit_sleep_ms(5);
		pthread_mutex_lock(&group_lock);
		if (fd < 0 || !s->running || s->listener != listener || s->conn_count >= 255) {
			bool ended = !s->running || s->listener != listener;

			pthread_mutex_unlock(&group_lock);
			if (fd >= 0)
				close(fd);
			if (ended)
				return NULL;
			continue;
		}
		c = calloc(1, sizeof(*c));
		c->server = s;
		c->fd = fd;
		c->born_ms = s->born_ms;
		s->conn_fds[s->conn_count++] = fd;
		pthread_mutex_unlock(&group_lock);
		start_thread(run_conn, c);
	}
}

static int listen_on(uint16_t port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons(port),
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) || listen(fd, 128))
		kit_finish(KIT_NOT_RUN, "a stand-in cannot listen");
	return fd;
}

void kit_server_restart(struct kit_server *s)
{
	pthread_mutex_lock(&group_lock);
	s->listener = listen_on(s->port);
	s->running = true;
	s->born_ms++;
	s->sequence = 0;
	s->next_beat_ms = 0;
	s->lease = 0;
	s->primary = false;
	pthread_mutex_unlock(&group_lock);
	kit_record("%s starts", s->id);
	start_thread(run_listener, s);
}

void kit_server_set_dark(struct kit_server *s, bool dark)
{
	pthread_mutex_lock(&group_lock);
	s->dark = dark;
	/* With a full queue of connections, the kernel drops the packets that open new ones. */
	(void)listen(s->listener, dark ? 0 : 128);
	for (int i = 0; !dark && i < s->conn_count; i++)
		shutdown(s->conn_fds[i], SHUT_RDWR);
	s->born_ms += !dark;
	s->next_beat_ms = 0;
	s->lease = dark ? s->lease : 0;
	pthread_mutex_unlock(&group_lock);
	kit_record("%s %s", s->id, dark ? "goes dark" : "is back");
}

void kit_server_crash(struct kit_server *s)
{
	pthread_mutex_lock(&group_lock);
	s->running = false;
	shutdown(s->listener, SHUT_RDWR);
	close(s->listener);
	for (int i = 0; i < s->conn_count; i++)
		shutdown(s->conn_fds[i], SHUT_RDWR);
	pthread_mutex_unlock(&group_lock);
	kit_record("%s crashes", s->id);
}

/* Encodes text in base64. */
static void encode(char *out, const char *text)
{
	static const char digits[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t length = strlen(text);

	for (size_t i = 0; i < length; i += 3) {
		uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;

		if (i + 1 < length)
			bits |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (i + 2 < length)
			bits |= (unsigned char)text[i + 2];
		*out++ = digits[bits >> 18];
		*out++ = digits[bits >> 12 & 63];
		*out++ = '=';
		*out++ = '=';
		if (i + 1 < length)
			out[-2] = digits[bits >> 6 & 63];
		if (i + 2 < length)
			out[-1] = digits[bits & 63];
	}
	*out = '\0';
}

static int64_t grant_lease(const struct kit_server *s)
{
	char body[64], out[256] = "";
	const char *field;

	snprintf(body, sizeof(body), "{\"TtlMs\":%d}", 3 * KIT_HEARTBEAT_MS);
	if (kit_http(s->group->platform_port, "POST", "/kv-lease", body, out, sizeof(out)) != 200)
		return 0;
	field = strstr(out, "\"Lease\"");
	field = field ? strchr(field, ':') : NULL;
	return field ? strtoll(field + 1, NULL, 10) : 0;
}

/* Writes the entry of a server, under a lease of three heartbeats. */
static void beat(struct kit_server *s)
{
	char entry[512], value[1024], body[2048], path[64];
	struct kit_server copy;

	pthread_mutex_lock(&group_lock);
	copy = *s;
	s->sequence++;
	s->next_beat_ms = kit_now_ms() + KIT_HEARTBEAT_MS;
	pthread_mutex_unlock(&group_lock);
	snprintf(path, sizeof(path), "/kv-keep/%ld", (long)copy.lease);
	if (!copy.lease || kit_http(s->group->platform_port, "POST", path, "", NULL, 0) != 200)
		copy.lease = grant_lease(s);
	snprintf(entry, sizeof(entry),
		 "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"zone-1\","
		 "\"Version\":\"v1\",\"Slots\":%d,\"State\":\"%s\",\"WarmupLeftMs\":0,"
		 "\"DbRole\":\"%s\",\"Sequence\":%lu,\"born\":%lu}",
		 s->group->service, copy.port, SLOTS, copy.draining ? "draining" : "ready",
		 copy.primary ? "primary" : "replica", (unsigned long)copy.sequence + 1,
		 (unsigned long)copy.born_ms);
	encode(value, entry);
	snprintf(body, sizeof(body),
		 "{\"ExpectedRev\":[],\"Puts\":[{\"Key\":\"servers/%s\",\"Value\":\"%s\","
		 "\"Lease\":%ld}],\"Deletes\":[]}",
		 copy.id, value, (long)copy.lease);
	if (kit_http(s->group->platform_port, "POST", "/kv-txn", body, NULL, 0) != 200)
		copy.lease = 0;
	pthread_mutex_lock(&group_lock);
	s->lease = copy.lease;
	pthread_mutex_unlock(&group_lock);
}

static struct kit_server *find_primary(struct kit_group *g)
{
	struct kit_server *best = NULL;

	for (int i = 0; i < KIT_SERVERS_MAX; i++) {
		struct kit_server *s = &g->servers[i];

		if (s->running && !s->dark && s->primary && (!best || s->term > best->term))
			best = s;
	}
	return best;
}

/*
 * The server whose commits the replicas receive: the last primary. What it sent before a crash
 * still arrives.
 */
static const struct kit_server *find_source(struct kit_group *g)
{
	const struct kit_server *best = NULL;

	for (int i = 0; i < KIT_SERVERS_MAX; i++) {
		const struct kit_server *s = &g->servers[i];

		if (s->primary && (!best || s->term > best->term))
			best = s;
	}
	return best;
}

/* Gives a replica the log of the primary, without the entries that are newer than the lag. */
static void replicate(struct kit_server *replica, const struct kit_server *primary, uint64_t now_ms)
{
	size_t common = 0;

	while (common < replica->log_length && common < primary->log_length &&
	       replica->log[common].term == primary->log[common].term &&
	       strcmp(replica->log[common].id, primary->log[common].id) == 0)
		common++;
	replica->log_length = common;
	while (replica->log_length < primary->log_length &&
	       primary->log[replica->log_length].at_ms + replica->lag_ms <= now_ms) {
		replica->log[replica->log_length] = primary->log[replica->log_length];
		replica->log_length++;
	}
	replica->term = primary->term;
}

/* Carries out a due promotion and replicates. */
static void tick_group(struct kit_group *g, uint64_t now_ms)
{
	struct kit_server *primary = find_primary(g), *next = g->appointed;
	const struct kit_server *source;

	if (next && g->appointed_ms && now_ms >= g->appointed_ms + g->promote_ms) {
		next->term = (primary ? primary->term : next->term) + 1;
		next->primary = true;
		next->next_beat_ms = 0;
		g->appointed_ms = 0;
		g->promoted_ms = now_ms;
		kit_record("%s leads term %lu with %zu entries", next->id,
			   (unsigned long)next->term, next->log_length);
		if (g->promoted)
			g->promoted(next);
		if (primary && primary != next)
			primary->steps_down_ms = now_ms + STEP_DOWN_MS;
	}
	source = find_source(g);
	for (int i = 0; source && i < KIT_SERVERS_MAX; i++) {
		struct kit_server *s = &g->servers[i];

		if (!s->running || s->dark || s->deaf || s == source)
			continue;
		if (s->primary && s->steps_down_ms && now_ms >= s->steps_down_ms) {
			s->primary = false;
			s->next_beat_ms = 0;
		}
		if (!s->primary)
			replicate(s, source, now_ms);
	}
}

static void *run_ticks(void *arg)
{
	(void)arg;
	for (;; kit_sleep_ms(5)) {
		pthread_mutex_lock(&group_lock);
		for (int i = 0; i < group_count; i++)
			tick_group(&groups[i], kit_now_ms());
		pthread_mutex_unlock(&group_lock);
	}
	return NULL;
}

static void *run_beats(void *arg)
{
	struct kit_server *s = arg;

	for (;; kit_sleep_ms(10)) {
		if (s->running && !s->dark && !s->cut && kit_now_ms() >= s->next_beat_ms)
			beat(s);
	}
	return NULL;
}

/* Handles the promotion of a server. Returns the status of the response. */
static int promote_server(struct kit_server *s, const char *request)
{
	struct kit_group *g = s->group;
	const char *holder = strstr(request, "Lease-Holder: ");
	const char *token = strstr(request, "Fencing-Token: ");
	char name[64] = "";

	if (holder)
		(void)sscanf(holder, "Lease-Holder: %63s", name);
	kit_record("POST /failover: %s, holder %s, token %lu", s->id, name,
		   token ? strtoul(token + 15, NULL, 10) : 0);
	if (!s->running)
		return 409;
	if (s != g->appointed && s != find_primary(g)) {
		g->appointed = s;
		g->appointed_ms = kit_now_ms();
	}
	return 200;
}

/* Returns the status of a promotion request. */
static int promote(const char *request)
{
	for (int i = 0; i < group_count * KIT_SERVERS_MAX; i++) {
		struct kit_server *s = &groups[i / KIT_SERVERS_MAX].servers[i % KIT_SERVERS_MAX];
		char quoted[64];

		snprintf(quoted, sizeof(quoted), "\"%s\"", s->id);
		if (strstr(request, quoted))
			return promote_server(s, request);
	}
	return 409;
}

static void *run_promoter(void *arg)
{
	int listener = listen_on(promoter_port);

	(void)arg;
	for (;;) {
		char request[4096] = "", response[128];
		int fd = accept(listener, NULL, NULL), status;
		size_t used = 0;

		if (fd < 0)
			continue;
		while (used < sizeof(request) - 1 && !strchr(request, '}')) {
			ssize_t n = recv(fd, request + used, sizeof(request) - 1 - used, 0);

			if (n <= 0)
				break;
			used += (size_t)n;
			request[used] = '\0';
		}
		pthread_mutex_lock(&group_lock);
		status = promote(request);
		pthread_mutex_unlock(&group_lock);
		snprintf(response, sizeof(response),
			 "HTTP/1.1 %d OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}",
			 status);
		(void)send(fd, response, strlen(response), MSG_NOSIGNAL);
		close(fd);
	}
	return NULL;
}

struct kit_group *kit_group_start(uint16_t platform_port, const char *service)
{
	struct kit_group *g = &groups[group_count];

	if (!promoter_port)
		promoter_port = kit_free_port();
	*g = (struct kit_group){ .platform_port = platform_port,
				 .promoter_port = promoter_port,
				 .work_ms = 10,
				 .promote_ms = 300 };
	snprintf(g->service, sizeof(g->service), "%s", service);
	for (int i = 0; i < KIT_SERVERS_MAX; i++) {
		struct kit_server *s = &g->servers[i];

		snprintf(s->id, sizeof(s->id), "i-7f3a9%d1c%d", group_count, i + 1);
		s->group = g;
		s->port = kit_free_port();
		s->log = calloc(KIT_LOG_MAX, sizeof(*s->log));
		s->term = 1;
		s->lag_ms = 8;
		s->born_ms = 1772000000000 + (uint64_t)i;
		kit_server_restart(s);
		s->primary = i == 0;
		start_thread(run_beats, s);
	}
	if (group_count++ == 0) {
		start_thread(run_ticks, NULL);
		start_thread(run_promoter, NULL);
	}
	return g;
}
