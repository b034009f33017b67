/**
 * @file binding.h
 * Binding of the process to an environment: its store, the protocols of its callers and servers,
 * where its catalogue is published, and how a primary is promoted there.
 */
#ifndef PW_DAEMON_BINDING_H
#define PW_DAEMON_BINDING_H

#include "pw/codec/catalog.h"
#include "pw/codec/dialect.h"
#include "pw/store/store.h"
#include "pw/upstream/promoter.h"

/**
 * The tasks that run depend on the binding: with a `catalog`, the catalogue and cluster tasks,
 * otherwise the config, peers and monitor tasks; with a `caller` dialect, gateway tasks, otherwise
 * the front, ledger and group tasks.
 */
struct pw_binding {
	const char *name;
	int (*store_new)(struct pw_store **out, struct pw_loop *loop, const char *const *endpoints);
	/** NULL: a primary is promoted by a statement to the server itself. */
	int (*promoter_new)(struct pw_promoter **out, struct pw_loop *loop, const char *address);
	const struct pw_caller_dialect *caller;  /**< NULL: PostgreSQL, see traffic/front.h */
	const struct pw_server_dialect *server;  /**< NULL: PostgreSQL, see traffic/group.h */
	const struct pw_catalog_source *catalog; /**< NULL: the store has a service document */
};

/** All bindings and their names, in the same order, ended by NULL; the choices of `--binding`. */
extern const struct pw_binding *const pw_bindings[];
extern const char *const pw_binding_names[];

#endif
