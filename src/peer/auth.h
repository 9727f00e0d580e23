#ifndef SR_PEER_AUTH_H
#define SR_PEER_AUTH_H

#include <glib.h>

#include "base/clock.h"

/**
 * Authentication of messages between entry hosts: an HMAC-SHA256 over all
 * fields of a message, and replay protection for datagrams and hellos. A hello
 * is the first call on a connection; it exchanges the nonces of the session.
 */

/** Size of a MAC, in bytes. */
#define SR_MAC_SIZE 32
/** Size of a connection's session, in bytes: the nonce of the connecting host,
 * then that of the accepting host. */
#define SR_SESSION_SIZE 32

/** sr_message_direction_t - call or reply; the MAC covers it. */
typedef enum {
	SR_MESSAGE_CALL = 1,
	SR_MESSAGE_REPLY = 2,
} sr_message_direction_t;

/** sr_auth_key_t - id and secret of a cluster; pointers are borrowed. */
typedef struct {
	const char *cluster;
	const guint8 *secret;
	gsize secret_size;
} sr_auth_key_t;

/** sr_mac_input_t - the message fields that the MAC covers; borrowed. */
typedef struct {
	sr_message_direction_t direction;
	guint32 xid;
	guint32 procedure; /* 0 in a reply, whose xid identifies the call */
	const char *sender;
	const char *receiver; /* address for a call, node name for a reply */
	guint64 incarnation;
	guint64 sequence;
	const guint8 *session; /* SR_SESSION_SIZE bytes, or NULL */
	const guint8 *payload;
	gsize payload_size;
} sr_mac_input_t;

/** sr_mac_compute - write the MAC of a message to mac. */
void sr_mac_compute(const sr_auth_key_t *key, const sr_mac_input_t *input,
		    guint8 mac[SR_MAC_SIZE]);

/** sr_mac_equal - compare two MACs in constant time. */
gboolean sr_mac_equal(const guint8 *a, const guint8 *b);

/**
 * sr_replay_filter_t - rejects replayed messages, per sender
 *
 * A message is rejected if its incarnation is lower than the sender's last
 * one, if its sequence number was already accepted in this incarnation, or if
 * that number is SR_REPLAY_WINDOW or more below the highest accepted one.
 * Messages may be reordered within that window.
 *
 * The state of a sender expires SR_REPLAY_EXPIRY after its last message, so
 * that a host which restarts with a clock behind that of its predecessor, and
 * thus with a lower incarnation, is accepted again. An old message can then be
 * replayed; the contents of datagrams are merged by version, which limits its
 * effect.
 */
typedef struct sr_replay_filter sr_replay_filter_t;

/** Width of the window for reordered messages, in sequence numbers. */
#define SR_REPLAY_WINDOW 64
/** Time after which a silent sender's state expires. */
#define SR_REPLAY_EXPIRY SR_MINUTE

/** sr_replay_filter_new - create a filter without senders; never NULL. */
sr_replay_filter_t *sr_replay_filter_new(void);

/** sr_replay_filter_free - free a filter; NULL is allowed. */
void sr_replay_filter_free(sr_replay_filter_t *filter);

/**
 * sr_replay_filter_accept - check a message of a sender and record it
 *
 * Returns FALSE if the message is a replay or too old; it must be dropped. Call
 * it for authenticated messages only.
 */
gboolean sr_replay_filter_accept(sr_replay_filter_t *filter, sr_usec_t now,
				 const char *name, guint64 incarnation,
				 guint64 sequence);

#endif
