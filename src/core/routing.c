#include "core/routing.h"

#include <math.h>

/** Upstreams that are drawn at random for each request. */
#define N_SAMPLED 3

/** Upstreams that are looked at when no sampled one has headroom. */
#define N_SCANNED 32

/** Upstreams that the smallest share uses: one faulty host must differ from
 * a faulty version. */
#define IN_USE_MIN 2

/** Round trip to an upstream of another failure domain. */
#define OTHER_DOMAIN_S 0.003

/** Cost of an upstream that is filled to its limit, in mean durations. */
#define LOAD_WEIGHT 0.25

typedef struct {
	const sr_routing_t *routing;
	sr_service_group_t *service;
	const sr_routing_request_t *request;
	sr_usec_t now;
	sr_route_t best;
	double best_cost;
	gboolean seen_usable;
	gboolean seen_headroom;
	gboolean any_state; /* also those that are ejected */
} search_t;

static gboolean was_tried(const sr_routing_request_t *request, guint32 id)
{
	for (unsigned i = 0; i < request->n_tried; i++) {
		if (request->tried[i] == id)
			return TRUE;
	}
	return FALSE;
}

static unsigned uncached_at(const search_t *search,
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

/* Seconds until the first token, queueing and prompt included. */
static double first_token_s(const search_t *search,
			    const sr_upstream_t *upstream, unsigned uncached)
{
	const sr_service_group_t *service = search->service;
	double prefill = (double)upstream->pending_prefill + uncached;
	double waiting =
		sr_load_estimate_waiting(&upstream->load, search->now) /
		upstream->limit.value;

	return waiting * service->duration_s + prefill * service->prefill_s;
}

static double cost_s(const search_t *search, const sr_upstream_t *upstream,
		     double first_token, double occupancy)
{
	double cost = first_token;

	cost += occupancy * LOAD_WEIGHT * search->service->duration_s;
	if (g_strcmp0(upstream->target.failure_domain,
		      search->routing->failure_domain) != 0)
		cost += OTHER_DOMAIN_S;
	return cost;
}

static double answer_s(const search_t *search, const sr_upstream_t *upstream)
{
	double gap = sr_load_estimate_token_gap(&upstream->load, search->now);

	if (gap <= 0)
		gap = search->service->token_gap_s;
	return gap * search->request->max_tokens;
}

static void consider(search_t *search, sr_upstream_t *upstream)
{
	const sr_routing_request_t *request = search->request;
	double left_s =
		(double)(request->deadline - search->now) / (double)SR_SEC;
	double total = sr_load_estimate_total(&upstream->load, search->now,
					      upstream->in_flight);
	double limit = floor(upstream->limit.value) * request->headroom;
	unsigned uncached;
	double first_token;
	double cost;

	search->seen_usable = TRUE;
	if (request->may_be_sole)
		limit = MAX(limit, 1);
	if (total + 1 > limit)
		return;
	search->seen_headroom = TRUE;
	uncached = uncached_at(search, upstream);
	first_token = first_token_s(search, upstream, uncached);
	if (first_token + answer_s(search, upstream) > left_s)
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

static gboolean may_take(const search_t *search, const sr_upstream_t *upstream)
{
	return sr_upstream_is_usable(upstream) &&
	       !was_tried(search->request, upstream->id) &&
	       (search->any_state ||
		sr_ejection_state(&upstream->ejection, search->now) !=
			SR_EJECTION_EJECTED);
}

/*
 * Upstreams that a version may use: a small share stays on few of them, so
 * that each runs at its normal load and faults under load show.
 */
static unsigned n_in_use(const search_t *search,
			 const sr_version_group_t *version)
{
	double wanted = version->share * search->service->n_upstreams;
	unsigned n = (unsigned)(wanted + 0.999);

	return CLAMP(n, MIN(IN_USE_MIN, version->upstreams->len),
		     version->upstreams->len);
}

static void consider_sampled(search_t *search,
			     const sr_version_group_t *version, unsigned n_max)
{
	unsigned n = version->upstreams->len;
	unsigned in_use = n_in_use(search, version);
	unsigned n_done = 0;
	unsigned start;

	if (n == 0)
		return;
	start = (unsigned)g_rand_int_range(search->routing->random, 0,
					   (gint32)in_use);
	for (unsigned i = 0; i < n && n_done < n_max; i++) {
		/* Those in use go first, from a random one on. */
		unsigned at = i < in_use ? (start + i) % in_use : i;
		sr_upstream_t *upstream = version->upstreams->pdata[at];

		if (!may_take(search, upstream))
			continue;
		if (i >= in_use && search->best.upstream)
			return;
		consider(search, upstream);
		n_done++;
	}
}

static void consider_owners(search_t *search, const sr_version_group_t *version)
{
	const sr_routing_t *routing = search->routing;
	guint32 owners[SR_PREFIX_OWNERS];
	unsigned n = sr_prefix_index_owners(routing->index, search->now,
					    search->request->blocks,
					    search->request->n_blocks, owners);

	for (unsigned i = 0; i < n; i++) {
		sr_upstream_t *upstream =
			sr_upstreams_by_id(routing->upstreams, owners[i]);

		if (upstream &&
		    g_strcmp0(upstream->target.version, version->name) == 0 &&
		    g_strcmp0(upstream->target.service,
			      search->service->name) == 0 &&
		    may_take(search, upstream))
			consider(search, upstream);
	}
}

static void search_version(search_t *search, const sr_version_group_t *version)
{
	consider_owners(search, version);
	consider_sampled(search, version, N_SAMPLED);
	if (!search->best.upstream)
		consider_sampled(search, version, N_SCANNED);
}

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

/* A version without room hands over to those that carry as much or more. */
static void search_larger(search_t *search, const sr_version_group_t *drawn)
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
				      sr_usec_t now, sr_route_t *route)
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
		search_larger(&search, drawn);
	if (!search.seen_usable) {
		/* If all are ejected, the fault is likely not theirs. */
		search.any_state = TRUE;
		search_version(&search, drawn);
	}
	*route = search.best;
	if (route->upstream)
		return SR_ROUTING_FOUND;
	if (!search.seen_usable)
		return SR_ROUTING_NO_UPSTREAM;
	return search.seen_headroom ? SR_ROUTING_TOO_LATE : SR_ROUTING_BUSY;
}
