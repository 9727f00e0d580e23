#include <string.h>

#include "fleet/fleet_internal.h"

/** Time after which a host's load and demand expire. */
#define RUMOUR_TTL (5 * SR_SEC)

/** Bytes of a rumour's value that are reserved for its last line. */
#define LINE_RESERVE 64

/** Time after which a host's engine work expires. */
#define WORK_EXPIRY (10 * SR_SEC)

/** Time constant of the moving average of engine work, in s. */
#define WORK_AVERAGE_S 4.0

/** First character of a line that holds the engine work of a service instead
 * of the load at an instance. */
#define WORK_MARK '@'

/** load_item_t - one host's load at one instance. */
typedef struct {
	char *instance;
	double in_flight;	      /* requests */
	double pending_prompt_tokens; /* of prompts without a first event yet */
} load_item_t;

/** load_t - the load that another host has published. */
typedef struct {
	sr_usec_t received_at;
	GArray *items; /* load_item_t */
} load_t;

/** work_t - engine time that one host's prompts need at a service. */
typedef struct {
	char *service;
	double total_s; /* only grows while the host runs */
	double rate;	/* s per s, moving average */
	sr_usec_t updated_at;
} work_t;

static void clear_item(gpointer data)
{
	load_item_t *item = data;

	g_free(item->instance);
}

static void free_load(gpointer data)
{
	load_t *load = data;

	g_array_unref(load->items);
	g_free(load);
}

static void free_work(gpointer data)
{
	work_t *work = data;

	g_free(work->service);
	g_free(work);
}

/* Updates the moving average of one host's work at a service. A total that has
 * fallen means that the host has restarted; its average begins again. */
static void update_work(sr_fleet_t *fleet, const char *node,
			const char *service, double total_s)
{
	char *key = g_strdup_printf("%s/%s", node, service);
	work_t *work = g_hash_table_lookup(fleet->engine_work, key);
	sr_usec_t now = sr_fleet_now(fleet);
	double elapsed_s;

	if (!work || total_s < work->total_s) {
		work = g_new0(work_t, 1);
		work->service = g_strdup(service);
		work->total_s = total_s;
		work->updated_at = now;
		g_hash_table_insert(fleet->engine_work, key, work);
		return;
	}
	g_free(key);
	elapsed_s = (double)(now - work->updated_at) / SR_SEC;
	if (elapsed_s <= 0)
		return;
	work->rate += MIN(elapsed_s / WORK_AVERAGE_S, 1) *
		      ((total_s - work->total_s) / elapsed_s - work->rate);
	work->total_s = total_s;
	work->updated_at = now;
}

double sr_fleet_busy_instances(const sr_fleet_t *fleet, const char *service)
{
	sr_usec_t now = sr_fleet_now(fleet);
	unsigned n_hosts = sr_fleet_host_count(fleet);
	unsigned n_known = 0;
	GHashTableIter iter;
	gpointer value;
	double sum = 0;

	g_hash_table_iter_init(&iter, fleet->engine_work);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const work_t *work = value;

		if (strcmp(work->service, service) != 0 ||
		    now - work->updated_at >= WORK_EXPIRY)
			continue;
		sum += work->rate;
		n_known++;
	}
	/* The load balancer spreads callers over all hosts, so a host whose
	 * work is not known is assumed to cause the average of the others. */
	return n_known > 0 ? sum * MAX(n_hosts, n_known) / n_known : 0;
}

void sr_load_gossip_init(sr_fleet_t *fleet)
{
	fleet->loads = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     free_load);
	fleet->engine_work = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, free_work);
	fleet->demand_text = g_string_new(NULL);
	fleet->usage_last_received =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (fleet->options.usage_window > 0)
		fleet->usage = sr_usage_windows_new(
			fleet->owner_id, fleet->options.usage_window);
}

void sr_load_gossip_clear(sr_fleet_t *fleet)
{
	g_hash_table_unref(fleet->loads);
	g_hash_table_unref(fleet->engine_work);
	g_string_free(fleet->demand_text, TRUE);
	g_hash_table_unref(fleet->usage_last_received);
	sr_usage_windows_free(fleet->usage);
}

/* "ACCOUNT=AMOUNT\n", the amount requested here since the start */
static void append_demand(void *user, const char *account, double demand)
{
	sr_fleet_t *fleet = user;

	if (fleet->demand_text->len < SR_RUMOUR_VALUE_MAX - LINE_RESERVE)
		g_string_append_printf(fleet->demand_text, "%s=%.0f\n", account,
				       demand);
}

static void publish_demand(sr_fleet_t *fleet)
{
	g_string_truncate(fleet->demand_text, 0);
	sr_allowance_publish(sr_gateway_allowance(fleet->options.gateway),
			     sr_fleet_now(fleet), append_demand, fleet);
	if (fleet->demand_text->len > 0)
		sr_fleet_publish_own(fleet, SR_RUMOUR_DEMAND,
				     fleet->options.node,
				     fleet->demand_text->str, RUMOUR_TTL);
}

typedef struct {
	sr_fleet_t *fleet;
	GString *text;
} work_context_t;

/* "@SERVICE SECONDS 0\n", with as many fields as the line of an instance */
static void append_work(void *user, const char *service, double work_s)
{
	work_context_t *context = user;

	if (work_s <= 0)
		return;
	update_work(context->fleet, context->fleet->options.node, service,
		    work_s);
	g_string_append_printf(context->text, "%c%s %.3f 0\n", WORK_MARK,
			       service, work_s);
}

/* "INSTANCE IN_FLIGHT UNREAD_TOKENS\n" for each instance with work */
void sr_load_gossip_publish_load(sr_fleet_t *fleet)
{
	const GPtrArray *all =
		sr_instances_all(sr_gateway_instances(fleet->options.gateway));
	GString *text = g_string_new(NULL);
	work_context_t context = { .fleet = fleet, .text = text };

	sr_gateway_foreach_prefill(fleet->options.gateway, append_work,
				   &context);
	for (guint i = 0;
	     i < all->len && text->len < SR_RUMOUR_VALUE_MAX - LINE_RESERVE;
	     i++) {
		const sr_instance_t *instance = all->pdata[i];

		if (instance->in_flight > 0)
			g_string_append_printf(text, "%s %u %.0f\n",
					       instance->name,
					       instance->in_flight,
					       instance->pending_prompt_tokens);
	}
	if (text->len > 0)
		sr_fleet_publish_own(fleet, SR_RUMOUR_LOAD, fleet->options.node,
				     text->str, RUMOUR_TTL);
	g_string_free(text, TRUE);
}

void sr_load_gossip_tick(sr_fleet_t *fleet)
{
	publish_demand(fleet);
}

void sr_load_gossip_receive_demand(sr_fleet_t *fleet, const sr_rumour_t *rumour)
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

void sr_load_gossip_receive_load(sr_fleet_t *fleet, const sr_rumour_t *rumour)
{
	char *text = g_strndup((const char *)rumour->value, rumour->size);
	char **lines = g_strsplit(text, "\n", -1);
	load_t *load = g_new0(load_t, 1);

	load->received_at = sr_fleet_now(fleet);
	load->items = g_array_new(FALSE, FALSE, sizeof(load_item_t));
	g_array_set_clear_func(load->items, clear_item);
	for (char **line = lines; *line; line++) {
		char **parts = g_strsplit(*line, " ", 3);

		if (g_strv_length(parts) == 3 && parts[0][0] == WORK_MARK) {
			update_work(fleet, rumour->key, parts[0] + 1,
				    g_ascii_strtod(parts[1], NULL));
		} else if (g_strv_length(parts) == 3) {
			const load_item_t item = {
				.instance = g_strdup(parts[0]),
				.in_flight = g_ascii_strtod(parts[1], NULL),
				.pending_prompt_tokens =
					g_ascii_strtod(parts[2], NULL),
			};

			g_array_append_val(load->items, item);
		}
		g_strfreev(parts);
	}
	g_hash_table_insert(fleet->loads, g_strdup(rumour->key), load);
	g_strfreev(lines);
	g_free(text);
}

void sr_load_gossip_apply(sr_fleet_t *fleet)
{
	sr_instances_t *instances =
		sr_gateway_instances(fleet->options.gateway);
	const GPtrArray *all = sr_instances_all(instances);
	sr_usec_t now = sr_fleet_now(fleet);
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < all->len; i++) {
		sr_instance_t *instance = all->pdata[i];

		instance->peers_in_flight = 0;
		instance->peers_pending_prompt_tokens = 0;
		instance->peers_reported_at = now;
	}
	g_hash_table_iter_init(&iter, fleet->loads);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const load_t *load = value;

		if (now - load->received_at > RUMOUR_TTL) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		for (guint i = 0; i < load->items->len; i++) {
			const load_item_t *item =
				&g_array_index(load->items, load_item_t, i);
			sr_instance_t *instance =
				sr_instances_find(instances, item->instance);

			if (!instance)
				continue;
			instance->peers_in_flight += item->in_flight;
			instance->peers_pending_prompt_tokens +=
				item->pending_prompt_tokens;
		}
	}
}
