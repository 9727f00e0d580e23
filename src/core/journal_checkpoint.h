#ifndef SR_CORE_JOURNAL_CHECKPOINT_H
#define SR_CORE_JOURNAL_CHECKPOINT_H

#include "core/journal_log.h"
#include "core/journal_table.h"

/**
 * sr_journal_checkpoint_t - folds old batches of a shard's log into segments
 *
 * What changed since the last checkpoint goes into new objects PREFIX/seg/...,
 * which are never changed; then PREFIX/manifest names them, by a conditional
 * update. Any node that has read the whole log may do so: the segments hold
 * nothing that is not in the log. Segments whose postings have all expired
 * are left out, oldest first, and deleted once no manifest can name them.
 */
typedef struct sr_journal_checkpoint sr_journal_checkpoint_t;

typedef struct {
	sr_store_t *store;
	sr_journal_log_t *log;
	sr_journal_table_t *table;
	const char *prefix;
	guint64 seed; /* must differ between processes */
	sr_usec_t retention;
	guint64 batches; /* fold once the log has so many */
	void (*wake)(void *user);
	void *user;
} sr_journal_checkpoint_options_t;

sr_journal_checkpoint_t *
sr_journal_checkpoint_new(const sr_journal_checkpoint_options_t *options);
void sr_journal_checkpoint_free(sr_journal_checkpoint_t *checkpoint);

/** sr_journal_checkpoint_abort - the log is read anew or lost. */
void sr_journal_checkpoint_abort(sr_journal_checkpoint_t *checkpoint);

/** sr_journal_checkpoint_tick - call while the log is known to its end. */
void sr_journal_checkpoint_tick(sr_journal_checkpoint_t *checkpoint,
				sr_usec_t now);

#endif
