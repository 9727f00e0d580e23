#ifndef SR_BASE_LOG_H
#define SR_BASE_LOG_H

#include <glib.h>
#include <stdio.h>

#include "base/clock.h"

/**
 * sr_log_t - structured logger that writes one logfmt line per event
 *
 * A line is `ts=... level=... node=... event=NAME key=value ...`; a value that
 * is empty or has spaces, quotes, "=", backslashes or control bytes is quoted
 * and escaped. At most SR_LOG_BURST lines per event name are written each
 * second; the next line with this name has the number of suppressed lines as
 * `suppressed=N`.
 */
typedef struct sr_log sr_log_t;

typedef enum {
	SR_LOG_DEBUG,
	SR_LOG_INFO,
	SR_LOG_WARN,
	SR_LOG_ERROR,
} sr_log_level_t;

/** Lines written per event name and second. */
#define SR_LOG_BURST 50

typedef struct {
	FILE *out;	   /* borrowed, not closed; NULL discards all lines */
	sr_clock_t *clock; /* borrowed */
	const char *node;  /* copied; NULL is logged as "-" */
	sr_log_level_t level; /* lowest level that is written */
} sr_log_options_t;

sr_log_t *sr_log_new(const sr_log_options_t *options);
void sr_log_free(sr_log_t *log);

/** sr_log_set_level - set the lowest level that is written. */
void sr_log_set_level(sr_log_t *log, sr_log_level_t level);

/** sr_log_level_parse - look up a level by name; FALSE if there is none. */
gboolean sr_log_level_parse(const char *name, sr_log_level_t *level);

/**
 * sr_log_event - write one line
 *
 * The event name is followed by pairs of `const char *key, const char *value`
 * and a final NULL. A NULL value is written as an empty string. A NULL log
 * writes nothing.
 */
void sr_log_event(sr_log_t *log, sr_log_level_t level, const char *event,
		  ...) G_GNUC_NULL_TERMINATED;

#endif
