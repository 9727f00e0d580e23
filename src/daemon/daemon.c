#include "daemon/daemon.h"

#include <errno.h>
#include <string.h>

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
		.sample = settings->trace_sample,
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
	const sr_caller_options_t options = {
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

	daemon->caller = sr_caller_new(&options);
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
	daemon->clock = options->clock;
	daemon->log = sr_log_new(&log);
	daemon->metrics = sr_metrics_new();
	open_trace(daemon, options->seed + 1);
	daemon->upstream = sr_upstream_client_new();
	daemon->dispatch = sr_dispatch_new(&dispatch);
	create_caller(daemon, options->seed + 2);
	daemon->probes = sr_probes_new(daemon->metrics);
	return daemon;
}

static sr_err_t load_config(sr_daemon_t *daemon, char **detail)
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
	}
	g_free(text);
	g_ptr_array_unref(findings);
	if (!config)
		return SR_ERR_INVALID;
	sr_daemon_set_config(daemon, config);
	sr_config_unref(config);
	return SR_OK;
}

/* Names the ports, which the settings may have left open. */
static void log_started(sr_daemon_t *daemon)
{
	char caller_port[8];
	char admin_port[8];

	g_snprintf(caller_port, sizeof(caller_port), "%u",
		   sr_caller_port(daemon->caller));
	g_snprintf(admin_port, sizeof(admin_port), "%u",
		   sr_probes_port(daemon->probes));
	sr_log_event(daemon->log, SR_LOG_INFO, "started", "caller_port",
		     caller_port, "admin_port", admin_port, NULL);
}

sr_err_t sr_daemon_start(sr_daemon_t *daemon, char **detail)
{
	const sr_settings_t *settings = daemon->settings;
	sr_err_t err;

	if (*settings->config_file) {
		err = load_config(daemon, detail);
		if (err)
			return err;
	}
	err = sr_probes_listen(daemon->probes, settings->admin_address, detail);
	if (err)
		return err;
	err = sr_caller_listen(daemon->caller, settings->caller_address,
			       detail);
	if (err)
		return err;
	log_started(daemon);
	return SR_OK;
}

void sr_daemon_set_config(sr_daemon_t *daemon, sr_config_t *config)
{
	char generation[24];

	if (daemon->config && config->generation <= daemon->config->generation)
		return;
	sr_config_ref(config);
	sr_config_unref(daemon->config);
	daemon->config = config;
	sr_dispatch_set_config(daemon->dispatch, sr_clock_now(daemon->clock),
			       config);
	sr_caller_set_config(daemon->caller, config);
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
	char left[16];

	sr_timer_cancel(daemon->drain_timer);
	daemon->drain_timer = NULL;
	g_snprintf(left, sizeof(left), "%u",
		   sr_caller_n_requests(daemon->caller));
	sr_log_event(daemon->log, SR_LOG_INFO, event, "requests", left, NULL);
	daemon->drained(daemon->drained_user);
}

static void on_idle(void *user)
{
	finish_drain(user, "drained");
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
	sr_caller_stop(daemon->caller, on_idle, daemon);
}

void sr_daemon_drain(sr_daemon_t *daemon, sr_timer_fn drained, void *user)
{
	if (daemon->draining)
		return;
	daemon->draining = TRUE;
	daemon->drained = drained;
	daemon->drained_user = user;
	sr_log_event(daemon->log, SR_LOG_INFO, "draining", NULL);
	sr_probes_set_ready(daemon->probes, FALSE, "draining");
	sr_caller_drain(daemon->caller);
	daemon->drain_timer =
		sr_timer_start(daemon->clock, daemon->settings->drain_grace,
			       on_grace_over, daemon);
}

void sr_daemon_free(sr_daemon_t *daemon)
{
	if (!daemon)
		return;
	sr_timer_cancel(daemon->drain_timer);
	sr_probes_free(daemon->probes);
	sr_caller_free(daemon->caller);
	sr_config_unref(daemon->config);
	sr_dispatch_free(daemon->dispatch);
	sr_upstream_client_free(daemon->upstream);
	sr_trace_free(daemon->trace);
	if (daemon->trace_file)
		fclose(daemon->trace_file);
	sr_metrics_free(daemon->metrics);
	sr_log_free(daemon->log);
	g_free(daemon);
}
