#ifndef SR_CORE_JOURNAL_PRIVATE_H
#define SR_CORE_JOURNAL_PRIVATE_H

#include "base/list.h"
#include "core/journal.h"
#include "core/journal_checkpoint.h"
#include "core/journal_log.h"
#include "core/journal_table.h"

/**
 * Types and functions shared by journal.c, journal_shard.c and
 * journal_waiter.c.
 */

/** Delay before a caller may retry, without jitter. */
#define SR_JOURNAL_RETRY_NOT_OWNER (1 * SR_SEC)
#define SR_JOURNAL_RETRY_PLATFORM (2 * SR_SEC)
/** Age of the write in progress from which new postings are refused. */
#define SR_JOURNAL_MAX_WRITE_AGE (500 * SR_MSEC)
/**
 * Longest delay of a record that no answer waits for, such as the end of a
 * run, so that several of them share one write.
 */
#define SR_JOURNAL_COALESCE_DELAY (200 * SR_MSEC)

/** sr_waiter_t - a caller that waits for the answer to its submission */
typedef struct {
	sr_list_t entry_link;	/* in the waiters of the entry */
	sr_list_t journal_link; /* in the waiters of the journal */
	sr_journal_entry_t *entry;
	void *ticket;
	sr_usec_t deadline;
	gboolean respond_async;
} sr_waiter_t;

/** sr_journal_shard_t - one shard: its log, table and pending work */
typedef struct {
	sr_journal_t *journal;
	unsigned index;
	sr_journal_log_t *log;
	sr_journal_table_t *table;
	sr_journal_checkpoint_t *checkpoint;
	sr_list_t queue;   /* entries whose pending record is to be written */
	sr_list_t writing; /* entries whose pending record is being written */
	sr_list_t work;	   /* entries to run, or whose outcome to query */
	sr_usec_t writing_time; /* shard time of the batch being written */
	unsigned running;	/* runs in progress, without orphans */
	gboolean releasing;
	sr_usec_t release_deadline;
	sr_usec_t stall_end; /* end of the last stall of the process */
} sr_journal_shard_t;

struct sr_journal {
	sr_journal_options_t options; /* node and home are owned */
	sr_journal_shard_t *shards;
	GHashTable *runs;    /* run id -> sr_journal_entry_t, with orphans */
	GHashTable *tickets; /* ticket -> sr_waiter_t */
	sr_list_t waiters;
	sr_usec_t next_deadline; /* at or before the earliest of a waiter */
	gboolean draining;
	sr_usec_t last_tick;
	guint64 random; /* state of sr_journal_random() */
};

/** sr_journal_random - next number of the journal's own generator */
guint64 sr_journal_random(sr_journal_t *journal);

/**
 * sr_journal_shard_is_authoritative - TRUE if the table has every posting
 *
 * That is so while the lease is valid. After that it still is if the process
 * has not stalled since the lease began and no other holder was reported: then
 * the platform is unreachable, and no host can take over.
 */
gboolean sr_journal_shard_is_authoritative(const sr_journal_shard_t *shard,
					   sr_usec_t now);

/** sr_waiter_add - add a waiter for a submission to an entry */
void sr_waiter_add(sr_journal_t *journal, sr_journal_entry_t *entry,
		   const sr_journal_posting_t *posting);

/** sr_waiter_remove - remove and free a waiter without an answer */
void sr_waiter_remove(sr_journal_t *journal, sr_waiter_t *waiter);

/** sr_waiter_answer - answer one waiter, remove and free it */
void sr_waiter_answer(sr_journal_t *journal, sr_waiter_t *waiter,
		      const sr_journal_answer_t *answer);

/** sr_waiter_answer_all - answer, remove and free all waiters of an entry */
void sr_waiter_answer_all(sr_journal_t *journal, sr_journal_entry_t *entry,
			  const sr_journal_answer_t *answer);

/** sr_journal_shard_init - initialise a zeroed shard, which is not wanted yet
 */
void sr_journal_shard_init(sr_journal_t *journal, unsigned index);

/** sr_journal_shard_clear - free what a shard owns */
void sr_journal_shard_clear(sr_journal_shard_t *shard);

/** sr_journal_shard_tick - handle replies of the store and run what is due */
void sr_journal_shard_tick(sr_journal_shard_t *shard, sr_usec_t now);

/** sr_journal_shard_enqueue - queue a record of the entry and request a write
 * within delay */
void sr_journal_shard_enqueue(sr_journal_shard_t *shard, sr_usec_t now,
			      sr_journal_entry_t *entry,
			      sr_journal_record_kind_t kind, sr_usec_t delay);

/**
 * sr_journal_shard_run_ended - answer and record the end of a run
 *
 * Removes the entry from the runs, and frees it if it is orphaned.
 */
void sr_journal_shard_run_ended(sr_journal_shard_t *shard, sr_usec_t now,
				sr_journal_entry_t *entry,
				const sr_journal_run_result_t *result);

/**
 * sr_journal_shard_report_outcome - record the outcome of an unknown posting
 *
 * Account, key and run id of match identify the posting; its other fields are
 * not used. See sr_journal_report_outcome().
 */
void sr_journal_shard_report_outcome(sr_journal_shard_t *shard, sr_usec_t now,
				     const sr_journal_entry_t *match,
				     unsigned status, GBytes *result);

#endif
