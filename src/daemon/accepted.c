#include <string.h>

#include "daemon/parts.h"

#define FETCH_TIMEOUT (2 * SR_SEC)
#define BOOTSTRAP_INTERVAL (2 * SR_SEC)
#define BOOTSTRAP_DELAY (500 * SR_MSEC)

static sr_usec_t now_of(const sr_daemon_t *daemon)
{
	return sr_clock_now(daemon->clock);
}

/* Puts a text in force; returns what is wrong with it, or NULL. */
static char *take_text(sr_daemon_t *daemon, const char *text, gsize size,
		       guint64 generation)
{
	GPtrArray *findings = sr_findings_new();
	sr_config_t *config = sr_config_parse(text, size, generation, findings);
	char *problem = config ? NULL : sr_findings_text(findings);

	if (config)
		sr_daemon_set_config(daemon, config);
	sr_config_unref(config);
	g_ptr_array_unref(findings);
	return problem;
}

static void on_in_force(void *user, const char *text, gsize size,
			guint64 generation)
{
	sr_daemon_t *daemon = user;
	char *problem = take_text(daemon, text, size, generation);

	if (problem)
		sr_log_event(daemon->log, SR_LOG_ERROR, "config-unreadable",
			     "detail", problem, NULL);
	g_free(problem);
}

static void on_announce(void *user, guint64 generation, const guint8 *digest,
			gsize size)
{
	sr_daemon_t *daemon = user;
	const sr_rumour_t rumour = {
		.kind = SR_RUMOUR_CONFIG,
		.key = "",
		.version = generation,
		.value = digest,
		.size = size,
	};

	if (daemon->gossip)
		sr_gossip_put(daemon->gossip, now_of(daemon), &rumour, 0);
}

static void on_want(void *user, const char *key, sr_config_fetch_fn done,
		    void *done_user)
{
	sr_daemon_t *daemon = user;
	const char *address = sr_membership_pick(daemon);

	/* Rumours of a generation come from peers only. */
	g_assert(daemon->peer);
	/* Without another member this host asks itself, and has nothing. */
	if (!address)
		address = sr_peer_address(daemon->peer);
	sr_peer_fetch(daemon->peer, address, key, FETCH_TIMEOUT, done,
		      done_user);
}

static void on_cancel(void *user, void *done_user)
{
	sr_daemon_t *daemon = user;

	if (daemon->peer)
		sr_peer_cancel_all(daemon->peer, done_user);
}

static void on_host_leaving(void *user, const char *host, sr_usec_t in)
{
	sr_daemon_t *daemon = user;

	sr_membership_tell(daemon, SR_RUMOUR_LEAVING, host, "", SR_LEAVING_TTL);
	sr_daemon_leaving(daemon, host);
}

static void on_host_present(void *user, const sr_host_t *host, gboolean present)
{
	sr_daemon_t *daemon = user;

	sr_dispatch_set_present(daemon->dispatch, host->name, present);
}

static void on_bootstrapped(void *user, const sr_publish_result_t *result)
{
	sr_daemon_t *daemon = user;

	daemon->bootstrapping = FALSE;
	sr_log_event(daemon->log, SR_LOG_INFO, "config-bootstrap", "result",
		     sr_err_name(result->err), NULL);
}

/* The configuration file is published if the platform has none at all. */
static void bootstrap(sr_daemon_t *daemon, sr_usec_t now)
{
	if (!daemon->bootstrap_text || daemon->bootstrapping ||
	    now < daemon->bootstrap_at)
		return;
	if (sr_config_sync_generation(daemon->sync) > 0) {
		g_clear_pointer(&daemon->bootstrap_text, g_bytes_unref);
		return;
	}
	daemon->bootstrap_at = now + BOOTSTRAP_INTERVAL;
	daemon->bootstrapping = TRUE;
	sr_config_sync_publish(daemon->sync, 0,
			       g_bytes_get_data(daemon->bootstrap_text, NULL),
			       g_bytes_get_size(daemon->bootstrap_text),
			       on_bootstrapped, daemon);
}

typedef struct {
	GPtrArray *names;
	const char *failure_domain;
} own_domain_t;

static void collect_own(void *user, const sr_member_t *member)
{
	own_domain_t *own = user;

	if (member->state == SR_MEMBER_ALIVE &&
	    !strcmp(member->failure_domain, own->failure_domain))
		g_ptr_array_add(own->names, (gpointer)member->name);
}

static void update_members(sr_daemon_t *daemon)
{
	own_domain_t own = {
		.names = g_ptr_array_new(),
		.failure_domain = daemon->settings->failure_domain,
	};

	sr_gossip_foreach_member(daemon->gossip, collect_own, &own);
	sr_config_sync_set_members(daemon->sync,
				   (const char *const *)own.names->pdata,
				   own.names->len);
	g_ptr_array_unref(own.names);
	sr_hosts_set_active(daemon->hosts,
			    sr_config_sync_is_watcher(daemon->sync));
}

void sr_accepted_tick(sr_daemon_t *daemon, sr_usec_t now)
{
	if (!daemon->sync)
		return;
	if (daemon->members_changed && daemon->gossip) {
		daemon->members_changed = FALSE;
		update_members(daemon);
	}
	sr_config_sync_tick(daemon->sync, now);
	bootstrap(daemon, now);
}

static void open_platform(sr_daemon_t *daemon)
{
	char *url = g_strconcat("http://", daemon->settings->platform_address,
				NULL);
	const sr_platform_options_t options = {
		.url = url,
		.clock = daemon->clock,
		.seed = g_rand_int(daemon->rand),
	};

	daemon->platform = sr_platform_new(&options);
	g_free(url);
}

static void open_sync(sr_daemon_t *daemon)
{
	const char *const self[] = { daemon->settings->node };
	const sr_config_sync_options_t options = {
		.store = sr_platform_store(daemon->platform),
		.node = daemon->settings->node,
		.seed = g_rand_int(daemon->rand),
		.fetch = on_want,
		.cancel_fetches = on_cancel,
		.in_force = on_in_force,
		.announce = on_announce,
		.user = daemon,
	};

	daemon->sync = sr_config_sync_new(&options, now_of(daemon));
	sr_config_sync_set_members(daemon->sync, self, 1);
}

static void open_hosts(sr_daemon_t *daemon)
{
	const sr_hosts_options_t options = {
		.platform = daemon->platform,
		.clock = daemon->clock,
		.seed = g_rand_int(daemon->rand),
		.leaving = on_host_leaving,
		.present = on_host_present,
		.user = daemon,
	};

	daemon->hosts = sr_hosts_new(&options);
	sr_hosts_set_active(daemon->hosts, TRUE);
}

static void open_postings(sr_daemon_t *daemon)
{
	const sr_postings_options_t options = {
		.clock = daemon->clock,
		.log = daemon->log,
		.metrics = daemon->metrics,
		.trace = daemon->trace,
		.dispatch = daemon->dispatch,
		.upstream = daemon->upstream,
		.store = sr_platform_store(daemon->platform),
		.gossip = daemon->gossip,
		.peer = daemon->peer,
		.node = daemon->settings->node,
		.failure_domain = daemon->settings->failure_domain,
		.seed = (guint64)g_rand_int(daemon->rand) << 32 |
			g_rand_int(daemon->rand),
	};

	daemon->postings = sr_postings_new(&options);
	if (daemon->config)
		sr_postings_set_config(daemon->postings, daemon->config);
	sr_caller_set_postings(daemon->caller, daemon->postings);
}

static sr_err_t load_file(sr_daemon_t *daemon, char **detail)
{
	GError *error = NULL;
	char *text = NULL;
	gsize size = 0;

	if (!g_file_get_contents(daemon->settings->config_file, &text, &size,
				 &error)) {
		*detail = g_strdup(error->message);
		g_error_free(error);
		return SR_ERR_INVALID;
	}
	if (*daemon->settings->platform_address) {
		GPtrArray *findings = sr_findings_new();
		sr_config_t *config = sr_config_parse(text, size, 1, findings);

		if (!config)
			*detail = sr_findings_text(findings);
		sr_config_unref(config);
		g_ptr_array_unref(findings);
	} else {
		*detail = take_text(daemon, text, size, 1);
	}
	daemon->bootstrap_text = g_bytes_new_take(text, size);
	return *detail ? SR_ERR_INVALID : SR_OK;
}

sr_err_t sr_accepted_open(sr_daemon_t *daemon, char **detail)
{
	sr_err_t err = SR_OK;

	if (*daemon->settings->config_file)
		err = load_file(daemon, detail);
	if (err || !*daemon->settings->platform_address)
		return err;
	open_platform(daemon);
	open_sync(daemon);
	open_hosts(daemon);
	open_postings(daemon);
	/* Peers may know of a generation; they are asked first. */
	daemon->bootstrap_at = now_of(daemon) + BOOTSTRAP_DELAY;
	return SR_OK;
}

void sr_accepted_close(sr_daemon_t *daemon)
{
	sr_postings_free(daemon->postings);
	if (daemon->hosts)
		sr_hosts_free(daemon->hosts);
	if (daemon->sync)
		sr_config_sync_free(daemon->sync);
	if (daemon->platform)
		sr_platform_free(daemon->platform);
	g_clear_pointer(&daemon->bootstrap_text, g_bytes_unref);
	daemon->postings = NULL;
	daemon->hosts = NULL;
	daemon->sync = NULL;
	daemon->platform = NULL;
}
