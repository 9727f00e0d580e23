#ifndef SR_CORE_ROUTING_H
#define SR_CORE_ROUTING_H

#include <glib.h>

#include "core/prefix_index.h"
#include "core/upstreams.h"

/**
 * Chooses an upstream for a request: the one with the least expected cost in
 * seconds among a few sampled ones and those that hold the prompt's prefix.
 */

typedef struct {
	const sr_upstreams_t *upstreams;
	const sr_prefix_index_t *index;
	GRand *random;
	const char *failure_domain; /* of this entry host */
} sr_routing_t;

typedef struct {
	const guint64 *blocks;
	unsigned n_blocks;
	unsigned prompt_tokens;
	unsigned max_tokens;
	sr_usec_t deadline;
	double headroom;      /* part of the limits that it may fill */
	gboolean may_be_sole; /* whatever the headroom, one may run alone */
	const guint32 *tried; /* ids that are left out */
	unsigned n_tried;
} sr_routing_request_t;

typedef enum {
	SR_ROUTING_FOUND,
	SR_ROUTING_NO_UPSTREAM, /* none is usable */
	SR_ROUTING_BUSY,	/* no headroom anywhere */
	SR_ROUTING_TOO_LATE,	/* none would meet the deadline */
} sr_routing_result_t;

typedef struct {
	sr_upstream_t *upstream;
	unsigned uncached_tokens;
	double occupancy; /* part of the limit that is in use */
} sr_route_t;

sr_routing_result_t sr_routing_choose(const sr_routing_t *routing,
				      sr_service_group_t *service,
				      const sr_routing_request_t *request,
				      sr_usec_t now, sr_route_t *route);

#endif
