#ifndef SR_CALLER_REQUEST_H
#define SR_CALLER_REQUEST_H

#include <libsoup/soup.h>

#include "base/list.h"
#include "base/problem.h"
#include "caller/connection.h"
#include "caller/server.h"

/**
 * Internal declarations of src/caller: a request, from its header to the last
 * byte of its answer
 */

/**
 * Flow control of relayed answers, in bytes that wait to be written
 *
 * Reading from the upstream pauses at the high watermark and resumes at the
 * low one.
 */
#define SR_ANSWER_HIGH_WATERMARK (64 * 1024)
#define SR_ANSWER_LOW_WATERMARK (16 * 1024)

/** sr_relay_t - an idempotent request in progress at upstreams; owned by its
 * sr_request_t. */
typedef struct sr_relay sr_relay_t;

/** sr_answer_state_t - state of the answer to a request. */
typedef enum {
	SR_ANSWER_NONE,	  /* not begun */
	SR_ANSWER_OPEN,	  /* begun, parts of the body may follow */
	SR_ANSWER_CLOSED, /* complete or aborted */
} sr_answer_state_t;

/** sr_caller_server_meters_t - metrics without labels. */
typedef struct {
	sr_gauge_t *requests;
	sr_gauge_t *buffered;
	sr_counter_t *tokens;
	sr_counter_t *resumed;
	sr_counter_t *broken; /* answers that failed after their start */
	sr_counter_t *gone;   /* callers that disconnected */
	sr_histogram_t *first_byte;
} sr_caller_server_meters_t;

struct sr_caller_server {
	sr_caller_server_options_t options;
	SoupServer *soup;
	sr_listener_t *listener;
	sr_config_t *config;
	sr_postings_t *postings;
	sr_list_t requests;
	unsigned n_requests;
	gsize buffered; /* bytes of all bodies and answers held */
	GRand *rand;
	gboolean draining; /* answers close their connections */
	gboolean stopped;  /* new requests are refused */
	sr_timer_fn idle;  /* see sr_caller_server_stop() */
	void *idle_user;
	sr_timer_t *idle_timer;
	sr_caller_server_meters_t meters;
};

/** sr_request_t - a request; owned by the server. */
typedef struct {
	sr_list_t link;
	sr_caller_server_t *server;
	SoupServerMessage *message;
	sr_connection_t *connection;
	GSource *close_watch;	    /* see sr_connection_watch_close() */
	sr_timer_t *timer;	    /* timeout of the body, then the deadline */
	char id[33];		    /* 32 hexadecimal digits */
	sr_usec_t arrived;	    /* time of the header */
	sr_trace_context_t context; /* of the span */
	sr_span_t *span;

	sr_config_t *config; /* owns what the next three point to */
	const sr_service_config_t *service;
	const sr_route_config_t *route;
	const sr_account_config_t *account;
	sr_priority_t priority;
	sr_usec_t deadline; /* absolute */
	gboolean async;	    /* a posting is answered once it is durable */

	GByteArray *received; /* the body so far */
	gsize discarded;      /* bytes of the body that were dropped */
	GBytes *body;	      /* the whole body */

	sr_answer_state_t answer;
	gboolean was_paused;	     /* the message was paused at least once */
	gboolean abort_when_written; /* after the last queued byte */
	gsize queued;		     /* bytes of the answer not yet written */
	sr_err_t err;		     /* for logs and metrics */

	sr_relay_t *relay;	  /* of an idempotent request in progress */
	gboolean posting_pending; /* submitted, no result yet */
} sr_request_t;

/** sr_request_new - create a request once its header was received. */
sr_request_t *sr_request_new(sr_caller_server_t *server,
			     SoupServerMessage *message);

/**
 * sr_request_check - authenticate, and set service, route and limits
 *
 * Returns FALSE after answering with a refusal.
 */
gboolean sr_request_check(sr_request_t *request);

/** sr_request_path - path and query as received; free with g_free(). */
char *sr_request_path(const sr_request_t *request);

/** sr_request_header - value of a request header field, or NULL. */
const char *sr_request_header(const sr_request_t *request, const char *name);

/** sr_request_run - relay or submit a request whose body was received. */
void sr_request_run(sr_request_t *request);

/** sr_request_free - cancel what is in progress and free the request. */
void sr_request_free(sr_request_t *request);

/* Answers, src/caller/answer.c */

/** sr_answer_begin - send the header; length is -1 if not known. */
void sr_answer_begin(sr_request_t *request, unsigned status, gint64 length);

/** sr_answer_write - send a part of the body after sr_answer_begin(). */
void sr_answer_write(sr_request_t *request, const void *data, gsize size);

/** sr_answer_end - complete the answer after sr_answer_begin(). */
void sr_answer_end(sr_request_t *request);

/** sr_answer_send - send a complete answer; body may be NULL. */
void sr_answer_send(sr_request_t *request, unsigned status,
		    const char *content_type, GBytes *body);

/** sr_answer_send_problem - refuse a request that has no answer yet. */
void sr_answer_send_problem(sr_request_t *request, const sr_problem_t *problem);

/**
 * sr_answer_abort_with_problem - abort an answer that cannot be completed
 *
 * A token stream gets an error event with the problem. Then the connection is
 * closed, so that the answer cannot be mistaken for a complete one.
 */
void sr_answer_abort_with_problem(sr_request_t *request,
				  const sr_problem_t *problem,
				  gboolean is_stream);

/** sr_answer_fail - send the problem, or abort an answer that has begun. */
void sr_answer_fail(sr_request_t *request, sr_problem_t *problem,
		    gboolean is_stream);

/** sr_answer_on_written - libsoup wrote bytes of the body to the socket. */
void sr_answer_on_written(sr_request_t *request, gsize size);

/** sr_answer_abort - close the connection without completing the answer. */
void sr_answer_abort(sr_request_t *request);

/* Idempotent requests, src/caller/relay.c */

/** sr_relay_start - send to an upstream and relay its answer. */
void sr_relay_start(sr_request_t *request);

/** sr_relay_resume - resume reading at the low watermark. */
void sr_relay_resume(sr_relay_t *relay);

/** sr_relay_on_deadline - cancel the attempt and fail the request. */
void sr_relay_on_deadline(sr_relay_t *relay);

/** sr_relay_cancel - cancel the attempt without an answer and free it. */
void sr_relay_cancel(sr_relay_t *relay);

/* Non-idempotent requests, src/caller/posting.c */

/** sr_posting_start - submit as a posting; its result is the answer. */
void sr_posting_start(sr_request_t *request);

/** sr_posting_on_deadline - answer that the outcome is not known yet. */
void sr_posting_on_deadline(sr_request_t *request);

/** sr_posting_cancel - drop the result; the posting still runs. */
void sr_posting_cancel(sr_request_t *request);

/* The server, src/caller/server.c */

/** sr_caller_server_add_buffered - count bytes held; size is negative if freed.
 */
void sr_caller_server_add_buffered(sr_caller_server_t *server, gssize size);

/** sr_caller_server_check_idle - call idle() if a stopped server has no
 * request. */
void sr_caller_server_check_idle(sr_caller_server_t *server);

#endif
