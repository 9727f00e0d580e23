#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/pace/instance_pace.h"

/* All hosts of a failure domain send to a cold instance whenever they may. */

#define HOSTS_MAX 60
#define TICK (20 * SR_MSEC)
#define TICKS_PER_S 50
#define RUN_TICKS (6 * TICKS_PER_S)
#define SLOTS 32

static const sr_pace_bound_t bound = { .rate = 9.5,
				       .overage = 1.5,
				       .slack = 5 };

typedef struct {
	sr_instance_pace_t paces[HOSTS_MAX];
	unsigned n_hosts;
	unsigned sent[RUN_TICKS];
	sr_usec_t now;
} domain_t;

/* Hosts see n_seen of themselves, from the one with their number on. */
static void set_sharing(domain_t *domain, unsigned n_seen)
{
	unsigned most = sr_instance_pace_max_hosts(&bound);

	for (unsigned i = 0; i < domain->n_hosts; i++)
		sr_instance_pace_set_sharing(
			&domain->paces[i],
			i % n_seen < most ? MIN(most, n_seen) : 0, domain->now);
}

static void begin(domain_t *domain, sr_usec_t cold_for, unsigned n_seen)
{
	for (unsigned i = 0; i < domain->n_hosts; i++)
		sr_instance_pace_begin(&domain->paces[i], &bound,
				       domain->now + cold_for, domain->now);
	set_sharing(domain, n_seen);
}

/* The instance answers each request at once, so that windows don't bind. */
static void run_ticks(domain_t *domain, unsigned from, unsigned to)
{
	for (unsigned tick = from; tick < to; tick++) {
		domain->now += TICK;
		for (unsigned i = 0; i < domain->n_hosts; i++) {
			sr_instance_pace_t *pace = &domain->paces[i];

			sr_instance_pace_update(pace, SLOTS, domain->now);
			if (!pace->is_paced ||
			    !sr_instance_pace_allows(pace, 0, domain->now))
				continue;
			sr_instance_pace_sent(pace, domain->now);
			sr_instance_pace_answered(pace, TRUE);
			domain->sent[tick]++;
		}
	}
}

static unsigned most_in_a_second(const domain_t *domain)
{
	unsigned most = 0;

	for (unsigned i = 0; i + TICKS_PER_S <= RUN_TICKS; i++) {
		unsigned n = 0;

		for (unsigned k = 0; k < TICKS_PER_S; k++)
			n += domain->sent[i + k];
		most = MAX(most, n);
	}
	return most;
}

/* Guards against FAILBACK: the bound holds for the sum of all hosts, whatever
 * their number, and a part of it is used. */
static void test_hosts_keep_the_bound_of_a_cold_instance(void **state)
{
	static const unsigned sizes[] = { 1, 3, 17, 60 };

	(void)state;
	for (gsize i = 0; i < G_N_ELEMENTS(sizes); i++) {
		domain_t domain = { .n_hosts = sizes[i], .now = SR_SEC };
		unsigned n = 0;

		begin(&domain, 3 * SR_SEC, sizes[i]);
		run_ticks(&domain, 0, 3 * TICKS_PER_S);
		assert_true(most_in_a_second(&domain) <=
			    bound.rate * bound.overage + bound.slack);
		for (unsigned k = 0; k < RUN_TICKS; k++)
			n += domain.sent[k];
		assert_true(n >= 0.5 * bound.rate * 3);
	}
}

/* Guards against FAILBACK while hosts disagree: after a cut each half of the
 * domain believes that it is the whole. */
static void test_bound_holds_while_hosts_disagree(void **state)
{
	domain_t domain = { .n_hosts = 34, .now = SR_SEC };

	(void)state;
	begin(&domain, 3 * SR_SEC, 34);
	run_ticks(&domain, 0, TICKS_PER_S);
	set_sharing(&domain, 17);
	run_ticks(&domain, TICKS_PER_S, 3 * TICKS_PER_S);
	assert_true(most_in_a_second(&domain) <=
		    bound.rate * bound.overage + bound.slack);
}

/* Guards against FAILBACK by an instance that flaps: each return would begin
 * with a burst. */
static void test_flapping_instance_gets_no_new_burst(void **state)
{
	domain_t domain = { .n_hosts = 17, .now = SR_SEC };

	(void)state;
	for (unsigned i = 0; i < 6; i++) {
		begin(&domain, SR_SEC / 2, 17);
		run_ticks(&domain, i * TICKS_PER_S, (i + 1) * TICKS_PER_S);
	}
	assert_true(most_in_a_second(&domain) <=
		    bound.rate * bound.overage + bound.slack);
}

/* Guards against a flood: requests that nobody has answered yet don't become
 * more. */
static void test_window_grows_by_answers_only(void **state)
{
	const sr_pace_bound_t none = { 0 };
	sr_instance_pace_t pace = { 0 };
	sr_usec_t now = SR_SEC;

	(void)state;
	sr_instance_pace_begin(&pace, &none, now + 3 * SR_SEC, now);
	assert_false(sr_instance_pace_allows(&pace, 0, now));
	sr_instance_pace_set_sharing(&pace, 4, now);
	assert_true(sr_instance_pace_allows(&pace, 0, now));
	assert_false(sr_instance_pace_allows(&pace, 1, now + 2 * SR_SEC));
	for (unsigned i = 0; i < 7; i++)
		sr_instance_pace_answered(&pace, TRUE);
	assert_true(sr_instance_pace_allows(&pace, 7, now));
	sr_instance_pace_answered(&pace, FALSE);
	assert_false(sr_instance_pace_allows(&pace, 4, now));
	sr_instance_pace_rejected(&pace);
	assert_false(sr_instance_pace_allows(&pace, 2, now));
}

/* Guards against an instance that is left idle: the pace ends with its time
 * once it has answered enough, and a second later where nothing was learned. */
static void test_pace_ends(void **state)
{
	sr_instance_pace_t used = { 0 };
	sr_instance_pace_t unused = { 0 };
	sr_usec_t now = SR_SEC;
	sr_usec_t until = now + 3 * SR_SEC;

	(void)state;
	sr_instance_pace_begin(&used, &bound, until, now);
	sr_instance_pace_begin(&unused, &bound, until, now);
	sr_instance_pace_set_sharing(&used, 6, now);
	for (unsigned i = 0; i < SLOTS / 6; i++)
		sr_instance_pace_answered(&used, TRUE);
	assert_false(sr_instance_pace_update(&used, SLOTS, until - 1));
	assert_true(sr_instance_pace_update(&used, SLOTS, until));
	assert_false(sr_instance_pace_update(&unused, SLOTS, until));
	assert_true(sr_instance_pace_update(&unused, SLOTS, until + SR_SEC));
	assert_true(sr_instance_pace_allows(&unused, 99, until + SR_SEC));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_hosts_keep_the_bound_of_a_cold_instance),
		cmocka_unit_test(test_bound_holds_while_hosts_disagree),
		cmocka_unit_test(test_flapping_instance_gets_no_new_burst),
		cmocka_unit_test(test_window_grows_by_answers_only),
		cmocka_unit_test(test_pace_ends),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
