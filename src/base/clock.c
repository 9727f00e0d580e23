#include "base/clock.h"

#include <time.h>

struct sr_clock {
	gboolean manual;
	sr_usec_t now;
	GSequence *timers; /* manual clocks only, ordered by due time */
	guint64 next_serial;
	/* from monotonic time to sr_clock_unix_ms(); 0 before its first call */
	sr_usec_t wall_offset;
	sr_usec_t step_started; /* 0 if no step is pending */
};

/* Smaller changes of the wall clock's offset are drift, not a step. */
#define MIN_STEP (200 * SR_MSEC)

struct sr_timer {
	sr_clock_t *clock;
	sr_usec_t due;
	guint64 serial; /* orders timers that are due at the same time */
	sr_timer_fn fn;
	void *user;
	guint source_id;	/* real clocks only */
	GSequenceIter *pending; /* manual clocks only */
};

static gint compare_timers(gconstpointer a, gconstpointer b, gpointer unused)
{
	const sr_timer_t *x = a;
	const sr_timer_t *y = b;

	if (x->due != y->due)
		return x->due < y->due ? -1 : 1;
	return x->serial < y->serial ? -1 : x->serial > y->serial;
}

static gboolean run_timer(gpointer data)
{
	sr_timer_t *timer = data;
	sr_timer_fn fn = timer->fn;
	void *user = timer->user;

	g_free(timer);
	fn(user);
	return G_SOURCE_REMOVE;
}

static sr_clock_t *new_clock(gboolean manual, sr_usec_t start)
{
	sr_clock_t *clock = g_new0(sr_clock_t, 1);

	clock->manual = manual;
	clock->now = start;
	clock->timers = g_sequence_new(NULL);
	return clock;
}

sr_clock_t *sr_clock_new_real(void)
{
	return new_clock(FALSE, 0);
}

sr_clock_t *sr_clock_new_manual(sr_usec_t start)
{
	return new_clock(TRUE, start);
}

void sr_clock_free(sr_clock_t *clock)
{
	if (!clock)
		return;
	while (g_sequence_get_length(clock->timers) > 0)
		sr_timer_cancel(g_sequence_get(
			g_sequence_get_begin_iter(clock->timers)));
	g_sequence_free(clock->timers);
	g_free(clock);
}

sr_usec_t sr_clock_now(const sr_clock_t *clock)
{
	struct timespec now;

	if (clock->manual)
		return clock->now;
	clock_gettime(CLOCK_BOOTTIME, &now);
	return (sr_usec_t)now.tv_sec * SR_SEC + now.tv_nsec / 1000;
}

guint64 sr_clock_wall_ns(const sr_clock_t *clock)
{
	if (clock->manual)
		return (guint64)clock->now * 1000;
	return (guint64)g_get_real_time() * 1000;
}

gint64 sr_clock_unix_ms(sr_clock_t *clock)
{
	sr_usec_t now = sr_clock_now(clock);
	sr_usec_t offset;

	if (clock->manual)
		return now / SR_MSEC;
	offset = g_get_real_time() - now;
	if (clock->wall_offset == 0)
		clock->wall_offset = offset;
	if (ABS(offset - clock->wall_offset) < MIN_STEP) {
		clock->step_started = 0;
	} else if (clock->step_started == 0) {
		clock->step_started = now;
	} else if (now - clock->step_started > SR_CLOCK_STEP_HOLD) {
		clock->wall_offset = offset;
		clock->step_started = 0;
	}
	return (now + clock->wall_offset) / SR_MSEC;
}

void sr_clock_advance(sr_clock_t *clock, sr_usec_t by)
{
	sr_usec_t target = clock->now + by;

	g_assert(clock->manual && by >= 0);
	while (g_sequence_get_length(clock->timers) > 0) {
		GSequenceIter *first = g_sequence_get_begin_iter(clock->timers);
		sr_timer_t *timer = g_sequence_get(first);

		if (timer->due > target)
			break;
		clock->now = MAX(clock->now, timer->due);
		g_sequence_remove(first);
		run_timer(timer);
	}
	clock->now = target;
}

sr_timer_t *sr_timer_start(sr_clock_t *clock, sr_usec_t delay, sr_timer_fn fn,
			   void *user)
{
	sr_timer_t *timer = g_new0(sr_timer_t, 1);

	timer->clock = clock;
	timer->due = sr_clock_now(clock) + MAX(delay, 0);
	timer->serial = clock->next_serial++;
	timer->fn = fn;
	timer->user = user;
	if (clock->manual)
		timer->pending = g_sequence_insert_sorted(clock->timers, timer,
							  compare_timers, NULL);
	else
		timer->source_id = g_timeout_add(
			(guint)((MAX(delay, 0) + SR_MSEC - 1) / SR_MSEC),
			run_timer, timer);
	return timer;
}

void sr_timer_cancel(sr_timer_t *timer)
{
	if (!timer)
		return;
	if (timer->clock->manual)
		g_sequence_remove(timer->pending);
	else
		g_source_remove(timer->source_id);
	g_free(timer);
}
