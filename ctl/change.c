#include "change.h"

#include <string.h>

#include "pw/core/clock.h"
#include "pw/core/error.h"

#define EDIT_MAX_ATTEMPTS     5
#define WAIT_POLL_INTERVAL_US (100 * PW_US_PER_MS)

bool ctl_change_validate(struct ctl_context *ctl, const char *text)
{
	const struct pw_document *d = NULL;
	struct pw_findings *f;
	bool valid;

	pw_findings_new(&f);
	pw_document_parse(&d, text, strlen(text), 0, f);
	if (d && strcmp(d->service, ctl->settings.service) != 0)
		pw_findings_add(f, "service", "is not the service of --service (%s)",
				ctl->settings.service);
	valid = pw_findings_count(f) == 0;
	if (!valid)
		ctl_report_findings(ctl, f);
	pw_document_unref(d);
	pw_findings_free(f);
	return valid;
}

int ctl_change_put(struct ctl_context *ctl, uint64_t *revision, const char *text,
		   uint64_t expected_revision)
{
	struct ctl_document_store *s = ctl->store;
	char *stored = NULL;
	uint64_t stored_revision = 0;
	int rc = s->ops->put(s, revision, text, expected_revision);

	if (rc != PW_EUNAVAILABLE)
		return rc;
	if (s->ops->get(s, &stored, &stored_revision, 0) == PW_OK &&
	    stored_revision > expected_revision && strcmp(stored, text) == 0) {
		*revision = stored_revision;
		rc = PW_OK;
	} else {
		rc = pw_error_set(PW_EUNAVAILABLE,
				  "the store did not answer; the change may have taken effect");
	}
	g_free(stored);
	return rc;
}

/* A proxy that does not respond counts as one that does not have the revision. */
static bool proxy_has_revision(struct ctl_context *ctl, const char *address, uint64_t revision)
{
	struct ctl_proxy_status status;
	bool has_revision;

	if (ctl->api->ops->get_status(ctl->api, &status, address) != PW_OK)
		return false;
	has_revision = status.revision >= revision;
	ctl_proxy_status_dispose(&status);
	return has_revision;
}

/* Returns the address of the first proxy that does not have the revision, or NULL. */
static const char *find_lagging_proxy(struct ctl_context *ctl, uint64_t revision)
{
	for (char **address = ctl->settings.api_addresses; *address; address++) {
		if (!proxy_has_revision(ctl, *address, revision))
			return *address;
	}
	return NULL;
}

int ctl_change_wait_for_proxies(struct ctl_context *ctl, uint64_t revision)
{
	uint64_t start_us = pw_clock_now_us();
	const char *lagging_address;

	if (!ctl->settings.wait)
		return PW_OK;
	while ((lagging_address = find_lagging_proxy(ctl, revision)) != NULL) {
		if (pw_clock_now_us() - start_us >= ctl->settings.wait_timeout_us)
			return pw_error_set(PW_ETIMEOUT,
					    "the proxy at %s does not report revision "
					    "%" G_GUINT64_FORMAT,
					    lagging_address, revision);
		ctl->api->ops->sleep(ctl->api, WAIT_POLL_INTERVAL_US);
	}
	return PW_OK;
}

/*
 * Applies the edit to the text of a document. `out` receives the new text; it stays unset if the
 * edit changes nothing.
 */
static int edit_text(struct ctl_edit *e, char **out, const char *text)
{
	json_t *root = json_loads(text, 0, NULL);
	json_t *original = json_deep_copy(root);
	char *json_text = NULL;
	int rc;

	if (!root)
		return pw_error_set(PW_EINVALID, "the stored document is not valid JSON");
	rc = e->ops->apply(e, root);
	if (rc == PW_OK && !json_equal(original, root)) {
		json_text = json_dumps(root, JSON_INDENT(2));
		*out = g_strconcat(json_text, "\n", NULL);
		free(json_text);
	}
	json_decref(original);
	json_decref(root);
	return rc;
}

/*
 * Reads, edits and writes the document once. Unless the result is PW_ECONFLICT, sets `status` and
 * reports an error if there is one.
 */
static int edit_once(struct ctl_context *ctl, struct ctl_edit *e, uint64_t *revision,
		     enum ctl_exit *status)
{
	char *text = NULL, *edited = NULL;
	uint64_t expected_revision;
	int rc = ctl->store->ops->get(ctl->store, &text, &expected_revision, 0);

	if (rc == PW_OK)
		rc = edit_text(e, &edited, text);
	if (rc != PW_OK) {
		*status = ctl_report_error(ctl, rc);
		goto done;
	}
	if (!edited) {
		*revision = expected_revision;
		*status = CTL_DONE;
		goto done;
	}
	if (!ctl_change_validate(ctl, edited)) {
		*status = CTL_FINDINGS;
		goto done;
	}
	rc = ctl_change_put(ctl, revision, edited, expected_revision);
	if (rc == PW_OK)
		*status = CTL_DONE;
	else if (rc != PW_ECONFLICT)
		*status = ctl_report_error(ctl, rc);
done:
	g_free(text);
	g_free(edited);
	return rc;
}

enum ctl_exit ctl_change_apply_edit(struct ctl_context *ctl, struct ctl_edit *e, uint64_t *revision)
{
	enum ctl_exit status = CTL_FAILED;

	for (uint32_t i = 0; i < EDIT_MAX_ATTEMPTS; i++) {
		if (edit_once(ctl, e, revision, &status) != PW_ECONFLICT)
			return status;
	}
	return ctl_report_error(
		ctl, pw_error_set(PW_ECONFLICT,
				  "other operators changed the document in each of %d attempts",
				  EDIT_MAX_ATTEMPTS));
}
