#ifndef SR_EMULATOR_ANSWER_CHECK_H
#define SR_EMULATOR_ANSWER_CHECK_H

#include <glib.h>

/**
 * sr_emu_answer_check_t - compares a token stream, as it comes in, with the
 * seeded answer to its request
 *
 * A token that is wrong, missing, doubled or out of order is found, also when
 * the stream passed through resumes on other engines.
 */
typedef struct sr_emu_answer_check sr_emu_answer_check_t;

/** max_tokens is what the request asks for. */
sr_emu_answer_check_t *sr_emu_answer_check_new(GBytes *request_body,
					       unsigned max_tokens);
void sr_emu_answer_check_free(sr_emu_answer_check_t *check);

/**
 * sr_emu_answer_check_feed - take in bytes of the answer
 *
 * Returns how many tokens were whole in them.
 */
unsigned sr_emu_answer_check_feed(sr_emu_answer_check_t *check,
				  const char *data, gsize size);

/** sr_emu_answer_check_tokens - tokens that came in the right order. */
unsigned sr_emu_answer_check_tokens(const sr_emu_answer_check_t *check);

/** sr_emu_answer_check_is_whole - everything came, and nothing else. */
gboolean sr_emu_answer_check_is_whole(const sr_emu_answer_check_t *check);

/** sr_emu_answer_check_fault - what was wrong first, or NULL; borrowed. */
const char *sr_emu_answer_check_fault(const sr_emu_answer_check_t *check);

#endif
