#ifndef SR_CORE_EVACUATION_EVACUATIONS_H
#define SR_CORE_EVACUATION_EVACUATIONS_H

#include <glib.h>

/**
 * sr_evacuations_t - failure domains whose instances take no requests
 *
 * An operator evacuates a domain and later ends that. Hosts learn of both from
 * the platform and from each other, in any order and repeatedly. Of each domain
 * the state with the highest version counts, so that all hosts agree once they
 * have heard the same.
 */
typedef struct sr_evacuations sr_evacuations_t;

/** sr_evacuations_new - none; free with sr_evacuations_free(). */
sr_evacuations_t *sr_evacuations_new(void);
void sr_evacuations_free(sr_evacuations_t *evacuations);

/**
 * sr_evacuations_version - version of a change
 *
 * revision is the one that the platform gave the change; it must grow also when
 * the platform's store is restored. Of the same revision the end is higher.
 */
guint64 sr_evacuations_version(guint64 revision, gboolean is_evacuated);

/** sr_evacuations_is_end - whether a version is that of an end. */
gboolean sr_evacuations_is_end(guint64 version);

/** sr_evacuations_apply - returns TRUE if the domain is evacuated now and
 * wasn't before, or the other way round. */
gboolean sr_evacuations_apply(sr_evacuations_t *evacuations, const char *domain,
			      guint64 version);

/** sr_evacuations_has - whether the domain is evacuated. */
gboolean sr_evacuations_has(const sr_evacuations_t *evacuations,
			    const char *domain);

/** sr_evacuations_count - number of evacuated domains. */
unsigned sr_evacuations_count(const sr_evacuations_t *evacuations);

#endif
