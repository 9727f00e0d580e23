#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "caller_rig.h"

/*
 * A server that is written by hand: it counts connections and requests and
 * resets a connection at a chosen moment.
 */
typedef enum {
	RESET_NEVER,
	RESET_ON_ACCEPT,      /* before anything is read */
	RESET_AFTER_REQUEST,  /* the request was read, no answer */
	RESET_IN_HEADER,      /* in the middle of the answer's header */
	RESET_BETWEEN_CHUNKS, /* the answer is not whole */
	CLOSE_AFTER_ANSWER,   /* the answer is whole; an idle connection goes */
} reset_t;

typedef struct {
	GSocketService *service;
	char address[32];
	reset_t reset;
	unsigned n_connections;
	unsigned n_requests;
	GPtrArray *open; /* GSocketConnection */
} server_t;

typedef struct {
	server_t *server;
	GSocketConnection *stream;
	char buffer[4096];
	gsize size; /* of the request so far */
} session_t;

static void read_request(session_t *session);

static void end_session(session_t *session)
{
	g_io_stream_close(G_IO_STREAM(session->stream), NULL, NULL);
	g_object_unref(session->stream);
	g_free(session);
}

static void write_text(session_t *session, const char *text)
{
	g_output_stream_write_all(
		g_io_stream_get_output_stream(G_IO_STREAM(session->stream)),
		text, strlen(text), NULL, NULL, NULL);
}

static void answer_request(session_t *session)
{
	static const char whole[] = "HTTP/1.1 200 OK\r\n"
				    "Content-Length: 2\r\n\r\nok";
	server_t *server = session->server;

	server->n_requests++;
	switch (server->reset) {
	case RESET_ON_ACCEPT:
	case RESET_AFTER_REQUEST:
		break;
	case RESET_IN_HEADER:
		write_text(session, "HTTP/1.1 200 OK\r\nContent-");
		break;
	case RESET_BETWEEN_CHUNKS:
		write_text(session, "HTTP/1.1 200 OK\r\n"
				    "Transfer-Encoding: chunked\r\n\r\n"
				    "2\r\nok\r\n");
		break;
	case CLOSE_AFTER_ANSWER:
		write_text(session, whole);
		break;
	case RESET_NEVER:
		write_text(session, whole);
		memset(session->buffer, 0, sizeof(session->buffer));
		session->size = 0;
		read_request(session);
		return;
	}
	end_session(session);
}

static void on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	session_t *session = data;
	gssize size = g_input_stream_read_finish(G_INPUT_STREAM(source), result,
						 NULL);

	if (size <= 0) {
		end_session(session);
		return;
	}
	session->size += (gsize)size;
	/* Header and body may come one after the other. */
	if (g_str_has_suffix(session->buffer, "\r\n\r\n{}"))
		answer_request(session);
	else
		read_request(session);
}

static void read_request(session_t *session)
{
	g_input_stream_read_async(
		g_io_stream_get_input_stream(G_IO_STREAM(session->stream)),
		session->buffer + session->size,
		sizeof(session->buffer) - session->size - 1, G_PRIORITY_DEFAULT,
		NULL, on_read, session);
}

static gboolean on_incoming(GSocketService *service, GSocketConnection *stream,
			    GObject *source, gpointer data)
{
	server_t *server = data;
	session_t *session;

	server->n_connections++;
	if (server->reset == RESET_ON_ACCEPT) {
		g_io_stream_close(G_IO_STREAM(stream), NULL, NULL);
		return TRUE;
	}
	session = g_new0(session_t, 1);
	session->server = server;
	session->stream = g_object_ref(stream);
	read_request(session);
	return TRUE;
}

static void open_server(server_t *server, reset_t reset)
{
	guint16 port;

	memset(server, 0, sizeof(*server));
	server->reset = reset;
	server->service = g_socket_service_new();
	port = g_socket_listener_add_any_inet_port(
		G_SOCKET_LISTENER(server->service), NULL, NULL);
	g_snprintf(server->address, sizeof(server->address), "127.0.0.1:%u",
		   port);
	g_signal_connect(server->service, "incoming", G_CALLBACK(on_incoming),
			 server);
	g_socket_service_start(server->service);
}

static void close_server(server_t *server)
{
	g_socket_service_stop(server->service);
	g_socket_listener_close(G_SOCKET_LISTENER(server->service));
	g_object_unref(server->service);
}

static sr_fetch_end_t send_one(sr_upstream_client_t *client,
			       const char *address, const char *method,
			       gboolean idempotent)
{
	rig_answer_t answer = { .body = g_string_new(NULL) };
	GBytes *body = g_bytes_new_static("{}", 2);
	const sr_fetch_options_t options = {
		.address = address,
		.method = method,
		.path = "/x",
		.content_type = "application/json",
		.body = body,
		.idempotent = idempotent,
		.on_headers = rig_on_headers,
		.on_data = rig_on_data,
		.on_end = rig_on_end,
		.user = &answer,
	};

	answer.fetch = sr_upstream_send(client, &options);
	assert_non_null(answer.fetch);
	RIG_WAIT(answer.ended);
	g_string_free(answer.body, TRUE);
	g_free(answer.retry_after);
	g_bytes_unref(body);
	return answer.end;
}

/* Whatever happens to the connection, the server sees one request at most,
 * also where an earlier connection to it is open or was just closed. */
static void test_request_that_is_not_idempotent_is_sent_once(void **state)
{
	static const reset_t resets[] = { RESET_ON_ACCEPT, RESET_AFTER_REQUEST,
					  RESET_IN_HEADER,
					  RESET_BETWEEN_CHUNKS };
	static const char *const methods[] = { "POST", "PUT", "DELETE" };

	for (size_t i = 0; i < G_N_ELEMENTS(resets); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(methods); j++) {
			sr_upstream_client_t *client = sr_upstream_client_new();
			server_t server;

			open_server(&server,
				    j % 2 ? CLOSE_AFTER_ANSWER : RESET_NEVER);
			assert_int_equal(
				send_one(client, server.address, "POST", TRUE),
				SR_FETCH_COMPLETE);
			server.reset = resets[i];
			server.n_requests = 0;
			server.n_connections = 0;
			assert_int_equal(send_one(client, server.address,
						  methods[j], FALSE),
					 SR_FETCH_BROKEN);
			rig_settle();
			assert_int_equal(server.n_connections, 1);
			assert_true(server.n_requests <= 1);
			sr_upstream_client_free(client);
			close_server(&server);
			rig_settle();
		}
	}
}

static void test_nothing_was_sent_if_nobody_listens(void **state)
{
	sr_upstream_client_t *client = sr_upstream_client_new();
	server_t server;

	open_server(&server, RESET_NEVER);
	close_server(&server);
	assert_int_equal(send_one(client, server.address, "POST", FALSE),
			 SR_FETCH_NOT_SENT);
	sr_upstream_client_free(client);
	rig_settle();
}

static void test_idempotent_requests_share_a_connection(void **state)
{
	sr_upstream_client_t *client = sr_upstream_client_new();
	server_t server;

	open_server(&server, RESET_NEVER);
	for (int i = 0; i < 3; i++)
		assert_int_equal(send_one(client, server.address, "POST", TRUE),
				 SR_FETCH_COMPLETE);
	assert_int_equal(server.n_connections, 1);
	assert_int_equal(send_one(client, server.address, "POST", FALSE),
			 SR_FETCH_COMPLETE);
	assert_int_equal(server.n_connections, 2);
	sr_upstream_client_free(client);
	close_server(&server);
	rig_settle();
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_request_that_is_not_idempotent_is_sent_once),
		cmocka_unit_test(test_nothing_was_sent_if_nobody_listens),
		cmocka_unit_test(test_idempotent_requests_share_a_connection),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
