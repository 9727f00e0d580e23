#include "core/journal_checkpoint.h"

#include <string.h>

/* Shortest delay before a failed call is retried, and longest jitter on it. */
#define RETRY_MIN (100 * SR_MSEC)
#define RETRY_MAX (5 * SR_SEC)
/* Segments per list call. */
#define LIST_LIMIT 100

typedef enum {
	PHASE_IDLE,
	PHASE_SEGMENT,	 /* writing the new segments */
	PHASE_MANIFEST,	 /* writing the manifest */
	PHASE_READ_BACK, /* reading it to see if that write took effect */
	PHASE_LIST,	 /* listing segments */
	PHASE_DELETE,	 /* deleting those that no manifest can name */
} phase_t;

struct sr_journal_checkpoint {
	sr_store_t *store;
	sr_journal_log_t *log;
	sr_journal_table_t *table;
	char *prefix;
	guint64 random;
	sr_usec_t retention;
	guint64 batch_threshold;
	void (*wake)(void *user);
	void *user;

	phase_t phase;
	sr_usec_t retry_at;
	unsigned failures;
	GPtrArray *segment_names;  /* new ones; char */
	GPtrArray *segment_values; /* new ones; GBytes */
	guint segments_written;
	sr_manifest_t *manifest; /* to be written */
	guint64 if_version;	 /* of the manifest to replace; 0 for none */
	GPtrArray *garbage;	 /* listed keys, then keys to delete */
	char *list_after;	 /* last key listed, or NULL */

	gboolean calling; /* until the reply is handled */
	gboolean has_reply;
	sr_store_status_t status;
	guint64 version;
	GBytes *value;
	gboolean more;
};

/* SplitMix64 */
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
	checkpoint->batch_threshold = options->batch_threshold;
	checkpoint->wake = options->wake;
	checkpoint->user = options->user;
	checkpoint->segment_names = g_ptr_array_new_with_free_func(g_free);
	checkpoint->segment_values =
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
	checkpoint->retry_at = 0;
	checkpoint->failures = 0;
	g_ptr_array_set_size(checkpoint->segment_names, 0);
	g_ptr_array_set_size(checkpoint->segment_values, 0);
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
	g_ptr_array_unref(checkpoint->segment_names);
	g_ptr_array_unref(checkpoint->segment_values);
	g_ptr_array_unref(checkpoint->garbage);
	g_free(checkpoint->prefix);
	g_free(checkpoint);
}

/* Contents */

static void add_segment(sr_journal_checkpoint_t *checkpoint, guint64 id,
			const GPtrArray *records)
{
	sr_segment_ref_t *ref = g_new0(sr_segment_ref_t, 1);

	ref->name = g_strdup_printf(
		"seg/%020" G_GUINT64_FORMAT "-%016" G_GINT64_MODIFIER "x-%04u",
		checkpoint->manifest->base, id, checkpoint->segment_names->len);
	for (guint i = 0; i < records->len; i++) {
		const sr_journal_record_t *record = records->pdata[i];

		ref->newest = MAX(ref->newest, record->time);
	}
	g_ptr_array_add(checkpoint->segment_names, g_strdup(ref->name));
	g_ptr_array_add(checkpoint->segment_values, sr_segment_encode(records));
	g_ptr_array_add(checkpoint->manifest->segments, ref);
}

/* Splits the records into segments of bounded size. */
static void add_segments(sr_journal_checkpoint_t *checkpoint,
			 const GPtrArray *records)
{
	GPtrArray *chunk = g_ptr_array_new();
	guint64 id = next_random(checkpoint);
	gsize bytes = 0;

	for (guint i = 0; i < records->len; i++) {
		g_ptr_array_add(chunk, records->pdata[i]);
		bytes += sr_journal_record_size(records->pdata[i]);
		if (bytes >= SR_JOURNAL_BATCH_BYTES || i + 1 == records->len) {
			add_segment(checkpoint, id, chunk);
			g_ptr_array_set_size(chunk, 0);
			bytes = 0;
		}
	}
	g_ptr_array_unref(chunk);
}

static sr_segment_ref_t *copy_ref(const sr_segment_ref_t *ref)
{
	sr_segment_ref_t *copy = g_new0(sr_segment_ref_t, 1);

	copy->name = g_strdup(ref->name);
	copy->newest = ref->newest;
	return copy;
}

/*
 * Copies the references to the segments that are still needed. An expired one
 * is dropped only together with all older ones, so that no segment outlives one
 * with a newer state of the same posting. Returns the newest time in those
 * dropped, or -1; their entries that are still in the table are written again.
 */
static sr_usec_t keep_segments(sr_journal_checkpoint_t *checkpoint,
			       const sr_manifest_t *previous, sr_usec_t time)
{
	sr_usec_t dropped_until = -1;
	gboolean dropping = TRUE;

	for (guint i = 0; previous && i < previous->segments->len; i++) {
		const sr_segment_ref_t *ref = previous->segments->pdata[i];

		dropping =
			dropping && ref->newest + checkpoint->retention < time;
		if (dropping)
			dropped_until = MAX(dropped_until, ref->newest);
		else
			g_ptr_array_add(checkpoint->manifest->segments,
					copy_ref(ref));
	}
	return dropped_until;
}

static void begin_checkpoint(sr_journal_checkpoint_t *checkpoint, sr_usec_t now)
{
	const sr_manifest_t *previous = sr_journal_log_manifest(
		checkpoint->log, &checkpoint->if_version);
	sr_usec_t time = sr_journal_log_shard_time(checkpoint->log, now);
	GPtrArray *records;
	sr_usec_t dropped_until;

	checkpoint->manifest = sr_manifest_new();
	checkpoint->manifest->base =
		sr_journal_log_last_number(checkpoint->log);
	checkpoint->manifest->epoch = sr_journal_log_epoch(checkpoint->log);
	checkpoint->manifest->write_id = next_random(checkpoint);
	dropped_until = keep_segments(checkpoint, previous, time);
	records = sr_journal_table_changes(checkpoint->table,
					   previous ? previous->base : 0,
					   dropped_until);
	add_segments(checkpoint, records);
	g_ptr_array_unref(records);
	checkpoint->segments_written = 0;
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

static void submit_call(sr_journal_checkpoint_t *checkpoint, sr_store_op_t op,
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
	checkpoint->retry_at =
		now + RETRY_MIN +
		(sr_usec_t)(next_random(checkpoint) % (guint64)range);
}

static void on_segment(sr_journal_checkpoint_t *checkpoint, sr_usec_t now)
{
	/* The name is unique: a conflict means that it was written. */
	if (checkpoint->status == SR_STORE_OK ||
	    checkpoint->status == SR_STORE_CONFLICT)
		checkpoint->segments_written++;
	else
		back_off(checkpoint, now);
}

static void on_manifest_written(sr_journal_checkpoint_t *checkpoint)
{
	sr_journal_table_drop_tombstones(checkpoint->table,
					 checkpoint->manifest->base);
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
		on_manifest_written(checkpoint);
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
 * Adopts a manifest of another host, which is as valid as the one to be
 * written. If its base is beyond the end of the log as seen by this host, the
 * shard has another holder.
 */
static void adopt_manifest(sr_journal_checkpoint_t *checkpoint, sr_usec_t now,
			   sr_manifest_t *manifest)
{
	guint64 version = checkpoint->version;

	sr_journal_checkpoint_abort(checkpoint);
	back_off(checkpoint, now);
	if (manifest->base <= sr_journal_log_last_number(checkpoint->log)) {
		sr_journal_log_set_manifest(checkpoint->log, manifest, version);
		return;
	}
	sr_manifest_free(manifest);
	sr_journal_log_step_down(checkpoint->log, now);
}

static void on_read_back(sr_journal_checkpoint_t *checkpoint, sr_usec_t now)
{
	sr_manifest_t *manifest = NULL;
	gboolean is_own_write;

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
	is_own_write = manifest->write_id == checkpoint->manifest->write_id;
	if (!is_own_write && checkpoint->version != checkpoint->if_version) {
		adopt_manifest(checkpoint, now, manifest);
		return;
	}
	sr_manifest_free(manifest);
	if (is_own_write) {
		on_manifest_written(checkpoint);
	} else {
		checkpoint->phase = PHASE_MANIFEST;
		back_off(checkpoint, now);
	}
}

/*
 * A later manifest can name a new segment only if the number in its name is
 * above the base of the current manifest. Up to that base, a segment that the
 * current one does not name is garbage.
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

static void handle_reply(sr_journal_checkpoint_t *checkpoint, sr_usec_t now)
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
	case PHASE_DELETE: /* a key that is left is listed next time */
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

	submit_call(checkpoint,
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
	submit_call(checkpoint, SR_STORE_DELETE,
		    key + strlen(checkpoint->prefix) + 1, NULL);
	g_free(key);
}

static gboolean is_due(const sr_journal_checkpoint_t *checkpoint)
{
	guint64 version;
	const sr_manifest_t *manifest =
		sr_journal_log_manifest(checkpoint->log, &version);
	guint64 base = manifest ? manifest->base : 0;

	return sr_journal_log_last_number(checkpoint->log) >=
	       base + checkpoint->batch_threshold;
}

static void call_next(sr_journal_checkpoint_t *checkpoint, sr_usec_t now)
{
	guint i;

	if (checkpoint->phase == PHASE_IDLE && is_due(checkpoint))
		begin_checkpoint(checkpoint, now);
	if (checkpoint->phase == PHASE_SEGMENT &&
	    checkpoint->segments_written == checkpoint->segment_names->len) {
		g_ptr_array_set_size(checkpoint->segment_names, 0);
		g_ptr_array_set_size(checkpoint->segment_values, 0);
		checkpoint->phase = PHASE_MANIFEST;
	}
	i = checkpoint->segments_written;
	switch (checkpoint->phase) {
	case PHASE_IDLE:
		break;
	case PHASE_SEGMENT:
		submit_call(checkpoint, SR_STORE_CREATE,
			    checkpoint->segment_names->pdata[i],
			    checkpoint->segment_values->pdata[i]);
		break;
	case PHASE_MANIFEST:
		put_manifest(checkpoint);
		break;
	case PHASE_READ_BACK:
		submit_call(checkpoint, SR_STORE_GET, "manifest", NULL);
		break;
	case PHASE_LIST:
		submit_call(checkpoint, SR_STORE_LIST, "seg/", NULL);
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
		handle_reply(checkpoint, now);
	if (!checkpoint->calling && now >= checkpoint->retry_at)
		call_next(checkpoint, now);
}
