#include "gateway_private.h"

struct account *gw_account_get(struct gateway *g, const char *name)
{
	struct account *a = g_hash_table_lookup(g->accounts, name);

	if (!a) {
		a = g_new0(struct account, 1);
		a->gateway = g;
		a->name = g_strdup(name);
		g_queue_init(&a->waiting);
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

void gw_account_count_arrival(struct gateway *g, struct account *a, bool urgent)
{
	a->arrival_count++;
	if (!urgent)
		return;
	a->urgent_arrival_count++;
	pw_demand_add_arrivals(&a->urgent_demand, 1, gateway_now_us(g));
}

struct pw_admission_decision gw_account_decide(struct gateway *g, struct account *a,
					       const struct pw_admission_request *r, uint32_t ahead)
{
	uint64_t now_us = gateway_now_us(g);
	const struct pw_admission_view v = {
		.share = &a->share,
		.tokens = a->tokens,
		.urgent_demand_per_s = pw_demand_per_s_at(&a->urgent_demand, now_us),
		.ahead = ahead,
		.random = (uint32_t)pw_clock_random_u64(),
	};
	struct pw_admission_decision d = {
		.verdict = PW_ADMISSION_REFUSE,
		.retry_us = RETRY_AFTER_DEFAULT_US,
	};

	if (!a->has_share)
		return d;
	d = pw_admission_decide(&v, r, now_us);
	if (d.verdict == PW_ADMISSION_ADMIT)
		(void)pw_share_bucket_take(&a->tokens, &a->share, now_us);
	return d;
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
