#include "line.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

int64_t line_now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void line_sleep_ms(int64_t ms)
{
	struct timespec t = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000 };

	while (nanosleep(&t, &t) < 0 && errno == EINTR)
		;
}

void line_record(FILE *record, const char *format, ...)
{
	static int64_t first_ms;
	va_list ap;

	if (!first_ms)
		first_ms = line_now_ms();
	fprintf(record, "%8.3f ", (double)(line_now_ms() - first_ms) / 1000);
	va_start(ap, format);
	vfprintf(record, format, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
}

int line_connect(struct line_client *c, uint16_t port, int64_t timeout_ms)
{
	struct sockaddr_in a = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	struct timeval t = { .tv_sec = timeout_ms / 1000, .tv_usec = timeout_ms % 1000 * 1000 };
	int one = 1;

	c->size = 0;
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (c->fd < 0)
		return -1;
	(void)setsockopt(c->fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
	(void)setsockopt(c->fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof(t));
	(void)setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(c->fd, (struct sockaddr *)&a, sizeof(a)) < 0) {
		line_close(c);
		return -1;
	}
	return 0;
}

void line_close(struct line_client *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
}

static int send_all(int fd, const char *data, size_t size)
{
	while (size) {
		ssize_t n = send(fd, data, size, MSG_NOSIGNAL);

		if (n <= 0)
			return -1;
		data += n;
		size -= (size_t)n;
	}
	return 0;
}

int line_send(struct line_client *c, const char *text)
{
	return send_all(c->fd, text, strlen(text));
}

/* Takes one line without its end off the input. Returns its size, or -1. */
static ssize_t take_line(struct line_client *c, char *line, size_t line_max)
{
	for (;;) {
		char *end = memmem(c->input, c->size, "\r\n", 2);
		ssize_t n;

		if (end) {
			size_t size = (size_t)(end - c->input);
			size_t kept = size < line_max - 1 ? size : line_max - 1;

			memcpy(line, c->input, kept);
			line[kept] = 0;
			c->size -= size + 2;
			memmove(c->input, end + 2, c->size);
			return (ssize_t)size;
		}
		if (c->size == sizeof(c->input))
			return -1;
		n = recv(c->fd, c->input + c->size, sizeof(c->input) - c->size, 0);
		if (n <= 0)
			return -1;
		c->size += (size_t)n;
	}
}

int line_read_answer(struct line_client *c, char answer[LINE_ANSWER_MAX])
{
	char line[LINE_ANSWER_MAX];
	size_t used = 0;

	answer[0] = 0;
	for (;;) {
		int n;

		if (take_line(c, line, sizeof(line)) < 0)
			return -1;
		n = snprintf(answer + used, LINE_ANSWER_MAX - used, "%s%s", used ? " | " : "",
			     line);
		used = used + (size_t)n < LINE_ANSWER_MAX ? used + (size_t)n : LINE_ANSWER_MAX - 1;
		if (strncmp(line, "READY", 5) == 0)
			return 0;
	}
}

int line_open(struct line_client *c, uint16_t port, const char *database, const char *key,
	      int64_t timeout_ms)
{
	char message[512], answer[LINE_ANSWER_MAX];

	if (line_connect(c, port, timeout_ms))
		return -1;
	snprintf(message, sizeof(message), "STARTUP %s %s\r\n", database, key);
	if (line_send(c, message) || line_read_answer(c, answer)) {
		line_close(c);
		return -1;
	}
	return 0;
}

int line_query(struct line_client *c, const char *id, const char *statement,
	       char answer[LINE_ANSWER_MAX])
{
	char message[1024];

	snprintf(message, sizeof(message), "QUERY %s %s\r\n", id, statement);
	answer[0] = 0;
	return line_send(c, message) ? -1 : line_read_answer(c, answer);
}

int line_http(uint16_t port, const char *method, const char *path, const char *body, char **out)
{
	static struct line_client c;
	size_t size = 0, max = 1 << 20;
	char head[512], *response = malloc(max + 1), *start;
	int status = -1;

	if (out)
		*out = NULL;
	if (!response || line_connect(&c, port, 3000)) {
		free(response);
		return -1;
	}
	snprintf(head, sizeof(head),
		 "%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 method, path, body ? strlen(body) : 0);
	if (line_send(&c, head) == 0 && (!body || line_send(&c, body) == 0)) {
		ssize_t n;

		while (size < max && (n = recv(c.fd, response + size, max - size, 0)) > 0)
			size += (size_t)n;
	}
	line_close(&c);
	response[size] = 0;
	if (strncmp(response, "HTTP/1.1 ", 9) == 0)
		status = (int)strtol(response + 9, NULL, 10);
	start = strstr(response, "\r\n\r\n");
	if (out && start)
		*out = strdup(start + 4);
	free(response);
	return status;
}
