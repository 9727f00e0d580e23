#include "core/gossip_internal.h"

#include <string.h>

#define SYNC_PERIOD (3 * SR_SEC)
#define RECONNECT_PERIOD (2 * SR_SEC)
/* How often the seeds are asked while no other member is known. */
#define JOIN_PERIOD SR_SEC
/* Of the members that a node knows, about so many try a seed each time: with
 * fewer all do, as each of them may be all that is left of a side. */
#define SEED_TRIERS 12
/* Records that one digest names. */
#define DIGEST_RECORDS ((SR_GOSSIP_NUMBERS_MAX - 1) / 2)
/* Digests that answer one message at most. */
#define DIGESTS_MAX 4

G_STATIC_ASSERT(SR_TABLE_BUCKETS <= 64);
G_STATIC_ASSERT(SR_TABLE_BUCKETS <= SR_GOSSIP_NUMBERS_MAX);

static void send_sync(sr_gossip_t *g, const char *address, const char *domain)
{
	sr_gossip_message_t message = sr_gossip_message(g, SR_GOSSIP_SYNC);
	guint64 hashes[SR_TABLE_BUCKETS];

	sr_table_hashes(&g->table, domain, hashes);
	message.numbers = hashes;
	message.n_numbers = SR_TABLE_BUCKETS;
	sr_gossip_send(g, address, NULL, &message, NULL);
}

static void sync_with_first(sr_gossip_t *g, GPtrArray *targets)
{
	if (targets->len) {
		const sr_record_t *target = g_ptr_array_index(targets, 0);

		send_sync(g, target->address, target->domain);
	}
	g_ptr_array_unref(targets);
}

void sr_gossip_sync_tick(sr_gossip_t *g)
{
	if (g->now < g->next_sync)
		return;
	g->next_sync = g->now + sr_gossip_jitter(g, SYNC_PERIOD);
	sync_with_first(g, sr_gossip_near(g));
	if (sr_table_is_delegate(&g->table, g->self))
		sync_with_first(g, sr_gossip_far(g));
}

typedef struct {
	GPtrArray *addresses; /* borrowed strings */
	GHashTable *live;     /* set of addresses */
	unsigned n_live;
	unsigned n_dead; /* addresses before those of seeds */
} contacts_t;

static gint compare_ids(gconstpointer a, gconstpointer b)
{
	const sr_record_t *x = *(sr_record_t *const *)a;
	const sr_record_t *y = *(sr_record_t *const *)b;

	return x->id < y->id ? -1 : x->id > y->id;
}

/* All records that a function accepts, in an order that a seed repeats. */
static GPtrArray *sorted_records(sr_gossip_t *g, const char *domain,
				 guint64 buckets)
{
	GPtrArray *out = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->table.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sr_record_t *record = value;
		unsigned bucket = sr_record_bucket(record->id);

		if (buckets >> bucket & 1 &&
		    sr_table_in_scope(&g->table, record, domain))
			g_ptr_array_add(out, record);
	}
	g_ptr_array_sort(out, compare_ids);
	return out;
}

static void collect_contacts(sr_gossip_t *g, contacts_t *contacts)
{
	GPtrArray *all = sorted_records(g, g->table.domain, G_MAXUINT64);

	for (guint i = 0; i < all->len; i++) {
		sr_record_t *record = g_ptr_array_index(all, i);

		if (record->kind != SR_RECORD_MEMBER)
			continue;
		if (sr_member_is_live(record)) {
			g_hash_table_add(contacts->live, record->address);
			contacts->n_live++;
		} else if (sr_member_state(record) == SR_MEMBER_DEAD) {
			g_ptr_array_add(contacts->addresses, record->address);
		}
	}
	contacts->n_dead = contacts->addresses->len;
	for (guint i = 0; i < g->seeds->len; i++)
		g_ptr_array_add(contacts->addresses,
				g_ptr_array_index(g->seeds, i));
	g_ptr_array_unref(all);
}

static void contact(sr_gossip_t *g, contacts_t *contacts, const char *address)
{
	if (!g_hash_table_contains(contacts->live, address))
		send_sync(g, address, g->table.domain);
}

/* Whether it is this node's turn to try a seed, which may be of a side that
 * was never met. A seed of another domain that is no delegate is never held,
 * and would hear of every node of the fleet again and again. */
static gboolean tries_seed(sr_gossip_t *g, const contacts_t *contacts)
{
	return sr_table_is_delegate(&g->table, g->self) &&
	       g_rand_double(g->random) * contacts->n_live < SEED_TRIERS;
}

static void contact_one(sr_gossip_t *g, contacts_t *contacts)
{
	/* in turn, so that each is tried within a known time */
	guint i = g->next_contact++ % contacts->addresses->len;

	if (i < contacts->n_dead || tries_seed(g, contacts))
		contact(g, contacts, g_ptr_array_index(contacts->addresses, i));
}

/*
 * After a partition each side holds the other for dead. Members that are dead
 * here, and seeds, are tried now and then, so that the sides meet again.
 */
void sr_gossip_reconnect_tick(sr_gossip_t *g)
{
	contacts_t contacts = { .addresses = g_ptr_array_new(),
				.live = g_hash_table_new(g_str_hash,
							 g_str_equal) };
	gboolean alone;

	if (g->now < g->next_reconnect)
		goto out;
	collect_contacts(g, &contacts);
	alone = contacts.n_live <= 1;
	g->next_reconnect =
		g->now +
		sr_gossip_jitter(g, alone ? JOIN_PERIOD : RECONNECT_PERIOD);
	if (alone) {
		for (guint i = 0; i < contacts.addresses->len; i++)
			contact(g, &contacts,
				g_ptr_array_index(contacts.addresses, i));
	} else if (contacts.addresses->len) {
		contact_one(g, &contacts);
	}
out:
	g_hash_table_unref(contacts.live);
	g_ptr_array_unref(contacts.addresses);
}

typedef struct {
	guint64 numbers[SR_GOSSIP_NUMBERS_MAX];
	gsize n;
	unsigned sent;
} digest_t;

static void flush_digest(sr_gossip_t *g, const char *address, digest_t *digest)
{
	sr_gossip_message_t message = sr_gossip_message(g, SR_GOSSIP_DIGEST);

	if (digest->n == 1 && !digest->numbers[0])
		return;
	message.numbers = digest->numbers;
	message.n_numbers = digest->n;
	sr_gossip_send(g, address, NULL, &message, NULL);
	digest->sent++;
	digest->numbers[0] = 0;
	digest->n = 1;
}

/*
 * The first number of a digest is a bit set of the buckets that it names
 * whole; ids and versions follow. Of a bucket that does not fit, a random
 * stretch is named, and what is missing from it proves nothing.
 */
static void digest_bucket(sr_gossip_t *g, const char *address, digest_t *digest,
			  unsigned bucket, const GPtrArray *records)
{
	gboolean whole = records->len <= DIGEST_RECORDS;
	guint count = MIN(records->len, DIGEST_RECORDS);
	guint start = 0;

	if (digest->n + (gsize)count * 2 > SR_GOSSIP_NUMBERS_MAX)
		flush_digest(g, address, digest);
	if (!whole)
		start = (guint)g_rand_int_range(g->random, 0,
						(gint32)records->len);
	for (guint i = 0; i < count; i++) {
		const sr_record_t *record =
			g_ptr_array_index(records, (start + i) % records->len);

		digest->numbers[digest->n++] = record->id;
		digest->numbers[digest->n++] = record->version;
	}
	if (whole)
		digest->numbers[0] |= G_GUINT64_CONSTANT(1) << bucket;
}

void sr_gossip_take_sync(sr_gossip_t *g, const sr_gossip_message_t *message)
{
	guint64 hashes[SR_TABLE_BUCKETS];
	digest_t digest = { .n = 1 };
	unsigned start =
		(unsigned)g_rand_int_range(g->random, 0, SR_TABLE_BUCKETS);

	if (message->n_numbers != SR_TABLE_BUCKETS || g->tokens <= 0)
		return;
	sr_table_hashes(&g->table, message->domain, hashes);
	for (unsigned i = 0; i < SR_TABLE_BUCKETS; i++) {
		unsigned bucket = (start + i) % SR_TABLE_BUCKETS;
		GPtrArray *records;

		if (hashes[bucket] == message->numbers[bucket])
			continue;
		if (digest.sent >= DIGESTS_MAX)
			return;
		records = sorted_records(g, message->domain,
					 G_GUINT64_CONSTANT(1) << bucket);
		digest_bucket(g, message->address, &digest, bucket, records);
		g_ptr_array_unref(records);
	}
	flush_digest(g, message->address, &digest);
	g->stats.syncs += digest.sent > 0;
}

static void send_want(sr_gossip_t *g, const char *address, const GArray *ids)
{
	sr_gossip_message_t message = sr_gossip_message(g, SR_GOSSIP_WANT);

	if (!ids->len)
		return;
	message.numbers = (const guint64 *)ids->data;
	message.n_numbers = ids->len;
	sr_gossip_send(g, address, NULL, &message, NULL);
}

/* Sorts what the sender named into what it needs and what is wanted here. */
static void compare_digest(sr_gossip_t *g, const sr_gossip_message_t *message,
			   GHashTable *named, GPtrArray *newer, GArray *wanted)
{
	for (gsize i = 1; i + 1 < message->n_numbers; i += 2) {
		guint64 id = message->numbers[i];
		guint64 version = message->numbers[i + 1];
		sr_record_t *record = g_hash_table_lookup(g->table.by_id, &id);

		if (record)
			g_hash_table_add(named, record);
		if (!record || record->version < version)
			g_array_append_val(wanted, id);
		else if (record->version > version)
			g_ptr_array_add(newer, record);
	}
}

void sr_gossip_take_digest(sr_gossip_t *g, const sr_gossip_message_t *message)
{
	GHashTable *named;
	GPtrArray *newer;
	GPtrArray *mine;
	GArray *wanted;

	if (!message->n_numbers || !(message->n_numbers & 1))
		return;
	named = g_hash_table_new(NULL, NULL);
	newer = g_ptr_array_new();
	wanted = g_array_new(FALSE, FALSE, sizeof(guint64));
	compare_digest(g, message, named, newer, wanted);
	mine = sorted_records(g, message->domain, message->numbers[0]);
	for (guint i = 0; i < mine->len; i++) {
		gpointer record = g_ptr_array_index(mine, i);

		if (!g_hash_table_contains(named, record))
			g_ptr_array_add(newer, record);
	}
	sr_gossip_send_records(g, message->address, newer);
	send_want(g, message->address, wanted);
	g_ptr_array_unref(mine);
	g_ptr_array_unref(newer);
	g_array_unref(wanted);
	g_hash_table_unref(named);
}

void sr_gossip_take_want(sr_gossip_t *g, const sr_gossip_message_t *message)
{
	GPtrArray *records = g_ptr_array_new();

	for (gsize i = 0; i < message->n_numbers; i++) {
		guint64 id = message->numbers[i];
		sr_record_t *record = g_hash_table_lookup(g->table.by_id, &id);

		if (record)
			g_ptr_array_add(records, record);
	}
	sr_gossip_send_records(g, message->address, records);
	g_ptr_array_unref(records);
}
