#include "network.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#define SUBNET_FIRST 0x4000
#define SUBNET_LAST 0x7f00

#define CONNECTIONS_MAX 1024
#define BUFFER_SIZE (32 * 1024)

/** Longest time until the forwarder sees that a link has changed, in ms. */
#define TICK_MS 5

/** On a lossy link: packets that are lost, one of so many, and the time until
 * bytes of a connection are sent again, in us. */
#define LOST_ONE_OF 5
#define RESEND_TIME 200000

#define N_LISTENERS (SOAK_ENDS * 2)

/** Of this process; NULL in those that aren't a host. */
static soak_network_t *host_network;
static unsigned host_index;

static struct sockaddr_in end_address(const soak_network_t *network,
				      unsigned end, int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };

	address.sin_addr.s_addr = htonl((INADDR_LOOPBACK & 0xff000000U) +
					network->subnet * 256 + end + 1);
	address.sin_port = htons((guint16)port);
	return address;
}

unsigned soak_network_end_of(guint32 address)
{
	return (ntohl(address) & 0xff) - 1;
}

char *soak_network_ip(const soak_network_t *network, unsigned end)
{
	struct sockaddr_in address = end_address(network, end, 0);
	char text[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
	return g_strdup(text);
}

/* The functions that replace those of the C library in a host's process. */

static gboolean is_forwarded(int port)
{
	return port == SOAK_PORT_STORE || port == SOAK_PORT_PEER ||
	       port == SOAK_PORT_RELAY;
}

/* Each connection comes from the address of its host, which tells the other end
 * who it is. */
int connect(int fd, const struct sockaddr *address, socklen_t size)
{
	struct sockaddr_in to = { .sin_family = AF_UNSPEC };
	int type = 0;
	socklen_t type_size = sizeof(type);

	getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &type_size);
	if (host_network && address->sa_family == AF_INET &&
	    type == SOCK_STREAM) {
		struct sockaddr_in from =
			end_address(host_network, host_index, 0);
		int port;

		if (bind(fd, (struct sockaddr *)&from, sizeof(from)))
			return -1;
		memcpy(&to, address, sizeof(to));
		port = ntohs(to.sin_port);
		if (is_forwarded(port)) {
			unsigned end = soak_network_end_of(to.sin_addr.s_addr);
			gboolean relays = port == SOAK_PORT_RELAY;

			port = host_network->forward_ports[end][relays];
			to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
			to.sin_port = htons((guint16)port);
			address = (struct sockaddr *)&to;
		}
	}
	return (int)syscall(SYS_connect, fd, address, size);
}

static gboolean loses_packet(guint8 state)
{
	if (state == SOAK_LINK_LOSSY)
		return g_random_int_range(0, LOST_ONE_OF) == 0;
	return state != SOAK_LINK_UP;
}

static gboolean is_lost(const struct sockaddr *to)
{
	const struct sockaddr_in *address = (const struct sockaddr_in *)to;
	unsigned end;

	if (!host_network || !to || to->sa_family != AF_INET ||
	    ntohs(address->sin_port) != SOAK_PORT_PEER)
		return FALSE;
	end = soak_network_end_of(address->sin_addr.s_addr);
	return end < SOAK_ENDS &&
	       loses_packet(host_network->links[host_index][end]);
}

static size_t size_of(const struct msghdr *message)
{
	size_t size = 0;

	for (size_t i = 0; i < message->msg_iovlen; i++)
		size += message->msg_iov[i].iov_len;
	return size;
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags)
{
	if (is_lost(message->msg_name))
		return (ssize_t)size_of(message);
	return syscall(SYS_sendmsg, fd, message, flags);
}

int sendmmsg(int fd, struct mmsghdr *messages, unsigned n, int flags)
{
	for (unsigned i = 0; i < n; i++) {
		ssize_t sent = sendmsg(fd, &messages[i].msg_hdr, flags);

		if (sent < 0)
			return i > 0 ? (int)i : -1;
		messages[i].msg_len = (unsigned)sent;
	}
	return (int)n;
}

ssize_t sendto(int fd, const void *data, size_t size, int flags,
	       const struct sockaddr *to, socklen_t to_size)
{
	if (is_lost(to))
		return (ssize_t)size;
	return syscall(SYS_sendto, fd, data, size, flags, to, to_size);
}

/* The forwarder. */

/** flow_t - one direction of a connection. */
typedef struct {
	int from;
	int to; /* -1 until a connection that was opened while a link was down
		 * is passed on */
	unsigned sender;
	unsigned receiver;
	gboolean is_silent;
	gboolean is_closed; /* by its sender, which the receiver isn't told */
	char buffer[BUFFER_SIZE];
	size_t size;
	size_t sent;
	gint64 resent_at; /* when lost bytes are sent again; 0 for none */
} flow_t;

typedef struct {
	flow_t flows[2];
	unsigned listener;
	guint32 n_silenced; /* of both ends together, when it was opened */
} connection_t;

typedef struct {
	soak_network_t *network;
	int listeners[N_LISTENERS];
	connection_t *connections[CONNECTIONS_MAX];
	unsigned n_connections;
} forwarder_t;

static gboolean is_up(soak_link_t state)
{
	return state == SOAK_LINK_UP || state == SOAK_LINK_LOSSY;
}

static soak_link_t link_of(const forwarder_t *forwarder, unsigned sender,
			   unsigned receiver)
{
	return forwarder->network->links[sender][receiver];
}

static guint32 silenced(const forwarder_t *forwarder, const flow_t *flow)
{
	return forwarder->network->n_silenced[flow->sender] +
	       forwarder->network->n_silenced[flow->receiver];
}

static void reset_fd(int fd)
{
	const struct linger abort = { .l_onoff = 1 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
	close(fd);
}

static gboolean is_refused(const forwarder_t *forwarder, const flow_t *flow)
{
	return link_of(forwarder, flow->sender, flow->receiver) ==
		       SOAK_LINK_REFUSED ||
	       link_of(forwarder, flow->receiver, flow->sender) ==
		       SOAK_LINK_REFUSED;
}

/* Opens the second half; FALSE if the receiver doesn't listen. */
static gboolean pass_on(forwarder_t *forwarder, connection_t *connection)
{
	static const int ports[] = { SOAK_PORT_PEER, SOAK_PORT_RELAY };
	flow_t *flow = &connection->flows[0];
	struct sockaddr_in from =
		end_address(forwarder->network, flow->sender, 0);
	struct sockaddr_in to = end_address(
		forwarder->network, flow->receiver,
		flow->receiver == SOAK_STORE ? SOAK_PORT_STORE :
					       ports[connection->listener % 2]);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	/* A host that stands still may not accept for long. */
	if (bind(fd, (struct sockaddr *)&from, sizeof(from)) ||
	    (connect(fd, (struct sockaddr *)&to, sizeof(to)) &&
	     errno != EINPROGRESS)) {
		close(fd);
		return FALSE;
	}
	flow->to = fd;
	connection->flows[1] = (flow_t){ .from = fd,
					 .to = flow->from,
					 .sender = flow->receiver,
					 .receiver = flow->sender };
	return TRUE;
}

static void accept_connection(forwarder_t *forwarder, unsigned listener)
{
	struct sockaddr_in from = { .sin_family = AF_INET };
	socklen_t size = sizeof(from);
	int fd = accept4(forwarder->listeners[listener],
			 (struct sockaddr *)&from, &size,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);
	connection_t *connection;
	flow_t *flow;

	if (fd < 0)
		return;
	if (forwarder->n_connections == CONNECTIONS_MAX) {
		reset_fd(fd);
		return;
	}
	connection = g_new0(connection_t, 1);
	connection->listener = listener;
	flow = &connection->flows[0];
	*flow = (flow_t){ .from = fd,
			  .to = -1,
			  .sender = soak_network_end_of(from.sin_addr.s_addr),
			  .receiver = listener / 2 };
	connection->n_silenced = silenced(forwarder, flow);
	forwarder->connections[forwarder->n_connections++] = connection;
}

/* FALSE if the connection has ended. */
static gboolean receive(forwarder_t *forwarder, flow_t *flow)
{
	ssize_t n = recv(flow->from, flow->buffer, BUFFER_SIZE, 0);

	if (n < 0 && errno == EAGAIN)
		return TRUE;
	if (!is_up(link_of(forwarder, flow->sender, flow->receiver)))
		flow->is_silent = TRUE;
	if (n <= 0) {
		flow->is_closed = TRUE;
		return flow->is_silent;
	}
	if (flow->is_silent)
		return TRUE;
	flow->size = (size_t)n;
	flow->sent = 0;
	flow->resent_at = 0;
	if (link_of(forwarder, flow->sender, flow->receiver) ==
		    SOAK_LINK_LOSSY &&
	    loses_packet(SOAK_LINK_LOSSY))
		flow->resent_at = g_get_monotonic_time() + RESEND_TIME;
	return TRUE;
}

static gboolean send_rest(flow_t *flow)
{
	ssize_t n;

	if (g_get_monotonic_time() < flow->resent_at)
		return TRUE;
	n = send(flow->to, flow->buffer + flow->sent, flow->size - flow->sent,
		 MSG_NOSIGNAL);
	if (n < 0)
		return errno == EAGAIN;
	flow->sent += (size_t)n;
	if (flow->sent == flow->size)
		flow->size = 0;
	return TRUE;
}

/* FALSE if the connection has ended. */
static gboolean serve_connection(forwarder_t *forwarder,
				 connection_t *connection)
{
	flow_t *flows = connection->flows;

	if (is_refused(forwarder, &flows[0]))
		return FALSE;
	if (flows[0].to < 0) {
		if (!is_up(link_of(forwarder, flows[0].sender,
				   flows[0].receiver)) ||
		    !is_up(link_of(forwarder, flows[0].receiver,
				   flows[0].sender)))
			return TRUE;
		if (!pass_on(forwarder, connection))
			return FALSE;
	}
	for (unsigned i = 0; i < 2; i++) {
		flow_t *flow = &flows[i];

		g_assert(flow->to >= 0);
		if (connection->n_silenced != silenced(forwarder, flow))
			flow->is_silent = TRUE;
		if (flow->is_silent)
			flow->size = 0;
		if (flow->size == 0 && !flow->is_closed &&
		    !receive(forwarder, flow))
			return FALSE;
		if (flow->size > 0 && !send_rest(flow))
			return FALSE;
	}
	return !flows[0].is_closed || !flows[1].is_closed;
}

static void drop_connection(forwarder_t *forwarder, unsigned i)
{
	connection_t *connection = forwarder->connections[i];

	if (is_refused(forwarder, &connection->flows[0])) {
		reset_fd(connection->flows[0].from);
		if (connection->flows[0].to >= 0)
			reset_fd(connection->flows[0].to);
	} else {
		close(connection->flows[0].from);
		if (connection->flows[0].to >= 0)
			close(connection->flows[0].to);
	}
	g_free(connection);
	forwarder->connections[i] =
		forwarder->connections[--forwarder->n_connections];
}

/* What to wait for on the descriptor that a flow reads and the other writes. */
static short events_of(const flow_t *reads, const flow_t *writes)
{
	gboolean sends = writes->size > 0 && writes->resent_at == 0;

	return (short)((reads->size == 0 && !reads->is_closed ? POLLIN : 0) |
		       (sends ? POLLOUT : 0));
}

static void wait_for_events(const forwarder_t *forwarder)
{
	static struct pollfd fds[N_LISTENERS + 2 * CONNECTIONS_MAX];
	nfds_t n = 0;

	for (unsigned i = 0; i < N_LISTENERS; i++)
		fds[n++] =
			(struct pollfd){ forwarder->listeners[i], POLLIN, 0 };
	for (unsigned i = 0; i < forwarder->n_connections; i++) {
		const flow_t *flows = forwarder->connections[i]->flows;
		short first = events_of(&flows[0], &flows[1]);
		short second = events_of(&flows[1], &flows[0]);

		if (flows[0].to < 0)
			continue;
		if (first)
			fds[n++] = (struct pollfd){ flows[0].from, first, 0 };
		if (second)
			fds[n++] = (struct pollfd){ flows[1].from, second, 0 };
	}
	poll(fds, n, TICK_MS);
}

static G_GNUC_NORETURN void run_forwarder(forwarder_t *forwarder)
{
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	for (;;) {
		wait_for_events(forwarder);
		for (unsigned i = 0; i < N_LISTENERS; i++)
			accept_connection(forwarder, i);
		for (unsigned i = forwarder->n_connections; i > 0; i--) {
			if (!serve_connection(forwarder,
					      forwarder->connections[i - 1]))
				drop_connection(forwarder, i - 1);
		}
	}
}

pid_t soak_network_start(soak_network_t *network)
{
	static forwarder_t forwarder;
	pid_t pid;

	forwarder.network = network;
	for (unsigned i = 0; i < N_LISTENERS; i++) {
		struct sockaddr_in in = { .sin_family = AF_INET };
		socklen_t size = sizeof(in);
		int fd = socket(AF_INET,
				SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

		in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (bind(fd, (struct sockaddr *)&in, sizeof(in)) ||
		    listen(fd, 256) ||
		    getsockname(fd, (struct sockaddr *)&in, &size))
			return -1;
		network->forward_ports[i / 2][i % 2] = ntohs(in.sin_port);
		forwarder.listeners[i] = fd;
	}
	pid = fork();
	if (pid == 0)
		run_forwarder(&forwarder);
	for (unsigned i = 0; i < N_LISTENERS; i++)
		close(forwarder.listeners[i]);
	return pid;
}

/* The file that all processes map. */

static soak_network_t *map_file(const char *path, int flags)
{
	int fd = open(path, flags | O_RDWR | O_CLOEXEC, 0600);
	void *map = MAP_FAILED;

	if (fd < 0)
		return NULL;
	if (!ftruncate(fd, sizeof(soak_network_t)))
		map = mmap(NULL, sizeof(soak_network_t), PROT_READ | PROT_WRITE,
			   MAP_SHARED, fd, 0);
	close(fd);
	return map == MAP_FAILED ? NULL : map;
}

/* Takes a subnet by listening at a port that no one connects to. */
static gboolean take_subnet(soak_network_t *network, unsigned subnet)
{
	struct sockaddr_in address;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	network->subnet = subnet;
	address = end_address(network, SOAK_STORE, SOAK_PORT_READY);
	if (!bind(fd, (struct sockaddr *)&address, sizeof(address)))
		return TRUE;
	close(fd);
	return FALSE;
}

soak_network_t *soak_network_new(const char *path)
{
	soak_network_t *network = map_file(path, O_CREAT | O_EXCL);

	for (unsigned i = SUBNET_FIRST; network && i < SUBNET_LAST; i++) {
		if (take_subnet(network, i))
			return network;
	}
	return NULL;
}

soak_network_t *soak_network_open(const char *path, unsigned host)
{
	host_network = map_file(path, 0);
	host_index = host;
	return host_network;
}

void soak_network_cut(soak_network_t *network, unsigned end,
		      gboolean only_store, gboolean one_way, soak_link_t state)
{
	for (unsigned i = 0; i < SOAK_ENDS; i++) {
		if (i == end || (only_store && i != SOAK_STORE))
			continue;
		network->links[end][i] = (guint8)state;
		if (!one_way)
			network->links[i][end] = (guint8)state;
	}
}

void soak_network_silence(soak_network_t *network, unsigned end)
{
	network->n_silenced[end]++;
}
