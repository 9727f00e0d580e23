#include "upstream/client.h"

#include <sys/poll.h>

#include "base/list.h"

/** Size of the read buffer of a fetch, in bytes. */
#define READ_SIZE 16384

/**
 * Maximum number of connections, in total and to one upstream. The effective
 * limit is that of admission control.
 */
#define MAX_CONNECTIONS 65536

/** Time after which an idle connection is closed, in seconds. */
#define IDLE_TIMEOUT_S 30

/** Minimum number of sockets before closed ones are removed. */
#define SWEEP_MIN_SOCKETS 64

struct sr_upstream_client {
	SoupSession *session;
	GHashTable *sockets; /* libsoup connection id -> GSocket */
	guint sweep_at;	     /* number of sockets that starts the next sweep */
	sr_list_t fetches;
	unsigned n_fetches;
};

struct sr_fetch {
	sr_list_t link;
	sr_upstream_client_t *client; /* NULL once ended or cancelled */
	sr_fetch_options_t options;
	SoupMessage *message;
	GInputStream *stream;
	GCancellable *cancellable;
	GSocket *socket;  /* of its connection; NULL if not known */
	gboolean started; /* a byte of the request may have been sent */
	gboolean paused;
	gboolean io_pending;  /* a call of libsoup or GIO is pending */
	gboolean in_callback; /* on_headers or on_data is running */
	guint8 buffer[READ_SIZE];
};

static void read_more(sr_fetch_t *fetch);

static void unlink_fetch(sr_fetch_t *fetch)
{
	if (!fetch->client)
		return;
	g_assert(fetch->client->n_fetches > 0);
	fetch->client->n_fetches--;
	fetch->client = NULL;
	sr_list_remove(&fetch->link);
}

static void free_fetch(sr_fetch_t *fetch)
{
	unlink_fetch(fetch);
	g_signal_handlers_disconnect_by_data(fetch->message, fetch);
	g_clear_object(&fetch->stream);
	g_clear_object(&fetch->socket);
	g_object_unref(fetch->message);
	g_object_unref(fetch->cancellable);
	g_free(fetch);
}

static void end_fetch(sr_fetch_t *fetch, sr_fetch_end_t end, const char *detail)
{
	sr_fetch_options_t options = fetch->options;

	unlink_fetch(fetch);
	options.on_end(options.user, end, detail);
	free_fetch(fetch);
}

/*
 * libsoup reports a connection that was closed between two chunks as the end of
 * the body. A server that did not send "Connection: close" keeps the connection
 * open after a complete response, so a closed one means a truncated response.
 */
static gboolean is_truncated(const sr_fetch_t *fetch)
{
	SoupMessageHeaders *headers =
		soup_message_get_response_headers(fetch->message);
	const char *connection =
		soup_message_headers_get_one(headers, "Connection");

	if (soup_message_headers_get_encoding(headers) != SOUP_ENCODING_CHUNKED)
		return FALSE;
	if (connection && !g_ascii_strcasecmp(connection, "close"))
		return FALSE;
	if (!fetch->socket || g_socket_is_closed(fetch->socket))
		return TRUE;
	return g_socket_condition_check(
		       fetch->socket,
		       (GIOCondition)(G_IO_HUP | G_IO_ERR | POLLRDHUP)) != 0;
}

static void on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	sr_fetch_t *fetch = data;
	GError *error = NULL;
	gssize size = g_input_stream_read_finish(G_INPUT_STREAM(source), result,
						 &error);

	fetch->io_pending = FALSE;
	if (!fetch->client) {
		free_fetch(fetch);
	} else if (size < 0) {
		end_fetch(fetch, SR_FETCH_BROKEN, error->message);
	} else if (size == 0 && is_truncated(fetch)) {
		end_fetch(fetch, SR_FETCH_BROKEN,
			  "the connection was closed before the last chunk");
	} else if (size == 0) {
		end_fetch(fetch, SR_FETCH_COMPLETE, NULL);
	} else {
		fetch->in_callback = TRUE;
		fetch->options.on_data(fetch->options.user, fetch->buffer,
				       (gsize)size);
		fetch->in_callback = FALSE;
		if (!fetch->client)
			free_fetch(fetch);
		else if (!fetch->paused)
			read_more(fetch);
	}
	g_clear_error(&error);
}

static void read_more(sr_fetch_t *fetch)
{
	fetch->io_pending = TRUE;
	g_input_stream_read_async(fetch->stream, fetch->buffer,
				  sizeof(fetch->buffer), G_PRIORITY_DEFAULT,
				  fetch->cancellable, on_read, fetch);
}

static void on_sent(GObject *source, GAsyncResult *result, gpointer data)
{
	sr_fetch_t *fetch = data;
	GError *error = NULL;

	fetch->stream =
		soup_session_send_finish(SOUP_SESSION(source), result, &error);
	fetch->io_pending = FALSE;
	if (!fetch->client) {
		free_fetch(fetch);
	} else if (!fetch->stream) {
		end_fetch(fetch,
			  fetch->started ? SR_FETCH_BROKEN : SR_FETCH_NOT_SENT,
			  error->message);
	} else {
		fetch->in_callback = TRUE;
		fetch->options.on_headers(
			fetch->options.user,
			soup_message_get_status(fetch->message),
			soup_message_get_response_headers(fetch->message));
		fetch->in_callback = FALSE;
		if (!fetch->client)
			free_fetch(fetch);
		else if (!fetch->paused)
			read_more(fetch);
	}
	g_clear_error(&error);
}

/* Removes closed sockets from the table. */
static void sweep_sockets(sr_upstream_client_t *client)
{
	GHashTableIter iter;
	gpointer socket;

	g_hash_table_iter_init(&iter, client->sockets);
	while (g_hash_table_iter_next(&iter, NULL, &socket)) {
		if (g_socket_is_closed(socket))
			g_hash_table_iter_remove(&iter);
	}
	client->sweep_at =
		2 * g_hash_table_size(client->sockets) + SWEEP_MIN_SOCKETS;
}

/* Called when libsoup has a connection and is about to send the request. */
static void on_starting(SoupMessage *message, gpointer data)
{
	sr_fetch_t *fetch = data;
	sr_upstream_client_t *client = fetch->client;
	gpointer id = GSIZE_TO_POINTER(soup_message_get_connection_id(message));
	GSocket *known;

	fetch->started = TRUE;
	if (!client)
		return;
	known = g_hash_table_lookup(client->sockets, id);
	if (known) {
		g_set_object(&fetch->socket, known);
	} else if (fetch->socket) {
		if (g_hash_table_size(client->sockets) >= client->sweep_at)
			sweep_sockets(client);
		g_hash_table_insert(client->sockets, id,
				    g_object_ref(fetch->socket));
	}
}

/* Called while libsoup opens a new connection for this message. */
static void on_network_event(SoupMessage *message, GSocketClientEvent event,
			     GIOStream *connection, gpointer data)
{
	sr_fetch_t *fetch = data;

	if (event != G_SOCKET_CLIENT_CONNECTED ||
	    !G_IS_SOCKET_CONNECTION(connection))
		return;
	g_set_object(&fetch->socket, g_socket_connection_get_socket(
					     G_SOCKET_CONNECTION(connection)));
}

sr_upstream_client_t *sr_upstream_client_new(void)
{
	sr_upstream_client_t *client = g_new0(sr_upstream_client_t, 1);

	sr_list_init(&client->fetches);
	client->sockets =
		g_hash_table_new_full(NULL, NULL, NULL, g_object_unref);
	client->sweep_at = SWEEP_MIN_SOCKETS;
	client->session = soup_session_new_with_options(
		"max-conns", MAX_CONNECTIONS, "max-conns-per-host",
		MAX_CONNECTIONS, "timeout", 0U, "idle-timeout", IDLE_TIMEOUT_S,
		"proxy-resolver", NULL, NULL);
	/* Don't decode response bodies or answer authentication challenges. */
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
	sr_list_for_each_safe (link, &client->fetches)
		sr_fetch_cancel(sr_list_entry(link, sr_fetch_t, link));
	soup_session_abort(client->session);
	g_object_unref(client->session);
	g_hash_table_destroy(client->sockets);
	g_free(client);
}

static SoupMessage *build_message(const sr_fetch_options_t *options)
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

sr_fetch_t *sr_upstream_send(sr_upstream_client_t *client,
			     const sr_fetch_options_t *options)
{
	SoupMessage *message = build_message(options);
	sr_fetch_t *fetch;

	if (!message)
		return NULL;
	fetch = g_new0(sr_fetch_t, 1);
	fetch->client = client;
	fetch->options = *options;
	fetch->message = message;
	fetch->cancellable = g_cancellable_new();
	fetch->io_pending = TRUE;
	sr_list_append(&client->fetches, &fetch->link);
	client->n_fetches++;
	g_signal_connect(message, "starting", G_CALLBACK(on_starting), fetch);
	g_signal_connect(message, "network-event", G_CALLBACK(on_network_event),
			 fetch);
	soup_session_send_async(client->session, message, G_PRIORITY_DEFAULT,
				fetch->cancellable, on_sent, fetch);
	return fetch;
}

void sr_fetch_pause(sr_fetch_t *fetch)
{
	fetch->paused = TRUE;
}

void sr_fetch_resume(sr_fetch_t *fetch)
{
	if (!fetch->paused)
		return;
	fetch->paused = FALSE;
	if (!fetch->io_pending && !fetch->in_callback)
		read_more(fetch);
}

void sr_fetch_cancel(sr_fetch_t *fetch)
{
	if (!fetch)
		return;
	g_assert(fetch->client);
	unlink_fetch(fetch);
	if (fetch->io_pending)
		g_cancellable_cancel(fetch->cancellable);
	else if (!fetch->in_callback)
		free_fetch(fetch);
}

unsigned sr_upstream_n_fetches(const sr_upstream_client_t *client)
{
	return client->n_fetches;
}
