/**
 * @file command.h
 * Commands of pimentowingctl. A command appends its output to the context and returns the exit
 * status of the process.
 */
#ifndef PW_CTL_COMMAND_H
#define PW_CTL_COMMAND_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "pw/codec/document.h"
#include "pw/core/settings.h"
#include "document_store.h"

/** Exit statuses; the manual page documents them. */
enum ctl_exit {
	CTL_DONE = 0,
	CTL_FAILED = 1,      /**< any other failure, for example a timeout of --wait */
	CTL_FINDINGS = 2,    /**< wrong usage or settings, or an invalid document */
	CTL_CONFLICT = 3,    /**< another operator changed the document in the meantime */
	CTL_UNAVAILABLE = 4, /**< a call to the store failed or got no response in time */
};

struct ctl_settings {
	char **store_addresses; /**< key-value store, NULL-terminated; NULL: not given */
	char *service;          /**< name of the service */
	char **api_addresses;   /**< administration APIs, NULL-terminated; NULL: not given */
	char *api_ca_path; /**< trusted certificates of the administration API; NULL without TLS */
	char *api_token;   /**< bearer token of the administration API; NULL: none */
	/**
	 * For apply, the revision that the change is based on; for show, the revision to print.
	 * 0: the newest.
	 */
	uint64_t revision;
	uint64_t wait_timeout_us; /**< time limit of `wait` */
	bool wait;                /**< after a change, wait until all proxies report its revision */
	bool json;                /**< write JSON instead of text */
	char *position; /**< explain: position of the session's last commit; NULL: it has none */
};

/** Settings, connections and output of one run of the program. */
struct ctl_context {
	struct ctl_settings settings;
	struct ctl_document_store *store; /**< NULL for commands that need no store */
	struct ctl_api_client *api;       /**< NULL without --api */
	GString *out;                     /**< for standard output */
	GString *err;                     /**< for standard error */
};

struct ctl_command;

struct ctl_command_ops {
	bool needs_store;   /**< requires --store and --service */
	bool needs_api;     /**< requires --api */
	bool supports_wait; /**< --wait has an effect, and requires --api */
	/**
	 * Runs the command.
	 *
	 * @param args arguments of the command, `argument_count` of them
	 */
	enum ctl_exit (*run)(const struct ctl_command *c, struct ctl_context *ctl, char **args);
};

struct ctl_command {
	const struct ctl_command_ops *ops;
	const char *name;      /**< one or two words */
	const char *arguments; /**< placeholders shown in the help */
	const char *summary;
	uint32_t argument_count;
};

extern const struct ctl_command ctl_check_command;
extern const struct ctl_command ctl_apply_command;
extern const struct ctl_command ctl_show_command;
extern const struct ctl_command ctl_status_command;
extern const struct ctl_command ctl_explain_command;
extern const struct ctl_command ctl_replica_forget_command;
extern const struct ctl_command ctl_key_new_command;
extern const struct ctl_command ctl_key_withdraw_command;
extern const struct ctl_command ctl_drain_command;
extern const struct ctl_command ctl_undrain_command;

/** @return command i, in the order of the help, or NULL past the last */
const struct ctl_command *ctl_command_at(size_t i);

/**
 * Finds the command named by the first words of the command line and checks its number of
 * arguments.
 *
 * @param args  receives the position in `words` of the command's first argument
 * @param words command line without the flags, ends with NULL
 * @return command; NULL if it is unknown or has a wrong number of arguments, after adding a
 * finding
 */
const struct ctl_command *ctl_command_find(char ***args, char **words, struct pw_findings *f);

/** Adds a finding for each setting that the command requires and that is missing. */
void ctl_command_check_settings(const struct ctl_command *c, const struct ctl_settings *s,
				struct pw_findings *f);

extern const struct pw_settings_spec ctl_settings_spec;

/** Writes findings as text or JSON. @return CTL_FINDINGS */
enum ctl_exit ctl_report_findings(struct ctl_context *ctl, const struct pw_findings *f);

/** Writes the calling thread's last error message. @return exit status for the error code */
enum ctl_exit ctl_report_error(struct ctl_context *ctl, int code);

/** Writes an object as one line of JSON and releases the caller's reference to it. */
void ctl_write_json(struct ctl_context *ctl, json_t *object);

/**
 * Reads a file, or standard input for "-". A file larger than PW_DOCUMENT_MAX_BYTES is cut off one
 * byte above the limit, so that the parser still finds it too large.
 *
 * @param text receives the contents on success, freed with g_free()
 * @return 0; PW_ENOTFOUND if the file cannot be opened; PW_ESYSTEM if it cannot be read;
 * PW_EINVALID if it contains a NUL byte
 */
int ctl_read_file(char **text, const char *path);

#endif
