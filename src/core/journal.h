#ifndef SR_CORE_JOURNAL_H
#define SR_CORE_JOURNAL_H

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"
#include "core/store.h"

/**
 * sr_journal_t - runs each posting at most once, whatever host fails when
 *
 * A posting is a request that may not be repeated; its client account and key
 * name it. Its shard follows from both and from the account's home failure
 * domain, never from the host that was called. One host holds a shard at a
 * time (see journal_log.h). A posting is in the log as DISPATCHED before the
 * first byte of it leaves, and only the process that wrote that record sends
 * it. A later holder may run what is ACCEPTED, never what is DISPATCHED.
 *
 * The module does no I/O. The shell calls sr_journal_tick() when it is woken
 * and at least every 10 ms. Callbacks may be called from within submit, tick,
 * run_ended and outcome; they must not call back into the journal, except
 * that run() may be followed by sr_journal_run_ended() from the main loop.
 */
typedef struct sr_journal sr_journal_t;

/** sr_journal_posting_t - borrowed during sr_journal_submit(). */
typedef struct {
	const char *account;
	const char *key;
	const char *service;
	GBytes *request;    /* opaque; kept until the posting has run */
	sr_usec_t deadline; /* of the caller, absolute */
	gboolean respond_async;
	void *ticket; /* names the caller in answer(); unique while open */
} sr_journal_posting_t;

typedef enum {
	SR_ANSWER_RESULT,   /* it ran: status and result */
	SR_ANSWER_ACCEPTED, /* it is durable and will be run or reported */
	SR_ANSWER_NOT_RUN, /* it has not run, nor will this submission run it */
	SR_ANSWER_UNKNOWN, /* it may have run, or may yet run */
} sr_answer_kind_t;

/** sr_journal_answer_t - borrowed during the callback. */
typedef struct {
	sr_answer_kind_t kind;
	sr_err_t err;	       /* NOT_RUN and UNKNOWN */
	sr_usec_t retry_after; /* 0 if there is no use in retrying */
	unsigned status;       /* RESULT */
	GBytes *result;	       /* RESULT; NULL if it was too large to keep */
} sr_journal_answer_t;

/** sr_journal_run_t - borrowed during the callback. */
typedef struct {
	guint64 run; /* names the run in sr_journal_run_ended() */
	guint64 epoch;
	const char *account;
	const char *key;
	const char *service;
	GBytes *request;
	sr_usec_t deadline; /* absolute; 0 for the route's own */
} sr_journal_run_t;

/** How a run ended. */
typedef enum {
	SR_RUN_ANSWERED,    /* status and result of the upstream */
	SR_RUN_NOT_STARTED, /* no byte was sent, or the upstream says so */
	SR_RUN_LOST,	    /* anything else: it may have run */
} sr_run_end_t;

typedef struct {
	sr_run_end_t end;
	sr_err_t err; /* NOT_STARTED and LOST */
	sr_usec_t retry_after;
	unsigned status;
	GBytes *result;
} sr_journal_run_result_t;

/** sr_journal_unknown_t - a posting whose outcome is not known. */
typedef struct {
	const char *account;
	const char *key;
	const char *service;
	guint64 run;
	sr_usec_t age;
} sr_journal_unknown_t;

typedef struct {
	sr_store_t *store;
	const char *node;
	const char *home;  /* failure domain whose shards these are */
	unsigned n_shards; /* of the home domain; fixed for its lifetime */
	guint64 seed;	   /* must differ between processes */
	sr_usec_t lease;
	sr_usec_t
		retention;  /* how long a key is kept after its posting ended */
	sr_usec_t interval; /* least time between writes of a shard */
	unsigned ring;	    /* slots of a shard's log; fixed as n_shards is */
	unsigned max_entries; /* of one shard */
	gsize max_bytes;      /* of one shard */

	void (*run)(void *user, const sr_journal_run_t *run);
	void (*answer)(void *user, void *ticket,
		       const sr_journal_answer_t *answer);
	/* ask the service for an outcome by key; may be NULL */
	void (*ask)(void *user, const sr_journal_unknown_t *unknown);
	/* can a posting of this service be sent now? NULL for always */
	gboolean (*has_capacity)(void *user, const char *service);
	/* may another node hold the shard? asked while the platform is out;
	   NULL for never */
	gboolean (*may_be_displaced)(void *user, unsigned shard, guint64 epoch);
	void (*owner_changed)(void *user, unsigned shard, guint64 epoch,
			      gboolean held);
	void (*wake)(void *user);
	void *user;
} sr_journal_options_t;

/** Defaults of the daemon. */
#define SR_JOURNAL_LEASE (5 * SR_SEC)
#define SR_JOURNAL_RETENTION (24 * SR_HOUR)
#define SR_JOURNAL_INTERVAL (65 * SR_MSEC)
#define SR_JOURNAL_RING 512
#define SR_JOURNAL_MAX_ENTRIES 100000
#define SR_JOURNAL_MAX_BYTES (24 * 1024 * 1024)
#define SR_JOURNAL_SHARDS 4

sr_journal_t *sr_journal_new(const sr_journal_options_t *options);

/** sr_journal_free - callers that still wait get no answer. */
void sr_journal_free(sr_journal_t *journal);

/** sr_journal_shard - the shard of a key among n_shards. */
unsigned sr_journal_shard(const char *account, const char *key,
			  unsigned n_shards);

/** sr_journal_want - membership says that this node should hold a shard. */
void sr_journal_want(sr_journal_t *journal, sr_usec_t now, unsigned shard,
		     gboolean want);

/** sr_journal_is_held - this node holds the shard as far as it knows. */
gboolean sr_journal_is_held(const sr_journal_t *journal, unsigned shard);

/**
 * sr_journal_submit - run a posting, once
 *
 * "Not run" is said only while this node knows every posting of the shard:
 * the submission may be a repetition of one that ran elsewhere.
 *
 * Every submission gets exactly one answer, unless it is abandoned first.
 */
void sr_journal_submit(sr_journal_t *journal, sr_usec_t now,
		       const sr_journal_posting_t *posting);

/** sr_journal_abandon - the caller went away; the posting goes on. */
void sr_journal_abandon(sr_journal_t *journal, void *ticket);

void sr_journal_run_ended(sr_journal_t *journal, sr_usec_t now, guint64 run,
			  const sr_journal_run_result_t *result);

/** sr_journal_outcome - the service told what became of an unknown one. */
void sr_journal_outcome(sr_journal_t *journal, sr_usec_t now,
			const char *account, const char *key, guint64 run,
			unsigned status, GBytes *result);

void sr_journal_tick(sr_journal_t *journal, sr_usec_t now);

/**
 * sr_journal_release - hand over all shards
 *
 * New postings are refused. A shard is given up once its runs have ended, or
 * when limit (absolute) has passed.
 */
void sr_journal_release(sr_journal_t *journal, sr_usec_t now, sr_usec_t limit);

/** sr_journal_is_released - no shard is held or being written any more. */
gboolean sr_journal_is_released(const sr_journal_t *journal);

void sr_journal_foreach_unknown(sr_journal_t *journal, sr_usec_t now,
				void (*fn)(void *user,
					   const sr_journal_unknown_t *unknown),
				void *user);

typedef struct {
	guint64 writes;	    /* objects written to the platform */
	guint64 violations; /* transitions in the log that may not follow */
	guint entries;
	gsize bytes;
	guint unknown;
	guint held;
} sr_journal_stats_t;

void sr_journal_stats(sr_journal_t *journal, sr_journal_stats_t *stats);

#endif
