#ifndef SR_BASE_PROCESS_H
#define SR_BASE_PROCESS_H

#include <glib.h>

/** Process setup that the programs share; called once, at the start. */

/**
 * sr_process_raise_file_limit - raise the soft limit of open files to the hard
 * limit
 *
 * Each request needs two connections, so that concurrent requests can exceed
 * the usual soft limits. Failures are ignored.
 */
void sr_process_raise_file_limit(void);

/**
 * sr_process_unblock_output - make standard output non-blocking
 *
 * Output is lost while the reader does not drain a full pipe. Failures are
 * ignored.
 */
void sr_process_unblock_output(void);

/** sr_process_random_seed - random seed for the generators of the process. */
guint64 sr_process_random_seed(void);

#endif
