#ifndef SR_DAEMON_VERSIONS_H
#define SR_DAEMON_VERSIONS_H

#include <json-c/json.h>

#include "base/clock.h"
#include "base/log.h"
#include "core/config.h"
#include "core/dispatch.h"
#include "core/gossip.h"
#include "core/store.h"
#include "daemon/members.h"

/**
 * sr_versions_t - version rollouts and recalls of all services on this host
 *
 * If the configuration of a service gives a version a target time ("by"), a
 * rollout moves the traffic to that version. The versions of every other
 * service get their configured shares.
 */
typedef struct sr_versions sr_versions_t;

/** sr_versions_options_t - options of sr_versions_new(); the objects are
 * borrowed. */
typedef struct {
	sr_clock_t *clock;
	sr_log_t *log;
	sr_dispatch_t *dispatch;
	sr_store_t *store;
	sr_gossip_t *gossip;
	sr_members_t *members;
	const char *node;
	const char *failure_domain;
	const char *owner; /* of leases: node and incarnation */
	guint64 seed;	   /* of random delays and write ids */
} sr_versions_options_t;

/**
 * sr_versions_new - create the versions and start their timer
 *
 * Copies the strings of the options. Installs the observer of the dispatch,
 * see sr_dispatch_set_observer(). Free with sr_versions_free().
 */
sr_versions_t *sr_versions_new(const sr_versions_options_t *options);

/** sr_versions_free - free the versions; NULL is allowed. */
void sr_versions_free(sr_versions_t *versions);

/**
 * sr_versions_set_config - adopt a new generation of the configuration
 *
 * Starts the rollouts that are new or changed and drops those that are no
 * longer configured. A reference to the configuration is taken.
 */
void sr_versions_set_config(sr_versions_t *versions, sr_config_t *config);

/** sr_versions_receive_rumour - process a rumour about a recall, evidence or a
 * rollout step; other kinds are ignored. */
void sr_versions_receive_rumour(sr_versions_t *versions,
				const sr_rumour_t *rumour);

/**
 * sr_versions_recall - recall a version at the request of an operator
 *
 * Returns SR_ERR_NOT_FOUND if the configuration has no such version.
 */
sr_err_t sr_versions_recall(sr_versions_t *versions, const char *service,
			    const char *version, const char *reason);

/** sr_versions_drain - stop competing for the leases of rollouts. */
void sr_versions_drain(sr_versions_t *versions);

/** sr_versions_add_status - add "rollouts" and "recalled" to the status. */
void sr_versions_add_status(sr_versions_t *versions, json_object *status);

#endif
