#include "base/fields.h"

#include <math.h>
#include <stdarg.h>
#include <string.h>

static void free_finding(gpointer data)
{
	sr_finding_t *finding = data;

	g_free(finding->where);
	g_free(finding->what);
	g_free(finding->remedy);
	g_free(finding);
}

GPtrArray *sr_findings_new(void)
{
	return g_ptr_array_new_with_free_func(free_finding);
}

void sr_findings_add(GPtrArray *findings, const char *where, const char *remedy,
		     const char *what, ...)
{
	sr_finding_t *finding = g_new0(sr_finding_t, 1);
	va_list args;

	finding->where = g_strdup(where);
	finding->remedy = g_strdup(remedy);
	va_start(args, what);
	finding->what = g_strdup_vprintf(what, args);
	va_end(args);
	g_ptr_array_add(findings, finding);
}

char *sr_findings_text(const GPtrArray *findings)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < findings->len; i++) {
		const sr_finding_t *finding = g_ptr_array_index(findings, i);

		g_string_append_printf(text, "%s %s: %s\n", finding->where,
				       finding->what, finding->remedy);
	}
	return g_string_free(text, FALSE);
}

static int line_of_offset(const char *text, gsize offset)
{
	int line = 1;

	for (gsize i = 0; i < offset; i++)
		line += text[i] == '\n';
	return line;
}

static void add_syntax_finding(GPtrArray *findings, const char *text,
			       gsize offset, enum json_tokener_error error)
{
	char *where = g_strdup_printf("line %d", line_of_offset(text, offset));
	const char *remedy = "correct the JSON at this line";

	if (error == json_tokener_error_depth)
		remedy = "nest fewer levels";
	else if (error == json_tokener_continue)
		remedy = "close the open string, array or object";
	sr_findings_add(findings, where, remedy, "is not valid JSON (%s)",
			json_tokener_error_desc(error));
	g_free(where);
}

/* Returns the offset after a comment that begins at offset: size if the
 * comment is not closed, offset if there is none. */
static gsize skip_comment(const char *text, gsize offset, gsize size)
{
	const char *end;

	if (offset + 1 >= size || text[offset] != '/')
		return offset;
	if (text[offset + 1] == '/') {
		end = memchr(text + offset, '\n', size - offset);
		return end ? (gsize)(end - text) : size;
	}
	if (text[offset + 1] != '*')
		return offset;
	end = g_strstr_len(text + offset + 2, size - offset - 2, "*/");
	return end ? (gsize)(end - text) + 2 : size;
}

/* Whether only white space and comments follow offset. */
static gboolean is_rest_ignorable(const char *text, gsize offset, gsize size)
{
	gsize before;

	do {
		before = offset;
		while (offset < size && g_ascii_isspace(text[offset]))
			offset++;
		offset = skip_comment(text, offset, size);
	} while (offset != before && offset < size);
	return offset == size;
}

json_object *sr_json_read(const char *text, gsize size, gsize max, int depth,
			  GPtrArray *findings)
{
	json_tokener *tokener;
	json_object *value;
	enum json_tokener_error error;
	gsize end;

	if (size > max) {
		sr_findings_add(findings, "line 1", "give a smaller text",
				"is the start of a text of %zu bytes; the "
				"limit is %zu",
				size, max);
		return NULL;
	}
	tokener = json_tokener_new_ex(depth);
	value = json_tokener_parse_ex(tokener, text, (int)size);
	error = json_tokener_get_error(tokener);
	end = json_tokener_get_parse_end(tokener);
	json_tokener_free(tokener);
	if (error != json_tokener_success) {
		add_syntax_finding(findings, text, MIN(end, size), error);
		return NULL;
	}
	if (!is_rest_ignorable(text, end, size)) {
		add_syntax_finding(findings, text, end,
				   json_tokener_error_parse_unexpected);
		json_object_put(value);
		return NULL;
	}
	if (!json_object_is_type(value, json_type_object)) {
		sr_findings_add(findings, "line 1",
				"put the members between { and }",
				"is not a JSON object");
		json_object_put(value);
		return NULL;
	}
	return value;
}

static const char *type_name(json_object *value)
{
	return json_type_to_name(json_object_get_type(value));
}

static void add_type_finding(sr_fields_t *fields, const char *key,
			     json_object *value, const char *remedy)
{
	char *where = sr_fields_path(fields, key);

	sr_findings_add(fields->findings, where, remedy, "is of type %s",
			type_name(value));
	g_free(where);
}

static void add_missing_finding(sr_fields_t *fields, const char *key)
{
	char *where = sr_fields_path(fields, key);

	sr_findings_add(fields->findings, where, "add this member",
			"is missing");
	g_free(where);
}

/* Returns NULL if the member is missing or null. Its key counts as known. */
static json_object *get_member(sr_fields_t *fields, const char *key)
{
	json_object *value = NULL;

	g_hash_table_add(fields->known_keys, g_strdup(key));
	if (fields->object)
		json_object_object_get_ex(fields->object, key, &value);
	return value;
}

void sr_fields_open(sr_fields_t *fields, json_object *value, const char *where,
		    GPtrArray *findings)
{
	fields->object = value;
	fields->path = g_strdup(where);
	fields->findings = findings;
	fields->known_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (!json_object_is_type(value, json_type_object)) {
		sr_findings_add(findings, where, "give an object",
				"is of type %s", type_name(value));
		fields->object = NULL;
	}
}

static void add_unknown_findings(sr_fields_t *fields)
{
	json_object_object_foreach(fields->object, key, value)
	{
		char *where;

		(void)value;
		if (g_hash_table_contains(fields->known_keys, key))
			continue;
		where = sr_fields_path(fields, key);
		sr_findings_add(fields->findings, where,
				"remove it or correct its name",
				"is not a known member");
		g_free(where);
	}
}

void sr_fields_close(sr_fields_t *fields)
{
	if (fields->object)
		add_unknown_findings(fields);
	g_hash_table_destroy(fields->known_keys);
	g_free(fields->path);
}

char *sr_fields_path(const sr_fields_t *fields, const char *key)
{
	if (!*fields->path)
		return g_strdup(key);
	return g_strdup_printf("%s.%s", fields->path, key);
}

gboolean sr_fields_has(sr_fields_t *fields, const char *key)
{
	return get_member(fields, key) != NULL;
}

char *sr_fields_string(sr_fields_t *fields, const char *key,
		       const char *fallback)
{
	json_object *value = get_member(fields, key);

	if (!value) {
		if (!fallback && fields->object)
			add_missing_finding(fields, key);
		return g_strdup(fallback ? fallback : "");
	}
	if (!json_object_is_type(value, json_type_string)) {
		add_type_finding(fields, key, value, "give a string");
		return g_strdup(fallback ? fallback : "");
	}
	return g_strdup(json_object_get_string(value));
}

double sr_fields_number(sr_fields_t *fields, const char *key, double min,
			double max, double fallback)
{
	json_object *value = get_member(fields, key);
	double number;

	if (!value) {
		if ((fallback < min || fallback > max) && fields->object)
			add_missing_finding(fields, key);
		return fallback;
	}
	if (!json_object_is_type(value, json_type_int) &&
	    !json_object_is_type(value, json_type_double)) {
		add_type_finding(fields, key, value, "give a number");
		return fallback;
	}
	number = json_object_get_double(value);
	if (!(number >= min && number <= max)) {
		char *where = sr_fields_path(fields, key);
		char *remedy = g_strdup_printf("give a number from %g to %g",
					       min, max);

		sr_findings_add(fields->findings, where, remedy, "is %g",
				number);
		g_free(remedy);
		g_free(where);
	}
	return number;
}

gint64 sr_fields_integer(sr_fields_t *fields, const char *key, gint64 min,
			 gint64 max, gint64 fallback)
{
	json_object *value = get_member(fields, key);

	if (value && !json_object_is_type(value, json_type_int)) {
		add_type_finding(fields, key, value, "give a whole number");
		return fallback;
	}
	return (gint64)sr_fields_number(fields, key, (double)min, (double)max,
					(double)fallback);
}

gboolean sr_fields_boolean(sr_fields_t *fields, const char *key,
			   gboolean fallback)
{
	json_object *value = get_member(fields, key);

	if (!value)
		return fallback;
	if (!json_object_is_type(value, json_type_boolean)) {
		add_type_finding(fields, key, value, "give true or false");
		return fallback;
	}
	return json_object_get_boolean(value);
}

static char *list_choices(const char *const *choices, int n)
{
	GString *text = g_string_new("give one of:");

	for (int i = 0; i < n; i++)
		g_string_append_printf(text, " %s", choices[i]);
	return g_string_free(text, FALSE);
}

int sr_fields_choice(sr_fields_t *fields, const char *key,
		     const char *const *choices, int n, int fallback)
{
	char *name = sr_fields_string(fields, key,
				      fallback < 0 ? NULL : choices[fallback]);
	int found = -1;

	for (int i = 0; i < n && found < 0; i++) {
		if (!strcmp(name, choices[i]))
			found = i;
	}
	if (found < 0 && sr_fields_has(fields, key)) {
		char *where = sr_fields_path(fields, key);
		char *remedy = list_choices(choices, n);

		sr_findings_add(fields->findings, where, remedy, "is \"%s\"",
				name);
		g_free(remedy);
		g_free(where);
	}
	g_free(name);
	return found >= 0 ? found : MAX(fallback, 0);
}

GPtrArray *sr_fields_strings(sr_fields_t *fields, const char *key)
{
	GPtrArray *strings = g_ptr_array_new_with_free_func(g_free);
	json_object *array = sr_fields_array(fields, key);

	for (size_t i = 0; array && i < json_object_array_length(array); i++) {
		json_object *value = json_object_array_get_idx(array, i);

		if (json_object_is_type(value, json_type_string))
			g_ptr_array_add(
				strings,
				g_strdup(json_object_get_string(value)));
		else
			add_type_finding(fields, key, value,
					 "give an array of strings");
	}
	return strings;
}

static json_object *get_member_of_type(sr_fields_t *fields, const char *key,
				       json_type type, const char *remedy)
{
	json_object *value = get_member(fields, key);

	if (!value || json_object_is_type(value, type))
		return value;
	add_type_finding(fields, key, value, remedy);
	return NULL;
}

json_object *sr_fields_array(sr_fields_t *fields, const char *key)
{
	return get_member_of_type(fields, key, json_type_array,
				  "give an array");
}

json_object *sr_fields_object(sr_fields_t *fields, const char *key)
{
	return get_member_of_type(fields, key, json_type_object,
				  "give an object");
}
