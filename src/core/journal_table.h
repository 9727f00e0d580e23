#ifndef SR_CORE_JOURNAL_TABLE_H
#define SR_CORE_JOURNAL_TABLE_H

#include "base/list.h"
#include "core/journal_record.h"

/**
 * sr_journal_table_t - the postings that one shard knows of, by account and
 * key
 *
 * The table follows the records of the log. It asserts for the holder's own
 * records, and checks for replayed ones, that a posting is dispatched at most
 * once.
 */
typedef struct sr_journal_table sr_journal_table_t;

typedef enum {
	SR_ENTRY_NEW, /* nothing of it is in the log */
	SR_ENTRY_ACCEPTED,
	SR_ENTRY_DISPATCHED,
	SR_ENTRY_DONE,
	SR_ENTRY_UNKNOWN,
} sr_entry_state_t;

typedef struct {
	sr_entry_state_t state; /* as the log has it */
	char *account;
	char *key;
	char *service;
	guint64 hash[2];
	guint64 run;
	guint64 epoch;
	sr_usec_t time; /* shard time of the last transition */
	guint64 number; /* of the batch with the last transition */
	unsigned status;
	GBytes *request;
	GBytes *result;

	/* The rest is used by the holder only. */
	sr_record_kind_t pending; /* record on its way; 0 for none */
	gboolean in_flight;	  /* that record is being written */
	gboolean stored;	  /* the request is in the log */
	gboolean cancelled;	  /* withdraw it instead of running it */
	gboolean orphaned;	  /* runs, but the shard was lost */
	unsigned shard;
	gsize bytes; /* as counted by the table */
	unsigned attempts;
	sr_usec_t due;	    /* next try to run it, or to ask for its outcome */
	sr_usec_t deadline; /* of the run; 0 for the route's own */
	sr_list_t queue;    /* records to write, or being written */
	sr_list_t work;	    /* to be run, or asked for */
	sr_list_t expiry;   /* ended, oldest first */
	sr_list_t waiters;
} sr_journal_entry_t;

sr_journal_table_t *sr_journal_table_new(sr_usec_t retention);
void sr_journal_table_free(sr_journal_table_t *table);

/** sr_journal_table_clear - forget everything. */
void sr_journal_table_clear(sr_journal_table_t *table);

/** sr_journal_table_find - NULL if there is none or it has expired. */
sr_journal_entry_t *sr_journal_table_find(sr_journal_table_t *table,
					  sr_usec_t time, const char *account,
					  const char *key);

/** sr_journal_table_add - a new entry; there must be none with its key. */
sr_journal_entry_t *sr_journal_table_add(sr_journal_table_t *table,
					 const char *account, const char *key,
					 const char *service,
					 const guint64 *hash);

/** sr_journal_table_remove - forget one entry and free it. */
void sr_journal_table_remove(sr_journal_table_t *table,
			     sr_journal_entry_t *entry);

/** sr_journal_table_steal - take an entry out; free it with _entry_free. */
void sr_journal_table_steal(sr_journal_table_t *table,
			    sr_journal_entry_t *entry);
void sr_journal_entry_free(sr_journal_entry_t *entry);

/**
 * sr_journal_table_apply - a transition is in the log
 *
 * Returns the entry, or NULL if it is gone. A transition that may not follow
 * the entry's state leaves it UNKNOWN and is counted.
 */
sr_journal_entry_t *sr_journal_table_apply(sr_journal_table_t *table,
					   const sr_record_t *record,
					   guint64 number);

/** sr_journal_table_load - a record of a segment: it replaces what was there.
 */
void sr_journal_table_load(sr_journal_table_t *table,
			   const sr_record_t *record);

/** sr_journal_table_lose - the outcome of a dispatched entry is not known. */
void sr_journal_table_lose(sr_journal_table_t *table, sr_journal_entry_t *entry,
			   sr_usec_t time, guint64 number);

/**
 * sr_journal_table_changes - what a checkpoint has to write
 *
 * Returns records (owned by the caller) of what changed in batches above base,
 * withdrawn postings too, and of what is alive and not newer than dropped.
 */
GPtrArray *sr_journal_table_changes(const sr_journal_table_t *table,
				    guint64 base, sr_usec_t dropped);

/** sr_journal_table_folded - batches up to base are in segments. */
void sr_journal_table_folded(sr_journal_table_t *table, guint64 base);

/** sr_journal_table_expire - forget what ended a retention time ago. */
void sr_journal_table_expire(sr_journal_table_t *table, sr_usec_t time);

/** sr_journal_entry_record - the entry's state, or kind if it is not 0. */
sr_record_t *sr_journal_entry_record(const sr_journal_entry_t *entry,
				     sr_record_kind_t kind, sr_usec_t time);

/** sr_journal_table_entries - all entries, owned by the caller (not deep). */
GPtrArray *sr_journal_table_entries(const sr_journal_table_t *table);

guint sr_journal_table_size(const sr_journal_table_t *table);
gsize sr_journal_table_bytes(const sr_journal_table_t *table);

/** sr_journal_table_violations - transitions that may not follow. */
guint64 sr_journal_table_violations(const sr_journal_table_t *table);

#endif
