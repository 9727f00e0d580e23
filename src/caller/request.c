#include "caller/request.h"

#include <string.h>

#include "base/token.h"

/* Limits of the request fields X-Deadline-Ms and Idempotency-Key. */
#define DEADLINE_MAX_MS 3600000
#define KEY_MAX_LENGTH 128

/* Bytes of a refused body that are read before the connection is closed. */
#define DISCARD_MAX_BYTES (16 * 1024 * 1024)

/* Time after the deadline in which the result of a posting may arrive. */
#define POSTING_GRACE_PERIOD (500 * SR_MSEC)

static const char *const priority_names[] = { "lookup", "comparison", "bulk" };

/* Answers with a problem. Returns FALSE, the result of a failed check. */
static gboolean refuse(sr_request_t *request, sr_err_t err, const char *detail)
{
	sr_problem_t problem = { .err = err, .detail = detail };

	if (sr_err_http_status(err) == 503)
		problem.retry_after = SR_SEC;
	sr_answer_send_problem(request, &problem);
	return FALSE;
}

const char *sr_request_header(const sr_request_t *request, const char *name)
{
	return soup_message_headers_get_one(
		soup_server_message_get_request_headers(request->message),
		name);
}

char *sr_request_path(const sr_request_t *request)
{
	GUri *uri = soup_server_message_get_uri(request->message);
	const char *query = g_uri_get_query(uri);

	return g_strconcat(g_uri_get_path(uri), query ? "?" : "",
			   query ? query : "", NULL);
}

static void on_disconnect(void *user)
{
	sr_request_t *request = user;

	sr_counter_add(request->server->meters.gone, 1);
	request->err = SR_ERR_CANCELLED;
	if (request->relay)
		sr_relay_cancel(request->relay);
	if (request->posting_pending)
		sr_posting_cancel(request);
	sr_answer_abort(request);
}

static void on_deadline(void *user)
{
	sr_request_t *request = user;

	request->timer = NULL;
	if (request->relay)
		sr_relay_on_deadline(request->relay);
	else if (request->posting_pending)
		sr_posting_on_deadline(request);
	else
		sr_answer_abort(request); /* the caller did not read it */
}

static void on_body_timeout(void *user)
{
	sr_request_t *request = user;

	request->timer = NULL;
	sr_answer_abort(request);
}

static void on_written(SoupServerMessage *message, guint size, gpointer data)
{
	sr_answer_on_written(data, size);
}

static void on_finished(SoupServerMessage *message, gpointer data)
{
	sr_request_free(data);
}

/* Counts bytes of the body that arrive after the request was refused. */
static void discard(sr_request_t *request, gsize size)
{
	request->discarded += size;
	if (request->discarded > DISCARD_MAX_BYTES)
		sr_answer_abort(request);
}

/* Frees a body that will not be used. */
static void drop_body(sr_request_t *request)
{
	sr_caller_server_add_buffered(request->server,
				      -(gssize)request->received->len);
	g_byte_array_unref(request->received);
	request->received = g_byte_array_new();
}

static void on_chunk(SoupServerMessage *message, GBytes *chunk, gpointer data)
{
	sr_request_t *request = data;
	const sr_caller_server_options_t *options = &request->server->options;
	gsize size = 0;
	const void *bytes = g_bytes_get_data(chunk, &size);

	if (request->answer != SR_ANSWER_NONE) {
		discard(request, size);
		return;
	}
	if (request->received->len + size > options->request_bytes) {
		drop_body(request);
		refuse(request, SR_ERR_TOO_LARGE,
		       "the body exceeds the limit of this host");
		return;
	}
	if (request->server->buffered + size > options->buffered_bytes) {
		drop_body(request);
		refuse(request, SR_ERR_OVERLOADED,
		       "the memory for bodies and answers is used up");
		return;
	}
	sr_caller_server_add_buffered(request->server, (gssize)size);
	g_byte_array_append(request->received, bytes, (guint)size);
}

sr_request_t *sr_request_new(sr_caller_server_t *server,
			     SoupServerMessage *message)
{
	sr_request_t *request = g_new0(sr_request_t, 1);
	sr_trace_context_t parent;

	request->server = server;
	request->message = g_object_ref(message);
	request->connection = sr_connection_from_message(message);
	sr_connection_set_busy(request->connection, TRUE);
	request->arrived = sr_clock_now(server->options.clock);
	request->received = g_byte_array_new();
	g_snprintf(request->id, sizeof(request->id), "%08x%08x%08x%08x",
		   g_rand_int(server->rand), g_rand_int(server->rand),
		   g_rand_int(server->rand), g_rand_int(server->rand));
	sr_trace_start(server->options.trace,
		       sr_request_header(request, "traceparent"), &parent);
	request->span = sr_span_begin(server->options.trace, &parent, "caller",
				      SR_SPAN_SERVER, &request->context);
	sr_list_append(&server->requests, &request->link);
	server->n_requests++;
	sr_gauge_set(server->meters.requests, server->n_requests);
	soup_message_body_set_accumulate(
		soup_server_message_get_request_body(message), FALSE);
	g_signal_connect(message, "got-chunk", G_CALLBACK(on_chunk), request);
	g_signal_connect(message, "wrote-body-data", G_CALLBACK(on_written),
			 request);
	g_signal_connect(message, "finished", G_CALLBACK(on_finished), request);
	request->timer = sr_timer_start(server->options.clock,
					server->options.body_timeout,
					on_body_timeout, request);
	return request;
}

/*
 * TRUE for a path that an upstream may resolve to another path, so that the
 * rules of the wrong route would apply.
 */
static gboolean is_ambiguous(const char *path)
{
	char *decoded = g_uri_unescape_string(path, NULL);
	gboolean ambiguous = TRUE;

	if (decoded && *decoded == '/') {
		char *with_slash = g_strconcat(decoded, "/", NULL);

		ambiguous = strstr(decoded, "//") || strchr(decoded, '\\') ||
			    strstr(with_slash, "/./") ||
			    strstr(with_slash, "/../") ||
			    strcasestr(path, "%2f");
		g_free(with_slash);
	}
	g_free(decoded);
	return ambiguous;
}

static gboolean check_account(sr_request_t *request)
{
	const char *token = sr_token_from_header(
		sr_request_header(request, "Authorization"));

	if (token)
		request->account =
			sr_config_account_by_token(request->config, token);
	if (!request->account)
		return refuse(request, SR_ERR_UNAUTHENTICATED, NULL);
	return TRUE;
}

static gboolean is_service_allowed(const sr_account_config_t *account,
				   const char *service)
{
	return account->services->len == 0 ||
	       g_ptr_array_find_with_equal_func(account->services, service,
						g_str_equal, NULL);
}

static gboolean check_route(sr_request_t *request)
{
	const char *method = soup_server_message_get_method(request->message);
	const char *path =
		g_uri_get_path(soup_server_message_get_uri(request->message));

	if (is_ambiguous(path))
		return refuse(
			request, SR_ERR_INVALID,
			"the path has an empty or dot segment, a backslash or an "
			"encoded slash");
	request->service = sr_config_service_by_path(request->config, path);
	if (!request->service)
		return refuse(request, SR_ERR_NOT_FOUND,
			      "no configured service serves this path");
	if (!is_service_allowed(request->account, request->service->name))
		return refuse(request, SR_ERR_FORBIDDEN, NULL);
	request->route = sr_config_match_route(request->service, method, path);
	if (!request->route)
		return refuse(
			request, SR_ERR_NOT_FOUND,
			"the service has no route for this method and path");
	return TRUE;
}

static gboolean check_deadline(sr_request_t *request)
{
	const char *text = sr_request_header(request, "X-Deadline-Ms");
	guint64 ms = 0;

	request->deadline = request->arrived + request->route->deadline;
	if (!text)
		return TRUE;
	if (!g_ascii_string_to_unsigned(text, 10, 1, DEADLINE_MAX_MS, &ms,
					NULL))
		return refuse(request, SR_ERR_INVALID,
			      "X-Deadline-Ms is not an integer from 1 to "
			      "3600000");
	request->deadline = request->arrived + (sr_usec_t)ms * SR_MSEC;
	return TRUE;
}

static gboolean check_priority(sr_request_t *request)
{
	const char *text = sr_request_header(request, "X-Priority");

	request->priority = request->route->priority;
	if (!text)
		return TRUE;
	for (int i = 0; i < SR_N_PRIORITIES; i++) {
		if (strcmp(text, priority_names[i]))
			continue;
		request->priority =
			MAX(request->route->priority, (sr_priority_t)i);
		return TRUE;
	}
	return refuse(request, SR_ERR_INVALID,
		      "X-Priority is not lookup, comparison or bulk");
}

static gboolean check_idempotency_key(sr_request_t *request)
{
	const char *key = sr_request_header(request, "Idempotency-Key");
	const char *prefer = sr_request_header(request, "Prefer");

	if (request->route->idempotent)
		return TRUE;
	request->async = prefer && strstr(prefer, "respond-async");
	if (!key || !*key || strlen(key) > KEY_MAX_LENGTH)
		return refuse(request, SR_ERR_INVALID,
			      "the route needs an Idempotency-Key of 1 to 128 "
			      "characters");
	for (const char *p = key; *p; p++) {
		if (!g_ascii_isgraph(*p))
			return refuse(
				request, SR_ERR_INVALID,
				"Idempotency-Key has a character that is not "
				"printable ASCII");
	}
	return TRUE;
}

static gboolean check_size(sr_request_t *request)
{
	const sr_caller_server_options_t *options = &request->server->options;
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(request->message);
	goffset length = soup_message_headers_get_content_length(headers);

	if (length < 0 || length > (goffset)options->request_bytes)
		return refuse(request, SR_ERR_TOO_LARGE,
			      "the body exceeds the limit of this host");
	if (request->server->buffered + (gsize)length > options->buffered_bytes)
		return refuse(request, SR_ERR_OVERLOADED,
			      "the memory for bodies and answers is used up");
	return TRUE;
}

static gboolean check_server(sr_request_t *request)
{
	sr_caller_server_t *server = request->server;

	if (soup_server_message_get_http_version(request->message) ==
	    SOUP_HTTP_1_0)
		return refuse(request, SR_ERR_INVALID,
			      "HTTP/1.0 cannot mark a truncated answer; use "
			      "HTTP/1.1");
	if (server->stopped)
		return refuse(request, SR_ERR_DRAINING, NULL);
	if (!server->config)
		return refuse(request, SR_ERR_NO_UPSTREAM,
			      "no configuration is in force yet");
	if (server->n_requests > server->options.max_requests)
		return refuse(request, SR_ERR_OVERLOADED,
			      "too many requests are in progress");
	request->config = sr_config_ref(server->config);
	return TRUE;
}

gboolean sr_request_check(sr_request_t *request)
{
	return check_server(request) && check_account(request) &&
	       check_route(request) && check_size(request) &&
	       check_deadline(request) && check_priority(request) &&
	       check_idempotency_key(request);
}

void sr_request_run(sr_request_t *request)
{
	sr_caller_server_t *server = request->server;
	sr_usec_t time_left;

	sr_timer_cancel(request->timer);
	request->timer = NULL;
	if (request->answer != SR_ANSWER_NONE)
		return;
	time_left = request->deadline - sr_clock_now(server->options.clock);
	if (!request->route->idempotent)
		time_left += POSTING_GRACE_PERIOD;
	request->was_paused = TRUE;
	soup_server_message_pause(request->message);
	request->body = g_byte_array_free_to_bytes(request->received);
	request->received = NULL;
	request->timer = sr_timer_start(server->options.clock, time_left,
					on_deadline, request);
	request->close_watch = sr_connection_watch_close(
		request->connection, on_disconnect, request);
	if (request->route->idempotent)
		sr_relay_start(request);
	else
		sr_posting_start(request);
}

static void count_request(sr_request_t *request)
{
	const sr_caller_server_options_t *options = &request->server->options;
	char *labels = sr_metrics_labels(
		"service", request->service ? request->service->name : "",
		"route", request->route ? request->route->name : "", "kind",
		sr_err_name(request->err), NULL);
	sr_usec_t elapsed = sr_clock_now(options->clock) - request->arrived;

	sr_counter_add(sr_metrics_counter(options->metrics,
					  "sassafras_requests_total",
					  "requests by how they ended", labels),
		       1);
	g_free(labels);
	labels = sr_metrics_labels(
		"service", request->service ? request->service->name : "",
		NULL);
	sr_histogram_observe(
		sr_metrics_histogram(options->metrics,
				     "sassafras_request_seconds",
				     "from header to end of answer", labels),
		(double)elapsed / SR_SEC);
	g_free(labels);
}

static void end_span(sr_request_t *request)
{
	sr_span_set(request->span, "request.id", request->id);
	if (request->service)
		sr_span_set(request->span, "service", request->service->name);
	if (request->route)
		sr_span_set(request->span, "route", request->route->name);
	sr_span_end(request->span,
		    request->err ? sr_err_name(request->err) : NULL);
}

static void release_body(sr_request_t *request)
{
	gsize released = request->queued;

	if (request->received) {
		released += request->received->len;
		g_byte_array_unref(request->received);
	}
	if (request->body) {
		released += g_bytes_get_size(request->body);
		g_bytes_unref(request->body);
	}
	sr_caller_server_add_buffered(request->server, -(gssize)released);
}

void sr_request_free(sr_request_t *request)
{
	sr_caller_server_t *server = request->server;

	g_signal_handlers_disconnect_by_data(request->message, request);
	if (request->relay)
		sr_relay_cancel(request->relay);
	if (request->posting_pending)
		sr_posting_cancel(request);
	sr_timer_cancel(request->timer);
	if (request->close_watch) {
		g_source_destroy(request->close_watch);
		g_source_unref(request->close_watch);
	}
	release_body(request);
	count_request(request);
	end_span(request);
	sr_connection_set_busy(request->connection, FALSE);
	sr_list_remove(&request->link);
	g_assert(server->n_requests > 0);
	server->n_requests--;
	sr_gauge_set(server->meters.requests, server->n_requests);
	sr_config_unref(request->config);
	g_object_unref(request->message);
	g_free(request);
	sr_caller_server_check_idle(server);
}
