#include "core/placement.h"

#include <math.h>

#include "base/rendezvous.h"

/** What other hosts told of their work is void after this. */
#define OTHERS_LIFE (3 * SR_SEC)

/** Part of a shared prefix that its home is taken to have cached although
 * this host has not sent it there; other hosts may have. */
#define HOME_CACHED 0.7

/** An instance has had its part of the shared prefixes after this time. */
#define CACHE_FILL (15 * SR_SEC)

/** Work that was not known of is done after about this time, in s. */
#define EXCESS_TIME_S 1.0

/** What an instance in another failure domain has to be faster by, in s;
 * about the round trip to it. */
#define FAR_COST_S 0.003

/** Each request at an engine delays the steps of all others; in s. */
#define STEP_COST_S 0.0004

/** Figures of an engine that has not been observed yet. */
#define START_TOKENS_PER_S 40000.0
#define START_BASE_S 0.04
#define START_DURATION_S 0.05

/** Weight of one observation in the smoothed figures. */
#define SMOOTHING 0.05

/** Prompts shorter than this say little of the speed of reading. */
#define SPEED_MIN_TOKENS 1500.0

/** An instance that is still cold is taken to be slower by this factor. */
#define COLD_FACTOR 1.6

void sr_engine_speed_init(sr_engine_speed_t *speed)
{
	speed->tokens_per_s = START_TOKENS_PER_S;
	speed->base_s = START_BASE_S;
	speed->duration_s = START_DURATION_S;
}

void sr_engine_speed_first(sr_engine_speed_t *speed, double unread_tokens,
			   sr_usec_t took)
{
	double seconds = (double)took / SR_SEC;

	if (unread_tokens < SPEED_MIN_TOKENS) {
		if (unread_tokens < 1)
			speed->base_s += SMOOTHING * (seconds - speed->base_s);
		return;
	}
	seconds = MAX(seconds - speed->base_s, 0.001);
	speed->tokens_per_s +=
		SMOOTHING * (unread_tokens / seconds - speed->tokens_per_s);
}

void sr_engine_speed_whole(sr_engine_speed_t *speed, sr_usec_t took)
{
	speed->duration_s +=
		SMOOTHING * ((double)took / SR_SEC - speed->duration_s);
}

static gboolean knows_others(const sr_instance_t *instance, sr_usec_t now)
{
	return instance->others_at > 0 &&
	       now - instance->others_at < OTHERS_LIFE;
}

double sr_placement_in_flight(const sr_instance_t *instance, sr_usec_t now)
{
	double others =
		knows_others(instance, now) ? instance->others_in_flight : 0;

	return instance->in_flight + others;
}

static double unread_tokens(const sr_instance_t *instance, sr_usec_t now)
{
	double others = knows_others(instance, now) ?
				instance->others_unread_tokens :
				0;

	return instance->unread_tokens + others;
}

static gboolean is_tried(const sr_placement_request_t *request, guint32 id)
{
	for (unsigned i = 0; i < request->n_tried; i++) {
		if (request->tried[i] == id)
			return TRUE;
	}
	return FALSE;
}

/* Blocks that requests have in common; the last one is the request's own. */
static unsigned n_shared(const sr_prompt_t *prompt)
{
	return prompt && prompt->n_blocks > 0 ? prompt->n_blocks - 1 : 0;
}

static double tokens_of(const sr_prompt_t *prompt, unsigned from, unsigned to)
{
	double sum = 0;

	for (unsigned i = from; i < to; i++)
		sum += prompt->tokens[i];
	return sum;
}

/* The usable instance that should hold the prefix; NULL without one. */
static const sr_instance_t *home_of(const GPtrArray *list,
				    const sr_prompt_t *prompt, sr_usec_t now)
{
	const sr_instance_t *home = NULL;
	guint64 best = 0;
	char thing[24];

	if (n_shared(prompt) == 0)
		return NULL;
	g_snprintf(thing, sizeof(thing), "%" G_GINT64_MODIFIER "x",
		   prompt->blocks[n_shared(prompt) - 1]);
	for (guint i = 0; i < list->len; i++) {
		const sr_instance_t *instance = list->pdata[i];
		guint64 score;

		if (!sr_instance_is_usable(instance, now))
			continue;
		score = sr_rendezvous_score(instance->name, thing);
		if (!home || score > best) {
			home = instance;
			best = score;
		}
	}
	return home;
}

/* How far a new instance has filled its cache, 0 to 1. */
static double fill_of(const sr_instance_t *instance, sr_usec_t now)
{
	return MIN((double)(now - instance->added_at) / CACHE_FILL, 1);
}

static double uncached_tokens(const sr_placement_t *placement,
			      const sr_prompt_t *prompt,
			      const sr_instance_t *instance, gboolean is_home,
			      sr_usec_t now)
{
	unsigned shared = n_shared(prompt);
	unsigned cached;
	double rest;

	if (!prompt || !prompt->is_stated)
		return 0;
	cached = sr_prefix_index_match(placement->index, now, instance->id,
				       prompt->blocks, shared);
	rest = tokens_of(prompt, cached, shared);
	if (is_home)
		rest *= 1 - HOME_CACHED * fill_of(instance, now);
	return rest + tokens_of(prompt, shared, prompt->n_blocks);
}

/* Expected wait for a slot: nothing while there are some. */
static double slot_wait(const sr_instance_t *instance,
			const sr_engine_speed_t *speed, sr_usec_t now)
{
	double slots = MAX(instance->slots, 1);
	double excess = sr_placement_in_flight(instance, now) + 1 - slots;

	return excess > 0 ? excess / slots * speed->duration_s : 0;
}

/* What is left of a delay that this host could not explain. */
static double excess_s(const sr_instance_t *instance, sr_usec_t now)
{
	double age = (double)(now - instance->excess_at) / SR_SEC;

	return instance->excess_s * exp(-age / EXCESS_TIME_S);
}

void sr_placement_observe(sr_instance_t *instance, double expected_s,
			  sr_usec_t took, sr_usec_t now)
{
	instance->excess_s = MAX((double)took / SR_SEC - expected_s, 0);
	instance->excess_at = now;
}

/* Expected time behind the requests that are there already. */
static double wait_s(const sr_placement_request_t *request,
		     const sr_instance_t *instance, sr_usec_t now)
{
	const sr_engine_speed_t *speed = request->speed;
	double seconds = slot_wait(instance, speed, now);

	if (request->is_engine)
		seconds +=
			MAX(unread_tokens(instance, now) / speed->tokens_per_s,
			    excess_s(instance, now));
	return seconds;
}

/* Expected time for the request's own first event, without the wait. */
static double work_s(const sr_placement_request_t *request,
		     const sr_instance_t *instance, double uncached,
		     sr_usec_t now)
{
	const sr_engine_speed_t *speed = request->speed;
	double seconds;

	if (request->is_engine)
		seconds = speed->base_s + uncached / speed->tokens_per_s +
			  STEP_COST_S * sr_placement_in_flight(instance, now);
	else
		seconds = speed->duration_s *
			  (1 + sr_placement_in_flight(instance, now) /
				       MAX(instance->slots, 1));
	return instance->cold_until > now ? seconds * COLD_FACTOR : seconds;
}

/* Any ejected instance, or only those that are not? */
typedef enum {
	CANDIDATES_SOUND,
	CANDIDATES_ALL,
} candidates_t;

static gboolean is_candidate(const sr_placement_request_t *request,
			     const sr_instance_t *instance,
			     candidates_t candidates, sr_usec_t now)
{
	if (is_tried(request, instance->id))
		return FALSE;
	return candidates == CANDIDATES_ALL ?
		       sr_instance_is_present(instance) :
		       sr_instance_is_usable(instance, now);
}

static sr_placement_choice_t evaluate(const sr_placement_t *placement,
				      const sr_placement_request_t *request,
				      sr_instance_t *instance, gboolean is_home,
				      sr_usec_t now)
{
	double uncached = uncached_tokens(placement, request->prompt, instance,
					  is_home, now);
	sr_placement_choice_t choice = {
		.instance = instance,
		.uncached_tokens = uncached,
		.wait_s = wait_s(request, instance, now),
		.occupancy = sr_placement_in_flight(instance, now) /
			     MAX(instance->slots, 1),
	};

	choice.first_s =
		choice.wait_s + work_s(request, instance, uncached, now);
	if (g_strcmp0(instance->failure_domain, placement->failure_domain))
		choice.first_s += FAR_COST_S;
	return choice;
}

static sr_placement_choice_t choose_among(const sr_placement_t *placement,
					  const sr_placement_request_t *request,
					  const GPtrArray *list,
					  candidates_t candidates,
					  sr_usec_t now)
{
	const sr_instance_t *home = home_of(list, request->prompt, now);
	/* Equals are taken in turn, or all hosts would choose the first. */
	guint first = (guint)(request->jitter * list->len);
	sr_placement_choice_t best = { 0 };

	for (guint i = 0; i < list->len; i++) {
		sr_instance_t *instance = list->pdata[(i + first) % list->len];
		sr_placement_choice_t choice;

		if (!is_candidate(request, instance, candidates, now))
			continue;
		choice = evaluate(placement, request, instance,
				  instance == home, now);
		if (!best.instance || choice.first_s < best.first_s)
			best = choice;
	}
	return best;
}

sr_placement_choice_t sr_placement_choose(const sr_placement_t *placement,
					  const sr_placement_request_t *request,
					  sr_usec_t now)
{
	const GPtrArray *list =
		sr_instances_of_service(placement->instances, request->service);
	sr_placement_choice_t choice = { 0 };

	if (!list)
		return choice;
	choice = choose_among(placement, request, list, CANDIDATES_SOUND, now);
	/* Where all of a service fail, some of what they do still succeeds. */
	if (!choice.instance)
		choice = choose_among(placement, request, list, CANDIDATES_ALL,
				      now);
	return choice;
}
