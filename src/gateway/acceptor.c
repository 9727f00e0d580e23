#include <glib-unix.h>
#include <unistd.h>

#include "gateway/internal.h"

/** Maximum connections accepted in one iteration of the main loop. */
#define MAX_ACCEPTS_PER_ITERATION 64

struct sr_acceptor {
	sr_gateway_t *gateway;
	int fd;
	guint source_id;
	sr_accepted_fn on_accept;
};

static gboolean on_incoming(gint fd, GIOCondition ready, gpointer user)
{
	sr_acceptor_t *acceptor = user;

	(void)ready;
	for (int i = 0; i < MAX_ACCEPTS_PER_ITERATION; i++) {
		int connection = sr_accept(fd);

		if (connection < 0)
			break;
		acceptor->on_accept(acceptor->gateway, connection);
	}
	return G_SOURCE_CONTINUE;
}

sr_acceptor_t *sr_acceptor_new(sr_gateway_t *gateway, const char *address,
			       sr_accepted_fn on_accept)
{
	sr_acceptor_t *acceptor;
	int fd = sr_listen(address);

	if (fd < 0)
		return NULL;
	acceptor = g_new0(sr_acceptor_t, 1);
	acceptor->gateway = gateway;
	acceptor->fd = fd;
	acceptor->on_accept = on_accept;
	acceptor->source_id = g_unix_fd_add(fd, G_IO_IN, on_incoming, acceptor);
	return acceptor;
}

void sr_acceptor_free(sr_acceptor_t *acceptor)
{
	if (!acceptor)
		return;
	g_source_remove(acceptor->source_id);
	close(acceptor->fd);
	g_free(acceptor);
}
