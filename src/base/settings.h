#ifndef SR_BASE_SETTINGS_H
#define SR_BASE_SETTINGS_H

#include <gio/gio.h>
#include <glib.h>

#include "base/clock.h"
#include "base/fields.h"
#include "base/log.h"

/**
 * sr_settings_t - what one daemon is told when it starts
 *
 * Read from JSON with comments. No string is NULL; an optional one that is not
 * given is empty.
 */
typedef struct {
	char *node;
	char *failure_domain;
	char *cluster_id;
	char *cluster_secret_file;
	char *caller_address; /* IP:PORT, as every address here */
	char *admin_address;
	char *peer_address;
	GPtrArray *peer_seeds; /* char * */
	char *platform_address;
	char *config_file; /* in force without a platform; with one, it is
			    * published if the platform has none yet */
	char *bootstrap_token_sha256; /* see sr_admin_options_t */
	sr_log_level_t log_level;
	char *trace_file;
	double trace_sample;
	sr_usec_t drain_grace; /* /readyz is 503, but calls are accepted */
	sr_usec_t drain_limit; /* from the signal to the end, at most */
	/* limits */
	gsize request_bytes;  /* of one request body */
	gsize buffered_bytes; /* of all bodies and answers held */
	unsigned max_requests;
	unsigned max_connections;
	sr_usec_t header_timeout; /* idle, or sending a request header */
	sr_usec_t body_timeout;	  /* sending a request body */
} sr_settings_t;

#define SR_SETTINGS_MAX 65536
#define SR_SETTINGS_DEPTH 6

/**
 * sr_settings_parse - read and check settings
 *
 * Returns NULL and appends every problem to findings (see sr_findings_new());
 * an unknown member and a wrong type are problems.
 */
sr_settings_t *sr_settings_parse(const char *text, gsize size,
				 GPtrArray *findings);

/** sr_settings_load - the same from a file. */
sr_settings_t *sr_settings_load(const char *path, GPtrArray *findings);

void sr_settings_free(sr_settings_t *settings);

/**
 * sr_address_parse - read IP:PORT, or [IP]:PORT for IPv6
 *
 * Returns NULL if it is malformed; caller unrefs.
 */
GSocketAddress *sr_address_parse(const char *text);

#endif
