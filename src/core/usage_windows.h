#ifndef SR_CORE_USAGE_WINDOWS_H
#define SR_CORE_USAGE_WINDOWS_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_usage_windows_t - number of started requests per client account, window
 * of wall-clock time and entry host
 *
 * Window k begins k times its length after the Unix epoch. The counts of a
 * host and window only grow. Each host sends its own to the others; the last
 * counts received from a host are kept when it is gone.
 *
 * The name of a host is "NODE@INCARNATION", the incarnation being the Unix time
 * of its start in milliseconds. Strings are copied.
 */
typedef struct sr_usage_windows sr_usage_windows_t;

/** Number of windows that are kept. */
#define SR_USAGE_WINDOWS_KEPT 8

/** sr_usage_windows_new - node is the name of this host; the caller owns the
 * result. */
sr_usage_windows_t *sr_usage_windows_new(const char *node, sr_usec_t length);

/** sr_usage_windows_free - usage may be NULL. */
void sr_usage_windows_free(sr_usage_windows_t *usage);

/** sr_usage_windows_at - number of the window at a time in Unix
 * milliseconds. */
guint64 sr_usage_windows_at(const sr_usage_windows_t *usage, gint64 unix_ms);

/** sr_usage_windows_count - count a request of the account that started on
 * this host; ignored if the window is no longer kept. */
void sr_usage_windows_count(sr_usage_windows_t *usage, gint64 unix_ms,
			    const char *account);

/**
 * sr_usage_windows_encode_own - this host's counts of a window, as sent to
 * other hosts
 *
 * The text has a line "account=count" for each account. Returns the sum of the
 * counts, 0 if there are none; the caller frees text.
 */
guint64 sr_usage_windows_encode_own(const sr_usage_windows_t *usage,
				    guint64 window, char **text);

/**
 * sr_usage_windows_foreach_peer - call fn with the counts of a window of each
 * host except this one
 *
 * The text is in the format of sr_usage_windows_encode_own(), and valid during
 * the call.
 */
void sr_usage_windows_foreach_peer(
	const sr_usage_windows_t *usage, guint64 window,
	void (*fn)(void *user, const char *node, const char *text), void *user);

/**
 * sr_usage_windows_foreach_cohort - call fn with the sums over the hosts that
 * started together
 *
 * Hosts that started before the window are one cohort, with start_s 0, and so
 * are those of each later second. A sum only grows as long as the counts of all
 * hosts of its cohort are known. text is as in
 * sr_usage_windows_foreach_peer().
 */
void sr_usage_windows_foreach_cohort(
	const sr_usage_windows_t *usage, guint64 window,
	void (*fn)(void *user, gint64 start_s, const char *text), void *user);

/**
 * sr_usage_windows_receive - merge counts of a window from another host
 *
 * Each count is raised to the one received if that is higher, so that counts
 * may arrive in parts, again or out of order. Ignored if they are of this host
 * or if the window is no longer kept. Malformed lines are skipped.
 */
void sr_usage_windows_receive(sr_usage_windows_t *usage, const char *node,
			      guint64 window, const char *text, gsize size);

/**
 * sr_usage_windows_save - append the counts of all windows from first on
 *
 * One line per window and host: "+WINDOW HOST account=count ...", the accounts
 * escaped as in a URI.
 */
void sr_usage_windows_save(const sr_usage_windows_t *usage, guint64 first,
			   GString *out);

/** sr_usage_windows_restore - merge a line of sr_usage_windows_save(), under
 * the rules of sr_usage_windows_receive(). */
void sr_usage_windows_restore(sr_usage_windows_t *usage, const char *line);

/**
 * sr_usage_windows_total - counts of a window over all hosts
 *
 * Returns a table account -> guint64 *, empty if nothing was counted; the
 * caller unrefs it.
 */
GHashTable *sr_usage_windows_total(const sr_usage_windows_t *usage,
				   guint64 window);

#endif
