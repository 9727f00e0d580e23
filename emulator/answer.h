#ifndef SR_EMULATOR_ANSWER_H
#define SR_EMULATOR_ANSWER_H

#include <glib.h>
#include <xxhash.h>

/**
 * The seeded answer of the model engines: token i of the answer to a request
 * body is a function of the body and i alone, so that any reader can check a
 * whole answer.
 */

/** Size of a token's text with its terminator, in bytes. */
#define SR_EMU_TOKEN_SIZE 16

/** sr_emu_answer_hash - what the tokens of an answer follow from. */
static inline guint64 sr_emu_answer_hash(const void *body, gsize size)
{
	return XXH64(body, size, 0);
}

/** sr_emu_answer_token - text of the token at an offset; lower-case hex. */
static inline void sr_emu_answer_token(guint64 hash, unsigned offset,
				       char text[SR_EMU_TOKEN_SIZE])
{
	guint64 word = XXH64(&hash, sizeof(hash), (guint64)offset + 1);

	g_snprintf(text, SR_EMU_TOKEN_SIZE, "%08x", (guint)(word >> 32));
}

#endif
