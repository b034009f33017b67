#include "pw/decide/member.h"

#include <stdlib.h>
#include <string.h>

#include "pw/core/error.h"

/** Number of newest heartbeats with a known send time; echoes of older ones are ignored. */
#define SENT_TIMES_MAX 256

/** Minimum time between two reads of the table from the store. */
#define STORE_READ_INTERVAL_US UINT64_C(200000)

/** A proposal without a result is given up after this time (a store request times out at 1 s). */
#define PROPOSAL_TIMEOUT_US UINT64_C(1500000)

/**
 * Time between learning a table and adopting it. A heartbeat that is sent when the table is learned
 * is echoed within this time, while peers still attest the previous epoch. So the lease for that
 * epoch ends at most this time before the new epoch takes effect, and requests that wait 100 ms for
 * quota survive the change.
 */
#define ADOPT_DELAY_US UINT64_C(40000)

/**
 * With fewer members the next table may be proposed before the last one is in effect, so that a
 * fleet starts quickly.
 */
#define SERIAL_CHANGES_MIN_MEMBERS 3

/** Newest echo from a peer while it attested an epoch. */
struct epoch_echo {
	uint64_t epoch;
	uint64_t sent_us; /**< time at which this VM sent the echoed heartbeat */
};

struct peer {
	struct pw_member_entry entry; /**< newest incarnation seen */
	uint64_t heard_us;            /**< arrival of its last heartbeat; 0: never */
	uint64_t sequence;            /**< highest sequence number received */
	uint64_t attested_epoch;
	uint64_t released_epoch;
	uint64_t check_due_us;      /**< of the next check whether its process has ended */
	uint64_t refused_us;        /**< first refused connection since it was heard; 0: none */
	uint64_t ended_incarnation; /**< newest one whose process is known to have ended; 0: none */
	struct epoch_echo echoes[2]; /**< for the two newest epochs that it attested */
	GHashTable *silence_ms; /**< name -> silence of that member as the peer last reported it */
	bool suspect;
	bool leaving;
	bool ever_listed;         /**< is or was on the VM list */
	bool absent;              /**< the last VM list contained this VM, but not the peer */
	uint64_t absent_since_us; /**< when `absent` was set; unused while it is false */
};

struct pw_member {
	struct pw_member_options options;
	GHashTable *peers;                      /**< name -> struct peer */
	struct pw_member_table newest_table;    /**< newest table adopted; its epoch is attested */
	struct pw_member_table effective_table; /**< table of the epoch in effect */
	struct pw_member_table incoming_table; /**< newest table learned; adopted at adopt_due_us */
	struct pw_member_table proposal;       /**< last table proposed */
	uint64_t adopt_due_us;
	struct pw_heartbeat heartbeat;           /**< last one sent */
	struct pw_heartbeat old_epoch_heartbeat; /**< last one that attests the previous epoch */
	uint64_t sent_us[SENT_TIMES_MAX]; /**< heartbeat send times, by sequence % SENT_TIMES_MAX */
	uint64_t *vote_times_us; /**< scratch space: one per effective member, one for the store */
	uint64_t sequence;       /**< of the last heartbeat sent */
	uint64_t heartbeat_due_us;
	uint64_t newest_adopted_us;
	uint64_t settled_epoch;
	uint64_t newest_settled_us; /**< when `newest_table` was found to be settled; 0: not yet */
	uint64_t release_requested_epoch; /**< of the last PW_MEMBER_RELEASE_LEASE */
	uint64_t released_epoch;          /**< the lease for it is released */
	uint64_t peer_effective_epoch;    /**< newest epoch that is in effect at some peer */
	uint64_t store_read_sent_us; /**< send time of the newest read that returned store_epoch */
	uint64_t store_epoch;        /**< newest epoch that a read from the store has returned */
	uint64_t last_store_request_us; /**< last PW_MEMBER_READ_TABLE_FROM_STORE; 0: never */
	uint64_t last_peer_fetch_us;    /**< last PW_MEMBER_FETCH_TABLE_FROM_PEER; 0: never */
	uint64_t proposed_us;           /**< 0: no proposal in flight */
	bool has_table_answer; /**< the store or a peer has sent its table since the start */
	/** A swap had no clear result: the store must be read before the next proposal. */
	bool must_read_store;
	bool lease_reported; /**< the last action about the lease was PW_MEMBER_LEASE_GAINED */
	uint64_t reported_lease_epoch;
	bool leaving; /**< a planned stop has started */
	bool left;    /**< out of the table after `leaving` */
	uint64_t config_revision;
};

void pw_member_table_init(struct pw_member_table *t)
{
	*t = (struct pw_member_table){
		.members = g_array_new(FALSE, TRUE, sizeof(struct pw_member_entry)),
		.previous_members = g_array_new(FALSE, TRUE, sizeof(struct pw_member_entry)),
	};
}

void pw_member_table_dispose(struct pw_member_table *t)
{
	if (t->members)
		g_array_unref(t->members);
	if (t->previous_members)
		g_array_unref(t->previous_members);
	*t = (struct pw_member_table){ 0 };
}

static void copy_entries(GArray *to, const GArray *from)
{
	g_array_set_size(to, 0);
	if (from->len)
		g_array_append_vals(to, from->data, from->len);
}

void pw_member_table_copy(struct pw_member_table *to, const struct pw_member_table *from)
{
	to->epoch = from->epoch;
	to->mod_revision = from->mod_revision;
	copy_entries(to->members, from->members);
	copy_entries(to->previous_members, from->previous_members);
}

static const struct pw_member_entry *entry_at(const GArray *a, uint32_t i)
{
	return &g_array_index(a, struct pw_member_entry, i);
}

static const struct pw_member_entry *find_entry(const GArray *a, const char *name)
{
	for (uint32_t i = 0; i < a->len; i++)
		if (strcmp(entry_at(a, i)->name, name) == 0)
			return entry_at(a, i);
	return NULL;
}

const struct pw_member_entry *pw_member_table_find(const struct pw_member_table *t,
						   const char *name)
{
	return find_entry(t->members, name);
}

void pw_heartbeat_init(struct pw_heartbeat *h)
{
	*h = (struct pw_heartbeat){
		.echoes = g_array_new(FALSE, TRUE, sizeof(struct pw_heartbeat_echo)),
	};
}

void pw_heartbeat_dispose(struct pw_heartbeat *h)
{
	if (h->echoes)
		g_array_unref(h->echoes);
	*h = (struct pw_heartbeat){ 0 };
}

static void peer_free(gpointer data)
{
	struct peer *p = data;

	g_hash_table_unref(p->silence_ms);
	g_free(p);
}

int pw_member_new(struct pw_member **out, const struct pw_member_options *options)
{
	struct pw_member *m;

	if (options->version != PW_MEMBER_OPTIONS_VERSION)
		return pw_error_set(PW_EINVALID, "unknown version %u of the member options",
				    options->version);
	if (!options->self.name[0] || !options->self.incarnation)
		return pw_error_set(PW_EINVALID, "a member needs a name and an incarnation");
	m = g_new0(struct pw_member, 1);
	m->options = *options;
	m->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	pw_member_table_init(&m->newest_table);
	pw_member_table_init(&m->effective_table);
	pw_member_table_init(&m->incoming_table);
	pw_member_table_init(&m->proposal);
	pw_heartbeat_init(&m->heartbeat);
	pw_heartbeat_init(&m->old_epoch_heartbeat);
	*out = m;
	return PW_OK;
}

void pw_member_free(struct pw_member *m)
{
	if (!m)
		return;
	g_hash_table_unref(m->peers);
	pw_member_table_dispose(&m->newest_table);
	pw_member_table_dispose(&m->effective_table);
	pw_member_table_dispose(&m->incoming_table);
	pw_member_table_dispose(&m->proposal);
	pw_heartbeat_dispose(&m->heartbeat);
	pw_heartbeat_dispose(&m->old_epoch_heartbeat);
	g_free(m->vote_times_us);
	g_free(m);
}

static bool is_self(const struct pw_member *m, const char *name)
{
	return strcmp(m->options.self.name, name) == 0;
}

static bool is_member(const struct pw_member *m, const struct pw_member_table *t)
{
	const struct pw_member_entry *e = pw_member_table_find(t, m->options.self.name);

	return e && e->incarnation == m->options.self.incarnation;
}

static struct peer *find_peer(const struct pw_member *m, const char *name)
{
	return g_hash_table_lookup(m->peers, name);
}

/*
 * Finds or adds the peer of an entry. An entry of a newer incarnation replaces the older one, from
 * which everything heard is forgotten.
 */
static struct peer *add_or_update_peer(struct pw_member *m, const struct pw_member_entry *e)
{
	struct peer *p = find_peer(m, e->name);

	if (!p) {
		p = g_new0(struct peer, 1);
		p->entry = *e;
		p->silence_ms = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
		g_hash_table_insert(m->peers, p->entry.name, p);
	} else if (e->incarnation > p->entry.incarnation) {
		p->entry = *e;
		p->heard_us = 0;
		p->sequence = 0;
		p->attested_epoch = 0;
		p->released_epoch = 0;
		p->refused_us = 0;
		memset(p->echoes, 0, sizeof(p->echoes));
		g_hash_table_remove_all(p->silence_ms);
		p->suspect = false;
		p->leaving = false;
	}
	return p;
}

static struct pw_member_action *append_action(GArray *actions, enum pw_member_action_kind kind)
{
	struct pw_member_action a = { .kind = kind };

	g_array_append_val(actions, a);
	return &g_array_index(actions, struct pw_member_action, actions->len - 1);
}

static void append_peer_action(GArray *actions, enum pw_member_action_kind kind,
			       const struct pw_member_entry *e)
{
	append_action(actions, kind)->peer = *e;
}

/* Whether a VM is absent from the VM list for so long that the platform must have ended it. */
static bool is_absent_past_limit(const struct peer *p, uint64_t now_us)
{
	uint64_t limit_us =
		p->ever_listed ? PW_MEMBER_ABSENT_LIMIT_US : PW_MEMBER_NEVER_LISTED_LIMIT_US;

	return p->absent && now_us >= p->absent_since_us + limit_us;
}

/* Whether a peer was not heard within the limit. One that was never heard counts as silent. */
static bool is_silent_for(const struct peer *p, uint64_t now_us, uint64_t limit_us)
{
	return !p->heard_us || now_us >= p->heard_us + limit_us;
}

/* Whether `newer` is a later process at the same address, so that the process of `e` has ended. */
static bool is_replaced_by(const struct pw_member_entry *e, const struct pw_member_entry *newer)
{
	return newer->incarnation > e->incarnation && strcmp(newer->address, e->address) == 0;
}

/* Whether the process of an entry has ended, so that it can no longer hold a lease. */
static bool has_process_ended(const struct pw_member *m, const struct pw_member_entry *e)
{
	const struct pw_member_entry *current = find_entry(m->newest_table.members, e->name);
	const struct peer *p = find_peer(m, e->name);

	if (is_self(m, e->name))
		return is_replaced_by(e, &m->options.self);
	return (current && is_replaced_by(e, current)) ||
	       (p && (is_replaced_by(e, &p->entry) || p->ended_incarnation >= e->incarnation));
}

/* Whether a member of the previous epoch is known to attest the newest table. */
static bool attests_newest(const struct pw_member *m, const struct pw_member_entry *e)
{
	const struct peer *p = find_peer(m, e->name);

	if (is_self(m, e->name))
		return e->incarnation == m->options.self.incarnation;
	return p && p->entry.incarnation == e->incarnation &&
	       p->attested_epoch >= m->newest_table.epoch;
}

/* Whether a member of the previous epoch attests the newest table or has ended. */
static bool has_acknowledged(const struct pw_member *m, const struct pw_member_entry *e,
			     uint64_t now_us)
{
	const struct peer *p = find_peer(m, e->name);

	return attests_newest(m, e) || has_process_ended(m, e) ||
	       (p && !is_self(m, e->name) && is_absent_past_limit(p, now_us));
}

/* Whether a member of the previous epoch can no longer hold the lease for that epoch. */
static bool has_released(const struct pw_member *m, const struct pw_member_entry *e)
{
	const struct peer *p = find_peer(m, e->name);

	if (has_process_ended(m, e))
		return true;
	if (is_self(m, e->name))
		return e->incarnation == m->options.self.incarnation &&
		       m->released_epoch >= m->effective_table.epoch;
	return p && p->entry.incarnation == e->incarnation &&
	       p->released_epoch >= m->effective_table.epoch;
}

/* Whether the epoch in effect is the one before the newest. */
static bool is_previous_epoch_in_effect(const struct pw_member *m)
{
	return m->effective_table.epoch && m->effective_table.epoch + 1 == m->newest_table.epoch;
}

/*
 * Records when the newest table is found to be settled, by this VM's own count or by a peer's
 * heartbeat.
 */
static void update_settled(struct pw_member *m, uint64_t now_us)
{
	const GArray *previous = m->newest_table.previous_members;
	uint32_t acknowledged_count = 0;

	if (!m->newest_table.epoch || m->newest_settled_us)
		return;
	if (m->settled_epoch < m->newest_table.epoch) {
		for (uint32_t i = 0; i < previous->len; i++)
			acknowledged_count += has_acknowledged(m, entry_at(previous, i), now_us);
		if (previous->len && acknowledged_count < previous->len / 2 + 1)
			return;
		m->settled_epoch = m->newest_table.epoch;
	}
	m->newest_settled_us = now_us;
}

/* Time from which a member's vote for the epoch in effect is valid for the lease; 0 for none. */
static uint64_t vote_time_us(const struct pw_member *m, const struct pw_member_entry *e,
			     uint64_t now_us)
{
	const struct peer *p;

	/* This VM's own vote expires like an echo: 2 s after it adopted a later epoch. */
	if (is_self(m, e->name))
		return m->newest_table.epoch == m->effective_table.epoch ? now_us
									 : m->newest_adopted_us;
	p = find_peer(m, e->name);
	if (!p || p->entry.incarnation != e->incarnation)
		return 0;
	for (uint32_t k = 0; k < 2; k++)
		if (p->echoes[k].epoch == m->effective_table.epoch)
			return p->echoes[k].sent_us;
	return 0;
}

static int compare_times_descending(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? 1 : x > y ? -1 : 0;
}

bool pw_member_holds_lease(const struct pw_member *m, uint64_t now_us, uint64_t *until_us)
{
	const struct pw_member_table *t = &m->effective_table;
	uint32_t count = 0;
	uint64_t from_us, lease_until_us = 0;

	if (!t->epoch || !is_member(m, t))
		return false;
	if (m->release_requested_epoch >= t->epoch) {
		if (until_us)
			*until_us = 0;
		return false;
	}
	if (m->options.unsafe & PW_MEMBER_UNSAFE_NO_LEASE_CHECK) {
		if (until_us)
			*until_us = UINT64_MAX;
		return true;
	}
	for (uint32_t i = 0; i < t->members->len; i++)
		m->vote_times_us[count++] = vote_time_us(m, entry_at(t->members, i), now_us);
	if (t->members->len % 2 == 0)
		m->vote_times_us[count++] = m->store_epoch == t->epoch ? m->store_read_sent_us : 0;
	qsort(m->vote_times_us, count, sizeof(m->vote_times_us[0]), compare_times_descending);
	/* The latest time from which the votes of a majority are valid. */
	from_us = m->vote_times_us[t->members->len / 2];
	if (from_us)
		lease_until_us = from_us + PW_MEMBER_LEASE_DURATION_US;
	if (until_us)
		*until_us = lease_until_us;
	return now_us < lease_until_us;
}

static void fill_heartbeat(struct pw_member *m, struct pw_heartbeat *h, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	h->sender = m->options.self;
	h->sequence = ++m->sequence;
	m->sent_us[h->sequence % SENT_TIMES_MAX] = now_us;
	h->attested_epoch = m->newest_table.epoch;
	h->settled_epoch = m->settled_epoch;
	h->released_epoch = m->released_epoch;
	h->effective_epoch = m->effective_table.epoch;
	h->config_revision = m->config_revision;
	h->leaving = m->leaving;
	g_array_set_size(h->echoes, 0);
	g_hash_table_iter_init(&iter, m->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *p = value;
		struct pw_heartbeat_echo e = { .incarnation = p->entry.incarnation };

		if (!p->heard_us)
			continue;
		g_strlcpy(e.name, p->entry.name, sizeof(e.name));
		e.sequence = p->sequence;
		e.silence_ms = (uint32_t)MIN((now_us - p->heard_us) / 1000, UINT32_MAX);
		g_array_append_val(h->echoes, e);
	}
}

/*
 * Whether a peer gets heartbeats: it is a member or previous member of the newest table, is a
 * member of the epoch in effect, or was heard within 1 s.
 */
static bool is_heartbeat_target(const struct pw_member *m, const struct peer *p, uint64_t now_us)
{
	const char *name = p->entry.name;

	return find_entry(m->newest_table.members, name) ||
	       find_entry(m->newest_table.previous_members, name) ||
	       find_entry(m->effective_table.members, name) ||
	       !is_silent_for(p, now_us, PW_MEMBER_SUSPECT_AFTER_US);
}

static void send_heartbeats(struct pw_member *m, struct pw_heartbeat *h, uint64_t now_us,
			    GArray *actions)
{
	GHashTableIter iter;
	gpointer value;

	fill_heartbeat(m, h, now_us);
	g_hash_table_iter_init(&iter, m->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *p = value;
		struct pw_member_action *a;

		if (!is_heartbeat_target(m, p, now_us))
			continue;
		a = append_action(actions, PW_MEMBER_SEND_HEARTBEAT);
		a->peer = p->entry;
		a->heartbeat = h;
	}
}

static void report_lease_change(struct pw_member *m, uint64_t now_us, GArray *actions)
{
	bool held = pw_member_holds_lease(m, now_us, NULL);

	if (m->lease_reported && (!held || m->reported_lease_epoch != m->effective_table.epoch)) {
		append_action(actions, PW_MEMBER_LEASE_LOST)->epoch = m->reported_lease_epoch;
		m->lease_reported = false;
	}
	if (held && !m->lease_reported) {
		m->lease_reported = true;
		m->reported_lease_epoch = m->effective_table.epoch;
		append_action(actions, PW_MEMBER_LEASE_GAINED)->epoch = m->reported_lease_epoch;
	}
}

/*
 * Whether all other members of the epoch in effect will release their leases for it at the same
 * time as this VM: each attests the next epoch or has ended. One that leaves has to be the first,
 * since its process may end before it says that it has released the lease.
 */
static bool are_others_ready_to_release(const struct pw_member *m)
{
	const GArray *previous = m->newest_table.previous_members;

	for (uint32_t i = 0; i < previous->len; i++) {
		const struct pw_member_entry *e = entry_at(previous, i);
		bool stays = find_entry(m->newest_table.members, e->name) != NULL;

		if (!is_self(m, e->name) && !has_released(m, e) && !(stays && attests_newest(m, e)))
			return false;
	}
	return true;
}

/* Releases the lease for the epoch in effect if this VM leaves, or if all others will do so. */
static void maybe_release_lease(struct pw_member *m, GArray *actions)
{
	if (!is_previous_epoch_in_effect(m) || !is_member(m, &m->effective_table) ||
	    m->release_requested_epoch >= m->effective_table.epoch ||
	    (is_member(m, &m->newest_table) && !are_others_ready_to_release(m)))
		return;
	m->release_requested_epoch = m->effective_table.epoch;
	append_action(actions, PW_MEMBER_RELEASE_LEASE)->epoch = m->effective_table.epoch;
}

/* Whether no VM can hold the lease for an epoch before the newest. */
static bool are_earlier_epochs_over(const struct pw_member *m, uint64_t now_us)
{
	const GArray *previous = m->newest_table.previous_members;

	if (!previous->len || (m->options.unsafe & PW_MEMBER_UNSAFE_NO_EPOCH_WAIT) ||
	    now_us >= m->newest_settled_us + PW_MEMBER_LEASE_DURATION_US ||
	    m->peer_effective_epoch >= m->newest_table.epoch)
		return true;
	if (!is_previous_epoch_in_effect(m))
		return false;
	for (uint32_t i = 0; i < previous->len; i++)
		if (!has_released(m, entry_at(previous, i)))
			return false;
	return true;
}

/* Puts the newest table in effect when it may be, and reports a change of the lease. */
static void advance_effective_epoch(struct pw_member *m, uint64_t now_us, GArray *actions)
{
	struct pw_member_action *a;

	update_settled(m, now_us);
	maybe_release_lease(m, actions);
	if (m->newest_settled_us && m->effective_table.epoch < m->newest_table.epoch &&
	    are_earlier_epochs_over(m, now_us)) {
		pw_member_table_copy(&m->effective_table, &m->newest_table);
		m->vote_times_us =
			g_renew(uint64_t, m->vote_times_us, m->effective_table.members->len + 1);
		a = append_action(actions, PW_MEMBER_EPOCH_EFFECTIVE);
		a->epoch = m->effective_table.epoch;
		a->table = &m->effective_table;
	}
	if (m->leaving && !m->left && m->newest_table.epoch && !is_member(m, &m->newest_table) &&
	    m->released_epoch >= m->release_requested_epoch) {
		m->left = true;
		append_action(actions, PW_MEMBER_LEFT);
	}
	report_lease_change(m, now_us, actions);
}

/* Adopts a table with a later epoch, which the caller has checked. */
static void adopt_table(struct pw_member *m, const struct pw_member_table *t, uint64_t now_us,
			GArray *actions)
{
	/* The echo of this last heartbeat shortens the time without a lease during the change. */
	if (m->newest_table.epoch)
		send_heartbeats(m, &m->old_epoch_heartbeat, now_us, actions);
	for (uint32_t i = 0; i < t->members->len; i++) {
		const struct pw_member_entry *e = entry_at(t->members, i);
		const struct pw_member_entry *old = find_entry(m->newest_table.members, e->name);

		if (!is_self(m, e->name))
			add_or_update_peer(m, e);
		if (!old || old->incarnation != e->incarnation)
			append_peer_action(actions, PW_MEMBER_JOINED, e);
	}
	for (uint32_t i = 0; i < t->previous_members->len; i++) {
		const struct pw_member_entry *e = entry_at(t->previous_members, i);
		struct peer *p;

		if (is_self(m, e->name))
			continue;
		p = add_or_update_peer(m, e);
		if (e->ended)
			p->ended_incarnation = MAX(p->ended_incarnation, e->incarnation);
	}
	for (uint32_t i = 0; i < m->newest_table.members->len; i++)
		if (!find_entry(t->members, entry_at(m->newest_table.members, i)->name))
			append_peer_action(actions, PW_MEMBER_REMOVED,
					   entry_at(m->newest_table.members, i));
	pw_member_table_copy(&m->newest_table, t);
	m->newest_adopted_us = now_us;
	m->newest_settled_us = 0;
	update_settled(m, now_us);
	send_heartbeats(m, &m->heartbeat, now_us, actions);
	m->heartbeat_due_us = now_us + PW_MEMBER_HEARTBEAT_INTERVAL_US;
	advance_effective_epoch(m, now_us, actions);
}

/* Adopts the incoming table when its delay is over; else puts the newest in effect when due. */
static void apply_due_tables(struct pw_member *m, uint64_t now_us, GArray *actions)
{
	if (m->incoming_table.epoch > m->newest_table.epoch && now_us >= m->adopt_due_us)
		adopt_table(m, &m->incoming_table, now_us, actions);
	else
		advance_effective_epoch(m, now_us, actions);
}

/*
 * Schedules the adoption of a table if it is later than all known ones. With `push`, such a table
 * is also sent to the heartbeat targets.
 */
static void learn_table(struct pw_member *m, const struct pw_member_table *t, bool push,
			uint64_t now_us, GArray *actions)
{
	m->has_table_answer = true;
	if (t->epoch == m->newest_table.epoch && t->mod_revision > m->newest_table.mod_revision)
		m->newest_table.mod_revision = t->mod_revision;
	if (t->epoch > MAX(m->newest_table.epoch, m->incoming_table.epoch)) {
		uint32_t first = actions->len, end;

		if (m->incoming_table.epoch <= m->newest_table.epoch)
			m->adopt_due_us =
				now_us +
				(pw_member_holds_lease(m, now_us, NULL) ? ADOPT_DELAY_US : 0);
		pw_member_table_copy(&m->incoming_table, t);
		send_heartbeats(m, &m->heartbeat, now_us, actions);
		end = actions->len;
		for (uint32_t i = first; push && i < end; i++) {
			struct pw_member_action a =
				g_array_index(actions, struct pw_member_action, i);

			a.kind = PW_MEMBER_SEND_TABLE;
			a.heartbeat = NULL;
			a.table = &m->incoming_table;
			g_array_append_val(actions, a);
		}
	}
	apply_due_tables(m, now_us, actions);
}

static gint compare_entry_names(gconstpointer a, gconstpointer b)
{
	return strcmp(((const struct pw_member_entry *)a)->name,
		      ((const struct pw_member_entry *)b)->name);
}

static void insert_or_replace_entry(GArray *a, const struct pw_member_entry *e)
{
	for (uint32_t i = 0; i < a->len; i++)
		if (strcmp(entry_at(a, i)->name, e->name) == 0) {
			g_array_index(a, struct pw_member_entry, i) = *e;
			return;
		}
	g_array_append_val(a, *e);
	g_array_sort(a, compare_entry_names);
}

/*
 * Whether a majority of the members, this VM included, has not heard a member for `limit_us`. Only
 * members that this VM has heard within 1 s count, by the silence in their last heartbeat; a
 * heartbeat without an entry for the member comes from one that has never heard it, which counts as
 * silence.
 */
static bool is_silent_for_majority(const struct pw_member *m, const struct pw_member_entry *e,
				   uint64_t limit_us, uint64_t now_us)
{
	const GArray *members = m->newest_table.members;
	uint32_t silent_count = 1;

	for (uint32_t i = 0; i < members->len; i++) {
		const struct pw_member_entry *witness_entry = entry_at(members, i);
		const struct peer *witness = find_peer(m, witness_entry->name);
		gpointer silence_ms = NULL;

		if (is_self(m, witness_entry->name) || witness_entry == e || !witness ||
		    is_silent_for(witness, now_us, PW_MEMBER_SUSPECT_AFTER_US))
			continue;
		if (!g_hash_table_lookup_extended(witness->silence_ms, e->name, NULL,
						  &silence_ms) ||
		    GPOINTER_TO_UINT(silence_ms) >= limit_us / 1000)
			silent_count++;
	}
	return silent_count >= members->len / 2 + 1;
}

/*
 * Whether a member has to be removed: its process has ended, or this VM has not heard it for 3 s
 * and it has been missing from the VM list past the limit or a majority has not heard it either.
 */
static bool is_lost(const struct pw_member *m, const struct pw_member_entry *e, uint64_t now_us)
{
	const struct peer *p = find_peer(m, e->name);

	if (!p)
		return false;
	if (p->ended_incarnation >= e->incarnation &&
	    is_silent_for_majority(m, e, PW_MEMBER_CHECK_AFTER_US, now_us))
		return true;
	if (now_us < m->newest_adopted_us + PW_MEMBER_LOST_AFTER_US ||
	    !is_silent_for(p, now_us, PW_MEMBER_LOST_AFTER_US))
		return false;
	return is_absent_past_limit(p, now_us) ||
	       is_silent_for_majority(m, e, PW_MEMBER_LOST_AFTER_US, now_us);
}

/* Whether this VM is the first live member in order of names, which removes lost members. */
static bool is_removal_coordinator(const struct pw_member *m, uint64_t now_us)
{
	const GArray *members = m->newest_table.members;

	for (uint32_t i = 0; i < members->len; i++) {
		const struct pw_member_entry *e = entry_at(members, i);

		if (is_self(m, e->name))
			return true;
		if (pw_member_is_live(m, e->name, now_us))
			return false;
	}
	return false;
}

static bool may_change_table(const struct pw_member *m, uint64_t now_us)
{
	bool is_effective = m->effective_table.epoch == m->newest_table.epoch;

	if (!m->newest_table.epoch)
		return true;
	if (m->settled_epoch < m->newest_table.epoch)
		return false;
	/* Waiting until the last change is in effect keeps the time without a lease short. */
	if (is_effective)
		return true;
	/*
	 * A VM that was removed while it was paused must wait for the epoch without it to take
	 * effect: it holds no lease, and if it joined earlier, the others would lose theirs for
	 * 2 s.
	 */
	if (m->effective_table.epoch && !is_member(m, &m->newest_table))
		return false;
	if (m->newest_table.members->len < SERIAL_CHANGES_MIN_MEMBERS)
		return true;
	/* A member that has lost the lease need not wait: there is no lease to keep. */
	return is_member(m, &m->effective_table) && !pw_member_holds_lease(m, now_us, NULL);
}

/* Removes this VM from the proposed members. Returns whether it was among them. */
static bool remove_self(struct pw_member *m, GArray *members)
{
	for (uint32_t i = 0; i < members->len; i++) {
		if (!is_self(m, entry_at(members, i)->name))
			continue;
		g_array_remove_index(members, i);
		return true;
	}
	return false;
}

/* Adds this VM to the proposed members; it replaces an older incarnation of the same name. */
static void add_self(struct pw_member *m, GArray *members, uint64_t epoch)
{
	struct pw_member_entry self = m->options.self;

	self.since_epoch = epoch;
	insert_or_replace_entry(members, &self);
}

/*
 * Whether a member should be removed. A VM that is not a member yet cannot tell for how long others
 * have been silent, so it removes only those that have been missing from the VM list past the limit
 * and that it has not heard for 3 s. This is how a fleet that was replaced as a whole starts again.
 */
static bool should_remove(const struct pw_member *m, const struct pw_member_entry *e,
			  bool self_is_member, uint64_t now_us)
{
	const struct peer *p = find_peer(m, e->name);

	if (self_is_member)
		return is_lost(m, e, now_us);
	return p && is_absent_past_limit(p, now_us) &&
	       is_silent_for(p, now_us, PW_MEMBER_LOST_AFTER_US);
}

/* Removes lost members from the proposed ones. Returns whether there were any. */
static bool remove_lost_members(struct pw_member *m, GArray *members, bool self_is_member,
				uint64_t now_us)
{
	bool changed = false;

	for (uint32_t i = members->len; i-- > 0;) {
		const struct pw_member_entry *current =
			find_entry(m->newest_table.members, entry_at(members, i)->name);

		if (!current || is_self(m, current->name) ||
		    !should_remove(m, current, self_is_member, now_us))
			continue;
		g_array_remove_index(members, i);
		changed = true;
	}
	return changed;
}

/* Whether a newer process has this VM's name, so that this process never joins again. */
static bool is_superseded(const struct pw_member *m)
{
	const struct pw_member_entry *current =
		pw_member_table_find(&m->newest_table, m->options.self.name);

	return current && current->incarnation > m->options.self.incarnation;
}

static bool may_propose(const struct pw_member *m, uint64_t now_us)
{
	if (!m->has_table_answer || m->must_read_store || m->left ||
	    m->incoming_table.epoch > m->newest_table.epoch)
		return false;
	if (m->proposed_us && now_us < m->proposed_us + PROPOSAL_TIMEOUT_US)
		return false;
	return may_change_table(m, now_us);
}

/* Proposes a table if one may be proposed and a member joins, leaves or is removed. */
static void maybe_propose_change(struct pw_member *m, uint64_t now_us, GArray *actions)
{
	struct pw_member_table *p = &m->proposal;
	bool self_is_member = is_member(m, &m->newest_table);
	bool changed = false;
	struct pw_member_action *a;

	if (!may_propose(m, now_us))
		return;
	p->epoch = m->newest_table.epoch + 1;
	p->mod_revision = m->newest_table.mod_revision;
	copy_entries(p->members, m->newest_table.members);
	copy_entries(p->previous_members, m->newest_table.members);
	for (uint32_t i = 0; i < p->previous_members->len; i++) {
		struct pw_member_entry *e =
			&g_array_index(p->previous_members, struct pw_member_entry, i);

		e->ended = has_process_ended(m, e);
	}
	if (m->leaving) {
		changed = remove_self(m, p->members);
	} else if (!self_is_member) {
		if (is_superseded(m))
			return;
		add_self(m, p->members, p->epoch);
		changed = true;
	}
	if (!self_is_member || is_removal_coordinator(m, now_us))
		changed |= remove_lost_members(m, p->members, self_is_member, now_us);
	if (!changed)
		return;
	m->proposed_us = now_us;
	a = append_action(actions, PW_MEMBER_PROPOSE);
	a->epoch = p->epoch;
	a->table = p;
}

static void request_store_read(struct pw_member *m, uint64_t now_us, GArray *actions)
{
	if (m->last_store_request_us && now_us < m->last_store_request_us + STORE_READ_INTERVAL_US)
		return;
	m->last_store_request_us = now_us;
	append_action(actions, PW_MEMBER_READ_TABLE_FROM_STORE);
}

/* Has the process of a silent member checked at intervals, until it is known to have ended. */
static void maybe_check_process(struct pw_member *m, struct peer *p, uint64_t now_us,
				GArray *actions)
{
	if (!p->heard_us || !is_silent_for(p, now_us, PW_MEMBER_CHECK_AFTER_US) ||
	    p->ended_incarnation >= p->entry.incarnation || now_us < p->check_due_us ||
	    (!find_entry(m->newest_table.members, p->entry.name) &&
	     !find_entry(m->effective_table.members, p->entry.name)))
		return;
	p->check_due_us = now_us + PW_MEMBER_CHECK_INTERVAL_US;
	append_peer_action(actions, PW_MEMBER_CHECK_PROCESS, &p->entry);
}

/*
 * Reports the members that have become silent, and has their processes checked. Forgets silent
 * peers that are in no table and were never on the VM list.
 */
static void update_peers(struct pw_member *m, uint64_t now_us, GArray *actions)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *p = value;

		if (!p->suspect && p->heard_us &&
		    is_silent_for(p, now_us, PW_MEMBER_SUSPECT_AFTER_US) &&
		    find_entry(m->newest_table.members, p->entry.name)) {
			p->suspect = true;
			append_peer_action(actions, PW_MEMBER_SUSPECTED, &p->entry);
		}
		maybe_check_process(m, p, now_us, actions);
		/* A table that lists a forgotten peer again adds it back. */
		if (!is_heartbeat_target(m, p, now_us) && !p->ever_listed)
			g_hash_table_iter_remove(&iter);
	}
}

void pw_member_tick(struct pw_member *m, uint64_t now_us, GArray *actions)
{
	uint64_t until_us = 0;
	bool held;

	apply_due_tables(m, now_us, actions);
	update_peers(m, now_us, actions);
	if (now_us >= m->heartbeat_due_us) {
		send_heartbeats(m, &m->heartbeat, now_us, actions);
		m->heartbeat_due_us = now_us + PW_MEMBER_HEARTBEAT_INTERVAL_US;
	}
	held = pw_member_holds_lease(m, now_us, &until_us);
	/* The store is read only while its vote or its table may be needed. */
	if (!m->has_table_answer || m->must_read_store ||
	    (!is_member(m, &m->newest_table) && !m->left) ||
	    (m->effective_table.epoch &&
	     (!held || until_us < now_us + PW_MEMBER_LEASE_DURATION_US / 2)))
		request_store_read(m, now_us, actions);
	maybe_propose_change(m, now_us, actions);
}

/* Send time of this VM's heartbeat that `e` echoes; 0 if too old or of another incarnation. */
static uint64_t echo_sent_us(const struct pw_member *m, const struct pw_heartbeat_echo *e)
{
	if (!is_self(m, e->name) || e->incarnation != m->options.self.incarnation || !e->sequence ||
	    e->sequence > m->sequence || m->sequence - e->sequence >= SENT_TIMES_MAX)
		return 0;
	return m->sent_us[e->sequence % SENT_TIMES_MAX];
}

uint64_t pw_member_heartbeat_sent_after_us(const struct pw_member *m, const struct pw_heartbeat *h)
{
	uint64_t after_us = 0;

	for (uint32_t i = 0; i < h->echoes->len; i++)
		after_us = MAX(
			after_us,
			echo_sent_us(m, &g_array_index(h->echoes, struct pw_heartbeat_echo, i)));
	return after_us;
}

void pw_member_heartbeat_received(struct pw_member *m, const struct pw_heartbeat *h,
				  uint64_t now_us, GArray *actions)
{
	struct peer *p;

	if (is_self(m, h->sender.name))
		return;
	p = add_or_update_peer(m, &h->sender);
	if (h->sender.incarnation < p->entry.incarnation)
		return;
	p->heard_us = now_us;
	p->suspect = false;
	p->refused_us = 0;
	p->ended_incarnation = 0;
	if (h->leaving && !p->leaving) {
		p->leaving = true;
		append_peer_action(actions, PW_MEMBER_LEAVING, &p->entry);
	}
	if (h->sequence > p->sequence) {
		p->sequence = h->sequence;
		g_hash_table_remove_all(p->silence_ms);
		for (uint32_t i = 0; i < h->echoes->len; i++) {
			const struct pw_heartbeat_echo *e =
				&g_array_index(h->echoes, struct pw_heartbeat_echo, i);

			g_hash_table_replace(p->silence_ms, g_strdup(e->name),
					     GUINT_TO_POINTER(e->silence_ms));
		}
	}
	p->attested_epoch = MAX(p->attested_epoch, h->attested_epoch);
	p->released_epoch = MAX(p->released_epoch, h->released_epoch);
	m->peer_effective_epoch = MAX(m->peer_effective_epoch, h->effective_epoch);
	for (uint32_t i = 0; i < h->echoes->len; i++) {
		const struct pw_heartbeat_echo *e =
			&g_array_index(h->echoes, struct pw_heartbeat_echo, i);
		uint64_t sent_us = echo_sent_us(m, e);

		if (!sent_us)
			continue;
		if (h->attested_epoch > p->echoes[0].epoch) {
			p->echoes[1] = p->echoes[0];
			p->echoes[0] = (struct epoch_echo){ h->attested_epoch, sent_us };
		}
		for (uint32_t k = 0; k < 2; k++)
			if (p->echoes[k].epoch == h->attested_epoch)
				p->echoes[k].sent_us = MAX(p->echoes[k].sent_us, sent_us);
	}
	if (h->settled_epoch > m->settled_epoch)
		m->settled_epoch = h->settled_epoch;
	if (h->attested_epoch > MAX(m->newest_table.epoch, m->incoming_table.epoch) &&
	    (!m->last_peer_fetch_us ||
	     now_us >= m->last_peer_fetch_us + PW_MEMBER_HEARTBEAT_INTERVAL_US / 2)) {
		m->last_peer_fetch_us = now_us;
		append_peer_action(actions, PW_MEMBER_FETCH_TABLE_FROM_PEER, &p->entry);
	}
	apply_due_tables(m, now_us, actions);
}

void pw_member_table_received(struct pw_member *m, const struct pw_member_table *t, uint64_t now_us,
			      GArray *actions)
{
	learn_table(m, t, false, now_us, actions);
}

void pw_member_store_read_done(struct pw_member *m, const struct pw_member_table *t,
			       uint64_t read_sent_us, uint64_t now_us, GArray *actions)
{
	m->must_read_store = false;
	learn_table(m, t, false, now_us, actions);
	if (t->epoch > m->store_epoch ||
	    (t->epoch == m->store_epoch && read_sent_us > m->store_read_sent_us)) {
		m->store_epoch = t->epoch;
		m->store_read_sent_us = read_sent_us;
	}
	report_lease_change(m, now_us, actions);
}

void pw_member_swap_result(struct pw_member *m, enum pw_member_swap_status result,
			   const struct pw_member_table *t, uint64_t now_us, GArray *actions)
{
	if (result == PW_MEMBER_SWAP_NO_ANSWER || !t) {
		/* The swap may have been done, so the table is read before the next proposal. */
		m->must_read_store = true;
	} else {
		/*
		 * If the table is older, the store has lost its data. The read before the next
		 * proposal keeps the proposals at an interval.
		 */
		m->must_read_store = t->epoch < m->newest_table.epoch;
		learn_table(m, t, result == PW_MEMBER_SWAP_DONE, now_us, actions);
	}
	m->proposed_us = 0;
}

void pw_member_connection_refused(struct pw_member *m, const struct pw_member_entry *e,
				  uint64_t now_us, GArray *actions)
{
	struct peer *p = find_peer(m, e->name);

	/* The member was heard again, or another process has taken its place. */
	if (!p || p->entry.incarnation != e->incarnation ||
	    !is_silent_for(p, now_us, PW_MEMBER_CHECK_AFTER_US))
		return;
	if (!p->refused_us) {
		p->refused_us = now_us;
		return;
	}
	/* A task that starts again opens its listening socket within this time. */
	if (now_us < p->refused_us + PW_MEMBER_CHECK_INTERVAL_US)
		return;
	p->ended_incarnation = e->incarnation;
	maybe_propose_change(m, now_us, actions);
	apply_due_tables(m, now_us, actions);
}

void pw_member_lease_released(struct pw_member *m, uint64_t epoch, uint64_t now_us, GArray *actions)
{
	m->released_epoch = MAX(m->released_epoch, epoch);
	send_heartbeats(m, &m->heartbeat, now_us, actions);
	m->heartbeat_due_us = now_us + PW_MEMBER_HEARTBEAT_INTERVAL_US;
	apply_due_tables(m, now_us, actions);
}

void pw_member_vm_list_received(struct pw_member *m, const struct pw_member_vm *vms, uint32_t count,
				uint64_t now_us, GArray *actions)
{
	GHashTableIter iter;
	gpointer value;
	bool lists_self = false;

	/* A list without this VM is out of date or empty: absence from it proves nothing. */
	for (uint32_t i = 0; i < count; i++)
		lists_self |= is_self(m, vms[i].name);
	g_hash_table_iter_init(&iter, m->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *p = value;
		uint32_t i = 0;

		while (i < count && strcmp(vms[i].name, p->entry.name) != 0)
			i++;
		if (i == count) {
			if (!p->absent)
				p->absent_since_us = now_us;
			p->absent = lists_self;
			continue;
		}
		p->ever_listed = true;
		p->absent = false;
		if (vms[i].state == PW_MEMBER_VM_LEAVING && !p->leaving) {
			p->leaving = true;
			append_peer_action(actions, PW_MEMBER_LEAVING, &p->entry);
		}
	}
	apply_due_tables(m, now_us, actions);
}

void pw_member_start_leaving(struct pw_member *m, uint64_t now_us, GArray *actions)
{
	m->leaving = true;
	send_heartbeats(m, &m->heartbeat, now_us, actions);
	m->heartbeat_due_us = now_us + PW_MEMBER_HEARTBEAT_INTERVAL_US;
	maybe_propose_change(m, now_us, actions);
}

void pw_member_set_config_revision(struct pw_member *m, uint64_t revision)
{
	m->config_revision = revision;
}

uint64_t pw_member_effective_epoch(const struct pw_member *m)
{
	return m->effective_table.epoch;
}

const struct pw_member_table *pw_member_newest_table(const struct pw_member *m)
{
	return &m->newest_table;
}

const struct pw_member_table *pw_member_effective_table(const struct pw_member *m)
{
	return &m->effective_table;
}

bool pw_member_is_live(const struct pw_member *m, const char *name, uint64_t now_us)
{
	const struct peer *p;

	if (is_self(m, name))
		return true;
	p = find_peer(m, name);
	return p && p->ended_incarnation < p->entry.incarnation &&
	       !is_silent_for(p, now_us, PW_MEMBER_SUSPECT_AFTER_US);
}

void pw_member_append_neighbours(const struct pw_member *m, GPtrArray *out)
{
	const GArray *members = m->newest_table.members;
	uint32_t self = members->len;

	for (uint32_t i = 0; i < members->len; i++)
		if (is_self(m, entry_at(members, i)->name))
			self = i;
	for (uint32_t i = 0; i < members->len && members->len <= PW_MEMBER_FULL_MESH_MAX; i++)
		if (i != self)
			g_ptr_array_add(out, (gpointer)entry_at(members, i)->name);
	if (members->len <= PW_MEMBER_FULL_MESH_MAX || self == members->len)
		return;
	for (uint32_t d = 1; d < members->len; d *= 2)
		g_ptr_array_add(out, (gpointer)entry_at(members, (self + d) % members->len)->name);
}

static void compute_rank_digest(const char *name, const char *key, uint8_t digest[20])
{
	GChecksum *c = g_checksum_new(G_CHECKSUM_SHA1);
	gsize size_bytes = 20;

	g_checksum_update(c, (const guchar *)key, (gssize)strlen(key) + 1);
	g_checksum_update(c, (const guchar *)name, (gssize)strlen(name));
	g_checksum_get_digest(c, digest, &size_bytes);
	g_checksum_free(c);
}

uint32_t pw_member_rendezvous_rank(const GArray *members, const char *name, const char *key)
{
	uint8_t own_digest[20], other_digest[20];
	uint32_t rank = 0;

	compute_rank_digest(name, key, own_digest);
	for (uint32_t i = 0; i < members->len; i++) {
		if (strcmp(entry_at(members, i)->name, name) == 0)
			continue;
		compute_rank_digest(entry_at(members, i)->name, key, other_digest);
		rank += memcmp(other_digest, own_digest, sizeof(own_digest)) > 0;
	}
	return rank;
}
