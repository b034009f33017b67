#include "config.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "../directory.h"
#include "../traffic/front.h"
#include "../traffic/request.h"
#include "admin.h"
#include "peers.h"
#include "pw/core/counter.h"
#include "pw/core/error.h"
#include "pw/core/event.h"
#include "store.h"

/*
 * Longest interval at which the peers task gets the report for heartbeats, and the front and admin
 * tasks get the time until which the document is fresh.
 */
#define REPORT_INTERVAL_US UINT64_C(50000)

/* Tags of requests to the store. Each read has its own tag, greater than TAG_READ. */
enum store_request_tag {
	TAG_WATCH = 1,
	TAG_READ,
};

/* A read at the store that has no response yet. */
struct pending_read {
	uint64_t sent_us;
	bool is_fetch; /**< a failure is reported to the decision module, which tries again */
};

struct config {
	struct pw_task task;
	const struct pw_directory *directory;
	const struct pw_document *document; /**< in force; NULL before the first one */
	struct pw_revision *revision;
	GHashTable *peer_names;    /**< identity (uint64_t) -> name, of all peers heard from */
	GHashTable *pending_reads; /**< tag -> struct pending_read */
	struct pw_timer tick_timer;
	char *document_key;
	uint64_t last_read_number;
	const struct pw_document *offered_document; /**< what an ADOPT action adopts; NULL: none */
	bool is_isolated;                           /**< the document in force is not fresh */
};

static const char *peer_name(const struct config *c, uint64_t peer_id)
{
	const char *name = g_hash_table_lookup(c->peer_names, &peer_id);

	return name ? name : "";
}

static void add_peer_name(struct config *c, const char *name)
{
	uint64_t peer_id = pw_directory_name_hash(name);

	if (!g_hash_table_contains(c->peer_names, &peer_id))
		g_hash_table_insert(c->peer_names, g_memdup2(&peer_id, sizeof(peer_id)),
				    g_strdup(name));
}

static void send_snapshots(const struct config *c)
{
	const struct pw_directory *d = c->directory;

	pw_mailbox_send(d->monitor, pw_snapshot_msg(c->document));
	pw_mailbox_send(d->ledger, pw_snapshot_msg(c->document));
	pw_mailbox_send(d->admin, pw_snapshot_msg(c->document));
	pw_mailbox_send(d->peers, pw_snapshot_msg(c->document));
	for (uint32_t i = 0; i < d->group_count; i++)
		pw_mailbox_send(d->groups[i], pw_snapshot_msg(c->document));
	for (uint32_t i = 0; i < d->front_count; i++)
		pw_mailbox_send(d->fronts[i], pw_snapshot_msg(c->document));
}

static void adopt_offered_document(struct config *c)
{
	pw_document_unref(c->document);
	c->document = pw_document_ref(c->offered_document);
	pw_counter_inc(PW_COUNTER_CONFIG_APPLIED);
	pw_event_log(PW_EVENT_CONFIG_APPLIED, "revision=%" PRIu64, c->document->revision);
	send_snapshots(c);
}

/* Reads the document from the store. The response also confirms which revision is the newest. */
static void read_document(struct config *c, bool is_fetch)
{
	struct pw_store_range range = { .key = c->document_key };
	struct pending_read *p = g_new(struct pending_read, 1);
	uint64_t tag = ++c->last_read_number + TAG_READ;

	*p = (struct pending_read){
		.sent_us = pw_loop_update_now_us(c->task.loop),
		.is_fetch = is_fetch,
	};
	g_hash_table_insert(c->pending_reads, g_memdup2(&tag, sizeof(tag)), p);
	pw_mailbox_send(
		c->directory->store,
		pw_store_range_msg_new(c->task.inbox, tag, PW_STORE_CALL_TIMEOUT_US, &range));
}

static void start_watch(struct config *c)
{
	struct pw_store_watch watch = { .key = c->document_key };

	pw_mailbox_send(
		c->directory->store,
		pw_store_watch_msg_new(c->task.inbox, TAG_WATCH, PW_STORE_CALL_TIMEOUT_US, &watch));
}

static void send_revision_message(struct config *c, enum pw_revision_message_kind kind,
				  uint64_t peer)
{
	struct pw_revision_msg *m = pw_revision_msg_new(kind, peer_name(c, peer));

	if (kind == PW_REVISION_MESSAGE_ANNOUNCE)
		pw_revision_fill_report(c->revision, pw_loop_now_us(c->task.loop), &m->report);
	pw_mailbox_send(c->directory->peers, &m->base);
}

static void run_actions(struct config *c, const struct pw_revision_actions *actions)
{
	for (uint32_t i = 0; i < actions->count; i++) {
		const struct pw_revision_action *a = &actions->items[i];

		switch (a->kind) {
		case PW_REVISION_ADOPT:
			adopt_offered_document(c);
			break;
		case PW_REVISION_REJECT:
			pw_counter_inc(PW_COUNTER_CONFIG_REJECTED);
			break;
		case PW_REVISION_ANNOUNCE:
			send_revision_message(c, PW_REVISION_MESSAGE_ANNOUNCE, a->peer);
			break;
		case PW_REVISION_FETCH:
			if (a->peer == PW_REVISION_SOURCE_STORE)
				read_document(c, true);
			else
				send_revision_message(c, PW_REVISION_MESSAGE_FETCH, a->peer);
			break;
		case PW_REVISION_READ:
			read_document(c, false);
			break;
		case PW_REVISION_WATCH_START:
			start_watch(c);
			break;
		case PW_REVISION_WATCH_STOP:
			pw_mailbox_send(c->directory->store,
					pw_store_unwatch_msg_new(c->task.inbox, TAG_WATCH));
			break;
		}
	}
}

/*
 * Sends the front and admin tasks the time until which the document is fresh, and logs an event
 * when it stops being fresh.
 */
static void publish_freshness(struct config *c, uint64_t now_us)
{
	uint64_t fresh_until_us = pw_revision_fresh_until_us(c->revision, now_us);
	bool is_isolated = fresh_until_us <= now_us;

	if (is_isolated != c->is_isolated && c->document) {
		c->is_isolated = is_isolated;
		if (is_isolated)
			pw_event_log(PW_EVENT_ISOLATED, "revision=%" PRIu64, c->document->revision);
	}
	for (uint32_t i = 0; i < c->directory->front_count; i++)
		pw_mailbox_send(c->directory->fronts[i], pw_freshness_msg(fresh_until_us));
	pw_mailbox_send(c->directory->admin, pw_freshness_msg(fresh_until_us));
}

static void publish_report(struct config *c, uint64_t now_us)
{
	struct pw_revision_report_msg *m = pw_revision_report_msg_new();

	pw_revision_fill_report(c->revision, now_us, &m->report);
	m->report_time_us = now_us;
	pw_mailbox_send(c->directory->peers, &m->base);
}

/* Parses a document, offers it to the decision module and runs the resulting actions. */
static void offer_document(struct config *c, uint64_t source, uint64_t revision, const char *text,
			   size_t size_bytes)
{
	struct pw_revision_actions actions = { .count = 0 };
	struct pw_revision_offer offer = { .source = source, .revision = revision };
	struct pw_findings *f = NULL;
	char *report;

	pw_findings_new(&f);
	offer.valid =
		pw_document_parse(&c->offered_document, text, size_bytes, revision, f) == PW_OK;
	if (!offer.valid && revision > pw_revision_current(c->revision)) {
		report = pw_findings_format(f);
		pw_event_log(PW_EVENT_CONFIG_REJECTED, "revision=%" PRIu64 " findings=\"%s\"",
			     revision, report);
		g_free(report);
	}
	pw_revision_handle_offer(c->revision, pw_loop_now_us(c->task.loop), &offer, &actions);
	run_actions(c, &actions);
	pw_document_unref(c->offered_document);
	c->offered_document = NULL;
	pw_findings_free(f);
	publish_report(c, pw_loop_now_us(c->task.loop));
}

static void offer_newer_kv(struct config *c, const struct pw_store_kv *kv)
{
	if ((uint64_t)kv->mod_revision > pw_revision_current(c->revision))
		offer_document(c, PW_REVISION_SOURCE_STORE, (uint64_t)kv->mod_revision, kv->value,
			       kv->size_bytes);
}

static void handle_read_result(struct config *c, const struct pending_read *p,
			       const struct pw_store_range_result *r)
{
	struct pw_revision_actions actions = { .count = 0 };
	uint64_t now_us = pw_loop_now_us(c->task.loop);

	if (r->base.code) {
		if (p->is_fetch)
			pw_revision_handle_fetch_failure(c->revision, now_us,
							 PW_REVISION_SOURCE_STORE, &actions);
		run_actions(c, &actions);
		return;
	}
	if (r->kv_count)
		offer_newer_kv(c, &r->kvs[0]);
	pw_revision_handle_store_response(c->revision, now_us, p->sent_us,
					  r->kv_count ? (uint64_t)r->kvs[0].mod_revision : 0,
					  &actions);
	run_actions(c, &actions);
	publish_freshness(c, now_us);
}

static void handle_watch_result(struct config *c, const struct pw_store_watch_result *r)
{
	for (size_t i = 0; i < r->event_count; i++) {
		if (r->events[i].kind == PW_STORE_PUT)
			offer_newer_kv(c, &r->events[i].kv);
	}
	if (r->is_last)
		start_watch(c);
	/* The watch does not report changes from before it was opened; a read finds them. */
	if (r->just_opened)
		read_document(c, false);
}

static void handle_store_result(struct config *c, const struct pw_store_result_msg *m)
{
	struct pending_read *p = g_hash_table_lookup(c->pending_reads, &m->tag);

	if (m->tag == TAG_WATCH) {
		handle_watch_result(c, (const struct pw_store_watch_result *)m->result);
	} else if (p && m->result->kind == PW_STORE_RANGE) {
		handle_read_result(c, p, (const struct pw_store_range_result *)m->result);
		g_hash_table_remove(c->pending_reads, &m->tag);
	}
}

static void offer_peer_document(struct config *c, const struct pw_revision_msg *m)
{
	gsize size_bytes;
	const char *text = m->text ? g_bytes_get_data(m->text, &size_bytes) : NULL;

	if (text)
		offer_document(c, pw_directory_name_hash(m->peer), m->revision, text, size_bytes);
}

static void handle_revision_msg(struct config *c, const struct pw_revision_msg *m)
{
	struct pw_revision_actions actions = { .count = 0 };
	uint64_t now_us = pw_loop_now_us(c->task.loop);

	if (*m->peer)
		add_peer_name(c, m->peer);
	switch (m->kind) {
	case PW_REVISION_MESSAGE_RANK:
		pw_revision_set_rank(c->revision, now_us, m->rank, m->member_count, &actions);
		break;
	case PW_REVISION_MESSAGE_HEARTBEAT:
	case PW_REVISION_MESSAGE_ANNOUNCE:
		pw_revision_handle_report(c->revision, now_us, pw_directory_name_hash(m->peer),
					  &m->report, m->made_after_us, &actions);
		break;
	case PW_REVISION_MESSAGE_REMOVED:
		pw_revision_remove_peer(c->revision, now_us, pw_directory_name_hash(m->peer),
					&actions);
		break;
	case PW_REVISION_MESSAGE_FETCH:
		break; /* Never received: the peers task answers fetches from its own snapshot. */
	case PW_REVISION_MESSAGE_DOCUMENT:
		offer_peer_document(c, m);
		break;
	}
	run_actions(c, &actions);
}

static void config_receive(struct pw_task *t, struct pw_msg *m)
{
	struct config *c = (struct config *)t;

	if (m->ops == &pw_store_result_msg_ops)
		handle_store_result(c, (struct pw_store_result_msg *)m);
	else if (m->ops == &pw_revision_msg_ops)
		handle_revision_msg(c, (struct pw_revision_msg *)m);
	else if (m->ops == &pw_snapshot_request_ops && c->document)
		pw_mailbox_send(((struct pw_snapshot_request *)m)->reply_to,
				pw_snapshot_msg(c->document));
	else if (m->ops == &pw_lease_msg_ops)
		pw_revision_set_lease(c->revision, ((struct pw_lease_msg *)m)->lease_until_us);
	pw_msg_free(m);
}

static void config_tick(struct pw_timer *timer, uint64_t now_us)
{
	struct config *c = (struct config *)((char *)timer - offsetof(struct config, tick_timer));
	struct pw_revision_actions actions = { .count = 0 };

	pw_revision_tick(c->revision, now_us, &actions);
	run_actions(c, &actions);
	publish_freshness(c, now_us);
	publish_report(c, now_us);
	pw_loop_timer_set(
		c->task.loop, timer,
		MIN(now_us + REPORT_INTERVAL_US, pw_revision_next_tick_us(c->revision, now_us)));
}

static const struct pw_timer_ops tick_ops = { .expire = config_tick };

static int config_start(struct pw_task *t)
{
	struct config *c = (struct config *)t;
	struct pw_revision_options options = PW_REVISION_OPTIONS_INIT;
	int rc;

	c->directory = ((const struct pw_task_args *)t->args)->directory;
	options.self = pw_directory_name_hash(c->directory->settings->vm_name);
	rc = pw_revision_new(&c->revision, &options);
	if (rc)
		return rc;
	c->document_key = pw_document_key(c->directory->settings->service_name);
	c->peer_names = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	c->pending_reads = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	c->tick_timer.ops = &tick_ops;
	pw_loop_timer_set(t->loop, &c->tick_timer, pw_loop_now_us(t->loop));
	/* Without a member table there are no peers to ask yet, so the store is read at once. */
	read_document(c, true);
	return PW_OK;
}

static void config_stop(struct pw_task *t)
{
	struct config *c = (struct config *)t;

	pw_loop_timer_clear(t->loop, &c->tick_timer);
	pw_document_unref(c->document);
	pw_revision_free(c->revision);
	g_hash_table_unref(c->peer_names);
	g_hash_table_unref(c->pending_reads);
	g_free(c->document_key);
}

const struct pw_task_ops pw_config_ops = {
	.name = "config",
	.size_bytes = sizeof(struct config),
	.start = config_start,
	.receive = config_receive,
	.stop = config_stop,
};
