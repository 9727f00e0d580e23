#include "platform_api/client.h"

#include <string.h>

#include "base/list.h"
#include "platform_api/budget.h"
#include "platform_api/decode.h"
#include "platform_api/exchange.h"

/* Lower limit of sr_platform_set_rate(), in calls per second. */
#define MIN_RATE 0.1

typedef enum {
	CALL_OBJECT,  /* to the object API, by the store */
	CALL_REQUEST, /* by sr_platform_request() */
} call_kind_t;

typedef struct {
	sr_list_t link; /* on a queue or on in_flight */
	sr_platform_t *platform;
	call_kind_t kind;
	sr_store_op_t op;
	sr_store_class_t class;
	gboolean long_poll;
	char *method;
	char *path;
	char *if_match;
	const char *if_none_match;
	const char *content_type;
	GBytes *body;
	char **headers; /* alternating names and values, or NULL */
	sr_usec_t timeout;
	sr_usec_t send_deadline; /* refused if it is still queued then */
	sr_store_fn store_done;
	sr_platform_fn request_done;
	void *user;
	sr_exchange_t *exchange;
} call_t;

struct sr_platform {
	sr_store_t store;
	sr_clock_t *clock;
	sr_http_client_t *client;
	char *address;
	sr_budget_t budget;
	unsigned max_in_flight;
	unsigned max_queued;
	sr_usec_t default_timeout;
	sr_usec_t watch_grace;
	const char *era_header;
	sr_list_t queue[SR_STORE_N_CLASSES];
	unsigned queued[SR_STORE_N_CLASSES];
	sr_list_t in_flight;
	unsigned n_in_flight; /* without long polls */
	sr_timer_t *queue_timer;
	sr_platform_stats_t stats;
};

static void free_call(call_t *call)
{
	g_free(call->method);
	g_free(call->path);
	g_free(call->if_match);
	g_strfreev(call->headers);
	g_clear_pointer(&call->body, g_bytes_unref);
	g_free(call);
}

static void unlink_queued(call_t *call)
{
	sr_list_remove(&call->link);
	call->platform->queued[call->class]--;
}

static void unlink_in_flight(call_t *call)
{
	sr_list_remove(&call->link);
	if (!call->long_poll)
		call->platform->n_in_flight--;
}

/* Ends a call that has no usable answer, and frees it. */
static void fail_call(call_t *call, sr_store_status_t status,
		      sr_usec_t retry_after)
{
	sr_store_reply_t reply = { .status = status,
				   .retry_after = retry_after };
	sr_platform_answer_t answer = { .status = status,
					.retry_after = retry_after };

	switch (call->kind) {
	case CALL_OBJECT:
		call->store_done(call->user, &reply);
		break;
	case CALL_REQUEST:
		answer.body = g_bytes_new_static("", 0);
		call->request_done(call->user, &answer);
		g_bytes_unref(answer.body);
		break;
	}
	free_call(call);
}

static void refuse_call(call_t *call, sr_usec_t retry_after)
{
	call->platform->stats.refused++;
	fail_call(call, SR_STORE_NOT_DONE, retry_after);
}

static void answer_request(call_t *call, const sr_exchange_result_t *result)
{
	sr_platform_answer_t answer = {
		.status = SR_STORE_OK,
		.http_status = result->status,
		.body = result->body,
		.era = result->era,
	};

	call->request_done(call->user, &answer);
	free_call(call);
}

static sr_store_status_t store_status(const call_t *call,
				      const sr_exchange_result_t *result)
{
	gboolean reads = call->op == SR_STORE_GET || call->op == SR_STORE_WATCH;
	gboolean writes =
		call->op == SR_STORE_CREATE || call->op == SR_STORE_UPDATE;

	switch (result->status) {
	case 200:
	case 201:
		if ((reads || writes) && !result->version)
			return SR_STORE_UNKNOWN;
		return SR_STORE_OK;
	case 204:
		return call->op == SR_STORE_DELETE ? SR_STORE_OK :
						     SR_STORE_UNKNOWN;
	case 304:
		return call->op == SR_STORE_WATCH ? SR_STORE_NOT_MODIFIED :
						    SR_STORE_UNKNOWN;
	case 404:
		return SR_STORE_NOT_FOUND;
	case 412:
		return SR_STORE_CONFLICT;
	default:
		return SR_STORE_UNKNOWN;
	}
}

static void answer_object(call_t *call, const sr_exchange_result_t *result)
{
	sr_store_reply_t reply = { .status = store_status(call, result),
				   .version = result->version };
	GPtrArray *list = NULL;

	if (reply.status == SR_STORE_OK && call->op == SR_STORE_LIST) {
		list = sr_decode_list(result->body, &reply.more);
		if (!list)
			reply.status = SR_STORE_UNKNOWN;
		reply.list = list;
	}
	if (reply.status == SR_STORE_OK &&
	    (call->op == SR_STORE_GET || call->op == SR_STORE_WATCH))
		reply.value = result->body;
	if (reply.status == SR_STORE_CONFLICT)
		call->platform->stats.conflicts++;
	call->store_done(call->user, &reply);
	g_clear_pointer(&list, g_ptr_array_unref);
	free_call(call);
}

static void process_queues(sr_platform_t *platform);

/* What made one connection silent may have done so to all: kept ones are
 * closed, those in use end with their calls. */
static void leave_kept_connections(sr_platform_t *platform)
{
	sr_http_client_close_idle(platform->client);
}

/* Ends a call that was throttled, lost, not sent or answered with a 5xx. */
static void handle_failure(call_t *call, const sr_exchange_result_t *result)
{
	sr_platform_t *platform = call->platform;
	sr_usec_t now = sr_clock_now(platform->clock);

	if (result->status == 429 || result->status == 503) {
		platform->stats.throttled++;
		sr_budget_record_throttle(&platform->budget, now,
					  result->retry_after);
		fail_call(call, SR_STORE_NOT_DONE, result->retry_after);
		return;
	}
	/* A long poll can end late without a fault of the platform. */
	if (call->long_poll && result->sent && !result->status)
		sr_budget_record_inconclusive(&platform->budget);
	else
		sr_budget_record_failure(&platform->budget, now);
	if (result->sent && !result->status)
		leave_kept_connections(platform);
	if (result->sent)
		platform->stats.lost++;
	else
		platform->stats.unsent++;
	fail_call(call, result->sent ? SR_STORE_UNKNOWN : SR_STORE_NOT_DONE, 0);
}

static void on_exchange(void *user, const sr_exchange_result_t *result)
{
	call_t *call = user;
	sr_platform_t *platform = call->platform;

	unlink_in_flight(call);
	platform->stats.bytes_in += g_bytes_get_size(result->body);
	if (!result->status || result->status == 429 || result->status >= 500) {
		handle_failure(call, result);
	} else {
		platform->stats.answered++;
		sr_budget_record_answer(&platform->budget,
					sr_clock_now(platform->clock));
		if (call->kind == CALL_REQUEST)
			answer_request(call, result);
		else
			answer_object(call, result);
	}
	process_queues(platform);
}

static void send_call(call_t *call)
{
	sr_platform_t *platform = call->platform;
	sr_exchange_options_t options = {
		.client = platform->client,
		.clock = platform->clock,
		.method = call->method,
		.address = platform->address,
		.path = call->path,
		.if_match = call->if_match,
		.if_none_match = call->if_none_match,
		.content_type = call->content_type,
		.headers = call->headers,
		.era_header = platform->era_header,
		.body = call->body,
		.timeout = call->timeout,
		.idle_timeout = platform->default_timeout,
		.done = on_exchange,
		.user = call,
	};

	call->exchange = sr_exchange_new(&options);
	if (!call->exchange) {
		sr_budget_record_inconclusive(&platform->budget);
		refuse_call(call, 0);
		return;
	}
	sr_list_append(&platform->in_flight, &call->link);
	if (!call->long_poll)
		platform->n_in_flight++;
	platform->stats.sent[call->class]++;
	platform->stats.long_polls += call->long_poll;
	if (call->body)
		platform->stats.bytes_out += g_bytes_get_size(call->body);
}

static call_t *most_urgent_call(sr_platform_t *platform)
{
	for (unsigned class = 0; class < SR_STORE_N_CLASSES; class ++) {
		sr_list_t *queue = &platform->queue[class];

		if (!sr_list_is_empty(queue))
			return sr_list_entry(queue->next, call_t, link);
	}
	return NULL;
}

static void on_queue_timer(void *user)
{
	sr_platform_t *platform = user;

	platform->queue_timer = NULL;
	process_queues(platform);
}

static void schedule_processing(sr_platform_t *platform, sr_usec_t delay)
{
	sr_timer_cancel(platform->queue_timer);
	platform->queue_timer = sr_timer_start(platform->clock, delay,
					       on_queue_timer, platform);
}

/* Sends or refuses a queued call; FALSE if it has to wait. */
static gboolean process_call(sr_platform_t *platform, call_t *call)
{
	sr_usec_t now = sr_clock_now(platform->clock);
	sr_usec_t wait = 0;

	if (now >= call->send_deadline) {
		unlink_queued(call);
		refuse_call(call, SR_BUDGET_BACKOFF_MIN);
		return TRUE;
	}
	if (platform->n_in_flight >= platform->max_in_flight) {
		schedule_processing(platform, call->send_deadline - now);
		return FALSE;
	}
	switch (sr_budget_take(&platform->budget, now, call->class,
			       call->long_poll, &wait)) {
	case SR_BUDGET_SEND:
		unlink_queued(call);
		send_call(call);
		return TRUE;
	case SR_BUDGET_WAIT:
		if (now + wait < call->send_deadline) {
			schedule_processing(platform, wait);
			return FALSE;
		}
		break;
	case SR_BUDGET_REFUSE:
		break;
	}
	unlink_queued(call);
	refuse_call(call, wait);
	return TRUE;
}

static void process_queues(sr_platform_t *platform)
{
	unsigned remaining = 0;

	/* A callback may submit a refused call again at once; such a call is
	 * left for the next run. */
	for (unsigned class = 0; class < SR_STORE_N_CLASSES; class ++)
		remaining += platform->queued[class];
	while (remaining-- > 0) {
		call_t *call = most_urgent_call(platform);

		if (!call || !process_call(platform, call))
			return;
	}
}

static void enqueue(call_t *call)
{
	sr_platform_t *platform = call->platform;
	sr_usec_t now = sr_clock_now(platform->clock);

	call->send_deadline = now + call->timeout;
	if (call->long_poll)
		call->timeout += platform->watch_grace;
	/* If the queue is full, the call is refused when the queue is next
	 * processed: no callback may run before the submission returns. */
	if (platform->queued[call->class] >= platform->max_queued)
		call->send_deadline = now;
	sr_list_append(&platform->queue[call->class], &call->link);
	platform->queued[call->class]++;
	schedule_processing(platform, 0);
}

static char *object_path(const sr_store_call_t *options, sr_usec_t timeout)
{
	char *key = g_uri_escape_string(
		options->key, options->op == SR_STORE_LIST ? NULL : "/", FALSE);
	GString *path = g_string_new(NULL);

	if (options->op == SR_STORE_LIST)
		g_string_append_printf(path, "/objects?prefix=%s", key);
	else
		g_string_append_printf(path, "/objects/%s", key);
	if (options->op == SR_STORE_LIST && options->after) {
		g_string_append(path, "&after=");
		g_string_append_uri_escaped(path, options->after, NULL, FALSE);
	}
	if (options->op == SR_STORE_LIST && options->limit)
		g_string_append_printf(path, "&limit=%u", options->limit);
	if (options->op == SR_STORE_WATCH)
		g_string_append_printf(path,
				       "?watch=%" G_GUINT64_FORMAT
				       "&timeout_s=%" G_GINT64_FORMAT,
				       options->if_version,
				       MAX(timeout / SR_SEC, 1));
	g_free(key);
	return g_string_free(path, FALSE);
}

static void set_method(call_t *call, const sr_store_call_t *options)
{
	switch (options->op) {
	case SR_STORE_GET:
	case SR_STORE_LIST:
	case SR_STORE_WATCH:
		call->method = g_strdup("GET");
		return;
	case SR_STORE_CREATE:
		call->method = g_strdup("PUT");
		call->if_none_match = "*";
		break;
	case SR_STORE_UPDATE:
		call->method = g_strdup("PUT");
		break;
	case SR_STORE_DELETE:
		call->method = g_strdup("DELETE");
		break;
	}
	if (options->op == SR_STORE_UPDATE || options->if_version)
		call->if_match = g_strdup_printf("\"%" G_GUINT64_FORMAT "\"",
						 options->if_version);
	if (options->op == SR_STORE_CREATE)
		g_clear_pointer(&call->if_match, g_free);
}

static void submit_object(sr_store_t *store, const sr_store_call_t *options)
{
	sr_platform_t *platform = (sr_platform_t *)store;
	call_t *call = g_new0(call_t, 1);

	call->platform = platform;
	call->kind = CALL_OBJECT;
	call->op = options->op;
	call->class = options->class;
	call->long_poll = options->op == SR_STORE_WATCH;
	call->timeout = options->timeout;
	if (!call->timeout)
		call->timeout = call->long_poll ? SR_PLATFORM_WATCH_TIMEOUT :
						  platform->default_timeout;
	call->path = object_path(options, call->timeout);
	set_method(call, options);
	call->content_type = "application/octet-stream";
	if (options->value)
		call->body = g_bytes_ref(options->value);
	call->store_done = options->done;
	call->user = options->user;
	enqueue(call);
}

void sr_platform_request(sr_platform_t *platform,
			 const sr_platform_request_t *request)
{
	call_t *call = g_new0(call_t, 1);

	call->platform = platform;
	call->kind = CALL_REQUEST;
	call->class = request->class;
	call->long_poll = request->long_poll;
	call->timeout =
		request->timeout ? request->timeout : platform->default_timeout;
	call->method = g_strdup(request->method);
	call->path = g_strdup(request->path);
	call->content_type = "application/json";
	call->headers = g_strdupv((char **)request->headers);
	if (request->body)
		call->body = g_bytes_ref(request->body);
	call->request_done = request->done;
	call->user = request->user;
	enqueue(call);
}

static void cancel_in_flight(call_t *call)
{
	unlink_in_flight(call);
	sr_exchange_cancel(call->exchange);
	sr_budget_record_inconclusive(&call->platform->budget);
	free_call(call);
}

void sr_platform_cancel_all(sr_platform_t *platform, void *user)
{
	for (unsigned class = 0; class < SR_STORE_N_CLASSES; class ++) {
		sr_list_for_each_safe (pos, &platform->queue[class]) {
			call_t *call = sr_list_entry(pos, call_t, link);

			if (call->user != user)
				continue;
			unlink_queued(call);
			free_call(call);
		}
	}
	sr_list_for_each_safe (pos, &platform->in_flight) {
		call_t *call = sr_list_entry(pos, call_t, link);

		if (call->user == user)
			cancel_in_flight(call);
	}
}

sr_usec_t sr_platform_answered_at(const sr_platform_t *platform,
				  const void *user)
{
	sr_usec_t at = 0;

	sr_list_for_each (pos, &platform->in_flight) {
		const call_t *call = sr_list_entry(pos, call_t, link);

		if (call->user == user)
			at = MAX(at, sr_exchange_answered_at(call->exchange));
	}
	return at;
}

static void cancel_objects(sr_store_t *store, void *user)
{
	sr_platform_cancel_all((sr_platform_t *)store, user);
}

sr_platform_t *sr_platform_new(const sr_platform_options_t *options)
{
	sr_platform_t *platform = g_new0(sr_platform_t, 1);
	const sr_http_client_options_t client = {
		.clock = options->clock,
		.keeps_silent_connections = TRUE,
	};
	double rate = options->calls_per_s > 0 ? options->calls_per_s :
						 SR_PLATFORM_DEFAULT_RATE;
	double burst =
		options->burst > 0 ? options->burst : SR_PLATFORM_DEFAULT_BURST;

	platform->store.submit = submit_object;
	platform->store.cancel_all = cancel_objects;
	platform->clock = options->clock;
	platform->address = g_strdup(options->address);
	platform->max_in_flight = options->max_in_flight ?
					  options->max_in_flight :
					  SR_PLATFORM_DEFAULT_IN_FLIGHT;
	platform->max_queued = options->max_queued ? options->max_queued :
						     SR_PLATFORM_DEFAULT_QUEUED;
	platform->default_timeout = options->default_timeout ?
					    options->default_timeout :
					    SR_PLATFORM_DEFAULT_TIMEOUT;
	platform->era_header = options->era_header;
	platform->watch_grace = options->watch_grace ?
					options->watch_grace :
					SR_PLATFORM_DEFAULT_WATCH_GRACE;
	platform->client = sr_http_client_new(&client);
	sr_budget_init(&platform->budget, rate, burst, options->seed,
		       sr_clock_now(options->clock));
	if (options->backoff_max)
		sr_budget_set_max_backoff(&platform->budget,
					  options->backoff_max);
	for (unsigned class = 0; class < SR_STORE_N_CLASSES; class ++)
		sr_list_init(&platform->queue[class]);
	sr_list_init(&platform->in_flight);
	return platform;
}

void sr_platform_free(sr_platform_t *platform)
{
	if (!platform)
		return;
	for (unsigned class = 0; class < SR_STORE_N_CLASSES; class ++) {
		sr_list_for_each_safe (pos, &platform->queue[class]) {
			call_t *call = sr_list_entry(pos, call_t, link);

			unlink_queued(call);
			free_call(call);
		}
	}
	sr_list_for_each_safe (pos, &platform->in_flight)
		cancel_in_flight(sr_list_entry(pos, call_t, link));
	sr_timer_cancel(platform->queue_timer);
	sr_http_client_free(platform->client);
	sr_budget_clear(&platform->budget);
	g_free(platform->address);
	g_free(platform);
}

sr_store_t *sr_platform_store(sr_platform_t *platform)
{
	return &platform->store;
}

void sr_platform_set_rate(sr_platform_t *platform, double calls_per_s)
{
	platform->budget.rate = MAX(calls_per_s, MIN_RATE);
}

gboolean sr_platform_is_unavailable(const sr_platform_t *platform)
{
	return platform->budget.unavailable;
}

const sr_platform_stats_t *sr_platform_stats(const sr_platform_t *platform)
{
	return &platform->stats;
}
