#include "upstream/token_stream.h"

#include <json-c/json.h>
#include <string.h>

#include "upstream/sse.h"

/** Maximum nesting depth of the JSON in an event. */
#define MAX_JSON_DEPTH 8

struct sr_token_stream {
	sr_sse_t *sse;
	json_tokener *tokener;
	GString *out;	     /* set during sr_token_stream_feed() only */
	guint64 next_offset; /* also the number of tokens forwarded */
	gboolean done;	     /* the "done" event was forwarded */
	char *detail;	     /* the first error, or NULL */
};

sr_token_stream_t *sr_token_stream_new(void)
{
	sr_token_stream_t *stream = g_new0(sr_token_stream_t, 1);

	stream->sse = sr_sse_new();
	stream->tokener = json_tokener_new_ex(MAX_JSON_DEPTH);
	return stream;
}

void sr_token_stream_free(sr_token_stream_t *stream)
{
	if (!stream)
		return;
	sr_sse_free(stream->sse);
	json_tokener_free(stream->tokener);
	g_free(stream->detail);
	g_free(stream);
}

/* Records the first error only. */
static sr_err_t fail(sr_token_stream_t *stream, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static sr_err_t fail(sr_token_stream_t *stream, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	if (!stream->detail)
		stream->detail = g_strdup_vprintf(format, args);
	va_end(args);
	return SR_ERR_PROTOCOL;
}

/* Returns FALSE if the member is not an integer of 0 or more. */
static gboolean get_count(json_object *value, const char *key, guint64 *count)
{
	json_object *member = NULL;

	if (!json_object_is_type(value, json_type_object) ||
	    !json_object_object_get_ex(value, key, &member) ||
	    !json_object_is_type(member, json_type_int) ||
	    json_object_get_int64(member) < 0)
		return FALSE;
	*count = (guint64)json_object_get_int64(member);
	return TRUE;
}

static gboolean parse_count(sr_token_stream_t *stream, const char *text,
			    const char *key, guint64 *count)
{
	json_object *value;
	gboolean found;

	json_tokener_reset(stream->tokener);
	value = json_tokener_parse_ex(stream->tokener, text, -1);
	found = value && get_count(value, key, count);
	json_object_put(value);
	return found;
}

static sr_err_t check_token(sr_token_stream_t *stream,
			    const sr_sse_event_t *event)
{
	guint64 offset = 0;

	if (!parse_count(stream, event->data, "offset", &offset))
		return fail(stream, "an event has no valid token offset");
	if (offset != stream->next_offset)
		return fail(stream,
			    "received token offset %" G_GUINT64_FORMAT
			    ", expected %" G_GUINT64_FORMAT,
			    offset, stream->next_offset);
	stream->next_offset++;
	return SR_OK;
}

static sr_err_t check_done(sr_token_stream_t *stream,
			   const sr_sse_event_t *event)
{
	guint64 tokens = 0;

	if (!parse_count(stream, event->data, "tokens", &tokens))
		return fail(stream,
			    "the done event has no valid number of tokens");
	if (tokens != stream->next_offset)
		return fail(
			stream,
			"received %" G_GUINT64_FORMAT
			" tokens, but the done event states %" G_GUINT64_FORMAT,
			stream->next_offset, tokens);
	stream->done = TRUE;
	return SR_OK;
}

static sr_err_t on_event(void *user, const sr_sse_event_t *event)
{
	sr_token_stream_t *stream = user;
	sr_err_t err;

	if (stream->done)
		return fail(stream, "received an event after the done event");
	if (!strcmp(event->name, "message"))
		err = check_token(stream, event);
	else if (!strcmp(event->name, "done"))
		err = check_done(stream, event);
	else /* concerns this attempt only, such as "cancelled" */
		return SR_OK;
	if (!err)
		g_string_append_len(stream->out, event->raw,
				    (gssize)event->raw_size);
	return err;
}

sr_err_t sr_token_stream_feed(sr_token_stream_t *stream, const guint8 *data,
			      gsize size, GString *out)
{
	sr_err_t err;

	if (stream->detail)
		return SR_ERR_PROTOCOL;
	stream->out = out;
	err = sr_sse_feed(stream->sse, data, size, on_event, stream);
	stream->out = NULL;
	/* an error from on_event() has been recorded already */
	if (err)
		return fail(stream, "an event exceeds the size limit");
	return SR_OK;
}

void sr_token_stream_restart(sr_token_stream_t *stream)
{
	sr_sse_reset(stream->sse);
}

guint64 sr_token_stream_tokens(const sr_token_stream_t *stream)
{
	return stream->next_offset;
}

gboolean sr_token_stream_is_done(const sr_token_stream_t *stream)
{
	return stream->done;
}

const char *sr_token_stream_detail(const sr_token_stream_t *stream)
{
	return stream->detail;
}
