/*
 * What operators see of replica sets and may do about them: the status of this VM has the sets and
 * the servers that a change of primary waits for, and an operator may have such a server forgotten.
 */
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "admin.h"
#include "cluster_private.h"
#include "pw/core/error.h"
#include "pw/core/event.h"

/* A change of primary of this VM that waits for servers. */
struct replica_wait {
	uint64_t generation; /**< of the primary that is to be replaced */
	json_t *servers;     /**< array of their ids */
};

static void replica_wait_free(gpointer data)
{
	json_decref(((struct replica_wait *)data)->servers);
	g_free(data);
}

void replica_status_start(struct cluster *c)
{
	c->waits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, replica_wait_free);
}

void replica_status_stop(struct cluster *c)
{
	g_hash_table_unref(c->waits);
	if (c->forget_request)
		pw_msg_free(&c->forget_request->base);
}

static json_t *replica_set_status(const struct cluster *c, const struct pw_primary *primary)
{
	const struct replica_wait *wait = g_hash_table_lookup(c->waits, primary->group);
	json_t *servers = primary->replica_set ? json_array() : json_null();

	for (guint i = 0; primary->replica_set && i < primary->replica_set->len; i++) {
		const struct pw_replica *r = g_ptr_array_index(primary->replica_set, i);

		json_array_append_new(servers, json_string(r->id));
	}
	return json_pack("{s:s,s:o,s:O?}", "primary", primary->server_id, "servers", servers,
			 "waits_for", wait ? wait->servers : NULL);
}

void replica_status_publish(struct cluster *c)
{
	json_t *root = json_object();
	char *text, *copy;

	for (guint i = 0; c->primaries && i < c->primaries->entries->len; i++) {
		const struct pw_primary *primary = g_ptr_array_index(c->primaries->entries, i);

		if (replicas_sync_count(c, primary->group))
			json_object_set_new(root, primary->group, replica_set_status(c, primary));
	}
	text = json_dumps(root, JSON_COMPACT);
	copy = g_strdup(text);
	free(text);
	json_decref(root);
	pw_mailbox_send(c->directory->admin, pw_admin_status_msg("replica_sets", copy));
}

void replica_status_set_wait(struct cluster *c, const struct pw_primary *primary,
			     const GPtrArray *missing)
{
	struct replica_wait *wait = g_new0(struct replica_wait, 1);

	wait->generation = primary->generation;
	wait->servers = json_array();
	for (guint i = 0; i < missing->len; i++)
		json_array_append_new(wait->servers, json_string(g_ptr_array_index(missing, i)));
	g_hash_table_replace(c->waits, g_strdup(primary->group), wait);
	replica_status_publish(c);
}

void replica_status_end_waits(struct cluster *c)
{
	bool any_ended = false;
	GHashTableIter it;
	gpointer group, item;

	g_hash_table_iter_init(&it, c->waits);
	while (g_hash_table_iter_next(&it, &group, &item)) {
		const struct pw_primary *primary = pw_primaries_find(c->primaries, group);
		uint64_t since_us;

		if (primary &&
		    primary->generation == ((const struct replica_wait *)item)->generation &&
		    !cluster_reaches_primary(c, primary, &since_us))
			continue;
		g_hash_table_iter_remove(&it);
		any_ended = true;
	}
	if (any_ended)
		replica_status_publish(c);
}

/* Answers a request and frees it; takes over the text. */
static void answer(struct pw_replica_forget_msg *m, int32_t code, char *text)
{
	struct pw_replica_forgotten_msg *reply = g_new0(struct pw_replica_forgotten_msg, 1);

	reply->base.ops = &pw_replica_forgotten_msg_ops;
	reply->tag = m->tag;
	reply->code = code;
	reply->text = text;
	pw_mailbox_send(m->reply_to, &reply->base);
	pw_msg_free(&m->base);
}

void replica_status_answer(struct cluster *c, int32_t code, const char *text)
{
	struct pw_replica_forget_msg *m = g_steal_pointer(&c->forget_request);

	if (m)
		answer(m, code, g_strdup_printf("%s\n", text));
}

/* Returns the set without a server, or of the registered servers only if it was not known. */
static GPtrArray *build_set_without(const struct cluster *c, const struct pw_primary *primary,
				    const char *server)
{
	GPtrArray *set;

	if (!primary->replica_set)
		return replicas_registered_set(c, primary->group);
	set = pw_replica_set_new();
	for (guint i = 0; i < primary->replica_set->len; i++) {
		const struct pw_replica *r = g_ptr_array_index(primary->replica_set, i);

		if (strcmp(r->id, server) != 0)
			pw_replica_set_add(set, r->id, r->address, r->is_stopping);
	}
	return set;
}

/* Returns 0, or why a request of an operator is refused, with the error message. */
static int check_forget(const struct cluster *c, const struct pw_replica_forget_msg *m)
{
	const struct pw_primary *primary;

	if (!c->primaries || !c->servers || !c->catalog || !c->renewal_ok ||
	    !era_is_record_current(c))
		return pw_error_set(PW_EUNAVAILABLE, "this VM does not reach the store");
	if (c->written_sets)
		return pw_error_set(PW_ECONFLICT, "another write is in progress, try again");
	primary = pw_primaries_find(c->primaries, m->group);
	if (!primary || !replicas_sync_count(c, m->group))
		return pw_error_set(PW_ENOTFOUND, "no database %s with synchronous replication",
				    m->group);
	if (!primary->replica_set)
		return m->server ? pw_error_set(PW_EINVALID, "the replica set is not known")
				 : PW_OK;
	if (!m->server)
		return pw_error_set(PW_EINVALID, "the replica set is known: name the server");
	if (!pw_replica_set_find(primary->replica_set, m->server))
		return pw_error_set(PW_ENOTFOUND, "no server %s in the replica set", m->server);
	if (strcmp(primary->server_id, m->server) == 0)
		return pw_error_set(PW_EINVALID, "%s is the primary", m->server);
	if (pw_server_list_find(c->servers, m->server))
		return pw_error_set(PW_EINVALID, "%s is registered", m->server);
	return PW_OK;
}

void replica_status_forget(struct cluster *c, struct pw_replica_forget_msg *m)
{
	const struct pw_primary *primary;
	struct pw_primaries *record;
	int code = check_forget(c, m);

	if (code) {
		answer(m, code, g_strdup_printf("%s\n", pw_error_message()));
		return;
	}
	c->forget_request = m;
	primary = pw_primaries_find(c->primaries, m->group);
	record = pw_primaries_copy(c->primaries);
	pw_primaries_set_replica_set(record, m->group, build_set_without(c, primary, m->server));
	pw_event_log(PW_EVENT_REPLICA_FORGOTTEN, "database=%s term=%" PRIu64 " server=%s", m->group,
		     primary->generation, m->server ? m->server : "");
	replicas_write(c, record);
}

static void forget_msg_destroy(struct pw_msg *base)
{
	struct pw_replica_forget_msg *m = (struct pw_replica_forget_msg *)base;

	g_free(m->group);
	g_free(m->server);
	g_free(m);
}

const struct pw_msg_ops pw_replica_forget_msg_ops = {
	.name = "replica_forget",
	.destroy = forget_msg_destroy,
};

struct pw_msg *pw_replica_forget_msg_new(struct pw_mailbox *reply_to, uint64_t tag,
					 const char *group, const char *server)
{
	struct pw_replica_forget_msg *m = g_new0(struct pw_replica_forget_msg, 1);

	m->base.ops = &pw_replica_forget_msg_ops;
	m->reply_to = reply_to;
	m->tag = tag;
	m->group = g_strdup(group);
	m->server = g_strdup(server);
	return &m->base;
}

static void forgotten_msg_destroy(struct pw_msg *m)
{
	g_free(((struct pw_replica_forgotten_msg *)m)->text);
	g_free(m);
}

const struct pw_msg_ops pw_replica_forgotten_msg_ops = {
	.name = "replica_forgotten",
	.destroy = forgotten_msg_destroy,
};
