#include "core/routing.h"

#include <math.h>

/** Upstreams sampled at random for each request. */
#define N_SAMPLED 3

/** Upstreams examined if no sampled one can take the request. */
#define N_SCANNED 32

/** Upstreams that even the smallest share uses. With a single one, a faulty
 * host could not be distinguished from a faulty version. */
#define MIN_ACTIVE_UPSTREAMS 2

/** Round trip to an upstream in another failure domain, in seconds. */
#define CROSS_DOMAIN_COST_S 0.003

/** Cost of an upstream at its limit, as a fraction of the service's mean
 * duration; lower occupancy costs proportionally less. */
#define OCCUPANCY_WEIGHT 0.25

typedef struct {
	const sr_routing_t *routing;
	sr_service_group_t *service;
	const sr_routing_request_t *request;
	sr_usec_t now;
	sr_routing_choice_t best;
	double best_cost;
	gboolean found_usable;
	gboolean found_capacity;
	gboolean include_ejected;
} search_t;

static gboolean was_tried(const sr_routing_request_t *request, guint32 id)
{
	for (unsigned i = 0; i < request->n_tried; i++) {
		if (request->tried[i] == id)
			return TRUE;
	}
	return FALSE;
}

static unsigned uncached_tokens_at(const search_t *search,
				   const sr_upstream_t *upstream)
{
	const sr_routing_request_t *request = search->request;
	unsigned matched;

	if (request->n_blocks == 0)
		return request->prompt_tokens;
	matched = sr_prefix_index_match(search->routing->index, search->now,
					upstream->id, request->blocks,
					request->n_blocks);
	return (unsigned)((guint64)request->prompt_tokens *
			  (request->n_blocks - matched) / request->n_blocks);
}

/* Expected time to the first token in seconds: queueing and prefill. */
static double first_token_s(const search_t *search,
			    const sr_upstream_t *upstream, unsigned uncached)
{
	const sr_service_group_t *service = search->service;
	double prefill = (double)upstream->pending_prefill_tokens + uncached;
	double waiting =
		sr_load_estimate_waiting(&upstream->load, search->now) /
		upstream->limit.value;

	return waiting * service->duration_s +
	       prefill * service->prefill_s_per_token;
}

static double cost_s(const search_t *search, const sr_upstream_t *upstream,
		     double first_token, double occupancy)
{
	double cost = first_token;

	cost += occupancy * OCCUPANCY_WEIGHT * search->service->duration_s;
	if (g_strcmp0(upstream->target.failure_domain,
		      search->routing->failure_domain) != 0)
		cost += CROSS_DOMAIN_COST_S;
	return cost;
}

static double generation_s(const search_t *search,
			   const sr_upstream_t *upstream)
{
	double gap = sr_load_estimate_token_gap(&upstream->load, search->now);

	if (gap <= 0)
		gap = search->service->token_gap_s;
	return gap * search->request->max_tokens;
}

/* Records the upstream if it can take the request at the lowest cost so far. */
static void evaluate(search_t *search, sr_upstream_t *upstream)
{
	const sr_routing_request_t *request = search->request;
	double remaining_s =
		(double)(request->deadline - search->now) / (double)SR_SEC;
	double total = sr_load_estimate_total(&upstream->load, search->now,
					      upstream->in_flight);
	double limit = floor(upstream->limit.value) * request->headroom;
	unsigned uncached;
	double first_token;
	double cost;

	search->found_usable = TRUE;
	if (request->guarantee_one_slot)
		limit = MAX(limit, 1);
	if (total + 1 > limit)
		return;
	search->found_capacity = TRUE;
	uncached = uncached_tokens_at(search, upstream);
	first_token = first_token_s(search, upstream, uncached);
	if (first_token + generation_s(search, upstream) > remaining_s)
		return;
	cost = cost_s(search, upstream, first_token,
		      total / upstream->limit.value);
	if (search->best.upstream && cost >= search->best_cost)
		return;
	search->best_cost = cost;
	search->best.upstream = upstream;
	search->best.uncached_tokens = uncached;
	search->best.occupancy = total / upstream->limit.value;
}

static gboolean is_eligible(const search_t *search,
			    const sr_upstream_t *upstream)
{
	return sr_upstream_is_usable(upstream) &&
	       !was_tried(search->request, upstream->id) &&
	       (search->include_ejected ||
		sr_ejection_state(&upstream->ejection, search->now) !=
			SR_EJECTION_EJECTED);
}

/*
 * Number of upstreams that a version uses. A version with a small share uses
 * only a few, so that they run at normal load and faults under load appear.
 */
static unsigned count_active(const search_t *search,
			     const sr_version_group_t *version)
{
	double n_ideal = version->share * search->service->n_upstreams;
	unsigned n = (unsigned)(n_ideal + 0.999);

	return CLAMP(n, MIN(MIN_ACTIVE_UPSTREAMS, version->upstreams->len),
		     version->upstreams->len);
}

static void evaluate_sampled(search_t *search,
			     const sr_version_group_t *version, unsigned n_max)
{
	unsigned n = version->upstreams->len;
	unsigned n_active = count_active(search, version);
	unsigned n_evaluated = 0;
	unsigned first;

	if (n == 0)
		return;
	first = (unsigned)g_rand_int_range(search->routing->random, 0,
					   (gint32)n_active);
	for (unsigned i = 0; i < n && n_evaluated < n_max; i++) {
		/* Active upstreams first, starting at a random one. */
		unsigned position = i < n_active ? (first + i) % n_active : i;
		sr_upstream_t *upstream = version->upstreams->pdata[position];

		if (!is_eligible(search, upstream))
			continue;
		if (i >= n_active && search->best.upstream)
			return;
		evaluate(search, upstream);
		n_evaluated++;
	}
}

static void evaluate_prefix_holders(search_t *search,
				    const sr_version_group_t *version)
{
	const sr_routing_t *routing = search->routing;
	guint32 holders[SR_PREFIX_HOLDERS_MAX];
	unsigned n = sr_prefix_index_holders(
		routing->index, search->now, search->request->blocks,
		search->request->n_blocks, holders);

	for (unsigned i = 0; i < n; i++) {
		sr_upstream_t *upstream =
			sr_upstreams_by_id(routing->upstreams, holders[i]);

		if (upstream &&
		    g_strcmp0(upstream->target.version, version->name) == 0 &&
		    g_strcmp0(upstream->target.service,
			      search->service->name) == 0 &&
		    is_eligible(search, upstream))
			evaluate(search, upstream);
	}
}

static void search_version(search_t *search, const sr_version_group_t *version)
{
	evaluate_prefix_holders(search, version);
	evaluate_sampled(search, version, N_SAMPLED);
	if (!search->best.upstream)
		evaluate_sampled(search, version, N_SCANNED);
}

/* Draws a version with a probability proportional to its share, by reservoir
 * sampling. */
static const sr_version_group_t *draw_version(const search_t *search)
{
	const sr_service_group_t *service = search->service;
	const sr_version_group_t *drawn = NULL;
	double total = 0;

	for (guint i = 0; i < service->versions->len; i++) {
		const sr_version_group_t *version = service->versions->pdata[i];

		if (version->share <= 0 || version->upstreams->len == 0)
			continue;
		total += version->share;
		if (g_rand_double(search->routing->random) * total <=
		    version->share)
			drawn = version;
	}
	return drawn;
}

/* Searches the other versions whose share is no smaller than that of the drawn
 * one, which has no upstream for the request. */
static void search_fallback_versions(search_t *search,
				     const sr_version_group_t *drawn)
{
	const sr_service_group_t *service = search->service;

	for (guint i = 0; i < service->versions->len; i++) {
		const sr_version_group_t *version = service->versions->pdata[i];

		if (version != drawn && version->share >= drawn->share)
			search_version(search, version);
	}
}

sr_routing_result_t sr_routing_choose(const sr_routing_t *routing,
				      sr_service_group_t *service,
				      const sr_routing_request_t *request,
				      sr_usec_t now,
				      sr_routing_choice_t *choice)
{
	search_t search = { .routing = routing,
			    .service = service,
			    .request = request,
			    .now = now };
	const sr_version_group_t *drawn = draw_version(&search);

	if (!drawn)
		return SR_ROUTING_NO_UPSTREAM;
	search_version(&search, drawn);
	if (!search.best.upstream)
		search_fallback_versions(&search, drawn);
	if (!search.found_usable) {
		/* If all are ejected, the upstreams are likely not at fault. */
		search.include_ejected = TRUE;
		search_version(&search, drawn);
	}
	*choice = search.best;
	if (choice->upstream)
		return SR_ROUTING_FOUND;
	if (!search.found_usable)
		return SR_ROUTING_NO_UPSTREAM;
	return search.found_capacity ? SR_ROUTING_TOO_LATE : SR_ROUTING_BUSY;
}
