#include "core/journal_private.h"

/* A process that is not run for so long may have lost its shards. */
#define STANDSTILL (500 * SR_MSEC)
/* First and longest wait before an accepted posting is tried again. */
#define RUN_RETRY_MIN (200 * SR_MSEC)
#define RUN_RETRY_MAX (10 * SR_SEC)
/* First and longest wait between questions about an unknown outcome. */
#define ASK_MIN (1 * SR_SEC)
#define ASK_MAX (60 * SR_SEC)
/* Postings started and questions asked by one tick of a shard. */
#define WORK_PER_TICK 64
/* Checkpoints while the log goes once around its ring. */
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
			      sr_journal_entry_t *entry, sr_record_kind_t kind,
			      sr_usec_t delay)
{
	g_assert(!entry->pending && sr_list_is_empty(&entry->queue));
	entry->pending = kind;
	entry->shard = shard->index;
	sr_list_remove(&entry->work);
	sr_list_append(&shard->queue, &entry->queue);
	sr_journal_log_request(shard->log, now, delay);
}

gboolean sr_journal_shard_is_sure(const sr_journal_shard_t *shard,
				  sr_usec_t now)
{
	const sr_journal_options_t *options = &shard->journal->options;

	if (!sr_journal_log_is_held(shard->log))
		return FALSE;
	if (sr_journal_log_has_lease(shard->log, now))
		return TRUE;
	if (now - shard->journal->last_tick > STANDSTILL ||
	    shard->woke > sr_journal_log_lease_from(shard->log))
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
	g_assert(sr_list_is_empty(&shard->flight));
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

/* What the old holder dispatched and did not end may or may not have run. */
static void on_taken_over(void *user, guint64 number, sr_usec_t time)
{
	sr_journal_shard_t *shard = user;
	GPtrArray *entries = sr_journal_table_entries(shard->table);

	for (guint i = 0; i < entries->len; i++) {
		sr_journal_entry_t *entry = entries->pdata[i];

		if (entry->state == SR_ENTRY_DISPATCHED)
			sr_journal_table_lose(shard->table, entry, time,
					      number);
	}
	g_ptr_array_unref(entries);
}

static void tell_owner(sr_journal_shard_t *shard, gboolean held)
{
	const sr_journal_options_t *options = &shard->journal->options;

	if (options->owner_changed)
		options->owner_changed(options->user, shard->index,
				       sr_journal_log_epoch(shard->log), held);
}

static void on_owned(void *user, sr_usec_t now)
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
	tell_owner(shard, TRUE);
}

static gboolean on_gather(void *user, sr_batch_t *batch)
{
	sr_journal_shard_t *shard = user;
	gsize bytes = 0;

	shard->flight_time = batch->time;
	while (!sr_list_is_empty(&shard->queue) &&
	       bytes < SR_JOURNAL_BATCH_BYTES) {
		sr_journal_entry_t *entry = entry_of_queue(shard->queue.next);
		sr_record_t *record;

		if (entry->pending == SR_RECORD_DISPATCHED) {
			entry->run = sr_journal_random(shard->journal);
			entry->epoch = batch->epoch;
		}
		record = sr_journal_entry_record(entry, entry->pending,
						 batch->time);
		bytes += sr_record_size(record);
		g_ptr_array_add(batch->records, record);
		sr_list_remove(&entry->queue);
		sr_list_append(&shard->flight, &entry->queue);
		entry->in_flight = TRUE;
	}
	return !sr_list_is_empty(&shard->queue);
}

static void start_run(sr_journal_shard_t *shard, sr_usec_t now,
		      sr_journal_entry_t *entry)
{
	sr_journal_t *journal = shard->journal;
	sr_journal_run_t run = {
		.run = entry->run,
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
					 SR_JOURNAL_LAZY);
		return;
	}
	g_assert(entry->state == SR_ENTRY_DISPATCHED);
	g_assert(sr_journal_log_is_held(shard->log));
	g_assert(!g_hash_table_contains(journal->runs, &entry->run));
	g_hash_table_insert(journal->runs, &entry->run, entry);
	shard->running++;
	journal->options.run(journal->options.user, &run);
}

static void answer_accepted(sr_journal_shard_t *shard,
			    sr_journal_entry_t *entry)
{
	sr_journal_answer_t answer = { .kind = SR_ANSWER_ACCEPTED };

	sr_list_for_each_safe (link, &entry->waiters) {
		sr_waiter_t *waiter = sr_list_entry(link, sr_waiter_t, link);

		if (waiter->respond_async)
			sr_waiter_answer(shard->journal, waiter, &answer);
	}
}

/* The entry's pending record is in the log. */
static void follow_record(sr_journal_shard_t *shard, sr_usec_t now,
			  sr_journal_entry_t *entry, guint64 number)
{
	sr_record_kind_t kind = entry->pending;
	sr_record_t *record =
		sr_journal_entry_record(entry, kind, shard->flight_time);
	guint64 violations = sr_journal_table_violations(shard->table);

	entry->pending = 0;
	entry->in_flight = FALSE;
	entry = sr_journal_table_apply(shard->table, record, number);
	sr_record_free(record);
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
		add_work(shard, entry, now + ASK_MIN);
		break;
	case SR_RECORD_DONE:
	case SR_RECORD_WITHDRAWN:
		break;
	}
}

static void on_durable(void *user, sr_usec_t now, guint64 number)
{
	sr_journal_shard_t *shard = user;

	while (!sr_list_is_empty(&shard->flight)) {
		sr_journal_entry_t *entry = entry_of_queue(shard->flight.next);

		sr_list_remove(&entry->queue);
		follow_record(shard, now, entry, number);
	}
}

/*
 * What to tell those who wait on an entry whose shard was lost. Only ACCEPTED
 * can be run by the next holder; our own DISPATCHED is run by nobody now.
 */
static sr_journal_answer_t answer_when_lost(const sr_journal_entry_t *entry,
					    sr_log_lost_t how, gboolean sure)
{
	sr_journal_answer_t not_run = {
		.kind = sure ? SR_ANSWER_NOT_RUN : SR_ANSWER_UNKNOWN,
		.err = SR_ERR_NOT_OWNER,
		.retry_after = SR_SEC,
	};
	sr_journal_answer_t unknown = {
		.kind = SR_ANSWER_UNKNOWN,
		.err = SR_ERR_OUTCOME_UNKNOWN,
		.retry_after = SR_SEC,
	};

	if (entry->state != SR_ENTRY_NEW)
		return unknown;
	if (entry->pending == SR_RECORD_ACCEPTED && entry->in_flight &&
	    how == SR_LOG_LOST_IN_DOUBT)
		return unknown;
	return not_run;
}

static void on_lost(void *user, sr_usec_t now, sr_log_lost_t how)
{
	sr_journal_shard_t *shard = user;
	sr_journal_t *journal = shard->journal;
	GPtrArray *entries = sr_journal_table_entries(shard->table);
	gboolean sure = sr_journal_log_has_lease(shard->log, now);

	for (guint i = 0; i < entries->len; i++) {
		sr_journal_entry_t *entry = entries->pdata[i];
		sr_journal_answer_t answer = answer_when_lost(entry, how, sure);

		if (g_hash_table_lookup(journal->runs, &entry->run) == entry) {
			sr_journal_table_steal(shard->table, entry);
			entry->orphaned = TRUE;
			entry->shard = shard->index;
		} else {
			sr_waiter_answer_all(journal, entry, &answer);
		}
	}
	g_ptr_array_unref(entries);
	tell_owner(shard, FALSE);
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
	.owned = on_owned,
	.gather = on_gather,
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
		.batches = options->ring / CHECKPOINTS_PER_RING,
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
		.interval = journal->options.interval,
		.ring = journal->options.ring,
		.ops = &log_ops,
		.user = shard,
	};

	shard->journal = journal;
	shard->index = index;
	shard->table = sr_journal_table_new(journal->options.retention);
	sr_list_init(&shard->queue);
	sr_list_init(&shard->flight);
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

/* Ends of runs */

void sr_journal_shard_outcome(sr_journal_shard_t *shard, sr_usec_t now,
			      const sr_journal_entry_t *like, unsigned status,
			      GBytes *result)
{
	sr_journal_entry_t *entry;

	if (!sr_journal_log_is_held(shard->log))
		return;
	entry = sr_journal_table_find(shard->table,
				      sr_journal_log_time(shard->log, now),
				      like->account, like->key);
	if (!entry || entry->state != SR_ENTRY_UNKNOWN || entry->pending ||
	    entry->run != like->run)
		return;
	entry->status = status;
	if (result && g_bytes_get_size(result) <= SR_JOURNAL_BODY_MAX)
		entry->result = g_bytes_ref(result);
	sr_journal_shard_enqueue(shard, now, entry, SR_RECORD_DONE,
				 SR_JOURNAL_LAZY);
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
			return;
		answer.kind =
			entry->stored ? SR_ANSWER_UNKNOWN : SR_ANSWER_NOT_RUN;
		answer.err = result->err;
		break;
	case SR_RUN_LOST:
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
	sr_record_kind_t kind = SR_RECORD_UNKNOWN;

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
	case SR_RUN_LOST:
		break;
	}
	sr_journal_shard_enqueue(shard, now, entry, kind, SR_JOURNAL_LAZY);
}

void sr_journal_shard_run_ended(sr_journal_shard_t *shard, sr_usec_t now,
				sr_journal_entry_t *entry,
				const sr_journal_run_result_t *result)
{
	g_hash_table_remove(shard->journal->runs, &entry->run);
	answer_run(shard, entry, result);
	if (!entry->orphaned) {
		shard->running--;
		record_run(shard, now, entry, result);
		return;
	}
	if (result->end == SR_RUN_ANSWERED)
		sr_journal_shard_outcome(shard, now, entry, result->status,
					 result->result);
	sr_journal_entry_free(entry);
}

/* Work on a tick */

static void run_accepted(sr_journal_shard_t *shard, sr_usec_t now,
			 sr_journal_entry_t *entry)
{
	const sr_journal_options_t *options = &shard->journal->options;
	gboolean room = !options->has_capacity ||
			options->has_capacity(options->user, entry->service);

	if (room && !entry->pending) {
		sr_journal_shard_enqueue(shard, now, entry,
					 SR_RECORD_DISPATCHED, 0);
		return;
	}
	add_work(shard, entry, now + RUN_RETRY_MIN);
}

static void ask_outcome(sr_journal_shard_t *shard, sr_usec_t now,
			sr_journal_entry_t *entry)
{
	const sr_journal_options_t *options = &shard->journal->options;
	sr_journal_unknown_t unknown = {
		.account = entry->account,
		.key = entry->key,
		.service = entry->service,
		.run = entry->run,
		.age = sr_journal_log_time(shard->log, now) - entry->time,
	};

	add_work(shard, entry,
		 now + back_off(entry->attempts++, ASK_MIN, ASK_MAX));
	if (options->ask)
		options->ask(options->user, &unknown);
}

static void do_work(sr_journal_shard_t *shard, sr_usec_t now)
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
			ask_outcome(shard, now, entry);
		else
			sr_list_remove(&entry->work);
	}
}

/* While the platform does not answer, what is not being written is refused. */
static void refuse_queued(sr_journal_shard_t *shard, sr_usec_t now)
{
	sr_journal_answer_t answer = {
		.kind = sr_journal_shard_is_sure(shard, now) ?
				SR_ANSWER_NOT_RUN :
				SR_ANSWER_UNKNOWN,
		.err = SR_ERR_PLATFORM,
		.retry_after = 2 * SR_SEC,
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
			sr_list_is_empty(&shard->flight);

	if (idle || now >= shard->release_limit ||
	    !sr_journal_log_is_held(shard->log))
		sr_journal_log_want(shard->log, now, FALSE);
}

void sr_journal_shard_tick(sr_journal_shard_t *shard, sr_usec_t now)
{
	gboolean ready;

	if (now - shard->journal->last_tick > STANDSTILL)
		shard->woke = now;
	if (shard->releasing)
		advance_release(shard, now);
	sr_journal_log_tick(shard->log, now);
	if (sr_journal_log_is_complete(shard->log))
		sr_journal_checkpoint_tick(shard->checkpoint, now);
	if (!sr_journal_log_is_held(shard->log))
		return;
	ready = sr_journal_log_is_ready(shard->log, now, SR_JOURNAL_PATIENCE);
	sr_journal_table_expire(shard->table,
				sr_journal_log_time(shard->log, now));
	if (!ready && !shard->releasing)
		refuse_queued(shard, now);
	if (ready && !shard->releasing)
		do_work(shard, now);
	sr_journal_log_tick(shard->log, now);
}
