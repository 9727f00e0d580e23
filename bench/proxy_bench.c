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
 * The daemon beside a bare libsoup pass-through and beside direct calls, all
 * in the same run. The upstream and each proxy are processes of their own, so
 * that the processor time of a proxy is its own.
 */

#define TOKEN "bench"
#define ANSWER_SIZE 256
#define CONCURRENCY 16
#define ROUND (1500 * SR_MSEC)
#define N_ROUNDS 3
#define N_STREAMS 1000
#define N_TOKENS 40
#define TOKEN_INTERVAL (250 * SR_MSEC)
#define RSS_INTERVAL (200 * SR_MSEC)

typedef struct {
	pid_t pid;
	guint16 port;
} process_t;

typedef guint16 (*start_fn)(guint16 upstream_port);

/* The upstream: a small answer, or a stream of tokens. */

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
	static const char answer[ANSWER_SIZE];

	soup_server_message_set_status(message, 200, NULL);
	soup_server_message_set_response(message, "application/octet-stream",
					 SOUP_MEMORY_STATIC, answer,
					 sizeof(answer));
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

/* The bare pass-through. */

typedef struct {
	SoupSession *session;
	guint16 port;
} bare_t;

static void on_bare_answer(GObject *source, GAsyncResult *result, gpointer data)
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

static void on_bare(SoupServer *server, SoupServerMessage *message,
		    const char *path, GHashTable *query, gpointer data)
{
	bare_t *bare = data;
	char *uri = g_strdup_printf("http://127.0.0.1:%u%s", bare->port, path);
	SoupMessage *request =
		soup_message_new(soup_server_message_get_method(message), uri);

	soup_server_message_pause(message);
	soup_session_send_and_read_async(bare->session, request,
					 G_PRIORITY_DEFAULT, NULL,
					 on_bare_answer, g_object_ref(message));
	g_object_unref(request);
	g_free(uri);
}

static guint16 start_bare(guint16 upstream_port)
{
	SoupServer *server = soup_server_new(NULL, NULL);
	bare_t *bare = g_new0(bare_t, 1);

	bare->port = upstream_port;
	bare->session = soup_session_new_with_options(
		"max-conns", 1000, "max-conns-per-host", 1000, NULL);
	soup_server_add_handler(server, NULL, on_bare, bare, NULL);
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

static process_t start(start_fn fn, guint16 upstream_port)
{
	process_t process = { .pid = -1 };
	int ends[2];

	if (pipe(ends))
		g_error("no pipe");
	process.pid = fork();
	if (process.pid == 0) {
		guint16 port = fn(upstream_port);

		if (write(ends[1], &port, sizeof(port)) != sizeof(port))
			_exit(1);
		g_main_loop_run(g_main_loop_new(NULL, FALSE));
		_exit(0);
	}
	if (process.pid < 0 ||
	    read(ends[0], &process.port, sizeof(process.port)) !=
		    sizeof(process.port))
		g_error("a process of the bench did not start");
	close(ends[0]);
	close(ends[1]);
	return process;
}

static void stop(const process_t *process)
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

/* The client. */

typedef struct {
	sr_upstream_client_t *client;
	char address[32];
	const char *method;
	const char *path;
	GBytes *body;
	sr_usec_t until; /* 0 for one call each */
	unsigned running;
	unsigned failed;
	guint64 bytes;
	GArray *took; /* sr_usec_t */
} load_t;

typedef struct {
	load_t *load;
	sr_usec_t began;
	unsigned status;
} one_t;

static void send_next(load_t *load);

static void on_headers(void *user, unsigned status, SoupMessageHeaders *headers)
{
	one_t *one = user;

	one->status = status;
}

static void on_data(void *user, const guint8 *data, gsize size)
{
	one_t *one = user;

	one->load->bytes += size;
}

static void on_end(void *user, sr_fetch_end_t end, const char *detail)
{
	one_t *one = user;
	load_t *load = one->load;
	sr_usec_t now = g_get_monotonic_time();
	sr_usec_t took = now - one->began;

	if (end != SR_FETCH_COMPLETE || one->status != 200)
		load->failed++;
	else
		g_array_append_val(load->took, took);
	g_free(one);
	load->running--;
	if (now < load->until)
		send_next(load);
}

static void send_next(load_t *load)
{
	static const sr_header_t headers[] = {
		{ "Authorization", "Bearer " TOKEN },
	};
	one_t *one = g_new0(one_t, 1);
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
		.user = one,
	};

	one->load = load;
	one->began = g_get_monotonic_time();
	load->running++;
	sr_upstream_send(load->client, &options);
}

static void init_load(load_t *load, const process_t *to, const char *path)
{
	memset(load, 0, sizeof(*load));
	load->client = sr_upstream_client_new();
	load->method = "GET";
	load->path = path;
	load->took = g_array_new(FALSE, FALSE, sizeof(sr_usec_t));
	g_snprintf(load->address, sizeof(load->address), "127.0.0.1:%u",
		   to->port);
}

static void clear_load(load_t *load)
{
	sr_upstream_client_free(load->client);
	g_array_unref(load->took);
	g_clear_pointer(&load->body, g_bytes_unref);
}

static void run_round(load_t *load, unsigned concurrency)
{
	load->until = g_get_monotonic_time() + ROUND;
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

static double quantile(GArray *took, double q)
{
	if (!took->len)
		return 0;
	g_array_sort(took, compare_times);
	return (double)g_array_index(took, sr_usec_t,
				     (guint)(q * (took->len - 1)));
}

/* Small requests: direct, bare and daemon take turns. */
static void run_small(const process_t to[3])
{
	load_t busy[3];
	load_t calm[3];
	double cpu[3] = { 0 };

	for (int i = 0; i < 3; i++) {
		init_load(&busy[i], &to[i], "/p/x");
		init_load(&calm[i], &to[i], "/p/x");
	}
	for (int round = 0; round < N_ROUNDS; round++) {
		for (int i = 0; i < 3; i++) {
			double before = cpu_seconds(&to[i]);

			run_round(&busy[i], CONCURRENCY);
			cpu[i] += cpu_seconds(&to[i]) - before;
			run_round(&calm[i], 1);
		}
	}
	bench_print("proxy", "requests_per_cpu_s", busy[2].took->len / cpu[2]);
	bench_print("proxy", "bare_requests_per_cpu_s",
		    busy[1].took->len / cpu[1]);
	bench_print("proxy", "requests_per_cpu_s_ratio",
		    busy[2].took->len / cpu[2] / (busy[1].took->len / cpu[1]));
	bench_print("proxy", "p50_ratio",
		    quantile(calm[2].took, 0.5) / quantile(calm[0].took, 0.5));
	bench_print("proxy", "p99_ratio",
		    quantile(calm[2].took, 0.99) /
			    quantile(calm[0].took, 0.99));
	bench_print("proxy", "bare_p50_ratio",
		    quantile(calm[1].took, 0.5) / quantile(calm[0].took, 0.5));
	bench_print("proxy", "failed", busy[2].failed + calm[2].failed);
	for (int i = 0; i < 3; i++) {
		clear_load(&busy[i]);
		clear_load(&calm[i]);
	}
}

static void run_streams(const process_t *to)
{
	load_t load;
	double before = cpu_seconds(to);
	double most = 0;
	sr_usec_t look_at = 0;
	sr_usec_t now;

	init_load(&load, to, "/m/x");
	load.method = "POST";
	load.body = g_bytes_new_static("{\"prompt\": \"a\"}", 15);
	for (unsigned i = 0; i < N_STREAMS; i++)
		send_next(&load);
	while (load.running) {
		g_main_context_iteration(NULL, TRUE);
		now = g_get_monotonic_time();
		if (load.running == N_STREAMS && now >= look_at) {
			look_at = now + RSS_INTERVAL;
			most = MAX(most, rss_mb(to));
		}
	}
	bench_print("proxy", "streams_whole", load.took->len);
	bench_print("proxy", "rss_mb", most);
	bench_print("proxy", "tokens_per_cpu_s",
		    (double)N_TOKENS * load.took->len /
			    (cpu_seconds(to) - before));
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
	process_t to[3];

	raise_file_limit();
	to[0] = start(start_upstream, 0);
	to[1] = start(start_bare, to[0].port);
	to[2] = start(start_daemon, to[0].port);
	run_small(to);
	run_streams(&to[2]);
	for (int i = 2; i >= 0; i--)
		stop(&to[i]);
}
