#include "fleet/fetch_codec.h"
#include "fleet/fleet_internal.h"

/** Tables that are kept as bases: a host that fetches has one of the last few
 * in force. */
#define TABLES_KEPT 4

/** Fetches of this size, or that took this long, are logged. */
#define LOGGED_SIZE (32 * 1024)
#define LOGGED_TIME (200 * SR_MSEC)

/** fetch_t - a value that this host fetches from another. */
typedef struct {
	sr_list_t link;
	sr_fleet_t *fleet;
	char *address;
	char *key;
	GBytes *base; /* table in force at the start; NULL for none */
	sr_usec_t timeout;
	sr_usec_t started_at;
	void (*done)(void *user, GBytes *value);
	void *user;
} fetch_t;

static void free_fetch(fetch_t *fetch)
{
	sr_list_remove(&fetch->link);
	g_free(fetch->address);
	g_free(fetch->key);
	g_clear_pointer(&fetch->base, g_bytes_unref);
	g_free(fetch);
}

static void log_fetch(const fetch_t *fetch, gsize size, gboolean is_found)
{
	sr_usec_t time = sr_fleet_now(fetch->fleet) - fetch->started_at;
	char size_text[24];
	char time_text[24];

	if (is_found && size < LOGGED_SIZE && time < LOGGED_TIME)
		return;
	g_snprintf(size_text, sizeof(size_text), "%" G_GSIZE_FORMAT, size);
	g_snprintf(time_text, sizeof(time_text), "%" G_GINT64_FORMAT,
		   time / SR_MSEC);
	sr_log_event(fetch->fleet->options.log, SR_LOG_INFO, "fetched", "key",
		     fetch->key, "source", fetch->address, "bytes", size_text,
		     "ms", time_text, "outcome",
		     is_found ? "found" : "no value or no answer", NULL);
}

static void on_plain(void *user, GBytes *value)
{
	fetch_t *fetch = user;

	log_fetch(fetch, value ? g_bytes_get_size(value) : 0, value != NULL);
	fetch->done(fetch->user, value);
	free_fetch(fetch);
}

static void on_encoded(void *user, GBytes *encoded)
{
	fetch_t *fetch = user;
	sr_fleet_t *fleet = fetch->fleet;
	GBytes *value = NULL;

	/* a host of a build without this encoding answers that it has no
	 * value */
	if (!encoded &&
	    sr_fleet_now(fleet) - fetch->started_at < fetch->timeout) {
		sr_peer_fetch(fleet->peer, fetch->address, fetch->key,
			      fetch->timeout, on_plain, fetch);
		return;
	}
	if (encoded)
		sr_fetch_codec_decode(encoded, fetch->base, &value);
	log_fetch(fetch, encoded ? g_bytes_get_size(encoded) : 0,
		  value != NULL);
	fetch->done(fetch->user, value);
	g_clear_pointer(&value, g_bytes_unref);
	free_fetch(fetch);
}

void sr_fleet_fetch(sr_fleet_t *fleet, const char *address, const char *key,
		    sr_usec_t timeout, void (*done)(void *user, GBytes *value),
		    void *user)
{
	fetch_t *fetch = g_new0(fetch_t, 1);
	char *encoded_key;

	fetch->fleet = fleet;
	fetch->address = g_strdup(address);
	fetch->key = g_strdup(key);
	if (fleet->table_text)
		fetch->base = g_bytes_ref(fleet->table_text);
	fetch->timeout = timeout;
	fetch->started_at = sr_fleet_now(fleet);
	fetch->done = done;
	fetch->user = user;
	sr_list_append(&fleet->fetches, &fetch->link);
	encoded_key =
		sr_fetch_codec_make_key(key, sr_fetch_codec_id(fetch->base));
	sr_peer_fetch(fleet->peer, address, encoded_key, timeout, on_encoded,
		      fetch);
	g_free(encoded_key);
}

void sr_fleet_cancel_fetches(sr_fleet_t *fleet, void *user)
{
	sr_list_for_each_safe (link, &fleet->fetches) {
		fetch_t *fetch = sr_list_entry(link, fetch_t, link);

		if (fetch->user != user)
			continue;
		sr_peer_cancel_calls(fleet->peer, fetch);
		free_fetch(fetch);
	}
}

void sr_fetches_keep_table(sr_fleet_t *fleet, GBytes *text)
{
	g_queue_push_head(&fleet->kept_tables, g_bytes_ref(text));
	while (g_queue_get_length(&fleet->kept_tables) > TABLES_KEPT)
		g_bytes_unref(g_queue_pop_tail(&fleet->kept_tables));
}

GBytes *sr_fetches_encode(const sr_fleet_t *fleet, GBytes *value,
			  guint64 base_id)
{
	GBytes *base = NULL;

	for (GList *item = fleet->kept_tables.head; item && base_id > 0;
	     item = item->next) {
		if (sr_fetch_codec_id(item->data) == base_id)
			base = item->data;
	}
	return sr_fetch_codec_encode(value, base);
}

void sr_fetches_init(sr_fleet_t *fleet)
{
	g_queue_init(&fleet->kept_tables);
	sr_list_init(&fleet->fetches);
}

void sr_fetches_clear(sr_fleet_t *fleet)
{
	sr_list_for_each_safe (link, &fleet->fetches) {
		fetch_t *fetch = sr_list_entry(link, fetch_t, link);

		sr_peer_cancel_calls(fleet->peer, fetch);
		free_fetch(fetch);
	}
	g_queue_clear_full(&fleet->kept_tables, (GDestroyNotify)g_bytes_unref);
}
