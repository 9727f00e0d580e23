#include "base/loop_watch.h"

struct sr_loop_watch {
	GSource base;
	sr_clock_t *clock;
	sr_log_t *log;
	sr_histogram_t *turns;
	sr_usec_t started_at; /* of the turn; 0 before the first */
};

static void log_long_turn(const sr_loop_watch_t *watch, sr_usec_t turn)
{
	char ms[24];

	g_snprintf(ms, sizeof(ms), "%" G_GINT64_FORMAT, turn / SR_MSEC);
	sr_log_event(watch->log, SR_LOG_WARN, "loop-turn-long", "ms", ms, NULL);
}

/* The source has the highest priority, so that this is called before any other
 * one, just before the poll. */
static gboolean end_turn(GSource *base, gint *timeout)
{
	sr_loop_watch_t *watch = (sr_loop_watch_t *)base;
	sr_usec_t turn;

	*timeout = -1;
	if (watch->started_at == 0)
		return FALSE;
	turn = sr_clock_now(watch->clock) - watch->started_at;
	watch->started_at = 0;
	sr_histogram_observe(watch->turns, (double)turn / SR_SEC);
	if (turn >= SR_LOOP_TURN_LONG)
		log_long_turn(watch, turn);
	return FALSE;
}

static gboolean begin_turn(GSource *base)
{
	sr_loop_watch_t *watch = (sr_loop_watch_t *)base;

	watch->started_at = sr_clock_now(watch->clock);
	return FALSE;
}

static GSourceFuncs watch_funcs = {
	.prepare = end_turn,
	.check = begin_turn,
};

sr_loop_watch_t *sr_loop_watch_new(sr_clock_t *clock, sr_log_t *log,
				   sr_metrics_t *metrics)
{
	GSource *base = g_source_new(&watch_funcs, sizeof(sr_loop_watch_t));
	sr_loop_watch_t *watch = (sr_loop_watch_t *)base;

	watch->clock = clock;
	watch->log = log;
	watch->turns = sr_metrics_histogram(
		metrics, "sassafras_loop_turn_seconds",
		"from the end of a poll to the next one", NULL);
	g_source_set_priority(base, G_MININT);
	g_source_attach(base, NULL);
	return watch;
}

void sr_loop_watch_free(sr_loop_watch_t *watch)
{
	if (!watch)
		return;
	g_source_destroy(&watch->base);
	g_source_unref(&watch->base);
}
