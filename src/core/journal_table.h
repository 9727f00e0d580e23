#ifndef SR_CORE_JOURNAL_TABLE_H
#define SR_CORE_JOURNAL_TABLE_H

#include "base/list.h"
#include "core/journal_record.h"

/**
 * sr_journal_table_t - the postings of one shard, by account and key
 *
 * The table is the state that results from the records of the log. It counts
 * transitions that violate the order of states, in particular a posting that
 * is dispatched twice. The holder asserts that its own records cause none.
 */
typedef struct sr_journal_table sr_journal_table_t;

/** sr_entry_state_t - state of a posting after its last record */
typedef enum {
	SR_ENTRY_NEW, /* no record of it is in the log */
	SR_ENTRY_ACCEPTED,
	SR_ENTRY_DISPATCHED,
	SR_ENTRY_DONE,
	SR_ENTRY_UNKNOWN,
} sr_entry_state_t;

/** sr_journal_entry_t - one posting; members are owned */
typedef struct {
	sr_entry_state_t state; /* according to the log */
	char *account;
	char *key;
	char *service;
	guint64 hash[2]; /* of the request */
	guint64 run_id;
	guint64 epoch;	/* in which it was dispatched */
	sr_usec_t time; /* shard time of the last transition */
	guint64 number; /* of the batch with the last transition */
	unsigned status;
	GBytes *request;
	GBytes *result;

	/* The members below are used by the holder only. */
	sr_journal_record_kind_t pending; /* next record; 0 for none */
	gboolean in_flight;		  /* that record is being written */
	gboolean stored;		  /* the request is in the log */
	gboolean cancelled; /* withdraw it instead of running it */
	gboolean orphaned;  /* running, but the shard was lost */
	unsigned shard;
	gsize bytes; /* as counted by the table */
	unsigned attempts;
	sr_usec_t due;	    /* next attempt to run it or query its outcome */
	sr_usec_t deadline; /* of the run; 0 for the timeout of the route */
	sr_list_t queue;    /* link: record to write, or being written */
	sr_list_t work;	    /* link: to run, or outcome to query */
	sr_list_t expiry;   /* link: ended postings, oldest first */
	sr_list_t waiters;  /* of sr_waiter_t */
} sr_journal_entry_t;

/** sr_journal_table_new - create a table that keeps ended postings for the
 * retention time */
sr_journal_table_t *sr_journal_table_new(sr_usec_t retention);

/** sr_journal_table_free - free the table and its entries */
void sr_journal_table_free(sr_journal_table_t *table);

/** sr_journal_table_clear - remove and free all entries */
void sr_journal_table_clear(sr_journal_table_t *table);

/** sr_journal_table_find - look up an entry; NULL if there is none or it has
 * expired, in which case it is removed */
sr_journal_entry_t *sr_journal_table_find(sr_journal_table_t *table,
					  sr_usec_t time, const char *account,
					  const char *key);

/**
 * sr_journal_table_add - add a NEW entry, owned by the table
 *
 * There must be none with this account and key. Names are copied.
 */
sr_journal_entry_t *sr_journal_table_add(sr_journal_table_t *table,
					 const char *account, const char *key,
					 const char *service,
					 const guint64 *hash);

/** sr_journal_table_remove - remove one entry and free it */
void sr_journal_table_remove(sr_journal_table_t *table,
			     sr_journal_entry_t *entry);

/** sr_journal_table_steal - remove an entry, which the caller then owns */
void sr_journal_table_steal(sr_journal_table_t *table,
			    sr_journal_entry_t *entry);

/** sr_journal_entry_free - free an entry that has no waiters */
void sr_journal_entry_free(sr_journal_entry_t *entry);

/**
 * sr_journal_table_apply - apply a transition that is in the log
 *
 * Returns the entry, or NULL if it was withdrawn. A transition that may not
 * follow the entry's state leaves it UNKNOWN and is counted as a violation.
 */
sr_journal_entry_t *sr_journal_table_apply(sr_journal_table_t *table,
					   const sr_journal_record_t *record,
					   guint64 number);

/** sr_journal_table_load - replace an entry by the record of a segment */
void sr_journal_table_load(sr_journal_table_t *table,
			   const sr_journal_record_t *record);

/** sr_journal_table_mark_unknown - set the state to UNKNOWN, as the outcome was
 * lost; time and number are those of the batch that implies it */
void sr_journal_table_mark_unknown(sr_journal_table_t *table,
				   sr_journal_entry_t *entry, sr_usec_t time,
				   guint64 number);

/**
 * sr_journal_table_changes - records that a checkpoint must write
 *
 * Returns an array, owned by the caller, of what changed in batches above
 * base, withdrawn postings included, and of entries that are not newer than
 * dropped_until, whose segments are left out of the manifest.
 */
GPtrArray *sr_journal_table_changes(const sr_journal_table_t *table,
				    guint64 base, sr_usec_t dropped_until);

/** sr_journal_table_drop_tombstones - drop the withdrawn postings of the
 * batches up to base, which segments now contain */
void sr_journal_table_drop_tombstones(sr_journal_table_t *table, guint64 base);

/** sr_journal_table_expire - remove postings whose retention time has passed */
void sr_journal_table_expire(sr_journal_table_t *table, sr_usec_t time);

/**
 * sr_journal_entry_to_record - create a record of an entry
 *
 * Its kind is that of the entry's state if kind is 0. Owned by the caller.
 */
sr_journal_record_t *sr_journal_entry_to_record(const sr_journal_entry_t *entry,
						sr_journal_record_kind_t kind,
						sr_usec_t time);

/**
 * sr_journal_table_entries - all entries
 *
 * The caller owns the array; the entries stay owned by the table.
 */
GPtrArray *sr_journal_table_entries(const sr_journal_table_t *table);

/** sr_journal_table_size - number of entries */
guint sr_journal_table_size(const sr_journal_table_t *table);

/** sr_journal_table_bytes - estimated memory of all entries, in bytes */
gsize sr_journal_table_bytes(const sr_journal_table_t *table);

/** sr_journal_table_violations - number of invalid transitions applied */
guint64 sr_journal_table_violations(const sr_journal_table_t *table);

#endif
