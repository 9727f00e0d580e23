#ifndef SR_CORE_CONFIG_SYNC_H
#define SR_CORE_CONFIG_SYNC_H

#include <glib.h>

#include "base/error.h"
#include "core/store.h"

/**
 * sr_config_sync_t - publish configurations and apply the accepted one on
 * every node (entry host)
 *
 * The accepted configuration is one object of the platform. A publication
 * replaces it as a whole by a conditional update and increments its
 * generation by one. One or two nodes of each failure domain watch the
 * object. The other nodes receive the number of a new generation in a rumour
 * and fetch the missing data from peers, in parts that are identified by
 * their hash. Every node also polls the version of the object, in case
 * watches or rumours fail.
 *
 * The generation on a node never decreases; this is asserted. The module does
 * no I/O: the current time is passed to sr_config_sync_tick(), and calls go
 * to the store and to the functions in the options.
 */
typedef struct sr_config_sync sr_config_sync_t;

/** Key of the platform object that holds the accepted configuration. */
#define SR_CONFIG_KEY "config/current"

/**
 * Largest configuration text that can be published, in bytes; 4096 bytes of
 * the object are left for its header line.
 */
#define SR_CONFIG_PUBLISH_SIZE_MAX (SR_STORE_VALUE_MAX - 4096)

/** Size of the manifest hash that a rumour carries, in bytes. */
#define SR_CONFIG_DIGEST_SIZE 16

/** Number of nodes in each failure domain that watch the object. */
#define SR_CONFIG_WATCHERS 2

/**
 * sr_config_fetch_fn - result of a fetch
 *
 * value is borrowed, or NULL if the peer did not return the value.
 */
typedef void (*sr_config_fetch_fn)(void *user, GBytes *value);

/** sr_config_sync_options_t - parameters and callbacks of the module. */
typedef struct {
	sr_store_t *store; /* borrowed */
	const char *node;  /* name of this node; copied */
	guint64 seed;	   /* for jitter and write ids */
	/*
	 * Requests a value from a peer, which should be chosen at random for
	 * each call. done is called once, never from inside this call.
	 */
	void (*fetch)(void *user, const char *key, sr_config_fetch_fn done,
		      void *done_user);
	/* cancels the fetches with this done_user; done is not called */
	void (*cancel_fetches)(void *user, void *done_user);
	/* applies the text of a new generation; text is borrowed */
	void (*apply)(void *user, const char *text, gsize size,
		      guint64 generation);
	/* publishes a generation as a rumour of kind SR_RUMOUR_CONFIG */
	void (*announce)(void *user, guint64 generation, const guint8 *digest,
			 gsize size);
	void *user;
} sr_config_sync_options_t;

/** sr_config_sync_stats_t - counters since sr_config_sync_new(). */
typedef struct {
	guint64 generations_from_platform; /* applied */
	guint64 generations_from_peers;	   /* applied */
	guint64 bytes_from_platform;
	guint64 bytes_from_peers;
	guint64 hash_mismatches; /* fetched values that were rejected */
	guint64 failed_fetches;
	guint64 polls;
} sr_config_sync_stats_t;

/** sr_config_sync_new - create the module; options are copied. */
sr_config_sync_t *sr_config_sync_new(const sr_config_sync_options_t *options,
				     sr_usec_t now);

/**
 * sr_config_sync_free - drop pending publications without calling done
 *
 * sync may be NULL.
 */
void sr_config_sync_free(sr_config_sync_t *sync);

/**
 * sr_config_sync_tick - run due polls, watches, fetches and publications
 *
 * To be called at least every 100 ms. now must not decrease.
 */
void sr_config_sync_tick(sr_config_sync_t *sync, sr_usec_t now);

/**
 * sr_config_sync_set_members - set the live nodes of this failure domain
 *
 * The first SR_CONFIG_WATCHERS nodes in the order of the hashes of their names
 * watch the object; every node computes the same order. names may omit this
 * node. Until the first call, this node is a watcher.
 */
void sr_config_sync_set_members(sr_config_sync_t *sync,
				const char *const *names, gsize n);

/**
 * sr_config_sync_rumour_received - process a received rumour of a generation
 *
 * digest is the hash of its manifest. Ignored if its size is not
 * SR_CONFIG_DIGEST_SIZE, or if the generation is not newer than both the
 * applied one and the one being fetched.
 */
void sr_config_sync_rumour_received(sr_config_sync_t *sync, guint64 generation,
				    const guint8 *digest, gsize size);

/**
 * sr_config_sync_serve - return the value that a peer fetches
 *
 * Returns a new reference, or NULL if this node does not have the value.
 */
GBytes *sr_config_sync_serve(sr_config_sync_t *sync, const char *key);

/**
 * sr_publish_result_t - result of a publication
 *
 * SR_OK: accepted; generation is its number. SR_ERR_CONFLICT: not accepted,
 * because the accepted generation is not the base; generation is the accepted
 * one. SR_ERR_PLATFORM: not accepted within SR_PUBLISH_TIMEOUT.
 * SR_ERR_TOO_LARGE: not accepted; the text exceeds SR_CONFIG_PUBLISH_SIZE_MAX.
 * SR_ERR_OUTCOME_UNKNOWN: a write may have taken effect, or may still do so.
 */
typedef struct {
	sr_err_t err;
	guint64 generation;
} sr_publish_result_t;

/** sr_publish_fn - end of a publication; result is borrowed. */
typedef void (*sr_publish_fn)(void *user, const sr_publish_result_t *result);

/** Time after which a publication fails. */
#define SR_PUBLISH_TIMEOUT (15 * SR_SEC)

/**
 * sr_config_sync_publish - replace the accepted configuration
 *
 * Succeeds only if the accepted generation is base (0: none is accepted). text
 * is copied and must have been validated by sr_config_parse(). done is called
 * once, never from inside this call.
 */
void sr_config_sync_publish(sr_config_sync_t *sync, guint64 base,
			    const char *text, gsize size, sr_publish_fn done,
			    void *user);

/** sr_config_sync_generation - generation applied on this node; 0: none. */
guint64 sr_config_sync_generation(const sr_config_sync_t *sync);

/** sr_config_sync_text - text applied on this node; borrowed, may be NULL. */
GBytes *sr_config_sync_text(const sr_config_sync_t *sync);

/** sr_config_sync_is_watcher - whether this node watches the object. */
gboolean sr_config_sync_is_watcher(const sr_config_sync_t *sync);

const sr_config_sync_stats_t *
sr_config_sync_stats(const sr_config_sync_t *sync);

#endif
