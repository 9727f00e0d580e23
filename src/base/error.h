#ifndef SR_BASE_ERROR_H
#define SR_BASE_ERROR_H

/**
 * sr_err_t - result codes: SR_OK, which is 0, and negative error codes
 *
 * Each code has a machine-readable name, a message and a remedy.
 */
typedef enum {
	SR_OK = 0,
	SR_ERR_INVALID = -1,
	SR_ERR_TOO_LARGE = -2,
	SR_ERR_UNAUTHENTICATED = -3,
	SR_ERR_FORBIDDEN = -4,
	SR_ERR_NOT_FOUND = -5,
	SR_ERR_CONFLICT = -6,
	SR_ERR_KEY_REUSED = -7,
	SR_ERR_OVERLOADED = -8,
	SR_ERR_ACCOUNT_LIMIT = -9,
	SR_ERR_DEADLINE = -10,
	SR_ERR_NO_UPSTREAM = -11,
	SR_ERR_UPSTREAM_FAILED = -12,
	SR_ERR_OUTCOME_UNKNOWN = -13,
	SR_ERR_PLATFORM = -14,
	SR_ERR_NOT_OWNER = -15,
	SR_ERR_HOME_UNREACHABLE = -16,
	SR_ERR_DRAINING = -17,
	SR_ERR_STALE_FENCE = -18,
	SR_ERR_IO = -19,
	SR_ERR_PROTOCOL = -20,
	SR_ERR_CANCELLED = -21,
	SR_ERR_HEAD_TOO_LARGE = -22,
	SR_ERR_CALLER_TIMEOUT = -23,
	SR_ERR_QUARANTINED = -24,
	SR_ERR_UNREACHED = -25,
} sr_err_t;

/*
 * The functions below fail an assertion if err is not one of these codes. The
 * strings are static.
 */

/** sr_err_name - stable machine-readable name, e.g. "overloaded". */
const char *sr_err_name(sr_err_t err);

/** sr_err_message - what went wrong, in lower case without a full stop. */
const char *sr_err_message(sr_err_t err);

/** sr_err_remedy - what to do about it, in lower case without a full stop. */
const char *sr_err_remedy(sr_err_t err);

/** sr_err_http_status - HTTP status of a response that reports the error. */
unsigned sr_err_http_status(sr_err_t err);

#endif
