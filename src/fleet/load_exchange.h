#ifndef SR_FLEET_LOAD_EXCHANGE_H
#define SR_FLEET_LOAD_EXCHANGE_H

#include "base/clock.h"
#include "core/load_sum.h"
#include "daemon/members.h"

/**
 * sr_load_exchange_t - load of all entry hosts, in two steps
 *
 * Each host reports its load to the collectors, the first two delegates of its
 * failure domain. A collector adds up the reports, sends the sum of its domain
 * to the collectors of the other domains, and the total of all domains to the
 * hosts of its own. The second collector sends only while the totals of the
 * first one fail to appear.
 *
 * A host therefore sends and receives a number of datagrams that grows with
 * its own domain and the number of domains, not with the number of hosts.
 *
 * The module does no I/O; the time is an argument.
 */
typedef struct sr_load_exchange sr_load_exchange_t;

/** Age from which a report, a sum or a total is no longer used. */
#define SR_LOAD_EXPIRY (2500 * SR_MSEC)

/** sr_load_exchange_options_t - members is borrowed, strings are copied. */
typedef struct {
	const char *node;
	const char *failure_domain;
	guint64 incarnation; /* grows with each start of the process */
	const sr_members_t *members;
	gsize datagram_max; /* bytes */
	/* sends a datagram to a peer; data is valid during the call */
	void (*send)(void *user, const char *address, const guint8 *data,
		     gsize size);
	/* sr_load_exchange_total() has a new total */
	void (*total_changed)(void *user);
	void *user;
} sr_load_exchange_options_t;

/** sr_load_exchange_new - the caller owns the result. */
sr_load_exchange_t *
sr_load_exchange_new(const sr_load_exchange_options_t *options, sr_usec_t now);

/** sr_load_exchange_free - exchange may be NULL. */
void sr_load_exchange_free(sr_load_exchange_t *exchange);

/** sr_load_exchange_interval - time between two calls of
 * sr_load_exchange_tick(). */
sr_usec_t sr_load_exchange_interval(const sr_load_exchange_t *exchange);

/** sr_load_exchange_tick - publish this host's own load, which is taken over,
 * and what is due as a collector. */
void sr_load_exchange_tick(sr_load_exchange_t *exchange, sr_usec_t now,
			   sr_load_sum_t *own);

/** sr_load_exchange_receive - FALSE if the datagram is not of this kind. */
gboolean sr_load_exchange_receive(sr_load_exchange_t *exchange, sr_usec_t now,
				  const guint8 *data, gsize size);

/**
 * sr_load_exchange_total - load of all hosts, as of the last total received
 *
 * Borrowed; NULL if none is fresh. sr_load_sum_hosts() tells how many hosts
 * are included; *own is set to the load of this host at the last tick.
 */
const sr_load_sum_t *sr_load_exchange_total(const sr_load_exchange_t *exchange,
					    sr_usec_t now,
					    const sr_load_sum_t **own);

/** sr_load_exchange_is_collector - TRUE while this host collects for its
 * failure domain and sends totals. */
gboolean sr_load_exchange_is_collector(const sr_load_exchange_t *exchange,
				       sr_usec_t now);

/** sr_load_exchange_stats_t - counters since the start. */
typedef struct {
	guint64 items_dropped; /* instances left out of a datagram */
	guint64 malformed;     /* datagrams received */
} sr_load_exchange_stats_t;

const sr_load_exchange_stats_t *
sr_load_exchange_stats(const sr_load_exchange_t *exchange);

#endif
