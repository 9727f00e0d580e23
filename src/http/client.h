#ifndef SR_HTTP_CLIENT_H
#define SR_HTTP_CLIENT_H

#include <glib.h>

#include "base/clock.h"
#include "http/headers.h"

/**
 * sr_http_client_t - HTTP client with kept connections
 *
 * It has no retry policy: the code that starts a request decides whether to
 * send it again. A request that is not idempotent gets a new connection: on a
 * reused one that the server has just closed, it would be unknown whether the
 * request ran.
 *
 * A response is complete if it has the length that its headers state, or if it
 * ends with the last chunk of chunked transfer coding. A response with neither
 * a length nor chunks ends when the connection is closed; one that is reset is
 * broken. So is one that is no valid HTTP/1.1, see sr_parser_t.
 */
typedef struct sr_http_client sr_http_client_t;

/**
 * sr_fetch_t - an HTTP request and its response
 *
 * Owned by the client, and valid until on_end or sr_fetch_cancel() is called.
 */
typedef struct sr_fetch sr_fetch_t;

/** sr_fetch_end_t - how a request ended. */
typedef enum {
	SR_FETCH_COMPLETE, /* the response is complete, whatever its status */
	SR_FETCH_NOT_SENT, /* no byte of the request was sent */
	SR_FETCH_BROKEN,   /* failed before the response was complete */
} sr_fetch_end_t;

/**
 * sr_fetch_options_t - a request and its callbacks
 *
 * sr_http_send() copies the strings and references the body. user must
 * remain valid until on_end or sr_fetch_cancel() is called.
 */
typedef struct {
	const char *address; /* IP:PORT */
	const char *method;
	const char *path;	    /* with the query string */
	const sr_header_t *headers; /* one whose value is NULL is left out */
	unsigned n_headers;
	const char *content_type; /* NULL if there is no body */
	GBytes *body;		  /* or NULL */
	gboolean idempotent;
	/* called at most once, before any data; headers are valid during the
	 * call */
	void (*on_headers)(void *user, unsigned status,
			   const sr_headers_t *headers);
	/* called for each piece of the body; data is valid during the call */
	void (*on_data)(void *user, const guint8 *data, gsize size);
	/* called once unless the request is cancelled; detail is the reason of
	 * a failure, NULL on success, and valid during the call */
	void (*on_end)(void *user, sr_fetch_end_t end, const char *detail);
	void *user;
} sr_fetch_options_t;

typedef struct {
	sr_clock_t *clock; /* borrowed */
	/* Connections to a server that can't be reached are not reset; the
	 * owner has timeouts for its requests. */
	gboolean keeps_silent_connections;
} sr_http_client_options_t;

/** sr_http_client_new - free with sr_http_client_free(). */
sr_http_client_t *sr_http_client_new(const sr_http_client_options_t *options);

/**
 * sr_http_client_free - cancel all requests without callbacks and close
 * the connections; NULL is allowed
 */
void sr_http_client_free(sr_http_client_t *client);

/** sr_http_client_close_idle - close the connections without a request. */
void sr_http_client_close_idle(sr_http_client_t *client);

/**
 * sr_http_send - start a request
 *
 * No callback runs before it returns. Returns NULL, and calls none, if the
 * address, the method, the path or a field can't be sent.
 */
sr_fetch_t *sr_http_send(sr_http_client_t *client,
			 const sr_fetch_options_t *options);

/**
 * sr_fetch_pause - stop reading the response
 *
 * It may be called at any time, also in on_headers and on_data. Neither on_data
 * nor a complete response's on_end is called until the resume.
 */
void sr_fetch_pause(sr_fetch_t *fetch);

/** sr_fetch_resume - continue reading after sr_fetch_pause(). */
void sr_fetch_resume(sr_fetch_t *fetch);

/** sr_fetch_is_sent - FALSE while it is certain that no byte was sent. */
gboolean sr_fetch_is_sent(const sr_fetch_t *fetch);

/** sr_fetch_cancel - end without further callbacks; NULL is allowed. */
void sr_fetch_cancel(sr_fetch_t *fetch);

/** sr_http_client_n_fetches - number of requests that have not ended. */
unsigned sr_http_client_n_fetches(const sr_http_client_t *client);

#endif
