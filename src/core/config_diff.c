#include "core/config_diff.h"

#include <glib.h>
#include <string.h>

static const char *const sections[] = { "operators", "accounts", "services",
					"upstreams" };

static const char *element_name(json_object *element)
{
	json_object *name = NULL;

	json_object_object_get_ex(element, "name", &name);
	return json_object_get_string(name);
}

/* Maps the names of a section to their elements; both are borrowed. */
static GTree *index_section(json_object *config, const char *section)
{
	GTree *index = g_tree_new((GCompareFunc)strcmp);
	json_object *array = NULL;

	if (!config || !json_object_object_get_ex(config, section, &array))
		return index;
	for (size_t i = 0; i < json_object_array_length(array); i++) {
		json_object *element = json_object_array_get_idx(array, i);

		g_tree_insert(index, (gpointer)element_name(element), element);
	}
	return index;
}

/* State of a traversal of one section of before or after. */
typedef struct {
	json_object *changes;
	const char *section;
	GTree *other_index; /* the section of the other configuration */
	gboolean is_before; /* TRUE while elements of before are visited */
} section_diff_t;

static void add_change(section_diff_t *diff, const char *change,
		       const char *name)
{
	json_object *row = json_object_new_object();
	char *object = g_strdup_printf("%s/%s", diff->section, name);

	json_object_object_add(row, "change", json_object_new_string(change));
	json_object_object_add(row, "object", json_object_new_string(object));
	json_object_array_add(diff->changes, row);
	g_free(object);
}

static gboolean compare_element(gpointer name, gpointer element, gpointer user)
{
	section_diff_t *diff = user;
	json_object *other = g_tree_lookup(diff->other_index, name);

	if (diff->is_before && !other)
		add_change(diff, "removed", name);
	else if (!diff->is_before && !other)
		add_change(diff, "added", name);
	else if (!diff->is_before && !json_object_equal(element, other))
		add_change(diff, "changed", name);
	return FALSE;
}

json_object *sr_config_diff(json_object *before, json_object *after)
{
	json_object *changes = json_object_new_array();

	for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
		GTree *old = index_section(before, sections[i]);
		GTree *new = index_section(after, sections[i]);
		section_diff_t added = { changes, sections[i], old, FALSE };
		section_diff_t removed = { changes, sections[i], new, TRUE };

		g_tree_foreach(new, compare_element, &added);
		g_tree_foreach(old, compare_element, &removed);
		g_tree_unref(old);
		g_tree_unref(new);
	}
	return changes;
}
