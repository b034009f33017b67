/**
 * @file settings.h
 * Settings of the process from flags and environment variables.
 */
#ifndef PW_DAEMON_SETTINGS_H
#define PW_DAEMON_SETTINGS_H

#include "directory.h"
#include "pw/core/settings.h"

/** All settings of pimentowingd; they are read into a struct pw_process_settings. */
extern const struct pw_settings_spec pw_process_settings_spec;

/**
 * Adds a finding for each setting that is not a valid name, or that is missing or not allowed
 * because of the others. To be called after all settings were read without a finding.
 */
void pw_process_settings_check(const struct pw_process_settings *s, struct pw_findings *f);

#endif
