#ifndef SR_CTL_CLIENT_H
#define SR_CTL_CLIENT_H

#include <glib.h>
#include <json-c/json.h>

/** sr_client_t - blocking calls of the tool to the administration API. */
typedef struct sr_client sr_client_t;

/** Exit codes of sassafrasctl; the manual page lists them. */
typedef enum {
	SR_EXIT_OK = 0,
	SR_EXIT_USAGE = 1,
	SR_EXIT_INVALID = 2,
	SR_EXIT_CONFLICT = 3,
	SR_EXIT_UNREACHABLE = 4,
	SR_EXIT_REFUSED = 5,
	SR_EXIT_UNKNOWN = 6,
} sr_exit_t;

typedef struct {
	const char *server; /* e.g. "http://127.0.0.1:7001" */
	const char *token;
	unsigned timeout_s;
} sr_client_options_t;

sr_client_t *sr_client_new(const sr_client_options_t *options);
void sr_client_free(sr_client_t *client);

/**
 * sr_client_call - one call; prints the problem and its remedy on failure
 *
 * body may be NULL. On success *answer is the body of the answer as text;
 * caller frees.
 */
sr_exit_t sr_client_call(sr_client_t *client, const char *method,
			 const char *path, GBytes *body, char **answer);

#endif
