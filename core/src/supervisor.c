#include "pw/core/task.h"

#include <ck_pr.h>
#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "pw/core/counter.h"
#include "pw/core/error.h"
#include "pw/core/event.h"

/* Incarnation of the supervisor that was started last in the process; 0 before the first. */
static uint64_t last_incarnation;

struct supervisor;

/* A child and the thread that runs it. */
struct child {
	struct pw_timer restart_timer; /**< must be first, see restart_expired() */
	const struct pw_child_spec *spec;
	struct supervisor *supervisor;
	pthread_t thread;
	bool running;
	uint64_t backoff_us;
	uint64_t restart_times_us[PW_RESTART_LIMIT]; /**< of the last restarts; a ring buffer */
	uint32_t restart_count;                      /**< since the supervisor started */
	int32_t status; /**< result of the last run, written before the exit message is sent */
};

struct supervisor {
	struct pw_task task;
	uint64_t incarnation; /**< unique in the process */
	const struct pw_supervisor_spec *spec;
	struct child *children;
	bool stopping;
};

/* Sent by the thread of a child when it ends. */
struct exit_msg {
	struct pw_msg base;
	uint64_t incarnation; /**< of the supervisor that `child` belongs to and is freed with */
	struct child *child;
};

static void exit_msg_destroy(struct pw_msg *m)
{
	g_free(m);
}

static const struct pw_msg_ops exit_msg_ops = {
	.name = "exit",
	.destroy = exit_msg_destroy,
};

static void *child_main(void *arg)
{
	struct child *c = arg;
	struct exit_msg *m = g_new0(struct exit_msg, 1);

	c->status = pw_task_run(c->spec->ops, c->spec->inbox, c->spec->args);
	if (c->status) {
		pw_event_log(PW_EVENT_TASK_FAILED, "task=%s index=%u code=%d error=\"%s\"",
			     c->spec->ops->name, c->spec->index, c->status, pw_error_message());
	}
	m->base.ops = &exit_msg_ops;
	m->incarnation = c->supervisor->incarnation;
	m->child = c;
	pw_mailbox_send(c->supervisor->task.inbox, &m->base);
	return NULL;
}

static int start_child(struct child *c)
{
	int rc = pthread_create(&c->thread, NULL, child_main, c);

	if (rc)
		return pw_error_set(PW_ESYSTEM, "pthread_create: %s", strerror(rc));
	c->running = true;
	return PW_OK;
}

static void restart_expired(struct pw_timer *t, uint64_t now_us)
{
	struct child *c = (struct child *)t;

	(void)now_us;
	pw_counter_inc(PW_COUNTER_TASK_RESTARTS);
	pw_event_log(PW_EVENT_TASK_RESTARTED, "task=%s index=%u", c->spec->ops->name,
		     c->spec->index);
	if (start_child(c))
		pw_task_fail(&c->supervisor->task, PW_ESYSTEM);
}

static const struct pw_timer_ops restart_timer_ops = { .expire = restart_expired };

/* Returns whether the last PW_RESTART_LIMIT restarts lie within the window. */
static bool restart_limit_reached(const struct child *c, uint64_t now_us)
{
	uint64_t oldest_us = c->restart_times_us[c->restart_count % PW_RESTART_LIMIT];

	return c->restart_count >= PW_RESTART_LIMIT && now_us - oldest_us < PW_RESTART_WINDOW_US;
}

static void schedule_restart(struct supervisor *s, struct child *c)
{
	uint64_t now_us = pw_loop_now_us(s->task.loop);
	uint32_t newest_index = (c->restart_count + PW_RESTART_LIMIT - 1) % PW_RESTART_LIMIT;

	if (restart_limit_reached(c, now_us)) {
		pw_event_log(PW_EVENT_SUPERVISOR_FAILED, "supervisor=%s task=%s restarts=%d",
			     s->spec->name, c->spec->ops->name, PW_RESTART_LIMIT);
		pw_task_fail(&s->task, c->status);
		return;
	}
	if (!c->restart_count || now_us - c->restart_times_us[newest_index] > PW_RESTART_WINDOW_US)
		c->backoff_us = PW_RESTART_BACKOFF_INITIAL_US;
	else
		c->backoff_us = MIN(c->backoff_us * 2, PW_RESTART_BACKOFF_MAX_US);
	c->restart_times_us[c->restart_count++ % PW_RESTART_LIMIT] = now_us;
	pw_loop_timer_set(s->task.loop, &c->restart_timer, now_us + c->backoff_us);
}

/*
 * Stops the last running child, whose exit message triggers the stop of the one before it. Ends the
 * supervisor if no child is running.
 */
static void stop_next_child(struct supervisor *s)
{
	for (size_t i = s->spec->child_count; i-- > 0;) {
		struct child *c = &s->children[i];

		pw_loop_timer_clear(s->task.loop, &c->restart_timer);
		if (c->running) {
			pw_mailbox_send(c->spec->inbox, pw_task_stop_msg_new());
			return;
		}
	}
	pw_task_finish(&s->task);
}

static void discard_message(void *data, struct pw_msg *m)
{
	(void)data;
	pw_msg_free(m);
}

/* Joins the thread of a child and frees the messages left in its mailbox. */
static void join_child(struct child *c)
{
	pthread_join(c->thread, NULL);
	c->running = false;
	pw_mailbox_receive_all(c->spec->inbox, discard_message, NULL);
}

static void handle_child_exit(struct supervisor *s, struct child *c)
{
	join_child(c);
	if (s->stopping)
		stop_next_child(s);
	else if (c->status)
		schedule_restart(s, c);
}

static void supervisor_receive(struct pw_task *t, struct pw_msg *m)
{
	struct supervisor *s = (struct supervisor *)t;

	if (m->ops == &exit_msg_ops) {
		struct exit_msg *e = (struct exit_msg *)m;

		/* The children of an earlier incarnation were joined and freed when it stopped. */
		if (e->incarnation == s->incarnation)
			handle_child_exit(s, e->child);
	} else if (!s->stopping) {
		/* The only other message is the stop message. */
		s->stopping = true;
		stop_next_child(s);
	}
	pw_msg_free(m);
}

static int supervisor_start(struct pw_task *t)
{
	struct supervisor *s = (struct supervisor *)t;
	int rc = PW_OK;

	s->spec = t->args;
	s->incarnation = ck_pr_faa_64(&last_incarnation, 1) + 1;
	s->children = g_new0(struct child, s->spec->child_count);
	for (size_t i = 0; i < s->spec->child_count; i++) {
		struct child *c = &s->children[i];

		c->spec = &s->spec->children[i];
		c->supervisor = s;
		c->restart_timer.ops = &restart_timer_ops;
	}
	for (size_t i = 0; !rc && i < s->spec->child_count; i++)
		rc = start_child(&s->children[i]);
	return rc;
}

/* Stops and joins the children that still run. There are some only if the supervisor failed. */
static void supervisor_stop(struct pw_task *t)
{
	struct supervisor *s = (struct supervisor *)t;

	for (size_t i = s->spec->child_count; i-- > 0;) {
		struct child *c = &s->children[i];

		pw_loop_timer_clear(t->loop, &c->restart_timer);
		if (!c->running)
			continue;
		pw_mailbox_send(c->spec->inbox, pw_task_stop_msg_new());
		join_child(c);
	}
	g_free(s->children);
}

const struct pw_task_ops pw_supervisor_ops = {
	.name = "supervisor",
	.size_bytes = sizeof(struct supervisor),
	.start = supervisor_start,
	.receive = supervisor_receive,
	.stop = supervisor_stop,
};
