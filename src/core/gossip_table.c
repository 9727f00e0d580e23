#include "core/gossip_table.h"

#include <string.h>
#include <xxhash.h>

/* Records with less time left before expiry are not sent. */
#define SEND_TTL_MIN (100 * SR_MSEC)

guint64 sr_gossip_record_id(guint8 kind, const char *key)
{
	return XXH64(key, strlen(key), kind);
}

guint64 sr_gossip_delegate_score(const char *name)
{
	return XXH64(name, strlen(name), 1);
}

static guint64 hash_version(guint64 id, guint64 version)
{
	guint64 input[2] = { id, version };

	return XXH64(input, sizeof(input), 0);
}

unsigned sr_gossip_record_bucket(guint64 id)
{
	return (unsigned)(id % SR_GOSSIP_BUCKETS);
}

guint64 sr_member_version(guint64 incarnation, sr_member_state_t state)
{
	static const guint64 rank[] = { [SR_MEMBER_ALIVE] = 0,
					[SR_MEMBER_SUSPECT] = 1,
					[SR_MEMBER_DEAD] = 2,
					[SR_MEMBER_LEFT] = 3 };

	return incarnation << SR_MEMBER_STATE_BITS | rank[state];
}

sr_member_state_t sr_member_state(const sr_gossip_record_t *record)
{
	static const sr_member_state_t state[] = { SR_MEMBER_ALIVE,
						   SR_MEMBER_SUSPECT,
						   SR_MEMBER_DEAD,
						   SR_MEMBER_LEFT };

	return state[record->version & SR_MEMBER_STATE_MASK];
}

guint64 sr_member_incarnation(const sr_gossip_record_t *record)
{
	return record->version >> SR_MEMBER_STATE_BITS;
}

gboolean sr_member_is_live(const sr_gossip_record_t *record)
{
	sr_member_state_t state = sr_member_state(record);

	return state == SR_MEMBER_ALIVE || state == SR_MEMBER_SUSPECT;
}

void sr_gossip_record_to_member(const sr_gossip_record_t *record,
				sr_member_t *member)
{
	*member = (sr_member_t){
		.name = record->key,
		.failure_domain = record->domain,
		.address = record->address,
		.incarnation = sr_member_incarnation(record),
		.state = sr_member_state(record),
	};
}

static void free_record(gpointer data)
{
	sr_gossip_record_t *record = data;

	sr_list_remove(&record->queue_link);
	g_free(record->key);
	g_free(record->value);
	g_free(record->domain);
	g_free(record->address);
	g_free(record);
}

void sr_gossip_table_init(sr_gossip_table_t *table, const char *domain)
{
	table->own_domain = g_strdup(domain);
	table->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     free_record);
	table->members_by_domain =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
}

void sr_gossip_table_clear(sr_gossip_table_t *table)
{
	g_hash_table_unref(table->members_by_domain);
	g_hash_table_unref(table->by_id);
	g_free(table->own_domain);
}

sr_gossip_record_t *sr_gossip_table_find(const sr_gossip_table_t *table,
					 guint8 kind, const char *key)
{
	guint64 id = sr_gossip_record_id(kind, key);

	return g_hash_table_lookup(table->by_id, &id);
}

const GPtrArray *sr_gossip_table_domain_members(const sr_gossip_table_t *table,
						const char *domain)
{
	return g_hash_table_lookup(table->members_by_domain, domain);
}

static gint compare_scores(gconstpointer a, gconstpointer b)
{
	const sr_gossip_record_t *x = *(sr_gossip_record_t *const *)a;
	const sr_gossip_record_t *y = *(sr_gossip_record_t *const *)b;

	if (x->delegate_score != y->delegate_score)
		return x->delegate_score < y->delegate_score ? -1 : 1;
	return strcmp(x->key, y->key);
}

static void add_to_domain(sr_gossip_table_t *table, sr_gossip_record_t *record)
{
	GPtrArray *list =
		g_hash_table_lookup(table->members_by_domain, record->domain);

	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(table->members_by_domain,
				    g_strdup(record->domain), list);
	}
	g_ptr_array_add(list, record);
	g_ptr_array_sort(list, compare_scores);
}

static void remove_from_domain(sr_gossip_table_t *table,
			       sr_gossip_record_t *record)
{
	GPtrArray *list =
		g_hash_table_lookup(table->members_by_domain, record->domain);

	g_ptr_array_remove(list, record);
	if (!list->len)
		g_hash_table_remove(table->members_by_domain, record->domain);
}

GByteArray *sr_gossip_encode_member(const char *domain, const char *address)
{
	GByteArray *value = g_byte_array_new();

	g_byte_array_append(value, (const guint8 *)domain,
			    (guint)strlen(domain) + 1);
	g_byte_array_append(value, (const guint8 *)address,
			    (guint)strlen(address) + 1);
	return value;
}

/* The value of a member is its domain and address, each ended by a NUL. */
static gboolean parse_member_value(const sr_wire_record_t *wire,
				   const char **domain, const char **address)
{
	const char *text = (const char *)wire->value;
	gsize domain_size;
	gsize address_size;

	if (wire->size < 4 || text[wire->size - 1] != '\0')
		return FALSE;
	domain_size = strlen(text) + 1;
	if (domain_size >= wire->size)
		return FALSE;
	address_size = strlen(text + domain_size) + 1;
	*domain = text;
	*address = text + domain_size;
	return domain_size + address_size == wire->size && domain_size > 1 &&
	       address_size > 1 && domain_size <= SR_GOSSIP_NAME_MAX + 1 &&
	       address_size <= SR_GOSSIP_NAME_MAX + 1 && wire->key[0] &&
	       strlen(wire->key) <= SR_GOSSIP_NAME_MAX;
}

static sr_gossip_record_t *new_record(sr_gossip_table_t *table,
				      const sr_wire_record_t *wire)
{
	sr_gossip_record_t *record = g_new0(sr_gossip_record_t, 1);

	record->kind = wire->kind;
	record->key = g_strdup(wire->key);
	record->id = sr_gossip_record_id(wire->kind, wire->key);
	sr_list_init(&record->queue_link);
	g_hash_table_insert(table->by_id, &record->id, record);
	return record;
}

static void set_member(sr_gossip_table_t *table, sr_gossip_record_t *record,
		       const char *domain, const char *address)
{
	if (record->domain)
		remove_from_domain(table, record);
	g_free(record->domain);
	record->domain = g_strdup(domain);
	g_free(record->address);
	record->address = g_strdup(address);
	record->delegate_score = sr_gossip_delegate_score(record->key);
	add_to_domain(table, record);
}

sr_gossip_record_t *sr_gossip_table_merge(sr_gossip_table_t *table,
					  const sr_wire_record_t *wire,
					  sr_usec_t now)
{
	sr_gossip_record_t *record =
		sr_gossip_table_find(table, wire->kind, wire->key);
	const char *domain = NULL;
	const char *address = NULL;

	if (record && (strcmp(record->key, wire->key) != 0 ||
		       wire->version <= record->version))
		return NULL;
	if (wire->kind == SR_RECORD_MEMBER &&
	    !parse_member_value(wire, &domain, &address))
		return NULL;
	if (!record && g_hash_table_size(table->by_id) >= SR_GOSSIP_TABLE_MAX)
		return NULL;
	if (!record)
		record = new_record(table, wire);
	record->version = wire->version;
	record->changed_at = now;
	g_free(record->value);
	record->value = g_memdup2(wire->value, wire->size);
	record->size = wire->size;
	record->expires_at = 0;
	if (wire->ttl_ms != SR_RECORD_NO_EXPIRY)
		record->expires_at = now + wire->ttl_ms * SR_MSEC;
	if (wire->kind == SR_RECORD_MEMBER)
		set_member(table, record, domain, address);
	return record;
}

void sr_gossip_table_remove(sr_gossip_table_t *table,
			    sr_gossip_record_t *record)
{
	if (record->domain)
		remove_from_domain(table, record);
	g_hash_table_remove(table->by_id, &record->id);
}

gboolean sr_gossip_table_is_delegate(const sr_gossip_table_t *table,
				     const sr_gossip_record_t *record)
{
	const GPtrArray *list =
		sr_gossip_table_domain_members(table, record->domain);
	unsigned n_before = 0;

	if (!sr_member_is_live(record))
		return FALSE;
	for (guint i = 0; i < list->len && n_before < SR_GOSSIP_DELEGATES;
	     i++) {
		sr_gossip_record_t *other = g_ptr_array_index(list, i);

		if (other == record)
			return TRUE;
		n_before += sr_member_is_live(other);
	}
	return FALSE;
}

gboolean sr_gossip_table_in_scope(const sr_gossip_table_t *table,
				  const sr_gossip_record_t *record,
				  const char *domain)
{
	if (record->kind != SR_RECORD_MEMBER)
		return TRUE;
	if (strcmp(domain, table->own_domain) != 0)
		return sr_gossip_table_is_delegate(table, record);
	return !strcmp(record->domain, table->own_domain) ||
	       sr_member_is_live(record);
}

void sr_gossip_table_hashes(const sr_gossip_table_t *table, const char *domain,
			    guint64 hashes[SR_GOSSIP_BUCKETS])
{
	GHashTableIter iter;
	gpointer value;

	memset(hashes, 0, SR_GOSSIP_BUCKETS * sizeof(hashes[0]));
	g_hash_table_iter_init(&iter, table->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sr_gossip_record_t *record = value;

		if (sr_gossip_table_in_scope(table, record, domain))
			hashes[sr_gossip_record_bucket(record->id)] ^=
				hash_version(record->id, record->version);
	}
}

gboolean sr_gossip_record_to_wire(const sr_gossip_record_t *record,
				  sr_usec_t now, sr_wire_record_t *wire)
{
	*wire = (sr_wire_record_t){
		.kind = record->kind,
		.key = record->key,
		.version = record->version,
		.ttl_ms = SR_RECORD_NO_EXPIRY,
		.value = record->value,
		.size = record->size,
	};
	if (!record->expires_at)
		return TRUE;
	if (record->expires_at - now < SEND_TTL_MIN)
		return FALSE;
	wire->ttl_ms = (guint32)MIN((record->expires_at - now) / SR_MSEC,
				    (sr_usec_t)SR_RECORD_NO_EXPIRY - 1);
	return TRUE;
}
