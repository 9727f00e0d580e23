#ifndef SR_CORE_EVIDENCE_H
#define SR_CORE_EVIDENCE_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_evidence_t - outcome counters of each version and route, on all nodes
 * (entry hosts)
 *
 * Each node counts its own requests and publishes the counters, which only
 * grow. Of two copies of a node's counters the one with more requests is newer,
 * so that copies can be merged in any order. The last counters of a node that
 * is gone are kept.
 *
 * Failures of a host, a failure domain or the platform must not count against a
 * version. An attempt that ended with a connection error is therefore held for
 * a few seconds. It then counts as a failure only if its upstream was neither
 * leaving nor absent at the start and at the end of that time, and another
 * upstream of the same failure domain has answered since the attempt ended.
 */
typedef struct sr_evidence sr_evidence_t;

/** Number of groups of upstreams, by a hash of their names. Counts per group
 * distinguish a single faulty host from a faulty version. */
#define SR_EVIDENCE_N_GROUPS 8

/** Number of buckets of the time to the first byte. The upper end of each
 * is 1.5 times that of the previous one. */
#define SR_EVIDENCE_N_BUCKETS 24

typedef struct {
	guint32 requests[SR_EVIDENCE_N_GROUPS];
	guint32 failures[SR_EVIDENCE_N_GROUPS];
	guint32 latency[SR_EVIDENCE_N_BUCKETS]; /* answered requests */
} sr_evidence_counters_t;

typedef enum {
	SR_OUTCOME_ANSWERED,
	SR_OUTCOME_FAILED,	     /* the upstream responded with an error */
	SR_OUTCOME_CONNECTION_ERROR, /* not connected, lost or timed out */
} sr_outcome_t;

/** sr_observation_t - a completed attempt. */
typedef struct {
	const char *service;
	const char *version;
	const char *route;
	const char *upstream;
	const char *failure_domain;
	sr_outcome_t outcome;
	/* time to the first byte; duration of the attempt if none came */
	sr_usec_t first_byte;
} sr_observation_t;

typedef struct {
	const char *node; /* with incarnation, since counters restart at 0 */
	/* returns TRUE if upstream is leaving or absent from the host list */
	gboolean (*is_gone)(void *user, const char *upstream);
	/* publishes this node's counters, which grew; of two values of a key
	 * the one with the higher version is newer */
	void (*publish_counters)(void *user, const char *key, guint64 version,
				 const guint8 *value, gsize size);
	void *user;
} sr_evidence_options_t;

/** sr_evidence_new - copy the options. */
sr_evidence_t *sr_evidence_new(const sr_evidence_options_t *options);
void sr_evidence_free(sr_evidence_t *evidence);

/** sr_evidence_record - count or hold a completed attempt. */
void sr_evidence_record(sr_evidence_t *evidence, sr_usec_t now,
			const sr_observation_t *observation);

/** sr_evidence_tick - resolve held attempts and publish; run every second. */
void sr_evidence_tick(sr_evidence_t *evidence, sr_usec_t now);

/**
 * sr_evidence_receive - merge the counters that another node published
 *
 * Malformed keys and values, this node's own key and older counters are
 * ignored.
 */
void sr_evidence_receive(sr_evidence_t *evidence, const char *key,
			 const guint8 *value, gsize size);

/** sr_evidence_total - counters of a version and route, over all nodes. */
void sr_evidence_total(const sr_evidence_t *evidence, const char *service,
		       const char *version, const char *route,
		       sr_evidence_counters_t *total);

/** sr_evidence_foreach_own - call fn with each series of this node's counters,
 * "service/version/route". */
void sr_evidence_foreach_own(const sr_evidence_t *evidence,
			     void (*fn)(void *user, const char *series,
					const sr_evidence_counters_t *counters),
			     void *user);

/** sr_evidence_add - add counters to a sum. */
void sr_evidence_add(sr_evidence_counters_t *sum,
		     const sr_evidence_counters_t *counters);

/** sr_evidence_request_count - requests of all groups. */
guint32 sr_evidence_request_count(const sr_evidence_counters_t *counters);

/** sr_evidence_latency_bucket - index for a time to the first byte. */
unsigned sr_evidence_latency_bucket(sr_usec_t first_byte);

#endif
