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
	g_free(p->primaries_record);
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

void pw_pulse_add_account(struct pw_pulse *p, const char *name, float demand_per_s,
			  float urgent_demand_per_s)
{
	struct pw_pulse_account a = { .name = g_strdup(name),
				      .demand_per_s = demand_per_s,
				      .urgent_demand_per_s = urgent_demand_per_s };

	g_array_append_val(p->accounts, a);
}

void pw_pulse_set_vote(struct pw_pulse *p, const struct pw_pulse_group *vote)
{
	for (guint i = 0; i < p->groups->len; i++) {
		struct pw_pulse_group *g = &g_array_index(p->groups, struct pw_pulse_group, i);

		if (strcmp(g->name, vote->name) == 0) {
			g->generation = vote->generation;
			g->unreachable_ms = vote->unreachable_ms;
			g->is_reachable = vote->is_reachable;
			g->heard_us = vote->heard_us;
			return;
		}
	}
	pw_pulse_add_group(p, vote->name, vote->generation, vote->unreachable_ms,
			   vote->is_reachable);
	g_array_index(p->groups, struct pw_pulse_group, p->groups->len - 1).heard_us =
		vote->heard_us;
}

void pw_pulse_set_account(struct pw_pulse *p, const char *name, float demand_per_s,
			  float urgent_demand_per_s)
{
	for (guint i = 0; i < p->accounts->len; i++) {
		struct pw_pulse_account *a =
			&g_array_index(p->accounts, struct pw_pulse_account, i);

		if (strcmp(a->name, name) == 0) {
			a->demand_per_s = demand_per_s;
			a->urgent_demand_per_s = urgent_demand_per_s;
			return;
		}
	}
	pw_pulse_add_account(p, name, demand_per_s, urgent_demand_per_s);
}

/* The protobuf-c message and its lists. The strings belong to the struct pw_pulse. */
struct wire_pulse {
	Pw__Pulse message;
	Pw__PulseGroup *groups;
	Pw__PulseGroup **group_pointers;
	Pw__PulseAccount *accounts;
	Pw__PulseAccount **account_pointers;
};

static void wire_pulse_init(struct wire_pulse *wire, const struct pw_pulse *p)
{
	wire->message = (Pw__Pulse)PW__PULSE__INIT;
	wire->message.sender = p->sender;
	wire->message.address = p->address;
	wire->message.incarnation = p->incarnation;
	wire->message.sequence = p->sequence;
	wire->message.echo_incarnation = p->echo_incarnation;
	wire->message.echo_sequence = p->echo_sequence;
	wire->message.echo_heard_us = p->echo_heard_us;
	wire->message.permit_left_ms = p->delegated_permit_ms;
	wire->message.promise_ms = p->no_change_promise_ms;
	wire->message.primaries_revision = p->primaries_revision;
	wire->message.confirmed_revision = p->confirmed_revision;
	wire->message.settled_revision = p->settled_revision;
	wire->message.needs_permit = p->needs_permit;
	wire->message.asks = p->wants_reply;
	wire->message.leaving = p->leaving;
	wire->message.notice = p->notice;
	if (p->primaries_record)
		wire->message.primaries_record = p->primaries_record;
	wire->message.catalog_version = p->catalog_version;
	wire->message.catalog_age_ms = p->catalog_age_ms;
	wire->message.evacuations_digest = p->evacuations_digest;
	wire->message.servers_digest = p->servers_digest;
	wire->message.servers_age_ms = p->servers_age_ms;
	wire->groups = g_new0(Pw__PulseGroup, MAX(p->groups->len, 1));
	wire->group_pointers = g_new0(Pw__PulseGroup *, MAX(p->groups->len, 1));
	wire->accounts = g_new0(Pw__PulseAccount, MAX(p->accounts->len, 1));
	wire->account_pointers = g_new0(Pw__PulseAccount *, MAX(p->accounts->len, 1));
	for (guint i = 0; i < p->groups->len; i++) {
		const struct pw_pulse_group *g =
			&g_array_index(p->groups, struct pw_pulse_group, i);

		wire->groups[i] = (Pw__PulseGroup)PW__PULSE_GROUP__INIT;
		wire->groups[i].name = g->name;
		wire->groups[i].generation = g->generation;
		wire->groups[i].lost_ms = g->unreachable_ms;
		wire->groups[i].reached = g->is_reachable;
		wire->groups[i].term = g->position.term;
		wire->groups[i].lsn = g->position.lsn;
		wire->groups[i].at_sent_us = g->statement_sent_us;
		wire->group_pointers[i] = &wire->groups[i];
	}
	for (guint i = 0; i < p->accounts->len; i++) {
		const struct pw_pulse_account *a =
			&g_array_index(p->accounts, struct pw_pulse_account, i);

		wire->accounts[i] = (Pw__PulseAccount)PW__PULSE_ACCOUNT__INIT;
		wire->accounts[i].name = a->name;
		wire->accounts[i].demand_per_s = a->demand_per_s;
		wire->accounts[i].urgent_demand_per_s = a->urgent_demand_per_s;
		wire->account_pointers[i] = &wire->accounts[i];
	}
	wire->message.n_groups = p->groups->len;
	wire->message.groups = wire->group_pointers;
	wire->message.n_accounts = p->accounts->len;
	wire->message.accounts = wire->account_pointers;
}

size_t pw_pulse_encode(uint8_t out[PW_PULSE_RECORD_MAX_BYTES], const struct pw_pulse *p)
{
	size_t max_bytes = p->primaries_record ? PW_PULSE_RECORD_MAX_BYTES : PW_PULSE_MAX_BYTES;
	struct wire_pulse wire;
	size_t size_bytes;

	wire_pulse_init(&wire, p);
	size_bytes = pw__pulse__get_packed_size(&wire.message);
	while (size_bytes > max_bytes && wire.message.n_accounts) {
		wire.message.n_accounts--;
		size_bytes = pw__pulse__get_packed_size(&wire.message);
	}
	size_bytes = size_bytes > max_bytes ? 0 : pw__pulse__pack(&wire.message, out);
	g_free(wire.groups);
	g_free(wire.group_pointers);
	g_free(wire.accounts);
	g_free(wire.account_pointers);
	return size_bytes;
}

int pw_pulse_decode(struct pw_pulse *out, const uint8_t *data, size_t size_bytes)
{
	Pw__Pulse *message = pw__pulse__unpack(NULL, size_bytes, data);

	*out = (struct pw_pulse){ 0 };
	if (!message || !message->sender[0] || message->n_groups > LIST_ITEMS_MAX ||
	    message->n_accounts > LIST_ITEMS_MAX) {
		if (message)
			pw__pulse__free_unpacked(message, NULL);
		return pw_error_set(PW_EINVALID, "the datagram is not a valid pulse");
	}
	pw_pulse_init(out);
	out->sender = g_strdup(message->sender);
	out->address = g_strdup(message->address);
	out->incarnation = message->incarnation;
	out->sequence = message->sequence;
	out->echo_incarnation = message->echo_incarnation;
	out->echo_sequence = message->echo_sequence;
	out->echo_heard_us = message->echo_heard_us;
	out->delegated_permit_ms = message->permit_left_ms;
	out->no_change_promise_ms = message->promise_ms;
	out->primaries_revision = message->primaries_revision;
	out->confirmed_revision = message->confirmed_revision;
	out->settled_revision = message->settled_revision;
	out->needs_permit = message->needs_permit;
	out->wants_reply = message->asks;
	out->leaving = message->leaving;
	out->notice = message->notice;
	if (message->primaries_record[0])
		out->primaries_record = g_strdup(message->primaries_record);
	out->catalog_version = message->catalog_version;
	out->catalog_age_ms = message->catalog_age_ms;
	out->evacuations_digest = message->evacuations_digest;
	out->servers_digest = message->servers_digest;
	out->servers_age_ms = message->servers_age_ms;
	for (size_t i = 0; i < message->n_groups; i++) {
		struct pw_pulse_group *g;

		pw_pulse_add_group(out, message->groups[i]->name, message->groups[i]->generation,
				   message->groups[i]->lost_ms, message->groups[i]->reached);
		g = &g_array_index(out->groups, struct pw_pulse_group, i);
		g->position.term = message->groups[i]->term;
		g->position.lsn = message->groups[i]->lsn;
		g->statement_sent_us = message->groups[i]->at_sent_us;
	}
	for (size_t i = 0; i < message->n_accounts; i++)
		pw_pulse_add_account(out, message->accounts[i]->name,
				     message->accounts[i]->demand_per_s,
				     message->accounts[i]->urgent_demand_per_s);
	pw__pulse__free_unpacked(message, NULL);
	return PW_OK;
}
