#include "fleet/fleet_internal.h"

static const char *const kinds[SR_FLEET_DROPS] = {
	[SR_FLEET_DROP_RUMOUR] = "rumour",
	[SR_FLEET_DROP_LOAD_LINE] = "load-line",
	[SR_FLEET_DROP_MESSAGE] = "message",
	[SR_FLEET_DROP_VALUE] = "value",
};

void sr_fleet_drops_init(sr_fleet_t *fleet)
{
	for (unsigned i = 0; i < SR_FLEET_DROPS; i++) {
		char *labels = sr_metrics_labels("kind", kinds[i], NULL);

		fleet->dropped[i] = sr_metrics_counter(
			fleet->options.metrics, "sassafras_fleet_dropped_total",
			"control messages left out at a size limit", labels);
		g_free(labels);
	}
}

static guint64 count(const sr_fleet_t *fleet, sr_fleet_drop_t kind)
{
	switch (kind) {
	case SR_FLEET_DROP_RUMOUR:
		return fleet->n_large_rumours;
	case SR_FLEET_DROP_LOAD_LINE:
		return sr_load_exchange_stats(fleet->load_exchange)
			->items_dropped;
	case SR_FLEET_DROP_MESSAGE:
		return sr_peer_stats(fleet->peer)->refused;
	case SR_FLEET_DROP_VALUE:
		return fleet->n_large_values;
	}
	g_assert_not_reached();
}

void sr_fleet_drops_tick(sr_fleet_t *fleet)
{
	for (unsigned i = 0; i < SR_FLEET_DROPS; i++) {
		guint64 n = count(fleet, (sr_fleet_drop_t)i) -
			    sr_counter_get(fleet->dropped[i]);
		char text[24];

		if (n == 0)
			continue;
		sr_counter_add(fleet->dropped[i], n);
		g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, n);
		sr_log_event(fleet->options.log, SR_LOG_WARN, "control-dropped",
			     "kind", kinds[i], "number", text, "cause",
			     "size limit", NULL);
	}
}
