#include "harness.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* All ports are below the range from which the kernel assigns ports to outgoing connections. */
#define PORT_FIRST      10000
#define PORT_COUNT      20000
#define PORT_BLOCK_SIZE 100
#define STOP_TIMEOUT_MS 10000

extern char **environ;

struct pw_harness {
	char *folder;
	GPtrArray *processes;
};

static void process_free(gpointer p)
{
	struct pw_harness_process *process = p;

	pw_harness_kill(process);
	g_free(process->output_path);
	g_free(process);
}

struct pw_harness *pw_harness_new(void)
{
	struct pw_harness *h = g_new0(struct pw_harness, 1);

	h->folder = g_dir_make_tmp("pimentowing-XXXXXX", NULL);
	ck_assert_ptr_nonnull(h->folder);
	h->processes = g_ptr_array_new_with_free_func(process_free);
	return h;
}

void pw_harness_free(struct pw_harness *h)
{
	GDir *dir;
	const char *name;

	if (!h)
		return;
	g_ptr_array_unref(h->processes);
	dir = g_dir_open(h->folder, 0, NULL);
	while (dir && (name = g_dir_read_name(dir))) {
		char *path = g_build_filename(h->folder, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	g_clear_pointer(&dir, g_dir_close);
	g_rmdir(h->folder);
	g_free(h->folder);
	g_free(h);
}

const char *pw_harness_temp_folder(const struct pw_harness *h)
{
	return h->folder;
}

/* Calls bind() or connect() with a loopback port on a temporary socket; true if it succeeds. */
static bool try_port(uint16_t port, int (*operation)(int, const struct sockaddr *, socklen_t))
{
	const struct sockaddr_in a = { .sin_family = AF_INET,
				       .sin_port = htons(port),
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool ok = fd >= 0 && operation(fd, (const struct sockaddr *)&a, sizeof(a)) == 0;

	if (fd >= 0)
		close(fd);
	return ok;
}

/*
 * Reserves a block of ports for this process by listening on the first of them until the process
 * ends. Returns that port. When ports were chosen one by one, tests that ran at the same time got
 * the same ports, and as proxies set SO_REUSEPORT, callers of one fleet reached the proxies of the
 * other.
 */
static uint16_t reserve_port_block(void)
{
	for (;;) {
		struct sockaddr_in a = { .sin_family = AF_INET,
					 .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
		uint16_t first =
			(uint16_t)(PORT_FIRST +
				   PORT_BLOCK_SIZE *
					   g_random_int_range(0, PORT_COUNT / PORT_BLOCK_SIZE));
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		a.sin_port = htons(first);
		if (bind(fd, (const struct sockaddr *)&a, sizeof(a)) == 0 && listen(fd, 1) == 0)
			return first;
		close(fd);
	}
}

uint16_t pw_harness_allocate_port(void)
{
	static uint16_t first_port, used_count;
	uint16_t port;

	do {
		if (!first_port || used_count == PORT_BLOCK_SIZE) {
			first_port = reserve_port_block();
			used_count = 1;
		}
		port = first_port + used_count++;
	} while (!try_port(port, bind));
	return port;
}

/* Runs in the child; makes only calls that are safe between fork and exec. */
static void exec_child(const char *path, char **argv, char **envp, int output_fd, pid_t parent)
{
	sigset_t empty;

	/* The process must not outlive a test program that is killed. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(EXIT_FAILURE);
	sigemptyset(&empty);
	sigprocmask(SIG_SETMASK, &empty, NULL);
	dup2(output_fd, STDOUT_FILENO);
	dup2(output_fd, STDERR_FILENO);
	execve(path, argv, envp);
	_exit(127);
}

struct pw_harness_process *pw_harness_start(struct pw_harness *h, const char *program,
					    uint16_t port, const char *const *args,
					    const char *const *env)
{
	struct pw_harness_process *p = g_new0(struct pw_harness_process, 1);
	GPtrArray *argv = g_ptr_array_new();
	char **envp = g_strdupv(environ);
	const char *proxy = g_getenv("PW_TEST_PROXY");
	char *path = proxy && strcmp(program, "daemon/pimentowingd") == 0
			     ? g_strdup(proxy)
			     : g_build_filename(PW_BUILD_DIR, program, NULL);
	char *base_name = g_path_get_basename(program);
	pid_t parent = getpid();
	int fd;

	p->port = port;
	p->output_path = g_strdup_printf("%s/%s-%u.log", h->folder, base_name, h->processes->len);
	g_ptr_array_add(h->processes, p);
	g_ptr_array_add(argv, path);
	for (; *args; args++)
		g_ptr_array_add(argv, (gpointer)(uintptr_t)*args);
	g_ptr_array_add(argv, NULL);
	for (; env && *env; env++) {
		char **pair = g_strsplit(*env, "=", 2);

		envp = g_environ_setenv(envp, pair[0], pair[1] ? pair[1] : "", TRUE);
		g_strfreev(pair);
	}
	fd = open(p->output_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	ck_assert_msg(fd >= 0, "%s: %s", p->output_path, strerror(errno));
	p->pid = fork();
	if (p->pid == 0)
		exec_child(path, (char **)argv->pdata, envp, fd, parent);
	close(fd);
	g_free(path);
	g_free(base_name);
	g_strfreev(envp);
	g_ptr_array_unref(argv);
	ck_assert_msg(p->pid > 0, "fork: %s", strerror(errno));
	if (port && !PW_HARNESS_WAIT_UNTIL(try_port(port, connect) || pw_harness_wait_end(p, 0),
					   PW_HARNESS_TIMEOUT_MS))
		ck_abort_msg("%s does not accept connections on port %u", program, port);
	if (port && !p->pid)
		ck_abort_msg("%s ended before it accepted connections: %s", program,
			     pw_harness_read_output(p));
	return p;
}

void pw_harness_signal(const struct pw_harness_process *p, int signal_number)
{
	if (p->pid > 0)
		kill(p->pid, signal_number);
}

bool pw_harness_wait_end(struct pw_harness_process *p, uint32_t timeout_ms)
{
	if (p->pid <= 0)
		return true;
	if (!PW_HARNESS_WAIT_UNTIL(waitpid(p->pid, &p->status, WNOHANG) == p->pid, timeout_ms))
		return false;
	p->pid = 0;
	return true;
}

void pw_harness_kill(struct pw_harness_process *p)
{
	if (p->pid <= 0)
		return;
	kill(p->pid, SIGKILL);
	waitpid(p->pid, &p->status, 0);
	p->pid = 0;
}

void pw_harness_stop(struct pw_harness_process *p)
{
	pw_harness_signal(p, SIGTERM);
	if (pw_harness_wait_end(p, STOP_TIMEOUT_MS))
		return;
	pw_harness_kill(p);
	ck_abort_msg("the process did not end on SIGTERM: %s", pw_harness_read_output(p));
}

char *pw_harness_read_output(const struct pw_harness_process *p)
{
	char *text = NULL;

	g_file_get_contents(p->output_path, &text, NULL, NULL);
	return text ? text : g_strdup("");
}

/* Returns the time until `end_us`, rounded up, or 0 if it has passed. */
static uint32_t remaining_ms(gint64 end_us)
{
	gint64 now_us = g_get_monotonic_time();

	return now_us >= end_us ? 0 : (uint32_t)((end_us - now_us) / 1000 + 1);
}

/* Waits for events of the connection's socket. Returns false if there are none until `end_us`. */
static bool wait_socket(PGconn *conn, short events, gint64 end_us)
{
	struct pollfd p = { .fd = PQsocket(conn), .events = events };
	uint32_t timeout_ms = remaining_ms(end_us);

	return timeout_ms && poll(&p, 1, (int)timeout_ms) > 0;
}

/*
 * Returns "FATAL <sqlstate>" or "CLOSED". The SQLSTATE is taken from the verbose error message: for
 * a failed connection, libpq reports it nowhere else.
 */
static char *format_connect_error(PGconn *conn)
{
	const char *prefix = strstr(PQerrorMessage(conn), "FATAL:  ");

	return prefix ? g_strdup_printf("FATAL %.5s", prefix + strlen("FATAL:  "))
		      : g_strdup("CLOSED");
}

PGconn *pw_harness_connect(const struct pw_harness_login *login, uint32_t timeout_ms, char **error)
{
	char *port = g_strdup_printf("%u", login->port);
	const char *const names[] = { "host",     "port",   "user",
				      "password", "dbname", "application_name",
				      "options",  NULL };
	const char *const values[] = {
		"127.0.0.1",
		port,
		login->user,
		login->password,
		login->database ? login->database : "test",
		login->application_name,
		login->options,
		NULL,
	};
	const gint64 end_us = g_get_monotonic_time() + (gint64)timeout_ms * 1000;
	PostgresPollingStatusType state = PGRES_POLLING_WRITING;
	PGconn *conn = PQconnectStartParams(names, values, 0);

	g_free(port);
	PQsetErrorVerbosity(conn, PQERRORS_VERBOSE);
	*error = NULL;
	while (PQstatus(conn) != CONNECTION_BAD && state != PGRES_POLLING_OK) {
		if (!wait_socket(conn, state == PGRES_POLLING_READING ? POLLIN : POLLOUT, end_us)) {
			*error = g_strdup("TIMEOUT");
			break;
		}
		state = PQconnectPoll(conn);
		if (state == PGRES_POLLING_FAILED)
			break;
	}
	if (state == PGRES_POLLING_OK)
		return conn;
	if (!*error)
		*error = format_connect_error(conn);
	PQfinish(conn);
	return NULL;
}

char *pw_harness_format_result(const PGresult *result)
{
	const char *sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);
	GString *s;

	if (sqlstate)
		return g_strdup_printf("ERROR %s", sqlstate);
	if (PQresultStatus(result) == PGRES_FATAL_ERROR)
		return g_strdup("CLOSED");
	if (PQresultStatus(result) == PGRES_PIPELINE_ABORTED)
		return g_strdup("ABORTED");
	if (PQresultStatus(result) != PGRES_TUPLES_OK)
		return g_strdup(PQcmdStatus((PGresult *)(uintptr_t)result));
	s = g_string_new(NULL);
	for (int row = 0; row < PQntuples(result); row++) {
		for (int i = 0; i < PQnfields(result); i++)
			g_string_append_printf(
				s, "%s%s",
				i     ? "|"
				: row ? ";"
				      : "",
				PQgetisnull(result, row, i) ? "NULL" : PQgetvalue(result, row, i));
	}
	return g_string_free(s, FALSE);
}

char *pw_harness_wait_result(PGconn *conn, uint32_t timeout_ms)
{
	const gint64 end_us = g_get_monotonic_time() + (gint64)timeout_ms * 1000;
	char *text = NULL;

	for (;;) {
		PGresult *result;

		while (PQisBusy(conn)) {
			if (!wait_socket(conn, POLLIN, end_us)) {
				g_free(text);
				return g_strdup("TIMEOUT");
			}
			if (!PQconsumeInput(conn))
				break;
		}
		result = PQgetResult(conn);
		if (!result)
			return text ? text : g_strdup("CLOSED");
		g_free(text);
		text = pw_harness_format_result(result);
		PQclear(result);
	}
}

char *pw_harness_query(PGconn *conn, uint32_t timeout_ms, const char *sql,
		       const char *const *params)
{
	int param_count = 0, sent;

	while (params && params[param_count])
		param_count++;
	sent = params ? PQsendQueryParams(conn, sql, param_count, NULL, params, NULL, NULL, 0)
		      : PQsendQuery(conn, sql);
	return sent ? pw_harness_wait_result(conn, timeout_ms) : g_strdup("CLOSED");
}

char *pw_harness_connect_and_query(const struct pw_harness_login *login, uint32_t timeout_ms,
				   const char *sql)
{
	char *text;
	PGconn *conn = pw_harness_connect(login, timeout_ms, &text);

	if (!conn)
		return text;
	text = pw_harness_query(conn, timeout_ms, sql, NULL);
	PQfinish(conn);
	return text;
}
