/* Entry hosts that lose their paths to all instances. */
#include "platform_reach_bed.h"

/** Time from a cut until its bound holds, and of the load after it, in ms. */
#define CONTACT_MS 3000
#define LOAD_MS 3000

/** Share of first tries that a cut host has to serve, of that at the others;
 * those lose a twentieth at most. */
#define SERVED_MIN 0.95

static double served(tally_t tally)
{
	return (double)tally.n_ok / tally.n_sent;
}

static void assert_run_once(const reach_bed_t *bed)
{
	GHashTableIter iter;
	gpointer n;

	g_hash_table_iter_init(&iter, bed->n_runs);
	while (g_hash_table_iter_next(&iter, NULL, &n))
		assert_int_equal(GPOINTER_TO_UINT(n), 1);
}

static unsigned requests_from(const reach_bed_t *bed, unsigned host)
{
	unsigned n = 0;

	for (unsigned i = 0; i < REACH_BED_INSTANCES; i++)
		n += bed->instances[i].n_connected_from[host];
	return n;
}

/* Cuts the first n hosts; the bound holds at all of them from CONTACT_MS on. */
static void check_cut(reach_bed_t *bed, unsigned n_cut, path_t path)
{
	tally_t cut;
	tally_t others;
	unsigned n_before;

	load(bed, 1000);
	assert_true(served(sum_of(bed, 0, REACH_BED_HOSTS)) == 1);
	set_paths(0, n_cut, path);
	load(bed, CONTACT_MS);
	load(bed, LOAD_MS);
	cut = sum_of(bed, 0, n_cut);
	others = sum_of(bed, n_cut, REACH_BED_HOSTS);
	print_message("cut hosts served %u of %u, the others %u of %u\n",
		      cut.n_ok, cut.n_sent, others.n_ok, others.n_sent);
	set_paths(0, n_cut, PATH_OPEN);
	n_before = requests_from(bed, 0);
	load(bed, CONTACT_MS);
	print_message("%u of %u served after it, %u by the first host itself\n",
		      sum_of(bed, 0, n_cut).n_ok, sum_of(bed, 0, n_cut).n_sent,
		      requests_from(bed, 0) - n_before);
	assert_true(served(others) >= SERVED_MIN);
	assert_true(served(cut) >= SERVED_MIN * served(others));
	assert_run_once(bed);
	assert_true(requests_from(bed, 0) - n_before >=
		    bed->tallies[0].n_sent / 2);
}

static int set_up(void **state)
{
	*state = reach_bed_new(NULL);
	return 0;
}

static int tear_down(void **state)
{
	reach_bed_free(*state);
	return 0;
}

/* Guards against RECOVER of 2026-12-04: a host whose path refuses connections
 * refused its callers, though other hosts reached the same instances. */
static void test_host_serves_though_its_path_refuses(void **state)
{
	check_cut(*state, REACH_BED_HOSTS / 2, PATH_REFUSES);
}

/* Guards against RECOVER of 2026-12-04 where connections hang: callers waited
 * until their deadline. */
static void test_host_serves_though_its_path_hangs(void **state)
{
	check_cut(*state, REACH_BED_HOSTS / 2, PATH_HANGS);
}

/* Guards against RECOVER where one host is left: most others can't help. */
static void test_hosts_serve_by_the_one_that_reaches_instances(void **state)
{
	check_cut(*state, REACH_BED_HOSTS - 1, PATH_REFUSES);
}

/* Guards against refusals where no host reaches more than one instance: each
 * took its own path as down, and waited for the others to help. */
static void test_hosts_find_the_one_instance_that_all_reach(void **state)
{
	reach_bed_t *bed = *state;
	tally_t all;

	paths->spares_first = TRUE;
	set_paths(0, REACH_BED_HOSTS, PATH_REFUSES);
	load(bed, CONTACT_MS);
	load(bed, LOAD_MS);
	all = sum_of(bed, 0, REACH_BED_HOSTS);
	print_message("served %u of %u\n", all.n_ok, all.n_sent);
	assert_true(served(all) >= SERVED_MIN);
	assert_run_once(bed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_host_serves_though_its_path_refuses, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			test_host_serves_though_its_path_hangs, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			test_hosts_find_the_one_instance_that_all_reach, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			test_hosts_serve_by_the_one_that_reaches_instances,
			set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
