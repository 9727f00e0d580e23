#include "caller/request.h"

#include <string.h>

static SoupMessageBody *response_body(sr_request_t *request)
{
	return soup_server_message_get_response_body(request->message);
}

static SoupMessageHeaders *response_headers(sr_request_t *request)
{
	return soup_server_message_get_response_headers(request->message);
}

/* libsoup continues by itself with a message that was not paused yet. */
static void unpause(sr_request_t *request)
{
	if (request->was_paused)
		soup_server_message_unpause(request->message);
}

/* Counts bytes that wait to be written to the socket. */
static void add_queued(sr_request_t *request, gsize size)
{
	request->queued += size;
	sr_caller_server_add_buffered(request->server, (gssize)size);
}

static void set_common_headers(sr_request_t *request)
{
	SoupMessageHeaders *headers = response_headers(request);

	soup_message_headers_replace(headers, "X-Request-Id", request->id);
	if (request->server->draining)
		soup_message_headers_replace(headers, "Connection", "close");
}

void sr_answer_begin(sr_request_t *request, unsigned status, gint64 length)
{
	SoupMessageHeaders *headers = response_headers(request);

	g_assert(request->answer == SR_ANSWER_NONE);
	request->answer = SR_ANSWER_OPEN;
	set_common_headers(request);
	soup_server_message_set_status(request->message, status, NULL);
	if (length >= 0)
		soup_message_headers_set_content_length(headers, length);
	else
		soup_message_headers_set_encoding(headers,
						  SOUP_ENCODING_CHUNKED);
	soup_message_body_set_accumulate(response_body(request), FALSE);
	unpause(request);
}

void sr_answer_write(sr_request_t *request, const void *data, gsize size)
{
	/* Bytes written after the end would become part of the next answer. */
	g_assert(request->answer == SR_ANSWER_OPEN);
	if (!size)
		return;
	add_queued(request, size);
	soup_message_body_append(response_body(request), SOUP_MEMORY_COPY, data,
				 size);
	unpause(request);
}

void sr_answer_end(sr_request_t *request)
{
	g_assert(request->answer == SR_ANSWER_OPEN);
	request->answer = SR_ANSWER_CLOSED;
	soup_message_body_complete(response_body(request));
	unpause(request);
}

void sr_answer_send(sr_request_t *request, unsigned status,
		    const char *content_type, GBytes *body)
{
	gsize size = 0;
	const char *data = body ? g_bytes_get_data(body, &size) : NULL;

	g_assert(request->answer == SR_ANSWER_NONE);
	request->answer = SR_ANSWER_CLOSED;
	set_common_headers(request);
	soup_server_message_set_status(request->message, status, NULL);
	if (content_type && size)
		soup_server_message_set_response(request->message, content_type,
						 SOUP_MEMORY_COPY, data, size);
	add_queued(request, size);
	unpause(request);
}

void sr_answer_send_problem(sr_request_t *request, const sr_problem_t *problem)
{
	sr_problem_t with_id = *problem;
	unsigned retry_after = sr_problem_retry_seconds(problem);
	char *text;
	GBytes *body;

	with_id.request_id = request->id;
	request->err = problem->err;
	if (retry_after) {
		char seconds[16];

		g_snprintf(seconds, sizeof(seconds), "%u", retry_after);
		soup_message_headers_replace(response_headers(request),
					     "Retry-After", seconds);
	}
	if (problem->err == SR_ERR_UNAUTHENTICATED)
		soup_message_headers_replace(response_headers(request),
					     "WWW-Authenticate", "Bearer");
	text = sr_problem_json(&with_id);
	body = g_bytes_new_take(text, strlen(text));
	sr_answer_send(request, sr_err_http_status(problem->err),
		       SR_PROBLEM_MEDIA_TYPE, body);
	g_bytes_unref(body);
}

void sr_answer_abort(sr_request_t *request)
{
	gboolean has_begun = request->answer != SR_ANSWER_NONE;

	request->answer = SR_ANSWER_CLOSED;
	sr_connection_shutdown(request->connection);
	/* libsoup detects the closed socket only when it next writes. */
	if (has_begun)
		soup_message_body_append(response_body(request),
					 SOUP_MEMORY_STATIC, "\n", 1);
	else
		soup_server_message_set_status(
			request->message, sr_err_http_status(SR_ERR_CANCELLED),
			NULL);
	unpause(request);
}

void sr_answer_abort_with_problem(sr_request_t *request,
				  const sr_problem_t *problem,
				  gboolean is_stream)
{
	sr_problem_t with_id = *problem;
	char *json;
	char *event;

	g_assert(request->answer == SR_ANSWER_OPEN);
	sr_counter_add(request->server->meters.broken, 1);
	request->err = problem->err;
	if (!is_stream) {
		sr_answer_abort(request);
		return;
	}
	with_id.request_id = request->id;
	json = sr_problem_json(&with_id);
	event = g_strdup_printf("event: error\ndata: %s\n\n", json);
	sr_answer_write(request, event, strlen(event));
	request->answer = SR_ANSWER_CLOSED;
	request->abort_when_written = TRUE;
	g_free(event);
	g_free(json);
}

void sr_answer_on_written(sr_request_t *request, gsize size)
{
	size = MIN(size, request->queued);
	request->queued -= size;
	sr_caller_server_add_buffered(request->server, -(gssize)size);
	if (!request->queued && request->abort_when_written)
		sr_answer_abort(request);
	else if (request->relay && request->queued <= SR_ANSWER_LOW_WATERMARK)
		sr_relay_resume(request->relay);
}

void sr_answer_fail(sr_request_t *request, sr_problem_t *problem,
		    gboolean is_stream)
{
	if (request->answer == SR_ANSWER_NONE)
		sr_answer_send_problem(request, problem);
	else
		sr_answer_abort_with_problem(request, problem, is_stream);
}
