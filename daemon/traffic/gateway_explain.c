/* Explains which server would get a statement now. Decides as for callers, and sends nothing. */
#include "gateway_private.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "explain.h"
#include "pw/core/error.h"

/* A kind of statement as operators name it. */
struct explained_kind {
	const char *name;
	enum pw_verb verb;
	bool begins;
	bool read_only;
};

static const struct explained_kind kinds[] = {
	{ "read", PW_VERB_READ, false, false },
	{ "write", PW_VERB_WRITE, false, false },
	{ "begin", PW_VERB_READ, true, false },
	{ "begin-read", PW_VERB_READ, true, true },
};

static const char *const distance_names[] = {
	[PW_DISTANCE_SAME_ZONE] = "zone",
	[PW_DISTANCE_SAME_REGION] = "region",
	[PW_DISTANCE_OTHER_REGION] = "other region",
};

static void explain_msg_destroy(struct pw_msg *m)
{
	struct pw_explain_query *q = &((struct pw_explain_msg *)m)->query;

	g_free((gpointer)(uintptr_t)q->account);
	g_free((gpointer)(uintptr_t)q->database);
	g_free((gpointer)(uintptr_t)q->kind);
	g_free(m);
}

const struct pw_msg_ops pw_explain_msg_ops = { .name = "explain", .destroy = explain_msg_destroy };

static void explained_msg_destroy(struct pw_msg *m)
{
	g_free(((struct pw_explained_msg *)m)->text);
	g_free(m);
}

const struct pw_msg_ops pw_explained_msg_ops = {
	.name = "explained",
	.destroy = explained_msg_destroy,
};

struct pw_msg *pw_explain_msg_new(struct pw_mailbox *reply_to, uint64_t tag,
				  const struct pw_explain_query *query)
{
	struct pw_explain_msg *m = g_new0(struct pw_explain_msg, 1);

	m->base.ops = &pw_explain_msg_ops;
	m->reply_to = reply_to;
	m->tag = tag;
	m->query = *query;
	m->query.account = g_strdup(query->account);
	m->query.database = g_strdup(query->database);
	m->query.kind = g_strdup(query->kind);
	return &m->base;
}

static const struct explained_kind *find_kind(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (strcmp(kinds[i].name, name) == 0)
			return &kinds[i];
	}
	return NULL;
}

static const char *connection_name(const struct pw_place_candidate *c)
{
	if (c->has_idle_connection)
		return "idle";
	return c->can_open_connection ? "new" : "none";
}

static json_t *describe_server(const struct work *w, const struct server *s)
{
	struct server_view v;

	gw_group_view_server(&v, w, s);
	return json_pack("{s:s,s:b,s:b,s:b,s:i,s:I,s:i,s:s,s:s,s:s}", "server", s->id, "primary",
			 v.candidate.is_primary, "usable", v.candidate.is_usable, "caught_up",
			 v.candidate.caught_up, "in_flight", (int)v.candidate.in_flight,
			 "expected_us", (json_int_t)v.candidate.expected_us, "failure_permille",
			 (int)v.candidate.failure_permille, "distance",
			 distance_names[v.candidate.distance], "connection",
			 connection_name(&v.candidate), "blocked", v.blocking_reason);
}

/* Says why the statement gets its server, or what happens to it without one. */
static char *describe_outcome(const struct work *w, const struct server *chosen)
{
	const struct gateway *g = w->group->gateway;

	if (pw_drain_has_started(&g->drain))
		return g_strdup("refused: the proxy is stopping");
	if (chosen && w->needs_primary)
		return g_strdup("sent to the primary, which it needs");
	if (chosen)
		return g_strdup("sent to the cheapest server that can take it");
	if (gw_group_has_evacuated_all(w))
		return g_strdup("refused: the servers' zones are evacuated");
	if (gw_work_cannot_start_in_time(w))
		return g_strdup_printf("refused: no server is expected to take it in time (%s)",
				       gw_group_blocking_reason(w));
	return g_strdup_printf("waits for up to %" PRIu64 " ms (%s)",
			       (w->wait_deadline_us - w->arrived_us) / PW_US_PER_MS,
			       gw_group_blocking_reason(w));
}

static char *describe_work(const struct work *w, const struct pw_explain_query *q)
{
	const struct group *group = w->group;
	const struct server *chosen = gw_group_find_server(w, NULL);
	char *outcome = describe_outcome(w, chosen), *text;
	json_t *servers = json_array(), *root;
	struct server_view v = { 0 };

	for (guint i = 0; i < group->servers->len; i++)
		json_array_append_new(servers,
				      describe_server(w, g_ptr_array_index(group->servers, i)));
	if (chosen)
		gw_group_view_server(&v, w, chosen);
	root = json_pack("{s:s,s:s,s:s,s:s,s:s,s:b,s:i,s:s?,s:s?,s:s,s:o}", "vm",
			 group->gateway->directory->settings->vm_name, "account", q->account,
			 "database", q->database, "kind", q->kind, "group", group->name,
			 "needs_primary", w->needs_primary, "waiting",
			 (int)group->wait_queue.length, "server", chosen ? chosen->id : NULL,
			 "connection", chosen ? connection_name(&v.candidate) : NULL, "reason",
			 outcome, "servers", servers);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	g_free(outcome);
	outcome = g_strconcat(text ? text : "{}", "\n", NULL);
	free(text);
	return outcome;
}

/* Explains a statement of a session that has the account and the position. */
static char *explain(struct gateway *g, const struct pw_catalog_route *route,
		     const struct explained_kind *kind, const struct pw_explain_query *q)
{
	struct session s = {
		.gateway = g,
		.account = gw_account_get(g, q->account),
		.operation = gw_session_operation(g, route),
		.transaction = kind->begins ? TRANSACTION_PENDING : TRANSACTION_NONE,
		.read_only = kind->read_only,
		.last_commit = q->position,
		.last_commit_us = gateway_now_us(g),
		.has_last_commit = q->has_position,
	};
	struct pw_caller_statement *statement = g_new0(struct pw_caller_statement, 1);
	struct work *w;
	char *text;

	s.last_commit_generation = s.operation.group->generation;
	statement->verb = kind->verb;
	w = gw_work_new(&s, statement);
	text = describe_work(w, q);
	pw_caller_statement_free(statement);
	g_free(w);
	return text;
}

static int32_t answer_query(struct gateway *g, const struct pw_explain_query *q, char **text)
{
	const struct explained_kind *kind = find_kind(q->kind);
	const struct pw_catalog_route *route;

	if (!kind) {
		*text = g_strdup("the kind has to be read, write, begin or begin-read\n");
		return PW_EINVALID;
	}
	if (!g->catalog) {
		*text = g_strdup("the proxy has no configuration yet\n");
		return PW_EUNAVAILABLE;
	}
	route = pw_catalog_find_route(g->catalog, q->database);
	if (!route || !pw_catalog_find_account(g->catalog, q->account)) {
		*text = g_strdup(route ? "no such account\n" : "no such database\n");
		return PW_ENOTFOUND;
	}
	*text = explain(g, route, kind, q);
	return PW_OK;
}

void gw_explain(struct gateway *g, const struct pw_explain_msg *m)
{
	struct pw_explained_msg *answer = g_new0(struct pw_explained_msg, 1);

	answer->base.ops = &pw_explained_msg_ops;
	answer->tag = m->tag;
	answer->code = answer_query(g, &m->query, &answer->text);
	pw_mailbox_send(m->reply_to, &answer->base);
}
