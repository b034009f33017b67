#include "pw/codec/pulse.h"

#include "pulse.pb-c.h"
#include "pw/core/error.h"

/* Maximum number of groups, and of accounts. No pulse of PW_PULSE_MAX_BYTES has room for more. */
#define LIST_ITEMS_MAX 1024

static void group_clear(gpointer data)
{
	g_free(((struct pw_pulse_group *)data)->name);
}

static void account_clear(gpointer data)
{
	g_free(((struct pw_pulse_account *)data)->name);
}

void pw_pulse_init(struct pw_pulse *p)
{
	*p = (struct pw_pulse){ 0 };
	p->groups = g_array_new(FALSE, FALSE, sizeof(struct pw_pulse_group));
	p->accounts = g_array_new(FALSE, FALSE, sizeof(struct pw_pulse_account));
	g_array_set_clear_func(p->groups, group_clear);
	g_array_set_clear_func(p->accounts, account_clear);
}

void pw_pulse_dispose(struct pw_pulse *p)
{
	g_free(p->sender);
	g_free(p->address);
	if (p->groups)
		g_array_unref(p->groups);
	if (p->accounts)
		g_array_unref(p->accounts);
	*p = (struct pw_pulse){ 0 };
}

void pw_pulse_add_group(struct pw_pulse *p, const char *name, uint64_t generation,
			uint32_t unreachable_ms, bool is_reachable)
{
	struct pw_pulse_group g = {
		.name = g_strdup(name),
		.generation = generation,
		.unreachable_ms = unreachable_ms,
		.is_reachable = is_reachable,
	};

	g_array_append_val(p->groups, g);
}

void pw_pulse_add_account(struct pw_pulse *p, const char *name, float demand_per_s)
{
	struct pw_pulse_account a = { .name = g_strdup(name), .demand_per_s = demand_per_s };

	g_array_append_val(p->accounts, a);
}

/* The protobuf-c message and its lists. The strings belong to the struct pw_pulse. */
struct wire_pulse {
	Pw__Pulse message;
	Pw__PulseGroup *groups;
	Pw__PulseGroup **group_pointers;
	Pw__PulseAccount *accounts;
	Pw__PulseAccount **account_pointers;
};

static void wire_pulse_init(struct wire_pulse *w, const struct pw_pulse *p)
{
	w->message = (Pw__Pulse)PW__PULSE__INIT;
	w->message.sender = p->sender;
	w->message.address = p->address;
	w->message.incarnation = p->incarnation;
	w->message.sequence = p->sequence;
	w->message.echo_incarnation = p->echo_incarnation;
	w->message.echo_sequence = p->echo_sequence;
	w->message.echo_heard_us = p->echo_heard_us;
	w->message.permit_left_ms = p->delegated_permit_ms;
	w->message.promise_ms = p->no_change_promise_ms;
	w->message.primaries_revision = p->primaries_revision;
	w->message.confirmed_revision = p->confirmed_revision;
	w->message.settled_revision = p->settled_revision;
	w->message.needs_permit = p->needs_permit;
	w->message.asks = p->wants_reply;
	w->message.leaving = p->leaving;
	w->message.catalog_version = p->catalog_version;
	w->message.catalog_age_ms = p->catalog_age_ms;
	w->message.servers_digest = p->servers_digest;
	w->message.servers_age_ms = p->servers_age_ms;
	w->groups = g_new0(Pw__PulseGroup, MAX(p->groups->len, 1));
	w->group_pointers = g_new0(Pw__PulseGroup *, MAX(p->groups->len, 1));
	w->accounts = g_new0(Pw__PulseAccount, MAX(p->accounts->len, 1));
	w->account_pointers = g_new0(Pw__PulseAccount *, MAX(p->accounts->len, 1));
	for (guint i = 0; i < p->groups->len; i++) {
		const struct pw_pulse_group *g =
			&g_array_index(p->groups, struct pw_pulse_group, i);

		w->groups[i] = (Pw__PulseGroup)PW__PULSE_GROUP__INIT;
		w->groups[i].name = g->name;
		w->groups[i].generation = g->generation;
		w->groups[i].lost_ms = g->unreachable_ms;
		w->groups[i].reached = g->is_reachable;
		w->groups[i].term = g->position.term;
		w->groups[i].lsn = g->position.lsn;
		w->groups[i].at_sent_us = g->statement_sent_us;
		w->group_pointers[i] = &w->groups[i];
	}
	for (guint i = 0; i < p->accounts->len; i++) {
		const struct pw_pulse_account *a =
			&g_array_index(p->accounts, struct pw_pulse_account, i);

		w->accounts[i] = (Pw__PulseAccount)PW__PULSE_ACCOUNT__INIT;
		w->accounts[i].name = a->name;
		w->accounts[i].demand_per_s = a->demand_per_s;
		w->account_pointers[i] = &w->accounts[i];
	}
	w->message.n_groups = p->groups->len;
	w->message.groups = w->group_pointers;
	w->message.n_accounts = p->accounts->len;
	w->message.accounts = w->account_pointers;
}

size_t pw_pulse_encode(uint8_t out[PW_PULSE_MAX_BYTES], const struct pw_pulse *p)
{
	struct wire_pulse w;
	size_t size_bytes;

	wire_pulse_init(&w, p);
	size_bytes = pw__pulse__get_packed_size(&w.message);
	while (size_bytes > PW_PULSE_MAX_BYTES && w.message.n_accounts) {
		w.message.n_accounts--;
		size_bytes = pw__pulse__get_packed_size(&w.message);
	}
	size_bytes = size_bytes > PW_PULSE_MAX_BYTES ? 0 : pw__pulse__pack(&w.message, out);
	g_free(w.groups);
	g_free(w.group_pointers);
	g_free(w.accounts);
	g_free(w.account_pointers);
	return size_bytes;
}

int pw_pulse_decode(struct pw_pulse *out, const uint8_t *data, size_t size_bytes)
{
	Pw__Pulse *m = pw__pulse__unpack(NULL, size_bytes, data);

	*out = (struct pw_pulse){ 0 };
	if (!m || !m->sender[0] || m->n_groups > LIST_ITEMS_MAX || m->n_accounts > LIST_ITEMS_MAX) {
		if (m)
			pw__pulse__free_unpacked(m, NULL);
		return pw_error_set(PW_EINVALID, "the datagram is not a valid pulse");
	}
	pw_pulse_init(out);
	out->sender = g_strdup(m->sender);
	out->address = g_strdup(m->address);
	out->incarnation = m->incarnation;
	out->sequence = m->sequence;
	out->echo_incarnation = m->echo_incarnation;
	out->echo_sequence = m->echo_sequence;
	out->echo_heard_us = m->echo_heard_us;
	out->delegated_permit_ms = m->permit_left_ms;
	out->no_change_promise_ms = m->promise_ms;
	out->primaries_revision = m->primaries_revision;
	out->confirmed_revision = m->confirmed_revision;
	out->settled_revision = m->settled_revision;
	out->needs_permit = m->needs_permit;
	out->wants_reply = m->asks;
	out->leaving = m->leaving;
	out->catalog_version = m->catalog_version;
	out->catalog_age_ms = m->catalog_age_ms;
	out->servers_digest = m->servers_digest;
	out->servers_age_ms = m->servers_age_ms;
	for (size_t i = 0; i < m->n_groups; i++) {
		struct pw_pulse_group *g;

		pw_pulse_add_group(out, m->groups[i]->name, m->groups[i]->generation,
				   m->groups[i]->lost_ms, m->groups[i]->reached);
		g = &g_array_index(out->groups, struct pw_pulse_group, i);
		g->position.term = m->groups[i]->term;
		g->position.lsn = m->groups[i]->lsn;
		g->statement_sent_us = m->groups[i]->at_sent_us;
	}
	for (size_t i = 0; i < m->n_accounts; i++)
		pw_pulse_add_account(out, m->accounts[i]->name, m->accounts[i]->demand_per_s);
	pw__pulse__free_unpacked(m, NULL);
	return PW_OK;
}
