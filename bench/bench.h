#ifndef SR_BENCH_BENCH_H
#define SR_BENCH_BENCH_H

#include <glib.h>

/**
 * A bench measures one subject and prints its figures as "name: value" lines
 * with bench_print(). The same seed gives the same run.
 */
typedef struct {
	const char *name;
	void (*run)(guint64 seed);
} bench_t;

/** bench_print - one line "SUBJECT.FIGURE: value". */
void bench_print(const char *subject, const char *figure, double value);

void journal_bench_run(guint64 seed);
void policy_bench_run(guint64 seed);
void rollout_bench_run(guint64 seed);
void config_bench_run(guint64 seed);
void proxy_bench_run(guint64 seed);

#endif
