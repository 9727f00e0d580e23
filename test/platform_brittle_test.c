/* Entry hosts in front of instances that fall over if they have to turn too
 * many requests away. */
#define REQUEST_MS 2
#include "platform_reach_bed.h"

/** Time from the first notice until instances may fall, and of the load after
 * it, in ms. */
#define CONTACT_MS 3000
#define LOAD_MS 6000

/** Falls that the platform allows, for so many instances. */
#define FALLS_MAX (2 + REACH_BED_INSTANCES / 10)

/** Part of the instances' capacity that has to be used all the same; or of the
 * load, if a busy machine lets the test send less than that. */
#define USED_MIN 0.5

static const capacity_t capacity = {
	.slots = 6, .waiting = 3, .run_ms = 60, .brittle = 5
};

static unsigned falls(const reach_bed_t *bed)
{
	unsigned n = 0;

	for (unsigned i = 0; i < REACH_BED_INSTANCES; i++)
		n += bed->instances[i].n_falls;
	return n;
}

static void set_brittle(reach_bed_t *bed)
{
	bed->says_brittle = TRUE;
	for (unsigned i = 0; i < REACH_BED_INSTANCES; i++)
		g_array_set_size(bed->instances[i].rejected_at, 0);
}

/* More requests than the instances have room for, in all but the first second,
 * in which they are not brittle yet. */
static void check_load(reach_bed_t *bed, void (*disturb)(reach_bed_t *bed))
{
	double capacity_of_all = REACH_BED_INSTANCES * capacity.slots *
				 (double)LOAD_MS / (capacity.run_ms + EVENT_MS);
	tally_t all;

	load(bed, 1000);
	bed->says_brittle = TRUE;
	bed->capacity.brittle = 1000;
	load(bed, CONTACT_MS);
	bed->capacity.brittle = capacity.brittle;
	bed->capacity.waiting = 1;
	set_brittle(bed);
	if (disturb)
		disturb(bed);
	load(bed, LOAD_MS);
	all = sum_of(bed, 0, REACH_BED_HOSTS);
	print_message("%u falls, served %u of %u\n", falls(bed), all.n_ok,
		      all.n_sent);
	assert_true(falls(bed) <= FALLS_MAX);
	assert_true(all.n_ok >= USED_MIN * MIN(capacity_of_all, all.n_sent));
}

/* Guards against LIMIT of brittle instances: hosts fill the room that instances
 * have, and are turned away beyond it, so that all fall over. */
static void test_brittle_instances_stay_up_under_load(void **state)
{
	check_load(*state, NULL);
}

static void cut_half(reach_bed_t *bed)
{
	(void)bed;
	set_paths(0, REACH_BED_HOSTS / 2, PATH_REFUSES);
}

/* Guards against the same beside a cut of half of the hosts, whose requests
 * arrive by the others. */
static void test_brittle_instances_stay_up_beside_a_cut(void **state)
{
	check_load(*state, cut_half);
}

static int set_up(void **state)
{
	*state = reach_bed_new(&capacity);
	return 0;
}

static int tear_down(void **state)
{
	reach_bed_free(*state);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_brittle_instances_stay_up_under_load, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			test_brittle_instances_stay_up_beside_a_cut, set_up,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
