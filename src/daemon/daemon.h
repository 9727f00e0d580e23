#ifndef SR_DAEMON_DAEMON_H
#define SR_DAEMON_DAEMON_H

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "base/loop_watch.h"
#include "base/metrics.h"
#include "base/settings.h"
#include "base/trace.h"
#include "caller/server.h"
#include "core/config.h"
#include "core/dispatch.h"
#include "daemon/control.h"
#include "daemon/probes.h"
#include "daemon/postings.h"
#include "daemon/versions.h"
#include "http/client.h"

/**
 * sr_daemon_t - an entry host: its parts and their connections
 *
 * All parts run on the thread and main context of their creator.
 */
typedef struct {
	const sr_settings_t *settings; /* borrowed */
	sr_clock_t *clock;	       /* borrowed */
	FILE *trace_file;
	sr_log_t *log;
	sr_metrics_t *metrics;
	sr_loop_watch_t *loop_watch;
	sr_trace_t *trace;
	sr_http_client_t *upstream;
	sr_dispatch_t *dispatch;
	sr_config_t *config; /* in force, or NULL */
	sr_postings_t *postings;
	sr_caller_server_t *caller_server;
	sr_probes_t *probes;
	sr_control_t *control;	 /* NULL with a fixed configuration */
	sr_versions_t *versions; /* NULL with a fixed configuration */
	guint64 seed;
	sr_timer_t *drain_timer;
	sr_timer_t *release_timer;
	gboolean draining;
	sr_timer_fn drained;
	void *drained_user;
} sr_daemon_t;

/** sr_daemon_options_t - options of sr_daemon_new(). */
typedef struct {
	const sr_settings_t *settings; /* must outlive the daemon */
	sr_clock_t *clock;	       /* must outlive the daemon */
	FILE *log_file;
	guint64 seed; /* of all random number generators */
	/* A graceful shutdown has ended; see sr_daemon_drain(). */
	sr_timer_fn drained;
	void *user; /* passed to drained */
} sr_daemon_options_t;

/** sr_daemon_new - create the parts; free with sr_daemon_free(). */
sr_daemon_t *sr_daemon_new(const sr_daemon_options_t *options);

/**
 * sr_daemon_start - read the configuration file, join the cluster and listen
 *
 * Without a platform address the file is the fixed configuration, and no
 * cluster is joined. On an error *detail describes it; the caller frees it.
 */
sr_err_t sr_daemon_start(sr_daemon_t *daemon, char **detail);

/**
 * sr_daemon_set_config - put a configuration in force
 *
 * A configuration whose generation is not higher than the one in force is
 * ignored. A reference is taken.
 */
void sr_daemon_set_config(sr_daemon_t *daemon, sr_config_t *config);

/**
 * sr_daemon_drain - shut down gracefully
 *
 * /readyz returns 503 at once. After the drain grace no connection or request
 * is accepted, and running requests are finished. drained(user) is called when
 * they have ended and the journal's shards are released, or when the drain
 * limit expires. A second call has no effect.
 */
void sr_daemon_drain(sr_daemon_t *daemon);

/** sr_daemon_free - free the daemon; NULL is allowed. */
void sr_daemon_free(sr_daemon_t *daemon);

#endif
