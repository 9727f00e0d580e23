#include "load_call.h"

#include <json-c/json.h>
#include <string.h>

#include "answer_check.h"
#include "server.h"

#define READ_BUFFER_BYTES 16384
/* Bytes kept of an answer that is no token stream; a piece of the answer that
 * would exceed them is discarded. */
#define ANSWER_MAX_BYTES (1024 * 1024)

typedef struct {
	sr_emu_call_options_t options;
	SoupMessage *message;
	GCancellable *cancellable;
	sr_timer_t *timer;
	GInputStream *stream;
	sr_emu_answer_check_t *check; /* of a token stream */
	GString *answer;	      /* of any other answer */
	char *key;
	sr_usec_t last_token_at; /* 0 before the first */
	gboolean timed_out;
	char buffer[READ_BUFFER_BYTES];
} call_t;

static const char *const outcome_names[SR_EMU_N_OUTCOMES] = {
	[SR_EMU_OUTCOME_WHOLE] = "whole",
	[SR_EMU_OUTCOME_REFUSED] = "refused",
	[SR_EMU_OUTCOME_UNKNOWN] = "unknown",
	[SR_EMU_OUTCOME_FAILED] = "failed",
	[SR_EMU_OUTCOME_BROKEN] = "broken",
	[SR_EMU_OUTCOME_WRONG] = "wrong",
	[SR_EMU_OUTCOME_LOST] = "lost",
	[SR_EMU_OUTCOME_TIMEOUT] = "timeout",
};

const char *sr_emu_outcome_name(sr_emu_outcome_t outcome)
{
	return outcome_names[outcome];
}

static void end_call(call_t *call, sr_emu_outcome_t outcome, const char *kind,
		     const char *detail)
{
	sr_emu_call_result_t result = {
		.caller = call->options.caller,
		.outcome = outcome,
		.problem_kind = kind,
		.detail = detail,
		.key = call->key,
		.due = call->options.due,
		.total = sr_clock_now(call->options.clock) - call->options.due,
	};

	sr_timer_cancel(call->timer);
	call->options.ended(call->options.user, &result);
	g_clear_object(&call->stream);
	g_object_unref(call->message);
	g_object_unref(call->cancellable);
	sr_emu_answer_check_free(call->check);
	g_string_free(call->answer, TRUE);
	g_free(call->key);
	g_free(call);
}

static void end_problem(call_t *call)
{
	struct json_object *problem = json_tokener_parse(call->answer->str);
	const char *kind = sr_emu_json_string(problem, "kind", NULL);
	const char *executed = sr_emu_json_string(problem, "executed", "");

	if (!kind)
		end_call(call, SR_EMU_OUTCOME_FAILED, NULL, call->answer->str);
	else if (!strcmp(executed, "not-run"))
		end_call(call, SR_EMU_OUTCOME_REFUSED, kind, NULL);
	else
		end_call(call, SR_EMU_OUTCOME_UNKNOWN, kind, NULL);
	json_object_put(problem);
}

/*
 * The answer must hold the posting's own key, and 1 as the number of its
 * run: a higher number means that the posting was run more than once.
 */
static void end_posting(call_t *call)
{
	struct json_object *answer = json_tokener_parse(call->answer->str);
	const char *key = sr_emu_json_string(answer, "key", "");
	double run = sr_emu_json_number(answer, "run", 0);

	if (!answer)
		end_call(call, SR_EMU_OUTCOME_BROKEN, NULL, call->answer->str);
	else if (strcmp(key, call->key) != 0 || run != 1)
		end_call(call, SR_EMU_OUTCOME_WRONG, NULL, call->answer->str);
	else
		end_call(call, SR_EMU_OUTCOME_WHOLE, NULL, NULL);
	json_object_put(answer);
}

static void end_stream(call_t *call)
{
	const char *error = sr_emu_answer_check_error(call->check);

	if (error)
		end_call(call, SR_EMU_OUTCOME_WRONG, NULL, error);
	else if (sr_emu_answer_check_is_complete(call->check))
		end_call(call, SR_EMU_OUTCOME_WHOLE, NULL, NULL);
	else
		end_call(call, SR_EMU_OUTCOME_BROKEN, NULL,
			 "stream ended before the done event");
}

static void end_answer(call_t *call)
{
	guint status = soup_message_get_status(call->message);

	if (status >= 400) {
		end_problem(call);
		return;
	}
	switch (call->options.caller->kind) {
	case SR_EMU_CALL_STREAM:
		end_stream(call);
		break;
	case SR_EMU_CALL_POSTING:
		end_posting(call);
		break;
	case SR_EMU_CALL_READ:
		end_call(call, SR_EMU_OUTCOME_WHOLE, NULL, NULL);
		break;
	}
}

/* Without a timeout, the call is lost if no answer had begun, else broken. */
static void end_error(call_t *call, GError *error)
{
	sr_emu_outcome_t outcome = SR_EMU_OUTCOME_LOST;

	if (call->timed_out)
		outcome = SR_EMU_OUTCOME_TIMEOUT;
	else if (call->stream)
		outcome = SR_EMU_OUTCOME_BROKEN;
	end_call(call, outcome, NULL, error->message);
	g_error_free(error);
}

static void read_more(call_t *call);

static void process_tokens(call_t *call, gsize size)
{
	sr_usec_t now = sr_clock_now(call->options.clock);
	guint n = sr_emu_answer_check_feed(call->check, call->buffer, size);

	if (n == 0)
		return;
	call->options.tokens_received(
		call->options.user, call->options.caller, n,
		now - call->options.due,
		call->last_token_at ? now - call->last_token_at : 0);
	call->last_token_at = now;
}

static void on_read(GObject *object, GAsyncResult *result, gpointer user)
{
	call_t *call = user;
	GError *error = NULL;
	gssize size = g_input_stream_read_finish(G_INPUT_STREAM(object), result,
						 &error);

	if (size < 0) {
		end_error(call, error);
		return;
	}
	if (size == 0) {
		end_answer(call);
		return;
	}
	if (call->check && soup_message_get_status(call->message) < 400)
		process_tokens(call, (gsize)size);
	else if (call->answer->len + (gsize)size <= ANSWER_MAX_BYTES)
		g_string_append_len(call->answer, call->buffer, size);
	read_more(call);
}

static void read_more(call_t *call)
{
	g_input_stream_read_async(call->stream, call->buffer,
				  sizeof(call->buffer), G_PRIORITY_DEFAULT,
				  call->cancellable, on_read, call);
}

static void on_sent(GObject *object, GAsyncResult *result, gpointer user)
{
	call_t *call = user;
	GError *error = NULL;

	call->stream =
		soup_session_send_finish(SOUP_SESSION(object), result, &error);
	if (call->stream)
		read_more(call);
	else
		end_error(call, error);
}

static void on_timeout(void *user)
{
	call_t *call = user;

	call->timer = NULL;
	call->timed_out = TRUE;
	g_cancellable_cancel(call->cancellable);
}

static SoupMessage *make_message(const sr_emu_call_options_t *options)
{
	const sr_emu_load_caller_t *caller = options->caller;
	gboolean is_read = caller->kind == SR_EMU_CALL_READ;
	char *url = g_strconcat("http://", options->target, caller->path, NULL);
	char *bearer = g_strconcat("Bearer ", caller->token, NULL);
	char *deadline = g_strdup_printf("%u", caller->deadline_ms);
	SoupMessage *message = soup_message_new(is_read ? "GET" : "POST", url);
	SoupMessageHeaders *headers = soup_message_get_request_headers(message);

	soup_message_headers_append(headers, "Authorization", bearer);
	if (options->key)
		soup_message_headers_append(headers, "Idempotency-Key",
					    options->key);
	if (*caller->priority)
		soup_message_headers_append(headers, "X-Priority",
					    caller->priority);
	if (caller->deadline_ms > 0)
		soup_message_headers_append(headers, "X-Deadline-Ms", deadline);
	if (options->body)
		soup_message_set_request_body_from_bytes(
			message, "application/json", options->body);
	/*
	 * The flag allows libsoup to reuse a connection for a POST. A posting
	 * that libsoup resends has the same key, like a retry by a client.
	 */
	soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
	g_free(url);
	g_free(bearer);
	g_free(deadline);
	return message;
}

void sr_emu_call_start(const sr_emu_call_options_t *options)
{
	call_t *call = g_new0(call_t, 1);

	call->options = *options;
	call->message = make_message(options);
	call->cancellable = g_cancellable_new();
	call->answer = g_string_new(NULL);
	call->key = g_strdup(options->key);
	if (options->caller->kind == SR_EMU_CALL_STREAM)
		call->check = sr_emu_answer_check_new(options->body,
						      options->max_tokens);
	call->timer = sr_timer_start(options->clock, options->timeout,
				     on_timeout, call);
	soup_session_send_async(options->session, call->message,
				G_PRIORITY_DEFAULT, call->cancellable, on_sent,
				call);
}
