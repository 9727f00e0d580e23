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
#include "core/retry_policy.h"
#include "core/route_table.h"

/* Retry policy. */

static sr_retry_input_t make_retry_input(sr_route_kind_t kind,
					 sr_attempt_outcome_t outcome)
{
	return (sr_retry_input_t){
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

static sr_retry_action_t next_action(sr_route_kind_t kind,
				     sr_attempt_outcome_t outcome)
{
	sr_retry_input_t input = make_retry_input(kind, outcome);

	return sr_retry_next_action(&input);
}

static void test_non_idempotent_requests_are_not_rerun(void **state)
{
	(void)state;
	assert_int_equal(
		next_action(SR_ROUTE_NON_IDEMPOTENT, SR_ATTEMPT_BROKEN),
		SR_RETRY_ACTION_FAIL);
	assert_int_equal(next_action(SR_ROUTE_STREAM, SR_ATTEMPT_BROKEN),
			 SR_RETRY_ACTION_FAIL);
	assert_int_equal(
		next_action(SR_ROUTE_NON_IDEMPOTENT, SR_ATTEMPT_FAILED),
		SR_RETRY_ACTION_FORWARD);
	assert_int_equal(
		next_action(SR_ROUTE_NON_IDEMPOTENT, SR_ATTEMPT_REJECTED),
		SR_RETRY_ACTION_RETRY);
	assert_int_equal(
		next_action(SR_ROUTE_NON_IDEMPOTENT, SR_ATTEMPT_NOT_SENT),
		SR_RETRY_ACTION_RETRY);
	assert_int_equal(next_action(SR_ROUTE_STREAM, SR_ATTEMPT_TRUNCATED),
			 SR_RETRY_ACTION_ABORT);
}

static void test_idempotent_retries_are_bounded(void **state)
{
	sr_retry_input_t input =
		make_retry_input(SR_ROUTE_IDEMPOTENT, SR_ATTEMPT_BROKEN);

	(void)state;
	assert_int_equal(sr_retry_next_action(&input), SR_RETRY_ACTION_RETRY);
	input.in_budget = FALSE;
	assert_int_equal(sr_retry_next_action(&input), SR_RETRY_ACTION_FAIL);
	input.in_budget = TRUE;
	input.n_sent = 2;
	assert_int_equal(sr_retry_next_action(&input), SR_RETRY_ACTION_FAIL);
	/* the last attempt doesn't count if its instance was removed */
	input.instance_removed = TRUE;
	assert_int_equal(sr_retry_next_action(&input), SR_RETRY_ACTION_RETRY);
	input.time_left = 0;
	assert_int_equal(sr_retry_next_action(&input), SR_RETRY_ACTION_FAIL);
}

/* A request is reported as not run only if no attempt may have run it. */
static void test_refused_only_if_never_run(void **state)
{
	sr_retry_input_t input =
		make_retry_input(SR_ROUTE_IDEMPOTENT, SR_ATTEMPT_REJECTED);

	(void)state;
	input.in_budget = FALSE;
	assert_int_equal(sr_retry_next_action(&input), SR_RETRY_ACTION_REFUSE);
	input.may_have_run = TRUE; /* in an earlier attempt */
	assert_int_equal(sr_retry_next_action(&input), SR_RETRY_ACTION_FAIL);
}

static void test_resumable_stream_is_resumed(void **state)
{
	sr_retry_input_t input =
		make_retry_input(SR_ROUTE_STREAM, SR_ATTEMPT_TRUNCATED);

	(void)state;
	input.resumable = TRUE;
	assert_int_equal(sr_retry_next_action(&input), SR_RETRY_ACTION_RETRY);
	input.max_attempts = 1;
	assert_int_equal(sr_retry_next_action(&input), SR_RETRY_ACTION_ABORT);
}

/* Route table. */

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
		sr_route_table_find_route(table, "A.example", "/x/y/z")->name,
		"long");
	assert_string_equal(
		sr_route_table_find_route(table, "a.example", "/x/y")->name,
		"short");
	assert_string_equal(
		sr_route_table_find_route(table, "b.example", "/x/y/")->name,
		"other");
	assert_null(sr_route_table_find_route(table, "b.example", "/x/"));
	assert_null(sr_route_table_find_route(table, "c.example", "/x/"));
	sr_route_table_unref(table);
}

static void test_pick_follows_service_weights(void **state)
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

static sr_registration_t make_registration(const char *name, guint64 revision)
{
	return (sr_registration_t){
		.name = name,
		.service = "s",
		.address = "127.0.0.1:1",
		.failure_domain = "d",
		.version = "v1",
		.slots = 4,
		.start_unix_ms = 1,
		.revision = revision,
	};
}

static void test_stale_registrations_are_ignored(void **state)
{
	sr_instances_t *instances = sr_instances_new();
	sr_registration_t entry = make_registration("i", 5);

	(void)state;
	assert_int_equal(sr_instances_register(instances, &entry, 0),
			 SR_INSTANCE_ADDED);
	entry.revision = 4;
	entry.draining = TRUE;
	assert_int_equal(sr_instances_register(instances, &entry, 0),
			 SR_INSTANCE_UNCHANGED);
	assert_true(
		sr_instance_is_usable(sr_instances_find(instances, "i"), 0));
	/* a removal older than the entry, and a newer one */
	assert_false(sr_instances_remove(instances, "i", 4));
	assert_true(sr_instances_remove(instances, "i", 6));
	/* the removed entry again, as from a peer that lags behind */
	entry = make_registration("i", 5);
	assert_int_equal(sr_instances_register(instances, &entry, 0),
			 SR_INSTANCE_UNCHANGED);
	entry.revision = 7;
	assert_int_equal(sr_instances_register(instances, &entry, 0),
			 SR_INSTANCE_ADDED);
	sr_instances_free(instances);
}

static void test_draining_lasts_until_restart(void **state)
{
	sr_instances_t *instances = sr_instances_new();
	sr_registration_t entry = make_registration("i", 5);

	(void)state;
	entry.draining = TRUE;
	sr_instances_register(instances, &entry, 0);
	entry.revision = 6;
	entry.draining = FALSE;
	sr_instances_register(instances, &entry, 0);
	assert_false(
		sr_instance_is_usable(sr_instances_find(instances, "i"), 0));
	/* a later start under the same name is a new instance */
	entry.revision = 7;
	entry.start_unix_ms = 2;
	assert_int_equal(sr_instances_register(instances, &entry, 0),
			 SR_INSTANCE_RESTARTED);
	assert_true(
		sr_instance_is_usable(sr_instances_find(instances, "i"), 0));
	sr_instances_free(instances);
}

/* The store was restored from a copy in which an instance that drained and left
 * is still ready; its entry has a later revision, but the same start. */
static void test_gone_instance_does_not_return(void **state)
{
	sr_instances_t *instances = sr_instances_new();
	sr_registration_t entry = make_registration("i", 5);

	(void)state;
	entry.draining = TRUE;
	sr_instances_register(instances, &entry, 0);
	assert_true(sr_instances_remove(instances, "i", 6));
	entry.draining = FALSE;
	entry.revision = 100;
	assert_int_equal(sr_instances_register(instances, &entry, 0),
			 SR_INSTANCE_UNCHANGED);
	entry.start_unix_ms = 2;
	assert_int_equal(sr_instances_register(instances, &entry, 0),
			 SR_INSTANCE_ADDED);
	sr_instances_free(instances);
}

/* A removal that arrives late must not let older entries in again. */
static void test_late_removal_keeps_the_later_one(void **state)
{
	sr_instances_t *instances = sr_instances_new();
	sr_registration_t entry = make_registration("i", 5);

	(void)state;
	sr_instances_register(instances, &entry, 0);
	sr_instances_remove(instances, "i", 9);
	sr_instances_remove(instances, "i", 6);
	entry.revision = 8;
	assert_int_equal(sr_instances_register(instances, &entry, 0),
			 SR_INSTANCE_UNCHANGED);
	sr_instances_free(instances);
}

/* Placement. */

#define N_ENGINES 9

typedef struct {
	sr_instances_t *instances;
	sr_prefix_index_t *index;
	sr_engine_speed_t speed;
} engines_t;

static engines_t engines_new(void)
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
		entry = make_registration(name, 1);
		entry.slots = 64;
		sr_instances_register(engines.instances, &entry, 0);
	}
	return engines;
}

static void engines_free(engines_t *engines)
{
	sr_instances_free(engines->instances);
	sr_prefix_index_free(engines->index);
}

static sr_placement_choice_t choose_instance(const engines_t *engines,
					     guint64 prefix_id, double jitter)
{
	guint64 blocks[] = { prefix_id, 1000 + prefix_id };
	guint32 tokens[] = { 13000, 3000 };
	const sr_prompt_parts_t prompt = {
		.blocks = blocks,
		.tokens = tokens,
		.n_blocks = 2,
		.prompt_tokens = 16000,
		.is_declared = TRUE,
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

/* Without coordination, entry hosts must send a prefix to the same instance, or
 * each of them fills another cache with it. */
static void test_hosts_agree_on_home_instance(void **state)
{
	engines_t here = engines_new();
	engines_t there = engines_new();
	unsigned used[N_ENGINES] = { 0 };

	(void)state;
	for (guint64 prefix_id = 1; prefix_id <= 90; prefix_id++) {
		sr_instance_t *a =
			choose_instance(&here, prefix_id, 0.1).instance;
		sr_instance_t *b =
			choose_instance(&there, prefix_id, 0.9).instance;

		assert_string_equal(a->name, b->name);
		used[a->name[1] - '0']++;
	}
	for (int i = 0; i < N_ENGINES; i++)
		assert_in_range(used[i], 3, 25);
	engines_free(&here);
	engines_free(&there);
}

/* A prefix that receives much of the traffic must not overload its home. */
static void test_hot_prefix_moves_off_overloaded_home(void **state)
{
	engines_t engines = engines_new();
	sr_instance_t *home = choose_instance(&engines, 7, 0).instance;
	sr_instance_t *other;

	(void)state;
	home->pending_prompt_tokens = 8000;
	assert_ptr_equal(choose_instance(&engines, 7, 0).instance, home);
	home->pending_prompt_tokens = 40000;
	other = choose_instance(&engines, 7, 0).instance;
	assert_ptr_not_equal(other, home);
	engines_free(&engines);
}

/* After many instances were reclaimed, most instances are new, and the home of
 * a prefix has not cached it yet. */
static void test_new_home_is_expected_to_have_a_cold_cache(void **state)
{
	engines_t engines = engines_new();
	sr_placement_choice_t before = choose_instance(&engines, 7, 0);

	(void)state;
	before.instance->added_at = SR_MINUTE - SR_SEC;
	assert_true(choose_instance(&engines, 7, 0).uncached_tokens >
		    2 * before.uncached_tokens);
	engines_free(&engines);
}

/* Other entry hosts sent long prompts and have not reported them yet: only the
 * late first event shows that the instance is busy. */
static void test_late_first_event_diverts_requests(void **state)
{
	engines_t engines = engines_new();
	sr_instance_t *home = choose_instance(&engines, 7, 0).instance;

	(void)state;
	sr_placement_observe(home, 0.1, 2 * SR_SEC, SR_MINUTE);
	assert_ptr_not_equal(choose_instance(&engines, 7, 0).instance, home);
	/* the delay decays as the prompts are processed */
	sr_placement_observe(home, 0.1, 2 * SR_SEC, SR_MINUTE - 5 * SR_SEC);
	assert_ptr_equal(choose_instance(&engines, 7, 0).instance, home);
	engines_free(&engines);
}

/* One of hundreds of hosts sees a few prompts a second. It must know the speed
 * of the engines within seconds: what the prompts need follows from it. */
static void test_speed_is_learnt_from_few_samples(void **state)
{
	sr_engine_speed_t speed;

	(void)state;
	sr_engine_speed_init(&speed);
	for (int i = 0; i < 15; i++)
		sr_engine_speed_add_first_event(
			&speed, 10000,
			(sr_usec_t)(speed.base_s * SR_SEC) + 100 * SR_MSEC);
	assert_true(speed.tokens_per_s > 85000);
	assert_true(speed.tokens_per_s < 110000);
}

static void test_draining_instances_get_no_requests(void **state)
{
	engines_t engines = engines_new();
	const GPtrArray *all = sr_instances_all(engines.instances);

	(void)state;
	for (guint i = 0; i < all->len; i++)
		((sr_instance_t *)all->pdata[i])->draining = TRUE;
	assert_null(choose_instance(&engines, 7, 0).instance);
	((sr_instance_t *)all->pdata[3])->draining = FALSE;
	assert_ptr_equal(choose_instance(&engines, 7, 0).instance,
			 all->pdata[3]);
	engines_free(&engines);
}

/* All instances of a service fail some requests and are ejected. The rest of
 * their requests succeed, so the service must still be used. */
static void test_fully_ejected_service_is_still_tried(void **state)
{
	engines_t engines = engines_new();
	const GPtrArray *all = sr_instances_all(engines.instances);

	(void)state;
	for (guint i = 0; i < all->len; i++)
		sr_ejection_failed(&((sr_instance_t *)all->pdata[i])->ejection,
				   SR_MINUTE, 4);
	assert_non_null(choose_instance(&engines, 7, 0).instance);
	/* but not if another is healthy, and never a draining one */
	sr_ejection_succeeded(&((sr_instance_t *)all->pdata[2])->ejection);
	((sr_instance_t *)all->pdata[2])->ejection.ejected_until = 0;
	assert_ptr_equal(choose_instance(&engines, 7, 0).instance,
			 all->pdata[2]);
	for (guint i = 0; i < all->len; i++)
		((sr_instance_t *)all->pdata[i])->draining = TRUE;
	assert_null(choose_instance(&engines, 7, 0).instance);
	engines_free(&engines);
}

/* Admission. */

/* In a burst of less urgent requests the urgent ones must be admitted. */
static void test_urgent_requests_are_admitted_in_a_burst(void **state)
{
	sr_gateway_admission_input_t input = {
		.wait_s = 1.3,
		.first_event_s = 1.4,
		.target = SR_SEC,
		.time_left = 10 * SR_SEC,
		.priority = 0,
	};
	sr_gateway_admission_result_t result;

	(void)state;
	assert_true(sr_gateway_admit(&input).admitted);
	input.priority = 2;
	result = sr_gateway_admit(&input);
	assert_false(result.admitted);
	assert_true(result.retry_after > 0);
	/* late only because of its own processing time: refusing is no use */
	input.wait_s = 0;
	assert_true(sr_gateway_admit(&input).admitted);
}

static void test_request_missing_its_deadline_is_refused(void **state)
{
	const sr_gateway_admission_input_t input = {
		.wait_s = 1.5,
		.first_event_s = 1.6,
		.target = 2 * SR_SEC,
		.time_left = SR_SEC,
	};

	(void)state;
	assert_false(sr_gateway_admit(&input).admitted);
}

/* Fleet plan. */

typedef struct {
	sr_route_table_t *table;
	sr_gateway_service_t *service;
	sr_instances_t *instances;
	sr_fleet_plan_t *plan;
	unsigned n;	     /* instances ever added */
	unsigned regular[4]; /* last ordered count per domain */
} fleet_t;

static const char *const domains[] = { "a", "b", "c", "d" };

static unsigned total_regular(const fleet_t *fleet)
{
	return fleet->regular[0] + fleet->regular[1] + fleet->regular[2] +
	       fleet->regular[3];
}

static void add_instances(fleet_t *fleet, const char *domain,
			  gboolean reclaimable, unsigned n)
{
	while (n-- > 0) {
		char name[16];
		sr_registration_t entry;

		g_snprintf(name, sizeof(name), "f%u", fleet->n++);
		entry = make_registration(name, 1);
		entry.failure_domain = domain;
		entry.reclaimable = reclaimable;
		sr_instances_register(fleet->instances, &entry, 0);
	}
}

static fleet_t fleet_new(double reclaimable_price_ratio)
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
	fleet.service->scaling->reclaimable_price_ratio =
		reclaimable_price_ratio;
	for (gsize i = 0; i < G_N_ELEMENTS(domains); i++)
		g_hash_table_insert(fleet.service->scaling->domain_prices,
				    g_strdup(domains[i]),
				    g_memdup2(&prices[i], sizeof(double)));
	return fleet;
}

static void fleet_free(fleet_t *fleet)
{
	sr_fleet_plan_free(fleet->plan);
	sr_instances_free(fleet->instances);
	sr_route_table_seal(fleet->table);
	sr_route_table_unref(fleet->table);
}

/* Sums over the orders of one collect_orders(); regular instances are those
 * that are not reclaimable. */
typedef struct {
	unsigned regular;
	unsigned reclaimable;
	unsigned reductions; /* orders for fewer regular ones than exist */
	unsigned n;	     /* orders */
} orders_t;

static unsigned count_regular(const fleet_t *fleet, const char *domain)
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

static orders_t collect_orders_for(fleet_t *fleet, sr_usec_t now, double work,
				   gboolean is_work_known)
{
	const sr_fleet_plan_input_t input = {
		.service = fleet->service,
		.instances = fleet->instances,
		.work = work,
		.is_work_known = is_work_known,
	};
	orders_t orders = { 0 };
	sr_fleet_order_t order;

	while (sr_fleet_plan_next(fleet->plan, now, &input, &order)) {
		*(order.reclaimable ? &orders.reclaimable : &orders.regular) +=
			order.desired;
		if (!order.reclaimable &&
		    order.desired < count_regular(fleet, order.failure_domain))
			orders.reductions++;
		if (!order.reclaimable)
			fleet->regular[order.failure_domain[0] - 'a'] =
				order.desired;
		orders.n++;
		sr_fleet_plan_order_done(fleet->plan, order.service,
					 order.failure_domain,
					 order.reclaimable, TRUE);
	}
	return orders;
}

static orders_t collect_orders(fleet_t *fleet, sr_usec_t now, double work)
{
	return collect_orders_for(fleet, now, work, TRUE);
}

/* All reclaimable instances of a failure domain may be reclaimed at once. */
static void test_fleet_survives_reclaim_of_a_domain(void **state)
{
	fleet_t fleet = fleet_new(0.15);
	orders_t orders;

	(void)state;
	for (gsize i = 0; i < G_N_ELEMENTS(domains); i++)
		add_instances(&fleet, domains[i], FALSE, 2);
	orders = collect_orders(&fleet, SR_SEC, 1.4);
	/* 4 are needed, so three domains without the fourth must have 4 */
	assert_true(orders.reclaimable * 3 / 4 >= 4);
	fleet_free(&fleet);
}

/* Instances are reclaimed in succession, and no new reclaimable ones are
 * available in the meantime. */
static void test_regular_instances_replace_reclaimed_ones(void **state)
{
	fleet_t fleet = fleet_new(0.15);

	(void)state;
	add_instances(&fleet, "b", FALSE, 1);
	add_instances(&fleet, "d", FALSE, 1);
	for (gsize i = 0; i < G_N_ELEMENTS(domains); i++)
		add_instances(&fleet, domains[i], TRUE, 2);
	for (int s = 1; s < 20; s++)
		collect_orders(&fleet, s * SR_SEC, 1.4);
	assert_int_equal(total_regular(&fleet), 2);
	for (guint i = 0; i < sr_instances_all(fleet.instances)->len; i++) {
		sr_instance_t *instance =
			sr_instances_all(fleet.instances)->pdata[i];

		instance->draining = instance->reclaimable;
	}
	collect_orders(&fleet, 20 * SR_SEC, 1.4);
	assert_true(total_regular(&fleet) >= 4);
	fleet_free(&fleet);
}

static void test_regular_instances_stay_until_replaced(void **state)
{
	fleet_t fleet = fleet_new(0.15);
	unsigned reductions = 0;
	orders_t orders;

	(void)state;
	add_instances(&fleet, "a", FALSE, 3);
	add_instances(&fleet, "b", FALSE, 2);
	collect_orders(&fleet, SR_SEC, 1.0);
	/* none is released before reclaimable ones have registered */
	for (int s = 2; s < 30; s++) {
		orders = collect_orders(&fleet, s * SR_SEC, 1.0);
		assert_int_equal(orders.reductions, 0);
	}
	for (gsize i = 0; i < G_N_ELEMENTS(domains); i++)
		add_instances(&fleet, domains[i], TRUE, 2);
	for (int s = 30; s < 40; s++)
		reductions +=
			collect_orders(&fleet, s * SR_SEC, 1.0).reductions;
	assert_int_equal(reductions, 2);
	fleet_free(&fleet);
}

/* A fleet that is idle because its load has not started yet must be kept. */
static void test_fleet_is_not_reduced_before_load_is_known(void **state)
{
	fleet_t fleet = fleet_new(0.15);
	unsigned reductions = 0;

	(void)state;
	for (gsize i = 0; i < G_N_ELEMENTS(domains); i++)
		add_instances(&fleet, domains[i], FALSE, 6);
	for (int s = 1; s < 30; s++)
		reductions += collect_orders(&fleet, s * SR_SEC, 0).reductions;
	for (int s = 30; s < 35; s++)
		reductions +=
			collect_orders(&fleet, s * SR_SEC, 1.0).reductions;
	assert_int_equal(reductions, 0);
	for (int s = 35; s < 60; s++)
		reductions +=
			collect_orders(&fleet, s * SR_SEC, 1.0).reductions;
	assert_true(reductions > 0);
	fleet_free(&fleet);
}

/* A fleet of regular instances is idle before its load starts. Reclaimable
 * ones that have registered replace some of them; the total must not fall. */
static void test_reclaimable_replace_regular_before_load(void **state)
{
	fleet_t fleet = fleet_new(0.15);
	unsigned reductions = 0;

	(void)state;
	for (gsize i = 0; i < G_N_ELEMENTS(domains); i++)
		add_instances(&fleet, domains[i], FALSE, 4);
	collect_orders(&fleet, SR_SEC, 0);
	for (gsize i = 0; i < G_N_ELEMENTS(domains); i++)
		add_instances(&fleet, domains[i], TRUE, 4);
	for (int s = 2; s < 12; s++)
		reductions += collect_orders(&fleet, s * SR_SEC, 0).reductions;
	assert_int_equal(reductions, 4);
	assert_true(total_regular(&fleet) >= 4);
	assert_true(total_regular(&fleet) <= 8);
	fleet_free(&fleet);
}

/* Lets the instances beyond the last order of each domain drain. */
static void drain_released(fleet_t *fleet)
{
	const GPtrArray *all = sr_instances_all(fleet->instances);
	unsigned kept[G_N_ELEMENTS(domains)] = { 0 };

	for (guint i = 0; i < all->len; i++) {
		sr_instance_t *instance = all->pdata[i];
		unsigned d = (unsigned)(instance->failure_domain[0] - 'a');

		if (!instance->reclaimable && !instance->draining &&
		    ++kept[d] > fleet->regular[d])
			instance->draining = TRUE;
	}
}

static unsigned count_present(const fleet_t *fleet)
{
	const GPtrArray *all = sr_instances_all(fleet->instances);
	unsigned n = 0;

	for (guint i = 0; i < all->len; i++)
		n += sr_instance_is_present(all->pdata[i]);
	return n;
}

/* The load falls to a quarter, so that each domain has too many instances. What
 * the domains release together must leave enough, and not all at once. */
static void test_domains_release_in_steps_together(void **state)
{
	fleet_t fleet = fleet_new(0);
	unsigned before;

	(void)state;
	fleet.service->scaling->max = 20;
	for (gsize i = 0; i < G_N_ELEMENTS(domains); i++) {
		add_instances(&fleet, domains[i], FALSE, 12);
		fleet.regular[i] = 12;
	}
	for (int s = 1; s < 10; s++)
		collect_orders(&fleet, s * SR_SEC, 16);
	for (int s = 10; s < 120; s++) {
		before = count_present(&fleet);
		collect_orders(&fleet, s * SR_SEC, 4);
		drain_released(&fleet);
		/* 8 are needed, and 0.35 of them in reserve */
		assert_true(count_present(&fleet) >= 10);
		assert_true(before - count_present(&fleet) <= before / 4);
	}
	assert_true(count_present(&fleet) < 24);
	fleet_free(&fleet);
}

/* The load reports of the other hosts are lost under load. The work that is
 * still known is next to nothing, and must not take instances away. */
static void run_unknown_load(int known_s)
{
	fleet_t fleet = fleet_new(0.15);
	unsigned reductions = 0;

	for (gsize i = 0; i < G_N_ELEMENTS(domains); i++) {
		add_instances(&fleet, domains[i], FALSE, 4);
		add_instances(&fleet, domains[i], TRUE, 4);
	}
	for (int s = 1; s < known_s; s++)
		collect_orders(&fleet, s * SR_SEC, 6);
	for (int s = known_s; s < 90; s++)
		reductions += collect_orders_for(&fleet, s * SR_SEC, 0, FALSE)
				      .reductions;
	assert_int_equal(reductions, 0);
	fleet_free(&fleet);
}

static void test_unknown_load_releases_nothing(void **state)
{
	(void)state;
	run_unknown_load(10);
	/* a host that has just taken over the orders */
	run_unknown_load(1);
}

/* Prompts are short, but their answers occupy the slots of the engines. */
static void test_running_requests_need_instances(void **state)
{
	fleet_t fleet = fleet_new(0);

	(void)state;
	for (gsize i = 0; i < G_N_ELEMENTS(domains); i++)
		add_instances(&fleet, domains[i], FALSE, 2);
	for (guint i = 0; i < sr_instances_all(fleet.instances)->len; i++) {
		sr_instance_t *instance =
			sr_instances_all(fleet.instances)->pdata[i];

		instance->in_flight = instance->slots;
	}
	collect_orders(&fleet, SR_SEC, 0.1);
	assert_true(total_regular(&fleet) > 8);
	fleet_free(&fleet);
}

/* After a peak in load the instances are reclaimed. Fewer are needed than were
 * ordered for the peak, but none are left, so a new order is due. */
static void test_reclaimed_instances_are_reordered(void **state)
{
	fleet_t fleet = fleet_new(0.15);

	(void)state;
	assert_true(collect_orders(&fleet, SR_SEC, 4.0).reclaimable >= 12);
	assert_true(collect_orders(&fleet, 15 * SR_SEC, 1.0).reclaimable > 0);
	fleet_free(&fleet);
}

static void test_unfilled_order_is_repeated(void **state)
{
	fleet_t fleet = fleet_new(0.15);
	unsigned before;

	(void)state;
	before = collect_orders(&fleet, SR_SEC, 1.0).n;
	assert_true(before >= 4);
	assert_int_equal(collect_orders(&fleet, 2 * SR_SEC, 1.0).n, 0);
	assert_true(collect_orders(&fleet, 20 * SR_SEC, 1.0).n >= 4);
	fleet_free(&fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_non_idempotent_requests_are_not_rerun),
		cmocka_unit_test(test_idempotent_retries_are_bounded),
		cmocka_unit_test(test_refused_only_if_never_run),
		cmocka_unit_test(test_resumable_stream_is_resumed),
		cmocka_unit_test(test_longest_prefix_wins),
		cmocka_unit_test(test_pick_follows_service_weights),
		cmocka_unit_test(test_stale_registrations_are_ignored),
		cmocka_unit_test(test_draining_lasts_until_restart),
		cmocka_unit_test(test_gone_instance_does_not_return),
		cmocka_unit_test(test_late_removal_keeps_the_later_one),
		cmocka_unit_test(test_hosts_agree_on_home_instance),
		cmocka_unit_test(test_hot_prefix_moves_off_overloaded_home),
		cmocka_unit_test(
			test_new_home_is_expected_to_have_a_cold_cache),
		cmocka_unit_test(test_late_first_event_diverts_requests),
		cmocka_unit_test(test_speed_is_learnt_from_few_samples),
		cmocka_unit_test(test_draining_instances_get_no_requests),
		cmocka_unit_test(test_fully_ejected_service_is_still_tried),
		cmocka_unit_test(test_urgent_requests_are_admitted_in_a_burst),
		cmocka_unit_test(test_request_missing_its_deadline_is_refused),
		cmocka_unit_test(test_fleet_survives_reclaim_of_a_domain),
		cmocka_unit_test(test_regular_instances_replace_reclaimed_ones),
		cmocka_unit_test(test_regular_instances_stay_until_replaced),
		cmocka_unit_test(
			test_fleet_is_not_reduced_before_load_is_known),
		cmocka_unit_test(test_reclaimable_replace_regular_before_load),
		cmocka_unit_test(test_domains_release_in_steps_together),
		cmocka_unit_test(test_unknown_load_releases_nothing),
		cmocka_unit_test(test_running_requests_need_instances),
		cmocka_unit_test(test_reclaimed_instances_are_reordered),
		cmocka_unit_test(test_unfilled_order_is_repeated),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
