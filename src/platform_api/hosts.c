#include "platform_api/hosts.h"

/* How long the pause before the next long poll is after a failure, at most. */
#define NOTICE_RETRY (2 * SR_SEC)

typedef struct {
	sr_host_t info;
	gboolean listed;
	gboolean leaving;
	unsigned seen; /* serial of the last list it was in */
} known_t;

struct sr_hosts {
	sr_hosts_options_t options;
	GRand *random;
	GHashTable *known; /* name to known_t */
	gboolean active;
	unsigned serial;
	guint64 last_notice;
	sr_timer_t *list_timer;
	sr_timer_t *notice_timer;
};

static void free_known(gpointer data)
{
	known_t *known = data;

	g_free(known->info.name);
	g_free(known->info.failure_domain);
	g_free(known->info.class);
	g_free(known);
}

static known_t *get_known(sr_hosts_t *hosts, const char *name)
{
	known_t *known = g_hash_table_lookup(hosts->known, name);

	if (known)
		return known;
	known = g_new0(known_t, 1);
	known->info.name = g_strdup(name);
	known->info.failure_domain = g_strdup("");
	known->info.class = g_strdup("");
	known->seen = hosts->serial;
	g_hash_table_insert(hosts->known, known->info.name, known);
	return known;
}

static sr_usec_t jittered(sr_hosts_t *hosts, sr_usec_t most)
{
	return (sr_usec_t)(g_rand_double_range(hosts->random, 0.75, 1.25) *
			   (double)most);
}

static void set_leaving(sr_hosts_t *hosts, known_t *known, sr_usec_t in)
{
	if (known->leaving)
		return;
	known->leaving = TRUE;
	hosts->options.leaving(hosts->options.user, known->info.name, in);
}

static void update_host(sr_hosts_t *hosts, const sr_host_t *host)
{
	known_t *known = get_known(hosts, host->name);
	gboolean appeared = !known->listed;

	known->listed = TRUE;
	known->seen = hosts->serial;
	g_free(known->info.failure_domain);
	known->info.failure_domain = g_strdup(host->failure_domain);
	g_free(known->info.class);
	known->info.class = g_strdup(host->class);
	known->info.reclaimable = host->reclaimable;
	known->info.price_per_hour = host->price_per_hour;
	if (appeared)
		hosts->options.present(hosts->options.user, &known->info, TRUE);
	if (host->leaving)
		set_leaving(hosts, known, 0);
}

/* A notice may name a host before the list does; keep it for some lists. */
#define UNLISTED_LISTS 10

static void drop_unseen(sr_hosts_t *hosts)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, hosts->known);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		known_t *known = value;
		unsigned age = hosts->serial - known->seen;

		if (age == 0 || (!known->listed && age < UNLISTED_LISTS))
			continue;
		g_hash_table_iter_steal(&iter);
		if (known->listed)
			hosts->options.present(hosts->options.user,
					       &known->info, FALSE);
		free_known(known);
	}
}

static void on_list_timer(void *user);
static void on_notice_timer(void *user);

static void on_list(void *user, const sr_platform_answer_t *answer)
{
	sr_hosts_t *hosts = user;
	GPtrArray *list = NULL;

	if (answer->status == SR_STORE_OK && answer->http_status == 200)
		list = sr_decode_hosts(answer->body);
	hosts->list_timer = sr_timer_start(
		hosts->options.clock, jittered(hosts, hosts->options.interval),
		on_list_timer, hosts);
	if (!list)
		return;
	hosts->serial++;
	for (guint i = 0; i < list->len; i++)
		update_host(hosts, g_ptr_array_index(list, i));
	drop_unseen(hosts);
	g_ptr_array_unref(list);
}

static void on_list_timer(void *user)
{
	sr_hosts_t *hosts = user;
	sr_platform_request_t request = {
		.method = "GET",
		.path = "/hosts",
		.class = SR_STORE_STATUS,
		.done = on_list,
		.user = hosts,
	};

	hosts->list_timer = NULL;
	sr_platform_request(hosts->options.platform, &request);
}

static void on_notices(void *user, const sr_platform_answer_t *answer)
{
	sr_hosts_t *hosts = user;
	GPtrArray *notices = NULL;
	sr_usec_t pause = 0;

	if (answer->status == SR_STORE_OK && answer->http_status == 200)
		notices = sr_decode_notices(answer->body);
	if (!notices)
		pause = jittered(hosts, NOTICE_RETRY);
	hosts->notice_timer = sr_timer_start(hosts->options.clock, pause,
					     on_notice_timer, hosts);
	for (guint i = 0; notices && i < notices->len; i++) {
		sr_notice_t *notice = g_ptr_array_index(notices, i);

		hosts->last_notice = MAX(hosts->last_notice, notice->sequence);
		set_leaving(hosts, get_known(hosts, notice->host), notice->in);
	}
	g_clear_pointer(&notices, g_ptr_array_unref);
}

static void on_notice_timer(void *user)
{
	sr_hosts_t *hosts = user;
	char *path = g_strdup_printf(
		"/notices?after=%" G_GUINT64_FORMAT "&timeout_s=%d",
		hosts->last_notice, (int)(SR_HOSTS_NOTICE_WAIT / SR_SEC));
	sr_platform_request_t request = {
		.method = "GET",
		.path = path,
		.class = SR_STORE_LEASE,
		.timeout = SR_HOSTS_NOTICE_WAIT,
		.waits = TRUE,
		.done = on_notices,
		.user = hosts,
	};

	hosts->notice_timer = NULL;
	sr_platform_request(hosts->options.platform, &request);
	g_free(path);
}

sr_hosts_t *sr_hosts_new(const sr_hosts_options_t *options)
{
	sr_hosts_t *hosts = g_new0(sr_hosts_t, 1);

	hosts->options = *options;
	if (!hosts->options.interval)
		hosts->options.interval = SR_HOSTS_INTERVAL;
	hosts->random = g_rand_new_with_seed((guint32)options->seed);
	hosts->known = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     free_known);
	return hosts;
}

void sr_hosts_free(sr_hosts_t *hosts)
{
	if (!hosts)
		return;
	sr_hosts_set_active(hosts, FALSE);
	g_hash_table_unref(hosts->known);
	g_rand_free(hosts->random);
	g_free(hosts);
}

void sr_hosts_set_active(sr_hosts_t *hosts, gboolean active)
{
	if (hosts->active == active)
		return;
	hosts->active = active;
	if (active) {
		hosts->list_timer = sr_timer_start(hosts->options.clock, 0,
						   on_list_timer, hosts);
		hosts->notice_timer = sr_timer_start(hosts->options.clock, 0,
						     on_notice_timer, hosts);
		return;
	}
	sr_timer_cancel(g_steal_pointer(&hosts->list_timer));
	sr_timer_cancel(g_steal_pointer(&hosts->notice_timer));
	sr_platform_cancel_all(hosts->options.platform, hosts);
}

gboolean sr_hosts_is_leaving(const sr_hosts_t *hosts, const char *name)
{
	const known_t *known = g_hash_table_lookup(hosts->known, name);

	return known && known->leaving;
}
