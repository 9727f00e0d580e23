#include "upstream/engine_orders.h"

#include <string.h>

struct sr_engine_orders {
	sr_queries_t *queries;
	sr_clock_t *clock;
	sr_orders_t *core;
};

/* A pending read or order. */
typedef struct {
	sr_engine_orders_t *orders;
	char *upstream;
	char *version; /* configured for the upstream */
	guint64 fence; /* fencing token of the order; 0 for a read */
} engine_call_t;

static engine_call_t *new_call(sr_engine_orders_t *orders,
			       const sr_upstream_config_t *upstream,
			       guint64 fence)
{
	engine_call_t *call = g_new0(engine_call_t, 1);

	call->orders = orders;
	call->upstream = g_strdup(upstream->name);
	call->version = g_strdup(upstream->version);
	call->fence = fence;
	return call;
}

static void free_call(engine_call_t *call)
{
	g_free(call->upstream);
	g_free(call->version);
	g_free(call);
}

/*
 * Returns wanted if it is among the loaded versions, else the last of them, or
 * "" if there are none. Returns NULL if the response has no list of versions.
 */
static const char *loaded_version(json_object *response, const char *wanted)
{
	json_object *versions = NULL;
	const char *last = "";

	json_object_object_get_ex(response, "versions", &versions);
	if (!json_object_is_type(versions, json_type_array))
		return NULL;
	for (size_t i = 0; i < json_object_array_length(versions); i++) {
		json_object *element = json_object_array_get_idx(versions, i);

		last = json_object_get_string(element);
		if (last && !strcmp(last, wanted))
			return last;
	}
	return last ? last : "";
}

static void on_state_response(void *user, unsigned status,
			      json_object *response)
{
	engine_call_t *call = user;
	sr_engine_orders_t *orders = call->orders;
	const char *version = NULL;

	if (status == 200 && response)
		version = loaded_version(response, call->version);
	sr_orders_report_state(orders->core, sr_clock_now(orders->clock),
			       call->upstream, version);
	free_call(call);
}

static void on_order_response(void *user, unsigned status,
			      json_object *response)
{
	engine_call_t *call = user;
	sr_engine_orders_t *orders = call->orders;

	/* without a response, the order may still take effect later */
	if (status != 0)
		sr_orders_report_done(orders->core, sr_clock_now(orders->clock),
				      call->upstream, call->fence);
	free_call(call);
}

static void read_state(void *user, const sr_upstream_config_t *upstream)
{
	sr_engine_orders_t *orders = user;
	const sr_query_options_t query = {
		.address = upstream->address,
		.method = "GET",
		.path = "/orders",
		.done = on_state_response,
		.user = new_call(orders, upstream, 0),
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
		.done = on_order_response,
		.user = new_call(orders, upstream, fence),
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
