#include "upstream/engine_orders.h"

#include <string.h>

struct sr_engine_orders {
	sr_queries_t *queries;
	sr_clock_t *clock;
	sr_orders_t *core;
};

/* One question or order under way. */
typedef struct {
	sr_engine_orders_t *orders;
	char *upstream;
	char *version; /* that it should have */
	guint64 fence;
} errand_t;

static errand_t *new_errand(sr_engine_orders_t *orders,
			    const sr_upstream_config_t *upstream, guint64 fence)
{
	errand_t *errand = g_new0(errand_t, 1);

	errand->orders = orders;
	errand->upstream = g_strdup(upstream->name);
	errand->version = g_strdup(upstream->version);
	errand->fence = fence;
	return errand;
}

static void free_errand(errand_t *errand)
{
	g_free(errand->upstream);
	g_free(errand->version);
	g_free(errand);
}

/* The wanted version if it is loaded, else another loaded one or "". */
static const char *loaded_version(json_object *answer, const char *wanted)
{
	json_object *versions = NULL;
	const char *other = "";

	json_object_object_get_ex(answer, "versions", &versions);
	if (!json_object_is_type(versions, json_type_array))
		return NULL;
	for (size_t i = 0; i < json_object_array_length(versions); i++) {
		json_object *row = json_object_array_get_idx(versions, i);

		other = json_object_get_string(row);
		if (other && !strcmp(other, wanted))
			return other;
	}
	return other ? other : "";
}

static void on_state(void *user, unsigned status, json_object *answer)
{
	errand_t *errand = user;
	sr_engine_orders_t *orders = errand->orders;
	const char *version = NULL;

	if (status == SOUP_STATUS_OK && answer)
		version = loaded_version(answer, errand->version);
	sr_orders_report_state(orders->core, sr_clock_now(orders->clock),
			       errand->upstream, version);
	free_errand(errand);
}

static void on_sent(void *user, unsigned status, json_object *answer)
{
	errand_t *errand = user;
	sr_engine_orders_t *orders = errand->orders;

	/* after a lost answer the order may still be on its way */
	if (status != 0)
		sr_orders_report_done(orders->core, sr_clock_now(orders->clock),
				      errand->upstream, errand->fence);
	free_errand(errand);
}

static void read_state(void *user, const sr_upstream_config_t *upstream)
{
	sr_engine_orders_t *orders = user;
	const sr_query_options_t query = {
		.address = upstream->address,
		.method = "GET",
		.path = "/orders",
		.done = on_state,
		.user = new_errand(orders, upstream, 0),
	};

	sr_query(orders->queries, &query);
}

static void send_order(void *user, const sr_upstream_config_t *upstream,
		       guint64 fence, const char *version)
{
	sr_engine_orders_t *orders = user;
	json_object *body = json_object_new_object();
	const sr_query_options_t query = {
		.address = upstream->address,
		.method = "POST",
		.path = "/orders",
		.body = body,
		.done = on_sent,
		.user = new_errand(orders, upstream, fence),
	};

	json_object_object_add(body, "fence", json_object_new_uint64(fence));
	json_object_object_add(body, "op", json_object_new_string("load"));
	json_object_object_add(body, "version",
			       json_object_new_string(version));
	sr_query(orders->queries, &query);
	json_object_put(body);
}

sr_engine_orders_t *
sr_engine_orders_new(const sr_engine_orders_options_t *options)
{
	sr_engine_orders_t *orders = g_new0(sr_engine_orders_t, 1);
	const sr_orders_options_t core = {
		.store = options->store,
		.key = options->key,
		.owner = options->owner,
		.seed = options->seed,
		.lease = options->lease,
		.read = read_state,
		.send = send_order,
		.user = orders,
	};

	orders->queries = options->queries;
	orders->clock = options->clock;
	orders->core = sr_orders_new(&core);
	return orders;
}

void sr_engine_orders_free(sr_engine_orders_t *orders)
{
	if (!orders)
		return;
	sr_orders_free(orders->core);
	g_free(orders);
}

sr_orders_t *sr_engine_orders_core(sr_engine_orders_t *orders)
{
	return orders->core;
}
