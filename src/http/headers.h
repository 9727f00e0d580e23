#ifndef SR_HTTP_HEADERS_H
#define SR_HTTP_HEADERS_H

#include <glib.h>

/**
 * sr_headers_t - the header fields of one message, in their order
 *
 * Names compare without regard to case. Names and values are copied.
 */
typedef struct sr_headers sr_headers_t;

typedef struct {
	const char *name;
	const char *value;
} sr_header_t;

sr_headers_t *sr_headers_new(void);
void sr_headers_free(sr_headers_t *headers);

void sr_headers_add(sr_headers_t *headers, const char *name, const char *value);

/** sr_headers_get - the first field of that name, or NULL. */
const char *sr_headers_get(const sr_headers_t *headers, const char *name);

/** sr_headers_count - fields of that name. */
unsigned sr_headers_count(const sr_headers_t *headers, const char *name);

unsigned sr_headers_size(const sr_headers_t *headers);
sr_header_t sr_headers_at(const sr_headers_t *headers, unsigned i);

/**
 * sr_headers_has_token - is the token in the comma separated values of a name?
 */
gboolean sr_headers_has_token(const sr_headers_t *headers, const char *name,
			      const char *token);

/**
 * sr_headers_is_hop_by_hop - does a field concern one connection only?
 *
 * Those are the fields that RFC 9110 names and those that the message itself
 * lists under Connection.
 */
gboolean sr_headers_is_hop_by_hop(const sr_headers_t *headers,
				  const char *name);

#endif
