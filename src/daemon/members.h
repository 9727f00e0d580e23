#ifndef SR_DAEMON_MEMBERS_H
#define SR_DAEMON_MEMBERS_H

#include "core/gossip.h"

/**
 * sr_members_t - the live entry hosts, as gossip tells of them
 *
 * This node itself is always one of them. A node knows all hosts of its own
 * failure domain and the delegates of the others. What has one owner in the
 * whole fleet is owned by a delegate, as only those are known to all.
 */
typedef struct sr_members sr_members_t;

typedef struct {
	const char *node;
	const char *failure_domain;
	const char *address; /* IP:PORT of the peer RPC */
	guint64 seed;	     /* of the random choices */
} sr_members_options_t;

sr_members_t *sr_members_new(const sr_members_options_t *options);
void sr_members_free(sr_members_t *members);

/** sr_members_update - a member changed; TRUE if the live ones did. */
gboolean sr_members_update(sr_members_t *members, const sr_member_t *member);

/** sr_members_forget - a node is not known any more; TRUE if it was. */
gboolean sr_members_forget(sr_members_t *members, const char *node);

/** sr_members_is_alive - whether a node is live as far as is known. */
gboolean sr_members_is_alive(const sr_members_t *members, const char *node);

/** sr_members_address - peer address of a live node, or NULL; borrowed. */
const char *sr_members_address(const sr_members_t *members, const char *node);

/** sr_members_set_sizes - how many live nodes the failure domains have, as
 * their delegates tell: name -> GUINT_TO_POINTER; a reference is taken. */
void sr_members_set_sizes(sr_members_t *members, GHashTable *sizes);

/** sr_members_count - live nodes of all failure domains, also those that are
 * known by the sizes only. */
unsigned sr_members_count(const sr_members_t *members);

/** sr_members_count_own - live nodes of this node's failure domain. */
unsigned sr_members_count_own(const sr_members_t *members);

/** sr_members_is_delegate - whether this node speaks for its domain. */
gboolean sr_members_is_delegate(const sr_members_t *members);

/** sr_members_count_domains - failure domains with a live node. */
unsigned sr_members_count_domains(const sr_members_t *members);

/**
 * sr_members_of_domain - names of the live nodes of a failure domain
 *
 * Sorted, borrowed until the next change; caller unrefs the array.
 */
GPtrArray *sr_members_of_domain(const sr_members_t *members,
				const char *failure_domain);

/**
 * sr_members_owner - which live node of a failure domain should own a thing
 *
 * Every node with the same members computes the same owner, and a change of
 * one member moves only what that member owns. NULL if there is none.
 */
const char *sr_members_owner(const sr_members_t *members,
			     const char *failure_domain, const char *thing);

/** sr_members_rank - how many live delegates should rather own a thing; all of
 * them if this node is none. */
unsigned sr_members_rank(const sr_members_t *members, const char *thing);

/**
 * sr_members_owners - addresses of the first n live delegates that should own
 * a thing, without this node's; borrowed, caller unrefs the array
 */
GPtrArray *sr_members_owners(const sr_members_t *members, const char *thing,
			     unsigned n);

/** sr_members_pick - address of a random other live node; NULL if alone. */
const char *sr_members_pick(sr_members_t *members);

#endif
