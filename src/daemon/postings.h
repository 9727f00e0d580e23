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
#include "upstream/client.h"

/**
 * sr_postings_t - runs the requests of routes that are not idempotent
 *
 * It is the only way such a request reaches an upstream. A key is run at most
 * once, whichever entry host it came in through.
 */
typedef struct sr_postings sr_postings_t;

/** What is known about the run of a request. */
typedef enum {
	SR_EXECUTED_NOT_RUN, /* certainly not, and it never will be */
	SR_EXECUTED_RUN,     /* the answer is that of the one run */
	SR_EXECUTED_UNKNOWN, /* it may have run */
	SR_EXECUTED_PENDING, /* durable; the answer is kept under its key */
} sr_executed_t;

/**
 * sr_posting_result_t - how a posting ended; valid during the callback only
 *
 * With err SR_OK and executed SR_EXECUTED_RUN the upstream's answer is in
 * status, content_type and body. With err SR_OK and SR_EXECUTED_PENDING the
 * request is durable and nothing else is set. Any other err is the refusal.
 */
typedef struct {
	sr_err_t err;
	sr_executed_t executed;
	const char *detail; /* what exactly went wrong, or NULL */
	unsigned status;
	const char *content_type; /* or NULL */
	GBytes *body;		  /* borrowed; NULL for none */
	sr_usec_t retry_after;	  /* 0 for none */
} sr_posting_result_t;

typedef void (*sr_posting_fn)(void *user, const sr_posting_result_t *result);

/** sr_posting_t - one request; everything is copied or referenced. */
typedef struct {
	const char *account;
	const char *service;
	const char *route;
	const char *method;
	const char *path;	  /* with the query, as the caller sent it */
	const char *content_type; /* or NULL */
	const char *key;	  /* idempotency key */
	const char *request_id;
	const char *traceparent; /* or NULL */
	GBytes *body;
	sr_usec_t deadline; /* absolute */
	gboolean async;	    /* report as soon as it is durable */
	sr_posting_fn done;
	void *user;
} sr_posting_t;

/** sr_postings_options_t - all parts outlive the postings. */
typedef struct {
	sr_clock_t *clock;
	sr_log_t *log;
	sr_metrics_t *metrics;
	sr_trace_t *trace;
	sr_dispatch_t *dispatch;
	sr_upstream_client_t *upstream;
	sr_store_t *store;
	sr_gossip_t *gossip; /* NULL for a host that is alone */
	sr_peer_t *peer;     /* NULL for a host that is alone */
	const char *node;
	const char *failure_domain;
	guint64 seed;	     /* must differ between processes */
	sr_usec_t lease;     /* 0 for SR_JOURNAL_LEASE */
	sr_usec_t retention; /* 0 for SR_JOURNAL_RETENTION */
} sr_postings_options_t;

sr_postings_t *sr_postings_new(const sr_postings_options_t *options);

/** sr_postings_free - callers that still wait are not called back. */
void sr_postings_free(sr_postings_t *postings);

/** sr_postings_set_config - a new generation is in force. */
void sr_postings_set_config(sr_postings_t *postings, sr_config_t *config);

/** sr_postings_serve - another entry host forwarded a posting. */
void sr_postings_serve(sr_postings_t *postings, sr_peer_request_t *request,
		       const sr_forward_t *forward);

/**
 * sr_postings_release - stop taking postings and hand over the shards
 *
 * A shard is handed over once its runs have ended, at the latest at limit
 * (absolute). Postings for other hosts are still forwarded.
 */
void sr_postings_release(sr_postings_t *postings, sr_usec_t limit);
gboolean sr_postings_is_released(const sr_postings_t *postings);

/** sr_postings_journal - to inspect; owned by the postings. */
sr_journal_t *sr_postings_journal(sr_postings_t *postings);

/**
 * sr_postings_submit - run a posting at most once
 *
 * done is called exactly once, never from inside this call, and at the latest
 * shortly after the deadline, unless sr_postings_forget() comes first.
 * postings is never NULL: without one the caller package refuses.
 */
void sr_postings_submit(sr_postings_t *postings, const sr_posting_t *posting);

/**
 * sr_postings_forget - the caller went away
 *
 * Drops the callbacks of one user pointer; the postings themselves go on.
 */
void sr_postings_forget(sr_postings_t *postings, void *user);

#endif
