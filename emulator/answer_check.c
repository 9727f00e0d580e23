#include "answer_check.h"

#include <json-c/json.h>
#include <string.h>

#include "answer.h"
#include "server.h"

/* Longest line of a token stream. */
#define LINE_MAX_BYTES 65536

struct sr_emu_answer_check {
	guint64 hash;
	unsigned max_tokens;
	unsigned next_offset; /* of the next token expected */
	gboolean done;
	gboolean in_done_event; /* "event: done" read, its data not yet */
	GString *line;
	char *error;
};

sr_emu_answer_check_t *sr_emu_answer_check_new(GBytes *request_body,
					       unsigned max_tokens)
{
	sr_emu_answer_check_t *check = g_new0(sr_emu_answer_check_t, 1);
	gsize size = 0;
	const void *data = g_bytes_get_data(request_body, &size);

	check->hash = sr_emu_answer_hash(data, size);
	check->max_tokens = max_tokens;
	check->line = g_string_new(NULL);
	return check;
}

void sr_emu_answer_check_free(sr_emu_answer_check_t *check)
{
	if (!check)
		return;
	g_string_free(check->line, TRUE);
	g_free(check->error);
	g_free(check);
}

static void set_error(sr_emu_answer_check_t *check, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static void set_error(sr_emu_answer_check_t *check, const char *format, ...)
{
	va_list args;

	if (check->error)
		return;
	va_start(args, format);
	check->error = g_strdup_vprintf(format, args);
	va_end(args);
}

static void check_token(sr_emu_answer_check_t *check,
			struct json_object *object)
{
	char expected[SR_EMU_TOKEN_SIZE];
	double offset = sr_emu_json_number(object, "offset", -1);
	const char *token = sr_emu_json_string(object, "token", "");

	sr_emu_answer_token(check->hash, check->next_offset, expected);
	if (check->done)
		set_error(check, "offset %.0f after the done event", offset);
	else if (offset != check->next_offset)
		set_error(check, "offset %.0f, expected %u", offset,
			  check->next_offset);
	else if (check->next_offset >= check->max_tokens)
		set_error(check, "more tokens than max_tokens %u",
			  check->max_tokens);
	else if (strcmp(token, expected) != 0)
		set_error(check, "token \"%s\" at offset %u, expected \"%s\"",
			  token, check->next_offset, expected);
	else
		check->next_offset++;
}

static void check_done_event(sr_emu_answer_check_t *check,
			     struct json_object *object)
{
	double tokens = sr_emu_json_number(object, "tokens", -1);

	if (check->done)
		set_error(check, "second done event");
	else if (check->next_offset != check->max_tokens)
		set_error(check, "done event after %u of %u tokens",
			  check->next_offset, check->max_tokens);
	else if (tokens != check->max_tokens)
		set_error(check, "done event reports %.0f tokens", tokens);
	else
		check->done = TRUE;
}

static void check_data(sr_emu_answer_check_t *check, const char *text)
{
	struct json_object *object = json_tokener_parse(text);

	if (!json_object_is_type(object, json_type_object))
		set_error(check, "data is not a JSON object: %.80s", text);
	else if (check->in_done_event)
		check_done_event(check, object);
	else
		check_token(check, object);
	json_object_put(object);
	check->in_done_event = FALSE;
}

static void check_line(sr_emu_answer_check_t *check, const char *line)
{
	if (*line == '\0' || *line == ':')
		return;
	if (g_str_has_prefix(line, "data: "))
		check_data(check, line + strlen("data: "));
	else if (!strcmp(line, "event: done"))
		check->in_done_event = TRUE;
	else
		set_error(check, "unexpected line: %.80s", line);
}

unsigned sr_emu_answer_check_feed(sr_emu_answer_check_t *check,
				  const char *data, gsize size)
{
	unsigned before = check->next_offset;

	for (gsize i = 0; i < size && !check->error; i++) {
		if (data[i] == '\n') {
			check_line(check, check->line->str);
			g_string_truncate(check->line, 0);
		} else if (check->line->len >= LINE_MAX_BYTES) {
			set_error(check, "line longer than %d bytes",
				  LINE_MAX_BYTES);
		} else if (data[i] != '\r') {
			g_string_append_c(check->line, data[i]);
		}
	}
	return check->next_offset - before;
}

unsigned sr_emu_answer_check_tokens(const sr_emu_answer_check_t *check)
{
	return check->next_offset;
}

gboolean sr_emu_answer_check_is_complete(const sr_emu_answer_check_t *check)
{
	return check->done && !check->error && check->line->len == 0;
}

const char *sr_emu_answer_check_error(const sr_emu_answer_check_t *check)
{
	return check->error;
}
