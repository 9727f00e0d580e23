#include "caller/connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/list.h"
#include "base/settings.h"

#define CONNECTION_KEY "sassafras-connection"
#define LISTEN_BACKLOG 1024
/* Maximum number of connections accepted in one main loop iteration. */
#define MAX_ACCEPTS_PER_ITERATION 64

struct sr_listener {
	sr_listener_options_t options;
	GSocket *listen_socket; /* NULL unless open */
	GSource *source;
	int placeholder_peer; /* other end of the placeholder's socket pair */
	guint16 port;
	sr_list_t connections;
	unsigned n_connections;
};

struct sr_connection {
	sr_list_t link;
	sr_listener_t *listener;
	GObject *stream; /* weak reference; its disposal frees this */
	GSocket *socket;
	sr_timer_t *header_timer; /* NULL while a request is served */
};

typedef struct {
	sr_timer_fn fn;
	void *user;
} close_watch_t;

void sr_connection_shutdown(sr_connection_t *connection)
{
	g_socket_shutdown(connection->socket, TRUE, TRUE, NULL);
}

static void on_header_timeout(void *user)
{
	sr_connection_t *connection = user;

	connection->header_timer = NULL;
	sr_connection_shutdown(connection);
}

void sr_connection_set_busy(sr_connection_t *connection, gboolean busy)
{
	const sr_listener_options_t *options = &connection->listener->options;

	sr_timer_cancel(connection->header_timer);
	connection->header_timer = NULL;
	if (!busy)
		connection->header_timer =
			sr_timer_start(options->clock, options->header_timeout,
				       on_header_timeout, connection);
}

static void on_closed(gpointer data, GObject *stream)
{
	sr_connection_t *connection = data;

	g_assert(connection->listener->n_connections > 0);
	connection->listener->n_connections--;
	sr_list_remove(&connection->link);
	sr_timer_cancel(connection->header_timer);
	g_object_unref(connection->socket);
	g_free(connection);
}

static void add_connection(sr_listener_t *listener, GSocket *socket)
{
	GSocketConnection *stream =
		g_socket_connection_factory_create_connection(socket);
	GSocketAddress *local =
		g_socket_connection_get_local_address(stream, NULL);
	GSocketAddress *remote =
		g_socket_connection_get_remote_address(stream, NULL);

	if (local && remote) {
		sr_connection_t *connection = g_new0(sr_connection_t, 1);

		connection->listener = listener;
		connection->stream = G_OBJECT(stream);
		connection->socket = g_object_ref(socket);
		g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
		sr_list_append(&listener->connections, &connection->link);
		listener->n_connections++;
		g_object_weak_ref(G_OBJECT(stream), on_closed, connection);
		/* libsoup returns this object for each message of the
		 * connection. */
		g_object_set_data(G_OBJECT(remote), CONNECTION_KEY, connection);
		sr_connection_set_busy(connection, FALSE);
		soup_server_accept_iostream(listener->options.server,
					    G_IO_STREAM(stream), local, remote,
					    NULL);
	}
	g_clear_object(&local);
	g_clear_object(&remote);
	g_object_unref(stream);
}

/*
 * Accepts several connections, since iterations are slow under load. Beyond
 * the limit, connections are closed at once.
 */
static gboolean on_incoming(GSocket *listen_socket, GIOCondition condition,
			    gpointer data)
{
	sr_listener_t *listener = data;

	for (int i = 0; i < MAX_ACCEPTS_PER_ITERATION; i++) {
		GSocket *socket = g_socket_accept(listen_socket, NULL, NULL);

		if (!socket)
			break;
		if (listener->n_connections < listener->options.max_connections)
			add_connection(listener, socket);
		else
			g_socket_close(socket, NULL);
		g_object_unref(socket);
	}
	return G_SOURCE_CONTINUE;
}

/*
 * Gives the SoupServer a socket to listen on that never becomes readable.
 * Without any, the server would close each connection after the first answer; a
 * real listening socket could not be stopped without closing the connections.
 */
static void add_placeholder_listener(sr_listener_t *listener)
{
	GSocket *socket;
	int pair[2];

	g_assert(!socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, pair));
	listener->placeholder_peer = pair[1];
	socket = g_socket_new_from_fd(pair[0], NULL);
	g_assert(socket);
	soup_server_listen_socket(listener->options.server, socket, 0, NULL);
	g_object_unref(socket);
}

sr_listener_t *sr_listener_new(const sr_listener_options_t *options)
{
	sr_listener_t *listener = g_new0(sr_listener_t, 1);

	listener->options = *options;
	sr_list_init(&listener->connections);
	add_placeholder_listener(listener);
	return listener;
}

void sr_listener_free(sr_listener_t *listener)
{
	if (!listener)
		return;
	sr_list_for_each_safe (link, &listener->connections) {
		sr_connection_t *connection =
			sr_list_entry(link, sr_connection_t, link);

		g_object_weak_unref(connection->stream, on_closed, connection);
		on_closed(connection, connection->stream);
	}
	sr_listener_stop(listener);
	close(listener->placeholder_peer);
	g_free(listener);
}

static GSocket *listen_on(GSocketAddress *address, GError **error)
{
	GSocket *socket = g_socket_new(g_socket_address_get_family(address),
				       G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, error);

	if (!socket)
		return NULL;
	g_socket_set_blocking(socket, FALSE);
	g_socket_set_listen_backlog(socket, LISTEN_BACKLOG);
	if (g_socket_bind(socket, address, TRUE, error) &&
	    g_socket_listen(socket, error))
		return socket;
	g_object_unref(socket);
	return NULL;
}

sr_err_t sr_listener_open(sr_listener_t *listener, const char *address,
			  char **detail)
{
	GSocketAddress *parsed = sr_address_parse(address);
	GSocketAddress *bound;
	GError *error = NULL;

	g_assert(!listener->listen_socket);
	if (!parsed) {
		*detail = g_strdup_printf(
			"\"%s\" is not an address: give IP:PORT", address);
		return SR_ERR_INVALID;
	}
	listener->listen_socket = listen_on(parsed, &error);
	g_object_unref(parsed);
	if (!listener->listen_socket) {
		*detail = g_strdup(error->message);
		g_error_free(error);
		return SR_ERR_IO;
	}
	bound = g_socket_get_local_address(listener->listen_socket, NULL);
	listener->port =
		g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
	g_object_unref(bound);
	listener->source =
		g_socket_create_source(listener->listen_socket, G_IO_IN, NULL);
	g_source_set_callback(listener->source, G_SOURCE_FUNC(on_incoming),
			      listener, NULL);
	g_source_attach(listener->source, NULL);
	return SR_OK;
}

guint16 sr_listener_port(const sr_listener_t *listener)
{
	return listener->port;
}

void sr_listener_stop(sr_listener_t *listener)
{
	if (!listener->listen_socket)
		return;
	g_source_destroy(listener->source);
	g_source_unref(listener->source);
	g_socket_close(listener->listen_socket, NULL);
	g_clear_object(&listener->listen_socket);
}

unsigned sr_listener_n_connections(const sr_listener_t *listener)
{
	return listener->n_connections;
}

sr_connection_t *sr_connection_from_message(SoupServerMessage *message)
{
	GSocketAddress *remote =
		soup_server_message_get_remote_address(message);
	sr_connection_t *connection =
		g_object_get_data(G_OBJECT(remote), CONNECTION_KEY);

	g_assert(connection);
	return connection;
}

static gboolean on_hangup(GSocket *socket, GIOCondition condition,
			  gpointer data)
{
	close_watch_t *watch = data;

	watch->fn(watch->user);
	return G_SOURCE_REMOVE;
}

GSource *sr_connection_watch_close(sr_connection_t *connection, sr_timer_fn fn,
				   void *user)
{
	/* Only POLLRDHUP reports the FIN of a caller that closes. */
	GIOCondition condition =
		(GIOCondition)(G_IO_HUP | G_IO_ERR | POLLRDHUP);
	GSource *source =
		g_socket_create_source(connection->socket, condition, NULL);
	close_watch_t *watch = g_new0(close_watch_t, 1);

	watch->fn = fn;
	watch->user = user;
	g_source_set_callback(source, G_SOURCE_FUNC(on_hangup), watch, g_free);
	g_source_attach(source, NULL);
	return source;
}
