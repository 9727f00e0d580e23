#include "answer_check.h"

#include <json-c/json.h>
#include <string.h>

#include "answer.h"
#include "server.h"

#define LINE_MAX_BYTES 65536

struct sr_emu_answer_check {
	guint64 hash;
	unsigned max_tokens;
	unsigned next; /* offset of the token that must come next */
	gboolean done;
	gboolean closing; /* the event's name was "done" */
	GString *line;
	char *fault;
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
	g_free(check->fault);
	g_free(check);
}

static void set_fault(sr_emu_answer_check_t *check, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static void set_fault(sr_emu_answer_check_t *check, const char *format, ...)
{
	va_list args;

	if (check->fault)
		return;
	va_start(args, format);
	check->fault = g_strdup_vprintf(format, args);
	va_end(args);
}

static void check_token(sr_emu_answer_check_t *check,
			struct json_object *object)
{
	char expected[SR_EMU_TOKEN_SIZE];
	double offset = sr_emu_json_number(object, "offset", -1);
	const char *token = sr_emu_json_string(object, "token", "");

	sr_emu_answer_token(check->hash, check->next, expected);
	if (check->done)
		set_fault(check, "offset %.0f after the end", offset);
	else if (offset != check->next)
		set_fault(check, "offset %.0f in place of %u", offset,
			  check->next);
	else if (check->next >= check->max_tokens)
		set_fault(check, "more than %u tokens", check->max_tokens);
	else if (strcmp(token, expected) != 0)
		set_fault(check, "token \"%s\" at offset %u in place of \"%s\"",
			  token, check->next, expected);
	else
		check->next++;
}

static void check_end(sr_emu_answer_check_t *check, struct json_object *object)
{
	double tokens = sr_emu_json_number(object, "tokens", -1);

	if (check->done)
		set_fault(check, "a second end");
	else if (check->next != check->max_tokens)
		set_fault(check, "ended after %u of %u tokens", check->next,
			  check->max_tokens);
	else if (tokens != check->max_tokens)
		set_fault(check, "the end tells of %.0f tokens", tokens);
	else
		check->done = TRUE;
}

static void check_data(sr_emu_answer_check_t *check, const char *text)
{
	struct json_object *object = json_tokener_parse(text);

	if (!json_object_is_type(object, json_type_object))
		set_fault(check, "data is not a JSON object: %.80s", text);
	else if (check->closing)
		check_end(check, object);
	else
		check_token(check, object);
	json_object_put(object);
	check->closing = FALSE;
}

static void check_line(sr_emu_answer_check_t *check, const char *line)
{
	if (*line == '\0' || *line == ':')
		return;
	if (g_str_has_prefix(line, "data: "))
		check_data(check, line + strlen("data: "));
	else if (!strcmp(line, "event: done"))
		check->closing = TRUE;
	else
		set_fault(check, "unexpected line: %.80s", line);
}

unsigned sr_emu_answer_check_feed(sr_emu_answer_check_t *check,
				  const char *data, gsize size)
{
	unsigned before = check->next;

	for (gsize i = 0; i < size && !check->fault; i++) {
		if (data[i] == '\n') {
			check_line(check, check->line->str);
			g_string_truncate(check->line, 0);
		} else if (check->line->len >= LINE_MAX_BYTES) {
			set_fault(check, "a line is too long");
		} else if (data[i] != '\r') {
			g_string_append_c(check->line, data[i]);
		}
	}
	return check->next - before;
}

unsigned sr_emu_answer_check_tokens(const sr_emu_answer_check_t *check)
{
	return check->next;
}

gboolean sr_emu_answer_check_is_whole(const sr_emu_answer_check_t *check)
{
	return check->done && !check->fault && check->line->len == 0;
}

const char *sr_emu_answer_check_fault(const sr_emu_answer_check_t *check)
{
	return check->fault;
}
