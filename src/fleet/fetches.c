#include "fleet/fleet_internal.h"

/** Fetches of this size, or that took this long, are logged. */
#define LOGGED_SIZE (32 * 1024)
#define LOGGED_TIME (200 * SR_MSEC)

/** fetch_t - a value that this host fetches from another. */
typedef struct {
	sr_list_t link;
	sr_fleet_t *fleet;
	char *address;
	char *key;
	sr_usec_t started_at;
	void (*done)(void *user, GBytes *value);
	void *user;
} fetch_t;

static void free_fetch(fetch_t *fetch)
{
	sr_list_remove(&fetch->link);
	g_free(fetch->address);
	g_free(fetch->key);
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

static void on_fetched(void *user, GBytes *value)
{
	fetch_t *fetch = user;

	log_fetch(fetch, value ? g_bytes_get_size(value) : 0, value != NULL);
	fetch->done(fetch->user, value);
	free_fetch(fetch);
}

void sr_fleet_fetch(sr_fleet_t *fleet, const char *address, const char *key,
		    sr_usec_t timeout, void (*done)(void *user, GBytes *value),
		    void *user)
{
	fetch_t *fetch = g_new0(fetch_t, 1);

	fetch->fleet = fleet;
	fetch->address = g_strdup(address);
	fetch->key = g_strdup(key);
	fetch->started_at = sr_fleet_now(fleet);
	fetch->done = done;
	fetch->user = user;
	sr_list_append(&fleet->fetches, &fetch->link);
	sr_peer_fetch(fleet->peer, address, key, timeout, on_fetched, fetch);
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

void sr_fetches_init(sr_fleet_t *fleet)
{
	sr_list_init(&fleet->fetches);
}

void sr_fetches_clear(sr_fleet_t *fleet)
{
	sr_list_for_each_safe (link, &fleet->fetches) {
		fetch_t *fetch = sr_list_entry(link, fetch_t, link);

		sr_peer_cancel_calls(fleet->peer, fetch);
		free_fetch(fetch);
	}
}
