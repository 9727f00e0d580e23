#ifndef SR_EMULATOR_ARGS_H
#define SR_EMULATOR_ARGS_H

#include <argtable2.h>
#include <glib.h>

#include "server.h"

/**
 * sr_emu_args_t - command-line options common to all emulated servers
 *
 * A subcommand lists the members in its argtable together with its own
 * options; the table owns them and ends with `end`.
 */
typedef struct {
	struct arg_lit *help;
	struct arg_str *listen;
	struct arg_int *seed;
	struct arg_dbl *latency_ms;
	struct arg_str *fault; /* JSON, as in POST /admin/fault */
	struct arg_end *end;
} sr_emu_args_t;

sr_emu_args_t sr_emu_args_new(void);

/**
 * sr_emu_args_parse - parse argv into a table that ends with args->end
 *
 * Returns TRUE if the command is to run. Otherwise prints the help (status 0)
 * or the errors (status 2) and sets *status to the exit status.
 */
gboolean sr_emu_args_parse(const sr_emu_args_t *args, void **table, int argc,
			   char **argv, int *status);

/**
 * sr_emu_args_parse_table - like sr_emu_args_parse(), for a table without the
 * common options
 */
gboolean sr_emu_args_parse_table(const struct arg_lit *help,
				 struct arg_end *end, void **table, int argc,
				 char **argv, int *status);

/**
 * sr_emu_args_new_server - create a server from the common options
 *
 * streams is as in sr_emu_server_options_t. Returns NULL after printing the
 * error.
 */
sr_emu_server_t *sr_emu_args_new_server(const sr_emu_args_t *args,
					sr_clock_t *clock, gboolean streams,
					sr_emu_handler_fn handler, void *user);

/** sr_emu_arg_int - value of an option, or fallback if absent. */
int sr_emu_arg_int(const struct arg_int *arg, int fallback);
double sr_emu_arg_double(const struct arg_dbl *arg, double fallback);
const char *sr_emu_arg_string(const struct arg_str *arg, const char *fallback);

#endif
