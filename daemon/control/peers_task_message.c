#include "peers.h"

/* Destroys a message that owns no other memory. */
static void shallow_destroy(struct pw_msg *m)
{
	g_free(m);
}

static void epoch_destroy(struct pw_msg *m)
{
	pw_member_table_dispose(&((struct pw_epoch_msg *)m)->table);
	g_free(m);
}

static void hints_destroy(struct pw_msg *m)
{
	g_array_unref(((struct pw_quota_hints_msg *)m)->hints);
	g_free(m);
}

static void revision_destroy(struct pw_msg *m)
{
	g_clear_pointer(&((struct pw_revision_msg *)m)->text, g_bytes_unref);
	g_free(m);
}

static void fleet_destroy(struct pw_msg *m)
{
	g_ptr_array_unref(((struct pw_fleet_msg *)m)->peers);
	g_free(m);
}

const struct pw_msg_ops pw_ledger_started_ops = {
	.name = "ledger_started",
	.destroy = shallow_destroy,
};
const struct pw_msg_ops pw_lease_msg_ops = { .name = "lease", .destroy = shallow_destroy };
const struct pw_msg_ops pw_lease_released_msg_ops = {
	.name = "lease_released",
	.destroy = shallow_destroy,
};
const struct pw_msg_ops pw_epoch_msg_ops = { .name = "epoch", .destroy = epoch_destroy };
const struct pw_msg_ops pw_quota_hints_msg_ops = {
	.name = "quota_hints",
	.destroy = hints_destroy,
};
const struct pw_msg_ops pw_quota_hint_msg_ops = { .name = "quota_hint",
						  .destroy = shallow_destroy };
const struct pw_msg_ops pw_quota_msg_ops = { .name = "quota", .destroy = shallow_destroy };
const struct pw_msg_ops pw_revision_report_msg_ops = {
	.name = "revision_report",
	.destroy = shallow_destroy,
};
const struct pw_msg_ops pw_revision_msg_ops = { .name = "revision", .destroy = revision_destroy };
const struct pw_msg_ops pw_vote_msg_ops = { .name = "vote", .destroy = shallow_destroy };
const struct pw_msg_ops pw_fleet_msg_ops = { .name = "fleet", .destroy = fleet_destroy };
const struct pw_msg_ops pw_fleet_request_ops = { .name = "fleet_ask", .destroy = shallow_destroy };
const struct pw_msg_ops pw_fleet_left_ops = { .name = "peers_left", .destroy = shallow_destroy };

static struct pw_msg *empty_msg_new(const struct pw_msg_ops *ops)
{
	struct pw_msg *m = g_new0(struct pw_msg, 1);

	m->ops = ops;
	return m;
}

struct pw_msg *pw_ledger_started_msg(void)
{
	return empty_msg_new(&pw_ledger_started_ops);
}

struct pw_msg *pw_fleet_left_msg(void)
{
	return empty_msg_new(&pw_fleet_left_ops);
}

struct pw_msg *pw_fleet_request_msg(void)
{
	return empty_msg_new(&pw_fleet_request_ops);
}

struct pw_lease_msg *pw_lease_msg_new(void)
{
	struct pw_lease_msg *m = g_new0(struct pw_lease_msg, 1);

	m->base.ops = &pw_lease_msg_ops;
	return m;
}

struct pw_lease_released_msg *pw_lease_released_msg_new(void)
{
	struct pw_lease_released_msg *m = g_new0(struct pw_lease_released_msg, 1);

	m->base.ops = &pw_lease_released_msg_ops;
	return m;
}

struct pw_epoch_msg *pw_epoch_msg_new(const struct pw_member_table *t)
{
	struct pw_epoch_msg *m = g_new0(struct pw_epoch_msg, 1);

	m->base.ops = &pw_epoch_msg_ops;
	pw_member_table_init(&m->table);
	pw_member_table_copy(&m->table, t);
	return m;
}

struct pw_quota_hints_msg *pw_quota_hints_msg_new(void)
{
	struct pw_quota_hints_msg *m = g_new0(struct pw_quota_hints_msg, 1);

	m->base.ops = &pw_quota_hints_msg_ops;
	m->hints = g_array_new(FALSE, TRUE, sizeof(struct pw_quota_hint));
	return m;
}

struct pw_quota_hint_msg *pw_quota_hint_msg_new(void)
{
	struct pw_quota_hint_msg *m = g_new0(struct pw_quota_hint_msg, 1);

	m->base.ops = &pw_quota_hint_msg_ops;
	return m;
}

struct pw_quota_msg *pw_quota_msg_new(void)
{
	struct pw_quota_msg *m = g_new0(struct pw_quota_msg, 1);

	m->base.ops = &pw_quota_msg_ops;
	return m;
}

struct pw_revision_report_msg *pw_revision_report_msg_new(void)
{
	struct pw_revision_report_msg *m = g_new0(struct pw_revision_report_msg, 1);

	m->base.ops = &pw_revision_report_msg_ops;
	return m;
}

struct pw_revision_msg *pw_revision_msg_new(enum pw_revision_message_kind kind, const char *peer)
{
	struct pw_revision_msg *m = g_new0(struct pw_revision_msg, 1);

	m->base.ops = &pw_revision_msg_ops;
	m->kind = kind;
	g_strlcpy(m->peer, peer, sizeof(m->peer));
	return m;
}

struct pw_vote_msg *pw_vote_msg_new(void)
{
	struct pw_vote_msg *m = g_new0(struct pw_vote_msg, 1);

	m->base.ops = &pw_vote_msg_ops;
	return m;
}

struct pw_fleet_msg *pw_fleet_msg_new(void)
{
	struct pw_fleet_msg *m = g_new0(struct pw_fleet_msg, 1);

	m->base.ops = &pw_fleet_msg_ops;
	m->peers = g_ptr_array_new_with_free_func(g_free);
	return m;
}
