#ifndef SR_EMULATOR_ANSWER_CHECK_H
#define SR_EMULATOR_ANSWER_CHECK_H

#include <glib.h>

/**
 * sr_emu_answer_check_t - incremental comparison of a token stream with the
 * deterministic answer to its request
 *
 * Detects wrong, missing, duplicate and reordered tokens. A stream that was
 * resumed on another engine must yield the same tokens.
 */
typedef struct sr_emu_answer_check sr_emu_answer_check_t;

/**
 * sr_emu_answer_check_new - create a check; max_tokens as in the request
 *
 * The body is read during the call only.
 */
sr_emu_answer_check_t *sr_emu_answer_check_new(GBytes *request_body,
					       unsigned max_tokens);
void sr_emu_answer_check_free(sr_emu_answer_check_t *check);

/**
 * sr_emu_answer_check_feed - process the next bytes of the answer
 *
 * Returns the number of correct tokens that these bytes completed. Bytes after
 * the first error are ignored.
 */
unsigned sr_emu_answer_check_feed(sr_emu_answer_check_t *check,
				  const char *data, gsize size);

/** sr_emu_answer_check_tokens - number of correct tokens so far. */
unsigned sr_emu_answer_check_tokens(const sr_emu_answer_check_t *check);

/**
 * sr_emu_answer_check_is_complete - whether all tokens and the done event were
 * received, without an error
 */
gboolean sr_emu_answer_check_is_complete(const sr_emu_answer_check_t *check);

/** sr_emu_answer_check_error - the first error, borrowed, or NULL. */
const char *sr_emu_answer_check_error(const sr_emu_answer_check_t *check);

#endif
