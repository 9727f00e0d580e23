#include "soak.h"

#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <sys/prctl.h>
#include <unistd.h>

#include "base/settings.h"
#include "entry_host.h"
#include "settings.h"

/** Pause until a host that has ended starts again, in ms. */
#define RESTART_MS 700

/* The hosts. */

void soak_host_prepare(soak_t *soak, unsigned host)
{
	char *ip = soak_network_ip(soak->network, host);
	char *store = soak_network_ip(soak->network, SOAK_STORE);
	char *first = soak_network_ip(soak->network, 0);
	char *second = soak_network_ip(soak->network, 1);
	char *text = g_strdup_printf(
		"{\"node\":\"n%u\",\"failure_domain\":\"z%u\","
		"\"caller_address\":\"%s:%d\",\"ready_address\":\"%s:%d\","
		"\"metrics_address\":\"%s:%d\",\"peer_address\":\"%s:%d\","
		"\"relay_address\":\"%s:%d\",\"peer_seeds\":[\"%s:%d\","
		"\"%s:%d\"],\"store\":{\"address\":\"%s:%d\","
		"\"writes_per_s\":400,\"reads_per_s\":2000},\"duties\":{"
		"\"address\":\"%s:%d\",\"names\":[\"usage_report\"],"
		"\"calls_per_s\":50},\"limits\":{\"descriptors\":1000,"
		"\"memory_mb\":260},\"bounds\":{\"stop_ms\":%d,"
		"\"retry_ratio\":0.2,\"retry_slack\":58,"
		"\"allowance_window_s\":8,\"allowance_overage\":0.1,"
		"\"allowance_slack\":190000,\"usage_window_s\":5,"
		"\"usage_due_s\":10,\"lease_ms\":3000,\"apply_ms\":%d,"
		"\"drain_ms\":2000,\"exposure_share\":0.1,"
		"\"exposure_slack\":50,\"evacuate_ms\":0,"
		"\"warm_up_overage\":0,\"warm_up_slack\":0}}",
		host, host % SOAK_DOMAINS, ip, SOAK_PORT_CALLERS, ip,
		SOAK_PORT_READY, ip, SOAK_PORT_METRICS, ip, SOAK_PORT_PEER, ip,
		SOAK_PORT_RELAY, first, SOAK_PORT_PEER, second, SOAK_PORT_PEER,
		store, SOAK_PORT_STORE, store, SOAK_PORT_STORE, SOAK_STOP_MS,
		(int)soak->rules->bounds.apply_ms);

	soak->hosts[host].settings =
		g_strdup_printf("%s/n%u.json", soak->folder, host);
	if (!g_file_set_contents(soak->hosts[host].settings, text, -1, NULL))
		g_error("can't write %s", soak->hosts[host].settings);
	g_free(text);
	g_free(second);
	g_free(first);
	g_free(store);
	g_free(ip);
}

typedef struct {
	soak_t *soak;
	unsigned host;
} host_ref_t;

static gboolean on_start_again(gpointer user)
{
	host_ref_t *ref = user;

	soak_host_start(ref->soak, ref->host);
	soak_calm_end(&soak_rules_host(ref->soak->rules, ref->host)->calm,
		      soak_now_ms(ref->soak));
	g_free(ref);
	return G_SOURCE_REMOVE;
}

static void on_host_ended(GPid pid, gint status, gpointer user)
{
	host_ref_t *ref = user;
	soak_host_t *judged = soak_rules_host(ref->soak->rules, ref->host);
	soak_process_t *host = &ref->soak->hosts[ref->host];

	g_spawn_close_pid(pid);
	host->pid = 0;
	judged->incarnation++;
	judged->shown_version = 0;
	if (host->stopping_ms == 0) {
		g_string_append_printf(
			ref->soak->rules->report,
			"host %u ended by itself at %.3f s, wait status %d\n",
			ref->host, (double)soak_now_ms(ref->soak) / 1000,
			status);
		ref->soak->rules->n_late++;
		soak_calm_begin(&judged->calm);
	}
	if (host->is_replaced)
		g_free(ref);
	else
		g_timeout_add(RESTART_MS, on_start_again, ref);
}

void soak_host_start(soak_t *soak, unsigned host)
{
	host_ref_t *ref = g_new0(host_ref_t, 1);
	char number[8];
	char *log = g_strdup_printf("%s/n%u.log", soak->folder, host);
	char *command;
	char *argv[] = { "/bin/sh", "-c", NULL, NULL };

	g_snprintf(number, sizeof(number), "%u", host);
	command = g_strdup_printf(
		"exec %s --host %s --settings %s --network %s"
		" >>%s 2>&1",
		soak->program && host % 2 ? soak->program : soak->self, number,
		soak->hosts[host].settings, soak->network_path, log);
	argv[2] = command;
	soak->hosts[host].stopping_ms = 0;
	if (!g_spawn_async(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL,
			   NULL, &soak->hosts[host].pid, NULL))
		g_error("can't start host %u", host);
	ref->soak = soak;
	ref->host = host;
	g_child_watch_add(soak->hosts[host].pid, on_host_ended, ref);
	g_free(command);
	g_free(log);
}

static gboolean on_stop_late(gpointer user)
{
	host_ref_t *ref = user;
	const soak_process_t *host = &ref->soak->hosts[ref->host];

	if (host->pid > 0 && host->stopping_ms > 0 &&
	    soak_now_ms(ref->soak) - host->stopping_ms >= SOAK_STOP_MS)
		kill(host->pid, SIGKILL);
	g_free(ref);
	return G_SOURCE_REMOVE;
}

static host_ref_t *new_ref(soak_t *soak, unsigned host)
{
	host_ref_t *ref = g_new0(host_ref_t, 1);

	ref->soak = soak;
	ref->host = host;
	return ref;
}

void soak_host_end(soak_t *soak, unsigned host, int signal)
{
	if (soak->hosts[host].pid <= 0)
		return;
	if (soak->hosts[host].stopping_ms == 0) {
		soak_calm_begin(&soak_rules_host(soak->rules, host)->calm);
		soak->hosts[host].stopping_ms = soak_now_ms(soak);
	}
	kill(soak->hosts[host].pid, signal);
	kill(soak->hosts[host].pid, SIGCONT);
	g_timeout_add(SOAK_STOP_MS + 10, on_stop_late, new_ref(soak, host));
}

void soak_host_replace(soak_t *soak, unsigned host)
{
	unsigned added = soak->n_hosts;

	if (added == SOAK_HOSTS_MAX || soak->hosts[host].is_replaced ||
	    soak->hosts[host].pid <= 0)
		return;
	soak->hosts[host].is_replaced = TRUE;
	soak_host_end(soak, host, host % 2 ? SIGTERM : SIGKILL);
	soak->n_hosts++;
	soak_host_prepare(soak, added);
	soak_host_start(soak, added);
	soak_rules_host(soak->rules, added)->calm.since_ms = soak_now_ms(soak);
}

/* The program as a host. */

static gboolean on_stop_signal(gpointer user)
{
	sr_entry_host_stop(user);
	return G_SOURCE_REMOVE;
}

/* As the daemon does. The kernel sends it to a host that stands still, too, if
 * the shell that started the soak ends. */
static gboolean on_reload_signal(gpointer user)
{
	sr_entry_host_reload(user);
	return G_SOURCE_CONTINUE;
}

static void on_host_stopped(void *user)
{
	(void)user;
	_exit(0);
}

int soak_host_run(const char *settings_path, const char *network_path,
		  unsigned host)
{
	GPtrArray *findings = sr_findings_new();
	sr_entry_host_options_t options = {
		.settings =
			sr_entry_host_settings_load(settings_path, findings),
		.settings_path = settings_path,
		.clock = sr_clock_new_real(),
		.log_file = stdout,
		.seed = (guint64)g_get_monotonic_time(),
		.stopped = on_host_stopped,
	};
	char *detail = NULL;
	sr_entry_host_t *entry_host;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (!options.settings || !soak_network_open(network_path, host)) {
		fprintf(stderr, "settings or network not usable: %s\n",
			settings_path);
		return 2;
	}
	entry_host = sr_entry_host_new(&options, &detail);
	if (!entry_host) {
		fprintf(stderr, "%s\n", detail);
		return 2;
	}
	g_unix_signal_add(SIGTERM, on_stop_signal, entry_host);
	g_unix_signal_add(SIGHUP, on_reload_signal, entry_host);
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	return 0;
}
