#include "core/fleet_plan.h"

#include <math.h>

#include "core/placement.h"

/** Maximum fraction of an instance's time for the processing of prompts. The
 * rest is for the steps of running requests and for uneven arrivals. */
#define UTILISATION_MAX 0.5

/** Maximum fraction of an instance's slots that running requests occupy; the
 * rest is for uneven arrivals. */
#define OCCUPANCY_MAX 0.7

/** Time from the first work until the load counts as known. */
#define LOAD_KNOWN_AFTER (5 * SR_SEC)

/** Fraction of the initial instances that counts as needed until then. */
#define INITIAL_NEED_FRACTION 0.6

/** Time constant of the decay of a peak of work, in s. */
#define PEAK_TIME_CONSTANT_S 15.0

/** Work up to which a service counts as idle, in busy instances. */
#define IDLE_WORK_MAX 0.05

/** Instances that are needed at any load. */
#define NEED_MIN 3.0

/** Reclaimable instances that remain after the loss of the largest domain, as a
 * multiple of the need. */
#define RECLAIMABLE_FACTOR 1.3

/** Fraction of the need that is covered by regular instances at least. */
#define REGULAR_FRACTION 0.35

/** Regular instances that are ordered at least. */
#define REGULAR_MIN 2

/** Ratio of serving instances to the need. What the reclaimable instances fall
 * short of it is ordered as regular ones. */
#define SERVING_FACTOR 1.2

/** Time after which an order is repeated if its instances do not serve. */
#define ORDER_REPEAT_INTERVAL (8 * SR_SEC)

/** Time after which an order that failed is sent again. */
#define FAILED_ORDER_DELAY (3 * SR_SEC)

/** Time for which fewer instances must suffice before fewer are ordered. */
#define SHRINK_DELAY (6 * SR_SEC)

/** The same for reclaimable instances: they are cheap, but the loss of their
 * caches is not. */
#define SHRINK_DELAY_RECLAIMABLE (25 * SR_SEC)

/** Largest fraction of the serving instances that is released at a time. */
#define RELEASE_FRACTION 0.25

/** order_state_t - the last order for a service, failure domain and kind. */
typedef struct {
	unsigned ordered;
	gboolean is_accepted; /* by the platform */
	gboolean is_pending;
	sr_usec_t ordered_at;
	sr_usec_t retry_at;	/* after a failure; 0 if none */
	sr_usec_t excess_since; /* fewer would suffice; 0 if not */
} order_state_t;

/** load_t - load of a service, in busy instances. */
typedef struct {
	sr_usec_t since;  /* time of the first work; 0 for none */
	unsigned initial; /* most regular instances that served before */
	double peak;	  /* of the instances needed; decays */
	sr_usec_t peak_at;
} load_t;

/** context_t - the input of a plan and what is derived from it. */
typedef struct {
	const sr_gateway_service_t *service;
	const sr_instances_t *instances;
	double work;
	gboolean is_work_known;
	double need;	      /* instances */
	unsigned initial;     /* as in load_t */
	unsigned n_releasing; /* serving instances that were given back */
	gboolean is_load_known;
} context_t;

struct sr_fleet_plan {
	GHashTable *order_states; /* "service/domain/kind" -> order_state_t */
	GHashTable *loads;	  /* service -> load_t */
};

sr_fleet_plan_t *sr_fleet_plan_new(void)
{
	sr_fleet_plan_t *plan = g_new0(sr_fleet_plan_t, 1);

	plan->order_states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	plan->loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return plan;
}

void sr_fleet_plan_free(sr_fleet_plan_t *plan)
{
	if (!plan)
		return;
	g_hash_table_unref(plan->order_states);
	g_hash_table_unref(plan->loads);
	g_free(plan);
}

static order_state_t *get_order_state(sr_fleet_plan_t *plan,
				      const char *service, const char *domain,
				      gboolean reclaimable)
{
	char *key = g_strdup_printf("%s/%s/%d", service, domain,
				    reclaimable ? 1 : 0);
	order_state_t *state = g_hash_table_lookup(plan->order_states, key);

	if (state) {
		g_free(key);
		return state;
	}
	state = g_new0(order_state_t, 1);
	g_hash_table_insert(plan->order_states, key, state);
	return state;
}

/* Counts instances of a kind that serve and are not draining, in a domain or,
 * if it is NULL, in all. */
static unsigned count_serving(const context_t *context, const char *domain,
			      gboolean reclaimable)
{
	const GPtrArray *list = sr_instances_of_service(context->instances,
							context->service->name);
	unsigned n = 0;

	for (guint i = 0; list && i < list->len; i++) {
		const sr_instance_t *instance = list->pdata[i];

		if (!instance->draining && !instance->is_evacuated &&
		    !instance->reclaimable == !reclaimable &&
		    (!domain || !g_strcmp0(instance->failure_domain, domain)))
			n++;
	}
	return n;
}

/* Instances whose slots the requests of all entry hosts occupy. */
static double occupied_instances(const context_t *context, sr_usec_t now)
{
	const GPtrArray *list = sr_instances_of_service(context->instances,
							context->service->name);
	double sum = 0;

	for (guint i = 0; list && i < list->len; i++) {
		const sr_instance_t *instance = list->pdata[i];

		sum += sr_placement_in_flight(instance, now) /
		       MAX(instance->slots, 1);
	}
	return sum;
}

/* Instances needed by the present load. */
static double instances_needed(const context_t *context, sr_usec_t now)
{
	return MAX(context->work / UTILISATION_MAX,
		   occupied_instances(context, now) / OCCUPANCY_MAX);
}

/* Updates the load and returns the number of instances that it needs. A peak
 * decays only while the work is known. */
static double update_need(sr_fleet_plan_t *plan, sr_usec_t now,
			  context_t *context)
{
	load_t *load = g_hash_table_lookup(plan->loads, context->service->name);
	double need;

	if (!load) {
		load = g_new0(load_t, 1);
		g_hash_table_insert(plan->loads,
				    g_strdup(context->service->name), load);
	}
	if (context->is_work_known)
		load->peak *= exp(-(double)(now - load->peak_at) / SR_SEC /
				  PEAK_TIME_CONSTANT_S);
	load->peak = MAX(load->peak, instances_needed(context, now));
	load->peak_at = now;
	if (load->since == 0)
		load->initial =
			MAX(load->initial, count_serving(context, NULL, FALSE));
	if (load->since == 0 && context->work > IDLE_WORK_MAX)
		load->since = now;
	context->initial = load->initial;
	need = MAX(load->peak, NEED_MIN);
	if (load->since > 0 && now - load->since > LOAD_KNOWN_AFTER)
		return need;
	return MAX(need, INITIAL_NEED_FRACTION * load->initial);
}

static gboolean is_load_known(const sr_fleet_plan_t *plan, sr_usec_t now,
			      const context_t *context)
{
	const load_t *load =
		g_hash_table_lookup(plan->loads, context->service->name);

	return load && load->since > 0 && now - load->since > LOAD_KNOWN_AFTER;
}

static double domain_price(const sr_scaling_t *scaling, const char *domain)
{
	const double *price =
		g_hash_table_lookup(scaling->domain_prices, domain);

	return price ? *price : 1;
}

/* Failure domains in which instances can serve, at least 1. */
static unsigned count_open_domains(const context_t *context)
{
	GHashTableIter iter;
	gpointer domain;
	unsigned n = 0;

	g_hash_table_iter_init(&iter, context->service->scaling->domain_prices);
	while (g_hash_table_iter_next(&iter, &domain, NULL))
		n += !sr_instances_is_evacuated(context->instances, domain);
	return MAX(n, 1);
}

/* Counts the cheaper domains in which instances can serve; ties are broken by
 * name. */
static unsigned price_rank(const context_t *context, const char *domain)
{
	const sr_scaling_t *scaling = context->service->scaling;
	double own_price = domain_price(scaling, domain);
	GHashTableIter iter;
	gpointer other;
	gpointer price;
	unsigned rank = 0;

	g_hash_table_iter_init(&iter, scaling->domain_prices);
	while (g_hash_table_iter_next(&iter, &other, &price)) {
		double value = *(double *)price;

		if (!sr_instances_is_evacuated(context->instances, other) &&
		    (value < own_price ||
		     (value == own_price && g_strcmp0(other, domain) < 0)))
			rank++;
	}
	return rank;
}

/* Counts the reclaimable instances that would remain if the domain with most
 * of them were reclaimed. */
static unsigned reclaimable_after_loss(const context_t *context)
{
	GHashTableIter iter;
	gpointer domain;
	unsigned most = 0;

	g_hash_table_iter_init(&iter, context->service->scaling->domain_prices);
	while (g_hash_table_iter_next(&iter, &domain, NULL))
		most = MAX(most, count_serving(context, domain, TRUE));
	return count_serving(context, NULL, TRUE) - most;
}

/* Regular instances in all domains: the minimum, or what the reclaimable ones
 * fall short of, now or after the next reclaim. The next reclaim is provided
 * for in advance, as a new instance takes longer to start than the time between
 * the notice and the reclaim. */
static unsigned regular_total(const context_t *context)
{
	double need = context->need;
	double minimum = MAX(need * REGULAR_FRACTION, REGULAR_MIN);
	double shortfall =
		need * SERVING_FACTOR - count_serving(context, NULL, TRUE);
	double shortfall_after_loss = need - reclaimable_after_loss(context);

	return (unsigned)ceil(
		MAX(minimum, MAX(shortfall, shortfall_after_loss)));
}

/* Divided evenly between the domains; the remainder goes to the cheapest. */
static unsigned regular_in_domain(const context_t *context, const char *domain)
{
	const sr_scaling_t *scaling = context->service->scaling;
	unsigned n = count_open_domains(context);
	unsigned total = regular_total(context);
	unsigned rank = price_rank(context, domain);

	return MIN(total / n + (rank < total % n ? 1 : 0), scaling->max);
}

/* Divided evenly between the domains, leaving room for one regular instance in
 * each. */
static unsigned reclaimable_in_domain(const context_t *context,
				      const char *domain)
{
	const sr_scaling_t *scaling = context->service->scaling;
	unsigned n = count_open_domains(context);
	unsigned other_domains = n > 1 ? n - 1 : 1;
	unsigned desired = (unsigned)ceil(context->need * RECLAIMABLE_FACTOR /
					  other_domains);

	if (scaling->reclaimable_price_ratio <= 0)
		return 0;
	return MIN(desired, scaling->max > 1 ? scaling->max - 1 : 0);
}

static unsigned desired_in_domain(const context_t *context, const char *domain,
				  gboolean reclaimable)
{
	const sr_scaling_t *scaling = context->service->scaling;
	unsigned n_regular = regular_in_domain(context, domain);
	unsigned n_reclaimable = reclaimable_in_domain(context, domain);
	unsigned n_serving =
		MIN(n_reclaimable, count_serving(context, domain, TRUE));

	if (reclaimable)
		return n_reclaimable;
	/* scaling bounds the sum of both kinds */
	n_regular = MIN(n_regular, scaling->max - MIN(n_serving, scaling->max));
	return MAX(n_regular, scaling->min > n_reclaimable ?
				      scaling->min - n_reclaimable :
				      0);
}

/* Serving instances of a kind in a domain that an accepted order gave back. */
static unsigned count_releasing_in(sr_fleet_plan_t *plan,
				   const context_t *context, const char *domain,
				   gboolean reclaimable)
{
	const order_state_t *state = get_order_state(
		plan, context->service->name, domain, reclaimable);
	unsigned serving = count_serving(context, domain, reclaimable);
	gboolean is_ordered = state->is_accepted || state->is_pending;

	return is_ordered && state->ordered < serving ?
		       serving - state->ordered :
		       0;
}

static unsigned count_releasing(sr_fleet_plan_t *plan, const context_t *context)
{
	GHashTableIter iter;
	gpointer domain;
	unsigned n = 0;

	g_hash_table_iter_init(&iter, context->service->scaling->domain_prices);
	while (g_hash_table_iter_next(&iter, &domain, NULL))
		n += count_releasing_in(plan, context, domain, TRUE) +
		     count_releasing_in(plan, context, domain, FALSE);
	return n;
}

/* Number of instances that may be released now: enough must serve without them
 * and those given back before, in any domain. */
static unsigned releasable(const context_t *context)
{
	unsigned serving = count_serving(context, NULL, FALSE) +
			   count_serving(context, NULL, TRUE);
	double enough = context->need * (1 + REGULAR_FRACTION);
	double step = MAX(serving * RELEASE_FRACTION, 1);
	double rest;

	if (!context->is_work_known)
		return 0;
	/* until the load is known, instances may be replaced, but no fewer
	 * than the initial ones may serve */
	if (!context->is_load_known) {
		enough = MAX(enough, context->initial);
		step = serving;
	}
	rest = MIN(serving - enough, step) - context->n_releasing;
	return rest > 0 ? (unsigned)rest : 0;
}

/* Checks whether an order is due; *desired is raised to what may be ordered. */
static gboolean is_due(order_state_t *state, const context_t *context,
		       const char *domain, gboolean reclaimable,
		       unsigned *desired, sr_usec_t now)
{
	unsigned serving = count_serving(context, domain, reclaimable);
	unsigned current = state->is_accepted ? state->ordered : serving;

	if (state->is_pending || now < state->retry_at)
		return FALSE;
	if (!state->is_accepted && *desired >= current)
		return TRUE;
	/* the ordered instances were reclaimed or did not start */
	if (serving < *desired &&
	    now - state->ordered_at > ORDER_REPEAT_INTERVAL)
		return TRUE;
	if (*desired >= current) {
		state->excess_since = 0;
		return *desired > current;
	}
	if (state->excess_since == 0)
		state->excess_since = now;
	if (now - state->excess_since <=
	    (reclaimable ? SHRINK_DELAY_RECLAIMABLE : SHRINK_DELAY))
		return FALSE;
	*desired = MAX(*desired, current - MIN(current, releasable(context)));
	return *desired < current;
}

static gboolean try_order(sr_fleet_plan_t *plan, sr_usec_t now,
			  const context_t *context, const char *domain,
			  gboolean reclaimable, sr_fleet_order_t *order)
{
	unsigned desired = desired_in_domain(context, domain, reclaimable);
	order_state_t *state = get_order_state(plan, context->service->name,
					       domain, reclaimable);

	if (!is_due(state, context, domain, reclaimable, &desired, now))
		return FALSE;
	state->ordered = desired;
	state->is_pending = TRUE;
	state->ordered_at = now;
	*order = (sr_fleet_order_t){
		.service = context->service->name,
		.failure_domain = domain,
		.reclaimable = reclaimable,
		.desired = desired,
	};
	return TRUE;
}

gboolean sr_fleet_plan_next(sr_fleet_plan_t *plan, sr_usec_t now,
			    const sr_fleet_plan_input_t *input,
			    sr_fleet_order_t *order)
{
	context_t context = {
		.service = input->service,
		.instances = input->instances,
		.work = input->work,
		.is_work_known = input->is_work_known,
	};
	GHashTableIter iter;
	gpointer domain;

	context.need = update_need(plan, now, &context);
	context.is_load_known = is_load_known(plan, now, &context);
	context.n_releasing = count_releasing(plan, &context);
	g_hash_table_iter_init(&iter, input->service->scaling->domain_prices);
	while (g_hash_table_iter_next(&iter, &domain, NULL)) {
		/* what is ordered there could not serve, what is given back
		 * would be missing afterwards */
		if (sr_instances_is_evacuated(input->instances, domain))
			continue;
		if (try_order(plan, now, &context, domain, TRUE, order) ||
		    try_order(plan, now, &context, domain, FALSE, order))
			return TRUE;
	}
	return FALSE;
}

void sr_fleet_plan_order_done(sr_fleet_plan_t *plan, const char *service,
			      const char *failure_domain, gboolean reclaimable,
			      gboolean accepted)
{
	order_state_t *state =
		get_order_state(plan, service, failure_domain, reclaimable);

	state->is_pending = FALSE;
	state->is_accepted = accepted;
	state->retry_at = accepted ? 0 : state->ordered_at + FAILED_ORDER_DELAY;
}

void sr_fleet_plan_reset_orders(sr_fleet_plan_t *plan)
{
	g_hash_table_remove_all(plan->order_states);
}
