/* Datagrams of the gossip protocol from outside. */
#include <stddef.h>
#include <stdint.h>

#include "core/gossip.h"
#include "core/gossip_wire.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void on_send(void *user, const char *address, const guint8 *data,
		    gsize size)
{
	g_assert(size <= SR_GOSSIP_DATAGRAM_MAX);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	sr_gossip_options_t options = { .name = "a",
					.failure_domain = "d",
					.address = "1",
					.incarnation = 1,
					.seed = 1,
					.send = on_send };
	sr_gossip_t *gossip = sr_gossip_new(&options, SR_SEC);

	sr_gossip_receive(gossip, SR_SEC, data, size);
	for (int i = 1; i < 20; i++)
		sr_gossip_tick(gossip, SR_SEC + i * 500 * SR_MSEC);
	sr_gossip_free(gossip);
	return 0;
}
