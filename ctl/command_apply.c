#include "change.h"

#include <string.h>

#include "diff.h"
#include "pw/core/error.h"

/** Documents that `apply` compares. */
struct apply_documents {
	char *proposed; /**< document in the operator's file */
	char *base;   /**< document that the operator's change is based on; NULL: none or unknown */
	char *newest; /**< stored document; NULL: none */
	uint64_t base_revision;   /**< 0: no document is stored */
	uint64_t newest_revision; /**< 0: no document is stored */
};

/*
 * Reads a revision of the document, the newest if `requested_revision` is 0. If it does not exist,
 * sets `text` to NULL and `revision` to 0 and returns 0.
 */
static int get_if_present(struct ctl_context *ctl, char **text, uint64_t *revision,
			  uint64_t requested_revision)
{
	int rc;

	g_clear_pointer(text, g_free);
	*revision = 0;
	rc = ctl->store->ops->get(ctl->store, text, revision, requested_revision);
	return rc == PW_ENOTFOUND ? PW_OK : rc;
}

/* Reads the newest document and the one that the operator's change is based on. */
static int load_documents(struct ctl_context *ctl, struct apply_documents *a)
{
	int rc = get_if_present(ctl, &a->newest, &a->newest_revision, 0);
	uint64_t ignored;

	if (rc != PW_OK)
		return rc;
	a->base_revision = ctl->settings.revision;
	if (a->base_revision == 0 || a->base_revision == a->newest_revision) {
		a->base_revision = a->newest_revision;
		a->base = g_strdup(a->newest);
		return PW_OK;
	}
	/*
	 * The store may have compacted the base revision; the other operator's changes are then not
	 * shown.
	 */
	return get_if_present(ctl, &a->base, &ignored, a->base_revision);
}

/*
 * Reads the newest document again, because it may have changed after load_documents(), and shows
 * how it differs from the base.
 */
static enum ctl_exit report_conflict(struct ctl_context *ctl, struct apply_documents *a)
{
	struct ctl_diff *d;

	if (get_if_present(ctl, &a->newest, &a->newest_revision, 0) != PW_OK)
		g_clear_pointer(&a->newest, g_free);
	d = ctl_diff_new(a->base, a->newest);
	if (ctl->settings.json) {
		ctl_write_json(ctl,
			       json_pack("{s:s, s:I, s:I, s:o}", "error", "conflict",
					 "base_revision", (json_int_t)a->base_revision, "revision",
					 (json_int_t)a->newest_revision, "their_changes",
					 a->base ? ctl_diff_to_json(d) : json_null()));
	} else {
		g_string_append_printf(ctl->err,
				       "pimentowingctl: another operator changed the document: "
				       "revision %" G_GUINT64_FORMAT " is now %" G_GUINT64_FORMAT
				       "; nothing was applied\n",
				       a->base_revision, a->newest_revision);
		if (a->base) {
			g_string_append(ctl->err, "Changes of the other operator:\n");
			ctl_diff_write(d, ctl->err);
		}
	}
	ctl_diff_free(d);
	return CTL_CONFLICT;
}

static void report_change(struct ctl_context *ctl, const struct ctl_diff *d, uint64_t revision)
{
	if (ctl->settings.json) {
		ctl_write_json(ctl, json_pack("{s:I, s:o}", "revision", (json_int_t)revision,
					      "changes", ctl_diff_to_json(d)));
		return;
	}
	ctl_diff_write(d, ctl->out);
	g_string_append_printf(ctl->out, "revision %" G_GUINT64_FORMAT "%s\n", revision,
			       ctl_diff_count(d) ? "" : ", no changes");
}

/*
 * Stores the proposed document, unless it changes nothing, and waits for the proxies. Reports a
 * conflict if the base is not the newest document.
 */
static enum ctl_exit apply_document(struct ctl_context *ctl, struct apply_documents *a)
{
	struct ctl_diff *d = NULL;
	uint64_t revision = 0;
	enum ctl_exit status;
	int rc = load_documents(ctl, a);

	if (rc != PW_OK)
		return ctl_report_error(ctl, rc);
	if (a->base_revision != a->newest_revision)
		return report_conflict(ctl, a);
	d = ctl_diff_new(a->newest, a->proposed);
	revision = a->newest_revision;
	if (revision == 0 || ctl_diff_count(d) > 0)
		rc = ctl_change_put(ctl, &revision, a->proposed, a->newest_revision);
	if (rc == PW_ECONFLICT) {
		status = report_conflict(ctl, a);
		goto done;
	}
	if (rc != PW_OK) {
		status = ctl_report_error(ctl, rc);
		goto done;
	}
	report_change(ctl, d, revision);
	status = CTL_DONE;
	if (ctl_change_wait_for_proxies(ctl, revision) != PW_OK) {
		ctl_report_error(ctl, PW_ETIMEOUT);
		status = CTL_FAILED;
	}
done:
	ctl_diff_free(d);
	return status;
}

static enum ctl_exit run_apply(const struct ctl_command *c, struct ctl_context *ctl, char **args)
{
	struct apply_documents a = { 0 };
	enum ctl_exit status = CTL_FINDINGS;
	int rc = ctl_read_file(&a.proposed, args[0]);

	if (rc != PW_OK)
		return ctl_report_error(ctl, rc);
	if (ctl_change_validate(ctl, a.proposed))
		status = apply_document(ctl, &a);
	g_free(a.proposed);
	g_free(a.base);
	g_free(a.newest);
	return status;
}

static const struct ctl_command_ops apply_ops = { .needs_store = true,
						  .supports_wait = true,
						  .run = run_apply };

const struct ctl_command ctl_apply_command = {
	.ops = &apply_ops,
	.name = "apply",
	.arguments = "FILE",
	.summary = "validate a document, show what changes and store it",
	.argument_count = 1,
};
