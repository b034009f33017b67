#include "settings.h"

#include <stddef.h>

#include "binding.h"
#include "pw/codec/document.h"
#include "pw/core/clock.h"

static const char *const stop_timeout_excludes[] = { "drain-grace", "drain-timeout", NULL };

#define TASKS_PER_KIND_MAX 64
#define FIELD(name)        .offset = offsetof(struct pw_process_settings, name)

static const char *const log_level_names[] = { "warning", "notice", "info", "debug", NULL };

static const struct pw_setting settings[] = {
	{ .ops = &pw_setting_string,
	  .flag = "name",
	  .env_variable = "PW_NAME",
	  .help = "name of this VM, unique in the fleet",
	  .required = true,
	  FIELD(vm_name) },
	{ .ops = &pw_setting_string,
	  .flag = "availability-zone",
	  .env_variable = "PW_AVAILABILITY_ZONE",
	  .help = "availability zone of this VM",
	  .required = true,
	  FIELD(availability_zone) },
	{ .ops = &pw_setting_string,
	  .flag = "service",
	  .env_variable = "PW_SERVICE",
	  .help = "name of the service; its document and state are under it in the store",
	  .required = true,
	  FIELD(service_name) },
	{ .ops = &pw_setting_address,
	  .flag = "caller-address",
	  .env_variable = "PW_CALLER_ADDRESS",
	  .default_text = "127.0.0.1:6432",
	  .help = "address for callers",
	  FIELD(caller_address) },
	{ .ops = &pw_setting_address,
	  .flag = "peer-address",
	  .env_variable = "PW_PEER_ADDRESS",
	  .default_text = "127.0.0.1:6433",
	  .help = "address for the other VMs, as they reach it",
	  FIELD(peer_address) },
	{ .ops = &pw_setting_address,
	  .flag = "api-address",
	  .env_variable = "PW_API_ADDRESS",
	  .default_text = "127.0.0.1:6434",
	  .help = "address of the administration API",
	  FIELD(api_address) },
	{ .ops = &pw_setting_address,
	  .flag = "metrics-address",
	  .env_variable = "PW_METRICS_ADDRESS",
	  .help = "address for GET /metrics without credentials",
	  FIELD(metrics_address) },
	{ .ops = &pw_setting_addresses,
	  .flag = "store",
	  .env_variable = "PW_STORE",
	  .help = "addresses of the store",
	  .required = true,
	  FIELD(store_addresses) },
	{ .ops = &pw_setting_addresses,
	  .flag = "seed-peers",
	  .env_variable = "PW_SEED_PEERS",
	  .help = "peer addresses of other VMs, asked while the store is down",
	  FIELD(seed_peers) },
	{ .ops = &pw_setting_string,
	  .flag = "upstream-user",
	  .env_variable = "PW_UPSTREAM_USER",
	  .default_text = "proxy",
	  .help = "user of upstream connections",
	  FIELD(upstream_user) },
	{ .ops = &pw_setting_string,
	  .env_variable = "PW_UPSTREAM_PASSWORD",
	  .help = "password of upstream connections",
	  FIELD(upstream_password) },
	{ .ops = &pw_setting_string,
	  .flag = "control-user",
	  .env_variable = "PW_CONTROL_USER",
	  .default_text = "control",
	  .help = "user of control connections",
	  FIELD(control_user) },
	{ .ops = &pw_setting_string,
	  .env_variable = "PW_CONTROL_PASSWORD",
	  .help = "password of control connections",
	  FIELD(control_password) },
	{ .ops = &pw_setting_string,
	  .env_variable = "PW_API_TOKEN",
	  .help = "operator credential of the administration API; without one it gives health only",
	  FIELD(api_token) },
	{ .ops = &pw_setting_string,
	  .flag = "tls-certificate",
	  .env_variable = "PW_TLS_CERTIFICATE",
	  .help = "PEM file with the certificate and its chain, for callers and the administration "
		  "API; read again when it changes",
	  FIELD(tls_certificate) },
	{ .ops = &pw_setting_string,
	  .flag = "tls-key",
	  .env_variable = "PW_TLS_KEY",
	  .help = "PEM file with the key of the certificate",
	  FIELD(tls_key) },
	{ .ops = &pw_setting_bool,
	  .flag = "tls-required",
	  .env_variable = "PW_TLS_REQUIRED",
	  .help = "refuse callers without TLS",
	  FIELD(tls_required) },
	{ .ops = &pw_setting_choice,
	  .flag = "binding",
	  .env_variable = "PW_BINDING",
	  .default_text = "postgresql",
	  .help = "environment that the proxy runs in: protocols, store, catalogue",
	  .choices = pw_binding_names,
	  FIELD(binding_index) },
	{ .ops = &pw_setting_address,
	  .flag = "promoter",
	  .env_variable = "PW_PROMOTER",
	  .help = "address that orders to promote a server go to, with a binding that has one",
	  FIELD(promoter_address) },
	{ .ops = &pw_setting_string,
	  .flag = "zone-regions",
	  .env_variable = "PW_ZONE_REGIONS",
	  .help = "regions of the availability zones as ZONE=REGION, separated by commas",
	  FIELD(zone_regions) },
	{ .ops = &pw_setting_duration,
	  .flag = "rate-window",
	  .env_variable = "PW_RATE_WINDOW",
	  .default_text = "5s",
	  .help = "window in which an account may use its rate and its burst, with a binding that "
		  "has gateway tasks",
	  .max = 600 * PW_US_PER_S,
	  FIELD(rate_window_us) },
	{ .ops = &pw_setting_duration,
	  .flag = "evacuation-timeout",
	  .env_variable = "PW_EVACUATION_TIMEOUT",
	  .default_text = "0s",
	  .help = "time in which the evacuation of an availability zone has to be in force, with a "
		  "binding that has evacuations; 0s: evacuations are not followed",
	  .max = 600 * PW_US_PER_S,
	  FIELD(evacuation_timeout_us) },
	{ .ops = &pw_setting_u32,
	  .flag = "memory-limit",
	  .env_variable = "PW_MEMORY_LIMIT",
	  .default_text = "0",
	  .help = "memory that the process may use; callers get two fifths of it; 0: the memory "
		  "of the machine",
	  .unit = "MB",
	  FIELD(memory_limit_mb) },
	{ .ops = &pw_setting_bool,
	  .flag = "learn-server-speed",
	  .env_variable = "PW_LEARN_SERVER_SPEED",
	  .help = "choose servers by their speed and failures as learned from their answers, with "
		  "a binding that has gateway tasks; otherwise by their average latency",
	  FIELD(learn_server_speed) },
	{ .ops = &pw_setting_u32,
	  .flag = "gateway-tasks",
	  .env_variable = "PW_GATEWAY_TASKS",
	  .default_text = "1",
	  .help = "tasks that serve callers and servers, with a binding that has them",
	  .min = 1,
	  .max = TASKS_PER_KIND_MAX,
	  FIELD(gateway_task_count) },
	{ .ops = &pw_setting_u32,
	  .flag = "front-tasks",
	  .env_variable = "PW_FRONT_TASKS",
	  .default_text = "2",
	  .help = "tasks that serve caller connections",
	  .min = 1,
	  .max = TASKS_PER_KIND_MAX,
	  FIELD(front_task_count) },
	{ .ops = &pw_setting_u32,
	  .flag = "group-tasks",
	  .env_variable = "PW_GROUP_TASKS",
	  .default_text = "2",
	  .help = "tasks that serve upstream connections",
	  .min = 1,
	  .max = TASKS_PER_KIND_MAX,
	  FIELD(group_task_count) },
	{ .ops = &pw_setting_duration,
	  .flag = "drain-grace",
	  .env_variable = "PW_DRAIN_GRACE",
	  .default_text = "2s",
	  .help = "time between the failing health check and the end of new work",
	  .max = 600 * PW_US_PER_S,
	  FIELD(drain_grace_us) },
	{ .ops = &pw_setting_duration,
	  .flag = "drain-timeout",
	  .env_variable = "PW_DRAIN_TIMEOUT",
	  .default_text = "30s",
	  .help = "time for open transactions to finish in a planned stop",
	  .min = PW_US_PER_MS,
	  .max = 3600 * PW_US_PER_S,
	  FIELD(drain_timeout_us) },
	{ .ops = &pw_setting_duration,
	  .flag = "stop-timeout",
	  .env_variable = "PW_STOP_TIMEOUT",
	  .help = "time between SIGTERM and the end of the process by force; the times of a "
		  "planned stop are derived from it instead of given by --drain-grace and "
		  "--drain-timeout; 0s: not known",
	  .max = 3600 * PW_US_PER_S,
	  .excludes = stop_timeout_excludes,
	  FIELD(stop_timeout_us) },
	{ .ops = &pw_setting_choice,
	  .flag = "log-level",
	  .env_variable = "PW_LOG_LEVEL",
	  .default_text = "notice",
	  .help = "lowest level of the events that are logged",
	  .choices = log_level_names,
	  FIELD(log_level_index) },
};

const struct pw_settings_spec pw_process_settings_spec = {
	.program = "pimentowingd",
	.summary = "Database proxy with session consistency.",
	.settings = settings,
	.setting_count = sizeof(settings) / sizeof(settings[0]),
};

/*
 * Checks a name by the rule for names in the service document. Names are written without escaping
 * into logs and the JSON of /v1/status, so characters that would need it are not allowed.
 */
static void check_name(const char *text, const char *setting, struct pw_findings *f)
{
	if (!pw_document_name_is_valid(text))
		pw_findings_add(f, setting,
				"must be a name: letters, digits, '_', '.' or '-', the first a "
				"letter or digit");
}

/* Checks that the passwords are set for servers with the PostgreSQL protocol, which need them. */
static void check_passwords(const struct pw_process_settings *s, struct pw_findings *f)
{
	if (pw_bindings[s->binding_index]->server)
		return;
	if (!s->upstream_password)
		pw_findings_add(f, "PW_UPSTREAM_PASSWORD", "must not be empty");
	if (!s->control_password)
		pw_findings_add(f, "PW_CONTROL_PASSWORD", "must not be empty");
}

void pw_process_settings_check(const struct pw_process_settings *s, struct pw_findings *f)
{
	check_name(s->vm_name, "--name", f);
	check_name(s->availability_zone, "--availability-zone", f);
	check_name(s->service_name, "--service", f);
	check_passwords(s, f);
	if (pw_bindings[s->binding_index]->promoter_new && !s->promoter_address)
		pw_findings_add(f, "--promoter", "missing; the binding \"%s\" needs it",
				pw_bindings[s->binding_index]->name);
	if (s->tls_certificate && !s->tls_key)
		pw_findings_add(f, "--tls-key", "missing; --tls-certificate needs it");
	if (s->tls_key && !s->tls_certificate)
		pw_findings_add(f, "--tls-certificate", "missing; --tls-key needs it");
	if (s->tls_required && !s->tls_certificate)
		pw_findings_add(f, "--tls-certificate", "missing; --tls-required needs it");
}
