#include "base/token.h"

#include <string.h>

#define BEARER_PREFIX "Bearer "

char *sr_token_hash(const char *token)
{
	return g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
}

const char *sr_token_from_header(const char *header)
{
	const char *token;
	size_t size;

	if (!header ||
	    g_ascii_strncasecmp(header, BEARER_PREFIX, strlen(BEARER_PREFIX)))
		return NULL;
	token = header + strlen(BEARER_PREFIX);
	size = strlen(token);
	return size > 0 && size <= SR_TOKEN_MAX_BYTES ? token : NULL;
}
