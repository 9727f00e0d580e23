#ifndef SR_CORE_GOSSIP_H
#define SR_CORE_GOSSIP_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_gossip_t - membership of the entry hosts and the rumours they spread
 *
 * Members probe each other, suspect and refute with incarnation numbers.
 * Beside membership travel rumours: small values under (kind, key) where the
 * higher version wins, so that merging is commutative, associative and
 * idempotent. Every other module spreads what it must tell through rumours
 * and has no messages of its own for it.
 *
 * A node knows all members of its own failure domain and a few delegates of
 * each other one, so that its state does not grow with the fleet. Delegates
 * are the living members of a domain that come first in an order that every
 * node computes alike; only they talk across domains.
 *
 * The module does no I/O: datagrams leave through send() and come in through
 * sr_gossip_receive(); time comes in as an argument.
 */
typedef struct sr_gossip sr_gossip_t;

typedef enum {
	SR_RUMOUR_CONFIG,  /* key "", version = generation, value = digest */
	SR_RUMOUR_LEAVING, /* key = upstream or host that is leaving */
	SR_RUMOUR_RECALL,  /* key = "service/version"; grow-only */
	SR_RUMOUR_SHARD_OWNER, /* key = shard, or the duties of entry hosts;
				* version = epoch; value = node, of the
				* duties its address */
	SR_RUMOUR_EVIDENCE,    /* key = node/service/version/route; counters */
	SR_RUMOUR_USAGE,       /* key = node/account; requests in flight */
	SR_RUMOUR_STATUS,      /* key = node; generation in force, draining */
	SR_RUMOUR_ROLLOUT,     /* key = "service/version"; version = step */
	SR_RUMOUR_TABLE,    /* key "", version = that of the table of routes */
	SR_RUMOUR_INSTANCE, /* key = instance; version = twice the revision of
			     * its entry, and 1 more for its removal */
	SR_RUMOUR_DEMAND,   /* key = node; what accounts asked it for */
	SR_RUMOUR_LOAD,	    /* key = node; its work at instances */
	SR_RUMOUR_SIZE,	    /* key = failure domain/node; the domain's live
			     * members as one of its delegates knows them */
	SR_RUMOUR_N_KINDS,
} sr_rumour_kind_t;

/** Delegates of a failure domain. */
#define SR_GOSSIP_DELEGATES 3

/** sr_gossip_delegate_score - the live members of a domain with the lowest
 * scores are its delegates. */
guint64 sr_gossip_delegate_score(const char *name);

/** Largest value and key of a rumour, in bytes; larger ones are not taken. */
#define SR_RUMOUR_MAX 512
#define SR_RUMOUR_KEY_MAX 224

/** Incarnations stay below this, so that they fit a version with the state. */
#define SR_GOSSIP_INCARNATION_MAX (G_GUINT64_CONSTANT(1) << 60)

typedef struct {
	sr_rumour_kind_t kind;
	const char *key;
	guint64 version;
	const guint8 *value;
	gsize size;
} sr_rumour_t;

typedef enum {
	SR_MEMBER_ALIVE,
	SR_MEMBER_SUSPECT,
	SR_MEMBER_LEFT, /* a planned stop */
	SR_MEMBER_DEAD,
} sr_member_state_t;

typedef struct {
	const char *name;
	const char *failure_domain;
	const char *address; /* IP:PORT of the peer RPC */
	guint64 incarnation;
	sr_member_state_t state;
} sr_member_t;

/** Bytes that a node sends per second where no rate is set: most of what the
 * plan allows a node for control. */
#define SR_GOSSIP_RATE (6 * 1024)

typedef struct {
	const char *name;
	const char *failure_domain;
	const char *address;
	guint64 incarnation;  /* must grow with each start of the process */
	guint64 seed;	      /* of the random choices */
	unsigned bytes_per_s; /* sent at most; 0 for SR_GOSSIP_RATE */
	void (*send)(void *user, const char *address, const guint8 *data,
		     gsize size);
	/* a rumour that is new here, or a higher version of a known one */
	void (*heard)(void *user, const sr_rumour_t *rumour);
	void (*member_changed)(void *user, const sr_member_t *member);
	/* one of another domain is not held any more: it is no delegate */
	void (*member_forgotten)(void *user, const char *name);
	void *user;
} sr_gossip_options_t;

sr_gossip_t *sr_gossip_new(const sr_gossip_options_t *options, sr_usec_t now);
void sr_gossip_free(sr_gossip_t *gossip);

/** sr_gossip_seed - an address to contact until its member is known. */
void sr_gossip_seed(sr_gossip_t *gossip, const char *address);

/** sr_gossip_tick - run what is due; call at least every 100 ms. */
void sr_gossip_tick(sr_gossip_t *gossip, sr_usec_t now);

/** sr_gossip_receive - a datagram came in; a malformed one changes nothing. */
void sr_gossip_receive(sr_gossip_t *gossip, sr_usec_t now, const guint8 *data,
		       gsize size);

/**
 * sr_gossip_put - spread a rumour; one that is not newer changes nothing
 *
 * A node that restarts has forgotten its own rumours while the others have
 * not: what a node says of itself needs a version that also grows over its
 * restarts, for example one that begins with the incarnation.
 *
 * ttl is how long it is kept after it was last raised here; 0 keeps it.
 */
void sr_gossip_put(sr_gossip_t *gossip, sr_usec_t now,
		   const sr_rumour_t *rumour, sr_usec_t ttl);

/** sr_gossip_get - returns FALSE if the rumour is not known. */
gboolean sr_gossip_get(sr_gossip_t *gossip, sr_rumour_kind_t kind,
		       const char *key, sr_rumour_t *rumour);

void sr_gossip_foreach(sr_gossip_t *gossip, sr_rumour_kind_t kind,
		       void (*fn)(void *user, const sr_rumour_t *rumour),
		       void *user);

/** sr_gossip_foreach_member - all that are known, this node among them. */
void sr_gossip_foreach_member(sr_gossip_t *gossip,
			      void (*fn)(void *user, const sr_member_t *member),
			      void *user);

/** Counters since the start. */
typedef struct {
	guint64 sent;
	guint64 bytes_sent;
	guint64 received;
	guint64 bytes_received;
	guint64 malformed;
	guint64 refuted;  /* others held this node for suspect or dead */
	guint64 suspects; /* that this node's own probes began */
	guint64 syncs;	  /* exchanges of digests that found a difference */
	guint64 refused;  /* rumours that found no room */
} sr_gossip_stats_t;

const sr_gossip_stats_t *sr_gossip_stats(const sr_gossip_t *gossip);

/** sr_gossip_n_records - members and rumours that are held. */
unsigned sr_gossip_n_records(const sr_gossip_t *gossip);

/** sr_gossip_leave - tell the others of a planned stop. */
void sr_gossip_leave(sr_gossip_t *gossip, sr_usec_t now);

#endif
