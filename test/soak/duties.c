#include "soak.h"

#include <json-c/json.h>
#include <stdio.h>

/* The calls of duties as the platform sees them, judged by its rule ONE. */
struct soak_duties {
	GHashTable *holders; /* epoch -> char *, the first that has sent it */
	GHashTable *reports; /* window -> char *, its counts */
	unsigned n_shared_epochs;
	unsigned n_conflicts;
	GString *breaches;
};

/* Returns whether the key had another value before. */
static gboolean differs(GHashTable *table, const char *key, const char *value)
{
	const char *before = g_hash_table_lookup(table, key);

	if (before)
		return strcmp(before, value) != 0;
	g_hash_table_insert(table, g_strdup(key), g_strdup(value));
	return FALSE;
}

static void judge_report(soak_duties_t *duties, const char *text)
{
	json_object *body = json_tokener_parse(text);
	json_object *window = NULL;
	json_object *counts = NULL;
	const char *key;

	json_object_object_get_ex(body, "window_id", &window);
	json_object_object_get_ex(body, "counts", &counts);
	key = json_object_get_string(window);
	text = json_object_to_json_string(counts);
	if (key && differs(duties->reports, key, text)) {
		duties->n_conflicts++;
		g_string_append_printf(
			duties->breaches,
			"window %s: %s, reported before with %s\n", key, text,
			(const char *)g_hash_table_lookup(duties->reports,
							  key));
	}
	json_object_put(body);
}

void soak_duties_called(soak_t *soak, SoupServerMessage *message,
			const char *path)
{
	soak_duties_t *duties = soak->duties;
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);
	const char *holder =
		soup_message_headers_get_one(headers, "Duty-Holder");
	const char *epoch =
		soup_message_headers_get_one(headers, "Fencing-Token");

	if (holder && epoch && differs(duties->holders, epoch, holder)) {
		duties->n_shared_epochs++;
		g_string_append_printf(duties->breaches,
				       "epoch %s: %s, before of %s\n", epoch,
				       holder,
				       (const char *)g_hash_table_lookup(
					       duties->holders, epoch));
	}
	if (!strcmp(path, "/usage"))
		judge_report(
			duties,
			soup_server_message_get_request_body(message)->data);
}

soak_duties_t *soak_duties_new(void)
{
	soak_duties_t *duties = g_new0(soak_duties_t, 1);

	duties->holders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	duties->reports =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	duties->breaches = g_string_new(NULL);
	return duties;
}

unsigned soak_duties_print(const soak_duties_t *duties)
{
	printf(" ONE: %u windows reported, %u with other counts, %u epochs of "
	       "two holders;",
	       g_hash_table_size(duties->reports), duties->n_conflicts,
	       duties->n_shared_epochs);
	return duties->n_conflicts + duties->n_shared_epochs;
}

const char *soak_duties_breaches(const soak_duties_t *duties)
{
	return duties->breaches->str;
}
