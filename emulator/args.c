#include "args.h"

#include <stdio.h>

#define MAX_FAULTS 16
#define MAX_ERRORS 20

sr_emu_args_t sr_emu_args_new(void)
{
	return (sr_emu_args_t){
		.help = arg_lit0("h", "help", "show the options"),
		.listen = arg_str1(NULL, "listen", "IP:PORT",
				   "address to serve; port 0 takes a free one"),
		.seed = arg_int0(NULL, "seed", "N", "of random choices (1)"),
		.latency_ms = arg_dbl0(NULL, "latency-ms", "N",
				       "of every answer (0)"),
		.fault = arg_strn(NULL, "fault", "JSON", 0, MAX_FAULTS,
				  "a fault as POST /admin/fault takes it"),
		.end = arg_end(MAX_ERRORS),
	};
}

gboolean sr_emu_parse(const struct arg_lit *help, struct arg_end *end,
		      void **table, int argc, char **argv, int *status)
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
	return sr_emu_parse(args->help, args->end, table, argc, argv, status);
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
				"%s is not a fault: give JSON with "
				"a known \"mode\"\n",
				text);
			return FALSE;
		}
	}
	return TRUE;
}

sr_emu_server_t *sr_emu_args_server(const sr_emu_args_t *args,
				    sr_clock_t *clock, gboolean streams,
				    sr_emu_handler_fn handler, void *user)
{
	sr_emu_server_options_t options = {
		.listen = args->listen->sval[0],
		.seed = (guint64)sr_emu_int_arg(args->seed, 1),
		.latency = (sr_usec_t)(sr_emu_dbl_arg(args->latency_ms, 0) *
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

int sr_emu_int_arg(const struct arg_int *arg, int fallback)
{
	return arg->count > 0 ? arg->ival[0] : fallback;
}

double sr_emu_dbl_arg(const struct arg_dbl *arg, double fallback)
{
	return arg->count > 0 ? arg->dval[0] : fallback;
}

const char *sr_emu_str_arg(const struct arg_str *arg, const char *fallback)
{
	return arg->count > 0 ? arg->sval[0] : fallback;
}
