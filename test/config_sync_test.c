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

/* Traffic allowed for a node, and the planned rate of configuration changes. */
#define NODE_BYTES_PER_S_MAX (9 * 1024)
#define CHANGES_PER_DAY 24000
#define N_SERVICES 1000

typedef struct {
	sr_store_t store;      /* first member; sends no replies */
	sr_store_call_t watch; /* the latest watch call */
	sr_config_sync_t *sync;
	sr_config_sync_t *peer;	       /* source of fetched values */
	GBytes *forged_manifest;       /* returned for every manifest if set */
	sr_config_fetch_fn fetch_done; /* NULL if no fetch is pending */
	void *fetch_user;
	char *key;			      /* of the latest fetch */
	guint64 generation;		      /* of the text applied last */
	char *text;			      /* applied last */
	guint64 announced;		      /* generation announced last */
	guint8 digest[SR_CONFIG_DIGEST_SIZE]; /* announced with it */
	unsigned calls;			      /* to the store */
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

	node->fetch_done = done;
	node->fetch_user = done_user;
	g_free(node->key);
	node->key = g_strdup(key);
}

static void on_cancel_fetches(void *user, void *done_user)
{
}

static void on_apply(void *user, const char *text, gsize size,
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

static void start_node(node_t *node, const char *name)
{
	sr_config_sync_options_t options = {
		.store = &node->store,
		.node = name,
		.seed = 1,
		.fetch = on_fetch,
		.cancel_fetches = on_cancel_fetches,
		.apply = on_apply,
		.announce = on_announce,
		.user = node,
	};

	memset(node, 0, sizeof(*node));
	node->store.submit = on_submit;
	node->store.cancel_all = on_cancel;
	node->sync = sr_config_sync_new(&options, 0);
}

static void stop_node(node_t *node)
{
	sr_config_sync_free(node->sync);
	g_free(node->key);
	g_free(node->text);
	g_clear_pointer(&node->forged_manifest, g_bytes_unref);
}

/* Answers the watch of a node with an object of the platform. */
static void deliver_from_platform(node_t *node, guint64 generation,
				  const char *text)
{
	GBytes *value;
	sr_store_reply_t reply = { .status = SR_STORE_OK };
	sr_config_object_t object = { .generation = generation,
				      .write_ids = { 1 },
				      .n_write_ids = 1,
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

/* Answers fetches with the values of the peer, one per simulated second, until
 * a text is applied or the rounds are used up. */
static void answer_fetches(node_t *node, unsigned rounds)
{
	for (unsigned i = 0; i < rounds; i++) {
		sr_config_fetch_fn fetch_done;
		GBytes *value;

		node->now += SR_SEC;
		sr_config_sync_tick(node->sync, node->now);
		fetch_done = g_steal_pointer(&node->fetch_done);
		if (!fetch_done)
			continue;
		if (node->forged_manifest &&
		    g_str_has_prefix(node->key, "manifest"))
			value = g_bytes_ref(node->forged_manifest);
		else
			value = sr_config_sync_serve(node->peer, node->key);
		fetch_done(node->fetch_user, value);
		g_clear_pointer(&value, g_bytes_unref);
		if (node->generation)
			return;
	}
}

/* Returns a configuration-like text in which one service has another soak_s. */
static char *new_large_text(unsigned changed_service)
{
	GString *text = g_string_new("{\n");

	for (unsigned i = 0; i < N_SERVICES; i++)
		g_string_append_printf(
			text,
			"\t\"service-%u\": {\n\t\t\"kind\": \"plain\",\n"
			"\t\t\"path\": \"/service/%u\",\n"
			"\t\t\"soak_s\": %u,\n\t\t\"versions\": [\n"
			"\t\t\t{ \"name\": \"v%u\", \"share\": 1 }\n\t\t]\n"
			"\t},\n",
			i, i, i == changed_service ? 999 : 60, i % 7);
	g_string_append(text, "}\n");
	return g_string_free(text, FALSE);
}

static void test_new_node_fetches_from_peers(void **state)
{
	char *text = new_large_text(0);
	node_t old;
	node_t fresh;

	start_node(&old, "old");
	start_node(&fresh, "fresh");
	deliver_from_platform(&old, 7, text);
	fresh.peer = old.sync;
	sr_config_sync_rumour_received(fresh.sync, old.announced, old.digest,
				       sizeof(old.digest));
	answer_fetches(&fresh, 1000);
	assert_int_equal(fresh.generation, 7);
	assert_string_equal(fresh.text, text);
	assert_memory_equal(fresh.digest, old.digest, sizeof(old.digest));
	g_free(text);
	stop_node(&old);
	stop_node(&fresh);
}

/* A peer can list old parts in a manifest with the number of a new generation.
 * Such a manifest does not match the hash in the rumour. */
static void test_forged_manifest_is_rejected(void **state)
{
	node_t old;
	node_t newer;
	node_t fresh;
	sr_config_manifest_t *manifest;
	GBytes *text = g_bytes_new_static("old text\n", 9);
	GHashTable *parts =
		g_hash_table_new_full(sr_hash_hash, sr_hash_equal, g_free,
				      (GDestroyNotify)g_bytes_unref);

	start_node(&old, "old");
	start_node(&newer, "newer");
	start_node(&fresh, "fresh");
	deliver_from_platform(&old, 1, "old text\n");
	deliver_from_platform(&newer, 2, "new text\n");
	fresh.peer = old.sync;
	manifest = sr_parts_split(text, 2, 20, parts);
	fresh.forged_manifest = sr_config_manifest_encode(manifest);
	sr_config_sync_rumour_received(fresh.sync, newer.announced,
				       newer.digest, sizeof(newer.digest));
	answer_fetches(&fresh, 20);
	assert_int_equal(fresh.generation, 0);
	assert_true(sr_config_sync_stats(fresh.sync)->hash_mismatches > 0);
	g_clear_pointer(&fresh.forged_manifest, g_bytes_unref);
	fresh.peer = newer.sync;
	answer_fetches(&fresh, 200);
	assert_string_equal(fresh.text, "new text\n");
	sr_config_manifest_free(manifest);
	g_hash_table_unref(parts);
	g_bytes_unref(text);
	stop_node(&old);
	stop_node(&newer);
	stop_node(&fresh);
}

static void test_older_generations_are_ignored(void **state)
{
	node_t node;

	start_node(&node, "node");
	deliver_from_platform(&node, 5, "five");
	deliver_from_platform(&node, 4, "four");
	assert_int_equal(node.generation, 5);
	assert_string_equal(node.text, "five");
	sr_config_sync_rumour_received(node.sync, 4, node.digest,
				       sizeof(node.digest));
	sr_config_sync_tick(node.sync, node.now + SR_SEC);
	assert_null(node.fetch_done);
	stop_node(&node);
}

static void test_change_fits_traffic_budget(void **state)
{
	char *first = new_large_text(0);
	char *second = new_large_text(N_SERVICES / 2);
	node_t old;
	node_t node;
	guint64 before;
	guint64 fetched_bytes;

	start_node(&old, "old");
	start_node(&node, "node");
	deliver_from_platform(&old, 1, first);
	deliver_from_platform(&node, 1, first);
	deliver_from_platform(&old, 2, second);
	node.peer = old.sync;
	node.generation = 0;
	before = sr_config_sync_stats(node.sync)->bytes_from_peers;
	sr_config_sync_rumour_received(node.sync, 2, old.digest,
				       sizeof(old.digest));
	answer_fetches(&node, 1000);
	assert_int_equal(node.generation, 2);
	assert_string_equal(node.text, second);
	fetched_bytes =
		sr_config_sync_stats(node.sync)->bytes_from_peers - before;
	print_message("%zu bytes of text, %u bytes fetched\n", strlen(second),
		      (unsigned)fetched_bytes);
	assert_true(fetched_bytes * CHANGES_PER_DAY / 86400 <
		    NODE_BYTES_PER_S_MAX);
	g_free(first);
	g_free(second);
	stop_node(&old);
	stop_node(&node);
}

static void test_nodes_agree_on_watchers(void **state)
{
	static const char *const names[] = { "a", "b", "c", "d", "e" };
	unsigned watchers = 0;

	for (unsigned i = 0; i < G_N_ELEMENTS(names); i++) {
		node_t node;

		start_node(&node, names[i]);
		sr_config_sync_set_members(node.sync, names,
					   G_N_ELEMENTS(names));
		watchers += sr_config_sync_is_watcher(node.sync);
		sr_config_sync_set_members(node.sync, NULL, 0);
		assert_true(sr_config_sync_is_watcher(node.sync));
		stop_node(&node);
	}
	assert_int_equal(watchers, SR_CONFIG_WATCHERS);
}

static void test_object_records_write_ids(void **state)
{
	sr_config_object_t object = { .generation = 9,
				      .write_ids = { 90, 80 },
				      .n_write_ids = 2,
				      .text = "text\n",
				      .size = 5 };
	sr_config_object_t read;
	GBytes *value = sr_config_object_encode(&object);
	GBytes *bad = g_bytes_new_static("{\"generation\": -1}\n", 19);

	assert_true(sr_config_object_decode(value, &read));
	assert_int_equal(read.generation, 9);
	assert_memory_equal(read.text, "text\n", 5);
	assert_int_equal(sr_config_object_find_write(&read, 8, 80),
			 SR_WRITE_FOUND);
	assert_int_equal(sr_config_object_find_write(&read, 8, 90),
			 SR_WRITE_NOT_FOUND);
	assert_int_equal(sr_config_object_find_write(&read, 7, 90),
			 SR_WRITE_EXPIRED);
	assert_false(sr_config_object_decode(bad, &read));
	g_bytes_unref(value);
	g_bytes_unref(bad);
}

/* A slow reply of the platform can arrive after one with a newer generation. */
static void test_late_platform_reply_is_ignored(void **state)
{
	node_t node;

	start_node(&node, "a");
	deliver_from_platform(&node, 5, "newer\n");
	assert_int_equal(node.generation, 5);
	deliver_from_platform(&node, 3, "older\n");
	assert_int_equal(node.generation, 5);
	assert_string_equal(node.text, "newer\n");
	deliver_from_platform(&node, 6, "newest\n");
	assert_int_equal(node.generation, 6);
	stop_node(&node);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_new_node_fetches_from_peers),
		cmocka_unit_test(test_forged_manifest_is_rejected),
		cmocka_unit_test(test_older_generations_are_ignored),
		cmocka_unit_test(test_late_platform_reply_is_ignored),
		cmocka_unit_test(test_change_fits_traffic_budget),
		cmocka_unit_test(test_nodes_agree_on_watchers),
		cmocka_unit_test(test_object_records_write_ids),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
