#include "core/journal_private.h"

/* A process that was stalled for longer may have lost its shards. */
#define STALL_LIMIT (500 * SR_MSEC)
/* First and longest delay before a run of an accepted posting is retried. */
#define RUN_RETRY_MIN (200 * SR_MSEC)
#define RUN_RETRY_MAX (10 * SR_SEC)
/* First and longest delay between queries for an unknown outcome. */
#define QUERY_RETRY_MIN (1 * SR_SEC)
#define QUERY_RETRY_MAX (60 * SR_SEC)
/* Runs started and outcomes queried per tick of a shard. */
#define WORK_PER_TICK 64
/* Checkpoints per lap of the log around its ring. */
#define CHECKPOINTS_PER_RING 4

static sr_journal_entry_t *entry_of_queue(sr_list_t *link)
{
	return sr_list_entry(link, sr_journal_entry_t, queue);
}

static sr_usec_t back_off(unsigned attempts, sr_usec_t min, sr_usec_t max)
{
	return MIN(min << MIN(attempts, 10), max);
}

static void add_work(sr_journal_shard_t *shard, sr_journal_entry_t *entry,
		     sr_usec_t due)
{
	entry->due = due;
	sr_list_remove(&entry->work);
	sr_list_append(&shard->work, &entry->work);
}

void sr_journal_shard_enqueue(sr_journal_shard_t *shard, sr_usec_t now,
			      sr_journal_entry_t *entry,
			      sr_journal_record_kind_t kind, sr_usec_t delay)
{
	g_assert(!entry->pending && sr_list_is_empty(&entry->queue));
	entry->pending = kind;
	entry->shard = shard->index;
	sr_list_remove(&entry->work);
	sr_list_append(&shard->queue, &entry->queue);
	sr_journal_log_request_write(shard->log, now, delay);
}

gboolean sr_journal_shard_is_authoritative(const sr_journal_shard_t *shard,
					   sr_usec_t now)
{
	const sr_journal_options_t *options = &shard->journal->options;

	if (!sr_journal_log_is_held(shard->log))
		return FALSE;
	if (sr_journal_log_has_lease(shard->log, now))
		return TRUE;
	if (now - shard->journal->last_tick > STALL_LIMIT ||
	    shard->stall_end > sr_journal_log_lease_start(shard->log))
		return FALSE;
	return !options->may_be_displaced ||
	       !options->may_be_displaced(options->user, shard->index,
					  sr_journal_log_epoch(shard->log));
}

/* Callbacks of the log */

static void on_reset(void *user)
{
	sr_journal_shard_t *shard = user;

	sr_journal_checkpoint_abort(shard->checkpoint);
	sr_journal_table_clear(shard->table);
	g_assert(sr_list_is_empty(&shard->queue));
	g_assert(sr_list_is_empty(&shard->writing));
	g_assert(sr_list_is_empty(&shard->work));
	shard->running = 0;
}

static void on_load(void *user, const GPtrArray *records)
{
	sr_journal_shard_t *shard = user;

	for (guint i = 0; i < records->len; i++)
		sr_journal_table_load(shard->table, records->pdata[i]);
}

static void on_replay(void *user, const sr_batch_t *batch)
{
	sr_journal_shard_t *shard = user;

	for (guint i = 0; i < batch->records->len; i++)
		sr_journal_table_apply(shard->table, batch->records->pdata[i],
				       batch->number);
}

/* A posting that the previous holder dispatched may have run unless its end is
 * recorded. */
static void on_taken_over(void *user, guint64 number, sr_usec_t time)
{
	sr_journal_shard_t *shard = user;
	GPtrArray *entries = sr_journal_table_entries(shard->table);

	for (guint i = 0; i < entries->len; i++) {
		sr_journal_entry_t *entry = entries->pdata[i];

		if (entry->state == SR_ENTRY_DISPATCHED)
			sr_journal_table_mark_unknown(shard->table, entry, time,
						      number);
	}
	g_ptr_array_unref(entries);
}

static void notify_owner_changed(sr_journal_shard_t *shard, gboolean held)
{
	const sr_journal_options_t *options = &shard->journal->options;

	if (options->owner_changed)
		options->owner_changed(options->user, shard->index,
				       sr_journal_log_epoch(shard->log), held);
}

static void on_acquired(void *user, sr_usec_t now)
{
	sr_journal_shard_t *shard = user;
	GPtrArray *entries = sr_journal_table_entries(shard->table);

	for (guint i = 0; i < entries->len; i++) {
		sr_journal_entry_t *entry = entries->pdata[i];

		g_assert(entry->state != SR_ENTRY_DISPATCHED);
		entry->stored = entry->state == SR_ENTRY_ACCEPTED;
		if (entry->state == SR_ENTRY_ACCEPTED ||
		    entry->state == SR_ENTRY_UNKNOWN)
			add_work(shard, entry, now);
	}
	g_ptr_array_unref(entries);
	notify_owner_changed(shard, TRUE);
}

static gboolean on_fill_batch(void *user, sr_batch_t *batch)
{
	sr_journal_shard_t *shard = user;
	gsize bytes = 0;

	shard->writing_time = batch->time;
	while (!sr_list_is_empty(&shard->queue) &&
	       bytes < SR_JOURNAL_BATCH_BYTES) {
		sr_journal_entry_t *entry = entry_of_queue(shard->queue.next);
		sr_journal_record_t *record;

		if (entry->pending == SR_RECORD_DISPATCHED) {
			entry->run_id = sr_journal_random(shard->journal);
			entry->epoch = batch->epoch;
		}
		record = sr_journal_entry_to_record(entry, entry->pending,
						    batch->time);
		bytes += sr_journal_record_size(record);
		g_ptr_array_add(batch->records, record);
		sr_list_remove(&entry->queue);
		sr_list_append(&shard->writing, &entry->queue);
		entry->in_flight = TRUE;
	}
	return !sr_list_is_empty(&shard->queue);
}

static void start_run(sr_journal_shard_t *shard, sr_usec_t now,
		      sr_journal_entry_t *entry)
{
	sr_journal_t *journal = shard->journal;
	sr_journal_run_t run = {
		.run_id = entry->run_id,
		.epoch = entry->epoch,
		.account = entry->account,
		.key = entry->key,
		.service = entry->service,
		.request = entry->request,
		.deadline = entry->deadline,
	};

	if (!entry->stored && entry->deadline <= now)
		entry->cancelled = TRUE;
	if (entry->cancelled) {
		sr_journal_shard_enqueue(shard, now, entry, SR_RECORD_WITHDRAWN,
					 SR_JOURNAL_COALESCE_DELAY);
		return;
	}
	g_assert(entry->state == SR_ENTRY_DISPATCHED);
	g_assert(sr_journal_log_is_held(shard->log));
	g_assert(!g_hash_table_contains(journal->runs, &entry->run_id));
	g_hash_table_insert(journal->runs, &entry->run_id, entry);
	shard->running++;
	journal->options.run(journal->options.user, &run);
}

static void answer_accepted(sr_journal_shard_t *shard,
			    sr_journal_entry_t *entry)
{
	sr_journal_answer_t answer = { .kind = SR_ANSWER_ACCEPTED };

	sr_list_for_each_safe (link, &entry->waiters) {
		sr_waiter_t *waiter =
			sr_list_entry(link, sr_waiter_t, entry_link);

		if (waiter->respond_async)
			sr_waiter_answer(shard->journal, waiter, &answer);
	}
}

/* Applies the pending record of an entry, which is in the log now. */
static void on_record_durable(sr_journal_shard_t *shard, sr_usec_t now,
			      sr_journal_entry_t *entry, guint64 number)
{
	sr_journal_record_kind_t kind = entry->pending;
	sr_journal_record_t *record =
		sr_journal_entry_to_record(entry, kind, shard->writing_time);
	guint64 violations = sr_journal_table_violations(shard->table);

	entry->pending = 0;
	entry->in_flight = FALSE;
	entry = sr_journal_table_apply(shard->table, record, number);
	sr_journal_record_free(record);
	g_assert(sr_journal_table_violations(shard->table) == violations);
	switch (kind) {
	case SR_RECORD_ACCEPTED:
		entry->stored = TRUE;
		answer_accepted(shard, entry);
		add_work(shard, entry,
			 entry->attempts ?
				 now + back_off(entry->attempts, RUN_RETRY_MIN,
						RUN_RETRY_MAX) :
				 now);
		break;
	case SR_RECORD_DISPATCHED:
		start_run(shard, now, entry);
		break;
	case SR_RECORD_UNKNOWN:
		entry->attempts = 0;
		add_work(shard, entry, now + QUERY_RETRY_MIN);
		break;
	case SR_RECORD_DONE:
	case SR_RECORD_WITHDRAWN:
		break;
	}
}

static void on_durable(void *user, sr_usec_t now, guint64 number)
{
	sr_journal_shard_t *shard = user;

	while (!sr_list_is_empty(&shard->writing)) {
		sr_journal_entry_t *entry = entry_of_queue(shard->writing.next);

		sr_list_remove(&entry->queue);
		on_record_durable(shard, now, entry, number);
	}
}

/*
 * Answer to the waiters of an entry whose shard was lost. The next holder may
 * run it only if it finds an ACCEPTED record. It never runs what this process
 * has DISPATCHED, and this process starts no more runs of the shard.
 */
static sr_journal_answer_t answer_when_lost(const sr_journal_entry_t *entry,
					    sr_log_lost_t loss,
					    gboolean authoritative)
{
	sr_journal_answer_t not_run = {
		.kind = authoritative ? SR_ANSWER_NOT_RUN : SR_ANSWER_UNKNOWN,
		.err = SR_ERR_NOT_OWNER,
		.retry_after = SR_JOURNAL_RETRY_NOT_OWNER,
	};
	sr_journal_answer_t unknown = {
		.kind = SR_ANSWER_UNKNOWN,
		.err = SR_ERR_OUTCOME_UNKNOWN,
		.retry_after = SR_JOURNAL_RETRY_NOT_OWNER,
	};

	if (entry->state != SR_ENTRY_NEW)
		return unknown;
	if (entry->pending == SR_RECORD_ACCEPTED && entry->in_flight &&
	    loss == SR_LOG_LOST_IN_DOUBT)
		return unknown;
	return not_run;
}

static void on_lost(void *user, sr_usec_t now, sr_log_lost_t loss)
{
	sr_journal_shard_t *shard = user;
	sr_journal_t *journal = shard->journal;
	GPtrArray *entries = sr_journal_table_entries(shard->table);
	gboolean authoritative = sr_journal_log_has_lease(shard->log, now);

	for (guint i = 0; i < entries->len; i++) {
		sr_journal_entry_t *entry = entries->pdata[i];
		sr_journal_answer_t answer =
			answer_when_lost(entry, loss, authoritative);

		if (g_hash_table_lookup(journal->runs, &entry->run_id) ==
		    entry) {
			sr_journal_table_steal(shard->table, entry);
			entry->orphaned = TRUE;
			entry->shard = shard->index;
		} else {
			sr_waiter_answer_all(journal, entry, &answer);
		}
	}
	g_ptr_array_unref(entries);
	notify_owner_changed(shard, FALSE);
}

static void on_wake(void *user)
{
	sr_journal_shard_t *shard = user;

	shard->journal->options.wake(shard->journal->options.user);
}

static const sr_journal_log_ops_t log_ops = {
	.reset = on_reset,
	.load = on_load,
	.replay = on_replay,
	.taken_over = on_taken_over,
	.acquired = on_acquired,
	.fill_batch = on_fill_batch,
	.durable = on_durable,
	.lost = on_lost,
	.wake = on_wake,
};

static void init_checkpoint(sr_journal_shard_t *shard, const char *prefix)
{
	const sr_journal_options_t *options = &shard->journal->options;
	sr_journal_checkpoint_options_t checkpoint_options = {
		.store = options->store,
		.log = shard->log,
		.table = shard->table,
		.prefix = prefix,
		.seed = options->seed,
		.retention = options->retention,
		.batch_threshold = options->ring_slots / CHECKPOINTS_PER_RING,
		.wake = on_wake,
		.user = shard,
	};

	shard->checkpoint = sr_journal_checkpoint_new(&checkpoint_options);
}

void sr_journal_shard_init(sr_journal_t *journal, unsigned index)
{
	sr_journal_shard_t *shard = &journal->shards[index];
	char *prefix = g_strdup_printf("journal/%s/%03u", journal->options.home,
				       index);
	sr_journal_log_options_t options = {
		.store = journal->options.store,
		.prefix = prefix,
		.owner = journal->options.node,
		.seed = journal->options.seed,
		.lease = journal->options.lease,
		.write_interval = journal->options.write_interval,
		.ring_slots = journal->options.ring_slots,
		.ops = &log_ops,
		.user = shard,
	};

	shard->journal = journal;
	shard->index = index;
	shard->table = sr_journal_table_new(journal->options.retention);
	sr_list_init(&shard->queue);
	sr_list_init(&shard->writing);
	sr_list_init(&shard->work);
	shard->log = sr_journal_log_new(&options);
	init_checkpoint(shard, prefix);
	g_free(prefix);
}

void sr_journal_shard_clear(sr_journal_shard_t *shard)
{
	sr_journal_checkpoint_free(shard->checkpoint);
	sr_journal_log_free(shard->log);
	sr_journal_table_free(shard->table);
}

/* Outcomes */

void sr_journal_shard_report_outcome(sr_journal_shard_t *shard, sr_usec_t now,
				     const sr_journal_entry_t *match,
				     unsigned status, GBytes *result)
{
	sr_journal_entry_t *entry;

	if (!sr_journal_log_is_held(shard->log))
		return;
	entry = sr_journal_table_find(
		shard->table, sr_journal_log_shard_time(shard->log, now),
		match->account, match->key);
	if (!entry || entry->state != SR_ENTRY_UNKNOWN || entry->pending ||
	    entry->run_id != match->run_id)
		return;
	entry->status = status;
	if (result && g_bytes_get_size(result) <= SR_JOURNAL_BODY_MAX)
		entry->result = g_bytes_ref(result);
	sr_journal_shard_enqueue(shard, now, entry, SR_RECORD_DONE,
				 SR_JOURNAL_COALESCE_DELAY);
}

static void answer_run(sr_journal_shard_t *shard, sr_journal_entry_t *entry,
		       const sr_journal_run_result_t *result)
{
	sr_journal_answer_t answer = { .retry_after = result->retry_after };

	switch (result->end) {
	case SR_RUN_ANSWERED:
		answer.kind = SR_ANSWER_RESULT;
		answer.status = result->status;
		answer.result = result->result;
		break;
	case SR_RUN_NOT_STARTED:
		if (entry->stored && !entry->orphaned)
			return; /* it will be retried */
		answer.kind =
			entry->stored ? SR_ANSWER_UNKNOWN : SR_ANSWER_NOT_RUN;
		answer.err = result->err;
		break;
	case SR_RUN_UNKNOWN:
		answer.kind = SR_ANSWER_UNKNOWN;
		answer.err = SR_ERR_OUTCOME_UNKNOWN;
		break;
	}
	sr_waiter_answer_all(shard->journal, entry, &answer);
}

static void record_run(sr_journal_shard_t *shard, sr_usec_t now,
		       sr_journal_entry_t *entry,
		       const sr_journal_run_result_t *result)
{
	sr_journal_record_kind_t kind = SR_RECORD_UNKNOWN;

	switch (result->end) {
	case SR_RUN_ANSWERED:
		kind = SR_RECORD_DONE;
		entry->status = result->status;
		if (result->result &&
		    g_bytes_get_size(result->result) <= SR_JOURNAL_BODY_MAX)
			entry->result = g_bytes_ref(result->result);
		break;
	case SR_RUN_NOT_STARTED:
		entry->attempts++;
		kind = entry->stored ? SR_RECORD_ACCEPTED : SR_RECORD_WITHDRAWN;
		break;
	case SR_RUN_UNKNOWN:
		break;
	}
	sr_journal_shard_enqueue(shard, now, entry, kind,
				 SR_JOURNAL_COALESCE_DELAY);
}

void sr_journal_shard_run_ended(sr_journal_shard_t *shard, sr_usec_t now,
				sr_journal_entry_t *entry,
				const sr_journal_run_result_t *result)
{
	g_hash_table_remove(shard->journal->runs, &entry->run_id);
	answer_run(shard, entry, result);
	if (!entry->orphaned) {
		shard->running--;
		record_run(shard, now, entry, result);
		return;
	}
	if (result->end == SR_RUN_ANSWERED)
		sr_journal_shard_report_outcome(shard, now, entry,
						result->status, result->result);
	sr_journal_entry_free(entry);
}

/* Ticks */

static void run_accepted(sr_journal_shard_t *shard, sr_usec_t now,
			 sr_journal_entry_t *entry)
{
	const sr_journal_options_t *options = &shard->journal->options;
	gboolean may_run = !options->has_capacity ||
			   options->has_capacity(options->user, entry->service);

	if (may_run && !entry->pending) {
		sr_journal_shard_enqueue(shard, now, entry,
					 SR_RECORD_DISPATCHED, 0);
		return;
	}
	add_work(shard, entry, now + RUN_RETRY_MIN);
}

static void query_outcome(sr_journal_shard_t *shard, sr_usec_t now,
			  sr_journal_entry_t *entry)
{
	const sr_journal_options_t *options = &shard->journal->options;
	sr_journal_unknown_t unknown = {
		.account = entry->account,
		.key = entry->key,
		.service = entry->service,
		.run_id = entry->run_id,
		.age = sr_journal_log_shard_time(shard->log, now) - entry->time,
	};

	add_work(shard, entry,
		 now + back_off(entry->attempts++, QUERY_RETRY_MIN,
				QUERY_RETRY_MAX));
	if (options->query_outcome)
		options->query_outcome(options->user, &unknown);
}

static void process_work(sr_journal_shard_t *shard, sr_usec_t now)
{
	unsigned left = WORK_PER_TICK;

	sr_list_for_each_safe (link, &shard->work) {
		sr_journal_entry_t *entry =
			sr_list_entry(link, sr_journal_entry_t, work);

		if (entry->due > now)
			continue;
		if (!left--)
			break;
		if (entry->state == SR_ENTRY_ACCEPTED)
			run_accepted(shard, now, entry);
		else if (entry->state == SR_ENTRY_UNKNOWN)
			query_outcome(shard, now, entry);
		else
			sr_list_remove(&entry->work);
	}
}

/*
 * While the log is not ready, as in an outage of the platform, refuses new
 * postings whose record is not being written yet.
 */
static void refuse_queued(sr_journal_shard_t *shard, sr_usec_t now)
{
	sr_journal_answer_t answer = {
		.kind = sr_journal_shard_is_authoritative(shard, now) ?
				SR_ANSWER_NOT_RUN :
				SR_ANSWER_UNKNOWN,
		.err = SR_ERR_PLATFORM,
		.retry_after = SR_JOURNAL_RETRY_PLATFORM,
	};

	sr_list_for_each_safe (link, &shard->queue) {
		sr_journal_entry_t *entry = entry_of_queue(link);

		if (entry->state != SR_ENTRY_NEW)
			continue;
		sr_waiter_answer_all(shard->journal, entry, &answer);
		sr_journal_table_remove(shard->table, entry);
	}
}

static void advance_release(sr_journal_shard_t *shard, sr_usec_t now)
{
	gboolean idle = !shard->running && sr_list_is_empty(&shard->queue) &&
			sr_list_is_empty(&shard->writing);

	if (idle || now >= shard->release_deadline ||
	    !sr_journal_log_is_held(shard->log))
		sr_journal_log_set_wanted(shard->log, now, FALSE);
}

void sr_journal_shard_tick(sr_journal_shard_t *shard, sr_usec_t now)
{
	gboolean ready;

	if (now - shard->journal->last_tick > STALL_LIMIT)
		shard->stall_end = now;
	if (shard->releasing)
		advance_release(shard, now);
	sr_journal_log_tick(shard->log, now);
	if (sr_journal_log_is_caught_up(shard->log))
		sr_journal_checkpoint_tick(shard->checkpoint, now);
	if (!sr_journal_log_is_held(shard->log))
		return;
	ready = sr_journal_log_is_ready(shard->log, now,
					SR_JOURNAL_MAX_WRITE_AGE);
	sr_journal_table_expire(shard->table,
				sr_journal_log_shard_time(shard->log, now));
	if (!ready && !shard->releasing)
		refuse_queued(shard, now);
	if (ready && !shard->releasing)
		process_work(shard, now);
	sr_journal_log_tick(shard->log, now);
}
