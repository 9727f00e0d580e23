#include "platform_api/exchange.h"

#include <stdlib.h>
#include <string.h>

#include "platform_api/decode.h"

/** Maximum number of fields of a request. */
#define MAX_FIELDS 8
#define MAX_RETRY_AFTER_S 3600

struct sr_exchange {
	sr_fetch_t *fetch; /* NULL once it has ended */
	gboolean sent;	   /* as far as known when it ended */
	GByteArray *body;
	sr_clock_t *clock;
	sr_timer_t *timer;
	sr_usec_t idle_timeout;
	sr_usec_t answered_at; /* 0 before the answer */
	sr_usec_t answer_deadline;
	const char *era_header;
	unsigned status;
	guint64 version;
	sr_usec_t retry_after;
	guint64 era;
	sr_exchange_fn done;
	void *user;
};

static void free_exchange(sr_exchange_t *exchange)
{
	sr_timer_cancel(exchange->timer);
	sr_fetch_cancel(exchange->fetch);
	g_byte_array_unref(exchange->body);
	g_free(exchange);
}

/* Frees the exchange. */
static void finish(sr_exchange_t *exchange, const sr_exchange_result_t *result)
{
	sr_exchange_fn done = exchange->done;
	void *user = exchange->user;
	sr_exchange_result_t copy = *result;

	copy.body = g_bytes_new(exchange->body->data,
				copy.status ? exchange->body->len : 0);
	free_exchange(exchange);
	done(user, &copy);
	g_bytes_unref(copy.body);
}

static void finish_lost(sr_exchange_t *exchange)
{
	const sr_exchange_result_t result = {
		.sent = exchange->fetch ? sr_fetch_is_sent(exchange->fetch) :
					  exchange->sent,
	};

	finish(exchange, &result);
}

static guint64 parse_etag_version(const sr_headers_t *headers)
{
	const char *etag = sr_headers_get(headers, "ETag");
	char *end = NULL;
	guint64 version;

	if (!etag || etag[0] != '"' || !g_ascii_isdigit(etag[1]))
		return 0;
	version = g_ascii_strtoull(etag + 1, &end, 10);
	return strcmp(end, "\"") ? 0 : version;
}

static sr_usec_t parse_retry_after(const sr_headers_t *headers)
{
	const char *text = sr_headers_get(headers, "Retry-After");

	if (!text || !g_ascii_isdigit(text[0]))
		return 0;
	return (sr_usec_t)MIN(g_ascii_strtoull(text, NULL, 10),
			      MAX_RETRY_AFTER_S) *
	       SR_SEC;
}

static guint64 parse_era(const sr_headers_t *headers, const char *name)
{
	const char *text = name ? sr_headers_get(headers, name) : NULL;
	guint64 era;

	if (!text ||
	    !g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, &era, NULL))
		return 0;
	return era;
}

static void on_timeout(void *data)
{
	sr_exchange_t *exchange = data;

	exchange->timer = NULL;
	finish_lost(exchange);
}

static void on_headers(void *user, unsigned status, const sr_headers_t *headers)
{
	sr_exchange_t *exchange = user;

	exchange->status = status;
	exchange->version = parse_etag_version(headers);
	exchange->retry_after = parse_retry_after(headers);
	exchange->era = parse_era(headers, exchange->era_header);
}

/* The head doesn't count as an answer: a watch may be held open after it. */
static void on_data(void *user, const guint8 *data, gsize size)
{
	sr_exchange_t *exchange = user;
	sr_usec_t now = sr_clock_now(exchange->clock);
	sr_usec_t left = exchange->answer_deadline - now;

	if (exchange->body->len + size > SR_PLATFORM_ANSWER_MAX_BYTES) {
		finish_lost(exchange);
		return;
	}
	g_byte_array_append(exchange->body, data, (guint)size);
	if (exchange->answered_at == 0)
		exchange->answered_at = now;
	sr_timer_cancel(exchange->timer);
	exchange->timer = sr_timer_start(exchange->clock,
					 CLAMP(left, 0, exchange->idle_timeout),
					 on_timeout, exchange);
}

static void on_end(void *user, sr_fetch_end_t end, const char *detail)
{
	sr_exchange_t *exchange = user;
	const sr_exchange_result_t result = {
		.sent = TRUE,
		.status = exchange->status,
		.version = exchange->version,
		.retry_after = exchange->retry_after,
		.era = exchange->era,
	};

	(void)detail;
	exchange->fetch = NULL;
	exchange->sent = end != SR_FETCH_NOT_SENT;
	if (end == SR_FETCH_COMPLETE)
		finish(exchange, &result);
	else
		finish_lost(exchange);
}

static unsigned collect_fields(const sr_exchange_options_t *options,
			       sr_header_t *fields)
{
	unsigned n = 0;

	fields[n++] = (sr_header_t){ "If-Match", options->if_match };
	fields[n++] = (sr_header_t){ "If-None-Match", options->if_none_match };
	for (char **pair = options->headers; pair && *pair; pair += 2) {
		g_assert(n < MAX_FIELDS);
		fields[n++] = (sr_header_t){ pair[0], pair[1] };
	}
	return n;
}

sr_exchange_t *sr_exchange_new(const sr_exchange_options_t *options)
{
	sr_exchange_t *exchange = g_new0(sr_exchange_t, 1);
	sr_header_t fields[MAX_FIELDS];
	const sr_fetch_options_t fetch = {
		.address = options->address,
		.method = options->method,
		.path = options->path,
		.headers = fields,
		.n_headers = collect_fields(options, fields),
		.content_type = options->content_type,
		.body = options->body,
		.idempotent = !strcmp(options->method, "GET"),
		.on_headers = on_headers,
		.on_data = on_data,
		.on_end = on_end,
		.user = exchange,
	};

	exchange->fetch = sr_http_send(options->client, &fetch);
	if (!exchange->fetch) {
		g_free(exchange);
		return NULL;
	}
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
	return exchange;
}

sr_usec_t sr_exchange_answered_at(const sr_exchange_t *exchange)
{
	return exchange->answered_at;
}

void sr_exchange_cancel(sr_exchange_t *exchange)
{
	free_exchange(exchange);
}
