#ifndef SR_EMULATOR_ANSWER_H
#define SR_EMULATOR_ANSWER_H

#include <glib.h>
#include <xxhash.h>

/**
 * The deterministic answer of the emulated engines: token i of the answer to a
 * request is a function of the request body and i alone. A client can therefore
 * check every token, also if several engines generated the answer.
 */

/** Size of a token's text, in bytes, with the terminating NUL. */
#define SR_EMU_TOKEN_SIZE 16

/** sr_emu_answer_hash - seed of the answer to a request body. */
static inline guint64 sr_emu_answer_hash(const void *body, gsize size)
{
	return XXH64(body, size, 0);
}

/**
 * sr_emu_answer_token - write the token at an offset
 *
 * The text is eight lower-case hexadecimal digits.
 */
static inline void sr_emu_answer_token(guint64 hash, unsigned offset,
				       char text[SR_EMU_TOKEN_SIZE])
{
	guint64 word = XXH64(&hash, sizeof(hash), (guint64)offset + 1);

	g_snprintf(text, SR_EMU_TOKEN_SIZE, "%08x", (guint)(word >> 32));
}

#endif
