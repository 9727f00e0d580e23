#ifndef SR_FLEET_BELIEFS_INTERNAL_H
#define SR_FLEET_BELIEFS_INTERNAL_H

#include "base/list.h"
#include "core/gossip.h"
#include "daemon/members.h"
#include "fleet/beliefs.h"
#include "peer/peer.h"

/** Shared between the files of the beliefs only. */

struct sr_beliefs {
	sr_beliefs_options_t options;
	char *owner; /* node and incarnation */
	guint64 incarnation;
	guint64 n_told;
	sr_peer_t *peer;
	sr_gossip_t *gossip;
	sr_members_t *members;
	sr_usage_windows_t *usage;
	sr_timer_t *timer;
	sr_usec_t next_tell;
	sr_usec_t next_load;
	/* the table in force and the newest that was heard of */
	GBytes *text;
	guint64 version;
	guint64 heard_version;
	sr_timer_t *fetch_timer;
	gboolean fetching;
	/* the highest revision that came from the platform, and from peers */
	guint64 own_revision;
	guint64 heard_revision;
	sr_usec_t behind_since; /* 0 if not behind the peers */
	/* what other hosts run: node -> load of tellings.c */
	GHashTable *loads;
	GHashTable *works; /* "node/service" -> work of tellings.c */
	sr_list_t asks;	   /* of pool_asks.c */
	guint64 n_asks;
	GHashTable *pools; /* set of the accounts whose pool lies here */
	double most_hosts; /* that were live of late; fades slowly */
	char *holder;	   /* address of who has the duties; or NULL */
	sr_usec_t next_size;
	sr_usec_t next_usage;
	guint64 n_usage_sent;
	GHashTable *usage_told; /* host and incarnation -> sr_usec_t */
	unsigned n_sent_for_silent;
	sr_usec_t told_since; /* others have sent counts without a gap; or 0 */
	sr_usec_t told_last;
	/* accounts that are being told, for the callback of tellings.c */
	GString *demand;
};

static inline sr_usec_t sr_beliefs_now(const sr_beliefs_t *beliefs)
{
	return sr_clock_now(beliefs->options.clock);
}

/** sr_beliefs_put - spread something that only this host tells. */
void sr_beliefs_put_own(sr_beliefs_t *beliefs, sr_rumour_kind_t kind,
			const char *key, const char *text, sr_usec_t ttl);

/* tellings.c: work, demand and usage */

void sr_tellings_init(sr_beliefs_t *beliefs);
void sr_tellings_clear(sr_beliefs_t *beliefs);

/** sr_tellings_tell_load - tell the others what runs at instances. */
void sr_tellings_tell_load(sr_beliefs_t *beliefs);

/** sr_tellings_tell - tell the others the rest; call once a second. */
void sr_tellings_tell(sr_beliefs_t *beliefs);
void sr_tellings_heard_demand(sr_beliefs_t *beliefs, const sr_rumour_t *rumour);
void sr_tellings_heard_load(sr_beliefs_t *beliefs, const sr_rumour_t *rumour);

/** sr_tellings_apply - put others' work into the table of instances. */
void sr_tellings_apply(sr_beliefs_t *beliefs);

/* pool_asks.c: questions to the hosts that keep pools of allowances */

void sr_pool_asks_init(sr_beliefs_t *beliefs);
void sr_pool_asks_clear(sr_beliefs_t *beliefs);

/** sr_pool_asks_tick - settle what part of pools this host may give out; call
 * once a second. */
void sr_pool_asks_tick(sr_beliefs_t *beliefs);

/** sr_pool_asks_receive - FALSE if the datagram is not of this kind. */
gboolean sr_pool_asks_receive(sr_beliefs_t *beliefs, const guint8 *data,
			      gsize size);

/* domain_sizes.c: how many hosts the other failure domains have */

/** sr_domain_sizes_tick - tell and collect the sizes; call once a second. */
void sr_domain_sizes_tick(sr_beliefs_t *beliefs);

/* usage_tellings.c: counts of usage, sent to those who report them */

void sr_usage_tellings_send(sr_beliefs_t *beliefs);

/** sr_usage_tellings_receive - FALSE if the datagram is not of this kind. */
gboolean sr_usage_tellings_receive(sr_beliefs_t *beliefs, const guint8 *data,
				   gsize size);

#endif
