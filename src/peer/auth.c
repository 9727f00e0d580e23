#include "peer/auth.h"

#include <string.h>

typedef struct {
	guint64 incarnation;
	guint64 highest;
	guint64 taken; /* bit i: sequence highest - i was taken */
	sr_usec_t heard;
} sender_t;

struct sr_replay {
	GHashTable *senders; /* name to sender_t */
	sr_usec_t swept;
};

static void mac_number(GHmac *hmac, guint64 number)
{
	guint64 big = GUINT64_TO_BE(number);

	g_hmac_update(hmac, (const guchar *)&big, sizeof(big));
}

/* The length goes first, so that two fields cannot be split elsewhere. */
static void mac_bytes(GHmac *hmac, const void *data, gsize size)
{
	mac_number(hmac, size);
	if (size)
		g_hmac_update(hmac, data, (gssize)size);
}

static void mac_text(GHmac *hmac, const char *text)
{
	mac_bytes(hmac, text, strlen(text));
}

void sr_mac_compute(const sr_auth_key_t *key, const sr_mac_input_t *input,
		    guint8 mac[SR_MAC_SIZE])
{
	GHmac *hmac =
		g_hmac_new(G_CHECKSUM_SHA256, key->secret, key->secret_size);
	gsize size = SR_MAC_SIZE;

	mac_text(hmac, key->cluster);
	mac_number(hmac, input->direction);
	mac_number(hmac, input->xid);
	mac_number(hmac, input->procedure);
	mac_text(hmac, input->sender);
	mac_text(hmac, input->receiver);
	mac_number(hmac, input->incarnation);
	mac_number(hmac, input->sequence);
	mac_bytes(hmac, input->session, input->session ? SR_SESSION_SIZE : 0);
	mac_bytes(hmac, input->payload, input->payload_size);
	g_hmac_get_digest(hmac, mac, &size);
	g_assert(size == SR_MAC_SIZE);
	g_hmac_unref(hmac);
}

gboolean sr_mac_equal(const guint8 *a, const guint8 *b)
{
	guint8 difference = 0;

	for (unsigned i = 0; i < SR_MAC_SIZE; i++)
		difference |= a[i] ^ b[i];
	return difference == 0;
}

sr_replay_t *sr_replay_new(void)
{
	sr_replay_t *replay = g_new0(sr_replay_t, 1);

	replay->senders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return replay;
}

void sr_replay_free(sr_replay_t *replay)
{
	if (!replay)
		return;
	g_hash_table_unref(replay->senders);
	g_free(replay);
}

static gboolean is_stale(gpointer key, gpointer value, gpointer user)
{
	const sender_t *sender = value;
	const sr_usec_t *now = user;

	return *now - sender->heard > SR_REPLAY_KEEP;
}

static void sweep(sr_replay_t *replay, sr_usec_t now)
{
	if (now - replay->swept < SR_REPLAY_KEEP)
		return;
	replay->swept = now;
	g_hash_table_foreach_remove(replay->senders, is_stale, &now);
}

static gboolean take(sender_t *sender, guint64 sequence)
{
	guint64 bit;

	if (sequence > sender->highest) {
		guint64 step = sequence - sender->highest;

		sender->taken =
			step < SR_REPLAY_WINDOW ? sender->taken << step : 0;
		sender->taken |= 1;
		sender->highest = sequence;
		return TRUE;
	}
	if (sender->highest - sequence >= SR_REPLAY_WINDOW)
		return FALSE;
	bit = G_GUINT64_CONSTANT(1) << (sender->highest - sequence);
	if (sender->taken & bit)
		return FALSE;
	sender->taken |= bit;
	return TRUE;
}

gboolean sr_replay_accept(sr_replay_t *replay, sr_usec_t now, const char *name,
			  guint64 incarnation, guint64 sequence)
{
	sender_t *sender;

	sweep(replay, now);
	sender = g_hash_table_lookup(replay->senders, name);
	if (!sender) {
		sender = g_new0(sender_t, 1);
		g_hash_table_insert(replay->senders, g_strdup(name), sender);
	} else if (incarnation < sender->incarnation &&
		   now - sender->heard <= SR_REPLAY_KEEP) {
		return FALSE;
	}
	if (incarnation != sender->incarnation) {
		sender->incarnation = incarnation;
		sender->highest = 0;
		sender->taken = 0;
	}
	sender->heard = now;
	return take(sender, sequence);
}
