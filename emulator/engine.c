#include "commands.h"

#include <string.h>

#include "answer.h"
#include "args.h"
#include "batch.h"
#include "orders.h"
#include "prefix_cache.h"

/* Largest max_tokens of a request. */
#define MAX_TOKENS 100000
#define DEFAULT_MAX_TOKENS 16
#define REQUESTS_PREFIX "/requests/"
#define RETRY_AFTER_S 1
#define DEFAULT_SLOTS 8
#define DEFAULT_QUEUE 64
#define DEFAULT_TOKEN_MS 10
#define DEFAULT_BATCH_MS 0.5
#define DEFAULT_PREFILL_MS 0.1
#define DEFAULT_LOAD_LAG_MS 200
#define DEFAULT_CACHE_BLOCKS 2048
#define DEFAULT_EVENT_LAG_MS 200

/** An emulated model engine and its counters since the start. */
typedef struct {
	unsigned slots;
	sr_clock_t *clock;
	sr_emu_server_t *server;
	sr_emu_batch_t *batch;
	sr_emu_prefix_cache_t *cache;
	sr_emu_orders_t *orders;
	guint64 n_requests;
	guint64 n_completed;
	guint64 n_cancelled;
	guint64 n_disconnected;
	guint64 n_refused;
	guint64 n_tokens;
	guint64 n_computed_tokens;
	guint64 n_cached_tokens;
} engine_t;

/** A streamed answer. */
typedef struct {
	engine_t *engine;
	sr_emu_exchange_t *exchange;
	sr_emu_sequence_t *sequence;
	guint64 hash;
	unsigned truncate_at; /* first offset not sent, or G_MAXUINT */
} stream_t;

static void update_running(engine_t *engine)
{
	sr_emu_server_set_running(engine->server,
				  sr_emu_batch_size(engine->batch));
}

static void on_token(void *user, unsigned offset)
{
	stream_t *stream = user;
	char token[SR_EMU_TOKEN_SIZE];
	char *line;

	if (offset >= stream->truncate_at)
		return;
	sr_emu_answer_token(stream->hash, offset, token);
	line = g_strdup_printf("data: {\"offset\": %u, \"token\": \"%s\"}\n\n",
			       offset, token);
	sr_emu_stream_write(stream->exchange, line);
	stream->engine->n_tokens++;
	g_free(line);
}

static void on_end(void *user, const sr_emu_usage_t *usage)
{
	stream_t *stream = user;
	engine_t *engine = stream->engine;
	char *line;

	update_running(engine);
	if (usage) {
		line = g_strdup_printf("event: done\n"
				       "data: {\"tokens\": %u, "
				       "\"cached_tokens\": %u, "
				       "\"computed_tokens\": %u}\n\n",
				       usage->tokens, usage->cached_tokens,
				       usage->computed_tokens);
		engine->n_completed++;
		engine->n_computed_tokens += usage->computed_tokens;
		engine->n_cached_tokens += usage->cached_tokens;
	} else {
		line = g_strdup("event: cancelled\ndata: {}\n\n");
		engine->n_cancelled++;
	}
	if (stream->truncate_at == G_MAXUINT)
		sr_emu_stream_write(stream->exchange, line);
	sr_emu_stream_end(stream->exchange);
	g_free(line);
	g_free(stream);
}

static void on_disconnect(void *user)
{
	stream_t *stream = user;
	engine_t *engine = stream->engine;

	sr_emu_batch_remove(engine->batch, stream->sequence);
	engine->n_disconnected++;
	update_running(engine);
	g_free(stream);
}

/*
 * Returns the number of tokens in the KV cache that a request imports. The
 * handle is HASH.TOKENS; a handle for another request body is ignored.
 */
static unsigned imported_tokens(const sr_emu_exchange_t *exchange, guint64 hash)
{
	const char *handle = sr_emu_header(exchange, "X-Kv-Handle");
	char *end = NULL;

	if (!handle || g_ascii_strtoull(handle, &end, 16) != hash ||
	    *end != '.')
		return 0;
	return (unsigned)g_ascii_strtoull(end + 1, NULL, 10);
}

static void refuse(engine_t *engine, sr_emu_exchange_t *exchange)
{
	engine->n_refused++;
	sr_emu_set_header(exchange, "X-Executed", "not-run");
	sr_emu_answer_throttled(exchange, 503, RETRY_AFTER_S);
}

static void start_stream(engine_t *engine, sr_emu_exchange_t *exchange,
			 sr_emu_sequence_options_t *options, guint64 hash)
{
	stream_t *stream = g_new0(stream_t, 1);

	stream->engine = engine;
	stream->exchange = exchange;
	stream->hash = hash;
	stream->truncate_at = G_MAXUINT;
	if (sr_emu_reply_is_lost(exchange))
		stream->truncate_at =
			(options->resume_offset + options->max_tokens) / 2;
	options->token_generated = on_token;
	options->ended = on_end;
	options->user = stream;
	stream->sequence = sr_emu_batch_add(engine->batch, options);
	if (!stream->sequence) {
		g_free(stream);
		refuse(engine, exchange);
		return;
	}
	sr_emu_stream_begin(exchange, "text/event-stream", on_disconnect,
			    stream);
	update_running(engine);
}

static void generate(engine_t *engine, sr_emu_exchange_t *exchange)
{
	struct json_object *request = sr_emu_body_json(exchange);
	const char *prompt = sr_emu_json_string(request, "prompt", NULL);
	const char *id = sr_emu_header(exchange, "X-Request-Id");
	sr_emu_sequence_options_t options = { .id = id ? id : "" };
	gsize size = 0;
	const char *body = g_bytes_get_data(sr_emu_body(exchange), &size);
	guint64 hash = sr_emu_answer_hash(body, size);
	double tokens =
		sr_emu_json_number(request, "max_tokens", DEFAULT_MAX_TOKENS);

	engine->n_requests++;
	if (!prompt || tokens < 0 || tokens > MAX_TOKENS) {
		sr_emu_answer_status(exchange, 400);
		json_object_put(request);
		return;
	}
	options.priority =
		(unsigned)sr_emu_header_number(exchange, "X-Priority", 0);
	options.max_tokens = (unsigned)tokens;
	options.resume_offset = (unsigned)MIN(
		sr_emu_header_number(exchange, "X-Resume-Offset", 0),
		options.max_tokens);
	options.imported_tokens = imported_tokens(exchange, hash);
	options.prompt = g_bytes_new(prompt, strlen(prompt));
	start_stream(engine, exchange, &options, hash);
	g_bytes_unref(options.prompt);
	json_object_put(request);
}

static void cancel(engine_t *engine, sr_emu_exchange_t *exchange)
{
	const char *id = sr_emu_path(exchange) + strlen(REQUESTS_PREFIX);
	gboolean found = *id && sr_emu_batch_cancel(engine->batch, id);

	sr_emu_answer_status(exchange, found ? 204 : 404);
}

static void answer_load(engine_t *engine, sr_emu_exchange_t *exchange)
{
	sr_emu_batch_load_t load = sr_emu_batch_load(engine->batch);
	struct json_object *answer = json_object_new_object();

	json_object_object_add(answer, "running",
			       json_object_new_int((int)load.running));
	json_object_object_add(answer, "waiting",
			       json_object_new_int((int)load.waiting));
	json_object_object_add(answer, "slots",
			       json_object_new_int((int)engine->slots));
	json_object_object_add(answer, "tokens_per_s",
			       json_object_new_double(load.tokens_per_s));
	json_object_object_add(answer, "age_ms",
			       json_object_new_int64(load.age / SR_MSEC));
	sr_emu_answer_json(exchange, 200, answer);
}

static void add_event(void *user, const sr_emu_cache_event_t *event)
{
	struct json_object *object = json_object_new_object();
	char block[17];

	g_snprintf(block, sizeof(block), "%016" G_GINT64_MODIFIER "x",
		   event->block);
	json_object_object_add(object, "seq",
			       json_object_new_uint64(event->sequence));
	json_object_object_add(
		object, "op",
		json_object_new_string(event->added ? "add" : "evict"));
	json_object_object_add(object, "block", json_object_new_string(block));
	json_object_array_add(user, object);
}

static void answer_events(engine_t *engine, sr_emu_exchange_t *exchange)
{
	struct json_object *answer = json_object_new_object();
	struct json_object *events = json_object_new_array();
	guint64 last = sr_emu_prefix_cache_events(
		engine->cache, sr_clock_now(engine->clock),
		sr_emu_query_number(exchange, "after", 0), add_event, events);

	json_object_object_add(answer, "events", events);
	json_object_object_add(answer, "last", json_object_new_uint64(last));
	sr_emu_answer_json(exchange, 200, answer);
}

static void export_kv(engine_t *engine, sr_emu_exchange_t *exchange)
{
	struct json_object *request = sr_emu_body_json(exchange);
	const char *id = sr_emu_json_string(request, "request_id", "");
	struct json_object *answer;
	void *user = NULL;
	unsigned tokens = sr_emu_batch_kv_tokens(engine->batch, id, &user);
	char *handle;

	json_object_put(request);
	if (tokens == 0) {
		sr_emu_answer_status(exchange, 404);
		return;
	}
	handle = g_strdup_printf("%016" G_GINT64_MODIFIER "x.%u",
				 ((stream_t *)user)->hash, tokens);
	answer = json_object_new_object();
	json_object_object_add(answer, "handle",
			       json_object_new_string(handle));
	json_object_object_add(answer, "tokens",
			       json_object_new_int((int)tokens));
	sr_emu_answer_json(exchange, 200, answer);
	g_free(handle);
}

static void answer_stats(engine_t *engine, sr_emu_exchange_t *exchange)
{
	const struct {
		const char *name;
		guint64 value;
	} stats[] = {
		{ "requests", engine->n_requests },
		{ "whole", engine->n_completed },
		{ "cancelled", engine->n_cancelled },
		{ "client_gone", engine->n_disconnected },
		{ "refused", engine->n_refused },
		{ "tokens", engine->n_tokens },
		{ "computed_tokens", engine->n_computed_tokens },
		{ "cached_tokens", engine->n_cached_tokens },
	};
	struct json_object *answer = json_object_new_object();

	for (guint i = 0; i < G_N_ELEMENTS(stats); i++)
		json_object_object_add(answer, stats[i].name,
				       json_object_new_uint64(stats[i].value));
	sr_emu_answer_json(exchange, 200, answer);
}

static void handle_request(void *user, sr_emu_exchange_t *exchange)
{
	engine_t *engine = user;

	if (sr_emu_request_is(exchange, "GET", "/load"))
		answer_load(engine, exchange);
	else if (sr_emu_request_is(exchange, "GET", "/cache-events"))
		answer_events(engine, exchange);
	else if (!strcmp(sr_emu_path(exchange), "/orders"))
		sr_emu_orders_handle(engine->orders, exchange);
	else if (sr_emu_request_is(exchange, "POST", "/kv/export"))
		export_kv(engine, exchange);
	else if (sr_emu_request_is(exchange, "GET", "/admin/stats"))
		answer_stats(engine, exchange);
	else if (!strcmp(sr_emu_method(exchange), "DELETE") &&
		 g_str_has_prefix(sr_emu_path(exchange), REQUESTS_PREFIX))
		cancel(engine, exchange);
	else if (!strcmp(sr_emu_method(exchange), "POST"))
		generate(engine, exchange);
	else
		sr_emu_answer_status(exchange, 404);
}

static int serve(engine_t *engine, const sr_emu_args_t *args)
{
	engine->server = sr_emu_args_new_server(args, engine->clock, TRUE,
						handle_request, engine);
	if (!engine->server)
		return 1;
	sr_emu_server_run(engine->server);
	sr_emu_batch_free(engine->batch);
	engine->batch = NULL;
	sr_emu_server_free(engine->server);
	return 0;
}

/* Command-line options of the subcommand. */
typedef struct {
	struct arg_int *slots;
	struct arg_int *queue;
	struct arg_dbl *token_ms;
	struct arg_dbl *batch_ms;
	struct arg_dbl *prefill_ms;
	struct arg_dbl *load_lag_ms;
	struct arg_int *cache_blocks;
	struct arg_dbl *event_lag_ms;
	struct arg_dbl *event_loss;
	struct arg_str *version;
	struct arg_lit *ignore_fencing;
} engine_args_t;

static sr_usec_t arg_usec(const struct arg_dbl *arg, double fallback_ms)
{
	return (sr_usec_t)(sr_emu_arg_double(arg, fallback_ms) * SR_MSEC);
}

static int run_engine(const engine_args_t *engine_args,
		      const sr_emu_args_t *args)
{
	engine_t engine = { .clock = sr_clock_new_real() };
	sr_emu_prefix_cache_options_t cache = {
		.capacity = (unsigned)sr_emu_arg_int(engine_args->cache_blocks,
						     DEFAULT_CACHE_BLOCKS),
		.event_lag = arg_usec(engine_args->event_lag_ms,
				      DEFAULT_EVENT_LAG_MS),
		.event_loss = sr_emu_arg_double(engine_args->event_loss, 0),
		.seed = (guint64)sr_emu_arg_int(args->seed, 1),
	};
	sr_emu_batch_options_t batch = {
		.slots = (unsigned)MAX(
			sr_emu_arg_int(engine_args->slots, DEFAULT_SLOTS), 1),
		.max_waiting = (unsigned)MAX(
			sr_emu_arg_int(engine_args->queue, DEFAULT_QUEUE), 0),
		.token_time = arg_usec(engine_args->token_ms, DEFAULT_TOKEN_MS),
		.batch_time = arg_usec(engine_args->batch_ms, DEFAULT_BATCH_MS),
		.prefill_time =
			arg_usec(engine_args->prefill_ms, DEFAULT_PREFILL_MS),
		.load_lag =
			arg_usec(engine_args->load_lag_ms, DEFAULT_LOAD_LAG_MS),
		.clock = engine.clock,
	};
	int status;

	engine.slots = batch.slots;
	engine.cache = sr_emu_prefix_cache_new(&cache);
	batch.cache = engine.cache;
	engine.batch = sr_emu_batch_new(&batch);
	engine.orders = sr_emu_orders_new(
		engine_args->ignore_fencing->count == 0,
		sr_emu_arg_string(engine_args->version, NULL));
	status = serve(&engine, args);
	sr_emu_batch_free(engine.batch);
	sr_emu_prefix_cache_free(engine.cache);
	sr_emu_orders_free(engine.orders);
	sr_clock_free(engine.clock);
	return status;
}

static engine_args_t new_engine_args(void)
{
	return (engine_args_t){
		.slots = arg_int0(NULL, "slots", "N",
				  "sequences that run concurrently (8)"),
		.queue = arg_int0(NULL, "queue", "N",
				  "limit of waiting sequences (64)"),
		.token_ms = arg_dbl0(
			NULL, "token-ms", "N",
			"time of a step with one sequence, in ms (10)"),
		.batch_ms =
			arg_dbl0(NULL, "batch-ms", "N",
				 "added by each further sequence, in ms (0.5)"),
		.prefill_ms = arg_dbl0(NULL, "prefill-ms", "N",
				       "prefill time of a token, in ms (0.1)"),
		.load_lag_ms =
			arg_dbl0(NULL, "load-lag-ms", "N",
				 "age of the reported load, in ms (200)"),
		.cache_blocks = arg_int0(NULL, "cache-blocks", "N",
					 "capacity of the prefix cache (2048)"),
		.event_lag_ms = arg_dbl0(NULL, "event-lag-ms", "N",
					 "delay of cache events, in ms (200)"),
		.event_loss = arg_dbl0(NULL, "event-loss", "RATIO",
				       "fraction of cache events dropped (0)"),
		.version = arg_str0(NULL, "version", "NAME",
				    "version loaded at start"),
		.ignore_fencing =
			arg_lit0(NULL, "ignore-fencing",
				 "accept orders with a stale fencing token"),
	};
}

int sr_emu_engine_main(int argc, char **argv)
{
	sr_emu_args_t args = sr_emu_args_new();
	engine_args_t engine_args = new_engine_args();
	void *table[] = { args.listen,
			  engine_args.slots,
			  engine_args.queue,
			  engine_args.token_ms,
			  engine_args.batch_ms,
			  engine_args.prefill_ms,
			  engine_args.load_lag_ms,
			  engine_args.cache_blocks,
			  engine_args.event_lag_ms,
			  engine_args.event_loss,
			  engine_args.version,
			  engine_args.ignore_fencing,
			  args.latency_ms,
			  args.fault,
			  args.seed,
			  args.help,
			  args.end };
	int status = 0;

	if (sr_emu_args_parse(&args, table, argc, argv, &status))
		status = run_engine(&engine_args, &args);
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
