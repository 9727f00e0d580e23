/*
 * Hosts read a large configuration from the store over links of which callers
 * take half: 5 Mbit/s of 10.
 */
#include "platform_links_bed.h"

#define HOSTS 8
#define LINK_MBIT_PER_S 5

/** Time after which a change is in force, in ms. */
#define IN_FORCE_MS 3000

/** Time that hosts have to start before traffic, in ms. */
#define START_MS 10000

/** Routes of a configuration of nearly the store's limit of 1 MiB. */
#define ROUTES_MAX 4000

static unsigned last_host_ms(const links_bed_t *bed)
{
	unsigned last = 0;

	for (unsigned i = 0; i < links.n_hosts; i++)
		last = MAX(last, links_served_ms(bed, i));
	return last;
}

/* Guards against a list or a poll that is given up, and begun anew, though its
 * answer is arriving: the host never gets to the end of it. */
static void test_answers_that_arrive_are_waited_for(void **state)
{
	links_bed_t *bed = links_bed_new(HOSTS, 0, LINK_MBIT_PER_S, ROUTES_MAX);
	unsigned started;
	unsigned replaced;

	(void)state;
	run_for(START_MS);
	started = last_host_ms(bed);
	print_message("started: last host after %u ms\n", started);
	write_links_config(bed, ROUTES_MAX);
	run_for(2 * IN_FORCE_MS);
	replaced = last_host_ms(bed);
	print_message("one route replaced: last host after %u ms\n", replaced);
	links_bed_end(bed);
	assert_true(started < START_MS / 2);
	assert_true(replaced <= IN_FORCE_MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_answers_that_arrive_are_waited_for),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
