#ifndef SR_BASE_RENDEZVOUS_H
#define SR_BASE_RENDEZVOUS_H

#include <glib.h>

/**
 * sr_rendezvous_score - how much a node should own a thing
 *
 * Of the nodes that are live, the one with the highest score owns the thing.
 * Nodes that know the same members agree on the owner without a message, and
 * a change of one member moves only what that member owns.
 */
guint64 sr_rendezvous_score(const char *node, const char *thing);

#endif
