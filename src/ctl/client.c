#include "ctl/client.h"

#include <libsoup/soup.h>
#include <string.h>

#include "base/fields.h"

/** Maximum size of a parsed response, in bytes, and its nesting depth. */
#define RESPONSE_MAX_SIZE (16 * 1024 * 1024)
#define RESPONSE_MAX_DEPTH 32

struct sr_admin_client {
	SoupSession *session;
	char *server;	     /* URL */
	char *authorization; /* value of the header field */
};

static const char *member_text(json_object *object, const char *key)
{
	json_object *value = NULL;

	json_object_object_get_ex(object, key, &value);
	return value ? json_object_get_string(value) : "";
}

static void print_findings(json_object *problem)
{
	json_object *rows = NULL;

	if (!json_object_object_get_ex(problem, "findings", &rows))
		return;
	for (size_t i = 0; i < json_object_array_length(rows); i++) {
		json_object *row = json_object_array_get_idx(rows, i);

		g_printerr("  %s %s: %s\n", member_text(row, "where"),
			   member_text(row, "what"),
			   member_text(row, "remedy"));
	}
}

static void print_problem(guint status, const char *text, gsize size)
{
	GPtrArray *ignored = sr_findings_new();
	json_object *problem = sr_json_read(text, size, RESPONSE_MAX_SIZE,
					    RESPONSE_MAX_DEPTH, ignored);

	if (problem) {
		g_printerr("sassafrasctl: %s: %s %s\n",
			   member_text(problem, "kind"),
			   member_text(problem, "title"),
			   member_text(problem, "detail"));
		print_findings(problem);
		g_printerr("remedy: %s\n", member_text(problem, "remedy"));
	} else {
		g_printerr(
			"sassafrasctl: the server responded with HTTP status "
			"%u\nremedy: check that --server names an admin "
			"address\n",
			status);
	}
	json_object_put(problem);
	g_ptr_array_unref(ignored);
}

static sr_exit_t exit_code(guint status)
{
	switch (status) {
	case SOUP_STATUS_BAD_REQUEST:
	case SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE:
		return SR_EXIT_INVALID;
	case SOUP_STATUS_CONFLICT:
		return SR_EXIT_CONFLICT;
	case SOUP_STATUS_BAD_GATEWAY: /* SR_ERR_OUTCOME_UNKNOWN */
		return SR_EXIT_UNKNOWN;
	default:
		return SR_EXIT_REFUSED;
	}
}

sr_admin_client_t *sr_admin_client_new(const sr_admin_client_options_t *options)
{
	sr_admin_client_t *client = g_new0(sr_admin_client_t, 1);

	client->session = soup_session_new_with_options(
		"timeout", options->timeout_s, NULL);
	client->server = g_strdup(options->server);
	client->authorization = g_strdup_printf(
		"Bearer %s", options->token ? options->token : "");
	return client;
}

void sr_admin_client_free(sr_admin_client_t *client)
{
	if (!client)
		return;
	g_object_unref(client->session);
	g_free(client->server);
	g_free(client->authorization);
	g_free(client);
}

sr_exit_t sr_admin_client_call(sr_admin_client_t *client, const char *method,
			       const char *path, GBytes *body, char **response)
{
	char *uri = g_strconcat(client->server, path, NULL);
	SoupMessage *message = soup_message_new(method, uri);
	GError *error = NULL;
	sr_exit_t result = SR_EXIT_OK;
	GBytes *bytes;
	gsize size;
	const char *text;

	if (!message) {
		g_printerr("sassafrasctl: \"%s\" is not a URL: give "
			   "http://IP:PORT of a daemon's admin address\n",
			   client->server);
		g_free(uri);
		return SR_EXIT_USAGE;
	}
	soup_message_headers_replace(soup_message_get_request_headers(message),
				     "Authorization", client->authorization);
	if (body)
		soup_message_set_request_body_from_bytes(
			message, "application/json", body);
	bytes = soup_session_send_and_read(client->session, message, NULL,
					   &error);
	if (!bytes) {
		g_printerr("sassafrasctl: %s: %s\nremedy: check --server and "
			   "that the daemon runs; a change may have been "
			   "accepted, see \"sassafrasctl status\"\n",
			   uri, error->message);
		g_clear_error(&error);
		result = SR_EXIT_UNREACHABLE;
	} else {
		guint status = soup_message_get_status(message);

		text = g_bytes_get_data(bytes, &size);
		if (SOUP_STATUS_IS_SUCCESSFUL(status)) {
			*response = g_strndup(text ? text : "", size);
		} else {
			print_problem(status, text, size);
			result = exit_code(status);
		}
		g_bytes_unref(bytes);
	}
	g_object_unref(message);
	g_free(uri);
	return result;
}
