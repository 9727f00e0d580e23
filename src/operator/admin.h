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
 * It checks operator tokens and inputs; what the requests mean is done by the
 * functions of sr_admin_hooks_t. The API is described in docs/INTERFACES.md.
 */
typedef struct sr_admin sr_admin_t;

/** sr_admin_ticket_t - one configuration change that is being published. */
typedef struct sr_admin_ticket sr_admin_ticket_t;

typedef struct {
	/* the configuration in force, or NULL before the first one */
	const sr_config_t *(*config)(void *user);
	/* its text; a new reference, or NULL before the first one */
	GBytes *(*config_text)(void *user);
	/* ends in sr_admin_published(), now or later */
	void (*publish)(void *user, guint64 base, GBytes *text,
			sr_admin_ticket_t *ticket);
	json_object *(*status)(void *user);
	json_object *(*journal)(void *user);
	sr_err_t (*recall)(void *user, const char *service, const char *version,
			   const char *reason);
	void (*drain)(void *user);
	void *user;
} sr_admin_hooks_t;

typedef struct {
	SoupServer *server; /* borrowed */
	sr_log_t *log;	    /* borrowed, may be NULL */
	/* SHA-256 of a token that is valid while no configuration names an
	 * operator; NULL for none */
	const char *bootstrap_token_sha256;
	sr_admin_hooks_t hooks;
} sr_admin_options_t;

sr_admin_t *sr_admin_new(const sr_admin_options_t *options);

/** sr_admin_free - tickets that are still open are answered as in doubt. */
void sr_admin_free(sr_admin_t *admin);

/**
 * sr_admin_published - how a change ended; frees the ticket
 *
 * With SR_OK generation is the accepted one, with SR_ERR_CONFLICT the newer
 * one that was accepted first. SR_ERR_OUTCOME_UNKNOWN: it may be accepted.
 */
void sr_admin_published(sr_admin_ticket_t *ticket, sr_err_t err,
			guint64 generation);

#endif
