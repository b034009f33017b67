/**
 * @file primaries.h
 * What the fleet keeps in the store: the record of all primaries, and the entries of its members.
 * Both are JSON, so that operators can read them.
 */
#ifndef PW_CODEC_PRIMARIES_H
#define PW_CODEC_PRIMARIES_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Primary of one group. */
struct pw_primary {
	char *group;
	char *server_id;
	uint64_t generation; /**< grows with every change of the primary */
	bool changing;       /**< another server is about to be promoted */
	bool planned;        /**< `changing`: statements that run may end first */
};

/** All primaries, as one snapshot. */
struct pw_primaries {
	int64_t revision; /**< of the store */
	uint64_t fence;   /**< number of the newest order to promote */
	char *holder;     /**< VM that marked the last change */
	GPtrArray *list;  /**< struct pw_primary */
};

struct pw_primaries *pw_primaries_new(void);
/** @return copy with one reference, to be changed before it is shared */
struct pw_primaries *pw_primaries_copy(const struct pw_primaries *p);
struct pw_primaries *pw_primaries_ref(const struct pw_primaries *p);
void pw_primaries_unref(const struct pw_primaries *p);

/** @return primary of the group, or NULL */
struct pw_primary *pw_primaries_find(const struct pw_primaries *p, const char *group);
/** Adds a group, or replaces the server of one and ends its change. */
void pw_primaries_set(struct pw_primaries *p, const char *group, const char *server_id,
		      uint64_t generation);

/** @return JSON text, freed with g_free() */
char *pw_primaries_encode(const struct pw_primaries *p);
/** @return 0, or PW_EINVALID */
int pw_primaries_decode(struct pw_primaries **out, const char *text, size_t size_bytes,
			int64_t revision);

/** Entry of a member. */
struct pw_fleet_member {
	char *name;
	char *address; /**< IP:PORT for datagrams */
	char *availability_zone;
	uint64_t incarnation;
	int64_t lease_id; /**< that the entry ends with; not part of the text */
};

void pw_fleet_member_free(struct pw_fleet_member *m);
/** @return JSON text, freed with g_free() */
char *pw_fleet_member_encode(const struct pw_fleet_member *m);
/** @return 0, or PW_EINVALID */
int pw_fleet_member_decode(struct pw_fleet_member **out, const char *text, size_t size_bytes);

#endif
