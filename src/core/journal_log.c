#include "core/journal_log.h"

#include <string.h>

#define NEVER G_MAXINT64
/* Shortest delay before a failed call is retried, and longest jitter on it. */
#define RETRY_MIN (50 * SR_MSEC)
#define RETRY_MAX (2 * SR_SEC)
/* Reads of the end of the log within one lease, by a claimant. */
#define POLLS_PER_LEASE 4

typedef enum {
	PHASE_OFF,
	PHASE_MANIFEST, /* reading the manifest */
	PHASE_SEGMENT,	/* reading the segments */
	PHASE_READ,	/* reading the log, then waiting for the lease to end */
	PHASE_LIST,	/* listing the versions of the slots */
	PHASE_CLAIM,	/* writing the first batch of a new epoch */
	PHASE_HELD,
} phase_t;

/* State of the write in progress. */
typedef enum {
	WRITE_NONE,
	WRITE_PUT,
	WRITE_READ_BACK, /* reading the slot to see if the put took effect */
} write_t;

struct sr_journal_log {
	sr_store_t *store;
	const sr_journal_log_ops_t *ops;
	void *user;
	char *prefix;
	char *owner;
	guint64 random;
	sr_usec_t lease;
	sr_usec_t write_interval;
	unsigned ring_slots;
	guint64 *versions; /* of the slots; 0 for none */

	phase_t phase;
	gboolean wanted;
	sr_usec_t due; /* earliest time of the next call */
	unsigned failures;

	sr_manifest_t *manifest;
	guint64 manifest_version;
	guint next_segment; /* index of the one to read */

	guint64 epoch;
	guint64 next_number;  /* lowest number not known to be in the log */
	gboolean released;    /* by the last batch read */
	sr_usec_t idle_since; /* last batch read, or start of reading */

	sr_usec_t time; /* shard time at local time time_at */
	sr_usec_t time_at;

	write_t write;
	GBytes *write_value;
	guint64 write_id;
	gboolean write_release; /* the batch being written releases the shard */
	sr_usec_t write_start;
	sr_usec_t lease_start;
	sr_usec_t last_write; /* start of the last write */
	sr_usec_t write_due;  /* requested start of the next write */
	guint64 writes;

	gboolean calling; /* until the reply is handled */
	sr_usec_t call_start;
	gboolean has_reply;
	sr_store_status_t status;
	guint64 version;
	sr_usec_t retry_after;
	GBytes *value;
	gboolean more;
	char *last_key; /* of the list so far, or NULL */
};

/* SplitMix64 */
static guint64 next_random(sr_journal_log_t *log)
{
	guint64 z = log->random += 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

sr_journal_log_t *sr_journal_log_new(const sr_journal_log_options_t *options)
{
	sr_journal_log_t *log = g_new0(sr_journal_log_t, 1);

	log->store = options->store;
	log->ops = options->ops;
	log->user = options->user;
	log->prefix = g_strdup(options->prefix);
	log->owner = g_strdup(options->owner);
	log->random = options->seed ^ ((guint64)g_str_hash(log->owner) << 32) ^
		      g_str_hash(log->prefix);
	log->lease = options->lease;
	log->write_interval = options->write_interval;
	log->write_due = NEVER;
	log->ring_slots = options->ring_slots;
	log->versions = g_new0(guint64, log->ring_slots);
	return log;
}

void sr_journal_log_free(sr_journal_log_t *log)
{
	if (!log)
		return;
	sr_store_cancel_all(log->store, log);
	g_clear_pointer(&log->value, g_bytes_unref);
	g_clear_pointer(&log->write_value, g_bytes_unref);
	sr_manifest_free(log->manifest);
	g_free(log->versions);
	g_free(log->last_key);
	g_free(log->prefix);
	g_free(log->owner);
	g_free(log);
}

gboolean sr_journal_log_is_held(const sr_journal_log_t *log)
{
	return log->phase == PHASE_HELD;
}

gboolean sr_journal_log_is_off(const sr_journal_log_t *log)
{
	return log->phase == PHASE_OFF;
}

static guint64 base_of(const sr_manifest_t *manifest)
{
	return manifest ? manifest->base : 0;
}

/* Only the slot of a compacted batch may be overwritten. */
static gboolean has_free_slot(const sr_journal_log_t *log)
{
	return log->next_number - base_of(log->manifest) <= log->ring_slots;
}

gboolean sr_journal_log_is_caught_up(const sr_journal_log_t *log)
{
	return log->phase == PHASE_HELD ||
	       (log->phase == PHASE_CLAIM && !has_free_slot(log));
}

static gboolean is_lease_valid(const sr_journal_log_t *log, sr_usec_t now)
{
	return now <= log->lease_start + log->lease;
}

gboolean sr_journal_log_has_lease(const sr_journal_log_t *log, sr_usec_t now)
{
	return log->phase == PHASE_HELD && is_lease_valid(log, now);
}

sr_usec_t sr_journal_log_lease_start(const sr_journal_log_t *log)
{
	return log->lease_start;
}

gboolean sr_journal_log_is_ready(const sr_journal_log_t *log, sr_usec_t now,
				 sr_usec_t max_write_age)
{
	if (log->phase != PHASE_HELD || !log->wanted)
		return FALSE;
	if (log->write != WRITE_NONE && now > log->write_start + max_write_age)
		return FALSE;
	return is_lease_valid(log, now) && has_free_slot(log);
}

sr_usec_t sr_journal_log_shard_time(const sr_journal_log_t *log, sr_usec_t now)
{
	if (log->phase != PHASE_HELD)
		return log->time;
	return log->time + (now - log->time_at);
}

guint64 sr_journal_log_epoch(const sr_journal_log_t *log)
{
	return log->epoch;
}

guint64 sr_journal_log_last_number(const sr_journal_log_t *log)
{
	return log->next_number - 1;
}

guint64 sr_journal_log_writes(const sr_journal_log_t *log)
{
	return log->writes;
}

const sr_manifest_t *sr_journal_log_manifest(const sr_journal_log_t *log,
					     guint64 *version)
{
	*version = log->manifest_version;
	return log->manifest;
}

void sr_journal_log_set_manifest(sr_journal_log_t *log, sr_manifest_t *manifest,
				 guint64 version)
{
	sr_manifest_free(log->manifest);
	log->manifest = manifest;
	log->manifest_version = version;
}

static unsigned slot_of(const sr_journal_log_t *log, guint64 number)
{
	return (unsigned)(number % log->ring_slots);
}

/*
 * Stores the listed versions of the slots before the claim. That of the next
 * number is known from reading the slot and is kept: the list may be newer, so
 * that an update on its version could overwrite a batch that was not read.
 */
static void update_slot_versions(sr_journal_log_t *log,
				 const sr_store_reply_t *reply)
{
	g_clear_pointer(&log->last_key, g_free);
	log->more = reply->more;
	for (guint i = 0; i < reply->list->len; i++) {
		const sr_store_entry_t *entry = reply->list->pdata[i];
		guint64 slot = g_ascii_strtoull(strrchr(entry->key, '/') + 1,
						NULL, 10);

		if (slot < log->ring_slots &&
		    slot != slot_of(log, log->next_number))
			log->versions[slot] = entry->version;
		if (i + 1 == reply->list->len)
			log->last_key = g_strdup(entry->key);
	}
}

static void on_reply(void *user, const sr_store_reply_t *reply)
{
	sr_journal_log_t *log = user;

	g_assert(log->calling && !log->has_reply);
	log->has_reply = TRUE;
	log->status = reply->status;
	log->version = reply->version;
	log->retry_after = reply->retry_after;
	log->value = reply->value ? g_bytes_ref(reply->value) : NULL;
	if (reply->list)
		update_slot_versions(log, reply);
	log->ops->wake(log->user);
}

/* Takes ownership of key. */
static void submit_call(sr_journal_log_t *log, sr_usec_t now, sr_store_op_t op,
			char *key)
{
	sr_store_call_t store_call = {
		.op = op,
		.class = SR_STORE_JOURNAL,
		.key = key,
		.value = op == SR_STORE_CREATE || op == SR_STORE_UPDATE ?
				 log->write_value :
				 NULL,
		.if_version =
			op == SR_STORE_UPDATE ?
				log->versions[slot_of(log, log->next_number)] :
				0,
		.after = op == SR_STORE_LIST ? log->last_key : NULL,
		.done = on_reply,
		.user = log,
	};

	g_assert(!log->calling);
	log->calling = TRUE;
	log->call_start = now;
	sr_store_submit(log->store, &store_call);
	g_free(key);
}

static char *slot_key(const sr_journal_log_t *log)
{
	return g_strdup_printf("%s/log/%06u", log->prefix,
			       slot_of(log, log->next_number));
}

static char *manifest_key(const sr_journal_log_t *log)
{
	return g_strdup_printf("%s/manifest", log->prefix);
}

/* Exponential backoff with jitter, or the delay from the platform if longer. */
static void back_off(sr_journal_log_t *log, sr_usec_t now)
{
	unsigned shift = MIN(log->failures, 6);
	sr_usec_t range = MIN(RETRY_MIN << shift, RETRY_MAX);
	sr_usec_t jitter = (sr_usec_t)(next_random(log) % (guint64)range);

	log->failures++;
	log->due = now + RETRY_MIN + MAX(jitter, log->retry_after);
}

static void restart(sr_journal_log_t *log)
{
	log->phase = log->wanted ? PHASE_MANIFEST : PHASE_OFF;
	log->write = WRITE_NONE;
	log->write_due = NEVER;
	g_clear_pointer(&log->write_value, g_bytes_unref);
	log->due = 0;
	log->ops->reset(log->user);
}

static void lose_shard(sr_journal_log_t *log, sr_usec_t now, sr_log_lost_t loss)
{
	gboolean was_held = log->phase == PHASE_HELD;

	if (was_held)
		log->ops->lost(log->user, now, loss);
	restart(log);
}

void sr_journal_log_step_down(sr_journal_log_t *log, sr_usec_t now)
{
	sr_store_cancel_all(log->store, log);
	log->calling = FALSE;
	log->has_reply = FALSE;
	g_clear_pointer(&log->value, g_bytes_unref);
	lose_shard(log, now, SR_LOG_LOST_IN_DOUBT);
}

/* Reading */

static void begin_read(sr_journal_log_t *log)
{
	log->epoch = 0;
	log->time = 0;
	log->next_number = base_of(log->manifest) + 1;
	log->released = log->manifest == NULL;
	log->next_segment = 0;
	if (log->manifest) {
		log->epoch = log->manifest->epoch;
		log->phase = PHASE_SEGMENT;
		if (log->manifest->segments->len > 0)
			return;
	}
	log->phase = PHASE_READ;
}

static void on_manifest(sr_journal_log_t *log, sr_usec_t now)
{
	sr_manifest_t *manifest = NULL;

	if (log->status == SR_STORE_OK &&
	    sr_manifest_decode(log->value, &manifest) != SR_OK) {
		back_off(log, now);
		return;
	}
	if (log->status != SR_STORE_OK && log->status != SR_STORE_NOT_FOUND) {
		back_off(log, now);
		return;
	}
	sr_journal_log_set_manifest(log, manifest, manifest ? log->version : 0);
	log->ops->reset(log->user);
	memset(log->versions, 0, log->ring_slots * sizeof(*log->versions));
	log->idle_since = now;
	begin_read(log);
}

static void on_segment(sr_journal_log_t *log, sr_usec_t now)
{
	const sr_segment_ref_t *ref =
		log->manifest->segments->pdata[log->next_segment];
	GPtrArray *records;

	if (log->status == SR_STORE_NOT_FOUND) { /* the manifest is outdated */
		restart(log);
		back_off(log, now);
		return;
	}
	if (log->status != SR_STORE_OK ||
	    sr_segment_decode(log->value, &records) != SR_OK) {
		back_off(log, now);
		return;
	}
	log->time = MAX(log->time, ref->newest);
	log->ops->load(log->user, records);
	g_ptr_array_unref(records);
	if (++log->next_segment == log->manifest->segments->len)
		log->phase = PHASE_READ;
}

static void replay_batch(sr_journal_log_t *log, const sr_batch_t *batch)
{
	log->time = MAX(log->time, batch->time);
	if (batch->epoch > log->epoch) {
		log->epoch = batch->epoch;
		log->ops->taken_over(log->user, batch->number, log->time);
	}
	log->released = batch->release;
	log->next_number++;
	log->ops->replay(log->user, batch);
}

/*
 * The end of the log was read. The shard may be claimed if it was released, or
 * if this read started a whole lease after the last batch was first seen.
 */
static void on_end_of_log(sr_journal_log_t *log, sr_usec_t now)
{
	sr_usec_t idle_until = log->idle_since + log->lease;

	if (log->released || log->call_start >= idle_until) {
		log->phase = PHASE_LIST;
		g_clear_pointer(&log->last_key, g_free);
		return;
	}
	log->due = MIN(now + log->lease / POLLS_PER_LEASE, idle_until);
}

static void on_read(sr_journal_log_t *log, sr_usec_t now)
{
	sr_batch_t *batch;

	if (log->status == SR_STORE_NOT_FOUND) {
		log->versions[slot_of(log, log->next_number)] = 0;
		on_end_of_log(log, now);
		return;
	}
	if (log->status != SR_STORE_OK ||
	    sr_batch_decode(log->value, &batch) != SR_OK) {
		back_off(log, now);
		return;
	}
	log->versions[slot_of(log, log->next_number)] = log->version;
	if (batch->number == log->next_number) {
		log->idle_since = now;
		replay_batch(log, batch);
	} else if (batch->number < log->next_number) {
		on_end_of_log(log, now);
	} else { /* the slot was reused; the manifest is outdated */
		restart(log);
	}
	sr_batch_free(batch);
}

static void on_list(sr_journal_log_t *log, sr_usec_t now)
{
	if (log->status != SR_STORE_OK)
		back_off(log, now);
	else if (!log->more || !log->last_key)
		log->phase = PHASE_CLAIM;
}

/* Writing */

/* Takes ownership of batch. */
static void begin_write(sr_journal_log_t *log, sr_usec_t now, sr_batch_t *batch)
{
	g_assert(log->write == WRITE_NONE);
	batch->number = log->next_number;
	log->write_value = sr_batch_encode(batch);
	g_assert(g_bytes_get_size(log->write_value) <= SR_STORE_VALUE_MAX);
	log->write_id = batch->write_id;
	log->write_release = batch->release;
	log->write_start = now;
	log->last_write = now;
	log->write = WRITE_PUT;
	sr_batch_free(batch);
}

static void begin_claim(sr_journal_log_t *log, sr_usec_t now)
{
	sr_batch_t *batch =
		sr_batch_new(log->owner, log->epoch + 1, next_random(log));

	batch->time = sr_journal_log_shard_time(log, now);
	begin_write(log, now, batch);
}

static void begin_batch(sr_journal_log_t *log, sr_usec_t now)
{
	sr_batch_t *batch =
		sr_batch_new(log->owner, log->epoch, next_random(log));
	gboolean more;

	batch->time = sr_journal_log_shard_time(log, now);
	more = log->ops->fill_batch(log->user, batch);
	log->write_due = NEVER;
	batch->release = !log->wanted && !more;
	begin_write(log, now, batch);
	if (more)
		sr_journal_log_request_write(log, now, 0);
}

static void complete_write(sr_journal_log_t *log, sr_usec_t now)
{
	gboolean claimed = log->phase == PHASE_CLAIM;
	guint64 number = log->next_number;

	log->versions[slot_of(log, number)] = log->version;
	log->write = WRITE_NONE;
	g_clear_pointer(&log->write_value, g_bytes_unref);
	log->next_number++;
	log->writes++;
	log->lease_start = log->write_start;
	if (claimed) {
		log->epoch++;
		log->phase = PHASE_HELD;
		log->time_at = now;
		log->ops->taken_over(log->user, number, log->time);
		log->ops->acquired(log->user, now);
		return;
	}
	log->ops->durable(log->user, now, number);
	if (log->write_release && log->phase == PHASE_HELD) {
		log->ops->lost(log->user, now, SR_LOG_LOST_NOT_WRITTEN);
		restart(log);
	}
}

static void on_put(sr_journal_log_t *log, sr_usec_t now)
{
	switch (log->status) {
	case SR_STORE_OK:
		complete_write(log, now);
		break;
	case SR_STORE_NOT_DONE:
		back_off(log, now);
		break;
	default:
		log->write = WRITE_READ_BACK;
		break;
	}
}

/* The number is still free; puts the same batch again. */
static void retry_put(sr_journal_log_t *log, sr_usec_t now, guint64 version)
{
	log->versions[slot_of(log, log->next_number)] = version;
	log->write = WRITE_PUT;
	back_off(log, now);
}

/*
 * Handles the read that follows a put whose reply was lost or a conflict. If
 * the put has not taken effect it is repeated: should the first one still
 * arrive, only one of them succeeds, as both require the same version. If the
 * slot holds a later number, the batch may have been there and been compacted.
 */
static void on_read_back(sr_journal_log_t *log, sr_usec_t now)
{
	sr_batch_t *batch;
	guint64 number;
	gboolean is_own_write;

	if (log->status == SR_STORE_NOT_FOUND) {
		retry_put(log, now, 0);
		return;
	}
	if (log->status != SR_STORE_OK ||
	    sr_batch_decode(log->value, &batch) != SR_OK) {
		back_off(log, now);
		return;
	}
	number = batch->number;
	is_own_write = batch->write_id == log->write_id;
	sr_batch_free(batch);
	if (number < log->next_number)
		retry_put(log, now, log->version);
	else if (number > log->next_number)
		lose_shard(log, now, SR_LOG_LOST_IN_DOUBT);
	else if (is_own_write)
		complete_write(log, now);
	else
		lose_shard(log, now, SR_LOG_LOST_NOT_WRITTEN);
}

static void on_write_reply(sr_journal_log_t *log, sr_usec_t now)
{
	switch (log->write) {
	case WRITE_PUT:
		on_put(log, now);
		break;
	case WRITE_READ_BACK:
		on_read_back(log, now);
		break;
	case WRITE_NONE:
		g_assert_not_reached();
	}
}

static void handle_reply(sr_journal_log_t *log, sr_usec_t now)
{
	unsigned failures = log->failures;

	log->calling = FALSE;
	log->has_reply = FALSE;
	switch (log->phase) {
	case PHASE_MANIFEST:
		on_manifest(log, now);
		break;
	case PHASE_SEGMENT:
		on_segment(log, now);
		break;
	case PHASE_READ:
		on_read(log, now);
		break;
	case PHASE_LIST:
		on_list(log, now);
		break;
	case PHASE_CLAIM:
	case PHASE_HELD:
		on_write_reply(log, now);
		break;
	case PHASE_OFF:
		break;
	}
	if (log->failures == failures)
		log->failures = 0;
	g_clear_pointer(&log->value, g_bytes_unref);
}

static void call_for_write(sr_journal_log_t *log, sr_usec_t now)
{
	gboolean slot_used = log->versions[slot_of(log, log->next_number)] != 0;

	switch (log->write) {
	case WRITE_PUT:
		submit_call(log, now,
			    slot_used ? SR_STORE_UPDATE : SR_STORE_CREATE,
			    slot_key(log));
		break;
	case WRITE_READ_BACK:
		submit_call(log, now, SR_STORE_GET, slot_key(log));
		break;
	case WRITE_NONE:
		break;
	}
}

static sr_usec_t next_write_at(const sr_journal_log_t *log)
{
	sr_usec_t renewal = log->lease_start + log->lease / 2;

	if (!log->wanted)
		return 0;
	return MIN(renewal,
		   MAX(log->write_due, log->last_write + log->write_interval));
}

static void call_next(sr_journal_log_t *log, sr_usec_t now)
{
	const sr_segment_ref_t *ref;

	switch (log->phase) {
	case PHASE_OFF:
		break;
	case PHASE_MANIFEST:
		submit_call(log, now, SR_STORE_GET, manifest_key(log));
		break;
	case PHASE_SEGMENT:
		ref = log->manifest->segments->pdata[log->next_segment];
		submit_call(log, now, SR_STORE_GET,
			    g_strdup_printf("%s/%s", log->prefix, ref->name));
		break;
	case PHASE_READ:
		submit_call(log, now, SR_STORE_GET, slot_key(log));
		break;
	case PHASE_LIST:
		submit_call(log, now, SR_STORE_LIST,
			    g_strdup_printf("%s/log/", log->prefix));
		break;
	case PHASE_CLAIM:
		if (log->write == WRITE_NONE && has_free_slot(log))
			begin_claim(log, now);
		call_for_write(log, now);
		break;
	case PHASE_HELD:
		if (log->write == WRITE_NONE && now >= next_write_at(log) &&
		    has_free_slot(log))
			begin_batch(log, now);
		call_for_write(log, now);
		break;
	}
}

void sr_journal_log_set_wanted(sr_journal_log_t *log, sr_usec_t now,
			       gboolean wanted)
{
	log->wanted = wanted;
	if (wanted && log->phase == PHASE_OFF)
		log->phase = PHASE_MANIFEST;
	if (!wanted && log->phase < PHASE_CLAIM && !log->calling)
		log->phase = PHASE_OFF;
}

void sr_journal_log_request_write(sr_journal_log_t *log, sr_usec_t now,
				  sr_usec_t delay)
{
	log->write_due = MIN(log->write_due, now + delay);
}

void sr_journal_log_tick(sr_journal_log_t *log, sr_usec_t now)
{
	if (log->has_reply)
		handle_reply(log, now);
	if (!log->wanted && !log->calling && log->phase < PHASE_CLAIM)
		log->phase = PHASE_OFF;
	if (!log->calling && now >= log->due)
		call_next(log, now);
}
