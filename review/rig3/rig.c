#include "rig.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define PORTS_OF_HOST 5
#define PORTS_NEEDED (PORTS_OF_HOST + RIG_SERVERS_MAX)

char *rig_text(const rig_t *rig, const char *group, const char *key, ...)
{
	char *value = g_key_file_get_string(rig->wire, group, key, NULL);
	GString *text = g_string_new(value ? value : "");
	const char *name;
	va_list args;

	va_start(args, key);
	while ((name = va_arg(args, const char *))) {
		char *mark = g_strdup_printf("@%s@", name);

		g_string_replace(text, mark, va_arg(args, const char *), 0);
		g_free(mark);
	}
	va_end(args);
	g_free(value);
	return g_string_free(text, FALSE);
}

gint64 rig_ms(const rig_t *rig)
{
	return (g_get_monotonic_time() - rig->started) / 1000;
}

void rig_note(rig_t *rig, const char *format, ...)
{
	va_list args;

	g_mutex_lock(&rig->lock);
	fprintf(rig->record, "%7" G_GINT64_FORMAT " ", rig_ms(rig));
	va_start(args, format);
	vfprintf(rig->record, format, args);
	va_end(args);
	fputc('\n', rig->record);
	fflush(rig->record);
	g_mutex_unlock(&rig->lock);
}

gboolean rig_has_run(rig_t *rig, const char *id)
{
	gboolean has_run;

	g_mutex_lock(&rig->lock);
	has_run = g_hash_table_contains(rig->runs, id);
	g_mutex_unlock(&rig->lock);
	return has_run;
}

static struct sockaddr_in loopback(int last, int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };

	address.sin_port = htons((guint16)port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK - 1 + (guint32)last);
	return address;
}

int rig_listen(int port)
{
	const struct sockaddr_in address = loopback(1, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int yes = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
	if (!bind(fd, (const struct sockaddr *)&address, sizeof(address)) &&
	    !listen(fd, 128))
		return fd;
	close(fd);
	return -1;
}

static gboolean is_free(int last, int port)
{
	const struct sockaddr_in address = loopback(last, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	gboolean ok = fd >= 0 && !bind(fd, (const struct sockaddr *)&address,
				       sizeof(address));

	if (fd >= 0)
		close(fd);
	return ok;
}

/* Below the ephemeral ports, so that no connection occupies one. */
gboolean rig_find_ports(rig_t *rig)
{
	for (int tries = 0; tries < 100; tries++) {
		int port = g_random_int_range(2000, 3200) * 10;
		gboolean ok = TRUE;

		for (int i = 0; ok && i < PORTS_NEEDED; i++) {
			for (int host = 1; ok && host <= RIG_HOSTS_MAX; host++)
				ok = is_free(host, port + i);
		}
		rig->host_port = port;
		for (int i = 0; i < RIG_SERVERS_MAX; i++)
			rig->server_ports[i] = port + PORTS_OF_HOST + i;
		if (ok)
			return TRUE;
	}
	return FALSE;
}

static char *settings_of(const rig_t *rig, unsigned host)
{
	char *ip = g_strdup_printf("127.0.0.%u", host + 1);
	char *number = g_strdup_printf("%u", host + 1);
	char *store = g_strdup_printf("%d", rig->store_port);
	char *ports[PORTS_OF_HOST];
	char *text;

	for (int i = 0; i < PORTS_OF_HOST; i++)
		ports[i] = g_strdup_printf("%d", rig->host_port + i);
	text = rig_text(rig, "host", "settings", "N", number, "IP", ip, "STORE",
			store, "P0", ports[0], "P1", ports[1], "P2", ports[2],
			"P3", ports[3], "P4", ports[4], RIG_END);
	for (int i = 0; i < PORTS_OF_HOST; i++)
		g_free(ports[i]);
	g_free(store);
	g_free(number);
	g_free(ip);
	return text;
}

gboolean rig_start_host(rig_t *rig, unsigned host)
{
	char *path = g_strdup_printf("%s/host%u.json", rig->folder, host);
	char *log = g_strdup_printf("%s/host%u.log", rig->folder, host);
	char *settings = settings_of(rig, host);
	FILE *out = fopen(log, "ae");
	char *argv[] = { (char *)rig->program, path, NULL };
	gboolean ok = out && g_file_set_contents(path, settings, -1, NULL) &&
		      g_spawn_async_with_fds(NULL, argv, NULL,
					     G_SPAWN_DO_NOT_REAP_CHILD, NULL,
					     NULL, &rig->hosts[host], -1,
					     fileno(out), fileno(out), NULL);

	if (out)
		fclose(out);
	g_free(settings);
	g_free(log);
	g_free(path);
	return ok;
}

void rig_end_hosts(rig_t *rig)
{
	for (unsigned i = 0; i < RIG_HOSTS_MAX; i++) {
		if (rig->hosts[i] <= 0)
			continue;
		kill(rig->hosts[i], SIGKILL);
		waitpid(rig->hosts[i], NULL, 0);
		rig->hosts[i] = 0;
	}
}

void rig_remove_folder(const rig_t *rig)
{
	GDir *folder = rig->folder ? g_dir_open(rig->folder, 0, NULL) : NULL;
	const char *name;

	while (folder && (name = g_dir_read_name(folder))) {
		char *path = g_build_filename(rig->folder, name, NULL);

		unlink(path);
		g_free(path);
	}
	if (!folder)
		return;
	g_dir_close(folder);
	rmdir(rig->folder);
}

int rig_connect(const rig_t *rig, unsigned host)
{
	const struct sockaddr_in address =
		loopback((int)host + 1, rig->host_port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (!connect(fd, (const struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

static gboolean send_request(const rig_t *rig, int fd, const rig_ask_t *ask)
{
	char *size = g_strdup_printf("%zu", ask->size);
	char *ms = g_strdup_printf("%u", ask->time_ms);
	char *crash = g_strdup_printf(RIG_CRASH "-%u", ask->kind);
	char *text = rig_text(rig, "client", "request", "ROUTE",
			      ask->is_keep ? "keep" : "look", "WHAT",
			      ask->is_crash ? crash : size, "ID", ask->id, "MS",
			      ms, RIG_END);
	gboolean ok = send(fd, text, strlen(text), MSG_NOSIGNAL) ==
		      (ssize_t)strlen(text);

	g_free(text);
	g_free(crash);
	g_free(ms);
	g_free(size);
	return ok;
}

/* Reads the head and the beginning of the body. */
static gboolean read_head(int fd, rig_ask_t *ask)
{
	GString *head = g_string_new(NULL);
	const char *end = NULL;
	char data[4096];

	while (!end) {
		ssize_t n = recv(fd, data, sizeof(data), 0);

		if (n <= 0)
			break;
		g_string_append_len(head, data, n);
		end = strstr(head->str, "\r\n\r\n");
	}
	if (end) {
		ask->status = (int)g_ascii_strtoll(head->str + 9, NULL, 10);
		ask->got = head->len - (gsize)(end + 4 - head->str);
	}
	g_string_free(head, TRUE);
	return end != NULL;
}

static void read_body(const rig_t *rig, int fd, rig_ask_t *ask)
{
	gint64 deadline = ask->sent_at + ask->time_ms;
	char data[32 * 1024];

	while (ask->status == 200 && ask->got < ask->size &&
	       rig_ms(rig) < deadline) {
		ssize_t n = recv(fd, data, sizeof(data), 0);

		if (n <= 0)
			break;
		ask->got += (gsize)n;
	}
}

gboolean rig_ask(rig_t *rig, int fd, rig_ask_t *ask)
{
	gboolean is_complete;

	ask->sent_at = rig_ms(rig);
	if (ask->is_crash)
		rig_note(rig, "sent %s, which crashes servers", ask->id);
	else
		rig_note(rig, "sent %s, asks for %zu bytes, waits %u ms",
			 ask->id, ask->size, ask->time_ms);
	if (send_request(rig, fd, ask) && read_head(fd, ask))
		read_body(rig, fd, ask);
	ask->ended_at = rig_ms(rig);
	is_complete = ask->status == 200 && ask->got == ask->size;
	rig_note(rig,
		 "%s %s: status %d, %zu of %zu bytes after %" G_GINT64_FORMAT
		 " ms",
		 is_complete ? "answered" : "not answered", ask->id,
		 ask->status, ask->got, ask->size,
		 ask->ended_at - ask->sent_at);
	return is_complete;
}
