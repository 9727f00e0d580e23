#ifndef SR_UPSTREAM_CLIENT_H
#define SR_UPSTREAM_CLIENT_H

#include <glib.h>
#include <libsoup/soup.h>

/**
 * sr_upstream_client_t - HTTP calls to model engines and plain services
 *
 * It holds the connections and decides nothing: no call is sent twice on its
 * own account. A call that is not idempotent gets a new connection, so that
 * no half-closed connection can make its fate unclear.
 *
 * An answer counts as whole if it has its stated length, or if it ends as
 * chunked coding demands. libsoup does not tell the latter from a connection
 * that ended between two chunks; the client does, unless the upstream sent
 * "Connection: close". Without length and chunks the end of the connection is
 * the end of the answer.
 */
typedef struct sr_upstream_client sr_upstream_client_t;

/**
 * sr_fetch_t - one call under way
 *
 * Owned by the client. It is gone once on_end has been called or
 * sr_fetch_cancel() was.
 */
typedef struct sr_fetch sr_fetch_t;

typedef enum {
	SR_FETCH_COMPLETE, /* the whole answer came */
	SR_FETCH_NOT_SENT, /* no byte of the request was sent */
	SR_FETCH_BROKEN,   /* it ended before the answer was whole */
} sr_fetch_end_t;

/** sr_header_t - one header field; both strings are copied. */
typedef struct {
	const char *name;
	const char *value; /* NULL leaves the field out */
} sr_header_t;

/** sr_fetch_options_t - everything is copied or referenced. */
typedef struct {
	const char *address; /* IP:PORT */
	const char *method;
	const char *path; /* with the query */
	const sr_header_t *headers;
	unsigned n_headers;
	const char *content_type; /* or NULL */
	GBytes *body;		  /* or NULL */
	gboolean idempotent;
	/* called once, before any data; headers are valid during the call */
	void (*on_headers)(void *user, unsigned status,
			   SoupMessageHeaders *headers);
	void (*on_data)(void *user, const guint8 *data, gsize size);
	void (*on_end)(void *user, sr_fetch_end_t end, const char *detail);
	void *user;
} sr_fetch_options_t;

sr_upstream_client_t *sr_upstream_client_new(void);

/** sr_upstream_client_free - cancels what is under way, without callbacks. */
void sr_upstream_client_free(sr_upstream_client_t *client);

/**
 * sr_upstream_send - start a call
 *
 * No callback runs inside it. Returns NULL if the method or the path is not
 * one that can be sent.
 */
sr_fetch_t *sr_upstream_send(sr_upstream_client_t *client,
			     const sr_fetch_options_t *options);

/** sr_fetch_pause - stop reading the answer; may be called in on_data. */
void sr_fetch_pause(sr_fetch_t *fetch);

/** sr_fetch_resume - go on reading after sr_fetch_pause(). */
void sr_fetch_resume(sr_fetch_t *fetch);

/** sr_fetch_cancel - close it; no callback follows. NULL is allowed. */
void sr_fetch_cancel(sr_fetch_t *fetch);

/** sr_upstream_n_fetches - calls under way. */
unsigned sr_upstream_n_fetches(const sr_upstream_client_t *client);

#endif
