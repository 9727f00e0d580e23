#ifndef SR_DAEMON_CONTROL_H
#define SR_DAEMON_CONTROL_H

#include <json-c/json.h>
#include <libsoup/soup.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/settings.h"
#include "core/config.h"
#include "core/dispatch.h"
#include "core/gossip.h"
#include "core/store.h"
#include "daemon/members.h"
#include "peer/peer.h"
#include "http/client.h"

/**
 * sr_control_t - control plane of an entry host
 *
 * It runs what the host shares with its peers and the platform: membership,
 * rumours, the accepted configuration, reclaim notices and orders to engines.
 * It also serves the administration API.
 */
typedef struct sr_control sr_control_t;

/**
 * sr_control_options_t - options of sr_control_new()
 *
 * All objects are borrowed and must outlive the control, except for
 * first_config_text, to which a reference is taken. No callback may be NULL.
 */
typedef struct {
	const sr_settings_t *settings;
	sr_clock_t *clock;
	sr_log_t *log;
	sr_metrics_t *metrics;
	sr_dispatch_t *dispatch;
	sr_http_client_t *upstream;
	SoupServer *admin_server;
	GBytes *first_config_text; /* published if no configuration has been
				    * accepted; or NULL */
	guint64 seed; /* of random delays and write ids; the control also uses
		       * the next 5 values */
	/* A newer configuration is in force; config is borrowed. */
	void (*in_force)(void *user, sr_config_t *config);
	/* An operator requested a graceful shutdown, or the platform reclaims
	 * this host. */
	void (*drain)(void *user);
	/* Another entry host forwarded a posting; finish the request with
	 * sr_peer_answer(). */
	void (*forward)(void *user, sr_peer_request_t *request,
			const sr_forward_t *forward);
	/* A rumour about a recall, a shard owner, evidence or a rollout step
	 * was received. */
	void (*rumour_received)(void *user, const sr_rumour_t *rumour);
	/* Adds members to the status of the administration API. */
	void (*add_status)(void *user, json_object *status);
	/* Returns {"unknown": [...]}, the postings without a known outcome;
	 * owned by the caller. */
	json_object *(*journal)(void *user);
	/* Recalls a version at the request of an operator. */
	sr_err_t (*recall)(void *user, const char *service, const char *version,
			   const char *reason);
	void *user; /* passed to the callbacks */
} sr_control_options_t;

/**
 * sr_control_new - join the cluster and serve the administration API
 *
 * Returns NULL on an error and describes it in *detail, which the caller
 * frees. Free the control with sr_control_free().
 */
sr_control_t *sr_control_new(const sr_control_options_t *options,
			     char **detail);

/** sr_control_free - free the control; NULL is allowed. */
void sr_control_free(sr_control_t *control);

/** Parts for use by other modules; owned by the control. */
sr_store_t *sr_control_store(sr_control_t *control);
sr_peer_t *sr_control_peer(sr_control_t *control);
sr_gossip_t *sr_control_gossip(sr_control_t *control);
sr_members_t *sr_control_members(sr_control_t *control);

/** sr_control_owner - name of this node as an owner of leases, made of its name
 * and incarnation; owned by the control. */
const char *sr_control_owner(const sr_control_t *control);

/** sr_control_drain - release the roles of this node and announce its planned
 * stop. */
void sr_control_drain(sr_control_t *control);

#endif
