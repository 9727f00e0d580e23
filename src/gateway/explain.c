#include <string.h>

#include "core/gateway_admission.h"
#include "gateway/internal.h"

/** Instances that are listed, the cheapest first. */
#define LISTED_MAX 40

typedef struct {
	sr_gateway_t *gateway;
	GPtrArray *views; /* sr_placement_view_t */
} collection_t;

static void collect(void *user, const sr_placement_view_t *view)
{
	g_ptr_array_add(((collection_t *)user)->views,
			g_memdup2(view, sizeof(*view)));
}

static gint compare_views(gconstpointer a, gconstpointer b)
{
	const sr_placement_view_t *x = *(sr_placement_view_t *const *)a;
	const sr_placement_view_t *y = *(sr_placement_view_t *const *)b;

	if (x->exclusion != y->exclusion)
		return x->exclusion < y->exclusion ? -1 : 1;
	return x->choice.first_event_s < y->choice.first_event_s ?
		       -1 :
		       x->choice.first_event_s > y->choice.first_event_s;
}

static void append_view(const sr_gateway_t *gateway,
			const sr_placement_view_t *view, GString *text)
{
	const sr_instance_t *instance = view->choice.instance;
	sr_usec_t now = sr_gateway_now(gateway);
	char age[24] = "-";

	if (sr_placement_knows_peers(instance, now))
		g_snprintf(age, sizeof(age), "%" G_GINT64_FORMAT,
			   (now - instance->peers_reported_at) / SR_MSEC);
	g_string_append_printf(
		text, "%s %s %s%s %.0f %.0f %.0f %.0f/%u %s\n", instance->name,
		instance->failure_domain,
		sr_placement_exclusion_name(view->exclusion),
		view->is_home ? ",home" : "", 1000 * view->choice.first_event_s,
		1000 * view->choice.wait_s, view->choice.uncached_tokens,
		view->choice.occupancy * MAX(instance->slots, 1),
		instance->slots, age);
}

static void append_admission(const sr_gateway_route_t *route,
			     const sr_placement_choice_t *best, GString *text)
{
	const sr_gateway_admission_input_t input = {
		.wait_s = best->wait_s,
		.first_event_s = best->first_event_s,
		.target = route->latency_target,
		.time_left = route->timeout,
		.priority = route->priority,
	};
	sr_gateway_admission_result_t result = sr_gateway_admit(&input);

	if (result.admitted)
		g_string_append(text, "decision: sent\n");
	else
		g_string_append_printf(
			text,
			"decision: refused, not run; retry after %.0f ms\n",
			(double)result.retry_after / SR_MSEC);
}

/* views: the best one first */
static void append_decision(const sr_gateway_route_t *route,
			    const GPtrArray *views, GString *text)
{
	const sr_placement_view_t *first;

	if (views->len == 0) {
		g_string_append(text, "decision: refused, not run; the service "
				      "has no instance\n");
		return;
	}
	first = views->pdata[0];
	if (first->exclusion > SR_PLACEMENT_EJECTED)
		g_string_append(text, "decision: refused, not run; no instance "
				      "can be selected\n");
	else
		append_admission(route, &first->choice, text);
}

static void append_instances(sr_gateway_t *gateway,
			     const sr_gateway_route_t *route,
			     const char *service,
			     const sr_prompt_parts_t *prompt, GString *text)
{
	const sr_placement_t placement = sr_gateway_placement(gateway);
	const sr_placement_request_t request = sr_gateway_placement_request(
		gateway, gateway->table, service, prompt);
	collection_t collection = {
		.gateway = gateway,
		.views = g_ptr_array_new_with_free_func(g_free),
	};

	sr_placement_foreach(&placement, &request, sr_gateway_now(gateway),
			     collect, &collection);
	g_ptr_array_sort(collection.views, compare_views);
	append_decision(route, collection.views, text);
	g_string_append_printf(
		text,
		"instances: %u\n"
		"instance domain state first_event_ms wait_ms uncached_tokens "
		"in_flight/slots load_age_ms\n",
		collection.views->len);
	for (guint i = 0; i < MIN(collection.views->len, LISTED_MAX); i++)
		append_view(gateway, collection.views->pdata[i], text);
	g_ptr_array_unref(collection.views);
}

static void append_account(sr_gateway_t *gateway, const char *name,
			   GString *text)
{
	const sr_gateway_account_t *account =
		sr_route_table_account(gateway->table, name);

	if (!account) {
		g_string_append_printf(text, "account: %s is not known\n",
				       name);
		return;
	}
	g_string_append_printf(
		text,
		"account: %s, %.0f %s a second and %.0f at once; share of this "
		"host %.3f\n",
		name, account->rate_per_s,
		account->counts_tokens ? "tokens" : "requests", account->burst,
		sr_allowance_share(gateway->allowance, sr_gateway_now(gateway),
				   name));
}

static gboolean explain(sr_gateway_t *gateway, const sr_message_t *message,
			GHashTable *query, GString *text)
{
	const char *authority = g_hash_table_lookup(query, "host");
	const char *path = g_hash_table_lookup(query, "path");
	const char *account = g_hash_table_lookup(query, "account");
	const sr_gateway_route_t *route;
	sr_prompt_parts_t prompt = { 0 };

	if (!authority || !path || !gateway->table) {
		g_string_append(text, "give host and path, and wait for a "
				      "route table\n");
		return FALSE;
	}
	route = sr_route_table_find_route(gateway->table, authority, path);
	if (!route || route->services->len == 0) {
		g_string_append_printf(text, "no route for %s%s\n", authority,
				       path);
		return FALSE;
	}
	gateway->options.dialect->parse_prompt(message->headers, &prompt);
	g_string_append_printf(text,
			       "route: %s, table %" G_GUINT64_FORMAT
			       ", priority %u, target %" G_GINT64_FORMAT
			       " ms, timeout %" G_GINT64_FORMAT " ms\n",
			       route->name, gateway->table->version,
			       route->priority, route->latency_target / SR_MSEC,
			       route->timeout / SR_MSEC);
	if (account)
		append_account(gateway, account, text);
	for (guint i = 0; i < route->services->len; i++) {
		const char *service =
			g_array_index(route->services, sr_weighted_service_t, i)
				.service;

		g_string_append_printf(
			text, "service: %s, %s, evacuated domains %u\n",
			service,
			sr_gateway_reaches(gateway, service) ?
				"reached" :
				"not reached: passed on to another host",
			sr_instances_count_evacuated(gateway->instances));
		append_instances(gateway, route, service, &prompt, text);
	}
	g_free(prompt.blocks);
	g_free(prompt.parts);
	g_free(prompt.tokens);
	return TRUE;
}

gboolean sr_gateway_explain(sr_gateway_t *gateway, const sr_message_t *message,
			    GString *text)
{
	const char *mark = strchr(message->target, '?');
	GHashTable *query = g_uri_parse_params(mark ? mark + 1 : "", -1, "&",
					       G_URI_PARAMS_NONE, NULL);
	gboolean is_explained;

	if (!query) {
		g_string_append(text, "the query is malformed\n");
		return FALSE;
	}
	is_explained = explain(gateway, message, query, text);
	g_hash_table_unref(query);
	return is_explained;
}
