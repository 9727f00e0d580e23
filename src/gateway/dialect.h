#ifndef SR_GATEWAY_DIALECT_H
#define SR_GATEWAY_DIALECT_H

#include "core/placement.h"
#include "http/headers.h"

/**
 * sr_dialect_t - the header names that callers and instances of a deployment
 * use, and how their values are read
 *
 * A name that is NULL has no counterpart in the deployment.
 */
typedef struct {
	/* of the caller */
	const char *request_id;	   /* names one request; passed on, echoed */
	const char *deadline_ms;   /* time left, in ms */
	const char *last_event_id; /* where a stream goes on */
	/* set for the instance */
	const char *account;	     /* of the caller's key */
	const char *expect_instance; /* who must answer */
	const char *urgency;	     /* of a request to an engine */
	unsigned urgency_max;	     /* the least urgent value; 0 goes first */
	/* of the instance */
	const char *signature; /* on every whole answer */
	const char *not_run;   /* the request was not run */
	/* names that only this system may set; ended by NULL */
	const char *const *reserved;
	/* names that are passed on even if Connection lists them */
	const char *const *carried;
	const char *ready_path;
	const char *metrics_path;
	/* fills in an empty prompt; what is malformed is left out */
	void (*read_prompt)(const sr_headers_t *headers,
			    sr_prompt_parts_t *prompt);
} sr_dialect_t;

#endif
