#include "hosts.h"

#include <string.h>

#include "base/list.h"

#define NOTICE_POLL_DEFAULT_S 30
#define NOTICE_POLL_MAX_S 300
#define CLOUD_HOSTS_PREFIX "/cloud/hosts/"
#define ON_DEMAND_PRICE_PER_HOUR 1.0
#define RECLAIMABLE_PRICE_PER_HOUR 0.25

typedef struct {
	sr_list_t link;
	char *name;
	char *token; /* idempotency token of the start request, or NULL */
	char *failure_domain;
	char *class;
	gboolean reclaimable;
	double price_per_hour;
	sr_usec_t started_at;
	sr_usec_t leaving_at; /* G_MAXINT64 before a notice or stop */
	sr_usec_t removed_at; /* likewise */
} host_t;

typedef struct {
	guint64 sequence;
	char *host;
	sr_usec_t removed_at;
} notice_t;

struct sr_emu_hosts {
	sr_list_t list;
	GPtrArray *notices;   /* notice_t, in sequence order */
	GHashTable *capacity; /* "DOMAIN/CLASS" to number of starts left */
	guint64 last_id;
	sr_usec_t list_lag;
	sr_clock_t *clock;
	sr_emu_server_t *server;
};

static void free_host(host_t *host)
{
	sr_list_remove(&host->link);
	g_free(host->name);
	g_free(host->token);
	g_free(host->failure_domain);
	g_free(host->class);
	g_free(host);
}

static void free_notice(gpointer data)
{
	notice_t *notice = data;

	g_free(notice->host);
	g_free(notice);
}

sr_emu_hosts_t *sr_emu_hosts_new(const sr_emu_hosts_options_t *options)
{
	sr_emu_hosts_t *hosts = g_new0(sr_emu_hosts_t, 1);

	sr_list_init(&hosts->list);
	hosts->notices = g_ptr_array_new_with_free_func(free_notice);
	hosts->capacity =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	hosts->list_lag = options->list_lag;
	hosts->clock = options->clock;
	return hosts;
}

void sr_emu_hosts_free(sr_emu_hosts_t *hosts)
{
	if (!hosts)
		return;
	sr_list_for_each_safe (pos, &hosts->list)
		free_host(sr_list_entry(pos, host_t, link));
	g_ptr_array_unref(hosts->notices);
	g_hash_table_unref(hosts->capacity);
	g_free(hosts);
}

void sr_emu_hosts_set_server(sr_emu_hosts_t *hosts, sr_emu_server_t *server)
{
	hosts->server = server;
}

static struct json_object *host_to_json(const host_t *host, gboolean leaving)
{
	struct json_object *object = json_object_new_object();

	json_object_object_add(object, "name",
			       json_object_new_string(host->name));
	json_object_object_add(object, "failure_domain",
			       json_object_new_string(host->failure_domain));
	json_object_object_add(object, "class",
			       json_object_new_string(host->class));
	json_object_object_add(object, "reclaimable",
			       json_object_new_boolean(host->reclaimable));
	json_object_object_add(object, "price_per_hour",
			       json_object_new_double(host->price_per_hour));
	json_object_object_add(
		object, "state",
		json_object_new_string(leaving ? "leaving" : "live"));
	return object;
}

/* Lists the hosts as of list_lag ago. */
static void answer_list(sr_emu_hosts_t *hosts, sr_emu_exchange_t *exchange)
{
	sr_usec_t cutoff = sr_clock_now(hosts->clock) - hosts->list_lag;
	struct json_object *answer = json_object_new_object();
	struct json_object *array = json_object_new_array();

	sr_list_for_each (pos, &hosts->list) {
		const host_t *host = sr_list_entry(pos, host_t, link);

		if (host->started_at <= cutoff && host->removed_at > cutoff)
			json_object_array_add(
				array,
				host_to_json(host, host->leaving_at <= cutoff));
	}
	json_object_object_add(answer, "hosts", array);
	sr_emu_answer_json(exchange, 200, answer);
}

static struct json_object *notice_to_json(const notice_t *notice, sr_usec_t now)
{
	struct json_object *object = json_object_new_object();
	double in_s = (double)MAX(notice->removed_at - now, 0) / SR_SEC;

	json_object_object_add(object, "seq",
			       json_object_new_uint64(notice->sequence));
	json_object_object_add(object, "host",
			       json_object_new_string(notice->host));
	json_object_object_add(object, "in_s", json_object_new_double(in_s));
	return object;
}

static gboolean poll_notices(void *user, sr_emu_exchange_t *exchange,
			     gboolean timed_out)
{
	sr_emu_hosts_t *hosts = user;
	guint64 after = sr_emu_query_number(exchange, "after", 0);
	struct json_object *answer;
	struct json_object *array;

	if (after >= hosts->notices->len && !timed_out)
		return FALSE;
	answer = json_object_new_object();
	array = json_object_new_array();
	for (guint64 i = after; i < hosts->notices->len; i++)
		json_object_array_add(
			array, notice_to_json(hosts->notices->pdata[i],
					      sr_clock_now(hosts->clock)));
	json_object_object_add(answer, "notices", array);
	sr_emu_answer_json(exchange, 200, answer);
	return TRUE;
}

static host_t *find_host(const sr_emu_hosts_t *hosts, const char *name)
{
	sr_list_for_each (pos, &hosts->list) {
		host_t *host = sr_list_entry(pos, host_t, link);

		if (!strcmp(host->name, name))
			return host;
	}
	return NULL;
}

static host_t *find_host_by_token(const sr_emu_hosts_t *hosts,
				  const char *token)
{
	sr_list_for_each (pos, &hosts->list) {
		host_t *host = sr_list_entry(pos, host_t, link);

		if (host->token && !strcmp(host->token, token))
			return host;
	}
	return NULL;
}

static host_t *add_host(sr_emu_hosts_t *hosts, struct json_object *request,
			const char *name)
{
	host_t *host = g_new0(host_t, 1);
	const char *token = sr_emu_json_string(request, "token", NULL);

	host->name = g_strdup(name);
	host->token = g_strdup(token);
	host->failure_domain =
		g_strdup(sr_emu_json_string(request, "failure_domain", ""));
	host->class = g_strdup(sr_emu_json_string(request, "class", ""));
	host->reclaimable = sr_emu_json_bool(request, "reclaimable", TRUE);
	host->price_per_hour = sr_emu_json_number(
		request, "price_per_hour",
		host->reclaimable ? RECLAIMABLE_PRICE_PER_HOUR :
				    ON_DEMAND_PRICE_PER_HOUR);
	host->started_at = sr_clock_now(hosts->clock);
	host->leaving_at = G_MAXINT64;
	host->removed_at = G_MAXINT64;
	sr_list_append(&hosts->list, &host->link);
	return host;
}

/*
 * Returns FALSE if the failure domain has no capacity left for the class. A
 * pair without a limit has unlimited capacity.
 */
static gboolean reserve_capacity(sr_emu_hosts_t *hosts,
				 struct json_object *request)
{
	char *key = g_strdup_printf(
		"%s/%s", sr_emu_json_string(request, "failure_domain", ""),
		sr_emu_json_string(request, "class", ""));
	gpointer remaining;
	gboolean limited = g_hash_table_lookup_extended(hosts->capacity, key,
							NULL, &remaining);
	gboolean ok = !limited || GPOINTER_TO_UINT(remaining) > 0;

	if (limited && ok)
		g_hash_table_replace(
			hosts->capacity, g_strdup(key),
			GUINT_TO_POINTER(GPOINTER_TO_UINT(remaining) - 1));
	g_free(key);
	return ok;
}

static void start_host(sr_emu_hosts_t *hosts, sr_emu_exchange_t *exchange,
		       struct json_object *request)
{
	const char *token = sr_emu_json_string(request, "token", NULL);
	struct json_object *refusal;
	host_t *host;
	char *name;

	if (!token) {
		sr_emu_answer_status(exchange, 400);
		return;
	}
	host = find_host_by_token(hosts, token);
	if (!host && !reserve_capacity(hosts, request)) {
		refusal = json_object_new_object();
		json_object_object_add(refusal, "reason",
				       json_object_new_string("no-capacity"));
		sr_emu_answer_json(exchange, 409, refusal);
		return;
	}
	if (!host) {
		name = g_strdup_printf(
			"%s-%" G_GUINT64_FORMAT,
			sr_emu_json_string(request, "failure_domain", ""),
			++hosts->last_id);
		host = add_host(hosts, request, name);
		g_free(name);
	}
	sr_emu_answer_json(exchange, 201, host_to_json(host, FALSE));
}

static void stop_host(sr_emu_hosts_t *hosts, sr_emu_exchange_t *exchange)
{
	const char *name = sr_emu_path(exchange) + strlen(CLOUD_HOSTS_PREFIX);
	host_t *host = find_host(hosts, name);
	sr_usec_t now = sr_clock_now(hosts->clock);

	if (!host) {
		sr_emu_answer_status(exchange, 404);
		return;
	}
	host->leaving_at = MIN(host->leaving_at, now);
	host->removed_at = MIN(host->removed_at, now);
	sr_emu_answer_status(exchange, 204);
}

static void add_notice(sr_emu_hosts_t *hosts, host_t *host,
		       sr_usec_t notice_period)
{
	notice_t *notice = g_new0(notice_t, 1);
	sr_usec_t now = sr_clock_now(hosts->clock);

	host->leaving_at = MIN(host->leaving_at, now);
	host->removed_at = MIN(host->removed_at, now + notice_period);
	notice->sequence = hosts->notices->len + 1;
	notice->host = g_strdup(host->name);
	notice->removed_at = now + notice_period;
	g_ptr_array_add(hosts->notices, notice);
}

/*
 * {"host": NAME, "in_s": N} or {"failure_domain": NAME, "in_s": N}: sends a
 * notice to that host, or to all reclaimable hosts of the failure domain.
 */
static void reclaim(sr_emu_hosts_t *hosts, sr_emu_exchange_t *exchange,
		    struct json_object *request)
{
	const char *name = sr_emu_json_string(request, "host", NULL);
	const char *domain =
		sr_emu_json_string(request, "failure_domain", NULL);
	sr_usec_t notice_period =
		(sr_usec_t)(sr_emu_json_number(request, "in_s", 0) * SR_SEC);
	struct json_object *answer = json_object_new_object();
	int reclaimed = 0;

	sr_list_for_each (pos, &hosts->list) {
		host_t *host = sr_list_entry(pos, host_t, link);
		gboolean named = name && !strcmp(host->name, name);
		gboolean in_domain = domain && host->reclaimable &&
				     !strcmp(host->failure_domain, domain);

		if (host->leaving_at == G_MAXINT64 && (named || in_domain)) {
			add_notice(hosts, host, notice_period);
			reclaimed++;
		}
	}
	json_object_object_add(answer, "reclaimed",
			       json_object_new_int(reclaimed));
	sr_emu_answer_json(exchange, 200, answer);
	sr_emu_server_poll_waiting(hosts->server);
}

/* {"failure_domain", "class", "hosts": N}: limits further starts to N. */
static void set_capacity(sr_emu_hosts_t *hosts, sr_emu_exchange_t *exchange,
			 struct json_object *request)
{
	char *key = g_strdup_printf(
		"%s/%s", sr_emu_json_string(request, "failure_domain", ""),
		sr_emu_json_string(request, "class", ""));

	g_hash_table_replace(hosts->capacity, key,
			     GUINT_TO_POINTER((guint)sr_emu_json_number(
				     request, "hosts", 0)));
	sr_emu_answer_status(exchange, 204);
}

static void register_host(sr_emu_hosts_t *hosts, sr_emu_exchange_t *exchange,
			  struct json_object *request)
{
	const char *name = sr_emu_json_string(request, "name", NULL);

	if (!name || find_host(hosts, name)) {
		sr_emu_answer_status(exchange, name ? 409 : 400);
		return;
	}
	sr_emu_answer_json(exchange, 201,
			   host_to_json(add_host(hosts, request, name), FALSE));
}

static gboolean handle_post(sr_emu_hosts_t *hosts, sr_emu_exchange_t *exchange)
{
	static const struct {
		const char *path;
		void (*run)(sr_emu_hosts_t *hosts, sr_emu_exchange_t *exchange,
			    struct json_object *request);
	} calls[] = {
		{ "/cloud/hosts", start_host },
		{ "/admin/hosts", register_host },
		{ "/admin/reclaim", reclaim },
		{ "/admin/capacity", set_capacity },
	};
	struct json_object *request;

	for (guint i = 0; i < G_N_ELEMENTS(calls); i++) {
		if (strcmp(sr_emu_path(exchange), calls[i].path) != 0)
			continue;
		request = sr_emu_body_json(exchange);
		if (request)
			calls[i].run(hosts, exchange, request);
		else
			sr_emu_answer_status(exchange, 400);
		json_object_put(request);
		return TRUE;
	}
	return FALSE;
}

gboolean sr_emu_hosts_handle(sr_emu_hosts_t *hosts, sr_emu_exchange_t *exchange)
{
	guint64 timeout_s;

	if (!strcmp(sr_emu_method(exchange), "POST"))
		return handle_post(hosts, exchange);
	if (sr_emu_request_is(exchange, "GET", "/hosts")) {
		answer_list(hosts, exchange);
	} else if (sr_emu_request_is(exchange, "GET", "/notices")) {
		timeout_s = sr_emu_query_number(exchange, "timeout_s",
						NOTICE_POLL_DEFAULT_S);
		sr_emu_long_poll(exchange,
				 (sr_usec_t)MIN(timeout_s, NOTICE_POLL_MAX_S) *
					 SR_SEC,
				 poll_notices, hosts);
	} else if (!strcmp(sr_emu_method(exchange), "DELETE") &&
		   g_str_has_prefix(sr_emu_path(exchange),
				    CLOUD_HOSTS_PREFIX)) {
		stop_host(hosts, exchange);
	} else {
		return FALSE;
	}
	return TRUE;
}
