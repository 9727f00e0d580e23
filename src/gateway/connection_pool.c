#include "gateway/internal.h"

/** Maximum idle connections per instance. */
#define MAX_IDLE_CONNECTIONS 16

/** idle_connection_t - a connection that can take a request */
typedef struct {
	sr_list_t link; /* in instance_entry_t.idle */
	sr_connection_pool_t *pool;
	guint32 instance;
	sr_channel_t *channel;
	sr_usec_t idle_since;
	sr_usec_t expires_at;
} idle_connection_t;

typedef struct {
	char *service;
	sr_list_t idle; /* idle_connection_t, most recently used last */
	unsigned n_idle;
} instance_entry_t;

struct sr_connection_pool {
	sr_gateway_t *gateway;
	void (*failed)(sr_gateway_t *gateway, const char *service);
	GHashTable *entries; /* instance id -> instance_entry_t */
};

static instance_entry_t *find_entry(sr_connection_pool_t *pool,
				    guint32 instance)
{
	return g_hash_table_lookup(pool->entries, GUINT_TO_POINTER(instance));
}

static void remove_idle(idle_connection_t *idle)
{
	find_entry(idle->pool, idle->instance)->n_idle--;
	sr_list_remove(&idle->link);
	g_free(idle);
}

/* Data on an idle connection belongs to no request: the connection can't be
 * used any more. */
static void on_received(void *user, const guint8 *data, gsize size)
{
	idle_connection_t *idle = user;

	(void)data;
	(void)size;
	sr_channel_reset(idle->channel);
	remove_idle(idle);
}

static void on_ended(void *user, sr_channel_end_reason_t how)
{
	idle_connection_t *idle = user;
	sr_connection_pool_t *pool = idle->pool;
	char *service = g_strdup(find_entry(pool, idle->instance)->service);

	sr_channel_free(idle->channel);
	remove_idle(idle);
	if (how == SR_CHANNEL_FAILED && pool->failed)
		pool->failed(pool->gateway, service);
	g_free(service);
}

static const sr_channel_events_t idle_events = {
	.received = on_received,
	.ended = on_ended,
};

static void close_idle(idle_connection_t *idle)
{
	sr_channel_free(idle->channel);
	remove_idle(idle);
}

static void free_entry(gpointer data)
{
	instance_entry_t *entry = data;

	sr_list_for_each_safe (link, &entry->idle) {
		idle_connection_t *idle =
			sr_list_entry(link, idle_connection_t, link);

		sr_channel_free(idle->channel);
		sr_list_remove(&idle->link);
		g_free(idle);
	}
	g_free(entry->service);
	g_free(entry);
}

sr_connection_pool_t *sr_connection_pool_new(
	sr_gateway_t *gateway,
	void (*failed)(sr_gateway_t *gateway, const char *service))
{
	sr_connection_pool_t *pool = g_new0(sr_connection_pool_t, 1);

	pool->gateway = gateway;
	pool->failed = failed;
	pool->entries = g_hash_table_new_full(NULL, NULL, NULL, free_entry);
	return pool;
}

void sr_connection_pool_free(sr_connection_pool_t *pool)
{
	if (!pool)
		return;
	g_hash_table_unref(pool->entries);
	g_free(pool);
}

sr_channel_t *sr_connection_pool_take(sr_connection_pool_t *pool,
				      const sr_instance_t *instance,
				      sr_usec_t max_idle)
{
	sr_usec_t now = sr_gateway_now(pool->gateway);
	instance_entry_t *entry = find_entry(pool, instance->id);
	sr_channel_t *channel;
	idle_connection_t *idle;

	if (!entry || entry->n_idle == 0)
		return NULL;
	/* The most recently used connection is the least likely to have been
	 * closed by the instance. */
	idle = sr_list_entry(entry->idle.prev, idle_connection_t, link);
	if (now >= idle->expires_at || now - idle->idle_since > max_idle)
		return NULL;
	channel = idle->channel;
	remove_idle(idle);
	return channel;
}

void sr_connection_pool_put(sr_connection_pool_t *pool,
			    const sr_instance_t *instance,
			    sr_channel_t *channel, sr_usec_t lifetime)
{
	sr_usec_t now = sr_gateway_now(pool->gateway);
	instance_entry_t *entry = find_entry(pool, instance->id);
	idle_connection_t *idle;

	if (instance->is_removed ||
	    (entry && entry->n_idle >= MAX_IDLE_CONNECTIONS) || lifetime <= 0) {
		sr_channel_free(channel);
		return;
	}
	if (!entry) {
		entry = g_new0(instance_entry_t, 1);
		entry->service = g_strdup(instance->service);
		sr_list_init(&entry->idle);
		g_hash_table_insert(pool->entries,
				    GUINT_TO_POINTER(instance->id), entry);
	}
	idle = g_new0(idle_connection_t, 1);
	idle->pool = pool;
	idle->instance = instance->id;
	idle->channel = channel;
	idle->idle_since = now;
	idle->expires_at = now + lifetime;
	sr_list_append(&entry->idle, &idle->link);
	entry->n_idle++;
	sr_channel_set_events(channel, &idle_events, idle);
}

void sr_connection_pool_evict(sr_connection_pool_t *pool, guint32 instance)
{
	g_hash_table_remove(pool->entries, GUINT_TO_POINTER(instance));
}

void sr_connection_pool_sweep(sr_connection_pool_t *pool, sr_usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		instance_entry_t *entry = value;

		sr_list_for_each_safe (link, &entry->idle) {
			idle_connection_t *idle =
				sr_list_entry(link, idle_connection_t, link);

			if (now >= idle->expires_at)
				close_idle(idle);
		}
	}
}
