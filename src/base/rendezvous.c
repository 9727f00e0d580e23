#include "base/rendezvous.h"

#include <string.h>
#include <xxhash.h>

guint64 sr_rendezvous_score(const char *node, const char *thing)
{
	guint64 seed = XXH64(thing, strlen(thing), 0);

	return XXH64(node, strlen(node), seed);
}
