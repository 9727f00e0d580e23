#include "caller/server.h"

#include "caller/request.h"

#define REQUEST_KEY "sassafras-request"

static void on_idle(void *user)
{
	sr_caller_server_t *server = user;

	server->idle_timer = NULL;
	server->idle(server->idle_user);
}

void sr_caller_server_add_buffered(sr_caller_server_t *server, gssize size)
{
	g_assert(size >= 0 || (gsize)-size <= server->buffered);
	server->buffered += (gsize)size;
	sr_gauge_set(server->meters.buffered, (double)server->buffered);
}

void sr_caller_server_check_idle(sr_caller_server_t *server)
{
	if (!server->idle || server->n_requests || server->idle_timer)
		return;
	server->idle_timer =
		sr_timer_start(server->options.clock, 0, on_idle, server);
}

/* The request header was received. */
static void on_header(SoupServer *server, SoupServerMessage *message,
		      const char *path, GHashTable *query, gpointer data)
{
	sr_request_t *request = sr_request_new(data, message);

	g_object_set_data(G_OBJECT(message), REQUEST_KEY, request);
	sr_request_check(request);
}

/* The whole request was received. */
static void on_request(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer data)
{
	sr_request_run(g_object_get_data(G_OBJECT(message), REQUEST_KEY));
}

static void create_meters(sr_caller_server_t *server)
{
	sr_metrics_t *metrics = server->options.metrics;
	sr_caller_server_meters_t *meters = &server->meters;

	meters->requests = sr_metrics_gauge(metrics, "sassafras_requests",
					    "requests under way", NULL);
	meters->buffered =
		sr_metrics_gauge(metrics, "sassafras_buffered_bytes",
				 "bodies and answers held in memory", NULL);
	meters->tokens = sr_metrics_counter(metrics, "sassafras_tokens_total",
					    "tokens sent to callers", NULL);
	meters->resumed =
		sr_metrics_counter(metrics, "sassafras_resumed_total",
				   "streams resumed at another upstream", NULL);
	meters->broken = sr_metrics_counter(metrics, "sassafras_broken_total",
					    "answers that broke off", NULL);
	meters->gone = sr_metrics_counter(metrics, "sassafras_gone_total",
					  "callers that went away", NULL);
	meters->first_byte = sr_metrics_histogram(
		metrics, "sassafras_first_byte_seconds",
		"from header to first byte of the answer", NULL);
}

sr_caller_server_t *
sr_caller_server_new(const sr_caller_server_options_t *options)
{
	sr_caller_server_t *server = g_new0(sr_caller_server_t, 1);
	const guint32 seed[] = { (guint32)options->seed,
				 (guint32)(options->seed >> 32) };
	sr_listener_options_t listener = {
		.clock = options->clock,
		.max_connections = options->max_connections,
		.header_timeout = options->header_timeout,
	};

	server->options = *options;
	sr_list_init(&server->requests);
	server->rand = g_rand_new_with_seed_array(seed, G_N_ELEMENTS(seed));
	server->soup = soup_server_new("raw-paths", TRUE, NULL);
	soup_server_add_early_handler(server->soup, NULL, on_header, server,
				      NULL);
	soup_server_add_handler(server->soup, NULL, on_request, server, NULL);
	listener.server = server->soup;
	server->listener = sr_listener_new(&listener);
	create_meters(server);
	return server;
}

void sr_caller_server_free(sr_caller_server_t *server)
{
	if (!server)
		return;
	server->idle = NULL;
	sr_list_for_each_safe (link, &server->requests)
		sr_request_free(sr_list_entry(link, sr_request_t, link));
	sr_timer_cancel(server->idle_timer);
	sr_listener_free(server->listener);
	soup_server_disconnect(server->soup);
	g_object_unref(server->soup);
	sr_config_unref(server->config);
	g_rand_free(server->rand);
	g_free(server);
}

sr_err_t sr_caller_server_listen(sr_caller_server_t *server,
				 const char *address, char **detail)
{
	return sr_listener_open(server->listener, address, detail);
}

guint16 sr_caller_server_port(const sr_caller_server_t *server)
{
	return sr_listener_port(server->listener);
}

void sr_caller_server_set_config(sr_caller_server_t *server,
				 sr_config_t *config)
{
	if (config)
		sr_config_ref(config);
	sr_config_unref(server->config);
	server->config = config;
}

void sr_caller_server_set_postings(sr_caller_server_t *server,
				   sr_postings_t *postings)
{
	server->postings = postings;
}

void sr_caller_server_drain(sr_caller_server_t *server)
{
	server->draining = TRUE;
}

void sr_caller_server_stop(sr_caller_server_t *server, sr_timer_fn idle,
			   void *user)
{
	server->draining = TRUE;
	server->stopped = TRUE;
	server->idle = idle;
	server->idle_user = user;
	sr_listener_stop(server->listener);
	sr_caller_server_check_idle(server);
}

unsigned sr_caller_server_n_requests(const sr_caller_server_t *server)
{
	return server->n_requests;
}
