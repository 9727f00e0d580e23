#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "stand_in.h"

typedef struct {
	int fd;
	serve_fn fn;
	void *user;
} server_t;

connection_t *connection_new(int fd)
{
	connection_t *connection = g_new0(connection_t, 1);

	connection->fd = fd;
	connection->input = g_byte_array_new();
	return connection;
}

void connection_free(connection_t *connection)
{
	close(connection->fd);
	g_byte_array_unref(connection->input);
	g_free(connection);
}

static struct sockaddr_in address_of(const char *ip, int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };

	address.sin_port = htons((guint16)port);
	inet_pton(AF_INET, ip, &address.sin_addr);
	return address;
}

int connect_to(const char *ip, int port, int timeout_ms)
{
	struct sockaddr_in address = address_of(ip, port);
	struct timeval timeout = { .tv_sec = timeout_ms / 1000,
				   .tv_usec = timeout_ms % 1000 * 1000 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

static gboolean read_more(connection_t *connection)
{
	guint8 data[16384];
	ssize_t n = recv(connection->fd, data, sizeof(data), 0);

	if (n <= 0)
		return FALSE;
	g_byte_array_append(connection->input, data, (guint)n);
	return TRUE;
}

static gboolean wait_for(connection_t *connection, gsize size)
{
	while (connection->input->len < size) {
		if (!read_more(connection))
			return FALSE;
	}
	return TRUE;
}

/* The length of the line without its end, or -1. */
static gssize read_line(connection_t *connection)
{
	for (;;) {
		const char *data = (const char *)connection->input->data;
		const char *at =
			data ? g_strstr_len(data, connection->input->len,
					    "\r\n") :
			       NULL;

		if (at)
			return at - data;
		if (!read_more(connection))
			return -1;
	}
}

static char *take_line(connection_t *connection)
{
	gssize length = read_line(connection);
	char *line;

	if (length < 0)
		return NULL;
	line = g_strndup((const char *)connection->input->data, (gsize)length);
	g_byte_array_remove_range(connection->input, 0, (guint)length + 2);
	return line;
}

static gboolean take_body(connection_t *connection, message_t *message,
			  gsize size)
{
	if (!wait_for(connection, size))
		return FALSE;
	g_byte_array_append(message->body, connection->input->data,
			    (guint)size);
	g_byte_array_remove_range(connection->input, 0, (guint)size);
	return TRUE;
}

static gboolean take_chunks(connection_t *connection, message_t *message)
{
	for (;;) {
		char *line = take_line(connection);
		gsize size;

		if (!line)
			return FALSE;
		size = strtoul(line, NULL, 16);
		g_free(line);
		if (!take_body(connection, message, size))
			return FALSE;
		line = take_line(connection);
		if (!line)
			return FALSE;
		g_free(line);
		if (size == 0)
			return TRUE;
	}
}

const char *message_field(const message_t *message, const char *name)
{
	for (guint i = 0; i + 1 < message->fields->len; i += 2) {
		if (!g_ascii_strcasecmp(message->fields->pdata[i], name))
			return message->fields->pdata[i + 1];
	}
	return NULL;
}

static gboolean take_head(connection_t *connection, message_t *message)
{
	char *line = take_line(connection);
	char **words = line ? g_strsplit(line, " ", 3) : NULL;

	g_free(line);
	if (!words || g_strv_length(words) < 2) {
		g_strfreev(words);
		return FALSE;
	}
	message->first = g_strdup(words[0]);
	message->second = g_strdup(words[1]);
	g_strfreev(words);
	for (;;) {
		char *colon;

		line = take_line(connection);
		if (!line || !*line) {
			gboolean is_end = line != NULL;

			g_free(line);
			return is_end;
		}
		colon = strchr(line, ':');
		if (colon) {
			*colon = '\0';
			g_ptr_array_add(message->fields, g_strdup(line));
			g_ptr_array_add(message->fields,
					g_strdup(g_strstrip(colon + 1)));
		}
		g_free(line);
	}
}

message_t *message_read_head(connection_t *connection)
{
	message_t *message = g_new0(message_t, 1);

	message->fields = g_ptr_array_new_with_free_func(g_free);
	message->body = g_byte_array_new();
	if (take_head(connection, message))
		return message;
	message_free(message);
	return NULL;
}

gboolean message_read_body(connection_t *connection, message_t *message)
{
	const char *length = message_field(message, "Content-Length");
	const char *coding = message_field(message, "Transfer-Encoding");

	if (length)
		return take_body(connection, message,
				 strtoul(length, NULL, 10));
	return !coding || take_chunks(connection, message);
}

message_t *message_read(connection_t *connection)
{
	message_t *message = message_read_head(connection);

	if (!message || message_read_body(connection, message))
		return message;
	message_free(message);
	return NULL;
}

gboolean message_read_line(connection_t *connection)
{
	char *line = take_line(connection);

	if (line)
		record("a line: '%s'", line);
	g_free(line);
	return line != NULL;
}

void message_free(message_t *message)
{
	g_free(message->first);
	g_free(message->second);
	g_ptr_array_unref(message->fields);
	g_byte_array_unref(message->body);
	g_free(message);
}

gboolean send_text(int fd, const char *text, gsize size)
{
	while (size > 0) {
		ssize_t n = send(fd, text, size, MSG_NOSIGNAL);

		if (n <= 0)
			return FALSE;
		text += n;
		size -= (gsize)n;
	}
	return TRUE;
}

gboolean respond(int fd, int status, const char *fields, const char *body)
{
	char *text = g_strdup_printf("HTTP/1.1 %d Status\r\n%s"
				     "Content-Length: %zu\r\n\r\n%s",
				     status, fields ? fields : "", strlen(body),
				     body);
	gboolean is_sent = send_text(fd, text, strlen(text));

	g_free(text);
	return is_sent;
}

static gpointer run_connection(gpointer data)
{
	server_t *server = data;
	connection_t *connection = connection_new(server->fd);
	gboolean goes_on = TRUE;

	while (goes_on) {
		message_t *request = message_read(connection);

		if (!request)
			break;
		goes_on = server->fn(server->user, connection->fd, request);
		message_free(request);
	}
	connection_free(connection);
	g_free(server);
	return NULL;
}

static gpointer run_server(gpointer data)
{
	server_t *server = data;

	for (;;) {
		int fd = accept4(server->fd, NULL, NULL, SOCK_CLOEXEC);
		server_t *connection;
		int one = 1;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		connection = g_new0(server_t, 1);
		*connection = *server;
		connection->fd = fd;
		g_thread_unref(
			g_thread_new("connection", run_connection, connection));
	}
	return NULL;
}

static int listen_on(const char *ip, int port)
{
	struct sockaddr_in address = address_of(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
	    listen(fd, 512) == 0)
		return fd;
	close(fd);
	return -1;
}

static int port_of(int fd)
{
	struct sockaddr_in address = { 0 };
	socklen_t size = sizeof(address);

	if (getsockname(fd, (struct sockaddr *)&address, &size))
		return 0;
	return ntohs(address.sin_port);
}

int serve(const char *ip, serve_fn fn, void *user)
{
	server_t *server = g_new0(server_t, 1);

	server->fd = listen_on(ip, 0);
	server->fn = fn;
	server->user = user;
	if (server->fd < 0)
		fail_to_run("no port is free");
	g_thread_unref(g_thread_new("server", run_server, server));
	return port_of(server->fd);
}

/* TRUE if TCP and UDP are free there. */
static gboolean is_free(const char *ip, int port)
{
	struct sockaddr_in address = address_of(ip, port);
	int stream = listen_on(ip, port);
	int datagrams = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	gboolean is_bound =
		datagrams >= 0 && bind(datagrams, (struct sockaddr *)&address,
				       sizeof(address)) == 0;

	if (stream >= 0)
		close(stream);
	if (datagrams >= 0)
		close(datagrams);
	return stream >= 0 && is_bound;
}

int free_port(const char *const *ips, unsigned n)
{
	static int next = 20000;

	for (; next < 32000; next++) {
		unsigned i = 0;

		while (i < n && is_free(ips[i], next))
			i++;
		if (i == n)
			return next++;
	}
	fail_to_run("no port is free");
}
