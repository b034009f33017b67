/**
 * @file findings.h
 * Problems found in settings or documents, collected with their location and reported together.
 */
#ifndef PW_CORE_FINDINGS_H
#define PW_CORE_FINDINGS_H

#include <stddef.h>

struct pw_findings;

struct pw_finding {
	char *location; /**< flag, environment variable or document path, e.g. `routes[2].match` */
	char *message;
};

int pw_findings_new(struct pw_findings **out);
void pw_findings_free(struct pw_findings *f);

/**
 * Adds a finding.
 *
 * @param location flag, environment variable or document path
 * @param format   printf format of the description
 */
void pw_findings_add(struct pw_findings *f, const char *location, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

size_t pw_findings_count(const struct pw_findings *f);
const struct pw_finding *pw_findings_at(const struct pw_findings *f, size_t i);

/** @return all findings as lines of `location: message`; the caller frees it with g_free() */
char *pw_findings_format(const struct pw_findings *f);

#endif
