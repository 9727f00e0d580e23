#ifndef SR_GATEWAY_GATEWAY_H
#define SR_GATEWAY_GATEWAY_H

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "base/metrics.h"
#include "core/allowance.h"
#include "core/crash_suspects.h"
#include "core/evidence.h"
#include "core/instances.h"
#include "core/route_table.h"
#include "core/version_trial.h"
#include "gateway/dialect.h"

/**
 * sr_gateway_t - HTTP reverse proxy between callers and upstream instances
 *
 * It routes each request by a route table to one of the registered instances
 * of a service and retries where the route permits it. Its owner supplies
 * the route table and the instances; the gateway itself opens connections to
 * instances only. All calls and callbacks run on the owner's main loop.
 */
typedef struct sr_gateway sr_gateway_t;

/**
 * sr_pool_reply_fn - reply to a request to an account's allowance pool
 *
 * wait is 0 if the amount was granted, else the time in us until the caller
 * should retry.
 */
typedef void (*sr_pool_reply_fn)(void *user, sr_usec_t wait);

/** Header with the attempts at instances that a host may still make of a
 * request that another one passes on. Ignored if it comes from a caller. */
#define SR_RELAY_ATTEMPTS "Relay-Attempts"

/** sr_gateway_options_t - strings are borrowed and must outlive the gateway;
 * addresses are IP:PORT. */
typedef struct {
	const char *node;
	const char *failure_domain; /* of this host */
	const char *caller_address;
	const char *ready_address;   /* not the caller address */
	const char *metrics_address; /* NULL or "" for none */
	const char *relay_address;   /* for other hosts; NULL for none */
	unsigned max_connections;    /* from callers; 0 for the default */
	gsize buffered_bytes;	/* of all unfinished requests; 0: default */
	gsize response_bytes;	/* of all responses that are not complete, or
				 * not yet sent; 0: default */
	sr_usec_t accept_grace; /* connections are accepted this long
				 * after the start of a planned stop */
	sr_usec_t stop_timeout; /* maximum duration of a planned stop */
	double retry_ratio;	/* retries per request; 0: default */
	double retry_slack; /* burst of retries over all hosts; 0: default */
	sr_allowance_tolerance_t allowance; /* zeroes for none */
	/* Requests that a cold instance bears in a second, beside the rate of
	 * its service; see sr_pace_bound_t. */
	double warm_up_overage;
	double warm_up_slack;
	const sr_dialect_t *dialect; /* borrowed */
	sr_clock_t *clock;	     /* borrowed */
	sr_log_t *log;		     /* borrowed; may be NULL */
	sr_metrics_t *metrics;	     /* borrowed */
	guint64 seed;		     /* of the random numbers */
	/* An instance has executed a request of the account, or may have;
	 * called once per request. May be NULL. */
	void (*request_executed)(void *user, const char *account);
	/* An attempt at an instance has ended, or has shown how fast it is; may
	 * be NULL. */
	void (*attempt_observed)(void *user,
				 const sr_observation_t *observation);
	/* An instance has said something new of itself in a response; may be
	 * NULL. */
	void (*instance_noticed)(void *user, sr_instance_t *instance);
	/* An instance is paced from now on; may be NULL, which lets this host
	 * send nothing to it meanwhile. */
	void (*instance_paced)(void *user, sr_instance_t *instance);
	/* An instance has ended under requests of this host; may be NULL. */
	void (*instance_ended)(void *user, const sr_crash_report_t *report);
	/* A request has survived whose fingerprint was suspect; may be NULL. */
	void (*suspect_cleared)(void *user, guint64 fingerprint);
	/* Reports of ended instances have led to a quarantine; may be NULL. */
	void (*suspect_quarantined)(void *user,
				    const sr_quarantine_t *quarantine);
	/* Whether this host sends the probe of a quarantine that is due; may be
	 * NULL for always. */
	gboolean (*may_probe)(void *user, guint64 fingerprint);
	/* Requests an amount from the account's allowance pool; done is called
	 * once, possibly from inside this call. NULL if there are no pools. */
	void (*take_from_pool)(void *user, const char *account, double amount,
			       sr_pool_reply_fn done, void *done_user);
	/* Cancels the pool requests of a done_user. */
	void (*cancel_pool_request)(void *user, void *done_user);
	/* A planned stop is complete. */
	void (*stopped)(void *user);
	void *user;
} sr_gateway_options_t;

/** sr_gateway_new - the options are copied; free with sr_gateway_free(). */
sr_gateway_t *sr_gateway_new(const sr_gateway_options_t *options);

/** sr_gateway_free - closes the listening sockets and the connections with
 * callers and instances; unfinished requests get no response. */
void sr_gateway_free(sr_gateway_t *gateway);

/**
 * sr_gateway_start - listens on the addresses of the options
 *
 * Returns SR_ERR_IO if an address can't be listened on; detail is then set to
 * a message that the caller frees with g_free().
 */
sr_err_t sr_gateway_start(sr_gateway_t *gateway, char **detail);

/**
 * sr_gateway_set_table - replaces the route table for new requests
 *
 * Returns FALSE and changes nothing if the version is not higher than that of
 * the current table. Takes a reference.
 */
gboolean sr_gateway_set_table(sr_gateway_t *gateway, sr_route_table_t *table);

/** sr_gateway_table - the current route table, or NULL; borrowed. */
const sr_route_table_t *sr_gateway_table(const sr_gateway_t *gateway);

/** sr_gateway_instances - the registered instances; borrowed. The caller keeps
 * them up to date. */
sr_instances_t *sr_gateway_instances(sr_gateway_t *gateway);

/** sr_gateway_evict_instance - closes the idle connections to an instance that
 * no longer exists and removes it from the prefix index. */
void sr_gateway_evict_instance(sr_gateway_t *gateway, const char *name);

/** sr_gateway_allowance - the rate limits of the client accounts; borrowed. */
sr_allowance_t *sr_gateway_allowance(sr_gateway_t *gateway);

/**
 * sr_gateway_foreach_prefill - calls fn for each service with its prefill time
 *
 * That is the estimated time in s that the service's engines need to read
 * the prompts sent from this host, summed since the gateway was created.
 */
void sr_gateway_foreach_prefill(sr_gateway_t *gateway,
				void (*fn)(void *user, const char *service,
					   double prefill_s),
				void *user);

/** sr_gateway_apply_notice - apply what an instance has said of itself in a
 * response to another host. */
void sr_gateway_apply_notice(sr_gateway_t *gateway, sr_instance_t *instance,
			     const sr_notice_t *notice);

/** sr_gateway_pace_registered - a registration says for how long an instance is
 * cold. */
void sr_gateway_pace_registered(sr_gateway_t *gateway, const char *name,
				sr_usec_t cold_for);

/** sr_gateway_set_evacuation - apply a change of a failure domain's evacuation;
 * returns as sr_instances_set_evacuation(). At its end the instances of the
 * domain may be cold. */
gboolean sr_gateway_set_evacuation(sr_gateway_t *gateway, const char *domain,
				   guint64 version);

/** sr_gateway_suspects - quarantined fingerprints of requests and those that
 * may become so; borrowed. Change them by the functions below. */
const sr_crash_suspects_t *sr_gateway_suspects(const sr_gateway_t *gateway);

/** sr_gateway_add_crash_report - apply the report of another host. */
void sr_gateway_add_crash_report(sr_gateway_t *gateway,
				 const sr_crash_report_t *report);

/** sr_gateway_clear_suspect - a request with the fingerprint has survived at
 * another host. */
void sr_gateway_clear_suspect(sr_gateway_t *gateway, guint64 fingerprint,
			      sr_usec_t survived_at);

/** sr_gateway_restore_quarantine - apply a quarantine of another host or of an
 * earlier process as sr_crash_suspects_restore() does; source is for the log.
 */
gboolean sr_gateway_restore_quarantine(sr_gateway_t *gateway,
				       const sr_quarantine_t *quarantine,
				       sr_usec_t decided_at,
				       const char *source);

/**
 * sr_gateway_add_relay_host - add an entry host that takes requests on which
 * this one passes on
 *
 * A request is passed on if this host reaches no instance of its service. The
 * other host treats it like one of its own callers, but passes it on to no
 * further one. address is the other host's relay_address.
 */
void sr_gateway_add_relay_host(sr_gateway_t *gateway, const char *name,
			       const char *failure_domain, const char *address);

/** sr_gateway_remove_relay_host - the host is stopping or may be down. */
void sr_gateway_remove_relay_host(sr_gateway_t *gateway, const char *name);

/** sr_gateway_set_version_trial - divides the requests for a service between
 * its versions; the trial is borrowed until it is replaced, NULL ends it. */
void sr_gateway_set_version_trial(sr_gateway_t *gateway, const char *service,
				  sr_version_trial_t *trial);

/** sr_gateway_response_time - average duration of a service's responses. */
sr_usec_t sr_gateway_response_time(sr_gateway_t *gateway, const char *service);

/** sr_gateway_set_host_count - sets the number of entry hosts that share the
 * retry budget and the allowances. */
void sr_gateway_set_host_count(sr_gateway_t *gateway, unsigned n);

/** sr_gateway_set_load_delay - time after which the hosts know each other's
 * load on instances; 0 until set. */
void sr_gateway_set_load_delay(sr_gateway_t *gateway, sr_usec_t delay);

/** sr_gateway_expect_notices - an instance was registered that has not answered
 * yet: until it does it counts as brittle if its service was so last. */
void sr_gateway_expect_notices(sr_gateway_t *gateway, sr_instance_t *instance);

/** sr_gateway_set_ready - sets the state that the readiness check reports. It
 * reports not ready in any case without a route table or during a stop. */
void sr_gateway_set_ready(sr_gateway_t *gateway, gboolean ready);

/**
 * sr_gateway_stop - starts a planned stop
 *
 * The readiness check fails from now on. New connections are accepted until
 * options.accept_grace has passed, each response closes its connection, and
 * unfinished requests are completed. After options.accept_grace, and from other
 * hosts at once, only requests whose deadline ends before the stop are
 * accepted. options.stopped is called when no connection is left, at the latest
 * after options.stop_timeout.
 */
void sr_gateway_stop(sr_gateway_t *gateway);

#endif
