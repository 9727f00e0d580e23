#ifndef SR_HTTP_PARSER_H
#define SR_HTTP_PARSER_H

#include <glib.h>

#include "base/error.h"
#include "http/headers.h"

/**
 * sr_parser_t - strict parser of HTTP/1.1 messages in a byte stream
 *
 * The grammar is that of http_parser. In addition, the parser rejects what two
 * parsers could frame differently: a line feed without a carriage return,
 * folded lines, a field name with a space, two lengths, a length together with
 * a transfer coding, and a coding other than chunked; and a response whose
 * status line is invalid. Bytes after the end of a message are left to the
 * caller.
 */
typedef struct sr_parser sr_parser_t;

typedef enum {
	SR_MESSAGE_REQUEST,
	SR_MESSAGE_RESPONSE,
} sr_message_kind_t;

/** sr_message_t - the message that is being parsed; owned by the parser. */
typedef struct {
	char *method;	 /* requests */
	char *target;	 /* requests; exactly as sent */
	unsigned status; /* responses */
	char *reason;
	sr_headers_t *headers;
	GByteArray *body; /* decoded bytes since sr_parser_take_body() */
	gboolean headers_complete; /* the header section is complete */
	gboolean is_complete;
	gboolean keeps_alive; /* the connection persists */
	gboolean is_chunked;
	gboolean ends_at_close; /* a response without length, which
				 * ends when the peer closes */
} sr_message_t;

typedef struct {
	sr_message_kind_t kind;
	gsize max_header_size; /* size of the header section, bytes */
	gsize max_body_size; /* Content-Length, and body not yet taken, bytes */
} sr_parser_options_t;

sr_parser_t *sr_parser_new(const sr_parser_options_t *options);
void sr_parser_free(sr_parser_t *parser);

/** sr_parser_set_limits - change max_header_size and max_body_size, in bytes,
 * at once. */
void sr_parser_set_limits(sr_parser_t *parser, gsize max_header_size,
			  gsize max_body_size);

/** sr_parser_expect_no_body - the next response has no body, as after HEAD. */
void sr_parser_expect_no_body(sr_parser_t *parser);

/**
 * sr_parser_feed - parse bytes up to the end of the message
 *
 * used is set to the number of bytes that were parsed. Returns SR_OK,
 * SR_ERR_PROTOCOL if the message is malformed, SR_ERR_TOO_LARGE if the body or
 * SR_ERR_INVALID if the header section exceeds its limit. After an error
 * further calls fail until sr_parser_reset().
 */
sr_err_t sr_parser_feed(sr_parser_t *parser, const guint8 *data, gsize size,
			gsize *used);

/**
 * sr_parser_finish - handle the end of the stream
 *
 * Returns SR_OK if the message is complete then, an error otherwise.
 */
sr_err_t sr_parser_finish(sr_parser_t *parser);

/** sr_parser_message - the current message; borrowed. */
const sr_message_t *sr_parser_message(const sr_parser_t *parser);

/** sr_parser_take_body - body bytes since the last call; the caller unrefs. */
GBytes *sr_parser_take_body(sr_parser_t *parser);

/** sr_parser_reset - drop the message and start the next one. */
void sr_parser_reset(sr_parser_t *parser);

/** sr_parser_has_input - TRUE once a byte of the message was parsed. */
gboolean sr_parser_has_input(const sr_parser_t *parser);

/** sr_http_has_body - whether a response with this status may have a body;
 * is_head: it is one to HEAD. */
gboolean sr_http_has_body(gboolean is_head, unsigned status);

#endif
