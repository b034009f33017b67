#include "peers_private.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pw/core/address.h"

/* A VM that does not answer within this time is cut off or frozen; its process may still run. */
#define CHECK_TIMEOUT_US UINT64_C(300000)

/* A TCP connect to a member's address, on which nothing is sent. */
struct process_check {
	struct pw_source source;
	struct pw_timer timer;
	struct peers *peers;
	struct pw_member_entry member;
};

static void check_free(gpointer data)
{
	struct process_check *c = data;

	pw_loop_timer_clear(c->peers->task.loop, &c->timer);
	if (c->source.events)
		pw_loop_unwatch(c->peers->task.loop, &c->source);
	if (c->source.fd >= 0)
		close(c->source.fd);
	g_free(c);
}

/* Ends the check and reports a refused connection. */
static void end_check(struct process_check *c, int32_t error)
{
	struct peers *p = c->peers;
	struct pw_member_entry member = c->member;

	g_hash_table_remove(p->checks, member.name);
	if (error != ECONNREFUSED)
		return;
	pw_member_connection_refused(p->member, &member, peers_now_us(p), p->actions);
	peers_run_actions(p);
}

static void check_ready(struct pw_source *s, uint32_t events)
{
	struct process_check *c = (struct process_check *)s;
	int error = 0;
	socklen_t size = sizeof(error);

	(void)events;
	if (getsockopt(s->fd, SOL_SOCKET, SO_ERROR, &error, &size) < 0)
		error = errno;
	end_check(c, error);
}

static const struct pw_source_ops check_ops = { .ready = check_ready };

static void check_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct process_check *c =
		(struct process_check *)((char *)t - offsetof(struct process_check, timer));

	(void)now_us;
	end_check(c, ETIMEDOUT);
}

static const struct pw_timer_ops check_timer_ops = { .expire = check_timer_expired };

/* Starts the connect. Returns 0, or the error number if it has failed already. */
static int32_t start_connect(struct process_check *c)
{
	struct pw_address address;

	if (pw_address_parse(&address, c->member.address))
		return EINVAL;
	c->source.fd =
		socket(address.socket.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (c->source.fd < 0)
		return errno;
	if (connect(c->source.fd, (struct sockaddr *)&address.socket, address.size_bytes) < 0 &&
	    errno != EINPROGRESS)
		return errno;
	return pw_loop_watch(c->peers->task.loop, &c->source, EPOLLOUT) ? EIO : 0;
}

void peers_check_process(struct peers *p, const struct pw_member_entry *e)
{
	struct process_check *c;
	int32_t error;

	if (g_hash_table_contains(p->checks, e->name))
		return;
	c = g_new0(struct process_check, 1);
	c->source.ops = &check_ops;
	c->source.fd = -1;
	c->timer.ops = &check_timer_ops;
	c->peers = p;
	c->member = *e;
	g_hash_table_insert(p->checks, c->member.name, c);
	error = start_connect(c);
	if (error)
		end_check(c, error);
	else
		pw_loop_timer_set(p->task.loop, &c->timer, peers_now_us(p) + CHECK_TIMEOUT_US);
}

void peers_checks_start(struct peers *p)
{
	p->checks = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, check_free);
}

void peers_checks_stop(struct peers *p)
{
	g_hash_table_unref(p->checks);
}
