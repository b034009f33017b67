#include "pw/core/counter.h"

#include <ck_pr.h>

static uint64_t counter_values[PW_COUNTER_COUNT];

static const struct pw_counter_info counter_infos[PW_COUNTER_COUNT] = {
#define PW_COUNTER_INFO(id, exported_name, help_text) \
	[PW_COUNTER_##id] = { .name = (exported_name), .help = (help_text) },
	PW_COUNTERS(PW_COUNTER_INFO)
#undef PW_COUNTER_INFO
};

void pw_counter_add(enum pw_counter c, uint64_t n)
{
	ck_pr_add_64(&counter_values[c], n);
}

uint64_t pw_counter_get(enum pw_counter c)
{
	return ck_pr_load_64(&counter_values[c]);
}

const struct pw_counter_info *pw_counter_info(enum pw_counter c)
{
	return &counter_infos[c];
}
