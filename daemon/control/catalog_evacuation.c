#include "catalog_evacuation.h"

#include <inttypes.h>
#include <string.h>

#include "pw/core/clock.h"
#include "pw/core/counter.h"
#include "pw/core/error.h"
#include "pw/core/event.h"
#include "pw/decide/evacuation.h"

struct pw_evacuations {
	const struct pw_directory *directory;
	const struct pw_catalog_source *source;
	GHashTable *zones;        /**< zone -> struct pw_evacuation */
	GHashTable *zones_read;   /**< set of zones on the pages read so far */
	int64_t watched_revision; /**< of the newest evacuation or return that was watched */
	bool known;               /**< they were read since the start */
};

struct pw_evacuations *pw_evacuations_new(const struct pw_directory *d,
					  const struct pw_catalog_source *source)
{
	struct pw_evacuations *e = g_new0(struct pw_evacuations, 1);

	e->directory = d;
	e->source = source;
	e->zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->zones_read = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return e;
}

void pw_evacuations_free(struct pw_evacuations *e)
{
	g_hash_table_unref(e->zones);
	g_hash_table_unref(e->zones_read);
	g_free(e);
}

static uint64_t timeout_us(const struct pw_evacuations *e)
{
	return e->directory->settings->evacuation_timeout_us;
}

bool pw_evacuations_are_followed(const struct pw_evacuations *e)
{
	return timeout_us(e) && e->source->operator_prefix;
}

bool pw_evacuations_are_known(const struct pw_evacuations *e)
{
	return e->known || !pw_evacuations_are_followed(e);
}

static bool is_known_zone(const struct pw_evacuations *e, const struct pw_server_list *servers,
			  const char *zone)
{
	for (guint i = 0; servers && i < servers->entries->len; i++) {
		const struct pw_server_entry *s = g_ptr_array_index(servers->entries, i);

		if (strcmp(s->availability_zone, zone) == 0)
			return true;
	}
	return pw_directory_has_zone(e->directory, zone);
}

/* Adds an evacuation. Returns false if it is known already. */
static bool add_zone(struct pw_evacuations *e, const char *zone,
		     const struct pw_evacuations_source *from)
{
	struct pw_evacuation *evacuation;
	uint64_t stop_us;

	if (g_hash_table_contains(e->zones, zone))
		return false;
	evacuation = g_new0(struct pw_evacuation, 1);
	evacuation->learned_us = from->now_us;
	evacuation->earliest_us = from->known_us;
	g_hash_table_insert(e->zones, g_strdup(zone), evacuation);
	stop_us = pw_evacuation_stop_us(evacuation, timeout_us(e));
	pw_counter_inc(PW_COUNTER_EVACUATIONS_STARTED);
	pw_event_log(PW_EVENT_ZONE_EVACUATED, "zone=%s known=%d watched=%d stop_ms=%" PRIu64, zone,
		     is_known_zone(e, from->servers, zone), from->known_us == from->now_us,
		     (stop_us - from->now_us) / PW_US_PER_MS);
	return true;
}

static void log_returned(const char *zone)
{
	pw_event_log(PW_EVENT_ZONE_RETURNED, "zone=%s", zone);
}

static bool remove_zone(struct pw_evacuations *e, const char *zone)
{
	if (!g_hash_table_remove(e->zones, zone))
		return false;
	log_returned(zone);
	return true;
}

/* Finds the zone that an item evacuates; NULL if it evacuates none. */
static const char *find_zone(const struct pw_evacuations *e, const struct pw_store_kv *kv)
{
	const char *zone;

	if (e->source->ops->find_evacuated_zone(&zone, kv->key) == PW_OK)
		return zone;
	pw_event_log(PW_EVENT_EVACUATION_REFUSED, "error=\"%s\" key=\"%.200s\"", pw_error_message(),
		     kv->key);
	return NULL;
}

void pw_evacuations_collect(struct pw_evacuations *e, const struct pw_store_kv *kv)
{
	const char *zone = pw_evacuations_are_followed(e) ? find_zone(e, kv) : NULL;

	if (zone)
		g_hash_table_add(e->zones_read, g_strdup(zone));
}

void pw_evacuations_discard(struct pw_evacuations *e)
{
	g_hash_table_remove_all(e->zones_read);
}

static bool remove_zones_not_read(struct pw_evacuations *e)
{
	GHashTableIter it;
	gpointer zone;
	bool changed = false;

	g_hash_table_iter_init(&it, e->zones);
	while (g_hash_table_iter_next(&it, &zone, NULL)) {
		if (g_hash_table_contains(e->zones_read, zone))
			continue;
		log_returned(zone);
		g_hash_table_iter_remove(&it);
		changed = true;
	}
	return changed;
}

bool pw_evacuations_apply_read(struct pw_evacuations *e, const struct pw_evacuations_source *from)
{
	bool changed = !e->known;
	GHashTableIter it;
	gpointer zone;

	if (!pw_evacuations_are_followed(e))
		return false;
	if (e->known && from->revision < e->watched_revision) {
		pw_evacuations_discard(e);
		return false;
	}
	g_hash_table_iter_init(&it, e->zones_read);
	while (g_hash_table_iter_next(&it, &zone, NULL))
		changed |= add_zone(e, zone, from);
	changed |= remove_zones_not_read(e);
	e->known = true;
	pw_evacuations_discard(e);
	return changed;
}

bool pw_evacuations_apply_watched(struct pw_evacuations *e, const struct pw_store_watch_result *r,
				  const struct pw_evacuations_source *from)
{
	bool changed = false;

	for (size_t i = 0; pw_evacuations_are_followed(e) && i < r->event_count; i++) {
		const struct pw_store_event *event = &r->events[i];
		const char *zone = find_zone(e, &event->kv);

		if (!zone)
			continue;
		e->watched_revision = MAX(e->watched_revision, event->kv.mod_revision);
		changed |= event->kind == PW_STORE_PUT ? add_zone(e, zone, from)
						       : remove_zone(e, zone);
	}
	return changed;
}

uint64_t pw_evacuations_digest(const struct pw_evacuations *e)
{
	GHashTableIter it;
	gpointer zone;
	uint64_t digest = 0;

	g_hash_table_iter_init(&it, e->zones);
	while (g_hash_table_iter_next(&it, &zone, NULL))
		digest ^= pw_directory_name_hash(zone);
	return digest;
}

struct pw_server_list *pw_evacuations_mark(const struct pw_evacuations *e,
					   const struct pw_server_list *servers)
{
	struct pw_server_list *marked;

	if (!g_hash_table_size(e->zones))
		return pw_server_list_ref(servers);
	marked = pw_server_list_new();
	for (guint i = 0; i < servers->entries->len; i++) {
		struct pw_server_entry *s =
			pw_server_entry_copy(g_ptr_array_index(servers->entries, i));
		const struct pw_evacuation *evacuation =
			g_hash_table_lookup(e->zones, s->availability_zone);

		if (evacuation) {
			s->leaving = s->evacuated = true;
			s->evacuation_stop_us = pw_evacuation_stop_us(evacuation, timeout_us(e));
		}
		g_ptr_array_add(marked->entries, s);
	}
	return marked;
}
