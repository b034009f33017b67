#include "root.h"

#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "control/control.h"
#include "control/peers.h"
#include "pw/core/clock.h"
#include "pw/core/error.h"
#include "pw/core/event.h"
#include "pw/core/task.h"
#include "traffic/front.h"
#include "traffic/request.h"
#include "traffic/traffic.h"

/* State of the root: the mailboxes of all tasks and the child specifications of the supervisors. */
struct root {
	struct pw_directory directory;
	struct pw_mailbox *control_inbox;
	struct pw_mailbox *traffic_inbox;
	struct pw_task_args *task_args; /**< shared by all kinds, by index of a task in its kind */
	GArray *control_child_specs;
	GArray *traffic_child_specs;
	GPtrArray *mailboxes; /**< struct pw_mailbox, all of the process */
	struct pw_store_task_args store_args;
	char **store_endpoints; /**< URLs of the store */
};

static struct pw_mailbox *add_mailbox(struct root *r)
{
	struct pw_mailbox *mb = NULL;

	if (pw_mailbox_new(&mb))
		g_error("%s", pw_error_message());
	g_ptr_array_add(r->mailboxes, mb);
	return mb;
}

static struct pw_mailbox **add_mailboxes(struct root *r, uint32_t count)
{
	struct pw_mailbox **list = g_new0(struct pw_mailbox *, count);

	for (uint32_t i = 0; i < count; i++)
		list[i] = add_mailbox(r);
	return list;
}

static char **store_endpoints_new(char **addresses)
{
	guint count = g_strv_length(addresses);
	char **urls = g_new0(char *, count + 1);

	for (guint i = 0; i < count; i++)
		urls[i] = g_strdup_printf("http://%s", addresses[i]);
	return urls;
}

static struct pw_drain_plan drain_plan_of(const struct pw_process_settings *s)
{
	if (s->stop_timeout_us)
		return pw_drain_plan_for_limit(s->stop_timeout_us);
	return (struct pw_drain_plan){
		.grace_us = s->drain_grace_us,
		.drain_us = s->drain_timeout_us,
		.close_us = PW_DRAIN_CLOSE_US,
	};
}

static void root_init(struct root *r, const struct pw_process_settings *settings)
{
	uint32_t count = MAX(MAX(settings->front_task_count, settings->group_task_count),
			     settings->gateway_task_count);

	*r = (struct root){ .mailboxes = g_ptr_array_new() };
	r->directory = (struct pw_directory){
		.settings = settings,
		.binding = pw_bindings[settings->binding_index],
		.drain_plan = drain_plan_of(settings),
		.root = add_mailbox(r),
		.shutdown = add_mailbox(r),
		.store = add_mailbox(r),
		.peers = add_mailbox(r),
		.config = add_mailbox(r),
		.admin = add_mailbox(r),
		.monitor = add_mailbox(r),
		.ledger = add_mailbox(r),
		.catalog = add_mailbox(r),
		.cluster = add_mailbox(r),
		.metrics = add_mailbox(r),
		.fronts = add_mailboxes(r, settings->front_task_count),
		.groups = add_mailboxes(r, settings->group_task_count),
		.gateways = add_mailboxes(r, settings->gateway_task_count),
		.front_count = settings->front_task_count,
		.group_count = settings->group_task_count,
		.gateway_count = settings->gateway_task_count,
	};
	r->store_endpoints = store_endpoints_new(settings->store_addresses);
	r->control_inbox = add_mailbox(r);
	r->traffic_inbox = add_mailbox(r);
	r->task_args = g_new0(struct pw_task_args, count);
	for (uint32_t i = 0; i < count; i++)
		r->task_args[i] = (struct pw_task_args){ .directory = &r->directory, .index = i };
	r->control_child_specs = g_array_new(FALSE, TRUE, sizeof(struct pw_child_spec));
	r->traffic_child_specs = g_array_new(FALSE, TRUE, sizeof(struct pw_child_spec));
	r->store_args.store_new = r->directory.binding->store_new;
	r->store_args.endpoints = (const char *const *)r->store_endpoints;
	pw_control_append_children(r->control_child_specs, &r->directory, r->task_args,
				   &r->store_args);
	pw_traffic_append_children(r->traffic_child_specs, &r->directory, r->task_args);
}

static void root_dispose(struct root *r)
{
	for (guint i = 0; i < r->mailboxes->len; i++)
		pw_mailbox_free(g_ptr_array_index(r->mailboxes, i));
	g_ptr_array_unref(r->mailboxes);
	g_array_unref(r->control_child_specs);
	g_array_unref(r->traffic_child_specs);
	g_free(r->directory.fronts);
	g_free(r->directory.groups);
	g_free(r->directory.gateways);
	g_free(r->task_args);
	g_strfreev(r->store_endpoints);
}

/* Steps of a planned stop. */
enum shutdown_step {
	SHUTDOWN_NOT_STARTED,
	SHUTDOWN_GRACE,         /**< the readiness check fails, callers are still served */
	SHUTDOWN_DRAIN_CALLERS, /**< the tasks that serve callers finish open transactions */
	SHUTDOWN_END_DRAIN,     /**< they answer what is in progress with an error; skipped if they
				     have drained by themselves */
	SHUTDOWN_RELEASE_QUOTA, /**< the ledger grants its quota to the other VMs */
	SHUTDOWN_LEAVE_FLEET,   /**< the VM removes itself from the members of the fleet */
};

/* Time for the group tasks to return unused quota units, and for grants to reach other VMs. */
#define QUOTA_RELEASE_TIME_US UINT64_C(400000)
/* Longest wait for the VM to leave the fleet; it cannot leave while the store is down, for example.
 */
#define FLEET_LEAVE_TIMEOUT_US UINT64_C(3000000)
/* Time for the tasks to close the remaining sessions and to report that they have drained. */
#define DRAIN_END_TIMEOUT_US UINT64_C(3000000)

/*
 * Child of the root that waits for SIGTERM or SIGINT and then takes the process through the steps
 * of a planned stop. Each further signal starts the next step at once.
 */
struct shutdown_task {
	struct pw_task task;
	struct pw_source signal_source;
	struct pw_timer step_timer;
	const struct pw_directory *directory;
	enum shutdown_step step;
	uint64_t signalled_us;       /**< time of the first signal; 0: none yet */
	uint32_t drained_task_count; /**< tasks that serve callers and have drained */
};

static void set_step_timeout(struct shutdown_task *s, uint64_t after_us)
{
	pw_loop_timer_set(s->task.loop, &s->step_timer, pw_loop_now_us(s->task.loop) + after_us);
}

/* Returns the time that is left before the planned end of the process. */
static uint64_t remaining_us(const struct shutdown_task *s)
{
	uint64_t end_us = s->directory->drain_plan.end_us;
	uint64_t elapsed_us = pw_loop_now_us(s->task.loop) - s->signalled_us;

	if (!end_us)
		return UINT64_MAX;
	return elapsed_us < end_us ? end_us - elapsed_us : 0;
}

/* Returns the longest wait for the callers' tasks to drain. Part of the plan is left to leave. */
static uint64_t drain_wait_us(const struct shutdown_task *s)
{
	const struct pw_drain_plan *p = &s->directory->drain_plan;

	if (!p->end_us)
		return p->drain_us + DRAIN_END_TIMEOUT_US;
	return MIN(p->drain_us + DRAIN_END_TIMEOUT_US,
		   (p->drain_us + p->close_us + remaining_us(s)) / 2);
}

/* Returns the mailboxes of the tasks that serve callers. */
static struct pw_mailbox *const *caller_task_inboxes(const struct pw_directory *d)
{
	return d->binding->caller ? d->gateways : d->fronts;
}

static uint32_t caller_task_count(const struct pw_directory *d)
{
	return d->binding->caller ? d->gateway_count : d->front_count;
}

static bool have_callers_drained(const struct shutdown_task *s)
{
	return s->drained_task_count == caller_task_count(s->directory);
}

/* Name of a step in the log; the one after the last step ends the process. */
static const char *step_name(enum shutdown_step step)
{
	static const char *const names[] = {
		[SHUTDOWN_NOT_STARTED] = "none",
		[SHUTDOWN_GRACE] = "grace",
		[SHUTDOWN_DRAIN_CALLERS] = "drain_callers",
		[SHUTDOWN_END_DRAIN] = "end_drain",
		[SHUTDOWN_RELEASE_QUOTA] = "release_quota",
		[SHUTDOWN_LEAVE_FLEET] = "leave_fleet",
	};

	return step <= SHUTDOWN_LEAVE_FLEET ? names[step] : "end";
}

/* Starts the next step; `cause` tells what has ended the one before it, for the log. */
static void start_next_step(struct shutdown_task *s, const char *cause)
{
	const struct pw_directory *d = s->directory;

	s->step++;
	pw_event_log(PW_EVENT_STOP_STEP, "step=%s cause=%s ms=%" PRIu64, step_name(s->step), cause,
		     (pw_loop_now_us(s->task.loop) - s->signalled_us) / PW_US_PER_MS);
	switch (s->step) {
	case SHUTDOWN_GRACE:
		pw_mailbox_send(d->admin, pw_drain_msg());
		set_step_timeout(s, d->drain_plan.grace_us);
		break;
	case SHUTDOWN_DRAIN_CALLERS:
		for (uint32_t i = 0; i < caller_task_count(d); i++)
			pw_mailbox_send(caller_task_inboxes(d)[i], pw_drain_msg());
		set_step_timeout(s, drain_wait_us(s));
		break;
	case SHUTDOWN_END_DRAIN:
		for (uint32_t i = 0; i < caller_task_count(d); i++)
			pw_mailbox_send(caller_task_inboxes(d)[i], pw_drain_end_msg());
		set_step_timeout(s, MIN(DRAIN_END_TIMEOUT_US, remaining_us(s) / 2));
		break;
	case SHUTDOWN_RELEASE_QUOTA:
		/*
		 * With gateway tasks there is no quota to release: their shares of the accounts'
		 * rates end when the VM leaves the fleet.
		 */
		if (d->binding->caller) {
			start_next_step(s, "no_quota");
			return;
		}
		pw_mailbox_send(d->ledger, pw_drain_msg());
		/* Leaving the fleet needs a part of what is left, too. */
		set_step_timeout(s, MIN(QUOTA_RELEASE_TIME_US, remaining_us(s) / 2));
		break;
	case SHUTDOWN_LEAVE_FLEET:
		pw_mailbox_send(d->binding->caller ? d->cluster : d->peers, pw_drain_msg());
		set_step_timeout(s, MIN(FLEET_LEAVE_TIMEOUT_US, remaining_us(s)));
		break;
	default:
		pw_loop_timer_clear(s->task.loop, &s->step_timer);
		pw_mailbox_send(d->root, pw_task_stop_msg_new());
		break;
	}
}

static void step_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	(void)now_us;
	start_next_step(
		(struct shutdown_task *)((char *)t - offsetof(struct shutdown_task, step_timer)),
		"timeout");
}

static const struct pw_timer_ops step_timer_ops = { .expire = step_timer_expired };

static void signal_received(struct pw_source *source, uint32_t events)
{
	struct shutdown_task *s =
		(struct shutdown_task *)((char *)source -
					 offsetof(struct shutdown_task, signal_source));
	struct signalfd_siginfo info;

	(void)events;
	if (read(source->fd, &info, sizeof(info)) != (ssize_t)sizeof(info))
		return;
	/*
	 * There is nothing to reload: settings come from flags and the environment, which do not
	 * change while the process runs.
	 */
	if (info.ssi_signo == SIGHUP) {
		pw_event_log(PW_EVENT_RELOAD_IGNORED, "signal=%u", info.ssi_signo);
		return;
	}
	pw_event_log(PW_EVENT_STOPPING, "signal=%u", info.ssi_signo);
	if (!s->signalled_us)
		s->signalled_us = pw_loop_now_us(s->task.loop);
	start_next_step(s, "signal");
}

static const struct pw_source_ops signal_source_ops = { .ready = signal_received };

static int shutdown_start(struct pw_task *t)
{
	struct shutdown_task *s = (struct shutdown_task *)t;
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	s->directory = ((const struct pw_task_args *)t->args)->directory;
	s->step_timer.ops = &step_timer_ops;
	s->signal_source.ops = &signal_source_ops;
	s->signal_source.fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (s->signal_source.fd < 0)
		return pw_error_set(PW_ESYSTEM, "cannot create the signalfd");
	return pw_loop_watch(t->loop, &s->signal_source, EPOLLIN);
}

static void shutdown_receive(struct pw_task *t, struct pw_msg *m)
{
	struct shutdown_task *s = (struct shutdown_task *)t;

	if (m->ops == &pw_drained_ops)
		s->drained_task_count++;
	if ((s->step == SHUTDOWN_DRAIN_CALLERS || s->step == SHUTDOWN_END_DRAIN) &&
	    have_callers_drained(s)) {
		s->step = SHUTDOWN_END_DRAIN;
		start_next_step(s, "done");
	} else if (s->step == SHUTDOWN_LEAVE_FLEET && m->ops == &pw_fleet_left_ops) {
		start_next_step(s, "done");
	}
	pw_msg_free(m);
}

static void shutdown_stop(struct pw_task *t)
{
	struct shutdown_task *s = (struct shutdown_task *)t;

	pw_loop_timer_clear(t->loop, &s->step_timer);
	pw_loop_unwatch(t->loop, &s->signal_source);
	close(s->signal_source.fd);
}

static const struct pw_task_ops shutdown_ops = {
	.name = "stopper",
	.size_bytes = sizeof(struct shutdown_task),
	.start = shutdown_start,
	.receive = shutdown_receive,
	.stop = shutdown_stop,
};

/* Blocks the signals in all threads, so that only the signalfd gets them; ignores SIGPIPE. */
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
	const struct pw_supervisor_spec control_spec = {
		.name = "control",
		.children = (const struct pw_child_spec *)(void *)r.control_child_specs->data,
		.child_count = r.control_child_specs->len,
	};
	const struct pw_supervisor_spec traffic_spec = {
		.name = "traffic",
		.children = (const struct pw_child_spec *)(void *)r.traffic_child_specs->data,
		.child_count = r.traffic_child_specs->len,
	};
	const struct pw_child_spec children[] = {
		{ .ops = &pw_supervisor_ops, .inbox = r.control_inbox, .args = &control_spec },
		{ .ops = &pw_supervisor_ops,
		  .inbox = r.traffic_inbox,
		  .args = &traffic_spec,
		  .index = 1 },
		{ .ops = &shutdown_ops, .inbox = r.directory.shutdown, .args = r.task_args },
	};
	const struct pw_supervisor_spec root_spec = {
		.name = "root",
		.children = children,
		.child_count = G_N_ELEMENTS(children),
	};

	pw_event_log(PW_EVENT_STARTED, "vm=%s version=%s", settings->vm_name, PW_VERSION);
	rc = pw_task_run(&pw_supervisor_ops, r.directory.root, &root_spec);
	pw_event_log(PW_EVENT_STOPPED, "status=%d", rc);
	root_dispose(&r);
	return rc;
}
