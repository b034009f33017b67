#include "pw/decide/confirm.h"

#include "pw/core/error.h"

struct pending_write {
	struct pw_confirm_write write;
	uint32_t confirmed_by; /**< bit set of the servers that have confirmed it */
};

struct pw_confirm {
	struct pw_confirm_options options;
	GArray *pending; /**< struct pending_write in the order of arrival */
	uint64_t probe_due_us;
};

int pw_confirm_new(struct pw_confirm **out, const struct pw_confirm_options *o)
{
	struct pw_confirm *c;

	if (o->version != PW_CONFIRM_OPTIONS_VERSION || !o->server_count ||
	    o->server_count > PW_GROUP_SERVERS_MAX)
		return pw_error_set(PW_EINVALID,
				    "confirm options are not valid: %u servers, version %u",
				    o->server_count, o->version);
	c = g_new0(struct pw_confirm, 1);
	c->options = *o;
	c->pending = g_array_new(FALSE, FALSE, sizeof(struct pending_write));
	*out = c;
	return PW_OK;
}

void pw_confirm_free(struct pw_confirm *c)
{
	if (!c)
		return;
	g_array_free(c->pending, TRUE);
	g_free(c);
}

static void append_action(GArray *out, enum pw_confirm_action_kind kind, uint64_t id,
			  bool term_replaced)
{
	struct pw_confirm_action a = { .kind = kind, .id = id, .term_replaced = term_replaced };

	g_array_append_val(out, a);
}

static bool is_expired(const struct pw_confirm *c, const struct pending_write *w, uint64_t now_us)
{
	return now_us >= w->write.answered_us + c->options.timeout_us;
}

/*
 * Ends the writes that have timed out. This runs before a status is counted: answers that waited in
 * the sockets during a pause of this process must not confirm a write that has timed out.
 */
static void expire_writes(struct pw_confirm *c, uint64_t now_us, GArray *out)
{
	guint i = 0;

	while (i < c->pending->len) {
		const struct pending_write *w = &g_array_index(c->pending, struct pending_write, i);

		if (!is_expired(c, w, now_us)) {
			i++;
			continue;
		}
		append_action(out, PW_CONFIRM_OUTCOME_UNKNOWN, w->write.id, false);
		g_array_remove_index(c->pending, i);
	}
}

static bool is_confirmed(const struct pw_confirm *c, const struct pending_write *w)
{
	return c->options.unsafe_no_confirmation ||
	       pw_is_majority((uint32_t)__builtin_popcount(w->confirmed_by),
			      c->options.server_count);
}

void pw_confirm_add_write(struct pw_confirm *c, const struct pw_confirm_write *w, uint64_t now_us,
			  GArray *out)
{
	struct pending_write pending = { .write = *w };

	if (c->options.unsafe_count_own_read)
		pending.confirmed_by = UINT32_C(1) << w->server;
	if (is_confirmed(c, &pending)) {
		append_action(out, PW_CONFIRM_ACKNOWLEDGE, w->id, false);
		return;
	}
	g_array_append_val(c->pending, pending);
	c->probe_due_us = now_us + c->options.probe_interval_us;
	append_action(out, PW_CONFIRM_PROBE, 0, false);
}

/* Returns whether a status that answers a probe sent at `sent_us` confirms a write. */
static bool confirms_write(const struct pw_confirm_write *w, const struct pw_server_status *s,
			   uint64_t sent_us)
{
	if (s->term != w->position.term || sent_us < w->answered_us)
		return false;
	return !w->needs_replication ||
	       (s->log_term == w->position.term && s->lsn >= w->position.lsn);
}

void pw_confirm_handle_term(struct pw_confirm *c, uint64_t term, GArray *out)
{
	guint i = 0;

	while (i < c->pending->len) {
		const struct pending_write *w = &g_array_index(c->pending, struct pending_write, i);

		if (w->write.position.term >= term) {
			i++;
			continue;
		}
		append_action(out, PW_CONFIRM_OUTCOME_UNKNOWN, w->write.id, true);
		g_array_remove_index(c->pending, i);
	}
}

void pw_confirm_handle_status(struct pw_confirm *c, uint32_t server,
			      const struct pw_server_status *s, uint64_t sent_us, uint64_t now_us,
			      GArray *out)
{
	guint i = 0;

	expire_writes(c, now_us, out);
	pw_confirm_handle_term(c, s->term, out);
	while (i < c->pending->len) {
		struct pending_write *w = &g_array_index(c->pending, struct pending_write, i);

		if (confirms_write(&w->write, s, sent_us))
			w->confirmed_by |= UINT32_C(1) << server;
		if (!is_confirmed(c, w)) {
			i++;
			continue;
		}
		append_action(out, PW_CONFIRM_ACKNOWLEDGE, w->write.id, false);
		g_array_remove_index(c->pending, i);
	}
}

void pw_confirm_tick(struct pw_confirm *c, uint64_t now_us, GArray *out)
{
	expire_writes(c, now_us, out);
	if (!c->pending->len || now_us < c->probe_due_us)
		return;
	c->probe_due_us = now_us + c->options.probe_interval_us;
	append_action(out, PW_CONFIRM_PROBE, 0, false);
}

uint64_t pw_confirm_next_tick_us(const struct pw_confirm *c)
{
	uint64_t due_us = c->pending->len ? c->probe_due_us : UINT64_MAX;

	for (guint i = 0; i < c->pending->len; i++) {
		const struct pending_write *w = &g_array_index(c->pending, struct pending_write, i);

		due_us = MIN(due_us, w->write.answered_us + c->options.timeout_us);
	}
	return due_us;
}
