#ifndef SR_PLATFORM_API_CLIENT_H
#define SR_PLATFORM_API_CLIENT_H

#include <glib.h>

#include "base/clock.h"
#include "core/store.h"

/**
 * sr_platform_t - client of the platform's HTTP API
 *
 * It implements an sr_store_t and sends plain requests to the other parts of
 * the API. All calls share one budget and are sent in the order of their
 * classes. While the platform counts as unavailable, calls end with
 * SR_STORE_NOT_DONE at once, except for probes.
 *
 * A write is never sent twice: if its answer is lost, it ends with
 * SR_STORE_UNKNOWN. A call that was certainly not sent ends with
 * SR_STORE_NOT_DONE.
 */
typedef struct sr_platform sr_platform_t;

typedef struct {
	const char *address; /* copied; IP:PORT */
	sr_clock_t *clock;   /* borrowed */
	guint64 seed;	     /* for jitter */
	double calls_per_s;  /* 0 for SR_PLATFORM_DEFAULT_RATE */
	double burst;	     /* in calls; 0 for SR_PLATFORM_DEFAULT_BURST */
	/* without long polls; 0 for SR_PLATFORM_DEFAULT_IN_FLIGHT */
	unsigned max_in_flight;
	/* per class; 0 for SR_PLATFORM_DEFAULT_QUEUED */
	unsigned max_queued;
	/* timeout of a call, and between two pieces of an answer; 0 for
	 * SR_PLATFORM_DEFAULT_TIMEOUT */
	sr_usec_t default_timeout;
	/* added to the timeout of a long poll before it counts as lost; 0 for
	 * SR_PLATFORM_DEFAULT_WATCH_GRACE */
	sr_usec_t watch_grace;
	/* longest delay between two probes; 0 for SR_BUDGET_BACKOFF_MAX */
	sr_usec_t backoff_max;
	/* response header with the era of the store, a number that grows when
	 * the store is restored from a copy; static, NULL if there is none */
	const char *era_header;
} sr_platform_options_t;

/** Calls per second, and calls that may be sent at once. */
#define SR_PLATFORM_DEFAULT_RATE 50.0
#define SR_PLATFORM_DEFAULT_BURST 50.0

#define SR_PLATFORM_DEFAULT_IN_FLIGHT 32
#define SR_PLATFORM_DEFAULT_QUEUED 256
#define SR_PLATFORM_DEFAULT_TIMEOUT (2 * SR_SEC)
#define SR_PLATFORM_DEFAULT_WATCH_GRACE (2 * SR_SEC)

/** Timeout of a watch, if its call has none. */
#define SR_PLATFORM_WATCH_TIMEOUT (30 * SR_SEC)

/** sr_platform_stats_t - counters since the start */
typedef struct {
	guint64 sent[SR_STORE_N_CLASSES];
	guint64 long_polls; /* included in sent */
	guint64 answered;
	guint64 conflicts; /* included in answered */
	guint64 throttled; /* answered with 429 or 503 */
	guint64 lost;	   /* timeout, broken connection or another 5xx */
	guint64 unsent;	   /* could not connect */
	guint64 refused;   /* ended before any attempt to send */
	guint64 bytes_in;  /* bodies only */
	guint64 bytes_out; /* bodies only */
} sr_platform_stats_t;

sr_platform_t *sr_platform_new(const sr_platform_options_t *options);

/** sr_platform_free - drop every call without a reply and free the client. */
void sr_platform_free(sr_platform_t *platform);

/** sr_platform_store - the store over the object API; borrowed. */
sr_store_t *sr_platform_store(sr_platform_t *platform);

/**
 * sr_platform_set_rate - set this node's part of the rate that the platform
 * allows to all nodes; at least 0.1 per second
 */
void sr_platform_set_rate(sr_platform_t *platform, double calls_per_s);

/** sr_platform_is_unavailable - whether the platform counts as unavailable. */
gboolean sr_platform_is_unavailable(const sr_platform_t *platform);

/** sr_platform_stats - the counters; borrowed. */
const sr_platform_stats_t *sr_platform_stats(const sr_platform_t *platform);

/**
 * sr_platform_answer_t - answer to a plain request
 *
 * http_status is 0 unless status is SR_STORE_OK; then it is any status but
 * 429 and 5xx. The body is never NULL and, like the answer, valid during the
 * callback only.
 */
typedef struct {
	sr_store_status_t status;
	unsigned http_status;
	GBytes *body;
	sr_usec_t retry_after; /* 0 if there is none */
	guint64 era;	       /* of the store; 0 if it is not known */
} sr_platform_answer_t;

typedef void (*sr_platform_fn)(void *user, const sr_platform_answer_t *answer);

typedef struct {
	const char *method;
	const char *path;	    /* with the query; begins with "/" */
	GBytes *body;		    /* JSON, or NULL */
	const char *const *headers; /* alternating names and values, ended by
				     * NULL; or NULL */
	sr_store_class_t class;
	sr_usec_t timeout;  /* 0 for the default */
	gboolean long_poll; /* a missing answer is then no failure */
	sr_platform_fn done;
	void *user;
} sr_platform_request_t;

/**
 * sr_platform_request - send a request to a part of the API outside /objects
 *
 * done is called exactly once, never from inside this call, unless the
 * request is cancelled. The fields of request are copied; body is referenced.
 */
void sr_platform_request(sr_platform_t *platform,
			 const sr_platform_request_t *request);

/** sr_platform_answered_at - time at which the answer began that a request or
 * call with a user pointer receives now; 0 if it receives none. */
sr_usec_t sr_platform_answered_at(const sr_platform_t *platform,
				  const void *user);

/**
 * sr_platform_cancel_all - drop all requests and calls with a user pointer
 *
 * Their callbacks are not called. A dropped write may still take effect.
 */
void sr_platform_cancel_all(sr_platform_t *platform, void *user);

#endif
