#ifndef SR_CORE_LEASE_H
#define SR_CORE_LEASE_H

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"
#include "core/store.h"

/**
 * sr_lease_t - ownership of one platform object, for a time
 *
 * The object carries {owner, epoch, write id, payload}. Each write is a
 * conditional update on the version last read, so the write itself is the
 * fence: a holder that was paused past its lease fails its next write. The
 * epoch rises with each change of the holder and serves as fencing number.
 *
 * A holder counts its lease from before the renewal was sent. A claimant
 * waits until it has seen the same version for one whole lease on its own
 * clock. Wall clocks are never compared. A write whose reply is lost is
 * settled by reading the object and comparing the write id; until then the
 * lease counts as not held.
 */
typedef struct sr_lease sr_lease_t;

typedef enum {
	SR_LEASE_SEEN, /* the object has changed, by another's write */
	SR_LEASE_CLAIM_SENT,
	SR_LEASE_CLAIM_TAKEN,
	SR_LEASE_CLAIM_CONFLICT, /* another was faster */
	SR_LEASE_CLAIM_UNKNOWN,	 /* its reply was lost */
	SR_LEASE_CLAIM_NOT_DONE, /* the store can't be reached */
} sr_lease_note_t;

typedef struct {
	sr_store_t *store; /* borrowed */
	sr_store_class_t class;
	const char *key;
	const char *owner;  /* node and incarnation; never used before */
	guint64 seed;	    /* of the write ids */
	sr_usec_t duration; /* of the lease */
	/* the lease is held from now on; payload is what the object holds */
	void (*acquired)(void *user, guint64 epoch, GBytes *payload);
	/* the lease is no longer held; stop acting on it */
	void (*lost)(void *user);
	/* a sr_lease_write() ended: SR_OK, SR_ERR_STALE_FENCE (not written,
	 * the lease is lost), SR_ERR_PLATFORM (not written) or
	 * SR_ERR_OUTCOME_UNKNOWN (another holder followed; it may or may not
	 * have read the payload) */
	void (*written)(void *user, sr_err_t err);
	/* for the log: another holder was seen, or a claim was sent or ended */
	void (*noted)(void *user, sr_lease_note_t note, guint64 epoch,
		      const char *holder);
	void *user;
} sr_lease_options_t;

/** Largest payload, in bytes. */
#define SR_LEASE_PAYLOAD_MAX (512 * 1024)

sr_lease_t *sr_lease_new(const sr_lease_options_t *options);

/** sr_lease_free - a held lease is not released, it runs out. */
void sr_lease_free(sr_lease_t *lease);

/** sr_lease_want - claim the object and keep it, or leave it to others. */
void sr_lease_want(sr_lease_t *lease, gboolean wanted);

/**
 * sr_lease_hold_off - claim nothing before the given time
 *
 * A wanted object is read meanwhile, so that the wait for its holder to lapse
 * runs at the same time.
 */
void sr_lease_hold_off(sr_lease_t *lease, sr_usec_t until);

/** sr_lease_tick - run what is due; call at least every tenth of a lease. */
void sr_lease_tick(sr_lease_t *lease, sr_usec_t now);

/**
 * sr_lease_is_held - TRUE if the lease holds for at least margin from now
 */
gboolean sr_lease_is_held(const sr_lease_t *lease, sr_usec_t now,
			  sr_usec_t margin);

/** sr_lease_epoch - of the held lease; 0 if it is not held. */
guint64 sr_lease_epoch(const sr_lease_t *lease);

/** sr_lease_payload - as last read or written; borrowed, may be NULL. */
GBytes *sr_lease_payload(const sr_lease_t *lease);

/** sr_lease_holder - who was seen to hold it last; "" if nobody. */
const char *sr_lease_holder(const sr_lease_t *lease);

/**
 * sr_lease_write - replace the payload and renew; ends in written()
 *
 * Returns SR_ERR_NOT_OWNER if the lease is not held, SR_ERR_CONFLICT if a
 * write is under way.
 */
sr_err_t sr_lease_write(sr_lease_t *lease, sr_usec_t now, GBytes *payload);

/** sr_lease_release - give it up, so that another may claim it at once. */
void sr_lease_release(sr_lease_t *lease, sr_usec_t now);

#endif
