#include "base/trace.h"

#include <json-c/json.h>
#include <string.h>

/* Status codes of OTLP. */
#define STATUS_OK 1
#define STATUS_ERROR 2

struct sr_trace {
	FILE *out;
	sr_clock_t *clock;
	char *node;
	double sample_ratio;
	GRand *rand;
};

struct sr_span {
	sr_trace_t *trace;
	json_object *attributes;
	guint64 start_ns;
	const char *name;
	sr_span_kind_t kind;
	sr_trace_context_t context;
	gboolean has_parent;
	guint8 parent_id[8];
};

sr_trace_t *sr_trace_new(const sr_trace_options_t *options)
{
	sr_trace_t *trace = g_new0(sr_trace_t, 1);
	const guint32 seed[] = { (guint32)options->seed,
				 (guint32)(options->seed >> 32) };

	trace->out = options->out;
	trace->clock = options->clock;
	trace->node = g_strdup(options->node ? options->node : "-");
	trace->sample_ratio = options->sample_ratio;
	trace->rand = g_rand_new_with_seed_array(seed, G_N_ELEMENTS(seed));
	return trace;
}

void sr_trace_free(sr_trace_t *trace)
{
	if (!trace)
		return;
	g_rand_free(trace->rand);
	g_free(trace->node);
	g_free(trace);
}

static void generate_id(sr_trace_t *trace, guint8 *id, gsize size)
{
	for (gsize i = 0; i < size; i++)
		id[i] = (guint8)g_rand_int(trace->rand);
	id[0] |= 1; /* an id of all zeros is invalid */
}

/* Parses size bytes in lower-case hex; FALSE if malformed or all zero. */
static gboolean parse_id(const char *text, guint8 *id, gsize size)
{
	guint8 all_bits = 0;

	for (gsize i = 0; i < size; i++) {
		int high = g_ascii_xdigit_value(text[2 * i]);
		int low = g_ascii_xdigit_value(text[2 * i + 1]);

		if (high < 0 || low < 0 || g_ascii_isupper(text[2 * i]) ||
		    g_ascii_isupper(text[2 * i + 1]))
			return FALSE;
		id[i] = (guint8)(high << 4 | low);
		all_bits |= id[i];
	}
	return all_bits != 0;
}

static void format_id(const guint8 *id, gsize size, char *out)
{
	for (gsize i = 0; i < size; i++)
		g_snprintf(out + 2 * i, 3, "%02x", id[i]);
}

/* Format of W3C Trace Context: "00-" trace id "-" span id "-" flags. */
static gboolean parse_traceparent(const char *text, sr_trace_context_t *context)
{
	guint8 flags[1] = { 0 };

	if (!text || strlen(text) != SR_TRACEPARENT_SIZE - 1 ||
	    !g_str_has_prefix(text, "00-") || text[35] != '-' ||
	    text[52] != '-')
		return FALSE;
	if (!parse_id(text + 3, context->trace_id, 16) ||
	    !parse_id(text + 36, context->span_id, 8))
		return FALSE;
	/* Flags may be zero, which parse_id() rejects. */
	if (!parse_id(text + 53, flags, 1) && !g_str_equal(text + 53, "00"))
		return FALSE;
	context->sampled = flags[0] & 1;
	context->has_parent = TRUE;
	return TRUE;
}

void sr_trace_start(sr_trace_t *trace, const char *traceparent,
		    sr_trace_context_t *context)
{
	memset(context, 0, sizeof(*context));
	if (parse_traceparent(traceparent, context))
		return;
	memset(context, 0, sizeof(*context));
	generate_id(trace, context->trace_id, sizeof(context->trace_id));
	generate_id(trace, context->span_id, sizeof(context->span_id));
	context->sampled = g_rand_double(trace->rand) < trace->sample_ratio;
}

void sr_trace_format(const sr_trace_context_t *context,
		     char out[SR_TRACEPARENT_SIZE])
{
	char trace_id[33];
	char span_id[17];

	format_id(context->trace_id, sizeof(context->trace_id), trace_id);
	format_id(context->span_id, sizeof(context->span_id), span_id);
	g_snprintf(out, SR_TRACEPARENT_SIZE, "00-%s-%s-%02x", trace_id, span_id,
		   context->sampled ? 1U : 0U);
}

sr_span_t *sr_span_begin(sr_trace_t *trace, const sr_trace_context_t *parent,
			 const char *name, sr_span_kind_t kind,
			 sr_trace_context_t *child)
{
	sr_trace_context_t context = *parent;
	sr_span_t *span;

	generate_id(trace, context.span_id, sizeof(context.span_id));
	context.has_parent = TRUE;
	if (child)
		*child = context;
	if (!parent->sampled || !trace->out)
		return NULL;
	span = g_new0(sr_span_t, 1);
	span->trace = trace;
	span->attributes = json_object_new_array();
	span->start_ns = sr_clock_wall_ns(trace->clock);
	span->name = name;
	span->kind = kind;
	span->context = context;
	span->has_parent = parent->has_parent;
	memcpy(span->parent_id, parent->span_id, sizeof(span->parent_id));
	return span;
}

static void add_string(json_object *object, const char *key, const char *value)
{
	json_object_object_add(object, key, json_object_new_string(value));
}

static void add_time(json_object *object, const char *key, guint64 ns)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, ns);
	add_string(object, key, text);
}

static void add_id(json_object *object, const char *key, const guint8 *id,
		   gsize size)
{
	char text[33];

	format_id(id, size, text);
	add_string(object, key, text);
}

void sr_span_set(sr_span_t *span, const char *key, const char *value)
{
	json_object *attribute;
	json_object *typed;

	if (!span || !value)
		return;
	attribute = json_object_new_object();
	typed = json_object_new_object();
	add_string(typed, "stringValue", value);
	add_string(attribute, "key", key);
	json_object_object_add(attribute, "value", typed);
	json_object_array_add(span->attributes, attribute);
}

static json_object *new_status(const char *error)
{
	json_object *status = json_object_new_object();

	json_object_object_add(
		status, "code",
		json_object_new_int(error ? STATUS_ERROR : STATUS_OK));
	if (error)
		add_string(status, "message", error);
	return status;
}

void sr_span_end(sr_span_t *span, const char *error)
{
	json_object *line;

	if (!span)
		return;
	sr_span_set(span, "host.name", span->trace->node);
	line = json_object_new_object();
	add_id(line, "traceId", span->context.trace_id, 16);
	add_id(line, "spanId", span->context.span_id, 8);
	if (span->has_parent)
		add_id(line, "parentSpanId", span->parent_id, 8);
	add_string(line, "name", span->name);
	json_object_object_add(line, "kind", json_object_new_int(span->kind));
	add_time(line, "startTimeUnixNano", span->start_ns);
	add_time(line, "endTimeUnixNano", sr_clock_wall_ns(span->trace->clock));
	json_object_object_add(line, "attributes", span->attributes);
	json_object_object_add(line, "status", new_status(error));
	fprintf(span->trace->out, "%s\n",
		json_object_to_json_string_ext(line, JSON_C_TO_STRING_PLAIN));
	fflush(span->trace->out);
	json_object_put(line);
	g_free(span);
}
