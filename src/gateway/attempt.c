#include <stdlib.h>
#include <string.h>

#include "gateway/internal.h"

/** Longest time to establish a connection; an instance takes a few ms. */
#define CONNECT_TIMEOUT (400 * SR_MSEC)

/** Limits on the answer of an instance, in bytes. */
#define ANSWER_HEAD_MAX (64 * 1024)
#define ANSWER_BODY_MAX (8 * 1024 * 1024)

/** Idle connections are kept this long where the instance names no time. */
#define KEEP_DEFAULT (4 * SR_SEC)

/** An instance closes an idle connection after the time that it names; ours
 * ends sooner by this, so that no request crosses the close. */
#define KEEP_MARGIN (700 * SR_MSEC)

/** What may run once goes out only on a connection used this lately. */
#define ONCE_IDLE_MAX SR_SEC

struct sr_attempt {
	sr_attempt_options_t options;
	sr_channel_t *channel;
	sr_parser_t *parser;
	sr_timer_t *connect_timer;
	const char *cause; /* of its end, for the log */
	gboolean is_fresh; /* the connection had no request before */
	gboolean is_sent;
	gboolean is_tainted; /* the connection carried a stray answer */
	gboolean is_checked; /* the head is that of our answer */
	gboolean dead;
	unsigned references;
};

static void unref(sr_attempt_t *attempt)
{
	if (--attempt->references > 0)
		return;
	sr_parser_free(attempt->parser);
	sr_instance_unref(attempt->options.instance);
	g_byte_array_unref(attempt->options.bytes);
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
	if (!attempt || attempt->dead)
		return;
	attempt->dead = TRUE;
	sr_timer_cancel(attempt->connect_timer);
	attempt->connect_timer = NULL;
	close_channel(attempt);
	unref(attempt);
}

static void end(sr_attempt_t *attempt, sr_attempt_outcome_t outcome,
		const char *cause)
{
	attempt->cause = cause;
	sr_transaction_on_ended(attempt->options.transaction, outcome);
}

static sr_usec_t keep_time(const sr_message_t *answer)
{
	const char *value = sr_headers_get(answer->headers, "Keep-Alive");
	const char *timeout = value ? strstr(value, "timeout=") : NULL;
	guint64 seconds;

	if (!timeout)
		return KEEP_DEFAULT;
	seconds = g_ascii_strtoull(timeout + strlen("timeout="), NULL, 10);
	return (sr_usec_t)MIN(seconds, 3600) * SR_SEC - KEEP_MARGIN;
}

/* The answer is whole: keep the connection if another request may use it. */
static void settle_channel(sr_attempt_t *attempt, gboolean has_rest)
{
	const sr_message_t *answer = sr_parser_message(attempt->parser);

	if (!answer->keeps_alive || answer->ends_with_connection ||
	    attempt->is_tainted || has_rest ||
	    !sr_channel_is_flushed(attempt->channel)) {
		sr_channel_free(attempt->channel);
	} else {
		sr_pool_put(attempt->options.gateway->pool,
			    attempt->options.instance, attempt->channel,
			    keep_time(answer));
	}
	attempt->channel = NULL;
}

typedef enum {
	HEAD_OURS,
	HEAD_STRAY,    /* of another request */
	HEAD_UNUSABLE, /* not what a sound instance sends */
} head_verdict_t;

static head_verdict_t judge_head(const sr_attempt_t *attempt)
{
	const sr_dialect_t *dialect = attempt->options.gateway->options.dialect;
	const sr_message_t *answer = sr_parser_message(attempt->parser);
	const sr_headers_t *headers = answer->headers;
	const char *id = sr_headers_get(headers, dialect->request_id);

	if (id && strcmp(id, attempt->options.request_id))
		return HEAD_STRAY;
	/* A refusal may come from before the request was read. */
	if (!id && (answer->status < 400 || !attempt->is_fresh))
		return HEAD_UNUSABLE;
	if (answer->status < 400 &&
	    (!sr_headers_get(headers, dialect->signature) ||
	     sr_headers_get(headers, "Content-Encoding")))
		return HEAD_UNUSABLE;
	return HEAD_OURS;
}

static sr_attempt_outcome_t outcome_of(const sr_attempt_t *attempt)
{
	const sr_dialect_t *dialect = attempt->options.gateway->options.dialect;
	const sr_message_t *answer = sr_parser_message(attempt->parser);

	if (sr_headers_get(answer->headers, dialect->not_run) ||
	    answer->status == 421)
		return SR_ATTEMPT_REJECTED;
	/* These would tell the caller that it has not run, which the
	 * instance does not say. */
	if (answer->status >= 500 || answer->status == 429 ||
	    answer->status == 408)
		return SR_ATTEMPT_FAILED;
	return SR_ATTEMPT_ANSWERED;
}

static gboolean is_streaming(const sr_attempt_t *attempt)
{
	const sr_message_t *answer = sr_parser_message(attempt->parser);

	return attempt->options.is_stream && answer->status < 300;
}

/* Hands on what came of a stream. FALSE if the attempt is over by that. */
static gboolean pass_parts(sr_attempt_t *attempt)
{
	GBytes *part;
	gsize size;
	const guint8 *data;

	if (!is_streaming(attempt) ||
	    sr_parser_message(attempt->parser)->body->len == 0)
		return TRUE;
	part = sr_parser_take_body(attempt->parser);
	data = g_bytes_get_data(part, &size);
	sr_transaction_on_stream(attempt->options.transaction, data, size);
	g_bytes_unref(part);
	return !attempt->dead;
}

static gboolean check_head(sr_attempt_t *attempt)
{
	if (attempt->is_checked ||
	    !sr_parser_message(attempt->parser)->has_head)
		return TRUE;
	switch (judge_head(attempt)) {
	case HEAD_OURS:
		attempt->is_checked = TRUE;
		return TRUE;
	case HEAD_STRAY:
		attempt->is_tainted = TRUE;
		return TRUE;
	case HEAD_UNUSABLE:
		break;
	}
	end(attempt, SR_ATTEMPT_BROKEN, "answer without id or signature");
	return FALSE;
}

static void finish(sr_attempt_t *attempt, gboolean has_rest)
{
	if (has_rest)
		attempt->is_tainted = TRUE;
	settle_channel(attempt, has_rest);
	end(attempt, outcome_of(attempt), "answer");
}

/* Reads answers until ours is whole. */
static void read_answer(sr_attempt_t *attempt, const guint8 *data, gsize size)
{
	while (size > 0) {
		gsize used = 0;
		sr_err_t err =
			sr_parser_feed(attempt->parser, data, size, &used);

		data += used;
		size -= used;
		if (!check_head(attempt))
			return;
		if (attempt->is_checked && !pass_parts(attempt))
			return;
		if (err) {
			end(attempt, SR_ATTEMPT_BROKEN,
			    "bytes that are no answer");
			return;
		}
		if (!sr_parser_message(attempt->parser)->is_complete)
			continue;
		if (attempt->is_checked) {
			finish(attempt, size > 0);
			return;
		}
		sr_parser_next(attempt->parser);
	}
}

static void on_received(void *user, const guint8 *data, gsize size)
{
	sr_attempt_t *attempt = user;

	attempt->references++;
	read_answer(attempt, data, size);
	unref(attempt);
}

static void on_ended(void *user, sr_channel_end_t how)
{
	sr_attempt_t *attempt = user;

	attempt->references++;
	if (how == SR_CHANNEL_UNREACHABLE) {
		end(attempt, SR_ATTEMPT_NOT_SENT, "connection refused");
	} else if (how == SR_CHANNEL_FINISHED && attempt->is_checked &&
		   sr_parser_finish(attempt->parser) == SR_OK) {
		if (pass_parts(attempt))
			finish(attempt, FALSE);
	} else {
		end(attempt, SR_ATTEMPT_BROKEN,
		    how == SR_CHANNEL_FINISHED ? "connection closed early" :
						 "connection reset");
	}
	unref(attempt);
}

static void send_request(sr_attempt_t *attempt)
{
	attempt->is_sent = TRUE;
	sr_channel_write(attempt->channel, attempt->options.bytes->data,
			 attempt->options.bytes->len);
}

static void on_connected(void *user)
{
	sr_attempt_t *attempt = user;

	sr_timer_cancel(attempt->connect_timer);
	attempt->connect_timer = NULL;
	send_request(attempt);
}

static void on_connect_timeout(void *user)
{
	sr_attempt_t *attempt = user;

	attempt->connect_timer = NULL;
	attempt->references++;
	end(attempt, SR_ATTEMPT_NOT_SENT, "connection timed out");
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
		options->may_run_twice ? KEEP_DEFAULT : ONCE_IDLE_MAX;

	attempt->channel = sr_pool_take(options->gateway->pool,
					options->instance, max_idle);
	if (attempt->channel) {
		sr_channel_set_events(attempt->channel, &attempt_events,
				      attempt);
		send_request(attempt);
		return TRUE;
	}
	attempt->is_fresh = TRUE;
	attempt->channel = sr_channel_connect(options->instance->address,
					      &attempt_events, attempt);
	if (!attempt->channel)
		return FALSE;
	attempt->connect_timer =
		sr_timer_start(options->gateway->options.clock, CONNECT_TIMEOUT,
			       on_connect_timeout, attempt);
	return TRUE;
}

sr_attempt_t *sr_attempt_new(const sr_attempt_options_t *options)
{
	const sr_parser_options_t parser = {
		.kind = SR_MESSAGE_RESPONSE,
		.max_head = ANSWER_HEAD_MAX,
		.max_body = ANSWER_BODY_MAX,
	};
	sr_attempt_t *attempt = g_new0(sr_attempt_t, 1);

	attempt->references = 1;
	attempt->options = *options;
	sr_instance_ref(options->instance);
	attempt->parser = sr_parser_new(&parser);
	if (options->is_head_only)
		sr_parser_expect_no_body(attempt->parser);
	if (open_channel(attempt))
		return attempt;
	attempt->dead = TRUE;
	unref(attempt);
	return NULL;
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

sr_instance_t *sr_attempt_instance(const sr_attempt_t *attempt)
{
	return attempt->options.instance;
}
