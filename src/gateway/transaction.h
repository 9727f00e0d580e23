#ifndef SR_GATEWAY_TRANSACTION_H
#define SR_GATEWAY_TRANSACTION_H

#include "gateway/internal.h"

/** Shared between the files of the transaction only. */

/** When to come back after a refusal that has no better figure. */
#define SR_TRANSACTION_RETRY_SOON (300 * SR_MSEC)

/** sr_transaction_t - one request of a caller, until its final answer */
struct sr_transaction {
	sr_list_t link;
	sr_gateway_t *gateway;
	sr_session_t *session;
	const sr_message_t *request; /* borrowed from the session */
	sr_route_table_t *table;
	const sr_gateway_route_t *route;
	const sr_gateway_account_t *account;
	const char *service;
	const char *id;
	sr_usec_t began;
	sr_usec_t due; /* of the final answer */
	sr_timer_t *due_timer;
	sr_prompt_parts_t prompt;
	double charged;	    /* of the account's allowance */
	gboolean asks_pool; /* its answer is waited for */
	/* the attempt under way */
	sr_attempt_t *attempt;
	sr_usec_t sent_at;
	double expected_s;	  /* to its first event, as it was placed */
	sr_usec_t first_event_at; /* 0 if there was none */
	double unread;		  /* prompt tokens counted at the instance */
	double unread_before;	  /* all that were to be read there */
	/* all attempts */
	GArray *tried; /* guint32, ids of instances */
	unsigned n_sent;
	unsigned n_unsent;
	gboolean may_have_run;
	gboolean has_begun_run; /* told of by began() */
	/* a stream */
	sr_events_t *events;
	gboolean is_streaming; /* its head went to the caller */
	gboolean has_last_event;
	guint64 last_event;
};

static inline sr_usec_t sr_transaction_now(const sr_transaction_t *transaction)
{
	return sr_gateway_now(transaction->gateway);
}

/* transaction_request.c: who asks for what */

/** sr_transaction_classify - an error is the final answer. */
sr_err_t sr_transaction_classify(sr_transaction_t *transaction);

/** sr_transaction_read_last_event - where a caller resumes a stream. */
void sr_transaction_read_last_event(sr_transaction_t *transaction);

/** sr_transaction_amount - what it takes from its account's allowance. */
double sr_transaction_amount(const sr_transaction_t *transaction);

/* transaction_answer.c: what the caller gets. Those that end the transaction
 * free it. */

typedef struct {
	sr_err_t err;
	const char *cause;
	sr_usec_t retry_after;
} sr_transaction_failure_t;

/** sr_transaction_fail - a failure of our own; ends it. */
void sr_transaction_fail(sr_transaction_t *transaction,
			 const sr_transaction_failure_t *failure);

/** sr_transaction_refuse - "not run", if that is true; ends it. */
void sr_transaction_refuse(sr_transaction_t *transaction, sr_err_t err,
			   const char *cause, sr_usec_t retry_after);

/** sr_transaction_break_off - end the connection in a stream; ends it. */
void sr_transaction_break_off(sr_transaction_t *transaction, const char *cause);

/** sr_transaction_pass_on - an instance's whole answer; ends it. */
void sr_transaction_pass_on(sr_transaction_t *transaction);

void sr_transaction_begin_stream(sr_transaction_t *transaction);

/** sr_transaction_end_stream - the stream is whole; ends it. */
void sr_transaction_end_stream(sr_transaction_t *transaction);

/** sr_transaction_note_run - it began to run; told once. */
void sr_transaction_note_run(sr_transaction_t *transaction);

/** sr_transaction_release_unread - its prompt is read, or never will be. */
void sr_transaction_release_unread(sr_transaction_t *transaction);
void sr_transaction_drop_attempt(sr_transaction_t *transaction);
void sr_transaction_free(sr_transaction_t *transaction);

/* transaction_log.c */

void sr_transaction_log_end(const sr_transaction_t *transaction,
			    const char *event, unsigned status,
			    const char *cause);
void sr_transaction_log_retry(const sr_transaction_t *transaction,
			      const sr_instance_t *instance, const char *cause);
void sr_transaction_log_limited(const sr_transaction_t *transaction,
				double amount, sr_usec_t wait);
void sr_transaction_count_end(const sr_transaction_t *transaction,
			      unsigned status);

#endif
