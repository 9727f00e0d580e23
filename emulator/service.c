#include "commands.h"

#include <string.h>

#include "args.h"

/**
 * A plain service: every path answers with the key and how often it ran.
 * With --outcomes it tells later what it answered for a key.
 */
typedef struct {
	gboolean outcomes;
	gsize answer_bytes;
	sr_emu_server_t *server;
	sr_clock_t *clock;
	sr_usec_t work_time;
	unsigned running;
	GHashTable *runs;    /* key to count */
	GHashTable *answers; /* key to GBytes */
} service_t;

/** One request that takes its time; the run counts from its start. */
typedef struct {
	service_t *service;
	sr_emu_exchange_t *exchange;
	struct json_object *answer;
} work_t;

static guint count_run(service_t *service, const char *key)
{
	guint runs = GPOINTER_TO_UINT(g_hash_table_lookup(service->runs, key));

	g_hash_table_replace(service->runs, g_strdup(key),
			     GUINT_TO_POINTER(runs + 1));
	return runs + 1;
}

static struct json_object *make_answer(service_t *service,
				       sr_emu_exchange_t *exchange,
				       const char *key, guint run)
{
	struct json_object *answer = json_object_new_object();
	const char *id = sr_emu_header(exchange, "X-Request-Id");
	char *padding = g_strnfill(service->answer_bytes, '.');

	json_object_object_add(answer, "key", json_object_new_string(key));
	json_object_object_add(answer, "run", json_object_new_int((int)run));
	json_object_object_add(answer, "method",
			       json_object_new_string(sr_emu_method(exchange)));
	json_object_object_add(answer, "path",
			       json_object_new_string(sr_emu_path(exchange)));
	json_object_object_add(answer, "request_id",
			       json_object_new_string(id ? id : ""));
	if (service->answer_bytes > 0)
		json_object_object_add(answer, "padding",
				       json_object_new_string(padding));
	g_free(padding);
	return answer;
}

static void keep_answer(service_t *service, const char *key,
			struct json_object *answer)
{
	const char *text = json_object_to_json_string_ext(
		answer, JSON_C_TO_STRING_NOSLASHESCAPE);

	g_hash_table_replace(service->answers, g_strdup(key),
			     g_bytes_new(text, strlen(text)));
}

static void finish_work(void *user)
{
	work_t *work = user;

	work->service->running--;
	sr_emu_server_set_running(work->service->server,
				  work->service->running);
	sr_emu_answer_json(work->exchange, 200, work->answer);
	g_free(work);
}

static void run(service_t *service, sr_emu_exchange_t *exchange)
{
	const char *key = sr_emu_header(exchange, "Idempotency-Key");
	work_t *work = g_new0(work_t, 1);
	guint n = key ? count_run(service, key) : 0;

	work->service = service;
	work->exchange = exchange;
	work->answer = make_answer(service, exchange, key ? key : "", n);
	if (key && service->outcomes)
		keep_answer(service, key, work->answer);
	service->running++;
	sr_emu_server_set_running(service->server, service->running);
	if (service->work_time > 0)
		sr_timer_start(service->clock, service->work_time, finish_work,
			       work);
	else
		finish_work(work);
}

static void answer_outcome(service_t *service, sr_emu_exchange_t *exchange,
			   const char *key)
{
	GBytes *answer = g_hash_table_lookup(service->answers, key);

	if (answer)
		sr_emu_answer(exchange, 200, "application/json", answer);
	else
		sr_emu_answer_status(exchange, 404);
}

static void answer_runs(service_t *service, sr_emu_exchange_t *exchange)
{
	struct json_object *runs = json_object_new_object();
	GHashTableIter iter;
	gpointer key;
	gpointer count;

	g_hash_table_iter_init(&iter, service->runs);
	while (g_hash_table_iter_next(&iter, &key, &count))
		json_object_object_add(
			runs, key,
			json_object_new_int((int)GPOINTER_TO_UINT(count)));
	sr_emu_answer_json(exchange, 200, runs);
}

static void handle(void *user, sr_emu_exchange_t *exchange)
{
	service_t *service = user;
	const char *path = sr_emu_path(exchange);

	if (sr_emu_is(exchange, "GET", "/admin/runs"))
		answer_runs(service, exchange);
	else if (service->outcomes && !strcmp(sr_emu_method(exchange), "GET") &&
		 g_str_has_prefix(path, "/outcome/"))
		answer_outcome(service, exchange, path + strlen("/outcome/"));
	else
		run(service, exchange);
}

static int serve(service_t *service, const sr_emu_args_t *args)
{
	service->clock = sr_clock_new_real();
	service->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	service->answers = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	service->server = sr_emu_args_server(args, service->clock, FALSE,
					     handle, service);
	if (!service->server)
		return 1;
	sr_emu_server_run(service->server);
	sr_emu_server_free(service->server);
	g_hash_table_unref(service->runs);
	g_hash_table_unref(service->answers);
	sr_clock_free(service->clock);
	return 0;
}

int sr_emu_service_main(int argc, char **argv)
{
	sr_emu_args_t args = sr_emu_args_new();
	struct arg_lit *outcomes = arg_lit0(
		NULL, "outcomes", "keep answers; serve GET /outcome/KEY");
	struct arg_dbl *delay_ms = arg_dbl0(NULL, "delay-ms", "N",
					    "from the run to its answer (0)");
	struct arg_int *answer_bytes = arg_int0(NULL, "answer-bytes", "N",
						"padding of each answer (0)");
	void *table[] = { args.listen,	outcomes,	 delay_ms,
			  answer_bytes, args.latency_ms, args.fault,
			  args.seed,	args.help,	 args.end };
	service_t service = { 0 };
	int status = 0;

	if (sr_emu_args_parse(&args, table, argc, argv, &status)) {
		service.outcomes = outcomes->count > 0;
		service.work_time =
			(sr_usec_t)(sr_emu_dbl_arg(delay_ms, 0) * SR_MSEC);
		service.answer_bytes =
			(gsize)MAX(sr_emu_int_arg(answer_bytes, 0), 0);
		status = serve(&service, &args);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
