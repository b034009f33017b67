/**
 * @file kit.h
 * Parts that the scripts of this review share: the record, processes, HTTP calls to the platform
 * stand-in, callers, and database servers that follow the platform's line protocol.
 */
#ifndef REVIEW_COMMON_KIT_H
#define REVIEW_COMMON_KIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/** Exit statuses of a script. */
enum kit_verdict {
	KIT_HELD = 0,
	KIT_BROKEN = 1,
	KIT_NOT_RUN = 2,
};

/** Starts the record (record.txt); ends the script after 110 s at the latest. */
void kit_start(const char *record_path);
/** @return whether the disruption is part of this run; TROUBLE=0 leaves it out */
bool kit_has_trouble(void);
/** Writes a line with the time since the start to the record. */
void kit_record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/** Ends all processes that were started, writes the verdict and exits. */
_Noreturn void kit_finish(enum kit_verdict verdict, const char *text);
uint64_t kit_now_ms(void);
void kit_sleep_ms(uint64_t ms);
/** @return a port of 127.0.0.1 that is free for TCP and UDP */
uint16_t kit_free_port(void);

/** A process of the project. */
struct kit_process {
	char name[32];
	pid_t pid; /**< 0: not running */
	int end_signal;
	int ends_by_itself; /**< number of ends that kit_signal() did not cause */
};

/** Proxy with its ports. */
struct kit_proxy {
	struct kit_process process;
	uint16_t caller_port, api_port, peer_port, metrics_port;
	uint16_t store_port; /**< port of the platform, or of a relay to it */
	uint16_t promoter_port;
};

/** Starts the platform stand-in; its own servers belong to a service that no route names. */
uint16_t kit_start_platform(void);
void kit_proxy_init(struct kit_proxy *p, uint32_t number, uint16_t platform_port);
/** Starts the proxy with the command of the deploy file. */
void kit_proxy_start(struct kit_proxy *p);
/** Waits until the proxy is ready; ends the script with KIT_NOT_RUN if it is not in time. */
void kit_proxy_wait_ready(const struct kit_proxy *p);
/** Sends a signal to the process; with SIGKILL its end does not count as one by itself. */
void kit_signal(struct kit_process *p, int signal_number);
/** Records the end of the process if it has ended. @return whether it runs */
bool kit_is_running(struct kit_process *p);

/** @return HTTP status, or 0 without a response; `out` receives the body */
int kit_http(uint16_t port, const char *method, const char *path, const char *body, char *out,
	     size_t out_size);
/** Stores a configuration as the operator does; exits with KIT_NOT_RUN on failure. */
void kit_put_config(uint16_t platform_port, const char *text);

/** Caller. */
struct kit_caller {
	int fd; /**< -1: closed */
	size_t used;
	char input[65536];
};

/** Opens a session. @return whether the proxy has accepted it */
bool kit_caller_open(struct kit_caller *c, uint16_t port, const char *database, const char *key);
void kit_caller_close(struct kit_caller *c);
/**
 * Sends a statement and waits for the answer.
 *
 * @param out receives "rows; COMPLETE signature|ERROR code; READY state", "closed" or "timeout"
 */
void kit_caller_run(struct kit_caller *c, const char *id, const char *text, char *out,
		    size_t out_size, uint64_t timeout_ms);
/** Sends a statement without waiting. */
bool kit_caller_send(struct kit_caller *c, const char *id, const char *text);
void kit_caller_receive(struct kit_caller *c, char *out, size_t out_size, uint64_t timeout_ms);

#define KIT_LOG_MAX     40000
#define KIT_SERVERS_MAX 3
#define KIT_GROUPS_MAX  8

/** Entry of a server's log. */
struct kit_entry {
	uint64_t term;
	uint64_t at_ms;
	char id[40];
};

struct kit_group;

/** Database server. */
struct kit_server {
	struct kit_group *group;
	char id[32];
	uint16_t port;
	int listener;
	bool running;
	bool primary;
	bool draining;
	bool registered;
	bool deaf;          /**< receives nothing from the primary */
	bool cut;           /**< partitioned from the store; the proxies reach it */
	bool dark;          /**< silent: it answers nothing, and new connections hang */
	bool loses_answers; /**< of the statements that run, one answer in five is lost */
	uint64_t term;
	uint64_t lag_ms;        /**< replication lag */
	uint64_t steps_down_ms; /**< when it notices a newer primary; 0: never */
	uint64_t next_beat_ms;
	uint64_t born_ms;
	uint64_t sequence;
	int64_t lease; /**< of its entry; 0: none */
	int busy_count;
	int waiting_count;
	uint32_t answer_count;
	int conn_count;
	int conn_fds[256];
	struct kit_entry *log;
	size_t log_length;
};

/** The servers of a service; all services have the same promotion endpoint. */
struct kit_group {
	char service[32];
	struct kit_server servers[KIT_SERVERS_MAX];
	uint16_t platform_port;
	uint16_t promoter_port;
	uint64_t work_ms;       /**< run time of a statement */
	uint64_t promote_ms;    /**< time from a promotion request until it takes effect */
	uint32_t sync_replicas; /**< replicas that have to receive a commit before its answer */
	struct kit_server *appointed;
	uint64_t appointed_ms;
	uint64_t promoted_ms; /**< when the last promotion took effect; 0: none */
	/** Called when a promotion has taken effect; the group's lock is held. */
	void (*promoted)(struct kit_server *s);
	/** Called for each statement that runs; the group's lock is held. */
	void (*ran)(struct kit_server *s, const char *tenant, const char *id, const char *text);
};

#define KIT_HEARTBEAT_MS 1200

/** Starts three servers, the first one as primary, and registers them. */
struct kit_group *kit_group_start(uint16_t platform_port, const char *service);
/** Ends the server at once; its entry stays until its lease ends, after three heartbeats. */
void kit_server_crash(struct kit_server *s);
/** Makes the server silent, or starts it again under its id, with its log. */
void kit_server_set_dark(struct kit_server *s, bool dark);
/** Starts it again under its id, with its log. */
void kit_server_restart(struct kit_server *s);

#endif
