#include "kit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define SCRIPT_MAX_S  110
#define READY_MAX_MS  10000
#define HTTP_MAX_MS   2000
#define PROCESSES_MAX 32
#define PATH_SIZE     512
#define ARGUMENTS_MAX 48
#define ARGUMENT_SIZE 160

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t started_ms;
static char temporary_folder[] = "/tmp/review-XXXXXX";
static struct kit_process *processes[PROCESSES_MAX];
static size_t process_count;
static struct kit_process platform_process;

uint64_t kit_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

void kit_sleep_ms(uint64_t ms)
{
	struct timespec ts = { .tv_sec = (time_t)(ms / 1000),
			       .tv_nsec = (long)(ms % 1000) * 1000000 };

	nanosleep(&ts, NULL);
}

bool kit_has_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return !text || strcmp(text, "0") != 0;
}

void kit_record(const char *format, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f ", (double)(kit_now_ms() - started_ms) / 1000);
	va_start(ap, format);
	vfprintf(record_file, format, ap);
	va_end(ap);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

static void end_processes(void)
{
	for (size_t i = 0; i < process_count; i++) {
		if (processes[i]->pid <= 0)
			continue;
		kill(processes[i]->pid, SIGCONT);
		kill(processes[i]->pid, SIGKILL);
		waitpid(processes[i]->pid, NULL, 0);
		processes[i]->pid = 0;
	}
}

/* Removes the logs of the processes, and their folder. */
static void remove_temporary_folder(void)
{
	char path[PATH_SIZE];

	for (size_t i = 0; i < process_count; i++) {
		snprintf(path, sizeof(path), "%s/%s.log", temporary_folder, processes[i]->name);
		unlink(path);
	}
	rmdir(temporary_folder);
}

static void time_is_over(int signal_number)
{
	(void)signal_number;
	for (size_t i = 0; i < process_count; i++) {
		if (processes[i]->pid > 0)
			kill(processes[i]->pid, SIGKILL);
	}
	_exit(KIT_NOT_RUN);
}

void kit_start(const char *record_path)
{
	started_ms = kit_now_ms();
	record_file = fopen(record_path, "w");
	if (!record_file || !mkdtemp(temporary_folder))
		exit(KIT_NOT_RUN);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, time_is_over);
	alarm(SCRIPT_MAX_S);
	kit_record("start, TROUBLE=%d", kit_has_trouble());
}

void kit_finish(enum kit_verdict verdict, const char *text)
{
	static const char *const names[] = { "the rule held", "the rule was broken",
					     "the case could not run" };

	end_processes();
	remove_temporary_folder();
	kit_record("verdict: %s: %s", names[verdict], text);
	printf("%s: %s\n", names[verdict], text);
	fflush(stdout);
	_exit((int)verdict);
}

static int connect_to(uint16_t port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons(port),
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (connect(fd, (struct sockaddr *)&a, sizeof(a))) {
		close(fd);
		return -1;
	}
	return fd;
}

uint16_t kit_free_port(void)
{
	for (int i = 0; i < 100; i++) {
		struct sockaddr_in a = { .sin_family = AF_INET,
					 .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
		socklen_t size = sizeof(a);
		int tcp = socket(AF_INET, SOCK_STREAM, 0), udp = socket(AF_INET, SOCK_DGRAM, 0);
		bool ok = !bind(tcp, (struct sockaddr *)&a, sizeof(a)) &&
			  !getsockname(tcp, (struct sockaddr *)&a, &size) &&
			  !bind(udp, (struct sockaddr *)&a, sizeof(a));

		close(tcp);
		close(udp);
		if (ok)
			return ntohs(a.sin_port);
	}
	kit_finish(KIT_NOT_RUN, "no free port");
}

/* Starts a program with its arguments, separated by spaces; its output goes to a file. */
static void start_process(struct kit_process *p, const char *command)
{
	char copy[ARGUMENTS_MAX * ARGUMENT_SIZE], log_path[PATH_SIZE], *state = NULL;
	char *arguments[ARGUMENTS_MAX + 1];
	size_t count = 0;

	snprintf(copy, sizeof(copy), "%s", command);
	for (char *w = strtok_r(copy, " ", &state); w && count < ARGUMENTS_MAX;
	     w = strtok_r(NULL, " ", &state))
		arguments[count++] = w;
	arguments[count] = NULL;
	if (!count)
		kit_finish(KIT_NOT_RUN, "a program is not named");
	snprintf(log_path, sizeof(log_path), "%s/%s.log", temporary_folder, p->name);
	p->pid = fork();
	if (p->pid == 0) {
		int fd = open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execv(arguments[0], arguments);
		_exit(127);
	}
	for (size_t i = 0; i < process_count; i++) {
		if (processes[i] == p)
			return;
	}
	processes[process_count++] = p;
}

bool kit_is_running(struct kit_process *p)
{
	int status;

	if (p->pid <= 0)
		return false;
	if (waitpid(p->pid, &status, WNOHANG) != p->pid)
		return true;
	p->pid = 0;
	p->end_signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
	p->ends_by_itself++;
	kit_record("process %s has ended by itself: %s %d", p->name,
		   WIFSIGNALED(status) ? "signal" : "status",
		   WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
	return false;
}

void kit_signal(struct kit_process *p, int signal_number)
{
	kit_record("signal %d to %s", signal_number, p->name);
	if (p->pid <= 0)
		return;
	kill(p->pid, signal_number);
	if (signal_number != SIGKILL)
		return;
	waitpid(p->pid, NULL, 0);
	p->pid = 0;
}

/* Returns the body of an HTTP response, or NULL if the response is not complete yet. */
static const char *find_body(const char *response, size_t size)
{
	const char *body = strstr(response, "\r\n\r\n");
	const char *length = strstr(response, "Content-Length: ");

	if (!body)
		return NULL;
	body += 4;
	if (length && length < body &&
	    (size_t)(body - response) + strtoul(length + 16, NULL, 10) > size)
		return NULL;
	return body;
}

int kit_http(uint16_t port, const char *method, const char *path, const char *body, char *out,
	     size_t out_size)
{
	static const char format[] =
		"%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n"
		"Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n";
	struct timeval timeout = { .tv_sec = HTTP_MAX_MS / 1000 };
	char head[1024], *response = calloc(1, 262144);
	size_t size = 0;
	const char *found = NULL;
	int fd = connect_to(port), status = 0;

	if (fd < 0)
		goto out;
	(void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	snprintf(head, sizeof(head), format, method, path, strlen(body));
	if (send(fd, head, strlen(head), MSG_NOSIGNAL) < 0 ||
	    (*body && send(fd, body, strlen(body), MSG_NOSIGNAL) < 0))
		goto out;
	while (!found && size < 262143) {
		ssize_t n = recv(fd, response + size, 262143 - size, 0);

		if (n <= 0)
			break;
		size += (size_t)n;
		found = find_body(response, size);
	}
	if (found && strncmp(response, "HTTP/1.1 ", 9) == 0)
		status = (int)strtol(response + 9, NULL, 10);
	if (out && found)
		snprintf(out, out_size, "%s", found);
out:
	if (fd >= 0)
		close(fd);
	free(response);
	return status;
}

void kit_put_config(uint16_t platform_port, const char *text)
{
	int status = kit_http(platform_port, "POST", "/fault?name=config&value=1", text, NULL, 0);

	kit_record("operator writes op/config: %s: acknowledged with %d", text, status);
	if (status != 200)
		kit_finish(KIT_NOT_RUN, "the configuration was not stored");
}

uint16_t kit_start_platform(void)
{
	const char *program = getenv("STANDIN_PLATFORM");
	uint16_t port = kit_free_port();
	char command[PATH_SIZE];

	snprintf(platform_process.name, sizeof(platform_process.name), "platform");
	snprintf(command, sizeof(command), "%s %u spare=%u,%u,%u", program ? program : "", port,
		 kit_free_port(), kit_free_port(), kit_free_port());
	start_process(&platform_process, command);
	for (uint64_t end_ms = kit_now_ms() + READY_MAX_MS; kit_now_ms() < end_ms;
	     kit_sleep_ms(20)) {
		if (kit_http(port, "GET", "/state", "", NULL, 0) == 200)
			return port;
	}
	kit_finish(KIT_NOT_RUN, "the platform stand-in did not start");
}

void kit_proxy_init(struct kit_proxy *p, uint32_t number, uint16_t platform_port)
{
	*p = (struct kit_proxy){ .caller_port = kit_free_port(),
				 .api_port = kit_free_port(),
				 .peer_port = kit_free_port(),
				 .metrics_port = kit_free_port(),
				 .store_port = platform_port,
				 .promoter_port = platform_port };
	snprintf(p->process.name, sizeof(p->process.name), "edge-%u", number);
}

/* The arguments are those of deploy/system.toml. */
void kit_proxy_start(struct kit_proxy *p)
{
	const char *program = getenv("PIMENTOWINGD");
	char command[2048];

	snprintf(command, sizeof(command),
		 "%s --binding platform --service fleet --name %s --availability-zone zone-1 "
		 "--zone-regions zone-1=region-1 --caller-address 127.0.0.1:%u "
		 "--api-address 127.0.0.1:%u --peer-address 127.0.0.1:%u "
		 "--metrics-address 127.0.0.1:%u --store 127.0.0.1:%u --promoter 127.0.0.1:%u "
		 "--rate-window 5s --log-level info --drain-grace 2200ms --drain-timeout 2800ms",
		 program ? program : "", p->process.name, p->caller_port, p->api_port, p->peer_port,
		 p->metrics_port, p->store_port, p->promoter_port);
	start_process(&p->process, command);
	kit_record("started %s", p->process.name);
}

void kit_proxy_wait_ready(const struct kit_proxy *p)
{
	for (uint64_t end_ms = kit_now_ms() + READY_MAX_MS; kit_now_ms() < end_ms;
	     kit_sleep_ms(20)) {
		if (kit_http(p->api_port, "GET", "/readyz", "", NULL, 0) == 200)
			return;
	}
	kit_finish(KIT_NOT_RUN, "a proxy is not ready");
}

/*
 * Moves the next line into `line`, without its line end. Returns 1, 0 at the end of the time, or
 * -1 at the end of the connection.
 */
static int read_line(struct kit_caller *c, char *line, size_t line_size, uint64_t deadline_ms)
{
	for (;;) {
		char *end = memchr(c->input, '\n', c->used);
		struct pollfd p = { .fd = c->fd, .events = POLLIN };
		uint64_t now_ms = kit_now_ms();
		ssize_t n;

		if (end) {
			size_t length = (size_t)(end - c->input);

			snprintf(line, line_size, "%.*s", (int)length, c->input);
			line[strcspn(line, "\r")] = '\0';
			c->used -= length + 1;
			memmove(c->input, end + 1, c->used);
			return 1;
		}
		if (c->fd < 0)
			return -1;
		if (now_ms >= deadline_ms || poll(&p, 1, (int)(deadline_ms - now_ms)) <= 0)
			return 0;
		n = recv(c->fd, c->input + c->used, sizeof(c->input) - c->used, 0);
		if (n <= 0) {
			kit_caller_close(c);
			return -1;
		}
		c->used += (size_t)n;
	}
}

void kit_caller_close(struct kit_caller *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
}

static bool send_text(int fd, const char *text)
{
	size_t size = strlen(text);

	return fd >= 0 && send(fd, text, size, MSG_NOSIGNAL) == (ssize_t)size;
}

bool kit_caller_send(struct kit_caller *c, const char *id, const char *text)
{
	char line[512];

	snprintf(line, sizeof(line), "QUERY %s %s\r\n", id, text);
	return send_text(c->fd, line);
}

void kit_caller_receive(struct kit_caller *c, char *out, size_t out_size, uint64_t timeout_ms)
{
	uint64_t deadline_ms = kit_now_ms() + timeout_ms;
	size_t used = 0;

	*out = '\0';
	for (;;) {
		char line[4096];
		int rc = read_line(c, line, sizeof(line), deadline_ms);

		used += (size_t)snprintf(out + used, out_size - used, "%s%s", used ? "; " : "",
					 rc > 0 ? line
					 : rc   ? "closed"
						: "timeout");
		if (used >= out_size)
			used = out_size - 1;
		if (rc <= 0 || strncmp(line, "READY", 5) == 0)
			return;
	}
}

void kit_caller_run(struct kit_caller *c, const char *id, const char *text, char *out,
		    size_t out_size, uint64_t timeout_ms)
{
	if (!kit_caller_send(c, id, text)) {
		snprintf(out, out_size, "closed");
		return;
	}
	kit_caller_receive(c, out, out_size, timeout_ms);
}

bool kit_caller_open(struct kit_caller *c, uint16_t port, const char *database, const char *key)
{
	char text[512];

	c->used = 0;
	c->fd = connect_to(port);
	if (c->fd < 0)
		return false;
	snprintf(text, sizeof(text), "STARTUP %s %s\r\n", database, key);
	if (send_text(c->fd, text)) {
		kit_caller_receive(c, text, sizeof(text), 2000);
		if (strncmp(text, "READY", 5) == 0)
			return true;
	}
	kit_caller_close(c);
	return false;
}
