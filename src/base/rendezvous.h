#ifndef SR_BASE_RENDEZVOUS_H
#define SR_BASE_RENDEZVOUS_H

#include <glib.h>

/**
 * sr_rendezvous_score - weight of a node in rendezvous hashing
 *
 * Of the live nodes, the one with the highest score owns the key. Nodes with
 * the same list of members compute the same owner without exchanging
 * messages, and a change of one member moves only the keys of that member.
 */
guint64 sr_rendezvous_score(const char *node, const char *key);

#endif
