#ifndef SR_BASE_FIELDS_H
#define SR_BASE_FIELDS_H

#include <glib.h>
#include <json-c/json.h>

/**
 * Validating reader of JSON with comments. An error doesn't end the reading:
 * all are collected, each with its location and a remedy. A member that is
 * never read is an error too.
 */

/** sr_finding_t - one error in an input. */
typedef struct {
	char *where;  /* e.g. "services[0].path", or "line 3" */
	char *what;   /* e.g. "is of type int" */
	char *remedy; /* e.g. "give a string" */
} sr_finding_t;

/** sr_findings_new - new array of sr_finding_t that owns its elements. */
GPtrArray *sr_findings_new(void);

/**
 * sr_findings_add - append a finding
 *
 * what is a printf format; where and remedy are copied.
 */
void sr_findings_add(GPtrArray *findings, const char *where, const char *remedy,
		     const char *what, ...) G_GNUC_PRINTF(4, 5);

/** sr_findings_text - the findings as text, one per line; caller frees. */
char *sr_findings_text(const GPtrArray *findings);

/**
 * sr_json_read - parse text into a JSON object
 *
 * Comments are allowed. Returns NULL and adds a finding if the text is longer
 * than max bytes, nested deeper than depth, not JSON, or not an object. The
 * caller releases the object with json_object_put().
 */
json_object *sr_json_read(const char *text, gsize size, gsize max, int depth,
			  GPtrArray *findings);

/** sr_fields_t - reader of the members of one JSON object. */
typedef struct {
	json_object *object;	/* borrowed; NULL if the value is no object */
	char *path;		/* path of the object; "" for the root */
	GPtrArray *findings;	/* borrowed */
	GHashTable *known_keys; /* keys that were read */
} sr_fields_t;

/**
 * sr_fields_open - start reading the members of value, located at where
 *
 * A value that is no object adds a finding; no member is then reported as
 * missing. value and findings must outlive the reader.
 */
void sr_fields_open(sr_fields_t *fields, json_object *value, const char *where,
		    GPtrArray *findings);

/** sr_fields_close - add a finding for each member that was never read. */
void sr_fields_close(sr_fields_t *fields);

/** sr_fields_path - path of a member, e.g. "limits.requests"; caller frees. */
char *sr_fields_path(const sr_fields_t *fields, const char *key);

/** sr_fields_has - whether the member is present and not null. */
gboolean sr_fields_has(sr_fields_t *fields, const char *key);

/**
 * sr_fields_string, sr_fields_number, sr_fields_integer, sr_fields_boolean -
 * read a member of this type
 *
 * A missing member or one of another type yields the fallback; another type
 * adds a finding. A string with a NULL fallback and a number whose fallback
 * is out of range are required: a missing one adds a finding. A number out of
 * range adds a finding and is returned as it is. Strings are never NULL
 * (without a fallback "" is returned); the caller frees them.
 */
char *sr_fields_string(sr_fields_t *fields, const char *key,
		       const char *fallback);
double sr_fields_number(sr_fields_t *fields, const char *key, double min,
			double max, double fallback);
gint64 sr_fields_integer(sr_fields_t *fields, const char *key, gint64 min,
			 gint64 max, gint64 fallback);
gboolean sr_fields_boolean(sr_fields_t *fields, const char *key,
			   gboolean fallback);

/**
 * sr_fields_choice - read a string that is one of n choices; returns its index
 *
 * fallback is an index; with -1 the member is required. An unknown name adds
 * a finding and yields the fallback, or 0 if there is none.
 */
int sr_fields_choice(sr_fields_t *fields, const char *key,
		     const char *const *choices, int n, int fallback);

/**
 * sr_fields_strings - read an array of strings; empty if it is missing
 *
 * An element of another type adds a finding and is left out. The caller
 * unrefs the array, which owns its strings.
 */
GPtrArray *sr_fields_strings(sr_fields_t *fields, const char *key);

/**
 * sr_fields_array, sr_fields_object - read a member of this type; borrowed
 *
 * Returns NULL if it is missing or of another type, which adds a finding.
 */
json_object *sr_fields_array(sr_fields_t *fields, const char *key);
json_object *sr_fields_object(sr_fields_t *fields, const char *key);

#endif
