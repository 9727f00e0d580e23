#include "upstream/engine_poller.h"

#include <string.h>

/** Upper limit for the age of a load report, in milliseconds. */
#define MAX_LOAD_AGE_MS 3600000

struct sr_engine_poller {
	sr_queries_t *queries;
	sr_clock_t *clock;
	sr_dispatch_t *dispatch;
	char *failure_domain;
	GHashTable *engines;   /* name -> engine_t */
	GPtrArray *poll_order; /* names of the configured engines */
	guint next_poll;       /* index in poll_order */
	sr_timer_t *timer;
};

/* An engine that was removed from the configuration is kept until its pending
 * queries have ended, because these refer to it. */
typedef struct {
	sr_engine_poller_t *poller;
	char *name;
	char *address;
	gboolean is_configured;
	unsigned n_pending;    /* queries without a result yet */
	guint64 last_sequence; /* of its cache events; 0 for none */
} engine_t;

static void free_engine(gpointer data)
{
	engine_t *engine = data;

	g_free(engine->name);
	g_free(engine->address);
	g_free(engine);
}

static gint64 get_integer(json_object *object, const char *key)
{
	json_object *value = NULL;

	json_object_object_get_ex(object, key, &value);
	return value ? json_object_get_int64(value) : 0;
}

static double get_number(json_object *object, const char *key)
{
	json_object *value = NULL;

	json_object_object_get_ex(object, key, &value);
	return value ? json_object_get_double(value) : 0;
}

/*
 * Returns FALSE if the engine was removed from the configuration, and frees it
 * if no other query refers to it.
 */
static gboolean end_query(engine_t *engine)
{
	engine->n_pending--;
	if (engine->is_configured)
		return TRUE;
	if (engine->n_pending == 0)
		g_hash_table_remove(engine->poller->engines, engine->name);
	return FALSE;
}

static void on_load(void *user, unsigned status, json_object *response)
{
	engine_t *engine = user;
	sr_engine_poller_t *poller = engine->poller;
	sr_load_report_t report;

	if (!end_query(engine) || status != 200 || !response)
		return;
	report.running = (unsigned)CLAMP(get_integer(response, "running"), 0,
					 G_MAXINT32);
	report.waiting = (unsigned)CLAMP(get_integer(response, "waiting"), 0,
					 G_MAXINT32);
	report.tokens_per_s = MAX(get_number(response, "tokens_per_s"), 0);
	report.measured_at =
		sr_clock_now(poller->clock) -
		CLAMP(get_integer(response, "age_ms"), 0, MAX_LOAD_AGE_MS) *
			SR_MSEC;
	sr_dispatch_report_load(poller->dispatch, engine->name, &report);
}

static void apply_event(engine_t *engine, json_object *event)
{
	json_object *op = NULL;
	json_object *block = NULL;
	gint64 sequence = get_integer(event, "seq");
	guint64 hash;

	json_object_object_get_ex(event, "op", &op);
	json_object_object_get_ex(event, "block", &block);
	if (!op || !block || sequence <= 0 ||
	    !g_ascii_string_to_unsigned(json_object_get_string(block), 16, 0,
					G_MAXUINT64, &hash, NULL))
		return;
	engine->last_sequence = MAX(engine->last_sequence, (guint64)sequence);
	sr_dispatch_cache_event(engine->poller->dispatch, engine->name,
				(guint64)sequence, hash,
				!strcmp(json_object_get_string(op), "add"));
}

static void on_events(void *user, unsigned status, json_object *response)
{
	engine_t *engine = user;
	json_object *events = NULL;

	if (!end_query(engine) || status != 200 || !response)
		return;
	/* sequence numbers start again when an engine is restarted */
	if ((guint64)MAX(get_integer(response, "last"), 0) <
	    engine->last_sequence)
		engine->last_sequence = 0;
	json_object_object_get_ex(response, "events", &events);
	if (!json_object_is_type(events, json_type_array))
		return;
	for (size_t i = 0; i < json_object_array_length(events); i++)
		apply_event(engine, json_object_array_get_idx(events, i));
}

static void send_query(engine_t *engine, const char *path, sr_query_fn done)
{
	const sr_query_options_t options = {
		.address = engine->address,
		.method = "GET",
		.path = path,
		.done = done,
		.user = engine,
	};

	engine->n_pending++;
	sr_query(engine->poller->queries, &options);
}

static void poll_engine(engine_t *engine)
{
	char *path;

	/* don't poll a slow engine again before its queries have ended */
	if (!engine->is_configured || engine->n_pending > 0)
		return;
	path = g_strdup_printf("/cache-events?after=%" G_GUINT64_FORMAT,
			       engine->last_sequence);
	send_query(engine, "/load", on_load);
	send_query(engine, path, on_events);
	g_free(path);
}

/* Polls the next engine. */
static void on_poll_timer(void *user)
{
	sr_engine_poller_t *poller = user;
	guint n = poller->poll_order->len;
	sr_usec_t delay = SR_ENGINE_POLL_INTERVAL;

	if (n > 0) {
		const char *name = g_ptr_array_index(poller->poll_order,
						     poller->next_poll % n);

		poll_engine(g_hash_table_lookup(poller->engines, name));
		poller->next_poll = (poller->next_poll + 1) % n;
		delay = MAX(SR_ENGINE_POLL_INTERVAL / n,
			    SR_ENGINE_POLL_SPACING);
	}
	poller->timer =
		sr_timer_start(poller->clock, delay, on_poll_timer, poller);
}

static gboolean is_polled(const sr_engine_poller_t *poller,
			  const sr_config_t *config,
			  const sr_upstream_config_t *upstream)
{
	const sr_service_config_t *service =
		sr_config_service(config, upstream->service);

	return service && service->kind == SR_SERVICE_MODEL &&
	       !strcmp(upstream->failure_domain, poller->failure_domain);
}

static void add_engine(sr_engine_poller_t *poller,
		       const sr_upstream_config_t *upstream)
{
	engine_t *engine = g_hash_table_lookup(poller->engines, upstream->name);

	if (!engine) {
		engine = g_new0(engine_t, 1);
		engine->poller = poller;
		engine->name = g_strdup(upstream->name);
		g_hash_table_insert(poller->engines, engine->name, engine);
	}
	engine->is_configured = TRUE;
	g_ptr_array_add(poller->poll_order, g_strdup(upstream->name));
	if (g_strcmp0(engine->address, upstream->address)) {
		/* a different process, with its own sequence numbers */
		engine->last_sequence = 0;
		g_free(engine->address);
		engine->address = g_strdup(upstream->address);
	}
}

static void mark_all_removed(sr_engine_poller_t *poller)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, poller->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((engine_t *)value)->is_configured = FALSE;
}

static gboolean is_unused(gpointer key, gpointer value, gpointer user)
{
	const engine_t *engine = value;

	return !engine->is_configured && engine->n_pending == 0;
}

sr_engine_poller_t *
sr_engine_poller_new(const sr_engine_poller_options_t *options)
{
	sr_engine_poller_t *poller = g_new0(sr_engine_poller_t, 1);

	poller->queries = options->queries;
	poller->clock = options->clock;
	poller->dispatch = options->dispatch;
	poller->failure_domain = g_strdup(options->failure_domain);
	poller->engines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						free_engine);
	poller->poll_order = g_ptr_array_new_with_free_func(g_free);
	poller->timer = sr_timer_start(poller->clock, SR_ENGINE_POLL_INTERVAL,
				       on_poll_timer, poller);
	return poller;
}

void sr_engine_poller_free(sr_engine_poller_t *poller)
{
	if (!poller)
		return;
	sr_timer_cancel(poller->timer);
	g_hash_table_destroy(poller->engines);
	g_ptr_array_unref(poller->poll_order);
	g_free(poller->failure_domain);
	g_free(poller);
}

void sr_engine_poller_set_config(sr_engine_poller_t *poller,
				 sr_config_t *config)
{
	mark_all_removed(poller);
	g_ptr_array_set_size(poller->poll_order, 0);
	for (guint i = 0; i < config->upstreams->len; i++) {
		const sr_upstream_config_t *upstream =
			g_ptr_array_index(config->upstreams, i);

		if (is_polled(poller, config, upstream))
			add_engine(poller, upstream);
	}
	g_hash_table_foreach_remove(poller->engines, is_unused, NULL);
}
