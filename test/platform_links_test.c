/*
 * Changes of a large configuration take effect in time where the links of hosts
 * are slow, as in a deployment whose hosts have 10 Mbit/s and 3 s.
 */
#include "platform_links_bed.h"

#define HOSTS 24
#define LINK_MBIT_PER_S 10

/** Hosts of another failure domain, which has fast links and tells the others
 * of a change that is on its way to them. */
#define FAST_HOSTS 4

/** Time after which a change is in force, in ms. */
#define IN_FORCE_MS 3000

/** Routes of a configuration of nearly the store's limit of 1 MiB. */
#define ROUTES_BEFORE 1400
#define ROUTES_MAX 3600

static unsigned n_late(const links_bed_t *bed, const char *change)
{
	unsigned n = 0;
	unsigned last = 0;

	for (unsigned i = 0; i < links.n_hosts; i++) {
		unsigned delay = links_delay_ms(bed, i);

		n += delay > IN_FORCE_MS;
		last = MAX(last, delay);
	}
	print_message("%s: last host after %u ms, %u late\n", change, last, n);
	return n;
}

/** Hosts that read a change from the store: the watchers of two domains, and
 * successors that take over. */
#define READERS_MAX 4

/* Guards against hosts that answer by the configuration before: each sent and
 * fetched it as a whole, under time-outs that it outgrew, and all read it from
 * the store when they heard of it. */
static void test_large_configuration_is_in_force_in_time(void **state)
{
	links_bed_t *bed = links_bed_new(HOSTS, FAST_HOSTS, LINK_MBIT_PER_S,
					 ROUTES_BEFORE);
	unsigned n_grown;
	unsigned n_read;
	unsigned n_one;

	(void)state;
	run_for(8000);
	bed->store.n_changes_sent = 0;
	write_links_config(bed, ROUTES_MAX);
	run_for(2 * IN_FORCE_MS);
	n_grown = n_late(bed, "2,200 routes more");
	n_read = bed->store.n_changes_sent;
	print_message("%u hosts read it from the store\n", n_read);
	write_links_config(bed, ROUTES_MAX);
	run_for(2 * IN_FORCE_MS);
	n_one = n_late(bed, "one route replaced");
	links_bed_end(bed);
	assert_int_equal(n_grown, 0);
	assert_true(n_read <= READERS_MAX);
	assert_int_equal(n_one, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_large_configuration_is_in_force_in_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
