#include "core/fleet_plan.h"

#include <math.h>

/** Part of an instance's time that prompts may take: the rest is for the
 * steps of running requests and for uneven arrivals. */
#define BUSY_MAX 0.5

/** Until there has been work for this long, the load is not known, and the
 * instances that are there count as wanted for it by this part. */
#define LEARNING (5 * SR_SEC)
#define UNKNOWN_NEED_PART 0.6

/** A peak of work counts for about this long, in s. */
#define PEAK_TIME_S 15.0

/** Less work than this says nothing. */
#define WORK_MIN 0.05

/** Instances that are kept however little there is to do. */
#define NEED_MIN 3.0

/** How much reclaimable capacity the other domains have together when the
 * largest one has been reclaimed. */
#define RECLAIMABLE_FACTOR 1.3

/** Part of the need that is covered by instances that stay. */
#define STAYING_PART 0.35
#define STAYING_MIN 2

/** How much of the need has to be there at any time; what reclaimable ones
 * lack of it is ordered of the others. */
#define SERVING_FACTOR 1.2

/** An order that did not come about is given again after this. */
#define REPEAT_AFTER (8 * SR_SEC)

/** An order that was refused is given again after this. */
#define REFUSED_AFTER (3 * SR_SEC)

/** Less is ordered only when less was enough for this long. Reclaimable ones
 * are kept for longer: they are cheap, and what they have cached is not. */
#define SHRINK_AFTER (6 * SR_SEC)
#define SHRINK_RECLAIMABLE_AFTER (25 * SR_SEC)

typedef struct {
	unsigned ordered;
	gboolean is_known; /* ordered was taken by the platform */
	gboolean in_flight;
	sr_usec_t at;	       /* of the last order */
	sr_usec_t not_before;  /* of the next one */
	sr_usec_t fewer_since; /* fewer were enough since; 0 if not */
} subject_t;

/** load_t - what is known of the work of a service. */
typedef struct {
	sr_usec_t since;  /* there has been work; 0 if not yet */
	unsigned initial; /* staying instances that were there before it */
	double peak;
	sr_usec_t peak_at;
} load_t;

/** view_t - what an order is made from. */
typedef struct {
	const sr_gateway_service_t *service;
	const sr_instances_t *instances;
	double work;
	double need;	  /* instances */
	unsigned initial; /* before there was any load */
	gboolean is_load_known;
} view_t;

struct sr_fleet_plan {
	GHashTable *subjects; /* "service/domain/kind" -> subject_t */
	GHashTable *loads;    /* service -> load_t */
};

sr_fleet_plan_t *sr_fleet_plan_new(void)
{
	sr_fleet_plan_t *plan = g_new0(sr_fleet_plan_t, 1);

	plan->subjects =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	plan->loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return plan;
}

void sr_fleet_plan_free(sr_fleet_plan_t *plan)
{
	if (!plan)
		return;
	g_hash_table_unref(plan->subjects);
	g_hash_table_unref(plan->loads);
	g_free(plan);
}

static subject_t *subject_of(sr_fleet_plan_t *plan, const char *service,
			     const char *domain, gboolean reclaimable)
{
	char *key = g_strdup_printf("%s/%s/%d", service, domain,
				    reclaimable ? 1 : 0);
	subject_t *subject = g_hash_table_lookup(plan->subjects, key);

	if (subject) {
		g_free(key);
		return subject;
	}
	subject = g_new0(subject_t, 1);
	g_hash_table_insert(plan->subjects, key, subject);
	return subject;
}

/* Instances of a kind that serve and stay; a NULL domain counts all. */
static unsigned count(const view_t *view, const char *domain,
		      gboolean reclaimable)
{
	const GPtrArray *list =
		sr_instances_of_service(view->instances, view->service->name);
	unsigned n = 0;

	for (guint i = 0; list && i < list->len; i++) {
		const sr_instance_t *instance = list->pdata[i];

		if (!instance->draining &&
		    !instance->reclaimable == !reclaimable &&
		    (!domain || !g_strcmp0(instance->failure_domain, domain)))
			n++;
	}
	return n;
}

/* What the load asks for, in instances. */
static double measure_need(sr_fleet_plan_t *plan, sr_usec_t now, view_t *view)
{
	load_t *load = g_hash_table_lookup(plan->loads, view->service->name);
	double need;

	if (!load) {
		load = g_new0(load_t, 1);
		g_hash_table_insert(plan->loads, g_strdup(view->service->name),
				    load);
	}
	load->peak *=
		exp(-(double)(now - load->peak_at) / SR_SEC / PEAK_TIME_S);
	load->peak = MAX(load->peak, view->work);
	load->peak_at = now;
	if (load->since == 0)
		load->initial = MAX(load->initial, count(view, NULL, FALSE));
	if (load->since == 0 && view->work > WORK_MIN)
		load->since = now;
	view->initial = load->initial;
	need = MAX(load->peak / BUSY_MAX, NEED_MIN);
	if (load->since > 0 && now - load->since > LEARNING)
		return need;
	return MAX(need, UNKNOWN_NEED_PART * load->initial);
}

static gboolean is_load_known(const sr_fleet_plan_t *plan, sr_usec_t now,
			      const view_t *view)
{
	const load_t *load =
		g_hash_table_lookup(plan->loads, view->service->name);

	return load && load->since > 0 && now - load->since > LEARNING;
}

static double price_of(const sr_scaling_t *scaling, const char *domain)
{
	const double *price =
		g_hash_table_lookup(scaling->domain_prices, domain);

	return price ? *price : 1;
}

/* How many domains are cheaper than this one. */
static unsigned rank_of(const sr_scaling_t *scaling, const char *domain)
{
	double own = price_of(scaling, domain);
	GHashTableIter iter;
	gpointer other;
	gpointer price;
	unsigned rank = 0;

	g_hash_table_iter_init(&iter, scaling->domain_prices);
	while (g_hash_table_iter_next(&iter, &other, &price)) {
		double value = *(double *)price;

		if (value < own ||
		    (value == own && g_strcmp0(other, domain) < 0))
			rank++;
	}
	return rank;
}

/* Reclaimable ones that are left when the domain with most of them is taken
 * away. */
static unsigned left_after_reclaim(const view_t *view)
{
	GHashTableIter iter;
	gpointer domain;
	unsigned most = 0;

	g_hash_table_iter_init(&iter, view->service->scaling->domain_prices);
	while (g_hash_table_iter_next(&iter, &domain, NULL))
		most = MAX(most, count(view, domain, TRUE));
	return count(view, NULL, TRUE) - most;
}

/* All instances that stay: a few, and what the others lack, now or after one
 * more reclaim; a new one takes longer to come than a reclaim's notice. */
static unsigned staying_total(const view_t *view)
{
	double need = view->need;
	double few = MAX(need * STAYING_PART, STAYING_MIN);
	double lack = need * SERVING_FACTOR - count(view, NULL, TRUE);
	double lack_next = need - left_after_reclaim(view);

	return (unsigned)ceil(MAX(few, MAX(lack, lack_next)));
}

/* Dealt to the domains from the cheapest on. */
static unsigned staying_in(const view_t *view, const char *domain)
{
	const sr_scaling_t *scaling = view->service->scaling;
	unsigned n = g_hash_table_size(scaling->domain_prices);
	unsigned total = staying_total(view);
	unsigned rank = rank_of(scaling, domain);

	return MIN(total / n + (rank < total % n ? 1 : 0), scaling->max);
}

/* Evenly; they leave room for one that must stay. */
static unsigned reclaimable_in(const view_t *view, const char *domain)
{
	const sr_scaling_t *scaling = view->service->scaling;
	unsigned n = g_hash_table_size(scaling->domain_prices);
	unsigned others = n > 1 ? n - 1 : 1;
	unsigned wanted =
		(unsigned)ceil(view->need * RECLAIMABLE_FACTOR / others);

	if (scaling->reclaimable_price <= 0)
		return 0;
	return MIN(wanted, scaling->max > 1 ? scaling->max - 1 : 0);
}

static unsigned wanted_in(const view_t *view, const char *domain,
			  gboolean reclaimable)
{
	const sr_scaling_t *scaling = view->service->scaling;
	unsigned staying = staying_in(view, domain);
	unsigned spare = reclaimable_in(view, domain);
	unsigned present = MIN(spare, count(view, domain, TRUE));

	if (reclaimable)
		return spare;
	/* Both kinds together are bounded. */
	staying = MIN(staying, scaling->max - MIN(present, scaling->max));
	return MAX(staying, scaling->min > spare ? scaling->min - spare : 0);
}

/* Is there enough without the instances that would be given back? */
static gboolean may_shrink(const view_t *view, unsigned given_back)
{
	unsigned serving = count(view, NULL, FALSE) + count(view, NULL, TRUE);
	double enough = view->need * (1 + STAYING_PART);

	/* others may take the place of those that wait for the load */
	if (!view->is_load_known)
		enough = MAX(enough, view->initial);
	return (double)serving - given_back >= enough;
}

static gboolean is_due(subject_t *subject, const view_t *view,
		       const char *domain, gboolean reclaimable,
		       unsigned wanted, sr_usec_t now)
{
	unsigned serving = count(view, domain, reclaimable);
	unsigned present = subject->is_known ? subject->ordered : serving;

	if (subject->in_flight || now < subject->not_before)
		return FALSE;
	if (!subject->is_known && wanted >= present)
		return TRUE;
	/* What was ordered has been taken away, or never came. */
	if (serving < wanted && now - subject->at > REPEAT_AFTER)
		return TRUE;
	if (wanted >= present) {
		subject->fewer_since = 0;
		return wanted > present;
	}
	if (subject->fewer_since == 0)
		subject->fewer_since = now;
	return now - subject->fewer_since > (reclaimable ?
						     SHRINK_RECLAIMABLE_AFTER :
						     SHRINK_AFTER) &&
	       may_shrink(view, present - wanted);
}

static gboolean try_subject(sr_fleet_plan_t *plan, sr_usec_t now,
			    const view_t *view, const char *domain,
			    gboolean reclaimable, sr_fleet_order_t *order)
{
	unsigned wanted = wanted_in(view, domain, reclaimable);
	subject_t *subject =
		subject_of(plan, view->service->name, domain, reclaimable);

	if (!is_due(subject, view, domain, reclaimable, wanted, now))
		return FALSE;
	subject->ordered = wanted;
	subject->in_flight = TRUE;
	subject->at = now;
	*order = (sr_fleet_order_t){
		.service = view->service->name,
		.failure_domain = domain,
		.reclaimable = reclaimable,
		.desired = wanted,
	};
	return TRUE;
}

gboolean sr_fleet_plan_next(sr_fleet_plan_t *plan, sr_usec_t now,
			    const sr_fleet_facts_t *facts,
			    sr_fleet_order_t *order)
{
	view_t view = {
		.service = facts->service,
		.instances = facts->instances,
		.work = facts->work,
	};
	GHashTableIter iter;
	gpointer domain;

	view.need = measure_need(plan, now, &view);
	view.is_load_known = is_load_known(plan, now, &view);
	g_hash_table_iter_init(&iter, facts->service->scaling->domain_prices);
	while (g_hash_table_iter_next(&iter, &domain, NULL)) {
		if (try_subject(plan, now, &view, domain, TRUE, order) ||
		    try_subject(plan, now, &view, domain, FALSE, order))
			return TRUE;
	}
	return FALSE;
}

void sr_fleet_plan_answered(sr_fleet_plan_t *plan, const char *service,
			    const char *failure_domain, gboolean reclaimable,
			    gboolean taken)
{
	subject_t *subject =
		subject_of(plan, service, failure_domain, reclaimable);

	subject->in_flight = FALSE;
	subject->is_known = taken;
	subject->not_before = taken ? 0 : subject->at + REFUSED_AFTER;
}

void sr_fleet_plan_forget(sr_fleet_plan_t *plan)
{
	g_hash_table_remove_all(plan->subjects);
}
