#ifndef SR_CORE_DISPATCH_H
#define SR_CORE_DISPATCH_H

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"
#include "core/config.h"
#include "core/evidence.h"

/**
 * sr_dispatch_t - selects an upstream for each request or refuses it
 *
 * It owns the table of upstreams and, per service, the admission state, the
 * account limits, the traffic shares of versions and the retry budget. Entry
 * hosts have no request queue, because engines batch and prioritise requests
 * themselves. A request is therefore sent at once, or refused at once with
 * the delay after which the caller may retry.
 *
 * Not thread-safe. All times are sr_usec_t in microseconds, on the clock that
 * the caller passes as now.
 */
typedef struct sr_dispatch sr_dispatch_t;

/** sr_call_t - one admitted request, over all its attempts. */
typedef struct sr_call sr_call_t;

/** sr_call_options_t - a request; sr_dispatch_begin() copies what it keeps. */
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
	unsigned max_tokens;	/* upper estimate of generated tokens */
} sr_call_options_t;

/** sr_target_t - the upstream that an attempt is sent to. */
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

/** sr_decision_t - where to send a request, or why it is refused. */
typedef struct {
	sr_decision_kind_t kind;
	union {
		sr_target_t send;
		struct {
			sr_err_t err;
			sr_usec_t retry_after; /* delay before a retry */
		} refuse;
	} u;
} sr_decision_t;

/** sr_attempt_result_t - how an attempt at an upstream ended. */
typedef enum {
	SR_ATTEMPT_OK,
	SR_ATTEMPT_NOT_STARTED, /* no byte of the request was sent */
	SR_ATTEMPT_FAILED,	/* the upstream answered with an error */
	SR_ATTEMPT_BROKEN,	/* the connection closed before the end */
	SR_ATTEMPT_TIMED_OUT,
	SR_ATTEMPT_REFUSED,   /* the upstream did not run the request */
	SR_ATTEMPT_CANCELLED, /* the caller disconnected */
} sr_attempt_result_t;

/** sr_load_report_t - load that an upstream reported; arrives with a lag. */
typedef struct {
	unsigned running;
	unsigned waiting;
	double tokens_per_s;   /* per stream; 0 if unknown */
	sr_usec_t measured_at; /* time of measurement, on the local clock */
} sr_load_report_t;

typedef struct {
	const char *failure_domain; /* of this entry host; copied */
	guint64 seed;		    /* of the random number generator */
} sr_dispatch_options_t;

/** sr_dispatch_new - free the result with sr_dispatch_free(). */
sr_dispatch_t *sr_dispatch_new(const sr_dispatch_options_t *options);

/** sr_dispatch_free - every call must have been finished; NULL is allowed. */
void sr_dispatch_free(sr_dispatch_t *dispatch);

/**
 * sr_dispatch_set_observer - pass the result of each attempt to fn, such as
 * sr_evidence_record()
 *
 * Attempts that were refused or cancelled are left out, since they are no
 * evidence for or against a version. The observation is valid only during
 * the callback.
 */
void sr_dispatch_set_observer(sr_dispatch_t *dispatch,
			      void (*fn)(void *user, sr_usec_t now,
					 const sr_observation_t *observation),
			      void *user);

/** sr_dispatch_set_config - apply a new generation; keeps no reference. */
void sr_dispatch_set_config(sr_dispatch_t *dispatch, sr_usec_t now,
			    sr_config_t *config);

/** sr_dispatch_set_share - set a version's fraction of traffic, 0 to 1. */
void sr_dispatch_set_share(sr_dispatch_t *dispatch, const char *service,
			   const char *version, double share);

/**
 * sr_dispatch_recall - stop sending requests to a version
 *
 * A recall can't be undone: later shares and generations don't override it.
 */
void sr_dispatch_recall(sr_dispatch_t *dispatch, const char *service,
			const char *version);

/** sr_dispatch_set_leaving - send no new requests to the upstream. */
void sr_dispatch_set_leaving(sr_dispatch_t *dispatch, const char *upstream);

/** sr_dispatch_set_present - whether the host list contains the upstream. */
void sr_dispatch_set_present(sr_dispatch_t *dispatch, const char *upstream,
			     gboolean present);

/** sr_dispatch_is_gone - TRUE if leaving, not in the host list or unknown. */
gboolean sr_dispatch_is_gone(const sr_dispatch_t *dispatch,
			     const char *upstream);

/** sr_upstream_view_t - status of an upstream for operators; borrowed. */
typedef struct {
	const sr_target_t *target;
	const char *state;  /* "ready", "leaving", "absent" or "ejected" */
	unsigned in_flight; /* attempts of this entry host */
} sr_upstream_view_t;

/** sr_dispatch_foreach_upstream - view is valid only during the callback. */
void sr_dispatch_foreach_upstream(const sr_dispatch_t *dispatch, sr_usec_t now,
				  void (*fn)(void *user,
					     const sr_upstream_view_t *view),
				  void *user);

/**
 * sr_dispatch_foreach_usage - enumerate the requests in flight of this entry
 * host, for broadcast to the others
 *
 * scope is "SERVICE/ACCOUNT"; receivers pass it unchanged to
 * sr_dispatch_set_usage(). Broadcast every second: received counts expire
 * after 5 seconds.
 */
void sr_dispatch_foreach_usage(sr_dispatch_t *dispatch,
			       void (*fn)(void *user, const char *scope,
					  unsigned in_flight),
			       void *user);

/**
 * sr_dispatch_set_usage - record the requests in flight of another entry host
 * for a scope
 *
 * An unknown service or a malformed scope is ignored.
 */
void sr_dispatch_set_usage(sr_dispatch_t *dispatch, const char *scope,
			   const char *host, unsigned in_flight, sr_usec_t now);

/**
 * sr_dispatch_report_load - apply a load report of an upstream
 *
 * Reports of unknown upstreams and reports that are no newer than the last
 * one are ignored.
 */
void sr_dispatch_report_load(sr_dispatch_t *dispatch, const char *upstream,
			     const sr_load_report_t *report);

/**
 * sr_dispatch_cache_event - a prefix block was added to or evicted from the
 * upstream's cache
 *
 * sequence rises by 1 with each event of an upstream; a gap means that events
 * were lost.
 */
void sr_dispatch_cache_event(sr_dispatch_t *dispatch, const char *upstream,
			     guint64 sequence, guint64 block, gboolean added);

/**
 * sr_dispatch_begin - admit a request and select an upstream for it
 *
 * Returns the call and a decision to send, or NULL and a refusal. The call is
 * owned by the dispatcher until sr_dispatch_finish().
 */
sr_call_t *sr_dispatch_begin(sr_dispatch_t *dispatch, sr_usec_t now,
			     const sr_call_options_t *options,
			     sr_decision_t *decision);

/** sr_dispatch_first_token - the first byte of the answer was received. */
void sr_dispatch_first_token(sr_dispatch_t *dispatch, sr_usec_t now,
			     sr_call_t *call);

/**
 * sr_dispatch_attempt_ended - record the result of an attempt and decide on
 * a retry
 *
 * Returns TRUE and a decision to send if the request is retried. Otherwise
 * returns FALSE and the refusal for the caller, which is meaningful only if
 * result is not SR_ATTEMPT_OK. tokens is the number of answer tokens that the
 * caller has received over all attempts.
 */
gboolean sr_dispatch_attempt_ended(sr_dispatch_t *dispatch, sr_usec_t now,
				   sr_call_t *call, sr_attempt_result_t result,
				   unsigned tokens, sr_decision_t *decision);

/** sr_dispatch_finish - end a call and free it, also during an attempt. */
void sr_dispatch_finish(sr_dispatch_t *dispatch, sr_usec_t now,
			sr_call_t *call);

#endif
