/* Servers: a thread for each connection. */
#include "rig.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct {
	rig_t *rig;
	unsigned index;
	char *name;
	int listener;
	GMutex lock;
	gboolean is_up;
	GArray *connections; /* int */
} server_t;

typedef struct {
	server_t *server;
	int fd;
} service_t;

/* Reads up to the end of a head; the requests have no body. NULL at the end of
 * the connection. */
static char *read_head(int fd)
{
	GString *head = g_string_new(NULL);
	char c;

	while (!g_str_has_suffix(head->str, "\r\n\r\n")) {
		if (recv(fd, &c, 1, 0) != 1) {
			g_string_free(head, TRUE);
			return NULL;
		}
		g_string_append_c(head, c);
	}
	return g_string_free(head, FALSE);
}

static char *field_of(const rig_t *rig, const char *head, const char *key)
{
	char *name = rig_text(rig, "server", key, RIG_END);
	char *mark = g_strdup_printf("\r\n%s: ", name);
	const char *at = strcasestr(head, mark);
	char *value = NULL;

	if (at) {
		at += strlen(mark);
		value = g_strndup(at, strcspn(at, "\r"));
	}
	g_free(mark);
	g_free(name);
	return value;
}

static gboolean send_all(int fd, const char *data, gsize size)
{
	while (size > 0) {
		ssize_t n = send(fd, data, size, MSG_NOSIGNAL);

		if (n <= 0)
			return FALSE;
		data += n;
		size -= (gsize)n;
	}
	return TRUE;
}

/* Its process ends: all its connections end, and it refuses new ones until it
 * starts again. */
static void crash(server_t *server, const char *id)
{
	rig_t *rig = server->rig;
	rig_arrival_t arrival = { .at = rig_ms(rig) };

	g_mutex_lock(&server->lock);
	if (!server->is_up) {
		g_mutex_unlock(&server->lock);
		return;
	}
	server->is_up = FALSE;
	shutdown(server->listener, SHUT_RDWR);
	for (guint i = 0; i < server->connections->len; i++)
		shutdown(g_array_index(server->connections, int, i), SHUT_RDWR);
	g_mutex_unlock(&server->lock);
	g_strlcpy(arrival.id, id, sizeof(arrival.id));
	g_mutex_lock(&rig->lock);
	g_array_append_val(rig->crashes, arrival);
	g_mutex_unlock(&rig->lock);
	rig_note(rig, "server %s crashes under %s", server->name, id);
}

gboolean rig_is_archive(const rig_t *rig, unsigned server)
{
	return server >= rig->n_servers - rig->n_archive;
}

static void note_run(const service_t *service, const char *id,
		     gboolean is_crash, gboolean is_look)
{
	unsigned index = service->server->index;
	rig_t *rig = service->server->rig;
	rig_arrival_t arrival = { .at = rig_ms(rig) };

	g_strlcpy(arrival.id, id, sizeof(arrival.id));
	g_mutex_lock(&rig->lock);
	g_hash_table_add(rig->runs, g_strdup(id));
	if (is_crash)
		g_array_append_val(rig->arrivals, arrival);
	rig->n_misrouted += is_look && rig_is_archive(rig, index);
	g_mutex_unlock(&rig->lock);
	rig_note(rig, "server %s of %s runs %s of %s", service->server->name,
		 rig_is_archive(rig, index) ? "archive" : "ledger", id,
		 is_look ? "ledger" : "archive");
	g_usleep((gulong)rig->work_ms * 1000);
}

static gboolean send_answer(const service_t *service, const char *id,
			    gsize size)
{
	rig_t *rig = service->server->rig;
	char *size_text = g_strdup_printf("%zu", size);
	char *text = rig_text(rig, "server", "answer", "ID", id, "SIZE",
			      size_text, RIG_END);
	char *body = g_malloc(size + 1);
	gboolean ok;

	memset(body, 'x', size);
	ok = send_all(service->fd, text, strlen(text)) &&
	     send_all(service->fd, body, size);
	rig_note(rig, "server %s %s %s", service->server->name,
		 ok ? "has sent all of" : "could not send", id);
	g_free(body);
	g_free(text);
	g_free(size_text);
	return ok;
}

static gboolean send_misdirected(const service_t *service)
{
	char *text = rig_text(service->server->rig, "server", "misdirected",
			      "INSTANCE", service->server->name, RIG_END);
	gboolean ok = send_all(service->fd, text, strlen(text));

	g_free(text);
	return ok;
}

static gboolean answer(const service_t *service, const char *head)
{
	rig_t *rig = service->server->rig;
	char *id = field_of(rig, head, "id");
	char *instance = field_of(rig, head, "instance");
	const char *what = strstr(head, "/look/");
	gboolean is_look = what != NULL;
	gboolean is_crash;
	gboolean ok = FALSE;

	what = what ? what : strstr(head, "/keep/");
	what = what ? what + strlen("/look/") : "";
	is_crash = g_str_has_prefix(what, RIG_CRASH);
	if (g_strcmp0(instance, service->server->name) != 0) {
		ok = send_misdirected(service);
	} else if (id) {
		note_run(service, id, is_crash, is_look);
		if (is_crash && rig->is_crashed)
			crash(service->server, id);
		else
			ok = send_answer(
				service, id,
				(gsize)g_ascii_strtoull(what, NULL, 10));
	}
	g_free(instance);
	g_free(id);
	return ok;
}

static void drop_connection(server_t *server, int fd)
{
	g_mutex_lock(&server->lock);
	for (guint i = 0; i < server->connections->len; i++) {
		if (g_array_index(server->connections, int, i) == fd) {
			g_array_remove_index_fast(server->connections, i);
			break;
		}
	}
	close(fd);
	g_mutex_unlock(&server->lock);
}

static gpointer serve(gpointer data)
{
	service_t *service = data;
	char *head;

	while ((head = read_head(service->fd))) {
		gboolean ok = answer(service, head);

		g_free(head);
		if (!ok)
			break;
	}
	drop_connection(service->server, service->fd);
	g_free(service);
	return NULL;
}

/* Starts again after a crash, as a new incarnation. */
static void restart(server_t *server)
{
	rig_t *rig = server->rig;
	int listener;

	close(server->listener);
	g_usleep((gulong)rig->down_ms * 1000);
	while ((listener = rig_listen(rig->server_ports[server->index])) < 0)
		g_usleep(10 * 1000);
	g_mutex_lock(&server->lock);
	server->listener = listener;
	server->is_up = TRUE;
	g_mutex_unlock(&server->lock);
	rig->born_ms[server->index] = g_get_real_time() / 1000;
	rig_register_server(rig, server->index);
	rig_note(rig, "server %s is back", server->name);
}

static gpointer accept_all(gpointer data)
{
	server_t *server = data;

	for (;;) {
		int fd = accept(server->listener, NULL, NULL);
		service_t *service;

		if (!server->is_up) {
			if (fd >= 0)
				close(fd);
			restart(server);
			continue;
		}
		if (fd < 0)
			continue;
		service = g_new0(service_t, 1);
		service->server = server;
		service->fd = fd;
		g_mutex_lock(&server->lock);
		g_array_append_val(server->connections, fd);
		g_mutex_unlock(&server->lock);
		g_thread_unref(g_thread_new("serve", serve, service));
	}
	return NULL;
}

gboolean rig_start_servers(rig_t *rig)
{
	for (unsigned i = 0; i < rig->n_servers; i++) {
		server_t *server = g_new0(server_t, 1);

		g_mutex_init(&server->lock);
		server->rig = rig;
		server->index = i;
		server->name = g_strdup_printf("i-%u", i + 1);
		server->connections = g_array_new(FALSE, FALSE, sizeof(int));
		rig->born_ms[i] = g_get_real_time() / 1000;
		server->is_up = TRUE;
		server->listener = rig_listen(rig->server_ports[i]);
		if (server->listener < 0)
			return FALSE;
		g_thread_unref(g_thread_new("accept", accept_all, server));
	}
	return TRUE;
}
