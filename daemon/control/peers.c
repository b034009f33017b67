#include "peers_private.h"

#include <inttypes.h>
#include <string.h>

#include "admin.h"
#include "pw/core/error.h"
#include "pw/core/event.h"

#define TICK_INTERVAL_US UINT64_C(10000)
/* Interval of the status for the administration API. */
#define ADMIN_STATUS_INTERVAL_US UINT64_C(500000)
/* The VM list itself lags behind the state of the VMs; one more second adds little to that. */
#define VM_LIST_READ_INTERVAL_US UINT64_C(1000000)
#define SEED_FETCH_INTERVAL_US   UINT64_C(500000)
/*
 * Number of members that read the VM list at the store; VMs that are not members yet read it, too.
 * The other members learn of changes from the member table.
 */
#define VM_LIST_READER_COUNT 3

/* After a restart of the ledger, which loses its quota, restarts this task as a new incarnation. */
static void handle_ledger_start(struct peers *p)
{
	if (p->ledger_started)
		pw_task_fail(&p->task, pw_error_set(PW_ESYSTEM, "the ledger task was restarted"));
	p->ledger_started = true;
}

static void peers_receive(struct pw_task *t, struct pw_msg *m)
{
	struct peers *p = (struct peers *)t;

	if (m->ops == &pw_store_result_msg_ops) {
		peers_handle_store_result(p, (struct pw_store_result_msg *)m);
	} else if (m->ops == &pw_quota_msg_ops) {
		peers_send_quota(p, (struct pw_quota_msg *)m);
	} else if (m->ops == &pw_quota_hints_msg_ops) {
		struct pw_quota_hints_msg *h = (struct pw_quota_hints_msg *)m;

		g_array_unref(p->hints);
		p->hints = g_array_ref(h->hints);
	} else if (m->ops == &pw_revision_report_msg_ops) {
		const struct pw_revision_report_msg *r = (struct pw_revision_report_msg *)m;

		p->report = r->report;
		p->report_time_us = r->report_time_us;
	} else if (m->ops == &pw_revision_msg_ops) {
		peers_send_revision(p, (struct pw_revision_msg *)m);
	} else if (m->ops == &pw_vote_msg_ops) {
		peers_send_vote(p, (struct pw_vote_msg *)m);
	} else if (m->ops == &pw_front_cancel_ops) {
		peers_send_cancel(p, (struct pw_front_cancel *)m);
	} else if (m->ops == &pw_snapshot_ops) {
		pw_document_unref(p->document);
		p->document = pw_document_ref(((struct pw_snapshot *)m)->document);
	} else if (m->ops == &pw_ledger_started_ops) {
		handle_ledger_start(p);
	} else if (m->ops == &pw_lease_released_msg_ops) {
		pw_member_lease_released(p->member, ((struct pw_lease_released_msg *)m)->epoch,
					 peers_now_us(p), p->actions);
		peers_run_actions(p);
	} else if (m->ops == &pw_fleet_request_ops) {
		if (pw_member_effective_epoch(p->member))
			peers_publish_fleet(p, pw_member_effective_table(p->member));
	} else if (m->ops == &pw_drain_ops) {
		p->leaving = true;
		pw_member_start_leaving(p->member, peers_now_us(p), p->actions);
		peers_run_actions(p);
	}
	pw_msg_free(m);
}

/*
 * Fetches the member table and the document from seed peers until this VM is a member and has a
 * document, so that a new VM can join while the store is down.
 */
static void fetch_from_seeds(struct peers *p, uint64_t now_us)
{
	char **seeds = p->directory->settings->seed_peers;
	bool is_member = peers_find_member(p, p->self.name) != NULL;

	if (!seeds || now_us < p->seed_fetch_due_us || (is_member && p->document))
		return;
	p->seed_fetch_due_us = now_us + SEED_FETCH_INTERVAL_US;
	for (; *seeds; seeds++) {
		if (strcmp(*seeds, p->self.address) == 0)
			continue;
		peers_send_empty(p, *seeds, PW_PEER_TABLE_FETCH);
		if (!p->document)
			peers_send_empty(p, *seeds, PW_PEER_DOCUMENT_FETCH);
	}
}

static void read_vm_list(struct peers *p, uint64_t now_us)
{
	const struct pw_member_table *t = pw_member_newest_table(p->member);
	struct pw_store_range range = { .key = "vms/", .prefix = true };

	if (now_us < p->vm_list_due_us ||
	    (pw_member_table_find(t, p->self.name) &&
	     pw_member_rendezvous_rank(t->members, p->self.name, "vms") >= VM_LIST_READER_COUNT))
		return;
	p->vm_list_due_us = now_us + VM_LIST_READ_INTERVAL_US;
	pw_mailbox_send(p->directory->store,
			pw_store_range_msg_new(p->task.inbox, TAG_VM_LIST, PW_STORE_CALL_TIMEOUT_US,
					       &range));
}

static void send_admin_status(struct peers *p, uint64_t now_us)
{
	const struct pw_member_table *t = pw_member_newest_table(p->member);
	GString *json = g_string_new("{");
	uint64_t until_us = 0;
	bool has_lease = pw_member_holds_lease(p->member, now_us, &until_us);

	if (now_us < p->admin_status_due_us) {
		g_string_free(json, TRUE);
		return;
	}
	p->admin_status_due_us = now_us + ADMIN_STATUS_INTERVAL_US;
	g_string_append_printf(
		json,
		"\"epoch\":%" PRIu64 ",\"epoch_in_effect\":%" PRIu64 ",\"lease\":%s,\"members\":[",
		t->epoch, pw_member_effective_epoch(p->member), has_lease ? "true" : "false");
	for (guint i = 0; i < t->members->len; i++) {
		const struct pw_member_entry *e =
			&g_array_index(t->members, struct pw_member_entry, i);

		g_string_append_printf(
			json, "%s{\"name\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"live\":%s}",
			i ? "," : "", e->name, e->address, e->zone,
			pw_member_is_live(p->member, e->name, now_us) ? "true" : "false");
	}
	g_string_append(json, "]}");
	pw_mailbox_send(p->directory->admin,
			pw_admin_status_msg("membership", g_string_free(json, FALSE)));
}

static void peers_tick(struct pw_timer *timer, uint64_t now_us)
{
	struct peers *p = (struct peers *)((char *)timer - offsetof(struct peers, tick_timer));

	pw_member_tick(p->member, now_us, p->actions);
	peers_run_actions(p);
	fetch_from_seeds(p, now_us);
	read_vm_list(p, now_us);
	send_admin_status(p, now_us);
	pw_loop_timer_set(p->task.loop, timer, now_us + TICK_INTERVAL_US);
}

static const struct pw_timer_ops tick_ops = { .expire = peers_tick };

static int peers_start(struct pw_task *t)
{
	struct peers *p = (struct peers *)t;
	struct pw_member_options options = PW_MEMBER_OPTIONS_INIT;
	const struct pw_process_settings *s;
	int rc;

	p->directory = ((const struct pw_task_args *)t->args)->directory;
	s = p->directory->settings;
	g_strlcpy(p->self.name, s->vm_name, sizeof(p->self.name));
	g_strlcpy(p->self.address, s->peer_address, sizeof(p->self.address));
	g_strlcpy(p->self.zone, s->availability_zone, sizeof(p->self.zone));
	/* From the wall clock, so that it grows with each start, even after a reboot of the VM. */
	p->self.incarnation = (uint64_t)g_get_real_time();
	options.self = p->self;
	rc = peers_open_sockets(p);
	if (!rc)
		rc = pw_member_new(&p->member, &options);
	if (rc) {
		peers_close_sockets(p);
		return rc;
	}
	pw_member_table_init(&p->proposed_table);
	peers_checks_start(p);
	p->actions = g_array_new(FALSE, TRUE, sizeof(struct pw_member_action));
	p->hints = g_array_new(FALSE, TRUE, sizeof(struct pw_quota_hint));
	p->report.confirmed_age_us = PW_REVISION_AGE_UNKNOWN;
	p->report.store_age_us = PW_REVISION_AGE_UNKNOWN;
	p->tick_timer.ops = &tick_ops;
	pw_loop_timer_set(t->loop, &p->tick_timer, peers_now_us(p));
	pw_mailbox_send(p->directory->config, pw_snapshot_request_msg(t->inbox));
	pw_event_log(PW_EVENT_LISTENING, "task=peers address=%s", p->self.address);
	return PW_OK;
}

static void peers_stop(struct pw_task *t)
{
	struct peers *p = (struct peers *)t;

	pw_loop_timer_clear(t->loop, &p->tick_timer);
	peers_checks_stop(p);
	peers_close_sockets(p);
	pw_member_free(p->member);
	pw_member_table_dispose(&p->proposed_table);
	pw_document_unref(p->document);
	g_array_unref(p->actions);
	g_array_unref(p->hints);
}

const struct pw_task_ops pw_peers_ops = {
	.name = "peers",
	.size_bytes = sizeof(struct peers),
	.start = peers_start,
	.receive = peers_receive,
	.stop = peers_stop,
};
