#include "core/dispatch.h"

#include <math.h>
#include <string.h>

#include "core/prefix_index.h"
#include "core/routing.h"
#include "core/upstreams.h"

/** Attempts per request, including the first. */
#define MAX_ATTEMPTS 4

/** An unreachable upstream counts as 2 failures towards ejection. Retrying
 * elsewhere costs a quarter of a retry, because the request did not run. */
#define NOT_STARTED_FAILURE_WEIGHT 2
#define NOT_STARTED_RETRY_COST 0.25

/** Blocks in the prefix index; about 200 bytes each. */
#define MAX_INDEX_BLOCKS 131072

/** Latency targets for the tail of the answers of model engines, in seconds.
 * The mean may reach a fraction of them, so that the tail stays below. */
#define FIRST_TOKEN_TARGET_S 1.1
#define TOKEN_GAP_TARGET_S 0.052
#define MEAN_TO_TARGET_RATIO 0.8

/** Tolerated duration of a plain request, relative to the baseline, which is
 * the duration in an idle upstream: this factor, plus a margin in seconds. */
#define PLAIN_LATENCY_FACTOR 2.0
#define PLAIN_LATENCY_MARGIN_S 0.02

/** Growth of the baseline duration with each sample, so that an outdated
 * minimum is given up. */
#define BASELINE_GROWTH 1.002

/** Weight of a new sample in the moving averages of a service. */
#define SAMPLE_WEIGHT 0.05

/** Prompts with fewer uncached tokens are not used as samples of the prefill
 * time, as fixed costs dominate. */
#define MIN_PREFILL_SAMPLE_TOKENS 256

/** Fraction of the capacity in use from which fair shares are enforced. */
#define FAIR_SHARE_MIN_OCCUPANCY 0.75

/** Retries of admitted requests may fill up to this multiple of the limits. */
#define RETRY_HEADROOM 1.25

/** Capacity and load of a service are recomputed at most this often. */
#define CAPACITY_UPDATE_INTERVAL (50 * SR_MSEC)

/** Retry delay if a service has no usable upstream. */
#define RETRY_AFTER_NO_UPSTREAM (2 * SR_SEC)

struct sr_dispatch {
	sr_upstreams_t *upstreams;
	sr_prefix_index_t *index;
	GRand *random;
	char *failure_domain;
	unsigned n_calls;
	void (*observe)(void *user, sr_usec_t now,
			const sr_observation_t *observation);
	void *observe_user;
};

struct sr_call {
	sr_service_group_t *service;
	sr_account_t *account;
	sr_upstream_t *upstream; /* NULL between attempts */
	char *route;		 /* name; borrowed until the call is admitted */
	sr_priority_t priority;
	gboolean idempotent;
	sr_usec_t deadline;
	guint64 *blocks;
	unsigned n_blocks;
	unsigned prompt_tokens;
	unsigned max_tokens;
	unsigned uncached_tokens;  /* expected at the current upstream */
	unsigned delivered_tokens; /* by earlier attempts */
	sr_usec_t sent_at;
	sr_usec_t first_token_at; /* of this attempt; 0 if not received */
	guint32 tried[MAX_ATTEMPTS];
	unsigned n_tried;
};

sr_dispatch_t *sr_dispatch_new(const sr_dispatch_options_t *options)
{
	sr_dispatch_t *dispatch = g_new0(sr_dispatch_t, 1);

	dispatch->upstreams = sr_upstreams_new();
	dispatch->index = sr_prefix_index_new(MAX_INDEX_BLOCKS);
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
					 const sr_observation_t *observation),
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

static const char *upstream_state_name(const sr_upstream_t *upstream,
				       sr_usec_t now)
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
				.state = upstream_state_name(upstream,
							     visit->now),
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
			   const char *host, unsigned in_flight, sr_usec_t now)
{
	char **parts = g_strsplit(scope, "/", 2);
	sr_service_group_t *service =
		sr_upstreams_service(dispatch->upstreams, parts[0]);

	if (service && parts[1])
		sr_account_share_receive(service->accounts, parts[1], host,
					 in_flight, now);
	g_strfreev(parts);
}

static void update_mean(double *mean, double value)
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
		     gap_s / (TOKEN_GAP_TARGET_S * MEAN_TO_TARGET_RATIO));
}

void sr_dispatch_report_load(sr_dispatch_t *dispatch, const char *upstream,
			     const sr_load_report_t *report)
{
	sr_upstream_t *found = sr_upstreams_find(dispatch->upstreams, upstream);
	const sr_service_group_t *service;

	if (!found || !sr_load_estimate_add_report(&found->load, report))
		return;
	service = sr_upstreams_service(dispatch->upstreams,
				       found->target.service);
	if (service && service->kind == SR_SERVICE_MODEL &&
	    report->tokens_per_s > 0)
		sample_token_gap(found, report->measured_at,
				 1 / report->tokens_per_s);
}

void sr_dispatch_cache_event(sr_dispatch_t *dispatch, const char *upstream,
			     guint64 sequence, guint64 block, gboolean added)
{
	const sr_upstream_t *found =
		sr_upstreams_find(dispatch->upstreams, upstream);

	if (found)
		sr_prefix_index_apply_event(dispatch->index, found->id,
					    sequence, block, added);
}

static void refuse(sr_decision_t *decision, sr_err_t err, sr_usec_t delay)
{
	memset(decision, 0, sizeof(*decision));
	decision->kind = SR_DECISION_REFUSE;
	decision->u.refuse.err = err;
	decision->u.refuse.retry_after = delay;
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
		/* A fractional limit admits only whole requests. */
		service->capacity += floor(upstream->limit.value);
		service->in_flight += sr_load_estimate_total(
			&upstream->load, now, upstream->in_flight);
	}
}

static void update_capacity(sr_service_group_t *service, sr_usec_t now)
{
	if (service->capacity_updated_at >= 0 &&
	    now - service->capacity_updated_at < CAPACITY_UPDATE_INTERVAL)
		return;
	service->capacity_updated_at = now;
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
	double drain_per_s =
		service->capacity / MAX(service->duration_s, 0.001);

	return sr_admission_retry_after(&service->admission, now, excess,
					drain_per_s,
					g_rand_double(dispatch->random));
}

static gboolean exceeds_fair_share(sr_service_group_t *service,
				   const sr_account_t *account, sr_usec_t now)
{
	if (service->in_flight < FAIR_SHARE_MIN_OCCUPANCY * service->capacity)
		return FALSE;
	return sr_account_in_flight(account, now) + 1 >
	       sr_account_share_compute(service->accounts, account,
					service->capacity, now);
}

static void send_to(sr_dispatch_t *dispatch, sr_usec_t now, sr_call_t *call,
		    const sr_routing_choice_t *choice, sr_decision_t *decision)
{
	sr_upstream_t *upstream = choice->upstream;

	sr_upstreams_acquire(dispatch->upstreams, upstream);
	sr_ejection_begin(&upstream->ejection, now);
	sr_load_estimate_set_in_flight(&upstream->load, now,
				       upstream->in_flight);
	upstream->pending_prefill_tokens += choice->uncached_tokens;
	sr_prefix_index_add_sent(dispatch->index, now, upstream->id,
				 call->blocks, call->n_blocks);
	call->upstream = upstream;
	call->uncached_tokens = choice->uncached_tokens;
	call->sent_at = now;
	call->first_token_at = 0;
	call->tried[call->n_tried++] = upstream->id;
	memset(decision, 0, sizeof(*decision));
	decision->kind = SR_DECISION_SEND;
	decision->u.send = upstream->target;
}

static sr_routing_result_t
choose_upstream(sr_dispatch_t *dispatch, const sr_call_t *call, double headroom,
		gboolean guarantee_one_slot, sr_usec_t now,
		sr_routing_choice_t *choice)
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
		.guarantee_one_slot = guarantee_one_slot,
		.tried = call->tried,
		.n_tried = call->n_tried,
	};

	return sr_routing_choose(&routing, call->service, &request, now,
				 choice);
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
	/* Copied by sr_dispatch_begin() if the call is admitted. */
	call->blocks = (guint64 *)options->blocks;
	call->n_blocks = options->n_blocks;
	call->prompt_tokens = options->prompt_tokens;
	call->max_tokens = options->max_tokens;
}

/* Fills in choice and returns TRUE, or fills in a refusal. */
static gboolean admit(sr_dispatch_t *dispatch, const sr_call_t *call,
		      sr_usec_t now, sr_routing_choice_t *choice,
		      sr_decision_t *decision)
{
	sr_service_group_t *service = call->service;
	gboolean over_share = exceeds_fair_share(service, call->account, now);
	double headroom = sr_admission_headroom(&service->admission,
						call->priority, over_share);
	sr_err_t err = SR_OK;

	if (call->account->limit > 0 &&
	    sr_account_in_flight(call->account, now) >= call->account->limit) {
		refuse(decision, SR_ERR_ACCOUNT_LIMIT,
		       retry_after(dispatch, service, headroom, now));
		return FALSE;
	}
	switch (choose_upstream(dispatch, call, headroom, !over_share, now,
				choice)) {
	case SR_ROUTING_FOUND:
		return TRUE;
	case SR_ROUTING_NO_UPSTREAM:
		refuse(decision, SR_ERR_NO_UPSTREAM, RETRY_AFTER_NO_UPSTREAM);
		return FALSE;
	case SR_ROUTING_BUSY:
		err = over_share ? SR_ERR_ACCOUNT_LIMIT : SR_ERR_OVERLOADED;
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
	sr_call_t candidate;
	sr_call_t *call;
	sr_routing_choice_t choice;

	if (!service) {
		refuse(decision, SR_ERR_NO_UPSTREAM, RETRY_AFTER_NO_UPSTREAM);
		return NULL;
	}
	update_capacity(service, now);
	call_init(&candidate, service, options);
	if (!admit(dispatch, &candidate, now, &choice, decision))
		return NULL;
	sr_admission_record(&service->admission, candidate.priority,
			    choice.occupancy);
	call = g_memdup2(&candidate, sizeof(candidate));
	call->blocks = g_memdup2(candidate.blocks, sizeof(*candidate.blocks) *
							   candidate.n_blocks);
	call->route = g_strdup(candidate.route);
	call->account->in_flight++;
	dispatch->n_calls++;
	send_to(dispatch, now, call, &choice, decision);
	return call;
}

static void clear_pending_prefill(sr_call_t *call)
{
	g_assert(call->upstream->pending_prefill_tokens >=
		 call->uncached_tokens);
	call->upstream->pending_prefill_tokens -= call->uncached_tokens;
	call->uncached_tokens = 0;
}

void sr_dispatch_first_token(sr_dispatch_t *dispatch, sr_usec_t now,
			     sr_call_t *call)
{
	double elapsed_s = (double)(now - call->sent_at) / (double)SR_SEC;

	if (!call->upstream || call->first_token_at > 0)
		return;
	call->first_token_at = now;
	if (call->uncached_tokens >= MIN_PREFILL_SAMPLE_TOKENS)
		update_mean(&call->service->prefill_s_per_token,
			    elapsed_s / call->uncached_tokens);
	clear_pending_prefill(call);
	if (call->service->kind == SR_SERVICE_MODEL)
		sample_limit(call->upstream, now, SR_LIMIT_FIRST_TOKEN,
			     elapsed_s / (FIRST_TOKEN_TARGET_S *
					  MEAN_TO_TARGET_RATIO));
}

static void sample_plain(sr_upstream_t *upstream, sr_usec_t now,
			 double duration_s)
{
	double base = upstream->baseline_duration_s * BASELINE_GROWTH;
	double tolerated_s;

	if (base <= 0 || duration_s < base)
		base = duration_s;
	upstream->baseline_duration_s = base;
	tolerated_s = PLAIN_LATENCY_FACTOR * base + PLAIN_LATENCY_MARGIN_S;
	sample_limit(upstream, now, SR_LIMIT_DURATION,
		     duration_s / tolerated_s);
}

static void sample_success(sr_call_t *call, sr_usec_t now, unsigned tokens)
{
	double duration = (double)(now - call->sent_at) / (double)SR_SEC;
	unsigned n_tokens = tokens - MIN(tokens, call->delivered_tokens);

	update_mean(&call->service->duration_s, duration);
	sr_retry_budget_earn(&call->service->retry_budget);
	if (call->service->kind == SR_SERVICE_PLAIN) {
		sample_plain(call->upstream, now, duration);
	} else if (n_tokens > 1 && call->first_token_at > 0) {
		double gap = (double)(now - call->first_token_at) /
			     (double)SR_SEC / (n_tokens - 1);

		update_mean(&call->service->token_gap_s, gap);
		sample_token_gap(call->upstream, now, gap);
	}
}

static void record_result(sr_call_t *call, sr_usec_t now,
			  sr_attempt_result_t result, unsigned tokens)
{
	sr_upstream_t *upstream = call->upstream;

	switch (result) {
	case SR_ATTEMPT_OK:
		sr_ejection_succeeded(&upstream->ejection);
		sample_success(call, now, tokens);
		break;
	case SR_ATTEMPT_NOT_STARTED:
		sr_ejection_failed(&upstream->ejection, now,
				   NOT_STARTED_FAILURE_WEIGHT);
		break;
	case SR_ATTEMPT_FAILED:
	case SR_ATTEMPT_BROKEN:
		sr_ejection_failed(&upstream->ejection, now, 1);
		break;
	case SR_ATTEMPT_TIMED_OUT:
		/* After the first token a timeout means load, not failure. */
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

/* Returns FALSE if the result is no evidence for or against a version. */
static gboolean classify_outcome(sr_attempt_result_t result,
				 sr_outcome_t *outcome)
{
	switch (result) {
	case SR_ATTEMPT_OK:
		*outcome = SR_OUTCOME_ANSWERED;
		return TRUE;
	case SR_ATTEMPT_FAILED:
		*outcome = SR_OUTCOME_FAILED;
		return TRUE;
	case SR_ATTEMPT_NOT_STARTED:
	case SR_ATTEMPT_BROKEN:
	case SR_ATTEMPT_TIMED_OUT:
		*outcome = SR_OUTCOME_CONNECTION_ERROR;
		return TRUE;
	case SR_ATTEMPT_REFUSED:
	case SR_ATTEMPT_CANCELLED:
		return FALSE;
	}
	g_assert_not_reached();
}

static void notify_observer(const sr_dispatch_t *dispatch, sr_usec_t now,
			    const sr_call_t *call, sr_attempt_result_t result)
{
	const sr_target_t *target = &call->upstream->target;
	sr_usec_t first = call->first_token_at > 0 ? call->first_token_at : now;
	sr_observation_t observation = { .service = target->service,
					 .version = target->version,
					 .route = call->route,
					 .upstream = target->name,
					 .failure_domain =
						 target->failure_domain,
					 .first_byte = first - call->sent_at };

	if (dispatch->observe && classify_outcome(result, &observation.outcome))
		dispatch->observe(dispatch->observe_user, now, &observation);
}

/* A retry is safe if the request has not run or may run twice. */
static gboolean may_retry(const sr_call_t *call, sr_attempt_result_t result)
{
	switch (result) {
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

static sr_err_t final_error(const sr_call_t *call, sr_attempt_result_t result)
{
	switch (result) {
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
 * A retry of an answer that broke off because its upstream left takes nothing
 * from the budget. The number of such retries is bounded by the requests that
 * ran there, and they don't indicate a fault.
 */
static gboolean take_retry_budget(const sr_call_t *call,
				  sr_attempt_result_t result)
{
	if (result == SR_ATTEMPT_BROKEN &&
	    !sr_upstream_is_usable(call->upstream))
		return TRUE;
	return sr_retry_budget_take(
		&call->service->retry_budget,
		result == SR_ATTEMPT_NOT_STARTED ? NOT_STARTED_RETRY_COST : 1);
}

static void release_upstream(sr_dispatch_t *dispatch, sr_usec_t now,
			     sr_call_t *call)
{
	sr_upstream_t *upstream = call->upstream;

	clear_pending_prefill(call);
	sr_load_estimate_set_in_flight(&upstream->load, now,
				       upstream->in_flight - 1);
	call->upstream = NULL;
	sr_upstreams_release(dispatch->upstreams, upstream);
}

gboolean sr_dispatch_attempt_ended(sr_dispatch_t *dispatch, sr_usec_t now,
				   sr_call_t *call, sr_attempt_result_t result,
				   unsigned tokens, sr_decision_t *decision)
{
	gboolean retry;
	sr_routing_choice_t choice;

	g_assert(call->upstream);
	notify_observer(dispatch, now, call, result);
	record_result(call, now, result, tokens);
	retry = may_retry(call, result) && now < call->deadline &&
		call->n_tried < MAX_ATTEMPTS && take_retry_budget(call, result);
	release_upstream(dispatch, now, call);
	call->max_tokens -=
		MIN(call->max_tokens, tokens - call->delivered_tokens);
	call->delivered_tokens = tokens;
	if (retry && choose_upstream(dispatch, call, RETRY_HEADROOM, TRUE, now,
				     &choice) == SR_ROUTING_FOUND) {
		send_to(dispatch, now, call, &choice, decision);
		return TRUE;
	}
	refuse(decision, final_error(call, result),
	       retry_after(dispatch, call->service, 1, now));
	return FALSE;
}

void sr_dispatch_finish(sr_dispatch_t *dispatch, sr_usec_t now, sr_call_t *call)
{
	g_assert(dispatch->n_calls > 0);
	g_assert(call->account->in_flight > 0);
	if (call->upstream) {
		sr_ejection_abandoned(&call->upstream->ejection);
		release_upstream(dispatch, now, call);
	}
	call->account->in_flight--;
	dispatch->n_calls--;
	g_free(call->route);
	g_free(call->blocks);
	g_free(call);
}
