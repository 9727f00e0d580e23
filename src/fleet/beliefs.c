#include "fleet/beliefs.h"

#include <string.h>

#include "fleet/beliefs_internal.h"
#include "fleet/registration_codec.h"

/** Period of the gossip and of what depends on it. */
#define TICK (100 * SR_MSEC)

/** Periods of what this host tells of itself; of its work at instances, which
 * ages fastest, more often. Both grow with the live hosts, so that what a
 * host hears of all others stays about the same. */
#define TELL_PERIOD SR_SEC
#define LOAD_PERIOD (250 * SR_MSEC)
#define PERIOD_PER_HOST (11 * SR_MSEC)

/** Period in which the counts of usage are sent. */
#define USAGE_PERIOD SR_SEC

/** Time that the platform has to tell a newer table before it is asked for
 * at a peer, and between two such questions. */
#define FETCH_DELAY (300 * SR_MSEC)
#define FETCH_TIMEOUT (400 * SR_MSEC)

/** Peers may know more for this long before the platform's word is missed. */
#define BEHIND_MAX (1500 * SR_MSEC)

/** Bytes that a host sends for gossip per second at most: what ten hosts tell
 * of themselves once a second, passed on by each some three times. */
#define GOSSIP_RATE (24 * 1024)

/** Name under which peers give out their newest table. */
#define TABLE_KEY "table"

/** Bits of a version that count what one incarnation told. */
#define TOLD_BITS 20

static void put(sr_beliefs_t *beliefs, sr_rumour_kind_t kind, const char *key,
		guint64 version, const char *text, sr_usec_t ttl)
{
	const sr_rumour_t rumour = {
		.kind = kind,
		.key = key,
		.version = version,
		.value = (const guint8 *)text,
		.size = strlen(text),
	};

	if (rumour.size <= SR_RUMOUR_VALUE_MAX)
		sr_gossip_put(beliefs->gossip, sr_beliefs_now(beliefs), &rumour,
			      ttl);
}

void sr_beliefs_put_own(sr_beliefs_t *beliefs, sr_rumour_kind_t kind,
			const char *key, const char *text, sr_usec_t ttl)
{
	guint64 version =
		(beliefs->incarnation << TOLD_BITS) + ++beliefs->n_told;

	put(beliefs, kind, key, version, text, ttl);
}

static void log_belief(const sr_beliefs_t *beliefs, const char *event,
		       const char *what, guint64 version, const char *source)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, version);
	sr_log_event(beliefs->options.log, SR_LOG_INFO, event, "what", what,
		     "version", text, "source", source, NULL);
}

/* Puts a table in force if it is newer than what is. */
static void adopt_table(sr_beliefs_t *beliefs, GBytes *text, const char *source)
{
	sr_route_table_t *table = beliefs->options.decode(text);

	if (!table) {
		sr_log_event(beliefs->options.log, SR_LOG_ERROR,
			     "table-unreadable", "source", source, NULL);
		return;
	}
	if (sr_gateway_set_table(beliefs->options.gateway, table)) {
		g_clear_pointer(&beliefs->text, g_bytes_unref);
		beliefs->text = g_bytes_ref(text);
		beliefs->version = table->version;
		put(beliefs, SR_RUMOUR_ROUTE_TABLE, "", table->version, "", 0);
		log_belief(beliefs, "table-in-force", "table", table->version,
			   source);
	}
	sr_route_table_unref(table);
}

void sr_beliefs_table(sr_beliefs_t *beliefs, GBytes *text)
{
	adopt_table(beliefs, text, "platform");
}

static void fetch_after(sr_beliefs_t *beliefs, sr_usec_t delay);

static void on_fetched(void *user, GBytes *value)
{
	sr_beliefs_t *beliefs = user;

	beliefs->fetching = FALSE;
	if (value)
		adopt_table(beliefs, value, "peer");
	if (beliefs->version < beliefs->heard_version)
		fetch_after(beliefs, FETCH_DELAY);
}

static void on_fetch_timer(void *user)
{
	sr_beliefs_t *beliefs = user;
	const char *address;

	beliefs->fetch_timer = NULL;
	if (beliefs->version >= beliefs->heard_version || beliefs->fetching)
		return;
	beliefs->options.behind(beliefs->options.user);
	address = sr_members_pick(beliefs->members);
	if (!address) {
		fetch_after(beliefs, FETCH_DELAY);
		return;
	}
	beliefs->fetching = TRUE;
	sr_peer_fetch(beliefs->peer, address, TABLE_KEY, FETCH_TIMEOUT,
		      on_fetched, beliefs);
}

static void fetch_after(sr_beliefs_t *beliefs, sr_usec_t delay)
{
	if (!beliefs->fetch_timer && !beliefs->fetching)
		beliefs->fetch_timer = sr_timer_start(
			beliefs->options.clock, delay, on_fetch_timer, beliefs);
}

static void heard_table(sr_beliefs_t *beliefs, const sr_rumour_t *rumour)
{
	beliefs->heard_version = MAX(beliefs->heard_version, rumour->version);
	if (beliefs->version < beliefs->heard_version)
		fetch_after(beliefs, FETCH_DELAY);
}

static const char *change_name(sr_instance_change_t change, gboolean draining)
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

static gboolean take_entry(sr_beliefs_t *beliefs,
			   const sr_registration_t *entry, const char *source)
{
	sr_instances_t *instances =
		sr_gateway_instances(beliefs->options.gateway);
	sr_instance_change_t change = sr_instances_register(
		instances, entry, sr_beliefs_now(beliefs));

	if (change == SR_INSTANCE_UNCHANGED)
		return FALSE;
	log_belief(beliefs, change_name(change, entry->draining), entry->name,
		   entry->revision, source);
	return TRUE;
}

static void take_removal(sr_beliefs_t *beliefs, const char *name,
			 guint64 revision, const char *source)
{
	sr_gateway_instance_ended(beliefs->options.gateway, name);
	if (sr_instances_remove(sr_gateway_instances(beliefs->options.gateway),
				name, revision))
		log_belief(beliefs, "instance-gone", name, revision, source);
}

void sr_beliefs_entry(sr_beliefs_t *beliefs, const sr_registration_t *entry)
{
	char *text = sr_registration_encode(entry);

	beliefs->own_revision = MAX(beliefs->own_revision, entry->revision);
	take_entry(beliefs, entry, "platform");
	if (text)
		put(beliefs, SR_RUMOUR_INSTANCE, entry->name,
		    entry->revision * 2, text, 0);
	g_free(text);
}

void sr_beliefs_entry_removed(sr_beliefs_t *beliefs, const char *name,
			      guint64 revision)
{
	beliefs->own_revision = MAX(beliefs->own_revision, revision);
	take_removal(beliefs, name, revision, "platform");
	put(beliefs, SR_RUMOUR_INSTANCE, name, revision * 2 + 1, "", 0);
}

static void heard_instance(sr_beliefs_t *beliefs, const sr_rumour_t *rumour)
{
	guint64 revision = rumour->version / 2;
	sr_registration_t entry = { .name = rumour->key, .revision = revision };
	char **fields;

	beliefs->heard_revision = MAX(beliefs->heard_revision, revision);
	if (rumour->version % 2) {
		take_removal(beliefs, rumour->key, revision, "peer");
		return;
	}
	if (sr_registration_decode(rumour->value, rumour->size, &entry,
				   &fields))
		take_entry(beliefs, &entry, "peer");
	g_strfreev(fields);
}

static void heard_holder(sr_beliefs_t *beliefs, const sr_rumour_t *rumour)
{
	if (strcmp(rumour->key, SR_BELIEFS_DUTIES) || rumour->size == 0 ||
	    memchr(rumour->value, 0, rumour->size))
		return;
	g_free(beliefs->holder);
	beliefs->holder = g_strndup((const char *)rumour->value, rumour->size);
}

static void on_heard(void *user, const sr_rumour_t *rumour)
{
	sr_beliefs_t *beliefs = user;

	switch (rumour->kind) {
	case SR_RUMOUR_ROUTE_TABLE:
		heard_table(beliefs, rumour);
		break;
	case SR_RUMOUR_INSTANCE:
		heard_instance(beliefs, rumour);
		break;
	case SR_RUMOUR_DEMAND:
		if (strcmp(rumour->key, beliefs->options.node))
			sr_tellings_heard_demand(beliefs, rumour);
		break;
	case SR_RUMOUR_LOAD:
		if (strcmp(rumour->key, beliefs->options.node))
			sr_tellings_heard_load(beliefs, rumour);
		break;
	case SR_RUMOUR_SHARD_OWNER:
		heard_holder(beliefs, rumour);
		break;
	default: /* of the daemon with its own configuration */
		break;
	}
}

static void on_member_changed(void *user, const sr_member_t *member)
{
	static const char *const states[] = { "alive", "suspect", "left",
					      "dead" };
	sr_beliefs_t *beliefs = user;

	sr_log_event(beliefs->options.log, SR_LOG_INFO, "peer-changed", "peer",
		     member->name, "state", states[member->state], "address",
		     member->address, NULL);
	if (member->state == SR_MEMBER_LEFT)
		sr_allowance_remove_host(
			sr_gateway_allowance(beliefs->options.gateway),
			member->name);
	sr_members_update(beliefs->members, member);
	sr_gateway_set_hosts(beliefs->options.gateway,
			     sr_beliefs_hosts(beliefs));
}

static void on_member_forgotten(void *user, const char *name)
{
	sr_beliefs_t *beliefs = user;

	sr_log_event(beliefs->options.log, SR_LOG_INFO, "peer-changed", "peer",
		     name, "state", "not held", NULL);
	sr_members_forget(beliefs->members, name);
}

static void on_datagram(void *user, const guint8 *data, gsize size)
{
	sr_beliefs_t *beliefs = user;

	if (sr_usage_tellings_receive(beliefs, data, size) ||
	    sr_pool_asks_receive(beliefs, data, size))
		return;
	sr_gossip_receive(beliefs->gossip, sr_beliefs_now(beliefs), data, size);
}

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

static GBytes *on_fetch(void *user, const char *key)
{
	sr_beliefs_t *beliefs = user;

	if (strcmp(key, TABLE_KEY) || !beliefs->text)
		return NULL;
	return g_bytes_ref(beliefs->text);
}

static void on_send(void *user, const char *address, const guint8 *data,
		    gsize size)
{
	sr_peer_send(((sr_beliefs_t *)user)->peer, address, data, size);
}

/* A platform that stays silent while peers learn from it needs a push. */
static void check_behind(sr_beliefs_t *beliefs, sr_usec_t now)
{
	if (beliefs->own_revision >= beliefs->heard_revision) {
		beliefs->behind_since = 0;
	} else if (beliefs->behind_since == 0) {
		beliefs->behind_since = now;
	} else if (now - beliefs->behind_since > BEHIND_MAX) {
		beliefs->behind_since = 0;
		beliefs->own_revision = beliefs->heard_revision;
		beliefs->options.behind(beliefs->options.user);
	}
}

static void on_tick(void *user)
{
	sr_beliefs_t *beliefs = user;
	sr_usec_t now = sr_beliefs_now(beliefs);
	sr_usec_t spacing = sr_beliefs_hosts(beliefs) * PERIOD_PER_HOST;

	beliefs->timer =
		sr_timer_start(beliefs->options.clock, TICK, on_tick, beliefs);
	if (now >= beliefs->next_tell) {
		beliefs->next_tell = now + MAX(TELL_PERIOD, spacing);
		sr_tellings_tell(beliefs);
	}
	if (now >= beliefs->next_load) {
		beliefs->next_load = now + MAX(LOAD_PERIOD, spacing);
		sr_tellings_tell_load(beliefs);
		sr_tellings_apply(beliefs);
	}
	if (now >= beliefs->next_usage) {
		beliefs->next_usage = now + USAGE_PERIOD;
		sr_domain_sizes_tick(beliefs);
		sr_gateway_set_hosts(beliefs->options.gateway,
				     sr_beliefs_hosts(beliefs));
		sr_usage_tellings_send(beliefs);
		sr_pool_asks_tick(beliefs);
	}
	sr_gossip_tick(beliefs->gossip, now);
	check_behind(beliefs, now);
}

static gboolean create_peer(sr_beliefs_t *beliefs, char **problem)
{
	const sr_beliefs_options_t *options = &beliefs->options;
	const sr_peer_options_t peer = {
		.clock = options->clock,
		.address = options->peer_address,
		.cluster = options->cluster,
		.secret = options->secret,
		.secret_size = options->secret_size,
		.node = options->node,
		.incarnation = beliefs->incarnation,
		.datagram = on_datagram,
		.forward = on_forward,
		.fetch = on_fetch,
		.user = beliefs,
	};

	beliefs->peer = sr_peer_new(&peer, problem);
	return beliefs->peer != NULL;
}

void sr_beliefs_seed(sr_beliefs_t *beliefs, const char *address)
{
	if (strcmp(address, beliefs->options.peer_address) != 0)
		sr_gossip_add_seed(beliefs->gossip, address);
}

static void create_gossip(sr_beliefs_t *beliefs)
{
	const sr_beliefs_options_t *options = &beliefs->options;
	const sr_gossip_options_t gossip = {
		.name = options->node,
		.failure_domain = options->failure_domain,
		.address = options->peer_address,
		.incarnation = beliefs->incarnation,
		.seed = options->seed + 1,
		.bytes_per_s = GOSSIP_RATE,
		.send = on_send,
		.rumour_changed = on_heard,
		.member_changed = on_member_changed,
		.member_removed = on_member_forgotten,
		.user = beliefs,
	};
	const sr_members_options_t members = {
		.node = options->node,
		.failure_domain = options->failure_domain,
		.address = options->peer_address,
		.seed = options->seed + 2,
	};

	beliefs->members = sr_members_new(&members);
	beliefs->gossip = sr_gossip_new(&gossip, sr_beliefs_now(beliefs));
	for (guint i = 0; i < options->seeds->len; i++)
		sr_beliefs_seed(beliefs, options->seeds->pdata[i]);
}

sr_beliefs_t *sr_beliefs_new(const sr_beliefs_options_t *options,
			     char **problem)
{
	sr_beliefs_t *beliefs = g_new0(sr_beliefs_t, 1);

	beliefs->options = *options;
	beliefs->incarnation = (guint64)sr_clock_unix_ms(options->clock);
	beliefs->owner = g_strdup_printf("%s@%" G_GUINT64_FORMAT, options->node,
					 beliefs->incarnation);
	if (!create_peer(beliefs, problem)) {
		g_free(beliefs->owner);
		g_free(beliefs);
		return NULL;
	}
	sr_tellings_init(beliefs);
	sr_pool_asks_init(beliefs);
	create_gossip(beliefs);
	on_tick(beliefs);
	return beliefs;
}

void sr_beliefs_free(sr_beliefs_t *beliefs)
{
	if (!beliefs)
		return;
	sr_timer_cancel(beliefs->timer);
	sr_timer_cancel(beliefs->fetch_timer);
	sr_pool_asks_clear(beliefs);
	sr_peer_free(beliefs->peer);
	sr_gossip_free(beliefs->gossip);
	sr_members_free(beliefs->members);
	sr_tellings_clear(beliefs);
	g_clear_pointer(&beliefs->text, g_bytes_unref);
	g_free(beliefs->holder);
	g_free(beliefs->owner);
	g_free(beliefs);
}

void sr_beliefs_began(sr_beliefs_t *beliefs, const char *account)
{
	if (beliefs->usage)
		sr_usage_windows_count(beliefs->usage,
				       sr_clock_unix_ms(beliefs->options.clock),
				       account);
}

sr_usage_windows_t *sr_beliefs_usage(const sr_beliefs_t *beliefs)
{
	return beliefs->usage;
}

const char *sr_beliefs_owner_name(const sr_beliefs_t *beliefs)
{
	return beliefs->owner;
}

unsigned sr_beliefs_hosts(const sr_beliefs_t *beliefs)
{
	return sr_members_count(beliefs->members);
}

unsigned sr_beliefs_rank(const sr_beliefs_t *beliefs, const char *thing)
{
	return sr_members_rank(beliefs->members, thing);
}

void sr_beliefs_announce_holder(sr_beliefs_t *beliefs, guint64 epoch)
{
	g_free(beliefs->holder);
	beliefs->holder = g_strdup(beliefs->options.peer_address);
	put(beliefs, SR_RUMOUR_SHARD_OWNER, SR_BELIEFS_DUTIES, epoch,
	    beliefs->options.peer_address, 0);
}

void sr_beliefs_leave(sr_beliefs_t *beliefs)
{
	sr_usage_tellings_send(beliefs);
	sr_gossip_leave(beliefs->gossip, sr_beliefs_now(beliefs));
}
