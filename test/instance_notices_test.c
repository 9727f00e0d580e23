#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/instance_notices.h"

/* All hosts of a failure domain send to an instance whenever they may. */

#define HOSTS_MAX 40
#define TICK (20 * SR_MSEC)
#define TICKS_PER_S 50
#define RUN_TICKS (40 * TICKS_PER_S)
#define WINDOW_TICKS (4 * TICKS_PER_S)
#define TOLERANCE_FACTOR 1.5
#define TOLERANCE_REQUESTS 5

typedef struct {
	sr_instance_notices_t notices[HOSTS_MAX];
	unsigned n_hosts;
	unsigned sent[RUN_TICKS];
	sr_usec_t now;
} domain_t;

static void set_sharing(domain_t *domain)
{
	unsigned most =
		sr_instance_notices_max_hosts(domain->notices[0].rate_limit);

	for (unsigned i = 0; i < domain->n_hosts; i++)
		sr_instance_notices_set_sharing(
			&domain->notices[i],
			i < most ? MIN(most, domain->n_hosts) : 0, domain->now);
}

static void hear_limit(domain_t *domain, double limit)
{
	const sr_notice_t notice = { .has_rate_limit = TRUE,
				     .rate_limit = limit };

	for (unsigned i = 0; i < domain->n_hosts; i++)
		sr_instance_notices_hear(&domain->notices[i], &notice,
					 domain->now);
	set_sharing(domain);
}

static void run_ticks(domain_t *domain, unsigned from, unsigned to)
{
	for (unsigned tick = from; tick < to; tick++) {
		domain->now += TICK;
		for (unsigned i = 0; i < domain->n_hosts; i++) {
			if (!sr_instance_notices_allow(&domain->notices[i],
						       domain->now))
				continue;
			sr_instance_notices_sent(&domain->notices[i],
						 domain->now);
			domain->sent[tick]++;
		}
	}
}

static unsigned sum_window(const domain_t *domain, unsigned from)
{
	unsigned n = 0;

	for (unsigned i = from; i < from + WINDOW_TICKS && i < RUN_TICKS; i++)
		n += domain->sent[i];
	return n;
}

static void assert_within(const domain_t *domain, unsigned from, unsigned to,
			  double limit)
{
	for (unsigned i = from; i + WINDOW_TICKS <= to; i++)
		assert_true(sum_window(domain, i) <=
			    TOLERANCE_FACTOR * 4 * limit + TOLERANCE_REQUESTS);
}

/* Guards against LIMIT of 2026-12-04: the limit holds for all hosts together,
 * whatever their number, and is used. */
static void test_hosts_divide_a_limit(void **state)
{
	static const double limits[] = { 0.25, 1, 3, 20 };
	static const unsigned sizes[] = { 1, 3, 12, 40 };

	(void)state;
	for (gsize l = 0; l < G_N_ELEMENTS(limits); l++) {
		for (gsize s = 0; s < G_N_ELEMENTS(sizes); s++) {
			domain_t domain = { .n_hosts = sizes[s],
					    .now = SR_SEC };
			unsigned n = 0;

			hear_limit(&domain, limits[l]);
			run_ticks(&domain, 0, RUN_TICKS);
			assert_within(&domain, 0, RUN_TICKS, limits[l]);
			for (unsigned i = 0; i < RUN_TICKS; i++)
				n += domain.sent[i];
			assert_true(n >= 0.8 * limits[l] * 40 - 1);
		}
	}
}

/* A pause fills the buckets of all hosts, which then send at once. */
static void test_pause_saves_up_little(void **state)
{
	domain_t domain = { .n_hosts = 40, .now = SR_SEC };

	(void)state;
	hear_limit(&domain, 1);
	domain.now += 600 * SR_SEC;
	run_ticks(&domain, 0, RUN_TICKS);
	assert_within(&domain, 0, RUN_TICKS, 1);
}

static void test_lowered_limit_binds_at_once(void **state)
{
	domain_t domain = { .n_hosts = 9, .now = SR_SEC };

	(void)state;
	hear_limit(&domain, 20);
	run_ticks(&domain, 0, RUN_TICKS / 2);
	hear_limit(&domain, 1);
	run_ticks(&domain, RUN_TICKS / 2, RUN_TICKS);
	assert_within(&domain, RUN_TICKS / 2, RUN_TICKS, 1);
}

static void test_fewer_hosts_get_larger_parts(void **state)
{
	domain_t domain = { .n_hosts = 4, .now = SR_SEC };

	(void)state;
	hear_limit(&domain, 1);
	run_ticks(&domain, 0, RUN_TICKS / 2);
	domain.n_hosts = 2;
	set_sharing(&domain);
	run_ticks(&domain, RUN_TICKS / 2, RUN_TICKS);
	assert_within(&domain, 0, RUN_TICKS, 1);
}

static void test_limit_that_is_not_named_ends(void **state)
{
	sr_instance_notices_t notices = { 0 };
	const sr_notice_t limited = { .has_rate_limit = TRUE, .rate_limit = 1 };
	const sr_notice_t nothing = { 0 };

	(void)state;
	assert_int_equal(sr_instance_notices_hear(&notices, &nothing, SR_SEC),
			 SR_NOTICE_UNCHANGED);
	assert_int_equal(sr_instance_notices_hear(&notices, &limited, SR_SEC),
			 SR_NOTICE_LIMIT_CHANGED);
	assert_int_equal(sr_instance_notices_hear(&notices, &limited, SR_SEC),
			 SR_NOTICE_UNCHANGED);
	assert_false(sr_instance_notices_allow(&notices, SR_SEC));
	assert_int_equal(sr_instance_notices_opens_in(&notices, SR_SEC),
			 SR_SEC + 1);
	sr_instance_notices_set_sharing(&notices, 0, SR_SEC);
	assert_false(sr_instance_notices_allow(&notices, 100 * SR_SEC));
	assert_true(sr_instance_notices_opens_in(&notices, SR_SEC) < 0);
	assert_int_equal(sr_instance_notices_hear(&notices, &nothing, SR_SEC),
			 SR_NOTICE_LIMIT_CHANGED);
	assert_true(sr_instance_notices_allow(&notices, SR_SEC));
}

static void test_leaving_lasts(void **state)
{
	sr_instance_notices_t notices = { 0 };
	const sr_notice_t leaving = { .leaving = TRUE };
	const sr_notice_t nothing = { 0 };

	(void)state;
	assert_int_equal(sr_instance_notices_hear(&notices, &leaving, SR_SEC),
			 SR_NOTICE_LEAVING);
	assert_int_equal(sr_instance_notices_hear(&notices, &nothing, SR_SEC),
			 SR_NOTICE_UNCHANGED);
	assert_true(notices.leaving);
}

static void test_back_off_is_kept_to_its_end(void **state)
{
	sr_instance_notices_t notices = { 0 };
	const sr_notice_t longer = { .back_off = 5 * SR_SEC };
	const sr_notice_t shorter = { .back_off = SR_SEC };
	const sr_notice_t nothing = { 0 };

	(void)state;
	assert_int_equal(sr_instance_notices_hear(&notices, &longer, SR_SEC),
			 SR_NOTICE_BACK_OFF);
	assert_int_equal(sr_instance_notices_hear(&notices, &shorter, SR_SEC),
			 SR_NOTICE_UNCHANGED);
	sr_instance_notices_hear(&notices, &nothing, SR_SEC);
	assert_false(sr_instance_notices_allow(&notices, 5 * SR_SEC));
	assert_int_equal(sr_instance_notices_opens_in(&notices, 4 * SR_SEC),
			 2 * SR_SEC);
	assert_true(sr_instance_notices_allow(&notices, 6 * SR_SEC));
}

/* Many hosts send to one brittle instance more than it has room for. */

#define BRITTLE_HOSTS_MAX 195
#define RUN_S 40
#define BRITTLE_SEEDS 5
#define RUN_TIME_TICKS 5 /* of a request */
#define UPDATE_TICKS 13	 /* between updates of the room */
#define STALE_TICKS 15	 /* age of what hosts know of the others' load */
#define CONTACT_TICKS (3 * TICKS_PER_S)
#define BACK_TICK (10 * TICKS_PER_S) /* an instance is back after a fall */
#define DOWN_TICKS (3 * TICKS_PER_S / 2)
#define REJECTIONS_MAX 5
#define FALLS_MAX 2

typedef struct {
	unsigned n_hosts;
	unsigned slots;
	unsigned waiting;
	double demand;	/* of the instance's capacity */
	gboolean falls; /* once, before BACK_TICK */
} brittle_case_t;

typedef struct {
	const brittle_case_t *options;
	sr_instance_notices_t notices[BRITTLE_HOSTS_MAX];
	unsigned in_flight[BRITTLE_HOSTS_MAX];
	/* requests by the tick in which they end */
	unsigned ends[RUN_S * TICKS_PER_S + RUN_TIME_TICKS][BRITTLE_HOSTS_MAX];
	unsigned total[RUN_S * TICKS_PER_S]; /* in flight */
	unsigned rejected[RUN_S * TICKS_PER_S];
	unsigned running;
	unsigned n_served;
	GRand *random;
} brittle_t;

static void arrive(brittle_t *fleet, unsigned host, unsigned tick)
{
	const brittle_case_t *options = fleet->options;
	sr_instance_notices_t *notices = &fleet->notices[host];

	if (!sr_instance_notices_has_room(notices, fleet->in_flight[host]))
		return;
	if (fleet->running >= options->slots + options->waiting) {
		const sr_instance_room_t room = {
			.slots = options->slots,
			.n_hosts = options->n_hosts,
			.in_flight = fleet->in_flight[host],
		};

		fleet->rejected[tick]++;
		sr_instance_notices_rejected(notices, &room);
		return;
	}
	fleet->running++;
	fleet->in_flight[host]++;
	notices->most_in_flight =
		MAX(notices->most_in_flight, fleet->in_flight[host]);
	fleet->ends[tick + RUN_TIME_TICKS][host]++;
}

static void end_requests(brittle_t *fleet, unsigned tick)
{
	for (unsigned host = 0; host < fleet->options->n_hosts; host++) {
		unsigned n = fleet->ends[tick][host];

		fleet->in_flight[host] -= n;
		fleet->running -= n;
		fleet->n_served += n;
	}
}

static void update_rooms(brittle_t *fleet, unsigned tick)
{
	unsigned total =
		tick >= STALE_TICKS ? fleet->total[tick - STALE_TICKS] : 0;

	for (unsigned host = 0; host < fleet->options->n_hosts; host++) {
		const sr_instance_room_t room = {
			.slots = fleet->options->slots,
			.n_hosts = fleet->options->n_hosts,
			.in_flight = fleet->in_flight[host],
			.peers_in_flight =
				MAX((double)total - fleet->in_flight[host], 0),
			.known_after = (double)STALE_TICKS / UPDATE_TICKS,
			.random = g_rand_double(fleet->random),
		};

		if ((tick + host) % UPDATE_TICKS == 0)
			sr_instance_notices_update_room(&fleet->notices[host],
							&room);
	}
}

/* Falls: more rejections than the instance bears in a second. */
static unsigned count_falls(const brittle_t *fleet)
{
	unsigned n = 0;
	unsigned sum = 0;

	for (unsigned tick = CONTACT_TICKS; tick < RUN_S * TICKS_PER_S;
	     tick++) {
		sum += fleet->rejected[tick];
		if (tick >= CONTACT_TICKS + TICKS_PER_S)
			sum -= fleet->rejected[tick - TICKS_PER_S];
		if (sum <= REJECTIONS_MAX)
			continue;
		n++;
		tick += TICKS_PER_S; /* it is down */
		sum = 0;
	}
	return n;
}

/* All hosts take the instance for a brittle one that they know nothing of. */
static void begin_rooms(brittle_t *fleet)
{
	const sr_notice_t notice = { .is_brittle = TRUE,
				     .rejections_max = REJECTIONS_MAX };

	for (unsigned i = 0; i < fleet->options->n_hosts; i++) {
		const sr_instance_room_t room = {
			.slots = fleet->options->slots,
			.n_hosts = fleet->options->n_hosts,
			.peers_in_flight = -1,
			.random = g_rand_double(fleet->random),
		};

		memset(&fleet->notices[i], 0, sizeof(fleet->notices[i]));
		sr_instance_notices_hear(&fleet->notices[i], &notice, 1);
		sr_instance_notices_begin_room(&fleet->notices[i], &room);
	}
}

/* Ends what runs there. */
static void fall(brittle_t *fleet)
{
	memset(fleet->ends, 0, sizeof(fleet->ends));
	memset(fleet->in_flight, 0, sizeof(fleet->in_flight));
	fleet->running = 0;
}

static void check_brittle(const brittle_case_t *options, guint32 seed)
{
	double capacity = (double)options->slots / RUN_TIME_TICKS;
	brittle_t *fleet = g_new0(brittle_t, 1);
	double due = 0;
	unsigned n_due;

	fleet->options = options;
	fleet->random = g_rand_new_with_seed(seed);
	begin_rooms(fleet);
	for (unsigned tick = 0; tick < RUN_S * TICKS_PER_S; tick++) {
		end_requests(fleet, tick);
		due += options->demand * capacity;
		n_due = (unsigned)due;
		due -= n_due;
		if (options->falls && tick == BACK_TICK - DOWN_TICKS)
			fall(fleet);
		if (options->falls && tick == BACK_TICK)
			begin_rooms(fleet);
		if (options->falls && tick >= BACK_TICK - DOWN_TICKS &&
		    tick < BACK_TICK)
			continue;
		for (unsigned i = 0; i < n_due; i++)
			arrive(fleet,
			       (unsigned)g_rand_int_range(
				       fleet->random, 0,
				       (gint32)options->n_hosts),
			       tick);
		fleet->total[tick] = fleet->running;
		update_rooms(fleet, tick);
	}
	print_message("%u hosts, %u slots: %u falls, %.2f of capacity used\n",
		      options->n_hosts, options->slots, count_falls(fleet),
		      fleet->n_served / (capacity * RUN_S * TICKS_PER_S));
	assert_true(count_falls(fleet) + (options->falls ? 1 : 0) <= FALLS_MAX);
	assert_true(fleet->n_served >= 0.5 * MIN(options->demand, 1) *
					       capacity * RUN_S * TICKS_PER_S);
	g_rand_free(fleet->random);
	g_free(fleet);
}

/* Guards against LIMIT of brittle instances at many hosts, each of which has
 * too few requests there to learn how full the instance is. */
static void test_hosts_stay_within_the_room_of_a_brittle_instance(void **state)
{
	static const brittle_case_t cases[] = {
		{ 4, 6, 1, 2, FALSE },	   { 9, 6, 1, 2, FALSE },
		{ 9, 64, 2, 2, FALSE },	   { 75, 32, 1, 2, FALSE },
		{ 75, 32, 1, 0.8, FALSE }, { 75, 6, 1, 2, FALSE },
		{ 195, 32, 1, 2, FALSE },  { 195, 6, 1, 2, FALSE },
	};

	(void)state;
	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (guint32 seed = 1; seed <= BRITTLE_SEEDS; seed++)
			check_brittle(&cases[i], seed);
	}
}

/* Guards against LIMIT of 2026-12-05: an instance that is back after it fell
 * got a request of each host at once, and fell again. */
static void test_brittle_instance_that_is_back_stays_up(void **state)
{
	static const brittle_case_t cases[] = {
		{ 24, 6, 0, 1.7, TRUE },
		{ 24, 6, 1, 0.8, TRUE },
		{ 60, 16, 0, 2, TRUE },
		{ 195, 6, 1, 2, TRUE },
	};

	(void)state;
	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (guint32 seed = 1; seed <= BRITTLE_SEEDS; seed++)
			check_brittle(&cases[i], seed);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_hosts_divide_a_limit),
		cmocka_unit_test(test_pause_saves_up_little),
		cmocka_unit_test(test_lowered_limit_binds_at_once),
		cmocka_unit_test(test_fewer_hosts_get_larger_parts),
		cmocka_unit_test(test_limit_that_is_not_named_ends),
		cmocka_unit_test(test_leaving_lasts),
		cmocka_unit_test(test_back_off_is_kept_to_its_end),
		cmocka_unit_test(
			test_hosts_stay_within_the_room_of_a_brittle_instance),
		cmocka_unit_test(test_brittle_instance_that_is_back_stays_up),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
