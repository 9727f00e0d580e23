/* Callers that pause in an answer. */
#include "rig.h"

#include <unistd.h>

#define CALLERS 6

#define ANSWER_BYTES 500000
#define PAUSE_MS 4000

/** Time limit of the callers, in ms. */
#define LIMIT_MS 9500

/** Answers cut off that the rule allows. */
#define CUT_ALLOWED 3

typedef struct {
	rig_t *rig;
	unsigned number;
	rig_ask_t ask;
	gboolean is_connected;
	gboolean is_complete;
} caller_t;

/* Asks for a small answer first, so that the connection is a kept one. */
static gpointer call(gpointer data)
{
	caller_t *caller = data;
	rig_t *rig = caller->rig;
	rig_ask_t first = { .size = 800, .time_ms = 1500 };
	int fd = rig_connect(rig, 0);

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

/* The channel ended without a complete answer, though the server has run the
 * request, and before the caller's time limit. */
static gboolean is_cut(const caller_t *caller)
{
	const rig_ask_t *ask = &caller->ask;

	return !caller->is_complete && rig_has_run(caller->rig, ask->id) &&
	       ask->ended_at < ask->sent_at + ask->time_ms;
}

rig_result_t rig_play_pause(rig_t *rig, gboolean has_trouble)
{
	caller_t callers[CALLERS];
	GThread *threads[CALLERS];
	unsigned n_connected = 0;
	unsigned n_cut = 0;

	for (unsigned i = 0; i < CALLERS; i++) {
		callers[i] = (caller_t){ .rig = rig, .number = i };
		callers[i].ask.size = ANSWER_BYTES;
		callers[i].ask.time_ms = LIMIT_MS;
		callers[i].ask.pause_ms = has_trouble ? PAUSE_MS : 0;
		threads[i] = g_thread_new("call", call, &callers[i]);
	}
	for (unsigned i = 0; i < CALLERS; i++) {
		g_thread_join(threads[i]);
		n_connected += callers[i].is_connected;
		n_cut += callers[i].is_connected && is_cut(&callers[i]);
	}
	rig_note(rig, "%u of %u answers were cut off", n_cut, n_connected);
	if (n_connected < CALLERS)
		return RIG_CANNOT_RUN;
	return n_cut > CUT_ALLOWED ? RIG_BROKEN : RIG_HELD;
}
