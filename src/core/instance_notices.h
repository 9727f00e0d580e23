#ifndef SR_CORE_INSTANCE_NOTICES_H
#define SR_CORE_INSTANCE_NOTICES_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_instance_notices_t - what an upstream instance has said of itself in its
 * responses
 *
 * Embedded in the instance and zero-initialised; a restarted instance is a new
 * one, and nothing of the earlier one applies to it.
 */

/** sr_notice_t - what one response says. */
typedef struct {
	gboolean has_rate_limit;
	double rate_limit; /* requests/s that it takes from all hosts */
} sr_notice_t;

typedef struct {
	gboolean is_limited;
	double rate_limit; /* requests/s */
} sr_instance_notices_t;

/** sr_notice_change_t - effects of a notice, as bits. */
typedef enum {
	SR_NOTICE_UNCHANGED = 0,
	SR_NOTICE_LIMIT_CHANGED = 1 << 0,
} sr_notice_change_t;

/** sr_instance_notices_hear - apply the notice of a response; returns a set of
 * sr_notice_change_t. A limit that is no longer named ends. */
unsigned sr_instance_notices_hear(sr_instance_notices_t *notices,
				  const sr_notice_t *notice);

#endif
