#include "control.h"

#include "admin.h"
#include "catalog.h"
#include "cluster.h"
#include "config.h"
#include "metrics.h"
#include "monitor.h"
#include "peers.h"
#include "store.h"

void pw_control_append_children(GArray *children, const struct pw_directory *d,
				const struct pw_task_args *args,
				const struct pw_store_task_args *store)
{
	const struct pw_child_spec catalog_specs[] = {
		{ .ops = &pw_store_task_ops, .inbox = d->store, .args = store },
		{ .ops = &pw_catalog_task_ops, .inbox = d->catalog, .args = args },
		{ .ops = &pw_cluster_ops, .inbox = d->cluster, .args = args },
		{ .ops = &pw_admin_ops, .inbox = d->admin, .args = args },
	};
	const struct pw_child_spec document_specs[] = {
		{ .ops = &pw_store_task_ops, .inbox = d->store, .args = store },
		{ .ops = &pw_peers_ops, .inbox = d->peers, .args = args },
		{ .ops = &pw_config_ops, .inbox = d->config, .args = args },
		{ .ops = &pw_monitor_task_ops, .inbox = d->monitor, .args = args },
		{ .ops = &pw_admin_ops, .inbox = d->admin, .args = args },
	};

	const struct pw_child_spec metrics_spec = {
		.ops = &pw_metrics_ops,
		.inbox = d->metrics,
		.args = args,
	};

	if (d->binding->catalog)
		g_array_append_vals(children, catalog_specs, G_N_ELEMENTS(catalog_specs));
	else
		g_array_append_vals(children, document_specs, G_N_ELEMENTS(document_specs));
	if (d->settings->metrics_address)
		g_array_append_val(children, metrics_spec);
}
