#include "ledger.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "../control/admin.h"
#include "../control/peers.h"
#include "../directory.h"
#include "pw/core/counter.h"
#include "pw/core/error.h"
#include "pw/decide/bucket.h"
#include "pw/decide/quota.h"
#include "request.h"

#define LEDGER_TICK_INTERVAL_US UINT64_C(5000)
/* Interval at which the hints for the heartbeats to other VMs are renewed. */
#define HINT_INTERVAL_US UINT64_C(50000)
/* Interval of the reports of all holdings to the admin task. */
#define STATUS_INTERVAL_US UINT64_C(500000)
/*
 * A request for a unit that has waited for this time is rejected. The group task then requests the
 * unit again if it is still needed.
 */
#define UNIT_REQUEST_TIMEOUT_US UINT64_C(1000000)
/* Distinguishes the ids of requests for units from those of callers' requests. */
#define UNIT_REQUEST_ID_FLAG (UINT64_C(1) << 63)

struct ledger {
	struct pw_task task;
	const struct pw_directory *directory;
	const struct pw_document *document; /**< NULL until the first snapshot */
	struct pw_quota *quota;             /**< NULL until the first epoch */
	uint64_t incarnation;         /**< of this VM's membership that `quota` was created for */
	uint32_t member_count;        /**< of the epoch in effect */
	GHashTable *admissions;       /**< request id -> struct admission that waits for tokens */
	GHashTable *unit_requests;    /**< id -> struct unit_request that waits for a unit */
	GArray *actions;              /**< struct pw_quota_action to be carried out */
	struct pw_bucket open_bucket; /**< rate of requests without an account */
	struct pw_timer tick_timer;
	uint64_t next_unit_request_id;
	uint64_t hints_due_us;
	uint64_t status_due_us;
	uint64_t lease_until_us; /**< end of the quorum lease; 0: not held */
	bool leaving;            /**< planned stop: all free holdings are granted to other VMs */
};

/* A request that waits for tokens of its account's rate. */
struct admission {
	struct pw_request *request;
	uint32_t missing_tokens; /**< tokens that it still needs */
};

/* A group task's request for one unit, which waits in the quota's queue. */
struct unit_request {
	uint64_t id;
	struct pw_mailbox *group;
	char *server;
	enum pw_units_kind kind;
};

static void units_msg_destroy(struct pw_msg *m)
{
	g_free(((struct pw_units_msg *)m)->server);
	g_free(m);
}

const struct pw_msg_ops pw_units_msg_ops = { .name = "units", .destroy = units_msg_destroy };

struct pw_msg *pw_units_msg_new(enum pw_units_msg_type type, struct pw_mailbox *group,
				const char *server, enum pw_units_kind kind, uint32_t count)
{
	struct pw_units_msg *m = g_new0(struct pw_units_msg, 1);

	m->base.ops = &pw_units_msg_ops;
	m->type = type;
	m->group = group;
	m->server = g_strdup(server);
	m->kind = kind;
	m->count = count;
	return &m->base;
}

static void unit_request_free(gpointer data)
{
	struct unit_request *u = data;

	g_free(u->server);
	g_free(u);
}

static void admission_free(gpointer data)
{
	struct admission *a = data;

	if (a->request)
		pw_msg_free(&a->request->base);
	g_free(a);
}

static void format_rate_id(char out[PW_QUOTA_ID_SIZE], const char *account)
{
	g_snprintf(out, PW_QUOTA_ID_SIZE, "rate/%s", account);
}

static void format_units_id(char out[PW_QUOTA_ID_SIZE], enum pw_units_kind kind, const char *server)
{
	g_snprintf(out, PW_QUOTA_ID_SIZE, "%s/%s",
		   kind == PW_UNITS_CONNECTIONS ? "connection" : "slot", server);
}

static uint64_t ledger_now_us(const struct ledger *l)
{
	return pw_loop_now_us(l->task.loop);
}

static void forward_to_group(struct ledger *l, struct pw_request *r)
{
	pw_mailbox_send(pw_directory_group_inbox(l->directory, r->database->name), &r->base);
}

static void refuse_request_with(struct pw_request *r, const char *sqlstate, enum pw_counter counter,
				const char *text)
{
	struct pw_response_end *e = pw_response_end_new_refused(r, sqlstate, counter, "%s", text);

	pw_mailbox_send(r->reply_to, &e->base);
	pw_msg_free(&r->base);
}

static void refuse_request(struct pw_request *r, const char *text)
{
	refuse_request_with(r, PW_SQLSTATE_RATE_EXCEEDED, PW_COUNTER_REFUSED_RATE, text);
}

/*
 * Acquires the missing tokens, until the request has to wait for one. Frees the admission once the
 * request has all tokens and was sent on, or was refused.
 */
static void acquire_tokens(struct ledger *l, struct admission *a)
{
	struct pw_request *r = a->request;
	char id[PW_QUOTA_ID_SIZE];

	format_rate_id(id, r->account->name);
	while (a->missing_tokens) {
		switch (pw_quota_acquire_token(l->quota, id, r->id, ledger_now_us(l), l->actions)) {
		case PW_QUOTA_ADMITTED:
			a->missing_tokens--;
			break;
		case PW_QUOTA_QUEUED:
			return;
		case PW_QUOTA_REFUSED:
			a->request = NULL;
			g_hash_table_remove(l->admissions, &r->id);
			refuse_request(r, "the client account is over its rate");
			return;
		}
	}
	a->request = NULL;
	g_hash_table_remove(l->admissions, &r->id);
	forward_to_group(l, r);
}

static void run_actions(struct ledger *l);

static void admit_keyed(struct ledger *l, struct pw_request *r)
{
	struct admission *a;

	if (!l->quota) {
		refuse_request(r, "the proxy is not yet a member of the fleet");
		return;
	}
	a = g_new(struct admission, 1);
	*a = (struct admission){ .request = r, .missing_tokens = r->statement_count };
	g_hash_table_insert(l->admissions, &r->id, a);
	acquire_tokens(l, a);
	run_actions(l);
}

static void admit_request(struct ledger *l, struct pw_request *r)
{
	if (r->statement_count && r->account)
		admit_keyed(l, r);
	else if (!r->statement_count ||
		 pw_bucket_take(&l->open_bucket, r->statement_count, ledger_now_us(l)))
		forward_to_group(l, r);
	else
		refuse_request(r, "the routes open to all are over their rate");
}

static void lend_unit(const struct unit_request *u)
{
	pw_mailbox_send(u->group, pw_units_msg_new(PW_UNITS_LEND, u->group, u->server, u->kind, 1));
}

static void request_unit(struct ledger *l, const struct pw_units_msg *m)
{
	struct unit_request *u = g_new0(struct unit_request, 1);
	char id[PW_QUOTA_ID_SIZE];

	format_units_id(id, m->kind, m->server);
	u->id = UNIT_REQUEST_ID_FLAG | l->next_unit_request_id++;
	u->group = m->group;
	u->server = g_strdup(m->server);
	u->kind = m->kind;
	switch (pw_quota_acquire_unit(l->quota, id, u->id,
				      ledger_now_us(l) + UNIT_REQUEST_TIMEOUT_US, ledger_now_us(l),
				      l->actions)) {
	case PW_QUOTA_ADMITTED:
		lend_unit(u);
		unit_request_free(u);
		break;
	case PW_QUOTA_QUEUED:
		g_hash_table_insert(l->unit_requests, &u->id, u);
		break;
	case PW_QUOTA_REFUSED:
		pw_mailbox_send(u->group,
				pw_units_msg_new(PW_UNITS_REJECT, u->group, u->server, u->kind, 1));
		unit_request_free(u);
		break;
	}
}

static void handle_units(struct ledger *l, const struct pw_units_msg *m)
{
	char id[PW_QUOTA_ID_SIZE];

	if (!l->quota)
		return;
	format_units_id(id, m->kind, m->server);
	switch (m->type) {
	case PW_UNITS_REQUEST:
		for (uint32_t i = 0; i < m->count; i++)
			request_unit(l, m);
		break;
	case PW_UNITS_RETURN:
		pw_quota_release_units(l->quota, id, m->count, ledger_now_us(l), l->actions);
		break;
	default:
		break;
	}
	run_actions(l);
}

/* Recalls units. Each group task is asked for the whole count, since some may hold no units. */
static void recall_units(struct ledger *l, const struct pw_quota_action *action)
{
	const char *slash = strchr(action->id, '/');
	enum pw_units_kind kind =
		g_str_has_prefix(action->id, "connection/") ? PW_UNITS_CONNECTIONS : PW_UNITS_SLOTS;

	for (uint32_t i = 0; slash && i < l->directory->group_count; i++) {
		struct pw_mailbox *group = l->directory->groups[i];

		pw_mailbox_send(group, pw_units_msg_new(PW_UNITS_RECALL, group, slash + 1, kind,
							action->units));
	}
}

static void send_quota_message(struct ledger *l, const struct pw_quota_action *action)
{
	struct pw_quota_msg *m = pw_quota_msg_new();

	g_strlcpy(m->peer, action->peer, sizeof(m->peer));
	switch (action->kind) {
	case PW_QUOTA_SEND_ASK:
		m->kind = PW_QUOTA_MESSAGE_ASK;
		m->ask = action->ask;
		break;
	case PW_QUOTA_SEND_GRANT:
		m->kind = PW_QUOTA_MESSAGE_GRANT;
		m->grant = action->grant;
		pw_counter_inc(PW_COUNTER_QUOTA_GRANTS_SENT);
		break;
	default:
		m->kind = PW_QUOTA_MESSAGE_ACK;
		m->ack = action->ack;
		break;
	}
	pw_mailbox_send(l->directory->peers, &m->base);
}

/* Carries out the quota's decision about a queued request for a token or a unit. */
static void handle_queue_decision(struct ledger *l, const struct pw_quota_action *action)
{
	struct admission *admission = g_hash_table_lookup(l->admissions, &action->request);
	struct unit_request *u = g_hash_table_lookup(l->unit_requests, &action->request);

	if (u) {
		if (action->kind == PW_QUOTA_ADMIT)
			lend_unit(u);
		else
			pw_mailbox_send(u->group, pw_units_msg_new(PW_UNITS_REJECT, u->group,
								   u->server, u->kind, 1));
		g_hash_table_remove(l->unit_requests, &action->request);
	} else if (admission && action->kind == PW_QUOTA_ADMIT) {
		admission->missing_tokens--;
		acquire_tokens(l, admission);
	} else if (admission) {
		struct pw_request *r = admission->request;

		admission->request = NULL;
		g_hash_table_remove(l->admissions, &action->request);
		refuse_request(r, "the client account is over its rate");
	}
}

static void run_actions(struct ledger *l)
{
	/* Carrying out an action may append further ones. */
	for (guint i = 0; i < l->actions->len; i++) {
		struct pw_quota_action action =
			g_array_index(l->actions, struct pw_quota_action, i);

		switch (action.kind) {
		case PW_QUOTA_ADMIT:
		case PW_QUOTA_REFUSE:
			handle_queue_decision(l, &action);
			break;
		case PW_QUOTA_SEND_ASK:
		case PW_QUOTA_SEND_GRANT:
		case PW_QUOTA_SEND_ACK:
			send_quota_message(l, &action);
			break;
		case PW_QUOTA_RECALL:
			recall_units(l, &action);
			break;
		}
	}
	g_array_set_size(l->actions, 0);
}

/* Returns the limit of data connections: the server's limit less one control connection per VM. */
static uint32_t data_connection_limit(const struct ledger *l,
				      const struct pw_document_server *server)
{
	return server->connections > l->member_count ? server->connections - l->member_count : 1;
}

static void add_unit_spec(const struct ledger *l, GArray *specs,
			  const struct pw_document_server *server, enum pw_units_kind kind)
{
	struct pw_quota_spec spec = {
		.kind = PW_QUOTA_UNITS,
		.units = kind == PW_UNITS_CONNECTIONS ? data_connection_limit(l, server)
						      : server->slots,
	};

	format_units_id(spec.id, kind, server->address);
	g_array_append_val(specs, spec);
}

static void configure_quota(struct ledger *l)
{
	const struct pw_document *d = l->document;
	GArray *specs;

	if (!d || !l->quota)
		return;
	specs = g_array_new(FALSE, TRUE, sizeof(struct pw_quota_spec));
	for (uint32_t i = 0; i < d->account_count; i++) {
		struct pw_quota_spec spec = {
			.kind = PW_QUOTA_RATE,
			.rate_per_s = d->accounts[i].rate_per_s,
			.burst_tokens = d->accounts[i].burst,
		};

		format_rate_id(spec.id, d->accounts[i].name);
		g_array_append_val(specs, spec);
	}
	for (uint32_t i = 0; i < d->database_count; i++) {
		for (uint32_t k = 0; k < d->databases[i].server_count; k++) {
			add_unit_spec(l, specs, &d->databases[i].servers[k], PW_UNITS_CONNECTIONS);
			add_unit_spec(l, specs, &d->databases[i].servers[k], PW_UNITS_SLOTS);
		}
	}
	pw_quota_configure(l->quota, (const struct pw_quota_spec *)(void *)specs->data, specs->len,
			   ledger_now_us(l), l->actions);
	g_array_unref(specs);
	run_actions(l);
}

static void apply_snapshot(struct ledger *l, const struct pw_document *d)
{
	if (l->document)
		pw_bucket_configure(&l->open_bucket, d->limits.open_rate_per_s,
				    d->limits.open_burst, ledger_now_us(l));
	else
		pw_bucket_init(&l->open_bucket, d->limits.open_rate_per_s, d->limits.open_burst,
			       ledger_now_us(l));
	pw_document_unref(l->document);
	l->document = pw_document_ref(d);
	configure_quota(l);
}

static void refuse_waiting_requests(struct ledger *l)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, l->admissions);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct admission *a = value;
		struct pw_request *r = a->request;

		a->request = NULL;
		g_hash_table_iter_remove(&it);
		refuse_request(r, "the proxy has to join the fleet again");
	}
}

/* Starts with empty holdings, and revokes all units that were lent to the group tasks. */
static void start_quota(struct ledger *l, uint64_t incarnation)
{
	struct pw_quota_options o = PW_QUOTA_OPTIONS_INIT;

	refuse_waiting_requests(l);
	g_hash_table_remove_all(l->unit_requests);
	pw_quota_free(l->quota);
	l->quota = NULL;
	g_strlcpy(o.name, l->directory->settings->vm_name, sizeof(o.name));
	o.incarnation = incarnation;
	if (pw_quota_new(&l->quota, &o)) {
		pw_task_fail(&l->task, PW_EINVALID);
		return;
	}
	l->incarnation = incarnation;
	for (uint32_t i = 0; i < l->directory->group_count; i++)
		pw_mailbox_send(l->directory->groups[i],
				pw_units_msg_new(PW_UNITS_REVOKE, l->directory->groups[i], NULL,
						 PW_UNITS_SLOTS, 0));
	configure_quota(l);
}

static void handle_epoch(struct ledger *l, const struct pw_epoch_msg *m)
{
	if (!l->quota || m->incarnation != l->incarnation)
		start_quota(l, m->incarnation);
	if (!l->quota)
		return;
	if (l->member_count != m->table.members->len) {
		l->member_count = m->table.members->len;
		configure_quota(l);
	}
	pw_quota_begin_epoch(l->quota, &m->table, ledger_now_us(l), l->actions);
	pw_quota_set_lease_end(l->quota, m->lease_until_us);
	run_actions(l);
}

static void handle_quota_message(struct ledger *l, const struct pw_quota_msg *m)
{
	switch (m->kind) {
	case PW_QUOTA_MESSAGE_ASK:
		pw_quota_ask_received(l->quota, &m->ask, ledger_now_us(l), l->actions);
		break;
	case PW_QUOTA_MESSAGE_GRANT:
		pw_counter_inc(PW_COUNTER_QUOTA_GRANTS_RECEIVED);
		pw_quota_grant_received(l->quota, &m->grant, ledger_now_us(l), l->actions);
		break;
	case PW_QUOTA_MESSAGE_ACK:
		pw_quota_ack_received(l->quota, &m->ack);
		break;
	}
	run_actions(l);
}

static void handle_lease(struct ledger *l, const struct pw_lease_msg *m)
{
	struct pw_lease_released_msg *released;

	if (l->quota) {
		l->lease_until_us = m->lease_until_us;
		pw_quota_set_lease_end(l->quota, l->lease_until_us);
	}
	if (!m->released_epoch)
		return;
	released = pw_lease_released_msg_new();
	released->epoch = m->released_epoch;
	pw_mailbox_send(l->directory->peers, &released->base);
}

/* Refuses a request that waits for tokens; passes the message on to the group task otherwise. */
static void stop_request(struct ledger *l, struct pw_request_stop *m)
{
	struct admission *a = g_hash_table_lookup(l->admissions, &m->request_id);
	struct pw_request *r;

	if (!a) {
		pw_mailbox_send(m->group, &m->base);
		return;
	}
	r = a->request;
	a->request = NULL;
	g_hash_table_remove(l->admissions, &m->request_id);
	refuse_request_with(r, PW_SQLSTATE_SHUTDOWN, PW_COUNTER_REFUSED_DRAINING,
			    "the proxy is stopping");
	pw_msg_free(&m->base);
}

/* Finds the request of a session that waits for tokens; NULL if there is none. */
static const struct pw_request *find_waiting_request(const struct ledger *l, uint64_t session_id)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, l->admissions);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct admission *a = value;

		if (a->request->session_id == session_id)
			return a->request;
	}
	return NULL;
}

/* Drops the session's request if it waits for tokens; passes the message on to the group task. */
static void end_session(struct ledger *l, struct pw_session_end *m)
{
	const struct pw_request *r = find_waiting_request(l, m->session_id);
	char id[PW_QUOTA_ID_SIZE];

	if (r) {
		format_rate_id(id, r->account->name);
		pw_quota_cancel_request(l->quota, id, r->id);
		g_hash_table_remove(l->admissions, &r->id);
	}
	pw_mailbox_send(m->group, &m->base);
}

static void ledger_receive(struct pw_task *t, struct pw_msg *m)
{
	struct ledger *l = (struct ledger *)t;

	if (m->ops == &pw_request_ops) {
		admit_request(l, (struct pw_request *)m); /* takes ownership */
		return;
	}
	if (m->ops == &pw_request_stop_ops) {
		stop_request(l, (struct pw_request_stop *)m); /* takes ownership */
		return;
	}
	if (m->ops == &pw_session_end_ops) {
		end_session(l, (struct pw_session_end *)m); /* takes ownership */
		return;
	}
	if (m->ops == &pw_units_msg_ops) {
		handle_units(l, (struct pw_units_msg *)m);
	} else if (m->ops == &pw_snapshot_ops) {
		apply_snapshot(l, ((struct pw_snapshot *)m)->document);
	} else if (m->ops == &pw_epoch_msg_ops) {
		handle_epoch(l, (struct pw_epoch_msg *)m);
	} else if (m->ops == &pw_lease_msg_ops) {
		handle_lease(l, (struct pw_lease_msg *)m);
	} else if (m->ops == &pw_drain_ops) {
		l->leaving = true;
	} else if (m->ops == &pw_quota_msg_ops && l->quota) {
		handle_quota_message(l, (struct pw_quota_msg *)m);
	} else if (m->ops == &pw_quota_hint_msg_ops && l->quota) {
		const struct pw_quota_hint_msg *h = (const struct pw_quota_hint_msg *)m;

		pw_quota_hint_received(l->quota, h->peer, h->incarnation, &h->hint,
				       ledger_now_us(l), l->actions);
		run_actions(l);
	}
	pw_msg_free(m);
}

static void send_hints(struct ledger *l)
{
	struct pw_quota_hints_msg *m = pw_quota_hints_msg_new();

	pw_quota_append_hints(l->quota, ledger_now_us(l), m->hints);
	pw_mailbox_send(l->directory->peers, &m->base);
}

static void append_status(struct ledger *l, GString *json, const char *id)
{
	struct pw_quota_status status;

	if (pw_quota_get_status(l->quota, id, &status))
		return;
	g_string_append_printf(
		json,
		"%s\"%s\":{\"share\":%.4f,\"tokens\":%.1f,\"units\":%" PRId64
		",\"in_use\":%u,\"waiting\":%u}",
		json->len > 1 ? "," : "", id, (double)status.share / PW_QUOTA_WHOLE_SHARE,
		(double)status.level_microtokens / (double)PW_QUOTA_MICROTOKENS_PER_TOKEN,
		status.held_units, status.in_use, status.waiting);
}

static void send_status(struct ledger *l)
{
	const struct pw_document *d = l->document;
	GString *json = g_string_new("{");
	char id[PW_QUOTA_ID_SIZE];

	for (uint32_t i = 0; i < d->account_count; i++) {
		format_rate_id(id, d->accounts[i].name);
		append_status(l, json, id);
	}
	for (uint32_t i = 0; i < d->database_count; i++) {
		for (uint32_t k = 0; k < d->databases[i].server_count; k++) {
			format_units_id(id, PW_UNITS_CONNECTIONS,
					d->databases[i].servers[k].address);
			append_status(l, json, id);
			format_units_id(id, PW_UNITS_SLOTS, d->databases[i].servers[k].address);
			append_status(l, json, id);
		}
	}
	g_string_append_c(json, '}');
	pw_mailbox_send(l->directory->admin,
			pw_admin_status_msg("quota", g_string_free(json, FALSE)));
}

static void ledger_tick(struct pw_timer *timer, uint64_t now_us)
{
	struct ledger *l = (struct ledger *)((char *)timer - offsetof(struct ledger, tick_timer));

	if (l->quota) {
		pw_quota_tick(l->quota, now_us, l->actions);
		if (l->leaving)
			pw_quota_grant_all_free(l->quota, now_us, l->actions);
		run_actions(l);
	}
	if (l->quota && now_us >= l->hints_due_us) {
		send_hints(l);
		l->hints_due_us = now_us + HINT_INTERVAL_US;
	}
	if (l->quota && l->document && now_us >= l->status_due_us) {
		send_status(l);
		l->status_due_us = now_us + STATUS_INTERVAL_US;
	}
	pw_loop_timer_set(l->task.loop, timer, now_us + LEDGER_TICK_INTERVAL_US);
}

static const struct pw_timer_ops tick_ops = { .expire = ledger_tick };

static int ledger_start(struct pw_task *t)
{
	struct ledger *l = (struct ledger *)t;

	l->directory = ((const struct pw_task_args *)t->args)->directory;
	l->admissions = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, admission_free);
	l->unit_requests =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, unit_request_free);
	l->actions = g_array_new(FALSE, TRUE, sizeof(struct pw_quota_action));
	l->tick_timer.ops = &tick_ops;
	pw_loop_timer_set(t->loop, &l->tick_timer, ledger_now_us(l) + LEDGER_TICK_INTERVAL_US);
	/* The holdings of a former run of this task are void, so the VM has to join again. */
	pw_mailbox_send(l->directory->peers, pw_ledger_started_msg());
	pw_mailbox_send(l->directory->config, pw_snapshot_request_msg(t->inbox));
	return PW_OK;
}

static void ledger_stop(struct pw_task *t)
{
	struct ledger *l = (struct ledger *)t;

	pw_loop_timer_clear(t->loop, &l->tick_timer);
	refuse_waiting_requests(l);
	g_hash_table_unref(l->admissions);
	g_hash_table_unref(l->unit_requests);
	g_array_unref(l->actions);
	pw_quota_free(l->quota);
	pw_document_unref(l->document);
}

const struct pw_task_ops pw_ledger_ops = {
	.name = "ledger",
	.size_bytes = sizeof(struct ledger),
	.start = ledger_start,
	.receive = ledger_receive,
	.stop = ledger_stop,
};
