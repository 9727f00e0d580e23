/*
 * Parses the input as a request and as a response, at once and byte by byte.
 * Both parses must give the same result, and no message may have two framing
 * headers. The input is also split as an event stream.
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

int LLVMFuzzerTestOneInput(const guint8 *data, size_t size)
{
	sr_event_parser_t *events = sr_event_parser_new();
	sr_event_t event;

	if (size > 0) {
		compare_parses(SR_MESSAGE_REQUEST, data, size);
		compare_parses(SR_MESSAGE_RESPONSE, data, size);
	}
	if (sr_event_parser_feed(events, data, size)) {
		while (sr_event_parser_next(events, &event))
			g_assert(event.size > 0);
	}
	sr_event_parser_free(events);
	return 0;
}
