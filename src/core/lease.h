#ifndef SR_CORE_LEASE_H
#define SR_CORE_LEASE_H

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"
#include "core/store.h"

/**
 * sr_lease_t - time-limited ownership of one platform object
 *
 * The object stores {owner, epoch, write id, payload}. Each write is a
 * conditional update on the version last read, so the write itself is the
 * fence: a holder that was paused past the expiry of its lease fails its next
 * write. The epoch grows with each change of the holder and serves as the
 * fencing token.
 *
 * A holder's lease runs from the time at which it first sent the claim or
 * renewal, not from the reply. A claimant waits until the object's version has
 * not changed for one lease duration on the claimant's own clock. Wall clocks
 * are never compared. After a write whose reply is lost the object is read and
 * its write id compared; until then it neither acquires nor extends the lease.
 *
 * A store that is restored from an older copy loses its latest writes, and with
 * them who holds the lease and under which epoch. In the new era a claimant
 * therefore waits for one lease duration from its first contact with the store,
 * whatever the object says; so does a process that has just started, as it
 * can't know of a restore before its start. A holder whose lease is still valid
 * then is the last one of the earlier era: it claims the lease anew at once,
 * and holds it without a gap.
 */
typedef struct sr_lease sr_lease_t;

/** sr_lease_event_t - what the event_reported callback reports. */
typedef enum {
	SR_LEASE_CHANGED, /* a read found a new version, written by another */
	SR_LEASE_CLAIM_SENT,
	SR_LEASE_CLAIM_SUCCEEDED,
	SR_LEASE_CLAIM_CONFLICT, /* another write was accepted first */
	SR_LEASE_CLAIM_UNKNOWN,	 /* the reply was lost */
	SR_LEASE_CLAIM_NOT_DONE, /* throttled or never sent */
	SR_LEASE_ERA_BEGAN,	 /* the store was restored, or is first seen */
} sr_lease_event_t;

/** sr_lease_options_t - copied by sr_lease_new(), strings included. */
typedef struct {
	sr_store_t *store; /* borrowed */
	sr_store_class_t class;
	const char *key;
	const char *owner;  /* node and incarnation; unique over restarts */
	guint64 seed;	    /* of the write ids */
	sr_usec_t duration; /* of the lease */
	/* versions include the store's era: an epoch is then higher than the
	 * version that its claim replaces, so that none is given out again
	 * after a restore */
	gboolean has_eras;
	/* the lease is held from now on; payload is the object's, borrowed,
	 * empty if the object is new. Not called if a holder has claimed it
	 * anew in a later era. */
	void (*acquired)(void *user, guint64 epoch, GBytes *payload);
	/* the lease is no longer held; the caller must stop acting on it */
	void (*lost)(void *user);
	/* result of sr_lease_write(): SR_OK, SR_ERR_STALE_FENCE (not written,
	 * the lease is lost), SR_ERR_PLATFORM (not written, or lost as the
	 * store was restored) or SR_ERR_OUTCOME_UNKNOWN (the lease is lost;
	 * another holder may have read the payload before replacing it) */
	void (*written)(void *user, sr_err_t err);
	/* optional, for logs: a write by another holder was read, or a claim
	 * was sent or completed */
	void (*event_reported)(void *user, sr_lease_event_t event,
			       guint64 epoch, const char *holder);
	void *user;
} sr_lease_options_t;

/** Largest payload, in bytes. */
#define SR_LEASE_PAYLOAD_MAX (512 * 1024)

/** sr_lease_new - copy the options; starts unwanted and not held. */
sr_lease_t *sr_lease_new(const sr_lease_options_t *options);

/** sr_lease_free - a held lease is not released, but expires. */
void sr_lease_free(sr_lease_t *lease);

/** sr_lease_set_wanted - TRUE: claim and renew the lease; FALSE: release it. */
void sr_lease_set_wanted(sr_lease_t *lease, gboolean wanted);

/**
 * sr_lease_defer_claims - send no claims before the given time
 *
 * A wanted object is still read in the meantime, so that the wait for the
 * current holder's lease to expire overlaps with this one.
 */
void sr_lease_defer_claims(sr_lease_t *lease, sr_usec_t until);

/** sr_lease_tick - send due calls; run at least 10 times a lease duration. */
void sr_lease_tick(sr_lease_t *lease, sr_usec_t now);

/**
 * sr_lease_is_held - TRUE if the lease stays valid for margin (us) from now
 */
gboolean sr_lease_is_held(const sr_lease_t *lease, sr_usec_t now,
			  sr_usec_t margin);

/** sr_lease_epoch - epoch of the held lease; 0 if it is not held. */
guint64 sr_lease_epoch(const sr_lease_t *lease);

/** sr_lease_era - era of the store as of the last reply; 0 if not known. */
guint64 sr_lease_era(const sr_lease_t *lease);

/** sr_lease_era_since - time of the first tick after that era was seen. */
sr_usec_t sr_lease_era_since(const sr_lease_t *lease);

/** sr_lease_payload - as last read or written; borrowed, may be NULL. */
GBytes *sr_lease_payload(const sr_lease_t *lease);

/** sr_lease_holder - owner as last read or written; "" if there is none. */
const char *sr_lease_holder(const sr_lease_t *lease);

/**
 * sr_lease_write - replace the payload and renew; completes with written()
 *
 * Takes its own reference to payload. Returns SR_ERR_NOT_OWNER if the lease is
 * not held, SR_ERR_TOO_LARGE above SR_LEASE_PAYLOAD_MAX and SR_ERR_CONFLICT
 * while another call is in flight; written() is not called then.
 */
sr_err_t sr_lease_write(sr_lease_t *lease, sr_usec_t now, GBytes *payload);

/**
 * sr_lease_release - stop wanting and holding the lease
 *
 * The object is marked as released, by a later tick if a call is in flight, so
 * that another node need not wait for the expiry.
 */
void sr_lease_release(sr_lease_t *lease, sr_usec_t now);

#endif
