#include "gateway_private.h"

/* An operation that waits for a token of its account. It holds the statement of its session. */
struct waiting_operation {
	struct session *session;
	struct account *account;
	struct pw_caller_statement *statement;
	struct pw_admission_request request;
	uint64_t input_bytes; /* of the statement, counted in the memory budget */
	GList link;           /* node in the list of `account` */
};

static bool is_most_urgent(const struct gateway *g, uint32_t priority)
{
	for (guint i = 0; i < g->catalog->routes->len; i++) {
		const struct pw_catalog_route *r = g_ptr_array_index(g->catalog->routes, i);

		if (r->priority < priority)
			return false;
	}
	return true;
}

static struct pw_admission_request make_request(const struct session *s)
{
	return (struct pw_admission_request){
		.priority = s->operation.priority,
		.urgent = is_most_urgent(s->gateway, s->operation.priority),
		.arrived_us = gateway_now_us(s->gateway),
		.aim_us = s->operation.target_us,
		.timeout_us = s->operation.timeout_us,
	};
}

/* Inserts the operation behind those that precede it. */
static void enqueue(struct waiting_operation *w)
{
	GList *next = w->account->waiting.head;

	while (next && pw_admission_precedes(&((struct waiting_operation *)next->data)->request,
					     &w->request))
		next = next->next;
	if (next)
		g_queue_insert_before_link(&w->account->waiting, next, &w->link);
	else
		g_queue_push_tail_link(&w->account->waiting, &w->link);
}

static uint32_t count_preceding(const struct account *a, const struct pw_admission_request *r)
{
	uint32_t count = 0;

	for (const GList *l = a->waiting.head; l; l = l->next) {
		if (!pw_admission_precedes(&((const struct waiting_operation *)l->data)->request,
					   r))
			break;
		count++;
	}
	return count;
}

/* Sets the account's timer to the time at which its first waiting operation may get a token. */
static void set_timer(struct gateway *g, struct account *a, uint64_t token_in_us)
{
	pw_loop_timer_set(g->task.loop, &a->timer,
			  gateway_now_us(g) + MAX(token_in_us, PW_US_PER_MS));
}

static struct waiting_operation *remove_from_queue(struct session *s)
{
	struct waiting_operation *w = s->waiting;

	g_queue_unlink(&w->account->waiting, &w->link);
	s->waiting = NULL;
	s->gateway->memory.used_bytes[PW_MEMORY_INPUT] -= w->input_bytes;
	if (!w->account->waiting.length)
		pw_loop_timer_clear(s->gateway->task.loop, &w->account->timer);
	gateway_free_later(s->gateway, w);
	return w;
}

/* Ends the wait of an operation that is admitted or refused. */
static void resume(struct waiting_operation *w, const struct pw_admission_decision *d)
{
	struct session *s = w->session;

	(void)remove_from_queue(s);
	gw_session_resume(s, w->statement, d);
}

void gw_admission_serve(struct account *a)
{
	struct gateway *g = a->gateway;
	uint32_t ahead = 0;
	GList *next;

	if (a->serving)
		return;
	a->serving = true;
	for (GList *l = a->waiting.head; l; l = next) {
		struct waiting_operation *w = l->data;
		struct pw_admission_decision d = gw_account_decide(g, a, &w->request, ahead);

		next = l->next;
		if (d.verdict != PW_ADMISSION_WAIT) {
			resume(w, &d);
			/* The session may go on with its next statement, which may wait as well. */
			next = a->waiting.head;
			ahead = 0;
			continue;
		}
		if (!ahead++)
			set_timer(g, a, d.token_in_us);
	}
	a->serving = false;
}

void gw_admission_serve_all(struct gateway *g)
{
	/* A session that goes on may add an account. */
	GList *accounts = g_hash_table_get_values(g->accounts);

	for (GList *l = accounts; l; l = l->next)
		gw_admission_serve(l->data);
	g_list_free(accounts);
}

static void timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct account *a = (struct account *)((char *)t - offsetof(struct account, timer));

	(void)now_us;
	gw_admission_serve(a);
}

static const struct pw_timer_ops timer_ops = { .expire = timer_expired };

struct pw_admission_decision gw_admission_ask(struct session *s,
					      struct pw_caller_statement *statement)
{
	struct gateway *g = s->gateway;
	struct account *a = s->account;
	const struct pw_admission_request r = make_request(s);
	struct pw_admission_decision d;
	struct waiting_operation *w;

	gw_account_count_arrival(g, a, r.urgent);
	d = gw_account_decide(g, a, &r, count_preceding(a, &r));
	if (d.verdict != PW_ADMISSION_WAIT)
		return d;
	w = g_new0(struct waiting_operation, 1);
	w->session = s;
	w->account = a;
	w->statement = statement;
	w->input_bytes = gw_work_statement_bytes(statement);
	g->memory.used_bytes[PW_MEMORY_INPUT] += w->input_bytes;
	w->request = r;
	w->link.data = w;
	s->waiting = w;
	enqueue(w);
	pw_counter_inc(PW_COUNTER_RATE_WAITS);
	if (a->waiting.head == &w->link) {
		a->timer.ops = &timer_ops;
		set_timer(g, a, d.token_in_us);
	}
	return d;
}

void gw_admission_cancel(struct session *s)
{
	if (s->waiting)
		pw_caller_statement_free(remove_from_queue(s)->statement);
}

uint64_t gw_admission_input_bytes(const struct session *s)
{
	return s->waiting ? s->waiting->input_bytes : 0;
}
