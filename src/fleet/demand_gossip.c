#include <string.h>

#include "fleet/fleet_internal.h"

/** Time after which the demand of a host expires. */
#define DEMAND_TTL (5 * SR_SEC)

/** Bytes of a rumour's value that are reserved for its last line. */
#define LINE_RESERVE 64

/* "ACCOUNT=AMOUNT\n", the amount requested here since the start */
static void append_demand(void *user, const char *account, double demand)
{
	GString *text = user;

	if (text->len < SR_RUMOUR_VALUE_MAX - LINE_RESERVE)
		g_string_append_printf(text, "%s=%.0f\n", account, demand);
}

void sr_demand_gossip_publish(sr_fleet_t *fleet)
{
	GString *text = g_string_new(NULL);

	sr_allowance_publish(sr_gateway_allowance(fleet->options.gateway),
			     sr_fleet_now(fleet), append_demand, text);
	if (text->len > 0)
		sr_fleet_publish_own(fleet, SR_RUMOUR_DEMAND,
				     fleet->options.node, text->str,
				     DEMAND_TTL);
	g_string_free(text, TRUE);
}

void sr_demand_gossip_receive(sr_fleet_t *fleet, const sr_rumour_t *rumour)
{
	char *text = g_strndup((const char *)rumour->value, rumour->size);
	char **lines = g_strsplit(text, "\n", -1);

	for (char **line = lines; *line; line++) {
		char *separator = strrchr(*line, '=');

		if (!separator)
			continue;
		*separator = '\0';
		sr_allowance_receive(
			sr_gateway_allowance(fleet->options.gateway),
			sr_fleet_now(fleet), rumour->key, *line,
			g_ascii_strtod(separator + 1, NULL));
	}
	g_strfreev(lines);
	g_free(text);
}
