#ifndef SR_CORE_GOSSIP_H
#define SR_CORE_GOSSIP_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_gossip_t - SWIM-style membership of the entry hosts, and rumours
 *
 * Members probe each other. A member that does not answer becomes suspect and
 * refutes the suspicion with a higher incarnation number.
 *
 * The same datagrams carry rumours: small values under (kind, key), of which
 * the higher version wins, so that merging is commutative, associative and
 * idempotent. Other modules distribute their state as rumours instead of
 * defining messages of their own.
 *
 * A node holds all members of its own failure domain and a few delegates of
 * each other domain, so that its state does not grow with the fleet. The
 * delegates of a domain are its live members with the lowest scores, which
 * all nodes compute alike. Only delegates probe, push and synchronise across
 * domains; other nodes do so to join and to announce a planned stop.
 *
 * The module does no I/O. It sends datagrams with the send callback, receives
 * them through sr_gossip_receive() and takes the time as an argument.
 */
typedef struct sr_gossip sr_gossip_t;

/** sr_rumour_kind_t - kinds of rumours; the numbers are part of the wire
 * format. */
typedef enum {
	SR_RUMOUR_CONFIG,     /* key "", version = generation, value = digest */
	SR_RUMOUR_HOST_STATE, /* key = host of an upstream or entry host; value
			       * = leaving, absent or replaced; among entry
			       * hosts of a gateway key = instance, value =
			       * what it has said of itself */
	SR_RUMOUR_RECALL,     /* key = "service/version"; never withdrawn. Among
			       * entry hosts of a gateway key = fingerprint of
			       * requests; version = even for quarantined, odd
			       * for cleared */
	SR_RUMOUR_SHARD_OWNER, /* version = epoch; key = "domain/shard" and
				* value = "node address", or for the duties of
				* the entry hosts value = address */
	SR_RUMOUR_EVIDENCE,    /* key = "node/service/version/route"; value =
				* counters. Among entry hosts of a gateway key =
				* "node@incarnation/number"; value = report on
				* an instance that ended */
	SR_RUMOUR_USAGE,       /* key = "node/account"; value = requests in
				* flight */
	SR_RUMOUR_STATUS,      /* key = node; value = generation in force and
				* whether the node drains. Among entry hosts of
				* a gateway key = failure domain, version as in
				* sr_evacuations_version() */
	SR_RUMOUR_ROLLOUT,     /* key = "service/version"; version = step */
	SR_RUMOUR_ROUTE_TABLE, /* key "", version = that of the route table */
	SR_RUMOUR_INSTANCE,    /* key = instance; version = 2 * revision of its
				* entry, plus 1 for its removal */
	SR_RUMOUR_DEMAND, /* key = node; value = demand per client account */
	SR_RUMOUR_DOMAIN_SIZE, /* key = "domain/node"; value = number of live
				* members that this delegate counts in its
				* domain */
	SR_RUMOUR_REPORTED, /* key ""; version = number after that of the last
			     * usage window whose report was sent */
	SR_RUMOUR_N_KINDS,
} sr_rumour_kind_t;

/** SR_GOSSIP_DELEGATES - number of delegates of a failure domain. */
#define SR_GOSSIP_DELEGATES 3

/**
 * sr_gossip_delegate_score - rank of a member among those of its domain
 *
 * The SR_GOSSIP_DELEGATES live members with the lowest scores are the
 * delegates of a domain.
 */
guint64 sr_gossip_delegate_score(const char *name);

/** SR_RUMOUR_VALUE_MAX - size limit of a rumour's value, in bytes. */
#define SR_RUMOUR_VALUE_MAX 512
/** SR_RUMOUR_KEY_MAX - length limit of a rumour's key, in bytes. */
#define SR_RUMOUR_KEY_MAX 224

/** SR_GOSSIP_INCARNATION_MAX - incarnations are lower than this, so that a
 * version has room for the incarnation and the state. */
#define SR_GOSSIP_INCARNATION_MAX (G_GUINT64_CONSTANT(1) << 60)

/** sr_rumour_t - a rumour; the pointers are borrowed. */
typedef struct {
	sr_rumour_kind_t kind;
	const char *key;
	guint64 version;
	const guint8 *value;
	gsize size; /* of value, in bytes */
	/* time until it expires, 0 for never; set in rumour_changed() only */
	sr_usec_t expires_in;
} sr_rumour_t;

/** sr_member_state_t - states of a member; alive and suspect ones are live. */
typedef enum {
	SR_MEMBER_ALIVE,
	SR_MEMBER_SUSPECT, /* failed a probe and may still refute */
	SR_MEMBER_LEFT,	   /* announced a planned stop */
	SR_MEMBER_DEAD,	   /* did not refute in time */
} sr_member_state_t;

/** sr_member_t - a member as this node knows it; the strings are borrowed. */
typedef struct {
	const char *name;
	const char *failure_domain;
	const char *address; /* IP:PORT of the peer RPC */
	guint64 incarnation;
	sr_member_state_t state;
} sr_member_t;

/** SR_GOSSIP_DEFAULT_RATE - default send rate in bytes per second: most of a
 * node's budget for control traffic. */
#define SR_GOSSIP_DEFAULT_RATE (6 * 1024)

/**
 * sr_gossip_options_t - options of sr_gossip_new()
 *
 * The callbacks run inside sr_gossip_tick(), sr_gossip_receive() and, for
 * send, sr_gossip_leave(). What they get is valid during the call only.
 * Callbacks other than send may be NULL.
 */
typedef struct {
	const char *name;
	const char *failure_domain;
	const char *address;  /* IP:PORT of the peer RPC */
	guint64 incarnation;  /* must grow with each start of the process */
	guint64 seed;	      /* of the random number generator */
	unsigned bytes_per_s; /* send rate; 0 for SR_GOSSIP_DEFAULT_RATE */
	/* Sends a datagram to an address. */
	void (*send)(void *user, const char *address, const guint8 *data,
		     gsize size);
	/* A rumour from a peer is new or has a higher version. Rumours that
	 * this node puts are not reported. */
	void (*rumour_changed)(void *user, const sr_rumour_t *rumour);
	/* A member was added, or its state, incarnation or address changed. */
	void (*member_changed)(void *user, const sr_member_t *member);
	/* A reported member of another domain was dropped: of other domains
	 * only the delegates and the latest dead members are held. */
	void (*member_removed)(void *user, const char *name);
	void *user; /* passed to the callbacks */
} sr_gossip_options_t;

/**
 * sr_gossip_new - create the gossip state of this node
 *
 * Copies the strings of the options. Names and the address must not be longer
 * than SR_GOSSIP_NAME_MAX bytes. Free with sr_gossip_free().
 */
sr_gossip_t *sr_gossip_new(const sr_gossip_options_t *options, sr_usec_t now);

/** sr_gossip_free - free the gossip state; NULL is allowed. */
void sr_gossip_free(sr_gossip_t *gossip);

/**
 * sr_gossip_add_seed - add an address to contact while no live member has it
 *
 * Copies the address. At most 64 addresses are kept; a new one replaces the
 * oldest.
 */
void sr_gossip_add_seed(sr_gossip_t *gossip, const char *address);

/** sr_gossip_tick - run what is due; call at least every 100 ms. */
void sr_gossip_tick(sr_gossip_t *gossip, sr_usec_t now);

/** sr_gossip_receive - process a datagram; a malformed one is only counted. */
void sr_gossip_receive(sr_gossip_t *gossip, sr_usec_t now, const guint8 *data,
		       gsize size);

/**
 * sr_gossip_put - publish a rumour
 *
 * A rumour whose version is not higher than the known one changes nothing. A
 * rumour that exceeds a size limit is refused and counted.
 *
 * A restarted node has lost its rumours while its peers still hold them.
 * Versions of rumours about the node itself therefore have to grow over
 * restarts, for example by having the incarnation in the high bits.
 *
 * ttl is the time in microseconds after which the rumour expires on all nodes,
 * counted from the last put of a higher version; 0 means that it does not
 * expire.
 */
void sr_gossip_put(sr_gossip_t *gossip, sr_usec_t now,
		   const sr_rumour_t *rumour, sr_usec_t ttl);

/**
 * sr_gossip_get - look up a rumour
 *
 * Returns FALSE if the rumour is not known. The result points into the gossip
 * state and is valid until the next call that may change it.
 */
gboolean sr_gossip_get(sr_gossip_t *gossip, sr_rumour_kind_t kind,
		       const char *key, sr_rumour_t *rumour);

/** sr_gossip_foreach_rumour - call fn for each rumour of a kind, in no
 * particular order; fn must not change the gossip state. */
void sr_gossip_foreach_rumour(sr_gossip_t *gossip, sr_rumour_kind_t kind,
			      void (*fn)(void *user, const sr_rumour_t *rumour),
			      void *user);

/** sr_gossip_foreach_member - call fn for each known member in any state,
 * this node included; fn must not change the gossip state. */
void sr_gossip_foreach_member(sr_gossip_t *gossip,
			      void (*fn)(void *user, const sr_member_t *member),
			      void *user);

/** sr_gossip_stats_t - counters since sr_gossip_new(). */
typedef struct {
	guint64 sent; /* datagrams */
	guint64 bytes_sent;
	guint64 received; /* datagrams */
	guint64 bytes_received;
	guint64 malformed; /* datagrams received */
	guint64 refuted;   /* suspicions about this node that it refuted */
	guint64 suspects;  /* members that this node marked as suspect */
	guint64 syncs;	   /* SYNC messages answered with digests */
	guint64 refused;   /* rumours put with too long a key or value */
} sr_gossip_stats_t;

/** sr_gossip_stats - the counters; owned by the gossip state. */
const sr_gossip_stats_t *sr_gossip_stats(const sr_gossip_t *gossip);

/** sr_gossip_n_records - number of members and rumours held. */
unsigned sr_gossip_n_records(const sr_gossip_t *gossip);

/**
 * sr_gossip_leave - announce a planned stop
 *
 * The node still answers probes and pushes its queues, but no longer probes
 * others. Every datagram that it sends carries its state.
 */
void sr_gossip_leave(sr_gossip_t *gossip, sr_usec_t now);

#endif
