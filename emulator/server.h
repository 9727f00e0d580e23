#ifndef SR_EMULATOR_SERVER_H
#define SR_EMULATOR_SERVER_H

#include <glib.h>
#include <json-c/json.h>

#include "base/clock.h"

/**
 * sr_emu_server_t - HTTP server that all stand-ins share
 *
 * It reads whole requests, applies latency and faults, and hands each
 * request to one handler. The effect of a request takes place half way
 * through its latency, so that both a request and an answer can be late.
 */
typedef struct sr_emu_server sr_emu_server_t;

/**
 * sr_emu_exchange_t - one request and its answer
 *
 * Owned by the server. It lives until it is answered, even if the client has
 * gone: a request that was read takes effect.
 */
typedef struct sr_emu_exchange sr_emu_exchange_t;

typedef void (*sr_emu_handler_fn)(void *user, sr_emu_exchange_t *exchange);

/** Returns TRUE if it has answered; it must answer when timed_out is set. */
typedef gboolean (*sr_emu_poll_fn)(void *user, sr_emu_exchange_t *exchange,
				   gboolean timed_out);

typedef struct {
	const char *listen; /* IP:PORT; port 0 takes a free one */
	guint64 seed;	    /* of the random faults */
	sr_usec_t latency;  /* of every answer */
	gboolean streams;   /* all of the latency comes before the effect */
	sr_clock_t *clock;
	sr_emu_handler_fn handler;
	void *user;
} sr_emu_server_options_t;

/** sr_emu_server_new - returns NULL and prints why if it cannot listen. */
sr_emu_server_t *sr_emu_server_new(const sr_emu_server_options_t *options);
void sr_emu_server_free(sr_emu_server_t *server);

/**
 * sr_emu_server_run - print "listening on IP:PORT", then serve until SIGTERM
 * or SIGINT
 */
void sr_emu_server_run(sr_emu_server_t *server);

/**
 * sr_emu_server_add_fault - apply a fault as POST /admin/fault does
 *
 * Returns FALSE if the description is not one of a fault.
 */
gboolean sr_emu_server_add_fault(sr_emu_server_t *server,
				 struct json_object *fault);

/** sr_emu_server_set_running - requests that run, for faults under load. */
void sr_emu_server_set_running(sr_emu_server_t *server, unsigned running);

/** sr_emu_server_wake - poll every exchange that waits. */
void sr_emu_server_wake(sr_emu_server_t *server);

const char *sr_emu_method(const sr_emu_exchange_t *exchange);

/** sr_emu_path - the decoded path. */
const char *sr_emu_path(const sr_emu_exchange_t *exchange);

/** sr_emu_is - compare the method and the whole path. */
gboolean sr_emu_is(const sr_emu_exchange_t *exchange, const char *method,
		   const char *path);

/** sr_emu_query - value of a query parameter, or NULL. */
const char *sr_emu_query(const sr_emu_exchange_t *exchange, const char *name);

/** sr_emu_query_number - fallback if absent or not a number. */
guint64 sr_emu_query_number(const sr_emu_exchange_t *exchange, const char *name,
			    guint64 fallback);

/** sr_emu_header - value of a request header, or NULL. */
const char *sr_emu_header(const sr_emu_exchange_t *exchange, const char *name);

guint64 sr_emu_header_number(const sr_emu_exchange_t *exchange,
			     const char *name, guint64 fallback);

/** sr_emu_body - the request body, borrowed. */
GBytes *sr_emu_body(const sr_emu_exchange_t *exchange);

/** sr_emu_body_json - the body as a JSON object, owned, or NULL. */
struct json_object *sr_emu_body_json(const sr_emu_exchange_t *exchange);

/** sr_emu_set_header - set a header of the answer. */
void sr_emu_set_header(sr_emu_exchange_t *exchange, const char *name,
		       const char *value);

/** The answers below end the exchange; the pointer is invalid afterwards. */
void sr_emu_answer(sr_emu_exchange_t *exchange, unsigned status,
		   const char *type, GBytes *body);
void sr_emu_answer_status(sr_emu_exchange_t *exchange, unsigned status);

/** sr_emu_answer_json - takes the reference to body. */
void sr_emu_answer_json(sr_emu_exchange_t *exchange, unsigned status,
			struct json_object *body);

/** sr_emu_answer_throttled - 429 or 503 with Retry-After in whole seconds. */
void sr_emu_answer_throttled(sr_emu_exchange_t *exchange, unsigned status,
			     unsigned retry_after_s);

/**
 * sr_emu_wait - poll the exchange now, whenever the server is woken, and once
 * more after timeout
 */
void sr_emu_wait(sr_emu_exchange_t *exchange, sr_usec_t timeout,
		 sr_emu_poll_fn poll, void *user);

/**
 * sr_emu_stream_begin - start an answer that is sent in pieces
 *
 * gone is called at most once, if the client leaves before
 * sr_emu_stream_end(); the exchange is invalid after it returns.
 */
void sr_emu_stream_begin(sr_emu_exchange_t *exchange, const char *type,
			 void (*gone)(void *user), void *user);
void sr_emu_stream_write(sr_emu_exchange_t *exchange, const char *text);
void sr_emu_stream_end(sr_emu_exchange_t *exchange);

/** sr_emu_loses_reply - the answer to this request is to be lost. */
gboolean sr_emu_loses_reply(const sr_emu_exchange_t *exchange);

/** sr_emu_abort - close the connection without the rest of the answer. */
void sr_emu_abort(sr_emu_exchange_t *exchange);

/** sr_emu_json_string - member of an object as text, or fallback. */
const char *sr_emu_json_string(struct json_object *object, const char *name,
			       const char *fallback);
double sr_emu_json_number(struct json_object *object, const char *name,
			  double fallback);
gboolean sr_emu_json_bool(struct json_object *object, const char *name,
			  gboolean fallback);

#endif
