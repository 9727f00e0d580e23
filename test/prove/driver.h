#ifndef SR_TEST_PROVE_DRIVER_H
#define SR_TEST_PROVE_DRIVER_H

#include <stdio.h>

#include "prove.h"

/**
 * Runs the models with random commands in child processes, so that a failed
 * assertion or an endless loop ends only one run.
 */

/** prove_options_t - borrowed by prove_run() */
typedef struct {
	const prove_model_t *const *models; /* NULL-terminated */
	guint64 seed;
	unsigned runs; /* of all models together */
	int only; /* index of the one run of each model; negative for all */
	unsigned jobs; /* concurrent child processes; 0 counts as 1 */
	FILE *out;     /* for the failed runs */
} prove_options_t;

/** prove_counts_t - number of runs that passed and failed */
typedef struct {
	unsigned passed;
	unsigned failed;
} prove_counts_t;

/**
 * prove_run - run the models and print each failed run
 *
 * A failed run is printed with a shortened command list, the command line that
 * repeats it and the violation. The output depends on the options only, not on
 * the number of jobs.
 */
prove_counts_t prove_run(const prove_options_t *options);

/** prove_random - advance a splitmix64 generator and return its number */
static inline guint64 prove_random(guint64 *state)
{
	guint64 z = *state += 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

#endif
