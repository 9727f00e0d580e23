#ifndef SR_CORE_ROUTING_H
#define SR_CORE_ROUTING_H

#include <glib.h>

#include "core/prefix_index.h"
#include "core/upstreams.h"

/**
 * Selects the upstream with the lowest expected cost, in seconds, for
 * a request. The candidates are a few random upstreams and those that have
 * a prefix of the prompt in their cache.
 */

/** sr_routing_t - what a selection depends on; all pointers are borrowed. */
typedef struct {
	const sr_upstreams_t *upstreams;
	const sr_prefix_index_t *index;
	GRand *random;
	const char *failure_domain; /* of this entry host */
} sr_routing_t;

/** sr_routing_request_t - the request; all pointers are borrowed. */
typedef struct {
	const guint64 *blocks; /* hashes of prompt prefixes, shortest first */
	unsigned n_blocks;
	unsigned prompt_tokens;
	unsigned max_tokens; /* upper estimate of generated tokens */
	sr_usec_t deadline;  /* absolute */
	double headroom;     /* fraction of the limits that it may fill */
	gboolean guarantee_one_slot; /* each upstream may take at least one */
	const guint32 *tried;	     /* ids of upstreams to exclude */
	unsigned n_tried;
} sr_routing_request_t;

/** sr_routing_result_t - whether an upstream was selected, or why not. */
typedef enum {
	SR_ROUTING_FOUND,
	SR_ROUTING_NO_UPSTREAM, /* none is usable */
	SR_ROUTING_BUSY,	/* none may take another request */
	SR_ROUTING_TOO_LATE,	/* none is expected to meet the deadline */
} sr_routing_result_t;

/** sr_routing_choice_t - the selected upstream. */
typedef struct {
	sr_upstream_t *upstream;  /* borrowed; NULL if none was selected */
	unsigned uncached_tokens; /* prompt tokens not in its cache */
	double occupancy;	  /* fraction of its limit that is in use */
} sr_routing_choice_t;

/** sr_routing_choose - select an upstream; choice is valid only with
 * SR_ROUTING_FOUND. */
sr_routing_result_t sr_routing_choose(const sr_routing_t *routing,
				      sr_service_group_t *service,
				      const sr_routing_request_t *request,
				      sr_usec_t now,
				      sr_routing_choice_t *choice);

#endif
