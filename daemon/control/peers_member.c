#include "peers_private.h"

#include <inttypes.h>
#include <string.h>

#include "pw/core/error.h"
#include "pw/core/event.h"

static char *table_key(const struct peers *p)
{
	return g_strdup_printf("pimentowing/%s/members", p->directory->settings->service_name);
}

static uint64_t add_to_age(uint64_t age_us, uint64_t elapsed_us)
{
	return age_us == PW_REVISION_AGE_UNKNOWN ? age_us : age_us + elapsed_us;
}

/* Copies the last report of the config task, with its ages as of now. */
static void fill_current_report(const struct peers *p, struct pw_revision_report *out)
{
	uint64_t elapsed_us = peers_now_us(p) - p->report_time_us;

	*out = p->report;
	out->confirmed_age_us = add_to_age(out->confirmed_age_us, elapsed_us);
	out->store_age_us = add_to_age(out->store_age_us, elapsed_us);
}

static void send_heartbeat(struct peers *p, const struct pw_member_action *a)
{
	struct pw_peer_message m;

	pw_peer_message_init(&m, PW_PEER_HEARTBEAT);
	m.heartbeat.sender = a->heartbeat->sender;
	m.heartbeat.sequence = a->heartbeat->sequence;
	m.heartbeat.attested_epoch = a->heartbeat->attested_epoch;
	m.heartbeat.settled_epoch = a->heartbeat->settled_epoch;
	m.heartbeat.released_epoch = a->heartbeat->released_epoch;
	m.heartbeat.effective_epoch = a->heartbeat->effective_epoch;
	m.heartbeat.leaving = a->heartbeat->leaving;
	g_array_append_vals(m.heartbeat.echoes, a->heartbeat->echoes->data,
			    a->heartbeat->echoes->len);
	g_array_append_vals(m.hints, p->hints->data, p->hints->len);
	fill_current_report(p, &m.report);
	peers_send(p, a->peer.address, &m);
	pw_peer_message_dispose(&m);
}

static void send_table(struct peers *p, const struct pw_member_action *a)
{
	struct pw_peer_message m;

	pw_peer_message_init(&m, PW_PEER_TABLE);
	pw_member_table_copy(&m.table, a->table);
	peers_send(p, a->peer.address, &m);
	pw_peer_message_dispose(&m);
}

static void read_table(struct peers *p)
{
	char *key = table_key(p);
	struct pw_store_range range = { .key = key };

	p->table_read_sent_us = pw_loop_update_now_us(p->task.loop);
	pw_mailbox_send(p->directory->store,
			pw_store_range_msg_new(p->task.inbox, TAG_TABLE_READ,
					       PW_STORE_CALL_TIMEOUT_US, &range));
	g_free(key);
}

static void propose_table(struct peers *p, const struct pw_member_table *t)
{
	char *key = table_key(p);
	GByteArray *value = g_byte_array_new();
	struct pw_store_compare compare = {
		.key = key,
		.target = PW_STORE_MOD_REVISION,
		.revision = t->mod_revision,
	};
	struct pw_store_change change = { .key = key, .kind = PW_STORE_PUT };
	struct pw_store_txn txn = {
		.compares = &compare,
		.compare_count = 1,
		.changes = &change,
		.change_count = 1,
	};

	pw_member_table_copy(&p->proposed_table, t);
	pw_peer_table_encode(value, t);
	change.value = value->data;
	change.size_bytes = value->len;
	pw_mailbox_send(p->directory->store, pw_store_txn_msg_new(p->task.inbox, TAG_TABLE_SWAP,
								  PW_STORE_CALL_TIMEOUT_US, &txn));
	g_byte_array_unref(value);
	g_free(key);
}

static void publish_lease(struct peers *p, uint64_t lease_until_us)
{
	struct pw_mailbox *const receivers[] = { p->directory->ledger, p->directory->config,
						 p->directory->admin };

	if (lease_until_us == p->published_lease_us)
		return;
	p->published_lease_us = lease_until_us;
	for (size_t i = 0; i < G_N_ELEMENTS(receivers); i++) {
		struct pw_lease_msg *m = pw_lease_msg_new();

		m->lease_until_us = lease_until_us;
		pw_mailbox_send(receivers[i], &m->base);
	}
}

/* Tells the ledger to stop using the lease; its answer goes to pw_member_lease_released(). */
static void publish_release(struct peers *p, uint64_t epoch)
{
	struct pw_lease_msg *m = pw_lease_msg_new();

	m->released_epoch = epoch;
	p->published_lease_us = 0;
	pw_mailbox_send(p->directory->ledger, &m->base);
}

void peers_publish_fleet(struct peers *p, const struct pw_member_table *t)
{
	struct pw_fleet_msg *m = pw_fleet_msg_new();

	for (guint i = 0; i < t->members->len; i++) {
		const struct pw_member_entry *e =
			&g_array_index(t->members, struct pw_member_entry, i);

		if (strcmp(e->name, p->self.name) != 0)
			g_ptr_array_add(m->peers, g_strdup(e->name));
	}
	m->rank = pw_member_rendezvous_rank(t->members, p->self.name, "failover");
	pw_mailbox_send(p->directory->monitor, &m->base);
}

static void publish_epoch(struct peers *p, const struct pw_member_table *t)
{
	struct pw_epoch_msg *e = pw_epoch_msg_new(t);
	struct pw_revision_msg *r = pw_revision_msg_new(PW_REVISION_MESSAGE_RANK, "");
	uint64_t lease_until_us = 0;

	pw_event_log(PW_EVENT_EPOCH_CHANGED, "epoch=%" PRIu64 " members=%u", t->epoch,
		     t->members->len);
	pw_member_holds_lease(p->member, peers_now_us(p), &lease_until_us);
	g_strlcpy(e->self, p->self.name, sizeof(e->self));
	e->incarnation = p->self.incarnation;
	e->lease_until_us = lease_until_us;
	pw_mailbox_send(p->directory->ledger, &e->base);
	r->rank = pw_member_rendezvous_rank(t->members, p->self.name, "document");
	r->member_count = t->members->len;
	pw_mailbox_send(p->directory->config, &r->base);
	peers_publish_fleet(p, t);
}

static void publish_removal(struct peers *p, const char *name)
{
	pw_mailbox_send(p->directory->config,
			&pw_revision_msg_new(PW_REVISION_MESSAGE_REMOVED, name)->base);
}

static void log_member(enum pw_event event, const struct pw_member_action *a)
{
	pw_event_log(event, "peer=%s address=%s incarnation=%" PRIu64, a->peer.name,
		     a->peer.address, a->peer.incarnation);
}

static void run_action(struct peers *p, const struct pw_member_action *a)
{
	switch (a->kind) {
	case PW_MEMBER_SEND_HEARTBEAT:
		send_heartbeat(p, a);
		break;
	case PW_MEMBER_SEND_TABLE:
		send_table(p, a);
		break;
	case PW_MEMBER_PROPOSE:
		propose_table(p, a->table);
		break;
	case PW_MEMBER_FETCH_TABLE_FROM_PEER:
		peers_send_empty(p, a->peer.address, PW_PEER_TABLE_FETCH);
		break;
	case PW_MEMBER_READ_TABLE_FROM_STORE:
		read_table(p);
		break;
	case PW_MEMBER_CHECK_PROCESS:
		peers_check_process(p, &a->peer);
		break;
	case PW_MEMBER_RELEASE_LEASE:
		publish_release(p, a->epoch);
		break;
	case PW_MEMBER_LEASE_GAINED:
		pw_event_log(PW_EVENT_LEASE_ACQUIRED, "epoch=%" PRIu64, a->epoch);
		break;
	case PW_MEMBER_LEASE_LOST:
		pw_event_log(PW_EVENT_LEASE_LOST, "epoch=%" PRIu64, a->epoch);
		break;
	case PW_MEMBER_EPOCH_EFFECTIVE:
		publish_epoch(p, a->table);
		break;
	case PW_MEMBER_JOINED:
		log_member(PW_EVENT_MEMBER_JOINED, a);
		break;
	case PW_MEMBER_SUSPECTED:
		log_member(PW_EVENT_MEMBER_SUSPECT, a);
		break;
	case PW_MEMBER_REMOVED:
		log_member(PW_EVENT_MEMBER_REMOVED, a);
		publish_removal(p, a->peer.name);
		break;
	case PW_MEMBER_LEAVING:
		log_member(PW_EVENT_MEMBER_LEAVING, a);
		break;
	case PW_MEMBER_LEFT:
		pw_mailbox_send(p->directory->shutdown, pw_fleet_left_msg());
		break;
	}
}

void peers_run_actions(struct peers *p)
{
	GArray *actions = p->actions;
	uint64_t lease_until_us = 0;

	/*
	 * peers_send() may receive a member table, and this function is then called again for new
	 * actions. Handling that table may change what the pointers in the remaining actions refer
	 * to, but frees none of it.
	 */
	p->actions = g_array_new(FALSE, TRUE, sizeof(struct pw_member_action));
	for (guint i = 0; i < actions->len; i++)
		run_action(p, &g_array_index(actions, struct pw_member_action, i));
	g_array_unref(actions);
	if (!pw_member_holds_lease(p->member, peers_now_us(p), &lease_until_us))
		lease_until_us = 0;
	publish_lease(p, lease_until_us);
}

/* Decodes the member table from the value of a key. A missing or malformed one gets epoch 0. */
static void decode_table(struct pw_member_table *t, const struct pw_store_kv *kv)
{
	pw_member_table_init(t);
	if (!kv || !kv->key || pw_peer_table_decode(t, kv->value, kv->size_bytes))
		return;
	t->mod_revision = kv->mod_revision;
}

static void handle_table_read(struct peers *p, const struct pw_store_range_result *r)
{
	struct pw_member_table t;

	if (r->base.code)
		return;
	decode_table(&t, r->kv_count ? &r->kvs[0] : NULL);
	pw_member_store_read_done(p->member, &t, p->table_read_sent_us, peers_now_us(p),
				  p->actions);
	pw_member_table_dispose(&t);
	peers_run_actions(p);
}

static void handle_table_swap(struct peers *p, const struct pw_store_txn_result *r)
{
	struct pw_member_table t;
	enum pw_member_swap_status status = PW_MEMBER_SWAP_NO_ANSWER;

	decode_table(&t, r->base.code == PW_ECONFLICT && r->kv_count ? &r->kvs[0] : NULL);
	if (r->base.code == PW_OK) {
		status = PW_MEMBER_SWAP_DONE;
		pw_member_table_copy(&t, &p->proposed_table);
		t.mod_revision = r->base.revision;
	} else if (r->base.code == PW_ECONFLICT) {
		status = PW_MEMBER_SWAP_CONFLICT;
	}
	pw_member_swap_result(p->member, status, status == PW_MEMBER_SWAP_NO_ANSWER ? NULL : &t,
			      peers_now_us(p), p->actions);
	pw_member_table_dispose(&t);
	peers_run_actions(p);
}

/* Handles the VM list: keys are `vms/NAME`, values are JSON objects with a field "state". */
static void handle_vm_list(struct peers *p, const struct pw_store_range_result *r)
{
	struct pw_member_vm *vms;

	if (r->base.code)
		return;
	vms = g_new0(struct pw_member_vm, r->kv_count + 1);
	for (size_t i = 0; i < r->kv_count; i++) {
		const char *name = strrchr(r->kvs[i].key, '/');

		g_strlcpy(vms[i].name, name ? name + 1 : r->kvs[i].key, sizeof(vms[i].name));
		if (strstr(r->kvs[i].value, "\"leaving\""))
			vms[i].state = PW_MEMBER_VM_LEAVING;
	}
	pw_member_vm_list_received(p->member, vms, (uint32_t)r->kv_count, peers_now_us(p),
				   p->actions);
	g_free(vms);
	peers_run_actions(p);
}

void peers_handle_store_result(struct peers *p, const struct pw_store_result_msg *m)
{
	switch (m->tag) {
	case TAG_TABLE_READ:
		handle_table_read(p, (const struct pw_store_range_result *)m->result);
		break;
	case TAG_TABLE_SWAP:
		handle_table_swap(p, (const struct pw_store_txn_result *)m->result);
		break;
	case TAG_VM_LIST:
		handle_vm_list(p, (const struct pw_store_range_result *)m->result);
		break;
	default:
		break;
	}
}
