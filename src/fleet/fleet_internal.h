#ifndef SR_FLEET_FLEET_INTERNAL_H
#define SR_FLEET_FLEET_INTERNAL_H

#include "base/list.h"
#include "base/rendezvous.h"
#include "core/gossip.h"
#include "daemon/members.h"
#include "fleet/fleet.h"
#include "fleet/load_exchange.h"
#include "fleet/send_queue.h"
#include "peer/peer.h"

/** Shared by the source files of sr_fleet_t only. */

/** Number of kinds of drops, see sr_fleet_drop_t. */
#define SR_FLEET_DROPS 4

/** Key under which a host serves the text of its table. */
#define SR_FLEET_TABLE_KEY "table"

typedef struct sr_start_table sr_start_table_t;

struct sr_fleet {
	sr_fleet_options_t options;
	char *owner_id; /* "NODE@INCARNATION" */
	sr_usec_t started_at;
	unsigned expected_hosts; /* 0 if not known; see sr_fleet_expect_hosts */
	gboolean is_leaving;	 /* a planned stop has been announced */
	guint64 incarnation;
	guint64 n_published;	 /* by sr_fleet_publish_own() */
	guint64 n_crash_reports; /* published by this host */
	sr_peer_t *peer;
	sr_gossip_t *gossip;
	sr_members_t *members;
	/* counts of the hosts of this failure domain, and sums of each domain;
	 * NULL if usage is not counted */
	sr_usage_windows_t *usage;
	sr_usage_windows_t *domain_usage; /* "DOMAIN/COHORT" for a host */
	sr_timer_t *timer;
	sr_usec_t next_demand_at;
	sr_usec_t next_load_at;
	/* the table in force, and the highest version that peers announced */
	GBytes *table_text;
	guint64 table_version;
	guint64 peer_table_version;
	sr_start_table_t *start_table;
	sr_timer_t *fetch_timer;
	gboolean is_fetching;
	sr_list_t fetches;  /* of any value; fetches.c */
	GQueue kept_tables; /* GBytes, texts; the one in force first */
	guint64 platform_table_version; /* as the platform has sent it last */
	/* highest registration revision from the platform, and from peers */
	guint64 platform_revision;
	guint64 peer_revision;
	sr_usec_t behind_since; /* 0 if not behind the peers */
	/* load of all hosts, and engine work of this one; load_report.c */
	sr_load_exchange_t *load_exchange;
	sr_send_queue_t *load_datagrams;
	GHashTable *engine_work; /* service -> work_t */
	gboolean is_load_known;	 /* as logged last */
	sr_rollouts_t *rollouts;
	sr_usec_t next_rollout_tick_at;
	/* pools of accounts; pool_requests.c */
	sr_list_t pool_requests;    /* without a reply yet */
	guint64 n_pool_requests;    /* sent so far; the id of the last one */
	GHashTable *held_pools;	    /* set; see held_pool_key() */
	GHashTable *silent_holders; /* address -> sr_usec_t, asked last until */
	double recent_max_hosts;    /* highest number of live hosts; decays */
	char *duty_holder;	    /* peer address; NULL if not known */
	sr_usec_t next_size_at;
	sr_usec_t next_slow_tick_at;
	/* control messages left out; drops.c */
	sr_counter_t *dropped[SR_FLEET_DROPS];
	guint64 n_large_rumours;
	guint64 n_large_values;
	/* counts of other hosts; usage_exchange.c */
	guint64 n_usage_sends;
	GHashTable *usage_last_received; /* owner id -> sr_usec_t */
	unsigned n_relayed;		 /* in the current send */
	sr_usec_t usage_received_since;	 /* without a gap; 0 before the first */
	sr_usec_t usage_received_at;	 /* from any host */
};

static inline sr_usec_t sr_fleet_now(const sr_fleet_t *fleet)
{
	return sr_clock_now(fleet->options.clock);
}

/** sr_fleet_sharing_hosts - number of hosts that share the allowances; more
 * than are known in the first moments after a start. */
unsigned sr_fleet_sharing_hosts(const sr_fleet_t *fleet);

/** sr_fleet_publish - gossip a value; of two values of a key the one with the
 * higher version wins. ttl as in sr_gossip_put(). */
void sr_fleet_publish(sr_fleet_t *fleet, sr_rumour_kind_t kind, const char *key,
		      guint64 version, const char *text, sr_usec_t ttl);

/**
 * sr_fleet_publish_own - gossip a value that only this host publishes
 *
 * Each call replaces the value of the one before, also over restarts. Values
 * over SR_RUMOUR_VALUE_MAX bytes are dropped. ttl as in sr_gossip_put().
 */
void sr_fleet_publish_own(sr_fleet_t *fleet, sr_rumour_kind_t kind,
			  const char *key, const char *text, sr_usec_t ttl);

/** sr_fleet_apply_table - put a table in force if it is newer than the one in
 * force; source is for the log. Returns its version, 0 if it can't be read. */
guint64 sr_fleet_apply_table(sr_fleet_t *fleet, GBytes *text,
			     const char *source);

/**
 * start_table.c: the first table of a host that starts
 *
 * The platform's store may have been restored from a copy with an older table
 * than the other hosts have in force, and this host can't tell. It asks the
 * hosts that it was told of for their versions; the platform's first table
 * waits for the answers, for a moment at most, and an older one gives way to
 * theirs.
 */
sr_start_table_t *sr_start_table_new(sr_fleet_t *fleet);

/** sr_start_table_free - start may be NULL. */
void sr_start_table_free(sr_start_table_t *start);

/** sr_start_table_hold - FALSE if the platform's table need not wait. */
gboolean sr_start_table_hold(sr_start_table_t *start, GBytes *text);

/** sr_start_table_answer - value of a key that a host that starts asks for;
 * NULL for other keys. The caller unrefs it. */
GBytes *sr_start_table_answer(const sr_fleet_t *fleet, const char *key);

/* fetches.c: values that this host fetches from others, and serves to them; see
 * fetch_codec.h */

/** sr_fetches_keep_table - keep the table that is in force now, as a base. */
void sr_fetches_keep_table(sr_fleet_t *fleet, GBytes *text);

/** sr_fetches_encode - a value for a host that holds a base; value may be NULL.
 * The caller unrefs the result. */
GBytes *sr_fetches_encode(const sr_fleet_t *fleet, GBytes *value,
			  guint64 base_id);

void sr_fetches_init(sr_fleet_t *fleet);
void sr_fetches_clear(sr_fleet_t *fleet);

/* drops.c: control messages that were left out at a size limit */

/** sr_fleet_drop_t - kinds of them. */
typedef enum {
	SR_FLEET_DROP_RUMOUR,	 /* a value over SR_RUMOUR_VALUE_MAX */
	SR_FLEET_DROP_LOAD_LINE, /* of a sum of load with too many parts */
	SR_FLEET_DROP_MESSAGE,	 /* refused by the peer module */
	SR_FLEET_DROP_VALUE,	 /* asked for by another host, too large */
} sr_fleet_drop_t;

void sr_fleet_drops_init(sr_fleet_t *fleet);

/** sr_fleet_drops_tick - count and log what was left out since the last call;
 * call once a second. */
void sr_fleet_drops_tick(sr_fleet_t *fleet);

/* load_report.c: load at instances and engine work */

void sr_load_report_init(sr_fleet_t *fleet);
void sr_load_report_clear(sr_fleet_t *fleet);

/** sr_load_report_tick - report this host's load, and set that of the others in
 * the gateway's table of instances; call at the interval of the exchange. */
void sr_load_report_tick(sr_fleet_t *fleet);

/** sr_load_report_is_sending - datagrams of the last tick are still waiting. */
gboolean sr_load_report_is_sending(const sr_fleet_t *fleet);

/** sr_load_report_total - the latest load of all hosts, NULL if there is none;
 * is_known is FALSE if it includes too few of them. */
const sr_load_sum_t *sr_load_report_total(const sr_fleet_t *fleet,
					  gboolean *is_known);

/* demand_gossip.c: demand of client accounts */

/** sr_demand_gossip_publish - call about once a second. */
void sr_demand_gossip_publish(sr_fleet_t *fleet);
void sr_demand_gossip_receive(sr_fleet_t *fleet, const sr_rumour_t *rumour);

/* pool_requests.c: requests to the hosts that hold the pools of accounts */

void sr_pool_requests_init(sr_fleet_t *fleet);
void sr_pool_requests_clear(sr_fleet_t *fleet);

/** sr_pool_requests_tick - update which pools this host holds and the fraction
 * of them that it may hand out; call once a second. */
void sr_pool_requests_tick(sr_fleet_t *fleet);

/** sr_pool_requests_receive - FALSE if the datagram is not of this kind. */
gboolean sr_pool_requests_receive(sr_fleet_t *fleet, const guint8 *data,
				  gsize size);

/* notice_gossip.c: what instances say of themselves */

/** sr_notice_gossip_tick - update which hosts divide the limits of instances;
 * call once a second. */
void sr_notice_gossip_tick(sr_fleet_t *fleet);
void sr_notice_gossip_receive(sr_fleet_t *fleet, const sr_rumour_t *rumour);

/** sr_notice_gossip_restore - apply to an instance that was added what peers
 * have said of it. */
void sr_notice_gossip_restore(sr_fleet_t *fleet, const char *instance);

/** sr_notice_gossip_sharing - number of hosts that divide what an instance
 * takes, most at most; 0 if this host is none of them. */
unsigned sr_notice_gossip_sharing(const sr_fleet_t *fleet,
				  const sr_instance_t *instance, unsigned most);

/* evacuation_gossip.c: evacuated failure domains, and paced instances */

void sr_evacuation_gossip_receive(sr_fleet_t *fleet, const sr_rumour_t *rumour);

/** sr_pace_tick - update which hosts send to paced instances; call once a
 * second. */
void sr_pace_tick(sr_fleet_t *fleet);

/** sr_fleet_is_settled - FALSE in the first moments after a start, in which
 * other hosts may not be known yet. */
gboolean sr_fleet_is_settled(const sr_fleet_t *fleet);

/* crash_gossip.c: instances that ended, and what requests held then */

void sr_crash_gossip_receive_report(sr_fleet_t *fleet,
				    const sr_rumour_t *rumour);

/** sr_crash_gossip_receive_state - a fingerprint is quarantined or cleared. */
void sr_crash_gossip_receive_state(sr_fleet_t *fleet,
				   const sr_rumour_t *rumour);

/* store_notice.c: notices of the hosts that watch the platform */

/** sr_store_notice_receive - FALSE if the datagram is not of this kind. */
gboolean sr_store_notice_receive(sr_fleet_t *fleet, const guint8 *data,
				 gsize size);

/* domain_sizes.c: numbers of live hosts in the other failure domains */

/** sr_domain_sizes_tick - publish and collect sizes; call once a second. */
void sr_domain_sizes_tick(sr_fleet_t *fleet);

/* usage_exchange.c: usage counts, added up in each failure domain and sent to
 * the hosts that report them */

void sr_usage_exchange_init(sr_fleet_t *fleet);
void sr_usage_exchange_clear(sr_fleet_t *fleet);

/** sr_usage_exchange_send - send the counts; call once a second. */
void sr_usage_exchange_send(sr_fleet_t *fleet);

/** sr_usage_exchange_receive - FALSE if the datagram is not of this kind. */
gboolean sr_usage_exchange_receive(sr_fleet_t *fleet, const guint8 *data,
				   gsize size);

#endif
