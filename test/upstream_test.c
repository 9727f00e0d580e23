#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <sys/socket.h>

#include "caller_rig.h"

/*
 * Socket server that counts connections and requests and closes a connection at
 * a given point.
 */
typedef enum {
	CLOSE_NEVER,
	CLOSE_ON_ACCEPT,      /* before reading */
	CLOSE_AFTER_REQUEST,  /* without a response */
	CLOSE_IN_HEADER,      /* within the header of the response */
	CLOSE_BETWEEN_CHUNKS, /* the response is incomplete */
	CLOSE_AFTER_RESPONSE, /* the response is complete */
	CLOSE_AFTER_TEXT,     /* server_t.text */
	RESET_AFTER_TEXT,     /* the same */
} close_point_t;

/** For the age of idle connections. */
static sr_clock_t *real_clock;

typedef struct {
	GSocketService *service;
	char address[32];
	close_point_t close_point;
	const char *text;
	unsigned n_connections;
	unsigned n_requests;
	GPtrArray *open; /* GSocketConnection */
} server_t;

typedef struct {
	server_t *server;
	GSocketConnection *stream;
	char buffer[4096];
	gsize size; /* of the part of the request received */
} session_t;

static void read_request(session_t *session);

static void end_session(session_t *session)
{
	g_io_stream_close(G_IO_STREAM(session->stream), NULL, NULL);
	g_object_unref(session->stream);
	g_free(session);
}

static void reset_session(session_t *session)
{
	const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };
	GSocket *socket = g_socket_connection_get_socket(session->stream);

	setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &at_once,
		   sizeof(at_once));
	end_session(session);
}

static void write_text(session_t *session, const char *text)
{
	g_output_stream_write_all(
		g_io_stream_get_output_stream(G_IO_STREAM(session->stream)),
		text, strlen(text), NULL, NULL, NULL);
}

static void respond(session_t *session)
{
	static const char complete[] = "HTTP/1.1 200 OK\r\n"
				       "Content-Length: 2\r\n\r\nok";
	server_t *server = session->server;

	server->n_requests++;
	switch (server->close_point) {
	case CLOSE_ON_ACCEPT:
	case CLOSE_AFTER_REQUEST:
		break;
	case CLOSE_IN_HEADER:
		write_text(session, "HTTP/1.1 200 OK\r\nContent-");
		break;
	case CLOSE_BETWEEN_CHUNKS:
		write_text(session, "HTTP/1.1 200 OK\r\n"
				    "Transfer-Encoding: chunked\r\n\r\n"
				    "2\r\nok\r\n");
		break;
	case CLOSE_AFTER_RESPONSE:
		write_text(session, complete);
		break;
	case CLOSE_AFTER_TEXT:
		write_text(session, server->text);
		break;
	case RESET_AFTER_TEXT:
		write_text(session, server->text);
		reset_session(session);
		return;
	case CLOSE_NEVER:
		write_text(session, complete);
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
	/* the header and the body may arrive in separate reads */
	if (g_str_has_suffix(session->buffer, "\r\n\r\n{}"))
		respond(session);
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
	if (server->close_point == CLOSE_ON_ACCEPT) {
		g_io_stream_close(G_IO_STREAM(stream), NULL, NULL);
		return TRUE;
	}
	session = g_new0(session_t, 1);
	session->server = server;
	session->stream = g_object_ref(stream);
	read_request(session);
	return TRUE;
}

static void open_server(server_t *server, close_point_t close_point)
{
	guint16 port;

	memset(server, 0, sizeof(*server));
	server->close_point = close_point;
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

static sr_fetch_end_t send_one(sr_http_client_t *client, const char *address,
			       const char *method, gboolean idempotent)
{
	rig_answer_t response = { .body = g_string_new(NULL) };
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
		.user = &response,
	};

	response.fetch = sr_http_send(client, &options);
	assert_non_null(response.fetch);
	RIG_WAIT(response.ended);
	g_string_free(response.body, TRUE);
	g_free(response.retry_after);
	g_bytes_unref(body);
	return response.end;
}

/*
 * A non-idempotent request must not be sent again when its connection closes.
 * It must not be sent on an earlier connection either, whether that is idle or
 * was just closed.
 */
static void test_non_idempotent_request_is_sent_at_most_once(void **state)
{
	static const close_point_t close_points[] = { CLOSE_ON_ACCEPT,
						      CLOSE_AFTER_REQUEST,
						      CLOSE_IN_HEADER,
						      CLOSE_BETWEEN_CHUNKS };
	static const char *const methods[] = { "POST", "PUT", "DELETE" };

	for (size_t i = 0; i < G_N_ELEMENTS(close_points); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(methods); j++) {
			sr_http_client_t *client =
				sr_http_client_new(&(sr_http_client_options_t){
					.clock = real_clock });
			server_t server;

			open_server(&server,
				    j % 2 ? CLOSE_AFTER_RESPONSE : CLOSE_NEVER);
			assert_int_equal(
				send_one(client, server.address, "POST", TRUE),
				SR_FETCH_COMPLETE);
			server.close_point = close_points[i];
			server.n_requests = 0;
			server.n_connections = 0;
			assert_int_equal(send_one(client, server.address,
						  methods[j], FALSE),
					 SR_FETCH_BROKEN);
			rig_settle();
			assert_int_equal(server.n_connections, 1);
			assert_true(server.n_requests <= 1);
			sr_http_client_free(client);
			close_server(&server);
			rig_settle();
		}
	}
}

static void test_refused_connection_reports_not_sent(void **state)
{
	sr_http_client_t *client = sr_http_client_new(
		&(sr_http_client_options_t){ .clock = real_clock });
	server_t server;

	open_server(&server, CLOSE_NEVER);
	close_server(&server);
	assert_int_equal(send_one(client, server.address, "POST", FALSE),
			 SR_FETCH_NOT_SENT);
	sr_http_client_free(client);
	rig_settle();
}

static void test_idempotent_requests_share_a_connection(void **state)
{
	sr_http_client_t *client = sr_http_client_new(
		&(sr_http_client_options_t){ .clock = real_clock });
	server_t server;

	open_server(&server, CLOSE_NEVER);
	for (int i = 0; i < 3; i++)
		assert_int_equal(send_one(client, server.address, "POST", TRUE),
				 SR_FETCH_COMPLETE);
	assert_int_equal(server.n_connections, 1);
	assert_int_equal(send_one(client, server.address, "POST", FALSE),
			 SR_FETCH_COMPLETE);
	assert_int_equal(server.n_connections, 2);
	sr_http_client_free(client);
	close_server(&server);
	rig_settle();
}

#define OK_HEAD "HTTP/1.1 200 OK\r\n"

/* Guards against bytes that are no answer in HTTP/1.1 and are passed on as one.
 */
static void test_malformed_response_is_broken(void **state)
{
	static const char *const texts[] = {
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 O\033K\r\nContent-Length: 2\r\n\r\nok",
		OK_HEAD "A b: c\r\nContent-Length: 2\r\n\r\nok",
		OK_HEAD "A\001: c\r\nContent-Length: 2\r\n\r\nok",
		OK_HEAD "Content-Length : 1\r\n\r\nok",
		OK_HEAD "Content-Length\001: 1\r\n\r\nok",
		OK_HEAD "Content-Length: 2\r\nContent-Length: 1\r\n\r\nok",
		OK_HEAD "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n"
			"0\r\n\r\n",
		OK_HEAD "Transfer-Encoding: gzip\r\n\r\nok",
		OK_HEAD "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"
			"\r\n2\r\nok\r\n0\r\n\r\n",
		OK_HEAD "Transfer-Encoding: chunked\r\n\r\n2zz\r\nok\r\n"
			"0\r\n\r\n",
	};
	sr_http_client_t *client = sr_http_client_new(
		&(sr_http_client_options_t){ .clock = real_clock });

	(void)state;
	for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
		server_t server;

		open_server(&server, CLOSE_AFTER_TEXT);
		server.text = texts[i];
		if (send_one(client, server.address, "POST", FALSE) !=
		    SR_FETCH_BROKEN)
			fail_msg("case %zu: %s", i, texts[i]);
		close_server(&server);
	}
	sr_http_client_free(client);
}

/* Guards against part of a response that is taken for the whole one: it has no
 * length, and its connection is reset. One that is closed in order is whole. */
static void test_reset_is_no_end_of_a_response(void **state)
{
	sr_http_client_t *client = sr_http_client_new(
		&(sr_http_client_options_t){ .clock = real_clock });
	server_t server;

	(void)state;
	open_server(&server, CLOSE_AFTER_TEXT);
	server.text = OK_HEAD "\r\nok";
	assert_int_equal(send_one(client, server.address, "POST", FALSE),
			 SR_FETCH_COMPLETE);
	server.close_point = RESET_AFTER_TEXT;
	assert_int_equal(send_one(client, server.address, "POST", FALSE),
			 SR_FETCH_BROKEN);
	close_server(&server);
	sr_http_client_free(client);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_non_idempotent_request_is_sent_at_most_once),
		cmocka_unit_test(test_refused_connection_reports_not_sent),
		cmocka_unit_test(test_malformed_response_is_broken),
		cmocka_unit_test(test_reset_is_no_end_of_a_response),
		cmocka_unit_test(test_idempotent_requests_share_a_connection),
	};
	int n_failed;

	real_clock = sr_clock_new_real();
	n_failed = cmocka_run_group_tests(tests, NULL, NULL);
	sr_clock_free(real_clock);
	return n_failed;
}
