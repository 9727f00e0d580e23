#include "core/orders.h"

#include <string.h>

#include "core/lease.h"

/** Delay after a failed read of an engine before the next read. */
#define RETRY_DELAY SR_SEC

typedef enum {
	ENGINE_UNREAD, /* the state has to be read */
	ENGINE_READING,
	ENGINE_MISMATCH, /* another version is loaded; an order is due */
	ENGINE_ORDERED,	 /* an order is in flight */
	ENGINE_MATCH,
} engine_state_t;

typedef struct {
	const sr_upstream_config_t *upstream; /* of orders->config */
	engine_state_t state;
	sr_usec_t next_call;	   /* earliest time of the next call */
	sr_usec_t in_flight_until; /* latest effect of the last order */
	guint64 fence;		   /* of the last order */
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
	gboolean write_pending; /* of the generation */
	guint64 serial_epoch;
	guint64 last_serial; /* of an order in serial_epoch */
};

/* Low bits of a fencing token, for the serial number; the rest is the epoch. */
#define SERIAL_BITS 20

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
		orders->write_pending = TRUE;
	g_bytes_unref(payload);
}

static void reset_states(sr_orders_t *orders)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, orders->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		engine_t *engine = value;

		engine->state = ENGINE_UNREAD;
		engine->next_call = 0;
	}
}

static void on_acquired(void *user, guint64 epoch, GBytes *payload)
{
	sr_orders_t *orders = user;

	orders->just_acquired = TRUE;
	orders->write_pending = FALSE;
	/* the same epoch can be acquired again; its serials then continue */
	if (epoch != orders->serial_epoch)
		orders->last_serial = 0;
	orders->serial_epoch = epoch;
	reset_states(orders);
}

static void on_generation_written(void *user, sr_err_t err)
{
	((sr_orders_t *)user)->write_pending = FALSE;
}

/* An engine that does not check fencing tokens would execute an order of a
 * former holder that is still in flight. */
static gboolean may_send(const sr_orders_t *orders, const engine_t *engine,
			 sr_usec_t now)
{
	if (!sr_lease_is_held(orders->lease, now, SR_ORDERS_DELAY_MAX))
		return FALSE;
	return engine->upstream->checks_fencing ||
	       (now >= orders->acquired_at + SR_ORDERS_DELAY_MAX &&
		now >= engine->in_flight_until);
}

static guint64 next_fence(sr_orders_t *orders)
{
	orders->last_serial++;
	g_assert(orders->last_serial < (guint64)1 << SERIAL_BITS);
	return (sr_lease_epoch(orders->lease) << SERIAL_BITS) +
	       orders->last_serial;
}

static void send_order(sr_orders_t *orders, engine_t *engine, sr_usec_t now)
{
	engine->state = ENGINE_ORDERED;
	engine->next_call = now + SR_ORDERS_DELAY_MAX;
	engine->in_flight_until = engine->next_call;
	engine->fence = next_fence(orders);
	orders->send(orders->user, engine->upstream, engine->fence,
		     engine->upstream->version);
}

static void update_engine(sr_orders_t *orders, engine_t *engine, sr_usec_t now)
{
	if (now < engine->next_call)
		return;
	switch (engine->state) {
	case ENGINE_UNREAD:
	case ENGINE_MATCH:
	case ENGINE_READING: /* the reply is overdue */
	case ENGINE_ORDERED:
		engine->state = ENGINE_READING;
		engine->next_call = now + SR_ORDERS_DELAY_MAX;
		orders->read(orders->user, engine->upstream);
		break;
	case ENGINE_MISMATCH:
		if (may_send(orders, engine, now))
			send_order(orders, engine, now);
		break;
	}
}

static void update_engines(sr_orders_t *orders, sr_usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, orders->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		update_engine(orders, value, now);
}

/* Keeps the state of an engine whose version and address are unchanged. */
static void copy_state(engine_t *engine, const engine_t *previous)
{
	const sr_upstream_config_t *new_config = engine->upstream;
	const sr_upstream_config_t *old_config = previous->upstream;

	engine->in_flight_until = previous->in_flight_until;
	engine->fence = previous->fence;
	if (strcmp(new_config->version, old_config->version) != 0 ||
	    strcmp(new_config->address, old_config->address) != 0)
		return;
	engine->state = previous->state;
	engine->next_call = previous->next_call;
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
		.written = on_generation_written,
		.user = orders,
	};

	g_assert(options->lease > 2 * SR_ORDERS_DELAY_MAX);
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
		engine_t *previous;

		if (!is_model(config, upstream->service))
			continue;
		engine = g_new0(engine_t, 1);
		engine->upstream = upstream;
		previous = find_engine(orders, upstream->name);
		if (previous)
			copy_state(engine, previous);
		g_hash_table_insert(engines, upstream->name, engine);
	}
	g_hash_table_destroy(orders->engines);
	orders->engines = engines;
	sr_config_unref(old);
}

void sr_orders_set_wanted(sr_orders_t *orders, gboolean wanted)
{
	sr_lease_set_wanted(orders->lease, wanted);
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
		update_engines(orders, now);
	else if (recorded < orders->config->generation &&
		 !orders->write_pending)
		write_generation(orders, now);
}

void sr_orders_report_state(sr_orders_t *orders, sr_usec_t now,
			    const char *upstream, const char *version)
{
	engine_t *engine = find_engine(orders, upstream);

	/* a read that was sent before the last order is out of date */
	if (!engine || engine->state != ENGINE_READING)
		return;
	if (!version) {
		engine->state = ENGINE_UNREAD;
		engine->next_call = now + RETRY_DELAY;
	} else if (!strcmp(version, engine->upstream->version)) {
		engine->state = ENGINE_MATCH;
		engine->next_call = now + SR_ORDERS_REREAD_INTERVAL;
	} else {
		engine->state = ENGINE_MISMATCH;
		engine->next_call = now;
	}
}

void sr_orders_report_done(sr_orders_t *orders, sr_usec_t now,
			   const char *upstream, guint64 fence)
{
	engine_t *engine = find_engine(orders, upstream);

	/* with another fence an earlier order has completed, while the last one
	 * may still be in flight */
	if (!engine || engine->fence != fence)
		return;
	engine->in_flight_until = 0;
	if (engine->state != ENGINE_ORDERED)
		return;
	engine->state = ENGINE_UNREAD;
	engine->next_call = now;
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
		n += ((engine_t *)value)->state != ENGINE_MATCH;
	return n;
}

void sr_orders_release(sr_orders_t *orders, sr_usec_t now)
{
	sr_lease_release(orders->lease, now);
}
