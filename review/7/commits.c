/*
 * Callers of the case: a writer of single writes, one after the other; callers that read all the
 * time, each on a new session; and a check of what is kept.
 *
 * Usage: commits write PORT MS RECORD     prints the number of writes that were acknowledged
 *        commits call PORT MS
 *        commits check PORT COUNT RECORD
 *
 * The last form exits with 1 if an acknowledged write cannot be read any more, with 0 if all can,
 * with 2 if that could not be found out.
 */
#include <stdlib.h>
#include <string.h>

#include "../common-2/line.h"

#define PAUSE_MS 20
#define CALL_MS  50
#define TRIES    100

static int write_items(uint16_t port, int64_t end_ms, FILE *record)
{
	static struct line_client c;
	char id[32], statement[64], answer[LINE_ANSWER_MAX];
	int count = 0;

	if (line_open(&c, port, "desk", "amber-key", 3000))
		return 2;
	while (line_now_ms() < end_ms) {
		snprintf(id, sizeof(id), "w%d", count);
		snprintf(statement, sizeof(statement), "WRITE k%d v%d", count, count);
		if (line_query(&c, id, statement, answer))
			break;
		line_record(record, "%s %s -> %s", id, statement, answer);
		if (strncmp(answer, "COMPLETE", 8) != 0)
			break;
		count++;
		line_sleep_ms(PAUSE_MS);
	}
	printf("%d\n", count);
	return count ? 0 : 2;
}

static int call(uint16_t port, int64_t end_ms)
{
	static struct line_client c;
	char answer[LINE_ANSWER_MAX];

	while (line_now_ms() < end_ms) {
		if (line_open(&c, port, "desk", "amber-key", 2000) == 0) {
			(void)line_query(&c, "c", "READ a", answer);
			line_close(&c);
		}
		line_sleep_ms(CALL_MS);
	}
	return 0;
}

/* Reads an item until it is answered with success. Returns 0, or -1. */
static int read_item(uint16_t port, int number, char answer[LINE_ANSWER_MAX])
{
	static struct line_client c = { .fd = -1 };
	char id[32], statement[64];

	snprintf(id, sizeof(id), "r%d", number);
	snprintf(statement, sizeof(statement), "READ k%d", number);
	for (int i = 0; i < TRIES; i++) {
		if (c.fd >= 0 || line_open(&c, port, "desk", "amber-key", 3000) == 0) {
			if (line_query(&c, id, statement, answer))
				line_close(&c);
			else if (strstr(answer, "COMPLETE"))
				return 0;
		}
		line_sleep_ms(100);
	}
	return -1;
}

static int check_items(uint16_t port, long count, FILE *record)
{
	char answer[LINE_ANSWER_MAX], row[64];
	int lost = 0;

	for (int i = 0; i < count; i++) {
		if (read_item(port, i, answer))
			return 2;
		snprintf(row, sizeof(row), "DATAROW v%d ", i);
		if (strncmp(answer, row, strlen(row)) == 0)
			continue;
		lost++;
		line_record(record, "LOST: k%d -> %s", i, answer);
	}
	line_record(record, "%ld acknowledged commits, %d lost", count, lost);
	return lost ? 1 : 0;
}

int main(int argc, char **argv)
{
	FILE *record = argc == 5 ? fopen(argv[4], "a") : NULL;
	uint16_t port = argc > 2 ? (uint16_t)strtol(argv[2], NULL, 10) : 0;
	long number = argc > 3 ? strtol(argv[3], NULL, 10) : 0;

	if (argc == 4 && strcmp(argv[1], "call") == 0)
		return call(port, line_now_ms() + number);
	if (!record)
		return 2;
	if (strcmp(argv[1], "write") == 0)
		return write_items(port, line_now_ms() + number, record);
	return strcmp(argv[1], "check") == 0 ? check_items(port, number, record) : 2;
}
