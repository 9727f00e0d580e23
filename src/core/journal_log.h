#ifndef SR_CORE_JOURNAL_LOG_H
#define SR_CORE_JOURNAL_LOG_H

#include "core/journal_record.h"
#include "core/store.h"

/**
 * sr_journal_log_t - the log of one shard, written by one holder at a time
 *
 * The log is a ring of objects PREFIX/log/SLOT. The batch with number N goes
 * to slot N modulo the size of the ring, by a write conditional on what was
 * there: nothing, or the batch one lap older. That write is the fence: a new
 * holder takes the next number with a higher epoch, and the next write of the
 * old one conflicts, however late it arrives, because versions never return.
 * Nothing is deleted. Batches up to the base of PREFIX/manifest are folded
 * into segments, and only their slots are used again.
 *
 * The lease keeps holders from displacing each other. No posting runs on the
 * strength of a lease.
 *
 * One call to the store is under way at a time. Its reply is kept until the
 * next sr_journal_log_tick(), so that it is judged at the time then given.
 */
typedef struct sr_journal_log sr_journal_log_t;

/** How a holder lost a shard, or why a batch did not become durable. */
typedef enum {
	SR_LOG_LOST_NOT_WRITTEN, /* the batch under way is not in the log */
	SR_LOG_LOST_IN_DOUBT,	 /* another holder may find it in the log */
} sr_log_lost_t;

typedef struct {
	/* forget everything that was replayed */
	void (*reset)(void *user);
	/* the records of a segment: states of postings, not transitions */
	void (*load)(void *user, const GPtrArray *records);
	/* the next batch of the log: transitions of postings */
	void (*replay)(void *user, const sr_batch_t *batch);
	/* another holder took over, or this one; called before its records */
	void (*taken_over)(void *user, guint64 number, sr_usec_t time);
	/* the shard is held from now on */
	void (*owned)(void *user, sr_usec_t now);
	/* move what is due into the batch, whose epoch and time are set; TRUE
	   if more is left */
	gboolean (*gather)(void *user, sr_batch_t *batch);
	/* the batch gathered last is in the log, with this number */
	void (*durable)(void *user, sr_usec_t now, guint64 number);
	/* the shard is no longer held */
	void (*lost)(void *user, sr_usec_t now, sr_log_lost_t how);
	/* a reply came in; call sr_journal_log_tick() soon */
	void (*wake)(void *user);
} sr_journal_log_ops_t;

typedef struct {
	sr_store_t *store;
	const char *prefix;
	const char *owner; /* name of this node */
	guint64 seed;	   /* must differ between processes */
	sr_usec_t lease;
	sr_usec_t interval; /* least time between writes under load */
	unsigned ring;	    /* number of slots; fixed for the log's lifetime */
	const sr_journal_log_ops_t *ops;
	void *user;
} sr_journal_log_options_t;

sr_journal_log_t *sr_journal_log_new(const sr_journal_log_options_t *options);
void sr_journal_log_free(sr_journal_log_t *log);

/** sr_journal_log_want - this node should hold the shard, or give it up. */
void sr_journal_log_want(sr_journal_log_t *log, sr_usec_t now, gboolean want);

/** sr_journal_log_request - something is to be written within delay. */
void sr_journal_log_request(sr_journal_log_t *log, sr_usec_t now,
			    sr_usec_t delay);

void sr_journal_log_tick(sr_journal_log_t *log, sr_usec_t now);

/** sr_journal_log_is_held - this node is the holder as far as it knows. */
gboolean sr_journal_log_is_held(const sr_journal_log_t *log);

/**
 * sr_journal_log_is_ready - held, its lease valid, a slot free, and the write
 * under way not older than patience
 */
gboolean sr_journal_log_is_ready(const sr_journal_log_t *log, sr_usec_t now,
				 sr_usec_t patience);

/**
 * sr_journal_log_is_complete - all of the log is known, and a checkpoint may
 * be made: the shard is held, or could not be claimed for want of a free slot
 */
gboolean sr_journal_log_is_complete(const sr_journal_log_t *log);

/** sr_journal_log_is_off - neither held nor being read or claimed. */
gboolean sr_journal_log_is_off(const sr_journal_log_t *log);

/** sr_journal_log_has_lease - held, and nobody can have taken over yet. */
gboolean sr_journal_log_has_lease(const sr_journal_log_t *log, sr_usec_t now);

/** sr_journal_log_lease_from - when the lease began that is or was held. */
sr_usec_t sr_journal_log_lease_from(const sr_journal_log_t *log);

/** sr_journal_log_time - shard time: it only grows, over all holders. */
sr_usec_t sr_journal_log_time(const sr_journal_log_t *log, sr_usec_t now);

/** sr_journal_log_epoch - of the last takeover seen. */
guint64 sr_journal_log_epoch(const sr_journal_log_t *log);

/** sr_journal_log_last - highest number known to be in the log. */
guint64 sr_journal_log_last(const sr_journal_log_t *log);

/** sr_journal_log_writes - objects written since the start. */
guint64 sr_journal_log_writes(const sr_journal_log_t *log);

/** sr_journal_log_manifest - as last read, or NULL; owned by the log. */
const sr_manifest_t *sr_journal_log_manifest(const sr_journal_log_t *log,
					     guint64 *version);

/** sr_journal_log_give_up - the manifest shows that others hold the shard. */
void sr_journal_log_give_up(sr_journal_log_t *log, sr_usec_t now);

/** sr_journal_log_set_manifest - the holder wrote a manifest; takes it. */
void sr_journal_log_set_manifest(sr_journal_log_t *log, sr_manifest_t *manifest,
				 guint64 version);

#endif
