#include <string.h>

#include "gateway/internal.h"

/** Maximum size of a request's head and of its body, in bytes. */
#define MAX_REQUEST_BYTES (8 * 1024)

/** Path of explanations at the metrics address. */
#define EXPLAIN_PATH "/explain"

/** monitor_t - one connection to the readiness or metrics address */
typedef struct {
	sr_gateway_t *gateway;
	sr_channel_t *channel;
	sr_parser_t *parser;
	gboolean serves_metrics;
	gboolean closing;
} monitor_t;

static void free_monitor(monitor_t *monitor)
{
	sr_channel_free(monitor->channel);
	sr_parser_free(monitor->parser);
	g_free(monitor);
}

static void respond(monitor_t *monitor, const char *status, const char *body)
{
	const sr_message_t *request = sr_parser_message(monitor->parser);
	GString *response = g_string_new(NULL);

	g_string_append_printf(response,
			       "HTTP/1.1 %s\r\nContent-Type: text/plain\r\n"
			       "Content-Length: %zu\r\n%s\r\n",
			       status, strlen(body),
			       request->keeps_alive ? "" :
						      "Connection: close\r\n");
	if (g_strcmp0(request->method, "HEAD"))
		g_string_append(response, body);
	sr_channel_write(monitor->channel, response->str, response->len);
	g_string_free(response, TRUE);
	if (!request->keeps_alive) {
		monitor->closing = TRUE;
		sr_channel_shutdown(monitor->channel);
	}
}

static void respond_metrics(monitor_t *monitor)
{
	GString *text = g_string_new(NULL);

	sr_metrics_write(monitor->gateway->options.metrics, text);
	respond(monitor, "200 OK", text->str);
	g_string_free(text, TRUE);
}

static gboolean asks_to_explain(const char *target)
{
	return g_str_has_prefix(target, EXPLAIN_PATH) &&
	       (target[strlen(EXPLAIN_PATH)] == '?' ||
		target[strlen(EXPLAIN_PATH)] == '\0');
}

static void respond_explanation(monitor_t *monitor)
{
	GString *text = g_string_new(NULL);
	gboolean is_explained = sr_gateway_explain(
		monitor->gateway, sr_parser_message(monitor->parser), text);

	respond(monitor, is_explained ? "200 OK" : "404 Not Found", text->str);
	g_string_free(text, TRUE);
}

static void handle_request(monitor_t *monitor)
{
	const sr_dialect_t *dialect = monitor->gateway->options.dialect;
	const char *target = sr_parser_message(monitor->parser)->target;

	if (monitor->serves_metrics && !strcmp(target, dialect->metrics_path))
		respond_metrics(monitor);
	else if (monitor->serves_metrics && asks_to_explain(target))
		respond_explanation(monitor);
	else if (monitor->serves_metrics || strcmp(target, dialect->ready_path))
		respond(monitor, "404 Not Found", "no such page\n");
	else if (sr_gateway_is_ready(monitor->gateway))
		respond(monitor, "200 OK", "ready\n");
	else
		respond(monitor, "503 Service Unavailable", "not ready\n");
	sr_parser_reset(monitor->parser);
}

static void on_received(void *user, const guint8 *data, gsize size)
{
	monitor_t *monitor = user;

	while (size > 0 && !monitor->closing) {
		gsize used = 0;

		if (sr_parser_feed(monitor->parser, data, size, &used)) {
			free_monitor(monitor);
			return;
		}
		data += used;
		size -= used;
		if (sr_parser_message(monitor->parser)->is_complete)
			handle_request(monitor);
	}
}

static void on_ended(void *user, sr_channel_end_reason_t how)
{
	(void)how;
	free_monitor(user);
}

static const sr_channel_events_t monitor_events = {
	.received = on_received,
	.ended = on_ended,
};

static void accept_monitor(sr_gateway_t *gateway, int fd, gboolean metrics)
{
	const sr_parser_options_t options = {
		.kind = SR_MESSAGE_REQUEST,
		.max_header_size = MAX_REQUEST_BYTES,
		.max_body_size = MAX_REQUEST_BYTES,
	};
	monitor_t *monitor = g_new0(monitor_t, 1);

	monitor->gateway = gateway;
	monitor->serves_metrics = metrics;
	monitor->parser = sr_parser_new(&options);
	monitor->channel = sr_channel_new_from_fd(fd, &monitor_events, monitor);
}

void sr_monitor_accept_ready(sr_gateway_t *gateway, int fd)
{
	accept_monitor(gateway, fd, FALSE);
}

void sr_monitor_accept_metrics(sr_gateway_t *gateway, int fd)
{
	accept_monitor(gateway, fd, TRUE);
}
