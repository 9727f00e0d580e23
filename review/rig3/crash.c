/* Requests that crash the servers which run them. */
#include "rig.h"

#include <unistd.h>

/** Of small deployments (contact_ms), in ms. */
#define CONTACT_MS 3000

/** Retries that may reach servers from that time after the third crash on. */
#define RETRIES_ALLOWED 3

#define COPIES 8

/** Time to connect before the copies are sent, in ms. */
#define START_DELAY_MS 50

/** Requests that crash servers, one after the other, and how often each comes.
 */
#define KINDS 4
#define VOLLEYS 2
#define VOLLEY_GAP_MS 6000

/** Interval of the sound requests to each host, in ms. */
#define SOUND_GAP_MS 50

typedef struct {
	rig_t *rig;
	unsigned host;
	rig_ask_t ask;
	gint64 start_at; /* of a copy, which is sent with the others */
	gint64 until;
	unsigned n_asked;
	unsigned n_served;
} caller_t;

static gboolean ask_once(caller_t *caller)
{
	int fd = rig_connect(caller->rig, caller->host);
	gboolean ok = FALSE;

	if (fd < 0)
		return FALSE;
	if (caller->start_at > rig_ms(caller->rig))
		g_usleep((gulong)(caller->start_at - rig_ms(caller->rig)) *
			 1000);
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

static void send_volley(rig_t *rig, unsigned kind, unsigned volley)
{
	caller_t callers[COPIES];
	GThread *threads[COPIES];
	gint64 start_at = rig_ms(rig) + START_DELAY_MS;

	for (unsigned i = 0; i < COPIES; i++) {
		callers[i] =
			(caller_t){ .rig = rig, .host = i % RIG_HOSTS_MAX };
		callers[i].start_at = start_at;
		callers[i].ask.time_ms = 1500;
		callers[i].ask.is_crash = TRUE;
		callers[i].ask.kind = kind;
		g_snprintf(callers[i].ask.id, sizeof(callers[i].ask.id),
			   "crash-%u-%u-%u", kind, volley, i);
		threads[i] = g_thread_new("crash", ask_for_crash, &callers[i]);
	}
	for (unsigned i = 0; i < COPIES; i++)
		g_thread_join(threads[i]);
}

static gboolean is_of_kind(const rig_arrival_t *arrival, unsigned kind)
{
	char *prefix = g_strdup_printf("crash-%u-", kind);
	gboolean is_it = g_str_has_prefix(arrival->id, prefix);

	g_free(prefix);
	return is_it;
}

/* Time of the third crash under a kind; G_MAXINT64 before it. */
static gint64 third_crash(const rig_t *rig, unsigned kind)
{
	unsigned n = 0;

	for (guint i = 0; i < rig->crashes->len; i++) {
		const rig_arrival_t *arrival =
			&g_array_index(rig->crashes, rig_arrival_t, i);

		if (is_of_kind(arrival, kind) && ++n == 3)
			return arrival->at;
	}
	return G_MAXINT64 - CONTACT_MS;
}

/* Requests of a kind, each counted once, that reached a server so late. */
static unsigned count_late(rig_t *rig, unsigned kind)
{
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
	gint64 from;
	unsigned n;

	g_mutex_lock(&rig->lock);
	from = third_crash(rig, kind) + CONTACT_MS;
	for (guint i = 0; i < rig->arrivals->len; i++) {
		rig_arrival_t *arrival =
			&g_array_index(rig->arrivals, rig_arrival_t, i);

		if (is_of_kind(arrival, kind) && arrival->at > from)
			g_hash_table_add(ids, arrival->id);
	}
	n = g_hash_table_size(ids);
	g_mutex_unlock(&rig->lock);
	g_hash_table_unref(ids);
	return n;
}

static void send_volleys(rig_t *rig)
{
	for (unsigned i = 0; i < KINDS * VOLLEYS; i++) {
		gint64 next = rig_ms(rig) + VOLLEY_GAP_MS;

		send_volley(rig, i / VOLLEYS, i % VOLLEYS);
		if (rig_ms(rig) < next)
			g_usleep((gulong)(next - rig_ms(rig)) * 1000);
	}
}

rig_result_t rig_play_crash(rig_t *rig, gboolean has_trouble)
{
	caller_t sound[RIG_HOSTS_MAX];
	GThread *threads[RIG_HOSTS_MAX];
	gboolean is_broken = FALSE;

	rig->is_crashed = has_trouble;
	for (unsigned i = 0; i < RIG_HOSTS_MAX; i++) {
		sound[i] = (caller_t){ .rig = rig, .host = i };
		sound[i].until = rig_ms(rig) + KINDS * VOLLEYS * VOLLEY_GAP_MS;
		threads[i] = g_thread_new("sound", ask_soundly, &sound[i]);
	}
	send_volleys(rig);
	for (unsigned i = 0; i < RIG_HOSTS_MAX; i++) {
		g_thread_join(threads[i]);
		rig_note(rig, "sound requests at host %u: %u of %u served", i,
			 sound[i].n_served, sound[i].n_asked);
	}
	for (unsigned kind = 0; kind < KINDS; kind++) {
		unsigned n = count_late(rig, kind);

		rig_note(rig,
			 "kind %u: %u requests reached servers later than "
			 "%u ms after the third crash",
			 kind, n, CONTACT_MS);
		is_broken |= n > RETRIES_ALLOWED;
	}
	rig_note(rig, "%u crashes", rig->crashes->len);
	if (sound[0].n_served == 0)
		return RIG_CANNOT_RUN;
	return is_broken ? RIG_BROKEN : RIG_HELD;
}
