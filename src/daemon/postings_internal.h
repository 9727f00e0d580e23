#ifndef SR_DAEMON_POSTINGS_INTERNAL_H
#define SR_DAEMON_POSTINGS_INTERNAL_H

#include "base/list.h"
#include "daemon/posting_codec.h"
#include "daemon/postings.h"

/**
 * Declarations shared by postings.c, posting_owner.c and posting_run.c
 */

/** sr_submission_t - a submission from a caller or from another entry host. */
typedef struct {
	sr_list_t link;
	sr_postings_t *postings;
	char *id; /* see sr_posting_id() */
	sr_posting_fn done;
	void *user;
	sr_peer_request_t *request; /* of another entry host, or NULL */
	sr_trace_context_t context;
	sr_span_t *span;	    /* of the forwarding, or NULL */
	gboolean forwarded;	    /* to another entry host */
	sr_timer_t *timer;	    /* delivers the result */
	sr_posting_result_t result; /* borrows the two strings below */
	char *detail;
	char *content_type;
} sr_submission_t;

struct sr_postings {
	sr_postings_options_t options; /* node and failure_domain are owned */
	sr_config_t *config;
	sr_journal_t *journal;
	sr_list_t submissions;
	sr_list_t runs; /* and outcome queries, see posting_run.c */
	sr_timer_t *tick_timer;
	sr_timer_t *wake_timer;		 /* runs a tick at once, or NULL */
	sr_usec_t next_membership_check; /* absolute */
};

/** sr_posting_id - join account and key into one string; caller frees. */
char *sr_posting_id(const char *account, const char *key);

/** sr_postings_find_submission - first one not forwarded, or NULL. */
sr_submission_t *sr_postings_find_submission(sr_postings_t *postings,
					     const char *account,
					     const char *key);

/** sr_posting_run - callback run() of the journal: send to an upstream. */
void sr_posting_run(void *user, const sr_journal_run_t *run);

/**
 * sr_posting_query_outcome - callback query_outcome() of the journal
 *
 * Queries every upstream of the service, if the service has outcome_by_key.
 */
void sr_posting_query_outcome(void *user, const sr_journal_unknown_t *unknown);

/** sr_posting_runs_free - cancel all runs without a report to the journal. */
void sr_posting_runs_free(sr_postings_t *postings);

/**
 * sr_posting_update_wanted_shards - claim or release shards by membership
 *
 * Of the live members of this failure domain, the one with the highest score
 * for a shard claims it.
 */
void sr_posting_update_wanted_shards(sr_postings_t *postings);

/**
 * sr_posting_owner_changed - callback owner_changed() of the journal
 *
 * Publishes this host as the owner of a shard that it has acquired.
 */
void sr_posting_owner_changed(void *user, unsigned shard, guint64 epoch,
			      gboolean held);

/**
 * sr_posting_may_be_displaced - callback may_be_displaced() of the journal
 *
 * TRUE if a higher epoch of the shard was published, or if this failure domain
 * has other hosts that did not leave and none of them is alive.
 */
gboolean sr_posting_may_be_displaced(void *user, unsigned shard, guint64 epoch);

/**
 * sr_posting_find_owner - address of the host to forward a posting to
 *
 * home is the failure domain of the shard. Returns the address of the published
 * owner, or else of the live member that should own the shard. Returns NULL if
 * that is this host or if there is no such member. The caller frees the result.
 */
char *sr_posting_find_owner(sr_postings_t *postings, const char *home,
			    unsigned shard);

#endif
