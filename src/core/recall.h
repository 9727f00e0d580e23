#ifndef SR_CORE_RECALL_H
#define SR_CORE_RECALL_H

#include <glib.h>

#include "base/clock.h"
#include "core/store.h"

/**
 * sr_recall_t - the grow-only set of recalled versions
 *
 * A recall is in force here at once, then at the nodes that hear of it, then
 * it is kept as the platform object "recall/SERVICE/VERSION". It needs
 * neither a lease nor the platform. A node that has heard of a recall which
 * isn't kept yet writes it after a random wait, in case its author died.
 */
typedef struct sr_recall sr_recall_t;

/** Longest reason that is kept, in bytes. */
#define SR_RECALL_REASON_MAX 200

typedef struct {
	sr_store_t *store; /* borrowed */
	guint64 seed;
	/* a version is recalled from now on; called once for each */
	void (*recalled)(void *user, const char *service, const char *version,
			 const char *reason);
	/* spread this; version 2 says that the platform keeps it */
	void (*spread)(void *user, const char *key, guint64 version,
		       const char *reason);
	void *user;
} sr_recall_options_t;

sr_recall_t *sr_recall_new(const sr_recall_options_t *options);
void sr_recall_free(sr_recall_t *recall);

/** sr_recall_add - recall a version; a second time changes nothing. */
void sr_recall_add(sr_recall_t *recall, sr_usec_t now, const char *service,
		   const char *version, const char *reason);

/** sr_recall_heard - a rumour "SERVICE/VERSION" came in. */
void sr_recall_heard(sr_recall_t *recall, sr_usec_t now, const char *key,
		     guint64 version, const guint8 *reason, gsize size);

/** sr_recall_tick - write and read what is due; call every second. */
void sr_recall_tick(sr_recall_t *recall, sr_usec_t now);

/** sr_recall_is_kept - does the platform hold it, as far as known? */
gboolean sr_recall_is_kept(const sr_recall_t *recall, const char *service,
			   const char *version);

#endif
