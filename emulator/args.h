#ifndef SR_EMULATOR_ARGS_H
#define SR_EMULATOR_ARGS_H

#include <argtable2.h>
#include <glib.h>

#include "server.h"

/**
 * sr_emu_args_t - the command-line options that all stand-ins share
 *
 * A subcommand puts the members into its own table, after its own options.
 */
typedef struct {
	struct arg_lit *help;
	struct arg_str *listen;
	struct arg_int *seed;
	struct arg_dbl *latency_ms;
	struct arg_str *fault; /* JSON, as POST /admin/fault takes it */
	struct arg_end *end;
} sr_emu_args_t;

sr_emu_args_t sr_emu_args_new(void);

/**
 * sr_emu_args_parse - parse argv into a table that ends with args->end
 *
 * Returns TRUE to go on. Otherwise the help or the errors are printed and
 * *status is the exit status.
 */
gboolean sr_emu_args_parse(const sr_emu_args_t *args, void **table, int argc,
			   char **argv, int *status);

/** sr_emu_parse - the same for a table without the shared options. */
gboolean sr_emu_parse(const struct arg_lit *help, struct arg_end *end,
		      void **table, int argc, char **argv, int *status);

/**
 * sr_emu_args_server - server with the shared options, NULL after an error
 * that is printed
 */
sr_emu_server_t *sr_emu_args_server(const sr_emu_args_t *args,
				    sr_clock_t *clock, gboolean streams,
				    sr_emu_handler_fn handler, void *user);

/** sr_emu_int_arg - value of an option, or fallback if it is not given. */
int sr_emu_int_arg(const struct arg_int *arg, int fallback);
double sr_emu_dbl_arg(const struct arg_dbl *arg, double fallback);
const char *sr_emu_str_arg(const struct arg_str *arg, const char *fallback);

#endif
