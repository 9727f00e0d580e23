#ifndef SR_GATEWAY_TRANSACTION_H
#define SR_GATEWAY_TRANSACTION_H

#include "gateway/internal.h"

/** Internals of the transaction, shared between its source files. */

/** Default Retry-After of a refusal. */
#define SR_TRANSACTION_RETRY_AFTER (300 * SR_MSEC)

/** sr_transaction_t - one request from a caller until its final response, over
 * all attempts at instances */
struct sr_transaction {
	sr_list_t link;
	sr_gateway_t *gateway;
	sr_session_t *session;
	const sr_message_t *request; /* borrowed from the session */
	sr_route_table_t *table;
	const sr_gateway_route_t *route;
	const sr_gateway_account_t *account;
	const char *service; /* borrowed from the route */
	const char *id;	     /* borrowed from the request */
	sr_usec_t started_at;
	sr_usec_t deadline; /* of the final response */
	sr_timer_t *deadline_timer;
	sr_prompt_parts_t prompt;
	sr_request_print_t *print; /* NULL until sr_transaction_print() */
	gboolean is_probe;	   /* of a quarantine, with its first attempt */
	double charged;		   /* taken from the account's allowance */
	gboolean awaits_pool;	   /* a pool request is pending */
	/* Current attempt. */
	sr_attempt_t *attempt;
	sr_usec_t sent_at;
	double expected_first_event_s; /* estimate of the placement */
	/* Time of the response head, which an earlier attempt may have sent;
	 * 0 before. */
	sr_usec_t first_event_at;
	/* Share of the prompt in the instance's pending_prompt_tokens. */
	double prefill_tokens;
	gboolean is_waiting; /* counts in the instance's n_waiting */
	/* The instance's pending_prompt_tokens after sending; -1 after the
	 * first event. */
	double prefill_backlog;
	unsigned n_events;     /* of the current attempt */
	sr_usec_t output_at;   /* time of its first event; 0 before */
	gboolean has_survived; /* its instance, see transaction_print.c */
	gboolean is_observed;  /* by options.attempt_observed */
	/* All attempts. */
	GArray *tried_instances; /* guint32, instance ids */
	unsigned n_sent;	 /* attempts written to a connection */
	unsigned n_unsent;	 /* attempts that were not */
	unsigned max_attempts;	 /* limit on n_sent */
	GArray *tried_hosts;	 /* guint32, ids of hosts it was passed on to */
	gboolean is_relay_over;	 /* it is not passed on any more */
	sr_usec_t relay_retry_after; /* of the last refusal by one; or 0 */
	gboolean may_have_run;
	gboolean is_work_counted;	/* of the attempt that is sent next */
	gboolean is_execution_reported; /* by options.request_executed */
	/* Streams. */
	sr_event_parser_t *event_parser; /* of the instance's stream */
	gboolean is_streaming;		 /* the head was sent to the caller */
	char *stream_type; /* Content-Type of that head; NULL before it */
	gboolean has_last_event;
	guint64 last_event; /* id of the last event the caller has */
};

static inline sr_usec_t sr_transaction_now(const sr_transaction_t *transaction)
{
	return sr_gateway_now(transaction->gateway);
}

/* transaction_request.c: route, account and stream position of a request */

/** sr_transaction_classify - sets id, route, service and account. Returns the
 * error to respond with, or SR_OK. */
sr_err_t sr_transaction_classify(sr_transaction_t *transaction);

/** sr_transaction_read_last_event - sets last_event if the caller resumes a
 * stream. */
void sr_transaction_read_last_event(sr_transaction_t *transaction);

/** sr_transaction_cost - what the request takes from its account's allowance,
 * in tokens or requests. */
double sr_transaction_cost(const sr_transaction_t *transaction);

/* transaction_relay.c: requests that another host serves */

/** sr_transaction_relay - passes the request on if this host reaches no
 * instance of its service, or refuses it. Returns FALSE if it should go to an
 * instance; the transaction may be freed otherwise. */
gboolean sr_transaction_relay(sr_transaction_t *transaction);

/** sr_transaction_check_path - ends the current attempt if this host reaches no
 * instance of the service and the request may go elsewhere; may free the
 * transaction. */
void sr_transaction_check_path(sr_transaction_t *transaction);

/** sr_transaction_on_relay_ended - another host has responded, or can't be
 * reached; decides what follows. */
void sr_transaction_on_relay_ended(sr_transaction_t *transaction,
				   sr_attempt_outcome_t outcome);

/* transaction.c: attempts, for transaction_relay.c */

/** sr_transaction_start_attempt - chooses an instance and sends the request, or
 * refuses it. */
void sr_transaction_start_attempt(sr_transaction_t *transaction);

/** sr_transaction_charge - charges the account's allowance and starts the first
 * attempt at an instance. */
void sr_transaction_charge(sr_transaction_t *transaction);

/** sr_transaction_may_run_twice - whether that does no harm. */
gboolean sr_transaction_may_run_twice(const sr_transaction_t *transaction);

/** sr_transaction_conclude_attempt - starts another attempt or sends the final
 * response. */
void sr_transaction_conclude_attempt(sr_transaction_t *transaction,
				     sr_attempt_outcome_t outcome,
				     const char *cause);

/** sr_transaction_finish_stream - completes the stream; frees the transaction.
 */
void sr_transaction_finish_stream(sr_transaction_t *transaction);

/* transaction_response.c: responses to the caller */

/** sr_transaction_failure_t - an error response by the gateway */
typedef struct {
	sr_err_t err;
	const char *cause; /* static string for log and response */
	sr_usec_t retry_after;
} sr_transaction_failure_t;

/** sr_transaction_fail - responds with an error; frees the transaction. */
void sr_transaction_fail(sr_transaction_t *transaction,
			 const sr_transaction_failure_t *failure);

/** sr_transaction_refuse - responds that the request was not executed, or that
 * its outcome is unknown if it may have run; frees the transaction. */
void sr_transaction_refuse(sr_transaction_t *transaction, sr_err_t err,
			   const char *cause, sr_usec_t retry_after);

/** sr_transaction_abort - closes the connection inside a stream; frees the
 * transaction. */
void sr_transaction_abort(sr_transaction_t *transaction, const char *cause);

/** sr_transaction_forward_response - sends the instance's complete response;
 * frees the transaction. */
void sr_transaction_forward_response(sr_transaction_t *transaction);

/** sr_transaction_begin_stream - sends the head of the instance's stream. */
void sr_transaction_begin_stream(sr_transaction_t *transaction);

/** sr_transaction_end_stream - completes the stream; frees the transaction. */
void sr_transaction_end_stream(sr_transaction_t *transaction);

/** sr_transaction_report_execution - calls options.request_executed, once. */
void sr_transaction_report_execution(sr_transaction_t *transaction);

/** sr_transaction_release_prefill - removes the request from those that wait
 * at the instance and its prompt from the pending ones, as it was read or never
 * will be. */
void sr_transaction_release_prefill(sr_transaction_t *transaction);

/** sr_transaction_drop_attempt - cancels the current attempt, if any. */
void sr_transaction_drop_attempt(sr_transaction_t *transaction);

/** sr_transaction_free - cancels the current attempt and all timers. */
void sr_transaction_free(sr_transaction_t *transaction);

/* transaction_observe.c: evidence on the versions of a service */

/** sr_transaction_observe_end - the current attempt ended. */
void sr_transaction_observe_end(sr_transaction_t *transaction,
				sr_attempt_outcome_t outcome);

/** sr_transaction_observe_deadline - the request's deadline passed before the
 * current attempt ended. */
void sr_transaction_observe_deadline(sr_transaction_t *transaction);

/** sr_transaction_observe_incomplete - call while the current attempt goes on,
 * so that a slow response shows before its end. */
void sr_transaction_observe_incomplete(sr_transaction_t *transaction);

/* transaction_print.c: what a request holds, and instances that ended under it
 */

/** sr_transaction_print - the fingerprints of the request; borrowed. */
const sr_request_print_t *sr_transaction_print(sr_transaction_t *transaction);

/** sr_transaction_report_cut - the instance cut off the current attempt, and
 * may have ended. */
void sr_transaction_report_cut(sr_transaction_t *transaction);

/** sr_transaction_report_answer - the current attempt was answered. */
void sr_transaction_report_answer(sr_transaction_t *transaction);

/** sr_transaction_report_output - the current attempt goes on with output. */
void sr_transaction_report_output(sr_transaction_t *transaction);

/** sr_transaction_is_quarantined - whether instances have ended under requests
 * like this one, so that it must be refused; sets the time to the next probe.
 */
gboolean sr_transaction_is_quarantined(sr_transaction_t *transaction,
				       sr_usec_t *retry_after);

/* transaction_log.c: log events and metrics */

/** sr_transaction_log_end - logs the end; status is 0 without a response. */
void sr_transaction_log_end(const sr_transaction_t *transaction,
			    const char *event, unsigned status,
			    const char *cause);

/** sr_transaction_log_retry - logs that another attempt follows. */
void sr_transaction_log_retry(const sr_transaction_t *transaction,
			      const sr_instance_t *instance, const char *cause);

/** sr_transaction_log_limited - logs a refusal by the account's limit. */
void sr_transaction_log_limited(const sr_transaction_t *transaction,
				double cost, sr_usec_t wait);

/** sr_transaction_count_end - counts a response and its duration. */
void sr_transaction_count_end(const sr_transaction_t *transaction,
			      unsigned status);

#endif
