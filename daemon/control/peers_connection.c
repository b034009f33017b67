#include "peers_private.h"

#include <errno.h>
#include <string.h>

#include "pw/core/counter.h"
#include "pw/core/error.h"

/* Limit of messages queued for a peer that does not read them; further ones are dropped. */
#define QUEUED_MESSAGES_MAX 1000
/* Silence after which a connection is closed and opened again. */
#define SILENCE_TIMEOUT_MS 1500
/* Interval of pings on an idle connection. */
#define PING_INTERVAL_MS 500

static void receive_messages(struct peers *p, void *socket, bool has_identity);

static void connection_ready(struct pw_source *s, uint32_t events)
{
	struct peer_connection *c = (struct peer_connection *)s;

	(void)events;
	receive_messages(c->peers, c->socket, false);
}

static const struct pw_source_ops connection_ops = { .ready = connection_ready };

static int32_t socket_descriptor(void *socket)
{
	int fd = -1;
	size_t size = sizeof(fd);

	zmq_getsockopt(socket, ZMQ_FD, &fd, &size);
	return fd;
}

static void set_int_option(void *socket, int name, int value)
{
	zmq_setsockopt(socket, name, &value, sizeof(value));
}

static void configure_socket(void *socket)
{
	set_int_option(socket, ZMQ_LINGER, 0);
	set_int_option(socket, ZMQ_SNDHWM, QUEUED_MESSAGES_MAX);
	set_int_option(socket, ZMQ_HEARTBEAT_IVL, PING_INTERVAL_MS);
	set_int_option(socket, ZMQ_HEARTBEAT_TIMEOUT, SILENCE_TIMEOUT_MS);
	set_int_option(socket, ZMQ_HANDSHAKE_IVL, SILENCE_TIMEOUT_MS);
	set_int_option(socket, ZMQ_CONNECT_TIMEOUT, SILENCE_TIMEOUT_MS);
	set_int_option(socket, ZMQ_RECONNECT_IVL, 50);
	set_int_option(socket, ZMQ_RECONNECT_IVL_MAX, 1000);
	zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &(int64_t){ PW_PEER_MAX_BYTES }, sizeof(int64_t));
}

static void connection_free(gpointer data)
{
	struct peer_connection *c = data;

	pw_loop_unwatch(c->peers->task.loop, &c->source);
	zmq_close(c->socket);
	g_free(c->address);
	g_free(c);
}

static struct peer_connection *get_connection(struct peers *p, const char *address)
{
	struct peer_connection *c = g_hash_table_lookup(p->connections, address);
	char *endpoint;
	int rc;

	if (c)
		return c;
	c = g_new0(struct peer_connection, 1);
	c->peers = p;
	c->address = g_strdup(address);
	c->socket = zmq_socket(p->zmq_context, ZMQ_DEALER);
	configure_socket(c->socket);
	endpoint = g_strdup_printf("tcp://%s", address);
	rc = zmq_connect(c->socket, endpoint);
	g_free(endpoint);
	c->source.ops = &connection_ops;
	c->source.fd = socket_descriptor(c->socket);
	if (rc || pw_loop_watch(p->task.loop, &c->source, EPOLLIN)) {
		connection_free(c);
		return NULL;
	}
	g_hash_table_insert(p->connections, c->address, c);
	return c;
}

static void set_sender(const struct peers *p, struct pw_peer_message *m)
{
	g_strlcpy(m->sender, p->self.name, sizeof(m->sender));
	m->incarnation = p->self.incarnation;
}

static GByteArray *encode_and_count(const struct peers *p, struct pw_peer_message *m)
{
	GByteArray *b = g_byte_array_new();

	set_sender(p, m);
	pw_peer_encode(b, m);
	pw_counter_inc(PW_COUNTER_PEER_MESSAGES_SENT);
	pw_counter_add(PW_COUNTER_PEER_BYTES_SENT, b->len);
	return b;
}

/* Dropping a message is safe: every message is sent again later, or its loss is tolerated. */
void peers_send(struct peers *p, const char *address, struct pw_peer_message *m)
{
	struct peer_connection *c = get_connection(p, address);
	GByteArray *b;

	if (!c)
		return;
	c->last_used_us = peers_now_us(p);
	b = encode_and_count(p, m);
	zmq_send(c->socket, b->data, b->len, ZMQ_DONTWAIT);
	g_byte_array_unref(b);
	/*
	 * The descriptor is edge-triggered, and the send may have consumed its event for messages
	 * that have arrived.
	 */
	receive_messages(p, c->socket, false);
}

const struct pw_member_entry *peers_find_member(const struct peers *p, const char *name)
{
	return pw_member_table_find(pw_member_newest_table(p->member), name);
}

void peers_send_to_member(struct peers *p, const char *name, struct pw_peer_message *m)
{
	const struct pw_member_entry *e = peers_find_member(p, name);

	if (e)
		peers_send(p, e->address, m);
}

void peers_send_to_all(struct peers *p, struct pw_peer_message *m)
{
	const GArray *members = pw_member_newest_table(p->member)->members;

	for (guint i = 0; i < members->len; i++) {
		struct pw_member_entry e = g_array_index(members, struct pw_member_entry, i);

		if (strcmp(e.name, p->self.name) != 0)
			peers_send(p, e.address, m);
	}
}

void peers_send_empty(struct peers *p, const char *address, enum pw_peer_kind kind)
{
	struct pw_peer_message m;

	pw_peer_message_init(&m, kind);
	peers_send(p, address, &m);
	pw_peer_message_dispose(&m);
}

void peers_reply(struct peers *p, zmq_msg_t *identity, struct pw_peer_message *m)
{
	GByteArray *b = encode_and_count(p, m);

	if (zmq_send(p->router_socket, zmq_msg_data(identity), zmq_msg_size(identity),
		     ZMQ_SNDMORE | ZMQ_DONTWAIT) >= 0)
		zmq_send(p->router_socket, b->data, b->len, ZMQ_DONTWAIT);
	g_byte_array_unref(b);
}

static void handle_payload(struct peers *p, zmq_msg_t *payload, zmq_msg_t *identity)
{
	struct pw_peer_message m;

	pw_counter_inc(PW_COUNTER_PEER_MESSAGES_RECEIVED);
	if (pw_peer_decode(&m, zmq_msg_data(payload), zmq_msg_size(payload))) {
		pw_counter_inc(PW_COUNTER_PEER_MESSAGES_DROPPED);
		return;
	}
	if (strcmp(m.sender, p->self.name) != 0)
		peers_handle_message(p, &m, identity);
	pw_peer_message_dispose(&m);
}

/*
 * Receives and handles one message; returns false if there is none. Parts after the payload are
 * dropped.
 *
 * has_identity: the socket puts the identity of the connection before each message
 */
static bool receive_message(struct peers *p, void *socket, bool has_identity)
{
	zmq_msg_t identity, payload;
	bool received = false;

	zmq_msg_init(&identity);
	zmq_msg_init(&payload);
	if (has_identity && zmq_msg_recv(&identity, socket, ZMQ_DONTWAIT) < 0)
		goto out;
	if (zmq_msg_recv(&payload, socket, ZMQ_DONTWAIT) < 0)
		goto out;
	received = true;
	while (zmq_msg_more(&payload) && zmq_msg_recv(&payload, socket, ZMQ_DONTWAIT) >= 0) {
	}
	handle_payload(p, &payload, has_identity ? &identity : NULL);
out:
	zmq_msg_close(&payload);
	zmq_msg_close(&identity);
	return received;
}

static void receive_messages(struct peers *p, void *socket, bool has_identity)
{
	/* The descriptor is edge-triggered, so all messages that have arrived are read. */
	while (receive_message(p, socket, has_identity)) {
	}
}

static void router_ready(struct pw_source *s, uint32_t events)
{
	struct peers *p = (struct peers *)((char *)s - offsetof(struct peers, router_source));

	(void)events;
	receive_messages(p, p->router_socket, true);
}

static const struct pw_source_ops router_ops = { .ready = router_ready };

int peers_open_sockets(struct peers *p)
{
	char *endpoint = g_strdup_printf("tcp://%s", p->self.address);
	int rc = PW_OK;

	p->connections = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, connection_free);
	p->zmq_context = zmq_ctx_new();
	p->router_socket = zmq_socket(p->zmq_context, ZMQ_ROUTER);
	configure_socket(p->router_socket);
	if (zmq_bind(p->router_socket, endpoint))
		rc = pw_error_set(PW_ESYSTEM, "cannot listen on %s for peers: %s", p->self.address,
				  zmq_strerror(errno));
	g_free(endpoint);
	if (rc)
		return rc;
	p->router_source.ops = &router_ops;
	p->router_source.fd = socket_descriptor(p->router_socket);
	return pw_loop_watch(p->task.loop, &p->router_source, EPOLLIN);
}

void peers_close_sockets(struct peers *p)
{
	pw_loop_unwatch(p->task.loop, &p->router_source);
	if (p->connections)
		g_hash_table_unref(p->connections);
	zmq_close(p->router_socket);
	zmq_ctx_term(p->zmq_context);
}
