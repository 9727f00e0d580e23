#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "operator/admin.h"

/* SHA-256 of "t". */
#define TOKEN_HASH \
	"e3b98a4da31a127d4bde6e43033f66ba274cab0eb7eb1c70ec41402bf6273dd8"

static const char valid_text[] =
	"{\"operators\": [{\"name\": \"op\", \"token_sha256\": "
	"[\"" TOKEN_HASH "\"]}]}";

typedef struct {
	SoupServer *server;
	SoupSession *session;
	sr_admin_t *admin;
	char *base_uri;
	sr_config_t *config;
	GBytes *text;
	sr_err_t publish_error; /* result of publish_hook() */
	int published;		/* number of calls of publish_hook() */
} fixture_t;

static const sr_config_t *config_hook(void *user)
{
	return ((fixture_t *)user)->config;
}

static GBytes *text_hook(void *user)
{
	fixture_t *f = user;

	return f->text ? g_bytes_ref(f->text) : NULL;
}

static void publish_hook(void *user, guint64 base, GBytes *text,
			 sr_admin_change_t *change)
{
	fixture_t *f = user;
	gsize size;
	const char *data = g_bytes_get_data(text, &size);
	GPtrArray *findings = sr_findings_new();

	f->published++;
	if (f->publish_error == SR_OK) {
		sr_config_unref(f->config);
		f->config = sr_config_parse(data, size, base + 1, findings);
		g_clear_pointer(&f->text, g_bytes_unref);
		f->text = g_bytes_ref(text);
	}
	sr_admin_report_published(change, f->publish_error, base + 1);
	g_ptr_array_unref(findings);
}

static json_object *empty_hook(void *user)
{
	return json_object_new_object();
}

static sr_err_t recall_hook(void *user, const char *service,
			    const char *version, const char *reason)
{
	return strcmp(service, "s") ? SR_ERR_NOT_FOUND : SR_OK;
}

static void drain_hook(void *user)
{
}

static int setup(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);
	sr_admin_options_t options = {
		.bootstrap_token_sha256 = TOKEN_HASH,
		.hooks = { config_hook, text_hook, publish_hook, empty_hook,
			   empty_hook, recall_hook, drain_hook, f },
	};
	GSList *uris;

	f->server = soup_server_new(NULL, NULL);
	soup_server_listen_local(f->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY,
				 NULL);
	uris = soup_server_get_uris(f->server);
	f->base_uri = g_uri_to_string(uris->data);
	f->base_uri[strlen(f->base_uri) - 1] = '\0';
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	options.server = f->server;
	f->admin = sr_admin_new(&options);
	f->session = soup_session_new();
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	fixture_t *f = *state;

	sr_admin_free(f->admin);
	g_object_unref(f->session);
	g_object_unref(f->server);
	sr_config_unref(f->config);
	g_clear_pointer(&f->text, g_bytes_unref);
	g_free(f->base_uri);
	g_free(f);
	return 0;
}

typedef struct {
	GBytes *body;
	gboolean done;
} response_t;

static void on_response(GObject *session, GAsyncResult *result, gpointer user)
{
	response_t *response = user;

	response->body = soup_session_send_and_read_finish(
		SOUP_SESSION(session), result, NULL);
	response->done = TRUE;
}

/* Sends a request and returns the status; the caller frees *text, the body. */
static guint call(fixture_t *f, const char *method, const char *path,
		  const char *token, GBytes *body, char **text)
{
	char *uri = g_strconcat(f->base_uri, path, NULL);
	SoupMessage *message = soup_message_new(method, uri);
	char *header = g_strconcat("Bearer ", token, NULL);
	response_t response = { 0 };
	guint status;

	soup_message_headers_replace(soup_message_get_request_headers(message),
				     "Authorization", header);
	if (body)
		soup_message_set_request_body_from_bytes(
			message, "application/json", body);
	soup_session_send_and_read_async(f->session, message, 0, NULL,
					 on_response, &response);
	while (!response.done)
		g_main_context_iteration(NULL, TRUE);
	status = soup_message_get_status(message);
	*text = g_strdup("");
	if (response.body) {
		gsize size;
		const char *data = g_bytes_get_data(response.body, &size);

		g_free(*text);
		*text = g_strndup(data ? data : "", size);
		g_bytes_unref(response.body);
	}
	g_object_unref(message);
	g_free(header);
	g_free(uri);
	return status;
}

static guint put_text(fixture_t *f, const char *path, const char *token,
		      const char *body, char **text)
{
	GBytes *bytes = g_bytes_new(body, strlen(body));
	guint status = call(f, "PUT", path, token, bytes, text);

	g_bytes_unref(bytes);
	return status;
}

static void test_unauthenticated_request_is_refused(void **state)
{
	fixture_t *f = *state;
	char *text;

	assert_int_equal(
		put_text(f, "/admin/config", "wrong", valid_text, &text), 401);
	assert_non_null(strstr(text, "unauthenticated"));
	assert_int_equal(f->published, 0);
	g_free(text);
}

static void test_first_operator_disables_bootstrap_token(void **state)
{
	fixture_t *f = *state;
	static const char other[] =
		"{\"operators\": [{\"name\": \"x\", \"token_sha256\": [\""
		"0000000000000000000000000000000000000000000000000000000000000"
		"000\"]}]}";
	char *text;

	assert_int_equal(put_text(f, "/admin/config", "t", other, &text), 200);
	assert_non_null(strstr(text, "\"generation\":1"));
	assert_non_null(strstr(text, "operators\\/x"));
	g_free(text);
	assert_int_equal(call(f, "GET", "/admin/config", "t", NULL, &text),
			 401);
	g_free(text);
}

static void test_dry_run_and_invalid_input_publish_nothing(void **state)
{
	fixture_t *f = *state;
	char *text;

	assert_int_equal(put_text(f, "/admin/config?dry_run=true", "t",
				  valid_text, &text),
			 200);
	assert_non_null(strstr(text, "\"accepted\":false"));
	g_free(text);
	assert_int_equal(put_text(f, "/admin/config", "t", "{\"x\": 1}", &text),
			 400);
	assert_non_null(strstr(text, "x"));
	assert_non_null(strstr(text, "findings"));
	g_free(text);
	assert_int_equal(
		put_text(f, "/admin/config?base=no", "t", valid_text, &text),
		400);
	g_free(text);
	assert_int_equal(f->published, 0);
}

static void test_conflict_names_the_newer_generation(void **state)
{
	fixture_t *f = *state;
	char *text;

	f->publish_error = SR_ERR_CONFLICT;
	assert_int_equal(
		put_text(f, "/admin/config?base=4", "t", valid_text, &text),
		409);
	assert_non_null(strstr(text, "generation 5 was accepted first"));
	g_free(text);
}

static void test_unknown_outcome_is_not_reported_as_not_run(void **state)
{
	fixture_t *f = *state;
	char *text;

	f->publish_error = SR_ERR_OUTCOME_UNKNOWN;
	assert_int_equal(put_text(f, "/admin/config", "t", valid_text, &text),
			 502);
	assert_non_null(strstr(text, "\"unknown\""));
	assert_null(strstr(text, "not-run"));
	g_free(text);
}

static void test_body_over_the_limit_is_refused(void **state)
{
	fixture_t *f = *state;
	gsize size = SR_CONFIG_SIZE_MAX + 4096;
	GBytes *body = g_bytes_new_take(g_malloc0(size), size);
	char *text;

	assert_int_equal(call(f, "PUT", "/admin/config", "t", body, &text),
			 413);
	assert_int_equal(f->published, 0);
	g_free(text);
	g_bytes_unref(body);
}

static void test_recall_validates_its_input(void **state)
{
	fixture_t *f = *state;
	static const char good_text[] =
		"{\"service\": \"s\", \"version\": \"v\"}";
	GBytes *good = g_bytes_new_static(good_text, strlen(good_text));
	GBytes *bad = g_bytes_new_static("{\"service\": 1}", 14);
	char *text;

	assert_int_equal(call(f, "POST", "/admin/recall", "t", good, &text),
			 200);
	g_free(text);
	assert_int_equal(call(f, "POST", "/admin/recall", "t", bad, &text),
			 400);
	assert_non_null(strstr(text, "version"));
	g_free(text);
	g_bytes_unref(good);
	g_bytes_unref(bad);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_unauthenticated_request_is_refused),
		TEST(test_first_operator_disables_bootstrap_token),
		TEST(test_dry_run_and_invalid_input_publish_nothing),
		TEST(test_conflict_names_the_newer_generation),
		TEST(test_unknown_outcome_is_not_reported_as_not_run),
		TEST(test_body_over_the_limit_is_refused),
		TEST(test_recall_validates_its_input),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
