/*
 * Parses the input as a request and as a response, at once and byte by byte.
 * Both parses must give the same result, and no message may have two framing
 * headers. The input is also split as an event stream, whose events must not
 * depend on the size of the reads.
 */
#include <string.h>

#include "http/event_parser.h"
#include "http/parser.h"

int LLVMFuzzerTestOneInput(const guint8 *data, size_t size);

typedef struct {
	sr_err_t err;
	gboolean complete;
	guint body;
	gsize used;
} result_t;

static result_t parse_message(sr_message_kind_t kind, const guint8 *data,
			      size_t size, size_t chunk_size)
{
	const sr_parser_options_t options = {
		.kind = kind,
		.max_header_size = 4096,
		.max_body_size = 4096,
	};
	sr_parser_t *parser = sr_parser_new(&options);
	const sr_message_t *message = sr_parser_message(parser);
	result_t result = { 0 };

	while (result.used < size && !result.err && !message->is_complete) {
		gsize used = 0;

		result.err = sr_parser_feed(parser, data + result.used,
					    MIN(chunk_size, size - result.used),
					    &used);
		result.used += used;
	}
	result.complete = message->is_complete;
	result.body = message->body->len;
	if (message->headers_complete)
		g_assert(sr_headers_count(message->headers, "Content-Length") +
				 sr_headers_count(message->headers,
						  "Transfer-Encoding") <=
			 1);
	sr_parser_free(parser);
	return result;
}

static void compare_parses(sr_message_kind_t kind, const guint8 *data,
			   size_t size)
{
	result_t whole = parse_message(kind, data, size, size);
	result_t by_byte = parse_message(kind, data, size, 1);

	g_assert(whole.complete == by_byte.complete);
	g_assert(!whole.err == !by_byte.err);
	if (whole.complete)
		g_assert(whole.used == by_byte.used &&
			 whole.body == by_byte.body);
}

/* Appends the events that the bytes hold in reads of read_size, each after its
 * id and before a mark, and then the rest; FALSE if an event is too large. */
static gboolean split_events(const guint8 *data, gsize size, gsize read_size,
			     GString *out)
{
	sr_event_parser_t *events = sr_event_parser_new();
	gboolean ok = TRUE;
	const guint8 *rest;
	gsize rest_size;
	sr_event_t event;

	for (gsize at = 0; ok && at < size; at += read_size) {
		ok = sr_event_parser_feed(events, data + at,
					  MIN(read_size, size - at));
		while (ok && sr_event_parser_next(events, &event)) {
			g_assert(event.size > 0);
			g_string_append_printf(out, "%d %" G_GUINT64_FORMAT " ",
					       event.has_id, event.id);
			g_string_append_len(out, (const char *)event.data,
					    (gssize)event.size);
			g_string_append_c(out, '|');
		}
	}
	rest = sr_event_parser_rest(events, &rest_size);
	g_string_append_len(out, (const char *)rest, (gssize)rest_size);
	sr_event_parser_free(events);
	return ok;
}

static void compare_splits(const guint8 *data, gsize size)
{
	GString *whole = g_string_new(NULL);
	GString *by_byte = g_string_new(NULL);
	GString *in_reads = g_string_new(NULL);

	if (split_events(data, size, size, whole) &&
	    split_events(data, size, 1, by_byte) &&
	    split_events(data, size, (gsize)data[0] + 1, in_reads)) {
		g_assert(g_string_equal(whole, by_byte));
		g_assert(g_string_equal(whole, in_reads));
	}
	g_string_free(whole, TRUE);
	g_string_free(by_byte, TRUE);
	g_string_free(in_reads, TRUE);
}

int LLVMFuzzerTestOneInput(const guint8 *data, size_t size)
{
	if (size == 0)
		return 0;
	compare_parses(SR_MESSAGE_REQUEST, data, size);
	compare_parses(SR_MESSAGE_RESPONSE, data, size);
	compare_splits(data, size);
	return 0;
}
