#include "fleet/fleet.h"

#include <math.h>
#include <string.h>

#include "fleet/fetch_codec.h"
#include "fleet/fleet_internal.h"
#include "fleet/registration_codec.h"

/** Interval of the gossip; all other intervals are checked at this rate. */
#define TICK (100 * SR_MSEC)

/** Interval at which this host publishes the demand of accounts. */
#define DEMAND_INTERVAL SR_SEC

/** Live hosts up to which demand is published. The shares of more hosts are so
 * small that nearly all requests take from the pools. */
#define DEMAND_HOSTS_MAX 24

/** Time after a start in which other hosts may not be known yet, and the number
 * of hosts that allowances are divided by until then if it is not known. */
#define SETTLE_TIME (1500 * SR_MSEC)
#define UNSETTLED_HOSTS 32

/** Interval at which usage counts and domain sizes are sent and the pools of
 * accounts are updated. */
#define SLOW_TICK SR_SEC

/** Intervals of the load exchange until hosts know each other's load: there are
 * three steps, each of which waits for half an interval on average. */
#define LOAD_DELAY_INTERVALS 1.5

/** Interval at which the evidence on versions is analysed. */
#define ROLLOUT_TICK (500 * SR_MSEC)

/** Time that the platform has to send a table that peers have announced before
 * it is fetched from a peer; also the pause after a peer that doesn't answer.
 */
#define FETCH_DELAY (300 * SR_MSEC)

/** Pause after a peer that hasn't the table either. What it sends then is
 * small, as both have the same one. */
#define FETCH_AGAIN_DELAY (100 * SR_MSEC)

/** Timeout of one fetch. */
#define FETCH_TIMEOUT (400 * SR_MSEC)

/** Time for which peers may have a newer table, or newer registrations, before
 * the platform is polled at once. Each poll carries a changed table as a whole,
 * so that it would delay what is on its way. */
#define BEHIND_MAX (1500 * SR_MSEC)

/** Upper limit of the gossip that a host sends, in bytes per second: enough for
 * what ten hosts publish once a second, each rumour sent about three times. */
#define GOSSIP_RATE (24 * 1024)

/** Low bits of a rumour's version, which number the rumours of one
 * incarnation; the incarnation is in the bits above. */
#define SEQUENCE_BITS 20

void sr_fleet_publish(sr_fleet_t *fleet, sr_rumour_kind_t kind, const char *key,
		      guint64 version, const char *text, sr_usec_t ttl)
{
	const sr_rumour_t rumour = {
		.kind = kind,
		.key = key,
		.version = version,
		.value = (const guint8 *)text,
		.size = strlen(text),
	};

	if (rumour.size > SR_RUMOUR_VALUE_MAX)
		fleet->n_large_rumours++;
	else
		sr_gossip_put(fleet->gossip, sr_fleet_now(fleet), &rumour, ttl);
}

void sr_fleet_publish_own(sr_fleet_t *fleet, sr_rumour_kind_t kind,
			  const char *key, const char *text, sr_usec_t ttl)
{
	guint64 version =
		(fleet->incarnation << SEQUENCE_BITS) + ++fleet->n_published;

	sr_fleet_publish(fleet, kind, key, version, text, ttl);
}

static void log_change(const sr_fleet_t *fleet, const char *event,
		       const char *what, guint64 version, const char *source)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, version);
	sr_log_event(fleet->options.log, SR_LOG_INFO, event, "what", what,
		     "version", text, "source", source, NULL);
}

guint64 sr_fleet_apply_table(sr_fleet_t *fleet, GBytes *text,
			     const char *source)
{
	sr_route_table_t *table;
	guint64 version;

	if (fleet->table_text && g_bytes_equal(text, fleet->table_text))
		return fleet->table_version;
	table = fleet->options.decode(text);
	if (!table) {
		sr_log_event(fleet->options.log, SR_LOG_ERROR,
			     "table-unreadable", "source", source, NULL);
		return 0;
	}
	version = table->version;
	if (sr_gateway_set_table(fleet->options.gateway, table)) {
		g_clear_pointer(&fleet->table_text, g_bytes_unref);
		fleet->table_text = g_bytes_ref(text);
		sr_fetches_keep_table(fleet, text);
		fleet->table_version = table->version;
		sr_fleet_publish(fleet, SR_RUMOUR_ROUTE_TABLE, "",
				 table->version, "", 0);
		log_change(fleet, "table-in-force", "table", table->version,
			   source);
		if (fleet->options.table_applied)
			fleet->options.table_applied(fleet->options.user);
	}
	sr_route_table_unref(table);
	return version;
}

void sr_fleet_set_table(sr_fleet_t *fleet, GBytes *text)
{
	if (fleet->table_version > 0 ||
	    !sr_start_table_hold(fleet->start_table, text))
		fleet->platform_table_version =
			sr_fleet_apply_table(fleet, text, "platform");
}

static void fetch_after(sr_fleet_t *fleet, sr_usec_t delay);

static void on_fetched(void *user, GBytes *value)
{
	sr_fleet_t *fleet = user;

	fleet->is_fetching = FALSE;
	if (value)
		sr_fleet_apply_table(fleet, value, "peer");
	if (fleet->table_version < fleet->peer_table_version)
		fetch_after(fleet, value ? FETCH_AGAIN_DELAY : FETCH_DELAY);
}

static void on_fetch_timer(void *user)
{
	sr_fleet_t *fleet = user;
	const char *address;

	fleet->fetch_timer = NULL;
	if (fleet->table_version >= fleet->peer_table_version ||
	    fleet->is_fetching)
		return;
	address = sr_members_pick_address(fleet->members);
	if (!address) {
		fetch_after(fleet, FETCH_DELAY);
		return;
	}
	fleet->is_fetching = TRUE;
	sr_fleet_fetch(fleet, address, SR_FLEET_TABLE_KEY, FETCH_TIMEOUT,
		       on_fetched, fleet);
}

static void fetch_after(sr_fleet_t *fleet, sr_usec_t delay)
{
	if (!fleet->fetch_timer && !fleet->is_fetching)
		fleet->fetch_timer = sr_timer_start(fleet->options.clock, delay,
						    on_fetch_timer, fleet);
}

static void receive_table_version(sr_fleet_t *fleet, const sr_rumour_t *rumour)
{
	fleet->peer_table_version =
		MAX(fleet->peer_table_version, rumour->version);
	if (fleet->table_version < fleet->peer_table_version)
		fetch_after(fleet, FETCH_DELAY);
}

static const char *change_event(sr_instance_change_t change, gboolean draining)
{
	switch (change) {
	case SR_INSTANCE_ADDED:
		return "instance-added";
	case SR_INSTANCE_RESTARTED:
		return "instance-restarted";
	case SR_INSTANCE_UPDATED:
		return draining ? "instance-leaving" : "instance-updated";
	case SR_INSTANCE_UNCHANGED:
		break;
	}
	return "instance-unchanged";
}

static gboolean apply_registration(sr_fleet_t *fleet,
				   const sr_registration_t *entry,
				   const char *source)
{
	sr_instances_t *instances =
		sr_gateway_instances(fleet->options.gateway);
	sr_instance_change_t change =
		sr_instances_register(instances, entry, sr_fleet_now(fleet));
	char revision[24];

	if (change == SR_INSTANCE_UNCHANGED)
		return FALSE;
	g_snprintf(revision, sizeof(revision), "%" G_GUINT64_FORMAT,
		   entry->revision);
	sr_log_event(fleet->options.log, SR_LOG_INFO,
		     change_event(change, entry->draining), "what", entry->name,
		     "service", entry->service, "software", entry->version,
		     "version", revision, "source", source, NULL);
	if (change != SR_INSTANCE_UPDATED) {
		sr_gateway_expect_notices(
			fleet->options.gateway,
			sr_instances_find(instances, entry->name));
		sr_notice_gossip_restore(fleet, entry->name);
	}
	sr_gateway_pace_registered(fleet->options.gateway, entry->name,
				   entry->cold_for);
	return TRUE;
}

static void apply_removal(sr_fleet_t *fleet, const char *name, guint64 revision,
			  const char *source)
{
	sr_gateway_evict_instance(fleet->options.gateway, name);
	if (sr_instances_remove(sr_gateway_instances(fleet->options.gateway),
				name, revision))
		log_change(fleet, "instance-gone", name, revision, source);
}

void sr_fleet_register_instance(sr_fleet_t *fleet,
				const sr_registration_t *entry)
{
	char *text = sr_registration_encode(entry);

	fleet->platform_revision =
		MAX(fleet->platform_revision, entry->revision);
	apply_registration(fleet, entry, "platform");
	if (text)
		sr_fleet_publish(fleet, SR_RUMOUR_INSTANCE, entry->name,
				 entry->revision * 2, text, 0);
	g_free(text);
}

void sr_fleet_remove_instance(sr_fleet_t *fleet, const char *name,
			      guint64 revision)
{
	fleet->platform_revision = MAX(fleet->platform_revision, revision);
	apply_removal(fleet, name, revision, "platform");
	sr_fleet_publish(fleet, SR_RUMOUR_INSTANCE, name, revision * 2 + 1, "",
			 0);
}

static void receive_instance(sr_fleet_t *fleet, const sr_rumour_t *rumour)
{
	guint64 revision = rumour->version / 2;
	sr_registration_t entry = { .name = rumour->key, .revision = revision };
	char **fields;

	fleet->peer_revision = MAX(fleet->peer_revision, revision);
	if (rumour->version % 2) { /* a removal, see SR_RUMOUR_INSTANCE */
		apply_removal(fleet, rumour->key, revision, "peer");
		return;
	}
	if (sr_registration_decode(rumour->value, rumour->size, &entry,
				   &fields))
		apply_registration(fleet, &entry, "peer");
	g_strfreev(fields);
}

static void receive_duty_holder(sr_fleet_t *fleet, const sr_rumour_t *rumour)
{
	if (strcmp(rumour->key, SR_FLEET_DUTIES_KEY) || rumour->size == 0 ||
	    memchr(rumour->value, 0, rumour->size))
		return;
	g_free(fleet->duty_holder);
	fleet->duty_holder =
		g_strndup((const char *)rumour->value, rumour->size);
}

static void on_rumour(void *user, const sr_rumour_t *rumour)
{
	sr_fleet_t *fleet = user;

	switch (rumour->kind) {
	case SR_RUMOUR_ROUTE_TABLE:
		receive_table_version(fleet, rumour);
		break;
	case SR_RUMOUR_INSTANCE:
		receive_instance(fleet, rumour);
		break;
	case SR_RUMOUR_DEMAND:
		if (strcmp(rumour->key, fleet->options.node))
			sr_demand_gossip_receive(fleet, rumour);
		break;
	case SR_RUMOUR_SHARD_OWNER:
		receive_duty_holder(fleet, rumour);
		break;
	case SR_RUMOUR_EVIDENCE:
		sr_crash_gossip_receive_report(fleet, rumour);
		break;
	case SR_RUMOUR_RECALL:
		sr_crash_gossip_receive_state(fleet, rumour);
		break;
	case SR_RUMOUR_STATUS:
		sr_evacuation_gossip_receive(fleet, rumour);
		break;
	case SR_RUMOUR_HOST_STATE:
		sr_notice_gossip_receive(fleet, rumour);
		break;
	case SR_RUMOUR_ROLLOUT:
		sr_rollouts_receive(fleet->rollouts, rumour->key,
				    rumour->version, rumour->value,
				    rumour->size);
		break;
	default: /* kinds of src/daemon, and SR_RUMOUR_DOMAIN_SIZE, which
		  * domain_sizes.c reads by sr_gossip_foreach_rumour() */
		break;
	}
}

gboolean sr_fleet_is_settled(const sr_fleet_t *fleet)
{
	return sr_fleet_now(fleet) - fleet->started_at >= SETTLE_TIME;
}

unsigned sr_fleet_sharing_hosts(const sr_fleet_t *fleet)
{
	unsigned n = sr_fleet_host_count(fleet);

	if (!sr_fleet_is_settled(fleet))
		return MAX(n, fleet->expected_hosts > 0 ?
				      fleet->expected_hosts :
				      UNSETTLED_HOSTS);
	return n;
}

unsigned sr_fleet_recent_hosts(const sr_fleet_t *fleet)
{
	return MAX((unsigned)ceil(fleet->recent_max_hosts),
		   sr_fleet_host_count(fleet));
}

void sr_fleet_expect_hosts(sr_fleet_t *fleet, unsigned n)
{
	fleet->expected_hosts = n;
	fleet->recent_max_hosts = MAX(fleet->recent_max_hosts, n);
	sr_gateway_set_host_count(fleet->options.gateway,
				  sr_fleet_sharing_hosts(fleet));
}

/* The host of one address with the port of another. */
static char *with_port_of(const char *address, const char *other)
{
	const char *colon = strrchr(address, ':');
	const char *port = strrchr(other, ':');

	return colon && port ? g_strdup_printf("%.*s%s", (int)(colon - address),
					       address, port) :
			       NULL;
}

static void update_relay_host(sr_fleet_t *fleet, const sr_member_t *member)
{
	char *address;

	if (!fleet->options.relay_address ||
	    !strcmp(member->name, fleet->options.node))
		return;
	address = with_port_of(member->address, fleet->options.relay_address);
	if (address && member->state == SR_MEMBER_ALIVE)
		sr_gateway_add_relay_host(fleet->options.gateway, member->name,
					  member->failure_domain, address);
	else
		sr_gateway_remove_relay_host(fleet->options.gateway,
					     member->name);
	g_free(address);
}

static void on_member_changed(void *user, const sr_member_t *member)
{
	static const char *const states[] = { "alive", "suspect", "left",
					      "dead" };
	sr_fleet_t *fleet = user;

	sr_log_event(fleet->options.log, SR_LOG_INFO, "peer-changed", "peer",
		     member->name, "state", states[member->state], "address",
		     member->address, NULL);
	if (member->state == SR_MEMBER_LEFT)
		sr_allowance_remove_host(
			sr_gateway_allowance(fleet->options.gateway),
			member->name);
	sr_members_update(fleet->members, member);
	update_relay_host(fleet, member);
	sr_gateway_set_host_count(fleet->options.gateway,
				  sr_fleet_sharing_hosts(fleet));
}

/* Of another failure domain only the delegates and the latest dead members are
 * kept. */
static void on_member_removed(void *user, const char *name)
{
	sr_fleet_t *fleet = user;

	sr_log_event(fleet->options.log, SR_LOG_INFO, "peer-changed", "peer",
		     name, "state", "not held", NULL);
	sr_members_remove(fleet->members, name);
	sr_gateway_remove_relay_host(fleet->options.gateway, name);
}

static void on_datagram(void *user, const guint8 *data, gsize size)
{
	sr_fleet_t *fleet = user;

	if (sr_store_notice_receive(fleet, data, size) ||
	    sr_usage_exchange_receive(fleet, data, size) ||
	    sr_pool_requests_receive(fleet, data, size) ||
	    sr_load_exchange_receive(fleet->load_exchange, sr_fleet_now(fleet),
				     data, size))
		return;
	sr_gossip_receive(fleet->gossip, sr_fleet_now(fleet), data, size);
}

/* Requests are forwarded to the owner of a journal shard; a host without a
 * journal owns none and refuses them. */
static void on_forward(void *user, sr_peer_request_t *request,
		       const sr_forward_t *forward)
{
	const sr_forward_result_t result = {
		.err = SR_ERR_NOT_FOUND,
		.executed = SR_FORWARD_NOT_RUN,
	};

	(void)user;
	(void)forward;
	sr_peer_answer(request, &result);
}

static GBytes *find_value(sr_fleet_t *fleet, const char *key)
{
	GBytes *version = sr_start_table_answer(fleet, key);

	if (version)
		return version;
	if (strcmp(key, SR_FLEET_TABLE_KEY) != 0)
		return fleet->options.fetch(fleet->options.user, key);
	return fleet->table_text ? g_bytes_ref(fleet->table_text) : NULL;
}

static GBytes *on_fetch(void *user, const char *text)
{
	sr_fleet_t *fleet = user;
	const char *key = text;
	guint64 base_id;
	gboolean encodes = sr_fetch_codec_parse_key(text, &base_id, &key);
	GBytes *value = find_value(fleet, key);
	GBytes *answer =
		encodes ? sr_fetches_encode(fleet, value, base_id) : value;

	if (value &&
	    (g_bytes_get_size(answer) > SR_PEER_VALUE_MAX ||
	     (encodes && g_bytes_get_size(value) > SR_FETCH_VALUE_MAX)))
		fleet->n_large_values++;
	if (encodes)
		g_clear_pointer(&value, g_bytes_unref);
	return answer;
}

static void on_send(void *user, const char *address, const guint8 *data,
		    gsize size)
{
	sr_peer_send_datagram(((sr_fleet_t *)user)->peer, address, data, size);
}

/* Requests a poll of the platform if peers have had a newer table, or newer
 * registrations, than it has sent to this host for longer than BEHIND_MAX. */
static void check_behind(sr_fleet_t *fleet, sr_usec_t now)
{
	if (fleet->platform_revision >= fleet->peer_revision &&
	    fleet->platform_table_version >= fleet->peer_table_version) {
		fleet->behind_since = 0;
	} else if (fleet->behind_since == 0) {
		fleet->behind_since = now;
	} else if (now - fleet->behind_since > BEHIND_MAX) {
		fleet->behind_since = 0;
		fleet->platform_revision =
			MAX(fleet->platform_revision, fleet->peer_revision);
		fleet->platform_table_version =
			MAX(fleet->platform_table_version,
			    fleet->peer_table_version);
		fleet->options.behind(fleet->options.user);
	}
}

static void on_tick(void *user)
{
	sr_fleet_t *fleet = user;
	sr_usec_t now = sr_fleet_now(fleet);

	fleet->timer =
		sr_timer_start(fleet->options.clock, TICK, on_tick, fleet);
	if (now >= fleet->next_demand_at) {
		fleet->next_demand_at = now + DEMAND_INTERVAL;
		if (sr_fleet_host_count(fleet) <= DEMAND_HOSTS_MAX)
			sr_demand_gossip_publish(fleet);
	}
	if (now >= fleet->next_load_at && !sr_load_report_is_sending(fleet)) {
		fleet->next_load_at =
			now + sr_load_exchange_interval(fleet->load_exchange);
		sr_load_report_tick(fleet);
	}
	if (now >= fleet->next_slow_tick_at) {
		fleet->next_slow_tick_at = now + SLOW_TICK;
		sr_domain_sizes_tick(fleet);
		sr_gateway_set_host_count(fleet->options.gateway,
					  sr_fleet_sharing_hosts(fleet));
		sr_gateway_set_load_delay(
			fleet->options.gateway,
			(sr_usec_t)(LOAD_DELAY_INTERVALS *
				    (double)sr_load_exchange_interval(
					    fleet->load_exchange)));
		sr_usage_exchange_send(fleet);
		sr_notice_gossip_tick(fleet);
		sr_pace_tick(fleet);
		sr_fleet_drops_tick(fleet);
		sr_pool_requests_tick(fleet);
	}
	if (now >= fleet->next_rollout_tick_at) {
		fleet->next_rollout_tick_at = now + ROLLOUT_TICK;
		sr_rollouts_tick(fleet->rollouts);
	}
	sr_gossip_tick(fleet->gossip, now);
	check_behind(fleet, now);
}

static gboolean create_peer(sr_fleet_t *fleet, char **problem)
{
	const sr_fleet_options_t *options = &fleet->options;
	const sr_peer_options_t peer = {
		.clock = options->clock,
		.address = options->peer_address,
		.cluster = options->cluster,
		.secret = options->secret,
		.secret_size = options->secret_size,
		.node = options->node,
		.incarnation = fleet->incarnation,
		.datagram = on_datagram,
		.forward = on_forward,
		.fetch = on_fetch,
		.user = fleet,
	};

	fleet->peer = sr_peer_new(&peer, problem);
	return fleet->peer != NULL;
}

void sr_fleet_add_seed(sr_fleet_t *fleet, const char *address)
{
	if (strcmp(address, fleet->options.peer_address) != 0)
		sr_gossip_add_seed(fleet->gossip, address);
}

static void create_gossip(sr_fleet_t *fleet)
{
	const sr_fleet_options_t *options = &fleet->options;
	const sr_gossip_options_t gossip = {
		.name = options->node,
		.failure_domain = options->failure_domain,
		.address = options->peer_address,
		.incarnation = fleet->incarnation,
		.seed = options->seed + 1,
		.bytes_per_s = GOSSIP_RATE,
		.send = on_send,
		.rumour_changed = on_rumour,
		.member_changed = on_member_changed,
		.member_removed = on_member_removed,
		.user = fleet,
	};
	const sr_members_options_t members = {
		.node = options->node,
		.failure_domain = options->failure_domain,
		.address = options->peer_address,
		.seed = options->seed + 2,
	};

	fleet->members = sr_members_new(&members);
	fleet->gossip = sr_gossip_new(&gossip, sr_fleet_now(fleet));
	for (guint i = 0; i < options->seeds->len; i++)
		sr_fleet_add_seed(fleet, options->seeds->pdata[i]);
}

static unsigned count_hosts(void *user)
{
	return sr_fleet_sharing_hosts(user);
}

static const sr_load_sum_t *load_total(void *user, gboolean *is_known)
{
	return sr_load_report_total(user, is_known);
}

static void publish_rollout(void *user, const char *key, guint64 version,
			    const char *value)
{
	sr_fleet_publish(user, SR_RUMOUR_ROLLOUT, key, version, value, 0);
}

static void write_rollout_status(void *user, const sr_rollout_order_t *order)
{
	const sr_fleet_t *fleet = user;

	fleet->options.write_rollout_status(fleet->options.user, order);
}

static void create_rollouts(sr_fleet_t *fleet)
{
	const sr_rollouts_options_t options = {
		.node = fleet->options.node,
		.exposure = fleet->options.exposure,
		.clock = fleet->options.clock,
		.log = fleet->options.log,
		.gateway = fleet->options.gateway,
		.seed = fleet->options.seed + 7,
		.host_count = count_hosts,
		.load_total = load_total,
		.publish = publish_rollout,
		.write_status = write_rollout_status,
		.user = fleet,
	};

	fleet->rollouts = sr_rollouts_new(&options);
}

sr_fleet_t *sr_fleet_new(const sr_fleet_options_t *options, char **problem)
{
	sr_fleet_t *fleet = g_new0(sr_fleet_t, 1);

	fleet->options = *options;
	fleet->started_at = sr_clock_now(options->clock);
	fleet->incarnation = (guint64)sr_clock_unix_ms(options->clock);
	fleet->owner_id = g_strdup_printf("%s@%" G_GUINT64_FORMAT,
					  options->node, fleet->incarnation);
	if (!create_peer(fleet, problem)) {
		g_free(fleet->owner_id);
		g_free(fleet);
		return NULL;
	}
	sr_fetches_init(fleet);
	sr_usage_exchange_init(fleet);
	sr_pool_requests_init(fleet);
	create_gossip(fleet);
	sr_fleet_drops_init(fleet);
	create_rollouts(fleet);
	sr_load_report_init(fleet);
	fleet->start_table = sr_start_table_new(fleet);
	on_tick(fleet);
	return fleet;
}

void sr_fleet_free(sr_fleet_t *fleet)
{
	if (!fleet)
		return;
	sr_timer_cancel(fleet->timer);
	sr_timer_cancel(fleet->fetch_timer);
	sr_pool_requests_clear(fleet);
	sr_start_table_free(fleet->start_table);
	sr_fetches_clear(fleet);
	sr_peer_free(fleet->peer);
	sr_gossip_free(fleet->gossip);
	sr_load_report_clear(fleet);
	sr_members_free(fleet->members);
	sr_usage_exchange_clear(fleet);
	sr_rollouts_free(fleet->rollouts);
	g_clear_pointer(&fleet->table_text, g_bytes_unref);
	g_free(fleet->duty_holder);
	g_free(fleet->owner_id);
	g_free(fleet);
}

void sr_fleet_count_request(sr_fleet_t *fleet, const char *account)
{
	if (fleet->usage)
		sr_usage_windows_count(fleet->usage,
				       sr_clock_unix_ms(fleet->options.clock),
				       account);
}

sr_usage_windows_t *sr_fleet_usage(const sr_fleet_t *fleet)
{
	return fleet->domain_usage;
}

sr_rollouts_t *sr_fleet_rollouts(const sr_fleet_t *fleet)
{
	return fleet->rollouts;
}

const char *sr_fleet_owner_id(const sr_fleet_t *fleet)
{
	return fleet->owner_id;
}

unsigned sr_fleet_host_count(const sr_fleet_t *fleet)
{
	return sr_members_count(fleet->members);
}

unsigned sr_fleet_domain_hosts(const sr_fleet_t *fleet)
{
	return sr_members_count_own_domain(fleet->members);
}

unsigned sr_fleet_domain_rank(const sr_fleet_t *fleet)
{
	return sr_members_domain_rank(fleet->members);
}

unsigned sr_fleet_rank(const sr_fleet_t *fleet, const char *key)
{
	return sr_members_rank(fleet->members, key);
}

void sr_fleet_announce_duty_holder(sr_fleet_t *fleet, guint64 epoch)
{
	g_free(fleet->duty_holder);
	fleet->duty_holder = g_strdup(fleet->options.peer_address);
	sr_fleet_publish(fleet, SR_RUMOUR_SHARD_OWNER, SR_FLEET_DUTIES_KEY,
			 epoch, fleet->options.peer_address, 0);
}

void sr_fleet_announce_report(sr_fleet_t *fleet, guint64 window)
{
	sr_fleet_publish(fleet, SR_RUMOUR_REPORTED, "", window + 1, "", 0);
}

guint64 sr_fleet_reported_windows(const sr_fleet_t *fleet)
{
	sr_rumour_t rumour;

	return sr_gossip_get(fleet->gossip, SR_RUMOUR_REPORTED, "", &rumour) ?
		       rumour.version :
		       0;
}

void sr_fleet_leave(sr_fleet_t *fleet)
{
	fleet->is_leaving = TRUE;
	sr_usage_exchange_send(fleet);
	sr_gossip_leave(fleet->gossip, sr_fleet_now(fleet));
}
