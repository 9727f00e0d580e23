#ifndef SR_CORE_UPSTREAMS_H
#define SR_CORE_UPSTREAMS_H

#include <glib.h>

#include "base/clock.h"
#include "core/account_share.h"
#include "core/admission.h"
#include "core/concurrency_limit.h"
#include "core/config.h"
#include "core/dispatch.h"
#include "core/ejection.h"
#include "core/load_estimate.h"
#include "core/retry_budget.h"

/**
 * The dispatcher's table of upstreams, grouped by service and version. It
 * combines the configuration, the host list, notices of leaving hosts, and
 * the load of this entry host on each upstream.
 *
 * The table owns all objects. An upstream that is no longer configured stays
 * until its last attempt is released.
 */

/** sr_upstream_t - an upstream; only the table changes its identity, its state
 * and in_flight. */
typedef struct {
	guint32 id; /* never 0, never reused by the table */
	sr_target_t target;
	unsigned slots;
	double price_per_hour;
	gboolean configured;
	gboolean present; /* in the host list, or the list is unknown */
	gboolean leaving;
	/* load of this entry host: attempts, and their uncached prompt tokens
	 * until the first token of the answer */
	unsigned in_flight;
	unsigned pending_prefill_tokens;
	double baseline_duration_s; /* recent minimum; 0 if unknown */
	sr_concurrency_limit_t limit;
	sr_load_estimate_t load;
	sr_ejection_t ejection;
} sr_upstream_t;

/** sr_version_group_t - the upstreams of a version, sorted by name. */
typedef struct {
	char *name;
	double share; /* fraction of the service's traffic; 0 if recalled */
	gboolean recalled;
	GPtrArray *upstreams; /* sr_upstream_t, borrowed */
} sr_version_group_t;

/** sr_service_group_t - a service; freed only with the table. */
typedef struct {
	char *name;
	sr_service_kind_t kind;
	GPtrArray *versions; /* sr_version_group_t */
	unsigned n_upstreams;
	sr_account_share_t *accounts;
	sr_admission_t admission;
	sr_retry_budget_t retry_budget;
	/* moving averages over the attempts of this entry host */
	double duration_s;
	double token_gap_s;	    /* 0 if unknown */
	double prefill_s_per_token; /* per uncached prompt token */
	/* capacity and load, in requests, as of capacity_updated_at */
	double capacity;	       /* sum of the concurrency limits */
	double in_flight;	       /* estimate over all entry hosts */
	sr_usec_t capacity_updated_at; /* -1 for never */
} sr_service_group_t;

/** sr_upstreams_t - the table of upstreams. */
typedef struct sr_upstreams sr_upstreams_t;

/** sr_upstreams_new - free the result with sr_upstreams_free(). */
sr_upstreams_t *sr_upstreams_new(void);

/** sr_upstreams_free - table may be NULL. */
void sr_upstreams_free(sr_upstreams_t *table);

/** sr_upstreams_set_config - apply a generation; keeps no reference. */
void sr_upstreams_set_config(sr_upstreams_t *table, const sr_config_t *config);

/**
 * sr_upstreams_set_share - set a version's fraction of the traffic, 0 to 1
 *
 * It overrides the configured share, also that of later generations. Values
 * out of range are clamped.
 */
void sr_upstreams_set_share(sr_upstreams_t *table, const char *service,
			    const char *version, double share);

/** sr_upstreams_recall - hold the version's share at 0; can't be undone. */
void sr_upstreams_recall(sr_upstreams_t *table, const char *service,
			 const char *version);

/** sr_upstreams_is_recalled - TRUE if the version was recalled; it need not be
 * configured. */
gboolean sr_upstreams_is_recalled(const sr_upstreams_t *table,
				  const char *service, const char *version);

/**
 * sr_upstreams_set_leaving - send no new requests to the upstream
 *
 * The state belongs to the name, which need not be configured yet. It ends
 * when the name returns to the host list after having been absent.
 */
void sr_upstreams_set_leaving(sr_upstreams_t *table, const char *name);

/** sr_upstreams_set_present - whether the host list contains the name. */
void sr_upstreams_set_present(sr_upstreams_t *table, const char *name,
			      gboolean present);

/** Look-ups; the result is borrowed, NULL if there is no match. */
sr_upstream_t *sr_upstreams_find(const sr_upstreams_t *table, const char *name);
sr_upstream_t *sr_upstreams_by_id(const sr_upstreams_t *table, guint32 id);
sr_service_group_t *sr_upstreams_service(const sr_upstreams_t *table,
					 const char *name);

/** sr_upstreams_foreach_service - call fn for each service, in no particular
 * order. */
void sr_upstreams_foreach_service(sr_upstreams_t *table,
				  void (*fn)(sr_service_group_t *service,
					     void *user),
				  void *user);

/** sr_upstream_is_usable - configured, present and not leaving. */
gboolean sr_upstream_is_usable(const sr_upstream_t *upstream);

/** sr_upstreams_acquire - count an attempt that starts at the upstream, which
 * must be usable and its version not recalled. */
void sr_upstreams_acquire(sr_upstreams_t *table, sr_upstream_t *upstream);

/** sr_upstreams_release - count an attempt that ended; may free upstream. */
void sr_upstreams_release(sr_upstreams_t *table, sr_upstream_t *upstream);

#endif
