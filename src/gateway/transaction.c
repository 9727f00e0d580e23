#include <string.h>

#include "core/gateway_admission.h"
#include "gateway/transaction.h"

/** Timeout of a request if neither the route nor the caller sets one. */
#define DEFAULT_TIMEOUT (60 * SR_SEC)

/** Instances that are compared for a request beside the homes of its prefix,
 * and the number of hosts from which not all of them are: with fewer, the
 * requests of a moment don't fill an instance. */
#define SAMPLED_INSTANCES 3
#define SAMPLING_HOSTS_MIN 12

/** Number of failures that an attempt counts for in the ejection of its
 * instance. An unreachable instance is ejected at once, others after several
 * failures in a row. */
#define EJECTION_WEIGHT_UNREACHABLE 4
#define EJECTION_WEIGHT_FAILURE 1

/** Time that must be left of a planned stop after a request's deadline, to
 * write its response. */
#define STOP_MARGIN (100 * SR_MSEC)

/* The first output of an attempt shows the pace that its instance bears. */
static void record_output(const sr_transaction_t *transaction)
{
	sr_usec_t target = transaction->route->latency_target;
	sr_usec_t elapsed =
		sr_transaction_now(transaction) - transaction->sent_at;

	if (transaction->attempt && !sr_attempt_is_relay(transaction->attempt))
		sr_instance_pace_answered(
			&sr_attempt_instance(transaction->attempt)->pace,
			target <= 0 || elapsed <= target);
}

static void record_first_event(sr_transaction_t *transaction)
{
	sr_gateway_service_state_t *state = sr_gateway_service_state(
		transaction->gateway, transaction->service);

	if (transaction->prefill_backlog >= 0)
		sr_engine_speed_add_first_event(
			&state->speed, transaction->prefill_backlog,
			sr_transaction_now(transaction) - transaction->sent_at);
	if (transaction->prefill_backlog >= 0 && transaction->attempt)
		sr_placement_observe(sr_attempt_instance(transaction->attempt),
				     transaction->expected_first_event_s,
				     sr_transaction_now(transaction) -
					     transaction->sent_at,
				     sr_transaction_now(transaction));
	transaction->prefill_backlog = -1;
	sr_transaction_release_prefill(transaction);
	sr_transaction_report_execution(transaction);
	transaction->output_at = sr_transaction_now(transaction);
	record_output(transaction);
}

static void record_events(sr_transaction_t *transaction, unsigned n)
{
	if (n == 0)
		return;
	if (transaction->n_events == 0)
		record_first_event(transaction);
	transaction->n_events += n;
	sr_transaction_report_output(transaction);
}

/** event_run_t - events that follow each other in the parser's buffer */
typedef struct {
	const guint8 *data;
	gsize size;
} event_run_t;

/* Writes a run in one chunk: one for each event would let an instance that
 * sends tiny ones hold up the loop. */
static void write_run(sr_transaction_t *transaction, event_run_t *run)
{
	if (run->size == 0)
		return;
	if (!transaction->is_streaming)
		sr_transaction_begin_stream(transaction);
	sr_session_write_chunk(transaction->session, run->data, run->size);
	run->size = 0;
}

/* TRUE if the caller has the event already, from another attempt. */
static gboolean is_repeated(const sr_transaction_t *transaction,
			    const sr_event_t *event)
{
	return event->has_id && transaction->has_last_event &&
	       event->id <= transaction->last_event;
}

static void write_events(sr_transaction_t *transaction)
{
	event_run_t run = { 0 };
	sr_event_t event;
	unsigned n = 0;

	while (sr_event_parser_next(transaction->event_parser, &event)) {
		n++;
		if (is_repeated(transaction, &event)) {
			write_run(transaction, &run);
			continue;
		}
		if (run.size == 0)
			run.data = event.data;
		run.size += event.size;
		if (event.has_id) {
			transaction->has_last_event = TRUE;
			transaction->last_event = event.id;
		}
	}
	record_events(transaction, n);
	write_run(transaction, &run);
}

/* The instance waits while its caller is behind. */
static void limit_backlog(sr_transaction_t *transaction)
{
	if (!transaction->attempt ||
	    !sr_session_is_congested(transaction->session))
		return;
	sr_counter_add(transaction->gateway->metrics.paused, 1);
	sr_attempt_set_paused(transaction->attempt, TRUE);
}

void sr_transaction_on_caller_drained(sr_transaction_t *transaction)
{
	if (transaction->attempt)
		sr_attempt_set_paused(transaction->attempt, FALSE);
}

gboolean sr_transaction_on_stream_data(sr_transaction_t *transaction,
				       const guint8 *data, gsize size)
{
	if (!transaction->event_parser)
		transaction->event_parser = sr_event_parser_new();
	if (!sr_event_parser_feed(transaction->event_parser, data, size))
		return FALSE;
	write_events(transaction);
	limit_backlog(transaction);
	return TRUE;
}

static unsigned effective_priority(const sr_transaction_t *transaction)
{
	if (transaction->account && transaction->account->has_priority)
		return transaction->account->priority;
	return transaction->route->priority;
}

/* Selects among the versions that the trial of a new one allows. A part of the
 * requests that the new version can't take goes to the others. */
static sr_placement_choice_t choose_version(sr_transaction_t *transaction,
					    const sr_placement_t *placement,
					    sr_placement_request_t *request,
					    sr_version_trial_t *trial)
{
	sr_usec_t now = sr_transaction_now(transaction);
	const GPtrArray *instances = sr_instances_of_service(
		placement->instances, transaction->service);
	sr_placement_choice_t choice = { 0 };

	request->version = sr_version_trial_target(trial);
	if (sr_version_trial_picks_new(
		    trial, now,
		    transaction->n_sent + transaction->n_unsent == 0)) {
		request->versions = SR_PLACEMENT_ONLY_VERSION;
		request->max_instances = sr_version_trial_max_instances(
			trial, now, instances ? instances->len : 0);
		choice = sr_placement_choose(placement, request, now);
	}
	if (choice.instance)
		return choice;
	request->versions = SR_PLACEMENT_OTHER_VERSIONS;
	return sr_placement_choose(placement, request, now);
}

sr_placement_t sr_gateway_placement(const sr_gateway_t *gateway)
{
	return (sr_placement_t){
		.instances = gateway->instances,
		.index = gateway->prefix_index,
		.failure_domain = gateway->options.failure_domain,
	};
}

sr_placement_request_t
sr_gateway_placement_request(sr_gateway_t *gateway,
			     const sr_route_table_t *table, const char *service,
			     const sr_prompt_parts_t *prompt)
{
	const sr_gateway_service_t *config =
		sr_route_table_service(table, service);

	return (sr_placement_request_t){
		.service = service,
		.is_engine = config && config->is_engine,
		.prompt = prompt,
		.speed = &sr_gateway_service_state(gateway, service)->speed,
		.jitter = g_rand_double(gateway->rng),
		.n_sampled = gateway->n_hosts > SAMPLING_HOSTS_MIN ?
				     SAMPLED_INSTANCES :
				     0,
	};
}

static sr_placement_choice_t choose_instance(sr_transaction_t *transaction)
{
	sr_gateway_t *gateway = transaction->gateway;
	const sr_placement_t placement = sr_gateway_placement(gateway);
	sr_version_trial_t *trial =
		sr_gateway_service_state(gateway, transaction->service)->trial;
	sr_placement_request_t request = sr_gateway_placement_request(
		gateway, transaction->table, transaction->service,
		&transaction->prompt);

	request.tried =
		(const guint32 *)(void *)transaction->tried_instances->data;
	request.n_tried = transaction->tried_instances->len;
	if (trial)
		return choose_version(transaction, &placement, &request, trial);
	return sr_placement_choose(&placement, &request,
				   sr_transaction_now(transaction));
}

/* FALSE if the request was refused and the transaction freed. */
static gboolean admit(sr_transaction_t *transaction,
		      const sr_placement_choice_t *choice)
{
	const sr_gateway_admission_input_t input = {
		.wait_s = choice->wait_s,
		.first_event_s = choice->first_event_s,
		.target = transaction->route->latency_target,
		.time_left =
			transaction->deadline - sr_transaction_now(transaction),
		.priority = transaction->route->priority,
		.jitter = g_rand_double(transaction->gateway->rng),
	};
	sr_gateway_admission_result_t result = sr_gateway_admit(&input);
	char first[24];
	char occupancy[24];

	if (result.admitted)
		return TRUE;
	g_snprintf(first, sizeof(first), "%.3f", choice->first_event_s);
	g_snprintf(occupancy, sizeof(occupancy), "%.2f", choice->occupancy);
	sr_log_event(transaction->gateway->options.log, SR_LOG_INFO, "refused",
		     "request", transaction->id, "service",
		     transaction->service, "expected_s", first, "occupancy",
		     occupancy, NULL);
	sr_transaction_refuse(transaction, SR_ERR_OVERLOADED,
			      "the expected response time exceeds the limit",
			      result.retry_after);
	return FALSE;
}

static gint request_urgency(const sr_transaction_t *transaction)
{
	const sr_dialect_t *dialect = transaction->gateway->options.dialect;
	const sr_gateway_service_t *service = sr_route_table_service(
		transaction->table, transaction->service);

	if (!dialect->urgency || !service || !service->is_engine)
		return -1;
	return (gint)MIN(effective_priority(transaction), dialect->urgency_max);
}

static GByteArray *serialize_request(const sr_transaction_t *transaction,
				     const sr_instance_t *instance)
{
	const sr_upstream_request_t spec = {
		.dialect = transaction->gateway->options.dialect,
		.request = transaction->request,
		.account = transaction->account ? transaction->account->name :
						  NULL,
		.instance = instance->name,
		.time_left =
			transaction->deadline - sr_transaction_now(transaction),
		.urgency = request_urgency(transaction),
		.resumes = transaction->is_streaming &&
			   transaction->has_last_event,
		.last_event = transaction->last_event,
	};

	return sr_upstream_request_serialize(&spec);
}

gboolean sr_transaction_may_run_twice(const sr_transaction_t *transaction)
{
	return sr_retry_may_run_twice(transaction->route->kind,
				      transaction->route->resumable);
}

/* Instances are ordered by it. A request counts also while it reaches none, but
 * not again for each try. */
static void count_work(sr_transaction_t *transaction)
{
	sr_gateway_service_state_t *state = sr_gateway_service_state(
		transaction->gateway, transaction->service);

	if (transaction->is_work_counted)
		return;
	transaction->is_work_counted = TRUE;
	state->prefill_s +=
		transaction->prefill_tokens / state->speed.tokens_per_s;
}

static void record_attempt(sr_transaction_t *transaction,
			   const sr_placement_choice_t *choice)
{
	sr_gateway_service_state_t *state = sr_gateway_service_state(
		transaction->gateway, transaction->service);
	sr_instance_t *instance = choice->instance;
	sr_usec_t now = sr_transaction_now(transaction);

	instance->in_flight++;
	instance->n_waiting++;
	transaction->is_waiting = TRUE;
	instance->notices.most_in_flight =
		MAX(instance->notices.most_in_flight, instance->in_flight);
	sr_instance_notices_sent(&instance->notices, now);
	sr_instance_pace_sent(&instance->pace, now);
	sr_ejection_begin(&instance->ejection, now);
	transaction->expected_first_event_s = choice->first_event_s;
	transaction->prefill_tokens = choice->uncached_tokens;
	count_work(transaction);
	instance->pending_prompt_tokens += transaction->prefill_tokens;
	transaction->prefill_backlog = instance->pending_prompt_tokens;
	transaction->sent_at = now;
	transaction->n_events = 0;
	transaction->output_at = 0;
	transaction->has_survived = FALSE;
	transaction->is_observed = FALSE;
	if (state->trial)
		sr_version_trial_sent(state->trial, instance->version);
	g_array_append_val(transaction->tried_instances, instance->id);
}

void sr_transaction_on_sent(sr_transaction_t *transaction,
			    const sr_instance_t *instance)
{
	transaction->is_work_counted = FALSE;
	sr_prefix_index_add_sent(transaction->gateway->prefix_index,
				 sr_transaction_now(transaction), instance->id,
				 transaction->prompt.blocks,
				 transaction->prompt.n_blocks);
}

static void send_to(sr_transaction_t *transaction,
		    const sr_placement_choice_t *choice)
{
	const sr_attempt_options_t options = {
		.gateway = transaction->gateway,
		.transaction = transaction,
		.instance = choice->instance,
		.request_id = transaction->id,
		.bytes = serialize_request(transaction, choice->instance),
		.is_stream = transaction->route->kind == SR_ROUTE_STREAM,
		.stream_type = transaction->stream_type,
		.is_head_only = !strcmp(transaction->request->method, "HEAD"),
		.may_run_twice = sr_transaction_may_run_twice(transaction),
	};

	if (transaction->event_parser)
		sr_event_parser_reset(transaction->event_parser);
	record_attempt(transaction, choice);
	transaction->attempt = sr_attempt_new(&options);
	if (transaction->attempt)
		return;
	choice->instance->in_flight--;
	choice->instance->n_waiting--;
	transaction->is_waiting = FALSE;
	choice->instance->pending_prompt_tokens -= transaction->prefill_tokens;
	transaction->n_unsent++;
	sr_transaction_conclude_attempt(
		transaction, SR_ATTEMPT_NOT_SENT,
		"could not open a connection to the instance");
}

/* When an instance of the service takes requests again. */
static sr_usec_t time_to_return(const sr_transaction_t *transaction)
{
	sr_usec_t opens_in = sr_instances_opens_in(
		transaction->gateway->instances, transaction->service,
		sr_transaction_now(transaction));

	return MAX(opens_in, SR_TRANSACTION_RETRY_AFTER);
}

/* FALSE if the request was refused and the transaction freed. */
static gboolean pass_quarantine(sr_transaction_t *transaction)
{
	sr_usec_t retry_after;

	if (!sr_transaction_is_quarantined(transaction, &retry_after))
		return TRUE;
	if (transaction->is_streaming)
		sr_transaction_abort(transaction,
				     sr_err_message(SR_ERR_QUARANTINED));
	else
		sr_transaction_refuse(transaction, SR_ERR_QUARANTINED,
				      sr_err_message(SR_ERR_QUARANTINED),
				      retry_after);
	return FALSE;
}

void sr_transaction_start_attempt(sr_transaction_t *transaction)
{
	sr_placement_choice_t choice;

	if (!pass_quarantine(transaction) || sr_transaction_relay(transaction))
		return;
	choice = choose_instance(transaction);
	if (!choice.instance) {
		if (transaction->is_streaming)
			sr_transaction_abort(
				transaction,
				"no usable instance to resume the stream");
		else
			sr_transaction_refuse(
				transaction, SR_ERR_NO_UPSTREAM,
				"no usable instance of the service",
				time_to_return(transaction));
		return;
	}
	if (transaction->n_sent + transaction->n_unsent == 0 &&
	    !admit(transaction, &choice))
		return;
	send_to(transaction, &choice);
}

/* Updates the failure count of the instance with the outcome. */
static void update_ejection(sr_transaction_t *transaction,
			    sr_instance_t *instance,
			    sr_attempt_outcome_t outcome)
{
	sr_ejection_t *ejection = &instance->ejection;
	sr_usec_t now = sr_transaction_now(transaction);

	switch (outcome) {
	case SR_ATTEMPT_NOT_SENT:
		sr_ejection_failed(ejection, now, EJECTION_WEIGHT_UNREACHABLE);
		break;
	case SR_ATTEMPT_BROKEN:
	case SR_ATTEMPT_FAILED:
	case SR_ATTEMPT_TRUNCATED:
		sr_ejection_failed(ejection, now, EJECTION_WEIGHT_FAILURE);
		break;
	case SR_ATTEMPT_ANSWERED:
		sr_ejection_succeeded(ejection);
		break;
	case SR_ATTEMPT_REJECTED:
		sr_ejection_abandoned(ejection);
		sr_instance_pace_rejected(&instance->pace);
		if (sr_attempt_message(transaction->attempt)->status == 503)
			sr_gateway_instance_is_full(transaction->gateway,
						    instance);
		break;
	}
}

static sr_retry_action_t decide_next(sr_transaction_t *transaction,
				     sr_attempt_outcome_t outcome,
				     const sr_instance_t *instance)
{
	sr_gateway_service_state_t *state = sr_gateway_service_state(
		transaction->gateway, transaction->service);
	const sr_retry_input_t input = {
		.kind = transaction->route->kind,
		.resumable = transaction->route->resumable,
		.outcome = outcome,
		.may_have_run = transaction->may_have_run,
		.n_sent = transaction->n_sent,
		.n_unsent = transaction->n_unsent,
		.max_attempts = transaction->max_attempts,
		.time_left =
			transaction->deadline - sr_transaction_now(transaction),
		.instance_removed = instance && instance->is_removed,
		.in_budget = state->retry_budget.tokens >= 1,
	};

	return sr_retry_next_action(&input);
}

/* Callers take these statuses to mean that the request was not executed. */
static gboolean implies_not_run(unsigned status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Starts another attempt or sends the final response. */
void sr_transaction_conclude_attempt(sr_transaction_t *transaction,
				     sr_attempt_outcome_t outcome,
				     const char *cause)
{
	sr_instance_t *instance =
		transaction->attempt ?
			sr_attempt_instance(transaction->attempt) :
			NULL;
	sr_gateway_service_state_t *state = sr_gateway_service_state(
		transaction->gateway, transaction->service);
	sr_transaction_failure_t failure = { .err = SR_ERR_UPSTREAM_FAILED,
					     .cause = cause };

	switch (decide_next(transaction, outcome, instance)) {
	case SR_RETRY_ACTION_FORWARD:
		/* The instance did not state that the request was not
		 * executed, so the response must not state it either. */
		if (outcome == SR_ATTEMPT_FAILED &&
		    implies_not_run(
			    sr_attempt_message(transaction->attempt)->status))
			sr_transaction_fail(transaction, &failure);
		else
			sr_transaction_forward_response(transaction);
		break;
	case SR_RETRY_ACTION_RETRY:
		sr_transaction_log_retry(transaction, instance, cause);
		if (outcome != SR_ATTEMPT_NOT_SENT)
			sr_retry_budget_take(&state->retry_budget, 1);
		sr_transaction_drop_attempt(transaction);
		sr_transaction_start_attempt(transaction);
		break;
	case SR_RETRY_ACTION_REFUSE:
		sr_transaction_refuse(transaction, SR_ERR_OVERLOADED, cause,
				      SR_TRANSACTION_RETRY_AFTER);
		break;
	case SR_RETRY_ACTION_FAIL:
		sr_transaction_fail(transaction, &failure);
		break;
	case SR_RETRY_ACTION_ABORT:
		sr_transaction_abort(transaction, cause);
		break;
	}
}

/* Returns SR_ATTEMPT_TRUNCATED if the response can't continue the stream that
 * the caller has already received in part, else the outcome unchanged. */
static sr_attempt_outcome_t
outcome_for_stream(const sr_transaction_t *transaction,
		   sr_attempt_outcome_t outcome)
{
	if (!transaction->is_streaming)
		return outcome;
	if (outcome == SR_ATTEMPT_ANSWERED &&
	    sr_attempt_is_event_stream(transaction->attempt))
		return outcome;
	return SR_ATTEMPT_TRUNCATED;
}

/* A stream without any event still needs a response head. Empty lines may
 * follow its last event. */
void sr_transaction_finish_stream(sr_transaction_t *transaction)
{
	const guint8 *rest = NULL;
	gsize size = 0;

	if (!transaction->is_streaming)
		sr_transaction_begin_stream(transaction);
	if (transaction->event_parser)
		rest = sr_event_parser_rest(transaction->event_parser, &size);
	sr_session_write_chunk(transaction->session, rest, size);
	sr_transaction_end_stream(transaction);
}

static void observe_duration(const sr_transaction_t *transaction)
{
	sr_gateway_service_state_t *state = sr_gateway_service_state(
		transaction->gateway, transaction->service);

	sr_engine_speed_add_duration(&state->speed,
				     sr_transaction_now(transaction) -
					     transaction->sent_at);
}

/* A stream that ended inside an event; or without any, if only the end of its
 * connection says that it is complete. */
static gboolean is_broken_stream(const sr_transaction_t *transaction)
{
	const sr_message_t *message = sr_attempt_message(transaction->attempt);

	if (!sr_attempt_is_event_stream(transaction->attempt))
		return FALSE;
	if (message->ends_at_close && transaction->n_events == 0)
		return TRUE;
	return transaction->event_parser &&
	       !sr_event_parser_is_between_events(transaction->event_parser);
}

void sr_transaction_on_attempt_ended(sr_transaction_t *transaction,
				     sr_attempt_outcome_t outcome)
{
	sr_instance_t *instance = sr_attempt_instance(transaction->attempt);
	gboolean is_cut = sr_attempt_is_cut(transaction->attempt);

	if (sr_attempt_is_relay(transaction->attempt)) {
		update_ejection(transaction, instance, outcome);
		sr_transaction_on_relay_ended(
			transaction, outcome_for_stream(transaction, outcome));
		return;
	}
	if (sr_attempt_is_sent(transaction->attempt))
		transaction->n_sent++;
	else
		transaction->n_unsent++;
	if (outcome == SR_ATTEMPT_ANSWERED && is_broken_stream(transaction)) {
		outcome = SR_ATTEMPT_BROKEN;
		is_cut = TRUE;
	}
	outcome = outcome_for_stream(transaction, outcome);
	sr_counter_add(transaction->gateway->metrics.attempts[outcome], 1);
	update_ejection(transaction, instance, outcome);
	if (is_cut)
		sr_transaction_report_cut(transaction);
	else if (outcome == SR_ATTEMPT_ANSWERED)
		sr_transaction_report_answer(transaction);
	sr_transaction_observe_end(transaction, outcome);
	if (outcome != SR_ATTEMPT_NOT_SENT && outcome != SR_ATTEMPT_REJECTED) {
		transaction->may_have_run = TRUE;
		if (transaction->route->kind != SR_ROUTE_STREAM)
			sr_transaction_report_execution(transaction);
	}
	if (outcome == SR_ATTEMPT_ANSWERED) {
		observe_duration(transaction);
		if (transaction->n_events == 0)
			record_output(transaction);
	}
	if (outcome == SR_ATTEMPT_ANSWERED &&
	    sr_attempt_is_event_stream(transaction->attempt))
		sr_transaction_finish_stream(transaction);
	else
		sr_transaction_conclude_attempt(
			transaction, outcome,
			sr_attempt_cause(transaction->attempt));
}

void sr_transaction_caller_disconnected(sr_transaction_t *transaction)
{
	sr_counter_add(transaction->gateway->metrics.callers_left, 1);
	sr_transaction_observe_incomplete(transaction);
	sr_transaction_log_end(transaction, "caller-left", 0,
			       "connection closed by the caller");
	sr_transaction_free(transaction);
}

static void on_deadline(void *user)
{
	sr_transaction_t *transaction = user;
	gboolean sent = transaction->attempt &&
			sr_attempt_is_sent(transaction->attempt);

	transaction->deadline_timer = NULL;
	sr_transaction_observe_deadline(transaction);
	if (transaction->is_streaming) {
		sr_transaction_abort(transaction, "deadline exceeded");
	} else if (sent || transaction->may_have_run) {
		const sr_transaction_failure_t failure = {
			.err = SR_ERR_DEADLINE, .cause = "deadline exceeded"
		};

		transaction->may_have_run = TRUE;
		sr_transaction_fail(transaction, &failure);
	} else {
		sr_transaction_refuse(transaction, SR_ERR_OVERLOADED,
				      "deadline exceeded",
				      SR_TRANSACTION_RETRY_AFTER);
	}
}

static void set_deadline(sr_transaction_t *transaction)
{
	const sr_dialect_t *dialect = transaction->gateway->options.dialect;
	const char *text = dialect->deadline_ms ?
				   sr_headers_get(transaction->request->headers,
						  dialect->deadline_ms) :
				   NULL;
	sr_usec_t timeout = transaction->route->timeout > 0 ?
				    transaction->route->timeout :
				    DEFAULT_TIMEOUT;
	guint64 ms;

	if (text &&
	    g_ascii_string_to_unsigned(text, 10, 1, G_MAXUINT32, &ms, NULL))
		timeout = MIN(timeout, (sr_usec_t)ms * SR_MSEC);
	transaction->deadline = transaction->started_at + timeout;
	transaction->deadline_timer = sr_timer_start(
		transaction->gateway->options.clock,
		transaction->deadline - sr_transaction_now(transaction),
		on_deadline, transaction);
}

static void reject_over_limit(sr_transaction_t *transaction, sr_usec_t wait)
{
	sr_transaction_log_limited(transaction,
				   sr_transaction_cost(transaction), wait);
	sr_transaction_refuse(transaction, SR_ERR_ACCOUNT_LIMIT,
			      "the account's allowance is used up", wait);
}

static void on_pool_reply(void *user, sr_usec_t wait)
{
	sr_transaction_t *transaction = user;

	transaction->awaits_pool = FALSE;
	if (wait > 0)
		reject_over_limit(transaction, wait);
	else
		sr_transaction_start_attempt(transaction);
}

/* Charges the account's allowance, from its pool if this host's share is used
 * up, then starts the first attempt. */
void sr_transaction_charge(sr_transaction_t *transaction)
{
	const sr_gateway_options_t *options = &transaction->gateway->options;
	const char *account;
	double cost;
	sr_usec_t wait;

	if (!transaction->account) {
		sr_transaction_start_attempt(transaction);
		return;
	}
	account = transaction->account->name;
	cost = sr_transaction_cost(transaction);
	wait = sr_allowance_take(transaction->gateway->allowance,
				 sr_transaction_now(transaction), account,
				 cost);
	if (wait == 0) {
		transaction->charged = cost;
		sr_transaction_start_attempt(transaction);
	} else if (options->take_from_pool) {
		transaction->awaits_pool = TRUE;
		options->take_from_pool(options->user, account, cost,
					on_pool_reply, transaction);
	} else {
		reject_over_limit(transaction, wait);
	}
}

/* FALSE if the planned stop of this host may cut the response off. Only the
 * deadline bounds a response: how long others took says nothing of the longest
 * ones. Within the accept period callers may not have another host; other hosts
 * that pass requests on do. */
static gboolean ends_before_stop(const sr_transaction_t *transaction)
{
	const sr_gateway_t *gateway = transaction->gateway;
	sr_usec_t now = sr_transaction_now(transaction);

	if (!gateway->stopping ||
	    (!sr_session_is_relayed(transaction->session) &&
	     !sr_gateway_is_past_accept_period(gateway, now)))
		return TRUE;
	return transaction->deadline + STOP_MARGIN <=
	       now + sr_gateway_stops_in(gateway, now);
}

/* Another host that passes a request on may have made attempts itself. */
static void set_max_attempts(sr_transaction_t *transaction)
{
	const char *left = sr_headers_get(transaction->request->headers,
					  SR_RELAY_ATTEMPTS);
	guint64 n;

	transaction->max_attempts = transaction->route->max_attempts;
	if (sr_session_is_relayed(transaction->session) && left &&
	    g_ascii_string_to_unsigned(left, 10, 1, G_MAXUINT, &n, NULL))
		transaction->max_attempts =
			MIN(transaction->max_attempts, (unsigned)n);
}

static void handle_request(sr_transaction_t *transaction)
{
	sr_gateway_t *gateway = transaction->gateway;
	sr_err_t err = sr_transaction_classify(transaction);

	if (err) {
		sr_transaction_refuse(transaction, err, sr_err_message(err),
				      err == SR_ERR_NO_UPSTREAM ?
					      SR_TRANSACTION_RETRY_AFTER :
					      0);
		return;
	}
	set_deadline(transaction);
	if (!ends_before_stop(transaction)) {
		sr_transaction_refuse(transaction, SR_ERR_DRAINING,
				      "this host is stopping",
				      SR_TRANSACTION_RETRY_AFTER);
		return;
	}
	if (sr_session_is_relayed(transaction->session) &&
	    !sr_gateway_reaches(gateway, transaction->service)) {
		sr_transaction_refuse(transaction, SR_ERR_UNREACHED,
				      sr_err_message(SR_ERR_UNREACHED), 0);
		return;
	}
	set_max_attempts(transaction);
	gateway->options.dialect->parse_prompt(transaction->request->headers,
					       &transaction->prompt);
	sr_retry_budget_earn(
		&sr_gateway_service_state(gateway, transaction->service)
			 ->retry_budget);
	sr_transaction_read_last_event(transaction);
	if (pass_quarantine(transaction))
		sr_transaction_charge(transaction);
}

void sr_transaction_begin(sr_session_t *session, sr_gateway_t *gateway,
			  const sr_message_t *request, sr_usec_t started_at,
			  sr_transaction_t **transaction_out)
{
	sr_transaction_t *transaction = g_new0(sr_transaction_t, 1);

	transaction->session = session;
	transaction->gateway = gateway;
	transaction->request = request;
	transaction->started_at = started_at;
	transaction->tried_instances =
		g_array_new(FALSE, FALSE, sizeof(guint32));
	transaction->tried_hosts = g_array_new(FALSE, FALSE, sizeof(guint32));
	if (gateway->table)
		transaction->table = sr_route_table_ref(gateway->table);
	sr_list_append(&gateway->transactions, &transaction->link);
	gateway->n_transactions++;
	sr_gauge_add(gateway->metrics.transactions, 1);
	*transaction_out = transaction;
	handle_request(transaction);
}
