#include "operator/admin.h"

#include <string.h>

#include "base/list.h"
#include "base/problem.h"
#include "core/config_diff.h"

struct sr_admin {
	SoupServer *server;
	sr_log_t *log;
	char *bootstrap_token_sha256;
	sr_admin_hooks_t hooks;
	sr_list_t pending_changes; /* sr_admin_change_t */
};

struct sr_admin_change {
	sr_list_t link;
	sr_admin_t *admin;
	SoupServerMessage *message;
	json_object *diff;   /* from the configuration in force */
	char *operator_name; /* who made the change */
};

/** Delay before a retry; the Retry-After header states the same time. */
#define RETRY_AFTER SR_SEC

static void respond_json(SoupServerMessage *message, guint status,
			 json_object *value)
{
	const char *text =
		json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN);

	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_COPY, text, strlen(text));
	json_object_put(value);
}

static void respond_problem(SoupServerMessage *message, sr_err_t err,
			    const char *detail)
{
	gboolean outcome_unknown = err == SR_ERR_OUTCOME_UNKNOWN;
	sr_problem_t problem = { .err = err,
				 .detail = detail,
				 .maybe_executed = outcome_unknown };
	char *body;

	if (err == SR_ERR_PLATFORM || outcome_unknown)
		problem.retry_after = RETRY_AFTER;
	if (problem.retry_after)
		soup_message_headers_replace(
			soup_server_message_get_response_headers(message),
			"Retry-After", "1");
	body = sr_problem_json(&problem);
	soup_server_message_set_status(message, sr_err_http_status(err), NULL);
	soup_server_message_set_response(message, SR_PROBLEM_MEDIA_TYPE,
					 SOUP_MEMORY_TAKE, body, strlen(body));
}

static const char *bearer_token(SoupServerMessage *message)
{
	const char *header = soup_message_headers_get_one(
		soup_server_message_get_request_headers(message),
		"Authorization");

	if (!header || g_ascii_strncasecmp(header, "Bearer ", 7) != 0)
		return NULL;
	return header + 7;
}

static gboolean is_bootstrap_token(sr_admin_t *admin, const char *token)
{
	char *hash;
	gboolean same;

	if (!admin->bootstrap_token_sha256)
		return FALSE;
	hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
	same = !strcmp(hash, admin->bootstrap_token_sha256);
	g_free(hash);
	return same;
}

/* Returns the operator's name, borrowed, or NULL if the token is not valid. */
static const char *authenticate(sr_admin_t *admin, SoupServerMessage *message)
{
	const sr_config_t *config = admin->hooks.config(admin->hooks.user);
	const char *token = bearer_token(message);
	const sr_operator_config_t *op;

	if (!token)
		return NULL;
	if (!config || config->operators->len == 0)
		return is_bootstrap_token(admin, token) ? "bootstrap" : NULL;
	op = sr_config_operator_by_token(config, token);
	return op ? op->name : NULL;
}

static void respond_findings(SoupServerMessage *message, GPtrArray *findings)
{
	json_object *problem = json_object_new_object();
	json_object *rows = json_object_new_array();

	for (guint i = 0; i < findings->len; i++) {
		const sr_finding_t *finding = g_ptr_array_index(findings, i);
		json_object *row = json_object_new_object();

		json_object_object_add(row, "where",
				       json_object_new_string(finding->where));
		json_object_object_add(row, "what",
				       json_object_new_string(finding->what));
		json_object_object_add(row, "remedy",
				       json_object_new_string(finding->remedy));
		json_object_array_add(rows, row);
	}
	json_object_object_add(
		problem, "kind",
		json_object_new_string(sr_err_name(SR_ERR_INVALID)));
	json_object_object_add(
		problem, "title",
		json_object_new_string("the configuration is not valid"));
	json_object_object_add(
		problem, "remedy",
		json_object_new_string(sr_err_remedy(SR_ERR_INVALID)));
	json_object_object_add(problem, "executed",
			       json_object_new_string("not-run"));
	json_object_object_add(problem, "findings", rows);
	respond_json(message, SOUP_STATUS_BAD_REQUEST, problem);
}

static guint64 current_generation(sr_admin_t *admin)
{
	const sr_config_t *config = admin->hooks.config(admin->hooks.user);

	return config ? config->generation : 0;
}

static json_object *diff_from_current(sr_admin_t *admin, GBytes *text)
{
	GPtrArray *ignored = sr_findings_new();
	GBytes *current = admin->hooks.config_text(admin->hooks.user);
	json_object *before = NULL;
	json_object *after;
	json_object *diff;
	gsize size;
	const char *data;

	if (current) {
		data = g_bytes_get_data(current, &size);
		before = sr_json_read(data, size, SR_CONFIG_SIZE_MAX,
				      SR_CONFIG_DEPTH_MAX, ignored);
		g_bytes_unref(current);
	}
	data = g_bytes_get_data(text, &size);
	after = sr_json_read(data, size, SR_CONFIG_SIZE_MAX,
			     SR_CONFIG_DEPTH_MAX, ignored);
	diff = sr_config_diff(before, after);
	json_object_put(before);
	json_object_put(after);
	g_ptr_array_unref(ignored);
	return diff;
}

static json_object *change_result(gboolean dry_run, guint64 generation,
				  json_object *diff)
{
	json_object *result = json_object_new_object();

	json_object_object_add(result, "accepted",
			       json_object_new_boolean(!dry_run));
	json_object_object_add(result, "generation",
			       json_object_new_uint64(generation));
	json_object_object_add(result, "changes", diff);
	return result;
}

static sr_admin_change_t *new_change(sr_admin_t *admin,
				     SoupServerMessage *message,
				     json_object *diff,
				     const char *operator_name)
{
	sr_admin_change_t *change = g_new0(sr_admin_change_t, 1);

	change->admin = admin;
	change->message = g_object_ref(message);
	change->diff = diff;
	change->operator_name = g_strdup(operator_name);
	sr_list_append(&admin->pending_changes, &change->link);
	return change;
}

static void respond_change(sr_admin_change_t *change, sr_err_t err,
			   guint64 generation)
{
	char *detail = NULL;

	if (err == SR_OK) {
		respond_json(change->message, SOUP_STATUS_OK,
			     change_result(FALSE, generation,
					   json_object_get(change->diff)));
		return;
	}
	if (err == SR_ERR_CONFLICT)
		detail = g_strdup_printf("generation %" G_GUINT64_FORMAT
					 " was accepted first",
					 generation);
	respond_problem(change->message, err, detail);
	g_free(detail);
}

void sr_admin_report_published(sr_admin_change_t *change, sr_err_t err,
			       guint64 generation)
{
	char *text = g_strdup_printf("%" G_GUINT64_FORMAT, generation);

	sr_log_event(change->admin->log,
		     err == SR_OK ? SR_LOG_INFO : SR_LOG_WARN,
		     "config-published", "operator", change->operator_name,
		     "result", sr_err_name(err), "generation", text, NULL);
	respond_change(change, err, generation);
	soup_server_message_unpause(change->message);
	g_object_unref(change->message);
	json_object_put(change->diff);
	sr_list_remove(&change->link);
	g_free(change->operator_name);
	g_free(change);
	g_free(text);
}

/* Reads parameter base, by default the generation in force. */
static gboolean read_base(sr_admin_t *admin, GHashTable *query, guint64 *base)
{
	const char *text = query ? g_hash_table_lookup(query, "base") : NULL;

	*base = current_generation(admin);
	return !text ||
	       g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, base, NULL);
}

static gboolean is_dry_run(GHashTable *query)
{
	const char *text = query ? g_hash_table_lookup(query, "dry_run") : NULL;

	return text && !g_ascii_strcasecmp(text, "true");
}

static void publish(sr_admin_t *admin, SoupServerMessage *message,
		    const char *operator_name, guint64 base, GBytes *text)
{
	sr_admin_change_t *change = new_change(
		admin, message, diff_from_current(admin, text), operator_name);

	soup_server_message_pause(message);
	admin->hooks.publish(admin->hooks.user, base, text, change);
}

static GBytes *request_body(SoupServerMessage *message)
{
	return soup_message_body_flatten(
		soup_server_message_get_request_body(message));
}

static void put_config(sr_admin_t *admin, SoupServerMessage *message,
		       const char *operator_name, GHashTable *query)
{
	GPtrArray *findings = sr_findings_new();
	GBytes *text = request_body(message);
	gsize size;
	const char *data = g_bytes_get_data(text, &size);
	sr_config_t *config;
	guint64 base;

	config = sr_config_parse(data, size, 0, findings);
	if (!config)
		respond_findings(message, findings);
	else if (!read_base(admin, query, &base))
		respond_problem(message, SR_ERR_INVALID,
				"parameter base is not a generation number");
	else if (is_dry_run(query))
		respond_json(message, SOUP_STATUS_OK,
			     change_result(TRUE, base,
					   diff_from_current(admin, text)));
	else
		publish(admin, message, operator_name, base, text);
	sr_config_unref(config);
	g_bytes_unref(text);
	g_ptr_array_unref(findings);
}

static void get_config(sr_admin_t *admin, SoupServerMessage *message)
{
	GBytes *text = admin->hooks.config_text(admin->hooks.user);
	char *generation;
	gsize size;
	const char *data;

	if (!text) {
		respond_problem(message, SR_ERR_NOT_FOUND,
				"no configuration has been accepted yet");
		return;
	}
	generation = g_strdup_printf("\"%" G_GUINT64_FORMAT "\"",
				     current_generation(admin));
	soup_message_headers_replace(
		soup_server_message_get_response_headers(message), "ETag",
		generation);
	data = g_bytes_get_data(text, &size);
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_COPY, data, size);
	g_free(generation);
	g_bytes_unref(text);
}

static void apply_recall(sr_admin_t *admin, SoupServerMessage *message,
			 json_object *body, GPtrArray *findings)
{
	sr_fields_t fields;
	char *service;
	char *version;
	char *reason;
	sr_err_t err;

	sr_fields_open(&fields, body, "", findings);
	service = sr_fields_string(&fields, "service", NULL);
	version = sr_fields_string(&fields, "version", NULL);
	reason = sr_fields_string(&fields, "reason", "operator");
	sr_fields_close(&fields);
	if (findings->len > 0) {
		respond_findings(message, findings);
	} else {
		err = admin->hooks.recall(admin->hooks.user, service, version,
					  reason);
		if (err)
			respond_problem(message, err, NULL);
		else
			respond_json(message, SOUP_STATUS_OK,
				     json_object_new_object());
	}
	g_free(service);
	g_free(version);
	g_free(reason);
}

static void post_recall(sr_admin_t *admin, SoupServerMessage *message)
{
	GPtrArray *findings = sr_findings_new();
	GBytes *text = request_body(message);
	gsize size;
	const char *data = g_bytes_get_data(text, &size);
	json_object *body = sr_json_read(data, size, SR_CONFIG_SIZE_MAX,
					 SR_CONFIG_DEPTH_MAX, findings);

	if (!body)
		respond_findings(message, findings);
	else
		apply_recall(admin, message, body, findings);
	json_object_put(body);
	g_bytes_unref(text);
	g_ptr_array_unref(findings);
}

static void post_drain(sr_admin_t *admin, SoupServerMessage *message)
{
	respond_json(message, SOUP_STATUS_ACCEPTED, json_object_new_object());
	admin->hooks.drain(admin->hooks.user);
}

static void route(sr_admin_t *admin, SoupServerMessage *message,
		  const char *path, GHashTable *query,
		  const char *operator_name)
{
	const char *method = soup_server_message_get_method(message);
	gboolean is_get = !strcmp(method, "GET");
	gboolean is_post = !strcmp(method, "POST");

	if (!strcmp(path, "/admin/config") && is_get)
		get_config(admin, message);
	else if (!strcmp(path, "/admin/config") && !strcmp(method, "PUT"))
		put_config(admin, message, operator_name, query);
	else if (!strcmp(path, "/admin/status") && is_get)
		respond_json(message, SOUP_STATUS_OK,
			     admin->hooks.status(admin->hooks.user));
	else if (!strcmp(path, "/admin/journal") && is_get)
		respond_json(message, SOUP_STATUS_OK,
			     admin->hooks.journal(admin->hooks.user));
	else if (!strcmp(path, "/admin/recall") && is_post)
		post_recall(admin, message);
	else if (!strcmp(path, "/admin/drain") && is_post)
		post_drain(admin, message);
	else
		respond_problem(
			message, SR_ERR_NOT_FOUND,
			"the administration API has no such path and method");
}

static void respond_unauthenticated(SoupServerMessage *message)
{
	soup_message_headers_replace(
		soup_server_message_get_response_headers(message),
		"WWW-Authenticate", "Bearer");
	respond_problem(message, SR_ERR_UNAUTHENTICATED,
			"the Authorization header has no valid operator token");
}

static void free_received(gpointer data, GClosure *closure)
{
	g_free(data);
}

static void limit_body_size(SoupServerMessage *message, GBytes *chunk,
			    gpointer user)
{
	gsize *received = user;

	*received += g_bytes_get_size(chunk);
	if (*received <= SR_CONFIG_SIZE_MAX ||
	    soup_server_message_get_status(message) != 0)
		return;
	soup_message_body_set_accumulate(
		soup_server_message_get_request_body(message), FALSE);
	respond_problem(message, SR_ERR_TOO_LARGE, NULL);
}

/* Called before the body is read, so that a body from an unauthenticated client
 * or one over the size limit is not buffered. */
static void on_headers(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer user)
{
	sr_admin_t *admin = user;
	gsize *received;

	if (!authenticate(admin, message)) {
		respond_unauthenticated(message);
		return;
	}
	received = g_new0(gsize, 1);
	g_signal_connect_data(message, "got-chunk", G_CALLBACK(limit_body_size),
			      received, free_received, 0);
}

static void on_request(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer user)
{
	sr_admin_t *admin = user;
	const char *operator_name = authenticate(admin, message);

	if (operator_name)
		route(admin, message, path, query, operator_name);
	else
		respond_unauthenticated(message);
}

sr_admin_t *sr_admin_new(const sr_admin_options_t *options)
{
	sr_admin_t *admin = g_new0(sr_admin_t, 1);

	admin->server = g_object_ref(options->server);
	admin->log = options->log;
	admin->bootstrap_token_sha256 =
		g_strdup(options->bootstrap_token_sha256);
	admin->hooks = options->hooks;
	sr_list_init(&admin->pending_changes);
	soup_server_add_early_handler(admin->server, "/admin", on_headers,
				      admin, NULL);
	soup_server_add_handler(admin->server, "/admin", on_request, admin,
				NULL);
	return admin;
}

void sr_admin_free(sr_admin_t *admin)
{
	if (!admin)
		return;
	sr_list_for_each_safe (link, &admin->pending_changes) {
		sr_admin_report_published(
			sr_list_entry(link, sr_admin_change_t, link),
			SR_ERR_OUTCOME_UNKNOWN, 0);
	}
	soup_server_remove_handler(admin->server, "/admin");
	g_object_unref(admin->server);
	g_free(admin->bootstrap_token_sha256);
	g_free(admin);
}
