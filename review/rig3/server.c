/* The server: a thread for each connection. */
#include "rig.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct {
	rig_t *rig;
	int fd;
	unsigned work_ms;
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

static gboolean answer(const service_t *service, const char *head)
{
	rig_t *rig = service->rig;
	char *id = field_of(rig, head, "id");
	char *instance = field_of(rig, head, "instance");
	const char *slash = strstr(head, "/look/");
	gsize size = 0;
	char *size_text;
	char *text;
	char *body;
	gboolean ok;

	if (slash)
		size = (gsize)g_ascii_strtoull(slash + strlen("/look/"), NULL,
					       10);
	size_text = g_strdup_printf("%zu", size);
	body = g_malloc(size + 1);
	memset(body, 'x', size);
	if (g_strcmp0(instance, "i-1") != 0) {
		text = rig_text(rig, "server", "misdirected", RIG_END);
		size = 0;
	} else {
		g_mutex_lock(&rig->lock);
		g_hash_table_add(rig->runs, g_strdup(id ? id : ""));
		g_mutex_unlock(&rig->lock);
		rig_note(rig, "server runs %s", id ? id : "(no id)");
		g_usleep((gulong)service->work_ms * 1000);
		text = rig_text(rig, "server", "answer", "ID", id ? id : "",
				"SIZE", size_text, RIG_END);
	}
	ok = send_all(service->fd, text, strlen(text)) &&
	     send_all(service->fd, body, size);
	if (size > 0)
		rig_note(rig, "server %s %s",
			 ok ? "has sent all of" : "could not send", id);
	g_free(text);
	g_free(body);
	g_free(size_text);
	g_free(instance);
	g_free(id);
	return ok;
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
	close(service->fd);
	g_free(service);
	return NULL;
}

static gpointer accept_all(gpointer data)
{
	service_t *listener = data;

	for (;;) {
		service_t *service;
		int fd = accept(listener->fd, NULL, NULL);

		if (fd < 0)
			continue;
		service = g_new0(service_t, 1);
		*service = *listener;
		service->fd = fd;
		g_thread_unref(g_thread_new("serve", serve, service));
	}
	return NULL;
}

gboolean rig_start_server(rig_t *rig, unsigned work_ms)
{
	service_t *listener = g_new0(service_t, 1);

	listener->rig = rig;
	listener->work_ms = work_ms;
	listener->fd = rig_listen(&rig->server_port);
	if (listener->fd < 0) {
		g_free(listener);
		return FALSE;
	}
	g_thread_unref(g_thread_new("accept", accept_all, listener));
	return TRUE;
}
