/**
 * @file cluster_fleet.h
 * Model of a large fleet in one process: a real cluster task for each VM, and in place of their
 * surroundings a store, gateways, servers, a promoter, and a link between two regions that has a
 * limited bandwidth. The store is in the first region. The program has to be linked with
 * `--wrap=sendto`, so that datagrams between the regions pass through the modelled link.
 */
#ifndef PW_TESTS_CLUSTER_FLEET_H
#define PW_TESTS_CLUSTER_FLEET_H

#include "suite.h"

#include <glib.h>
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
#include "control/store.h"
#include "directory.h"
#include "pw/codec/primaries.h"
#include "pw/core/clock.h"
#include "pw/core/error.h"
#include "pw/core/event.h"
#include "pw/platform/platform.h"

#define FLEET_VM_COUNT     295
#define FLEET_GROUP_COUNT  20
#define FLEET_SERVER_COUNT (2 * FLEET_GROUP_COUNT)
#define FLEET_REGION_COUNT 2
#define FLEET_MEMBERS_PAGE 500
#define FLEET_RECORD_KEY   "pimentowing/example/primaries"

/* Bandwidth of the link, each way, of the deployment `mistry-enrol-large` with 295 VMs. */
#define FLEET_LINK_BITS_PER_S UINT64_C(150000000)
/* A datagram is dropped if the link needs longer than this for what waits already. */
#define FLEET_LINK_QUEUE_US (500 * PW_US_PER_MS)
/* One-way latencies. */
#define FLEET_REGION_LATENCY_US (20 * PW_US_PER_MS)
#define FLEET_LOCAL_LATENCY_US  (PW_US_PER_MS / 2)
/* Bytes of an HTTP call to the store beside the values in it. */
#define FLEET_CALL_BYTES 300
/* Bytes of an item beside its value: its key, revisions, lease and the names of the fields. */
#define FLEET_ITEM_BYTES 150

struct fleet;

/* What a gateway has heard of the primary of the first group lately. */
enum fleet_contact {
	FLEET_CONTACT_ANSWERED,
	FLEET_CONTACT_NONE, /* it has sent nothing there */
	FLEET_CONTACT_LOST, /* nothing in time, though the server runs */
};

struct fleet_vm {
	struct fleet *fleet;
	uint32_t index;
	char name[16], address[32];
	uint16_t port;
	int reserved_fd; /* keeps the port until the tasks are started */
	struct pw_process_settings settings;
	struct pw_binding binding;
	struct pw_directory directory;
	struct pw_task_args args;
	struct pw_mailbox *gateway, *other_inbox;
	pthread_t thread;
	bool is_cut;         /* from the store and from the VMs that are not cut */
	bool is_turned_away; /* by the store */
	/* State of the store. */
	int64_t lease_id, entry_lease_id, entry_revision;
	uint64_t lease_until_us;
	bool has_watch;
	/* State of the gateway. */
	struct pw_primaries *primaries;
	uint64_t permit_until_us, next_report_us;
	enum fleet_contact contact;
	/* Datagrams to the VM in the present interval of pulses, and in the one with the most. */
	uint64_t interval_started_us;
	uint32_t interval_datagrams, most_datagrams;
};

struct fleet_server {
	char id[32], group[32], address[32];
	int listener;
	bool is_primary, is_lost; /* a lost one answers nobody */
	uint64_t term;
};

struct fleet_link {
	uint64_t busy_until_us;
	uint64_t second_started_us, second_bytes; /* of the datagrams in the second */
	uint64_t busiest_second_bytes;
	uint64_t longest_wait_us; /* until what was sent had left the link */
	uint64_t dropped_count;
};

/* Something that arrives later: a message to a task, or a datagram. */
struct fleet_event {
	uint64_t due_us;
	struct pw_mailbox *to;
	struct pw_msg *message;
	struct sockaddr_in address;
	GBytes *datagram;
};

struct fleet {
	struct fleet_vm vms[FLEET_VM_COUNT];
	struct fleet_server servers[FLEET_SERVER_COUNT];
	struct pw_catalog *catalog;
	struct pw_primaries *record;
	char *record_text;
	GSequence *events; /* struct fleet_event, used by the test's thread only */
	GAsyncQueue *sent; /* struct fleet_event of datagrams from the tasks' threads */
	uint16_t *vm_by_port;
	int64_t revision, last_lease_id; /* of the store */
	uint32_t revoked_in_touch_count; /* leases of VMs that reach the store and the others */
	uint32_t late_renewal_count;     /* renewals of such VMs that timed out */
	uint32_t check_count;            /* requests to gateways to check a primary */
	int sender_fd;
	/* Of the members below, of `servers`, and of the counts of datagrams of `vms`. */
	GMutex lock;
	struct fleet_link links[FLEET_REGION_COUNT]; /* by the region that they leave */
	gint is_stopping;
	pthread_t server_thread;
};

static struct fleet *fleet_running;
static __thread struct fleet_vm *fleet_current_vm;

static uint32_t fleet_region(const struct fleet_vm *vm)
{
	return vm->index % FLEET_REGION_COUNT;
}

/*
 * Passes bytes through the link that leaves a region. Returns the time at which they arrive, or 0
 * if a datagram is dropped; connections wait instead.
 */
static uint64_t fleet_pass_link(struct fleet *f, uint32_t from, size_t size_bytes, bool is_datagram)
{
	struct fleet_link *l = &f->links[from];
	uint64_t now_us = pw_clock_now_us(), arrival_us = 0;

	g_mutex_lock(&f->lock);
	if (now_us - l->second_started_us >= PW_US_PER_S) {
		l->second_started_us = now_us;
		l->second_bytes = 0;
	}
	l->second_bytes += is_datagram ? size_bytes : 0;
	l->busiest_second_bytes = MAX(l->busiest_second_bytes, l->second_bytes);
	if (is_datagram && l->busy_until_us > now_us + FLEET_LINK_QUEUE_US) {
		l->dropped_count++;
	} else {
		l->busy_until_us = MAX(l->busy_until_us, now_us) +
				   size_bytes * 8 * PW_US_PER_S / FLEET_LINK_BITS_PER_S;
		l->longest_wait_us = MAX(l->longest_wait_us, l->busy_until_us - now_us);
		arrival_us = l->busy_until_us + FLEET_REGION_LATENCY_US;
	}
	g_mutex_unlock(&f->lock);
	return arrival_us;
}

static void fleet_count_datagram(struct fleet *f, struct fleet_vm *to)
{
	uint64_t now_us = pw_clock_now_us();

	g_mutex_lock(&f->lock);
	if (now_us - to->interval_started_us >= PULSE_INTERVAL_US) {
		to->interval_started_us = now_us;
		to->interval_datagrams = 0;
	}
	to->interval_datagrams++;
	to->most_datagrams = MAX(to->most_datagrams, to->interval_datagrams);
	g_mutex_unlock(&f->lock);
}

ssize_t __real_sendto(int fd, const void *data, size_t size_bytes, int flags,
		      const struct sockaddr *to, socklen_t to_size_bytes);
ssize_t __wrap_sendto(int fd, const void *data, size_t size_bytes, int flags,
		      const struct sockaddr *to, socklen_t to_size_bytes);

ssize_t __wrap_sendto(int fd, const void *data, size_t size_bytes, int flags,
		      const struct sockaddr *to, socklen_t to_size_bytes)
{
	struct fleet_vm *from = fleet_current_vm, *receiver;
	struct fleet_event *e;
	uint64_t arrival_us;

	if (!from)
		return __real_sendto(fd, data, size_bytes, flags, to, to_size_bytes);
	receiver = &from->fleet->vms[from->fleet->vm_by_port[ntohs(
		((const struct sockaddr_in *)(const void *)to)->sin_port)]];
	fleet_count_datagram(from->fleet, receiver);
	if (from->is_cut != receiver->is_cut)
		return (ssize_t)size_bytes;
	if (fleet_region(from) == fleet_region(receiver))
		return __real_sendto(fd, data, size_bytes, flags, to, to_size_bytes);
	arrival_us = fleet_pass_link(from->fleet, fleet_region(from), size_bytes, true);
	if (!arrival_us)
		return (ssize_t)size_bytes;
	e = g_new0(struct fleet_event, 1);
	e->due_us = arrival_us;
	e->address = *(const struct sockaddr_in *)(const void *)to;
	e->datagram = g_bytes_new(data, size_bytes);
	g_async_queue_push(from->fleet->sent, e);
	return (ssize_t)size_bytes;
}

static gint fleet_compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct fleet_event *x = a, *y = b;

	(void)data;
	return x->due_us < y->due_us ? -1 : x->due_us > y->due_us;
}

static void fleet_send_later(struct fleet *f, uint64_t due_us, struct pw_mailbox *to,
			     struct pw_msg *m)
{
	struct fleet_event *e = g_new0(struct fleet_event, 1);

	e->due_us = due_us;
	e->to = to;
	e->message = m;
	g_sequence_insert_sorted(f->events, e, fleet_compare_events, NULL);
}

static void fleet_deliver(struct fleet *f)
{
	uint64_t now_us = pw_clock_now_us();
	struct fleet_event *e;

	while ((e = g_async_queue_try_pop(f->sent)))
		g_sequence_insert_sorted(f->events, e, fleet_compare_events, NULL);
	while (!g_sequence_is_empty(f->events)) {
		GSequenceIter *first = g_sequence_get_begin_iter(f->events);

		e = g_sequence_get(first);
		if (e->due_us > now_us)
			return;
		g_sequence_remove(first);
		if (e->datagram) {
			gsize size_bytes;
			const void *data = g_bytes_get_data(e->datagram, &size_bytes);

			(void)!__real_sendto(f->sender_fd, data, size_bytes, MSG_DONTWAIT,
					     (struct sockaddr *)&e->address, sizeof(e->address));
			g_bytes_unref(e->datagram);
		} else {
			pw_mailbox_send(e->to, e->message);
		}
		g_free(e);
	}
}

/* Servers and the promoter. */

static struct fleet_server *fleet_find_server(struct fleet *f, const char *id)
{
	for (uint32_t i = 0; i < FLEET_SERVER_COUNT; i++) {
		if (strcmp(f->servers[i].id, id) == 0)
			return &f->servers[i];
	}
	return NULL;
}

/* Answers one status query and closes the connection. */
static void fleet_serve_connection(struct fleet *f, struct fleet_server *s, int fd)
{
	char line[256] = "", answer[256];
	struct pollfd p = { .fd = fd, .events = POLLIN };

	(void)!send(fd, "READY I -\r\n", 11, MSG_NOSIGNAL);
	while (!strstr(line, "QUERY") && poll(&p, 1, 20) > 0) {
		size_t used_bytes = strlen(line);
		ssize_t n = recv(fd, line + used_bytes, sizeof(line) - 1 - used_bytes, 0);

		if (n <= 0)
			break;
		line[used_bytes + (size_t)n] = '\0';
	}
	g_mutex_lock(&f->lock);
	snprintf(answer, sizeof(answer),
		 "DATAROW %s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
		 ".100 0 0 0 1\r\nCOMPLETE -\r\nREADY I -\r\n",
		 s->is_primary ? "primary" : "replica", s->term, s->term);
	g_mutex_unlock(&f->lock);
	(void)!send(fd, answer, strlen(answer), MSG_NOSIGNAL);
	close(fd);
}

static void *fleet_run_servers(void *arg)
{
	struct fleet *f = arg;
	struct pollfd fds[FLEET_SERVER_COUNT];

	for (uint32_t i = 0; i < FLEET_SERVER_COUNT; i++)
		fds[i] = (struct pollfd){ .fd = f->servers[i].listener, .events = POLLIN };
	while (!g_atomic_int_get(&f->is_stopping)) {
		(void)poll(fds, FLEET_SERVER_COUNT, 20);
		for (uint32_t i = 0; i < FLEET_SERVER_COUNT; i++) {
			int fd = fds[i].revents ? accept(fds[i].fd, NULL, NULL) : -1;

			if (fd >= 0 && f->servers[i].is_lost)
				close(fd);
			else if (fd >= 0)
				fleet_serve_connection(f, &f->servers[i], fd);
		}
	}
	return NULL;
}

struct fleet_promoter {
	struct pw_promoter base;
	struct pw_loop *loop;
	GPtrArray *requests; /* struct fleet_promotion */
};

/* A promotion that takes effect 100 ms after its request. */
struct fleet_promotion {
	struct fleet_promoter *promoter;
	struct pw_timer timer;
	struct pw_promotion_call *call;
	struct fleet_server *server;
};

static void fleet_promotion_done(struct pw_timer *t, uint64_t now_us)
{
	struct fleet_promotion *p =
		(struct fleet_promotion *)((char *)t - offsetof(struct fleet_promotion, timer));
	struct fleet *f = fleet_running;

	(void)now_us;
	g_mutex_lock(&f->lock);
	p->server->is_primary = true;
	p->server->term++;
	g_mutex_unlock(&f->lock);
	p->call->ops->done(p->call, PW_OK, "answer");
	g_ptr_array_remove(p->promoter->requests, p);
}

static const struct pw_timer_ops fleet_promotion_ops = { .expire = fleet_promotion_done };

static int fleet_promote(struct pw_promoter *base, const struct pw_promotion_request *request,
			 struct pw_promotion_call *call)
{
	struct fleet_promoter *promoter = (struct fleet_promoter *)base;
	struct fleet_promotion *p = g_new0(struct fleet_promotion, 1);

	p->promoter = promoter;
	p->timer.ops = &fleet_promotion_ops;
	p->call = call;
	p->server = fleet_find_server(fleet_running, request->server_id);
	g_ptr_array_add(promoter->requests, p);
	pw_loop_timer_set(promoter->loop, &p->timer,
			  pw_loop_now_us(promoter->loop) + 100 * PW_US_PER_MS);
	return PW_OK;
}

static void fleet_promoter_free(struct pw_promoter *base)
{
	struct fleet_promoter *p = (struct fleet_promoter *)base;

	for (guint i = 0; i < p->requests->len; i++)
		pw_loop_timer_clear(p->loop,
				    &((struct fleet_promotion *)p->requests->pdata[i])->timer);
	g_ptr_array_unref(p->requests);
	g_free(p);
}

static const struct pw_promoter_ops fleet_promoter_ops = {
	.promote = fleet_promote,
	.free = fleet_promoter_free,
};

static int fleet_promoter_new(struct pw_promoter **out, struct pw_loop *loop, const char *address)
{
	struct fleet_promoter *p = g_new0(struct fleet_promoter, 1);

	(void)address;
	p->base.ops = &fleet_promoter_ops;
	p->loop = loop;
	p->requests = g_ptr_array_new_with_free_func(g_free);
	*out = &p->base;
	return PW_OK;
}

/* The store. */

static struct pw_store_kv fleet_record_kv(const struct fleet *f)
{
	return (struct pw_store_kv){
		.key = g_strdup(FLEET_RECORD_KEY),
		.value = g_strdup(f->record_text),
		.size_bytes = strlen(f->record_text),
		.mod_revision = f->record->revision,
	};
}

static size_t fleet_result_bytes(const struct pw_store_kv *kvs, size_t count)
{
	size_t size_bytes = FLEET_CALL_BYTES;

	/* Values are base64 text. */
	for (size_t i = 0; i < count; i++)
		size_bytes += FLEET_ITEM_BYTES + kvs[i].size_bytes * 4 / 3;
	return size_bytes;
}

/* Sends a result, of `size_bytes` on the wire, to a VM whose call was sent just now. */
static void fleet_answer(struct fleet_vm *vm, uint64_t tag, uint64_t timeout_us,
			 struct pw_store_result *r, size_t size_bytes)
{
	struct fleet *f = vm->fleet;
	struct pw_store_result_msg *m = g_new0(struct pw_store_result_msg, 1);
	uint64_t now_us = pw_clock_now_us(), arrival_us = now_us + 2 * FLEET_LOCAL_LATENCY_US;

	if (fleet_region(vm))
		arrival_us = MAX(fleet_pass_link(f, 1, FLEET_CALL_BYTES, false),
				 now_us + FLEET_REGION_LATENCY_US) +
			     fleet_pass_link(f, 0, size_bytes, false) - now_us;
	if (timeout_us && (vm->is_cut || arrival_us > now_us + timeout_us)) {
		enum pw_store_kind kind = r->kind;

		f->late_renewal_count += tag == TAG_LEASE_RENEW && !vm->is_cut;
		pw_store_result_free(r);
		r = pw_store_result_new(kind, PW_ETIMEOUT, "no answer");
		arrival_us = now_us + timeout_us;
	}
	m->base.ops = &pw_store_result_msg_ops;
	m->tag = tag;
	m->result = r;
	fleet_send_later(f, arrival_us, vm->directory.cluster, &m->base);
}

/* Ends the watch of a VM that the store does not reach any more. */
static void fleet_end_watch(struct fleet_vm *vm)
{
	struct pw_store_result *r =
		pw_store_result_new(PW_STORE_WATCH, PW_EUNAVAILABLE, "the watch was cut");

	if (!vm->has_watch) {
		pw_store_result_free(r);
		return;
	}
	vm->has_watch = false;
	((struct pw_store_watch_result *)r)->is_last = true;
	fleet_answer(vm, TAG_PRIMARIES_WATCH, 0, r, FLEET_CALL_BYTES);
}

/* Reports the record through the watch of a VM. */
static void fleet_send_record(struct fleet_vm *vm)
{
	struct pw_store_result *r = pw_store_result_new(PW_STORE_WATCH, PW_OK, NULL);
	struct pw_store_watch_result *w = (struct pw_store_watch_result *)r;

	w->events = g_new0(struct pw_store_event, 1);
	w->events[0].kind = PW_STORE_PUT;
	w->events[0].kv = fleet_record_kv(vm->fleet);
	w->event_count = 1;
	r->revision = vm->fleet->record->revision;
	fleet_answer(vm, TAG_PRIMARIES_WATCH, 0, r, fleet_result_bytes(&w->events[0].kv, 1));
}

static void fleet_publish_record(struct fleet *f)
{
	for (uint32_t i = 0; i < FLEET_VM_COUNT; i++) {
		if (f->vms[i].has_watch)
			fleet_send_record(&f->vms[i]);
	}
}

static void fleet_open_watch(struct fleet_vm *vm, const struct pw_store_watch *req)
{
	vm->has_watch = true;
	if (req->start_revision <= vm->fleet->record->revision)
		fleet_send_record(vm);
}

static bool fleet_has_entry(const struct fleet_vm *vm)
{
	return vm->entry_lease_id && vm->entry_lease_id == vm->lease_id &&
	       pw_clock_now_us() < vm->lease_until_us;
}

static void fleet_run_range(struct fleet_vm *vm, const struct pw_store_range_msg *m)
{
	struct fleet *f = vm->fleet;
	struct pw_store_result *r = pw_store_result_new(PW_STORE_RANGE, PW_OK, NULL);
	struct pw_store_range_result *range = (struct pw_store_range_result *)r;

	range->kvs = g_new0(struct pw_store_kv, FLEET_MEMBERS_PAGE + 1);
	if (!m->range.prefix)
		range->kvs[range->kv_count++] = fleet_record_kv(f);
	for (uint32_t i = 0; m->range.prefix && i < FLEET_VM_COUNT; i++) {
		const struct fleet_vm *other = &f->vms[i];
		const struct pw_fleet_member e = {
			.name = (char *)(uintptr_t)other->name,
			.address = (char *)(uintptr_t)other->address,
			.availability_zone = (char *)(uintptr_t) "zone-1",
			.incarnation = 1,
		};
		char *key = g_strconcat(m->range.key, other->name, NULL);

		if (!fleet_has_entry(other) ||
		    (m->range.after_key && strcmp(key, m->range.after_key) <= 0)) {
			g_free(key);
			continue;
		}
		if (range->kv_count == FLEET_MEMBERS_PAGE) {
			range->has_more = true;
			g_free(key);
			break;
		}
		range->kvs[range->kv_count].key = key;
		range->kvs[range->kv_count].value = pw_fleet_member_encode(&e);
		range->kvs[range->kv_count].size_bytes = strlen(range->kvs[range->kv_count].value);
		range->kvs[range->kv_count].mod_revision = other->entry_revision;
		range->kvs[range->kv_count].lease_id = other->lease_id;
		range->kv_count++;
	}
	r->revision = f->revision;
	fleet_answer(vm, m->base.tag, m->base.timeout_us, r,
		     fleet_result_bytes(range->kvs, range->kv_count));
}

static void fleet_run_txn(struct fleet_vm *vm, const struct pw_store_txn_msg *m)
{
	struct fleet *f = vm->fleet;
	struct pw_store_result *r = pw_store_result_new(PW_STORE_TXN, PW_OK, NULL);
	struct pw_store_txn_result *txn = (struct pw_store_txn_result *)r;
	bool is_record = strcmp(m->txn.changes[0].key, FLEET_RECORD_KEY) == 0;
	int64_t revision =
		is_record ? f->record->revision : (fleet_has_entry(vm) ? vm->entry_revision : 0);

	if (m->txn.compares[0].revision != revision) {
		r->code = PW_ECONFLICT;
		txn->kvs = g_new0(struct pw_store_kv, 1);
		txn->kv_count = 1;
		if (is_record)
			txn->kvs[0] = fleet_record_kv(f);
		else
			txn->kvs[0].mod_revision = revision;
	} else if (is_record) {
		struct pw_primaries *record;

		ck_assert_int_eq(pw_primaries_decode(&record, m->txn.changes[0].value,
						     m->txn.changes[0].size_bytes, f->revision + 1),
				 PW_OK);
		pw_primaries_unref(f->record);
		f->record = record;
		g_free(f->record_text);
		f->record_text = g_strdup(m->txn.changes[0].value);
		r->revision = ++f->revision;
		fleet_publish_record(f);
	} else {
		vm->entry_lease_id = m->txn.changes[0].lease_id;
		r->revision = vm->entry_revision = ++f->revision;
	}
	fleet_answer(vm, m->base.tag, m->base.timeout_us, r,
		     fleet_result_bytes(txn->kvs, txn->kv_count));
}

static void fleet_run_lease_call(struct fleet_vm *vm, const struct pw_store_lease_msg *m,
				 enum pw_store_kind kind)
{
	struct fleet *f = vm->fleet;
	struct pw_store_result *r = pw_store_result_new(kind, PW_OK, NULL);
	struct pw_store_lease_result *lease = (struct pw_store_lease_result *)r;
	uint64_t now_us = pw_clock_now_us();

	if (kind == PW_STORE_LEASE_GRANT) {
		vm->lease_id = ++f->last_lease_id;
		vm->lease_until_us = now_us + m->ttl_us;
		lease->ttl_us = m->ttl_us;
	} else if (kind == PW_STORE_LEASE_KEEP_ALIVE) {
		if (m->lease_id == vm->lease_id && now_us < vm->lease_until_us)
			vm->lease_until_us = now_us + MEMBER_LEASE_TTL_US;
		else
			r->code = PW_ENOTFOUND;
	} else {
		for (uint32_t i = 0; i < FLEET_VM_COUNT; i++) {
			struct fleet_vm *owner = &f->vms[i];

			if (owner->lease_id != m->lease_id)
				continue;
			owner->lease_until_us = 0;
			f->revoked_in_touch_count +=
				owner != vm && !owner->is_cut && !owner->is_turned_away;
		}
	}
	lease->lease_id = vm->lease_id;
	fleet_answer(vm, m->base.tag, m->base.timeout_us, r, FLEET_CALL_BYTES);
}

static void fleet_handle_store_request(void *data, struct pw_msg *m)
{
	struct fleet_vm *vm = data;
	const struct pw_store_request_msg *req = (const struct pw_store_request_msg *)m;
	const char *kind = m->ops->name;

	if (vm->is_cut || vm->is_turned_away) {
		/* A cut VM gets no answer, which fleet_answer() turns into a timeout. */
		if (strcmp(kind, "store_watch") == 0) {
			vm->has_watch = true;
			fleet_end_watch(vm);
		} else {
			enum pw_store_kind result_kind =
				strcmp(kind, "store_range") == 0 ? PW_STORE_RANGE
				: strcmp(kind, "store_txn") == 0 ? PW_STORE_TXN
								 : PW_STORE_LEASE_KEEP_ALIVE;

			fleet_answer(vm, req->tag, req->timeout_us,
				     pw_store_result_new(result_kind, PW_EUNAVAILABLE, "503"),
				     FLEET_CALL_BYTES);
		}
	} else if (strcmp(kind, "store_range") == 0) {
		fleet_run_range(vm, (const struct pw_store_range_msg *)m);
	} else if (strcmp(kind, "store_txn") == 0) {
		fleet_run_txn(vm, (const struct pw_store_txn_msg *)m);
	} else if (strcmp(kind, "store_lease_grant") == 0) {
		fleet_run_lease_call(vm, (const struct pw_store_lease_msg *)m,
				     PW_STORE_LEASE_GRANT);
	} else if (strcmp(kind, "store_lease_keep_alive") == 0) {
		fleet_run_lease_call(vm, (const struct pw_store_lease_msg *)m,
				     PW_STORE_LEASE_KEEP_ALIVE);
	} else if (strcmp(kind, "store_lease_revoke") == 0) {
		fleet_run_lease_call(vm, (const struct pw_store_lease_msg *)m,
				     PW_STORE_LEASE_REVOKE);
	} else if (strcmp(kind, "store_watch") == 0) {
		fleet_open_watch(vm, &((const struct pw_store_watch_msg *)m)->watch);
	}
	pw_msg_free(m);
}

/* The gateways. */

static void fleet_send_report(struct fleet_vm *vm)
{
	struct pw_traffic_report *r = pw_traffic_report_new(0);
	uint64_t now_us = pw_clock_now_us();

	vm->next_report_us = now_us + 100 * PW_US_PER_MS;
	r->settled_revision = vm->primaries ? vm->primaries->revision : 0;
	for (guint i = 0; vm->primaries && i < vm->primaries->entries->len; i++) {
		const struct pw_primary *p = g_ptr_array_index(vm->primaries->entries, i);
		const struct fleet_server *s = fleet_find_server(vm->fleet, p->server_id);
		struct pw_primary_reachability reachability = {
			.group = g_strdup(p->group),
			.generation = p->generation,
		};

		enum fleet_contact contact = i == 0 ? vm->contact : FLEET_CONTACT_ANSWERED;

		if (s->is_lost || vm->is_cut || contact == FLEET_CONTACT_LOST)
			reachability.unreachable_since_us = now_us - 600 * PW_US_PER_MS;
		else if (contact == FLEET_CONTACT_ANSWERED)
			reachability.last_answer_us = now_us;
		g_array_append_val(r->reachability, reachability);
	}
	pw_mailbox_send(vm->directory.cluster, &r->base);
}

static void fleet_handle_gateway_message(void *data, struct pw_msg *m)
{
	struct fleet_vm *vm = data;
	const struct pw_primaries_msg *msg = (const struct pw_primaries_msg *)m;

	if (m->ops == &pw_primaries_msg_ops) {
		bool is_newer = msg->primaries && msg->primaries != vm->primaries;

		vm->permit_until_us = msg->permit_until_us;
		if (is_newer) {
			pw_primaries_unref(vm->primaries);
			vm->primaries = pw_primaries_ref(msg->primaries);
			fleet_send_report(vm);
		}
	} else if (m->ops == &pw_primary_check_msg_ops) {
		vm->fleet->check_count++;
	}
	pw_msg_free(m);
}

static void fleet_discard_message(void *data, struct pw_msg *m)
{
	(void)data;
	pw_msg_free(m);
}

/* The fleet. */

static int fleet_open_socket(int type, char address[32], uint16_t *port)
{
	struct sockaddr_in a = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(a);
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	getsockname(fd, (struct sockaddr *)&a, &size);
	*port = ntohs(a.sin_port);
	snprintf(address, 32, "127.0.0.1:%u", *port);
	return fd;
}

static void fleet_add_server(struct fleet *f, uint32_t i)
{
	struct fleet_server *s = &f->servers[i];
	uint16_t port;

	snprintf(s->id, sizeof(s->id), "server%u", i);
	snprintf(s->group, sizeof(s->group), "database%u", i / 2);
	s->listener = fleet_open_socket(SOCK_STREAM, s->address, &port);
	ck_assert_int_eq(listen(s->listener, 64), 0);
	s->is_primary = i % 2 == 0;
	s->term = 3;
	if (s->is_primary) {
		struct pw_catalog_group *g = g_new0(struct pw_catalog_group, 1);

		g->name = g_strdup(s->group);
		g->connection_limit = 200;
		pw_catalog_add_group(f->catalog, g);
		pw_primaries_set(f->record, s->group, s->id, NULL, ++f->record->fencing_token);
	}
}

static void fleet_send_servers(struct fleet_vm *vm)
{
	struct pw_catalog_msg *catalog_msg = g_new0(struct pw_catalog_msg, 1);
	struct pw_servers_msg *servers_msg = g_new0(struct pw_servers_msg, 1);

	catalog_msg->base.ops = &pw_catalog_msg_ops;
	catalog_msg->catalog = pw_catalog_ref(vm->fleet->catalog);
	pw_mailbox_send(vm->directory.cluster, &catalog_msg->base);
	servers_msg->base.ops = &pw_servers_msg_ops;
	servers_msg->servers = pw_server_list_new();
	for (uint32_t i = 0; i < FLEET_SERVER_COUNT; i++) {
		const struct fleet_server *s = &vm->fleet->servers[i];
		struct pw_server_entry *e = g_new0(struct pw_server_entry, 1);

		e->id = g_strdup(s->id);
		e->group = g_strdup(s->group);
		e->address = g_strdup(s->address);
		e->availability_zone = g_strdup("zone-1");
		e->slots = 4;
		e->claims_primary = s->is_primary;
		g_ptr_array_add(servers_msg->servers->entries, e);
	}
	pw_mailbox_send(vm->directory.cluster, &servers_msg->base);
}

static void *fleet_run_vm(void *arg)
{
	fleet_current_vm = arg;
	pw_task_run(&pw_cluster_ops, fleet_current_vm->directory.cluster, &fleet_current_vm->args);
	return NULL;
}

static void fleet_init_vm(struct fleet *f, uint32_t i)
{
	struct fleet_vm *vm = &f->vms[i];

	vm->fleet = f;
	vm->index = i;
	snprintf(vm->name, sizeof(vm->name), "vm%03u", i);
	vm->reserved_fd = fleet_open_socket(SOCK_DGRAM, vm->address, &vm->port);
	f->vm_by_port[vm->port] = (uint16_t)i;
	vm->settings = (struct pw_process_settings){
		.vm_name = vm->name,
		.availability_zone = (char *)(uintptr_t) "zone-1",
		.service_name = (char *)(uintptr_t) "example",
		.peer_address = vm->address,
	};
	vm->binding = (struct pw_binding){
		.name = "test",
		.promoter_new = fleet_promoter_new,
		.server = &pw_platform_server_dialect,
	};
	pw_mailbox_new(&vm->other_inbox);
	pw_mailbox_new(&vm->gateway);
	vm->directory = (struct pw_directory){
		.settings = &vm->settings,
		.binding = &vm->binding,
		.admin = vm->other_inbox,
		.catalog = vm->other_inbox,
		.shutdown = vm->other_inbox,
		.gateways = &vm->gateway,
		.gateway_count = 1,
	};
	pw_mailbox_new(&vm->directory.cluster);
	pw_mailbox_new(&vm->directory.store);
	vm->args.directory = &vm->directory;
}

static struct fleet *fleet_start(void)
{
	struct fleet *f = g_new0(struct fleet, 1);
	char address[32];
	uint16_t port;

	fleet_running = f;
	g_mutex_init(&f->lock);
	f->events = g_sequence_new(NULL);
	f->sent = g_async_queue_new();
	f->vm_by_port = g_new0(uint16_t, UINT16_MAX + 1);
	f->catalog = pw_catalog_new();
	f->record = pw_primaries_new();
	f->record->revision = f->revision = 1;
	f->sender_fd = fleet_open_socket(SOCK_DGRAM, address, &port);
	for (uint32_t i = 0; i < FLEET_SERVER_COUNT; i++)
		fleet_add_server(f, i);
	f->record_text = pw_primaries_encode(f->record);
	for (uint32_t i = 0; i < FLEET_VM_COUNT; i++)
		fleet_init_vm(f, i);
	for (uint32_t i = 0; i < FLEET_VM_COUNT; i++)
		close(f->vms[i].reserved_fd);
	for (uint32_t i = 0; i < FLEET_VM_COUNT; i++) {
		pthread_create(&f->vms[i].thread, NULL, fleet_run_vm, &f->vms[i]);
		fleet_send_servers(&f->vms[i]);
	}
	pthread_create(&f->server_thread, NULL, fleet_run_servers, f);
	return f;
}

/* Plays the surroundings of the tasks until a condition holds, or for `timeout_ms`. */
static bool fleet_wait_for(struct fleet *f, bool (*holds)(const struct fleet *f),
			   uint32_t timeout_ms)
{
	uint64_t end_us = pw_clock_now_us() + timeout_ms * PW_US_PER_MS;

	while (!holds(f)) {
		uint64_t now_us = pw_clock_now_us();

		if (now_us >= end_us)
			return false;
		for (uint32_t i = 0; i < FLEET_VM_COUNT; i++) {
			struct fleet_vm *vm = &f->vms[i];

			pw_mailbox_receive_all(vm->directory.store, fleet_handle_store_request, vm);
			pw_mailbox_receive_all(vm->gateway, fleet_handle_gateway_message, vm);
			pw_mailbox_receive_all(vm->other_inbox, fleet_discard_message, vm);
			if (now_us >= vm->next_report_us)
				fleet_send_report(vm);
		}
		fleet_deliver(f);
		g_usleep(500);
	}
	return true;
}

static bool fleet_never(const struct fleet *f)
{
	(void)f;
	return false;
}

/* Whether every VM may use the primaries. */
static bool fleet_has_permits(const struct fleet *f)
{
	uint64_t now_us = pw_clock_now_us();

	for (uint32_t i = 0; i < FLEET_VM_COUNT; i++) {
		if (!pw_permit_is_valid(f->vms[i].permit_until_us, now_us))
			return false;
	}
	return true;
}

/* Number of groups whose primary is lost or being changed, by the record. */
static uint32_t fleet_count_lost_groups(const struct fleet *f)
{
	uint32_t count = 0;

	for (guint i = 0; i < f->record->entries->len; i++) {
		const struct pw_primary *p = g_ptr_array_index(f->record->entries, i);

		count += p->changing ||
			 fleet_find_server((struct fleet *)(uintptr_t)f, p->server_id)->is_lost;
	}
	return count;
}

/* Starts the counts of the links and of leases that were revoked. */
static void fleet_reset_counts(struct fleet *f)
{
	f->revoked_in_touch_count = f->late_renewal_count = f->check_count = 0;
	g_mutex_lock(&f->lock);
	for (uint32_t i = 0; i < FLEET_REGION_COUNT; i++)
		f->links[i] = (struct fleet_link){ .busy_until_us = f->links[i].busy_until_us };
	for (uint32_t i = 0; i < FLEET_VM_COUNT; i++)
		f->vms[i].most_datagrams = 0;
	g_mutex_unlock(&f->lock);
}

static void fleet_stop(struct fleet *f)
{
	struct fleet_event *e;

	for (uint32_t i = 0; i < FLEET_VM_COUNT; i++)
		pw_mailbox_send(f->vms[i].directory.cluster, pw_task_stop_msg_new());
	for (uint32_t i = 0; i < FLEET_VM_COUNT; i++) {
		struct fleet_vm *vm = &f->vms[i];

		pthread_join(vm->thread, NULL);
		pw_mailbox_free(vm->directory.cluster);
		pw_mailbox_free(vm->directory.store);
		pw_mailbox_free(vm->gateway);
		pw_mailbox_free(vm->other_inbox);
		pw_primaries_unref(vm->primaries);
	}
	g_atomic_int_set(&f->is_stopping, true);
	pthread_join(f->server_thread, NULL);
	for (uint32_t i = 0; i < FLEET_SERVER_COUNT; i++)
		close(f->servers[i].listener);
	close(f->sender_fd);
	while ((e = g_async_queue_try_pop(f->sent)))
		g_sequence_append(f->events, e);
	for (GSequenceIter *i = g_sequence_get_begin_iter(f->events); !g_sequence_iter_is_end(i);
	     i = g_sequence_iter_next(i)) {
		e = g_sequence_get(i);
		if (e->datagram)
			g_bytes_unref(e->datagram);
		else
			pw_msg_free(e->message);
		g_free(e);
	}
	g_sequence_free(f->events);
	g_async_queue_unref(f->sent);
	g_free(f->vm_by_port);
	pw_catalog_unref(f->catalog);
	pw_primaries_unref(f->record);
	g_free(f->record_text);
	g_mutex_clear(&f->lock);
	g_free(f);
}

#endif
