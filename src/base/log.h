#ifndef SR_BASE_LOG_H
#define SR_BASE_LOG_H

#include <glib.h>
#include <stdio.h>

#include "base/clock.h"

/**
 * sr_log_t - structured logger that writes one logfmt line per event
 *
 * A line is `ts=... level=... node=... event=NAME key=value ...`; a value with
 * spaces, quotes or control bytes is quoted and escaped. At most
 * SR_LOG_BURST lines per event name are written each second; the number
 * that was left out follows on the next line that is written.
 */
typedef struct sr_log sr_log_t;

typedef enum {
	SR_LOG_DEBUG,
	SR_LOG_INFO,
	SR_LOG_WARN,
	SR_LOG_ERROR,
} sr_log_level_t;

#define SR_LOG_BURST 50

typedef struct {
	FILE *out; /* not closed by the logger; NULL discards all lines */
	sr_clock_t *clock;
	const char *node;
	sr_log_level_t level;
} sr_log_options_t;

sr_log_t *sr_log_new(const sr_log_options_t *options);
void sr_log_free(sr_log_t *log);
void sr_log_set_level(sr_log_t *log, sr_log_level_t level);

/** sr_log_level_parse - returns FALSE if the name is not a level. */
gboolean sr_log_level_parse(const char *name, sr_log_level_t *level);

/**
 * sr_log_event - write one line
 *
 * After the event name come pairs of `const char *key, const char *value`,
 * ended by NULL. A NULL value is written as an empty string. log may be NULL.
 */
void sr_log_event(sr_log_t *log, sr_log_level_t level, const char *event,
		  ...) G_GNUC_NULL_TERMINATED;

#endif
