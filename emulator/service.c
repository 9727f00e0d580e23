#include "commands.h"

#include <string.h>

#include "args.h"

/**
 * An emulated plain service. Each path answers with the idempotency key and
 * the number of runs of that key. With --outcomes the answer to a key can be
 * read later.
 */
typedef struct {
	gboolean save_outcomes;
	gsize answer_bytes;
	sr_emu_server_t *server;
	sr_clock_t *clock;
	sr_usec_t run_duration;
	unsigned running;
	GHashTable *run_counts;	   /* key to count */
	GHashTable *saved_answers; /* key to GBytes */
} service_t;

/** A running request; it is counted in run_counts when it starts. */
typedef struct {
	service_t *service;
	sr_emu_exchange_t *exchange;
	struct json_object *answer;
} run_t;

static guint count_run(service_t *service, const char *key)
{
	guint runs =
		GPOINTER_TO_UINT(g_hash_table_lookup(service->run_counts, key));

	g_hash_table_replace(service->run_counts, g_strdup(key),
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

static void save_answer(service_t *service, const char *key,
			struct json_object *answer)
{
	const char *text = json_object_to_json_string_ext(
		answer, JSON_C_TO_STRING_NOSLASHESCAPE);

	g_hash_table_replace(service->saved_answers, g_strdup(key),
			     g_bytes_new(text, strlen(text)));
}

static void finish_run(void *user)
{
	run_t *run = user;

	run->service->running--;
	sr_emu_server_set_running(run->service->server, run->service->running);
	sr_emu_answer_json(run->exchange, 200, run->answer);
	g_free(run);
}

static void start_run(service_t *service, sr_emu_exchange_t *exchange)
{
	const char *key = sr_emu_header(exchange, "Idempotency-Key");
	run_t *run = g_new0(run_t, 1);
	guint number = key ? count_run(service, key) : 0;

	run->service = service;
	run->exchange = exchange;
	run->answer = make_answer(service, exchange, key ? key : "", number);
	if (key && service->save_outcomes)
		save_answer(service, key, run->answer);
	service->running++;
	sr_emu_server_set_running(service->server, service->running);
	if (service->run_duration > 0)
		sr_timer_start(service->clock, service->run_duration,
			       finish_run, run);
	else
		finish_run(run);
}

static void answer_outcome(service_t *service, sr_emu_exchange_t *exchange,
			   const char *key)
{
	GBytes *answer = g_hash_table_lookup(service->saved_answers, key);

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

	g_hash_table_iter_init(&iter, service->run_counts);
	while (g_hash_table_iter_next(&iter, &key, &count))
		json_object_object_add(
			runs, key,
			json_object_new_int((int)GPOINTER_TO_UINT(count)));
	sr_emu_answer_json(exchange, 200, runs);
}

static void handle_request(void *user, sr_emu_exchange_t *exchange)
{
	service_t *service = user;
	const char *path = sr_emu_path(exchange);

	if (sr_emu_request_is(exchange, "GET", "/admin/runs"))
		answer_runs(service, exchange);
	else if (service->save_outcomes &&
		 !strcmp(sr_emu_method(exchange), "GET") &&
		 g_str_has_prefix(path, "/outcome/"))
		answer_outcome(service, exchange, path + strlen("/outcome/"));
	else
		start_run(service, exchange);
}

static int serve(service_t *service, const sr_emu_args_t *args)
{
	service->clock = sr_clock_new_real();
	service->run_counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	service->saved_answers = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	service->server = sr_emu_args_new_server(args, service->clock, FALSE,
						 handle_request, service);
	if (!service->server)
		return 1;
	sr_emu_server_run(service->server);
	sr_emu_server_free(service->server);
	g_hash_table_unref(service->run_counts);
	g_hash_table_unref(service->saved_answers);
	sr_clock_free(service->clock);
	return 0;
}

int sr_emu_service_main(int argc, char **argv)
{
	sr_emu_args_t args = sr_emu_args_new();
	struct arg_lit *outcomes = arg_lit0(
		NULL, "outcomes", "store answers and serve GET /outcome/KEY");
	struct arg_dbl *delay_ms =
		arg_dbl0(NULL, "delay-ms", "N", "duration of a run, in ms (0)");
	struct arg_int *answer_bytes =
		arg_int0(NULL, "answer-bytes", "N",
			 "padding of each answer, in bytes (0)");
	void *table[] = { args.listen,	outcomes,	 delay_ms,
			  answer_bytes, args.latency_ms, args.fault,
			  args.seed,	args.help,	 args.end };
	service_t service = { 0 };
	int status = 0;

	if (sr_emu_args_parse(&args, table, argc, argv, &status)) {
		service.save_outcomes = outcomes->count > 0;
		service.run_duration =
			(sr_usec_t)(sr_emu_arg_double(delay_ms, 0) * SR_MSEC);
		service.answer_bytes =
			(gsize)MAX(sr_emu_arg_int(answer_bytes, 0), 0);
		status = serve(&service, &args);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
