#ifndef SR_TEST_PROVE_FAKE_PLATFORM_H
#define SR_TEST_PROVE_FAKE_PLATFORM_H

#include "core/store.h"

/**
 * An object API in memory, on a time that its user advances, with the faults
 * of the real one: replies lost before or after the effect, effects that come
 * after the caller gave up, delays, throttling, outages, and clients that are
 * cut off or frozen.
 */
typedef struct fake_platform fake_platform_t;

/** fake_client_t - the store of one process. */
typedef struct fake_client fake_client_t;

typedef struct {
	unsigned lose_before; /* percent of calls that get lost */
	unsigned lose_after;  /* percent of replies that get lost */
	unsigned late;	      /* percent of effects that come late */
	unsigned throttle;    /* percent of calls refused */
	sr_usec_t delay;      /* longest, each way */
	sr_usec_t late_delay; /* longest of a late effect */
	gboolean down;
} fake_faults_t;

typedef struct {
	guint64 reads;
	guint64 writes;
	gsize largest;
} fake_counts_t;

fake_platform_t *fake_platform_new(guint64 seed);
void fake_platform_free(fake_platform_t *platform);
fake_faults_t *fake_platform_faults(fake_platform_t *platform);
const fake_counts_t *fake_platform_counts(const fake_platform_t *platform);

/** fake_platform_next - when the next event is due; G_MAXINT64 for none. */
sr_usec_t fake_platform_next(const fake_platform_t *platform);

/** fake_platform_run - run the events due by now, in order. */
void fake_platform_run(fake_platform_t *platform, sr_usec_t now);

fake_client_t *fake_client_new(fake_platform_t *platform);

/** fake_client_free - replies are dropped; effects still happen. */
void fake_client_free(fake_client_t *client);
sr_store_t *fake_client_store(fake_client_t *client);
void fake_client_set_cut(fake_client_t *client, gboolean cut);

/** fake_client_set_frozen - replies wait until the client thaws. */
void fake_client_set_frozen(fake_client_t *client, gboolean frozen);

/** fake_platform_n_objects - how many keys begin with a prefix. */
guint fake_platform_n_objects(const fake_platform_t *platform,
			      const char *prefix);

#endif
