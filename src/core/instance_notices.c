#include "core/instance_notices.h"

#include <math.h>

/** Tolerance of the platform: in a window of four seconds an instance may get
 * one and a half times what its limit allows, and five requests more. What the
 * limit itself doesn't use of that is held by the buckets. */
#define WINDOW_S 4.0
#define TOLERANCE_FACTOR 1.5
#define TOLERANCE_REQUESTS 5.0

/** Part of it that is used; the rest is for requests of hosts that have not
 * heard of the limit. */
#define TOLERANCE_USED 0.7

/** Updates for which a host that had no room does not rely on what is free: all
 * that had none would do so at once. */
#define BLOCKED_UPDATES 16

/** The same after an instance has become brittle or is back, until hosts know
 * what the others send there. */
#define BEGIN_UPDATES 6

/** Part of the rejections that a brittle instance bears that hosts may cause,
 * and the least number that is reckoned with. */
#define REJECTIONS_USED 0.5
#define REJECTIONS_MIN 0.5

/** Part of a brittle instance's slots that hosts fill, and part up to which a
 * host may send one request without room of its own. */
#define FILL_MAX 0.9
#define FILL_IDLE 0.85

/** Part of the room that is free below FILL_MAX that all hosts together take
 * until what they have taken is known to all. */
#define GROWTH 0.5

/** Rate at which an instance that takes nothing is still tried, so that the end
 * of its limit is noticed. */
#define RATE_MIN 0.05

static double rate_of(double rate_limit)
{
	return MAX(rate_limit, RATE_MIN);
}

/* Requests that all buckets together may hold. */
static double capacity_of_all(double rate_limit)
{
	return TOLERANCE_USED *
	       ((TOLERANCE_FACTOR - 1) * WINDOW_S * rate_of(rate_limit) +
		TOLERANCE_REQUESTS);
}

unsigned sr_instance_notices_max_hosts(double rate_limit)
{
	return (unsigned)MAX(capacity_of_all(rate_limit), 1);
}

static double capacity(const sr_instance_notices_t *notices)
{
	return MAX(capacity_of_all(notices->rate_limit) / notices->n_sharing,
		   1);
}

static double tokens_at(const sr_instance_notices_t *notices, sr_usec_t now)
{
	double rate = rate_of(notices->rate_limit) / notices->n_sharing;
	double elapsed_s = (double)(now - notices->refilled_at) / SR_SEC;

	return MIN(notices->tokens + rate * elapsed_s, capacity(notices));
}

static void refill(sr_instance_notices_t *notices, sr_usec_t now)
{
	if (notices->n_sharing > 0)
		notices->tokens = tokens_at(notices, now);
	notices->refilled_at = now;
}

static unsigned hear_limit(sr_instance_notices_t *notices,
			   const sr_notice_t *notice, sr_usec_t now)
{
	if (notices->is_limited == notice->has_rate_limit &&
	    (!notice->has_rate_limit ||
	     notices->rate_limit == notice->rate_limit))
		return SR_NOTICE_UNCHANGED;
	if (notices->is_limited) {
		refill(notices, now);
	} else {
		notices->n_sharing = 1;
		notices->tokens = 0;
		notices->refilled_at = now;
	}
	notices->is_limited = notice->has_rate_limit;
	notices->rate_limit = notice->has_rate_limit ? notice->rate_limit : 0;
	return SR_NOTICE_LIMIT_CHANGED;
}

static unsigned hear_brittle(sr_instance_notices_t *notices,
			     const sr_notice_t *notice)
{
	if (notices->is_brittle == notice->is_brittle &&
	    notices->rejections_max == notice->rejections_max)
		return SR_NOTICE_UNCHANGED;
	notices->is_brittle = notice->is_brittle;
	notices->rejections_max = notice->rejections_max;
	return SR_NOTICE_BRITTLE_CHANGED;
}

unsigned sr_instance_notices_hear(sr_instance_notices_t *notices,
				  const sr_notice_t *notice, sr_usec_t now)
{
	unsigned changes = hear_limit(notices, notice, now) |
			   hear_brittle(notices, notice);

	if (notice->back_off > 0 &&
	    now + notice->back_off > notices->back_off_until) {
		notices->back_off_until = now + notice->back_off;
		changes |= SR_NOTICE_BACK_OFF;
	}
	if (notice->leaving && !notices->leaving) {
		notices->leaving = TRUE;
		changes |= SR_NOTICE_LEAVING;
	}
	return changes;
}

void sr_instance_notices_set_sharing(sr_instance_notices_t *notices, unsigned n,
				     sr_usec_t now)
{
	if (!notices->is_limited || notices->n_sharing == n)
		return;
	refill(notices, now);
	notices->n_sharing = n;
	if (n > 0)
		notices->tokens = MIN(notices->tokens, capacity(notices));
}

gboolean sr_instance_notices_allow(const sr_instance_notices_t *notices,
				   sr_usec_t now)
{
	return sr_instance_notices_opens_in(notices, now) == 0;
}

static sr_usec_t limit_opens_in(const sr_instance_notices_t *notices,
				sr_usec_t now)
{
	double missing;

	if (!notices->is_limited)
		return 0;
	if (notices->n_sharing == 0)
		return -1;
	missing = 1 - tokens_at(notices, now);
	if (missing <= 0)
		return 0;
	return (sr_usec_t)(missing * notices->n_sharing /
			   rate_of(notices->rate_limit) * SR_SEC) +
	       1;
}

sr_usec_t sr_instance_notices_opens_in(const sr_instance_notices_t *notices,
				       sr_usec_t now)
{
	sr_usec_t by_limit = limit_opens_in(notices, now);

	if (by_limit < 0)
		return by_limit;
	return MAX(by_limit, notices->back_off_until - now);
}

void sr_instance_notices_sent(sr_instance_notices_t *notices, sr_usec_t now)
{
	if (!notices->is_limited || notices->n_sharing == 0)
		return;
	refill(notices, now);
	notices->tokens -= 1;
}

void sr_instance_notices_begin_room(sr_instance_notices_t *notices,
				    const sr_instance_room_t *room)
{
	notices->room = room->slots / MAX(room->n_hosts, 1);
	notices->most_in_flight = room->in_flight;
	notices->blocked_for = BEGIN_UPDATES;
	notices->is_idle = FALSE;
}

/* Probability that this host takes one more place. */
static double growth(const sr_instance_room_t *room)
{
	double peers = room->peers_in_flight;
	double free = peers < 0 ?
			      1 :
			      FILL_MAX * room->slots - peers - room->in_flight;

	return GROWTH * MAX(free, 0) /
	       (MAX(room->n_hosts, 1) * MAX(room->known_after, 1));
}

static gboolean is_idle(const sr_instance_room_t *room)
{
	return room->peers_in_flight >= 0 &&
	       room->peers_in_flight + room->in_flight <
		       FILL_IDLE * room->slots;
}

void sr_instance_notices_update_room(sr_instance_notices_t *notices,
				     const sr_instance_room_t *room)
{
	unsigned most = MAX(notices->most_in_flight, room->in_flight);

	if (notices->rejected_for > 0)
		notices->rejected_for--;
	if (notices->blocked_for > 0)
		notices->blocked_for--;
	if (most >= notices->room && room->random < growth(room))
		notices->room++;
	else if (most < notices->room && !is_idle(room))
		notices->room--;
	notices->most_in_flight = room->in_flight;
	notices->is_idle =
		notices->rejected_for == 0 && is_idle(room) &&
		(notices->blocked_for == 0 || room->random < growth(room));
}

gboolean sr_instance_notices_has_room(sr_instance_notices_t *notices,
				      unsigned in_flight)
{
	if (!notices->is_brittle || in_flight < notices->room)
		return TRUE;
	if (in_flight == 0 && notices->is_idle)
		return TRUE;
	notices->blocked_for = BLOCKED_UPDATES;
	return FALSE;
}

void sr_instance_notices_rejected(sr_instance_notices_t *notices,
				  const sr_instance_room_t *room)
{
	double rejections = MAX(notices->rejections_max, REJECTIONS_MIN);

	notices->room = MIN(notices->room, room->in_flight);
	notices->rejected_for =
		(unsigned)ceil(room->n_hosts * SR_INSTANCE_ROOM_UPDATES_PER_S /
			       (REJECTIONS_USED * rejections));
	notices->is_idle = FALSE;
}
