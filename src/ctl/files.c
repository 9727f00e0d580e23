#include "ctl/files.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "core/config.h"

/* Stops soon after SR_CONFIG_SIZE_MAX bytes, since a longer text is invalid. */
static char *read_stdin(gsize *size)
{
	GString *text = g_string_new(NULL);
	char buffer[4096];
	size_t n_read;

	while ((n_read = fread(buffer, 1, sizeof(buffer), stdin)) > 0 &&
	       text->len <= SR_CONFIG_SIZE_MAX)
		g_string_append_len(text, buffer, (gssize)n_read);
	*size = text->len;
	return g_string_free(text, FALSE);
}

static GBytes *read_file(const char *name)
{
	GError *error = NULL;
	gsize size;
	char *text;

	if (!strcmp(name, "-")) {
		text = read_stdin(&size);
		return g_bytes_new_take(text, size);
	}
	if (!g_file_get_contents(name, &text, &size, &error)) {
		g_printerr("sassafrasctl: %s\nremedy: name a readable file\n",
			   error->message);
		g_clear_error(&error);
		return NULL;
	}
	return g_bytes_new_take(text, size);
}

/* Appends to arrays in target; replaces other members. */
static void join_sections(json_object *target, json_object *source)
{
	json_object_object_foreach(source, section, value)
	{
		json_object *array = NULL;

		if (!json_object_object_get_ex(target, section, &array) ||
		    !json_object_is_type(array, json_type_array) ||
		    !json_object_is_type(value, json_type_array)) {
			json_object_object_add(target, section,
					       json_object_get(value));
			continue;
		}
		for (size_t i = 0; i < json_object_array_length(value); i++)
			json_object_array_add(
				array,
				json_object_get(
					json_object_array_get_idx(value, i)));
	}
}

static gboolean join_file(json_object *target, const char *name)
{
	GPtrArray *findings = sr_findings_new();
	GBytes *text = read_file(name);
	json_object *value = NULL;
	gsize size;
	const char *data;

	if (text) {
		data = g_bytes_get_data(text, &size);
		value = sr_json_read(data, size, SR_CONFIG_SIZE_MAX,
				     SR_CONFIG_DEPTH_MAX, findings);
		g_bytes_unref(text);
	}
	if (value) {
		join_sections(target, value);
	} else if (findings->len > 0) {
		char *lines = sr_findings_text(findings);

		g_printerr("sassafrasctl: %s: %s", name, lines);
		g_free(lines);
	}
	json_object_put(value);
	g_ptr_array_unref(findings);
	return value != NULL;
}

GBytes *sr_config_files_join(const char *const *names, int n)
{
	json_object *joined;
	GBytes *bytes = NULL;
	gboolean valid = TRUE;

	if (n == 1)
		return read_file(names[0]);
	joined = json_object_new_object();
	for (int i = 0; i < n; i++)
		valid = join_file(joined, names[i]) && valid;
	if (valid) {
		const char *text = json_object_to_json_string_ext(
			joined, JSON_C_TO_STRING_PRETTY);

		bytes = g_bytes_new(text, strlen(text));
	}
	json_object_put(joined);
	return bytes;
}

gboolean sr_config_text_check(GBytes *text)
{
	GPtrArray *findings = sr_findings_new();
	gsize size;
	const char *data = g_bytes_get_data(text, &size);
	sr_config_t *config = sr_config_parse(data, size, 0, findings);

	if (!config) {
		char *lines = sr_findings_text(findings);

		g_printerr("%s", lines);
		g_free(lines);
	}
	sr_config_unref(config);
	g_ptr_array_unref(findings);
	return config != NULL;
}
