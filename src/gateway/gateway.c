#include "gateway/gateway.h"

#include "gateway/internal.h"

/** Interval of the timeout checks on sessions and idle connections. */
#define SWEEP_INTERVAL (250 * SR_MSEC)

/** Default maximum of connections from callers. */
#define DEFAULT_MAX_CONNECTIONS 1500

/** Default maximum of buffered request bytes, over all sessions. */
#define DEFAULT_BUFFERED_BYTES (64 * 1024 * 1024)
#define DEFAULT_RESPONSE_BYTES (128 * 1024 * 1024)

/** Capacity of the prefix index, in prompt blocks of about 200 bytes each. */
#define PREFIX_INDEX_BLOCKS 20000

/** Default retry budget of a service over all hosts: retries earned by each
 * request, and retries that may be saved up. */
#define DEFAULT_RETRY_RATIO 0.1
#define DEFAULT_RETRY_SLACK 20.0

/** Minimum number of hosts that limits are divided by. Hosts that are not
 * known yet also retry and use up allowances. */
#define MIN_SHARING_HOSTS 6

static void register_metrics(sr_gateway_t *gateway)
{
	static const char *const outcomes[] = {
		"not-sent", "rejected", "broken", "failed", "answered", "cut",
	};
	sr_metrics_t *registry = gateway->options.metrics;
	sr_gateway_metrics_t *metrics = &gateway->metrics;

	for (unsigned i = 0; i < G_N_ELEMENTS(metrics->responses); i++) {
		char *labels = g_strdup_printf("code=\"%uxx\"", i);

		metrics->responses[i] = sr_metrics_counter(
			registry, "sassafras_gateway_requests_total",
			"requests by the status of their answer", labels);
		g_free(labels);
	}
	for (unsigned i = 0; i < G_N_ELEMENTS(metrics->attempts); i++) {
		char *labels = sr_metrics_labels("outcome", outcomes[i], NULL);

		metrics->attempts[i] = sr_metrics_counter(
			registry, "sassafras_gateway_attempts_total",
			"sends to instances by how they ended", labels);
		g_free(labels);
	}
	metrics->callers_left = sr_metrics_counter(
		registry, "sassafras_gateway_callers_left_total",
		"requests whose caller closed before the answer", NULL);
	metrics->aborted = sr_metrics_counter(
		registry, "sassafras_gateway_broken_off_total",
		"answers that were broken off midway", NULL);
	metrics->instances_ended = sr_metrics_counter(
		registry, "sassafras_gateway_instances_ended_total",
		"instances that ended under requests of this host", NULL);
	metrics->quarantined_requests = sr_metrics_counter(
		registry, "sassafras_gateway_quarantined_requests_total",
		"requests refused since instances ended under ones like them",
		NULL);
	metrics->probes = sr_metrics_counter(
		registry, "sassafras_gateway_quarantine_probes_total",
		"requests that passed as probes of a quarantine", NULL);
	metrics->quarantined = sr_metrics_gauge(
		registry, "sassafras_gateway_quarantined_fingerprints",
		"fingerprints of requests that are quarantined", NULL);
	metrics->services_unreached = sr_metrics_gauge(
		registry, "sassafras_gateway_services_unreached",
		"services of which this host reaches no instance", NULL);
	metrics->evacuated_domains = sr_metrics_gauge(
		registry, "sassafras_gateway_evacuated_domains",
		"failure domains whose instances get no requests", NULL);
	metrics->paced = sr_metrics_gauge(
		registry, "sassafras_gateway_paced_instances",
		"instances that may be cold and get few requests", NULL);
	metrics->relayed =
		sr_metrics_counter(registry, "sassafras_gateway_relayed_total",
				   "requests passed on to another host", NULL);
	metrics->paused = sr_metrics_counter(
		registry, "sassafras_gateway_streams_paused_total",
		"times that reading a stream stopped until its caller had "
		"taken what was sent",
		NULL);
	metrics->response_bytes = sr_metrics_gauge(
		registry, "sassafras_gateway_response_bytes",
		"bytes of responses that are not complete, or not yet sent",
		NULL);
	metrics->duration = sr_metrics_histogram(
		registry, "sassafras_gateway_duration_seconds",
		"from a request's first byte to the end of its answer", NULL);
	metrics->first_event = sr_metrics_histogram(
		registry, "sassafras_gateway_first_event_seconds",
		"from a request's first byte to the first event", NULL);
	metrics->sessions =
		sr_metrics_gauge(registry, "sassafras_gateway_connections",
				 "open connections of callers", NULL);
	metrics->transactions =
		sr_metrics_gauge(registry, "sassafras_gateway_in_flight",
				 "requests without a final answer", NULL);
}

static void set_defaults(sr_gateway_options_t *options)
{
	if (options->max_connections == 0)
		options->max_connections = DEFAULT_MAX_CONNECTIONS;
	if (options->buffered_bytes == 0)
		options->buffered_bytes = DEFAULT_BUFFERED_BYTES;
	if (options->response_bytes == 0)
		options->response_bytes = DEFAULT_RESPONSE_BYTES;
	if (options->retry_ratio == 0)
		options->retry_ratio = DEFAULT_RETRY_RATIO;
	if (options->retry_slack == 0)
		options->retry_slack = DEFAULT_RETRY_SLACK;
}

sr_gateway_t *sr_gateway_new(const sr_gateway_options_t *options)
{
	sr_gateway_t *gateway = g_new0(sr_gateway_t, 1);

	gateway->options = *options;
	set_defaults(&gateway->options);
	gateway->instances = sr_instances_new();
	gateway->prefix_index = sr_prefix_index_new(PREFIX_INDEX_BLOCKS);
	gateway->allowance = sr_allowance_new();
	sr_allowance_set_tolerance(gateway->allowance, &options->allowance);
	sr_gateway_create_suspects(gateway);
	if (options->take_from_pool)
		sr_allowance_enable_pools(gateway->allowance);
	gateway->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gateway->connection_pool =
		sr_connection_pool_new(gateway, sr_gateway_probe_service);
	gateway->relay_hosts = sr_instances_new();
	gateway->relay_pool = sr_connection_pool_new(gateway, NULL);
	gateway->rng = g_rand_new_with_seed((guint32)options->seed);
	sr_gateway_set_host_count(gateway, MIN_SHARING_HOSTS);
	sr_list_init(&gateway->sessions);
	sr_list_init(&gateway->transactions);
	sr_list_init(&gateway->instance_checks);
	register_metrics(gateway);
	return gateway;
}

void sr_gateway_free(sr_gateway_t *gateway)
{
	if (!gateway)
		return;
	sr_timer_cancel(gateway->sweep_timer);
	sr_acceptor_free(gateway->caller_acceptor);
	sr_acceptor_free(gateway->ready_acceptor);
	sr_acceptor_free(gateway->metrics_acceptor);
	sr_acceptor_free(gateway->relay_acceptor);
	sr_list_for_each_safe (link, &gateway->sessions)
		sr_session_free(sr_session_of_link(link));
	sr_gateway_cancel_checks(gateway);
	sr_gateway_cancel_probes(gateway);
	sr_connection_pool_free(gateway->connection_pool);
	sr_connection_pool_free(gateway->relay_pool);
	sr_instances_free(gateway->relay_hosts);
	sr_instances_free(gateway->instances);
	sr_prefix_index_free(gateway->prefix_index);
	sr_allowance_free(gateway->allowance);
	sr_crash_suspects_free(gateway->suspects);
	g_hash_table_unref(gateway->services);
	sr_route_table_unref(gateway->table);
	g_rand_free(gateway->rng);
	g_free(gateway);
}

gboolean sr_gateway_is_ready(const sr_gateway_t *gateway)
{
	return gateway->ready && gateway->table && !gateway->stopping;
}

static sr_retry_budget_bounds_t retry_bounds(const sr_gateway_t *gateway)
{
	return (sr_retry_budget_bounds_t){
		.ratio = gateway->options.retry_ratio,
		.slack = gateway->options.retry_slack,
		.n_hosts = MAX(gateway->n_hosts, MIN_SHARING_HOSTS),
	};
}

sr_gateway_service_state_t *sr_gateway_service_state(sr_gateway_t *gateway,
						     const char *service)
{
	sr_gateway_service_state_t *state =
		g_hash_table_lookup(gateway->services, service);
	sr_retry_budget_bounds_t bounds = retry_bounds(gateway);

	if (state)
		return state;
	state = g_new0(sr_gateway_service_state_t, 1);
	state->gateway = gateway;
	state->service = g_strdup(service);
	sr_list_init(&state->blames);
	sr_engine_speed_init(&state->speed);
	sr_retry_budget_init_part(&state->retry_budget, &bounds);
	g_hash_table_insert(gateway->services, state->service, state);
	return state;
}

gboolean sr_gateway_is_past_accept_period(const sr_gateway_t *gateway,
					  sr_usec_t now)
{
	return gateway->stopping &&
	       now - gateway->stop_started_at >= gateway->options.accept_grace;
}

sr_usec_t sr_gateway_stops_in(const sr_gateway_t *gateway, sr_usec_t now)
{
	return gateway->stop_started_at + gateway->options.stop_timeout - now;
}

static void complete_stop(sr_gateway_t *gateway)
{
	gateway->stopped = TRUE;
	gateway->options.stopped(gateway->options.user);
}

static void advance_stop(sr_gateway_t *gateway, sr_usec_t now)
{
	sr_usec_t age = now - gateway->stop_started_at;

	if (!gateway->stopping || gateway->stopped)
		return;
	if (age >= gateway->options.accept_grace && gateway->caller_acceptor) {
		sr_acceptor_free(gateway->caller_acceptor);
		gateway->caller_acceptor = NULL;
		sr_acceptor_free(gateway->relay_acceptor);
		gateway->relay_acceptor = NULL;
	}
	if ((!gateway->caller_acceptor && gateway->n_transactions == 0 &&
	     sr_list_is_empty(&gateway->sessions)) ||
	    age >= gateway->options.stop_timeout)
		complete_stop(gateway);
}

static void on_sweep_timer(void *user)
{
	sr_gateway_t *gateway = user;
	sr_usec_t now = sr_gateway_now(gateway);

	gateway->sweep_timer =
		sr_timer_start(gateway->options.clock, SWEEP_INTERVAL,
			       on_sweep_timer, gateway);
	sr_list_for_each_safe (link, &gateway->sessions)
		sr_session_sweep(sr_session_of_link(link), now);
	sr_transactions_sweep(gateway);
	sr_gateway_limit_response_memory(gateway);
	sr_gateway_update_rooms(gateway);
	sr_gateway_update_paces(gateway);
	sr_connection_pool_sweep(gateway->connection_pool, now);
	sr_connection_pool_sweep(gateway->relay_pool, now);
	advance_stop(gateway, now);
}

static sr_acceptor_t *listen_on(sr_gateway_t *gateway, const char *address,
				sr_accepted_fn on_accept, char **detail)
{
	sr_acceptor_t *acceptor = sr_acceptor_new(gateway, address, on_accept);

	if (!acceptor)
		*detail = g_strdup_printf(
			"can't listen on %s: check that the address belongs to "
			"this host and that the port is free",
			address);
	return acceptor;
}

sr_err_t sr_gateway_start(sr_gateway_t *gateway, char **detail)
{
	const sr_gateway_options_t *options = &gateway->options;

	gateway->caller_acceptor = listen_on(gateway, options->caller_address,
					     sr_session_accept, detail);
	if (!gateway->caller_acceptor)
		return SR_ERR_IO;
	gateway->ready_acceptor = listen_on(gateway, options->ready_address,
					    sr_monitor_accept_ready, detail);
	if (!gateway->ready_acceptor)
		return SR_ERR_IO;
	if (options->metrics_address && *options->metrics_address) {
		gateway->metrics_acceptor =
			listen_on(gateway, options->metrics_address,
				  sr_monitor_accept_metrics, detail);
		if (!gateway->metrics_acceptor)
			return SR_ERR_IO;
	}
	if (options->relay_address) {
		gateway->relay_acceptor =
			listen_on(gateway, options->relay_address,
				  sr_session_accept_relayed, detail);
		if (!gateway->relay_acceptor)
			return SR_ERR_IO;
	}
	on_sweep_timer(gateway);
	return SR_OK;
}

static void log_limit_change(const sr_gateway_t *gateway,
			     const sr_gateway_account_t *account)
{
	char rate[32];
	char burst[32];

	g_snprintf(rate, sizeof(rate), "%.0f", account->rate_per_s);
	g_snprintf(burst, sizeof(burst), "%.0f", account->burst);
	sr_log_event(gateway->options.log, SR_LOG_INFO, "limit-changed",
		     "account", account->name, "rate_per_s", rate, "burst",
		     burst, "unit",
		     account->counts_tokens ? "tokens" : "requests", NULL);
}

static void apply_account_limits(sr_gateway_t *gateway,
				 const sr_route_table_t *previous)
{
	const GPtrArray *accounts = gateway->table->accounts;

	for (guint i = 0; i < accounts->len; i++) {
		const sr_gateway_account_t *account = accounts->pdata[i];
		const sr_gateway_account_t *before =
			previous ? sr_route_table_account(previous,
							  account->name) :
				   NULL;

		if (!before || before->rate_per_s != account->rate_per_s ||
		    before->burst != account->burst)
			log_limit_change(gateway, account);
		sr_allowance_set_limit(gateway->allowance,
				       sr_gateway_now(gateway), account->name,
				       account->rate_per_s, account->burst);
	}
}

gboolean sr_gateway_set_table(sr_gateway_t *gateway, sr_route_table_t *table)
{
	sr_route_table_t *previous = gateway->table;

	if (previous && table->version <= previous->version)
		return FALSE;
	gateway->table = sr_route_table_ref(table);
	apply_account_limits(gateway, previous);
	sr_route_table_unref(previous);
	return TRUE;
}

const sr_route_table_t *sr_gateway_table(const sr_gateway_t *gateway)
{
	return gateway->table;
}

sr_instances_t *sr_gateway_instances(sr_gateway_t *gateway)
{
	return gateway->instances;
}

void sr_gateway_evict_instance(sr_gateway_t *gateway, const char *name)
{
	const sr_instance_t *instance =
		sr_instances_find(gateway->instances, name);

	if (!instance)
		return;
	sr_connection_pool_evict(gateway->connection_pool, instance->id);
	sr_prefix_index_remove_upstream(gateway->prefix_index, instance->id);
}

sr_allowance_t *sr_gateway_allowance(sr_gateway_t *gateway)
{
	return gateway->allowance;
}

void sr_gateway_foreach_prefill(sr_gateway_t *gateway,
				void (*fn)(void *user, const char *service,
					   double prefill_s),
				void *user)
{
	GHashTableIter iter;
	gpointer service;
	gpointer value;

	g_hash_table_iter_init(&iter, gateway->services);
	while (g_hash_table_iter_next(&iter, &service, &value))
		fn(user, service,
		   ((sr_gateway_service_state_t *)value)->prefill_s);
}

void sr_gateway_set_version_trial(sr_gateway_t *gateway, const char *service,
				  sr_version_trial_t *trial)
{
	sr_gateway_service_state(gateway, service)->trial = trial;
}

sr_usec_t sr_gateway_response_time(sr_gateway_t *gateway, const char *service)
{
	return (sr_usec_t)(sr_gateway_service_state(gateway, service)
				   ->speed.duration_s *
			   SR_SEC);
}

void sr_gateway_set_host_count(sr_gateway_t *gateway, unsigned n)
{
	sr_retry_budget_bounds_t bounds;
	GHashTableIter iter;
	gpointer value;

	gateway->n_hosts = n;
	bounds = retry_bounds(gateway);
	sr_allowance_set_host_count(gateway->allowance,
				    MAX(n, MIN_SHARING_HOSTS));
	g_hash_table_iter_init(&iter, gateway->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sr_gateway_service_state_t *state = value;

		sr_retry_budget_set_max(&state->retry_budget,
					sr_retry_budget_part_max(&bounds));
	}
}

void sr_gateway_set_load_delay(sr_gateway_t *gateway, sr_usec_t delay)
{
	gateway->load_delay = delay;
}

void sr_gateway_set_ready(sr_gateway_t *gateway, gboolean ready)
{
	gateway->ready = ready;
}

void sr_gateway_stop(sr_gateway_t *gateway)
{
	if (gateway->stopping)
		return;
	gateway->stopping = TRUE;
	gateway->stop_started_at = sr_gateway_now(gateway);
}
