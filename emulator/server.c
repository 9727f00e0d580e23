#include "server.h"

#include <glib-unix.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#include "base/list.h"
#include "fault.h"

#define JSON_MAX_DEPTH 32   /* of a request body */
#define LISTEN_BACKLOG 4096 /* connections */

struct sr_emu_server {
	SoupServer *soup;
	GMainLoop *loop;
	sr_clock_t *clock;
	sr_emu_faults_t *faults;
	sr_usec_t latency;
	gboolean streams;
	unsigned running;
	sr_list_t exchanges;
	sr_emu_handler_fn handler;
	void *user;
};

struct sr_emu_exchange {
	sr_list_t link;
	sr_emu_server_t *server;
	SoupServerMessage *message;
	char *path;
	GHashTable *query;
	GBytes *body;
	sr_usec_t request_delay; /* from the request to the handler */
	sr_usec_t answer_delay;	 /* from sr_emu_answer() to the sending */
	sr_timer_t *timer;
	gboolean lost_reply;
	gboolean client_disconnected;
	gboolean streaming;
	sr_emu_poll_fn poll;
	void *poll_user;
	void (*disconnected)(void *user);
	void *disconnected_user;
	gulong finished_signal_id;
};

static void exchange_free(sr_emu_exchange_t *exchange)
{
	sr_list_remove(&exchange->link);
	sr_timer_cancel(exchange->timer);
	g_signal_handler_disconnect(exchange->message,
				    exchange->finished_signal_id);
	g_object_unref(exchange->message);
	g_bytes_unref(exchange->body);
	g_hash_table_unref(exchange->query);
	g_free(exchange->path);
	g_free(exchange);
}

static void on_finished(SoupServerMessage *message, gpointer data)
{
	sr_emu_exchange_t *exchange = data;

	exchange->client_disconnected = TRUE;
	if (!exchange->streaming)
		return;
	if (exchange->disconnected)
		exchange->disconnected(exchange->disconnected_user);
	exchange_free(exchange);
}

void sr_emu_abort(sr_emu_exchange_t *exchange)
{
	SoupServerMessage *message = g_object_ref(exchange->message);
	gboolean client_disconnected = exchange->client_disconnected;
	GIOStream *stream;

	exchange_free(exchange);
	if (!client_disconnected) {
		stream = soup_server_message_steal_connection(message);
		if (stream) {
			g_io_stream_close(stream, NULL, NULL);
			g_object_unref(stream);
		}
	}
	g_object_unref(message);
}

static void send_answer(void *user)
{
	sr_emu_exchange_t *exchange = user;
	SoupServerMessage *message = g_object_ref(exchange->message);
	gboolean client_disconnected = exchange->client_disconnected;

	exchange->timer = NULL;
	if (exchange->lost_reply) {
		sr_emu_abort(exchange);
	} else {
		exchange_free(exchange);
		if (!client_disconnected)
			soup_server_message_unpause(message);
	}
	g_object_unref(message);
}

void sr_emu_answer(sr_emu_exchange_t *exchange, unsigned status,
		   const char *type, GBytes *body)
{
	SoupServerMessage *message = exchange->message;
	gsize size = 0;
	const char *data = body ? g_bytes_get_data(body, &size) : NULL;

	g_assert(!exchange->timer && !exchange->streaming);
	exchange->poll = NULL;
	soup_server_message_set_status(message, status, NULL);
	if (data)
		soup_server_message_set_response(message, type,
						 SOUP_MEMORY_COPY, data, size);
	exchange->timer =
		sr_timer_start(exchange->server->clock, exchange->answer_delay,
			       send_answer, exchange);
}

void sr_emu_answer_status(sr_emu_exchange_t *exchange, unsigned status)
{
	sr_emu_answer(exchange, status, NULL, NULL);
}

void sr_emu_answer_json(sr_emu_exchange_t *exchange, unsigned status,
			struct json_object *object)
{
	const char *text = json_object_to_json_string_ext(
		object, JSON_C_TO_STRING_NOSLASHESCAPE);
	GBytes *body = g_bytes_new(text, strlen(text));

	sr_emu_answer(exchange, status, "application/json", body);
	g_bytes_unref(body);
	json_object_put(object);
}

void sr_emu_answer_throttled(sr_emu_exchange_t *exchange, unsigned status,
			     unsigned retry_after_s)
{
	char text[16];

	g_snprintf(text, sizeof(text), "%u", retry_after_s);
	sr_emu_set_header(exchange, "Retry-After", text);
	sr_emu_answer_status(exchange, status);
}

static void on_wait_timeout(void *user)
{
	sr_emu_exchange_t *exchange = user;
	sr_emu_poll_fn poll = exchange->poll;
	gboolean answered;

	exchange->timer = NULL;
	answered = poll(exchange->poll_user, exchange, TRUE);
	g_assert(answered);
}

/*
 * The timeout is detached during the poll, because sr_emu_answer() needs
 * exchange->timer for the delay of the answer.
 */
static void poll_waiting(sr_emu_exchange_t *exchange)
{
	sr_timer_t *timer = exchange->timer;

	exchange->timer = NULL;
	if (exchange->poll(exchange->poll_user, exchange, FALSE))
		sr_timer_cancel(timer);
	else
		exchange->timer = timer;
}

void sr_emu_long_poll(sr_emu_exchange_t *exchange, sr_usec_t timeout,
		      sr_emu_poll_fn poll, void *user)
{
	exchange->poll = poll;
	exchange->poll_user = user;
	exchange->timer = sr_timer_start(exchange->server->clock, timeout,
					 on_wait_timeout, exchange);
	poll_waiting(exchange);
}

void sr_emu_server_poll_waiting(sr_emu_server_t *server)
{
	sr_list_for_each_safe (pos, &server->exchanges) {
		sr_emu_exchange_t *exchange =
			sr_list_entry(pos, sr_emu_exchange_t, link);

		if (exchange->poll)
			poll_waiting(exchange);
	}
}

void sr_emu_stream_begin(sr_emu_exchange_t *exchange, const char *type,
			 void (*disconnected)(void *user), void *user)
{
	SoupServerMessage *message = exchange->message;
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);

	exchange->streaming = TRUE;
	exchange->disconnected = disconnected;
	exchange->disconnected_user = user;
	soup_server_message_set_status(message, 200, NULL);
	soup_message_headers_set_content_type(headers, type, NULL);
	soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
	soup_message_body_set_accumulate(
		soup_server_message_get_response_body(message), FALSE);
}

void sr_emu_stream_write(sr_emu_exchange_t *exchange, const char *text)
{
	soup_message_body_append(
		soup_server_message_get_response_body(exchange->message),
		SOUP_MEMORY_COPY, text, strlen(text));
	soup_server_message_unpause(exchange->message);
}

void sr_emu_stream_end(sr_emu_exchange_t *exchange)
{
	SoupServerMessage *message = g_object_ref(exchange->message);
	gboolean lost_reply = exchange->lost_reply;

	if (lost_reply) {
		sr_emu_abort(exchange);
	} else {
		exchange_free(exchange);
		soup_message_body_complete(
			soup_server_message_get_response_body(message));
		soup_server_message_unpause(message);
	}
	g_object_unref(message);
}

gboolean sr_emu_reply_is_lost(const sr_emu_exchange_t *exchange)
{
	return exchange->lost_reply;
}

static void run_handler(void *user)
{
	sr_emu_exchange_t *exchange = user;
	sr_emu_server_t *server = exchange->server;
	struct json_object *fault;

	exchange->timer = NULL;
	if (!sr_emu_request_is(exchange, "POST", "/admin/fault")) {
		server->handler(server->user, exchange);
		return;
	}
	fault = sr_emu_body_json(exchange);
	sr_emu_answer_status(
		exchange,
		fault && sr_emu_server_add_fault(server, fault) ? 204 : 400);
	json_object_put(fault);
}

/* Returns TRUE if the request is not to be run because of a fault. */
static gboolean apply_faults(sr_emu_exchange_t *exchange)
{
	sr_emu_server_t *server = exchange->server;
	sr_emu_fault_effects_t effects = sr_emu_faults_evaluate(
		server->faults, exchange->path, server->running);

	exchange->request_delay = server->latency + effects.delay;
	if (!server->streams) {
		exchange->request_delay /= 2;
		exchange->answer_delay = exchange->request_delay;
	}
	exchange->lost_reply = effects.lost_reply;
	if (effects.frozen)
		return TRUE;
	if (effects.down) {
		sr_emu_set_header(exchange, "X-Executed", "not-run");
		sr_emu_answer_throttled(exchange, 503, 1);
		return TRUE;
	}
	if (effects.failing) {
		sr_emu_answer_status(exchange, 500);
		return TRUE;
	}
	return FALSE;
}

static void on_request(SoupServer *soup, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer user)
{
	sr_emu_server_t *server = user;
	sr_emu_exchange_t *exchange = g_new0(sr_emu_exchange_t, 1);

	exchange->server = server;
	exchange->message = g_object_ref(message);
	exchange->path = g_uri_unescape_string(path, NULL);
	if (!exchange->path)
		exchange->path = g_strdup(path);
	exchange->query = query ? g_hash_table_ref(query) :
				  g_hash_table_new(g_str_hash, g_str_equal);
	exchange->body = soup_message_body_flatten(
		soup_server_message_get_request_body(message));
	exchange->finished_signal_id = g_signal_connect(
		message, "finished", G_CALLBACK(on_finished), exchange);
	sr_list_append(&server->exchanges, &exchange->link);
	soup_server_message_pause(message);
	if (!g_str_has_prefix(exchange->path, "/admin/") &&
	    apply_faults(exchange))
		return;
	exchange->timer = sr_timer_start(server->clock, exchange->request_delay,
					 run_handler, exchange);
}

static GSocketAddress *parse_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	GSocketAddress *address;
	guint64 port;
	char *host;

	if (!colon ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL))
		return NULL;
	host = g_strndup(text, (gsize)(colon - text));
	address = g_inet_socket_address_new_from_string(host, (guint)port);
	g_free(host);
	return address;
}

/*
 * Creates the socket itself: one that libsoup creates has a backlog of only ten
 * connections.
 */
static gboolean listen_on(SoupServer *soup, GSocketAddress *address,
			  GError **error)
{
	GSocket *socket = g_socket_new(g_socket_address_get_family(address),
				       G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, error);
	gboolean ok;

	if (!socket)
		return FALSE;
	g_socket_set_listen_backlog(socket, LISTEN_BACKLOG);
	ok = g_socket_bind(socket, address, TRUE, error) &&
	     g_socket_listen(socket, error) &&
	     soup_server_listen_socket(soup, socket, 0, error);
	g_object_unref(socket);
	return ok;
}

sr_emu_server_t *sr_emu_server_new(const sr_emu_server_options_t *options)
{
	GSocketAddress *address = parse_address(options->listen);
	sr_emu_server_t *server;
	GError *error = NULL;

	if (!address) {
		fprintf(stderr, "%s is not an address: give IP:PORT\n",
			options->listen);
		return NULL;
	}
	server = g_new0(sr_emu_server_t, 1);
	server->soup = soup_server_new(NULL, NULL);
	server->loop = g_main_loop_new(NULL, FALSE);
	server->clock = options->clock;
	server->faults = sr_emu_faults_new(options->seed);
	server->latency = options->latency;
	server->streams = options->streams;
	server->handler = options->handler;
	server->user = options->user;
	sr_list_init(&server->exchanges);
	soup_server_add_handler(server->soup, NULL, on_request, server, NULL);
	if (!listen_on(server->soup, address, &error)) {
		fprintf(stderr, "cannot listen on %s: %s\n", options->listen,
			error->message);
		g_error_free(error);
		sr_emu_server_free(server);
		server = NULL;
	}
	g_object_unref(address);
	return server;
}

void sr_emu_server_free(sr_emu_server_t *server)
{
	if (!server)
		return;
	soup_server_disconnect(server->soup);
	sr_list_for_each_safe (pos, &server->exchanges)
		exchange_free(sr_list_entry(pos, sr_emu_exchange_t, link));
	g_object_unref(server->soup);
	g_main_loop_unref(server->loop);
	sr_emu_faults_free(server->faults);
	g_free(server);
}

static gboolean on_signal(gpointer user)
{
	g_main_loop_quit(user);
	return G_SOURCE_CONTINUE;
}

void sr_emu_server_run(sr_emu_server_t *server)
{
	GSList *uris = soup_server_get_uris(server->soup);
	const GUri *uri = uris->data;
	guint sigterm_source =
		g_unix_signal_add(SIGTERM, on_signal, server->loop);
	guint sigint_source =
		g_unix_signal_add(SIGINT, on_signal, server->loop);

	printf("listening on %s:%d\n", g_uri_get_host((GUri *)uri),
	       g_uri_get_port((GUri *)uri));
	fflush(stdout);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	g_main_loop_run(server->loop);
	g_source_remove(sigterm_source);
	g_source_remove(sigint_source);
}

gboolean sr_emu_server_add_fault(sr_emu_server_t *server,
				 struct json_object *fault)
{
	return sr_emu_faults_add(server->faults, fault);
}

void sr_emu_server_set_running(sr_emu_server_t *server, unsigned running)
{
	server->running = running;
}

const char *sr_emu_method(const sr_emu_exchange_t *exchange)
{
	return soup_server_message_get_method(exchange->message);
}

const char *sr_emu_path(const sr_emu_exchange_t *exchange)
{
	return exchange->path;
}

gboolean sr_emu_request_is(const sr_emu_exchange_t *exchange,
			   const char *method, const char *path)
{
	return !strcmp(sr_emu_method(exchange), method) &&
	       !strcmp(exchange->path, path);
}

const char *sr_emu_query(const sr_emu_exchange_t *exchange, const char *name)
{
	return g_hash_table_lookup(exchange->query, name);
}

static guint64 parse_number(const char *text, guint64 fallback)
{
	guint64 number;

	if (text &&
	    g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, &number, NULL))
		return number;
	return fallback;
}

guint64 sr_emu_query_number(const sr_emu_exchange_t *exchange, const char *name,
			    guint64 fallback)
{
	return parse_number(sr_emu_query(exchange, name), fallback);
}

const char *sr_emu_header(const sr_emu_exchange_t *exchange, const char *name)
{
	return soup_message_headers_get_one(
		soup_server_message_get_request_headers(exchange->message),
		name);
}

guint64 sr_emu_header_number(const sr_emu_exchange_t *exchange,
			     const char *name, guint64 fallback)
{
	return parse_number(sr_emu_header(exchange, name), fallback);
}

GBytes *sr_emu_body(const sr_emu_exchange_t *exchange)
{
	return exchange->body;
}

struct json_object *sr_emu_body_json(const sr_emu_exchange_t *exchange)
{
	struct json_tokener *tokener = json_tokener_new_ex(JSON_MAX_DEPTH);
	gsize size = 0;
	const char *data = g_bytes_get_data(exchange->body, &size);
	struct json_object *object = NULL;

	if (size > 0 && size < G_MAXINT)
		object = json_tokener_parse_ex(tokener, data, (int)size);
	if (!json_object_is_type(object, json_type_object)) {
		json_object_put(object);
		object = NULL;
	}
	json_tokener_free(tokener);
	return object;
}

void sr_emu_set_header(sr_emu_exchange_t *exchange, const char *name,
		       const char *value)
{
	soup_message_headers_replace(
		soup_server_message_get_response_headers(exchange->message),
		name, value);
}

const char *sr_emu_json_string(struct json_object *object, const char *name,
			       const char *fallback)
{
	struct json_object *member;

	if (!json_object_object_get_ex(object, name, &member) ||
	    !json_object_is_type(member, json_type_string))
		return fallback;
	return json_object_get_string(member);
}

double sr_emu_json_number(struct json_object *object, const char *name,
			  double fallback)
{
	struct json_object *member;

	if (!json_object_object_get_ex(object, name, &member))
		return fallback;
	return json_object_get_double(member);
}

gboolean sr_emu_json_bool(struct json_object *object, const char *name,
			  gboolean fallback)
{
	struct json_object *member;

	if (!json_object_object_get_ex(object, name, &member))
		return fallback;
	return json_object_get_boolean(member);
}
