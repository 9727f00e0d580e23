#ifndef SR_GATEWAY_INTERNAL_H
#define SR_GATEWAY_INTERNAL_H

#include "base/list.h"
#include "core/prefix_index.h"
#include "core/reach.h"
#include "core/request_print.h"
#include "core/retry_policy.h"
#include "core/retry_budget.h"
#include "gateway/gateway.h"
#include "http/channel.h"
#include "http/event_parser.h"
#include "http/parser.h"

/** Internals of the gateway, shared between its source files. */

typedef struct sr_session sr_session_t;
typedef struct sr_transaction sr_transaction_t;
typedef struct sr_attempt sr_attempt_t;
typedef struct sr_connection_pool sr_connection_pool_t;
typedef struct sr_acceptor sr_acceptor_t;

/** sr_gateway_service_state_t - statistics and retry budget of a service */
typedef struct {
	sr_gateway_t *gateway;
	char *service;
	sr_engine_speed_t speed; /* measured, for placement */
	sr_retry_budget_t retry_budget;
	double prefill_s; /* see sr_gateway_foreach_prefill() */
	/* what an instance has said last that changed it */
	gboolean is_brittle;
	double rejections_max;
	sr_version_trial_t *trial; /* borrowed; NULL for none */
	sr_reach_t reach;
	sr_usec_t heard_at;   /* last input from any instance */
	sr_usec_t reached_at; /* last new connection to any instance */
	sr_usec_t silence_probed_at;
	sr_timer_t *probe_timer;  /* NULL unless instances are probed */
	sr_usec_t probe_interval; /* between the next two */
	guint next_probe;	  /* index of an instance */
	sr_list_t blames;	  /* sr_blame_t, not decided yet */
	sr_timer_t *blame_timer;  /* of the oldest */
} sr_gateway_service_state_t;

/** sr_gateway_metrics_t - counters of the metrics page; borrowed */
typedef struct {
	sr_counter_t *responses[6];			  /* by status / 100 */
	sr_counter_t *attempts[SR_ATTEMPT_TRUNCATED + 1]; /* by outcome */
	sr_counter_t *callers_left;
	sr_counter_t *aborted;
	sr_counter_t *instances_ended;
	sr_counter_t *quarantined_requests;
	sr_counter_t *probes;
	sr_gauge_t *quarantined;
	sr_gauge_t *services_unreached;
	sr_gauge_t *evacuated_domains;
	sr_gauge_t *paced;
	sr_counter_t *relayed;
	sr_histogram_t *duration; /* s */
	sr_counter_t *paused;
	sr_gauge_t *response_bytes;
	sr_histogram_t *first_event; /* s */
	sr_gauge_t *sessions;
	sr_gauge_t *transactions;
} sr_gateway_metrics_t;

struct sr_gateway {
	sr_gateway_options_t options;
	sr_route_table_t *table; /* NULL before the first one */
	sr_instances_t *instances;
	sr_prefix_index_t *prefix_index;
	sr_allowance_t *allowance;
	sr_crash_suspects_t *suspects;
	GHashTable *services; /* name -> sr_gateway_service_state_t */
	sr_usec_t load_delay; /* see sr_gateway_set_load_delay() */
	sr_connection_pool_t *connection_pool;
	sr_instances_t *relay_hosts;	  /* other hosts; see relay.c */
	sr_connection_pool_t *relay_pool; /* connections to them */
	guint64 n_relay_changes;
	sr_acceptor_t *caller_acceptor;
	sr_acceptor_t *relay_acceptor;
	sr_acceptor_t *ready_acceptor;
	sr_acceptor_t *metrics_acceptor;
	sr_list_t sessions;
	sr_list_t transactions;
	sr_list_t instance_checks;
	unsigned n_sessions;
	unsigned n_transactions;
	gsize buffered_bytes; /* of all sessions */
	unsigned n_hosts;     /* entry hosts, this one included */
	GRand *rng;
	sr_timer_t *sweep_timer;
	sr_gateway_metrics_t metrics;
	gboolean ready; /* set by the owner */
	gboolean stopping;
	gboolean stopped; /* the planned stop is complete */
	sr_usec_t stop_started_at;
};

static inline sr_usec_t sr_gateway_now(const sr_gateway_t *gateway)
{
	return sr_clock_now(gateway->options.clock);
}

/** sr_gateway_is_ready - the result of the readiness check. */
gboolean sr_gateway_is_ready(const sr_gateway_t *gateway);

/** sr_gateway_is_past_accept_period - whether a planned stop no longer accepts
 * new connections. */
gboolean sr_gateway_is_past_accept_period(const sr_gateway_t *gateway,
					  sr_usec_t now);

/** sr_gateway_stops_in - time left of a planned stop that has begun. */
sr_usec_t sr_gateway_stops_in(const sr_gateway_t *gateway, sr_usec_t now);

/** sr_gateway_service_state - created on first use; borrowed. */
sr_gateway_service_state_t *sr_gateway_service_state(sr_gateway_t *gateway,
						     const char *service);

/* acceptor.c: listening sockets */

/** sr_accepted_fn - takes ownership of the connected socket fd. */
typedef void (*sr_accepted_fn)(sr_gateway_t *gateway, int fd);

/** sr_acceptor_new - listens on IP:PORT; NULL on failure. Free with
 * sr_acceptor_free(). */
sr_acceptor_t *sr_acceptor_new(sr_gateway_t *gateway, const char *address,
			       sr_accepted_fn on_accept);
void sr_acceptor_free(sr_acceptor_t *acceptor);

/* session.c: one connection from a caller */

/** sr_session_accept - serves a connected socket; takes ownership of it. */
void sr_session_accept(sr_gateway_t *gateway, int fd);

/** sr_session_accept_relayed - the same for another host that passes requests
 * on. */
void sr_session_accept_relayed(sr_gateway_t *gateway, int fd);

/** sr_session_is_relayed - whether the peer is another host. */
gboolean sr_session_is_relayed(const sr_session_t *session);

/** sr_session_free - closes the connection and cancels its transaction. */
void sr_session_free(sr_session_t *session);

/** sr_session_sweep - applies the timeouts on callers; may free the session.
 * To be called periodically. */
void sr_session_sweep(sr_session_t *session, sr_usec_t now);

/** sr_session_of_link - the session of a link in gateway->sessions. */
sr_session_t *sr_session_of_link(sr_list_t *link);

/** sr_response_t - a response to the caller; all pointers are borrowed */
typedef struct {
	unsigned status;
	const char *reason;	     /* NULL for the standard phrase */
	const sr_headers_t *headers; /* of the instance, or NULL */
	const char *content_type;    /* of a response by the gateway */
	sr_usec_t retry_after;	     /* 0 for none */
	const char *request_id;	     /* echoed if headers is NULL; or NULL */
	const guint8 *body;
	gsize size;
} sr_response_t;

/** sr_session_respond - sends a complete response and continues with the next
 * request. */
void sr_session_respond(sr_session_t *session, const sr_response_t *response);

/** sr_session_begin_stream - sends the head of a chunked response; body and
 * size are ignored. */
void sr_session_begin_stream(sr_session_t *session,
			     const sr_response_t *response);

/** sr_session_write_chunk - sends part of the body; nothing if size is 0. */
void sr_session_write_chunk(sr_session_t *session, const guint8 *data,
			    gsize size);

/** sr_session_is_congested - the caller takes the stream more slowly than it is
 * written; sr_transaction_on_caller_drained() follows. */
gboolean sr_session_is_congested(const sr_session_t *session);

/** sr_session_unsent - bytes of responses that the caller has not taken. */
gsize sr_session_unsent(const sr_session_t *session);

/** sr_session_end_stream - completes a chunked response and continues with
 * the next request. */
void sr_session_end_stream(sr_session_t *session);

/** sr_session_abort - closes the connection inside a chunked response, so that
 * the caller detects the truncation; frees the session. */
void sr_session_abort(sr_session_t *session);

/* transaction.c: one request from a caller */

/**
 * sr_transaction_begin - handles a complete request
 *
 * The request is borrowed from the session and stays valid until the response.
 * started_at is the time of its first byte. *transaction_out is set before
 * anything else, as the response may be sent from inside this call.
 */
void sr_transaction_begin(sr_session_t *session, sr_gateway_t *gateway,
			  const sr_message_t *request, sr_usec_t started_at,
			  sr_transaction_t **transaction_out);

/** sr_attempt_of_link - the attempt of the transaction with a link in
 * gateway->transactions; NULL if it has none. */
sr_attempt_t *sr_attempt_of_link(sr_list_t *link);

/** sr_transactions_sweep - observes the speed of unfinished requests, and moves
 * those whose path is down; to be called periodically. */
void sr_transactions_sweep(sr_gateway_t *gateway);

/** sr_transaction_caller_disconnected - cancels and frees the transaction. */
void sr_transaction_caller_disconnected(sr_transaction_t *transaction);

/** sr_transaction_on_sent - the request was written to a connection to the
 * instance, which will have its prompt cached. */
void sr_transaction_on_sent(sr_transaction_t *transaction,
			    const sr_instance_t *instance);

/** sr_transaction_on_stream_data - the attempt received part of a stream. FALSE
 * if an event exceeds SR_EVENT_BUFFER_MAX. */
gboolean sr_transaction_on_stream_data(sr_transaction_t *transaction,
				       const guint8 *data, gsize size);

/** sr_transaction_on_caller_drained - the caller's connection is not congested
 * any more; reads on from the instance. */
void sr_transaction_on_caller_drained(sr_transaction_t *transaction);

/** sr_transaction_on_attempt_ended - called once per attempt; frees it. */
void sr_transaction_on_attempt_ended(sr_transaction_t *transaction,
				     sr_attempt_outcome_t outcome);

/* attempt.c: one transmission of a request to an instance */

typedef struct {
	sr_gateway_t *gateway;
	sr_transaction_t *transaction;
	sr_instance_t *instance;
	const char *request_id;
	GByteArray *bytes;  /* head and body; ownership passes */
	gboolean is_stream; /* a success is passed on as it arrives */
	/* media type of the stream that the response has to continue; NULL if
	 * none has begun; borrowed */
	const char *stream_type;
	gboolean is_head_only;	/* the response has no body */
	gboolean may_run_twice; /* a repeated execution does no harm */
	gboolean is_relay;	/* instance is another host */
} sr_attempt_options_t;

/** sr_attempt_new - sends the request; NULL if no connection could be opened.
 */
sr_attempt_t *sr_attempt_new(const sr_attempt_options_t *options);

/** sr_attempt_free - resets its connection if the response is incomplete. */
void sr_attempt_free(sr_attempt_t *attempt);

/** sr_attempt_message - the response as far as it was read; borrowed. */
const sr_message_t *sr_attempt_message(const sr_attempt_t *attempt);

/** sr_attempt_is_event_stream - the response is passed on as it arrives: a
 * success with a body on a route of streams, which continues what has begun. */
gboolean sr_attempt_is_event_stream(const sr_attempt_t *attempt);

/** sr_attempt_cause - why it ended, for the log; a static string. */
const char *sr_attempt_cause(const sr_attempt_t *attempt);

/** sr_attempt_give_up - ends the attempt as one that has no response; the
 * transaction frees it. cause is a static string for the log. */
void sr_attempt_give_up(sr_attempt_t *attempt, const char *cause);

/** sr_attempt_set_paused - TRUE stops reading the response, FALSE resumes it.
 */
void sr_attempt_set_paused(sr_attempt_t *attempt, gboolean paused);

/** sr_attempt_heard_at - time of the last input from the instance, or of the
 * start of the attempt; now if the attempt is paused. */
sr_usec_t sr_attempt_heard_at(const sr_attempt_t *attempt);

/** sr_attempt_is_sent - the request was written to a connection. */
gboolean sr_attempt_is_sent(const sr_attempt_t *attempt);

/** sr_attempt_is_cut - the connection ended after the request was sent and
 * before the response was complete. */
gboolean sr_attempt_is_cut(const sr_attempt_t *attempt);

/** sr_attempt_is_relay - whether the request is passed on to another host. */
gboolean sr_attempt_is_relay(const sr_attempt_t *attempt);

/** sr_attempt_instance - or the host of a relay; borrowed. */
sr_instance_t *sr_attempt_instance(const sr_attempt_t *attempt);

/* response_memory.c: the memory of all responses */

/** sr_gateway_limit_response_memory - ends what holds the most bytes of
 * responses until all together hold no more than options.response_bytes. To be
 * called periodically. */
void sr_gateway_limit_response_memory(sr_gateway_t *gateway);

/* notice.c: what instances say of themselves in their responses */

/** sr_gateway_read_notices - applies the head of a response. */
void sr_gateway_read_notices(sr_gateway_t *gateway, sr_instance_t *instance,
			     const sr_message_t *response);

/* reach.c: whether this host reaches the instances of a service */

/** sr_gateway_instance_reached - a new connection to it was established. */
void sr_gateway_instance_reached(sr_gateway_t *gateway,
				 const sr_instance_t *instance);

/** sr_gateway_instance_unreached - a connection to it could not be established,
 * or one was found dead. */
void sr_gateway_instance_unreached(sr_gateway_t *gateway,
				   sr_instance_t *instance,
				   sr_reach_failure_t how);

/** sr_blame_t - a failure of an instance or of the path to it; see below */
typedef struct {
	sr_list_t link;
	guint32 instance; /* id */
	/* may free the blame */
	void (*decided)(void *user, gboolean is_instance);
	void *user;
} sr_blame_t;

/**
 * sr_gateway_decide_blame - find out whether the instance or the path failed
 *
 * It is the instance if another one of its service can be connected to, and the
 * path if none can. decided() is called once, possibly from inside this call;
 * blame must stay valid until then.
 */
void sr_gateway_decide_blame(sr_gateway_t *gateway,
			     const sr_instance_t *instance, sr_blame_t *blame);

/** sr_gateway_instance_heard - it has sent something on any connection. */
void sr_gateway_instance_heard(sr_gateway_t *gateway,
			       const sr_instance_t *instance);

/** sr_gateway_notice_silence - a request has had no input since a time: probes
 * an instance if none of the service has been heard or reached meanwhile. */
void sr_gateway_notice_silence(sr_gateway_t *gateway, const char *service,
			       sr_usec_t since);

/** sr_gateway_probe_service - tries new connections to some instances, as there
 * is a sign that they may not be reached. */
void sr_gateway_probe_service(sr_gateway_t *gateway, const char *service);

/** sr_gateway_reaches - FALSE if no instance of the service is reached. */
gboolean sr_gateway_reaches(sr_gateway_t *gateway, const char *service);

void sr_gateway_cancel_probes(sr_gateway_t *gateway);

/* relay.c: other hosts that requests are passed on to */

/** sr_gateway_pick_relay_host - the least loaded one that may be asked, except
 * those whose ids (guint32) are in tried; borrowed, NULL if there is none. */
sr_instance_t *sr_gateway_pick_relay_host(sr_gateway_t *gateway,
					  const GArray *tried);

/** sr_gateway_relay_host_unreached - the host doesn't reach the instances
 * either, and is not asked for a while. */
void sr_gateway_relay_host_unreached(sr_gateway_t *gateway,
				     sr_instance_t *host);

/** sr_gateway_instance_is_full - it has rejected an attempt, which still counts
 * as in flight. */
void sr_gateway_instance_is_full(sr_gateway_t *gateway,
				 sr_instance_t *instance);

/** sr_gateway_update_rooms - what this host may send to brittle instances; to
 * be called periodically. */
void sr_gateway_update_rooms(sr_gateway_t *gateway);

/* transaction.c: what a selection depends on */

sr_placement_t sr_gateway_placement(const sr_gateway_t *gateway);

/** sr_gateway_placement_request - the first attempt of a request; prompt is
 * borrowed. */
sr_placement_request_t
sr_gateway_placement_request(sr_gateway_t *gateway,
			     const sr_route_table_t *table, const char *service,
			     const sr_prompt_parts_t *prompt);

/* explain.c: where a request would go */

/** sr_gateway_explain - append where a request would go now, and why, without
 * sending it. The query of the message has host, path and maybe account; its
 * headers describe the prompt as those of the request. FALSE if it can't be
 * told, with the reason as text. */
gboolean sr_gateway_explain(sr_gateway_t *gateway, const sr_message_t *message,
			    GString *text);

/* pace.c: instances that may be cold */

/** sr_gateway_pace_unreached - no connection to the instance could be
 * established: it may have ended, and come back cold. */
void sr_gateway_pace_unreached(sr_gateway_t *gateway, sr_instance_t *instance);

/** sr_gateway_update_paces - ends what is due; to be called periodically. */
void sr_gateway_update_paces(sr_gateway_t *gateway);

/* instance_check.c: whether an instance that cut off attempts has ended */

/**
 * sr_gateway_check_instance - an instance has closed the connection of a
 * request
 *
 * Finds out whether the instance has ended, unless it was about to leave. If it
 * has, the request is reported. If not, and is_answered is set, the request
 * has survived.
 */
void sr_gateway_check_instance(sr_gateway_t *gateway, sr_instance_t *instance,
			       const sr_crash_request_t *request,
			       gboolean is_answered);

/** sr_gateway_probe_instance - whether it takes connections, as above. */
void sr_gateway_probe_instance(sr_gateway_t *gateway, sr_instance_t *instance);

/** sr_gateway_cancel_checks - drop the checks that are under way. */
void sr_gateway_cancel_checks(sr_gateway_t *gateway);

/* suspects.c: requests that may crash instances */

void sr_gateway_create_suspects(sr_gateway_t *gateway);

/** sr_gateway_report_crash - an instance has ended under requests of this host.
 */
void sr_gateway_report_crash(sr_gateway_t *gateway, sr_instance_t *instance,
			     const sr_crash_report_t *report);

/** sr_gateway_instance_answered - an instance has answered a request; if it was
 * reported as ended long enough ago, it had only been cut off. */
void sr_gateway_instance_answered(sr_gateway_t *gateway,
				  sr_instance_t *instance);

/** sr_gateway_request_survived - a request of this host didn't end the instance
 * that ran it; its parts have survived only if with_parts is set. */
void sr_gateway_request_survived(sr_gateway_t *gateway,
				 const sr_request_print_t *request,
				 gboolean with_parts);

/* connection_pool.c: idle connections to instances */

/** sr_connection_pool_new - failed is called for an idle connection that was
 * reset or timed out; NULL for not. */
sr_connection_pool_t *sr_connection_pool_new(
	sr_gateway_t *gateway,
	void (*failed)(sr_gateway_t *gateway, const char *service));
void sr_connection_pool_free(sr_connection_pool_t *pool);

/** sr_connection_pool_take - an idle connection that was in use at most
 * max_idle ago, or NULL; ownership passes. */
sr_channel_t *sr_connection_pool_take(sr_connection_pool_t *pool,
				      const sr_instance_t *instance,
				      sr_usec_t max_idle);

/** sr_connection_pool_put - keeps a connection for at most its lifetime;
 * takes ownership. */
void sr_connection_pool_put(sr_connection_pool_t *pool,
			    const sr_instance_t *instance,
			    sr_channel_t *channel, sr_usec_t lifetime);

/** sr_connection_pool_evict - closes all idle connections to an instance. */
void sr_connection_pool_evict(sr_connection_pool_t *pool, guint32 instance);

/** sr_connection_pool_sweep - closes the expired connections. */
void sr_connection_pool_sweep(sr_connection_pool_t *pool, sr_usec_t now);

/* upstream_request.c: the request as it is sent to an instance */

/** sr_upstream_request_t - what the request is made from; borrowed */
typedef struct {
	const sr_dialect_t *dialect;
	const sr_message_t *request; /* of the caller */
	const char *account;	     /* or NULL */
	const char *instance;	     /* name */
	sr_usec_t time_left;	     /* until the deadline */
	gint urgency;		     /* negative for none */
	gboolean resumes;	     /* the stream resumes after last_event */
	guint64 last_event;
	/* To another host: as the caller sent it, with the attempts that are
	 * left; 0 if to an instance. */
	unsigned relay_attempts;
} sr_upstream_request_t;

/** sr_upstream_request_serialize - head and body; unref the result. */
GByteArray *sr_upstream_request_serialize(const sr_upstream_request_t *spec);

/* monitor.c: readiness check and metrics page */

/** sr_monitor_accept_ready, sr_monitor_accept_metrics - serve a connected
 * socket; take ownership of it. */
void sr_monitor_accept_ready(sr_gateway_t *gateway, int fd);
void sr_monitor_accept_metrics(sr_gateway_t *gateway, int fd);

#endif
