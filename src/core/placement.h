#ifndef SR_CORE_PLACEMENT_H
#define SR_CORE_PLACEMENT_H

#include <glib.h>

#include "base/clock.h"
#include "core/instances.h"
#include "core/prefix_index.h"

/**
 * Chooses an instance for a request of the gateway: the one with the least
 * expected time to its first event.
 *
 * The time has three parts: prompt tokens that wait to be read there, tokens
 * of this prompt that are not cached, and the wait for a slot. Each prompt
 * has a home instance, found by rendezvous hashing of its shared prefix, so
 * that entry hosts that know nothing of each other's sends agree on where
 * the prefix is cached. The home is left when its queue costs more than
 * reading the prompt elsewhere.
 */

/** sr_prompt_t - what a request says of its prompt; empty for plain ones. */
typedef struct {
	guint64 *blocks;   /* each identifies all parts up to it */
	guint32 *tokens;   /* of each part */
	unsigned n_blocks; /* the last part belongs to the request itself */
	double prompt_tokens;
	double output_tokens; /* at most */
	gboolean is_stated;
} sr_prompt_t;

/** sr_engine_speed_t - how fast the instances of a service read prompts. */
typedef struct {
	double tokens_per_s;
	double base_s;	   /* to a first event, with an empty prompt */
	double duration_s; /* of a whole answer, smoothed */
} sr_engine_speed_t;

/** sr_engine_speed_init - cautious figures until there are observations. */
void sr_engine_speed_init(sr_engine_speed_t *speed);

/** sr_engine_speed_first - a first event came; unread is what was to be read
 * there when the request was sent, this prompt included. */
void sr_engine_speed_first(sr_engine_speed_t *speed, double unread_tokens,
			   sr_usec_t took);

/** sr_engine_speed_whole - an answer ended. */
void sr_engine_speed_whole(sr_engine_speed_t *speed, sr_usec_t took);

typedef struct {
	const sr_instances_t *instances;
	const sr_prefix_index_t *index;
	const char *failure_domain; /* of this entry host */
} sr_placement_t;

typedef struct {
	const char *service;
	gboolean is_engine;
	const sr_prompt_t *prompt;
	const sr_engine_speed_t *speed;
	const guint32 *tried; /* ids that are left out */
	unsigned n_tried;
	double jitter; /* random, 0 to 1 */
} sr_placement_request_t;

typedef struct {
	sr_instance_t *instance; /* borrowed; NULL if none is usable */
	double uncached_tokens;
	double wait_s;	  /* of it, behind requests that came before */
	double first_s;	  /* expected time to the first event */
	double occupancy; /* requests there over its slots */
} sr_placement_choice_t;

sr_placement_choice_t sr_placement_choose(const sr_placement_t *placement,
					  const sr_placement_request_t *request,
					  sr_usec_t now);

/** sr_placement_observe - a first event came; expected is what the choice
 * said, in s. What it took longer is work that this host doesn't know of. */
void sr_placement_observe(sr_instance_t *instance, double expected_s,
			  sr_usec_t took, sr_usec_t now);

/** sr_placement_in_flight - requests at the instance from all entry hosts. */
double sr_placement_in_flight(const sr_instance_t *instance, sr_usec_t now);

#endif
