#ifndef SR_BASE_SETTINGS_H
#define SR_BASE_SETTINGS_H

#include <gio/gio.h>
#include <glib.h>

#include "base/clock.h"
#include "base/fields.h"
#include "base/log.h"

/**
 * sr_settings_t - startup settings of a daemon
 *
 * Read from JSON with comments. No string is NULL; an optional one that is
 * missing is empty. All addresses are IP:PORT.
 */
typedef struct {
	char *node;
	char *failure_domain;
	char *cluster_id;
	char *cluster_secret_file;
	char *caller_address;  /* listens for callers */
	char *admin_address;   /* listens for operators */
	char *peer_address;    /* listens for other entry hosts */
	GPtrArray *peer_seeds; /* char * */
	char *platform_address;
	char *config_file; /* used if there is no platform; otherwise published
			    * if the platform has no configuration yet */
	char *bootstrap_token_sha256; /* see sr_admin_options_t */
	sr_log_level_t log_level;
	char *trace_file;
	double trace_sample;   /* ratio of new traces sampled, 0 to 1 */
	sr_usec_t drain_grace; /* /readyz is 503, but calls are accepted */
	sr_usec_t drain_limit; /* from the signal to the exit, at most */
	/* limits */
	gsize request_bytes;  /* of one request body */
	gsize buffered_bytes; /* of all buffered requests and responses */
	unsigned max_requests;
	unsigned max_connections;
	sr_usec_t header_timeout; /* idle, or receiving a request header */
	sr_usec_t body_timeout;	  /* receiving a request body */
} sr_settings_t;

/** Largest size of the settings, in bytes, and deepest nesting. */
#define SR_SETTINGS_MAX_BYTES 65536
#define SR_SETTINGS_MAX_DEPTH 6

/**
 * sr_settings_parse - parse and validate settings
 *
 * Returns NULL and appends every error to findings (see sr_findings_new());
 * unknown members and wrong types are errors. Free with sr_settings_free().
 */
sr_settings_t *sr_settings_parse(const char *text, gsize size,
				 GPtrArray *findings);

/** sr_settings_load - like sr_settings_parse(), from a file. */
sr_settings_t *sr_settings_load(const char *path, GPtrArray *findings);

void sr_settings_free(sr_settings_t *settings);

/**
 * sr_address_parse - parse IP:PORT, or [IP]:PORT for IPv6
 *
 * Returns NULL if it is malformed; caller unrefs.
 */
GSocketAddress *sr_address_parse(const char *text);

#endif
