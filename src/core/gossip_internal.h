#ifndef SR_CORE_GOSSIP_INTERNAL_H
#define SR_CORE_GOSSIP_INTERNAL_H

#include "core/gossip_table.h"

/* Parts of sr_gossip_t: merging and time (gossip.c), sending and queues
 * (gossip_send.c), failure detection (gossip_probe.c) and anti-entropy
 * (gossip_sync.c). */

/* Burst of what may be sent beside probes, in bytes. */
#define SR_GOSSIP_BURST (48 * 1024)

/* What is queued to be passed on, in the order in which it goes. */
typedef enum {
	SR_QUEUE_FIRST, /* small and awaited by all */
	SR_QUEUE_NEWS,	/* many at a time: instances, evidence */
	SR_QUEUE_BULK,	/* replaced soon */
	SR_N_QUEUES,
} sr_gossip_queue_t;

typedef struct {
	char *name; /* NULL if no probe is under way */
	guint64 nonce;
	sr_usec_t sent;
	gboolean asked; /* others were asked to probe, too */
} sr_probe_t;

typedef struct {
	guint64 nonce;	     /* of our own ping */
	guint64 their_nonce; /* of the request */
	char *address;	     /* who asked */
	sr_usec_t started;
} sr_relay_t;

struct sr_gossip {
	sr_gossip_options_t options; /* the strings are copies */
	GRand *random;
	sr_table_t table;
	sr_record_t *self;
	sr_usec_t now; /* of the last event */
	sr_usec_t last_tick;
	gboolean left;
	sr_list_t queues[SR_N_QUEUES]; /* records to be passed on */
	double tokens;		       /* bytes that may be sent */
	GPtrArray *seeds;	       /* addresses */
	GPtrArray *probe_order;
	sr_probe_t probe;
	GArray *relays; /* of sr_relay_t */
	guint64 next_nonce;
	sr_usec_t next_probe;
	sr_usec_t next_push;
	sr_usec_t next_sync;
	sr_usec_t next_reconnect;
	guint32 next_contact; /* whose turn it is of those that are tried */
	sr_usec_t next_sweep;
	sr_gossip_stats_t stats;
};

/** sr_gossip_merge - take a record that came in or was made here. */
void sr_gossip_merge(sr_gossip_t *g, const sr_wire_record_t *wire,
		     gboolean from_outside);

/** sr_gossip_lose_interest - a node of the domain knows what a queued record
 * says: it is told there less often. */
void sr_gossip_lose_interest(sr_gossip_t *g, const sr_wire_record_t *wire,
			     const char *domain);

/** sr_gossip_set_state - a new state for a member, at its incarnation. */
void sr_gossip_set_state(sr_gossip_t *g, sr_record_t *record,
			 sr_member_state_t state);

/** sr_gossip_jitter - 0.75 to 1.25 of a time. */
sr_usec_t sr_gossip_jitter(sr_gossip_t *g, sr_usec_t time);

/** Sending. Arrays of targets are of sr_record_t and freed by the caller. */
void sr_gossip_enqueue(sr_gossip_t *g, sr_record_t *record);
/** Live members of the own domain but this node, in random order. */
GPtrArray *sr_gossip_near(sr_gossip_t *g);
/** One live delegate of each other domain, in random order. */
GPtrArray *sr_gossip_far(sr_gossip_t *g);
sr_gossip_message_t sr_gossip_message(sr_gossip_t *g, sr_gossip_type_t type);
/** domain names where the datagram goes; NULL takes no queued records. */
void sr_gossip_send(sr_gossip_t *g, const char *address, const char *domain,
		    const sr_gossip_message_t *message,
		    const sr_record_t *first);
/** Sends records in as many datagrams as it takes, up to a limit. */
void sr_gossip_send_records(sr_gossip_t *g, const char *address,
			    const GPtrArray *records);
void sr_gossip_push(sr_gossip_t *g);
void sr_gossip_refill(sr_gossip_t *g, sr_usec_t elapsed);

/** Failure detection. */
void sr_gossip_probe_tick(sr_gossip_t *g, gboolean was_paused);
void sr_gossip_take_ping(sr_gossip_t *g, const sr_gossip_message_t *message);
void sr_gossip_take_ack(sr_gossip_t *g, const sr_gossip_message_t *message);
void sr_gossip_take_ping_request(sr_gossip_t *g,
				 const sr_gossip_message_t *message);

/** Anti-entropy. */
void sr_gossip_sync_tick(sr_gossip_t *g);
void sr_gossip_reconnect_tick(sr_gossip_t *g);
void sr_gossip_take_sync(sr_gossip_t *g, const sr_gossip_message_t *message);
void sr_gossip_take_digest(sr_gossip_t *g, const sr_gossip_message_t *message);
void sr_gossip_take_want(sr_gossip_t *g, const sr_gossip_message_t *message);

#endif
