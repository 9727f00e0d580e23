#ifndef SR_PLATFORM_API_EXCHANGE_H
#define SR_PLATFORM_API_EXCHANGE_H

#include "base/clock.h"
#include "http/client.h"

/**
 * sr_exchange_t - one HTTP request and its answer, with a timeout
 *
 * An answer whose body exceeds SR_PLATFORM_ANSWER_MAX_BYTES counts as lost.
 * Once a body has begun, it is waited for as long as bytes arrive: how long
 * it takes depends on its size and on the link. An answer without end is given
 * up after SR_EXCHANGE_ANSWER_TIME.
 *
 * A request other than GET is sent on a new connection and once: a conditional
 * write that had taken effect would be answered as a conflict.
 */
typedef struct sr_exchange sr_exchange_t;

/** Longest time from the timeout of an exchange to the end of its answer. */
#define SR_EXCHANGE_ANSWER_TIME (20 * SR_SEC)

typedef struct {
	gboolean sent;	       /* FALSE: certainly no byte was sent */
	unsigned status;       /* 0 if no complete answer was received */
	guint64 version;       /* from the ETag header; 0 if there is none */
	sr_usec_t retry_after; /* 0 if there is none; at most an hour */
	guint64 era;	       /* from era_header; 0 if there is none */
	GBytes *body;	       /* borrowed; never NULL */
} sr_exchange_result_t;

typedef void (*sr_exchange_fn)(void *user, const sr_exchange_result_t *result);

typedef struct {
	sr_http_client_t *client; /* borrowed */
	sr_clock_t *clock;	  /* borrowed */
	const char *method;
	const char *address;	   /* IP:PORT */
	const char *path;	   /* with the query */
	const char *if_match;	   /* or NULL */
	const char *if_none_match; /* or NULL */
	const char *content_type;  /* of body */
	char **headers; /* alternating names and values, ended by NULL; or
			 * NULL */
	const char *era_header; /* static; see sr_platform_options_t; or NULL */
	GBytes *body;		/* or NULL; a reference is taken */
	sr_usec_t timeout;	/* until the body begins */
	sr_usec_t idle_timeout; /* between two pieces of the answer */
	sr_exchange_fn done;	/* called once; the exchange is then invalid */
	void *user;
} sr_exchange_options_t;

/**
 * sr_exchange_new - send a request
 *
 * Returns NULL if the address, the path or a field can't be sent; done is then
 * not called.
 */
sr_exchange_t *sr_exchange_new(const sr_exchange_options_t *options);

/** sr_exchange_answered_at - time at which the body of the answer began; 0
 * before it. */
sr_usec_t sr_exchange_answered_at(const sr_exchange_t *exchange);

/** sr_exchange_cancel - end and release an exchange without calling done. */
void sr_exchange_cancel(sr_exchange_t *exchange);

#endif
