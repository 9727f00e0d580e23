#include <string.h>

#include "core/gateway_admission.h"
#include "gateway/transaction.h"

/** Longest time for an answer where neither side states one. */
#define TIMEOUT_DEFAULT (60 * SR_SEC)

/** Weight of a failure in the ejection of an instance: one that can't be
 * reached is out at once, others after a row of failures. */
#define EJECT_AT_ONCE 4
#define EJECT_AFTER_ROW 1

static void on_first_event(sr_transaction_t *transaction)
{
	sr_gateway_service_state_t *state = sr_gateway_service_state(
		transaction->gateway, transaction->service);

	if (transaction->unread_before >= 0)
		sr_engine_speed_add_first_event(
			&state->speed, transaction->unread_before,
			sr_transaction_now(transaction) - transaction->sent_at);
	if (transaction->unread_before >= 0 && transaction->attempt)
		sr_placement_observe(sr_attempt_instance(transaction->attempt),
				     transaction->expected_s,
				     sr_transaction_now(transaction) -
					     transaction->sent_at,
				     sr_transaction_now(transaction));
	transaction->unread_before = -1;
	sr_transaction_release_unread(transaction);
	sr_transaction_note_run(transaction);
}

void sr_transaction_on_stream(sr_transaction_t *transaction, const guint8 *data,
			      gsize size)
{
	sr_event_t event;

	if (!transaction->events)
		transaction->events = sr_events_new();
	if (!sr_events_feed(transaction->events, data, size)) {
		sr_transaction_break_off(transaction, "event too large");
		return;
	}
	while (sr_events_next(transaction->events, &event)) {
		on_first_event(transaction);
		if (event.has_id && transaction->has_last_event &&
		    event.id <= transaction->last_event)
			continue;
		if (!transaction->is_streaming)
			sr_transaction_begin_stream(transaction);
		sr_session_part(transaction->session, event.data, event.size);
		if (event.has_id) {
			transaction->has_last_event = TRUE;
			transaction->last_event = event.id;
		}
	}
}

static unsigned priority_of(const sr_transaction_t *transaction)
{
	if (transaction->account && transaction->account->has_priority)
		return transaction->account->priority;
	return transaction->route->priority;
}

static sr_placement_choice_t choose(sr_transaction_t *transaction)
{
	sr_gateway_t *gateway = transaction->gateway;
	const sr_gateway_service_t *service = sr_route_table_service(
		transaction->table, transaction->service);
	const sr_placement_t placement = {
		.instances = gateway->instances,
		.index = gateway->prefixes,
		.failure_domain = gateway->options.failure_domain,
	};
	const sr_placement_request_t request = {
		.service = transaction->service,
		.is_engine = service && service->is_engine,
		.prompt = &transaction->prompt,
		.speed =
			&sr_gateway_service_state(gateway, transaction->service)
				 ->speed,
		.tried = (const guint32 *)(void *)transaction->tried->data,
		.n_tried = transaction->tried->len,
		.jitter = g_rand_double(gateway->random),
	};

	return sr_placement_choose(&placement, &request,
				   sr_transaction_now(transaction));
}

/* FALSE if the request was refused. */
static gboolean admit(sr_transaction_t *transaction,
		      const sr_placement_choice_t *choice)
{
	const sr_admission_input_t facts = {
		.wait_s = choice->wait_s,
		.first_event_s = choice->first_event_s,
		.target = transaction->route->target,
		.time_left = transaction->due - sr_transaction_now(transaction),
		.priority = transaction->route->priority,
		.jitter = g_rand_double(transaction->gateway->random),
	};
	sr_admission_result_t verdict = sr_gateway_admit(&facts);
	char first[24];
	char occupancy[24];

	if (verdict.admitted)
		return TRUE;
	g_snprintf(first, sizeof(first), "%.3f", choice->first_event_s);
	g_snprintf(occupancy, sizeof(occupancy), "%.2f", choice->occupancy);
	sr_log_event(transaction->gateway->options.log, SR_LOG_INFO, "refused",
		     "request", transaction->id, "service",
		     transaction->service, "expected_s", first, "occupancy",
		     occupancy, NULL);
	sr_transaction_refuse(transaction, SR_ERR_OVERLOADED,
			      "the answer would come too late",
			      verdict.retry_after);
	return FALSE;
}

static gint urgency_of(const sr_transaction_t *transaction)
{
	const sr_dialect_t *dialect = transaction->gateway->options.dialect;
	const sr_gateway_service_t *service = sr_route_table_service(
		transaction->table, transaction->service);

	if (!dialect->urgency || !service || !service->is_engine)
		return -1;
	return (gint)MIN(priority_of(transaction), dialect->urgency_max);
}

static GByteArray *request_bytes(const sr_transaction_t *transaction,
				 const sr_instance_t *instance)
{
	const sr_request_head_t head = {
		.dialect = transaction->gateway->options.dialect,
		.request = transaction->request,
		.account = transaction->account ? transaction->account->name :
						  NULL,
		.instance = instance->name,
		.time_left = transaction->due - sr_transaction_now(transaction),
		.urgency = urgency_of(transaction),
		.resumes = transaction->is_streaming &&
			   transaction->has_last_event,
		.last_event = transaction->last_event,
	};

	return sr_request_bytes(&head);
}

static gboolean may_run_twice(const sr_transaction_t *transaction)
{
	return sr_retry_may_run_twice(transaction->route->kind,
				      transaction->route->resumable);
}

static void go_on(sr_transaction_t *transaction, sr_attempt_outcome_t outcome,
		  const char *cause);

static void account_attempt(sr_transaction_t *transaction,
			    const sr_placement_choice_t *choice)
{
	sr_gateway_service_state_t *state = sr_gateway_service_state(
		transaction->gateway, transaction->service);
	sr_instance_t *instance = choice->instance;
	sr_usec_t now = sr_transaction_now(transaction);

	instance->in_flight++;
	sr_ejection_begin(&instance->ejection, now);
	transaction->expected_s = choice->first_event_s;
	transaction->unread = choice->uncached_tokens;
	state->work_s += transaction->unread / state->speed.tokens_per_s;
	instance->pending_prompt_tokens += transaction->unread;
	transaction->unread_before = instance->pending_prompt_tokens;
	transaction->sent_at = now;
	g_array_append_val(transaction->tried, instance->id);
	sr_prefix_index_add_sent(transaction->gateway->prefixes, now,
				 instance->id, transaction->prompt.blocks,
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
		.bytes = request_bytes(transaction, choice->instance),
		.is_stream = transaction->route->kind == SR_ROUTE_STREAM,
		.is_head_only = !strcmp(transaction->request->method, "HEAD"),
		.may_run_twice = may_run_twice(transaction),
	};

	if (transaction->events)
		sr_events_reset(transaction->events);
	account_attempt(transaction, choice);
	transaction->attempt = sr_attempt_new(&options);
	if (transaction->attempt)
		return;
	choice->instance->in_flight--;
	choice->instance->pending_prompt_tokens -= transaction->unread;
	transaction->n_unsent++;
	go_on(transaction, SR_ATTEMPT_NOT_SENT, "no socket");
}

static void start_attempt(sr_transaction_t *transaction)
{
	sr_placement_choice_t choice = choose(transaction);

	if (!choice.instance) {
		if (transaction->is_streaming)
			sr_transaction_break_off(transaction,
						 "no instance to go on at");
		else
			sr_transaction_refuse(transaction, SR_ERR_NO_UPSTREAM,
					      "no instance is usable",
					      SR_TRANSACTION_RETRY_SOON);
		return;
	}
	if (transaction->n_sent + transaction->n_unsent == 0 &&
	    !admit(transaction, &choice))
		return;
	send_to(transaction, &choice);
}

/* What the attempt says of its instance's health. */
static void judge_instance(sr_transaction_t *transaction,
			   sr_instance_t *instance,
			   sr_attempt_outcome_t outcome)
{
	sr_ejection_t *ejection = &instance->ejection;
	sr_usec_t now = sr_transaction_now(transaction);

	switch (outcome) {
	case SR_ATTEMPT_NOT_SENT:
		sr_ejection_failed(ejection, now, EJECT_AT_ONCE);
		break;
	case SR_ATTEMPT_BROKEN:
	case SR_ATTEMPT_FAILED:
	case SR_ATTEMPT_TRUNCATED:
		sr_ejection_failed(ejection, now, EJECT_AFTER_ROW);
		break;
	case SR_ATTEMPT_ANSWERED:
		sr_ejection_succeeded(ejection);
		break;
	case SR_ATTEMPT_REJECTED:
		sr_ejection_abandoned(ejection);
		break;
	}
}

static sr_retry_action_t next_of(sr_transaction_t *transaction,
				 sr_attempt_outcome_t outcome,
				 const sr_instance_t *instance)
{
	sr_gateway_service_state_t *state = sr_gateway_service_state(
		transaction->gateway, transaction->service);
	const sr_retry_input_t facts = {
		.kind = transaction->route->kind,
		.resumable = transaction->route->resumable,
		.outcome = outcome,
		.may_have_run = transaction->may_have_run,
		.n_sent = transaction->n_sent,
		.n_unsent = transaction->n_unsent,
		.max_attempts = transaction->route->max_attempts,
		.time_left = transaction->due - sr_transaction_now(transaction),
		.instance_removed = instance && instance->is_removed,
		.in_budget = state->retries.tokens >= 1,
	};

	return sr_retry_next_action(&facts);
}

static gboolean is_promise(unsigned status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* The attempt is over: try again or give the final answer. */
static void go_on(sr_transaction_t *transaction, sr_attempt_outcome_t outcome,
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

	switch (next_of(transaction, outcome, instance)) {
	case SR_RETRY_ACTION_FORWARD:
		/* Our word that it has not run is not the instance's. */
		if (outcome == SR_ATTEMPT_FAILED &&
		    is_promise(
			    sr_attempt_message(transaction->attempt)->status))
			sr_transaction_fail(transaction, &failure);
		else
			sr_transaction_pass_on(transaction);
		break;
	case SR_RETRY_ACTION_RETRY:
		sr_transaction_log_retry(transaction, instance, cause);
		if (outcome != SR_ATTEMPT_NOT_SENT)
			sr_retry_budget_take(&state->retries, 1);
		sr_transaction_drop_attempt(transaction);
		start_attempt(transaction);
		break;
	case SR_RETRY_ACTION_REFUSE:
		sr_transaction_refuse(transaction, SR_ERR_OVERLOADED, cause,
				      SR_TRANSACTION_RETRY_SOON);
		break;
	case SR_RETRY_ACTION_FAIL:
		sr_transaction_fail(transaction, &failure);
		break;
	case SR_RETRY_ACTION_ABORT:
		sr_transaction_break_off(transaction, cause);
		break;
	}
}

/* An answer that can't follow on what the caller has of a stream. */
static sr_attempt_outcome_t as_cut(const sr_transaction_t *transaction,
				   sr_attempt_outcome_t outcome)
{
	const sr_message_t *message = sr_attempt_message(transaction->attempt);

	if (!transaction->is_streaming)
		return outcome;
	if (outcome == SR_ATTEMPT_ANSWERED && message->status < 300)
		return outcome;
	return SR_ATTEMPT_TRUNCATED;
}

/* A whole stream: its last event may lack the empty line. */
static void finish_stream(sr_transaction_t *transaction)
{
	if (!transaction->is_streaming)
		sr_transaction_begin_stream(transaction);
	sr_transaction_end_stream(transaction);
}

static gboolean is_whole_stream(const sr_transaction_t *transaction)
{
	const sr_message_t *message = sr_attempt_message(transaction->attempt);

	return transaction->route->kind == SR_ROUTE_STREAM &&
	       message->status < 300;
}

static void note_duration(const sr_transaction_t *transaction)
{
	sr_gateway_service_state_t *state = sr_gateway_service_state(
		transaction->gateway, transaction->service);

	sr_engine_speed_add_duration(&state->speed,
				     sr_transaction_now(transaction) -
					     transaction->sent_at);
}

void sr_transaction_on_ended(sr_transaction_t *transaction,
			     sr_attempt_outcome_t outcome)
{
	sr_instance_t *instance = sr_attempt_instance(transaction->attempt);

	if (sr_attempt_is_sent(transaction->attempt))
		transaction->n_sent++;
	else
		transaction->n_unsent++;
	if (outcome == SR_ATTEMPT_ANSWERED && is_whole_stream(transaction) &&
	    transaction->events && !sr_events_is_clean(transaction->events))
		outcome = SR_ATTEMPT_BROKEN;
	outcome = as_cut(transaction, outcome);
	sr_counter_add(transaction->gateway->meters.attempts[outcome], 1);
	judge_instance(transaction, instance, outcome);
	if (outcome != SR_ATTEMPT_NOT_SENT && outcome != SR_ATTEMPT_REJECTED) {
		transaction->may_have_run = TRUE;
		if (transaction->route->kind != SR_ROUTE_STREAM)
			sr_transaction_note_run(transaction);
	}
	if (outcome == SR_ATTEMPT_ANSWERED)
		note_duration(transaction);
	if (outcome == SR_ATTEMPT_ANSWERED && is_whole_stream(transaction))
		finish_stream(transaction);
	else
		go_on(transaction, outcome,
		      sr_attempt_cause(transaction->attempt));
}

void sr_transaction_caller_left(sr_transaction_t *transaction)
{
	sr_counter_add(transaction->gateway->meters.left, 1);
	sr_transaction_log_end(transaction, "caller-left", 0,
			       "connection closed by the caller");
	sr_transaction_free(transaction);
}

static void on_due(void *user)
{
	sr_transaction_t *transaction = user;
	gboolean sent = transaction->attempt &&
			sr_attempt_is_sent(transaction->attempt);

	transaction->due_timer = NULL;
	if (transaction->is_streaming) {
		sr_transaction_break_off(transaction, "time limit");
	} else if (sent || transaction->may_have_run) {
		const sr_transaction_failure_t failure = {
			.err = SR_ERR_DEADLINE, .cause = "time limit"
		};

		transaction->may_have_run = TRUE;
		sr_transaction_fail(transaction, &failure);
	} else {
		sr_transaction_refuse(transaction, SR_ERR_OVERLOADED,
				      "time limit", SR_TRANSACTION_RETRY_SOON);
	}
}

static void set_due(sr_transaction_t *transaction)
{
	const sr_dialect_t *dialect = transaction->gateway->options.dialect;
	const char *text = dialect->deadline_ms ?
				   sr_headers_get(transaction->request->headers,
						  dialect->deadline_ms) :
				   NULL;
	sr_usec_t limit = transaction->route->timeout > 0 ?
				  transaction->route->timeout :
				  TIMEOUT_DEFAULT;
	guint64 ms;

	if (text &&
	    g_ascii_string_to_unsigned(text, 10, 1, G_MAXUINT32, &ms, NULL))
		limit = MIN(limit, (sr_usec_t)ms * SR_MSEC);
	transaction->due = transaction->began + limit;
	transaction->due_timer = sr_timer_start(
		transaction->gateway->options.clock,
		transaction->due - sr_transaction_now(transaction), on_due,
		transaction);
}

static void limit(sr_transaction_t *transaction, sr_usec_t wait)
{
	sr_transaction_log_limited(transaction,
				   sr_transaction_amount(transaction), wait);
	sr_transaction_refuse(transaction, SR_ERR_ACCOUNT_LIMIT,
			      "the account's allowance is used up", wait);
}

static void on_pool_answer(void *user, sr_usec_t wait)
{
	sr_transaction_t *transaction = user;

	transaction->asks_pool = FALSE;
	if (wait > 0)
		limit(transaction, wait);
	else
		start_attempt(transaction);
}

/* Goes on once the account's allowance has room for the request. */
static void take_allowance(sr_transaction_t *transaction)
{
	const sr_gateway_options_t *options = &transaction->gateway->options;
	const char *account;
	double amount;
	sr_usec_t wait;

	if (!transaction->account) {
		start_attempt(transaction);
		return;
	}
	account = transaction->account->name;
	amount = sr_transaction_amount(transaction);
	wait = sr_allowance_take(transaction->gateway->allowance,
				 sr_transaction_now(transaction), account,
				 amount);
	if (wait == 0) {
		transaction->charged = amount;
		start_attempt(transaction);
	} else if (options->ask_pool) {
		transaction->asks_pool = TRUE;
		options->ask_pool(options->user, account, amount,
				  on_pool_answer, transaction);
	} else {
		limit(transaction, wait);
	}
}

static void run(sr_transaction_t *transaction)
{
	sr_gateway_t *gateway = transaction->gateway;
	sr_err_t err = sr_transaction_classify(transaction);

	if (err) {
		sr_transaction_refuse(transaction, err, sr_err_message(err),
				      err == SR_ERR_NO_UPSTREAM ?
					      SR_TRANSACTION_RETRY_SOON :
					      0);
		return;
	}
	gateway->options.dialect->read_prompt(transaction->request->headers,
					      &transaction->prompt);
	sr_retry_budget_earn(
		&sr_gateway_service_state(gateway, transaction->service)
			 ->retries);
	sr_transaction_read_last_event(transaction);
	set_due(transaction);
	take_allowance(transaction);
}

void sr_transaction_begin(sr_session_t *session, sr_gateway_t *gateway,
			  const sr_message_t *request, sr_usec_t began,
			  sr_transaction_t **slot)
{
	sr_transaction_t *transaction = g_new0(sr_transaction_t, 1);

	transaction->session = session;
	transaction->gateway = gateway;
	transaction->request = request;
	transaction->began = began;
	transaction->tried = g_array_new(FALSE, FALSE, sizeof(guint32));
	if (gateway->table)
		transaction->table = sr_route_table_ref(gateway->table);
	sr_list_append(&gateway->transactions, &transaction->link);
	gateway->n_transactions++;
	sr_gauge_add(gateway->meters.transactions, 1);
	*slot = transaction;
	run(transaction);
}
