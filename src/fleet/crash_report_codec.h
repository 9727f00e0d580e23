#ifndef SR_FLEET_CRASH_REPORT_CODEC_H
#define SR_FLEET_CRASH_REPORT_CODEC_H

#include <glib.h>

#include "core/crash_suspects.h"

/**
 * Encoding of the reports on instances that ended, as gossiped among the hosts:
 * the instance, and for each request a byte with the number of its parts and,
 * in the highest bit, whether its response had begun, its own fingerprint and
 * those of the parts; numbers of 8 bytes in network order.
 */

/**
 * sr_crash_report_encode - encode requests of a report from a first one on
 *
 * Encodes as many requests as fit into max_size bytes, at least 8 + 9 + 8 *
 * SR_REQUEST_PRINT_PARTS, and sets n_encoded to their number.
 */
GBytes *sr_crash_report_encode(const sr_crash_report_t *report, unsigned first,
			       gsize max_size, unsigned *n_encoded);

/**
 * sr_crash_report_decode - decode the instance and its requests
 *
 * Appends the requests, of sr_crash_request_t, to an array. Returns FALSE if
 * the data is malformed; the array then has the requests before the fault.
 */
gboolean sr_crash_report_decode(const guint8 *data, gsize size,
				guint64 *instance, GArray *requests);

#endif
