/**
 * @file failover_sim.h
 * Deterministic simulation of one database group, its proxies (one on each VM) and the store in
 * virtual time. It runs the modules health, failover and confirm, injects faults and checks the
 * modules' invariants.
 */
#ifndef PW_TESTS_FAILOVER_SIM_H
#define PW_TESTS_FAILOVER_SIM_H

#include <glib.h>
#include <string.h>

#include "pw/core/clock.h"
#include "pw/decide/confirm.h"
#include "pw/decide/failover.h"
#include "pw/decide/health.h"

#define SIM_SERVER_COUNT   3
#define SIM_PROXIES_MAX    9
#define SIM_TICK_US        (20 * PW_US_PER_MS)
#define SIM_PROBE_US       (200 * PW_US_PER_MS)
#define SIM_FAULT_START_US (1500 * PW_US_PER_MS)

/*
 * Steps of a failover attempt at which a fault may be injected: a message is sent (OUT), or its
 * answer is received (IN).
 */
enum sim_step {
	STEP_NONE,
	STEP_VOTE_OUT,
	STEP_LEASE_OUT,
	STEP_LEASE_IN,
	STEP_FENCE_OUT,
	STEP_FENCE_IN,
	STEP_PROMOTE_OUT,
	STEP_PROMOTE_IN,
	STEP_RECORD_OUT,
	STEP_RECORD_IN,
	STEP_FOLLOW_OUT,
	STEP_ANNOUNCE_OUT,
	STEP_COUNT,
};

/* Fault that is injected at the step into the first promoter that reaches it. */
enum sim_fault {
	FAULT_NONE,
	FAULT_KILL,  /**< the promoter dies before the message is sent or handled */
	FAULT_PAUSE, /**< the promoter is paused for 3 s, then goes on with the message */
	FAULT_LOSE,  /**< the message is lost; if it is an answer, its request took effect */
	FAULT_COUNT,
};

/* Fault of the primary, with which each run starts. */
enum sim_primary_fault {
	PRIMARY_KILLED,        /**< killed for the rest of the run, connections get no answer */
	PRIMARY_REFUSES,       /**< killed for the rest of the run, connections are refused */
	PRIMARY_CUT_FROM_ALL,  /**< alive, cut from all proxies and replicas for 4 s */
	PRIMARY_CUT_FROM_MOST, /**< alive, cut from two thirds of the proxies for 4 s */
	PRIMARY_CUT_FROM_ONE,  /**< alive, cut from one proxy for 4 s */
	PRIMARY_SLOW,          /**< for 4 s its answers come 600 ms later, those to writes 900 ms */
	PRIMARY_FAULT_COUNT,
};

/* Second fault that is active in the same run. */
enum sim_second_fault {
	SECOND_NONE,
	SECOND_STORE_DOWN,
	SECOND_STORE_LOSES_ANSWERS, /**< the store works, but half of its answers are lost */
	SECOND_PAUSE,               /**< a promoter is paused at its promote command for 3 s */
	SECOND_REGION_CUT,  /**< the link between regions is cut for 4 s when the primary fails */
	SECOND_EQUAL_RANKS, /**< each rank is held by two proxies and the store is down */
	SECOND_FAULT_COUNT,
};

/* Safety mechanisms that are off. A test checks that the simulation detects each of them. */
struct sim_unsafe {
	bool naive;       /**< naive failover, see naive_tick() */
	bool no_majority; /**< failover option unsafe_no_majority */
	bool any_log;     /**< failover option unsafe_any_log */
	bool no_confirm;  /**< confirm option unsafe_no_confirmation */
};

struct sim_config {
	uint32_t seed;
	uint32_t proxy_count;
	uint32_t latency_factor; /**< factor that multiplies all latencies */
	enum sim_primary_fault primary_fault;
	enum sim_step step; /**< step at which `fault` is injected */
	enum sim_fault fault;
	enum sim_second_fault second_fault;
	struct sim_unsafe unsafe;
	uint64_t length_us; /**< length of the run in virtual time */
};

/* Entry of a server's log. */
struct sim_entry {
	uint64_t term;
	uint32_t write; /**< index in `writes` of struct sim */
};

struct sim_server {
	struct pw_server_status status;
	uint64_t fencer;          /**< promoter that fenced the server; 0: none */
	int32_t following;        /**< index of the primary that it follows; -1: none */
	uint64_t heard_us;        /**< when it last heard from that primary */
	uint64_t replication_seq; /**< number of the newest log that it received */
	GArray *log;              /**< struct sim_entry; lsn counts entries */
	bool log_shared; /**< the log is referenced elsewhere, too; it is copied before a change */
	bool dead;
};

struct sim_proxy {
	struct pw_failover *failover;
	struct pw_confirm *confirm;
	struct pw_health health[SIM_SERVER_COUNT];
	uint64_t probed_us;        /**< when it last probed the servers */
	uint64_t naive_attempt_us; /**< when naive_tick() last started a failover */
	uint64_t paused_until_us;
	GQueue deferred; /**< messages to send and events to handle after the pause */
	bool dead;
};

struct sim_write {
	uint64_t term;
	uint64_t answered_us;
	uint64_t acknowledged_us; /**< 0: not acknowledged */
	bool replicated;
};

struct sim_promotion {
	uint64_t term;
	uint64_t at_us;
	uint32_t server;
	GArray *log; /**< log of the server at the promotion */
};

/* Kinds of events, each with the part that handles it. */
enum sim_event_kind {
	SIM_TICK,           /**< proxy: its timer */
	SIM_SEND_LOG,       /**< server: a primary sends its log to the others */
	SIM_CLIENT_WRITE,   /**< proxy: a caller sends a write */
	SIM_FAULT_START,    /**< simulation */
	SIM_FAULT_END,      /**< simulation */
	SIM_STATUS_REQUEST, /**< server: a probe */
	SIM_STATUS,         /**< proxy: the answer to a probe */
	SIM_REFUSED,        /**< proxy: the connection for a probe was refused */
	SIM_WRITE,          /**< server */
	SIM_WRITE_ANSWER,   /**< proxy */
	SIM_LOG,            /**< server: the log of another server */
	SIM_CALL,           /**< server: a fence, promote or follow command */
	SIM_CALL_RESULT,    /**< proxy */
	SIM_STORE,          /**< store: a request for the lease or the record */
	SIM_STORE_RESULT,   /**< proxy */
	SIM_VOTE,           /**< proxy: the vote of a peer */
	SIM_ANNOUNCE,       /**< proxy: a primary that a peer announces */
	SIM_RESUME,         /**< proxy: the end of a pause */
};

struct sim_event {
	uint64_t at_us;
	uint64_t seq; /**< breaks ties between events of the same time */
	enum sim_event_kind kind;
	uint32_t proxy;   /**< proxy that sends or receives it; SIM_LOG: server that sends */
	uint32_t server;  /**< server that receives it or answers; SIM_LOG: server that receives */
	uint64_t sent_us; /**< when the probe was sent */
	struct pw_server_status status;
	struct pw_failover_action action; /**< of a call or its result */
	enum pw_failover_result result;
	struct pw_failover_record record;
	struct pw_failover_vote vote; /**< SIM_VOTE; SIM_ANNOUNCE: `peer` is the sender */
	bool has_record, has_status;
	uint32_t write; /**< index in `writes` of struct sim; SIM_LOG: number of the log sent */
	GArray *log;    /**< SIM_LOG: the sender's log */
};

struct sim {
	struct sim_config config;
	GRand *rand;
	GPtrArray *queue; /**< binary heap of struct sim_event */
	uint64_t now_us, seq;
	struct sim_server servers[SIM_SERVER_COUNT];
	struct sim_proxy proxies[SIM_PROXIES_MAX];
	GArray *writes;     /**< struct sim_write */
	GArray *promotions; /**< struct sim_promotion; term 1 has none */
	struct pw_failover_record record;
	uint64_t lease_term;
	uint32_t lease_holder;
	bool fault_done, second_fault_done;
	int32_t promoter;  /**< proxy into which the fault was injected; -1: none yet */
	bool fault_active; /**< the faults of the primary and of the region are active */
	char violation[160];
	uint64_t max_ack_gap_us; /**< longest time without an acknowledgement */
	/** Longest time from a promotion to the acknowledgement of a write of an older term. */
	uint64_t max_ack_after_promotion_us;
};

static inline void sim_report_violation(struct sim *s, const char *format, ...) G_GNUC_PRINTF(2, 3);

static inline void sim_report_violation(struct sim *s, const char *format, ...)
{
	va_list args;

	if (s->violation[0])
		return;
	va_start(args, format);
	g_vsnprintf(s->violation, sizeof(s->violation), format, args);
	va_end(args);
}

/* --- Event queue --- */

static inline bool sim_event_precedes(const struct sim_event *a, const struct sim_event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->seq < b->seq;
}

static inline void sim_push(struct sim *s, struct sim_event *e)
{
	guint i = s->queue->len;

	e->seq = s->seq++;
	g_ptr_array_add(s->queue, e);
	while (i && sim_event_precedes(e, s->queue->pdata[(i - 1) / 2])) {
		s->queue->pdata[i] = s->queue->pdata[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	s->queue->pdata[i] = e;
}

static inline struct sim_event *sim_pop(struct sim *s)
{
	struct sim_event *first = s->queue->pdata[0];
	struct sim_event *last = g_ptr_array_remove_index(s->queue, s->queue->len - 1);
	guint i = 0, n = s->queue->len;

	if (!n)
		return first;
	for (;;) {
		guint child = 2 * i + 1;

		if (child + 1 < n &&
		    sim_event_precedes(s->queue->pdata[child + 1], s->queue->pdata[child]))
			child++;
		if (child >= n || !sim_event_precedes(s->queue->pdata[child], last))
			break;
		s->queue->pdata[i] = s->queue->pdata[child];
		i = child;
	}
	s->queue->pdata[i] = last;
	return first;
}

static inline struct sim_event *sim_event_new(enum sim_event_kind kind, uint32_t proxy,
					      uint32_t server)
{
	struct sim_event *e = g_new0(struct sim_event, 1);

	e->kind = kind;
	e->proxy = proxy;
	e->server = server;
	return e;
}

static inline void sim_event_free(gpointer data)
{
	struct sim_event *e = data;

	if (e->log)
		g_array_unref(e->log);
	g_free(e);
}

/* --- Network --- */

/* Zones 0 and 1 form one region, zone 2 the other. Server i is in zone i, the store in zone 0. */
static inline uint32_t sim_proxy_zone(uint32_t proxy)
{
	return proxy % 3;
}

static inline bool sim_region_is_cut(const struct sim *s, uint32_t a, uint32_t b)
{
	return s->fault_active && s->config.second_fault == SECOND_REGION_CUT &&
	       (a == 2) != (b == 2);
}

static inline uint64_t sim_latency_us(struct sim *s, uint32_t a, uint32_t b)
{
	uint64_t base_us = (a == 2) != (b == 2) ? 20000 : a == b ? 200 : 1500;

	return s->config.latency_factor * (base_us + (uint64_t)g_rand_int_range(s->rand, 0, 300));
}

static inline bool sim_is_cut(const struct sim *s, uint32_t proxy, uint32_t server)
{
	if (sim_region_is_cut(s, sim_proxy_zone(proxy), server))
		return true;
	if (!s->fault_active || server != 0)
		return false;
	switch (s->config.primary_fault) {
	case PRIMARY_CUT_FROM_ALL:
		return true;
	case PRIMARY_CUT_FROM_MOST:
		return proxy % 3 != 0;
	case PRIMARY_CUT_FROM_ONE:
		return proxy == 1;
	default:
		return false;
	}
}

static inline void sim_send(struct sim *s, struct sim_event *e, uint32_t from, uint32_t to)
{
	if (sim_region_is_cut(s, from, to)) {
		sim_event_free(e);
		return;
	}
	e->at_us = s->now_us + sim_latency_us(s, from, to);
	sim_push(s, e);
}

static inline void sim_send_to_server(struct sim *s, struct sim_event *e)
{
	if (sim_is_cut(s, e->proxy, e->server))
		sim_event_free(e);
	else
		sim_send(s, e, sim_proxy_zone(e->proxy), e->server);
}

static inline void sim_send_to_proxy(struct sim *s, struct sim_event *e)
{
	if (sim_is_cut(s, e->proxy, e->server)) {
		sim_event_free(e);
		return;
	}
	sim_send(s, e, e->server, sim_proxy_zone(e->proxy));
}

/* --- Fault injection at a step --- */

/*
 * Injects the fault that is configured for a step.
 *
 * @return true if the event was consumed; a paused proxy handles it at the end of the pause
 */
static inline bool sim_inject_fault(struct sim *s, enum sim_step step, uint32_t proxy,
				    struct sim_event *e)
{
	struct sim_proxy *p = &s->proxies[proxy];
	enum sim_fault fault = FAULT_NONE;

	if (s->now_us < SIM_FAULT_START_US || s->config.unsafe.naive)
		return false;
	if (!s->fault_done && step == s->config.step) {
		fault = s->config.fault;
		s->fault_done = true;
		s->promoter = (int32_t)proxy;
	} else if (s->config.second_fault == SECOND_PAUSE && !s->second_fault_done &&
		   step == STEP_PROMOTE_OUT) {
		fault = FAULT_PAUSE;
		s->second_fault_done = true;
	}
	switch (fault) {
	case FAULT_KILL:
		p->dead = true;
		sim_event_free(e);
		return true;
	case FAULT_PAUSE:
		p->paused_until_us = s->now_us + 3 * PW_US_PER_S;
		g_queue_push_tail(&p->deferred, e);
		e = sim_event_new(SIM_RESUME, proxy, 0);
		e->at_us = p->paused_until_us;
		sim_push(s, e);
		return true;
	case FAULT_LOSE:
		sim_event_free(e);
		return true;
	default:
		return false;
	}
}

/* Returns the step that a proxy takes by sending the event; STEP_NONE if it is none. */
static inline enum sim_step sim_send_step(const struct sim_event *e)
{
	switch (e->kind) {
	case SIM_VOTE:
		return STEP_VOTE_OUT;
	case SIM_ANNOUNCE:
		return STEP_ANNOUNCE_OUT;
	case SIM_STORE:
		return e->action.kind == PW_FAILOVER_ACQUIRE_LEASE ? STEP_LEASE_OUT
								   : STEP_RECORD_OUT;
	case SIM_CALL:
		return e->action.kind == PW_FAILOVER_FENCE     ? STEP_FENCE_OUT
		       : e->action.kind == PW_FAILOVER_PROMOTE ? STEP_PROMOTE_OUT
							       : STEP_FOLLOW_OUT;
	default:
		return STEP_NONE;
	}
}

/* Returns the step that a proxy takes by handling the event; STEP_NONE if it is none. */
static inline enum sim_step sim_receive_step(const struct sim_event *e)
{
	if (e->kind == SIM_STORE_RESULT)
		return e->action.kind == PW_FAILOVER_ACQUIRE_LEASE ? STEP_LEASE_IN : STEP_RECORD_IN;
	if (e->kind == SIM_CALL_RESULT)
		return e->action.kind == PW_FAILOVER_FENCE     ? STEP_FENCE_IN
		       : e->action.kind == PW_FAILOVER_PROMOTE ? STEP_PROMOTE_IN
							       : STEP_NONE;
	return STEP_NONE;
}

/* --- Servers --- */

static inline void sim_refresh_status(struct sim *s, struct sim_server *sv)
{
	sv->status.lsn = sv->log->len;
	sv->status.log_term =
		sv->log->len ? g_array_index(sv->log, struct sim_entry, sv->log->len - 1).term : 1;
	sv->status.primary_silence_ms = sv->status.role == PW_SERVER_PRIMARY
						? 0
						: (s->now_us - sv->heard_us) / PW_US_PER_MS;
}

static inline GArray *sim_log_copy(const GArray *log)
{
	GArray *copy = g_array_sized_new(FALSE, FALSE, sizeof(struct sim_entry), log->len);

	g_array_append_vals(copy, log->data, log->len);
	return copy;
}

static inline GArray *sim_log_share(struct sim_server *sv)
{
	sv->log_shared = true;
	return g_array_ref(sv->log);
}

static inline void sim_log_unshare(struct sim_server *sv)
{
	GArray *copy;

	if (!sv->log_shared)
		return;
	copy = sim_log_copy(sv->log);
	g_array_unref(sv->log);
	sv->log = copy;
	sv->log_shared = false;
}

static inline bool sim_server_promote(struct sim *s, uint32_t i, uint64_t term, uint64_t promoter)
{
	struct sim_server *sv = &s->servers[i];
	struct sim_promotion p = { .term = term, .at_us = s->now_us, .server = i };

	if (sv->status.term != term || sv->fencer != promoter)
		return false;
	if (sv->status.role == PW_SERVER_PRIMARY)
		return true;
	for (guint k = 0; k < s->promotions->len; k++) {
		const struct sim_promotion *q =
			&g_array_index(s->promotions, struct sim_promotion, k);

		if (q->term == term && q->server != i)
			sim_report_violation(s, "two promotions for term %lu", (unsigned long)term);
	}
	sv->status.role = PW_SERVER_PRIMARY;
	sv->status.term_start_lsn = sv->log->len;
	p.log = sim_log_share(sv);
	g_array_append_val(s->promotions, p);
	return true;
}

static inline bool sim_server_call(struct sim *s, uint32_t i, const struct pw_failover_action *a,
				   uint64_t promoter)
{
	struct sim_server *sv = &s->servers[i];

	switch (a->kind) {
	case PW_FAILOVER_FENCE:
		if (a->term == sv->status.term && sv->fencer == promoter)
			return true;
		if (a->term <= sv->status.term)
			return false;
		sv->status.term = a->term;
		sv->status.role = PW_SERVER_FENCED;
		sv->fencer = promoter;
		return true;
	case PW_FAILOVER_PROMOTE:
		return sim_server_promote(s, i, a->term, promoter);
	default:
		if (a->term < sv->status.term ||
		    (a->term == sv->status.term && sv->status.role == PW_SERVER_PRIMARY))
			return false;
		if (sv->following != (int32_t)a->primary || a->term > sv->status.term)
			sv->replication_seq = 0;
		sv->status.term = a->term;
		sv->status.role = PW_SERVER_REPLICA;
		sv->following = (int32_t)a->primary;
		sv->fencer = 0;
		return true;
	}
}

/* Returns the promoter's name in fence and promote commands; it is never 0, which means none. */
static inline uint64_t sim_promoter_id(uint32_t proxy)
{
	return proxy + 100;
}

/* Returns the delay that a slow primary adds to its answer. */
static inline uint64_t sim_server_delay_us(const struct sim *s, uint32_t server, bool is_write)
{
	bool is_slow = s->fault_active && s->config.primary_fault == PRIMARY_SLOW && server == 0;

	return is_slow ? (is_write ? 900 : 600) * PW_US_PER_MS : 0;
}

static inline void sim_answer(struct sim *s, struct sim_event *e, uint64_t delay_us)
{
	if (sim_is_cut(s, e->proxy, e->server)) {
		sim_event_free(e);
		return;
	}
	e->at_us = s->now_us + delay_us + sim_latency_us(s, e->server, sim_proxy_zone(e->proxy));
	sim_push(s, e);
}

static inline void sim_server_event(struct sim *s, struct sim_event *e)
{
	struct sim_server *sv = &s->servers[e->server];

	if (sv->dead) {
		if (s->config.primary_fault == PRIMARY_REFUSES && e->kind == SIM_STATUS_REQUEST) {
			e->kind = SIM_REFUSED;
			sim_send_to_proxy(s, e);
		} else {
			sim_event_free(e);
		}
		return;
	}
	if (e->kind == SIM_STATUS_REQUEST) {
		e->kind = SIM_STATUS;
	} else if (e->kind == SIM_CALL) {
		e->kind = SIM_CALL_RESULT;
		e->result = sim_server_call(s, e->server, &e->action, sim_promoter_id(e->proxy))
				    ? PW_FAILOVER_RESULT_OK
				    : PW_FAILOVER_RESULT_REFUSED;
	} else {
		bool accepted = sv->status.role == PW_SERVER_PRIMARY;
		struct sim_entry entry = { .term = sv->status.term, .write = e->write };

		if (!accepted) {
			sim_event_free(e);
			return;
		}
		sim_log_unshare(sv);
		g_array_append_val(sv->log, entry);
		e->kind = SIM_WRITE_ANSWER;
	}
	sim_refresh_status(s, sv);
	e->status = sv->status;
	e->has_status = true;
	sim_answer(s, e, sim_server_delay_us(s, e->server, e->kind == SIM_WRITE_ANSWER));
}

/* A primary sends its log every 10 ms. One replica gets it up to 30 ms later, one up to 400 ms. */
static inline void sim_send_log(struct sim *s, struct sim_event *tick)
{
	struct sim_server *sv = &s->servers[tick->server];
	uint32_t lagging = 1 + s->config.seed % 2;

	tick->at_us = s->now_us + 10 * PW_US_PER_MS;
	sim_push(s, tick);
	if (sv->dead || sv->status.role != PW_SERVER_PRIMARY)
		return;
	for (uint32_t i = 0; i < SIM_SERVER_COUNT; i++) {
		struct sim_event *e;

		if (i == tick->server || sim_region_is_cut(s, tick->server, i) ||
		    (s->fault_active && s->config.primary_fault == PRIMARY_CUT_FROM_ALL &&
		     (i == 0 || tick->server == 0)))
			continue;
		e = sim_event_new(SIM_LOG, tick->server, i);
		e->log = sim_log_share(sv);
		e->status = sv->status;
		e->write = (uint32_t)s->seq;
		e->at_us = s->now_us + sim_latency_us(s, tick->server, i) +
			   (uint64_t)g_rand_int_range(s->rand, 0, i == lagging ? 400000 : 30000);
		sim_push(s, e);
	}
}

/* A replica takes over the log of the primary that it follows, unless it has a newer one. */
static inline void sim_receive_log(struct sim *s, struct sim_event *e)
{
	struct sim_server *sv = &s->servers[e->server];

	if (!sv->dead && sv->status.role == PW_SERVER_REPLICA &&
	    sv->following == (int32_t)e->proxy && e->status.term == sv->status.term &&
	    e->write > sv->replication_seq) {
		sv->replication_seq = e->write;
		sv->heard_us = s->now_us;
		g_array_unref(sv->log);
		sv->log = g_steal_pointer(&e->log);
		sv->log_shared = true;
		sv->status.term_start_lsn = e->status.term_start_lsn;
	}
	sim_event_free(e);
}

/* --- Store --- */

static inline void sim_store(struct sim *s, struct sim_event *e)
{
	if ((s->config.second_fault == SECOND_STORE_DOWN ||
	     s->config.second_fault == SECOND_EQUAL_RANKS) &&
	    s->now_us >= SIM_FAULT_START_US) {
		sim_event_free(e);
		return;
	}
	e->kind = SIM_STORE_RESULT;
	e->result = PW_FAILOVER_RESULT_OK;
	if (e->action.kind == PW_FAILOVER_ACQUIRE_LEASE) {
		if (e->action.term <= s->lease_term && s->lease_holder != e->proxy)
			e->result = PW_FAILOVER_RESULT_REFUSED;
		else
			s->lease_holder = e->proxy;
		s->lease_term = MAX(s->lease_term, e->action.term);
	} else if (e->action.kind == PW_FAILOVER_WRITE_RECORD) {
		if (e->action.revision == s->record.revision) {
			if (e->action.term <= s->record.term)
				sim_report_violation(s, "the record went back to term %lu",
						     (unsigned long)e->action.term);
			s->record = (struct pw_failover_record){
				.term = e->action.term,
				.server = e->action.primary,
				.revision = s->record.revision + 1,
			};
		} else {
			e->result = PW_FAILOVER_RESULT_REFUSED;
		}
	}
	if (s->config.second_fault == SECOND_STORE_LOSES_ANSWERS &&
	    s->now_us >= SIM_FAULT_START_US && g_rand_boolean(s->rand)) {
		sim_event_free(e);
		return;
	}
	e->record = s->record;
	e->has_record = e->action.kind != PW_FAILOVER_ACQUIRE_LEASE;
	sim_send(s, e, 0, sim_proxy_zone(e->proxy));
}

/* --- Proxies --- */

static inline void sim_send_probes(struct sim *s, uint32_t proxy)
{
	for (uint32_t i = 0; i < SIM_SERVER_COUNT; i++) {
		struct sim_event *e = sim_event_new(SIM_STATUS_REQUEST, proxy, i);

		e->sent_us = s->now_us;
		pw_health_record_probe(&s->proxies[proxy].health[i], s->now_us);
		sim_send_to_server(s, e);
	}
}

static inline void sim_acknowledge(struct sim *s, uint32_t write)
{
	struct sim_write *w = &g_array_index(s->writes, struct sim_write, write);

	w->acknowledged_us = s->now_us;
	for (guint i = 0; i < s->promotions->len; i++) {
		const struct sim_promotion *p =
			&g_array_index(s->promotions, struct sim_promotion, i);

		/*
		 * A write that was answered before the promotion may be acknowledged while the
		 * probes are in flight; a promotion before the answer must be detected.
		 */
		if (p->term > w->term)
			s->max_ack_after_promotion_us =
				MAX(s->max_ack_after_promotion_us, s->now_us - p->at_us);
		if (p->term > w->term && p->at_us <= w->answered_us)
			sim_report_violation(s,
					     "write of term %lu acknowledged after term %lu began",
					     (unsigned long)w->term, (unsigned long)p->term);
	}
}

static inline void sim_run_confirm_actions(struct sim *s, uint32_t proxy, GArray *out)
{
	bool probe = false;

	for (guint i = 0; i < out->len; i++) {
		const struct pw_confirm_action *a =
			&g_array_index(out, struct pw_confirm_action, i);

		if (a->kind == PW_CONFIRM_PROBE)
			probe = true;
		else if (a->kind == PW_CONFIRM_ACKNOWLEDGE)
			sim_acknowledge(s, (uint32_t)a->id);
	}
	g_array_free(out, TRUE);
	if (probe)
		sim_send_probes(s, proxy);
}

static inline GArray *sim_new_confirm_actions(void)
{
	return g_array_new(FALSE, FALSE, sizeof(struct pw_confirm_action));
}

static inline GArray *sim_new_failover_actions(void)
{
	return g_array_new(FALSE, FALSE, sizeof(struct pw_failover_action));
}

/* Sends a proxy's message on its way; an event of another kind is put into the queue again. */
static inline void sim_transmit(struct sim *s, struct sim_event *e)
{
	switch (e->kind) {
	case SIM_CALL:
		sim_send_to_server(s, e);
		break;
	case SIM_STORE:
		sim_send(s, e, sim_proxy_zone(e->proxy), 0);
		break;
	case SIM_VOTE:
	case SIM_ANNOUNCE:
		sim_send(s, e, sim_proxy_zone((uint32_t)e->vote.peer), sim_proxy_zone(e->proxy));
		break;
	default:
		e->at_us = s->now_us;
		sim_push(s, e);
	}
}

static inline void sim_send_from_proxy(struct sim *s, uint32_t proxy, struct sim_event *e)
{
	struct sim_proxy *p = &s->proxies[proxy];

	if (p->dead)
		sim_event_free(e);
	else if (p->paused_until_us > s->now_us)
		g_queue_push_tail(&p->deferred, e);
	else if (!sim_inject_fault(s, sim_send_step(e), proxy, e))
		sim_transmit(s, e);
}

static inline void sim_send_to_peers(struct sim *s, uint32_t proxy, enum sim_event_kind kind,
				     const struct pw_failover_action *a)
{
	for (uint32_t i = 0; i < s->config.proxy_count; i++) {
		struct sim_event *e;

		if (i == proxy)
			continue;
		e = sim_event_new(kind, i, 0);
		e->vote = (struct pw_failover_vote){
			.peer = proxy,
			.term = a->term,
			.suspects = a->suspects,
		};
		e->record = (struct pw_failover_record){ .term = a->term, .server = a->primary };
		sim_send_from_proxy(s, proxy, e);
	}
}

static inline void sim_run_failover_actions(struct sim *s, uint32_t proxy, GArray *out)
{
	for (guint i = 0; i < out->len; i++) {
		const struct pw_failover_action *a =
			&g_array_index(out, struct pw_failover_action, i);
		struct sim_event *e = NULL;

		switch (a->kind) {
		case PW_FAILOVER_PUBLISH_VOTE:
			sim_send_to_peers(s, proxy, SIM_VOTE, a);
			break;
		case PW_FAILOVER_ANNOUNCE_PRIMARY:
			sim_send_to_peers(s, proxy, SIM_ANNOUNCE, a);
			break;
		case PW_FAILOVER_ACQUIRE_LEASE:
		case PW_FAILOVER_WRITE_RECORD:
		case PW_FAILOVER_READ_RECORD:
			e = sim_event_new(SIM_STORE, proxy, 0);
			break;
		case PW_FAILOVER_FENCE:
		case PW_FAILOVER_PROMOTE:
		case PW_FAILOVER_FOLLOW:
			e = sim_event_new(SIM_CALL, proxy, a->server);
			break;
		default:
			break;
		}
		if (e) {
			e->action = *a;
			sim_send_from_proxy(s, proxy, e);
		}
	}
	g_array_free(out, TRUE);
}

static inline void sim_run_health_actions(struct sim *s, uint32_t proxy, uint32_t server,
					  uint32_t actions)
{
	struct sim_proxy *p = &s->proxies[proxy];
	GArray *out = sim_new_failover_actions();

	if (actions & PW_HEALTH_OPEN_FRESH) {
		struct sim_event *e = sim_event_new(SIM_STATUS_REQUEST, proxy, server);

		e->sent_us = s->now_us;
		sim_send_to_server(s, e);
	}
	if (actions & PW_HEALTH_CHANGED)
		pw_failover_handle_health(p->failover, server, p->health[server].state, s->now_us,
					  out);
	sim_run_failover_actions(s, proxy, out);
}

/*
 * Naive failover: a proxy that gets no answer for 800 ms promotes the first replica that it
 * reaches, without votes, a lease or a majority. Writes are acknowledged without confirmation.
 */
static inline void naive_tick(struct sim *s, uint32_t proxy)
{
	struct sim_proxy *p = &s->proxies[proxy];
	struct pw_failover_record known = pw_failover_primary(p->failover);
	const uint64_t limit_us = 800 * PW_US_PER_MS;

	if (s->now_us < SIM_FAULT_START_US || s->now_us - p->naive_attempt_us < limit_us ||
	    s->now_us - p->health[known.server].last_answer_us < limit_us)
		return;
	p->naive_attempt_us = s->now_us;
	for (uint32_t i = 0; i < SIM_SERVER_COUNT; i++) {
		struct sim_event *e;

		if (i == known.server || s->now_us - p->health[i].last_answer_us >= limit_us)
			continue;
		e = sim_event_new(SIM_CALL, proxy, i);
		e->action = (struct pw_failover_action){ .kind = PW_FAILOVER_FENCE,
							 .server = i,
							 .term = known.term + 1 };
		sim_send_to_server(s, e);
		return;
	}
}

static inline void sim_tick(struct sim *s, struct sim_event *e)
{
	struct sim_proxy *p = &s->proxies[e->proxy];
	uint64_t jitter_us = (uint64_t)g_rand_int_range(s->rand, 0, 100000);
	GArray *out = sim_new_failover_actions();
	GArray *confirmed = sim_new_confirm_actions();

	e->at_us = s->now_us + SIM_TICK_US;
	sim_push(s, e);
	if (s->now_us - p->probed_us >= SIM_PROBE_US) {
		p->probed_us = s->now_us;
		sim_send_probes(s, e->proxy);
	}
	for (uint32_t i = 0; i < SIM_SERVER_COUNT; i++)
		sim_run_health_actions(s, e->proxy, i, pw_health_tick(&p->health[i], s->now_us));
	pw_confirm_tick(p->confirm, s->now_us, confirmed);
	sim_run_confirm_actions(s, e->proxy, confirmed);
	if (s->config.unsafe.naive) {
		g_array_free(out, TRUE);
		naive_tick(s, e->proxy);
		return;
	}
	pw_failover_tick(p->failover, s->now_us, jitter_us, out);
	sim_run_failover_actions(s, e->proxy, out);
}

static inline void sim_client_write(struct sim *s, struct sim_event *tick)
{
	struct pw_failover_record primary = pw_failover_primary(s->proxies[tick->proxy].failover);
	struct sim_event *e;
	struct sim_write w = { .replicated = s->writes->len % 2 };

	tick->at_us = s->now_us + (uint64_t)g_rand_int_range(s->rand, 40000, 80000);
	sim_push(s, tick);
	if (!primary.term)
		return;
	e = sim_event_new(SIM_WRITE, tick->proxy, primary.server);
	e->write = s->writes->len;
	g_array_append_val(s->writes, w);
	sim_send_to_server(s, e);
}

static inline void sim_write_answer(struct sim *s, const struct sim_event *e)
{
	struct sim_write *w = &g_array_index(s->writes, struct sim_write, e->write);
	struct pw_confirm_write c = {
		.id = e->write,
		.position = { .term = e->status.term, .lsn = e->status.lsn },
		.answered_us = s->now_us,
		.server = e->server,
		.needs_replication = w->replicated,
	};
	GArray *out = sim_new_confirm_actions();

	w->term = e->status.term;
	w->answered_us = s->now_us;
	pw_confirm_add_write(s->proxies[e->proxy].confirm, &c, s->now_us, out);
	sim_run_confirm_actions(s, e->proxy, out);
}

static inline void sim_status(struct sim *s, const struct sim_event *e)
{
	struct sim_proxy *p = &s->proxies[e->proxy];
	GArray *out = sim_new_failover_actions();
	GArray *confirmed = sim_new_confirm_actions();

	sim_run_health_actions(s, e->proxy, e->server,
			       pw_health_record_answer(&p->health[e->server], s->now_us));
	pw_failover_handle_status(p->failover, e->server, &e->status, e->sent_us, s->now_us, out);
	if (s->config.unsafe.naive)
		g_array_free(out, TRUE);
	else
		sim_run_failover_actions(s, e->proxy, out);
	pw_confirm_handle_status(p->confirm, e->server, &e->status, e->sent_us, s->now_us,
				 confirmed);
	sim_run_confirm_actions(s, e->proxy, confirmed);
}

static inline void sim_call_result(struct sim *s, const struct sim_event *e)
{
	struct sim_proxy *p = &s->proxies[e->proxy];
	GArray *out = sim_new_failover_actions();

	if (s->config.unsafe.naive) {
		g_array_free(out, TRUE);
		if (e->action.kind == PW_FAILOVER_FENCE && e->result == PW_FAILOVER_RESULT_OK) {
			struct sim_event *next = sim_event_new(SIM_CALL, e->proxy, e->server);

			next->action = e->action;
			next->action.kind = PW_FAILOVER_PROMOTE;
			sim_send_to_server(s, next);
		}
		return;
	}
	if (e->action.kind == PW_FAILOVER_FENCE)
		pw_failover_handle_fence_result(p->failover, e->server, e->action.term, e->result,
						&e->status, s->now_us, out);
	else if (e->action.kind == PW_FAILOVER_PROMOTE)
		pw_failover_handle_promote_result(p->failover, e->server, e->action.term, e->result,
						  &e->status, s->now_us, out);
	sim_run_failover_actions(s, e->proxy, out);
}

static inline void sim_store_result(struct sim *s, const struct sim_event *e)
{
	struct sim_proxy *p = &s->proxies[e->proxy];
	GArray *out = sim_new_failover_actions();

	if (e->action.kind == PW_FAILOVER_ACQUIRE_LEASE)
		pw_failover_handle_lease_result(p->failover, e->action.term, e->result, s->now_us,
						out);
	else
		pw_failover_handle_record_result(p->failover, e->result,
						 e->has_record ? &e->record : NULL, s->now_us, out);
	sim_run_failover_actions(s, e->proxy, out);
}

/* Handles an event of a live proxy. Returns true if the event was put into the queue again. */
static inline bool sim_proxy_event(struct sim *s, struct sim_event *e)
{
	struct sim_proxy *p = &s->proxies[e->proxy];
	GArray *out;

	switch (e->kind) {
	case SIM_TICK:
		sim_tick(s, e);
		return true;
	case SIM_CLIENT_WRITE:
		sim_client_write(s, e);
		return true;
	case SIM_RESUME:
		break;
	case SIM_STATUS:
		sim_status(s, e);
		break;
	case SIM_REFUSED:
		sim_run_health_actions(s, e->proxy, e->server,
				       pw_health_record_failure(&p->health[e->server], s->now_us));
		break;
	case SIM_WRITE_ANSWER:
		sim_write_answer(s, e);
		break;
	case SIM_CALL_RESULT:
		sim_call_result(s, e);
		break;
	case SIM_STORE_RESULT:
		sim_store_result(s, e);
		break;
	case SIM_VOTE:
		out = sim_new_failover_actions();
		pw_failover_handle_vote(p->failover, &e->vote, s->now_us, out);
		sim_run_failover_actions(s, e->proxy, out);
		break;
	default: /* SIM_ANNOUNCE */
		out = sim_new_failover_actions();
		pw_failover_handle_record(p->failover, &e->record, false, s->now_us, out);
		sim_run_failover_actions(s, e->proxy, out);
	}
	return false;
}

static inline void sim_deliver_to_proxy(struct sim *s, struct sim_event *e)
{
	struct sim_proxy *p = &s->proxies[e->proxy];

	if (p->dead) {
		sim_event_free(e);
		return;
	}
	if (p->paused_until_us > s->now_us) {
		g_queue_push_tail(&p->deferred, e);
		return;
	}
	if (!g_queue_is_empty(&p->deferred)) {
		/* Sends the messages that were about to be sent; queues other events again. */
		GQueue deferred = p->deferred;

		g_queue_init(&p->deferred);
		for (struct sim_event *h; (h = g_queue_pop_head(&deferred));)
			sim_transmit(s, h);
	}
	if (sim_inject_fault(s, sim_receive_step(e), e->proxy, e))
		return;
	if (!sim_proxy_event(s, e))
		sim_event_free(e);
}

/* --- Run --- */

static inline void sim_dispatch(struct sim *s, struct sim_event *e)
{
	switch (e->kind) {
	case SIM_FAULT_START:
		s->fault_active = true;
		s->servers[0].dead = s->config.primary_fault == PRIMARY_KILLED ||
				     s->config.primary_fault == PRIMARY_REFUSES;
		sim_event_free(e);
		break;
	case SIM_FAULT_END:
		s->fault_active = false;
		sim_event_free(e);
		break;
	case SIM_SEND_LOG:
		sim_send_log(s, e);
		break;
	case SIM_LOG:
		sim_receive_log(s, e);
		break;
	case SIM_STATUS_REQUEST:
	case SIM_WRITE:
	case SIM_CALL:
		sim_server_event(s, e);
		break;
	case SIM_STORE:
		sim_store(s, e);
		break;
	default:
		sim_deliver_to_proxy(s, e);
	}
}

/* Checks that a promoted server's log has all acknowledged replicated writes of older terms. */
static inline void sim_check_promotion(struct sim *s, const struct sim_promotion *p)
{
	uint8_t *present = g_malloc0(s->writes->len + 1);

	for (guint i = 0; i < p->log->len; i++)
		present[g_array_index(p->log, struct sim_entry, i).write] = 1;
	for (guint i = 0; i < s->writes->len; i++) {
		const struct sim_write *w = &g_array_index(s->writes, struct sim_write, i);

		if (w->acknowledged_us && w->replicated && p->term > w->term && !present[i])
			sim_report_violation(s, "replicated write %u is missing in term %lu", i,
					     (unsigned long)p->term);
	}
	g_free(present);
}

static inline int sim_compare_us(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/* Checks that replicated writes are kept, and measures the longest time without acknowledgement. */
static inline void sim_check_writes(struct sim *s)
{
	GArray *acks = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (guint i = 0; i < s->writes->len; i++) {
		const struct sim_write *w = &g_array_index(s->writes, struct sim_write, i);

		if (!w->acknowledged_us)
			continue;
		g_array_append_val(acks, w->acknowledged_us);
	}
	for (guint i = 0; i < s->promotions->len; i++)
		sim_check_promotion(s, &g_array_index(s->promotions, struct sim_promotion, i));
	/* The time from the last acknowledgement to the end of the run counts as well. */
	g_array_append_val(acks, s->config.length_us);
	g_array_sort(acks, sim_compare_us);
	for (guint i = 1; i < acks->len; i++) {
		uint64_t gap_us =
			g_array_index(acks, uint64_t, i) - g_array_index(acks, uint64_t, i - 1);

		s->max_ack_gap_us = MAX(s->max_ack_gap_us, gap_us);
	}
	g_array_free(acks, TRUE);
}

static inline void sim_init(struct sim *s, const struct sim_config *config)
{
	uint64_t peers[SIM_PROXIES_MAX];

	*s = (struct sim){ .config = *config, .promoter = -1 };
	s->rand = g_rand_new_with_seed(config->seed);
	s->queue = g_ptr_array_new();
	s->writes = g_array_new(FALSE, FALSE, sizeof(struct sim_write));
	s->promotions = g_array_new(FALSE, FALSE, sizeof(struct sim_promotion));
	s->now_us = PW_US_PER_MS;
	s->record = (struct pw_failover_record){ .term = 1, .server = 0, .revision = 1 };
	s->lease_term = 1;
	for (uint32_t i = 0; i < SIM_SERVER_COUNT; i++) {
		struct sim_server *sv = &s->servers[i];
		struct sim_event *e = sim_event_new(SIM_SEND_LOG, 0, i);

		sv->status.term = 1;
		sv->status.role = i ? PW_SERVER_REPLICA : PW_SERVER_PRIMARY;
		sv->following = i ? 0 : -1;
		sv->log = g_array_new(FALSE, FALSE, sizeof(struct sim_entry));
		e->at_us = s->now_us;
		sim_push(s, e);
	}
	for (uint32_t i = 0; i < config->proxy_count; i++) {
		struct sim_proxy *p = &s->proxies[i];
		struct pw_failover_options fo = PW_FAILOVER_OPTIONS_INIT(SIM_SERVER_COUNT);
		struct pw_confirm_options co = PW_CONFIRM_OPTIONS_INIT(SIM_SERVER_COUNT);
		struct pw_health_options ho = PW_HEALTH_OPTIONS_INIT;
		struct sim_event *tick = sim_event_new(SIM_TICK, i, 0);
		struct sim_event *client = sim_event_new(SIM_CLIENT_WRITE, i, 0);
		uint32_t n = 0;

		fo.unsafe_no_majority = config->unsafe.no_majority;
		fo.unsafe_any_log = config->unsafe.any_log;
		co.unsafe_no_confirmation = config->unsafe.no_confirm || config->unsafe.naive;
		pw_failover_new(&p->failover, &fo);
		pw_confirm_new(&p->confirm, &co);
		for (uint32_t k = 0; k < SIM_SERVER_COUNT; k++)
			pw_health_init(&p->health[k], &ho, s->now_us);
		for (uint32_t k = 0; k < config->proxy_count; k++) {
			if (k != i)
				peers[n++] = k;
		}
		pw_failover_set_peers(p->failover, peers, n,
				      config->second_fault == SECOND_EQUAL_RANKS ? i / 2 : i);
		g_queue_init(&p->deferred);
		tick->at_us = s->now_us + (uint64_t)g_rand_int_range(s->rand, 0, 200000);
		client->at_us = 600 * PW_US_PER_MS;
		sim_push(s, tick);
		sim_push(s, client);
	}
}

static inline void sim_dispose(struct sim *s)
{
	for (uint32_t i = 0; i < SIM_SERVER_COUNT; i++)
		g_array_unref(s->servers[i].log);
	for (uint32_t i = 0; i < s->config.proxy_count; i++) {
		pw_failover_free(s->proxies[i].failover);
		pw_confirm_free(s->proxies[i].confirm);
		g_queue_clear_full(&s->proxies[i].deferred, sim_event_free);
	}
	for (guint i = 0; i < s->promotions->len; i++)
		g_array_unref(g_array_index(s->promotions, struct sim_promotion, i).log);
	g_array_free(s->promotions, TRUE);
	g_array_free(s->writes, TRUE);
	g_ptr_array_set_free_func(s->queue, sim_event_free);
	g_ptr_array_free(s->queue, TRUE);
	g_rand_free(s->rand);
}

/* Checks that at the end every live server follows the primary of the highest term. */
static inline void sim_check_repaired(struct sim *s)
{
	const struct sim_server *newest = &s->servers[0];
	uint32_t primaries = 0;

	for (uint32_t i = 0; i < SIM_SERVER_COUNT; i++) {
		if (s->servers[i].status.term > newest->status.term)
			newest = &s->servers[i];
	}
	for (uint32_t i = 0; i < SIM_SERVER_COUNT; i++) {
		const struct sim_server *sv = &s->servers[i];

		if (sv->dead)
			continue;
		primaries += sv->status.role == PW_SERVER_PRIMARY;
		if (sv->status.term != newest->status.term || sv->status.role == PW_SERVER_FENCED)
			sim_report_violation(
				s, "server %u is not repaired: role %d, term %lu of %lu", i,
				(int)sv->status.role, (unsigned long)sv->status.term,
				(unsigned long)newest->status.term);
	}
	if (primaries != 1)
		sim_report_violation(s, "%u primaries in the end", primaries);
}

static inline void sim_run(struct sim *s)
{
	struct sim_event *fault_start = sim_event_new(SIM_FAULT_START, 0, 0);
	struct sim_event *fault_end = sim_event_new(SIM_FAULT_END, 0, 0);

	fault_start->at_us = SIM_FAULT_START_US;
	fault_end->at_us = SIM_FAULT_START_US + 4 * PW_US_PER_S;
	sim_push(s, fault_start);
	sim_push(s, fault_end);
	while (s->now_us < s->config.length_us) {
		struct sim_event *e = sim_pop(s);

		s->now_us = e->at_us;
		sim_dispatch(s, e);
	}
	sim_check_writes(s);
	if (!s->config.unsafe.naive)
		sim_check_repaired(s);
}

#endif
