/*
 * Two hosts on loopback share the limit of an account.
 */
#include "fleet_rig.h"

#define ACCOUNT "a"
#define RATE 1e6 /* tokens per second */
#define AMOUNT 100.0
#define REQUESTS 20

static void on_pool_reply(void *user, sr_usec_t wait)
{
	*(unsigned *)user += wait == 0;
}

/* Sends requests to the pools; returns the number of those granted. */
static unsigned n_granted(host_t *host)
{
	unsigned n = 0;

	for (unsigned i = 0; i < REQUESTS; i++) {
		sr_fleet_request_pool(host->fleet, ACCOUNT, AMOUNT,
				      on_pool_reply, &n);
		run_for(20);
	}
	run_for(300);
	return n;
}

/* Guards against a pool that is granted twice: a host in a planned stop went on
 * granting from it, when the others had turned to its next holder. */
static void test_host_that_leaves_grants_nothing_from_its_pool(void **state)
{
	sr_clock_t *clock = sr_clock_new_real();
	char *first = g_strdup_printf("127.0.0.1:%d", unused_port());
	char *second = g_strdup_printf("127.0.0.1:%d", unused_port());
	host_t hosts[2];

	(void)state;
	host_init(&hosts[0], clock, "n0", "d", first, second);
	host_init(&hosts[1], clock, "n1", "e", second, first);
	/* the pool of the other host, which knows no limit, grants nothing */
	sr_allowance_set_limit(sr_gateway_allowance(hosts[0].gateway),
			       sr_clock_now(clock), ACCOUNT, RATE, RATE);
	run_for(3000);
	/* a pool starts as if it had granted its limit in the last window */
	n_granted(&hosts[0]);
	run_for(8000);
	assert_int_equal(sr_fleet_host_count(hosts[0].fleet), 2);
	assert_true(n_granted(&hosts[0]) > 0);
	sr_fleet_leave(hosts[0].fleet);
	run_for(300);
	assert_int_equal(n_granted(&hosts[0]), 0);
	host_clear(&hosts[0]);
	host_clear(&hosts[1]);
	sr_clock_free(clock);
	g_free(second);
	g_free(first);
}

static void count_use(void *user, const char *account, unsigned pool,
		      const sr_allowance_use_t *use)
{
	(void)account;
	(void)pool;
	(void)use;
	(*(unsigned *)user)++;
}

/* Guards against a saved state that says that no pool has granted anything: its
 * writer knew two of nine hosts, while these restarted in series. */
static void test_host_that_knows_few_others_saves_no_use(void **state)
{
	sr_clock_t *clock = sr_clock_new_real();
	char *first = g_strdup_printf("127.0.0.1:%d", unused_port());
	char *second = g_strdup_printf("127.0.0.1:%d", unused_port());
	host_t hosts[2];
	unsigned n = 0;

	(void)state;
	host_init(&hosts[0], clock, "n0", "d", first, second);
	host_init(&hosts[1], clock, "n1", "e", second, first);
	run_for(4000);
	assert_int_equal(sr_fleet_host_count(hosts[0].fleet), 2);
	assert_true(sr_fleet_foreach_use(hosts[0].fleet, count_use, &n));
	sr_fleet_expect_hosts(hosts[0].fleet, 9);
	run_for(1500);
	assert_false(sr_fleet_foreach_use(hosts[0].fleet, count_use, &n));
	assert_in_range(sr_fleet_recent_hosts(hosts[0].fleet), 8, 9);
	host_clear(&hosts[0]);
	host_clear(&hosts[1]);
	sr_clock_free(clock);
	g_free(second);
	g_free(first);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_host_that_leaves_grants_nothing_from_its_pool),
		cmocka_unit_test(test_host_that_knows_few_others_saves_no_use),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
