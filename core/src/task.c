#include "pw/core/task.h"

#include <glib.h>

#include "pw/core/error.h"

/* Event source of a task's mailbox. */
struct inbox_source {
	struct pw_source source;
	struct pw_task *task;
};

static void stop_msg_destroy(struct pw_msg *m)
{
	g_free(m);
}

static const struct pw_msg_ops stop_msg_ops = {
	.name = "stop",
	.destroy = stop_msg_destroy,
};

struct pw_msg *pw_task_stop_msg_new(void)
{
	struct pw_msg *m = g_new0(struct pw_msg, 1);

	m->ops = &stop_msg_ops;
	return m;
}

void pw_task_fail(struct pw_task *t, int code)
{
	t->status = code ? code : PW_ESYSTEM;
	pw_loop_stop(t->loop);
}

void pw_task_finish(struct pw_task *t)
{
	pw_loop_stop(t->loop);
}

/* A stop message ends the task. A supervisor receives it instead and stops its children first. */
static void dispatch_message(void *data, struct pw_msg *m)
{
	struct pw_task *t = data;

	if (m->ops == &stop_msg_ops && t->ops != &pw_supervisor_ops) {
		pw_msg_free(m);
		pw_task_finish(t);
		return;
	}
	t->ops->receive(t, m);
}

static void receive_inbox(struct pw_source *s, uint32_t events)
{
	struct inbox_source *inbox_source = (struct inbox_source *)s;

	(void)events;
	pw_mailbox_receive_all(inbox_source->task->inbox, dispatch_message, inbox_source->task);
}

static const struct pw_source_ops inbox_source_ops = { .ready = receive_inbox };

int pw_task_run(const struct pw_task_ops *ops, struct pw_mailbox *inbox, const void *args)
{
	struct pw_task *t = g_malloc0(ops->size_bytes);
	struct inbox_source inbox_source = {
		.source = { .ops = &inbox_source_ops, .fd = pw_mailbox_fd(inbox) },
		.task = t,
	};
	int rc;

	t->ops = ops;
	t->inbox = inbox;
	t->args = args;
	rc = pw_loop_new(&t->loop);
	if (rc)
		goto out;
	rc = ops->start(t);
	if (rc)
		goto out;
	rc = pw_loop_watch(t->loop, &inbox_source.source, EPOLLIN);
	if (!rc) {
		pw_loop_run(t->loop);
		rc = t->status;
	}
	ops->stop(t);
	pw_loop_unwatch(t->loop, &inbox_source.source);
out:
	pw_loop_free(t->loop);
	g_free(t);
	return rc;
}
