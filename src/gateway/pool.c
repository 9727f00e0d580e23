#include "gateway/internal.h"

/** Idle connections that are kept to one instance. */
#define IDLE_MAX 16

/** idle_t - a connection that waits for its next request. */
typedef struct {
	sr_list_t link; /* of the instance, the most recently used last */
	sr_pool_t *pool;
	guint32 instance;
	sr_channel_t *channel;
	sr_usec_t since;
	sr_usec_t until;
} idle_t;

typedef struct {
	sr_list_t idle;
	unsigned n;
} shelf_t;

struct sr_pool {
	sr_gateway_t *gateway;
	GHashTable *shelves; /* instance id -> shelf_t */
};

static shelf_t *shelf_of(sr_pool_t *pool, guint32 instance)
{
	return g_hash_table_lookup(pool->shelves, GUINT_TO_POINTER(instance));
}

static void forget(idle_t *idle)
{
	shelf_of(idle->pool, idle->instance)->n--;
	sr_list_remove(&idle->link);
	g_free(idle);
}

/* Whatever an idle connection says belongs to no request. */
static void on_received(void *user, const guint8 *data, gsize size)
{
	idle_t *idle = user;

	(void)data;
	(void)size;
	sr_channel_reset(idle->channel);
	forget(idle);
}

static void on_ended(void *user, sr_channel_end_t how)
{
	idle_t *idle = user;

	(void)how;
	sr_channel_free(idle->channel);
	forget(idle);
}

static const sr_channel_events_t idle_events = {
	.received = on_received,
	.ended = on_ended,
};

static void close_idle(idle_t *idle)
{
	sr_channel_free(idle->channel);
	forget(idle);
}

static void free_shelf(gpointer data)
{
	shelf_t *shelf = data;

	sr_list_for_each_safe (link, &shelf->idle) {
		idle_t *idle = sr_list_entry(link, idle_t, link);

		sr_channel_free(idle->channel);
		sr_list_remove(&idle->link);
		g_free(idle);
	}
	g_free(shelf);
}

sr_pool_t *sr_pool_new(sr_gateway_t *gateway)
{
	sr_pool_t *pool = g_new0(sr_pool_t, 1);

	pool->gateway = gateway;
	pool->shelves = g_hash_table_new_full(NULL, NULL, NULL, free_shelf);
	return pool;
}

void sr_pool_free(sr_pool_t *pool)
{
	if (!pool)
		return;
	g_hash_table_unref(pool->shelves);
	g_free(pool);
}

sr_channel_t *sr_pool_take(sr_pool_t *pool, const sr_instance_t *instance,
			   sr_usec_t max_idle)
{
	sr_usec_t now = sr_gateway_now(pool->gateway);
	shelf_t *shelf = shelf_of(pool, instance->id);
	sr_channel_t *channel;
	idle_t *idle;

	if (!shelf || shelf->n == 0)
		return NULL;
	/* The last one used is the least likely to be closed meanwhile. */
	idle = sr_list_entry(shelf->idle.prev, idle_t, link);
	if (now >= idle->until || now - idle->since > max_idle)
		return NULL;
	channel = idle->channel;
	forget(idle);
	return channel;
}

void sr_pool_put(sr_pool_t *pool, const sr_instance_t *instance,
		 sr_channel_t *channel, sr_usec_t keep)
{
	sr_usec_t now = sr_gateway_now(pool->gateway);
	shelf_t *shelf = shelf_of(pool, instance->id);
	idle_t *idle;

	if (instance->is_removed || (shelf && shelf->n >= IDLE_MAX) ||
	    keep <= 0) {
		sr_channel_free(channel);
		return;
	}
	if (!shelf) {
		shelf = g_new0(shelf_t, 1);
		sr_list_init(&shelf->idle);
		g_hash_table_insert(pool->shelves,
				    GUINT_TO_POINTER(instance->id), shelf);
	}
	idle = g_new0(idle_t, 1);
	idle->pool = pool;
	idle->instance = instance->id;
	idle->channel = channel;
	idle->since = now;
	idle->until = now + keep;
	sr_list_append(&shelf->idle, &idle->link);
	shelf->n++;
	sr_channel_set_events(channel, &idle_events, idle);
}

void sr_pool_drop(sr_pool_t *pool, guint32 instance)
{
	g_hash_table_remove(pool->shelves, GUINT_TO_POINTER(instance));
}

void sr_pool_sweep(sr_pool_t *pool, sr_usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->shelves);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		shelf_t *shelf = value;

		sr_list_for_each_safe (link, &shelf->idle) {
			idle_t *idle = sr_list_entry(link, idle_t, link);

			if (now >= idle->until)
				close_idle(idle);
		}
	}
}
