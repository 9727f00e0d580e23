#include "upstream/feed.h"

#include <string.h>

struct sr_feed {
	sr_queries_t *queries;
	sr_clock_t *clock;
	sr_dispatch_t *dispatch;
	char *failure_domain;
	GHashTable *engines; /* name -> engine_t */
	GPtrArray *turns;    /* names of the listed engines */
	guint next_turn;
	sr_timer_t *timer;
};

/* An engine outlives the configuration that names it until its questions
 * have been answered. */
typedef struct {
	sr_feed_t *feed;
	char *name;
	char *address;
	gboolean is_listed;
	unsigned n_open; /* questions under way */
	guint64 last_sequence;
} engine_t;

static void free_engine(gpointer data)
{
	engine_t *engine = data;

	g_free(engine->name);
	g_free(engine->address);
	g_free(engine);
}

static gint64 integer_of(json_object *object, const char *key)
{
	json_object *value = NULL;

	json_object_object_get_ex(object, key, &value);
	return value ? json_object_get_int64(value) : 0;
}

static double number_of(json_object *object, const char *key)
{
	json_object *value = NULL;

	json_object_object_get_ex(object, key, &value);
	return value ? json_object_get_double(value) : 0;
}

/* Drops the engine if it was the last answer of one that is not listed. */
static gboolean end_question(engine_t *engine)
{
	engine->n_open--;
	if (engine->is_listed)
		return TRUE;
	if (engine->n_open == 0)
		g_hash_table_remove(engine->feed->engines, engine->name);
	return FALSE;
}

static void on_load(void *user, unsigned status, json_object *answer)
{
	engine_t *engine = user;
	sr_feed_t *feed = engine->feed;
	sr_load_report_t report;

	if (!end_question(engine) || status != SOUP_STATUS_OK || !answer)
		return;
	report.running =
		(unsigned)CLAMP(integer_of(answer, "running"), 0, G_MAXINT32);
	report.waiting =
		(unsigned)CLAMP(integer_of(answer, "waiting"), 0, G_MAXINT32);
	report.tokens_per_s = MAX(number_of(answer, "tokens_per_s"), 0);
	report.measured_at =
		sr_clock_now(feed->clock) -
		CLAMP(integer_of(answer, "age_ms"), 0, 3600000) * SR_MSEC;
	sr_dispatch_report_load(feed->dispatch, engine->name, &report);
}

static void take_event(engine_t *engine, json_object *event)
{
	json_object *op = NULL;
	json_object *block = NULL;
	gint64 sequence = integer_of(event, "seq");
	guint64 hash;

	json_object_object_get_ex(event, "op", &op);
	json_object_object_get_ex(event, "block", &block);
	if (!op || !block || sequence <= 0 ||
	    !g_ascii_string_to_unsigned(json_object_get_string(block), 16, 0,
					G_MAXUINT64, &hash, NULL))
		return;
	engine->last_sequence = MAX(engine->last_sequence, (guint64)sequence);
	sr_dispatch_cache_event(engine->feed->dispatch, engine->name,
				(guint64)sequence, hash,
				!strcmp(json_object_get_string(op), "add"));
}

static void on_events(void *user, unsigned status, json_object *answer)
{
	engine_t *engine = user;
	json_object *events = NULL;

	if (!end_question(engine) || status != SOUP_STATUS_OK || !answer)
		return;
	/* an engine that was restarted numbers its events anew */
	if ((guint64)MAX(integer_of(answer, "last"), 0) < engine->last_sequence)
		engine->last_sequence = 0;
	json_object_object_get_ex(answer, "events", &events);
	if (!json_object_is_type(events, json_type_array))
		return;
	for (size_t i = 0; i < json_object_array_length(events); i++)
		take_event(engine, json_object_array_get_idx(events, i));
}

static void ask(engine_t *engine, const char *path, sr_query_fn done)
{
	const sr_query_options_t options = {
		.address = engine->address,
		.method = "GET",
		.path = path,
		.done = done,
		.user = engine,
	};

	engine->n_open++;
	sr_query(engine->feed->queries, &options);
}

static void ask_engine(engine_t *engine)
{
	char *path;

	/* a slow engine is not asked again before it has answered */
	if (!engine->is_listed || engine->n_open > 0)
		return;
	path = g_strdup_printf("/cache-events?after=%" G_GUINT64_FORMAT,
			       engine->last_sequence);
	ask(engine, "/load", on_load);
	ask(engine, path, on_events);
	g_free(path);
}

/* Asks one engine; all of them in turn. */
static void on_timer(void *user)
{
	sr_feed_t *feed = user;
	guint n = feed->turns->len;
	sr_usec_t wait = SR_FEED_INTERVAL;

	if (n > 0) {
		const char *name =
			g_ptr_array_index(feed->turns, feed->next_turn % n);

		ask_engine(g_hash_table_lookup(feed->engines, name));
		feed->next_turn = (feed->next_turn + 1) % n;
		wait = MAX(SR_FEED_INTERVAL / n, SR_FEED_SPACING);
	}
	feed->timer = sr_timer_start(feed->clock, wait, on_timer, feed);
}

static gboolean is_wanted(const sr_feed_t *feed, const sr_config_t *config,
			  const sr_upstream_config_t *upstream)
{
	const sr_service_config_t *service =
		sr_config_service(config, upstream->service);

	return service && service->kind == SR_SERVICE_MODEL &&
	       !strcmp(upstream->failure_domain, feed->failure_domain);
}

static void list_engine(sr_feed_t *feed, const sr_upstream_config_t *upstream)
{
	engine_t *engine = g_hash_table_lookup(feed->engines, upstream->name);

	if (!engine) {
		engine = g_new0(engine_t, 1);
		engine->feed = feed;
		engine->name = g_strdup(upstream->name);
		g_hash_table_insert(feed->engines, engine->name, engine);
	}
	engine->is_listed = TRUE;
	g_ptr_array_add(feed->turns, g_strdup(upstream->name));
	if (g_strcmp0(engine->address, upstream->address)) {
		/* another process, whose events are numbered anew */
		engine->last_sequence = 0;
		g_free(engine->address);
		engine->address = g_strdup(upstream->address);
	}
}

static void unlist_all(sr_feed_t *feed)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, feed->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((engine_t *)value)->is_listed = FALSE;
}

static gboolean is_gone(gpointer key, gpointer value, gpointer user)
{
	const engine_t *engine = value;

	return !engine->is_listed && engine->n_open == 0;
}

sr_feed_t *sr_feed_new(const sr_feed_options_t *options)
{
	sr_feed_t *feed = g_new0(sr_feed_t, 1);

	feed->queries = options->queries;
	feed->clock = options->clock;
	feed->dispatch = options->dispatch;
	feed->failure_domain = g_strdup(options->failure_domain);
	feed->engines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      free_engine);
	feed->turns = g_ptr_array_new_with_free_func(g_free);
	feed->timer =
		sr_timer_start(feed->clock, SR_FEED_INTERVAL, on_timer, feed);
	return feed;
}

void sr_feed_free(sr_feed_t *feed)
{
	if (!feed)
		return;
	sr_timer_cancel(feed->timer);
	g_hash_table_destroy(feed->engines);
	g_ptr_array_unref(feed->turns);
	g_free(feed->failure_domain);
	g_free(feed);
}

void sr_feed_set_config(sr_feed_t *feed, sr_config_t *config)
{
	unlist_all(feed);
	g_ptr_array_set_size(feed->turns, 0);
	for (guint i = 0; i < config->upstreams->len; i++) {
		const sr_upstream_config_t *upstream =
			g_ptr_array_index(config->upstreams, i);

		if (is_wanted(feed, config, upstream))
			list_engine(feed, upstream);
	}
	g_hash_table_foreach_remove(feed->engines, is_gone, NULL);
}
