#ifndef SR_TEST_PLATFORM_LINKS_BED_H
#define SR_TEST_PLATFORM_LINKS_BED_H

/*
 * Entry hosts of the platform, a process each, whose TCP connections to the
 * store and to each other share links of a given rate. A process of its own
 * forwards them; datagrams and callers are not limited.
 */
#include <errno.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include "platform_store.h"

#define LINKS_HOSTS_MAX 32

/** Index of the store among the ends of links; its own is not limited. */
#define LINKS_STORE LINKS_HOSTS_MAX

/** Interval at which links are refilled, and the most that is forwarded on one
 * connection before the others have their turn. */
#define LINKS_TICK_MS 2
#define LINKS_CHUNK 2048

#define LINKS_CONNECTIONS_MAX 2048

/** Links of fast hosts, against the others. */
#define LINKS_FAST_RATIO 20

/** Interval at which each host is asked, in ms. */
#define LINKS_ASK_MS 100

/** Ports that processes share: known before the first one is forked. */
typedef struct {
	unsigned n_hosts;
	int store_port;
	int peer_port;
	int forward_ports[LINKS_HOSTS_MAX + 1]; /* by target */
	/* of the first hosts, which are a failure domain of their own */
	unsigned n_fast;
	double bytes_per_s; /* of the others */
} links_t;

static links_t links;

/** The host that this process runs; negative in others. */
static int own_host = -1;

static struct sockaddr_in links_address(unsigned host, int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };

	address.sin_addr.s_addr = htonl(
		host == LINKS_STORE ? INADDR_LOOPBACK :
				      (INADDR_LOOPBACK & ~0xffU) | (host + 1));
	address.sin_port = htons((guint16)port);
	return address;
}

static unsigned links_end_of(const struct sockaddr_in *address)
{
	return (ntohl(address->sin_addr.s_addr) & 0xff) - 1;
}

/* Takes the place of the C library's function in this program: leads a host's
 * connections to the forwarder, which knows the host by its address. */
int connect(int fd, const struct sockaddr *address, socklen_t size)
{
	struct sockaddr_in to = { .sin_family = AF_UNSPEC };
	int type = 0;
	socklen_t type_size = sizeof(type);

	getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &type_size);
	if (own_host >= 0 && address->sa_family == AF_INET &&
	    type == SOCK_STREAM) {
		struct sockaddr_in from = links_address((unsigned)own_host, 0);
		int port;

		memcpy(&to, address, sizeof(to));
		port = ntohs(to.sin_port);
		if (port == links.store_port || port == links.peer_port) {
			unsigned target = port == links.store_port ?
						  LINKS_STORE :
						  links_end_of(&to);

			if (bind(fd, (struct sockaddr *)&from, sizeof(from)))
				return -1;
			to = links_address(LINKS_STORE,
					   links.forward_ports[target]);
			address = (struct sockaddr *)&to;
		}
	}
	return (int)syscall(SYS_connect, fd, address, size);
}

/* The forwarder. */

typedef struct {
	int from;
	int to;
	unsigned sender;
	unsigned receiver;
	char buffer[LINKS_CHUNK];
	size_t size;
	size_t sent;
} links_flow_t;

typedef struct {
	links_flow_t flows[2];
} links_connection_t;

typedef struct {
	int listeners[LINKS_HOSTS_MAX + 1];
	links_connection_t *connections[LINKS_CONNECTIONS_MAX];
	unsigned n_connections;
	unsigned first; /* to be served next */
	double up[LINKS_HOSTS_MAX + 1];
	double down[LINKS_HOSTS_MAX + 1];
} forwarder_t;

static void links_accept(forwarder_t *forwarder, unsigned target)
{
	struct sockaddr_in from;
	socklen_t size = sizeof(from);
	int fd = accept4(forwarder->listeners[target], (struct sockaddr *)&from,
			 &size, SOCK_NONBLOCK);
	struct sockaddr_in to =
		links_address(target, target == LINKS_STORE ? links.store_port :
							      links.peer_port);
	links_connection_t *connection;
	int other;

	if (fd < 0)
		return;
	other = socket(AF_INET, SOCK_STREAM, 0);
	if (forwarder->n_connections == LINKS_CONNECTIONS_MAX ||
	    connect(other, (struct sockaddr *)&to, sizeof(to))) {
		close(fd);
		close(other);
		return;
	}
	g_unix_set_fd_nonblocking(other, TRUE, NULL);
	connection = g_new0(links_connection_t, 1);
	connection->flows[0] = (links_flow_t){ .from = fd,
					       .to = other,
					       .sender = links_end_of(&from),
					       .receiver = target };
	connection->flows[1] =
		(links_flow_t){ .from = other,
				.to = fd,
				.sender = target,
				.receiver = links_end_of(&from) };
	forwarder->connections[forwarder->n_connections++] = connection;
}

/* Returns the number of bytes, or a negative one if the connection has ended.
 */
static int links_forward(forwarder_t *forwarder, links_flow_t *flow)
{
	double room = MIN(forwarder->up[flow->sender],
			  forwarder->down[flow->receiver]);
	ssize_t n;

	if (flow->size == 0 && room >= 1) {
		n = recv(flow->from, flow->buffer,
			 (size_t)MIN(room, LINKS_CHUNK), 0);
		if (n == 0 || (n < 0 && errno != EAGAIN))
			return -1;
		if (n < 0)
			return 0;
		flow->size = (size_t)n;
		flow->sent = 0;
		forwarder->up[flow->sender] -= (double)n;
		forwarder->down[flow->receiver] -= (double)n;
	}
	if (flow->size == 0)
		return 0;
	n = send(flow->to, flow->buffer + flow->sent, flow->size - flow->sent,
		 MSG_NOSIGNAL);
	if (n < 0)
		return errno == EAGAIN ? 0 : -1;
	flow->sent += (size_t)n;
	if (flow->sent == flow->size)
		flow->size = 0;
	return (int)n;
}

static void links_drop(forwarder_t *forwarder, unsigned i)
{
	links_connection_t *connection = forwarder->connections[i];

	close(connection->flows[0].from);
	close(connection->flows[0].to);
	g_free(connection);
	forwarder->connections[i] =
		forwarder->connections[--forwarder->n_connections];
}

/* Forwards a chunk for each connection; FALSE if there was nothing. */
static gboolean links_turn(forwarder_t *forwarder)
{
	gboolean moved = FALSE;

	for (unsigned k = 0; k < forwarder->n_connections; k++) {
		unsigned i = (forwarder->first + k) % forwarder->n_connections;
		links_connection_t *connection = forwarder->connections[i];
		int there = links_forward(forwarder, &connection->flows[0]);
		int back = there < 0 ? there :
				       links_forward(forwarder,
						     &connection->flows[1]);

		if (there < 0 || back < 0)
			links_drop(forwarder, i);
		moved |= there > 0 || back > 0;
	}
	forwarder->first++;
	return moved;
}

static void links_refill(forwarder_t *forwarder, double seconds)
{
	for (unsigned i = 0; i <= LINKS_HOSTS_MAX; i++) {
		double ratio = i < links.n_fast ? LINKS_FAST_RATIO : 1;
		double earned = links.bytes_per_s * seconds * ratio;
		double limit = 8 * LINKS_CHUNK * ratio;

		if (i == LINKS_STORE)
			earned = limit = G_MAXINT32;
		forwarder->up[i] = MIN(forwarder->up[i] + earned, limit);
		forwarder->down[i] = MIN(forwarder->down[i] + earned, limit);
	}
}

static G_GNUC_NORETURN void run_forwarder(forwarder_t *forwarder)
{
	gint64 before = g_get_monotonic_time();

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	for (;;) {
		gint64 now = g_get_monotonic_time();

		links_refill(forwarder,
			     (double)(now - before) / G_USEC_PER_SEC);
		before = now;
		for (unsigned i = 0; i <= LINKS_HOSTS_MAX; i++) {
			if (i < links.n_hosts || i == LINKS_STORE)
				links_accept(forwarder, i);
		}
		while (links_turn(forwarder))
			;
		g_usleep(LINKS_TICK_MS * 1000);
	}
}

static pid_t start_forwarder(void)
{
	forwarder_t *forwarder = g_new0(forwarder_t, 1);
	pid_t pid;

	for (unsigned i = 0; i <= LINKS_HOSTS_MAX; i++) {
		struct sockaddr_in in = links_address(LINKS_STORE, 0);
		socklen_t size = sizeof(in);
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

		assert_false(bind(fd, (struct sockaddr *)&in, sizeof(in)));
		assert_false(listen(fd, 128));
		getsockname(fd, (struct sockaddr *)&in, &size);
		links.forward_ports[i] = ntohs(in.sin_port);
		forwarder->listeners[i] = fd;
	}
	pid = fork();
	assert_true(pid >= 0);
	if (pid == 0)
		run_forwarder(forwarder);
	for (unsigned i = 0; i <= LINKS_HOSTS_MAX; i++)
		close(forwarder->listeners[i]);
	g_free(forwarder);
	return pid;
}

/* The hosts. */

typedef struct {
	store_t store;
	SoupServer *instance;
	SoupSession *session;
	pid_t forwarder;
	pid_t pids[LINKS_HOSTS_MAX];
	int caller_ports[LINKS_HOSTS_MAX];
	unsigned version;
	unsigned n_routes;
	unsigned n_asked;
	unsigned next; /* host to be asked */
	/* of the latest version */
	gint64 acknowledged_at;		   /* monotonic, in us */
	gint64 missed_at[LINKS_HOSTS_MAX]; /* sent last without its effect */
	gint64 served_at[LINKS_HOSTS_MAX]; /* first; 0 for never */
} links_bed_t;

static G_GNUC_NORETURN void run_links_host(const host_place_t *place)
{
	sr_entry_host_options_t options = { .settings = settings_at(place),
					    .seed = (guint64)own_host + 1 };
	char *detail = NULL;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	options.clock = sr_clock_new_real();
	options.log_file = g_getenv("LINKS_BED_LOG") ? stderr : NULL;
	if (!sr_entry_host_new(&options, &detail))
		_exit(1);
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	_exit(0);
}

/* Before the test uses GLib's loop, which a process does not inherit. */
static void start_links_hosts(links_bed_t *bed)
{
	char *seeds = g_strdup_printf("[\"127.0.0.1:%d\",\"127.0.0.2:%d\"]",
				      links.peer_port, links.peer_port);
	int relay_port = unused_port();

	for (unsigned i = 0; i < links.n_hosts; i++) {
		char node[16];
		char ip[16];
		const host_place_t place = {
			.node = node,
			.failure_domain = i < links.n_fast ? "y" : "z",
			.ip = ip,
			.seeds = seeds,
			.store_port = links.store_port,
			.peer_port = links.peer_port,
			.relay_port = relay_port,
			.caller_port = unused_port(),
		};

		g_snprintf(node, sizeof(node), "n%u", i);
		g_snprintf(ip, sizeof(ip), "127.0.0.%u", i + 1);
		bed->caller_ports[i] = place.caller_port;
		bed->pids[i] = fork();
		assert_true(bed->pids[i] >= 0);
		if (bed->pids[i] > 0)
			continue;
		own_host = (int)i;
		run_links_host(&place);
	}
	g_free(seeds);
}

static void on_links_call(SoupServer *server, SoupServerMessage *message,
			  const char *path, GHashTable *query, gpointer user)
{
	SoupMessageHeaders *in =
		soup_server_message_get_request_headers(message);
	SoupMessageHeaders *out =
		soup_server_message_get_response_headers(message);
	const char *id = soup_message_headers_get_one(in, "Attempt-Id");

	(void)server;
	(void)path;
	(void)query;
	(void)user;
	soup_message_headers_append(out, "Attempt-Id", id ? id : "");
	soup_message_headers_append(out, "Response-Signature", "s");
	soup_server_message_set_status(message, 200, NULL);
	soup_server_message_set_response(message, "text/plain",
					 SOUP_MEMORY_STATIC, "done", 4);
}

static void write_links_instance(links_bed_t *bed)
{
	char *spec = g_strdup_printf(
		"{\"service\":\"model\",\"address\":\"127.0.0.1:%d\","
		"\"zone\":\"z\",\"version\":\"v1\",\"slots\":1000,"
		"\"state\":\"ready\"}",
		port_of(bed->instance));

	put_text(&bed->store, "servers/i-1", spec);
	g_free(spec);
}

/* Writes the next version of the configuration. Each has the route "/v" and its
 * number, which the one before lacks. */
static void write_links_config(links_bed_t *bed, unsigned n_routes)
{
	GString *spec = g_string_new(NULL);

	bed->version++;
	bed->n_routes = n_routes;
	g_string_append_printf(spec, "{\"version\":%u,\"route_table\":[",
			       bed->version);
	for (unsigned i = 0; i <= n_routes; i++) {
		/* each name and prefix is of its own, as with operators */
		guint32 mixed = (i + 1) * 2654435761U;

		g_string_append_printf(
			spec,
			"%s{\"name\":\"r-%07x\",\"host\":\"h.example\","
			"\"path_prefix\":\"/%s%u/\",\"kind\":\"idempotent\","
			"\"timeout_ms\":5000,\"target_latency_ms\":800,"
			"\"priority\":1,\"service\":\"model\",\"max_attempts\":"
			"2,\"public\":true,\"sticky\":true,\"resumable\":false,"
			"\"gap_target_ms\":800}",
			i > 0 ? "," : "", mixed >> 4, i > 0 ? "ro" : "v",
			i > 0 ? i : bed->version);
	}
	g_string_append(spec,
			"],\"services\":[{\"name\":\"model\"}],\"limits\":{"
			"\"max_header_bytes\":16384,\"max_body_bytes\":65536},"
			"\"tenants\":[]}");
	put_text(&bed->store, "config/main", spec->str);
	g_string_free(spec, TRUE);
	bed->acknowledged_at = g_get_monotonic_time();
	memset(bed->missed_at, 0, sizeof(bed->missed_at));
	memset(bed->served_at, 0, sizeof(bed->served_at));
}

typedef struct {
	links_bed_t *bed;
	unsigned host;
	unsigned version;
	gint64 sent_at;
} links_question_t;

static void on_links_answer(GObject *source, GAsyncResult *result,
			    gpointer user)
{
	SoupSession *session = SOUP_SESSION(source);
	links_question_t *question = user;
	SoupMessage *message =
		soup_session_get_async_result_message(session, result);
	GBytes *body = soup_session_send_and_read_finish(session, result, NULL);
	unsigned status = body ? soup_message_get_status(message) : 0;
	gint64 *missed_at = &question->bed->missed_at[question->host];
	gint64 *served_at = &question->bed->served_at[question->host];

	if (question->version == question->bed->version && status == 404)
		*missed_at = MAX(*missed_at, question->sent_at);
	if (question->version == question->bed->version && status == 200 &&
	    *served_at == 0)
		*served_at = g_get_monotonic_time();
	g_clear_pointer(&body, g_bytes_unref);
	g_free(question);
}

static gboolean ask_links_host(gpointer user)
{
	links_bed_t *bed = user;
	links_question_t *question = g_new0(links_question_t, 1);
	unsigned host = bed->next++ % links.n_hosts;
	char *url = g_strdup_printf("http://127.0.0.%u:%d/v%u/x", host + 1,
				    bed->caller_ports[host], bed->version);
	SoupMessage *message = soup_message_new("POST", url);
	SoupMessageHeaders *headers = soup_message_get_request_headers(message);
	char id[24];

	*question = (links_question_t){ bed, host, bed->version,
					g_get_monotonic_time() };
	g_snprintf(id, sizeof(id), "%016x", ++bed->n_asked);
	soup_message_headers_replace(headers, "Host", "h.example");
	soup_message_headers_append(headers, "Attempt-Id", id);
	soup_message_headers_append(headers, "Deadline-Ms", "1000");
	soup_session_send_and_read_async(bed->session, message,
					 G_PRIORITY_DEFAULT, NULL,
					 on_links_answer, question);
	g_object_unref(message);
	g_free(url);
	return G_SOURCE_CONTINUE;
}

/* Time from the acknowledgement of the latest version to the last request that
 * a host handled without it, in ms. */
static inline unsigned links_delay_ms(const links_bed_t *bed, unsigned host)
{
	return (unsigned)(MAX(bed->missed_at[host] - bed->acknowledged_at, 0) /
			  1000);
}

/* Time from there to the first request that it served, in ms. */
static inline unsigned links_served_ms(const links_bed_t *bed, unsigned host)
{
	return bed->served_at[host] == 0 ? G_MAXUINT :
					   (unsigned)((bed->served_at[host] -
						       bed->acknowledged_at) /
						      1000);
}

static links_bed_t *links_bed_new(unsigned n_hosts, unsigned n_fast,
				  double mbit_per_s, unsigned n_routes)
{
	links_bed_t *bed = g_new0(links_bed_t, 1);

	assert_true(n_hosts <= LINKS_HOSTS_MAX);
	links = (links_t){ .n_hosts = n_hosts,
			   .store_port = unused_port(),
			   .peer_port = unused_port(),
			   .n_fast = n_fast,
			   .bytes_per_s = mbit_per_s * 1e6 / 8 };
	bed->forwarder = start_forwarder();
	start_links_hosts(bed);
	store_init_at(&bed->store, links.store_port);
	bed->instance = listen_local(on_links_call, bed);
	write_links_instance(bed);
	write_links_config(bed, n_routes);
	bed->session = soup_session_new_with_options("max-conns", 1000,
						     "max-conns-per-host", 100,
						     "timeout", 5, NULL);
	g_timeout_add(LINKS_ASK_MS / n_hosts, ask_links_host, bed);
	return bed;
}

/* Ends the processes; the bed lives as long as its own process. */
static void links_bed_end(links_bed_t *bed)
{
	for (unsigned i = 0; i < links.n_hosts; i++) {
		kill(bed->pids[i], SIGKILL);
		waitpid(bed->pids[i], NULL, 0);
	}
	kill(bed->forwarder, SIGKILL);
	waitpid(bed->forwarder, NULL, 0);
	g_object_unref(bed->instance);
	store_clear(&bed->store);
}

#endif
