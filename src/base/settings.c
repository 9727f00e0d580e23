#include "base/settings.h"

#include <string.h>

#define KIB 1024LL
#define MIB (1024 * KIB)
#define ADDRESS_REMEDY "give IP:PORT, e.g. \"10.0.0.1:8080\""

/* In the order of sr_log_level_t. */
static const char *const level_names[] = { "debug", "info", "warn", "error" };

GSocketAddress *sr_address_parse(const char *text)
{
	const char *colon = strrchr(text, ':');
	GSocketAddress *address;
	guint64 port = 0;
	char *host;

	if (!colon || !g_ascii_string_to_unsigned(colon + 1, 10, 0, G_MAXUINT16,
						  &port, NULL))
		return NULL;
	if (text[0] == '[' && colon > text && colon[-1] == ']')
		host = g_strndup(text + 1, (gsize)(colon - text) - 2);
	else
		host = g_strndup(text, (gsize)(colon - text));
	address = g_inet_socket_address_new_from_string(host, (guint)port);
	g_free(host);
	return address;
}

static void check_address(sr_fields_t *fields, const char *key,
			  const char *value)
{
	GSocketAddress *address = sr_address_parse(value);
	char *where;

	if (address) {
		g_object_unref(address);
		return;
	}
	where = sr_fields_path(fields, key);
	sr_findings_add(fields->findings, where, ADDRESS_REMEDY,
			"is \"%s\", not an address", value);
	g_free(where);
}

static char *read_address(sr_fields_t *fields, const char *key,
			  const char *fallback)
{
	char *value = sr_fields_string(fields, key, fallback);

	if (*value)
		check_address(fields, key, value);
	return value;
}

static GPtrArray *read_peer_seeds(sr_fields_t *fields)
{
	GPtrArray *seeds = sr_fields_strings(fields, "peer_seeds");

	for (guint i = 0; i < seeds->len; i++)
		check_address(fields, "peer_seeds", seeds->pdata[i]);
	return seeds;
}

static sr_usec_t read_ms(sr_fields_t *fields, const char *key, gint64 max,
			 gint64 fallback)
{
	return sr_fields_integer(fields, key, 0, max, fallback) * SR_MSEC;
}

static void read_limits(sr_settings_t *settings, json_object *value,
			GPtrArray *findings)
{
	sr_fields_t fields;
	json_object *empty = json_object_new_object();

	sr_fields_open(&fields, value ? value : empty, "limits", findings);
	settings->request_bytes = (gsize)sr_fields_integer(
		&fields, "request_bytes", KIB, 64 * MIB, MIB);
	settings->buffered_bytes = (gsize)sr_fields_integer(
		&fields, "buffered_bytes", MIB, 4096 * MIB, 128 * MIB);
	settings->max_requests = (unsigned)sr_fields_integer(
		&fields, "requests", 1, 100000, 10000);
	settings->max_connections = (unsigned)sr_fields_integer(
		&fields, "connections", 1, 100000, 20000);
	settings->header_timeout =
		read_ms(&fields, "header_timeout_ms", 3600000, 60000);
	settings->body_timeout =
		read_ms(&fields, "body_timeout_ms", 3600000, 30000);
	sr_fields_close(&fields);
	json_object_put(empty);
}

static void read_members(sr_settings_t *settings, sr_fields_t *fields)
{
	settings->node = sr_fields_string(fields, "node", NULL);
	settings->failure_domain =
		sr_fields_string(fields, "failure_domain", NULL);
	settings->cluster_id = sr_fields_string(fields, "cluster_id", "");
	settings->cluster_secret_file =
		sr_fields_string(fields, "cluster_secret_file", "");
	settings->caller_address = read_address(fields, "caller_address", NULL);
	settings->admin_address = read_address(fields, "admin_address", NULL);
	settings->peer_address = read_address(fields, "peer_address", "");
	settings->peer_seeds = read_peer_seeds(fields);
	settings->platform_address =
		read_address(fields, "platform_address", "");
	settings->config_file = sr_fields_string(fields, "config_file", "");
	settings->bootstrap_token_sha256 =
		sr_fields_string(fields, "bootstrap_token_sha256", "");
	settings->log_level = (sr_log_level_t)sr_fields_choice(
		fields, "log_level", level_names, G_N_ELEMENTS(level_names),
		SR_LOG_INFO);
	settings->trace_file = sr_fields_string(fields, "trace_file", "");
	settings->trace_sample =
		sr_fields_number(fields, "trace_sample", 0, 1, 0.01);
	settings->drain_grace = read_ms(fields, "drain_grace_ms", 600000, 5000);
	settings->drain_limit =
		read_ms(fields, "drain_limit_ms", 3600000, 30000);
	read_limits(settings, sr_fields_object(fields, "limits"),
		    fields->findings);
}

/* Checks rules that involve several members. */
static void check_consistency(const sr_settings_t *settings,
			      GPtrArray *findings)
{
	if (settings->drain_limit < settings->drain_grace)
		sr_findings_add(findings, "drain_limit_ms",
				"give at least drain_grace_ms",
				"is shorter than drain_grace_ms");
	if (!*settings->platform_address && !*settings->config_file)
		sr_findings_add(findings, "platform_address",
				"give platform_address or config_file",
				"is missing, and so is config_file");
	if (*settings->platform_address && !*settings->peer_address)
		sr_findings_add(findings, "peer_address",
				"give the address for other entry hosts",
				"is missing, but platform_address is set");
	if (*settings->peer_address && !*settings->cluster_secret_file)
		sr_findings_add(findings, "cluster_secret_file",
				"name the file with the cluster secret",
				"is missing, but peer_address is set");
}

sr_settings_t *sr_settings_parse(const char *text, gsize size,
				 GPtrArray *findings)
{
	guint before = findings->len;
	json_object *value = sr_json_read(text, size, SR_SETTINGS_MAX_BYTES,
					  SR_SETTINGS_MAX_DEPTH, findings);
	sr_settings_t *settings;
	sr_fields_t fields;

	if (!value)
		return NULL;
	settings = g_new0(sr_settings_t, 1);
	sr_fields_open(&fields, value, "", findings);
	read_members(settings, &fields);
	sr_fields_close(&fields);
	json_object_put(value);
	if (findings->len == before)
		check_consistency(settings, findings);
	if (findings->len == before)
		return settings;
	sr_settings_free(settings);
	return NULL;
}

sr_settings_t *sr_settings_load(const char *path, GPtrArray *findings)
{
	sr_settings_t *settings;
	GError *error = NULL;
	char *text = NULL;
	gsize size = 0;

	if (!g_file_get_contents(path, &text, &size, &error)) {
		sr_findings_add(findings, path, "name a file that can be read",
				"%s", error->message);
		g_error_free(error);
		return NULL;
	}
	settings = sr_settings_parse(text, size, findings);
	g_free(text);
	return settings;
}

void sr_settings_free(sr_settings_t *settings)
{
	if (!settings)
		return;
	g_free(settings->node);
	g_free(settings->failure_domain);
	g_free(settings->cluster_id);
	g_free(settings->cluster_secret_file);
	g_free(settings->caller_address);
	g_free(settings->admin_address);
	g_free(settings->peer_address);
	g_ptr_array_unref(settings->peer_seeds);
	g_free(settings->platform_address);
	g_free(settings->config_file);
	g_free(settings->bootstrap_token_sha256);
	g_free(settings->trace_file);
	g_free(settings);
}
