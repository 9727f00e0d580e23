#ifndef SR_CORE_PLACEMENT_H
#define SR_CORE_PLACEMENT_H

#include <glib.h>

#include "base/clock.h"
#include "core/instances.h"
#include "core/prefix_index.h"

/**
 * Selects the instance with the lowest cost for a gateway request: the expected
 * time to the first event, and the engine time that the prompt takes from the
 * requests of others.
 *
 * The expected time is the sum of the wait for a slot, the processing of the
 * prompt tokens that are queued at the instance, and the processing of those
 * tokens of this prompt that are not in its cache.
 *
 * Each prompt has a home instance, found by rendezvous hashing of its shared
 * prefix, so that entry hosts agree on where the prefix is cached without
 * knowing each other's requests. Another instance is selected if the queue at
 * the home costs more than processing the prompt elsewhere: first the second
 * home, so that a hot prefix isn't read anew everywhere.
 *
 * The load of other hosts is known a moment late. Many hosts that all select
 * the least loaded instance send it more within that moment than it can
 * process, so that they compare a few instances only.
 */

/** sr_prompt_parts_t - prompt of a request; all zero for plain requests. */
typedef struct {
	guint64 *blocks;   /* for each part, the id of the prefix it ends */
	guint64 *parts;	   /* for each part, its id whatever precedes it */
	guint32 *tokens;   /* number of tokens of each part */
	unsigned n_blocks; /* parts; the last is unique to the request */
	double prompt_tokens;
	double output_tokens; /* upper bound */
	gboolean is_declared; /* the request declared its prompt */
} sr_prompt_parts_t;

/** sr_engine_speed_t - smoothed speed of the instances of a service. */
typedef struct {
	double tokens_per_s; /* prompt processing */
	double base_s;	     /* time to the first event, empty prompt */
	double duration_s;   /* of a whole answer */
	unsigned n_samples;  /* of tokens_per_s */
} sr_engine_speed_t;

/** sr_engine_speed_init - conservative values until there are observations. */
void sr_engine_speed_init(sr_engine_speed_t *speed);

/**
 * sr_engine_speed_add_first_event - record the time to a first event
 *
 * pending_tokens is the number of prompt tokens that the instance had to
 * process when the request was sent, including this prompt.
 */
void sr_engine_speed_add_first_event(sr_engine_speed_t *speed,
				     double pending_tokens, sr_usec_t elapsed);

/** sr_engine_speed_add_duration - record the duration of a whole answer. */
void sr_engine_speed_add_duration(sr_engine_speed_t *speed, sr_usec_t elapsed);

/** sr_placement_t - what a selection depends on; all pointers are borrowed. */
typedef struct {
	const sr_instances_t *instances;
	const sr_prefix_index_t *index;
	const char *failure_domain; /* of this entry host */
} sr_placement_t;

/** sr_placement_versions_t - which versions of a service are candidates. */
typedef enum {
	SR_PLACEMENT_ALL_VERSIONS,
	SR_PLACEMENT_ONLY_VERSION,
	SR_PLACEMENT_OTHER_VERSIONS,
} sr_placement_versions_t;

/** sr_placement_request_t - the request; all pointers are borrowed. */
typedef struct {
	const char *service;
	gboolean is_engine; /* a model engine, not a plain service */
	const sr_prompt_parts_t *prompt;
	const sr_engine_speed_t *speed;
	const guint32 *tried; /* ids of instances to exclude */
	unsigned n_tried;
	double jitter; /* random, 0 to 1; selects among equal instances */
	/* instances that are compared beside the homes of the prompt, at
	 * random; 0 for all */
	unsigned n_sampled;
	sr_placement_versions_t versions;
	const char *version; /* that versions refers to */
	/* instances of the version that are candidates, the same ones on all
	 * hosts; 0 for no limit */
	unsigned max_instances;
} sr_placement_request_t;

/** sr_placement_choice_t - the selected instance and what it is expected to
 * cost. */
typedef struct {
	sr_instance_t *instance; /* borrowed; NULL if there is no candidate */
	double uncached_tokens;
	double wait_s; /* part of first_event_s spent behind earlier requests */
	double first_event_s; /* expected time to the first event */
	/* what is compared: the time, and the engine time taken from others */
	double cost_s;
	double occupancy; /* requests in flight per slot */
} sr_placement_choice_t;

/** sr_placement_exclusion_t - why an instance can't be selected. */
typedef enum {
	SR_PLACEMENT_CANDIDATE,
	SR_PLACEMENT_EJECTED, /* a candidate if no other one is usable */
	SR_PLACEMENT_TRIED,
	SR_PLACEMENT_LEAVING,
	SR_PLACEMENT_EVACUATED,
	SR_PLACEMENT_LIMITED, /* by what it has said of itself */
	SR_PLACEMENT_PACED,
	SR_PLACEMENT_OTHER_VERSION,
} sr_placement_exclusion_t;

/** sr_placement_exclusion_name - for operators; a static string. */
const char *sr_placement_exclusion_name(sr_placement_exclusion_t exclusion);

/** sr_placement_view_t - an instance of the service, as a selection sees it. */
typedef struct {
	sr_placement_exclusion_t exclusion;
	gboolean is_home;	      /* the first one */
	sr_placement_choice_t choice; /* what it would cost */
} sr_placement_view_t;

/** sr_placement_foreach - call fn for each instance of the service; view is
 * valid only during the call. */
void sr_placement_foreach(const sr_placement_t *placement,
			  const sr_placement_request_t *request, sr_usec_t now,
			  void (*fn)(void *user,
				     const sr_placement_view_t *view),
			  void *user);

/**
 * sr_placement_choose - select an instance
 *
 * Ejected instances are candidates only if no other one is usable.
 */
sr_placement_choice_t sr_placement_choose(const sr_placement_t *placement,
					  const sr_placement_request_t *request,
					  sr_usec_t now);

/**
 * sr_placement_observe - record the time to a first event at an instance
 *
 * expected_s is first_event_s of the choice. The time beyond it is attributed
 * to requests of other entry hosts that have not been reported yet.
 */
void sr_placement_observe(sr_instance_t *instance, double expected_s,
			  sr_usec_t elapsed, sr_usec_t now);

/** sr_placement_knows_peers - whether the load of the other entry hosts at the
 * instance is known. */
gboolean sr_placement_knows_peers(const sr_instance_t *instance, sr_usec_t now);

/** sr_placement_in_flight - requests of all entry hosts at the instance. */
double sr_placement_in_flight(const sr_instance_t *instance, sr_usec_t now);

#endif
