#ifndef SR_EMULATOR_BUCKET_H
#define SR_EMULATOR_BUCKET_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_emu_bucket_t - token bucket rate limiter
 *
 * Its capacity is the refill of one second, or the amount taken if that is
 * larger.
 */
typedef struct {
	double rate_per_s; /* 0 for no limit */
	double level;
	sr_usec_t updated_at; /* time at which level was computed */
} sr_emu_bucket_t;

/**
 * sr_emu_bucket_take - take an amount from the bucket
 *
 * Returns FALSE and takes nothing if the bucket holds less.
 */
static inline gboolean sr_emu_bucket_take(sr_emu_bucket_t *bucket,
					  sr_usec_t now, double amount)
{
	double refill = bucket->rate_per_s *
			(double)(now - bucket->updated_at) / SR_SEC;

	if (bucket->rate_per_s <= 0)
		return TRUE;
	bucket->level =
		MIN(bucket->level + refill, MAX(bucket->rate_per_s, amount));
	bucket->updated_at = now;
	if (bucket->level < amount)
		return FALSE;
	bucket->level -= amount;
	return TRUE;
}

#endif
