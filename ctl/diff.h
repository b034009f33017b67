/**
 * @file diff.h
 * Differences between two documents, as a list of changed paths. Objects in lists are matched by
 * name or id, so that an insertion shows as one change. Salts and hashes of keys are not shown.
 */
#ifndef PW_CTL_DIFF_H
#define PW_CTL_DIFF_H

#include <glib.h>
#include <jansson.h>

struct ctl_diff;

/** Compares two JSON texts; a text that is NULL or not JSON counts as an empty object. */
struct ctl_diff *ctl_diff_new(const char *old_text, const char *new_text);
void ctl_diff_free(struct ctl_diff *d);

/** @return number of changes */
size_t ctl_diff_count(const struct ctl_diff *d);

/** Appends the changes: a line with "-" for an old value, a line with "+" for a new one. */
void ctl_diff_write(const struct ctl_diff *d, GString *out);

/** @return list of {"path", "old", "new"}; the caller owns a reference */
json_t *ctl_diff_to_json(const struct ctl_diff *d);

#endif
