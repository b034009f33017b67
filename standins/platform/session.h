/**
 * @file session.h
 * Connections to a server of the stand-in: their state, and the statements that they run.
 */
#ifndef PW_STANDINS_PLATFORM_SESSION_H
#define PW_STANDINS_PLATFORM_SESSION_H

#include "server.h"

struct conn;

/** Starts a connection on a socket. Aborts the process if the loop cannot watch the socket. */
void session_accept(struct server *s, int32_t fd);

/** Closes a connection and rolls back its transaction. */
void session_close(struct conn *c);

#endif
