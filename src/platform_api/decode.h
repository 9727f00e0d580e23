#ifndef SR_PLATFORM_API_DECODE_H
#define SR_PLATFORM_API_DECODE_H

#include <glib.h>

#include "base/clock.h"

/**
 * Decoders of the platform's JSON answers. Depth and size are bounded; an
 * answer that does not have the documented form is rejected as a whole.
 */

/** Largest answer that is read, in bytes. */
#define SR_PLATFORM_ANSWER_MAX (4 * 1024 * 1024)

typedef struct {
	char *name;
	char *failure_domain;
	char *class;
	gboolean reclaimable;
	double price_per_hour;
	gboolean leaving;
} sr_host_t;

typedef struct {
	guint64 sequence;
	char *host;
	sr_usec_t in; /* time left until the host is reclaimed */
} sr_notice_t;

/**
 * The decoders return a new array that owns its elements, or NULL.
 *
 * sr_decode_list gives sr_store_entry_t, sr_decode_hosts gives sr_host_t and
 * sr_decode_notices gives sr_notice_t.
 */
GPtrArray *sr_decode_list(GBytes *answer, gboolean *more);
GPtrArray *sr_decode_hosts(GBytes *answer);
GPtrArray *sr_decode_notices(GBytes *answer);

#endif
