#ifndef SR_BASE_RENDEZVOUS_H
#define SR_BASE_RENDEZVOUS_H

#include <glib.h>

/**
 * sr_rendezvous_score - weight of a node in rendezvous hashing
 *
 * Of the live nodes, the one with the highest score owns the key. Nodes that
 * have the same list of live nodes compute the same owner without exchanging
 * messages. When a node joins or leaves, only its keys change owner.
 */
guint64 sr_rendezvous_score(const char *node, const char *key);

#endif
