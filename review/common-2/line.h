/**
 * @file line.h
 * Client of the line protocol and of HTTP on loopback, for the cases of this review. All calls
 * block; a call that fails returns a negative number or NULL.
 */
#ifndef PW_REVIEW_LINE_H
#define PW_REVIEW_LINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* Longest answer that is kept as text; the rest of a longer one is dropped. */
#define LINE_ANSWER_MAX 4096

struct line_client {
	int fd;
	size_t size;       /**< bytes in `input` */
	char input[65536]; /**< received and not yet taken */
};

/** Time of a clock that only goes forward, in milliseconds. */
int64_t line_now_ms(void);

void line_sleep_ms(int64_t ms);

/** Writes a line to the record, with the time since the first call. */
void line_record(FILE *record, const char *format, ...) __attribute__((format(printf, 2, 3)));

/** Connects to a loopback port; reads time out after `timeout_ms`. */
int line_connect(struct line_client *c, uint16_t port, int64_t timeout_ms);

void line_close(struct line_client *c);

/** Sends all bytes of the text. */
int line_send(struct line_client *c, const char *text);

/**
 * Reads the messages of one answer up to READY, joined by " | ".
 *
 * @param answer receives the text; after an end of the connection or a timeout, what came before
 * @return 0; -1 if the connection ended or nothing came in time
 */
int line_read_answer(struct line_client *c, char answer[LINE_ANSWER_MAX]);

/** Connects, sends STARTUP and reads its answer. Returns 0 if that is READY. */
int line_open(struct line_client *c, uint16_t port, const char *database, const char *key,
	      int64_t timeout_ms);

/** Sends one QUERY and reads its answer. */
int line_query(struct line_client *c, const char *id, const char *statement,
	       char answer[LINE_ANSWER_MAX]);

/**
 * Sends an HTTP request to a loopback port.
 *
 * @param body NULL: none
 * @param out  receives the body of the response, to be freed; may be NULL
 * @return the status; -1: no response
 */
int line_http(uint16_t port, const char *method, const char *path, const char *body, char **out);

#endif
