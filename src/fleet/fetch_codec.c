#include "fleet/fetch_codec.h"

#include <string.h>
#include <xxhash.h>
#include <zstd.h>

/** Prefix of keys: "packed/BASE/KEY", BASE in hexadecimal. */
#define KEY_PREFIX "packed/"

/** The lowest level: the higher ones save little on tables. */
#define LEVEL 1

/** Base 2 logarithm of the window; it has to span a base and a value. */
#define WINDOW_LOG 24

/** First byte of an encoded value. */
typedef enum {
	FORM_NONE = 'N',       /* there is no value */
	FORM_WHOLE = 'W',      /* a frame */
	FORM_DIFFERENCE = 'D', /* a frame that needs the base */
} form_t;

guint64 sr_fetch_codec_id(GBytes *base)
{
	gsize size;
	const void *data = base ? g_bytes_get_data(base, &size) : NULL;

	return data ? XXH64(data, size, 0) : 0;
}

char *sr_fetch_codec_make_key(const char *key, guint64 base_id)
{
	return g_strdup_printf(KEY_PREFIX "%" G_GINT64_MODIFIER "x/%s", base_id,
			       key);
}

gboolean sr_fetch_codec_parse_key(const char *text, guint64 *base_id,
				  const char **key)
{
	char **parts;
	gboolean ok;

	if (!g_str_has_prefix(text, KEY_PREFIX))
		return FALSE;
	parts = g_strsplit(text + strlen(KEY_PREFIX), "/", 2);
	ok = g_strv_length(parts) == 2 &&
	     g_ascii_string_to_unsigned(parts[0], 16, 0, G_MAXUINT64, base_id,
					NULL);
	if (ok)
		*key = text + strlen(KEY_PREFIX) + strlen(parts[0]) + 1;
	g_strfreev(parts);
	return ok;
}

static void set_base(ZSTD_CCtx *context, GBytes *base)
{
	gsize size;
	const void *data = g_bytes_get_data(base, &size);

	ZSTD_CCtx_refPrefix(context, data, size);
}

GBytes *sr_fetch_codec_encode(GBytes *value, GBytes *base)
{
	static const guint8 none = FORM_NONE;
	ZSTD_CCtx *context;
	const void *data;
	guint8 *out;
	gsize size;
	gsize out_size;
	gsize written;

	if (!value || g_bytes_get_size(value) > SR_FETCH_VALUE_MAX)
		return g_bytes_new_static(&none, 1);
	data = g_bytes_get_data(value, &size);
	out_size = ZSTD_compressBound(size);
	out = g_malloc(1 + out_size);
	out[0] = base ? FORM_DIFFERENCE : FORM_WHOLE;
	context = ZSTD_createCCtx();
	ZSTD_CCtx_setParameter(context, ZSTD_c_compressionLevel, LEVEL);
	ZSTD_CCtx_setParameter(context, ZSTD_c_windowLog, WINDOW_LOG);
	ZSTD_CCtx_setParameter(context, ZSTD_c_checksumFlag, 1);
	if (base)
		set_base(context, base);
	written = ZSTD_compress2(context, out + 1, out_size, data, size);
	ZSTD_freeCCtx(context);
	g_assert(!ZSTD_isError(written));
	return g_bytes_new_take(g_realloc(out, 1 + written), 1 + written);
}

/* Returns NULL if the frame can't be read. */
static GBytes *read_frame(const guint8 *frame, gsize size, GBytes *base)
{
	unsigned long long value_size = ZSTD_getFrameContentSize(frame, size);
	gsize base_size = 0;
	const void *base_data =
		base ? g_bytes_get_data(base, &base_size) : NULL;
	ZSTD_DCtx *context;
	guint8 *value;
	gsize read;

	if (value_size > SR_FETCH_VALUE_MAX) /* or one of the error codes */
		return NULL;
	value = g_malloc(MAX(value_size, 1));
	context = ZSTD_createDCtx();
	if (base)
		ZSTD_DCtx_refPrefix(context, base_data, base_size);
	read = ZSTD_decompressDCtx(context, value, value_size, frame, size);
	ZSTD_freeDCtx(context);
	if (read == value_size)
		return g_bytes_new_take(value, value_size);
	g_free(value);
	return NULL;
}

gboolean sr_fetch_codec_decode(GBytes *encoded, GBytes *base, GBytes **value)
{
	gsize size;
	const guint8 *data = g_bytes_get_data(encoded, &size);

	*value = NULL;
	if (size == 0)
		return FALSE;
	switch ((form_t)data[0]) {
	case FORM_NONE:
		return TRUE;
	case FORM_WHOLE:
		*value = read_frame(data + 1, size - 1, NULL);
		return *value != NULL;
	case FORM_DIFFERENCE:
		if (base)
			*value = read_frame(data + 1, size - 1, base);
		return *value != NULL;
	}
	return FALSE;
}
