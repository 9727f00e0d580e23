#include "core/orders.h"

#include <string.h>

#include "core/lease.h"

/** Wait after a call to an engine that gave no answer. */
#define RETRY_DELAY SR_SEC

typedef enum {
	ENGINE_UNREAD, /* its state has to be read */
	ENGINE_READING,
	ENGINE_WRONG,	/* an order is due */
	ENGINE_ORDERED, /* an order is on its way */
	ENGINE_RIGHT,
} engine_state_t;

typedef struct {
	const sr_upstream_config_t *upstream; /* of orders->config */
	engine_state_t state;
	sr_usec_t due;	      /* earliest time of the next call */
	sr_usec_t order_ends; /* until then an order may be on its way */
	guint64 fence;	      /* of the last order */
} engine_t;

struct sr_orders {
	sr_lease_t *lease;
	void (*read)(void *user, const sr_upstream_config_t *upstream);
	void (*send)(void *user, const sr_upstream_config_t *upstream,
		     guint64 fence, const char *version);
	void *user;
	sr_config_t *config;
	GHashTable *engines; /* name -> engine_t */
	gboolean just_acquired;
	sr_usec_t acquired_at;
	gboolean writing; /* the generation is being written */
	guint64 numbered_epoch;
	guint64 n_orders; /* in that epoch */
};

/* Orders of one epoch are numbered in the low bits of the fencing number. */
#define FENCE_SERIAL_BITS 20

static guint64 recorded_generation(const sr_orders_t *orders)
{
	GBytes *payload = sr_lease_payload(orders->lease);
	guint64 generation = 0;

	if (payload && g_bytes_get_size(payload) == sizeof(generation))
		memcpy(&generation, g_bytes_get_data(payload, NULL),
		       sizeof(generation));
	return GUINT64_FROM_BE(generation);
}

static void write_generation(sr_orders_t *orders, sr_usec_t now)
{
	guint64 generation = GUINT64_TO_BE(orders->config->generation);
	GBytes *payload = g_bytes_new(&generation, sizeof(generation));

	if (sr_lease_write(orders->lease, now, payload) == SR_OK)
		orders->writing = TRUE;
	g_bytes_unref(payload);
}

static void forget_states(sr_orders_t *orders)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, orders->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		engine_t *engine = value;

		engine->state = ENGINE_UNREAD;
		engine->due = 0;
	}
}

static void on_acquired(void *user, guint64 epoch, GBytes *payload)
{
	sr_orders_t *orders = user;

	orders->just_acquired = TRUE;
	orders->writing = FALSE;
	/* the same epoch can be acquired again; its numbers go on rising */
	if (epoch != orders->numbered_epoch)
		orders->n_orders = 0;
	orders->numbered_epoch = epoch;
	forget_states(orders);
}

static void on_written(void *user, sr_err_t err)
{
	((sr_orders_t *)user)->writing = FALSE;
}

/* An order of an earlier holder may still be on its way to an engine that
 * does not check fencing numbers. */
static gboolean may_send(const sr_orders_t *orders, const engine_t *engine,
			 sr_usec_t now)
{
	if (!sr_lease_is_held(orders->lease, now, SR_ORDERS_FLIGHT))
		return FALSE;
	return engine->upstream->checks_fencing ||
	       (now >= orders->acquired_at + SR_ORDERS_FLIGHT &&
		now >= engine->order_ends);
}

static guint64 next_fence(sr_orders_t *orders)
{
	orders->n_orders++;
	g_assert(orders->n_orders < (guint64)1 << FENCE_SERIAL_BITS);
	return (sr_lease_epoch(orders->lease) << FENCE_SERIAL_BITS) +
	       orders->n_orders;
}

static void send_order(sr_orders_t *orders, engine_t *engine, sr_usec_t now)
{
	engine->state = ENGINE_ORDERED;
	engine->due = now + SR_ORDERS_FLIGHT;
	engine->order_ends = engine->due;
	engine->fence = next_fence(orders);
	orders->send(orders->user, engine->upstream, engine->fence,
		     engine->upstream->version);
}

static void drive_engine(sr_orders_t *orders, engine_t *engine, sr_usec_t now)
{
	if (now < engine->due)
		return;
	switch (engine->state) {
	case ENGINE_UNREAD:
	case ENGINE_RIGHT:
	case ENGINE_READING: /* the answer is overdue */
	case ENGINE_ORDERED:
		engine->state = ENGINE_READING;
		engine->due = now + SR_ORDERS_FLIGHT;
		orders->read(orders->user, engine->upstream);
		break;
	case ENGINE_WRONG:
		if (may_send(orders, engine, now))
			send_order(orders, engine, now);
		break;
	}
}

static void drive_engines(sr_orders_t *orders, sr_usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, orders->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		drive_engine(orders, value, now);
}

/* An engine that both configurations want the same of keeps its state. */
static void carry_over(engine_t *engine, const engine_t *before)
{
	const sr_upstream_config_t *now = engine->upstream;
	const sr_upstream_config_t *old = before->upstream;

	engine->order_ends = before->order_ends;
	engine->fence = before->fence;
	if (strcmp(now->version, old->version) != 0 ||
	    strcmp(now->address, old->address) != 0)
		return;
	engine->state = before->state;
	engine->due = before->due;
}

static gboolean is_model(const sr_config_t *config, const char *name)
{
	const sr_service_config_t *service = sr_config_service(config, name);

	return service && service->kind == SR_SERVICE_MODEL;
}

static engine_t *find_engine(sr_orders_t *orders, const char *upstream)
{
	return g_hash_table_lookup(orders->engines, upstream);
}

sr_orders_t *sr_orders_new(const sr_orders_options_t *options)
{
	sr_orders_t *orders = g_new0(sr_orders_t, 1);
	sr_lease_options_t lease = {
		.store = options->store,
		.class = SR_STORE_LEASE,
		.key = options->key,
		.owner = options->owner,
		.seed = options->seed,
		.duration = options->lease,
		.acquired = on_acquired,
		.written = on_written,
		.user = orders,
	};

	g_assert(options->lease > 2 * SR_ORDERS_FLIGHT);
	orders->read = options->read;
	orders->send = options->send;
	orders->user = options->user;
	orders->engines =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	orders->lease = sr_lease_new(&lease);
	return orders;
}

void sr_orders_free(sr_orders_t *orders)
{
	if (!orders)
		return;
	sr_lease_free(orders->lease);
	g_hash_table_destroy(orders->engines);
	sr_config_unref(orders->config);
	g_free(orders);
}

void sr_orders_set_config(sr_orders_t *orders, sr_config_t *config)
{
	sr_config_t *old = orders->config;
	GHashTable *engines =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);

	g_assert(!old || config->generation >= old->generation);
	orders->config = sr_config_ref(config);
	for (guint i = 0; i < config->upstreams->len; i++) {
		const sr_upstream_config_t *upstream =
			g_ptr_array_index(config->upstreams, i);
		engine_t *engine;
		engine_t *before;

		if (!is_model(config, upstream->service))
			continue;
		engine = g_new0(engine_t, 1);
		engine->upstream = upstream;
		before = find_engine(orders, upstream->name);
		if (before)
			carry_over(engine, before);
		g_hash_table_insert(engines, upstream->name, engine);
	}
	g_hash_table_destroy(orders->engines);
	orders->engines = engines;
	sr_config_unref(old);
}

void sr_orders_want(sr_orders_t *orders, gboolean wanted)
{
	sr_lease_want(orders->lease, wanted);
}

void sr_orders_tick(sr_orders_t *orders, sr_usec_t now)
{
	guint64 recorded;

	sr_lease_tick(orders->lease, now);
	if (!orders->config || !sr_lease_is_held(orders->lease, now, 0))
		return;
	if (orders->just_acquired) {
		orders->just_acquired = FALSE;
		orders->acquired_at = now;
	}
	recorded = recorded_generation(orders);
	if (recorded == orders->config->generation)
		drive_engines(orders, now);
	else if (recorded < orders->config->generation && !orders->writing)
		write_generation(orders, now);
}

void sr_orders_state(sr_orders_t *orders, sr_usec_t now, const char *upstream,
		     const char *version)
{
	engine_t *engine = find_engine(orders, upstream);

	/* an answer that was asked for before an order says nothing */
	if (!engine || engine->state != ENGINE_READING)
		return;
	if (!version) {
		engine->state = ENGINE_UNREAD;
		engine->due = now + RETRY_DELAY;
	} else if (!strcmp(version, engine->upstream->version)) {
		engine->state = ENGINE_RIGHT;
		engine->due = now + SR_ORDERS_REREAD;
	} else {
		engine->state = ENGINE_WRONG;
		engine->due = now;
	}
}

void sr_orders_sent(sr_orders_t *orders, sr_usec_t now, const char *upstream,
		    guint64 fence)
{
	engine_t *engine = find_engine(orders, upstream);

	/* the end of an earlier order says nothing about the last one */
	if (!engine || engine->fence != fence)
		return;
	engine->order_ends = 0;
	if (engine->state != ENGINE_ORDERED)
		return;
	engine->state = ENGINE_UNREAD;
	engine->due = now;
}

gboolean sr_orders_is_holder(const sr_orders_t *orders, sr_usec_t now)
{
	return sr_lease_is_held(orders->lease, now, 0);
}

unsigned sr_orders_n_pending(const sr_orders_t *orders)
{
	unsigned n = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, orders->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((engine_t *)value)->state != ENGINE_RIGHT;
	return n;
}

void sr_orders_release(sr_orders_t *orders, sr_usec_t now)
{
	sr_lease_release(orders->lease, now);
}
