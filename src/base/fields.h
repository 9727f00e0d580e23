#ifndef SR_BASE_FIELDS_H
#define SR_BASE_FIELDS_H

#include <glib.h>
#include <json-c/json.h>

/**
 * Checked reading of JSON with comments: every problem is collected with its
 * place and a remedy, and a member that nobody asked for is a problem too.
 */

/** sr_finding_t - one problem of an input. */
typedef struct {
	char *where;  /* e.g. "services[0].path", or "line 3" */
	char *what;   /* e.g. "is a number" */
	char *remedy; /* e.g. "give a string" */
} sr_finding_t;

/** sr_findings_new - an array of sr_finding_t that owns its elements. */
GPtrArray *sr_findings_new(void);

/** sr_findings_add - what is a printf format; where and remedy are copied. */
void sr_findings_add(GPtrArray *findings, const char *where, const char *remedy,
		     const char *what, ...) G_GNUC_PRINTF(4, 5);

/** sr_findings_text - one line a finding; caller frees. */
char *sr_findings_text(const GPtrArray *findings);

/**
 * sr_json_read - parse a bounded text into a JSON object
 *
 * Comments are allowed. Returns NULL with a finding if the text is longer
 * than max bytes, nested deeper than depth, not JSON, or not an object.
 */
json_object *sr_json_read(const char *text, gsize size, gsize max, int depth,
			  GPtrArray *findings);

/** sr_fields_t - a cursor over the members of one JSON object. */
typedef struct {
	json_object *object; /* borrowed */
	char *where;
	GPtrArray *findings;
	GHashTable *asked;
} sr_fields_t;

/** sr_fields_open - value may be of any type; another one than an object is
 * a finding, and the cursor then has no members. */
void sr_fields_open(sr_fields_t *fields, json_object *value, const char *where,
		    GPtrArray *findings);

/** sr_fields_close - report the members that were not asked for. */
void sr_fields_close(sr_fields_t *fields);

/** sr_fields_path - the place of a member; caller frees. */
char *sr_fields_path(const sr_fields_t *fields, const char *key);

/** sr_fields_has - whether the member is given and not null. */
gboolean sr_fields_has(sr_fields_t *fields, const char *key);

/**
 * Typed members. A missing one gives the fallback; a NULL fallback of a
 * string, or a fallback outside the range of a number, makes it required.
 * Strings are newly allocated and never NULL.
 */
char *sr_fields_string(sr_fields_t *fields, const char *key,
		       const char *fallback);
double sr_fields_number(sr_fields_t *fields, const char *key, double min,
			double max, double fallback);
gint64 sr_fields_integer(sr_fields_t *fields, const char *key, gint64 min,
			 gint64 max, gint64 fallback);
gboolean sr_fields_boolean(sr_fields_t *fields, const char *key,
			   gboolean fallback);

/** sr_fields_choice - index of a name among n choices; -1 fallback requires. */
int sr_fields_choice(sr_fields_t *fields, const char *key,
		     const char *const *choices, int n, int fallback);

/** sr_fields_strings - an array of strings; empty if it is missing. */
GPtrArray *sr_fields_strings(sr_fields_t *fields, const char *key);

/** sr_fields_array - a borrowed array, or NULL if it is missing or wrong. */
json_object *sr_fields_array(sr_fields_t *fields, const char *key);

/** sr_fields_object - a borrowed object, or NULL if it is missing. */
json_object *sr_fields_object(sr_fields_t *fields, const char *key);

#endif
