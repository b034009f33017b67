/**
 * @file settings.h
 * Settings of the process from flags and environment variables.
 */
#ifndef PW_DAEMON_SETTINGS_H
#define PW_DAEMON_SETTINGS_H

#include "directory.h"
#include "pw/core/settings.h"

extern const struct pw_settings_spec pw_process_settings_spec;

/** Checks names and combinations of settings, after each was read without a finding. */
void pw_process_settings_check(const struct pw_process_settings *s, struct pw_findings *f);

#endif
