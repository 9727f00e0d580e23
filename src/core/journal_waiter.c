#include "core/journal_private.h"

void sr_waiter_add(sr_journal_t *journal, sr_journal_entry_t *entry,
		   const sr_journal_posting_t *posting)
{
	sr_waiter_t *waiter = g_new0(sr_waiter_t, 1);

	waiter->entry = entry;
	waiter->ticket = posting->ticket;
	waiter->deadline = posting->deadline;
	waiter->respond_async = posting->respond_async;
	sr_list_init(&waiter->entry_link);
	sr_list_init(&waiter->journal_link);
	sr_list_append(&entry->waiters, &waiter->entry_link);
	sr_list_append(&journal->waiters, &waiter->journal_link);
	g_assert(!g_hash_table_contains(journal->tickets, waiter->ticket));
	g_hash_table_insert(journal->tickets, waiter->ticket, waiter);
	journal->next_deadline = MIN(journal->next_deadline, waiter->deadline);
}

void sr_waiter_remove(sr_journal_t *journal, sr_waiter_t *waiter)
{
	g_hash_table_remove(journal->tickets, waiter->ticket);
	sr_list_remove(&waiter->entry_link);
	sr_list_remove(&waiter->journal_link);
	g_free(waiter);
}

void sr_waiter_answer(sr_journal_t *journal, sr_waiter_t *waiter,
		      const sr_journal_answer_t *answer)
{
	void *ticket = waiter->ticket;

	sr_waiter_remove(journal, waiter);
	journal->options.answer(journal->options.user, ticket, answer);
}

void sr_waiter_answer_all(sr_journal_t *journal, sr_journal_entry_t *entry,
			  const sr_journal_answer_t *answer)
{
	sr_list_for_each_safe (link, &entry->waiters)
		sr_waiter_answer(journal,
				 sr_list_entry(link, sr_waiter_t, entry_link),
				 answer);
}
