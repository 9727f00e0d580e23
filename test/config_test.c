#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "core/config.h"

/* A valid configuration; each invalid case replaces one part of it. */
static const char valid_text[] =
	"{\"accounts\": [{\"name\": \"a\", \"home\": \"ahd\","
	" \"token_sha256\": [\"" /* SHA-256 of "t" */
	"e3b98a4da31a127d4bde6e43033f66ba274cab0eb7eb1c70ec41402bf6273dd8"
	"\"]}],"
	" \"services\": [{\"name\": \"s\", \"kind\": \"plain\","
	" \"path\": \"/s\","
	" \"routes\": [{\"name\": \"r\", \"path\": \"/s/r\","
	" \"method\": \"post\"}],"
	" \"versions\": [{\"name\": \"v1\", \"share\": 0.75},"
	" {\"name\": \"v2\", \"share\": 0.25,"
	" \"by\": \"2027-01-31T18:00:00Z\"}]}],"
	" \"upstreams\": [{\"name\": \"u\", \"service\": \"s\","
	" \"version\": \"v1\", \"failure_domain\": \"ahd\","
	" \"address\": \"127.0.0.1:80\"}]}";

typedef struct {
	const char *from;
	const char *to;
	const char *finding; /* substring of the findings */
} invalid_case_t;

static const invalid_case_t invalid_cases[] = {
	{ "0.75", "1.4", "services[0].versions[0].share is 1.4" },
	{ "0.75", "0.5", "add up to 1" },
	{ "\"plain\"", "\"queue\"", "services[0].kind is \"queue\"" },
	{ "\"kind\": \"plain\",", "", "services[0].kind is missing" },
	{ "\"path\": \"/s\"", "\"path\": \"s/\"",
	  "is not a valid path prefix" },
	{ "\"/s/r\"", "\"/t/r\"",
	  "does not start with the path of its service" },
	{ "\"home\"", "\"hom\"", "accounts[0].hom is not a known member" },
	{ "\"name\": \"u\"", "\"name\": 7", "upstreams[0].name is of type" },
	{ "\"name\": \"u\"", "\"name\": \"a/b\"", "is not a valid name" },
	{ "127.0.0.1:80", "localhost:80", "is not an IP address with a port" },
	{ "127.0.0.1:80", "127.0.0.1:0", "is not an IP address with a port" },
	{ "\"version\": \"v1\"", "\"version\": \"v9\"",
	  "unknown version \"v9\"" },
	{ "\"service\": \"s\"", "\"service\": \"x\"", "unknown service \"x\"" },
	{ "\"name\": \"v2\"", "\"name\": \"v2\", \"name\": 3",
	  "versions[1].name" },
	{ "2027-01-31T18:00:00Z", "tomorrow", "is not an ISO 8601 time" },
	{ "\"share\": 0.75",
	  "\"share\": 0.75, \"by\": \"2027-01-31T18:00:00Z\"",
	  "a rollout between two versions" },
	{ "e3b98a", "E3b98a", "contains a value that is not a SHA-256" },
	{ "\"routes\": [", "\"routes\": [[],", "routes[0] is of type array" },
	{ "}]}]", "}]}", "line 1 is not valid JSON" },
};

static char *replace_once(const char *text, const char *from, const char *to)
{
	const char *at = strstr(text, from);

	assert_non_null(at);
	return g_strdup_printf("%.*s%s%s", (int)(at - text), text, to,
			       at + strlen(from));
}

static char *parse_findings(const char *text, gsize size)
{
	GPtrArray *findings = sr_findings_new();
	sr_config_t *config = sr_config_parse(text, size, 1, findings);
	char *out = sr_findings_text(findings);

	assert_true((config == NULL) == (findings->len > 0));
	sr_config_unref(config);
	g_ptr_array_unref(findings);
	return out;
}

static void test_each_error_names_its_location(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(invalid_cases); i++) {
		char *text = replace_once(valid_text, invalid_cases[i].from,
					  invalid_cases[i].to);
		char *findings = parse_findings(text, strlen(text));

		if (!strstr(findings, invalid_cases[i].finding))
			fail_msg("case %zu: no \"%s\" in: %s", i,
				 invalid_cases[i].finding, findings);
		g_free(findings);
		g_free(text);
	}
}

static void test_all_errors_are_reported(void **state)
{
	char *one = replace_once(valid_text, "0.75", "2");
	char *two = replace_once(one, "127.0.0.1:80", "nowhere");
	char *findings = parse_findings(two, strlen(two));

	assert_non_null(strstr(findings, "share is 2"));
	assert_non_null(strstr(findings, "is not an IP address with a port"));
	g_free(findings);
	g_free(two);
	g_free(one);
}

/* Deep nesting, many comments, and a text above the size limit. */
static void test_large_texts_are_bounded(void **state)
{
	gsize size = 400000;
	char *nested = g_malloc(size);
	char *comments = g_malloc(size);
	char *findings;

	memset(nested, '[', size);
	findings = parse_findings(nested, size);
	assert_non_null(strstr(findings, "nest fewer levels"));
	g_free(findings);

	memset(comments, '/', size);
	for (gsize i = 4; i < size; i += 3)
		comments[i] = '\n';
	comments[0] = '{';
	comments[1] = '}';
	findings = parse_findings(comments, size);
	assert_non_null(findings);
	g_free(findings);
	findings = parse_findings(nested, SR_CONFIG_SIZE_MAX + 1);
	assert_non_null(strstr(findings, "give a smaller text"));
	g_free(findings);
	g_free(comments);
	g_free(nested);
}

static void test_lookups(void **state)
{
	GPtrArray *findings = sr_findings_new();
	sr_config_t *config =
		sr_config_parse(valid_text, strlen(valid_text), 7, findings);
	const sr_service_config_t *service;

	assert_non_null(config);
	assert_int_equal(config->generation, 7);
	service = sr_config_service_by_path(config, "/s/r/1");
	assert_non_null(service);
	assert_null(sr_config_service_by_path(config, "/sx"));
	assert_non_null(sr_config_match_route(service, "POST", "/s/r?x=1"));
	assert_null(sr_config_match_route(service, "GET", "/s/r"));
	assert_string_equal(sr_config_account_by_token(config, "t")->name, "a");
	assert_null(sr_config_account_by_token(config, "u"));
	sr_config_unref(config);
	g_ptr_array_unref(findings);
}

static void test_example_is_valid(void **state)
{
	char *text;
	gsize size;
	char *findings;

	assert_true(g_file_get_contents("examples/vetanrekha.json", &text,
					&size, NULL));
	findings = parse_findings(text, size);
	assert_string_equal(findings, "");
	g_free(findings);
	g_free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_error_names_its_location),
		cmocka_unit_test(test_all_errors_are_reported),
		cmocka_unit_test(test_large_texts_are_bounded),
		cmocka_unit_test(test_lookups),
		cmocka_unit_test(test_example_is_valid),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
