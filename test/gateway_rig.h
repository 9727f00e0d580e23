#ifndef SR_TEST_GATEWAY_RIG_H
#define SR_TEST_GATEWAY_RIG_H

/**
 * gateway_rig - a gateway between raw callers and fake instances for tests
 *
 * All run on loopback and in one main loop. The dialect differs from that of
 * every deployment, so that a header name that is hard-coded in the gateway
 * makes a test fail.
 */

#include <arpa/inet.h>
#include <glib-unix.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "gateway/gateway.h"
#include "http/channel.h"
#include "http/parser.h"

#ifndef RIG_INSTANCES
#define RIG_INSTANCES 2
#endif

/** Largest body of a request, in bytes. */
#ifndef RIG_MAX_BODY
#define RIG_MAX_BODY 4096
#endif

/** Limit on the bytes of all responses; 0 for the default. */
#ifndef RIG_RESPONSE_BYTES
#define RIG_RESPONSE_BYTES 0
#endif

typedef struct rig rig_t;

/** Choices of ports for a gateway, until it can listen on all of them. */
#define RIG_START_ATTEMPTS 10

/** fake_instance_t - an upstream instance that records its requests. */
typedef struct {
	rig_t *rig;
	char name[8];
	char address[32];
	int listener;
	guint accept_source;
	unsigned n_requests;
	unsigned n_closed;	/* connections closed by the gateway */
	GString *request_heads; /* a line per request line and header */
	GString *request_bodies;
	GPtrArray *connections;
} fake_instance_t;

/** fake_connection_t - a connection from the gateway to a fake instance. */
typedef struct {
	fake_instance_t *instance;
	sr_channel_t *channel;
	sr_parser_t *parser;
} fake_connection_t;

/** caller_t - a connection of a caller to the gateway. */
typedef struct {
	sr_channel_t *channel;
	GString *received;
	gboolean is_ended;
	sr_channel_end_reason_t end_reason;
} caller_t;

struct rig {
	sr_clock_t *clock;
	sr_metrics_t *metrics;
	sr_gateway_t *gateway;
	char caller_address[32];
	char ready_address[32];
	char relay_address[32];
	fake_instance_t instances[RIG_INSTANCES];
	guint64 next_revision;
	gboolean stopped;
	unsigned n_executed;
	unsigned n_observed_failures;
	/* Handles a complete request at a fake instance. */
	void (*serve)(fake_connection_t *connection,
		      const sr_message_t *request);
};

/* Writes the address of an unused loopback port. */
static void rig_unused_address(char address[32])
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	socklen_t size = sizeof(in);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert(fd >= 0 && !bind(fd, (struct sockaddr *)&in, sizeof(in)));
	getsockname(fd, (struct sockaddr *)&in, &size);
	g_snprintf(address, 32, "127.0.0.1:%u", ntohs(in.sin_port));
	close(fd);
}

/* "X-Tokens: N" is a prompt of one part with N tokens. */
static void rig_parse_prompt(const sr_headers_t *headers,
			     sr_prompt_parts_t *prompt)
{
	const char *tokens = sr_headers_get(headers, "X-Tokens");

	if (!tokens)
		return;
	prompt->blocks = g_new0(guint64, 1);
	prompt->parts = g_new0(guint64, 1);
	prompt->tokens = g_new0(guint32, 1);
	prompt->tokens[0] = (guint32)atoi(tokens);
	prompt->n_blocks = 1;
	prompt->prompt_tokens = prompt->tokens[0];
	prompt->is_declared = TRUE;
}

static const char *const rig_reserved[] = { "X-Hold", NULL };
static const char *const rig_always_forwarded[] = { "X-Request", "X-Model",
						    NULL };

static const sr_dialect_t rig_dialect = {
	.request_id = "X-Request",
	.deadline_ms = "X-Left-Ms",
	.last_event_id = "Last-Event-ID",
	.account = "X-Account",
	.expect_instance = "X-Expect",
	.signature = "X-Signature",
	.not_run = "X-Not-Run",
	.reserved = rig_reserved,
	.always_forwarded = rig_always_forwarded,
	.ready_path = "/ready",
	.metrics_path = "/metrics",
	.parse_prompt = rig_parse_prompt,
};

static void rig_send(fake_connection_t *connection, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static void rig_send(fake_connection_t *connection, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	sr_channel_write(connection->channel, text, strlen(text));
	g_free(text);
}

/** rig_respond - send a valid response; each of the fields ends with CRLF. */
static inline void rig_respond(fake_connection_t *connection,
			       const sr_message_t *request, unsigned status,
			       const char *fields, const char *body)
{
	rig_send(connection,
		 "HTTP/1.1 %u Status\r\nX-Request: %s\r\nX-Signature: %s\r\n"
		 "%sContent-Length: %zu\r\n\r\n%s",
		 status, sr_headers_get(request->headers, "X-Request"),
		 connection->instance->name, fields, strlen(body), body);
}

static void rig_connection_received(void *user, const guint8 *data, gsize size)
{
	fake_connection_t *connection = user;
	fake_instance_t *instance = connection->instance;

	while (size > 0) {
		const sr_message_t *request =
			sr_parser_message(connection->parser);
		gsize used = 0;

		g_assert(
			!sr_parser_feed(connection->parser, data, size, &used));
		data += used;
		size -= used;
		if (!request->is_complete)
			continue;
		instance->n_requests++;
		g_string_append_printf(instance->request_heads, "%s %s\n",
				       request->method, request->target);
		for (unsigned i = 0; i < sr_headers_size(request->headers);
		     i++) {
			sr_header_t field = sr_headers_at(request->headers, i);

			g_string_append_printf(instance->request_heads,
					       "%s: %s\n", field.name,
					       field.value);
		}
		g_string_append_len(instance->request_bodies,
				    (const char *)request->body->data,
				    request->body->len);
		instance->rig->serve(connection, request);
		sr_parser_reset(connection->parser);
	}
}

static void rig_connection_ended(void *user, sr_channel_end_reason_t end_reason)
{
	fake_connection_t *connection = user;

	(void)end_reason;
	connection->instance->n_closed++;
	g_ptr_array_remove(connection->instance->connections, connection);
}

static const sr_channel_events_t rig_connection_events = {
	.received = rig_connection_received,
	.ended = rig_connection_ended,
};

static void rig_free_connection(gpointer data)
{
	fake_connection_t *connection = data;

	sr_channel_free(connection->channel);
	sr_parser_free(connection->parser);
	g_free(connection);
}

static gboolean rig_on_accept(gint fd, GIOCondition ready, gpointer user)
{
	const sr_parser_options_t options = {
		.kind = SR_MESSAGE_REQUEST,
		.max_header_size = 65536,
		.max_body_size = 1 << 20,
	};
	fake_instance_t *instance = user;
	fake_connection_t *connection = g_new0(fake_connection_t, 1);

	(void)ready;
	connection->instance = instance;
	connection->parser = sr_parser_new(&options);
	connection->channel = sr_channel_new_from_fd(
		sr_accept(fd), &rig_connection_events, connection);
	g_ptr_array_add(instance->connections, connection);
	return G_SOURCE_CONTINUE;
}

/** rig_register - register a fake instance, or update its registration. */
static void rig_register(rig_t *rig, unsigned i, gboolean draining)
{
	const fake_instance_t *instance = &rig->instances[i];
	const sr_registration_t entry = {
		.name = instance->name,
		.service = "s",
		.address = instance->address,
		.failure_domain = "d",
		.version = "v",
		.slots = 8,
		.draining = draining,
		.start_unix_ms = 1,
		.revision = ++rig->next_revision,
	};

	sr_instances_register(sr_gateway_instances(rig->gateway), &entry,
			      sr_clock_now(rig->clock));
}

static void rig_add_route(sr_route_table_t *table, const char *prefix,
			  sr_route_kind_t kind, gboolean resumable)
{
	sr_gateway_route_t *route = sr_route_table_add_route(table);

	route->name = g_strdup(prefix);
	route->authority = g_strdup("h.example");
	route->prefix = g_strdup(prefix);
	route->kind = kind;
	route->resumable = resumable;
	route->max_attempts = 2;
	route->timeout = 2 * SR_SEC;
	sr_gateway_route_add_service(route, "s", 1);
}

static void rig_set_table(rig_t *rig, guint64 version)
{
	sr_route_table_t *table = sr_route_table_new(version);
	sr_gateway_account_t *account = sr_route_table_add_account(table);
	sr_gateway_service_t *service = sr_route_table_add_service(table);

	service->name = g_strdup("s");
	account->name = g_strdup("acme");
	g_ptr_array_add(account->keys, g_strdup("secret"));
	table->requires_keys = TRUE;
	table->limits.max_header_bytes = 4096;
	table->limits.max_body_bytes = RIG_MAX_BODY;
	table->limits.header_timeout = 500 * SR_MSEC;
	rig_add_route(table, "/safe/", SR_ROUTE_IDEMPOTENT, FALSE);
	rig_add_route(table, "/once/", SR_ROUTE_NON_IDEMPOTENT, FALSE);
	rig_add_route(table, "/stream/", SR_ROUTE_STREAM, FALSE);
	rig_add_route(table, "/resume/", SR_ROUTE_STREAM, TRUE);
	sr_route_table_seal(table);
	sr_gateway_set_table(rig->gateway, table);
	sr_route_table_unref(table);
}

static void rig_on_stopped(void *user)
{
	((rig_t *)user)->stopped = TRUE;
}

static void rig_on_request_executed(void *user, const char *account)
{
	(void)account;
	((rig_t *)user)->n_executed++;
}

static void rig_on_attempt_observed(void *user,
				    const sr_observation_t *observation)
{
	((rig_t *)user)->n_observed_failures +=
		observation->outcome != SR_OUTCOME_ANSWERED;
}

/** rig_open_instance - take connections; FALSE if the port is in use. */
static gboolean rig_open_instance(fake_instance_t *instance)
{
	instance->listener = sr_listen(instance->address);
	if (instance->listener < 0)
		return FALSE;
	instance->accept_source = g_unix_fd_add(instance->listener, G_IO_IN,
						rig_on_accept, instance);
	return TRUE;
}

/** rig_refuse_connections - at the instance; old ones live on. */
static void rig_refuse_connections(fake_instance_t *instance)
{
	if (instance->listener < 0)
		return;
	g_source_remove(instance->accept_source);
	close(instance->listener);
	instance->listener = -1;
}

/** rig_close_instance - refuse new connections, and close the old ones. */
static void rig_close_instance(fake_instance_t *instance)
{
	rig_refuse_connections(instance);
	g_ptr_array_set_size(instance->connections, 0);
}

static rig_t *rig_new(void (*serve)(fake_connection_t *connection,
				    const sr_message_t *request))
{
	rig_t *rig = g_new0(rig_t, 1);
	char *detail = NULL;
	sr_gateway_options_t options = {
		.node = "n",
		.failure_domain = "d",
		.accept_grace = 300 * SR_MSEC,
		.stop_timeout = 2 * SR_SEC,
		.response_bytes = RIG_RESPONSE_BYTES,
		.dialect = &rig_dialect,
		.seed = 1,
		.request_executed = rig_on_request_executed,
		.attempt_observed = rig_on_attempt_observed,
		.stopped = rig_on_stopped,
		.user = rig,
	};

	rig->serve = serve;
	rig->clock = sr_clock_new_real();
	rig->metrics = sr_metrics_new();
	options.caller_address = rig->caller_address;
	options.ready_address = rig->ready_address;
	options.relay_address = rig->relay_address;
	options.clock = rig->clock;
	options.metrics = rig->metrics;
	/* another process may take a port between its choice and its use */
	for (unsigned i = 0; i < RIG_START_ATTEMPTS; i++) {
		rig_unused_address(rig->caller_address);
		rig_unused_address(rig->ready_address);
		rig_unused_address(rig->relay_address);
		rig->gateway = sr_gateway_new(&options);
		if (!sr_gateway_start(rig->gateway, &detail))
			break;
		sr_gateway_free(rig->gateway);
		rig->gateway = NULL;
		g_clear_pointer(&detail, g_free);
	}
	g_assert(rig->gateway);
	for (unsigned i = 0; i < RIG_INSTANCES; i++) {
		fake_instance_t *instance = &rig->instances[i];

		instance->rig = rig;
		g_snprintf(instance->name, sizeof(instance->name), "i%u", i);
		do
			rig_unused_address(instance->address);
		while (!rig_open_instance(instance));
		instance->request_heads = g_string_new(NULL);
		instance->request_bodies = g_string_new(NULL);
		instance->connections =
			g_ptr_array_new_with_free_func(rig_free_connection);
		rig_register(rig, i, FALSE);
	}
	rig_set_table(rig, 1);
	sr_gateway_set_ready(rig->gateway, TRUE);
	return rig;
}

static void rig_free(rig_t *rig)
{
	sr_gateway_free(rig->gateway);
	for (unsigned i = 0; i < RIG_INSTANCES; i++) {
		fake_instance_t *instance = &rig->instances[i];

		rig_close_instance(instance);
		g_ptr_array_unref(instance->connections);
		g_string_free(instance->request_heads, TRUE);
		g_string_free(instance->request_bodies, TRUE);
	}
	sr_metrics_free(rig->metrics);
	sr_clock_free(rig->clock);
	g_free(rig);
}

/** rig_request_count - number of requests received by all fake instances. */
static inline unsigned rig_request_count(const rig_t *rig)
{
	unsigned n = 0;

	for (unsigned i = 0; i < RIG_INSTANCES; i++)
		n += rig->instances[i].n_requests;
	return n;
}

static void rig_caller_received(void *user, const guint8 *data, gsize size)
{
	g_string_append_len(((caller_t *)user)->received, (const char *)data,
			    (gssize)size);
}

static void rig_caller_ended(void *user, sr_channel_end_reason_t end_reason)
{
	caller_t *caller = user;

	caller->is_ended = TRUE;
	caller->end_reason = end_reason;
	sr_channel_free(caller->channel);
	caller->channel = NULL;
}

static const sr_channel_events_t rig_caller_events = {
	.received = rig_caller_received,
	.ended = rig_caller_ended,
};

static inline caller_t *caller_new(const char *address)
{
	caller_t *caller = g_new0(caller_t, 1);

	caller->received = g_string_new(NULL);
	caller->channel =
		sr_channel_connect(address, &rig_caller_events, caller);
	return caller;
}

/* Returns a socket without a loop that reads it. */
static inline int rig_connect(const char *address)
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	in.sin_port = htons((guint16)atoi(strchr(address, ':') + 1));
	g_assert(fd >= 0 && !connect(fd, (struct sockaddr *)&in, sizeof(in)));
	return fd;
}

static inline void caller_free(caller_t *caller)
{
	sr_channel_free(caller->channel);
	g_string_free(caller->received, TRUE);
	g_free(caller);
}

static void caller_send(caller_t *caller, const char *text)
{
	sr_channel_write(caller->channel, text, strlen(text));
}

/** caller_request - send a valid request; each of the fields ends with CRLF. */
static inline void caller_request(caller_t *caller, const char *method,
				  const char *path, const char *id,
				  const char *fields, const char *body)
{
	char *text =
		g_strdup_printf("%s %s HTTP/1.1\r\nHost: h.example\r\n"
				"X-Request: %s\r\nX-Left-Ms: 1500\r\n"
				"Authorization: Bearer secret\r\n%s"
				"Content-Length: %zu\r\n\r\n%s",
				method, path, id, fields, strlen(body), body);

	caller_send(caller, text);
	g_free(text);
}

static gboolean rig_on_timeout(gpointer data)
{
	*(gboolean *)data = TRUE;
	return G_SOURCE_REMOVE;
}

/** caller_wait_for - run the main loop until the text was received, the
 * connection has ended or ms have passed; TRUE if the text was received. */
static inline gboolean caller_wait_for(caller_t *caller, const char *text,
				       unsigned ms)
{
	gboolean timed_out = FALSE;
	guint timer = g_timeout_add(ms, rig_on_timeout, &timed_out);

	while (!timed_out && !caller->is_ended &&
	       !(text && strstr(caller->received->str, text)))
		g_main_context_iteration(NULL, TRUE);
	if (!timed_out)
		g_source_remove(timer);
	return text && strstr(caller->received->str, text) != NULL;
}

/** rig_run_for - run the main loop for ms of real time. */
static inline void rig_run_for(unsigned ms)
{
	gboolean timed_out = FALSE;

	g_timeout_add(ms, rig_on_timeout, &timed_out);
	while (!timed_out)
		g_main_context_iteration(NULL, TRUE);
}

#endif
