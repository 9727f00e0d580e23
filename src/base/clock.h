#ifndef SR_BASE_CLOCK_H
#define SR_BASE_CLOCK_H

#include <glib.h>

/**
 * sr_usec_t - monotonic time, which counts on while the host is
 * suspended, or a duration, in microseconds
 */
typedef gint64 sr_usec_t;

#define SR_MSEC ((sr_usec_t)1000)
#define SR_SEC (1000 * SR_MSEC)
#define SR_MINUTE (60 * SR_SEC)
#define SR_HOUR (60 * SR_MINUTE)

/**
 * sr_clock_t - the clock of the runtime
 *
 * A real clock follows the monotonic clock and runs its timers from the GLib
 * main context. A manual clock stands still until sr_clock_advance() moves
 * it; its timers run inside that call, in order of their due time.
 */
typedef struct sr_clock sr_clock_t;

/** sr_timer_t - one pending timer; freed when it has run or is cancelled. */
typedef struct sr_timer sr_timer_t;

typedef void (*sr_timer_fn)(void *user);

sr_clock_t *sr_clock_new_real(void);
sr_clock_t *sr_clock_new_manual(sr_usec_t start);
void sr_clock_free(sr_clock_t *clock);

/** sr_clock_now - current monotonic time. */
sr_usec_t sr_clock_now(const sr_clock_t *clock);

/**
 * sr_clock_wall_ns - nanoseconds since the Unix epoch, for logs and traces
 * only; no decision may depend on it. A manual clock returns its own time.
 */
guint64 sr_clock_wall_ns(const sr_clock_t *clock);

/**
 * sr_clock_unix_ms - time of day in Unix milliseconds, without its steps
 *
 * A jump of the wall clock is not followed until it has lasted for
 * SR_CLOCK_STEP_HOLD; between that the time runs on evenly.
 */
gint64 sr_clock_unix_ms(sr_clock_t *clock);

/** A step of the wall clock is believed after this time. */
#define SR_CLOCK_STEP_HOLD (30 * SR_SEC)

/** sr_clock_advance - move a manual clock, running the timers that fall due. */
void sr_clock_advance(sr_clock_t *clock, sr_usec_t by);

/** sr_timer_start - call fn(user) once, after delay. */
sr_timer_t *sr_timer_start(sr_clock_t *clock, sr_usec_t delay, sr_timer_fn fn,
			   void *user);

/** sr_timer_cancel - cancel a pending timer; NULL is allowed. */
void sr_timer_cancel(sr_timer_t *timer);

#endif
