#ifndef SR_CTL_COMMANDS_H
#define SR_CTL_COMMANDS_H

#include "ctl/client.h"

/** sr_command_line_t - the words of one call of the tool. */
typedef struct {
	const char *command;
	const char *const *words; /* after the command */
	int n_words;
	gboolean json;
	gboolean dry_run;
	gint64 base; /* -1 if not given */
	const char *reason;
	unsigned interval_s; /* of watch */
} sr_command_line_t;

/** sr_commands_run - run one command; prints results and problems. */
sr_exit_t sr_commands_run(sr_client_t *client, const sr_command_line_t *line);

/** sr_commands_help - the list of commands, for --help. */
const char *sr_commands_help(void);

#endif
