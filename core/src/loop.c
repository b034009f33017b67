#include "pw/core/loop.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "pw/core/clock.h"
#include "pw/core/error.h"

/* Maximum number of ready sources handled in one iteration; the next one handles the others. */
#define EVENTS_PER_ITERATION_MAX 64

struct pw_loop {
	GSequence *timers; /**< of struct pw_timer, sorted by due time */
	uint64_t now_us;   /**< time of the current iteration */
	int32_t epoll_fd;
	int32_t ready_count; /**< valid entries of `ready` */
	struct epoll_event ready[EVENTS_PER_ITERATION_MAX];
	bool stopped;
};

int pw_loop_new(struct pw_loop **out)
{
	struct pw_loop *l = g_new0(struct pw_loop, 1);

	l->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (l->epoll_fd < 0) {
		g_free(l);
		return pw_error_set(PW_ESYSTEM, "epoll_create1: %s", strerror(errno));
	}
	l->timers = g_sequence_new(NULL);
	l->now_us = pw_clock_now_us();
	*out = l;
	return PW_OK;
}

void pw_loop_free(struct pw_loop *l)
{
	if (!l)
		return;
	g_sequence_free(l->timers);
	close(l->epoll_fd);
	g_free(l);
}

int pw_loop_watch(struct pw_loop *l, struct pw_source *s, uint32_t events)
{
	/* EPOLLERR is always reported; it keeps `events` non-zero while the source is watched. */
	uint32_t interest = events | EPOLLERR;
	struct epoll_event ev = { .events = interest, .data.ptr = s };
	int op = s->events ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;

	if (s->events == interest)
		return PW_OK;
	if (epoll_ctl(l->epoll_fd, op, s->fd, &ev) < 0)
		return pw_error_set(PW_ESYSTEM, "epoll_ctl: %s", strerror(errno));
	s->events = interest;
	return PW_OK;
}

void pw_loop_unwatch(struct pw_loop *l, struct pw_source *s)
{
	if (!s->events)
		return;
	epoll_ctl(l->epoll_fd, EPOLL_CTL_DEL, s->fd, NULL);
	s->events = 0;
	for (int32_t i = 0; i < l->ready_count; i++) {
		if (l->ready[i].data.ptr == s)
			l->ready[i].data.ptr = NULL;
	}
}

static int compare_timers(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct pw_timer *x = a, *y = b;

	(void)data;
	return (x->due_us > y->due_us) - (x->due_us < y->due_us);
}

void pw_loop_timer_clear(struct pw_loop *l, struct pw_timer *t)
{
	(void)l;
	if (!t->node)
		return;
	g_sequence_remove(t->node);
	t->node = NULL;
}

void pw_loop_timer_set(struct pw_loop *l, struct pw_timer *t, uint64_t due_us)
{
	pw_loop_timer_clear(l, t);
	t->due_us = due_us;
	t->node = g_sequence_insert_sorted(l->timers, t, compare_timers, NULL);
}

uint64_t pw_loop_now_us(const struct pw_loop *l)
{
	return l->now_us;
}

uint64_t pw_loop_update_now_us(struct pw_loop *l)
{
	l->now_us = pw_clock_now_us();
	return l->now_us;
}

static struct pw_timer *earliest_timer(const struct pw_loop *l)
{
	GSequenceIter *it = g_sequence_get_begin_iter(l->timers);

	return g_sequence_iter_is_end(it) ? NULL : g_sequence_get(it);
}

static int epoll_timeout_ms(const struct pw_loop *l)
{
	const struct pw_timer *t = earliest_timer(l);
	uint64_t now_us = pw_clock_now_us();

	if (!t)
		return -1;
	if (t->due_us <= now_us)
		return 0;
	/* Rounded up: otherwise the loop would wake early and poll again until the timer is due. */
	return (int)MIN((t->due_us - now_us + PW_US_PER_MS - 1) / PW_US_PER_MS, INT32_MAX);
}

static void expire_timers(struct pw_loop *l)
{
	struct pw_timer *t;

	while (!l->stopped && (t = earliest_timer(l)) && t->due_us <= l->now_us) {
		pw_loop_timer_clear(l, t);
		t->ops->expire(t, l->now_us);
	}
}

static void dispatch_sources(struct pw_loop *l)
{
	for (int32_t i = 0; i < l->ready_count && !l->stopped; i++) {
		struct pw_source *s = l->ready[i].data.ptr;

		if (s)
			s->ops->ready(s, l->ready[i].events);
	}
	l->ready_count = 0;
}

void pw_loop_run(struct pw_loop *l)
{
	while (!l->stopped) {
		int n = epoll_wait(l->epoll_fd, l->ready, EVENTS_PER_ITERATION_MAX,
				   epoll_timeout_ms(l));

		/*
		 * A stop and continuation of the process interrupts the wait. What has arrived
		 * meanwhile goes before the timers that wait for it.
		 */
		if (n < 0 && errno == EINTR)
			continue;
		l->ready_count = MAX(n, 0);
		pw_loop_update_now_us(l);
		dispatch_sources(l);
		expire_timers(l);
	}
}

void pw_loop_stop(struct pw_loop *l)
{
	l->stopped = true;
}
