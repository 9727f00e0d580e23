#ifndef SR_GATEWAY_INTERNAL_H
#define SR_GATEWAY_INTERNAL_H

#include "base/list.h"
#include "core/prefix_index.h"
#include "core/retry_policy.h"
#include "core/retry_budget.h"
#include "gateway/gateway.h"
#include "http/channel.h"
#include "http/events.h"
#include "http/parser.h"

/** Shared between the files of the gateway only. */

typedef struct sr_session sr_session_t;
typedef struct sr_transaction sr_transaction_t;
typedef struct sr_attempt sr_attempt_t;
typedef struct sr_pool sr_pool_t;
typedef struct sr_acceptor sr_acceptor_t;

/** sr_gateway_service_state_t - what is learned of one service. */
typedef struct {
	sr_engine_speed_t speed;
	sr_retry_budget_t retries;
	double work_s; /* of engines, for the prompts sent from here */
} sr_gateway_service_state_t;

typedef struct {
	sr_counter_t *answered[6]; /* by hundreds of the status */
	sr_counter_t *attempts[SR_ATTEMPT_TRUNCATED + 1];
	sr_counter_t *left;
	sr_counter_t *cut;
	sr_histogram_t *duration;
	sr_histogram_t *first_event;
	sr_gauge_t *sessions;
	sr_gauge_t *transactions;
} sr_gateway_meters_t;

struct sr_gateway {
	sr_gateway_options_t options;
	sr_route_table_t *table;
	sr_instances_t *instances;
	sr_prefix_index_t *prefixes;
	sr_allowance_t *allowance;
	GHashTable *services; /* name -> sr_gateway_service_state_t */
	sr_pool_t *pool;
	sr_acceptor_t *caller_acceptor;
	sr_acceptor_t *ready_acceptor;
	sr_acceptor_t *metrics_acceptor;
	sr_list_t sessions;
	sr_list_t transactions;
	unsigned n_sessions;
	unsigned n_transactions;
	gsize buffered;
	unsigned n_hosts;
	GRand *random;
	sr_timer_t *sweep;
	sr_gateway_meters_t meters;
	gboolean ready;
	gboolean stopping;
	gboolean stopped;
	sr_usec_t stop_began;
};

static inline sr_usec_t sr_gateway_now(const sr_gateway_t *gateway)
{
	return sr_clock_now(gateway->options.clock);
}

gboolean sr_gateway_is_ready(const sr_gateway_t *gateway);
sr_gateway_service_state_t *sr_gateway_service_state(sr_gateway_t *gateway,
						     const char *service);

/* acceptor.c */

typedef void (*sr_accepted_fn)(sr_gateway_t *gateway, int fd);

/** sr_acceptor_new - NULL if the address can't be listened on. */
sr_acceptor_t *sr_acceptor_new(sr_gateway_t *gateway, const char *address,
			       sr_accepted_fn accepted);
void sr_acceptor_free(sr_acceptor_t *acceptor);

/* session.c: one connection of a caller */

void sr_session_accept(sr_gateway_t *gateway, int fd);
void sr_session_free(sr_session_t *session);

/** sr_session_sweep - apply the time limits on callers; may free it. */
void sr_session_sweep(sr_session_t *session, sr_usec_t now);
sr_session_t *sr_session_of_link(sr_list_t *link);

/** The answer to the request that the session waits for. */
typedef struct {
	unsigned status;
	const char *reason;	     /* NULL for the usual one */
	const sr_headers_t *headers; /* of an instance, or NULL */
	const char *content_type;    /* of an own answer */
	sr_usec_t retry_after;	     /* 0 for none */
	const char *request_id;	     /* echoed by an own answer, or NULL */
	const guint8 *body;
	gsize size;
} sr_answer_t;

/** sr_session_answer - a whole answer; the session goes on to the next. */
void sr_session_answer(sr_session_t *session, const sr_answer_t *answer);

/** sr_session_begin - the head of a stream; its parts follow. */
void sr_session_begin(sr_session_t *session, const sr_answer_t *head);
void sr_session_part(sr_session_t *session, const guint8 *data, gsize size);
void sr_session_end(sr_session_t *session);

/** sr_session_break_off - end the connection so that the answer can't be
 * taken for a whole one; frees the session. */
void sr_session_break_off(sr_session_t *session);

/* transaction.c: one request of a caller */

/** sr_transaction_begin - the session's message is whole; it is answered later
 * or from inside this call. */
void sr_transaction_begin(sr_session_t *session, sr_gateway_t *gateway,
			  const sr_message_t *request, sr_usec_t began,
			  sr_transaction_t **slot);

/** sr_transaction_caller_left - frees the transaction. */
void sr_transaction_caller_left(sr_transaction_t *transaction);

/** What an attempt tells its transaction. */
void sr_transaction_on_stream(sr_transaction_t *transaction, const guint8 *data,
			      gsize size);
void sr_transaction_on_ended(sr_transaction_t *transaction,
			     sr_attempt_outcome_t outcome);

/* attempt.c: one sending of a request to an instance */

typedef struct {
	sr_gateway_t *gateway;
	sr_transaction_t *transaction;
	sr_instance_t *instance;
	const char *request_id;
	GByteArray *bytes;     /* head and body; taken over */
	gboolean is_stream;    /* a success is told in parts */
	gboolean is_head_only; /* the answer has no body */
	gboolean may_run_twice;
} sr_attempt_options_t;

/** sr_attempt_new - send; NULL if not even a socket was to be had. */
sr_attempt_t *sr_attempt_new(const sr_attempt_options_t *options);

/** sr_attempt_free - ends its connection if the answer is not whole. */
void sr_attempt_free(sr_attempt_t *attempt);

/** sr_attempt_message - the answer as far as it was read; borrowed. */
const sr_message_t *sr_attempt_message(const sr_attempt_t *attempt);
const char *sr_attempt_cause(const sr_attempt_t *attempt);
gboolean sr_attempt_is_sent(const sr_attempt_t *attempt);
sr_instance_t *sr_attempt_instance(const sr_attempt_t *attempt);

/* pool.c: idle connections to instances */

sr_pool_t *sr_pool_new(sr_gateway_t *gateway);
void sr_pool_free(sr_pool_t *pool);

/** sr_pool_take - an idle connection used within max_idle, or NULL. */
sr_channel_t *sr_pool_take(sr_pool_t *pool, const sr_instance_t *instance,
			   sr_usec_t max_idle);

/** sr_pool_put - keep a connection for keep at most. */
void sr_pool_put(sr_pool_t *pool, const sr_instance_t *instance,
		 sr_channel_t *channel, sr_usec_t keep);

/** sr_pool_drop - close what is kept for an instance. */
void sr_pool_drop(sr_pool_t *pool, guint32 instance);
void sr_pool_sweep(sr_pool_t *pool, sr_usec_t now);

/* request_head.c: what is sent to an instance */

typedef struct {
	const sr_dialect_t *dialect;
	const sr_message_t *request;
	const char *account; /* or NULL */
	const char *instance;
	sr_usec_t time_left;
	gint urgency;	  /* negative for none */
	gboolean resumes; /* the stream goes on after last_event */
	guint64 last_event;
} sr_request_head_t;

/** sr_request_bytes - head and body; caller unrefs. */
GByteArray *sr_request_bytes(const sr_request_head_t *head);

/* monitor.c: readiness and metrics */

void sr_monitor_accept_ready(sr_gateway_t *gateway, int fd);
void sr_monitor_accept_metrics(sr_gateway_t *gateway, int fd);

#endif
