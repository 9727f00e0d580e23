#include "daemon/members.h"

#include <string.h>

#include "base/rendezvous.h"

struct sr_members {
	char *node;
	char *failure_domain;	  /* of node */
	GHashTable *live;	  /* name -> live_member_t */
	GHashTable *domain_sizes; /* failure domain -> reported number of its
				   * live nodes */
	GRand *random;
};

typedef struct {
	char *name;
	char *failure_domain;
	char *address;
	guint64 score; /* the lowest ones of a domain are delegates */
	gboolean is_delegate;
} live_member_t;

static void free_live_member(gpointer data)
{
	live_member_t *live = data;

	g_free(live->name);
	g_free(live->failure_domain);
	g_free(live->address);
	g_free(live);
}

static void add_live_member(sr_members_t *members, const char *name,
			    const char *failure_domain, const char *address)
{
	live_member_t *live = g_new0(live_member_t, 1);

	live->name = g_strdup(name);
	live->failure_domain = g_strdup(failure_domain);
	live->address = g_strdup(address);
	live->score = sr_gossip_delegate_score(name);
	g_hash_table_replace(members->live, live->name, live);
}

static gboolean ranks_before(const live_member_t *a, const live_member_t *b)
{
	return !strcmp(a->failure_domain, b->failure_domain) &&
	       (a->score < b->score ||
		(a->score == b->score && strcmp(a->name, b->name) < 0));
}

static void choose_delegates(sr_members_t *members)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, members->live);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		live_member_t *live = value;
		GHashTableIter others;
		gpointer other;
		unsigned n_before = 0;

		g_hash_table_iter_init(&others, members->live);
		while (g_hash_table_iter_next(&others, NULL, &other))
			n_before += ranks_before(other, live);
		live->is_delegate = n_before < SR_GOSSIP_DELEGATES;
	}
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

sr_members_t *sr_members_new(const sr_members_options_t *options)
{
	sr_members_t *members = g_new0(sr_members_t, 1);

	members->node = g_strdup(options->node);
	members->live = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      free_live_member);
	members->random = g_rand_new_with_seed((guint32)options->seed);
	members->failure_domain = g_strdup(options->failure_domain);
	members->domain_sizes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	add_live_member(members, options->node, options->failure_domain,
			options->address);
	choose_delegates(members);
	return members;
}

void sr_members_free(sr_members_t *members)
{
	if (!members)
		return;
	g_hash_table_destroy(members->live);
	g_hash_table_unref(members->domain_sizes);
	g_free(members->failure_domain);
	g_rand_free(members->random);
	g_free(members->node);
	g_free(members);
}

/* Returns FALSE if the update changes nothing. */
static gboolean apply_update(sr_members_t *members, const sr_member_t *member)
{
	gboolean is_live = member->state == SR_MEMBER_ALIVE ||
			   member->state == SR_MEMBER_SUSPECT;
	const live_member_t *known =
		g_hash_table_lookup(members->live, member->name);

	if (!is_live)
		return g_hash_table_remove(members->live, member->name);
	if (known && !strcmp(known->address, member->address) &&
	    !strcmp(known->failure_domain, member->failure_domain))
		return FALSE;
	add_live_member(members, member->name, member->failure_domain,
			member->address);
	return TRUE;
}

gboolean sr_members_update(sr_members_t *members, const sr_member_t *member)
{
	if (!strcmp(member->name, members->node) ||
	    !apply_update(members, member))
		return FALSE;
	choose_delegates(members);
	return TRUE;
}

gboolean sr_members_remove(sr_members_t *members, const char *node)
{
	if (!strcmp(node, members->node) ||
	    !g_hash_table_remove(members->live, node))
		return FALSE;
	choose_delegates(members);
	return TRUE;
}

gboolean sr_members_is_live(const sr_members_t *members, const char *node)
{
	return g_hash_table_contains(members->live, node);
}

const char *sr_members_address(const sr_members_t *members, const char *node)
{
	const live_member_t *live = g_hash_table_lookup(members->live, node);

	return live ? live->address : NULL;
}

void sr_members_set_domain_sizes(sr_members_t *members,
				 GHashTable *domain_sizes)
{
	g_hash_table_unref(members->domain_sizes);
	members->domain_sizes = g_hash_table_ref(domain_sizes);
}

static unsigned count_known_in_domain(const sr_members_t *members,
				      const char *failure_domain)
{
	GHashTableIter iter;
	gpointer value;
	unsigned n = 0;

	g_hash_table_iter_init(&iter, members->live);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += !strcmp(((live_member_t *)value)->failure_domain,
			     failure_domain);
	return n;
}

unsigned sr_members_count(const sr_members_t *members)
{
	unsigned n = g_hash_table_size(members->live);
	GHashTableIter iter;
	gpointer domain;
	gpointer size;

	g_hash_table_iter_init(&iter, members->domain_sizes);
	while (g_hash_table_iter_next(&iter, &domain, &size)) {
		unsigned known = count_known_in_domain(members, domain);

		if (known > 0 && strcmp(domain, members->failure_domain) != 0)
			n += MAX(GPOINTER_TO_UINT(size), known) - known;
	}
	return n;
}

unsigned sr_members_count_own_domain(const sr_members_t *members)
{
	return count_known_in_domain(members, members->failure_domain);
}

gboolean sr_members_is_delegate(const sr_members_t *members)
{
	const live_member_t *self =
		g_hash_table_lookup(members->live, members->node);

	return self->is_delegate;
}

unsigned sr_members_count_domains(const sr_members_t *members)
{
	GHashTable *domains = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer value;
	unsigned n;

	g_hash_table_iter_init(&iter, members->live);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_hash_table_add(domains,
				 ((live_member_t *)value)->failure_domain);
	n = g_hash_table_size(domains);
	g_hash_table_destroy(domains);
	return n;
}

GPtrArray *sr_members_names_in_domain(const sr_members_t *members,
				      const char *failure_domain)
{
	GPtrArray *names = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, members->live);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		live_member_t *live = value;

		if (!strcmp(live->failure_domain, failure_domain))
			g_ptr_array_add(names, live->name);
	}
	g_ptr_array_sort(names, compare_names);
	return names;
}

const char *sr_members_domain_owner(const sr_members_t *members,
				    const char *failure_domain, const char *key)
{
	GPtrArray *names = sr_members_names_in_domain(members, failure_domain);
	const char *owner = NULL;
	guint64 best = 0;

	for (guint i = 0; i < names->len; i++) {
		const char *name = g_ptr_array_index(names, i);
		guint64 score = sr_rendezvous_score(name, key);

		if (!owner || score > best) {
			owner = name;
			best = score;
		}
	}
	g_ptr_array_unref(names);
	return owner;
}

unsigned sr_members_rank(const sr_members_t *members, const char *key)
{
	guint64 own = sr_rendezvous_score(members->node, key);
	gboolean is_delegate = sr_members_is_delegate(members);
	GHashTableIter iter;
	gpointer value;
	unsigned rank = 0;

	g_hash_table_iter_init(&iter, members->live);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const live_member_t *live = value;

		if (live->is_delegate &&
		    (!is_delegate ||
		     sr_rendezvous_score(live->name, key) > own))
			rank++;
	}
	return rank;
}

/** delegate_filter_t - which delegates may own a key. */
typedef struct {
	guint64 below;		    /* this score */
	const char *outside_domain; /* NULL for any */
} delegate_filter_t;

static gboolean matches(const live_member_t *live, guint64 score,
			const delegate_filter_t *filter)
{
	return live->is_delegate && score < filter->below &&
	       g_strcmp0(live->failure_domain, filter->outside_domain) != 0;
}

/* Returns the live delegate with the highest score, or NULL. */
static const live_member_t *best_delegate(const sr_members_t *members,
					  const char *key,
					  const delegate_filter_t *filter)
{
	const live_member_t *owner = NULL;
	GHashTableIter iter;
	gpointer value;
	guint64 best = 0;

	g_hash_table_iter_init(&iter, members->live);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const live_member_t *live = value;
		guint64 score = sr_rendezvous_score(live->name, key);

		if (matches(live, score, filter) && (!owner || score > best)) {
			owner = live;
			best = score;
		}
	}
	return owner;
}

GPtrArray *sr_members_owner_addresses(const sr_members_t *members,
				      const char *key, unsigned n)
{
	GPtrArray *addresses = g_ptr_array_new();
	delegate_filter_t filter = { .below = G_MAXUINT64 };

	for (unsigned i = 0; i < n; i++) {
		const live_member_t *owner =
			best_delegate(members, key, &filter);

		if (!owner)
			break;
		filter.below = sr_rendezvous_score(owner->name, key);
		if (strcmp(owner->name, members->node) != 0)
			g_ptr_array_add(addresses, owner->address);
	}
	return addresses;
}

void sr_members_owner_pair(const sr_members_t *members, const char *key,
			   const char *addresses[2])
{
	delegate_filter_t filter = { .below = G_MAXUINT64 };
	const live_member_t *first = best_delegate(members, key, &filter);
	const live_member_t *second;

	filter.outside_domain = first->failure_domain;
	second = best_delegate(members, key, &filter);
	addresses[0] = first->address;
	addresses[1] = second ? second->address : first->address;
}

/* Number of live members of the same domain that precede this one. */
static unsigned domain_rank(const sr_members_t *members,
			    const live_member_t *live)
{
	GHashTableIter iter;
	gpointer other;
	unsigned rank = 0;

	g_hash_table_iter_init(&iter, members->live);
	while (g_hash_table_iter_next(&iter, NULL, &other))
		rank += ranks_before(other, live);
	return rank;
}

unsigned sr_members_domain_rank(const sr_members_t *members)
{
	return domain_rank(members,
			   g_hash_table_lookup(members->live, members->node));
}

GPtrArray *sr_members_delegate_addresses(const sr_members_t *members,
					 gboolean own_domain, unsigned n)
{
	GPtrArray *addresses = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, members->live);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		live_member_t *live = value;
		gboolean is_local =
			!strcmp(live->failure_domain, members->failure_domain);

		if (!is_local == !own_domain &&
		    strcmp(live->name, members->node) != 0 &&
		    domain_rank(members, live) < n)
			g_ptr_array_add(addresses, live->address);
	}
	return addresses;
}

GPtrArray *sr_members_local_addresses(const sr_members_t *members)
{
	return sr_members_delegate_addresses(members, TRUE, G_MAXUINT);
}

const char *sr_members_pick_address(sr_members_t *members)
{
	guint n = g_hash_table_size(members->live) - 1;
	GHashTableIter iter;
	gpointer value;
	gint32 skip;

	if (n == 0)
		return NULL;
	skip = g_rand_int_range(members->random, 0, (gint32)n);
	g_hash_table_iter_init(&iter, members->live);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		live_member_t *live = value;

		if (!strcmp(live->name, members->node))
			continue;
		if (skip-- == 0)
			return live->address;
	}
	g_assert_not_reached();
}
