#include <string.h>
#include <xxhash.h>

#include "daemon/postings_internal.h"

/* Search for the live member with the highest score for a shard. */
typedef struct {
	const sr_postings_t *postings;
	const char *home; /* failure domain of the shard */
	unsigned shard;
	const char *name; /* the only member to consider; NULL for all */
	guint64 best_score;
	char best_name[128];
	char best_address[64];
} member_search_t;

/*
 * Rendezvous hashing: the member with the highest score should own the shard.
 * sr_rendezvous_score() is not used, since with its seeds one of two hosts with
 * similar names would own all shards.
 */
static guint64 score(const char *node, unsigned shard)
{
	return XXH64(node, strlen(node), shard + 1);
}

static void consider_member(void *user, const sr_member_t *member)
{
	member_search_t *search = user;
	guint64 member_score = score(member->name, search->shard);

	if (member->state != SR_MEMBER_ALIVE &&
	    member->state != SR_MEMBER_SUSPECT)
		return;
	if (strcmp(member->failure_domain, search->home) != 0)
		return;
	if (search->name && strcmp(member->name, search->name) != 0)
		return;
	if (*search->best_name && member_score <= search->best_score)
		return;
	search->best_score = member_score;
	g_strlcpy(search->best_name, member->name, sizeof(search->best_name));
	g_strlcpy(search->best_address, member->address,
		  sizeof(search->best_address));
}

static gboolean find_member(const sr_postings_t *postings,
			    member_search_t *search)
{
	search->postings = postings;
	if (!postings->options.gossip)
		return FALSE;
	sr_gossip_foreach_member(postings->options.gossip, consider_member,
				 search);
	return *search->best_name != '\0';
}

void sr_posting_update_wanted_shards(sr_postings_t *postings)
{
	const sr_postings_options_t *options = &postings->options;
	sr_usec_t now = sr_clock_now(options->clock);

	for (unsigned shard = 0; shard < SR_JOURNAL_N_SHARDS; shard++) {
		member_search_t search = {
			.home = options->failure_domain,
			.shard = shard,
		};
		gboolean wanted = TRUE;

		if (find_member(postings, &search))
			wanted = !strcmp(search.best_name, options->node);
		sr_journal_set_wanted(postings->journal, now, shard, wanted);
	}
}

/* Key of the rumour that names the owner. */
static char *owner_key(const char *home, unsigned shard)
{
	return g_strdup_printf("%s/%u", home, shard);
}

void sr_posting_owner_changed(void *user, unsigned shard, guint64 epoch,
			      gboolean held)
{
	sr_postings_t *postings = user;
	const sr_postings_options_t *options = &postings->options;
	char number[24];
	char *key = owner_key(options->failure_domain, shard);
	char *value;
	sr_rumour_t rumour = {
		.kind = SR_RUMOUR_SHARD_OWNER,
		.key = key,
		.version = epoch,
	};

	g_snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT, epoch);
	sr_log_event(options->log, SR_LOG_INFO,
		     held ? "shard-held" : "shard-lost", "shard", key, "epoch",
		     number, NULL);
	if (held && options->gossip && options->peer) {
		value = g_strdup_printf("%s %s", options->node,
					sr_peer_address(options->peer));
		rumour.value = (const guint8 *)value;
		rumour.size = strlen(value);
		sr_gossip_put(options->gossip, sr_clock_now(options->clock),
			      &rumour, 0);
		g_free(value);
	}
	g_free(key);
}

/* States of the other hosts of this failure domain. */
typedef struct {
	const sr_postings_t *postings;
	gboolean any_alive;
	gboolean any_unresponsive; /* suspect or dead */
} peer_states_t;

static void note_peer_state(void *user, const sr_member_t *member)
{
	peer_states_t *peers = user;
	const sr_postings_options_t *options = &peers->postings->options;

	if (strcmp(member->failure_domain, options->failure_domain) != 0 ||
	    !strcmp(member->name, options->node))
		return;
	if (member->state == SR_MEMBER_ALIVE)
		peers->any_alive = TRUE;
	else if (member->state != SR_MEMBER_LEFT)
		peers->any_unresponsive = TRUE;
}

gboolean sr_posting_may_be_displaced(void *user, unsigned shard, guint64 epoch)
{
	sr_postings_t *postings = user;
	sr_gossip_t *gossip = postings->options.gossip;
	peer_states_t peers = { .postings = postings };
	sr_rumour_t rumour;
	char *key;
	gboolean is_newer;

	if (!gossip)
		return FALSE;
	key = owner_key(postings->options.failure_domain, shard);
	is_newer = sr_gossip_get(gossip, SR_RUMOUR_SHARD_OWNER, key, &rumour) &&
		   rumour.version > epoch;
	g_free(key);
	sr_gossip_foreach_member(gossip, note_peer_state, &peers);
	return is_newer || (peers.any_unresponsive && !peers.any_alive);
}

/*
 * Address of the owner published last, or NULL if that is this host, or if the
 * shard is of this failure domain and the owner is not a live member.
 */
static char *published_owner(sr_postings_t *postings, const char *home,
			     unsigned shard)
{
	char *key = owner_key(home, shard);
	char *text = NULL; /* "node address" */
	char *address = NULL;
	sr_rumour_t rumour;
	member_search_t search = { .home = home, .shard = shard };

	if (sr_gossip_get(postings->options.gossip, SR_RUMOUR_SHARD_OWNER, key,
			  &rumour)) {
		text = g_strndup((const char *)rumour.value, rumour.size);
		address = strchr(text, ' ');
	}
	g_free(key);
	if (!address) {
		g_free(text);
		return NULL;
	}
	*address++ = '\0';
	search.name = text;
	if (!strcmp(text, postings->options.node) ||
	    (!strcmp(home, postings->options.failure_domain) &&
	     !find_member(postings, &search)))
		address = NULL;
	address = g_strdup(address);
	g_free(text);
	return address;
}

char *sr_posting_find_owner(sr_postings_t *postings, const char *home,
			    unsigned shard)
{
	member_search_t search = { .home = home, .shard = shard };
	char *address;

	if (!postings->options.gossip || !postings->options.peer)
		return NULL;
	address = published_owner(postings, home, shard);
	if (address)
		return address;
	if (!find_member(postings, &search) ||
	    !strcmp(search.best_name, postings->options.node))
		return NULL;
	return g_strdup(search.best_address);
}
