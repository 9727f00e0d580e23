#ifndef SR_EMULATOR_BUCKET_H
#define SR_EMULATOR_BUCKET_H

#include <glib.h>

#include "base/clock.h"

/** sr_emu_bucket_t - token bucket that holds one second's worth. */
typedef struct {
	double per_s; /* 0 for no limit */
	double level;
	sr_usec_t filled; /* when level was true */
} sr_emu_bucket_t;

/** sr_emu_bucket_take - returns FALSE if amount is not there. */
static inline gboolean sr_emu_bucket_take(sr_emu_bucket_t *bucket,
					  sr_usec_t now, double amount)
{
	double gained = bucket->per_s * (double)(now - bucket->filled) / SR_SEC;

	if (bucket->per_s <= 0)
		return TRUE;
	bucket->level = MIN(bucket->level + gained, MAX(bucket->per_s, amount));
	bucket->filled = now;
	if (bucket->level < amount)
		return FALSE;
	bucket->level -= amount;
	return TRUE;
}

#endif
