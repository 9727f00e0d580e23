#include <stdlib.h>
#include <string.h>

#include "base/problem.h"
#include "base/token.h"
#include "core/gateway_admission.h"
#include "gateway/internal.h"

/** Longest time for an answer where neither side states one. */
#define TIMEOUT_DEFAULT (60 * SR_SEC)

/** When to come back after a refusal that has no better figure. */
#define RETRY_SOON (300 * SR_MSEC)

/** Weight of a failure in the ejection of an instance: one that can't be
 * reached is out at once, others after a row of failures. */
#define EJECT_AT_ONCE 4
#define EJECT_AFTER_ROW 1

struct sr_transaction {
	sr_list_t link;
	sr_gateway_t *gateway;
	sr_session_t *session;
	const sr_message_t *request; /* borrowed from the session */
	sr_route_table_t *table;
	const sr_gateway_route_t *route;
	const sr_gateway_account_t *account;
	const char *service;
	const char *id;
	sr_usec_t began;
	sr_usec_t due; /* of the final answer */
	sr_timer_t *due_timer;
	sr_prompt_t prompt;
	double charged; /* of the account's allowance */
	/* the attempt under way */
	sr_attempt_t *attempt;
	sr_usec_t sent_at;
	double expected_s;	  /* to its first event, as it was placed */
	sr_usec_t first_event_at; /* 0 if there was none */
	double unread;		  /* prompt tokens counted at the instance */
	double unread_before;	  /* all that were to be read there */
	/* all attempts */
	GArray *tried; /* guint32, ids of instances */
	unsigned n_sent;
	unsigned n_unsent;
	gboolean may_have_run;
	gboolean has_begun_run; /* told of by began() */
	/* a stream */
	sr_events_t *events;
	gboolean is_streaming; /* its head went to the caller */
	gboolean has_last_event;
	guint64 last_event;
};

static sr_usec_t now_of(const sr_transaction_t *transaction)
{
	return sr_gateway_now(transaction->gateway);
}

static void clear_prompt(sr_prompt_t *prompt)
{
	g_free(prompt->blocks);
	g_free(prompt->tokens);
}

/* The prompt is read, or never will be: it is no load any more. */
static void release_unread(sr_transaction_t *transaction)
{
	if (!transaction->attempt)
		return;
	sr_attempt_instance(transaction->attempt)->unread_tokens -=
		transaction->unread;
	transaction->unread = 0;
}

static void drop_attempt(sr_transaction_t *transaction)
{
	if (!transaction->attempt)
		return;
	release_unread(transaction);
	sr_attempt_instance(transaction->attempt)->in_flight--;
	sr_attempt_free(transaction->attempt);
	transaction->attempt = NULL;
}

static void free_transaction(sr_transaction_t *transaction)
{
	drop_attempt(transaction);
	sr_timer_cancel(transaction->due_timer);
	sr_list_remove(&transaction->link);
	transaction->gateway->n_transactions--;
	sr_gauge_add(transaction->gateway->meters.transactions, -1);
	clear_prompt(&transaction->prompt);
	sr_events_free(transaction->events);
	g_array_free(transaction->tried, TRUE);
	sr_route_table_unref(transaction->table);
	g_free(transaction);
}

static void log_end(const sr_transaction_t *transaction, const char *event,
		    unsigned status, const char *cause)
{
	const sr_gateway_t *gateway = transaction->gateway;
	const sr_instance_t *instance =
		transaction->attempt ?
			sr_attempt_instance(transaction->attempt) :
			NULL;
	char code[16];
	char sent[32];
	char took[24];
	char table[24];
	char first[40];

	g_snprintf(first, sizeof(first), "%.1f/%.1f",
		   transaction->first_event_at > 0 ?
			   (double)(transaction->first_event_at -
				    transaction->sent_at) /
				   SR_MSEC :
			   0,
		   transaction->expected_s * 1000);
	g_snprintf(code, sizeof(code), "%u", status);
	g_snprintf(sent, sizeof(sent), "%u+%u", transaction->n_sent,
		   transaction->n_unsent);
	g_snprintf(took, sizeof(took), "%.1f",
		   (double)(now_of(transaction) - transaction->began) /
			   SR_MSEC);
	g_snprintf(table, sizeof(table), "%" G_GUINT64_FORMAT,
		   transaction->table ? transaction->table->version : 0);
	sr_log_event(gateway->options.log, SR_LOG_INFO, event, "request",
		     transaction->id ? transaction->id : "", "route",
		     transaction->route ? transaction->route->name : "",
		     "account",
		     transaction->account ? transaction->account->name : "",
		     "status", code, "cause", cause, "instance",
		     instance ? instance->name : "", "sent", sent, "ms", took,
		     "first_ms", first, "table", table, NULL);
}

static void count_end(const sr_transaction_t *transaction, unsigned status)
{
	const sr_gateway_meters_t *meters = &transaction->gateway->meters;

	sr_counter_add(meters->answered[MIN(status / 100, 5)], 1);
	sr_histogram_observe(
		meters->duration,
		(double)(now_of(transaction) - transaction->began) / SR_SEC);
}

typedef struct {
	sr_err_t err;
	const char *cause;
	sr_usec_t retry_after;
} failure_t;

/* Answers with a failure of our own and ends the transaction. */
static void fail(sr_transaction_t *transaction, const failure_t *failure)
{
	const sr_problem_t problem = {
		.err = failure->err,
		.detail = failure->cause,
		.maybe_executed = transaction->may_have_run,
		.retry_after = failure->retry_after,
		.request_id = transaction->id,
	};
	char *body = sr_problem_json(&problem);
	const sr_answer_t answer = {
		.status = sr_err_http_status(failure->err),
		.content_type = SR_PROBLEM_TYPE,
		.retry_after = failure->retry_after,
		.request_id = transaction->id,
		.body = (const guint8 *)body,
		.size = strlen(body),
	};
	sr_session_t *session = transaction->session;

	if (transaction->account && transaction->charged > 0 &&
	    transaction->n_sent == 0)
		sr_allowance_give_back(transaction->gateway->allowance,
				       transaction->account->name,
				       transaction->charged);
	count_end(transaction, answer.status);
	log_end(transaction, "failed", answer.status, failure->cause);
	free_transaction(transaction);
	sr_session_answer(session, &answer);
	g_free(body);
}

/* A refusal says that the request has not run; it must be true. */
static void refuse(sr_transaction_t *transaction, sr_err_t err,
		   const char *cause, sr_usec_t retry_after)
{
	const failure_t failure = {
		.err = transaction->may_have_run ? SR_ERR_OUTCOME_UNKNOWN : err,
		.cause = cause,
		.retry_after = transaction->may_have_run ? 0 : retry_after,
	};

	fail(transaction, &failure);
}

static void break_off(sr_transaction_t *transaction, const char *cause)
{
	sr_session_t *session = transaction->session;

	sr_counter_add(transaction->gateway->meters.cut, 1);
	log_end(transaction, "broken-off", 0, cause);
	free_transaction(transaction);
	sr_session_break_off(session);
}

static void note_run(sr_transaction_t *transaction)
{
	const sr_gateway_options_t *options = &transaction->gateway->options;

	if (transaction->has_begun_run)
		return;
	transaction->has_begun_run = TRUE;
	if (options->began && transaction->account)
		options->began(options->user, transaction->account->name);
}

/* Passes on an instance's whole answer. */
static void pass_on(sr_transaction_t *transaction)
{
	const sr_message_t *message = sr_attempt_message(transaction->attempt);
	const sr_answer_t answer = {
		.status = message->status,
		.reason = message->reason,
		.headers = message->headers,
		.body = message->body->data,
		.size = message->body->len,
	};
	sr_session_t *session = transaction->session;
	sr_attempt_t *attempt = transaction->attempt;

	count_end(transaction, answer.status);
	log_end(transaction, "answered", answer.status, "instance's answer");
	/* The answer is the attempt's, which must outlive the transaction. */
	release_unread(transaction);
	sr_attempt_instance(attempt)->in_flight--;
	transaction->attempt = NULL;
	free_transaction(transaction);
	sr_session_answer(session, &answer);
	sr_attempt_free(attempt);
}

static void end_stream(sr_transaction_t *transaction)
{
	sr_session_t *session = transaction->session;

	count_end(transaction, 200);
	log_end(transaction, "answered", 200, "stream");
	free_transaction(transaction);
	sr_session_end(session);
}

static void begin_stream(sr_transaction_t *transaction)
{
	const sr_message_t *message = sr_attempt_message(transaction->attempt);
	const sr_answer_t head = {
		.status = message->status,
		.reason = message->reason,
		.headers = message->headers,
	};

	transaction->is_streaming = TRUE;
	transaction->first_event_at = now_of(transaction);
	sr_histogram_observe(
		transaction->gateway->meters.first_event,
		(double)(now_of(transaction) - transaction->began) / SR_SEC);
	sr_session_begin(transaction->session, &head);
}

static void on_first_event(sr_transaction_t *transaction)
{
	sr_gateway_service_state_t *state = sr_gateway_service_state(
		transaction->gateway, transaction->service);

	if (transaction->unread_before >= 0)
		sr_engine_speed_first(&state->speed, transaction->unread_before,
				      now_of(transaction) -
					      transaction->sent_at);
	if (transaction->unread_before >= 0 && transaction->attempt)
		sr_placement_observe(sr_attempt_instance(transaction->attempt),
				     transaction->expected_s,
				     now_of(transaction) - transaction->sent_at,
				     now_of(transaction));
	transaction->unread_before = -1;
	release_unread(transaction);
	note_run(transaction);
}

void sr_transaction_on_stream(sr_transaction_t *transaction, const guint8 *data,
			      gsize size)
{
	sr_event_t event;

	if (!transaction->events)
		transaction->events = sr_events_new();
	if (!sr_events_feed(transaction->events, data, size)) {
		break_off(transaction, "event too large");
		return;
	}
	while (sr_events_next(transaction->events, &event)) {
		on_first_event(transaction);
		if (event.has_id && transaction->has_last_event &&
		    event.id <= transaction->last_event)
			continue;
		if (!transaction->is_streaming)
			begin_stream(transaction);
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

	return sr_placement_choose(&placement, &request, now_of(transaction));
}

/* FALSE if the request was refused. */
static gboolean admit(sr_transaction_t *transaction,
		      const sr_placement_choice_t *choice)
{
	const sr_admission_facts_t facts = {
		.wait_s = choice->wait_s,
		.first_s = choice->first_s,
		.target = transaction->route->target,
		.time_left = transaction->due - now_of(transaction),
		.priority = transaction->route->priority,
		.jitter = g_rand_double(transaction->gateway->random),
	};
	sr_admission_verdict_t verdict = sr_gateway_admit(&facts);
	char first[24];
	char occupancy[24];

	if (verdict.admitted)
		return TRUE;
	g_snprintf(first, sizeof(first), "%.3f", choice->first_s);
	g_snprintf(occupancy, sizeof(occupancy), "%.2f", choice->occupancy);
	sr_log_event(transaction->gateway->options.log, SR_LOG_INFO, "refused",
		     "request", transaction->id, "service",
		     transaction->service, "expected_s", first, "occupancy",
		     occupancy, NULL);
	refuse(transaction, SR_ERR_OVERLOADED, "the answer would come too late",
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
		.time_left = transaction->due - now_of(transaction),
		.urgency = urgency_of(transaction),
		.resumes = transaction->is_streaming &&
			   transaction->has_last_event,
		.last_event = transaction->last_event,
	};

	return sr_request_bytes(&head);
}

static gboolean may_run_twice(const sr_transaction_t *transaction)
{
	return sr_repeat_may_run_twice(transaction->route->kind,
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
	sr_usec_t now = now_of(transaction);

	instance->in_flight++;
	sr_ejection_begin(&instance->ejection, now);
	transaction->expected_s = choice->first_s;
	transaction->unread = choice->uncached_tokens;
	state->work_s += transaction->unread / state->speed.tokens_per_s;
	instance->unread_tokens += transaction->unread;
	transaction->unread_before = instance->unread_tokens;
	transaction->sent_at = now;
	g_array_append_val(transaction->tried, instance->id);
	sr_prefix_index_sent(transaction->gateway->prefixes, now, instance->id,
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
	choice->instance->unread_tokens -= transaction->unread;
	transaction->n_unsent++;
	go_on(transaction, SR_ATTEMPT_NOT_SENT, "no socket");
}

static void start_attempt(sr_transaction_t *transaction)
{
	sr_placement_choice_t choice = choose(transaction);

	if (!choice.instance) {
		if (transaction->is_streaming)
			break_off(transaction, "no instance to go on at");
		else
			refuse(transaction, SR_ERR_NO_UPSTREAM,
			       "no instance is usable", RETRY_SOON);
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
	sr_usec_t now = now_of(transaction);

	switch (outcome) {
	case SR_ATTEMPT_NOT_SENT:
		sr_ejection_failed(ejection, now, EJECT_AT_ONCE);
		break;
	case SR_ATTEMPT_BROKEN:
	case SR_ATTEMPT_FAILED:
	case SR_ATTEMPT_CUT:
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

static void log_retry(const sr_transaction_t *transaction,
		      const sr_instance_t *instance, const char *cause)
{
	unsigned status =
		transaction->attempt ?
			sr_attempt_message(transaction->attempt)->status :
			0;
	char sent[16];
	char code[16];
	char last[24];

	g_snprintf(sent, sizeof(sent), "%u", transaction->n_sent);
	g_snprintf(code, sizeof(code), "%u", status);
	g_snprintf(last, sizeof(last), "%" G_GUINT64_FORMAT,
		   transaction->last_event);
	sr_log_event(transaction->gateway->options.log, SR_LOG_INFO, "retried",
		     "request", transaction->id, "instance",
		     instance ? instance->name : "", "cause", cause, "status",
		     code, "sent", sent, "last_event", last, NULL);
}

static sr_next_t next_of(sr_transaction_t *transaction,
			 sr_attempt_outcome_t outcome,
			 const sr_instance_t *instance)
{
	sr_gateway_service_state_t *state = sr_gateway_service_state(
		transaction->gateway, transaction->service);
	const sr_repeat_facts_t facts = {
		.kind = transaction->route->kind,
		.resumable = transaction->route->resumable,
		.outcome = outcome,
		.may_have_run = transaction->may_have_run,
		.n_sent = transaction->n_sent,
		.n_unsent = transaction->n_unsent,
		.max_attempts = transaction->route->max_attempts,
		.time_left = transaction->due - now_of(transaction),
		.instance_ended = instance && instance->is_gone,
		.in_budget = state->retries.tokens >= 1,
	};

	return sr_repeat_next(&facts);
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
	failure_t failure = { .err = SR_ERR_UPSTREAM_FAILED, .cause = cause };

	switch (next_of(transaction, outcome, instance)) {
	case SR_NEXT_PASS_ON:
		/* Our word that it has not run is not the instance's. */
		if (outcome == SR_ATTEMPT_FAILED &&
		    is_promise(
			    sr_attempt_message(transaction->attempt)->status))
			fail(transaction, &failure);
		else
			pass_on(transaction);
		break;
	case SR_NEXT_TRY_AGAIN:
		log_retry(transaction, instance, cause);
		if (outcome != SR_ATTEMPT_NOT_SENT)
			sr_retry_budget_take(&state->retries, 1);
		drop_attempt(transaction);
		start_attempt(transaction);
		break;
	case SR_NEXT_REFUSE:
		refuse(transaction, SR_ERR_OVERLOADED, cause, RETRY_SOON);
		break;
	case SR_NEXT_FAIL:
		fail(transaction, &failure);
		break;
	case SR_NEXT_BREAK_OFF:
		break_off(transaction, cause);
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
	return SR_ATTEMPT_CUT;
}

/* A whole stream: its last event may lack the empty line. */
static void finish_stream(sr_transaction_t *transaction)
{
	if (!transaction->is_streaming)
		begin_stream(transaction);
	end_stream(transaction);
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

	sr_engine_speed_whole(&state->speed,
			      now_of(transaction) - transaction->sent_at);
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
			note_run(transaction);
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
	log_end(transaction, "caller-left", 0,
		"connection closed by the caller");
	free_transaction(transaction);
}

static void on_due(void *user)
{
	sr_transaction_t *transaction = user;
	gboolean sent = transaction->attempt &&
			sr_attempt_is_sent(transaction->attempt);

	transaction->due_timer = NULL;
	if (transaction->is_streaming) {
		break_off(transaction, "time limit");
	} else if (sent || transaction->may_have_run) {
		const failure_t failure = { .err = SR_ERR_DEADLINE,
					    .cause = "time limit" };

		transaction->may_have_run = TRUE;
		fail(transaction, &failure);
	} else {
		refuse(transaction, SR_ERR_OVERLOADED, "time limit",
		       RETRY_SOON);
	}
}

static gboolean find_route(sr_transaction_t *transaction)
{
	const sr_headers_t *headers = transaction->request->headers;
	const char *host = sr_headers_get(headers, "Host");
	char *authority = g_strndup(host, strcspn(host, ":"));
	char *path = g_strndup(transaction->request->target,
			       strcspn(transaction->request->target, "?"));

	transaction->route =
		sr_route_table_find(transaction->table, authority, path);
	g_free(authority);
	g_free(path);
	if (!transaction->route)
		return FALSE;
	transaction->service = sr_gateway_route_pick(
		transaction->route,
		g_rand_double(transaction->gateway->random));
	return transaction->service != NULL;
}

static gboolean find_account(sr_transaction_t *transaction)
{
	const sr_headers_t *headers = transaction->request->headers;
	const char *key;

	if (transaction->route->is_public || !transaction->table->asks_for_keys)
		return TRUE;
	if (sr_headers_count(headers, "Authorization") != 1)
		return FALSE;
	key = sr_token_of_header(sr_headers_get(headers, "Authorization"));
	if (key)
		transaction->account =
			sr_route_table_account_of_key(transaction->table, key);
	return transaction->account != NULL;
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
		transaction->due - now_of(transaction), on_due, transaction);
}

/* What the request takes from its account's allowance. */
static double amount_of(const sr_transaction_t *transaction)
{
	const sr_gateway_account_t *account = transaction->account;
	const sr_prompt_t *prompt = &transaction->prompt;

	if (!account->counts_tokens)
		return 1;
	return prompt->is_stated ?
		       prompt->prompt_tokens + prompt->output_tokens :
		       account->uncounted_tokens;
}

static void log_allowance(const sr_transaction_t *transaction, double amount,
			  sr_usec_t wait)
{
	const sr_gateway_account_t *account = transaction->account;
	char needs[24];
	char rate[24];
	char share[24];
	char seconds[24];

	g_snprintf(needs, sizeof(needs), "%.0f", amount);
	g_snprintf(rate, sizeof(rate), "%.0f", account->rate_per_s);
	g_snprintf(share, sizeof(share), "%.3f",
		   sr_allowance_share(transaction->gateway->allowance,
				      now_of(transaction), account->name));
	g_snprintf(seconds, sizeof(seconds), "%.2f", (double)wait / SR_SEC);
	sr_log_event(transaction->gateway->options.log, SR_LOG_INFO, "limited",
		     "request", transaction->id, "account", account->name,
		     "amount", needs, "rate_per_s", rate, "share", share,
		     "wait_s", seconds, NULL);
}

/* Returns 0, or how long the account has to wait. */
static sr_usec_t take_allowance(sr_transaction_t *transaction)
{
	double amount;
	sr_usec_t wait;

	if (!transaction->account)
		return 0;
	amount = amount_of(transaction);
	wait = sr_allowance_take(transaction->gateway->allowance,
				 now_of(transaction),
				 transaction->account->name, amount);
	if (wait == 0)
		transaction->charged = amount;
	else
		log_allowance(transaction, amount, wait);
	return wait;
}

/* Reads who asks for what; an error is the final answer. */
static sr_err_t classify(sr_transaction_t *transaction)
{
	const sr_headers_t *headers = transaction->request->headers;
	const sr_dialect_t *dialect = transaction->gateway->options.dialect;

	transaction->id = sr_headers_get(headers, dialect->request_id);
	if (sr_headers_count(headers, dialect->request_id) != 1 ||
	    sr_headers_count(headers, "Host") != 1 ||
	    transaction->request->target[0] != '/')
		return SR_ERR_INVALID;
	if (!transaction->table)
		return SR_ERR_NO_UPSTREAM;
	if (!find_route(transaction))
		return SR_ERR_NOT_FOUND;
	if (!find_account(transaction))
		return SR_ERR_UNAUTHENTICATED;
	return SR_OK;
}

/* A caller that resumes a stream by itself has its events up to here. */
static void read_last_event(sr_transaction_t *transaction)
{
	const char *name = transaction->gateway->options.dialect->last_event_id;
	const char *text =
		name ? sr_headers_get(transaction->request->headers, name) :
		       NULL;

	if (text && g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64,
					       &transaction->last_event, NULL))
		transaction->has_last_event = TRUE;
}

static void run(sr_transaction_t *transaction)
{
	sr_gateway_t *gateway = transaction->gateway;
	sr_err_t err = classify(transaction);
	sr_usec_t wait;

	if (err) {
		refuse(transaction, err, sr_err_message(err),
		       err == SR_ERR_NO_UPSTREAM ? RETRY_SOON : 0);
		return;
	}
	gateway->options.dialect->read_prompt(transaction->request->headers,
					      &transaction->prompt);
	sr_retry_budget_earn(
		&sr_gateway_service_state(gateway, transaction->service)
			 ->retries);
	read_last_event(transaction);
	set_due(transaction);
	wait = take_allowance(transaction);
	if (wait > 0)
		refuse(transaction, SR_ERR_ACCOUNT_LIMIT,
		       "the account's allowance is used up", wait);
	else
		start_attempt(transaction);
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
