#include <string.h>

#include "base/problem.h"
#include "gateway/internal.h"

/** Maximum bytes of pipelined requests that are read before the current request
 * has its response. */
#define MAX_PIPELINED_BYTES (64 * 1024)

/** Requests of one connection that are handled in a turn of the loop, so that a
 * caller that sends thousands of tiny ones ahead does not delay the others. */
#define REQUESTS_PER_TURN 16

/** Timeout for the body of a request, after that for its head. */
#define BODY_TIMEOUT (20 * SR_SEC)

/** Added to the idle timeout: a caller's time starts when the response has
 * reached it. */
#define IDLE_GRACE SR_SEC

/** Idle timeout of connections from other hosts, longer than they keep them. */
#define RELAY_IDLE_TIMEOUT (10 * SR_SEC)

/** Time from the shutdown of a connection until it is closed, so that the
 * caller can read the response. */
#define LINGER_TIMEOUT SR_SEC

struct sr_session {
	sr_list_t link;
	sr_gateway_t *gateway;
	sr_channel_t *channel;
	sr_parser_t *parser;
	GByteArray *input;	 /* not yet parsed */
	sr_timer_t *input_timer; /* goes on with it in the next turn; or NULL */
	sr_transaction_t *transaction;
	gsize buffered_bytes;	  /* share of gateway->buffered_bytes */
	sr_usec_t started_at;	  /* time of the message's first byte, or of the
				   * last activity before it */
	sr_usec_t close_deadline; /* of the lingering close; 0 if open */
	gboolean close_after_response;
	gboolean is_expired;  /* idle at the last sweep, without input since */
	gboolean is_ignoring; /* bytes came after the shutdown */
	gboolean is_processing; /* in process_input() */
	gboolean is_relayed;	/* the peer is another host */
	gboolean is_freed;	/* sr_session_free() was called */
	unsigned references;	/* the struct is freed at 0 */
};

sr_session_t *sr_session_of_link(sr_list_t *link)
{
	return sr_list_entry(link, sr_session_t, link);
}

static void unref(sr_session_t *session)
{
	if (--session->references > 0)
		return;
	sr_parser_free(session->parser);
	g_byte_array_unref(session->input);
	g_free(session);
}

static void release_buffered_bytes(sr_session_t *session)
{
	session->gateway->buffered_bytes -= session->buffered_bytes;
	session->buffered_bytes = 0;
}

void sr_session_free(sr_session_t *session)
{
	if (session->is_freed)
		return;
	session->is_freed = TRUE;
	if (session->transaction)
		sr_transaction_caller_disconnected(session->transaction);
	session->transaction = NULL;
	release_buffered_bytes(session);
	sr_timer_cancel(session->input_timer);
	session->input_timer = NULL;
	sr_list_remove(&session->link);
	session->gateway->n_sessions--;
	sr_gauge_add(session->gateway->metrics.sessions, -1);
	sr_channel_free(session->channel);
	unref(session);
}

static void start_closing(sr_session_t *session)
{
	if (session->close_deadline > 0)
		return;
	session->close_deadline =
		sr_gateway_now(session->gateway) + LINGER_TIMEOUT;
	sr_channel_shutdown(session->channel);
}

static const char *reason_phrase(unsigned status)
{
	switch (status) {
	case 200:
		return "OK";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 404:
		return "Not Found";
	case 408:
		return "Request Timeout";
	case 413:
		return "Content Too Large";
	case 429:
		return "Too Many Requests";
	case 431:
		return "Request Header Fields Too Large";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Status";
	}
}

/* Appends the instance's response headers, without the hop-by-hop ones. */
static void append_end_to_end_fields(GString *head, const sr_headers_t *headers)
{
	for (unsigned i = 0; headers && i < sr_headers_size(headers); i++) {
		sr_header_t field = sr_headers_at(headers, i);

		if (!sr_headers_is_hop_by_hop(headers, field.name))
			g_string_append_printf(head, "%s: %s\r\n", field.name,
					       field.value);
	}
}

static GString *format_head(sr_session_t *session,
			    const sr_response_t *response)
{
	const sr_message_t *request = sr_parser_message(session->parser);
	const sr_dialect_t *dialect = session->gateway->options.dialect;
	GString *head = g_string_sized_new(512);
	char seconds[G_ASCII_DTOSTR_BUF_SIZE];

	g_string_append_printf(head, "HTTP/1.1 %u %s\r\n", response->status,
			       response->reason && *response->reason ?
				       response->reason :
				       reason_phrase(response->status));
	append_end_to_end_fields(head, response->headers);
	if (response->content_type)
		g_string_append_printf(head, "Content-Type: %s\r\n",
				       response->content_type);
	if (response->request_id && !response->headers)
		g_string_append_printf(head, "%s: %s\r\n", dialect->request_id,
				       response->request_id);
	if (response->retry_after > 0)
		g_string_append_printf(
			head, "Retry-After: %s\r\n",
			g_ascii_formatd(seconds, sizeof(seconds), "%.2f",
					(double)response->retry_after /
						SR_SEC));
	if (session->gateway->stopping || !request->keeps_alive)
		session->close_after_response = TRUE;
	if (session->close_after_response)
		g_string_append(head, "Connection: close\r\n");
	return head;
}

static void process_input(sr_session_t *session);

/* The response has been written: continues with the next request. */
static void finish_response(sr_session_t *session)
{
	session->transaction = NULL;
	session->started_at = sr_gateway_now(session->gateway);
	release_buffered_bytes(session);
	if (session->close_after_response) {
		start_closing(session);
		return;
	}
	sr_parser_reset(session->parser);
	if (!session->is_processing)
		process_input(session);
}

void sr_session_respond(sr_session_t *session, const sr_response_t *response)
{
	const sr_message_t *request = sr_parser_message(session->parser);
	GString *head = format_head(session, response);
	gboolean has_body = sr_http_has_body(
		!g_strcmp0(request->method, "HEAD"), response->status);

	if (has_body)
		g_string_append_printf(head, "Content-Length: %zu\r\n",
				       response->size);
	g_string_append(head, "\r\n");
	if (has_body)
		g_string_append_len(head, (const char *)response->body,
				    (gssize)response->size);
	sr_channel_write(session->channel, head->str, head->len);
	g_string_free(head, TRUE);
	finish_response(session);
}

void sr_session_begin_stream(sr_session_t *session,
			     const sr_response_t *response)
{
	GString *head = format_head(session, response);

	g_string_append(head, "Transfer-Encoding: chunked\r\n\r\n");
	sr_channel_write(session->channel, head->str, head->len);
	g_string_free(head, TRUE);
}

void sr_session_write_chunk(sr_session_t *session, const guint8 *data,
			    gsize size)
{
	GString *chunk = g_string_sized_new(size + 16);

	if (size > 0) {
		g_string_append_printf(chunk, "%zx\r\n", size);
		g_string_append_len(chunk, (const char *)data, (gssize)size);
		g_string_append(chunk, "\r\n");
		sr_channel_write(session->channel, chunk->str, chunk->len);
	}
	g_string_free(chunk, TRUE);
}

gboolean sr_session_is_congested(const sr_session_t *session)
{
	return sr_channel_is_congested(session->channel);
}

gsize sr_session_unsent(const sr_session_t *session)
{
	return sr_channel_unsent(session->channel);
}

void sr_session_end_stream(sr_session_t *session)
{
	sr_channel_write(session->channel, "0\r\n\r\n", 5);
	finish_response(session);
}

void sr_session_abort(sr_session_t *session)
{
	session->transaction = NULL;
	sr_session_free(session);
}

/* Responds with an error before the request is complete, and closes. */
static void reject_request(sr_session_t *session, sr_err_t err)
{
	const sr_message_t *request = sr_parser_message(session->parser);
	const char *name = session->gateway->options.dialect->request_id;
	const char *id = sr_headers_get(request->headers, name);
	const sr_problem_t problem = { .err = err, .request_id = id };
	char *body = sr_problem_json(&problem);
	const sr_response_t response = {
		.status = sr_err_http_status(err),
		.content_type = SR_PROBLEM_MEDIA_TYPE,
		.request_id = id,
		.body = (const guint8 *)body,
		.size = strlen(body),
	};

	sr_log_event(session->gateway->options.log, SR_LOG_INFO,
		     "request-unreadable", "request", id ? id : "", "kind",
		     sr_err_name(err), NULL);
	session->close_after_response = TRUE;
	sr_session_respond(session, &response);
	g_free(body);
}

static sr_err_t map_parser_error(sr_err_t err)
{
	switch (err) {
	case SR_ERR_TOO_LARGE:
		return SR_ERR_TOO_LARGE;
	case SR_ERR_INVALID:
		return SR_ERR_HEAD_TOO_LARGE;
	default:
		return SR_ERR_INVALID;
	}
}

/* Applies the limits of the current route table to the next request. */
static void start_message(sr_session_t *session)
{
	const sr_route_table_t *table = session->gateway->table;

	session->started_at = sr_gateway_now(session->gateway);
	if (table)
		sr_parser_set_limits(session->parser,
				     table->limits.max_header_bytes,
				     table->limits.max_body_bytes);
}

/* Parses input from an offset; starts a transaction if a request is complete.
 * Returns the number of bytes used. */
static gsize parse_input(sr_session_t *session, gsize at)
{
	const sr_message_t *message = sr_parser_message(session->parser);
	gsize used = 0;
	sr_err_t err;

	if (!sr_parser_has_input(session->parser))
		start_message(session);
	err = sr_parser_feed(session->parser, session->input->data + at,
			     session->input->len - at, &used);
	if (err)
		reject_request(session, map_parser_error(err));
	else if (message->is_complete)
		sr_transaction_begin(session, session->gateway, message,
				     session->started_at,
				     &session->transaction);
	return used;
}

static gboolean is_parsing(const sr_session_t *session)
{
	return !session->is_freed && !session->transaction &&
	       session->close_deadline == 0;
}

static void on_input_timer(void *user)
{
	sr_session_t *session = user;

	session->input_timer = NULL;
	process_input(session);
}

/* Parses the input, and starts transactions, up to REQUESTS_PER_TURN. */
static void process_input(sr_session_t *session)
{
	gsize at = 0;
	unsigned n = 0;

	if (session->input_timer)
		return;
	session->references++;
	session->is_processing = TRUE;
	for (; is_parsing(session) && at < session->input->len &&
	       n < REQUESTS_PER_TURN;
	     n++)
		at += parse_input(session, at);
	g_byte_array_remove_range(session->input, 0, (guint)at);
	session->is_processing = FALSE;
	if (is_parsing(session) && session->input->len > 0)
		session->input_timer =
			sr_timer_start(session->gateway->options.clock, 0,
				       on_input_timer, session);
	if (!session->is_freed)
		sr_channel_set_paused(session->channel,
				      session->close_deadline == 0 &&
					      session->input->len >
						      MAX_PIPELINED_BYTES);
	unref(session);
}

/* What a caller sends after the shutdown can't be answered any more. */
static void log_ignored(sr_session_t *session, gsize size)
{
	sr_usec_t closed_at = session->close_deadline - LINGER_TIMEOUT;
	sr_usec_t now = sr_gateway_now(session->gateway);
	char closed_ms[24];
	char bytes[24];

	if (session->is_ignoring)
		return;
	session->is_ignoring = TRUE;
	g_snprintf(closed_ms, sizeof(closed_ms), "%" G_GINT64_FORMAT,
		   (now - closed_at) / SR_MSEC);
	g_snprintf(bytes, sizeof(bytes), "%" G_GSIZE_FORMAT, size);
	sr_log_event(session->gateway->options.log, SR_LOG_INFO,
		     "input-after-close", "closed_ms", closed_ms, "bytes",
		     bytes, NULL);
}

static void on_received(void *user, const guint8 *data, gsize size)
{
	sr_session_t *session = user;
	sr_gateway_t *gateway = session->gateway;

	if (session->close_deadline > 0) {
		log_ignored(session, size);
		return;
	}
	session->is_expired = FALSE;
	g_byte_array_append(session->input, data, (guint)size);
	session->buffered_bytes += size;
	gateway->buffered_bytes += size;
	if (gateway->buffered_bytes > gateway->options.buffered_bytes &&
	    !session->transaction) {
		reject_request(session, SR_ERR_OVERLOADED);
		return;
	}
	process_input(session);
}

static void on_drained(void *user)
{
	sr_session_t *session = user;

	if (session->transaction)
		sr_transaction_on_caller_drained(session->transaction);
}

static void on_ended(void *user, sr_channel_end_reason_t how)
{
	(void)how;
	sr_session_free(user);
}

static const sr_channel_events_t session_events = {
	.received = on_received,
	.drained = on_drained,
	.ended = on_ended,
};

static void accept_connection(sr_gateway_t *gateway, int fd,
			      gboolean is_relayed)
{
	const sr_parser_options_t options = {
		.kind = SR_MESSAGE_REQUEST,
		.max_header_size = SR_CALLER_DEFAULT_HEADER_BYTES,
		.max_body_size = SR_CALLER_DEFAULT_BODY_BYTES,
	};
	sr_session_t *session = g_new0(sr_session_t, 1);

	session->references = 1;
	session->gateway = gateway;
	session->is_relayed = is_relayed;
	session->parser = sr_parser_new(&options);
	session->input = g_byte_array_new();
	session->started_at = sr_gateway_now(gateway);
	session->channel = sr_channel_new_from_fd(fd, &session_events, session);
	sr_list_append(&gateway->sessions, &session->link);
	gateway->n_sessions++;
	sr_gauge_add(gateway->metrics.sessions, 1);
	if (gateway->n_sessions > gateway->options.max_connections) {
		sr_log_event(gateway->options.log, SR_LOG_WARN,
			     "connection-refused", "reason",
			     "the limit on connections from callers is reached",
			     NULL);
		reject_request(session, SR_ERR_OVERLOADED);
	}
}

void sr_session_accept(sr_gateway_t *gateway, int fd)
{
	accept_connection(gateway, fd, FALSE);
}

void sr_session_accept_relayed(sr_gateway_t *gateway, int fd)
{
	accept_connection(gateway, fd, TRUE);
}

gboolean sr_session_is_relayed(const sr_session_t *session)
{
	return session->is_relayed;
}

static sr_usec_t idle_timeout_of(const sr_session_t *session)
{
	const sr_route_table_t *table = session->gateway->table;

	if (session->is_relayed)
		return RELAY_IDLE_TIMEOUT;
	return table ? table->limits.idle_timeout :
		       SR_CALLER_DEFAULT_IDLE_TIMEOUT;
}

static sr_usec_t header_timeout_of(const sr_gateway_t *gateway)
{
	return gateway->table ? gateway->table->limits.header_timeout :
				SR_CALLER_DEFAULT_HEADER_TIMEOUT;
}

static gboolean is_idle(const sr_session_t *session, sr_usec_t now)
{
	return now - session->started_at >
		       idle_timeout_of(session) + IDLE_GRACE ||
	       sr_gateway_is_past_accept_period(session->gateway, now);
}

void sr_session_sweep(sr_session_t *session, sr_usec_t now)
{
	const sr_gateway_t *gateway = session->gateway;
	const sr_message_t *message = sr_parser_message(session->parser);
	sr_usec_t age = now - session->started_at;

	if (session->close_deadline > 0) {
		if (now >= session->close_deadline)
			sr_session_free(session);
	} else if (session->transaction) {
		return;
	} else if (!sr_channel_is_flushed(session->channel)) {
		/* the caller has not got the last response yet */
		session->started_at = now;
	} else if (!sr_parser_has_input(session->parser)) {
		if (!is_idle(session, now))
			return;
		/* A host that is short of processor time may not have read a
		 * request that came in time: it closes at the next call. What
		 * comes later is reset unread, so that its caller knows at once
		 * that it did not run. */
		if (session->is_expired)
			sr_session_free(session);
		else
			session->is_expired = TRUE;
	} else if (!message->headers_complete) {
		if (age > header_timeout_of(gateway))
			reject_request(session, SR_ERR_CALLER_TIMEOUT);
	} else if (age > header_timeout_of(gateway) + BODY_TIMEOUT) {
		reject_request(session, SR_ERR_CALLER_TIMEOUT);
	}
}
