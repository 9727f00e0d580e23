#include "core/journal_checkpoint.h"

#include <string.h>

#define RETRY_MIN (100 * SR_MSEC)
#define RETRY_MAX (5 * SR_SEC)
#define LIST_LIMIT 100

typedef enum {
	PHASE_IDLE,
	PHASE_SEGMENT,
	PHASE_MANIFEST,
	PHASE_READ_BACK,
	PHASE_LIST,
	PHASE_DELETE,
} phase_t;

struct sr_journal_checkpoint {
	sr_store_t *store;
	sr_journal_log_t *log;
	sr_journal_table_t *table;
	char *prefix;
	guint64 random;
	sr_usec_t retention;
	guint64 batches;
	void (*wake)(void *user);
	void *user;

	phase_t phase;
	sr_usec_t due;
	unsigned failures;
	GPtrArray *names;  /* of the new segments */
	GPtrArray *values; /* of the new segments, GBytes */
	guint written;
	sr_manifest_t *manifest; /* to be written */
	guint64 if_version;
	GPtrArray *garbage; /* keys to delete */
	char *list_after;

	gboolean calling;
	gboolean has_reply;
	sr_store_status_t status;
	guint64 version;
	GBytes *value;
	gboolean more;
};

static guint64 next_random(sr_journal_checkpoint_t *checkpoint)
{
	guint64 z = checkpoint->random += 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

sr_journal_checkpoint_t *
sr_journal_checkpoint_new(const sr_journal_checkpoint_options_t *options)
{
	sr_journal_checkpoint_t *checkpoint =
		g_new0(sr_journal_checkpoint_t, 1);

	checkpoint->store = options->store;
	checkpoint->log = options->log;
	checkpoint->table = options->table;
	checkpoint->prefix = g_strdup(options->prefix);
	checkpoint->random = ~options->seed ^ g_str_hash(options->prefix);
	checkpoint->retention = options->retention;
	checkpoint->batches = options->batches;
	checkpoint->wake = options->wake;
	checkpoint->user = options->user;
	checkpoint->names = g_ptr_array_new_with_free_func(g_free);
	checkpoint->values =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	checkpoint->garbage = g_ptr_array_new_with_free_func(g_free);
	return checkpoint;
}

void sr_journal_checkpoint_abort(sr_journal_checkpoint_t *checkpoint)
{
	sr_store_cancel_all(checkpoint->store, checkpoint);
	checkpoint->calling = FALSE;
	checkpoint->has_reply = FALSE;
	checkpoint->phase = PHASE_IDLE;
	checkpoint->due = 0;
	checkpoint->failures = 0;
	g_ptr_array_set_size(checkpoint->names, 0);
	g_ptr_array_set_size(checkpoint->values, 0);
	g_ptr_array_set_size(checkpoint->garbage, 0);
	g_clear_pointer(&checkpoint->manifest, sr_manifest_free);
	g_clear_pointer(&checkpoint->value, g_bytes_unref);
	g_clear_pointer(&checkpoint->list_after, g_free);
}

void sr_journal_checkpoint_free(sr_journal_checkpoint_t *checkpoint)
{
	if (!checkpoint)
		return;
	sr_journal_checkpoint_abort(checkpoint);
	g_ptr_array_unref(checkpoint->names);
	g_ptr_array_unref(checkpoint->values);
	g_ptr_array_unref(checkpoint->garbage);
	g_free(checkpoint->prefix);
	g_free(checkpoint);
}

/* What to write */

static void add_segment(sr_journal_checkpoint_t *checkpoint, guint64 id,
			const GPtrArray *records)
{
	sr_segment_ref_t *ref = g_new0(sr_segment_ref_t, 1);

	ref->name = g_strdup_printf(
		"seg/%020" G_GUINT64_FORMAT "-%016" G_GINT64_MODIFIER "x-%04u",
		checkpoint->manifest->base, id, checkpoint->names->len);
	for (guint i = 0; i < records->len; i++) {
		const sr_record_t *record = records->pdata[i];

		ref->newest = MAX(ref->newest, record->time);
	}
	g_ptr_array_add(checkpoint->names, g_strdup(ref->name));
	g_ptr_array_add(checkpoint->values, sr_segment_encode(records));
	g_ptr_array_add(checkpoint->manifest->segments, ref);
}

/* Splits the records into segments of bounded size. */
static void add_segments(sr_journal_checkpoint_t *checkpoint,
			 const GPtrArray *records)
{
	GPtrArray *part = g_ptr_array_new();
	guint64 id = next_random(checkpoint);
	gsize bytes = 0;

	for (guint i = 0; i < records->len; i++) {
		g_ptr_array_add(part, records->pdata[i]);
		bytes += sr_record_size(records->pdata[i]);
		if (bytes >= SR_JOURNAL_BATCH_BYTES || i + 1 == records->len) {
			add_segment(checkpoint, id, part);
			g_ptr_array_set_size(part, 0);
			bytes = 0;
		}
	}
	g_ptr_array_unref(part);
}

static sr_segment_ref_t *copy_ref(const sr_segment_ref_t *ref)
{
	sr_segment_ref_t *copy = g_new0(sr_segment_ref_t, 1);

	copy->name = g_strdup(ref->name);
	copy->newest = ref->newest;
	return copy;
}

/*
 * Carries over the segments that are still needed. The oldest go first, so
 * that no older state of a posting outlives a newer one. Returns the newest
 * time of those left out; what is still alive of them is written again.
 */
static sr_usec_t carry_over(sr_journal_checkpoint_t *checkpoint,
			    const sr_manifest_t *old, sr_usec_t time)
{
	sr_usec_t dropped = -1;
	gboolean dropping = TRUE;

	for (guint i = 0; old && i < old->segments->len; i++) {
		const sr_segment_ref_t *ref = old->segments->pdata[i];

		dropping =
			dropping && ref->newest + checkpoint->retention < time;
		if (dropping)
			dropped = MAX(dropped, ref->newest);
		else
			g_ptr_array_add(checkpoint->manifest->segments,
					copy_ref(ref));
	}
	return dropped;
}

static void begin(sr_journal_checkpoint_t *checkpoint, sr_usec_t now)
{
	const sr_manifest_t *old = sr_journal_log_manifest(
		checkpoint->log, &checkpoint->if_version);
	sr_usec_t time = sr_journal_log_time(checkpoint->log, now);
	GPtrArray *records;
	sr_usec_t dropped;

	checkpoint->manifest = sr_manifest_new();
	checkpoint->manifest->base = sr_journal_log_last(checkpoint->log);
	checkpoint->manifest->epoch = sr_journal_log_epoch(checkpoint->log);
	checkpoint->manifest->write_id = next_random(checkpoint);
	dropped = carry_over(checkpoint, old, time);
	records = sr_journal_table_changes(checkpoint->table,
					   old ? old->base : 0, dropped);
	add_segments(checkpoint, records);
	g_ptr_array_unref(records);
	checkpoint->written = 0;
	checkpoint->phase = PHASE_SEGMENT;
}

/* Calls */

static void on_reply(void *user, const sr_store_reply_t *reply)
{
	sr_journal_checkpoint_t *checkpoint = user;
	const char *last = NULL;

	g_assert(checkpoint->calling && !checkpoint->has_reply);
	checkpoint->has_reply = TRUE;
	checkpoint->status = reply->status;
	checkpoint->version = reply->version;
	checkpoint->more = reply->more;
	if (reply->value)
		checkpoint->value = g_bytes_ref(reply->value);
	for (guint i = 0; reply->list && i < reply->list->len; i++) {
		last = ((sr_store_entry_t *)reply->list->pdata[i])->key;
		g_ptr_array_add(checkpoint->garbage, g_strdup(last));
	}
	g_free(checkpoint->list_after);
	checkpoint->list_after = g_strdup(last);
	checkpoint->wake(checkpoint->user);
}

static void call(sr_journal_checkpoint_t *checkpoint, sr_store_op_t op,
		 const char *name, GBytes *value)
{
	char *key = g_strdup_printf("%s/%s", checkpoint->prefix, name);
	sr_store_call_t store_call = {
		.op = op,
		.class = SR_STORE_JOURNAL,
		.key = key,
		.value = value,
		.if_version =
			op == SR_STORE_UPDATE ? checkpoint->if_version : 0,
		.done = on_reply,
		.user = checkpoint,
	};

	if (op == SR_STORE_LIST) {
		store_call.after = checkpoint->list_after;
		store_call.limit = LIST_LIMIT;
	}
	checkpoint->calling = TRUE;
	sr_store_submit(checkpoint->store, &store_call);
	g_free(key);
}

static void back_off(sr_journal_checkpoint_t *checkpoint, sr_usec_t now)
{
	sr_usec_t range =
		MIN(RETRY_MIN << MIN(checkpoint->failures, 8), RETRY_MAX);

	checkpoint->failures++;
	checkpoint->due = now + RETRY_MIN +
			  (sr_usec_t)(next_random(checkpoint) % (guint64)range);
}

static void on_segment(sr_journal_checkpoint_t *checkpoint, sr_usec_t now)
{
	/* The name is ours alone: a conflict tells that it was written. */
	if (checkpoint->status == SR_STORE_OK ||
	    checkpoint->status == SR_STORE_CONFLICT)
		checkpoint->written++;
	else
		back_off(checkpoint, now);
}

static void on_written(sr_journal_checkpoint_t *checkpoint)
{
	sr_journal_table_folded(checkpoint->table, checkpoint->manifest->base);
	sr_journal_log_set_manifest(checkpoint->log,
				    g_steal_pointer(&checkpoint->manifest),
				    checkpoint->version);
	g_clear_pointer(&checkpoint->list_after, g_free);
	checkpoint->phase = PHASE_LIST;
}

static void on_manifest(sr_journal_checkpoint_t *checkpoint, sr_usec_t now)
{
	switch (checkpoint->status) {
	case SR_STORE_OK:
		on_written(checkpoint);
		break;
	case SR_STORE_NOT_DONE:
		back_off(checkpoint, now);
		break;
	default:
		checkpoint->phase = PHASE_READ_BACK;
		break;
	}
}

/*
 * Another node's manifest is as good as ours. If it goes beyond our log, the
 * shard has another holder.
 */
static void adopt(sr_journal_checkpoint_t *checkpoint, sr_usec_t now,
		  sr_manifest_t *manifest)
{
	guint64 version = checkpoint->version;

	sr_journal_checkpoint_abort(checkpoint);
	back_off(checkpoint, now);
	if (manifest->base <= sr_journal_log_last(checkpoint->log)) {
		sr_journal_log_set_manifest(checkpoint->log, manifest, version);
		return;
	}
	sr_manifest_free(manifest);
	sr_journal_log_give_up(checkpoint->log, now);
}

static void on_read_back(sr_journal_checkpoint_t *checkpoint, sr_usec_t now)
{
	sr_manifest_t *manifest = NULL;
	gboolean ours;

	if (checkpoint->status == SR_STORE_NOT_FOUND) {
		checkpoint->phase = PHASE_MANIFEST;
		back_off(checkpoint, now);
		return;
	}
	if (checkpoint->status != SR_STORE_OK ||
	    sr_manifest_decode(checkpoint->value, &manifest) != SR_OK) {
		back_off(checkpoint, now);
		return;
	}
	ours = manifest->write_id == checkpoint->manifest->write_id;
	if (!ours && checkpoint->version != checkpoint->if_version) {
		adopt(checkpoint, now, manifest);
		return;
	}
	sr_manifest_free(manifest);
	if (ours) {
		on_written(checkpoint);
	} else {
		checkpoint->phase = PHASE_MANIFEST;
		back_off(checkpoint, now);
	}
}

/*
 * A manifest yet to be written can name new segments only if their number is
 * above the base of the one in force, so that those up to it are garbage
 * unless they are named now.
 */
static gboolean is_garbage(const sr_journal_checkpoint_t *checkpoint,
			   const char *key)
{
	guint64 version;
	const sr_manifest_t *manifest =
		sr_journal_log_manifest(checkpoint->log, &version);
	const char *name = key + strlen(checkpoint->prefix) + 1;

	if (g_ascii_strtoull(name + strlen("seg/"), NULL, 10) > manifest->base)
		return FALSE;
	for (guint i = 0; i < manifest->segments->len; i++) {
		const sr_segment_ref_t *ref = manifest->segments->pdata[i];

		if (!strcmp(ref->name, name))
			return FALSE;
	}
	return TRUE;
}

static void on_list(sr_journal_checkpoint_t *checkpoint)
{
	if (checkpoint->status != SR_STORE_OK) {
		checkpoint->phase = PHASE_IDLE;
		return;
	}
	for (guint i = 0; i < checkpoint->garbage->len;) {
		if (is_garbage(checkpoint, checkpoint->garbage->pdata[i]))
			i++;
		else
			g_ptr_array_remove_index(checkpoint->garbage, i);
	}
	checkpoint->phase = PHASE_DELETE;
}

static void take_reply(sr_journal_checkpoint_t *checkpoint, sr_usec_t now)
{
	unsigned failures = checkpoint->failures;

	checkpoint->calling = FALSE;
	checkpoint->has_reply = FALSE;
	switch (checkpoint->phase) {
	case PHASE_SEGMENT:
		on_segment(checkpoint, now);
		break;
	case PHASE_MANIFEST:
		on_manifest(checkpoint, now);
		break;
	case PHASE_READ_BACK:
		on_read_back(checkpoint, now);
		break;
	case PHASE_LIST:
		on_list(checkpoint);
		break;
	case PHASE_DELETE: /* what is left is found by the next list */
	case PHASE_IDLE:
		break;
	}
	if (checkpoint->failures == failures)
		checkpoint->failures = 0;
	g_clear_pointer(&checkpoint->value, g_bytes_unref);
}

static void put_manifest(sr_journal_checkpoint_t *checkpoint)
{
	GBytes *value = sr_manifest_encode(checkpoint->manifest);

	call(checkpoint,
	     checkpoint->if_version ? SR_STORE_UPDATE : SR_STORE_CREATE,
	     "manifest", value);
	g_bytes_unref(value);
}

static void delete_next(sr_journal_checkpoint_t *checkpoint)
{
	char *key;

	if (!checkpoint->garbage->len) {
		checkpoint->phase = checkpoint->more ? PHASE_LIST : PHASE_IDLE;
		return;
	}
	key = g_ptr_array_steal_index(checkpoint->garbage, 0);
	call(checkpoint, SR_STORE_DELETE, key + strlen(checkpoint->prefix) + 1,
	     NULL);
	g_free(key);
}

static gboolean is_due(const sr_journal_checkpoint_t *checkpoint)
{
	guint64 version;
	const sr_manifest_t *manifest =
		sr_journal_log_manifest(checkpoint->log, &version);
	guint64 base = manifest ? manifest->base : 0;

	return sr_journal_log_last(checkpoint->log) >=
	       base + checkpoint->batches;
}

static void call_next(sr_journal_checkpoint_t *checkpoint, sr_usec_t now)
{
	guint i;

	if (checkpoint->phase == PHASE_IDLE && is_due(checkpoint))
		begin(checkpoint, now);
	if (checkpoint->phase == PHASE_SEGMENT &&
	    checkpoint->written == checkpoint->names->len) {
		g_ptr_array_set_size(checkpoint->names, 0);
		g_ptr_array_set_size(checkpoint->values, 0);
		checkpoint->phase = PHASE_MANIFEST;
	}
	i = checkpoint->written;
	switch (checkpoint->phase) {
	case PHASE_IDLE:
		break;
	case PHASE_SEGMENT:
		call(checkpoint, SR_STORE_CREATE, checkpoint->names->pdata[i],
		     checkpoint->values->pdata[i]);
		break;
	case PHASE_MANIFEST:
		put_manifest(checkpoint);
		break;
	case PHASE_READ_BACK:
		call(checkpoint, SR_STORE_GET, "manifest", NULL);
		break;
	case PHASE_LIST:
		call(checkpoint, SR_STORE_LIST, "seg/", NULL);
		break;
	case PHASE_DELETE:
		delete_next(checkpoint);
		break;
	}
}

void sr_journal_checkpoint_tick(sr_journal_checkpoint_t *checkpoint,
				sr_usec_t now)
{
	if (checkpoint->has_reply)
		take_reply(checkpoint, now);
	if (!checkpoint->calling && now >= checkpoint->due)
		call_next(checkpoint, now);
}
