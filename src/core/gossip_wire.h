#ifndef SR_CORE_GOSSIP_WIRE_H
#define SR_CORE_GOSSIP_WIRE_H

#include <glib.h>

#include "core/gossip.h"

/**
 * Encoding of the gossip datagrams as serialised GVariants in little endian.
 *
 * A datagram that is not in normal form or exceeds a limit is rejected as a
 * whole.
 */

/** SR_GOSSIP_DATAGRAM_MAX - size limit of a datagram, in bytes. */
#define SR_GOSSIP_DATAGRAM_MAX 1200

/** SR_GOSSIP_NAME_MAX - length limit of a node's name, a failure domain's name
 * and an address, in bytes. */
#define SR_GOSSIP_NAME_MAX 64

/** SR_GOSSIP_NUMBERS_MAX - limit of the count of numbers in a message. */
#define SR_GOSSIP_NUMBERS_MAX 112

/** SR_RECORD_MEMBER - kind of a record that describes a member; lower kinds
 * are those of rumours. */
#define SR_RECORD_MEMBER 255

/** SR_RECORD_NO_EXPIRY - ttl_ms of a record that does not expire. */
#define SR_RECORD_NO_EXPIRY G_MAXUINT32

/** sr_gossip_type_t - types of messages; each may carry records as well. */
typedef enum {
	SR_GOSSIP_PING = 1,	/* answered with ACK by the target */
	SR_GOSSIP_ACK,		/* has the nonce of the ping or ping request */
	SR_GOSSIP_PING_REQUEST, /* ping the target on behalf of the sender */
	SR_GOSSIP_PUSH,		/* records only */
	SR_GOSSIP_SYNC,		/* numbers: one hash per bucket */
	SR_GOSSIP_DIGEST,	/* numbers: bit set of the buckets that are
				 * listed completely, then id and version of
				 * each record */
	SR_GOSSIP_PULL,		/* numbers: ids of the records to send back */
	SR_GOSSIP_N_TYPES,
} sr_gossip_type_t;

/** sr_wire_record_t - a record as sent; the pointers are borrowed. */
typedef struct {
	guint8 kind; /* sr_rumour_kind_t or SR_RECORD_MEMBER */
	const char *key;
	guint64 version;
	guint32 ttl_ms; /* remaining, or SR_RECORD_NO_EXPIRY */
	const guint8 *value;
	gsize size; /* of value, in bytes */
} sr_wire_record_t;

/** sr_gossip_message_t - a datagram without its records; the pointers are
 * borrowed. */
typedef struct {
	sr_gossip_type_t type;
	const char *sender;
	const char *domain;  /* of the sender */
	const char *address; /* of the sender */
	guint64 incarnation; /* of the sender */
	guint64 nonce;
	const char *target;	    /* of PING and PING_REQUEST; else "" */
	const char *target_address; /* of PING_REQUEST; else "" */
	const guint64 *numbers;
	gsize n_numbers;
} sr_gossip_message_t;

/** sr_gossip_encoder_t - builds one datagram. */
typedef struct {
	sr_gossip_message_t message;
	GVariantBuilder *records;
	gsize size; /* upper bound of the datagram's size, in bytes */
	unsigned n_records;
} sr_gossip_encoder_t;

/** sr_gossip_encoder_start - start a datagram; the message's strings and
 * numbers must remain valid until sr_gossip_encoder_finish(). */
void sr_gossip_encoder_start(sr_gossip_encoder_t *encoder,
			     const sr_gossip_message_t *message);

/** sr_gossip_encoder_add - add a copy of a record. Returns FALSE if it does
 * not fit; the datagram is then unchanged. */
gboolean sr_gossip_encoder_add(sr_gossip_encoder_t *encoder,
			       const sr_wire_record_t *record);

/** sr_gossip_encoder_finish - return the datagram, which the caller frees, and
 * free what the encoder holds. */
GBytes *sr_gossip_encoder_finish(sr_gossip_encoder_t *encoder);

/** sr_gossip_datagram_t - a decoded datagram; owns what it points to. */
typedef struct {
	sr_gossip_message_t message;
	sr_wire_record_t *records;
	gsize n_records;
	GVariant *root;	     /* owns the strings of message */
	GVariant *numbers;   /* owns message.numbers */
	GPtrArray *children; /* GVariants that own the fields of records */
} sr_gossip_datagram_t;

/**
 * sr_gossip_decode - decode and validate a datagram
 *
 * Returns FALSE if it is malformed or exceeds a limit; there is nothing to
 * free then. Otherwise free the result with sr_gossip_datagram_clear().
 */
gboolean sr_gossip_decode(const guint8 *data, gsize size,
			  sr_gossip_datagram_t *datagram);

/** sr_gossip_datagram_clear - free what a datagram owns. */
void sr_gossip_datagram_clear(sr_gossip_datagram_t *datagram);

#endif
