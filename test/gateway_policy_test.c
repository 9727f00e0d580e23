#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/fleet_plan.h"
#include "core/gateway_admission.h"
#include "core/instances.h"
#include "core/placement.h"
#include "core/repeat_policy.h"
#include "core/route_table.h"

/* What may follow when an attempt has ended. */

static sr_repeat_facts_t facts_of(sr_route_kind_t kind,
				  sr_attempt_outcome_t outcome)
{
	return (sr_repeat_facts_t){
		.kind = kind,
		.outcome = outcome,
		.n_sent = outcome == SR_ATTEMPT_NOT_SENT ? 0 : 1,
		.n_unsent = outcome == SR_ATTEMPT_NOT_SENT ? 1 : 0,
		.max_attempts = 2,
		.time_left = SR_SEC,
		.in_budget = TRUE,
		.may_have_run = outcome != SR_ATTEMPT_NOT_SENT &&
				outcome != SR_ATTEMPT_REJECTED,
	};
}

static sr_next_t next_of(sr_route_kind_t kind, sr_attempt_outcome_t outcome)
{
	sr_repeat_facts_t facts = facts_of(kind, outcome);

	return sr_repeat_next(&facts);
}

static void test_what_may_run_once_is_sent_once(void **state)
{
	(void)state;
	assert_int_equal(next_of(SR_ROUTE_ONCE, SR_ATTEMPT_BROKEN),
			 SR_NEXT_FAIL);
	assert_int_equal(next_of(SR_ROUTE_STREAM, SR_ATTEMPT_BROKEN),
			 SR_NEXT_FAIL);
	assert_int_equal(next_of(SR_ROUTE_ONCE, SR_ATTEMPT_FAILED),
			 SR_NEXT_PASS_ON);
	assert_int_equal(next_of(SR_ROUTE_ONCE, SR_ATTEMPT_REJECTED),
			 SR_NEXT_TRY_AGAIN);
	assert_int_equal(next_of(SR_ROUTE_ONCE, SR_ATTEMPT_NOT_SENT),
			 SR_NEXT_TRY_AGAIN);
	assert_int_equal(next_of(SR_ROUTE_STREAM, SR_ATTEMPT_CUT),
			 SR_NEXT_BREAK_OFF);
}

static void test_what_may_repeat_is_repeated_in_bounds(void **state)
{
	sr_repeat_facts_t facts =
		facts_of(SR_ROUTE_IDEMPOTENT, SR_ATTEMPT_BROKEN);

	(void)state;
	assert_int_equal(sr_repeat_next(&facts), SR_NEXT_TRY_AGAIN);
	facts.in_budget = FALSE;
	assert_int_equal(sr_repeat_next(&facts), SR_NEXT_FAIL);
	facts.in_budget = TRUE;
	facts.n_sent = 2;
	assert_int_equal(sr_repeat_next(&facts), SR_NEXT_FAIL);
	facts.instance_ended = TRUE; /* one of the two is no more */
	assert_int_equal(sr_repeat_next(&facts), SR_NEXT_TRY_AGAIN);
	facts.time_left = 0;
	assert_int_equal(sr_repeat_next(&facts), SR_NEXT_FAIL);
}

/* "Not run" is said only of what has not. */
static void test_refusal_is_true(void **state)
{
	sr_repeat_facts_t facts =
		facts_of(SR_ROUTE_IDEMPOTENT, SR_ATTEMPT_REJECTED);

	(void)state;
	facts.in_budget = FALSE;
	assert_int_equal(sr_repeat_next(&facts), SR_NEXT_REFUSE);
	facts.may_have_run = TRUE; /* by an earlier attempt */
	assert_int_equal(sr_repeat_next(&facts), SR_NEXT_FAIL);
}

static void test_resumable_stream_goes_on(void **state)
{
	sr_repeat_facts_t facts = facts_of(SR_ROUTE_STREAM, SR_ATTEMPT_CUT);

	(void)state;
	facts.resumable = TRUE;
	assert_int_equal(sr_repeat_next(&facts), SR_NEXT_TRY_AGAIN);
	facts.max_attempts = 1;
	assert_int_equal(sr_repeat_next(&facts), SR_NEXT_BREAK_OFF);
}

/* Routes. */

static void add_route(sr_route_table_t *table, const char *name,
		      const char *authority, const char *prefix)
{
	sr_gateway_route_t *route = sr_route_table_add_route(table);

	route->name = g_strdup(name);
	route->authority = g_strdup(authority);
	route->prefix = g_strdup(prefix);
	sr_gateway_route_add_service(route, "s", 1);
}

static void test_longest_prefix_wins(void **state)
{
	sr_route_table_t *table = sr_route_table_new(1);

	(void)state;
	add_route(table, "short", "a.example", "/x/");
	add_route(table, "long", "a.example", "/x/y/");
	add_route(table, "other", "b.example", "/x/y/");
	sr_route_table_seal(table);
	assert_string_equal(
		sr_route_table_find(table, "A.example", "/x/y/z")->name,
		"long");
	assert_string_equal(
		sr_route_table_find(table, "a.example", "/x/y")->name, "short");
	assert_string_equal(
		sr_route_table_find(table, "b.example", "/x/y/")->name,
		"other");
	assert_null(sr_route_table_find(table, "b.example", "/x/"));
	assert_null(sr_route_table_find(table, "c.example", "/x/"));
	sr_route_table_unref(table);
}

static void test_weights(void **state)
{
	sr_route_table_t *table = sr_route_table_new(1);
	sr_gateway_route_t *route = sr_route_table_add_route(table);

	(void)state;
	sr_gateway_route_add_service(route, "a", 90);
	sr_gateway_route_add_service(route, "b", 10);
	assert_string_equal(sr_gateway_route_pick(route, 0.0), "a");
	assert_string_equal(sr_gateway_route_pick(route, 0.89), "a");
	assert_string_equal(sr_gateway_route_pick(route, 0.91), "b");
	route->authority = g_strdup("a");
	route->prefix = g_strdup("/");
	sr_route_table_seal(table);
	sr_route_table_unref(table);
}

/* Instances. */

static sr_registration_t entry_of(const char *name, guint64 revision)
{
	return (sr_registration_t){
		.name = name,
		.service = "s",
		.address = "127.0.0.1:1",
		.failure_domain = "d",
		.version = "v1",
		.slots = 4,
		.born_ms = 1,
		.revision = revision,
	};
}

static void test_old_news_of_instances_change_nothing(void **state)
{
	sr_instances_t *instances = sr_instances_new();
	sr_registration_t entry = entry_of("i", 5);

	(void)state;
	assert_int_equal(sr_instances_register(instances, &entry, 0),
			 SR_INSTANCE_ADDED);
	entry.revision = 4;
	entry.draining = TRUE;
	assert_int_equal(sr_instances_register(instances, &entry, 0),
			 SR_INSTANCE_UNCHANGED);
	assert_true(
		sr_instance_is_usable(sr_instances_find(instances, "i"), 0));
	/* a removal that is older than the entry, and one that is newer */
	assert_false(sr_instances_remove(instances, "i", 4));
	assert_true(sr_instances_remove(instances, "i", 6));
	/* the entry comes again from a peer that is behind */
	entry = entry_of("i", 5);
	assert_int_equal(sr_instances_register(instances, &entry, 0),
			 SR_INSTANCE_UNCHANGED);
	entry.revision = 7;
	assert_int_equal(sr_instances_register(instances, &entry, 0),
			 SR_INSTANCE_ADDED);
	sr_instances_free(instances);
}

static void test_instance_that_leaves_stays_so(void **state)
{
	sr_instances_t *instances = sr_instances_new();
	sr_registration_t entry = entry_of("i", 5);

	(void)state;
	entry.draining = TRUE;
	sr_instances_register(instances, &entry, 0);
	entry.revision = 6;
	entry.draining = FALSE;
	sr_instances_register(instances, &entry, 0);
	assert_false(
		sr_instance_is_usable(sr_instances_find(instances, "i"), 0));
	/* another start under the same name is another instance */
	entry.revision = 7;
	entry.born_ms = 2;
	assert_int_equal(sr_instances_register(instances, &entry, 0),
			 SR_INSTANCE_RESTARTED);
	assert_true(
		sr_instance_is_usable(sr_instances_find(instances, "i"), 0));
	sr_instances_free(instances);
}

/* Placement. */

#define N_ENGINES 9

typedef struct {
	sr_instances_t *instances;
	sr_prefix_index_t *index;
	sr_engine_speed_t speed;
} engines_t;

static engines_t new_engines(void)
{
	engines_t engines = {
		.instances = sr_instances_new(),
		.index = sr_prefix_index_new(1000),
	};

	sr_engine_speed_init(&engines.speed);
	for (int i = 0; i < N_ENGINES; i++) {
		char name[8];
		sr_registration_t entry;

		g_snprintf(name, sizeof(name), "i%d", i);
		entry = entry_of(name, 1);
		entry.slots = 64;
		sr_instances_register(engines.instances, &entry, 0);
	}
	return engines;
}

static void free_engines(engines_t *engines)
{
	sr_instances_free(engines->instances);
	sr_prefix_index_free(engines->index);
}

static sr_placement_choice_t choose(const engines_t *engines, guint64 thing,
				    double jitter)
{
	guint64 blocks[] = { thing, 1000 + thing };
	guint32 tokens[] = { 13000, 3000 };
	const sr_prompt_t prompt = {
		.blocks = blocks,
		.tokens = tokens,
		.n_blocks = 2,
		.prompt_tokens = 16000,
		.is_stated = TRUE,
	};
	const sr_placement_t placement = {
		.instances = engines->instances,
		.index = engines->index,
		.failure_domain = "d",
	};
	const sr_placement_request_t request = {
		.service = "s",
		.is_engine = TRUE,
		.prompt = &prompt,
		.speed = &engines->speed,
		.jitter = jitter,
	};

	return sr_placement_choose(&placement, &request, SR_MINUTE);
}

/* Pattern: many hosts that know nothing of each other's sends. */
static void test_hosts_agree_on_the_home_of_a_prefix(void **state)
{
	engines_t here = new_engines();
	engines_t there = new_engines();
	unsigned used[N_ENGINES] = { 0 };

	(void)state;
	for (guint64 thing = 1; thing <= 90; thing++) {
		sr_instance_t *a = choose(&here, thing, 0.1).instance;
		sr_instance_t *b = choose(&there, thing, 0.9).instance;

		assert_string_equal(a->name, b->name);
		used[a->name[1] - '0']++;
	}
	for (int i = 0; i < N_ENGINES; i++)
		assert_in_range(used[i], 3, 25);
	free_engines(&here);
	free_engines(&there);
}

/* Pattern: one key gets much of the traffic (a hot key). */
static void test_hot_prefix_leaves_a_busy_home(void **state)
{
	engines_t engines = new_engines();
	sr_instance_t *home = choose(&engines, 7, 0).instance;
	sr_instance_t *other;

	(void)state;
	home->unread_tokens = 8000;
	assert_ptr_equal(choose(&engines, 7, 0).instance, home);
	home->unread_tokens = 40000;
	other = choose(&engines, 7, 0).instance;
	assert_ptr_not_equal(other, home);
	free_engines(&engines);
}

/* Pattern: after a wave of reclaims most instances are new, and the home of
 * a prefix has not read it yet. */
static void test_new_home_is_not_taken_to_be_filled(void **state)
{
	engines_t engines = new_engines();
	sr_placement_choice_t before = choose(&engines, 7, 0);

	(void)state;
	before.instance->added_at = SR_MINUTE - SR_SEC;
	assert_true(choose(&engines, 7, 0).uncached_tokens >
		    2 * before.uncached_tokens);
	free_engines(&engines);
}

/* Pattern: other hosts have sent long prompts that were not told yet. */
static void test_late_first_event_keeps_others_away(void **state)
{
	engines_t engines = new_engines();
	sr_instance_t *home = choose(&engines, 7, 0).instance;

	(void)state;
	sr_placement_observe(home, 0.1, 2 * SR_SEC, SR_MINUTE);
	assert_ptr_not_equal(choose(&engines, 7, 0).instance, home);
	/* and it is forgotten when the work must be done */
	sr_placement_observe(home, 0.1, 2 * SR_SEC, SR_MINUTE - 5 * SR_SEC);
	assert_ptr_equal(choose(&engines, 7, 0).instance, home);
	free_engines(&engines);
}

static void test_leaving_instances_get_nothing(void **state)
{
	engines_t engines = new_engines();
	const GPtrArray *all = sr_instances_all(engines.instances);

	(void)state;
	for (guint i = 0; i < all->len; i++)
		((sr_instance_t *)all->pdata[i])->draining = TRUE;
	assert_null(choose(&engines, 7, 0).instance);
	((sr_instance_t *)all->pdata[3])->draining = FALSE;
	assert_ptr_equal(choose(&engines, 7, 0).instance, all->pdata[3]);
	free_engines(&engines);
}

/* Pattern: all instances of a service fail part of their requests. */
static void test_failing_service_is_still_asked(void **state)
{
	engines_t engines = new_engines();
	const GPtrArray *all = sr_instances_all(engines.instances);

	(void)state;
	for (guint i = 0; i < all->len; i++)
		sr_ejection_failed(&((sr_instance_t *)all->pdata[i])->ejection,
				   SR_MINUTE, 4);
	assert_non_null(choose(&engines, 7, 0).instance);
	/* but not while one of them is sound, nor those that leave */
	sr_ejection_succeeded(&((sr_instance_t *)all->pdata[2])->ejection);
	((sr_instance_t *)all->pdata[2])->ejection.ejected_until = 0;
	assert_ptr_equal(choose(&engines, 7, 0).instance, all->pdata[2]);
	for (guint i = 0; i < all->len; i++)
		((sr_instance_t *)all->pdata[i])->draining = TRUE;
	assert_null(choose(&engines, 7, 0).instance);
	free_engines(&engines);
}

/* Admission. Pattern: a burst of one class. */
static void test_urgent_requests_find_room_in_a_burst(void **state)
{
	sr_admission_facts_t facts = {
		.wait_s = 1.3,
		.first_s = 1.4,
		.target = SR_SEC,
		.time_left = 10 * SR_SEC,
		.priority = 0,
	};
	sr_admission_verdict_t verdict;

	(void)state;
	assert_true(sr_gateway_admit(&facts).admitted);
	facts.priority = 2;
	verdict = sr_gateway_admit(&facts);
	assert_false(verdict.admitted);
	assert_true(verdict.retry_after > 0);
	/* what is late by its own work alone gains nothing by a refusal */
	facts.wait_s = 0;
	assert_true(sr_gateway_admit(&facts).admitted);
}

static void test_lost_request_is_refused_at_once(void **state)
{
	const sr_admission_facts_t facts = {
		.wait_s = 1.5,
		.first_s = 1.6,
		.target = 2 * SR_SEC,
		.time_left = SR_SEC,
	};

	(void)state;
	assert_false(sr_gateway_admit(&facts).admitted);
}

/* The fleet. */

typedef struct {
	sr_route_table_t *table;
	sr_gateway_service_t *service;
	sr_instances_t *instances;
	sr_fleet_plan_t *plan;
	unsigned n;
	unsigned staying[4]; /* as last ordered, by domain */
} fleet_t;

static const char *const domains[] = { "a", "b", "c", "d" };

static unsigned total_staying(const fleet_t *fleet)
{
	return fleet->staying[0] + fleet->staying[1] + fleet->staying[2] +
	       fleet->staying[3];
}

static void add_instances(fleet_t *fleet, const char *domain,
			  gboolean reclaimable, unsigned n)
{
	while (n-- > 0) {
		char name[16];
		sr_registration_t entry;

		g_snprintf(name, sizeof(name), "f%u", fleet->n++);
		entry = entry_of(name, 1);
		entry.failure_domain = domain;
		entry.reclaimable = reclaimable;
		sr_instances_register(fleet->instances, &entry, 0);
	}
}

static fleet_t new_fleet(double reclaimable_price)
{
	fleet_t fleet = {
		.table = sr_route_table_new(1),
		.instances = sr_instances_new(),
		.plan = sr_fleet_plan_new(),
	};
	double prices[] = { 1.0, 0.8, 1.25, 0.9 };

	fleet.service = sr_route_table_add_service(fleet.table);
	fleet.service->name = g_strdup("s");
	fleet.service->scaling = sr_scaling_new();
	fleet.service->scaling->min = 1;
	fleet.service->scaling->max = 6;
	fleet.service->scaling->reclaimable_price = reclaimable_price;
	for (gsize i = 0; i < G_N_ELEMENTS(domains); i++)
		g_hash_table_insert(fleet.service->scaling->domain_prices,
				    g_strdup(domains[i]),
				    g_memdup2(&prices[i], sizeof(double)));
	return fleet;
}

static void free_fleet(fleet_t *fleet)
{
	sr_fleet_plan_free(fleet->plan);
	sr_instances_free(fleet->instances);
	sr_route_table_seal(fleet->table);
	sr_route_table_unref(fleet->table);
}

typedef struct {
	unsigned staying;
	unsigned reclaimable;
	unsigned given_back; /* of those that stay */
	unsigned n;
} orders_t;

static unsigned n_staying(const fleet_t *fleet, const char *domain)
{
	const GPtrArray *all = sr_instances_all(fleet->instances);
	unsigned n = 0;

	for (guint i = 0; i < all->len; i++) {
		const sr_instance_t *instance = all->pdata[i];

		if (!instance->reclaimable &&
		    !strcmp(instance->failure_domain, domain))
			n++;
	}
	return n;
}

static orders_t take_orders(fleet_t *fleet, sr_usec_t now, double work)
{
	const sr_fleet_facts_t facts = {
		.service = fleet->service,
		.instances = fleet->instances,
		.work = work,
	};
	orders_t orders = { 0 };
	sr_fleet_order_t order;

	while (sr_fleet_plan_next(fleet->plan, now, &facts, &order)) {
		*(order.reclaimable ? &orders.reclaimable : &orders.staying) +=
			order.desired;
		if (!order.reclaimable &&
		    order.desired < n_staying(fleet, order.failure_domain))
			orders.given_back++;
		if (!order.reclaimable)
			fleet->staying[order.failure_domain[0] - 'a'] =
				order.desired;
		orders.n++;
		sr_fleet_plan_answered(fleet->plan, order.service,
				       order.failure_domain, order.reclaimable,
				       TRUE);
	}
	return orders;
}

/* Pattern: a wave of reclaims takes a whole failure domain. */
static void test_fleet_bears_the_reclaim_of_a_domain(void **state)
{
	fleet_t fleet = new_fleet(0.15);
	orders_t orders;

	(void)state;
	for (gsize i = 0; i < G_N_ELEMENTS(domains); i++)
		add_instances(&fleet, domains[i], FALSE, 2);
	orders = take_orders(&fleet, SR_SEC, 1.4);
	/* need is 4: three domains have to hold it without the fourth */
	assert_true(orders.reclaimable * 3 / 4 >= 4);
	free_fleet(&fleet);
}

/* Pattern: reclaims one after the other, and none to be had meanwhile. */
static void test_usual_ones_stand_in_for_reclaimed_ones(void **state)
{
	fleet_t fleet = new_fleet(0.15);

	(void)state;
	add_instances(&fleet, "b", FALSE, 1);
	add_instances(&fleet, "d", FALSE, 1);
	for (gsize i = 0; i < G_N_ELEMENTS(domains); i++)
		add_instances(&fleet, domains[i], TRUE, 2);
	for (int s = 1; s < 20; s++)
		take_orders(&fleet, s * SR_SEC, 1.4);
	assert_int_equal(total_staying(&fleet), 2);
	for (guint i = 0; i < sr_instances_all(fleet.instances)->len; i++) {
		sr_instance_t *instance =
			sr_instances_all(fleet.instances)->pdata[i];

		instance->draining = instance->reclaimable;
	}
	take_orders(&fleet, 20 * SR_SEC, 1.4);
	assert_true(total_staying(&fleet) >= 4);
	free_fleet(&fleet);
}

static void test_usual_ones_go_only_when_others_serve(void **state)
{
	fleet_t fleet = new_fleet(0.15);
	unsigned given_back = 0;
	orders_t orders;

	(void)state;
	add_instances(&fleet, "a", FALSE, 3);
	add_instances(&fleet, "b", FALSE, 2);
	take_orders(&fleet, SR_SEC, 1.0);
	/* none of the reclaimable ones has come: nothing is given back */
	for (int s = 2; s < 30; s++) {
		orders = take_orders(&fleet, s * SR_SEC, 1.0);
		assert_int_equal(orders.given_back, 0);
	}
	for (gsize i = 0; i < G_N_ELEMENTS(domains); i++)
		add_instances(&fleet, domains[i], TRUE, 2);
	for (int s = 30; s < 40; s++)
		given_back += take_orders(&fleet, s * SR_SEC, 1.0).given_back;
	assert_int_equal(given_back, 2);
	free_fleet(&fleet);
}

/* Pattern: many instances wait for a load that has not come yet. */
static void test_fleet_is_kept_until_the_load_is_known(void **state)
{
	fleet_t fleet = new_fleet(0.15);
	unsigned given_back = 0;

	(void)state;
	for (gsize i = 0; i < G_N_ELEMENTS(domains); i++)
		add_instances(&fleet, domains[i], FALSE, 6);
	for (int s = 1; s < 30; s++)
		given_back += take_orders(&fleet, s * SR_SEC, 0).given_back;
	for (int s = 30; s < 35; s++)
		given_back += take_orders(&fleet, s * SR_SEC, 1.0).given_back;
	assert_int_equal(given_back, 0);
	for (int s = 35; s < 60; s++)
		given_back += take_orders(&fleet, s * SR_SEC, 1.0).given_back;
	assert_true(given_back > 0);
	free_fleet(&fleet);
}

/* Pattern: many dear instances are there before the day begins. Cheap ones
 * that have come take their place, and together they are no fewer. */
static void test_cheap_ones_take_over_before_the_load_comes(void **state)
{
	fleet_t fleet = new_fleet(0.15);
	unsigned given_back = 0;

	(void)state;
	for (gsize i = 0; i < G_N_ELEMENTS(domains); i++)
		add_instances(&fleet, domains[i], FALSE, 4);
	take_orders(&fleet, SR_SEC, 0);
	for (gsize i = 0; i < G_N_ELEMENTS(domains); i++)
		add_instances(&fleet, domains[i], TRUE, 4);
	for (int s = 2; s < 12; s++)
		given_back += take_orders(&fleet, s * SR_SEC, 0).given_back;
	assert_int_equal(given_back, 4);
	assert_true(total_staying(&fleet) >= 4);
	assert_true(total_staying(&fleet) <= 8);
	free_fleet(&fleet);
}

/* Pattern: a reclaim after a rise in load; fewer than were ordered are
 * wanted, but none are left. */
static void test_reclaimed_ones_are_ordered_again(void **state)
{
	fleet_t fleet = new_fleet(0.15);

	(void)state;
	assert_true(take_orders(&fleet, SR_SEC, 4.0).reclaimable >= 12);
	assert_true(take_orders(&fleet, 15 * SR_SEC, 1.0).reclaimable > 0);
	free_fleet(&fleet);
}

static void test_order_is_repeated_while_none_come(void **state)
{
	fleet_t fleet = new_fleet(0.15);
	unsigned before;

	(void)state;
	before = take_orders(&fleet, SR_SEC, 1.0).n;
	assert_true(before >= 4);
	assert_int_equal(take_orders(&fleet, 2 * SR_SEC, 1.0).n, 0);
	assert_true(take_orders(&fleet, 20 * SR_SEC, 1.0).n >= 4);
	free_fleet(&fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_what_may_run_once_is_sent_once),
		cmocka_unit_test(test_what_may_repeat_is_repeated_in_bounds),
		cmocka_unit_test(test_refusal_is_true),
		cmocka_unit_test(test_resumable_stream_goes_on),
		cmocka_unit_test(test_longest_prefix_wins),
		cmocka_unit_test(test_weights),
		cmocka_unit_test(test_old_news_of_instances_change_nothing),
		cmocka_unit_test(test_instance_that_leaves_stays_so),
		cmocka_unit_test(test_hosts_agree_on_the_home_of_a_prefix),
		cmocka_unit_test(test_hot_prefix_leaves_a_busy_home),
		cmocka_unit_test(test_new_home_is_not_taken_to_be_filled),
		cmocka_unit_test(test_late_first_event_keeps_others_away),
		cmocka_unit_test(test_leaving_instances_get_nothing),
		cmocka_unit_test(test_failing_service_is_still_asked),
		cmocka_unit_test(test_urgent_requests_find_room_in_a_burst),
		cmocka_unit_test(test_lost_request_is_refused_at_once),
		cmocka_unit_test(test_fleet_bears_the_reclaim_of_a_domain),
		cmocka_unit_test(test_usual_ones_stand_in_for_reclaimed_ones),
		cmocka_unit_test(test_usual_ones_go_only_when_others_serve),
		cmocka_unit_test(test_fleet_is_kept_until_the_load_is_known),
		cmocka_unit_test(
			test_cheap_ones_take_over_before_the_load_comes),
		cmocka_unit_test(test_reclaimed_ones_are_ordered_again),
		cmocka_unit_test(test_order_is_repeated_while_none_come),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
