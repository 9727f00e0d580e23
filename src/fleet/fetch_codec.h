#ifndef SR_FLEET_FETCH_CODEC_H
#define SR_FLEET_FETCH_CODEC_H

#include <glib.h>

/**
 * How a value that one host fetches from another is sent.
 *
 * The host that fetches names a base that it holds, a table that it has or had
 * in force. If the other host holds it too, the value is compressed as its
 * difference from the base, or else by itself: what is sent then grows with
 * what has changed, not with the size of the table.
 *
 * A build that doesn't know the keys made here has no value under them.
 */

/** Largest value, in bytes. */
#define SR_FETCH_VALUE_MAX (16 * 1024 * 1024)

/** sr_fetch_codec_id - what names a base; 0 for NULL. */
guint64 sr_fetch_codec_id(GBytes *base);

/** sr_fetch_codec_make_key - the key to fetch the value of a plain key by;
 * freed by the caller. */
char *sr_fetch_codec_make_key(const char *key, guint64 base_id);

/** sr_fetch_codec_parse_key - the reverse; FALSE if the text is a plain key.
 * The key is borrowed from the text. */
gboolean sr_fetch_codec_parse_key(const char *text, guint64 *base_id,
				  const char **key);

/** sr_fetch_codec_encode - value and base may be NULL. The caller unrefs the
 * result. */
GBytes *sr_fetch_codec_encode(GBytes *value, GBytes *base);

/**
 * sr_fetch_codec_decode - the value, which the caller unrefs; NULL if there is
 * none
 *
 * FALSE if the bytes are damaged, too large, or need another base.
 */
gboolean sr_fetch_codec_decode(GBytes *encoded, GBytes *base, GBytes **value);

#endif
