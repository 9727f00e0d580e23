#ifndef SR_CORE_GOSSIP_TABLE_H
#define SR_CORE_GOSSIP_TABLE_H

#include "base/list.h"
#include "core/gossip_wire.h"

/**
 * sr_gossip_table_t - the members and rumours that a node holds
 *
 * There is one record per (kind, key), with the highest version seen. The
 * version of a member has the incarnation in the high bits and the state in
 * the low bits, so that members are merged by the same rule as rumours: the
 * higher version wins.
 */

/** SR_GOSSIP_TABLE_MAX - limit of the number of records in a table. */
#define SR_GOSSIP_TABLE_MAX 32768

/** SR_GOSSIP_BUCKETS - number of hashes that summarise a table in a SYNC. */
#define SR_GOSSIP_BUCKETS 32

/** SR_MEMBER_STATE_BITS, SR_MEMBER_STATE_MASK - the state in the low bits of a
 * member's version. */
#define SR_MEMBER_STATE_BITS 2
#define SR_MEMBER_STATE_MASK 3

/** sr_gossip_record_t - a member or rumour; owned by its table. */
typedef struct sr_gossip_record {
	sr_list_t queue_link; /* in one of the send queues, or unlinked */
	guint8 kind;	      /* sr_rumour_kind_t or SR_RECORD_MEMBER */
	char *key;
	guint64 id; /* hash of kind and key */
	guint64 version;
	guint8 *value;
	gsize size;		   /* of value, in bytes */
	sr_usec_t expires_at;	   /* 0 for never */
	unsigned local_transmits;  /* left to send in the own domain */
	unsigned remote_transmits; /* left to send to other domains */
	/* for members only: */
	char *domain;
	char *address;
	gboolean reported; /* to the member_changed callback */
	guint64 delegate_score;
	sr_usec_t suspect_deadline; /* a suspect is dead from then on */
	sr_usec_t changed_at;
} sr_gossip_record_t;

typedef struct {
	GHashTable *by_id; /* id to sr_gossip_record_t, owned */
	char *own_domain;
	GHashTable *members_by_domain; /* domain to GPtrArray of records, by
					* ascending delegate score */
} sr_gossip_table_t;

/** sr_gossip_table_init - initialise an empty table of a node in domain. */
void sr_gossip_table_init(sr_gossip_table_t *table, const char *domain);

/** sr_gossip_table_clear - free the records and what else a table owns. */
void sr_gossip_table_clear(sr_gossip_table_t *table);

/** sr_gossip_record_id - hash of kind and key; the same on all nodes. */
guint64 sr_gossip_record_id(guint8 kind, const char *key);

/** sr_member_version - the version of a member with this incarnation and
 * state. Of the states of one incarnation LEFT overrides DEAD, DEAD overrides
 * SUSPECT and SUSPECT overrides ALIVE. */
guint64 sr_member_version(guint64 incarnation, sr_member_state_t state);

/** sr_member_state - the state in the version of a member's record. */
sr_member_state_t sr_member_state(const sr_gossip_record_t *record);

/** sr_member_incarnation - the incarnation in the version of a member's
 * record. */
guint64 sr_member_incarnation(const sr_gossip_record_t *record);

/** sr_member_is_live - TRUE if a member is alive or suspect. */
gboolean sr_member_is_live(const sr_gossip_record_t *record);

/** sr_gossip_record_to_member - describe a member; borrows the strings of the
 * record. */
void sr_gossip_record_to_member(const sr_gossip_record_t *record,
				sr_member_t *member);

/** sr_gossip_table_find - look up a record; NULL if there is none. */
sr_gossip_record_t *sr_gossip_table_find(const sr_gossip_table_t *table,
					 guint8 kind, const char *key);

/**
 * sr_gossip_table_merge - add a record, or update it to a higher version
 *
 * Returns the record, which the table owns. Returns NULL if nothing changed:
 * the version is not higher, the table is full, the id belongs to another key,
 * or the value of a member is malformed.
 */
sr_gossip_record_t *sr_gossip_table_merge(sr_gossip_table_t *table,
					  const sr_wire_record_t *wire,
					  sr_usec_t now);

/** sr_gossip_table_remove - remove and free a record. */
void sr_gossip_table_remove(sr_gossip_table_t *table,
			    sr_gossip_record_t *record);

/** sr_gossip_table_domain_members - the members of a domain in any state, by
 * ascending delegate score; NULL if there are none. Owned by the table. */
const GPtrArray *sr_gossip_table_domain_members(const sr_gossip_table_t *table,
						const char *domain);

/** sr_gossip_table_is_delegate - TRUE if the member is one of the first
 * SR_GOSSIP_DELEGATES live members of its domain. */
gboolean sr_gossip_table_is_delegate(const sr_gossip_table_t *table,
				     const sr_gossip_record_t *record);

/**
 * sr_gossip_table_in_scope - whether members of domain are sent a record
 *
 * Rumours and live delegates are in scope for all domains. The other members of
 * the own domain are in scope only inside it, also those that are not live.
 * Members of other domains that are not live are never in scope.
 */
gboolean sr_gossip_table_in_scope(const sr_gossip_table_t *table,
				  const sr_gossip_record_t *record,
				  const char *domain);

/** sr_gossip_record_bucket - index of the bucket that an id belongs to. */
unsigned sr_gossip_record_bucket(guint64 id);

/** sr_gossip_table_hashes - hash the ids and versions in each bucket, of the
 * records that are in scope for domain. */
void sr_gossip_table_hashes(const sr_gossip_table_t *table, const char *domain,
			    guint64 hashes[SR_GOSSIP_BUCKETS]);

/** sr_gossip_record_to_wire - fill in the wire form, which borrows from the
 * record. Returns FALSE if the record expires too soon to be sent. */
gboolean sr_gossip_record_to_wire(const sr_gossip_record_t *record,
				  sr_usec_t now, sr_wire_record_t *wire);

/** sr_gossip_encode_member - encode the value of a member's record; the caller
 * frees it. */
GByteArray *sr_gossip_encode_member(const char *domain, const char *address);

#endif
