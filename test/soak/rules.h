#ifndef SR_TEST_SOAK_RULES_H
#define SR_TEST_SOAK_RULES_H

#include <glib.h>

/**
 * What callers may see of a configuration that changes, judged by the
 * platform's rule CONFIG from when requests were sent and how they ended.
 *
 * A subject is a route or a key. Versions of the configuration say whether it
 * is valid. The outcome of a request with it shows which versions the host may
 * have handled it by.
 */

/** Bounds of the platform, in ms. */
typedef struct {
	gint64 contact_ms;
	gint64 apply_ms;
	gint64 outer_ms;
	gint64 rollback_slack_ms;
} soak_bounds_t;

/** soak_calm_t - since when something is without disruption, in ms; G_MAXINT64
 * while there is one. */
typedef struct {
	gint64 since_ms;
	unsigned n_disruptions; /* that last */
} soak_calm_t;

void soak_calm_begin(soak_calm_t *calm);
void soak_calm_end(soak_calm_t *calm, gint64 now_ms);

/** soak_subject_t - a route or a key. */
typedef struct {
	char *name;
	GArray *changes; /* soak_change_t, in the order of versions */
} soak_subject_t;

typedef struct {
	unsigned version;
	gboolean is_valid; /* from this version on */
} soak_change_t;

/** soak_outcome_t - how a request with a subject ended. */
typedef enum {
	SOAK_OUTCOME_SERVED,
	SOAK_OUTCOME_DENIED, /* by the configuration */
	SOAK_OUTCOME_OTHER,
} soak_outcome_t;

typedef struct {
	unsigned host;
	unsigned incarnation; /* of its process, when it was sent */
	const soak_subject_t *subject;
	gint64 sent_ms;
	gint64 ended_ms;
	soak_outcome_t outcome;
} soak_request_t;

typedef struct {
	soak_calm_t calm;
	unsigned incarnation;
	unsigned shown_version; /* the least that an outcome proves */
	gint64 shown_ms;
	gint64 slowed_ms; /* when it was slowed down last; 0 for never */
} soak_host_t;

typedef struct {
	soak_bounds_t bounds;
	soak_calm_t store_calm;	     /* any disruption */
	soak_calm_t store_answering; /* slow, away or with lost answers */
	GArray *acknowledged_ms;     /* gint64, by version; the first is 0 */
	GArray *hosts;		     /* soak_host_t */
	unsigned n_judged;	     /* requests sent after a bound, in touch */
	unsigned n_late;
	unsigned n_regressed;
	GString *report; /* of the first breaches */
} soak_rules_t;

soak_rules_t *soak_rules_new(const soak_bounds_t *bounds, unsigned n_hosts);
void soak_rules_free(soak_rules_t *rules);

soak_host_t *soak_rules_host(const soak_rules_t *rules, unsigned host);

/** soak_rules_acknowledge - the store has accepted the next version, which is
 * returned. */
unsigned soak_rules_acknowledge(soak_rules_t *rules, gint64 now_ms);

soak_subject_t *soak_subject_new(const char *name);
void soak_subject_free(soak_subject_t *subject);
void soak_subject_set(soak_subject_t *subject, unsigned version,
		      gboolean is_valid);
gboolean soak_subject_is_valid(const soak_subject_t *subject, unsigned version);

/** soak_rules_judge - a request has ended. */
void soak_rules_judge(soak_rules_t *rules, const soak_request_t *request);

#endif
