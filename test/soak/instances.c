#include "soak.h"

/** Part of the requests for the service "frail" that fail. */
#define FAILING 0.6

/** Limits that an instance names, by seed, in requests per second. */
static const unsigned limits[] = { 1, 5, 2, 20 };

/** service_t - whose instances are played. */
typedef struct {
	const char *name;
	int port;
	unsigned n_instances; /* at ports that follow each other */
} service_t;

static const service_t services[] = {
	{ "desk", SOAK_PORT_INSTANCES, 2 },
	{ "frail", SOAK_PORT_INSTANCES + 2, 2 },
	{ "limited", SOAK_PORT_INSTANCES + 4, 2 }, /* the first names it */
};

/** soak_instance_t - what its server knows of it. */
typedef struct {
	soak_t *soak;
	const service_t *service;
	unsigned index; /* among those of the service */
} soak_instance_t;

static gboolean is_host_in_touch(const soak_t *soak, unsigned host)
{
	gint64 since_ms;

	if (host >= soak->n_hosts)
		return FALSE;
	since_ms = soak_rules_host(soak->rules, host)->calm.since_ms;
	return since_ms <= soak_now_ms(soak) - soak->rules->bounds.contact_ms;
}

static void note_arrival(const soak_instance_t *instance,
			 SoupServerMessage *message, const char *path,
			 const char *id)
{
	soak_t *soak = instance->soak;
	gint64 now_ms = soak_now_ms(soak);
	gboolean is_repeat = !g_hash_table_add(soak->seen_ids, g_strdup(id));

	if (now_ms < soak->sums_from_ms)
		return;
	if (g_str_has_prefix(path, "/hot/"))
		soak_sums_add(soak->sums, SOAK_SUM_ACCOUNT, now_ms,
			      SOAK_REQUEST_TOKENS);
	if (!strcmp(instance->service->name, "frail") && is_repeat)
		soak_sums_add(soak->sums, SOAK_SUM_RETRIES, now_ms, 1);
	if (!strcmp(instance->service->name, "limited") &&
	    instance->index == 0 &&
	    is_host_in_touch(soak, soak_caller_of(message)))
		soak_sums_add(soak->sums, SOAK_SUM_LIMIT, now_ms, 1);
}

static void on_instance_call(SoupServer *server, SoupServerMessage *message,
			     const char *path, GHashTable *query, gpointer user)
{
	const soak_instance_t *instance = user;
	SoupMessageHeaders *in =
		soup_server_message_get_request_headers(message);
	SoupMessageHeaders *out =
		soup_server_message_get_response_headers(message);
	const char *id = soup_message_headers_get_one(in, "Attempt-Id");
	gboolean fails = !strcmp(instance->service->name, "frail") &&
			 g_rand_double(instance->soak->random) < FAILING;

	(void)server;
	(void)query;
	if (!id) { /* a check of its health */
		soup_server_message_set_status(message, 200, NULL);
		return;
	}
	note_arrival(instance, message, path, id);
	if (!strcmp(instance->service->name, "limited") && instance->index == 0)
		soup_message_headers_append(out, "Server-Limit",
					    instance->soak->limit);
	soup_message_headers_append(out, "Attempt-Id", id);
	soup_message_headers_append(out, "Response-Signature", "s");
	soup_server_message_set_status(message, fails ? 500 : 200, NULL);
	soup_server_message_set_response(message, "text/plain",
					 SOUP_MEMORY_STATIC, "done", 4);
}

static void register_instance(soak_t *soak, const service_t *service,
			      unsigned index)
{
	char *ip = soak_network_ip(soak->network, SOAK_STORE);
	char *name = g_strdup_printf("%s-%u", service->name, index);
	char *entry = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"z%u\","
		"\"version\":\"v1\",\"slots\":500,\"state\":\"ready\"}",
		service->name, ip, service->port + (int)index, index);

	soak_store_register(soak, name, entry);
	g_free(entry);
	g_free(name);
	g_free(ip);
}

void soak_instances_register(soak_t *soak)
{
	for (gsize i = 0; i < G_N_ELEMENTS(services); i++) {
		for (unsigned k = 0; k < services[i].n_instances; k++)
			register_instance(soak, &services[i], k);
	}
}

static void start_instance(soak_t *soak, const service_t *service,
			   unsigned index)
{
	soak_instance_t *instance = g_new0(soak_instance_t, 1);

	instance->soak = soak;
	instance->service = service;
	instance->index = index;
	soak_listen(soak, service->port + (int)index, on_instance_call,
		    instance);
}

void soak_instances_start(soak_t *soak)
{
	unsigned limit_per_s = limits[soak->seed % G_N_ELEMENTS(limits)];

	soak->sums = soak_sums_new(limit_per_s);
	g_snprintf(soak->limit, sizeof(soak->limit), "%u", limit_per_s);
	soak->seen_ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (gsize i = 0; i < G_N_ELEMENTS(services); i++) {
		for (unsigned k = 0; k < services[i].n_instances; k++)
			start_instance(soak, &services[i], k);
	}
	soak_instances_register(soak);
}
