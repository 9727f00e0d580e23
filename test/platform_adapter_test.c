#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <libsoup/soup.h>

#include "base/fields.h"
#include "dialect.h"
#include "era.h"
#include "feed.h"
#include "json.h"
#include "json_entries.h"
#include "manifest.h"
#include "registry.h"
#include "settings.h"
#include "store.h"

static GBytes *bytes_of(const char *text)
{
	return g_bytes_new(text, strlen(text));
}

/* Manifest: the operator's configuration. */

static void test_manifest(void **state)
{
	GBytes *text = bytes_of(
		"{\"version\":7,\"route_table\":[{\"name\":\"r\",\"host\":"
		"\"A.example\",\"path_prefix\":\"/x/\",\"kind\":\"streaming\","
		"\"timeout_ms\":8000,\"target_latency_ms\":800,\"priority\":1,"
		"\"weighted_services\":[{\"service\":\"a\",\"weight\":90},"
		"{\"service\":\"b\",\"weight\":10}],\"max_attempts\":2,"
		"\"public\":false,\"resumable\":true,\"gap_target_ms\":600},"
		"{\"host\":\"b\",\"path_prefix\":\"/\",\"kind\":\"novel\"}],"
		"\"services\":[{\"name\":\"a\",\"engine\":{\"slots\":128,"
		"\"kv_capacity_tokens\":857000},\"scaling\":{\"min\":1,\"max\":"
		"6,\"boot_s\":4.0,\"spot_price\":0.15,\"zone_prices\":{\"z\":"
		"0.8}}}],\"limits\":{\"max_header_bytes\":16384,"
		"\"header_timeout_ms\":3000},\"tenants\":[{\"name\":\"t\","
		"\"api_keys\":[\"k1\",\"k2\"],\"priority\":1,\"unit\":"
		"\"tokens\",\"uncached_tokens\":200,\"rate_per_s\":306603,"
		"\"burst\":1000}],\"novel\":[1]}");
	sr_route_table_t *table = sr_platform_manifest_decode(text);
	const sr_gateway_route_t *route;
	const sr_gateway_account_t *account;
	const sr_gateway_service_t *service;

	(void)state;
	assert_non_null(table);
	assert_int_equal(table->version, 7);
	assert_int_equal(table->routes->len, 1);
	route = sr_route_table_find_route(table, "a.EXAMPLE", "/x/y");
	assert_non_null(route);
	assert_int_equal(route->kind, SR_ROUTE_STREAM);
	assert_true(route->resumable);
	assert_int_equal(route->timeout, 8 * SR_SEC);
	assert_int_equal(route->event_gap_target, 600 * SR_MSEC);
	assert_string_equal(sr_gateway_route_pick(route, 0.95), "b");
	account = sr_route_table_account_by_key(table, "k2");
	assert_string_equal(account->name, "t");
	assert_true(account->counts_tokens);
	assert_true(account->rate_per_s == 306603);
	service = sr_route_table_service(table, "a");
	assert_true(service->is_engine);
	assert_int_equal(service->scaling->max, 6);
	assert_true(*(double *)g_hash_table_lookup(
			    service->scaling->domain_prices, "z") == 0.8);
	assert_int_equal(table->limits.header_timeout, 3 * SR_SEC);
	assert_true(table->requires_keys);
	sr_route_table_unref(table);
	g_bytes_unref(text);
}

static void test_malformed_manifests_are_rejected(void **state)
{
	static const char *const texts[] = {
		"",
		"[]",
		"{}",
		"{\"version\":\"7\"}",
		"{\"version\":7",
		"{\"version\":-1}",
	};

	(void)state;
	for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
		GBytes *text = bytes_of(texts[i]);

		assert_null(sr_platform_manifest_decode(text));
		g_bytes_unref(text);
	}
}

/* Registry entries. Other programs write them, too, and may write malformed
 * ones. */

#define ENTRY(fields) "{\"spec\":{" fields "}}"
#define VALID_FIELDS                                                    \
	"\"service\":\"a\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\"," \
	"\"version\":\"v1\""

static gboolean decode(const char *text, sr_registration_t *entry)
{
	GBytes *bytes = bytes_of(text);
	json_object *object = sr_platform_json_read(bytes);
	gboolean ok = sr_platform_registration_decode("i", object, 5, entry);

	g_bytes_unref(bytes);
	json_object_put(object);
	return ok;
}

static void test_registry_entries(void **state)
{
	static const char *const invalid[] = {
		"{}",
		ENTRY(VALID_FIELDS),
		ENTRY(VALID_FIELDS ",\"slots\":0,\"state\":\"ready\""),
		ENTRY(VALID_FIELDS ",\"slots\":\"4\",\"state\":\"ready\""),
		ENTRY(VALID_FIELDS ",\"slots\":4,\"state\":\"odd\""),
		ENTRY(VALID_FIELDS ",\"slots\":4,\"state\":1"),
		ENTRY("\"service\":\"a\",\"address\":\"x\",\"zone\":\"z\","
		      "\"version\":\"v1\",\"slots\":4,\"state\":\"ready\""),
		ENTRY("\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		      "\"version\":\"v1\",\"slots\":4,\"state\":\"ready\""),
	};
	sr_registration_t entry;

	(void)state;
	for (gsize i = 0; i < G_N_ELEMENTS(invalid); i++)
		assert_false(decode(invalid[i], &entry));
	assert_true(
		decode(ENTRY(VALID_FIELDS ",\"slots\":4,\"state\":\"draining\","
					  "\"spot\":true,\"leaves_ms\":2500,"
					  "\"born\":1700000000123"),
		       &entry));
	assert_true(entry.draining);
	assert_true(entry.reclaimable);
	assert_int_equal(entry.terminates_in, 2500 * SR_MSEC);
	assert_int_equal(entry.start_unix_ms, 1700000000123);
	assert_int_equal(entry.revision, 5);
}

static void test_prompt_is_read_from_its_headers(void **state)
{
	sr_headers_t *a = sr_headers_new();
	sr_headers_t *b = sr_headers_new();
	sr_prompt_parts_t first = { 0 };
	sr_prompt_parts_t second = { 0 };

	(void)state;
	sr_headers_add(a, "token-usage", "1460,80");
	sr_headers_add(a, "Prefix-Hash", "5c1e:800,91bd:410,e440:250");
	sr_headers_add(b, "Prefix-Hash", "5c1e:800,91bd:410,ffff:9,bad");
	sr_platform_dialect()->parse_prompt(a, &first);
	sr_platform_dialect()->parse_prompt(b, &second);
	assert_true(first.prompt_tokens == 1460 && first.output_tokens == 80);
	assert_int_equal(first.n_blocks, 3);
	assert_int_equal(first.tokens[1], 410);
	assert_int_equal(second.n_blocks, 3);
	assert_true(first.blocks[1] == second.blocks[1]);
	assert_true(first.blocks[2] != second.blocks[2]);
	assert_false(second.is_declared);
	g_free(first.blocks);
	g_free(first.tokens);
	g_free(second.blocks);
	g_free(second.tokens);
	sr_headers_free(a);
	sr_headers_free(b);
}

/* Settings. */

static const char valid_settings[] =
	"// comment\n{\"node\":\"n\",\"failure_domain\":\"z\","
	"\"caller_address\":\"10.0.0.1:80\",\"ready_address\":\"10.0.0.1:81\","
	"\"metrics_address\":\"10.0.0.1:82\",\"peer_address\":"
	"\"10.0.0.1:7600\",\"relay_address\":\"10.0.0.1:7615\",\"peer_seeds\":[\"10.0.0.2:8229\"],"
	"\"store\":{\"address\":\"10.0.0.9:1\",\"writes_per_s\":400,"
	"\"reads_per_s\":2000},\"duties\":{\"address\":\"10.0.0.9:2\","
	"\"names\":[\"usage_report\",\"novel\"],\"calls_per_s\":50},"
	"\"limits\":{\"descriptors\":4100,\"memory_mb\":260},"
	"\"bounds\":{\"stop_ms\":8000,\"retry_ratio\":0.2,\"retry_slack\":58,"
	"\"allowance_window_s\":8,\"allowance_overage\":0.1,"
	"\"allowance_slack\":190000,\"usage_window_s\":5,\"usage_due_s\":10,"
	"\"lease_ms\":3000,\"apply_ms\":4000,\"drain_ms\":2000,"
	"\"exposure_share\":0.1,\"exposure_slack\":50}}";

static void test_settings(void **state)
{
	GPtrArray *findings = sr_findings_new();
	sr_entry_host_settings_t *settings = sr_entry_host_settings_parse(
		valid_settings, strlen(valid_settings), findings);

	(void)state;
	assert_non_null(settings);
	assert_int_equal(findings->len, 0);
	/* the peer port replaces the port of the seed */
	assert_string_equal(settings->peer_seeds->pdata[0], "10.0.0.2:7600");
	assert_true(settings->reports_usage);
	assert_false(settings->orders_instances);
	sr_entry_host_settings_free(settings);
	settings = sr_entry_host_settings_parse("{\"node\":3}", 10, findings);
	assert_null(settings);
	assert_true(findings->len > 3);
	g_ptr_array_unref(findings);
}

/* Fake object store, which returns the bodies that a test has set. */
typedef struct {
	SoupServer *server;
	sr_clock_t *clock;
	sr_platform_t *client;
	sr_object_feed_t *feed;
	unsigned n_requests;
	const char *era;   /* header of all answers; NULL for none */
	GString *events;   /* the feed's reports: "+NAME@REVISION ", "-NAME " */
	const char *list;  /* the body of a list */
	const char *watch; /* the next body of a watch, sent once */
	unsigned watch_status; /* of the next watch; 200 by default */
	gboolean is_down;
	unsigned n_lists;
	guint64 wait_min; /* that watches asked for, in ms; 0 before one */
	guint64 wait_max;
} fake_store_t;

static void note_wait(fake_store_t *store, const char *text)
{
	guint64 wait = g_ascii_strtoull(text, NULL, 10);

	store->wait_max = MAX(store->wait_max, wait);
	store->wait_min = store->wait_min ? MIN(store->wait_min, wait) : wait;
}

static void on_request(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer user)
{
	fake_store_t *store = user;
	const char *body;

	(void)server;
	(void)path;
	store->n_requests++;
	if (store->era)
		soup_message_headers_replace(
			soup_server_message_get_response_headers(message),
			"Store-Era", store->era);
	if (store->is_down) {
		soup_server_message_set_status(message, 503, NULL);
		return;
	}
	if (query && g_hash_table_lookup(query, "watch")) {
		unsigned status = store->watch_status;

		note_wait(store, g_hash_table_lookup(query, "wait_ms"));
		store->watch_status = 200;
		body = store->watch ? store->watch :
				      "{\"events\":[],\"current_rev\":10}";
		store->watch = NULL;
		soup_server_message_set_status(message, status, NULL);
	} else {
		store->n_lists++;
		body = store->list;
		soup_server_message_set_status(message, 200, NULL);
	}
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_COPY, body, strlen(body));
}

static void on_updated(void *user, const char *name, json_object *object,
		       guint64 revision)
{
	(void)object;
	g_string_append_printf(((fake_store_t *)user)->events, "+%s@%u ", name,
			       (unsigned)revision);
}

static void on_removed(void *user, const char *name, guint64 revision)
{
	(void)revision;
	g_string_append_printf(((fake_store_t *)user)->events, "-%s ", name);
}

static void on_listed(void *user)
{
	(void)user;
}

static fake_store_t *fake_store_new(void)
{
	fake_store_t *store = g_new0(fake_store_t, 1);
	sr_platform_options_t client = { .calls_per_s = 1000,
					 .backoff_max = 100 * SR_MSEC,
					 .era_header = SR_STORE_ERA_HEADER };
	sr_object_feed_options_t feed = {
		.kind = "servers",
		.wait = 50 * SR_MSEC,
		.updated = on_updated,
		.removed = on_removed,
		.listed = on_listed,
		.user = store,
	};
	GSList *uris;
	char *address;

	store->list = "{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":"
		      "3}},{\"metadata\":{\"name\":\"b\",\"revision\":4}}],"
		      "\"truncated\":false,\"current_rev\":9}";
	store->watch_status = 200;
	store->events = g_string_new(NULL);
	store->clock = sr_clock_new_real();
	store->server = soup_server_new(NULL, NULL);
	soup_server_add_handler(store->server, NULL, on_request, store, NULL);
	assert_true(soup_server_listen_local(store->server, 0, 0, NULL));
	uris = soup_server_get_uris(store->server);
	address = g_strdup_printf("127.0.0.1:%d", g_uri_get_port(uris->data));
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	client.address = address;
	client.clock = store->clock;
	store->client = sr_platform_new(&client);
	feed.client = store->client;
	feed.clock = store->clock;
	store->feed = sr_object_feed_new(&feed);
	g_free(address);
	return store;
}

static void fake_store_free(fake_store_t *store)
{
	sr_object_feed_free(store->feed);
	sr_platform_free(store->client);
	soup_server_disconnect(store->server);
	g_object_unref(store->server);
	g_string_free(store->events, TRUE);
	sr_clock_free(store->clock);
	g_free(store);
}

static gboolean on_timeout(gpointer data)
{
	*(gboolean *)data = TRUE;
	return G_SOURCE_REMOVE;
}

/* Runs the main loop until the feed's reports contain text or ms have passed.
 */
static gboolean wait_for_events(fake_store_t *store, const char *text,
				unsigned ms)
{
	gboolean timed_out = FALSE;
	guint timer = g_timeout_add(ms, on_timeout, &timed_out);

	while (!timed_out && !strstr(store->events->str, text))
		g_main_context_iteration(NULL, TRUE);
	if (!timed_out)
		g_source_remove(timer);
	return strstr(store->events->str, text) != NULL;
}

static void test_feed_follows_changes(void **state)
{
	fake_store_t *store = fake_store_new();

	(void)state;
	assert_true(wait_for_events(store, "+a@3 +b@4 ", 1000));
	store->watch = "{\"events\":[{\"removed\":false,\"object\":{"
		       "\"metadata\":{\"name\":\"a\",\"revision\":11}}},"
		       "{\"removed\":true,\"object\":{\"metadata\":{\"name\":"
		       "\"b\",\"revision\":12}}}],\"current_rev\":12}";
	assert_true(wait_for_events(store, "+a@11 -b ", 1000));
	fake_store_free(store);
}

static void test_feed_lists_again_after_expired_watch(void **state)
{
	fake_store_t *store = fake_store_new();

	(void)state;
	assert_true(wait_for_events(store, "+b@4 ", 1000));
	store->list = "{\"items\":[{\"metadata\":{\"name\":\"c\","
		      "\"revision\":20}}],\"truncated\":false,"
		      "\"current_rev\":21}";
	store->watch_status = 410;
	assert_true(wait_for_events(store, "+c@20 ", 1000));
	assert_true(wait_for_events(store, "-a ", 1000));
	assert_true(wait_for_events(store, "-b ", 1000));
	fake_store_free(store);
}

/* Guards against hosts whose watches all end at one time after a change, so
 * that none of them finds out early that its connection is dead. */
static void test_watches_end_at_different_times(void **state)
{
	fake_store_t *store = fake_store_new();

	(void)state;
	assert_true(wait_for_events(store, "+b@4 ", 1000));
	assert_false(wait_for_events(store, "-", 300));
	assert_true(store->wait_max <= 50);
	assert_true(store->wait_min >= 25);
	assert_true(store->wait_max - store->wait_min >= 5);
	fake_store_free(store);
}

/* Objects that expire during an outage reappear soon after it, so the feed must
 * not report them as removed. */
static void test_feed_holds_removals_after_an_outage(void **state)
{
	fake_store_t *store = fake_store_new();

	(void)state;
	assert_true(wait_for_events(store, "+b@4 ", 1000));
	store->is_down = TRUE;
	assert_false(wait_for_events(store, "-", 700));
	store->list = "{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":"
		      "30}}],\"truncated\":false,\"current_rev\":30}";
	store->watch = "{\"events\":[{\"removed\":true,\"object\":{"
		       "\"metadata\":{\"name\":\"b\",\"revision\":28}}}],"
		       "\"current_rev\":30}";
	store->is_down = FALSE;
	assert_false(wait_for_events(store, "-", 1500));
	assert_true(wait_for_events(store, "-b ", 2500));
	assert_null(strstr(store->events->str, "-a"));
	fake_store_free(store);
}

typedef struct {
	fake_store_t *watcher;
	fake_store_t *follower;
	unsigned n_before; /* requests of the follower's list */
} feed_pair_t;

static feed_pair_t feed_pair_new(void)
{
	feed_pair_t pair = { .watcher = fake_store_new(),
			     .follower = fake_store_new() };

	assert_true(wait_for_events(pair.watcher, "+b@4 ", 1000));
	assert_true(wait_for_events(pair.follower, "+b@4 ", 1000));
	sr_object_feed_set_role(pair.follower->feed, SR_WATCH_ROLE_FOLLOW);
	pair.n_before = pair.follower->n_requests;
	return pair;
}

static void feed_pair_free(feed_pair_t *pair)
{
	fake_store_free(pair->watcher);
	fake_store_free(pair->follower);
}

static void feed_pair_pass_on(feed_pair_t *pair)
{
	GBytes *changes = sr_object_feed_changes_since(
		pair->watcher->feed,
		sr_object_feed_revision(pair->follower->feed));

	assert_non_null(changes);
	sr_object_feed_apply_changes(pair->follower->feed, changes);
	g_bytes_unref(changes);
}

/* A feed that follows asks the store for nothing after its list, and learns of
 * changes from another host's feed. */
static void test_feed_follows_another_host(void **state)
{
	feed_pair_t pair = feed_pair_new();
	fake_store_t *watcher = pair.watcher;
	fake_store_t *follower = pair.follower;

	(void)state;
	watcher->watch = "{\"events\":[{\"removed\":false,\"object\":{"
			 "\"metadata\":{\"name\":\"a\",\"revision\":11}}},"
			 "{\"removed\":true,\"object\":{\"metadata\":{\"name\":"
			 "\"b\",\"revision\":12}}}],\"current_rev\":12}";
	assert_true(wait_for_events(watcher, "+a@11 -b ", 1000));
	assert_int_equal(sr_object_feed_changed_revision(watcher->feed), 12);
	feed_pair_pass_on(&pair);
	assert_non_null(strstr(follower->events->str, "+a@11 -b "));
	assert_int_equal(sr_object_feed_revision(follower->feed), 12);
	assert_false(wait_for_events(follower, "never", 300));
	assert_int_equal(follower->n_requests, pair.n_before);
	/* a watcher that doesn't have the changes: they are read here */
	assert_null(sr_object_feed_changes_since(watcher->feed, 5));
	sr_object_feed_apply_changes(follower->feed, NULL);
	assert_false(wait_for_events(follower, "never", 300));
	assert_int_equal(follower->n_requests, pair.n_before + 1);
	feed_pair_free(&pair);
}

/* The store drops its history, and the watching feed lists anew. What the list
 * shows reaches the hosts that follow without a call of theirs. */
static void test_feed_passes_on_what_a_list_shows(void **state)
{
	feed_pair_t pair = feed_pair_new();
	fake_store_t *watcher = pair.watcher;
	fake_store_t *follower = pair.follower;

	(void)state;
	watcher->list = "{\"items\":[{\"metadata\":{\"name\":\"a\","
			"\"revision\":3}},{\"metadata\":{\"name\":\"c\","
			"\"revision\":20}}],\"truncated\":false,"
			"\"current_rev\":21}";
	watcher->watch_status = 410;
	assert_true(wait_for_events(watcher, "-b ", 1000));
	feed_pair_pass_on(&pair);
	assert_non_null(strstr(follower->events->str, "+c@20 -b "));
	assert_int_equal(sr_object_feed_revision(follower->feed), 21);
	assert_int_equal(follower->n_requests, pair.n_before);
	feed_pair_free(&pair);
}

/* The store is restored from a copy: revisions go back, and an object that was
 * written since is missing for a while. */
static void test_feed_follows_into_a_later_era(void **state)
{
	fake_store_t *store = fake_store_new();
	guint64 before;

	(void)state;
	assert_true(wait_for_events(store, "+b@4 ", 1000));
	before = sr_object_feed_revision(store->feed);
	store->list = "{\"items\":[{\"metadata\":{\"name\":\"a\","
		      "\"revision\":3}}],\"truncated\":false,"
		      "\"current_rev\":4}";
	store->watch_status = 410;
	store->era = "1";
	g_string_truncate(store->events, 0);
	assert_true(wait_for_events(store, "+a@3 ", 1000));
	assert_true(sr_object_feed_revision(store->feed) > before);
	assert_false(wait_for_events(store, "-b", 1000));
	/* the missing object is written again, at a lower revision */
	store->list = "{\"items\":[{\"metadata\":{\"name\":\"a\","
		      "\"revision\":3}},{\"metadata\":{\"name\":\"b\","
		      "\"revision\":6}}],\"truncated\":false,"
		      "\"current_rev\":6}";
	assert_true(wait_for_events(store, "+b@6 ", 2500));
	assert_false(wait_for_events(store, "-", 300));
	fake_store_free(store);
}

/* An answer of the time before the restore that arrives late must not take
 * anything back. */
static void test_feed_drops_answers_of_an_earlier_era(void **state)
{
	fake_store_t *store = fake_store_new();
	guint64 before;

	(void)state;
	assert_true(wait_for_events(store, "+b@4 ", 1000));
	store->era = "2";
	assert_true(wait_for_events(store, "+b@4 +a@3 +b@4 ", 1000));
	before = sr_object_feed_revision(store->feed);
	store->era = "1";
	store->watch = "{\"events\":[{\"removed\":false,\"object\":{"
		       "\"metadata\":{\"name\":\"late\",\"revision\":99}}}],"
		       "\"current_rev\":99}";
	assert_false(wait_for_events(store, "late", 500));
	assert_true(sr_object_feed_revision(store->feed) >= before);
	fake_store_free(store);
}

static void on_reply(void *user, const sr_store_reply_t *reply)
{
	*(sr_store_reply_t *)user = *reply;
}

static void call_and_wait(sr_object_store_t *objects, sr_store_op_t op,
			  guint64 if_version, sr_store_reply_t *reply)
{
	GBytes *value = bytes_of("v");
	const sr_store_call_t call = {
		.op = op,
		.class = SR_STORE_LEASE,
		.key = "kind/name",
		.value = op == SR_STORE_GET ? NULL : value,
		.if_version = if_version,
		.done = on_reply,
		.user = reply,
	};

	*reply = (sr_store_reply_t){ .status = SR_STORE_NOT_MODIFIED };
	sr_store_submit(sr_object_store_base(objects), &call);
	while (reply->status == SR_STORE_NOT_MODIFIED)
		g_main_context_iteration(NULL, TRUE);
	g_bytes_unref(value);
}

/* A conditional write on a version of an earlier era must not count as done,
 * even if the number was given out again. */
static void test_versions_are_compared_within_their_era(void **state)
{
	fake_store_t *store = fake_store_new();
	sr_object_store_t *objects = sr_object_store_new(store->client);
	sr_store_reply_t reply;
	guint64 version;

	(void)state;
	store->era = "3";
	store->list = "{\"metadata\":{\"name\":\"name\",\"revision\":8},"
		      "\"spec\":{\"value\":\"dg==\"}}";
	call_and_wait(objects, SR_STORE_GET, 0, &reply);
	assert_int_equal(reply.status, SR_STORE_OK);
	version = reply.version;
	call_and_wait(objects, SR_STORE_UPDATE, version, &reply);
	assert_int_equal(reply.status, SR_STORE_OK);
	store->era = "4"; /* seen with the answer to the next write */
	call_and_wait(objects, SR_STORE_UPDATE, version, &reply);
	assert_int_equal(reply.status, SR_STORE_CONFLICT);
	/* a read by a caller that knows the object from the earlier era */
	call_and_wait(objects, SR_STORE_GET, version, &reply);
	assert_int_equal(reply.status, SR_STORE_OK);
	assert_true(reply.version > version);
	store->era = "3"; /* a late answer */
	call_and_wait(objects, SR_STORE_GET, 0, &reply);
	assert_int_equal(reply.status, SR_STORE_UNKNOWN);
	sr_object_store_free(objects);
	fake_store_free(store);
}

/* An entry that lapses and is back in one batch has not gone. */
static void test_feed_ignores_removal_before_return(void **state)
{
	fake_store_t *store = fake_store_new();

	(void)state;
	assert_true(wait_for_events(store, "+b@4 ", 1000));
	store->watch = "{\"events\":[{\"removed\":true,\"object\":{"
		       "\"metadata\":{\"name\":\"b\",\"revision\":11}}},"
		       "{\"removed\":false,\"object\":{\"metadata\":{\"name\":"
		       "\"b\",\"revision\":12}}}],\"current_rev\":12}";
	assert_true(wait_for_events(store, "+b@12 ", 1000));
	assert_null(strstr(store->events->str, "-b"));
	fake_store_free(store);
}

static void test_feed_survives_malformed_bodies(void **state)
{
	fake_store_t *store = fake_store_new();

	(void)state;
	assert_true(wait_for_events(store, "+b@4 ", 1000));
	store->watch = "not json";
	assert_false(wait_for_events(store, "-", 300));
	store->watch = "{\"events\":[{\"object\":3},{}],\"current_rev\":12}";
	assert_false(wait_for_events(store, "-", 300));
	fake_store_free(store);
}

/* A body of a list or a watch with elements before one of a sound object. */
static char *body_around(const char *key, const char *odd, const char *sound,
			 unsigned revision)
{
	return g_strdup_printf("{\"%s\":[%s,%s],\"truncated\":false,"
			       "\"current_rev\":%u}",
			       key, odd, sound, revision);
}

static char *nested(unsigned depth)
{
	GString *text = g_string_new(NULL);

	for (unsigned i = 0; i < depth; i++)
		g_string_append(text, i % 2 ? "{\"x\":" : "[");
	g_string_append(text, "1");
	for (unsigned i = depth; i > 0; i--)
		g_string_append(text, (i - 1) % 2 ? "}" : "]");
	return g_string_free(text, FALSE);
}

/* Values that another writer may leave in an entry. */
static GPtrArray *odd_values(void)
{
	static const char *const texts[] = {
		"\"\xff\xfe\"",
		"1e999",
		"-1e999",
		"NaN",
		"99999999999999999999",
		"nul",
		"\"\\ud800\"",
		"{\"a\":1,\"a\":[]}",
		"\"]}{[\\\"\"",
	};
	GPtrArray *values = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < G_N_ELEMENTS(texts); i++)
		g_ptr_array_add(values, g_strdup(texts[i]));
	g_ptr_array_add(values, nested(40));
	g_ptr_array_add(values, nested(200000));
	g_ptr_array_add(values, g_strnfill(1000000, ' '));
	return values;
}

/* Guards against RECOVER of review/3, and against processes that end: an odd
 * entry made the list or all events of a watch unreadable. */
static void test_feed_reads_around_odd_entries(void **state)
{
	GPtrArray *values = odd_values();

	(void)state;
	for (guint i = 0; i < values->len; i++) {
		const char *value = values->pdata[i];
		fake_store_t *store = fake_store_new();
		char *item = g_strdup_printf(
			"{\"metadata\":{\"name\":\"odd\",\"revision\":7},"
			"\"spec\":{\"address\":%s,\"slots\":3}}",
			value);
		char *event = g_strdup_printf(
			"{\"removed\":false,\"object\":%s}", item);
		char *list = body_around("items", item,
					 "{\"metadata\":{\"name\":\"z\","
					 "\"revision\":8}}",
					 9);
		char *watch = body_around("events", event,
					  "{\"removed\":false,\"object\":{"
					  "\"metadata\":{\"name\":\"y\","
					  "\"revision\":19}}}",
					  20);

		store->list = list;
		assert_true(wait_for_events(store, "+odd@7 +z@8 ", 1000));
		store->watch = watch;
		assert_true(wait_for_events(store, "+y@19 ", 1000));
		assert_int_equal(sr_object_feed_revision(store->feed), 20);
		fake_store_free(store);
		g_free(item);
		g_free(event);
		g_free(list);
		g_free(watch);
	}
	g_ptr_array_unref(values);
}

/* An entry that another writer has broken off, without a name, or next to
 * something that is no entry, must not hide the others. */
static void test_entries_without_a_name_are_left_out(void **state)
{
	const char *text = "{\"items\":[{\"metadata\":{\"name\":5}},7,"
			   "[[]],{\"spec\":nul},{\"metadata\":{\"name\":"
			   "\"a\",\"revision\":3}}],\"current_rev\":9}";
	GBytes *bytes = bytes_of(text);
	json_object *object = sr_platform_json_read_entries(bytes, "items");
	json_object *items = sr_platform_json_array(object, "items");
	size_t n;

	(void)state;
	assert_int_equal(sr_platform_json_integer(object, "current_rev", 0), 9);
	assert_non_null(items);
	n = json_object_array_length(items);
	assert_true(n >= 1);
	assert_string_equal(
		sr_platform_json_string(
			sr_platform_json_object(
				json_object_array_get_idx(items, n - 1),
				"metadata"),
			"name"),
		"a");
	json_object_put(object);
	g_bytes_unref(bytes);
	for (gsize size = 0; size < strlen(text); size++) {
		GBytes *part = g_bytes_new_static(text, size);

		json_object_put(sr_platform_json_read_entries(part, "items"));
		(void)sr_platform_json_scan_revision(part);
		g_bytes_unref(part);
	}
}

static gboolean decodes(const char *member, const char *value,
			sr_registration_t *entry)
{
	char *text = g_strdup_printf(
		"{\"spec\":{\"service\":\"s\",\"zone\":\"z\",\"version\":"
		"\"v\",\"slots\":8,\"state\":\"ready\",\"address\":"
		"\"127.0.0.1:80\",\"%s\":%s}}",
		member, value);
	json_object *object = json_tokener_parse(text);
	gboolean is_valid;

	is_valid = sr_platform_registration_decode("i", object, 1, entry);
	json_object_put(object);
	g_free(text);
	return is_valid;
}

/* Guards against processes that end: a number that is too large overflowed the
 * times that are computed from it, and a port must be one. */
static void test_odd_numbers_of_an_entry(void **state)
{
	static const char *const addresses[] = {
		"\"127.0.0.1:65536\"",
		"\"127.0.0.1:99999999999999999999\"",
		"\"127.0.0.1:-1\"",
		"\"127.0.0.1:0\"",
		"\"127.0.0.1:\"",
		"\":80\"",
		"80",
		"\"127.0.0.1\"",
		"\"host:80\"",
	};
	static const char *const numbers[] = { "1e308", "1e999", "-1e308",
					       "9223372036854775807", "NaN" };
	char *long_text = g_strnfill(1000002, 'x');
	sr_registration_t entry;

	(void)state;
	assert_true(decodes("x", "1", &entry));
	long_text[0] = long_text[1000001] = '"';
	assert_true(decodes("x", long_text, &entry));
	assert_false(decodes("version", long_text, &entry));
	g_free(long_text);
	for (guint i = 0; i < G_N_ELEMENTS(addresses); i++)
		assert_false(decodes("address", addresses[i], &entry));
	for (guint i = 0; i < G_N_ELEMENTS(numbers); i++) {
		assert_true(decodes("cold_remaining_ms", numbers[i], &entry));
		assert_in_range(entry.cold_for, 0, SR_DURATION_MAX);
		assert_true(decodes("leaves_ms", numbers[i], &entry));
		assert_in_range(entry.terminates_in, 0, SR_DURATION_MAX);
		(void)decodes("slots", numbers[i], &entry);
		(void)decodes("born", numbers[i], &entry);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_manifest),
		cmocka_unit_test(test_malformed_manifests_are_rejected),
		cmocka_unit_test(test_registry_entries),
		cmocka_unit_test(test_prompt_is_read_from_its_headers),
		cmocka_unit_test(test_settings),
		cmocka_unit_test(test_feed_follows_changes),
		cmocka_unit_test(test_feed_lists_again_after_expired_watch),
		cmocka_unit_test(test_watches_end_at_different_times),
		cmocka_unit_test(test_feed_holds_removals_after_an_outage),
		cmocka_unit_test(test_feed_follows_another_host),
		cmocka_unit_test(test_feed_passes_on_what_a_list_shows),
		cmocka_unit_test(test_feed_follows_into_a_later_era),
		cmocka_unit_test(test_feed_drops_answers_of_an_earlier_era),
		cmocka_unit_test(test_versions_are_compared_within_their_era),
		cmocka_unit_test(test_feed_ignores_removal_before_return),
		cmocka_unit_test(test_feed_survives_malformed_bodies),
		cmocka_unit_test(test_feed_reads_around_odd_entries),
		cmocka_unit_test(test_entries_without_a_name_are_left_out),
		cmocka_unit_test(test_odd_numbers_of_an_entry),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
