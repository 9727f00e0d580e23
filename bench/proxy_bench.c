#include "bench.h"

#include <libsoup/soup.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "daemon/daemon.h"

/*
 * Compares the daemon with a minimal libsoup proxy (the pass-through) and with
 * direct calls to the upstream, in the same run. The upstream and each proxy
 * are separate processes, so that the CPU time of a proxy can be measured.
 */

#define TOKEN "bench"
#define RESPONSE_SIZE 256
#define CONCURRENCY 16 /* simultaneous small requests */
#define ROUND_TIME (1500 * SR_MSEC)
#define N_ROUNDS 3
#define N_STREAMS 1000 /* simultaneous */
#define N_TOKENS 40    /* per stream */
#define TOKEN_INTERVAL (250 * SR_MSEC)
#define RSS_INTERVAL (200 * SR_MSEC) /* between two samples */

/** Processes that are measured, indices of arrays. */
enum { DIRECT, PASSTHROUGH, DAEMON, N_TARGETS };

typedef struct {
	pid_t pid;
	guint16 port;
} process_t;

/** start_fn - start a server in a child process; returns its port */
typedef guint16 (*start_fn)(guint16 upstream_port);

/* The upstream: /p returns a small response, /m a stream of tokens. */

typedef struct {
	SoupServerMessage *message;
	unsigned next;
	guint source;
} stream_t;

static void on_stream_finished(SoupServerMessage *message, gpointer data)
{
	stream_t *stream = data;

	if (stream->source)
		g_source_remove(stream->source);
	g_object_unref(stream->message);
	g_free(stream);
}

static gboolean on_token(gpointer data)
{
	stream_t *stream = data;
	SoupMessageBody *body =
		soup_server_message_get_response_body(stream->message);
	gboolean more = stream->next < N_TOKENS;
	char *text = more ? g_strdup_printf("data: {\"offset\": %u, "
					    "\"token\": \"abcd\"}\n\n",
					    stream->next) :
			    g_strdup_printf("event: done\ndata: "
					    "{\"tokens\": %u}\n\n",
					    N_TOKENS);

	soup_message_body_append_take(body, (guchar *)text, strlen(text));
	stream->next++;
	if (!more) {
		stream->source = 0;
		soup_message_body_complete(body);
	}
	soup_server_message_unpause(stream->message);
	return more;
}

static void on_model(SoupServer *server, SoupServerMessage *message,
		     const char *path, GHashTable *query, gpointer data)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);
	stream_t *stream = g_new0(stream_t, 1);

	stream->message = g_object_ref(message);
	soup_server_message_set_status(message, 200, NULL);
	soup_message_headers_replace(headers, "Content-Type",
				     "text/event-stream");
	soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
	soup_message_body_set_accumulate(
		soup_server_message_get_response_body(message), FALSE);
	g_signal_connect(message, "finished", G_CALLBACK(on_stream_finished),
			 stream);
	stream->source = g_timeout_add((guint)(TOKEN_INTERVAL / SR_MSEC),
				       on_token, stream);
}

static void on_plain(SoupServer *server, SoupServerMessage *message,
		     const char *path, GHashTable *query, gpointer data)
{
	static const char response[RESPONSE_SIZE];

	soup_server_message_set_status(message, 200, NULL);
	soup_server_message_set_response(message, "application/octet-stream",
					 SOUP_MEMORY_STATIC, response,
					 sizeof(response));
}

static guint16 listen_local(SoupServer *server)
{
	GSList *uris;
	guint16 port;

	soup_server_listen_local(server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL);
	uris = soup_server_get_uris(server);
	port = (guint16)g_uri_get_port(uris->data);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	return port;
}

static guint16 start_upstream(guint16 unused)
{
	SoupServer *server = soup_server_new(NULL, NULL);

	soup_server_add_handler(server, "/m", on_model, NULL, NULL);
	soup_server_add_handler(server, "/p", on_plain, NULL, NULL);
	return listen_local(server);
}

/* The pass-through proxy. */

typedef struct {
	SoupSession *session;
	guint16 port;
} passthrough_t;

static void on_passthrough_response(GObject *source, GAsyncResult *result,
				    gpointer data)
{
	SoupServerMessage *message = data;
	GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(source),
							 result, NULL);
	gsize size = 0;
	const char *text = body ? g_bytes_get_data(body, &size) : NULL;

	soup_server_message_set_status(message, body ? 200 : 502, NULL);
	soup_server_message_set_response(message, "application/octet-stream",
					 SOUP_MEMORY_COPY, text, size);
	soup_server_message_unpause(message);
	g_bytes_unref(body);
	g_object_unref(message);
}

static void on_passthrough_request(SoupServer *server,
				   SoupServerMessage *message, const char *path,
				   GHashTable *query, gpointer data)
{
	passthrough_t *passthrough = data;
	char *uri = g_strdup_printf("http://127.0.0.1:%u%s", passthrough->port,
				    path);
	SoupMessage *request =
		soup_message_new(soup_server_message_get_method(message), uri);

	soup_server_message_pause(message);
	soup_session_send_and_read_async(
		passthrough->session, request, G_PRIORITY_DEFAULT, NULL,
		on_passthrough_response, g_object_ref(message));
	g_object_unref(request);
	g_free(uri);
}

static guint16 start_passthrough(guint16 upstream_port)
{
	SoupServer *server = soup_server_new(NULL, NULL);
	passthrough_t *passthrough = g_new0(passthrough_t, 1);

	passthrough->port = upstream_port;
	passthrough->session = soup_session_new_with_options(
		"max-conns", 1000, "max-conns-per-host", 1000, NULL);
	soup_server_add_handler(server, NULL, on_passthrough_request,
				passthrough, NULL);
	return listen_local(server);
}

/* The daemon. */

static sr_config_t *daemon_config(guint16 upstream_port)
{
	GPtrArray *findings = sr_findings_new();
	char *hash =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, TOKEN, -1);
	char *text = g_strdup_printf(
		"{\"accounts\": [{\"name\": \"a\", \"home\": \"z\", "
		"\"token_sha256\": [\"%s\"]}], \"services\": ["
		"{\"name\": \"m\", \"kind\": \"model\", \"path\": \"/m\", "
		"\"routes\": [{\"name\": \"r\", \"path\": \"/m\", "
		"\"idempotent\": true, \"deadline_ms\": 600000}], "
		"\"versions\": [{\"name\": \"v\", \"share\": 1}]}, "
		"{\"name\": \"p\", \"kind\": \"plain\", \"path\": \"/p\", "
		"\"routes\": [{\"name\": \"r\", \"path\": \"/p\", "
		"\"idempotent\": true}], "
		"\"versions\": [{\"name\": \"v\", \"share\": 1}]}], "
		"\"upstreams\": [{\"name\": \"um\", \"service\": \"m\", "
		"\"version\": \"v\", \"failure_domain\": \"z\", "
		"\"slots\": 2000, \"address\": \"127.0.0.1:%u\"}, "
		"{\"name\": \"up\", \"service\": \"p\", \"version\": \"v\", "
		"\"failure_domain\": \"z\", \"slots\": 2000, "
		"\"address\": \"127.0.0.1:%u\"}]}",
		hash, upstream_port, upstream_port);
	sr_config_t *config = sr_config_parse(text, strlen(text), 1, findings);

	if (!config)
		g_error("%s", sr_findings_text(findings));
	g_ptr_array_unref(findings);
	g_free(hash);
	g_free(text);
	return config;
}

static guint16 start_daemon(guint16 upstream_port)
{
	static const char text[] =
		"{\"node\": \"n\", \"failure_domain\": \"z\", "
		"\"caller_address\": \"127.0.0.1:0\", "
		"\"admin_address\": \"127.0.0.1:0\", \"config_file\": \"-\"}";
	GPtrArray *findings = sr_findings_new();
	sr_settings_t *settings =
		sr_settings_parse(text, strlen(text), findings);
	const sr_daemon_options_t options = {
		.settings = settings,
		.clock = sr_clock_new_real(),
		.seed = 1,
	};
	sr_daemon_t *daemon = sr_daemon_new(&options);
	char *detail = NULL;

	sr_daemon_set_config(daemon, daemon_config(upstream_port));
	if (sr_caller_server_listen(daemon->caller_server, "127.0.0.1:0",
				    &detail))
		g_error("%s", detail);
	return sr_caller_server_port(daemon->caller_server);
}

static process_t start_process(start_fn fn, guint16 upstream_port)
{
	process_t process = { .pid = -1 };
	int pipe_fds[2];

	if (pipe(pipe_fds))
		g_error("cannot create a pipe; check the limit of open files");
	process.pid = fork();
	if (process.pid == 0) {
		guint16 port = fn(upstream_port);

		if (write(pipe_fds[1], &port, sizeof(port)) != sizeof(port))
			_exit(1);
		g_main_loop_run(g_main_loop_new(NULL, FALSE));
		_exit(0);
	}
	if (process.pid < 0 ||
	    read(pipe_fds[0], &process.port, sizeof(process.port)) !=
		    sizeof(process.port))
		g_error("a bench process did not start or ended without a port");
	close(pipe_fds[0]);
	close(pipe_fds[1]);
	return process;
}

static void stop_process(const process_t *process)
{
	kill(process->pid, SIGKILL);
	waitpid(process->pid, NULL, 0);
}

static double cpu_seconds(const process_t *process)
{
	struct timespec used = { 0 };
	clockid_t clock;

	if (clock_getcpuclockid(process->pid, &clock) ||
	    clock_gettime(clock, &used))
		return 0;
	return (double)used.tv_sec + (double)used.tv_nsec / 1e9;
}

static double rss_mb(const process_t *process)
{
	char *path = g_strdup_printf("/proc/%d/statm", (int)process->pid);
	char *text = NULL;
	unsigned long pages = 0;

	if (g_file_get_contents(path, &text, NULL, NULL) && strchr(text, ' '))
		pages = strtoul(strchr(text, ' '), NULL, 10);
	g_free(text);
	g_free(path);
	return (double)pages * (double)sysconf(_SC_PAGESIZE) / 1048576;
}

/* The client: repeats a call and records its latency. */

typedef struct {
	sr_clock_t *clock;
	sr_http_client_t *client;
	char address[32];
	const char *method;
	const char *path;
	GBytes *body;
	sr_usec_t end_time; /* of repeated calls; 0 for one each */
	unsigned running;
	unsigned failed;
	guint64 bytes;
	GArray *latencies; /* sr_usec_t, of complete calls */
} load_t;

typedef struct {
	load_t *load;
	sr_usec_t started_at;
	unsigned status;
} call_t;

static void send_next(load_t *load);

static void on_headers(void *user, unsigned status, const sr_headers_t *headers)
{
	call_t *call = user;

	call->status = status;
}

static void on_data(void *user, const guint8 *data, gsize size)
{
	call_t *call = user;

	call->load->bytes += size;
}

static void on_end(void *user, sr_fetch_end_t end, const char *detail)
{
	call_t *call = user;
	load_t *load = call->load;
	sr_usec_t now = g_get_monotonic_time();
	sr_usec_t latency = now - call->started_at;

	if (end != SR_FETCH_COMPLETE || call->status != 200)
		load->failed++;
	else
		g_array_append_val(load->latencies, latency);
	g_free(call);
	load->running--;
	if (now < load->end_time)
		send_next(load);
}

static void send_next(load_t *load)
{
	static const sr_header_t headers[] = {
		{ "Authorization", "Bearer " TOKEN },
	};
	call_t *call = g_new0(call_t, 1);
	const sr_fetch_options_t options = {
		.address = load->address,
		.method = load->method,
		.path = load->path,
		.headers = headers,
		.n_headers = G_N_ELEMENTS(headers),
		.content_type = "application/json",
		.body = load->body,
		.idempotent = TRUE,
		.on_headers = on_headers,
		.on_data = on_data,
		.on_end = on_end,
		.user = call,
	};

	call->load = load;
	call->started_at = g_get_monotonic_time();
	load->running++;
	sr_http_send(load->client, &options);
}

static void init_load(load_t *load, const process_t *target, const char *path)
{
	memset(load, 0, sizeof(*load));
	load->clock = sr_clock_new_real();
	load->client = sr_http_client_new(
		&(sr_http_client_options_t){ .clock = load->clock });
	load->method = "GET";
	load->path = path;
	load->latencies = g_array_new(FALSE, FALSE, sizeof(sr_usec_t));
	g_snprintf(load->address, sizeof(load->address), "127.0.0.1:%u",
		   target->port);
}

static void clear_load(load_t *load)
{
	sr_http_client_free(load->client);
	sr_clock_free(load->clock);
	g_array_unref(load->latencies);
	g_clear_pointer(&load->body, g_bytes_unref);
}

static void run_round(load_t *load, unsigned concurrency)
{
	load->end_time = g_get_monotonic_time() + ROUND_TIME;
	for (unsigned i = 0; i < concurrency; i++)
		send_next(load);
	while (load->running)
		g_main_context_iteration(NULL, TRUE);
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	sr_usec_t x = *(const sr_usec_t *)a;
	sr_usec_t y = *(const sr_usec_t *)b;

	return x < y ? -1 : x > y;
}

static double quantile(GArray *latencies, double q)
{
	if (!latencies->len)
		return 0;
	g_array_sort(latencies, compare_times);
	return (double)g_array_index(latencies, sr_usec_t,
				     (guint)(q * (latencies->len - 1)));
}

/*
 * Measures concurrent and sequential small requests. The targets alternate, so
 * that they run under the same conditions.
 */
static void measure_small_requests(const process_t target[N_TARGETS])
{
	load_t concurrent[N_TARGETS];
	load_t sequential[N_TARGETS];
	double cpu[N_TARGETS] = { 0 };

	for (int i = 0; i < N_TARGETS; i++) {
		init_load(&concurrent[i], &target[i], "/p/x");
		init_load(&sequential[i], &target[i], "/p/x");
	}
	for (int round = 0; round < N_ROUNDS; round++) {
		for (int i = 0; i < N_TARGETS; i++) {
			double before = cpu_seconds(&target[i]);

			run_round(&concurrent[i], CONCURRENCY);
			cpu[i] += cpu_seconds(&target[i]) - before;
			run_round(&sequential[i], 1);
		}
	}
	bench_print("proxy", "requests_per_cpu_s",
		    concurrent[DAEMON].latencies->len / cpu[DAEMON]);
	bench_print("proxy", "bare_requests_per_cpu_s",
		    concurrent[PASSTHROUGH].latencies->len / cpu[PASSTHROUGH]);
	bench_print("proxy", "requests_per_cpu_s_ratio",
		    concurrent[DAEMON].latencies->len / cpu[DAEMON] /
			    (concurrent[PASSTHROUGH].latencies->len /
			     cpu[PASSTHROUGH]));
	bench_print("proxy", "p50_ratio",
		    quantile(sequential[DAEMON].latencies, 0.5) /
			    quantile(sequential[DIRECT].latencies, 0.5));
	bench_print("proxy", "p99_ratio",
		    quantile(sequential[DAEMON].latencies, 0.99) /
			    quantile(sequential[DIRECT].latencies, 0.99));
	bench_print("proxy", "bare_p50_ratio",
		    quantile(sequential[PASSTHROUGH].latencies, 0.5) /
			    quantile(sequential[DIRECT].latencies, 0.5));
	bench_print("proxy", "failed",
		    concurrent[DAEMON].failed + sequential[DAEMON].failed);
	for (int i = 0; i < N_TARGETS; i++) {
		clear_load(&concurrent[i]);
		clear_load(&sequential[i]);
	}
}

static void measure_streams(const process_t *target)
{
	load_t load;
	double before = cpu_seconds(target);
	double max_rss_mb = 0;
	sr_usec_t next_sample = 0;
	sr_usec_t now;

	init_load(&load, target, "/m/x");
	load.method = "POST";
	load.body = g_bytes_new_static("{\"prompt\": \"a\"}", 15);
	for (unsigned i = 0; i < N_STREAMS; i++)
		send_next(&load);
	while (load.running) {
		g_main_context_iteration(NULL, TRUE);
		now = g_get_monotonic_time();
		if (load.running == N_STREAMS && now >= next_sample) {
			next_sample = now + RSS_INTERVAL;
			max_rss_mb = MAX(max_rss_mb, rss_mb(target));
		}
	}
	bench_print("proxy", "streams_whole", load.latencies->len);
	bench_print("proxy", "rss_mb", max_rss_mb);
	bench_print("proxy", "tokens_per_cpu_s",
		    (double)N_TOKENS * load.latencies->len /
			    (cpu_seconds(target) - before));
	clear_load(&load);
}

static void raise_file_limit(void)
{
	struct rlimit limit;

	if (!getrlimit(RLIMIT_NOFILE, &limit)) {
		limit.rlim_cur = limit.rlim_max;
		setrlimit(RLIMIT_NOFILE, &limit);
	}
}

void proxy_bench_run(guint64 seed)
{
	process_t target[N_TARGETS];

	raise_file_limit();
	target[DIRECT] = start_process(start_upstream, 0);
	target[PASSTHROUGH] =
		start_process(start_passthrough, target[DIRECT].port);
	target[DAEMON] = start_process(start_daemon, target[DIRECT].port);
	measure_small_requests(target);
	measure_streams(&target[DAEMON]);
	for (int i = N_TARGETS - 1; i >= 0; i--)
		stop_process(&target[i]);
}
