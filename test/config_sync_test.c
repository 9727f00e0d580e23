#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "core/config_sync.h"
#include "core/config_sync_object.h"
#include "core/config_sync_parts.h"

/* The brief's plan: bytes a second for a node, and changes a day. */
#define NODE_BYTES_PER_S (9 * 1024)
#define CHANGES_PER_DAY 24000
#define SERVICES 1000

typedef struct {
	sr_store_t store; /* keeps the watch, answers nothing by itself */
	sr_store_call_t watch;
	sr_config_sync_t *sync;
	sr_config_sync_t *peer; /* that serves fetches */
	GBytes *forged;		/* served in place of any manifest */
	sr_config_fetch_fn fetched;
	void *fetch_user;
	char *key;
	guint64 generation;
	char *text;
	guint64 announced;
	guint8 digest[SR_CONFIG_DIGEST_SIZE];
	unsigned calls;
	sr_usec_t now;
} node_t;

static void on_submit(sr_store_t *store, const sr_store_call_t *call)
{
	node_t *node = (node_t *)store;

	node->calls++;
	if (call->op == SR_STORE_WATCH)
		node->watch = *call;
}

static void on_cancel(sr_store_t *store, void *user)
{
}

static void on_fetch(void *user, const char *key, sr_config_fetch_fn done,
		     void *done_user)
{
	node_t *node = user;

	node->fetched = done;
	node->fetch_user = done_user;
	g_free(node->key);
	node->key = g_strdup(key);
}

static void on_cancel_fetches(void *user, void *done_user)
{
}

static void on_in_force(void *user, const char *text, gsize size,
			guint64 generation)
{
	node_t *node = user;

	node->generation = generation;
	g_free(node->text);
	node->text = g_strndup(text, size);
}

static void on_announce(void *user, guint64 generation, const guint8 *digest,
			gsize size)
{
	node_t *node = user;

	node->announced = generation;
	memcpy(node->digest, digest, size);
}

static void start(node_t *node, const char *name)
{
	sr_config_sync_options_t options = {
		.store = &node->store,
		.node = name,
		.seed = 1,
		.fetch = on_fetch,
		.cancel_fetches = on_cancel_fetches,
		.in_force = on_in_force,
		.announce = on_announce,
		.user = node,
	};

	memset(node, 0, sizeof(*node));
	node->store.submit = on_submit;
	node->store.cancel_all = on_cancel;
	node->sync = sr_config_sync_new(&options, 0);
}

static void stop(node_t *node)
{
	sr_config_sync_free(node->sync);
	g_free(node->key);
	g_free(node->text);
	g_clear_pointer(&node->forged, g_bytes_unref);
}

/* Brings a text into force at a node that the platform answered. */
static void take(node_t *node, guint64 generation, const char *text)
{
	GBytes *value;
	sr_store_reply_t reply = { .status = SR_STORE_OK };
	sr_config_object_t object = { .generation = generation,
				      .writes = { 1 },
				      .n_writes = 1,
				      .text = text,
				      .size = strlen(text) };

	value = sr_config_object_encode(&object);
	reply.version = generation * 10;
	reply.value = value;
	node->now += SR_SEC;
	sr_config_sync_tick(node->sync, node->now);
	node->watch.done(node->watch.user, &reply);
	g_bytes_unref(value);
}

/* Answers fetches until there is none or some failed. */
static void serve(node_t *node, unsigned most)
{
	for (unsigned i = 0; i < most; i++) {
		sr_config_fetch_fn fetched;
		GBytes *value;

		node->now += SR_SEC;
		sr_config_sync_tick(node->sync, node->now);
		fetched = g_steal_pointer(&node->fetched);
		if (!fetched)
			continue;
		if (node->forged && g_str_has_prefix(node->key, "manifest"))
			value = g_bytes_ref(node->forged);
		else
			value = sr_config_sync_serve(node->peer, node->key);
		fetched(node->fetch_user, value);
		g_clear_pointer(&value, g_bytes_unref);
		if (node->generation)
			return;
	}
}

static char *big_text(unsigned changed)
{
	GString *text = g_string_new("{\n");

	for (unsigned i = 0; i < SERVICES; i++)
		g_string_append_printf(
			text,
			"\t\"service-%u\": {\n\t\t\"kind\": \"plain\",\n"
			"\t\t\"path\": \"/service/%u\",\n"
			"\t\t\"soak_s\": %u,\n\t\t\"versions\": [\n"
			"\t\t\t{ \"name\": \"v%u\", \"share\": 1 }\n\t\t]\n"
			"\t},\n",
			i, i, i == changed ? 999 : 60, i % 7);
	g_string_append(text, "}\n");
	return g_string_free(text, FALSE);
}

static void test_fresh_node_takes_what_peers_hold(void **state)
{
	char *text = big_text(0);
	node_t old;
	node_t fresh;

	start(&old, "old");
	start(&fresh, "fresh");
	take(&old, 7, text);
	fresh.peer = old.sync;
	sr_config_sync_heard(fresh.sync, old.announced, old.digest,
			     sizeof(old.digest));
	serve(&fresh, 1000);
	assert_int_equal(fresh.generation, 7);
	assert_string_equal(fresh.text, text);
	assert_memory_equal(fresh.digest, old.digest, sizeof(old.digest));
	g_free(text);
	stop(&old);
	stop(&fresh);
}

/* A peer that puts a new number on an old copy. */
static void test_forged_manifest_is_not_taken(void **state)
{
	node_t old;
	node_t newer;
	node_t fresh;
	sr_part_list_t *list;
	GBytes *text = g_bytes_new_static("old text\n", 9);
	GHashTable *parts =
		g_hash_table_new_full(sr_hash_hash, sr_hash_equal, g_free,
				      (GDestroyNotify)g_bytes_unref);

	start(&old, "old");
	start(&newer, "newer");
	start(&fresh, "fresh");
	take(&old, 1, "old text\n");
	take(&newer, 2, "new text\n");
	fresh.peer = old.sync;
	list = sr_parts_split(text, 2, 20, parts);
	fresh.forged = sr_part_list_encode(list);
	sr_config_sync_heard(fresh.sync, newer.announced, newer.digest,
			     sizeof(newer.digest));
	serve(&fresh, 20);
	assert_int_equal(fresh.generation, 0);
	assert_true(sr_config_sync_stats(fresh.sync)->bad_parts > 0);
	g_clear_pointer(&fresh.forged, g_bytes_unref);
	fresh.peer = newer.sync;
	serve(&fresh, 200);
	assert_string_equal(fresh.text, "new text\n");
	sr_part_list_free(list);
	g_hash_table_unref(parts);
	g_bytes_unref(text);
	stop(&old);
	stop(&newer);
	stop(&fresh);
}

static void test_older_rumours_and_copies_change_nothing(void **state)
{
	node_t node;

	start(&node, "node");
	take(&node, 5, "five");
	take(&node, 4, "four");
	assert_int_equal(node.generation, 5);
	assert_string_equal(node.text, "five");
	sr_config_sync_heard(node.sync, 4, node.digest, sizeof(node.digest));
	sr_config_sync_tick(node.sync, node.now + SR_SEC);
	assert_null(node.fetched);
	stop(&node);
}

static void test_a_change_moves_few_bytes(void **state)
{
	char *first = big_text(0);
	char *second = big_text(SERVICES / 2);
	node_t old;
	node_t node;
	guint64 before;
	guint64 moved;

	start(&old, "old");
	start(&node, "node");
	take(&old, 1, first);
	take(&node, 1, first);
	take(&old, 2, second);
	node.peer = old.sync;
	node.generation = 0;
	before = sr_config_sync_stats(node.sync)->bytes_from_peers;
	sr_config_sync_heard(node.sync, 2, old.digest, sizeof(old.digest));
	serve(&node, 1000);
	assert_int_equal(node.generation, 2);
	assert_string_equal(node.text, second);
	moved = sr_config_sync_stats(node.sync)->bytes_from_peers - before;
	print_message("%zu bytes of text, %u bytes moved\n", strlen(second),
		      (unsigned)moved);
	assert_true(moved * CHANGES_PER_DAY / 86400 < NODE_BYTES_PER_S);
	g_free(first);
	g_free(second);
	stop(&old);
	stop(&node);
}

static void test_nodes_agree_on_the_watchers(void **state)
{
	static const char *const names[] = { "a", "b", "c", "d", "e" };
	unsigned watchers = 0;

	for (unsigned i = 0; i < G_N_ELEMENTS(names); i++) {
		node_t node;

		start(&node, names[i]);
		sr_config_sync_set_members(node.sync, names,
					   G_N_ELEMENTS(names));
		watchers += sr_config_sync_is_watcher(node.sync);
		sr_config_sync_set_members(node.sync, NULL, 0);
		assert_true(sr_config_sync_is_watcher(node.sync));
		stop(&node);
	}
	assert_int_equal(watchers, SR_CONFIG_WATCHERS);
}

static void test_object_remembers_who_wrote(void **state)
{
	sr_config_object_t object = { .generation = 9,
				      .writes = { 90, 80 },
				      .n_writes = 2,
				      .text = "text\n",
				      .size = 5 };
	sr_config_object_t read;
	GBytes *value = sr_config_object_encode(&object);
	GBytes *bad = g_bytes_new_static("{\"generation\": -1}\n", 19);

	assert_true(sr_config_object_decode(value, &read));
	assert_int_equal(read.generation, 9);
	assert_memory_equal(read.text, "text\n", 5);
	assert_int_equal(sr_config_object_owner(&read, 8, 80), SR_WRITE_OURS);
	assert_int_equal(sr_config_object_owner(&read, 8, 90), SR_WRITE_OTHER);
	assert_int_equal(sr_config_object_owner(&read, 7, 90),
			 SR_WRITE_TOO_OLD);
	assert_false(sr_config_object_decode(bad, &read));
	g_bytes_unref(value);
	g_bytes_unref(bad);
}

/* An answer of the platform that was slow comes after a newer one. */
static void test_slow_answer_of_the_platform_changes_nothing(void **state)
{
	node_t node;

	start(&node, "a");
	take(&node, 5, "newer\n");
	assert_int_equal(node.generation, 5);
	take(&node, 3, "older\n");
	assert_int_equal(node.generation, 5);
	assert_string_equal(node.text, "newer\n");
	take(&node, 6, "newest\n");
	assert_int_equal(node.generation, 6);
	stop(&node);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_fresh_node_takes_what_peers_hold),
		cmocka_unit_test(test_forged_manifest_is_not_taken),
		cmocka_unit_test(test_older_rumours_and_copies_change_nothing),
		cmocka_unit_test(
			test_slow_answer_of_the_platform_changes_nothing),
		cmocka_unit_test(test_a_change_moves_few_bytes),
		cmocka_unit_test(test_nodes_agree_on_the_watchers),
		cmocka_unit_test(test_object_remembers_who_wrote),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
