#include "core/journal.h"

#include <string.h>
#include <xxhash.h>

#include "core/journal_private.h"

/* Delay before a refused caller may retry, without jitter. */
#define RETRY_FULL (30 * SR_SEC)
#define RETRY_WITHDRAWN (500 * SR_MSEC)
/* How long the release of an unwanted shard waits for its runs to end. */
#define RELEASE_TIMEOUT (10 * SR_SEC)

/* SplitMix64 */
guint64 sr_journal_random(sr_journal_t *journal)
{
	guint64 z = journal->random += 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

sr_journal_t *sr_journal_new(const sr_journal_options_t *options)
{
	sr_journal_t *journal = g_new0(sr_journal_t, 1);

	g_assert(options->n_shards > 0 && options->lease > 0);
	journal->options = *options;
	journal->options.node = g_strdup(options->node);
	journal->options.home = g_strdup(options->home);
	journal->random =
		options->seed ^ ((guint64)g_str_hash(options->node) << 32);
	journal->next_deadline = G_MAXINT64;
	journal->runs = g_hash_table_new(g_int64_hash, g_int64_equal);
	journal->tickets = g_hash_table_new(NULL, NULL);
	sr_list_init(&journal->waiters);
	journal->shards = g_new0(sr_journal_shard_t, options->n_shards);
	for (unsigned i = 0; i < options->n_shards; i++)
		sr_journal_shard_init(journal, i);
	return journal;
}

/* Frees the orphaned entries; the others are owned by the table of their shard.
 */
static void free_runs(sr_journal_t *journal)
{
	GHashTableIter iter;
	gpointer entry;

	g_hash_table_iter_init(&iter, journal->runs);
	while (g_hash_table_iter_next(&iter, NULL, &entry)) {
		gboolean orphaned = ((sr_journal_entry_t *)entry)->orphaned;

		g_hash_table_iter_remove(&iter);
		if (orphaned)
			sr_journal_entry_free(entry);
	}
	g_hash_table_unref(journal->runs);
}

void sr_journal_free(sr_journal_t *journal)
{
	if (!journal)
		return;
	sr_list_for_each_safe (link, &journal->waiters)
		sr_waiter_remove(journal, sr_list_entry(link, sr_waiter_t,
							journal_link));
	free_runs(journal);
	for (unsigned i = 0; i < journal->options.n_shards; i++)
		sr_journal_shard_clear(&journal->shards[i]);
	g_hash_table_unref(journal->tickets);
	g_free(journal->shards);
	g_free((char *)journal->options.node);
	g_free((char *)journal->options.home);
	g_free(journal);
}

unsigned sr_journal_shard_index(const char *account, const char *key,
				unsigned n_shards)
{
	XXH64_hash_t hash = XXH64(account, strlen(account), 0);

	return (unsigned)(XXH64(key, strlen(key), hash) % n_shards);
}

void sr_journal_set_wanted(sr_journal_t *journal, sr_usec_t now, unsigned index,
			   gboolean wanted)
{
	sr_journal_shard_t *shard = &journal->shards[index];

	if (journal->draining)
		return;
	if (wanted) {
		shard->releasing = FALSE;
		sr_journal_log_set_wanted(shard->log, now, TRUE);
	} else if (!shard->releasing) {
		shard->releasing = TRUE;
		shard->release_deadline = now + RELEASE_TIMEOUT;
	}
}

gboolean sr_journal_is_held(const sr_journal_t *journal, unsigned shard)
{
	return sr_journal_log_is_held(journal->shards[shard].log);
}

/* Submission */

/* Adds a random jitter of at most retry_after to the delay in the answer. */
static void send_answer(sr_journal_t *journal, void *ticket,
			sr_answer_kind_t kind, sr_err_t err,
			sr_usec_t retry_after)
{
	sr_journal_answer_t answer = {
		.kind = kind,
		.err = err,
		.retry_after = retry_after,
	};

	if (retry_after)
		answer.retry_after += (sr_usec_t)(sr_journal_random(journal) %
						  (guint64)retry_after);
	journal->options.answer(journal->options.user, ticket, &answer);
}

static void refuse(sr_journal_t *journal, void *ticket, sr_err_t err,
		   sr_usec_t retry_after)
{
	send_answer(journal, ticket, SR_ANSWER_NOT_RUN, err, retry_after);
}

static void answer_result(sr_journal_t *journal, void *ticket,
			  const sr_journal_entry_t *entry)
{
	sr_journal_answer_t answer = {
		.kind = SR_ANSWER_RESULT,
		.status = entry->status,
		.result = entry->result,
	};

	journal->options.answer(journal->options.user, ticket, &answer);
}

static void hash_request(const sr_journal_posting_t *posting, guint64 *hash)
{
	gsize size;
	gconstpointer data = g_bytes_get_data(posting->request, &size);
	XXH128_hash_t digest = XXH3_128bits(data, size);

	hash[0] = digest.low64;
	hash[1] = digest.high64;
}

/* The key is known: answers from the state of its posting, or waits. */
static void submit_existing(sr_journal_t *journal, sr_journal_entry_t *entry,
			    const sr_journal_posting_t *posting)
{
	guint64 hash[2];

	hash_request(posting, hash);
	if (hash[0] != entry->hash[0] || hash[1] != entry->hash[1])
		refuse(journal, posting->ticket, SR_ERR_KEY_REUSED, 0);
	else if (entry->state == SR_ENTRY_DONE ||
		 entry->pending == SR_RECORD_DONE)
		answer_result(journal, posting->ticket, entry);
	else if (entry->state == SR_ENTRY_UNKNOWN ||
		 entry->pending == SR_RECORD_UNKNOWN)
		send_answer(journal, posting->ticket, SR_ANSWER_UNKNOWN,
			    SR_ERR_OUTCOME_UNKNOWN, 0);
	else if (entry->pending == SR_RECORD_WITHDRAWN)
		refuse(journal, posting->ticket, SR_ERR_OVERLOADED,
		       RETRY_WITHDRAWN);
	else if (posting->respond_async && entry->stored)
		send_answer(journal, posting->ticket, SR_ANSWER_ACCEPTED, SR_OK,
			    0);
	else {
		entry->cancelled = FALSE;
		if (entry->deadline)
			entry->deadline =
				MAX(entry->deadline, posting->deadline);
		sr_waiter_add(journal, entry, posting);
	}
}

static gboolean is_full(const sr_journal_shard_t *shard,
			const sr_journal_posting_t *posting)
{
	const sr_journal_options_t *options = &shard->journal->options;

	return sr_journal_table_size(shard->table) >= options->max_entries ||
	       sr_journal_table_bytes(shard->table) +
			       g_bytes_get_size(posting->request) >
		       options->max_bytes;
}

static void accept_posting(sr_journal_shard_t *shard, sr_usec_t now,
			   const sr_journal_posting_t *posting)
{
	guint64 hash[2];
	sr_journal_entry_t *entry;

	hash_request(posting, hash);
	entry = sr_journal_table_add(shard->table, posting->account,
				     posting->key, posting->service, hash);
	entry->request = g_bytes_ref(posting->request);
	entry->deadline = posting->respond_async ? 0 : posting->deadline;
	sr_waiter_add(shard->journal, entry, posting);
	sr_journal_shard_enqueue(shard, now, entry,
				 posting->respond_async ? SR_RECORD_ACCEPTED :
							  SR_RECORD_DISPATCHED,
				 0);
	sr_journal_log_tick(shard->log, now);
}

static gboolean is_valid_name(const char *name)
{
	return *name && strlen(name) <= SR_JOURNAL_NAME_MAX &&
	       !strchr(name, '\n') && g_utf8_validate(name, -1, NULL);
}

static gboolean is_valid(const sr_journal_posting_t *posting)
{
	return is_valid_name(posting->account) && is_valid_name(posting->key) &&
	       is_valid_name(posting->service);
}

static void submit_new(sr_journal_shard_t *shard, sr_usec_t now,
		       const sr_journal_posting_t *posting)
{
	sr_journal_t *journal = shard->journal;
	sr_answer_kind_t refusal =
		sr_journal_shard_is_authoritative(shard, now) ?
			SR_ANSWER_NOT_RUN :
			SR_ANSWER_UNKNOWN;

	if (shard->releasing)
		send_answer(journal, posting->ticket, refusal,
			    journal->draining ? SR_ERR_DRAINING :
						SR_ERR_NOT_OWNER,
			    SR_JOURNAL_RETRY_NOT_OWNER);
	else if (!sr_journal_log_is_ready(shard->log, now,
					  SR_JOURNAL_MAX_WRITE_AGE))
		send_answer(journal, posting->ticket, refusal, SR_ERR_PLATFORM,
			    SR_JOURNAL_RETRY_PLATFORM);
	else if (posting->deadline <= now)
		refuse(journal, posting->ticket, SR_ERR_DEADLINE, 0);
	else if (g_bytes_get_size(posting->request) > SR_JOURNAL_BODY_MAX)
		refuse(journal, posting->ticket, SR_ERR_TOO_LARGE, 0);
	else if (is_full(shard, posting))
		refuse(journal, posting->ticket, SR_ERR_OVERLOADED, RETRY_FULL);
	else
		accept_posting(shard, now, posting);
}

void sr_journal_submit(sr_journal_t *journal, sr_usec_t now,
		       const sr_journal_posting_t *posting)
{
	sr_journal_entry_t *entry;
	sr_journal_shard_t *shard;

	if (!is_valid(posting)) {
		refuse(journal, posting->ticket, SR_ERR_INVALID, 0);
		return;
	}
	shard = &journal->shards[sr_journal_shard_index(
		posting->account, posting->key, journal->options.n_shards)];
	if (!sr_journal_log_is_held(shard->log)) {
		send_answer(journal, posting->ticket, SR_ANSWER_UNKNOWN,
			    SR_ERR_NOT_OWNER, SR_JOURNAL_RETRY_NOT_OWNER);
		return;
	}
	entry = sr_journal_table_find(
		shard->table, sr_journal_log_shard_time(shard->log, now),
		posting->account, posting->key);
	if (entry)
		submit_existing(journal, entry, posting);
	else
		submit_new(shard, now, posting);
}

void sr_journal_abandon(sr_journal_t *journal, void *ticket)
{
	sr_waiter_t *waiter = g_hash_table_lookup(journal->tickets, ticket);

	if (waiter)
		sr_waiter_remove(journal, waiter);
}

/* Deadlines */

static gboolean is_only_waiter(const sr_waiter_t *waiter)
{
	const sr_list_t *head = &waiter->entry->waiters;

	return head->next == &waiter->entry_link &&
	       head->prev == &waiter->entry_link;
}

/*
 * Answers a caller whose deadline has passed. A posting that no other host can
 * run is withdrawn, and the answer may then be NOT_RUN. That is a posting whose
 * record is not being written yet, or whose record is DISPATCHED, so that only
 * this process would send it.
 */
static void expire_waiter(sr_journal_t *journal, sr_waiter_t *waiter,
			  sr_usec_t now)
{
	sr_journal_entry_t *entry = waiter->entry;
	sr_journal_shard_t *shard = &journal->shards[entry->shard];
	gboolean withdrawable =
		entry->state == SR_ENTRY_NEW && is_only_waiter(waiter) &&
		!entry->orphaned &&
		(!entry->in_flight || entry->pending == SR_RECORD_DISPATCHED);
	sr_journal_answer_t answer = {
		.kind = withdrawable && sr_journal_shard_is_authoritative(shard,
									  now) ?
				SR_ANSWER_NOT_RUN :
				SR_ANSWER_UNKNOWN,
		.err = SR_ERR_DEADLINE,
	};

	sr_waiter_answer(journal, waiter, &answer);
	if (!withdrawable)
		return;
	if (entry->in_flight)
		entry->cancelled = TRUE;
	else
		sr_journal_table_remove(shard->table, entry);
}

static void expire_waiters(sr_journal_t *journal, sr_usec_t now)
{
	if (now < journal->next_deadline)
		return;
	journal->next_deadline = G_MAXINT64;
	sr_list_for_each_safe (link, &journal->waiters) {
		sr_waiter_t *waiter =
			sr_list_entry(link, sr_waiter_t, journal_link);

		if (waiter->deadline <= now)
			expire_waiter(journal, waiter, now);
		else
			journal->next_deadline =
				MIN(journal->next_deadline, waiter->deadline);
	}
}

void sr_journal_tick(sr_journal_t *journal, sr_usec_t now)
{
	expire_waiters(journal, now);
	for (unsigned i = 0; i < journal->options.n_shards; i++)
		sr_journal_shard_tick(&journal->shards[i], now);
	journal->last_tick = now;
}

/* Runs */

void sr_journal_run_ended(sr_journal_t *journal, sr_usec_t now, guint64 run_id,
			  const sr_journal_run_result_t *result)
{
	sr_journal_entry_t *entry = g_hash_table_lookup(journal->runs, &run_id);

	if (entry)
		sr_journal_shard_run_ended(&journal->shards[entry->shard], now,
					   entry, result);
}

void sr_journal_report_outcome(sr_journal_t *journal, sr_usec_t now,
			       const char *account, const char *key,
			       guint64 run_id, unsigned status, GBytes *result)
{
	sr_journal_entry_t match = {
		.account = (char *)account,
		.key = (char *)key,
		.run_id = run_id,
	};
	unsigned shard =
		sr_journal_shard_index(account, key, journal->options.n_shards);

	sr_journal_shard_report_outcome(&journal->shards[shard], now, &match,
					status, result);
}

/* Release */

void sr_journal_release(sr_journal_t *journal, sr_usec_t now,
			sr_usec_t deadline)
{
	journal->draining = TRUE;
	for (unsigned i = 0; i < journal->options.n_shards; i++) {
		journal->shards[i].releasing = TRUE;
		journal->shards[i].release_deadline = deadline;
	}
	sr_journal_tick(journal, now);
}

gboolean sr_journal_is_released(const sr_journal_t *journal)
{
	for (unsigned i = 0; i < journal->options.n_shards; i++)
		if (!sr_journal_log_is_off(journal->shards[i].log))
			return FALSE;
	return TRUE;
}

/* Inspection */

void sr_journal_foreach_unknown(sr_journal_t *journal, sr_usec_t now,
				void (*fn)(void *user,
					   const sr_journal_unknown_t *unknown),
				void *user)
{
	for (unsigned i = 0; i < journal->options.n_shards; i++) {
		sr_journal_shard_t *shard = &journal->shards[i];
		GPtrArray *entries;

		if (!sr_journal_log_is_held(shard->log))
			continue;
		entries = sr_journal_table_entries(shard->table);
		for (guint j = 0; j < entries->len; j++) {
			sr_journal_entry_t *entry = entries->pdata[j];
			sr_journal_unknown_t unknown = {
				.account = entry->account,
				.key = entry->key,
				.service = entry->service,
				.run_id = entry->run_id,
				.age = sr_journal_log_shard_time(shard->log,
								 now) -
				       entry->time,
			};

			if (entry->state == SR_ENTRY_UNKNOWN)
				fn(user, &unknown);
		}
		g_ptr_array_unref(entries);
	}
}

static guint count_unknown(const sr_journal_table_t *table)
{
	GPtrArray *entries = sr_journal_table_entries(table);
	guint unknown = 0;

	for (guint i = 0; i < entries->len; i++)
		if (((sr_journal_entry_t *)entries->pdata[i])->state ==
		    SR_ENTRY_UNKNOWN)
			unknown++;
	g_ptr_array_unref(entries);
	return unknown;
}

void sr_journal_stats(sr_journal_t *journal, sr_journal_stats_t *stats)
{
	memset(stats, 0, sizeof(*stats));
	for (unsigned i = 0; i < journal->options.n_shards; i++) {
		sr_journal_shard_t *shard = &journal->shards[i];

		stats->writes += sr_journal_log_writes(shard->log);
		stats->violations += sr_journal_table_violations(shard->table);
		stats->entries += sr_journal_table_size(shard->table);
		stats->bytes += sr_journal_table_bytes(shard->table);
		stats->unknown += count_unknown(shard->table);
		stats->held += sr_journal_log_is_held(shard->log);
	}
}
