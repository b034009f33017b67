#include "outbox.h"

#include "pw/core/clock.h"

/* One of so many packets is followed by a pause, which lets the remote end read it by itself. */
#define PAUSE_ONE_OF    4
#define PACKET_PAUSE_US UINT64_C(1000)

struct delayed_copy {
	uint64_t due_us;
	GBytes *bytes;
};

static void delivery_free(gpointer data)
{
	struct delivery *d = data;

	g_bytes_unref(d->bytes);
	g_clear_pointer(&d->copy, g_bytes_unref);
	g_free(d);
}

static void delayed_copy_free(gpointer data)
{
	struct delayed_copy *c = data;

	g_bytes_unref(c->bytes);
	g_free(c);
}

static gint compare_due_times(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct delayed_copy *first = a, *second = b;

	(void)user;
	return first->due_us < second->due_us ? -1 : first->due_us > second->due_us;
}

static struct delivery *delivery_new(struct delivery d)
{
	struct delivery *out = g_new(struct delivery, 1);

	*out = d;
	return out;
}

static void schedule_copy(struct outbox *o, struct delivery *d)
{
	struct delayed_copy *c;

	if (!d->copy)
		return;
	if (!d->copy_delay_us) {
		g_queue_push_head(&o->deliveries, delivery_new((struct delivery){
							  .bytes = g_steal_pointer(&d->copy) }));
		return;
	}
	c = g_new0(struct delayed_copy, 1);
	c->due_us = pw_clock_now_us() + d->copy_delay_us;
	c->bytes = g_steal_pointer(&d->copy);
	g_queue_insert_sorted(&o->copies, c, compare_due_times, NULL);
	c = g_queue_peek_head(&o->copies);
	pw_loop_timer_set(o->loop, &o->copy_timer, c->due_us);
}

/* Sends the next packet of the first delivery. Returns whether the delivery has left whole. */
static bool send_packet(struct outbox *o, const struct delivery *d)
{
	gsize size;
	const char *data = g_bytes_get_data(d->bytes, &size);
	gsize packet_size = size - o->sent_bytes;

	if (o->faults->split_bytes && packet_size)
		packet_size =
			MIN(packet_size, 1 + faults_random(o->faults, o->faults->split_bytes));
	pw_stream_send(o->stream, data + o->sent_bytes, (uint32_t)packet_size);
	o->sent_bytes += packet_size;
	return o->sent_bytes == size;
}

static void send_deliveries(struct outbox *o)
{
	struct delivery *d;
	bool is_split = o->faults->split_bytes > 0;

	while ((d = g_queue_peek_head(&o->deliveries))) {
		if (send_packet(o, d)) {
			bool closes = d->closes;

			g_queue_pop_head(&o->deliveries);
			o->sent_bytes = 0;
			schedule_copy(o, d);
			delivery_free(d);
			if (closes) {
				outbox_dispose(o);
				pw_stream_shutdown(o->stream);
				return;
			}
		}
		if (is_split) {
			uint64_t pause_us =
				faults_random(o->faults, PAUSE_ONE_OF) == 0 ? PACKET_PAUSE_US : 0;

			pw_loop_timer_set(o->loop, &o->packet_timer, pw_clock_now_us() + pause_us);
			return;
		}
	}
}

static void packet_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	(void)now_us;
	send_deliveries((struct outbox *)((char *)t - offsetof(struct outbox, packet_timer)));
}

static const struct pw_timer_ops packet_timer_ops = { .expire = packet_timer_expired };

/* Sends the deliveries unless one is in progress, which then continues with its next packet. */
static void start_sending(struct outbox *o)
{
	if (!o->packet_timer.node)
		send_deliveries(o);
}

static void copy_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct outbox *o = (struct outbox *)((char *)t - offsetof(struct outbox, copy_timer));
	struct delayed_copy *c;

	while ((c = g_queue_peek_head(&o->copies)) && c->due_us <= now_us) {
		g_queue_pop_head(&o->copies);
		if (!o->closing)
			g_queue_push_tail(
				&o->deliveries,
				delivery_new((struct delivery){ .bytes = g_bytes_ref(c->bytes) }));
		delayed_copy_free(c);
	}
	if (c)
		pw_loop_timer_set(o->loop, t, c->due_us);
	start_sending(o);
}

static const struct pw_timer_ops copy_timer_ops = { .expire = copy_timer_expired };

void outbox_init(struct outbox *o, struct pw_loop *loop, struct pw_stream *stream,
		 struct faults *faults)
{
	*o = (struct outbox){
		.loop = loop,
		.stream = stream,
		.faults = faults,
		.packet_timer = { .ops = &packet_timer_ops },
		.copy_timer = { .ops = &copy_timer_ops },
	};
}

void outbox_dispose(struct outbox *o)
{
	g_queue_clear_full(&o->deliveries, delivery_free);
	g_queue_clear_full(&o->copies, delayed_copy_free);
	pw_loop_timer_clear(o->loop, &o->packet_timer);
	pw_loop_timer_clear(o->loop, &o->copy_timer);
}

void outbox_add(struct outbox *o, struct delivery d)
{
	struct delivery *copy = delivery_new(d);

	if (o->closing) {
		delivery_free(copy);
		return;
	}
	o->closing = d.closes;
	g_queue_push_tail(&o->deliveries, copy);
	start_sending(o);
}
