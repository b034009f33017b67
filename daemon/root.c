#include "root.h"

#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "control/control.h"
#include "control/peers.h"
#include "pw/core/error.h"
#include "pw/core/event.h"
#include "pw/core/task.h"
#include "traffic/front.h"
#include "traffic/request.h"
#include "traffic/traffic.h"

/* What the root owns: the mailboxes of all tasks and the tables of the supervisors. */
struct root {
	struct pw_directory directory;
	struct pw_mailbox *control;
	struct pw_mailbox *traffic;
	struct pw_task_args *args; /**< one for each index */
	GArray *control_children;
	GArray *traffic_children;
	GPtrArray *mailboxes;
	struct pw_store_task_args store;
	char **endpoints; /**< URLs of the store */
};

static struct pw_mailbox *new_mailbox(struct root *r)
{
	struct pw_mailbox *mb = NULL;

	if (pw_mailbox_new(&mb))
		g_error("%s", pw_error_message());
	g_ptr_array_add(r->mailboxes, mb);
	return mb;
}

static struct pw_mailbox **new_mailboxes(struct root *r, uint32_t count)
{
	struct pw_mailbox **list = g_new0(struct pw_mailbox *, count);

	for (uint32_t i = 0; i < count; i++)
		list[i] = new_mailbox(r);
	return list;
}

static char **new_endpoints(char **addresses)
{
	guint count = g_strv_length(addresses);
	char **urls = g_new0(char *, count + 1);

	for (guint i = 0; i < count; i++)
		urls[i] = g_strdup_printf("http://%s", addresses[i]);
	return urls;
}

static void root_init(struct root *r, const struct pw_process_settings *s)
{
	uint32_t count = MAX(MAX(s->front_tasks, s->group_tasks), s->gateway_tasks);

	*r = (struct root){ .mailboxes = g_ptr_array_new() };
	r->directory = (struct pw_directory){
		.settings = s,
		.binding = pw_bindings[s->binding],
		.root = new_mailbox(r),
		.stopper = new_mailbox(r),
		.store = new_mailbox(r),
		.peers = new_mailbox(r),
		.config = new_mailbox(r),
		.admin = new_mailbox(r),
		.monitor = new_mailbox(r),
		.ledger = new_mailbox(r),
		.catalog = new_mailbox(r),
		.cluster = new_mailbox(r),
		.metrics = new_mailbox(r),
		.fronts = new_mailboxes(r, s->front_tasks),
		.groups = new_mailboxes(r, s->group_tasks),
		.gateways = new_mailboxes(r, s->gateway_tasks),
		.front_count = s->front_tasks,
		.group_count = s->group_tasks,
		.gateway_count = s->gateway_tasks,
	};
	r->endpoints = new_endpoints(s->store_addresses);
	r->control = new_mailbox(r);
	r->traffic = new_mailbox(r);
	r->args = g_new0(struct pw_task_args, count);
	for (uint32_t i = 0; i < count; i++)
		r->args[i] = (struct pw_task_args){ .directory = &r->directory, .index = i };
	r->control_children = g_array_new(FALSE, TRUE, sizeof(struct pw_child_spec));
	r->traffic_children = g_array_new(FALSE, TRUE, sizeof(struct pw_child_spec));
	r->store.store_new = r->directory.binding->store_new;
	r->store.endpoints = (const char *const *)r->endpoints;
	pw_control_children(r->control_children, &r->directory, r->args, &r->store);
	pw_traffic_children(r->traffic_children, &r->directory, r->args);
}

static void root_dispose(struct root *r)
{
	for (guint i = 0; i < r->mailboxes->len; i++)
		pw_mailbox_free(g_ptr_array_index(r->mailboxes, i));
	g_ptr_array_unref(r->mailboxes);
	g_array_unref(r->control_children);
	g_array_unref(r->traffic_children);
	g_free(r->directory.fronts);
	g_free(r->directory.groups);
	g_free(r->directory.gateways);
	g_free(r->args);
	g_strfreev(r->endpoints);
}

/* Steps of a planned stop. */
enum stop_step {
	STOP_NONE,
	STOP_GRACE,  /**< the health check fails, callers are still served */
	STOP_FRONTS, /**< the front tasks finish what callers have begun */
	STOP_QUOTA,  /**< the ledger gives its holdings to the other VMs */
	STOP_PEERS,  /**< the VM leaves the member table */
};

/* Time for the group tasks to return units that are idle, and for grants to arrive. */
#define GIVE_TIME_US UINT64_C(400000)
/* The member table is left behind after this time, for example while the store is down. */
#define LEAVE_TIMEOUT_US UINT64_C(3000000)

/*
 * Child of the root that waits for the signals of a planned stop and leads it from step to step.
 * A second signal goes on to the next step at once.
 */
struct stopper {
	struct pw_task task;
	struct pw_source source;
	struct pw_timer timer;
	const struct pw_directory *directory;
	enum stop_step step;
	uint32_t fronts_done;
};

static void set_step_timer(struct stopper *st, uint64_t after_us)
{
	pw_loop_timer_set(st->task.loop, &st->timer, pw_loop_now_us(st->task.loop) + after_us);
}

/* The tasks that serve callers. */
static struct pw_mailbox *const *entries(const struct pw_directory *d)
{
	return d->binding->caller ? d->gateways : d->fronts;
}

static uint32_t entry_count(const struct pw_directory *d)
{
	return d->binding->caller ? d->gateway_count : d->front_count;
}

static void next_step(struct stopper *st)
{
	const struct pw_directory *d = st->directory;

	st->step++;
	switch (st->step) {
	case STOP_GRACE:
		pw_mailbox_send(d->admin, pw_drain_msg());
		set_step_timer(st, d->settings->drain_grace_us);
		break;
	case STOP_FRONTS:
		for (uint32_t i = 0; i < entry_count(d); i++)
			pw_mailbox_send(entries(d)[i], pw_drain_msg());
		set_step_timer(st, d->settings->drain_timeout_us + LEAVE_TIMEOUT_US);
		break;
	case STOP_QUOTA:
		/* Shares of the gateways are not holdings: they end with the membership. */
		if (d->binding->caller) {
			next_step(st);
			return;
		}
		pw_mailbox_send(d->ledger, pw_drain_msg());
		set_step_timer(st, GIVE_TIME_US);
		break;
	case STOP_PEERS:
		pw_mailbox_send(d->binding->caller ? d->cluster : d->peers, pw_drain_msg());
		set_step_timer(st, LEAVE_TIMEOUT_US);
		break;
	default:
		pw_loop_timer_clear(st->task.loop, &st->timer);
		pw_mailbox_send(d->root, pw_task_stop_msg());
		break;
	}
}

static void step_timeout(struct pw_timer *t, uint64_t now_us)
{
	(void)now_us;
	next_step((struct stopper *)((char *)t - offsetof(struct stopper, timer)));
}

static const struct pw_timer_ops step_timer_ops = { .expire = step_timeout };

static void signal_ready(struct pw_source *s, uint32_t events)
{
	struct stopper *st = (struct stopper *)((char *)s - offsetof(struct stopper, source));
	struct signalfd_siginfo info;

	(void)events;
	if (read(s->fd, &info, sizeof(info)) != (ssize_t)sizeof(info))
		return;
	/* Settings come from flags and the environment, which stay as they are in a process. */
	if (info.ssi_signo == SIGHUP) {
		pw_event_log(PW_EVENT_RELOAD_IGNORED, "signal=%u", info.ssi_signo);
		return;
	}
	pw_event_log(PW_EVENT_STOPPING, "signal=%u", info.ssi_signo);
	next_step(st);
}

static const struct pw_source_ops signal_ops = { .ready = signal_ready };

static int stopper_start(struct pw_task *t)
{
	struct stopper *s = (struct stopper *)t;
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	s->directory = ((const struct pw_task_args *)t->args)->directory;
	s->timer.ops = &step_timer_ops;
	s->source.ops = &signal_ops;
	s->source.fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (s->source.fd < 0)
		return pw_error_set(PW_ESYSTEM, "signalfd failed");
	return pw_loop_watch(t->loop, &s->source, EPOLLIN);
}

static void stopper_receive(struct pw_task *t, struct pw_msg *m)
{
	struct stopper *s = (struct stopper *)t;

	if (m->ops == &pw_front_drained_ops)
		s->fronts_done++;
	if ((s->step == STOP_FRONTS && s->fronts_done == entry_count(s->directory)) ||
	    (s->step == STOP_PEERS && m->ops == &pw_peers_left_ops))
		next_step(s);
	pw_msg_free(m);
}

static void stopper_stop(struct pw_task *t)
{
	struct stopper *s = (struct stopper *)t;

	pw_loop_timer_clear(t->loop, &s->timer);
	pw_loop_unwatch(t->loop, &s->source);
	close(s->source.fd);
}

static const struct pw_task_ops stopper_ops = {
	.name = "stopper",
	.size_bytes = sizeof(struct stopper),
	.start = stopper_start,
	.receive = stopper_receive,
	.stop = stopper_stop,
};

/* Blocked in all threads, so that only the signal descriptor gets them. */
static void block_signals(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

int pw_root_run(const struct pw_process_settings *settings)
{
	struct root r;
	int rc;

	block_signals();
	root_init(&r, settings);
	const struct pw_supervisor_spec control = {
		.name = "control",
		.children = (const struct pw_child_spec *)(void *)r.control_children->data,
		.child_count = r.control_children->len,
	};
	const struct pw_supervisor_spec traffic = {
		.name = "traffic",
		.children = (const struct pw_child_spec *)(void *)r.traffic_children->data,
		.child_count = r.traffic_children->len,
	};
	const struct pw_child_spec children[] = {
		{ .ops = &pw_supervisor_ops, .inbox = r.control, .args = &control },
		{ .ops = &pw_supervisor_ops, .inbox = r.traffic, .args = &traffic, .index = 1 },
		{ .ops = &stopper_ops, .inbox = r.directory.stopper, .args = r.args },
	};
	const struct pw_supervisor_spec root = {
		.name = "root",
		.children = children,
		.child_count = G_N_ELEMENTS(children),
	};

	pw_event_log(PW_EVENT_STARTED, "vm=%s version=%s", settings->name, PW_VERSION);
	rc = pw_task_run(&pw_supervisor_ops, r.directory.root, &root);
	pw_event_log(PW_EVENT_STOPPED, "status=%d", rc);
	root_dispose(&r);
	return rc;
}
