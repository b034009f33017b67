#include "directory.h"

#include <glib.h>
#include <string.h>

struct pw_mailbox *pw_directory_group_inbox(const struct pw_directory *d, const char *database)
{
	return d->groups[g_str_hash(database) % d->group_count];
}

uint64_t pw_directory_name_hash(const char *name)
{
	char *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, name, -1);
	char prefix[17];
	uint64_t hash;

	g_strlcpy(prefix, hex, sizeof(prefix));
	hash = g_ascii_strtoull(prefix, NULL, 16);
	g_free(hex);
	return hash ? hash : 1;
}

/*
 * Looks up the region of a zone in a text ZONE=REGION,ZONE=REGION. `region` points into that text
 * and is `size_bytes` long. Returns whether the zone is in the text.
 */
static bool find_region(const char *zone_regions, const char *zone, const char **region,
			size_t *size_bytes)
{
	size_t zone_size_bytes = strlen(zone);

	for (const char *p = zone_regions; p && *p; p += strcspn(p, ","), p += *p == ',') {
		if (strncmp(p, zone, zone_size_bytes) != 0 || p[zone_size_bytes] != '=')
			continue;
		*region = p + zone_size_bytes + 1;
		*size_bytes = strcspn(*region, ",");
		return true;
	}
	return false;
}

bool pw_directory_has_zone(const struct pw_directory *d, const char *zone)
{
	const char *region;
	size_t size_bytes;

	return find_region(d->settings->zone_regions, zone, &region, &size_bytes);
}

enum pw_distance pw_directory_zone_distance(const struct pw_directory *d, const char *zone)
{
	const struct pw_process_settings *s = d->settings;
	const char *own_region, *other_region;
	size_t own_size_bytes, other_size_bytes;

	if (strcmp(zone, s->availability_zone) == 0)
		return PW_DISTANCE_SAME_ZONE;
	if (find_region(s->zone_regions, s->availability_zone, &own_region, &own_size_bytes) &&
	    find_region(s->zone_regions, zone, &other_region, &other_size_bytes) &&
	    (own_size_bytes != other_size_bytes ||
	     strncmp(own_region, other_region, own_size_bytes) != 0))
		return PW_DISTANCE_OTHER_REGION;
	return PW_DISTANCE_SAME_REGION;
}
