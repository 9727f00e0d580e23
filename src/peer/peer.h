#ifndef SR_PEER_PEER_H
#define SR_PEER_PEER_H

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"

/**
 * sr_peer_t - ONC RPC between entry hosts
 *
 * Gossip is sent as one-way UDP datagrams. Requests that are forwarded to the
 * owner of their journal shard, and fetches of values such as parts of the
 * configuration, are sent over TCP with record marking; concurrent calls to a
 * host share one connection.
 *
 * Every message carries a MAC under the cluster's secret. A malformed,
 * unauthenticated or replayed message is dropped and counted in
 * sr_peer_stats_t; on TCP its connection is closed as well. A TCP record over
 * the size limit, or an authenticated reply that violates the protocol, closes
 * its connection without being counted.
 */
typedef struct sr_peer sr_peer_t;

/** sr_peer_request_t - a request received from another host, until it is
 * answered by sr_peer_answer(). */
typedef struct sr_peer_request sr_peer_request_t;

/** sr_forward_executed_t - whether a forwarded request was executed. */
typedef enum {
	SR_FORWARD_NOT_RUN, /* not executed, and never will be */
	SR_FORWARD_RUN,
	SR_FORWARD_UNKNOWN,
	SR_FORWARD_PENDING, /* durable; will be executed later */
	SR_FORWARD_N_EXECUTED,
} sr_forward_executed_t;

/** sr_forward_t - a request forwarded to the owner of its key's shard;
 * pointers are borrowed. */
typedef struct {
	const char *account;
	const char *service;
	const char *route;
	const char *method;
	const char *path;	  /* including the query string */
	const char *content_type; /* or NULL */
	const char *key;	  /* idempotency key */
	const char *request_id;	  /* or NULL */
	const char *traceparent;  /* or NULL */
	GBytes *body;		  /* or NULL; at most SR_FORWARD_BODY_MAX */
	sr_usec_t time_left;	  /* until its deadline */
	gboolean async;		  /* answer once it is durable */
	unsigned hops;		  /* number of forwards, this one included */
} sr_forward_t;

/** Largest body of a forwarded request or its result, in bytes. */
#define SR_FORWARD_BODY_MAX (1024 * 1024)
/** Time after the deadline during which an answer is still awaited. */
#define SR_FORWARD_GRACE (500 * SR_MSEC)

/** sr_forward_result_t - the outcome of a forwarded request. */
typedef struct {
	sr_err_t err;
	sr_forward_executed_t executed;
	const char *detail;	  /* of the error, or NULL */
	unsigned status;	  /* HTTP status */
	const char *content_type; /* or NULL */
	GBytes *body;		  /* or NULL */
	sr_usec_t retry_after;	  /* or 0 */
} sr_forward_result_t;

/** sr_peer_stats_t - counters since the start; sizes include RPC headers. */
typedef struct {
	guint64 datagrams_in;
	guint64 datagrams_out;
	guint64 calls_in;
	guint64 calls_out;
	guint64 bytes_in;
	guint64 bytes_out;
	guint64 malformed;	 /* messages that violate the protocol */
	guint64 unauthenticated; /* of another cluster, or with a wrong MAC */
	guint64 replayed;	 /* messages with a used sequence number */
	guint64 refused; /* connections, requests or sends over a limit */
} sr_peer_stats_t;

/** sr_peer_options_t - configuration; the strings and the secret are copied. */
typedef struct {
	sr_clock_t *clock;
	const char *address; /* IP:PORT to listen on; port 0: any free port */
	const char *cluster; /* at most 64 bytes */
	const guint8 *secret;
	gsize secret_size;   /* in bytes, at least SR_PEER_SECRET_MIN */
	const char *node;    /* name of this host; at most 128 bytes */
	guint64 incarnation; /* must increase with each start of the process */
	/* a datagram was received; data is valid during the call */
	void (*datagram)(void *user, const guint8 *data, gsize size);
	/* a request was received; forward is valid during the call, request
	 * until sr_peer_answer(), during the call or later */
	void (*forward)(void *user, sr_peer_request_t *request,
			const sr_forward_t *forward);
	/* returns the value of a key as a new reference, or NULL */
	GBytes *(*fetch)(void *user, const char *key);
	void *user;
} sr_peer_options_t;

/** Smallest size of the cluster's secret, in bytes. */
#define SR_PEER_SECRET_MIN 16

/**
 * sr_peer_new - listen for datagrams and connections on one port number
 *
 * Returns NULL on an error and sets *detail to a message, freed by the caller.
 */
sr_peer_t *sr_peer_new(const sr_peer_options_t *options, char **detail);

/**
 * sr_peer_free - close all sockets; NULL is allowed
 *
 * Callbacks of outstanding calls are not run. Requests without an answer are
 * freed; sr_peer_answer() must not be called for them. Must not be called from
 * a callback of this peer.
 */
void sr_peer_free(sr_peer_t *peer);

/** sr_peer_address - IP:PORT that this process listens on; borrowed. */
const char *sr_peer_address(const sr_peer_t *peer);

/** sr_peer_stats - current counters; borrowed. */
const sr_peer_stats_t *sr_peer_stats(const sr_peer_t *peer);

/** Largest datagram, in bytes. */
#define SR_PEER_DATAGRAM_MAX 1200

/**
 * sr_peer_send_datagram - send a datagram, without a guarantee of delivery
 *
 * It is dropped without an error if it exceeds SR_PEER_DATAGRAM_MAX or address
 * is not IP:PORT.
 */
void sr_peer_send_datagram(sr_peer_t *peer, const char *address,
			   const guint8 *data, gsize size);

/** sr_forward_fn - receives a result, which is valid during the call. */
typedef void (*sr_forward_fn)(void *user, const sr_forward_result_t *result);

/**
 * sr_peer_forward - forward a request to another entry host
 *
 * done is called once, never from inside this function; it isn't called after
 * sr_peer_cancel_calls() or sr_peer_free(). A request that was not sent ends
 * with SR_FORWARD_NOT_RUN and SR_ERR_TOO_LARGE if a field exceeds its limit,
 * SR_ERR_OVERLOADED if the connection's send queue is full, or
 * SR_ERR_HOME_UNREACHABLE. A request that was sent but got no answer by
 * SR_FORWARD_GRACE after its deadline, or whose connection failed, ends with
 * SR_FORWARD_UNKNOWN and SR_ERR_OUTCOME_UNKNOWN.
 */
void sr_peer_forward(sr_peer_t *peer, const char *address,
		     const sr_forward_t *forward, sr_forward_fn done,
		     void *user);

/** Largest value of a fetch, in bytes. */
#define SR_PEER_VALUE_MAX (1024 * 1024)

/**
 * sr_fetch_fn - receives a value, which is borrowed
 *
 * value is NULL if the other host has no value of at most SR_PEER_VALUE_MAX for
 * the key, or if the call failed or timed out.
 */
typedef void (*sr_fetch_fn)(void *user, GBytes *value);

/**
 * sr_peer_fetch - request the value of a key from another entry host
 *
 * done is called once, as that of sr_peer_forward().
 */
void sr_peer_fetch(sr_peer_t *peer, const char *address, const char *key,
		   sr_usec_t timeout, sr_fetch_fn done, void *user);

/** sr_peer_cancel_calls - cancel the calls with this user pointer; their done
 * callbacks are not run. NULL cancels all calls. */
void sr_peer_cancel_calls(sr_peer_t *peer, void *user);

/**
 * sr_peer_answer - answer a forwarded request and free it
 *
 * A result over a size limit is replaced by SR_ERR_TOO_LARGE. The answer is
 * dropped if the connection was closed or its send queue is full.
 */
void sr_peer_answer(sr_peer_request_t *request,
		    const sr_forward_result_t *result);

#endif
