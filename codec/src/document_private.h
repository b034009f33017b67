/* Declarations shared by the source files of the document module. */
#ifndef PW_CODEC_DOCUMENT_PRIVATE_H
#define PW_CODEC_DOCUMENT_PRIVATE_H

#include <glib.h>
#include <jansson.h>
#include <stdatomic.h>

#include "pw/codec/document.h"

/** A snapshot with the fields that only this module uses. */
struct pw_document_impl {
	struct pw_document document; /**< first member, for conversion of pointers */
	atomic_uint ref_count;
	GPtrArray *allocations; /**< arrays and strings of the snapshot, freed with it */
	GHashTable *databases_by_name;
	GHashTable *accounts_by_name;
	const struct pw_document_route **routes_by_database;
	/**
	 * Index of the first route of each database in `routes_by_database`, then the number of all
	 * routes. The routes of database i end before index route_starts[i + 1].
	 */
	uint32_t *route_starts;
};

/** State of one parse. */
struct pw_document_parser {
	struct pw_document_impl *impl; /**< NULL until the text is known to be valid JSON */
	struct pw_findings *findings;
	uint32_t finding_count; /**< includes those that `findings` does not list */
};

/** Adds a finding. After PW_DOCUMENT_MAX_FINDINGS, further ones are only counted. */
void pw_document_add_finding(struct pw_document_parser *p, const char *location, const char *format,
			     ...) __attribute__((format(printf, 3, 4)));

/** @return zeroed memory that lives as long as the snapshot */
void *pw_document_alloc(struct pw_document_impl *impl, size_t size_bytes);
/** @return copy of the text that lives as long as the snapshot */
char *pw_document_strdup(struct pw_document_impl *impl, const char *text);

/**
 * Checks the depth and the number of values before the text is parsed.
 *
 * @return whether the text is within the limits; adds a finding if not
 */
bool pw_document_check_limits(struct pw_document_parser *p, const char *text, size_t size_bytes);

/** Reads the members of the root object, as the tables of fields describe them. */
void pw_document_read_members(struct pw_document_parser *p, json_t *root);

/** Checks that names and addresses are unique, resolves references and builds the indexes. */
void pw_document_resolve(struct pw_document_parser *p);

#endif
