#include "args.h"

#include <stdio.h>

/* Number of --fault options accepted. */
#define MAX_FAULTS 16
#define MAX_PRINTED_ERRORS 20

sr_emu_args_t sr_emu_args_new(void)
{
	return (sr_emu_args_t){
		.help = arg_lit0("h", "help", "print the options"),
		.listen =
			arg_str1(NULL, "listen", "IP:PORT",
				 "listen address; port 0 selects a free port"),
		.seed = arg_int0(NULL, "seed", "N",
				 "seed of random choices (1)"),
		.latency_ms = arg_dbl0(NULL, "latency-ms", "N",
				       "latency of each answer, in ms (0)"),
		.fault = arg_strn(NULL, "fault", "JSON", 0, MAX_FAULTS,
				  "initial fault, as in POST /admin/fault"),
		.end = arg_end(MAX_PRINTED_ERRORS),
	};
}

gboolean sr_emu_args_parse_table(const struct arg_lit *help,
				 struct arg_end *end, void **table, int argc,
				 char **argv, int *status)
{
	int errors = arg_parse(argc, argv, table);

	if (help->count > 0) {
		printf("usage: sassafras-emulator %s", argv[0]);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		*status = 0;
		return FALSE;
	}
	if (errors > 0) {
		arg_print_errors(stderr, end, argv[0]);
		*status = 2;
		return FALSE;
	}
	return TRUE;
}

gboolean sr_emu_args_parse(const sr_emu_args_t *args, void **table, int argc,
			   char **argv, int *status)
{
	return sr_emu_args_parse_table(args->help, args->end, table, argc, argv,
				       status);
}

static gboolean add_faults(const sr_emu_args_t *args, sr_emu_server_t *server)
{
	for (int i = 0; i < args->fault->count; i++) {
		const char *text = args->fault->sval[i];
		struct json_object *fault = json_tokener_parse(text);
		gboolean ok = fault && sr_emu_server_add_fault(server, fault);

		json_object_put(fault);
		if (!ok) {
			fprintf(stderr,
				"invalid fault %s: give a JSON object whose "
				"\"mode\" is down, slow, lost-reply, frozen, "
				"failing or ok\n",
				text);
			return FALSE;
		}
	}
	return TRUE;
}

sr_emu_server_t *sr_emu_args_new_server(const sr_emu_args_t *args,
					sr_clock_t *clock, gboolean streams,
					sr_emu_handler_fn handler, void *user)
{
	sr_emu_server_options_t options = {
		.listen = args->listen->sval[0],
		.seed = (guint64)sr_emu_arg_int(args->seed, 1),
		.latency = (sr_usec_t)(sr_emu_arg_double(args->latency_ms, 0) *
				       SR_MSEC),
		.streams = streams,
		.clock = clock,
		.handler = handler,
		.user = user,
	};
	sr_emu_server_t *server = sr_emu_server_new(&options);

	if (server && !add_faults(args, server)) {
		sr_emu_server_free(server);
		server = NULL;
	}
	return server;
}

int sr_emu_arg_int(const struct arg_int *arg, int fallback)
{
	return arg->count > 0 ? arg->ival[0] : fallback;
}

double sr_emu_arg_double(const struct arg_dbl *arg, double fallback)
{
	return arg->count > 0 ? arg->dval[0] : fallback;
}

const char *sr_emu_arg_string(const struct arg_str *arg, const char *fallback)
{
	return arg->count > 0 ? arg->sval[0] : fallback;
}
