/*
 * All processes are killed while the store is away in a drill, just after a
 * report of usage was accepted; the store comes back from a copy some seconds
 * old. Judged: whether two reports of one window with different counts are
 * accepted.
 */
#include <signal.h>
#include <stdio.h>

#include "../stand_in/stand_in.h"

#define MACHINES 2

/** Age of the copy: "some seconds". */
#define COPY_AGE_MS 5000

/** How long the store is away, and when the machines start again. */
#define AWAY_MS 1000
#define RESTART_MS 500

/** Reports before the trouble, and the time of the case after it: the window is
 * reported within usage_late_s = 10 of its end or not at all. */
#define REPORTS_BEFORE 6
#define REPORT_TIMEOUT_MS 45000
#define AFTER_MS 25000

static gint n_answered;

static gpointer ask(gpointer data)
{
	static const char *const keys[] = { "key-of-hule", "key-of-fida" };
	unsigned number = GPOINTER_TO_UINT(data);

	for (unsigned i = 0;; i++) {
		const request_t request = {
			.host = "h.example",
			.path = "/post/entry",
			.key = keys[number % G_N_ELEMENTS(keys)],
			.deadline_ms = 1500,
		};

		if (client_ask((number + i) % MACHINES, &request) == 200)
			g_atomic_int_inc(&n_answered);
		sleep_ms(100);
	}
	return NULL;
}

static void start_all(void)
{
	for (unsigned i = 0; i < MACHINES; i++)
		machine_start(i);
}

static void drill(void)
{
	store_down();
	for (unsigned i = 0; i < MACHINES; i++)
		machine_signal(i, SIGKILL);
	for (unsigned i = 0; i < MACHINES; i++)
		machine_wait(i);
	sleep_ms(RESTART_MS);
	start_all();
	sleep_ms(AWAY_MS - RESTART_MS);
	store_up(COPY_AGE_MS + AWAY_MS);
	bed_put_config("config.json");
}

int main(int argc, char **argv)
{
	static const worker_options_t workers[] = {
		{ "i-1", "ledger", "127.0.0.1", "zone-1", 20, NULL },
		{ "i-2", "ledger", "127.0.0.1", "zone-2", 20, NULL },
	};
	gint64 until;

	if (argc != 6)
		return 2;
	bed_start(argv, MACHINES);
	bed_put_config("config.json");
	for (gsize i = 0; i < G_N_ELEMENTS(workers); i++)
		worker_start(&workers[i]);
	start_all();
	if (!bed_wait_ready(10000))
		fail_to_run("the machines aren't ready");
	for (unsigned i = 0; i < 6; i++)
		g_thread_unref(g_thread_new("ask", ask, GUINT_TO_POINTER(i)));
	until = now_ms() + REPORT_TIMEOUT_MS;
	while (duties_reports() < REPORTS_BEFORE && now_ms() < until)
		sleep_ms(20);
	if (duties_reports() < REPORTS_BEFORE || n_answered == 0)
		fail_to_run("no usage was reported before the trouble");
	if (bed_has_trouble())
		drill();
	sleep_ms(AFTER_MS);
	machines_end();
	printf("%u reports accepted, %u with other counts than before\n",
	       duties_reports(), duties_conflicts());
	return duties_conflicts() > 0;
}
