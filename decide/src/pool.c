#include "pw/decide/pool.h"

#include <glib.h>

#include "pw/core/error.h"

/* A new measurement has a weight of 1 / 2^COST_AVERAGE_SHIFT in the average cost. */
#define COST_AVERAGE_SHIFT 4

struct waiting_request {
	uint64_t request;
	uint64_t deadline_us;
	uint64_t sequence; /**< order of arrival over all accounts */
};

/* State of one client account. */
struct account {
	GQueue queue;        /**< struct waiting_request, oldest first */
	uint64_t virtual_us; /**< used server time, on the pool's virtual clock */
	/** Part of `virtual_us` that is estimated, for requests in flight. */
	uint64_t estimated_us;
	uint32_t in_flight;
};

struct pw_pool {
	struct pw_pool_options options;
	GHashTable *accounts; /**< uint32_t account -> struct account */
	uint64_t virtual_us;  /**< virtual clock: highest `virtual_us` of an account when served */
	uint64_t average_cost_us;
	uint64_t next_sequence;
	uint32_t waiting_count; /**< requests in all queues */
	uint32_t opening_count; /**< connections being opened */
	uint32_t idle_count;    /**< idle connections */
	uint32_t busy_count;    /**< connections that run a request or a transaction */
};

static void account_free(gpointer data)
{
	struct account *a = data;

	g_queue_clear_full(&a->queue, g_free);
	g_free(a);
}

int pw_pool_new(struct pw_pool **out, const struct pw_pool_options *options)
{
	struct pw_pool *p;

	if (options->version != PW_POOL_OPTIONS_VERSION)
		return pw_error_set(PW_EINVALID, "pool options have version %u, not %d",
				    options->version, PW_POOL_OPTIONS_VERSION);
	p = g_new0(struct pw_pool, 1);
	p->options = *options;
	p->average_cost_us = options->initial_cost_us;
	p->accounts = g_hash_table_new_full(NULL, NULL, NULL, account_free);
	*out = p;
	return PW_OK;
}

void pw_pool_free(struct pw_pool *p)
{
	if (!p)
		return;
	g_hash_table_unref(p->accounts);
	g_free(p);
}

void pw_pool_set_limits(struct pw_pool *p, uint32_t connections, uint32_t slots)
{
	p->options.connections_max = connections;
	p->options.slots_max = slots;
}

static struct account *find_or_add_account(struct pw_pool *p, uint32_t account)
{
	gpointer key = GUINT_TO_POINTER(account);
	struct account *a = g_hash_table_lookup(p->accounts, key);

	if (!a) {
		a = g_new0(struct account, 1);
		g_queue_init(&a->queue);
		a->virtual_us = p->virtual_us;
		g_hash_table_insert(p->accounts, key, a);
	}
	return a;
}

int pw_pool_enqueue(struct pw_pool *p, uint64_t request, uint32_t account, uint64_t deadline_us)
{
	struct account *a = find_or_add_account(p, account);
	struct waiting_request *w;

	if (a->queue.length >= p->options.queue_max)
		return pw_error_set(PW_EOVERFLOW, "queue of the account is full: %u requests",
				    a->queue.length);
	/* An account gains no credit for the time in which none of its requests waited. */
	if (!a->queue.length)
		a->virtual_us = MAX(a->virtual_us, p->virtual_us);
	w = g_new(struct waiting_request, 1);
	*w = (struct waiting_request){
		.request = request,
		.deadline_us = deadline_us,
		.sequence = p->next_sequence++,
	};
	g_queue_push_tail(&a->queue, w);
	p->waiting_count++;
	return PW_OK;
}

bool pw_pool_cancel(struct pw_pool *p, uint64_t request)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, p->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct account *a = value;

		for (GList *l = a->queue.head; l; l = l->next) {
			struct waiting_request *w = l->data;

			if (w->request != request)
				continue;
			g_queue_delete_link(&a->queue, l);
			g_free(w);
			p->waiting_count--;
			return true;
		}
	}
	return false;
}

/* Returns whether the first request of `a` is served before the first request of `b`. */
static bool is_served_before(const struct pw_pool *p, const struct account *a,
			     const struct account *b)
{
	const struct waiting_request *x = a->queue.head->data, *y = b->queue.head->data;

	if (p->options.fair_queueing && a->virtual_us != b->virtual_us)
		return a->virtual_us < b->virtual_us;
	return x->sequence < y->sequence;
}

static struct account *find_next_account(const struct pw_pool *p)
{
	struct account *best = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, p->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct account *a = value;

		if (a->queue.length && (!best || is_served_before(p, a, best)))
			best = a;
	}
	return best;
}

static uint64_t pop_request(struct pw_pool *p, struct account *a)
{
	struct waiting_request *w = g_queue_pop_head(&a->queue);
	uint64_t request = w->request;

	g_free(w);
	p->waiting_count--;
	return request;
}

/*
 * Returns an account whose first request has expired, or NULL. Only the first request of each queue
 * is checked, as the first to arrive expires first: all requests have the same timeout. A request
 * that waited elsewhere before it was queued here may stay beyond its deadline until it is first.
 */
static struct account *find_expired_account(const struct pw_pool *p, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, p->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct account *a = value;
		const struct waiting_request *w = g_queue_peek_head(&a->queue);

		if (w && w->deadline_us <= now_us)
			return a;
	}
	return NULL;
}

static void run_next_request(struct pw_pool *p, struct pw_pool_action *out)
{
	struct account *a = find_next_account(p);

	*out = (struct pw_pool_action){ .kind = PW_POOL_RUN, .request = pop_request(p, a) };
	p->virtual_us = MAX(p->virtual_us, a->virtual_us);
	/*
	 * The estimated time is charged now and corrected by charge_account(), so that requests
	 * that run in parallel count at once.
	 */
	a->virtual_us += p->average_cost_us;
	a->estimated_us += p->average_cost_us;
	a->in_flight++;
	p->idle_count--;
	p->busy_count++;
}

bool pw_pool_next_action(struct pw_pool *p, struct pw_pool_action *out, uint64_t now_us)
{
	struct account *expired = p->waiting_count ? find_expired_account(p, now_us) : NULL;
	uint32_t open_count = pw_pool_open_count(p);

	if (expired) {
		*out = (struct pw_pool_action){
			.kind = PW_POOL_EXPIRE,
			.request = pop_request(p, expired),
		};
		return true;
	}
	if (p->idle_count && open_count > p->options.connections_max) {
		*out = (struct pw_pool_action){ .kind = PW_POOL_CLOSE };
		p->idle_count--;
		return true;
	}
	if (p->waiting_count && p->idle_count && p->busy_count < p->options.slots_max) {
		run_next_request(p, out);
		return true;
	}
	if (p->waiting_count > p->opening_count + p->idle_count &&
	    open_count < p->options.connections_max &&
	    p->busy_count + p->opening_count + p->idle_count < p->options.slots_max) {
		*out = (struct pw_pool_action){ .kind = PW_POOL_OPEN };
		p->opening_count++;
		return true;
	}
	return false;
}

void pw_pool_connection_opened(struct pw_pool *p)
{
	p->opening_count--;
	p->idle_count++;
}

void pw_pool_connection_failed(struct pw_pool *p)
{
	p->opening_count--;
}

/* Charges an account for a finished request: replaces the estimate of run_next_request(). */
static void charge_account(struct pw_pool *p, uint32_t account, uint64_t used_us)
{
	struct account *a = find_or_add_account(p, account);
	uint64_t estimate_us = a->in_flight ? a->estimated_us / a->in_flight : 0;

	a->virtual_us = a->virtual_us + used_us - estimate_us;
	a->estimated_us -= estimate_us;
	a->in_flight -= a->in_flight ? 1 : 0;
	p->average_cost_us += used_us >> COST_AVERAGE_SHIFT;
	p->average_cost_us -= p->average_cost_us >> COST_AVERAGE_SHIFT;
}

void pw_pool_connection_released(struct pw_pool *p, uint32_t account, uint64_t used_us)
{
	charge_account(p, account, used_us);
	p->busy_count--;
	p->idle_count++;
}

void pw_pool_connection_discarded(struct pw_pool *p, uint32_t account, uint64_t used_us)
{
	charge_account(p, account, used_us);
	p->busy_count--;
}

void pw_pool_idle_connection_closed(struct pw_pool *p)
{
	p->idle_count--;
}

uint64_t pw_pool_next_deadline_us(const struct pw_pool *p)
{
	uint64_t earliest_us = UINT64_MAX;
	GHashTableIter iter;
	gpointer value;

	if (!p->waiting_count)
		return earliest_us;
	g_hash_table_iter_init(&iter, p->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct waiting_request *w =
			g_queue_peek_head(&((struct account *)value)->queue);

		if (w)
			earliest_us = MIN(earliest_us, w->deadline_us);
	}
	return earliest_us;
}

uint32_t pw_pool_waiting_count(const struct pw_pool *p)
{
	return p->waiting_count;
}

uint32_t pw_pool_account_load(const struct pw_pool *p, uint32_t account)
{
	const struct account *a = g_hash_table_lookup(p->accounts, GUINT_TO_POINTER(account));

	return a ? a->queue.length + a->in_flight : 0;
}

uint32_t pw_pool_busy_count(const struct pw_pool *p)
{
	return p->busy_count;
}

uint32_t pw_pool_open_count(const struct pw_pool *p)
{
	return p->opening_count + p->idle_count + p->busy_count;
}

struct pw_pool_demand pw_pool_demand(const struct pw_pool *p)
{
	uint32_t demand = p->busy_count + p->waiting_count;

	return (struct pw_pool_demand){
		.connections = demand,
		.slots = demand,
	};
}
