#ifndef SR_BASE_PROCESS_H
#define SR_BASE_PROCESS_H

#include <glib.h>

/** What the programs of the project do to their own process at the start. */

/** sr_process_raise_file_limit - to the hard limit: a request needs two
 * connections, more than most soft limits allow for. */
void sr_process_raise_file_limit(void);

/** sr_process_unblock_output - writing to standard output never waits; what a
 * reader that stands still leaves no room for is lost. */
void sr_process_unblock_output(void);

/** sr_process_draw_seed - of all random choices of the process. */
guint64 sr_process_draw_seed(void);

#endif
