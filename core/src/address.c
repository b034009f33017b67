#include "pw/core/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "pw/core/error.h"
#include "pw/core/number.h"

#define HOST_MAX_BYTES INET6_ADDRSTRLEN

static int parse_port(uint16_t *out, const char *text)
{
	guint64 port;

	if (!pw_number_parse(&port, text, 1, UINT16_MAX))
		return PW_EINVALID;
	*out = (uint16_t)port;
	return PW_OK;
}

int pw_address_parse(struct pw_address *out, const char *text)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)&out->socket;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)&out->socket;
	const char *colon = strrchr(text, ':');
	bool bracketed = text[0] == '[';
	char host[HOST_MAX_BYTES];
	size_t size_bytes;
	uint16_t port;

	*out = (struct pw_address){ 0 };
	if (!colon || parse_port(&port, colon + 1) != PW_OK)
		goto invalid;
	size_bytes = (size_t)(colon - text);
	if (bracketed) {
		if (size_bytes < 2 || text[size_bytes - 1] != ']')
			goto invalid;
		text++;
		size_bytes -= 2;
	}
	if (size_bytes >= sizeof(host))
		goto invalid;
	memcpy(host, text, size_bytes);
	host[size_bytes] = '\0';
	if (!bracketed && inet_pton(AF_INET, host, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(port);
		out->size_bytes = sizeof(*v4);
		return PW_OK;
	}
	if (bracketed && inet_pton(AF_INET6, host, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(port);
		out->size_bytes = sizeof(*v6);
		return PW_OK;
	}
invalid:
	return pw_error_set(PW_EINVALID, "not an address of the form IP:PORT");
}
