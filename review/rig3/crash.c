/* Requests that crash the servers which run them. */
#include "rig.h"

#include <unistd.h>

/** Of small deployments (contact_ms), in ms. */
#define CONTACT_MS 3000

/** Retries that may reach servers from that time after the third crash on. */
#define RETRIES_ALLOWED 3

#define COPIES 8
#define VOLLEYS 8
#define VOLLEY_GAP_MS 6000

/** Interval of the sound requests to each host, in ms. */
#define SOUND_GAP_MS 50

typedef struct {
	rig_t *rig;
	unsigned host;
	rig_ask_t ask;
	gint64 until;
	unsigned n_asked;
	unsigned n_served;
} caller_t;

static gboolean ask_once(caller_t *caller)
{
	int fd = rig_connect(caller->rig, caller->host, 0);
	gboolean ok = FALSE;

	if (fd < 0)
		return FALSE;
	ok = rig_ask(caller->rig, fd, &caller->ask);
	close(fd);
	return ok;
}

static gpointer ask_for_crash(gpointer data)
{
	ask_once(data);
	return NULL;
}

static gpointer ask_soundly(gpointer data)
{
	caller_t *caller = data;

	while (rig_ms(caller->rig) < caller->until) {
		caller->ask = (rig_ask_t){ .size = 800, .time_ms = 1500 };
		g_snprintf(caller->ask.id, sizeof(caller->ask.id),
			   "sound-%u-%u", caller->host, caller->n_asked++);
		caller->n_served += ask_once(caller);
		g_usleep(SOUND_GAP_MS * 1000);
	}
	return NULL;
}

static void send_volley(rig_t *rig, unsigned volley)
{
	caller_t callers[COPIES];
	GThread *threads[COPIES];

	for (unsigned i = 0; i < COPIES; i++) {
		callers[i] =
			(caller_t){ .rig = rig, .host = i % RIG_HOSTS_MAX };
		callers[i].ask.time_ms = 1500;
		callers[i].ask.is_crash = TRUE;
		g_snprintf(callers[i].ask.id, sizeof(callers[i].ask.id),
			   "crash-%u-%u", volley, i);
		threads[i] = g_thread_new("crash", ask_for_crash, &callers[i]);
	}
	for (unsigned i = 0; i < COPIES; i++)
		g_thread_join(threads[i]);
}

/* Requests, each counted once, that reached a server so late. */
static unsigned count_late(rig_t *rig)
{
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
	gint64 from;
	unsigned n;

	g_mutex_lock(&rig->lock);
	from = rig->crash_times->len < 3 ?
		       G_MAXINT64 :
		       g_array_index(rig->crash_times, gint64, 2) + CONTACT_MS;
	for (guint i = 0; i < rig->arrivals->len; i++) {
		rig_arrival_t *arrival =
			&g_array_index(rig->arrivals, rig_arrival_t, i);

		if (arrival->at > from)
			g_hash_table_add(ids, arrival->id);
	}
	n = g_hash_table_size(ids);
	g_mutex_unlock(&rig->lock);
	g_hash_table_unref(ids);
	return n;
}

gboolean rig_play_crash(rig_t *rig, gboolean has_trouble)
{
	caller_t sound[RIG_HOSTS_MAX];
	GThread *threads[RIG_HOSTS_MAX];
	unsigned n_late;

	rig->is_crashed = has_trouble;
	for (unsigned i = 0; i < RIG_HOSTS_MAX; i++) {
		sound[i] = (caller_t){ .rig = rig, .host = i };
		sound[i].until = rig_ms(rig) + VOLLEYS * VOLLEY_GAP_MS;
		threads[i] = g_thread_new("sound", ask_soundly, &sound[i]);
	}
	for (unsigned i = 0; i < VOLLEYS; i++) {
		gint64 next = rig_ms(rig) + VOLLEY_GAP_MS;

		send_volley(rig, i);
		if (rig_ms(rig) < next)
			g_usleep((gulong)(next - rig_ms(rig)) * 1000);
	}
	for (unsigned i = 0; i < RIG_HOSTS_MAX; i++) {
		g_thread_join(threads[i]);
		rig_note(rig, "sound requests at host %u: %u of %u served", i,
			 sound[i].n_served, sound[i].n_asked);
	}
	n_late = count_late(rig);
	rig_note(rig,
		 "%u crashes; %u requests reached servers later than %u ms "
		 "after the third",
		 rig->crash_times->len, n_late, CONTACT_MS);
	return n_late > RETRIES_ALLOWED;
}
