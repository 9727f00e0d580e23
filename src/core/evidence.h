#ifndef SR_CORE_EVIDENCE_H
#define SR_CORE_EVIDENCE_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_evidence_t - what the requests of each version and route came to, on
 * all nodes
 *
 * Each node counts its own requests; counters only grow. Nodes tell each
 * other their counters, and of two states of one node the one with more
 * requests is the newer, so that merging needs no order. Nodes that are gone
 * keep their last counters.
 *
 * Errors of a host, a failure domain or the platform are no evidence against
 * a version. An attempt that ended with its connection is held back for a
 * while. It counts only if its upstream is neither leaving nor absent, then
 * and at the end of that while, and another upstream of its failure domain
 * answered meanwhile.
 */
typedef struct sr_evidence sr_evidence_t;

/** Upstreams are spread over this many groups by their name, so that
 * a single faulty host can be told from a faulty version. */
#define SR_EVIDENCE_GROUPS 8

/** Buckets of the time to the first byte; each is half as long again. */
#define SR_EVIDENCE_BUCKETS 24

typedef struct {
	guint32 requests[SR_EVIDENCE_GROUPS];
	guint32 failures[SR_EVIDENCE_GROUPS];
	guint32 latency[SR_EVIDENCE_BUCKETS]; /* of answered requests */
} sr_evidence_counters_t;

typedef enum {
	SR_OUTCOME_ANSWERED,
	SR_OUTCOME_FAILED,     /* the upstream answered with a failure */
	SR_OUTCOME_CONNECTION, /* no connection, broken off or timed out */
} sr_outcome_t;

/** sr_observation_t - one attempt that ended. */
typedef struct {
	const char *service;
	const char *version;
	const char *route;
	const char *upstream;
	const char *failure_domain;
	sr_outcome_t outcome;
	sr_usec_t first_byte; /* time to it, 0 if there was none */
} sr_observation_t;

typedef struct {
	const char *node; /* with its incarnation: counters start at 0 */
	/* is the upstream leaving, or absent from the host list? */
	gboolean (*is_gone)(void *user, const char *upstream);
	/* own counters grew; spread them under the key and version */
	void (*changed)(void *user, const char *key, guint64 version,
			const guint8 *value, gsize size);
	void *user;
} sr_evidence_options_t;

sr_evidence_t *sr_evidence_new(const sr_evidence_options_t *options);
void sr_evidence_free(sr_evidence_t *evidence);

void sr_evidence_record(sr_evidence_t *evidence, sr_usec_t now,
			const sr_observation_t *observation);

/** sr_evidence_tick - settle what was held back and tell what changed; call
 * every second. */
void sr_evidence_tick(sr_evidence_t *evidence, sr_usec_t now);

/**
 * sr_evidence_heard - counters of another node
 *
 * Malformed values and older states change nothing.
 */
void sr_evidence_heard(sr_evidence_t *evidence, const char *key,
		       const guint8 *value, gsize size);

/** sr_evidence_total - sum over the nodes for a version and route. */
void sr_evidence_total(const sr_evidence_t *evidence, const char *service,
		       const char *version, const char *route,
		       sr_evidence_counters_t *total);

/** sr_evidence_requests - sum over the groups. */
guint32 sr_evidence_requests(const sr_evidence_counters_t *counters);

/** sr_evidence_bucket - of a time to the first byte. */
unsigned sr_evidence_bucket(sr_usec_t first_byte);

#endif
