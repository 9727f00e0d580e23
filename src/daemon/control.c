#include "daemon/control_internal.h"

#include <string.h>

#include "daemon/control_status.h"

#define TICK_INTERVAL (50 * SR_MSEC)
/** Interval at which this node publishes its usage and updates its metrics. */
#define USAGE_INTERVAL SR_SEC
/** Calls per second that the platform allows all entry hosts together. */
#define PLATFORM_CALLS_PER_S 1000.0
/** Delay after the start before the first configuration is published, so that
 * an accepted one can arrive from the peers before. */
#define FIRST_CONFIG_DELAY (500 * SR_MSEC)
/** Time between two attempts to publish the first configuration. */
#define FIRST_CONFIG_INTERVAL (2 * SR_SEC)
/** Timeout of a fetch from a peer. */
#define FETCH_TIMEOUT SR_SEC
/** Duration of the lease for sending orders to the engines of a domain. */
#define ORDERS_LEASE_DURATION (10 * SR_SEC)
/** Live nodes per failure domain that follow the platform's host list. */
#define HOST_LIST_WATCHERS 2

/* Returns whether this node is among the first names of its failure domain. */
static gboolean is_host_list_watcher(const sr_control_t *control,
				     GPtrArray *names)
{
	for (guint i = 0; i < names->len && i < HOST_LIST_WATCHERS; i++) {
		if (!strcmp(g_ptr_array_index(names, i),
			    control->options.settings->node))
			return TRUE;
	}
	return FALSE;
}

/* Returns whether this node deletes its domain's stale directory entries. */
static gboolean is_directory_sweeper(const sr_control_t *control)
{
	const sr_settings_t *settings = control->options.settings;
	const char *owner = sr_members_domain_owner(
		control->members, settings->failure_domain, "entries");

	return !control->draining && owner && !strcmp(owner, settings->node);
}

/*
 * Returns this node's share of PLATFORM_CALLS_PER_S. Failure domains are
 * assumed to be of about equal size, as a node knows all nodes of its own
 * domain but only a few of each other domain.
 */
static double platform_rate(const sr_control_t *control, guint n_in_domain)
{
	unsigned n_domains = sr_members_count_domains(control->members);

	return PLATFORM_CALLS_PER_S / MAX(n_in_domain * n_domains, 1);
}

/* Determines the roles of this node from the live members of its domain. */
static void assign_roles(sr_control_t *control)
{
	const sr_settings_t *settings = control->options.settings;
	const char *domain = settings->failure_domain;
	GPtrArray *names = sr_members_names_in_domain(control->members, domain);
	const char *owner =
		sr_members_domain_owner(control->members, domain, "orders");

	sr_config_sync_set_members(
		control->sync, (const char *const *)names->pdata, names->len);
	sr_hosts_set_active(control->hosts,
			    is_host_list_watcher(control, names));
	sr_platform_set_rate(control->platform,
			     platform_rate(control, names->len));
	sr_orders_set_wanted(sr_engine_orders_core(control->orders),
			     !control->draining && owner &&
				     !strcmp(owner, settings->node));
	g_ptr_array_unref(names);
}

static void on_member_changed(void *user, const sr_member_t *member)
{
	sr_control_t *control = user;

	if (!sr_members_update(control->members, member))
		return;
	sr_log_event(control->options.log, SR_LOG_INFO, "member-changed",
		     "member", member->name, "state",
		     sr_member_state_name(member->state), NULL);
	assign_roles(control);
}

static void on_member_removed(void *user, const char *name)
{
	sr_control_t *control = user;

	if (sr_members_remove(control->members, name))
		assign_roles(control);
}

static void on_gossip_send(void *user, const char *address, const guint8 *data,
			   gsize size)
{
	sr_peer_send_datagram(((sr_control_t *)user)->peer, address, data,
			      size);
}

static void on_datagram(void *user, const guint8 *data, gsize size)
{
	sr_control_t *control = user;

	sr_gossip_receive(control->gossip, sr_control_now(control), data, size);
}

static void on_forward(void *user, sr_peer_request_t *request,
		       const sr_forward_t *forward)
{
	sr_control_t *control = user;

	control->options.forward(control->options.user, request, forward);
}

static GBytes *on_fetch(void *user, const char *key)
{
	return sr_config_sync_serve(((sr_control_t *)user)->sync, key);
}

/* Without other live nodes the fetch goes to this node, which has no value. */
static void fetch_from_peer(void *user, const char *key,
			    sr_config_fetch_fn done, void *done_user)
{
	sr_control_t *control = user;
	const char *address = sr_members_pick_address(control->members);

	if (!address)
		address = sr_peer_address(control->peer);
	sr_peer_fetch(control->peer, address, key, FETCH_TIMEOUT, done,
		      done_user);
}

static void cancel_fetches(void *user, void *done_user)
{
	sr_peer_cancel_calls(((sr_control_t *)user)->peer, done_user);
}

/* An accepted configuration has been validated and is valid here too, unless
 * this node runs an older program. Such a node keeps its configuration. */
static void on_config_in_force(void *user, const char *text, gsize size,
			       guint64 generation)
{
	sr_control_t *control = user;
	GPtrArray *findings = sr_findings_new();
	sr_config_t *config = sr_config_parse(text, size, generation, findings);

	if (config) {
		sr_config_unref(control->config);
		control->config = config;
		sr_engine_poller_set_config(control->engine_poller, config);
		sr_orders_set_config(sr_engine_orders_core(control->orders),
				     config);
		control->options.in_force(control->options.user, config);
		sr_control_schedule_status(control);
	} else {
		char *problems = sr_findings_text(findings);

		sr_log_event(control->options.log, SR_LOG_ERROR,
			     "config-not-understood", "detail", problems, NULL);
		g_free(problems);
	}
	g_ptr_array_unref(findings);
}

static void on_announce_config(void *user, guint64 generation,
			       const guint8 *digest, gsize size)
{
	sr_control_put_rumour(user, SR_RUMOUR_CONFIG, "", generation, digest,
			      size, 0);
}

static void on_entry_found(void *user, const char *address)
{
	sr_gossip_add_seed(((sr_control_t *)user)->gossip, address);
}

static gboolean on_is_live(void *user, const char *node)
{
	return sr_members_is_live(((sr_control_t *)user)->members, node);
}

static void on_first_config_published(void *user,
				      const sr_publish_result_t *result)
{
	sr_control_t *control = user;

	control->publishing_first_config = FALSE;
	sr_log_event(control->options.log, SR_LOG_INFO, "first-config",
		     "result", sr_err_name(result->err), NULL);
}

/* Publishes the configuration file unless a configuration was accepted. */
static void publish_first_config(sr_control_t *control, sr_usec_t now)
{
	gsize size;
	const char *text;

	if (!control->first_config_text || control->publishing_first_config ||
	    now < control->next_first_config)
		return;
	if (sr_config_sync_generation(control->sync) > 0) {
		g_clear_pointer(&control->first_config_text, g_bytes_unref);
		return;
	}
	control->next_first_config = now + FIRST_CONFIG_INTERVAL;
	control->publishing_first_config = TRUE;
	text = g_bytes_get_data(control->first_config_text, &size);
	sr_config_sync_publish(control->sync, 0, text, size,
			       on_first_config_published, control);
}

static void on_tick(void *user)
{
	sr_control_t *control = user;
	sr_usec_t now = sr_control_now(control);

	sr_gossip_tick(control->gossip, now);
	sr_config_sync_tick(control->sync, now);
	sr_orders_tick(sr_engine_orders_core(control->orders), now);
	if (now >= control->next_usage) {
		control->next_usage = now + USAGE_INTERVAL;
		sr_control_publish_usage(control);
		sr_control_update_metrics(control->options.metrics,
					  control->platform, control->peer,
					  control->gossip, control->members);
	}
	if (now >= control->next_status)
		sr_control_publish_status(control);
	publish_first_config(control, now);
	sr_directory_tick(control->directory, now,
			  sr_members_count(control->members) == 1,
			  is_directory_sweeper(control));
	control->timer = sr_timer_start(control->options.clock, TICK_INTERVAL,
					on_tick, control);
}

static char *read_secret(const char *path, gsize *size, char **detail)
{
	GError *error = NULL;
	char *secret = NULL;

	if (!g_file_get_contents(path, &secret, size, &error)) {
		*detail = g_strdup(error->message);
		g_error_free(error);
		return NULL;
	}
	while (*size > 0 && g_ascii_isspace(secret[*size - 1]))
		(*size)--;
	if (*size < SR_PEER_SECRET_MIN) {
		*detail = g_strdup_printf(
			"%s holds fewer than %d bytes: put a longer secret "
			"there",
			path, SR_PEER_SECRET_MIN);
		g_clear_pointer(&secret, g_free);
	}
	return secret;
}

static gboolean create_peer(sr_control_t *control, char **detail)
{
	const sr_settings_t *settings = control->options.settings;
	gsize size;
	char *secret =
		read_secret(settings->cluster_secret_file, &size, detail);
	sr_peer_options_t options = {
		.clock = control->options.clock,
		.address = settings->peer_address,
		.cluster = settings->cluster_id,
		.secret = (const guint8 *)secret,
		.node = settings->node,
		.incarnation = control->incarnation,
		.datagram = on_datagram,
		.forward = on_forward,
		.fetch = on_fetch,
		.user = control,
	};

	if (!secret)
		return FALSE;
	options.secret_size = size;
	control->peer = sr_peer_new(&options, detail);
	g_free(secret);
	return control->peer != NULL;
}

static void create_platform(sr_control_t *control)
{
	const sr_settings_t *settings = control->options.settings;
	const sr_platform_options_t options = {
		.address = settings->platform_address,
		.clock = control->options.clock,
		.seed = control->options.seed,
	};

	control->platform = sr_platform_new(&options);
}

static void create_gossip(sr_control_t *control)
{
	const sr_settings_t *settings = control->options.settings;
	const sr_gossip_options_t options = {
		.name = settings->node,
		.failure_domain = settings->failure_domain,
		.address = sr_peer_address(control->peer),
		.incarnation = control->incarnation,
		.seed = control->options.seed + 1,
		.send = on_gossip_send,
		.rumour_changed = sr_control_on_rumour,
		.member_changed = on_member_changed,
		.member_removed = on_member_removed,
		.user = control,
	};
	const sr_members_options_t members = {
		.node = settings->node,
		.failure_domain = settings->failure_domain,
		.address = sr_peer_address(control->peer),
		.seed = control->options.seed + 2,
	};

	control->members = sr_members_new(&members);
	control->gossip = sr_gossip_new(&options, sr_control_now(control));
	for (guint i = 0; i < settings->peer_seeds->len; i++)
		sr_gossip_add_seed(control->gossip,
				   g_ptr_array_index(settings->peer_seeds, i));
}

static void create_sync(sr_control_t *control)
{
	const sr_config_sync_options_t options = {
		.store = sr_platform_store(control->platform),
		.node = control->options.settings->node,
		.seed = control->options.seed + 3,
		.fetch = fetch_from_peer,
		.cancel_fetches = cancel_fetches,
		.apply = on_config_in_force,
		.announce = on_announce_config,
		.user = control,
	};

	control->sync = sr_config_sync_new(&options, sr_control_now(control));
}

static void create_hosts(sr_control_t *control)
{
	const sr_hosts_options_t options = {
		.platform = control->platform,
		.clock = control->options.clock,
		.seed = control->options.seed + 4,
		.host_leaving = sr_control_on_host_leaving,
		.host_presence_changed = sr_control_on_host_presence_changed,
		.user = control,
	};

	control->hosts = sr_hosts_new(&options);
}

static void create_directory(sr_control_t *control)
{
	const sr_settings_t *settings = control->options.settings;
	const sr_directory_options_t options = {
		.store = sr_platform_store(control->platform),
		.node = settings->node,
		.failure_domain = settings->failure_domain,
		.address = sr_peer_address(control->peer),
		.entry_found = on_entry_found,
		.is_live = on_is_live,
		.user = control,
	};

	control->directory = sr_directory_new(&options);
}

static void create_upstream_parts(sr_control_t *control)
{
	const sr_settings_t *settings = control->options.settings;
	char *key =
		g_strdup_printf("lease/orders/%s", settings->failure_domain);
	sr_engine_poller_options_t poller = {
		.clock = control->options.clock,
		.dispatch = control->options.dispatch,
		.failure_domain = settings->failure_domain,
	};
	sr_engine_orders_options_t orders = {
		.clock = control->options.clock,
		.store = sr_platform_store(control->platform),
		.key = key,
		.owner = control->owner,
		.seed = control->options.seed + 5,
		.lease = ORDERS_LEASE_DURATION,
	};

	control->queries = sr_queries_new(control->options.upstream,
					  control->options.clock);
	poller.queries = control->queries;
	control->engine_poller = sr_engine_poller_new(&poller);
	orders.queries = control->queries;
	control->orders = sr_engine_orders_new(&orders);
	g_free(key);
}

sr_control_t *sr_control_new(const sr_control_options_t *options, char **detail)
{
	sr_control_t *control = g_new0(sr_control_t, 1);

	control->options = *options;
	control->started = sr_control_now(control);
	control->incarnation = sr_clock_wall_ns(options->clock) / 1000;
	control->owner =
		g_strdup_printf("%s.%" G_GUINT64_FORMAT,
				options->settings->node, control->incarnation);
	if (!create_peer(control, detail)) {
		g_free(control->owner);
		g_free(control);
		return NULL;
	}
	control->reported_absent =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	create_platform(control);
	create_gossip(control);
	create_sync(control);
	create_hosts(control);
	create_directory(control);
	create_upstream_parts(control);
	sr_control_create_admin(control);
	assign_roles(control);
	if (options->first_config_text)
		control->first_config_text =
			g_bytes_ref(options->first_config_text);
	control->next_first_config =
		sr_control_now(control) + FIRST_CONFIG_DELAY;
	on_tick(control);
	return control;
}

void sr_control_free(sr_control_t *control)
{
	if (!control)
		return;
	sr_timer_cancel(control->timer);
	sr_admin_free(control->admin);
	sr_queries_free(control->queries);
	sr_engine_orders_free(control->orders);
	sr_engine_poller_free(control->engine_poller);
	sr_directory_free(control->directory);
	sr_hosts_free(control->hosts);
	sr_config_sync_free(control->sync);
	sr_peer_free(control->peer);
	sr_gossip_free(control->gossip);
	sr_members_free(control->members);
	sr_platform_free(control->platform);
	sr_config_unref(control->config);
	g_clear_pointer(&control->first_config_text, g_bytes_unref);
	g_hash_table_destroy(control->reported_absent);
	g_free(control->owner);
	g_free(control);
}

sr_store_t *sr_control_store(sr_control_t *control)
{
	return sr_platform_store(control->platform);
}

sr_peer_t *sr_control_peer(sr_control_t *control)
{
	return control->peer;
}

sr_gossip_t *sr_control_gossip(sr_control_t *control)
{
	return control->gossip;
}

sr_members_t *sr_control_members(sr_control_t *control)
{
	return control->members;
}

const char *sr_control_owner(const sr_control_t *control)
{
	return control->owner;
}

void sr_control_drain(sr_control_t *control)
{
	control->draining = TRUE;
	assign_roles(control);
	sr_orders_release(sr_engine_orders_core(control->orders),
			  sr_control_now(control));
	sr_control_publish_status(control);
	sr_directory_leave(control->directory);
	sr_gossip_leave(control->gossip, sr_control_now(control));
}
