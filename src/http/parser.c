#include "http/parser.h"

#include <http_parser.h>
#include <string.h>

struct sr_parser {
	sr_parser_options_t options;
	http_parser parser;
	sr_message_t message;
	GString *status_line; /* responses, as far as it was read */
	GString *target;
	GString *reason;
	GString *name;
	GString *value;
	gsize header_size;
	guint8 last_byte; /* last header byte that was read; 0 if none */
	gboolean expects_final_lf; /* after the CR of the empty line */
	gboolean has_status_line;
	gboolean has_input;
	gboolean has_value;
	gboolean no_body;
	sr_err_t error;
};

/* Characters of a field name: token in RFC 9110, 5.6.2. */
static gboolean is_token_char(char c)
{
	return g_ascii_isalnum(c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

static void add_pending_field(sr_parser_t *parser)
{
	if (!parser->has_value)
		return;
	g_strchomp(parser->value->str);
	sr_headers_add(parser->message.headers, parser->name->str,
		       parser->value->str);
	g_string_truncate(parser->name, 0);
	g_string_truncate(parser->value, 0);
	parser->has_value = FALSE;
}

static int on_target(http_parser *p, const char *at, size_t size)
{
	sr_parser_t *parser = p->data;

	g_string_append_len(parser->target, at, (gssize)size);
	return 0;
}

static int on_reason(http_parser *p, const char *at, size_t size)
{
	sr_parser_t *parser = p->data;

	g_string_append_len(parser->reason, at, (gssize)size);
	return 0;
}

static int on_name(http_parser *p, const char *at, size_t size)
{
	sr_parser_t *parser = p->data;

	for (size_t i = 0; i < size; i++) {
		if (!is_token_char(at[i]))
			return 1;
	}
	if (parser->message.headers_complete) /* a trailer, which is dropped */
		return 0;
	add_pending_field(parser);
	g_string_append_len(parser->name, at, (gssize)size);
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t size)
{
	sr_parser_t *parser = p->data;

	if (parser->message.headers_complete)
		return 0;
	parser->has_value = TRUE;
	g_string_append_len(parser->value, at, (gssize)size);
	return 0;
}

static gboolean is_decimal(const char *text)
{
	return *text && strspn(text, "0123456789") == strlen(text);
}

/* FALSE if two parsers could disagree on where the message ends. */
static gboolean is_framing_unambiguous(const sr_parser_t *parser)
{
	const sr_headers_t *headers = parser->message.headers;
	const char *length = sr_headers_get(headers, "Content-Length");
	const char *coding = sr_headers_get(headers, "Transfer-Encoding");

	if (length && coding)
		return FALSE;
	if (sr_headers_count(headers, "Content-Length") > 1 ||
	    sr_headers_count(headers, "Transfer-Encoding") > 1)
		return FALSE;
	if (length && !is_decimal(length))
		return FALSE;
	return !coding || !g_ascii_strcasecmp(coding, "chunked");
}

static int on_headers_complete(http_parser *p)
{
	sr_parser_t *parser = p->data;
	sr_message_t *message = &parser->message;
	const char *length;

	add_pending_field(parser);
	if (!is_framing_unambiguous(parser))
		return -1;
	message->headers_complete = TRUE;
	message->keeps_alive = http_should_keep_alive(p);
	message->is_chunked = (p->flags & F_CHUNKED) != 0;
	if (parser->options.kind == SR_MESSAGE_REQUEST) {
		message->method =
			g_strdup(http_method_str((enum http_method)p->method));
		message->target = g_strdup(parser->target->str);
	} else {
		message->status = p->status_code;
		message->reason = g_strdup(parser->reason->str);
	}
	/* Upgrades are not supported; the connection remains HTTP/1.1. */
	p->upgrade = 0;
	length = sr_headers_get(message->headers, "Content-Length");
	if (length && !parser->no_body &&
	    g_ascii_strtoull(length, NULL, 10) >
		    parser->options.max_body_size) {
		parser->error = SR_ERR_TOO_LARGE;
		return -1;
	}
	if (parser->options.kind == SR_MESSAGE_RESPONSE && !length &&
	    !message->is_chunked && !parser->no_body &&
	    message->status >= 200 && message->status != 204 &&
	    message->status != 304)
		message->ends_at_close = TRUE;
	return parser->no_body ? 1 : 0;
}

static int on_body(http_parser *p, const char *at, size_t size)
{
	sr_parser_t *parser = p->data;
	GByteArray *body = parser->message.body;

	if (body->len + size > parser->options.max_body_size) {
		parser->error = SR_ERR_TOO_LARGE;
		return 1;
	}
	g_byte_array_append(body, (const guint8 *)at, (guint)size);
	return 0;
}

static int on_complete(http_parser *p)
{
	sr_parser_t *parser = p->data;

	parser->message.is_complete = TRUE;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_url = on_target,
	.on_status = on_reason,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void clear_message(sr_message_t *message)
{
	g_free(message->method);
	g_free(message->target);
	g_free(message->reason);
	sr_headers_free(message->headers);
	g_byte_array_unref(message->body);
	memset(message, 0, sizeof(*message));
}

static void start_message(sr_parser_t *parser)
{
	parser->message.headers = sr_headers_new();
	parser->message.body = g_byte_array_new();
	g_string_truncate(parser->status_line, 0);
	g_string_truncate(parser->target, 0);
	g_string_truncate(parser->reason, 0);
	g_string_truncate(parser->name, 0);
	g_string_truncate(parser->value, 0);
	parser->header_size = 0;
	parser->last_byte = 0;
	parser->expects_final_lf = FALSE;
	parser->has_status_line = FALSE;
	parser->has_input = FALSE;
	parser->has_value = FALSE;
	parser->no_body = FALSE;
	parser->error = SR_OK;
	http_parser_init(&parser->parser,
			 parser->options.kind == SR_MESSAGE_REQUEST ?
				 HTTP_REQUEST :
				 HTTP_RESPONSE);
	parser->parser.data = parser;
}

sr_parser_t *sr_parser_new(const sr_parser_options_t *options)
{
	sr_parser_t *parser = g_new0(sr_parser_t, 1);

	parser->options = *options;
	parser->status_line = g_string_new(NULL);
	parser->target = g_string_new(NULL);
	parser->reason = g_string_new(NULL);
	parser->name = g_string_new(NULL);
	parser->value = g_string_new(NULL);
	start_message(parser);
	return parser;
}

void sr_parser_free(sr_parser_t *parser)
{
	if (!parser)
		return;
	clear_message(&parser->message);
	g_string_free(parser->status_line, TRUE);
	g_string_free(parser->target, TRUE);
	g_string_free(parser->reason, TRUE);
	g_string_free(parser->name, TRUE);
	g_string_free(parser->value, TRUE);
	g_free(parser);
}

void sr_parser_set_limits(sr_parser_t *parser, gsize max_header_size,
			  gsize max_body_size)
{
	parser->options.max_header_size = max_header_size;
	parser->options.max_body_size = max_body_size;
}

void sr_parser_expect_no_body(sr_parser_t *parser)
{
	parser->no_body = TRUE;
}

/* Whether it is one of RFC 9112, 4, without its CRLF. http_parser accepts any
 * number of digits and any byte in the reason. A status outside 100 to 599 is
 * invalid (RFC 9110, 15); 101 answers an upgrade, which no request asks for. */
static gboolean is_status_line(const char *line, gsize size)
{
	static const char prefix[] = "HTTP/1.";
	const gsize status_at = strlen("HTTP/1.1 ");
	const gsize status_end = status_at + 3;
	unsigned status = 0;

	if (size < status_end || memcmp(line, prefix, strlen(prefix)) ||
	    !g_ascii_isdigit(line[status_at - 2]) || line[status_at - 1] != ' ')
		return FALSE;
	for (gsize i = status_at; i < status_end; i++) {
		if (!g_ascii_isdigit(line[i]))
			return FALSE;
		status = 10 * status + (unsigned)(line[i] - '0');
	}
	if (status < 100 || status > 599 || status == 101)
		return FALSE;
	for (gsize i = status_end; i < size; i++) {
		if (g_ascii_iscntrl(line[i]) && line[i] != '\t')
			return FALSE;
	}
	return size == status_end || line[status_end] == ' ';
}

/* FALSE if the byte ends an invalid status line. */
static gboolean add_to_status_line(sr_parser_t *parser, guint8 c)
{
	GString *line = parser->status_line;

	if (c != '\n') {
		g_string_append_c(line, (char)c);
		return TRUE;
	}
	parser->has_status_line = TRUE;
	/* the line feed follows a carriage return */
	return is_status_line(line->str, line->len - 1);
}

/* Rejects bytes of the header section that http_parser would accept: NUL, a
 * line feed or carriage return alone, folded lines, and an invalid status line.
 * Returns how many bytes belong to the header section, or -1. */
static gssize check_header_bytes(sr_parser_t *parser, const guint8 *data,
				 gsize size)
{
	for (gsize i = 0; i < size; i++) {
		guint8 c = data[i];

		if (c == '\0' || (c == '\n' && parser->last_byte != '\r') ||
		    (parser->last_byte == '\r' && c != '\n'))
			return -1;
		if (parser->last_byte == '\n' && (c == ' ' || c == '\t'))
			return -1;
		if (parser->options.kind == SR_MESSAGE_RESPONSE &&
		    !parser->has_status_line && !add_to_status_line(parser, c))
			return -1;
		if (parser->expects_final_lf) {
			parser->expects_final_lf = FALSE;
			parser->last_byte = 0;
			return (gssize)i + 1;
		}
		parser->expects_final_lf =
			parser->last_byte == '\n' && c == '\r';
		parser->last_byte = c;
	}
	return (gssize)size;
}

static sr_err_t execute(sr_parser_t *parser, const guint8 *data, gsize size,
			gsize *used)
{
	gsize n = http_parser_execute(&parser->parser, &callbacks,
				      (const char *)data, size);
	enum http_errno err = HTTP_PARSER_ERRNO(&parser->parser);

	*used += n;
	if (err == HPE_OK || err == HPE_PAUSED)
		return SR_OK;
	if (parser->error == SR_OK)
		parser->error = SR_ERR_PROTOCOL;
	return parser->error;
}

/* Drops an interim (1xx) response, so that the final one is read next; the
 * limit of the header section holds for both together. */
static gboolean skip_interim(sr_parser_t *parser)
{
	gboolean no_body = parser->no_body;
	gsize header_size = parser->header_size;

	if (!parser->message.is_complete ||
	    parser->options.kind != SR_MESSAGE_RESPONSE ||
	    parser->message.status >= 200)
		return FALSE;
	sr_parser_reset(parser);
	parser->no_body = no_body;
	parser->header_size = header_size;
	return TRUE;
}

sr_err_t sr_parser_feed(sr_parser_t *parser, const guint8 *data, gsize size,
			gsize *used)
{
	*used = 0;
	while (*used < size && !parser->message.is_complete) {
		gsize before = *used;
		gsize rest = size - before;
		sr_err_t err;

		if (parser->error)
			return parser->error;
		parser->has_input = TRUE;
		if (!parser->message.headers_complete) {
			gssize n_header =
				check_header_bytes(parser, data + before, rest);

			if (n_header < 0)
				return parser->error = SR_ERR_PROTOCOL;
			rest = (gsize)n_header;
			parser->header_size += rest;
			if (parser->header_size >
			    parser->options.max_header_size)
				return parser->error = SR_ERR_INVALID;
		}
		err = execute(parser, data + before, rest, used);
		if (err)
			return err;
		if (skip_interim(parser))
			continue;
		/* without progress http_parser will read nothing more */
		if (*used == before && !parser->message.is_complete)
			return parser->error = SR_ERR_PROTOCOL;
	}
	return SR_OK;
}

sr_err_t sr_parser_finish(sr_parser_t *parser)
{
	gsize used = 0;

	if (parser->error)
		return parser->error;
	if (parser->message.is_complete)
		return SR_OK;
	if (!parser->message.ends_at_close)
		return SR_ERR_PROTOCOL;
	if (execute(parser, NULL, 0, &used) || !parser->message.is_complete)
		return SR_ERR_PROTOCOL;
	return SR_OK;
}

const sr_message_t *sr_parser_message(const sr_parser_t *parser)
{
	return &parser->message;
}

GBytes *sr_parser_take_body(sr_parser_t *parser)
{
	GByteArray *body = parser->message.body;

	parser->message.body = g_byte_array_new();
	return g_byte_array_free_to_bytes(body);
}

void sr_parser_reset(sr_parser_t *parser)
{
	clear_message(&parser->message);
	start_message(parser);
}

gboolean sr_parser_has_input(const sr_parser_t *parser)
{
	return parser->has_input;
}

gboolean sr_http_has_body(gboolean is_head, unsigned status)
{
	return !is_head && status >= 200 && status != 204 && status != 304;
}
