/*
 * Suite of the cluster task. The test itself takes the place of the store task, the catalogue task,
 * the gateways, the promoter, the other members of the fleet and the servers.
 */
#include "suite.h"

#include <arpa/inet.h>
#include <glib.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "binding.h"
#include "control/catalog.h"
#include "control/cluster.h"
#include "control/cluster_private.h"
#include "control/peers.h"
#include "control/store.h"
#include "directory.h"
#include "pw/codec/primaries.h"
#include "pw/codec/pulse.h"
#include "pw/core/clock.h"
#include "pw/core/counter.h"
#include "pw/core/error.h"
#include "pw/core/event.h"
#include "pw/platform/platform.h"
#include "traffic/request.h"

#define GROUP           "orders"
#define OTHER_GROUP     "fees"
#define PRIMARIES_KEY   "pimentowing/example/primaries"
#define MEMBERS_PREFIX  "pimentowing/example/members/"

#define SERVER_COUNT    2
#define CONNECTIONS_MAX 16
/* Enough for a large fleet (PULSE_FULL_MESH_MAX); a member counts once it is listed. */
#define MEMBER_COUNT       18
#define SMALL_MEMBER_COUNT 4
#define GATEWAY_COUNT      2

#define CATALOG_VERSION    40

/* Contents of the record before the change: its newest token, and the primary of GROUP. */
#define FIRST_TOKEN        10
#define FIRST_GENERATION   7
#define REPORT_INTERVAL_US (50 * PW_US_PER_MS)

/* Answers to status queries. Server 0 is the primary at the start. */
struct fake_server {
	char id[8], address[32];
	int listener;
	int connections[CONNECTIONS_MAX]; /* -1: unused */
	char input[CONNECTIONS_MAX][256];
	uint32_t accepted_count; /* connections */
	bool is_primary;
	uint64_t term;
	uint64_t step_down_term; /* of the last command to step down; 0: none */
	const char *acceptance;  /* answer to STARTUP; NULL: READY */
	const char *status;      /* rest of the status answer after its row; NULL: as usual */
};

/* Another VM. */
struct fake_member {
	char name[8], address[32];
	int fd;
	bool listed, is_silent, confirms;
	bool settles;            /* it says so, without confirming */
	bool asks;               /* its pulses want a reply */
	bool delegates;          /* it delegates a permit when it is asked */
	bool is_asked;           /* since its last pulse */
	uint32_t unreachable_ms; /* in its pulses, about the primary of GROUP */
	uint64_t sequence;
	bool needs_permit;          /* it asks for a delegated permit */
	int64_t primaries_revision; /* of the record that it knows; 0: none */
	char *record;               /* text of that record, which its pulses contain; NULL: none */
	uint32_t record_count;      /* pulses with a record that it got from the VM under test */
	bool vm_needs_permit;       /* the last pulse of that VM asked for a permit */
	uint32_t lost_vote_count; /* notices of that VM that it cannot reach the primary of GROUP */
	int64_t noticed_revision; /* newest confirmed revision in its notices */
	uint32_t catalog_notice_count; /* notices of that VM with CATALOG_VERSION */
	bool has_catalog;              /* its pulses say that it has just read CATALOG_VERSION */
	uint32_t delegated_count;      /* delegated permits that it got from the VM under test */
	uint32_t pulse_count, promise_count; /* pulses of that VM, and those with a promise */
	uint32_t asked_count;                /* pulses of that VM that want a reply */
	uint32_t told_lost_count;            /* pulses of that VM that say that a primary is lost */
	uint64_t vm_incarnation, vm_sequence; /* of the last pulse of that VM */
};

enum gateway_view { VIEW_NONE, VIEW_REACHED, VIEW_LOST };

enum record_answer {
	ANSWER_GIVEN,
	ANSWER_LOST,       /* the write takes effect */
	ANSWER_LOST_NOOP,  /* the write does not take effect */
	ANSWER_LOST_WATCH, /* the write takes effect, and the watch reports it */
};

typedef void (*edit_fn)(struct pw_primaries *p);

/* The cluster task, and the state of the parts that the test simulates. */
struct fixture {
	struct pw_process_settings settings;
	struct pw_binding binding;
	struct pw_directory directory;
	struct pw_task_args args;
	struct pw_mailbox *gateways[GATEWAY_COUNT], *other_inbox;
	pthread_t thread;
	char own_address[32];
	struct fake_server servers[SERVER_COUNT];
	struct fake_member members[MEMBER_COUNT];
	uint64_t next_report_us;
	/* Gateways. */
	enum gateway_view views[GATEWAY_COUNT];
	uint64_t lost_since_us;
	uint32_t member_count; /* in the last message to the gateways */
	uint32_t min_member_count;
	int64_t settled_revision;
	uint64_t permit_until_us, drain_limit_us; /* in the last message to the gateways */
	bool is_marked;                           /* GROUP in that message */
	/* Store. */
	struct pw_primaries *record;
	bool has_watch;
	uint32_t page_items_max;    /* 0: no limit */
	uint32_t failed_page_reads; /* number of reads of later pages that are still to fail */
	bool holds_record;          /* reads of the record are not answered */
	bool fails_record;          /* reads of the record are refused */
	enum cluster_tag failed_page_tag;
	bool holds_revocations;      /* revocations of members' leases are not answered */
	bool loses_own_lease;        /* the next renewal is answered with "not found" */
	bool holds_grants;           /* grants of leases are not answered */
	bool loses_later_renewals;   /* all further renewals are answered with "not found" */
	uint32_t sync_replica_count; /* of GROUP */
	bool both_groups;            /* OTHER_GROUP has servers, and its primary leaves too */
	bool is_replica_evacuated;   /* for longer than its servers may be used */
	bool leaving_with_spare;     /* the primary leaves, and a third server is a candidate */
	int64_t own_lease_id;        /* last lease that was granted */
	/* Entry of the VM under test, and a registration that is carried out after the next one. */
	int64_t entry_revision, entry_lease_id;
	bool delays_registration, has_late_registration;
	int64_t late_compare_revision, late_lease_id;
	uint32_t registration_count; /* that were answered with success */
	enum record_answer answer;   /* to the next write with `answer_tag` */
	enum cluster_tag answer_tag;
	edit_fn edit; /* change by another VM just before the next write with `edit_tag` */
	enum cluster_tag edit_tag;
	/* What the VM did. */
	uint32_t claim_count, clear_count, record_count, list_count;
	uint32_t set_write_count; /* writes of replica sets */
	uint32_t revoked_members; /* bit i: the lease of member i */
	bool revoked_own_lease;
	uint32_t promote_count;
	uint64_t first_revoked_us, first_promoted_us; /* 0: not yet */
	uint64_t won_before, lost_before, started_before;
};

/* The promoter has no argument for the test's state, so the running case is found here. */
static struct {
	GMutex lock;
	char server_id[8]; /* of the last request */
	uint32_t count;
	int32_t code; /* of the answers */
} promotions;

struct fake_promoter {
	struct pw_promoter base;
	struct pw_loop *loop;
	struct pw_timer timer;
	struct pw_promotion_call *call;
};

static void promoter_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct fake_promoter *p =
		(struct fake_promoter *)((char *)t - offsetof(struct fake_promoter, timer));

	(void)now_us;
	p->call->ops->done(p->call, promotions.code, "answer");
}

static const struct pw_timer_ops promoter_timer_ops = { .expire = promoter_timer_expired };

static int promoter_promote(struct pw_promoter *base, const struct pw_promotion_request *request,
			    struct pw_promotion_call *call)
{
	struct fake_promoter *p = (struct fake_promoter *)base;

	g_mutex_lock(&promotions.lock);
	promotions.count++;
	g_strlcpy(promotions.server_id, request->server_id, sizeof(promotions.server_id));
	g_mutex_unlock(&promotions.lock);
	p->call = call;
	pw_loop_timer_set(p->loop, &p->timer, pw_loop_now_us(p->loop) + PW_US_PER_MS);
	return PW_OK;
}

static void promoter_free(struct pw_promoter *base)
{
	struct fake_promoter *p = (struct fake_promoter *)base;

	pw_loop_timer_clear(p->loop, &p->timer);
	g_free(p);
}

static const struct pw_promoter_ops promoter_ops = {
	.promote = promoter_promote,
	.free = promoter_free,
};

static int promoter_new(struct pw_promoter **out, struct pw_loop *loop, const char *address)
{
	struct fake_promoter *p = g_new0(struct fake_promoter, 1);

	(void)address;
	p->base.ops = &promoter_ops;
	p->loop = loop;
	p->timer.ops = &promoter_timer_ops;
	*out = &p->base;
	return PW_OK;
}

static int open_socket(int type, char address[32])
{
	struct sockaddr_in a = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(a);
	int fd = socket(AF_INET, type | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	getsockname(fd, (struct sockaddr *)&a, &size);
	snprintf(address, 32, "127.0.0.1:%u", ntohs(a.sin_port));
	return fd;
}

static void answer_line(struct fake_server *s, int fd, const char *line)
{
	char answer[256];
	uint64_t term = 0;

	if (sscanf(line, "QUERY - STEPDOWN %" SCNu64, &term) == 1) {
		s->step_down_term = term;
		s->is_primary = s->is_primary && s->term >= term;
	}
	if (g_str_has_prefix(line, "STARTUP "))
		snprintf(answer, sizeof(answer), "%s",
			 s->acceptance ? s->acceptance : "READY I -\r\n");
	else
		snprintf(answer, sizeof(answer),
			 "DATAROW %s %" PRIu64 " %" PRIu64 ".100 0 0 0 1\r\n"
			 "%s",
			 s->is_primary ? "primary" : "replica", s->term, s->term,
			 s->status ? s->status : "COMPLETE -\r\nREADY I -\r\n");
	(void)!send(fd, answer, strlen(answer), MSG_NOSIGNAL);
}

static void serve_connection(struct fake_server *s, size_t k)
{
	size_t size_bytes = strlen(s->input[k]);
	ssize_t n = recv(s->connections[k], s->input[k] + size_bytes,
			 sizeof(s->input[k]) - 1 - size_bytes, MSG_DONTWAIT);
	char *end;

	if (n < 0)
		return;
	if (n == 0) {
		close(s->connections[k]);
		s->connections[k] = -1;
		return;
	}
	s->input[k][size_bytes + (size_t)n] = '\0';
	while ((end = strstr(s->input[k], "\r\n"))) {
		*end = '\0';
		answer_line(s, s->connections[k], s->input[k]);
		memmove(s->input[k], end + 2, strlen(end + 2) + 1);
	}
}

static void serve(struct fake_server *s)
{
	int fd;

	while ((fd = accept4(s->listener, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0) {
		size_t k = 0;

		while (k < CONNECTIONS_MAX && s->connections[k] >= 0)
			k++;
		ck_assert_uint_lt(k, CONNECTIONS_MAX);
		s->connections[k] = fd;
		s->accepted_count++;
		s->input[k][0] = '\0';
	}
	for (size_t k = 0; k < CONNECTIONS_MAX; k++) {
		if (s->connections[k] >= 0)
			serve_connection(s, k);
	}
}

/* Makes the server of the last promotion request the primary of the next term. */
static void apply_promotions(struct fixture *x)
{
	g_mutex_lock(&promotions.lock);
	if (promotions.count && !x->first_promoted_us)
		x->first_promoted_us = pw_clock_now_us();
	for (size_t i = 0; x->promote_count < promotions.count && i < SERVER_COUNT; i++) {
		if (promotions.code || strcmp(x->servers[i].id, promotions.server_id) != 0)
			continue;
		x->servers[i].is_primary = true;
		x->servers[i].term++;
	}
	x->promote_count = promotions.count;
	g_mutex_unlock(&promotions.lock);
}

static void send_pulse(struct fixture *x, struct fake_member *m)
{
	uint8_t data[PW_PULSE_RECORD_MAX_BYTES];
	struct pw_address to;
	struct pw_pulse p;
	size_t size_bytes;

	pw_pulse_init(&p);
	p.sender = g_strdup(m->name);
	p.address = g_strdup(m->address);
	p.incarnation = 1;
	p.sequence = ++m->sequence;
	p.confirmed_revision = m->confirms ? x->record->revision : 0;
	p.settled_revision = m->confirms || m->settles ? x->record->revision : 0;
	p.wants_reply = m->asks;
	p.delegated_permit_ms = m->delegates && m->is_asked ? 1000 : 0;
	m->is_asked = false;
	p.echo_incarnation = m->vm_incarnation;
	p.echo_sequence = m->vm_sequence;
	p.needs_permit = m->needs_permit;
	/* A permit is delegated for the record that the receiver knows. */
	p.primaries_revision = m->delegates ? x->settled_revision : m->primaries_revision;
	p.primaries_record = g_strdup(m->record);
	p.catalog_version = m->has_catalog ? CATALOG_VERSION : 0;
	if (m->unreachable_ms)
		pw_pulse_add_group(&p, GROUP, FIRST_GENERATION, m->unreachable_ms, false);
	size_bytes = pw_pulse_encode(data, &p);
	pw_pulse_dispose(&p);
	ck_assert_int_eq(pw_address_parse(&to, x->own_address), PW_OK);
	(void)!sendto(m->fd, data, size_bytes, 0, (struct sockaddr *)&to.socket, to.size_bytes);
}

static void receive_pulses(struct fake_member *m)
{
	uint8_t data[PW_PULSE_RECORD_MAX_BYTES];
	ssize_t n;

	while ((n = recv(m->fd, data, sizeof(data), MSG_DONTWAIT)) > 0) {
		struct pw_pulse p;

		ck_assert_int_eq(pw_pulse_decode(&p, data, (size_t)n), PW_OK);
		m->pulse_count++;
		m->asked_count += p.wants_reply;
		m->is_asked = m->is_asked || p.wants_reply;
		m->vm_incarnation = p.incarnation;
		m->vm_sequence = p.sequence;
		m->promise_count += p.no_change_promise_ms > 0;
		m->delegated_count += p.delegated_permit_ms > 0;
		m->record_count += p.primaries_record != NULL;
		m->vm_needs_permit = p.needs_permit;
		for (guint i = 0; p.notice && i < p.groups->len; i++)
			m->lost_vote_count +=
				g_array_index(p.groups, struct pw_pulse_group, i).unreachable_ms >
				0;
		for (guint i = 0; i < p.groups->len; i++)
			m->told_lost_count +=
				g_array_index(p.groups, struct pw_pulse_group, i).unreachable_ms >
				0;
		m->catalog_notice_count += p.notice && p.catalog_version == CATALOG_VERSION;
		if (p.notice)
			m->noticed_revision = MAX(m->noticed_revision, p.confirmed_revision);
		pw_pulse_dispose(&p);
	}
}

static void send_report(struct fixture *x, uint32_t gateway_index)
{
	struct pw_traffic_report *r = pw_traffic_report_new(gateway_index);
	struct pw_primary_reachability reachability = {
		.group = g_strdup(GROUP),
		.generation = FIRST_GENERATION,
	};

	r->settled_revision = x->settled_revision;
	if (x->views[gateway_index] == VIEW_LOST)
		reachability.unreachable_since_us = x->lost_since_us;
	else if (x->views[gateway_index] == VIEW_REACHED)
		reachability.last_answer_us = pw_clock_now_us();
	g_array_append_val(r->reachability, reachability);
	pw_mailbox_send(x->directory.cluster, &r->base);
}

static void handle_gateway_message(void *data, struct pw_msg *m)
{
	struct fixture *x = data;
	const struct pw_primaries_msg *msg = (const struct pw_primaries_msg *)m;

	if (m->ops == &pw_primaries_msg_ops) {
		x->member_count = msg->member_count;
		x->permit_until_us = msg->permit_until_us;
		x->drain_limit_us = msg->drain_limit_us;
		x->is_marked = msg->primaries && pw_primaries_find(msg->primaries, GROUP)->changing;
		x->min_member_count = MIN(x->min_member_count, msg->member_count);
		if (msg->primaries)
			x->settled_revision = msg->primaries->revision;
	}
	pw_msg_free(m);
}

static void handle_other_message(void *data, struct pw_msg *m)
{
	(void)data;
	pw_msg_free(m);
}

static struct pw_store_kv record_kv(const struct fixture *x)
{
	char *text = pw_primaries_encode(x->record);

	return (struct pw_store_kv){
		.key = g_strdup(PRIMARIES_KEY),
		.value = text,
		.size_bytes = strlen(text),
		.mod_revision = x->record->revision,
	};
}

static void send_result(struct fixture *x, uint64_t tag, struct pw_store_result *r)
{
	struct pw_store_result_msg *m = g_new0(struct pw_store_result_msg, 1);

	m->base.ops = &pw_store_result_msg_ops;
	m->tag = tag;
	m->result = r;
	pw_mailbox_send(x->directory.cluster, &m->base);
}

/* Reports the current record through the watch. */
static void publish_record(struct fixture *x)
{
	struct pw_store_result *r;
	struct pw_store_watch_result *watch;

	if (!x->has_watch)
		return;
	r = pw_store_result_new(PW_STORE_WATCH, PW_OK, NULL);
	watch = (struct pw_store_watch_result *)r;
	watch->events = g_new0(struct pw_store_event, 1);
	watch->events[0] = (struct pw_store_event){ .kind = PW_STORE_PUT, .kv = record_kv(x) };
	watch->event_count = 1;
	r->revision = x->record->revision;
	send_result(x, TAG_PRIMARIES_WATCH, r);
}

/* Changes the record in the place of another VM. */
static void edit_record(struct fixture *x, edit_fn edit)
{
	edit(x->record);
	x->record->revision++;
}

static void run_range(struct fixture *x, uint64_t tag, const struct pw_store_range *req)
{
	bool is_list = req->prefix, is_later_page = is_list && req->after_key;
	struct pw_store_result *r = pw_store_result_new(PW_STORE_RANGE, PW_OK, NULL);
	struct pw_store_range_result *range = (struct pw_store_range_result *)r;

	if (!is_list && x->holds_record) {
		pw_store_result_free(r);
		return;
	}
	if (is_later_page && x->failed_page_reads && (tag & 0xff) == x->failed_page_tag) {
		x->failed_page_reads--;
		pw_store_result_free(r);
		send_result(x, tag, pw_store_result_new(PW_STORE_RANGE, PW_ETIMEOUT, "no answer"));
		return;
	}
	if (!is_list && x->fails_record) {
		pw_store_result_free(r);
		send_result(x, tag, pw_store_result_new(PW_STORE_RANGE, PW_EUNAVAILABLE, "503"));
		return;
	}
	x->list_count += is_list;
	range->kvs = g_new0(struct pw_store_kv, MEMBER_COUNT);
	for (size_t i = 0; is_list && i < MEMBER_COUNT; i++) {
		const struct fake_member *m = &x->members[i];
		const struct pw_fleet_member e = {
			.name = (char *)(uintptr_t)m->name,
			.address = (char *)(uintptr_t)m->address,
			.availability_zone = (char *)(uintptr_t) "zone-1",
		};
		char *key = g_strconcat(MEMBERS_PREFIX, m->name, NULL);

		if (!m->listed || x->revoked_members >> i & 1 ||
		    (req->after_key && strcmp(key, req->after_key) <= 0)) {
			g_free(key);
			continue;
		}
		if (x->page_items_max && range->kv_count == x->page_items_max) {
			range->has_more = true;
			g_free(key);
			break;
		}
		range->kvs[range->kv_count] = (struct pw_store_kv){
			.key = key,
			.value = pw_fleet_member_encode(&e),
			.mod_revision = 1,
			.lease_id = 100 + (int64_t)i,
		};
		range->kvs[range->kv_count].size_bytes = strlen(range->kvs[range->kv_count].value);
		range->kv_count++;
	}
	if (!is_list)
		range->kvs[range->kv_count++] = record_kv(x);
	r->revision = x->record->revision;
	send_result(x, tag, r);
}

static void run_record_write(struct fixture *x, uint64_t tag, const struct pw_store_txn *req)
{
	enum cluster_tag kind = (enum cluster_tag)(tag & 0xff);
	struct pw_store_txn_result *txn;
	struct pw_store_result *r;
	struct pw_primaries *record;
	enum record_answer answer = kind == x->answer_tag ? x->answer : ANSWER_GIVEN;

	x->claim_count += kind == TAG_CLAIM;
	x->clear_count += kind == TAG_CLEAR_MARK;
	x->record_count += kind == TAG_RECORD_PRIMARY;
	x->set_write_count += kind == TAG_REPLICA_SETS;
	if (x->edit && kind == x->edit_tag) {
		edit_record(x, x->edit);
		x->edit = NULL;
	}
	if (kind == x->answer_tag)
		x->answer = ANSWER_GIVEN;
	if (answer == ANSWER_LOST_NOOP) {
		send_result(x, tag, pw_store_result_new(PW_STORE_TXN, PW_ETIMEOUT, "no answer"));
		return;
	}
	if (req->compares[0].revision != x->record->revision) {
		r = pw_store_result_new(PW_STORE_TXN, PW_ECONFLICT, "a comparison failed");
		txn = (struct pw_store_txn_result *)r;
		txn->kvs = g_new0(struct pw_store_kv, 1);
		txn->kvs[0] = record_kv(x);
		txn->kv_count = 1;
		send_result(x, tag, r);
		return;
	}
	ck_assert_int_eq(pw_primaries_decode(&record, req->changes[0].value,
					     req->changes[0].size_bytes, x->record->revision + 1),
			 PW_OK);
	pw_primaries_unref(x->record);
	x->record = record;
	if (answer == ANSWER_LOST_WATCH)
		publish_record(x);
	r = pw_store_result_new(PW_STORE_TXN, answer == ANSWER_GIVEN ? PW_OK : PW_ETIMEOUT,
				answer == ANSWER_GIVEN ? NULL : "no answer");
	r->revision = record->revision;
	send_result(x, tag, r);
}

static bool write_entry(struct fixture *x, int64_t compare_revision, int64_t lease_id)
{
	if (compare_revision != x->entry_revision)
		return false;
	x->entry_revision = ++x->record->revision;
	x->entry_lease_id = lease_id;
	return true;
}

static void run_registration(struct fixture *x, uint64_t tag, const struct pw_store_txn *req)
{
	/* Without a condition the write always takes effect. */
	int64_t revision = req->compare_count ? req->compares[0].revision : x->entry_revision;
	struct pw_store_result *r = pw_store_result_new(PW_STORE_TXN, PW_OK, NULL);
	struct pw_store_txn_result *txn = (struct pw_store_txn_result *)r;

	if (x->delays_registration) {
		x->delays_registration = false;
		x->has_late_registration = true;
		x->late_compare_revision = req->compare_count ? revision : -1;
		x->late_lease_id = req->changes[0].lease_id;
		r->code = PW_ETIMEOUT;
	} else if (write_entry(x, revision, req->changes[0].lease_id)) {
		r->revision = x->entry_revision;
		x->registration_count++;
	} else {
		r->code = PW_ECONFLICT;
		txn->kvs = g_new0(struct pw_store_kv, 1);
		txn->kvs[0].mod_revision = x->entry_revision;
		txn->kv_count = 1;
	}
	send_result(x, tag, r);
}

static void run_lease_call(struct fixture *x, const struct pw_store_lease_msg *req,
			   enum pw_store_kind kind)
{
	struct pw_store_result *r = pw_store_result_new(kind, PW_OK, NULL);
	struct pw_store_lease_result *lease = (struct pw_store_lease_result *)r;

	if (kind == PW_STORE_LEASE_GRANT)
		x->own_lease_id++;
	if (kind == PW_STORE_LEASE_GRANT && x->holds_grants) {
		pw_store_result_free(r);
		return;
	}
	lease->lease_id = x->own_lease_id;
	lease->ttl_us = req->ttl_us;
	if (kind == PW_STORE_LEASE_KEEP_ALIVE && x->loses_later_renewals)
		r->code = PW_ENOTFOUND;
	if (kind == PW_STORE_LEASE_KEEP_ALIVE && x->loses_own_lease) {
		x->loses_own_lease = false;
		r->code = PW_ENOTFOUND;
	}
	if (kind == PW_STORE_LEASE_REVOKE && req->lease_id >= 100) {
		x->revoked_members |= UINT32_C(1) << (req->lease_id - 100);
		if (!x->first_revoked_us)
			x->first_revoked_us = pw_clock_now_us();
		if (x->holds_revocations) {
			pw_store_result_free(r);
			return;
		}
	} else if (kind == PW_STORE_LEASE_REVOKE) {
		x->revoked_own_lease = true;
	}
	send_result(x, req->base.tag, r);
}

static void handle_store_request(void *data, struct pw_msg *m)
{
	struct fixture *x = data;
	const struct pw_store_request_msg *req = (const struct pw_store_request_msg *)m;
	const char *kind = m->ops->name;

	if (!strcmp(kind, "store_range"))
		run_range(x, req->tag, &((const struct pw_store_range_msg *)m)->range);
	else if (!strcmp(kind, "store_txn") && req->tag == TAG_REGISTER)
		run_registration(x, req->tag, &((const struct pw_store_txn_msg *)m)->txn);
	else if (!strcmp(kind, "store_txn"))
		run_record_write(x, req->tag, &((const struct pw_store_txn_msg *)m)->txn);
	else if (!strcmp(kind, "store_lease_grant"))
		run_lease_call(x, (const struct pw_store_lease_msg *)m, PW_STORE_LEASE_GRANT);
	else if (!strcmp(kind, "store_lease_keep_alive"))
		run_lease_call(x, (const struct pw_store_lease_msg *)m, PW_STORE_LEASE_KEEP_ALIVE);
	else if (!strcmp(kind, "store_lease_revoke"))
		run_lease_call(x, (const struct pw_store_lease_msg *)m, PW_STORE_LEASE_REVOKE);
	else if (!strcmp(kind, "store_watch"))
		x->has_watch = true;
	pw_msg_free(m);
}

static void add_server(struct pw_server_list *list, const char *id, const char *group,
		       const char *address, bool leaving, bool claims_primary)
{
	struct pw_server_entry *e = g_new0(struct pw_server_entry, 1);

	e->id = g_strdup(id);
	e->group = g_strdup(group);
	e->address = g_strdup(address);
	e->availability_zone = g_strdup("zone-1");
	e->slots = 3;
	e->leaving = leaving;
	e->claims_primary = claims_primary;
	g_ptr_array_add(list->entries, e);
}

static void send_catalog(struct fixture *x, bool primary_leaves)
{
	struct pw_catalog_msg *catalog_msg = g_new0(struct pw_catalog_msg, 1);
	struct pw_servers_msg *servers_msg = g_new0(struct pw_servers_msg, 1);
	struct pw_catalog_group *g = g_new0(struct pw_catalog_group, 1);

	g->name = g_strdup(GROUP);
	g->connection_limit = 20;
	g->sync_replica_count = x->sync_replica_count;
	catalog_msg->base.ops = &pw_catalog_msg_ops;
	catalog_msg->catalog = pw_catalog_new();
	pw_catalog_add_group(catalog_msg->catalog, g);
	pw_mailbox_send(x->directory.cluster, &catalog_msg->base);
	servers_msg->base.ops = &pw_servers_msg_ops;
	servers_msg->servers = pw_server_list_new();
	for (uint32_t i = 0; i < SERVER_COUNT; i++) {
		add_server(servers_msg->servers, x->servers[i].id, GROUP, x->servers[i].address,
			   i == 0 && (primary_leaves || x->leaving_with_spare), i == 0);
		if (i > 0 && x->is_replica_evacuated) {
			struct pw_server_entry *e =
				g_ptr_array_index(servers_msg->servers->entries, i);

			e->leaving = e->evacuated = true;
			e->evacuation_stop_us = 1;
		}
	}
	if (x->leaving_with_spare)
		add_server(servers_msg->servers, "s3", GROUP, x->servers[1].address, false, false);
	for (uint32_t i = 0; x->both_groups && i < SERVER_COUNT; i++)
		add_server(servers_msg->servers, i ? "f2" : "f1", OTHER_GROUP,
			   x->servers[i].address, i == 0, i == 0);
	pw_mailbox_send(x->directory.cluster, &servers_msg->base);
}

static void *run_cluster(void *arg)
{
	struct fixture *x = arg;

	pw_task_run(&pw_cluster_ops, x->directory.cluster, &x->args);
	return NULL;
}

/* Fills in the parts that differ between cases after this and before start(). */
static void setup(struct fixture *x)
{
	*x = (struct fixture){ .min_member_count = UINT32_MAX };
	for (uint32_t i = 0; i < SERVER_COUNT; i++) {
		struct fake_server *s = &x->servers[i];

		snprintf(s->id, sizeof(s->id), "s%u", i + 1);
		s->listener = open_socket(SOCK_STREAM, s->address);
		ck_assert_int_eq(listen(s->listener, 16), 0);
		memset(s->connections, -1, sizeof(s->connections));
		s->is_primary = i == 0;
		s->term = 3;
	}
	for (uint32_t i = 0; i < MEMBER_COUNT; i++) {
		struct fake_member *m = &x->members[i];

		snprintf(m->name, sizeof(m->name), "vm%u", i + 2);
		m->fd = open_socket(SOCK_DGRAM, m->address);
		m->is_silent = true;
	}
	x->record = pw_primaries_new();
	x->record->revision = 20;
	x->record->fencing_token = FIRST_TOKEN;
	x->record->holder = g_strdup("vm9");
	pw_primaries_set(x->record, GROUP, x->servers[0].id, NULL, FIRST_GENERATION);
	pw_primaries_set(x->record, OTHER_GROUP, "f1", NULL, FIRST_TOKEN);
	close(open_socket(SOCK_DGRAM, x->own_address));
	promotions.count = 0;
	promotions.code = PW_OK;
	x->won_before = pw_counter_get(PW_COUNTER_FAILOVERS_WON);
	x->lost_before = pw_counter_get(PW_COUNTER_FAILOVERS_LOST);
	x->started_before = pw_counter_get(PW_COUNTER_FAILOVERS_STARTED);
}

static void start(struct fixture *x, bool primary_leaves)
{
	x->settings = (struct pw_process_settings){
		.vm_name = (char *)(uintptr_t) "vm1",
		.availability_zone = (char *)(uintptr_t) "zone-1",
		.service_name = (char *)(uintptr_t) "example",
		.peer_address = x->own_address,
	};
	x->binding = (struct pw_binding){
		.name = "test",
		.promoter_new = promoter_new,
		.server = &pw_platform_server_dialect,
	};
	pw_mailbox_new(&x->other_inbox);
	x->directory = (struct pw_directory){
		.settings = &x->settings,
		.binding = &x->binding,
		.admin = x->other_inbox,
		.catalog = x->other_inbox,
		.shutdown = x->other_inbox,
		.gateways = x->gateways,
		.gateway_count = GATEWAY_COUNT,
	};
	for (uint32_t i = 0; i < GATEWAY_COUNT; i++)
		pw_mailbox_new(&x->gateways[i]);
	pw_mailbox_new(&x->directory.cluster);
	pw_mailbox_new(&x->directory.store);
	x->args.directory = &x->directory;
	pthread_create(&x->thread, NULL, run_cluster, x);
	send_catalog(x, primary_leaves);
}

static void teardown(struct fixture *x)
{
	pw_mailbox_send(x->directory.cluster, pw_task_stop_msg_new());
	pthread_join(x->thread, NULL);
	pw_mailbox_free(x->directory.cluster);
	pw_mailbox_free(x->directory.store);
	pw_mailbox_free(x->other_inbox);
	for (uint32_t i = 0; i < GATEWAY_COUNT; i++)
		pw_mailbox_free(x->gateways[i]);
	for (uint32_t i = 0; i < SERVER_COUNT; i++) {
		for (size_t k = 0; k < CONNECTIONS_MAX; k++) {
			if (x->servers[i].connections[k] >= 0)
				close(x->servers[i].connections[k]);
		}
		close(x->servers[i].listener);
	}
	for (uint32_t i = 0; i < MEMBER_COUNT; i++)
		close(x->members[i].fd);
}

/*
 * Plays the simulated parts until a condition holds or the timeout passes. Returns whether the
 * condition holds.
 */
static bool wait_for(struct fixture *x, bool (*holds)(struct fixture *x), uint32_t timeout_ms)
{
	uint64_t end_us = pw_clock_now_us() + timeout_ms * PW_US_PER_MS;

	while (!holds(x)) {
		struct pollfd fd = { .fd = pw_mailbox_fd(x->directory.store), .events = POLLIN };
		uint64_t now_us = pw_clock_now_us();
		int64_t settled_before = x->settled_revision;

		if (now_us >= end_us)
			return false;
		poll(&fd, 1, 2);
		pw_mailbox_receive_all(x->directory.store, handle_store_request, x);
		pw_mailbox_receive_all(x->other_inbox, handle_other_message, x);
		for (uint32_t i = 0; i < GATEWAY_COUNT; i++)
			pw_mailbox_receive_all(x->gateways[i], handle_gateway_message, x);
		apply_promotions(x);
		for (uint32_t i = 0; i < SERVER_COUNT; i++)
			serve(&x->servers[i]);
		for (uint32_t i = 0; i < MEMBER_COUNT; i++)
			receive_pulses(&x->members[i]);
		if (now_us < x->next_report_us && x->settled_revision == settled_before)
			continue;
		x->next_report_us = now_us + REPORT_INTERVAL_US;
		for (uint32_t i = 0; i < GATEWAY_COUNT; i++)
			send_report(x, i);
		for (uint32_t i = 0; i < MEMBER_COUNT; i++) {
			if (!x->members[i].is_silent)
				send_pulse(x, &x->members[i]);
		}
	}
	return true;
}

/* Condition that never holds, to wait for the whole timeout. */
static bool never(struct fixture *x)
{
	(void)x;
	return false;
}

static bool has_claimed(struct fixture *x)
{
	return x->claim_count > 0;
}

static bool has_promoted(struct fixture *x)
{
	return x->promote_count != 0;
}

static bool has_revoked_member(struct fixture *x)
{
	return x->revoked_members != 0;
}

static bool has_left(struct fixture *x)
{
	return x->revoked_own_lease;
}

static bool has_change_ended(struct fixture *x)
{
	return pw_counter_get(PW_COUNTER_FAILOVERS_WON) > x->won_before ||
	       pw_counter_get(PW_COUNTER_FAILOVERS_LOST) > x->lost_before;
}

static void edit_take_over(struct pw_primaries *p)
{
	pw_primaries_mark(p, GROUP, "vm2", 1, false);
}

/* VM 2 takes the group over; this VM then claims the other group. */
static void edit_take_over_and_hold_other(struct pw_primaries *p)
{
	pw_primaries_mark(p, GROUP, "vm2", 1, false);
	pw_primaries_mark(p, OTHER_GROUP, "vm1", 1, false);
}

static void edit_claim_other_group(struct pw_primaries *p)
{
	pw_primaries_mark(p, OTHER_GROUP, "vm2", 1, false);
}

static void edit_finish(struct pw_primaries *p)
{
	pw_primaries_mark(p, GROUP, "vm2", 1, false);
	pw_primaries_set(p, GROUP, "s2", NULL, p->fencing_token);
}

/* An old build drops the tokens of all marks when it writes the record. */
static void drop_mark_tokens(struct pw_primaries *p)
{
	pw_primaries_find(p, GROUP)->mark_token = 0;
	pw_primaries_find(p, OTHER_GROUP)->mark_token = 0;
}

static void edit_take_over_by_old_build(struct pw_primaries *p)
{
	pw_primaries_mark(p, GROUP, "vm2", 1, false);
	drop_mark_tokens(p);
}

static void edit_rewrite_by_old_build(struct pw_primaries *p)
{
	drop_mark_tokens(p);
}

static const struct {
	const char *label;
	edit_fn edit;       /* by another VM while the change waits for a member */
	bool until_timeout; /* the change ends by its time limit; otherwise the VM leaves */
	bool cleared;       /* the VM has to clear the mark */
} abort_cases[] = {
	{ "leader too late clears the mark of its successor", edit_take_over, true, false },
	{ "leaving VM clears the mark of its successor", edit_take_over, false, false },
	{ "mark of an old build is cleared", edit_take_over_by_old_build, false, false },
	{ "completed change is written again", edit_finish, false, false },
	{ "own mark stays since another group was claimed", edit_claim_other_group, false, true },
	{ "own mark stays since an old build dropped its token", edit_rewrite_by_old_build, false,
	  true },
};

/* Fails if a change that ends early clears another change's mark, or leaves its own. */
START_TEST(test_abort_clears_own_mark_only)
{
	struct fixture x;
	bool waited, ended = true;
	struct pw_primary *primary;

	setup(&x);
	x.members[0].listed = true;
	x.members[0].is_silent = false;
	x.holds_revocations = true;
	start(&x, true);
	waited = wait_for(&x, has_revoked_member, 5000);
	edit_record(&x, abort_cases[_i].edit);
	publish_record(&x);
	if (abort_cases[_i].until_timeout) {
		wait_for(&x, never, 3800);
		ended = has_change_ended(&x);
	} else {
		pw_mailbox_send(x.directory.cluster, pw_drain_msg());
		ended = wait_for(&x, has_left, 2000);
	}
	teardown(&x);
	primary = pw_primaries_find(x.record, GROUP);
	ck_assert_msg(waited && ended,
		      "abort: %s; waited %d, ended %d, %u VMs, %u lists, %u claims, %u clears, "
		      "settled %" PRId64 " of %" PRId64,
		      abort_cases[_i].label, waited, ended, x.member_count, x.list_count,
		      x.claim_count, x.clear_count, x.settled_revision, x.record->revision);
	ck_assert_msg(x.clear_count == abort_cases[_i].cleared, "abort: %s; %u writes",
		      abort_cases[_i].label, x.clear_count);
	ck_assert_uint_eq(primary->changing,
			  !abort_cases[_i].cleared && abort_cases[_i].edit != edit_finish);
	ck_assert_uint_eq(x.promote_count, 0);
	pw_primaries_unref(x.record);
}
END_TEST

static const struct {
	const char *label;
	edit_fn edit;  /* by another VM just before the new primary is written */
	bool recorded; /* the VM has to write its new primary */
} conflict_cases[] = {
	{ "primary written over the mark of another change", edit_take_over_and_hold_other, false },
	{ "primary written over the primary of another change", edit_finish, false },
	{ "change given up since another group was claimed", edit_claim_other_group, true },
	{ "change given up since an old build dropped its token", edit_rewrite_by_old_build, true },
};

/* Fails if a new primary is written though the group's mark is not the change's own. */
START_TEST(test_primary_is_written_under_own_mark_only)
{
	bool recorded = conflict_cases[_i].recorded, ended;
	struct pw_primary *primary;
	struct fixture x;

	setup(&x);
	x.edit = conflict_cases[_i].edit;
	x.edit_tag = TAG_RECORD_PRIMARY;
	start(&x, true);
	ended = wait_for(&x, has_change_ended, 6000);
	teardown(&x);
	primary = pw_primaries_find(x.record, GROUP);
	ck_assert_msg(ended && x.promote_count == 1, "conflict: %s; ended %d, promotions %u",
		      conflict_cases[_i].label, ended, x.promote_count);
	ck_assert_msg((primary->generation == FIRST_TOKEN + 1) == recorded &&
			      x.record_count == (recorded ? 2 : 1),
		      "conflict: %s; generation %" PRIu64 ", %u writes", conflict_cases[_i].label,
		      primary->generation, x.record_count);
	pw_primaries_unref(x.record);
}
END_TEST

static void mark_group(struct pw_primaries *p)
{
	pw_primaries_mark(p, GROUP, "vm9", 1, false);
}

/* Guards against two VMs that lead a change of one group at the same time. */
START_TEST(test_second_takeover_waits_for_the_first)
{
	struct fixture x;

	setup(&x);
	mark_group(x.record);
	start(&x, false);
	(void)wait_for(&x, never, 5500);
	edit_record(&x, mark_group);
	publish_record(&x);
	(void)wait_for(&x, never, 2500);
	teardown(&x);
	pw_primaries_unref(x.record);
	ck_assert_msg(x.claim_count == 0, "claimed %u times while another VM leads the change",
		      x.claim_count);
}
END_TEST

static bool has_asked_for_permit(struct fixture *x)
{
	return x->members[0].vm_needs_permit;
}

static bool has_settled_next_record(struct fixture *x)
{
	return x->settled_revision > x->record->revision;
}

static const struct {
	const char *label;
	bool reaches_store;
	int32_t revision_step; /* from the record that the VM knows to the one in the pulse */
	uint32_t era;          /* of the record in the pulse */
	const char *text;      /* NULL: a valid record */
	bool is_applied;       /* expected */
} record_cases[] = {
	{ "newer record, the store turns the VM away", false, 1, 0, NULL, true },
	{ "newer record, the VM reads the store itself", true, 1, 0, NULL, false },
	{ "older record", false, -1, 0, NULL, false },
	{ "record of another era", false, 1, 3, NULL, false },
	{ "malformed record", false, 1, 0, "{\"fence\":", false },
};

/*
 * Guards against a VM that can use no primary until the store serves it again because another one
 * has been changed, and against a record that it must not use.
 */
START_TEST(test_record_in_pulse)
{
	struct pw_primaries *record;
	bool asked, settled;
	struct fixture x;

	setup(&x);
	x.members[0].listed = true;
	x.members[0].is_silent = false;
	start(&x, false);
	(void)wait_for(&x, never, 300);
	x.loses_later_renewals = x.holds_grants = !record_cases[_i].reaches_store;
	asked = record_cases[_i].reaches_store || wait_for(&x, has_asked_for_permit, 3000);
	record = pw_primaries_copy(x.record);
	pw_primaries_set(record, GROUP, "s2", NULL, FIRST_TOKEN + 1);
	record->era = record_cases[_i].era;
	x.members[0].primaries_revision = x.record->revision + record_cases[_i].revision_step;
	x.members[0].record = record_cases[_i].text ? g_strdup(record_cases[_i].text)
						    : pw_primaries_encode(record);
	settled = wait_for(&x, has_settled_next_record, 800);
	teardown(&x);
	ck_assert_msg(asked && settled == record_cases[_i].is_applied,
		      "%s: asked %d, settled %" PRId64 " of %" PRId64, record_cases[_i].label,
		      asked, x.settled_revision, x.record->revision);
	g_free(x.members[0].record);
	pw_primaries_unref(record);
	pw_primaries_unref(x.record);
}
END_TEST

static void mark_by_member(struct pw_primaries *p)
{
	pw_primaries_mark(p, GROUP, "vm5", 1, false);
}

static const struct {
	const char *label;
	uint32_t member_count;
	uint32_t vote_receiver_count; /* expected receivers of a notice that the primary is lost */
	uint32_t confirmation_receiver_count; /* of a notice that the mark of vm5 is confirmed */
} notice_cases[] = {
	{ "large fleet", MEMBER_COUNT, VOTE_RECEIVER_COUNT, 1 },
	{ "small fleet, whose regular pulses go to all", SMALL_MEMBER_COUNT, 0, 0 },
};

/*
 * Guards against the loss of a primary, or the confirmation of a mark, that the VM which has to act
 * on it learns only by a regular pulse, and against telling all VMs of a large fleet.
 */
START_TEST(test_notices_go_to_those_who_act)
{
	uint32_t vote_receiver_count = 0, confirmation_receiver_count = 0;
	struct fixture x;

	setup(&x);
	for (uint32_t i = 0; i < notice_cases[_i].member_count; i++) {
		x.members[i].listed = true;
		x.members[i].is_silent = false;
	}
	start(&x, false);
	(void)wait_for(&x, never, 2000);
	x.lost_since_us = pw_clock_now_us();
	x.views[0] = x.views[1] = VIEW_LOST;
	(void)wait_for(&x, never, 300);
	edit_record(&x, mark_by_member);
	publish_record(&x);
	(void)wait_for(&x, never, 300);
	teardown(&x);
	for (uint32_t i = 0; i < MEMBER_COUNT; i++) {
		vote_receiver_count += x.members[i].lost_vote_count > 0;
		confirmation_receiver_count += x.members[i].noticed_revision >= x.record->revision;
	}
	ck_assert_msg(vote_receiver_count == notice_cases[_i].vote_receiver_count,
		      "%s: %u VMs were told of the loss", notice_cases[_i].label,
		      vote_receiver_count);
	ck_assert_msg(confirmation_receiver_count == notice_cases[_i].confirmation_receiver_count &&
			      (!confirmation_receiver_count ||
			       x.members[3].noticed_revision >= x.record->revision),
		      "%s: %u VMs were told of the confirmation", notice_cases[_i].label,
		      confirmation_receiver_count);
	pw_primaries_unref(x.record);
}
END_TEST

static const struct {
	const char *label;
	bool is_own_read;
	bool is_told;          /* another VM has told of the same read before */
	uint32_t notice_count; /* expected for each member */
} catalog_cases[] = {
	{ "read of this VM", true, false, 1 },
	{ "read that another VM has told of", false, false, 0 },
	{ "read of this VM just after that of another", true, true, 0 },
};

/*
 * Guards against a read of the catalogue that every VM of a large fleet announces to all others,
 * which fills the links with the square of the fleet.
 */
START_TEST(test_only_reader_announces_catalogue)
{
	struct pw_catalog_freshness read = { .catalog_version = CATALOG_VERSION };
	struct fixture x;

	setup(&x);
	for (uint32_t i = 0; i < MEMBER_COUNT; i++) {
		x.members[i].listed = true;
		x.members[i].is_silent = false;
		x.members[i].has_catalog = catalog_cases[_i].is_told;
	}
	start(&x, false);
	(void)wait_for(&x, never, 1000);
	read.catalog_fresh_us = pw_clock_now_us();
	pw_mailbox_send(x.directory.cluster,
			pw_catalog_freshness_msg_new(&read, catalog_cases[_i].is_own_read));
	(void)wait_for(&x, never, 300);
	teardown(&x);
	for (uint32_t i = 0; i < MEMBER_COUNT; i++)
		ck_assert_msg(x.members[i].catalog_notice_count == catalog_cases[_i].notice_count,
			      "%s: %u notices to one member", catalog_cases[_i].label,
			      x.members[i].catalog_notice_count);
	pw_primaries_unref(x.record);
}
END_TEST

static const struct {
	const char *label;
	uint32_t member_count;
	bool needs_permit;     /* the first member */
	bool asks;             /* that member, for a reply */
	int32_t revision_step; /* from the record of the VM to that of the member */
	bool is_sent;          /* expected */
} record_sender_cases[] = {
	{ "member with an older record that the store turns away", 1, true, false, -1, true },
	{ "member that reads the store", 1, false, false, -1, false },
	{ "member with the same record", 1, true, false, 0, false },
	{ "member of a large fleet that asks", MEMBER_COUNT, true, true, -1, true },
	{ "member of a large fleet that asks others", MEMBER_COUNT, true, false, -1, false },
	{ "member of a large fleet with the same record", MEMBER_COUNT, true, true, 0, false },
};

/* Guards against records in pulses to members that need none, and against none where one is needed.
 */
START_TEST(test_record_is_sent_where_needed)
{
	struct fixture x;

	setup(&x);
	for (uint32_t i = 0; i < record_sender_cases[_i].member_count; i++) {
		x.members[i].listed = true;
		x.members[i].is_silent = false;
	}
	x.members[0].needs_permit = record_sender_cases[_i].needs_permit;
	x.members[0].asks = record_sender_cases[_i].asks;
	start(&x, false);
	(void)wait_for(&x, never, 300);
	x.members[0].primaries_revision =
		x.record->revision + record_sender_cases[_i].revision_step;
	(void)wait_for(&x, never, 600);
	teardown(&x);
	ck_assert_msg((x.members[0].record_count > 0) == record_sender_cases[_i].is_sent,
		      "%s: %u records", record_sender_cases[_i].label, x.members[0].record_count);
	pw_primaries_unref(x.record);
}
END_TEST

static const struct {
	const char *label;
	uint32_t helper_count;    /* members that delegate a permit */
	bool need_permits;        /* they do not reach the store either */
	uint32_t asked_count_min; /* expected number of members that are asked later on */
	uint32_t asked_count_max;
} helper_cases[] = {
	{ "all members delegate", MEMBER_COUNT, false, 1, 2 },
	{ "one member delegates", 1, false, 1, 1 },
	{ "no member delegates", 0, false, MEMBER_COUNT, MEMBER_COUNT },
	{ "all delegate what rests on promises", MEMBER_COUNT, true, MEMBER_COUNT, MEMBER_COUNT },
};

/* Guards against a VM in trouble whose requests keep all others from confirming marks. */
START_TEST(test_permit_is_asked_of_one_helper)
{
	uint32_t asked_count = 0;
	struct fixture x;
	bool asked;

	setup(&x);
	for (uint32_t i = 0; i < MEMBER_COUNT; i++) {
		x.members[i].listed = true;
		x.members[i].is_silent = false;
		x.members[i].delegates = i < helper_cases[_i].helper_count;
		x.members[i].needs_permit = helper_cases[_i].need_permits;
	}
	start(&x, false);
	(void)wait_for(&x, never, 300);
	x.loses_later_renewals = x.holds_grants = true;
	asked = wait_for(&x, has_asked_for_permit, 3000);
	(void)wait_for(&x, never, 1000);
	for (uint32_t i = 0; i < MEMBER_COUNT; i++)
		x.members[i].asked_count = 0;
	(void)wait_for(&x, never, 1500);
	teardown(&x);
	for (uint32_t i = 0; i < MEMBER_COUNT; i++)
		asked_count += x.members[i].asked_count > 0;
	ck_assert_msg(asked && asked_count >= helper_cases[_i].asked_count_min &&
			      asked_count <= helper_cases[_i].asked_count_max,
		      "%s: %u members were asked", helper_cases[_i].label, asked_count);
	pw_primaries_unref(x.record);
}
END_TEST

static const struct {
	const char *label;
	bool settles, confirms;
	bool is_revoked;
	uint64_t wait_min_us; /* from the list of members to the promotion request */
	uint64_t wait_max_us;
} settled_cases[] = {
	{ "member confirms", true, true, false, 0, 1000 * PW_US_PER_MS },
	{ "member has settled", true, false, false, PW_PERMIT_DURATION_US, 3000 * PW_US_PER_MS },
	{ "member does neither", false, false, true, PW_PERMIT_DURATION_US, 3400 * PW_US_PER_MS },
};

/* Guards against revoking the leases of members that wait for VMs which use their permits. */
START_TEST(test_lease_of_settled_member_is_kept)
{
	uint64_t marked_us, waited_us;
	struct fixture x;
	bool claimed, promoted;

	setup(&x);
	/* The VM that led the last change is the first to lead the next one. */
	pw_primaries_set(x.record, GROUP, x.servers[0].id, "vm1", FIRST_GENERATION);
	for (uint32_t i = 0; i < MEMBER_COUNT; i++) {
		x.members[i].listed = true;
		x.members[i].is_silent = false;
		x.members[i].confirms = i || settled_cases[_i].confirms;
		x.members[i].settles = i || settled_cases[_i].settles;
	}
	start(&x, true);
	claimed = wait_for(&x, has_claimed, 5000);
	marked_us = pw_clock_now_us();
	promoted = wait_for(&x, has_promoted, 4000);
	waited_us = pw_clock_now_us() - marked_us;
	teardown(&x);
	ck_assert_msg(claimed && promoted && !!x.revoked_members == settled_cases[_i].is_revoked &&
			      waited_us >= settled_cases[_i].wait_min_us &&
			      waited_us <= settled_cases[_i].wait_max_us,
		      "%s: promoted %d after %" PRIu64 " ms, revoked leases 0x%x",
		      settled_cases[_i].label, promoted, waited_us / PW_US_PER_MS,
		      x.revoked_members);
	pw_primaries_unref(x.record);
}
END_TEST

static const struct {
	const char *label;
	uint32_t member_count;
	bool answers;
	bool is_revoked;
} new_member_cases[] = {
	{ "small fleet, it sends pulses", SMALL_MEMBER_COUNT, true, false },
	{ "small fleet, it says nothing", SMALL_MEMBER_COUNT, false, true },
	{ "large fleet, it sends pulses", MEMBER_COUNT, true, false },
	{ "large fleet, it says nothing", MEMBER_COUNT, false, true },
};

/* Guards against a change that revokes the lease of a member which could not be heard of yet. */
START_TEST(test_lease_of_new_member_is_kept)
{
	struct fixture x;
	bool claimed, promoted;

	setup(&x);
	pw_primaries_set(x.record, GROUP, x.servers[0].id, "vm1", FIRST_GENERATION);
	for (uint32_t i = 0; i < new_member_cases[_i].member_count; i++) {
		x.members[i].listed = i > 0;
		x.members[i].is_silent = i == 0;
		x.members[i].confirms = x.members[i].settles = true;
	}
	start(&x, true);
	claimed = wait_for(&x, has_claimed, 5000);
	/* The change reads of it and is ready to revoke leases before it is heard. */
	x.members[0].listed = true;
	(void)wait_for(&x, never, 150);
	x.members[0].is_silent = !new_member_cases[_i].answers;
	promoted = wait_for(&x, has_promoted, 4000);
	teardown(&x);
	ck_assert_msg(claimed && promoted &&
			      x.revoked_members == (new_member_cases[_i].is_revoked ? 1 : 0),
		      "%s: promoted %d, revoked leases 0x%x", new_member_cases[_i].label, promoted,
		      x.revoked_members);
	pw_primaries_unref(x.record);
}
END_TEST

static const struct {
	const char *label;
	uint32_t member_count;
	uint32_t list_count; /* expected reads of the list after the lease was lost */
} registration_cases[] = {
	{ "small fleet", SMALL_MEMBER_COUNT, 1 },
	{ "large fleet", MEMBER_COUNT, 0 },
};

/* Guards against reads of all members by each VM of a large fleet that loses its lease. */
START_TEST(test_lost_lease_costs_no_list_in_large_fleet)
{
	struct fixture x;
	uint32_t before_count;

	setup(&x);
	for (uint32_t i = 0; i < registration_cases[_i].member_count; i++) {
		x.members[i].listed = true;
		x.members[i].is_silent = false;
	}
	start(&x, false);
	(void)wait_for(&x, never, 1000);
	before_count = x.list_count;
	x.loses_own_lease = true;
	(void)wait_for(&x, never, 1100);
	teardown(&x);
	ck_assert_msg(x.registration_count == 2 &&
			      x.list_count - before_count == registration_cases[_i].list_count,
		      "%s: %u registrations, %u reads of the list", registration_cases[_i].label,
		      x.registration_count, x.list_count - before_count);
	pw_primaries_unref(x.record);
}
END_TEST

static void mark_by_earlier_process(struct pw_primaries *p)
{
	pw_primaries_mark(p, GROUP, "vm1", 1, false);
}

static void mark_by_own_name_of_old_build(struct pw_primaries *p)
{
	pw_primaries_mark(p, GROUP, "vm1", 0, false);
}

static const struct {
	const char *label;
	edit_fn before;          /* state of the record at the start of the VM */
	uint64_t min_us, max_us; /* from that start to the first promotion request */
} resume_cases[] = {
	{ "led by an earlier process of the VM", mark_by_earlier_process, PW_CHANGE_RESUME_AFTER_US,
	  4 * PW_US_PER_S },
	{ "led by another VM", mark_group, PW_CHANGE_TAKEOVER_AFTER_US, 9 * PW_US_PER_S },
	{ "process not known", mark_by_own_name_of_old_build, PW_CHANGE_TAKEOVER_AFTER_US,
	  9 * PW_US_PER_S },
};

/*
 * Guards against a group that has no primary for seconds although the VM that led its change runs
 * again, and against a promotion while a request of the earlier process may still arrive.
 */
START_TEST(test_restarted_leader_resumes_its_change)
{
	uint64_t started_us = pw_clock_now_us(), elapsed_us;
	struct fixture x;
	bool promoted;

	setup(&x);
	resume_cases[_i].before(x.record);
	start(&x, false);
	promoted = wait_for(&x, has_promoted, 10000);
	elapsed_us = x.first_promoted_us - started_us;
	teardown(&x);
	ck_assert_msg(promoted && elapsed_us >= resume_cases[_i].min_us &&
			      elapsed_us <= resume_cases[_i].max_us,
		      "%s: promoted %d after %" PRIu64 " us", resume_cases[_i].label, promoted,
		      elapsed_us);
	pw_primaries_unref(x.record);
}
END_TEST

static const struct {
	const char *label;
	edit_fn before; /* state of the record at the start; NULL: the primary leaves */
	edit_fn edit;   /* by another VM just before the claim */
	bool repeated;  /* the reason still holds, so the VM has to repeat its claim */
} claim_cases[] = {
	{ "change that another VM has completed is repeated", NULL, edit_finish, false },
	{ "change that another VM has claimed is claimed", NULL, edit_take_over, false },
	{ "change given up since another group was claimed", NULL, edit_claim_other_group, true },
	{ "abandoned change is taken over after another VM did", edit_take_over, edit_take_over,
	  false },
	{ "abandoned change is taken over after an old build did", edit_take_over_by_old_build,
	  edit_take_over_by_old_build, false },
	{ "abandoned change given up since another group was claimed", edit_take_over,
	  edit_claim_other_group, true },
};

/* Fails if a claim is repeated though the change is no longer due, which promotes a server again.
 */
START_TEST(test_claim_is_repeated_for_same_primary_only)
{
	bool repeated = claim_cases[_i].repeated, ended;
	struct fixture x;

	setup(&x);
	if (claim_cases[_i].before)
		claim_cases[_i].before(x.record);
	x.edit = claim_cases[_i].edit;
	x.edit_tag = TAG_CLAIM;
	start(&x, !claim_cases[_i].before);
	ended = wait_for(&x, has_change_ended, 7500);
	/* A change that was given up must not start again at once. */
	wait_for(&x, never, 400);
	teardown(&x);
	ck_assert_msg(ended && x.claim_count == 1U + repeated && x.record_count == repeated,
		      "claim: %s; ended %d, %u claims, %u primaries written", claim_cases[_i].label,
		      ended, x.claim_count, x.record_count);
	pw_primaries_unref(x.record);
}
END_TEST

static const struct {
	const char *label;
	enum record_answer answer; /* to the first write of the new primary */
	uint32_t record_count;     /* expected writes of the new primary */
} lost_answer_cases[] = {
	{ "primary written with a lost answer counts as another VM's", ANSWER_LOST, 2 },
	{ "primary written with a lost answer is written again", ANSWER_LOST_WATCH, 1 },
	{ "primary that was not written is not written again", ANSWER_LOST_NOOP, 2 },
};

static bool has_stepped_down(struct fixture *x)
{
	return x->servers[0].step_down_term != 0;
}

/* Fails if a change does not finish after the answer to the write of its new primary was lost. */
START_TEST(test_lost_answer_to_new_primary)
{
	struct pw_primary *primary;
	bool ended, stepped_down;
	uint64_t won, lost;
	struct fixture x;

	setup(&x);
	x.answer = lost_answer_cases[_i].answer;
	x.answer_tag = TAG_RECORD_PRIMARY;
	start(&x, true);
	ended = wait_for(&x, has_change_ended, 6000);
	stepped_down = wait_for(&x, has_stepped_down, 1000);
	teardown(&x);
	primary = pw_primaries_find(x.record, GROUP);
	won = pw_counter_get(PW_COUNTER_FAILOVERS_WON) - x.won_before;
	lost = pw_counter_get(PW_COUNTER_FAILOVERS_LOST) - x.lost_before;
	ck_assert_msg(ended && stepped_down && won == 1 && !lost &&
			      x.record_count == lost_answer_cases[_i].record_count,
		      "answer: %s; ended %d, former primary told %d, won %" PRIu64 ", lost %" PRIu64
		      ", %u writes",
		      lost_answer_cases[_i].label, ended, stepped_down, won, lost, x.record_count);
	ck_assert_str_eq(primary->server_id, "s2");
	ck_assert_uint_eq(primary->generation, FIRST_TOKEN + 1);
	ck_assert(!primary->changing);
	ck_assert_uint_eq(x.promote_count, 1);
	ck_assert_uint_eq(x.servers[0].step_down_term, x.servers[1].term);
	pw_primaries_unref(x.record);
}
END_TEST

static const struct {
	const char *label;
	const char *acceptance, *status; /* of all servers, see struct fake_server */
	bool promotes;                   /* a status is read, and so a server is promoted */
} status_cases[] = {
	{ "accepted twice", "READY I -\r\nREADY I -\r\n", NULL, true },
	{ "without a completion", NULL, "READY I -\r\n", false },
	{ "error after the row", NULL, "ERROR BUSY -\r\nREADY I -\r\n", false },
	{ "error before the row", "READY I -\r\nERROR BUSY -\r\nREADY I -\r\n", NULL, false },
	{ "two rows", NULL, "DATAROW primary 9 9.1 0 0 0 1\r\nCOMPLETE -\r\nREADY I -\r\n", false },
	{ "row while nothing is due", "DATAROW primary 9 9.1 0 0 0 1\r\nREADY I -\r\n", NULL,
	  false },
};

/*
 * Fails if a second acceptance of the connection ends a status query, or if a status counts whose
 * answer is not complete or has messages that are not due.
 */
START_TEST(test_status_answers)
{
	struct fixture x;
	bool promoted;

	setup(&x);
	for (size_t i = 0; i < SERVER_COUNT; i++) {
		x.servers[i].acceptance = status_cases[_i].acceptance;
		x.servers[i].status = status_cases[_i].status;
	}
	start(&x, true);
	promoted = wait_for(&x, has_promoted, 4000);
	teardown(&x);
	pw_primaries_unref(x.record);
	ck_assert_msg(promoted == status_cases[_i].promotes, "%s: promoted %d",
		      status_cases[_i].label, promoted);
}
END_TEST

static bool has_permit(struct fixture *x)
{
	return x->permit_until_us > pw_clock_now_us();
}

static void mark_group_planned(struct pw_primaries *p)
{
	pw_primaries_mark(p, GROUP, "vm9", 1, true);
}

static bool has_permit_for_marked_record(struct fixture *x)
{
	return x->is_marked && x->permit_until_us > x->drain_limit_us;
}

/* Guards against commits at a former primary by a VM whose new lease the leader does not know. */
START_TEST(test_new_lease_does_not_extend_drain)
{
	uint64_t permit_until_us;
	struct fixture x;
	bool had_permit, limited;

	setup(&x);
	start(&x, false);
	had_permit = wait_for(&x, has_permit, 3000);
	x.has_watch = false;
	edit_record(&x, mark_group_planned);
	x.loses_own_lease = true;
	permit_until_us = x.permit_until_us;
	limited = wait_for(&x, has_permit_for_marked_record, 3000);
	teardown(&x);
	pw_primaries_unref(x.record);
	ck_assert(had_permit);
	ck_assert_msg(limited && x.drain_limit_us <= permit_until_us,
		      "the permit of the new lease covers the group that is being changed");
}
END_TEST

static const struct {
	const char *label;
	edit_fn edit;              /* by another VM just before the first claim */
	enum record_answer answer; /* to the first claim */
	uint32_t claim_count;      /* expected claims */
	bool won;
} lost_claim_cases[] = {
	{ "own mark is left without a leader", NULL, ANSWER_LOST, 2, true },
	{ "own mark that the watch shows is left", NULL, ANSWER_LOST_WATCH, 1, true },
	{ "claim that had no effect is given up", NULL, ANSWER_LOST_NOOP, 2, true },
	{ "mark of another VM with the same token is taken for an own one", edit_take_over,
	  ANSWER_LOST_NOOP, 2, false },
};

/* Fails if a change does not go on after the answer to its claim was lost. */
START_TEST(test_lost_answer_to_claim)
{
	bool ended, won;
	struct fixture x;

	setup(&x);
	x.edit = lost_claim_cases[_i].edit;
	x.edit_tag = TAG_CLAIM;
	x.answer = lost_claim_cases[_i].answer;
	x.answer_tag = TAG_CLAIM;
	start(&x, true);
	ended = wait_for(&x, has_change_ended, 5000);
	won = pw_counter_get(PW_COUNTER_FAILOVERS_WON) > x.won_before;
	teardown(&x);
	ck_assert_msg(ended && won == lost_claim_cases[_i].won &&
			      x.claim_count == lost_claim_cases[_i].claim_count &&
			      x.promote_count == lost_claim_cases[_i].won,
		      "claim: %s; ended %d, won %d, %u claims, %u promotions",
		      lost_claim_cases[_i].label, ended, won, x.claim_count, x.promote_count);
	pw_primaries_unref(x.record);
}
END_TEST

static const struct {
	const char *label;
	uint32_t page_items_max;
	uint32_t failed_page_reads;
	uint32_t unconfirmed; /* index of the member that does not confirm the mark */
} wait_cases[] = {
	{ "no wait for a member on the only page", 0, 0, 3 },
	{ "no wait for a member on the first page", 2, 0, 0 },
	{ "no wait for a member on the last page", 2, 0, 3 },
	{ "no wait for a member on a page that was read again", 2, 1, 3 },
	{ "no wait for a member on one of many pages", 1, 1, 2 },
};

static bool has_revoked_or_promoted(struct fixture *x)
{
	return x->revoked_members || x->promote_count;
}

/* Fails if a server is promoted while some member of the list may still use the former primary. */
START_TEST(test_change_waits_for_all_listed_members)
{
	struct fixture x;
	bool waited;

	setup(&x);
	for (uint32_t i = 0; i < SMALL_MEMBER_COUNT; i++) {
		x.members[i].listed = true;
		x.members[i].is_silent = false;
		x.members[i].confirms = i != wait_cases[_i].unconfirmed;
	}
	x.page_items_max = wait_cases[_i].page_items_max;
	x.failed_page_reads = wait_cases[_i].failed_page_reads;
	x.failed_page_tag = TAG_CHANGE_MEMBERS;
	x.holds_revocations = true;
	start(&x, true);
	waited = wait_for(&x, has_revoked_or_promoted, 6000);
	wait_for(&x, never, 300);
	teardown(&x);
	ck_assert_msg(waited && !x.promote_count &&
			      x.revoked_members == UINT32_C(1) << wait_cases[_i].unconfirmed,
		      "members: %s; %u promotions, revoked leases 0x%x", wait_cases[_i].label,
		      x.promote_count, x.revoked_members);
	ck_assert_uint_eq(x.failed_page_reads, 0);
	pw_primaries_unref(x.record);
}
END_TEST

static const struct {
	const char *label;
	uint32_t page_items_max[2]; /* in the first and the second read of the list */
	uint32_t failed_page_reads; /* in the second read */
	uint32_t gone_count;        /* members that are gone before the second read */
	uint32_t removed_count;
} list_cases[] = {
	{ "members on later pages stay unknown", { 2, 2 }, 0, 0, 0 },
	{ "members on later pages are removed", { 0, 2 }, 0, 0, 0 },
	{ "members on a page that could not be read are removed", { 0, 2 }, 1, 0, 0 },
	{ "member that is gone is kept", { 0, 2 }, 0, 1, 1 },
	{ "member is removed though a page could not be read", { 0, 2 }, 1, 1, 0 },
};

static bool knows_all_members(struct fixture *x)
{
	return x->member_count == 1 + SMALL_MEMBER_COUNT;
}

/* Fails if members that send no pulses are forgotten though their entries exist, or kept without.
 */
START_TEST(test_member_list_is_read_in_pages)
{
	uint32_t removed_count = list_cases[_i].removed_count;
	bool known, has_relisted;
	struct fixture x;

	setup(&x);
	for (uint32_t i = 0; i < SMALL_MEMBER_COUNT; i++)
		x.members[i].listed = true;
	x.page_items_max = list_cases[_i].page_items_max[0];
	start(&x, false);
	known = wait_for(&x, knows_all_members, 2000);
	/* The VM reads the list again when it registers under a new lease. */
	x.list_count = 0;
	x.page_items_max = list_cases[_i].page_items_max[1];
	x.failed_page_reads = list_cases[_i].failed_page_reads;
	x.failed_page_tag = TAG_MEMBERS_READ;
	for (uint32_t i = 0; i < list_cases[_i].gone_count; i++)
		x.members[SMALL_MEMBER_COUNT - 1 - i].listed = false;
	x.min_member_count = UINT32_MAX;
	x.loses_own_lease = true;
	wait_for(&x, never, 2000);
	has_relisted = x.list_count > 0;
	teardown(&x);
	ck_assert_msg(known && has_relisted &&
			      x.min_member_count == 1 + SMALL_MEMBER_COUNT - removed_count,
		      "list: %s; all known %d, %u pages read, then %u VMs", list_cases[_i].label,
		      known, x.list_count, x.min_member_count);
	ck_assert_uint_eq(x.failed_page_reads, 0);
	pw_primaries_unref(x.record);
}
END_TEST

static const struct {
	const char *label;
	bool delegated;      /* the member has a delegated permit when it goes silent */
	uint32_t silence_ms; /* from its last pulse to the read of the list without it */
	bool removed;
} removal_cases[] = {
	{ "member is removed while its delegated permit holds", true, 1300, false },
	{ "member is kept after its delegated permit has ended", true, 3400, true },
	{ "member without a delegated permit is kept", false, 1300, true },
};

static bool is_member_ready(struct fixture *x)
{
	const struct fake_member *m = &x->members[0];

	return x->member_count == 2 && m->sequence > 10 && (m->delegated_count || !m->needs_permit);
}

/*
 * Fails if a VM forgets a member to which it has delegated a permit. It would confirm the mark of a
 * change although the member may still use the former primary.
 */
START_TEST(test_member_with_delegated_permit_is_kept)
{
	bool ready, is_removed = removal_cases[_i].removed;
	struct fixture x;

	setup(&x);
	x.members[0].is_silent = false;
	x.members[0].confirms = true;
	x.members[0].needs_permit = removal_cases[_i].delegated;
	start(&x, false);
	ready = wait_for(&x, is_member_ready, 3000);
	x.members[0].is_silent = true;
	wait_for(&x, never, removal_cases[_i].silence_ms);
	x.list_count = 0;
	x.min_member_count = UINT32_MAX;
	x.loses_own_lease = true;
	wait_for(&x, never, 1100);
	teardown(&x);
	ck_assert(ready && x.list_count == 1);
	ck_assert_msg(x.min_member_count == (is_removed ? 1 : 2), "removal: %s; then %u VMs",
		      removal_cases[_i].label, x.min_member_count);
	pw_primaries_unref(x.record);
}
END_TEST

static const struct {
	const char *label;
	enum gateway_view views[GATEWAY_COUNT];
	uint32_t unreachable_ms[2]; /* at the two other live VMs; 0: not in their pulses */
	bool claimed;
} vote_cases[] = {
	{ "VM with two gateway tasks replaces a primary alone",
	  { VIEW_LOST, VIEW_LOST },
	  { 0, 0 },
	  false },
	{ "VM with two gateway tasks keeps a primary that two others have lost",
	  { VIEW_REACHED, VIEW_REACHED },
	  { 2000, 2000 },
	  true },
	{ "gateway task that reaches the primary outvotes one that does not",
	  { VIEW_LOST, VIEW_REACHED },
	  { 2000, 0 },
	  true },
	{ "primary that only one other VM has lost is replaced",
	  { VIEW_REACHED, VIEW_NONE },
	  { 2000, 0 },
	  false },
};

/* Fails if the gateway tasks of one VM have more than one vote on the loss of a primary. */
START_TEST(test_one_vote_per_vm)
{
	struct fixture x;
	bool claimed;

	setup(&x);
	for (uint32_t i = 0; i < PW_ARRAY_LEN(vote_cases[_i].unreachable_ms); i++) {
		x.members[i].is_silent = false;
		x.members[i].unreachable_ms = vote_cases[_i].unreachable_ms[i];
	}
	memcpy(x.views, vote_cases[_i].views, sizeof(x.views));
	x.lost_since_us = pw_clock_now_us();
	start(&x, false);
	claimed = wait_for(&x, has_claimed, 4000);
	teardown(&x);
	ck_assert_msg(claimed == vote_cases[_i].claimed, "votes: %s; claimed %d",
		      vote_cases[_i].label, claimed);
	pw_primaries_unref(x.record);
}
END_TEST

static bool has_registered(struct fixture *x)
{
	return x->registration_count > 0;
}

/* Guards against a VM with a permit but without an entry, for which no change of primary waits. */
START_TEST(test_late_registration_keeps_current_lease)
{
	struct fixture x;
	bool registered;

	setup(&x);
	x.delays_registration = true;
	x.entry_revision = _i ? x.record->revision : 0; /* entry of an earlier process */
	start(&x, false);
	registered = wait_for(&x, has_registered, 3000);
	if (x.late_compare_revision < 0)
		x.late_compare_revision = x.entry_revision;
	(void)write_entry(&x, x.late_compare_revision, x.late_lease_id);
	teardown(&x);
	pw_primaries_unref(x.record);
	ck_assert(registered && x.has_late_registration);
	ck_assert_msg(x.entry_lease_id == x.own_lease_id,
		      "the entry has lease %" PRId64 ", the permit lease %" PRId64,
		      x.entry_lease_id, x.own_lease_id);
}
END_TEST

/* Guards against a change of primary that does not wait for a permit of a VM that has left. */
START_TEST(test_lease_outlives_delegated_permit)
{
	bool ready, delegated = _i == 0, left_at_once;
	struct fixture x;

	setup(&x);
	x.members[0].is_silent = false;
	x.members[0].confirms = true;
	x.members[0].needs_permit = delegated;
	start(&x, false);
	ready = wait_for(&x, is_member_ready, 3000);
	pw_mailbox_send(x.directory.cluster, pw_drain_msg());
	left_at_once = wait_for(&x, has_left, 300);
	ck_assert(wait_for(&x, has_left, 2000));
	teardown(&x);
	pw_primaries_unref(x.record);
	ck_assert(ready);
	ck_assert_msg(left_at_once != delegated, "left at once: %d, with a delegated permit: %d",
		      left_at_once, delegated);
}
END_TEST

/* Guards against a promise of a VM that does not know whether a server was promoted. */
START_TEST(test_no_promise_without_record)
{
	struct fixture x;

	setup(&x);
	x.holds_record = true;
	x.members[0].is_silent = false;
	x.members[0].listed = true;
	x.members[0].needs_permit = true;
	start(&x, false);
	(void)wait_for(&x, never, 1500);
	teardown(&x);
	pw_primaries_unref(x.record);
	ck_assert_uint_gt(x.members[0].pulse_count, 0);
	ck_assert_uint_eq(x.members[0].promise_count, 0);
}
END_TEST

static void finish_group(struct pw_primaries *p)
{
	pw_primaries_set(p, GROUP, "s2", "vm9", p->fencing_token);
}

/* Guards against a second change since the entry of a new primary does not say "primary" yet. */
START_TEST(test_new_primary_has_time_to_update_its_entry)
{
	struct fixture x;

	setup(&x);
	x.leaving_with_spare = true;
	mark_group(x.record);
	start(&x, false);
	(void)wait_for(&x, never, 4500);
	edit_record(&x, finish_group);
	publish_record(&x);
	(void)wait_for(&x, never, 2000);
	teardown(&x);
	pw_primaries_unref(x.record);
	ck_assert_msg(x.claim_count == 0, "claimed %u times, 2 s after the change of primary",
		      x.claim_count);
}
END_TEST

/* Guards against a promotion while a permit holds whose lease another change has revoked. */
START_TEST(test_second_group_waits_for_revoked_permit)
{
	struct fixture x;
	bool promoted;

	setup(&x);
	x.members[0].listed = true;
	start(&x, true);
	(void)wait_for(&x, has_revoked_member, 5000);
	(void)wait_for(&x, never, 200);
	x.both_groups = true;
	send_catalog(&x, true);
	promoted = wait_for(&x, has_promoted, 6000);
	teardown(&x);
	pw_primaries_unref(x.record);
	ck_assert(promoted && x.first_revoked_us);
	ck_assert_msg(x.first_promoted_us >= x.first_revoked_us + PW_PERMIT_DURATION_US,
		      "promotion request %" PRIu64 " ms after the lease was revoked",
		      (x.first_promoted_us - x.first_revoked_us) / PW_US_PER_MS);
}
END_TEST

/* Guards against recording the former primary after a promotion request that has had no effect. */
START_TEST(test_unanswered_promotion_of_former_primary)
{
	struct fixture x;
	bool ended;

	setup(&x);
	promotions.code = PW_ETIMEOUT;
	close(x.servers[1].listener);
	x.servers[1].listener = open_socket(SOCK_STREAM, x.servers[1].address);
	mark_group(x.record);
	start(&x, false);
	ended = wait_for(&x, has_change_ended, 14000);
	teardown(&x);
	pw_primaries_unref(x.record);
	ck_assert(ended && x.promote_count);
	ck_assert_msg(!x.record_count, "the former primary was recorded");
}
END_TEST

static void end_watch(struct fixture *x)
{
	struct pw_store_result *r = pw_store_result_new(PW_STORE_WATCH, PW_EUNAVAILABLE, "cut");

	((struct pw_store_watch_result *)r)->is_last = true;
	x->has_watch = false;
	send_result(x, TAG_PRIMARIES_WATCH, r);
}

/* Guards against a permit from a read of the record after the lease was revoked. */
START_TEST(test_read_under_revoked_lease_does_not_extend_drain)
{
	uint64_t permit_until_us;
	struct fixture x;
	bool had_permit, limited;

	setup(&x);
	start(&x, false);
	had_permit = wait_for(&x, has_permit, 3000);
	x.has_watch = false;
	edit_record(&x, mark_group_planned);
	x.loses_later_renewals = true;
	permit_until_us = x.permit_until_us;
	end_watch(&x);
	limited = wait_for(&x, has_permit_for_marked_record, 3000);
	teardown(&x);
	pw_primaries_unref(x.record);
	ck_assert(had_permit);
	ck_assert_msg(limited && x.drain_limit_us <= permit_until_us,
		      "a permit of %" PRIu64 " ms more covers the group that is being changed",
		      (x.permit_until_us - permit_until_us) / PW_US_PER_MS);
}
END_TEST

/* Guards against a VM that takes an expired permit for a valid one, since it renews nothing. */
START_TEST(test_unreadable_record_ends_permit)
{
	struct fixture x;
	bool had_permit, asked;

	setup(&x);
	x.members[0].listed = true;
	x.members[0].is_silent = false;
	start(&x, false);
	had_permit = wait_for(&x, has_permit, 3000);
	x.fails_record = true;
	end_watch(&x);
	asked = wait_for(&x, has_asked_for_permit, 1500);
	teardown(&x);
	pw_primaries_unref(x.record);
	ck_assert(had_permit && asked);
}
END_TEST

static const struct {
	const char *label;
	bool has_permit;
	bool is_told; /* expected */
} isolated_vote_cases[] = {
	{ "VM with a permit", true, true },
	{ "VM whose permit has expired", false, false },
};

/* Guards against votes of VMs that are cut off themselves for the change of a primary. */
START_TEST(test_vm_without_permit_has_no_vote)
{
	struct fixture x;

	setup(&x);
	x.members[0].listed = true;
	x.members[0].is_silent = false;
	start(&x, false);
	(void)wait_for(&x, never, 300);
	x.loses_later_renewals = x.holds_grants = !isolated_vote_cases[_i].has_permit;
	(void)wait_for(&x, never, 2500);
	x.lost_since_us = pw_clock_now_us();
	x.views[0] = x.views[1] = VIEW_LOST;
	(void)wait_for(&x, never, 800);
	teardown(&x);
	ck_assert_msg((x.members[0].told_lost_count > 0) == isolated_vote_cases[_i].is_told,
		      "%s: %u pulses say that the primary is lost", isolated_vote_cases[_i].label,
		      x.members[0].told_lost_count);
	pw_primaries_unref(x.record);
}
END_TEST

/* Guards against two registrations at a time, whose order at the store is not known. */
START_TEST(test_one_registration_at_a_time)
{
	struct fixture x;
	bool had_permit;

	setup(&x);
	start(&x, false);
	had_permit = wait_for(&x, has_permit, 3000);
	x.loses_own_lease = true;
	x.holds_grants = true;
	(void)wait_for(&x, never, 700);
	end_watch(&x);
	(void)wait_for(&x, never, 300);
	teardown(&x);
	pw_primaries_unref(x.record);
	ck_assert(had_permit);
	ck_assert_int_eq(x.own_lease_id, 2);
}
END_TEST

/* What differs from a group whose replica has the primary's log and the address in the set. */
enum replica_set_trouble {
	TROUBLE_NONE,
	PRIMARY_MARKED,    /* another VM changes the primary */
	REPLICA_BEHIND,    /* it lacks entries of the primary's log */
	REPLICA_EVACUATED, /* its zone, so that it may not be queried */
	REPLICA_MOVED,     /* since the set was written */
	ANSWER_MISSING,    /* to the first write, which takes effect */
	WRITE_MISSING,     /* the first write takes no effect, and has no answer */
};

static const struct {
	const char *label;
	uint32_t sync_replica_count;
	const char *set; /* in the record at the start, ids of one digit; NULL: not known */
	enum replica_set_trouble trouble;
	uint32_t write_count;
	const char *expected; /* set in the record at the end */
} replica_set_cases[] = {
	{ "asynchronous replication", 0, NULL, TROUBLE_NONE, 0, NULL },
	{ "replication has become asynchronous", 0, "12", TROUBLE_NONE, 1, NULL },
	{ "the set is complete", 1, "12", TROUBLE_NONE, 0, "12" },
	{ "a server has joined", 1, "1", REPLICA_BEHIND, 1, "12" },
	{ "a server has another address", 1, "12", REPLICA_MOVED, 1, "12" },
	{ "the set is not known", 1, NULL, TROUBLE_NONE, 1, "12" },
	{ "the set is not known, the replica is behind", 1, NULL, REPLICA_BEHIND, 0, NULL },
	{ "a server is gone", 1, "123", TROUBLE_NONE, 1, "12" },
	{ "a server is gone, the replica is behind", 1, "123", REPLICA_BEHIND, 0, "123" },
	{ "a server is gone, the primary is being changed", 1, "123", PRIMARY_MARKED, 0, "123" },
	{ "a server is gone, the replica may not be queried", 1, "123", REPLICA_EVACUATED, 0,
	  "123" },
	{ "the answer to the write is lost", 1, "123", ANSWER_MISSING, 2, "12" },
	/* The second write prevents that the first one takes effect later. */
	{ "the write and its answer are lost", 1, "123", WRITE_MISSING, 3, "12" },
};

/* Names the servers of a set by the digits of their ids. */
static char *set_digits(const GPtrArray *set)
{
	GString *digits = g_string_new(NULL);

	for (guint i = 0; set && i < set->len; i++)
		g_string_append(digits,
				((const struct pw_replica *)g_ptr_array_index(set, i))->id + 1);
	return g_string_free(digits, !set);
}

/*
 * Guards against a replica set that lacks a server which may be the only one with a commit, and
 * against writes of sets that need none.
 */
START_TEST(test_replica_set_is_written)
{
	enum replica_set_trouble trouble = replica_set_cases[_i].trouble;
	GPtrArray *set = replica_set_cases[_i].set ? pw_replica_set_new() : NULL;
	struct fixture x;
	char *digits;

	setup(&x);
	x.sync_replica_count = replica_set_cases[_i].sync_replica_count;
	x.answer_tag = TAG_REPLICA_SETS;
	if (trouble == ANSWER_MISSING)
		x.answer = ANSWER_LOST;
	else if (trouble == WRITE_MISSING)
		x.answer = ANSWER_LOST_NOOP;
	x.servers[1].term = trouble == REPLICA_BEHIND ? 2 : 3;
	x.is_replica_evacuated = trouble == REPLICA_EVACUATED;
	for (const char *digit = replica_set_cases[_i].set; digit && *digit; digit++) {
		const char id[] = { 's', *digit, '\0' };
		bool is_elsewhere = *digit == '3' || (*digit == '2' && trouble == REPLICA_MOVED);

		pw_replica_set_add(set, id,
				   is_elsewhere ? "127.0.0.1:1" : x.servers[*digit - '1'].address,
				   false);
	}
	pw_primaries_set_replica_set(x.record, GROUP, set);
	if (trouble == PRIMARY_MARKED)
		pw_primaries_mark(x.record, GROUP, "vm2", 1, false);
	start(&x, false);
	(void)wait_for(&x, never, 3500);
	digits = set_digits(pw_primaries_find(x.record, GROUP)->replica_set);
	ck_assert_msg(x.set_write_count == replica_set_cases[_i].write_count &&
			      g_strcmp0(digits, replica_set_cases[_i].expected) == 0,
		      "%s: %u writes, servers %s", replica_set_cases[_i].label, x.set_write_count,
		      digits);
	ck_assert_msg(trouble != REPLICA_EVACUATED || !x.servers[1].accepted_count, "%s: %u",
		      replica_set_cases[_i].label, x.servers[1].accepted_count);
	g_free(digits);
	teardown(&x);
	pw_primaries_unref(x.record);
}
END_TEST

/* Sends a list of servers without the replica. */
static void send_servers_without_replica(struct fixture *x)
{
	struct pw_servers_msg *m = g_new0(struct pw_servers_msg, 1);

	m->base.ops = &pw_servers_msg_ops;
	m->servers = pw_server_list_new();
	add_server(m->servers, x->servers[0].id, GROUP, x->servers[0].address, false, true);
	pw_mailbox_send(x->directory.cluster, &m->base);
}

/*
 * Guards against a VM with an outdated list of servers that writes a server back which another VM
 * has left out, and for which a change of primary would then wait.
 */
START_TEST(test_left_out_server_is_not_written_back)
{
	GPtrArray *set = pw_replica_set_new();
	struct fixture x;

	setup(&x);
	x.sync_replica_count = 1;
	pw_replica_set_add(set, "s1", x.servers[0].address, false);
	pw_replica_set_add(set, "s2", x.servers[1].address, false);
	pw_primaries_set_replica_set(x.record, GROUP, set);
	start(&x, false);
	(void)wait_for(&x, never, 1000);
	x.record->revision++;
	pw_primaries_set_replica_set(x.record, GROUP, pw_replica_set_new());
	pw_replica_set_add(pw_primaries_find(x.record, GROUP)->replica_set, "s1",
			   x.servers[0].address, false);
	publish_record(&x);
	(void)wait_for(&x, never, 1500);
	ck_assert_uint_eq(x.set_write_count, 0);
	send_servers_without_replica(&x);
	(void)wait_for(&x, never, 1500);
	ck_assert_uint_eq(x.set_write_count, 0);
	/* It has registered again. */
	send_catalog(&x, false);
	(void)wait_for(&x, never, 500);
	ck_assert_uint_eq(x.set_write_count, 1);
	teardown(&x);
	pw_primaries_unref(x.record);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("cluster");

	pw_event_log_init(G_LOG_LEVEL_ERROR);
	tcase_add_loop_test(tc, test_abort_clears_own_mark_only, 0, PW_ARRAY_LEN(abort_cases));
	tcase_add_loop_test(tc, test_primary_is_written_under_own_mark_only, 0,
			    PW_ARRAY_LEN(conflict_cases));
	tcase_add_test(tc, test_second_takeover_waits_for_the_first);
	tcase_add_test(tc, test_new_lease_does_not_extend_drain);
	tcase_add_test(tc, test_new_primary_has_time_to_update_its_entry);
	tcase_add_test(tc, test_second_group_waits_for_revoked_permit);
	tcase_add_test(tc, test_unanswered_promotion_of_former_primary);
	tcase_add_test(tc, test_read_under_revoked_lease_does_not_extend_drain);
	tcase_add_test(tc, test_one_registration_at_a_time);
	tcase_add_test(tc, test_unreadable_record_ends_permit);
	tcase_add_loop_test(tc, test_vm_without_permit_has_no_vote, 0,
			    PW_ARRAY_LEN(isolated_vote_cases));
	tcase_add_loop_test(tc, test_permit_is_asked_of_one_helper, 0, PW_ARRAY_LEN(helper_cases));
	tcase_add_loop_test(tc, test_lease_of_settled_member_is_kept, 0,
			    PW_ARRAY_LEN(settled_cases));
	tcase_add_loop_test(tc, test_lease_of_new_member_is_kept, 0,
			    PW_ARRAY_LEN(new_member_cases));
	tcase_add_loop_test(tc, test_lost_lease_costs_no_list_in_large_fleet, 0,
			    PW_ARRAY_LEN(registration_cases));
	tcase_add_loop_test(tc, test_lease_outlives_delegated_permit, 0, 2);
	tcase_add_test(tc, test_no_promise_without_record);
	tcase_add_loop_test(tc, test_late_registration_keeps_current_lease, 0, 2);
	tcase_add_loop_test(tc, test_notices_go_to_those_who_act, 0, PW_ARRAY_LEN(notice_cases));
	tcase_add_loop_test(tc, test_only_reader_announces_catalogue, 0,
			    PW_ARRAY_LEN(catalog_cases));
	tcase_add_loop_test(tc, test_record_in_pulse, 0, PW_ARRAY_LEN(record_cases));
	tcase_add_loop_test(tc, test_record_is_sent_where_needed, 0,
			    PW_ARRAY_LEN(record_sender_cases));
	tcase_add_loop_test(tc, test_restarted_leader_resumes_its_change, 0,
			    PW_ARRAY_LEN(resume_cases));
	tcase_add_loop_test(tc, test_claim_is_repeated_for_same_primary_only, 0,
			    PW_ARRAY_LEN(claim_cases));
	tcase_add_loop_test(tc, test_status_answers, 0, PW_ARRAY_LEN(status_cases));
	tcase_add_loop_test(tc, test_lost_answer_to_new_primary, 0,
			    PW_ARRAY_LEN(lost_answer_cases));
	tcase_add_loop_test(tc, test_lost_answer_to_claim, 0, PW_ARRAY_LEN(lost_claim_cases));
	tcase_add_loop_test(tc, test_change_waits_for_all_listed_members, 0,
			    PW_ARRAY_LEN(wait_cases));
	tcase_add_loop_test(tc, test_member_list_is_read_in_pages, 0, PW_ARRAY_LEN(list_cases));
	tcase_add_loop_test(tc, test_member_with_delegated_permit_is_kept, 0,
			    PW_ARRAY_LEN(removal_cases));
	tcase_add_loop_test(tc, test_one_vote_per_vm, 0, PW_ARRAY_LEN(vote_cases));
	tcase_add_loop_test(tc, test_replica_set_is_written, 0, PW_ARRAY_LEN(replica_set_cases));
	tcase_add_test(tc, test_left_out_server_is_not_written_back);
	return pw_suite_run("cluster", tc);
}
