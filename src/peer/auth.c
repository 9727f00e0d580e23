#include "peer/auth.h"

#include <string.h>

/* The anti-replay window of one sender. */
typedef struct {
	guint64 incarnation;
	guint64 highest_sequence;
	guint64 accepted; /* bit i stands for highest_sequence - i */
	sr_usec_t last_seen;
} sender_t;

struct sr_replay_filter {
	GHashTable *senders; /* name to sender_t */
	sr_usec_t last_sweep;
};

static void mac_add_uint64(GHmac *hmac, guint64 number)
{
	guint64 big_endian = GUINT64_TO_BE(number);

	g_hmac_update(hmac, (const guchar *)&big_endian, sizeof(big_endian));
}

/* The length prefix keeps two adjacent fields from being split differently
 * under the same MAC. */
static void mac_add_bytes(GHmac *hmac, const void *data, gsize size)
{
	mac_add_uint64(hmac, size);
	if (size)
		g_hmac_update(hmac, data, (gssize)size);
}

static void mac_add_string(GHmac *hmac, const char *text)
{
	mac_add_bytes(hmac, text, strlen(text));
}

void sr_mac_compute(const sr_auth_key_t *key, const sr_mac_input_t *input,
		    guint8 mac[SR_MAC_SIZE])
{
	GHmac *hmac =
		g_hmac_new(G_CHECKSUM_SHA256, key->secret, key->secret_size);
	gsize size = SR_MAC_SIZE;

	mac_add_string(hmac, key->cluster);
	mac_add_uint64(hmac, input->direction);
	mac_add_uint64(hmac, input->xid);
	mac_add_uint64(hmac, input->procedure);
	mac_add_string(hmac, input->sender);
	mac_add_string(hmac, input->receiver);
	mac_add_uint64(hmac, input->incarnation);
	mac_add_uint64(hmac, input->sequence);
	mac_add_bytes(hmac, input->session,
		      input->session ? SR_SESSION_SIZE : 0);
	mac_add_bytes(hmac, input->payload, input->payload_size);
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

sr_replay_filter_t *sr_replay_filter_new(void)
{
	sr_replay_filter_t *filter = g_new0(sr_replay_filter_t, 1);

	filter->senders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return filter;
}

void sr_replay_filter_free(sr_replay_filter_t *filter)
{
	if (!filter)
		return;
	g_hash_table_unref(filter->senders);
	g_free(filter);
}

static gboolean is_expired(gpointer key, gpointer value, gpointer user)
{
	const sender_t *sender = value;
	const sr_usec_t *now = user;

	return *now - sender->last_seen > SR_REPLAY_EXPIRY;
}

/* Runs at most once per SR_REPLAY_EXPIRY. */
static void remove_expired(sr_replay_filter_t *filter, sr_usec_t now)
{
	if (now - filter->last_sweep < SR_REPLAY_EXPIRY)
		return;
	filter->last_sweep = now;
	g_hash_table_foreach_remove(filter->senders, is_expired, &now);
}

/* Returns FALSE for a number that was accepted before or is too old. */
static gboolean accept_sequence(sender_t *sender, guint64 sequence)
{
	guint64 bit;

	if (sequence > sender->highest_sequence) {
		guint64 step = sequence - sender->highest_sequence;

		sender->accepted =
			step < SR_REPLAY_WINDOW ? sender->accepted << step : 0;
		sender->accepted |= 1;
		sender->highest_sequence = sequence;
		return TRUE;
	}
	if (sender->highest_sequence - sequence >= SR_REPLAY_WINDOW)
		return FALSE;
	bit = G_GUINT64_CONSTANT(1) << (sender->highest_sequence - sequence);
	if (sender->accepted & bit)
		return FALSE;
	sender->accepted |= bit;
	return TRUE;
}

gboolean sr_replay_filter_accept(sr_replay_filter_t *filter, sr_usec_t now,
				 const char *name, guint64 incarnation,
				 guint64 sequence)
{
	sender_t *sender;

	remove_expired(filter, now);
	sender = g_hash_table_lookup(filter->senders, name);
	if (!sender) {
		sender = g_new0(sender_t, 1);
		g_hash_table_insert(filter->senders, g_strdup(name), sender);
	} else if (incarnation < sender->incarnation &&
		   now - sender->last_seen <= SR_REPLAY_EXPIRY) {
		return FALSE;
	}
	if (incarnation != sender->incarnation) {
		sender->incarnation = incarnation;
		sender->highest_sequence = 0;
		sender->accepted = 0;
	}
	sender->last_seen = now;
	return accept_sequence(sender, sequence);
}
