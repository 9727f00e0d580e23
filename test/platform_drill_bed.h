#ifndef SR_TEST_PLATFORM_DRILL_BED_H
#define SR_TEST_PLATFORM_DRILL_BED_H

/*
 * Entry hosts of the platform as processes of their own program, under load,
 * with a store that can be taken away and restored from an older copy. Records
 * what the platform sees of the duties.
 */
#include <glib/gstdio.h>
#include <signal.h>

#include "platform_store.h"

#define DRILL_HOSTS_MAX 3

/** Interval of the copies of the store, and how many are kept. */
#define COPY_INTERVAL_MS 250
#define COPIES_MAX 100

/** Interval of requests, in ms. */
#define ASK_INTERVAL_MS 20

/** Time after which a change of the configuration is in force, and that after a
 * drill until the operator writes it again, in ms. */
#define APPLY_MS 2000
#define REWRITE_MS 2000

/** Time for which a planned stop may take, in ms. */
#define STOP_MS 8000

typedef struct {
	gint64 at; /* monotonic, in us */
	gint64 revision;
	char *objects;
} store_copy_t;

typedef struct {
	const char *program;
	char *folder;
	unsigned scenario; /* selects the addresses */
	unsigned n_hosts;
	store_t store;
	SoupServer *instance;
	GQueue copies; /* store_copy_t */
	int peer_port;
	int relay_port;
	int caller_port;
	char *settings[DRILL_HOSTS_MAX]; /* paths */
	GPid pids[DRILL_HOSTS_MAX];	 /* 0 if it doesn't run */
	SoupSession *session;
	unsigned n_asked;
	unsigned config_version;
	gint64 revoked_from;	 /* monotonic, in us; 0 before the change */
	unsigned n_revoked_runs; /* with the old key, of requests after it */
	/* what the platform has seen */
	gint64 first_call_at; /* monotonic, in us; 0 before it */
	GHashTable *reports;  /* window -> char *, its counts */
	unsigned n_reports;
	GHashTable *holders; /* epoch -> char *, the first holder */
	guint64 last_epoch;
	char *last_holder; /* NULL before the first call */
	unsigned n_conflicts;
	unsigned n_shared_epochs;
	unsigned n_lower_epochs;
} drill_bed_t;

/* The duties. */

static void note_holder(drill_bed_t *bed, const char *holder,
			const char *epoch_text)
{
	const char *before = g_hash_table_lookup(bed->holders, epoch_text);
	guint64 epoch = g_ascii_strtoull(epoch_text, NULL, 10);

	if (!before)
		g_hash_table_insert(bed->holders, g_strdup(epoch_text),
				    g_strdup(holder));
	bed->n_shared_epochs += before && strcmp(before, holder) != 0;
	bed->n_lower_epochs += epoch < bed->last_epoch;
	bed->last_epoch = MAX(bed->last_epoch, epoch);
	g_free(bed->last_holder);
	bed->last_holder = g_strdup(holder);
}

static void note_report(drill_bed_t *bed, json_object *body)
{
	json_object *window = NULL;
	json_object *counts = NULL;
	const char *before;
	const char *key;
	GString *text = g_string_new(NULL);

	json_object_object_get_ex(body, "window_id", &window);
	json_object_object_get_ex(body, "counts", &counts);
	key = json_object_get_string(window);
	for (char account = 'x'; account <= 'y'; account++) {
		const char name[] = { account, '\0' };
		json_object *count = NULL;

		json_object_object_get_ex(counts, name, &count);
		g_string_append_printf(text, " %s=%d", name,
				       json_object_get_int(count));
	}
	before = g_hash_table_lookup(bed->reports, key);
	if (before && strcmp(before, text->str) != 0) {
		bed->n_conflicts++;
		print_message("window %s: %s, reported before with %s\n", key,
			      text->str, before);
	}
	bed->n_reports++;
	if (!before)
		g_hash_table_insert(bed->reports, g_strdup(key),
				    g_strdup(text->str));
	g_string_free(text, TRUE);
}

static void on_duty(void *user, SoupServerMessage *message, const char *path)
{
	drill_bed_t *bed = user;
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);
	json_object *body = json_tokener_parse(
		soup_server_message_get_request_body(message)->data);

	if (bed->first_call_at == 0)
		bed->first_call_at = g_get_monotonic_time();
	note_holder(bed, soup_message_headers_get_one(headers, "Duty-Holder"),
		    soup_message_headers_get_one(headers, "Fencing-Token"));
	if (!strcmp(path, "/usage"))
		note_report(bed, body);
	json_object_put(body);
}

/* The store. */

static void free_copy(gpointer data)
{
	store_copy_t *copy = data;

	g_free(copy->objects);
	g_free(copy);
}

static gboolean make_copy(gpointer user)
{
	drill_bed_t *bed = user;
	store_copy_t *copy;

	if (bed->store.is_away)
		return G_SOURCE_CONTINUE;
	copy = g_new0(store_copy_t, 1);
	copy->at = g_get_monotonic_time();
	copy->revision = bed->store.revision;
	copy->objects =
		g_strdup(json_object_to_json_string(bed->store.objects));
	g_queue_push_tail(&bed->copies, copy);
	if (g_queue_get_length(&bed->copies) > COPIES_MAX)
		free_copy(g_queue_pop_head(&bed->copies));
	return G_SOURCE_CONTINUE;
}

/* What the operator writes; from version 5 on without the key "key-old". */
static gboolean write_config(gpointer user)
{
	drill_bed_t *bed = user;
	char *spec = g_strdup_printf(
		"{\"version\":%u,\"route_table\":[{\"name\":\"r\",\"host\":"
		"\"h.example\",\"path_prefix\":\"/\",\"kind\":"
		"\"non_idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":"
		"150,\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,"
		"\"public\":false}],\"services\":[{\"name\":\"desk\"}],"
		"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
		"65536},\"tenants\":[{\"name\":\"x\",\"api_keys\":[\"key-x\"]},"
		"{\"name\":\"y\",\"api_keys\":[\"key-y\"%s]}]}",
		bed->config_version,
		bed->config_version < 5 ? ",\"key-old\"" : "");

	put_text(&bed->store, "config/main", spec);
	g_free(spec);
	return G_SOURCE_REMOVE;
}

/* The key may be used until all hosts have had the time to know. */
static void revoke_key(drill_bed_t *bed)
{
	if (bed->config_version >= 5)
		return;
	bed->config_version = 5;
	bed->revoked_from = g_get_monotonic_time() + APPLY_MS * 1000;
	write_config(bed);
}

static void write_instance(drill_bed_t *bed)
{
	char *spec = g_strdup_printf(
		"{\"service\":\"desk\",\"address\":\"127.0.0.1:%d\","
		"\"zone\":\"z\",\"version\":\"v1\",\"slots\":64,"
		"\"state\":\"ready\",\"cold_remaining_ms\":0}",
		port_of(bed->instance));

	put_text(&bed->store, "servers/i-1", spec);
	g_free(spec);
}

/* Brings the store back, in the next era, from its copy of age_ms ago. The
 * operator writes its objects again a little later. */
static void restore_store(drill_bed_t *bed, unsigned age_ms)
{
	gint64 at = g_get_monotonic_time() - (gint64)age_ms * 1000;
	GList *item = bed->copies.tail;
	const store_copy_t *copy;

	while (item->prev && ((const store_copy_t *)item->data)->at > at)
		item = item->prev;
	copy = item->data;
	json_object_put(bed->store.objects);
	json_object_put(bed->store.removed);
	bed->store.objects = json_tokener_parse(copy->objects);
	bed->store.removed = json_object_new_object();
	bed->store.revision = copy->revision;
	bed->store.oldest = copy->revision;
	bed->store.era++;
	bed->store.is_away = FALSE;
	write_instance(bed);
	g_timeout_add(REWRITE_MS, write_config, bed);
}

/* The instance and its callers. */

static void on_instance_call(SoupServer *server, SoupServerMessage *message,
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

static char *host_ip(const drill_bed_t *bed, unsigned host)
{
	return g_strdup_printf("127.0.%u.%u", 10 + bed->scenario, host + 1);
}

typedef struct {
	drill_bed_t *bed;
	SoupMessage *message;
	gboolean is_revoked; /* sent with the old key, after its time */
} question_t;

static void on_answered(GObject *source, GAsyncResult *result, gpointer user)
{
	question_t *question = user;
	GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(source),
							 result, NULL);

	if (body && question->is_revoked &&
	    soup_message_get_status(question->message) == 200)
		question->bed->n_revoked_runs++;
	g_clear_pointer(&body, g_bytes_unref);
	g_object_unref(question->message);
	g_free(question);
}

static gboolean ask(gpointer user)
{
	static const char *const keys[] = { "key-x", "key-x", "key-y",
					    "key-old" };
	drill_bed_t *bed = user;
	question_t *question = g_new0(question_t, 1);
	const char *key = keys[bed->n_asked / bed->n_hosts % 4];
	char *ip = host_ip(bed, bed->n_asked % bed->n_hosts);
	char *url = g_strdup_printf("http://%s:%d/p", ip, bed->caller_port);
	char *id = g_strdup_printf("%016x", ++bed->n_asked);
	char *bearer = g_strdup_printf("Bearer %s", key);
	SoupMessageHeaders *headers;

	question->bed = bed;
	question->message = soup_message_new("POST", url);
	question->is_revoked = bed->revoked_from > 0 &&
			       g_get_monotonic_time() > bed->revoked_from &&
			       !strcmp(key, "key-old");
	headers = soup_message_get_request_headers(question->message);
	soup_message_headers_replace(headers, "Host", "h.example");
	soup_message_headers_append(headers, "Attempt-Id", id);
	soup_message_headers_append(headers, "Deadline-Ms", "1500");
	soup_message_headers_append(headers, "Authorization", bearer);
	soup_session_send_and_read_async(bed->session, question->message,
					 G_PRIORITY_DEFAULT, NULL, on_answered,
					 question);
	g_free(bearer);
	g_free(id);
	g_free(url);
	g_free(ip);
	return G_SOURCE_CONTINUE;
}

/* The hosts. */

static void write_settings(drill_bed_t *bed, unsigned host)
{
	char *ip = host_ip(bed, host);
	char *first = host_ip(bed, 0);
	char *second = host_ip(bed, 1);
	char *node = g_strdup_printf("n%u", host);
	char *seeds = g_strdup_printf("[\"%s:%d\",\"%s:%d\"]", first,
				      bed->peer_port, second, bed->peer_port);
	const host_place_t place = {
		.node = node,
		.failure_domain = host % 2 ? "y" : "z",
		.ip = ip,
		.seeds = seeds,
		.store_port = port_of(bed->store.server),
		.peer_port = bed->peer_port,
		.relay_port = bed->relay_port,
		.caller_port = bed->caller_port,
	};
	char *text = settings_text(&place);

	bed->settings[host] = g_strdup_printf("%s/%s.json", bed->folder, node);
	assert_true(g_file_set_contents(bed->settings[host], text, -1, NULL));
	g_free(text);
	g_free(seeds);
	g_free(node);
	g_free(second);
	g_free(first);
	g_free(ip);
}

static void start_host(drill_bed_t *bed, unsigned host)
{
	char *log = g_strdup_printf("%s.log", bed->settings[host]);
	char *command = g_strdup_printf("exec %s %s >>%s 2>&1", bed->program,
					bed->settings[host], log);
	char *argv[] = { "/bin/sh", "-c", command, NULL };

	assert_int_equal(bed->pids[host], 0);
	assert_true(g_spawn_async(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
				  NULL, NULL, &bed->pids[host], NULL));
	g_free(command);
	g_free(log);
}

static gboolean is_running(const drill_bed_t *bed, unsigned host)
{
	siginfo_t info = { .si_pid = 0 };

	return bed->pids[host] > 0 &&
	       !waitid(P_PID, (id_t)bed->pids[host], &info,
		       WEXITED | WNOHANG | WNOWAIT) &&
	       info.si_pid == 0;
}

/* Sends the signal; after a planned stop that takes too long SIGKILL. */
static void stop_host(drill_bed_t *bed, unsigned host, int signal)
{
	gint64 until = g_get_monotonic_time() + STOP_MS * 1000;

	if (bed->pids[host] == 0)
		return;
	kill(bed->pids[host], signal);
	while (is_running(bed, host) && g_get_monotonic_time() < until)
		run_for(20);
	kill(bed->pids[host], SIGKILL);
	while (is_running(bed, host))
		run_for(5);
	g_spawn_close_pid(bed->pids[host]);
	bed->pids[host] = 0;
}

/* The host that the platform has heard of last. */
static unsigned holder_of(const drill_bed_t *bed)
{
	return (unsigned)g_ascii_strtoull(bed->last_holder + 1, NULL, 10);
}

static drill_bed_t *drill_bed_new(const char *program, unsigned scenario,
				  unsigned n_hosts)
{
	drill_bed_t *bed = g_new0(drill_bed_t, 1);

	bed->program = program;
	bed->folder = g_dir_make_tmp("drill-XXXXXX", NULL);
	bed->scenario = scenario;
	bed->n_hosts = n_hosts;
	bed->peer_port = unused_port();
	bed->relay_port = unused_port();
	bed->caller_port = unused_port();
	bed->reports =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	bed->holders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	bed->session = soup_session_new();
	soup_session_set_timeout(bed->session, 2);
	bed->instance = listen_local(on_instance_call, bed);
	store_init(&bed->store);
	bed->store.revision = 500;
	bed->store.oldest = 500;
	bed->store.era = 7;
	bed->store.duty_called = on_duty;
	bed->store.user = bed;
	g_queue_init(&bed->copies);
	bed->config_version = 3;
	write_config(bed);
	write_instance(bed);
	g_timeout_add(COPY_INTERVAL_MS, make_copy, bed);
	for (unsigned i = 0; i < n_hosts; i++) {
		write_settings(bed, i);
		start_host(bed, i);
	}
	g_timeout_add(ASK_INTERVAL_MS, ask, bed);
	return bed;
}

/* Ends the processes; the bed lives as long as its own process. */
static void drill_bed_end(drill_bed_t *bed)
{
	for (unsigned i = 0; i < bed->n_hosts; i++)
		stop_host(bed, i, SIGKILL);
	store_clear(&bed->store);
}

/* Keeps the hosts' logs if a check failed. */
static void remove_logs(const drill_bed_t *bed)
{
	for (unsigned i = 0; i < bed->n_hosts; i++) {
		char *log = g_strdup_printf("%s.log", bed->settings[i]);

		g_unlink(log);
		g_unlink(bed->settings[i]);
		g_free(log);
	}
	g_rmdir(bed->folder);
}

#endif
