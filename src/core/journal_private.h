#ifndef SR_CORE_JOURNAL_PRIVATE_H
#define SR_CORE_JOURNAL_PRIVATE_H

#include "base/list.h"
#include "core/journal.h"
#include "core/journal_checkpoint.h"
#include "core/journal_log.h"
#include "core/journal_table.h"

/**
 * What journal.c, journal_shard.c and journal_waiter.c share.
 */

/** How long a write may be under way before new postings are refused. */
#define SR_JOURNAL_PATIENCE (500 * SR_MSEC)
/** How long the end of a run may wait for company in a write. */
#define SR_JOURNAL_LAZY (200 * SR_MSEC)

/** sr_waiter_t - a caller that waits for its answer. */
typedef struct {
	sr_list_t link; /* in the entry */
	sr_list_t all;	/* in the journal */
	sr_journal_entry_t *entry;
	void *ticket;
	sr_usec_t deadline;
	gboolean respond_async;
} sr_waiter_t;

typedef struct {
	sr_journal_t *journal;
	unsigned index;
	sr_journal_log_t *log;
	sr_journal_table_t *table;
	sr_journal_checkpoint_t *checkpoint;
	sr_list_t queue;  /* entries whose pending record is to be written */
	sr_list_t flight; /* entries whose pending record is being written */
	sr_list_t work;	  /* entries to run or to ask for */
	sr_usec_t flight_time;
	unsigned running;
	gboolean releasing;
	sr_usec_t release_limit;
	sr_usec_t woke; /* when the process last stood still for long */
} sr_journal_shard_t;

struct sr_journal {
	sr_journal_options_t options; /* node and home are owned */
	sr_journal_shard_t *shards;
	GHashTable *runs;    /* guint64 -> sr_journal_entry_t, with orphans */
	GHashTable *tickets; /* ticket -> sr_waiter_t */
	sr_list_t waiters;
	sr_usec_t next_deadline;
	gboolean draining;
	sr_usec_t last_tick;
	guint64 random;
};

/** sr_journal_random - next number of the journal's own generator. */
guint64 sr_journal_random(sr_journal_t *journal);

/**
 * sr_journal_shard_is_sure - the table holds every posting of the shard
 *
 * TRUE while the lease is valid. After that only if the node did not stand
 * still meanwhile and has not heard of another holder: then it is the platform
 * that is out, and nobody can take over.
 */
gboolean sr_journal_shard_is_sure(const sr_journal_shard_t *shard,
				  sr_usec_t now);

/** sr_waiter_add - have a caller wait on an entry. */
void sr_waiter_add(sr_journal_t *journal, sr_journal_entry_t *entry,
		   const sr_journal_posting_t *posting);

/** sr_waiter_drop - remove a waiter without an answer. */
void sr_waiter_drop(sr_journal_t *journal, sr_waiter_t *waiter);

/** sr_waiter_answer - answer one waiter and remove it. */
void sr_waiter_answer(sr_journal_t *journal, sr_waiter_t *waiter,
		      const sr_journal_answer_t *answer);

/** sr_waiter_answer_all - answer everyone who waits on an entry. */
void sr_waiter_answer_all(sr_journal_t *journal, sr_journal_entry_t *entry,
			  const sr_journal_answer_t *answer);

void sr_journal_shard_init(sr_journal_t *journal, unsigned index);
void sr_journal_shard_clear(sr_journal_shard_t *shard);
void sr_journal_shard_tick(sr_journal_shard_t *shard, sr_usec_t now);

/** sr_journal_shard_enqueue - have the entry's next record written. */
void sr_journal_shard_enqueue(sr_journal_shard_t *shard, sr_usec_t now,
			      sr_journal_entry_t *entry, sr_record_kind_t kind,
			      sr_usec_t delay);

/** sr_journal_shard_run_ended - takes the entry out of the runs. */
void sr_journal_shard_run_ended(sr_journal_shard_t *shard, sr_usec_t now,
				sr_journal_entry_t *entry,
				const sr_journal_run_result_t *result);

/** sr_journal_shard_outcome - see sr_journal_outcome(). */
void sr_journal_shard_outcome(sr_journal_shard_t *shard, sr_usec_t now,
			      const sr_journal_entry_t *like, unsigned status,
			      GBytes *result);

#endif
