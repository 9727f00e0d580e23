#ifndef SR_CORE_RECALL_H
#define SR_CORE_RECALL_H

#include <glib.h>

#include "base/clock.h"
#include "core/store.h"

/**
 * sr_recall_t - the grow-only set of recalled versions
 *
 * A recall takes effect on this node at once and on other nodes when they
 * receive its rumour; neither a lease nor the platform is needed. It is then
 * stored as the platform object "recall/SERVICE/VERSION". A node that received
 * a recall which is not stored yet writes it after a random delay, in case the
 * node that issued it has failed.
 */
typedef struct sr_recall sr_recall_t;

/** Longest reason, in bytes; the rest is cut off. */
#define SR_RECALL_REASON_MAX 200

/** sr_recall_options_t - copied by sr_recall_new(). */
typedef struct {
	sr_store_t *store; /* borrowed */
	guint64 seed;
	/* a version is recalled from now on; called once per version */
	void (*recalled)(void *user, const char *service, const char *version,
			 const char *reason);
	/* publish a rumour; version 1: recalled, 2: stored by the platform */
	void (*publish)(void *user, const char *key, guint64 version,
			const char *reason);
	void *user;
} sr_recall_options_t;

/** sr_recall_new - copy the options. */
sr_recall_t *sr_recall_new(const sr_recall_options_t *options);

/** sr_recall_free - drops calls in flight; NULL is allowed. */
void sr_recall_free(sr_recall_t *recall);

/** sr_recall_add - recall a version; ignored if it is recalled already. */
void sr_recall_add(sr_recall_t *recall, sr_usec_t now, const char *service,
		   const char *version, const char *reason);

/**
 * sr_recall_receive - apply a rumour from another node
 *
 * The key is "SERVICE/VERSION"; malformed keys are ignored. The reason need not
 * be NUL-terminated.
 */
void sr_recall_receive(sr_recall_t *recall, sr_usec_t now, const char *key,
		       guint64 version, const guint8 *reason, gsize size);

/** sr_recall_tick - send due writes and lists; run every second. */
void sr_recall_tick(sr_recall_t *recall, sr_usec_t now);

/** sr_recall_is_stored - whether the recall is known to be stored. */
gboolean sr_recall_is_stored(const sr_recall_t *recall, const char *service,
			     const char *version);

#endif
