#include <stdlib.h>
#include <string.h>

#include "stand_in.h"

int client_ask(unsigned machine, const request_t *request)
{
	static gint n_sent;
	char *id = g_strdup_printf("%08x%08x", g_random_int(),
				   g_atomic_int_add(&n_sent, 1));
	int fd = connect_to(machine_ip(machine), machine_port(),
			    request->deadline_ms);
	connection_t *connection;
	message_t *answer;
	int status = 0;
	char *text;

	if (fd < 0) {
		record("sent %s to machine %u: refused", id, machine + 1);
		g_free(id);
		return 0;
	}
	text = g_strdup_printf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n"
			       "%s: %d\r\nAuthorization: Bearer %s\r\n"
			       "Content-Length: 4\r\n\r\nwork",
			       request->path, request->host,
			       name_of("request_id"), id, name_of("deadline"),
			       request->deadline_ms, request->key);
	connection = connection_new(fd);
	record("sent %s to machine %u", id, machine + 1);
	if (send_text(fd, text, strlen(text))) {
		answer = message_read(connection);
		if (answer) {
			status = (int)strtol(answer->second, NULL, 10);
			message_free(answer);
		}
	}
	record("answered %s: %d", id, status);
	connection_free(connection);
	g_free(text);
	g_free(id);
	return status;
}
