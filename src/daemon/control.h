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
#include "upstream/client.h"

/**
 * sr_control_t - what an entry host shares with the others and the platform:
 * membership, rumours, the accepted configuration, reclaim notices, orders to
 * engines, and the administration API
 */
typedef struct sr_control sr_control_t;

/** sr_control_options_t - all objects are borrowed and outlive the control. */
typedef struct {
	const sr_settings_t *settings;
	sr_clock_t *clock;
	sr_log_t *log;
	sr_metrics_t *metrics;
	sr_dispatch_t *dispatch;
	sr_upstream_client_t *upstream;
	SoupServer *admin_server;
	GBytes *first_text; /* published if there is none; or NULL */
	guint64 seed;
	/* a newer configuration is in force */
	void (*in_force)(void *user, sr_config_t *config);
	/* an operator asks for a graceful shutdown */
	void (*drain)(void *user);
	/* another entry host forwards a posting; sr_peer_answer() ends it */
	void (*forward)(void *user, sr_peer_request_t *request,
			const sr_forward_t *forward);
	/* a rumour of a kind that the control does not handle itself */
	void (*heard)(void *user, const sr_rumour_t *rumour);
	/* adds to the status that operators see */
	void (*add_status)(void *user, json_object *status);
	/* {"unknown": [...]}: postings without a known outcome */
	json_object *(*journal)(void *user);
	sr_err_t (*recall)(void *user, const char *service, const char *version,
			   const char *reason);
	void *user;
} sr_control_options_t;

/**
 * sr_control_new - start to take part
 *
 * Returns NULL and what is wrong in detail (freed by the caller).
 */
sr_control_t *sr_control_new(const sr_control_options_t *options,
			     char **detail);
void sr_control_free(sr_control_t *control);

/** Parts that others build on; borrowed. */
sr_store_t *sr_control_store(sr_control_t *control);
sr_peer_t *sr_control_peer(sr_control_t *control);
sr_gossip_t *sr_control_gossip(sr_control_t *control);
sr_members_t *sr_control_members(sr_control_t *control);

/** sr_control_owner - this node and incarnation, as an owner of leases. */
const char *sr_control_owner(const sr_control_t *control);

/** sr_control_drain - tell the others that this node is leaving. */
void sr_control_drain(sr_control_t *control);

#endif
