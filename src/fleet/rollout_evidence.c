#include "fleet/rollouts_internal.h"

/** Label of the evidence on all versions but the target of an order. */
#define OLD_VERSIONS "-"

/** In place of a version and a route: the number of hosts that give the new
 * version all requests. */
#define FULL_HOSTS "="

static gboolean is_gone(void *user, const char *upstream)
{
	const sr_rollouts_t *rollouts = user;
	const sr_instance_t *instance = sr_instances_find(
		sr_gateway_instances(rollouts->options.gateway), upstream);

	return !instance || !sr_instance_is_present(instance);
}

/* The counters are sent with the load, see sr_rollouts_add_evidence(). */
static void keep_counters(void *user, const char *key, guint64 version,
			  const guint8 *value, gsize size)
{
	(void)user;
	(void)key;
	(void)version;
	(void)value;
	(void)size;
}

sr_evidence_t *sr_rollouts_new_evidence(sr_rollouts_t *rollouts)
{
	const sr_evidence_options_t options = {
		.node = rollouts->options.node,
		.is_gone = is_gone,
		.publish_counters = keep_counters,
		.user = rollouts,
	};

	return sr_evidence_new(&options);
}

void sr_rollouts_observe(sr_rollouts_t *rollouts,
			 const sr_observation_t *observation)
{
	sr_observation_t labelled = *observation;

	if (!sr_rollouts_find(rollouts, observation->service,
			      observation->version))
		labelled.version = OLD_VERSIONS;
	sr_evidence_record(rollouts->evidence, sr_rollouts_now(rollouts),
			   &labelled);
}

typedef struct {
	const sr_rollouts_t *rollouts;
	sr_load_sum_t *sum;
} add_context_t;

static void add_series(void *user, const char *series,
		       const sr_evidence_counters_t *counters)
{
	const add_context_t *context = user;
	char **names = g_strsplit(series, "/", 3);
	const rollout_t *rollout =
		g_hash_table_lookup(context->rollouts->orders, names[0]);

	if (rollout &&
	    sr_version_trial_phase(rollout->trial) == SR_VERSION_TRIAL_MOVING &&
	    (!strcmp(names[1], OLD_VERSIONS) ||
	     !strcmp(names[1], rollout->target)))
		sr_load_sum_add_evidence(context->sum, series, counters);
	g_strfreev(names);
}

static char *full_hosts_series(const char *service)
{
	return g_strjoin("/", service, FULL_HOSTS, FULL_HOSTS, NULL);
}

static void add_full_host(const sr_rollouts_t *rollouts, sr_load_sum_t *sum)
{
	static const sr_evidence_counters_t one = { .requests = { 1 } };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollouts->orders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const rollout_t *rollout = value;
		char *series = full_hosts_series(rollout->service);

		if (sr_version_trial_is_full(rollout->trial,
					     sr_rollouts_now(rollouts)))
			sr_load_sum_add_evidence(sum, series, &one);
		g_free(series);
	}
}

void sr_rollouts_add_evidence(const sr_rollouts_t *rollouts, sr_load_sum_t *sum)
{
	add_context_t context = { rollouts, sum };

	if (g_hash_table_size(rollouts->orders) == 0)
		return;
	sr_evidence_foreach_own(rollouts->evidence, add_series, &context);
	add_full_host(rollouts, sum);
}

typedef struct {
	const rollout_t *rollout;
	GHashTable *routes; /* name -> sr_version_route_evidence_t */
} collect_context_t;

static void collect_series(void *user, const char *series,
			   const sr_evidence_counters_t *counters)
{
	const collect_context_t *context = user;
	char **names = g_strsplit(series, "/", 3);
	sr_version_route_evidence_t *evidence;

	if (g_strv_length(names) != 3 || !strcmp(names[1], FULL_HOSTS) ||
	    strcmp(names[0], context->rollout->service) != 0) {
		g_strfreev(names);
		return;
	}
	evidence = g_hash_table_lookup(context->routes, names[2]);
	if (!evidence) {
		evidence = g_new0(sr_version_route_evidence_t, 1);
		g_hash_table_insert(context->routes, g_strdup(names[2]),
				    evidence);
	}
	if (!strcmp(names[1], context->rollout->target))
		sr_evidence_add(&evidence->new_version, counters);
	else
		sr_evidence_add(&evidence->old_version, counters);
	g_strfreev(names);
}

void sr_rollouts_analyse(const sr_rollouts_t *rollouts, rollout_t *rollout)
{
	collect_context_t context = {
		.rollout = rollout,
		.routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						g_free),
	};
	GArray *routes =
		g_array_new(FALSE, FALSE, sizeof(sr_version_route_evidence_t));
	gboolean is_known = FALSE;
	const sr_load_sum_t *total =
		rollouts->options.load_total(rollouts->options.user, &is_known);
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	if (total)
		sr_load_sum_foreach_evidence(total, collect_series, &context);
	g_hash_table_iter_init(&iter, context.routes);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		sr_version_route_evidence_t *evidence = value;

		evidence->route = name;
		g_array_append_val(routes, *evidence);
	}
	sr_version_trial_set_response_time(
		rollout->trial,
		sr_gateway_response_time(rollouts->options.gateway,
					 rollout->service));
	sr_version_trial_evaluate(rollout->trial, sr_rollouts_now(rollouts),
				  routes, is_known);
	g_array_unref(routes);
	g_hash_table_unref(context.routes);
}

/* Unfinished requests of all hosts at the old instances. */
static double old_in_flight(const sr_rollouts_t *rollouts,
			    const rollout_t *rollout,
			    const sr_load_sum_t *total)
{
	const GPtrArray *list = sr_instances_of_service(
		sr_gateway_instances(rollouts->options.gateway),
		rollout->service);
	double n = 0;

	for (guint i = 0; list && i < list->len; i++) {
		const sr_instance_t *instance = list->pdata[i];

		if (strcmp(instance->version, rollout->target) != 0)
			n += MAX(sr_load_sum_item(total, instance->name)
					 .in_flight,
				 instance->in_flight);
	}
	return n;
}

typedef struct {
	char *series;
	guint32 n;
} count_context_t;

static void count_full(void *user, const char *series,
		       const sr_evidence_counters_t *counters)
{
	count_context_t *context = user;

	if (!strcmp(series, context->series))
		context->n = sr_evidence_request_count(counters);
}

/* What the total says of the hosts that are included in it. */
sr_version_trial_fleet_t sr_rollouts_fleet_state(const sr_rollouts_t *rollouts,
						 const rollout_t *rollout)
{
	gboolean is_known;
	const sr_load_sum_t *total =
		rollouts->options.load_total(rollouts->options.user, &is_known);
	count_context_t context = { full_hosts_series(rollout->service), 0 };
	sr_version_trial_fleet_t state = { .old_in_flight = -1 };

	if (total && is_known) {
		sr_load_sum_foreach_evidence(total, count_full, &context);
		state.all_are_full = context.n >= sr_load_sum_hosts(total);
		state.old_in_flight = old_in_flight(rollouts, rollout, total);
	}
	g_free(context.series);
	return state;
}
