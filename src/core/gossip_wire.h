#ifndef SR_CORE_GOSSIP_WIRE_H
#define SR_CORE_GOSSIP_WIRE_H

#include <glib.h>

#include "core/gossip.h"

/**
 * The datagrams of the gossip protocol, as serialised GVariants in little
 * endian. A datagram never exceeds SR_GOSSIP_DATAGRAM_MAX bytes, and one that
 * is not in normal form or exceeds a limit is rejected as a whole.
 */
#define SR_GOSSIP_DATAGRAM_MAX 1200

/** Longest name of a node, name of a failure domain or address, in bytes. */
#define SR_GOSSIP_NAME_MAX 64

/** Most numbers in one message. */
#define SR_GOSSIP_NUMBERS_MAX 112

/** The kind of records that carry a member; the other kinds are rumours. */
#define SR_RECORD_MEMBER 255

/** ttl_ms of a record that does not expire. */
#define SR_RECORD_FOREVER G_MAXUINT32

typedef enum {
	SR_GOSSIP_PING = 1,
	SR_GOSSIP_ACK,
	SR_GOSSIP_PING_REQUEST, /* ping the target on behalf of the sender */
	SR_GOSSIP_PUSH,		/* records only */
	SR_GOSSIP_SYNC,		/* numbers: one hash for each bucket */
	SR_GOSSIP_DIGEST,	/* numbers: see sr_gossip_digest */
	SR_GOSSIP_WANT,		/* numbers: ids of records */
	SR_GOSSIP_N_TYPES,
} sr_gossip_type_t;

typedef struct {
	guint8 kind;
	const char *key;
	guint64 version;
	guint32 ttl_ms; /* time left, or SR_RECORD_FOREVER */
	const guint8 *value;
	gsize size;
} sr_wire_record_t;

/** sr_gossip_message_t - everything but the records of a datagram. */
typedef struct {
	sr_gossip_type_t type;
	const char *sender;
	const char *domain;
	const char *address;
	guint64 incarnation;
	guint64 nonce;
	const char *target;	    /* PING, PING_REQUEST; else "" */
	const char *target_address; /* PING_REQUEST; else "" */
	const guint64 *numbers;
	gsize n_numbers;
} sr_gossip_message_t;

/** sr_gossip_encoder_t - builds one datagram. */
typedef struct {
	sr_gossip_message_t message;
	GVariantBuilder *records;
	gsize size; /* upper bound of the datagram so far */
	unsigned n_records;
} sr_gossip_encoder_t;

/** The message's fields are borrowed until sr_gossip_encoder_finish(). */
void sr_gossip_encoder_start(sr_gossip_encoder_t *encoder,
			     const sr_gossip_message_t *message);

/** sr_gossip_encoder_add - FALSE if the record does not fit any more. */
gboolean sr_gossip_encoder_add(sr_gossip_encoder_t *encoder,
			       const sr_wire_record_t *record);

/** sr_gossip_encoder_finish - the datagram; owned by the caller. */
GBytes *sr_gossip_encoder_finish(sr_gossip_encoder_t *encoder);

/** sr_gossip_datagram_t - a decoded datagram; owns what it points to. */
typedef struct {
	sr_gossip_message_t message;
	sr_wire_record_t *records;
	gsize n_records;
	GVariant *owner;
	GVariant *numbers;
	GPtrArray *parts;
} sr_gossip_datagram_t;

/** sr_gossip_decode - FALSE if it is malformed; then nothing is owned. */
gboolean sr_gossip_decode(const guint8 *data, gsize size,
			  sr_gossip_datagram_t *datagram);
void sr_gossip_datagram_clear(sr_gossip_datagram_t *datagram);

#endif
