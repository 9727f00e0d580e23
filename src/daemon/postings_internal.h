#ifndef SR_DAEMON_POSTINGS_INTERNAL_H
#define SR_DAEMON_POSTINGS_INTERNAL_H

#include "base/list.h"
#include "daemon/posting_codec.h"
#include "daemon/postings.h"

/**
 * What postings.c, posting_owner.c and posting_run.c share.
 */

/** sr_submission_t - one caller that waits, here or at another entry host. */
typedef struct {
	sr_list_t link;
	sr_postings_t *postings;
	char *id; /* account and key */
	sr_posting_fn done;
	void *user;
	sr_peer_request_t *request; /* if it came from another entry host */
	sr_trace_context_t context;
	sr_span_t *span; /* of the forward, or NULL */
	gboolean forwarded;
	sr_timer_t *timer; /* delivers the result */
	sr_posting_result_t result;
	char *detail;
	char *content_type;
} sr_submission_t;

struct sr_postings {
	sr_postings_options_t options; /* node and failure_domain are owned */
	sr_config_t *config;
	sr_journal_t *journal;
	sr_list_t submissions;
	sr_list_t runs;
	sr_timer_t *tick;
	sr_timer_t *soon;
	sr_usec_t view_at; /* when membership is looked at next */
};

/** sr_posting_id - caller frees. */
char *sr_posting_id(const char *account, const char *key);

/** sr_postings_find - a submission of that posting, or NULL. */
sr_submission_t *sr_postings_find(sr_postings_t *postings, const char *account,
				  const char *key);

/** Callbacks of the journal that send to upstreams; see core/journal.h. */
void sr_posting_run(void *user, const sr_journal_run_t *run);
void sr_posting_ask(void *user, const sr_journal_unknown_t *unknown);

/** sr_posting_runs_free - cancel all runs without telling the journal. */
void sr_posting_runs_free(sr_postings_t *postings);

/** sr_posting_view - take or give up shards as membership says. */
void sr_posting_view(sr_postings_t *postings);

/** sr_posting_owner_changed - callback of the journal; spreads the owner. */
void sr_posting_owner_changed(void *user, unsigned shard, guint64 epoch,
			      gboolean held);

/**
 * sr_posting_may_be_displaced - callback of the journal
 *
 * TRUE if a higher epoch was heard of, or if none of the other hosts of this
 * failure domain can be heard.
 */
gboolean sr_posting_may_be_displaced(void *user, unsigned shard, guint64 epoch);

/**
 * sr_posting_owner - address of the host to forward a posting to
 *
 * Returns NULL if there is none but this one; caller frees.
 */
char *sr_posting_owner(sr_postings_t *postings, const char *home,
		       unsigned shard);

#endif
