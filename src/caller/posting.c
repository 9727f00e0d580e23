#include "caller/request.h"

/* Every result but SR_EXECUTED_NOT_RUN is reported as maybe executed. */
static void answer_refusal(sr_request_t *request,
			   const sr_posting_result_t *result)
{
	const sr_problem_t problem = {
		.err = result->err,
		.detail = result->detail,
		.maybe_executed = result->executed != SR_EXECUTED_NOT_RUN,
		.retry_after = result->retry_after,
	};

	sr_answer_send_problem(request, &problem);
}

static void on_posting_done(void *user, const sr_posting_result_t *result)
{
	sr_request_t *request = user;

	g_assert(request->posting_pending);
	request->posting_pending = FALSE;
	if (result->err)
		answer_refusal(request, result);
	else if (result->executed == SR_EXECUTED_PENDING)
		sr_answer_send(request, 202, NULL, NULL);
	else
		sr_answer_send(request, result->status, result->content_type,
			       result->body);
}

static void submit(sr_request_t *request, const char *path,
		   const char *traceparent)
{
	const char *content_type = sr_request_header(request, "Content-Type");
	const sr_posting_t posting = {
		.account = request->account->name,
		.service = request->service->name,
		.route = request->route->name,
		.method = soup_server_message_get_method(request->message),
		.path = path,
		.content_type = content_type,
		.key = sr_request_header(request, "Idempotency-Key"),
		.request_id = request->id,
		.traceparent = traceparent,
		.body = request->body,
		.deadline = request->deadline,
		.async = request->async,
		.done = on_posting_done,
		.user = request,
	};

	request->posting_pending = TRUE;
	sr_postings_submit(request->server->postings, &posting);
}

void sr_posting_start(sr_request_t *request)
{
	char traceparent[SR_TRACEPARENT_SIZE];
	const sr_problem_t refusal = {
		.err = SR_ERR_PLATFORM,
		.detail =
			"this host has no journal for non-idempotent requests",
		.retry_after = 5 * SR_SEC,
	};
	char *path;

	if (!request->server->postings) {
		sr_answer_send_problem(request, &refusal);
		return;
	}
	path = sr_request_path(request);
	sr_trace_format(&request->context, traceparent);
	submit(request, path, traceparent);
	g_free(path);
}

void sr_posting_on_deadline(sr_request_t *request)
{
	const sr_problem_t problem = {
		.err = SR_ERR_DEADLINE,
		.detail =
			"repeat the request with the same key for its outcome",
		.maybe_executed = TRUE,
		.retry_after = SR_SEC,
	};

	sr_posting_cancel(request);
	sr_answer_send_problem(request, &problem);
}

void sr_posting_cancel(sr_request_t *request)
{
	request->posting_pending = FALSE;
	sr_postings_abandon(request->server->postings, request);
}
