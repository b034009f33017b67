/**
 * @file harness.h
 * Starts programs of the build folder as processes, allocates loopback ports for them, sends them
 * signals, and runs SQL statements with a timeout.
 */
#ifndef PW_TESTS_HARNESS_H
#define PW_TESTS_HARNESS_H

#include <glib.h>
#include <libpq-fe.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/** Time in which a started process must accept connections. Tests also use it for their steps. */
#define PW_HARNESS_TIMEOUT_MS 10000

/** The processes of a test and the temporary folder with their output. */
struct pw_harness;

struct pw_harness_process {
	pid_t pid;         /**< 0 once the end of the process has been seen and `status` is set */
	int32_t status;    /**< wait status as set by waitpid(); valid once `pid` is 0 */
	uint16_t port;     /**< port that it accepts connections on; 0: none */
	char *output_path; /**< file with its standard output and error */
};

/** Port, credentials and start-up parameters of a connection. */
struct pw_harness_login {
	uint16_t port;
	const char *user;
	const char *password;         /**< NULL: none */
	const char *application_name; /**< NULL: none */
	const char *database;         /**< NULL: "test" */
	const char *options;          /**< start-up parameter `options`; NULL: none */
};

struct pw_harness *pw_harness_new(void);
/** Kills the processes that still run and removes the temporary folder. */
void pw_harness_free(struct pw_harness *h);
/** @return temporary folder, also for files of the test; removed by pw_harness_free() */
const char *pw_harness_temp_folder(const struct pw_harness *h);

/** @return loopback port, free when checked, that no other test or outgoing connection gets */
uint16_t pw_harness_allocate_port(void);

/**
 * Starts a program and waits until its port accepts connections. Fails the test if the process ends
 * before that or does not accept connections within PW_HARNESS_TIMEOUT_MS.
 *
 * @param program path within the build folder; the environment variable PW_TEST_PROXY names another
 *                build of the proxy
 * @param port    port to wait for; 0: returns as soon as the process has been created
 * @param args    arguments after the program's name, NULL-terminated
 * @param env     variables to set in the environment as NAME=VALUE, NULL-terminated, or NULL
 * @return process; the harness owns it
 */
struct pw_harness_process *pw_harness_start(struct pw_harness *h, const char *program,
					    uint16_t port, const char *const *args,
					    const char *const *env);

/** Sends a signal, for example SIGSTOP or SIGCONT, unless the process is known to have ended. */
void pw_harness_signal(const struct pw_harness_process *p, int signal_number);
/** @return whether the process ended before the timeout; its status is then set */
bool pw_harness_wait_end(struct pw_harness_process *p, uint32_t timeout_ms);
/** Sends SIGTERM and waits. A process that does not end in time is killed and fails the test. */
void pw_harness_stop(struct pw_harness_process *p);
/** Sends SIGKILL and waits. */
void pw_harness_kill(struct pw_harness_process *p);
/** @return standard output and error of the process so far; the caller frees it */
char *pw_harness_read_output(const struct pw_harness_process *p);

/**
 * Opens a connection.
 *
 * @param error receives "FATAL <sqlstate>", "CLOSED" or "TIMEOUT" on failure; the caller frees it
 * @return connection, or NULL
 */
PGconn *pw_harness_connect(const struct pw_harness_login *login, uint32_t timeout_ms, char **error);

/**
 * Waits for the last result of the statements that were sent.
 *
 * @return rows as "a|b;c|d" with "NULL" for SQL NULL ("" without rows), the command tag of a
 *         statement without columns, "ABORTED" for a skipped statement of a pipeline,
 *         "ERROR <sqlstate>", "CLOSED" or "TIMEOUT"; the caller frees it
 */
char *pw_harness_wait_result(PGconn *conn, uint32_t timeout_ms);

/** Formats one result as pw_harness_wait_result() does. The caller frees the text. */
char *pw_harness_format_result(const PGresult *result);

/**
 * Runs a statement.
 *
 * @param params text parameters, NULL-terminated: uses the extended protocol; NULL: uses the
 *               simple protocol
 * @return as pw_harness_wait_result()
 */
char *pw_harness_query(PGconn *conn, uint32_t timeout_ms, const char *sql,
		       const char *const *params);

/**
 * Runs a statement on a new connection.
 *
 * @return as pw_harness_wait_result(), or the error of pw_harness_connect()
 */
char *pw_harness_connect_and_query(const struct pw_harness_login *login, uint32_t timeout_ms,
				   const char *sql);

/**
 * Evaluates a condition at least once, and every 5 ms until it is true or the timeout passes. The
 * value of the expression tells whether the condition became true.
 */
#define PW_HARNESS_WAIT_UNTIL(condition, timeout_ms)                                      \
	({                                                                                \
		const gint64 end_us = g_get_monotonic_time() + (gint64)(timeout_ms)*1000; \
		bool met;                                                                 \
		while (!(met = (condition)) && g_get_monotonic_time() < end_us)           \
			g_usleep(5000);                                                   \
		met;                                                                      \
	})

#endif
