/*
 * Plays a plan of disruptions with real processes: entry hosts of the platform
 * behind a network that loses bytes, a stand-in of the store, instances and
 * callers. Callers' requests are judged by the rule CONFIG, what instances get
 * by QUOTA, BUDGET and LIMIT, the calls of duties by ONE.
 */
#include <argtable2.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <sys/wait.h>

#include "soak.h"

/** Time until traffic is judged, and that after the last step, in ms. */
#define START_MS 9000
#define END_MS 1500

/** How long watches hear nothing before the history is dropped, in ms. */
#define MUTE_MS 1000

/** Of vetan-hq. */
static const soak_bounds_t bounds = { .contact_ms = 3000,
				      .apply_ms = 2000,
				      .outer_ms = 5000,
				      .rollback_slack_ms = 250 };

gint64 soak_now_ms(const soak_t *soak)
{
	return (g_get_monotonic_time() - soak->started_us) / 1000;
}

/* The disruptions. */

/** disruption_t - one that lasts, at one host or at the store. */
typedef struct {
	soak_t *soak;
	soak_step_t step;
	unsigned host; /* SOAK_STORE for the store */
} disruption_t;

static soak_calm_t *calm_of(soak_t *soak, unsigned end)
{
	return end == SOAK_STORE ? &soak->rules->store_calm :
				   &soak_rules_host(soak->rules, end)->calm;
}

static gboolean hinders_answers(soak_kind_t kind)
{
	switch (kind) {
	case SOAK_STORE_SILENT:
	case SOAK_STORE_BUSY:
	case SOAK_STORE_RESET:
	case SOAK_STORE_SLOW:
	case SOAK_STORE_LOST:
	case SOAK_STORE_RESTORE:
		return TRUE;
	default:
		return FALSE;
	}
}

static soak_link_t link_state(soak_kind_t kind)
{
	switch (kind) {
	case SOAK_REFUSE:
		return SOAK_LINK_REFUSED;
	case SOAK_LOSSY:
		return SOAK_LINK_LOSSY;
	default:
		return SOAK_LINK_DOWN;
	}
}

static void set_links(soak_t *soak, const soak_step_t *step, unsigned host,
		      soak_link_t state)
{
	switch (step->kind) {
	case SOAK_CUT_STORE:
	case SOAK_REFUSE:
		soak_network_cut(soak->network, host, TRUE, FALSE, state);
		break;
	case SOAK_CUT_ONE_WAY:
		soak_network_cut(soak->network, host, TRUE, TRUE, state);
		break;
	case SOAK_CUT:
	case SOAK_LOSSY:
		soak_network_cut(soak->network, host, FALSE, FALSE, state);
		break;
	case SOAK_CUT_DOMAIN:
		for (unsigned i = 0; i < SOAK_ENDS; i++) {
			if (i < soak->n_hosts && (step->hosts >> i & 1))
				continue;
			soak->network->links[host][i] = (guint8)state;
			soak->network->links[i][host] = (guint8)state;
		}
		break;
	default:
		break;
	}
}

static gboolean on_disruption_end(gpointer user)
{
	disruption_t *disruption = user;
	soak_t *soak = disruption->soak;
	const soak_step_t *step = &disruption->step;
	unsigned host = disruption->host;

	if (host == SOAK_STORE) {
		soak_store_disrupt(soak, step, FALSE);
		if (hinders_answers(step->kind))
			soak_calm_end(&soak->rules->store_answering,
				      soak_now_ms(soak));
	} else if (step->kind == SOAK_FREEZE) {
		if (soak->hosts[host].pid > 0)
			kill(soak->hosts[host].pid, SIGCONT);
	} else {
		soak->hosts[host].n_cuts--;
		if (soak->hosts[host].n_cuts == 0)
			set_links(soak, step, host, SOAK_LINK_UP);
	}
	soak_calm_end(calm_of(soak, host), soak_now_ms(soak));
	g_free(disruption);
	return G_SOURCE_REMOVE;
}

static void begin_lasting(soak_t *soak, const soak_step_t *step, unsigned host)
{
	disruption_t *disruption = g_new0(disruption_t, 1);

	disruption->soak = soak;
	disruption->step = *step;
	disruption->host = host;
	soak_calm_begin(calm_of(soak, host));
	if (host == SOAK_STORE) {
		soak_store_disrupt(soak, step, TRUE);
		if (hinders_answers(step->kind))
			soak_calm_begin(&soak->rules->store_answering);
	} else if (step->kind == SOAK_FREEZE) {
		if (soak->hosts[host].pid > 0)
			kill(soak->hosts[host].pid, SIGSTOP);
	} else {
		soak->hosts[host].n_cuts++;
		set_links(soak, step, host, link_state(step->kind));
	}
	g_timeout_add((guint)step->for_ms, on_disruption_end, disruption);
}

/** stop_turn_t - of a host that is stopped after others. */
typedef struct {
	soak_t *soak;
	unsigned host;
} stop_turn_t;

static stop_turn_t *new_turn(soak_t *soak, unsigned host)
{
	stop_turn_t *turn = g_new0(stop_turn_t, 1);

	turn->soak = soak;
	turn->host = host;
	return turn;
}

static gboolean on_stop_turn(gpointer user)
{
	stop_turn_t *turn = user;

	soak_host_end(turn->soak, turn->host, SIGTERM);
	g_free(turn);
	return G_SOURCE_REMOVE;
}

/* A second cut of a host that is cut would end the first one. */
static gboolean is_possible(const soak_t *soak, const soak_step_t *step,
			    unsigned host)
{
	switch (step->kind) {
	case SOAK_CUT_STORE:
	case SOAK_CUT_ONE_WAY:
	case SOAK_REFUSE:
	case SOAK_CUT:
	case SOAK_CUT_DOMAIN:
	case SOAK_LOSSY:
		return soak->hosts[host].n_cuts == 0;
	default:
		return TRUE;
	}
}

static void disrupt_host(soak_t *soak, const soak_step_t *step, unsigned host,
			 unsigned turn)
{
	soak_calm_t *calm = calm_of(soak, host);

	switch (step->kind) {
	case SOAK_KILL:
		soak_host_end(soak, host, SIGKILL);
		break;
	case SOAK_STOP:
		g_timeout_add((guint)(turn * step->gap_ms), on_stop_turn,
			      new_turn(soak, host));
		break;
	case SOAK_REPLACE:
		soak_host_replace(soak, host);
		break;
	case SOAK_SILENCE:
		soak_network_silence(soak->network, host);
		soak_calm_begin(calm);
		soak_calm_end(calm, soak_now_ms(soak));
		break;
	default:
		if (is_possible(soak, step, host))
			begin_lasting(soak, step, host);
		break;
	}
}

/* Two of these at once would end together. */
static gboolean is_store_disrupted(const soak_t *soak)
{
	return soak->rules->store_calm.n_disruptions > 0;
}

static void disrupt(soak_t *soak, const soak_step_t *step)
{
	unsigned turn = 0;

	if (soak->is_verbose)
		printf("%.3f s: %s for %.1f s, hosts %#" G_GINT64_MODIFIER
		       "x\n",
		       (double)soak_now_ms(soak) / 1000,
		       soak_kind_name(step->kind), (double)step->for_ms / 1000,
		       step->hosts);
	if (soak_kind_is_of_store(step->kind)) {
		soak_step_t of_store = *step;

		if (is_store_disrupted(soak))
			return;
		if (step->kind == SOAK_STORE_COMPACT)
			of_store.for_ms = MUTE_MS;
		begin_lasting(soak, &of_store, SOAK_STORE);
	} else {
		for (unsigned i = 0; i < soak->n_hosts; i++) {
			if (step->hosts >> i & 1)
				disrupt_host(soak, step, i, turn++);
		}
	}
	soak->n_steps[step->kind]++;
}

typedef struct {
	soak_t *soak;
	soak_step_t step;
} due_step_t;

static gboolean on_step(gpointer user)
{
	due_step_t *due = user;

	if (due->step.is_change)
		soak_store_change(due->soak, due->step.change);
	else
		disrupt(due->soak, &due->step);
	return G_SOURCE_REMOVE;
}

/* A run. */

static gboolean prepare(soak_t *soak)
{
	soak->folder = g_dir_make_tmp("soak-XXXXXX", NULL);
	soak->network_path = g_build_filename(soak->folder, "network", NULL);
	soak->network = soak_network_new(soak->network_path);
	if (!soak->network)
		return FALSE;
	soak->forwarder = soak_network_start(soak->network);
	soak->started_us = g_get_monotonic_time();
	soak->random = g_rand_new_with_seed(soak->seed);
	soak->rules = soak_rules_new(&bounds, SOAK_HOSTS_MAX);
	soak->routes = g_ptr_array_new();
	soak->keys = g_ptr_array_new();
	soak->recent = g_ptr_array_new();
	return soak->forwarder > 0;
}

static void end_processes(soak_t *soak)
{
	for (unsigned i = 0; i < soak->n_hosts; i++) {
		if (soak->hosts[i].pid <= 0)
			continue;
		kill(soak->hosts[i].pid, SIGKILL);
		waitpid(soak->hosts[i].pid, NULL, 0);
	}
	kill(soak->forwarder, SIGKILL);
	waitpid(soak->forwarder, NULL, 0);
}

static void remove_files(const soak_t *soak)
{
	char *log;

	for (unsigned i = 0; i < soak->n_hosts; i++) {
		log = g_strdup_printf("%s/n%u.log", soak->folder, i);
		g_unlink(log);
		g_unlink(soak->hosts[i].settings);
		g_free(log);
	}
	g_unlink(soak->network_path);
	g_rmdir(soak->folder);
}

/* Returns whether a rule was broken. */
static gboolean print_result(const soak_t *soak)
{
	const soak_rules_t *rules = soak->rules;
	gboolean is_broken = rules->n_late + rules->n_regressed > 0;
	unsigned n_asked = 0;
	unsigned n_served = 0;

	for (unsigned i = 0; i < soak->n_hosts; i++) {
		n_asked += soak->hosts[i].n_asked;
		n_served += soak->hosts[i].n_served;
	}
	printf("seed %u: %u versions, %u requests judged, %u late, %u went "
	       "back; %u of %u on the first route served;",
	       soak->seed, rules->acknowledged_ms->len - 1, rules->n_judged,
	       rules->n_late, rules->n_regressed, n_served, n_asked);
	for (unsigned i = 0; i < SOAK_N_SUMS; i++) {
		double worst = soak_sums_worst(soak->sums, (soak_sum_kind_t)i);

		printf(" %s %.2f;", soak_sums_rule((soak_sum_kind_t)i), worst);
		is_broken |= worst > 1;
	}
	is_broken |= soak_duties_print(soak->duties) > 0;
	for (unsigned i = 0; i < SOAK_N_KINDS; i++) {
		if (soak->n_steps[i] > 0)
			printf(" %s %u", soak_kind_name((soak_kind_t)i),
			       soak->n_steps[i]);
	}
	printf("\n%s%s", rules->report->str,
	       soak_duties_breaches(soak->duties));
	fflush(stdout);
	return is_broken;
}

static gboolean on_time_over(gpointer user)
{
	g_main_loop_quit(user);
	return G_SOURCE_REMOVE;
}

static void run_for(unsigned ms)
{
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);

	g_timeout_add(ms, on_time_over, loop);
	g_main_loop_run(loop);
	g_main_loop_unref(loop);
}

/* Returns whether a rule was broken. */
static gboolean run_plan(soak_t *soak)
{
	const soak_plan_options_t plan = { .seed = soak->seed,
					   .n_hosts = soak->n_hosts,
					   .n_domains = SOAK_DOMAINS,
					   .length_ms = soak->length_ms,
					   .only = soak->only };
	GArray *steps = soak_plan_new(&plan);
	gboolean is_broken;

	soak->duties = soak_duties_new();
	soak_store_start(soak);
	soak_instances_start(soak);
	for (unsigned i = 0; i < soak->n_hosts; i++) {
		soak_host_prepare(soak, i);
		soak_host_start(soak, i);
	}
	run_for(START_MS);
	soak_callers_start(soak);
	for (guint i = 0; i < steps->len; i++) {
		due_step_t *due = g_new0(due_step_t, 1);

		due->soak = soak;
		due->step = g_array_index(steps, soak_step_t, i);
		g_timeout_add((guint)due->step.at_ms, on_step, due);
	}
	run_for((unsigned)soak->length_ms + END_MS);
	end_processes(soak);
	is_broken = print_result(soak);
	if (is_broken)
		printf("logs: %s\n", soak->folder);
	else
		remove_files(soak);
	g_array_unref(steps);
	return is_broken;
}

int main(int argc, char **argv)
{
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "of the plan (1)");
	struct arg_int *hosts =
		arg_int0(NULL, "hosts", "N", "2 to 24 (9), at the start");
	struct arg_int *seconds =
		arg_int0(NULL, "seconds", "N", "length of the plan (40)");
	struct arg_str *only =
		arg_str0(NULL, "only", "KIND", "the only kind of disruption");
	struct arg_file *program =
		arg_file0(NULL, "program", "FILE",
			  "another build of this one, for every second host");
	struct arg_lit *verbose =
		arg_lit0("v", "verbose", "print the disruptions");
	struct arg_int *host =
		arg_int0(NULL, "host", "N", "run as a host (used by itself)");
	struct arg_file *settings = arg_file0(NULL, "settings", "FILE", NULL);
	struct arg_file *network = arg_file0(NULL, "network", "FILE", NULL);
	struct arg_end *end = arg_end(5);
	void *table[] = { seed,	   hosts, seconds,  only,    program,
			  verbose, host,  settings, network, end };
	soak_t soak = { .seed = 1, .n_hosts = 9, .length_ms = 40000 };

	hosts->ival[0] = 9;
	if (arg_parse(argc, argv, table) || hosts->ival[0] < 2 ||
	    hosts->ival[0] > SOAK_HOSTS_MAX) {
		arg_print_errors(stderr, end, "sassafras-soak");
		fprintf(stderr, "usage: sassafras-soak");
		arg_print_syntax(stderr, table, "\n");
		arg_print_glossary(stderr, table, "  %-22s %s\n");
		return 2;
	}
	if (host->count > 0)
		return soak_host_run(settings->filename[0],
				     network->filename[0],
				     (unsigned)host->ival[0]);
	if (seed->count > 0)
		soak.seed = (guint32)seed->ival[0];
	if (seconds->count > 0)
		soak.length_ms = seconds->ival[0] * 1000;
	if (program->count > 0)
		soak.program = program->filename[0];
	soak.only = only->count > 0 ? soak_kind_by_name(only->sval[0]) :
				      SOAK_N_KINDS;
	if (only->count > 0 && soak.only == SOAK_N_KINDS) {
		fprintf(stderr, "sassafras-soak: no such kind: %s\n",
			only->sval[0]);
		return 2;
	}
	soak.n_hosts = (unsigned)hosts->ival[0];
	soak.is_verbose = verbose->count > 0;
	soak.self = g_file_read_link("/proc/self/exe", NULL);
	if (!prepare(&soak)) {
		fprintf(stderr, "sassafras-soak: no free addresses\n");
		return 2;
	}
	return run_plan(&soak);
}
