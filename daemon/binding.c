#include "binding.h"

#include "pw/platform/platform.h"

static int postgresql_store_new(struct pw_store **out, struct pw_loop *loop,
				const char *const *endpoints)
{
	struct pw_store_etcd_options opts = PW_STORE_ETCD_OPTIONS_INIT;

	opts.endpoints = endpoints;
	return pw_store_etcd_new(out, loop, &opts);
}

static const struct pw_binding postgresql = {
	.name = "postgresql",
	.store_new = postgresql_store_new,
};

static const struct pw_binding platform = {
	.name = "platform",
	.store_new = pw_platform_store_new,
	.promoter_new = pw_platform_promoter_new,
	.caller = &pw_platform_caller_dialect,
	.server = &pw_platform_server_dialect,
	.catalog = &pw_platform_catalog_source,
};

const struct pw_binding *const pw_bindings[] = { &postgresql, &platform, NULL };
const char *const pw_binding_names[] = { "postgresql", "platform", NULL };
