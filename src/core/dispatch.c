#include "core/dispatch.h"

#include <string.h>

#include "core/upstreams.h"

struct sr_dispatch {
	sr_upstreams_t *upstreams;
	GRand *random;
	char *failure_domain;
	unsigned n_calls;
};

struct sr_call {
	sr_service_group_t *service;
	sr_upstream_t *upstream; /* NULL between attempts */
	gboolean idempotent;
	sr_usec_t deadline;
};

/** When to come back after a refusal that no queue explains. */
#define RETRY_AFTER_DEFAULT SR_SEC

sr_dispatch_t *sr_dispatch_new(const sr_dispatch_options_t *options)
{
	sr_dispatch_t *dispatch = g_new0(sr_dispatch_t, 1);

	dispatch->upstreams = sr_upstreams_new();
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
	g_rand_free(dispatch->random);
	g_free(dispatch->failure_domain);
	g_free(dispatch);
}

void sr_dispatch_set_config(sr_dispatch_t *dispatch, sr_usec_t now,
			    sr_config_t *config)
{
	sr_upstreams_set_config(dispatch->upstreams, config);
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

void sr_dispatch_set_usage(sr_dispatch_t *dispatch, const char *account,
			   const char *node, unsigned in_flight, sr_usec_t now)
{
}

void sr_dispatch_report_load(sr_dispatch_t *dispatch, const char *upstream,
			     const sr_load_report_t *report)
{
}

void sr_dispatch_cache_event(sr_dispatch_t *dispatch, const char *upstream,
			     guint64 sequence, guint64 block, gboolean added)
{
}

static sr_upstream_t *least_loaded(const sr_version_group_t *version,
				   const sr_upstream_t *except)
{
	sr_upstream_t *best = NULL;

	for (guint i = 0; i < version->upstreams->len; i++) {
		sr_upstream_t *upstream = version->upstreams->pdata[i];

		if (upstream == except || !sr_upstream_is_usable(upstream))
			continue;
		if (!best || upstream->in_flight < best->in_flight)
			best = upstream;
	}
	return best;
}

/* Draws a version by share, over those that have a usable upstream. */
static sr_upstream_t *pick(sr_dispatch_t *dispatch,
			   const sr_service_group_t *service,
			   const sr_upstream_t *except)
{
	sr_upstream_t *chosen = NULL;
	double total = 0;

	for (guint i = 0; i < service->versions->len; i++) {
		const sr_version_group_t *version = service->versions->pdata[i];
		sr_upstream_t *upstream = least_loaded(version, except);

		if (!upstream || version->share <= 0)
			continue;
		total += version->share;
		if (g_rand_double(dispatch->random) * total <= version->share)
			chosen = upstream;
	}
	return chosen;
}

static void refuse(sr_decision_t *decision, sr_err_t err, sr_usec_t after)
{
	memset(decision, 0, sizeof(*decision));
	decision->kind = SR_DECISION_REFUSE;
	decision->u.refuse.err = err;
	decision->u.refuse.retry_after = after;
}

static void send_to(sr_dispatch_t *dispatch, sr_call_t *call,
		    sr_upstream_t *upstream, sr_decision_t *decision)
{
	sr_upstreams_acquire(dispatch->upstreams, upstream);
	call->upstream = upstream;
	memset(decision, 0, sizeof(*decision));
	decision->kind = SR_DECISION_SEND;
	decision->u.send = upstream->target;
}

sr_call_t *sr_dispatch_begin(sr_dispatch_t *dispatch, sr_usec_t now,
			     const sr_call_options_t *options,
			     sr_decision_t *decision)
{
	sr_service_group_t *service = sr_upstreams_service(
		dispatch->upstreams, options->service->name);
	sr_upstream_t *upstream;
	sr_call_t *call;

	if (options->deadline <= now) {
		refuse(decision, SR_ERR_DEADLINE, RETRY_AFTER_DEFAULT);
		return NULL;
	}
	upstream = service ? pick(dispatch, service, NULL) : NULL;
	if (!upstream) {
		refuse(decision, SR_ERR_NO_UPSTREAM, RETRY_AFTER_DEFAULT);
		return NULL;
	}
	call = g_new0(sr_call_t, 1);
	call->service = service;
	call->idempotent = options->idempotent;
	call->deadline = options->deadline;
	dispatch->n_calls++;
	send_to(dispatch, call, upstream, decision);
	return call;
}

void sr_dispatch_first_token(sr_dispatch_t *dispatch, sr_usec_t now,
			     sr_call_t *call)
{
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

gboolean sr_dispatch_attempt_ended(sr_dispatch_t *dispatch, sr_usec_t now,
				   sr_call_t *call, sr_attempt_end_t end,
				   unsigned tokens, sr_decision_t *decision)
{
	sr_upstream_t *ended = call->upstream;
	sr_upstream_t *next = NULL;

	g_assert(ended);
	call->upstream = NULL;
	if (may_repeat(call, end) && now < call->deadline)
		next = pick(dispatch, call->service, ended);
	sr_upstreams_release(dispatch->upstreams, ended);
	if (!next) {
		refuse(decision, error_of(call, end), RETRY_AFTER_DEFAULT);
		return FALSE;
	}
	send_to(dispatch, call, next, decision);
	return TRUE;
}

void sr_dispatch_finish(sr_dispatch_t *dispatch, sr_usec_t now, sr_call_t *call)
{
	g_assert(dispatch->n_calls > 0);
	if (call->upstream)
		sr_upstreams_release(dispatch->upstreams, call->upstream);
	dispatch->n_calls--;
	g_free(call);
}
