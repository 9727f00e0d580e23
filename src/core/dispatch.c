#include "core/dispatch.h"

#include <math.h>
#include <string.h>

#include "core/prefix_index.h"
#include "core/routing.h"
#include "core/upstreams.h"

/** Attempts at one request, the first one included. */
#define ATTEMPTS_MAX 4

/** An upstream that can't be reached counts as more than one failure, and
 * going elsewhere costs less, since nothing ran. */
#define NOT_STARTED_FAILURES 2
#define NOT_STARTED_COST 0.25

/** Blocks in the prefix index, about 200 bytes each. */
#define INDEX_BLOCKS_MAX 131072

/** Targets for the tail of the answers of model engines, and the part of
 * them that the mean may reach so that the tail stays below. */
#define FIRST_TOKEN_TARGET_S 1.1
#define TOKEN_GAP_TARGET_S 0.052
#define MEAN_OF_TARGET 0.8

/** How much longer than in an idle upstream a plain request may take. */
#define PLAIN_TOLERANCE 2.0
#define PLAIN_TOLERANCE_MIN_S 0.02

/** The shortest duration is forgotten by this part with each sample. */
#define BASE_GROWTH 1.002

/** Weight of a sample in the means of a service. */
#define SAMPLE_WEIGHT 0.05

/** From this part of the capacity on accounts are held to fair shares. */
#define SHARE_PRESSURE 0.75

/** What an accepted request may fill when it is tried again. */
#define RETRY_HEADROOM 1.25

#define CAPACITY_INTERVAL (50 * SR_MSEC)
#define RETRY_AFTER_NO_UPSTREAM (2 * SR_SEC)

struct sr_dispatch {
	sr_upstreams_t *upstreams;
	sr_prefix_index_t *index;
	GRand *random;
	char *failure_domain;
	unsigned n_calls;
	void (*observe)(void *user, sr_usec_t now,
			const sr_observation_t *seen);
	void *observe_user;
};

struct sr_call {
	sr_service_group_t *service;
	sr_account_t *account;
	sr_upstream_t *upstream; /* NULL between attempts */
	char *route;		 /* name, owned once the call is sent */
	sr_priority_t priority;
	gboolean idempotent;
	sr_usec_t deadline;
	guint64 *blocks;
	unsigned n_blocks;
	unsigned prompt_tokens;
	unsigned max_tokens;
	unsigned uncached_tokens; /* of this attempt, expected */
	unsigned tokens_before;	  /* that earlier attempts delivered */
	sr_usec_t sent_at;
	sr_usec_t first_token_at; /* of this attempt, 0 for not yet */
	guint32 tried[ATTEMPTS_MAX];
	unsigned n_tried;
};

sr_dispatch_t *sr_dispatch_new(const sr_dispatch_options_t *options)
{
	sr_dispatch_t *dispatch = g_new0(sr_dispatch_t, 1);

	dispatch->upstreams = sr_upstreams_new();
	dispatch->index = sr_prefix_index_new(INDEX_BLOCKS_MAX);
	dispatch->random = g_rand_new_with_seed((guint32)options->seed);
	dispatch->failure_domain = g_strdup(options->failure_domain);
	return dispatch;
}

void sr_dispatch_free(sr_dispatch_t *dispatch)
{
	if (!dispatch)
		return;
	g_assert(dispatch->n_calls == 0);
	sr_upstreams_free(dispatch->upstreams);
	sr_prefix_index_free(dispatch->index);
	g_rand_free(dispatch->random);
	g_free(dispatch->failure_domain);
	g_free(dispatch);
}

void sr_dispatch_set_observer(sr_dispatch_t *dispatch,
			      void (*fn)(void *user, sr_usec_t now,
					 const sr_observation_t *seen),
			      void *user)
{
	dispatch->observe = fn;
	dispatch->observe_user = user;
}

static void configure_accounts(sr_dispatch_t *dispatch,
			       const sr_config_t *config,
			       const char *service_name)
{
	sr_service_group_t *service =
		sr_upstreams_service(dispatch->upstreams, service_name);

	for (guint i = 0; i < config->accounts->len; i++) {
		const sr_account_config_t *from = config->accounts->pdata[i];
		sr_account_t *account =
			sr_account_share_get(service->accounts, from->name);

		account->weight = from->weight > 0 ? from->weight : 1;
		account->limit = from->in_flight;
	}
}

void sr_dispatch_set_config(sr_dispatch_t *dispatch, sr_usec_t now,
			    sr_config_t *config)
{
	sr_upstreams_set_config(dispatch->upstreams, config);
	for (guint i = 0; i < config->services->len; i++) {
		const sr_service_config_t *service = config->services->pdata[i];

		configure_accounts(dispatch, config, service->name);
	}
}

void sr_dispatch_set_share(sr_dispatch_t *dispatch, const char *service,
			   const char *version, double share)
{
	sr_upstreams_set_share(dispatch->upstreams, service, version, share);
}

void sr_dispatch_recall(sr_dispatch_t *dispatch, const char *service,
			const char *version)
{
	sr_upstreams_recall(dispatch->upstreams, service, version);
}

void sr_dispatch_set_leaving(sr_dispatch_t *dispatch, const char *upstream)
{
	sr_upstreams_set_leaving(dispatch->upstreams, upstream);
}

void sr_dispatch_set_present(sr_dispatch_t *dispatch, const char *upstream,
			     gboolean present)
{
	sr_upstreams_set_present(dispatch->upstreams, upstream, present);
}

gboolean sr_dispatch_is_gone(const sr_dispatch_t *dispatch,
			     const char *upstream)
{
	const sr_upstream_t *found =
		sr_upstreams_find(dispatch->upstreams, upstream);

	return !found || found->leaving || !found->present;
}

static const char *state_of(const sr_upstream_t *upstream, sr_usec_t now)
{
	if (upstream->leaving)
		return "leaving";
	if (!upstream->present)
		return "absent";
	if (sr_ejection_state(&upstream->ejection, now) != SR_EJECTION_NONE)
		return "ejected";
	return "ready";
}

typedef struct {
	sr_usec_t now;
	void (*fn)(void *user, const sr_upstream_view_t *view);
	void *user;
} upstream_visit_t;

static void visit_service_upstreams(sr_service_group_t *service, void *user)
{
	const upstream_visit_t *visit = user;

	for (guint i = 0; i < service->versions->len; i++) {
		const sr_version_group_t *version =
			g_ptr_array_index(service->versions, i);

		for (guint j = 0; j < version->upstreams->len; j++) {
			const sr_upstream_t *upstream =
				g_ptr_array_index(version->upstreams, j);
			const sr_upstream_view_t view = {
				.target = &upstream->target,
				.state = state_of(upstream, visit->now),
				.in_flight = upstream->in_flight,
			};

			visit->fn(visit->user, &view);
		}
	}
}

void sr_dispatch_foreach_upstream(const sr_dispatch_t *dispatch, sr_usec_t now,
				  void (*fn)(void *user,
					     const sr_upstream_view_t *view),
				  void *user)
{
	upstream_visit_t visit = { .now = now, .fn = fn, .user = user };

	sr_upstreams_foreach_service(dispatch->upstreams,
				     visit_service_upstreams, &visit);
}

typedef struct {
	const sr_service_group_t *service;
	void (*fn)(void *user, const char *scope, unsigned in_flight);
	void *user;
} usage_visit_t;

static void visit_usage(void *user, const sr_account_t *account)
{
	const usage_visit_t *visit = user;
	char *scope =
		g_strconcat(visit->service->name, "/", account->name, NULL);

	visit->fn(visit->user, scope, account->in_flight);
	g_free(scope);
}

static void visit_service_usage(sr_service_group_t *service, void *user)
{
	usage_visit_t visit = *(const usage_visit_t *)user;

	visit.service = service;
	sr_account_share_foreach(service->accounts, visit_usage, &visit);
}

void sr_dispatch_foreach_usage(sr_dispatch_t *dispatch,
			       void (*fn)(void *user, const char *scope,
					  unsigned in_flight),
			       void *user)
{
	usage_visit_t visit = { .fn = fn, .user = user };

	sr_upstreams_foreach_service(dispatch->upstreams, visit_service_usage,
				     &visit);
}

void sr_dispatch_set_usage(sr_dispatch_t *dispatch, const char *scope,
			   const char *node, unsigned in_flight, sr_usec_t now)
{
	char **parts = g_strsplit(scope, "/", 2);
	sr_service_group_t *service =
		sr_upstreams_service(dispatch->upstreams, parts[0]);

	if (service && parts[1])
		sr_account_share_heard(service->accounts, parts[1], node,
				       in_flight, now);
	g_strfreev(parts);
}

static void sample(double *mean, double value)
{
	*mean = *mean > 0 ? *mean + SAMPLE_WEIGHT * (value - *mean) : value;
}

static void sample_limit(sr_upstream_t *upstream, sr_usec_t now,
			 sr_limit_signal_t signal, double ratio)
{
	double total = sr_load_estimate_total(&upstream->load, now,
					      upstream->in_flight);

	sr_concurrency_limit_sample(&upstream->limit, now, signal, ratio,
				    total);
}

static void sample_token_gap(sr_upstream_t *upstream, sr_usec_t now,
			     double gap_s)
{
	sample_limit(upstream, now, SR_LIMIT_TOKEN_GAP,
		     gap_s / (TOKEN_GAP_TARGET_S * MEAN_OF_TARGET));
}

void sr_dispatch_report_load(sr_dispatch_t *dispatch, const char *upstream,
			     const sr_load_report_t *report)
{
	sr_upstream_t *to = sr_upstreams_find(dispatch->upstreams, upstream);
	const sr_service_group_t *service;

	if (!to || !sr_load_estimate_report(&to->load, report))
		return;
	service = sr_upstreams_service(dispatch->upstreams, to->target.service);
	if (service && service->kind == SR_SERVICE_MODEL &&
	    report->tokens_per_s > 0)
		sample_token_gap(to, report->measured,
				 1 / report->tokens_per_s);
}

void sr_dispatch_cache_event(sr_dispatch_t *dispatch, const char *upstream,
			     guint64 sequence, guint64 block, gboolean added)
{
	const sr_upstream_t *from =
		sr_upstreams_find(dispatch->upstreams, upstream);

	if (from)
		sr_prefix_index_event(dispatch->index, from->id, sequence,
				      block, added);
}

static void refuse(sr_decision_t *decision, sr_err_t err, sr_usec_t after)
{
	memset(decision, 0, sizeof(*decision));
	decision->kind = SR_DECISION_REFUSE;
	decision->u.refuse.err = err;
	decision->u.refuse.retry_after = after;
}

static void add_capacity(sr_service_group_t *service,
			 const sr_version_group_t *version, sr_usec_t now)
{
	for (guint i = 0; i < version->upstreams->len; i++) {
		const sr_upstream_t *upstream = version->upstreams->pdata[i];

		if (!sr_upstream_is_usable(upstream) ||
		    sr_ejection_state(&upstream->ejection, now) ==
			    SR_EJECTION_EJECTED)
			continue;
		/* Only whole requests fit below a limit. */
		service->capacity += floor(upstream->limit.value);
		service->in_flight += sr_load_estimate_total(
			&upstream->load, now, upstream->in_flight);
	}
}

static void measure_capacity(sr_service_group_t *service, sr_usec_t now)
{
	if (service->measured_at >= 0 &&
	    now - service->measured_at < CAPACITY_INTERVAL)
		return;
	service->measured_at = now;
	service->capacity = 0;
	service->in_flight = 0;
	for (guint i = 0; i < service->versions->len; i++) {
		const sr_version_group_t *version = service->versions->pdata[i];

		if (version->share > 0)
			add_capacity(service, version, now);
	}
}

static sr_usec_t retry_after(sr_dispatch_t *dispatch,
			     sr_service_group_t *service, double headroom,
			     sr_usec_t now)
{
	double excess = service->in_flight - headroom * service->capacity;
	double drain = service->capacity / MAX(service->duration_s, 0.001);

	return sr_admission_retry_after(&service->admission, now, excess, drain,
					g_rand_double(dispatch->random));
}

static gboolean is_over_share(sr_service_group_t *service,
			      const sr_account_t *account, sr_usec_t now)
{
	if (service->in_flight < SHARE_PRESSURE * service->capacity)
		return FALSE;
	return sr_account_in_flight(account, now) + 1 >
	       sr_account_share_fair(service->accounts, account,
				     service->capacity, now);
}

static void send_to(sr_dispatch_t *dispatch, sr_usec_t now, sr_call_t *call,
		    const sr_route_t *route, sr_decision_t *decision)
{
	sr_upstream_t *upstream = route->upstream;

	sr_upstreams_acquire(dispatch->upstreams, upstream);
	sr_ejection_begin(&upstream->ejection, now);
	sr_load_estimate_note(&upstream->load, now, upstream->in_flight);
	upstream->pending_prefill += route->uncached_tokens;
	sr_prefix_index_sent(dispatch->index, now, upstream->id, call->blocks,
			     call->n_blocks);
	call->upstream = upstream;
	call->uncached_tokens = route->uncached_tokens;
	call->sent_at = now;
	call->first_token_at = 0;
	call->tried[call->n_tried++] = upstream->id;
	memset(decision, 0, sizeof(*decision));
	decision->kind = SR_DECISION_SEND;
	decision->u.send = upstream->target;
}

static sr_routing_result_t choose(sr_dispatch_t *dispatch,
				  const sr_call_t *call, double headroom,
				  gboolean may_be_sole, sr_usec_t now,
				  sr_route_t *route)
{
	const sr_routing_t routing = { .upstreams = dispatch->upstreams,
				       .index = dispatch->index,
				       .random = dispatch->random,
				       .failure_domain =
					       dispatch->failure_domain };
	const sr_routing_request_t request = {
		.blocks = call->blocks,
		.n_blocks = call->n_blocks,
		.prompt_tokens = call->prompt_tokens,
		.max_tokens = call->max_tokens,
		.deadline = call->deadline,
		.headroom = headroom,
		.may_be_sole = may_be_sole,
		.tried = call->tried,
		.n_tried = call->n_tried,
	};

	return sr_routing_choose(&routing, call->service, &request, now, route);
}

static void call_init(sr_call_t *call, sr_service_group_t *service,
		      const sr_call_options_t *options)
{
	memset(call, 0, sizeof(*call));
	call->service = service;
	call->account =
		sr_account_share_get(service->accounts, options->account->name);
	call->route = options->route->name;
	call->priority = options->priority;
	call->idempotent = options->idempotent;
	call->deadline = options->deadline;
	call->blocks = (guint64 *)options->blocks; /* copied once it is sent */
	call->n_blocks = options->n_blocks;
	call->prompt_tokens = options->prompt_tokens;
	call->max_tokens = options->max_tokens;
}

/* Fills in the route, or the refusal if there is none. */
static gboolean admit(sr_dispatch_t *dispatch, const sr_call_t *call,
		      sr_usec_t now, sr_route_t *route, sr_decision_t *decision)
{
	sr_service_group_t *service = call->service;
	gboolean over = is_over_share(service, call->account, now);
	double headroom = sr_admission_headroom(&service->admission,
						call->priority, over);
	sr_err_t err = SR_OK;

	if (call->account->limit > 0 &&
	    sr_account_in_flight(call->account, now) >= call->account->limit) {
		refuse(decision, SR_ERR_ACCOUNT_LIMIT,
		       retry_after(dispatch, service, headroom, now));
		return FALSE;
	}
	switch (choose(dispatch, call, headroom, !over, now, route)) {
	case SR_ROUTING_FOUND:
		return TRUE;
	case SR_ROUTING_NO_UPSTREAM:
		refuse(decision, SR_ERR_NO_UPSTREAM, RETRY_AFTER_NO_UPSTREAM);
		return FALSE;
	case SR_ROUTING_BUSY:
		err = over ? SR_ERR_ACCOUNT_LIMIT : SR_ERR_OVERLOADED;
		break;
	case SR_ROUTING_TOO_LATE:
		err = SR_ERR_DEADLINE;
		break;
	}
	call->account->refused_at = now;
	refuse(decision, err, retry_after(dispatch, service, headroom, now));
	return FALSE;
}

sr_call_t *sr_dispatch_begin(sr_dispatch_t *dispatch, sr_usec_t now,
			     const sr_call_options_t *options,
			     sr_decision_t *decision)
{
	sr_service_group_t *service = sr_upstreams_service(
		dispatch->upstreams, options->service->name);
	sr_call_t wanted;
	sr_call_t *call;
	sr_route_t route;

	if (!service) {
		refuse(decision, SR_ERR_NO_UPSTREAM, RETRY_AFTER_NO_UPSTREAM);
		return NULL;
	}
	measure_capacity(service, now);
	call_init(&wanted, service, options);
	if (!admit(dispatch, &wanted, now, &route, decision))
		return NULL;
	sr_admission_admitted(&service->admission, wanted.priority,
			      route.occupancy);
	call = g_memdup2(&wanted, sizeof(wanted));
	call->blocks = g_memdup2(wanted.blocks,
				 sizeof(*wanted.blocks) * wanted.n_blocks);
	call->route = g_strdup(wanted.route);
	call->account->in_flight++;
	dispatch->n_calls++;
	send_to(dispatch, now, call, &route, decision);
	return call;
}

static void prefill_is_over(sr_call_t *call)
{
	g_assert(call->upstream->pending_prefill >= call->uncached_tokens);
	call->upstream->pending_prefill -= call->uncached_tokens;
	call->uncached_tokens = 0;
}

void sr_dispatch_first_token(sr_dispatch_t *dispatch, sr_usec_t now,
			     sr_call_t *call)
{
	double taken = (double)(now - call->sent_at) / (double)SR_SEC;

	if (!call->upstream || call->first_token_at > 0)
		return;
	call->first_token_at = now;
	if (call->uncached_tokens >= 256)
		sample(&call->service->prefill_s,
		       taken / call->uncached_tokens);
	prefill_is_over(call);
	if (call->service->kind == SR_SERVICE_MODEL)
		sample_limit(call->upstream, now, SR_LIMIT_FIRST_TOKEN,
			     taken / (FIRST_TOKEN_TARGET_S * MEAN_OF_TARGET));
}

static void sample_plain(sr_upstream_t *upstream, sr_usec_t now,
			 double duration_s)
{
	double base = upstream->base_duration_s * BASE_GROWTH;
	double tolerated;

	if (base <= 0 || duration_s < base)
		base = duration_s;
	upstream->base_duration_s = base;
	tolerated = PLAIN_TOLERANCE * base + PLAIN_TOLERANCE_MIN_S;
	sample_limit(upstream, now, SR_LIMIT_DURATION, duration_s / tolerated);
}

static void sample_success(sr_call_t *call, sr_usec_t now, unsigned tokens)
{
	double duration = (double)(now - call->sent_at) / (double)SR_SEC;
	unsigned n = tokens - MIN(tokens, call->tokens_before);

	sample(&call->service->duration_s, duration);
	sr_retry_budget_earn(&call->service->retry_budget);
	if (call->service->kind == SR_SERVICE_PLAIN) {
		sample_plain(call->upstream, now, duration);
	} else if (n > 1 && call->first_token_at > 0) {
		double gap = (double)(now - call->first_token_at) /
			     (double)SR_SEC / (n - 1);

		sample(&call->service->token_gap_s, gap);
		sample_token_gap(call->upstream, now, gap);
	}
}

static void learn(sr_call_t *call, sr_usec_t now, sr_attempt_end_t end,
		  unsigned tokens)
{
	sr_upstream_t *upstream = call->upstream;

	switch (end) {
	case SR_ATTEMPT_OK:
		sr_ejection_succeeded(&upstream->ejection);
		sample_success(call, now, tokens);
		break;
	case SR_ATTEMPT_NOT_STARTED:
		sr_ejection_failed(&upstream->ejection, now,
				   NOT_STARTED_FAILURES);
		break;
	case SR_ATTEMPT_FAILED:
	case SR_ATTEMPT_BROKEN:
		sr_ejection_failed(&upstream->ejection, now, 1);
		break;
	case SR_ATTEMPT_TIMED_OUT:
		/* An answer that had begun shows load, not failure. */
		if (call->first_token_at == 0)
			sr_ejection_failed(&upstream->ejection, now, 1);
		else
			sr_ejection_abandoned(&upstream->ejection);
		break;
	case SR_ATTEMPT_REFUSED:
	case SR_ATTEMPT_CANCELLED:
		sr_ejection_abandoned(&upstream->ejection);
		break;
	}
}

static gboolean outcome_of(sr_attempt_end_t end, sr_outcome_t *outcome)
{
	switch (end) {
	case SR_ATTEMPT_OK:
		*outcome = SR_OUTCOME_ANSWERED;
		return TRUE;
	case SR_ATTEMPT_FAILED:
		*outcome = SR_OUTCOME_FAILED;
		return TRUE;
	case SR_ATTEMPT_NOT_STARTED:
	case SR_ATTEMPT_BROKEN:
	case SR_ATTEMPT_TIMED_OUT:
		*outcome = SR_OUTCOME_CONNECTION;
		return TRUE;
	case SR_ATTEMPT_REFUSED:
	case SR_ATTEMPT_CANCELLED:
		return FALSE;
	}
	g_assert_not_reached();
}

static void observe(const sr_dispatch_t *dispatch, sr_usec_t now,
		    const sr_call_t *call, sr_attempt_end_t end)
{
	const sr_target_t *target = &call->upstream->target;
	sr_usec_t first = call->first_token_at > 0 ? call->first_token_at : now;
	sr_observation_t seen = { .service = target->service,
				  .version = target->version,
				  .route = call->route,
				  .upstream = target->name,
				  .failure_domain = target->failure_domain,
				  .first_byte = first - call->sent_at };

	if (dispatch->observe && outcome_of(end, &seen.outcome))
		dispatch->observe(dispatch->observe_user, now, &seen);
}

/* May the request run again without a risk of running twice? */
static gboolean may_repeat(const sr_call_t *call, sr_attempt_end_t end)
{
	switch (end) {
	case SR_ATTEMPT_NOT_STARTED:
	case SR_ATTEMPT_REFUSED:
		return TRUE;
	case SR_ATTEMPT_FAILED:
	case SR_ATTEMPT_BROKEN:
	case SR_ATTEMPT_TIMED_OUT:
		return call->idempotent;
	case SR_ATTEMPT_OK:
	case SR_ATTEMPT_CANCELLED:
		return FALSE;
	}
	g_assert_not_reached();
}

static sr_err_t error_of(const sr_call_t *call, sr_attempt_end_t end)
{
	switch (end) {
	case SR_ATTEMPT_OK:
		return SR_OK;
	case SR_ATTEMPT_CANCELLED:
		return SR_ERR_CANCELLED;
	case SR_ATTEMPT_NOT_STARTED:
	case SR_ATTEMPT_REFUSED:
		return SR_ERR_OVERLOADED;
	case SR_ATTEMPT_FAILED:
	case SR_ATTEMPT_BROKEN:
	case SR_ATTEMPT_TIMED_OUT:
		return call->idempotent ? SR_ERR_UPSTREAM_FAILED :
					  SR_ERR_OUTCOME_UNKNOWN;
	}
	g_assert_not_reached();
}

/*
 * Answers that break off because their upstream leaves are bounded by what it
 * ran, and are no sign of a fault: they need no budget.
 */
static gboolean has_budget(const sr_call_t *call, sr_attempt_end_t end)
{
	if (end == SR_ATTEMPT_BROKEN && !sr_upstream_is_usable(call->upstream))
		return TRUE;
	return sr_retry_budget_take(
		&call->service->retry_budget,
		end == SR_ATTEMPT_NOT_STARTED ? NOT_STARTED_COST : 1);
}

static void leave_upstream(sr_dispatch_t *dispatch, sr_usec_t now,
			   sr_call_t *call)
{
	sr_upstream_t *upstream = call->upstream;

	prefill_is_over(call);
	sr_load_estimate_note(&upstream->load, now, upstream->in_flight - 1);
	call->upstream = NULL;
	sr_upstreams_release(dispatch->upstreams, upstream);
}

gboolean sr_dispatch_attempt_ended(sr_dispatch_t *dispatch, sr_usec_t now,
				   sr_call_t *call, sr_attempt_end_t end,
				   unsigned tokens, sr_decision_t *decision)
{
	gboolean again;
	sr_route_t route;

	g_assert(call->upstream);
	observe(dispatch, now, call, end);
	learn(call, now, end, tokens);
	again = may_repeat(call, end) && now < call->deadline &&
		call->n_tried < ATTEMPTS_MAX && has_budget(call, end);
	leave_upstream(dispatch, now, call);
	call->max_tokens -= MIN(call->max_tokens, tokens - call->tokens_before);
	call->tokens_before = tokens;
	if (again && choose(dispatch, call, RETRY_HEADROOM, TRUE, now,
			    &route) == SR_ROUTING_FOUND) {
		send_to(dispatch, now, call, &route, decision);
		return TRUE;
	}
	refuse(decision, error_of(call, end),
	       retry_after(dispatch, call->service, 1, now));
	return FALSE;
}

void sr_dispatch_finish(sr_dispatch_t *dispatch, sr_usec_t now, sr_call_t *call)
{
	g_assert(dispatch->n_calls > 0);
	g_assert(call->account->in_flight > 0);
	if (call->upstream) {
		sr_ejection_abandoned(&call->upstream->ejection);
		leave_upstream(dispatch, now, call);
	}
	call->account->in_flight--;
	dispatch->n_calls--;
	g_free(call->route);
	g_free(call->blocks);
	g_free(call);
}
