#include <string.h>

#include "base/problem.h"
#include "gateway/transaction.h"

static void clear_prompt(sr_prompt_parts_t *prompt)
{
	g_free(prompt->blocks);
	g_free(prompt->parts);
	g_free(prompt->tokens);
}

void sr_transaction_release_prefill(sr_transaction_t *transaction)
{
	sr_instance_t *instance;

	if (!transaction->attempt)
		return;
	instance = sr_attempt_instance(transaction->attempt);
	instance->pending_prompt_tokens -= transaction->prefill_tokens;
	transaction->prefill_tokens = 0;
	if (transaction->is_waiting)
		instance->n_waiting--;
	transaction->is_waiting = FALSE;
}

void sr_transaction_drop_attempt(sr_transaction_t *transaction)
{
	if (!transaction->attempt)
		return;
	sr_transaction_release_prefill(transaction);
	sr_attempt_instance(transaction->attempt)->in_flight--;
	sr_attempt_free(transaction->attempt);
	transaction->attempt = NULL;
}

void sr_transaction_free(sr_transaction_t *transaction)
{
	const sr_gateway_options_t *options = &transaction->gateway->options;

	if (transaction->awaits_pool)
		options->cancel_pool_request(options->user, transaction);
	sr_transaction_drop_attempt(transaction);
	sr_timer_cancel(transaction->deadline_timer);
	sr_list_remove(&transaction->link);
	transaction->gateway->n_transactions--;
	sr_gauge_add(transaction->gateway->metrics.transactions, -1);
	clear_prompt(&transaction->prompt);
	g_free(transaction->print);
	g_free(transaction->stream_type);
	sr_event_parser_free(transaction->event_parser);
	g_array_free(transaction->tried_instances, TRUE);
	g_array_free(transaction->tried_hosts, TRUE);
	sr_route_table_unref(transaction->table);
	g_free(transaction);
}

void sr_transaction_fail(sr_transaction_t *transaction,
			 const sr_transaction_failure_t *failure)
{
	const sr_problem_t problem = {
		.err = failure->err,
		.detail = failure->cause,
		.maybe_executed = transaction->may_have_run,
		.retry_after = failure->retry_after,
		.request_id = transaction->id,
	};
	char *body = sr_problem_json(&problem);
	const sr_response_t response = {
		.status = sr_err_http_status(failure->err),
		.content_type = SR_PROBLEM_MEDIA_TYPE,
		.retry_after = failure->retry_after,
		.request_id = transaction->id,
		.body = (const guint8 *)body,
		.size = strlen(body),
	};
	sr_session_t *session = transaction->session;

	if (transaction->account && transaction->charged > 0 &&
	    transaction->n_sent == 0)
		sr_allowance_refund(transaction->gateway->allowance,
				    transaction->account->name,
				    transaction->charged);
	sr_transaction_count_end(transaction, response.status);
	sr_transaction_log_end(transaction, "failed", response.status,
			       failure->cause);
	sr_transaction_free(transaction);
	sr_session_respond(session, &response);
	g_free(body);
}

/* A refusal states that the request was not executed, so it is sent only if
 * that is certain. */
void sr_transaction_refuse(sr_transaction_t *transaction, sr_err_t err,
			   const char *cause, sr_usec_t retry_after)
{
	const sr_transaction_failure_t failure = {
		.err = transaction->may_have_run ? SR_ERR_OUTCOME_UNKNOWN : err,
		.cause = cause,
		.retry_after = transaction->may_have_run ? 0 : retry_after,
	};

	sr_transaction_fail(transaction, &failure);
}

void sr_transaction_abort(sr_transaction_t *transaction, const char *cause)
{
	sr_session_t *session = transaction->session;

	sr_counter_add(transaction->gateway->metrics.aborted, 1);
	sr_transaction_log_end(transaction, "broken-off", 0, cause);
	sr_transaction_free(transaction);
	sr_session_abort(session);
}

void sr_transaction_report_execution(sr_transaction_t *transaction)
{
	const sr_gateway_options_t *options = &transaction->gateway->options;

	/* The host that runs a relayed request reports it. */
	if (transaction->is_execution_reported ||
	    (transaction->attempt && sr_attempt_is_relay(transaction->attempt)))
		return;
	transaction->is_execution_reported = TRUE;
	if (options->request_executed && transaction->account)
		options->request_executed(options->user,
					  transaction->account->name);
}

void sr_transaction_forward_response(sr_transaction_t *transaction)
{
	const sr_message_t *message = sr_attempt_message(transaction->attempt);
	const sr_response_t response = {
		.status = message->status,
		.reason = message->reason,
		.headers = message->headers,
		.body = message->body->data,
		.size = message->body->len,
	};
	sr_session_t *session = transaction->session;
	sr_attempt_t *attempt = transaction->attempt;

	sr_transaction_count_end(transaction, response.status);
	sr_transaction_log_end(transaction, "answered", response.status,
			       "response of the instance");
	/* The attempt owns the response, so it is freed after sending. */
	sr_transaction_release_prefill(transaction);
	sr_attempt_instance(attempt)->in_flight--;
	transaction->attempt = NULL;
	sr_transaction_free(transaction);
	sr_session_respond(session, &response);
	sr_attempt_free(attempt);
}

void sr_transaction_end_stream(sr_transaction_t *transaction)
{
	sr_session_t *session = transaction->session;

	sr_transaction_count_end(transaction, 200);
	sr_transaction_log_end(transaction, "answered", 200, "stream");
	sr_transaction_free(transaction);
	sr_session_end_stream(session);
}

void sr_transaction_begin_stream(sr_transaction_t *transaction)
{
	const sr_message_t *message = sr_attempt_message(transaction->attempt);
	const char *type = sr_headers_get(message->headers, "Content-Type");
	const sr_response_t head = {
		.status = message->status,
		.reason = message->reason,
		.headers = message->headers,
	};

	transaction->is_streaming = TRUE;
	transaction->stream_type = g_strdup(type ? type : "");
	transaction->first_event_at = sr_transaction_now(transaction);
	sr_histogram_observe(transaction->gateway->metrics.first_event,
			     (double)(sr_transaction_now(transaction) -
				      transaction->started_at) /
				     SR_SEC);
	sr_session_begin_stream(transaction->session, &head);
}
