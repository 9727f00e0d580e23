#ifndef SR_PLATFORM_API_EXCHANGE_H
#define SR_PLATFORM_API_EXCHANGE_H

#include <libsoup/soup.h>

#include "base/clock.h"

/**
 * sr_exchange_t - one HTTP request and its answer, with a time limit
 *
 * The answer's body is read up to a limit. A request other than GET goes out
 * on a connection of its own: libsoup would otherwise send a PUT again after
 * a reused connection broke, and a conditional write that took effect would
 * look like a conflict.
 */
typedef struct sr_exchange sr_exchange_t;

typedef struct {
	gboolean sent;	 /* FALSE: certainly no byte was sent */
	unsigned status; /* 0 if no whole answer came */
	guint64 version; /* of the ETag; 0 if there is none */
	sr_usec_t retry_after;
	GBytes *body; /* never NULL */
} sr_exchange_result_t;

typedef void (*sr_exchange_fn)(void *user, const sr_exchange_result_t *result);

typedef struct {
	SoupSession *session;
	sr_clock_t *clock;
	const char *method;
	const char *url;
	const char *if_match;	   /* or NULL */
	const char *if_none_match; /* or NULL */
	const char *content_type;
	char **headers; /* names and values by turns, ended by NULL; or NULL */
	GBytes *body;	/* or NULL; a reference is taken */
	sr_usec_t timeout;
	sr_exchange_fn done; /* called once; the exchange is then gone */
	void *user;
} sr_exchange_options_t;

/** sr_exchange_new - NULL if the URL is not valid; then done is not called. */
sr_exchange_t *sr_exchange_new(const sr_exchange_options_t *options);

/** sr_exchange_cancel - end it without calling done. */
void sr_exchange_cancel(sr_exchange_t *exchange);

#endif
