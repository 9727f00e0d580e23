#include "core/allowance.h"

#include <math.h>

/** Part of a rate that is shared evenly; the rest goes by demand. */
#define EVEN_PART 0.3

/** Part of the tolerated slack that is used. The rest, and the overage, are
 * for the last request of each host, which is taken while anything is left
 * and may be large. */
#define SLACK_USED 0.6

/** Part of what a window allows that may be used at once; the rest is earned
 * evenly over the window. */
#define BURST_PART 0.2

/** Part of the rate that is kept for small requests while large ones before
 * them have used up the rest. It counts as overage. */
#define RESERVE_PART 0.08

/** Hosts up to which the whole of that part is kept. Each host also overdraws
 * its share by a request, which takes the place of it with many of them. */
#define RESERVE_HOSTS 12

/** Part of a limit that lies in the pool. */
#define POOL_PART 0.5

/** Time over which demand is averaged, in s: short enough to follow callers
 * that move, long against the time between two requests. */
#define DEMAND_TIME_S 4.0

/** Part of its burst that a host begins with: what was used before its start
 * is not known. */
#define START_PART 0.5

/** Time over which a share moves to what demand makes it, in s. */
#define SHARE_TIME_S 3.0

/** demand_t - what one host is asked for by an account. */
typedef struct {
	double asked; /* only grows */
	double rate;  /* per s, averaged */
	sr_usec_t at;
	double told;	     /* own: the rate that the others know by now */
	double told_at_last; /* own: the rate at the last telling */
} demand_t;

typedef struct {
	double rate;
	double burst;
	double level;
	double reserve; /* for small requests while level is below zero */
	sr_usec_t filled;
	double share; /* of the rate, moving towards what demand makes it */
	sr_usec_t share_at;
	demand_t own;
	GHashTable *others; /* node -> demand_t */
	/* the pool, if it lies here */
	double pool_level;
	sr_usec_t pool_filled;
} bucket_t;

struct sr_allowance {
	GHashTable *buckets; /* account -> bucket_t */
	unsigned n_hosts;
	gboolean has_pool;
	double pool_part;
	sr_allowance_tolerance_t tolerance;
};

static void free_bucket(gpointer data)
{
	bucket_t *bucket = data;

	g_hash_table_unref(bucket->others);
	g_free(bucket);
}

sr_allowance_t *sr_allowance_new(void)
{
	sr_allowance_t *allowance = g_new0(sr_allowance_t, 1);

	allowance->n_hosts = 1;
	allowance->buckets = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, free_bucket);
	return allowance;
}

void sr_allowance_free(sr_allowance_t *allowance)
{
	if (!allowance)
		return;
	g_hash_table_unref(allowance->buckets);
	g_free(allowance);
}

void sr_allowance_set_hosts(sr_allowance_t *allowance, unsigned n)
{
	allowance->n_hosts = MAX(n, 1);
}

void sr_allowance_set_tolerance(sr_allowance_t *allowance,
				const sr_allowance_tolerance_t *tolerance)
{
	allowance->tolerance = *tolerance;
}

/* A limit holds over each window, so that the burst may come back in every
 * one: what a window allows is earned evenly but for a part of it. */
static void spread_over_window(const sr_allowance_t *allowance,
			       bucket_t *bucket, double rate, double burst)
{
	const sr_allowance_tolerance_t *tolerance = &allowance->tolerance;
	double window = (double)tolerance->window / SR_SEC;
	double allowed;

	bucket->rate = rate;
	bucket->burst = burst;
	if (rate <= 0 || window <= 0)
		return;
	allowed = rate * window + burst + SLACK_USED * tolerance->slack;
	bucket->burst = MIN(BURST_PART * allowed, allowed - rate * window);
	bucket->rate = (allowed - bucket->burst) / window;
}

static bucket_t *bucket_of(sr_allowance_t *allowance, sr_usec_t now,
			   const char *account)
{
	bucket_t *bucket = g_hash_table_lookup(allowance->buckets, account);

	if (!bucket) {
		bucket = g_new0(bucket_t, 1);
		bucket->filled = now;
		bucket->share = 1.0 / allowance->n_hosts;
		bucket->share_at = now;
		bucket->own.at = now;
		bucket->others = g_hash_table_new_full(g_str_hash, g_str_equal,
						       g_free, g_free);
		g_hash_table_insert(allowance->buckets, g_strdup(account),
				    bucket);
	}
	return bucket;
}

static double seconds_since(sr_usec_t then, sr_usec_t now)
{
	return (double)MAX(now - then, 0) / SR_SEC;
}

/* Counts what is asked for here into the average. */
static void ask(demand_t *own, sr_usec_t now, double amount)
{
	own->rate *= exp(-seconds_since(own->at, now) / DEMAND_TIME_S);
	own->rate += amount / DEMAND_TIME_S;
	own->asked += amount;
	own->at = now;
}

/* What the other hosts are asked for; own is assumed of the silent ones. */
static double others_rate(bucket_t *bucket, sr_usec_t now, double own,
			  unsigned *n)
{
	GHashTableIter iter;
	gpointer value;
	double sum = 0;

	*n = 0;
	g_hash_table_iter_init(&iter, bucket->others);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const demand_t *other = value;

		if (now - other->at > SR_ALLOWANCE_FORGET) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		sum += now - other->at > SR_ALLOWANCE_SILENCE ?
			       MAX(other->rate, own) :
			       other->rate;
		(*n)++;
	}
	return sum;
}

static double target_share(const sr_allowance_t *allowance, bucket_t *bucket,
			   sr_usec_t now)
{
	unsigned n_others;
	double own = bucket->own.told;
	double others = others_rate(bucket, now, own, &n_others);
	unsigned n = MAX(allowance->n_hosts, n_others + 1);

	others += own * (n - 1 - n_others); /* not heard of yet */
	if (own + others <= 0)
		return 1.0 / n;
	return EVEN_PART / n + (1 - EVEN_PART) * own / (own + others);
}

static double share_of(const sr_allowance_t *allowance, bucket_t *bucket,
		       sr_usec_t now)
{
	double target = target_share(allowance, bucket, now);
	double passed = seconds_since(bucket->share_at, now);

	bucket->share +=
		(1 - exp(-passed / SHARE_TIME_S)) * (target - bucket->share);
	bucket->share_at = now;
	return allowance->has_pool ? bucket->share * (1 - POOL_PART) :
				     bucket->share;
}

static double reserve_part(const sr_allowance_t *allowance)
{
	return RESERVE_PART *
	       MIN((double)RESERVE_HOSTS / allowance->n_hosts, 1);
}

static void fill(const sr_allowance_t *allowance, bucket_t *bucket,
		 sr_usec_t now, double share)
{
	double reserve = reserve_part(allowance);
	double earned =
		bucket->rate * share * seconds_since(bucket->filled, now);

	bucket->level = MIN(bucket->level + earned, bucket->burst * share);
	bucket->reserve = MIN(bucket->reserve + reserve * earned,
			      reserve * bucket->burst * share);
	bucket->filled = now;
}

void sr_allowance_set_limit(sr_allowance_t *allowance, sr_usec_t now,
			    const char *account, double rate_per_s,
			    double burst)
{
	bucket_t *bucket = bucket_of(allowance, now, account);
	double share = share_of(allowance, bucket, now);
	gboolean is_first = bucket->rate == 0;

	fill(allowance, bucket, now, share);
	spread_over_window(allowance, bucket, rate_per_s, burst);
	if (is_first) {
		bucket->level = START_PART * bucket->burst * share;
		bucket->pool_level = START_PART * bucket->burst * POOL_PART *
				     allowance->pool_part;
		bucket->pool_filled = now;
	}
	bucket->level = MIN(bucket->level, bucket->burst * share);
}

sr_usec_t sr_allowance_take(sr_allowance_t *allowance, sr_usec_t now,
			    const char *account, double amount)
{
	bucket_t *bucket = bucket_of(allowance, now, account);
	double share;

	ask(&bucket->own, now, amount);
	if (bucket->rate <= 0)
		return 0;
	share = share_of(allowance, bucket, now);
	fill(allowance, bucket, now, share);
	if (bucket->level < 0 && bucket->reserve >= amount)
		bucket->reserve -= amount;
	else if (bucket->level < 0)
		return (sr_usec_t)(-bucket->level / (bucket->rate * share) *
				   SR_SEC) +
		       1;
	bucket->level -= amount;
	return 0;
}

void sr_allowance_use_pool(sr_allowance_t *allowance)
{
	allowance->has_pool = TRUE;
}

void sr_allowance_set_pool_part(sr_allowance_t *allowance, double part)
{
	allowance->pool_part = part;
}

static void fill_pool(bucket_t *bucket, sr_usec_t now, double part)
{
	double earned =
		bucket->rate * part * seconds_since(bucket->pool_filled, now);

	bucket->pool_level =
		MIN(bucket->pool_level + earned, bucket->burst * part);
	bucket->pool_filled = now;
}

void sr_allowance_start_pool(sr_allowance_t *allowance, sr_usec_t now,
			     const char *account)
{
	bucket_t *bucket = bucket_of(allowance, now, account);

	bucket->pool_level = 0;
	bucket->pool_filled = now;
}

sr_usec_t sr_allowance_take_pooled(sr_allowance_t *allowance, sr_usec_t now,
				   const char *account, double amount)
{
	bucket_t *bucket = bucket_of(allowance, now, account);
	double part = POOL_PART * allowance->pool_part;

	if (bucket->rate <= 0 || part <= 0)
		return SR_SEC; /* its limit is not known here yet */
	fill_pool(bucket, now, part);
	if (bucket->pool_level < 0)
		return (sr_usec_t)(-bucket->pool_level / (bucket->rate * part) *
				   SR_SEC) +
		       1;
	bucket->pool_level -= amount;
	return 0;
}

void sr_allowance_give_back(sr_allowance_t *allowance, const char *account,
			    double amount)
{
	bucket_t *bucket = g_hash_table_lookup(allowance->buckets, account);

	if (bucket)
		bucket->level += amount;
}

double sr_allowance_share(sr_allowance_t *allowance, sr_usec_t now,
			  const char *account)
{
	return share_of(allowance, bucket_of(allowance, now, account), now);
}

/* A telling: what was told by the last one is known to the others by now. */
static void tell(demand_t *own, sr_usec_t now)
{
	ask(own, now, 0);
	own->told = own->told_at_last;
	own->told_at_last = own->rate;
}

void sr_allowance_foreach(sr_allowance_t *allowance, sr_usec_t now,
			  void (*fn)(void *user, const char *account,
				     double asked),
			  void *user)
{
	GHashTableIter iter;
	gpointer account;
	gpointer value;

	g_hash_table_iter_init(&iter, allowance->buckets);
	while (g_hash_table_iter_next(&iter, &account, &value)) {
		bucket_t *bucket = value;

		tell(&bucket->own, now);
		fn(user, account, bucket->own.asked);
	}
}

void sr_allowance_heard(sr_allowance_t *allowance, sr_usec_t now,
			const char *node, const char *account, double asked)
{
	bucket_t *bucket = bucket_of(allowance, now, account);
	demand_t *other = g_hash_table_lookup(bucket->others, node);
	double passed;
	double rate;

	if (!other) {
		/* What it was asked for before it was heard of says nothing of
		 * its rate; until more is known it is like this host. */
		other = g_new0(demand_t, 1);
		other->asked = asked;
		other->rate = bucket->own.told;
		other->at = now;
		g_hash_table_insert(bucket->others, g_strdup(node), other);
		return;
	}
	passed = seconds_since(other->at, now);
	if (passed <= 0)
		return;
	if (asked < other->asked) {
		/* it has started anew; its rate is as it was */
		other->asked = asked;
		other->at = now;
		return;
	}
	rate = (asked - other->asked) / passed;
	other->rate +=
		(1 - exp(-passed / DEMAND_TIME_S)) * (rate - other->rate);
	other->asked = asked;
	other->at = now;
}

void sr_allowance_left(sr_allowance_t *allowance, const char *node)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, allowance->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_hash_table_remove(((bucket_t *)value)->others, node);
}
