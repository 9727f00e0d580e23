#ifndef SR_PLATFORM_API_CLIENT_H
#define SR_PLATFORM_API_CLIENT_H

#include <glib.h>

#include "base/clock.h"
#include "core/store.h"

/**
 * sr_platform_t - client of the platform's HTTP API
 *
 * It backs an sr_store_t and gives plain requests to the other parts of the
 * API. All calls share one budget and go in the order of their classes. While
 * the platform counts as out, calls are answered NOT_DONE at once.
 *
 * A write is never sent twice: one whose answer is lost is reported as
 * SR_STORE_UNKNOWN. A call that was certainly not sent is NOT_DONE.
 */
typedef struct sr_platform sr_platform_t;

typedef struct {
	const char *url; /* e.g. "http://127.0.0.1:8500" */
	sr_clock_t *clock;
	guint64 seed;		 /* of the jitter */
	double calls_per_s;	 /* 0 for SR_PLATFORM_RATE */
	double burst;		 /* 0 for SR_PLATFORM_BURST */
	unsigned max_in_flight;	 /* 0 for SR_PLATFORM_IN_FLIGHT */
	unsigned max_queued;	 /* per class; 0 for SR_PLATFORM_QUEUED */
	sr_usec_t default_limit; /* of a call; 0 for SR_PLATFORM_TIMEOUT */
	sr_usec_t watch_grace;	 /* beyond the time that a watch was to wait;
				  * 0 for SR_PLATFORM_WATCH_GRACE */
	sr_usec_t backoff_max;	 /* between two probes of an outage; 0 for
				  * SR_BUDGET_BACKOFF_MAX */
} sr_platform_options_t;

#define SR_PLATFORM_RATE 50.0
#define SR_PLATFORM_BURST 50.0
#define SR_PLATFORM_IN_FLIGHT 32
#define SR_PLATFORM_QUEUED 256
#define SR_PLATFORM_TIMEOUT (2 * SR_SEC)
#define SR_PLATFORM_WATCH_GRACE (2 * SR_SEC)
/** How long a watch waits on the platform if the call names no time. */
#define SR_PLATFORM_WATCH (30 * SR_SEC)

/** Counters since the start. */
typedef struct {
	guint64 sent[SR_STORE_N_CLASSES];
	guint64 watches; /* among those sent */
	guint64 answered;
	guint64 conflicts;
	guint64 throttled; /* 429 and 503 */
	guint64 lost;	   /* timeout, broken connection or other 5xx */
	guint64 unsent;	   /* could not connect */
	guint64 refused;   /* by the budget, without being sent */
	guint64 bytes_in;  /* bodies only */
	guint64 bytes_out; /* bodies only */
} sr_platform_stats_t;

sr_platform_t *sr_platform_new(const sr_platform_options_t *options);

/** sr_platform_free - drops every call without a reply. */
void sr_platform_free(sr_platform_t *platform);

/** sr_platform_store - the object API; owned by the platform client. */
sr_store_t *sr_platform_store(sr_platform_t *platform);

/** sr_platform_set_rate - this node's share of the platform's rate. */
void sr_platform_set_rate(sr_platform_t *platform, double calls_per_s);

/** sr_platform_is_out - TRUE while calls are refused at once. */
gboolean sr_platform_is_out(const sr_platform_t *platform);

const sr_platform_stats_t *sr_platform_stats(const sr_platform_t *platform);

/**
 * sr_platform_answer_t - answer to a plain request
 *
 * http_status is 0 unless status is SR_STORE_OK; then any status but 429 and
 * 5xx can occur. The body is borrowed and never NULL.
 */
typedef struct {
	sr_store_status_t status;
	unsigned http_status;
	GBytes *body;
	sr_usec_t retry_after;
} sr_platform_answer_t;

typedef void (*sr_platform_fn)(void *user, const sr_platform_answer_t *answer);

typedef struct {
	const char *method;
	const char *path;	    /* with the query; begins with "/" */
	GBytes *body;		    /* JSON, or NULL */
	const char *const *headers; /* names and values by turns, ended by
				     * NULL; or NULL */
	sr_store_class_t class;
	sr_usec_t timeout; /* 0 for the default */
	gboolean waits;	   /* a long poll: its silence is no failure */
	sr_platform_fn done;
	void *user;
} sr_platform_request_t;

/**
 * sr_platform_request - send a request that is not of the object API
 *
 * It is answered once and never from inside this call.
 */
void sr_platform_request(sr_platform_t *platform,
			 const sr_platform_request_t *request);

/** sr_platform_cancel_all - drop the requests and calls of a user pointer. */
void sr_platform_cancel_all(sr_platform_t *platform, void *user);

#endif
