#include <string.h>

#include "stand_in.h"

static struct {
	GMutex lock;
	GHashTable *reports; /* window -> char *, its counts */
	unsigned n_reports;
	unsigned n_conflicts;
	GHashTable *holders; /* subject and epoch -> char *, the first holder */
	unsigned n_shared;
	char *last_holder;
} duties;

static gint compare_words(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* "TENANT=COUNT ...", in the order of the names. */
static char *counts_of(json_object *body)
{
	GPtrArray *words = g_ptr_array_new_with_free_func(g_free);
	json_object *counts = NULL;
	char *text;

	json_object_object_get_ex(body, "counts", &counts);
	if (json_object_is_type(counts, json_type_object)) {
		json_object_object_foreach(counts, tenant, count)
		{
			g_ptr_array_add(
				words,
				g_strdup_printf(
					"%s=%s", tenant,
					json_object_to_json_string(count)));
		}
	}
	g_ptr_array_sort(words, compare_words);
	g_ptr_array_add(words, NULL);
	text = g_strjoinv(" ", (char **)words->pdata);
	g_ptr_array_unref(words);
	return text;
}

static void accept_report(const char *window, char *counts)
{
	const char *before = g_hash_table_lookup(duties.reports, window);

	duties.n_reports++;
	if (!before) {
		g_hash_table_insert(duties.reports, g_strdup(window), counts);
		return;
	}
	if (strcmp(before, counts) != 0) {
		duties.n_conflicts++;
		record("BROKEN window %s was reported with %s before", window,
		       before);
	}
	g_free(counts);
}

/* The subjects are usage, and a service in a zone. */
static void note_holder(const char *path, json_object *body, const char *holder,
			const char *epoch)
{
	json_object *service = NULL;
	json_object *zone = NULL;
	const char *before;
	char *key;

	json_object_object_get_ex(body, "service", &service);
	json_object_object_get_ex(body, "zone", &zone);
	key = g_strdup_printf("%s %s %s %s", path,
			      json_object_get_string(service),
			      json_object_get_string(zone), epoch);
	before = g_hash_table_lookup(duties.holders, key);
	if (before && strcmp(before, holder) != 0) {
		record("BROKEN epoch %s was sent by %s before", epoch, before);
		duties.n_shared++;
	}
	if (!before)
		g_hash_table_insert(duties.holders, g_strdup(key),
				    g_strdup(holder));
	g_free(key);
	g_free(duties.last_holder);
	duties.last_holder = g_strdup(holder);
}

static gboolean on_call(void *user, int fd, const message_t *request)
{
	const char *holder = message_field(request, name_of("holder"));
	const char *epoch = message_field(request, name_of("epoch"));
	char *text = g_strndup((const char *)request->body->data,
			       request->body->len);
	json_object *body = json_tokener_parse(text);
	json_object *window = NULL;

	(void)user;
	g_mutex_lock(&duties.lock);
	record("duty %s by %s, epoch %s: %s", request->second,
	       holder ? holder : "nobody", epoch ? epoch : "none", text);
	if (holder && epoch)
		note_holder(request->second, body, holder, epoch);
	if (!strcmp(request->second, name_of("usage")) &&
	    json_object_object_get_ex(body, "window_id", &window))
		accept_report(json_object_to_json_string(window),
			      counts_of(body));
	g_mutex_unlock(&duties.lock);
	json_object_put(body);
	g_free(text);
	return respond(fd, 200, NULL, "");
}

int duties_start(const char *ip)
{
	duties.reports =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	duties.holders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return serve(ip, on_call, NULL);
}

unsigned duties_reports(void)
{
	unsigned n;

	g_mutex_lock(&duties.lock);
	n = duties.n_reports;
	g_mutex_unlock(&duties.lock);
	return n;
}

unsigned duties_conflicts(void)
{
	unsigned n;

	g_mutex_lock(&duties.lock);
	n = duties.n_conflicts;
	g_mutex_unlock(&duties.lock);
	return n;
}

gboolean duties_has_report(gint64 window)
{
	char *key = g_strdup_printf("%" G_GINT64_FORMAT, window);
	gboolean is_known;

	g_mutex_lock(&duties.lock);
	is_known = g_hash_table_contains(duties.reports, key);
	g_mutex_unlock(&duties.lock);
	g_free(key);
	return is_known;
}

unsigned duties_shared_epochs(void)
{
	unsigned n;

	g_mutex_lock(&duties.lock);
	n = duties.n_shared;
	g_mutex_unlock(&duties.lock);
	return n;
}

unsigned duties_last_holder(void)
{
	unsigned machine = MACHINES_MAX;

	g_mutex_lock(&duties.lock);
	for (unsigned i = 0; duties.last_holder && i < MACHINES_MAX; i++) {
		char *name = machine_name(i);

		if (!strcmp(name, duties.last_holder))
			machine = i;
		g_free(name);
	}
	g_mutex_unlock(&duties.lock);
	return machine;
}
