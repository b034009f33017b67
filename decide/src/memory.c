#include "pw/decide/memory.h"

/* Share of the process's memory that the budgets of all tasks take. */
#define BUDGET_PERCENT 40
/* Limits of the classes as percentages of the budget. */
static const uint32_t class_percents[PW_MEMORY_CLASS_COUNT] = {
	[PW_MEMORY_INPUT] = 50,
	[PW_MEMORY_OUTPUT] = 50,
	[PW_MEMORY_STATE] = 35,
};
/* Closing goes on until the use is below this share of the limit. */
#define LOW_MARK_NUMERATOR   7
#define LOW_MARK_DENOMINATOR 8
/* Smallest difference to the peak that is worth a call to the allocator. */
#define TRIM_MIN_BYTES UINT64_C(4194304)

void pw_memory_budget_init(struct pw_memory_budget *b, uint64_t memory_bytes, uint32_t task_count)
{
	*b = (struct pw_memory_budget){
		.total_limit_bytes = memory_bytes / 100 * BUDGET_PERCENT / MAX(task_count, 1),
	};
	for (int i = 0; i < PW_MEMORY_CLASS_COUNT; i++)
		b->limit_bytes[i] = b->total_limit_bytes * class_percents[i] / 100;
}

uint64_t pw_memory_used_bytes(const struct pw_memory_budget *b)
{
	uint64_t sum_bytes = 0;

	for (int i = 0; i < PW_MEMORY_CLASS_COUNT; i++)
		sum_bytes += b->used_bytes[i];
	return sum_bytes;
}

static bool is_class_over(const struct pw_memory_budget *b, int class)
{
	return b->used_bytes[class] > b->limit_bytes[class];
}

static bool is_total_over(const struct pw_memory_budget *b)
{
	return pw_memory_used_bytes(b) > b->total_limit_bytes;
}

bool pw_memory_is_over(const struct pw_memory_budget *b)
{
	for (int i = 0; i < PW_MEMORY_CLASS_COUNT; i++) {
		if (is_class_over(b, i))
			return true;
	}
	return is_total_over(b);
}

static uint64_t subtract(uint64_t a, uint64_t b)
{
	return a > b ? a - b : 0;
}

bool pw_memory_may_handle(const struct pw_memory_budget *b, uint64_t output_bytes)
{
	uint64_t left_bytes =
		MIN(subtract(b->limit_bytes[PW_MEMORY_OUTPUT], b->used_bytes[PW_MEMORY_OUTPUT]),
		    subtract(b->total_limit_bytes, pw_memory_used_bytes(b)));

	return output_bytes < MAX(PW_MEMORY_OUTPUT_PAUSE_BYTES, left_bytes / 2);
}

bool pw_memory_may_keep(const struct pw_memory_budget *b, uint64_t held_bytes, uint64_t added_bytes)
{
	uint64_t limit_bytes = b->limit_bytes[PW_MEMORY_STATE];

	if (held_bytes + added_bytes <= PW_MEMORY_SMALL_BYTES)
		return true;
	return held_bytes + added_bytes <= limit_bytes / 2 &&
	       b->used_bytes[PW_MEMORY_STATE] + added_bytes <= limit_bytes;
}

bool pw_memory_has_stalled_output(uint64_t output_bytes, uint64_t idle_us)
{
	return output_bytes && idle_us >= PW_MEMORY_OUTPUT_TIMEOUT_US;
}

static uint64_t low_mark_bytes(uint64_t limit_bytes)
{
	return limit_bytes / LOW_MARK_DENOMINATOR * LOW_MARK_NUMERATOR;
}

/* What has to be freed, by class and in all. */
struct excess {
	uint64_t bytes[PW_MEMORY_CLASS_COUNT];
	uint64_t total_bytes;
};

static struct excess find_excess(const struct pw_memory_budget *b)
{
	struct excess e = { 0 };

	for (int i = 0; i < PW_MEMORY_CLASS_COUNT; i++) {
		if (is_class_over(b, i))
			e.bytes[i] = b->used_bytes[i] - low_mark_bytes(b->limit_bytes[i]);
	}
	if (is_total_over(b))
		e.total_bytes = pw_memory_used_bytes(b) - low_mark_bytes(b->total_limit_bytes);
	return e;
}

static bool has_excess(const struct excess *e)
{
	for (int i = 0; i < PW_MEMORY_CLASS_COUNT; i++) {
		if (e->bytes[i])
			return true;
	}
	return e->total_bytes != 0;
}

/* What closing the holder contributes: its memory of the classes that are over. */
static uint64_t relief_bytes(const struct pw_memory_holder *h, const struct excess *e)
{
	uint64_t sum_bytes = 0;

	for (int i = 0; i < PW_MEMORY_CLASS_COUNT; i++) {
		if (e->bytes[i] || e->total_bytes)
			sum_bytes += h->bytes[i];
	}
	return sum_bytes;
}

/* Order in which kinds of holders are closed. */
static int rank_of(const struct pw_memory_holder *h, uint64_t relief)
{
	if (!relief)
		return 4;
	if (relief < PW_MEMORY_SMALL_BYTES)
		return h->is_in_flight ? 3 : 2;
	return h->is_in_flight ? 1 : 0;
}

static gint compare_holders(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct pw_memory_holder *x = a, *y = b;
	uint64_t relief_x = relief_bytes(x, data), relief_y = relief_bytes(y, data);
	int rank_x = rank_of(x, relief_x), rank_y = rank_of(y, relief_y);
	bool stalled_x = x->idle_us >= PW_MEMORY_STALL_US;
	bool stalled_y = y->idle_us >= PW_MEMORY_STALL_US;

	if (rank_x != rank_y)
		return rank_x - rank_y;
	if (stalled_x != stalled_y)
		return stalled_y - stalled_x;
	return (relief_x < relief_y) - (relief_x > relief_y);
}

static void subtract_holder(struct excess *e, const struct pw_memory_holder *h)
{
	for (int i = 0; i < PW_MEMORY_CLASS_COUNT; i++) {
		e->bytes[i] = subtract(e->bytes[i], h->bytes[i]);
		e->total_bytes = subtract(e->total_bytes, h->bytes[i]);
	}
}

uint32_t pw_memory_choose(const struct pw_memory_budget *b, GArray *holders)
{
	struct excess e = find_excess(b);
	struct pw_memory_holder *all = (struct pw_memory_holder *)(void *)holders->data;
	uint32_t count = 0;

	if (!has_excess(&e))
		return 0;
	g_array_sort_with_data(holders, compare_holders, &e);
	for (guint i = 0; i < holders->len && has_excess(&e); i++) {
		struct pw_memory_holder h = all[i];

		/* Skips those that hold only memory of classes that are inside the limit by now. */
		if (!relief_bytes(&h, &e))
			continue;
		subtract_holder(&e, &h);
		all[i] = all[count];
		all[count++] = h;
	}
	return count;
}

bool pw_memory_should_trim(struct pw_memory_budget *b)
{
	uint64_t used_bytes = pw_memory_used_bytes(b);

	b->peak_bytes = MAX(b->peak_bytes, used_bytes);
	if (b->peak_bytes - used_bytes < TRIM_MIN_BYTES || used_bytes > b->peak_bytes / 2)
		return false;
	b->peak_bytes = used_bytes;
	return true;
}
