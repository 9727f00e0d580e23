#include "core/directory.h"

#include <string.h>

#define KEY_PREFIX "entry/"

/* Delay before a failed write of this node's entry is retried. */
#define WRITE_RETRY_DELAY (5 * SR_SEC)

struct sr_directory {
	sr_directory_options_t options;
	char *own_key;
	char *node;
	char *domain_prefix; /* of the keys of this failure domain */
	gboolean writing;
	gboolean listing;
	gboolean sweeping; /* the pending listing is a sweep */
	gboolean has_left;
	sr_usec_t next_write;
	sr_usec_t next_list;
	sr_usec_t next_sweep;
	sr_usec_t now;
	GHashTable *missing; /* keys without a live node in the last sweep */
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
	gboolean entry_exists = reply->status == SR_STORE_OK ||
				reply->status == SR_STORE_CONFLICT;

	directory->writing = FALSE;
	directory->next_write =
		directory->now + (entry_exists ? SR_DIRECTORY_REFRESH_INTERVAL :
						 WRITE_RETRY_DELAY);
}

static void on_removed(void *user, const sr_store_reply_t *reply)
{
	/* an entry that remains is deleted by a later sweep */
}

/* Deletes an entry whose node was not live in two consecutive sweeps. */
static void sweep_entry(sr_directory_t *directory, const char *key,
			const char *node)
{
	if (!g_str_has_prefix(key, directory->domain_prefix))
		return;
	if (directory->options.is_live(directory->options.user, node)) {
		g_hash_table_remove(directory->missing, key);
	} else if (!g_hash_table_add(directory->missing, g_strdup(key))) {
		g_hash_table_remove(directory->missing, key);
		submit(directory, SR_STORE_DELETE, key, NULL, on_removed);
	}
}

static void handle_entry(sr_directory_t *directory, const char *key)
{
	/* "entry/DOMAIN/NODE/ADDRESS" */
	char **parts = g_strsplit(key, "/", 4);

	if (g_strv_length(parts) == 4 && strcmp(key, directory->own_key) != 0) {
		directory->options.entry_found(directory->options.user,
					       parts[3]);
		if (directory->sweeping)
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

		handle_entry(directory, entry->key);
	}
	if (!reply->more || reply->list->len == 0)
		return;
	last = g_ptr_array_index(reply->list, reply->list->len - 1);
	directory->listing = TRUE;
	submit(directory, SR_STORE_LIST, KEY_PREFIX, last->key, on_listed);
}

static void list_entries(sr_directory_t *directory)
{
	directory->listing = TRUE;
	submit(directory, SR_STORE_LIST, KEY_PREFIX, NULL, on_listed);
}

sr_directory_t *sr_directory_new(const sr_directory_options_t *options)
{
	sr_directory_t *directory = g_new0(sr_directory_t, 1);

	directory->options = *options;
	directory->node = g_strdup(options->node);
	directory->domain_prefix =
		g_strdup_printf(KEY_PREFIX "%s/", options->failure_domain);
	directory->own_key =
		g_strdup_printf("%s%s/%s", directory->domain_prefix,
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
	g_free(directory->own_key);
	g_free(directory->node);
	g_free(directory->domain_prefix);
	g_free(directory);
}

void sr_directory_tick(sr_directory_t *directory, sr_usec_t now,
		       gboolean isolated, gboolean may_sweep)
{
	directory->now = now;
	if (!directory->writing && !directory->has_left &&
	    now >= directory->next_write) {
		directory->writing = TRUE;
		submit(directory, SR_STORE_CREATE, directory->own_key, NULL,
		       on_written);
	}
	if (directory->listing)
		return;
	directory->sweeping = may_sweep && now >= directory->next_sweep;
	if (directory->sweeping)
		directory->next_sweep = now + SR_DIRECTORY_REFRESH_INTERVAL;
	if (directory->sweeping || (isolated && now >= directory->next_list)) {
		directory->next_list = now + SR_DIRECTORY_LIST_INTERVAL;
		list_entries(directory);
	}
}

void sr_directory_leave(sr_directory_t *directory)
{
	directory->has_left = TRUE;
	submit(directory, SR_STORE_DELETE, directory->own_key, NULL,
	       on_removed);
}
