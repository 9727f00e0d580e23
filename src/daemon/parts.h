#ifndef SR_DAEMON_PARTS_H
#define SR_DAEMON_PARTS_H

#include "daemon/daemon.h"

/**
 * Internal to the package: what connects a daemon to its peers, the platform
 * and operators. Each part is opened once, and closed also if it never was.
 */

/* Gossip and RPC between entry hosts, src/daemon/membership.c. */

/** sr_membership_open - without a peer address it does nothing. */
sr_err_t sr_membership_open(sr_daemon_t *daemon, char **detail);
void sr_membership_close(sr_daemon_t *daemon);

/** sr_membership_tell - spread text as a rumour, newer than all before. */
void sr_membership_tell(sr_daemon_t *daemon, sr_rumour_kind_t kind,
			const char *key, const char *text, sr_usec_t ttl);

/** sr_membership_pick - address of a random other member; NULL for none. */
const char *sr_membership_pick(sr_daemon_t *daemon);

/** How long a rumour about a node or host is kept. */
#define SR_STATUS_TTL (30 * SR_SEC)
#define SR_LEAVING_TTL (10 * SR_MINUTE)

/* The platform and the accepted configuration, src/daemon/accepted.c. */

/** sr_accepted_open - a fixed configuration, or that of the platform. */
sr_err_t sr_accepted_open(sr_daemon_t *daemon, char **detail);
void sr_accepted_close(sr_daemon_t *daemon);

/** sr_accepted_tick - run what is due. */
void sr_accepted_tick(sr_daemon_t *daemon, sr_usec_t now);

/* The administration API, src/daemon/operator.c. */

void sr_operator_open(sr_daemon_t *daemon);
void sr_operator_close(sr_daemon_t *daemon);

/** sr_daemon_leaving - an upstream or a host is going to leave. */
void sr_daemon_leaving(sr_daemon_t *daemon, const char *name);

#endif
