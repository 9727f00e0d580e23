#ifndef SR_CORE_INSTANCE_NOTICES_H
#define SR_CORE_INSTANCE_NOTICES_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_instance_notices_t - what an upstream instance has said of itself in its
 * responses, and what this host may therefore send to it
 *
 * Embedded in the instance and zero-initialised; a restarted instance is a new
 * one, and nothing of the earlier one applies to it.
 *
 * A rate limit is divided evenly among a few hosts by token buckets. Their
 * number is bounded, so that each bucket can hold a request and all of them
 * together stay within the tolerance.
 */

/** sr_notice_t - what one response says. */
typedef struct {
	gboolean leaving; /* it takes no new requests */
	gboolean has_rate_limit;
	double rate_limit;  /* requests/s that it takes from all hosts */
	sr_usec_t back_off; /* it wants nothing from this host for so long */
	/* It ends if it has to turn away more requests in a second for want of
	 * room. */
	gboolean is_brittle;
	double rejections_max;
} sr_notice_t;

typedef struct {
	gboolean leaving; /* until the end of the instance */
	gboolean is_limited;
	double rate_limit;  /* requests/s */
	unsigned n_sharing; /* hosts that divide the limit; 0: not this one */
	double tokens;	    /* requests that this host may send, at... */
	sr_usec_t refilled_at;
	sr_usec_t back_off_until; /* of this host only */
	gboolean is_brittle;
	gboolean is_assumed;   /* is_brittle, until the instance has said it */
	double rejections_max; /* per second, from all hosts */
	unsigned room;	       /* requests that this host may have there */
	unsigned most_in_flight; /* since the last update of the room */
	gboolean is_idle;	 /* it has room for one more of each host */
	unsigned rejected_for; /* updates left until is_idle counts again... */
	unsigned blocked_for;  /* ...after a rejection, or a lack of room */
} sr_instance_notices_t;

/** sr_notice_change_t - effects of a notice, as bits. */
typedef enum {
	SR_NOTICE_UNCHANGED = 0,
	SR_NOTICE_LIMIT_CHANGED = 1 << 0,
	SR_NOTICE_LEAVING = 1 << 1,
	SR_NOTICE_BACK_OFF = 1 << 2, /* concerns this host only */
	SR_NOTICE_BRITTLE_CHANGED = 1 << 3,
} sr_notice_change_t;

/**
 * sr_instance_notices_hear - apply the notice of a response
 *
 * Returns a set of sr_notice_change_t. A limit that is no longer named ends. A
 * new one is this host's alone until sr_instance_notices_set_sharing().
 */
unsigned sr_instance_notices_hear(sr_instance_notices_t *notices,
				  const sr_notice_t *notice, sr_usec_t now);

/** sr_instance_notices_max_hosts - hosts that a limit may be divided among. */
unsigned sr_instance_notices_max_hosts(double rate_limit);

/** sr_instance_notices_set_sharing - set the number of hosts that divide the
 * limit; 0 if this host is none of them. */
void sr_instance_notices_set_sharing(sr_instance_notices_t *notices, unsigned n,
				     sr_usec_t now);

/** sr_instance_notices_allow - whether a request may be sent. */
gboolean sr_instance_notices_allow(const sr_instance_notices_t *notices,
				   sr_usec_t now);

/** sr_instance_notices_opens_in - time until a request may be sent, 0 if it may
 * be at once; negative if that can't be told. */
sr_usec_t sr_instance_notices_opens_in(const sr_instance_notices_t *notices,
				       sr_usec_t now);

/**
 * sr_instance_room_t - what the room of a brittle instance is divided by
 *
 * Hosts share it without asking each other: each has an even part at first,
 * which shrinks with each rejection and with less use. It grows by one at a
 * time, with a probability that lets all hosts together take half of what is
 * free until they know of it. While much is free, a host may send one request
 * without a part, unless it was rejected lately: so long ago that the
 * rejections of all hosts stay within what the instance bears.
 */
typedef struct {
	unsigned slots;		/* requests that the instance runs at once */
	unsigned n_hosts;	/* that send to it */
	unsigned in_flight;	/* of this host */
	double peers_in_flight; /* of the others; negative if not known */
	double known_after;	/* updates until hosts know each other's load */
	double random;		/* 0 to 1 */
} sr_instance_room_t;

/** sr_instance_notices_begin_room - the instance has become brittle. */
void sr_instance_notices_begin_room(sr_instance_notices_t *notices,
				    const sr_instance_room_t *room);

/** Calls of sr_instance_notices_update_room() in a second. */
#define SR_INSTANCE_ROOM_UPDATES_PER_S 4

void sr_instance_notices_update_room(sr_instance_notices_t *notices,
				     const sr_instance_room_t *room);

/** sr_instance_notices_has_room - FALSE if the instance is brittle and may turn
 * another request away, with so many of this host there; remembers that. */
gboolean sr_instance_notices_has_room(sr_instance_notices_t *notices,
				      unsigned in_flight);

/** sr_instance_notices_rejected - the instance had no room for a request beside
 * those of room->in_flight. */
void sr_instance_notices_rejected(sr_instance_notices_t *notices,
				  const sr_instance_room_t *room);

/** sr_instance_notices_sent - count a request. */
void sr_instance_notices_sent(sr_instance_notices_t *notices, sr_usec_t now);

#endif
