/*
 * What hosts fetch from each other, also from hosts of an earlier build.
 */
#include "fleet_rig.h"

#define KEY "value"
#define TIMEOUT (2 * SR_SEC)

/** Larger than what a reply can hold. */
#define LARGE_SIZE (2 * 1024 * 1024)

static void on_value(void *user, GBytes *value)
{
	*(GBytes **)user = value ? g_bytes_ref(value) : NULL;
}

static void assert_value(GBytes *value, const char *text)
{
	assert_non_null(value);
	assert_int_equal(g_bytes_get_size(value), strlen(text));
	assert_memory_equal(g_bytes_get_data(value, NULL), text, strlen(text));
	g_bytes_unref(value);
}

static GBytes *fetch_from(host_t *host, const char *address)
{
	GBytes *value = NULL;

	sr_fleet_fetch(host->fleet, address, KEY, TIMEOUT, on_value, &value);
	run_for(500);
	return value;
}

static void on_datagram(void *user, const guint8 *data, gsize size)
{
	(void)user;
	(void)data;
	(void)size;
}

/* A host of a build that knows plain keys only. */
static sr_peer_t *earlier_host_new(sr_clock_t *clock, const char *address,
				   GHashTable *values)
{
	const sr_peer_options_t options = {
		.clock = clock,
		.address = address,
		.cluster = CLUSTER,
		.secret = (const guint8 *)SECRET,
		.secret_size = strlen(SECRET),
		.node = "earlier",
		.incarnation = 1,
		.datagram = on_datagram,
		.fetch = fetch_value,
		.user = values,
	};
	char *detail = NULL;
	sr_peer_t *peer = sr_peer_new(&options, &detail);

	assert_non_null(peer);
	return peer;
}

/* Guards against hosts of two builds that can't fetch a configuration from each
 * other while they run side by side. */
static void test_hosts_of_two_builds_fetch_from_each_other(void **state)
{
	sr_clock_t *clock = sr_clock_new_real();
	char *first = g_strdup_printf("127.0.0.1:%d", unused_port());
	char *second = g_strdup_printf("127.0.0.1:%d", unused_port());
	GHashTable *values = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_bytes_unref);
	GBytes *value = NULL;
	sr_peer_t *earlier;
	host_t host;

	(void)state;
	host_init(&host, clock, "n0", "d", first, second);
	earlier = earlier_host_new(clock, second, values);
	g_hash_table_insert(values, (char *)KEY, g_bytes_new_static("old", 3));
	g_hash_table_insert(host.values, (char *)KEY,
			    g_bytes_new_static("new", 3));
	assert_value(fetch_from(&host, second), "old");
	sr_peer_fetch(earlier, first, KEY, TIMEOUT, on_value, &value);
	run_for(500);
	assert_value(value, "new");
	sr_peer_free(earlier);
	host_clear(&host);
	g_hash_table_unref(values);
	sr_clock_free(clock);
	g_free(second);
	g_free(first);
}

/* Guards against a large configuration that hosts can't fetch from each other,
 * as a reply holds 1 MiB. */
static void test_large_value_is_fetched(void **state)
{
	sr_clock_t *clock = sr_clock_new_real();
	char *first = g_strdup_printf("127.0.0.1:%d", unused_port());
	char *second = g_strdup_printf("127.0.0.1:%d", unused_port());
	char *text = g_strnfill(LARGE_SIZE, 'x');
	host_t hosts[2];

	(void)state;
	host_init(&hosts[0], clock, "n0", "d", first, second);
	host_init(&hosts[1], clock, "n1", "d", second, first);
	assert_null(fetch_from(&hosts[0], second));
	g_hash_table_insert(hosts[1].values, (char *)KEY,
			    g_bytes_new(text, LARGE_SIZE));
	assert_value(fetch_from(&hosts[0], second), text);
	host_clear(&hosts[0]);
	host_clear(&hosts[1]);
	sr_clock_free(clock);
	g_free(text);
	g_free(second);
	g_free(first);
}

/* Guards against a value that is too large even when compressed and is left out
 * without a counter. */
static void test_too_large_value_is_counted(void **state)
{
	sr_clock_t *clock = sr_clock_new_real();
	char *first = g_strdup_printf("127.0.0.1:%d", unused_port());
	char *second = g_strdup_printf("127.0.0.1:%d", unused_port());
	GRand *random = g_rand_new_with_seed(1);
	guint32 *noise = g_new(guint32, LARGE_SIZE / sizeof(guint32));
	GString *page = g_string_new(NULL);
	host_t hosts[2];

	(void)state;
	for (gsize i = 0; i < LARGE_SIZE / sizeof(guint32); i++)
		noise[i] = g_rand_int(random);
	host_init(&hosts[0], clock, "n0", "d", first, second);
	host_init(&hosts[1], clock, "n1", "d", second, first);
	g_hash_table_insert(hosts[1].values, (char *)KEY,
			    g_bytes_new(noise, LARGE_SIZE));
	assert_null(fetch_from(&hosts[0], second));
	run_for(1200);
	sr_metrics_write(hosts[1].metrics, page);
	/* it is asked for once more by the plain key */
	assert_non_null(strstr(page->str, "sassafras_fleet_dropped_total{kind="
					  "\"value\"} 2\n"));
	host_clear(&hosts[0]);
	host_clear(&hosts[1]);
	sr_clock_free(clock);
	g_string_free(page, TRUE);
	g_rand_free(random);
	g_free(noise);
	g_free(second);
	g_free(first);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_hosts_of_two_builds_fetch_from_each_other),
		cmocka_unit_test(test_large_value_is_fetched),
		cmocka_unit_test(test_too_large_value_is_counted),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
