#ifndef SR_TEST_CALLER_RIG_H
#define SR_TEST_CALLER_RIG_H

#include <libsoup/soup.h>
#include <string.h>

#include "base/fields.h"
#include "caller/server.h"

/**
 * caller_rig - a caller server, clients and two scripted upstreams for tests
 *
 * All run in one main context. Timers use a manual clock; only waits for
 * sockets take real time.
 */

#define RIG_N_TOKENS 8 /* of a whole stream */
#define RIG_N_UPSTREAMS 2
#define RIG_WAIT_S 20	     /* seconds of real time */
#define RIG_LONG_SIZE 500000 /* bytes */

/* SHA-256 of the tokens "t" and "u". */
#define RIG_HASH_T \
	"e3b98a4da31a127d4bde6e43033f66ba274cab0eb7eb1c70ec41402bf6273dd8"
#define RIG_HASH_U \
	"0bfe935e70c321c7ca3afc75ce0d0ca2f98b5422e008bb31c00c6d7f1f1c0ad6"

/** rig_mode_t - how an upstream answers. */
typedef enum {
	RIG_STREAM,	     /* all tokens from X-Resume-Offset on */
	RIG_TRUNCATED,	     /* closes the connection before token `at` */
	RIG_CANCELLED,	     /* a cancelled event in place of token `at` */
	RIG_SKIP_TOKEN,	     /* leaves out token `at` */
	RIG_WRONG_TOKEN,     /* token `at` + 1 in place of `at` */
	RIG_FROM_START,	     /* ignores X-Resume-Offset */
	RIG_WRONG_TOTAL,     /* the total in the done event is 1 too high */
	RIG_NOT_RUN,	     /* 503 with X-Executed: not-run */
	RIG_FAIL,	     /* 500 */
	RIG_HOLD,	     /* does not answer until rig_release() */
	RIG_FLOOD,	     /* an endless body */
	RIG_PLAIN,	     /* "whole answer" with Content-Length */
	RIG_LONG,	     /* RIG_LONG_SIZE bytes with Content-Length */
	RIG_PLAIN_TRUNCATED, /* RIG_PLAIN, closed after `at` bytes */
	RIG_EMPTY,	     /* 200 with Content-Length 0 */
} rig_mode_t;

/** rig_upstream_t - an upstream and what it received. */
typedef struct {
	SoupServer *server;
	rig_mode_t mode;
	unsigned at; /* see rig_mode_t */
	unsigned n_requests;
	unsigned n_cancels;
	char *cancelled;     /* path of the last DELETE */
	char *last_id;	     /* X-Request-Id of the last request */
	char *last_offset;   /* its X-Resume-Offset, or "" */
	char *last_priority; /* its X-Priority, or "" */
	GPtrArray *held;     /* unanswered messages of RIG_HOLD, in order */
	guint64 flooded;     /* bytes written by RIG_FLOOD */
} rig_upstream_t;

typedef struct {
	sr_clock_t *clock;
	sr_metrics_t *metrics;
	sr_trace_t *trace;
	sr_dispatch_t *dispatch;
	sr_http_client_t *upstream;
	sr_http_client_t *client;
	sr_caller_server_t *server;
	sr_config_t *config;
	rig_upstream_t upstreams[RIG_N_UPSTREAMS];
} rig_t;

/** rig_answer_t - a request of a client and its answer. */
typedef struct {
	sr_fetch_t *fetch;
	unsigned status;
	GString *body;
	char *retry_after;
	gboolean ended;
	sr_fetch_end_t end;
	gsize pause_after; /* bytes after which reading stops; 0 for none */
} rig_answer_t;

static inline void rig_set_string(char **where, const char *value)
{
	g_free(*where);
	*where = g_strdup(value ? value : "");
}

static inline unsigned rig_resume_offset(SoupServerMessage *message)
{
	const char *text = soup_message_headers_get_one(
		soup_server_message_get_request_headers(message),
		"X-Resume-Offset");

	return text ? (unsigned)g_ascii_strtoull(text, NULL, 10) : 0;
}

/* Tokens depend on the request body, so that mixed-up answers differ. */
static inline void rig_add_token(GString *text, GBytes *body, unsigned offset)
{
	g_string_append_printf(text,
			       "data: {\"offset\": %u, \"token\": "
			       "\"%u.%u\"}\n\n",
			       offset, g_bytes_hash(body), offset);
}

static inline void rig_add_done(GString *text, unsigned tokens)
{
	g_string_append_printf(text, "event: done\ndata: {\"tokens\": %u}\n\n",
			       tokens);
}

static inline void rig_add_text(SoupServerMessage *message, const char *text)
{
	soup_message_body_append(soup_server_message_get_response_body(message),
				 SOUP_MEMORY_COPY, text, strlen(text));
}

static inline void rig_shutdown_output(SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);

	g_socket_shutdown(socket, FALSE, TRUE, NULL);
}

static inline void rig_on_written(SoupServerMessage *message, gpointer data)
{
	rig_shutdown_output(message);
}

static inline void rig_send_stream(rig_upstream_t *upstream,
				   SoupServerMessage *message)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);
	unsigned first = rig_resume_offset(message);
	GString *text = g_string_new(NULL);
	GBytes *body = soup_message_body_flatten(
		soup_server_message_get_request_body(message));

	soup_server_message_set_status(message, 200, NULL);
	soup_message_headers_replace(headers, "Content-Type",
				     "text/event-stream");
	soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
	if (upstream->mode == RIG_FROM_START)
		first = 0;
	for (unsigned i = first; i < RIG_N_TOKENS; i++) {
		if (i == upstream->at && (upstream->mode == RIG_TRUNCATED ||
					  upstream->mode == RIG_CANCELLED))
			break;
		if (i != upstream->at || upstream->mode != RIG_SKIP_TOKEN)
			rig_add_token(text, body,
				      i + (i == upstream->at &&
					   upstream->mode == RIG_WRONG_TOKEN));
	}
	if (upstream->mode == RIG_TRUNCATED)
		g_string_append(text, "data: {\"off");
	else if (upstream->mode == RIG_CANCELLED)
		g_string_append(text, "event: cancelled\ndata: {}\n\n");
	else
		rig_add_done(text, RIG_N_TOKENS +
					   (upstream->mode == RIG_WRONG_TOTAL));
	rig_add_text(message, text->str);
	/* RIG_TRUNCATED: the message stays incomplete and is closed. */
	if (upstream->mode == RIG_TRUNCATED)
		g_signal_connect(message, "wrote-chunk",
				 G_CALLBACK(rig_on_written), NULL);
	else
		soup_message_body_complete(
			soup_server_message_get_response_body(message));
	g_string_free(text, TRUE);
	g_bytes_unref(body);
}

static inline void rig_on_flooded(SoupServerMessage *message, guint size,
				  gpointer data)
{
	rig_upstream_t *upstream = data;
	static const char block[8192];

	upstream->flooded += size;
	soup_message_body_append(soup_server_message_get_response_body(message),
				 SOUP_MEMORY_STATIC, block, sizeof(block));
	soup_server_message_unpause(message);
}

static inline void rig_send_plain(rig_upstream_t *upstream,
				  SoupServerMessage *message)
{
	static const char text[] = "whole answer";
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);

	soup_server_message_set_status(message, 200, NULL);
	if (upstream->mode == RIG_FLOOD) {
		soup_message_headers_set_encoding(headers,
						  SOUP_ENCODING_CHUNKED);
		soup_message_body_set_accumulate(
			soup_server_message_get_response_body(message), FALSE);
		g_signal_connect(message, "wrote-body-data",
				 G_CALLBACK(rig_on_flooded), upstream);
		rig_add_text(message, "start");
		return;
	}
	if (upstream->mode == RIG_EMPTY) {
		soup_message_headers_set_content_length(headers, 0);
		return;
	}
	if (upstream->mode == RIG_LONG) {
		soup_message_headers_set_content_length(headers, RIG_LONG_SIZE);
		soup_message_body_append_take(
			soup_server_message_get_response_body(message),
			(guchar *)g_strnfill(RIG_LONG_SIZE, 'x'),
			RIG_LONG_SIZE);
		return;
	}
	soup_message_headers_set_content_length(headers, strlen(text));
	if (upstream->mode == RIG_PLAIN) {
		rig_add_text(message, text);
		return;
	}
	soup_message_body_append(soup_server_message_get_response_body(message),
				 SOUP_MEMORY_STATIC, text, upstream->at);
	g_signal_connect(message, "wrote-chunk", G_CALLBACK(rig_on_written),
			 NULL);
	if (!upstream->at)
		g_signal_connect(message, "wrote-headers",
				 G_CALLBACK(rig_on_written), NULL);
}

static inline void rig_answer(rig_upstream_t *upstream,
			      SoupServerMessage *message)
{
	switch (upstream->mode) {
	case RIG_NOT_RUN:
		soup_message_headers_replace(
			soup_server_message_get_response_headers(message),
			"X-Executed", "not-run");
		soup_server_message_set_status(message, 503, NULL);
		return;
	case RIG_FAIL:
		soup_server_message_set_status(message, 500, NULL);
		return;
	case RIG_HOLD:
		soup_server_message_pause(message);
		g_ptr_array_add(upstream->held, g_object_ref(message));
		return;
	case RIG_FLOOD:
	case RIG_PLAIN:
	case RIG_LONG:
	case RIG_PLAIN_TRUNCATED:
	case RIG_EMPTY:
		rig_send_plain(upstream, message);
		return;
	default:
		rig_send_stream(upstream, message);
	}
}

static inline void rig_on_request(SoupServer *server,
				  SoupServerMessage *message, const char *path,
				  GHashTable *query, gpointer data)
{
	rig_upstream_t *upstream = data;
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);

	if (g_str_has_prefix(path, "/requests/")) {
		upstream->n_cancels++;
		rig_set_string(&upstream->cancelled, path);
		soup_server_message_set_status(message, 204, NULL);
		return;
	}
	upstream->n_requests++;
	rig_set_string(&upstream->last_id,
		       soup_message_headers_get_one(headers, "X-Request-Id"));
	rig_set_string(
		&upstream->last_offset,
		soup_message_headers_get_one(headers, "X-Resume-Offset"));
	rig_set_string(&upstream->last_priority,
		       soup_message_headers_get_one(headers, "X-Priority"));
	rig_answer(upstream, message);
}

/** rig_release - answer a request held by RIG_HOLD with a whole stream. */
static inline void rig_release(rig_upstream_t *upstream, guint index)
{
	SoupServerMessage *message = upstream->held->pdata[index];

	upstream->mode = RIG_STREAM;
	rig_send_stream(upstream, message);
	soup_server_message_unpause(message);
	upstream->mode = RIG_HOLD;
}

static inline guint16 rig_open_upstream(rig_upstream_t *upstream)
{
	GSList *uris;
	guint16 port;

	upstream->server = soup_server_new(NULL, NULL);
	upstream->held = g_ptr_array_new_with_free_func(g_object_unref);
	soup_server_add_handler(upstream->server, NULL, rig_on_request,
				upstream, NULL);
	soup_server_listen_local(upstream->server, 0,
				 SOUP_SERVER_LISTEN_IPV4_ONLY, NULL);
	uris = soup_server_get_uris(upstream->server);
	port = (guint16)g_uri_get_port(uris->data);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	return port;
}

/**
 * rig_config - services "m" (model) and "p" (plain) at both upstreams
 *
 * Token "t" belongs to an account that may use both services, token "u" to one
 * that may use "p" only.
 */
static inline sr_config_t *rig_config(const guint16 ports[RIG_N_UPSTREAMS])
{
	GPtrArray *findings = sr_findings_new();
	GString *text = g_string_new(
		"{\"accounts\": ["
		"{\"name\": \"a\", \"home\": \"z\", \"token_sha256\": "
		"[\"" RIG_HASH_T "\"]},"
		"{\"name\": \"b\", \"home\": \"z\", \"token_sha256\": "
		"[\"" RIG_HASH_U "\"], \"services\": [\"p\"]}],"
		"\"services\": ["
		"{\"name\": \"m\", \"kind\": \"model\", \"path\": \"/m\","
		" \"routes\": [{\"name\": \"r\", \"path\": \"/m\","
		" \"method\": \"POST\", \"idempotent\": true,"
		" \"priority\": \"comparison\", \"deadline_ms\": 60000}],"
		" \"versions\": [{\"name\": \"v\", \"share\": 1}]},"
		"{\"name\": \"p\", \"kind\": \"plain\", \"path\": \"/p\","
		" \"routes\": ["
		"{\"name\": \"w\", \"path\": \"/p/w\", \"method\": \"POST\","
		" \"idempotent\": false},"
		"{\"name\": \"r\", \"path\": \"/p\", \"method\": \"*\","
		" \"idempotent\": true}],"
		" \"versions\": [{\"name\": \"v\", \"share\": 1}]}],"
		"\"upstreams\": [");
	sr_config_t *config;

	for (int i = 0; i < 2 * RIG_N_UPSTREAMS; i++)
		g_string_append_printf(
			text,
			"%s{\"name\": \"u%d\", \"service\": \"%s\", "
			"\"version\": \"v\", \"failure_domain\": \"z\", "
			"\"slots\": 64, \"address\": \"127.0.0.1:%u\"}",
			i ? "," : "", i, i < RIG_N_UPSTREAMS ? "m" : "p",
			ports[i % RIG_N_UPSTREAMS]);
	g_string_append(text, "]}");
	config = sr_config_parse(text->str, text->len, 1, findings);
	if (!config)
		g_error("%s", sr_findings_text(findings));
	g_ptr_array_unref(findings);
	g_string_free(text, TRUE);
	return config;
}

/** rig_new - start the server, listening, with both upstreams. */
static inline rig_t *rig_new(void)
{
	rig_t *rig = g_new0(rig_t, 1);
	sr_trace_options_t trace = { .seed = 1 };
	sr_dispatch_options_t dispatch = { .failure_domain = "z", .seed = 2 };
	sr_caller_server_options_t options = {
		.seed = 3,
		.request_bytes = 256 * 1024,
		.buffered_bytes = 4 * 1024 * 1024,
		.max_requests = 1000,
		.max_connections = 1000,
		.header_timeout = 60 * SR_SEC,
		.body_timeout = 30 * SR_SEC,
	};
	guint16 ports[RIG_N_UPSTREAMS];
	char *detail = NULL;

	for (int i = 0; i < RIG_N_UPSTREAMS; i++)
		ports[i] = rig_open_upstream(&rig->upstreams[i]);
	rig->clock = sr_clock_new_manual(SR_HOUR);
	rig->metrics = sr_metrics_new();
	trace.clock = rig->clock;
	rig->trace = sr_trace_new(&trace);
	rig->dispatch = sr_dispatch_new(&dispatch);
	rig->upstream = sr_http_client_new(
		&(sr_http_client_options_t){ .clock = rig->clock });
	rig->client = sr_http_client_new(
		&(sr_http_client_options_t){ .clock = rig->clock });
	options.clock = rig->clock;
	options.metrics = rig->metrics;
	options.trace = rig->trace;
	options.dispatch = rig->dispatch;
	options.upstream = rig->upstream;
	rig->server = sr_caller_server_new(&options);
	rig->config = rig_config(ports);
	sr_dispatch_set_config(rig->dispatch, sr_clock_now(rig->clock),
			       rig->config);
	sr_caller_server_set_config(rig->server, rig->config);
	g_assert(!sr_caller_server_listen(rig->server, "127.0.0.1:0", &detail));
	return rig;
}

static inline void rig_free(rig_t *rig)
{
	sr_http_client_free(rig->client);
	sr_caller_server_free(rig->server);
	sr_http_client_free(rig->upstream);
	sr_dispatch_free(rig->dispatch);
	sr_config_unref(rig->config);
	sr_trace_free(rig->trace);
	sr_metrics_free(rig->metrics);
	sr_clock_free(rig->clock);
	for (int i = 0; i < RIG_N_UPSTREAMS; i++) {
		rig_upstream_t *upstream = &rig->upstreams[i];

		g_ptr_array_unref(upstream->held);
		soup_server_disconnect(upstream->server);
		g_object_unref(upstream->server);
		g_free(upstream->cancelled);
		g_free(upstream->last_id);
		g_free(upstream->last_offset);
		g_free(upstream->last_priority);
	}
	/* Run the pending callbacks of closed connections. */
	for (int i = 0; i < 100; i++)
		g_main_context_iteration(NULL, FALSE);
	g_free(rig);
}

/** rig_set_mode - set the mode and `at` of an upstream. */
static inline void rig_set_mode(rig_t *rig, int index, rig_mode_t mode,
				unsigned at)
{
	rig->upstreams[index].mode = mode;
	rig->upstreams[index].at = at;
}

static inline gboolean rig_on_timeout(gpointer data)
{
	*(gboolean *)data = TRUE;
	return G_SOURCE_REMOVE;
}

/** RIG_WAIT - run the loop until condition; fails after RIG_WAIT_S. */
#define RIG_WAIT(condition)                                       \
	do {                                                      \
		gboolean timed_out_ = FALSE;                      \
		guint source_ = g_timeout_add_seconds(            \
			RIG_WAIT_S, rig_on_timeout, &timed_out_); \
		while (!(condition) && !timed_out_)               \
			g_main_context_iteration(NULL, TRUE);     \
		assert_false(timed_out_);                         \
		g_source_remove(source_);                         \
	} while (0)

/** rig_settle - run the loop for 50 ms, e.g. to see that nothing happens. */
static inline void rig_settle(void)
{
	gboolean over = FALSE;

	g_timeout_add(50, rig_on_timeout, &over);
	while (!over)
		g_main_context_iteration(NULL, TRUE);
}

static inline void rig_on_headers(void *user, unsigned status,
				  const sr_headers_t *headers)
{
	rig_answer_t *answer = user;

	answer->status = status;
	answer->retry_after = g_strdup(sr_headers_get(headers, "Retry-After"));
}

static inline void rig_on_data(void *user, const guint8 *data, gsize size)
{
	rig_answer_t *answer = user;

	g_string_append_len(answer->body, (const char *)data, (gssize)size);
	if (answer->pause_after && answer->body->len >= answer->pause_after)
		sr_fetch_pause(answer->fetch);
}

static inline void rig_on_end(void *user, sr_fetch_end_t end,
			      const char *detail)
{
	rig_answer_t *answer = user;

	answer->ended = TRUE;
	answer->end = end;
	answer->fetch = NULL;
}

/** rig_request_t - a request for rig_send(). */
typedef struct {
	const char *method; /* "POST" if NULL */
	const char *path;
	const char *token; /* "t" if NULL */
	const char *body;  /* "" if NULL */
	gsize size;	   /* of the body; 0 for its strlen() */
	const char *name;  /* of an extra header field, or NULL */
	const char *value;
	gsize pause_after; /* see rig_answer_t */
} rig_request_t;

/** rig_send - send a request; free the result with rig_answer_free(). */
static inline rig_answer_t *rig_send(rig_t *rig, const rig_request_t *request)
{
	rig_answer_t *answer = g_new0(rig_answer_t, 1);
	char *address = g_strdup_printf("127.0.0.1:%u",
					sr_caller_server_port(rig->server));
	char *token = g_strconcat("Bearer ",
				  request->token ? request->token : "t", NULL);
	const char *text = request->body ? request->body : "";
	GBytes *body =
		g_bytes_new(text, request->size ? request->size : strlen(text));
	const sr_header_t headers[] = {
		{ "Authorization", token },
		{ request->name ? request->name : "X-None", request->value },
	};
	const sr_fetch_options_t options = {
		.address = address,
		.method = request->method ? request->method : "POST",
		.path = request->path,
		.headers = headers,
		.n_headers = G_N_ELEMENTS(headers),
		.content_type = "application/json",
		.body = g_bytes_get_size(body) ? body : NULL,
		.idempotent = TRUE,
		.on_headers = rig_on_headers,
		.on_data = rig_on_data,
		.on_end = rig_on_end,
		.user = answer,
	};

	answer->body = g_string_new(NULL);
	answer->pause_after = request->pause_after;
	answer->fetch = sr_http_send(rig->client, &options);
	g_free(address);
	g_free(token);
	g_bytes_unref(body);
	return answer;
}

static inline void rig_answer_free(rig_answer_t *answer)
{
	sr_fetch_cancel(answer->fetch);
	g_string_free(answer->body, TRUE);
	g_free(answer->retry_after);
	g_free(answer);
}

/** rig_expected - the whole stream for a request body; caller frees. */
static inline char *rig_expected(const char *body)
{
	GBytes *bytes = g_bytes_new_static(body, strlen(body));
	GString *text = g_string_new(NULL);

	for (unsigned i = 0; i < RIG_N_TOKENS; i++)
		g_string_append_printf(text,
				       "data: {\"offset\": %u, \"token\": "
				       "\"%u.%u\"}\n\n",
				       i, g_bytes_hash(bytes), i);
	g_string_append_printf(text, "event: done\ndata: {\"tokens\": %u}\n\n",
			       RIG_N_TOKENS);
	g_bytes_unref(bytes);
	return g_string_free(text, FALSE);
}

#endif
