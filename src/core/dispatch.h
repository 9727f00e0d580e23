#ifndef SR_CORE_DISPATCH_H
#define SR_CORE_DISPATCH_H

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"
#include "core/config.h"
#include "core/evidence.h"

/**
 * sr_dispatch_t - decides for each request which upstream runs it, or that it
 * is refused
 *
 * It holds the table of upstreams, admission, routing, account limits, the
 * split between versions and the retry budget. Entry hosts keep no queue:
 * engines batch and order by priority, so a request is either sent at once or
 * refused at once with the time to come back.
 */
typedef struct sr_dispatch sr_dispatch_t;

/** sr_call_t - one request from admission to its end. */
typedef struct sr_call sr_call_t;

typedef struct {
	const sr_service_config_t *service;
	const sr_route_config_t *route;
	const sr_account_config_t *account;
	sr_priority_t priority;
	sr_usec_t deadline; /* absolute */
	gboolean idempotent;
	const guint64 *blocks; /* hashes of prompt prefixes, shortest first */
	unsigned n_blocks;
	unsigned prompt_tokens; /* estimate */
	unsigned max_tokens;	/* estimate of what is generated */
} sr_call_options_t;

typedef struct {
	char name[64];
	char address[64]; /* IP:PORT */
	char service[64];
	char version[64];
	char failure_domain[64];
} sr_target_t;

typedef enum {
	SR_DECISION_SEND,
	SR_DECISION_REFUSE,
} sr_decision_kind_t;

typedef struct {
	sr_decision_kind_t kind;
	union {
		sr_target_t send;
		struct {
			sr_err_t err;
			sr_usec_t retry_after;
		} refuse;
	} u;
} sr_decision_t;

/** How an attempt at an upstream ended. */
typedef enum {
	SR_ATTEMPT_OK,
	SR_ATTEMPT_NOT_STARTED, /* no byte of the request was sent */
	SR_ATTEMPT_FAILED,	/* the upstream answered with a failure */
	SR_ATTEMPT_BROKEN,	/* the connection ended in the middle */
	SR_ATTEMPT_TIMED_OUT,
	SR_ATTEMPT_REFUSED,   /* the upstream said it did not run it */
	SR_ATTEMPT_CANCELLED, /* the caller went away */
} sr_attempt_end_t;

/** Load of an upstream as it reports it, with a lag. */
typedef struct {
	unsigned running;
	unsigned waiting;
	double tokens_per_s; /* of one stream; 0 if not known */
	sr_usec_t measured;  /* when the upstream measured it, our clock */
} sr_load_report_t;

typedef struct {
	const char *failure_domain; /* of this entry host */
	guint64 seed;		    /* of the random choices */
} sr_dispatch_options_t;

sr_dispatch_t *sr_dispatch_new(const sr_dispatch_options_t *options);
void sr_dispatch_free(sr_dispatch_t *dispatch);

/**
 * sr_dispatch_set_observer - what each attempt came to goes to fn, e.g. to
 * sr_evidence_record(); attempts that say nothing of a version don't
 */
void sr_dispatch_set_observer(sr_dispatch_t *dispatch,
			      void (*fn)(void *user, sr_usec_t now,
					 const sr_observation_t *seen),
			      void *user);

/** sr_dispatch_set_config - a new generation is in force. */
void sr_dispatch_set_config(sr_dispatch_t *dispatch, sr_usec_t now,
			    sr_config_t *config);

/** sr_dispatch_set_share - the share of traffic of a version, 0 to 1. */
void sr_dispatch_set_share(sr_dispatch_t *dispatch, const char *service,
			   const char *version, double share);

/** sr_dispatch_recall - no request for this version any more; grow-only. */
void sr_dispatch_recall(sr_dispatch_t *dispatch, const char *service,
			const char *version);

/** sr_dispatch_set_leaving - no new work for this upstream from now on. */
void sr_dispatch_set_leaving(sr_dispatch_t *dispatch, const char *upstream);

/** sr_dispatch_set_present - the host list gained or lost an upstream. */
void sr_dispatch_set_present(sr_dispatch_t *dispatch, const char *upstream,
			     gboolean present);

/** sr_dispatch_is_gone - leaving, absent from the host list, or unknown. */
gboolean sr_dispatch_is_gone(const sr_dispatch_t *dispatch,
			     const char *upstream);

/** sr_upstream_view_t - an upstream as operators see it; borrowed. */
typedef struct {
	const sr_target_t *target;
	const char *state;  /* "ready", "leaving", "absent" or "ejected" */
	unsigned in_flight; /* of this entry host */
} sr_upstream_view_t;

void sr_dispatch_foreach_upstream(const sr_dispatch_t *dispatch, sr_usec_t now,
				  void (*fn)(void *user,
					     const sr_upstream_view_t *view),
				  void *user);

/**
 * sr_dispatch_foreach_usage - requests in flight here, to tell other nodes
 *
 * scope is "SERVICE/ACCOUNT"; the others hand it to sr_dispatch_set_usage()
 * as it is. Tell it every second: what was heard expires after five.
 */
void sr_dispatch_foreach_usage(sr_dispatch_t *dispatch,
			       void (*fn)(void *user, const char *scope,
					  unsigned in_flight),
			       void *user);

/** sr_dispatch_set_usage - requests in flight of a scope at another node. */
void sr_dispatch_set_usage(sr_dispatch_t *dispatch, const char *scope,
			   const char *node, unsigned in_flight, sr_usec_t now);

void sr_dispatch_report_load(sr_dispatch_t *dispatch, const char *upstream,
			     const sr_load_report_t *report);

/** sr_dispatch_cache_event - a prefix block was added or evicted. */
void sr_dispatch_cache_event(sr_dispatch_t *dispatch, const char *upstream,
			     guint64 sequence, guint64 block, gboolean added);

/**
 * sr_dispatch_begin - decide on a request
 *
 * Returns the call if the decision is to send it, else NULL. The call is
 * owned by the dispatcher until sr_dispatch_finish().
 */
sr_call_t *sr_dispatch_begin(sr_dispatch_t *dispatch, sr_usec_t now,
			     const sr_call_options_t *options,
			     sr_decision_t *decision);

/** sr_dispatch_first_token - the first byte of an answer came back. */
void sr_dispatch_first_token(sr_dispatch_t *dispatch, sr_usec_t now,
			     sr_call_t *call);

/**
 * sr_dispatch_attempt_ended - the attempt is over; is there another one?
 *
 * Returns TRUE and a decision to send if the request is tried again, FALSE if
 * it is over; the decision then holds the refusal for the caller, and is only
 * meaningful if end is not SR_ATTEMPT_OK. tokens is how many tokens of the
 * answer the caller has received so far over all attempts.
 */
gboolean sr_dispatch_attempt_ended(sr_dispatch_t *dispatch, sr_usec_t now,
				   sr_call_t *call, sr_attempt_end_t end,
				   unsigned tokens, sr_decision_t *decision);

/** sr_dispatch_finish - the call is over; frees it. */
void sr_dispatch_finish(sr_dispatch_t *dispatch, sr_usec_t now,
			sr_call_t *call);

#endif
