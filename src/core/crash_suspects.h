#ifndef SR_CORE_CRASH_SUSPECTS_H
#define SR_CORE_CRASH_SUSPECTS_H

#include <glib.h>

#include "base/clock.h"
#include "core/request_print.h"

/**
 * sr_crash_suspects_t - what requests held when instances ended under them
 *
 * The fingerprints of the requests that an instance had when it ended are
 * suspect. A request that survives clears its fingerprints: what crashes
 * instances crashes each of them. A fingerprint under which
 * SR_CRASH_STRIKES instances have ended since it was last cleared is
 * quarantined, and requests with it are refused. Instances that end at the same
 * moment count once, unless it is the same request that none has answered. For
 * a part of a prompt, one that had not begun to answer counts less. It takes
 * more of them if a request with the fingerprint survived a short time ago.
 *
 * Parts of prompts that were in the same requests each time can't be told
 * apart. A request is refused only if it has all of them, so that a sound
 * request with one of them still clears it.
 *
 * From time to time a quarantined fingerprint is due for a probe: one request
 * with it may pass at one host, at intervals that grow.
 *
 * Memory is bounded. Of the suspects those with the fewest strikes are evicted
 * first, so that many requests of one strike each can't displace others.
 */
typedef struct sr_crash_suspects sr_crash_suspects_t;

/** SR_CRASH_STRIKES - instances that end until a fingerprint is quarantined: as
 * few as tell it from what happened to be in the same instances. */
#define SR_CRASH_STRIKES 3

/** sr_crash_request_t - a request that an instance had when it ended. */
typedef struct {
	sr_request_print_t print;
	gboolean has_begun; /* the response */
} sr_crash_request_t;

/** sr_crash_report_t - an instance ended under requests of one host; borrowed.
 */
typedef struct {
	guint64 instance; /* see sr_instance_identity() */
	sr_usec_t ended_at;
	const sr_crash_request_t *requests;
	unsigned n_requests;
} sr_crash_report_t;

/** sr_quarantine_t - a quarantined fingerprint. */
typedef struct {
	guint64 fingerprint;
	gboolean is_request; /* as a whole, not a part of a prompt */
	unsigned n_strikes;  /* instances that ended, at most those held; 0 if
			      * restored */
	unsigned n_probes;   /* that were due so far */
	sr_usec_t next_probe_at;
	/* parts that can't be told apart from it */
	guint64 partners[SR_REQUEST_PRINT_PARTS];
	unsigned n_partners;
} sr_quarantine_t;

/** SR_CRASH_REFUTE_TIME - time after its reported end from which an answer of
 * an instance shows that it had not ended. One that has is registered anew by
 * then, or no longer. */
#define SR_CRASH_REFUTE_TIME (5 * SR_SEC)

/** sr_crash_suspects_options_t - callbacks may not call back into the object.
 */
typedef struct {
	/* A fingerprint was quarantined by reports; may be NULL. */
	void (*quarantined)(void *user, const sr_quarantine_t *quarantine);
	/* A quarantine has ended as instances had not; may be NULL. */
	void (*released)(void *user, guint64 fingerprint);
	/* Whether this host sends the probe that is due; may be NULL for
	 * always. */
	gboolean (*may_probe)(void *user, guint64 fingerprint);
	void *user;
} sr_crash_suspects_options_t;

/** sr_crash_suspects_new - free the result with sr_crash_suspects_free(). */
sr_crash_suspects_t *
sr_crash_suspects_new(const sr_crash_suspects_options_t *options);

/** sr_crash_suspects_free - suspects may be NULL. */
void sr_crash_suspects_free(sr_crash_suspects_t *suspects);

/** sr_crash_suspects_add - count a report. Several reports of one instance, of
 * this host or others, count once for each fingerprint. */
void sr_crash_suspects_add(sr_crash_suspects_t *suspects,
			   const sr_crash_report_t *report);

/**
 * sr_crash_suspects_clear - a request with the fingerprint survived
 *
 * Instances that ended up to that time no longer count. Returns TRUE if any
 * did, or if the fingerprint was quarantined.
 */
gboolean sr_crash_suspects_clear(sr_crash_suspects_t *suspects,
				 guint64 fingerprint, sr_usec_t survived_at);

/** sr_crash_suspects_refute - an instance that was reported has not ended; its
 * strikes no longer count. */
void sr_crash_suspects_refute(sr_crash_suspects_t *suspects, guint64 instance);

/**
 * sr_crash_suspects_restore - quarantine a fingerprint that another host or an
 * earlier process has quarantined
 *
 * Returns FALSE if a request with the fingerprint has survived since
 * decided_at. n_strikes and next_probe_at are not used.
 */
gboolean sr_crash_suspects_restore(sr_crash_suspects_t *suspects, sr_usec_t now,
				   const sr_quarantine_t *quarantine,
				   sr_usec_t decided_at);

/** sr_crash_verdict_t - what to do with a request. */
typedef enum {
	SR_CRASH_ALLOWED,
	SR_CRASH_PROBE, /* allowed, as the probe of a quarantine */
	SR_CRASH_REFUSED,
} sr_crash_verdict_t;

/** sr_crash_suspects_judge - the verdict on a request; unless it is
 * SR_CRASH_ALLOWED, reason is set to the quarantine that decided. */
sr_crash_verdict_t sr_crash_suspects_judge(sr_crash_suspects_t *suspects,
					   sr_usec_t now,
					   const sr_request_print_t *request,
					   sr_quarantine_t *reason);

/** sr_crash_suspects_foreach - call fn for each quarantine. */
void sr_crash_suspects_foreach(const sr_crash_suspects_t *suspects,
			       void (*fn)(void *user,
					  const sr_quarantine_t *quarantine),
			       void *user);

/** sr_crash_suspects_size - number of suspects, quarantined ones included. */
unsigned sr_crash_suspects_size(const sr_crash_suspects_t *suspects);

/** sr_crash_suspects_n_quarantined - number of quarantined fingerprints. */
unsigned sr_crash_suspects_n_quarantined(const sr_crash_suspects_t *suspects);

#endif
