#include "core/gossip_internal.h"

#include <string.h>

#define SYNC_INTERVAL (3 * SR_SEC)
#define RECONNECT_INTERVAL (2 * SR_SEC)
/* Interval of contacting all seeds and dead members while no other member is
 * live. */
#define JOIN_INTERVAL SR_SEC
/* Target of a SYNC that asks for the live members only. A node that has started
 * needs them before the rumours, which are many more. */
#define JOIN_TARGET "join"
/* Time after a start in which a node asks for members, and the interval. */
#define JOIN_DURATION (4 * SR_SEC)
#define JOIN_RETRY_INTERVAL (500 * SR_MSEC)
/* Part of this time in which it also asks the seeds. Nodes that start together
 * know each other's delegates by then. */
#define JOIN_SEED_DURATION (1200 * SR_MSEC)
/* Limit of the mean number of members that contact a seed per interval: a
 * delegate does with a probability of this number divided by that of the live
 * members in its table. With fewer live members every delegate does, since each
 * may be the only one left on its side of a partition. */
#define SEED_CONTACTERS 12
/* Limit of the records that one digest lists. */
#define DIGEST_RECORDS_MAX ((SR_GOSSIP_NUMBERS_MAX - 1) / 2)
/* Limit of the digests sent in response to one SYNC. */
#define DIGESTS_PER_SYNC_MAX 4

G_STATIC_ASSERT(SR_GOSSIP_BUCKETS <= 64);
G_STATIC_ASSERT(SR_GOSSIP_BUCKETS <= SR_GOSSIP_NUMBERS_MAX);

static void send_sync(sr_gossip_t *g, const char *address, const char *domain)
{
	sr_gossip_message_t message = sr_gossip_make_message(g, SR_GOSSIP_SYNC);
	guint64 hashes[SR_GOSSIP_BUCKETS];

	sr_gossip_table_hashes(&g->table, domain, hashes);
	message.numbers = hashes;
	message.n_numbers = SR_GOSSIP_BUCKETS;
	sr_gossip_send(g, address, NULL, &message, NULL);
}

/* Takes ownership of targets. */
static void sync_with_first(sr_gossip_t *g, GPtrArray *targets)
{
	if (targets->len) {
		const sr_gossip_record_t *target =
			g_ptr_array_index(targets, 0);

		send_sync(g, target->address, target->domain);
	}
	g_ptr_array_unref(targets);
}

static void send_join(sr_gossip_t *g, const char *address)
{
	sr_gossip_message_t message = sr_gossip_make_message(g, SR_GOSSIP_SYNC);
	guint64 hashes[SR_GOSSIP_BUCKETS] = { 0 };

	message.target = JOIN_TARGET;
	message.numbers = hashes;
	message.n_numbers = SR_GOSSIP_BUCKETS;
	sr_gossip_send(g, address, NULL, &message, NULL);
}

static void join_seeds(sr_gossip_t *g, gboolean all)
{
	guint n = g->seed_addresses->len;

	for (guint i = 0; i < (all ? n : MIN(n, 1)); i++)
		send_join(g, g_ptr_array_index(g->seed_addresses,
					       g->contact_index++ % n));
}

void sr_gossip_join_tick(sr_gossip_t *g)
{
	gboolean has_started = g->now - g->started_at >= JOIN_DURATION;
	GPtrArray *local;

	if (g->now < g->next_join)
		return;
	local = sr_gossip_local_members(g);
	if (!has_started)
		g->next_join = g->now + JOIN_RETRY_INTERVAL;
	else
		g->next_join = g->now + sr_gossip_jitter(g, RECONNECT_INTERVAL);
	if (!local->len || g->now - g->started_at < JOIN_SEED_DURATION)
		join_seeds(g, !has_started);
	for (guint i = 0; !has_started && i < local->len; i++) {
		const sr_gossip_record_t *member = g_ptr_array_index(local, i);

		if (sr_gossip_table_is_delegate(&g->table, member))
			send_join(g, member->address);
	}
	g_ptr_array_unref(local);
}

void sr_gossip_sync_tick(sr_gossip_t *g)
{
	if (g->now < g->next_sync)
		return;
	g->next_sync = g->now + sr_gossip_jitter(g, SYNC_INTERVAL);
	sync_with_first(g, sr_gossip_local_members(g));
	if (sr_gossip_table_is_delegate(&g->table, g->self))
		sync_with_first(g, sr_gossip_remote_delegates(g));
}

/* Addresses that this node may contact to reconnect. */
typedef struct {
	GPtrArray *addresses;	    /* borrowed strings */
	GHashTable *live_addresses; /* set of borrowed strings */
	unsigned n_live;
	unsigned n_dead; /* addresses of dead members, which precede seeds */
} contacts_t;

static gint compare_ids(gconstpointer a, gconstpointer b)
{
	const sr_gossip_record_t *x = *(sr_gossip_record_t *const *)a;
	const sr_gossip_record_t *y = *(sr_gossip_record_t *const *)b;

	return x->id < y->id ? -1 : x->id > y->id;
}

/*
 * Returns the records of a bit set of buckets that are in scope for a domain,
 * in an order that is the same in each run with the same random seed.
 */
static GPtrArray *collect_records(sr_gossip_t *g, const char *domain,
				  guint64 buckets)
{
	GPtrArray *out = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->table.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sr_gossip_record_t *record = value;
		unsigned bucket = sr_gossip_record_bucket(record->id);

		if (buckets >> bucket & 1 &&
		    sr_gossip_table_in_scope(&g->table, record, domain))
			g_ptr_array_add(out, record);
	}
	g_ptr_array_sort(out, compare_ids);
	return out;
}

static void collect_contacts(sr_gossip_t *g, contacts_t *contacts)
{
	GPtrArray *all = collect_records(g, g->table.own_domain, G_MAXUINT64);

	for (guint i = 0; i < all->len; i++) {
		sr_gossip_record_t *record = g_ptr_array_index(all, i);

		if (record->kind != SR_RECORD_MEMBER)
			continue;
		if (sr_member_is_live(record)) {
			g_hash_table_add(contacts->live_addresses,
					 record->address);
			contacts->n_live++;
		} else if (sr_member_state(record) == SR_MEMBER_DEAD) {
			g_ptr_array_add(contacts->addresses, record->address);
		}
	}
	contacts->n_dead = contacts->addresses->len;
	for (guint i = 0; i < g->seed_addresses->len; i++)
		g_ptr_array_add(contacts->addresses,
				g_ptr_array_index(g->seed_addresses, i));
	g_ptr_array_unref(all);
}

static void sync_unless_live(sr_gossip_t *g, contacts_t *contacts,
			     const char *address)
{
	if (!g_hash_table_contains(contacts->live_addresses, address))
		send_sync(g, address, g->table.own_domain);
}

/*
 * Decides whether this node contacts a seed now. Some nodes must, since the
 * seed may be on a side of a partition that they have never reached. Not all
 * may: a seed of another domain that is not a delegate is never in the table,
 * so every node of the fleet would contact it again and again.
 */
static gboolean may_contact_seed(sr_gossip_t *g, const contacts_t *contacts)
{
	return sr_gossip_table_is_delegate(&g->table, g->self) &&
	       g_rand_double(g->random) * contacts->n_live < SEED_CONTACTERS;
}

static void contact_next(sr_gossip_t *g, contacts_t *contacts)
{
	/* round-robin bounds the time until each address is contacted */
	guint i = g->contact_index++ % contacts->addresses->len;

	if (i < contacts->n_dead || may_contact_seed(g, contacts))
		sync_unless_live(g, contacts,
				 g_ptr_array_index(contacts->addresses, i));
}

/*
 * After a partition each side lists the other as dead. Contacting dead members
 * of the own domain, and seeds, rejoins the sides. Dead members of other
 * domains are not contacted, so another domain is rejoined through seeds only.
 */
void sr_gossip_reconnect_tick(sr_gossip_t *g)
{
	contacts_t contacts = { .addresses = g_ptr_array_new(),
				.live_addresses = g_hash_table_new(
					g_str_hash, g_str_equal) };
	gboolean isolated;

	if (g->now < g->next_reconnect)
		goto out;
	collect_contacts(g, &contacts);
	isolated = contacts.n_live <= 1;
	g->next_reconnect =
		g->now + sr_gossip_jitter(g, isolated ? JOIN_INTERVAL :
							RECONNECT_INTERVAL);
	if (isolated) {
		for (guint i = 0; i < contacts.addresses->len; i++)
			sync_unless_live(
				g, &contacts,
				g_ptr_array_index(contacts.addresses, i));
	} else if (contacts.addresses->len) {
		contact_next(g, &contacts);
	}
out:
	g_hash_table_unref(contacts.live_addresses);
	g_ptr_array_unref(contacts.addresses);
}

typedef struct {
	guint64 numbers[SR_GOSSIP_NUMBERS_MAX];
	gsize n_numbers;
	unsigned n_sent;
} digest_t;

static void flush_digest(sr_gossip_t *g, const char *address, digest_t *digest)
{
	sr_gossip_message_t message =
		sr_gossip_make_message(g, SR_GOSSIP_DIGEST);

	if (digest->n_numbers == 1 && !digest->numbers[0])
		return;
	message.numbers = digest->numbers;
	message.n_numbers = digest->n_numbers;
	sr_gossip_send(g, address, NULL, &message, NULL);
	digest->n_sent++;
	digest->numbers[0] = 0;
	digest->n_numbers = 1;
}

/*
 * The first number of a digest is a bit set of the buckets that it lists
 * completely; ids and versions of records follow. Of a bucket that does not
 * fit, a random range is listed and the bit stays clear, so that the receiver
 * does not take unlisted records for missing.
 */
static void add_bucket_to_digest(sr_gossip_t *g, const char *address,
				 digest_t *digest, unsigned bucket,
				 const GPtrArray *records)
{
	gboolean whole = records->len <= DIGEST_RECORDS_MAX;
	guint count = MIN(records->len, DIGEST_RECORDS_MAX);
	guint start = 0;

	if (digest->n_numbers + (gsize)count * 2 > SR_GOSSIP_NUMBERS_MAX)
		flush_digest(g, address, digest);
	if (!whole)
		start = (guint)g_rand_int_range(g->random, 0,
						(gint32)records->len);
	for (guint i = 0; i < count; i++) {
		const sr_gossip_record_t *record =
			g_ptr_array_index(records, (start + i) % records->len);

		digest->numbers[digest->n_numbers++] = record->id;
		digest->numbers[digest->n_numbers++] = record->version;
	}
	if (whole)
		digest->numbers[0] |= G_GUINT64_CONSTANT(1) << bucket;
}

static void send_members(sr_gossip_t *g, const sr_gossip_message_t *message)
{
	GPtrArray *records = collect_records(g, message->domain, G_MAXUINT64);

	for (guint i = records->len; i > 0; i--) {
		const sr_gossip_record_t *record =
			g_ptr_array_index(records, i - 1);

		if (record->kind != SR_RECORD_MEMBER ||
		    !sr_member_is_live(record))
			g_ptr_array_remove_index(records, i - 1);
	}
	sr_gossip_send_records(g, message->address, records, TRUE);
	g_ptr_array_unref(records);
}

void sr_gossip_handle_sync(sr_gossip_t *g, const sr_gossip_message_t *message)
{
	guint64 hashes[SR_GOSSIP_BUCKETS];
	digest_t digest = { .n_numbers = 1 };
	/* random, since the limit of digests may cut off the last buckets */
	unsigned start =
		(unsigned)g_rand_int_range(g->random, 0, SR_GOSSIP_BUCKETS);

	if (message->n_numbers != SR_GOSSIP_BUCKETS)
		return;
	if (!strcmp(message->target, JOIN_TARGET)) {
		send_members(g, message);
		return;
	}
	if (g->send_budget <= 0)
		return;
	sr_gossip_table_hashes(&g->table, message->domain, hashes);
	for (unsigned i = 0; i < SR_GOSSIP_BUCKETS; i++) {
		unsigned bucket = (start + i) % SR_GOSSIP_BUCKETS;
		GPtrArray *records;

		if (hashes[bucket] == message->numbers[bucket])
			continue;
		if (digest.n_sent >= DIGESTS_PER_SYNC_MAX)
			return;
		records = collect_records(g, message->domain,
					  G_GUINT64_CONSTANT(1) << bucket);
		add_bucket_to_digest(g, message->address, &digest, bucket,
				     records);
		g_ptr_array_unref(records);
	}
	flush_digest(g, message->address, &digest);
	g->stats.syncs += digest.n_sent > 0;
}

static void send_pull(sr_gossip_t *g, const char *address, const GArray *ids)
{
	sr_gossip_message_t message = sr_gossip_make_message(g, SR_GOSSIP_PULL);

	if (!ids->len)
		return;
	message.numbers = (const guint64 *)ids->data;
	message.n_numbers = ids->len;
	sr_gossip_send(g, address, NULL, &message, NULL);
}

/*
 * Collects the listed records that this node has, those of which it has a newer
 * version, and the ids of those that it lacks or has in an older version.
 */
static void compare_digest(sr_gossip_t *g, const sr_gossip_message_t *message,
			   GHashTable *listed, GPtrArray *to_send,
			   GArray *to_request)
{
	for (gsize i = 1; i + 1 < message->n_numbers; i += 2) {
		guint64 id = message->numbers[i];
		guint64 version = message->numbers[i + 1];
		sr_gossip_record_t *record =
			g_hash_table_lookup(g->table.by_id, &id);

		if (record)
			g_hash_table_add(listed, record);
		if (!record || record->version < version)
			g_array_append_val(to_request, id);
		else if (record->version > version)
			g_ptr_array_add(to_send, record);
	}
}

void sr_gossip_handle_digest(sr_gossip_t *g, const sr_gossip_message_t *message)
{
	GHashTable *listed;
	GPtrArray *to_send;
	GPtrArray *own;
	GArray *to_request;

	if (!message->n_numbers || !(message->n_numbers & 1))
		return;
	listed = g_hash_table_new(NULL, NULL);
	to_send = g_ptr_array_new();
	to_request = g_array_new(FALSE, FALSE, sizeof(guint64));
	compare_digest(g, message, listed, to_send, to_request);
	own = collect_records(g, message->domain, message->numbers[0]);
	for (guint i = 0; i < own->len; i++) {
		gpointer record = g_ptr_array_index(own, i);

		if (!g_hash_table_contains(listed, record))
			g_ptr_array_add(to_send, record);
	}
	sr_gossip_send_records(g, message->address, to_send, FALSE);
	send_pull(g, message->address, to_request);
	g_ptr_array_unref(own);
	g_ptr_array_unref(to_send);
	g_array_unref(to_request);
	g_hash_table_unref(listed);
}

void sr_gossip_handle_pull(sr_gossip_t *g, const sr_gossip_message_t *message)
{
	GPtrArray *records = g_ptr_array_new();

	for (gsize i = 0; i < message->n_numbers; i++) {
		guint64 id = message->numbers[i];
		sr_gossip_record_t *record =
			g_hash_table_lookup(g->table.by_id, &id);

		if (record)
			g_ptr_array_add(records, record);
	}
	sr_gossip_send_records(g, message->address, records, FALSE);
	g_ptr_array_unref(records);
}
