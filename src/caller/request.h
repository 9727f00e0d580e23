#ifndef SR_CALLER_REQUEST_H
#define SR_CALLER_REQUEST_H

#include <libsoup/soup.h>

#include "base/list.h"
#include "base/problem.h"
#include "caller/connection.h"
#include "caller/server.h"

/**
 * Internal to the package: one request of a caller, from its header to the
 * last byte of its answer.
 */

/** Bytes of an answer that wait for the caller before reading is paused. */
#define SR_ANSWER_HIGH (64 * 1024)
#define SR_ANSWER_LOW (16 * 1024)

typedef struct sr_relay sr_relay_t;

typedef enum {
	SR_ANSWER_NONE,	  /* nothing is decided */
	SR_ANSWER_OPEN,	  /* the header is out, the body is being written */
	SR_ANSWER_CLOSED, /* complete, or cut off for good */
} sr_answer_state_t;

/** sr_caller_meters_t - series without labels of their own. */
typedef struct {
	sr_gauge_t *requests;
	sr_gauge_t *buffered;
	sr_counter_t *tokens;
	sr_counter_t *resumed;
	sr_counter_t *broken;
	sr_counter_t *gone;
	sr_histogram_t *first_byte;
} sr_caller_meters_t;

struct sr_caller {
	sr_caller_options_t options;
	SoupServer *server;
	sr_listener_t *listener;
	sr_config_t *config;
	sr_postings_t *postings;
	sr_list_t requests;
	unsigned n_requests;
	gsize buffered; /* bytes of bodies and answers held */
	GRand *rand;
	gboolean draining;
	gboolean stopped;
	sr_timer_fn idle;
	void *idle_user;
	sr_timer_t *idle_timer;
	sr_caller_meters_t meters;
};

typedef struct {
	sr_list_t link;
	sr_caller_t *caller;
	SoupServerMessage *message;
	sr_connection_t *connection;
	GSource *hangup;
	sr_timer_t *timer; /* of the body, then the deadline */
	char id[33];
	sr_usec_t arrived;
	sr_trace_context_t context; /* of the span */
	sr_span_t *span;

	sr_config_t *config; /* what the following point into */
	const sr_service_config_t *service;
	const sr_route_config_t *route;
	const sr_account_config_t *account;
	sr_priority_t priority;
	sr_usec_t deadline; /* absolute */
	gboolean async;

	GByteArray *received; /* the body so far */
	gsize discarded;      /* bytes of the body that were thrown away */
	GBytes *body;	      /* the whole body */

	sr_answer_state_t answer;
	gboolean running;	   /* the message was paused once */
	gboolean cut_when_written; /* it is broken */
	gsize queued; /* bytes of the answer that wait for the caller */
	sr_err_t err; /* for logs and metrics */

	sr_relay_t *relay; /* an idempotent request under way */
	gboolean posted;   /* a posting under way */
} sr_request_t;

/** sr_request_new - called when the header is there. */
sr_request_t *sr_request_new(sr_caller_t *caller, SoupServerMessage *message);

/**
 * sr_request_check - authenticate, and find service, route and limits
 *
 * Returns FALSE if the request was refused.
 */
gboolean sr_request_check(sr_request_t *request);

/** sr_request_path - path and query as sent; caller frees. */
char *sr_request_path(const sr_request_t *request);

/** sr_request_header - a header field of the caller, or NULL. */
const char *sr_request_header(const sr_request_t *request, const char *name);

/** sr_request_run - the body is whole: decide and send. */
void sr_request_run(sr_request_t *request);

/** sr_request_free - the answer is written, or the caller is gone. */
void sr_request_free(sr_request_t *request);

/* The answer. */

/** sr_answer_begin - send the header; length -1 is not known. */
void sr_answer_begin(sr_request_t *request, unsigned status, gint64 length);

/** sr_answer_write - send a part of the body, between begin and end. */
void sr_answer_write(sr_request_t *request, const void *data, gsize size);

/** sr_answer_end - the answer is complete. */
void sr_answer_end(sr_request_t *request);

/** sr_answer_whole - send a complete answer at once; body may be NULL. */
void sr_answer_whole(sr_request_t *request, unsigned status,
		     const char *content_type, GBytes *body);

/** sr_answer_problem - refuse; the header must not be out yet. */
void sr_answer_problem(sr_request_t *request, const sr_problem_t *problem);

/**
 * sr_answer_break - the answer cannot be completed
 *
 * A token stream gets an error event that holds the problem; then the
 * connection is cut, so that no caller takes the answer for whole.
 */
void sr_answer_break(sr_request_t *request, const sr_problem_t *problem,
		     gboolean is_stream);

/** sr_answer_fail - sr_answer_problem() or sr_answer_break(). */
void sr_answer_fail(sr_request_t *request, sr_problem_t *problem,
		    gboolean is_stream);

/** sr_answer_wrote - the server wrote bytes of the body to the socket. */
void sr_answer_wrote(sr_request_t *request, gsize size);

/** sr_answer_abort - cut the connection without a word. */
void sr_answer_abort(sr_request_t *request);

/* An idempotent request, src/caller/relay.c. */

void sr_relay_start(sr_request_t *request);

/** sr_relay_drained - the caller has taken what was queued. */
void sr_relay_drained(sr_relay_t *relay);

/** sr_relay_deadline - the request's deadline has come. */
void sr_relay_deadline(sr_relay_t *relay);

/** sr_relay_cancel - the caller is gone. */
void sr_relay_cancel(sr_relay_t *relay);

/* A request that is not idempotent, src/caller/posting.c. */

void sr_posting_start(sr_request_t *request);
void sr_posting_deadline(sr_request_t *request);
void sr_posting_cancel(sr_request_t *request);

/** sr_caller_add_buffered - bytes are held, or released if negative. */
void sr_caller_add_buffered(sr_caller_t *caller, gssize size);

/** sr_caller_check_idle - tell the owner once a stopped server is idle. */
void sr_caller_check_idle(sr_caller_t *caller);

#endif
