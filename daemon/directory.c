#include "directory.h"

#include <glib.h>
#include <string.h>

struct pw_mailbox *pw_directory_group(const struct pw_directory *d, const char *database)
{
	return d->groups[g_str_hash(database) % d->group_count];
}

uint64_t pw_directory_peer_number(const char *name)
{
	char *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, name, -1);
	char first[17];
	uint64_t n;

	g_strlcpy(first, hex, sizeof(first));
	n = g_ascii_strtoull(first, NULL, 16);
	g_free(hex);
	return n ? n : 1;
}

/* Region of a zone by the text ZONE=REGION,ZONE=REGION; @return whether it is named there */
static bool find_region(const char *zone_regions, const char *zone, const char **region,
			size_t *size_bytes)
{
	size_t zone_size = strlen(zone);

	for (const char *p = zone_regions; p && *p; p += strcspn(p, ","), p += *p == ',') {
		if (strncmp(p, zone, zone_size) != 0 || p[zone_size] != '=')
			continue;
		*region = p + zone_size + 1;
		*size_bytes = strcspn(*region, ",");
		return true;
	}
	return false;
}

enum pw_distance pw_directory_distance(const struct pw_directory *d, const char *zone)
{
	const struct pw_process_settings *s = d->settings;
	const char *own, *other;
	size_t own_size, other_size;

	if (strcmp(zone, s->availability_zone) == 0)
		return PW_DISTANCE_ZONE;
	if (find_region(s->zone_regions, s->availability_zone, &own, &own_size) &&
	    find_region(s->zone_regions, zone, &other, &other_size) &&
	    (own_size != other_size || strncmp(own, other, own_size) != 0))
		return PW_DISTANCE_REMOTE;
	return PW_DISTANCE_REGION;
}
