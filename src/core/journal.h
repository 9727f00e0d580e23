#ifndef SR_CORE_JOURNAL_H
#define SR_CORE_JOURNAL_H

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"
#include "core/store.h"

/**
 * sr_journal_t - runs each posting at most once, even if hosts fail
 *
 * A posting is a request that must not be repeated; its client account and
 * key identify it. Its shard depends on these two and on the account's home
 * failure domain, not on the entry host that received it. One host holds a
 * shard at a time, see core/journal_log.h.
 *
 * The log of the shard records a posting as DISPATCHED before its first byte
 * is sent to the upstream, and only the process that wrote that record sends
 * it. A later holder may run a posting that is ACCEPTED, but not one that is
 * DISPATCHED.
 *
 * The module does no I/O. The daemon calls sr_journal_tick() after wake() and
 * at least every 10 ms. Callbacks may run inside sr_journal_submit(),
 * sr_journal_tick(), sr_journal_run_ended(), sr_journal_release() and
 * sr_journal_report_outcome(). They must not call back into the journal; a run
 * that ends at once is reported from the main loop, after run() returns.
 */
typedef struct sr_journal sr_journal_t;

/** sr_journal_posting_t - a submission; borrowed by sr_journal_submit() */
typedef struct {
	const char *account;
	const char *key;
	const char *service;
	GBytes *request;    /* opaque; referenced until the posting has run */
	sr_usec_t deadline; /* of the caller, absolute */
	gboolean respond_async; /* answer as soon as the posting is durable */
	void *ticket; /* identifies the caller in answer(); unique while open */
} sr_journal_posting_t;

/** sr_answer_kind_t - what an answer says about the posting */
typedef enum {
	SR_ANSWER_RESULT,   /* it ran: status and result */
	SR_ANSWER_ACCEPTED, /* it is durable and will be run or reported */
	SR_ANSWER_NOT_RUN,  /* it has not run; this submission won't run it */
	SR_ANSWER_UNKNOWN,  /* it may have run, or may run later */
} sr_answer_kind_t;

/** sr_journal_answer_t - reply to a submission; valid during answer() only */
typedef struct {
	sr_answer_kind_t kind;
	sr_err_t err;	       /* NOT_RUN and UNKNOWN */
	sr_usec_t retry_after; /* 0 if a retry is of no use */
	unsigned status;       /* RESULT */
	GBytes *result;	       /* RESULT; NULL if it was too large to store */
} sr_journal_answer_t;

/** sr_journal_run_t - a posting to send; valid during run() only */
typedef struct {
	guint64 run_id; /* id to pass to sr_journal_run_ended() */
	guint64 epoch;
	const char *account;
	const char *key;
	const char *service;
	GBytes *request;
	sr_usec_t deadline; /* absolute; 0 for the timeout of the route */
} sr_journal_run_t;

/** sr_run_end_t - how a run ended */
typedef enum {
	SR_RUN_ANSWERED,    /* the upstream returned a status and a result */
	SR_RUN_NOT_STARTED, /* no byte was sent, or the upstream reported that
			     * it did not run */
	SR_RUN_UNKNOWN,	    /* anything else: it may have run */
} sr_run_end_t;

/** sr_journal_run_result_t - borrowed by sr_journal_run_ended() */
typedef struct {
	sr_run_end_t end;
	sr_err_t err;	       /* NOT_STARTED and UNKNOWN */
	sr_usec_t retry_after; /* 0 for none */
	unsigned status;       /* ANSWERED */
	GBytes *result;	       /* ANSWERED; may be NULL */
} sr_journal_run_result_t;

/** sr_journal_unknown_t - a posting whose outcome is not known */
typedef struct {
	const char *account;
	const char *key;
	const char *service;
	guint64 run_id; /* id of the run */
	sr_usec_t age;	/* time since the outcome became unknown */
} sr_journal_unknown_t;

/** sr_journal_options_t - copied by sr_journal_new() */
typedef struct {
	sr_store_t *store;	  /* borrowed; must outlive the journal */
	const char *node;	  /* name of this host; copied */
	const char *home;	  /* failure domain of the shards; copied */
	unsigned n_shards;	  /* of the failure domain; must never change */
	guint64 seed;		  /* must differ between processes */
	sr_usec_t lease;	  /* duration of the lease of a shard */
	sr_usec_t retention;	  /* of a key, from the end of its posting */
	sr_usec_t write_interval; /* shortest time between writes of a shard */
	unsigned ring_slots;	  /* log slots of a shard; must never change */
	unsigned max_entries;	  /* of one shard */
	gsize max_bytes;	  /* of one shard, in memory */

	/* send a posting; ends with sr_journal_run_ended() */
	void (*run)(void *user, const sr_journal_run_t *run);
	void (*answer)(void *user, void *ticket,
		       const sr_journal_answer_t *answer);
	/* query the service for the outcome of a key; NULL for none. The
	 * reply goes to sr_journal_report_outcome() */
	void (*query_outcome)(void *user, const sr_journal_unknown_t *unknown);
	/* TRUE if a posting of this service can be sent now; NULL for always */
	gboolean (*has_capacity)(void *user, const char *service);
	/* TRUE if another host may hold the shard; called if the lease has
	 * expired without a renewal, as in an outage of the platform; NULL for
	 * never */
	gboolean (*may_be_displaced)(void *user, unsigned shard, guint64 epoch);
	/* the shard was acquired or lost; may be NULL */
	void (*owner_changed)(void *user, unsigned shard, guint64 epoch,
			      gboolean held);
	/* a reply of the store arrived; call sr_journal_tick() soon */
	void (*wake)(void *user);
	void *user; /* passed to all callbacks */
} sr_journal_options_t;

/** Defaults of the daemon. */
#define SR_JOURNAL_LEASE (5 * SR_SEC)
#define SR_JOURNAL_RETENTION (24 * SR_HOUR)
#define SR_JOURNAL_WRITE_INTERVAL (65 * SR_MSEC)
#define SR_JOURNAL_RING_SLOTS 512
#define SR_JOURNAL_MAX_ENTRIES 100000
#define SR_JOURNAL_MAX_BYTES (24 * 1024 * 1024)
#define SR_JOURNAL_N_SHARDS 4

/** sr_journal_new - create a journal that holds no shard yet */
sr_journal_t *sr_journal_new(const sr_journal_options_t *options);

/** sr_journal_free - waiting callers get no answer; NULL is allowed */
void sr_journal_free(sr_journal_t *journal);

/** sr_journal_shard_index - index of the shard of a key, below n_shards */
unsigned sr_journal_shard_index(const char *account, const char *key,
				unsigned n_shards);

/**
 * sr_journal_set_wanted - claim a shard and keep it, or leave it to others
 *
 * A shard that is no longer wanted is released once its runs have ended or
 * a time limit has passed. Ignored after sr_journal_release().
 */
void sr_journal_set_wanted(sr_journal_t *journal, sr_usec_t now, unsigned index,
			   gboolean wanted);

/**
 * sr_journal_is_held - TRUE if this host is the last known holder
 *
 * The lease may have expired and another host may have taken over.
 */
gboolean sr_journal_is_held(const sr_journal_t *journal, unsigned shard);

/**
 * sr_journal_submit - run a posting at most once
 *
 * Every submission gets exactly one answer(), possibly before the call
 * returns, unless it is abandoned first. A submission that repeats
 * a key gets the stored result or waits for the posting of that key; with
 * another request it is refused with SR_ERR_KEY_REUSED.
 *
 * For a key that is not in the table of the shard, SR_ANSWER_NOT_RUN is given
 * only while that table is certain to be complete, since the submission may
 * repeat one that ran on another host. Otherwise it is SR_ANSWER_UNKNOWN.
 */
void sr_journal_submit(sr_journal_t *journal, sr_usec_t now,
		       const sr_journal_posting_t *posting);

/** sr_journal_abandon - drop the answer to a submission; its posting goes on */
void sr_journal_abandon(sr_journal_t *journal, void *ticket);

/** sr_journal_run_ended - report the end of a run; once for each run() */
void sr_journal_run_ended(sr_journal_t *journal, sr_usec_t now, guint64 run_id,
			  const sr_journal_run_result_t *result);

/**
 * sr_journal_report_outcome - report the outcome of an unknown posting
 *
 * Ignored unless the shard is held and the posting of this run is unknown.
 */
void sr_journal_report_outcome(sr_journal_t *journal, sr_usec_t now,
			       const char *account, const char *key,
			       guint64 run_id, unsigned status, GBytes *result);

/** sr_journal_tick - handle replies of the store and run what is due */
void sr_journal_tick(sr_journal_t *journal, sr_usec_t now);

/**
 * sr_journal_release - release all shards for shutdown
 *
 * New postings are refused. A shard is released once its runs have ended, or
 * at the deadline (absolute).
 */
void sr_journal_release(sr_journal_t *journal, sr_usec_t now,
			sr_usec_t deadline);

/** sr_journal_is_released - TRUE if no shard is held, read or written */
gboolean sr_journal_is_released(const sr_journal_t *journal);

/** sr_journal_foreach_unknown - call fn for each posting of a held shard whose
 * outcome is unknown */
void sr_journal_foreach_unknown(sr_journal_t *journal, sr_usec_t now,
				void (*fn)(void *user,
					   const sr_journal_unknown_t *unknown),
				void *user);

/** sr_journal_stats_t - totals of all shards */
typedef struct {
	guint64 writes;	    /* batches written to the log */
	guint64 violations; /* invalid transitions found in the log */
	guint entries;
	gsize bytes; /* of the entries, in memory */
	guint unknown;
	guint held; /* shards */
} sr_journal_stats_t;

/** sr_journal_stats - set stats to the current totals */
void sr_journal_stats(sr_journal_t *journal, sr_journal_stats_t *stats);

#endif
