/*
 * Token streams of engines and prompts of callers. The first byte says into
 * how large pieces the rest is cut: the result must not depend on it.
 */
#include <stddef.h>
#include <stdint.h>

#include "caller/prompt.h"
#include "upstream/token_stream.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

typedef struct {
	sr_err_t err;
	guint64 tokens;
	gboolean done;
	GString *out;
} result_t;

static result_t run(const uint8_t *data, size_t size, size_t piece)
{
	sr_token_stream_t *stream = sr_token_stream_new();
	result_t result = { .err = SR_OK, .out = g_string_new(NULL) };

	for (size_t at = 0; at < size && !result.err; at += piece)
		result.err = sr_token_stream_feed(
			stream, data + at, MIN(piece, size - at), result.out);
	result.tokens = sr_token_stream_tokens(stream);
	result.done = sr_token_stream_is_done(stream);
	sr_token_stream_free(stream);
	return result;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	sr_prompt_t prompt;
	GBytes *body;
	result_t whole;
	result_t parts;

	if (size < 1)
		return 0;
	whole = run(data + 1, size - 1, size);
	parts = run(data + 1, size - 1, (size_t)data[0] + 1);
	g_assert(whole.err == parts.err);
	g_assert(whole.tokens == parts.tokens);
	g_assert(whole.done == parts.done);
	g_assert(g_string_equal(whole.out, parts.out));
	g_string_free(whole.out, TRUE);
	g_string_free(parts.out, TRUE);
	body = g_bytes_new(data, size);
	if (sr_prompt_read(body, &prompt) == SR_OK)
		g_assert(prompt.n_blocks <= SR_PROMPT_MAX_BLOCKS);
	g_bytes_unref(body);
	return 0;
}
