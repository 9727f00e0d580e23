/* Drills of the platform's store beside starts and ends of entry hosts. */
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include "platform_drill_bed.h"

/** Reports before the trouble, and the time that they may take. */
#define REPORTS_BEFORE 6
#define REPORTS_MS 40000

/** Time between the first call of the duties and the copy that a drill brings
 * back. */
#define CALLS_BEFORE_COPY_MS 3000

/** Length of a usage window, the time until its report is due, and the time
 * after a drill in which a window that begins may be missed. */
#define WINDOW_MS 5000
#define DUE_MS 10000
#define UNSTABLE_MS 8000

/** Time between the change that revokes a key and the drill that takes it
 * back. */
#define REVOKED_BEFORE_MS 500

/** Pause between the end of a process and its next start, and two drills. */
#define RESTART_MS 300
#define DRILL_PAUSE_MS 1500

typedef struct {
	const char *name;
	unsigned n_hosts;
	unsigned copy_age_ms; /* before the store goes away */
	unsigned away_ms;
	unsigned n_drills;
	int holder_signal; /* sent to the holder of the duties; 0 for none */
	gboolean is_handed_over; /* the stop comes before the drill, which takes
				  * back that another host took the duties */
	gboolean kills_all;
	gboolean holder_stays; /* so that no window at all is missed */
	gboolean starts_away;  /* what was ended starts while the store is away,
				* not after it */
} scenario_t;

/* Each names the failure that it guards against. */
static const scenario_t scenarios[] = {
	/* One epoch was sent by two holders: a process that started after a
	 * drill took the epoch after that of the copy. */
	{ .name = "hand-over is taken back",
	  .n_hosts = 2,
	  .copy_age_ms = 5000,
	  .away_ms = 1000,
	  .n_drills = 1,
	  .holder_signal = SIGTERM,
	  .is_handed_over = TRUE },
	/* The same with three hosts, of which one sees both. */
	{ .name = "hand-over is taken back, three hosts",
	  .n_hosts = 3,
	  .copy_age_ms = 8000,
	  .away_ms = 2500,
	  .n_drills = 2,
	  .holder_signal = SIGTERM,
	  .is_handed_over = TRUE },
	/* After a drill no usage was reported any more, by any host: the read
	 * of a lease that was known from the earlier era was taken for a write.
	 */
	{ .name = "drill alone",
	  .n_hosts = 2,
	  .copy_age_ms = 5000,
	  .away_ms = 1000,
	  .n_drills = 1,
	  .holder_stays = TRUE },
	{ .name = "two drills",
	  .n_hosts = 3,
	  .copy_age_ms = 11000,
	  .away_ms = 1000,
	  .n_drills = 2,
	  .holder_stays = TRUE },
	{ .name = "away for longer than the lease",
	  .n_hosts = 3,
	  .copy_age_ms = 5000,
	  .away_ms = 4000,
	  .n_drills = 1 },
	/* One window was reported twice, with different counts: an older
	 * payload of the lease was taken for the latest one. */
	{ .name = "all are killed",
	  .n_hosts = 2,
	  .copy_age_ms = 5000,
	  .away_ms = 1000,
	  .n_drills = 1,
	  .kills_all = TRUE,
	  .starts_away = TRUE },
	{ .name = "all are killed twice",
	  .n_hosts = 3,
	  .copy_age_ms = 9000,
	  .away_ms = 2000,
	  .n_drills = 2,
	  .kills_all = TRUE },
	{ .name = "holder is killed, starts while the store is away",
	  .n_hosts = 3,
	  .copy_age_ms = 5000,
	  .away_ms = 3000,
	  .n_drills = 1,
	  .holder_signal = SIGKILL,
	  .starts_away = TRUE },
	{ .name = "holder is killed, starts after the drill",
	  .n_hosts = 3,
	  .copy_age_ms = 5000,
	  .away_ms = 1000,
	  .n_drills = 2,
	  .holder_signal = SIGKILL },
};

static pid_t runs[G_N_ELEMENTS(scenarios)];

static gboolean is_warm(const drill_bed_t *bed, const scenario_t *scenario)
{
	gint64 known_ms = (g_get_monotonic_time() - bed->first_call_at) / 1000;

	return bed->n_reports >= REPORTS_BEFORE &&
	       known_ms >= scenario->copy_age_ms + CALLS_BEFORE_COPY_MS;
}

static gboolean wait_for_reports(drill_bed_t *bed, const scenario_t *scenario)
{
	gint64 until = g_get_monotonic_time() + REPORTS_MS * 1000;

	while (!is_warm(bed, scenario) && g_get_monotonic_time() < until)
		run_for(20);
	return is_warm(bed, scenario);
}

/* A planned stop after which another host acts. */
static void hand_over(drill_bed_t *bed, unsigned holder)
{
	gint64 until = g_get_monotonic_time() + WINDOW_MS * 2 * 1000;

	kill(bed->pids[holder], SIGTERM);
	while (holder_of(bed) == holder && g_get_monotonic_time() < until)
		run_for(20);
	assert_int_not_equal(holder_of(bed), holder);
}

static void start_missing(drill_bed_t *bed)
{
	run_for(RESTART_MS);
	for (unsigned i = 0; i < bed->n_hosts; i++) {
		if (bed->pids[i] == 0)
			start_host(bed, i);
	}
}

static void drill(drill_bed_t *bed, const scenario_t *scenario, unsigned holder)
{
	gint64 away_until;

	revoke_key(bed);
	run_for(REVOKED_BEFORE_MS);
	bed->store.is_away = TRUE;
	away_until = g_get_monotonic_time() + scenario->away_ms * 1000;
	for (unsigned i = 0; i < bed->n_hosts; i++) {
		if (scenario->kills_all ||
		    (scenario->holder_signal == SIGKILL && i == holder))
			stop_host(bed, i, SIGKILL);
	}
	if (scenario->starts_away)
		start_missing(bed);
	while (g_get_monotonic_time() < away_until)
		run_for(20);
	restore_store(bed, scenario->copy_age_ms + scenario->away_ms);
	if (scenario->is_handed_over)
		stop_host(bed, holder, SIGTERM);
	start_missing(bed);
}

/* Two windows that begin after all bounds are reported in time. */
static unsigned count_missed(drill_bed_t *bed)
{
	gint64 now_ms = g_get_real_time() / 1000;
	gint64 first = (now_ms + UNSTABLE_MS) / WINDOW_MS + 1;
	unsigned n_missed = 2;

	while (n_missed > 0 && now_ms < (first + 2) * WINDOW_MS + DUE_MS) {
		run_for(100);
		now_ms = g_get_real_time() / 1000;
		n_missed = 0;
		for (gint64 i = first; i < first + 2; i++) {
			char *key = g_strdup_printf("%" G_GINT64_FORMAT, i);

			n_missed += !g_hash_table_contains(bed->reports, key);
			g_free(key);
		}
	}
	return n_missed;
}

/* Windows without a report between the first and the last one with. */
static unsigned count_gaps(const drill_bed_t *bed)
{
	guint64 first = G_MAXUINT64;
	guint64 last = 0;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, bed->reports);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		guint64 window = g_ascii_strtoull(key, NULL, 10);

		first = MIN(first, window);
		last = MAX(last, window);
	}
	return (unsigned)(last - first + 1) - g_hash_table_size(bed->reports);
}

static int run_scenario(const char *program, unsigned index)
{
	const scenario_t *scenario = &scenarios[index];
	drill_bed_t *bed = drill_bed_new(program, index, scenario->n_hosts);
	unsigned n_missed;
	unsigned n_gaps;
	unsigned n_revoked;
	unsigned holder;
	gboolean is_broken;

	if (!wait_for_reports(bed, scenario)) {
		print_message("%s: no reports before it\n", scenario->name);
		drill_bed_end(bed);
		return 2;
	}
	holder = holder_of(bed);
	if (scenario->is_handed_over)
		hand_over(bed, holder);
	for (unsigned i = 0; i < scenario->n_drills; i++) {
		if (i > 0)
			run_for(DRILL_PAUSE_MS);
		drill(bed, scenario, holder);
	}
	n_missed = count_missed(bed);
	n_gaps = count_gaps(bed);
	/* if all are killed, none knows what the store has lost */
	n_revoked = scenario->kills_all ? 0 : bed->n_revoked_runs;
	drill_bed_end(bed);
	print_message("%s: %u reports, %u with other counts; %u epochs of two "
		      "holders, %u lower than before; %u windows missed, %u "
		      "before; %u runs with a revoked key (%s)\n",
		      scenario->name, bed->n_reports, bed->n_conflicts,
		      bed->n_shared_epochs, bed->n_lower_epochs, n_missed,
		      n_gaps, bed->n_revoked_runs, bed->folder);
	is_broken = bed->n_conflicts + bed->n_shared_epochs +
			    bed->n_lower_epochs + n_missed + n_revoked +
			    (scenario->holder_stays ? n_gaps : 0) >
		    0;
	if (!is_broken)
		remove_logs(bed);
	return is_broken;
}

static void test_scenario(void **state)
{
	unsigned index = *(unsigned *)*state;
	int status;

	assert_int_equal(waitpid(runs[index], &status, 0), runs[index]);
	assert_true(WIFEXITED(status) && WEXITSTATUS(status) == 0);
}

/* The scenarios run side by side, each in a process of its own. */
int main(int argc, char **argv)
{
	struct CMUnitTest tests[G_N_ELEMENTS(scenarios)];
	static unsigned indexes[G_N_ELEMENTS(scenarios)];
	char *folder = g_path_get_dirname(argv[0]);
	char *program = g_build_filename(folder, "sassafrasd-platform", NULL);

	(void)argc;
	for (unsigned i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		const struct CMUnitTest test = { .name = scenarios[i].name,
						 .test_func = test_scenario,
						 .initial_state = &indexes[i] };

		indexes[i] = i;
		memcpy(&tests[i], &test, sizeof(test));
		runs[i] = fork();
		if (runs[i] == 0)
			exit(run_scenario(program, i));
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
