#include "core/pace/instance_pace.h"

/** Part of the bound of a cold instance that is used. The rest is for hosts
 * that disagree on which of them are alive, and for requests that were sent
 * before a host knew that the instance is cold. */
#define BOUND_USED 0.7

/** Part of what is used that the buckets may hold, and that they are refilled
 * with in a second. Both together are what can arrive within one second. */
#define BURST_PART 0.5

/** Hosts that send to a paced instance if the platform names no bound: enough
 * to fill the instance, few enough that their first requests don't. */
#define HOSTS_MAX 4

/** Window at the start, and the least one. */
#define WINDOW_MIN 1

/** Time after the end of the pace at which a host ends it that has learned
 * nothing of the instance. */
#define UNOBSERVED_EXTRA SR_SEC

/** Longest time after which a window that doesn't grow still paces; ejection
 * and the expected delay decide from then on. */
#define WINDOW_TIME_MAX (5 * SR_SEC)

/* Requests that all buckets together may hold, and that they get in a
 * second. */
static double burst_of_all(const sr_pace_bound_t *bound)
{
	return BURST_PART * BOUND_USED *
	       (bound->rate * bound->overage + bound->slack);
}

unsigned sr_instance_pace_max_hosts(const sr_pace_bound_t *bound)
{
	if (bound->rate <= 0)
		return HOSTS_MAX;
	return (unsigned)MAX(burst_of_all(bound), 1);
}

static double bucket_size(const sr_instance_pace_t *pace)
{
	return MAX(burst_of_all(&pace->bound) / pace->n_sharing, 1);
}

static double tokens_at(const sr_instance_pace_t *pace, sr_usec_t now)
{
	double elapsed_s = (double)(now - pace->refilled_at) / SR_SEC;
	double rate = burst_of_all(&pace->bound) / pace->n_sharing;

	return MIN(pace->tokens + rate * elapsed_s, bucket_size(pace));
}

gboolean sr_instance_pace_begin(sr_instance_pace_t *pace,
				const sr_pace_bound_t *bound, sr_usec_t until,
				sr_usec_t now)
{
	gboolean was_paced = pace->is_paced;

	pace->is_paced = TRUE;
	pace->bound = *bound;
	pace->until = MAX(pace->until, until);
	if (was_paced)
		return FALSE;
	pace->window = WINDOW_MIN;
	pace->n_sharing = 0;
	/* what was sent shortly before may still count within the second */
	pace->tokens = 0;
	pace->refilled_at = now;
	return TRUE;
}

void sr_instance_pace_set_sharing(sr_instance_pace_t *pace, unsigned n,
				  sr_usec_t now)
{
	if (!pace->is_paced || pace->n_sharing == n)
		return;
	if (pace->n_sharing > 0)
		pace->tokens = tokens_at(pace, now);
	pace->n_sharing = n;
	pace->refilled_at = now;
	if (n > 0)
		pace->tokens = MIN(pace->tokens, bucket_size(pace));
}

gboolean sr_instance_pace_allows(const sr_instance_pace_t *pace,
				 unsigned n_waiting, sr_usec_t now)
{
	if (!pace->is_paced)
		return TRUE;
	if (pace->n_sharing == 0 || n_waiting + 1 > pace->window)
		return FALSE;
	return pace->bound.rate <= 0 || tokens_at(pace, now) >= 1;
}

void sr_instance_pace_sent(sr_instance_pace_t *pace, sr_usec_t now)
{
	if (!pace->is_paced || pace->n_sharing == 0)
		return;
	pace->tokens = tokens_at(pace, now) - 1;
	pace->refilled_at = now;
}

void sr_instance_pace_answered(sr_instance_pace_t *pace, gboolean in_time)
{
	if (!pace->is_paced)
		return;
	pace->window =
		in_time ? pace->window + 1 : MAX(pace->window / 2, WINDOW_MIN);
}

void sr_instance_pace_rejected(sr_instance_pace_t *pace)
{
	sr_instance_pace_answered(pace, FALSE);
}

static gboolean is_window_open(const sr_instance_pace_t *pace, unsigned slots)
{
	return pace->window * pace->n_sharing >= slots;
}

gboolean sr_instance_pace_update(sr_instance_pace_t *pace, unsigned slots,
				 sr_usec_t now)
{
	sr_usec_t over = now - pace->until;

	if (!pace->is_paced || over < 0)
		return FALSE;
	if (pace->n_sharing > 0 && pace->window > WINDOW_MIN ?
		    !is_window_open(pace, slots) && over < WINDOW_TIME_MAX :
		    over < UNOBSERVED_EXTRA)
		return FALSE;
	*pace = (sr_instance_pace_t){ 0 };
	return TRUE;
}
