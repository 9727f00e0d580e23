#include "core/placement.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "base/rendezvous.h"

/** Load reported by other entry hosts expires after this time. */
#define PEER_LOAD_EXPIRY (3 * SR_SEC)

/** Fraction of a shared prefix assumed to be cached at its home even if this
 * host has not sent it there, since other hosts may have. */
#define HOME_CACHED_RATIO 0.7

/** A new instance has cached its part of the shared prefixes by this age. */
#define CACHE_FILL_TIME (15 * SR_SEC)

/** Decay time constant of an observed excess delay, in seconds: about the
 * time in which the unreported requests behind it complete. */
#define EXCESS_DECAY_S 1.0

/** Added cost of an instance in another failure domain, in seconds; about the
 * round trip to it. */
#define CROSS_DOMAIN_COST_S 0.003

/** Added delay per request in flight at an engine, in seconds: each request
 * lengthens the steps of all others. */
#define STEP_COST_S 0.0004

/** Initial values of sr_engine_speed_t; times are in seconds. */
#define INITIAL_TOKENS_PER_S 40000.0
#define INITIAL_BASE_S 0.04
#define INITIAL_DURATION_S 0.05

/** Weight of a new observation in the moving averages. */
#define SMOOTHING_FACTOR 0.05

/** Samples that the initial value of the speed counts for. The first ones weigh
 * more than SMOOTHING_FACTOR, as a host among hundreds gets few of them. */
#define SPEED_PRIOR_SAMPLES 3

/** Fewer pending tokens give no sample of the speed: fixed costs dominate. */
#define SPEED_MIN_TOKENS 1500.0

/** Weight of the engine time that the tokens of a prompt take which aren't
 * cached: those behind it wait as long, and the parts that it displaces are
 * read again. */
#define ENGINE_TIME_WEIGHT 3.0

/** Factor on the processing time of an instance that is warming up. */
#define COLD_FACTOR 1.6

void sr_engine_speed_init(sr_engine_speed_t *speed)
{
	speed->tokens_per_s = INITIAL_TOKENS_PER_S;
	speed->base_s = INITIAL_BASE_S;
	speed->duration_s = INITIAL_DURATION_S;
	speed->n_samples = 0;
}

void sr_engine_speed_add_first_event(sr_engine_speed_t *speed,
				     double pending_tokens, sr_usec_t elapsed)
{
	double seconds = (double)elapsed / SR_SEC;
	double factor;

	if (pending_tokens < SPEED_MIN_TOKENS) {
		if (pending_tokens < 1)
			speed->base_s +=
				SMOOTHING_FACTOR * (seconds - speed->base_s);
		return;
	}
	seconds = MAX(seconds - speed->base_s, 0.001);
	speed->n_samples++;
	factor = MAX(SMOOTHING_FACTOR,
		     1.0 / (speed->n_samples + SPEED_PRIOR_SAMPLES));
	speed->tokens_per_s +=
		factor * (pending_tokens / seconds - speed->tokens_per_s);
}

void sr_engine_speed_add_duration(sr_engine_speed_t *speed, sr_usec_t elapsed)
{
	speed->duration_s += SMOOTHING_FACTOR *
			     ((double)elapsed / SR_SEC - speed->duration_s);
}

gboolean sr_placement_knows_peers(const sr_instance_t *instance, sr_usec_t now)
{
	return instance->peers_reported_at > 0 &&
	       now - instance->peers_reported_at < PEER_LOAD_EXPIRY;
}

double sr_placement_in_flight(const sr_instance_t *instance, sr_usec_t now)
{
	double peers = sr_placement_knows_peers(instance, now) ?
			       instance->peers_in_flight :
			       0;

	return instance->in_flight + peers;
}

/* Prompt tokens of all entry hosts queued at the instance. */
static double pending_tokens(const sr_instance_t *instance, sr_usec_t now)
{
	double peers = sr_placement_knows_peers(instance, now) ?
			       instance->peers_pending_prompt_tokens :
			       0;

	return instance->pending_prompt_tokens + peers;
}

static gboolean was_tried(const sr_placement_request_t *request, guint32 id)
{
	for (unsigned i = 0; i < request->n_tried; i++) {
		if (request->tried[i] == id)
			return TRUE;
	}
	return FALSE;
}

/* Blocks that other requests may share: all but the last one. */
static unsigned count_shared_blocks(const sr_prompt_parts_t *prompt)
{
	return prompt && prompt->n_blocks > 0 ? prompt->n_blocks - 1 : 0;
}

static double sum_tokens(const sr_prompt_parts_t *prompt, unsigned from,
			 unsigned to)
{
	double sum = 0;

	for (unsigned i = from; i < to; i++)
		sum += prompt->tokens[i];
	return sum;
}

static gboolean is_allowed_version(const sr_placement_request_t *request,
				   const sr_instance_t *instance)
{
	switch (request->versions) {
	case SR_PLACEMENT_ALL_VERSIONS:
		break;
	case SR_PLACEMENT_ONLY_VERSION:
		return !strcmp(instance->version, request->version);
	case SR_PLACEMENT_OTHER_VERSIONS:
		return strcmp(instance->version, request->version) != 0;
	}
	return TRUE;
}

/* FALSE if max_instances usable instances of the version precede this one in an
 * order that all hosts share. */
static gboolean is_among_first(const sr_placement_request_t *request,
			       const GPtrArray *list,
			       const sr_instance_t *instance, sr_usec_t now)
{
	guint64 score;
	unsigned n_before = 0;

	if (request->versions != SR_PLACEMENT_ONLY_VERSION ||
	    request->max_instances == 0)
		return TRUE;
	score = sr_rendezvous_score(instance->name, request->version);
	for (guint i = 0; i < list->len; i++) {
		const sr_instance_t *other = list->pdata[i];

		n_before += is_allowed_version(request, other) &&
			    sr_instance_is_usable(other, now) &&
			    sr_rendezvous_score(other->name, request->version) >
				    score;
	}
	return n_before < request->max_instances;
}

/** Homes of a prefix: where hosts agree to send it, and where they agree to
 * send what the first one can't take. */
#define N_HOMES 2

/* Sets the home instances of the prompt's shared prefix, NULL for none. One
 * that takes few requests is no home. */
static void find_homes(const sr_placement_request_t *request,
		       const GPtrArray *list, sr_usec_t now,
		       sr_instance_t *homes[N_HOMES])
{
	const sr_prompt_parts_t *prompt = request->prompt;
	guint64 best[N_HOMES] = { 0 };
	char key[24];

	homes[0] = homes[1] = NULL;
	if (count_shared_blocks(prompt) == 0)
		return;
	g_snprintf(key, sizeof(key), "%" G_GINT64_MODIFIER "x",
		   prompt->blocks[count_shared_blocks(prompt) - 1]);
	for (guint i = 0; i < list->len; i++) {
		sr_instance_t *instance = list->pdata[i];
		guint64 score;

		if (!sr_instance_is_usable(instance, now) ||
		    instance->notices.is_limited || instance->pace.is_paced ||
		    !is_allowed_version(request, instance))
			continue;
		score = sr_rendezvous_score(instance->name, key);
		if (!homes[0] || score > best[0]) {
			homes[1] = homes[0];
			best[1] = best[0];
			homes[0] = instance;
			best[0] = score;
		} else if (!homes[1] || score > best[1]) {
			homes[1] = instance;
			best[1] = score;
		}
	}
}

/* Expected fill level of the cache of a new instance, 0 to 1. */
static double cache_fill_ratio(const sr_instance_t *instance, sr_usec_t now)
{
	return MIN((double)(now - instance->added_at) / CACHE_FILL_TIME, 1);
}

static double uncached_tokens(const sr_placement_t *placement,
			      const sr_prompt_parts_t *prompt,
			      const sr_instance_t *instance, gboolean is_home,
			      sr_usec_t now)
{
	unsigned shared = count_shared_blocks(prompt);
	unsigned cached;
	double uncached;

	if (!prompt || !prompt->is_declared)
		return 0;
	cached = sr_prefix_index_match(placement->index, now, instance->id,
				       prompt->blocks, shared);
	uncached = sum_tokens(prompt, cached, shared);
	if (is_home)
		uncached *=
			1 - HOME_CACHED_RATIO * cache_fill_ratio(instance, now);
	return uncached + sum_tokens(prompt, shared, prompt->n_blocks);
}

/* Expected wait for a slot in seconds; 0 if one is free. */
static double slot_wait_s(const sr_instance_t *instance,
			  const sr_engine_speed_t *speed, sr_usec_t now)
{
	double slots = MAX(instance->slots, 1);
	double excess = sr_placement_in_flight(instance, now) + 1 - slots;

	return excess > 0 ? excess / slots * speed->duration_s : 0;
}

/* What remains of the last observed excess delay, in seconds. */
static double remaining_excess_delay_s(const sr_instance_t *instance,
				       sr_usec_t now)
{
	double age = (double)(now - instance->excess_delay_at) / SR_SEC;

	return instance->excess_delay_s * exp(-age / EXCESS_DECAY_S);
}

void sr_placement_observe(sr_instance_t *instance, double expected_s,
			  sr_usec_t elapsed, sr_usec_t now)
{
	instance->excess_delay_s =
		MAX((double)elapsed / SR_SEC - expected_s, 0);
	instance->excess_delay_at = now;
}

/* Expected wait behind the requests already at the instance, in seconds. */
static double wait_s(const sr_placement_request_t *request,
		     const sr_instance_t *instance, sr_usec_t now)
{
	const sr_engine_speed_t *speed = request->speed;
	double seconds = slot_wait_s(instance, speed, now);

	if (request->is_engine)
		seconds +=
			MAX(pending_tokens(instance, now) / speed->tokens_per_s,
			    remaining_excess_delay_s(instance, now));
	return seconds;
}

/* Expected time from the end of the wait to the first event, in seconds. */
static double processing_s(const sr_placement_request_t *request,
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

const char *sr_placement_exclusion_name(sr_placement_exclusion_t exclusion)
{
	switch (exclusion) {
	case SR_PLACEMENT_CANDIDATE:
		break;
	case SR_PLACEMENT_EJECTED:
		return "ejected";
	case SR_PLACEMENT_TRIED:
		return "tried";
	case SR_PLACEMENT_LEAVING:
		return "leaving";
	case SR_PLACEMENT_EVACUATED:
		return "evacuated";
	case SR_PLACEMENT_LIMITED:
		return "limited";
	case SR_PLACEMENT_PACED:
		return "paced";
	case SR_PLACEMENT_OTHER_VERSION:
		return "other-version";
	}
	return "candidate";
}

static sr_placement_exclusion_t
exclusion_of(const sr_placement_request_t *request, const GPtrArray *list,
	     sr_instance_t *instance, sr_usec_t now)
{
	if (was_tried(request, instance->id))
		return SR_PLACEMENT_TRIED;
	if (instance->is_evacuated)
		return SR_PLACEMENT_EVACUATED;
	if (!sr_instance_is_present(instance))
		return SR_PLACEMENT_LEAVING;
	if (!is_allowed_version(request, instance) ||
	    !is_among_first(request, list, instance, now))
		return SR_PLACEMENT_OTHER_VERSION;
	if (!sr_instance_notices_allow(&instance->notices, now) ||
	    !sr_instance_notices_has_room(&instance->notices,
					  instance->in_flight))
		return SR_PLACEMENT_LIMITED;
	if (!sr_instance_pace_allows(&instance->pace, instance->n_waiting, now))
		return SR_PLACEMENT_PACED;
	return sr_instance_is_usable(instance, now) ? SR_PLACEMENT_CANDIDATE :
						      SR_PLACEMENT_EJECTED;
}

typedef enum {
	CANDIDATES_HEALTHY, /* present and not ejected */
	CANDIDATES_ALL,	    /* present, possibly ejected */
} candidate_filter_t;

static gboolean is_candidate(const sr_placement_request_t *request,
			     const GPtrArray *list, sr_instance_t *instance,
			     candidate_filter_t filter, sr_usec_t now)
{
	sr_placement_exclusion_t exclusion =
		exclusion_of(request, list, instance, now);

	return exclusion == SR_PLACEMENT_CANDIDATE ||
	       (exclusion == SR_PLACEMENT_EJECTED && filter == CANDIDATES_ALL);
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

	choice.first_event_s =
		choice.wait_s + processing_s(request, instance, uncached, now);
	if (g_strcmp0(instance->failure_domain, placement->failure_domain))
		choice.first_event_s += CROSS_DOMAIN_COST_S;
	choice.cost_s = choice.first_event_s;
	if (request->is_engine)
		choice.cost_s += ENGINE_TIME_WEIGHT * uncached /
				 request->speed->tokens_per_s;
	return choice;
}

static void compare(sr_placement_choice_t *best,
		    const sr_placement_choice_t *choice)
{
	if (!best->instance || choice->cost_s < best->cost_s)
		*best = *choice;
}

/* A number below n that the host draws; another one for each key. */
static guint draw(const sr_placement_request_t *request, guint64 key, guint n)
{
	return (guint)(XXH64(&request->jitter, sizeof(request->jitter), key) %
		       n);
}

/* Steps through the whole list in an order of its own for each request. */
static guint draw_step(const sr_placement_request_t *request, guint n)
{
	guint step = n > 2 ? 1 + draw(request, 1, n - 1) : 1;
	guint a = n;
	guint b = step;

	while (b > 0) {
		guint rest = a % b;

		a = b;
		b = rest;
	}
	return a == 1 ? step : 1; /* others would miss a part of the list */
}

static sr_placement_choice_t choose_among(const sr_placement_t *placement,
					  const sr_placement_request_t *request,
					  const GPtrArray *list,
					  candidate_filter_t filter,
					  sr_usec_t now)
{
	/* The start is random; otherwise all hosts would select the first of
	 * several equal instances. */
	guint first = (guint)(request->jitter * list->len);
	guint step = draw_step(request, list->len);
	guint n_left = request->n_sampled > 0 ? request->n_sampled : list->len;
	sr_instance_t *homes[N_HOMES];
	sr_placement_choice_t best = { 0 };

	find_homes(request, list, now, homes);
	for (unsigned i = 0; i < N_HOMES; i++) {
		sr_placement_choice_t choice;

		if (!homes[i] ||
		    !is_candidate(request, list, homes[i], filter, now))
			continue;
		choice = evaluate(placement, request, homes[i], i == 0, now);
		compare(&best, &choice);
	}
	for (guint i = 0; i < list->len && n_left > 0; i++) {
		sr_instance_t *instance =
			list->pdata[(first + (guint64)i * step) % list->len];
		sr_placement_choice_t choice;

		if (instance == homes[0] || instance == homes[1] ||
		    !is_candidate(request, list, instance, filter, now))
			continue;
		choice = evaluate(placement, request, instance, FALSE, now);
		compare(&best, &choice);
		n_left--;
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
	choice =
		choose_among(placement, request, list, CANDIDATES_HEALTHY, now);
	/* Even if all instances of a service are ejected, some requests to
	 * them succeed. */
	if (!choice.instance)
		choice = choose_among(placement, request, list, CANDIDATES_ALL,
				      now);
	return choice;
}

void sr_placement_foreach(const sr_placement_t *placement,
			  const sr_placement_request_t *request, sr_usec_t now,
			  void (*fn)(void *user,
				     const sr_placement_view_t *view),
			  void *user)
{
	const GPtrArray *list =
		sr_instances_of_service(placement->instances, request->service);
	sr_instance_t *homes[N_HOMES];

	if (!list)
		return;
	find_homes(request, list, now, homes);
	for (guint i = 0; i < list->len; i++) {
		sr_instance_t *instance = list->pdata[i];
		/* asking for room leaves a mark, which a mere look must not */
		sr_instance_notices_t notices = instance->notices;
		sr_placement_view_t view = {
			.exclusion = exclusion_of(request, list, instance, now),
			.is_home = homes[0] && instance == homes[0],
		};

		instance->notices = notices;
		view.choice = evaluate(placement, request, instance,
				       view.is_home, now);
		fn(user, &view);
	}
}
