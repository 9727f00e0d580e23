#include "upstream/client.h"

#include "base/list.h"

/** Bytes read from an upstream at a time. */
#define READ_SIZE 16384

/** Connections, in all and to one upstream; admission is the real limit. */
#define MAX_CONNECTIONS 65536

/** An idle connection is closed after this time, in seconds. */
#define IDLE_TIMEOUT_S 30

struct sr_upstream_client {
	SoupSession *session;
	sr_list_t exchanges;
	unsigned n_exchanges;
};

struct sr_exchange {
	sr_list_t link;
	sr_upstream_client_t *client; /* NULL once cancelled */
	sr_exchange_options_t options;
	SoupMessage *message;
	GInputStream *stream;
	GCancellable *cancellable;
	gboolean started; /* a byte of the request may have been sent */
	gboolean paused;
	gboolean reading;
	gboolean in_callback;
	guint8 buffer[READ_SIZE];
};

static void read_more(sr_exchange_t *exchange);

static void unlink_exchange(sr_exchange_t *exchange)
{
	if (!exchange->client)
		return;
	g_assert(exchange->client->n_exchanges > 0);
	exchange->client->n_exchanges--;
	exchange->client = NULL;
	sr_list_remove(&exchange->link);
}

static void free_exchange(sr_exchange_t *exchange)
{
	unlink_exchange(exchange);
	g_signal_handlers_disconnect_by_data(exchange->message, exchange);
	g_clear_object(&exchange->stream);
	g_object_unref(exchange->message);
	g_object_unref(exchange->cancellable);
	g_free(exchange);
}

static void end_exchange(sr_exchange_t *exchange, sr_exchange_end_t end,
			 const char *detail)
{
	sr_exchange_options_t options = exchange->options;

	unlink_exchange(exchange);
	options.on_end(options.user, end, detail);
	free_exchange(exchange);
}

static void on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	sr_exchange_t *exchange = data;
	GError *error = NULL;
	gssize size = g_input_stream_read_finish(G_INPUT_STREAM(source), result,
						 &error);

	exchange->reading = FALSE;
	if (!exchange->client) {
		free_exchange(exchange);
	} else if (size < 0) {
		end_exchange(exchange, SR_EXCHANGE_BROKEN, error->message);
	} else if (size == 0) {
		end_exchange(exchange, SR_EXCHANGE_COMPLETE, NULL);
	} else {
		exchange->in_callback = TRUE;
		exchange->options.on_data(exchange->options.user,
					  exchange->buffer, (gsize)size);
		exchange->in_callback = FALSE;
		if (!exchange->client)
			free_exchange(exchange);
		else if (!exchange->paused)
			read_more(exchange);
	}
	g_clear_error(&error);
}

static void read_more(sr_exchange_t *exchange)
{
	exchange->reading = TRUE;
	g_input_stream_read_async(exchange->stream, exchange->buffer,
				  sizeof(exchange->buffer), G_PRIORITY_DEFAULT,
				  exchange->cancellable, on_read, exchange);
}

static void on_sent(GObject *source, GAsyncResult *result, gpointer data)
{
	sr_exchange_t *exchange = data;
	GError *error = NULL;

	exchange->stream =
		soup_session_send_finish(SOUP_SESSION(source), result, &error);
	exchange->reading = FALSE;
	if (!exchange->client) {
		free_exchange(exchange);
	} else if (!exchange->stream) {
		end_exchange(exchange,
			     exchange->started ? SR_EXCHANGE_BROKEN :
						 SR_EXCHANGE_NOT_SENT,
			     error->message);
	} else {
		exchange->in_callback = TRUE;
		exchange->options.on_headers(
			exchange->options.user,
			soup_message_get_status(exchange->message),
			soup_message_get_response_headers(exchange->message));
		exchange->in_callback = FALSE;
		if (!exchange->client)
			free_exchange(exchange);
		else if (!exchange->paused)
			read_more(exchange);
	}
	g_clear_error(&error);
}

/* The connection stands and the request is about to be written to it. */
static void on_starting(SoupMessage *message, gpointer data)
{
	sr_exchange_t *exchange = data;

	exchange->started = TRUE;
}

sr_upstream_client_t *sr_upstream_client_new(void)
{
	sr_upstream_client_t *client = g_new0(sr_upstream_client_t, 1);

	sr_list_init(&client->exchanges);
	client->session = soup_session_new_with_options(
		"max-conns", MAX_CONNECTIONS, "max-conns-per-host",
		MAX_CONNECTIONS, "timeout", 0U, "idle-timeout", IDLE_TIMEOUT_S,
		"proxy-resolver", NULL, NULL);
	/* Answers pass through as they are, and no login is tried. */
	soup_session_remove_feature_by_type(client->session,
					    SOUP_TYPE_CONTENT_DECODER);
	soup_session_remove_feature_by_type(client->session,
					    SOUP_TYPE_AUTH_MANAGER);
	return client;
}

void sr_upstream_client_free(sr_upstream_client_t *client)
{
	if (!client)
		return;
	sr_list_for_each_safe (link, &client->exchanges)
		sr_exchange_cancel(sr_list_entry(link, sr_exchange_t, link));
	soup_session_abort(client->session);
	g_object_unref(client->session);
	g_free(client);
}

static SoupMessage *build_message(const sr_exchange_options_t *options)
{
	char *uri =
		g_strconcat("http://", options->address, options->path, NULL);
	SoupMessage *message = soup_message_new(options->method, uri);
	SoupMessageHeaders *headers;

	g_free(uri);
	if (!message)
		return NULL;
	headers = soup_message_get_request_headers(message);
	for (unsigned i = 0; i < options->n_headers; i++) {
		if (options->headers[i].value)
			soup_message_headers_replace(headers,
						     options->headers[i].name,
						     options->headers[i].value);
	}
	if (options->body)
		soup_message_set_request_body_from_bytes(
			message, options->content_type, options->body);
	soup_message_set_flags(message,
			       SOUP_MESSAGE_NO_REDIRECT |
				       (options->idempotent ?
						SOUP_MESSAGE_IDEMPOTENT :
						SOUP_MESSAGE_NEW_CONNECTION));
	return message;
}

sr_exchange_t *sr_upstream_send(sr_upstream_client_t *client,
				const sr_exchange_options_t *options)
{
	SoupMessage *message = build_message(options);
	sr_exchange_t *exchange;

	if (!message)
		return NULL;
	exchange = g_new0(sr_exchange_t, 1);
	exchange->client = client;
	exchange->options = *options;
	exchange->message = message;
	exchange->cancellable = g_cancellable_new();
	exchange->reading = TRUE;
	sr_list_append(&client->exchanges, &exchange->link);
	client->n_exchanges++;
	g_signal_connect(message, "starting", G_CALLBACK(on_starting),
			 exchange);
	soup_session_send_async(client->session, message, G_PRIORITY_DEFAULT,
				exchange->cancellable, on_sent, exchange);
	return exchange;
}

void sr_exchange_pause(sr_exchange_t *exchange)
{
	exchange->paused = TRUE;
}

void sr_exchange_resume(sr_exchange_t *exchange)
{
	if (!exchange->paused)
		return;
	exchange->paused = FALSE;
	if (!exchange->reading && !exchange->in_callback)
		read_more(exchange);
}

void sr_exchange_cancel(sr_exchange_t *exchange)
{
	if (!exchange)
		return;
	g_assert(exchange->client);
	unlink_exchange(exchange);
	if (exchange->reading)
		g_cancellable_cancel(exchange->cancellable);
	else if (!exchange->in_callback)
		free_exchange(exchange);
}

unsigned sr_upstream_n_exchanges(const sr_upstream_client_t *client)
{
	return client->n_exchanges;
}
