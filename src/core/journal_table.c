#include "core/journal_table.h"

#include <string.h>

/* Memory of an entry without its names and bodies, in bytes. */
#define ENTRY_OVERHEAD (sizeof(sr_journal_entry_t) + 128)

/* A withdrawn posting, of which a segment may hold an earlier state. */
typedef struct {
	sr_journal_record_t *record;
	guint64 number;
} tombstone_t;

struct sr_journal_table {
	GHashTable *entries; /* "ACCOUNT\nKEY" -> sr_journal_entry_t */
	sr_list_t expiry;
	GPtrArray *tombstones; /* tombstone_t, since the last checkpoint */
	sr_usec_t retention;
	gsize bytes;
	guint64 violations;
};

static char *make_id(const char *account, const char *key)
{
	return g_strdup_printf("%s\n%s", account, key);
}

static gsize entry_bytes(const sr_journal_entry_t *entry)
{
	gsize bytes = ENTRY_OVERHEAD + 2 * strlen(entry->account) +
		      2 * strlen(entry->key) + strlen(entry->service);

	if (entry->request)
		bytes += g_bytes_get_size(entry->request);
	if (entry->result)
		bytes += g_bytes_get_size(entry->result);
	return bytes;
}

static void update_bytes(sr_journal_table_t *table, sr_journal_entry_t *entry)
{
	table->bytes -= entry->bytes;
	entry->bytes = entry_bytes(entry);
	table->bytes += entry->bytes;
}

void sr_journal_entry_free(sr_journal_entry_t *entry)
{
	g_assert(sr_list_is_empty(&entry->waiters));
	sr_list_remove(&entry->queue);
	sr_list_remove(&entry->work);
	sr_list_remove(&entry->expiry);
	g_clear_pointer(&entry->request, g_bytes_unref);
	g_clear_pointer(&entry->result, g_bytes_unref);
	g_free(entry->account);
	g_free(entry->key);
	g_free(entry->service);
	g_free(entry);
}

static void tombstone_free(gpointer data)
{
	tombstone_t *tombstone = data;

	sr_journal_record_free(tombstone->record);
	g_free(tombstone);
}

sr_journal_table_t *sr_journal_table_new(sr_usec_t retention)
{
	sr_journal_table_t *table = g_new0(sr_journal_table_t, 1);

	table->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	table->retention = retention;
	table->tombstones = g_ptr_array_new_with_free_func(tombstone_free);
	sr_list_init(&table->expiry);
	return table;
}

void sr_journal_table_clear(sr_journal_table_t *table)
{
	GHashTableIter iter;
	gpointer entry;

	g_hash_table_iter_init(&iter, table->entries);
	while (g_hash_table_iter_next(&iter, NULL, &entry)) {
		g_hash_table_iter_remove(&iter);
		sr_journal_entry_free(entry);
	}
	table->bytes = 0;
	g_ptr_array_set_size(table->tombstones, 0);
}

void sr_journal_table_free(sr_journal_table_t *table)
{
	sr_journal_table_clear(table);
	g_ptr_array_unref(table->tombstones);
	g_hash_table_unref(table->entries);
	g_free(table);
}

void sr_journal_table_steal(sr_journal_table_t *table,
			    sr_journal_entry_t *entry)
{
	char *id = make_id(entry->account, entry->key);
	gboolean removed = g_hash_table_remove(table->entries, id);

	g_assert(removed);
	table->bytes -= entry->bytes;
	sr_list_remove(&entry->queue);
	sr_list_remove(&entry->work);
	sr_list_remove(&entry->expiry);
	g_free(id);
}

void sr_journal_table_remove(sr_journal_table_t *table,
			     sr_journal_entry_t *entry)
{
	sr_journal_table_steal(table, entry);
	sr_journal_entry_free(entry);
}

static gboolean has_ended(const sr_journal_entry_t *entry)
{
	return entry->state == SR_ENTRY_DONE ||
	       entry->state == SR_ENTRY_UNKNOWN;
}

static gboolean has_expired(const sr_journal_table_t *table,
			    const sr_journal_entry_t *entry, sr_usec_t time)
{
	return has_ended(entry) && !entry->pending &&
	       time > entry->time + table->retention;
}

static sr_journal_entry_t *find(sr_journal_table_t *table, const char *account,
				const char *key)
{
	char *id = make_id(account, key);
	sr_journal_entry_t *entry = g_hash_table_lookup(table->entries, id);

	g_free(id);
	return entry;
}

sr_journal_entry_t *sr_journal_table_find(sr_journal_table_t *table,
					  sr_usec_t time, const char *account,
					  const char *key)
{
	sr_journal_entry_t *entry = find(table, account, key);

	if (!entry || !has_expired(table, entry, time))
		return entry;
	sr_journal_table_remove(table, entry);
	return NULL;
}

sr_journal_entry_t *sr_journal_table_add(sr_journal_table_t *table,
					 const char *account, const char *key,
					 const char *service,
					 const guint64 *hash)
{
	sr_journal_entry_t *entry = g_new0(sr_journal_entry_t, 1);
	char *id = make_id(account, key);

	entry->account = g_strdup(account);
	entry->key = g_strdup(key);
	entry->service = g_strdup(service);
	entry->hash[0] = hash[0];
	entry->hash[1] = hash[1];
	sr_list_init(&entry->queue);
	sr_list_init(&entry->work);
	sr_list_init(&entry->expiry);
	sr_list_init(&entry->waiters);
	g_assert(!g_hash_table_contains(table->entries, id));
	g_hash_table_insert(table->entries, id, entry);
	update_bytes(table, entry);
	return entry;
}

static sr_entry_state_t state_after(sr_journal_record_kind_t kind)
{
	switch (kind) {
	case SR_RECORD_ACCEPTED:
		return SR_ENTRY_ACCEPTED;
	case SR_RECORD_DISPATCHED:
		return SR_ENTRY_DISPATCHED;
	case SR_RECORD_DONE:
		return SR_ENTRY_DONE;
	case SR_RECORD_UNKNOWN:
		return SR_ENTRY_UNKNOWN;
	case SR_RECORD_WITHDRAWN:
		return SR_ENTRY_NEW;
	}
	g_assert_not_reached();
}

static sr_journal_record_kind_t kind_of(sr_entry_state_t state)
{
	switch (state) {
	case SR_ENTRY_ACCEPTED:
		return SR_RECORD_ACCEPTED;
	case SR_ENTRY_DISPATCHED:
		return SR_RECORD_DISPATCHED;
	case SR_ENTRY_DONE:
		return SR_RECORD_DONE;
	case SR_ENTRY_UNKNOWN:
		return SR_RECORD_UNKNOWN;
	case SR_ENTRY_NEW:
		return SR_RECORD_WITHDRAWN;
	}
	g_assert_not_reached();
}

static gboolean may_follow(const sr_journal_entry_t *entry,
			   const sr_journal_record_t *record)
{
	switch (record->kind) {
	case SR_RECORD_ACCEPTED:
		return entry->state == SR_ENTRY_NEW ||
		       (entry->state == SR_ENTRY_DISPATCHED &&
			entry->run_id == record->run_id);
	case SR_RECORD_DISPATCHED:
		return entry->state == SR_ENTRY_NEW ||
		       entry->state == SR_ENTRY_ACCEPTED;
	case SR_RECORD_DONE:
	case SR_RECORD_UNKNOWN:
		return (entry->state == SR_ENTRY_DISPATCHED ||
			entry->state == SR_ENTRY_UNKNOWN) &&
		       entry->run_id == record->run_id;
	case SR_RECORD_WITHDRAWN:
		return entry->state == SR_ENTRY_ACCEPTED ||
		       (entry->state == SR_ENTRY_DISPATCHED &&
			entry->run_id == record->run_id);
	}
	return FALSE;
}

/* Sets the state of an entry from a record that may follow it. */
static void set_state(sr_journal_table_t *table, sr_journal_entry_t *entry,
		      const sr_journal_record_t *record)
{
	entry->state = state_after(record->kind);
	entry->run_id = record->run_id;
	entry->epoch = record->epoch;
	entry->time = record->time;
	if (record->request && !entry->request)
		entry->request = g_bytes_ref(record->request);
	if (record->kind == SR_RECORD_DONE) {
		entry->status = record->status;
		if (!entry->result && record->result)
			entry->result = g_bytes_ref(record->result);
	}
	sr_list_remove(&entry->expiry);
	if (has_ended(entry)) {
		g_clear_pointer(&entry->request, g_bytes_unref);
		sr_list_append(&table->expiry, &entry->expiry);
	}
	update_bytes(table, entry);
}

/* TRUE if the record may start a new posting of a key whose last one expired.
 */
static gboolean starts_posting(const sr_journal_record_t *record)
{
	return record->kind == SR_RECORD_ACCEPTED ||
	       record->kind == SR_RECORD_DISPATCHED;
}

static void withdraw(sr_journal_table_t *table, sr_journal_entry_t *entry,
		     const sr_journal_record_t *record, guint64 number)
{
	tombstone_t *tombstone = g_new0(tombstone_t, 1);

	g_assert(sr_list_is_empty(&entry->waiters));
	tombstone->record = sr_journal_entry_to_record(
		entry, SR_RECORD_WITHDRAWN, record->time);
	tombstone->number = number;
	g_ptr_array_add(table->tombstones, tombstone);
	sr_journal_table_remove(table, entry);
}

sr_journal_entry_t *sr_journal_table_apply(sr_journal_table_t *table,
					   const sr_journal_record_t *record,
					   guint64 number)
{
	sr_journal_entry_t *entry = find(table, record->account, record->key);

	if (entry && starts_posting(record) &&
	    has_expired(table, entry, record->time)) {
		sr_journal_table_remove(table, entry);
		entry = NULL;
	}
	if (!entry)
		entry = sr_journal_table_add(table, record->account,
					     record->key, record->service,
					     record->hash);
	if (!may_follow(entry, record)) {
		table->violations++;
		sr_journal_table_mark_unknown(table, entry, record->time,
					      number);
		return entry;
	}
	if (record->kind == SR_RECORD_WITHDRAWN) {
		withdraw(table, entry, record, number);
		return NULL;
	}
	entry->number = number;
	set_state(table, entry, record);
	return entry;
}

void sr_journal_table_load(sr_journal_table_t *table,
			   const sr_journal_record_t *record)
{
	sr_journal_entry_t *entry = find(table, record->account, record->key);

	if (entry)
		sr_journal_table_remove(table, entry);
	if (record->kind == SR_RECORD_WITHDRAWN)
		return;
	entry = sr_journal_table_add(table, record->account, record->key,
				     record->service, record->hash);
	set_state(table, entry, record);
}

void sr_journal_table_mark_unknown(sr_journal_table_t *table,
				   sr_journal_entry_t *entry, sr_usec_t time,
				   guint64 number)
{
	entry->state = SR_ENTRY_UNKNOWN;
	entry->time = time;
	entry->number = number;
	sr_list_remove(&entry->expiry);
	sr_list_append(&table->expiry, &entry->expiry);
}

void sr_journal_table_expire(sr_journal_table_t *table, sr_usec_t time)
{
	sr_list_for_each_safe (link, &table->expiry) {
		sr_journal_entry_t *entry =
			sr_list_entry(link, sr_journal_entry_t, expiry);

		if (!has_expired(table, entry, time))
			break;
		sr_journal_table_remove(table, entry);
	}
}

sr_journal_record_t *sr_journal_entry_to_record(const sr_journal_entry_t *entry,
						sr_journal_record_kind_t kind,
						sr_usec_t time)
{
	sr_journal_record_t *record = g_new0(sr_journal_record_t, 1);

	record->kind = kind ? kind : kind_of(entry->state);
	record->account = g_strdup(entry->account);
	record->key = g_strdup(entry->key);
	record->service = g_strdup(entry->service);
	record->hash[0] = entry->hash[0];
	record->hash[1] = entry->hash[1];
	record->run_id = entry->run_id;
	record->epoch = entry->epoch;
	record->time = time;
	if (record->kind == SR_RECORD_ACCEPTED && entry->request)
		record->request = g_bytes_ref(entry->request);
	if (record->kind == SR_RECORD_DONE) {
		record->status = entry->status;
		if (entry->result)
			record->result = g_bytes_ref(entry->result);
	}
	return record;
}

static sr_journal_record_t *
copy_withdrawn_record(const sr_journal_record_t *record)
{
	sr_journal_record_t *copy = g_new0(sr_journal_record_t, 1);

	*copy = *record;
	copy->account = g_strdup(record->account);
	copy->key = g_strdup(record->key);
	copy->service = g_strdup(record->service);
	return copy;
}

GPtrArray *sr_journal_table_changes(const sr_journal_table_t *table,
				    guint64 base, sr_usec_t dropped_until)
{
	GPtrArray *records = g_ptr_array_new_with_free_func(
		(GDestroyNotify)sr_journal_record_free);
	GPtrArray *entries = sr_journal_table_entries(table);

	for (guint i = 0; i < table->tombstones->len; i++) {
		const tombstone_t *tombstone = table->tombstones->pdata[i];

		if (tombstone->number > base)
			g_ptr_array_add(records, copy_withdrawn_record(
							 tombstone->record));
	}
	for (guint i = 0; i < entries->len; i++) {
		const sr_journal_entry_t *entry = entries->pdata[i];

		if (entry->state != SR_ENTRY_NEW &&
		    (entry->number > base || entry->time <= dropped_until))
			g_ptr_array_add(records,
					sr_journal_entry_to_record(
						entry, 0, entry->time));
	}
	g_ptr_array_unref(entries);
	return records;
}

void sr_journal_table_drop_tombstones(sr_journal_table_t *table, guint64 base)
{
	for (guint i = 0; i < table->tombstones->len;) {
		const tombstone_t *tombstone = table->tombstones->pdata[i];

		if (tombstone->number <= base)
			g_ptr_array_remove_index(table->tombstones, i);
		else
			i++;
	}
}

GPtrArray *sr_journal_table_entries(const sr_journal_table_t *table)
{
	GPtrArray *entries = g_ptr_array_new();
	GHashTableIter iter;
	gpointer entry;

	g_hash_table_iter_init(&iter, table->entries);
	while (g_hash_table_iter_next(&iter, NULL, &entry))
		g_ptr_array_add(entries, entry);
	return entries;
}

guint sr_journal_table_size(const sr_journal_table_t *table)
{
	return g_hash_table_size(table->entries);
}

gsize sr_journal_table_bytes(const sr_journal_table_t *table)
{
	return table->bytes;
}

guint64 sr_journal_table_violations(const sr_journal_table_t *table)
{
	return table->violations;
}
