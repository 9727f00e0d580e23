#ifndef SR_BENCH_BENCH_H
#define SR_BENCH_BENCH_H

#include <glib.h>

/**
 * bench_t - one benchmark, selected by its name
 *
 * run() measures one subject and prints its figures with bench_print(). All
 * benches but "proxy" are simulations: the same seed gives the same figures.
 * "proxy" measures real processes and ignores the seed.
 */
typedef struct {
	const char *name;
	void (*run)(guint64 seed);
} bench_t;

/** bench_print - print the line "SUBJECT.FIGURE: VALUE" to stdout. */
void bench_print(const char *subject, const char *figure, double value);

void journal_bench_run(guint64 seed);
void policy_bench_run(guint64 seed);
void rollout_bench_run(guint64 seed);
void config_bench_run(guint64 seed);
void proxy_bench_run(guint64 seed);

#endif
