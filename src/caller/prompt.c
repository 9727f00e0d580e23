#include "caller/prompt.h"

#include <json-c/json.h>
#include <string.h>
#include <xxhash.h>

#define MAX_JSON_DEPTH 16
/* Average used to estimate the number of prompt tokens. */
#define BYTES_PER_TOKEN 4
/* Larger values of max_tokens are reduced to this. */
#define MAX_TOKENS 1000000

/* Each hash covers the prompt from its start to the end of the block. */
static void hash_blocks(sr_prompt_t *prompt, const char *text, gsize size)
{
	XXH64_state_t *state = XXH64_createState();

	XXH64_reset(state, 0);
	while (size >= SR_PROMPT_BLOCK_SIZE &&
	       prompt->n_blocks < SR_PROMPT_MAX_BLOCKS) {
		XXH64_update(state, text, SR_PROMPT_BLOCK_SIZE);
		prompt->blocks[prompt->n_blocks++] = XXH64_digest(state);
		text += SR_PROMPT_BLOCK_SIZE;
		size -= SR_PROMPT_BLOCK_SIZE;
	}
	XXH64_freeState(state);
}

static void read_fields(json_object *value, sr_prompt_t *prompt)
{
	json_object *member = NULL;

	if (json_object_object_get_ex(value, "prompt", &member) &&
	    json_object_is_type(member, json_type_string)) {
		gsize size = (gsize)json_object_get_string_len(member);

		hash_blocks(prompt, json_object_get_string(member), size);
		prompt->prompt_tokens = (unsigned)(size / BYTES_PER_TOKEN) + 1;
	}
	if (json_object_object_get_ex(value, "max_tokens", &member) &&
	    json_object_is_type(member, json_type_int))
		prompt->max_tokens = (unsigned)CLAMP(
			json_object_get_int64(member), 0, MAX_TOKENS);
}

sr_err_t sr_prompt_read(GBytes *body, sr_prompt_t *prompt)
{
	json_tokener *tokener = json_tokener_new_ex(MAX_JSON_DEPTH);
	gsize size = 0;
	const char *text = g_bytes_get_data(body, &size);
	sr_err_t err = SR_ERR_INVALID;
	json_object *value;

	memset(prompt, 0, sizeof(*prompt));
	value = json_tokener_parse_ex(tokener, text, (int)size);
	if (json_object_is_type(value, json_type_object)) {
		read_fields(value, prompt);
		err = SR_OK;
	}
	json_object_put(value);
	json_tokener_free(tokener);
	return err;
}
