#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <unistd.h>

#include "cluster_private.h"
#include "pw/core/clock.h"
#include "pw/core/counter.h"
#include "pw/core/error.h"
#include "pw/core/event.h"

/* Maximum number of datagrams received before other sources get their turn. */
#define RECV_BATCH_MAX 64

/* Why a pulse is sent; each kind has a counter of its bytes. */
enum pulse_kind {
	PULSE_REGULAR,
	PULSE_REPLY,
	PULSE_NOTICE,
	PULSE_RECORD, /**< notice for a member that needs the record of primaries */
};

static const enum pw_counter pulse_bytes_counters[] = {
	[PULSE_REGULAR] = PW_COUNTER_PEER_BYTES_REGULAR,
	[PULSE_REPLY] = PW_COUNTER_PEER_BYTES_REPLY,
	[PULSE_NOTICE] = PW_COUNTER_PEER_BYTES_NOTICE,
	[PULSE_RECORD] = PW_COUNTER_PEER_BYTES_RECORD,
};

static void member_free(gpointer data)
{
	struct member *m = data;

	pw_pulse_dispose(&m->pulse);
	g_free(m->name);
	g_free(m);
}

struct member *pulse_get_member(struct cluster *c, const char *name)
{
	struct member *m = g_hash_table_lookup(c->members, name);

	if (!m) {
		m = g_new0(struct member, 1);
		m->name = g_strdup(name);
		m->name_hash = (uint32_t)pw_directory_name_hash(name);
		m->next_sequence = 1;
		m->known_since_us = cluster_now_us(c);
		g_hash_table_insert(c->members, m->name, m);
	}
	return m;
}

uint64_t pulse_member_interval_us(const struct cluster *c)
{
	uint32_t member_count = g_hash_table_size(c->members);

	if (member_count <= PULSE_FULL_MESH_MAX)
		return PULSE_INTERVAL_US;
	return (member_count + PULSE_FANOUT - 1) / PULSE_FANOUT * PULSE_INTERVAL_US;
}

bool pulse_is_member_live(const struct cluster *c, const struct member *m)
{
	return m->last_heard_us && !m->leaving &&
	       cluster_now_us(c) - m->last_heard_us <
		       PULSE_LIVE_INTERVAL_COUNT * pulse_member_interval_us(c);
}

static void add_groups(const struct cluster *c, struct pw_pulse *p)
{
	uint64_t now_us = cluster_now_us(c);

	if (!c->primaries)
		return;
	for (guint i = 0; i < c->primaries->entries->len; i++) {
		const struct pw_primary *primary = g_ptr_array_index(c->primaries->entries, i);
		uint64_t since_us;
		bool is_reachable = cluster_reaches_primary(c, primary, &since_us);
		uint64_t unreachable_us = since_us ? now_us - MIN(since_us, now_us) : 0;

		pw_pulse_add_group(p, primary->group, primary->generation,
				   (uint32_t)(unreachable_us / PW_US_PER_MS), is_reachable);
	}
}

static void add_accounts(const struct cluster *c, struct pw_pulse *p)
{
	GHashTableIter it;
	gpointer name, demand;

	g_hash_table_iter_init(&it, c->demands);
	while (g_hash_table_iter_next(&it, &name, &demand)) {
		const struct account_demand *d = demand;
		double demand_per_s = pw_demand_per_s_at(&d->own, cluster_now_us(c));

		/* In a small fleet a datagram has room for all accounts. */
		if (pw_demand_should_report(demand_per_s,
					    cluster_is_large_fleet(c) ? d->rate_per_s : 0,
					    g_hash_table_size(c->members) + 1))
			pw_pulse_add_account(
				p, name, (float)demand_per_s,
				(float)pw_demand_per_s_at(&d->own_urgent, cluster_now_us(c)));
	}
}

/* Returns the time since `at_us` in ms, at most UINT32_MAX. */
static uint32_t age_ms(const struct cluster *c, uint64_t at_us)
{
	uint64_t now_us = cluster_now_us(c);

	return (uint32_t)MIN((now_us - MIN(at_us, now_us)) / PW_US_PER_MS, UINT32_MAX);
}

static void add_freshness(const struct cluster *c, struct pw_pulse *p)
{
	p->catalog_version = c->freshness.catalog_version;
	p->catalog_age_ms = age_ms(c, c->freshness.catalog_fresh_us);
	p->evacuations_digest = c->freshness.evacuations_digest;
	p->servers_digest = c->freshness.servers_digest;
	p->servers_age_ms = age_ms(c, c->freshness.servers_fresh_us);
}

/*
 * Tells the catalogue task which catalogue and servers the sender has, and when they were last
 * known to be the newest.
 */
static void handle_remote_freshness(struct cluster *c, const struct pw_pulse *p)
{
	uint64_t now_us = cluster_now_us(c);
	const struct pw_catalog_freshness remote = {
		.catalog_version = p->catalog_version,
		.catalog_fresh_us = now_us - MIN(p->catalog_age_ms * PW_US_PER_MS, now_us),
		.evacuations_digest = p->evacuations_digest,
		.servers_digest = p->servers_digest,
		.servers_fresh_us = now_us - MIN(p->servers_age_ms * PW_US_PER_MS, now_us),
	};
	const struct pw_catalog_freshness *own = &c->freshness;
	struct pw_catalog_freshness *heard = &c->heard_freshness;
	struct pw_catalog_freshness_msg *m;

	heard->catalog_version = MAX(heard->catalog_version, remote.catalog_version);
	if (remote.catalog_version == heard->catalog_version)
		heard->catalog_fresh_us = MAX(heard->catalog_fresh_us, remote.catalog_fresh_us);
	heard->servers_fresh_us = MAX(heard->servers_fresh_us, remote.servers_fresh_us);
	/* Reads that are hardly newer are not worth a message. */
	if (remote.catalog_version <= own->catalog_version &&
	    remote.evacuations_digest == own->evacuations_digest &&
	    remote.catalog_fresh_us < own->catalog_fresh_us + PULSE_INTERVAL_US &&
	    remote.servers_fresh_us < own->servers_fresh_us + PULSE_INTERVAL_US)
		return;
	m = (struct pw_catalog_freshness_msg *)pw_catalog_freshness_msg_new(&remote, false);
	m->vm_count = g_hash_table_size(c->members) + 1;
	pw_mailbox_send(c->directory->catalog, &m->base);
}

/*
 * Delegates the rest of this VM's own permit to a member that cannot renew its own. The permit
 * comes from the store or from the promises of all others. Returns the remaining time in ms, or 0
 * if nothing is delegated.
 */
static uint32_t delegate_permit(struct cluster *c, struct member *m)
{
	uint64_t now_us = cluster_now_us(c), promised_us = cluster_promised_permit_until_us(c);
	uint64_t until_us = MAX(c->permit_until_us, promised_us);

	/*
	 * A member that is not live or has not settled the current record gets none: this VM could
	 * not confirm a mark until the delegated permit expires.
	 */
	if (c->leaving || !m->needs_permit || !pw_permit_is_valid(until_us, now_us) ||
	    !c->primaries || !pulse_is_member_live(c, m) ||
	    m->settled_revision < c->primaries->revision ||
	    cluster_settled_revision(c) < c->primaries->revision)
		return 0;
	m->delegated_until_us = MAX(m->delegated_until_us, until_us);
	/*
	 * The promises that this VM has collected bind all other VMs, but not this one. The
	 * receiver depends on it as well, so this VM makes the promise, too.
	 */
	if (until_us == promised_us)
		c->own_promise_until_us = MAX(c->own_promise_until_us, until_us);
	return (uint32_t)((until_us - now_us) / PW_US_PER_MS);
}

/*
 * Promises a member that cannot renew its permit to claim no change of primary, if this VM cannot
 * renew its permit either, leads no change, and knows no newer record than the member has
 * settled. Without a record it promises nothing, since an earlier process of this VM may have had a
 * server promoted. Returns the duration in ms, or 0 if nothing is promised.
 */
static uint32_t grant_promise(struct cluster *c, const struct member *m)
{
	if (!m->needs_permit || c->renewal_ok || !pulse_is_member_live(c, m) || !c->primaries ||
	    g_hash_table_size(c->changes) || m->settled_revision < c->primaries->revision)
		return 0;
	c->own_promise_until_us = cluster_now_us(c) + PW_PROMISE_DURATION_US;
	return PW_PROMISE_DURATION_US / PW_US_PER_MS;
}

/* Whether a member cannot read the record of primaries at the store and knows an older one. */
static bool needs_record(const struct cluster *c, const struct member *m)
{
	return m->needs_permit && c->primaries && era_is_record_current(c) &&
	       m->primaries_revision && m->primaries_revision < c->primaries->revision;
}

/*
 * Whether a member needs the record, and has not been sent one too recently. While several groups
 * change, the record does so every few milliseconds.
 */
static bool may_send_record(const struct cluster *c, const struct member *m)
{
	uint64_t elapsed_us = cluster_now_us(c) - m->record_sent_us;

	return needs_record(c, m) &&
	       elapsed_us >= (m->sent_revision == c->primaries->revision ? RECORD_RESEND_INTERVAL_US
									 : RECORD_MIN_INTERVAL_US);
}

/*
 * Sends a pulse, with a permit or the record of primaries if the member needs them. In a large
 * fleet only replies delegate a permit, since each VM that has done so can confirm a mark only
 * after the member. Only replies, and pulses to members that this VM helps, contain a record: what
 * this VM knows of the others is old, and a record from each VM to each member that needs one fills
 * the links.
 */
static void send_pulse(struct cluster *c, struct member *m, struct pw_pulse *p,
		       enum pulse_kind kind)
{
	enum pw_counter bytes_counter = pulse_bytes_counters[kind];
	uint8_t data[PW_PULSE_RECORD_MAX_BYTES];
	size_t size_bytes;

	if (!m->has_address)
		return;
	p->sequence = m->next_sequence++;
	p->echo_incarnation = m->incarnation;
	p->echo_sequence = m->last_heard_sequence;
	p->echo_heard_us = m->last_heard_us;
	p->delegated_permit_ms =
		kind == PULSE_REPLY || !cluster_is_large_fleet(c) ? delegate_permit(c, m) : 0;
	p->no_change_promise_ms = grant_promise(c, m);
	m->sent_us[p->sequence % PULSE_SENT_TIME_COUNT] = cluster_now_us(c);
	if (may_send_record(c, m) &&
	    (kind == PULSE_REPLY || kind == PULSE_RECORD || !cluster_is_large_fleet(c))) {
		p->primaries_record = pw_primaries_encode(c->primaries);
		bytes_counter = PW_COUNTER_PEER_BYTES_RECORD;
		m->sent_revision = c->primaries->revision;
		m->record_sent_us = cluster_now_us(c);
	}
	size_bytes = pw_pulse_encode(data, p);
	g_clear_pointer(&p->primaries_record, g_free);
	if (!size_bytes)
		size_bytes = pw_pulse_encode(data, p);
	if (!size_bytes)
		return;
	/* Errors are only counted: datagrams can get lost anyway, and the next one follows soon. */
	if (sendto(c->socket_source.fd, data, size_bytes, MSG_DONTWAIT,
		   (struct sockaddr *)&m->address.socket, m->address.size_bytes) < 0) {
		pw_counter_inc(PW_COUNTER_PEER_MESSAGES_DROPPED);
		return;
	}
	pw_counter_inc(PW_COUNTER_PEER_MESSAGES_SENT);
	pw_counter_add(PW_COUNTER_PEER_BYTES_SENT, size_bytes);
	pw_counter_add(bytes_counter, size_bytes);
}

/* Builds a notice without the fields that differ between receivers, which send_pulse() sets. */
static void build_notice(struct cluster *c, struct pw_pulse *p)
{
	const struct pw_process_settings *s = c->directory->settings;

	pw_pulse_init(p);
	p->sender = g_strdup(s->vm_name);
	p->address = g_strdup(s->peer_address);
	p->incarnation = c->incarnation;
	p->primaries_revision = c->primaries ? c->primaries->revision : 0;
	p->settled_revision = cluster_settled_revision(c);
	p->confirmed_revision = cluster_confirmed_revision(c);
	p->needs_permit = !c->renewal_ok;
	p->leaving = c->leaving;
	p->notice = true;
	add_freshness(c, p);
}

/* Builds a regular pulse, likewise. */
static void build_pulse(struct cluster *c, struct pw_pulse *p)
{
	build_notice(c, p);
	p->notice = false;
	add_groups(c, p);
	position_add_to_pulse(c, p);
	add_accounts(c, p);
}

static void send_to_all(struct cluster *c, struct pw_pulse *p, enum pulse_kind kind)
{
	GHashTableIter it;
	gpointer item;

	pw_counter_inc(PW_COUNTER_PEER_BROADCASTS);
	c->announced_confirmed_revision = p->confirmed_revision;
	g_hash_table_iter_init(&it, c->members);
	while (g_hash_table_iter_next(&it, NULL, &item))
		send_pulse(c, item, p, kind);
}

void pulse_broadcast(struct cluster *c)
{
	bool is_large = cluster_is_large_fleet(c);
	struct pw_pulse p;

	if (is_large) {
		build_notice(c, &p);
	} else {
		build_pulse(c, &p);
		pw_loop_timer_set(c->task.loop, &c->pulse_timer,
				  cluster_now_us(c) + PULSE_INTERVAL_US);
	}
	send_to_all(c, &p, is_large ? PULSE_NOTICE : PULSE_REGULAR);
	pw_pulse_dispose(&p);
}

static gint compare_member_names(gconstpointer a, gconstpointer b)
{
	return strcmp(((const struct member *)a)->name, ((const struct member *)b)->name);
}

/* Whether this VM is among the first PROMISE_COLLECTOR_COUNT live members by name. */
static bool is_collector(const struct cluster *c, const GList *members)
{
	const char *own_name = c->directory->settings->vm_name;
	uint32_t preceding_count = 0;

	for (const GList *l = members; l; l = l->next) {
		const struct member *m = l->data;

		preceding_count += strcmp(m->name, own_name) < 0 && pulse_is_member_live(c, m);
	}
	return preceding_count < PROMISE_COLLECTOR_COUNT;
}

/* Returns the member that delegated a permit to this VM last, or NULL if it does not go on. */
static struct member *find_helper(const struct cluster *c, const GList *members)
{
	struct member *helper = NULL;

	for (const GList *l = members; l; l = l->next) {
		struct member *m = l->data;

		if (m->helped_us && (!helper || m->helped_us > helper->helped_us))
			helper = m;
	}
	return helper && pw_permit_is_valid(helper->helped_until_us,
					    cluster_now_us(c) + HELPER_PERMIT_MIN_US)
		       ? helper
		       : NULL;
}

/*
 * Asks members for a delegated permit or for promises while this VM does not reach the store. In a
 * large fleet not every VM can ask every other one several times a second. So each asks the member
 * that helps it. Without one, PROMISE_COLLECTOR_COUNT VMs ask all members, to collect their
 * promises; the others ask these VMs, which delegate to them the permit that results from the
 * promises, and those whose turn it is, which may reach the store. `wants_reply` stays set for
 * these.
 *
 * @param members all members, sorted by name
 */
static void request_permit(struct cluster *c, const GList *members, struct pw_pulse *p)
{
	struct member *helper = find_helper(c, members);
	bool ask_all = is_collector(c, members);
	uint32_t asked_count = 0;

	p->wants_reply = true;
	/* Two collectors that help each other by promises would both stop to collect them. */
	if (helper && !(ask_all && helper->needs_permit)) {
		send_pulse(c, helper, p, PULSE_REGULAR);
		p->wants_reply = false;
		return;
	}
	for (const GList *l = members; l && (ask_all || asked_count < PROMISE_COLLECTOR_COUNT);
	     l = l->next) {
		struct member *m = l->data;

		if (!ask_all && !pulse_is_member_live(c, m))
			continue;
		send_pulse(c, m, p, PULSE_REGULAR);
		asked_count++;
	}
}

/* Sends a pulse to the next PULSE_FANOUT members, and to those that are asked for a permit. */
static void send_round_robin(struct cluster *c)
{
	GList *members = g_list_sort(g_hash_table_get_values(c->members), compare_member_names);
	guint count = g_list_length(members);
	struct pw_pulse p;

	build_pulse(c, &p);
	if (!c->renewal_ok)
		request_permit(c, members, &p);
	for (guint i = 0; i < PULSE_FANOUT; i++)
		send_pulse(c, g_list_nth_data(members, (c->next_pulse_member + i) % count), &p,
			   PULSE_REGULAR);
	c->next_pulse_member = (c->next_pulse_member + PULSE_FANOUT) % count;
	pw_pulse_dispose(&p);
	g_list_free(members);
	pw_loop_timer_set(c->task.loop, &c->pulse_timer, cluster_now_us(c) + PULSE_INTERVAL_US);
}

/* Records whether the primary of a group is lost. Returns whether that differs from before. */
static bool update_announced_loss(struct cluster *c, const char *group, bool is_lost)
{
	if (is_lost)
		return g_hash_table_add(c->announced_losses, g_strdup(group));
	return g_hash_table_remove(c->announced_losses, group);
}

/* Announces the vote about the primary of a group if it has changed. */
static void announce_vote(struct cluster *c, const struct pw_primary *primary)
{
	uint64_t since_us;
	bool is_reachable = cluster_reaches_primary(c, primary, &since_us);
	struct member *first[VOTE_RECEIVER_COUNT];
	uint32_t count;
	struct pw_pulse p;

	if (!update_announced_loss(c, primary->group, since_us != 0))
		return;
	build_notice(c, &p);
	pw_pulse_add_group(&p, primary->group, primary->generation,
			   since_us ? MAX(age_ms(c, since_us), 1) : 0, is_reachable);
	count = change_find_first_members(c, primary, first, VOTE_RECEIVER_COUNT);
	for (uint32_t i = 0; i < count; i++)
		send_pulse(c, first[i], &p, PULSE_NOTICE);
	pw_pulse_dispose(&p);
}

void pulse_announce_votes(struct cluster *c)
{
	if (!cluster_is_large_fleet(c) || !c->primaries)
		return;
	for (guint i = 0; i < c->primaries->entries->len; i++)
		announce_vote(c, g_ptr_array_index(c->primaries->entries, i));
}

/* Sends a notice to the VM that leads the change of a group. Returns false if it is not known. */
static bool send_to_leader(struct cluster *c, const struct pw_primary *primary, struct pw_pulse *p)
{
	struct member *m =
		primary->mark_vm ? g_hash_table_lookup(c->members, primary->mark_vm) : NULL;

	if (m)
		send_pulse(c, m, p, PULSE_NOTICE);
	return m || g_strcmp0(primary->mark_vm, c->directory->settings->vm_name) == 0;
}

/*
 * Tells the members that have delegated a permit to this VM that it has settled the record: they
 * confirm it, and delegate again, only after that.
 */
static void tell_helpers(struct cluster *c, struct pw_pulse *p)
{
	GHashTableIter it;
	gpointer item;

	p->wants_reply = true;
	g_hash_table_iter_init(&it, c->members);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		if (pw_permit_is_valid(((struct member *)item)->helped_until_us, cluster_now_us(c)))
			send_pulse(c, item, p, PULSE_NOTICE);
	}
	p->wants_reply = false;
}

void pulse_announce_confirmation(struct cluster *c)
{
	struct pw_pulse p;
	bool all_known = cluster_is_large_fleet(c) && c->primaries;

	if (!cluster_is_large_fleet(c)) {
		pulse_broadcast(c);
		return;
	}
	build_notice(c, &p);
	if (!c->renewal_ok)
		tell_helpers(c, &p);
	for (guint i = 0; all_known && i < c->primaries->entries->len; i++) {
		const struct pw_primary *primary = g_ptr_array_index(c->primaries->entries, i);

		all_known = !primary->changing || send_to_leader(c, primary, &p);
	}
	if (all_known)
		c->announced_confirmed_revision = p.confirmed_revision;
	else
		send_to_all(c, &p, PULSE_NOTICE);
	pw_pulse_dispose(&p);
}

void pulse_send_record(struct cluster *c)
{
	struct pw_pulse p;
	GHashTableIter it;
	gpointer item;

	build_notice(c, &p);
	g_hash_table_iter_init(&it, c->members);
	while (g_hash_table_iter_next(&it, NULL, &item)) {
		const struct member *m = item;

		if (may_send_record(c, m) &&
		    (!cluster_is_large_fleet(c) ||
		     pw_permit_is_valid(m->delegated_until_us, cluster_now_us(c))))
			send_pulse(c, item, &p, PULSE_RECORD);
	}
	pw_pulse_dispose(&p);
}

void pulse_ask_settled(struct cluster *c, struct member *m)
{
	struct pw_pulse p;

	if (!cluster_is_large_fleet(c))
		return;
	build_notice(c, &p);
	p.wants_reply = true;
	send_pulse(c, m, &p, PULSE_NOTICE);
	pw_pulse_dispose(&p);
}

/* Adds the accounts whose demand has to be announced. */
static void add_announced_accounts(struct cluster *c, struct pw_pulse *p)
{
	uint64_t now_us = cluster_now_us(c);
	GHashTableIter it;
	gpointer name, item;

	g_hash_table_iter_init(&it, c->demands);
	while (g_hash_table_iter_next(&it, &name, &item)) {
		struct account_demand *d = item;
		const struct pw_demand_view view = {
			.own_per_s = pw_demand_per_s_at(&d->own, now_us),
			.announced_per_s = d->announced_per_s,
			.others_per_s = d->others_per_s,
			.rate_per_s = d->rate_per_s,
		};

		/* Regular pulses tell of a decrease. */
		d->announced_per_s = MIN(d->announced_per_s, view.own_per_s);
		if (!pw_demand_should_announce(&view))
			continue;
		d->announced_per_s = view.own_per_s;
		pw_pulse_add_account(p, name, (float)view.own_per_s,
				     (float)pw_demand_per_s_at(&d->own_urgent, now_us));
	}
}

void pulse_announce_demand(struct cluster *c)
{
	struct pw_pulse p;

	/* In a small fleet, the next regular pulse to all members follows soon. */
	if (!cluster_is_large_fleet(c) ||
	    cluster_now_us(c) - c->demand_announced_us < DEMAND_ANNOUNCE_MIN_INTERVAL_US)
		return;
	build_notice(c, &p);
	add_announced_accounts(c, &p);
	if (p.accounts->len) {
		c->demand_announced_us = cluster_now_us(c);
		send_to_all(c, &p, PULSE_NOTICE);
	}
	pw_pulse_dispose(&p);
}

bool pulse_has_known_echo(const struct cluster *c, const struct member *m, const struct pw_pulse *p)
{
	return p->echo_incarnation == c->incarnation && p->echo_sequence < m->next_sequence &&
	       p->echo_sequence + PULSE_SENT_TIME_COUNT >= m->next_sequence;
}

/*
 * Applies the record of primaries that a pulse contains if this VM cannot read it at the store. It
 * has to be of the same era, since revisions of two eras cannot be compared.
 */
static void handle_record(struct cluster *c, const struct pw_pulse *p)
{
	struct pw_primaries *record;

	if (!p->primaries_record || c->renewal_ok || !c->primaries ||
	    p->primaries_revision <= c->primaries->revision)
		return;
	if (pw_primaries_decode(&record, p->primaries_record, strlen(p->primaries_record),
				p->primaries_revision)) {
		pw_event_log(PW_EVENT_RECORD_MALFORMED, "peer=%s revision=%" PRId64, p->sender,
			     p->primaries_revision);
		return;
	}
	if (record->era == c->primaries->era && era_is_record_current(c))
		cluster_apply_primaries(c, record);
	else
		pw_primaries_unref(record);
}

/*
 * Handles a permit that the sender has delegated. Its remaining time is counted from when this VM
 * sent the pulse that is echoed. The sender replied after that, so the delegated permit ends no
 * later than the sender's own.
 */
static void handle_delegated_permit(struct cluster *c, struct member *m, const struct pw_pulse *p)
{
	uint64_t until_us;

	if (!p->delegated_permit_ms || !c->primaries || !pulse_has_known_echo(c, m, p) ||
	    p->primaries_revision != c->primaries->revision)
		return;
	until_us = m->sent_us[p->echo_sequence % PULSE_SENT_TIME_COUNT] +
		   p->delegated_permit_ms * PW_US_PER_MS;
	m->helped_us = cluster_now_us(c);
	m->helped_until_us = MAX(m->helped_until_us, until_us);
	if (until_us > c->delegated_permit_until_us) {
		c->delegated_permit_until_us = until_us;
		cluster_publish_primaries(c);
	}
}

/*
 * Handles a promise to claim no change of primary. Its duration is counted like the remaining time
 * in handle_delegated_permit(). The promise of a sender with a newer record does not cover the
 * older record that this VM has.
 */
static void handle_promise(struct cluster *c, struct member *m, const struct pw_pulse *p)
{
	uint64_t before_us = cluster_promised_permit_until_us(c);

	if (!p->no_change_promise_ms || !c->primaries || !pulse_has_known_echo(c, m, p) ||
	    p->primaries_revision > c->primaries->revision)
		return;
	m->promised_until_us =
		MAX(m->promised_until_us, m->sent_us[p->echo_sequence % PULSE_SENT_TIME_COUNT] +
						  p->no_change_promise_ms * PW_US_PER_MS);
	if (cluster_promised_permit_until_us(c) > before_us)
		cluster_publish_primaries(c);
}

/* Whether the sender cannot reach the primary of some group. */
static bool has_lost_primary(const struct pw_pulse *p)
{
	for (guint i = 0; i < p->groups->len; i++) {
		if (g_array_index(p->groups, struct pw_pulse_group, i).unreachable_ms)
			return true;
	}
	return false;
}

/* Adds the groups and accounts of a notice to what is known of a member. */
static void apply_notice(struct member *m, const struct pw_pulse *p)
{
	if (!m->pulse.accounts)
		pw_pulse_init(&m->pulse);
	for (guint i = 0; i < p->groups->len; i++)
		pw_pulse_set_vote(&m->pulse, &g_array_index(p->groups, struct pw_pulse_group, i));
	for (guint i = 0; i < p->accounts->len; i++) {
		const struct pw_pulse_account *a =
			&g_array_index(p->accounts, struct pw_pulse_account, i);

		pw_pulse_set_account(&m->pulse, a->name, a->demand_per_s, a->urgent_demand_per_s);
	}
}

/*
 * Replies at once to a member whose permit could expire before its turn in the round-robin. It asks
 * several times a second, so a reply in a large fleet contains what it asks for only.
 */
static void reply_to_member(struct cluster *c, struct member *m)
{
	struct pw_pulse p;

	if (cluster_is_large_fleet(c))
		build_notice(c, &p);
	else
		build_pulse(c, &p);
	send_pulse(c, m, &p, PULSE_REPLY);
	pw_pulse_dispose(&p);
}

static void handle_pulse(struct cluster *c, struct pw_pulse *p)
{
	struct member *m;
	bool is_new, has_settled, wants_reply = p->wants_reply;

	if (strcmp(p->sender, c->directory->settings->vm_name) == 0)
		return;
	m = pulse_get_member(c, p->sender);
	is_new = m->incarnation != p->incarnation;
	if (is_new) {
		/*
		 * Late datagrams of an earlier process could reset the member as well, but they
		 * stop arriving after a moment.
		 */
		m->incarnation = p->incarnation;
		m->last_heard_sequence = 0;
		m->primaries_revision = 0;
		m->settled_revision = 0;
		m->confirmed_revision = 0;
		m->promised_until_us = 0;
		m->has_address = pw_address_parse(&m->address, p->address) == PW_OK;
		pw_event_log(PW_EVENT_MEMBER_JOINED, "peer=%s address=%s incarnation=%" PRIu64,
			     p->sender, p->address, p->incarnation);
	}
	if (p->sequence <= m->last_heard_sequence)
		return;
	m->last_heard_sequence = p->sequence;
	/*
	 * The loop's time may be from before the arrival, which would make positions in the reply
	 * seem newer than they are. So it is updated.
	 */
	m->last_heard_us = pw_loop_update_now_us(c->task.loop);
	m->leaving = p->leaving;
	m->needs_permit = p->needs_permit;
	m->primaries_revision = p->primaries_revision;
	has_settled = p->settled_revision > m->settled_revision;
	m->settled_revision = p->settled_revision;
	m->confirmed_revision = p->confirmed_revision;
	for (guint i = 0; i < p->groups->len; i++)
		g_array_index(p->groups, struct pw_pulse_group, i).heard_us = m->last_heard_us;
	handle_record(c, p);
	handle_delegated_permit(c, m, p);
	handle_promise(c, m, p);
	position_handle_pulse(c, m, p);
	handle_remote_freshness(c, p);
	if (c->primaries && p->primaries_revision > c->primaries->revision)
		member_refresh_primaries(c);
	if (p->notice) {
		apply_notice(m, p);
	} else {
		pw_pulse_dispose(&m->pulse);
		m->pulse = *p;
		pw_pulse_init(p);
	}
	m->has_lost_vote = has_lost_primary(&m->pulse);
	/*
	 * In a small fleet a pulse to all members lets the new one learn of this VM at once. In a
	 * large fleet the new member learns of this VM by a regular pulse, or by the reply if it
	 * wants one.
	 */
	if (is_new && !cluster_is_large_fleet(c))
		pulse_broadcast(c);
	else if (wants_reply || (!cluster_is_large_fleet(c) &&
				 ((has_settled && m->needs_permit) || needs_record(c, m))))
		reply_to_member(c, m);
}

static void socket_ready(struct pw_source *s, uint32_t events)
{
	struct cluster *c = (struct cluster *)((char *)s - offsetof(struct cluster, socket_source));
	uint8_t data[PW_PULSE_RECORD_MAX_BYTES];

	(void)events;
	for (int i = 0; i < RECV_BATCH_MAX; i++) {
		ssize_t n = recv(s->fd, data, sizeof(data), MSG_DONTWAIT);
		struct pw_pulse p;

		if (n < 0)
			return;
		if (pw_pulse_decode(&p, data, (size_t)n)) {
			pw_counter_inc(PW_COUNTER_PEER_MESSAGES_DROPPED);
			continue;
		}
		pw_counter_inc(PW_COUNTER_PEER_MESSAGES_RECEIVED);
		handle_pulse(c, &p);
		pw_pulse_dispose(&p);
	}
}

static const struct pw_source_ops socket_ops = { .ready = socket_ready };

static void pulse_timer_expired(struct pw_timer *t, uint64_t now_us)
{
	struct cluster *c = (struct cluster *)((char *)t - offsetof(struct cluster, pulse_timer));

	(void)now_us;
	if (cluster_is_large_fleet(c))
		send_round_robin(c);
	else
		pulse_broadcast(c);
}

static const struct pw_timer_ops pulse_timer_ops = { .expire = pulse_timer_expired };

int pulse_start(struct cluster *c)
{
	const char *address = c->directory->settings->peer_address;
	struct pw_address bind_address;
	int rc = pw_address_parse(&bind_address, address);

	c->members = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, member_free);
	c->pulse_timer.ops = &pulse_timer_ops;
	c->socket_source.ops = &socket_ops;
	c->socket_source.fd = -1;
	if (rc)
		return rc;
	c->socket_source.fd =
		socket(bind_address.socket.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (c->socket_source.fd < 0)
		return pw_error_set(PW_ESYSTEM, "cannot create the socket for heartbeats: %s",
				    strerror(errno));
	if (bind(c->socket_source.fd, (struct sockaddr *)&bind_address.socket,
		 bind_address.size_bytes) < 0)
		return pw_error_set(PW_ESYSTEM, "cannot bind the socket for heartbeats to %s: %s",
				    address, strerror(errno));
	pw_loop_timer_set(c->task.loop, &c->pulse_timer, cluster_now_us(c) + PULSE_INTERVAL_US);
	return pw_loop_watch(c->task.loop, &c->socket_source, EPOLLIN);
}

void pulse_stop(struct cluster *c)
{
	pw_loop_timer_clear(c->task.loop, &c->pulse_timer);
	if (c->socket_source.fd >= 0) {
		pw_loop_unwatch(c->task.loop, &c->socket_source);
		close(c->socket_source.fd);
	}
	g_hash_table_unref(c->members);
}
