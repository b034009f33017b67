/**
 * @file settings.h
 * Settings of a program from a declarative table: each has a flag, an environment variable, a
 * type, a default, a unit and a help text. The flag takes precedence over the variable, and the
 * variable over the default; an empty variable counts as absent. All problems are collected with
 * their location.
 */
#ifndef PW_CORE_SETTINGS_H
#define PW_CORE_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pw/core/findings.h"

struct pw_setting;

struct pw_setting_ops {
	const char *type; /**< placeholder of the value in the help text, for example "IP:PORT" */
	bool has_optional_value; /**< the value may be omitted, which means "true" */
	bool is_list;            /**< the flag may be repeated; the values are joined by commas */
	/** Parses the text into `value`; adds a finding if the text is not valid. */
	void (*parse)(const struct pw_setting *s, void *value, const char *text,
		      const char *location, struct pw_findings *f);
	/** Frees what `value` points to; NULL for types without allocated memory. */
	void (*dispose)(void *value);
};

/** One row of the table. */
struct pw_setting {
	const struct pw_setting_ops *ops;
	const char *flag;         /**< without dashes; NULL for secrets, which `ps` must not show */
	const char *env_variable; /**< NULL: none */
	/** Parsed like a given value; NULL leaves the field zero. */
	const char *default_text;
	const char *help;
	const char *unit; /**< unit of a number, for example "bytes"; NULL: none */
	size_t offset;    /**< offset of the field in the program's struct of settings */
	uint64_t min;
	uint64_t max;               /**< 0: the maximum of the type */
	const char *const *choices; /**< values of a pw_setting_choice, NULL-terminated */
	bool required;
	/** Flags of settings that may not be given beside this one, NULL-terminated; NULL: none. */
	const char *const *excludes;
};

extern const struct pw_setting_ops pw_setting_string; /**< char * */
extern const struct pw_setting_ops pw_setting_bool;   /**< bool */
extern const struct pw_setting_ops pw_setting_u32;    /**< uint32_t */
extern const struct pw_setting_ops pw_setting_u64;    /**< uint64_t */
/** uint64_t in microseconds, given as "250ms", "2.5s", "2min"; min and max are microseconds, too */
extern const struct pw_setting_ops pw_setting_duration;
extern const struct pw_setting_ops pw_setting_choice;  /**< uint32_t, index in `choices` */
extern const struct pw_setting_ops pw_setting_address; /**< char *, "IP:PORT" */
/** char **, NULL-terminated, given as "IP:PORT,IP:PORT" */
extern const struct pw_setting_ops pw_setting_addresses;

struct pw_settings_spec {
	const char *program;
	/** Text after the flags in the usage line, for example "COMMAND"; NULL: none. */
	const char *usage_arguments;
	const char *summary;  /**< text before the list of flags in the help */
	const char *epilogue; /**< text after the list of flags in the help; NULL: none */
	const struct pw_setting *settings;
	size_t setting_count;
};

/** Contents of the command line other than settings. */
struct pw_settings_arguments {
	bool help;         /**< --help or -h was given; settings are not checked */
	bool version;      /**< --version was given; settings are not checked */
	char **positional; /**< positional arguments, NULL-terminated */
};

/**
 * Parses settings from the command line and the environment.
 *
 * @param out       zeroed struct that the offsets of the table refer to; needs
 *                  pw_settings_dispose() also after a failure
 * @param argv      command line with the program's name, NULL-terminated
 * @param envp      environment, for example from g_get_environ()
 * @param arguments receives the rest of the command line; needs pw_settings_arguments_dispose()
 * @param f         receives all problems
 * @return 0, or PW_EINVALID if it added findings
 */
int pw_settings_parse(void *out, const struct pw_settings_spec *spec, char **argv, char **envp,
		      struct pw_settings_arguments *arguments, struct pw_findings *f);

void pw_settings_dispose(void *out, const struct pw_settings_spec *spec);
void pw_settings_arguments_dispose(struct pw_settings_arguments *arguments);

/** @return help text of all settings; the caller frees it with g_free() */
char *pw_settings_help(const struct pw_settings_spec *spec);

#endif
