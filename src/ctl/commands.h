#ifndef SR_CTL_COMMANDS_H
#define SR_CTL_COMMANDS_H

#include "ctl/client.h"

/** sr_command_line_t - parsed command line; all strings are borrowed. */
typedef struct {
	const char *command;
	const char *const *operands; /* that follow the command */
	int n_operands;
	gboolean json; /* print responses as JSON */
	gboolean dry_run;
	gint64 base;	     /* generation; -1 if not given */
	const char *reason;  /* of a recall */
	unsigned interval_s; /* between two outputs of watch */
} sr_command_line_t;

/** sr_commands_run - run a command; prints its results and errors. */
sr_exit_t sr_commands_run(sr_admin_client_t *client,
			  const sr_command_line_t *line);

/** sr_commands_help - the list of commands for --help; static. */
const char *sr_commands_help(void);

#endif
