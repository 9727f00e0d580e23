/*
 * A rolling restart stops the machine that holds the duties; the other one
 * takes them and acts. Then the store is away for a moment and comes back from
 * a copy some seconds old, from before the duties changed hands, while the
 * first machine starts again. Judged: whether two holders send the same epoch
 * number.
 */
#include <signal.h>
#include <stdio.h>

#include "../stand_in/stand_in.h"

#define MACHINES 2
#define CLIENTS 6

/** Age of the copy, "some seconds", and how long the store is away, "a
 * moment". */
#define COPY_AGE_MS 5000
#define AWAY_MS 1000

/** Reports before the restart, the time that they and the take-over may take,
 * and the time of the case after the drill. */
#define REPORTS_BEFORE 6
#define REPORT_TIMEOUT_MS 45000
#define TAKEOVER_MS 4000
#define AFTER_MS 30000

/** grace_s, after which the platform kills a process that it stops, and the
 * pause before a process is started again. */
#define GRACE_MS 8000
#define RESTART_MS 300

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

		client_ask((number + i) % MACHINES, &request);
		sleep_ms(100);
	}
	return NULL;
}

static void drill(void)
{
	store_down();
	sleep_ms(AWAY_MS);
	store_up(COPY_AGE_MS + AWAY_MS);
	bed_put_config("config.json");
}

static void stop_and_start(unsigned machine)
{
	gint64 until = now_ms() + GRACE_MS;

	while (machine_runs(machine) && now_ms() < until)
		sleep_ms(20);
	machine_signal(machine, SIGKILL);
	machine_wait(machine);
	sleep_ms(RESTART_MS);
	machine_start(machine);
}

int main(int argc, char **argv)
{
	static const worker_options_t workers[] = {
		{ "i-1", "ledger", "127.0.0.1", "zone-1", 20, NULL },
		{ "i-2", "ledger", "127.0.0.1", "zone-2", 20, NULL },
	};
	unsigned holder;
	gint64 until;

	if (argc != 6)
		return 2;
	bed_start(argv, MACHINES);
	bed_put_config("config.json");
	for (gsize i = 0; i < G_N_ELEMENTS(workers); i++)
		worker_start(&workers[i]);
	for (unsigned i = 0; i < MACHINES; i++)
		machine_start(i);
	if (!bed_wait_ready(10000))
		fail_to_run("the machines aren't ready");
	for (unsigned i = 0; i < CLIENTS; i++)
		g_thread_unref(g_thread_new("ask", ask, GUINT_TO_POINTER(i)));
	until = now_ms() + REPORT_TIMEOUT_MS;
	while (duties_reports() < REPORTS_BEFORE && now_ms() < until)
		sleep_ms(20);
	if (duties_reports() < REPORTS_BEFORE)
		fail_to_run("no usage was reported before the trouble");
	holder = duties_last_holder();
	machine_signal(holder, SIGTERM);
	until = now_ms() + TAKEOVER_MS;
	while (duties_last_holder() == holder && now_ms() < until)
		sleep_ms(20);
	if (duties_last_holder() == holder)
		fail_to_run("the other machine hasn't taken the duties");
	if (bed_has_trouble())
		drill();
	stop_and_start(holder);
	sleep_ms(AFTER_MS);
	machines_end();
	printf("%u epoch numbers were sent by two holders\n",
	       duties_shared_epochs());
	return duties_shared_epochs() > 0;
}
