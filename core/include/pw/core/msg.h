/**
 * @file msg.h
 * Messages between tasks, and the mailboxes that receive them.
 */
#ifndef PW_CORE_MSG_H
#define PW_CORE_MSG_H

#include <stdint.h>
#include <ck_stack.h>

struct pw_msg;

struct pw_msg_ops {
	const char *name;
	/** Frees the message and everything it owns. */
	void (*destroy)(struct pw_msg *m);
};

/** First member of every message. A message has one owner at a time. */
struct pw_msg {
	const struct pw_msg_ops *ops;
	ck_stack_entry_t entry; /**< link in the mailbox */
};

/** Frees a message through its vtable. */
void pw_msg_free(struct pw_msg *m);

struct pw_mailbox;

/**
 * Creates the mailbox of a task. It outlives restarts of the task, so that the pointers of senders
 * stay valid.
 *
 * @return 0, or PW_ESYSTEM
 */
int pw_mailbox_new(struct pw_mailbox **out);

/** Frees a mailbox and the messages left in it. */
void pw_mailbox_free(struct pw_mailbox *mb);

/** Sends a message; the mailbox takes ownership. Any thread may call it. */
void pw_mailbox_send(struct pw_mailbox *mb, struct pw_msg *m);

/** @return file descriptor for the owner's event loop, readable while messages wait */
int32_t pw_mailbox_fd(const struct pw_mailbox *mb);

/**
 * Takes all waiting messages. Messages of one sender come in the order of sending. Only the owner
 * of the mailbox may call it.
 *
 * @param receive called with `data` and each message, of which it takes ownership
 */
void pw_mailbox_receive_all(struct pw_mailbox *mb, void (*receive)(void *data, struct pw_msg *m),
			    void *data);

#endif
