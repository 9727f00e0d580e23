#include "base/problem.h"

#include <json-c/json.h>

static void add_string(json_object *object, const char *key, const char *value)
{
	json_object_object_add(object, key, json_object_new_string(value));
}

unsigned sr_problem_retry_seconds(const sr_problem_t *problem)
{
	return (unsigned)((problem->retry_after + SR_SEC - 1) / SR_SEC);
}

char *sr_problem_json(const sr_problem_t *problem)
{
	json_object *object = json_object_new_object();
	unsigned retry_after = sr_problem_retry_seconds(problem);
	char *text;

	add_string(object, "type", "about:blank");
	add_string(object, "title", sr_err_message(problem->err));
	json_object_object_add(
		object, "status",
		json_object_new_int((int)sr_err_http_status(problem->err)));
	add_string(object, "kind", sr_err_name(problem->err));
	if (problem->detail)
		add_string(object, "detail", problem->detail);
	add_string(object, "remedy", sr_err_remedy(problem->err));
	add_string(object, "executed",
		   problem->maybe_executed ? "unknown" : "not-run");
	if (problem->request_id)
		add_string(object, "request_id", problem->request_id);
	if (retry_after)
		json_object_object_add(object, "retry_after_s",
				       json_object_new_int((int)retry_after));
	text = g_strdup(json_object_to_json_string_ext(
		object,
		JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(object);
	return text;
}
