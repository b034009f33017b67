/*
 * Helper of the scripts: prints free loopback ports, or sends an HTTP request.
 *
 * Usage: tool ports COUNT
 *        tool http METHOD PORT PATH [BODY]
 *
 * The second form prints the body of the response and exits with 0 if its status is 200.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "line.h"

#define PORTS_MAX 64

/* All ports stay bound until all are known, so that they differ. */
static int print_ports(long count)
{
	for (long i = 0; i < count && i < PORTS_MAX; i++) {
		struct sockaddr_in a = {
			.sin_family = AF_INET,
			.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
		};
		socklen_t size = sizeof(a);
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		if (fd < 0 || bind(fd, (struct sockaddr *)&a, sizeof(a)) < 0 ||
		    getsockname(fd, (struct sockaddr *)&a, &size) < 0)
			return 2;
		printf("%u\n", ntohs(a.sin_port));
	}
	return 0;
}

int main(int argc, char **argv)
{
	char *body = NULL;
	int status;

	if (argc == 3 && strcmp(argv[1], "ports") == 0)
		return print_ports(strtol(argv[2], NULL, 10));
	if (argc < 5 || strcmp(argv[1], "http") != 0)
		return 2;
	status = line_http((uint16_t)strtol(argv[3], NULL, 10), argv[2], argv[4],
			   argc > 5 ? argv[5] : NULL, &body);
	if (body)
		fputs(body, stdout);
	free(body);
	return status == 200 ? 0 : 1;
}
