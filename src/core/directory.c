#include "core/directory.h"

#include <string.h>

#define PREFIX "entry/"
/** Wait after an entry could not be written. */
#define RETRY_DELAY (5 * SR_SEC)

struct sr_directory {
	sr_directory_options_t options;
	char *key; /* of the own entry */
	char *node;
	char *own_prefix; /* of the entries of the own failure domain */
	gboolean writing;
	gboolean listing;
	gboolean sweeps;
	gboolean left;
	sr_usec_t next_write;
	sr_usec_t next_list;
	sr_usec_t next_sweep;
	sr_usec_t now;
	GHashTable *missing; /* keys whose nodes the last sweep saw gone */
};

static void submit(sr_directory_t *directory, sr_store_op_t op, const char *key,
		   const char *after, sr_store_fn done)
{
	GBytes *empty = g_bytes_new_static("", 0);
	const sr_store_call_t call = {
		.op = op,
		.class = SR_STORE_STATUS,
		.key = key,
		.after = after,
		.value = op == SR_STORE_CREATE ? empty : NULL,
		.done = done,
		.user = directory,
	};

	sr_store_submit(directory->options.store, &call);
	g_bytes_unref(empty);
}

static void on_written(void *user, const sr_store_reply_t *reply)
{
	sr_directory_t *directory = user;
	gboolean is_there = reply->status == SR_STORE_OK ||
			    reply->status == SR_STORE_CONFLICT;

	directory->writing = FALSE;
	directory->next_write =
		directory->now +
		(is_there ? SR_DIRECTORY_INTERVAL : RETRY_DELAY);
}

static void on_removed(void *user, const sr_store_reply_t *reply)
{
	/* what was not removed is seen again by the next sweep */
}

/* Removes an entry that was seen without its node twice in a row. */
static void sweep_entry(sr_directory_t *directory, const char *key,
			const char *node)
{
	if (!g_str_has_prefix(key, directory->own_prefix))
		return;
	if (directory->options.is_live(directory->options.user, node)) {
		g_hash_table_remove(directory->missing, key);
	} else if (!g_hash_table_add(directory->missing, g_strdup(key))) {
		g_hash_table_remove(directory->missing, key);
		submit(directory, SR_STORE_DELETE, key, NULL, on_removed);
	}
}

static void take_entry(sr_directory_t *directory, const char *key)
{
	/* "entry", failure domain, node, address */
	char **parts = g_strsplit(key, "/", 4);

	if (g_strv_length(parts) == 4 && strcmp(key, directory->key) != 0) {
		directory->options.found(directory->options.user, parts[3]);
		if (directory->sweeps)
			sweep_entry(directory, key, parts[2]);
	}
	g_strfreev(parts);
}

static void on_listed(void *user, const sr_store_reply_t *reply)
{
	sr_directory_t *directory = user;
	const sr_store_entry_t *last;

	directory->listing = FALSE;
	if (reply->status != SR_STORE_OK || !reply->list)
		return;
	for (guint i = 0; i < reply->list->len; i++) {
		const sr_store_entry_t *entry =
			g_ptr_array_index(reply->list, i);

		take_entry(directory, entry->key);
	}
	if (!reply->more || reply->list->len == 0)
		return;
	last = g_ptr_array_index(reply->list, reply->list->len - 1);
	directory->listing = TRUE;
	submit(directory, SR_STORE_LIST, PREFIX, last->key, on_listed);
}

static void list_entries(sr_directory_t *directory)
{
	directory->listing = TRUE;
	submit(directory, SR_STORE_LIST, PREFIX, NULL, on_listed);
}

sr_directory_t *sr_directory_new(const sr_directory_options_t *options)
{
	sr_directory_t *directory = g_new0(sr_directory_t, 1);

	directory->options = *options;
	directory->node = g_strdup(options->node);
	directory->own_prefix =
		g_strdup_printf(PREFIX "%s/", options->failure_domain);
	directory->key = g_strdup_printf("%s%s/%s", directory->own_prefix,
					 options->node, options->address);
	directory->missing =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return directory;
}

void sr_directory_free(sr_directory_t *directory)
{
	if (!directory)
		return;
	sr_store_cancel_all(directory->options.store, directory);
	g_hash_table_destroy(directory->missing);
	g_free(directory->key);
	g_free(directory->node);
	g_free(directory->own_prefix);
	g_free(directory);
}

void sr_directory_tick(sr_directory_t *directory, sr_usec_t now, gboolean alone,
		       gboolean sweeps)
{
	directory->now = now;
	if (!directory->writing && !directory->left &&
	    now >= directory->next_write) {
		directory->writing = TRUE;
		submit(directory, SR_STORE_CREATE, directory->key, NULL,
		       on_written);
	}
	if (directory->listing)
		return;
	directory->sweeps = sweeps && now >= directory->next_sweep;
	if (directory->sweeps)
		directory->next_sweep = now + SR_DIRECTORY_INTERVAL;
	if (directory->sweeps || (alone && now >= directory->next_list)) {
		directory->next_list = now + SR_DIRECTORY_ALONE;
		list_entries(directory);
	}
}

void sr_directory_leave(sr_directory_t *directory)
{
	directory->left = TRUE;
	submit(directory, SR_STORE_DELETE, directory->key, NULL, on_removed);
}
