/*
 * Fuzzes the parsers of token streams and prompts. The first byte of the input
 * is the size of the chunks, less 1, in which the rest is fed to the token
 * stream; the result must not depend on it.
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

static result_t run(const uint8_t *data, size_t size, size_t chunk_size)
{
	sr_token_stream_t *stream = sr_token_stream_new();
	result_t result = { .err = SR_OK, .out = g_string_new(NULL) };

	for (size_t at = 0; at < size && !result.err; at += chunk_size)
		result.err = sr_token_stream_feed(stream, data + at,
						  MIN(chunk_size, size - at),
						  result.out);
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
	result_t chunked;

	if (size < 1)
		return 0;
	whole = run(data + 1, size - 1, size);
	chunked = run(data + 1, size - 1, (size_t)data[0] + 1);
	g_assert(whole.err == chunked.err);
	g_assert(whole.tokens == chunked.tokens);
	g_assert(whole.done == chunked.done);
	g_assert(g_string_equal(whole.out, chunked.out));
	g_string_free(whole.out, TRUE);
	g_string_free(chunked.out, TRUE);
	body = g_bytes_new(data, size);
	if (sr_prompt_read(body, &prompt) == SR_OK)
		g_assert(prompt.n_blocks <= SR_PROMPT_MAX_BLOCKS);
	g_bytes_unref(body);
	return 0;
}
