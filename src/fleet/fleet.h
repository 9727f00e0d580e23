#ifndef SR_FLEET_FLEET_H
#define SR_FLEET_FLEET_H

#include <glib.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "core/instances.h"
#include "core/route_table.h"
#include "core/usage_windows.h"
#include "fleet/rollouts.h"
#include "gateway/gateway.h"

/**
 * sr_fleet_t - state of the deployment, shared among the entry hosts
 *
 * Keeps the route table, the registered instances and the live entry hosts,
 * and applies changes of them to the gateway. What the platform sends to one
 * host is gossiped to the others, and the higher version wins, so that a host
 * that gets no answer from the platform follows its peers. The hosts also sum
 * up their load at the instances and the counts of executed requests, and share
 * the allowances of the client accounts.
 */
typedef struct sr_fleet sr_fleet_t;

/** Feeds of the platform's objects: the configuration, the instances, the
 * orders of roll-outs. */
#define SR_STORE_FEEDS 3

/** sr_store_notice_t - sent by a host that watches the platform to the hosts of
 * its failure domain. */
typedef struct {
	const char *address; /* IP:PORT of the sender, for fetches; borrowed */
	sr_usec_t age;	     /* since the platform last answered the sender */
	guint64 revisions[SR_STORE_FEEDS]; /* at the last change */
} sr_store_notice_t;

/** sr_fleet_options_t - pointers are borrowed for the object's lifetime. */
typedef struct {
	const char *node;
	const char *failure_domain;
	const char *peer_address; /* IP:PORT to listen on */
	/* IP:PORT on which the gateway takes requests that other hosts pass on;
	 * its port is the same on all hosts; NULL for none */
	const char *relay_address;
	const GPtrArray *seeds; /* char *, IP:PORT to contact first */
	const char *cluster;	/* other clusters are ignored */
	const guint8 *secret;	/* authenticates messages between hosts */
	gsize secret_size;
	sr_usec_t usage_window; /* length; 0 if usage is not counted */
	sr_clock_t *clock;
	sr_log_t *log;
	sr_metrics_t *metrics;
	sr_gateway_t *gateway;
	guint64 seed; /* of the random choices */
	/* parses a route table; returns a new reference, NULL if malformed */
	sr_route_table_t *(*decode)(GBytes *text);
	sr_version_exposure_t exposure; /* of faulty versions */
	/* writes the status of a roll-out, see sr_rollouts_options_t */
	void (*write_rollout_status)(void *user,
				     const sr_rollout_order_t *order);
	/* a table was put in force; may be NULL */
	void (*table_applied)(void *user);
	/* peers have newer data than the platform has sent to this host */
	void (*behind)(void *user);
	/* another host of the failure domain has sent a notice */
	void (*store_notice)(void *user, const sr_store_notice_t *notice);
	/* a peer fetches a key that is not the fleet's; returns a new
	 * reference, NULL if there is no value */
	GBytes *(*fetch)(void *user, const char *key);
	void *user;
} sr_fleet_options_t;

/**
 * sr_fleet_new - listen for peers and start to gossip
 *
 * Returns NULL if the peer address can't be listened on; problem then says
 * why and is freed by the caller.
 */
sr_fleet_t *sr_fleet_new(const sr_fleet_options_t *options, char **problem);

/** sr_fleet_free - drops open pool requests without calling back. */
void sr_fleet_free(sr_fleet_t *fleet);

/** sr_fleet_set_table - apply a route table that the platform has sent; a
 * malformed one, or one not newer than the table in force, changes nothing. */
void sr_fleet_set_table(sr_fleet_t *fleet, GBytes *text);

/** sr_fleet_register_instance - apply a registration that the platform has
 * sent; one whose revision is not higher than the known one changes nothing. */
void sr_fleet_register_instance(sr_fleet_t *fleet,
				const sr_registration_t *entry);

/** sr_fleet_remove_instance - apply the removal of an instance that the
 * platform has sent. */
void sr_fleet_remove_instance(sr_fleet_t *fleet, const char *name,
			      guint64 revision);

/** sr_fleet_set_evacuation - apply what the platform says of a failure domain:
 * evacuated, or not any more. */
void sr_fleet_set_evacuation(sr_fleet_t *fleet, const char *domain,
			     guint64 revision, gboolean is_evacuated);

/** sr_fleet_share_pace - decide whether this host sends to a paced instance. */
void sr_fleet_share_pace(sr_fleet_t *fleet, sr_instance_t *instance);

/** sr_fleet_count_request - count a request of the account that an instance
 * has executed, or may have. */
void sr_fleet_count_request(sr_fleet_t *fleet, const char *account);

/**
 * sr_fleet_request_pool - take an amount from an account's pool
 *
 * The pool may be held by another host. done is called once, possibly from
 * inside this call, with 0 or the time in microseconds that the account has to
 * wait; without a reply that is one second. It is not called after
 * sr_fleet_cancel_pool_requests().
 */
void sr_fleet_request_pool(sr_fleet_t *fleet, const char *account,
			   double amount, sr_pool_reply_fn done, void *user);

/** sr_fleet_cancel_pool_requests - drop the open pool requests of a user
 * pointer. */
void sr_fleet_cancel_pool_requests(sr_fleet_t *fleet, void *user);

/** sr_fleet_usage - counts by account, of whole failure domains; borrowed, NULL
 * if not counted. */
sr_usage_windows_t *sr_fleet_usage(const sr_fleet_t *fleet);

/** sr_fleet_usage_received_for - microseconds for which this host has received
 * usage counts of other hosts without a gap; 0 if it receives none. */
sr_usec_t sr_fleet_usage_received_for(const sr_fleet_t *fleet);

/** sr_fleet_owner_id - "NODE@INCARNATION", unique to this process; borrowed. */
const char *sr_fleet_owner_id(const sr_fleet_t *fleet);

/** sr_fleet_host_count - number of live entry hosts, including this one. */
unsigned sr_fleet_host_count(const sr_fleet_t *fleet);

/** sr_fleet_domain_hosts - number of live entry hosts in this host's failure
 * domain, including this one. */
unsigned sr_fleet_domain_hosts(const sr_fleet_t *fleet);

/** sr_fleet_domain_rank - number of live hosts of the failure domain that
 * precede this one in the order of its delegates. */
unsigned sr_fleet_domain_rank(const sr_fleet_t *fleet);

/** sr_fleet_send_store_notice - send a notice to the other hosts of the failure
 * domain; its address is set here. */
void sr_fleet_send_store_notice(sr_fleet_t *fleet,
				const sr_store_notice_t *notice);

/** sr_fleet_fetch - fetch a value from a peer; done gets NULL if it has none or
 * doesn't reply. */
void sr_fleet_fetch(sr_fleet_t *fleet, const char *address, const char *key,
		    sr_usec_t timeout, void (*done)(void *user, GBytes *value),
		    void *user);

/** sr_fleet_cancel_fetches - drop the open fetches of a user pointer. */
void sr_fleet_cancel_fetches(sr_fleet_t *fleet, void *user);

/** sr_fleet_recent_hosts - the highest number of live hosts of late, this one
 * included; 2% less with each second since. */
unsigned sr_fleet_recent_hosts(const sr_fleet_t *fleet);

/** sr_fleet_expect_hosts - set the number of entry hosts that is assumed until
 * this host has joined the others. */
void sr_fleet_expect_hosts(sr_fleet_t *fleet, unsigned n);

/**
 * sr_fleet_foreach_use - call fn with what each pool on any host has granted
 *
 * Returns FALSE, without a call, if the use of too many hosts is not known.
 */
gboolean sr_fleet_foreach_use(const sr_fleet_t *fleet,
			      void (*fn)(void *user, const char *account,
					 unsigned pool,
					 const sr_allowance_use_t *use),
			      void *user);

/** sr_fleet_publish_notices - tell the other hosts what an instance has said of
 * itself, and divide its limit among them. */
void sr_fleet_publish_notices(sr_fleet_t *fleet, sr_instance_t *instance);

/** sr_fleet_publish_crash - tell the other hosts of an instance that ended
 * under requests of this host. */
void sr_fleet_publish_crash(sr_fleet_t *fleet, const sr_crash_report_t *report);

/** sr_fleet_publish_cleared - tell the other hosts that a request has survived
 * whose fingerprint was suspect. */
void sr_fleet_publish_cleared(sr_fleet_t *fleet, guint64 fingerprint);

/** sr_fleet_publish_quarantine - tell the other hosts of a quarantine. */
void sr_fleet_publish_quarantine(sr_fleet_t *fleet,
				 const sr_quarantine_t *quarantine);

/** sr_fleet_save_quarantines - append a line of text for each quarantine. */
void sr_fleet_save_quarantines(const sr_fleet_t *fleet, GString *text);

/** sr_fleet_restore_quarantine - apply the words of a saved line; lines of
 * another kind, and quarantines that have ended since, change nothing. */
void sr_fleet_restore_quarantine(sr_fleet_t *fleet, char **words);

/** sr_fleet_rollouts - the orders of roll-outs; borrowed. */
sr_rollouts_t *sr_fleet_rollouts(const sr_fleet_t *fleet);

/** Key under which the duties are assigned to a host. */
#define SR_FLEET_DUTIES_KEY "duties"

/** sr_fleet_announce_duty_holder - publish that this host holds the duties
 * under an epoch. */
void sr_fleet_announce_duty_holder(sr_fleet_t *fleet, guint64 epoch);

/** sr_fleet_announce_report - publish that the report of a usage window is sent
 * and final. */
void sr_fleet_announce_report(sr_fleet_t *fleet, guint64 window);

/** sr_fleet_reported_windows - windows before this one have been reported, as
 * far as this host knows; 0 if it doesn't. */
guint64 sr_fleet_reported_windows(const sr_fleet_t *fleet);

/** sr_fleet_rank - number of live delegates that come before this host as
 * owner of a key; 0 if this host should own it. */
unsigned sr_fleet_rank(const sr_fleet_t *fleet, const char *key);

/**
 * sr_fleet_busy_instances - average number of a service's instances that the
 * prompts of all hosts keep busy
 *
 * Returns FALSE and sets *busy to 0 if the load of too few hosts is known.
 */
gboolean sr_fleet_busy_instances(const sr_fleet_t *fleet, const char *service,
				 double *busy);

/** sr_fleet_add_seed - add an address (IP:PORT) that is contacted until its
 * host is known. */
void sr_fleet_add_seed(sr_fleet_t *fleet, const char *address);

/** sr_fleet_leave - announce a planned stop to the other hosts. */
void sr_fleet_leave(sr_fleet_t *fleet);

#endif
