#include "rules.h"

/** Breaches that are reported in full. */
#define REPORTED_MAX 12

/** How much longer a host that was slowed down may show an older version. */
#define SLOWED_RATIO 8

void soak_calm_begin(soak_calm_t *calm)
{
	calm->n_disruptions++;
	calm->since_ms = G_MAXINT64;
}

void soak_calm_end(soak_calm_t *calm, gint64 now_ms)
{
	if (--calm->n_disruptions == 0)
		calm->since_ms = now_ms;
}

soak_rules_t *soak_rules_new(const soak_bounds_t *bounds, unsigned n_hosts)
{
	soak_rules_t *rules = g_new0(soak_rules_t, 1);

	rules->bounds = *bounds;
	rules->acknowledged_ms = g_array_new(FALSE, TRUE, sizeof(gint64));
	g_array_set_size(rules->acknowledged_ms, 1);
	rules->hosts = g_array_new(FALSE, TRUE, sizeof(soak_host_t));
	g_array_set_size(rules->hosts, n_hosts);
	rules->report = g_string_new(NULL);
	return rules;
}

void soak_rules_free(soak_rules_t *rules)
{
	g_array_unref(rules->acknowledged_ms);
	g_array_unref(rules->hosts);
	g_string_free(rules->report, TRUE);
	g_free(rules);
}

soak_host_t *soak_rules_host(const soak_rules_t *rules, unsigned host)
{
	return &g_array_index(rules->hosts, soak_host_t, host);
}

static unsigned last_version(const soak_rules_t *rules)
{
	return rules->acknowledged_ms->len - 1;
}

unsigned soak_rules_acknowledge(soak_rules_t *rules, gint64 now_ms)
{
	g_array_append_val(rules->acknowledged_ms, now_ms);
	return last_version(rules);
}

soak_subject_t *soak_subject_new(const char *name)
{
	soak_subject_t *subject = g_new0(soak_subject_t, 1);

	subject->name = g_strdup(name);
	subject->changes = g_array_new(FALSE, FALSE, sizeof(soak_change_t));
	return subject;
}

void soak_subject_free(soak_subject_t *subject)
{
	g_array_unref(subject->changes);
	g_free(subject->name);
	g_free(subject);
}

void soak_subject_set(soak_subject_t *subject, unsigned version,
		      gboolean is_valid)
{
	const soak_change_t change = { version, is_valid };

	g_array_append_val(subject->changes, change);
}

gboolean soak_subject_is_valid(const soak_subject_t *subject, unsigned version)
{
	gboolean is_valid = FALSE;

	for (guint i = 0; i < subject->changes->len; i++) {
		const soak_change_t *change =
			&g_array_index(subject->changes, soak_change_t, i);

		if (change->version <= version)
			is_valid = change->is_valid;
	}
	return is_valid;
}

/* Whether a host that has this version in force ends the request so. */
static gboolean allows(const soak_request_t *request, unsigned version)
{
	return soak_subject_is_valid(request->subject, version) ==
	       (request->outcome == SOAK_OUTCOME_SERVED);
}

/* Time that a version may take to be in force; negative without a bound. */
static gint64 apply_time(const soak_rules_t *rules,
			 const soak_request_t *request, unsigned version)
{
	const soak_bounds_t *bounds = &rules->bounds;
	gint64 acknowledged =
		g_array_index(rules->acknowledged_ms, gint64, version);

	if (rules->store_calm.since_ms <= request->sent_ms - bounds->contact_ms)
		return bounds->apply_ms;
	if (rules->store_answering.since_ms <=
	    acknowledged - bounds->contact_ms)
		return bounds->apply_ms + bounds->outer_ms;
	return -1;
}

/* The newest version that the host must have had in force when the request was
 * sent; 0 for none. */
static unsigned required_version(const soak_rules_t *rules,
				 const soak_request_t *request)
{
	const soak_host_t *host = soak_rules_host(rules, request->host);
	gint64 in_touch_since =
		host->calm.since_ms == G_MAXINT64 ?
			G_MAXINT64 :
			host->calm.since_ms + rules->bounds.contact_ms;

	if (in_touch_since > request->sent_ms)
		return 0;
	for (unsigned i = last_version(rules); i > 0; i--) {
		gint64 time = apply_time(rules, request, i);

		if (time >= 0 &&
		    request->sent_ms - g_array_index(rules->acknowledged_ms,
						     gint64, i) >
			    time)
			return i;
	}
	return 0;
}

static gboolean is_allowed_since(const soak_rules_t *rules,
				 const soak_request_t *request, unsigned first)
{
	for (unsigned i = first; i <= last_version(rules); i++) {
		if (allows(request, i))
			return TRUE;
	}
	return FALSE;
}

static void report(soak_rules_t *rules, const soak_request_t *request,
		   const char *what, unsigned version)
{
	static const char *const outcomes[] = { "served", "denied", "other" };

	if (rules->n_late + rules->n_regressed > REPORTED_MAX)
		return;
	g_string_append_printf(
		rules->report,
		"%s: host %u, %s %s at %.3f s; version %u, acknowledged at "
		"%.3f s; host calm since %.3f s, store since %.3f s\n",
		what, request->host, request->subject->name,
		outcomes[request->outcome], (double)request->sent_ms / 1000,
		version,
		(double)g_array_index(rules->acknowledged_ms, gint64, version) /
			1000,
		(double)soak_rules_host(rules, request->host)->calm.since_ms /
			1000,
		(double)rules->store_calm.since_ms / 1000);
}

/* A host that has shown a version in one incarnation doesn't go back. */
static void judge_regress(soak_rules_t *rules, const soak_request_t *request)
{
	soak_host_t *host = soak_rules_host(rules, request->host);
	gint64 slack = rules->bounds.rollback_slack_ms;
	unsigned first = 1;

	if (host->slowed_ms > 0 &&
	    request->ended_ms - host->slowed_ms < rules->bounds.contact_ms)
		slack *= SLOWED_RATIO;
	if (host->shown_version > 0 &&
	    request->sent_ms > host->shown_ms + slack &&
	    !is_allowed_since(rules, request, host->shown_version)) {
		rules->n_regressed++;
		report(rules, request, "went back", host->shown_version);
	}
	while (first <= last_version(rules) && !allows(request, first))
		first++;
	if (request->outcome == SOAK_OUTCOME_SERVED &&
	    first <= last_version(rules) && first > host->shown_version) {
		host->shown_version = first;
		host->shown_ms = request->ended_ms;
	}
}

void soak_rules_judge(soak_rules_t *rules, const soak_request_t *request)
{
	const soak_host_t *host = soak_rules_host(rules, request->host);
	unsigned required;

	if (request->outcome == SOAK_OUTCOME_OTHER ||
	    request->incarnation != host->incarnation)
		return;
	judge_regress(rules, request);
	required = required_version(rules, request);
	if (required == 0)
		return;
	rules->n_judged++;
	if (!is_allowed_since(rules, request, required)) {
		rules->n_late++;
		report(rules, request, "late", required);
	}
}
