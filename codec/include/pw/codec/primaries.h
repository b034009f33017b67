/**
 * @file primaries.h
 * Data that the fleet keeps in the store: the record of all primaries, and the entries of its
 * members. Both are JSON, so that operators can read them.
 */
#ifndef PW_CODEC_PRIMARIES_H
#define PW_CODEC_PRIMARIES_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A server of a replica set. */
struct pw_replica {
	char *id;
	char *address;    /**< IP:PORT */
	bool is_stopping; /**< a stop is planned: its log then goes to a new server at its address
			   */
};

/** The primary of a group. */
struct pw_primary {
	char *group;
	char *server_id;
	char *leader;        /**< VM that led the change to this server; NULL: none, or not known */
	uint64_t generation; /**< increases with every change of the primary */
	bool changing;       /**< mark: another server is about to be promoted */
	bool planned;        /**< only with `changing`: statements in flight may finish first */
	/**
	 * Only with `changing`: fencing token of the change that set the mark. 0: not known, since
	 * a build without this field has written the record.
	 */
	uint64_t mark_token;
	/** Only with `changing`: process that set the mark, and its VM; 0 and NULL: not known. */
	uint64_t mark_incarnation;
	char *mark_vm;
	/**
	 * struct pw_replica, the servers that may hold an acknowledged commit, the primary
	 * included; see pw/decide/replica_set.h. NULL: not known, as for asynchronous replication.
	 */
	GPtrArray *replica_set;
};

/** A snapshot of the record of all primaries. */
struct pw_primaries {
	int64_t revision;       /**< store revision of the record; 0: not stored yet */
	uint64_t fencing_token; /**< newest token; increases with every change of any primary */
	uint32_t era;           /**< era of the store in which the record was written; 0: none */
	/**
	 * Newest token of earlier eras whose changes the record contains; 0: none. See
	 * pw_primaries_merge().
	 */
	uint64_t restored_token;
	char *holder;       /**< VM that recorded the newest change; NULL: none */
	GPtrArray *entries; /**< struct pw_primary */
};

struct pw_primaries *pw_primaries_new(void);
/** @return a copy with one reference; the caller may change it until it is shared */
struct pw_primaries *pw_primaries_copy(const struct pw_primaries *p);
struct pw_primaries *pw_primaries_ref(const struct pw_primaries *p);
void pw_primaries_unref(const struct pw_primaries *p);

/** @return an empty replica set */
GPtrArray *pw_replica_set_new(void);
/** Adds a server to a replica set. */
void pw_replica_set_add(GPtrArray *set, const char *id, const char *address, bool is_stopping);
/** @return the server with that id, or NULL if the set, which may be NULL, lacks it */
const struct pw_replica *pw_replica_set_find(const GPtrArray *set, const char *id);
/**
 * Replaces the replica set of a group.
 *
 * @param set NULL: not known; otherwise the record takes it over
 */
void pw_primaries_set_replica_set(struct pw_primaries *p, const char *group, GPtrArray *set);

/** @return the primary of the group, or NULL */
struct pw_primary *pw_primaries_find(const struct pw_primaries *p, const char *group);
/**
 * Sets the primary of a group, adds the group if it is new, and clears the mark of a change.
 *
 * @param leader VM that led the change; NULL: none
 */
void pw_primaries_set(struct pw_primaries *p, const char *group, const char *server_id,
		      const char *leader, uint64_t generation);

/**
 * Marks a group of the record as changing with a new fencing token, which `holder` takes.
 *
 * @param holder      VM that leads the change
 * @param incarnation identifies its process
 */
void pw_primaries_mark(struct pw_primaries *p, const char *group, const char *holder,
		       uint64_t incarnation, bool planned);
/** Clears the mark of a group of the record. */
void pw_primaries_clear_mark(struct pw_primaries *p, const char *group);
/**
 * @return whether the group is marked by the change with this token. A mark without a token counts
 *         as set by it only if the record has no newer token.
 */
bool pw_primaries_is_marked_by(const struct pw_primaries *p, const char *group, uint64_t token);

/**
 * Tokens of an era start at the era shifted by this. So they are above those of all earlier eras,
 * which the restored copy may lack.
 */
#define PW_FENCING_TOKEN_ERA_SHIFT 40

/** Makes a record one of the era: sets its era and raises its fencing token to the era's first. */
void pw_primaries_set_era(struct pw_primaries *p, uint32_t era);

/**
 * Merges the record that the store has in a new era with one that a VM knows from an earlier era.
 * The copy that the store was restored from may lack changes of primary that were completed, and
 * lack or still carry marks. For each group the higher generation wins. With equal generations, the
 * mark of the record with the higher token counts; a record that was written in the new era keeps
 * its marks and gets those that it cannot know. Replica sets are united: which one is newer cannot
 * be told, and a server too many is only waited for. If one of two records lacks a group's set, or
 * the VM knows none of an earlier era, the set is not known.
 *
 * @param out    record to be written in place of the stored one, with its revision
 * @param stored NULL: the store has none
 * @param known  NULL: the VM knows none; otherwise of an era before `era`
 * @return whether `out` has to be written; false: the stored record contains all that is known
 */
bool pw_primaries_merge(struct pw_primaries **out, const struct pw_primaries *stored,
			const struct pw_primaries *known, uint32_t era);

/** @return JSON text; the caller frees it with g_free() */
char *pw_primaries_encode(const struct pw_primaries *p);
/**
 * Decodes a record.
 *
 * @param revision store revision of the text
 * @return 0, or PW_EINVALID with `out` unchanged
 */
int pw_primaries_decode(struct pw_primaries **out, const char *text, size_t size_bytes,
			int64_t revision);

/** The entry that a VM of the fleet has in the store. */
struct pw_fleet_member {
	char *name;
	char *address; /**< IP:PORT for datagrams */
	char *availability_zone;
	uint64_t incarnation; /**< random number that each start of the VM's process draws anew */
	int64_t lease_id;     /**< not used; 0 after decoding, as the JSON text has no lease */
};

void pw_fleet_member_free(struct pw_fleet_member *m);
/** @return JSON text; the caller frees it with g_free() */
char *pw_fleet_member_encode(const struct pw_fleet_member *m);
/** @return 0, or PW_EINVALID with `out` unchanged */
int pw_fleet_member_decode(struct pw_fleet_member **out, const char *text, size_t size_bytes);

#endif
