#include "caller/request.h"

#include <string.h>

#include "caller/prompt.h"
#include "upstream/token_stream.h"

struct sr_relay {
	sr_request_t *request;
	sr_call_t *call;
	sr_target_t target; /* of the current attempt */
	sr_fetch_t *fetch;
	sr_token_stream_t *token_stream; /* NULL if not a token stream */
	GString *output; /* not yet written: tokens, or the last bytes */
	sr_span_t *span;
	unsigned status;
	gint64 length;	     /* of the answer, -1 if not known */
	gint64 remaining;    /* bytes of the length not received yet */
	gboolean discarding; /* the answer can't be used */
	gboolean not_run;    /* the upstream reported that it did not run it */
	gboolean first_byte_received;
	gboolean maybe_executed;
};

/* End-to-end header fields that are copied unchanged. */
static const char *const request_fields[] = {
	"Accept",	 "Accept-Language",   "Content-Encoding",    "If-Match",
	"If-None-Match", "If-Modified-Since", "If-Unmodified-Since", "Range",
	"User-Agent",
};

static const char *const answer_fields[] = {
	"Content-Type",
	"Content-Encoding",
	"Content-Language",
	"Content-Range",
	"ETag",
	"Last-Modified",
	"Cache-Control",
	"Location",
	"Vary",
	"Content-Disposition",
	"Retry-After",
	"Accept-Ranges",
};

static void start_attempt(sr_relay_t *relay);

static sr_caller_server_t *server_of(const sr_relay_t *relay)
{
	return relay->request->server;
}

static sr_usec_t now_of(const sr_relay_t *relay)
{
	return sr_clock_now(server_of(relay)->options.clock);
}

static unsigned n_tokens(const sr_relay_t *relay)
{
	return relay->token_stream ?
		       (unsigned)sr_token_stream_tokens(relay->token_stream) :
		       0;
}

static void free_relay(sr_relay_t *relay)
{
	g_assert(!relay->fetch && !relay->span);
	sr_dispatch_finish(server_of(relay)->options.dispatch, now_of(relay),
			   relay->call);
	relay->request->relay = NULL;
	sr_token_stream_free(relay->token_stream);
	g_string_free(relay->output, TRUE);
	g_free(relay);
}

static const char *attempt_result_name(sr_attempt_result_t end)
{
	switch (end) {
	case SR_ATTEMPT_OK:
		return "ok";
	case SR_ATTEMPT_NOT_STARTED:
		return "not-started";
	case SR_ATTEMPT_FAILED:
		return "failed";
	case SR_ATTEMPT_BROKEN:
		return "broken";
	case SR_ATTEMPT_TIMED_OUT:
		return "timed-out";
	case SR_ATTEMPT_REFUSED:
		return "refused";
	case SR_ATTEMPT_CANCELLED:
		return "cancelled";
	}
	g_assert_not_reached();
}

static void count_attempt(sr_relay_t *relay, sr_attempt_result_t end)
{
	char *labels = sr_metrics_labels("service", relay->target.service,
					 "version", relay->target.version,
					 "end", attempt_result_name(end), NULL);

	sr_counter_add(sr_metrics_counter(server_of(relay)->options.metrics,
					  "sassafras_attempts_total",
					  "attempts at upstreams by end",
					  labels),
		       1);
	g_free(labels);
}

/* Reports to the dispatcher; returns TRUE if it decided on a retry. */
static gboolean report_attempt_end(sr_relay_t *relay, sr_attempt_result_t end,
				   sr_decision_t *decision)
{
	g_assert(!relay->fetch);
	count_attempt(relay, end);
	sr_span_set(relay->span, "upstream", relay->target.name);
	sr_span_set(relay->span, "version", relay->target.version);
	sr_span_end(relay->span,
		    end == SR_ATTEMPT_OK ? NULL : attempt_result_name(end));
	relay->span = NULL;
	if (end != SR_ATTEMPT_NOT_STARTED && end != SR_ATTEMPT_REFUSED)
		relay->maybe_executed = TRUE;
	return sr_dispatch_attempt_ended(server_of(relay)->options.dispatch,
					 now_of(relay), relay->call, end,
					 n_tokens(relay), decision);
}

/* Removes the header fields copied from a failed attempt. */
static void clear_fields(sr_request_t *request)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(request->message);

	for (size_t i = 0; i < G_N_ELEMENTS(answer_fields); i++)
		soup_message_headers_remove(headers, answer_fields[i]);
}

/* Frees the relay and ends the answer with a problem. detail may belong to the
 * relay's token stream. */
static void fail_request(sr_relay_t *relay, sr_err_t err, const char *detail,
			 sr_usec_t retry_after)
{
	sr_request_t *request = relay->request;
	gboolean is_stream = relay->token_stream != NULL;
	sr_problem_t problem = {
		.err = err,
		.maybe_executed = relay->maybe_executed,
		.retry_after = retry_after,
	};
	char *copy = g_strdup(detail);

	problem.detail = copy;
	free_relay(relay);
	if (request->answer == SR_ANSWER_NONE)
		clear_fields(request);
	sr_answer_fail(request, &problem, is_stream);
	g_free(copy);
}

/* Once the answer has begun, only a valid token stream can be resumed. */
static gboolean can_continue(const sr_relay_t *relay)
{
	if (relay->request->answer == SR_ANSWER_NONE)
		return TRUE;
	return relay->token_stream &&
	       !sr_token_stream_detail(relay->token_stream);
}

static void end_attempt(sr_relay_t *relay, sr_attempt_result_t end,
			const char *detail)
{
	sr_decision_t decision;
	gboolean will_retry = report_attempt_end(relay, end, &decision);

	if (will_retry && can_continue(relay)) {
		relay->target = decision.u.send;
		if (n_tokens(relay))
			sr_counter_add(server_of(relay)->meters.resumed, 1);
		start_attempt(relay);
	} else if (will_retry) {
		fail_request(relay, SR_ERR_UPSTREAM_FAILED, detail, 0);
	} else {
		fail_request(relay, decision.u.refuse.err, detail,
			     decision.u.refuse.retry_after);
	}
}

/*
 * The header is sent with the first byte of the body, so that after a failure
 * before it the request can still be retried or refused.
 */
static void write_answer(sr_relay_t *relay, const void *data, gsize size)
{
	sr_request_t *request = relay->request;

	if (!size)
		return;
	if (request->answer == SR_ANSWER_NONE)
		sr_answer_begin(request, relay->status, relay->length);
	sr_answer_write(request, data, size);
	if (relay->fetch && request->queued >= SR_ANSWER_HIGH_WATERMARK)
		sr_fetch_pause(relay->fetch);
}

static void finish(sr_relay_t *relay)
{
	sr_request_t *request = relay->request;
	sr_decision_t decision;

	report_attempt_end(relay, SR_ATTEMPT_OK, &decision);
	if (!relay->token_stream)
		write_answer(relay, relay->output->str, relay->output->len);
	if (request->answer == SR_ANSWER_NONE)
		sr_answer_begin(request, relay->status, relay->length);
	free_relay(relay);
	sr_answer_end(request);
}

static void end_discarded_attempt(sr_relay_t *relay)
{
	char *detail = g_strdup_printf("the upstream answered with status %u",
				       relay->status);

	end_attempt(relay,
		    relay->not_run ? SR_ATTEMPT_REFUSED : SR_ATTEMPT_FAILED,
		    detail);
	g_free(detail);
}

static void on_end(void *user, sr_fetch_end_t end, const char *detail)
{
	sr_relay_t *relay = user;

	relay->fetch = NULL;
	if (end == SR_FETCH_NOT_SENT)
		end_attempt(relay, SR_ATTEMPT_NOT_STARTED, detail);
	else if (relay->discarding)
		end_discarded_attempt(relay);
	else if (end == SR_FETCH_BROKEN)
		end_attempt(relay, SR_ATTEMPT_BROKEN, detail);
	else if (relay->token_stream &&
		 !sr_token_stream_is_done(relay->token_stream))
		end_attempt(relay, SR_ATTEMPT_BROKEN,
			    "the token stream ended without a done event");
	else
		finish(relay);
}

static void cancel_fetch(sr_relay_t *relay)
{
	sr_fetch_cancel(relay->fetch);
	relay->fetch = NULL;
}

/*
 * The last byte of a known length ends the answer to the caller. It is held
 * back until the upstream's answer has ended too.
 */
static void relay_bytes(sr_relay_t *relay, const guint8 *data, gsize size)
{
	if (relay->length >= 0) {
		relay->remaining -= (gint64)size;
		if (relay->remaining <= 0) {
			g_string_append_len(relay->output, (const char *)data,
					    (gssize)size);
			return;
		}
	}
	write_answer(relay, data, size);
}

static void relay_tokens(sr_relay_t *relay, const guint8 *data, gsize size)
{
	guint64 before = sr_token_stream_tokens(relay->token_stream);
	sr_err_t err;

	g_string_truncate(relay->output, 0);
	err = sr_token_stream_feed(relay->token_stream, data, size,
				   relay->output);
	sr_counter_add(server_of(relay)->meters.tokens,
		       sr_token_stream_tokens(relay->token_stream) - before);
	write_answer(relay, relay->output->str, relay->output->len);
	if (err) {
		cancel_fetch(relay);
		end_attempt(relay, SR_ATTEMPT_BROKEN,
			    sr_token_stream_detail(relay->token_stream));
	}
}

static void on_data(void *user, const guint8 *data, gsize size)
{
	sr_relay_t *relay = user;
	sr_caller_server_t *server = server_of(relay);

	if (relay->discarding)
		return;
	if (!relay->first_byte_received) {
		relay->first_byte_received = TRUE;
		sr_dispatch_first_token(server->options.dispatch, now_of(relay),
					relay->call);
		sr_histogram_observe(
			server->meters.first_byte,
			(double)(now_of(relay) - relay->request->arrived) /
				SR_SEC);
	}
	if (relay->token_stream)
		relay_tokens(relay, data, size);
	else
		relay_bytes(relay, data, size);
}

static gboolean is_event_stream(const sr_headers_t *headers)
{
	static const char media_type[] = "text/event-stream";
	const char *type = sr_headers_get(headers, "Content-Type");

	return type && strcspn(type, "; \t") == strlen(media_type) &&
	       !g_ascii_strncasecmp(type, media_type, strlen(media_type));
}

static void copy_fields(sr_relay_t *relay, const sr_headers_t *headers)
{
	SoupMessageHeaders *to = soup_server_message_get_response_headers(
		relay->request->message);

	for (size_t i = 0; i < G_N_ELEMENTS(answer_fields); i++) {
		const char *value = sr_headers_get(headers, answer_fields[i]);

		soup_message_headers_remove(to, answer_fields[i]);
		if (value)
			soup_message_headers_append(to, answer_fields[i],
						    value);
	}
}

/* Prepares for an answer that will be relayed. */
static void accept_headers(sr_relay_t *relay, const sr_headers_t *headers)
{
	const char *length = sr_headers_get(headers, "Content-Length");
	gboolean is_stream =
		relay->request->service->kind == SR_SERVICE_MODEL &&
		relay->status == 200 && is_event_stream(headers);

	sr_token_stream_free(relay->token_stream);
	relay->token_stream = is_stream ? sr_token_stream_new() : NULL;
	relay->length = -1;
	if (!is_stream && length)
		relay->length = g_ascii_strtoll(length, NULL, 10);
	relay->remaining = relay->length;
	g_string_truncate(relay->output, 0);
	copy_fields(relay, headers);
}

static void on_headers(void *user, unsigned status, const sr_headers_t *headers)
{
	sr_relay_t *relay = user;
	const char *executed = sr_headers_get(headers, "X-Executed");

	relay->status = status;
	relay->not_run =
		status == 503 && executed && !strcmp(executed, "not-run");
	relay->discarding = status >= 500;
	/* After the answer has begun, only a token stream can resume it. */
	if (relay->request->answer == SR_ANSWER_OPEN &&
	    (status != 200 || !is_event_stream(headers)))
		relay->discarding = TRUE;
	if (!relay->discarding && relay->request->answer == SR_ANSWER_NONE)
		accept_headers(relay, headers);
}

static unsigned add_fields(const sr_relay_t *relay, sr_header_t *headers,
			   unsigned n)
{
	for (size_t i = 0; i < G_N_ELEMENTS(request_fields); i++) {
		headers[n].name = request_fields[i];
		headers[n].value =
			sr_request_header(relay->request, request_fields[i]);
		n++;
	}
	return n;
}

static void send_attempt(sr_relay_t *relay, const char *path)
{
	sr_request_t *request = relay->request;
	sr_usec_t time_left = request->deadline - now_of(relay);
	char remaining_ms[24];
	char offset[24];
	char priority[8];
	char traceparent[SR_TRACEPARENT_SIZE];
	sr_trace_context_t context;
	sr_header_t headers[5 + G_N_ELEMENTS(request_fields)] = {
		{ "X-Request-Id", request->id },
		{ "X-Deadline-Ms", remaining_ms },
		{ "X-Priority", priority },
		{ "X-Resume-Offset", n_tokens(relay) ? offset : NULL },
		{ "traceparent", traceparent },
	};
	const sr_fetch_options_t options = {
		.address = relay->target.address,
		.method = soup_server_message_get_method(request->message),
		.path = path,
		.headers = headers,
		.n_headers = add_fields(relay, headers, 5),
		.content_type = sr_request_header(request, "Content-Type"),
		.body = g_bytes_get_size(request->body) ? request->body : NULL,
		.idempotent = TRUE,
		.on_headers = on_headers,
		.on_data = on_data,
		.on_end = on_end,
		.user = relay,
	};

	g_snprintf(remaining_ms, sizeof(remaining_ms), "%" G_GINT64_FORMAT,
		   MAX(time_left / SR_MSEC, 1));
	g_snprintf(offset, sizeof(offset), "%u", n_tokens(relay));
	g_snprintf(priority, sizeof(priority), "%d", (int)request->priority);
	relay->span = sr_span_begin(server_of(relay)->options.trace,
				    &request->context, "upstream",
				    SR_SPAN_CLIENT, &context);
	sr_trace_format(&context, traceparent);
	relay->fetch =
		sr_http_send(server_of(relay)->options.upstream, &options);
}

static void start_attempt(sr_relay_t *relay)
{
	sr_decision_t decision;
	char *path = sr_request_path(relay->request);

	relay->discarding = FALSE;
	relay->not_run = FALSE;
	relay->first_byte_received = FALSE;
	if (relay->token_stream)
		sr_token_stream_restart(relay->token_stream);
	send_attempt(relay, path);
	g_free(path);
	if (relay->fetch) {
		if (relay->request->queued >= SR_ANSWER_HIGH_WATERMARK)
			sr_fetch_pause(relay->fetch);
		return;
	}
	report_attempt_end(relay, SR_ATTEMPT_CANCELLED, &decision);
	relay->maybe_executed = FALSE;
	fail_request(relay, SR_ERR_INVALID,
		     "the method or the path cannot be sent to an upstream", 0);
}

static void begin_call(sr_request_t *request, const sr_prompt_t *prompt)
{
	sr_caller_server_t *server = request->server;
	const sr_call_options_t options = {
		.service = request->service,
		.route = request->route,
		.account = request->account,
		.priority = request->priority,
		.deadline = request->deadline,
		.idempotent = TRUE,
		.blocks = prompt->blocks,
		.n_blocks = prompt->n_blocks,
		.prompt_tokens = prompt->prompt_tokens,
		.max_tokens = prompt->max_tokens,
	};
	sr_decision_t decision;
	sr_call_t *call = sr_dispatch_begin(server->options.dispatch,
					    sr_clock_now(server->options.clock),
					    &options, &decision);

	if (!call) {
		const sr_problem_t problem = {
			.err = decision.u.refuse.err,
			.retry_after = decision.u.refuse.retry_after,
		};

		sr_answer_send_problem(request, &problem);
		return;
	}
	request->relay = g_new0(sr_relay_t, 1);
	request->relay->request = request;
	request->relay->call = call;
	request->relay->target = decision.u.send;
	request->relay->output = g_string_new(NULL);
	start_attempt(request->relay);
}

void sr_relay_start(sr_request_t *request)
{
	const sr_problem_t invalid = {
		.err = SR_ERR_INVALID,
		.detail =
			"the body is not a JSON object, or is nested too deeply",
	};
	sr_prompt_t prompt = { .n_blocks = 0 };

	if (request->service->kind == SR_SERVICE_MODEL &&
	    g_bytes_get_size(request->body) &&
	    sr_prompt_read(request->body, &prompt)) {
		sr_answer_send_problem(request, &invalid);
		return;
	}
	begin_call(request, &prompt);
}

void sr_relay_resume(sr_relay_t *relay)
{
	if (relay->fetch)
		sr_fetch_resume(relay->fetch);
}

static void ignore_headers(void *user, unsigned status,
			   const sr_headers_t *headers)
{
}

static void ignore_data(void *user, const guint8 *data, gsize size)
{
}

static void ignore_end(void *user, sr_fetch_end_t end, const char *detail)
{
}

/* Requests a model engine to stop computing an abandoned answer. */
static void send_cancel(const sr_relay_t *relay)
{
	char *path = g_strconcat("/requests/", relay->request->id, NULL);
	const sr_fetch_options_t options = {
		.address = relay->target.address,
		.method = "DELETE",
		.path = path,
		.idempotent = TRUE,
		.on_headers = ignore_headers,
		.on_data = ignore_data,
		.on_end = ignore_end,
	};

	if (relay->request->service->kind == SR_SERVICE_MODEL)
		sr_http_send(server_of(relay)->options.upstream, &options);
	g_free(path);
}

static void stop_attempt(sr_relay_t *relay, sr_attempt_result_t end)
{
	sr_decision_t decision;

	cancel_fetch(relay);
	send_cancel(relay);
	report_attempt_end(relay, end, &decision);
}

void sr_relay_on_deadline(sr_relay_t *relay)
{
	stop_attempt(relay, SR_ATTEMPT_TIMED_OUT);
	fail_request(relay, SR_ERR_DEADLINE, NULL, 0);
}

void sr_relay_cancel(sr_relay_t *relay)
{
	stop_attempt(relay, SR_ATTEMPT_CANCELLED);
	free_relay(relay);
}
