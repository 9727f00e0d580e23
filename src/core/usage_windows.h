#ifndef SR_CORE_USAGE_WINDOWS_H
#define SR_CORE_USAGE_WINDOWS_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_usage_windows_t - requests of each client account that began to run, by
 * window of the wall clock, on all entry hosts
 *
 * Window k begins k times its length after the start of 1970. Counters of a
 * host and window only grow and are told to the others; a host that is gone
 * keeps what it last told.
 */
typedef struct sr_usage_windows sr_usage_windows_t;

/** Windows that are kept. */
#define SR_USAGE_WINDOWS_KEPT 8

sr_usage_windows_t *sr_usage_windows_new(const char *node, sr_usec_t length);
void sr_usage_windows_free(sr_usage_windows_t *usage);

/** sr_usage_windows_at - the window of a moment in Unix milliseconds. */
guint64 sr_usage_windows_at(const sr_usage_windows_t *usage, gint64 unix_ms);

/** sr_usage_windows_count - a request of the account began to run. */
void sr_usage_windows_count(sr_usage_windows_t *usage, gint64 unix_ms,
			    const char *account);

/**
 * sr_usage_windows_text - this host's counts of a window, to be told
 *
 * Returns their sum, 0 if there are none; caller frees text.
 */
guint64 sr_usage_windows_text(const sr_usage_windows_t *usage, guint64 window,
			      char **text);

/**
 * sr_usage_windows_each - the counts of a window by host, this one left out
 *
 * The text is as that of sr_usage_windows_text(); borrowed by the callback.
 */
void sr_usage_windows_each(const sr_usage_windows_t *usage, guint64 window,
			   void (*fn)(void *user, const char *node,
				      const char *text),
			   void *user);

/** sr_usage_windows_heard - malformed or older counts change nothing. */
void sr_usage_windows_heard(sr_usage_windows_t *usage, const char *node,
			    guint64 window, const char *text, gsize size);

/**
 * sr_usage_windows_save - append what is known of the windows from first on
 *
 * One line for each window and host: "+WINDOW HOST account=count ...", the
 * accounts escaped as in a URI.
 */
void sr_usage_windows_save(const sr_usage_windows_t *usage, guint64 first,
			   GString *out);

/** sr_usage_windows_restore - take over a line of sr_usage_windows_save(); as
 * with sr_usage_windows_heard() counts only grow. */
void sr_usage_windows_restore(sr_usage_windows_t *usage, const char *line);

/**
 * sr_usage_windows_total - account -> guint64 * over all hosts
 *
 * Empty if there was nothing; caller unrefs.
 */
GHashTable *sr_usage_windows_total(const sr_usage_windows_t *usage,
				   guint64 window);

#endif
