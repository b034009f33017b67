#include "traffic.h"

#include "front.h"
#include "gateway.h"
#include "group.h"
#include "ledger.h"
#include "pw/core/task.h"

static void append_gateways(GArray *children, const struct pw_directory *d,
			    const struct pw_task_args *args)
{
	for (uint32_t i = 0; i < d->gateway_count; i++) {
		struct pw_child_spec gateway = {
			.ops = &pw_gateway_ops,
			.inbox = d->gateways[i],
			.args = &args[i],
			.index = i,
		};

		g_array_append_val(children, gateway);
	}
}

void pw_traffic_append_children(GArray *children, const struct pw_directory *d,
				const struct pw_task_args *args)
{
	struct pw_child_spec ledger = { .ops = &pw_ledger_ops, .inbox = d->ledger, .args = args };

	if (d->binding->caller) {
		append_gateways(children, d, args);
		return;
	}
	for (uint32_t i = 0; i < d->group_count; i++) {
		struct pw_child_spec group = {
			.ops = &pw_group_ops,
			.inbox = d->groups[i],
			.args = &args[i],
			.index = i,
		};

		g_array_append_val(children, group);
	}
	g_array_append_val(children, ledger);
	for (uint32_t i = 0; i < d->front_count; i++) {
		struct pw_child_spec front = {
			.ops = &pw_front_ops,
			.inbox = d->fronts[i],
			.args = &args[i],
			.index = i,
		};

		g_array_append_val(children, front);
	}
}
