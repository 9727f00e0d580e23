#include "core/config_diff.h"

#include <glib.h>
#include <string.h>

static const char *const sections[] = { "operators", "accounts", "services",
					"upstreams" };

static const char *name_of(json_object *element)
{
	json_object *name = NULL;

	json_object_object_get_ex(element, "name", &name);
	return json_object_get_string(name);
}

/* Name -> element of one section; everything is borrowed. */
static GTree *index_section(json_object *config, const char *section)
{
	GTree *index = g_tree_new((GCompareFunc)strcmp);
	json_object *array = NULL;

	if (!config || !json_object_object_get_ex(config, section, &array))
		return index;
	for (size_t i = 0; i < json_object_array_length(array); i++) {
		json_object *element = json_object_array_get_idx(array, i);

		g_tree_insert(index, (gpointer)name_of(element), element);
	}
	return index;
}

typedef struct {
	json_object *out;
	const char *section;
	GTree *other;
	gboolean is_old_side;
} walk_t;

static void add_change(walk_t *walk, const char *change, const char *name)
{
	json_object *row = json_object_new_object();
	char *object = g_strdup_printf("%s/%s", walk->section, name);

	json_object_object_add(row, "change", json_object_new_string(change));
	json_object_object_add(row, "object", json_object_new_string(object));
	json_object_array_add(walk->out, row);
	g_free(object);
}

static gboolean visit(gpointer name, gpointer element, gpointer user)
{
	walk_t *walk = user;
	json_object *other = g_tree_lookup(walk->other, name);

	if (walk->is_old_side && !other)
		add_change(walk, "removed", name);
	else if (!walk->is_old_side && !other)
		add_change(walk, "added", name);
	else if (!walk->is_old_side && !json_object_equal(element, other))
		add_change(walk, "changed", name);
	return FALSE;
}

json_object *sr_config_diff(json_object *before, json_object *after)
{
	json_object *out = json_object_new_array();

	for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
		GTree *old = index_section(before, sections[i]);
		GTree *new = index_section(after, sections[i]);
		walk_t added = { out, sections[i], old, FALSE };
		walk_t removed = { out, sections[i], new, TRUE };

		g_tree_foreach(new, visit, &added);
		g_tree_foreach(old, visit, &removed);
		g_tree_unref(old);
		g_tree_unref(new);
	}
	return out;
}
