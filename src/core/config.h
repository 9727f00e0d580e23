#ifndef SR_CORE_CONFIG_H
#define SR_CORE_CONFIG_H

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/fields.h"

/**
 * The typed model of the accepted configuration: what operators declare.
 *
 * A configuration is immutable once parsed and is reference counted. All
 * arrays hold pointers to the named struct and are never NULL.
 */

typedef enum {
	SR_SERVICE_MODEL, /* a model engine; answers are token streams */
	SR_SERVICE_PLAIN, /* any other HTTP service */
} sr_service_kind_t;

/** Classes of requests; a smaller number goes first. */
typedef enum {
	SR_PRIORITY_LOOKUP,
	SR_PRIORITY_COMPARISON,
	SR_PRIORITY_BULK,
	SR_N_PRIORITIES,
} sr_priority_t;

typedef struct {
	char *name;
	char *method; /* upper case; "*" matches any */
	char *path;   /* prefix, begins with the service's path */
	sr_priority_t priority;
	gboolean idempotent;
	sr_usec_t deadline; /* when the caller states none */
} sr_route_config_t;

typedef struct {
	char *name;
	double share;	   /* of the service's traffic, 0 to 1, once moved */
	gint64 by_unix_ms; /* when the share must be reached; 0 for now */
} sr_version_config_t;

typedef struct {
	char *name;
	sr_service_kind_t kind;
	char *path;	     /* begins with "/", no trailing "/" */
	GPtrArray *routes;   /* sr_route_config_t, longest path first */
	GPtrArray *versions; /* sr_version_config_t; the shares add up to 1 */
	sr_usec_t soak;	     /* how long an old version stays ready */
	gboolean outcome_by_key; /* GET /outcome/KEY tells what ran */
} sr_service_config_t;

typedef struct {
	char *name;
	char *home; /* failure domain that keeps the account's journal */
	GPtrArray *token_hashes; /* char *, lower-case hex SHA-256 */
	double weight;		 /* fair share relative to other accounts */
	unsigned in_flight;	 /* limit across the entry hosts; 0 for none */
	GPtrArray *services;	 /* char *; empty allows every service */
} sr_account_config_t;

typedef struct {
	char *name; /* also the name of its host in the host list */
	char *service;
	char *version;
	char *failure_domain;
	char *address;	/* IP:PORT */
	unsigned slots; /* requests that run side by side at full speed */
	gboolean reclaimable;
	gboolean checks_fencing;
	double price_per_hour;
} sr_upstream_config_t;

typedef struct {
	char *name;
	GPtrArray *token_hashes; /* char *, lower-case hex SHA-256 */
} sr_operator_config_t;

typedef struct sr_config {
	guint64 generation;
	GPtrArray *services;	      /* sr_service_config_t */
	GPtrArray *accounts;	      /* sr_account_config_t */
	GPtrArray *upstreams;	      /* sr_upstream_config_t */
	GPtrArray *operators;	      /* sr_operator_config_t */
	GHashTable *account_by_token; /* token hash -> sr_account_config_t */
	int references;
} sr_config_t;

/**
 * sr_config_parse - read and check a whole configuration
 *
 * text is JSON with comments, at most SR_CONFIG_MAX bytes and SR_CONFIG_DEPTH
 * levels deep. Returns NULL and appends all findings, not only the first, to
 * findings (see sr_findings_new()); on success it appends nothing.
 */
sr_config_t *sr_config_parse(const char *text, gsize size, guint64 generation,
			     GPtrArray *findings);

#define SR_CONFIG_MAX (1024 * 1024)
#define SR_CONFIG_DEPTH 16

sr_config_t *sr_config_ref(sr_config_t *config);
void sr_config_unref(sr_config_t *config);

/** Look-ups; they return NULL if there is no match. */
const sr_service_config_t *sr_config_service(const sr_config_t *config,
					     const char *name);
const sr_service_config_t *sr_config_service_of_path(const sr_config_t *config,
						     const char *path);
const sr_route_config_t *sr_config_route(const sr_service_config_t *service,
					 const char *method, const char *path);
const sr_account_config_t *sr_config_account(const sr_config_t *config,
					     const char *name);
const sr_account_config_t *sr_config_account_of_token(const sr_config_t *config,
						      const char *token);
const sr_operator_config_t *
sr_config_operator_of_token(const sr_config_t *config, const char *token);

#endif
