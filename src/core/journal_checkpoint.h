#ifndef SR_CORE_JOURNAL_CHECKPOINT_H
#define SR_CORE_JOURNAL_CHECKPOINT_H

#include "core/journal_log.h"
#include "core/journal_table.h"

/**
 * sr_journal_checkpoint_t - compacts the log of a shard into segments
 *
 * A checkpoint writes all postings that changed since the last one to new
 * objects PREFIX/seg/..., which are immutable, and then names them in
 * PREFIX/manifest by a conditional update. The batches up to the base of that
 * manifest are no longer needed, so that their slots can be used again. Any
 * host that has read the whole log may write a checkpoint: the segments hold
 * nothing that is not in the log.
 *
 * Segments whose postings have all expired are left out of the manifest,
 * oldest first. They are deleted once no manifest can name them.
 */
typedef struct sr_journal_checkpoint sr_journal_checkpoint_t;

/** sr_journal_checkpoint_options_t - copied by sr_journal_checkpoint_new() */
typedef struct {
	sr_store_t *store; /* borrowed, like log and table */
	sr_journal_log_t *log;
	sr_journal_table_t *table;
	const char *prefix;	 /* of the shard's keys; copied */
	guint64 seed;		 /* must differ between processes */
	sr_usec_t retention;	 /* of an ended posting */
	guint64 batch_threshold; /* batches since the base that start one */
	/* a reply arrived; call sr_journal_checkpoint_tick() soon */
	void (*wake)(void *user);
	void *user;
} sr_journal_checkpoint_options_t;

/** sr_journal_checkpoint_new - create a checkpointer without a call in progress
 */
sr_journal_checkpoint_t *
sr_journal_checkpoint_new(const sr_journal_checkpoint_options_t *options);

/** sr_journal_checkpoint_free - drops a call in progress; NULL is allowed */
void sr_journal_checkpoint_free(sr_journal_checkpoint_t *checkpoint);

/** sr_journal_checkpoint_abort - stop; the log was reset or the shard lost */
void sr_journal_checkpoint_abort(sr_journal_checkpoint_t *checkpoint);

/**
 * sr_journal_checkpoint_tick - start or continue a checkpoint
 *
 * Call only while sr_journal_log_is_caught_up().
 */
void sr_journal_checkpoint_tick(sr_journal_checkpoint_t *checkpoint,
				sr_usec_t now);

#endif
