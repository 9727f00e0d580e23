#include "daemon/probes.h"

#include <string.h>

#include "base/settings.h"

#define TEXT_TYPE "text/plain; charset=utf-8"
#define METRICS_TYPE "text/plain; version=0.0.4; charset=utf-8"

struct sr_probes {
	SoupServer *server;
	sr_metrics_t *metrics;
	gboolean ready;
	char *reason; /* body of /readyz */
};

static void respond(SoupServerMessage *message, unsigned status,
		    const char *type, const char *text)
{
	const char *method = soup_server_message_get_method(message);

	if (strcmp(method, "GET") && strcmp(method, "HEAD")) {
		soup_server_message_set_status(message, 405, NULL);
		return;
	}
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, type, SOUP_MEMORY_COPY, text,
					 strlen(text));
}

static void on_metrics(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer data)
{
	sr_probes_t *probes = data;
	GString *text = g_string_new(NULL);

	sr_metrics_write(probes->metrics, text);
	respond(message, 200, METRICS_TYPE, text->str);
	g_string_free(text, TRUE);
}

static void on_healthz(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer data)
{
	respond(message, 200, TEXT_TYPE, "ok\n");
}

static void on_readyz(SoupServer *server, SoupServerMessage *message,
		      const char *path, GHashTable *query, gpointer data)
{
	sr_probes_t *probes = data;
	char *text = g_strdup_printf("%s\n", probes->reason);

	respond(message, probes->ready ? 200 : 503, TEXT_TYPE, text);
	g_free(text);
}

sr_probes_t *sr_probes_new(sr_metrics_t *metrics)
{
	sr_probes_t *probes = g_new0(sr_probes_t, 1);

	probes->metrics = metrics;
	probes->reason = g_strdup("starting");
	probes->server = soup_server_new("raw-paths", TRUE, NULL);
	soup_server_add_handler(probes->server, "/metrics", on_metrics, probes,
				NULL);
	soup_server_add_handler(probes->server, "/healthz", on_healthz, probes,
				NULL);
	soup_server_add_handler(probes->server, "/readyz", on_readyz, probes,
				NULL);
	return probes;
}

void sr_probes_free(sr_probes_t *probes)
{
	if (!probes)
		return;
	soup_server_disconnect(probes->server);
	g_object_unref(probes->server);
	g_free(probes->reason);
	g_free(probes);
}

sr_err_t sr_probes_listen(sr_probes_t *probes, const char *address,
			  char **detail)
{
	GSocketAddress *parsed = sr_address_parse(address);
	GError *error = NULL;

	if (!parsed) {
		*detail = g_strdup_printf(
			"\"%s\" is not an address: give IP:PORT", address);
		return SR_ERR_INVALID;
	}
	soup_server_listen(probes->server, parsed, 0, &error);
	g_object_unref(parsed);
	if (!error)
		return SR_OK;
	*detail = g_strdup(error->message);
	g_error_free(error);
	return SR_ERR_IO;
}

void sr_probes_set_ready(sr_probes_t *probes, gboolean ready,
			 const char *reason)
{
	probes->ready = ready;
	g_free(probes->reason);
	probes->reason = g_strdup(reason);
}

SoupServer *sr_probes_server(sr_probes_t *probes)
{
	return probes->server;
}

guint16 sr_probes_port(sr_probes_t *probes)
{
	GSList *uris = soup_server_get_uris(probes->server);
	guint16 port = uris ? (guint16)g_uri_get_port(uris->data) : 0;

	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	return port;
}
