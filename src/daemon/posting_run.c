#include <string.h>

#include "daemon/postings_internal.h"

/* Largest body of an answer that is stored, in bytes; a larger one is dropped.
 * With its content type it must fit into SR_JOURNAL_BODY_MAX. */
#define ANSWER_MAX_BYTES (224 * 1024)
/* Time after the deadline of the caller at which a run is cancelled. */
#define RUN_GRACE_PERIOD (30 * SR_SEC)
#define OUTCOME_QUERY_TIMEOUT (5 * SR_SEC)

/* A run of a posting, or a query of an upstream for the outcome of one. */
typedef struct {
	sr_list_t link;
	sr_postings_t *postings;
	guint64 run_id;
	char *account;
	char *key;
	sr_stored_request_t request;
	sr_usec_t deadline; /* absolute */
	sr_call_t *call;    /* at the dispatcher, or NULL */
	sr_fetch_t *fetch;
	sr_timer_t *timer;
	sr_span_t *span;
	sr_trace_context_t context;
	gboolean is_outcome_query;
	gboolean not_run;   /* the upstream reported that it did not run */
	gboolean too_large; /* the body exceeds ANSWER_MAX_BYTES */
	unsigned status;
	sr_usec_t retry_after;
	char *content_type;
	GByteArray *body;
} run_t;

static sr_usec_t now_of(const run_t *run)
{
	return sr_clock_now(run->postings->options.clock);
}

static void free_run(run_t *run)
{
	sr_list_remove(&run->link);
	sr_timer_cancel(run->timer);
	sr_fetch_cancel(run->fetch);
	if (run->call)
		sr_dispatch_finish(run->postings->options.dispatch, now_of(run),
				   run->call);
	sr_span_end(run->span, NULL);
	sr_stored_request_clear(&run->request);
	g_byte_array_unref(run->body);
	g_free(run->content_type);
	g_free(run->account);
	g_free(run->key);
	g_free(run);
}

static run_t *new_run(sr_postings_t *postings, guint64 id, const char *account,
		      const char *key)
{
	run_t *run = g_new0(run_t, 1);

	run->postings = postings;
	run->run_id = id;
	run->account = g_strdup(account);
	run->key = g_strdup(key);
	run->body = g_byte_array_new();
	sr_list_init(&run->link);
	sr_list_append(&postings->runs, &run->link);
	return run;
}

void sr_posting_runs_free(sr_postings_t *postings)
{
	sr_list_for_each_safe (link, &postings->runs)
		free_run(sr_list_entry(link, run_t, link));
}

/* NULL if the answer is too large to store. */
static GBytes *encode_result(const run_t *run)
{
	if (run->too_large)
		return NULL;
	return sr_stored_result_encode(run->content_type, run->body->data,
				       run->body->len);
}

static void end_run(run_t *run, const sr_journal_run_result_t *result)
{
	static const char *const span_errors[] = {
		[SR_RUN_ANSWERED] = NULL,
		[SR_RUN_NOT_STARTED] = "not started",
		[SR_RUN_UNKNOWN] = "lost",
	};
	sr_journal_t *journal = run->postings->journal;
	sr_usec_t now = now_of(run);
	guint64 id = run->run_id;

	sr_span_end(run->span, span_errors[result->end]);
	run->span = NULL;
	free_run(run);
	sr_journal_run_ended(journal, now, id, result);
}

static void end_answered(run_t *run)
{
	sr_journal_run_result_t result = {
		.end = SR_RUN_ANSWERED,
		.status = run->status,
		.result = encode_result(run),
	};
	GBytes *encoded = result.result;

	end_run(run, &result);
	g_clear_pointer(&encoded, g_bytes_unref);
}

static void end_without_answer(run_t *run, sr_run_end_t end, sr_err_t err,
			       sr_usec_t retry_after)
{
	sr_journal_run_result_t result = {
		.end = end,
		.err = err,
		.retry_after = retry_after,
	};

	end_run(run, &result);
}

static void send_run(run_t *run, const sr_target_t *target);

/*
 * Another attempt is safe: no byte was sent, or the upstream reported that it
 * did not run the request.
 */
static void try_next_upstream(run_t *run, sr_attempt_result_t end)
{
	sr_decision_t decision = { .kind = SR_DECISION_REFUSE };

	run->not_run = FALSE;
	g_byte_array_set_size(run->body, 0);
	if (now_of(run) < run->deadline &&
	    sr_dispatch_attempt_ended(run->postings->options.dispatch,
				      now_of(run), run->call, end, 0,
				      &decision)) {
		send_run(run, &decision.u.send);
		return;
	}
	if (decision.u.refuse.err == SR_OK)
		decision.u.refuse.err = SR_ERR_NO_UPSTREAM;
	end_without_answer(run, SR_RUN_NOT_STARTED, decision.u.refuse.err,
			   MAX(decision.u.refuse.retry_after, SR_SEC));
}

/* The request may have run, so the dispatcher must not retry it. */
static void report_attempt_end(run_t *run, sr_attempt_result_t end)
{
	sr_decision_t unused;
	gboolean will_retry = sr_dispatch_attempt_ended(
		run->postings->options.dispatch, now_of(run), run->call, end, 0,
		&unused);

	g_assert(!will_retry);
}

static void on_headers(void *user, unsigned status, const sr_headers_t *headers)
{
	run_t *run = user;
	const char *executed = sr_headers_get(headers, "X-Executed");
	const char *type = sr_headers_get(headers, "Content-Type");

	run->status = status;
	run->not_run =
		status == 503 && executed && !strcmp(executed, "not-run");
	g_free(run->content_type);
	run->content_type =
		type ? g_strndup(type, strcspn(type, "; \t")) : NULL;
}

static void on_data(void *user, const guint8 *data, gsize size)
{
	run_t *run = user;

	if (run->body->len + size > ANSWER_MAX_BYTES)
		run->too_large = TRUE;
	else
		g_byte_array_append(run->body, data, (guint)size);
}

static void on_end(void *user, sr_fetch_end_t end, const char *detail)
{
	run_t *run = user;

	run->fetch = NULL;
	switch (end) {
	case SR_FETCH_NOT_SENT:
		try_next_upstream(run, SR_ATTEMPT_NOT_STARTED);
		break;
	case SR_FETCH_COMPLETE:
		if (run->not_run) {
			try_next_upstream(run, SR_ATTEMPT_REFUSED);
			break;
		}
		report_attempt_end(run, run->status < 500 ? SR_ATTEMPT_OK :
							    SR_ATTEMPT_FAILED);
		end_answered(run);
		break;
	case SR_FETCH_BROKEN:
		sr_log_event(run->postings->options.log, SR_LOG_WARN,
			     "posting-outcome-unknown", "account", run->account,
			     "key", run->key, "detail", detail, NULL);
		report_attempt_end(run, SR_ATTEMPT_BROKEN);
		end_without_answer(run, SR_RUN_UNKNOWN, SR_ERR_OUTCOME_UNKNOWN,
				   0);
		break;
	}
}

static void on_run_timeout(void *user)
{
	run_t *run = user;

	run->timer = NULL;
	sr_fetch_cancel(run->fetch);
	run->fetch = NULL;
	report_attempt_end(run, SR_ATTEMPT_TIMED_OUT);
	end_without_answer(run, SR_RUN_UNKNOWN, SR_ERR_OUTCOME_UNKNOWN, 0);
}

/* The stored request is malformed, or its method or path cannot be sent. */
static void on_unsendable(void *user)
{
	run_t *run = user;

	run->timer = NULL;
	end_without_answer(run, SR_RUN_NOT_STARTED, SR_ERR_INVALID, 0);
}

static void send_run(run_t *run, const sr_target_t *target)
{
	const sr_postings_options_t *options = &run->postings->options;
	char traceparent[SR_TRACEPARENT_SIZE];
	char request_id[24];
	char remaining_ms[24];
	const sr_header_t headers[] = {
		{ "X-Request-Id", request_id },
		{ "Idempotency-Key", run->key },
		{ "X-Deadline-Ms", remaining_ms },
		{ "traceparent", traceparent },
	};
	const sr_fetch_options_t fetch = {
		.address = target->address,
		.method = run->request.method,
		.path = run->request.path,
		.headers = headers,
		.n_headers = G_N_ELEMENTS(headers),
		.content_type = run->request.content_type,
		.body = run->request.body,
		.idempotent = FALSE,
		.on_headers = on_headers,
		.on_data = on_data,
		.on_end = on_end,
		.user = run,
	};

	g_snprintf(request_id, sizeof(request_id), "%016" G_GINT64_MODIFIER "x",
		   run->run_id);
	g_snprintf(remaining_ms, sizeof(remaining_ms), "%" G_GINT64_FORMAT,
		   MAX(run->deadline - now_of(run), SR_MSEC) / SR_MSEC);
	sr_trace_format(&run->context, traceparent);
	sr_span_set(run->span, "upstream", target->name);
	run->fetch = sr_http_send(options->upstream, &fetch);
	if (run->fetch)
		return;
	sr_timer_cancel(run->timer);
	run->timer = sr_timer_start(options->clock, 0, on_unsendable, run);
}

static void begin_span(run_t *run)
{
	const sr_postings_options_t *options = &run->postings->options;
	const sr_submission_t *submission = sr_postings_find_submission(
		run->postings, run->account, run->key);
	sr_trace_context_t parent;

	if (submission)
		parent = submission->context;
	else
		sr_trace_start(options->trace, NULL, &parent);
	run->span = sr_span_begin(options->trace, &parent, "upstream",
				  SR_SPAN_CLIENT, &run->context);
}

/* Called by a timer, since the journal may not be called back from run(). */
static void on_start(void *user)
{
	run_t *run = user;
	const sr_postings_options_t *options = &run->postings->options;
	const sr_config_t *config = run->postings->config;
	sr_call_options_t call = {
		.service = sr_config_service(config, run->request.service),
		.account = sr_config_account(config, run->account),
		.idempotent = FALSE,
	};
	sr_decision_t decision;

	run->timer = NULL;
	if (call.service)
		call.route = sr_config_match_route(
			call.service, run->request.method, run->request.path);
	if (!call.service || !call.account || !call.route) {
		end_without_answer(run, SR_RUN_NOT_STARTED, SR_ERR_NOT_FOUND,
				   0);
		return;
	}
	if (!run->deadline)
		run->deadline = now_of(run) + call.route->deadline;
	call.deadline = run->deadline;
	call.priority = call.route->priority;
	run->call = sr_dispatch_begin(options->dispatch, now_of(run), &call,
				      &decision);
	if (!run->call) {
		end_without_answer(run, SR_RUN_NOT_STARTED,
				   decision.u.refuse.err,
				   decision.u.refuse.retry_after);
		return;
	}
	run->timer = sr_timer_start(
		options->clock, run->deadline + RUN_GRACE_PERIOD - now_of(run),
		on_run_timeout, run);
	send_run(run, &decision.u.send);
}

void sr_posting_run(void *user, const sr_journal_run_t *journal_run)
{
	sr_postings_t *postings = user;
	run_t *run = new_run(postings, journal_run->run_id,
			     journal_run->account, journal_run->key);
	sr_err_t err =
		sr_stored_request_decode(journal_run->request, &run->request);

	run->deadline = journal_run->deadline;
	begin_span(run);
	run->timer = sr_timer_start(postings->options.clock, 0,
				    err ? on_unsendable : on_start, run);
}

/* Queries for outcomes */

static void on_outcome_end(void *user, sr_fetch_end_t end, const char *detail)
{
	run_t *run = user;
	sr_postings_t *postings = run->postings;
	GBytes *result = encode_result(run);

	run->fetch = NULL;
	if (end == SR_FETCH_COMPLETE && run->status == 200)
		sr_journal_report_outcome(postings->journal, now_of(run),
					  run->account, run->key, run->run_id,
					  run->status, result);
	g_clear_pointer(&result, g_bytes_unref);
	free_run(run);
}

static void on_query_timeout(void *user)
{
	run_t *run = user;

	run->timer = NULL;
	free_run(run);
}

static void query_upstream(sr_postings_t *postings, const char *address,
			   const sr_journal_unknown_t *unknown)
{
	run_t *run = new_run(postings, unknown->run_id, unknown->account,
			     unknown->key);
	char *escaped = g_uri_escape_string(unknown->key, NULL, FALSE);
	char *path = g_strdup_printf("/outcome/%s", escaped);
	const sr_fetch_options_t fetch = {
		.address = address,
		.method = "GET",
		.path = path,
		.idempotent = TRUE,
		.on_headers = on_headers,
		.on_data = on_data,
		.on_end = on_outcome_end,
		.user = run,
	};

	run->is_outcome_query = TRUE;
	run->fetch = sr_http_send(postings->options.upstream, &fetch);
	run->timer = sr_timer_start(postings->options.clock,
				    run->fetch ? OUTCOME_QUERY_TIMEOUT : 0,
				    on_query_timeout, run);
	g_free(path);
	g_free(escaped);
}

/* The upstream that got the request isn't recorded, so all are queried. */
void sr_posting_query_outcome(void *user, const sr_journal_unknown_t *unknown)
{
	sr_postings_t *postings = user;
	const sr_config_t *config = postings->config;
	const sr_service_config_t *service;

	if (!config)
		return;
	service = sr_config_service(config, unknown->service);
	if (!service || !service->outcome_by_key)
		return;
	for (guint i = 0; i < config->upstreams->len; i++) {
		const sr_upstream_config_t *upstream =
			config->upstreams->pdata[i];

		if (!strcmp(upstream->service, service->name))
			query_upstream(postings, upstream->address, unknown);
	}
}
