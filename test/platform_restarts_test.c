/*
 * What all entry hosts owe together, while they restart one after the other:
 * the sums are taken at the instances. Each scenario plays in a process of its
 * own, with hosts that are processes of their own program.
 */
#include <glib/gstdio.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>

#include "platform_store.h"

#define HOSTS 9
#define INSTANCES 3

/** Time until the trouble, and its length, in ms. */
#define QUIET_MS 10000
#define TROUBLE_MS 24000

/** Time after which a host that has ended starts again, in ms. */
#define RESTART_MS 500

/** Time that a planned stop may take, in ms. */
#define STOP_MS 8000

/** A host counts only if it has run for so long, in ms. */
#define CONTACT_MS 3000

/** Bounds of the platform: of a limit that an instance names, of retries, of
 * what an account may use. */
#define LIMIT_PER_S 5
#define LIMIT_WINDOW_MS 4000
#define LIMIT_MAX (1.5 * LIMIT_PER_S * LIMIT_WINDOW_MS / 1000 + 5)
#define RETRY_WINDOW_MS 10000
#define RETRY_RATIO 0.2
#define RETRY_SLACK 58
#define ACCOUNT_RATE 50000
#define ACCOUNT_WINDOW_MS 8000
#define ACCOUNT_MAX                                                           \
	((ACCOUNT_RATE * (ACCOUNT_WINDOW_MS / 1000.0) + ACCOUNT_RATE) * 1.1 + \
	 190000)
#define REQUEST_TOKENS 15000

typedef struct {
	const char *name;
	gboolean names_limit; /* the first instance */
	double failing;	      /* part of the requests that fail */
	const char *account_key;
	unsigned ask_ms;     /* in the trouble */
	unsigned restart_ms; /* between the restarts of two hosts */
	gboolean is_planned; /* SIGTERM in place of SIGKILL */
} scenario_t;

/* Each names the failure that it guards against. */
static const scenario_t scenarios[] = {
	{ .name = "LIMIT: an instance gets more than it named",
	  .names_limit = TRUE,
	  .account_key = "key-free",
	  .ask_ms = 8,
	  .restart_ms = 1600 },
	{ .name = "BUDGET: each host that starts may repeat anew",
	  .failing = 0.9,
	  .account_key = "key-free",
	  .ask_ms = 80,
	  .restart_ms = 400 },
	{ .name = "QUOTA: an account gets more than its limit, kills",
	  .account_key = "key-hot",
	  .ask_ms = 20,
	  .restart_ms = 800 },
	{ .name = "QUOTA: an account gets more than its limit, planned stops",
	  .account_key = "key-hot",
	  .ask_ms = 20,
	  .restart_ms = 400,
	  .is_planned = TRUE },
};

/** arrival_t - of a request at an instance. */
typedef struct {
	gint64 at_ms;
	unsigned instance;
	gboolean is_repeat;
	gboolean is_in_touch; /* the host that it was sent to */
	double tokens;
} arrival_t;

typedef struct restart_bed restart_bed_t;

typedef struct {
	restart_bed_t *bed;
	unsigned index;
	SoupServer *server;
} restart_instance_t;

struct restart_bed {
	const scenario_t *scenario;
	const char *program;
	char *folder;
	store_t store;
	restart_instance_t instances[INSTANCES];
	SoupSession *session;
	GRand *random;
	int caller_port;
	char *settings[HOSTS];
	GPid pids[HOSTS];
	gint64 started_at_ms[HOSTS];
	gint64 stopping_at_ms[HOSTS]; /* 0 if not in a planned stop */
	unsigned n_asked;
	gboolean is_hot;
	GHashTable *seen; /* id -> itself */
	GArray *arrivals; /* arrival_t */
	GArray *asked_ms; /* gint64 */
};

static gint64 now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

/* The instances. */

static void on_restart_call(SoupServer *server, SoupServerMessage *message,
			    const char *path, GHashTable *query, gpointer user)
{
	restart_instance_t *instance = user;
	restart_bed_t *bed = instance->bed;
	SoupMessageHeaders *in =
		soup_server_message_get_request_headers(message);
	SoupMessageHeaders *out =
		soup_server_message_get_response_headers(message);
	const char *id = soup_message_headers_get_one(in, "Attempt-Id");
	gboolean fails = g_rand_double(bed->random) < bed->scenario->failing;
	arrival_t arrival = { .at_ms = now_ms(),
			      .instance = instance->index,
			      .tokens = REQUEST_TOKENS };
	unsigned host;

	(void)server;
	(void)path;
	(void)query;
	if (!id) { /* a check of its health */
		soup_server_message_set_status(message, 200, NULL);
		return;
	}
	host = (unsigned)(g_ascii_strtoull(id, NULL, 16) % HOSTS);
	arrival.is_repeat = !g_hash_table_add(bed->seen, g_strdup(id));
	arrival.is_in_touch =
		bed->pids[host] > 0 && bed->stopping_at_ms[host] == 0 &&
		arrival.at_ms - bed->started_at_ms[host] > CONTACT_MS;
	g_array_append_val(bed->arrivals, arrival);
	if (bed->scenario->names_limit && instance->index == 0)
		soup_message_headers_append(out, "Server-Limit",
					    G_STRINGIFY(LIMIT_PER_S));
	soup_message_headers_append(out, "Attempt-Id", id);
	soup_message_headers_append(out, "Response-Signature", "s");
	soup_server_message_set_status(message, fails ? 500 : 200, NULL);
	soup_server_message_set_response(message, "text/plain",
					 SOUP_MEMORY_STATIC, "done", 4);
}

static void start_restart_instance(restart_bed_t *bed, unsigned i)
{
	restart_instance_t *instance = &bed->instances[i];
	char *key = g_strdup_printf("servers/i-%u", i);
	char *spec;

	instance->bed = bed;
	instance->index = i;
	instance->server = listen_local(on_restart_call, instance);
	spec = g_strdup_printf(
		"{\"service\":\"desk\",\"address\":\"127.0.0.1:%d\","
		"\"zone\":\"z\",\"version\":\"v1\",\"slots\":64,\"state\":"
		"\"ready\"}",
		port_of(instance->server));
	put_text(&bed->store, key, spec);
	g_free(spec);
	g_free(key);
}

/* The callers. */

static char *host_ip(unsigned host)
{
	return g_strdup_printf("127.0.7.%u", host + 1);
}

static void on_restart_answer(GObject *source, GAsyncResult *result,
			      gpointer user)
{
	GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(source),
							 result, NULL);

	(void)user;
	g_clear_pointer(&body, g_bytes_unref);
}

static void ask_restart_host(restart_bed_t *bed)
{
	gint64 at_ms = now_ms();
	unsigned host = ++bed->n_asked % HOSTS;
	char *ip = host_ip(host);
	char *url = g_strdup_printf("http://%s:%d/p", ip, bed->caller_port);
	char *id = g_strdup_printf("%016x", bed->n_asked);
	char *bearer = g_strdup_printf("Bearer %s", bed->scenario->account_key);
	SoupMessage *message = soup_message_new("POST", url);
	SoupMessageHeaders *headers = soup_message_get_request_headers(message);

	soup_message_headers_replace(headers, "Host", "h.example");
	soup_message_headers_append(headers, "Attempt-Id", id);
	soup_message_headers_append(headers, "Deadline-Ms", "1000");
	soup_message_headers_append(headers, "Token-Usage",
				    G_STRINGIFY(REQUEST_TOKENS) ",0");
	soup_message_headers_append(headers, "Authorization", bearer);
	/* libsoup repeats what fails on a kept connection, unless it is new */
	soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
	g_array_append_val(bed->asked_ms, at_ms);
	soup_session_send_and_read_async(bed->session, message,
					 G_PRIORITY_DEFAULT, NULL,
					 on_restart_answer, NULL);
	g_object_unref(message);
	g_free(bearer);
	g_free(id);
	g_free(url);
	g_free(ip);
}

static gboolean on_ask_timer(gpointer user)
{
	restart_bed_t *bed = user;

	ask_restart_host(bed);
	g_timeout_add(bed->is_hot ? bed->scenario->ask_ms : 200, on_ask_timer,
		      bed);
	return G_SOURCE_REMOVE;
}

/* The hosts. */

static void write_restart_settings(restart_bed_t *bed, unsigned host,
				   int peer_port, int relay_port)
{
	char *ip = host_ip(host);
	char *node = g_strdup_printf("n%u", host);
	char *seeds = g_strdup_printf("[\"127.0.7.1:%d\",\"127.0.7.2:%d\"]",
				      peer_port, peer_port);
	const host_place_t place = { .node = node,
				     .failure_domain = "z",
				     .ip = ip,
				     .seeds = seeds,
				     .store_port = port_of(bed->store.server),
				     .peer_port = peer_port,
				     .relay_port = relay_port,
				     .caller_port = bed->caller_port };
	char *text = settings_text(&place);

	bed->settings[host] = g_strdup_printf("%s/%s.json", bed->folder, node);
	assert_true(g_file_set_contents(bed->settings[host], text, -1, NULL));
	g_free(text);
	g_free(seeds);
	g_free(node);
	g_free(ip);
}

static gboolean start_restart_host(restart_bed_t *bed, unsigned host)
{
	char *log = g_strdup_printf("%s.log", bed->settings[host]);
	char *command = g_strdup_printf("exec %s %s >>%s 2>&1", bed->program,
					bed->settings[host], log);
	char *argv[] = { "/bin/sh", "-c", command, NULL };

	bed->started_at_ms[host] = now_ms();
	bed->stopping_at_ms[host] = 0;
	g_spawn_async(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL,
		      &bed->pids[host], NULL);
	g_free(command);
	g_free(log);
	return bed->pids[host] > 0;
}

typedef struct {
	restart_bed_t *bed;
	unsigned host;
} restart_t;

static gboolean on_start_again(gpointer user)
{
	restart_t *restart = user;

	start_restart_host(restart->bed, restart->host);
	g_free(restart);
	return G_SOURCE_REMOVE;
}

static void on_host_ended(GPid pid, gint status, gpointer user)
{
	restart_t *restart = user;

	(void)status;
	g_spawn_close_pid(pid);
	restart->bed->pids[restart->host] = 0;
	g_timeout_add(RESTART_MS, on_start_again, restart);
}

/* Ends a host, which starts again. */
static void restart_host(restart_bed_t *bed, unsigned host)
{
	restart_t *restart;

	if (bed->pids[host] <= 0 || bed->stopping_at_ms[host] > 0)
		return;
	restart = g_new0(restart_t, 1);
	restart->bed = bed;
	restart->host = host;
	bed->stopping_at_ms[host] = now_ms();
	g_child_watch_add(bed->pids[host], on_host_ended, restart);
	kill(bed->pids[host], bed->scenario->is_planned ? SIGTERM : SIGKILL);
}

/* SIGKILL for planned stops that take too long, as the platform does. */
static void end_late_stops(restart_bed_t *bed)
{
	for (unsigned i = 0; i < HOSTS; i++) {
		if (bed->pids[i] > 0 && bed->stopping_at_ms[i] > 0 &&
		    now_ms() - bed->stopping_at_ms[i] > STOP_MS)
			kill(bed->pids[i], SIGKILL);
	}
}

static restart_bed_t *restart_bed_new(const scenario_t *scenario,
				      const char *program)
{
	restart_bed_t *bed = g_new0(restart_bed_t, 1);
	int peer_port = unused_port();
	int relay_port = unused_port();

	bed->scenario = scenario;
	bed->program = program;
	bed->folder = g_dir_make_tmp("restarts-XXXXXX", NULL);
	bed->caller_port = unused_port();
	bed->random = g_rand_new_with_seed(1);
	bed->seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bed->arrivals = g_array_new(FALSE, FALSE, sizeof(arrival_t));
	bed->asked_ms = g_array_new(FALSE, FALSE, sizeof(gint64));
	bed->session = soup_session_new_with_options(
		"max-conns", 400, "max-conns-per-host", 60, "timeout", 2, NULL);
	store_init(&bed->store);
	put_text(
		&bed->store, "config/main",
		"{\"version\":1,\"route_table\":[{\"name\":\"r\",\"host\":"
		"\"h.example\",\"path_prefix\":\"/\",\"kind\":\"idempotent\","
		"\"timeout_ms\":1000,\"target_latency_ms\":200,\"priority\":1,"
		"\"service\":\"desk\",\"max_attempts\":3,\"public\":false}],"
		"\"services\":[{\"name\":\"desk\"}],\"limits\":{"
		"\"max_header_bytes\":16384,\"max_body_bytes\":65536},"
		"\"tenants\":[{\"name\":\"free\",\"api_keys\":[\"key-free\"]},"
		"{\"name\":\"hot\",\"api_keys\":[\"key-hot\"],\"unit\":"
		"\"tokens\",\"uncached_tokens\":200,\"rate_per_s\":" G_STRINGIFY(
			ACCOUNT_RATE) ",\"burst\":" G_STRINGIFY(ACCOUNT_RATE) "}]}");
	for (unsigned i = 0; i < INSTANCES; i++)
		start_restart_instance(bed, i);
	for (unsigned i = 0; i < HOSTS; i++) {
		write_restart_settings(bed, i, peer_port, relay_port);
		start_restart_host(bed, i);
	}
	on_ask_timer(bed);
	return bed;
}

static void restart_bed_end(restart_bed_t *bed)
{
	for (unsigned i = 0; i < HOSTS; i++) {
		if (bed->pids[i] <= 0)
			continue;
		kill(bed->pids[i], SIGKILL);
		waitpid(bed->pids[i], NULL, 0);
	}
	store_clear(&bed->store);
}

/* What the instances have seen. */

static gboolean counts(const scenario_t *scenario, const arrival_t *arrival)
{
	if (scenario->names_limit)
		return arrival->instance == 0 && arrival->is_in_touch;
	return scenario->failing > 0 ? arrival->is_repeat : TRUE;
}

static double amount(const scenario_t *scenario, const arrival_t *arrival)
{
	return scenario->names_limit || scenario->failing > 0 ? 1 :
								arrival->tokens;
}

static unsigned window_ms(const scenario_t *scenario)
{
	if (scenario->names_limit)
		return LIMIT_WINDOW_MS;
	return scenario->failing > 0 ? RETRY_WINDOW_MS : ACCOUNT_WINDOW_MS;
}

static double allowed(const restart_bed_t *bed, gint64 from)
{
	unsigned n = 0;

	if (bed->scenario->names_limit)
		return LIMIT_MAX;
	if (bed->scenario->failing <= 0)
		return ACCOUNT_MAX;
	for (guint i = 0; i < bed->asked_ms->len; i++) {
		gint64 at = g_array_index(bed->asked_ms, gint64, i);

		n += at >= from && at < from + RETRY_WINDOW_MS;
	}
	return RETRY_RATIO * n + RETRY_SLACK;
}

/* Returns the largest part of what is allowed that a window has got. */
static double worst_window(const restart_bed_t *bed, gint64 begin)
{
	const scenario_t *scenario = bed->scenario;
	double worst = 0;

	for (guint i = 0; i < bed->arrivals->len; i++) {
		const arrival_t *first =
			&g_array_index(bed->arrivals, arrival_t, i);
		double sum = 0;

		if (first->at_ms < begin || !counts(scenario, first))
			continue;
		for (guint k = i; k < bed->arrivals->len; k++) {
			const arrival_t *other =
				&g_array_index(bed->arrivals, arrival_t, k);

			if (other->at_ms >= first->at_ms + window_ms(scenario))
				break;
			if (counts(scenario, other))
				sum += amount(scenario, other);
		}
		worst = MAX(worst, sum / allowed(bed, first->at_ms));
	}
	return worst;
}

static int run_scenario(const char *program, unsigned index)
{
	const scenario_t *scenario = &scenarios[index];
	restart_bed_t *bed = restart_bed_new(scenario, program);
	gint64 begin;
	double worst;

	run_for(QUIET_MS);
	bed->is_hot = TRUE;
	/* from then on all hosts have to keep a limit that is named first now
	 */
	begin = now_ms() + (scenario->names_limit ? CONTACT_MS : 0);
	for (unsigned i = 0; i < TROUBLE_MS / scenario->restart_ms; i++) {
		run_for(scenario->restart_ms);
		restart_host(bed, i % HOSTS);
		end_late_stops(bed);
	}
	worst = worst_window(bed, begin);
	restart_bed_end(bed);
	print_message("%s: %.2f of what is allowed, %u arrivals of %u requests "
		      "(%s)\n",
		      scenario->name, worst, bed->arrivals->len, bed->n_asked,
		      bed->folder);
	return worst > 1;
}

static pid_t runs[G_N_ELEMENTS(scenarios)];

static void test_scenario(void **state)
{
	unsigned index = *(unsigned *)*state;
	int status;

	assert_int_equal(waitpid(runs[index], &status, 0), runs[index]);
	assert_true(WIFEXITED(status) && WEXITSTATUS(status) == 0);
}

/* The scenarios run side by side, each in a process of its own. */
int main(int argc, char **argv)
{
	struct CMUnitTest tests[G_N_ELEMENTS(scenarios)];
	static unsigned indexes[G_N_ELEMENTS(scenarios)];
	char *folder = g_path_get_dirname(argv[0]);
	char *program =
		argc > 1 ?
			argv[1] :
			g_build_filename(folder, "sassafrasd-platform", NULL);

	for (unsigned i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		const struct CMUnitTest test = { .name = scenarios[i].name,
						 .test_func = test_scenario,
						 .initial_state = &indexes[i] };

		indexes[i] = i;
		memcpy(&tests[i], &test, sizeof(test));
		runs[i] = fork();
		if (runs[i] == 0)
			exit(run_scenario(program, i));
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
