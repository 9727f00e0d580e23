#ifndef SR_PEER_AUTH_H
#define SR_PEER_AUTH_H

#include <glib.h>

#include "base/clock.h"

/**
 * Authentication of the messages between entry hosts: a keyed MAC
 * (HMAC-SHA256) over everything that a message says, and protection against
 * replay.
 */

#define SR_MAC_SIZE 32
/** Size of the two nonces that mark a connection, in bytes. */
#define SR_SESSION_SIZE 32

typedef enum {
	SR_MESSAGE_CALL = 1,
	SR_MESSAGE_REPLY = 2,
} sr_direction_t;

/** sr_auth_key_t - what the processes of one cluster share; borrowed. */
typedef struct {
	const char *cluster;
	const guint8 *secret;
	gsize secret_size;
} sr_auth_key_t;

/** sr_mac_input_t - the parts of a message that the MAC covers. */
typedef struct {
	sr_direction_t direction;
	guint32 xid;
	guint32 procedure; /* 0 in a reply; its xid names the call */
	const char *sender;
	const char *receiver; /* address of a call, node name of a reply */
	guint64 incarnation;
	guint64 sequence;
	const guint8 *session; /* SR_SESSION_SIZE bytes, or NULL */
	const guint8 *payload;
	gsize payload_size;
} sr_mac_input_t;

void sr_mac_compute(const sr_auth_key_t *key, const sr_mac_input_t *input,
		    guint8 mac[SR_MAC_SIZE]);

/** sr_mac_equal - takes the same time wherever the two differ. */
gboolean sr_mac_equal(const guint8 *a, const guint8 *b);

/**
 * sr_replay_t - which datagrams were already taken, per sender
 *
 * A sender's incarnation does not fall, and a sequence number of one
 * incarnation is taken once. Datagrams may overtake each other by up to
 * SR_REPLAY_WINDOW numbers. A sender that was silent for SR_REPLAY_KEEP is
 * forgotten, so that a host that starts with a clock behind that of its
 * predecessor is heard after that time. What datagrams carry is merged by
 * version, which bounds what an old one can do then.
 */
typedef struct sr_replay sr_replay_t;

#define SR_REPLAY_WINDOW 64
#define SR_REPLAY_KEEP SR_MINUTE

sr_replay_t *sr_replay_new(void);
void sr_replay_free(sr_replay_t *replay);

/** sr_replay_accept - FALSE if it was taken before or is too old. */
gboolean sr_replay_accept(sr_replay_t *replay, sr_usec_t now, const char *name,
			  guint64 incarnation, guint64 sequence);

#endif
