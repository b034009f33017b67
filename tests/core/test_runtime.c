/* Tests of the task runtime: mailboxes, timers and supervisors. */
#include "suite.h"

#include <glib.h>
#include <pthread.h>

#include "pw/core/clock.h"
#include "pw/core/error.h"
#include "pw/core/event.h"
#include "pw/core/task.h"

struct number_msg {
	struct pw_msg base;
	uint32_t sender;
	uint32_t number;
};

static void number_msg_destroy(struct pw_msg *m)
{
	g_free(m);
}

static const struct pw_msg_ops number_msg_ops = {
	.name = "number",
	.destroy = number_msg_destroy,
};

static struct pw_msg *number_msg(uint32_t sender, uint32_t number)
{
	struct number_msg *m = g_new0(struct number_msg, 1);

	m->base.ops = &number_msg_ops;
	m->sender = sender;
	m->number = number;
	return &m->base;
}

#define SENDER_COUNT        4
#define MESSAGES_PER_SENDER 5000

struct sender {
	struct pw_mailbox *mb;
	uint32_t index;
};

static void *send_numbers(void *arg)
{
	struct sender *s = arg;

	for (uint32_t i = 0; i < MESSAGES_PER_SENDER; i++)
		pw_mailbox_send(s->mb, number_msg(s->index, i));
	return NULL;
}

/* A task that checks the order of the messages of each sender and ends after the last one. */
struct counting_task {
	struct pw_task task;
	uint32_t next_number[SENDER_COUNT];
	uint32_t total_count;
};

static int counting_start(struct pw_task *t)
{
	(void)t;
	return PW_OK;
}

static void counting_receive(struct pw_task *t, struct pw_msg *m)
{
	struct counting_task *c = (struct counting_task *)t;
	struct number_msg *n = (struct number_msg *)m;

	ck_assert_uint_eq(n->number, c->next_number[n->sender]);
	c->next_number[n->sender]++;
	if (++c->total_count == SENDER_COUNT * MESSAGES_PER_SENDER)
		pw_task_finish(t);
	pw_msg_free(m);
}

static void counting_stop(struct pw_task *t)
{
	(void)t;
}

static const struct pw_task_ops counting_ops = {
	.name = "counting",
	.size_bytes = sizeof(struct counting_task),
	.start = counting_start,
	.receive = counting_receive,
	.stop = counting_stop,
};

/*
 * Guards against a message that is sent between the owner's pop and its wait and wakes nobody, and
 * against messages of one sender in the wrong order.
 */
START_TEST(test_mailbox_keeps_order_of_each_sender)
{
	struct pw_mailbox *mb;
	pthread_t threads[SENDER_COUNT];
	struct sender senders[SENDER_COUNT];

	ck_assert_int_eq(pw_mailbox_new(&mb), PW_OK);
	for (uint32_t i = 0; i < SENDER_COUNT; i++) {
		senders[i] = (struct sender){ .mb = mb, .index = i };
		pthread_create(&threads[i], NULL, send_numbers, &senders[i]);
	}
	ck_assert_int_eq(pw_task_run(&counting_ops, mb, NULL), PW_OK);
	for (uint32_t i = 0; i < SENDER_COUNT; i++)
		pthread_join(threads[i], NULL);
	pw_mailbox_free(mb);
}
END_TEST

/* Arguments of a child whose first starts fail. The next one succeeds and stops the supervisor. */
struct flaky_args {
	struct pw_mailbox *supervisor;
	uint32_t failure_count; /**< number of starts that fail */
	uint32_t start_count;   /**< number of starts so far */
};

static int flaky_start(struct pw_task *t)
{
	struct flaky_args *a = (struct flaky_args *)(uintptr_t)t->args;

	if (a->start_count++ < a->failure_count)
		return pw_error_set(PW_ESYSTEM, "start %u fails", a->start_count);
	pw_mailbox_send(a->supervisor, pw_task_stop_msg_new());
	return PW_OK;
}

static const struct pw_task_ops flaky_ops = {
	.name = "flaky",
	.size_bytes = sizeof(struct pw_task),
	.start = flaky_start,
	.receive = counting_receive,
	.stop = counting_stop,
};

static const struct {
	const char *label;
	uint32_t failure_count;
	int32_t status;
	uint32_t start_count;
} restart_cases[] = {
	{ "starts at once", 0, PW_OK, 1 },
	{ "restarted after one failure", 1, PW_OK, 2 },
	{ "restarted up to the limit", PW_RESTART_LIMIT, PW_OK, PW_RESTART_LIMIT + 1 },
	{ "supervisor fails past the limit", 1000, PW_ESYSTEM, PW_RESTART_LIMIT + 1 },
};

/* Guards against a child that is not restarted, or is restarted without limit. */
START_TEST(test_supervisor_restarts_failed_children)
{
	struct pw_mailbox *supervisor_mailbox, *inbox;
	struct flaky_args args = { .failure_count = restart_cases[_i].failure_count };

	ck_assert_int_eq(pw_mailbox_new(&supervisor_mailbox), PW_OK);
	ck_assert_int_eq(pw_mailbox_new(&inbox), PW_OK);
	args.supervisor = supervisor_mailbox;
	struct pw_child_spec child = { .ops = &flaky_ops, .inbox = inbox, .args = &args };
	struct pw_supervisor_spec spec = { .name = "test", .children = &child, .child_count = 1 };

	ck_assert_msg(pw_task_run(&pw_supervisor_ops, supervisor_mailbox, &spec) ==
			      restart_cases[_i].status,
		      "case: %s", restart_cases[_i].label);
	ck_assert_uint_eq(args.start_count, restart_cases[_i].start_count);
	pw_mailbox_free(supervisor_mailbox);
	pw_mailbox_free(inbox);
}
END_TEST

static void timer_expire(struct pw_timer *t, uint64_t now_us)
{
	ck_abort_msg("the cleared timer expired at %lu", (unsigned long)now_us);
	(void)t;
}

static const struct pw_timer_ops timer_ops = { .expire = timer_expire };

/* A child that fails at every start; `args` points to the number of its starts. */
static int failing_start(struct pw_task *t)
{
	uint32_t *start_count = (uint32_t *)(uintptr_t)t->args;

	(*start_count)++;
	return pw_error_set(PW_ESYSTEM, "always fails");
}

static const struct pw_task_ops failing_ops = {
	.name = "failing",
	.size_bytes = sizeof(struct pw_task),
	.start = failing_start,
	.receive = counting_receive,
	.stop = counting_stop,
};

/*
 * Guards against a restarted supervisor or child that handles an exit or stop message left from its
 * earlier incarnation: the supervisor would then join a running thread, and the process would hang.
 */
START_TEST(test_nested_supervisor_is_restarted)
{
	uint32_t start_count = 0, other_start_count = 0;
	struct pw_mailbox *mailboxes[5];

	for (size_t i = 0; i < PW_ARRAY_LEN(mailboxes); i++)
		ck_assert_int_eq(pw_mailbox_new(&mailboxes[i]), PW_OK);
	struct pw_child_spec inner[] = {
		{ .ops = &counting_ops, .inbox = mailboxes[2] },
		{ .ops = &failing_ops, .inbox = mailboxes[3], .args = &start_count },
		{ .ops = &failing_ops,
		  .inbox = mailboxes[4],
		  .args = &other_start_count,
		  .index = 1 },
	};
	struct pw_supervisor_spec inner_spec = { .name = "inner",
						 .children = inner,
						 .child_count = PW_ARRAY_LEN(inner) };
	struct pw_child_spec outer = { .ops = &pw_supervisor_ops,
				       .inbox = mailboxes[1],
				       .args = &inner_spec };
	struct pw_supervisor_spec outer_spec = { .name = "outer",
						 .children = &outer,
						 .child_count = 1 };

	ck_assert_int_eq(pw_task_run(&pw_supervisor_ops, mailboxes[0], &outer_spec), PW_ESYSTEM);
	/* Each incarnation of the inner supervisor restarts at least one child up to the limit. */
	ck_assert_uint_ge(start_count + other_start_count,
			  (PW_RESTART_LIMIT + 1) * (PW_RESTART_LIMIT + 1));
	for (size_t i = 0; i < PW_ARRAY_LEN(mailboxes); i++)
		pw_mailbox_free(mailboxes[i]);
}
END_TEST

/* Guards against a cleared timer that is still queued, for example after it was set twice. */
START_TEST(test_cleared_timer_does_not_expire)
{
	struct pw_loop *l;
	struct pw_timer t = { .ops = &timer_ops };

	ck_assert_int_eq(pw_loop_new(&l), PW_OK);
	pw_loop_timer_set(l, &t, 10);
	pw_loop_timer_set(l, &t, 20);
	ck_assert_uint_eq(t.due_us, 20);
	pw_loop_timer_clear(l, &t);
	ck_assert_ptr_null(t.node);
	pw_loop_free(l);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("runtime");

	pw_event_log_init(G_LOG_LEVEL_ERROR);
	tcase_add_test(tc, test_mailbox_keeps_order_of_each_sender);
	tcase_add_loop_test(tc, test_supervisor_restarts_failed_children, 0,
			    PW_ARRAY_LEN(restart_cases));
	tcase_add_test(tc, test_nested_supervisor_is_restarted);
	tcase_add_test(tc, test_cleared_timer_does_not_expire);
	return pw_suite_run("runtime", tc);
}
