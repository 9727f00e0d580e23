/*
 * Usage: rig CASE PROGRAM WIRE_FILE RECORD_FILE
 *
 * Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
 * not run. With TROUBLE=0 in the environment there is no disruption.
 */
#include "rig.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

/** Longest time of a case, in s. */
#define TIME_MAX_S 100

/** Time from the start of the hosts until callers ask, in ms. */
#define START_MS 6000

/** Time for which a server that has crashed is down, in ms. */
#define DOWN_MS 3000

typedef struct {
	const char *name;
	unsigned work_ms;
	unsigned n_servers;
	unsigned n_archive; /* of them */
	rig_result_t (*play)(rig_t *rig, gboolean has_trouble);
} case_t;

static const case_t cases[] = {
	{ "foreign", 20, 4, 2, rig_play_foreign },
	{ "crash", 20, 4, 0, rig_play_crash },
};

static const case_t *find_case(const char *name)
{
	for (unsigned i = 0; i < G_N_ELEMENTS(cases); i++) {
		if (!strcmp(cases[i].name, name))
			return &cases[i];
	}
	return NULL;
}

static gpointer serve_store(gpointer data)
{
	g_main_loop_run(data);
	return NULL;
}

static gboolean start(rig_t *rig, const case_t *played)
{
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);

	rig->n_servers = played->n_servers;
	rig->n_archive = played->n_archive;
	rig->work_ms = played->work_ms;
	rig->down_ms = DOWN_MS;
	if (!rig_find_ports(rig) || !rig_start_servers(rig) ||
	    !rig_start_store(rig))
		return FALSE;
	g_thread_unref(g_thread_new("store", serve_store, loop));
	for (unsigned i = 0; i < RIG_HOSTS_MAX; i++) {
		if (!rig_start_host(rig, i))
			return FALSE;
	}
	g_usleep(START_MS * 1000);
	return TRUE;
}

static GPid *started_hosts;

/* The case has taken too long, or is to end. */
static void on_signal(int signal)
{
	(void)signal;
	for (unsigned i = 0; i < RIG_HOSTS_MAX; i++) {
		if (started_hosts[i] > 0)
			kill(started_hosts[i], SIGKILL);
	}
	_exit(RIG_CANNOT_RUN);
}

static void end_on_signals(rig_t *rig)
{
	started_hosts = rig->hosts;
	signal(SIGALRM, on_signal);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	alarm(TIME_MAX_S);
}

int main(int argc, char **argv)
{
	const char *trouble = g_getenv("TROUBLE");
	const case_t *played = argc == 5 ? find_case(argv[1]) : NULL;
	rig_t rig = { .started = g_get_monotonic_time() };
	rig_result_t result = RIG_CANNOT_RUN;

	if (!played)
		return RIG_CANNOT_RUN;
	end_on_signals(&rig);
	rig.program = argv[2];
	rig.wire = g_key_file_new();
	rig.record = fopen(argv[4], "we");
	rig.folder = g_dir_make_tmp("rig3-XXXXXX", NULL);
	rig.runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rig.crashes = g_array_new(FALSE, FALSE, sizeof(rig_arrival_t));
	rig.arrivals = g_array_new(FALSE, FALSE, sizeof(rig_arrival_t));
	if (rig.record && rig.folder &&
	    g_key_file_load_from_file(rig.wire, argv[3], G_KEY_FILE_NONE,
				      NULL) &&
	    start(&rig, played)) {
		result = played->play(&rig, g_strcmp0(trouble, "0") != 0);
		rig_note(&rig, "%s",
			 result == RIG_BROKEN ? "the rule is broken" :
			 result == RIG_HELD   ? "the rule holds" :
						"the case could not run");
	}
	rig_end_hosts(&rig);
	rig_remove_folder(&rig);
	return (int)result;
}
