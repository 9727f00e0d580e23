#ifndef SR_BASE_TRACE_H
#define SR_BASE_TRACE_H

#include <glib.h>
#include <stdio.h>

#include "base/clock.h"

/**
 * sr_trace_t - writer of trace spans, one JSON line for each sampled span
 *
 * Lines have the field names of an OTLP span (traceId, spanId, parentSpanId,
 * name, kind, startTimeUnixNano, endTimeUnixNano, attributes, status). The
 * spans of a request are connected by W3C Trace Context.
 */
typedef struct sr_trace sr_trace_t;

/** sr_span_t - an open span; NULL if it is not sampled. */
typedef struct sr_span sr_span_t;

/** Span kinds, numbered as in OTLP. */
typedef enum {
	SR_SPAN_INTERNAL = 1,
	SR_SPAN_SERVER = 2,
	SR_SPAN_CLIENT = 3,
} sr_span_kind_t;

/** Size of a traceparent value in bytes, with the terminating NUL. */
#define SR_TRACEPARENT_SIZE 56

/** sr_trace_context_t - position in a trace; ids are never all zero. */
typedef struct {
	guint8 trace_id[16];
	guint8 span_id[8];
	gboolean has_parent; /* span_id is an existing span, the parent */
	gboolean sampled;
} sr_trace_context_t;

typedef struct {
	FILE *out;	     /* borrowed, not closed; NULL writes nothing */
	sr_clock_t *clock;   /* borrowed */
	const char *node;    /* copied; NULL is written as "-" */
	double sample_ratio; /* ratio of new traces that are sampled, 0 to 1 */
	guint64 seed;	     /* for ids and sampling */
} sr_trace_options_t;

sr_trace_t *sr_trace_new(const sr_trace_options_t *options);
void sr_trace_free(sr_trace_t *trace);

/**
 * sr_trace_start - continue the caller's trace, or start a new one
 *
 * A valid traceparent is continued with its sampling decision. A new trace is
 * started if it is NULL or malformed.
 */
void sr_trace_start(sr_trace_t *trace, const char *traceparent,
		    sr_trace_context_t *context);

/** sr_trace_format - write the traceparent with this context as the parent. */
void sr_trace_format(const sr_trace_context_t *context,
		     char out[SR_TRACEPARENT_SIZE]);

/**
 * sr_span_begin - start a child span of parent
 *
 * child, if not NULL, receives the context of the new span, also if it is not
 * sampled. name is borrowed until sr_span_end(), which frees the span.
 */
sr_span_t *sr_span_begin(sr_trace_t *trace, const sr_trace_context_t *parent,
			 const char *name, sr_span_kind_t kind,
			 sr_trace_context_t *child);

/** sr_span_set - add a string attribute; a NULL span or value is ignored. */
void sr_span_set(sr_span_t *span, const char *key, const char *value);

/**
 * sr_span_end - write and free a span; a NULL span is ignored
 *
 * error is a message, or NULL for success.
 */
void sr_span_end(sr_span_t *span, const char *error);

#endif
