#ifndef SR_BASE_TRACE_H
#define SR_BASE_TRACE_H

#include <glib.h>
#include <stdio.h>

#include "base/clock.h"

/**
 * sr_trace_t - writes one JSON line for each sampled span
 *
 * Lines carry the field names of an OTLP span (traceId, spanId, parentSpanId,
 * name, kind, startTimeUnixNano, endTimeUnixNano, attributes, status). Spans
 * of a request are joined by the W3C trace context.
 */
typedef struct sr_trace sr_trace_t;

/** sr_span_t - one hop that is being timed; NULL is a span not sampled. */
typedef struct sr_span sr_span_t;

/** Span kinds, with the numbers that OTLP gives them. */
typedef enum {
	SR_SPAN_INTERNAL = 1,
	SR_SPAN_SERVER = 2,
	SR_SPAN_CLIENT = 3,
} sr_span_kind_t;

/** Size of a traceparent value with its end, in bytes. */
#define SR_TRACEPARENT_SIZE 56

/** sr_trace_context_t - the position in a trace; ids are never all zero. */
typedef struct {
	guint8 trace_id[16];
	guint8 span_id[8];
	gboolean has_parent; /* span_id names the caller's span */
	gboolean sampled;
} sr_trace_context_t;

typedef struct {
	FILE *out; /* not closed; NULL writes nothing */
	sr_clock_t *clock;
	const char *node;
	double sample; /* share of new traces that are sampled, 0 to 1 */
	guint64 seed;  /* of ids and of sampling */
} sr_trace_options_t;

sr_trace_t *sr_trace_new(const sr_trace_options_t *options);
void sr_trace_free(sr_trace_t *trace);

/**
 * sr_trace_start - enter a trace
 *
 * Takes over a valid traceparent with its sampling decision, and starts a new
 * trace if it is NULL or malformed.
 */
void sr_trace_start(sr_trace_t *trace, const char *traceparent,
		    sr_trace_context_t *context);

/** sr_trace_format - the traceparent that names this context as the parent. */
void sr_trace_format(const sr_trace_context_t *context,
		     char out[SR_TRACEPARENT_SIZE]);

/**
 * sr_span_begin - start a span below parent
 *
 * child, if not NULL, receives the context of the new span, also if it is
 * not sampled. The span is ended by sr_span_end(), which frees it.
 */
sr_span_t *sr_span_begin(sr_trace_t *trace, const sr_trace_context_t *parent,
			 const char *name, sr_span_kind_t kind,
			 sr_trace_context_t *child);

/** sr_span_set - add an attribute; a NULL span or value is ignored. */
void sr_span_set(sr_span_t *span, const char *key, const char *value);

/** sr_span_end - write the line; error is a message, or NULL for success. */
void sr_span_end(sr_span_t *span, const char *error);

#endif
