/**
 * @file change.h
 * Steps that the commands which change the document share: they validate it, write it to the store
 * and wait until the proxies have it.
 */
#ifndef PW_CTL_CHANGE_H
#define PW_CTL_CHANGE_H

#include "command.h"

/**
 * Validates a document and checks that it belongs to the service named in the settings. Findings
 * are written to the context.
 *
 * @return whether there are no findings
 */
bool ctl_change_validate(struct ctl_context *ctl, const char *text);

/**
 * Replaces the document by compare-and-swap. If the call fails or gets no response, reads the
 * document back to find out whether the change took effect.
 *
 * @return the same codes as `put` of struct ctl_document_store_ops, but PW_EUNAVAILABLE only if the
 * document that was read back does not contain the change
 */
int ctl_change_put(struct ctl_context *ctl, uint64_t *revision, const char *text,
		   uint64_t expected_revision);

/**
 * Waits until all proxies report the revision or a newer one. Without --wait, returns at once.
 *
 * @return 0, or PW_ETIMEOUT after `wait_timeout_us` of the settings
 */
int ctl_change_wait_for_proxies(struct ctl_context *ctl, uint64_t revision);

struct ctl_edit;

struct ctl_edit_ops {
	/** Modifies the parsed document. An error code ends the edit and sets the exit status. */
	int (*apply)(struct ctl_edit *e, json_t *root);
};

/** First member of an edit, which can be applied again to a newer revision of the document. */
struct ctl_edit {
	const struct ctl_edit_ops *ops;
};

/**
 * Reads the document, applies the edit and writes the result; starts over after a conflict, a
 * limited number of times. Nothing is written if the edit changes nothing.
 *
 * @param revision receives the revision that contains the edit
 * @return exit status; unless it is CTL_DONE, the error or the findings are already written to the
 * context
 */
enum ctl_exit ctl_change_apply_edit(struct ctl_context *ctl, struct ctl_edit *e,
				    uint64_t *revision);

#endif
