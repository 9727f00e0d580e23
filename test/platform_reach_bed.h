#ifndef SR_TEST_PLATFORM_REACH_BED_H
#define SR_TEST_PLATFORM_REACH_BED_H

/*
 * Entry hosts of the platform, a process each, whose paths to all instances can
 * be cut while callers, the store and the other hosts still reach them.
 */
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include "platform_store.h"

#define REACH_BED_HOSTS 4
#define REACH_BED_INSTANCES 4

/** Time until a response begins, and between the events of a stream, in ms. */
#define BEGIN_MS 10
#define EVENT_MS 20
#define EVENTS 5

/** Interval of requests, in ms. */
#ifndef REQUEST_MS
#define REQUEST_MS 15
#endif

/** Time for which an instance is down that has fallen over, in ms. */
#define FALL_MS 1500

typedef enum {
	PATH_OPEN,
	PATH_REFUSES, /* new connections; old ones take one more request */
	PATH_HANGS,   /* new and old ones */
} path_t;

/** paths_t - shared by the processes. */
typedef struct {
	path_t paths[REACH_BED_HOSTS];
	int instance_ports[REACH_BED_INSTANCES];
	gboolean spares_first;	    /* the first instance is always reached */
	int closed_port;	    /* refuses connections */
	int silent_port;	    /* never answers to one */
	guint8 host_of_port[65536]; /* local port -> host that connected + 1 */
} paths_t;

static paths_t *paths;

/** The host that this process runs; negative in the test's own. */
static int own_host = -1;

typedef struct reach_bed reach_bed_t;

/** tally_t - first tries at a host, and those of them that were served. */
typedef struct {
	unsigned n_sent;
	unsigned n_ok;
} tally_t;

typedef struct {
	reach_bed_t *bed;
	unsigned index;
	SoupServer *server;			    /* NULL while it is down */
	unsigned n_connected_from[REACH_BED_HOSTS]; /* requests */
	unsigned n_running;
	GArray *rejected_at; /* gint64 in us */
	unsigned n_falls;
} reach_instance_t;

/** capacity_t - of each instance; zeroes for no bound. */
typedef struct {
	unsigned slots;
	unsigned waiting; /* requests that it lets wait */
	unsigned run_ms;  /* instead of BEGIN_MS */
	unsigned brittle; /* rejections in a second at which it stays up */
} capacity_t;

struct reach_bed {
	store_t store;
	int silent_listener;
	int silent_clients[4];
	reach_instance_t instances[REACH_BED_INSTANCES];
	capacity_t capacity;
	gboolean says_brittle;
	int caller_ports[REACH_BED_HOSTS];
	pid_t pids[REACH_BED_HOSTS];
	SoupSession *session;
	GHashTable *n_runs; /* request id -> number, of the once route */
	tally_t tallies[REACH_BED_HOSTS];
	unsigned n_sent;
	unsigned n_pending;
};

/* The paths. */

static gboolean is_cut_off(int port)
{
	for (unsigned i = paths->spares_first ? 1 : 0; i < REACH_BED_INSTANCES;
	     i++) {
		if (paths->instance_ports[i] == port)
			return TRUE;
	}
	return FALSE;
}

/* Takes the place of the C library's function in this program. */
int connect(int fd, const struct sockaddr *address, socklen_t size)
{
	struct sockaddr_in to;
	struct sockaddr_in from;
	socklen_t from_size = sizeof(from);
	int result;

	memset(&to, 0, sizeof(to));
	if (address->sa_family == AF_INET)
		memcpy(&to, address, sizeof(to));
	if (own_host >= 0 && is_cut_off(ntohs(to.sin_port))) {
		if (paths->paths[own_host] == PATH_REFUSES)
			to.sin_port = htons((guint16)paths->closed_port);
		if (paths->paths[own_host] == PATH_HANGS)
			to.sin_port = htons((guint16)paths->silent_port);
	}
	if (address->sa_family != AF_INET)
		return (int)syscall(SYS_connect, fd, address, size);
	result = (int)syscall(SYS_connect, fd, &to, sizeof(to));
	if (own_host >= 0 &&
	    !getsockname(fd, (struct sockaddr *)&from, &from_size))
		paths->host_of_port[ntohs(from.sin_port)] =
			(guint8)(own_host + 1);
	return result;
}

/* A listener whose queue is full drops what would open a connection. */
static void fill_silent_listener(reach_bed_t *bed)
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	socklen_t size = sizeof(in);

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	bed->silent_listener = socket(AF_INET, SOCK_STREAM, 0);
	assert_false(
		bind(bed->silent_listener, (struct sockaddr *)&in, sizeof(in)));
	assert_false(listen(bed->silent_listener, 0));
	getsockname(bed->silent_listener, (struct sockaddr *)&in, &size);
	paths->silent_port = ntohs(in.sin_port);
	for (unsigned i = 0; i < G_N_ELEMENTS(bed->silent_clients); i++) {
		bed->silent_clients[i] =
			socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(bed->silent_clients[i], (struct sockaddr *)&in,
			      sizeof(in));
	}
}

/* Instances. */

typedef struct {
	SoupServerMessage *message;
	reach_instance_t *instance;
	gboolean is_gone;
	gboolean is_stream;
	unsigned n_events;
} run_t;

static void on_run_gone(SoupServerMessage *message, gpointer user)
{
	(void)message;
	((run_t *)user)->is_gone = TRUE;
}

static gboolean on_run_timer(gpointer user)
{
	run_t *run = user;
	SoupMessageBody *body =
		soup_server_message_get_response_body(run->message);
	char event[32];

	if (!run->is_gone && run->is_stream && run->n_events < EVENTS) {
		g_snprintf(event, sizeof(event), "id: %u\ndata: x\n\n",
			   ++run->n_events);
		soup_message_body_append(body, SOUP_MEMORY_COPY, event,
					 strlen(event));
		soup_server_message_unpause(run->message);
		g_timeout_add(EVENT_MS, on_run_timer, run);
		return G_SOURCE_REMOVE;
	}
	if (!run->is_gone) {
		soup_message_body_complete(body);
		soup_server_message_unpause(run->message);
	}
	run->instance->n_running--;
	g_signal_handlers_disconnect_by_data(run->message, run);
	g_object_unref(run->message);
	g_free(run);
	return G_SOURCE_REMOVE;
}

static void start_server(reach_instance_t *instance);

static gboolean on_up_again(gpointer user)
{
	start_server(user);
	return G_SOURCE_REMOVE;
}

static gboolean on_fall(gpointer user)
{
	reach_instance_t *instance = user;

	if (!instance->server)
		return G_SOURCE_REMOVE;
	instance->n_falls++;
	soup_server_disconnect(instance->server);
	g_clear_object(&instance->server);
	g_timeout_add(FALL_MS, on_up_again, instance);
	return G_SOURCE_REMOVE;
}

/* Whether the instance has to turn the request away for want of room; a brittle
 * one falls over if it does so too often. */
static gboolean turns_away(reach_instance_t *instance)
{
	const capacity_t *capacity = &instance->bed->capacity;
	gint64 now = g_get_monotonic_time();
	unsigned n = 0;

	if (capacity->slots == 0 ||
	    instance->n_running < capacity->slots + capacity->waiting)
		return FALSE;
	g_array_append_val(instance->rejected_at, now);
	for (guint i = 0; i < instance->rejected_at->len; i++)
		n += now - g_array_index(instance->rejected_at, gint64, i) <
		     G_USEC_PER_SEC;
	if (instance->bed->says_brittle && n > capacity->brittle) {
		g_array_set_size(instance->rejected_at, 0);
		g_idle_add(on_fall, instance);
	}
	return TRUE;
}

/* Negative if the connection has ended, as with a host that was killed. */
static int host_of(SoupServerMessage *message)
{
	GSocketAddress *address =
		soup_server_message_get_remote_address(message);

	if (!address)
		return -1;
	return paths->host_of_port[g_inet_socket_address_get_port(
		       G_INET_SOCKET_ADDRESS(address))] -
	       1;
}

static void on_instance_call(SoupServer *server, SoupServerMessage *message,
			     const char *path, GHashTable *query, gpointer user)
{
	reach_instance_t *instance = user;
	SoupMessageHeaders *in =
		soup_server_message_get_request_headers(message);
	SoupMessageHeaders *out =
		soup_server_message_get_response_headers(message);
	const char *id = soup_message_headers_get_one(in, "Attempt-Id");
	int host = host_of(message);
	char brittle[16];
	run_t *run;

	(void)server;
	(void)query;
	if (host < 0)
		return;
	soup_server_message_pause(message);
	if (!paths->spares_first || instance->index > 0) {
		if (paths->paths[host] == PATH_HANGS)
			return; /* it never arrives */
		if (paths->paths[host] == PATH_REFUSES)
			soup_message_headers_replace(out, "Connection",
						     "close");
	}
	if (instance->bed->says_brittle) {
		g_snprintf(brittle, sizeof(brittle), "%u",
			   instance->bed->capacity.brittle);
		soup_message_headers_append(out, "Server-Brittle", brittle);
	}
	soup_message_headers_append(out, "Attempt-Id", id);
	if (turns_away(instance)) {
		soup_message_headers_append(out, "Not-Executed", "1");
		soup_server_message_set_status(message, 503, NULL);
		soup_server_message_unpause(message);
		return;
	}
	instance->n_running++;
	run = g_new0(run_t, 1);
	run->instance = instance;
	run->message = g_object_ref(message);
	g_signal_connect(message, "disconnected", G_CALLBACK(on_run_gone), run);
	g_signal_connect(message, "finished", G_CALLBACK(on_run_gone), run);
	instance->n_connected_from[host]++;
	if (g_str_has_prefix(path, "/once/")) {
		GHashTable *n_runs = instance->bed->n_runs;
		guint n = GPOINTER_TO_UINT(g_hash_table_lookup(n_runs, id));

		g_hash_table_replace(n_runs, g_strdup(id),
				     GUINT_TO_POINTER(n + 1));
	}
	run->is_stream = g_str_has_prefix(path, "/stream/");
	soup_message_headers_append(out, "Response-Signature", "s");
	soup_server_message_set_status(message, 200, NULL);
	soup_message_headers_set_encoding(out, SOUP_ENCODING_CHUNKED);
	g_timeout_add(instance->bed->capacity.run_ms > 0 ?
			      instance->bed->capacity.run_ms :
			      BEGIN_MS,
		      on_run_timer, run);
}

static void start_server(reach_instance_t *instance)
{
	reach_bed_t *bed = instance->bed;
	unsigned i = instance->index;
	char *key = g_strdup_printf("servers/i-%u", i);
	char *spec = g_strdup_printf(
		"{\"service\":\"model\",\"address\":\"127.0.0.1:%d\",\"zone\":"
		"\"z\",\"version\":\"v1\",\"slots\":%u,\"state\":\"ready\","
		"\"born\":%" G_GINT64_FORMAT "}",
		paths->instance_ports[i],
		bed->capacity.slots > 0 ? bed->capacity.slots : 64,
		g_get_real_time() / 1000);

	instance->server =
		listen_at(paths->instance_ports[i], on_instance_call, instance);
	put_text(&bed->store, key, spec);
	g_free(spec);
	g_free(key);
}

static void start_instance(reach_bed_t *bed, unsigned i)
{
	reach_instance_t *instance = &bed->instances[i];

	instance->bed = bed;
	instance->index = i;
	instance->rejected_at = g_array_new(FALSE, FALSE, sizeof(gint64));
	start_server(instance);
}

/* Entry hosts. */

static G_GNUC_NORETURN void run_host(const host_place_t *place)
{
	sr_entry_host_options_t options = { .settings = settings_at(place),
					    .seed = (guint64)own_host + 1 };
	char *detail = NULL;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	options.clock = sr_clock_new_real();
	options.log_file = g_getenv("REACH_BED_LOG") ? stderr : NULL;
	if (!sr_entry_host_new(&options, &detail))
		_exit(1);
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	_exit(0);
}

/* Before the test uses GLib's loop, which a process does not inherit. */
static void start_hosts(reach_bed_t *bed, int store_port)
{
	int peer_port = unused_port();
	int relay_port = unused_port();
	char *seeds = g_strdup_printf("[\"127.0.0.1:%d\"]", peer_port);

	for (unsigned i = 0; i < REACH_BED_HOSTS; i++) {
		char node[8];
		char ip[16];
		const host_place_t place = {
			.node = node,
			.failure_domain = i < REACH_BED_HOSTS / 2 ? "y" : "z",
			.ip = ip,
			.seeds = seeds,
			.store_port = store_port,
			.peer_port = peer_port,
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
		run_host(&place);
	}
	g_free(seeds);
}

static reach_bed_t *reach_bed_new(const capacity_t *capacity)
{
	reach_bed_t *bed = g_new0(reach_bed_t, 1);
	int store_port = unused_port();

	if (capacity)
		bed->capacity = *capacity;
	paths = mmap(NULL, sizeof(*paths), PROT_READ | PROT_WRITE,
		     MAP_SHARED | MAP_ANONYMOUS, -1, 0);
	assert_true(paths != MAP_FAILED);
	paths->closed_port = unused_port();
	for (unsigned i = 0; i < REACH_BED_INSTANCES; i++)
		paths->instance_ports[i] = unused_port();
	fill_silent_listener(bed);
	start_hosts(bed, store_port);
	bed->n_runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	store_init_at(&bed->store, store_port);
	put_text(&bed->store, "config/main",
		 "{\"version\":1,\"route_table\":["
		 "{\"name\":\"stream\",\"host\":\"h.example\",\"path_prefix\":"
		 "\"/stream/\",\"kind\":\"streaming\",\"resumable\":true,"
		 "\"timeout_ms\":1500,\"target_latency_ms\":500,\"priority\":1,"
		 "\"service\":\"model\",\"max_attempts\":2,\"public\":true},"
		 "{\"name\":\"plain\",\"host\":\"h.example\",\"path_prefix\":"
		 "\"/plain/\",\"kind\":\"idempotent\",\"timeout_ms\":1000,"
		 "\"target_latency_ms\":500,\"priority\":1,\"service\":"
		 "\"model\",\"max_attempts\":2,\"public\":true},"
		 "{\"name\":\"once\",\"host\":\"h.example\",\"path_prefix\":"
		 "\"/once/\",\"kind\":\"non_idempotent\",\"timeout_ms\":1000,"
		 "\"target_latency_ms\":500,\"priority\":1,\"service\":"
		 "\"model\",\"max_attempts\":2,\"public\":true}],"
		 "\"services\":[{\"name\":\"model\"}],\"limits\":{"
		 "\"max_header_bytes\":16384,\"max_body_bytes\":65536},"
		 "\"tenants\":[]}");
	for (unsigned i = 0; i < REACH_BED_INSTANCES; i++)
		start_instance(bed, i);
	bed->session = soup_session_new_with_options(
		"max-conns", 400, "max-conns-per-host", 100, NULL);
	run_for(2500);
	return bed;
}

static void reach_bed_free(reach_bed_t *bed)
{
	for (unsigned i = 0; i < REACH_BED_HOSTS; i++) {
		kill(bed->pids[i], SIGKILL);
		waitpid(bed->pids[i], NULL, 0);
	}
	/* no timer may be left, for this bed or the processes of the next */
	run_for(FALL_MS + 500);
	g_object_unref(bed->session);
	for (unsigned i = 0; i < REACH_BED_INSTANCES; i++) {
		g_clear_object(&bed->instances[i].server);
		g_array_unref(bed->instances[i].rejected_at);
	}
	for (unsigned i = 0; i < G_N_ELEMENTS(bed->silent_clients); i++)
		close(bed->silent_clients[i]);
	close(bed->silent_listener);
	store_clear(&bed->store);
	g_hash_table_unref(bed->n_runs);
	munmap(paths, sizeof(*paths));
	paths = NULL;
	g_free(bed);
}

/* Callers. */

typedef struct {
	reach_bed_t *bed;
	tally_t *tally;
} call_t;

static void on_response(GObject *source, GAsyncResult *result, gpointer user)
{
	SoupSession *session = SOUP_SESSION(source);
	call_t *call = user;
	SoupMessage *message =
		soup_session_get_async_result_message(session, result);
	GBytes *body = soup_session_send_and_read_finish(session, result, NULL);

	call->bed->n_pending--;
	call->tally->n_ok += body && soup_message_get_status(message) == 200;
	g_clear_pointer(&body, g_bytes_unref);
	g_free(call);
}

static void send_to_host(reach_bed_t *bed, unsigned host, const char *path)
{
	char *url = g_strdup_printf("http://127.0.0.%u:%d%s", host + 1,
				    bed->caller_ports[host], path);
	SoupMessage *message = soup_message_new("POST", url);
	SoupMessageHeaders *headers = soup_message_get_request_headers(message);
	call_t *call = g_new0(call_t, 1);
	char id[16];

	g_snprintf(id, sizeof(id), "%u", ++bed->n_sent);
	soup_message_headers_replace(headers, "Host", "h.example");
	soup_message_headers_append(headers, "Attempt-Id", id);
	soup_message_headers_append(headers, "Deadline-Ms", "1500");
	/* libsoup repeats what fails on a kept connection, unless it is new */
	soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
	call->bed = bed;
	call->tally = &bed->tallies[host];
	call->tally->n_sent++;
	bed->n_pending++;
	soup_session_send_and_read_async(bed->session, message,
					 G_PRIORITY_DEFAULT, NULL, on_response,
					 call);
	g_object_unref(message);
	g_free(url);
}

static gboolean on_request_timer(gpointer user)
{
	static const char *const targets[] = { "/stream/x", "/plain/x",
					       "/once/x" };
	reach_bed_t *bed = user;
	unsigned host = bed->n_sent % REACH_BED_HOSTS;

	send_to_host(
		bed, host,
		targets[bed->n_sent / REACH_BED_HOSTS % G_N_ELEMENTS(targets)]);
	return G_SOURCE_CONTINUE;
}

/* Sends requests of all kinds to all hosts in turn, and counts these only. */
static void load(reach_bed_t *bed, unsigned ms)
{
	guint timer;

	memset(bed->tallies, 0, sizeof(bed->tallies));
	timer = g_timeout_add(REQUEST_MS, on_request_timer, bed);
	run_for(ms);
	g_source_remove(timer);
	while (bed->n_pending > 0)
		g_main_context_iteration(NULL, TRUE);
}

static tally_t sum_of(const reach_bed_t *bed, unsigned from, unsigned to)
{
	tally_t sum = { 0 };

	for (unsigned i = from; i < to; i++) {
		sum.n_sent += bed->tallies[i].n_sent;
		sum.n_ok += bed->tallies[i].n_ok;
	}
	return sum;
}

static void set_paths(unsigned from, unsigned to, path_t path)
{
	for (unsigned i = from; i < to; i++)
		paths->paths[i] = path;
}

#endif
