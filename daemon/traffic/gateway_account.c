#include "gateway_private.h"

struct account *gw_account_get(struct gateway *g, const char *name)
{
	struct account *a = g_hash_table_lookup(g->accounts, name);

	if (!a) {
		a = g_new0(struct account, 1);
		a->name = g_strdup(name);
		g_hash_table_insert(g->accounts, a->name, a);
	}
	return a;
}

void gw_account_free(gpointer data)
{
	struct account *a = data;

	g_free(a->name);
	g_free(a);
}

/* Retry time given to a caller while the VM's share of the account's rate is not known. */
#define RETRY_AFTER_DEFAULT_US (200 * PW_US_PER_MS)

bool gw_account_admit(struct gateway *g, struct account *a, uint64_t *wait_us)
{
	uint64_t now_us = gateway_now_us(g);

	a->arrival_count++;
	*wait_us = RETRY_AFTER_DEFAULT_US;
	if (!a->has_share)
		return false;
	if (pw_share_bucket_take(&a->tokens, &a->share, now_us))
		return true;
	*wait_us = pw_share_bucket_wait_us(&a->tokens, &a->share);
	return false;
}

void gw_account_refund(struct account *a)
{
	pw_share_bucket_return(&a->tokens);
	if (a->arrival_count)
		a->arrival_count--;
}

void gw_account_apply_shares(struct gateway *g, const GArray *shares)
{
	for (guint i = 0; i < shares->len; i++) {
		const struct pw_account_share *s =
			&g_array_index(shares, struct pw_account_share, i);
		struct account *a = gw_account_get(g, s->account);
		struct pw_share next = s->share;

		/* Each gateway task gets an equal part of the VM's share. */
		next.rate_per_s /= g->directory->gateway_count;
		next.burst /= g->directory->gateway_count;
		next.burst_part /= g->directory->gateway_count;
		if (a->has_share)
			pw_share_bucket_change(&a->tokens, &a->share, &next, gateway_now_us(g));
		else
			pw_share_bucket_init(&a->tokens, &next, gateway_now_us(g));
		a->share = next;
		a->has_share = true;
	}
}
