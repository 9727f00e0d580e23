#ifndef SR_PEER_PEER_H
#define SR_PEER_PEER_H

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"

/**
 * sr_peer_t - ONC RPC between entry hosts
 *
 * Gossip travels in UDP datagrams without a reply. Requests that are
 * forwarded to the owner of their journal shard, and parts of the
 * configuration, travel over TCP with record marking, many at once on one
 * connection for each other host.
 *
 * Every message carries a MAC under the cluster's secret. A message of a
 * stranger, a replayed, mangled or oversized one changes nothing but a
 * counter; on TCP its connection is closed.
 */
typedef struct sr_peer sr_peer_t;

/** sr_peer_request_t - a forwarded request that waits for its answer. */
typedef struct sr_peer_request sr_peer_request_t;

/** What is known about the run of a forwarded request. */
typedef enum {
	SR_FORWARD_NOT_RUN, /* certainly not, and it never will be */
	SR_FORWARD_RUN,
	SR_FORWARD_UNKNOWN,
	SR_FORWARD_PENDING, /* durable; it will run */
	SR_FORWARD_N_EXECUTED,
} sr_forward_executed_t;

/** sr_forward_t - a request on its way to the owner of its key's shard. */
typedef struct {
	const char *account;
	const char *service;
	const char *route;
	const char *method;
	const char *path;	  /* with the query */
	const char *content_type; /* or NULL */
	const char *key;	  /* idempotency key */
	const char *request_id;	  /* or NULL */
	const char *traceparent;  /* or NULL */
	GBytes *body;		  /* or NULL; at most SR_FORWARD_BODY_MAX */
	sr_usec_t time_left;	  /* until its deadline */
	gboolean async;		  /* answer as soon as it is durable */
	unsigned hops;		  /* how often it was forwarded before */
} sr_forward_t;

#define SR_FORWARD_BODY_MAX (1024 * 1024)
/** How much longer than the deadline an answer is waited for. */
#define SR_FORWARD_GRACE (500 * SR_MSEC)

typedef struct {
	sr_err_t err;
	sr_forward_executed_t executed;
	const char *detail;	  /* or NULL */
	unsigned status;	  /* HTTP */
	const char *content_type; /* or NULL */
	GBytes *body;		  /* or NULL */
	sr_usec_t retry_after;
} sr_forward_result_t;

typedef struct {
	guint64 datagrams_in;
	guint64 datagrams_out;
	guint64 calls_in;
	guint64 calls_out;
	guint64 bytes_in;
	guint64 bytes_out;
	guint64 malformed;	 /* not of the protocol, or oversized */
	guint64 unauthenticated; /* wrong cluster or MAC */
	guint64 replayed;
	guint64 refused; /* too much was waiting */
} sr_peer_stats_t;

typedef struct {
	sr_clock_t *clock;
	const char *address; /* IP:PORT to listen on; port 0 takes a free one */
	const char *cluster; /* at most 64 bytes */
	const guint8 *secret;
	gsize secret_size;   /* at least SR_PEER_SECRET_MIN */
	const char *node;    /* at most 128 bytes */
	guint64 incarnation; /* must grow with each start of the process */
	/* a datagram came in */
	void (*datagram)(void *user, const guint8 *data, gsize size);
	/* a request came in; answered by sr_peer_answer(), at any time */
	void (*forward)(void *user, sr_peer_request_t *request,
			const sr_forward_t *forward);
	/* returns a new reference, or NULL if the key is not known */
	GBytes *(*fetch)(void *user, const char *key);
	void *user;
} sr_peer_options_t;

#define SR_PEER_SECRET_MIN 16

/**
 * sr_peer_new - listen
 *
 * Returns NULL and what is wrong in problem (freed by the caller).
 */
sr_peer_t *sr_peer_new(const sr_peer_options_t *options, char **problem);

/**
 * sr_peer_free - drops all calls without a result
 *
 * Forwarded requests that were not answered by then are gone; they must not
 * be answered later.
 */
void sr_peer_free(sr_peer_t *peer);

/** sr_peer_address - IP:PORT that the others reach this process at. */
const char *sr_peer_address(const sr_peer_t *peer);

const sr_peer_stats_t *sr_peer_stats(const sr_peer_t *peer);

/** Largest datagram, in bytes. */
#define SR_PEER_DATAGRAM_MAX 1200

/** sr_peer_send - send a datagram; it may be lost. */
void sr_peer_send(sr_peer_t *peer, const char *address, const guint8 *data,
		  gsize size);

/** The result is borrowed and valid during the call. */
typedef void (*sr_forward_fn)(void *user, const sr_forward_result_t *result);

/**
 * sr_peer_forward - hand a request to another entry host
 *
 * done is called once, never from inside this call. If the request was not
 * sent, the result says SR_ERR_HOME_UNREACHABLE and not run; if its answer
 * was lost, SR_ERR_OUTCOME_UNKNOWN and unknown.
 */
void sr_peer_forward(sr_peer_t *peer, const char *address,
		     const sr_forward_t *forward, sr_forward_fn done,
		     void *user);

/** value is NULL if the other host does not have it or cannot be reached. */
typedef void (*sr_fetch_fn)(void *user, GBytes *value);

/** sr_peer_fetch - ask another entry host for a value by its key. */
void sr_peer_fetch(sr_peer_t *peer, const char *address, const char *key,
		   sr_usec_t timeout, sr_fetch_fn done, void *user);

/** sr_peer_cancel_all - drop the calls of a user pointer. */
void sr_peer_cancel_all(sr_peer_t *peer, void *user);

/** sr_peer_answer - answer a forwarded request; the request is then gone. */
void sr_peer_answer(sr_peer_request_t *request,
		    const sr_forward_result_t *result);

#endif
