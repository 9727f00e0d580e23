#ifndef SR_HTTP_HEADERS_H
#define SR_HTTP_HEADERS_H

#include <glib.h>

/**
 * sr_headers_t - header fields of one message, in order of arrival
 *
 * Names are compared case-insensitively. Names and values are copied.
 */
typedef struct sr_headers sr_headers_t;

typedef struct {
	const char *name;
	const char *value;
} sr_header_t;

sr_headers_t *sr_headers_new(void);
void sr_headers_free(sr_headers_t *headers);

void sr_headers_add(sr_headers_t *headers, const char *name, const char *value);

/** sr_headers_get - value of the first field of that name, borrowed; NULL if
 * there is none. */
const char *sr_headers_get(const sr_headers_t *headers, const char *name);

/** sr_headers_count - number of fields of that name. */
unsigned sr_headers_count(const sr_headers_t *headers, const char *name);

/** sr_headers_size - number of all fields. */
unsigned sr_headers_size(const sr_headers_t *headers);
/** sr_headers_at - field by index below sr_headers_size(); borrowed. */
sr_header_t sr_headers_at(const sr_headers_t *headers, unsigned i);

/**
 * sr_headers_is_hop_by_hop - TRUE for a field that must not be forwarded
 *
 * These are the connection-specific fields of RFC 9110 and those that the
 * message lists in its Connection field.
 */
gboolean sr_headers_is_hop_by_hop(const sr_headers_t *headers,
				  const char *name);

#endif
