#ifndef SR_CORE_CONFIG_H
#define SR_CORE_CONFIG_H

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/fields.h"

/** sr_service_kind_t - the kind of an upstream service. */
typedef enum {
	SR_SERVICE_MODEL, /* a model engine; responses are token streams */
	SR_SERVICE_PLAIN, /* any other HTTP service */
} sr_service_kind_t;

/** sr_priority_t - priority class of a request, most urgent first. */
typedef enum {
	SR_PRIORITY_LOOKUP,
	SR_PRIORITY_COMPARISON,
	SR_PRIORITY_BULK,
	SR_N_PRIORITIES,
} sr_priority_t;

/** sr_route_config_t - handling of the requests below one path. */
typedef struct {
	char *name;
	char *method; /* upper case; "*" matches any method */
	char *path;   /* prefix; starts with the path of the service */
	sr_priority_t priority;
	gboolean idempotent; /* a request may be executed more than once */
	sr_usec_t deadline;  /* time limit if the request has none */
} sr_route_config_t;

/** sr_version_config_t - a version of a service and its traffic share. */
typedef struct {
	char *name;
	double share;	   /* of the service's traffic after rollout, 0 to 1 */
	gint64 by_unix_ms; /* end of the rollout, Unix time; 0: immediate */
} sr_version_config_t;

/** sr_service_config_t - a service, its routes and its versions. */
typedef struct {
	char *name;
	sr_service_kind_t kind;
	char *path;	     /* starts with "/", no trailing "/" */
	GPtrArray *routes;   /* sr_route_config_t, longest path first */
	GPtrArray *versions; /* sr_version_config_t; the shares add up to 1 */
	/* time from the last step of a rollout to its end; the old version
	 * stays ready until then */
	sr_usec_t soak;
	gboolean outcome_by_key; /* GET /outcome/KEY reports what ran */
} sr_service_config_t;

/** sr_account_config_t - a client account. */
typedef struct {
	char *name;
	char *home; /* failure domain that stores the account's journal */
	GPtrArray *token_hashes; /* char *, lower-case hex SHA-256 */
	double weight;		 /* fair share relative to other accounts */
	unsigned in_flight;  /* request limit on all entry hosts; 0: no limit */
	GPtrArray *services; /* char *, allowed services; empty: all */
} sr_account_config_t;

/** sr_upstream_config_t - one instance of a service. */
typedef struct {
	char *name; /* also the name of its host in the host list */
	char *service;
	char *version;
	char *failure_domain;
	char *address;		 /* IP:PORT */
	unsigned slots;		 /* concurrent requests at full speed */
	gboolean reclaimable;	 /* the platform may take the host back */
	gboolean checks_fencing; /* rejects orders with a stale fence number */
	double price_per_hour;
} sr_upstream_config_t;

/** sr_operator_config_t - a user of the administration API. */
typedef struct {
	char *name;
	GPtrArray *token_hashes; /* char *, lower-case hex SHA-256 */
} sr_operator_config_t;

/**
 * sr_config_t - the parsed configuration that operators publish
 *
 * A configuration is immutable once parsed and is reference counted. It owns
 * all its strings and arrays. An array here and in the types above holds
 * pointers to the type that its comment names, and is never NULL.
 */
typedef struct sr_config {
	guint64 generation;
	GPtrArray *services;	      /* sr_service_config_t */
	GPtrArray *accounts;	      /* sr_account_config_t */
	GPtrArray *upstreams;	      /* sr_upstream_config_t */
	GPtrArray *operators;	      /* sr_operator_config_t */
	GHashTable *account_by_token; /* token hash -> sr_account_config_t */
	int references;
} sr_config_t;

/** Largest configuration text that is parsed, in bytes. */
#define SR_CONFIG_SIZE_MAX (1024 * 1024)

/** Deepest nesting of JSON values in a configuration text. */
#define SR_CONFIG_DEPTH_MAX 16

/**
 * sr_config_parse - parse and validate a configuration text
 *
 * text is JSON with comments, at most SR_CONFIG_SIZE_MAX bytes and
 * SR_CONFIG_DEPTH_MAX levels deep; it is not kept. Returns a new reference. If
 * the text is invalid, returns NULL and appends every error, not only the
 * first, to findings (see sr_findings_new()); on success it appends nothing.
 */
sr_config_t *sr_config_parse(const char *text, gsize size, guint64 generation,
			     GPtrArray *findings);

sr_config_t *sr_config_ref(sr_config_t *config);

/** sr_config_unref - drop a reference; config may be NULL. */
void sr_config_unref(sr_config_t *config);

/**
 * Lookups return a pointer into the configuration, or NULL if nothing
 * matches. Path arguments may carry a query string; prefixes match whole path
 * segments, the longest one first. Tokens are passed in clear text.
 */
const sr_service_config_t *sr_config_service(const sr_config_t *config,
					     const char *name);
const sr_service_config_t *sr_config_service_by_path(const sr_config_t *config,
						     const char *path);
const sr_route_config_t *
sr_config_match_route(const sr_service_config_t *service, const char *method,
		      const char *path);
const sr_account_config_t *sr_config_account(const sr_config_t *config,
					     const char *name);
const sr_account_config_t *sr_config_account_by_token(const sr_config_t *config,
						      const char *token);
const sr_operator_config_t *
sr_config_operator_by_token(const sr_config_t *config, const char *token);

#endif
