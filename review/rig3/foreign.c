/* Entries of servers that another writer replaces. */
#include "rig.h"

#include <unistd.h>

/** Interval at which a server writes its entry (heartbeat_ms), and for which
 * the other one therefore stays at most. */
#define BEAT_MS 1200

#define ENTRIES 4
#define ENTRY_GAP_MS 4000

/** Interval of a caller's requests, in ms. */
#define GAP_MS 20

typedef struct {
	rig_t *rig;
	unsigned host;
	gboolean is_keep;
	gint64 until;
	unsigned n_served;
} caller_t;

static gpointer ask_on(gpointer data)
{
	caller_t *caller = data;

	for (unsigned n = 0; rig_ms(caller->rig) < caller->until; n++) {
		rig_ask_t ask = { .size = 800,
				  .time_ms = 1500,
				  .is_keep = caller->is_keep };
		int fd = rig_connect(caller->rig, caller->host);

		g_snprintf(ask.id, sizeof(ask.id), "%s-%u-%u",
			   caller->is_keep ? "keep" : "look", caller->host, n);
		if (fd >= 0) {
			caller->n_served += rig_ask(caller->rig, fd, &ask);
			close(fd);
		}
		g_usleep(GAP_MS * 1000);
	}
	return NULL;
}

/* The entry of the last server, which writes its own again at its next beat. */
static void replace_entry(rig_t *rig)
{
	unsigned server = rig->n_servers - 1;

	rig_note(rig, "another writer replaces the entry of i-%u", server + 1);
	rig_write_foreign_entry(rig, server);
	g_usleep(BEAT_MS * 1000);
	rig_note(rig, "i-%u writes its entry", server + 1);
	rig_register_server(rig, server);
}

rig_result_t rig_play_foreign(rig_t *rig, gboolean has_trouble)
{
	caller_t callers[2 * RIG_HOSTS_MAX];
	GThread *threads[G_N_ELEMENTS(callers)];

	for (unsigned i = 0; i < G_N_ELEMENTS(callers); i++) {
		callers[i] = (caller_t){
			.rig = rig,
			.host = i % RIG_HOSTS_MAX,
			.is_keep = i >= RIG_HOSTS_MAX,
			.until = rig_ms(rig) + ENTRIES * ENTRY_GAP_MS,
		};
		threads[i] = g_thread_new("ask", ask_on, &callers[i]);
	}
	for (unsigned i = 0; has_trouble && i < ENTRIES; i++) {
		g_usleep((ENTRY_GAP_MS - BEAT_MS) * 1000 / 2);
		replace_entry(rig);
		g_usleep((ENTRY_GAP_MS - BEAT_MS) * 1000 / 2);
	}
	for (unsigned i = 0; i < G_N_ELEMENTS(callers); i++)
		g_thread_join(threads[i]);
	rig_note(rig, "%u requests of ledger were run by archive",
		 rig->n_misrouted);
	if (callers[0].n_served == 0)
		return RIG_CANNOT_RUN;
	return rig->n_misrouted > 0 ? RIG_BROKEN : RIG_HELD;
}
