#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#include "ctl/client.h"
#include "ctl/commands.h"

/** Maximum number of operands, including the command. */
#define MAX_OPERANDS 64
#define DEFAULT_SERVER "http://127.0.0.1:7001"
#define DEFAULT_TIMEOUT_S 15
#define DEFAULT_INTERVAL_S 2

typedef struct {
	struct arg_str *server;
	struct arg_file *token_file;
	struct arg_int *timeout;
	struct arg_lit *json;
	struct arg_lit *dry_run;
	struct arg_int *base;
	struct arg_str *reason;
	struct arg_int *interval;
	struct arg_lit *help;
	struct arg_str *operands;
	struct arg_end *end;
} arguments_t;

static const char *getenv_or(const char *name, const char *fallback)
{
	const char *value = g_getenv(name);

	return value && *value ? value : fallback;
}

static char *read_token(const arguments_t *arguments)
{
	const char *name = arguments->token_file->count > 0 ?
				   arguments->token_file->filename[0] :
				   getenv_or("SASSAFRAS_TOKEN_FILE", NULL);
	GError *error = NULL;
	char *token = NULL;

	if (!name)
		return g_strdup("");
	if (!g_file_get_contents(name, &token, NULL, &error)) {
		g_printerr("sassafrasctl: %s\nremedy: give --token-file the "
			   "name of a readable file\n",
			   error->message);
		g_clear_error(&error);
		return NULL;
	}
	return g_strchomp(token);
}

static sr_exit_t run(const arguments_t *arguments)
{
	sr_admin_client_options_t options = {
		.server = arguments->server->count > 0 ?
				  arguments->server->sval[0] :
				  getenv_or("SASSAFRAS_SERVER", DEFAULT_SERVER),
		.timeout_s = (unsigned)MAX(arguments->timeout->ival[0], 1),
	};
	sr_command_line_t line = {
		.command = arguments->operands->sval[0],
		.operands = arguments->operands->sval + 1,
		.n_operands = arguments->operands->count - 1,
		.json = arguments->json->count > 0,
		.dry_run = arguments->dry_run->count > 0,
		.base = arguments->base->count > 0 ? arguments->base->ival[0] :
						     -1,
		.reason = arguments->reason->count > 0 ?
				  arguments->reason->sval[0] :
				  "operator",
		.interval_s = (unsigned)MAX(arguments->interval->ival[0], 1),
	};
	char *token = read_token(arguments);
	sr_admin_client_t *client;
	sr_exit_t result;

	if (!token)
		return SR_EXIT_USAGE;
	options.token = token;
	client = sr_admin_client_new(&options);
	result = sr_commands_run(client, &line);
	sr_admin_client_free(client);
	g_free(token);
	return result;
}

static void print_help(void **table)
{
	printf("usage: sassafrasctl");
	arg_print_syntax(stdout, table, "\n");
	printf("%soptions:\n", sr_commands_help());
	arg_print_glossary(stdout, table, "  %-26s %s\n");
}

int main(int argc, char **argv)
{
	arguments_t arguments = {
		.server = arg_str0("s", "server", "URL",
				   "admin address of any daemon"),
		.token_file = arg_file0("t", "token-file", "FILE",
					"file with the operator's token"),
		.timeout = arg_int0(NULL, "timeout", "SECONDS",
				    "maximum wait for a response"),
		.json = arg_lit0(NULL, "json", "print responses as JSON"),
		.dry_run = arg_lit0("n", "dry-run",
				    "apply: show the changes only"),
		.base = arg_int0(
			NULL, "base", "GENERATION",
			"apply: fail unless this generation is in force"),
		.reason = arg_str0(NULL, "reason", "TEXT",
				   "recall: reason shown to other operators"),
		.interval = arg_int0(NULL, "interval", "SECONDS",
				     "watch: interval between two outputs"),
		.help = arg_lit0("h", "help", "print this text"),
		.operands =
			arg_strn(NULL, NULL, "COMMAND", 0, MAX_OPERANDS, NULL),
		.end = arg_end(8),
	};
	void *table[] = { arguments.server,  arguments.token_file,
			  arguments.timeout, arguments.json,
			  arguments.dry_run, arguments.base,
			  arguments.reason,  arguments.interval,
			  arguments.help,    arguments.operands,
			  arguments.end };
	sr_exit_t result = SR_EXIT_USAGE;
	int errors;

	arguments.timeout->ival[0] = DEFAULT_TIMEOUT_S;
	arguments.interval->ival[0] = DEFAULT_INTERVAL_S;
	errors = arg_parse(argc, argv, table);
	if (arguments.help->count > 0) {
		print_help(table);
		result = SR_EXIT_OK;
	} else if (errors > 0) {
		arg_print_errors(stderr, arguments.end, "sassafrasctl");
	} else if (arguments.operands->count == 0) {
		g_printerr("%s", sr_commands_help());
	} else {
		result = run(&arguments);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return result;
}
