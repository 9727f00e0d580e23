#ifndef SR_CTL_FILES_H
#define SR_CTL_FILES_H

#include <glib.h>

/**
 * sr_files_join - one configuration from one or more files
 *
 * The arrays of same-named sections are joined in the order of the files.
 * "-" is standard input. A single file is returned as it stands, comments
 * included. Returns NULL after printing what is wrong, in which file.
 */
GBytes *sr_files_join(const char *const *names, int n);

/** sr_files_check - validate offline; prints all findings; FALSE if any. */
gboolean sr_files_check(GBytes *text);

#endif
