#ifndef SR_TEST_PROVE_FAKE_PLATFORM_H
#define SR_TEST_PROVE_FAKE_PLATFORM_H

#include "core/store.h"

/**
 * fake_platform_t - in-memory object API on a clock that the caller advances
 *
 * It has the faults of the real platform: requests and replies that are lost,
 * effects that come after the call timed out, delays, throttling, outages,
 * and clients that are cut off or frozen.
 */
typedef struct fake_platform fake_platform_t;

/** fake_client_t - the store of one process */
typedef struct fake_client fake_client_t;

/** fake_faults_t - faults that apply to calls from now on */
typedef struct {
	unsigned request_loss; /* percent of calls lost before the effect */
	unsigned reply_loss;   /* percent of replies lost after the effect */
	unsigned late;	   /* percent of effects delayed by max_late_delay */
	unsigned throttle; /* percent of calls refused with NOT_DONE */
	sr_usec_t max_call_delay; /* longest delay, each way; 1 ms is added */
	sr_usec_t max_late_delay; /* the same for a late effect */
	gboolean down;		  /* every call is lost */
} fake_faults_t;

/** fake_counts_t - calls executed, and the largest value written */
typedef struct {
	guint64 reads;
	guint64 writes;
	gsize largest_value_size; /* bytes */
} fake_counts_t;

/** fake_platform_new - create an empty platform at time 0 */
fake_platform_t *fake_platform_new(guint64 seed);

/** fake_platform_free - drop all pending calls and objects */
void fake_platform_free(fake_platform_t *platform);

/** fake_platform_faults - the faults in effect, which the caller may change */
fake_faults_t *fake_platform_faults(fake_platform_t *platform);

/** fake_platform_counts - the counts since the platform was created */
const fake_counts_t *fake_platform_counts(const fake_platform_t *platform);

/** fake_platform_next - time of the next event; G_MAXINT64 if there is none */
sr_usec_t fake_platform_next(const fake_platform_t *platform);

/** fake_platform_run - advance the clock to now and run the events due by it */
void fake_platform_run(fake_platform_t *platform, sr_usec_t now);

/** fake_client_new - connect a client; the platform must outlive it */
fake_client_t *fake_client_new(fake_platform_t *platform);

/** fake_client_free - drop the replies; pending calls still take effect */
void fake_client_free(fake_client_t *client);

/** fake_client_store - the store, owned by the client */
sr_store_t *fake_client_store(fake_client_t *client);

/** fake_client_set_cut - lose all calls and replies of the client, or not */
void fake_client_set_cut(fake_client_t *client, gboolean cut);

/** fake_client_set_frozen - hold back replies and timeouts, or deliver them */
void fake_client_set_frozen(fake_client_t *client, gboolean frozen);

/** fake_platform_n_objects - number of keys that begin with a prefix */
guint fake_platform_n_objects(const fake_platform_t *platform,
			      const char *prefix);

#endif
