#include "caller/server.h"

#include "caller/request.h"

#define REQUEST_KEY "sassafras-request"

static void on_idle(void *user)
{
	sr_caller_t *caller = user;

	caller->idle_timer = NULL;
	caller->idle(caller->idle_user);
}

void sr_caller_add_buffered(sr_caller_t *caller, gssize size)
{
	g_assert(size >= 0 || (gsize)-size <= caller->buffered);
	caller->buffered += (gsize)size;
	sr_gauge_set(caller->meters.buffered, (double)caller->buffered);
}

void sr_caller_check_idle(sr_caller_t *caller)
{
	if (!caller->idle || caller->n_requests || caller->idle_timer)
		return;
	caller->idle_timer =
		sr_timer_start(caller->options.clock, 0, on_idle, caller);
}

/* The request header is there. */
static void on_header(SoupServer *server, SoupServerMessage *message,
		      const char *path, GHashTable *query, gpointer data)
{
	sr_request_t *request = sr_request_new(data, message);

	g_object_set_data(G_OBJECT(message), REQUEST_KEY, request);
	sr_request_check(request);
}

/* The request body is there too. */
static void on_request(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer data)
{
	sr_request_run(g_object_get_data(G_OBJECT(message), REQUEST_KEY));
}

static void create_meters(sr_caller_t *caller)
{
	sr_metrics_t *metrics = caller->options.metrics;
	sr_caller_meters_t *meters = &caller->meters;

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

sr_caller_t *sr_caller_new(const sr_caller_options_t *options)
{
	sr_caller_t *caller = g_new0(sr_caller_t, 1);
	const guint32 seed[] = { (guint32)options->seed,
				 (guint32)(options->seed >> 32) };
	sr_listener_options_t listener = {
		.clock = options->clock,
		.max_connections = options->max_connections,
		.header_timeout = options->header_timeout,
	};

	caller->options = *options;
	sr_list_init(&caller->requests);
	caller->rand = g_rand_new_with_seed_array(seed, G_N_ELEMENTS(seed));
	caller->server = soup_server_new("raw-paths", TRUE, NULL);
	soup_server_add_early_handler(caller->server, NULL, on_header, caller,
				      NULL);
	soup_server_add_handler(caller->server, NULL, on_request, caller, NULL);
	listener.server = caller->server;
	caller->listener = sr_listener_new(&listener);
	create_meters(caller);
	return caller;
}

void sr_caller_free(sr_caller_t *caller)
{
	if (!caller)
		return;
	caller->idle = NULL;
	sr_list_for_each_safe (link, &caller->requests)
		sr_request_free(sr_list_entry(link, sr_request_t, link));
	sr_timer_cancel(caller->idle_timer);
	sr_listener_free(caller->listener);
	soup_server_disconnect(caller->server);
	g_object_unref(caller->server);
	sr_config_unref(caller->config);
	g_rand_free(caller->rand);
	g_free(caller);
}

sr_err_t sr_caller_listen(sr_caller_t *caller, const char *address,
			  char **detail)
{
	return sr_listener_open(caller->listener, address, detail);
}

guint16 sr_caller_port(const sr_caller_t *caller)
{
	return sr_listener_port(caller->listener);
}

void sr_caller_set_config(sr_caller_t *caller, sr_config_t *config)
{
	if (config)
		sr_config_ref(config);
	sr_config_unref(caller->config);
	caller->config = config;
}

void sr_caller_set_postings(sr_caller_t *caller, sr_postings_t *postings)
{
	caller->postings = postings;
}

void sr_caller_drain(sr_caller_t *caller)
{
	caller->draining = TRUE;
}

void sr_caller_stop(sr_caller_t *caller, sr_timer_fn idle, void *user)
{
	caller->draining = TRUE;
	caller->stopped = TRUE;
	caller->idle = idle;
	caller->idle_user = user;
	sr_listener_stop(caller->listener);
	sr_caller_check_idle(caller);
}

unsigned sr_caller_n_requests(const sr_caller_t *caller)
{
	return caller->n_requests;
}
