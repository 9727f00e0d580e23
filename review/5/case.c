/*
 * Machines are stopped and started in turn, as planned. Clients keep their
 * channels and ask for streams of different lengths, one after the other.
 * Judged: answers to requests that were sent later than 3 s after the SIGTERM
 * of the machine that read them, were passed on to a worker and weren't
 * completed.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../stand_in/stand_in.h"

#define MACHINES 3

/** Time between two events, and the events of a stream: those of the three
 * kinds of streams of the site's sheet, and the most that its file names (120).
 */
#define EVENT_MS 38
#define LONG_EVENTS 120
#define FIRST_EVENTS 83
#define USUAL_CLIENTS 36

/** The time limit of the clients, and that of the route. */
#define DEADLINE_MS 10000

/** grace_s, and the time after the SIGTERM until which the rule lets go a
 * request that its worker is at work on at the end. */
#define GRACE_MS 8000
#define EXCUSED_MS 3000

#define BEFORE_MS 8000
#define PAUSE_MS 3000
#define RESTART_MS 300

/** How long a stream has run when the machine is stopped: "each machine is
 * stopped while it answers a request". */
#define BUSY_MS 60

static gint64 stopped_at[MACHINES]; /* the last SIGTERM, or 0 */
static GMutex lock;
static unsigned n_lost;
static unsigned n_answered;

static gboolean answer_stream(const char *name, int fd,
			      const message_t *request)
{
	const char *slash = strrchr(request->second, '/');
	unsigned n = (unsigned)g_ascii_strtoull(slash + 1, NULL, 10);
	char *fields = worker_fields(name, request);
	char *head = g_strdup_printf("HTTP/1.1 200 OK\r\n%sContent-Type: "
				     "text/event-stream\r\n"
				     "Transfer-Encoding: chunked\r\n\r\n",
				     fields);
	gboolean is_sent = send_text(fd, head, strlen(head));

	for (unsigned i = 1; i <= n && is_sent; i++) {
		char *event = g_strdup_printf("id: %u\ndata: x\n\n", i);
		char *chunk =
			g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);

		sleep_ms(EVENT_MS);
		is_sent = send_text(fd, chunk, strlen(chunk));
		g_free(chunk);
		g_free(event);
	}
	if (is_sent)
		is_sent = send_text(fd, "0\r\n\r\n", 5);
	record("worker %s the stream %s",
	       is_sent ? "has made" : "can't go on with",
	       message_field(request, name_of("request_id")));
	g_free(head);
	g_free(fields);
	return is_sent;
}

/* A request that ended without a complete answer after its head was read. */
static void judge(unsigned machine, const char *id, gint64 sent_at)
{
	g_mutex_lock(&lock);
	if (stopped_at[machine] > 0 &&
	    sent_at > stopped_at[machine] + EXCUSED_MS &&
	    now_ms() <= stopped_at[machine] + GRACE_MS + 1000 &&
	    now_ms() < sent_at + DEADLINE_MS) {
		n_lost++;
		record("BROKEN %s, sent %" G_GINT64_FORMAT
		       " ms after the SIGTERM, has no complete answer",
		       id, sent_at - stopped_at[machine]);
	}
	g_mutex_unlock(&lock);
}

/* One request; FALSE if the channel is over. */
static gboolean ask(connection_t *connection, unsigned machine,
		    unsigned n_events)
{
	char *id = g_strdup_printf("%08x%08x", g_random_int(), g_random_int());
	char *text = g_strdup_printf(
		"POST /grade/%u HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n"
		"%s: %d\r\nAuthorization: Bearer key-of-hule\r\n"
		"Content-Length: 0\r\n\r\n",
		n_events, name_of("request_id"), id, name_of("deadline"),
		DEADLINE_MS);
	gint64 sent_at = now_ms();
	gboolean is_kept = FALSE;
	message_t *answer = NULL;

	record("sent %s to machine %u, %u events", id, machine + 1, n_events);
	if (send_text(connection->fd, text, strlen(text)))
		answer = message_read_head(connection);
	if (answer) {
		const char *close = message_field(answer, "Connection");
		gboolean is_complete = message_read_body(connection, answer);

		record("answered %s: %s, %s", id, answer->second,
		       is_complete ? "complete" : "cut");
		if (!is_complete)
			judge(machine, id, sent_at);
		g_atomic_int_add(&n_answered, is_complete);
		is_kept = is_complete && g_strcmp0(close, "close") != 0;
		message_free(answer);
	}
	g_free(text);
	g_free(id);
	return is_kept;
}

static gpointer run_usual_client(gpointer data)
{
	static const unsigned events[] = { 24, 34, 10, 24, 34 };
	unsigned number = GPOINTER_TO_UINT(data);

	sleep_ms(number * 40);
	for (unsigned i = 0;; i++) {
		unsigned machine = (number + i) % MACHINES;
		int fd = connect_to(machine_ip(machine), machine_port(),
				    DEADLINE_MS);
		connection_t *connection;

		if (fd < 0) {
			sleep_ms(100);
			continue;
		}
		connection = connection_new(fd);
		while (ask(connection, machine,
			   events[(number + i) % G_N_ELEMENTS(events)]))
			i++;
		connection_free(connection);
		sleep_ms(100);
	}
	return NULL;
}

/* Asks for two streams on one channel if it is kept. */
static gpointer run_long_client(gpointer data)
{
	unsigned machine = GPOINTER_TO_UINT(data);
	int fd = connect_to(machine_ip(machine), machine_port(), DEADLINE_MS);
	connection_t *connection;

	if (fd < 0)
		fail_to_run("a machine takes no channel");
	connection = connection_new(fd);
	if (ask(connection, machine, FIRST_EVENTS))
		ask(connection, machine, LONG_EVENTS);
	connection_free(connection);
	return NULL;
}

/* As the platform does it. */
static void stop_and_start(unsigned machine)
{
	gint64 until = now_ms() + GRACE_MS;

	g_mutex_lock(&lock);
	stopped_at[machine] = now_ms();
	g_mutex_unlock(&lock);
	machine_signal(machine, SIGTERM);
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
		{ "i-1", "model", "127.0.0.1", "zone-1", 0, answer_stream },
		{ "i-2", "model", "127.0.0.1", "zone-2", 0, answer_stream },
	};

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
	for (unsigned i = 0; i < USUAL_CLIENTS; i++)
		g_thread_unref(g_thread_new("usual", run_usual_client,
					    GUINT_TO_POINTER(i)));
	sleep_ms(BEFORE_MS);
	for (unsigned i = 0; i < MACHINES; i++) {
		g_thread_unref(g_thread_new("long", run_long_client,
					    GUINT_TO_POINTER(i)));
		sleep_ms(BUSY_MS);
		if (bed_has_trouble())
			stop_and_start(i);
		else
			sleep_ms(GRACE_MS);
		sleep_ms(PAUSE_MS);
	}
	machines_end();
	if (n_answered == 0)
		fail_to_run("nothing was answered");
	printf("%u answers complete, %u lost around planned work\n", n_answered,
	       n_lost);
	return n_lost > 0;
}
