#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "core/recall.h"

/* A node whose store never replies; its rumours are delivered to its peer. */
typedef struct node {
	sr_store_t store;
	sr_recall_t *recall;
	struct node *peer; /* NULL: rumours are dropped */
	unsigned n_recalled;
	unsigned n_writes;
	char *version;
} node_t;

static void on_submit(sr_store_t *store, const sr_store_call_t *call)
{
	(void)call;
	((node_t *)store)->n_writes++;
}

static void on_cancel(sr_store_t *store, void *user)
{
	(void)store;
	(void)user;
}

static void on_recalled(void *user, const char *service, const char *version,
			const char *reason)
{
	node_t *node = user;

	(void)service;
	(void)reason;
	node->n_recalled++;
	g_free(node->version);
	node->version = g_strdup(version);
}

static void on_publish(void *user, const char *key, guint64 version,
		       const char *reason)
{
	const node_t *node = user;

	if (node->peer)
		sr_recall_receive(node->peer->recall, SR_SEC, key, version,
				  (const guint8 *)reason, strlen(reason));
}

static void node_init(node_t *node)
{
	const sr_recall_options_t options = {
		.store = &node->store,
		.seed = 1,
		.recalled = on_recalled,
		.publish = on_publish,
		.user = node,
	};

	memset(node, 0, sizeof(*node));
	node->store.submit = on_submit;
	node->store.cancel_all = on_cancel;
	node->recall = sr_recall_new(&options);
}

static void node_clear(node_t *node)
{
	sr_recall_free(node->recall);
	g_free(node->version);
}

/* Neither node reaches the store, so that only the rumour can arrive. */
static void test_recall_spreads_without_the_store(void **state)
{
	node_t a;
	node_t b;

	(void)state;
	node_init(&a);
	node_init(&b);
	a.peer = &b;
	sr_recall_add(a.recall, SR_SEC, "s", "v2", "fails");
	assert_int_equal(a.n_recalled, 1);
	assert_int_equal(b.n_recalled, 1);
	assert_string_equal(b.version, "v2");
	sr_recall_add(a.recall, 2 * SR_SEC, "s", "v2", "fails");
	assert_int_equal(b.n_recalled, 1);
	node_clear(&a);
	node_clear(&b);
}

/* A receiver writes the recall as well, in case its issuer has failed. */
static void test_receiver_writes_unstored_recall(void **state)
{
	node_t a;

	(void)state;
	node_init(&a);
	sr_recall_receive(a.recall, SR_SEC, "s/v2", 1, (const guint8 *)"x", 1);
	for (int i = 2; i < 60; i++)
		sr_recall_tick(a.recall, i * SR_SEC);
	assert_true(a.n_writes > 0);
	assert_false(sr_recall_is_stored(a.recall, "s", "v2"));
	node_clear(&a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_recall_spreads_without_the_store),
		cmocka_unit_test(test_receiver_writes_unstored_recall),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
