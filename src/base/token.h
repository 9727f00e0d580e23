#ifndef SR_BASE_TOKEN_H
#define SR_BASE_TOKEN_H

#include <glib.h>

/** Longest bearer token that is looked at, in bytes. */
#define SR_TOKEN_MAX 512

/** sr_token_hash - lower-case hex SHA-256 of a token; caller frees. */
char *sr_token_hash(const char *token);

/**
 * sr_token_of_header - the token of an Authorization header
 *
 * Returns a pointer into header, or NULL if header is NULL, is not of the
 * Bearer scheme, or holds an empty or overlong token.
 */
const char *sr_token_of_header(const char *header);

#endif
