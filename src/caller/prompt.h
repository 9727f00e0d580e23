#ifndef SR_CALLER_PROMPT_H
#define SR_CALLER_PROMPT_H

#include <glib.h>

#include "base/error.h"

/** SR_PROMPT_BLOCK_SIZE - size of a block of the prompt, in bytes. */
#define SR_PROMPT_BLOCK_SIZE 64

/** SR_PROMPT_MAX_BLOCKS - number of blocks that are hashed at most. */
#define SR_PROMPT_MAX_BLOCKS 256

/** sr_prompt_t - parts of a model request that the dispatcher uses. */
typedef struct {
	guint64 blocks[SR_PROMPT_MAX_BLOCKS]; /* hashes of prefixes, shortest
						 first */
	unsigned n_blocks;
	unsigned prompt_tokens; /* estimate */
	unsigned max_tokens;	/* 0 if the request has none */
} sr_prompt_t;

/**
 * sr_prompt_read - parse the body of a model request
 *
 * Returns SR_ERR_INVALID if the body is not a JSON object or exceeds the depth
 * limit. An object without a prompt gives no blocks.
 */
sr_err_t sr_prompt_read(GBytes *body, sr_prompt_t *prompt);

#endif
