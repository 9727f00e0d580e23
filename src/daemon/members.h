#ifndef SR_DAEMON_MEMBERS_H
#define SR_DAEMON_MEMBERS_H

#include "core/gossip.h"

/**
 * sr_members_t - the live entry hosts known from gossip
 *
 * This node itself is always a live member. A node knows all live members of
 * its own failure domain and the delegates of the other domains. Keys with one
 * owner in the whole fleet are therefore owned by delegates, the only members
 * that all nodes know.
 */
typedef struct sr_members sr_members_t;

/** sr_members_options_t - options of sr_members_new(). */
typedef struct {
	const char *node;
	const char *failure_domain;
	const char *address; /* IP:PORT of the peer RPC */
	guint64 seed;	     /* of the random number generator */
} sr_members_options_t;

/**
 * sr_members_new - create a member list that holds only this node
 *
 * Copies the strings of the options. Free with sr_members_free().
 */
sr_members_t *sr_members_new(const sr_members_options_t *options);

/** sr_members_free - free the member list; NULL is allowed. */
void sr_members_free(sr_members_t *members);

/**
 * sr_members_update - apply a membership change reported by the gossip
 *
 * Returns TRUE if the live members, or the address or failure domain of one,
 * changed. Changes of this node itself are ignored.
 */
gboolean sr_members_update(sr_members_t *members, const sr_member_t *member);

/** sr_members_remove - remove a node that the gossip dropped; returns TRUE if
 * it was live. This node itself is never removed. */
gboolean sr_members_remove(sr_members_t *members, const char *node);

/** sr_members_is_live - whether a node is a known live member. */
gboolean sr_members_is_live(const sr_members_t *members, const char *node);

/** sr_members_address - peer address of a live node, or NULL; borrowed until
 * the next change. */
const char *sr_members_address(const sr_members_t *members, const char *node);

/**
 * sr_members_set_domain_sizes - set the numbers of live nodes per failure
 * domain
 *
 * The table maps the name of a domain to the number that its delegates
 * report, as GUINT_TO_POINTER(). A reference to the table is taken.
 */
void sr_members_set_domain_sizes(sr_members_t *members,
				 GHashTable *domain_sizes);

/**
 * sr_members_count - number of live nodes in all failure domains
 *
 * Another domain with a known live member counts with its reported size if
 * that exceeds the number of its known members.
 */
unsigned sr_members_count(const sr_members_t *members);

/** sr_members_count_own_domain - number of live nodes in the own failure
 * domain. */
unsigned sr_members_count_own_domain(const sr_members_t *members);

/** sr_members_is_delegate - whether this node is a delegate of its domain. */
gboolean sr_members_is_delegate(const sr_members_t *members);

/** sr_members_count_domains - number of failure domains with a known live
 * member. */
unsigned sr_members_count_domains(const sr_members_t *members);

/**
 * sr_members_names_in_domain - names of the live nodes of a failure domain
 *
 * Sorted by name. The names are borrowed until the next change; the caller
 * frees the array with g_ptr_array_unref().
 */
GPtrArray *sr_members_names_in_domain(const sr_members_t *members,
				      const char *failure_domain);

/**
 * sr_members_domain_owner - the owner of a key among the live nodes of a domain
 *
 * The owner is chosen by rendezvous hashing: nodes with the same view of the
 * members compute the same owner, and a change of one member moves only the
 * keys that it owns. Returns NULL if the domain has no known live node. The
 * name is borrowed until the next change.
 */
const char *sr_members_domain_owner(const sr_members_t *members,
				    const char *failure_domain,
				    const char *key);

/**
 * sr_members_rank - number of live delegates that precede this node as owner
 * of a key
 *
 * Rank 0 is the owner. All known delegates precede a node that is not a
 * delegate.
 */
unsigned sr_members_rank(const sr_members_t *members, const char *key);

/**
 * sr_members_owner_addresses - peer addresses of the first n live delegates in
 * the order in which they own a key
 *
 * This node's own address is left out, so that the array may be shorter than
 * n. The addresses are borrowed until the next change; the caller frees the
 * array with g_ptr_array_unref().
 */
GPtrArray *sr_members_owner_addresses(const sr_members_t *members,
				      const char *key, unsigned n);

/**
 * sr_members_owner_pair - peer addresses of two delegates that own a key
 *
 * The second one is in another failure domain than the first, or is the first
 * again if no other domain is known. This node's address may be among them. The
 * addresses are borrowed until the next change.
 */
void sr_members_owner_pair(const sr_members_t *members, const char *key,
			   const char *addresses[2]);

/** sr_members_domain_rank - number of live members of the own failure domain
 * that precede this node in the order of its delegates. */
unsigned sr_members_domain_rank(const sr_members_t *members);

/**
 * sr_members_delegate_addresses - peer addresses of the first n delegates of
 * the own failure domain, or of each other one
 *
 * This node's own address is left out. The addresses are borrowed until the
 * next change; the caller frees the array with g_ptr_array_unref().
 */
GPtrArray *sr_members_delegate_addresses(const sr_members_t *members,
					 gboolean own_domain, unsigned n);

/** sr_members_local_addresses - peer addresses of the other live nodes of the
 * own failure domain; as above. */
GPtrArray *sr_members_local_addresses(const sr_members_t *members);

/** sr_members_pick_address - peer address of a random other live node, or NULL
 * if none is known; borrowed until the next change. */
const char *sr_members_pick_address(sr_members_t *members);

#endif
