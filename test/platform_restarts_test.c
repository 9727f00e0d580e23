/*
 * What all entry hosts owe together, while they restart one after the other:
 * the sums are taken at the instances. Each scenario plays in a process of its
 * own, with hosts that are processes of their own program.
 */
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>

#include "platform_store.h"

#define HOSTS_MAX 24
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

/** Of instances that fall over if they have to turn away more than BRITTLE
 * requests in a second: requests that run there and that wait, the time that
 * one takes, that for which an instance is down, and falls that the platform
 * allows. */
#define SLOTS 6
#define WAITING 0
#define RUN_MS 120
#define BRITTLE 5
#define FALL_MS 1500
#define FALLS_MAX (2 + INSTANCES / 10.0)

/** scenario_kind_t - what is judged. */
typedef enum {
	SCENARIO_LIMIT, /* what an instance gets that names a limit */
	SCENARIO_BRITTLE,
	SCENARIO_RETRIES,
	SCENARIO_ACCOUNT,
} scenario_kind_t;

typedef struct {
	const char *name;
	scenario_kind_t kind;
	unsigned n_hosts;
	double failing; /* part of the requests that fail */
	const char *account_key;
	unsigned ask_ms;     /* in the trouble */
	unsigned restart_ms; /* between the restarts of two hosts */
	gboolean is_planned; /* SIGTERM in place of SIGKILL */
} scenario_t;

/* Each names the failure that it guards against. */
static const scenario_t scenarios[] = {
	{ .name = "LIMIT: an instance gets more than it named",
	  .kind = SCENARIO_LIMIT,
	  .n_hosts = 9,
	  .account_key = "key-free",
	  .ask_ms = 8,
	  .restart_ms = 1600 },
	{ .name = "LIMIT: brittle instances fall once more when they are back",
	  .kind = SCENARIO_BRITTLE,
	  .n_hosts = 24,
	  .account_key = "key-free",
	  .ask_ms = 4,
	  .restart_ms = 800 },
	{ .name = "BUDGET: each host that starts may repeat anew",
	  .kind = SCENARIO_RETRIES,
	  .n_hosts = 9,
	  .failing = 0.9,
	  .account_key = "key-free",
	  .ask_ms = 80,
	  .restart_ms = 400 },
	{ .name = "QUOTA: an account gets more than its limit, kills",
	  .kind = SCENARIO_ACCOUNT,
	  .n_hosts = 9,
	  .account_key = "key-hot",
	  .ask_ms = 20,
	  .restart_ms = 800 },
	{ .name = "QUOTA: an account gets more than its limit, planned stops",
	  .kind = SCENARIO_ACCOUNT,
	  .n_hosts = 9,
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
	int port;
	SoupServer *server; /* NULL while it is down */
	unsigned n_running;
	GArray *rejected; /* arrival_t */
	unsigned n_falls; /* of which hosts in touch are the cause */
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
	char *settings[HOSTS_MAX];
	GPid pids[HOSTS_MAX];
	gint64 started_at_ms[HOSTS_MAX];
	gint64 stopping_at_ms[HOSTS_MAX]; /* 0 if not in a planned stop */
	unsigned n_asked;
	gboolean is_hot;
	gint64 counted_from_ms; /* all hosts have to keep the bounds */
	GHashTable *seen;	/* id -> itself */
	GArray *arrivals;	/* arrival_t */
	GArray *asked_ms;	/* gint64 */
};

static unsigned host_of_request(const restart_bed_t *bed, guint64 number)
{
	return (unsigned)(number % MAX(bed->scenario->n_hosts, 1));
}

static gint64 now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

/* The instances. */

static void on_restart_call(SoupServer *server, SoupServerMessage *message,
			    const char *path, GHashTable *query, gpointer user);

static void publish_restart_instance(restart_instance_t *instance)
{
	char *key = g_strdup_printf("servers/i-%u", instance->index);
	char *spec = g_strdup_printf(
		"{\"service\":\"desk\",\"address\":\"127.0.0.1:%d\","
		"\"zone\":\"z\",\"version\":\"v1\",\"slots\":%d,\"state\":"
		"\"ready\",\"born\":%" G_GINT64_FORMAT "}",
		instance->port,
		instance->bed->scenario->kind == SCENARIO_BRITTLE ? SLOTS : 64,
		g_get_real_time() / 1000);

	put_text(&instance->bed->store, key, spec);
	g_free(spec);
	g_free(key);
}

static gboolean on_up_again(gpointer user)
{
	restart_instance_t *instance = user;

	instance->server = listen_at(instance->port, on_restart_call, instance);
	publish_restart_instance(instance);
	return G_SOURCE_REMOVE;
}

static gboolean on_fall(gpointer user)
{
	restart_instance_t *instance = user;
	unsigned n_in_touch = 0;

	if (!instance->server)
		return G_SOURCE_REMOVE;
	for (guint i = 0; i < instance->rejected->len; i++)
		n_in_touch += g_array_index(instance->rejected, arrival_t, i)
				      .is_in_touch;
	instance->n_falls += 2 * n_in_touch > instance->rejected->len;
	g_array_set_size(instance->rejected, 0);
	soup_server_disconnect(instance->server);
	g_clear_object(&instance->server);
	g_timeout_add(FALL_MS, on_up_again, instance);
	return G_SOURCE_REMOVE;
}

/* Whether the instance has no room; it falls over if it has to say so too
 * often. */
static gboolean turns_away(restart_instance_t *instance,
			   const arrival_t *arrival)
{
	GArray *rejected = instance->rejected;

	if (instance->bed->scenario->kind != SCENARIO_BRITTLE ||
	    instance->n_running < SLOTS + WAITING)
		return FALSE;
	while (rejected->len > 0 &&
	       arrival->at_ms - g_array_index(rejected, arrival_t, 0).at_ms >=
		       1000)
		g_array_remove_index(rejected, 0);
	g_array_append_val(rejected, *arrival);
	if (rejected->len > BRITTLE &&
	    arrival->at_ms >= instance->bed->counted_from_ms)
		g_idle_add(on_fall, instance);
	return TRUE;
}

/** run_t - of a request at an instance. */
typedef struct {
	SoupServerMessage *message;
	restart_instance_t *instance;
	gboolean is_gone;
} run_t;

static void on_run_gone(SoupServerMessage *message, gpointer user)
{
	(void)message;
	((run_t *)user)->is_gone = TRUE;
}

static gboolean on_run_timer(gpointer user)
{
	run_t *run = user;

	if (!run->is_gone)
		soup_server_message_unpause(run->message);
	run->instance->n_running--;
	g_signal_handlers_disconnect_by_data(run->message, run);
	g_object_unref(run->message);
	g_free(run);
	return G_SOURCE_REMOVE;
}

static void run_for_a_while(restart_instance_t *instance,
			    SoupServerMessage *message)
{
	run_t *run = g_new0(run_t, 1);

	run->instance = instance;
	run->message = g_object_ref(message);
	g_signal_connect(message, "disconnected", G_CALLBACK(on_run_gone), run);
	g_signal_connect(message, "finished", G_CALLBACK(on_run_gone), run);
	instance->n_running++;
	soup_server_message_pause(message);
	g_timeout_add(RUN_MS, on_run_timer, run);
}

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
	host = host_of_request(bed, g_ascii_strtoull(id, NULL, 16));
	arrival.is_repeat = !g_hash_table_add(bed->seen, g_strdup(id));
	arrival.is_in_touch =
		bed->pids[host] > 0 && bed->stopping_at_ms[host] == 0 &&
		arrival.at_ms - bed->started_at_ms[host] > CONTACT_MS;
	g_array_append_val(bed->arrivals, arrival);
	if (bed->scenario->kind == SCENARIO_BRITTLE && bed->is_hot)
		soup_message_headers_append(out, "Server-Brittle",
					    G_STRINGIFY(BRITTLE));
	if (bed->scenario->kind == SCENARIO_LIMIT && instance->index == 0)
		soup_message_headers_append(out, "Server-Limit",
					    G_STRINGIFY(LIMIT_PER_S));
	soup_message_headers_append(out, "Attempt-Id", id);
	if (turns_away(instance, &arrival)) {
		soup_message_headers_append(out, "Not-Executed", "1");
		soup_server_message_set_status(message, 503, NULL);
		return;
	}
	if (bed->scenario->kind == SCENARIO_BRITTLE)
		run_for_a_while(instance, message);
	soup_message_headers_append(out, "Response-Signature", "s");
	soup_server_message_set_status(message, fails ? 500 : 200, NULL);
	soup_server_message_set_response(message, "text/plain",
					 SOUP_MEMORY_STATIC, "done", 4);
}

static void start_restart_instance(restart_bed_t *bed, unsigned i)
{
	restart_instance_t *instance = &bed->instances[i];

	instance->bed = bed;
	instance->index = i;
	instance->rejected = g_array_new(FALSE, FALSE, sizeof(arrival_t));
	instance->server = listen_local(on_restart_call, instance);
	instance->port = port_of(instance->server);
	publish_restart_instance(instance);
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
	unsigned host = host_of_request(bed, ++bed->n_asked);
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
	for (unsigned i = 0; i < bed->scenario->n_hosts; i++) {
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
	put_text(&bed->store, "config/main",
		 "{\"version\":1,\"route_table\":[{\"name\":\"r\",\"host\":"
		 "\"h.example\",\"path_prefix\":\"/\",\"kind\":\"idempotent\","
		 "\"timeout_ms\":1000,\"target_latency_ms\":200,\"priority\":1,"
		 "\"service\":\"desk\",\"max_attempts\":3,\"public\":false}],"
		 "\"services\":[{\"name\":\"desk\"}],\"limits\":{"
		 "\"max_header_bytes\":16384,\"max_body_bytes\":65536},"
		 "\"tenants\":[{\"name\":\"free\",\"api_keys\":[\"key-free\"]},"
		 "{\"name\":\"hot\",\"api_keys\":[\"key-hot\"],\"unit\":"
		 "\"tokens\",\"uncached_tokens\":200,\"rate_per_s\":50000,"
		 "\"burst\":50000}]}");
	for (unsigned i = 0; i < INSTANCES; i++)
		start_restart_instance(bed, i);
	for (unsigned i = 0; i < bed->scenario->n_hosts; i++) {
		write_restart_settings(bed, i, peer_port, relay_port);
		start_restart_host(bed, i);
	}
	on_ask_timer(bed);
	return bed;
}

static void restart_bed_end(restart_bed_t *bed)
{
	for (unsigned i = 0; i < bed->scenario->n_hosts; i++) {
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
	switch (scenario->kind) {
	case SCENARIO_LIMIT:
		return arrival->instance == 0 && arrival->is_in_touch;
	case SCENARIO_RETRIES:
		return arrival->is_repeat;
	case SCENARIO_BRITTLE:
	case SCENARIO_ACCOUNT:
		break;
	}
	return TRUE;
}

static double amount(const scenario_t *scenario, const arrival_t *arrival)
{
	return scenario->kind == SCENARIO_ACCOUNT ? arrival->tokens : 1;
}

static gint64 window_ms(const scenario_t *scenario)
{
	switch (scenario->kind) {
	case SCENARIO_LIMIT:
		return LIMIT_WINDOW_MS;
	case SCENARIO_RETRIES:
		return RETRY_WINDOW_MS;
	case SCENARIO_BRITTLE:
	case SCENARIO_ACCOUNT:
		break;
	}
	return ACCOUNT_WINDOW_MS;
}

static double allowed_retries(const restart_bed_t *bed, gint64 from)
{
	unsigned n = 0;

	for (guint i = 0; i < bed->asked_ms->len; i++) {
		gint64 at = g_array_index(bed->asked_ms, gint64, i);

		n += at >= from && at < from + RETRY_WINDOW_MS;
	}
	return RETRY_RATIO * n + RETRY_SLACK;
}

static double allowed(const restart_bed_t *bed, gint64 from)
{
	switch (bed->scenario->kind) {
	case SCENARIO_LIMIT:
		return LIMIT_MAX;
	case SCENARIO_RETRIES:
		return allowed_retries(bed, from);
	case SCENARIO_BRITTLE:
	case SCENARIO_ACCOUNT:
		break;
	}
	return ACCOUNT_MAX;
}

/* Returns the largest part of what is allowed that a window has got. */
static double worst_window(const restart_bed_t *bed)
{
	const scenario_t *scenario = bed->scenario;
	double worst = 0;

	for (guint i = 0; i < bed->arrivals->len; i++) {
		const arrival_t *first =
			&g_array_index(bed->arrivals, arrival_t, i);
		double sum = 0;

		if (first->at_ms < bed->counted_from_ms ||
		    !counts(scenario, first))
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

/* The same of the falls of all instances. */
static double part_of_falls(const restart_bed_t *bed)
{
	unsigned n = 0;

	for (unsigned i = 0; i < INSTANCES; i++)
		n += bed->instances[i].n_falls;
	return n / FALLS_MAX;
}

static int run_scenario(const char *program, unsigned index)
{
	const scenario_t *scenario = &scenarios[index];
	restart_bed_t *bed = restart_bed_new(scenario, program);
	double worst;

	run_for(QUIET_MS);
	bed->is_hot = TRUE;
	bed->counted_from_ms = now_ms();
	/* time to learn what the instances have begun to say */
	if (scenario->kind == SCENARIO_LIMIT ||
	    scenario->kind == SCENARIO_BRITTLE)
		bed->counted_from_ms += CONTACT_MS;
	for (unsigned i = 0; i < TROUBLE_MS / scenario->restart_ms; i++) {
		run_for(scenario->restart_ms);
		restart_host(bed, i % bed->scenario->n_hosts);
		end_late_stops(bed);
	}
	worst = scenario->kind == SCENARIO_BRITTLE ? part_of_falls(bed) :
						     worst_window(bed);
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

/* platform_restarts_test [PROGRAM [NAME]]: plays the scenarios whose name
 * begins with NAME side by side, each in a process of its own. */
int main(int argc, char **argv)
{
	struct CMUnitTest tests[G_N_ELEMENTS(scenarios)];
	const char *prefix = argc > 2 ? argv[2] : "";
	size_t n_tests = 0;
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

		if (!g_str_has_prefix(scenarios[i].name, prefix))
			continue;
		indexes[i] = i;
		memcpy(&tests[n_tests++], &test, sizeof(test));
		runs[i] = fork();
		if (runs[i] == 0)
			exit(run_scenario(program, i));
	}
	if (n_tests == 0) {
		fprintf(stderr, "no scenario begins with \"%s\"\n", prefix);
		return EXIT_FAILURE;
	}
	return _cmocka_run_group_tests("platform_restarts_test", tests, n_tests,
				       NULL, NULL);
}
