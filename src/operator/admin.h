#ifndef SR_OPERATOR_ADMIN_H
#define SR_OPERATOR_ADMIN_H

#include <json-c/json.h>
#include <libsoup/soup.h>

#include "base/error.h"
#include "base/log.h"
#include "core/config.h"

/**
 * sr_admin_t - the administration API under /admin of an HTTP server
 *
 * It authenticates operators, validates requests and calls the functions of
 * sr_admin_hooks_t to carry them out. docs/INTERFACES.md describes the API.
 */
typedef struct sr_admin sr_admin_t;

/** sr_admin_change_t - a configuration change that is being published. */
typedef struct sr_admin_change sr_admin_change_t;

/** sr_admin_hooks_t - the functions that carry out requests. */
typedef struct {
	/* the configuration in force; borrowed, or NULL before the first one */
	const sr_config_t *(*config)(void *user);
	/* text of the configuration in force; a new reference, or NULL before
	 * the first one */
	GBytes *(*config_text)(void *user);
	/* publish text as the successor of generation base; completes with
	 * sr_admin_report_published(), before or after it returns; text is
	 * borrowed */
	void (*publish)(void *user, guint64 base, GBytes *text,
			sr_admin_change_t *change);
	/* the objects that status and journal return are owned by the caller */
	json_object *(*status)(void *user);
	json_object *(*journal)(void *user);
	/* stop sending requests to a version, on all nodes */
	sr_err_t (*recall)(void *user, const char *service, const char *version,
			   const char *reason);
	/* start to drain the daemon, which then exits */
	void (*drain)(void *user);
	void *user;
} sr_admin_hooks_t;

typedef struct {
	SoupServer *server; /* referenced */
	sr_log_t *log;	    /* borrowed, may be NULL */
	/* SHA-256, in hexadecimal, of a token that is accepted while the
	 * configuration names no operator; NULL for none; copied */
	const char *bootstrap_token_sha256;
	sr_admin_hooks_t hooks;
} sr_admin_options_t;

/** sr_admin_new - add the handlers of /admin to the server. */
sr_admin_t *sr_admin_new(const sr_admin_options_t *options);

/**
 * sr_admin_free - remove the handlers from the server
 *
 * Ends each pending change with SR_ERR_OUTCOME_UNKNOWN. NULL is allowed.
 */
void sr_admin_free(sr_admin_t *admin);

/**
 * sr_admin_report_published - report the result of a change and free it
 *
 * generation is the accepted one with SR_OK, and the newer one that was
 * accepted first with SR_ERR_CONFLICT. SR_ERR_OUTCOME_UNKNOWN means that the
 * change may have been accepted.
 */
void sr_admin_report_published(sr_admin_change_t *change, sr_err_t err,
			       guint64 generation);

#endif
