/**
 * @file address.h
 * Socket addresses as text: "IP:PORT" with an IPv4 address, or "[IP]:PORT" with an IPv6 one. Names
 * are not resolved.
 */
#ifndef PW_CORE_ADDRESS_H
#define PW_CORE_ADDRESS_H

#include <sys/socket.h>

struct pw_address {
	struct sockaddr_storage socket;
	socklen_t size_bytes; /**< size of the address in `socket` */
};

/** Parses an address with a port from 1 to 65535. @return 0, or PW_EINVALID */
int pw_address_parse(struct pw_address *out, const char *text);

#endif
