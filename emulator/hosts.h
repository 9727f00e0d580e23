#ifndef SR_EMULATOR_HOSTS_H
#define SR_EMULATOR_HOSTS_H

#include <glib.h>

#include "base/clock.h"
#include "server.h"

/**
 * sr_emu_hosts_t - the platform's hosts: the lagging list, reclaim notices
 * and the cloud API
 */
typedef struct sr_emu_hosts sr_emu_hosts_t;

typedef struct {
	sr_usec_t lag; /* of the list */
	sr_clock_t *clock;
} sr_emu_hosts_options_t;

sr_emu_hosts_t *sr_emu_hosts_new(const sr_emu_hosts_options_t *options);
void sr_emu_hosts_free(sr_emu_hosts_t *hosts);

/** sr_emu_hosts_set_server - where waiting requests are woken. */
void sr_emu_hosts_set_server(sr_emu_hosts_t *hosts, sr_emu_server_t *server);

/**
 * sr_emu_hosts_handle - answer GET /hosts, GET /notices, /cloud/hosts and
 * /admin/hosts, /admin/reclaim, /admin/capacity
 *
 * Returns FALSE if the request is not one of these.
 */
gboolean sr_emu_hosts_handle(sr_emu_hosts_t *hosts,
			     sr_emu_exchange_t *exchange);

#endif
