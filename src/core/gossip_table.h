#ifndef SR_CORE_GOSSIP_TABLE_H
#define SR_CORE_GOSSIP_TABLE_H

#include "base/list.h"
#include "core/gossip_wire.h"

/**
 * sr_table_t - the records that a member of the gossip holds: members and
 * rumours alike, each under (kind, key) with the highest version seen
 *
 * A member's version is its incarnation and its state in one number, so that
 * the same rule merges both: the higher version wins.
 */

/** Most records that a table takes. */
#define SR_TABLE_MAX 32768

/** How many hashes stand for a whole table in an exchange of digests. */
#define SR_TABLE_BUCKETS 32

typedef struct sr_record {
	sr_list_t queued; /* in one of the queues, or alone */
	guint8 kind;
	char *key;
	guint64 id; /* hash of kind and key */
	guint64 version;
	guint8 *value;
	gsize size;
	sr_usec_t expires;  /* 0 for never */
	unsigned near_left; /* transmissions left in the own domain */
	unsigned far_left;  /* and to other domains */
	char *domain;	    /* members only, and so all below */
	char *address;
	gboolean told;	      /* to the owner of the gossip */
	guint64 score;	      /* the lower, the sooner a delegate */
	sr_usec_t suspect_by; /* when a suspect counts as dead */
	sr_usec_t changed;
} sr_record_t;

typedef struct {
	GHashTable *by_id;   /* id to sr_record_t */
	char *domain;	     /* the own one */
	GHashTable *members; /* domain to GPtrArray of sr_record_t */
} sr_table_t;

void sr_table_init(sr_table_t *table, const char *domain);
void sr_table_clear(sr_table_t *table);

guint64 sr_record_id(guint8 kind, const char *key);

/** A member's version and what it is made of. */
guint64 sr_member_version(guint64 incarnation, sr_member_state_t state);
sr_member_state_t sr_member_state(const sr_record_t *record);
guint64 sr_member_incarnation(const sr_record_t *record);
/** sr_member_is_live - alive, or suspect and not yet dead. */
gboolean sr_member_is_live(const sr_record_t *record);
void sr_member_view(const sr_record_t *record, sr_member_t *member);

sr_record_t *sr_table_find(const sr_table_t *table, guint8 kind,
			   const char *key);

/**
 * sr_table_merge - take a record if its version is higher than what is held
 *
 * Returns the record, or NULL if nothing changed. A member's value names its
 * failure domain and address; a malformed one changes nothing.
 */
sr_record_t *sr_table_merge(sr_table_t *table, const sr_wire_record_t *wire,
			    sr_usec_t now);

void sr_table_remove(sr_table_t *table, sr_record_t *record);

/** sr_table_of_domain - its members, by score; NULL if there are none. */
const GPtrArray *sr_table_of_domain(const sr_table_t *table,
				    const char *domain);

/** sr_table_is_delegate - among the first live ones of its domain? */
gboolean sr_table_is_delegate(const sr_table_t *table,
			      const sr_record_t *record);

/**
 * sr_table_in_scope - is the record told to members of this domain?
 *
 * Members of the own domain that are no delegates stay inside it. Dead
 * delegates of other domains are kept only to contact them again.
 */
gboolean sr_table_in_scope(const sr_table_t *table, const sr_record_t *record,
			   const char *domain);

unsigned sr_record_bucket(guint64 id);

/** sr_table_hashes - a hash of each bucket, over what is in scope. */
void sr_table_hashes(const sr_table_t *table, const char *domain,
		     guint64 hashes[SR_TABLE_BUCKETS]);

/** sr_record_to_wire - FALSE if the record is about to expire. */
gboolean sr_record_to_wire(const sr_record_t *record, sr_usec_t now,
			   sr_wire_record_t *wire);

/** sr_member_value - the value of a member's record; freed by the caller. */
GByteArray *sr_member_value(const char *domain, const char *address);

#endif
