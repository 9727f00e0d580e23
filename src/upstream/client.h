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
 */
typedef struct sr_upstream_client sr_upstream_client_t;

/**
 * sr_exchange_t - one call under way
 *
 * Owned by the client. It is gone once on_end has been called or
 * sr_exchange_cancel() was.
 */
typedef struct sr_exchange sr_exchange_t;

typedef enum {
	SR_EXCHANGE_COMPLETE, /* the whole answer came */
	SR_EXCHANGE_NOT_SENT, /* no byte of the request was sent */
	SR_EXCHANGE_BROKEN,   /* it ended before the answer was whole */
} sr_exchange_end_t;

/** sr_header_t - one header field; both strings are copied. */
typedef struct {
	const char *name;
	const char *value; /* NULL leaves the field out */
} sr_header_t;

/** sr_exchange_options_t - everything is copied or referenced. */
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
	void (*on_end)(void *user, sr_exchange_end_t end, const char *detail);
	void *user;
} sr_exchange_options_t;

sr_upstream_client_t *sr_upstream_client_new(void);

/** sr_upstream_client_free - cancels what is under way, without callbacks. */
void sr_upstream_client_free(sr_upstream_client_t *client);

/**
 * sr_upstream_send - start a call
 *
 * No callback runs inside it. Returns NULL if the method or the path is not
 * one that can be sent.
 */
sr_exchange_t *sr_upstream_send(sr_upstream_client_t *client,
				const sr_exchange_options_t *options);

/** sr_exchange_pause - stop reading the answer; may be called in on_data. */
void sr_exchange_pause(sr_exchange_t *exchange);

/** sr_exchange_resume - go on reading after sr_exchange_pause(). */
void sr_exchange_resume(sr_exchange_t *exchange);

/** sr_exchange_cancel - close it; no callback follows. NULL is allowed. */
void sr_exchange_cancel(sr_exchange_t *exchange);

/** sr_upstream_n_exchanges - calls under way. */
unsigned sr_upstream_n_exchanges(const sr_upstream_client_t *client);

#endif
