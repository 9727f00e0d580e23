#ifndef SR_CTL_CLIENT_H
#define SR_CTL_CLIENT_H

#include <glib.h>
#include <json-c/json.h>

/** sr_admin_client_t - blocking client of the administration API. */
typedef struct sr_admin_client sr_admin_client_t;

/** sr_exit_t - exit codes of sassafrasctl, documented in its manual page. */
typedef enum {
	SR_EXIT_OK = 0,
	SR_EXIT_USAGE = 1,    /* wrong command line or unreadable token file */
	SR_EXIT_INVALID = 2,  /* invalid, too large or unreadable input */
	SR_EXIT_CONFLICT = 3, /* another change was accepted first */
	SR_EXIT_UNREACHABLE = 4, /* no response from the daemon */
	SR_EXIT_REFUSED = 5,	 /* any other error status */
	SR_EXIT_UNKNOWN = 6,	 /* the change may have been accepted */
} sr_exit_t;

typedef struct {
	const char *server; /* URL, such as "http://127.0.0.1:7001" */
	const char *token;  /* of an operator; NULL for none */
	unsigned timeout_s; /* of a socket operation, in seconds */
} sr_admin_client_options_t;

/** sr_admin_client_new - copies the options. */
sr_admin_client_t *
sr_admin_client_new(const sr_admin_client_options_t *options);

/** sr_admin_client_free - NULL is allowed. */
void sr_admin_client_free(sr_admin_client_t *client);

/**
 * sr_admin_client_call - send a request and wait for the response
 *
 * body is JSON text or NULL. If the status is 2xx, sets *response to the
 * response body, which the caller frees, and returns SR_EXIT_OK. Otherwise
 * prints the error and its remedy and leaves *response unchanged.
 */
sr_exit_t sr_admin_client_call(sr_admin_client_t *client, const char *method,
			       const char *path, GBytes *body, char **response);

#endif
