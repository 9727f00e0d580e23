#ifndef SR_GATEWAY_DIALECT_H
#define SR_GATEWAY_DIALECT_H

#include "core/placement.h"
#include "http/headers.h"

/**
 * sr_dialect_t - header names and paths that callers and instances of a
 * deployment use
 *
 * A name that is NULL has no counterpart in the deployment. request_id,
 * signature, not_run, the paths and parse_prompt are required.
 */
typedef struct {
	/* Request headers from callers. */
	const char *request_id;	   /* forwarded, and echoed in responses */
	const char *deadline_ms;   /* time left for the response, in ms */
	const char *last_event_id; /* last event received before a resume */
	/* Request headers that the gateway sets for the instance. */
	const char *account;	     /* client account of the API key */
	const char *expect_instance; /* name of the intended instance */
	const char *urgency;	     /* of requests to engines; 0 goes first */
	unsigned urgency_max;	     /* largest value, the least urgent */
	/* Response headers from instances. */
	const char *signature;	/* required in responses below status 400 */
	const char *not_run;	/* the request was not executed */
	const char *leaving;	/* "1" if the instance is leaving */
	const char *rate_limit; /* requests/s that the instance takes */
	const char *brittle;	/* rejections/s above which the instance ends */
	/* Request headers that are removed from callers' requests because only
	 * this system may set them; NULL-terminated. */
	const char *const *reserved;
	/* Headers that are forwarded even if Connection lists them;
	 * NULL-terminated. */
	const char *const *always_forwarded;
	const char *ready_path;	  /* of the readiness check */
	const char *metrics_path; /* of the metrics page */
	/* Fills in an empty prompt from request headers; malformed values are
	 * skipped. */
	void (*parse_prompt)(const sr_headers_t *headers,
			     sr_prompt_parts_t *prompt);
} sr_dialect_t;

#endif
