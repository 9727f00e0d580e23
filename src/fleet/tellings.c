#include <string.h>

#include "fleet/beliefs_internal.h"

/** What hosts tell of their work and demand is void after this. */
#define TELLING_TTL (5 * SR_SEC)

typedef struct {
	char *instance;
	double in_flight;
	double unread_tokens;
} load_item_t;

typedef struct {
	sr_usec_t at;
	GArray *items; /* load_item_t */
} load_t;

/** work_t - what one host asks of a service's engines. */
typedef struct {
	char *service;
	double total; /* s; only grows */
	double rate;  /* averaged */
	sr_usec_t at;
} work_t;

/** What was heard of a host's work counts for this long. */
#define WORK_LIFE (10 * SR_SEC)

/** Time over which work is averaged, in s. */
#define WORK_TIME_S 4.0

/** Marks a line that tells of a service's work, not of an instance. */
#define WORK_MARK '@'

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

static void note_work(sr_beliefs_t *beliefs, const char *node,
		      const char *service, double total)
{
	char *key = g_strdup_printf("%s/%s", node, service);
	work_t *work = g_hash_table_lookup(beliefs->works, key);
	sr_usec_t now = sr_beliefs_now(beliefs);
	double passed;

	if (!work || total < work->total) {
		work = g_new0(work_t, 1);
		work->service = g_strdup(service);
		work->total = total;
		work->at = now;
		g_hash_table_insert(beliefs->works, key, work);
		return;
	}
	g_free(key);
	passed = (double)(now - work->at) / SR_SEC;
	if (passed <= 0)
		return;
	work->rate += MIN(passed / WORK_TIME_S, 1) *
		      ((total - work->total) / passed - work->rate);
	work->total = total;
	work->at = now;
}

double sr_beliefs_work(const sr_beliefs_t *beliefs, const char *service)
{
	sr_usec_t now = sr_beliefs_now(beliefs);
	unsigned n_hosts = sr_beliefs_hosts(beliefs);
	unsigned n_heard = 0;
	GHashTableIter iter;
	gpointer value;
	double sum = 0;

	g_hash_table_iter_init(&iter, beliefs->works);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const work_t *work = value;

		if (strcmp(work->service, service) != 0 ||
		    now - work->at >= WORK_LIFE)
			continue;
		sum += work->rate;
		n_heard++;
	}
	/* The balancer spreads callers over the hosts, so that those that were
	 * not heard of work like the others. */
	return n_heard > 0 ? sum * MAX(n_hosts, n_heard) / n_heard : 0;
}

void sr_tellings_init(sr_beliefs_t *beliefs)
{
	beliefs->loads = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_load);
	beliefs->works = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_work);
	beliefs->demand = g_string_new(NULL);
	beliefs->usage_told =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (beliefs->options.usage_window > 0)
		beliefs->usage = sr_usage_windows_new(
			beliefs->owner, beliefs->options.usage_window);
}

void sr_tellings_clear(sr_beliefs_t *beliefs)
{
	g_hash_table_unref(beliefs->loads);
	g_hash_table_unref(beliefs->works);
	g_string_free(beliefs->demand, TRUE);
	g_hash_table_unref(beliefs->usage_told);
	sr_usage_windows_free(beliefs->usage);
}

static void append_demand(void *user, const char *account, double asked)
{
	sr_beliefs_t *beliefs = user;

	if (beliefs->demand->len < SR_RUMOUR_VALUE_MAX - 64)
		g_string_append_printf(beliefs->demand, "%s=%.0f\n", account,
				       asked);
}

static void tell_demand(sr_beliefs_t *beliefs)
{
	g_string_truncate(beliefs->demand, 0);
	sr_allowance_publish(sr_gateway_allowance(beliefs->options.gateway),
			     sr_beliefs_now(beliefs), append_demand, beliefs);
	if (beliefs->demand->len > 0)
		sr_beliefs_put_own(beliefs, SR_RUMOUR_DEMAND,
				   beliefs->options.node, beliefs->demand->str,
				   TELLING_TTL);
}

typedef struct {
	sr_beliefs_t *beliefs;
	GString *text;
} work_telling_t;

static void append_work(void *user, const char *service, double work_s)
{
	work_telling_t *telling = user;

	if (work_s <= 0)
		return;
	note_work(telling->beliefs, telling->beliefs->options.node, service,
		  work_s);
	g_string_append_printf(telling->text, "%c%s %.3f 0\n", WORK_MARK,
			       service, work_s);
}

void sr_tellings_tell_load(sr_beliefs_t *beliefs)
{
	const GPtrArray *all = sr_instances_all(
		sr_gateway_instances(beliefs->options.gateway));
	GString *text = g_string_new(NULL);
	work_telling_t telling = { .beliefs = beliefs, .text = text };

	sr_gateway_foreach_work(beliefs->options.gateway, append_work,
				&telling);
	for (guint i = 0; i < all->len && text->len < SR_RUMOUR_VALUE_MAX - 64;
	     i++) {
		const sr_instance_t *instance = all->pdata[i];

		if (instance->in_flight > 0)
			g_string_append_printf(text, "%s %u %.0f\n",
					       instance->name,
					       instance->in_flight,
					       instance->pending_prompt_tokens);
	}
	if (text->len > 0)
		sr_beliefs_put_own(beliefs, SR_RUMOUR_LOAD,
				   beliefs->options.node, text->str,
				   TELLING_TTL);
	g_string_free(text, TRUE);
}

void sr_tellings_tell(sr_beliefs_t *beliefs)
{
	tell_demand(beliefs);
}

void sr_tellings_heard_demand(sr_beliefs_t *beliefs, const sr_rumour_t *rumour)
{
	char *text = g_strndup((const char *)rumour->value, rumour->size);
	char **lines = g_strsplit(text, "\n", -1);

	for (char **line = lines; *line; line++) {
		char *mark = strrchr(*line, '=');

		if (!mark)
			continue;
		*mark = '\0';
		sr_allowance_receive(
			sr_gateway_allowance(beliefs->options.gateway),
			sr_beliefs_now(beliefs), rumour->key, *line,
			g_ascii_strtod(mark + 1, NULL));
	}
	g_strfreev(lines);
	g_free(text);
}

void sr_tellings_heard_load(sr_beliefs_t *beliefs, const sr_rumour_t *rumour)
{
	char *text = g_strndup((const char *)rumour->value, rumour->size);
	char **lines = g_strsplit(text, "\n", -1);
	load_t *load = g_new0(load_t, 1);

	load->at = sr_beliefs_now(beliefs);
	load->items = g_array_new(FALSE, FALSE, sizeof(load_item_t));
	g_array_set_clear_func(load->items, clear_item);
	for (char **line = lines; *line; line++) {
		char **parts = g_strsplit(*line, " ", 3);

		if (g_strv_length(parts) == 3 && parts[0][0] == WORK_MARK) {
			note_work(beliefs, rumour->key, parts[0] + 1,
				  g_ascii_strtod(parts[1], NULL));
		} else if (g_strv_length(parts) == 3) {
			const load_item_t item = {
				.instance = g_strdup(parts[0]),
				.in_flight = g_ascii_strtod(parts[1], NULL),
				.unread_tokens = g_ascii_strtod(parts[2], NULL),
			};

			g_array_append_val(load->items, item);
		}
		g_strfreev(parts);
	}
	g_hash_table_insert(beliefs->loads, g_strdup(rumour->key), load);
	g_strfreev(lines);
	g_free(text);
}

void sr_tellings_apply(sr_beliefs_t *beliefs)
{
	sr_instances_t *instances =
		sr_gateway_instances(beliefs->options.gateway);
	const GPtrArray *all = sr_instances_all(instances);
	sr_usec_t now = sr_beliefs_now(beliefs);
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < all->len; i++) {
		sr_instance_t *instance = all->pdata[i];

		instance->peers_in_flight = 0;
		instance->peers_pending_prompt_tokens = 0;
		instance->peers_reported_at = now;
	}
	g_hash_table_iter_init(&iter, beliefs->loads);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const load_t *load = value;

		if (now - load->at > TELLING_TTL) {
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
				item->unread_tokens;
		}
	}
}
