#ifndef SR_DAEMON_POSTING_CODEC_H
#define SR_DAEMON_POSTING_CODEC_H

#include <glib.h>

#include "base/error.h"

/**
 * The requests and results that the journal keeps without looking at them.
 *
 * A request holds what decides whether two submissions are the same, and no
 * more: the journal compares its hash. Coded as GVariants in normal form.
 */
typedef struct {
	char *service;
	char *route;
	char *method;
	char *path;
	char *content_type; /* or NULL */
	GBytes *body;	    /* never NULL */
} sr_stored_request_t;

typedef struct {
	char *content_type; /* or NULL */
	GBytes *body;	    /* never NULL */
} sr_stored_result_t;

GBytes *sr_stored_request_encode(const sr_stored_request_t *request);

/** sr_stored_request_decode - fills request; SR_ERR_PROTOCOL if malformed. */
sr_err_t sr_stored_request_decode(GBytes *bytes, sr_stored_request_t *request);
void sr_stored_request_clear(sr_stored_request_t *request);

GBytes *sr_stored_result_encode(const char *content_type, const guint8 *body,
				gsize size);
sr_err_t sr_stored_result_decode(GBytes *bytes, sr_stored_result_t *result);
void sr_stored_result_clear(sr_stored_result_t *result);

#endif
