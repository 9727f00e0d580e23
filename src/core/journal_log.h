#ifndef SR_CORE_JOURNAL_LOG_H
#define SR_CORE_JOURNAL_LOG_H

#include "core/journal_record.h"
#include "core/store.h"

/**
 * sr_journal_log_t - the log of one shard, written by one holder at a time
 *
 * The log is a ring of objects PREFIX/log/SLOT. The batch with number N goes
 * to slot N modulo the size of the ring, by a write that is conditional on
 * the previous content of the slot: nothing, or the batch one lap older. That
 * write is the fence. A new holder writes the next number with a higher
 * epoch, and then the next write of the old holder conflicts, however late it
 * arrives, because a version is never used twice.
 *
 * Slots are never deleted. The batches up to the base of PREFIX/manifest are
 * compacted into segments, and only their slots are written again.
 *
 * The lease keeps holders from displacing each other. It does not by itself
 * permit a posting to run: only a durable DISPATCHED record does.
 *
 * One call to the store is in progress at a time. Its reply is kept until the
 * next sr_journal_log_tick(), which handles it with the time passed to it.
 */
typedef struct sr_journal_log sr_journal_log_t;

/** sr_log_lost_t - fate of the batch in progress when a shard is lost */
typedef enum {
	SR_LOG_LOST_NOT_WRITTEN, /* it is not in the log */
	SR_LOG_LOST_IN_DOUBT, /* the next holder may have read it in the log */
} sr_log_lost_t;

/**
 * sr_journal_log_ops_t - callbacks of a log
 *
 * Records and batches stay owned by the log.
 */
typedef struct {
	/* discard everything that was loaded and replayed */
	void (*reset)(void *user);
	/* the records of a segment: states of postings, not transitions */
	void (*load)(void *user, const GPtrArray *records);
	/* the next batch of the log: transitions of postings */
	void (*replay)(void *user, const sr_batch_t *batch);
	/* the batch with this number starts a new epoch, of this holder or
	 * another one; called before its records are replayed */
	void (*taken_over)(void *user, guint64 number, sr_usec_t time);
	/* the shard is held from now on */
	void (*acquired)(void *user, sr_usec_t now);
	/* add due records to the batch, whose epoch and time are set; TRUE if
	 * some did not fit */
	gboolean (*fill_batch)(void *user, sr_batch_t *batch);
	/* the batch filled last is in the log, with this number */
	void (*durable)(void *user, sr_usec_t now, guint64 number);
	/* the shard is no longer held */
	void (*lost)(void *user, sr_usec_t now, sr_log_lost_t loss);
	/* a reply arrived; call sr_journal_log_tick() soon */
	void (*wake)(void *user);
} sr_journal_log_ops_t;

/** sr_journal_log_options_t - copied by sr_journal_log_new() */
typedef struct {
	sr_store_t *store;	  /* borrowed */
	const char *prefix;	  /* of the shard's keys; copied */
	const char *owner;	  /* name of this host; copied */
	guint64 seed;		  /* must differ between processes */
	sr_usec_t lease;	  /* duration of the lease */
	sr_usec_t write_interval; /* shortest time between requested writes */
	unsigned ring_slots;	  /* must never change */
	const sr_journal_log_ops_t *ops; /* borrowed */
	void *user;
} sr_journal_log_options_t;

/** sr_journal_log_new - create a log that is not wanted yet */
sr_journal_log_t *sr_journal_log_new(const sr_journal_log_options_t *options);

/** sr_journal_log_free - a call in progress is dropped; NULL is allowed */
void sr_journal_log_free(sr_journal_log_t *log);

/** sr_journal_log_set_wanted - claim the shard and keep it, or release it */
void sr_journal_log_set_wanted(sr_journal_log_t *log, sr_usec_t now,
			       gboolean wanted);

/**
 * sr_journal_log_request_write - request a batch within delay
 *
 * The write interval of the log may defer it.
 */
void sr_journal_log_request_write(sr_journal_log_t *log, sr_usec_t now,
				  sr_usec_t delay);

/** sr_journal_log_tick - handle a reply and start the next call if due */
void sr_journal_log_tick(sr_journal_log_t *log, sr_usec_t now);

/** sr_journal_log_is_held - TRUE if this host is the last known holder */
gboolean sr_journal_log_is_held(const sr_journal_log_t *log);

/**
 * sr_journal_log_is_ready - TRUE if a new record is likely to become durable
 *
 * The shard is held and wanted, its lease is valid, a slot is free, and the
 * write in progress, if any, is not older than max_write_age.
 */
gboolean sr_journal_log_is_ready(const sr_journal_log_t *log, sr_usec_t now,
				 sr_usec_t max_write_age);

/**
 * sr_journal_log_is_caught_up - TRUE if the log was read to its end
 *
 * A checkpoint may be written: the shard is held, or it can't be claimed
 * because no slot is free.
 */
gboolean sr_journal_log_is_caught_up(const sr_journal_log_t *log);

/** sr_journal_log_is_off - TRUE if neither held nor being read or claimed */
gboolean sr_journal_log_is_off(const sr_journal_log_t *log);

/** sr_journal_log_has_lease - TRUE if held and no takeover is possible yet */
gboolean sr_journal_log_has_lease(const sr_journal_log_t *log, sr_usec_t now);

/** sr_journal_log_lease_start - start of the current or last lease */
sr_usec_t sr_journal_log_lease_start(const sr_journal_log_t *log);

/**
 * sr_journal_log_shard_time - time of the shard, in microseconds
 *
 * It is stored with each batch and never decreases, across all holders.
 */
sr_usec_t sr_journal_log_shard_time(const sr_journal_log_t *log, sr_usec_t now);

/** sr_journal_log_epoch - epoch of the last takeover seen */
guint64 sr_journal_log_epoch(const sr_journal_log_t *log);

/** sr_journal_log_last_number - highest batch number known to be in the log */
guint64 sr_journal_log_last_number(const sr_journal_log_t *log);

/** sr_journal_log_writes - number of batches written by this log object */
guint64 sr_journal_log_writes(const sr_journal_log_t *log);

/** sr_journal_log_manifest - as last read, or NULL; owned by the log */
const sr_manifest_t *sr_journal_log_manifest(const sr_journal_log_t *log,
					     guint64 *version);

/** sr_journal_log_step_down - drop the shard, which has another holder */
void sr_journal_log_step_down(sr_journal_log_t *log, sr_usec_t now);

/**
 * sr_journal_log_set_manifest - replace the manifest after a checkpoint
 *
 * Takes ownership of the manifest. The version is that of its object.
 */
void sr_journal_log_set_manifest(sr_journal_log_t *log, sr_manifest_t *manifest,
				 guint64 version);

#endif
