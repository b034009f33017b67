/**
 * @file evacuation_fleet.h
 * Fleet of proxy processes whose database has each server in a zone of its own, for the suites that
 * evacuate zones.
 */
#ifndef PW_TESTS_EVACUATION_FLEET_H
#define PW_TESTS_EVACUATION_FLEET_H

#include "platform_fleet.h"

/* EvacMs: nothing reaches a server of the zone later than this after the request. */
#define EVACUATION_MS 5000
#define SERVER_COUNT  3
static const char *const zones[SERVER_COUNT] = { "zone-1", "zone-2", "zone-3" };
/* Statements that a fleet sends to find out which servers it uses. */
#define SAMPLE_COUNT 60

/* Number of statements of callers that a server has received since the record was cleared. */
static inline uint32_t count_received(const char *server_id)
{
	char *text = http_request(platform->port, "/record", NULL);
	json_t *root = json_loads(text, 0, NULL);
	const json_t *entry;
	uint32_t count = 0;
	size_t i;

	json_array_foreach (root, i, entry)
		count +=
			strcmp(json_string_value(json_object_get(entry, "server")), server_id) == 0;
	json_decref(root);
	g_free(text);
	return count;
}

/* Number of statements of the proxies' own that a server has received since its start. */
static inline uint32_t count_own(const char *server_id)
{
	char *text = http_request(platform->port, "/state", NULL);
	json_t *root = json_loads(text, 0, NULL);
	const json_t *s;
	uint32_t count = 0;
	size_t i;

	json_array_foreach (json_object_get(root, "servers"), i, s) {
		if (strcmp(json_string_value(json_object_get(s, "id")), server_id) == 0)
			count = (uint32_t)json_integer_value(json_object_get(s, "own"));
	}
	json_decref(root);
	g_free(text);
	return count;
}

/* Answers calls of the store with this path and prefix by `body`; NULL ends this. */
static inline void fix_reply(const char *path, const char *body)
{
	char *fault_path = g_strconcat("/fault?name=reply&value=", path, NULL);
	char *answer = http_request(platform->port, fault_path, body ? body : "");

	ck_assert_ptr_nonnull(answer);
	g_free(answer);
	g_free(fault_path);
}

/* Returns the zone of a server, by its entry in the store. */
static inline char *find_zone(const char *server_id)
{
	char *path = g_strdup_printf("/kv-key?Key=servers/%s", server_id);
	char *text = http_request(platform->port, path, NULL);
	json_t *root = json_loads(text, 0, NULL);
	gsize size;
	guchar *value = g_base64_decode(json_string_value(json_object_get(root, "Value")), &size);
	json_t *entry = json_loadb((const char *)value, size, 0, NULL);
	char *zone = g_strdup(json_string_value(json_object_get(entry, "Zone")));

	json_decref(entry);
	g_free(value);
	json_decref(root);
	g_free(text);
	g_free(path);
	return zone;
}

static inline bool has_zone(const char *server_id, const char *expected)
{
	char *zone = find_zone(server_id);
	bool is_equal = strcmp(zone, expected) == 0;

	g_free(zone);
	return is_equal;
}

/* Starts a fleet whose database has its servers in so many zones. */
static inline void start_fleet_in(const char *zone_count)
{
	g_setenv("PW_EVACUATION_TIMEOUT", "5s", FALSE);
	start_platform();
	inject_fault("zones", zone_count);
	inject_fault("work", "20"); /* reads go to replicas if the primary is not much faster */
	/* The servers register again about once a second. */
	ck_assert(PW_HARNESS_WAIT_UNTIL(
		has_zone("i-core-1", zones[0]) && has_zone("i-core-2", zones[1]) &&
			has_zone("i-core-3", zone_count[0] == '2' ? zones[0] : zones[2]),
		3000));
	start_vms(VM_COUNT, platform->port);
}

static inline void start_fleet_in_zones(void)
{
	start_fleet_in("3");
}

/* Reads and writes through all VMs; the writes may be refused. Returns how many were answered. */
static inline uint32_t send_sample(const char *database, const char *statement,
				   const char *expected)
{
	uint32_t ok_count = 0;

	for (uint32_t i = 0; i < SAMPLE_COUNT; i++) {
		struct client *c = open_session(i % VM_COUNT, database);
		char *actual = run_statement(c, statement);

		ok_count += strcmp(actual, expected) == 0;
		g_free(actual);
		client_free(c);
	}
	return ok_count;
}

/* Returns the id of the replica that serves most reads, so that its evacuation makes a difference.
 */
static inline char *find_replica(void)
{
	char *primary = find_primary(), *id = NULL;
	uint32_t most = 0;
	char *text = http_request(platform->port, "/state", NULL);
	json_t *root = json_loads(text, 0, NULL);
	const json_t *s;
	size_t i;

	/* A write tells the VMs a position, without which reads run at the primary. */
	(void)send_sample("desk", "WRITE b v", "ok I");
	g_usleep(300000);
	inject_fault("record", "clear");
	(void)send_sample("views", "READ a", "none ok I");
	json_array_foreach (json_object_get(root, "servers"), i, s) {
		const char *name = json_string_value(json_object_get(s, "id"));
		uint32_t count = strcmp(name, primary) == 0 ? 0 : count_received(name);

		if (count <= most)
			continue;
		most = count;
		g_free(id);
		id = g_strdup(name);
	}
	ck_assert_msg(id != NULL, "no replica serves reads");
	json_decref(root);
	g_free(text);
	g_free(primary);
	return id;
}

#endif
