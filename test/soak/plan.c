#include "plan.h"

#include <string.h>

/** Pauses between disruptions, and how long they last, in ms. */
#define PAUSE_MIN_MS 800
#define PAUSE_MAX_MS 6500
#define FOR_MIN_MS 1000
#define FOR_MAX_MS 6000

/** Pauses between changes of the configuration, and of a series, in ms. */
#define CHANGE_MIN_MS 400
#define CHANGE_MAX_MS 3500
#define SERIES_GAP_MS 330
#define SERIES_MAX 8

/** Share of the hosts that a disruption concerns at most. */
#define SHARE_MAX 0.6

/** Time at the end without a new disruption, in ms. */
#define CALM_MS 9000

static const struct {
	const char *name;
	gboolean is_of_store;
} kinds[SOAK_N_KINDS] = {
	[SOAK_KILL] = { "kill", FALSE },
	[SOAK_STOP] = { "stop", FALSE },
	[SOAK_FREEZE] = { "freeze", FALSE },
	[SOAK_CUT_STORE] = { "cut-store", FALSE },
	[SOAK_CUT_ONE_WAY] = { "cut-one-way", FALSE },
	[SOAK_REFUSE] = { "refuse", FALSE },
	[SOAK_CUT] = { "cut", FALSE },
	[SOAK_CUT_DOMAIN] = { "cut-domain", FALSE },
	[SOAK_SILENCE] = { "silence", FALSE },
	[SOAK_LOSSY] = { "lossy", FALSE },
	[SOAK_REPLACE] = { "replace", FALSE },
	[SOAK_STORE_SILENT] = { "store-silent", TRUE },
	[SOAK_STORE_BUSY] = { "store-busy", TRUE },
	[SOAK_STORE_RESET] = { "store-reset", TRUE },
	[SOAK_TURNED_SILENT] = { "turned-silent", TRUE },
	[SOAK_TURNED_BUSY] = { "turned-busy", TRUE },
	[SOAK_TURNED_MANY] = { "turned-many", TRUE },
	[SOAK_TURNED_RESET] = { "turned-reset", TRUE },
	[SOAK_STORE_SLOW] = { "store-slow", TRUE },
	[SOAK_STORE_LOST] = { "store-lost", TRUE },
	[SOAK_STORE_RESTORE] = { "store-restore", TRUE },
	[SOAK_STORE_COMPACT] = { "store-compact", TRUE },
};

const char *soak_kind_name(soak_kind_t kind)
{
	return kinds[kind].name;
}

gboolean soak_kind_is_of_store(soak_kind_t kind)
{
	return kinds[kind].is_of_store;
}

soak_kind_t soak_kind_by_name(const char *name)
{
	for (unsigned i = 0; i < SOAK_N_KINDS; i++) {
		if (!strcmp(kinds[i].name, name))
			return (soak_kind_t)i;
	}
	return SOAK_N_KINDS;
}

static soak_kind_t draw_kind(GRand *random, const soak_plan_options_t *options)
{
	guint32 theme = options->seed % 3;
	soak_kind_t kind;

	if (options->only != SOAK_N_KINDS)
		return options->only;
	do {
		kind = (soak_kind_t)g_rand_int_range(random, 0, SOAK_N_KINDS);
	} while ((theme == 0 && kinds[kind].is_of_store) ||
		 (theme == 1 && !kinds[kind].is_of_store));
	return kind;
}

static guint64 draw_hosts(GRand *random, soak_kind_t kind,
			  const soak_plan_options_t *options)
{
	unsigned n_hosts = options->n_hosts;
	unsigned n_domains = options->n_domains;
	unsigned n =
		1 + (unsigned)(g_rand_double(random) * SHARE_MAX * n_hosts);
	unsigned first = (unsigned)g_rand_int_range(random, 0, (gint32)n_hosts);
	guint64 hosts = 0;

	/* in two cases of three a single host */
	if (g_rand_int_range(random, 0, 3) > 0 &&
	    (kind == SOAK_FREEZE || kind == SOAK_KILL))
		n = 1;
	if (kind == SOAK_REPLACE)
		n = 1;
	if (kind == SOAK_SILENCE && g_rand_boolean(random))
		n = n_hosts;
	for (unsigned i = 0; i < n_hosts; i++) {
		gboolean is_chosen =
			kind == SOAK_CUT_DOMAIN ?
				i % n_domains == first % n_domains :
				(i + n_hosts - first) % n_hosts < n;

		hosts |= (guint64)is_chosen << i;
	}
	return hosts;
}

static gint compare_steps(gconstpointer a, gconstpointer b)
{
	gint64 first = ((const soak_step_t *)a)->at_ms;
	gint64 second = ((const soak_step_t *)b)->at_ms;

	return first < second ? -1 : first > second;
}

static void add_change(GArray *steps, GRand *random, gint64 at_ms)
{
	const soak_step_t step = {
		.at_ms = at_ms,
		.is_change = TRUE,
		.change = (soak_change_kind_t)g_rand_int_range(random, 0,
							       SOAK_N_CHANGES),
	};

	g_array_append_val(steps, step);
}

static void add_series(GArray *steps, GRand *random, gint64 at_ms)
{
	gint32 n = g_rand_int_range(random, 2, SERIES_MAX);

	for (gint32 i = 0; i < n; i++)
		add_change(steps, random, at_ms + i * SERIES_GAP_MS);
}

GArray *soak_plan_new(const soak_plan_options_t *options)
{
	GArray *steps = g_array_new(FALSE, FALSE, sizeof(soak_step_t));
	GRand *random = g_rand_new_with_seed(options->seed);
	gint64 at_ms = g_rand_int_range(random, 0, PAUSE_MIN_MS);

	while (at_ms < options->length_ms - CALM_MS) {
		soak_step_t step = {
			.at_ms = at_ms,
			.kind = draw_kind(random, options),
			.for_ms = g_rand_int_range(random, FOR_MIN_MS,
						   FOR_MAX_MS),
			.gap_ms = g_rand_int_range(random, 300, 1500),
		};

		step.hosts = draw_hosts(random, step.kind, options);
		g_array_append_val(steps, step);
		/* a change as the disruption ends, and one during it */
		if (g_rand_boolean(random))
			add_change(steps, random, at_ms + step.for_ms);
		if (g_rand_boolean(random))
			add_change(steps, random, at_ms + step.for_ms / 2);
		at_ms += g_rand_int_range(random, PAUSE_MIN_MS, PAUSE_MAX_MS);
	}
	for (at_ms = 0; at_ms < options->length_ms;
	     at_ms += g_rand_int_range(random, CHANGE_MIN_MS, CHANGE_MAX_MS)) {
		if (g_rand_int_range(random, 0, 6) == 0)
			add_series(steps, random, at_ms);
		else
			add_change(steps, random, at_ms);
	}
	g_array_sort(steps, compare_steps);
	g_rand_free(random);
	return steps;
}
