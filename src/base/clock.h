#ifndef SR_BASE_CLOCK_H
#define SR_BASE_CLOCK_H

#include <glib.h>

/**
 * sr_usec_t - a monotonic time or a duration, in microseconds
 *
 * The monotonic time includes the time for which the host is suspended.
 */
typedef gint64 sr_usec_t;

#define SR_MSEC ((sr_usec_t)1000)
#define SR_SEC (1000 * SR_MSEC)
#define SR_MINUTE (60 * SR_SEC)
#define SR_HOUR (60 * SR_MINUTE)

/** Longest duration that is taken from others: a time and several of them can
 * be added without an overflow. */
#define SR_DURATION_MAX (10000 * SR_HOUR)

/**
 * sr_clock_t - source of time and timers
 *
 * A real clock reads the monotonic clock of the system and runs its timers
 * from the GLib main context. A manual clock changes only in
 * sr_clock_advance(), which also runs its timers, in order of due time.
 */
typedef struct sr_clock sr_clock_t;

/**
 * sr_timer_t - one pending timer
 *
 * Freed just before its function runs, or when it is cancelled.
 */
typedef struct sr_timer sr_timer_t;

typedef void (*sr_timer_fn)(void *user);

sr_clock_t *sr_clock_new_real(void);
sr_clock_t *sr_clock_new_manual(sr_usec_t start);

/**
 * sr_clock_free - free a clock; NULL is allowed
 *
 * The pending timers of a manual clock are cancelled. Those of a real clock
 * must be cancelled before.
 */
void sr_clock_free(sr_clock_t *clock);

/** sr_clock_now - current monotonic time. */
sr_usec_t sr_clock_now(const sr_clock_t *clock);

/**
 * sr_clock_wall_ns - wall clock time, in nanoseconds since the Unix epoch
 *
 * It follows every step of the wall clock, so it is for logs and traces only:
 * no decision may depend on it. A manual clock returns its own time.
 */
guint64 sr_clock_wall_ns(const sr_clock_t *clock);

/**
 * sr_clock_unix_ms - wall clock time with its steps delayed, in milliseconds
 * since the Unix epoch
 *
 * A step of the wall clock is adopted once it has lasted for longer than
 * SR_CLOCK_STEP_HOLD; until then the result advances at the monotonic rate.
 * A manual clock returns its own time.
 */
gint64 sr_clock_unix_ms(sr_clock_t *clock);

/** How long a step of the wall clock must last before it is adopted. */
#define SR_CLOCK_STEP_HOLD (30 * SR_SEC)

/** sr_clock_advance - advance a manual clock and run the timers due by then. */
void sr_clock_advance(sr_clock_t *clock, sr_usec_t by);

/** sr_timer_start - call fn(user) once, after delay. */
sr_timer_t *sr_timer_start(sr_clock_t *clock, sr_usec_t delay, sr_timer_fn fn,
			   void *user);

/** sr_timer_cancel - cancel a pending timer; NULL is allowed. */
void sr_timer_cancel(sr_timer_t *timer);

#endif
