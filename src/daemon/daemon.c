#include "daemon/daemon.h"

#include <errno.h>
#include <string.h>

/** Interval at which a drain checks whether the journal's shards are
 * released. */
#define RELEASE_POLL_INTERVAL (20 * SR_MSEC)

static void log_failure(sr_daemon_t *daemon, const char *event,
			const char *detail)
{
	sr_log_event(daemon->log, SR_LOG_ERROR, event, "detail", detail, NULL);
}

static void open_trace(sr_daemon_t *daemon, guint64 seed)
{
	const sr_settings_t *settings = daemon->settings;
	sr_trace_options_t options = {
		.clock = daemon->clock,
		.node = settings->node,
		.sample_ratio = settings->trace_sample,
		.seed = seed,
	};

	if (*settings->trace_file) {
		daemon->trace_file = fopen(settings->trace_file, "ae");
		if (!daemon->trace_file)
			log_failure(daemon, "trace-file", g_strerror(errno));
	}
	options.out = daemon->trace_file;
	daemon->trace = sr_trace_new(&options);
}

static void create_caller(sr_daemon_t *daemon, guint64 seed)
{
	const sr_settings_t *settings = daemon->settings;
	const sr_caller_server_options_t options = {
		.clock = daemon->clock,
		.log = daemon->log,
		.metrics = daemon->metrics,
		.trace = daemon->trace,
		.dispatch = daemon->dispatch,
		.upstream = daemon->upstream,
		.seed = seed,
		.request_bytes = settings->request_bytes,
		.buffered_bytes = settings->buffered_bytes,
		.max_requests = settings->max_requests,
		.max_connections = settings->max_connections,
		.header_timeout = settings->header_timeout,
		.body_timeout = settings->body_timeout,
	};

	daemon->caller_server = sr_caller_server_new(&options);
}

sr_daemon_t *sr_daemon_new(const sr_daemon_options_t *options)
{
	sr_daemon_t *daemon = g_new0(sr_daemon_t, 1);
	const sr_settings_t *settings = options->settings;
	const sr_log_options_t log = {
		.out = options->log_file,
		.clock = options->clock,
		.node = settings->node,
		.level = settings->log_level,
	};
	const sr_dispatch_options_t dispatch = {
		.failure_domain = settings->failure_domain,
		.seed = options->seed,
	};

	daemon->settings = settings;
	daemon->seed = options->seed;
	daemon->drained = options->drained;
	daemon->drained_user = options->user;
	daemon->clock = options->clock;
	daemon->log = sr_log_new(&log);
	daemon->metrics = sr_metrics_new();
	daemon->loop_watch =
		sr_loop_watch_new(daemon->clock, daemon->log, daemon->metrics);
	open_trace(daemon, options->seed + 1);
	daemon->upstream = sr_http_client_new(
		&(sr_http_client_options_t){ .clock = daemon->clock });
	daemon->dispatch = sr_dispatch_new(&dispatch);
	create_caller(daemon, options->seed + 2);
	daemon->probes = sr_probes_new(daemon->metrics);
	return daemon;
}

/* Reads and checks the configuration file. *bytes receives its text, also if
 * that is not a valid configuration. */
static sr_config_t *load_config(sr_daemon_t *daemon, GBytes **bytes,
				char **detail)
{
	const char *path = daemon->settings->config_file;
	GPtrArray *findings = sr_findings_new();
	sr_config_t *config = NULL;
	char *text = NULL;
	gsize size = 0;
	GError *error = NULL;

	if (!g_file_get_contents(path, &text, &size, &error)) {
		*detail = g_strdup(error->message);
		g_error_free(error);
	} else {
		config = sr_config_parse(text, size, 1, findings);
		if (!config)
			*detail = sr_findings_text(findings);
		*bytes = g_bytes_new_take(text, size);
	}
	g_ptr_array_unref(findings);
	return config;
}

/* Logs the ports, since port 0 in the settings selects a free one. */
static void log_started(sr_daemon_t *daemon)
{
	char caller_port[8];
	char admin_port[8];

	g_snprintf(caller_port, sizeof(caller_port), "%u",
		   sr_caller_server_port(daemon->caller_server));
	g_snprintf(admin_port, sizeof(admin_port), "%u",
		   sr_probes_port(daemon->probes));
	sr_log_event(daemon->log, SR_LOG_INFO, "started", "caller_port",
		     caller_port, "admin_port", admin_port, NULL);
}

static void on_config_in_force(void *user, sr_config_t *config)
{
	sr_daemon_set_config(user, config);
}

static void on_drain(void *user)
{
	sr_daemon_drain(user);
}

static void on_forward(void *user, sr_peer_request_t *request,
		       const sr_forward_t *forward)
{
	sr_daemon_t *daemon = user;

	sr_postings_submit_forwarded(daemon->postings, request, forward);
}

static void on_rumour(void *user, const sr_rumour_t *rumour)
{
	sr_versions_receive_rumour(((sr_daemon_t *)user)->versions, rumour);
}

static void add_upstream_row(void *user, const sr_upstream_view_t *view)
{
	json_object *row = json_object_new_object();
	const sr_target_t *target = view->target;

	json_object_object_add(row, "name",
			       json_object_new_string(target->name));
	json_object_object_add(row, "service",
			       json_object_new_string(target->service));
	json_object_object_add(row, "version",
			       json_object_new_string(target->version));
	json_object_object_add(row, "failure_domain",
			       json_object_new_string(target->failure_domain));
	json_object_object_add(row, "state",
			       json_object_new_string(view->state));
	json_object_object_add(row, "in_flight",
			       json_object_new_int64(view->in_flight));
	json_object_array_add(user, row);
}

static void on_add_status(void *user, json_object *status)
{
	sr_daemon_t *daemon = user;
	json_object *upstreams = json_object_new_array();

	sr_versions_add_status(daemon->versions, status);
	sr_dispatch_foreach_upstream(daemon->dispatch,
				     sr_clock_now(daemon->clock),
				     add_upstream_row, upstreams);
	json_object_object_add(status, "upstreams", upstreams);
}

static void add_unknown_row(void *user, const sr_journal_unknown_t *unknown)
{
	json_object *row = json_object_new_object();

	json_object_object_add(row, "account",
			       json_object_new_string(unknown->account));
	json_object_object_add(row, "service",
			       json_object_new_string(unknown->service));
	json_object_object_add(row, "key",
			       json_object_new_string(unknown->key));
	json_object_object_add(row, "age_s",
			       json_object_new_int64(unknown->age / SR_SEC));
	json_object_array_add(user, row);
}

static json_object *on_journal(void *user)
{
	sr_daemon_t *daemon = user;
	json_object *journal = json_object_new_object();
	json_object *rows = json_object_new_array();

	sr_journal_foreach_unknown(sr_postings_journal(daemon->postings),
				   sr_clock_now(daemon->clock), add_unknown_row,
				   rows);
	json_object_object_add(journal, "unknown", rows);
	return journal;
}

static sr_err_t on_recall(void *user, const char *service, const char *version,
			  const char *reason)
{
	return sr_versions_recall(((sr_daemon_t *)user)->versions, service,
				  version, reason);
}

static void create_versions(sr_daemon_t *daemon)
{
	const sr_settings_t *settings = daemon->settings;
	const sr_versions_options_t options = {
		.clock = daemon->clock,
		.log = daemon->log,
		.dispatch = daemon->dispatch,
		.store = sr_control_store(daemon->control),
		.gossip = sr_control_gossip(daemon->control),
		.members = sr_control_members(daemon->control),
		.node = settings->node,
		.failure_domain = settings->failure_domain,
		.owner = sr_control_owner(daemon->control),
		.seed = daemon->seed + 4,
	};

	daemon->versions = sr_versions_new(&options);
}

static void create_postings(sr_daemon_t *daemon)
{
	const sr_settings_t *settings = daemon->settings;
	const sr_postings_options_t options = {
		.clock = daemon->clock,
		.log = daemon->log,
		.metrics = daemon->metrics,
		.trace = daemon->trace,
		.dispatch = daemon->dispatch,
		.upstream = daemon->upstream,
		.store = sr_control_store(daemon->control),
		.gossip = sr_control_gossip(daemon->control),
		.peer = sr_control_peer(daemon->control),
		.node = settings->node,
		.failure_domain = settings->failure_domain,
		.seed = daemon->seed + 3,
	};

	daemon->postings = sr_postings_new(&options);
	sr_caller_server_set_postings(daemon->caller_server, daemon->postings);
}

static gboolean start_control(sr_daemon_t *daemon, GBytes *first_config_text,
			      char **detail)
{
	const sr_control_options_t options = {
		.settings = daemon->settings,
		.clock = daemon->clock,
		.log = daemon->log,
		.metrics = daemon->metrics,
		.dispatch = daemon->dispatch,
		.upstream = daemon->upstream,
		.admin_server = sr_probes_server(daemon->probes),
		.first_config_text = first_config_text,
		.seed = daemon->seed + 100,
		.in_force = on_config_in_force,
		.drain = on_drain,
		.forward = on_forward,
		.rumour_received = on_rumour,
		.add_status = on_add_status,
		.journal = on_journal,
		.recall = on_recall,
		.user = daemon,
	};

	daemon->control = sr_control_new(&options, detail);
	if (!daemon->control)
		return FALSE;
	create_versions(daemon);
	create_postings(daemon);
	return TRUE;
}

/* With a platform, the file is published if no configuration has been accepted
 * there. Without one, the file is put in force. */
static sr_err_t start_config(sr_daemon_t *daemon, char **detail)
{
	const sr_settings_t *settings = daemon->settings;
	sr_config_t *config = NULL;
	GBytes *text = NULL;
	sr_err_t err = SR_OK;

	if (*settings->config_file) {
		config = load_config(daemon, &text, detail);
		err = config ? SR_OK : SR_ERR_INVALID;
	}
	if (!err && *settings->platform_address)
		err = start_control(daemon, text, detail) ? SR_OK : SR_ERR_IO;
	else if (config)
		sr_daemon_set_config(daemon, config);
	sr_config_unref(config);
	g_clear_pointer(&text, g_bytes_unref);
	return err;
}

sr_err_t sr_daemon_start(sr_daemon_t *daemon, char **detail)
{
	const sr_settings_t *settings = daemon->settings;
	sr_err_t err = start_config(daemon, detail);

	if (err)
		return err;
	err = sr_probes_listen(daemon->probes, settings->admin_address, detail);
	if (err)
		return err;
	err = sr_caller_server_listen(daemon->caller_server,
				      settings->caller_address, detail);
	if (err)
		return err;
	log_started(daemon);
	return SR_OK;
}

void sr_daemon_set_config(sr_daemon_t *daemon, sr_config_t *config)
{
	char generation[24];

	g_assert(config);
	if (daemon->config && config->generation <= daemon->config->generation)
		return;
	sr_config_ref(config);
	sr_config_unref(daemon->config);
	daemon->config = config;
	sr_dispatch_set_config(daemon->dispatch, sr_clock_now(daemon->clock),
			       config);
	sr_caller_server_set_config(daemon->caller_server, config);
	if (daemon->versions)
		sr_versions_set_config(daemon->versions, config);
	if (daemon->postings)
		sr_postings_set_config(daemon->postings, config);
	if (!daemon->draining)
		sr_probes_set_ready(daemon->probes, TRUE, "ready");
	sr_gauge_set(sr_metrics_gauge(daemon->metrics,
				      "sassafras_config_generation",
				      "generation in force", NULL),
		     (double)config->generation);
	g_snprintf(generation, sizeof(generation), "%" G_GUINT64_FORMAT,
		   config->generation);
	sr_log_event(daemon->log, SR_LOG_INFO, "config-in-force", "generation",
		     generation, NULL);
}

static void finish_drain(sr_daemon_t *daemon, const char *event)
{
	char n_requests[16];

	g_clear_pointer(&daemon->drain_timer, sr_timer_cancel);
	g_clear_pointer(&daemon->release_timer, sr_timer_cancel);
	g_snprintf(n_requests, sizeof(n_requests), "%u",
		   sr_caller_server_n_requests(daemon->caller_server));
	sr_log_event(daemon->log, SR_LOG_INFO, event, "requests", n_requests,
		     NULL);
	daemon->drained(daemon->drained_user);
}

/* All requests have ended; waits until the journal's shards are released. */
static void on_requests_finished(void *user)
{
	sr_daemon_t *daemon = user;

	daemon->release_timer = NULL;
	if (!daemon->postings || sr_postings_is_released(daemon->postings))
		finish_drain(daemon, "drained");
	else
		daemon->release_timer =
			sr_timer_start(daemon->clock, RELEASE_POLL_INTERVAL,
				       on_requests_finished, daemon);
}

static void on_drain_limit(void *user)
{
	sr_daemon_t *daemon = user;

	daemon->drain_timer = NULL;
	finish_drain(daemon, "drain-limit");
}

static void on_grace_over(void *user)
{
	sr_daemon_t *daemon = user;
	const sr_settings_t *settings = daemon->settings;

	daemon->drain_timer = sr_timer_start(
		daemon->clock, settings->drain_limit - settings->drain_grace,
		on_drain_limit, daemon);
	sr_log_event(daemon->log, SR_LOG_INFO, "accepting-stopped", NULL);
	sr_caller_server_stop(daemon->caller_server, on_requests_finished,
			      daemon);
}

void sr_daemon_drain(sr_daemon_t *daemon)
{
	if (daemon->draining)
		return;
	daemon->draining = TRUE;
	sr_log_event(daemon->log, SR_LOG_INFO, "draining", NULL);
	sr_probes_set_ready(daemon->probes, FALSE, "draining");
	sr_caller_server_drain(daemon->caller_server);
	if (daemon->postings)
		sr_postings_release(daemon->postings,
				    sr_clock_now(daemon->clock) +
					    daemon->settings->drain_limit);
	if (daemon->versions)
		sr_versions_drain(daemon->versions);
	if (daemon->control)
		sr_control_drain(daemon->control);
	daemon->drain_timer =
		sr_timer_start(daemon->clock, daemon->settings->drain_grace,
			       on_grace_over, daemon);
}

void sr_daemon_free(sr_daemon_t *daemon)
{
	if (!daemon)
		return;
	sr_timer_cancel(daemon->drain_timer);
	sr_timer_cancel(daemon->release_timer);
	sr_caller_server_free(daemon->caller_server);
	sr_postings_free(daemon->postings);
	sr_versions_free(daemon->versions);
	sr_control_free(daemon->control);
	sr_probes_free(daemon->probes);
	sr_config_unref(daemon->config);
	sr_dispatch_free(daemon->dispatch);
	sr_http_client_free(daemon->upstream);
	sr_trace_free(daemon->trace);
	if (daemon->trace_file)
		fclose(daemon->trace_file);
	sr_loop_watch_free(daemon->loop_watch);
	sr_metrics_free(daemon->metrics);
	sr_log_free(daemon->log);
	g_free(daemon);
}
