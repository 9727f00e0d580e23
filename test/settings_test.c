#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "base/settings.h"

static const char valid_text[] =
	"{\"node\": \"n\", // comment\n"
	" \"failure_domain\": \"z\", \"caller_address\": \"127.0.0.1:80\",\n"
	" \"admin_address\": \"[::1]:81\", \"config_file\": \"f\",\n"
	" \"peer_seeds\": [\"10.0.0.1:7\"], \"log_level\": \"warn\",\n"
	" \"drain_grace_ms\": 100, \"limits\": {\"requests\": 5}}";

/* Each case replaces one part of valid_text, which makes it invalid. */
static const struct {
	const char *from;
	const char *to;
	const char *finding;
} cases[] = {
	{ "\"node\": \"n\",", "", "node is missing" },
	{ "\"node\"", "\"nod\"", "nod is not a known member" },
	{ "\"node\": \"n\"", "\"node\": 1", "node is of type" },
	{ "127.0.0.1:80", "localhost:80",
	  "caller_address is \"localhost:80\"" },
	{ "127.0.0.1:80", "127.0.0.1", "caller_address is" },
	{ "127.0.0.1:80", "127.0.0.1:70000", "caller_address is" },
	{ "10.0.0.1:7", "10.0.0.1:", "peer_seeds is" },
	{ "\"warn\"", "\"loud\"", "log_level is \"loud\"" },
	{ "100", "-1", "drain_grace_ms is" },
	{ "100", "40000", "drain_limit_ms is shorter" },
	{ "\"requests\": 5", "\"requests\": \"5\"", "limits.requests is of" },
	{ "\"requests\": 5", "\"request\": 5", "limits.request is not" },
	{ "{\"requests\": 5}", "[]", "limits is of type" },
	{ "\"config_file\": \"f\",", "",
	  "platform_address is missing, and so is config_file" },
	{ "\"config_file\"",
	  "\"peer_address\": \"127.0.0.1:9\", \"config_file\"",
	  "cluster_secret_file is missing" },
	{ "}}", "}", "is not valid JSON" },
};

static char *parse_findings(const char *text)
{
	GPtrArray *findings = sr_findings_new();
	sr_settings_t *settings =
		sr_settings_parse(text, strlen(text), findings);
	char *out = sr_findings_text(findings);

	assert_true((settings == NULL) == (findings->len > 0));
	sr_settings_free(settings);
	g_ptr_array_unref(findings);
	return out;
}

static void test_valid_settings_are_parsed(void **state)
{
	GPtrArray *findings = sr_findings_new();
	sr_settings_t *settings =
		sr_settings_parse(valid_text, strlen(valid_text), findings);

	assert_non_null(settings);
	assert_string_equal(settings->node, "n");
	assert_string_equal(settings->platform_address, "");
	assert_int_equal(settings->peer_seeds->len, 1);
	assert_int_equal(settings->log_level, SR_LOG_WARN);
	assert_int_equal(settings->drain_grace, 100 * SR_MSEC);
	assert_int_equal(settings->max_requests, 5);
	assert_int_equal(settings->request_bytes, 1024 * 1024);
	sr_settings_free(settings);
	g_ptr_array_unref(findings);
}

static void test_each_error_names_its_member(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *at = strstr(valid_text, cases[i].from);
		char *text = g_strdup_printf("%.*s%s%s", (int)(at - valid_text),
					     valid_text, cases[i].to,
					     at + strlen(cases[i].from));
		char *findings = parse_findings(text);

		if (!strstr(findings, cases[i].finding))
			fail_msg("no \"%s\" in: %s", cases[i].finding,
				 findings);
		g_free(findings);
		g_free(text);
	}
}

static void test_all_errors_are_reported(void **state)
{
	char *findings = parse_findings("{\"node\": 1, \"x\": 2}");

	assert_non_null(strstr(findings, "node is of type"));
	assert_non_null(strstr(findings, "failure_domain is missing"));
	assert_non_null(strstr(findings, "x is not a known member"));
	g_free(findings);
}

static void test_deep_and_long_settings_are_rejected(void **state)
{
	char *deep = g_strnfill(60000, '[');
	char *large = g_strnfill(SR_SETTINGS_MAX_BYTES + 1, ' ');
	char *findings = parse_findings(deep);

	g_free(findings);
	findings = parse_findings(large);
	g_free(findings);
	g_free(large);
	g_free(deep);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_valid_settings_are_parsed),
		cmocka_unit_test(test_each_error_names_its_member),
		cmocka_unit_test(test_all_errors_are_reported),
		cmocka_unit_test(test_deep_and_long_settings_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
