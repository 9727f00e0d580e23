#include "load_plan.h"

#include <stdio.h>

#include "base/fields.h"

#define PLAN_MAX_BYTES (256 * 1024)
#define PLAN_MAX_DEPTH 8
#define PROMPT_MAX_BYTES (256 * 1024)
#define TOKENS_MAX 100000
#define DURATION_MAX_S 3600
#define TIME_MAX_MS 3600000
#define RATE_MAX_PER_S 100000
#define CONCURRENCY_MAX 10000
#define PREFIXES_MAX 1000000
#define IN_FLIGHT_MAX 100000

static const char *const kind_names[] = {
	[SR_EMU_CALL_STREAM] = "stream",
	[SR_EMU_CALL_POSTING] = "posting",
	[SR_EMU_CALL_READ] = "read",
};

static void free_caller(gpointer data)
{
	sr_emu_load_caller_t *caller = data;

	g_free(caller->name);
	g_free(caller->path);
	g_free(caller->token);
	g_free(caller->priority);
	g_free(caller);
}

void sr_emu_load_plan_free(sr_emu_load_plan_t *plan)
{
	if (!plan)
		return;
	g_ptr_array_unref(plan->targets);
	g_ptr_array_unref(plan->callers);
	g_free(plan);
}

static guint read_count(sr_fields_t *fields, const char *key, gint64 max,
			gint64 fallback)
{
	return (guint)sr_fields_integer(fields, key, 0, max, fallback);
}

static sr_emu_load_caller_t *read_caller(sr_fields_t *fields)
{
	sr_emu_load_caller_t *caller = g_new0(sr_emu_load_caller_t, 1);

	caller->name = sr_fields_string(fields, "name", NULL);
	caller->path = sr_fields_string(fields, "path", NULL);
	caller->token = sr_fields_string(fields, "token", "");
	caller->kind = (sr_emu_call_kind_t)sr_fields_choice(
		fields, "kind", kind_names, G_N_ELEMENTS(kind_names), -1);
	caller->rate_per_s =
		sr_fields_number(fields, "rate_per_s", 0, RATE_MAX_PER_S, 0);
	caller->concurrency =
		read_count(fields, "concurrency", CONCURRENCY_MAX, 0);
	caller->think_time =
		read_count(fields, "think_ms", TIME_MAX_MS, 0) * SR_MSEC;
	caller->prompt_bytes =
		read_count(fields, "prompt_bytes", PROMPT_MAX_BYTES, 200);
	caller->prefix_bytes =
		read_count(fields, "prefix_bytes", PROMPT_MAX_BYTES, 0);
	caller->n_prefixes = read_count(fields, "prefixes", PREFIXES_MAX, 1);
	caller->max_tokens = read_count(fields, "max_tokens", TOKENS_MAX, 16);
	caller->priority = sr_fields_string(fields, "priority", "");
	caller->deadline_ms = read_count(fields, "deadline_ms", TIME_MAX_MS, 0);
	caller->duplicate_ratio =
		sr_fields_number(fields, "double_ratio", 0, 1, 0);
	if (caller->rate_per_s <= 0 && caller->concurrency == 0)
		sr_findings_add(fields->findings, fields->path,
				"give one of them",
				"has neither rate_per_s nor concurrency");
	if (caller->rate_per_s <= 0 && caller->duplicate_ratio > 0)
		sr_findings_add(fields->findings, fields->path,
				"give rate_per_s",
				"has double_ratio, which needs an open loop");
	sr_fields_close(fields);
	return caller;
}

static void read_plan(sr_emu_load_plan_t *plan, sr_fields_t *root)
{
	json_object *callers;

	plan->targets = sr_fields_strings(root, "targets");
	plan->callers = g_ptr_array_new_with_free_func(free_caller);
	plan->duration =
		sr_fields_integer(root, "seconds", 1, DURATION_MAX_S, 10) *
		SR_SEC;
	plan->max_requests =
		(guint64)sr_fields_integer(root, "requests", 0, G_MAXINT32, 0);
	plan->timeout =
		sr_fields_integer(root, "timeout_ms", 1, TIME_MAX_MS, 30000) *
		SR_MSEC;
	plan->max_in_flight =
		read_count(root, "in_flight", IN_FLIGHT_MAX, 2000);
	callers = sr_fields_array(root, "callers");
	for (size_t i = 0; callers && i < json_object_array_length(callers);
	     i++) {
		char *where = g_strdup_printf("callers[%zu]", i);
		sr_fields_t fields;

		sr_fields_open(&fields, json_object_array_get_idx(callers, i),
			       where, root->findings);
		g_ptr_array_add(plan->callers, read_caller(&fields));
		g_free(where);
	}
	if (plan->targets->len == 0)
		sr_findings_add(root->findings, "targets",
				"list IP:PORT of at least one entry host",
				"is empty");
	sr_fields_close(root);
}

static sr_emu_load_plan_t *parse_plan(const char *text, gsize size,
				      GPtrArray *findings)
{
	json_object *value = sr_json_read(text, size, PLAN_MAX_BYTES,
					  PLAN_MAX_DEPTH, findings);
	sr_emu_load_plan_t *plan;
	sr_fields_t root;

	if (!value)
		return NULL;
	plan = g_new0(sr_emu_load_plan_t, 1);
	sr_fields_open(&root, value, "", findings);
	read_plan(plan, &root);
	json_object_put(value);
	return plan;
}

sr_emu_load_plan_t *sr_emu_load_plan_read(const char *path)
{
	GPtrArray *findings = sr_findings_new();
	sr_emu_load_plan_t *plan = NULL;
	GError *error = NULL;
	char *text = NULL;
	gsize size = 0;

	if (g_file_get_contents(path, &text, &size, &error))
		plan = parse_plan(text, size, findings);
	else
		sr_findings_add(findings, path, "give a readable file", "%s",
				error->message);
	g_clear_error(&error);
	g_free(text);
	if (findings->len > 0) {
		text = sr_findings_text(findings);
		fputs(text, stderr);
		g_free(text);
		sr_emu_load_plan_free(plan);
		plan = NULL;
	}
	g_ptr_array_unref(findings);
	return plan;
}
