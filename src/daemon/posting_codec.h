#ifndef SR_DAEMON_POSTING_CODEC_H
#define SR_DAEMON_POSTING_CODEC_H

#include <glib.h>

#include "base/error.h"

/**
 * Encoding of the requests and results that the journal stores as opaque bytes
 *
 * Both are GVariants in normal form, so that equal values have equal bytes.
 */

/**
 * sr_stored_request_t - a request as the journal stores it
 *
 * It has exactly the fields in which two submissions of a key must agree,
 * since the journal compares the hash of the encoded request. The strings and
 * the body belong to the code that fills it in.
 */
typedef struct {
	char *service;
	char *route;
	char *method;
	char *path;
	char *content_type; /* or NULL */
	GBytes *body;	    /* never NULL */
} sr_stored_request_t;

/** sr_stored_result_t - an upstream's answer as the journal stores it. */
typedef struct {
	char *content_type; /* or NULL */
	GBytes *body;	    /* never NULL */
} sr_stored_result_t;

/** sr_stored_request_encode - the caller owns the result. */
GBytes *sr_stored_request_encode(const sr_stored_request_t *request);

/**
 * sr_stored_request_decode - decode bytes into request
 *
 * On success the caller frees the fields with sr_stored_request_clear().
 * Returns SR_ERR_PROTOCOL, with request unchanged, if bytes is NULL or
 * malformed.
 */
sr_err_t sr_stored_request_decode(GBytes *bytes, sr_stored_request_t *request);

/** sr_stored_request_clear - free the fields and set them to NULL. */
void sr_stored_request_clear(sr_stored_request_t *request);

/**
 * sr_stored_result_encode - encode a result
 *
 * content_type may be NULL; size is in bytes. The caller owns the result.
 */
GBytes *sr_stored_result_encode(const char *content_type, const guint8 *body,
				gsize size);

/** sr_stored_result_decode - like sr_stored_request_decode(). */
sr_err_t sr_stored_result_decode(GBytes *bytes, sr_stored_result_t *result);

/** sr_stored_result_clear - free the fields and set them to NULL. */
void sr_stored_result_clear(sr_stored_result_t *result);

#endif
