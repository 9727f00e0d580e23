/*
 * Usage: rig CASE PROGRAM WIRE_FILE RECORD_FILE
 *
 * Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
 * not run. With TROUBLE=0 in the environment there is no disruption.
 */
#include "rig.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CALLERS 6

#define EXIT_CANNOT_RUN 2

/** Longest time of a case. */
#define TIME_MAX_S 100

/** Time from the start of the hosts until callers ask, in ms. */
#define START_MS 6000

/** Time for which a server that has crashed is down, in ms. */
#define DOWN_MS 3000

/** Of a SIGTERM (grace_s), and of the window after it, in ms. */
#define GRACE_MS 8000
#define AFTER_GRACE_MS 1000

/** Answers cut off that the rule of kept connections allows. */
#define CUT_ALLOWED 3

typedef struct {
	rig_t *rig;
	unsigned number;
	rig_ask_t ask;
	gboolean is_complete;
	gboolean is_connected;
	int buffer; /* of the connection; 0: the default */
} caller_t;

typedef struct {
	const char *name;
	unsigned work_ms;
	gsize size; /* of the answers */
	int buffer; /* of the callers' connections; 0: the default */
	unsigned pause_ms;
	gsize bytes_per_s;
	/* breaks the rule; term_at is 0 without a SIGTERM */
	gboolean (*is_broken)(const caller_t *callers, gint64 term_at);
	gboolean has_term;
	unsigned n_servers;
	/* plays and judges by itself; NULL: see play() and judge() */
	gboolean (*play)(rig_t *rig, gboolean has_trouble);
} case_t;

/* A whole request was read and passed on, its server has done its work, and the
 * channel ended without a complete answer: within the planned stop and before
 * the caller's time limit. */
static gboolean cuts_at_stop(const caller_t *callers, gint64 term_at)
{
	unsigned n = 0;

	for (unsigned i = 0; i < CALLERS; i++) {
		const rig_ask_t *ask = &callers[i].ask;

		n += term_at > 0 && callers[i].is_connected &&
		     !callers[i].is_complete &&
		     rig_has_run(callers[i].rig, ask->id) &&
		     ask->ended_at < ask->sent_at + ask->time_ms &&
		     ask->ended_at < term_at + GRACE_MS + AFTER_GRACE_MS;
	}
	return n > 0;
}

static gboolean cuts_kept_connections(const caller_t *callers, gint64 term_at)
{
	unsigned n = 0;

	(void)term_at;
	for (unsigned i = 0; i < CALLERS; i++) {
		const rig_ask_t *ask = &callers[i].ask;

		n += callers[i].is_connected && !callers[i].is_complete &&
		     rig_has_run(callers[i].rig, ask->id) &&
		     ask->ended_at < ask->sent_at + ask->time_ms;
	}
	return n > CUT_ALLOWED;
}

static const case_t cases[] = {
	{ .name = "stop",
	  .work_ms = 300,
	  .size = 7000000,
	  .buffer = 64 * 1024,
	  .bytes_per_s = 10 * 1000 * 1000 / 8,
	  .is_broken = cuts_at_stop,
	  .has_term = TRUE },
	{ .name = "pause",
	  .work_ms = 50,
	  .size = 500000,
	  .pause_ms = 4000,
	  .is_broken = cuts_kept_connections },
	{ .name = "crash",
	  .work_ms = 20,
	  .n_servers = 4,
	  .play = rig_play_crash },
};

static const case_t *find_case(const char *name)
{
	for (unsigned i = 0; i < G_N_ELEMENTS(cases); i++) {
		if (!strcmp(cases[i].name, name))
			return &cases[i];
	}
	return NULL;
}

/* Asks for a small answer first, so that the connection is a kept one. */
static gpointer call(gpointer data)
{
	caller_t *caller = data;
	rig_t *rig = caller->rig;
	rig_ask_t first = { .size = 800, .time_ms = 1500 };
	int fd = rig_connect(rig, 0, caller->buffer);

	if (fd < 0)
		return NULL;
	g_snprintf(first.id, sizeof(first.id), "first-%u", caller->number);
	g_snprintf(caller->ask.id, sizeof(caller->ask.id), "large-%u",
		   caller->number);
	if (rig_ask(rig, fd, &first)) {
		caller->is_connected = TRUE;
		caller->is_complete = rig_ask(rig, fd, &caller->ask);
	}
	close(fd);
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

	rig->n_servers = MAX(played->n_servers, 1);
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

static gint64 play(rig_t *rig, const case_t *played, gboolean has_trouble,
		   caller_t *callers)
{
	GThread *threads[CALLERS];
	gint64 term_at = 0;

	for (unsigned i = 0; i < CALLERS; i++) {
		callers[i] = (caller_t){ .rig = rig,
					 .number = i,
					 .buffer = played->buffer };
		callers[i].ask.size = played->size;
		callers[i].ask.time_ms = 9500;
		callers[i].ask.bytes_per_s = played->bytes_per_s;
		if (has_trouble)
			callers[i].ask.pause_ms = played->pause_ms;
		threads[i] = g_thread_new("call", call, &callers[i]);
	}
	if (has_trouble && played->has_term) {
		g_usleep(450 * 1000);
		term_at = rig_ms(rig);
		rig_note(rig, "SIGTERM to the callers' host");
		kill(rig->hosts[0], SIGTERM);
	}
	for (unsigned i = 0; i < CALLERS; i++)
		g_thread_join(threads[i]);
	return term_at;
}

static int judge(rig_t *rig, const case_t *played, const caller_t *callers,
		 gint64 term_at)
{
	gboolean is_broken = played->is_broken(callers, term_at);

	for (unsigned i = 0; i < CALLERS; i++) {
		if (!callers[i].is_connected)
			return EXIT_CANNOT_RUN;
	}
	rig_note(rig, "the rule %s", is_broken ? "is broken" : "holds");
	return is_broken ? EXIT_FAILURE : EXIT_SUCCESS;
}

static int play_case(rig_t *rig, const case_t *played, gboolean has_trouble)
{
	caller_t callers[CALLERS];
	gboolean is_broken;
	gint64 term_at;

	if (!played->play) {
		term_at = play(rig, played, has_trouble, callers);
		return judge(rig, played, callers, term_at);
	}
	is_broken = played->play(rig, has_trouble);
	rig_note(rig, "the rule %s", is_broken ? "is broken" : "holds");
	return is_broken ? EXIT_FAILURE : EXIT_SUCCESS;
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
	_exit(EXIT_CANNOT_RUN);
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
	int code = EXIT_CANNOT_RUN;

	if (!played)
		return EXIT_CANNOT_RUN;
	end_on_signals(&rig);
	rig.program = argv[2];
	rig.wire = g_key_file_new();
	rig.record = fopen(argv[4], "we");
	rig.folder = g_dir_make_tmp("rig3-XXXXXX", NULL);
	rig.runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rig.crash_times = g_array_new(FALSE, FALSE, sizeof(gint64));
	rig.arrivals = g_array_new(FALSE, FALSE, sizeof(rig_arrival_t));
	if (rig.record && rig.folder &&
	    g_key_file_load_from_file(rig.wire, argv[3], G_KEY_FILE_NONE,
				      NULL) &&
	    start(&rig, played))
		code = play_case(&rig, played, g_strcmp0(trouble, "0") != 0);
	rig_end_hosts(&rig);
	rig_remove_folder(&rig);
	return code;
}
