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
#include "core/config_sync.h"
#include "core/dispatch.h"
#include "core/gossip.h"
#include "daemon/probes.h"
#include "daemon/postings.h"
#include "operator/admin.h"
#include "peer/peer.h"
#include "platform/client.h"
#include "platform/hosts.h"
#include "upstream/client.h"
#include "upstream/feed.h"
#include "upstream/query.h"

typedef struct {
	const sr_settings_t *settings; /* must outlive the daemon */
	sr_clock_t *clock;	       /* must outlive the daemon */
	FILE *log_file;
	guint64 seed; /* of all random choices */
	/* the daemon was drained: it can be freed */
	sr_timer_fn drained;
	void *drained_user;
} sr_daemon_options_t;

/**
 * sr_daemon_t - all parts of one entry host, wired together
 *
 * A part that the settings leave out is NULL. All of them run on the thread
 * and main context of their creator.
 */
typedef struct {
	sr_daemon_options_t options;
	const sr_settings_t *settings;
	sr_clock_t *clock;
	GRand *rand;
	FILE *trace_file;
	sr_log_t *log;
	sr_metrics_t *metrics;
	sr_trace_t *trace;

	sr_upstream_client_t *upstream;
	sr_dispatch_t *dispatch;
	sr_queries_t *queries;
	sr_feed_t *feed;
	sr_caller_t *caller;
	sr_probes_t *probes;
	sr_admin_t *admin;

	sr_peer_t *peer;
	sr_gossip_t *gossip;
	sr_timer_t *tick;
	sr_usec_t tell_at; /* when this node's state is told next */
	gboolean members_changed;

	sr_platform_t *platform;
	sr_config_sync_t *sync;
	sr_hosts_t *hosts;
	sr_postings_t *postings;
	sr_config_t *config;	/* in force, or NULL */
	GBytes *bootstrap_text; /* of the configuration file, or NULL */
	gboolean bootstrapping;
	sr_usec_t bootstrap_at;

	gboolean draining;
	gboolean idle; /* no caller's request runs any more */
	sr_usec_t drain_by;
	sr_timer_t *drain_timer;
} sr_daemon_t;

sr_daemon_t *sr_daemon_new(const sr_daemon_options_t *options);

/**
 * sr_daemon_start - open every part and listen
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
 * what runs is finished, journal shards are handed over and the other nodes
 * are told. The drained function of the options is called once all is done,
 * at the latest when the drain limit is over. A second call changes nothing.
 */
void sr_daemon_drain(sr_daemon_t *daemon);

void sr_daemon_free(sr_daemon_t *daemon);

#endif
