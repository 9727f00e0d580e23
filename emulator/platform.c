#include "commands.h"

#include <string.h>

#include "args.h"
#include "bucket.h"
#include "hosts.h"
#include "objects.h"

#define WEIGHTS_PREFIX "/weights/"
#define DEFAULT_READS_PER_S 2000
#define DEFAULT_WRITES_PER_S 400
#define DEFAULT_WEIGHT_KB 64
#define DEFAULT_WEIGHTS_PER_S 10
#define DEFAULT_HOST_LAG_MS 3000

/** The emulated platform: object API, host API and weight store. */
typedef struct {
	sr_clock_t *clock;
	sr_emu_server_t *server;
	sr_emu_objects_t *objects;
	sr_emu_hosts_t *hosts;
	sr_emu_bucket_t weight_limit; /* requests to the weight store */
	gsize weight_bytes;	      /* of each answer */
} platform_t;

static void answer_weights(platform_t *platform, sr_emu_exchange_t *exchange)
{
	GBytes *body;

	if (!sr_emu_bucket_take(&platform->weight_limit,
				sr_clock_now(platform->clock), 1)) {
		sr_emu_answer_throttled(exchange, 429, 1);
		return;
	}
	body = g_bytes_new_take(g_strnfill(platform->weight_bytes, 'w'),
				platform->weight_bytes);
	sr_emu_answer(exchange, 200, "application/octet-stream", body);
	g_bytes_unref(body);
}

static void handle_request(void *user, sr_emu_exchange_t *exchange)
{
	platform_t *platform = user;
	const char *path = sr_emu_path(exchange);

	if (g_str_has_prefix(path, "/objects"))
		sr_emu_objects_handle(platform->objects, exchange);
	else if (sr_emu_request_is(exchange, "GET", "/admin/calls"))
		sr_emu_answer_json(exchange, 200,
				   sr_emu_objects_stats(platform->objects));
	else if (!strcmp(sr_emu_method(exchange), "GET") &&
		 g_str_has_prefix(path, WEIGHTS_PREFIX))
		answer_weights(platform, exchange);
	else if (!sr_emu_hosts_handle(platform->hosts, exchange))
		sr_emu_answer_status(exchange, 404);
}

static int serve(platform_t *platform, const sr_emu_args_t *args)
{
	platform->server = sr_emu_args_new_server(args, platform->clock, FALSE,
						  handle_request, platform);
	if (!platform->server)
		return 1;
	sr_emu_objects_set_server(platform->objects, platform->server);
	sr_emu_hosts_set_server(platform->hosts, platform->server);
	sr_emu_server_run(platform->server);
	sr_emu_server_free(platform->server);
	return 0;
}

static int run_platform(const sr_emu_objects_options_t *objects,
			const sr_emu_hosts_options_t *hosts,
			platform_t *platform, const sr_emu_args_t *args)
{
	int status;

	platform->objects = sr_emu_objects_new(objects);
	platform->hosts = sr_emu_hosts_new(hosts);
	status = serve(platform, args);
	sr_emu_objects_free(platform->objects);
	sr_emu_hosts_free(platform->hosts);
	return status;
}

int sr_emu_platform_main(int argc, char **argv)
{
	sr_emu_args_t args = sr_emu_args_new();
	struct arg_dbl *reads = arg_dbl0(NULL, "reads-per-s", "N",
					 "read limit of the object API (2000)");
	struct arg_dbl *writes =
		arg_dbl0(NULL, "writes-per-s", "N",
			 "write limit of the object API (400)");
	struct arg_dbl *lag = arg_dbl0(NULL, "host-lag-ms", "N",
				       "lag of the host list, in ms (3000)");
	struct arg_int *weight_kb = arg_int0(
		NULL, "weight-kb", "N", "size of a weight file, in KiB (64)");
	struct arg_dbl *weights =
		arg_dbl0(NULL, "weights-per-s", "N",
			 "request limit of the weight store (10)");
	void *table[] = { args.listen, reads,		lag,	   writes,
			  weight_kb,   weights,		args.seed, args.fault,
			  args.help,   args.latency_ms, args.end };
	sr_clock_t *clock = sr_clock_new_real();
	platform_t platform = { .clock = clock };
	int status = 0;

	if (sr_emu_args_parse(&args, table, argc, argv, &status)) {
		sr_emu_objects_options_t objects = {
			sr_emu_arg_double(reads, DEFAULT_READS_PER_S),
			sr_emu_arg_double(writes, DEFAULT_WRITES_PER_S), clock
		};
		sr_emu_hosts_options_t hosts = {
			(sr_usec_t)(sr_emu_arg_double(lag,
						      DEFAULT_HOST_LAG_MS) *
				    SR_MSEC),
			clock
		};

		platform.weight_limit.rate_per_s =
			sr_emu_arg_double(weights, DEFAULT_WEIGHTS_PER_S);
		platform.weight_bytes =
			(gsize)MAX(sr_emu_arg_int(weight_kb, DEFAULT_WEIGHT_KB),
				   0) *
			1024;
		status = run_platform(&objects, &hosts, &platform, &args);
	}
	sr_clock_free(clock);
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
