#include "platform_api/hosts.h"

/* Mean delay before the next long poll after a failed one. */
#define NOTICE_RETRY_DELAY (2 * SR_SEC)

typedef struct {
	sr_host_t info; /* from the last list with this host */
	gboolean listed;
	gboolean leaving; /* by a notice or the list; info.leaving is unused */
	unsigned last_serial; /* of the last list with this host */
} host_entry_t;

struct sr_hosts {
	sr_hosts_options_t options;
	GRand *random;
	GHashTable *entries; /* borrowed name -> host_entry_t */
	gboolean active;
	unsigned list_serial; /* counts the received lists */
	guint64 last_notice;  /* sequence number */
	sr_timer_t *list_timer;
	sr_timer_t *notice_timer;
};

static void free_entry(gpointer data)
{
	host_entry_t *entry = data;

	g_free(entry->info.name);
	g_free(entry->info.failure_domain);
	g_free(entry->info.class);
	g_free(entry);
}

static host_entry_t *get_entry(sr_hosts_t *hosts, const char *name)
{
	host_entry_t *entry = g_hash_table_lookup(hosts->entries, name);

	if (entry)
		return entry;
	entry = g_new0(host_entry_t, 1);
	entry->info.name = g_strdup(name);
	entry->info.failure_domain = g_strdup("");
	entry->info.class = g_strdup("");
	entry->last_serial = hosts->list_serial;
	g_hash_table_insert(hosts->entries, entry->info.name, entry);
	return entry;
}

/* Returns a random delay that differs from the mean by at most a quarter. */
static sr_usec_t jittered(sr_hosts_t *hosts, sr_usec_t mean)
{
	return (sr_usec_t)(g_rand_double_range(hosts->random, 0.75, 1.25) *
			   (double)mean);
}

static void mark_leaving(sr_hosts_t *hosts, host_entry_t *entry,
			 sr_usec_t time_left)
{
	if (entry->leaving)
		return;
	entry->leaving = TRUE;
	hosts->options.host_leaving(hosts->options.user, entry->info.name,
				    time_left);
}

static void update_host(sr_hosts_t *hosts, const sr_host_t *host)
{
	host_entry_t *entry = get_entry(hosts, host->name);
	gboolean newly_listed = !entry->listed;

	entry->listed = TRUE;
	entry->last_serial = hosts->list_serial;
	g_free(entry->info.failure_domain);
	entry->info.failure_domain = g_strdup(host->failure_domain);
	g_free(entry->info.class);
	entry->info.class = g_strdup(host->class);
	entry->info.reclaimable = host->reclaimable;
	entry->info.price_per_hour = host->price_per_hour;
	if (newly_listed)
		hosts->options.host_presence_changed(hosts->options.user,
						     &entry->info, TRUE);
	if (host->leaving)
		mark_leaving(hosts, entry, 0);
}

/* A notice can announce a host before the list has it. Such a host is removed
 * if this many lists don't have it. */
#define MAX_UNLISTED_POLLS 10

static void remove_absent(sr_hosts_t *hosts)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, hosts->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		host_entry_t *entry = value;
		unsigned age = hosts->list_serial - entry->last_serial;

		if (age == 0 || (!entry->listed && age < MAX_UNLISTED_POLLS))
			continue;
		g_hash_table_iter_steal(&iter);
		if (entry->listed)
			hosts->options.host_presence_changed(
				hosts->options.user, &entry->info, FALSE);
		free_entry(entry);
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
	hosts->list_serial++;
	for (guint i = 0; i < list->len; i++)
		update_host(hosts, g_ptr_array_index(list, i));
	remove_absent(hosts);
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
		pause = jittered(hosts, NOTICE_RETRY_DELAY);
	hosts->notice_timer = sr_timer_start(hosts->options.clock, pause,
					     on_notice_timer, hosts);
	for (guint i = 0; notices && i < notices->len; i++) {
		sr_notice_t *notice = g_ptr_array_index(notices, i);

		hosts->last_notice = MAX(hosts->last_notice, notice->sequence);
		mark_leaving(hosts, get_entry(hosts, notice->host),
			     notice->time_left);
	}
	g_clear_pointer(&notices, g_ptr_array_unref);
}

static void on_notice_timer(void *user)
{
	sr_hosts_t *hosts = user;
	char *path = g_strdup_printf(
		"/notices?after=%" G_GUINT64_FORMAT "&timeout_s=%d",
		hosts->last_notice, (int)(SR_HOSTS_NOTICE_TIMEOUT / SR_SEC));
	sr_platform_request_t request = {
		.method = "GET",
		.path = path,
		.class = SR_STORE_LEASE,
		.timeout = SR_HOSTS_NOTICE_TIMEOUT,
		.long_poll = TRUE,
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
		hosts->options.interval = SR_HOSTS_POLL_INTERVAL;
	hosts->random = g_rand_new_with_seed((guint32)options->seed);
	hosts->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_entry);
	return hosts;
}

void sr_hosts_free(sr_hosts_t *hosts)
{
	if (!hosts)
		return;
	sr_hosts_set_active(hosts, FALSE);
	g_hash_table_unref(hosts->entries);
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
	const host_entry_t *entry = g_hash_table_lookup(hosts->entries, name);

	return entry && entry->leaving;
}
