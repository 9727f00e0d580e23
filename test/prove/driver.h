#ifndef SR_TEST_PROVE_DRIVER_H
#define SR_TEST_PROVE_DRIVER_H

#include <stdio.h>

#include "prove.h"

/**
 * The driver runs many short runs of the models in child processes, so that
 * a failed assertion or an endless loop ends one run only.
 */

typedef struct {
	const prove_model_t *const *models; /* ends with NULL */
	guint64 seed;
	unsigned runs; /* over all models together */
	int only;      /* this run of each model alone; negative for all */
	unsigned jobs; /* child processes side by side */
	FILE *out;
} prove_options_t;

typedef struct {
	unsigned passed;
	unsigned failed;
} prove_total_t;

/**
 * prove_drive - run the models, print failures with a shortened command list
 *
 * What is printed depends on the options only, not on the number of jobs.
 */
prove_total_t prove_drive(const prove_options_t *options);

/** prove_random - next number of a small generator (splitmix64). */
static inline guint64 prove_random(guint64 *state)
{
	guint64 z = *state += 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

#endif
