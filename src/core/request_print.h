#ifndef SR_CORE_REQUEST_PRINT_H
#define SR_CORE_REQUEST_PRINT_H

#include <glib.h>

/**
 * sr_request_print_t - fingerprints of a request
 *
 * One covers the request as a whole: its method, target, client account and
 * body. The others cover one part of its prompt each, without the last part,
 * which belongs to a single request or session. All hosts compute the same
 * fingerprints.
 */

/** SR_REQUEST_PRINT_PARTS - parts of a prompt that have a fingerprint. */
#define SR_REQUEST_PRINT_PARTS 16

typedef struct {
	guint64 request;
	guint64 parts[SR_REQUEST_PRINT_PARTS];
	unsigned n_parts;
} sr_request_print_t;

/** sr_request_source_t - what the fingerprint of a request covers; borrowed. */
typedef struct {
	const char *method;
	const char *target;
	const char *account; /* NULL for none */
	const guint8 *body;
	gsize size; /* of body, in bytes */
} sr_request_source_t;

/** sr_request_print_whole - the fingerprint of a request as a whole. */
guint64 sr_request_print_whole(const sr_request_source_t *source);

/** sr_request_print_set_parts - take the fingerprints of the parts of a prompt;
 * the last of the n is left out, as is what exceeds the limit. */
void sr_request_print_set_parts(sr_request_print_t *print, const guint64 *parts,
				unsigned n);

/** sr_request_print_has - whether a fingerprint is one of the request's. */
gboolean sr_request_print_has(const sr_request_print_t *print,
			      guint64 fingerprint);

/** SR_REQUEST_PRINT_TEXT_SIZE - size of a fingerprint in hexadecimal, with its
 * final 0, in bytes. */
#define SR_REQUEST_PRINT_TEXT_SIZE 17

/** sr_request_print_format - write a fingerprint in hexadecimal. */
void sr_request_print_format(guint64 fingerprint,
			     char text[SR_REQUEST_PRINT_TEXT_SIZE]);

/** sr_request_print_parse - read a fingerprint in hexadecimal; FALSE if the
 * text is none. */
gboolean sr_request_print_parse(const char *text, guint64 *fingerprint);

#endif
