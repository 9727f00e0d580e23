#ifndef SR_DAEMON_DAEMON_H
#define SR_DAEMON_DAEMON_H

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
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
#include "upstream/client.h"

/**
 * sr_daemon_t - all parts of one entry host, wired together
 *
 * Parts are created in the order of the members and freed in reverse. All of
 * them run on the thread and main context of their creator.
 */
typedef struct {
	const sr_settings_t *settings; /* borrowed */
	sr_clock_t *clock;	       /* borrowed */
	FILE *trace_file;
	sr_log_t *log;
	sr_metrics_t *metrics;
	sr_trace_t *trace;
	sr_upstream_client_t *upstream;
	sr_dispatch_t *dispatch;
	sr_config_t *config; /* in force, or NULL */
	sr_postings_t *postings;
	sr_caller_t *caller;
	sr_probes_t *probes;
	sr_control_t *control;	 /* NULL with a fixed configuration */
	sr_versions_t *versions; /* NULL with a fixed configuration */
	guint64 seed;
	sr_timer_t *drain_timer;
	sr_timer_t *handover_timer;
	gboolean draining;
	sr_timer_fn drained;
	void *drained_user;
} sr_daemon_t;

typedef struct {
	const sr_settings_t *settings; /* must outlive the daemon */
	sr_clock_t *clock;	       /* must outlive the daemon */
	FILE *log_file;
	guint64 seed; /* of all random choices */
	/* a graceful shutdown is over; see sr_daemon_drain() */
	sr_timer_fn drained;
	void *user;
} sr_daemon_options_t;

sr_daemon_t *sr_daemon_new(const sr_daemon_options_t *options);

/**
 * sr_daemon_start - read a fixed configuration if there is one, and listen
 *
 * Returns a negative error with detail (caller frees) that says what failed.
 */
sr_err_t sr_daemon_start(sr_daemon_t *daemon, char **detail);

/**
 * sr_daemon_set_config - put a configuration in force
 *
 * A generation that is not higher than the one in force is ignored.
 */
void sr_daemon_set_config(sr_daemon_t *daemon, sr_config_t *config);

/**
 * sr_daemon_drain - shut down gracefully
 *
 * /readyz turns to 503 at once; after the grace no connection is accepted;
 * what runs is finished. drained(user) is called once all is done, at the
 * latest when the drain limit is over. A second call changes nothing.
 */
void sr_daemon_drain(sr_daemon_t *daemon);

void sr_daemon_free(sr_daemon_t *daemon);

#endif
