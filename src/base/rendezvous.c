#include "base/rendezvous.h"

#include <string.h>
#include <xxhash.h>

guint64 sr_rendezvous_score(const char *node, const char *key)
{
	guint64 seed = XXH64(key, strlen(key), 0);

	return XXH64(node, strlen(node), seed);
}
