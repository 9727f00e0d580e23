#include <string.h>

#include "gateway/transaction.h"

/** Hosts that a request is passed on to, at most. */
#define RELAY_HOSTS_MAX 4

/** Attempts at instances without a connection that may follow if no other host
 * reaches one: the instances are more likely to be at fault than the paths. */
#define UNSENT_AFTER_RELAY 2

/** Retry-After if no other host serves the request: a host that is cut off is
 * reached again, or another one known, within about this time. */
#define RELAY_RETRY_AFTER (500 * SR_MSEC)

/** Time without input after which a request that may run twice moves, if no
 * instance is reached any more; and time for a connection that is being made.
 */
#define SILENCE_MAX (1200 * SR_MSEC)
#define CONNECT_TIME_MAX (100 * SR_MSEC)

/** Longest Retry-After of another host that is passed on. */
#define RETRY_AFTER_MAX_S 300.0

static GByteArray *serialize_request(const sr_transaction_t *transaction)
{
	unsigned max_attempts = transaction->max_attempts;
	const sr_upstream_request_t spec = {
		.dialect = transaction->gateway->options.dialect,
		.request = transaction->request,
		.time_left =
			transaction->deadline - sr_transaction_now(transaction),
		.urgency = -1,
		.resumes = transaction->is_streaming &&
			   transaction->has_last_event,
		.last_event = transaction->last_event,
		.relay_attempts = MAX(max_attempts, transaction->n_sent + 1) -
				  transaction->n_sent,
	};

	return sr_upstream_request_serialize(&spec);
}

/* The host that serves the request charges the account. */
static void refund(sr_transaction_t *transaction)
{
	if (transaction->charged == 0 || transaction->n_sent > 0)
		return;
	sr_allowance_refund(transaction->gateway->allowance,
			    transaction->account->name, transaction->charged);
	transaction->charged = 0;
}

static void log_relay(const sr_transaction_t *transaction,
		      const sr_instance_t *host)
{
	char n[16];

	g_snprintf(n, sizeof(n), "%u", transaction->tried_hosts->len);
	sr_log_event(transaction->gateway->options.log, SR_LOG_INFO, "relayed",
		     "request", transaction->id, "service",
		     transaction->service, "host", host->name, "number", n,
		     NULL);
}

static void send_to(sr_transaction_t *transaction, sr_instance_t *host)
{
	const sr_attempt_options_t options = {
		.gateway = transaction->gateway,
		.transaction = transaction,
		.instance = host,
		.request_id = transaction->id,
		.bytes = serialize_request(transaction),
		.is_stream = transaction->route->kind == SR_ROUTE_STREAM,
		.stream_type = transaction->stream_type,
		.is_head_only = !strcmp(transaction->request->method, "HEAD"),
		.may_run_twice = sr_transaction_may_run_twice(transaction),
		.is_relay = TRUE,
	};

	if (transaction->event_parser)
		sr_event_parser_reset(transaction->event_parser);
	refund(transaction);
	g_array_append_val(transaction->tried_hosts, host->id);
	sr_counter_add(transaction->gateway->metrics.relayed, 1);
	log_relay(transaction, host);
	host->in_flight++;
	sr_ejection_begin(&host->ejection, sr_transaction_now(transaction));
	transaction->sent_at = sr_transaction_now(transaction);
	transaction->prefill_tokens = 0;
	transaction->prefill_backlog = -1;
	transaction->n_events = 0;
	transaction->has_survived = TRUE; /* nothing is known of an instance */
	transaction->attempt = sr_attempt_new(&options);
	if (transaction->attempt)
		return;
	host->in_flight--;
	sr_transaction_conclude_attempt(
		transaction, SR_ATTEMPT_NOT_SENT,
		"could not open a connection to another host");
}

static void refuse(sr_transaction_t *transaction)
{
	if (transaction->is_streaming)
		sr_transaction_abort(transaction,
				     "no other host resumes the stream");
	else
		sr_transaction_refuse(
			transaction, SR_ERR_NO_UPSTREAM,
			"no other host reaches an instance of the service",
			transaction->relay_retry_after);
}

static gboolean is_due(const sr_transaction_t *transaction)
{
	return !transaction->is_relay_over &&
	       !sr_session_is_relayed(transaction->session) &&
	       (transaction->tried_hosts->len > 0 ||
		!sr_gateway_reaches(transaction->gateway,
				    transaction->service));
}

static sr_instance_t *pick_host(const sr_transaction_t *transaction)
{
	if (transaction->tried_hosts->len >= RELAY_HOSTS_MAX)
		return NULL;
	return sr_gateway_pick_relay_host(transaction->gateway,
					  transaction->tried_hosts);
}

/* No other host reaches the instances either: one may still be there. */
static void try_instances(sr_transaction_t *transaction)
{
	transaction->is_relay_over = TRUE;
	transaction->n_unsent = MAX(transaction->n_unsent,
				    SR_RETRY_UNSENT_MAX - UNSENT_AFTER_RELAY);
	if (transaction->n_sent == 0)
		sr_transaction_charge(transaction);
	else
		sr_transaction_start_attempt(transaction);
}

gboolean sr_transaction_relay(sr_transaction_t *transaction)
{
	sr_instance_t *host;

	if (!is_due(transaction))
		return FALSE;
	host = pick_host(transaction);
	if (host)
		send_to(transaction, host);
	else if (transaction->tried_hosts->len == 0)
		return FALSE;
	else if (transaction->relay_retry_after == 0)
		try_instances(transaction);
	else
		refuse(transaction);
	return TRUE;
}

/* Time without input for which an attempt goes on over a path that is down:
 * connections from before may live on, and a sound instance may be silent for
 * about a second. */
static sr_usec_t silence_allowed(const sr_transaction_t *transaction)
{
	return sr_attempt_is_sent(transaction->attempt) ? SILENCE_MAX :
							  CONNECT_TIME_MAX;
}

static gboolean may_move(const sr_transaction_t *transaction)
{
	if (sr_attempt_is_sent(transaction->attempt) &&
	    !sr_transaction_may_run_twice(transaction))
		return FALSE;
	return is_due(transaction) && pick_host(transaction);
}

void sr_transaction_check_path(sr_transaction_t *transaction)
{
	sr_usec_t heard_at;

	if (!transaction->attempt || sr_attempt_is_relay(transaction->attempt))
		return;
	heard_at = sr_attempt_heard_at(transaction->attempt);
	sr_gateway_notice_silence(transaction->gateway, transaction->service,
				  heard_at);
	if (sr_transaction_now(transaction) - heard_at >=
		    silence_allowed(transaction) &&
	    may_move(transaction))
		sr_attempt_give_up(transaction->attempt,
				   "the path to the instances is down");
}

static sr_usec_t read_retry_after(const sr_message_t *response)
{
	const char *text = sr_headers_get(response->headers, "Retry-After");
	double seconds = text ? g_ascii_strtod(text, NULL) : 0;

	return seconds > 0 ?
		       (sr_usec_t)(MIN(seconds, RETRY_AFTER_MAX_S) * SR_SEC) :
		       0;
}

static void read_refusal(sr_transaction_t *transaction)
{
	const sr_message_t *response = sr_attempt_message(transaction->attempt);

	if (response->status != sr_err_http_status(SR_ERR_UNREACHED)) {
		transaction->relay_retry_after =
			MAX(read_retry_after(response), RELAY_RETRY_AFTER);
		return;
	}
	sr_gateway_relay_host_unreached(
		transaction->gateway,
		sr_attempt_instance(transaction->attempt));
}

void sr_transaction_on_relay_ended(sr_transaction_t *transaction,
				   sr_attempt_outcome_t outcome)
{
	if (outcome == SR_ATTEMPT_ANSWERED &&
	    sr_attempt_is_event_stream(transaction->attempt)) {
		sr_transaction_finish_stream(transaction);
		return;
	}
	if (outcome == SR_ATTEMPT_REJECTED) {
		read_refusal(transaction);
		/* it has not reached an instance */
		outcome = SR_ATTEMPT_NOT_SENT;
	} else if (outcome != SR_ATTEMPT_NOT_SENT) {
		transaction->may_have_run = TRUE;
		transaction->n_sent++;
	}
	sr_transaction_conclude_attempt(transaction, outcome,
					sr_attempt_cause(transaction->attempt));
}
