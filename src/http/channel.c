#include "http/channel.h"

#include <errno.h>
#include <fcntl.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/settings.h"

/** Maximum size of one read, in bytes. */
#define READ_SIZE (64 * 1024)
/** Reads for one wakeup, so that one peer does not delay the others. */
#define READS_PER_WAKEUP 4
/** Time after which unacknowledged bytes end the connection, in ms. It also
 * decides when keep-alive probes give up, whatever their number. */
#define USER_TIMEOUT_MS 3000
/** TCP keep-alive of an idle connection: delay and interval in s, and the
 * number of probes, which add up to the user timeout. */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
#define LISTEN_BACKLOG 1024
/** Largest send buffer that is kept when it is empty, in bytes: thousands of
 * connections may each have carried a large message once. */
#define SEND_BUFFER_KEPT (64 * 1024)

struct sr_channel {
	int fd;
	GSource *source;
	gpointer tag;		/* of fd in source */
	GIOCondition condition; /* that source waits for */
	sr_channel_events_t events;
	void *user;
	GByteArray *send_buffer;
	gsize sent; /* bytes of send_buffer that the socket has taken */
	gboolean connecting;
	gboolean paused;
	gboolean shutdown_pending; /* shut down once send_buffer is empty */
	gboolean freed;
	gboolean in_callback;
	gboolean has_overflowed; /* reported on the next wakeup */
	int send_errno;		 /* why sending failed; 0 if it works */
	gboolean is_congested;
	gboolean has_ended; /* ended() was called */
};

static void destroy_channel(sr_channel_t *channel)
{
	if (channel->source) {
		g_source_destroy(channel->source);
		g_source_unref(channel->source);
	}
	close(channel->fd);
	g_byte_array_unref(channel->send_buffer);
	g_free(channel);
}

static void update_condition(sr_channel_t *channel)
{
	GIOCondition wanted = 0;

	if (channel->connecting || channel->send_buffer->len > channel->sent ||
	    channel->has_overflowed || channel->is_congested)
		wanted |= G_IO_OUT;
	if (!channel->connecting && !channel->paused)
		wanted |= G_IO_IN;
	if (wanted == channel->condition)
		return;
	channel->condition = wanted;
	g_source_modify_unix_fd(channel->source, channel->tag, wanted);
}

/* Returns the number of bytes that the socket has taken. */
static gsize send_some(sr_channel_t *channel, const guint8 *data, gsize size)
{
	gsize sent = 0;

	while (sent < size && channel->send_errno == 0) {
		ssize_t n = send(channel->fd, data + sent, size - sent,
				 MSG_NOSIGNAL);

		if (n < 0) {
			if (errno == EINTR)
				continue;
			if (errno != EAGAIN)
				channel->send_errno = errno;
			break;
		}
		sent += (gsize)n;
	}
	return sent;
}

static void clear_send_buffer(sr_channel_t *channel)
{
	if (channel->send_buffer->len > SEND_BUFFER_KEPT) {
		g_byte_array_unref(channel->send_buffer);
		channel->send_buffer = g_byte_array_new();
	}
	g_byte_array_set_size(channel->send_buffer, 0);
	channel->sent = 0;
}

static void flush(sr_channel_t *channel)
{
	channel->sent +=
		send_some(channel, channel->send_buffer->data + channel->sent,
			  channel->send_buffer->len - channel->sent);
	if (channel->sent < channel->send_buffer->len)
		return;
	clear_send_buffer(channel);
	if (channel->shutdown_pending)
		shutdown(channel->fd, SHUT_WR);
}

gsize sr_channel_unsent(const sr_channel_t *channel)
{
	return channel->send_buffer->len - channel->sent;
}

/* Drops the sent bytes once they are as many as the others, so that each byte
 * is moved once at most. */
static void compact_send_buffer(sr_channel_t *channel)
{
	if (channel->sent == 0 || channel->sent < sr_channel_unsent(channel))
		return;
	g_byte_array_remove_range(channel->send_buffer, 0,
				  (guint)channel->sent);
	channel->sent = 0;
}

static void report_drained(sr_channel_t *channel)
{
	if (!channel->is_congested ||
	    sr_channel_unsent(channel) > SR_CHANNEL_LOW_WATERMARK)
		return;
	channel->is_congested = FALSE;
	if (channel->events.drained)
		channel->events.drained(channel->user);
}

static void report_end(sr_channel_t *channel, sr_channel_end_reason_t how)
{
	channel->has_ended = TRUE;
	channel->paused = TRUE;
	channel->has_overflowed = FALSE;
	channel->is_congested = FALSE;
	clear_send_buffer(channel);
	update_condition(channel);
	channel->events.ended(channel->user, how);
}

static void finish_connect(sr_channel_t *channel)
{
	int err = 0;
	socklen_t size = sizeof(err);

	getsockopt(channel->fd, SOL_SOCKET, SO_ERROR, &err, &size);
	channel->connecting = FALSE;
	if (err) {
		report_end(channel, SR_CHANNEL_CONNECT_FAILED);
		return;
	}
	if (channel->events.connected)
		channel->events.connected(channel->user);
}

/* The error of a connection is given out once. After sending has got it, the
 * end of the input looks like that of a peer that closed in order, unless the
 * error was EPIPE: such a peer had closed its sending side before. */
static sr_channel_end_reason_t reason_of_end(const sr_channel_t *channel)
{
	return channel->send_errno == 0 || channel->send_errno == EPIPE ?
		       SR_CHANNEL_CLOSED_BY_PEER :
		       SR_CHANNEL_FAILED;
}

/* After a failure to send, what was received before is still read. */
static void read_input(sr_channel_t *channel)
{
	guint8 data[READ_SIZE];

	for (int i = 0; i < READS_PER_WAKEUP; i++) {
		ssize_t n = recv(channel->fd, data, sizeof(data), 0);

		if (n > 0) {
			channel->events.received(channel->user, data, (gsize)n);
			if (channel->freed || channel->paused ||
			    n < (ssize_t)sizeof(data))
				return;
			continue;
		}
		if (n < 0 && (errno == EAGAIN || errno == EINTR) &&
		    channel->send_errno == 0)
			return;
		report_end(channel,
			   n == 0 ? reason_of_end(channel) : SR_CHANNEL_FAILED);
		return;
	}
}

static void handle_ready(sr_channel_t *channel, GIOCondition ready)
{
	if (channel->has_ended)
		return;
	if (channel->connecting) {
		finish_connect(channel);
	} else if (channel->has_overflowed) {
		report_end(channel, SR_CHANNEL_FAILED);
		return;
	}
	if (channel->freed || channel->has_ended || channel->connecting)
		return;
	if (channel->paused && ready & (G_IO_HUP | G_IO_ERR)) {
		/* poll() reports these whether they are waited for or not */
		report_end(channel, SR_CHANNEL_FAILED);
		return;
	}
	if (channel->sent < channel->send_buffer->len)
		flush(channel);
	report_drained(channel);
	if (!channel->freed && !channel->paused &&
	    (ready & (G_IO_IN | G_IO_HUP | G_IO_ERR) || channel->send_errno))
		read_input(channel);
}

static gboolean on_ready(gint fd, GIOCondition ready, gpointer user)
{
	sr_channel_t *channel = user;

	(void)fd;
	g_source_set_ready_time(channel->source, -1);
	channel->in_callback = TRUE;
	handle_ready(channel, ready);
	channel->in_callback = FALSE;
	if (channel->freed)
		destroy_channel(channel);
	else
		update_condition(channel);
	return G_SOURCE_CONTINUE;
}

typedef struct {
	GSource base;
	sr_channel_t *channel;
} channel_source_t;

static gboolean dispatch_source(GSource *base, GSourceFunc fn, gpointer data)
{
	channel_source_t *source = (channel_source_t *)base;
	sr_channel_t *channel = source->channel;

	(void)fn;
	(void)data;
	return on_ready(channel->fd, g_source_query_unix_fd(base, channel->tag),
			channel);
}

static GSourceFuncs source_funcs = {
	.dispatch = dispatch_source,
};

static sr_channel_t *new_channel(int fd, const sr_channel_events_t *events,
				 void *user)
{
	sr_channel_t *channel = g_new0(sr_channel_t, 1);
	channel_source_t *source = (channel_source_t *)g_source_new(
		&source_funcs, sizeof(*source));

	source->channel = channel;
	channel->fd = fd;
	channel->events = *events;
	channel->user = user;
	channel->send_buffer = g_byte_array_new();
	channel->source = &source->base;
	channel->condition = G_IO_IN;
	channel->tag = g_source_add_unix_fd(channel->source, fd, G_IO_IN);
	g_source_attach(channel->source, NULL);
	return channel;
}

static void set_option(int fd, int level, int name, int value)
{
	/* Errors are ignored: without its option a connection still works, with
	 * more delay or a later detection of a dead peer, and bind() reports
	 * the lack of SO_REUSEADDR itself. */
	(void)setsockopt(fd, level, name, &value, sizeof(value));
}

static void set_options(int fd)
{
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
}

sr_channel_t *sr_channel_new_from_fd(int fd, const sr_channel_events_t *events,
				     void *user)
{
	set_options(fd);
	return new_channel(fd, events, user);
}

static gboolean to_native(const char *address, struct sockaddr_storage *native,
			  socklen_t *size)
{
	GSocketAddress *parsed = sr_address_parse(address);
	gboolean ok;

	if (!parsed)
		return FALSE;
	*size = (socklen_t)g_socket_address_get_native_size(parsed);
	ok = g_socket_address_to_native(parsed, native, sizeof(*native), NULL);
	g_object_unref(parsed);
	return ok;
}

sr_channel_t *sr_channel_connect(const char *address,
				 const sr_channel_events_t *events, void *user)
{
	struct sockaddr_storage native;
	sr_channel_t *channel;
	socklen_t size;
	int fd;

	if (!to_native(address, &native, &size))
		return NULL;
	fd = socket(native.ss_family,
		    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	set_options(fd);
	if (connect(fd, (struct sockaddr *)&native, size) &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	channel = new_channel(fd, events, user);
	channel->connecting = TRUE;
	update_condition(channel);
	return channel;
}

void sr_channel_free(sr_channel_t *channel)
{
	if (!channel)
		return;
	channel->freed = TRUE;
	if (!channel->in_callback)
		destroy_channel(channel);
}

void sr_channel_shutdown(sr_channel_t *channel)
{
	channel->shutdown_pending = TRUE;
	if (!channel->connecting && channel->send_buffer->len == 0)
		shutdown(channel->fd, SHUT_WR);
}

void sr_channel_reset(sr_channel_t *channel)
{
	const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(channel->fd, SOL_SOCKET, SO_LINGER, &at_once,
		   sizeof(at_once));
	sr_channel_free(channel);
}

void sr_channel_keep_silent(sr_channel_t *channel)
{
	set_option(channel->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, 0);
	set_option(channel->fd, SOL_SOCKET, SO_KEEPALIVE, 0);
}

void sr_channel_set_events(sr_channel_t *channel,
			   const sr_channel_events_t *events, void *user)
{
	channel->events = *events;
	channel->user = user;
}

void sr_channel_write(sr_channel_t *channel, const void *data, gsize size)
{
	gsize sent = 0;

	if (channel->has_overflowed || channel->send_errno || channel->freed)
		return;
	/* only what the socket does not take at once is copied */
	if (!channel->connecting && channel->send_buffer->len == 0)
		sent = send_some(channel, data, size);
	compact_send_buffer(channel);
	g_byte_array_append(channel->send_buffer, (const guint8 *)data + sent,
			    (guint)(size - sent));
	if (sr_channel_unsent(channel) > SR_CHANNEL_SEND_BUFFER_MAX) {
		channel->has_overflowed = TRUE;
		/* the socket of a peer that does not read is not writable */
		g_source_set_ready_time(channel->source, 0);
	} else if (!channel->connecting) {
		flush(channel);
	}
	if (sr_channel_unsent(channel) > SR_CHANNEL_HIGH_WATERMARK)
		channel->is_congested = TRUE;
	update_condition(channel);
}

void sr_channel_set_paused(sr_channel_t *channel, gboolean paused)
{
	channel->paused = paused;
	update_condition(channel);
}

gboolean sr_channel_is_congested(const sr_channel_t *channel)
{
	return channel->is_congested;
}

gboolean sr_channel_is_flushed(const sr_channel_t *channel)
{
	return channel->send_buffer->len == 0;
}

gboolean sr_channel_is_connected(const sr_channel_t *channel)
{
	return !channel->connecting;
}

int sr_listen(const char *address)
{
	struct sockaddr_storage native;
	socklen_t size;
	int fd;

	if (!to_native(address, &native, &size))
		return SR_ERR_INVALID;
	fd = socket(native.ss_family,
		    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return SR_ERR_IO;
	set_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
	if (bind(fd, (struct sockaddr *)&native, size) ||
	    listen(fd, LISTEN_BACKLOG)) {
		close(fd);
		return SR_ERR_IO;
	}
	return fd;
}

int sr_accept(int listener)
{
	return accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
}
