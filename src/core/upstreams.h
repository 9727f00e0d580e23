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
 * The table of upstreams, grouped by service and version, as the dispatcher
 * sees it: what is configured, what the host list and notices say, and how
 * much of our own work each one runs.
 *
 * Everything is owned by the table. An upstream that leaves the configuration
 * stays until its last attempt is released.
 */

/** sr_upstream_t - one upstream; fields are read-only outside the table. */
typedef struct {
	guint32 id; /* unique in the table's life, never 0 */
	sr_target_t target;
	unsigned slots;
	double price_per_hour;
	gboolean configured;
	gboolean present; /* in the host list, or the list is not known */
	gboolean leaving;
	unsigned in_flight;	  /* attempts of this entry host */
	unsigned pending_prefill; /* prompt tokens of ours, no answer yet */
	double base_duration_s;	  /* shortest of late, 0 if not known */
	sr_concurrency_limit_t limit;
	sr_load_estimate_t load;
	sr_ejection_t ejection;
} sr_upstream_t;

/** sr_version_group_t - the upstreams of one version, ordered by name. */
typedef struct {
	char *name;
	double share; /* of the service's traffic; 0 once recalled */
	gboolean recalled;
	GPtrArray *upstreams; /* sr_upstream_t, borrowed */
} sr_version_group_t;

/** sr_service_group_t - one service; stays as long as the table does. */
typedef struct {
	char *name;
	sr_service_kind_t kind;
	GPtrArray *versions; /* sr_version_group_t */
	unsigned n_upstreams;
	sr_account_share_t *accounts;
	sr_admission_t admission;
	sr_retry_budget_t retry_budget;
	double duration_s;  /* mean of an attempt */
	double token_gap_s; /* mean between tokens, 0 if not known */
	double prefill_s;   /* for one prompt token that is not cached */
	double capacity;    /* sum of limits, as of measured_at */
	double in_flight;   /* estimated for all entry hosts, likewise */
	sr_usec_t measured_at;
} sr_service_group_t;

typedef struct sr_upstreams sr_upstreams_t;

sr_upstreams_t *sr_upstreams_new(void);
void sr_upstreams_free(sr_upstreams_t *table);

/** sr_upstreams_set_config - take over a generation; keeps no reference. */
void sr_upstreams_set_config(sr_upstreams_t *table, const sr_config_t *config);

/** sr_upstreams_set_share - overrides the configured share for good. */
void sr_upstreams_set_share(sr_upstreams_t *table, const char *service,
			    const char *version, double share);

/** sr_upstreams_recall - the version gets no share any more; grow-only. */
void sr_upstreams_recall(sr_upstreams_t *table, const char *service,
			 const char *version);

/** sr_upstreams_is_recalled - also for versions that are not configured. */
gboolean sr_upstreams_is_recalled(const sr_upstreams_t *table,
				  const char *service, const char *version);

/**
 * sr_upstreams_set_leaving - remembered by name, also before the upstream is
 * configured, until the host list has lost the name and gained it anew.
 */
void sr_upstreams_set_leaving(sr_upstreams_t *table, const char *name);

void sr_upstreams_set_present(sr_upstreams_t *table, const char *name,
			      gboolean present);

/** Look-ups; NULL if there is no match. */
sr_upstream_t *sr_upstreams_find(const sr_upstreams_t *table, const char *name);
sr_upstream_t *sr_upstreams_by_id(const sr_upstreams_t *table, guint32 id);
sr_service_group_t *sr_upstreams_service(const sr_upstreams_t *table,
					 const char *name);

void sr_upstreams_foreach_service(sr_upstreams_t *table,
				  void (*fn)(sr_service_group_t *service,
					     void *user),
				  void *user);

/** sr_upstream_is_usable - may new work be sent to it? */
gboolean sr_upstream_is_usable(const sr_upstream_t *upstream);

/** sr_upstreams_acquire - one more attempt of ours runs there. */
void sr_upstreams_acquire(sr_upstreams_t *table, sr_upstream_t *upstream);

/** sr_upstreams_release - an attempt ended; may free the upstream. */
void sr_upstreams_release(sr_upstreams_t *table, sr_upstream_t *upstream);

#endif
