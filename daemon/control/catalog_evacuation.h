/**
 * @file catalog_evacuation.h
 * Evacuated availability zones that the catalogue task knows, from its reads and watches. Used by
 * catalog.c only.
 */
#ifndef PW_DAEMON_CONTROL_CATALOG_EVACUATION_H
#define PW_DAEMON_CONTROL_CATALOG_EVACUATION_H

#include <stdbool.h>
#include <stdint.h>

#include "../directory.h"
#include "pw/codec/catalog.h"
#include "pw/store/store.h"

struct pw_evacuations;

/** @return an empty set; evacuations are followed if a setting and the environment have them */
struct pw_evacuations *pw_evacuations_new(const struct pw_directory *d,
					  const struct pw_catalog_source *source);
void pw_evacuations_free(struct pw_evacuations *e);

bool pw_evacuations_are_followed(const struct pw_evacuations *e);

/** @return whether the servers may be published: a complete read is known, or none is needed */
bool pw_evacuations_are_known(const struct pw_evacuations *e);

/** Collects the zone that an item of a page evacuates, if it does. */
void pw_evacuations_collect(struct pw_evacuations *e, const struct pw_store_kv *kv);
/** Drops what was collected of an incomplete read. */
void pw_evacuations_discard(struct pw_evacuations *e);

/** When and from which state of the store something was learned. */
struct pw_evacuations_source {
	const struct pw_server_list *servers; /**< tell which zones exist; NULL: not known yet */
	uint64_t now_us;
	uint64_t known_us; /**< when the zones were last known; see struct pw_evacuation */
	int64_t revision;  /**< of a read, as of its first page */
};

/**
 * Applies the collected zones of a complete read; all others have been returned. The watch may have
 * reported later changes than a read that took long, which is then ignored.
 *
 * @return whether the zones have changed
 */
bool pw_evacuations_apply_read(struct pw_evacuations *e, const struct pw_evacuations_source *from);

/** Applies the events of a watch that concern evacuations. @return whether the zones have changed
 */
bool pw_evacuations_apply_watched(struct pw_evacuations *e, const struct pw_store_watch_result *r,
				  const struct pw_evacuations_source *from);

/** @return digest of the evacuated zones, which does not depend on their order; 0: none */
uint64_t pw_evacuations_digest(const struct pw_evacuations *e);

/** @return the list with the servers of evacuated zones marked as leaving; a new reference */
struct pw_server_list *pw_evacuations_mark(const struct pw_evacuations *e,
					   const struct pw_server_list *servers);

#endif
