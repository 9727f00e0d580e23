#ifndef SR_HTTP_PARSER_H
#define SR_HTTP_PARSER_H

#include <glib.h>

#include "base/error.h"
#include "http/headers.h"

/**
 * sr_parser_t - strict reading of HTTP/1.1 messages from a byte stream
 *
 * The grammar is http_parser's. Beyond it, whatever two readers could frame
 * differently is refused: a line feed without a carriage return, folded
 * lines, a header name with a space, two lengths, a length beside chunks, a
 * coding other than chunked. What follows a message is left to the caller.
 */
typedef struct sr_parser sr_parser_t;

typedef enum {
	SR_MESSAGE_REQUEST,
	SR_MESSAGE_RESPONSE,
} sr_message_kind_t;

/** sr_message_t - the message that is being read; borrowed. */
typedef struct {
	char *method;	 /* requests */
	char *target;	 /* requests; as it was sent */
	unsigned status; /* responses */
	char *reason;
	sr_headers_t *headers;
	GByteArray *body; /* decoded, as far as it was read */
	gboolean has_head;
	gboolean is_complete;
	gboolean keeps_alive;
	gboolean is_chunked;
	gboolean ends_with_connection; /* a response without a length */
} sr_message_t;

typedef struct {
	sr_message_kind_t kind;
	gsize max_head; /* bytes */
	gsize max_body; /* bytes */
} sr_parser_options_t;

sr_parser_t *sr_parser_new(const sr_parser_options_t *options);
void sr_parser_free(sr_parser_t *parser);

/** sr_parser_set_limits - for the messages from now on. */
void sr_parser_set_limits(sr_parser_t *parser, gsize max_head, gsize max_body);

/** sr_parser_expect_no_body - the next response answers a HEAD request. */
void sr_parser_expect_no_body(sr_parser_t *parser);

/**
 * sr_parser_feed - read bytes up to the end of the message
 *
 * Returns SR_OK with the number of bytes used, SR_ERR_PROTOCOL if this is no
 * message, SR_ERR_TOO_LARGE if the body or SR_ERR_INVALID if the head is
 * beyond its limit. After an error nothing more can be read.
 */
sr_err_t sr_parser_feed(sr_parser_t *parser, const guint8 *data, gsize size,
			gsize *used);

/**
 * sr_parser_finish - the stream has ended in order
 *
 * Returns SR_OK if that completes the message, else SR_ERR_PROTOCOL.
 */
sr_err_t sr_parser_finish(sr_parser_t *parser);

const sr_message_t *sr_parser_message(const sr_parser_t *parser);

/** sr_parser_take_body - bytes of the body since the last call; unref them. */
GBytes *sr_parser_take_body(sr_parser_t *parser);

/** sr_parser_next - forget the message and be ready for the next one. */
void sr_parser_next(sr_parser_t *parser);

/** sr_parser_has_begun - was any byte of the message read? */
gboolean sr_parser_has_begun(const sr_parser_t *parser);

#endif
