#ifndef SR_CTL_FILES_H
#define SR_CTL_FILES_H

#include <glib.h>

/**
 * sr_config_files_join - read a configuration from one or more files
 *
 * Arrays of the same section are concatenated in the order of the files; of
 * other members the last one is kept. The name "-" is standard input. The text
 * of a single file is returned unchanged, with its comments. Returns a new
 * reference, or NULL after printing each error with the name of its file.
 */
GBytes *sr_config_files_join(const char *const *names, int n);

/**
 * sr_config_text_check - validate a configuration without a daemon
 *
 * Prints the findings and returns FALSE if the configuration is invalid.
 */
gboolean sr_config_text_check(GBytes *text);

#endif
