#ifndef SR_CALLER_PROMPT_H
#define SR_CALLER_PROMPT_H

#include <glib.h>

#include "base/error.h"

/** Bytes of the prompt that each further prefix block adds. */
#define SR_PROMPT_BLOCK 64

/** Most blocks that are looked at. */
#define SR_PROMPT_MAX_BLOCKS 256

/** sr_prompt_t - what routing needs to know of a model request. */
typedef struct {
	guint64 blocks[SR_PROMPT_MAX_BLOCKS]; /* shortest prefix first */
	unsigned n_blocks;
	unsigned prompt_tokens; /* estimate */
	unsigned max_tokens;	/* 0 if the request names none */
} sr_prompt_t;

/**
 * sr_prompt_read - read the body of a model request
 *
 * Returns SR_ERR_INVALID if it is not a JSON object within the depth limit.
 * One without a prompt has no blocks.
 */
sr_err_t sr_prompt_read(GBytes *body, sr_prompt_t *prompt);

#endif
