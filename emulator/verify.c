#include "commands.h"

#include <stdio.h>

#include "answer_check.h"
#include "args.h"

#define READ_BYTES 4096

static int report(const sr_emu_answer_check_t *check)
{
	const char *error = sr_emu_answer_check_error(check);

	if (sr_emu_answer_check_is_complete(check)) {
		printf("correct: %u tokens\n",
		       sr_emu_answer_check_tokens(check));
		return 0;
	}
	printf("failed after %u correct tokens: %s\n",
	       sr_emu_answer_check_tokens(check),
	       error ? error : "stream ended before the done event");
	return 1;
}

/* Checks the token stream on stdin against the request body in a file. */
static int verify(const char *path)
{
	GError *error = NULL;
	char *text = NULL;
	gsize size = 0;
	char buffer[READ_BYTES];
	sr_emu_answer_check_t *check;
	struct json_object *request;
	GBytes *body;
	int status;

	if (!g_file_get_contents(path, &text, &size, &error)) {
		fprintf(stderr, "%s: give a file with the request body\n",
			error->message);
		g_error_free(error);
		return 2;
	}
	request = json_tokener_parse(text);
	body = g_bytes_new_take(text, size);
	check = sr_emu_answer_check_new(
		body, (unsigned)sr_emu_json_number(request, "max_tokens", 0));
	while ((size = fread(buffer, 1, sizeof(buffer), stdin)) > 0)
		sr_emu_answer_check_feed(check, buffer, size);
	status = report(check);
	sr_emu_answer_check_free(check);
	g_bytes_unref(body);
	json_object_put(request);
	return status;
}

int sr_emu_verify_main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print the options");
	struct arg_str *body =
		arg_str1(NULL, "body", "FILE", "file with the request body");
	struct arg_end *end = arg_end(2);
	void *table[] = { body, help, end };
	int status = 0;

	if (sr_emu_args_parse_table(help, end, table, argc, argv, &status))
		status = verify(body->sval[0]);
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
