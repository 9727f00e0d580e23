#include "gateway/gateway.h"

#include "gateway/internal.h"

/** Period of the sweep over sessions and idle connections. */
#define SWEEP_PERIOD (250 * SR_MSEC)

/** Callers' connections where no limit is set. */
#define CONNECTIONS_DEFAULT 1500

/** Bytes of requests that are held where no limit is set. */
#define BUFFERED_DEFAULT (64 * 1024 * 1024)

/** Blocks of prompts whose instances are remembered; about 200 bytes each. */
#define PREFIX_BLOCKS 20000

/** Retries for each request, and of all hosts beside, where none are set. */
#define RETRY_RATIO_DEFAULT 0.1
#define RETRY_SLACK_DEFAULT 20.0

/** Part of the agreed retries that is used, as hosts count by themselves. */
#define RETRY_USED_PART 0.7

/** Fewest hosts that the retries are shared out to: those that have not been
 * heard of yet retry as well. */
#define HOSTS_MIN 6

static void make_meters(sr_gateway_t *gateway)
{
	static const char *const outcomes[] = {
		"not-sent", "rejected", "broken", "failed", "answered", "cut",
	};
	sr_metrics_t *metrics = gateway->options.metrics;
	sr_gateway_meters_t *meters = &gateway->meters;

	for (unsigned i = 0; i < G_N_ELEMENTS(meters->answered); i++) {
		char *labels = g_strdup_printf("code=\"%uxx\"", i);

		meters->answered[i] = sr_metrics_counter(
			metrics, "sassafras_gateway_requests_total",
			"requests by the status of their answer", labels);
		g_free(labels);
	}
	for (unsigned i = 0; i < G_N_ELEMENTS(meters->attempts); i++) {
		char *labels = sr_metrics_labels("outcome", outcomes[i], NULL);

		meters->attempts[i] = sr_metrics_counter(
			metrics, "sassafras_gateway_attempts_total",
			"sends to instances by how they ended", labels);
		g_free(labels);
	}
	meters->left = sr_metrics_counter(
		metrics, "sassafras_gateway_callers_left_total",
		"requests whose caller closed before the answer", NULL);
	meters->cut = sr_metrics_counter(
		metrics, "sassafras_gateway_broken_off_total",
		"answers that were broken off midway", NULL);
	meters->duration = sr_metrics_histogram(
		metrics, "sassafras_gateway_duration_seconds",
		"from a request's first byte to the end of its answer", NULL);
	meters->first_event = sr_metrics_histogram(
		metrics, "sassafras_gateway_first_event_seconds",
		"from a request's first byte to the first event", NULL);
	meters->sessions =
		sr_metrics_gauge(metrics, "sassafras_gateway_connections",
				 "open connections of callers", NULL);
	meters->transactions =
		sr_metrics_gauge(metrics, "sassafras_gateway_in_flight",
				 "requests without a final answer", NULL);
}

static void set_defaults(sr_gateway_options_t *options)
{
	if (options->max_connections == 0)
		options->max_connections = CONNECTIONS_DEFAULT;
	if (options->buffered_bytes == 0)
		options->buffered_bytes = BUFFERED_DEFAULT;
	if (options->retry_ratio == 0)
		options->retry_ratio = RETRY_RATIO_DEFAULT;
	if (options->retry_slack == 0)
		options->retry_slack = RETRY_SLACK_DEFAULT;
}

sr_gateway_t *sr_gateway_new(const sr_gateway_options_t *options)
{
	sr_gateway_t *gateway = g_new0(sr_gateway_t, 1);

	gateway->options = *options;
	set_defaults(&gateway->options);
	gateway->instances = sr_instances_new();
	gateway->prefixes = sr_prefix_index_new(PREFIX_BLOCKS);
	gateway->allowance = sr_allowance_new();
	sr_allowance_set_tolerance(gateway->allowance, &options->allowance);
	if (options->ask_pool)
		sr_allowance_enable_pool(gateway->allowance);
	gateway->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gateway->pool = sr_pool_new(gateway);
	gateway->random = g_rand_new_with_seed((guint32)options->seed);
	sr_gateway_set_hosts(gateway, HOSTS_MIN);
	sr_list_init(&gateway->sessions);
	sr_list_init(&gateway->transactions);
	make_meters(gateway);
	return gateway;
}

void sr_gateway_free(sr_gateway_t *gateway)
{
	if (!gateway)
		return;
	sr_timer_cancel(gateway->sweep);
	sr_acceptor_free(gateway->caller_acceptor);
	sr_acceptor_free(gateway->ready_acceptor);
	sr_acceptor_free(gateway->metrics_acceptor);
	sr_list_for_each_safe (link, &gateway->sessions)
		sr_session_free(sr_session_of_link(link));
	sr_pool_free(gateway->pool);
	sr_instances_free(gateway->instances);
	sr_prefix_index_free(gateway->prefixes);
	sr_allowance_free(gateway->allowance);
	g_hash_table_unref(gateway->services);
	sr_route_table_unref(gateway->table);
	g_rand_free(gateway->random);
	g_free(gateway);
}

gboolean sr_gateway_is_ready(const sr_gateway_t *gateway)
{
	return gateway->ready && gateway->table && !gateway->stopping;
}

static double retry_max(const sr_gateway_t *gateway)
{
	return RETRY_USED_PART * gateway->options.retry_slack /
	       MAX(gateway->n_hosts, HOSTS_MIN);
}

sr_gateway_service_state_t *sr_gateway_service_state(sr_gateway_t *gateway,
						     const char *service)
{
	sr_gateway_service_state_t *state =
		g_hash_table_lookup(gateway->services, service);

	if (state)
		return state;
	state = g_new0(sr_gateway_service_state_t, 1);
	sr_engine_speed_init(&state->speed);
	sr_retry_budget_init_with(
		&state->retries, RETRY_USED_PART * gateway->options.retry_ratio,
		retry_max(gateway));
	g_hash_table_insert(gateway->services, g_strdup(service), state);
	return state;
}

static void finish_stop(sr_gateway_t *gateway)
{
	gateway->stopped = TRUE;
	gateway->options.stopped(gateway->options.user);
}

static void sweep_stop(sr_gateway_t *gateway, sr_usec_t now)
{
	sr_usec_t age = now - gateway->stop_began;

	if (!gateway->stopping || gateway->stopped)
		return;
	if (age >= gateway->options.stop_accepting &&
	    gateway->caller_acceptor) {
		sr_acceptor_free(gateway->caller_acceptor);
		gateway->caller_acceptor = NULL;
	}
	if ((!gateway->caller_acceptor && gateway->n_transactions == 0 &&
	     sr_list_is_empty(&gateway->sessions)) ||
	    age >= gateway->options.stop_limit)
		finish_stop(gateway);
}

static void on_sweep(void *user)
{
	sr_gateway_t *gateway = user;
	sr_usec_t now = sr_gateway_now(gateway);

	gateway->sweep = sr_timer_start(gateway->options.clock, SWEEP_PERIOD,
					on_sweep, gateway);
	sr_list_for_each_safe (link, &gateway->sessions)
		sr_session_sweep(sr_session_of_link(link), now);
	sr_pool_sweep(gateway->pool, now);
	sweep_stop(gateway, now);
}

static sr_acceptor_t *listen_on(sr_gateway_t *gateway, const char *address,
				sr_accepted_fn accepted, char **detail)
{
	sr_acceptor_t *acceptor = sr_acceptor_new(gateway, address, accepted);

	if (!acceptor)
		*detail = g_strdup_printf("can't listen on %s", address);
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
	on_sweep(gateway);
	return SR_OK;
}

static void log_limit(const sr_gateway_t *gateway,
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

static void set_limits(sr_gateway_t *gateway, const sr_route_table_t *previous)
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
			log_limit(gateway, account);
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
	set_limits(gateway, previous);
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

void sr_gateway_instance_ended(sr_gateway_t *gateway, const char *name)
{
	const sr_instance_t *instance =
		sr_instances_find(gateway->instances, name);

	if (!instance)
		return;
	sr_pool_drop(gateway->pool, instance->id);
	sr_prefix_index_remove_upstream(gateway->prefixes, instance->id);
}

sr_allowance_t *sr_gateway_allowance(sr_gateway_t *gateway)
{
	return gateway->allowance;
}

void sr_gateway_foreach_work(sr_gateway_t *gateway,
			     void (*fn)(void *user, const char *service,
					double work_s),
			     void *user)
{
	GHashTableIter iter;
	gpointer service;
	gpointer value;

	g_hash_table_iter_init(&iter, gateway->services);
	while (g_hash_table_iter_next(&iter, &service, &value))
		fn(user, service,
		   ((sr_gateway_service_state_t *)value)->work_s);
}

void sr_gateway_set_hosts(sr_gateway_t *gateway, unsigned n)
{
	GHashTableIter iter;
	gpointer value;

	gateway->n_hosts = n;
	sr_allowance_set_host_count(gateway->allowance, MAX(n, HOSTS_MIN));
	g_hash_table_iter_init(&iter, gateway->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sr_gateway_service_state_t *state = value;

		sr_retry_budget_set_max(&state->retries, retry_max(gateway));
	}
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
	gateway->stop_began = sr_gateway_now(gateway);
}
