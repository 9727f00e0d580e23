#include <string.h>

#include "base/problem.h"
#include "gateway/internal.h"

/** Bytes that a caller may send ahead of the answer it waits for. */
#define AHEAD_MAX (64 * 1024)

/** Longest time for the body after the head is in. */
#define BODY_TIMEOUT (20 * SR_SEC)

/** Time that a caller has to read our last bytes and close. */
#define LINGER SR_SEC

struct sr_session {
	sr_list_t link;
	sr_gateway_t *gateway;
	sr_channel_t *channel;
	sr_parser_t *parser;
	GByteArray *input; /* not parsed yet */
	sr_transaction_t *transaction;
	gsize held;	 /* bytes of the gateway's account of buffered ones */
	sr_usec_t began; /* first byte of the message, or last activity */
	sr_usec_t closing_at; /* linger until; 0 if open */
	gboolean closes;      /* after the answer that is being written */
	gboolean processing;
	gboolean paused;
	gboolean dead;
	unsigned references;
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

static void release_held(sr_session_t *session)
{
	session->gateway->buffered -= session->held;
	session->held = 0;
}

void sr_session_free(sr_session_t *session)
{
	if (session->dead)
		return;
	session->dead = TRUE;
	if (session->transaction)
		sr_transaction_caller_left(session->transaction);
	session->transaction = NULL;
	release_held(session);
	sr_list_remove(&session->link);
	session->gateway->n_sessions--;
	sr_gauge_add(session->gateway->meters.sessions, -1);
	sr_channel_free(session->channel);
	unref(session);
}

static void start_closing(sr_session_t *session)
{
	if (session->closing_at > 0)
		return;
	session->closing_at = sr_gateway_now(session->gateway) + LINGER;
	sr_channel_shutdown(session->channel);
}

static const char *reason_of(unsigned status)
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

/* Fields of an instance's answer that the caller gets. */
static void append_fields(GString *head, const sr_headers_t *headers)
{
	for (unsigned i = 0; headers && i < sr_headers_size(headers); i++) {
		sr_header_t field = sr_headers_at(headers, i);

		if (!sr_headers_is_hop_by_hop(headers, field.name))
			g_string_append_printf(head, "%s: %s\r\n", field.name,
					       field.value);
	}
}

static GString *start_head(sr_session_t *session, const sr_answer_t *answer)
{
	const sr_message_t *request = sr_parser_message(session->parser);
	const sr_dialect_t *dialect = session->gateway->options.dialect;
	GString *head = g_string_sized_new(512);
	char seconds[G_ASCII_DTOSTR_BUF_SIZE];

	g_string_append_printf(head, "HTTP/1.1 %u %s\r\n", answer->status,
			       answer->reason && *answer->reason ?
				       answer->reason :
				       reason_of(answer->status));
	append_fields(head, answer->headers);
	if (answer->content_type)
		g_string_append_printf(head, "Content-Type: %s\r\n",
				       answer->content_type);
	if (answer->request_id && !answer->headers)
		g_string_append_printf(head, "%s: %s\r\n", dialect->request_id,
				       answer->request_id);
	if (answer->retry_after > 0)
		g_string_append_printf(
			head, "Retry-After: %s\r\n",
			g_ascii_formatd(seconds, sizeof(seconds), "%.2f",
					(double)answer->retry_after / SR_SEC));
	if (session->gateway->stopping || !request->keeps_alive)
		session->closes = TRUE;
	if (session->closes)
		g_string_append(head, "Connection: close\r\n");
	return head;
}

static void process(sr_session_t *session);

/* The answer is written; go on to the next request. */
static void finish_answer(sr_session_t *session)
{
	session->transaction = NULL;
	session->began = sr_gateway_now(session->gateway);
	release_held(session);
	if (session->closes) {
		start_closing(session);
		return;
	}
	sr_parser_next(session->parser);
	if (session->paused) {
		session->paused = FALSE;
		sr_channel_pause(session->channel, FALSE);
	}
	if (!session->processing)
		process(session);
}

void sr_session_answer(sr_session_t *session, const sr_answer_t *answer)
{
	const sr_message_t *request = sr_parser_message(session->parser);
	GString *head = start_head(session, answer);
	gboolean has_body = g_strcmp0(request->method, "HEAD") != 0 &&
			    answer->status != 204 && answer->status != 304;

	if (has_body)
		g_string_append_printf(head, "Content-Length: %zu\r\n",
				       answer->size);
	g_string_append(head, "\r\n");
	if (has_body)
		g_string_append_len(head, (const char *)answer->body,
				    (gssize)answer->size);
	sr_channel_write(session->channel, head->str, head->len);
	g_string_free(head, TRUE);
	finish_answer(session);
}

void sr_session_begin(sr_session_t *session, const sr_answer_t *answer)
{
	GString *head = start_head(session, answer);

	g_string_append(head, "Transfer-Encoding: chunked\r\n\r\n");
	sr_channel_write(session->channel, head->str, head->len);
	g_string_free(head, TRUE);
}

void sr_session_part(sr_session_t *session, const guint8 *data, gsize size)
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

void sr_session_end(sr_session_t *session)
{
	sr_channel_write(session->channel, "0\r\n\r\n", 5);
	finish_answer(session);
}

void sr_session_break_off(sr_session_t *session)
{
	session->transaction = NULL;
	sr_session_free(session);
}

/* Answers what can't be read as a request, and closes. */
static void refuse(sr_session_t *session, sr_err_t err)
{
	const sr_message_t *request = sr_parser_message(session->parser);
	const char *name = session->gateway->options.dialect->request_id;
	const char *id = sr_headers_get(request->headers, name);
	const sr_problem_t problem = { .err = err, .request_id = id };
	char *body = sr_problem_json(&problem);
	const sr_answer_t answer = {
		.status = sr_err_http_status(err),
		.content_type = SR_PROBLEM_TYPE,
		.request_id = id,
		.body = (const guint8 *)body,
		.size = strlen(body),
	};

	sr_log_event(session->gateway->options.log, SR_LOG_INFO,
		     "request-unreadable", "request", id ? id : "", "kind",
		     sr_err_name(err), NULL);
	session->closes = TRUE;
	sr_session_answer(session, &answer);
	g_free(body);
}

static sr_err_t as_caller_error(sr_err_t err)
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

static void begin_message(sr_session_t *session)
{
	const sr_route_table_t *table = session->gateway->table;

	session->began = sr_gateway_now(session->gateway);
	if (table)
		sr_parser_set_limits(session->parser,
				     table->limits.header_bytes,
				     table->limits.body_bytes);
}

/* Parses what has come in; begins an transaction when a request is whole. */
static void process(sr_session_t *session)
{
	session->references++;
	session->processing = TRUE;
	while (!session->dead && !session->transaction &&
	       session->closing_at == 0 && session->input->len > 0) {
		const sr_message_t *message =
			sr_parser_message(session->parser);
		gsize used = 0;
		sr_err_t err;

		if (!sr_parser_has_begun(session->parser))
			begin_message(session);
		err = sr_parser_feed(session->parser, session->input->data,
				     session->input->len, &used);
		g_byte_array_remove_range(session->input, 0, (guint)used);
		if (err)
			refuse(session, as_caller_error(err));
		else if (message->is_complete)
			sr_transaction_begin(session, session->gateway, message,
					     session->began,
					     &session->transaction);
	}
	session->processing = FALSE;
	unref(session);
}

static void on_received(void *user, const guint8 *data, gsize size)
{
	sr_session_t *session = user;
	sr_gateway_t *gateway = session->gateway;

	if (session->closing_at > 0)
		return;
	g_byte_array_append(session->input, data, (guint)size);
	session->held += size;
	gateway->buffered += size;
	if (gateway->buffered > gateway->options.buffered_bytes &&
	    !session->transaction) {
		refuse(session, SR_ERR_OVERLOADED);
		return;
	}
	if (session->transaction && session->input->len > AHEAD_MAX) {
		session->paused = TRUE;
		sr_channel_pause(session->channel, TRUE);
	}
	process(session);
}

static void on_ended(void *user, sr_channel_end_t how)
{
	(void)how;
	sr_session_free(user);
}

static const sr_channel_events_t session_events = {
	.received = on_received,
	.ended = on_ended,
};

void sr_session_accept(sr_gateway_t *gateway, int fd)
{
	const sr_parser_options_t options = {
		.kind = SR_MESSAGE_REQUEST,
		.max_head = SR_CALLER_HEADER_BYTES,
		.max_body = SR_CALLER_BODY_BYTES,
	};
	sr_session_t *session = g_new0(sr_session_t, 1);

	session->references = 1;
	session->gateway = gateway;
	session->parser = sr_parser_new(&options);
	session->input = g_byte_array_new();
	session->began = sr_gateway_now(gateway);
	session->channel = sr_channel_accepted(fd, &session_events, session);
	sr_list_append(&gateway->sessions, &session->link);
	gateway->n_sessions++;
	sr_gauge_add(gateway->meters.sessions, 1);
	if (gateway->n_sessions > gateway->options.max_connections) {
		sr_log_event(gateway->options.log, SR_LOG_WARN,
			     "connection-refused", "reason",
			     "too many connections", NULL);
		refuse(session, SR_ERR_OVERLOADED);
	}
}

static sr_usec_t idle_limit(const sr_gateway_t *gateway)
{
	return gateway->table ? gateway->table->limits.idle_timeout :
				SR_CALLER_IDLE_TIMEOUT;
}

static sr_usec_t head_limit(const sr_gateway_t *gateway)
{
	return gateway->table ? gateway->table->limits.header_timeout :
				SR_CALLER_HEADER_TIMEOUT;
}

static gboolean stops_listening(const sr_gateway_t *gateway, sr_usec_t now)
{
	return gateway->stopping &&
	       now - gateway->stop_began >= gateway->options.stop_accepting;
}

void sr_session_sweep(sr_session_t *session, sr_usec_t now)
{
	const sr_gateway_t *gateway = session->gateway;
	const sr_message_t *message = sr_parser_message(session->parser);
	sr_usec_t age = now - session->began;

	if (session->closing_at > 0) {
		if (now >= session->closing_at)
			sr_session_free(session);
	} else if (session->transaction) {
		return;
	} else if (!sr_parser_has_begun(session->parser)) {
		if (age > idle_limit(gateway) || stops_listening(gateway, now))
			start_closing(session);
	} else if (!message->has_head) {
		if (age > head_limit(gateway))
			refuse(session, SR_ERR_CALLER_TIMEOUT);
	} else if (age > head_limit(gateway) + BODY_TIMEOUT) {
		refuse(session, SR_ERR_CALLER_TIMEOUT);
	}
}
