#ifndef SR_EMULATOR_HOSTS_H
#define SR_EMULATOR_HOSTS_H

#include <glib.h>

#include "base/clock.h"
#include "server.h"

/**
 * sr_emu_hosts_t - hosts of the emulated platform
 *
 * Serves the host list, which shows changes late, the reclaim notices and the
 * cloud API that starts and stops hosts.
 */
typedef struct sr_emu_hosts sr_emu_hosts_t;

typedef struct {
	sr_usec_t list_lag; /* delay until GET /hosts shows a change */
	sr_clock_t *clock;
} sr_emu_hosts_options_t;

sr_emu_hosts_t *sr_emu_hosts_new(const sr_emu_hosts_options_t *options);
void sr_emu_hosts_free(sr_emu_hosts_t *hosts);

/**
 * sr_emu_hosts_set_server - set the server whose long polls are checked again
 * after a new notice; borrowed
 */
void sr_emu_hosts_set_server(sr_emu_hosts_t *hosts, sr_emu_server_t *server);

/**
 * sr_emu_hosts_handle - answer GET /hosts, GET /notices, /cloud/hosts,
 * /admin/hosts, /admin/reclaim and /admin/capacity
 *
 * Returns FALSE, without an answer, for any other request.
 */
gboolean sr_emu_hosts_handle(sr_emu_hosts_t *hosts,
			     sr_emu_exchange_t *exchange);

#endif
