#include <string.h>

#include "daemon/parts.h"

#define TICK (50 * SR_MSEC)
#define TELL_INTERVAL SR_SEC
#define USAGE_TTL (5 * SR_SEC)
#define SEPARATOR '/'

typedef struct {
	sr_daemon_t *daemon;
	const char *address; /* borrowed from the gossip */
	unsigned n_seen;
} pick_t;

static sr_usec_t now_of(const sr_daemon_t *daemon)
{
	return sr_clock_now(daemon->clock);
}

void sr_membership_tell(sr_daemon_t *daemon, sr_rumour_kind_t kind,
			const char *key, const char *text, sr_usec_t ttl)
{
	const sr_rumour_t rumour = {
		.kind = kind,
		.key = key,
		/* Grows also over a restart of this process. */
		.version = sr_clock_wall_ns(daemon->clock) / 1000,
		.value = (const guint8 *)text,
		.size = strlen(text),
	};

	if (daemon->gossip)
		sr_gossip_put(daemon->gossip, now_of(daemon), &rumour, ttl);
}

static void look_at_member(void *user, const sr_member_t *member)
{
	pick_t *pick = user;
	GRand *rand = pick->daemon->rand;

	if (member->state != SR_MEMBER_ALIVE ||
	    !strcmp(member->name, pick->daemon->settings->node))
		return;
	pick->n_seen++;
	if (g_rand_int_range(rand, 0, (gint32)pick->n_seen) == 0)
		pick->address = member->address;
}

const char *sr_membership_pick(sr_daemon_t *daemon)
{
	pick_t pick = { .daemon = daemon };

	if (daemon->gossip)
		sr_gossip_foreach_member(daemon->gossip, look_at_member, &pick);
	return pick.address;
}

static void hear_usage(sr_daemon_t *daemon, const sr_rumour_t *rumour,
		       const char *text)
{
	const char *scope = strchr(rumour->key, SEPARATOR);
	guint64 in_flight = 0;
	char *node;

	if (!scope || !g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT,
						  &in_flight, NULL))
		return;
	node = g_strndup(rumour->key, (gsize)(scope - rumour->key));
	if (strcmp(node, daemon->settings->node) != 0)
		sr_dispatch_set_usage(daemon->dispatch, scope + 1, node,
				      (unsigned)in_flight, now_of(daemon));
	g_free(node);
}

static void hear_recall(sr_daemon_t *daemon, const sr_rumour_t *rumour,
			const char *reason)
{
	const char *version = strchr(rumour->key, SEPARATOR);
	char *service;

	if (!version)
		return;
	service = g_strndup(rumour->key, (gsize)(version - rumour->key));
	sr_dispatch_recall(daemon->dispatch, service, version + 1);
	sr_log_event(daemon->log, SR_LOG_WARN, "recalled", "version",
		     rumour->key, "reason", reason, NULL);
	g_free(service);
}

static void on_heard(void *user, const sr_rumour_t *rumour)
{
	sr_daemon_t *daemon = user;
	char *text = g_strndup((const char *)rumour->value, rumour->size);

	switch (rumour->kind) {
	case SR_RUMOUR_CONFIG:
		if (daemon->sync)
			sr_config_sync_heard(daemon->sync, rumour->version,
					     rumour->value, rumour->size);
		break;
	case SR_RUMOUR_LEAVING:
		sr_daemon_leaving(daemon, rumour->key);
		break;
	case SR_RUMOUR_RECALL:
		hear_recall(daemon, rumour, text);
		break;
	case SR_RUMOUR_USAGE:
		hear_usage(daemon, rumour, text);
		break;
	case SR_RUMOUR_SHARD_OWNER:
	case SR_RUMOUR_EVIDENCE:
	case SR_RUMOUR_STATUS:
	case SR_RUMOUR_N_KINDS:
		break; /* looked up where they are needed */
	}
	g_free(text);
}

static void on_member_changed(void *user, const sr_member_t *member)
{
	static const char *const names[] = { "alive", "suspect", "left",
					     "dead" };
	sr_daemon_t *daemon = user;

	sr_log_event(daemon->log, SR_LOG_INFO, "member", "name", member->name,
		     "failure_domain", member->failure_domain, "state",
		     names[member->state], NULL);
	daemon->members_changed = TRUE;
}

static void on_datagram(void *user, const guint8 *data, gsize size)
{
	sr_daemon_t *daemon = user;

	if (daemon->gossip)
		sr_gossip_receive(daemon->gossip, now_of(daemon), data, size);
}

static void on_forward(void *user, sr_peer_request_t *request,
		       const sr_forward_t *forward)
{
	static const sr_forward_result_t refusal = {
		.err = SR_ERR_PLATFORM,
		.executed = SR_FORWARD_NOT_RUN,
		.detail = "this host keeps no journal",
		.retry_after = SR_SEC,
	};
	sr_daemon_t *daemon = user;

	if (daemon->postings)
		sr_postings_serve(daemon->postings, request, forward);
	else
		sr_peer_answer(request, &refusal);
}

static GBytes *on_fetch(void *user, const char *key)
{
	sr_daemon_t *daemon = user;

	return daemon->sync ? sr_config_sync_serve(daemon->sync, key) : NULL;
}

static void on_send(void *user, const char *address, const guint8 *data,
		    gsize size)
{
	sr_daemon_t *daemon = user;

	sr_peer_send(daemon->peer, address, data, size);
}

static void tell_usage(void *user, const char *scope, unsigned in_flight)
{
	sr_daemon_t *daemon = user;
	char *key = g_strdup_printf("%s%c%s", daemon->settings->node, SEPARATOR,
				    scope);
	char text[16];

	g_snprintf(text, sizeof(text), "%u", in_flight);
	sr_membership_tell(daemon, SR_RUMOUR_USAGE, key, text, USAGE_TTL);
	g_free(key);
}

static void tell(sr_daemon_t *daemon)
{
	guint64 generation = daemon->config ? daemon->config->generation : 0;
	char text[32];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT " %s", generation,
		   daemon->draining ? "draining" : "serving");
	sr_membership_tell(daemon, SR_RUMOUR_STATUS, daemon->settings->node,
			   text, SR_STATUS_TTL);
	sr_dispatch_foreach_usage(daemon->dispatch, tell_usage, daemon);
}

static void on_tick(void *user)
{
	sr_daemon_t *daemon = user;
	sr_usec_t now = now_of(daemon);

	daemon->tick = sr_timer_start(daemon->clock, TICK, on_tick, daemon);
	if (daemon->gossip) {
		sr_gossip_tick(daemon->gossip, now);
		if (now >= daemon->tell_at) {
			daemon->tell_at = now + TELL_INTERVAL;
			tell(daemon);
		}
	}
	sr_accepted_tick(daemon, now);
}

static sr_err_t open_peer(sr_daemon_t *daemon, guint64 incarnation,
			  char **detail)
{
	const sr_settings_t *settings = daemon->settings;
	sr_peer_options_t options = {
		.clock = daemon->clock,
		.address = settings->peer_address,
		.cluster = settings->cluster_id,
		.node = settings->node,
		.incarnation = incarnation,
		.datagram = on_datagram,
		.forward = on_forward,
		.fetch = on_fetch,
		.user = daemon,
	};
	GError *error = NULL;
	char *secret = NULL;

	if (!g_file_get_contents(settings->cluster_secret_file, &secret,
				 &options.secret_size, &error)) {
		*detail = g_strdup(error->message);
		g_error_free(error);
		return SR_ERR_IO;
	}
	while (options.secret_size > 0 &&
	       g_ascii_isspace(secret[options.secret_size - 1]))
		options.secret_size--;
	options.secret = (const guint8 *)secret;
	daemon->peer = sr_peer_new(&options, detail);
	g_free(secret);
	return daemon->peer ? SR_OK : SR_ERR_IO;
}

static void open_gossip(sr_daemon_t *daemon, guint64 incarnation)
{
	const sr_settings_t *settings = daemon->settings;
	const sr_gossip_options_t options = {
		.name = settings->node,
		.failure_domain = settings->failure_domain,
		.address = sr_peer_address(daemon->peer),
		.incarnation = incarnation,
		.seed = g_rand_int(daemon->rand),
		.send = on_send,
		.heard = on_heard,
		.member_changed = on_member_changed,
		.user = daemon,
	};

	daemon->gossip = sr_gossip_new(&options, now_of(daemon));
	for (guint i = 0; i < settings->peer_seeds->len; i++)
		sr_gossip_seed(daemon->gossip, settings->peer_seeds->pdata[i]);
}

sr_err_t sr_membership_open(sr_daemon_t *daemon, char **detail)
{
	guint64 incarnation = sr_clock_wall_ns(daemon->clock) / 1000000;
	sr_err_t err;

	daemon->tick = sr_timer_start(daemon->clock, 0, on_tick, daemon);
	if (!*daemon->settings->peer_address)
		return SR_OK;
	err = open_peer(daemon, incarnation, detail);
	if (!err)
		open_gossip(daemon, incarnation);
	return err;
}

void sr_membership_close(sr_daemon_t *daemon)
{
	sr_timer_cancel(daemon->tick);
	daemon->tick = NULL;
	if (daemon->gossip)
		sr_gossip_free(daemon->gossip);
	if (daemon->peer)
		sr_peer_free(daemon->peer);
	daemon->gossip = NULL;
	daemon->peer = NULL;
}
