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
 * sr_versions_t - the rollouts and recalls of all services on one entry host
 *
 * A service with a version that has a time ("by") is moved to it by a
 * rollout; the shares of every other service are those of its configuration.
 */
typedef struct sr_versions sr_versions_t;

/** sr_versions_options_t - all objects are borrowed. */
typedef struct {
	sr_clock_t *clock;
	sr_log_t *log;
	sr_dispatch_t *dispatch;
	sr_store_t *store;
	sr_gossip_t *gossip;
	sr_members_t *members;
	const char *node;
	const char *failure_domain;
	const char *owner; /* node and incarnation */
	guint64 seed;
} sr_versions_options_t;

sr_versions_t *sr_versions_new(const sr_versions_options_t *options);
void sr_versions_free(sr_versions_t *versions);

/** sr_versions_set_config - a new generation is in force. */
void sr_versions_set_config(sr_versions_t *versions, sr_config_t *config);

/** sr_versions_heard - a rumour of a recall, of evidence or of a step. */
void sr_versions_heard(sr_versions_t *versions, const sr_rumour_t *rumour);

/**
 * sr_versions_recall - an operator takes a version out of service
 *
 * Returns SR_ERR_NOT_FOUND if the configuration has no such version.
 */
sr_err_t sr_versions_recall(sr_versions_t *versions, const char *service,
			    const char *version, const char *reason);

/** sr_versions_drain - leave the steps to other nodes. */
void sr_versions_drain(sr_versions_t *versions);

/** sr_versions_add_status - adds "rollouts" and "recalled" for operators. */
void sr_versions_add_status(sr_versions_t *versions, json_object *status);

#endif
