/* Failure domains whose instances take no requests: state, placement, plan. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/evacuation/evacuations.h"
#include "core/fleet_plan.h"
#include "core/placement.h"

#define N_DOMAINS 4

static const char *const domains[N_DOMAINS] = { "a", "b", "c", "d" };

typedef struct {
	sr_instances_t *instances;
	sr_prefix_index_t *index;
	sr_engine_speed_t speed;
	unsigned n_added;
} service_t;

static void add_instance(service_t *service, const char *domain)
{
	char *name = g_strdup_printf("i%u", service->n_added++);
	const sr_registration_t entry = {
		.name = name,
		.service = "s",
		.address = "127.0.0.1:1",
		.failure_domain = domain,
		.version = "v1",
		.slots = 8,
		.revision = 1,
	};

	sr_instances_register(service->instances, &entry, 0);
	g_free(name);
}

static service_t service_new(unsigned per_domain)
{
	service_t service = { .instances = sr_instances_new(),
			      .index = sr_prefix_index_new(100) };

	sr_engine_speed_init(&service.speed);
	for (unsigned i = 0; i < N_DOMAINS * per_domain; i++)
		add_instance(&service, domains[i % N_DOMAINS]);
	return service;
}

static void service_free(service_t *service)
{
	sr_instances_free(service->instances);
	sr_prefix_index_free(service->index);
}

static gboolean set_evacuated(service_t *service, const char *domain,
			      guint64 revision, gboolean is_evacuated)
{
	return sr_instances_set_evacuation(
		service->instances, domain,
		sr_evacuations_version(revision, is_evacuated));
}

/* Domain that a request of an entry host in domain "a" goes to; NULL if it is
 * refused. */
static const char *choose_domain(const service_t *service, double jitter)
{
	const sr_placement_t placement = { .instances = service->instances,
					   .index = service->index,
					   .failure_domain = "a" };
	const sr_placement_request_t request = { .service = "s",
						 .speed = &service->speed,
						 .jitter = jitter };
	sr_placement_choice_t choice =
		sr_placement_choose(&placement, &request, SR_MINUTE);

	return choice.instance ? choice.instance->failure_domain : NULL;
}

/* Guards against EVAC at a host that hears of an evacuation and its end in
 * another order, twice, or after a restore of the store. */
static void test_highest_version_counts_in_any_order(void **state)
{
	static const struct {
		guint64 revision;
		gboolean is_evacuated;
	} changes[] = { { 3, TRUE }, { 5, FALSE }, { 8, TRUE } };

	(void)state;
	for (unsigned first = 0; first < G_N_ELEMENTS(changes); first++) {
		sr_evacuations_t *evacuations = sr_evacuations_new();

		for (unsigned i = 0; i < 2 * G_N_ELEMENTS(changes); i++) {
			unsigned k = (first + 2 * i) % G_N_ELEMENTS(changes);

			sr_evacuations_apply(evacuations, "a",
					     sr_evacuations_version(
						     changes[k].revision,
						     changes[k].is_evacuated));
		}
		assert_true(sr_evacuations_has(evacuations, "a"));
		assert_false(sr_evacuations_has(evacuations, "b"));
		assert_int_equal(sr_evacuations_count(evacuations), 1);
		assert_true(sr_evacuations_apply(
			evacuations, "a", sr_evacuations_version(8, FALSE)));
		assert_int_equal(sr_evacuations_count(evacuations), 0);
		sr_evacuations_free(evacuations);
	}
}

/* Guards against EVAC of a near domain: placement prefers it otherwise. */
static void test_evacuated_domain_takes_no_request(void **state)
{
	service_t service = service_new(2);

	(void)state;
	assert_string_equal(choose_domain(&service, 0), "a");
	assert_true(set_evacuated(&service, "a", 1, TRUE));
	add_instance(&service, "a"); /* one that starts meanwhile */
	for (unsigned i = 0; i < 20; i++)
		assert_string_not_equal(choose_domain(&service, i / 20.0), "a");
	assert_true(set_evacuated(&service, "a", 2, FALSE));
	assert_string_equal(choose_domain(&service, 0), "a");
	service_free(&service);
}

/* Guards against an evacuated instance that is the home of a prefix, is probed,
 * or counts for whether its service is reached. */
static void test_evacuated_instance_counts_as_absent(void **state)
{
	service_t service = service_new(1);
	const GPtrArray *all = sr_instances_all(service.instances);

	(void)state;
	set_evacuated(&service, "b", 1, TRUE);
	for (guint i = 0; i < all->len; i++) {
		const sr_instance_t *instance = all->pdata[i];

		assert_int_equal(sr_instance_is_present(instance),
				 instance->failure_domain[0] != 'b');
	}
	service_free(&service);
}

/* Guards against EVAC where only the evacuated domain has room: all others are
 * ejected, and a service without another instance tries ejected ones. */
static void test_evacuated_domain_is_no_last_resort(void **state)
{
	service_t service = service_new(1);
	const GPtrArray *all = sr_instances_all(service.instances);

	(void)state;
	for (guint i = 0; i < all->len; i++) {
		sr_instance_t *instance = all->pdata[i];

		if (instance->failure_domain[0] != 'a')
			sr_ejection_failed(&instance->ejection, SR_MINUTE, 4);
	}
	set_evacuated(&service, "a", 1, TRUE);
	assert_string_not_equal(choose_domain(&service, 0), "a");
	for (unsigned i = 1; i < N_DOMAINS; i++)
		set_evacuated(&service, domains[i], 1, TRUE);
	assert_null(choose_domain(&service, 0));
	service_free(&service);
}

/* Guards against a fleet that counts on instances which take nothing: the other
 * domains get the part of the evacuated one, which gets no order. */
static void test_plan_replaces_the_evacuated_domain(void **state)
{
	service_t service = service_new(2);
	sr_route_table_t *table = sr_route_table_new(1);
	sr_gateway_service_t *config = sr_route_table_add_service(table);
	sr_fleet_plan_t *plan = sr_fleet_plan_new();
	sr_fleet_plan_input_t input = { .service = config,
					.instances = service.instances,
					.work = 4,
					.is_work_known = TRUE };
	sr_fleet_order_t order;
	unsigned n_ordered = 0;

	(void)state;
	config->name = g_strdup("s");
	config->scaling = sr_scaling_new();
	config->scaling->max = 20;
	for (unsigned i = 0; i < N_DOMAINS; i++) {
		double price = 1;

		g_hash_table_insert(config->scaling->domain_prices,
				    g_strdup(domains[i]),
				    g_memdup2(&price, sizeof(price)));
	}
	set_evacuated(&service, "a", 1, TRUE);
	while (sr_fleet_plan_next(plan, SR_MINUTE, &input, &order)) {
		assert_string_not_equal(order.failure_domain, "a");
		n_ordered += order.desired;
		sr_fleet_plan_order_done(plan, order.service,
					 order.failure_domain,
					 order.reclaimable, TRUE);
	}
	/* work of 4 busy instances needs 8 serving ones */
	assert_true(n_ordered >= 8);
	sr_fleet_plan_free(plan);
	sr_route_table_seal(table);
	sr_route_table_unref(table);
	service_free(&service);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_highest_version_counts_in_any_order),
		cmocka_unit_test(test_evacuated_domain_takes_no_request),
		cmocka_unit_test(test_evacuated_instance_counts_as_absent),
		cmocka_unit_test(test_evacuated_domain_is_no_last_resort),
		cmocka_unit_test(test_plan_replaces_the_evacuated_domain),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
