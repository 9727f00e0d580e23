#ifndef SR_TEST_PLATFORM_BED_H
#define SR_TEST_PLATFORM_BED_H

/*
 * A whole entry host of the platform between a stand-in of the platform's
 * store, two instances and callers, on loopback.
 */
#include "platform_store.h"

/** Interval of requests, in ms. */
#define REQUEST_INTERVAL_MS 10

typedef struct bed bed_t;

typedef struct {
	bed_t *bed;
	SoupServer *server;
	const char *version;
	const char *failure_domain;
	unsigned cold_ms; /* that its registration names */
	unsigned n_requests;
	gboolean fails;	     /* every other request */
	gboolean turns_away; /* with 503, not run */
	/* What it says in its responses, NULL for nothing, and when. */
	const char *notice_name;
	const char *notice_value;
	GArray *times; /* of requests, gint64 in us */
} upstream_t;

struct bed {
	sr_clock_t *clock;
	store_t store;
	upstream_t upstreams[2];
	sr_entry_host_settings_t *settings;
	sr_entry_host_t *host;
	SoupSession *session;
	char *url;
	unsigned n_sent;
	unsigned n_answered;
	unsigned n_ok;
};

/* Instances. */

static void on_upstream_call(SoupServer *server, SoupServerMessage *message,
			     const char *path, GHashTable *query, gpointer user)
{
	upstream_t *upstream = user;
	SoupMessageHeaders *in =
		soup_server_message_get_request_headers(message);
	SoupMessageHeaders *out =
		soup_server_message_get_response_headers(message);
	gboolean failed;
	unsigned status;
	gint64 now;

	(void)server;
	(void)path;
	(void)query;
	upstream->n_requests++;
	now = g_get_monotonic_time();
	g_array_append_val(upstream->times, now);
	if (upstream->notice_name)
		soup_message_headers_append(out, upstream->notice_name,
					    upstream->notice_value);
	failed = upstream->fails && upstream->n_requests % 2 == 0;
	soup_message_headers_append(
		out, "Attempt-Id",
		soup_message_headers_get_one(in, "Attempt-Id"));
	soup_message_headers_append(out, "Response-Signature",
				    upstream->version);
	status = upstream->turns_away ? 503 : failed ? 500 : 200;
	if (upstream->turns_away)
		soup_message_headers_append(out, "Not-Executed", "1");
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, "text/plain",
					 SOUP_MEMORY_STATIC, "done", 4);
}

static void register_upstream(bed_t *bed, unsigned i)
{
	char *key = g_strdup_printf("servers/i-%u", i);
	char *spec = g_strdup_printf(
		"{\"service\":\"desk\",\"address\":\"127.0.0.1:%d\",\"zone\":"
		"\"%s\",\"version\":\"%s\",\"slots\":8,\"state\":\"ready\","
		"\"cold_remaining_ms\":%u}",
		port_of(bed->upstreams[i].server),
		bed->upstreams[i].failure_domain, bed->upstreams[i].version,
		bed->upstreams[i].cold_ms);

	put_text(&bed->store, key, spec);
	g_free(spec);
	g_free(key);
}

static bed_t *bed_new(void)
{
	static const char *const versions[] = { "v1", "v2" };
	bed_t *bed = g_new0(bed_t, 1);
	sr_entry_host_options_t options = { .seed = 1 };
	const host_place_t place = { .node = "n",
				     .failure_domain = "z",
				     .ip = "127.0.0.1",
				     .seeds = "[]",
				     .peer_port = unused_port(),
				     .relay_port = unused_port() };
	char *detail = NULL;

	bed->clock = sr_clock_new_real();
	store_init(&bed->store);
	put_text(
		&bed->store, "config/main",
		"{\"version\":1,\"route_table\":[{\"name\":\"book\",\"host\":"
		"\"h.example\",\"path_prefix\":\"/\",\"kind\":"
		"\"non_idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":"
		"500,\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,"
		"\"public\":true}],\"services\":[{\"name\":\"desk\",\"cold_start_s\":3,"
		"\"cold_per_s\":9.5}],"
		"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
		"65536},\"tenants\":[]}");
	for (unsigned i = 0; i < G_N_ELEMENTS(versions); i++) {
		upstream_t *upstream = &bed->upstreams[i];

		upstream->bed = bed;
		upstream->version = versions[i];
		upstream->failure_domain = "z";
		upstream->server = listen_local(on_upstream_call, upstream);
		upstream->times = g_array_new(FALSE, FALSE, sizeof(gint64));
	}
	register_upstream(bed, 0);
	bed->settings = make_settings(&bed->store, place);
	options.settings = bed->settings;
	options.clock = bed->clock;
	bed->host = sr_entry_host_new(&options, &detail);
	assert_non_null(bed->host);
	bed->session = soup_session_new_with_options(
		"max-conns", 200, "max-conns-per-host", 200, NULL);
	bed->url =
		g_strdup_printf("http://%s/x", bed->settings->caller_address);
	run_for(500);
	return bed;
}

static void bed_free(bed_t *bed)
{
	sr_entry_host_free(bed->host);
	sr_entry_host_settings_free(bed->settings);
	g_object_unref(bed->session);
	for (unsigned i = 0; i < G_N_ELEMENTS(bed->upstreams); i++) {
		g_object_unref(bed->upstreams[i].server);
		g_array_unref(bed->upstreams[i].times);
	}
	store_clear(&bed->store);
	sr_clock_free(bed->clock);
	g_free(bed->url);
	g_free(bed);
}

static void on_response(GObject *source, GAsyncResult *result, gpointer user)
{
	SoupSession *session = SOUP_SESSION(source);
	bed_t *bed = user;
	SoupMessage *message =
		soup_session_get_async_result_message(session, result);
	GBytes *body = soup_session_send_and_read_finish(session, result, NULL);

	bed->n_answered++;
	bed->n_ok += body && soup_message_get_status(message) == 200;
	g_clear_pointer(&body, g_bytes_unref);
}

static gboolean on_request_timer(gpointer user)
{
	bed_t *bed = user;
	SoupMessage *message = soup_message_new("POST", bed->url);
	SoupMessageHeaders *headers = soup_message_get_request_headers(message);
	char *id = g_strdup_printf("%u", ++bed->n_sent);

	soup_message_headers_replace(headers, "Host", "h.example");
	soup_message_headers_append(headers, "Attempt-Id", id);
	soup_message_headers_append(headers, "Deadline-Ms", "2000");
	soup_session_send_and_read_async(bed->session, message,
					 G_PRIORITY_DEFAULT, NULL, on_response,
					 bed);
	g_object_unref(message);
	g_free(id);
	return G_SOURCE_CONTINUE;
}

/* Sends requests at an even rate, and waits for the answers of the last. */
static void send_requests(bed_t *bed, unsigned ms)
{
	guint timer = g_timeout_add(REQUEST_INTERVAL_MS, on_request_timer, bed);

	run_for(ms);
	g_source_remove(timer);
	while (bed->n_answered < bed->n_sent)
		g_main_context_iteration(NULL, TRUE);
}

#endif
