#include "pw/core/gauge.h"

#include <ck_pr.h>

static uint64_t gauge_values[PW_GAUGE_COUNT];

static const struct pw_gauge_info gauge_infos[PW_GAUGE_COUNT] = {
#define PW_GAUGE_INFO(id, exported_name, help_text) \
	[PW_GAUGE_##id] = { .name = (exported_name), .help = (help_text) },
	PW_GAUGES(PW_GAUGE_INFO)
#undef PW_GAUGE_INFO
};

const struct pw_gauge_info *pw_gauge_info(enum pw_gauge g)
{
	return &gauge_infos[g];
}

void pw_gauge_add(enum pw_gauge g, int64_t difference)
{
	ck_pr_add_64(&gauge_values[g], (uint64_t)difference);
}

uint64_t pw_gauge_get(enum pw_gauge g)
{
	return ck_pr_load_64(&gauge_values[g]);
}
