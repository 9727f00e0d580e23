#ifndef SR_CORE_CONFIG_SYNC_H
#define SR_CORE_CONFIG_SYNC_H

#include <glib.h>

#include "base/error.h"
#include "core/store.h"

/**
 * sr_config_sync_t - accepts configurations and brings the accepted one into
 * force at every node
 *
 * The accepted configuration is one object of the platform, replaced whole by
 * a conditional update; its generation is one higher than that of the one it
 * replaces. One or two nodes of each failure domain watch it. The others
 * learn of a new generation by a rumour and fetch what they lack from their
 * peers, split into parts that are named by their hash. Everyone polls the
 * object's version now and then, in case watches or rumours fail.
 *
 * A node's generation never falls; that is asserted. The module does no I/O:
 * time comes in with sr_config_sync_tick(), calls go to the store and to the
 * functions of the options.
 */
typedef struct sr_config_sync sr_config_sync_t;

/** Key of the accepted configuration in the platform. */
#define SR_CONFIG_KEY "config/current"

/** Largest configuration that fits into its object, in bytes. */
#define SR_CONFIG_TEXT_MAX (SR_STORE_VALUE_MAX - 4096)

/** Size of the digest that a rumour carries, in bytes. */
#define SR_CONFIG_DIGEST_SIZE 16

/** Watching nodes of a failure domain. */
#define SR_CONFIG_WATCHERS 2

/** value is NULL if the peer did not have it; borrowed otherwise. */
typedef void (*sr_config_fetch_fn)(void *user, GBytes *value);

typedef struct {
	sr_store_t *store;
	const char *node;
	guint64 seed; /* of the jitter and of write ids */
	/*
	 * Asks a peer for a value; each call should pick another one at
	 * random. done is called once, never from inside this call.
	 */
	void (*fetch)(void *user, const char *key, sr_config_fetch_fn done,
		      void *done_user);
	/* drops the fetches of a done_user */
	void (*cancel_fetches)(void *user, void *done_user);
	/* the text is in force from now on */
	void (*in_force)(void *user, const char *text, gsize size,
			 guint64 generation);
	/* to be spread as SR_RUMOUR_CONFIG */
	void (*announce)(void *user, guint64 generation, const guint8 *digest,
			 gsize size);
	void *user;
} sr_config_sync_options_t;

typedef struct {
	guint64 from_platform; /* generations that came from the platform */
	guint64 from_peers;
	guint64 bytes_from_platform;
	guint64 bytes_from_peers;
	guint64 bad_parts; /* fetched values with a wrong hash */
	guint64 failed_fetches;
	guint64 polls;
} sr_config_sync_stats_t;

sr_config_sync_t *sr_config_sync_new(const sr_config_sync_options_t *options,
				     sr_usec_t now);

/** sr_config_sync_free - pending publications get no result. */
void sr_config_sync_free(sr_config_sync_t *sync);

/** sr_config_sync_tick - run what is due; call at least every 100 ms. */
void sr_config_sync_tick(sr_config_sync_t *sync, sr_usec_t now);

/**
 * sr_config_sync_set_members - the live nodes of the own failure domain
 *
 * The first SR_CONFIG_WATCHERS in an order by hash watch the platform; every
 * node computes it alike. This node itself may be missing.
 */
void sr_config_sync_set_members(sr_config_sync_t *sync,
				const char *const *names, gsize n);

/** sr_config_sync_heard - a rumour of a generation came in. */
void sr_config_sync_heard(sr_config_sync_t *sync, guint64 generation,
			  const guint8 *digest, gsize size);

/** sr_config_sync_serve - a new reference for a peer's fetch, or NULL. */
GBytes *sr_config_sync_serve(sr_config_sync_t *sync, const char *key);

/**
 * sr_publish_result_t - how a publication ended
 *
 * SR_OK: accepted as generation. SR_ERR_CONFLICT: not accepted; generation is
 * the newer one that is. SR_ERR_PLATFORM, SR_ERR_TOO_LARGE: not accepted.
 * SR_ERR_OUTCOME_UNKNOWN: it may be accepted, now or soon.
 */
typedef struct {
	sr_err_t err;
	guint64 generation;
} sr_publish_result_t;

typedef void (*sr_publish_fn)(void *user, const sr_publish_result_t *result);

/** How long a publication tries. */
#define SR_PUBLISH_LIMIT (15 * SR_SEC)

/**
 * sr_config_sync_publish - replace the configuration with this base
 *
 * The text must have been validated. done is called once, never from inside
 * this call.
 */
void sr_config_sync_publish(sr_config_sync_t *sync, guint64 base,
			    const char *text, gsize size, sr_publish_fn done,
			    void *user);

/** sr_config_sync_generation - in force here; 0 for none. */
guint64 sr_config_sync_generation(const sr_config_sync_t *sync);

/** sr_config_sync_text - in force here; borrowed, NULL for none. */
GBytes *sr_config_sync_text(const sr_config_sync_t *sync);

gboolean sr_config_sync_is_watcher(const sr_config_sync_t *sync);

const sr_config_sync_stats_t *
sr_config_sync_stats(const sr_config_sync_t *sync);

#endif
