#ifndef SR_PLATFORM_API_DECODE_H
#define SR_PLATFORM_API_DECODE_H

#include <glib.h>

#include "base/clock.h"

/**
 * Decoders of the platform's JSON answers. Depth and size are bounded. If one
 * element is malformed, the whole answer is rejected.
 */

/** Largest answer that is read, in bytes. */
#define SR_PLATFORM_ANSWER_MAX_BYTES (4 * 1024 * 1024)

/** sr_host_t - a host in the platform's list */
typedef struct {
	char *name;
	char *failure_domain;
	char *class;
	gboolean reclaimable;
	double price_per_hour;
	gboolean leaving; /* its state in the list is "leaving" */
} sr_host_t;

/** sr_notice_t - announcement that a host will be reclaimed */
typedef struct {
	guint64 sequence;
	char *host;
	sr_usec_t time_left; /* until the host is reclaimed */
} sr_notice_t;

/**
 * sr_decode_list, sr_decode_hosts, sr_decode_notices - decode an answer
 *
 * Returns a new array of sr_store_entry_t, sr_host_t or sr_notice_t that owns
 * its elements, or NULL if the answer is malformed. more is set to whether the
 * list of keys is incomplete.
 */
GPtrArray *sr_decode_list(GBytes *answer, gboolean *more);
GPtrArray *sr_decode_hosts(GBytes *answer);
GPtrArray *sr_decode_notices(GBytes *answer);

#endif
