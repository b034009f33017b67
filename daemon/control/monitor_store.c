#include "monitor_private.h"

#include <inttypes.h>
#include <string.h>

#include "pw/core/error.h"
#include "pw/core/event.h"
#include "pw/core/number.h"

enum store_request_kind {
	REQUEST_ACQUIRE_LEASE, /**< creates the key of a term's lease */
	REQUEST_READ_RECORD,
	REQUEST_WRITE_RECORD,
};

/* A request to the store that has no response yet. */
struct store_request {
	enum store_request_kind kind;
	char *database;
	uint64_t term; /**< of the lease or the written record */
};

void store_request_free(gpointer data)
{
	struct store_request *req = data;

	g_free(req->database);
	g_free(req);
}

static char *record_key(const struct monitored_group *g)
{
	return g_strdup_printf("pimentowing/%s/primary/%s",
			       g->monitor->directory->settings->service_name, g->database);
}

static char *lease_key(const struct monitored_group *g, uint64_t term)
{
	return g_strdup_printf("pimentowing/%s/failover/%s/%" PRIu64,
			       g->monitor->directory->settings->service_name, g->database, term);
}

static uint64_t add_request(struct monitored_group *g, enum store_request_kind kind, uint64_t term)
{
	struct monitor *m = g->monitor;
	struct store_request *req = g_new0(struct store_request, 1);
	uint64_t tag = ++m->last_tag;

	req->kind = kind;
	req->database = g_strdup(g->database);
	req->term = term;
	g_hash_table_insert(m->store_requests, g_memdup2(&tag, sizeof(tag)), req);
	return tag;
}

static void send_compare_and_swap(struct monitored_group *g, uint64_t tag, const char *key,
				  int64_t revision, const char *value)
{
	struct pw_store_compare compare = {
		.key = key,
		.target = PW_STORE_MOD_REVISION,
		.revision = revision,
	};
	struct pw_store_change change = {
		.key = key,
		.kind = PW_STORE_PUT,
		.value = value,
		.size_bytes = strlen(value),
	};
	struct pw_store_txn txn = {
		.compares = &compare,
		.compare_count = 1,
		.changes = &change,
		.change_count = 1,
	};
	struct monitor *m = g->monitor;

	pw_mailbox_send(m->directory->store,
			pw_store_txn_msg_new(m->task.inbox, tag, PW_STORE_CALL_TIMEOUT_US, &txn));
}

/*
 * Creates the key of a term's lease, with the promoter's name as value. Terms are not used again,
 * so the key needs no TTL: after a promoter has died, the next one takes a higher term.
 */
static void acquire_lease(struct monitored_group *g, uint64_t term)
{
	char *key = lease_key(g, term);

	send_compare_and_swap(g, add_request(g, REQUEST_ACQUIRE_LEASE, term), key, 0,
			      g->monitor->promoter_name);
	g_free(key);
}

static void read_record(struct monitored_group *g)
{
	struct monitor *m = g->monitor;
	char *key = record_key(g);
	struct pw_store_range range = { .key = key };

	pw_mailbox_send(m->directory->store,
			pw_store_range_msg_new(m->task.inbox,
					       add_request(g, REQUEST_READ_RECORD, 0),
					       PW_STORE_CALL_TIMEOUT_US, &range));
	g_free(key);
}

/*
 * Writes the record `TERM ADDRESS`. It has the address and not the index of the server, since the
 * order of the servers in the document may change.
 */
static void write_record(struct monitored_group *g, const struct pw_failover_action *a)
{
	const struct monitored_server *s = g_ptr_array_index(g->servers, a->primary);
	char *key = record_key(g);
	char *value = g_strdup_printf("%" PRIu64 " %s", a->term, s->address);

	send_compare_and_swap(g, add_request(g, REQUEST_WRITE_RECORD, a->term), key, a->revision,
			      value);
	g_free(value);
	g_free(key);
}

void store_request_send(struct monitored_group *g, const struct pw_failover_action *a)
{
	if (a->kind == PW_FAILOVER_ACQUIRE_LEASE)
		acquire_lease(g, a->term);
	else if (a->kind == PW_FAILOVER_READ_RECORD)
		read_record(g);
	else
		write_record(g, a);
}

/* Index of no server, which the decision module does not make the primary. */
#define NO_SERVER UINT32_MAX

/* Finds the server with this address. Returns its index, or NO_SERVER. */
static uint32_t find_server(const struct monitored_group *g, const char *address)
{
	for (guint i = 0; i < g->servers->len; i++) {
		const struct monitored_server *s = g_ptr_array_index(g->servers, i);

		if (strcmp(s->address, address) == 0)
			return i;
	}
	return NO_SERVER;
}

/*
 * Parses a record `TERM ADDRESS`. Returns false if the key does not exist. A malformed record gets
 * term 0, which lets the record of any known primary replace it. If no server of the group has the
 * address, for example since it was taken out, the term counts but names no primary.
 */
static bool parse_record(const struct monitored_group *g, const struct pw_store_kv *kv,
			 struct pw_failover_record *out)
{
	char **words;

	*out = (struct pw_failover_record){ .server = NO_SERVER };
	if (!kv || !kv->key)
		return false;
	out->revision = kv->mod_revision;
	words = g_strsplit(kv->value ? kv->value : "", " ", -1);
	if (g_strv_length(words) == 2 && *words[1] &&
	    pw_number_parse(&out->term, words[0], 1, INT64_MAX))
		out->server = find_server(g, words[1]);
	else
		pw_event_log(PW_EVENT_RECORD_MALFORMED, "key=%s revision=%" PRId64, kv->key,
			     kv->mod_revision);
	g_strfreev(words);
	return true;
}

static enum pw_failover_result failover_result_of(const struct pw_store_result *r)
{
	if (r->code == PW_OK)
		return PW_FAILOVER_RESULT_OK;
	return r->code == PW_ECONFLICT ? PW_FAILOVER_RESULT_REFUSED : PW_FAILOVER_RESULT_NO_ANSWER;
}

/*
 * Returns the result of a request to acquire a lease. A conflict with a lease that this incarnation
 * holds counts as success: an earlier request succeeded, and its response was lost.
 */
static enum pw_failover_result lease_result(const struct monitor *m,
					    const struct pw_store_txn_result *r)
{
	if (r->base.code == PW_ECONFLICT && r->kv_count && r->kvs[0].key &&
	    strcmp(r->kvs[0].value, m->promoter_name) == 0)
		return PW_FAILOVER_RESULT_OK;
	return failover_result_of(&r->base);
}

/*
 * Passes the result of a read or a write of the primary record to the decision module, with the
 * record that the store now holds, as far as the result shows it.
 */
static void handle_record_result(struct monitored_group *g, const struct store_request *req,
				 const struct pw_store_result *r, GArray *out)
{
	struct pw_failover_record record = { 0 };
	const struct pw_store_kv *kvs = NULL;
	size_t count = 0;
	bool is_known;

	if (r->kind == PW_STORE_RANGE) {
		kvs = ((const struct pw_store_range_result *)r)->kvs;
		count = ((const struct pw_store_range_result *)r)->kv_count;
	} else if (r->kind == PW_STORE_TXN) {
		kvs = ((const struct pw_store_txn_result *)r)->kvs;
		count = ((const struct pw_store_txn_result *)r)->kv_count;
	}
	is_known = parse_record(g, count ? &kvs[0] : NULL, &record);
	/* A successful read shows what the store holds, even if that is no record. */
	if (!is_known && req->kind == REQUEST_READ_RECORD && r->code == PW_OK)
		is_known = true;
	if (req->kind == REQUEST_WRITE_RECORD && r->code == PW_OK) {
		struct pw_failover_record current = pw_failover_primary(g->failover);

		record = (struct pw_failover_record){
			.term = req->term,
			.server = current.server,
			.revision = r->revision,
		};
		is_known = current.term == req->term;
	}
	pw_failover_handle_record_result(g->failover, failover_result_of(r),
					 is_known ? &record : NULL, monitor_now_us(g), out);
}

void store_request_handle_result(struct monitor *m, const struct pw_store_result_msg *result)
{
	struct store_request *req = g_hash_table_lookup(m->store_requests, &result->tag);
	struct monitored_group *g = req ? g_hash_table_lookup(m->groups, req->database) : NULL;
	GArray *out;

	if (g) {
		out = monitor_actions_new();
		if (req->kind == REQUEST_ACQUIRE_LEASE)
			pw_failover_handle_lease_result(
				g->failover, req->term,
				lease_result(m, (const struct pw_store_txn_result *)result->result),
				monitor_now_us(g), out);
		else
			handle_record_result(g, req, result->result, out);
		monitor_run_actions(g, out);
	}
	g_hash_table_remove(m->store_requests, &result->tag);
}
