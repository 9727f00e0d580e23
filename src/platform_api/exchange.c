#include "platform_api/exchange.h"

#include <stdlib.h>
#include <string.h>

#include "platform_api/decode.h"

#define READ_CHUNK_BYTES (64 * 1024)
#define MAX_RETRY_AFTER_S 3600

struct sr_exchange {
	SoupMessage *message;
	GCancellable *cancellable;
	GInputStream *stream;
	GByteArray *body;
	sr_clock_t *clock;
	sr_timer_t *timer;
	sr_usec_t idle_timeout;
	sr_usec_t answered_at; /* 0 before the answer */
	sr_usec_t answer_deadline;
	gboolean sent;
	const char *era_header;
	sr_exchange_fn done; /* NULL once it was called or cancelled */
	void *user;
};

/* Called when no libsoup operation refers to the exchange any more. */
static void free_exchange(sr_exchange_t *exchange)
{
	sr_timer_cancel(exchange->timer);
	g_clear_object(&exchange->stream);
	g_object_unref(exchange->message);
	g_object_unref(exchange->cancellable);
	g_byte_array_unref(exchange->body);
	g_free(exchange);
}

static void finish(sr_exchange_t *exchange, const sr_exchange_result_t *result)
{
	sr_exchange_fn done = exchange->done;

	sr_timer_cancel(g_steal_pointer(&exchange->timer));
	exchange->done = NULL;
	if (done)
		done(exchange->user, result);
}

static void finish_lost(sr_exchange_t *exchange)
{
	sr_exchange_result_t result = { .sent = exchange->sent };

	result.body = g_bytes_new_static("", 0);
	finish(exchange, &result);
	g_bytes_unref(result.body);
}

static guint64 parse_etag_version(SoupMessageHeaders *headers)
{
	const char *etag = soup_message_headers_get_one(headers, "ETag");
	char *end = NULL;
	guint64 version;

	if (!etag || etag[0] != '"' || !g_ascii_isdigit(etag[1]))
		return 0;
	version = g_ascii_strtoull(etag + 1, &end, 10);
	return strcmp(end, "\"") ? 0 : version;
}

static sr_usec_t parse_retry_after(SoupMessageHeaders *headers)
{
	const char *text = soup_message_headers_get_one(headers, "Retry-After");

	if (!text || !g_ascii_isdigit(text[0]))
		return 0;
	return (sr_usec_t)MIN(g_ascii_strtoull(text, NULL, 10),
			      MAX_RETRY_AFTER_S) *
	       SR_SEC;
}

static guint64 parse_era(SoupMessageHeaders *headers, const char *name)
{
	const char *text =
		name ? soup_message_headers_get_one(headers, name) : NULL;
	guint64 era;

	if (!text ||
	    !g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, &era, NULL))
		return 0;
	return era;
}

static void finish_answered(sr_exchange_t *exchange)
{
	SoupMessageHeaders *headers =
		soup_message_get_response_headers(exchange->message);
	sr_exchange_result_t result = {
		.sent = TRUE,
		.status = soup_message_get_status(exchange->message),
		.version = parse_etag_version(headers),
		.retry_after = parse_retry_after(headers),
		.era = parse_era(headers, exchange->era_header),
	};

	result.body = g_bytes_new(exchange->body->data, exchange->body->len);
	finish(exchange, &result);
	g_bytes_unref(result.body);
}

/* FALSE if the connection ended before Content-Length bytes were read. */
static gboolean is_body_complete(sr_exchange_t *exchange)
{
	SoupMessageHeaders *headers =
		soup_message_get_response_headers(exchange->message);

	return soup_message_headers_get_encoding(headers) !=
		       SOUP_ENCODING_CONTENT_LENGTH ||
	       soup_message_headers_get_content_length(headers) ==
		       exchange->body->len;
}

static void on_timeout(void *data)
{
	sr_exchange_t *exchange = data;

	exchange->timer = NULL;
	finish_lost(exchange);
	g_cancellable_cancel(exchange->cancellable);
}

/* A piece of the body has arrived. The head doesn't count: a watch may be held
 * open after it. */
static void record_piece(sr_exchange_t *exchange)
{
	sr_usec_t now = sr_clock_now(exchange->clock);
	sr_usec_t left = exchange->answer_deadline - now;

	if (exchange->answered_at == 0)
		exchange->answered_at = now;
	sr_timer_cancel(exchange->timer);
	exchange->timer = sr_timer_start(exchange->clock,
					 CLAMP(left, 0, exchange->idle_timeout),
					 on_timeout, exchange);
}

static void on_read(GObject *source, GAsyncResult *result, gpointer data);

static void read_next_chunk(sr_exchange_t *exchange)
{
	g_input_stream_read_bytes_async(
		exchange->stream, READ_CHUNK_BYTES, G_PRIORITY_DEFAULT,
		exchange->cancellable, on_read, exchange);
}

static void on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	sr_exchange_t *exchange = data;
	GBytes *chunk = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source),
							 result, NULL);
	gsize size = chunk ? g_bytes_get_size(chunk) : 0;

	if (size && exchange->done &&
	    exchange->body->len + size <= SR_PLATFORM_ANSWER_MAX_BYTES) {
		g_byte_array_append(exchange->body,
				    g_bytes_get_data(chunk, NULL), (guint)size);
		g_bytes_unref(chunk);
		record_piece(exchange);
		read_next_chunk(exchange);
		return;
	}
	if (chunk && !size && is_body_complete(exchange))
		finish_answered(exchange);
	else
		finish_lost(exchange);
	g_clear_pointer(&chunk, g_bytes_unref);
	free_exchange(exchange);
}

static void on_headers(GObject *source, GAsyncResult *result, gpointer data)
{
	sr_exchange_t *exchange = data;

	exchange->stream =
		soup_session_send_finish(SOUP_SESSION(source), result, NULL);
	if (exchange->stream && exchange->done) {
		read_next_chunk(exchange);
		return;
	}
	finish_lost(exchange);
	free_exchange(exchange);
}

static void on_starting(SoupMessage *message, gpointer data)
{
	sr_exchange_t *exchange = data;

	exchange->sent = TRUE;
}

static void add_headers(SoupMessage *message,
			const sr_exchange_options_t *options)
{
	SoupMessageHeaders *headers = soup_message_get_request_headers(message);

	if (options->if_match)
		soup_message_headers_replace(headers, "If-Match",
					     options->if_match);
	if (options->if_none_match)
		soup_message_headers_replace(headers, "If-None-Match",
					     options->if_none_match);
	for (char **pair = options->headers; pair && *pair; pair += 2)
		soup_message_headers_replace(headers, pair[0], pair[1]);
	if (options->body)
		soup_message_set_request_body_from_bytes(
			message, options->content_type, options->body);
	/* Keeps libsoup from resending a write; see sr_exchange_t. */
	if (strcmp(options->method, "GET") != 0)
		soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
	soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
}

sr_exchange_t *sr_exchange_new(const sr_exchange_options_t *options)
{
	SoupMessage *message = soup_message_new(options->method, options->url);
	sr_exchange_t *exchange;

	if (!message)
		return NULL;
	add_headers(message, options);
	exchange = g_new0(sr_exchange_t, 1);
	exchange->message = message;
	exchange->cancellable = g_cancellable_new();
	exchange->body = g_byte_array_new();
	exchange->era_header = options->era_header;
	exchange->clock = options->clock;
	exchange->idle_timeout = options->idle_timeout;
	exchange->answer_deadline = sr_clock_now(options->clock) +
				    options->timeout + SR_EXCHANGE_ANSWER_TIME;
	exchange->done = options->done;
	exchange->user = options->user;
	exchange->timer = sr_timer_start(options->clock, options->timeout,
					 on_timeout, exchange);
	g_signal_connect(message, "starting", G_CALLBACK(on_starting),
			 exchange);
	soup_session_send_async(options->session, message, G_PRIORITY_DEFAULT,
				exchange->cancellable, on_headers, exchange);
	return exchange;
}

sr_usec_t sr_exchange_answered_at(const sr_exchange_t *exchange)
{
	return exchange->answered_at;
}

void sr_exchange_cancel(sr_exchange_t *exchange)
{
	exchange->done = NULL;
	sr_timer_cancel(g_steal_pointer(&exchange->timer));
	g_cancellable_cancel(exchange->cancellable);
}
