#ifndef SR_CORE_CHANGE_LOG_H
#define SR_CORE_CHANGE_LOG_H

#include <glib.h>

/**
 * sr_change_log_t - the latest changes of an object feed, by revision
 *
 * Each entry leads from one revision of the store to a later one. Entries are
 * contiguous; one that doesn't follow the last clears the log. The oldest ones
 * are dropped beyond a limit of size, so that a reader that is too far behind
 * has to read the whole state instead.
 */
typedef struct sr_change_log sr_change_log_t;

/** sr_change_log_new - size_max limits the sum of the entries, in bytes; the
 * caller owns the result. */
sr_change_log_t *sr_change_log_new(gsize size_max);

/** sr_change_log_free - log may be NULL. */
void sr_change_log_free(sr_change_log_t *log);

/** sr_change_log_clear - forget all entries; from is the revision that the next
 * one has to start at. */
void sr_change_log_clear(sr_change_log_t *log, guint64 from);

/** sr_change_log_append - add an entry without newlines; text is copied. */
void sr_change_log_append(sr_change_log_t *log, guint64 from, guint64 to,
			  const char *text);

/** sr_change_log_since - the entries after a revision, one per line, empty if
 * there are none; NULL if some of them are not known. The caller unrefs it. */
GBytes *sr_change_log_since(const sr_change_log_t *log, guint64 revision);

#endif
