#ifndef SR_CORE_GOSSIP_INTERNAL_H
#define SR_CORE_GOSSIP_INTERNAL_H

#include "core/gossip_table.h"

/* Shared by the parts of sr_gossip_t: merging and the public functions
 * (gossip.c), sending and queues (gossip_send.c), failure detection
 * (gossip_probe.c) and anti-entropy (gossip_sync.c). */

/* Capacity of the token bucket for sending, in bytes. It limits pushes and
 * replies of the anti-entropy; probes count against it but never wait. */
#define SR_GOSSIP_BURST (48 * 1024)

/* Queues of records to send, in order of priority. */
typedef enum {
	SR_GOSSIP_QUEUE_URGENT, /* few, small and needed by all members */
	SR_GOSSIP_QUEUE_NORMAL, /* many at a time: instances */
	SR_GOSSIP_QUEUE_BULK,	/* soon superseded by a newer version */
	SR_GOSSIP_N_QUEUES,
} sr_gossip_queue_t;

/* The probe under way. */
typedef struct {
	char *name; /* of the target; NULL if no probe is under way */
	guint64 nonce;
	sr_usec_t sent_at;
	gboolean indirect; /* ping requests were sent to other members */
} sr_gossip_probe_t;

/* A ping on behalf of another member. */
typedef struct {
	guint64 nonce;	       /* of the ping to the target */
	guint64 request_nonce; /* of the ping request */
	char *requester_address;
	sr_usec_t started_at;
} sr_gossip_relay_t;

struct sr_gossip {
	sr_gossip_options_t options; /* owns its strings */
	GRand *random;
	sr_gossip_table_t table;
	sr_gossip_record_t *self; /* owned by the table */
	sr_usec_t now;		  /* of the latest call */
	sr_usec_t started_at;
	sr_usec_t last_tick;
	gboolean has_left;		      /* sr_gossip_leave() was called */
	sr_list_t queues[SR_GOSSIP_N_QUEUES]; /* of sr_gossip_record_t */
	double send_budget;	   /* bytes left in the token bucket */
	GPtrArray *seed_addresses; /* strings, oldest first */
	GPtrArray *probe_order;	   /* names, probed from the end */
	sr_gossip_probe_t probe;
	GArray *relays; /* of sr_gossip_relay_t, oldest first */
	guint64 next_nonce;
	sr_usec_t next_probe;
	sr_usec_t next_push;
	sr_usec_t next_sync;
	sr_usec_t next_reconnect;
	sr_usec_t next_join;
	guint32 contact_index; /* round-robin over addresses to reconnect */
	sr_usec_t next_sweep;
	sr_gossip_stats_t stats;
};

/**
 * sr_gossip_merge - merge a record from a peer or from sr_gossip_put()
 *
 * A record that changes the table is queued for sending.
 */
void sr_gossip_merge(sr_gossip_t *g, const sr_wire_record_t *wire,
		     gboolean from_peer);

/**
 * sr_gossip_reduce_transmits - halve the remaining transmissions of a record
 *
 * Called for a record that a member of domain has sent: the domain has this
 * version already. Does nothing if this node has another version.
 */
void sr_gossip_reduce_transmits(sr_gossip_t *g, const sr_wire_record_t *wire,
				const char *domain);

/** sr_gossip_set_state - set a member's state, at its incarnation. */
void sr_gossip_set_state(sr_gossip_t *g, sr_gossip_record_t *record,
			 sr_member_state_t state);

/** sr_gossip_jitter - a random duration of 0.75 to 1.25 times duration. */
sr_usec_t sr_gossip_jitter(sr_gossip_t *g, sr_usec_t duration);

/* Sending (gossip_send.c) */

/** sr_gossip_enqueue - queue a new version of a record for sending. */
void sr_gossip_enqueue(sr_gossip_t *g, sr_gossip_record_t *record);

/**
 * sr_gossip_local_members - live members of the own domain
 *
 * Without this node, in random order. The caller frees the array, whose
 * records belong to the table.
 */
GPtrArray *sr_gossip_local_members(sr_gossip_t *g);

/**
 * sr_gossip_remote_delegates - one live delegate of each other domain
 *
 * In random order. The caller frees the array, whose records belong to the
 * table.
 */
GPtrArray *sr_gossip_remote_delegates(sr_gossip_t *g);

/** sr_gossip_make_message - a message from this node; borrows its strings. */
sr_gossip_message_t sr_gossip_make_message(sr_gossip_t *g,
					   sr_gossip_type_t type);

/**
 * sr_gossip_send - send a message, filled up with queued records
 *
 * domain is that of the recipient; with NULL no queued records are added.
 * first is a record to add before these, or NULL. A push without records is
 * not sent.
 */
void sr_gossip_send(sr_gossip_t *g, const char *address, const char *domain,
		    const sr_gossip_message_t *message,
		    const sr_gossip_record_t *first);

/**
 * sr_gossip_send_records - push records to an address
 *
 * Sends several datagrams, up to a limit and, unless is_urgent, while the send
 * budget lasts.
 */
void sr_gossip_send_records(sr_gossip_t *g, const char *address,
			    const GPtrArray *records, gboolean is_urgent);

/** sr_gossip_push_queued - push queued records to a few random members. */
void sr_gossip_push_queued(sr_gossip_t *g);

/** sr_gossip_refill_budget - refill the token bucket. */
void sr_gossip_refill_budget(sr_gossip_t *g, sr_usec_t elapsed);

/* Failure detection (gossip_probe.c) */

/** sr_gossip_probe_tick - run the prober; was_paused says that the process
 * did not run for a while, so that a missing ACK proves nothing. */
void sr_gossip_probe_tick(sr_gossip_t *g, gboolean was_paused);

/** sr_gossip_handle_ping - answer with an ACK if this node is the target. */
void sr_gossip_handle_ping(sr_gossip_t *g, const sr_gossip_message_t *message);

/** sr_gossip_handle_ack - end the probe, or forward the ACK to the requester
 * of a relayed ping. */
void sr_gossip_handle_ack(sr_gossip_t *g, const sr_gossip_message_t *message);

/** sr_gossip_handle_ping_request - ping the target on behalf of the sender. */
void sr_gossip_handle_ping_request(sr_gossip_t *g,
				   const sr_gossip_message_t *message);

/* Anti-entropy (gossip_sync.c) */

/** sr_gossip_sync_tick - start a synchronisation if one is due. */
void sr_gossip_sync_tick(sr_gossip_t *g);

/** sr_gossip_join_tick - ask for the members of the own domain after a start,
 * and as long as none is known. */
void sr_gossip_join_tick(sr_gossip_t *g);

/** sr_gossip_reconnect_tick - contact dead members and seeds if due. */
void sr_gossip_reconnect_tick(sr_gossip_t *g);

/** sr_gossip_handle_sync - answer with digests of the buckets that differ. */
void sr_gossip_handle_sync(sr_gossip_t *g, const sr_gossip_message_t *message);

/** sr_gossip_handle_digest - send the records that the sender lacks and request
 * those that this node lacks. */
void sr_gossip_handle_digest(sr_gossip_t *g,
			     const sr_gossip_message_t *message);

/** sr_gossip_handle_pull - send the requested records. */
void sr_gossip_handle_pull(sr_gossip_t *g, const sr_gossip_message_t *message);

#endif
