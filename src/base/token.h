#ifndef SR_BASE_TOKEN_H
#define SR_BASE_TOKEN_H

#include <glib.h>

/** Longest bearer token that is accepted, in bytes. */
#define SR_TOKEN_MAX_BYTES 512

/** sr_token_hash - SHA-256 of a token in lower-case hex; caller frees. */
char *sr_token_hash(const char *token);

/**
 * sr_token_from_header - the bearer token in an Authorization header
 *
 * Returns a pointer into header, or NULL if header is NULL, is not of the
 * Bearer scheme, or has an empty or overlong token.
 */
const char *sr_token_from_header(const char *header);

#endif
