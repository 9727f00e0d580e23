#ifndef SR_EMULATOR_SERVER_H
#define SR_EMULATOR_SERVER_H

#include <glib.h>
#include <json-c/json.h>

#include "base/clock.h"

/**
 * sr_emu_server_t - HTTP server of an emulated component
 *
 * Reads each request completely, applies the latency and the faults, and calls
 * the handler. The handler runs after half of the latency, so that both the
 * request and the answer are delayed, or after all of it if the server streams
 * its answers. Paths below /admin/ have neither latency nor faults; POST
 * /admin/fault adds a fault.
 */
typedef struct sr_emu_server sr_emu_server_t;

/**
 * sr_emu_exchange_t - one request and its answer
 *
 * Owned by the server. It remains valid until it is answered, even if the
 * client disconnects: a request that was read is executed. A streamed answer
 * ends when the client disconnects.
 */
typedef struct sr_emu_exchange sr_emu_exchange_t;

/** sr_emu_handler_fn - handle a request and answer it, now or later. */
typedef void (*sr_emu_handler_fn)(void *user, sr_emu_exchange_t *exchange);

/**
 * sr_emu_poll_fn - answer a waiting request if its condition is met
 *
 * Returns TRUE if it answered, which it must do if timed_out is set.
 */
typedef gboolean (*sr_emu_poll_fn)(void *user, sr_emu_exchange_t *exchange,
				   gboolean timed_out);

typedef struct {
	const char *listen; /* IP:PORT; port 0 selects a free port */
	guint64 seed;	    /* of the faults with a ratio */
	sr_usec_t latency;  /* of every answer, except below /admin/ */
	gboolean streams;   /* apply all of the latency before the handler */
	sr_clock_t *clock;
	sr_emu_handler_fn handler;
	void *user;
} sr_emu_server_options_t;

/**
 * sr_emu_server_new - create a server and listen
 *
 * Returns NULL after printing the error if it cannot listen.
 */
sr_emu_server_t *sr_emu_server_new(const sr_emu_server_options_t *options);
void sr_emu_server_free(sr_emu_server_t *server);

/**
 * sr_emu_server_run - print "listening on IP:PORT", then serve until SIGTERM
 * or SIGINT
 */
void sr_emu_server_run(sr_emu_server_t *server);

/**
 * sr_emu_server_add_fault - add a fault, as POST /admin/fault does
 *
 * Returns FALSE if the mode is unknown. The object is borrowed.
 */
gboolean sr_emu_server_add_fault(sr_emu_server_t *server,
				 struct json_object *fault);

/** sr_emu_server_set_running - set the count that "min_running" refers to. */
void sr_emu_server_set_running(sr_emu_server_t *server, unsigned running);

/** sr_emu_server_poll_waiting - call the poll function of every long poll. */
void sr_emu_server_poll_waiting(sr_emu_server_t *server);

const char *sr_emu_method(const sr_emu_exchange_t *exchange);

/** sr_emu_path - the percent-decoded path. */
const char *sr_emu_path(const sr_emu_exchange_t *exchange);

/** sr_emu_request_is - whether the method and the whole path match. */
gboolean sr_emu_request_is(const sr_emu_exchange_t *exchange,
			   const char *method, const char *path);

/** sr_emu_query - value of a query parameter, or NULL. */
const char *sr_emu_query(const sr_emu_exchange_t *exchange, const char *name);

/** sr_emu_query_number - fallback if absent or not a decimal number. */
guint64 sr_emu_query_number(const sr_emu_exchange_t *exchange, const char *name,
			    guint64 fallback);

/** sr_emu_header - value of a request header, or NULL. */
const char *sr_emu_header(const sr_emu_exchange_t *exchange, const char *name);

/** sr_emu_header_number - like sr_emu_query_number(), for a header. */
guint64 sr_emu_header_number(const sr_emu_exchange_t *exchange,
			     const char *name, guint64 fallback);

/** sr_emu_body - the request body, borrowed. */
GBytes *sr_emu_body(const sr_emu_exchange_t *exchange);

/**
 * sr_emu_body_json - the body as a JSON object, owned by the caller
 *
 * Returns NULL if the body is not a JSON object.
 */
struct json_object *sr_emu_body_json(const sr_emu_exchange_t *exchange);

/** sr_emu_set_header - set a header of the answer, before it is sent. */
void sr_emu_set_header(sr_emu_exchange_t *exchange, const char *name,
		       const char *value);

/**
 * sr_emu_answer - send an answer; type and body are NULL for an empty one
 *
 * This function and the other sr_emu_answer functions end the exchange; the
 * pointer is invalid afterwards.
 */
void sr_emu_answer(sr_emu_exchange_t *exchange, unsigned status,
		   const char *type, GBytes *body);
void sr_emu_answer_status(sr_emu_exchange_t *exchange, unsigned status);

/** sr_emu_answer_json - takes the reference to body. */
void sr_emu_answer_json(sr_emu_exchange_t *exchange, unsigned status,
			struct json_object *body);

/** sr_emu_answer_throttled - status 429 or 503 with Retry-After. */
void sr_emu_answer_throttled(sr_emu_exchange_t *exchange, unsigned status,
			     unsigned retry_after_s);

/**
 * sr_emu_long_poll - call poll now, at each sr_emu_server_poll_waiting(), and
 * after the timeout with timed_out set
 */
void sr_emu_long_poll(sr_emu_exchange_t *exchange, sr_usec_t timeout,
		      sr_emu_poll_fn poll, void *user);

/**
 * sr_emu_stream_begin - begin a streamed answer with status 200
 *
 * disconnected is called at most once, if the client disconnects before
 * sr_emu_stream_end(); the exchange is invalid after it returns.
 */
void sr_emu_stream_begin(sr_emu_exchange_t *exchange, const char *type,
			 void (*disconnected)(void *user), void *user);
void sr_emu_stream_write(sr_emu_exchange_t *exchange, const char *text);

/** sr_emu_stream_end - end a streamed answer; the exchange becomes invalid. */
void sr_emu_stream_end(sr_emu_exchange_t *exchange);

/** sr_emu_reply_is_lost - whether the fault "lost-reply" applies. */
gboolean sr_emu_reply_is_lost(const sr_emu_exchange_t *exchange);

/**
 * sr_emu_abort - close the connection without completing the answer; the
 * exchange becomes invalid
 */
void sr_emu_abort(sr_emu_exchange_t *exchange);

/**
 * sr_emu_json_string - string member of an object, borrowed
 *
 * Returns fallback if the member is absent or of another type.
 */
const char *sr_emu_json_string(struct json_object *object, const char *name,
			       const char *fallback);

/** sr_emu_json_number - member as a number; fallback if absent. */
double sr_emu_json_number(struct json_object *object, const char *name,
			  double fallback);

/** sr_emu_json_bool - member as a boolean; fallback if absent. */
gboolean sr_emu_json_bool(struct json_object *object, const char *name,
			  gboolean fallback);

#endif
