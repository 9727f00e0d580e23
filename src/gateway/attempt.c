#include <stdlib.h>
#include <string.h>

#include "gateway/internal.h"

/** Timeout for establishing a connection, which takes a few ms if the instance
 * is reachable. */
#define CONNECT_TIMEOUT (400 * SR_MSEC)

/** Maximum size of a response of an instance, in bytes. */
#define MAX_RESPONSE_HEAD (64 * 1024)
#define MAX_RESPONSE_BODY (8 * 1024 * 1024)

/** Responses to other requests that are skipped before the one to this request:
 * an instance may send one twice. */
#define MAX_OTHER_RESPONSES 8

/** Lifetime of an idle connection if the response has no Keep-Alive timeout. */
#define DEFAULT_KEEP_ALIVE (4 * SR_SEC)

/** An instance closes an idle connection after its Keep-Alive timeout. The pool
 * drops the connection this much earlier, so that no request is sent while the
 * instance closes it. */
#define KEEP_ALIVE_MARGIN (700 * SR_MSEC)

/** Maximum idle time of a reused connection for a request that must not run
 * twice: it can't be repeated if the connection turns out to be closed. */
#define RUN_ONCE_MAX_IDLE SR_SEC

struct sr_attempt {
	sr_attempt_options_t options;
	sr_channel_t *channel;
	sr_parser_t *parser;
	sr_timer_t *connect_timer;
	const char *cause;	    /* static string for the log */
	unsigned n_other_responses; /* skipped */
	gboolean is_new_connection; /* not from the pool */
	gboolean is_sent;
	gboolean is_cut;	   /* see sr_attempt_is_cut() */
	gboolean is_out_of_sync;   /* the connection must not be reused */
	gboolean is_head_verified; /* by classify_head() */
	gboolean is_paused;	   /* see sr_attempt_set_paused() */
	gboolean is_freed;	   /* sr_attempt_free() was called */
	sr_usec_t heard_at;	   /* last input; the start before */
	unsigned references;	   /* the struct is freed at 0 */
};

static void unref(sr_attempt_t *attempt)
{
	if (--attempt->references > 0)
		return;
	sr_parser_free(attempt->parser);
	sr_instance_unref(attempt->options.instance);
	g_clear_pointer(&attempt->options.bytes, g_byte_array_unref);
	g_free(attempt);
}

static void close_channel(sr_attempt_t *attempt)
{
	if (attempt->channel)
		sr_channel_reset(attempt->channel);
	attempt->channel = NULL;
}

void sr_attempt_free(sr_attempt_t *attempt)
{
	if (!attempt || attempt->is_freed)
		return;
	attempt->is_freed = TRUE;
	sr_timer_cancel(attempt->connect_timer);
	attempt->connect_timer = NULL;
	close_channel(attempt);
	unref(attempt);
}

static void report_end(sr_attempt_t *attempt, sr_attempt_outcome_t outcome,
		       const char *cause)
{
	attempt->cause = cause;
	sr_transaction_on_attempt_ended(attempt->options.transaction, outcome);
}

static sr_usec_t keep_alive_time(const sr_message_t *response)
{
	const char *value = sr_headers_get(response->headers, "Keep-Alive");
	const char *timeout = value ? strstr(value, "timeout=") : NULL;
	guint64 seconds;

	if (!timeout)
		return DEFAULT_KEEP_ALIVE;
	seconds = g_ascii_strtoull(timeout + strlen("timeout="), NULL, 10);
	return (sr_usec_t)MIN(seconds, 3600) * SR_SEC - KEEP_ALIVE_MARGIN;
}

static sr_connection_pool_t *pool_of(const sr_attempt_t *attempt)
{
	const sr_gateway_t *gateway = attempt->options.gateway;

	return attempt->options.is_relay ? gateway->relay_pool :
					   gateway->connection_pool;
}

/* Returns the connection to the pool after a complete response, or closes it if
 * it can't be reused. */
static void release_channel(sr_attempt_t *attempt, gboolean has_extra_bytes)
{
	const sr_message_t *response = sr_parser_message(attempt->parser);

	if (!response->keeps_alive || response->ends_at_close ||
	    attempt->is_out_of_sync || has_extra_bytes ||
	    !sr_channel_is_flushed(attempt->channel)) {
		sr_channel_free(attempt->channel);
	} else {
		sr_channel_set_paused(attempt->channel, FALSE);
		sr_connection_pool_put(
			pool_of(attempt), attempt->options.instance,
			attempt->channel, keep_alive_time(response));
	}
	attempt->channel = NULL;
}

typedef enum {
	HEAD_MATCHES,
	HEAD_OF_OTHER_REQUEST, /* of an earlier request on the connection */
	HEAD_INVALID,	       /* violates the protocol with instances */
} head_class_t;

static head_class_t classify_head(const sr_attempt_t *attempt)
{
	const sr_dialect_t *dialect = attempt->options.gateway->options.dialect;
	const sr_message_t *response = sr_parser_message(attempt->parser);
	const sr_headers_t *headers = response->headers;
	const char *id = sr_headers_get(headers, dialect->request_id);

	if (id && strcmp(id, attempt->options.request_id))
		return HEAD_OF_OTHER_REQUEST;
	/* An instance may send an error response without id before it has read
	 * the request; on a reused connection such a response could belong to
	 * an earlier request. */
	if (!id && (response->status < 400 || !attempt->is_new_connection))
		return HEAD_INVALID;
	if (response->status < 400 &&
	    (!sr_headers_get(headers, dialect->signature) ||
	     sr_headers_get(headers, "Content-Encoding")))
		return HEAD_INVALID;
	return HEAD_MATCHES;
}

/* A host repeats the signature of the instance, and has made its own attempts;
 * a response without one is its own. 429 refers to the account, whichever host
 * is asked; of the other refusals another host may know better. */
static sr_attempt_outcome_t classify_relayed(const sr_attempt_t *attempt)
{
	const sr_dialect_t *dialect = attempt->options.gateway->options.dialect;
	const sr_message_t *response = sr_parser_message(attempt->parser);

	if (sr_headers_get(response->headers, dialect->signature) ||
	    response->status == 429)
		return SR_ATTEMPT_ANSWERED;
	if (response->status >= 500 && response->status != 503)
		return SR_ATTEMPT_ANSWERED;
	return SR_ATTEMPT_REJECTED;
}

static sr_attempt_outcome_t classify_response(const sr_attempt_t *attempt)
{
	const sr_dialect_t *dialect = attempt->options.gateway->options.dialect;
	const sr_message_t *response = sr_parser_message(attempt->parser);

	if (attempt->options.is_relay)
		return classify_relayed(attempt);
	if (sr_headers_get(response->headers, dialect->not_run) ||
	    response->status == 421)
		return SR_ATTEMPT_REJECTED;
	/* Callers take 408, 429 and 503 to mean that the request was not
	 * executed; without the header above, the instance does not state
	 * that. */
	if (response->status >= 500 || response->status == 429 ||
	    response->status == 408)
		return SR_ATTEMPT_FAILED;
	return SR_ATTEMPT_ANSWERED;
}

/* Compares without parameters; a missing type is "". */
static gboolean is_same_media_type(const char *a, const char *b)
{
	gsize size = strcspn(a, "; \t");

	return size == strcspn(b, "; \t") && !g_ascii_strncasecmp(a, b, size);
}

gboolean sr_attempt_is_event_stream(const sr_attempt_t *attempt)
{
	const sr_message_t *response = sr_parser_message(attempt->parser);
	const char *type = sr_headers_get(response->headers, "Content-Type");

	if (!attempt->options.is_stream || response->status >= 300 ||
	    !sr_http_has_body(attempt->options.is_head_only, response->status))
		return FALSE;
	return !attempt->options.stream_type ||
	       is_same_media_type(type ? type : "",
				  attempt->options.stream_type);
}

/* Passes stream data to the transaction; FALSE if that freed the attempt. */
static gboolean forward_stream_data(sr_attempt_t *attempt)
{
	GBytes *part;
	gsize size;
	const guint8 *data;
	gboolean ok;

	if (!sr_attempt_is_event_stream(attempt) ||
	    sr_parser_message(attempt->parser)->body->len == 0)
		return TRUE;
	part = sr_parser_take_body(attempt->parser);
	data = g_bytes_get_data(part, &size);
	ok = sr_transaction_on_stream_data(attempt->options.transaction, data,
					   size);
	g_bytes_unref(part);
	if (!ok)
		report_end(attempt, SR_ATTEMPT_BROKEN,
			   "event in the stream exceeds the size limit");
	return ok;
}

static gboolean verify_head(sr_attempt_t *attempt)
{
	if (attempt->is_head_verified ||
	    !sr_parser_message(attempt->parser)->headers_complete)
		return TRUE;
	switch (classify_head(attempt)) {
	case HEAD_MATCHES:
		attempt->is_head_verified = TRUE;
		if (!attempt->options.is_relay)
			sr_gateway_read_notices(
				attempt->options.gateway,
				attempt->options.instance,
				sr_parser_message(attempt->parser));
		return TRUE;
	case HEAD_OF_OTHER_REQUEST:
		attempt->is_out_of_sync = TRUE;
		return TRUE;
	case HEAD_INVALID:
		break;
	}
	report_end(attempt, SR_ATTEMPT_BROKEN,
		   "response lacks the request id or signature, or is encoded");
	return FALSE;
}

static void finish_response(sr_attempt_t *attempt, gboolean has_extra_bytes)
{
	if (has_extra_bytes)
		attempt->is_out_of_sync = TRUE;
	release_channel(attempt, has_extra_bytes);
	report_end(attempt, classify_response(attempt), "answer");
}

/* Skips responses to other requests until the one to this request is
 * complete. */
static void read_response(sr_attempt_t *attempt, const guint8 *data, gsize size)
{
	while (size > 0) {
		gsize used = 0;
		sr_err_t err =
			sr_parser_feed(attempt->parser, data, size, &used);

		data += used;
		size -= used;
		if (!verify_head(attempt))
			return;
		if (attempt->is_head_verified && !forward_stream_data(attempt))
			return;
		if (err) {
			report_end(attempt, SR_ATTEMPT_BROKEN,
				   "invalid HTTP response");
			return;
		}
		if (!sr_parser_message(attempt->parser)->is_complete)
			continue;
		if (attempt->is_head_verified) {
			finish_response(attempt, size > 0);
			return;
		}
		if (++attempt->n_other_responses > MAX_OTHER_RESPONSES) {
			report_end(attempt, SR_ATTEMPT_BROKEN,
				   "too many responses to other requests");
			return;
		}
		sr_parser_reset(attempt->parser);
	}
}

static void on_received(void *user, const guint8 *data, gsize size)
{
	sr_attempt_t *attempt = user;

	attempt->references++;
	attempt->heard_at = sr_gateway_now(attempt->options.gateway);
	if (!attempt->options.is_relay)
		sr_gateway_instance_heard(attempt->options.gateway,
					  attempt->options.instance);
	read_response(attempt, data, size);
	unref(attempt);
}

static void report_unreached(const sr_attempt_t *attempt,
			     sr_reach_failure_t how)
{
	if (!attempt->options.is_relay)
		sr_gateway_instance_unreached(attempt->options.gateway,
					      attempt->options.instance, how);
}

static void on_ended(void *user, sr_channel_end_reason_t how)
{
	sr_attempt_t *attempt = user;

	attempt->references++;
	if (how == SR_CHANNEL_CONNECT_FAILED) {
		report_unreached(attempt, SR_REACH_REFUSED);
		report_end(attempt, SR_ATTEMPT_NOT_SENT,
			   "could not connect to the instance");
	} else if (how == SR_CHANNEL_CLOSED_BY_PEER &&
		   attempt->is_head_verified &&
		   sr_parser_finish(attempt->parser) == SR_OK) {
		if (forward_stream_data(attempt))
			finish_response(attempt, FALSE);
	} else {
		attempt->is_cut = attempt->is_sent;
		report_end(attempt, SR_ATTEMPT_BROKEN,
			   how == SR_CHANNEL_CLOSED_BY_PEER ?
				   "incomplete response from the instance" :
				   "connection to the instance reset");
	}
	unref(attempt);
}

static void send_request(sr_attempt_t *attempt)
{
	attempt->is_sent = TRUE;
	if (!attempt->options.is_relay)
		sr_transaction_on_sent(attempt->options.transaction,
				       attempt->options.instance);
	sr_channel_write(attempt->channel, attempt->options.bytes->data,
			 attempt->options.bytes->len);
	g_clear_pointer(&attempt->options.bytes, g_byte_array_unref);
}

static void on_connected(void *user)
{
	sr_attempt_t *attempt = user;

	sr_timer_cancel(attempt->connect_timer);
	attempt->connect_timer = NULL;
	if (!attempt->options.is_relay)
		sr_gateway_instance_reached(attempt->options.gateway,
					    attempt->options.instance);
	send_request(attempt);
}

static void on_connect_timeout(void *user)
{
	sr_attempt_t *attempt = user;

	attempt->connect_timer = NULL;
	attempt->references++;
	report_unreached(attempt, SR_REACH_TIMED_OUT);
	report_end(attempt, SR_ATTEMPT_NOT_SENT,
		   "connection to the instance timed out");
	unref(attempt);
}

static const sr_channel_events_t attempt_events = {
	.connected = on_connected,
	.received = on_received,
	.ended = on_ended,
};

static gboolean open_channel(sr_attempt_t *attempt)
{
	const sr_attempt_options_t *options = &attempt->options;
	sr_usec_t max_idle =
		options->may_run_twice ? DEFAULT_KEEP_ALIVE : RUN_ONCE_MAX_IDLE;

	attempt->channel = sr_connection_pool_take(pool_of(attempt),
						   options->instance, max_idle);
	if (attempt->channel) {
		sr_channel_set_events(attempt->channel, &attempt_events,
				      attempt);
		send_request(attempt);
		return TRUE;
	}
	attempt->is_new_connection = TRUE;
	attempt->channel = sr_channel_connect(options->instance->address,
					      &attempt_events, attempt);
	if (!attempt->channel) {
		report_unreached(attempt, SR_REACH_REFUSED);
		return FALSE;
	}
	attempt->connect_timer =
		sr_timer_start(options->gateway->options.clock, CONNECT_TIMEOUT,
			       on_connect_timeout, attempt);
	return TRUE;
}

sr_attempt_t *sr_attempt_new(const sr_attempt_options_t *options)
{
	const sr_parser_options_t parser = {
		.kind = SR_MESSAGE_RESPONSE,
		.max_header_size = MAX_RESPONSE_HEAD,
		.max_body_size = MAX_RESPONSE_BODY,
	};
	sr_attempt_t *attempt = g_new0(sr_attempt_t, 1);

	attempt->references = 1;
	attempt->options = *options;
	attempt->heard_at = sr_gateway_now(options->gateway);
	sr_instance_ref(options->instance);
	attempt->parser = sr_parser_new(&parser);
	if (options->is_head_only)
		sr_parser_expect_no_body(attempt->parser);
	if (open_channel(attempt))
		return attempt;
	attempt->is_freed = TRUE;
	unref(attempt);
	return NULL;
}

void sr_attempt_give_up(sr_attempt_t *attempt, const char *cause)
{
	attempt->references++;
	report_end(attempt,
		   attempt->is_sent ? SR_ATTEMPT_BROKEN : SR_ATTEMPT_NOT_SENT,
		   cause);
	unref(attempt);
}

void sr_attempt_set_paused(sr_attempt_t *attempt, gboolean paused)
{
	if (!attempt->channel || attempt->is_paused == paused)
		return;
	attempt->is_paused = paused;
	attempt->heard_at = sr_gateway_now(attempt->options.gateway);
	sr_channel_set_paused(attempt->channel, paused);
}

sr_usec_t sr_attempt_heard_at(const sr_attempt_t *attempt)
{
	return attempt->is_paused ? sr_gateway_now(attempt->options.gateway) :
				    attempt->heard_at;
}

const sr_message_t *sr_attempt_message(const sr_attempt_t *attempt)
{
	return sr_parser_message(attempt->parser);
}

const char *sr_attempt_cause(const sr_attempt_t *attempt)
{
	return attempt->cause ? attempt->cause : "none yet";
}

gboolean sr_attempt_is_sent(const sr_attempt_t *attempt)
{
	return attempt->is_sent;
}

gboolean sr_attempt_is_cut(const sr_attempt_t *attempt)
{
	return attempt->is_cut;
}

gboolean sr_attempt_is_relay(const sr_attempt_t *attempt)
{
	return attempt->options.is_relay;
}

sr_instance_t *sr_attempt_instance(const sr_attempt_t *attempt)
{
	return attempt->options.instance;
}
