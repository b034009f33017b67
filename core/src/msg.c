#include "pw/core/msg.h"

#include <ck_pr.h>
#include <errno.h>
#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "pw/core/error.h"

/*
 * Concurrency Kit orders memory accesses with inline assembly, which ThreadSanitizer does not see.
 * Builds for ThreadSanitizer use the compiler's atomics for the same two operations.
 */
#ifdef __SANITIZE_THREAD__
static void push_entry(ck_stack_t *stack, ck_stack_entry_t *entry)
{
	entry->next = __atomic_load_n(&stack->head, __ATOMIC_RELAXED);
	while (!__atomic_compare_exchange_n(&stack->head, &entry->next, entry, false,
					    __ATOMIC_RELEASE, __ATOMIC_RELAXED)) {
	}
}

static ck_stack_entry_t *pop_all_entries(ck_stack_t *stack)
{
	return __atomic_exchange_n(&stack->head, NULL, __ATOMIC_ACQUIRE);
}
#else
static void push_entry(ck_stack_t *stack, ck_stack_entry_t *entry)
{
	ck_stack_push_upmc(stack, entry);
}

static ck_stack_entry_t *pop_all_entries(ck_stack_t *stack)
{
	return ck_stack_batch_pop_upmc(stack);
}
#endif

struct pw_mailbox {
	ck_stack_t stack;   /**< any thread pushes; the owner pops all entries at once */
	uint32_t signalled; /**< 1 if a sender has written to `fd` since it was last read */
	int32_t fd;         /**< eventfd, readable while messages wait */
};

CK_STACK_CONTAINER(struct pw_msg, entry, msg_from_entry)

void pw_msg_free(struct pw_msg *m)
{
	if (m)
		m->ops->destroy(m);
}

int pw_mailbox_new(struct pw_mailbox **out)
{
	struct pw_mailbox *mb = g_new0(struct pw_mailbox, 1);

	mb->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (mb->fd < 0) {
		g_free(mb);
		return pw_error_set(PW_ESYSTEM, "eventfd: %s", strerror(errno));
	}
	ck_stack_init(&mb->stack);
	*out = mb;
	return PW_OK;
}

static void discard_message(void *data, struct pw_msg *m)
{
	(void)data;
	pw_msg_free(m);
}

void pw_mailbox_free(struct pw_mailbox *mb)
{
	if (!mb)
		return;
	pw_mailbox_receive_all(mb, discard_message, NULL);
	close(mb->fd);
	g_free(mb);
}

void pw_mailbox_send(struct pw_mailbox *mb, struct pw_msg *m)
{
	static const uint64_t one = 1;

	push_entry(&mb->stack, &m->entry);
	/* Only the first sender since the mailbox was emptied makes this system call. */
	if (ck_pr_fas_32(&mb->signalled, 1) == 0) {
		ssize_t rc = write(mb->fd, &one, sizeof(one));

		(void)rc; /* Fails only if the counter is at its maximum; `fd` is readable then. */
	}
}

int32_t pw_mailbox_fd(const struct pw_mailbox *mb)
{
	return mb->fd;
}

void pw_mailbox_receive_all(struct pw_mailbox *mb, void (*receive)(void *data, struct pw_msg *m),
			    void *data)
{
	ck_stack_entry_t *entry, *in_order = NULL;
	uint64_t count;
	ssize_t rc = read(mb->fd, &count, sizeof(count));

	(void)rc;
	/* The flag is cleared first, so that a message pushed after the pop is signalled again. */
	ck_pr_fas_32(&mb->signalled, 0);
	/* The stack is last in, first out; the list is reversed into the order of sending. */
	entry = pop_all_entries(&mb->stack);
	while (entry) {
		ck_stack_entry_t *next = CK_STACK_NEXT(entry);

		entry->next = in_order;
		in_order = entry;
		entry = next;
	}
	while (in_order) {
		ck_stack_entry_t *next = CK_STACK_NEXT(in_order);

		receive(data, msg_from_entry(in_order));
		in_order = next;
	}
}
