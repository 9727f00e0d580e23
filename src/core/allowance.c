#include "core/allowance.h"

#include <math.h>

/** Fraction of a rate that is divided evenly between the hosts; the rest is
 * divided in proportion to their demand. */
#define EVEN_FRACTION 0.3

/** Fraction of the tolerated slack that is added to a limit. The rest, and the
 * overage, cover the overdraft of each host: a request of any size is admitted
 * while the level of the bucket is not negative. */
#define SLACK_FRACTION 0.6

/** Fraction of what a window allows that may be used at once; the rest is
 * refilled evenly over the window. */
#define BURST_FRACTION 0.2

/** Fraction of the rate that is added as a reserve for small requests, for
 * when large ones before them have overdrawn the bucket. It counts as
 * overage. */
#define RESERVE_FRACTION 0.08

/** Number of hosts up to which the reserve is kept in full. Each host may
 * overdraw its share by one request; with many hosts these overdrafts use up
 * the overage instead. */
#define FULL_RESERVE_HOSTS 12

/** Fraction of what the tolerance allows beyond a limit by which the shares of
 * many hosts may be overdrawn. The rest covers requests that are granted over
 * more than a window and executed within one, as they wait at instances. */
#define OVERDRAFT_FRACTION 0.25

/** Fraction of their part of a limit that the pools of many hosts grant, for
 * the same reason and for pools that change their holder. */
#define POOL_USED_FRACTION 0.92

/** Requests that cost less than this fraction of the average are small. When an
 * account asks for more than its limit, many small ones are granted in place of
 * one large one: a third of a mix of long and short prompts costs a tenth of
 * its tokens. */
#define SMALL_COST_RATIO 0.5

/** Largest fraction of a pool that is kept for small requests. */
#define SMALL_FRACTION_MAX 0.25

/** Time constant of the demand of small requests, in s: known before an account
 * that becomes hot has used up what a window allows. */
#define SMALL_DEMAND_TIME_CONSTANT_S 1.0

/** Weight of a request in the average cost of an account. */
#define MEAN_COST_WEIGHT 0.02

/** Fraction of a limit that is kept by the hosts if they are few; the rest is
 * in its pools. With more than FEW_HOSTS it falls with their number. */
#define LOCAL_FRACTION 0.5
#define FEW_HOSTS 12

/** Slots of a window in which a pool sums up its grants; a grant counts for up
 * to one slot too long. */
#define POOL_SLOTS 33

/** Fraction of the limit of its pools from which an account counts as hot when
 * a host starts. Its share then starts in debt, as that of the host before had
 * most likely been overdrawn. */
#define HOT_FRACTION 0.6

/** Time after sr_allowance_begin_restore() in which pools continue from what is
 * restored. */
#define RESTORED_TIME (3 * SR_SEC)

/** Place of grants within the parts of a window that another host reports. The
 * latest would move them on with each change of the holder. */
#define NOTED_PLACE 0.5

/** Time constant of the demand average, in s: short enough to follow callers
 * that move to other hosts, long against the time between two requests. */
#define DEMAND_TIME_CONSTANT_S 4.0

/** Fraction of the burst that is available when a limit is first set: what was
 * used before the host started is not known. */
#define INITIAL_FILL_FRACTION 0.5

/** Time constant with which a share approaches its target, in s. */
#define SHARE_TIME_CONSTANT_S 3.0

/** demand_t - demand of an account at one host, in units of its limit. */
typedef struct {
	double requested; /* monotonic */
	double rate;	  /* per s, moving average */
	sr_usec_t updated_at;
	double known_rate;     /* own: received by the peers */
	double published_rate; /* own: at the last publication */
} demand_t;

/** pool_t - what a pool has granted in the last window, by slots of time. */
typedef struct {
	double granted[POOL_SLOTS];	  /* ring, by slot number */
	double granted_small[POOL_SLOTS]; /* part of it; see SMALL_COST_RATIO */
	double small_per_s; /* moving average, whether or not granted */
	sr_usec_t demanded_at;
	gint64 slot; /* the latest one */
} pool_t;

/** noted_use_t - what another host has said of a pool. */
typedef struct {
	sr_allowance_use_t use;
	sr_usec_t at;	       /* received; 0 for nothing */
	sr_usec_t before_at;   /* the one before; it is of a time since then */
	sr_usec_t refused_at;  /* a request of this host, last; 0 for never */
	double granted;	       /* to this host since at */
	double granted_before; /* between before_at and at */
	sr_usec_t granted_at;  /* last; 0 for never */
} noted_use_t;

typedef struct {
	double rate;
	double burst;
	double overdraft; /* tolerated by all hosts together */
	double level;
	double reserve; /* for small requests while level is negative */
	sr_usec_t refilled_at;
	double share; /* fraction of the rate; follows target_share() */
	sr_usec_t share_updated_at;
	demand_t own;
	GHashTable *peers; /* host name -> demand_t */
	double mean_cost;  /* of the requests to the pools; 0 for none */
	pool_t pools[SR_ALLOWANCE_POOLS]; /* used while this host holds them */
	gboolean is_held[SR_ALLOWANCE_POOLS];
	gboolean is_restored[SR_ALLOWANCE_POOLS];
	double restored[SR_ALLOWANCE_POOLS];	   /* sums */
	sr_usec_t restored_at[SR_ALLOWANCE_POOLS]; /* time of that use */
	noted_use_t noted[SR_ALLOWANCE_POOLS];
} bucket_t;

struct sr_allowance {
	GHashTable *buckets; /* account -> bucket_t */
	unsigned n_hosts;
	gboolean has_pools;
	double pool_fraction;
	sr_allowance_tolerance_t tolerance;
	sr_usec_t restored_until; /* 0 if nothing was restored */
};

static void free_bucket(gpointer data)
{
	bucket_t *bucket = data;

	g_hash_table_unref(bucket->peers);
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

void sr_allowance_set_host_count(sr_allowance_t *allowance, unsigned n)
{
	allowance->n_hosts = MAX(n, 1);
}

void sr_allowance_set_tolerance(sr_allowance_t *allowance,
				const sr_allowance_tolerance_t *tolerance)
{
	allowance->tolerance = *tolerance;
}

/* A limit applies to every window, so that the burst may be used in each one.
 * What a window allows is therefore refilled evenly, except for the part that
 * may be used at once. */
static void set_window_limit(const sr_allowance_t *allowance, bucket_t *bucket,
			     double rate, double burst)
{
	const sr_allowance_tolerance_t *tolerance = &allowance->tolerance;
	double window = (double)tolerance->window / SR_SEC;
	double allowed;

	bucket->rate = rate;
	bucket->burst = burst;
	if (rate <= 0 || window <= 0)
		return;
	allowed = rate * window + burst + SLACK_FRACTION * tolerance->slack;
	bucket->overdraft = tolerance->overage * (rate * window + burst) +
			    (1 - SLACK_FRACTION) * tolerance->slack;
	bucket->burst = MIN(BURST_FRACTION * allowed, allowed - rate * window);
	bucket->rate = (allowed - bucket->burst) / window;
}

static bucket_t *get_bucket(sr_allowance_t *allowance, sr_usec_t now,
			    const char *account)
{
	bucket_t *bucket = g_hash_table_lookup(allowance->buckets, account);

	if (!bucket) {
		bucket = g_new0(bucket_t, 1);
		bucket->refilled_at = now;
		bucket->share = 1.0 / allowance->n_hosts;
		bucket->share_updated_at = now;
		bucket->own.updated_at = now;
		bucket->peers = g_hash_table_new_full(g_str_hash, g_str_equal,
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

/* Adds an amount to the counter and to the moving average. */
static void record_demand(demand_t *own, sr_usec_t now, double amount)
{
	own->rate *= exp(-seconds_since(own->updated_at, now) /
			 DEMAND_TIME_CONSTANT_S);
	own->rate += amount / DEMAND_TIME_CONSTANT_S;
	own->requested += amount;
	own->updated_at = now;
}

/* Sums the rates of the other hosts and sets n to their number. A stale rate
 * counts as no less than that of this host; an expired one is dropped. */
static double sum_peer_rates(bucket_t *bucket, sr_usec_t now, double own,
			     unsigned *n)
{
	GHashTableIter iter;
	gpointer value;
	double sum = 0;

	*n = 0;
	g_hash_table_iter_init(&iter, bucket->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const demand_t *peer = value;

		if (now - peer->updated_at > SR_ALLOWANCE_EXPIRE_AFTER) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		sum += now - peer->updated_at > SR_ALLOWANCE_STALE_AFTER ?
			       MAX(peer->rate, own) :
			       peer->rate;
		(*n)++;
	}
	return sum;
}

static double target_share(const sr_allowance_t *allowance, bucket_t *bucket,
			   sr_usec_t now)
{
	unsigned n_peers;
	double own = bucket->own.known_rate;
	double peer_rate = sum_peer_rates(bucket, now, own, &n_peers);
	unsigned n = MAX(allowance->n_hosts, n_peers + 1);

	peer_rate += own * (n - 1 - n_peers); /* hosts without a counter yet */
	if (own + peer_rate <= 0)
		return 1.0 / n;
	return EVEN_FRACTION / n +
	       (1 - EVEN_FRACTION) * own / (own + peer_rate);
}

/* Fraction of a limit outside the pools. */
static double local_fraction(const sr_allowance_t *allowance)
{
	if (!allowance->has_pools)
		return 1;
	return LOCAL_FRACTION * MIN((double)FEW_HOSTS / allowance->n_hosts, 1);
}

/* Moves the share towards its target; returns the part outside the pools. */
static double update_share(const sr_allowance_t *allowance, bucket_t *bucket,
			   sr_usec_t now)
{
	double target = target_share(allowance, bucket, now);
	double elapsed = seconds_since(bucket->share_updated_at, now);

	bucket->share += (1 - exp(-elapsed / SHARE_TIME_CONSTANT_S)) *
			 (target - bucket->share);
	bucket->share_updated_at = now;
	return bucket->share * local_fraction(allowance);
}

static double reserve_fraction(const sr_allowance_t *allowance)
{
	return RESERVE_FRACTION *
	       MIN((double)FULL_RESERVE_HOSTS / allowance->n_hosts, 1);
}

static void refill(const sr_allowance_t *allowance, bucket_t *bucket,
		   sr_usec_t now, double share)
{
	double reserve = reserve_fraction(allowance);
	double earned =
		bucket->rate * share * seconds_since(bucket->refilled_at, now);

	bucket->level = MIN(bucket->level + earned, bucket->burst * share);
	bucket->reserve = MIN(bucket->reserve + reserve * earned,
			      reserve * bucket->burst * share);
	bucket->refilled_at = now;
}

/* What a pool may grant in a window. */
static double whole_pool_limit(const sr_allowance_t *allowance,
			       const bucket_t *bucket)
{
	double window_s = (double)allowance->tolerance.window / SR_SEC;
	double used = allowance->n_hosts > FEW_HOSTS ? POOL_USED_FRACTION : 1;

	return (bucket->burst + bucket->rate * window_s) * used *
	       (1 - local_fraction(allowance)) / SR_ALLOWANCE_POOLS;
}

/* The same, as far as this host may grant it. */
static double pool_limit(const sr_allowance_t *allowance,
			 const bucket_t *bucket)
{
	return whole_pool_limit(allowance, bucket) * allowance->pool_fraction;
}

static sr_usec_t slot_length(const sr_allowance_t *allowance)
{
	return MAX(allowance->tolerance.window / (POOL_SLOTS - 1), 1);
}

/* Sets the pool to have granted a fraction of its limit, spread evenly over the
 * last window. */
static void assume_granted(const sr_allowance_t *allowance,
			   const bucket_t *bucket, pool_t *pool, sr_usec_t now,
			   double fraction)
{
	double granted =
		whole_pool_limit(allowance, bucket) * fraction / POOL_SLOTS;

	for (unsigned i = 0; i < POOL_SLOTS; i++)
		pool->granted[i] = granted;
	pool->slot = now / slot_length(allowance);
}

/* Puts the share in debt if the account was hot before this host started. */
static void restore_debt(const sr_allowance_t *allowance, bucket_t *bucket,
			 double share)
{
	double limit =
		(bucket->burst +
		 bucket->rate * (double)allowance->tolerance.window / SR_SEC) *
		(1 - local_fraction(allowance));
	double debt = MAX(bucket->burst * share,
			  bucket->overdraft / allowance->n_hosts);

	double restored = 0;

	for (unsigned i = 0; i < SR_ALLOWANCE_POOLS; i++)
		restored += bucket->restored[i];
	if (bucket->rate > 0 && restored > HOT_FRACTION * limit)
		bucket->level = MIN(bucket->level, -debt);
}

void sr_allowance_set_limit(sr_allowance_t *allowance, sr_usec_t now,
			    const char *account, double rate_per_s,
			    double burst)
{
	bucket_t *bucket = get_bucket(allowance, now, account);
	double share = update_share(allowance, bucket, now);
	gboolean is_first = bucket->rate == 0;

	refill(allowance, bucket, now, share);
	set_window_limit(allowance, bucket, rate_per_s, burst);
	if (is_first) {
		bucket->level = INITIAL_FILL_FRACTION * bucket->burst * share;
		for (unsigned i = 0;
		     i < SR_ALLOWANCE_POOLS && now >= allowance->restored_until;
		     i++)
			assume_granted(allowance, bucket, &bucket->pools[i],
				       now, 1 - INITIAL_FILL_FRACTION);
	}
	bucket->level = MIN(bucket->level, bucket->burst * share);
	if (is_first)
		restore_debt(allowance, bucket, share);
}

/* Level of a share below which it may not be overdrawn. The requests by which a
 * few hosts overdraw theirs are within the tolerance. */
static double level_min(const sr_allowance_t *allowance, const bucket_t *bucket)
{
	return allowance->has_pools && allowance->n_hosts > FEW_HOSTS ?
		       -OVERDRAFT_FRACTION * bucket->overdraft /
			       allowance->n_hosts :
		       -G_MAXDOUBLE;
}

sr_usec_t sr_allowance_take(sr_allowance_t *allowance, sr_usec_t now,
			    const char *account, double amount)
{
	bucket_t *bucket = get_bucket(allowance, now, account);
	double shortfall;
	double share;

	record_demand(&bucket->own, now, amount);
	if (bucket->rate <= 0)
		return 0;
	share = update_share(allowance, bucket, now);
	refill(allowance, bucket, now, share);
	shortfall = MAX(-bucket->level,
			level_min(allowance, bucket) + amount - bucket->level);
	if (shortfall > 0 && bucket->reserve >= amount)
		bucket->reserve -= amount;
	else if (shortfall > 0)
		return (sr_usec_t)(shortfall / (bucket->rate * share) *
				   SR_SEC) +
		       1;
	bucket->level -= amount;
	return 0;
}

void sr_allowance_enable_pools(sr_allowance_t *allowance)
{
	allowance->has_pools = TRUE;
}

void sr_allowance_set_pool_fraction(sr_allowance_t *allowance, double fraction)
{
	allowance->pool_fraction = fraction;
}

/* Empties the slots that have left the window. */
static void advance_pool(const sr_allowance_t *allowance, pool_t *pool,
			 sr_usec_t now)
{
	gint64 slot = now / slot_length(allowance);

	if (slot - pool->slot >= POOL_SLOTS)
		pool->slot = slot - POOL_SLOTS;
	while (pool->slot < slot) {
		pool->granted[++pool->slot % POOL_SLOTS] = 0;
		pool->granted_small[pool->slot % POOL_SLOTS] = 0;
	}
}

static double sum_slots(const double *slots)
{
	double sum = 0;

	for (unsigned i = 0; i < POOL_SLOTS; i++)
		sum += slots[i];
	return sum;
}

static double sum_granted(const pool_t *pool)
{
	return sum_slots(pool->granted);
}

/* Time until the grants of the window have fallen by an amount. */
static sr_usec_t time_until_freed(const sr_allowance_t *allowance,
				  const pool_t *pool, sr_usec_t now,
				  double amount)
{
	sr_usec_t length = slot_length(allowance);
	gint64 i;

	for (i = 1; i < POOL_SLOTS; i++) {
		amount -= pool->granted[(pool->slot + i) % POOL_SLOTS];
		if (amount <= 0)
			break;
	}
	return (pool->slot + i) * length - now;
}

/* The part of the window, counted back from now, in which a slot lies. */
static unsigned part_of_slot(const pool_t *pool, gint64 slot)
{
	return (unsigned)((pool->slot - slot) * SR_ALLOWANCE_PARTS /
			  POOL_SLOTS);
}

static sr_allowance_use_t sum_use(const pool_t *pool)
{
	sr_allowance_use_t use = { { 0 } };

	for (gint64 i = 0; i < POOL_SLOTS; i++) {
		gint64 slot = pool->slot - i;

		if (slot >= 0)
			use.granted[part_of_slot(pool, slot)] +=
				pool->granted[slot % POOL_SLOTS];
	}
	return use;
}

void sr_allowance_foreach_use(sr_allowance_t *allowance, sr_usec_t now,
			      void (*fn)(void *user, const char *account,
					 unsigned pool,
					 const sr_allowance_use_t *use),
			      void *user)
{
	GHashTableIter iter;
	gpointer account;
	gpointer value;

	g_hash_table_iter_init(&iter, allowance->buckets);
	while (g_hash_table_iter_next(&iter, &account, &value)) {
		bucket_t *bucket = value;

		for (unsigned i = 0; i < SR_ALLOWANCE_POOLS; i++) {
			pool_t *pool = &bucket->pools[i];
			sr_allowance_use_t use;

			if (!bucket->is_held[i])
				continue;
			advance_pool(allowance, pool, now);
			use = sum_use(pool);
			if (sum_granted(pool) > 0)
				fn(user, account, i, &use);
		}
	}
}

static double sum_use_parts(const sr_allowance_use_t *use)
{
	double sum = 0;

	for (unsigned i = 0; i < SR_ALLOWANCE_PARTS; i++)
		sum += use->granted[i];
	return sum;
}

/* Grants are taken to be at a place of their part, from 0, the latest, to 1. */
static void restore_pool(const sr_allowance_t *allowance, pool_t *pool,
			 sr_usec_t now, sr_usec_t age,
			 const sr_allowance_use_t *use, double place)
{
	sr_usec_t length = slot_length(allowance);

	*pool = (pool_t){ .slot = now / length };
	for (unsigned i = 0; i < SR_ALLOWANCE_PARTS; i++) {
		gint64 slot = (now - age -
			       (sr_usec_t)((double)allowance->tolerance.window *
					   (i + place) / SR_ALLOWANCE_PARTS)) /
			      length;

		if (slot >= 0 && pool->slot - slot < POOL_SLOTS)
			pool->granted[slot % POOL_SLOTS] += use->granted[i];
	}
}

/* Adds grants at a time; those that have left the window are dropped. */
static void add_granted(const sr_allowance_t *allowance, pool_t *pool,
			sr_usec_t at, double amount)
{
	gint64 slot = at / slot_length(allowance);

	if (pool->slot - slot < POOL_SLOTS)
		pool->granted[slot % POOL_SLOTS] += amount;
}

/* Continues from what the holder before has said of the pool. What it granted
 * since is estimated: the whole rest of the limit if it has refused a request,
 * or else to each host as much as to this one. What is then left was granted at
 * an unknown time, and is spread over the window. */
static void continue_pool(const sr_allowance_t *allowance, bucket_t *bucket,
			  unsigned i, sr_usec_t now)
{
	double limit = whole_pool_limit(allowance, bucket);
	const noted_use_t *noted = &bucket->noted[i];
	pool_t *pool = &bucket->pools[i];
	sr_allowance_use_t use = noted->use;
	double sum = sum_use_parts(&use);
	double rest;
	double recent;

	/* two hosts that both took themselves for the holder are added up */
	for (unsigned k = 0; k < SR_ALLOWANCE_PARTS && sum > limit; k++)
		use.granted[k] *= limit / sum;
	restore_pool(allowance, pool, now, now - noted->at, &use, NOTED_PLACE);
	rest = MAX(limit - sum_granted(pool), 0);
	if (noted->refused_at > noted->before_at) {
		add_granted(allowance, pool, noted->refused_at, rest);
	} else {
		recent = MIN((noted->granted + noted->granted_before) *
				     allowance->n_hosts,
			     rest);
		add_granted(allowance, pool, noted->granted_at, recent);
	}
	rest = MAX(limit - sum_granted(pool), 0);
	for (unsigned k = 0; k < POOL_SLOTS; k++)
		pool->granted[k] += rest / POOL_SLOTS;
}

/* Another host may have held the pool between the time of what was restored and
 * now; that of a hot account has granted what its limit allows. */
static void add_unknown_grants(const sr_allowance_t *allowance,
			       bucket_t *bucket, unsigned i, sr_usec_t now)
{
	double limit = whole_pool_limit(allowance, bucket);
	pool_t *pool = &bucket->pools[i];
	gint64 first; /* -1 if before the clock's start */

	if (bucket->restored[i] <= HOT_FRACTION * limit)
		return;
	advance_pool(allowance, pool, now);
	first = MAX(bucket->restored_at[i] / slot_length(allowance),
		    MAX(pool->slot - POOL_SLOTS, -1));
	for (gint64 slot = first + 1; slot <= pool->slot; slot++)
		pool->granted[slot % POOL_SLOTS] += limit / POOL_SLOTS;
}

void sr_allowance_start_pool(sr_allowance_t *allowance, sr_usec_t now,
			     const char *account, unsigned pool)
{
	bucket_t *bucket = get_bucket(allowance, now, account);

	bucket->is_held[pool] = TRUE;
	if (now < allowance->restored_until)
		add_unknown_grants(allowance, bucket, pool, now);
	else
		continue_pool(allowance, bucket, pool, now);
}

void sr_allowance_note_use(sr_allowance_t *allowance, sr_usec_t now,
			   const char *account, unsigned pool,
			   const sr_allowance_use_t *use)
{
	bucket_t *bucket = get_bucket(allowance, now, account);
	noted_use_t *noted = &bucket->noted[pool];

	if (bucket->is_held[pool])
		return;
	noted->use = *use;
	noted->before_at = noted->at;
	noted->at = now;
	noted->granted_before = noted->granted;
	noted->granted = 0;
}

void sr_allowance_note_answer(sr_allowance_t *allowance, sr_usec_t now,
			      const char *account, unsigned pool,
			      double granted)
{
	noted_use_t *noted = &get_bucket(allowance, now, account)->noted[pool];

	if (granted > 0) {
		noted->granted += granted;
		noted->granted_at = now;
	} else {
		noted->refused_at = now;
	}
}

void sr_allowance_begin_restore(sr_allowance_t *allowance, sr_usec_t now)
{
	const sr_allowance_use_t nothing = { { 0 } };
	GHashTableIter iter;
	gpointer value;

	allowance->restored_until = now + RESTORED_TIME;
	g_hash_table_iter_init(&iter, allowance->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		for (unsigned i = 0; i < SR_ALLOWANCE_POOLS; i++)
			restore_pool(allowance, &((bucket_t *)value)->pools[i],
				     now, 0, &nothing, 0);
	}
}

void sr_allowance_restore_use(sr_allowance_t *allowance, sr_usec_t now,
			      const char *account, unsigned pool, sr_usec_t age,
			      const sr_allowance_use_t *use)
{
	bucket_t *bucket = get_bucket(allowance, now, account);
	double sum = sum_use_parts(use);

	bucket->is_restored[pool] = TRUE;
	for (unsigned i = 0; i < SR_ALLOWANCE_POOLS; i++) {
		if (i != pool && bucket->is_restored[i])
			continue;
		restore_pool(allowance, &bucket->pools[i], now, MAX(age, 0),
			     use, 0);
		bucket->restored[i] = sum;
		bucket->restored_at[i] = now - MAX(age, 0);
	}
	restore_debt(allowance, bucket, update_share(allowance, bucket, now));
}

void sr_allowance_end_pool(sr_allowance_t *allowance, sr_usec_t now,
			   const char *account, unsigned pool)
{
	get_bucket(allowance, now, account)->is_held[pool] = FALSE;
}

/* Records what the account asks of the pool; returns whether the request is
 * small. */
static gboolean record_pool_demand(bucket_t *bucket, pool_t *pool,
				   sr_usec_t now, double amount)
{
	gboolean is_small = amount < SMALL_COST_RATIO * bucket->mean_cost;

	if (bucket->mean_cost <= 0)
		bucket->mean_cost = amount;
	bucket->mean_cost += MEAN_COST_WEIGHT * (amount - bucket->mean_cost);
	pool->small_per_s *= exp(-seconds_since(pool->demanded_at, now) /
				 SMALL_DEMAND_TIME_CONSTANT_S);
	if (is_small)
		pool->small_per_s += amount / SMALL_DEMAND_TIME_CONSTANT_S;
	pool->demanded_at = now;
	return is_small;
}

/* What is kept for the small requests that are expected within a window and
 * have not been granted yet. */
static double kept_for_small(const sr_allowance_t *allowance,
			     const pool_t *pool, double limit)
{
	double window_s = (double)allowance->tolerance.window / SR_SEC;
	double expected = pool->small_per_s * window_s;

	return MAX(MIN(expected, SMALL_FRACTION_MAX * limit) -
			   sum_slots(pool->granted_small),
		   0);
}

sr_usec_t sr_allowance_take_from_pool(sr_allowance_t *allowance, sr_usec_t now,
				      const char *account, unsigned pool,
				      double amount)
{
	bucket_t *bucket = get_bucket(allowance, now, account);
	double limit = pool_limit(allowance, bucket);
	pool_t *from = &bucket->pools[pool];
	double granted;
	gboolean is_small;

	if (limit <= 0)
		return SR_SEC; /* limit or fraction not set yet */
	advance_pool(allowance, from, now);
	is_small = record_pool_demand(bucket, from, now, amount);
	if (!is_small)
		limit -= kept_for_small(allowance, from, limit);
	granted = sum_granted(from);
	/* a request that is larger than the limit takes the whole pool */
	if (granted > 0 && granted + amount > limit)
		return MAX(time_until_freed(allowance, from, now,
					    granted + amount - limit),
			   1);
	from->granted[from->slot % POOL_SLOTS] += amount;
	if (is_small)
		from->granted_small[from->slot % POOL_SLOTS] += amount;
	return 0;
}

void sr_allowance_refund(sr_allowance_t *allowance, const char *account,
			 double amount)
{
	bucket_t *bucket = g_hash_table_lookup(allowance->buckets, account);

	if (bucket)
		bucket->level += amount;
}

double sr_allowance_share(sr_allowance_t *allowance, sr_usec_t now,
			  const char *account)
{
	return update_share(allowance, get_bucket(allowance, now, account),
			    now);
}

/* By now the peers have received the rate of the previous publication. */
static void publish_demand(demand_t *own, sr_usec_t now)
{
	record_demand(own, now, 0);
	own->known_rate = own->published_rate;
	own->published_rate = own->rate;
}

void sr_allowance_publish(sr_allowance_t *allowance, sr_usec_t now,
			  void (*fn)(void *user, const char *account,
				     double requested),
			  void *user)
{
	GHashTableIter iter;
	gpointer account;
	gpointer value;

	g_hash_table_iter_init(&iter, allowance->buckets);
	while (g_hash_table_iter_next(&iter, &account, &value)) {
		bucket_t *bucket = value;

		publish_demand(&bucket->own, now);
		fn(user, account, bucket->own.requested);
	}
}

void sr_allowance_receive(sr_allowance_t *allowance, sr_usec_t now,
			  const char *host, const char *account,
			  double requested)
{
	bucket_t *bucket = get_bucket(allowance, now, account);
	demand_t *peer = g_hash_table_lookup(bucket->peers, host);
	double elapsed;
	double rate;

	if (!peer) {
		/* A rate is the difference of two counters. Until the second
		 * one is received, the rate of this host is used. */
		peer = g_new0(demand_t, 1);
		peer->requested = requested;
		peer->rate = bucket->own.known_rate;
		peer->updated_at = now;
		g_hash_table_insert(bucket->peers, g_strdup(host), peer);
		return;
	}
	elapsed = seconds_since(peer->updated_at, now);
	if (elapsed <= 0)
		return;
	if (requested < peer->requested) {
		/* the host has restarted; keep its rate */
		peer->requested = requested;
		peer->updated_at = now;
		return;
	}
	rate = (requested - peer->requested) / elapsed;
	peer->rate += (1 - exp(-elapsed / DEMAND_TIME_CONSTANT_S)) *
		      (rate - peer->rate);
	peer->requested = requested;
	peer->updated_at = now;
}

void sr_allowance_remove_host(sr_allowance_t *allowance, const char *host)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, allowance->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_hash_table_remove(((bucket_t *)value)->peers, host);
}
