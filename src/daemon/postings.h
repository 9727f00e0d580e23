#ifndef SR_DAEMON_POSTINGS_H
#define SR_DAEMON_POSTINGS_H

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/trace.h"
#include "core/config.h"
#include "core/dispatch.h"
#include "core/gossip.h"
#include "core/journal.h"
#include "core/store.h"
#include "peer/peer.h"
#include "http/client.h"

/**
 * sr_postings_t - runs the requests of routes that are not idempotent
 *
 * Such a request, a posting, reaches upstreams only through this module. The
 * postings of a client account are kept in the journal of the account's home
 * failure domain; a posting is forwarded to the entry host that holds its
 * shard. A posting with a given key runs at most once, whichever entry host
 * received it.
 */
typedef struct sr_postings sr_postings_t;

/** sr_executed_t - what is known about the run of a posting. */
typedef enum {
	SR_EXECUTED_NOT_RUN, /* it has not run and will not */
	SR_EXECUTED_RUN,     /* it ran; the answer is that of this run */
	SR_EXECUTED_UNKNOWN, /* it may have run */
	SR_EXECUTED_PENDING, /* durable; the answer will be stored by key */
} sr_executed_t;

/**
 * sr_posting_result_t - result of a submission; valid during the callback only
 *
 * If err is SR_OK, executed is SR_EXECUTED_RUN or SR_EXECUTED_PENDING. For
 * SR_EXECUTED_RUN, status, content_type and body are the upstream's answer;
 * for SR_EXECUTED_PENDING the posting is durable and nothing else is set. Any
 * other err is the reason why there is no answer.
 */
typedef struct {
	sr_err_t err;
	sr_executed_t executed;
	const char *detail; /* details of the error, or NULL */
	unsigned status;
	const char *content_type; /* or NULL */
	GBytes *body;		  /* borrowed; NULL for none */
	sr_usec_t retry_after;	  /* 0 if not known */
} sr_posting_result_t;

/** sr_posting_fn - receives the result of a submission. */
typedef void (*sr_posting_fn)(void *user, const sr_posting_result_t *result);

/**
 * sr_posting_t - a submission
 *
 * sr_postings_submit() copies or references everything but user.
 */
typedef struct {
	const char *account;
	const char *service;
	const char *route;
	const char *method;
	const char *path;	  /* with the query, as received */
	const char *content_type; /* or NULL */
	const char *key;	  /* idempotency key, unique in the account */
	const char *request_id;
	const char *traceparent; /* or NULL */
	GBytes *body;
	sr_usec_t deadline; /* absolute */
	gboolean async;	    /* return as soon as it is durable */
	sr_posting_fn done;
	void *user; /* passed to done */
} sr_posting_t;

/**
 * sr_postings_options_t - options of sr_postings_new()
 *
 * The strings are copied. The objects are borrowed and must outlive the
 * postings.
 */
typedef struct {
	sr_clock_t *clock;
	sr_log_t *log;
	sr_metrics_t *metrics;
	sr_trace_t *trace;
	sr_dispatch_t *dispatch;
	sr_http_client_t *upstream;
	sr_store_t *store;
	sr_gossip_t *gossip; /* NULL for a single host */
	sr_peer_t *peer;     /* NULL for a single host */
	const char *node;    /* name of this host */
	const char *failure_domain;
	guint64 seed;	     /* must differ between processes */
	sr_usec_t lease;     /* 0 for SR_JOURNAL_LEASE */
	sr_usec_t retention; /* 0 for SR_JOURNAL_RETENTION */
} sr_postings_options_t;

/** sr_postings_new - the caller owns the result. */
sr_postings_t *sr_postings_new(const sr_postings_options_t *options);

/** sr_postings_free - open submissions get no callback; NULL is allowed. */
void sr_postings_free(sr_postings_t *postings);

/** sr_postings_set_config - use this configuration; takes a reference. */
void sr_postings_set_config(sr_postings_t *postings, sr_config_t *config);

/**
 * sr_postings_submit_forwarded - run a posting that another entry host
 * forwarded
 *
 * The result goes to sr_peer_answer(). forward is valid during the call only.
 */
void sr_postings_submit_forwarded(sr_postings_t *postings,
				  sr_peer_request_t *request,
				  const sr_forward_t *forward);

/**
 * sr_postings_release - release all shards for shutdown
 *
 * A shard is released once its runs have ended, or at the deadline (absolute).
 * Postings for shards of other hosts are still forwarded.
 */
void sr_postings_release(sr_postings_t *postings, sr_usec_t deadline);

/** sr_postings_is_released - TRUE if the journal holds no shard any more. */
gboolean sr_postings_is_released(const sr_postings_t *postings);

/** sr_postings_journal - the journal, for inspection; owned by the postings. */
sr_journal_t *sr_postings_journal(sr_postings_t *postings);

/**
 * sr_postings_submit - run a posting at most once
 *
 * done is called exactly once, unless sr_postings_abandon() comes first: never
 * from inside this call, and at the latest shortly after the deadline.
 * postings must not be NULL; src/caller refuses postings on a host without a
 * journal.
 */
void sr_postings_submit(sr_postings_t *postings, const sr_posting_t *posting);

/**
 * sr_postings_abandon - drop the callbacks of a user pointer
 *
 * For a caller that disconnected. Its postings still run.
 */
void sr_postings_abandon(sr_postings_t *postings, void *user);

#endif
